/** @file
 * Buffers (buf_): a borrowed view of bytes, as a pointer and a length.
 *
 *   buf_t kept = buf_copy (ctx, request->body);
 *
 * Use a buf_t to pass text or binary data without a copy.  A buf_t never owns
 * the bytes: a function that keeps them after its return copies them with
 * buf_copy.  Lengths are in bytes.  Nothing here fails.
 */
#ifndef RTS_BUF_H
#define RTS_BUF_H

#include <stdbool.h>
#include <stddef.h>

/** A view of bytes with another owner; the bytes may include NUL. */
typedef struct
{
  const char *p; /**< first byte; may be NULL when n is 0 */
  size_t n;      /**< number of bytes */
} buf_t;

/** Returns a view of the NUL-terminated string S; NULL gives an empty view. */
buf_t buf_str (const char *s);

/** Returns a copy of B owned by CTX.  A NUL byte follows the copy; n does not
 * count it. */
buf_t buf_copy (void *ctx, buf_t b);

/** Returns whether B holds exactly the string S. */
bool buf_is (buf_t b, const char *s);

/** Returns whether A and B hold the same bytes. */
bool buf_equal (buf_t a, buf_t b);

/** Returns a NUL-terminated copy of B owned by CTX. */
char *buf_to_str (void *ctx, buf_t b);

#endif

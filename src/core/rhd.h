/** @file
 * Heads of responses (prefix rhd_): the one reading of the head and the
 * trailer of an HTTP response (RFC 9112, 2.2 to 7; RFC 9110, 5.5, 8.4
 * and 8.6).
 *
 *   rhd_t *h = rhd_setup (ctx, &(rhd_desc_t){ .once = names });
 *   for each line, with its line end:
 *     if (rhd_push (h, line) == RHD_SPOILT)
 *       message = rhd_describe (ctx, h);
 *
 * Use it for each head that comes from elsewhere, before anything in it is
 * used: a head that breaks the rule is no response, whatever it says.  The
 * rule is strict where the standard lets a recipient guess, so that other
 * readers of a head that passes have one meaning left.  Requests ask for no
 * encoding, so that a response with one is none.  It accepts names in any
 * case, white space around values, bytes above 127 in values, a status line
 * without a reason, interim responses, and responses that end with their
 * connection.  The module does no I/O and keeps only the current head.
 */
#ifndef RTS_RHD_H
#define RTS_RHD_H

#include "core/http.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A head that has ended; borrowed from its reader. */
typedef struct
{
  int status; /**< from 100 to 999 */
  http_headers_t headers;
  bool chunked;    /**< Transfer-Encoding: chunked */
  bool has_length; /**< Content-Length */
  uint64_t length; /**< with has_length: in bytes */
  bool closes;     /**< it says that its connection closes behind it */
  bool has_body;   /**< a body follows, which may be empty */
} rhd_head_t;

/** Parameters of a reader; borrowed. */
typedef struct
{
  bool answers_head; /**< the request's method is HEAD: no body follows */
  const char *const *once; /**< names of headers that may not have two values,
                                besides those of HTTP; ends with NULL; NULL:
                                none */
} rhd_desc_t;

/** What a line has brought. */
typedef enum
{
  RHD_MORE,    /**< the head, or the trailer, goes on */
  RHD_INTERIM, /**< the head of an interim response (1xx) has ended */
  RHD_ENDED,   /**< the head has ended; further lines are its trailer's */
  RHD_SPOILT,  /**< a line breaks the rule; no further ones may be pushed */
} rhd_progress_t;

typedef struct rhd rhd_t;

/** Creates a reader owned by CTX. */
rhd_t *rhd_setup (void *ctx, const rhd_desc_t *desc);

/** Reads LINE, with its line end, of a head or, behind RHD_ENDED, of the
 * trailer.  A line that begins with CR or LF ends a head. */
rhd_progress_t rhd_push (rhd_t *h, buf_t line);

/** The head, once it has ended. */
const rhd_head_t *rhd_head (const rhd_t *h);

/** Whether the body behind HEAD ends with the connection alone. */
bool rhd_is_close_delimited (const rhd_head_t *head);

/** Which line breaks the rule and why, printable ASCII, owned by CTX; NULL:
 * none. */
char *rhd_describe (void *ctx, const rhd_t *h);

#endif

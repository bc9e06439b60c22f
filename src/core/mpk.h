/** @file
 * Message packing (mpk_): writer and reader of message bodies over msgpack-c.
 *
 * A body is a sequence of msgpack values in a fixed order, without arrays or
 * maps.
 *
 *   mpk_writer_t w;
 *   mpk_writer_init (&w, ctx);
 *   mpk_put_uint (&w, 7);
 *   mpk_put_str (&w, buf_str ("jy-vejle-1"));
 *   buf_t body = mpk_done (&w);
 *
 *   mpk_reader_t r = mpk_reader (ctx, body);
 *   uint64_t n = mpk_get_uint (&r);
 *   buf_t s = mpk_get_str (&r);
 *   if (!mpk_end (&r))
 *     the body is malformed
 *
 * Use this module for messages between VMs and for stored records, not for
 * JSON.  After the first missing value or value of another type, the reader
 * returns zeros and empty strings, so one check with mpk_end after the last
 * value suffices.  The body and all strings are owned by the CTX of the writer
 * or reader.
 */
#ifndef RTS_MPK_H
#define RTS_MPK_H

#include "core/buf.h"

#include <msgpack.h>
#include <stdint.h>

/** A body under construction; only the functions below access the fields. */
typedef struct
{
  void *ctx;
  msgpack_sbuffer sbuf;
  msgpack_packer packer;
} mpk_writer_t;

/** A position in a received body. */
typedef struct
{
  void *ctx;
  buf_t body;
  size_t at;   /**< number of bytes read */
  bool failed; /**< a value was missing or of another type */
} mpk_reader_t;

void mpk_writer_init (mpk_writer_t *w, void *ctx);
void mpk_put_uint (mpk_writer_t *w, uint64_t v);
void mpk_put_int (mpk_writer_t *w, int64_t v);
void mpk_put_double (mpk_writer_t *w, double v);
void mpk_put_str (mpk_writer_t *w, buf_t s);

/** Returns the body, owned by the writer's ctx.  Frees the writer's buffer, so
 * the writer needs mpk_writer_init before its next use. */
buf_t mpk_done (mpk_writer_t *w);

/** Returns a reader at the start of BODY, which the reader borrows. */
mpk_reader_t mpk_reader (void *ctx, buf_t body);
uint64_t mpk_get_uint (mpk_reader_t *r);
int64_t mpk_get_int (mpk_reader_t *r);
double mpk_get_double (mpk_reader_t *r);

/** Returns the next string, copied to the reader's ctx with a NUL byte after
 * the copy. */
buf_t mpk_get_str (mpk_reader_t *r);

/** Returns whether more values follow and no mismatch has occurred. */
bool mpk_more (const mpk_reader_t *r);

/** Returns whether the reader is at the body's end and no mismatch has
 * occurred. */
bool mpk_end (const mpk_reader_t *r);

#endif

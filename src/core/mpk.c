#include "core/mpk.h"

void
mpk_writer_init (mpk_writer_t *w, void *ctx)
{
  w->ctx = ctx;
  msgpack_sbuffer_init (&w->sbuf);
  msgpack_packer_init (&w->packer, &w->sbuf, msgpack_sbuffer_write);
}

void
mpk_put_uint (mpk_writer_t *w, uint64_t v)
{
  msgpack_pack_uint64 (&w->packer, v);
}

void
mpk_put_int (mpk_writer_t *w, int64_t v)
{
  msgpack_pack_int64 (&w->packer, v);
}

void
mpk_put_double (mpk_writer_t *w, double v)
{
  msgpack_pack_double (&w->packer, v);
}

void
mpk_put_str (mpk_writer_t *w, buf_t s)
{
  msgpack_pack_bin (&w->packer, s.n);
  msgpack_pack_bin_body (&w->packer, s.p, s.n);
}

buf_t
mpk_done (mpk_writer_t *w)
{
  buf_t body
      = buf_copy (w->ctx, (buf_t){ .p = w->sbuf.data, .n = w->sbuf.size });
  msgpack_sbuffer_destroy (&w->sbuf);
  return body;
}

mpk_reader_t
mpk_reader (void *ctx, buf_t body)
{
  return (mpk_reader_t){ .ctx = ctx, .body = body };
}

/* Returns whether a value that begins with byte TYPE may be unpacked.  Only
 * integers, doubles and byte strings may: for an array or a map, the library
 * allocates memory for the announced number of elements before it has read
 * them. */
static bool
_mpk_is_flat (unsigned char type)
{
  bool fixint = type <= 0x7f || type >= 0xe0;
  bool bin = type >= 0xc4 && type <= 0xc6;
  bool number = type >= 0xcb && type <= 0xd3;
  return fixint || bin || number;
}

/* Unpacks the next value into U.  On true, the caller must destroy U. */
static bool
_mpk_next (mpk_reader_t *r, msgpack_unpacked *u)
{
  msgpack_unpacked_init (u);
  if (!r->failed && r->at < r->body.n
      && !_mpk_is_flat ((unsigned char)r->body.p[r->at]))
    r->failed = true;
  if (r->failed)
    return false;
  if (msgpack_unpack_next (u, r->body.p, r->body.n, &r->at)
      == MSGPACK_UNPACK_SUCCESS)
    return true;
  msgpack_unpacked_destroy (u);
  r->failed = true;
  return false;
}

uint64_t
mpk_get_uint (mpk_reader_t *r)
{
  msgpack_unpacked u;
  uint64_t v = 0;
  if (!_mpk_next (r, &u))
    return 0;
  if (u.data.type == MSGPACK_OBJECT_POSITIVE_INTEGER)
    v = u.data.via.u64;
  else
    r->failed = true;
  msgpack_unpacked_destroy (&u);
  return v;
}

int64_t
mpk_get_int (mpk_reader_t *r)
{
  msgpack_unpacked u;
  int64_t v = 0;
  if (!_mpk_next (r, &u))
    return 0;
  if (u.data.type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    v = u.data.via.i64;
  else if (u.data.type == MSGPACK_OBJECT_POSITIVE_INTEGER
           && u.data.via.u64 <= INT64_MAX)
    v = (int64_t)u.data.via.u64;
  else
    r->failed = true;
  msgpack_unpacked_destroy (&u);
  return v;
}

double
mpk_get_double (mpk_reader_t *r)
{
  msgpack_unpacked u;
  double v = 0;
  if (!_mpk_next (r, &u))
    return 0;
  if (u.data.type == MSGPACK_OBJECT_FLOAT64)
    v = u.data.via.f64;
  else
    r->failed = true;
  msgpack_unpacked_destroy (&u);
  return v;
}

buf_t
mpk_get_str (mpk_reader_t *r)
{
  msgpack_unpacked u;
  buf_t v = { .p = "" };
  if (!_mpk_next (r, &u))
    return v;
  if (u.data.type == MSGPACK_OBJECT_BIN)
    v = buf_copy (
        r->ctx, (buf_t){ .p = u.data.via.bin.ptr, .n = u.data.via.bin.size });
  else
    r->failed = true;
  msgpack_unpacked_destroy (&u);
  return v;
}

bool
mpk_more (const mpk_reader_t *r)
{
  return !r->failed && r->at < r->body.n;
}

bool
mpk_end (const mpk_reader_t *r)
{
  return !r->failed && r->at == r->body.n;
}

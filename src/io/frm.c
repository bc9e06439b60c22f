#include "io/frm.h"

#include "core/mpk.h"

#include <arpa/inet.h>
#include <string.h>

buf_t
frm_encode (void *ctx, const msg_t *msg)
{
  if (msg->body.n > MSG_BODY_MAX)
    return (buf_t){ 0 };
  mpk_writer_t w;
  mpk_writer_init (&w, ctx);
  uint32_t head = 0;
  msgpack_sbuffer_write (&w.sbuf, (const char *)&head, sizeof head);
  mpk_put_uint (&w, msg->kind);
  mpk_put_int (&w, msg->stamp.ms);
  mpk_put_uint (&w, msg->stamp.count);
  mpk_put_str (&w, msg->body);
  buf_t frame = mpk_done (&w);
  head = htonl ((uint32_t)(frame.n - FRM_HEAD_SIZE));
  memcpy ((char *)(uintptr_t)frame.p, &head, sizeof head);
  return frame;
}

/* The length that the field at P announces. */
static size_t
_frm_length (const char *p)
{
  uint32_t head;
  memcpy (&head, p, sizeof head);
  return ntohl (head);
}

bool
frm_is_longer (buf_t bytes, size_t max)
{
  return bytes.n >= FRM_HEAD_SIZE && _frm_length (bytes.p) > max;
}

st_code_t
frm_decode (void *ctx, buf_t bytes, msg_t *msg, size_t *used)
{
  if (bytes.n < FRM_HEAD_SIZE)
    return ST_UNAVAILABLE;
  size_t n = _frm_length (bytes.p);
  if (n > FRM_MAX)
    return ST_TOO_LARGE;
  if (bytes.n - FRM_HEAD_SIZE < n)
    return ST_UNAVAILABLE;
  mpk_reader_t r
      = mpk_reader (ctx, (buf_t){ .p = bytes.p + FRM_HEAD_SIZE, .n = n });
  uint64_t kind = mpk_get_uint (&r);
  msg->stamp.ms = mpk_get_int (&r);
  uint64_t count = mpk_get_uint (&r);
  msg->body = mpk_get_str (&r);
  if (!mpk_end (&r) || kind > UINT16_MAX || count > UINT32_MAX)
    return ST_INVALID;
  msg->kind = (uint16_t)kind;
  msg->stamp.count = (uint32_t)count;
  *used = FRM_HEAD_SIZE + n;
  return ST_OK;
}

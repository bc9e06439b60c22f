/** @file
 * Frames between VMs: a length, then one msgpack array.
 *
 *   buf_t bytes = frm_encode (ctx, &msg);
 *   size_t used;
 *   switch (frm_decode (ctx, received, &msg, &used)) ...
 *
 * Pure functions over bytes: sockets are lnk.h's.  A frame above the cap or
 * of another shape is refused before its body is taken in.
 */
#ifndef RTS_FRM_H
#define RTS_FRM_H

#include "core/msg.h"
#include "core/st.h"

/** Bytes of the length before each frame. */
#define FRM_HEAD_SIZE 4

/** Largest frame without its head, in bytes. */
#define FRM_MAX (MSG_BODY_MAX + 64)

/** MSG as one frame, owned by CTX; {NULL, 0} when its body is too large. */
buf_t frm_encode (void *ctx, const msg_t *msg);

/** Take the first frame of BYTES.  ST_OK: *MSG is filled in (body owned by
 * CTX) and *USED bytes are spent; ST_UNAVAILABLE: more bytes are needed;
 * ST_TOO_LARGE, ST_INVALID: the stream cannot go on. */
st_code_t frm_decode (void *ctx, buf_t bytes, msg_t *msg, size_t *used);

#endif

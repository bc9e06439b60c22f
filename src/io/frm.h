/** @file
 * Frames (frm_): encoding of the messages between VMs.
 *
 *   buf_t bytes = frm_encode (ctx, &msg);
 *   size_t used;
 *   if (frm_decode (ctx, received, &msg, &used) == ST_OK)
 *     skip USED bytes
 *
 * A frame is a length (32 bits, network byte order) and that many bytes of
 * msgpack values: kind, stamp and body of the message.  These functions only
 * convert bytes; lnk.h sends and receives them.  A frame that is too large is
 * rejected by its length alone, before its body has arrived.  Sizes are in
 * bytes.
 */
#ifndef RTS_FRM_H
#define RTS_FRM_H

#include "core/msg.h"
#include "core/st.h"

/** Size of the length field, in bytes. */
#define FRM_HEAD_SIZE 4

/** Maximum size of a frame without its length field, in bytes; 64 bytes are
 * for the kind, the stamp and msgpack's type bytes. */
#define FRM_MAX (MSG_BODY_MAX + 64)

/** Returns MSG as a frame owned by CTX, or an empty buf_t when the body
 * exceeds MSG_BODY_MAX. */
buf_t frm_encode (void *ctx, const msg_t *msg);

/** Decodes the first frame of BYTES.  ST_OK: the frame is in *MSG (its body is
 * owned by CTX) and occupied *USED bytes.  ST_UNAVAILABLE: the frame is
 * incomplete.  ST_TOO_LARGE, ST_INVALID: the stream cannot be decoded any
 * further. */
st_code_t frm_decode (void *ctx, buf_t bytes, msg_t *msg, size_t *used);

/** Returns whether the length field of the first frame of BYTES announces more
 * than MAX bytes; false while the field is incomplete. */
bool frm_is_longer (buf_t bytes, size_t max);

#endif

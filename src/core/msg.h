/** @file
 * Messages (prefix msg_) between VMs: a kind and a msgpack body.
 *
 * Each module defines the kinds within its block, and encodes, decodes (with
 * mpk.h) and documents their bodies.  Kinds are numbers on the wire, so a
 * number is never reused.  Delivery is not guaranteed.  The body of a received
 * message is borrowed from the event; sizes are in bytes.
 */
#ifndef RTS_MSG_H
#define RTS_MSG_H

#include "core/buf.h"
#include "core/tln.h"

#include <stdint.h>

/** First kind of each module's block; the ranges are inclusive. */
typedef enum
{
  MSG_CONFIG_FIRST = 16,     /**< cfs: 16 to 23 */
  MSG_KEY_FIRST = 24,        /**< key: 24 to 31 */
  MSG_MEMBER_FIRST = 32,     /**< mbr: 32 to 47 */
  MSG_LIMIT_FIRST = 48,      /**< lim: 48 to 63 */
  MSG_ROUTE_FIRST = 64,      /**< rte: 64 to 79 */
  MSG_BATCH_FIRST = 80,      /**< bat, crd: 80 to 95 */
  MSG_JOB_FIRST = 96,        /**< job: 96 to 111 */
  MSG_DIRECTORY_FIRST = 112, /**< dir: 112 to 119 */
  MSG_PLATFORM_FIRST = 120,  /**< node_relay: 120 to 127 */
  MSG_STREAM_FIRST = 128,    /**< stv: 128 to 135 */
  MSG_CRASH_FIRST = 136,     /**< crs: 136 to 143 */
  MSG_PATH_FIRST = 144,      /**< pth: 144 to 151 */
  MSG_END = 152              /**< above all kinds */
} msg_block_t;

/** Largest body, in bytes. */
#define MSG_BODY_MAX ((size_t)1 << 20)

/** One message. */
typedef struct
{
  uint16_t kind;
  tln_stamp_t stamp; /**< set by the node when the message is sent */
  buf_t body;
} msg_t;

#endif

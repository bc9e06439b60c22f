/** @file
 * Messages between VMs: a kind and a msgpack body.
 *
 * Each module owns the bodies of its kinds (written and read with mpk.h)
 * and documents them beside its codec.  Kinds are numbers on the wire: they
 * are never reused.
 */
#ifndef RTS_MSG_H
#define RTS_MSG_H

#include "core/buf.h"
#include "core/tln.h"

#include <stdint.h>

/** Kinds of message, in blocks of 16 a module. */
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
  MSG_END = 128
} msg_block_t;

/** Largest body, in bytes. */
#define MSG_BODY_MAX ((size_t)1 << 20)

/** One message. */
typedef struct
{
  uint16_t kind;
  tln_stamp_t stamp; /**< set by the node on sending */
  buf_t body;
} msg_t;

#endif

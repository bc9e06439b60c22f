/** @file
 * Links (lnk_) between VMs: authenticated TCP connections for messages.
 *
 *   lnk_desc_t desc = { .loop = loop,
 *                       .vm = "jy-vejle-1",
 *                       .listen = "127.0.0.1:9001",
 *                       .secret = "...",
 *                       .handler = on_event,
 *                       .data = self };
 *   lnk_t *l = lnk_setup (ctx, &desc, &st);
 *   lnk_peer_add (l, "jy-aarhus-1", "127.0.0.1:9002");
 *   lnk_send (l, "jy-aarhus-1", &msg);
 *
 * In the handshake, each side sends its version, name and a nonce, and then
 * proves that it knows the shared secret with an HMAC over both nonces and its
 * name; any other frame before the proof closes the connection.  One link
 * carries messages in both directions.  A message is dropped when no link is
 * open, the link's queue is full or the body exceeds MSG_BODY_MAX; the links
 * neither retry nor forward messages, so the modules in core must tolerate the
 * loss.  Only lnk_setup fails.  Messages are borrowed in events and copied by
 * lnk_send; times are in milliseconds, sizes in bytes.
 */
#ifndef RTS_LNK_H
#define RTS_LNK_H

#include "core/clk.h"
#include "core/ev.h"

#include <tevent.h>

/** Protocol version; both sides of a link must have the same. */
#define LNK_VERSION 1

/** Interval of the heartbeats that each side sends. */
#define LNK_HEARTBEAT_MS (500 * (clk_ms_t)1)

/** A connection is closed when its peer has sent nothing for this time. */
#define LNK_SILENCE_TIMEOUT_MS (2 * CLK_SECOND)

/** Parameters of the links. */
typedef struct
{
  struct tevent_context *loop;
  const char *vm;                                  /**< this VM's name */
  const char *listen;                              /**< "IP:PORT" */
  const char *secret;                              /**< the same on all VMs */
  void (*handler) (void *data, const ev_t *event); /**< EV_PEER_* */
  void *data;
  size_t queue_max; /**< limit of the bytes queued for a peer; default 8 MiB */
} lnk_desc_t;

typedef struct lnk lnk_t;

/** Creates an object without links, owned by CTX, and listens for peers.
 * Returns NULL and sets ST when listening fails. */
lnk_t *lnk_setup (void *ctx, const lnk_desc_t *desc, st_t *st);

/** Closes all links and frees L. */
void lnk_shutdown (lnk_t *l);

/** Connects to VM at ADDRESS, and again whenever the link is closed, until
 * lnk_peer_remove. */
void lnk_peer_add (lnk_t *l, const char *vm, const char *address);

/** Stops connecting to VM and closes an open link to it. */
void lnk_peer_remove (lnk_t *l, const char *vm);

/** Sends MSG to VM, or drops it. */
void lnk_send (lnk_t *l, const char *vm, const msg_t *msg);

/** Returns the number of messages dropped so far. */
uint64_t lnk_dropped_count (const lnk_t *l);

#endif

/** @file
 * Links between VMs: proven, framed, watched by heartbeats.
 *
 *   lnk_t *l = lnk_setup (ctx, &(lnk_desc_t){ .loop = loop, .vm =
 * "jy-vejle-1", .listen = "127.0.0.1:9001", .secret = "...", ... }, &st);
 *   lnk_peer_add (l, "jy-aarhus-1", "127.0.0.1:9002");
 *   lnk_send (l, "jy-aarhus-1", &msg);
 *
 * Both ends greet with version, names and a nonce, then prove the shared
 * secret with an HMAC over both nonces; nothing else is taken before that.
 * A peer that is silent for LNK_SILENCE_TIMEOUT_MS is dropped.  One link
 * serves both directions.  A message is lost when there is no link or its
 * queue is full. No routing and no retries: core decides what a lost message
 * means.
 */
#ifndef RTS_LNK_H
#define RTS_LNK_H

#include "core/clk.h"
#include "core/ev.h"

#include <tevent.h>

/** Version in the greeting; links need equal ones. */
#define LNK_VERSION 1

/** How often each side sends something. */
#define LNK_HEARTBEAT_MS (500 * (clk_ms_t)1)

/** A peer that sends nothing for so long is dropped. */
#define LNK_SILENCE_TIMEOUT_MS (2 * CLK_SECOND)

/** How to set links up. */
typedef struct
{
  struct tevent_context *loop;
  const char *vm;                                  /**< this VM's name */
  const char *listen;                              /**< "IP:PORT" */
  const char *secret;                              /**< shared by the fleet */
  void (*handler) (void *data, const ev_t *event); /**< EV_PEER_* */
  void *data;
  size_t queue_max; /**< bytes waiting for one peer; default 8 MiB */
} lnk_desc_t;

typedef struct lnk lnk_t;

/** New links owned by CTX; NULL with ST when it cannot listen. */
lnk_t *lnk_setup (void *ctx, const lnk_desc_t *desc, st_t *st);

/** Close all links. */
void lnk_shutdown (lnk_t *l);

/** Keep a link to VM at ADDRESS: dial, and dial again when it is lost. */
void lnk_peer_add (lnk_t *l, const char *vm, const char *address);

/** No longer keep the link; an open one is closed. */
void lnk_peer_remove (lnk_t *l, const char *vm);

/** Send MSG to VM. */
void lnk_send (lnk_t *l, const char *vm, const msg_t *msg);

/** Messages lost for want of a link or of room. */
uint64_t lnk_dropped_count (const lnk_t *l);

#endif

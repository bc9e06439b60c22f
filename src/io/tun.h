/** @file
 * Tunnels (prefix tun_): passes the bytes of other VMs' calls on to upstreams
 * that these VMs do not reach (core/pth.h).
 *
 *   tun_t *t = tun_setup (ctx, &(tun_desc_t){ .loop = loop,
 *                                             .listen = "10.0.0.1:7375",
 *                                             .secret = secret,
 *                                             .admit = admit,
 *                                             .data = self }, &st);
 *
 * A VM opens a tunnel with CONNECT (RFC 9110, 9.3.6) and the address of an
 * upstream, and proves with TUN_PROOF_HEADER that it is of the fleet.  The
 * answer is TUN_OPEN once the upstream has accepted the connection; from then
 * on bytes pass as they come, both ways, with one small buffer each: whoever
 * reads slowly holds the other end up.  When the asking VM closes, the
 * connection to the upstream is closed at once.  When the upstream closes, the
 * asking VM sees the same end, a close or a reset; it sees a reset if this
 * process ends, so that a body that only a close ends is not taken for whole.
 *
 * Use it for calls to upstreams; links between VMs use lnk.h.  Sizes are in
 * bytes.  A request for a tunnel that is malformed or too long is answered
 * with 400 and closed.
 */
#ifndef RTS_TUN_H
#define RTS_TUN_H

#include "core/st.h"

#include <stddef.h>
#include <tevent.h>

/** Header with tun_proof. */
#define TUN_PROOF_HEADER "X-Tunnel-Proof"

/** Answers to a request for a tunnel: HTTP statuses. */
enum
{
  TUN_OPEN = 200,
  TUN_MALFORMED = 400,
  TUN_UNKNOWN = 404, /**< no upstream of that address gets new calls */
  TUN_DEAD = 502,    /**< the upstream cannot be reached from here either */
  TUN_REFUSED = 503, /**< this VM does not help now */
};

/** Parameters. */
typedef struct
{
  struct tevent_context *loop;
  const char *listen; /**< "IP:PORT"; borrowed */
  const char *secret; /**< the fleet's; borrowed */
  /** TUN_OPEN, TUN_UNKNOWN or TUN_REFUSED for a tunnel to ADDRESS while OPEN
   * others are open. */
  int (*admit) (void *data, const char *address, size_t open);
  void *data;
} tun_desc_t;

typedef struct tun tun_t;

/** Listens; NULL with the reason in ST if it cannot.  Owned by CTX. */
tun_t *tun_setup (void *ctx, const tun_desc_t *desc, st_t *st);

/** Resets all tunnels and frees T. */
void tun_shutdown (tun_t *t);

/** Number of tunnels that are open or being opened. */
size_t tun_open_count (const tun_t *t);

/** Value of TUN_PROOF_HEADER for the VM whose tunnels are at LISTEN, owned by
 * CTX. */
char *tun_proof (void *ctx, const char *secret, const char *listen);

#endif

/** @file
 * HTTP client on a bench (prefix hclbed_): one client, tunnels and a server
 * whose bytes the test writes, over loopback sockets, in one event loop.
 *
 *   hclbed_t *b = hclbed_open ();
 *   hclbed_call (b, 1, tunnel, body);
 *   int fd = hclbed_accepted (b);
 *   ... write to fd, close it ...
 *   hclbed_await (b, 1, false);
 *   hclbed_close (b);
 *
 * Use it for what an answer's bytes are to the client itself, directly and
 * through a tunnel; drvbed.h has a whole VM.  Waits end after 4 s.
 */
#ifndef RTS_HCLBED_H
#define RTS_HCLBED_H

#include "io/hcl.h"

#include <glib.h>

/** Bound of the body of an answer, in bytes. */
#define HCLBED_BODY_MAX ((size_t)1 << 20)

/** A bench; the calls' outcomes add up in it. */
typedef struct
{
  struct tevent_context *loop;
  hcl_t *client;
  struct tun *tunnels;
  char listen[32];  /**< of the tunnels */
  char address[32]; /**< of the server */
  int listener;
  int status;           /**< of the last head; -1: none */
  bool close_delimited; /**< as in hcl_event_t, of the last head */
  char *signature;      /**< in the last head; NULL: none */
  bool malformed;       /**< as in hcl_event_t, of the last failure */
  bool closed;          /**< the same */
  ev_fail_t fail;       /**< the same */
  ev_tunnel_t tunnel;   /**< the same */
  GString *body;
  unsigned ended;
  unsigned failed;
} hclbed_t;

/** Creates a bench. */
hclbed_t *hclbed_open (void);

/** Frees B. */
void hclbed_close (hclbed_t *b);

/** One turn of the loop, 2 ms at most. */
void hclbed_turn (hclbed_t *b);

/** Runs turns until COUNT calls are over, or, with BODY, some of a body has
 * come. */
void hclbed_await (hclbed_t *b, unsigned count, bool body);

/** The next connection of the server, which the test closes; -1: none. */
int hclbed_accepted (hclbed_t *b);

/** Starts call ID, a POST of BODY with the Request-Id "r-1"; through a
 * tunnel if TUNNEL.  Call 1 begins a new count. */
void hclbed_call (hclbed_t *b, uint64_t id, bool tunnel, buf_t body);

#endif

/** @file
 * Driver on a bench (prefix drvbed_): one real driver with a fake platform and
 * scripted upstreams, over loopback sockets, in one event loop.
 *
 *   drvbed_t *b = drvbed_setup (1);
 *   drvbed_answer_t *a = drvbed_ask (b, "r-1");
 *   drvbed_request_t *r = drvbed_await_request (b, 0, "r-1");
 *   drvbed_respond (b, r);
 *   drvbed_await_answer (b, a);
 *   CU_ASSERT (drvbed_is_own (a));
 *   drvbed_shutdown (b);
 *
 * Use it for what bytes on a connection do to the requests after them: the
 * test chooses each byte that an upstream sends, and when.  For what a node
 * decides, hst.h and flt.h are faster and repeat exactly: they run in virtual
 * time.
 *
 * The VM is an entry VM in "north".  Upstream 0 is there as well; any others
 * are in "south", where the VM sends a request only after upstream 0 has
 * failed it, and where it reads no load.  All requests are POSTs on one route
 * that is streaming and resumable, so that they are repeated and reuse
 * connections.  An upstream answers load queries by itself, unless they are
 * held.  Every wait ends after DRVBED_WAIT_MS.  The bed owns everything that
 * it returns.
 */
#ifndef RTS_DRVBED_H
#define RTS_DRVBED_H

#include "core/clk.h"

#include <glib.h>
#include <stdbool.h>

/** Longest wait of any function, in ms. */
#define DRVBED_WAIT_MS (4 * CLK_SECOND)

/** Id under which load queries are found. */
#define DRVBED_LOAD "load"

typedef struct drvbed drvbed_t;

/** A connection that an upstream has accepted. */
typedef struct drvbed_conn drvbed_conn_t;

/** A request that an upstream has received. */
typedef struct
{
  drvbed_conn_t *conn;
  const char *id; /**< its Request-Id; DRVBED_LOAD for a load query */
  bool handled;   /**< returned by drvbed_await_request, or answered */
} drvbed_request_t;

/** What a caller has received so far. */
typedef struct
{
  const char *id; /**< of its request */
  int status;     /**< 0: no response yet */
  char *response_id;
  char *signature;
  GString *body;
  bool ended;  /**< complete or failed */
  bool failed; /**< broken off */
} drvbed_answer_t;

/** Framing of a response's body. */
typedef enum
{
  DRVBED_LENGTH,
  DRVBED_CHUNKED,
} drvbed_framing_t;

/** Creates a bed with UPSTREAMS upstreams and waits until upstream 0 has
 * answered its first load query.  Returns NULL when that does not happen. */
drvbed_t *drvbed_setup (size_t upstreams);

/** Stops everything and frees the bed. */
void drvbed_shutdown (drvbed_t *b);

/** Sends a caller's request ID on a connection of its own. */
drvbed_answer_t *drvbed_ask (drvbed_t *b, const char *id);

/** Waits until the caller of A has its whole response or an error. */
bool drvbed_await_answer (drvbed_t *b, const drvbed_answer_t *a);

/** Returns whether A is the whole, signed response that drvbed_response makes
 * for A's request. */
bool drvbed_is_own (const drvbed_answer_t *a);

/** Waits for a request ID at UPSTREAM that is not handled, and marks it as
 * handled.  Returns NULL when there is none in time. */
drvbed_request_t *drvbed_await_request (drvbed_t *b, size_t upstream,
                                        const char *id);

/** Returns the number of requests ID that UPSTREAM has received. */
unsigned drvbed_request_count (const drvbed_t *b, size_t upstream,
                               const char *id);

/** Returns the number of all requests that arrived on CONN. */
unsigned drvbed_conn_count (const drvbed_t *b, const drvbed_conn_t *conn);

/** HOLD: load queries that arrive from now on are left to the test. */
void drvbed_hold_loads (drvbed_t *b, bool hold);

/** From now on UPSTREAM answers each request properly as it arrives. */
void drvbed_serve (drvbed_t *b, size_t upstream);

/** Returns the bytes of a proper response to request ID: 200, its id, its
 * signature and a stream of some events that contain ID. */
const char *drvbed_response (drvbed_t *b, drvbed_framing_t framing,
                             const char *id);

/** Returns the bytes of a load report: 200, JSON, without an id. */
const char *drvbed_load_report (drvbed_t *b);

/** Sends the proper response to R, with a length. */
void drvbed_respond (drvbed_t *b, const drvbed_request_t *r);

/** Sends TEXT in one write.  Does nothing on a connection that the VM has
 * closed. */
void drvbed_send (drvbed_conn_t *conn, const char *text);

/** Waits until the VM has read all bytes sent on CONN, or has closed it. */
bool drvbed_await_read (drvbed_t *b, drvbed_conn_t *conn);

/** Waits at most MS until the VM has closed CONN. */
bool drvbed_await_close (drvbed_t *b, drvbed_conn_t *conn, clk_ms_t ms);

/** Closes CONN at the upstream. */
void drvbed_close (drvbed_conn_t *conn);

#endif

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
 * failed it, and where it reads no load, unless drvbed_desc_t says otherwise.
 * All requests are POSTs on one route that is streaming and resumable, so that
 * they are repeated and reuse connections, unless drvbed_ask_at names another
 * route: one whose streams may not be resumed, or one that answers as a whole
 * and is idempotent.  A further route takes jobs.  An
 * upstream answers load queries by itself, unless they are held.  Every wait
 * ends after DRVBED_WAIT_MS.  The bed owns everything that it returns.
 */
#ifndef RTS_DRVBED_H
#define RTS_DRVBED_H

#include "core/clk.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Longest wait of any function, in ms. */
#define DRVBED_WAIT_MS (4 * CLK_SECOND)

/** Largest number of upstreams. */
#define DRVBED_UPSTREAMS_MAX 8

/** Id under which load queries are found. */
#define DRVBED_LOAD "load"

typedef struct drvbed drvbed_t;

/** A connection that an upstream has accepted. */
typedef struct drvbed_conn drvbed_conn_t;

/** A request that an upstream has received. */
typedef struct
{
  drvbed_conn_t *conn;
  const char *id;     /**< its Request-Id; DRVBED_LOAD for a load query */
  const char *target; /**< the upstream that it names; NULL: none */
  const char *after;  /**< its Last-Event-Id; NULL: none */
  bool handled;       /**< returned by drvbed_await_request, or answered */
} drvbed_request_t;

/** What a caller has received so far. */
typedef struct
{
  const char *id; /**< of its request */
  int status;     /**< 0: no response yet */
  char *response_id;
  char *signature;
  char *retry_after; /**< NULL: none */
  clk_ms_t asked_at; /**< when the request was sent */
  clk_ms_t head_at;  /**< when the response's head came; 0: not yet */
  GString *body;
  bool close_delimited; /**< the body has neither a length nor chunks */
  bool ended;           /**< complete or failed */
  bool failed;          /**< broken off */
} drvbed_answer_t;

/** Framing of a response's body. */
typedef enum
{
  DRVBED_LENGTH,
  DRVBED_CHUNKED,
  DRVBED_CLOSE, /**< none: the body ends with the connection */
} drvbed_framing_t;

/** Parameters of drvbed_setup_with. */
typedef struct
{
  size_t upstreams; /**< at most DRVBED_UPSTREAMS_MAX */
  bool near;        /**< all upstreams are in the VM's data centre */
  bool worker;      /**< a worker VM runs as well */
  uint64_t born;    /**< of all entries and load reports, Unix time in ms; 0:
                         they have none */
} drvbed_desc_t;

/** Creates a bed and waits until upstream 0 has answered its first load query.
 * Returns NULL when that does not happen. */
drvbed_t *drvbed_setup_with (const drvbed_desc_t *desc);

/** The same for UPSTREAMS upstreams and defaults. */
drvbed_t *drvbed_setup (size_t upstreams);

/** Ends the entry VM without a shutdown of its own and starts it anew.
 * Returns whether it has read the load of upstream 0. */
bool drvbed_restart (drvbed_t *b);

/** Stops everything and frees the bed. */
void drvbed_shutdown (drvbed_t *b);

/** Runs the loop for MS. */
void drvbed_pass (drvbed_t *b, clk_ms_t ms);

/** Sends a caller's request ID on a connection of its own.  Its prompt is new,
 * so that no upstream holds it. */
drvbed_answer_t *drvbed_ask (drvbed_t *b, const char *id);

/** Paths of the routes. */
#define DRVBED_RESUMABLE "/fit/stream"
#define DRVBED_STREAM "/check/stream"
#define DRVBED_PLAIN "/plain/answer"

/** The same as drvbed_ask, with the route's PATH. */
drvbed_answer_t *drvbed_ask_at (drvbed_t *b, const char *id, const char *path);

/** The same as drvbed_ask, for a request with BODY whose prompt has PARTS, in
 * the platform's form. */
drvbed_answer_t *drvbed_ask_parts (drvbed_t *b, const char *id,
                                   const char *parts, const char *body);

/** The same as drvbed_ask, for a request that takes up, behind event AFTER,
 * the stream that request RESUMES has begun. */
drvbed_answer_t *drvbed_take_up (drvbed_t *b, const char *id,
                                 const char *resumes, const char *after);

/** Port of 127.0.0.1 at which the entry VM takes callers' requests. */
uint16_t drvbed_port (const drvbed_t *b);

/** Bytes of a request ID to PATH of HTTP VERSION, "1.0" or "1.1", whose
 * further header lines, each with its line end, are HEADERS. */
const char *drvbed_request_text (drvbed_t *b, const char *id, const char *path,
                                 const char *version, const char *headers);

/** Submits a job ID with COUNT items, whose ids are "ID-1", "ID-2" and so on.
 */
drvbed_answer_t *drvbed_submit (drvbed_t *b, const char *id, size_t count);

/** Reads the results of job ID. */
drvbed_answer_t *drvbed_results (drvbed_t *b, const char *id);

/** Waits until the caller of A has the head of its response. */
bool drvbed_await_head (drvbed_t *b, const drvbed_answer_t *a);

/** Waits until the caller of A has its whole response or an error. */
bool drvbed_await_answer (drvbed_t *b, const drvbed_answer_t *a);

/** Returns whether A is the whole, signed response that drvbed_response makes
 * for A's request. */
bool drvbed_is_own (const drvbed_answer_t *a);

/** Waits for a request ID at UPSTREAM that is not handled, and marks it as
 * handled.  Returns NULL when there is none in time. */
drvbed_request_t *drvbed_await_request (drvbed_t *b, size_t upstream,
                                        const char *id);

/** Returns the number of requests ID that UPSTREAM has received; NULL counts
 * all but load queries. */
unsigned drvbed_request_count (const drvbed_t *b, size_t upstream,
                               const char *id);

/** Returns the number of all requests that arrived on CONN. */
unsigned drvbed_conn_count (const drvbed_t *b, const drvbed_conn_t *conn);

/** Waits until UPSTREAM has answered COUNT more load queries, and the VM has
 * read the answers. */
bool drvbed_await_reports (drvbed_t *b, size_t upstream, unsigned count);

/** HOLD: load queries that arrive from now on are left to the test. */
void drvbed_hold_loads (drvbed_t *b, bool hold);

/** From now on a request whose id begins with IDS, borrowed, ends the upstream
 * at which it arrives: all its connections that have had requests close and
 * its entry leaves the list.  It goes on to accept connections and to answer
 * load queries. */
void drvbed_end_under (drvbed_t *b, const char *ids);

/** Whether UPSTREAM has ended so; drvbed_list names its next start. */
bool drvbed_has_ended (const drvbed_t *b, size_t upstream);

/** From now on UPSTREAM answers each request properly as it arrives. */
void drvbed_serve (drvbed_t *b, size_t upstream);

/** What an upstream says. */
typedef struct
{
  int status;                /**< of responses to requests; 0: 200 */
  const char *header;        /**< "NAME: VALUE" in responses to requests; NULL:
                                  none */
  int report_status;         /**< of load reports; 0: 200 */
  const char *report_header; /**< "NAME: VALUE" in them; NULL: none */
  uint64_t born;             /**< in load reports, Unix time in ms; 0: none */
  unsigned seq;              /**< in load reports; 0: 1 */
} drvbed_says_t;

/** Sets what UPSTREAM says from now on.  The strings are borrowed. */
void drvbed_says (drvbed_t *b, size_t upstream, const drvbed_says_t *says);

/** A response. */
typedef struct
{
  const char *id;      /**< NULL: without an id */
  int status;          /**< 0: 200, with the signature */
  const char *header;  /**< "NAME: VALUE" besides the usual; NULL: none */
  const char *trailer; /**< the same after the body; needs DRVBED_CHUNKED */
  unsigned after;      /**< a success begins behind this event; 0: the first
                            event */
  drvbed_framing_t framing;
} drvbed_reply_t;

/** Returns the bytes of the response R.  Statuses 421 and 503 promise that the
 * request has not run. */
const char *drvbed_reply (drvbed_t *b, const drvbed_reply_t *r);

/** Returns the bytes of a proper response to request ID: 200, its id, its
 * signature and a stream of some events that contain ID. */
const char *drvbed_response (drvbed_t *b, drvbed_framing_t framing,
                             const char *id);

/** Returns the bytes of a load report: 200, JSON, without an id. */
const char *drvbed_load_report (drvbed_t *b);

/** Returns the bytes of the response to R that its upstream says, with a
 * length. */
const char *drvbed_said (drvbed_t *b, const drvbed_request_t *r);

/** Sends that response. */
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

/** Resets CONN at the upstream. */
void drvbed_reset (drvbed_conn_t *conn);

/* The platform's list of upstreams (drvbed_platform.c).  At first it has one
 * entry for each upstream N: name "up-N", state ready. */

/** An entry of the list. */
typedef struct
{
  const char *name;  /**< as the upstream's id */
  size_t upstream;   /**< whose address it has */
  const char *state; /**< NULL: "ready" */
  const char *zone;  /**< NULL: that of the upstream */
  uint64_t born;     /**< Unix time in ms; 0: none */
  unsigned seq;
  const char *version; /**< of its software; NULL: none */
} drvbed_entry_t;

/** Adds entry E to the list, or replaces the entry of its name. */
void drvbed_list (drvbed_t *b, const drvbed_entry_t *e);

/** Adds an entry NAME that has a member with the value RAW, which is borrowed
 * and stands in the list's text as it is.  One value stands for all such
 * entries. */
void drvbed_list_odd (drvbed_t *b, const char *name, const char *raw);

/** Removes the entry NAME. */
void drvbed_unlist (drvbed_t *b, const char *name);

/** Waits until all VMs have read all changes of the list. */
bool drvbed_await_listed (drvbed_t *b);

/** The platform loses its history: watches get status 410, so that the VMs
 * read all lists anew. */
void drvbed_history_lose (drvbed_t *b);

/** From now on the platform accepts connections and calls and sends nothing.
 */
void drvbed_platform_silence (drvbed_t *b);

#endif

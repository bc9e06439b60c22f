/** @file
 * Hosted fleet (prefix hst_): whole nodes under virtual time, with a fake
 * platform that holds the configuration and the list of upstreams and serves
 * watches, and with fake upstreams that respond with numbered events.
 *
 *   hst_t *h = hst_setup (&(hst_desc_t){ .entries = 2, .workers = 2 });
 *   hst_advance (h, 2000);
 *   uint64_t c = hst_request (h, 0, &(ev_request_t){ ... });
 *   hst_advance (h, 100);
 *   hst_response (h, c)->status
 *
 * Use it for tests of several nodes that the platform configures; a test of
 * one module is simpler without it.  VMs are numbered from 0, entry VMs first,
 * then workers; upstreams are numbered from 0 on their own.  Times are in ms.
 */
#ifndef RTS_HST_H
#define RTS_HST_H

#include "core/node.h"

#include <glib.h>

/** Largest number of VMs, and of upstreams. */
#define HST_MAX 64

/** Settings of a fleet; zeros mean the defaults. */
typedef struct
{
  size_t entries;         /**< entry VMs; default 2 */
  size_t workers;         /**< worker VMs; default 2 */
  size_t upstreams;       /**< default 2, of 8 slots each */
  size_t far_upstreams;   /**< of the upstreams, the last ones that are in the
                               other data centre, "south"; default 0 */
  unsigned events;        /**< in a response of an upstream; default 20 */
  unsigned online_events; /**< the same in responses to callers' requests;
                               default: events */
  clk_ms_t gap_ms;        /**< between two events; default 10 */
  clk_ms_t gap_step_ms;   /**< by which the gap of an upstream is longer than
                             that of the one before it; default 0 */
  double rate;  /**< limit of customer "acme", in requests per second; 0: no
                     limit */
  double burst; /**< of the same limit, in requests */
  bool load_reports;   /**< whether upstreams report their load */
  clk_ms_t history_ms; /**< for which the platform keeps its history, and as
                            the VMs are told; 0: for ever */
  bool resumable; /**< whether streams of the online route are resumable */
  uint64_t late;  /**< bits of the VMs that hst_setup does not start */
  bool far_vms;   /**< whether VMs with odd numbers are in "south" */
  clk_ms_t evacuate_ms;   /**< as in node_desc_t; default 0 */
  lsl_desc_t slack;       /**< excess over limits that the VMs may admit */
  double cold_per_s;      /**< requests a second that a cold upstream takes */
  clk_ms_t cold_start_ms; /**< for which one is cold after its start */
  double cold_overshoot;  /**< of node_desc_t, like the next field */
  double cold_slack;
  uint64_t waiting_tokens; /**< of a customer on the route of jobs; default
                                1000 */
  uint32_t item_attempts;  /**< of the route of jobs; default 3 */
  bool refuse_late;        /**< as in job_desc_t */
  bool yield_late;         /**< as in job_desc_t */
  bool preempt_once;       /**< as in job_desc_t */
  bool avoid_failing;      /**< as in rte_desc_t */
  bool second_customer;    /**< there is customer "beta" with key "key-beta",
                                beside "acme" */
  bool states_load;        /**< responses state the upstream's load */
  bool tunnels;            /**< VMs pass calls on for each other */
  size_t second_upstreams; /**< of the upstreams, the last ones that are of a
                                second service, whose items hst_submit_second
                                submits; default 0 */
} hst_desc_t;

/** The response that a caller has received so far. */
typedef struct
{
  int status;              /**< 0: no response yet */
  clk_ms_t retry_after_ms; /**< of the head; 0: none */
  clk_ms_t first_at;       /**< time of the head on the fleet's clock */
  clk_ms_t ended_at;       /**< time of the end; 0: not yet */
  bool ended;              /**< the response is complete or aborted */
  bool aborted;            /**< the response was cut off */
  GString *body;
  uint64_t total;   /**< items of the job, in a response with results */
  uint64_t next;    /**< position after the last result of the response */
  GPtrArray *ids;   /**< char *: ids of the items, in the order of results */
  GPtrArray *texts; /**< char *: their texts, in the same order */
} hst_response_t;

/** Bytes that come without end. */
typedef enum
{
  HST_ENDS,
  HST_ENDLESS_EVENT,  /**< one event, after the others */
  HST_ENDLESS_EVENTS, /**< one whole event after another */
  HST_ENDLESS_EMPTY,  /**< one event without data after another */
  HST_ENDLESS_DRIP,   /**< one event, a byte a second */
} hst_endless_t;

/** A fault of an upstream. */
typedef struct
{
  int status;             /**< status of responses; 0: 200 */
  unsigned status_tenths; /**< of ten responses, how many have STATUS; 0:
                               all; the others have 200 */
  bool not_run; /**< responses promise that the request has not run */
  /** The next response that starts with event 1 sends this many complete
   * events and breaks off within the following one; 0: none breaks off. */
  unsigned break_after;
  bool no_id; /**< responses lack the id of their request, as a response of
                   another request that was left on the connection; the
                   request itself runs, whatever not_run says */
  bool no_signature;    /**< successes lack the upstream's signature */
  bool says_leaving;    /**< responses to requests say that the upstream is
                             leaving */
  bool reports_leaving; /**< load reports say so */
  bool unframed;        /**< responses have neither a length nor chunks */
  bool cut_off; /**< no bytes pass: a new connection ends at its time limit,
                     and streams in progress fall silent */
  hst_endless_t endless; /**< bodies of all responses, whatever the status,
                            HST_ENDLESS_MAX bytes at most */
} hst_fault_t;

/** Bytes of a body without end after which it falls silent. */
#define HST_ENDLESS_MAX ((size_t)16 << 20)

typedef struct hst hst_t;

/** Create a fleet and start all its VMs. */
hst_t *hst_setup (const hst_desc_t *desc);

/** The same, and let it start for 6 s. */
hst_t *hst_fleet (const hst_desc_t *desc);

/** Stop and free the fleet. */
void hst_shutdown (hst_t *h);

/** Time on the fleet's clock. */
clk_ms_t hst_now (const hst_t *h);

/** Advance the clock by MS and process the events until then. */
void hst_advance (hst_t *h, clk_ms_t ms);

/** From now on reads that may be stale do not show changes that are younger
 * than MS. */
void hst_platform_stale (hst_t *h, clk_ms_t ms);

/** Send a caller's request to VM; returns the caller's number. */
uint64_t hst_request (hst_t *h, size_t vm, const ev_request_t *req);

/** Send a request for a stream on the online route whose prompt has the COUNT
 * shared PARTS, with request id ID and BODY; returns the caller's number. */
uint64_t hst_prompt (hst_t *h, size_t vm, const char *id, const char *body,
                     const uint64_t *parts, size_t count);

/** Send a request for a stream on the online route, with API key KEY and
 * request id ID; returns the caller's number. */
uint64_t hst_stream (hst_t *h, size_t vm, const char *key, const char *id);

/** The same for request ID that takes up, behind event AFTER, the stream that
 * request RESUMES has begun; NULL: it does not say which. */
uint64_t hst_take_up (hst_t *h, size_t vm, const char *id, const char *resumes,
                      const char *after);

/** From now on the prompts of items that are submitted have the COUNT shared
 * PARTS, which are borrowed. */
void hst_item_parts_set (hst_t *h, const uint64_t *parts, size_t count);

/** Submit job ID with COUNT items; returns the caller's number. */
uint64_t hst_submit (hst_t *h, size_t vm, const char *id, size_t count);

/** The same for items of the second service. */
uint64_t hst_submit_second (hst_t *h, size_t vm, const char *id, size_t count);

/** The same for the customer with API key KEY. */
uint64_t hst_submit_as (hst_t *h, size_t vm, const char *key, const char *id,
                        size_t count);

/** Ask VM for the end of job ID; returns the caller's number. */
uint64_t hst_job_end (hst_t *h, size_t vm, const char *id);

/** Read the results of job ID from position AFTER on; returns the caller's
 * number. */
uint64_t hst_results_read (hst_t *h, size_t vm, const char *id,
                           uint64_t after);

/** The response that CALLER has received so far. */
const hst_response_t *hst_response (hst_t *h, uint64_t caller);

/** Kill the process of VM; hst_start starts a new one. */
void hst_kill (hst_t *h, size_t vm);
void hst_start (hst_t *h, size_t vm);

/** Start a new process of VM while the other VMs still hold the links to its
 * last one: they see neither these links close nor the new ones open. */
void hst_start_unnoticed (hst_t *h, size_t vm);

/** Ask the process of VM for a graceful shutdown. */
void hst_leave (hst_t *h, size_t vm);

/** While ISOLATED, VM reaches no other VM and not the platform; it reaches all
 * upstreams. */
void hst_isolate (hst_t *h, size_t vm, bool isolated);

/** While DOWN, the platform's responses to VM, or to all VMs if VM is HST_MAX,
 * are ST_UNAVAILABLE. */
void hst_platform_down (hst_t *h, size_t vm, bool down);

/** While SILENT, the platform does not respond: calls made now end at their
 * time limit, watches a little after theirs. */
void hst_platform_silent (hst_t *h, bool silent);

/** How a VM is cut off from upstreams. */
typedef enum
{
  HST_REACHES,
  HST_SILENCED, /**< bytes are lost: new connections and open ones hang */
  HST_REFUSED,  /**< new connections are refused; open ones, also those of
                     earlier calls, live on */
} hst_stranding_t;

/** From now on VM is cut off from the first COUNT upstreams as HOW says. */
void hst_strand (hst_t *h, size_t vm, hst_stranding_t how, size_t count);

/** While CUT, no byte passes between VM and the platform: calls and watches of
 * that time, also those that have begun before, end at their time limits. */
void hst_platform_cut (hst_t *h, size_t vm, bool cut);

/** From now on the platform takes MS to serve a call; 0: the usual time. */
void hst_platform_slow (hst_t *h, clk_ms_t ms);

/** From now on calls about names that begin with PREFIX get ST_UNAVAILABLE;
 * NULL: none. */
void hst_platform_refuse (hst_t *h, const char *prefix);

/** While REFUSED, calls that read or watch the list of evacuated data centres,
 * and no others, get ST_UNAVAILABLE. */
void hst_evacuations_refuse (hst_t *h, bool refused);

/** Number of calls that VM has made to the platform about names that begin
 * with NAME. */
unsigned hst_call_count (const hst_t *h, size_t vm, const char *name);

/** Number of calls that VM has made to read or watch the operator's document
 * and the list of upstreams. */
unsigned hst_directory_call_count (const hst_t *h, size_t vm);

/** Write a newer version of the operator's document, with KEY as its only API
 * key. */
void hst_document_write (hst_t *h, const char *key);

/** Write VALUE to the platform as object NAME, which does not exist yet, as
 * another VM would. */
void hst_object_write (hst_t *h, const char *name, buf_t value);

/** Make the platform lose its history.  Watches of the document see no change
 * before they time out; other watches fail with ST_STALE. */
void hst_compact (hst_t *h);

/** From now on data centre NAME, borrowed, is in the list of evacuated ones,
 * or is not. */
void hst_evacuate (hst_t *h, const char *name, bool evacuated);

/** Ask VM to retire, and whether VM has reported that it has retired. */
void hst_retire (hst_t *h, size_t vm);
bool hst_retired (const hst_t *h, size_t vm);

/** Set the fault of UPSTREAM. */
void hst_fault_set (hst_t *h, size_t upstream, hst_fault_t fault);

/** Set when the process of UPSTREAM has started, in ms of the fleet's clock,
 * which is the Unix time of its VMs.  The list, which changes, and load
 * reports have it; 0: neither has.  All upstreams begin with 0. */
void hst_born_set (hst_t *h, size_t upstream, clk_ms_t born);

/** Sets the VERSION of UPSTREAM's software, which is borrowed, in the list;
 * NULL: the list does not tell.  All upstreams begin so. */
void hst_version_set (hst_t *h, size_t upstream, const char *version);

/** Sets what responses of UPSTREAM to requests, and its load reports too if
 * REPORTED, say about its limit; MALFORMED texts are borrowed.  All upstreams
 * begin with EV_LIMIT_UNKNOWN. */
void hst_limit_set (hst_t *h, size_t upstream, ev_limit_t limit,
                    bool reported);

/** What is said of the cold time of an upstream. */
typedef struct
{
  clk_ms_t until; /**< it is cold until then */
  bool listed;    /**< in the list, which changes every HST_BEAT_MS */
  bool said;      /**< in responses to requests and in load reports */
  bool malformed; /**< as a number without a meaning */
} hst_cold_t;

/** Interval at which the entries of cold upstreams change. */
#define HST_BEAT_MS ((clk_ms_t)1200)

/** Sets the cold time of UPSTREAM.  All upstreams begin without one. */
void hst_cold_set (hst_t *h, size_t upstream, hst_cold_t cold);

/** Messages of KIND between VMs since the last call for that kind; 0 at the
 * first. */
unsigned hst_messages (hst_t *h, uint16_t kind);

/** A request that an upstream has received. */
typedef struct
{
  clk_ms_t at;
  size_t vm;  /**< that sent it */
  size_t via; /**< that passed it on; HST_MAX: none */
  size_t upstream;
  bool item;   /**< an item of a job, not a caller's request */
  char id[32]; /**< of the request, cut */
} hst_arrival_t;

/** How an upstream ends and comes back. */
typedef struct
{
  const char *ids; /**< requests whose ids begin so end the upstream when it
                        begins to answer, borrowed; NULL: none does */
  unsigned after_events; /**< events that the answer has before that */
  bool clean;   /**< its connections close as if the answers were whole */
  bool refuses; /**< new connections are refused; false: nothing answers */
  clk_ms_t break_ms;  /**< until its connections break; default 0 */
  clk_ms_t unlist_ms; /**< until the list no longer names it; default 3 s */
  clk_ms_t down_ms;   /**< until its next start, which the list names at once;
                           default 3 s */
} hst_crash_t;

/** An upstream that has ended. */
typedef struct
{
  clk_ms_t at;
  size_t upstream;
  char id[32]; /**< of the request that ended it, cut; "": by itself */
} hst_end_t;

/** Set how upstreams end from now on; all upstreams have starts from then on.
 */
void hst_crash_set (hst_t *h, hst_crash_t crash);

/** End UPSTREAM: all that it runs is broken off. */
void hst_crash (hst_t *h, size_t upstream);

/** All ends of upstreams, in the order of their times: hst_end_t. */
const GArray *hst_ends (const hst_t *h);

/** Value of a counter without labels of VM's process. */
double hst_counter (const hst_t *h, size_t vm, const char *name);

/** Value of a counter with LABELS, summed over all VMs. */
double hst_counter_sum (const hst_t *h, const char *name, const char *labels);

/** All requests that upstreams have received, except reads of their load, in
 * the order of their times: hst_arrival_t. */
const GArray *hst_arrivals (const hst_t *h);

/** While UNLISTED, the list does not name UPSTREAM. */
void hst_unlisted_set (hst_t *h, size_t upstream, bool unlisted);

/** Stops the process of VM for MS: what would have reached it comes at once
 * then. */
void hst_freeze (hst_t *h, size_t vm, clk_ms_t ms);

/** Whether VM has a process that is not stopped. */
bool hst_runs (const hst_t *h, size_t vm);

/** Sets whether the list marks UPSTREAM as leaving. */
void hst_leaving_set (hst_t *h, size_t upstream, bool leaving);

/** Upstream of run NUMBER, from 0, of request ID; HST_MAX: there is none. */
size_t hst_run_upstream (const hst_t *h, const char *id, unsigned number);

/** Number of requests that UPSTREAM has received, except reads of its load. */
unsigned hst_received_count (const hst_t *h, size_t upstream);

/** Number of requests with ID that have started to run at any upstream; ""
 * counts all requests. */
unsigned hst_run_count (const hst_t *h, const char *id);

/** Largest number of requests that ran at UPSTREAM at the same time. */
unsigned hst_running_max (const hst_t *h, size_t upstream);

/** Number of requests that run at UPSTREAM now. */
unsigned hst_running_count (const hst_t *h, size_t upstream);

/** Time for which requests ran at upstreams beyond the 8 slots, summed over
 * these requests: how long requests would have waited for slots. */
clk_ms_t hst_waited_ms (const hst_t *h);

/** Largest number of bytes that UPSTREAM has sent in a body without end. */
size_t hst_endless_sent (const hst_t *h, size_t upstream);

/** The last request that any upstream received, except reads of its load.  Of
 * its strings only customer, upstream and resume_after are valid; its headers
 * are empty. */
const fx_upstream_t *hst_last_call (const hst_t *h);

#endif

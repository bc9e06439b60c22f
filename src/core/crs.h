/** @file
 * Crashes (prefix crs_): which parts of prompts end the upstreams that run
 * them, over all VMs, and which requests may be sent because of it.
 *
 *   switch (crs_may_send (c, env, &(crs_query_t){ .mod = MOD_ONLINE,
 *                                                 .tag = tag,
 *                                                 .subjects = subjects },
 *                         &retry_ms))
 *     ... before each send; then, by the router:
 *   crs_run_begin (c, env, handle, &(crs_run_t){ .upstream = "i-1", ... });
 *   crs_run_head (c, env, handle);
 *   crs_run_end (c, env, handle, CRS_END_WHOLE);
 *
 * A *subject* is a 64-bit hash of what requests have in common and what may be
 * to blame: a part of a prompt, or the request itself, which may come again.
 * An upstream has *ended* when a connection breaks under a request and then
 * the upstream refuses new connections or does not accept them, or the list
 * drops it or names a new start.  Each subject of each request that ran there
 * is counted once for the end, unless the request's answer had gone on for
 * CRS_BEGUN_MS: what ends upstreams does so as it begins.  A whole answer, or
 * one that goes on for so long, sets the counts of its subjects back to none.
 *
 * One VM of those that are up, the ledger, counts for all and tells all; every
 * VM keeps what it was told, so that another one can go on.  A subject with
 * CRS_SUSPECT_ENDS ends runs once at a time over the fleet, by permits of the
 * ledger.  One with CRS_BLOCK_ENDS is blocked: its requests are refused, but
 * for CRS_TRIALS_MAX trials.
 *
 * Use it for what ends upstreams.  It does not judge upstreams (rte.h) and
 * does not see failures that leave the upstream running.  Nothing is kept in
 * the platform.  Times are in milliseconds.  Nothing here fails; messages may
 * be lost.  docs/ROUTING.md has the rules and figures.
 */
#ifndef RTS_CRS_H
#define RTS_CRS_H

#include "core/env.h"
#include "core/mbr.h"
#include "core/msg.h"

/** Ends of upstreams from which on a subject runs once at a time. */
#define CRS_SUSPECT_ENDS 2
/** Ends of upstreams from which on a subject is blocked. */
#define CRS_BLOCK_ENDS 3
/** Largest number of trials of a blocked subject. */
#define CRS_TRIALS_MAX 3
/** Time from the first byte of an answer's body on after which the upstream
 * bears the request. */
#define CRS_BEGUN_MS CLK_SECOND
/** Largest number of a request's subjects that are looked at. */
#define CRS_SUBJECTS_MAX 256
/** Largest number of subjects that are kept; of more, the one with the fewest
 * ends, and the oldest of these, is dropped. */
#define CRS_ENTRIES_MAX 4096

/** Messages between VMs. */
typedef enum
{
  /** VM to ledger, an upstream has ended: u64 number of the report, str
   * upstream, u64 its start (Unix ms, 0: not known), u64 age, u64 whether the
   * evidence is certain, then for each request: u64 count of subjects, u64
   * subjects. */
  MSG_CRASH_REPORT = MSG_CRASH_FIRST,
  /** Ledger to VM: u64 number of the report that has been counted. */
  MSG_CRASH_COUNTED,
  /** VM to ledger, whole answers: for each subject u64 subject, u64 age. */
  MSG_CRASH_WHOLE,
  /** Ledger to all, and to a VM whose link opens.  For each subject: u64
   * subject, u64 ends (0: none, a whole answer came), u64 age of the last end
   * or of that answer, u64 trials, u64 ms until the next trial, u64 ms until
   * the permit in use lapses, 0: none. */
  MSG_CRASH_STATE,
  /** VM to ledger: u64 number, u64 whether one end is enough for a subject to
   * need the permit, u64 ms for which it is wanted, then u64 subjects. */
  MSG_CRASH_ASK,
  /** Response: u64 number, u64 crs_verdict_t, u64 ms until it is worth to ask
   * again. */
  MSG_CRASH_PERMIT,
  /** VM to ledger, a permit is no longer used: u64 number, u64 whether the
   * request was sent. */
  MSG_CRASH_DONE,
} crs_msg_t;

/** Writes the hashes of the shared parts of the prompt that HEADERS name, as
 * in ev_request_meta_t, to OUT, at most MAX; returns their number. */
typedef size_t (*crs_prompt_parts_t) (http_headers_t headers, uint64_t *out,
                                      size_t max);

/** Set-up of the module. */
typedef struct
{
  mbr_t *members; /**< required; must outlive this module */
} crs_desc_t;

/** A request that waits to be sent. */
typedef struct
{
  mod_t mod; /**< with TAG, names the request */
  uint64_t tag;
  const char *request_id; /**< for the log */
  const uint64_t *subjects;
  size_t subject_count;
  bool has_request; /**< the last subject is crs_request_hash of the request */
  bool has_ended_one; /**< an upstream has ended under this request before
                           it began to answer */
  clk_ms_t permit_ms; /**< for which a permit is wanted */
} crs_query_t;

/** Whether a request may be sent. */
typedef enum
{
  CRS_SEND,
  CRS_WAIT,   /**< not yet: ask again after an event, or after CRS_ASK_MS */
  CRS_REFUSE, /**< a subject is blocked */
} crs_verdict_t;

/** Time between two asks for the same request. */
#define CRS_ASK_MS ((clk_ms_t)40)

/** A request that has been sent. */
typedef struct
{
  const char *upstream;
  uint64_t born; /**< Unix time of the upstream's start, in ms; 0: not known */
  const char *address; /**< "IP:PORT" */
  bool fixed_identity; /**< as in cfg_upstream_t */
  crs_query_t query;
} crs_run_t;

/** How a request at an upstream ended. */
typedef enum
{
  CRS_END_WHOLE,       /**< a success, whole */
  CRS_END_UNPROVED,    /**< a success that only a closed connection ended */
  CRS_END_CLOSED,      /**< the upstream closed or reset the connection */
  CRS_END_UNSENT,      /**< no connection could be made */
  CRS_END_MISDIRECTED, /**< it was not run; the upstream that was meant may
                            never have got it */
  CRS_END_OTHER,       /**< nothing that says anything of the upstream's end */
} crs_end_t;

typedef struct crs crs_t;

/** Hash of what a request has in common with the same one when it comes again:
 * the CUSTOMER who sent it, its METHOD, its TARGET (path and query) and its
 * BODY, not its headers.  It is never 0.  Takes time by the size of the body,
 * about 0.2 ms a MiB. */
uint64_t crs_request_hash (const char *customer, const char *method,
                           const char *target, buf_t body);

/** Creates the module's state, owned by CTX. */
crs_t *crs_setup (void *ctx, const crs_desc_t *desc);

/** Frees the state. */
void crs_shutdown (crs_t *c);

/** Whether the request of QUERY may be sent now.  CRS_REFUSE sets *RETRY_MS to
 * when it is worth to come back.  After CRS_SEND a permit, if one was needed,
 * stays the request's until it is sent or crs_drop is called. */
crs_verdict_t crs_may_send (crs_t *c, env_t *env, const crs_query_t *query,
                            clk_ms_t *retry_ms);

/** The request TAG of MOD is not sent, now or ever. */
void crs_drop (crs_t *c, env_t *env, mod_t mod, uint64_t tag);

/** Whether the request TAG of MOD has a permit, or has been sent by one that
 * is still in use: cutting it short would use up a trial. */
bool crs_is_permitted (const crs_t *c, mod_t mod, uint64_t tag);

/** Whether it is still being found out if the upstream has ended under the
 * request TAG of MOD. */
bool crs_is_checking (const crs_t *c, mod_t mod, uint64_t tag);

/** The request RUN has been sent; HANDLE names it below.  The strings and
 * subjects are copied. */
void crs_run_begin (crs_t *c, env_t *env, uint64_t handle,
                    const crs_run_t *run);

/** Its upstream has begun to answer. */
void crs_run_head (crs_t *c, env_t *env, uint64_t handle);

/** A part of the body of a success has come. */
void crs_run_progress (crs_t *c, env_t *env, uint64_t handle);

/** It has ended; HANDLE becomes invalid.  Ignores an invalid one. */
void crs_run_end (crs_t *c, env_t *env, uint64_t handle, crs_end_t how);

/** The list of upstreams has changed: crs_listed_begin, crs_listed for each
 * upstream that is not leaving, crs_listed_end. */
void crs_listed_begin (crs_t *c);
void crs_listed (crs_t *c, const char *upstream, uint64_t born);
void crs_listed_end (crs_t *c, env_t *env);

/** The list was last read AT, or a change of it. */
void crs_list_read (crs_t *c, clk_ms_t at);

/** Number of subjects with at least ENDS ends. */
size_t crs_count (const crs_t *c, uint32_t ends);

/* The node calls these functions. */
void crs_timer_fired (crs_t *c, env_t *env, uint64_t tag);
void crs_upstream_event (crs_t *c, env_t *env, uint64_t tag, const ev_t *ev);
void crs_message_received (crs_t *c, env_t *env, const char *vm,
                           const msg_t *msg);
/** Something has come from another VM, which shows that this one is not cut
 * off. */
void crs_heard (crs_t *c, env_t *env);
void crs_peer_up (crs_t *c, env_t *env, const char *vm);

#endif

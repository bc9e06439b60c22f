/** @file
 * Jobs (prefix job_): batch jobs whose results have positions.  A job is
 * accepted as a whole, its items run on slots that online requests leave
 * free, and its results can be read at any VM.
 *
 *   job_set_t *j = job_setup (ctx, &(job_desc_t){ .routes = rte,
 *                                                 .members = mbr });
 *   job_start (j, env);
 *   job_request (j, env, customer, route, req);   responds now or later
 *   job_pump (j, env);                            after each event of the node
 *
 * A job is one record in the platform (job_rec.h), changed by conditional
 * updates only.  Its bodies and the texts of its results are objects that are
 * written once.  A job is accepted once its record is stored.  Every VM keeps
 * the records of the jobs that it knows of; changes reach it from peers and
 * from the feed of the platform.
 *
 * One VM runs a job: the owner by rendezvous hashing (own.h) among the workers
 * that are up.  The choice is only a hint for speed; the conditional update of
 * the record ensures that an item gets one position only.  A run that ends
 * early is resumed after its last complete event, at any upstream.
 *
 * Use bat.h for jobs of many thousand items.  This module does not limit
 * rates.  Times are in ms.  Records and objects that are passed in are copied.
 * Callers get errors as HTTP responses; the functions do not fail.
 */
#ifndef RTS_JOB_H
#define RTS_JOB_H

#include "core/cfg.h"
#include "core/env.h"
#include "core/mbr.h"
#include "core/rte.h"

/** Messages between VMs. */
typedef enum
{
  /** u64 version, str record. */
  MSG_JOB_RECORD = MSG_JOB_FIRST,
  /** u64 version known, u64 duration in ms, u64 time of the sender, str job:
   * asks the runner for newer records of the job during that time. */
  MSG_JOB_FOLLOW,
  /** Runner to follower, in response to MSG_JOB_FOLLOW and after any newer
   * record: u64 version, u64 time of the follower as it was sent, str job:
   * this version was the newest. */
  MSG_JOB_CURRENT,
  /** u64 item, str job: asks the runner for the text of a result.  Only VMs
   * of earlier versions send it; they get MSG_JOB_TEXT. */
  MSG_JOB_TEXT_REQUEST,
  /** The response: u64 item, u64 1 if the text is at hand, else 0, str job,
   * str text.  It is not used here: VMs of earlier versions also sent texts of
   * runs that had broken off. */
  MSG_JOB_TEXT,
  /** u64 tag, u64 ms until it is due, u64 items, str path of the route, str
   * job: asks the runner how many items of a new job would be on time. */
  MSG_JOB_ADMIT,
  /** The answer: u64 tag, u64 items on time, u64 items ahead, u64 age of the
   * evidence in ms, u64 ms after which to try again, str job. */
  MSG_JOB_ADMITTED,
  /** u64 item, str job: asks the runner for the text of a result, which a run
   * has brought whole.  Earlier versions do not answer. */
  MSG_JOB_WHOLE_TEXT_REQUEST,
  /** The response, as in MSG_JOB_TEXT. */
  MSG_JOB_WHOLE_TEXT,
} job_msg_t;

/** Settings of the module; a zero selects the default. */
typedef struct
{
  crs_t *crashes; /**< borrowed; NULL: nothing is kept away from
                       upstreams */
  crs_prompt_parts_t prompt_parts; /**< NULL: prompts have no parts */
  rte_t *routes;                   /**< borrowed; required */
  mbr_t *members;                  /**< borrowed; required */
  clk_ms_t unix_offset_ms;         /**< Unix time minus the time of the node */
  clk_ms_t feed_poll_ms; /**< pause between reads of the feed; default 1 s */
  uint32_t spare_slots;  /**< slots that must stay free at an upstream when
                              an item starts there; default 2 */
  clk_ms_t end_ms;       /**< time after the end of a job in which the last of
                              its items may start; default 3 s */
  bool refuse_late;  /**< refuse jobs of which less than half of the items can
                          be on time; only on routes with a due time */
  bool yield_late;   /**< items that cannot be on time leave free slots for a
                          bounded time to those of other VMs that can */
  bool preempt_once; /**< only an upstream's poller has runs preempted; this
                          VM does not do so a second time by the poller's
                          reports */
} job_desc_t;

typedef struct job_set job_set_t;

/** Creates a module owned by CTX that knows no jobs. */
job_set_t *job_setup (void *ctx, const job_desc_t *desc);

void job_shutdown (job_set_t *j);

/** Starts reading the feed of job records. */
void job_start (job_set_t *j, env_t *env);

/** Handles the request REQ of CUSTOMER: a new job on ROUTE, a read of results
 * or of a body, or the end of a job. */
void job_request (job_set_t *j, env_t *env, const char *customer,
                  const cfg_route_t *route, const ev_request_t *req);

/** Ends the calls of CALLER, who has disconnected; submissions continue. */
void job_caller_gone (job_set_t *j, uint64_t caller);

/** Uses the new configuration DOC, which lives until the next call. */
void job_config_changed (job_set_t *j, env_t *env, const cfg_doc_t *doc);

/** Determines anew which VM runs each job. */
void job_members_changed (job_set_t *j, env_t *env);

void job_timer_fired (job_set_t *j, env_t *env, uint64_t tag);
void job_platform_replied (job_set_t *j, env_t *env, const plt_done_t *done,
                           const ev_platform_t *reply);
void job_message_received (job_set_t *j, env_t *env, const char *vm,
                           const msg_t *msg);
void job_upstream_event (job_set_t *j, env_t *env, uint64_t tag,
                         const ev_t *ev);

/** Preempts the newest run at UPSTREAM, if any, in favour of an online
 * request; its item is resumed later. */
void job_run_preempt (job_set_t *j, env_t *env, const char *upstream);

/** Starts and preempts runs according to the room at the upstreams. */
void job_pump (job_set_t *j, env_t *env);

/** Begins the graceful shutdown: stops all runs here and takes no new jobs.
 * Other VMs resume the items. */
void job_leave (job_set_t *j, env_t *env);

/** Whether no call or submission is in progress, so that the graceful shutdown
 * may proceed. */
bool job_left (const job_set_t *j);

#endif

/** @file
 * Batch jobs whose results have positions: accepted whole, run item by item
 * on slots that online requests leave free, read at any VM.
 *
 *   job_set_t *j = job_setup (ctx, &(job_desc_t){ .routes = rte });
 *   job_start (j, env);
 *   job_request (j, env, customer, route, req);   answered, now or later
 *   job_pump (j, env);                            after each event of the node
 *
 * A job is one record in the platform (job_rec.h), changed by conditional
 * updates only, with its bodies and its results' texts in objects that are
 * written once.  It is accepted once its record stands.  Every VM keeps the
 * records of the jobs that it has heard of: from peers as they change, and
 * from the platform's own feed.
 *
 * One VM runs a job, by rendezvous hashing over the workers that answer: a
 * hint for speed.  That an item gets one position only rests on the record's
 * conditional update.  A run that ends early is resumed behind its last whole
 * event, at any upstream.
 *
 * Not for jobs of many thousand items: see bat.h.  Does not limit rates.
 */
#ifndef RTS_JOB_H
#define RTS_JOB_H

#include "core/cfg.h"
#include "core/env.h"
#include "core/mbr.h"
#include "core/rte.h"

/** Kinds of message. */
typedef enum
{
  MSG_JOB_RECORD = MSG_JOB_FIRST, /**< u64 version, str record */
  MSG_JOB_FOLLOW, /**< u64 version known, u64 ms, str job: tell me of newer
                       ones for so long */
} job_msg_t;

/** How to set the module up; zeros mean the defaults. */
typedef struct
{
  rte_t *routes;           /**< required */
  mbr_t *members;          /**< required */
  clk_ms_t unix_offset_ms; /**< Unix time less the node's */
  clk_ms_t feed_poll_ms; /**< between looks at what has changed; default 1 s */
  uint32_t spare_slots;  /**< slots of an upstream that items leave free;
                        default 2 */
} job_desc_t;

typedef struct job_set job_set_t;

/** New module owned by CTX; knows no jobs. */
job_set_t *job_setup (void *ctx, const job_desc_t *desc);

/** Free it. */
void job_shutdown (job_set_t *j);

/** Begin to follow the jobs. */
void job_start (job_set_t *j, env_t *env);

/** Take CUSTOMER's call REQ; ROUTE is the route of a new job. */
void job_request (job_set_t *j, env_t *env, const char *customer,
                  const cfg_route_t *route, const ev_request_t *req);

/** The caller waits no longer. */
void job_caller_gone (job_set_t *j, uint64_t caller);

/** A new document is in force; DOC lives until the next call. */
void job_config_changed (job_set_t *j, env_t *env, const cfg_doc_t *doc);

/** The membership has changed. */
void job_members_changed (job_set_t *j, env_t *env);

void job_timer_fired (job_set_t *j, env_t *env, uint64_t tag);
void job_platform_replied (job_set_t *j, env_t *env, const plt_done_t *done,
                           const ev_platform_t *reply);
void job_message_received (job_set_t *j, env_t *env, const char *vm,
                           const msg_t *msg);
void job_upstream_event (job_set_t *j, env_t *env, uint64_t tag,
                         const ev_t *ev);

/** One run at UPSTREAM, if any, ends for an online request; its item goes on
 * later. */
void job_run_preempt (job_set_t *j, env_t *env, const char *upstream);

/** Start and stop runs as upstreams have room. */
void job_pump (job_set_t *j, env_t *env);

/** Graceful shutdown: stop runs; what others run goes on there. */
void job_leave (job_set_t *j, env_t *env);

/** Whether nothing is left that a graceful shutdown waits for. */
bool job_left (const job_set_t *j);

#endif

/** @file
 * Batch jobs: accepted durably, run chunk by chunk, each item's outcome
 * recorded once.
 *
 *   bat_t *b = bat_setup (ctx, &(bat_desc_t){ .credits = crd });
 *   bat_config_changed (b, env, doc);
 *   bat_members_changed (b, env, vms, count);
 *   bat_start (b, env);
 *   if (bat_request (b, env, customer, req)) ... answered, now or later
 *   ... and the hooks for timers, platform, messages and upstream events
 *
 * A job is `batch/job/ID` (the manifest: written last, so that it exists
 * only once all the rest does), `batch/items/ID/...` (immutable chunks),
 * `batch/chunk/ID/N` (lease and outcome counts of a chunk; absent: waiting),
 * `batch/result/ID/N/...` (immutable outcomes, valid once the chunk's record
 * names them) and `batch/open/ID` (index of unfinished jobs).
 *
 * Safety rests on conditional updates of the chunk's record alone; which VM
 * takes which chunk is a hint by rendezvous hashing.
 *
 * Does not limit customers' rates and does not choose upstreams (crd.h).
 */
#ifndef RTS_BAT_H
#define RTS_BAT_H

#include "core/cfg.h"
#include "core/crd.h"
#include "core/env.h"
#include "core/ev.h"

/** How to set the module up. */
typedef struct
{
  crd_t *credits;          /**< borrowed; required */
  size_t chunk_bytes;      /**< most bytes in a chunk; default 512 KB */
  uint32_t chunk_items;    /**< most items in a chunk; default 1,024 */
  clk_ms_t term_ms;        /**< of a chunk's lease; default 15 s */
  clk_ms_t scan_ms;        /**< between looks for work; default 5 s, longer
                                in a large fleet */
  uint32_t max_holds;      /**< chunks held at a time; default 8 */
  uint32_t max_in_flight;  /**< items in progress at a time; default 64 */
  uint32_t max_attempts;   /**< of an item that may be repeated; default 4 */
  uint32_t intent_items;   /**< non-idempotent items declared by one write;
                                default 32 */
  clk_ms_t item_ms;        /**< longest run of one item; default 2 min */
  clk_ms_t unix_offset_ms; /**< Unix time minus env->now; for due times */
} bat_desc_t;

/** Figures for status pages and tests. */
typedef struct
{
  uint32_t holds;     /**< chunks held */
  uint32_t in_flight; /**< items in progress */
  uint32_t jobs;      /**< unfinished jobs known */
} bat_stat_t;

typedef struct bat bat_t;

/** New module owned by CTX. */
bat_t *bat_setup (void *ctx, const bat_desc_t *desc);

/** Free it. */
void bat_shutdown (bat_t *b);

/** Begin to look for work. */
void bat_start (bat_t *b, env_t *env);

/** The VMs that may take work, this one included. */
void bat_members_changed (bat_t *b, env_t *env, const ev_vm_t *vms,
                          size_t count);

void bat_config_changed (bat_t *b, env_t *env, const cfg_doc_t *doc);
void bat_timer_fired (bat_t *b, env_t *env, uint64_t tag);
void bat_platform_replied (bat_t *b, env_t *env, const plt_done_t *done,
                           const ev_platform_t *reply);
void bat_message_received (bat_t *b, env_t *env, const char *vm,
                           const msg_t *msg);
void bat_upstream_event (bat_t *b, env_t *env, uint64_t tag, const ev_t *ev);

/** Handle CUSTOMER's request when its path is below /v1/batches; false when
 * it is not.  The answer goes out by FX_REPLY effects. */
bool bat_request (bat_t *b, env_t *env, const char *customer,
                  const ev_request_t *req);

/** The caller waits no longer; what it asked for goes on. */
void bat_caller_gone (bat_t *b, env_t *env, uint64_t caller);

/** Start as many items as credits allow.  Called after anything that may
 * have freed credits; pauses what crd.h wants back. */
void bat_pump (bat_t *b, env_t *env);

/** Graceful shutdown: take nothing new, record what is finished, give the
 * leases back. */
void bat_leave (bat_t *b, env_t *env);

/** Whether bat_leave has nothing left to wait for. */
bool bat_left (const bat_t *b);

/** Figures of now. */
bat_stat_t bat_stat (const bat_t *b);

#endif

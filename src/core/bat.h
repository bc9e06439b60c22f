/** @file
 * Batch jobs (prefix bat_): accepts jobs durably, runs them chunk by chunk
 * over the fleet, and records the outcome of each item exactly once.
 *
 *   bat_t *b = bat_setup (ctx, &(bat_desc_t){ .credits = crd });
 *   bat_config_changed (b, env, doc);
 *   bat_members_changed (b, env, vms, count);
 *   bat_start (b, env);
 *   if (bat_request (b, env, customer, req)) ... the module responds
 *   ... and the hooks for timers, platform, messages and upstream events
 *
 * Objects of a job in the platform:
 *   batch/job/ID         the manifest.  It is written last, so that it exists
 *                        only when everything else of the job does.
 *   batch/items/ID/...   the items of each chunk; immutable
 *   batch/chunk/ID/N     the record of a chunk: lease and counts of outcomes.
 *                        A chunk without a record is waiting.
 *   batch/result/ID/N/...  outcomes; immutable, and valid once the record of
 *                        the chunk names them
 *   batch/open/ID        index entry of an unfinished job
 *
 * Safety depends only on conditional updates of the chunk's record.  The
 * rendezvous hash that distributes chunks over VMs is a hint.
 *
 * Use this module for the jobs below /v1/batches.  It does not limit the rates
 * of customers and does not choose upstreams (crd.h does).  Times are in
 * milliseconds on the clock of env->now, except where Unix time is stated.
 * Errors go to the caller as error responses.  The module copies the
 * arguments that it keeps, except the configuration document, which must stay
 * valid until the next one is given.
 */
#ifndef RTS_BAT_H
#define RTS_BAT_H

#include "core/cfg.h"
#include "core/crd.h"
#include "core/env.h"
#include "core/ev.h"

/** Set-up of the module; a zero selects the default. */
typedef struct
{
  crd_t *credits;          /**< borrowed; required */
  size_t chunk_bytes;      /**< most bytes of stored items in a chunk; default
                                512 KB */
  uint32_t chunk_items;    /**< most items in a chunk; default 1,024 */
  clk_ms_t term_ms;        /**< term of a chunk's lease; default 15 s */
  clk_ms_t scan_ms;        /**< least interval between scans of the index of
                                unfinished jobs; default 5 s, longer in a large
                                fleet */
  uint32_t max_holds;      /**< chunks that this VM holds at a time; default 8.
                                A customer without a held chunk may raise the
                                number up to twice this. */
  uint32_t max_in_flight;  /**< items in flight at a time; default 64 */
  uint32_t max_attempts;   /**< attempts of an idempotent item; default 4 */
  uint32_t intent_items;   /**< items by which one write raises the intent
                                (bat_chunk_t); default 32 */
  clk_ms_t item_ms;        /**< time limit of one attempt; default 2 min */
  clk_ms_t unix_offset_ms; /**< Unix time minus env->now; for due times */
} bat_desc_t;

/** Figures for status pages and tests. */
typedef struct
{
  uint32_t holds;     /**< chunks that this VM holds */
  uint32_t in_flight; /**< items in flight */
  uint32_t jobs;      /**< unfinished jobs that this VM knows */
} bat_stat_t;

typedef struct bat bat_t;

/** Creates a module owned by CTX. */
bat_t *bat_setup (void *ctx, const bat_desc_t *desc);

void bat_shutdown (bat_t *b);

/** Starts the periodic scans for unfinished jobs. */
void bat_start (bat_t *b, env_t *env);

/** Sets the VMs of the fleet, this one included.  VMs that are leaving get no
 * chunks. */
void bat_members_changed (bat_t *b, env_t *env, const ev_vm_t *vms,
                          size_t count);

void bat_config_changed (bat_t *b, env_t *env, const cfg_doc_t *doc);
void bat_timer_fired (bat_t *b, env_t *env, uint64_t tag);
void bat_platform_replied (bat_t *b, env_t *env, const plt_done_t *done,
                           const ev_platform_t *reply);
void bat_message_received (bat_t *b, env_t *env, const char *vm,
                           const msg_t *msg);
void bat_upstream_event (bat_t *b, env_t *env, uint64_t tag, const ev_t *ev);

/** Handles a request of CUSTOMER with a path at or below /v1/batches; returns
 * false for any other path.  The response follows in FX_REPLY effects. */
bool bat_request (bat_t *b, env_t *env, const char *customer,
                  const ev_request_t *req);

/** Notes that CALLER no longer waits for a response.  A submission continues,
 * and a cancellation does once the manifest records it. */
void bat_caller_gone (bat_t *b, env_t *env, uint64_t caller);

/** Cancels the items in flight that crd.h preempts, then starts as many items
 * as credits allow.  Called after each event that may have freed credits. */
void bat_pump (bat_t *b, env_t *env);

/** Begins the graceful shutdown: takes no new chunks, records the outcomes
 * that are known, and gives the leases back. */
void bat_leave (bat_t *b, env_t *env);

/** Whether no hold, submission or read is left after bat_leave. */
bool bat_left (const bat_t *b);

/** Current figures. */
bat_stat_t bat_stat (const bat_t *b);

#endif

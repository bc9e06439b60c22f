/** @file
 * Online requests: from a caller's request to the whole answer.
 *
 *   onl_request (o, env, &ev->request);
 *   onl_upstream_event (o, env, who.tag, ev);
 *   onl_caller_gone (o, env, caller);
 *   onl_pump (o, env);                      after each event of the node
 *
 * Admission: key, route, rate, record (non-idempotent routes), fair queue,
 * upstream; charts/request.ini.  A refusal says "not-run" only when no byte
 * of the request can have reached an upstream.  An answer reaches only the
 * request that its call belongs to, and is whole or marked as broken.  An
 * idempotent request, or one that certainly did not run, is sent again to
 * another upstream before anything was delivered, within the deadline and a
 * budget.
 *
 * Does not choose upstreams (rte.h), order the queue (fqu.h), or know rates
 * (lim.h) and records (idm.h).  docs/ONLINE.md has the rules.
 */
#ifndef RTS_ONL_H
#define RTS_ONL_H

#include "core/cfg.h"
#include "core/env.h"
#include "core/idm.h"
#include "core/key.h"
#include "core/lim.h"
#include "core/mbr.h"
#include "core/rte.h"

/** How to set it up; the modules are required and outlive it. */
typedef struct
{
  mbr_t *members;
  lim_t *limits;
  key_set_t *keys;
  rte_t *routes;
  idm_t *records;
  clk_ms_t queue_ms; /**< longest wait in the fair queue; default 2 s */
  clk_ms_t leave_ms; /**< requests are still taken for this long after
                          onl_leave, until balancers know; default 2 s */
} onl_desc_t;

typedef struct onl onl_t;

/** New module state owned by CTX. */
onl_t *onl_setup (void *ctx, const onl_desc_t *desc);

/** Free it; open requests are forgotten. */
void onl_shutdown (onl_t *o);

/** A new document is in force; DOC lives until the next call. */
void onl_config_changed (onl_t *o, env_t *env, const cfg_doc_t *doc);

/** Take a caller's request. */
void onl_request (onl_t *o, env_t *env, const ev_request_t *req);

/** The caller closed.  Its upstream call is cancelled, unless there is a
 * record to be completed. */
void onl_caller_gone (onl_t *o, env_t *env, uint64_t caller);

/** Progress of an upstream call started with TAG. */
void onl_upstream_event (onl_t *o, env_t *env, uint64_t tag, const ev_t *ev);

/** A deadline, or the next look at the queues, has come. */
void onl_timer_fired (onl_t *o, env_t *env, uint64_t tag);

/** Take what the other modules have answered, and send what can be sent. */
void onl_pump (onl_t *o, env_t *env);

/** Graceful shutdown: finish what runs, take no more after a while, and then
 * hand the limits over (lim_leave). */
void onl_leave (onl_t *o, env_t *env);

/** Whether a graceful shutdown need not wait any longer. */
bool onl_left (const onl_t *o, const env_t *env);

/** Requests in progress. */
uint32_t onl_count (const onl_t *o);

#endif

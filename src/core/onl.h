/** @file
 * Online requests (prefix onl_): takes a caller's request through admission,
 * queue and upstream to the complete response.  The node calls it for each
 * online request.  Batch items do not pass through it.
 *
 *   onl_request (o, env, &ev->request);
 *   onl_upstream_event (o, env, owner.tag, ev);
 *   onl_caller_gone (o, env, caller);
 *   onl_pump (o, env);                      after each event of the node
 *
 * Admission goes in this order: key, route, rate, idempotency record (on
 * non-idempotent routes), fair queue, upstream; charts/request.ini has the
 * states.  An error response says "not-run" only when no byte of the request
 * can have reached an upstream, or when each upstream that was reached
 * promises that it did not run the request.  A response goes only to the
 * request that its call belongs to, and is complete or marked as broken.  As
 * long as nothing of a response was delivered, the request is sent again to
 * another upstream if its route is idempotent or if the request certainly did
 * not run; a resumable stream can be sent again later as well, and continues
 * after the last event delivered.  The deadline and a retry budget bound the
 * retries.
 *
 * This module does not choose upstreams (rte.h), order the queue (fqu.h),
 * limit rates (lim.h) or store idempotency records (idm.h).  Times are in
 * milliseconds.  Errors go to the caller as error responses, not to the node.
 * The module copies the parts of a request that are needed later, and owns the
 * copies until the request ends.
 * docs/ONLINE.md has the rules.
 */
#ifndef RTS_ONL_H
#define RTS_ONL_H

#include "core/cfg.h"
#include "core/crs.h"
#include "core/env.h"
#include "core/idm.h"
#include "core/key.h"
#include "core/lim.h"
#include "core/mbr.h"
#include "core/rte.h"
#include "core/stv.h"

/** Set-up of the module.  The modules named here are required and must
 * outlive this one. */
typedef struct
{
  mbr_t *members;
  lim_t *limits;
  key_set_t *keys;
  rte_t *routes;
  crs_t *crashes;     /**< NULL: nothing is kept away from upstreams */
  stv_t *streams;     /**< NULL: streams are not bound to versions */
  bool list_confirms; /**< the platform lists the upstreams: that they have had
                           one version only counts once a new read of the list
                           says the same */
  idm_t *records;
  clk_ms_t queue_ms; /**< longest wait in the fair queue; default 2 s */
  clk_ms_t leave_ms; /**< time after onl_leave in which requests are still
                          admitted, because load balancers still send them;
                          default 2 s */
} onl_desc_t;

typedef struct onl onl_t;

/** Create the module's state, owned by CTX. */
onl_t *onl_setup (void *ctx, const onl_desc_t *desc);

/** Free the state.  Requests in progress get no response. */
void onl_shutdown (onl_t *o);

/** Use DOC as the configuration from now on.  DOC must stay valid until the
 * next call. */
void onl_config_changed (onl_t *o, env_t *env, const cfg_doc_t *doc);

/** Start on a caller's request. */
void onl_request (onl_t *o, env_t *env, const ev_request_t *req);

/** Handle the platform's REPLY to a call of this module. */
void onl_platform_replied (onl_t *o, env_t *env, const ev_platform_t *reply);

/** Handle the caller's closing of its connection: its upstream call is
 * cancelled, unless an idempotency record waits for the outcome. */
void onl_caller_gone (onl_t *o, env_t *env, uint64_t caller);

/** Handle an event of the upstream call that was started with TAG. */
void onl_upstream_event (onl_t *o, env_t *env, uint64_t tag, const ev_t *ev);

/** Handle a timer: a request's deadline, the check of the queues, or the end
 * of leave_ms. */
void onl_timer_fired (onl_t *o, env_t *env, uint64_t tag);

/** Handle the verdicts of the limits and the idempotency records and
 * withdrawn keys, then send queued requests as far as upstreams have room. */
void onl_pump (onl_t *o, env_t *env);

/** Begin a graceful shutdown: requests in progress are finished, new ones are
 * refused after leave_ms, and this VM's tokens are then offered to other VMs
 * (lim_leave). */
void onl_leave (onl_t *o, env_t *env);

/** Whether a graceful shutdown is complete: leave_ms is over, no request is
 * in progress and all outcomes are recorded. */
bool onl_left (const onl_t *o, const env_t *env);

/** Headers of a caller's request, or of a job's item, as the upstream gets
 * them, with REQUEST_ID; owned by CTX. */
http_headers_t onl_request_headers (void *ctx, http_headers_t headers,
                                    const char *request_id);

/** Number of requests in progress. */
uint32_t onl_count (const onl_t *o);

#endif

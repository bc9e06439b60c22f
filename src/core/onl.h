/** @file
 * Online requests: from a caller's request to the whole answer.
 *
 *   onl_request (o, env, &ev->request);
 *   onl_upstream_event (o, env, who.tag, ev);
 *   onl_caller_gone (o, env, caller);
 *
 * Admits by key and route, sends to an upstream and passes the answer on as
 * it comes.  An answer reaches only the request that its call belongs to; one
 * that breaks is marked as broken.
 */
#ifndef RTS_ONL_H
#define RTS_ONL_H

#include "core/cfg.h"
#include "core/env.h"

typedef struct onl onl_t;

/** New module state owned by CTX. */
onl_t *onl_setup (void *ctx);

/** Free it; open requests are forgotten. */
void onl_shutdown (onl_t *o);

/** A new document is in force; DOC lives until the next call. */
void onl_config_changed (onl_t *o, env_t *env, const cfg_doc_t *doc);

/** Take a caller's request. */
void onl_request (onl_t *o, env_t *env, const ev_request_t *req);

/** The caller closed; its upstream call is cancelled. */
void onl_caller_gone (onl_t *o, env_t *env, uint64_t caller);

/** Progress of an upstream call started with TAG. */
void onl_upstream_event (onl_t *o, env_t *env, uint64_t tag, const ev_t *ev);

/** A deadline may have come. */
void onl_timer_fired (onl_t *o, env_t *env, uint64_t tag);

/** Requests in progress. */
uint32_t onl_count (const onl_t *o);

#endif

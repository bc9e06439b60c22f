/** @file
 * Shared by opr.c (requests, changes) and opr_list.c (what there is).
 */
#ifndef RTS_OPR_INT_H
#define RTS_OPR_INT_H

#include "core/opr.h"

/** A request that waits for a change. */
typedef struct
{
  uint64_t id; /**< of the change */
  uint64_t caller;
} opr_waiting_t;

struct opr
{
  opr_desc_t desc;
  opr_waiting_t *waiting;
  size_t waiting_count;
  bool leaving;
};

/** A request being handled. */
typedef struct
{
  opr_t *o;
  env_t *env;
  const ev_request_t *req;
  void *ctx;           /**< freed with the request's handling */
  const char *subpath; /**< of the path, below /v1/operator/ */
} opr_call_t;

/** The query's field NAME, unescaped; NULL: not there. */
char *opr_query (const opr_call_t *call, const char *name);

/** Answer with an error that did not run. */
void opr_refuse (const opr_call_t *call, int status, const char *code,
                 const char *message);

/* opr_list.c */
void opr_keys (const opr_call_t *call);
void opr_customers (const opr_call_t *call);
void opr_upstreams (const opr_call_t *call);
void opr_status (const opr_call_t *call);
void opr_timeline (const opr_call_t *call);
void opr_config_confirmed (const opr_call_t *call);
void opr_keys_withdrawn (const opr_call_t *call);
void opr_withdrawal_report (const opr_call_t *call, const char *sha256);

#endif

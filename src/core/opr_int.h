/** @file
 * Operator API (prefix opr_), private: shared by opr.c (requests, changes) and
 * opr_list.c (lists and reports).  Use opr.h from other modules.
 */
#ifndef RTS_OPR_INT_H
#define RTS_OPR_INT_H

#include "core/opr.h"

/** A request that waits for the result of its change. */
typedef struct
{
  uint64_t id;     /**< of the change */
  uint64_t caller; /**< 0: the operator's connection is closed */
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
  void *ctx;           /**< freed after the request is handled */
  const char *subpath; /**< part of the path after /v1/operator/ */
} opr_call_t;

/** The query field NAME, unescaped, owned by the call's ctx; NULL: missing. */
char *opr_query (const opr_call_t *call, const char *name);

/** Respond with an error; its "run" field says that the request did not
 * run. */
void opr_refuse (const opr_call_t *call, int status, const char *code,
                 const char *message);

/* opr_list.c; each handler sends one response */
void opr_keys (const opr_call_t *call);
void opr_customers (const opr_call_t *call);
void opr_upstreams (const opr_call_t *call);
void opr_status (const opr_call_t *call);
void opr_timeline (const opr_call_t *call);
void opr_config_confirmed (const opr_call_t *call);
void opr_keys_withdrawn (const opr_call_t *call);
void opr_withdrawal_report (const opr_call_t *call, const char *sha256);

#endif

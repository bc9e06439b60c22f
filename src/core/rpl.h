/** @file
 * Replies (rpl_): complete responses to callers and operators.
 *
 *   rpl_json (env, caller, 200, json);
 *   rpl_error (env, caller, &(rpl_error_t){
 *       .status = 429, .code = "rate-limited", .message = "...",
 *       .run = RPL_NOT_RUN, .retry_after_ms = 800 });
 *
 * Use this module for a response whose body is known at once; a module that
 * streams a response pushes the FX_REPLY_* effects itself.  CALLER is
 * ev_request_t.caller.  Text and headers are copied.  Nothing here fails; a
 * reply to a caller that is gone is ignored.
 */
#ifndef RTS_RPL_H
#define RTS_RPL_H

#include "core/env.h"

#include <jansson.h>

/** Retry-After of a request that this VM cannot serve and every other VM can
 * at once. */
#define RPL_RETRY_ELSEWHERE_MS ((clk_ms_t)10)

/** Whether a request that gets an error response has run. */
typedef enum
{
  RPL_NOT_RUN, /**< the request has not run and never will */
  RPL_UNKNOWN, /**< the request may have run */
  RPL_RUN_NUM
} rpl_run_t;

/** An error response. */
typedef struct
{
  int status;
  const char *code;    /**< machine-readable, such as "rate-limited" */
  const char *message; /**< for a person */
  rpl_run_t run;
  clk_ms_t retry_after_ms; /**< for the Retry-After header, which holds whole
                                seconds, rounded up; 0: no header */
} rpl_error_t;

/** Replies to CALLER with STATUS and BODY; takes over the reference to
 * BODY. */
void rpl_json (env_t *env, uint64_t caller, int status, json_t *body);

/** Replies to CALLER with STATUS and TEXT of type CONTENT_TYPE. */
void rpl_text (env_t *env, uint64_t caller, int status,
               const char *content_type, buf_t text);

/** Replies to CALLER with an error as JSON. */
void rpl_error (env_t *env, uint64_t caller, const rpl_error_t *error);

/** Returns "not-run" or "unknown". */
const char *rpl_run_name (rpl_run_t run);

#endif

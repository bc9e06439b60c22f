/** @file
 * Whole answers to callers and operators.
 *
 *   rpl_json (env, caller, 200, json);
 *   rpl_error (env, caller, &(rpl_error_t){
 *       .status = 429, .code = "rate-limited", .message = "...",
 *       .run = RPL_NOT_RUN, .retry_after_ms = 800 });
 *
 * Streams are written by the module that streams.
 */
#ifndef RTS_RPL_H
#define RTS_RPL_H

#include "core/env.h"

#include <jansson.h>

/** What a refusal says about the request. */
typedef enum
{
  RPL_NOT_RUN, /**< it certainly did not run and will not */
  RPL_UNKNOWN, /**< it may have run */
  RPL_RUN_NUM
} rpl_run_t;

/** An error answer. */
typedef struct
{
  int status;
  const char *code;
  const char *message;
  rpl_run_t run;
  clk_ms_t retry_after_ms; /**< 0: no Retry-After; rounded up to seconds */
} rpl_error_t;

/** Answer CALLER with STATUS and BODY; steals the reference to BODY. */
void rpl_json (env_t *env, uint64_t caller, int status, json_t *body);

/** Answer CALLER with STATUS and text of CONTENT_TYPE. */
void rpl_text (env_t *env, uint64_t caller, int status,
               const char *content_type, buf_t text);

/** Answer CALLER with an error as JSON. */
void rpl_error (env_t *env, uint64_t caller, const rpl_error_t *error);

/** "not-run" or "unknown". */
const char *rpl_run_name (rpl_run_t run);

#endif

/** @file
 * The platform's object API in terms of HTTP: requests and answers.
 *
 *   pcl_request (ctx, &fx->platform, &call);      fill in an HTTP call
 *   pcl_response (ctx, op, name, status, headers, body, &reply);
 *
 * Pure functions: hcl.h carries the calls.
 */
#ifndef RTS_PCL_H
#define RTS_PCL_H

#include "core/ev.h"
#include "core/fx.h"
#include "io/hcl.h"

/** Fill in CALL's method, path, body and time limits for P; strings are owned
 * by CTX. */
void pcl_request (void *ctx, const fx_platform_t *p, hcl_call_t *call);

/** Turn the answer to an OP on NAME into REPLY (its call is the caller's to
 * set); what it points to is owned by CTX. */
void pcl_response (void *ctx, fx_platform_op_t op, const char *name,
                   int status, http_headers_t headers, buf_t body,
                   ev_platform_t *reply);

/** Outcome of an OP whose call failed as FAIL says. */
st_code_t pcl_failure (fx_platform_op_t op, ev_fail_t fail);

#endif

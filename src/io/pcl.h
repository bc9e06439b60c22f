/** @file
 * Platform client (pcl_): the platform's object API as HTTP requests and
 * responses.
 *
 *   pcl_request_encode (ctx, &fx->platform, &call);
 *   hcl_call (client, &call);
 *   ... when the response is complete:
 *   pcl_response_decode (ctx, op, name, status, headers, body, &reply);
 *
 * The driver uses this module if the setting "configuration" is "sections",
 * and platform/pfm.h if it is "hosted".  These functions only convert data;
 * hcl.h sends the requests.  Errors are codes in the reply; times are in
 * milliseconds.
 */
#ifndef RTS_PCL_H
#define RTS_PCL_H

#include "core/ev.h"
#include "core/fx.h"
#include "io/hcl.h"

/** Sets the method, path, body and time limit of CALL for the operation P.
 * Strings are owned by CTX; the body is borrowed from P. */
void pcl_request_encode (void *ctx, const fx_platform_t *p, hcl_call_t *call);

/** Converts the response to operation OP on NAME to REPLY, except for the call
 * field, which the caller sets.  Data that REPLY points to is owned by CTX,
 * except NAME and BODY, which REPLY borrows. */
void pcl_response_decode (void *ctx, fx_platform_op_t op, const char *name,
                          int status, http_headers_t headers, buf_t body,
                          ev_platform_t *reply);

/** Returns the outcome of an operation OP whose call failed with FAIL:
 * ST_UNKNOWN for a write that may have taken effect, else ST_UNAVAILABLE. */
st_code_t pcl_failure (fx_platform_op_t op, ev_fail_t fail);

#endif

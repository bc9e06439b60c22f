/** @file
 * Operator API (prefix opr_): the HTTP API of a VM for operators.
 *
 *   opr_t *o = opr_setup (ctx, &(opr_desc_t){ .cfs = cfs, .key = key,
 *                                             .token_sha256 = hash });
 *   if (opr_request (o, env, req, cfs_doc (cfs) != NULL))
 *     return;                             the request was for this module
 *   ... after each event:
 *   opr_results_send (o, env);
 *
 * Use this module for requests of operators and of monitoring; callers'
 * requests go through onl.h and bat.h.  The API changes the configuration only
 * through cfs.h and withdraws keys through key.h.  Errors go to the operator
 * as HTTP responses; the functions do not fail.  The caller keeps ownership of
 * requests and of the modules in opr_desc_t.
 *
 * Paths; all except those of the last line need the header
 * "Authorization: Bearer OPERATOR-TOKEN":
 *
 *   GET  /v1/operator/config              the document; its first line has the
 *                                         version
 *   POST /v1/operator/config              sections; ?base=N&whole=yes&team=T
 *                                         &token=X as in cfs_change_t
 *   POST /v1/operator/config/diff         effect of the change, as a diff
 *   GET  /v1/operator/config/confirmed    ?version=N: VMs that have version N
 *                                         or a later one
 *   GET  /v1/operator/keys                name, customer, withdrawn or not
 *   POST /v1/operator/keys/issue          {name, customer, owner, sha256}
 *   POST /v1/operator/keys/withdraw       {name} or {sha256}
 *   GET  /v1/operator/keys/withdrawn      ?name=N or ?sha256=H: VMs that hold
 *                                         the withdrawal
 *   GET  /v1/operator/customers           ?name=N: only that customer
 *   GET  /v1/operator/upstreams
 *   POST /v1/operator/upstreams/NAME/leave    and /stay
 *   GET  /v1/operator/status
 *   GET  /v1/operator/timeline            the records of this VM
 *   GET  /metrics, /healthz, /readyz
 *
 * A request to issue a key contains only the key's hash: the operator's
 * command generates the key and shows the key once.
 */
#ifndef RTS_OPR_H
#define RTS_OPR_H

#include "core/cfs.h"
#include "core/ev.h"
#include "core/key.h"

#include <jansson.h>

/** Parameters of opr_setup. */
typedef struct
{
  cfs_t *cfs;               /**< required */
  key_set_t *key;           /**< required */
  const char *token_sha256; /**< hash of the operator token in lower-case hex;
                                 NULL: all operator requests are refused */
  /** Adds the fields of other modules to GET status; may be NULL. */
  void (*status_add) (void *data, json_t *status);
  /** Whether the other modules can serve callers; NULL: always true. */
  bool (*ready) (void *data);
  void *data; /**< for status_add and ready */
} opr_desc_t;

typedef struct opr opr_t;

/** New operator API owned by CTX. */
opr_t *opr_setup (void *ctx, const opr_desc_t *desc);

/** Free the API; waiting requests get no response. */
void opr_shutdown (opr_t *o);

/** Handle REQ if its path belongs to this API; otherwise return false.
 * CONFIGURED: a document is in force. */
bool opr_request (opr_t *o, env_t *env, const ev_request_t *req,
                  bool configured);

/** Send the responses of requests whose change has a result. */
void opr_results_send (opr_t *o, env_t *env);

/** The operator's connection is closed; the change continues. */
void opr_caller_gone (opr_t *o, uint64_t caller);

/** The VM leaves the fleet: from now on /readyz responds "not ready". */
void opr_leave (opr_t *o);

/** Number of requests that wait for the result of their change. */
size_t opr_waiting_count (const opr_t *o);

#endif

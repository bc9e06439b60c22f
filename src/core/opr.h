/** @file
 * The operators' HTTP API of a VM.
 *
 *   opr_t *o = opr_setup (ctx, &(opr_desc_t){ .cfs = cfs, .key = key,
 *                                             .token_sha256 = hash });
 *   if (opr_request (o, env, req))
 *     return;                                       it was for the operators
 *   ... after each event:
 *   opr_results_send (o, env);
 *
 * Paths, all with Authorization: Bearer OPERATOR-TOKEN but for the last line:
 *
 *   GET  /v1/operator/config              text; its first line has the version
 *   POST /v1/operator/config              sections; ?base=N&whole=yes&team=T
 *                                         &token=X, see cfs_change_t
 *   POST /v1/operator/config/diff         what that would change
 *   GET  /v1/operator/config/confirmed    ?version=N: VMs that have it
 *   GET  /v1/operator/keys                names, customers, withdrawn or not
 *   POST /v1/operator/keys/issue          {name, customer, owner, sha256}
 *   POST /v1/operator/keys/withdraw       {name} or {sha256}
 *   GET  /v1/operator/keys/withdrawn      ?name=N or ?sha256=H: VMs that hold
 *                                         the withdrawal
 *   GET  /v1/operator/customers           ?name=N: only that one
 *   GET  /v1/operator/upstreams
 *   POST /v1/operator/upstreams/NAME/leave    and /stay
 *   GET  /v1/operator/status
 *   GET  /v1/operator/timeline            this VM's records
 *   GET  /metrics, /healthz, /readyz
 *
 * A key is issued by its hash: the command makes the key and shows it once.
 */
#ifndef RTS_OPR_H
#define RTS_OPR_H

#include "core/cfs.h"
#include "core/ev.h"
#include "core/key.h"

#include <jansson.h>

/** How to set it up. */
typedef struct
{
  cfs_t *cfs;               /**< required */
  key_set_t *key;           /**< required */
  const char *token_sha256; /**< lower-case hex; NULL: no operators */
  /** Adds what other modules have to say to GET status; may be NULL. */
  void (*status_add) (void *data, json_t *status);
  /** Whether the other modules can serve callers; NULL: always. */
  bool (*ready) (void *data);
  void *data; /**< for status_add and ready */
} opr_desc_t;

typedef struct opr opr_t;

/** New, owned by CTX. */
opr_t *opr_setup (void *ctx, const opr_desc_t *desc);

/** Free it; requests that wait stay without an answer. */
void opr_shutdown (opr_t *o);

/** Handle REQ when its path is one of the above; false when it is not.
 * CONFIGURED: a document is in force. */
bool opr_request (opr_t *o, env_t *env, const ev_request_t *req,
                  bool configured);

/** Answer requests whose change is decided. */
void opr_results_send (opr_t *o, env_t *env);

/** The operator is gone; the change goes on. */
void opr_caller_gone (opr_t *o, uint64_t caller);

/** From now on /readyz says no: the VM is leaving. */
void opr_leave (opr_t *o);

/** Requests that wait for their answer. */
size_t opr_waiting_count (const opr_t *o);

#endif

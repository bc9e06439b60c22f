/** @file
 * Idempotency records (prefix idm_): a request on a non-idempotent route that
 * carries an Idempotency-Key runs at most once.  Requests without a key and
 * requests on idempotent routes do not need a record.
 *
 *   idm_begin (i, env, &(idm_request_t){ .customer = c, .key = k, ... });
 *   while (idm_result_pop (i, &result))
 *     IDM_RUN: if (idm_may_send (i, env, result.handle)) ... send, and then
 *              one of idm_done, idm_unknown, idm_not_run
 *     IDM_REPLAY: respond with the recorded response
 *     any other verdict: refuse the request
 *
 * The record is a platform object whose name is made from customer and key.
 * It is created, on condition that it does not exist, before the first byte
 * is sent upstream.  A VM that finds an existing record does not run the
 * request: it returns the recorded outcome, or reports that the outcome is
 * unknown.  Only the writer that is named in the record may record that the
 * request did not run; the next request with that key may then take the
 * record over.
 *
 * If the reply to the creation is lost, the record is read back and compared
 * with the writer's token (VM, incarnation, number).  Nothing here relies on
 * leases or on clocks that agree between VMs.  A record is kept for at least
 * 24 hours (by default) after the VM that sweeps its shard first saw it
 * (docs/ONLINE.md).
 *
 * Times are in milliseconds.  Pointers in a request are copied.
 */
#ifndef RTS_IDM_H
#define RTS_IDM_H

#include "core/env.h"
#include "core/mbr.h"

/** Longest idempotency key that is accepted, in bytes. */
#define IDM_KEY_MAX 128

/** Largest response body that is recorded, in bytes. */
#define IDM_BODY_MAX ((size_t)256 * 1024)

/** Settings; a zero selects the default. */
typedef struct
{
  /** VMs that share the sweep; borrowed.  NULL: this VM sweeps nothing. */
  mbr_t *members;
  /** Least time that a record is kept; default 24 h. */
  clk_ms_t retention_ms;
  /** Time between sweeps, each of one of 64 shards; default 60 s. */
  clk_ms_t sweep_interval_ms;
  /** Most requests at a time; default 4,096. */
  uint32_t requests_max;
  /** Time after which a request is refused when the platform has not settled
   * its record; default 2 s. */
  clk_ms_t record_timeout_ms;
  /** Time for which writing an outcome is retried; default 10 min. */
  clk_ms_t outcome_timeout_ms;
} idm_desc_t;

/** Verdict on a request. */
typedef enum
{
  IDM_RUN,       /**< the record is created: the request may be sent */
  IDM_REPLAY,    /**< the request ran before; the response is recorded */
  IDM_TOO_LARGE, /**< the request ran before; the response body was too
                      large to record */
  IDM_UNKNOWN,   /**< the request began before and has no recorded response:
                      no outcome yet, or an unknown one */
  IDM_REUSED,    /**< the key was used for another request; this one does
                      not run */
  IDM_REFUSED,   /**< the record could not be created or read; this request
                      does not run, an earlier one with its key may have */
  IDM_ABSENT,    /**< of idm_lookup only: nothing ran under this key */
} idm_verdict_t;

/** A request that needs a record. */
typedef struct
{
  const char *customer;
  const char *key;      /**< value of the Idempotency-Key header */
  uint64_t fingerprint; /**< result of idm_fingerprint */
  clk_ms_t deadline;    /**< time from which the request is no longer sent */
  uint64_t tag;         /**< chosen by the caller; returned with the verdict */
} idm_request_t;

/** Verdict on a request; pointers are valid until the next idm_result_pop. */
typedef struct
{
  uint64_t tag;
  idm_verdict_t verdict;
  uint64_t handle;  /**< only for IDM_RUN */
  int status;       /**< only for IDM_REPLAY and IDM_TOO_LARGE */
  const char *type; /**< Content-Type; may be NULL; as status */
  buf_t body;       /**< only for IDM_REPLAY */
} idm_result_t;

typedef struct idm idm_t;

/** New module without requests, owned by CTX. */
idm_t *idm_setup (void *ctx, const idm_desc_t *desc);

/** Frees the module; records in the platform stay as they are. */
void idm_shutdown (idm_t *i);

/** Starts the periodic removal of old records. */
void idm_start (idm_t *i, env_t *env);

/** Hash of method, path and body: tells different requests with the same key
 * apart. */
uint64_t idm_fingerprint (const char *method, const char *path, buf_t body);

/** Whether KEY is a valid idempotency key: 1 to IDM_KEY_MAX printable ASCII
 * characters without blanks. */
bool idm_key_valid (const char *key);

/** Creates the record of REQUEST; the verdict comes from idm_result_pop.
 * EXHAUSTED: too many requests at a time; the request does not run. */
st_code_t idm_begin (idm_t *i, env_t *env, const idm_request_t *request);

/** Looks up whether REQUEST ran before, without creating a record.  The
 * verdict is IDM_ABSENT or any of idm_begin's except IDM_RUN; EXHAUSTED as
 * above. */
st_code_t idm_lookup (idm_t *i, env_t *env, const idm_request_t *request);

/** Takes the next verdict; false: there is none. */
bool idm_result_pop (idm_t *i, idm_result_t *result);

/** Whether the request may be sent; call it immediately before the first byte
 * leaves.  False when the deadline has passed or the handle is stale; then
 * call idm_not_run. */
bool idm_may_send (idm_t *i, env_t *env, uint64_t handle);

/** Takes back idm_may_send: no byte left this VM, so the request may be sent
 * again. */
void idm_unsent (idm_t *i, uint64_t handle);

/** Records that the request ran, with this response.  This call and the two
 * below make the handle stale; a stale handle is ignored. */
void idm_done (idm_t *i, env_t *env, uint64_t handle, int status,
               const char *type, buf_t body);

/** Records that the request may have run. */
void idm_unknown (idm_t *i, env_t *env, uint64_t handle);

/** Records that the request did not run and will not.  If idm_may_send allowed
 * it and idm_unsent did not follow, this counts as idm_unknown. */
void idm_not_run (idm_t *i, env_t *env, uint64_t handle);

/** Number of outcomes that are not written to the platform yet. */
uint32_t idm_pending_outcomes (const idm_t *i);

/* Called by the node. */
void idm_timer_fired (idm_t *i, env_t *env, uint64_t tag);
void idm_platform_replied (idm_t *i, env_t *env, const plt_done_t *done,
                           const ev_platform_t *reply);

#endif

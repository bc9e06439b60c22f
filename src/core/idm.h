/** @file
 * Idempotency records: a request of a non-idempotent route runs at most once.
 *
 *   idm_begin (i, env, &(idm_request_t){ .customer = c, .key = k, ... });
 *   while (idm_result_pop (i, &answer))
 *     IDM_RUN: if (idm_may_send (i, env, answer.handle)) ... send, and then
 *              one of idm_done, idm_unknown, idm_not_run
 *     IDM_REPLAY: the recorded answer; all else is a refusal
 *
 * The record is an object of the platform, created if absent under a name
 * made from customer and key before the first byte leaves.  Who finds one
 * does not run: it gives the recorded outcome, or says that it is unknown.
 * Only the writer that the record names may say that it did not run; then
 * the next request with that key may take the record over.
 *
 * A lost answer to the creation is settled by reading: the record holds the
 * writer's token (VM, incarnation, number).  Nothing here relies on leases
 * or clocks of two VMs agreeing.  Records live for a day or longer after the
 * VM that sweeps them saw them first (docs/ONLINE.md).
 */
#ifndef RTS_IDM_H
#define RTS_IDM_H

#include "core/env.h"
#include "core/mbr.h"

/** Longest key that a caller may choose, in bytes. */
#define IDM_KEY_MAX 128

/** Largest answer body that is recorded, in bytes. */
#define IDM_BODY_MAX ((size_t)256 * 1024)

/** How to set it up; zeros mean the defaults. */
typedef struct
{
  mbr_t *members;        /**< NULL: this VM sweeps nothing */
  clk_ms_t retention_ms; /**< of a record, at least; default 24 h */
  clk_ms_t
      sweep_interval_ms; /**< between looks at one of 64 parts; default 60 s */
  uint32_t requests_max; /**< requests at a time; default 4,096 */
  clk_ms_t record_timeout_ms;  /**< longest wait for the platform before a
                            request  is refused; default 2 s */
  clk_ms_t outcome_timeout_ms; /**< how long an outcome is tried to be written;
                            default 10 min */
} idm_desc_t;

/** What becomes of a request. */
typedef enum
{
  IDM_RUN,       /**< its record stands: it may be sent */
  IDM_REPLAY,    /**< it ran before: status, type and body are recorded */
  IDM_TOO_LARGE, /**< it ran before; the answer was too large to record */
  IDM_UNKNOWN,   /**< it began before, and no outcome is recorded (yet) */
  IDM_REUSED,    /**< the key was used for another request; not run */
  IDM_REFUSED,   /**< no record could be made or read; this request does not
                      run, an earlier one with its key may have */
  IDM_ABSENT,    /**< idm_lookup: nothing ran under this key */
} idm_verdict_t;

/** A request. */
typedef struct
{
  const char *customer;
  const char *key;      /**< Idempotency-Key */
  uint64_t fingerprint; /**< idm_fingerprint */
  clk_ms_t deadline;    /**< after it the request is not sent any more */
  uint64_t tag;         /**< caller's name for it */
} idm_request_t;

/** Verdict on a request; pointers live until the next call of this module. */
typedef struct
{
  uint64_t tag;
  idm_verdict_t verdict;
  uint64_t handle; /**< IDM_RUN */
  int status;      /**< IDM_REPLAY, IDM_TOO_LARGE */
  const char *type;
  buf_t body;
} idm_result_t;

typedef struct idm idm_t;

/** New, empty, owned by CTX. */
idm_t *idm_setup (void *ctx, const idm_desc_t *desc);

/** Free it; records in the platform stay as they are. */
void idm_shutdown (idm_t *i);

/** Begin to sweep old records. */
void idm_start (idm_t *i, env_t *env);

/** Hash of what a request asks for, to tell two uses of one key apart. */
uint64_t idm_fingerprint (const char *method, const char *path, buf_t body);

/** Whether KEY can be an idempotency key: 1 to IDM_KEY_MAX printable
 * characters without blanks. */
bool idm_key_valid (const char *key);

/** Ask for a request's record; the verdict comes by idm_result_pop.
 * EXHAUSTED: too many at a time; not run. */
st_code_t idm_begin (idm_t *i, env_t *env, const idm_request_t *request);

/** Look whether a request ran before, without making a record: the verdict is
 * IDM_ABSENT, or one of idm_begin's other than IDM_RUN. */
st_code_t idm_lookup (idm_t *i, env_t *env, const idm_request_t *request);

/** Take the next verdict; false: none. */
bool idm_result_pop (idm_t *i, idm_result_t *result);

/** Immediately before the first byte leaves: whether it may.  False once the
 * deadline has passed or the handle is stale; then call idm_not_run. */
bool idm_may_send (idm_t *i, env_t *env, uint64_t handle);

/** No byte of it left this VM after all: it may be sent again. */
void idm_unsent (idm_t *i, uint64_t handle);

/** It ran, with this answer.  The handle is stale, here and below. */
void idm_done (idm_t *i, env_t *env, uint64_t handle, int status,
               const char *type, buf_t body);

/** It may have run. */
void idm_unknown (idm_t *i, env_t *env, uint64_t handle);

/** It certainly did not run, and will not. */
void idm_not_run (idm_t *i, env_t *env, uint64_t handle);

/** Outcomes that are not in the platform yet. */
uint32_t idm_pending_outcomes (const idm_t *i);

/* Hooks of the node. */
void idm_timer_fired (idm_t *i, env_t *env, uint64_t tag);
void idm_platform_replied (idm_t *i, env_t *env, const plt_done_t *done,
                           const ev_platform_t *reply);

#endif

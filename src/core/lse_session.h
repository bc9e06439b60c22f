/** @file
 * Lease session (prefix lss_): the one platform object whose renewal keeps all
 * leases of this VM.  Only lse.c uses it.
 *
 *   lss_t *s = lss_setup (ctx, term_ms, retry_ms);
 *   lss_start (s, env);               from now on the session is renewed
 *   if (lss_is_valid (s, env)) ...    the leases of the session are valid
 *
 * Each renewal is a conditional update with a new number; if its outcome is
 * unknown, the object is read back.  A session that was revoked or belongs to
 * an earlier start of the VM is replaced by one of the next generation.  Times
 * are in milliseconds; failed calls are retried.
 */
#ifndef RTS_LSE_SESSION_H
#define RTS_LSE_SESSION_H

#include "core/env.h"

/** Purposes of the session's timers and platform calls, in their tags. */
enum
{
  LSS_READ = 1,
  LSS_WRITE = 2,
};

/** A session object of the platform. */
typedef struct
{
  uint64_t version;    /**< 0: the object does not exist */
  uint64_t generation; /**< grows with each new session of the VM */
  uint64_t incarnation;
  uint64_t number; /**< grows with each write */
  bool revoked;
} lss_object_t;

typedef struct lss lss_t;

/** New session owned by CTX that is not started. */
lss_t *lss_setup (void *ctx, clk_ms_t term_ms, clk_ms_t retry_ms);

/** Starts the session; a second call does nothing. */
void lss_start (lss_t *s, env_t *env);

/** Whether the session is valid, its term not over, at this instant. */
bool lss_is_valid (const lss_t *s, const env_t *env);

/** Whether OBJECT_GENERATION is that of the current session. */
bool lss_is_current (const lss_t *s, uint64_t object_generation);

/** Generation of the current session. */
uint64_t lss_generation (const lss_t *s);

/** Handle a timer or a platform reply with STEP.  The second function returns
 * whether the session has just become valid. */
void lss_timer_fired (lss_t *s, env_t *env, unsigned step);
bool lss_platform_replied (lss_t *s, env_t *env, unsigned step,
                           const ev_platform_t *reply);

/** Name of VM's session object, owned by CTX. */
char *lss_object_name (void *ctx, const char *vm);

/** Value of the object O as it is stored in the platform, owned by CTX. */
buf_t lss_object_encode (void *ctx, const lss_object_t *o);

/** Decodes the object of REPLY; version 0 when there is none. */
lss_object_t lss_object_decode (const ev_platform_t *reply);

#endif

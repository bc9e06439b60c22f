/** @file
 * This VM's session: one platform object that stands for all its leases.
 *
 *   lss_t *s = lss_setup (ctx, term_ms, retry_ms);
 *   lss_start (s, env);                    reads, writes and then renews it
 *   if (lss_is_valid (s, env)) ...         its leases count
 *
 * Each renewal is a conditional update with a new number; an outcome that is
 * unknown is read back.  A session that was revoked, or is of an earlier
 * start of the VM, is followed by one of a higher generation.
 * Used by lse.c only.
 */
#ifndef RTS_LSE_SESSION_H
#define RTS_LSE_SESSION_H

#include "core/env.h"

/** Steps of a session in the tags of its timers and calls. */
enum
{
  LSS_READ = 1,
  LSS_WRITE = 2,
};

/** A session object. */
typedef struct
{
  uint64_t version;    /**< 0: there is none */
  uint64_t generation; /**< grows with each new session of the VM */
  uint64_t incarnation;
  uint64_t number; /**< grows with each write */
  bool revoked;
} lss_object_t;

typedef struct lss lss_t;

/** New session owned by CTX that is not started. */
lss_t *lss_setup (void *ctx, clk_ms_t term_ms, clk_ms_t retry_ms);

/** Begin; does nothing when begun. */
void lss_start (lss_t *s, env_t *env);

/** Whether the session's term runs at this instant. */
bool lss_is_valid (const lss_t *s, const env_t *env);

/** Whether OBJECT_GENERATION is this session's. */
bool lss_is_current (const lss_t *s, uint64_t object_generation);

/** Generation of the session. */
uint64_t lss_generation (const lss_t *s);

/** A timer or an answer with STEP; the latter says whether the session has
 * just become valid. */
void lss_timer_fired (lss_t *s, env_t *env, unsigned step);
bool lss_platform_replied (lss_t *s, env_t *env, unsigned step,
                           const ev_platform_t *reply);

/** VM's session object's name, owned by CTX. */
char *lss_object_name (void *ctx, const char *vm);

/** The object as it stands in the platform, owned by CTX. */
buf_t lss_object_encode (void *ctx, const lss_object_t *o);

/** The object of REPLY; version 0 when there is none. */
lss_object_t lss_object_decode (const ev_platform_t *reply);

#endif

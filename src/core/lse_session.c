#include "core/lse_session.h"

#include "core/lse.h"
#include "core/mpk.h"

#include <talloc.h>

#define LSS_PREFIX "lease-session/"

struct lss
{
  clk_ms_t term_ms;
  clk_ms_t retry_ms;
  char *name;
  bool established;          /* the platform holds a session of this start */
  lss_object_t object;       /* as last written or read */
  uint64_t write_number;     /* in the last write sent */
  uint64_t write_generation; /* in that write */
  clk_ms_t write_sent_at;
  clk_ms_t valid_until;
};

lss_t *
lss_setup (void *ctx, clk_ms_t term_ms, clk_ms_t retry_ms)
{
  lss_t *s = talloc_zero (ctx, lss_t);
  s->term_ms = term_ms;
  s->retry_ms = retry_ms;
  return s;
}

char *
lss_object_name (void *ctx, const char *vm)
{
  return talloc_asprintf (ctx, LSS_PREFIX "%s", vm);
}

buf_t
lss_object_encode (void *ctx, const lss_object_t *o)
{
  mpk_writer_t w;
  mpk_writer_init (&w, ctx);
  mpk_put_uint (&w, o->generation);
  mpk_put_uint (&w, o->incarnation);
  mpk_put_uint (&w, o->number);
  mpk_put_uint (&w, o->revoked);
  return mpk_done (&w);
}

lss_object_t
lss_object_decode (const ev_platform_t *reply)
{
  lss_object_t o = { 0 };
  if (reply->code != ST_OK || reply->object_count != 1)
    return o;
  void *ctx = talloc_new (NULL);
  mpk_reader_t r = mpk_reader (ctx, reply->objects[0].value);
  o.version = reply->objects[0].version;
  o.generation = mpk_get_uint (&r);
  o.incarnation = mpk_get_uint (&r);
  o.number = mpk_get_uint (&r);
  o.revoked = mpk_get_uint (&r) != 0;
  talloc_free (ctx);
  return o;
}

bool
lss_is_valid (const lss_t *s, const env_t *env)
{
  return s->established && env->now < s->valid_until;
}

bool
lss_is_current (const lss_t *s, uint64_t object_generation)
{
  return s->established && object_generation == s->object.generation;
}

uint64_t
lss_generation (const lss_t *s)
{
  return s->object.generation;
}

static void
_lss_arm (env_t *env, clk_ms_t wait, unsigned step)
{
  tmr_arm (env->tmr, env->now + env_jitter (env, wait), MOD_MEMBER,
           LSE_TAG | step);
}

static void
_lss_read (lss_t *s, env_t *env)
{
  plt_call (env, &(plt_req_t){ .mod = MOD_MEMBER,
                               .tag = LSE_TAG | LSS_READ,
                               .op = FX_PLATFORM_GET,
                               .name = s->name });
}

/* Renews the session, or begins a new one if none is established. */
static void
_lss_write (lss_t *s, env_t *env)
{
  lss_object_t next = s->object;
  if (!s->established)
    next.generation++;
  next.incarnation = env->incarnation;
  next.number = ++s->write_number;
  next.revoked = false;
  s->write_generation = next.generation;
  s->write_sent_at = env->now;
  buf_t value = lss_object_encode (s, &next);
  plt_call (env, &(plt_req_t){ .mod = MOD_MEMBER,
                               .tag = LSE_TAG | LSS_WRITE,
                               .op = FX_PLATFORM_PUT,
                               .name = s->name,
                               .if_version = s->object.version,
                               .value = value });
  talloc_free ((void *)(uintptr_t)value.p);
  cnt_add (env->cnt, "rts_lease_renewals_total", "", 1);
}

void
lss_start (lss_t *s, env_t *env)
{
  if (s->name != NULL)
    return;
  s->name = lss_object_name (s, env->vm);
  _lss_read (s, env);
}

/* The platform holds the last write, as VERSION.  The term counts from before
 * the write was sent.  Returns whether the session has just become valid. */
static bool
_lss_write_confirmed (lss_t *s, env_t *env, uint64_t version)
{
  bool renewed = lss_is_valid (s, env);
  s->object = (lss_object_t){ .version = version,
                              .generation = s->write_generation,
                              .incarnation = env->incarnation,
                              .number = s->write_number };
  s->established = true;
  s->valid_until = s->write_sent_at + s->term_ms;
  _lss_arm (env, s->term_ms / 3, LSS_WRITE);
  return !renewed && lss_is_valid (s, env);
}

static bool
_lss_read_replied (lss_t *s, env_t *env, const ev_platform_t *reply)
{
  if (reply->code != ST_OK && reply->code != ST_NOT_FOUND)
    {
      _lss_arm (env, s->retry_ms, LSS_READ);
      return false;
    }
  lss_object_t o = lss_object_decode (reply);
  bool own = o.incarnation == env->incarnation && !o.revoked;
  if (own && o.number == s->write_number
      && o.generation == s->write_generation)
    return _lss_write_confirmed (s, env, o.version);
  /* The session was revoked, is of an earlier start, or the last write has
   * not taken effect yet; the next write supersedes that one. */
  s->established = lss_is_current (s, o.generation) && own;
  s->object = o;
  _lss_write (s, env);
  return false;
}

bool
lss_platform_replied (lss_t *s, env_t *env, unsigned step,
                      const ev_platform_t *reply)
{
  if (step == LSS_READ)
    return _lss_read_replied (s, env, reply);
  if (reply->code == ST_OK && reply->object_count == 1)
    return _lss_write_confirmed (s, env, reply->objects[0].version);
  if (reply->code == ST_CONFLICT)
    _lss_read (s, env);
  else
    _lss_arm (env, s->retry_ms, LSS_READ);
  return false;
}

void
lss_timer_fired (lss_t *s, env_t *env, unsigned step)
{
  if (step == LSS_READ)
    _lss_read (s, env);
  else
    _lss_write (s, env);
}

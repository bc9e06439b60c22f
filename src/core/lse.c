#include "core/lse.h"

#include "core/lse_session.h"
#include "core/mpk.h"

#include <string.h>
#include <talloc.h>

#define LSE_TERM_MS_DEFAULT (30 * CLK_SECOND)
#define LSE_RETRY_MS_DEFAULT (1 * CLK_SECOND)
#define LSE_HOLDER_POLL_MS_DEFAULT (5 * CLK_SECOND)

/* Clocks of two VMs drift apart by less than 1 part in this number (2 %). */
#define LSE_DRIFT_DIVISOR 50

#define LSE_OBJECT_PREFIX "lease/"

/* Purpose of a timer or platform call, in the low LSE_STEP_BITS of the tag;
 * the bits above hold the index of the lease. */
enum
{
  LSE_LEASE_READ = LSS_WRITE + 1,
  LSE_HOLDER_READ,
  LSE_HOLDER_REVOKE,
  LSE_LEASE_TAKE,
  LSE_LEASE_RELEASE,
  LSE_STEP_BITS = 4,
};

/* A lease object of the platform. */
typedef struct
{
  uint64_t version;
  buf_t holder;        /* VM; empty: nobody */
  uint64_t generation; /* of the holder's session */
  uint64_t fence;
} lse_object_t;

/* A lease that is or was wanted here. */
typedef struct
{
  size_t index;
  char *name;
  char *object;
  bool wanted;
  bool busy;            /* a platform call is in flight or a timer runs */
  bool taken;           /* the object names this VM's current session */
  bool reported_held;   /* as lse_change_pop last returned it */
  bool write_uncertain; /* a write of the object may still be in flight */
  uint64_t version;
  uint64_t generation; /* of the session that took the lease */
  uint64_t fence;
  char *holder; /* another VM that the object names */
  uint64_t holder_generation;
  uint64_t holder_version; /* of the holder's session object */
  clk_ms_t holder_since;   /* when that version was first seen */
} lse_lease_t;

struct lse
{
  lse_desc_t desc;
  lss_t *session;
  lse_lease_t **leases;
  size_t count;
  GHashTable *by_name; /* to lse_lease_t */
  bool changed;        /* since lse_change_pop last found nothing */
  bool reported_valid;
};

static int
_lse_destroy (lse_t *l)
{
  g_hash_table_destroy (l->by_name);
  return 0;
}

lse_t *
lse_setup (void *ctx, const lse_desc_t *desc)
{
  lse_t *l = talloc_zero (ctx, lse_t);
  l->desc = *desc;
  if (l->desc.term_ms == 0)
    l->desc.term_ms = LSE_TERM_MS_DEFAULT;
  if (l->desc.retry_ms == 0)
    l->desc.retry_ms = LSE_RETRY_MS_DEFAULT;
  if (l->desc.holder_poll_ms == 0)
    l->desc.holder_poll_ms = LSE_HOLDER_POLL_MS_DEFAULT;
  l->session = lss_setup (l, l->desc.term_ms, l->desc.retry_ms);
  l->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  talloc_set_destructor (l, _lse_destroy);
  return l;
}

void
lse_shutdown (lse_t *l)
{
  talloc_free (l);
}

/* ---- objects ---- */

static lse_object_t
_lse_object_decode (void *ctx, const ev_platform_t *reply)
{
  lse_object_t o = { .holder = buf_str ("") };
  if (reply->code != ST_OK || reply->object_count != 1)
    return o;
  mpk_reader_t r = mpk_reader (ctx, reply->objects[0].value);
  o.version = reply->objects[0].version;
  o.holder = mpk_get_str (&r);
  o.generation = mpk_get_uint (&r);
  o.fence = mpk_get_uint (&r);
  return o;
}

static uint64_t
_lse_tag (size_t lease, unsigned step)
{
  return LSE_TAG | ((uint64_t)lease << LSE_STEP_BITS) | step;
}

static void
_lse_call (lse_t *l, env_t *env, uint64_t tag, fx_platform_op_t op,
           const char *name, uint64_t if_version, buf_t value)
{
  (void)l;
  plt_call (env, &(plt_req_t){ .mod = MOD_MEMBER,
                               .tag = tag,
                               .op = op,
                               .name = name,
                               .if_version = if_version,
                               .value = value });
}

static void
_lse_arm (env_t *env, clk_ms_t wait, uint64_t tag)
{
  tmr_arm (env->tmr, env->now + env_jitter (env, wait), MOD_MEMBER, tag);
}

/* ---- one lease ---- */

static bool
_lse_is_held (const lse_t *l, const env_t *env, const lse_lease_t *x)
{
  return x->wanted && x->taken && lss_is_current (l->session, x->generation)
         && lss_is_valid (l->session, env);
}

static void
_lse_lease_read (lse_t *l, env_t *env, size_t i)
{
  lse_lease_t *x = l->leases[i];
  x->busy = true;
  _lse_call (l, env, _lse_tag (i, LSE_LEASE_READ), FX_PLATFORM_GET, x->object,
             0, (buf_t){ 0 });
}

static void
_lse_lease_read_schedule (lse_t *l, env_t *env, size_t i, clk_ms_t wait)
{
  l->leases[i]->busy = true;
  _lse_arm (env, wait, _lse_tag (i, LSE_LEASE_READ));
}

static void
_lse_lease_write (lse_t *l, env_t *env, size_t i, unsigned step,
                  const char *holder, uint64_t fence)
{
  lse_lease_t *x = l->leases[i];
  mpk_writer_t w;
  mpk_writer_init (&w, l);
  mpk_put_str (&w, buf_str (holder));
  mpk_put_uint (&w, lss_generation (l->session));
  mpk_put_uint (&w, fence);
  buf_t value = mpk_done (&w);
  x->busy = true;
  x->generation = lss_generation (l->session);
  _lse_call (l, env, _lse_tag (i, step), FX_PLATFORM_PUT, x->object,
             x->version, value);
  talloc_free ((void *)(uintptr_t)value.p);
}

static void
_lse_lease_take (lse_t *l, env_t *env, size_t i)
{
  _lse_lease_write (l, env, i, LSE_LEASE_TAKE, env->vm,
                    l->leases[i]->fence + 1);
}

/* Acts on a lease object that was read.  The lease is free if the object names
 * nobody or an earlier session of this VM; if it names another VM, that VM's
 * session is read. */
static void
_lse_lease_evaluate (lse_t *l, env_t *env, size_t i, const lse_object_t *o)
{
  lse_lease_t *x = l->leases[i];
  bool own = buf_is (o->holder, env->vm);
  /* A take with an unknown outcome may still be in flight.  The release below
   * changes the version, so that the take meets a conflict. */
  bool write_pending = x->write_uncertain && o->version == x->version;
  x->write_uncertain = false;
  x->version = o->version;
  x->fence = o->fence;
  x->taken = own && lss_is_current (l->session, o->generation);
  x->generation = o->generation;
  if (!x->wanted)
    {
      x->taken = false;
      if (own || write_pending)
        _lse_lease_write (l, env, i, LSE_LEASE_RELEASE, "", o->fence);
      return;
    }
  if (x->taken)
    return;
  if (!lss_is_valid (l->session, env))
    return; /* _lse_leases_resume continues */
  if (o->holder.n == 0 || own)
    {
      _lse_lease_take (l, env, i);
      return;
    }
  talloc_free (x->holder);
  x->holder = buf_to_str (x, o->holder);
  x->holder_generation = o->generation;
  x->busy = true;
  char *session = lss_object_name (l, x->holder);
  _lse_call (l, env, _lse_tag (i, LSE_HOLDER_READ), FX_PLATFORM_GET, session,
             0, (buf_t){ 0 });
  talloc_free (session);
}

/* Whether the holder's session S has certainly ended.  A session that does not
 * change for a whole term has expired, but is revoked before the lease is
 * taken. */
static bool
_lse_holder_is_gone (const lse_lease_t *x, const lss_object_t *s)
{
  return s->version == 0 || s->generation != x->holder_generation
         || s->revoked;
}

static void
_lse_holder_revoke (lse_t *l, env_t *env, size_t i, lss_object_t s)
{
  s.revoked = true;
  buf_t value = lss_object_encode (l, &s);
  char *session = lss_object_name (l, l->leases[i]->holder);
  l->leases[i]->busy = true;
  _lse_call (l, env, _lse_tag (i, LSE_HOLDER_REVOKE), FX_PLATFORM_PUT, session,
             s.version, value);
  talloc_free (session);
  talloc_free ((void *)(uintptr_t)value.p);
  tln_record (env->tln, env->now, MOD_MEMBER, "lease-revoke", "vm=%s",
              l->leases[i]->holder);
  cnt_add (env->cnt, "rts_lease_revocations_total", "", 1);
}

static void
_lse_holder_read_replied (lse_t *l, env_t *env, size_t i,
                          const ev_platform_t *reply)
{
  lse_lease_t *x = l->leases[i];
  if (reply->code != ST_OK && reply->code != ST_NOT_FOUND)
    {
      _lse_lease_read_schedule (l, env, i, l->desc.retry_ms);
      return;
    }
  lss_object_t s = lss_object_decode (reply);
  clk_ms_t term = l->desc.term_ms + l->desc.term_ms / LSE_DRIFT_DIVISOR;
  if (!x->wanted || !lss_is_valid (l->session, env))
    return;
  if (_lse_holder_is_gone (x, &s))
    {
      _lse_lease_take (l, env, i);
      return;
    }
  if (s.version != x->holder_version)
    {
      x->holder_version = s.version;
      x->holder_since = env->now;
    }
  if (env->now >= x->holder_since + term)
    _lse_holder_revoke (l, env, i, s);
  else
    _lse_lease_read_schedule (l, env, i, l->desc.holder_poll_ms);
}

static void
_lse_lease_read_replied (lse_t *l, env_t *env, size_t i,
                         const ev_platform_t *reply)
{
  if (reply->code != ST_OK && reply->code != ST_NOT_FOUND)
    {
      _lse_lease_read_schedule (l, env, i, l->desc.retry_ms);
      return;
    }
  void *ctx = talloc_new (l);
  lse_object_t o = _lse_object_decode (ctx, reply);
  _lse_lease_evaluate (l, env, i, &o);
  talloc_free (ctx);
}

static void
_lse_take_replied (lse_t *l, env_t *env, size_t i, const ev_platform_t *reply)
{
  lse_lease_t *x = l->leases[i];
  if (reply->code != ST_OK || reply->object_count != 1)
    {
      x->write_uncertain = reply->code == ST_UNKNOWN;
      _lse_lease_read_schedule (
          l, env, i, reply->code == ST_CONFLICT ? 1 : l->desc.retry_ms);
      return;
    }
  x->version = reply->objects[0].version;
  x->fence++;
  x->taken = true;
  tln_record (env->tln, env->now, MOD_MEMBER, "lease-taken",
              "name=%s fence=%lu", x->name, (unsigned long)x->fence);
  if (!x->wanted || !lss_is_current (l->session, x->generation))
    _lse_lease_read (l, env, i);
}

/* Whether or not the release succeeded, the object is read if anything is left
 * to do. */
static void
_lse_release_replied (lse_t *l, env_t *env, size_t i,
                      const ev_platform_t *reply)
{
  lse_lease_t *x = l->leases[i];
  x->taken = false;
  if (reply->code != ST_OK)
    _lse_lease_read_schedule (l, env, i, l->desc.retry_ms);
  else if (x->wanted)
    _lse_lease_read (l, env, i);
}

/* ---- timers and replies ---- */

static void
_lse_leases_resume (lse_t *l, env_t *env)
{
  for (size_t i = 0; i < l->count; i++)
    if (l->leases[i]->wanted && !l->leases[i]->busy)
      _lse_lease_read (l, env, i);
}

void
lse_timer_fired (lse_t *l, env_t *env, uint64_t tag)
{
  unsigned step = tag & ((1U << LSE_STEP_BITS) - 1);
  size_t i = (size_t)((tag & ~LSE_TAG) >> LSE_STEP_BITS);
  if (step <= LSS_WRITE)
    lss_timer_fired (l->session, env, step);
  else if (step == LSE_LEASE_READ && i < l->count)
    _lse_lease_read (l, env, i);
}

static void
_lse_lease_replied (lse_t *l, env_t *env, size_t i, unsigned step,
                    const ev_platform_t *reply)
{
  if (i >= l->count)
    return;
  l->leases[i]->busy = false;
  switch (step)
    {
    case LSE_LEASE_READ:
      _lse_lease_read_replied (l, env, i, reply);
      break;
    case LSE_HOLDER_READ:
      _lse_holder_read_replied (l, env, i, reply);
      break;
    case LSE_HOLDER_REVOKE:
      _lse_lease_read_schedule (l, env, i, 1);
      break;
    case LSE_LEASE_TAKE:
      _lse_take_replied (l, env, i, reply);
      break;
    case LSE_LEASE_RELEASE:
      _lse_release_replied (l, env, i, reply);
      break;
    default:
      break;
    }
}

void
lse_platform_replied (lse_t *l, env_t *env, const plt_done_t *done,
                      const ev_platform_t *reply)
{
  l->changed = true;
  unsigned step = done->tag & ((1U << LSE_STEP_BITS) - 1);
  size_t i = (size_t)((done->tag & ~LSE_TAG) >> LSE_STEP_BITS);
  if (step > LSS_WRITE)
    _lse_lease_replied (l, env, i, step, reply);
  else if (lss_platform_replied (l->session, env, step, reply))
    _lse_leases_resume (l, env);
}

/* ---- callers ---- */

static lse_lease_t *
_lse_find (const lse_t *l, const char *name)
{
  return g_hash_table_lookup (l->by_name, name);
}

/* A slot for a new lease: one that is no longer in use, or else a new one. */
static lse_lease_t *
_lse_lease_slot (lse_t *l)
{
  for (size_t i = 0; i < l->count; i++)
    {
      lse_lease_t *x = l->leases[i];
      if (x->wanted || x->busy || x->taken || x->reported_held)
        continue;
      g_hash_table_remove (l->by_name, x->name);
      talloc_free_children (x);
      *x = (lse_lease_t){ .index = i };
      return x;
    }
  lse_lease_t *x = talloc_zero (l, lse_lease_t);
  l->leases = talloc_realloc (l, l->leases, lse_lease_t *, l->count + 1);
  x->index = l->count++;
  l->leases[x->index] = x;
  return x;
}

void
lse_acquire (lse_t *l, env_t *env, const char *name)
{
  lse_lease_t *x = _lse_find (l, name);
  if (x == NULL)
    {
      x = _lse_lease_slot (l);
      x->name = talloc_strdup (x, name);
      x->object = talloc_asprintf (x, LSE_OBJECT_PREFIX "%s", name);
      g_hash_table_insert (l->by_name, x->name, x);
    }
  if (x->wanted)
    return;
  x->wanted = true;
  lss_start (l->session, env);
  if (lss_is_valid (l->session, env) && !x->busy)
    _lse_lease_read (l, env, x->index);
}

void
lse_release (lse_t *l, env_t *env, const char *name)
{
  lse_lease_t *x = _lse_find (l, name);
  if (x == NULL || !x->wanted)
    return;
  x->wanted = false;
  l->changed = true;
  if (!x->busy)
    _lse_lease_read (l, env, x->index);
}

bool
lse_held (const lse_t *l, const env_t *env, const char *name, uint64_t *fence)
{
  const lse_lease_t *x = _lse_find (l, name);
  if (x == NULL || !_lse_is_held (l, env, x))
    return false;
  if (fence != NULL)
    *fence = x->fence;
  return true;
}

bool
lse_change_pop (lse_t *l, env_t *env, lse_change_t *change)
{
  bool valid = lss_is_valid (l->session, env);
  if (!l->changed && valid == l->reported_valid)
    return false;
  for (size_t i = 0; i < l->count; i++)
    {
      lse_lease_t *x = l->leases[i];
      bool held = _lse_is_held (l, env, x);
      if (held == x->reported_held)
        continue;
      x->reported_held = held;
      *change = (lse_change_t){ .name = x->name,
                                .held = held,
                                .fence = held ? x->fence : 0 };
      return true;
    }
  l->changed = false;
  l->reported_valid = valid;
  return false;
}

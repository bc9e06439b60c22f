/* Leases: there are never two holders, fencing numbers grow, and a lease of a
 * lost VM is taken over.  The simulated platform delays calls and loses calls
 * or their replies.  Times are in virtual milliseconds. */
#include "core/lse.h"
#include "tst.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define VMS 4
#define LEASES 3
#define OBJECTS_MAX 32
#define CALLS_MAX 512
#define TERM_MS (30 * CLK_SECOND)

/* A platform call in flight: it takes effect at one time and its reply arrives
 * at another. */
typedef struct
{
  clk_ms_t effect_at;
  clk_ms_t response_at;
  bool effected;
  bool lost;          /* the call has no effect */
  bool response_lost; /* the caller gets ST_UNKNOWN or ST_UNAVAILABLE */
  int vm;
  uint64_t incarnation;
  fx_platform_op_t op;
  uint64_t call;
  uint64_t if_version;
  char name[64];
  char value[128];
  size_t value_size;
  st_code_t code;
  uint64_t version; /* in the reply */
} call_t;

typedef struct
{
  char name[64];
  char value[128];
  size_t value_size;
  uint64_t version;
} object_t;

typedef struct
{
  env_t *env;
  lse_t *lse;
  uint64_t incarnation;
  bool alive;
  clk_ms_t frozen_until;
} vm_t;

typedef struct
{
  clk_ms_t now;
  GRand *rand;
  vm_t vms[VMS];
  object_t objects[OBJECTS_MAX];
  size_t object_count;
  uint64_t version;
  call_t calls[CALLS_MAX];
  size_t call_count;
  double loss_rate;          /* share of calls that are lost without effect */
  double response_loss_rate; /* share of calls whose reply is lost */
  bool platform_down;
  int cut_vm;             /* all calls of this VM are lost; -1: none */
  uint64_t fence[LEASES]; /* highest seen so far */
  int last_holder[LEASES];
  int changes; /* gains and losses reported to VMs */
  int double_holders;
  int fence_decreases;
} world_t;

static const char *const lease_names[LEASES] = { "a", "b", "c" };

static void
_start (world_t *w, int i)
{
  vm_t *v = &w->vms[i];
  char name[8];
  snprintf (name, sizeof name, "vm-%d", i);
  v->incarnation++;
  v->alive = true;
  v->frozen_until = 0;
  v->env = env_setup (NULL, &(env_desc_t){ .vm = name,
                                           .data_centre = "dc",
                                           .incarnation = v->incarnation,
                                           .seed = (uint32_t)i + 1 });
  v->env->now = w->now;
  v->lse = lse_setup (v->env, &(lse_desc_t){ .term_ms = TERM_MS });
}

static void
_stop (world_t *w, int i)
{
  w->vms[i].alive = false;
  w->vms[i].incarnation++;
  TALLOC_FREE (w->vms[i].env);
}

static world_t *
_world (uint32_t seed)
{
  world_t *w = talloc_zero (NULL, world_t);
  w->rand = g_rand_new_with_seed (seed);
  w->now = 1000;
  w->cut_vm = -1;
  for (int i = 0; i < LEASES; i++)
    w->last_holder[i] = -1;
  for (int i = 0; i < VMS; i++)
    _start (w, i);
  return w;
}

static void
_world_free (world_t *w)
{
  for (int i = 0; i < VMS; i++)
    if (w->vms[i].alive)
      _stop (w, i);
  g_rand_free (w->rand);
  talloc_free (w);
}

static object_t *
_object (world_t *w, const char *name)
{
  for (size_t i = 0; i < w->object_count; i++)
    if (strcmp (w->objects[i].name, name) == 0)
      return &w->objects[i];
  object_t *o = &w->objects[w->object_count++];
  snprintf (o->name, sizeof o->name, "%s", name);
  return o;
}

static void
_effect_apply (world_t *w, call_t *c)
{
  c->effected = true;
  object_t *o = _object (w, c->name);
  if (c->op == FX_PLATFORM_PUT && o->version != c->if_version)
    c->code = ST_CONFLICT;
  else if (c->op == FX_PLATFORM_PUT)
    {
      o->version = ++w->version;
      memcpy (o->value, c->value, c->value_size);
      o->value_size = c->value_size;
    }
  else if (o->version == 0)
    c->code = ST_NOT_FOUND;
  memcpy (c->value, o->value, o->value_size);
  c->value_size = o->value_size;
  c->version = o->version;
}

static void
_response_deliver (world_t *w, call_t c)
{
  vm_t *v = &w->vms[c.vm];
  v->env->now = w->now;
  if (c.lost || c.response_lost)
    c.code = c.op == FX_PLATFORM_PUT ? ST_UNKNOWN : ST_UNAVAILABLE;
  ev_object_t o = { .name = c.name,
                    .version = c.version,
                    .value = { c.value, c.value_size } };
  ev_platform_t reply = { .call = c.call,
                          .code = c.code,
                          .objects = &o,
                          .object_count = c.code == ST_OK };
  plt_done_t done;
  if (plt_reply (v->env, &reply, &done))
    lse_platform_replied (v->lse, v->env, &done, &reply);
}

static void
_send (world_t *w, int i, const fx_platform_t *f)
{
  if (w->call_count == CALLS_MAX)
    return;
  call_t *c = &w->calls[w->call_count++];
  *c = (call_t){ .vm = i,
                 .incarnation = w->vms[i].incarnation,
                 .op = f->op,
                 .call = f->call,
                 .if_version = f->if_version,
                 .value_size = f->value.n };
  snprintf (c->name, sizeof c->name, "%s", f->name);
  memcpy (c->value, f->value.p ? f->value.p : "", f->value.n);
  c->lost = w->platform_down || w->cut_vm == i
            || g_rand_double (w->rand) < w->loss_rate;
  c->response_lost = g_rand_double (w->rand) < w->response_loss_rate;
  c->effect_at = w->now + g_rand_int_range (w->rand, 1, 5);
  c->response_at = c->effect_at + g_rand_int_range (w->rand, 1, 5);
  /* Some calls take effect long after the caller has timed out. */
  if (c->response_lost && g_rand_double (w->rand) < 0.3)
    c->effect_at += 3 * CLK_SECOND;
  if (c->lost || c->response_lost)
    c->response_at = w->now + 2 * CLK_SECOND;
}

static bool
_is_running (const world_t *w, int i)
{
  return w->vms[i].alive && w->now >= w->vms[i].frozen_until;
}

static void
_process_output (world_t *w, int i)
{
  vm_t *v = &w->vms[i];
  plt_done_t done;
  while (plt_refused_pop (v->env, &done))
    lse_platform_replied (v->lse, v->env, &done,
                          &(ev_platform_t){ .code = ST_UNAVAILABLE });
  for (size_t k = 0; k < v->env->fx->count; k++)
    if (v->env->fx->v[k].kind == FX_PLATFORM)
      _send (w, i, &v->env->fx->v[k].platform);
  fx_clear (v->env->fx);
  lse_change_t change;
  while (lse_change_pop (v->lse, v->env, &change))
    w->changes++;
}

/* Counts violations: asks each VM, also a frozen one, whether it holds each
 * lease at this instant. */
static void
_check (world_t *w)
{
  for (int k = 0; k < LEASES; k++)
    {
      int holders = 0;
      for (int i = 0; i < VMS; i++)
        {
          vm_t *v = &w->vms[i];
          uint64_t fence = 0;
          if (!v->alive)
            continue;
          env_t at = *v->env;
          at.now = w->now;
          if (!lse_held (v->lse, &at, lease_names[k], &fence))
            continue;
          holders++;
          bool other = w->last_holder[k] != i;
          if (fence < w->fence[k] || (other && fence == w->fence[k]))
            w->fence_decreases++;
          w->fence[k] = fence;
          w->last_holder[k] = i;
        }
      w->double_holders += holders > 1;
    }
}

static void
_step (world_t *w)
{
  w->now++;
  for (size_t k = 0; k < w->call_count; k++)
    if (!w->calls[k].effected && !w->calls[k].lost
        && w->now >= w->calls[k].effect_at)
      _effect_apply (w, &w->calls[k]);
  for (size_t k = 0; k < w->call_count;)
    {
      call_t c = w->calls[k];
      bool incarnation_ended
          = !w->vms[c.vm].alive || w->vms[c.vm].incarnation != c.incarnation;
      bool due = w->now >= c.response_at && w->now >= c.effect_at;
      /* If the effect comes after the time of the reply, the caller times out
       * at that time. */
      if (c.response_lost && !c.effected && w->now >= c.response_at
          && !incarnation_ended && _is_running (w, c.vm) && c.call != 0)
        {
          w->calls[k].call = 0;
          _response_deliver (w, c);
          _process_output (w, c.vm);
          continue;
        }
      if (!due || (!incarnation_ended && !_is_running (w, c.vm)))
        {
          k++;
          continue;
        }
      w->calls[k] = w->calls[--w->call_count];
      if (!incarnation_ended && c.call != 0)
        {
          _response_deliver (w, c);
          _process_output (w, c.vm);
        }
    }
  for (int i = 0; i < VMS; i++)
    {
      tmr_due_t due;
      if (!_is_running (w, i))
        continue;
      w->vms[i].env->now = w->now;
      while (tmr_pop (w->vms[i].env->tmr, w->now, &due))
        lse_timer_fired (w->vms[i].lse, w->vms[i].env, due.tag);
      _process_output (w, i);
    }
  _check (w);
}

static void
_run (world_t *w, clk_ms_t ms)
{
  for (clk_ms_t end = w->now + ms; w->now < end;)
    _step (w);
}

static void
_acquire (world_t *w, int i, int lease)
{
  w->vms[i].env->now = w->now;
  lse_acquire (w->vms[i].lse, w->vms[i].env, lease_names[lease]);
  _process_output (w, i);
}

static bool
_holds (world_t *w, int i, int lease)
{
  w->vms[i].env->now = w->now;
  return w->vms[i].alive
         && lse_held (w->vms[i].lse, w->vms[i].env, lease_names[lease], NULL);
}

static void
_check_no_violation (const world_t *w)
{
  CU_ASSERT_EQUAL (w->double_holders, 0);
  CU_ASSERT_EQUAL (w->fence_decreases, 0);
}

static void
test_take_and_release (void)
{
  world_t *w = _world (1);
  _acquire (w, 0, 0);
  _run (w, 100);
  CU_ASSERT (_holds (w, 0, 0));
  _acquire (w, 1, 0);
  _run (w, 2 * TERM_MS);
  CU_ASSERT (_holds (w, 0, 0));
  CU_ASSERT_FALSE (_holds (w, 1, 0));
  lse_release (w->vms[0].lse, w->vms[0].env, lease_names[0]);
  CU_ASSERT_FALSE (_holds (w, 0, 0));
  _process_output (w, 0);
  _run (w, 10 * CLK_SECOND);
  CU_ASSERT (_holds (w, 1, 0));
  _check_no_violation (w);
  _world_free (w);
}

static void
test_lost_holder (void)
{
  world_t *w = _world (2);
  _acquire (w, 0, 0);
  _run (w, 100);
  _acquire (w, 1, 0);
  _stop (w, 0);
  /* The lease must not change hands before the old term is over. */
  _run (w, TERM_MS - CLK_SECOND);
  CU_ASSERT_FALSE (_holds (w, 1, 0));
  _run (w, 20 * CLK_SECOND);
  CU_ASSERT (_holds (w, 1, 0));
  CU_ASSERT (w->fence[0] >= 2);
  _check_no_violation (w);
  _world_free (w);
}

static void
test_frozen_holder_resumes (void)
{
  world_t *w = _world (3);
  _acquire (w, 0, 0);
  _run (w, 100);
  _acquire (w, 1, 0);
  w->vms[0].frozen_until = w->now + 3 * TERM_MS;
  _run (w, 3 * TERM_MS);
  CU_ASSERT (_holds (w, 1, 0));
  CU_ASSERT_FALSE (_holds (w, 0, 0));
  _run (w, 10 * CLK_SECOND);
  CU_ASSERT (_holds (w, 1, 0));
  CU_ASSERT_FALSE (_holds (w, 0, 0));
  _check_no_violation (w);
  _world_free (w);
}

/* The holder is frozen longer than its term, but no other VM wants the lease:
 * the lease continues with the same fencing number. */
static void
test_expired_lease_without_contender (void)
{
  world_t *w = _world (4);
  _acquire (w, 0, 0);
  _run (w, 100);
  w->vms[0].frozen_until = w->now + 2 * TERM_MS;
  _run (w, 2 * TERM_MS - 1);
  CU_ASSERT_FALSE (_holds (w, 0, 0));
  _run (w, 10 * CLK_SECOND);
  CU_ASSERT (_holds (w, 0, 0));
  CU_ASSERT_EQUAL (w->fence[0], 1);
  _check_no_violation (w);
  _world_free (w);
}

static void
test_restarted_holder (void)
{
  world_t *w = _world (5);
  _acquire (w, 0, 0);
  _run (w, 100);
  _stop (w, 0);
  _start (w, 0);
  _acquire (w, 0, 0);
  _run (w, 10 * CLK_SECOND);
  CU_ASSERT (_holds (w, 0, 0));
  CU_ASSERT_EQUAL (w->fence[0], 2);
  _check_no_violation (w);
  _world_free (w);
}

static void
test_platform_unavailable (void)
{
  world_t *w = _world (6);
  _acquire (w, 0, 0);
  _run (w, 100);
  w->platform_down = true;
  _run (w, TERM_MS + CLK_SECOND);
  CU_ASSERT_FALSE (_holds (w, 0, 0));
  w->platform_down = false;
  _run (w, 20 * CLK_SECOND);
  CU_ASSERT (_holds (w, 0, 0));
  _check_no_violation (w);
  _world_free (w);
}

/* Each renewal takes at most one write, whatever the number of leases. */
static void
test_cheap_renewals (void)
{
  world_t *w = _world (7);
  for (int k = 0; k < LEASES; k++)
    _acquire (w, 0, k);
  _run (w, CLK_SECOND);
  uint64_t before = w->version;
  _run (w, 10 * TERM_MS);
  CU_ASSERT (w->version - before <= 40);
  for (int k = 0; k < LEASES; k++)
    CU_ASSERT (_holds (w, 0, k));
  _world_free (w);
}

/* Runs until a PUT of NAME by VM I is in flight. */
static call_t *
_run_until_put (world_t *w, int i, const char *name)
{
  for (int k = 0; k < 2 * TERM_MS; k++)
    {
      for (size_t c = 0; c < w->call_count; c++)
        if (w->calls[c].vm == i && w->calls[c].op == FX_PLATFORM_PUT
            && strcmp (w->calls[c].name, name) == 0 && !w->calls[c].effected)
          return &w->calls[c];
      _step (w);
    }
  return NULL;
}

/* A VM handles the reply to a renewal 20 s late, after a freeze: the term must
 * count from before the renewal was sent, not from the reply. */
static void
test_late_renewal_reply (void)
{
  world_t *w = _world (8);
  _acquire (w, 0, 0);
  _run (w, 100);
  _acquire (w, 1, 0);
  CU_ASSERT_PTR_NOT_NULL (_run_until_put (w, 0, "lease-session/vm-0"));
  w->vms[0].frozen_until = w->now + 20 * CLK_SECOND;
  w->cut_vm = 0;
  _run (w, 2 * TERM_MS);
  CU_ASSERT (_holds (w, 1, 0));
  _check_no_violation (w);
  _world_free (w);
}

/* A write that takes the lease has its effect only after the caller timed out
 * and released the lease: it must not keep the lease from other VMs. */
static void
test_late_write_after_release (void)
{
  world_t *w = _world (9);
  _acquire (w, 0, 0);
  call_t *c = _run_until_put (w, 0, "lease/a");
  TST_NEED (c != NULL);
  c->response_lost = true;
  c->effect_at = w->now + 8 * CLK_SECOND;
  c->response_at = w->now + 2 * CLK_SECOND;
  lse_release (w->vms[0].lse, w->vms[0].env, lease_names[0]);
  _run (w, 20 * CLK_SECOND);
  _acquire (w, 1, 0);
  _run (w, 10 * CLK_SECOND);
  CU_ASSERT (_holds (w, 1, 0));
  _check_no_violation (w);
  _world_free (w);
}

static void
_random_fault (world_t *w)
{
  int i = g_rand_int_range (w->rand, 0, VMS);
  switch (g_rand_int_range (w->rand, 0, 6))
    {
    case 0:
      w->vms[i].frozen_until
          = w->now + g_rand_int_range (w->rand, 100, 3 * TERM_MS);
      break;
    case 1:
      if (w->vms[i].alive)
        _stop (w, i);
      else
        _start (w, i);
      break;
    case 2:
      w->platform_down = !w->platform_down;
      break;
    case 3:
      if (_is_running (w, i))
        {
          w->vms[i].env->now = w->now;
          lse_release (w->vms[i].lse, w->vms[i].env,
                       lease_names[g_rand_int_range (w->rand, 0, LEASES)]);
          _process_output (w, i);
        }
      break;
    default:
      break;
    }
  for (int k = 0; k < VMS; k++)
    if (_is_running (w, k))
      _acquire (w, k, g_rand_int_range (w->rand, 0, LEASES));
}

static void
test_random_faults (void)
{
  int changes = 0;
  for (uint32_t seed = 100; seed < 112; seed++)
    {
      world_t *w = _world (seed);
      w->loss_rate = 0.05;
      w->response_loss_rate = 0.15;
      for (int k = 0; k < 25; k++)
        {
          _random_fault (w);
          _run (w, g_rand_int_range (w->rand, 1000, 20000));
        }
      _check_no_violation (w);
      changes += w->changes;
      _world_free (w);
    }
  CU_ASSERT (changes > 100);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "take_and_release", test_take_and_release },
    { "lost_holder", test_lost_holder },
    { "frozen_holder_resumes", test_frozen_holder_resumes },
    { "expired_lease_without_contender",
      test_expired_lease_without_contender },
    { "restarted_holder", test_restarted_holder },
    { "platform_unavailable", test_platform_unavailable },
    { "cheap_renewals", test_cheap_renewals },
    { "late_renewal_reply", test_late_renewal_reply },
    { "late_write_after_release", test_late_write_after_release },
    { "random_faults", test_random_faults },
  };
  return tst_run ("lse", cases, sizeof cases / sizeof cases[0]);
}

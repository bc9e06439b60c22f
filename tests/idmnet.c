#include "idmnet.h"

#include "tst.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

static bool
chance (net_t *n, double p)
{
  return g_rand_double (n->rand) < p;
}

static clk_ms_t
delay (net_t *n, int low, int high)
{
  return n->now + g_rand_int_range (n->rand, low, high + 1);
}

static event_t *
event_schedule (net_t *n, clk_ms_t at, event_kind_t kind, int vm)
{
  event_t *d = talloc_zero (n->ctx, event_t);
  d->kind = kind;
  d->vm = vm;
  d->incarnation = n->vm[vm].incarnation;
  tmr_arm (n->queue, at, MOD_NODE, (uint64_t)(uintptr_t)d);
  return d;
}

static void
vm_start (net_t *n, int vm)
{
  vm_t *v = &n->vm[vm];
  char name[16];
  (void)snprintf (name, sizeof name, "vm-%d", vm);
  talloc_free (v->idm);
  talloc_free (v->env);
  v->incarnation++;
  v->env = env_setup (n->ctx, &(env_desc_t){ .vm = name,
                                             .data_centre = "a",
                                             .incarnation = v->incarnation,
                                             .seed = g_rand_int (n->rand) });
  v->env->now = n->now;
  v->idm = idm_setup (n->ctx, &(idm_desc_t){ 0 });
}

net_t *
net_setup (uint32_t seed, faults_t faults)
{
  net_t *n = talloc_zero (NULL, net_t);
  n->ctx = n;
  n->rand = g_rand_new_with_seed (seed);
  n->queue = tmr_setup (n);
  n->faults = faults;
  n->objects = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (int i = 0; i < VMS; i++)
    vm_start (n, i);
  return n;
}

void
net_shutdown (net_t *n)
{
  g_hash_table_destroy (n->objects);
  g_rand_free (n->rand);
  talloc_free (n);
}

/* -- platform ---------------------------------------------------------------
 */

static void
platform_effect (net_t *n, event_t *d)
{
  const fx_platform_t *c = &d->call;
  object_t *o = g_hash_table_lookup (n->objects, c->name);
  uint64_t have = o != NULL ? o->version : 0;
  d->code = ST_OK;
  if (c->op == FX_PLATFORM_GET && o == NULL)
    d->code = ST_NOT_FOUND;
  if (c->op == FX_PLATFORM_PUT && have != c->if_version)
    d->code = ST_CONFLICT;
  if (c->op == FX_PLATFORM_PUT && d->code == ST_OK)
    {
      if (o == NULL)
        {
          o = talloc_zero (n->ctx, object_t);
          g_hash_table_insert (n->objects, g_strdup (c->name), o);
        }
      o->version = have + 1;
      o->value = buf_copy (n->ctx, c->value);
    }
  if (o != NULL)
    d->object = (ev_object_t){ .name = c->name,
                               .version = o->version,
                               .value = o->value };
}

void
net_platform_call (net_t *n, int vm, const fx_platform_t *call)
{
  bool down = chance (n, n->faults.down);
  bool lost = chance (n, n->faults.lost);
  bool late = chance (n, n->faults.late);
  clk_ms_t effect = delay (n, 1, 10);
  if (late)
    effect = n->now + call->timeout_ms + g_rand_int_range (n->rand, 1, 3000);
  event_t *d = event_schedule (n, down ? n->now : effect,
                               down ? PLATFORM_REPLY : PLATFORM_EFFECT, vm);
  d->call = *call;
  d->call.name = talloc_strdup (d, call->name);
  d->call.value = buf_copy (d, call->value);
  d->code = down ? ST_UNAVAILABLE : ST_OK;
  d->response_lost = lost || late;
  if (d->response_lost && !down)
    {
      event_t *r
          = event_schedule (n, n->now + call->timeout_ms, PLATFORM_REPLY, vm);
      r->call = *call;
      r->call.name = talloc_strdup (r, call->name);
      r->code = ST_UNKNOWN;
    }
}

static void
platform_reply (net_t *n, const event_t *d)
{
  vm_t *v = &n->vm[d->vm];
  ev_platform_t reply = { .call = d->call.call, .code = d->code };
  if (d->code == ST_OK)
    {
      reply.objects = &d->object;
      reply.object_count = 1;
    }
  plt_done_t done;
  if (plt_reply (v->env, &reply, &done))
    idm_platform_replied (v->idm, v->env, &done, &reply);
}

/* -- orders -----------------------------------------------------------------
 */

void
net_order (net_t *n, int order)
{
  if (n->settled[order] || n->attempts >= ATTEMPTS_MAX)
    return;
  int a = n->attempts++;
  int vm = g_rand_int_range (n->rand, 0, VMS);
  n->attempt[a] = (attempt_t){ .order = order, .vm = vm };
  event_t *d = event_schedule (n, delay (n, 1, 5), REQUEST, vm);
  d->attempt = a;
  d->incarnation = 0; /* reaches the VM whatever its incarnation */
}

/** The caller resends ORDER after a delay.  The event holds -1 - ORDER, since
 * the attempt gets its index only when the order is sent. */
static void
order_resend (net_t *n, int order)
{
  event_t *d = event_schedule (n, delay (n, 50, 4000), REQUEST, 0);
  d->attempt = -1 - order;
  d->incarnation = 0;
}

static void
crash_at_random (net_t *n, int vm)
{
  if (!chance (n, n->faults.crash))
    return;
  n->crashes++;
  vm_start (n, vm);
}

static void
freeze_at_random (net_t *n, int vm)
{
  if (!chance (n, n->faults.freeze))
    return;
  n->vm[vm].frozen_until = delay (n, 100, 20000);
  (void)event_schedule (n, n->vm[vm].frozen_until, UNFREEZE, vm);
}

static void
attempt_begin (net_t *n, int a)
{
  vm_t *v = &n->vm[n->attempt[a].vm];
  char key[16];
  (void)snprintf (key, sizeof key, "order-%d", n->attempt[a].order);
  st_code_t code = idm_begin (v->idm, v->env,
                              &(idm_request_t){ .customer = "workshop",
                                                .key = key,
                                                .fingerprint = 7,
                                                .deadline = n->now + 5000,
                                                .tag = (uint64_t)a });
  CU_ASSERT_EQUAL (code, ST_OK);
  crash_at_random (n, n->attempt[a].vm);
}

static void
attempt_run (net_t *n, int vm, const idm_result_t *result)
{
  vm_t *v = &n->vm[vm];
  int a = (int)result->tag;
  freeze_at_random (n, vm);
  if (v->frozen_until > n->now)
    {
      /* The VM is frozen between record and send and goes on from here later;
       * a negative attempt marks this. */
      event_t *d = event_schedule (n, v->frozen_until, NOT_SENT, vm);
      d->handle = result->handle;
      d->attempt = -1 - a;
      return;
    }
  if (!idm_may_send (v->idm, v->env, result->handle))
    {
      idm_not_run (v->idm, v->env, result->handle);
      n->attempt[a].refused = true;
      return;
    }
  event_t *d = event_schedule (
      n, delay (n, 1, 3), chance (n, 0.1) ? NOT_SENT : UPSTREAM_RECEIVED, vm);
  d->attempt = a;
  d->handle = result->handle;
}

static void
attempt_refused (net_t *n, int a)
{
  n->refusals++;
  n->attempt[a].refused = true;
  n->false_refusals += n->attempt[a].ran;
  order_resend (n, n->attempt[a].order);
}

static void
results_handle (net_t *n, int vm)
{
  vm_t *v = &n->vm[vm];
  idm_result_t result;
  while (idm_result_pop (v->idm, &result))
    {
      int a = (int)result.tag;
      int order = n->attempt[a].order;
      char body[16];
      (void)snprintf (body, sizeof body, "cut-%d", order);
      switch (result.verdict)
        {
        case IDM_RUN:
          attempt_run (n, vm, &result);
          break;
        case IDM_REPLAY:
          n->replays++;
          n->settled[order] = true;
          n->wrong_replays += !buf_is (result.body, body)
                              || result.status != 201 || n->runs[order] != 1;
          break;
        case IDM_UNKNOWN:
          n->unknowns++;
          order_resend (n, order);
          break;
        default:
          attempt_refused (n, a);
          break;
        }
    }
}

static void
upstream_received (net_t *n, event_t *d)
{
  int order = n->attempt[d->attempt].order;
  n->runs[order]++;
  n->double_runs += n->runs[order] > 1;
  n->attempt[d->attempt].ran = true;
  n->false_refusals += n->attempt[d->attempt].refused;
  crash_at_random (n, d->vm);
  event_t *response
      = event_schedule (n, delay (n, 5, 60), UPSTREAM_RESPONDED, d->vm);
  response->incarnation = d->incarnation;
  response->attempt = d->attempt;
  response->handle = d->handle;
}

static void
upstream_responded (net_t *n, const event_t *d)
{
  vm_t *v = &n->vm[d->vm];
  char body[16];
  int order = n->attempt[d->attempt].order;
  (void)snprintf (body, sizeof body, "cut-%d", order);
  if (chance (n, 0.05))
    idm_unknown (v->idm, v->env, d->handle);
  else
    idm_done (v->idm, v->env, d->handle, 201, "text/plain", buf_str (body));
  /* The caller resends in any case, as if the response were lost. */
  order_resend (n, order);
  crash_at_random (n, d->vm);
}

static void
not_sent (net_t *n, const event_t *d)
{
  vm_t *v = &n->vm[d->vm];
  if (d->attempt < 0)
    {
      idm_result_t granted
          = { .tag = (uint64_t)(-1 - d->attempt), .handle = d->handle };
      attempt_run (n, d->vm, &granted);
      return;
    }
  idm_unsent (v->idm, d->handle);
  idm_not_run (v->idm, v->env, d->handle);
  attempt_refused (n, d->attempt);
}

void
net_handle (net_t *n, event_t *d)
{
  vm_t *v = &n->vm[d->vm];
  if (d->kind == PLATFORM_EFFECT)
    {
      platform_effect (n, d);
      if (!d->response_lost)
        {
          event_t *r
              = event_schedule (n, delay (n, 1, 10), PLATFORM_REPLY, d->vm);
          r->incarnation = d->incarnation;
          r->call = d->call;
          r->code = d->code;
          r->object = d->object;
        }
      return;
    }
  if (d->kind == UPSTREAM_RECEIVED)
    {
      upstream_received (n, d);
      return;
    }
  if (d->kind == REQUEST && d->attempt < 0)
    {
      net_order (n, -1 - d->attempt);
      return;
    }
  if (v->frozen_until > n->now)
    {
      event_t *postponed = event_schedule (n, v->frozen_until, d->kind, d->vm);
      event_kind_t kind = d->kind;
      *postponed = *d;
      postponed->kind = kind;
      return;
    }
  if (d->incarnation != 0 && d->incarnation != v->incarnation)
    {
      /* The VM has crashed since; the caller resends the order. */
      if (d->kind == UPSTREAM_RESPONDED || d->kind == NOT_SENT)
        order_resend (
            n,
            n->attempt[d->attempt < 0 ? -1 - d->attempt : d->attempt].order);
      return;
    }
  if (d->kind == REQUEST)
    attempt_begin (n, d->attempt);
  else if (d->kind == PLATFORM_REPLY)
    platform_reply (n, d);
  else if (d->kind == UPSTREAM_RESPONDED)
    upstream_responded (n, d);
  else if (d->kind == NOT_SENT)
    not_sent (n, d);
}

static void
vm_process (net_t *n, int vm)
{
  vm_t *v = &n->vm[vm];
  if (v->frozen_until > n->now)
    return;
  tmr_due_t due;
  while (tmr_pop (v->env->tmr, n->now, &due))
    idm_timer_fired (v->idm, v->env, due.tag);
  plt_done_t done;
  while (plt_refused_pop (v->env, &done))
    idm_platform_replied (v->idm, v->env, &done,
                          &(ev_platform_t){ .code = ST_UNAVAILABLE });
  results_handle (n, vm);
  v = &n->vm[vm];
  for (size_t i = 0; i < v->env->fx->count; i++)
    if (v->env->fx->v[i].kind == FX_PLATFORM)
      net_platform_call (n, vm, &v->env->fx->v[i].platform);
  fx_clear (v->env->fx);
}

void
net_run (net_t *n, clk_ms_t until)
{
  for (int i = 0; i < VMS; i++)
    vm_process (n, i);
  while (n->now < until)
    {
      clk_ms_t next = clk_min (tmr_next (n->queue), until);
      for (int i = 0; i < VMS; i++)
        if (n->vm[i].frozen_until <= n->now)
          next = clk_min (next, tmr_next (n->vm[i].env->tmr));
      n->now = clk_max (next, n->now);
      for (int i = 0; i < VMS; i++)
        if (n->vm[i].frozen_until <= n->now)
          n->vm[i].env->now = n->now;
      tmr_due_t due;
      if (tmr_pop (n->queue, n->now, &due))
        {
          event_t *d = (event_t *)(uintptr_t)due.tag;
          net_handle (n, d);
        }
      for (int i = 0; i < VMS; i++)
        vm_process (n, i);
      if (next >= until)
        break;
    }
}

void
net_orders_begin (net_t *n)
{
  for (int o = 0; o < ORDERS; o++)
    {
      net_order (n, o);
      /* Some callers send to two VMs at once. */
      if (o % 3 == 0)
        net_order (n, o);
    }
}

void
net_check (const net_t *n)
{
  CU_ASSERT_EQUAL (n->double_runs, 0);
  CU_ASSERT_EQUAL (n->false_refusals, 0);
  CU_ASSERT_EQUAL (n->wrong_replays, 0);
}

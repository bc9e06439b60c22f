/** @file
 * Idempotency records over several VMs, a platform that loses and delays
 * answers, crashes and freezes: what an upstream receives is counted.
 */
#include "core/idm.h"
#include "core/idm_rec.h"
#include "tst.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define VMS 3
#define ORDERS 12
#define ATTEMPTS_MAX 4000

typedef struct
{
  uint64_t version;
  buf_t value;
} object_t;

/** How the platform fails, each as a probability of a call. */
typedef struct
{
  double lost;  /**< takes effect, the answer is lost */
  double late;  /**< takes effect after its answer was given up on */
  double down;  /**< refused without effect */
  double crash; /**< of a VM, at each step of a request */
  double freeze;
} faults_t;

typedef enum
{
  ASK,      /**< an order at a VM */
  EFFECT,   /**< of a platform call */
  REPLY,    /**< of a platform call */
  RECEIVED, /**< by the upstream */
  ANSWERED, /**< by the upstream */
  NOT_SENT, /**< the connection was refused */
  THAW,     /**< of a VM */
} kind_t;

typedef struct
{
  int order;
  int vm;
  bool refused; /**< the caller was told that it did not run */
  bool ran;
} attempt_t;

typedef struct
{
  kind_t kind;
  int vm;
  uint64_t incarnation;
  uint64_t handle;
  int attempt;
  fx_platform_t call;
  st_code_t code;
  ev_object_t object;
  bool answer_lost;
} due_t;

typedef struct
{
  env_t *env;
  idm_t *idm;
  uint64_t incarnation;
  clk_ms_t frozen_until;
} vm_t;

typedef struct
{
  void *ctx;
  clk_ms_t now;
  tmr_t *queue;
  GRand *rand;
  faults_t faults;
  GHashTable *objects;
  vm_t vm[VMS];
  attempt_t attempt[ATTEMPTS_MAX];
  int attempts;
  unsigned runs[ORDERS];
  bool settled[ORDERS]; /**< its caller got a final answer */
  unsigned replays;
  unsigned unknowns;
  unsigned refusals;
  unsigned crashes;
  unsigned double_runs;
  unsigned false_refusals;
  unsigned wrong_replays;
} net_t;

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

static due_t *
later (net_t *n, clk_ms_t at, kind_t kind, int vm)
{
  due_t *d = talloc_zero (n->ctx, due_t);
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

static net_t *
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

static void
net_shutdown (net_t *n)
{
  g_hash_table_destroy (n->objects);
  g_rand_free (n->rand);
  talloc_free (n);
}

/* The platform. */

static void
platform_effect (net_t *n, due_t *d)
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

static void
platform_call (net_t *n, int vm, const fx_platform_t *call)
{
  bool down = chance (n, n->faults.down);
  bool lost = chance (n, n->faults.lost);
  bool late = chance (n, n->faults.late);
  clk_ms_t effect = delay (n, 1, 10);
  if (late)
    effect = n->now + call->timeout_ms + g_rand_int_range (n->rand, 1, 3000);
  due_t *d = later (n, down ? n->now : effect, down ? REPLY : EFFECT, vm);
  d->call = *call;
  d->call.name = talloc_strdup (d, call->name);
  d->call.value = buf_copy (d, call->value);
  d->code = down ? ST_UNAVAILABLE : ST_OK;
  d->answer_lost = lost || late;
  if (d->answer_lost && !down)
    {
      due_t *r = later (n, n->now + call->timeout_ms, REPLY, vm);
      r->call = *call;
      r->call.name = talloc_strdup (r, call->name);
      r->code = ST_UNKNOWN;
    }
}

static void
platform_reply (net_t *n, const due_t *d)
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

/* Orders. */

static void
order_ask (net_t *n, int order)
{
  if (n->settled[order] || n->attempts >= ATTEMPTS_MAX)
    return;
  int a = n->attempts++;
  int vm = g_rand_int_range (n->rand, 0, VMS);
  n->attempt[a] = (attempt_t){ .order = order, .vm = vm };
  due_t *d = later (n, delay (n, 1, 5), ASK, vm);
  d->attempt = a;
  d->incarnation = 0; /* reaches whichever incarnation is there */
}

/** The caller sends an order again later, to any VM. */
static void
order_again (net_t *n, int order)
{
  due_t *d = later (n, delay (n, 50, 4000), ASK, 0);
  d->attempt = -1 - order;
  d->incarnation = 0;
}

static void
maybe_crash (net_t *n, int vm)
{
  if (!chance (n, n->faults.crash))
    return;
  n->crashes++;
  vm_start (n, vm);
}

static void
maybe_freeze (net_t *n, int vm)
{
  if (!chance (n, n->faults.freeze))
    return;
  n->vm[vm].frozen_until = delay (n, 100, 20000);
  (void)later (n, n->vm[vm].frozen_until, THAW, vm);
}

static void
attempt_begin (net_t *n, int a)
{
  vm_t *v = &n->vm[n->attempt[a].vm];
  char key[16];
  (void)snprintf (key, sizeof key, "order-%d", n->attempt[a].order);
  st_code_t code = idm_begin (v->idm, v->env,
                              &(idm_ask_t){ .customer = "workshop",
                                            .key = key,
                                            .fingerprint = 7,
                                            .deadline = n->now + 5000,
                                            .tag = (uint64_t)a });
  CU_ASSERT_EQUAL (code, ST_OK);
  maybe_crash (n, n->attempt[a].vm);
}

static void
attempt_run (net_t *n, int vm, const idm_answer_t *answer)
{
  vm_t *v = &n->vm[vm];
  int a = (int)answer->tag;
  maybe_freeze (n, vm);
  if (v->frozen_until > n->now)
    {
      /* Frozen between record and send: goes on where it stopped. */
      due_t *d = later (n, v->frozen_until, NOT_SENT, vm);
      d->handle = answer->handle;
      d->attempt = -1 - a;
      return;
    }
  if (!idm_may_send (v->idm, v->env, answer->handle))
    {
      idm_not_run (v->idm, v->env, answer->handle);
      n->attempt[a].refused = true;
      return;
    }
  due_t *d
      = later (n, delay (n, 1, 3), chance (n, 0.1) ? NOT_SENT : RECEIVED, vm);
  d->attempt = a;
  d->handle = answer->handle;
}

static void
attempt_refused (net_t *n, int a)
{
  n->refusals++;
  n->attempt[a].refused = true;
  n->false_refusals += n->attempt[a].ran;
  order_again (n, n->attempt[a].order);
}

static void
answers_take (net_t *n, int vm)
{
  vm_t *v = &n->vm[vm];
  idm_answer_t answer;
  while (idm_answer_pop (v->idm, &answer))
    {
      int a = (int)answer.tag;
      int order = n->attempt[a].order;
      char body[16];
      (void)snprintf (body, sizeof body, "cut-%d", order);
      switch (answer.verdict)
        {
        case IDM_RUN:
          attempt_run (n, vm, &answer);
          break;
        case IDM_REPLAY:
          n->replays++;
          n->settled[order] = true;
          n->wrong_replays += !buf_is (answer.body, body)
                              || answer.status != 201 || n->runs[order] != 1;
          break;
        case IDM_UNKNOWN:
          n->unknowns++;
          order_again (n, order);
          break;
        default:
          attempt_refused (n, a);
          break;
        }
    }
}

static void
upstream_received (net_t *n, due_t *d)
{
  int order = n->attempt[d->attempt].order;
  n->runs[order]++;
  n->double_runs += n->runs[order] > 1;
  n->attempt[d->attempt].ran = true;
  n->false_refusals += n->attempt[d->attempt].refused;
  maybe_crash (n, d->vm);
  due_t *answer = later (n, delay (n, 5, 60), ANSWERED, d->vm);
  answer->incarnation = d->incarnation;
  answer->attempt = d->attempt;
  answer->handle = d->handle;
}

static void
upstream_answered (net_t *n, const due_t *d)
{
  vm_t *v = &n->vm[d->vm];
  char body[16];
  int order = n->attempt[d->attempt].order;
  (void)snprintf (body, sizeof body, "cut-%d", order);
  if (chance (n, 0.05))
    idm_unknown (v->idm, v->env, d->handle);
  else
    idm_done (v->idm, v->env, d->handle, 201, "text/plain", buf_str (body));
  /* The caller's answer may be lost; it asks again in any case. */
  order_again (n, order);
  maybe_crash (n, d->vm);
}

static void
not_sent (net_t *n, const due_t *d)
{
  vm_t *v = &n->vm[d->vm];
  if (d->attempt < 0)
    {
      idm_answer_t again
          = { .tag = (uint64_t)(-1 - d->attempt), .handle = d->handle };
      attempt_run (n, d->vm, &again);
      return;
    }
  idm_unsent (v->idm, d->handle);
  idm_not_run (v->idm, v->env, d->handle);
  attempt_refused (n, d->attempt);
}

static void
handle (net_t *n, due_t *d)
{
  vm_t *v = &n->vm[d->vm];
  if (d->kind == EFFECT)
    {
      platform_effect (n, d);
      if (!d->answer_lost)
        {
          due_t *r = later (n, delay (n, 1, 10), REPLY, d->vm);
          r->incarnation = d->incarnation;
          r->call = d->call;
          r->code = d->code;
          r->object = d->object;
        }
      return;
    }
  if (d->kind == RECEIVED)
    {
      upstream_received (n, d);
      return;
    }
  if (d->kind == ASK && d->attempt < 0)
    {
      order_ask (n, -1 - d->attempt);
      return;
    }
  if (v->frozen_until > n->now)
    {
      due_t *again = later (n, v->frozen_until, d->kind, d->vm);
      kind_t kind = d->kind;
      *again = *d;
      again->kind = kind;
      return;
    }
  if (d->incarnation != 0 && d->incarnation != v->incarnation)
    {
      /* The VM has died since; its caller sends the order again. */
      if (d->kind == ANSWERED || d->kind == NOT_SENT)
        order_again (
            n,
            n->attempt[d->attempt < 0 ? -1 - d->attempt : d->attempt].order);
      return;
    }
  if (d->kind == ASK)
    attempt_begin (n, d->attempt);
  else if (d->kind == REPLY)
    platform_reply (n, d);
  else if (d->kind == ANSWERED)
    upstream_answered (n, d);
  else if (d->kind == NOT_SENT)
    not_sent (n, d);
}

static void
vm_drain (net_t *n, int vm)
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
  answers_take (n, vm);
  v = &n->vm[vm];
  for (size_t i = 0; i < v->env->fx->count; i++)
    if (v->env->fx->v[i].kind == FX_PLATFORM)
      platform_call (n, vm, &v->env->fx->v[i].platform);
  fx_clear (v->env->fx);
}

static void
net_run (net_t *n, clk_ms_t until)
{
  for (int i = 0; i < VMS; i++)
    vm_drain (n, i);
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
          due_t *d = (due_t *)(uintptr_t)due.tag;
          handle (n, d);
        }
      for (int i = 0; i < VMS; i++)
        vm_drain (n, i);
      if (next >= until)
        break;
    }
}

static void
orders_begin (net_t *n)
{
  for (int o = 0; o < ORDERS; o++)
    {
      order_ask (n, o);
      /* Some callers are impatient and send to two VMs at once. */
      if (o % 3 == 0)
        order_ask (n, o);
    }
}

static void
check_safe (const net_t *n)
{
  CU_ASSERT_EQUAL (n->double_runs, 0);
  CU_ASSERT_EQUAL (n->false_refusals, 0);
  CU_ASSERT_EQUAL (n->wrong_replays, 0);
}

static void
test_calm_runs_each_once_and_replays (void)
{
  net_t *n = net_setup (1, (faults_t){ 0 });
  orders_begin (n);
  net_run (n, CLK_MINUTE);
  check_safe (n);
  unsigned settled = 0;
  for (int o = 0; o < ORDERS; o++)
    {
      CU_ASSERT (n->runs[o] <= 1);
      settled += n->settled[o];
    }
  CU_ASSERT (settled >= ORDERS - 2);
  CU_ASSERT (n->replays > 0);
  net_shutdown (n);
}

static void
seeds (uint32_t first, uint32_t count, faults_t faults, net_t *sum)
{
  for (uint32_t seed = first; seed < first + count; seed++)
    {
      net_t *n = net_setup (seed, faults);
      orders_begin (n);
      net_run (n, 2 * CLK_MINUTE);
      check_safe (n);
      sum->replays += n->replays;
      sum->unknowns += n->unknowns;
      sum->refusals += n->refusals;
      sum->crashes += n->crashes;
      net_shutdown (n);
    }
}

static void
test_answers_lost_after_effect (void)
{
  net_t sum = { 0 };
  seeds (100, 40, (faults_t){ .lost = 0.3 }, &sum);
  CU_ASSERT (sum.replays > 100);
}

static void
test_effects_that_come_late (void)
{
  net_t sum = { 0 };
  seeds (200, 40, (faults_t){ .lost = 0.1, .late = 0.3, .down = 0.1 }, &sum);
  CU_ASSERT (sum.replays > 0 && sum.refusals > 0);
}

static void
test_crashes_at_every_step (void)
{
  net_t sum = { 0 };
  seeds (300, 60, (faults_t){ .crash = 0.2, .lost = 0.1 }, &sum);
  CU_ASSERT (sum.crashes > 100 && sum.unknowns > 0 && sum.replays > 0);
}

static void
test_everything_at_once (void)
{
  net_t sum = { 0 };
  seeds (
      400, 80,
      (faults_t){
          .lost = 0.1, .late = 0.1, .down = 0.2, .crash = 0.1, .freeze = 0.2 },
      &sum);
  CU_ASSERT (sum.crashes > 0 && sum.unknowns > 0 && sum.replays > 0
             && sum.refusals > 0);
}

static void
test_platform_down_refuses_at_once (void)
{
  net_t *n = net_setup (5, (faults_t){ .down = 1 });
  order_ask (n, 0);
  net_run (n, 40);
  CU_ASSERT_EQUAL (n->refusals, 1);
  CU_ASSERT_EQUAL (n->runs[0], 0);
  net_shutdown (n);
}

static void
test_key_used_for_another_request (void)
{
  net_t *n = net_setup (6, (faults_t){ 0 });
  vm_t *v = &n->vm[0];
  idm_ask_t ask
      = { .customer = "c", .key = "k", .fingerprint = 1, .deadline = 5000 };
  CU_ASSERT_EQUAL (idm_begin (v->idm, v->env, &ask), ST_OK);
  ask.fingerprint = 2;
  CU_ASSERT_EQUAL (idm_begin (v->idm, v->env, &ask), ST_OK);
  idm_answer_t answer;
  CU_ASSERT (idm_answer_pop (v->idm, &answer));
  CU_ASSERT_EQUAL (answer.verdict, IDM_REUSED);
  net_shutdown (n);
}

static void
test_frozen_past_the_deadline_does_not_send (void)
{
  net_t *n = net_setup (7, (faults_t){ 0 });
  vm_t *v = &n->vm[0];
  idm_ask_t ask = { .customer = "c", .key = "k", .deadline = 5000 };
  CU_ASSERT_EQUAL (idm_begin (v->idm, v->env, &ask), ST_OK);
  const fx_platform_t *call = &v->env->fx->v[0].platform;
  ev_object_t object = { .name = "x", .version = 1 };
  ev_platform_t reply
      = { .call = call->call, .objects = &object, .object_count = 1 };
  plt_done_t done;
  CU_ASSERT (plt_reply (v->env, &reply, &done));
  idm_platform_replied (v->idm, v->env, &done, &reply);
  idm_answer_t answer;
  CU_ASSERT (idm_answer_pop (v->idm, &answer));
  CU_ASSERT_EQUAL (answer.verdict, IDM_RUN);
  v->env->now = 5000;
  CU_ASSERT_FALSE (idm_may_send (v->idm, v->env, answer.handle));
  idm_not_run (v->idm, v->env, answer.handle);
  CU_ASSERT_FALSE (idm_may_send (v->idm, v->env, 0));
  net_shutdown (n);
}

static void
test_refusal_after_lost_answers_lets_it_run_later (void)
{
  net_t *n = net_setup (8, (faults_t){ .lost = 1 });
  order_ask (n, 0);
  net_run (n, 10 * CLK_SECOND);
  CU_ASSERT (n->refusals > 0);
  CU_ASSERT_EQUAL (n->runs[0], 0);
  n->faults = (faults_t){ 0 };
  net_run (n, 2 * CLK_MINUTE);
  CU_ASSERT (n->settled[0]);
  check_safe (n);
  net_shutdown (n);
}

static uint64_t
granted (net_t *n, const char *key)
{
  vm_t *v = &n->vm[0];
  idm_ask_t ask = { .customer = "c", .key = key, .deadline = CLK_MINUTE };
  CU_ASSERT_EQUAL (idm_begin (v->idm, v->env, &ask), ST_OK);
  for (clk_ms_t t = n->now; v->env->fx->count > 0 || n->now < t + 50;)
    {
      const fx_list_t *fx = v->env->fx;
      for (size_t i = 0; i < fx->count; i++)
        if (fx->v[i].kind == FX_PLATFORM)
          platform_call (n, 0, &fx->v[i].platform);
      fx_clear (v->env->fx);
      tmr_due_t due;
      n->now++;
      v->env->now = n->now;
      while (tmr_pop (n->queue, n->now, &due))
        handle (n, (due_t *)(uintptr_t)due.tag);
    }
  idm_answer_t answer = { 0 };
  CU_ASSERT (idm_answer_pop (v->idm, &answer));
  CU_ASSERT_EQUAL (answer.verdict, IDM_RUN);
  return answer.handle;
}

static idm_rec_state_t
recorded (net_t *n, void *ctx, const char *key)
{
  const object_t *o
      = g_hash_table_lookup (n->objects, idm_rec_name (ctx, "c", key));
  idm_rec_t rec = { .state = IDM_REC_NUM };
  if (o != NULL)
    (void)idm_rec_read (ctx, o->value, &rec);
  return rec.state;
}

static void
test_sent_is_never_recorded_as_not_run (void)
{
  net_t *n = net_setup (9, (faults_t){ 0 });
  vm_t *v = &n->vm[0];
  uint64_t sent = granted (n, "sent");
  CU_ASSERT (idm_may_send (v->idm, v->env, sent));
  idm_not_run (v->idm, v->env, sent);
  uint64_t unsent = granted (n, "unsent");
  CU_ASSERT (idm_may_send (v->idm, v->env, unsent));
  idm_unsent (v->idm, unsent);
  idm_not_run (v->idm, v->env, unsent);
  net_run (n, n->now + 1000);
  CU_ASSERT_EQUAL (recorded (n, n->ctx, "sent"), IDM_REC_UNKNOWN);
  CU_ASSERT_EQUAL (recorded (n, n->ctx, "unsent"), IDM_REC_NOT_RUN);
  CU_ASSERT_EQUAL (idm_pending (v->idm), 0);
  net_shutdown (n);
}

/** Records that a sweep by a lone VM asks to remove at NOW, when the platform
 * lists one of version VERSION. */
static unsigned
swept (idm_t *i, env_t *env, clk_ms_t now, uint64_t version)
{
  unsigned removals = 0;
  env->now = now;
  fx_clear (env->fx);
  idm_timer_fired (i, env, (uint64_t)1 << 63);
  const fx_platform_t list = env->fx->v[0].platform;
  CU_ASSERT_EQUAL (list.op, FX_PLATFORM_LIST);
  ev_object_t object = { .name = "idem/00/aa", .version = version };
  ev_platform_t reply
      = { .call = list.call, .objects = &object, .object_count = 1 };
  plt_done_t done;
  CU_ASSERT (plt_reply (env, &reply, &done));
  idm_platform_replied (i, env, &done, &reply);
  for (size_t k = 0; k < env->fx->count; k++)
    if (env->fx->v[k].kind == FX_PLATFORM
        && env->fx->v[k].platform.op == FX_PLATFORM_DELETE)
      {
        removals++;
        CU_ASSERT_EQUAL (env->fx->v[k].platform.if_version, version);
      }
  return removals;
}

static void
test_old_records_are_removed_and_changed_ones_stay (void)
{
  void *ctx = talloc_new (NULL);
  env_t *env = env_setup (
      ctx, &(env_desc_t){ .vm = "vm-0", .data_centre = "a", .seed = 1 });
  mbr_t *m = mbr_setup (ctx, &(mbr_desc_t){ 0 });
  ev_vm_t self = { .vm = "vm-0", .data_centre = "a", .address = "" };
  mbr_platform_replied (m, env, &(plt_done_t){ 0 },
                        &(ev_platform_t){ .vms = &self, .vm_count = 1 });
  idm_t *i = idm_setup (
      ctx, &(idm_desc_t){ .members = m, .life_ms = 10 * CLK_MINUTE });
  /* One part is looked at each minute: the first again after 64. */
  unsigned removals = 0;
  for (int turn = 0; turn < 3 * 64; turn++)
    {
      clk_ms_t now = (turn + 1) * CLK_MINUTE;
      unsigned r = swept (i, env, now, turn < 64 ? 1 : 2);
      if (turn < 2 * 64)
        CU_ASSERT_EQUAL (r, 0);
      removals += r;
    }
  CU_ASSERT_EQUAL (removals, 64);
  talloc_free (ctx);
}

static void
test_record_survives_its_codec (void)
{
  void *ctx = talloc_new (NULL);
  idm_rec_t in = { .state = IDM_REC_DONE,
                   .writer = "vm-1/7/3",
                   .fingerprint = 0xfedcba9876543210U,
                   .status = 201,
                   .type = "application/json",
                   .body = { .p = "a\0b\xff", .n = 4 },
                   .whole = true };
  idm_rec_t out;
  CU_ASSERT_EQUAL (idm_rec_read (ctx, idm_rec_write (ctx, &in), &out), ST_OK);
  CU_ASSERT_EQUAL (out.state, in.state);
  CU_ASSERT_EQUAL (out.fingerprint, in.fingerprint);
  CU_ASSERT (buf_equal (out.body, in.body));
  CU_ASSERT_STRING_EQUAL (out.writer, in.writer);
  CU_ASSERT_EQUAL (idm_rec_read (ctx, buf_str ("{\"state\":7}"), &out),
                   ST_INVALID);
  CU_ASSERT_EQUAL (idm_rec_read (ctx, buf_str ("garbage"), &out), ST_INVALID);
  char *a = idm_rec_name (ctx, "a", "bc");
  char *b = idm_rec_name (ctx, "ab", "c");
  CU_ASSERT_STRING_NOT_EQUAL (a, b);
  talloc_free (ctx);
}

static void
test_keys_that_are_refused (void)
{
  CU_ASSERT (idm_key_valid ("order-1"));
  CU_ASSERT_FALSE (idm_key_valid (""));
  CU_ASSERT_FALSE (idm_key_valid ("two words"));
  char longest[IDM_KEY_MAX + 2];
  memset (longest, 'a', sizeof longest);
  longest[IDM_KEY_MAX + 1] = '\0';
  CU_ASSERT_FALSE (idm_key_valid (longest));
  longest[IDM_KEY_MAX] = '\0';
  CU_ASSERT (idm_key_valid (longest));
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "calm_runs_each_once_and_replays",
      test_calm_runs_each_once_and_replays },
    { "answers_lost_after_effect", test_answers_lost_after_effect },
    { "effects_that_come_late", test_effects_that_come_late },
    { "crashes_at_every_step", test_crashes_at_every_step },
    { "everything_at_once", test_everything_at_once },
    { "platform_down_refuses_at_once", test_platform_down_refuses_at_once },
    { "key_used_for_another_request", test_key_used_for_another_request },
    { "frozen_past_the_deadline_does_not_send",
      test_frozen_past_the_deadline_does_not_send },
    { "refusal_after_lost_answers_lets_it_run_later",
      test_refusal_after_lost_answers_lets_it_run_later },
    { "sent_is_never_recorded_as_not_run",
      test_sent_is_never_recorded_as_not_run },
    { "old_records_are_removed_and_changed_ones_stay",
      test_old_records_are_removed_and_changed_ones_stay },
    { "record_survives_its_codec", test_record_survives_its_codec },
    { "keys_that_are_refused", test_keys_that_are_refused },
  };
  return tst_run ("idm", cases, sizeof cases / sizeof cases[0]);
}

/** @file
 * Model of batch items with preemption (argument `yield` of measure_batch):
 * online requests and batch items share engines that know no priorities.
 * Several crd_t run under virtual time and choose the items to preempt.  The
 * model of engines, callers and links is simple:
 *
 * an engine runs as many requests as it has slots and queues the rest in order
 * of arrival; a request takes PREFILL_MS to its first byte and then a random
 * time; all links take 1 ms; an engine's load report is REPORT_LAG_MS old.  A
 * VM sends an online request to the engine with the fewest online requests.
 * Batch work never runs out.
 */
#include "mb_model.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define PREFILL_MS 50
#define ONLINE_MEAN_MS 2000 /* mean time after the first byte */
#define LINK_MS 1
#define REPORT_LAG_MS 500
#define BURST_FROM (60 * CLK_SECOND)
#define BURST_TO (80 * CLK_SECOND)
/* Online load outside and during the burst, as a share of the capacity of all
 * engines. */
#define LOW_LOAD 0.2
#define HIGH_LOAD 1.2
#define WAITING_ITEMS 128          /* items that each VM reports as waiting */
#define FAULT_MS (10 * CLK_SECOND) /* of MB_OWNER_FROZEN, MB_TWO_OWNERS */
#define FAULT_BEFORE_BURST_MS (5 * CLK_SECOND)
#define DELIST_MS (8 * CLK_SECOND) /* from the loss of a VM to its removal */

static req_t *
req_at (mb_model_t *s, uint64_t i)
{
  return &g_array_index (s->reqs, req_t, i);
}

static int
event_compare (const void *a, const void *b, void *data)
{
  (void)data;
  const event_t *x = a;
  const event_t *y = b;
  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  return x->seq < y->seq ? -1 : x->seq > y->seq;
}

static void
free_event (void *e)
{
  talloc_free (e);
}

static event_t *
event_push (mb_model_t *s, clk_ms_t delay, event_kind_t kind, uint32_t vm,
            uint64_t req)
{
  event_t *e = talloc_zero (NULL, event_t);
  *e = (event_t){
    .at = s->now + delay, .seq = ++s->seq, .kind = kind, .vm = vm, .req = req
  };
  g_tree_insert (s->events, e, e);
  return e;
}

static clk_ms_t
random_work_ms (GRand *rand, double mean)
{
  return 1 + (clk_ms_t)(-mean * log (1 - g_rand_double (rand)));
}

/* -- engines -------------------------------------------------------------- */

static void
engine_start (mb_model_t *s, uint64_t i)
{
  req_t *r = req_at (s, i);
  r->running = true;
  r->started = s->now;
  s->engine[r->engine].running++;
  if (!r->batch)
    event_push (s, PREFILL_MS, EV_FIRST_BYTE, r->vm, i);
  event_push (s, PREFILL_MS + r->work, EV_ENGINE_END, r->vm, i);
}

static void
engine_next (mb_model_t *s, uint32_t engine)
{
  engine_t *e = &s->engine[engine];
  while (e->running < s->slots && !g_queue_is_empty (&e->queue))
    {
      uint64_t i = GPOINTER_TO_SIZE (g_queue_pop_head (&e->queue));
      if (!req_at (s, i)->ended)
        engine_start (s, i);
    }
}

/* Removes a completed or cancelled request from its engine. */
static void
engine_end (mb_model_t *s, uint64_t i, bool completed)
{
  req_t *r = req_at (s, i);
  if (r->ended)
    return;
  r->ended = true;
  if (r->running)
    {
      s->engine[r->engine].running--;
      double busy = (double)(s->now - r->started);
      if (r->batch)
        {
          s->batch_busy += busy;
          s->batch_useful += completed ? busy : 0;
        }
      else
        s->online_busy += busy;
    }
  if (completed)
    {
      s->batch_done += r->batch;
      event_push (s, LINK_MS, EV_VM_SEES_END, r->vm, i);
    }
  engine_next (s, r->engine);
}

/* -- VMs ------------------------------------------------------------------ */

static void
send_request (mb_model_t *s, uint32_t vm, uint32_t engine, bool batch,
              clk_ms_t work, uint64_t *index)
{
  req_t r = {
    .vm = vm, .engine = engine, .batch = batch, .sent = s->now, .work = work
  };
  *index = s->reqs->len;
  g_array_append_val (s->reqs, r);
  event_push (s, LINK_MS, EV_ENGINE_ARRIVAL, vm, *index);
}

static uint32_t
engine_of (const char *name)
{
  return (uint32_t)strtoul (name + 2, NULL, 10);
}

/* Takes a slot of the engine with the fewest items.  Items may take half of an
 * engine's slots (MB_FIXED_SPLIT) or all of them.  Returns false when no slot
 * is left. */
static bool
split_take (mb_model_t *s, uint32_t *engine)
{
  uint32_t most = s->scenario == MB_FIXED_SPLIT ? s->slots / 2 : s->slots;
  uint32_t best = UINT32_MAX;
  for (uint32_t e = 0; e < ENGINES; e++)
    {
      if (s->split_used[e] < most
          && (best == UINT32_MAX || s->split_used[e] < s->split_used[best]))
        best = e;
    }
  if (best == UINT32_MAX)
    return false;
  s->split_used[best]++;
  *engine = best;
  return true;
}

static bool
credit_take (vm_t *vm, uint64_t request, uint32_t *engine)
{
  crd_credit_t credit;
  const crd_request_t ask = { .deployment = "llm",
                              .item = request,
                              .preemptible = true,
                              .waiting = WAITING_ITEMS };
  if (!crd_credit_take (vm->crd, vm->env, &ask, &credit))
    return false;
  *engine = engine_of (credit.upstream);
  return true;
}

static void
preempt_items (mb_model_t *s, vm_t *vm)
{
  uint64_t request;
  while (crd_preempt_pop (vm->crd, &request))
    {
      event_push (s, LINK_MS, EV_CANCEL, (uint32_t)(vm - s->vm), request);
      crd_credit_release (vm->crd, vm->env, request, true);
      vm->batch--;
      s->preempted++;
    }
}

static void
start_items (mb_model_t *s, vm_t *vm)
{
  uint32_t index = (uint32_t)(vm - s->vm);
  if (s->scenario == MB_NO_BATCH)
    return;
  for (;;)
    {
      uint32_t engine = 0;
      uint64_t request = s->reqs->len;
      bool ok = s->scenario >= MB_CREDITS ? credit_take (vm, request, &engine)
                                          : split_take (s, &engine);
      if (!ok)
        return;
      vm->batch++;
      send_request (s, index, engine, true,
                    random_work_ms (s->rand, BATCH_MEAN_MS), &request);
    }
}

static void
vm_advance (mb_model_t *s, vm_t *vm)
{
  preempt_items (s, vm);
  start_items (s, vm);
  preempt_items (s, vm);
  for (size_t i = 0; i < vm->env->fx->count; i++)
    {
      const fx_t *f = &vm->env->fx->v[i];
      if (f->kind != FX_PEER_SEND)
        continue;
      uint32_t to = (uint32_t)strtoul (f->peer.vm + 3, NULL, 10);
      event_t *e = event_push (s, LINK_MS, EV_MSG, to, 0);
      e->from = (uint32_t)(vm - s->vm);
      e->msg = f->peer.msg;
      e->msg.body = buf_copy (e, f->peer.msg.body);
    }
  fx_clear (vm->env->fx);
}

static void
load_update (mb_model_t *s, vm_t *vm, uint32_t engine)
{
  if (s->scenario < MB_CREDITS)
    return;
  char name[16];
  g_snprintf (name, sizeof name, "e-%u", engine);
  crd_load_changed (vm->crd, vm->env,
                    &(crd_load_t){ .upstream = name,
                                   .in_flight = vm->online[engine],
                                   .running_known = true,
                                   .running = s->engine[engine].reported });
}

static uint32_t
engine_fewest_online (const mb_model_t *s)
{
  uint32_t best = 0;
  uint32_t least = UINT32_MAX;
  for (uint32_t e = 0; e < ENGINES; e++)
    {
      uint32_t n = 0;
      for (uint32_t v = 0; v < VMS; v++)
        n += s->vm[v].online[e];
      if (n >= least)
        continue;
      least = n;
      best = e;
    }
  return best;
}

static double
load_at (clk_ms_t now)
{
  return now >= BURST_FROM && now < BURST_TO ? HIGH_LOAD : LOW_LOAD;
}

static void
next_arrival (mb_model_t *s)
{
  double capacity = (double)ENGINES * s->slots / (ONLINE_MEAN_MS + PREFILL_MS);
  double gap = 1 / (capacity * load_at (s->now));
  /* The gap is drawn as a real number, then cut to whole milliseconds. */
  static const double tiny = 1e-9;
  double u = g_rand_double (s->arrivals);
  clk_ms_t wait = (clk_ms_t)(-gap * log (1 - u + tiny));
  event_push (s, wait, EV_ARRIVAL,
              (uint32_t)g_rand_int_range (s->arrivals, 0, VMS), 0);
}

static void
online_arrives (mb_model_t *s, uint32_t index)
{
  vm_t *vm = &s->vm[index];
  uint32_t engine = engine_fewest_online (s);
  uint64_t i;
  vm->online[engine]++;
  send_request (s, index, engine, false,
                random_work_ms (s->arrivals, ONLINE_MEAN_MS), &i);
  load_update (s, vm, engine);
  next_arrival (s);
}

static void
request_closed (mb_model_t *s, vm_t *vm, const req_t *r, uint64_t i)
{
  if (!r->batch)
    {
      vm->online[r->engine]--;
      load_update (s, vm, r->engine);
      return;
    }
  if (s->scenario >= MB_CREDITS)
    crd_credit_release (vm->crd, vm->env, i, true);
  else
    s->split_used[r->engine]--;
  vm->batch--;
}

/* -- faults --------------------------------------------------------------- */

static void
members_update (mb_model_t *s, uint32_t viewer, uint32_t without)
{
  ev_vm_t list[VMS];
  char names[VMS][16];
  size_t n = 0;
  for (uint32_t i = 0; i < VMS; i++)
    {
      g_snprintf (names[i], sizeof names[i], "vm-%u", i);
      if (i != without)
        list[n++] = (ev_vm_t){ .vm = names[i], .data_centre = "dc" };
    }
  crd_members_changed (s->vm[viewer].crd, s->vm[viewer].env, list, n);
}

/* Returns the VM that owns most engines, at which the faults are injected. */
static uint32_t
busiest_owner (const mb_model_t *s)
{
  uint32_t best = 0;
  uint32_t most = 0;
  for (uint32_t v = 0; v < VMS; v++)
    {
      uint32_t n = 0;
      for (uint32_t e = 0; e < ENGINES; e++)
        {
          char name[16];
          g_snprintf (name, sizeof name, "e-%u", e);
          n += crd_stat (s->vm[v].crd, s->now, name).owner;
        }
      if (n <= most)
        continue;
      most = n;
      best = v;
    }
  return best;
}

/* Loses VM OWNER for the rest of the run.  The VM's requests end at the
 * engines, as the connections break. */
static void
owner_lose (mb_model_t *s, uint32_t owner)
{
  for (uint64_t i = 0; i < s->reqs->len; i++)
    {
      if (req_at (s, i)->vm == owner)
        engine_end (s, i, false);
    }
  s->vm[owner].frozen_until = RUN_MS + 1;
  memset (s->vm[owner].online, 0, sizeof s->vm[owner].online);
  event_push (s, DELIST_MS, EV_DELIST, 0, owner);
}

/* Injects the fault of the scenario.  For MB_TWO_OWNERS, half of the VMs do
 * not list the VM that the others take for the owner. */
static void
fault_inject (mb_model_t *s)
{
  uint32_t owner = busiest_owner (s);
  if (s->scenario == MB_OWNER_LOST)
    owner_lose (s, owner);
  else if (s->scenario == MB_OWNER_FROZEN)
    s->vm[owner].frozen_until = s->now + FAULT_MS;
  else
    {
      for (uint32_t v = 0; v < VMS; v += 2)
        {
          if (v != owner)
            members_update (s, v, owner);
        }
      event_push (s, FAULT_MS, EV_LIST_RESTORED, 0, 0);
    }
}

static void
lost_vm_delist (mb_model_t *s, uint32_t lost)
{
  for (uint32_t v = 0; v < VMS; v++)
    members_update (s, v, lost);
}

static void
list_restore (mb_model_t *s)
{
  for (uint32_t v = 0; v < VMS; v++)
    members_update (s, v, UINT32_MAX);
}

/* -- running -------------------------------------------------------------- */

/* Defers an event for a frozen VM to the end of the freeze, or passes an
 * arrival on to the next VM.  Returns whether the event was deferred. */
static bool
defer_if_frozen (mb_model_t *s, event_t *e)
{
  bool at_vm = e->kind == EV_ARRIVAL || e->kind == EV_MSG
               || e->kind == EV_VM_SEES_END;
  clk_ms_t until = s->vm[e->vm].frozen_until;
  if (!at_vm || until <= s->now)
    return false;
  if (e->kind == EV_ARRIVAL) /* the load balancer chooses another VM */
    e->vm = (e->vm + 1) % VMS;
  else
    e->at = until;
  return e->kind != EV_ARRIVAL;
}

static void
engines_sample (mb_model_t *s)
{
  for (uint32_t e = 0; e < ENGINES; e++)
    {
      s->engine[e].reported
          = s->engine[e].running + g_queue_get_length (&s->engine[e].queue);
      for (uint32_t v = 0; v < VMS; v++)
        {
          if (s->vm[v].frozen_until <= s->now)
            load_update (s, &s->vm[v], e);
        }
    }
  event_push (s, REPORT_LAG_MS, EV_SAMPLE, 0, 0);
}

static void
event_handle (mb_model_t *s, event_t *e)
{
  vm_t *vm = &s->vm[e->vm];
  switch (e->kind)
    {
    case EV_ARRIVAL:
      online_arrives (s, e->vm);
      break;
    case EV_ENGINE_ARRIVAL:
      g_queue_push_tail (&s->engine[req_at (s, e->req)->engine].queue,
                         GSIZE_TO_POINTER (e->req));
      engine_next (s, req_at (s, e->req)->engine);
      break;
    case EV_FIRST_BYTE:
      {
        double wait = (double)(s->now + LINK_MS - req_at (s, e->req)->sent);
        g_array_append_val (s->first_byte, wait);
        if (s->now < BURST_FROM)
          g_array_append_val (s->first_byte_low, wait);
        break;
      }
    case EV_ENGINE_END:
      engine_end (s, e->req, true);
      break;
    case EV_CANCEL:
      engine_end (s, e->req, false);
      break;
    case EV_VM_SEES_END:
      request_closed (s, vm, req_at (s, e->req), e->req);
      break;
    case EV_MSG:
      {
        char from[16];
        g_snprintf (from, sizeof from, "vm-%u", e->from);
        crd_message_received (vm->crd, vm->env, from, &e->msg);
        break;
      }
    case EV_SAMPLE:
      engines_sample (s);
      break;
    case EV_FAULT:
      fault_inject (s);
      break;
    case EV_DELIST:
      lost_vm_delist (s, (uint32_t)e->req);
      break;
    case EV_LIST_RESTORED:
      list_restore (s);
      break;
    }
}

static bool
event_step (mb_model_t *s)
{
  event_t *e = g_tree_node_value (g_tree_node_first (s->events));
  clk_ms_t at = e->at;
  vm_t *timer = NULL;
  for (uint32_t i = 0; i < VMS; i++)
    {
      clk_ms_t t
          = clk_max (tmr_next (s->vm[i].env->tmr), s->vm[i].frozen_until);
      if (t >= at)
        continue;
      at = t;
      timer = &s->vm[i];
    }
  if (at > RUN_MS)
    return false;
  s->now = clk_max (s->now, at);
  for (uint32_t i = 0; i < VMS; i++)
    s->vm[i].env->now = s->now;
  if (timer != NULL)
    {
      tmr_due_t due;
      while (tmr_pop (timer->env->tmr, s->now, &due))
        crd_timer_fired (timer->crd, timer->env, due.tag);
      vm_advance (s, timer);
      return true;
    }
  g_tree_steal (s->events, e);
  if (defer_if_frozen (s, e))
    {
      g_tree_insert (s->events, e, e);
      return true;
    }
  event_handle (s, e);
  for (uint32_t i = 0; i < VMS; i++)
    {
      if (s->vm[i].frozen_until <= s->now)
        vm_advance (s, &s->vm[i]);
    }
  talloc_free (e);
  return true;
}

/* -- set-up and figures --------------------------------------------------- */

static cfg_doc_t *
make_doc (void *ctx, uint32_t slots)
{
  char *text = talloc_asprintf (ctx,
                                "[data-centre dc]\nowner = t\n"
                                "[deployment llm]\nowner = t\n"
                                "kind = engine\nslots = %u\n",
                                slots);
  for (int e = 0; e < ENGINES; e++)
    text = talloc_asprintf_append (text,
                                   "[upstream e-%d]\nowner = t\n"
                                   "deployment = llm\ndata_centre = dc\n"
                                   "address = 127.0.0.1:%d\n",
                                   e, 9000 + e);
  cfg_doc_t *doc = NULL;
  st_t st = { 0 };
  if (cfg_doc_parse (ctx, buf_str (text), &doc, &st) != ST_OK)
    {
      fprintf (stderr, "%s\n", st.message);
      abort ();
    }
  return doc;
}

static void
start_vm (mb_model_t *s, uint32_t i, uint32_t seed)
{
  char name[16];
  g_snprintf (name, sizeof name, "vm-%u", i);
  vm_t *vm = &s->vm[i];
  vm->env = env_setup (s, &(env_desc_t){ .vm = name,
                                         .data_centre = "dc",
                                         .seed = seed * 100 + i });
  vm->env->now = s->now;
  vm->crd = crd_setup (
      s, &(crd_desc_t){ .reserve_minus_one = s->scenario == MB_RESERVE_LESS });
  members_update (s, i, UINT32_MAX);
  crd_config_changed (vm->crd, vm->env, s->doc);
  crd_start (vm->crd, vm->env);
}

mb_model_t *
mb_model_run (mb_scenario_t scenario, uint32_t slots, uint32_t seed)
{
  mb_model_t *s = talloc_zero (NULL, mb_model_t);
  s->scenario = scenario;
  s->slots = slots;
  s->now = 1;
  s->arrivals = g_rand_new_with_seed (seed);
  s->rand = g_rand_new_with_seed (seed + 1000);
  s->events = g_tree_new_full (event_compare, NULL, free_event, NULL);
  s->reqs = g_array_new (FALSE, TRUE, sizeof (req_t));
  s->first_byte = g_array_new (FALSE, FALSE, sizeof (double));
  s->first_byte_low = g_array_new (FALSE, FALSE, sizeof (double));
  s->doc = make_doc (s, s->slots);
  for (uint32_t i = 0; i < VMS; i++)
    start_vm (s, i, seed);
  next_arrival (s);
  engines_sample (s);
  if (scenario > MB_CREDITS && scenario != MB_RESERVE_LESS)
    event_push (s, BURST_FROM - FAULT_BEFORE_BURST_MS, EV_FAULT, 0, 0);
  while (event_step (s))
    ;
  return s;
}

void
mb_model_finish (mb_model_t *s)
{
  for (uint32_t e = 0; e < ENGINES; e++)
    g_queue_clear (&s->engine[e].queue);
  g_tree_destroy (s->events);
  g_array_free (s->reqs, TRUE);
  g_array_free (s->first_byte, TRUE);
  g_array_free (s->first_byte_low, TRUE);
  g_rand_free (s->arrivals);
  g_rand_free (s->rand);
  talloc_free (s);
}

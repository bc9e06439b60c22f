#include "routesim.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/** Relative request rates of the customers. */
static const double customer_weight[CUSTOMERS] = { 30, 20, 12, 4, 3, 2, 1, 1 };

/** The same under overload: the first customer sends nearly five times its
 * equal share, an eighth of the load. */
static const double overload_weight[CUSTOMERS] = { 60, 8, 8, 8, 8, 4, 2, 2 };

void
sim_at (sim_t *s, clk_ms_t when, int kind, uint64_t tag)
{
  tmr_arm (s->queue, when, (mod_t)kind, tag);
}

static double
draw_exp (sim_t *s, double mean)
{
  return -mean * log (1 - g_rand_double (s->rand));
}

/* Network: messages between VMs, and polls of engines. */

/** Schedules the deliveries that the effects of ROUTER cause. */
static void
effects_apply (sim_t *s, int router)
{
  env_t *env = s->env[router];
  for (size_t i = 0; i < env->fx->count; i++)
    {
      const fx_t *f = &env->fx->v[i];
      tbl_id_t id = tbl_alloc (s->deliveries);
      delivery_t *d = tbl_get (s->deliveries, id);
      if (f->kind == FX_PEER_SEND)
        {
          s->bytes += (double)f->peer.msg.body.n + FRAME_BYTES;
          d->router = atoi (f->peer.vm + 2);
          snprintf (d->from, sizeof d->from, "%s", env->vm);
          d->msg = f->peer.msg;
          d->msg.body = buf_copy (s, f->peer.msg.body);
          sim_at (s, s->now + HOP_MS, PEER, id.id);
        }
      else if (f->kind == FX_UPSTREAM_CALL)
        {
          int e = atoi (f->upstream.address + strlen ("10.0.0."));
          d->router = router;
          d->call = f->upstream.call;
          d->body = engine_faulty (s, e, SILENT)
                        ? NULL
                        : engine_poll (s, e, f->upstream.path);
          clk_ms_t wait = d->body != NULL ? 2 * HOP_MS : f->upstream.total_ms;
          sim_at (s, s->now + wait, POLL, id.id);
        }
      else
        tbl_free (s->deliveries, id);
    }
  fx_clear (env->fx);
}

static void
peer_arrive (sim_t *s, delivery_t *d)
{
  rte_message_received (s->rte[d->router], s->env[d->router], d->from,
                        &d->msg);
  talloc_free ((char *)d->msg.body.p);
}

static void
poll_event (sim_t *s, const delivery_t *d, const ev_t *ev)
{
  upc_owner_t owner;
  ev_t own = *ev;
  if (upc_event (s->env[d->router], &own, &owner))
    rte_upstream_event (s->rte[d->router], s->env[d->router], owner.tag, &own);
}

static void
poll_arrive (sim_t *s, delivery_t *d)
{
  ev_t ev = { .kind = EV_UPSTREAM_FAIL, .upstream = { .call = d->call } };
  if (d->body != NULL)
    {
      ev.kind = EV_UPSTREAM_HEAD;
      ev.upstream.status = 200;
      poll_event (s, d, &ev);
      ev.kind = EV_UPSTREAM_DATA;
      ev.upstream.data = buf_str (d->body);
      poll_event (s, d, &ev);
      ev.kind = EV_UPSTREAM_END;
    }
  poll_event (s, d, &ev);
  talloc_free (d->body);
}

/* Requests. */

/** Chooses an engine without a router, by run_t.policy; -1: none. */
static int
choose_baseline (sim_t *s, const request_t *q)
{
  GRand *rand = s->env[q->router]->rand;
  int best = -1;
  int best_load = 0;
  int equal = 0;
  int candidates = s->run.policy == LEAST_REPORTED ? s->run.engines
                   : s->run.policy == TWO_CHOICES  ? 2
                                                   : 1;
  for (int n = 0; n < candidates; n++)
    {
      int i = n;
      do
        if (s->run.policy != LEAST_REPORTED)
          i = g_rand_int_range (rand, 0, s->run.engines);
      while (s->run.policy != LEAST_REPORTED
             && (q->avoid[i] || (n > 0 && i == best)));
      int waiting = 0;
      int load = engine_reported (s, i, &waiting);
      load += waiting;
      if (q->avoid[i])
        continue;
      if (best < 0 || load < best_load)
        {
          best = i;
          best_load = load;
          equal = 1;
        }
      else if (load == best_load && g_rand_int_range (rand, 0, ++equal) == 0)
        best = i;
    }
  return best;
}

/** Chooses an engine by run_t.policy; -1: none.  *FULL becomes true when all
 * engines are full. */
static int
choose (sim_t *s, request_t *q, bool *full)
{
  if (s->run.policy != ROUTER_CHOICE)
    return choose_baseline (s, q);
  char names[AVOIDED_MAX][16];
  const char *avoid[AVOIDED_MAX];
  size_t n = 0;
  for (int i = 0; i < s->run.engines && n < AVOIDED_MAX; i++)
    if (q->avoid[i])
      {
        snprintf (names[n], sizeof names[n], "e%d", i);
        avoid[n] = names[n];
        n++;
      }
  rte_pick_t pick;
  rte_query_t query = {
    .deployment = "llm",
    .prefix = q->prefix,
    .avoid = avoid,
    .avoid_count = n,
    .skip_full = s->run.fair,
  };
  if (!rte_pick (s->rte[q->router], s->env[q->router], &query, &pick))
    {
      *full = pick.full;
      return -1;
    }
  q->handle = pick.handle;
  return atoi (pick.upstream + 1);
}

/** Returns false when all engines are full: the request must wait. */
static bool
request_send (sim_t *s, request_t *q)
{
  bool full = false;
  q->engine = choose (s, q, &full);
  if (full)
    return false;
  if (q->engine < 0)
    {
      s->lost++;
      tbl_free (s->requests, q->id);
      return true;
    }
  sim_at (s, s->now + HOP_MS, REACH, q->id.id);
  if (s->run.fault == SILENT && q->timeouts == 0)
    sim_at (s, s->now + FIRST_BYTE_MS, GIVE_UP, q->id.id);
  return true;
}

static void
refuse (sim_t *s, uint64_t tag)
{
  const request_t *q = tbl_get (s->requests, (tbl_id_t){ .id = tag });
  if (q->arrived > WARM_MS)
    s->refused[q->customer]++;
  tbl_free (s->requests, q->id);
}

static void
queue_serve (sim_t *s, int router)
{
  fqu_t *fair = s->fair[router];
  uint64_t tag = 0;
  clk_ms_t retry = 0;
  while (fqu_pop (fair, s->now, &tag))
    {
      if (request_send (s, tbl_get (s->requests, (tbl_id_t){ .id = tag })))
        continue;
      fqu_unpop (fair, tag);
      break;
    }
  while (fqu_late_pop (fair, s->now, &tag, &retry))
    refuse (s, tag);
}

static void
queue_enter (sim_t *s, request_t *q)
{
  char name[16];
  clk_ms_t retry = 0;
  snprintf (name, sizeof name, "c%d", q->customer);
  fqu_item_t item = { .customer = name,
                      .leave_by = s->now + CALLER_TIMEOUT_MS - FIRST_BYTE_MS,
                      .tag = q->id.id };
  int router = q->router;
  if (fqu_push (s->fair[router], s->now, &item, &retry) != ST_OK)
    refuse (s, item.tag);
  queue_serve (s, router);
}

static void
request_arrive (sim_t *s)
{
  double mean = DECODE_MS + (HIT_MS + MISS_MS) / 2;
  double rate = s->run.utilisation * s->run.engines * SLOTS / mean;
  sim_at (s, s->now + (clk_ms_t)lround (draw_exp (s, 1 / rate)), ARRIVE, 0);
  const double *weight = s->run.overload ? overload_weight : customer_weight;
  double sum = 0;
  for (int i = 0; i < CUSTOMERS; i++)
    sum += weight[i];
  double x = g_rand_double (s->rand) * sum;
  int customer = 0;
  while (customer < CUSTOMERS - 1 && (x -= weight[customer]) > 0)
    customer++;
  tbl_id_t id = tbl_alloc (s->requests);
  request_t *q = tbl_get (s->requests, id);
  q->id = id;
  q->customer = customer;
  q->arrived = s->now;
  q->router = g_rand_int_range (s->rand, 0, s->run.routers);
  q->decode = draw_exp (s, DECODE_MS);
  /* The square makes requests prefer a few of the customer's prefixes. */
  double u = g_rand_double (s->rand);
  int rank = (int)(PREFIXES_PER_CUSTOMER * u * u);
  bool shared = g_rand_double (s->rand) < SHARED_PREFIX_SHARE;
  uint64_t other = g_rand_int (s->rand);
  q->prefix = shared
                  ? (uint64_t)(1 + (uint64_t)customer * PREFIXES_PER_CUSTOMER
                               + (uint64_t)rank)
                  : (1ULL << 40) + other;
  if (s->now > WARM_MS)
    s->arrivals[customer]++;
  if (s->run.fair)
    queue_enter (s, q);
  else
    (void)request_send (s, q);
}

static void
request_give_up (sim_t *s, request_t *q)
{
  if (q->responded)
    return;
  /* A request that waits in the queue of a working engine is not retried. */
  if (!engine_faulty (s, q->engine, SILENT))
    return;
  rte_failed (s->rte[q->router], s->env[q->router], q->handle,
              RTE_FAIL_TIMEOUT);
  q->avoid[q->engine] = true;
  q->timeouts++;
  (void)request_send (s, q);
}

static void
request_first_byte (sim_t *s, request_t *q)
{
  q->responded = true;
  rte_first_byte (s->rte[q->router], s->env[q->router], q->handle);
  clk_ms_t took = s->now - q->arrived;
  if (q->arrived > WARM_MS)
    g_array_append_val (s->latency[q->customer], took);
}

static void
request_finish (sim_t *s, request_t *q)
{
  rte_finished (s->rte[q->router], s->env[q->router], q->handle);
  int e = q->engine;
  int router = q->router;
  s->engine[e].running--;
  tbl_free (s->requests, q->id);
  engine_start (s, e);
  if (s->run.fair)
    queue_serve (s, router);
}

static void
event_handle (sim_t *s, int kind, uint64_t tag)
{
  request_t *q = NULL;
  delivery_t *d = NULL;
  if (kind >= REACH && kind <= GIVE_UP)
    {
      q = tbl_get (s->requests, (tbl_id_t){ .id = tag });
      if (q == NULL)
        return;
    }
  if (kind == PEER || kind == POLL)
    {
      d = tbl_get (s->deliveries, (tbl_id_t){ .id = tag });
      if (d == NULL)
        return;
    }
  switch (kind)
    {
    case ARRIVE:
      request_arrive (s);
      break;
    case REACH:
      if (engine_faulty (s, q->engine, SILENT))
        break;
      g_queue_push_tail (&s->engine[q->engine].waiting, q);
      engine_start (s, q->engine);
      break;
    case FIRST_BYTE:
      request_first_byte (s, q);
      break;
    case FINISH:
      request_finish (s, q);
      break;
    case GIVE_UP:
      request_give_up (s, q);
      break;
    case SAMPLE:
      engine_sample (s);
      break;
    case PEER:
      peer_arrive (s, d);
      break;
    default:
      if (d != NULL)
        poll_arrive (s, d);
      break;
    }
  if (d != NULL)
    tbl_free (s->deliveries, (tbl_id_t){ .id = tag });
}

/* A run. */

static const char *const data_centre[] = { "dc-a", "dc-b" };

static cfg_doc_t *
document (sim_t *s)
{
  char *text = talloc_asprintf (
      s,
      "[data-centre dc-a]\nowner = a\n[data-centre dc-b]\nowner = a\n"
      "[deployment llm]\nowner = a\nkind = engine\nslots = %d\n",
      SLOTS);
  for (int i = 0; i < s->run.engines; i++)
    text = talloc_asprintf_append (text,
                                   "[upstream e%d]\nowner = a\n"
                                   "deployment = llm\ndata_centre = %s\n"
                                   "address = 10.0.0.%d:80\n",
                                   i, data_centre[i % 2], i);
  cfg_doc_t *doc = NULL;
  st_t st = { 0 };
  if (cfg_doc_parse (s, buf_str (text), &doc, &st) != ST_OK)
    {
      fprintf (stderr, "%s\n", st.message);
      exit (EXIT_FAILURE);
    }
  return doc;
}

static void
set_up (sim_t *s)
{
  ev_vm_t vm[ROUTERS_MAX];
  const cfg_doc_t *doc = document (s);
  for (int i = 0; i < s->run.engines; i++)
    s->engine[i].changes = g_array_new (FALSE, FALSE, sizeof (change_t));
  for (int i = 0; i < s->run.routers; i++)
    vm[i] = (ev_vm_t){ .vm = talloc_asprintf (s, "vm%d", i),
                       .data_centre = data_centre[i % 2],
                       .address = "" };
  for (int i = 0; i < s->run.routers; i++)
    {
      env_t *env = env_setup (
          s, &(env_desc_t){ .vm = vm[i].vm,
                            .data_centre = data_centre[i % 2],
                            .seed = s->run.seed * 100 + (uint32_t)i });
      s->env[i] = env;
      s->fair[i] = fqu_setup (s, &(fqu_desc_t){ 0 });
      s->members[i] = mbr_setup (s, &(mbr_desc_t){ 0 });
      ev_platform_t list = { .vms = vm, .vm_count = (size_t)s->run.routers };
      mbr_platform_replied (s->members[i], env, &(plt_done_t){ 0 }, &list);
      for (int j = 0; j < s->run.routers; j++)
        if (j != i)
          mbr_peer_up (s->members[i], env, vm[j].vm);
      fx_clear (env->fx);
      s->rte[i] = rte_setup (s, &(rte_desc_t){ .members = s->members[i] });
      rte_config_changed (s->rte[i], env, doc);
    }
}

/** Advances to the next instant with an event or a timer and handles all that
 * are due. */
static void
step (sim_t *s)
{
  clk_ms_t next = tmr_next (s->queue);
  for (int i = 0; i < s->run.routers; i++)
    next = clk_min (next, tmr_next (s->env[i]->tmr));
  s->now = next;
  tmr_due_t due;
  for (int i = 0; i < s->run.routers; i++)
    {
      s->env[i]->now = next;
      if (s->run.fair)
        queue_serve (s, i);
      while (tmr_pop (s->env[i]->tmr, next, &due))
        if (due.mod == MOD_ROUTE)
          rte_timer_fired (s->rte[i], s->env[i], due.tag);
      effects_apply (s, i);
    }
  while (tmr_pop (s->queue, next, &due))
    event_handle (s, (int)due.mod, due.tag);
  for (int i = 0; i < s->run.routers; i++)
    effects_apply (s, i);
}

sim_t *
sim_run (const run_t *run)
{
  sim_t *s = talloc_zero (NULL, sim_t);
  s->run = *run;
  s->queue = tmr_setup (s);
  s->rand = g_rand_new_with_seed (run->seed);
  s->requests = tbl_setup (s, &(tbl_desc_t){ .size = sizeof (request_t) });
  s->deliveries = tbl_setup (s, &(tbl_desc_t){ .size = sizeof (delivery_t) });
  for (int i = 0; i < CUSTOMERS; i++)
    s->latency[i] = g_array_new (FALSE, FALSE, sizeof (clk_ms_t));
  set_up (s);
  engine_sample (s);
  sim_at (s, 0, ARRIVE, 0);
  while (s->now < RUN_MS)
    step (s);
  return s;
}

void
sim_free (sim_t *s)
{
  for (int i = 0; i < s->run.engines; i++)
    {
      g_array_free (s->engine[i].changes, TRUE);
      g_queue_clear (&s->engine[i].cache);
      g_queue_clear (&s->engine[i].waiting);
    }
  for (int i = 0; i < CUSTOMERS; i++)
    g_array_free (s->latency[i], TRUE);
  g_rand_free (s->rand);
  talloc_free (s);
}

/** @file
 * Routing compared on the same seeded load: several routers (one rte_t a
 * VM) before model engines with slots, serial prefill, a bounded prefix
 * cache and load reports that come late.
 *
 *   build/tools/measure_routing [calm|faults]
 *
 * Prints tables and writes build/measure/routing.csv.  All in virtual time:
 * the figures repeat exactly.
 */
#include "core/rte.h"
#include "core/tbl.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <talloc.h>

#define ENGINES_MAX 32
#define ROUTERS_MAX 8
#define CUSTOMERS 8
#define SLOTS 16
#define CACHE_PREFIXES 24
#define PREFIXES_EACH 20
#define SHARED_PART 0.9
#define HIT_MS 10.0
#define MISS_MS 50.0
#define DECODE_MS 1200.0
#define HOP_MS ((clk_ms_t)1)
#define SAMPLE_MS 100
#define SAMPLES 128
#define RUN_MS (90 * CLK_SECOND)
#define WARM_MS (20 * CLK_SECOND)
#define FAULT_MS (30 * CLK_SECOND)
#define FIRST_BYTE_MS (1 * CLK_SECOND)
#define TRIES 4
#define FRAME_BYTES 24
#define EVENT_LOSS 0.05

typedef enum
{
  RANDOM,
  LEAST_REPORTED,
  TWO_CHOICES,
  CHOSEN,
  POLICIES
} policy_t;

static const char *const policy_name[POLICIES]
    = { "random", "least reported", "two choices", "chosen" };

typedef enum
{
  NO_FAULT,
  SILENT,
  SLOW,
  LYING,
  FAULTS
} fault_t;

static const char *const fault_name[FAULTS]
    = { "none", "silent", "slow", "lying" };

typedef struct
{
  policy_t policy;
  fault_t fault; /**< of the first engine, from FAULT_MS on */
  int engines;
  int routers;
  clk_ms_t lag;
  double utilisation;
  uint32_t seed;
} run_t;

enum
{
  ARRIVE,     /**< at a router */
  REACH,      /**< the engine */
  FIRST_BYTE, /**< at the router */
  FINISH,     /**< at the engine */
  GIVE_UP,    /**< no first byte in time */
  SAMPLE,     /**< of all engines' load */
  PEER,       /**< a message arrives */
  POLL,       /**< an answer to a router's own call arrives */
};

typedef struct
{
  tbl_id_t id;
  int customer;
  int router;
  int engine;
  int tries;
  bool avoid[ENGINES_MAX];
  bool answered;
  uint64_t prefix;
  uint64_t handle;
  clk_ms_t arrived;
  double decode;
} request_t;

typedef struct
{
  uint64_t prefix;
  clk_ms_t at;
  bool added;
} change_t;

typedef struct
{
  int running;
  clk_ms_t prefill_free;
  GQueue waiting;
  GQueue cache; /**< prefixes, least recently used first */
  GArray *changes;
  struct
  {
    int running;
    int waiting;
  } sample[SAMPLES];
} engine_t;

typedef struct
{
  int router;
  char from[16];
  msg_t msg;
  uint64_t call;
  char *body;
} letter_t;

typedef struct
{
  run_t run;
  clk_ms_t now;
  tmr_t *queue;
  GRand *rand;
  tbl_t *requests;
  tbl_t *letters;
  engine_t engine[ENGINES_MAX];
  env_t *env[ROUTERS_MAX];
  mbr_t *members[ROUTERS_MAX];
  rte_t *rte[ROUTERS_MAX];
  GArray *took[CUSTOMERS];
  long hits;
  long starts;
  long lost;
  long samples;
  double bytes; /**< of messages between VMs */
} sim_t;

static const double customer_weight[CUSTOMERS] = { 30, 20, 12, 4, 3, 2, 1, 1 };

static void
at (sim_t *s, clk_ms_t when, int kind, uint64_t tag)
{
  tmr_arm (s->queue, when, (mod_t)kind, tag);
}

static double
draw_exp (sim_t *s, double mean)
{
  return -mean * log (1 - g_rand_double (s->rand));
}

static bool
faulty (const sim_t *s, int engine, fault_t fault)
{
  return engine == 0 && s->run.fault == fault && s->now >= FAULT_MS;
}

/* The engine. */

static bool
cache_touch (sim_t *s, engine_t *e, uint64_t prefix)
{
  void *p = GSIZE_TO_POINTER (prefix);
  bool hit = g_queue_remove (&e->cache, p);
  g_queue_push_tail (&e->cache, p);
  if (hit)
    return true;
  change_t add = { .prefix = prefix, .at = s->now, .added = true };
  g_array_append_val (e->changes, add);
  if (e->cache.length > CACHE_PREFIXES)
    {
      change_t drop
          = { .prefix = GPOINTER_TO_SIZE (g_queue_pop_head (&e->cache)),
              .at = s->now };
      g_array_append_val (e->changes, drop);
    }
  return false;
}

static void
engine_start (sim_t *s, int i)
{
  engine_t *e = &s->engine[i];
  double slow = faulty (s, i, SLOW) ? 4 : 1;
  while (e->running < SLOTS && e->waiting.length > 0)
    {
      request_t *q = g_queue_pop_head (&e->waiting);
      bool hit = cache_touch (s, e, q->prefix);
      e->running++;
      if (s->now > WARM_MS)
        {
          s->starts++;
          s->hits += hit;
        }
      e->prefill_free = clk_max (e->prefill_free, s->now)
                        + (clk_ms_t)((hit ? HIT_MS : MISS_MS) * slow);
      at (s, e->prefill_free + HOP_MS, FIRST_BYTE, q->id.id);
      at (s, e->prefill_free + 1 + (clk_ms_t)(q->decode * slow), FINISH,
          q->id.id);
    }
}

static void
engine_sample (sim_t *s)
{
  for (int i = 0; i < s->run.engines; i++)
    {
      engine_t *e = &s->engine[i];
      if (faulty (s, i, SILENT))
        e->sample[s->samples % SAMPLES]
            = e->sample[(s->samples + SAMPLES - 1) % SAMPLES];
      else if (!faulty (s, i, LYING))
        {
          e->sample[s->samples % SAMPLES].running = e->running;
          e->sample[s->samples % SAMPLES].waiting = (int)e->waiting.length;
        }
      else
        memset (&e->sample[s->samples % SAMPLES], 0, sizeof e->sample[0]);
    }
  s->samples++;
  at (s, s->now + SAMPLE_MS, SAMPLE, 0);
}

static int
engine_reported (const sim_t *s, int i, int *waiting)
{
  long back = s->run.lag / SAMPLE_MS + 1;
  long n = s->samples > back ? s->samples - back : 0;
  *waiting = s->engine[i].sample[n % SAMPLES].waiting;
  return s->engine[i].sample[n % SAMPLES].running;
}

/* The routers' surroundings. */

static char *
poll_body (sim_t *s, int i, const char *path)
{
  int waiting = 0;
  int running = engine_reported (s, i, &waiting);
  if (strcmp (path, "/load") == 0)
    return talloc_asprintf (s,
                            "{\"running\":%d,\"waiting\":%d,\"slots\":%d,"
                            "\"seq\":%ld,\"leaving\":false}",
                            running, waiting, SLOTS, s->samples);
  const char *after = strchr (path, '=');
  guint from = after != NULL ? (guint)strtoul (after + 1, NULL, 10) : 0;
  GArray *changes = s->engine[i].changes;
  char *list = talloc_strdup (s, "");
  guint n = from;
  for (; n < changes->len && n < from + 100; n++)
    {
      change_t c = g_array_index (changes, change_t, n);
      if (c.at > s->now - s->run.lag)
        break;
      if (g_rand_double (s->env[0]->rand) >= EVENT_LOSS)
        list = talloc_asprintf_append (
            list, "%s{\"seq\":%u,\"op\":\"%s\",\"prefix\":\"%llx\"}",
            *list ? "," : "", n + 1, c.added ? "add" : "drop",
            (unsigned long long)c.prefix);
    }
  char *body = talloc_asprintf (s, "{\"seq\":%u,\"events\":[%s]}", n, list);
  talloc_free (list);
  return body;
}

static void
carry_out (sim_t *s, int router)
{
  env_t *env = s->env[router];
  for (size_t i = 0; i < env->fx->count; i++)
    {
      const fx_t *f = &env->fx->v[i];
      tbl_id_t id = tbl_alloc (s->letters);
      letter_t *l = tbl_get (s->letters, id);
      if (f->kind == FX_PEER_SEND)
        {
          s->bytes += (double)f->peer.msg.body.n + FRAME_BYTES;
          l->router = atoi (f->peer.vm + 2);
          snprintf (l->from, sizeof l->from, "%s", env->vm);
          l->msg = f->peer.msg;
          l->msg.body = buf_copy (s, f->peer.msg.body);
          at (s, s->now + HOP_MS, PEER, id.id);
        }
      else if (f->kind == FX_UPSTREAM_CALL)
        {
          int e = atoi (f->upstream.address + strlen ("10.0.0."));
          l->router = router;
          l->call = f->upstream.call;
          l->body = faulty (s, e, SILENT) ? NULL
                                          : poll_body (s, e, f->upstream.path);
          clk_ms_t wait = l->body != NULL ? 2 * HOP_MS : f->upstream.total_ms;
          at (s, s->now + wait, POLL, id.id);
        }
      else
        tbl_free (s->letters, id);
    }
  fx_clear (env->fx);
}

static void
peer_arrive (sim_t *s, letter_t *l)
{
  rte_message_received (s->rte[l->router], s->env[l->router], l->from,
                        &l->msg);
  talloc_free ((char *)l->msg.body.p);
}

static void
poll_event (sim_t *s, const letter_t *l, const ev_t *ev)
{
  upc_who_t who;
  if (upc_event (s->env[l->router], ev, &who))
    rte_upstream_event (s->rte[l->router], s->env[l->router], who.tag, ev);
}

static void
poll_arrive (sim_t *s, letter_t *l)
{
  ev_t ev = { .kind = EV_UPSTREAM_FAIL, .upstream = { .call = l->call } };
  if (l->body != NULL)
    {
      ev.kind = EV_UPSTREAM_HEAD;
      ev.upstream.status = 200;
      poll_event (s, l, &ev);
      ev.kind = EV_UPSTREAM_DATA;
      ev.upstream.data = buf_str (l->body);
      poll_event (s, l, &ev);
      ev.kind = EV_UPSTREAM_END;
    }
  poll_event (s, l, &ev);
  talloc_free (l->body);
}

/* Requests. */

static int
choose_baseline (sim_t *s, const request_t *q)
{
  GRand *rand = s->env[q->router]->rand;
  int best = -1;
  int best_load = 0;
  int equal = 0;
  int tries = s->run.policy == LEAST_REPORTED ? s->run.engines
              : s->run.policy == TWO_CHOICES  ? 2
                                              : 1;
  for (int n = 0; n < tries; n++)
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

static int
choose (sim_t *s, request_t *q)
{
  if (s->run.policy != CHOSEN)
    return choose_baseline (s, q);
  char names[TRIES][16];
  const char *avoid[TRIES];
  size_t n = 0;
  for (int i = 0; i < s->run.engines && n < TRIES; i++)
    if (q->avoid[i])
      {
        snprintf (names[n], sizeof names[n], "e%d", i);
        avoid[n] = names[n];
        n++;
      }
  rte_pick_t pick;
  rte_ask_t ask = {
    .deployment = "llm", .prefix = q->prefix, .avoid = avoid, .avoid_count = n
  };
  if (!rte_pick (s->rte[q->router], s->env[q->router], &ask, &pick))
    return -1;
  q->handle = pick.handle;
  return atoi (pick.upstream + 1);
}

static void
request_send (sim_t *s, request_t *q)
{
  q->engine = choose (s, q);
  if (q->engine < 0)
    {
      s->lost++;
      tbl_free (s->requests, q->id);
      return;
    }
  at (s, s->now + HOP_MS, REACH, q->id.id);
  if (s->run.fault == SILENT && q->tries == 0)
    at (s, s->now + FIRST_BYTE_MS, GIVE_UP, q->id.id);
}

static void
request_arrive (sim_t *s)
{
  double mean = DECODE_MS + (HIT_MS + MISS_MS) / 2;
  double rate = s->run.utilisation * s->run.engines * SLOTS / mean;
  at (s, s->now + (clk_ms_t)lround (draw_exp (s, 1 / rate)), ARRIVE, 0);
  double sum = 0;
  for (int i = 0; i < CUSTOMERS; i++)
    sum += customer_weight[i];
  double x = g_rand_double (s->rand) * sum;
  int customer = 0;
  while (customer < CUSTOMERS - 1 && (x -= customer_weight[customer]) > 0)
    customer++;
  tbl_id_t id = tbl_alloc (s->requests);
  request_t *q = tbl_get (s->requests, id);
  q->id = id;
  q->customer = customer;
  q->arrived = s->now;
  q->router = g_rand_int_range (s->rand, 0, s->run.routers);
  q->decode = draw_exp (s, DECODE_MS);
  /* A few of a customer's prefixes are used most. */
  double u = g_rand_double (s->rand);
  int rank = (int)(PREFIXES_EACH * u * u);
  bool shared = g_rand_double (s->rand) < SHARED_PART;
  uint64_t other = g_rand_int (s->rand);
  q->prefix = shared ? (uint64_t)(1 + (uint64_t)customer * PREFIXES_EACH
                                  + (uint64_t)rank)
                     : (1ULL << 40) + other;
  request_send (s, q);
}

static void
request_give_up (sim_t *s, request_t *q)
{
  if (q->answered)
    return;
  /* A request that merely waits in a queue is not sent again. */
  if (!faulty (s, q->engine, SILENT))
    return;
  rte_failed (s->rte[q->router], s->env[q->router], q->handle,
              RTE_FAIL_SILENT);
  q->avoid[q->engine] = true;
  q->tries++;
  request_send (s, q);
}

static void
request_first_byte (sim_t *s, request_t *q)
{
  q->answered = true;
  rte_first_byte (s->rte[q->router], s->env[q->router], q->handle);
  clk_ms_t took = s->now - q->arrived;
  if (q->arrived > WARM_MS)
    g_array_append_val (s->took[q->customer], took);
}

static void
request_finish (sim_t *s, request_t *q)
{
  rte_finished (s->rte[q->router], s->env[q->router], q->handle);
  int e = q->engine;
  s->engine[e].running--;
  tbl_free (s->requests, q->id);
  engine_start (s, e);
}

static void
handle (sim_t *s, int kind, uint64_t tag)
{
  request_t *q = NULL;
  letter_t *l = NULL;
  if (kind >= REACH && kind <= GIVE_UP)
    {
      q = tbl_get (s->requests, (tbl_id_t){ .id = tag });
      if (q == NULL)
        return;
    }
  if (kind == PEER || kind == POLL)
    {
      l = tbl_get (s->letters, (tbl_id_t){ .id = tag });
      if (l == NULL)
        return;
    }
  switch (kind)
    {
    case ARRIVE:
      request_arrive (s);
      break;
    case REACH:
      if (faulty (s, q->engine, SILENT))
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
      peer_arrive (s, l);
      break;
    default:
      if (l != NULL)
        poll_arrive (s, l);
      break;
    }
  if (l != NULL)
    tbl_free (s->letters, (tbl_id_t){ .id = tag });
}

/* A run. */

static const char *const centre[] = { "dc-a", "dc-b" };

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
                                   i, centre[i % 2], i);
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
                       .data_centre = centre[i % 2],
                       .address = "" };
  for (int i = 0; i < s->run.routers; i++)
    {
      env_t *env = env_setup (
          s, &(env_desc_t){ .vm = vm[i].vm,
                            .data_centre = centre[i % 2],
                            .seed = s->run.seed * 100 + (uint32_t)i });
      s->env[i] = env;
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
      while (tmr_pop (s->env[i]->tmr, next, &due))
        if (due.mod == MOD_ROUTE)
          rte_timer_fired (s->rte[i], s->env[i], due.tag);
      carry_out (s, i);
    }
  while (tmr_pop (s->queue, next, &due))
    handle (s, (int)due.mod, due.tag);
  for (int i = 0; i < s->run.routers; i++)
    carry_out (s, i);
}

static sim_t *
run_one (const run_t *run)
{
  sim_t *s = talloc_zero (NULL, sim_t);
  s->run = *run;
  s->queue = tmr_setup (s);
  s->rand = g_rand_new_with_seed (run->seed);
  s->requests = tbl_setup (s, &(tbl_desc_t){ .size = sizeof (request_t) });
  s->letters = tbl_setup (s, &(tbl_desc_t){ .size = sizeof (letter_t) });
  for (int i = 0; i < CUSTOMERS; i++)
    s->took[i] = g_array_new (FALSE, FALSE, sizeof (clk_ms_t));
  set_up (s);
  engine_sample (s);
  at (s, 0, ARRIVE, 0);
  while (s->now < RUN_MS)
    step (s);
  return s;
}

static void
tear_down (sim_t *s)
{
  for (int i = 0; i < s->run.engines; i++)
    {
      g_array_free (s->engine[i].changes, TRUE);
      g_queue_clear (&s->engine[i].cache);
      g_queue_clear (&s->engine[i].waiting);
    }
  for (int i = 0; i < CUSTOMERS; i++)
    g_array_free (s->took[i], TRUE);
  g_rand_free (s->rand);
  talloc_free (s);
}

/* Results. */

typedef struct
{
  GArray *all;
  GArray *each[CUSTOMERS];
  double hits;
  double starts;
  double bytes; /**< a second and VM */
  long lost;
} result_t;

static int
compare_ms (const void *a, const void *b)
{
  clk_ms_t x = *(const clk_ms_t *)a;
  clk_ms_t y = *(const clk_ms_t *)b;
  return (x > y) - (x < y);
}

static long
quantile (GArray *v, double q)
{
  if (v->len == 0)
    return 0;
  g_array_sort (v, compare_ms);
  guint i = (guint)(q * (v->len - 1));
  return (long)g_array_index (v, clk_ms_t, i);
}

static void
report (FILE *csv, const run_t *run, result_t *r)
{
  long worst = 0;
  for (int i = 0; i < CUSTOMERS; i++)
    {
      long p = quantile (r->each[i], 0.99);
      worst = p > worst ? p : worst;
    }
  printf ("| %d | %d | %.1f s | %.0f %% | %s | %s | %ld | %ld | %ld | %ld |"
          " %.0f %% |\n",
          run->engines, run->routers, (double)run->lag / CLK_SECOND,
          run->utilisation * 100, fault_name[run->fault],
          policy_name[run->policy], quantile (r->all, 0.5),
          quantile (r->all, 0.95), quantile (r->all, 0.99), worst,
          100 * r->hits / r->starts);
  fprintf (csv, "%d,%d,%ld,%.2f,%s,%s,%ld,%ld,%ld,%ld,%.3f,%ld,%.0f\n",
           run->engines, run->routers, (long)run->lag, run->utilisation,
           fault_name[run->fault], policy_name[run->policy],
           quantile (r->all, 0.5), quantile (r->all, 0.95),
           quantile (r->all, 0.99), worst, r->hits / r->starts, r->lost,
           r->bytes);
  fflush (stdout);
}

#define SEEDS 3

static void
compare (FILE *csv, run_t run)
{
  result_t r = { .all = g_array_new (FALSE, FALSE, sizeof (clk_ms_t)) };
  for (int i = 0; i < CUSTOMERS; i++)
    r.each[i] = g_array_new (FALSE, FALSE, sizeof (clk_ms_t));
  for (run.seed = 1; run.seed <= SEEDS; run.seed++)
    {
      sim_t *s = run_one (&run);
      for (int i = 0; i < CUSTOMERS; i++)
        {
          g_array_append_vals (r.all, s->took[i]->data, s->took[i]->len);
          g_array_append_vals (r.each[i], s->took[i]->data, s->took[i]->len);
        }
      r.hits += (double)s->hits;
      r.starts += (double)s->starts;
      r.lost += s->lost;
      r.bytes
          += s->bytes / run.routers / ((double)RUN_MS / CLK_SECOND) / SEEDS;
      tear_down (s);
    }
  report (csv, &run, &r);
  g_array_free (r.all, TRUE);
  for (int i = 0; i < CUSTOMERS; i++)
    g_array_free (r.each[i], TRUE);
}

static void
compare_policies (FILE *csv, run_t run, bool only_chosen)
{
  for (run.policy = only_chosen ? CHOSEN : RANDOM; run.policy < POLICIES;
       run.policy++)
    compare (csv, run);
}

int
main (int argc, char **argv)
{
  static const clk_ms_t lag[] = { 200, 1000, 5000 };
  static const double utilisation[] = { 0.5, 0.7, 0.85, 0.95 };
  bool calm = argc < 2 || strcmp (argv[1], "calm") == 0;
  bool faults = argc < 2 || strcmp (argv[1], "faults") == 0;
  bool chosen = argc > 1 && strcmp (argv[1], "chosen") == 0;
  (void)mkdir ("build", 0755);
  (void)mkdir ("build/measure", 0755);
  FILE *csv = fopen ("build/measure/routing.csv", "w");
  if (csv == NULL)
    return EXIT_FAILURE;
  fputs ("replicas,vms,lag_ms,utilisation,fault,policy,p50_ms,p95_ms,p99_ms,"
         "worst_customer_p99_ms,cache_hits,not_routed,peer_bytes_s_vm\n",
         csv);
  puts ("| replicas | VMs | reports late | utilisation | fault | way | p50 |"
        " p95 | p99 | worst customer's p99 | cache hits |");
  puts ("|---|---|---|---|---|---|---|---|---|---|---|");
  for (int size = 0; size < 2; size++)
    {
      run_t run = { .engines = 10 + 10 * size, .routers = 6 + 2 * size };
      for (size_t i = 0; (calm || chosen) && i < 3; i++)
        for (size_t u = 0; u < 4; u++)
          {
            run.lag = lag[i];
            run.utilisation = utilisation[u];
            compare_policies (csv, run, chosen);
          }
      run.lag = 1000;
      run.utilisation = 0.7;
      for (run.fault = SILENT; (faults || chosen) && run.fault < FAULTS;
           run.fault++)
        compare_policies (csv, run, chosen);
    }
  fclose (csv);
  return EXIT_SUCCESS;
}

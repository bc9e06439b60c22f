/** @file
 * Upstreams that fail a part of their requests immediately, under the load of
 * a large fleet, without a network: 77 VMs with a router each, 48 upstreams
 * with 8 slots in 3 data centres, about 220 requests a second in waves.
 */
#include "core/rte.h"
#include "tst.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define VMS 77
#define UPSTREAMS 48
#define SLOTS 8
#define DATA_CENTRES 3
#define CUSTOMERS 81
/** Mean time for which a request that succeeds occupies a slot. */
#define BUSY_MS 700.0
/** When upstreams begin to fail, and for how long. */
#define FAULT_AT (2 * CLK_SECOND)
#define FAULT_MS ((clk_ms_t)5500)
/** Time in which an upstream that has recovered gets its usual share again,
 * and for which that share is measured. */
#define BACK_MS (5 * CLK_SECOND)
#define SHARE_MS (3 * CLK_SECOND)
/** When all upstreams begin to fail alike, some are seen to before others. */
#define SETTLE_MS ((clk_ms_t)1500)
/** Requests that find all upstreams full come again until then. */
#define PATIENCE_MS (1 * CLK_SECOND)

/** Conditions of a run. */
typedef struct
{
  guint32 seed;
  bool avoid;          /**< rte_desc_t.avoid_failing */
  int failing;         /**< upstreams that fail, spread over data centres */
  double part;         /**< of their requests that fail */
  bool caller;         /**< one customer's requests always fail */
  double message_loss; /**< part of the messages that is lost */
  double repeatable;   /**< part of the requests that may be repeated */
} run_t;

typedef struct
{
  int vm;
  int upstream;
  int customer;
  bool repeatable;
  uint64_t handle;
  clk_ms_t arrived;
  clk_ms_t next; /**< time of the next step */
  enum
  {
    WAITS,   /**< no upstream has room */
    QUEUED,  /**< at the upstream */
    RUNS,    /**< occupies a slot */
    ANSWERS, /**< has failed */
  } state;
} request_t;

typedef struct
{
  run_t run;
  clk_ms_t now;
  GRand *rand;
  env_t *env[VMS];
  rte_t *rte[VMS];
  int running[UPSTREAMS];
  GQueue queue[UPSTREAMS]; /**< request_t without a slot */
  GPtrArray *requests;
  GArray *mail; /**< mail_t that arrives in the next ms */
  /* results */
  int sent;    /**< to upstreams that fail, while they do */
  int lost;    /**< of all requests that may not be repeated, failed then */
  int after;   /**< to upstreams that have failed, BACK_MS after that */
  int arrived; /**< requests in the time of AFTER */
  int probes;  /**< requests that may be repeated among SENT */
  double
      most_avoided; /**< largest part of its upstreams that a VM suspected */
} fleet_t;

typedef struct
{
  int to;
  int from;
  msg_t msg;
} mail_t;

static bool
fails (const fleet_t *f, int upstream)
{
  return upstream < f->run.failing && f->now >= FAULT_AT
         && f->now < FAULT_AT + FAULT_MS;
}

static void
poll_respond (fleet_t *f, int vm, const fx_t *e)
{
  int i = atoi (e->upstream.address + strlen ("10.0.0."));
  char body[80];
  (void)snprintf (body, sizeof body,
                  "{\"running\":%d,\"waiting\":%u,\"slots\":%d,\"seq\":1}",
                  f->running[i], f->queue[i].length, SLOTS);
  ev_t ev[]
      = { { .kind = EV_UPSTREAM_HEAD, .upstream = { .status = 200 } },
          { .kind = EV_UPSTREAM_DATA, .upstream = { .data = buf_str (body) } },
          { .kind = EV_UPSTREAM_END } };
  for (size_t k = 0; k < sizeof ev / sizeof ev[0]; k++)
    {
      upc_owner_t owner;
      ev[k].upstream.call = e->upstream.call;
      if (upc_event (f->env[vm], &ev[k], &owner))
        rte_upstream_event (f->rte[vm], f->env[vm], owner.tag, &ev[k]);
    }
}

static void
effects_apply (fleet_t *f, int vm)
{
  const fx_list_t *fx = f->env[vm]->fx;
  for (size_t i = 0; i < fx->count; i++)
    {
      const fx_t e = fx->v[i];
      if (e.kind == FX_UPSTREAM_CALL)
        poll_respond (f, vm, &e);
      if (e.kind != FX_PEER_SEND || e.peer.msg.kind < MSG_ROUTE_FIRST
          || g_rand_double (f->rand) < f->run.message_loss)
        continue;
      mail_t m = { .to = atoi (e.peer.vm + 1), .from = vm, .msg = e.peer.msg };
      m.msg.body = buf_copy (f, e.peer.msg.body);
      g_array_append_val (f->mail, m);
    }
  fx_clear (f->env[vm]->fx);
}

static void
mail_deliver (fleet_t *f)
{
  GArray *mail = f->mail;
  f->mail = g_array_new (FALSE, FALSE, sizeof (mail_t));
  for (guint i = 0; i < mail->len; i++)
    {
      mail_t *m = &g_array_index (mail, mail_t, i);
      rte_message_received (f->rte[m->to], f->env[m->to], f->env[m->from]->vm,
                            &m->msg);
      effects_apply (f, m->to);
      talloc_free ((void *)(uintptr_t)m->msg.body.p);
    }
  g_array_free (mail, TRUE);
}

static double
busy_ms (fleet_t *f)
{
  return 50 - BUSY_MS * log (1 - g_rand_double (f->rand));
}

static void
request_pick (fleet_t *f, request_t *q)
{
  rte_pick_t pick;
  char customer[8];
  (void)snprintf (customer, sizeof customer, "c%d", q->customer);
  q->next = f->now + 20;
  if (!rte_pick (f->rte[q->vm], f->env[q->vm],
                 &(rte_query_t){ .deployment = "d",
                                 .repeatable = q->repeatable,
                                 .skip_full = true },
                 &pick))
    return;
  q->upstream = atoi (pick.upstream + 1);
  q->handle = pick.handle;
  rte_started (f->rte[q->vm], f->env[q->vm], q->handle);
  bool failing = fails (f, q->upstream);
  f->sent += failing;
  f->probes += failing && q->repeatable;
  f->after += q->upstream < f->run.failing
              && f->now >= FAULT_AT + FAULT_MS + BACK_MS;
  q->state = QUEUED;
  if ((failing && g_rand_double (f->rand) < f->run.part)
      || q->customer + 1 == f->run.caller)
    q->state = ANSWERS;
  if (q->state == QUEUED)
    g_queue_push_tail (&f->queue[q->upstream], q);
  q->next = q->state == ANSWERS ? f->now + 2 : CLK_NEVER;
}

/** Returns true when the request has ended. */
static bool
request_step (fleet_t *f, request_t *q)
{
  char customer[8];
  (void)snprintf (customer, sizeof customer, "c%d", q->customer);
  rte_t *r = f->rte[q->vm];
  env_t *env = f->env[q->vm];
  if (f->now < q->next)
    return false;
  if (q->state == WAITS)
    {
      request_pick (f, q);
      return q->state == WAITS && f->now > q->arrived + PATIENCE_MS;
    }
  if (q->state == ANSWERS)
    {
      rte_answer_status (r, env, q->handle, 500, customer);
      f->lost += !q->repeatable && q->upstream < f->run.failing;
    }
  rte_first_byte (r, env, q->handle);
  if (q->state == RUNS)
    {
      rte_answer_status (r, env, q->handle, 200, customer);
      f->running[q->upstream]--;
    }
  rte_finished (r, env, q->handle);
  return true;
}

static void
requests_step (fleet_t *f)
{
  double second = fmod ((double)f->now / 1000 + 4, 6.6);
  double rate = 223 * (second < 2.8 ? 1.84 : 0.38);
  if (g_rand_double (f->rand) < rate / 1000)
    {
      request_t *q = talloc_zero (f, request_t);
      double x = g_rand_double (f->rand);
      q->vm = g_rand_int_range (f->rand, 0, VMS);
      /* The square makes a few customers large. */
      q->customer = (int)(CUSTOMERS * x * x);
      q->repeatable = g_rand_double (f->rand) < f->run.repeatable;
      q->arrived = f->now;
      f->arrived += f->now >= FAULT_AT + FAULT_MS + BACK_MS;
      g_ptr_array_add (f->requests, q);
    }
  for (guint i = 0; i < f->requests->len;)
    {
      request_t *q = g_ptr_array_index (f->requests, i);
      if (request_step (f, q))
        {
          g_ptr_array_remove_index_fast (f->requests, i);
          talloc_free (q);
        }
      else
        i++;
    }
  for (int i = 0; i < UPSTREAMS; i++)
    while (f->running[i] < SLOTS && f->queue[i].length > 0)
      {
        request_t *q = g_queue_pop_head (&f->queue[i]);
        f->running[i]++;
        q->state = RUNS;
        q->next = f->now + (clk_ms_t)busy_ms (f);
      }
}

/** The part of its upstreams that VM suspects: it uses 18. */
static double
avoided (fleet_t *f, int vm)
{
  double count = 0;
  char *text = rte_format (f, f->rte[vm], f->env[vm]);
  for (const char *p = text; (p = strstr (p, "\"failing\":true")) != NULL; p++)
    count++;
  talloc_free (text);
  return count / 18;
}

static cfg_doc_t *
document (fleet_t *f)
{
  char *text = talloc_strdup (f, "[deployment d]\nowner = t\nkind = engine\n"
                                 "slots = 8\n");
  for (int i = 0; i < DATA_CENTRES; i++)
    text = talloc_asprintf_append (text, "[data-centre x%d]\nowner = t\n", i);
  for (int i = 0; i < UPSTREAMS; i++)
    text = talloc_asprintf_append (
        text,
        "[upstream u%d]\nowner = t\ndeployment = d\ndata_centre = x%d\n"
        "address = 10.0.0.%d:80\n",
        i, i % DATA_CENTRES, i);
  cfg_doc_t *doc = NULL;
  st_t st = { 0 };
  CU_ASSERT_EQUAL (cfg_doc_parse (f, buf_str (text), &doc, &st), ST_OK);
  return doc;
}

static void
fleet_setup (fleet_t *f)
{
  ev_vm_t vm[VMS];
  cfg_doc_t *doc = document (f);
  f->rand = g_rand_new_with_seed (f->run.seed);
  f->requests = g_ptr_array_new ();
  f->mail = g_array_new (FALSE, FALSE, sizeof (mail_t));
  f->now = 1;
  for (int i = 0; i < VMS; i++)
    vm[i] = (ev_vm_t){
      .vm = talloc_asprintf (f, "v%d", i),
      .data_centre = talloc_asprintf (f, "x%d", i % DATA_CENTRES),
      .address = "",
    };
  for (int i = 0; i < VMS; i++)
    {
      f->env[i]
          = env_setup (f, &(env_desc_t){ .vm = vm[i].vm,
                                         .data_centre = vm[i].data_centre,
                                         .seed = 100 + (uint32_t)i });
      f->env[i]->now = f->now;
      mbr_t *members = mbr_setup (f, &(mbr_desc_t){ 0 });
      ev_platform_t list = { .vms = vm, .vm_count = VMS };
      mbr_platform_replied (members, f->env[i], &(plt_done_t){ 0 }, &list);
      for (int j = 0; j < VMS; j++)
        if (j != i)
          mbr_peer_up (members, f->env[i], vm[j].vm);
      fx_clear (f->env[i]->fx);
      f->rte[i]
          = rte_setup (f, &(rte_desc_t){ .members = members,
                                         .report_ms = 400,
                                         .no_cache_events = true,
                                         .avoid_failing = f->run.avoid });
      rte_config_changed (f->rte[i], f->env[i], doc);
    }
}

/** Runs until UNTIL. */
static fleet_t *
fleet_run (const run_t *run, clk_ms_t until)
{
  tmr_due_t due;
  fleet_t *f = talloc_zero (NULL, fleet_t);
  f->run = *run;
  fleet_setup (f);
  for (; f->now < until; f->now++)
    {
      for (int i = 0; i < VMS; i++)
        {
          f->env[i]->now = f->now;
          while (tmr_pop (f->env[i]->tmr, f->now, &due))
            if (due.mod == MOD_ROUTE)
              rte_timer_fired (f->rte[i], f->env[i], due.tag);
          effects_apply (f, i);
        }
      mail_deliver (f);
      requests_step (f);
      bool settled
          = f->run.failing < UPSTREAMS || f->now >= FAULT_AT + SETTLE_MS;
      for (int i = 0; i < VMS && settled && f->now % 500 == 0; i += 4)
        f->most_avoided = fmax (f->most_avoided, avoided (f, i));
    }
  return f;
}

static void
fleet_free (fleet_t *f)
{
  for (int i = 0; i < UPSTREAMS; i++)
    g_queue_clear (&f->queue[i]);
  g_ptr_array_free (f->requests, TRUE);
  g_array_free (f->mail, TRUE);
  g_rand_free (f->rand);
  talloc_free (f);
}

static double
counted (const fleet_t *f, const char *name, const char *labels)
{
  double sum = 0;
  for (int i = 0; i < VMS; i++)
    sum += cnt_value (f->env[i]->cnt, name, labels);
  return sum;
}

/** Prints what was measured in F, for the pages. */
static void
result_print (const char *name, const fleet_t *f)
{
  printf (
      "%s: avoid=%d sent=%d repeatable=%d lost=%d after=%d of %d begun=%.0f "
      "most_avoided=%.2f messages=%.0f\n",
      name, f->run.avoid, f->sent, f->probes, f->lost, f->after, f->arrived,
      counted (f, "rts_route_failing_total", "change=\"begin\""),
      f->most_avoided,
      counted (f, "rts_route_failing_messages_total", "kind=\"sums\"")
          + counted (f, "rts_route_failing_messages_total",
                     "kind=\"counts\""));
}

/** Adds to SUM what a run of RUN shows until UNTIL, and returns its
 * most_avoided. */
static double
run_add (const char *name, const run_t *run, clk_ms_t until, fleet_t *sum)
{
  fleet_t *f = fleet_run (run, until);
  double most_avoided = f->most_avoided;
  result_print (name, f);
  sum->sent += f->sent;
  sum->lost += f->lost;
  sum->after += f->after;
  sum->arrived += f->arrived;
  fleet_free (f);
  return most_avoided;
}

/* Guards against the loss of requests to four upstreams that look idle because
 * they fail, and against these staying avoided after that; the same while a
 * third of the messages between VMs is lost. */
static void
test_two_thirds_are_spared (void)
{
  fleet_t before = { 0 };
  fleet_t now = { 0 };
  fleet_t lossy = { 0 };
  clk_ms_t fault_end = FAULT_AT + FAULT_MS;
  for (guint32 seed = 11; seed <= 12; seed++)
    {
      run_t run
          = { .seed = seed, .failing = 4, .part = 0.4, .repeatable = 0.2 };
      (void)run_add ("off", &run, fault_end, &before);
      run.avoid = true;
      CU_ASSERT (run_add ("on", &run, fault_end + BACK_MS + SHARE_MS, &now)
                 <= 0.25);
      run.message_loss = 0.33;
      CU_ASSERT (run_add ("messages lost", &run, fault_end, &lossy) <= 0.25);
    }
  CU_ASSERT (3 * now.sent <= before.sent);
  CU_ASSERT (3 * now.lost <= before.lost);
  CU_ASSERT (2 * lossy.sent <= before.sent);
  /* Three quarters of the usual share: 4 of 48. */
  CU_ASSERT (16 * now.after >= now.arrived);
}

/* Guards against a caller who has upstreams avoided by requests that always
 * fail, also of the largest customer. */
static void
test_caller_that_always_fails (void)
{
  fleet_t *f = fleet_run (&(run_t){ .seed = 11, .avoid = true, .caller = 1 },
                          FAULT_AT + FAULT_MS);
  result_print ("caller", f);
  CU_ASSERT (counted (f, "rts_route_answers_total", "outcome=\"failed\"")
             > 20);
  CU_ASSERT_EQUAL (counted (f, "rts_route_failing_total", "change=\"begin\""),
                   0);
  fleet_free (f);
}

/* Guards against avoiding any upstream when all fail alike, and more than a
 * quarter when a third fails. */
static void
test_many_fail (void)
{
  for (int failing = 16; failing <= UPSTREAMS; failing += 32)
    {
      fleet_t *f = fleet_run (&(run_t){ .seed = 11,
                                        .avoid = true,
                                        .failing = failing,
                                        .part = 0.4,
                                        .repeatable = 0.2 },
                              FAULT_AT + FAULT_MS);
      result_print (failing == 16 ? "a third" : "all", f);
      CU_ASSERT (failing == 16 ? f->most_avoided <= 0.25
                               : f->most_avoided == 0);
      fleet_free (f);
    }
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "two_thirds_are_spared", test_two_thirds_are_spared },
    { "caller_that_always_fails", test_caller_that_always_fails },
    { "many_fail", test_many_fail },
  };
  return tst_run ("failing_load", cases, sizeof cases / sizeof cases[0]);
}

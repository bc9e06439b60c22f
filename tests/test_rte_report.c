/** @file
 * Routing: load reports of upstreams, pollers, and messages between VMs.
 */
#include "core/mpk.h"
#include "rtebed.h"
#include "tst.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

/* Guards against a new start that gets no requests because the poller, whose
 * list is old, goes on reporting what the start before it said. */
static void
test_report_on_an_earlier_start_does_not_bar_a_new_one (void)
{
  rtebed_t *f = rtebed_setup (2);
  int other = rte_polls (f->rte[0], f->env[0], "u0") ? 1 : 0;
  for (int vm = 0; vm < 2; vm++)
    {
      cfg_doc_t *first = rtebed_document (f, NULL);
      first->upstreams[0].born = 1;
      rte_config_changed (f->rte[vm], f->env[vm], first);
    }
  f->load[0] = "{\"running\":0,\"waiting\":0,\"slots\":4,\"seq\":2,"
               "\"leaving\":true}";
  rtebed_run (f, 3 * CLK_SECOND);
  CU_ASSERT (rte_leaving (f->rte[other], f->env[other], "u0"));
  f->load[0] = NULL;
  cfg_doc_t *doc = rtebed_document (f, NULL);
  doc->upstreams[0].born = 2;
  doc->upstreams[0].address = "10.0.0.9:80";
  rte_config_changed (f->rte[other], f->env[other], doc);
  CU_ASSERT (!rte_leaving (f->rte[other], f->env[other], "u0"));
  rtebed_run (f, 3 * CLK_SECOND);
  CU_ASSERT (!rte_leaving (f->rte[other], f->env[other], "u0"));
  talloc_free (f);
}

static void
test_each_upstream_has_one_poller_and_its_reports_reach_the_other (void)
{
  rtebed_t *f = rtebed_setup (2);
  f->load[0] = f->load[1]
      = "{\"running\":3,\"waiting\":2,\"slots\":4,\"seq\":1}";
  rtebed_run (f, 4000);
  CU_ASSERT (rte_polls (f->rte[0], f->env[0], "u0")
             != rte_polls (f->rte[1], f->env[1], "u0"));
  /* One load poll every 200 ms from one of the VMs, and one cache poll every
   * 600 ms, which times out. */
  CU_ASSERT (f->polls[0] >= 15 && f->polls[0] <= 36);
  CU_ASSERT_EQUAL (f->polls[2], 0);
  rte_load_t load;
  unsigned reports[2] = { 0 };
  for (int vm = 0; vm < 2; vm++)
    while (rte_load_pop (f->rte[vm], f->env[vm], &load))
      reports[vm] += load.reported && load.running == 5;
  CU_ASSERT_EQUAL (reports[0], 2);
  CU_ASSERT_EQUAL (reports[1], 2);
  talloc_free (f);
}

static void
test_requests_of_the_other_vm_count (void)
{
  rtebed_t *f = rtebed_setup (2);
  rte_pick_t p;
  rtebed_run (f, 1000);
  for (int i = 0; i < 3; i++)
    CU_ASSERT (rte_pick (f->rte[0], f->env[0],
                         &(rte_query_t){ .deployment = "d", .only = "u0" },
                         &p));
  rtebed_run (f, 1000);
  CU_ASSERT_EQUAL (rte_idle_slots (f->rte[1], f->env[1], "u0"), 1);
  CU_ASSERT_EQUAL (rte_idle_slots (f->rte[0], f->env[0], "u0"), 1);
  CU_ASSERT (rtebed_pick (f, 1, 0, &p));
  CU_ASSERT_STRING_NOT_EQUAL (p.upstream, "u0");
  talloc_free (f);
}

static void
test_an_upstream_that_reports_false_load_gets_no_more (void)
{
  rtebed_t *f = rtebed_setup (2);
  rte_pick_t p;
  /* u0 reports that it is idle; both VMs know their requests there. */
  for (int i = 0; i < 16; i++)
    {
      CU_ASSERT (rtebed_pick (f, i % 2, 0, &p));
      rtebed_run (f, 300);
      rte_first_byte (f->rte[i % 2], f->env[i % 2], p.handle);
    }
  CU_ASSERT (rte_in_flight (f->rte[0], "u0") + rte_in_flight (f->rte[1], "u0")
             <= 6);
  talloc_free (f);
}

static void
test_silent_poll_marks_load_unknown (void)
{
  rtebed_t *f = rtebed_setup (1);
  rtebed_run (f, 1000);
  CU_ASSERT_EQUAL (rte_idle_slots (f->rte[0], f->env[0], "u0"), 4);
  f->load[0] = NULL;
  rtebed_run (f, 2000);
  CU_ASSERT_EQUAL (rte_idle_slots (f->rte[0], f->env[0], "u0"), 0);
  f->load[0] = "not json at all";
  rtebed_run (f, 2000);
  CU_ASSERT_EQUAL (rte_idle_slots (f->rte[0], f->env[0], "u0"), 0);
  f->load[0] = "{\"running\":1,\"waiting\":0,\"slots\":4,\"seq\":1}";
  rtebed_run (f, 1000);
  CU_ASSERT (rte_idle_slots (f->rte[0], f->env[0], "u0") >= 3);
  talloc_free (f);
}

/* Guards against a report that is put together from parts of one that is too
 * large. */
static void
test_poll_that_is_too_large_fails (void)
{
  rtebed_t *f = rtebed_setup (1);
  char *report = talloc_asprintf (
      f, "{\"running\":0,\"waiting\":0,\"slots\":4,\"seq\":1%*s",
      (int)(5 * RTEBED_BODY_PIECE), "}");
  size_t end = strlen (report);
  report[5 * RTEBED_BODY_PIECE] = '}';
  report[end - 1] = ' ';
  f->load[0] = report;
  rtebed_run (f, 2000);
  CU_ASSERT (f->polls[0] > 0);
  CU_ASSERT_EQUAL (rte_idle_slots (f->rte[0], f->env[0], "u0"), 0);
  CU_ASSERT_EQUAL (upc_count (f->env[0]->upc), 0);
  talloc_free (f);
}

static void
test_bad_messages_are_counted_and_dropped (void)
{
  rtebed_t *f = rtebed_setup (2);
  GRand *rand = g_rand_new_with_seed (3);
  for (int i = 0; i < 2000; i++)
    {
      mpk_writer_t w;
      mpk_writer_init (&w, f);
      for (guint32 k = g_rand_int (rand) % 12; k > 0; k--)
        switch (g_rand_int (rand) % 4)
          {
          case 0:
            mpk_put_str (&w, buf_str (k % 2 ? "u0" : "nobody"));
            break;
          case 1:
            mpk_put_double (&w, g_rand_double (rand));
            break;
          case 2:
            mpk_put_uint (&w, g_rand_int (rand));
            break;
          default:
            mpk_put_uint (&w, k);
            break;
          }
      msg_t msg = { .kind = (uint16_t)(MSG_ROUTE_FIRST + i % 3),
                    .body = mpk_done (&w) };
      if (msg.body.n > 0 && i % 2 == 0)
        msg.body.n -= 1;
      rte_message_received (f->rte[0], f->env[0], "b", &msg);
    }
  CU_ASSERT (cnt_value (f->env[0]->cnt, "rts_route_bad_messages_total", "")
             > 1500);
  rte_pick_t p;
  CU_ASSERT (rtebed_pick (f, 0, 0, &p));
  g_rand_free (rand);
  talloc_free (f);
}

/** Lets VM receive a report of FROM that u0 is leaving. */
static void
report_leaving (rtebed_t *f, int vm, const char *from)
{
  /* In the order of MSG_ROUTE_REPORT: VMs, requests of others, batch requests
   * among them, state (reported and leaving), age, running, waiting, hidden,
   * slots, cache events so far, cache events that follow. */
  static const uint64_t numbers[] = { 2, 0, 0, 1 | 2, 0, 0, 0, 0, 4, 0, 0 };
  mpk_writer_t w;
  mpk_writer_init (&w, f);
  mpk_put_str (&w, buf_str ("u0"));
  for (size_t i = 0; i < sizeof numbers / sizeof numbers[0]; i++)
    mpk_put_uint (&w, numbers[i]);
  rte_message_received (
      f->rte[vm], f->env[vm], from,
      &(msg_t){ .kind = MSG_ROUTE_REPORT, .body = mpk_done (&w) });
}

/* Guards against a late report of a VM that polled an upstream before: it
 * undoes what the poller has reported since. */
static void
test_report_of_a_former_poller_is_ignored (void)
{
  rtebed_t *f = rtebed_setup (2);
  rtebed_run (f, 500);
  int vm = rte_polls (f->rte[0], f->env[0], "u0") ? 1 : 0;
  report_leaving (f, vm, "c");
  CU_ASSERT_FALSE (rte_leaving (f->rte[vm], f->env[vm], "u0"));
  report_leaving (f, vm, f->env[1 - vm]->vm);
  CU_ASSERT (rte_leaving (f->rte[vm], f->env[vm], "u0"));
  CU_ASSERT_EQUAL (
      cnt_value (f->env[vm]->cnt, "rts_route_bad_messages_total", ""), 0);
  talloc_free (f);
}

/* Guards against the load of another upstream, which has got the address of
 * this one: a load query names the upstream that it is for. */
static void
test_load_query_names_its_upstream (void)
{
  rtebed_t *f = rtebed_setup (1);
  cfg_doc_t *doc = rtebed_document (f, NULL);
  for (size_t i = 0; i < doc->upstream_count; i++)
    doc->upstreams[i].fixed_identity = true;
  rte_config_changed (f->rte[0], f->env[0], doc);
  unsigned queries = 0;
  rtebed_run (f, 500);
  for (tmr_due_t due; queries == 0 && f->now < 2000; f->now++)
    {
      f->env[0]->now = f->now;
      while (tmr_pop (f->env[0]->tmr, f->now, &due))
        rte_timer_fired (f->rte[0], f->env[0], due.tag);
      const fx_list_t *fx = f->env[0]->fx;
      for (size_t i = 0; i < fx->count; i++)
        if (fx->v[i].kind == FX_UPSTREAM_CALL && fx->v[i].upstream.load_report)
          {
            queries++;
            CU_ASSERT_PTR_NOT_NULL (fx->v[i].upstream.upstream);
          }
      rtebed_effects_apply (f, 0);
    }
  CU_ASSERT (queries > 0);
  talloc_free (f);
}

#define FLEET 60

/** Creates the router of one VM in a fleet of FLEET VMs and FLEET upstreams.
 */
static rte_t *
large_setup (void *ctx, env_t **env)
{
  *env = env_setup (
      ctx, &(env_desc_t){ .vm = "m0", .data_centre = "x", .seed = 7 });
  mbr_t *members = mbr_setup (ctx, &(mbr_desc_t){ .full_mesh_max = FLEET });
  ev_vm_t list[FLEET];
  char *text = talloc_strdup (ctx, "[data-centre x]\nowner = t\n"
                                   "[deployment d]\nowner = t\n"
                                   "kind = engine\nslots = 4\n");
  for (int i = 0; i < FLEET; i++)
    {
      list[i] = (ev_vm_t){ .vm = talloc_asprintf (ctx, "m%d", i),
                           .data_centre = "x",
                           .address = "" };
      text = talloc_asprintf_append (
          text,
          "[upstream u%d]\nowner = t\ndeployment = d\n"
          "data_centre = x\naddress = 10.0.0.%d:80\n",
          i, i);
    }
  ev_platform_t reply = { .vms = list, .vm_count = FLEET };
  (*env)->now = 1;
  mbr_platform_replied (members, *env, &(plt_done_t){ 0 }, &reply);
  for (int i = 1; i < FLEET; i++)
    mbr_peer_up (members, *env, list[i].vm);
  cfg_doc_t *doc = NULL;
  st_t st = { 0 };
  CU_ASSERT_EQUAL (cfg_doc_parse (ctx, buf_str (text), &doc, &st), ST_OK);
  rte_t *r = rte_setup (ctx, &(rte_desc_t){ .members = members });
  rte_config_changed (r, *env, doc);
  return r;
}

/** Runs ENV for MS; returns the number of usage messages that it sends. */
static unsigned
large_run (rte_t *r, env_t *env, clk_ms_t ms)
{
  unsigned messages = 0;
  tmr_due_t due;
  for (clk_ms_t until = env->now + ms; env->now < until; env->now++)
    {
      while (tmr_pop (env->tmr, env->now, &due))
        if (due.mod == MOD_ROUTE)
          rte_timer_fired (r, env, due.tag);
      for (size_t i = 0; i < env->fx->count; i++)
        messages += env->fx->v[i].kind == FX_PEER_SEND
                    && env->fx->v[i].peer.msg.kind == MSG_ROUTE_USAGE;
      fx_clear (env->fx);
    }
  return messages;
}

/* A VM of a large fleet uses a few upstreams and has requests at even fewer.
 * Without limits it would send as many messages for idle upstreams as for busy
 * ones; pollers of idle upstreams must get messages less often. */
static void
test_pollers_of_unused_upstreams_get_few_messages (void)
{
  void *ctx = talloc_new (NULL);
  env_t *env = NULL;
  rte_t *r = large_setup (ctx, &env);
  rte_pick_t p;
  (void)large_run (r, env, 2000);
  unsigned messages = 0;
  for (int i = 0; i < 40; i++)
    {
      bool picked = rte_pick (r, env, &(rte_query_t){ .deployment = "d" }, &p);
      CU_ASSERT (picked);
      unsigned first = large_run (r, env, 150);
      CU_ASSERT (first >= 1);
      rte_finished (r, env, p.handle);
      messages += first + large_run (r, env, 100);
    }
  /* In 10 s: one message to an idle poller every 75 ms.  In 6 s of these a
   * request is in flight: one message to its poller every 100 ms.  40 requests
   * end: one message each. */
  CU_ASSERT (messages <= 10000 / 75 + 6000 / 100 + 40);
  talloc_free (ctx);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "report_on_an_earlier_start_does_not_bar_a_new_one",
      test_report_on_an_earlier_start_does_not_bar_a_new_one },
    { "each_upstream_has_one_poller_and_its_reports_reach_the_other",
      test_each_upstream_has_one_poller_and_its_reports_reach_the_other },
    { "requests_of_the_other_vm_count", test_requests_of_the_other_vm_count },
    { "an_upstream_that_reports_false_load_gets_no_more",
      test_an_upstream_that_reports_false_load_gets_no_more },
    { "silent_poll_marks_load_unknown", test_silent_poll_marks_load_unknown },
    { "pollers_of_unused_upstreams_get_few_messages",
      test_pollers_of_unused_upstreams_get_few_messages },
    { "poll_that_is_too_large_fails", test_poll_that_is_too_large_fails },
    { "bad_messages_are_counted_and_dropped",
      test_bad_messages_are_counted_and_dropped },
    { "report_of_a_former_poller_is_ignored",
      test_report_of_a_former_poller_is_ignored },
    { "load_query_names_its_upstream", test_load_query_names_its_upstream },
  };
  return tst_run ("rte_report", cases, sizeof cases / sizeof cases[0]);
}

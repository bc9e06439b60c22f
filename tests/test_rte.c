/** @file
 * Routing: the choice of an upstream, failing upstreams, load reports, and
 * messages between VMs.
 */
#include "core/mpk.h"
#include "core/rte.h"
#include "tst.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define UPSTREAMS 4
/** Largest part of a response's body that comes at once, in bytes. */
#define BODY_PIECE ((size_t)15000)

/** Fixture: one or two VMs, a and b, in data centre x; upstreams u0 and u1 in
 * data centre x, u2 and u3 in y. */
typedef struct
{
  void *ctx;
  env_t *env[2];
  mbr_t *members[2];
  rte_t *rte[2];
  int vms;
  clk_ms_t now;
  /** Responses to GET /load and GET /cache-events; NULL: time-out. */
  const char *load[UPSTREAMS];
  const char *cache[UPSTREAMS];
  unsigned polls[UPSTREAMS]; /**< polls of both kinds received */
} fixture_t;

static const char *const vm_name[2] = { "a", "b" };
static const char *const vm_data_centre[2] = { "x", "x" };

static cfg_doc_t *
document (void *ctx, const char *leaving)
{
  char *text = talloc_strdup (ctx, "[data-centre x]\nowner = t\n"
                                   "[data-centre y]\nowner = t\n"
                                   "[deployment d]\nowner = t\n"
                                   "kind = engine\nslots = 4\n");
  for (int i = 0; i < UPSTREAMS; i++)
    {
      char name[16];
      (void)snprintf (name, sizeof name, "u%d", i);
      text = talloc_asprintf_append (
          text,
          "[upstream %s]\nowner = t\ndeployment = d\ndata_centre = %s\n"
          "address = 10.0.0.%d:80\nleaving = %s\n",
          name, i < 2 ? "x" : "y", i,
          leaving != NULL && strcmp (name, leaving) == 0 ? "yes" : "no");
    }
  cfg_doc_t *doc = NULL;
  st_t st = { 0 };
  CU_ASSERT_EQUAL (cfg_doc_parse (ctx, buf_str (text), &doc, &st), ST_OK);
  return doc;
}

static fixture_t *
fixture_setup (int vms)
{
  fixture_t *f = talloc_zero (NULL, fixture_t);
  f->ctx = f;
  f->vms = vms;
  f->now = 1;
  ev_vm_t list[2];
  for (int i = 0; i < vms; i++)
    list[i] = (ev_vm_t){ .vm = vm_name[i],
                         .data_centre = vm_data_centre[i],
                         .address = "" };
  for (int i = 0; i < UPSTREAMS; i++)
    f->load[i] = "{\"running\":0,\"waiting\":0,\"slots\":4,\"seq\":1}";
  for (int i = 0; i < vms; i++)
    {
      f->env[i]
          = env_setup (f, &(env_desc_t){ .vm = vm_name[i],
                                         .data_centre = vm_data_centre[i],
                                         .seed = 7 });
      f->env[i]->now = f->now;
      f->members[i] = mbr_setup (f, &(mbr_desc_t){ 0 });
      ev_platform_t reply = { .vms = list, .vm_count = (size_t)vms };
      mbr_platform_replied (f->members[i], f->env[i], &(plt_done_t){ 0 },
                            &reply);
      for (int j = 0; j < vms; j++)
        if (j != i)
          mbr_peer_up (f->members[i], f->env[i], vm_name[j]);
      fx_clear (f->env[i]->fx);
      f->rte[i] = rte_setup (f, &(rte_desc_t){ .members = f->members[i] });
      rte_config_changed (f->rte[i], f->env[i], document (f, NULL));
    }
  return f;
}

static void
poll_event (fixture_t *f, int vm, const ev_t *ev)
{
  upc_owner_t owner;
  ev_t own = *ev;
  if (upc_event (f->env[vm], &own, &owner))
    rte_upstream_event (f->rte[vm], f->env[vm], owner.tag, &own);
}

static void
poll_respond (fixture_t *f, int vm, uint64_t call, int upstream,
              const char *path)
{
  const char *body = strncmp (path, "/load", 5) == 0 ? f->load[upstream]
                                                     : f->cache[upstream];
  f->polls[upstream]++;
  ev_t ev = { .kind = EV_UPSTREAM_FAIL,
              .upstream = { .call = call, .fail = EV_FAIL_TIMEOUT } };
  if (body != NULL)
    {
      ev.kind = EV_UPSTREAM_HEAD;
      ev.upstream.status = 200;
      poll_event (f, vm, &ev);
      ev.kind = EV_UPSTREAM_DATA;
      for (size_t n = strlen (body); n > 0; n -= ev.upstream.data.n)
        {
          ev.upstream.data = (buf_t){ body, MIN (n, BODY_PIECE) };
          poll_event (f, vm, &ev);
          body += ev.upstream.data.n;
        }
      ev.kind = EV_UPSTREAM_END;
    }
  poll_event (f, vm, &ev);
}

/** Executes the effects of VM; responses and messages arrive at once. */
static void
effects_apply (fixture_t *f, int vm)
{
  fx_list_t *fx = f->env[vm]->fx;
  for (size_t i = 0; i < fx->count; i++)
    {
      const fx_t e = fx->v[i];
      if (e.kind == FX_UPSTREAM_CALL)
        poll_respond (f, vm, e.upstream.call, e.upstream.address[7] - '0',
                      e.upstream.path);
      if (e.kind == FX_PEER_SEND && e.peer.msg.kind >= MSG_ROUTE_FIRST
          && f->vms == 2)
        rte_message_received (f->rte[1 - vm], f->env[1 - vm], f->env[vm]->vm,
                              &e.peer.msg);
    }
  fx_clear (fx);
}

static void
run (fixture_t *f, clk_ms_t ms)
{
  clk_ms_t until = f->now + ms;
  tmr_due_t due;
  for (; f->now < until; f->now++)
    for (int i = 0; i < f->vms; i++)
      {
        f->env[i]->now = f->now;
        while (tmr_pop (f->env[i]->tmr, f->now, &due))
          if (due.mod == MOD_ROUTE)
            rte_timer_fired (f->rte[i], f->env[i], due.tag);
        effects_apply (f, i);
      }
}

static bool
pick (fixture_t *f, int vm, uint64_t prefix, rte_pick_t *p)
{
  return rte_pick (f->rte[vm], f->env[vm],
                   &(rte_query_t){ .deployment = "d", .prefix = prefix }, p);
}

static void
test_load_is_spread_over_all (void)
{
  fixture_t *f = fixture_setup (1);
  rte_pick_t p;
  for (int i = 0; i < 4 * UPSTREAMS; i++)
    CU_ASSERT (pick (f, 0, 0, &p));
  char name[16];
  for (int i = 0; i < UPSTREAMS; i++)
    {
      (void)snprintf (name, sizeof name, "u%d", i);
      uint32_t n = rte_in_flight (f->rte[0], name);
      CU_ASSERT (n >= 3 && n <= 5);
    }
  talloc_free (f);
}

static void
test_own_data_centre_is_preferred (void)
{
  fixture_t *f = fixture_setup (1);
  rte_pick_t p;
  CU_ASSERT (pick (f, 0, 0, &p) && p.upstream[1] < '2');
  CU_ASSERT (pick (f, 0, 0, &p) && p.upstream[1] < '2');
  for (int i = 0; i < 10; i++)
    CU_ASSERT (pick (f, 0, 0, &p));
  CU_ASSERT (rte_in_flight (f->rte[0], "u2") > 0);
  /* Without the upstreams of the own data centre, the others are used. */
  const char *avoid[] = { "u0", "u1" };
  CU_ASSERT (rte_pick (
      f->rte[0], f->env[0],
      &(rte_query_t){ .deployment = "d", .avoid = avoid, .avoid_count = 2 },
      &p));
  CU_ASSERT (p.upstream[1] >= '2');
  talloc_free (f);
}

static void
test_prefix_returns_to_its_upstream_until_that_is_loaded (void)
{
  fixture_t *f = fixture_setup (1);
  rte_pick_t p;
  CU_ASSERT (pick (f, 0, 99, &p));
  char home[8];
  (void)snprintf (home, sizeof home, "%s", p.upstream);
  f->env[0]->now = f->now += 20;
  rte_first_byte (f->rte[0], f->env[0], p.handle);
  rte_finished (f->rte[0], f->env[0], p.handle);
  for (int i = 0; i < 3; i++)
    {
      CU_ASSERT (pick (f, 0, 99, &p));
      CU_ASSERT_STRING_EQUAL (p.upstream, home);
      rte_first_byte (f->rte[0], f->env[0], p.handle);
      rte_finished (f->rte[0], f->env[0], p.handle);
    }
  /* Load limits affinity: 20 concurrent requests do not all go there. */
  for (int i = 0; i < 20; i++)
    CU_ASSERT (pick (f, 0, 99, &p));
  CU_ASSERT (rte_in_flight (f->rte[0], home) < 10);
  talloc_free (f);
}

static void
request_complete (fixture_t *f, const rte_pick_t *p)
{
  run (f, 30);
  rte_first_byte (f->rte[0], f->env[0], p->handle);
  rte_finished (f->rte[0], f->env[0], p->handle);
}

static void
test_each_prefix_returns_to_its_own_upstream (void)
{
  fixture_t *f = fixture_setup (1);
  rte_pick_t p;
  for (uint64_t prefix = 1; prefix <= 8; prefix++)
    {
      rte_query_t first = { .deployment = "d",
                            .prefix = prefix,
                            .only = prefix % 2 ? "u0" : "u1" };
      CU_ASSERT (rte_pick (f->rte[0], f->env[0], &first, &p));
      request_complete (f, &p);
    }
  for (uint64_t prefix = 1; prefix <= 8; prefix++)
    {
      CU_ASSERT (pick (f, 0, prefix, &p));
      CU_ASSERT_STRING_EQUAL (p.upstream, prefix % 2 ? "u0" : "u1");
      request_complete (f, &p);
    }
  talloc_free (f);
}

static void
test_an_old_unanswered_request_weighs_more_than_new_ones (void)
{
  fixture_t *f = fixture_setup (1);
  rte_pick_t p;
  char name[16];
  rte_query_t query = { .deployment = "d", .only = name };
  (void)snprintf (name, sizeof name, "u0");
  CU_ASSERT (rte_pick (f->rte[0], f->env[0], &query, &p));
  run (f, 2000);
  for (int i = 1; i < UPSTREAMS; i++)
    for (int n = 0; n < 3; n++)
      {
        (void)snprintf (name, sizeof name, "u%d", i);
        CU_ASSERT (rte_pick (f->rte[0], f->env[0], &query, &p));
      }
  /* u0 has the fewest requests, but its request has waited for 2 s. */
  CU_ASSERT (pick (f, 0, 0, &p));
  CU_ASSERT_STRING_NOT_EQUAL (p.upstream, "u0");
  talloc_free (f);
}

static void
test_cache_events_route_a_prefix_to_its_upstream (void)
{
  fixture_t *f = fixture_setup (1);
  for (int i = 0; i < UPSTREAMS; i++)
    f->cache[i] = "{\"seq\":0,\"events\":[]}";
  f->cache[1] = "{\"seq\":9,\"events\":[{\"seq\":4,\"op\":\"add\","
                "\"prefix\":\"00000000000000ab\"},{\"seq\":9,\"op\":\"x\"}]}";
  run (f, 3000);
  rte_pick_t p;
  for (int i = 0; i < 3; i++)
    {
      CU_ASSERT (pick (f, 0, 0xab, &p));
      /* The VM polls u0 and u1; no VM of data centre y polls u2 and u3. */
      CU_ASSERT_STRING_EQUAL (p.upstream, "u1");
      rte_first_byte (f->rte[0], f->env[0], p.handle);
      rte_finished (f->rte[0], f->env[0], p.handle);
    }
  talloc_free (f);
}

static void
test_refusing_upstream_is_avoided_longer_each_time (void)
{
  fixture_t *f = fixture_setup (1);
  rte_pick_t p;
  unsigned attempts = 0;
  unsigned late_attempts = 0;
  for (int i = 0; i < 60 * 20; i++)
    {
      run (f, 50);
      CU_ASSERT (pick (f, 0, 0, &p));
      if (strcmp (p.upstream, "u0") == 0)
        {
          attempts++;
          late_attempts += i > 30 * 20;
          rte_failed (f->rte[0], f->env[0], p.handle, RTE_FAIL_REFUSED);
          continue;
        }
      rte_first_byte (f->rte[0], f->env[0], p.handle);
      rte_finished (f->rte[0], f->env[0], p.handle);
    }
  CU_ASSERT (attempts >= 3 && attempts <= 10);
  CU_ASSERT (late_attempts <= 4);
  talloc_free (f);
}

static void
test_flapping_upstream_gets_few_requests (void)
{
  fixture_t *f = fixture_setup (1);
  rte_pick_t p;
  unsigned failed = 0;
  unsigned all = 0;
  for (int i = 0; i < 60 * 20; i++)
    {
      run (f, 50);
      CU_ASSERT (pick (f, 0, 0, &p));
      all++;
      /* u0 works for one second, then fails for one second, in turn. */
      if (strcmp (p.upstream, "u0") == 0 && i / 20 % 2 == 1)
        {
          failed++;
          rte_failed (f->rte[0], f->env[0], p.handle, RTE_FAIL_REFUSED);
          continue;
        }
      rte_first_byte (f->rte[0], f->env[0], p.handle);
      rte_finished (f->rte[0], f->env[0], p.handle);
    }
  CU_ASSERT (failed <= 8);
  CU_ASSERT (all == 1200);
  talloc_free (f);
}

static void
test_silent_upstream_gets_no_more_after_the_first (void)
{
  fixture_t *f = fixture_setup (1);
  rte_pick_t p;
  unsigned to_u0 = 0;
  for (int i = 0; i < 100; i++)
    {
      run (f, 20);
      CU_ASSERT (pick (f, 0, 0, &p));
      if (strcmp (p.upstream, "u0") == 0)
        {
          /* The request neither gets a response nor fails. */
          to_u0++;
          continue;
        }
      rte_first_byte (f->rte[0], f->env[0], p.handle);
      rte_finished (f->rte[0], f->env[0], p.handle);
    }
  CU_ASSERT (to_u0 <= 3);
  talloc_free (f);
}

static void
test_leaving_upstream_gets_no_request_after_two_seconds (void)
{
  for (int vms = 1; vms <= 2; vms++)
    {
      fixture_t *f = fixture_setup (vms);
      rte_pick_t p;
      run (f, 5000);
      f->load[0] = "{\"running\":0,\"waiting\":0,\"slots\":4,\"seq\":2,"
                   "\"leaving\":true}";
      run (f, 2000);
      for (int i = 0; i < 20; i++)
        for (int vm = 0; vm < vms; vm++)
          {
            CU_ASSERT (pick (f, vm, 0, &p));
            CU_ASSERT_STRING_NOT_EQUAL (p.upstream, "u0");
          }
      CU_ASSERT (rte_leaving (f->rte[0], f->env[0], "u0"));
      CU_ASSERT_EQUAL (rte_idle_slots (f->rte[0], f->env[0], "u0"), 0);
      talloc_free (f);
    }
}

/* Guards against a new start that gets no requests because the poller, whose
 * list is old, goes on reporting what the start before it said. */
static void
test_report_on_an_earlier_start_does_not_bar_a_new_one (void)
{
  fixture_t *f = fixture_setup (2);
  int other = rte_polls (f->rte[0], f->env[0], "u0") ? 1 : 0;
  for (int vm = 0; vm < 2; vm++)
    {
      cfg_doc_t *first = document (f, NULL);
      first->upstreams[0].born = 1;
      rte_config_changed (f->rte[vm], f->env[vm], first);
    }
  f->load[0] = "{\"running\":0,\"waiting\":0,\"slots\":4,\"seq\":2,"
               "\"leaving\":true}";
  run (f, 3 * CLK_SECOND);
  CU_ASSERT (rte_leaving (f->rte[other], f->env[other], "u0"));
  f->load[0] = NULL;
  cfg_doc_t *doc = document (f, NULL);
  doc->upstreams[0].born = 2;
  doc->upstreams[0].address = "10.0.0.9:80";
  rte_config_changed (f->rte[other], f->env[other], doc);
  CU_ASSERT (!rte_leaving (f->rte[other], f->env[other], "u0"));
  run (f, 3 * CLK_SECOND);
  CU_ASSERT (!rte_leaving (f->rte[other], f->env[other], "u0"));
  talloc_free (f);
}

static void
test_document_can_say_leaving_and_remove (void)
{
  fixture_t *f = fixture_setup (1);
  rte_pick_t p;
  CU_ASSERT (rte_pick (f->rte[0], f->env[0],
                       &(rte_query_t){ .deployment = "d", .only = "u1" }, &p));
  rte_config_changed (f->rte[0], f->env[0], document (f, "u1"));
  rte_pick_t q;
  CU_ASSERT_FALSE (rte_pick (f->rte[0], f->env[0],
                             &(rte_query_t){ .deployment = "d", .only = "u1" },
                             &q));
  /* The request in flight there continues and still counts. */
  CU_ASSERT_EQUAL (rte_in_flight (f->rte[0], "u1"), 1);
  rte_finished (f->rte[0], f->env[0], p.handle);
  CU_ASSERT_EQUAL (rte_in_flight (f->rte[0], "u1"), 0);
  rte_finished (f->rte[0], f->env[0], p.handle);
  talloc_free (f);
}

static void
test_each_upstream_has_one_poller_and_its_reports_reach_the_other (void)
{
  fixture_t *f = fixture_setup (2);
  f->load[0] = f->load[1]
      = "{\"running\":3,\"waiting\":2,\"slots\":4,\"seq\":1}";
  run (f, 4000);
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
  fixture_t *f = fixture_setup (2);
  rte_pick_t p;
  run (f, 1000);
  for (int i = 0; i < 3; i++)
    CU_ASSERT (rte_pick (f->rte[0], f->env[0],
                         &(rte_query_t){ .deployment = "d", .only = "u0" },
                         &p));
  run (f, 1000);
  CU_ASSERT_EQUAL (rte_idle_slots (f->rte[1], f->env[1], "u0"), 1);
  CU_ASSERT_EQUAL (rte_idle_slots (f->rte[0], f->env[0], "u0"), 1);
  CU_ASSERT (pick (f, 1, 0, &p));
  CU_ASSERT_STRING_NOT_EQUAL (p.upstream, "u0");
  talloc_free (f);
}

static void
test_an_upstream_that_reports_false_load_gets_no_more (void)
{
  fixture_t *f = fixture_setup (2);
  rte_pick_t p;
  /* u0 reports that it is idle; both VMs know their requests there. */
  for (int i = 0; i < 16; i++)
    {
      CU_ASSERT (pick (f, i % 2, 0, &p));
      run (f, 300);
      rte_first_byte (f->rte[i % 2], f->env[i % 2], p.handle);
    }
  CU_ASSERT (rte_in_flight (f->rte[0], "u0") + rte_in_flight (f->rte[1], "u0")
             <= 6);
  talloc_free (f);
}

static void
test_silent_poll_marks_load_unknown (void)
{
  fixture_t *f = fixture_setup (1);
  run (f, 1000);
  CU_ASSERT_EQUAL (rte_idle_slots (f->rte[0], f->env[0], "u0"), 4);
  f->load[0] = NULL;
  run (f, 2000);
  CU_ASSERT_EQUAL (rte_idle_slots (f->rte[0], f->env[0], "u0"), 0);
  f->load[0] = "not json at all";
  run (f, 2000);
  CU_ASSERT_EQUAL (rte_idle_slots (f->rte[0], f->env[0], "u0"), 0);
  f->load[0] = "{\"running\":1,\"waiting\":0,\"slots\":4,\"seq\":1}";
  run (f, 1000);
  CU_ASSERT (rte_idle_slots (f->rte[0], f->env[0], "u0") >= 3);
  talloc_free (f);
}

/* Guards against a report that is put together from parts of one that is too
 * large. */
static void
test_poll_that_is_too_large_fails (void)
{
  fixture_t *f = fixture_setup (1);
  char *report = talloc_asprintf (
      f, "{\"running\":0,\"waiting\":0,\"slots\":4,\"seq\":1%*s",
      (int)(5 * BODY_PIECE), "}");
  size_t end = strlen (report);
  report[5 * BODY_PIECE] = '}';
  report[end - 1] = ' ';
  f->load[0] = report;
  run (f, 2000);
  CU_ASSERT (f->polls[0] > 0);
  CU_ASSERT_EQUAL (rte_idle_slots (f->rte[0], f->env[0], "u0"), 0);
  CU_ASSERT_EQUAL (upc_count (f->env[0]->upc), 0);
  talloc_free (f);
}

static void
test_full_is_reported_apart_from_none (void)
{
  fixture_t *f = fixture_setup (1);
  rte_pick_t p;
  rte_query_t query = { .deployment = "d", .skip_full = true };
  unsigned sent = 0;
  while (sent < 100 && rte_pick (f->rte[0], f->env[0], &query, &p))
    sent++;
  /* Each of the four upstreams has four slots and a queue of two. */
  CU_ASSERT_EQUAL (sent, 24);
  CU_ASSERT (p.full);
  query.deployment = "unknown";
  CU_ASSERT_FALSE (rte_pick (f->rte[0], f->env[0], &query, &p));
  CU_ASSERT_FALSE (p.full);
  talloc_free (f);
}

static void
test_bad_messages_are_counted_and_dropped (void)
{
  fixture_t *f = fixture_setup (2);
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
  CU_ASSERT (pick (f, 0, 0, &p));
  g_rand_free (rand);
  talloc_free (f);
}

/** Lets VM receive a report of FROM that u0 is leaving. */
static void
report_leaving (fixture_t *f, int vm, const char *from)
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
  fixture_t *f = fixture_setup (2);
  run (f, 500);
  int vm = rte_polls (f->rte[0], f->env[0], "u0") ? 1 : 0;
  report_leaving (f, vm, "c");
  CU_ASSERT_FALSE (rte_leaving (f->rte[vm], f->env[vm], "u0"));
  report_leaving (f, vm, vm_name[1 - vm]);
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
  fixture_t *f = fixture_setup (1);
  cfg_doc_t *doc = document (f, NULL);
  for (size_t i = 0; i < doc->upstream_count; i++)
    doc->upstreams[i].fixed_identity = true;
  rte_config_changed (f->rte[0], f->env[0], doc);
  unsigned queries = 0;
  run (f, 500);
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
      effects_apply (f, 0);
    }
  CU_ASSERT (queries > 0);
  talloc_free (f);
}

static void
test_prefix_hash_matches_that_of_the_cache_events (void)
{
  /* SHA-256 of "abc" begins with ba7816bf8f01cfea. */
  CU_ASSERT_EQUAL (rte_prefix (buf_str ("abc")), 0xba7816bf8f01cfeaU);
  char text[400];
  memset (text, 'x', sizeof text);
  CU_ASSERT_EQUAL (rte_prefix ((buf_t){ .p = text, .n = 256 }),
                   rte_prefix ((buf_t){ .p = text, .n = 400 }));
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
    { "load_is_spread_over_all", test_load_is_spread_over_all },
    { "own_data_centre_is_preferred", test_own_data_centre_is_preferred },
    { "prefix_returns_to_its_upstream_until_that_is_loaded",
      test_prefix_returns_to_its_upstream_until_that_is_loaded },
    { "each_prefix_returns_to_its_own_upstream",
      test_each_prefix_returns_to_its_own_upstream },
    { "an_old_unanswered_request_weighs_more_than_new_ones",
      test_an_old_unanswered_request_weighs_more_than_new_ones },
    { "cache_events_route_a_prefix_to_its_upstream",
      test_cache_events_route_a_prefix_to_its_upstream },
    { "refusing_upstream_is_avoided_longer_each_time",
      test_refusing_upstream_is_avoided_longer_each_time },
    { "flapping_upstream_gets_few_requests",
      test_flapping_upstream_gets_few_requests },
    { "silent_upstream_gets_no_more_after_the_first",
      test_silent_upstream_gets_no_more_after_the_first },
    { "leaving_upstream_gets_no_request_after_two_seconds",
      test_leaving_upstream_gets_no_request_after_two_seconds },
    { "report_on_an_earlier_start_does_not_bar_a_new_one",
      test_report_on_an_earlier_start_does_not_bar_a_new_one },
    { "document_can_say_leaving_and_remove",
      test_document_can_say_leaving_and_remove },
    { "each_upstream_has_one_poller_and_its_reports_reach_the_other",
      test_each_upstream_has_one_poller_and_its_reports_reach_the_other },
    { "requests_of_the_other_vm_count", test_requests_of_the_other_vm_count },
    { "an_upstream_that_reports_false_load_gets_no_more",
      test_an_upstream_that_reports_false_load_gets_no_more },
    { "silent_poll_marks_load_unknown", test_silent_poll_marks_load_unknown },
    { "pollers_of_unused_upstreams_get_few_messages",
      test_pollers_of_unused_upstreams_get_few_messages },
    { "poll_that_is_too_large_fails", test_poll_that_is_too_large_fails },
    { "full_is_reported_apart_from_none",
      test_full_is_reported_apart_from_none },
    { "bad_messages_are_counted_and_dropped",
      test_bad_messages_are_counted_and_dropped },
    { "report_of_a_former_poller_is_ignored",
      test_report_of_a_former_poller_is_ignored },
    { "load_query_names_its_upstream", test_load_query_names_its_upstream },
    { "prefix_hash_matches_that_of_the_cache_events",
      test_prefix_hash_matches_that_of_the_cache_events },
  };
  return tst_run ("rte", cases, sizeof cases / sizeof cases[0]);
}

/** @file
 * Routing: the choice of an upstream, prefixes, failing and leaving upstreams.
 */
#include "rtebed.h"
#include "tst.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

static void
test_load_is_spread_over_all (void)
{
  rtebed_t *f = rtebed_setup (1);
  rte_pick_t p;
  for (int i = 0; i < 4 * RTEBED_UPSTREAMS; i++)
    CU_ASSERT (rtebed_pick (f, 0, 0, &p));
  char name[16];
  for (int i = 0; i < RTEBED_UPSTREAMS; i++)
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
  rtebed_t *f = rtebed_setup (1);
  rte_pick_t p;
  CU_ASSERT (rtebed_pick (f, 0, 0, &p) && p.upstream[1] < '2');
  CU_ASSERT (rtebed_pick (f, 0, 0, &p) && p.upstream[1] < '2');
  for (int i = 0; i < 10; i++)
    CU_ASSERT (rtebed_pick (f, 0, 0, &p));
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
  rtebed_t *f = rtebed_setup (1);
  rte_pick_t p;
  CU_ASSERT (rtebed_pick (f, 0, 99, &p));
  char home[8];
  (void)snprintf (home, sizeof home, "%s", p.upstream);
  f->env[0]->now = f->now += 20;
  rte_first_byte (f->rte[0], f->env[0], p.handle);
  rte_finished (f->rte[0], f->env[0], p.handle);
  for (int i = 0; i < 3; i++)
    {
      CU_ASSERT (rtebed_pick (f, 0, 99, &p));
      CU_ASSERT_STRING_EQUAL (p.upstream, home);
      rte_first_byte (f->rte[0], f->env[0], p.handle);
      rte_finished (f->rte[0], f->env[0], p.handle);
    }
  /* Load limits affinity: 20 concurrent requests do not all go there. */
  for (int i = 0; i < 20; i++)
    CU_ASSERT (rtebed_pick (f, 0, 99, &p));
  CU_ASSERT (rte_in_flight (f->rte[0], home) < 10);
  talloc_free (f);
}

static void
request_complete (rtebed_t *f, const rte_pick_t *p)
{
  rtebed_run (f, 30);
  rte_first_byte (f->rte[0], f->env[0], p->handle);
  rte_finished (f->rte[0], f->env[0], p->handle);
}

static void
test_each_prefix_returns_to_its_own_upstream (void)
{
  rtebed_t *f = rtebed_setup (1);
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
      CU_ASSERT (rtebed_pick (f, 0, prefix, &p));
      CU_ASSERT_STRING_EQUAL (p.upstream, prefix % 2 ? "u0" : "u1");
      request_complete (f, &p);
    }
  talloc_free (f);
}

static void
test_an_old_unanswered_request_weighs_more_than_new_ones (void)
{
  rtebed_t *f = rtebed_setup (1);
  rte_pick_t p;
  char name[16];
  rte_query_t query = { .deployment = "d", .only = name };
  (void)snprintf (name, sizeof name, "u0");
  CU_ASSERT (rte_pick (f->rte[0], f->env[0], &query, &p));
  rtebed_run (f, 2000);
  for (int i = 1; i < RTEBED_UPSTREAMS; i++)
    for (int n = 0; n < 3; n++)
      {
        (void)snprintf (name, sizeof name, "u%d", i);
        CU_ASSERT (rte_pick (f->rte[0], f->env[0], &query, &p));
      }
  /* u0 has the fewest requests, but its request has waited for 2 s. */
  CU_ASSERT (rtebed_pick (f, 0, 0, &p));
  CU_ASSERT_STRING_NOT_EQUAL (p.upstream, "u0");
  talloc_free (f);
}

static void
test_cache_events_route_a_prefix_to_its_upstream (void)
{
  rtebed_t *f = rtebed_setup (1);
  for (int i = 0; i < RTEBED_UPSTREAMS; i++)
    f->cache[i] = "{\"seq\":0,\"events\":[]}";
  f->cache[1] = "{\"seq\":9,\"events\":[{\"seq\":4,\"op\":\"add\","
                "\"prefix\":\"00000000000000ab\"},{\"seq\":9,\"op\":\"x\"}]}";
  rtebed_run (f, 3000);
  rte_pick_t p;
  for (int i = 0; i < 3; i++)
    {
      CU_ASSERT (rtebed_pick (f, 0, 0xab, &p));
      /* The VM polls u0 and u1; no VM of data centre y polls u2 and u3. */
      CU_ASSERT_STRING_EQUAL (p.upstream, "u1");
      rte_first_byte (f->rte[0], f->env[0], p.handle);
      rte_finished (f->rte[0], f->env[0], p.handle);
    }
  talloc_free (f);
}

/* Asserts that u0, each request to which ends with FAIL, gets fewer and fewer
 * of one every 50 ms in 60 s. */
static void
check_avoided_longer_each_time (rte_fail_t fail)
{
  rtebed_t *f = rtebed_setup (1);
  rte_pick_t p;
  unsigned attempts = 0;
  unsigned late_attempts = 0;
  for (int i = 0; i < 60 * 20; i++)
    {
      rtebed_run (f, 50);
      CU_ASSERT (rtebed_pick (f, 0, 0, &p));
      if (strcmp (p.upstream, "u0") == 0)
        {
          attempts++;
          late_attempts += i > 30 * 20;
          rte_failed (f->rte[0], f->env[0], p.handle, fail);
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
test_refusing_upstream_is_avoided_longer_each_time (void)
{
  check_avoided_longer_each_time (RTE_FAIL_REFUSED);
}

/* Guards against 421 making an upstream suspected: a condition of a caller's
 * own brings it too, so that one caller could have all upstreams left out. */
static void
test_misdirected_request_suspects_nobody (void)
{
  rtebed_t *f = rtebed_setup (1);
  rte_pick_t p;
  unsigned attempts = 0;
  for (int i = 0; i < 60 * 20; i++)
    {
      rtebed_run (f, 50);
      CU_ASSERT (rtebed_pick (f, 0, 0, &p));
      attempts += strcmp (p.upstream, "u0") == 0;
      rte_failed (f->rte[0], f->env[0], p.handle, rte_not_run_fail (421));
    }
  /* Half of them: the other upstream of the data centre is as good. */
  CU_ASSERT (attempts >= 400 && attempts <= 800);
  CU_ASSERT_EQUAL (rte_not_run_fail (503), RTE_FAIL_CANCELLED);
  talloc_free (f);
}

static void
test_flapping_upstream_gets_few_requests (void)
{
  rtebed_t *f = rtebed_setup (1);
  rte_pick_t p;
  unsigned failed = 0;
  unsigned all = 0;
  for (int i = 0; i < 60 * 20; i++)
    {
      rtebed_run (f, 50);
      CU_ASSERT (rtebed_pick (f, 0, 0, &p));
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
  rtebed_t *f = rtebed_setup (1);
  rte_pick_t p;
  unsigned to_u0 = 0;
  for (int i = 0; i < 100; i++)
    {
      rtebed_run (f, 20);
      CU_ASSERT (rtebed_pick (f, 0, 0, &p));
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
      rtebed_t *f = rtebed_setup (vms);
      rte_pick_t p;
      rtebed_run (f, 5000);
      f->load[0] = "{\"running\":0,\"waiting\":0,\"slots\":4,\"seq\":2,"
                   "\"leaving\":true}";
      rtebed_run (f, 2000);
      for (int i = 0; i < 20; i++)
        for (int vm = 0; vm < vms; vm++)
          {
            CU_ASSERT (rtebed_pick (f, vm, 0, &p));
            CU_ASSERT_STRING_NOT_EQUAL (p.upstream, "u0");
          }
      CU_ASSERT (rte_leaving (f->rte[0], f->env[0], "u0"));
      CU_ASSERT_EQUAL (rte_idle_slots (f->rte[0], f->env[0], "u0"), 0);
      talloc_free (f);
    }
}

static void
test_document_can_say_leaving_and_remove (void)
{
  rtebed_t *f = rtebed_setup (1);
  rte_pick_t p;
  CU_ASSERT (rte_pick (f->rte[0], f->env[0],
                       &(rte_query_t){ .deployment = "d", .only = "u1" }, &p));
  rte_config_changed (f->rte[0], f->env[0], rtebed_document (f, "u1"));
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
test_full_is_reported_apart_from_none (void)
{
  rtebed_t *f = rtebed_setup (1);
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
test_prefix_hash_matches_that_of_the_cache_events (void)
{
  /* SHA-256 of "abc" begins with ba7816bf8f01cfea. */
  CU_ASSERT_EQUAL (rte_prefix (buf_str ("abc")), 0xba7816bf8f01cfeaU);
  char text[400];
  memset (text, 'x', sizeof text);
  CU_ASSERT_EQUAL (rte_prefix ((buf_t){ .p = text, .n = 256 }),
                   rte_prefix ((buf_t){ .p = text, .n = 400 }));
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
    { "misdirected_request_suspects_nobody",
      test_misdirected_request_suspects_nobody },
    { "flapping_upstream_gets_few_requests",
      test_flapping_upstream_gets_few_requests },
    { "silent_upstream_gets_no_more_after_the_first",
      test_silent_upstream_gets_no_more_after_the_first },
    { "leaving_upstream_gets_no_request_after_two_seconds",
      test_leaving_upstream_gets_no_request_after_two_seconds },
    { "document_can_say_leaving_and_remove",
      test_document_can_say_leaving_and_remove },
    { "full_is_reported_apart_from_none",
      test_full_is_reported_apart_from_none },
    { "prefix_hash_matches_that_of_the_cache_events",
      test_prefix_hash_matches_that_of_the_cache_events },
  };
  return tst_run ("rte", cases, sizeof cases / sizeof cases[0]);
}

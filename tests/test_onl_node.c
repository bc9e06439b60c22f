/** @file
 * Tests of online requests with whole nodes: keys and their withdrawal, rates,
 * records, killed and frozen VMs, platform outages.
 */
#include "flt.h"
#include "tst.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

/** Configuration with the SHA-256 of the API keys "key-a" and "key-c" of
 * customer large and "key-b" of customer small. */
static char *
document (void *ctx)
{
  char *a = g_compute_checksum_for_string (G_CHECKSUM_SHA256, "key-a", -1);
  char *b = g_compute_checksum_for_string (G_CHECKSUM_SHA256, "key-b", -1);
  char *c = g_compute_checksum_for_string (G_CHECKSUM_SHA256, "key-c", -1);
  char *text = talloc_asprintf (
      ctx,
      "[data-centre dc-0]\nowner = t\n[data-centre dc-1]\nowner = t\n"
      "[customer large]\nowner = t\nrate = 200/s\nburst = 400\n"
      "[customer small]\nowner = t\nrate = 5/s\nburst = 10\n"
      "[key ka]\nowner = t\ncustomer = large\nsha256 = %s\n"
      "[key kc]\nowner = t\ncustomer = large\nsha256 = %s\n"
      "[key kb]\nowner = t\ncustomer = small\nsha256 = %s\n"
      "[deployment llm]\nowner = t\nkind = plain\nslots = 8\n"
      "[deployment cloth]\nowner = t\nkind = plain\nslots = 8\n"
      "[upstream e0]\nowner = t\ndeployment = llm\ndata_centre = dc-0\n"
      "address = 10.0.0.1:80\n"
      "[upstream e1]\nowner = t\ndeployment = llm\ndata_centre = dc-1\n"
      "address = 10.0.0.2:80\n"
      "[upstream p0]\nowner = t\ndeployment = cloth\ndata_centre = dc-0\n"
      "address = 10.0.0.3:80\n"
      "[route POST /ask]\nowner = t\ndeployment = llm\nidempotent = yes\n"
      "deadline = 5 s\n"
      "[route POST /orders]\nowner = t\ndeployment = cloth\n"
      "deadline = 3 s\n",
      a, c, b);
  g_free (a);
  g_free (c);
  g_free (b);
  return text;
}

static flt_t *
fleet_with (uint32_t seed, clk_ms_t upstream_ms)
{
  char *text = document (NULL);
  flt_t *f = flt_setup (NULL, &(flt_desc_t){ .seed = seed,
                                             .data_centres = 2,
                                             .vms = 2,
                                             .upstream_ms = upstream_ms,
                                             .document = text });
  talloc_free (text);
  /* Rate limits start with empty token buckets; let them fill. */
  flt_run (f, flt_now (f) + 10 * CLK_SECOND);
  return f;
}

static flt_t *
fleet (uint32_t seed)
{
  return fleet_with (seed, 20);
}

static uint64_t
send_request (flt_t *f, size_t vm, const char *key, const char *body)
{
  return flt_request (f, vm,
                      &(flt_request_t){ .method = "POST",
                                        .path = "/ask",
                                        .query = "",
                                        .key = key,
                                        .body = body });
}

static uint64_t
send_order_with_key (flt_t *f, size_t vm, const char *key,
                     const char *idempotency_key)
{
  return flt_request (f, vm,
                      &(flt_request_t){ .method = "POST",
                                        .path = "/orders",
                                        .query = "",
                                        .key = key,
                                        .idempotency_key = idempotency_key,
                                        .body = "cut" });
}

static uint64_t
send_order (flt_t *f, size_t vm, const char *idempotency_key)
{
  return send_order_with_key (f, vm, "key-a", idempotency_key);
}

/** Let MS of virtual time pass. */
static void
run_for (flt_t *f, clk_ms_t ms)
{
  flt_run (f, flt_now (f) + ms);
}

static bool
body_contains (const flt_response_t *response, const char *text)
{
  return response->body != NULL && strstr (response->body, text) != NULL;
}

static void
test_key_rate_and_route (void)
{
  flt_t *f = fleet (1);
  uint64_t good = send_request (f, 0, "key-a", "one");
  uint64_t unknown = send_request (f, 1, "key-x", "two");
  uint64_t none = send_request (f, 2, NULL, "three");
  uint64_t keyless = send_order (f, 3, NULL);
  run_for (f, CLK_SECOND);
  CU_ASSERT_EQUAL (flt_response (f, good)->status, 200);
  CU_ASSERT (body_contains (flt_response (f, good), "one"));
  CU_ASSERT_EQUAL (flt_response (f, unknown)->status, 401);
  CU_ASSERT_EQUAL (flt_response (f, none)->status, 401);
  CU_ASSERT_EQUAL (flt_response (f, keyless)->status, 400);
  CU_ASSERT_EQUAL (flt_run_count (f, "two"), 0);
  CU_ASSERT_EQUAL (flt_run_count (f, "three"), 0);
  CU_ASSERT_FALSE (flt_upstream_received (f, "key-a"));
  talloc_free (f);
}

static void
test_over_the_rate_is_refused_and_not_run (void)
{
  flt_t *f = fleet (2);
  uint64_t id[100];
  char body[32];
  unsigned ok = 0;
  for (int i = 0; i < 100; i++)
    {
      g_snprintf (body, sizeof body, "small-%d.", i);
      id[i] = send_request (f, (size_t)i % 4, "key-b", body);
    }
  run_for (f, 2 * CLK_SECOND);
  for (int i = 0; i < 100; i++)
    {
      const flt_response_t *response = flt_response (f, id[i]);
      g_snprintf (body, sizeof body, "small-%d.", i);
      ok += response->status == 200;
      CU_ASSERT (response->status == 200 || response->status == 429);
      if (response->status == 429)
        {
          CU_ASSERT (body_contains (response, "not-run"));
          CU_ASSERT_EQUAL (flt_run_count (f, body), 0);
        }
    }
  /* A burst of 10, and 5 a second for 2 s. */
  CU_ASSERT (ok >= 5 && ok <= 20);
  talloc_free (f);
}

static void
test_order_resent_elsewhere_runs_once (void)
{
  flt_t *f = fleet (3);
  uint64_t first = send_order (f, 0, "o-1");
  run_for (f, CLK_SECOND);
  uint64_t resent = send_order (f, 3, "o-1");
  run_for (f, CLK_SECOND);
  CU_ASSERT_EQUAL (flt_response (f, first)->status, 200);
  CU_ASSERT_EQUAL (flt_response (f, resent)->status, 200);
  CU_ASSERT_STRING_EQUAL (flt_response (f, first)->body,
                          flt_response (f, resent)->body);
  CU_ASSERT_EQUAL (flt_run_count (f, "o-1"), 1);
  talloc_free (f);
}

static void
test_platform_down_refuses_orders_and_serves_other_routes (void)
{
  flt_t *f = fleet (4);
  flt_platform_set (f, FLT_PLATFORM_DOWN);
  run_for (f, 5 * CLK_SECOND);
  uint64_t o = send_order (f, 0, "o-2");
  uint64_t a = send_request (f, 1, "key-a", "still");
  run_for (f, CLK_SECOND);
  CU_ASSERT_EQUAL (flt_response (f, o)->status, 503);
  /* The VM cannot read whether an earlier order with this key ran. */
  CU_ASSERT (body_contains (flt_response (f, o), "no-record"));
  CU_ASSERT_FALSE (body_contains (flt_response (f, o), "not-run"));
  CU_ASSERT_EQUAL (flt_run_count (f, "o-2"), 0);
  CU_ASSERT_EQUAL (flt_response (f, a)->status, 200);
  flt_platform_set (f, FLT_PLATFORM_OK);
  run_for (f, 10 * CLK_SECOND);
  uint64_t resent = send_order (f, 2, "o-2");
  run_for (f, 2 * CLK_SECOND);
  CU_ASSERT_EQUAL (flt_response (f, resent)->status, 200);
  CU_ASSERT_EQUAL (flt_run_count (f, "o-2"), 1);
  talloc_free (f);
}

/** Send orders, each several times, to random VMs, while VMs are killed,
 * started and frozen and the platform loses replies.  No order may run
 * twice. */
static void
orders_under_faults (uint32_t seed)
{
  flt_t *f = fleet (seed);
  GRand *rand = flt_rand (f);
  char key[32];
  uint64_t id[240];
  unsigned kills[4] = { 0 };
  unsigned kills_before[240];
  size_t at[240];
  for (int i = 0; i < 240; i++)
    {
      size_t vm = (size_t)g_rand_int_range (rand, 0, 4);
      g_snprintf (key, sizeof key, "o%u-%d.", seed, i % 60);
      while (!flt_alive (f, vm))
        vm = (vm + 1) % 4;
      id[i] = send_order (f, vm, key);
      at[i] = vm;
      kills_before[i] = kills[vm];
      run_for (f, g_rand_int_range (rand, 1, 60));
      size_t victim = (size_t)g_rand_int_range (rand, 1, 4);
      double action = g_rand_double (rand);
      if (action < 0.03 && flt_alive (f, victim))
        {
          flt_kill (f, victim);
          kills[victim]++;
        }
      else if (action < 0.10 && !flt_alive (f, victim))
        flt_start (f, victim);
      else if (action < 0.13 && flt_alive (f, victim))
        flt_freeze (f, victim,
                    flt_now (f) + g_rand_int_range (rand, 10, 6000));
      if (i % 60 == 20)
        flt_platform_set (f, FLT_PLATFORM_LOSE_RESPONSES);
      if (i % 60 == 40)
        flt_platform_set (f, FLT_PLATFORM_OK);
    }
  flt_platform_set (f, FLT_PLATFORM_OK);
  run_for (f, 20 * CLK_SECOND);
  unsigned ok = 0;
  for (int i = 0; i < 240; i++)
    {
      const flt_response_t *response = flt_response (f, id[i]);
      g_snprintf (key, sizeof key, "o%u-%d.", seed, i % 60);
      CU_ASSERT (flt_run_count (f, key) <= 1);
      CU_ASSERT (response->ended || response->aborted
                 || kills[at[i]] > kills_before[i]);
      ok += response->status == 200;
      if (response->status == 200)
        CU_ASSERT_EQUAL (flt_run_count (f, key), 1);
    }
  CU_ASSERT (ok > 20);
  talloc_free (f);
}

static void
test_orders_under_kills_freezes_and_lost_replies (void)
{
  for (uint32_t seed = 20; seed < 28; seed++)
    orders_under_faults (seed);
}

/* A node that was frozen while its record was made must not send the order
 * after the deadline: the caller may have repeated the order elsewhere. */
static void
test_frozen_between_record_and_send (void)
{
  flt_t *f = fleet (5);
  uint64_t first = send_order (f, 1, "o-3");
  /* The platform makes the record.  The node is frozen before the reply comes
   * and until after the deadline. */
  run_for (f, 2);
  flt_freeze (f, 1, flt_now (f) + 20 * CLK_SECOND);
  run_for (f, 4 * CLK_SECOND);
  CU_ASSERT_EQUAL (flt_run_count (f, "o-3"), 0);
  uint64_t second = send_order (f, 2, "o-3");
  run_for (f, CLK_SECOND);
  CU_ASSERT_EQUAL (flt_response (f, second)->status, 409);
  CU_ASSERT_FALSE (body_contains (flt_response (f, second), "not-run"));
  run_for (f, 30 * CLK_SECOND);
  CU_ASSERT_EQUAL (flt_run_count (f, "o-3"), 0);
  /* The first node never read the record, so an earlier order may have run. */
  CU_ASSERT_EQUAL (flt_response (f, first)->status, 504);
  CU_ASSERT_FALSE (body_contains (flt_response (f, first), "not-run"));
  /* The order did not run, so the next one with its key may. */
  uint64_t third = send_order (f, 2, "o-3");
  run_for (f, 2 * CLK_SECOND);
  CU_ASSERT_EQUAL (flt_response (f, third)->status, 200);
  CU_ASSERT_EQUAL (flt_run_count (f, "o-3"), 1);
  talloc_free (f);
}

static void
test_requests_fail_over_to_the_other_data_centre (void)
{
  flt_t *f = fleet (6);
  flt_upstream_set (f, "10.0.0.1:80", FLT_UPSTREAM_REFUSE);
  uint64_t id[40];
  for (int i = 0; i < 40; i++)
    {
      id[i] = send_request (f, (size_t)i % 4, "key-a", "over");
      run_for (f, 50);
    }
  run_for (f, 2 * CLK_SECOND);
  for (int i = 0; i < 40; i++)
    CU_ASSERT_EQUAL (flt_response (f, id[i])->status, 200);
  talloc_free (f);
}

static void
test_order_of_a_withdrawn_key_completes_its_record (void)
{
  flt_t *f = fleet_with (8, 300);
  uint64_t running = send_order (f, 0, "o-4");
  run_for (f, 100);
  CU_ASSERT_EQUAL (flt_run_count (f, "o-4"), 1);
  uint64_t withdrawal
      = flt_request (f, 0,
                     &(flt_request_t){ .method = "POST",
                                       .path = "/v1/operator/keys/withdraw",
                                       .query = "",
                                       .key = FLT_OPERATOR_TOKEN,
                                       .body = "{\"name\":\"ka\"}" });
  run_for (f, 20);
  CU_ASSERT_EQUAL (flt_response (f, running)->status, 401);
  CU_ASSERT (body_contains (flt_response (f, running), "unknown"));
  run_for (f, 2 * CLK_SECOND);
  CU_ASSERT_EQUAL (flt_response (f, withdrawal)->status, 200);
  for (size_t vm = 0; vm < 4; vm++)
    {
      uint64_t next = send_order (f, vm, "o-5");
      uint64_t other = send_order_with_key (f, vm, "key-c", "o-4");
      run_for (f, CLK_SECOND);
      CU_ASSERT_EQUAL (flt_response (f, next)->status, 401);
      CU_ASSERT_EQUAL (flt_response (f, other)->status, 200);
    }
  CU_ASSERT_EQUAL (flt_run_count (f, "o-4"), 1);
  CU_ASSERT_EQUAL (flt_run_count (f, "o-5"), 0);
  talloc_free (f);
}

static void
test_withdrawn_key_ends_requests_on_every_vm (void)
{
  flt_t *f = fleet (9);
  flt_upstream_set (f, "10.0.0.1:80", FLT_UPSTREAM_SILENT);
  flt_upstream_set (f, "10.0.0.2:80", FLT_UPSTREAM_SILENT);
  uint64_t running[4];
  for (size_t vm = 0; vm < 4; vm++)
    running[vm] = send_request (f, vm, "key-a", "running");
  run_for (f, 100);
  (void)flt_request (f, 0,
                     &(flt_request_t){ .method = "POST",
                                       .path = "/v1/operator/keys/withdraw",
                                       .query = "",
                                       .key = FLT_OPERATOR_TOKEN,
                                       .body = "{\"name\":\"ka\"}" });
  run_for (f, 2 * CLK_SECOND);
  for (size_t vm = 0; vm < 4; vm++)
    {
      const flt_response_t *response = flt_response (f, running[vm]);
      CU_ASSERT_EQUAL (response->status, 401);
      /* The request was sent and may have run. */
      CU_ASSERT (body_contains (response, "key-withdrawn")
                 && body_contains (response, "unknown"));
      uint64_t next = send_request (f, vm, "key-a", "after");
      run_for (f, 100);
      CU_ASSERT_EQUAL (flt_response (f, next)->status, 401);
      CU_ASSERT (body_contains (flt_response (f, next), "not-run"));
    }
  CU_ASSERT_EQUAL (flt_run_count (f, "after"), 0);
  talloc_free (f);
}

static void
test_leaving_vm_finishes_and_exits (void)
{
  flt_t *f = fleet (7);
  uint64_t running = send_request (f, 0, "key-a", "running");
  run_for (f, 2);
  flt_leave (f, 0);
  /* Load balancers still send requests for a while, so this one is served. */
  uint64_t late = send_request (f, 0, "key-a", "late");
  run_for (f, 10 * CLK_SECOND);
  CU_ASSERT_EQUAL (flt_response (f, running)->status, 200);
  CU_ASSERT_EQUAL (flt_response (f, late)->status, 200);
  CU_ASSERT (flt_exited (f, 0));
  talloc_free (f);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "key_rate_and_route", test_key_rate_and_route },
    { "over_the_rate_is_refused_and_not_run",
      test_over_the_rate_is_refused_and_not_run },
    { "order_resent_elsewhere_runs_once",
      test_order_resent_elsewhere_runs_once },
    { "platform_down_refuses_orders_and_serves_other_routes",
      test_platform_down_refuses_orders_and_serves_other_routes },
    { "orders_under_kills_freezes_and_lost_replies",
      test_orders_under_kills_freezes_and_lost_replies },
    { "frozen_between_record_and_send", test_frozen_between_record_and_send },
    { "requests_fail_over_to_the_other_data_centre",
      test_requests_fail_over_to_the_other_data_centre },
    { "order_of_a_withdrawn_key_completes_its_record",
      test_order_of_a_withdrawn_key_completes_its_record },
    { "withdrawn_key_ends_requests_on_every_vm",
      test_withdrawn_key_ends_requests_on_every_vm },
    { "leaving_vm_finishes_and_exits", test_leaving_vm_finishes_and_exits },
  };
  return tst_run ("onl_node", cases, sizeof cases / sizeof cases[0]);
}

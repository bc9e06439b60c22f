/** @file
 * Routing: upstreams that fail a part of their requests; what two VMs tell
 * each other of them, probes, and that no upstream is ever excluded for it.
 */
#include "core/mpk.h"
#include "rtebed.h"
#include "tst.h"

#include <string.h>
#include <talloc.h>

/** A bed with VMS VMs that avoid failing upstreams. */
static rtebed_t *
bed (int vms)
{
  rtebed_t *f = rtebed_setup (vms);
  for (int i = 0; i < vms; i++)
    {
      f->rte[i] = rte_setup (
          f, &(rte_desc_t){ .members = f->members[i], .avoid_failing = true });
      rte_config_changed (f->rte[i], f->env[i], rtebed_document (f, NULL));
    }
  rtebed_run (f, 500);
  return f;
}

/** Sends a request of CUSTOMER from VM to UPSTREAM, which responds with
 * STATUS. */
static void
answer (rtebed_t *f, int vm, const char *upstream, const char *customer,
        int status)
{
  rte_pick_t p;
  TST_NEED (rte_pick (f->rte[vm], f->env[vm],
                      &(rte_query_t){ .deployment = "d", .only = upstream },
                      &p));
  rte_answer_status (f->rte[vm], f->env[vm], p.handle, status, customer);
  rte_first_byte (f->rte[vm], f->env[vm], p.handle);
  rte_finished (f->rte[vm], f->env[vm], p.handle);
  rtebed_effects_apply (f, vm);
}

/** Number of upstreams that VM suspects. */
static int
suspected (rtebed_t *f, int vm)
{
  int count = 0;
  char *text = rte_format (f, f->rte[vm], f->env[vm]);
  for (const char *p = text; (p = strstr (p, "\"failing\":true")) != NULL; p++)
    count++;
  return count;
}

/** Which of N requests of VM, one after another, go to UPSTREAM. */
static int
sent_to (rtebed_t *f, int vm, const char *upstream, bool repeatable, int n)
{
  int sent = 0;
  for (int i = 0; i < n; i++)
    {
      rte_pick_t p;
      rtebed_run (f, 10);
      if (!rte_pick (
              f->rte[vm], f->env[vm],
              &(rte_query_t){ .deployment = "d", .repeatable = repeatable },
              &p))
        continue;
      sent += strcmp (p.upstream, upstream) == 0;
      rte_failed (f->rte[vm], f->env[vm], p.handle, RTE_FAIL_CANCELLED);
    }
  return sent;
}

/* Guards against VMs that each lose requests to learn the same, and against
 * one customer that is counted as several because its requests arrive at
 * several VMs. */
static void
test_vms_share_what_they_have_seen (void)
{
  rtebed_t *f = bed (2);
  answer (f, 0, "u0", "c1", 500);
  answer (f, 1, "u0", "c1", 503);
  rtebed_run (f, 500);
  CU_ASSERT_EQUAL (suspected (f, 0) + suspected (f, 1), 0);
  answer (f, 1, "u0", "c2", 500);
  rtebed_run (f, 300);
  CU_ASSERT_EQUAL (suspected (f, 0), 1);
  CU_ASSERT_EQUAL (suspected (f, 1), 1);
  CU_ASSERT (sent_to (f, 0, "u0", false, 30) == 0);
  rtebed_run (f, 5000);
  CU_ASSERT_EQUAL (suspected (f, 0) + suspected (f, 1), 0);
  CU_ASSERT (sent_to (f, 0, "u0", false, 30) > 5);
  talloc_free (f);
}

/* Guards against a suspicion that no request tests, and against tests by
 * requests that may not be repeated while there are others. */
static void
test_probes (void)
{
  rtebed_t *f = bed (1);
  for (int i = 0; i < 6; i++)
    answer (f, 0, "u0", i % 2 ? "c1" : "c2", 500);
  rtebed_run (f, 1100);
  CU_ASSERT_EQUAL (suspected (f, 0), 1);
  CU_ASSERT_EQUAL (sent_to (f, 0, "u0", false, 1), 0);
  CU_ASSERT_EQUAL (sent_to (f, 0, "u0", true, 10), 1);
  CU_ASSERT_EQUAL (sent_to (f, 0, "u0", false, 60), 0);
  CU_ASSERT (sent_to (f, 0, "u0", false, 200) >= 1);
  for (int i = 0; i < 30; i++)
    answer (f, 0, "u0", "c3", 200);
  rtebed_run (f, 300);
  CU_ASSERT_EQUAL (suspected (f, 0), 0);
  talloc_free (f);
}

/* Guards against a probe that waits for a slot and misses its target, although
 * the requests ahead of it show as much. */
static void
test_no_probe_where_requests_wait (void)
{
  rtebed_t *f = bed (1);
  uint64_t handle[4];
  for (int i = 0; i < 6; i++)
    answer (f, 0, "u0", i % 2 ? "c1" : "c2", 500);
  rtebed_run (f, 100);
  CU_ASSERT_EQUAL (suspected (f, 0), 1);
  for (int i = 0; i < 4; i++)
    {
      rte_pick_t p;
      TST_NEED (rte_pick (f->rte[0], f->env[0],
                          &(rte_query_t){ .deployment = "d", .only = "u0" },
                          &p));
      handle[i] = p.handle;
      rte_first_byte (f->rte[0], f->env[0], handle[i]);
    }
  rtebed_run (f, 1300);
  CU_ASSERT_EQUAL (suspected (f, 0), 1);
  CU_ASSERT_EQUAL (sent_to (f, 0, "u0", true, 10), 0);
  for (int i = 0; i < 4; i++)
    rte_finished (f->rte[0], f->env[0], handle[i]);
  CU_ASSERT_EQUAL (sent_to (f, 0, "u0", true, 10), 1);
  talloc_free (f);
}

/* Guards against a suspicion that, with upstreams that are leaving or
 * suspected by failures of the connection, leaves none to send to. */
static void
test_the_last_upstream_is_used (void)
{
  rtebed_t *f = bed (1);
  for (int i = 0; i < 6; i++)
    answer (f, 0, "u0", i % 2 ? "c1" : "c2", 500);
  rtebed_run (f, 100);
  CU_ASSERT_EQUAL (suspected (f, 0), 1);
  cfg_doc_t *doc = rtebed_document (f, "u1");
  doc->upstreams[2].leaving = true;
  rte_config_changed (f->rte[0], f->env[0], doc);
  rte_pick_t p;
  TST_NEED (rte_pick (f->rte[0], f->env[0],
                      &(rte_query_t){ .deployment = "d", .only = "u3" }, &p));
  rte_failed (f->rte[0], f->env[0], p.handle, RTE_FAIL_REFUSED);
  rtebed_run (f, 10);
  CU_ASSERT (rtebed_pick (f, 0, 0, &p));
  CU_ASSERT_STRING_EQUAL (p.upstream, "u0");
  /* Only one upstream is usable: nothing is to be preferred to it. */
  rtebed_run (f, 200);
  CU_ASSERT_EQUAL (suspected (f, 0), 0);
  talloc_free (f);
}

/* Guards against what was seen of an earlier start of an upstream. */
static void
test_new_start_is_not_suspected (void)
{
  rtebed_t *f = bed (1);
  for (int i = 0; i < 6; i++)
    answer (f, 0, "u0", i % 2 ? "c1" : "c2", 500);
  rtebed_run (f, 100);
  CU_ASSERT_EQUAL (suspected (f, 0), 1);
  cfg_doc_t *doc = rtebed_document (f, NULL);
  doc->upstreams[0].born = 5;
  rte_config_changed (f->rte[0], f->env[0], doc);
  rtebed_run (f, 300);
  CU_ASSERT_EQUAL (suspected (f, 0), 0);
  talloc_free (f);
}

/* Guards against a suspicion that never ends: the upstream is missing from the
 * document for longer than failures are remembered, while a request runs
 * there. */
static void
test_suspicion_ends_while_unlisted (void)
{
  rtebed_t *f = bed (1);
  for (int i = 0; i < 6; i++)
    answer (f, 0, "u0", i % 2 ? "c1" : "c2", 500);
  rtebed_run (f, 100);
  CU_ASSERT_EQUAL (suspected (f, 0), 1);
  rte_pick_t p;
  TST_NEED (rte_pick (f->rte[0], f->env[0],
                      &(rte_query_t){ .deployment = "d", .only = "u0" }, &p));
  cfg_doc_t *doc = rtebed_document (f, NULL);
  doc->upstreams++;
  doc->upstream_count--;
  rte_config_changed (f->rte[0], f->env[0], doc);
  rtebed_run (f, 30 * CLK_SECOND);
  rte_config_changed (f->rte[0], f->env[0], rtebed_document (f, NULL));
  rtebed_run (f, CLK_SECOND);
  CU_ASSERT_EQUAL (suspected (f, 0), 0);
  rte_failed (f->rte[0], f->env[0], p.handle, RTE_FAIL_CANCELLED);
  talloc_free (f);
}

/** Lets VM receive, from FROM, message SEQ of KIND with FAILED failures of u0
 * for each of two customers, and GOOD successes. */
static void
message_of (rtebed_t *f, int vm, uint16_t kind, const char *from, uint64_t seq,
            uint64_t failed, uint64_t good, uint64_t customers)
{
  mpk_writer_t w;
  mpk_writer_init (&w, f);
  mpk_put_uint (&w, seq);
  mpk_put_str (&w, buf_str ("u0"));
  mpk_put_uint (&w, 0);
  mpk_put_uint (&w, failed * 2000);
  mpk_put_uint (&w, good * 1000);
  mpk_put_uint (&w, 10);
  mpk_put_uint (&w, customers);
  for (uint64_t i = 0; i < customers; i++)
    {
      mpk_put_uint (&w, i);
      mpk_put_uint (&w, failed * 1000);
    }
  rte_message_received (f->rte[vm], f->env[vm], from,
                        &(msg_t){ .kind = kind, .body = mpk_done (&w) });
}

/** The same for the sums that a poller sends. */
static void
message (rtebed_t *f, int vm, const char *from, uint64_t seq, uint64_t failed,
         uint64_t good, uint64_t customers)
{
  message_of (f, vm, MSG_ROUTE_FAILING_SUMS, from, seq, failed, good,
              customers);
}

/* Guards against a message that is old, foreign or garbled and changes what is
 * known. */
static void
test_old_and_garbled_messages (void)
{
  rtebed_t *f = bed (2);
  int vm = rte_polls (f->rte[0], f->env[0], "u0") ? 1 : 0;
  const char *poller = f->env[1 - vm]->vm;
  uint64_t seq = (uint64_t)1 << 60;
  message (f, vm, "stranger", seq, 3, 0, 2);
  rtebed_run (f, 50);
  CU_ASSERT_EQUAL (suspected (f, vm), 0);
  message (f, vm, poller, seq, 3, 0, 2);
  rtebed_run (f, 300);
  CU_ASSERT_EQUAL (suspected (f, vm), 1);
  message (f, vm, poller, seq - 1, 0, 50, 2);
  message (f, vm, poller, seq + 1, (uint64_t)1 << 50, 0, 2);
  message (f, vm, poller, seq + 2, 0, 50, 9);
  rtebed_run (f, 200);
  CU_ASSERT_EQUAL (suspected (f, vm), 1);
  CU_ASSERT_EQUAL (
      cnt_value (f->env[vm]->cnt, "rts_route_bad_messages_total", ""), 2);
  CU_ASSERT_EQUAL (
      cnt_value (f->env[vm]->cnt, "rts_route_failing_old_total", ""), 1);
  message (f, vm, poller, seq + 3, 0, 50, 0);
  rtebed_run (f, 200);
  CU_ASSERT_EQUAL (suspected (f, vm), 0);
  talloc_free (f);
}

/* Guards against a VM that is not heard for ever: its process has started
 * again after its clock was set back, so that the numbers of its messages are
 * lower than before. */
static void
test_numbers_that_go_back (void)
{
  static const uint16_t kinds[]
      = { MSG_ROUTE_FAILING, MSG_ROUTE_FAILING_SUMS };
  uint64_t seq = (uint64_t)1 << 60;
  for (size_t i = 0; i < 2; i++)
    {
      rtebed_t *f = bed (2);
      int poller = rte_polls (f->rte[0], f->env[0], "u0") ? 0 : 1;
      int vm = kinds[i] == MSG_ROUTE_FAILING ? poller : 1 - poller;
      const char *from = f->env[1 - vm]->vm;
      message_of (f, vm, kinds[i], from, seq, 3, 0, 2);
      rtebed_run (f, 100);
      CU_ASSERT_EQUAL (suspected (f, vm), 1);
      rtebed_run (f, 30 * CLK_SECOND);
      CU_ASSERT_EQUAL (suspected (f, vm), 0);
      message_of (f, vm, kinds[i], from, seq / 2, 3, 0, 2);
      rtebed_run (f, 300);
      CU_ASSERT_EQUAL (suspected (f, vm), 1);
      talloc_free (f);
    }
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "vms_share_what_they_have_seen", test_vms_share_what_they_have_seen },
    { "probes", test_probes },
    { "no_probe_where_requests_wait", test_no_probe_where_requests_wait },
    { "the_last_upstream_is_used", test_the_last_upstream_is_used },
    { "new_start_is_not_suspected", test_new_start_is_not_suspected },
    { "suspicion_ends_while_unlisted", test_suspicion_ends_while_unlisted },
    { "old_and_garbled_messages", test_old_and_garbled_messages },
    { "numbers_that_go_back", test_numbers_that_go_back },
  };
  return tst_run ("rte_failing", cases, sizeof cases / sizeof cases[0]);
}

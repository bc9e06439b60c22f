/** @file
 * Streams and versions of the upstreams' software: a stream goes on only at
 * the version that began it, at whichever VM it is taken up.  Several VMs in
 * virtual time; even upstreams are of version v1, odd ones of v2.
 */
#include "core/stv.h"
#include "hst.h"
#include "tst.h"

#include <stdio.h>
#include <string.h>

#define ENTRIES 4
#define UPSTREAMS 6
#define STREAMS 12
#define SETTLE_MS (5 * CLK_SECOND)
/* Time until all VMs have read a change of the list. */
#define LISTED_MS (2 * CLK_SECOND)
/* Time in which a stream has begun, and in which it ends. */
#define BEGUN_MS 60
#define ENDED_MS (2 * CLK_SECOND)
/* Longest time until a request that cannot be served is refused. */
#define AT_ONCE_MS 250
/* Longer than an origin is kept and the list lags: after it a VM trusts that
 * there has been one version only. */
#define SOLE_MS (STV_KEEP_MS + 10 * CLK_SECOND)
#define KEY "key-acme"
#define ID_SIZE 32

static const char *
version_of (size_t upstream)
{
  return upstream % 2 == 0 ? "v1" : "v2";
}

/* A fleet whose upstreams have the versions of version_of, if VERSIONS. */
static hst_t *
setup (bool versions)
{
  hst_t *h = hst_setup (&(hst_desc_t){ .entries = ENTRIES,
                                       .workers = 1,
                                       .upstreams = UPSTREAMS,
                                       .resumable = true,
                                       .load_reports = true });
  for (size_t i = 0; i < UPSTREAMS && versions; i++)
    hst_version_set (h, i, version_of (i));
  hst_advance (h, SETTLE_MS);
  return h;
}

/* Id number I with letter KIND. */
static const char *
id_of (char buffer[ID_SIZE], char kind, unsigned i)
{
  g_snprintf (buffer, ID_SIZE, "%c-%u", kind, i);
  return buffer;
}

/* Begins the streams b-0 and so on at VM. */
static void
begin (hst_t *h, size_t vm)
{
  char id[ID_SIZE];
  for (unsigned i = 0; i < STREAMS; i++)
    {
      (void)hst_stream (h, vm, KEY, id_of (id, 'b', i));
      hst_advance (h, 2);
    }
  hst_advance (h, BEGUN_MS);
}

/* How the streams that were taken up went on. */
typedef struct
{
  unsigned on;    /* whole */
  unsigned other; /* at another version */
  unsigned refused;
} outcome_t;

/* Takes up the streams b-0 and so on behind event 3, at VM. */
static outcome_t
take_up (hst_t *h, size_t vm)
{
  char begun[ID_SIZE];
  char id[ID_SIZE];
  uint64_t callers[STREAMS];
  outcome_t o = { 0 };
  for (unsigned i = 0; i < STREAMS; i++)
    {
      callers[i] = hst_take_up (h, vm, id_of (id, 't', i),
                                id_of (begun, 'b', i), "3");
      hst_advance (h, 5);
    }
  hst_advance (h, ENDED_MS);
  for (unsigned i = 0; i < STREAMS; i++)
    {
      const hst_response_t *r = hst_response (h, callers[i]);
      size_t first = hst_run_upstream (h, id_of (begun, 'b', i), 0);
      size_t next = hst_run_upstream (h, id_of (id, 't', i), 0);
      o.on += r->status == 200 && r->ended && !r->aborted;
      o.refused += r->status == 503;
      o.other += next != HST_MAX
                 && strcmp (version_of (first), version_of (next)) != 0;
    }
  return o;
}

/* All streams that are taken up at VM must go on, at their versions. */
static void
check_all_go_on (hst_t *h, size_t vm)
{
  outcome_t o = take_up (h, vm);
  CU_ASSERT_EQUAL (o.other, 0);
  CU_ASSERT_EQUAL (o.on, STREAMS);
}

/* Guards against events of two versions in one answer that the VM has gone on
 * with itself. */
static void
test_one_answer_stays_at_its_version (void)
{
  hst_t *h = setup (true);
  char id[ID_SIZE];
  uint64_t callers[STREAMS];
  for (unsigned i = 0; i < STREAMS; i++)
    {
      for (size_t u = 0; u < UPSTREAMS; u++)
        hst_fault_set (h, u, (hst_fault_t){ .break_after = 2 });
      callers[i] = hst_stream (h, 0, KEY, id_of (id, 'b', i));
      hst_advance (h, ENDED_MS);
    }
  for (unsigned i = 0; i < STREAMS; i++)
    {
      size_t first = hst_run_upstream (h, id_of (id, 'b', i), 0);
      size_t next = hst_run_upstream (h, id, 1);
      CU_ASSERT_NOT_EQUAL (next, HST_MAX);
      CU_ASSERT_NOT_EQUAL (first, next);
      CU_ASSERT_STRING_EQUAL (version_of (first), version_of (next));
      CU_ASSERT (hst_response (h, callers[i])->ended
                 && !hst_response (h, callers[i])->aborted);
    }
  hst_shutdown (h);
}

/* Guards against a stream that goes on at another version at the VM that began
 * it. */
static void
test_taken_up_at_the_same_vm (void)
{
  hst_t *h = setup (true);
  begin (h, 0);
  check_all_go_on (h, 0);
  hst_shutdown (h);
}

/* The same at another VM. */
static void
test_taken_up_at_another_vm (void)
{
  hst_t *h = setup (true);
  begin (h, 0);
  check_all_go_on (h, 1);
  hst_shutdown (h);
}

/* The same after the VM that began the streams was killed. */
static void
test_taken_up_after_their_vm_was_killed (void)
{
  hst_t *h = setup (true);
  begin (h, 0);
  hst_kill (h, 0);
  check_all_go_on (h, 2);
  hst_shutdown (h);
}

/* The same at that VM's next process. */
static void
test_taken_up_after_their_vm_has_started_again (void)
{
  hst_t *h = setup (true);
  begin (h, 0);
  hst_kill (h, 0);
  hst_start (h, 0);
  hst_advance (h, SETTLE_MS);
  check_all_go_on (h, 0);
  hst_shutdown (h);
}

/* The same where the platform is away meanwhile. */
static void
test_taken_up_while_the_platform_is_down (void)
{
  hst_t *h = setup (true);
  hst_platform_down (h, HST_MAX, true);
  begin (h, 1);
  check_all_go_on (h, 3);
  hst_shutdown (h);
}

/* Guards against a VM that is cut off from the others, and so cannot know, and
 * goes on at any version. */
static void
test_isolated_vm_mixes_no_versions (void)
{
  hst_t *h = setup (true);
  hst_isolate (h, 1, true);
  hst_advance (h, SETTLE_MS);
  begin (h, 0);
  outcome_t o = take_up (h, 1);
  CU_ASSERT_EQUAL (o.other, 0);
  CU_ASSERT_EQUAL (o.refused, STREAMS);
  hst_shutdown (h);
}

/* Request number I must be refused at once, unrun, with a time to come again.
 */
static void
check_refused (hst_t *h, unsigned i, const char *resumes)
{
  char id[ID_SIZE];
  uint64_t c = hst_take_up (h, 0, id_of (id, 'x', i), resumes, "3");
  hst_advance (h, AT_ONCE_MS);
  const hst_response_t *r = hst_response (h, c);
  CU_ASSERT_EQUAL (r->status, 503);
  CU_ASSERT (r->retry_after_ms > 0);
  CU_ASSERT_EQUAL (hst_run_count (h, id), 0);
}

/* Guards against a stream of which nobody can say how it began that goes on at
 * any version. */
static void
test_unknown_beginning_is_refused (void)
{
  char long_id[1025];
  memset (long_id, 'r', sizeof long_id - 1);
  long_id[sizeof long_id - 1] = '\0';
  const char *const resumes[]
      = { NULL, "", "no-such", "with\nlines", long_id };
  hst_t *h = setup (true);
  for (unsigned i = 0; i < sizeof resumes / sizeof resumes[0]; i++)
    check_refused (h, i, resumes[i]);
  hst_shutdown (h);
}

/* Guards against a stream that waits for, or goes on without, its version when
 * no upstream of it takes requests. */
static void
test_no_upstream_of_the_version_is_refused (void)
{
  hst_t *h = setup (true);
  hst_leaving_set (h, 1, true);
  hst_leaving_set (h, 3, true);
  hst_leaving_set (h, 5, true);
  hst_advance (h, LISTED_MS);
  (void)hst_stream (h, 1, KEY, "b-0");
  hst_advance (h, BEGUN_MS);
  for (size_t u = 0; u < UPSTREAMS; u++)
    hst_leaving_set (h, u, u % 2 == 0);
  hst_advance (h, LISTED_MS);
  check_refused (h, 0, "b-0");
  hst_shutdown (h);
}

/* Guards against streams that wait for a full version and hold up others, or
 * that go on at another one. */
static void
test_full_version_holds_up_no_other (void)
{
  hst_t *h = setup (true);
  char id[ID_SIZE];
  for (size_t u = 0; u < UPSTREAMS; u++)
    hst_leaving_set (h, u, u != 0);
  hst_advance (h, LISTED_MS);
  for (unsigned i = 0; i < STREAMS; i++)
    (void)hst_stream (h, 0, KEY, id_of (id, 'b', i));
  hst_advance (h, BEGUN_MS);
  for (size_t u = 0; u < UPSTREAMS; u++)
    hst_leaving_set (h, u, u != 0 && u != 1);
  hst_advance (h, 1);
  for (unsigned i = 0; i < 4; i++)
    (void)hst_take_up (h, 0, id_of (id, 't', i), "b-0", "3");
  uint64_t other = hst_stream (h, 0, KEY, "other");
  hst_advance (h, ENDED_MS);
  CU_ASSERT (hst_response (h, other)->ended
             && !hst_response (h, other)->aborted
             && hst_response (h, other)->status == 200);
  for (unsigned i = 0; i < 4; i++)
    CU_ASSERT_NOT_EQUAL (hst_run_upstream (h, id_of (id, 't', i), 0), 1);
  hst_shutdown (h);
}

/* Guards against a beginning at an upstream of unknown version that goes on
 * anywhere. */
static void
test_entry_without_a_version_matches_none (void)
{
  hst_t *h = setup (true);
  hst_version_set (h, 0, NULL);
  for (size_t u = 1; u < UPSTREAMS; u++)
    hst_leaving_set (h, u, true);
  hst_advance (h, LISTED_MS);
  (void)hst_stream (h, 1, KEY, "b-0");
  hst_advance (h, BEGUN_MS);
  CU_ASSERT_EQUAL (hst_run_upstream (h, "b-0", 0), 0);
  for (size_t u = 1; u < UPSTREAMS; u++)
    hst_leaving_set (h, u, false);
  hst_advance (h, LISTED_MS);
  check_refused (h, 0, "b-0");
  hst_shutdown (h);
}

/* Guards against refusals where no upstream has a version. */
static void
test_without_versions_streams_go_on (void)
{
  hst_t *h = setup (false);
  begin (h, 0);
  outcome_t o = take_up (h, 1);
  CU_ASSERT_EQUAL (o.on, STREAMS);
  CU_ASSERT_EQUAL (o.refused, 0);
  hst_shutdown (h);
}

/* Guards against refusals where there has been one version for long, so that
 * there is nothing to tell apart. */
static void
test_sole_version_needs_no_knowledge (void)
{
  hst_t *h = setup (false);
  for (size_t u = 0; u < UPSTREAMS; u++)
    hst_version_set (h, u, "v1");
  hst_advance (h, SOLE_MS);
  uint64_t c = hst_take_up (h, 0, "t-0", "of-long-ago", "3");
  hst_advance (h, ENDED_MS);
  CU_ASSERT_EQUAL (hst_response (h, c)->status, 200);
  hst_version_set (h, 0, "v2");
  hst_advance (h, LISTED_MS);
  check_refused (h, 0, "of-long-ago");
  hst_shutdown (h);
}

/* A fleet that has had one version for long. */
static hst_t *
setup_sole (void)
{
  hst_t *h = setup (false);
  for (size_t u = 0; u < UPSTREAMS; u++)
    hst_version_set (h, u, "v1");
  hst_advance (h, SOLE_MS);
  return h;
}

/* Upstreams of version v2 join, of which VM 3 does not hear for AWAY_MS, and
 * streams begin there.  They are taken up at VM 3 until it has heard. */
static void
check_out_of_step (hst_t *h, clk_ms_t away_ms)
{
  char begun[ID_SIZE];
  char id[ID_SIZE];
  uint64_t callers[STREAMS];
  clk_ms_t back = hst_now (h) + away_ms;
  for (size_t u = 1; u < UPSTREAMS; u += 2)
    hst_version_set (h, u, "v2");
  for (size_t u = 0; u < UPSTREAMS; u += 2)
    hst_leaving_set (h, u, true);
  hst_advance (h, LISTED_MS);
  begin (h, 0);
  for (unsigned i = 0; i < STREAMS; i++)
    {
      callers[i]
          = hst_take_up (h, 3, id_of (id, 't', i), id_of (begun, 'b', i), "3");
      hst_advance (h, 50);
    }
  hst_advance (h, clk_max (back - hst_now (h), 0));
  hst_isolate (h, 3, false);
  hst_advance (h, ENDED_MS);
  for (unsigned i = 0; i < STREAMS; i++)
    {
      size_t next = hst_run_upstream (h, id_of (id, 't', i), 0);
      CU_ASSERT (next == HST_MAX || strcmp (version_of (next), "v2") == 0);
      CU_ASSERT (hst_response (h, callers[i])->ended);
    }
}

/* Guards against streams of a new version that go on at the old one, at a VM
 * that was cut off while the new one joined, and takes the old one for the
 * only one that there has been. */
static void
test_vm_cut_off_in_a_release_joins_no_versions (void)
{
  hst_t *h = setup_sole ();
  hst_isolate (h, 3, true);
  check_out_of_step (h, 4 * CLK_SECOND);
  hst_shutdown (h);
}

/* The same at a VM that stood still, and reads what its callers have sent
 * before what the platform has. */
static void
test_vm_frozen_in_a_release_joins_no_versions (void)
{
  hst_t *h = setup_sole ();
  hst_freeze (h, 3, 4 * CLK_SECOND);
  check_out_of_step (h, 4 * CLK_SECOND);
  hst_shutdown (h);
}

/* What a VM that has just started does not hear at first, and for how long. */
typedef struct
{
  const char *name;
  clk_ms_t platform_ms; /* document, lists of upstreams and of VMs */
  clk_ms_t peers_ms;    /* other VMs and the platform */
  bool alone;           /* only this VM starts anew: the others know the
                           streams, but are out of its reach for PEERS_MS */
} order_t;

/* Longest time for which callers try to take up their streams. */
#define TRIED_MS (50 * CLK_SECOND)
#define TRY_GAP_MS 500

/* Streams begin at version v1, all upstreams change to v2, the VMs start anew
 * as ORDER says, and the streams are taken up again and again. */
static void
play_order (const order_t *order)
{
  char id[ID_SIZE];
  unsigned tries = 0;
  hst_t *h = setup (false);
  for (size_t u = 0; u < UPSTREAMS; u++)
    hst_version_set (h, u, "v1");
  hst_advance (h, LISTED_MS);
  (void)hst_stream (h, 1, KEY, "b-0");
  hst_advance (h, BEGUN_MS);
  for (size_t i = 0; i < (order->alone ? 1 : ENTRIES + 1); i++)
    hst_kill (h, i);
  for (size_t u = 0; u < UPSTREAMS; u++)
    hst_version_set (h, u, "v2");
  clk_ms_t start = hst_now (h);
  hst_platform_down (h, HST_MAX, order->platform_ms > 0);
  hst_isolate (h, 0, order->peers_ms > 0);
  for (size_t i = 0; i < (order->alone ? 1 : ENTRIES + 1); i++)
    hst_start (h, i);
  while (hst_now (h) - start < TRIED_MS)
    {
      if (hst_now (h) - start >= order->platform_ms)
        hst_platform_down (h, HST_MAX, false);
      if (hst_now (h) - start >= order->peers_ms)
        hst_isolate (h, 0, false);
      (void)hst_take_up (h, 0, id_of (id, 't', tries++), "b-0", "3");
      hst_advance (h, TRY_GAP_MS);
    }
  for (unsigned i = 0; i < tries; i++)
    if (hst_run_count (h, id_of (id, 't', i)) > 0)
      {
        printf ("%s: joined %lld ms after the start\n", order->name,
                (long long)i * TRY_GAP_MS);
        CU_FAIL ("a stream is joined of two versions");
        break;
      }
  hst_shutdown (h);
}

/* Guards against a VM that has just started, and has not heard yet how streams
 * began, taking it for certain that they began at the version there is now: in
 * each order in which it can hear of things, and however late callers come. */
static void
test_started_vm_joins_no_versions (void)
{
  static const order_t orders[] = {
    { .name = "all at once" },
    { .name = "platform late", .platform_ms = 4 * CLK_SECOND },
    { .name = "platform very late", .platform_ms = 15 * CLK_SECOND },
    { .name = "links late", .peers_ms = 4 * CLK_SECOND },
    { .name = "links after the platform",
      .platform_ms = 3 * CLK_SECOND,
      .peers_ms = 20 * CLK_SECOND },
    { .name = "alone", .alone = true },
    { .name = "alone, links late",
      .alone = true,
      .peers_ms = 20 * CLK_SECOND },
    { .name = "alone, platform late",
      .alone = true,
      .platform_ms = 15 * CLK_SECOND },
  };
  for (size_t i = 0; i < sizeof orders / sizeof orders[0]; i++)
    play_order (&orders[i]);
}

/* Submits a job of STREAMS items and has the first run at each upstream break
 * off behind event 2. */
static void
submit_and_break (hst_t *h)
{
  for (size_t u = 0; u < UPSTREAMS; u++)
    hst_fault_set (h, u, (hst_fault_t){ .break_after = 2 });
  (void)hst_submit (h, 0, "j", STREAMS);
}

/* Number of items of the job that have a whole text. */
static unsigned
completed_count (hst_t *h)
{
  uint64_t c = hst_results_read (h, 0, "j", 0);
  hst_advance (h, AT_ONCE_MS);
  const hst_response_t *r = hst_response (h, c);
  unsigned n = 0;
  for (guint i = 0; i < r->texts->len; i++)
    {
      const char *text = g_ptr_array_index (r->texts, i);
      n += strncmp (text, "e1\ne2\ne3\ne4\n", 12) == 0
           && strstr (text, "\ne20") != NULL;
    }
  return n;
}

/* Guards against a text of an item that is joined of two versions' events. */
static void
test_text_of_an_item_stays_at_its_version (void)
{
  hst_t *h = setup (true);
  char id[ID_SIZE];
  unsigned again = 0;
  submit_and_break (h);
  hst_advance (h, 4 * ENDED_MS);
  for (unsigned i = 0; i < STREAMS; i++)
    {
      g_snprintf (id, sizeof id, "j-%u", i);
      size_t next = hst_run_upstream (h, id, 1);
      if (next == HST_MAX)
        continue;
      again++;
      CU_ASSERT_STRING_EQUAL (version_of (hst_run_upstream (h, id, 0)),
                              version_of (next));
    }
  CU_ASSERT (again >= 2);
  CU_ASSERT_EQUAL (completed_count (h), STREAMS);
  hst_shutdown (h);
}

/* Guards against an item that waits for a version of which no upstream is
 * left: it begins anew. */
static void
test_item_without_its_version_begins_anew (void)
{
  hst_t *h = setup (true);
  for (size_t u = 0; u < UPSTREAMS; u++)
    hst_leaving_set (h, u, u != 0);
  hst_advance (h, LISTED_MS);
  hst_fault_set (h, 0, (hst_fault_t){ .break_after = 10 });
  (void)hst_submit (h, 0, "j", 1);
  while (hst_run_count (h, "j-0") == 0 && hst_now (h) < 20 * CLK_SECOND)
    hst_advance (h, 1);
  for (size_t u = 0; u < UPSTREAMS; u++)
    hst_leaving_set (h, u, u % 2 == 0);
  hst_advance (h, ENDED_MS);
  CU_ASSERT_EQUAL (hst_run_count (h, "j-0"), 2);
  CU_ASSERT_EQUAL (hst_run_upstream (h, "j-0", 0), 0);
  CU_ASSERT_EQUAL (hst_run_upstream (h, "j-0", 1) % 2, 1);
  CU_ASSERT_PTR_NULL (hst_last_call (h)->resume_after);
  CU_ASSERT_EQUAL (completed_count (h), 1);
  hst_shutdown (h);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "one_answer_stays_at_its_version",
      test_one_answer_stays_at_its_version },
    { "taken_up_at_the_same_vm", test_taken_up_at_the_same_vm },
    { "taken_up_at_another_vm", test_taken_up_at_another_vm },
    { "taken_up_after_their_vm_was_killed",
      test_taken_up_after_their_vm_was_killed },
    { "taken_up_after_their_vm_has_started_again",
      test_taken_up_after_their_vm_has_started_again },
    { "taken_up_while_the_platform_is_down",
      test_taken_up_while_the_platform_is_down },
    { "isolated_vm_mixes_no_versions", test_isolated_vm_mixes_no_versions },
    { "unknown_beginning_is_refused", test_unknown_beginning_is_refused },
    { "no_upstream_of_the_version_is_refused",
      test_no_upstream_of_the_version_is_refused },
    { "full_version_holds_up_no_other", test_full_version_holds_up_no_other },
    { "entry_without_a_version_matches_none",
      test_entry_without_a_version_matches_none },
    { "without_versions_streams_go_on", test_without_versions_streams_go_on },
    { "sole_version_needs_no_knowledge",
      test_sole_version_needs_no_knowledge },
    { "vm_cut_off_in_a_release_joins_no_versions",
      test_vm_cut_off_in_a_release_joins_no_versions },
    { "vm_frozen_in_a_release_joins_no_versions",
      test_vm_frozen_in_a_release_joins_no_versions },
    { "started_vm_joins_no_versions", test_started_vm_joins_no_versions },
    { "text_of_an_item_stays_at_its_version",
      test_text_of_an_item_stays_at_its_version },
    { "item_without_its_version_begins_anew",
      test_item_without_its_version_begins_anew },
  };
  return tst_run ("versions", cases, sizeof cases / sizeof cases[0]);
}

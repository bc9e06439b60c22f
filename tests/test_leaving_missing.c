/** @file
 * Upstreams whose entry the platform's list no longer has: those that have
 * left get nothing more, also at a VM that was cut off from the platform;
 * those whose entry expired while the platform was away stay in use until they
 * have had time to register again.
 */
#include "hst.h"
#include "tst.h"

#define ENTRIES 3
#define WORKERS 2
#define UPSTREAMS 3
/* Time until all VMs know the list and each other. */
#define SETTLE_MS (6 * CLK_SECOND)
/* How long a VM is cut off, and when in it an upstream leaves. */
#define CUT_MS (9 * CLK_SECOND)
#define LEAVES_MS (3 * CLK_SECOND)
/* The users' bound: a VM that has had a path to the platform for this long
 * sends nothing to an upstream that has left before. */
#define CONTACT_MS (3 * CLK_SECOND)
/* Time within which upstreams whose entries have expired register again after
 * the platform's return. */
#define REGISTER_MS (2 * CLK_SECOND)
/* Interval of requests, and for how long they are sent. */
#define REQUEST_MS 20
#define WATCHED_MS (6 * CLK_SECOND)
/* The cut begins at that many moments of a second. */
#define PHASES 50
#define PHASE_MS (CLK_SECOND / PHASES)

static hst_t *
setup (clk_ms_t phase)
{
  hst_t *h = hst_setup (&(hst_desc_t){ .entries = ENTRIES,
                                       .workers = WORKERS,
                                       .upstreams = UPSTREAMS,
                                       .events = 2,
                                       .history_ms = 20 * CLK_SECOND });
  hst_advance (h, SETTLE_MS + phase);
  return h;
}

/* Sends requests to VM for MS.  Returns how many were not served. */
static unsigned
load (hst_t *h, size_t vm, clk_ms_t ms)
{
  unsigned failed = 0;
  for (clk_ms_t t = 0; t < ms; t += REQUEST_MS)
    {
      char *id = g_strdup_printf ("r-%lld", (long long)hst_now (h));
      uint64_t caller = hst_stream (h, vm, "key-acme", id);
      hst_advance (h, REQUEST_MS);
      const hst_response_t *r = hst_response (h, caller);
      failed += r->status != 0 && r->status != 200;
      g_free (id);
    }
  return failed;
}

/* Number of requests that UPSTREAM got later than AT. */
static unsigned
arrived_after (const hst_t *h, size_t upstream, clk_ms_t at)
{
  const GArray *arrivals = hst_arrivals (h);
  unsigned n = 0;
  for (guint i = 0; i < arrivals->len; i++)
    {
      const hst_arrival_t *a = &g_array_index (arrivals, hst_arrival_t, i);
      n += a->upstream == upstream && a->at > at;
    }
  return n;
}

/* How a VM is cut off from the platform. */
typedef void (*cut_t) (hst_t *h, size_t vm, bool cut);

/* Cuts VM 0 off from the platform with CUT; an upstream leaves meanwhile.
 * Returns how many requests it gets from VM 0 once that VM is in touch
 * again. */
static unsigned
late_requests (clk_ms_t phase, cut_t cut)
{
  hst_t *h = setup (phase);
  cut (h, 0, true);
  hst_advance (h, LEAVES_MS);
  hst_unlisted_set (h, 0, true);
  hst_advance (h, CUT_MS - LEAVES_MS);
  cut (h, 0, false);
  clk_ms_t back_at = hst_now (h);
  CU_ASSERT_EQUAL (load (h, 0, WATCHED_MS), 0);
  unsigned late = arrived_after (h, 0, back_at + CONTACT_MS);
  hst_shutdown (h);
  return late;
}

static void
check_cut (const char *how, cut_t cut)
{
  unsigned late = 0;
  for (unsigned i = 0; i < PHASES; i++)
    late += late_requests (i * PHASE_MS, cut);
  printf ("%s: %u requests to an upstream that had left\n", how, late);
  CU_ASSERT_EQUAL (late, 0);
}

/* Guards against requests to an upstream that left while this VM was cut off
 * from the platform, as this VM's own failures pass for the platform's. */
static void
test_left_behind_a_silent_cut (void)
{
  check_cut ("silent cut", hst_platform_cut);
}

/* Guards against the same where calls are refused at once, so that this VM's
 * breaker opens. */
static void
test_left_behind_a_refusing_cut (void)
{
  check_cut ("refusing cut", hst_platform_down);
}

/* While AWAY, no VM reaches the platform. */
static void
platform_away (hst_t *h, bool away)
{
  for (size_t vm = 0; vm < ENTRIES + WORKERS; vm++)
    hst_platform_cut (h, vm, away);
}

/* Guards against upstreams that are dropped, as their entries expired while
 * nobody reached the platform, before they had time to register again. */
static void
test_expired_entries_stay_in_use (void)
{
  unsigned failed = 0;
  for (unsigned i = 0; i < PHASES; i++)
    {
      hst_t *h = setup (i * PHASE_MS);
      platform_away (h, true);
      hst_advance (h, LEAVES_MS);
      for (size_t u = 0; u < UPSTREAMS; u++)
        hst_unlisted_set (h, u, true);
      hst_advance (h, CUT_MS - LEAVES_MS);
      platform_away (h, false);
      for (size_t u = 0; u < UPSTREAMS; u++)
        {
          failed += load (h, 0, REGISTER_MS / UPSTREAMS);
          hst_unlisted_set (h, u, false);
        }
      failed += load (h, 0, CONTACT_MS);
      hst_shutdown (h);
    }
  printf ("platform away: %u requests not served\n", failed);
  CU_ASSERT_EQUAL (failed, 0);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "left_behind_a_silent_cut", test_left_behind_a_silent_cut },
    { "left_behind_a_refusing_cut", test_left_behind_a_refusing_cut },
    { "expired_entries_stay_in_use", test_expired_entries_stay_in_use },
  };
  return tst_run ("leaving_missing", cases, sizeof cases / sizeof cases[0]);
}

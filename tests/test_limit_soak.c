/** @file
 * Randomized runs of upstreams that name limits: several VMs in virtual time,
 * killed, started, cut off, standing still and without the platform, limits
 * that begin, change and end at any moment, callers and items.  In no window
 * may an upstream get more than its limit allows, as the users' rule counts:
 * requests of VMs that were disturbed shortly before do not count.  A failed
 * run is reproduced from its seed.
 *
 *   build/tests/test_limit_soak [--seeds COUNT] [--from SEED]
 */
#include "dst.h"
#include "lmt.h"
#include "tst.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SEEDS_DEFAULT 6
#define ENTRIES 6
#define WORKERS 2
#define UPSTREAMS 4
#define RUN_MS (40 * CLK_SECOND)
#define STEP_MS ((clk_ms_t)100)
/* Time between two events of a kind, on average. */
#define FAULT_INTERVAL_MS (5 * CLK_SECOND)
#define LIMIT_INTERVAL_MS (4 * CLK_SECOND)
#define JOB_INTERVAL_MS (4 * CLK_SECOND)

static uint32_t seeds = SEEDS_DEFAULT;
static uint32_t from_seed = 1;

/* A span of time; TO is CLK_NEVER while it lasts. */
typedef struct
{
  size_t of; /* upstream */
  clk_ms_t from;
  clk_ms_t to;
  double per_s; /* of a limit */
} span_t;

typedef struct
{
  lmt_t *t;
  dst_t *disturbed;
  GArray *limits; /* span_t of upstreams, each with one value */
  unsigned jobs;
  unsigned windows; /* judged */
  double tightest;  /* largest part of what was allowed that was used */
  double all;       /* the same with the requests of all VMs counted */
} run_t;

static bool
chance (const run_t *r, clk_ms_t interval)
{
  return g_rand_int_range (r->t->rand, 0, (gint32)(interval / STEP_MS)) == 0;
}

static size_t
below (const run_t *r, size_t n)
{
  return (size_t)g_rand_int_range (r->t->rand, 0, (gint32)n);
}

/* -- events --------------------------------------------------------------- */

static void
limit_end (const run_t *r, size_t upstream)
{
  for (guint i = 0; i < r->limits->len; i++)
    {
      span_t *s = &g_array_index (r->limits, span_t, i);
      if (s->of == upstream && s->to == CLK_NEVER)
        s->to = hst_now (r->t->h);
    }
}

static void
limit_change (run_t *r)
{
  size_t upstream = below (r, UPSTREAMS);
  double per_s = exp (g_rand_double_range (r->t->rand, log (0.2), log (20)));
  limit_end (r, upstream);
  if (below (r, 3) == 0)
    {
      lmt_name (r->t, upstream, -1);
      return;
    }
  lmt_name (r->t, upstream, per_s);
  span_t s = {
    .of = upstream, .from = hst_now (r->t->h), .to = CLK_NEVER, .per_s = per_s
  };
  g_array_append_val (r->limits, s);
}

static void
job_submit (run_t *r)
{
  size_t vm = below (r, ENTRIES);
  char *id = g_strdup_printf ("job-%u", r->jobs++);
  if (hst_runs (r->t->h, vm))
    (void)hst_submit (r->t->h, vm, id, 1 + below (r, 8));
  g_free (id);
}

/* -- judge ---------------------------------------------------------------- */

/* Requests that count at the upstream of limit S in the window that begins
 * with arrival FIRST; *ALL receives those of all VMs. */
static unsigned
window_count (const run_t *r, const span_t *s, guint first, unsigned *all_vms)
{
  const GArray *all = hst_arrivals (r->t->h);
  clk_ms_t at = g_array_index (all, hst_arrival_t, first).at;
  unsigned n = 0;
  for (guint i = first; i < all->len; i++)
    {
      const hst_arrival_t *a = &g_array_index (all, hst_arrival_t, i);
      if (a->at >= at + LMT_WINDOW_MS)
        break;
      n += a->upstream == s->of
           && !dst_excused (r->disturbed, a->vm, a->at, LMT_CONTACT_MS);
      *all_vms += a->upstream == s->of;
    }
  return n;
}

/* Judges all windows within the limit S. */
static void
limit_judge (run_t *r, const span_t *s, uint32_t seed)
{
  const GArray *all = hst_arrivals (r->t->h);
  clk_ms_t end = clk_min (s->to, hst_now (r->t->h));
  double allowed
      = LMT_FACTOR * s->per_s * (double)LMT_WINDOW_MS / CLK_SECOND + LMT_SLACK;
  for (guint i = 0; i < all->len; i++)
    {
      const hst_arrival_t *a = &g_array_index (all, hst_arrival_t, i);
      if (a->upstream != s->of || a->at < s->from + LMT_CONTACT_MS
          || a->at + LMT_WINDOW_MS > end)
        continue;
      unsigned all_vms = 0;
      unsigned n = window_count (r, s, i, &all_vms);
      r->windows++;
      r->tightest = fmax (r->tightest, n / allowed);
      r->all = fmax (r->all, all_vms / allowed);
      if (n <= allowed)
        continue;
      printf ("seed %u: upstream %zu, limit %.2f since %lld: %u requests from "
              "%lld on, %.1f allowed\n",
              seed, s->of, s->per_s, (long long)s->from, n, (long long)a->at,
              allowed);
      CU_FAIL ("an upstream got more than its limit allows");
      return;
    }
}

static void
run_seed (uint32_t seed)
{
  run_t r = { .t = lmt_setup (&(hst_desc_t){ .entries = ENTRIES,
                                             .workers = WORKERS,
                                             .upstreams = UPSTREAMS,
                                             .far_upstreams = seed % 3 },
                              seed),
              .limits = g_array_new (FALSE, FALSE, sizeof (span_t)) };
  r.disturbed = dst_setup (r.t->h, r.t->rand, ENTRIES + WORKERS);
  double per_s = g_rand_double_range (r.t->rand, 10, 120);
  clk_ms_t end = hst_now (r.t->h) + RUN_MS;
  bool down = false;
  while (hst_now (r.t->h) < end)
    {
      if (chance (&r, FAULT_INTERVAL_MS))
        dst_begin (r.disturbed);
      if (chance (&r, LIMIT_INTERVAL_MS))
        limit_change (&r);
      if (chance (&r, JOB_INTERVAL_MS))
        job_submit (&r);
      if (chance (&r, 2 * FAULT_INTERVAL_MS))
        hst_platform_down (r.t->h, HST_MAX, down = !down);
      dst_recover (r.disturbed);
      lmt_run (r.t, STEP_MS, per_s);
    }
  for (guint i = 0; i < r.limits->len; i++)
    limit_judge (&r, &g_array_index (r.limits, span_t, i), seed);
  lmt_counts_t c = lmt_count (r.t, 0, end);
  printf (
      "seed %u: %u windows, at most %.2f of what was allowed, %.2f with all "
      "VMs counted; %u requests, %u served, %u refused\n",
      seed, r.windows, r.tightest, r.all, c.asked, c.served, c.refused);
  dst_shutdown (r.disturbed);
  g_array_unref (r.limits);
  lmt_shutdown (r.t);
}

/* Guards against more requests than an upstream takes, whatever fails. */
static void
test_limits_under_faults (void)
{
  for (uint32_t i = 0; i < seeds; i++)
    run_seed (from_seed + i);
}

int
main (int argc, char **argv)
{
  static const tst_case_t cases[]
      = { { "limits_under_faults", test_limits_under_faults } };
  for (int i = 1; i + 1 < argc; i += 2)
    {
      if (strcmp (argv[i], "--seeds") == 0)
        seeds = (uint32_t)strtoul (argv[i + 1], NULL, 10);
      if (strcmp (argv[i], "--from") == 0)
        from_seed = (uint32_t)strtoul (argv[i + 1], NULL, 10);
    }
  return tst_run ("limit_soak", cases, sizeof cases / sizeof cases[0]);
}

/** @file
 * Requests that end upstreams, over a fleet in virtual time, while VMs are
 * killed, cut off and frozen, upstreams end by chance and connections break,
 * and the platform is away, all at random times.
 *
 *   test_crash_soak [--seeds N] [--from SEED]
 */
#include "crl.h"
#include "dst.h"
#include "tst.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SEEDS_DEFAULT 6
#define ENTRIES 6
#define WORKERS 2
#define UPSTREAMS 8
#define RUN_MS (40 * CLK_SECOND)
#define STEP_MS ((clk_ms_t)100)
/* Time between two events of a kind, on average. */
#define FAULT_INTERVAL_MS (5 * CLK_SECOND)
#define CHANCE_INTERVAL_MS (2 * CLK_SECOND)
/* At the end nothing is disturbed; sound requests must be served then as the
 * rule asks: half as often as otherwise. */
#define CALM_MS (12 * CLK_SECOND)
#define SERVED_MIN 0.5

static uint32_t seeds = SEEDS_DEFAULT;
static uint32_t from_seed = 1;

typedef struct
{
  crl_t *t;
  dst_t *disturbed;
  GArray *outages; /* dst_span_t of the platform */
  size_t sound;
  size_t rare;
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

/* Callers: sound ones, sound ones with a rare part, a bad part at either
 * place, and a bad request again and again. */
static void
kinds_add (run_t *r)
{
  bool first = below (r, 2) == 0;
  r->sound
      = crl_kind_add (r->t, &(crl_kind_t){ .id = "sound",
                                           .per_s = 20 + (double)below (r, 20),
                                           .parts = { 1, 2 },
                                           .part_count = 2 });
  r->rare = crl_kind_add (r->t, &(crl_kind_t){ .id = "rare",
                                               .per_s = 4,
                                               .parts = { 1, 3 },
                                               .part_count = 2 });
  (void)crl_kind_add (r->t,
                      &(crl_kind_t){ .id = "bad-part",
                                     .per_s = 0.3 + (double)below (r, 4),
                                     .parts = { first ? 9 : 1, first ? 3 : 9 },
                                     .part_count = 2 });
  (void)crl_kind_add (r->t, &(crl_kind_t){ .id = "bad-again",
                                           .per_s = 0.3 + (double)below (r, 3),
                                           .parts = { 1, 2 },
                                           .part_count = 2,
                                           .body = "again" });
}

static void
faults_step (run_t *r)
{
  if (chance (r, FAULT_INTERVAL_MS))
    dst_begin (r->disturbed);
  if (chance (r, CHANCE_INTERVAL_MS))
    hst_crash (r->t->h, below (r, UPSTREAMS));
  if (chance (r, CHANCE_INTERVAL_MS))
    hst_fault_set (r->t->h, below (r, UPSTREAMS),
                   (hst_fault_t){ .break_after = (unsigned)below (r, 5),
                                  .unframed = below (r, 4) == 0 });
}

/* The platform goes away, or comes back. */
static void
platform_turn (run_t *r)
{
  dst_span_t *last
      = r->outages->len == 0
            ? NULL
            : &g_array_index (r->outages, dst_span_t, r->outages->len - 1);
  bool down = last != NULL && last->to == CLK_NEVER;
  dst_span_t next = { .from = hst_now (r->t->h), .to = CLK_NEVER };
  if (down)
    last->to = next.from;
  else
    g_array_append_val (r->outages, next);
  hst_platform_down (r->t->h, HST_MAX, !down);
}

/* When requests whose ids begin with ID must be kept away, after ENDS ends
 * under them; CLK_NEVER: there were fewer. */
static clk_ms_t
bound (const run_t *r, const char *id, unsigned ends)
{
  const GArray *all = hst_ends (r->t->h);
  for (guint i = 0; i < all->len; i++)
    {
      const hst_end_t *e = &g_array_index (all, hst_end_t, i);
      if (g_str_has_prefix (e->id, id) && --ends == 0)
        return e->at + CRL_CONTACT_MS;
    }
  return CLK_NEVER;
}

/* Whether VM was in touch at AT: it was not disturbed shortly before, and did
 * not come back while the platform was away, which no peer then knows. */
static bool
in_touch (const run_t *r, size_t vm, clk_ms_t at)
{
  if (dst_excused (r->disturbed, vm, at, CRL_CONTACT_MS))
    return false;
  for (guint i = 0; i < r->outages->len; i++)
    {
      const dst_span_t *o = &g_array_index (r->outages, dst_span_t, i);
      if (at >= o->from && (o->to == CLK_NEVER || at < o->to + CRL_CONTACT_MS)
          && dst_excused (r->disturbed, vm, at, at - o->from))
        return false;
    }
  return true;
}

/* Requests whose ids begin with ID that VMs in touch sent from FROM on. */
static unsigned
sent_in_touch (const run_t *r, const char *id, clk_ms_t from)
{
  const GArray *all = hst_arrivals (r->t->h);
  unsigned n = 0;
  for (guint i = 0; i < all->len; i++)
    {
      const hst_arrival_t *a = &g_array_index (all, hst_arrival_t, i);
      n += a->at >= from && g_str_has_prefix (a->id, id)
           && in_touch (r, a->vm, a->at);
    }
  return n;
}

/* Part of the requests of KIND sent from FROM until before TO that were
 * served. */
static double
served_part (const run_t *r, size_t kind, clk_ms_t from, clk_ms_t to)
{
  crl_counts_t c = crl_count (r->t, kind, from, to);
  return c.asked == 0 ? 1 : (double)c.served / c.asked;
}

static void
judge (const run_t *r, uint32_t seed, clk_ms_t calm_at)
{
  clk_ms_t end = hst_now (r->t->h) - 2 * CLK_SECOND;
  clk_ms_t from = calm_at + 2 * CRL_CONTACT_MS;
  unsigned part
      = sent_in_touch (r, "bad-part", bound (r, "bad-part", CRL_PART_ENDS));
  unsigned again = sent_in_touch (r, "bad-again",
                                  bound (r, "bad-again", CRL_REQUEST_ENDS));
  double sound = served_part (r, r->sound, from, end);
  double rare = served_part (r, r->rare, from, end);
  printf ("seed %u: %u upstreams ended; sent after the bound: %u with the "
          "part, %u again; served when calm: %.2f, %.2f of the rare ones\n",
          seed, crl_ended (r->t), part, again, sound, rare);
  CU_ASSERT (part <= CRL_SENT_MAX);
  CU_ASSERT (again <= CRL_SENT_MAX);
  CU_ASSERT (sound >= SERVED_MIN);
  CU_ASSERT (rare >= SERVED_MIN);
}

static void
run_seed (uint32_t seed)
{
  run_t r = { .t = crl_setup (&(hst_desc_t){ .entries = ENTRIES,
                                             .workers = WORKERS,
                                             .upstreams = UPSTREAMS,
                                             .far_upstreams = seed % 3 },
                              seed) };
  r.disturbed = dst_setup (r.t->h, r.t->rand, ENTRIES + WORKERS);
  r.outages = g_array_new (FALSE, FALSE, sizeof (dst_span_t));
  hst_crash_set (
      r.t->h, (hst_crash_t){ .ids = "bad",
                             .refuses = below (&r, 2) == 0,
                             .after_events = (unsigned)below (&r, 2),
                             .unlist_ms = 1 + 3000 * (clk_ms_t)below (&r, 2),
                             .down_ms = 700 + (clk_ms_t)below (&r, 2500) });
  hst_advance (r.t->h, CLK_SECOND);
  kinds_add (&r);
  clk_ms_t calm_at = hst_now (r.t->h) + RUN_MS;
  while (hst_now (r.t->h) < calm_at)
    {
      faults_step (&r);
      if (chance (&r, 2 * FAULT_INTERVAL_MS))
        platform_turn (&r);
      dst_recover (r.disturbed);
      crl_run (r.t, STEP_MS);
    }
  if (r.outages->len > 0
      && g_array_index (r.outages, dst_span_t, r.outages->len - 1).to
             == CLK_NEVER)
    platform_turn (&r);
  for (clk_ms_t end = calm_at + CALM_MS; hst_now (r.t->h) < end;)
    {
      dst_recover (r.disturbed);
      crl_run (r.t, STEP_MS);
    }
  judge (&r, seed, calm_at);
  dst_shutdown (r.disturbed);
  g_array_unref (r.outages);
  crl_shutdown (r.t);
}

/* Guards against what ends upstreams being handed on, and against sound
 * requests being kept away with it, whatever fails. */
static void
test_crashes_under_faults (void)
{
  for (uint32_t i = 0; i < seeds; i++)
    run_seed (from_seed + i);
}

int
main (int argc, char **argv)
{
  static const tst_case_t cases[]
      = { { "crashes_under_faults", test_crashes_under_faults } };
  for (int i = 1; i + 1 < argc; i += 2)
    {
      if (strcmp (argv[i], "--seeds") == 0)
        seeds = (uint32_t)strtoul (argv[i + 1], NULL, 10);
      if (strcmp (argv[i], "--from") == 0)
        from_seed = (uint32_t)strtoul (argv[i + 1], NULL, 10);
    }
  return tst_run ("crash_soak", cases, sizeof cases / sizeof cases[0]);
}

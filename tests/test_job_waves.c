/** @file
 * Hosted fleet: items of jobs under waves of online requests, as measured on
 * the users' platform: 2.8 s at 1.84 times the mean rate, 3.8 s at 0.38 times,
 * upstreams of 8 slots, items of 5.3 s.
 *
 * JOB_WAVES_UPSTREAMS=56 plays that many upstreams instead of 8, and
 * JOB_WAVES_SEEDS so many seeds instead of two.
 */
#include "hst.h"
#include "tst.h"

#include <stdlib.h>

#define CREST_MS 2800
#define WAVE_MS 6600
#define RUN_MS (60 * CLK_SECOND)

/** Figures of one run. */
typedef struct
{
  unsigned online;     /**< online requests that upstreams received */
  clk_ms_t waited_ms;  /**< hst_waited_ms */
  unsigned late;       /**< online requests without a head in 300 ms */
  unsigned starts;     /**< runs of items */
  unsigned results;    /**< completed items */
  unsigned preempted;  /**< runs that were preempted */
  unsigned short_runs; /**< of these, within 500 ms */
} waves_t;

static void
_load_step (hst_t *h, GRand *rand, size_t entries, size_t upstreams,
            GArray *callers)
{
  double mean = 4.0 * (double)upstreams / 1000; /* requests a ms */
  double factor = hst_now (h) % WAVE_MS < CREST_MS ? 1.84 : 0.38;
  double p = mean * factor * 5;
  while (p > 0)
    {
      if (g_rand_double (rand) < p)
        {
          char id[32];
          (void)g_snprintf (id, sizeof id, "o-%u", callers->len);
          uint64_t c = hst_stream (
              h, (size_t)g_rand_int_range (rand, 0, (gint32)entries),
              "key-acme", id);
          g_array_append_val (callers, c);
        }
      p -= 1;
    }
  hst_advance (h, 5);
}

static void
_figures (hst_t *h, size_t vms, const GArray *callers, waves_t *w)
{
  const GArray *arrivals = hst_arrivals (h);
  for (guint i = 0; i < arrivals->len; i++)
    {
      const hst_arrival_t *a = &g_array_index (arrivals, hst_arrival_t, i);
      w->online += !a->item;
      w->starts += a->item;
    }
  w->waited_ms += hst_waited_ms (h);
  for (guint i = 0; i < callers->len; i++)
    {
      const hst_response_t *r
          = hst_response (h, g_array_index (callers, uint64_t, i));
      w->late += r->status != 200;
    }
  for (size_t vm = 0; vm < vms; vm++)
    {
      w->preempted += (unsigned)hst_counter (h, vm, "rts_job_yields_total");
      w->short_runs
          += (unsigned)hst_counter (h, vm, "rts_job_yields_short_total");
    }
}

/* Adds the figures of a run of SEED to W. */
static void
_waves_run (waves_t *w, size_t upstreams, guint32 seed, bool on)
{
  size_t entries = upstreams / 2 + 4;
  size_t workers = upstreams / 8 + 2;
  hst_t *h = hst_fleet (&(hst_desc_t){ .entries = entries,
                                       .workers = workers,
                                       .upstreams = upstreams,
                                       .events = 53,
                                       .online_events = 10,
                                       .gap_ms = 100,
                                       .waiting_tokens = 1000000,
                                       .preempt_once = on,
                                       .load_reports = true });
  GRand *rand = g_rand_new_with_seed (seed);
  GArray *callers = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  GPtrArray *jobs = g_ptr_array_new_with_free_func (g_free);
  clk_ms_t begin = hst_now (h);
  clk_ms_t job_ms = 23300 / (clk_ms_t)upstreams; /* 2.4 a second with 56 */
  while (hst_now (h) < begin + RUN_MS)
    {
      if (hst_now (h) >= begin + (clk_ms_t)jobs->len * job_ms)
        {
          char *id = g_strdup_printf ("j-%u", jobs->len);
          g_ptr_array_add (jobs, id);
          (void)hst_submit (h, jobs->len % entries, id, 10);
        }
      _load_step (h, rand, entries, upstreams, callers);
    }
  _figures (h, entries + workers, callers, w);
  for (guint i = 0; i < jobs->len; i++)
    {
      uint64_t c = hst_results_read (h, 0, g_ptr_array_index (jobs, i), 0);
      hst_advance (h, 10);
      w->results += hst_response (h, c)->ids->len;
    }
  g_ptr_array_unref (jobs);
  g_array_unref (callers);
  g_rand_free (rand);
  hst_shutdown (h);
}

/* The number in the variable NAME of the environment, DEF without it. */
static unsigned
_number (const char *name, unsigned def)
{
  const char *text = getenv (name);
  return text == NULL ? def : (unsigned)g_ascii_strtoull (text, NULL, 10);
}

/* Load: waves of online requests.  Guards against several preemptions for one
 * slot, and against paying for fewer with results or with online requests that
 * wait longer. */
static void
test_waves_preempt_less (void)
{
  unsigned upstreams = _number ("JOB_WAVES_UPSTREAMS", 8);
  unsigned seeds = _number ("JOB_WAVES_SEEDS", 2);
  waves_t by[2] = { 0 };
  for (int on = 0; on < 2; on++)
    {
      waves_t *w = &by[on];
      for (unsigned seed = 7; seed < 7 + seeds; seed++)
        _waves_run (w, upstreams, seed, on);
      printf ("upstreams=%u preempt_once=%d online=%u waited_ms=%lld "
              "late=%u starts=%u results=%u preempted=%u short=%u\n",
              upstreams, on, w->online, (long long)w->waited_ms, w->late,
              w->starts, w->results, w->preempted, w->short_runs);
    }
  CU_ASSERT (by[1].preempted < by[0].preempted);
  CU_ASSERT (by[1].results * 50 >= by[0].results * 49);
  CU_ASSERT (by[1].waited_ms * 20 <= by[0].waited_ms * 21);
  CU_ASSERT (by[1].late <= by[0].late + by[0].online / 1000);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "waves_preempt_less", test_waves_preempt_less },
  };
  return tst_run ("job_waves", cases, sizeof cases / sizeof cases[0]);
}

/** @file
 * Hosted fleet: jobs beyond what the upstreams can do in time.  Items take
 * 5.3 s; two upstreams of 8 slots run 12 at a time, so that about 40 items can
 * end in the 18 s of a job's due time.
 */
#include "hst.h"
#include "tst.h"

#include <string.h>

#define JOBS 30
#define ITEMS 10

static hst_t *
_fleet (bool refuse_late)
{
  return hst_fleet (&(hst_desc_t){ .events = 53,
                                   .gap_ms = 100,
                                   .waiting_tokens = 1000000,
                                   .refuse_late = refuse_late });
}

/** What became of a burst. */
typedef struct
{
  unsigned accepted;
  unsigned refused; /**< by 503 */
  unsigned on_time; /**< results at their job's due time */
  unsigned repeats; /**< accepted jobs whose repeat was not accepted */
} burst_t;

static unsigned
_result_count (hst_t *h, const char *id)
{
  uint64_t read = hst_results_read (h, 1, id, 0);
  hst_advance (h, 200);
  return hst_response (h, read)->ids->len;
}

/* Load: a job of 10 items every 2 s for a minute, more than twice what can be
 * done.  Each job is submitted again at the other entry VM after 4 s. */
static burst_t
_burst_run (hst_t *h)
{
  burst_t b = { 0 };
  uint64_t first[JOBS + 9] = { 0 };
  char id[16];
  for (unsigned i = 0; i < JOBS + 9; i++)
    {
      (void)g_snprintf (id, sizeof id, "j-%u", i);
      if (i < JOBS)
        first[i] = hst_submit (h, 0, id, ITEMS);
      hst_advance (h, 1600);
      if (i < JOBS)
        {
          b.accepted += hst_response (h, first[i])->status == 202;
          b.refused += hst_response (h, first[i])->status == 503;
        }
      if (i < JOBS && hst_response (h, first[i])->status == 202)
        {
          uint64_t again = hst_submit (h, 1, id, ITEMS);
          hst_advance (h, 200);
          b.repeats += hst_response (h, again)->status != 202;
        }
      else
        hst_advance (h, 200);
      (void)g_snprintf (id, sizeof id, "j-%u", i - 9);
      if (i >= 9 && hst_response (h, first[i - 9])->status == 202)
        b.on_time += _result_count (h, id);
      else
        hst_advance (h, 200);
    }
  return b;
}

/* Guards against accepting jobs without end, against refusals that cost more
 * than they save, and against refusals where the setting is off. */
static void
test_burst_of_jobs (void)
{
  burst_t by[2];
  for (int on = 0; on < 2; on++)
    {
      hst_t *h = _fleet (on);
      by[on] = _burst_run (h);
      hst_shutdown (h);
      printf ("refuse_late=%d accepted=%u refused=%u on_time=%u repeats=%u\n",
              on, by[on].accepted, by[on].refused, by[on].on_time,
              by[on].repeats);
      CU_ASSERT_EQUAL (by[on].repeats, 0);
    }
  CU_ASSERT_EQUAL (by[0].refused, 0);
  CU_ASSERT (by[1].refused > 0);
  /* At least as many results are on time although fewer jobs are taken. */
  CU_ASSERT (by[1].on_time * 20 >= by[0].on_time * 19);
  CU_ASSERT (by[1].on_time * 2 >= by[1].accepted * ITEMS);
}

/* Failures: workers that do not answer, and workers that have restarted and
 * know no pace.  Guards against refusals without evidence and against long
 * waits. */
static void
test_workers_that_know_nothing (void)
{
  hst_t *h = _fleet (true);
  (void)_burst_run (h);
  for (size_t vm = 2; vm < 4; vm++)
    hst_freeze (h, vm, 1000);
  clk_ms_t sent = hst_now (h);
  uint64_t c = hst_submit (h, 0, "k-1", ITEMS);
  hst_advance (h, 500);
  CU_ASSERT_EQUAL (hst_response (h, c)->status, 202);
  CU_ASSERT (hst_response (h, c)->first_at - sent < 150);
  for (size_t vm = 2; vm < 4; vm++)
    {
      hst_kill (h, vm);
      hst_start (h, vm);
    }
  hst_advance (h, 6000);
  for (unsigned i = 0; i < 4; i++)
    {
      char id[16];
      (void)g_snprintf (id, sizeof id, "l-%u", i);
      c = hst_submit (h, 0, id, ITEMS);
      hst_advance (h, 300);
      CU_ASSERT_EQUAL (hst_response (h, c)->status, 202);
    }
  hst_shutdown (h);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "burst_of_jobs", test_burst_of_jobs },
    { "workers_that_know_nothing", test_workers_that_know_nothing },
  };
  return tst_run ("job_late", cases, sizeof cases / sizeof cases[0]);
}

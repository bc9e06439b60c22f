/** @file
 * Hosted fleet: jobs beyond what the upstreams can do in time.  Items take
 * 5.3 s; two upstreams of 8 slots run 12 at a time, so that about 40 items can
 * end in the 18 s of a job's due time.
 */
#include "core/own.h"
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

/* Load: many jobs at one instant, at both entry VMs.  Guards against a burst
 * that is let pass as a whole before the runners get its first record. */
static void
test_burst_at_one_instant (void)
{
  hst_t *h = _fleet (true);
  char id[16];
  uint64_t c[JOBS];
  unsigned accepted = 0;
  for (unsigned i = 0; i < 20; i++)
    {
      (void)g_snprintf (id, sizeof id, "j-%u", i);
      (void)hst_submit (h, 0, id, ITEMS);
      hst_advance (h, 2000);
    }
  for (unsigned i = 0; i < JOBS; i++)
    {
      (void)g_snprintf (id, sizeof id, "k-%u", i);
      c[i] = hst_submit (h, i % 2, id, ITEMS);
    }
  hst_advance (h, 1000);
  for (unsigned i = 0; i < JOBS; i++)
    {
      int status = hst_response (h, c[i])->status;
      accepted += status == 202;
      CU_ASSERT (
          status == 202
          || (status == 503 && hst_response (h, c[i])->retry_after_ms >= 500));
    }
  printf ("accepted at one instant: %u of %u\n", accepted, JOBS);
  CU_ASSERT (accepted <= 6);
  hst_shutdown (h);
}

/* The next id, from *NEXT on, of a job that worker VM runs. */
static const char *
_id_of_worker (const char *vm, unsigned *next, char id[16])
{
  static const char *const workers[] = { "worker-2", "worker-3" };
  do
    (void)g_snprintf (id, 16, "j-%u", (*next)++);
  while (strcmp (own_pick (workers, 2, MOD_JOB, id), vm) != 0);
  return id;
}

/* Number of completed items of job ID. */
static unsigned
_completed (hst_t *h, const char *id)
{
  uint64_t read = hst_results_read (h, 1, id, 0);
  hst_advance (h, 100);
  const GPtrArray *texts = hst_response (h, read)->texts;
  unsigned n = 0;
  for (guint i = 0; i < texts->len; i++)
    n += strlen (g_ptr_array_index (texts, i)) > 0;
  return n;
}

/* Load: two workers, of which one has late items only, more than can run.  The
 * other gets a job every 7 s that would fit on its own.  Guards against items
 * that come late because late ones of another VM hold the slots, and against
 * late ones that starve. */
static void
test_late_items_leave_slots_to_another_worker (void)
{
  unsigned on_time[2] = { 0 };
  unsigned late[2] = { 0 };
  for (int on = 0; on < 2; on++)
    {
      hst_t *h = hst_fleet (&(hst_desc_t){ .events = 53,
                                           .gap_ms = 100,
                                           .waiting_tokens = 1000000,
                                           .yield_late = on });
      char id[16];
      char first[16];
      char ids[7][16];
      unsigned next = 0;
      (void)hst_submit (h, 0, _id_of_worker ("worker-2", &next, first), 400);
      hst_advance (h, 18000);
      unsigned before = _completed (h, first);
      for (unsigned i = 0; i < 7; i++)
        {
          memcpy (ids[i], _id_of_worker ("worker-3", &next, id), 16);
          (void)hst_submit (h, 1, ids[i], 14);
          hst_advance (h, 6800);
          if (i >= 2)
            on_time[on] += _completed (h, ids[i - 2]);
          hst_advance (h, 100);
        }
      late[on] = _completed (h, first) - before;
      printf ("yield_late=%d on_time=%u of 70, late ones done=%u\n", on,
              on_time[on], late[on]);
      hst_shutdown (h);
    }
  CU_ASSERT (on_time[1] >= on_time[0]);
  CU_ASSERT (late[1] > 0);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "burst_of_jobs", test_burst_of_jobs },
    { "burst_at_one_instant", test_burst_at_one_instant },
    { "late_items_leave_slots_to_another_worker",
      test_late_items_leave_slots_to_another_worker },
    { "workers_that_know_nothing", test_workers_that_know_nothing },
  };
  return tst_run ("job_late", cases, sizeof cases / sizeof cases[0]);
}

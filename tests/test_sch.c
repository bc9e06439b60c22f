/** @file
 * Scheduling order: feasible due times are met, and service is fair.
 */
#include "core/sch.h"
#include "tst.h"

#include <glib.h>
#include <string.h>

#define JOBS 8
#define SETS 300

typedef struct
{
  sch_job_t entry;
  clk_ms_t from; /**< time from which the job can be picked */
  int items;     /**< items that are not served yet */
  clk_ms_t ended;
} job_t;

static const char *const customers[] = { "a", "b", "c", "d" };

/* Serves the items one at a time, a second each, and returns the largest
 * lateness of a job in ms; 0 when no job is late. */
static clk_ms_t
worst_lateness (const job_t *given, sch_policy_t policy)
{
  job_t jobs[JOBS];
  memcpy (jobs, given, sizeof jobs);
  sch_t *s
      = sch_setup (NULL, &(sch_desc_t){ .policy = policy, .margin_ms = 2000 });
  clk_ms_t worst = 0;
  int left = 0;
  for (int i = 0; i < JOBS; i++)
    left += jobs[i].items;
  for (clk_ms_t now = 0; left > 0; now += CLK_SECOND)
    {
      sch_job_t list[JOBS];
      for (int i = 0; i < JOBS; i++)
        {
          list[i] = jobs[i].entry;
          list[i].ready = now >= jobs[i].from && jobs[i].items > 0;
          list[i].need_ms = (double)jobs[i].items * CLK_SECOND;
        }
      int pick = sch_pick (s, now, list, JOBS);
      if (pick < 0)
        continue;
      sch_service_add (s, list[pick].customer, 1, 1);
      left--;
      if (--jobs[pick].items == 0)
        worst = clk_max (worst, now + CLK_SECOND - list[pick].due);
    }
  sch_shutdown (s);
  return worst;
}

static void
test_due_times_that_can_be_met_are_met (void)
{
  GRand *rand = g_rand_new_with_seed (3);
  int feasible = 0;
  for (int set = 0; set < SETS; set++)
    {
      job_t jobs[JOBS] = { 0 };
      for (int i = 0; i < JOBS; i++)
        {
          jobs[i].items = g_rand_int_range (rand, 1, 25);
          jobs[i].entry.customer = customers[g_rand_int_range (rand, 0, 4)];
          jobs[i].entry.due = jobs[i].from + jobs[i].items * CLK_SECOND
                              + CLK_SECOND * g_rand_int_range (rand, 0, 120);
        }
      if (worst_lateness (jobs, SCH_EARLIEST_DUE) > 0)
        continue;
      feasible++;
      CU_ASSERT_EQUAL (worst_lateness (jobs, SCH_SLACK_FAIR), 0);
    }
  CU_ASSERT (feasible > SETS / 4);
  g_rand_free (rand);
}

static void
test_service_follows_weights (void)
{
  sch_t *s = sch_setup (NULL, &(sch_desc_t){ 0 });
  const sch_job_t list[] = {
    { .customer = "a", .weight = 3, .ready = true },
    { .customer = "b", .weight = 1, .ready = true },
  };
  int count[2] = { 0 };
  for (int i = 0; i < 4000; i++)
    {
      int pick = sch_pick (s, i, list, 2);
      count[pick]++;
      sch_service_add (s, list[pick].customer, list[pick].weight, 1);
    }
  CU_ASSERT (count[0] > 2990 && count[0] < 3010);
  sch_shutdown (s);
}

/* A customer whose service does not grow while it has no ready job would get
 * all of the service for a long time when it returns. */
static void
test_absence_earns_no_service (void)
{
  sch_t *s = sch_setup (NULL, &(sch_desc_t){ .max_service_gap = 10 });
  sch_job_t list[] = {
    { .customer = "a", .ready = true },
    { .customer = "b", .ready = true },
  };
  for (int i = 0; i < 20; i++)
    sch_service_add (s, list[sch_pick (s, i, list, 2)].customer, 1, 1);
  list[1].ready = false;
  for (int i = 0; i < 1000; i++)
    sch_service_add (s, list[sch_pick (s, i, list, 2)].customer, 1, 1);
  list[1].ready = true;
  int b = 0;
  for (int i = 0; i < 100; i++)
    {
      int pick = sch_pick (s, i, list, 2);
      b += pick;
      sch_service_add (s, list[pick].customer, 1, 1);
    }
  CU_ASSERT (b >= 50 && b <= 56);
  sch_shutdown (s);
}

/* If the urgency of jobs that are late, or soon will be, always came first, a
 * customer with more work than capacity would keep all others from service. */
static void
test_late_crowd_does_not_displace_others (void)
{
  sch_t *s = sch_setup (NULL, &(sch_desc_t){ 0 });
  const sch_job_t list[] = {
    { .customer = "crowd", .due = 1000, .need_ms = 9e6, .ready = true },
    { .customer = "crowd", .due = 60000, .need_ms = 55e3, .ready = true },
    { .customer = "small", .due = 900000, .need_ms = 100, .ready = true },
  };
  int small = 0;
  for (int i = 0; i < 400; i++)
    {
      int pick = sch_pick (s, 0, list, 3);
      small += pick == 2;
      sch_service_add (s, list[pick].customer, 1, 1);
    }
  CU_ASSERT (small > 150);
  sch_shutdown (s);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "due_times_that_can_be_met_are_met",
      test_due_times_that_can_be_met_are_met },
    { "service_follows_weights", test_service_follows_weights },
    { "absence_earns_no_service", test_absence_earns_no_service },
    { "late_crowd_does_not_displace_others",
      test_late_crowd_does_not_displace_others },
  };
  return tst_run ("sch", cases, sizeof cases / sizeof cases[0]);
}

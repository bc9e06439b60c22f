/** @file
 * Runs of items that bring nothing: whatever the cause, the next run comes
 * after a pause that grows.  Without it an item is sent thousands of times a
 * second, and its VM is too busy for all others.
 */
#include "core/job_int.h"
#include "hst.h"
#include "tst.h"

#include <stdio.h>
#include <talloc.h>

#define WATCHED_MS (20 * CLK_SECOND)
/* Runs of one item in that time, if the pause doubles from 20 ms to 1 s from
 * the second run on and is three quarters of that at the shortest. */
#define RUNS_MAX 35
/* Calls for one object in one second, twice as many as one each 150 ms. */
#define CALLS_MAX 14

static const hst_fault_t fruitless[] = {
  { .no_id = true },        /* answers of other requests */
  { .no_signature = true }, /* successes that nobody signs */
  { .status = 404 },        /* neither run nor refused for good */
  { .status = 503 },        /* the same, without a promise */
  { .status = 421, .not_run = true },
  { .cut_off = true },
};

/* Runs of items that all VMs have begun. */
static double
runs (const hst_t *h)
{
  double sum = 0;
  for (size_t vm = 0; vm < 4; vm++)
    sum += hst_counter (h, vm, "rts_job_runs_total");
  return sum;
}

/* Guards against an item that is sent again at once and without end, as each
 * answer is another request's or none. */
static void
test_fruitless_runs_come_ever_later (void)
{
  for (size_t i = 0; i < sizeof fruitless / sizeof fruitless[0]; i++)
    {
      hst_t *h = hst_fleet (&(hst_desc_t){ .upstreams = 2 });
      hst_fault_set (h, 0, fruitless[i]);
      hst_fault_set (h, 1, fruitless[i]);
      (void)hst_submit (h, 0, "j-1", 1);
      hst_advance (h, WATCHED_MS);
      CU_ASSERT (runs (h) > 1);
      CU_ASSERT (runs (h) <= RUNS_MAX);
      if (runs (h) <= 1 || runs (h) > RUNS_MAX)
        (void)printf ("fault %zu: %g runs\n", i, runs (h));
      hst_shutdown (h);
    }
}

/* The same where no path leads to an upstream and nobody sent bad input; the
 * item runs soon after there is one. */
static void
test_runs_without_a_path_come_ever_later (void)
{
  static const hst_stranding_t hows[] = { HST_SILENCED, HST_REFUSED };
  for (size_t i = 0; i < 4; i++)
    {
      hst_t *h = hst_fleet (&(hst_desc_t){ .tunnels = i >= 2 });
      for (size_t vm = 0; vm < 4; vm++)
        hst_strand (h, vm, hows[i % 2], 2);
      (void)hst_submit (h, 0, "j-1", 1);
      hst_advance (h, WATCHED_MS);
      CU_ASSERT (runs (h) <= RUNS_MAX);
      if (runs (h) > RUNS_MAX)
        (void)printf ("way %zu: %g runs\n", i, runs (h));
      for (size_t vm = 0; vm < 4; vm++)
        hst_strand (h, vm, HST_REACHES, 2);
      hst_advance (h, 5000);
      CU_ASSERT_EQUAL (hst_run_count (h, "j-1-0"), 1);
      hst_shutdown (h);
    }
}

/* A run that has brought an event makes no later one wait. */
static void
test_broken_run_goes_on_at_once (void)
{
  hst_t *h = hst_fleet (&(hst_desc_t){ .upstreams = 1 });
  hst_fault_set (h, 0, (hst_fault_t){ .break_after = 9 });
  (void)hst_submit (h, 0, "j-1", 1);
  hst_advance (h, 3000);
  const GArray *arrivals = hst_arrivals (h);
  TST_NEED (arrivals->len == 2);
  clk_ms_t between = g_array_index (arrivals, hst_arrival_t, 1).at
                     - g_array_index (arrivals, hst_arrival_t, 0).at;
  /* Nine events of 10 ms each, and the head. */
  CU_ASSERT (between < 200);
  hst_shutdown (h);
}

/* Guards against a text or a body that is not there, read again as fast as the
 * platform answers until the caller's time is over. */
static void
test_missing_object_is_read_with_pauses (void)
{
  job_rec_item_t item
      = { .id = "a", .target = "/q/1", .part = 0, .length = 1 };
  job_rec_result_t result = { .completed = true };
  for (int body = 0; body < 2; body++)
    {
      unsigned reads = 0;
      env_t *env = env_setup (NULL, &(env_desc_t){ .vm = "n-1" });
      mbr_t *members = mbr_setup (env, &(mbr_desc_t){ 0 });
      rte_t *routes = rte_setup (env, &(rte_desc_t){ .members = members });
      job_set_t *jobs = job_setup (
          env, &(job_desc_t){ .members = members, .routes = routes });
      job_rec_t rec = { .id = "j-1",
                        .customer = "t1",
                        .host = "a.example",
                        .path = "/q/*",
                        .parts = 1,
                        .items = &item,
                        .item_count = 1,
                        .results = &result,
                        .result_count = 1 };
      (void)job_record_apply (jobs, env, 9, job_rec_encode (env, &rec));
      job_call_start (
          jobs, env, "t1",
          &(ev_request_t){ .caller = 1,
                           .job = { .op = body ? EV_JOB_BODY : EV_JOB_READ,
                                    .id = "j-1",
                                    .item = "a" } });
      for (clk_ms_t end = env->now + CLK_SECOND; env->now < end; env->now++)
        {
          uint64_t call = 0;
          tmr_due_t due;
          for (size_t i = 0; i < env->fx->count; i++)
            if (env->fx->v[i].kind == FX_PLATFORM)
              call = env->fx->v[i].platform.call;
          fx_clear (env->fx);
          plt_done_t done;
          ev_platform_t none = { .call = call, .code = ST_NOT_FOUND };
          reads += call != 0;
          if (call != 0 && plt_reply (env, &none, &done))
            job_platform_replied (jobs, env, &done, &none);
          while (tmr_pop (env->tmr, env->now, &due))
            if (due.mod == MOD_JOB)
              job_timer_fired (jobs, env, due.tag);
        }
      CU_ASSERT (reads > 2);
      CU_ASSERT (reads <= CALLS_MAX);
      env_shutdown (env);
    }
}

/* Guards against a result that is written again as fast as the platform
 * answers, as the stored record cannot be used. */
static void
test_unusable_record_is_met_with_pauses (void)
{
  unsigned writes = 0;
  job_rec_item_t item = { .id = "a", .target = "/q/1" };
  env_t *env = env_setup (NULL, &(env_desc_t){ .vm = "n-1" });
  mbr_t *members = mbr_setup (env, &(mbr_desc_t){ 0 });
  rte_t *routes = rte_setup (env, &(rte_desc_t){ .members = members });
  job_set_t *jobs
      = job_setup (env, &(job_desc_t){ .members = members, .routes = routes });
  job_rec_t rec = { .id = "j-1",
                    .customer = "t1",
                    .host = "a.example",
                    .path = "/q/*",
                    .items = &item,
                    .item_count = 1 };
  job_t *job = job_record_apply (jobs, env, 9, job_rec_encode (env, &rec));
  TST_NEED (job != NULL);
  fx_clear (env->fx);
  job_outcome_set (jobs, env, job, 0, false);
  for (clk_ms_t end = env->now + CLK_SECOND; env->now < end; env->now++)
    {
      uint64_t call = 0;
      tmr_due_t due;
      plt_done_t done;
      for (size_t i = 0; i < env->fx->count; i++)
        if (env->fx->v[i].kind == FX_PLATFORM)
          call = env->fx->v[i].platform.call;
      fx_clear (env->fx);
      writes += call != 0;
      ev_object_t other = { .version = 20, .value = buf_str ("other") };
      ev_platform_t conflict = {
        .call = call, .code = ST_CONFLICT, .objects = &other, .object_count = 1
      };
      if (call != 0 && plt_reply (env, &conflict, &done))
        job_platform_replied (jobs, env, &done, &conflict);
      while (tmr_pop (env->tmr, env->now, &due))
        if (due.mod == MOD_JOB)
          job_timer_fired (jobs, env, due.tag);
    }
  CU_ASSERT (writes > 2);
  CU_ASSERT (writes <= CALLS_MAX);
  env_shutdown (env);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "fruitless_runs_come_ever_later", test_fruitless_runs_come_ever_later },
    { "runs_without_a_path_come_ever_later",
      test_runs_without_a_path_come_ever_later },
    { "broken_run_goes_on_at_once", test_broken_run_goes_on_at_once },
    { "missing_object_is_read_with_pauses",
      test_missing_object_is_read_with_pauses },
    { "unusable_record_is_met_with_pauses",
      test_unusable_record_is_met_with_pauses },
  };
  return tst_run ("job_pauses", cases, sizeof cases / sizeof cases[0]);
}

/** @file
 * Batch jobs under random faults from a seed: VMs that are killed, frozen or
 * partitioned at any time, a platform that is unavailable or slow or loses
 * responses to writes that succeeded, upstream calls that break, and jobs that
 * are sent again and cancelled.
 *
 *   test_bat_faults                      the fixed seeds of make check
 *   test_bat_faults --seeds 1000 --from 1
 *   test_bat_faults --seeds 1 --from 17 --trace
 *
 * The test checks in every run: an accepted job ends; each of its items has
 * exactly one outcome, which never changes after it was read; non-idempotent
 * items run at most once; no item starts after a confirmed cancellation; a
 * response says "not-run" only when no job was accepted.
 */
#include "batbed.h"
#include "core/bat_rec.h"
#include "tst.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define FIXED_SEEDS 6
#define VMS 4
#define JOBS 5
#define STEP_MS 250
#define FAULT_STEPS 320     /* 80 s of faults */
#define RECOVERY_STEPS 1200 /* at most 5 min after the faults */

typedef enum
{
  JOB_UNSENT,
  JOB_SENT,     /* waits for a response */
  JOB_ACCEPTED, /* acknowledged */
} job_step_t;

typedef struct
{
  char customer[16];
  char key[16];
  char id[BAT_ID_SIZE];
  char *body;
  uint32_t items;
  bool *impossible;   /* per item: it always fails */
  bool *at_most_once; /* per item: it is not idempotent */
  char **outcome;     /* lines as first read; NULL: not read yet */
  job_step_t step;
  uint64_t caller;       /* of the latest submission */
  clk_ms_t requested_at; /* time of the latest submission or cancellation */
  clk_ms_t send_at;      /* earliest time of the next submission */
  clk_ms_t cancel_at;    /* CLK_NEVER: never */
  bool cancel_confirmed;
  bool may_run; /* a submission may have been accepted */
  uint64_t cancel_caller;
  uint64_t reader; /* caller of the latest read of results; 0: none */
  clk_ms_t read_at;
  bool ended;
} job_t;

typedef struct
{
  uint32_t seed;
  batbed_t *bed;
  GRand *rand;
  job_t jobs[JOBS];
  unsigned faults;
  unsigned refused;
  unsigned restart_at[VMS];
  const char *violation; /* the first one; NULL: none */
  char detail[256];
} run_t;

static void
violation_report (run_t *r, const char *what, const job_t *j, uint32_t item)
{
  if (r->violation != NULL)
    return;
  r->violation = what;
  g_snprintf (r->detail, sizeof r->detail, "job %s item %u at %ld", j->id,
              item, (long)batbed_now (r->bed));
}

/* -- jobs ----------------------------------------------------------------- */

static void
job_make (run_t *r, job_t *j, unsigned index)
{
  g_snprintf (j->customer, sizeof j->customer, "customer-%u", index % 3);
  g_snprintf (j->key, sizeof j->key, "key-%u", index);
  bat_id_make (j->customer, j->key, j->id);
  j->items = (uint32_t)g_rand_int_range (r->rand, 1, 60);
  j->impossible = g_new0 (bool, j->items);
  j->at_most_once = g_new0 (bool, j->items);
  j->outcome = g_new0 (char *, j->items);
  GString *body = g_string_new (NULL);
  for (uint32_t i = 0; i < j->items; i++)
    {
      j->impossible[i] = g_rand_int_range (r->rand, 0, 12) == 0;
      j->at_most_once[i] = g_rand_int_range (r->rand, 0, 3) == 0;
      g_string_append_printf (
          body,
          "{\"custom_id\":\"%u\",\"url\":\"%s\",\"body\":{\"p\":\"%s\"}}\n", i,
          j->at_most_once[i] ? "/orders" : "/v1/completions",
          j->impossible[i] ? "impossible" : "possible");
    }
  j->body = g_string_free (body, FALSE);
  j->send_at = batbed_now (r->bed) + g_rand_int_range (r->rand, 0, 30000);
  j->cancel_at = CLK_NEVER;
  if (g_rand_boolean (r->rand))
    j->cancel_at = j->send_at + g_rand_int_range (r->rand, 100, 30000);
}

static void
job_clear (job_t *j)
{
  for (uint32_t i = 0; i < j->items; i++)
    g_free (j->outcome[i]);
  g_free (j->outcome);
  g_free (j->impossible);
  g_free (j->at_most_once);
  g_free (j->body);
}

static uint32_t
any_vm (run_t *r)
{
  return (uint32_t)g_rand_int_range (r->rand, 0, VMS);
}

/* Handles the response to a submission. */
static void
job_response_handle (run_t *r, job_t *j, const batbed_response_t *response)
{
  if (response->status == 200 || response->status == 202)
    {
      if (strstr (response->body->str, j->id) == NULL)
        violation_report (r, "response names another job", j, 0);
      j->step = JOB_ACCEPTED;
      return;
    }
  r->refused++;
  bool not_run = strstr (response->body->str, "not-run") != NULL;
  if (response->status != 503)
    violation_report (r, "refused with a status other than 503", j, 0);
  j->may_run = j->may_run || !not_run;
  char *name = bat_name_job (NULL, j->id);
  if (!j->may_run && batbed_has_object (r->bed, name))
    violation_report (r, "response says not-run, but the job was accepted", j,
                      0);
  talloc_free (name);
  j->step = JOB_UNSENT;
  j->send_at = batbed_now (r->bed) + 1000;
}

/* Sends the job to random VMs until it is acknowledged, as clients do. */
static void
job_send (run_t *r, job_t *j)
{
  clk_ms_t now = batbed_now (r->bed);
  if (j->step == JOB_SENT)
    {
      const batbed_response_t *response = batbed_response (r->bed, j->caller);
      if (response->ended)
        job_response_handle (r, j, response);
      else if (now - j->requested_at > 12000)
        {
          j->may_run = true;
          j->step = JOB_UNSENT;
        }
    }
  if (j->step != JOB_UNSENT || now < j->send_at)
    return;
  j->caller = batbed_request (r->bed, any_vm (r), j->customer, "POST",
                              "/v1/batches", j->key, j->body);
  j->requested_at = now;
  if (j->caller != 0)
    j->step = JOB_SENT;
}

static void
job_cancel (run_t *r, job_t *j)
{
  if (j->step != JOB_ACCEPTED || j->cancel_confirmed
      || batbed_now (r->bed) < j->cancel_at)
    return;
  const batbed_response_t *response
      = batbed_response (r->bed, j->cancel_caller);
  if (j->cancel_caller != 0 && response->ended && response->status == 200)
    {
      j->cancel_confirmed = true;
      batbed_forbid_starts (r->bed, j->id);
      return;
    }
  if (j->cancel_caller != 0 && !response->ended
      && batbed_now (r->bed) - j->requested_at < 12000)
    return;
  char *path = g_strdup_printf ("/v1/batches/%s/cancel", j->id);
  j->cancel_caller = batbed_request (r->bed, any_vm (r), j->customer, "POST",
                                     path, NULL, "");
  j->requested_at = batbed_now (r->bed);
  g_free (path);
}

/* -- results -------------------------------------------------------------- */

static void
check_outcome (run_t *r, job_t *j, uint32_t n, json_t *o)
{
  const char *state = json_string_value (json_object_get (o, "state"));
  const char *reason = json_string_value (json_object_get (o, "reason"));
  bool cancelled = strcmp (state, "cancelled") == 0;
  bool done = strcmp (state, "done") == 0;
  bool unknown = reason != NULL && strstr (reason, "unknown") != NULL;
  if (done && j->impossible[n])
    violation_report (r, "impossible item is done", j, n);
  if (cancelled && j->cancel_at == CLK_NEVER)
    violation_report (r, "item cancelled without a cancellation", j, n);
  if (!done && !cancelled && !j->impossible[n]
      && !(unknown && j->at_most_once[n]))
    {
      if (reason == NULL || strstr (reason, "broke") == NULL)
        violation_report (r, "possible item failed", j, n);
    }
}

static void
check_line (run_t *r, job_t *j, buf_t line, bool *seen)
{
  json_t *o = json_loadb (line.p, line.n, 0, NULL);
  json_int_t n = json_integer_value (json_object_get (o, "n"));
  if (o == NULL || n < 0 || n >= j->items || seen[n])
    {
      violation_report (r, "result line is invalid or a duplicate", j,
                        (uint32_t)n);
      json_decref (o);
      return;
    }
  seen[n] = true;
  char *text = g_strndup (line.p, line.n);
  if (j->outcome[n] == NULL)
    {
      check_outcome (r, j, (uint32_t)n, o);
      j->outcome[n] = text;
    }
  else
    {
      if (strcmp (text, j->outcome[n]) != 0)
        violation_report (r, "outcome changed", j, (uint32_t)n);
      g_free (text);
    }
  json_decref (o);
}

static void
check_results (run_t *r, job_t *j, const batbed_response_t *response)
{
  bool *seen = g_new0 (bool, j->items);
  buf_t rest = { .p = response->body->str, .n = response->body->len };
  buf_t line;
  while (bat_line_next (&rest, &line))
    check_line (r, j, line, seen);
  for (uint32_t i = 0; i < j->items; i++)
    {
      if (j->outcome[i] != NULL && !seen[i])
        violation_report (r, "outcome lost", j, i);
    }
  g_free (seen);
}

static bool
job_is_complete (const job_t *j)
{
  for (uint32_t i = 0; i < j->items; i++)
    {
      if (j->outcome[i] == NULL)
        return false;
    }
  return true;
}

/* Reads the results from a random VM: at each call if OFTEN, otherwise at
 * random calls. */
static void
job_read (run_t *r, job_t *j, bool often)
{
  if (j->step != JOB_ACCEPTED)
    return;
  if (j->reader != 0)
    {
      const batbed_response_t *response = batbed_response (r->bed, j->reader);
      if (!response->ended && batbed_now (r->bed) - j->read_at < 12000)
        return;
      if (response->ended && response->status == 200 && !response->aborted)
        check_results (r, j, response);
      else if (response->ended && response->status == 404)
        violation_report (r, "accepted job not found", j, 0);
    }
  j->reader = 0;
  if (!often && g_rand_int_range (r->rand, 0, 8) != 0)
    return;
  char *path = g_strdup_printf ("/v1/batches/%s/results", j->id);
  j->read_at = batbed_now (r->bed);
  j->reader = batbed_request (r->bed, any_vm (r), j->customer, "GET", path,
                              NULL, "");
  g_free (path);
}

/* -- faults --------------------------------------------------------------- */

static void
faults_inject (run_t *r, unsigned step)
{
  for (uint32_t i = 0; i < VMS; i++)
    {
      if (!batbed_is_up (r->bed, i) && step >= r->restart_at[i])
        batbed_restart (r->bed, i);
    }
  if (g_rand_int_range (r->rand, 0, 6) != 0)
    return;
  r->faults++;
  uint32_t vm = any_vm (r);
  clk_ms_t ms = g_rand_int_range (r->rand, 500, 30000);
  switch (g_rand_int_range (r->rand, 0, 6))
    {
    case 0:
    case 1:
      r->restart_at[vm] = step + (unsigned)g_rand_int_range (r->rand, 1, 120);
      batbed_kill (r->bed, vm);
      break;
    case 2:
      if (batbed_is_up (r->bed, vm))
        batbed_freeze (r->bed, vm, ms);
      break;
    case 3:
      batbed_partition (r->bed, vm, ms);
      if (g_rand_boolean (r->rand)) /* a whole data centre */
        batbed_partition (r->bed, (vm + 1) % VMS, ms);
      break;
    case 4:
      batbed_outage (r->bed, ms / 2);
      break;
    default:
      r->restart_at[vm] = step + (unsigned)g_rand_int_range (r->rand, 20, 120);
      batbed_leave (r->bed, vm);
      break;
    }
}

/* Stops the VMs that have completed their graceful shutdown. */
static void
stop_left_vms (run_t *r, unsigned step)
{
  for (uint32_t i = 0; i < VMS; i++)
    {
      if (batbed_is_up (r->bed, i) && bat_left (batbed_bat (r->bed, i))
          && step < r->restart_at[i])
        batbed_kill (r->bed, i);
    }
}

/* Whether all jobs have ended and their cancellations are confirmed. */
static bool
settled (run_t *r)
{
  for (size_t i = 0; i < JOBS; i++)
    {
      if (!job_is_complete (&r->jobs[i])
          || (r->jobs[i].cancel_at != CLK_NEVER
              && !r->jobs[i].cancel_confirmed))
        return false;
    }
  return !batbed_has_object (r->bed, "batch/open/");
}

static void
step_jobs (run_t *r, bool often)
{
  for (size_t i = 0; i < JOBS; i++)
    {
      job_send (r, &r->jobs[i]);
      job_cancel (r, &r->jobs[i]);
      job_read (r, &r->jobs[i], often);
    }
}

static batbed_desc_t
random_bed_desc (uint32_t seed, GRand *rand)
{
  return (batbed_desc_t){
    .seed = seed,
    .vms = VMS,
    .upstreams = 1,
    .slots = (uint32_t)g_rand_int_range (rand, 3, 10),
    .lose_response = g_rand_int_range (rand, 0, 2) ? 0.05 : 0.25,
    .refuse = g_rand_double_range (rand, 0, 0.1),
    .break_call = g_rand_double_range (rand, 0, 0.05),
    .slow_ms = 1500L * g_rand_int_range (rand, 0, 3),
    .item_ms = g_rand_int_range (rand, 50, 4000),
    .bat = { .chunk_items = (uint32_t)g_rand_int_range (rand, 3, 30),
             .term_ms = 6000,
             .scan_ms = 1500,
             .max_holds = (uint32_t)g_rand_int_range (rand, 1, 6),
             .max_attempts = 10,
             .intent_items = (uint32_t)g_rand_int_range (rand, 1, 8) },
  };
}

static void
check_end (run_t *r)
{
  batbed_totals_t t = batbed_totals (r->bed);
  const job_t *j = &r->jobs[0];
  if (t.doubled > 0)
    violation_report (r, "non-idempotent item ran twice", j,
                      (uint32_t)t.doubled);
  if (t.after_stop > 0)
    violation_report (r, "item started after confirmed cancel", j,
                      (uint32_t)t.after_stop);
  for (size_t i = 0; i < JOBS; i++)
    {
      if (!job_is_complete (&r->jobs[i]))
        violation_report (r, "job has items without an outcome", &r->jobs[i],
                          0);
    }
  if (!settled (r))
    violation_report (
        r, "cancellation not confirmed, or job still in the index", j, 0);
}

static bool
run_seed (uint32_t seed, bool trace)
{
  run_t r = { .seed = seed, .rand = g_rand_new_with_seed (seed) };
  batbed_desc_t desc = random_bed_desc (seed, r.rand);
  r.bed = batbed_setup (&desc);
  if (trace)
    batbed_trace (r.bed);
  for (unsigned i = 0; i < JOBS; i++)
    job_make (&r, &r.jobs[i], i);
  for (unsigned step = 0; step < FAULT_STEPS; step++)
    {
      faults_inject (&r, step);
      stop_left_vms (&r, step);
      step_jobs (&r, false);
      batbed_run (r.bed, STEP_MS);
    }
  for (uint32_t i = 0; i < VMS; i++)
    batbed_kill (r.bed, i); /* so that VMs that were leaving restart too */
  batbed_faults_end (r.bed);
  for (unsigned step = 0; step < RECOVERY_STEPS && !settled (&r); step++)
    {
      step_jobs (&r, true);
      batbed_run (r.bed, STEP_MS);
    }
  check_end (&r);
  if (r.violation != NULL)
    fprintf (stderr, "seed %u: %s: %s\n", seed, r.violation, r.detail);
  if (trace)
    {
      batbed_totals_t t = batbed_totals (r.bed);
      fprintf (stderr, "faults %u, refused %u, items %lu, repeated %lu\n",
               r.faults, r.refused, (unsigned long)t.items_started,
               (unsigned long)t.repeated);
    }
  for (unsigned i = 0; i < JOBS; i++)
    job_clear (&r.jobs[i]);
  batbed_shutdown (r.bed);
  g_rand_free (r.rand);
  return r.violation == NULL;
}

static void
test_fixed_seeds (void)
{
  for (uint32_t seed = 1; seed <= FIXED_SEEDS; seed++)
    CU_ASSERT_TRUE (run_seed (seed, false));
}

static int
run_many (uint32_t count, uint32_t from, bool trace)
{
  uint32_t failed = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      failed += !run_seed (from + i, trace);
      if ((i + 1) % 1000 == 0)
        fprintf (stderr, "%u seeds, %u failed\n", i + 1, failed);
    }
  printf ("%u passed, %u failed\n", count - failed, failed);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

int
main (int argc, char **argv)
{
  uint32_t count = 0;
  uint32_t from = 1;
  bool trace = false;
  for (int i = 1; i < argc; i++)
    {
      if (strcmp (argv[i], "--trace") == 0)
        trace = true;
      else if (strcmp (argv[i], "--seeds") == 0 && i + 1 < argc)
        count = (uint32_t)strtoul (argv[++i], NULL, 10);
      else if (strcmp (argv[i], "--from") == 0 && i + 1 < argc)
        from = (uint32_t)strtoul (argv[++i], NULL, 10);
    }
  if (count > 0)
    return run_many (count, from, trace);
  static const tst_case_t cases[] = {
    { "fixed_seeds", test_fixed_seeds },
  };
  return tst_run ("bat_faults", cases, sizeof cases / sizeof cases[0]);
}

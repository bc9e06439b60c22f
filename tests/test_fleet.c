/** @file
 * Randomized runs of whole nodes: three data centres of two VMs, completions,
 * orders and a batch job, and random faults: killed, restarted and frozen VMs,
 * isolated data centres, a platform that is down or loses responses, upstreams
 * that do not respond, truncate responses or refuse.  After the faults end and
 * a time to recover, the invariants are checked: no order runs twice, requests
 * end in time, rates hold, each item is done once, withdrawn keys are refused.
 * A failed run is reproduced from its seed.
 *
 *   build/tests/test_fleet [--seeds COUNT] [--from SEED]
 */
#include "core/inv.h"
#include "flt.h"
#include "tst.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define SEEDS_DEFAULT 6
#define FAULT_PHASE_MS (25 * CLK_SECOND)
#define RECOVERY_MS (60 * CLK_SECOND)
#define STARTUP_MS (8 * CLK_SECOND)
#define REQUEST_INTERVAL_MS 40 /* between requests, on average */
#define FAULT_INTERVAL_MS 1500 /* between faults, on average */
#define DEADLINE_MS 4000       /* of the routes */
#define DEADLINE_SLACK_MS 1000 /* for a response to reach its caller */
#define JOB_ITEMS 60
#define UPSTREAMS 6
#define RESEND_ONE_IN 24 /* chance to send an earlier order again: 1/24 */
#define ORDERS_RATE 5    /* per second */
#define ORDERS_BURST 10

#define KEY_ONLINE "key-of-the-tailors"
#define KEY_ORDERS "key-of-the-workshop"
#define KEY_WITHDRAWN "key-to-be-withdrawn"

typedef enum
{
  REQUEST_COMPLETION,
  REQUEST_ORDER,
  REQUEST_KIND_NUM
} request_kind_t;

/* A request of the test. */
typedef struct
{
  request_kind_t kind;
  uint64_t id;
  char *marker; /**< unique text in the body; an order's Idempotency-Key */
  bool resent;  /**< an earlier order, sent again with the same key */
} request_t;

/* One run. */
typedef struct
{
  uint32_t seed;
  flt_t *fleet;
  GRand *rand; /* for the test's choices; the fleet has its own */
  request_t *requests;
  size_t request_count;
  clk_ms_t faults_began;
  uint64_t job; /* request that submitted the job */
  char *job_id; /* NULL: not accepted yet */
  bool down[6]; /* by VM: killed and not started again */
} run_t;

static uint32_t from_seed = 1;
static uint32_t seeds = SEEDS_DEFAULT;

/* -- document ------------------------------------------------------------- */

static void
add_key (char **text, const char *name, const char *customer, const char *key)
{
  char *sha256 = g_compute_checksum_for_string (G_CHECKSUM_SHA256, key, -1);
  *text = talloc_asprintf_append_buffer (
      *text, "[key %s]\nowner = ops\ncustomer = %s\nsha256 = %s\n", name,
      customer, sha256);
  g_free (sha256);
}

static char *
document (void *ctx)
{
  char *text = talloc_asprintf (
      ctx,
      "[customer tailors]\nowner = ops\nrate = 200/s\nburst = 200\n"
      "[customer workshop]\nowner = ops\nrate = %d/s\nburst = %d\n"
      "[deployment snit]\nowner = ops\nkind = engine\nslots = 8\n"
      "[deployment cloth]\nowner = ops\nkind = plain\nslots = 8\n"
      "[route POST /v1/completions]\nowner = ops\ndeployment = snit\n"
      "idempotent = yes\ndeadline = %d ms\n"
      "[route POST /orders]\nowner = ops\ndeployment = cloth\n"
      "deadline = %d ms\n",
      ORDERS_RATE, ORDERS_BURST, DEADLINE_MS, DEADLINE_MS);
  for (int i = 0; i < 3; i++)
    text = talloc_asprintf_append_buffer (
        text, "[data-centre dc-%d]\nowner = ops\n", i);
  for (int i = 0; i < UPSTREAMS; i++)
    text = talloc_asprintf_append_buffer (
        text,
        "[upstream u%d]\nowner = ops\ndeployment = %s\n"
        "data_centre = dc-%d\naddress = 10.0.0.%d:80\n",
        i, i < 3 ? "snit" : "cloth", i % 3, i + 1);
  add_key (&text, "tailors-1", "tailors", KEY_ONLINE);
  add_key (&text, "workshop-1", "workshop", KEY_ORDERS);
  add_key (&text, "gone-1", "tailors", KEY_WITHDRAWN);
  return text;
}

/* -- load and faults ------------------------------------------------------ */

static size_t
random_vm (run_t *r)
{
  return (size_t)g_rand_int_range (r->rand, 0, 6);
}

/* Returns a random VM as a load balancer chooses one: most of the time, one
 * whose node runs. */
static size_t
balanced_vm (run_t *r)
{
  size_t vm = random_vm (r);
  for (int attempts = 0; attempts < 3 && !flt_alive (r->fleet, vm); attempts++)
    vm = random_vm (r);
  return vm;
}

/* Returns the marker of an earlier order and sets RESENT, or returns a new
 * marker. */
static char *
order_marker (run_t *r, bool *resent)
{
  for (size_t i = r->request_count; i > 0; i--)
    {
      *resent = r->requests[i - 1].kind == REQUEST_ORDER
                && g_rand_int_range (r->rand, 0, RESEND_ONE_IN) == 0;
      if (*resent)
        return r->requests[i - 1].marker;
    }
  return talloc_asprintf (r->fleet, "marker-%u-%zu", r->seed,
                          r->request_count);
}

static void
request_send (run_t *r)
{
  bool order = g_rand_int_range (r->rand, 0, 4) == 0;
  bool resent = false;
  char *marker = order ? order_marker (r, &resent)
                       : talloc_asprintf (r->fleet, "marker-%u-%zu", r->seed,
                                          r->request_count);
  char *body = talloc_asprintf (r->fleet, "{\"prompt\":\"%s\"}", marker);
  r->requests = talloc_realloc (r->fleet, r->requests, request_t,
                                r->request_count + 1);
  r->requests[r->request_count++] = (request_t){
    .kind = order ? REQUEST_ORDER : REQUEST_COMPLETION,
    .marker = marker,
    .resent = resent,
    .id = flt_request (
        r->fleet, balanced_vm (r),
        &(flt_request_t){ .method = "POST",
                          .path = order ? "/orders" : "/v1/completions",
                          .key = order ? KEY_ORDERS : KEY_ONLINE,
                          .idempotency_key = order ? marker : NULL,
                          .body = body }),
  };
}

static void
kill_or_start (run_t *r)
{
  size_t vm = random_vm (r);
  if (r->down[vm])
    flt_start (r->fleet, vm);
  else
    flt_kill (r->fleet, vm);
  r->down[vm] = !r->down[vm];
}

static void
fault_inject (run_t *r)
{
  clk_ms_t now = flt_now (r->fleet);
  char address[32];
  (void)snprintf (address, sizeof address, "10.0.0.%d:80",
                  g_rand_int_range (r->rand, 0, UPSTREAMS) + 1);
  switch (g_rand_int_range (r->rand, 0, 6))
    {
    case 0:
    case 1:
      kill_or_start (r);
      break;
    case 2:
      flt_freeze (r->fleet, random_vm (r),
                  now + g_rand_int_range (r->rand, 100, 9000));
      break;
    case 3:
      flt_isolate (r->fleet, (size_t)g_rand_int_range (r->rand, 0, 3),
                   g_rand_boolean (r->rand));
      break;
    case 4:
      flt_platform_set (r->fleet,
                        (flt_platform_mode_t)g_rand_int_range (r->rand, 0, 3));
      break;
    default:
      flt_upstream_set (r->fleet, address,
                        (flt_upstream_mode_t)g_rand_int_range (r->rand, 0, 4));
      break;
    }
}

static void
faults_clear (run_t *r)
{
  flt_platform_set (r->fleet, FLT_PLATFORM_OK);
  for (size_t i = 0; i < 3; i++)
    flt_isolate (r->fleet, i, false);
  for (int i = 0; i < UPSTREAMS; i++)
    {
      char address[32];
      (void)snprintf (address, sizeof address, "10.0.0.%d:80", i + 1);
      flt_upstream_set (r->fleet, address, FLT_UPSTREAM_OK);
    }
  for (size_t i = 0; i < 6; i++)
    {
      if (r->down[i])
        flt_start (r->fleet, i);
      r->down[i] = false;
    }
}

static clk_ms_t
random_time_after (run_t *r, int mean)
{
  return flt_now (r->fleet) + g_rand_int_range (r->rand, 1, 2 * mean);
}

static void
run_with_faults (run_t *r, clk_ms_t until)
{
  clk_ms_t next_request = random_time_after (r, REQUEST_INTERVAL_MS);
  clk_ms_t next_fault = random_time_after (r, FAULT_INTERVAL_MS);
  while (flt_now (r->fleet) < until)
    {
      flt_run (r->fleet, clk_min (next_request, next_fault));
      if (flt_now (r->fleet) >= next_request)
        {
          request_send (r);
          next_request = random_time_after (r, REQUEST_INTERVAL_MS);
        }
      if (flt_now (r->fleet) >= next_fault)
        {
          fault_inject (r);
          next_fault = random_time_after (r, FAULT_INTERVAL_MS);
        }
    }
}

/* -- jobs ----------------------------------------------------------------- */

static uint64_t
job_request (run_t *r, size_t vm, const char *method, const char *path,
             const char *body)
{
  return flt_request (r->fleet, vm,
                      &(flt_request_t){ .method = method,
                                        .path = path,
                                        .key = KEY_ONLINE,
                                        .idempotency_key = "lot-1",
                                        .body = body });
}

static void
submit_job (run_t *r)
{
  char *lines = talloc_strdup (r->fleet, "");
  for (int i = 0; i < JOB_ITEMS; i++)
    lines = talloc_asprintf_append_buffer (
        lines,
        "{\"custom_id\":\"i%d\",\"method\":\"POST\","
        "\"url\":\"/v1/completions\",\"body\":{\"prompt\":\"item %d\"}}\n",
        i, i);
  for (int attempts = 0; attempts < 20; attempts++)
    {
      r->job = job_request (r, random_vm (r), "POST", "/v1/batches", lines);
      flt_run (r->fleet, flt_now (r->fleet) + CLK_SECOND);
      const flt_response_t *response = flt_response (r->fleet, r->job);
      const char *id = strstr (response->body, "\"id\":\"");
      if (response->status < 300 && id != NULL)
        {
          r->job_id
              = talloc_strndup (r->fleet, id + 6, strcspn (id + 6, "\""));
          return;
        }
    }
}

static const char *
job_results (run_t *r, size_t vm)
{
  char *path = talloc_asprintf (r->fleet, "/v1/batches/%s/results", r->job_id);
  uint64_t id = job_request (r, vm, "GET", path, "");
  flt_run (r->fleet, flt_now (r->fleet) + 2 * CLK_SECOND);
  return flt_response (r->fleet, id)->body;
}

static unsigned
occurrences (const char *text, const char *word)
{
  unsigned n = 0;
  for (const char *at = strstr (text, word); at != NULL;
       at = strstr (at + 1, word))
    n++;
  return n;
}

static void
check_job (run_t *r)
{
  INV_CHECK (r->job_id != NULL, "job-accepted", "seed %u: %s", r->seed,
             flt_response (r->fleet, r->job)->body);
  const char *results = job_results (r, 0);
  INV_CHECK (occurrences (results, "\"state\":\"done\"") == JOB_ITEMS,
             "each-item-done-once", "seed %u: %s", r->seed, results);
  for (int i = 0; i < JOB_ITEMS; i++)
    {
      char word[32];
      (void)snprintf (word, sizeof word, "\"custom_id\":\"i%d\"", i);
      INV_CHECK (occurrences (results, word) == 1, "each-item-once",
                 "seed %u: item %d", r->seed, i);
    }
  INV_CHECK (strcmp (results, job_results (r, 5)) == 0,
             "results-read-the-same", "seed %u", r->seed);
}

/* -- invariants ----------------------------------------------------------- */

static void
check_request (const run_t *r, const request_t *request)
{
  const flt_response_t *response = flt_response (r->fleet, request->id);
  char *body = talloc_asprintf (NULL, "{\"prompt\":\"%s\"}", request->marker);
  unsigned runs = flt_run_count (r->fleet, body);
  talloc_free (body);
  if (request->kind == REQUEST_ORDER)
    INV_CHECK (runs <= 1, "at-most-once", "seed %u: %s ran %u times", r->seed,
               request->marker, runs);
  bool done = response->ended || response->aborted;
  INV_CHECK (response->vm_failed
                 || (done
                     && response->last_at - response->sent_at
                            <= DEADLINE_MS + DEADLINE_SLACK_MS),
             "answered-in-time", "seed %u: %s at VM %zu asked %lld done %lld",
             r->seed, request->marker, response->vm,
             (long long)response->sent_at, (long long)response->last_at);
  if (response->status == 200 && response->ended)
    INV_CHECK (runs >= 1 && strstr (response->body, request->marker) != NULL
                   && g_str_has_suffix (response->body, "\"}\"}"),
               "whole-own-answer", "seed %u: %s got %s", r->seed,
               request->marker, response->body);
  if (strstr (response->body, "\"run\":\"not-run\"") != NULL)
    INV_CHECK (response->run_count == 0
                   && (runs == 0 || request->kind == REQUEST_ORDER),
               "not-run-is-true", "seed %u: %s ran %u times: %s", r->seed,
               request->marker, runs, response->body);
}

/* Checks that the orders that ran stay within rate and burst, counted over the
 * whole run. */
static void
check_rate (const run_t *r)
{
  unsigned ran = 0;
  for (size_t i = 0; i < r->request_count; i++)
    {
      if (r->requests[i].kind == REQUEST_ORDER && !r->requests[i].resent)
        ran += flt_run_count (r->fleet, r->requests[i].marker);
    }
  double most
      = ORDERS_BURST + ORDERS_RATE * (double)(flt_now (r->fleet)) / CLK_SECOND;
  INV_CHECK (ran <= most, "never-above-rate", "seed %u: %u ran, at most %.0f",
             r->seed, ran, most);
}

static void
check_all_vms_serve (run_t *r)
{
  unsigned served = 0;
  for (size_t i = 0; i < 6; i++)
    {
      uint64_t id
          = flt_request (r->fleet, i,
                         &(flt_request_t){ .method = "POST",
                                           .path = "/v1/completions",
                                           .key = KEY_ONLINE,
                                           .body = "{\"prompt\":\"calm\"}" });
      flt_run (r->fleet, flt_now (r->fleet) + 2 * CLK_SECOND);
      served += flt_response (r->fleet, id)->status == 200;
    }
  INV_CHECK (served == 6, "served-after-the-faults", "seed %u: %u of 6 VMs",
             r->seed, served);
}

static void
check_withdrawal (run_t *r)
{
  uint64_t id
      = flt_request (r->fleet, 2,
                     &(flt_request_t){ .method = "POST",
                                       .path = "/v1/operator/keys/withdraw",
                                       .key = FLT_OPERATOR_TOKEN,
                                       .body = "{\"name\":\"gone-1\"}" });
  flt_run (r->fleet, flt_now (r->fleet) + 2 * CLK_SECOND);
  INV_CHECK (flt_response (r->fleet, id)->status == 200, "withdrawal-taken",
             "seed %u: %s", r->seed, flt_response (r->fleet, id)->body);
  for (size_t i = 0; i < 6; i++)
    {
      id = flt_request (r->fleet, i,
                        &(flt_request_t){ .method = "POST",
                                          .path = "/v1/completions",
                                          .key = KEY_WITHDRAWN,
                                          .body = "{\"prompt\":\"gone\"}" });
      flt_run (r->fleet, flt_now (r->fleet) + CLK_SECOND);
      INV_CHECK (flt_response (r->fleet, id)->status == 401,
                 "withdrawn-key-is-refused", "seed %u: VM %zu says %d",
                 r->seed, i, flt_response (r->fleet, id)->status);
    }
}

static void
check_leave (run_t *r)
{
  flt_leave (r->fleet, 0);
  flt_run (r->fleet, flt_now (r->fleet) + 30 * CLK_SECOND);
  INV_CHECK (flt_exited (r->fleet, 0), "graceful-shutdown-ends", "seed %u",
             r->seed);
}

/* Prints a line with the number of responses of each kind, which shows whether
 * the run tested anything. */
static void
print_responses (const run_t *r)
{
  unsigned ok = 0;
  unsigned refused = 0;
  unsigned unknown = 0;
  unsigned broken = 0;
  unsigned vm_failed = 0;
  for (size_t i = 0; i < r->request_count; i++)
    {
      const flt_response_t *response
          = flt_response (r->fleet, r->requests[i].id);
      ok += response->status == 200 && response->ended;
      refused += strstr (response->body, "\"not-run\"") != NULL;
      unknown += strstr (response->body, "\"unknown\"") != NULL;
      broken += response->aborted;
      vm_failed
          += response->vm_failed && !response->ended && !response->aborted;
    }
  printf ("seed %u: %zu requests, %u answered, %u not run, %u unknown, "
          "%u broken off, %u lost with their VM\n",
          r->seed, r->request_count, ok, refused, unknown, broken, vm_failed);
  fflush (stdout);
}

static void
check_all (run_t *r)
{
  print_responses (r);
  for (size_t i = 0; i < r->request_count; i++)
    check_request (r, &r->requests[i]);
  check_rate (r);
  check_all_vms_serve (r);
  check_job (r);
  check_withdrawal (r);
  INV_CHECK (!flt_upstream_received (r->fleet, KEY_ONLINE)
                 && !flt_upstream_received (r->fleet, KEY_ORDERS)
                 && !flt_upstream_received (r->fleet, KEY_WITHDRAWN),
             "no-key-reaches-an-upstream", "seed %u", r->seed);
  check_leave (r);
}

static void
run_seed (uint32_t seed)
{
  void *ctx = talloc_new (NULL);
  run_t r = { .seed = seed, .rand = g_rand_new_with_seed (seed) };
  r.fleet = flt_setup (ctx, &(flt_desc_t){ .seed = seed,
                                           .data_centres = 3,
                                           .vms = 2,
                                           .document = document (ctx) });
  flt_run (r.fleet, STARTUP_MS);
  submit_job (&r);
  r.faults_began = flt_now (r.fleet);
  run_with_faults (&r, r.faults_began + FAULT_PHASE_MS);
  faults_clear (&r);
  if (r.job_id == NULL)
    submit_job (&r);
  flt_run (r.fleet, flt_now (r.fleet) + RECOVERY_MS);
  check_all (&r);
  g_rand_free (r.rand);
  talloc_free (ctx);
}

static void
test_invariants_hold_under_random_faults (void)
{
  for (uint32_t i = 0; i < seeds; i++)
    {
      run_seed (from_seed + i);
    }
  CU_PASS ("no invariant was broken");
}

int
main (int argc, char **argv)
{
  static const tst_case_t cases[] = {
    { "invariants_hold_under_random_faults",
      test_invariants_hold_under_random_faults },
  };
  for (int i = 1; i + 1 < argc; i += 2)
    {
      uint32_t value = (uint32_t)strtoul (argv[i + 1], NULL, 10);
      if (strcmp (argv[i], "--seeds") == 0)
        seeds = value;
      if (strcmp (argv[i], "--from") == 0)
        from_seed = value;
    }
  return tst_run ("fleet", cases, sizeof cases / sizeof cases[0]);
}

/** @file
 * Open-loop load generator: sends requests as a Poisson process, without
 * waiting for earlier responses, and prints JSON with latency quantiles and
 * counts by status.
 */
#include "srv.h"
#include "standin.h"

#include <argp.h>
#include <curl/curl.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/** Placeholder in a body for the seed and the request's number.  The
 * placeholder %S stands for "true" or "false", as --stream says. */
#define NUMBER_PLACEHOLDER "%N"
#define DEFAULT_BODY                                                          \
  "{\"prompt\": \"load %N\", \"max_tokens\": 8, \"stream\": %S}"
#define DRAIN_MS 30000 /* maximum wait for the last responses */
#define CONNECTIONS_MAX 512

/** One run against one list of targets, with its results. */
typedef struct
{
  CURLM *multi;
  char **targets;
  uint32_t target_count;
  GRand *rand;
  uint64_t sent;
  uint64_t in_flight;
  uint64_t failed;       /**< requests without a complete response */
  uint64_t mismatched;   /**< responses to another prompt */
  GArray *first_byte_ms; /**< double, of responses with status 200 */
  GArray *total_ms;      /**< double, of responses with status 200 */
  json_t *status;        /**< HTTP status -> responses */
} run_t;

/** Options of the command. */
typedef struct
{
  const char *targets;
  const char *direct;
  const char *key;
  const char *path;
  const char *body;
  double rate; /**< requests a second */
  double seconds;
  double burst_at; /**< seconds */
  double burst_seconds;
  double burst_rate;     /**< requests a second; 0: no burst */
  uint32_t open_streams; /**< 0: Poisson arrivals */
  uint32_t seed;
  bool stream;
} load_t;

/** One request. */
typedef struct
{
  run_t *run;
  CURL *easy;
  struct curl_slist *headers;
  char *body;
  char *expected; /**< text that the response must contain; NULL: any */
  GString *response;
  double first_byte_ms;
  gint64 started; /**< us */
} request_t;

static size_t
_load_data_received (char *data, size_t size, size_t n, void *user)
{
  request_t *r = user;
  if (r->response->len == 0)
    r->first_byte_ms = (double)(g_get_monotonic_time () - r->started) / 1000;
  g_string_append_len (r->response, data, (gssize)(size * n));
  return size * n;
}

static char *
_load_body (const load_t *load, uint64_t number)
{
  char text[32];
  snprintf (text, sizeof text, "%u-%llu", load->seed,
            (unsigned long long)number);
  char **part = g_strsplit (load->body, NUMBER_PLACEHOLDER, -1);
  char *numbered = g_strjoinv (text, part);
  g_strfreev (part);
  part = g_strsplit (numbered, "%S", -1);
  char *body = g_strjoinv (load->stream ? "true" : "false", part);
  g_strfreev (part);
  g_free (numbered);
  return body;
}

/** Returns the text that an engine's response to BODY contains; NULL when BODY
 * has no prompt. */
static char *
_load_expected (const char *body)
{
  json_t *json = json_loads (body, 0, NULL);
  const char *prompt = json_string_value (json_object_get (json, "prompt"));
  char *expected = NULL;
  if (prompt)
    {
      char *sum
          = g_compute_checksum_for_string (G_CHECKSUM_SHA256, prompt, -1);
      expected = g_strdup_printf ("answer %.16s for", sum);
      g_free (sum);
    }
  json_decref (json);
  return expected;
}

static void
_load_send (const load_t *load, run_t *run)
{
  request_t *r = talloc_zero (NULL, request_t);
  const char *target = run->targets[run->sent % run->target_count];
  char *url = talloc_asprintf (r, "http://%s%s", target, load->path);
  r->run = run;
  r->body = _load_body (load, run->sent++);
  r->expected = _load_expected (r->body);
  r->response = g_string_new ("");
  r->headers = curl_slist_append (NULL, "Content-Type: application/json");
  if (load->key)
    r->headers = curl_slist_append (
        r->headers,
        talloc_asprintf (r, "Authorization: Bearer %s", load->key));
  r->easy = curl_easy_init ();
  curl_easy_setopt (r->easy, CURLOPT_URL, url);
  curl_easy_setopt (r->easy, CURLOPT_HTTPHEADER, r->headers);
  curl_easy_setopt (r->easy, CURLOPT_POSTFIELDS, r->body);
  curl_easy_setopt (r->easy, CURLOPT_WRITEFUNCTION, _load_data_received);
  curl_easy_setopt (r->easy, CURLOPT_WRITEDATA, r);
  curl_easy_setopt (r->easy, CURLOPT_PRIVATE, r);
  r->started = g_get_monotonic_time ();
  run->in_flight++;
  curl_multi_add_handle (run->multi, r->easy);
}

static void
_load_request_free (request_t *r)
{
  curl_multi_remove_handle (r->run->multi, r->easy);
  curl_easy_cleanup (r->easy);
  curl_slist_free_all (r->headers);
  g_string_free (r->response, TRUE);
  g_free (r->body);
  g_free (r->expected);
  talloc_free (r);
}

static void
_load_ended (request_t *r, CURLcode code)
{
  run_t *run = r->run;
  long status = 0;
  char name[16];
  double total = (double)(g_get_monotonic_time () - r->started) / 1000;
  curl_easy_getinfo (r->easy, CURLINFO_RESPONSE_CODE, &status);
  run->in_flight--;
  if (code != CURLE_OK)
    run->failed++;
  else
    {
      snprintf (name, sizeof name, "%ld", status);
      json_int_t n = json_integer_value (json_object_get (run->status, name));
      json_object_set_new (run->status, name, json_integer (n + 1));
    }
  if (code == CURLE_OK && status == 200)
    {
      g_array_append_val (run->first_byte_ms, r->first_byte_ms);
      g_array_append_val (run->total_ms, total);
      if (r->expected && strstr (r->response->str, r->expected) == NULL)
        run->mismatched++;
    }
  _load_request_free (r);
}

/** Advances the transfers; waits for activity at most MS milliseconds. */
static void
_load_transfers_run (run_t *run, int ms)
{
  int running = 0;
  int left = 0;
  const CURLMsg *msg = NULL;
  curl_multi_perform (run->multi, &running);
  while ((msg = curl_multi_info_read (run->multi, &left)) != NULL)
    {
      request_t *r = NULL;
      if (msg->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (msg->easy_handle, CURLINFO_PRIVATE, (char **)&r);
      _load_ended (r, msg->data.result);
    }
  curl_multi_poll (run->multi, NULL, 0, ms, NULL);
}

static double
_load_rate_at (const load_t *load, double s)
{
  bool burst = load->burst_rate > 0 && s >= load->burst_at
               && s < load->burst_at + load->burst_seconds;
  return burst ? load->burst_rate : load->rate;
}

static void
_load_arrivals_run (const load_t *load, run_t *run)
{
  gint64 start = g_get_monotonic_time ();
  double next = 0;
  while (next < load->seconds)
    {
      double now = (double)(g_get_monotonic_time () - start) / 1e6;
      while (next <= now && next < load->seconds)
        {
          _load_send (load, run);
          next += -log (1 - g_rand_double (run->rand))
                  / _load_rate_at (load, next);
        }
      _load_transfers_run (run, next > now ? (int)((next - now) * 1000) : 0);
    }
  gint64 end = g_get_monotonic_time () + DRAIN_MS * 1000LL;
  while (run->in_flight > 0 && g_get_monotonic_time () < end)
    _load_transfers_run (run, 100);
}

static void
_load_streams_open (const load_t *load, run_t *run)
{
  gint64 end = g_get_monotonic_time () + (gint64)(load->seconds * 1e6);
  while (run->sent < load->open_streams)
    {
      _load_send (load, run);
      _load_transfers_run (run, 0);
    }
  while (run->in_flight > 0 && g_get_monotonic_time () < end)
    _load_transfers_run (run, 100);
}

/* Results */

static int
_double_compare (const void *a, const void *b)
{
  const double *x = a;
  const double *y = b;
  return (*x > *y) - (*x < *y);
}

static double
_quantile (const GArray *sorted, double q)
{
  if (sorted->len == 0)
    return 0;
  guint i = (guint)ceil (q * sorted->len);
  return g_array_index (sorted, double, i > 0 ? i - 1 : 0);
}

static json_t *
_quantiles (GArray *a)
{
  g_array_sort (a, _double_compare);
  return json_pack ("{s:f, s:f, s:f, s:f}", "p50", _quantile (a, 0.5), "p95",
                    _quantile (a, 0.95), "p99", _quantile (a, 0.99), "max",
                    _quantile (a, 1));
}

static json_t *
_load_run (const load_t *load, const char *targets)
{
  run_t run = { .multi = curl_multi_init (),
                .targets = g_strsplit (targets, ",", -1),
                .rand = g_rand_new_with_seed (load->seed),
                .first_byte_ms = g_array_new (FALSE, FALSE, sizeof (double)),
                .total_ms = g_array_new (FALSE, FALSE, sizeof (double)),
                .status = json_object () };
  run.target_count = g_strv_length (run.targets);
  curl_multi_setopt (run.multi, CURLMOPT_MAXCONNECTS, (long)CONNECTIONS_MAX);
  if (load->open_streams > 0)
    _load_streams_open (load, &run);
  else
    _load_arrivals_run (load, &run);
  return json_pack ("{s:I, s:I, s:I, s:I, s:o, s:o, s:o}", "sent",
                    (json_int_t)run.sent, "open", (json_int_t)run.in_flight,
                    "failed", (json_int_t)run.failed, "crossed",
                    (json_int_t)run.mismatched, "status", run.status,
                    "first_byte_ms", _quantiles (run.first_byte_ms),
                    "total_ms", _quantiles (run.total_ms));
}

/* Arguments */

enum
{
  KEY_TARGET = 256,
  KEY_DIRECT,
  KEY_KEY,
  KEY_RATE,
  KEY_SECONDS,
  KEY_BURST,
  KEY_STREAM,
  KEY_PATH,
  KEY_BODY,
  KEY_SEED,
  KEY_OPEN,
};

static const struct argp_option options[] = {
  { "target", KEY_TARGET, "IP:PORT,...", 0, "entry VMs, taken in turn", 0 },
  { "direct", KEY_DIRECT, "IP:PORT", 0,
    "repeat the run directly against an engine, for comparison", 0 },
  { "key", KEY_KEY, "K", 0, "caller's key", 0 },
  { "rate", KEY_RATE, "R", 0, "requests a second (10)", 0 },
  { "seconds", KEY_SECONDS, "S", 0, "duration (5)", 0 },
  { "burst", KEY_BURST, "AT,SECONDS,RATE", 0,
    "send at RATE for SECONDS, from AT seconds on", 0 },
  { "stream", KEY_STREAM, NULL, 0, "request streamed responses", 0 },
  { "path", KEY_PATH, "P", 0, "path (/v1/completions)", 0 },
  { "body", KEY_BODY, "B", 0,
    "body; %N is replaced by the request's number, %S by true or false", 0 },
  { "seed", KEY_SEED, "N", 0, "random seed of the arrival times (1)", 0 },
  { "open-streams", KEY_OPEN, "N", 0,
    "send N requests at once and keep their streams open instead", 0 },
  { 0 },
};

static error_t
_load_option (int key, char *arg, struct argp_state *state)
{
  load_t *load = state->input;
  switch (key)
    {
    case KEY_TARGET:
      load->targets = arg;
      return 0;
    case KEY_DIRECT:
      load->direct = arg;
      return 0;
    case KEY_KEY:
      load->key = arg;
      return 0;
    case KEY_RATE:
      load->rate = g_ascii_strtod (arg, NULL);
      return 0;
    case KEY_SECONDS:
      load->seconds = g_ascii_strtod (arg, NULL);
      return 0;
    case KEY_BURST:
      if (sscanf (arg, "%lf,%lf,%lf", &load->burst_at, &load->burst_seconds,
                  &load->burst_rate)
          != 3)
        argp_error (state, "--burst: expected AT,SECONDS,RATE");
      return 0;
    case KEY_STREAM:
      load->stream = true;
      return 0;
    case KEY_PATH:
      load->path = arg;
      return 0;
    case KEY_BODY:
      load->body = arg;
      return 0;
    case KEY_SEED:
      load->seed = (uint32_t)strtoul (arg, NULL, 10);
      return 0;
    case KEY_OPEN:
      load->open_streams = (uint32_t)strtoul (arg, NULL, 10);
      return 0;
    case ARGP_KEY_END:
      if (load->targets == NULL || load->rate <= 0)
        argp_error (state, "--target and a rate above 0 are required");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
load_main (int argc, char **argv)
{
  static const struct argp argp
      = { options, _load_option, NULL, "Open-loop load generator.",
          NULL,    NULL,         NULL };
  load_t load = { .path = "/v1/completions",
                  .body = DEFAULT_BODY,
                  .rate = 10,
                  .seconds = 5,
                  .seed = 1 };
  argp_parse (&argp, argc, argv, 0, NULL, &load);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  json_t *result
      = json_pack ("{s:o}", "target", _load_run (&load, load.targets));
  if (load.direct)
    json_object_set_new (result, "direct", _load_run (&load, load.direct));
  json_dumpf (result, stdout, JSON_INDENT (2) | JSON_REAL_PRECISION (6));
  puts ("");
  return EXIT_SUCCESS;
}

/** @file
 * Stand-in for one replica of a model service: registers in the users' store,
 * tells its load and answers requests with numbered events.  SIGUSR1 makes it
 * leave: it says so in all answers and in the store, and serves on.  SIGTERM
 * ends it.  With a seed, its answers go wrong by chance.
 */
#include "replica.h"
#include "standin.h"

#include <argp.h>
#include <curl/curl.h>
#include <jansson.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define CALL_TIMEOUT_MS 2000L
#define DEFAULT_HEARTBEAT_MS 1200u
#define DEFAULT_FIRST_MS 20u
#define DEFAULT_EVENT_MS 5u
#define DEFAULT_EVENTS 28u
#define DEFAULT_LATE_MS 1000u
#define DEFAULT_SLOTS 8u
#define TICK_MS 100u
#define STATUS_OK 200
#define STATUS_NOT_FOUND 404

void
replica_log_event (replica_t *r, const char *event)
{
  if (r->log == NULL)
    return;
  fprintf (r->log, "{\"instance\":\"%s\",\"at\":%lld,\"event\":\"%s\"}\n",
           r->name, (long long)wire_now_ms (), event);
  fflush (r->log);
}

/* -- the entry in the store; a thread of its own, as calls may hang --------
 */

/* Calls METHOD on the objects of kind servers; returns the status, 0: none. */
static long
_entry_call (const replica_t *r, const char *method, bool named,
             const char *body)
{
  CURL *easy = curl_easy_init ();
  char *url = talloc_asprintf (
      NULL, "http://127.0.0.1:%u/rattanspindle/objects/servers%s%s",
      r->store_port, named ? "/" : "", named ? r->name : "");
  FILE *sink = fopen ("/dev/null", "we");
  long status = 0;
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDS, body);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, CALL_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, sink);
  if (curl_easy_perform (easy) == CURLE_OK)
    curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_cleanup (easy);
  if (sink != NULL)
    (void)fclose (sink);
  talloc_free (url);
  return status;
}

static char *
_entry_text (const replica_t *r, json_int_t seq, bool leaving)
{
  char address[32];
  (void)snprintf (address, sizeof address, "127.0.0.1:%u", r->port);
  json_t *entry = json_pack (
      "{s:{s:s}, s:{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:I, s:I}}", "metadata",
      "name", r->name, "spec", "service", r->service, "address", address,
      "zone", r->zone, "version", r->version, "slots", (int)r->slots, "state",
      leaving ? "draining" : "ready", "coldRemainingMs", 0, "seq", seq, "born",
      (json_int_t)r->born);
  char *text = json_dumps (entry, JSON_COMPACT);
  json_decref (entry);
  return text;
}

/* Writes the entry; returns whether the store has accepted it. */
static bool
_entry_write (const replica_t *r, json_int_t seq, bool leaving)
{
  char *text = _entry_text (r, seq, leaving);
  long status = _entry_call (r, "PUT", true, text);
  if (status == STATUS_NOT_FOUND)
    status = _entry_call (r, "POST", false, text);
  free (text);
  return status == STATUS_OK;
}

/* Waits for the next heartbeat, or until R begins to leave. */
static void
_entry_wait (const replica_t *r, bool told)
{
  for (uint64_t ms = 0; ms < r->heartbeat_ms; ms += TICK_MS)
    {
      if (!told && atomic_load (&r->leaving) && !r->silent_leave)
        return;
      g_usleep (TICK_MS * (gulong)1000);
    }
}

static void *
_entry_run (void *data)
{
  replica_t *r = data;
  bool told = false;
  for (json_int_t seq = 1; !atomic_load (&r->ended); seq++)
    {
      bool leaving = atomic_load (&r->leaving) && !r->silent_leave;
      bool accepted = _entry_write (r, seq, leaving);
      if (accepted && leaving && !told)
        replica_log_event (r, "leaving-accepted");
      told = told || (accepted && leaving);
      _entry_wait (r, told);
    }
  return NULL;
}

void
replica_register (replica_t *r)
{
  pthread_t thread;
  if (r->store_port == 0)
    return;
  if (pthread_create (&thread, NULL, _entry_run, r) != 0)
    abort ();
  (void)pthread_detach (thread);
}

/* -- signals -------------------------------------------------------------- */

static void
_on_leave (struct tevent_context *loop, struct tevent_signal *signal,
           int number, int count, void *info, void *data)
{
  (void)loop;
  (void)signal;
  (void)number;
  (void)count;
  (void)info;
  replica_t *r = data;
  atomic_store (&r->leaving, true);
  replica_log_event (r, "leaving");
}

static void
_on_end (struct tevent_context *loop, struct tevent_signal *signal, int number,
         int count, void *info, void *data)
{
  (void)loop;
  (void)signal;
  (void)number;
  (void)count;
  (void)info;
  replica_t *r = data;
  atomic_store (&r->ended, true);
  if (r->store_port != 0)
    (void)_entry_call (r, "DELETE", true, "");
}

/* -- arguments ------------------------------------------------------------ */

enum
{
  KEY_PORT = 256,
  KEY_NAME,
  KEY_SERVICE,
  KEY_ZONE,
  KEY_VERSION,
  KEY_STORE,
  KEY_SLOTS,
  KEY_HEARTBEAT,
  KEY_FIRST,
  KEY_EVENT,
  KEY_EVENTS,
  KEY_LATE,
  KEY_TWICE,
  KEY_REPORT_TWICE,
  KEY_PIECES,
  KEY_CLOSE,
  KEY_CUT,
  KEY_CUT_HEAD,
  KEY_SEED,
  KEY_LOG,
  KEY_SILENT,
  KEY_KEEPS,
};

static const struct argp_option options[] = {
  { "port", KEY_PORT, "P", 0, "port on 127.0.0.1 (0: any)", 0 },
  { "name", KEY_NAME, "NAME", 0, "its id", 0 },
  { "service", KEY_SERVICE, "NAME", 0, "its service (llm)", 0 },
  { "zone", KEY_ZONE, "NAME", 0, "its zone (north)", 0 },
  { "version", KEY_VERSION, "TEXT", 0, "of its software (v1)", 0 },
  { "store", KEY_STORE, "P", 0, "port of the store (0: none)", 0 },
  { "slots", KEY_SLOTS, "N", 0, "requests that run at a time (8)", 0 },
  { "heartbeat-ms", KEY_HEARTBEAT, "MS", 0, "between writes (1200)", 0 },
  { "first-ms", KEY_FIRST, "MS", 0, "time to the first event (20)", 0 },
  { "event-ms", KEY_EVENT, "MS", 0, "time between events (5)", 0 },
  { "events", KEY_EVENTS, "N", 0, "events of an answer (28)", 0 },
  { "late-ms", KEY_LATE, "MS", 0, "most before a second answer (1000)", 0 },
  { "twice", KEY_TWICE, "P", 0, "chance of a second answer (0)", 0 },
  { "report-twice", KEY_REPORT_TWICE, "P", 0,
    "chance of a second load report (0)", 0 },
  { "pieces", KEY_PIECES, "P", 0, "chance of an answer in pieces (0)", 0 },
  { "close", KEY_CLOSE, "P", 0, "chance of an end after an answer (0)", 0 },
  { "cut-head", KEY_CUT_HEAD, "P", 0, "chance of an end in its head (0)", 0 },
  { "cut", KEY_CUT, "P", 0, "chance of an end in an answer (0)", 0 },
  { "seed", KEY_SEED, "N", 0, "seed of the chances (1)", 0 },
  { "log", KEY_LOG, "FILE", 0, "a line for each request", 0 },
  { "silent-leave", KEY_SILENT, NULL, 0, "the store is not told", 0 },
  { "leave-keeps", KEY_KEEPS, NULL, 0, "leaving, connections stay open", 0 },
  { 0 },
};

/* Options that are numbers; false: KEY is none. */
static bool
_number_option (replica_t *r, int key, const char *arg)
{
  uint64_t n = arg == NULL ? 0 : strtoull (arg, NULL, 10);
  switch (key)
    {
    case KEY_PORT:
      r->port = (uint16_t)n;
      return true;
    case KEY_STORE:
      r->store_port = (uint16_t)n;
      return true;
    case KEY_SLOTS:
      r->slots = (unsigned)n;
      return true;
    case KEY_HEARTBEAT:
      r->heartbeat_ms = n;
      return true;
    case KEY_FIRST:
      r->first_ms = n;
      return true;
    case KEY_EVENT:
      r->event_ms = n;
      return true;
    case KEY_EVENTS:
      r->events = (unsigned)n;
      return true;
    case KEY_LATE:
      r->late_ms = n;
      return true;
    case KEY_SEED:
      g_rand_set_seed (r->random, (guint32)n);
      return true;
    default:
      return false;
    }
}

/* Options that are chances; false: KEY is none. */
static bool
_chance_option (replica_faults_t *f, int key, const char *arg)
{
  double p = arg == NULL ? 0 : g_ascii_strtod (arg, NULL);
  switch (key)
    {
    case KEY_TWICE:
      f->twice = p;
      return true;
    case KEY_REPORT_TWICE:
      f->report_twice = p;
      return true;
    case KEY_PIECES:
      f->pieces = p;
      return true;
    case KEY_CLOSE:
      f->close = p;
      return true;
    case KEY_CUT_HEAD:
      f->cut_head = p;
      return true;
    case KEY_CUT:
      f->cut = p;
      return true;
    default:
      return false;
    }
}

static error_t
_replica_option (int key, char *arg, struct argp_state *state)
{
  replica_t *r = state->input;
  if (_number_option (r, key, arg) || _chance_option (&r->faults, key, arg))
    return 0;
  switch (key)
    {
    case KEY_NAME:
      r->name = arg;
      return 0;
    case KEY_SERVICE:
      r->service = arg;
      return 0;
    case KEY_ZONE:
      r->zone = arg;
      return 0;
    case KEY_VERSION:
      r->version = arg;
      return 0;
    case KEY_LOG:
      r->log = fopen (arg, "ae");
      return 0;
    case KEY_SILENT:
      r->silent_leave = true;
      return 0;
    case KEY_KEEPS:
      r->leave_keeps = true;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
replica_main (int argc, char **argv)
{
  static const struct argp argp = {
    options, _replica_option, NULL, "Stand-in for a replica.", NULL, NULL, NULL
  };
  replica_t *r = talloc_zero (NULL, replica_t);
  *r = (replica_t){ .name = "replica",
                    .service = "llm",
                    .zone = "north",
                    .version = "v1",
                    .heartbeat_ms = DEFAULT_HEARTBEAT_MS,
                    .first_ms = DEFAULT_FIRST_MS,
                    .event_ms = DEFAULT_EVENT_MS,
                    .late_ms = DEFAULT_LATE_MS,
                    .events = DEFAULT_EVENTS,
                    .slots = DEFAULT_SLOTS,
                    .random = g_rand_new_with_seed (1),
                    .born = wire_now_ms () };
  argp_parse (&argp, argc, argv, 0, NULL, r);
  signal (SIGPIPE, SIG_IGN);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  r->loop = tevent_context_init (r);
  r->fd = wire_listen (r->port, &r->port);
  tevent_add_signal (r->loop, r, SIGUSR1, 0, _on_leave, r);
  tevent_add_signal (r->loop, r, SIGTERM, 0, _on_end, r);
  replica_serve (r);
  replica_register (r);
  printf ("listening on 127.0.0.1:%u\n", r->port);
  fflush (stdout);
  while (!atomic_load (&r->ended))
    (void)tevent_loop_once (r->loop);
  return EXIT_SUCCESS;
}

/** @file
 * Stand-in for callers: requests at a fixed rate, each on a connection of its
 * own, or one after another on connections that are kept.  Each answer is
 * judged; a line is printed for each that is not its request's own, and the
 * totals at the end.
 */
#include "ask.h"
#include "standin.h"

#include <argp.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>

#define VMS_MAX 16
#define SHOWN_BYTES 400
#define DEADLINE_MS 5000
#define EXTRA_WAIT_MS 1000
#define STATUS_LIMITED 429
#define STATUS_REFUSED 503
#define TICK_MS 5
/** A caller's pause after a refusal, on a kept connection. */
#define REFUSED_PAUSE_MS 100

typedef struct
{
  uint16_t vms[VMS_MAX]; /**< ports */
  unsigned vm_count;
  double rate;    /**< requests a second over all VMs */
  double seconds; /**< for which requests begin */
  unsigned kept;  /**< connections kept with each VM; 0: none */
  unsigned events;
  const char *tag; /**< begins each id */
  const char *key;
  FILE *record; /**< one JSON line for each request */
  struct tevent_context *loop;
  int64_t begin_ms;
  unsigned sent;
  unsigned open;
  unsigned own;     /**< whole successes that are the request's */
  unsigned refused; /**< 429 and 503 */
  unsigned failed;  /**< other failures */
  unsigned broken;  /**< ended early, or nothing came */
  unsigned mixed;   /**< not the request's own */
} _asker_t;

/* A request, or the requests on one kept connection. */
typedef struct
{
  _asker_t *asker;
  unsigned vm;
  int fd;
  char *id;
  GString *in;
  struct tevent_fd *event;
  struct tevent_timer *deadline;
  struct tevent_timer *pause; /**< before the next request */
  int64_t sent_ms;
  int64_t first_ms; /**< first byte of the answer; 0: none */
  bool kept;
  bool served; /**< a whole answer has come on this connection */
} _call_t;

/* -- the record ----------------------------------------------------------- */

static void
_call_record (const _call_t *c, const ask_answer_t *a,
              const wire_signer_t *signer, const char *fault)
{
  FILE *f = c->asker->record;
  if (f == NULL)
    return;
  fprintf (f,
           "{\"id\":\"%s\",\"vm\":%u,\"sent\":%lld,\"first\":%lld,"
           "\"end\":%lld,\"status\":%d,\"whole\":%s,\"instance\":\"%s\","
           "\"leaving\":%s,\"fault\":\"%s\"}\n",
           c->id, c->vm, (long long)c->sent_ms, (long long)c->first_ms,
           (long long)wire_now_ms (), a->status,
           a->extent == ASK_WHOLE ? "true" : "false", signer->instance,
           signer->leaving ? "true" : "false", fault == NULL ? "" : fault);
}

static void
_call_show (const _call_t *c, const char *fault)
{
  gchar *bytes = g_strescape (c->in->str, NULL);
  printf ("MIXED %s at VM %u after %lld ms: %s: %.*s\n", c->id, c->vm,
          (long long)(wire_now_ms () - c->sent_ms), fault, SHOWN_BYTES, bytes);
  fflush (stdout);
  g_free (bytes);
}

static void
_call_count (const _call_t *c, const ask_answer_t *a, const char *fault)
{
  _asker_t *k = c->asker;
  if (fault != NULL)
    k->mixed++;
  else if (a->extent != ASK_WHOLE)
    k->broken++;
  else if (a->status >= 200 && a->status < 300)
    k->own++;
  else if (a->status == STATUS_LIMITED || a->status == STATUS_REFUSED)
    k->refused++;
  else
    k->failed++;
}

static void
_call_judge (const _call_t *c, const ask_answer_t *a)
{
  wire_signer_t signer = { 0 };
  const char *fault = ask_fault (a, c->id, c->asker->events, &signer);
  if (fault == NULL && a->extent == ASK_WHOLE && c->in->len > a->size)
    fault = "bytes after the answer";
  if (fault != NULL)
    _call_show (c, fault);
  _call_count (c, a, fault);
  _call_record (c, a, &signer, fault);
}

/* -- calls ---------------------------------------------------------------- */

static int
_call_free (_call_t *c)
{
  TALLOC_FREE (c->event);
  wire_close (c->fd, false);
  (void)g_string_free (c->in, TRUE);
  c->asker->open--;
  return 0;
}

static bool
_is_over (const _asker_t *k)
{
  return wire_now_ms () >= k->begin_ms + (int64_t)(k->seconds * 1000);
}

static void _call_begin (_asker_t *k, unsigned vm, bool kept);

/* Ends the call, with what has arrived of its answer.  A kept connection that
 * has served is opened anew. */
static void
_call_end (_call_t *c)
{
  _asker_t *k = c->asker;
  unsigned vm = c->vm;
  if (c->id != NULL)
    _call_judge (c, ask_read (c, c->in));
  bool again = c->kept && (c->served || c->in->len > 0) && !_is_over (k);
  talloc_free (c);
  if (again)
    _call_begin (k, vm, true);
}

static void
_call_expired (struct tevent_context *loop, struct tevent_timer *timer,
               struct timeval now, void *data)
{
  (void)loop;
  (void)timer;
  (void)now;
  _call_end (data);
}

/* Waits until the connection can be written, and sends the next request. */
static void
_call_next (_call_t *c)
{
  c->pause = NULL;
  _asker_t *k = c->asker;
  talloc_free (c->id);
  c->id = talloc_asprintf (c, "%s-v%u-%u", k->tag, c->vm, ++k->sent);
  c->first_ms = 0;
  g_string_truncate (c->in, 0);
  talloc_free (c->deadline);
  c->deadline = wire_timer_add (k->loop, c, DEADLINE_MS + EXTRA_WAIT_MS,
                                _call_expired, c);
  c->sent_ms = wire_now_ms ();
  tevent_fd_set_flags (c->event, TEVENT_FD_READ | TEVENT_FD_WRITE);
}

static void
_call_pause_over (struct tevent_context *loop, struct tevent_timer *timer,
                  struct timeval now, void *data)
{
  (void)loop;
  (void)timer;
  (void)now;
  _call_next (data);
}

/* Goes on after answer A on a kept connection. */
static void
_call_go_on (_call_t *c, const ask_answer_t *a)
{
  TALLOC_FREE (c->id);
  TALLOC_FREE (c->deadline);
  c->served = true;
  if (a->status == STATUS_REFUSED)
    c->pause = wire_timer_add (c->asker->loop, c, REFUSED_PAUSE_MS,
                               _call_pause_over, c);
  else
    _call_next (c);
}

static void
_call_write (_call_t *c)
{
  char *text = talloc_asprintf (
      c,
      "POST /fit/stream HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: %s\r\n"
      "Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%s"
      "Content-Type: application/json\r\nContent-Length: 14\r\n\r\n"
      "{\"prompt\":\"p\"}",
      c->id, DEADLINE_MS, c->asker->key,
      c->kept ? "" : "Connection: close\r\n");
  c->sent_ms = wire_now_ms ();
  ssize_t n = send (c->fd, text, strlen (text), MSG_NOSIGNAL);
  talloc_free (text);
  tevent_fd_set_flags (c->event, TEVENT_FD_READ);
  if (n < 0)
    _call_end (c);
}

/* Bytes have come while no request waits for an answer. */
static void
_call_unasked (_call_t *c)
{
  c->id = talloc_strdup (c, "none");
  _call_show (c, "bytes while no request waits");
  c->asker->mixed++;
  TALLOC_FREE (c->id);
  _call_end (c);
}

/* Reads; a whole answer on a kept connection is followed by a request. */
static void
_call_read (_call_t *c)
{
  char bytes[8192];
  ssize_t n = recv (c->fd, bytes, sizeof bytes, MSG_DONTWAIT);
  if (n < 0 && errno == EAGAIN)
    return;
  if (n <= 0)
    {
      _call_end (c);
      return;
    }
  if (c->first_ms == 0)
    c->first_ms = wire_now_ms ();
  g_string_append_len (c->in, bytes, n);
  if (c->id == NULL)
    {
      _call_unasked (c);
      return;
    }
  if (!c->kept)
    return;
  ask_answer_t *a = ask_read (c, c->in);
  if (a->extent == ASK_WHOLE && !a->closes && !_is_over (c->asker))
    {
      _call_judge (c, a);
      _call_go_on (c, a);
    }
  else if (a->extent != ASK_PARTIAL)
    {
      _call_end (c);
      return;
    }
  talloc_free (a);
}

static void
_call_ready (struct tevent_context *loop, struct tevent_fd *event,
             uint16_t flags, void *data)
{
  (void)loop;
  (void)event;
  _call_t *c = data;
  if (flags & TEVENT_FD_READ)
    _call_read (c);
  else if (flags & TEVENT_FD_WRITE)
    _call_write (c);
}

static void
_call_begin (_asker_t *k, unsigned vm, bool kept)
{
  int fd = wire_connect (k->vms[vm]);
  if (fd < 0)
    return;
  _call_t *c = talloc_zero (k->loop, _call_t);
  *c = (_call_t){ .asker = k, .vm = vm, .fd = fd, .kept = kept };
  c->in = g_string_new (NULL);
  c->event = tevent_add_fd (k->loop, c, fd, TEVENT_FD_WRITE, _call_ready, c);
  talloc_set_destructor (c, _call_free);
  k->open++;
  _call_next (c);
}

/* -- the course ----------------------------------------------------------- */

static void
_asker_due (struct tevent_context *loop, struct tevent_timer *timer,
            struct timeval now, void *data)
{
  (void)timer;
  (void)now;
  _asker_t *k = data;
  double elapsed_s = (double)(wire_now_ms () - k->begin_ms) / 1000;
  unsigned due = (unsigned)(k->rate * MIN (elapsed_s, k->seconds));
  while (k->sent < due)
    _call_begin (k, k->sent % k->vm_count, false);
  if (!_is_over (k))
    wire_timer_add (loop, loop, TICK_MS, _asker_due, k);
}

static void
_asker_run (_asker_t *k)
{
  k->loop = tevent_context_init (NULL);
  k->begin_ms = wire_now_ms ();
  for (unsigned i = 0; i < k->kept * k->vm_count; i++)
    _call_begin (k, i % k->vm_count, true);
  if (k->kept == 0)
    wire_timer_add (k->loop, k->loop, 0, _asker_due, k);
  while (!_is_over (k) || k->open > 0)
    (void)tevent_loop_once (k->loop);
}

/* -- arguments ------------------------------------------------------------ */

enum
{
  KEY_VM = 256,
  KEY_RATE,
  KEY_SECONDS,
  KEY_KEPT,
  KEY_EVENTS,
  KEY_TAG,
  KEY_KEY,
  KEY_RECORD,
};

static const struct argp_option options[] = {
  { "vm", KEY_VM, "P", 0, "port of a VM on 127.0.0.1; may be repeated", 0 },
  { "rate", KEY_RATE, "N", 0, "requests a second (50)", 0 },
  { "seconds", KEY_SECONDS, "S", 0, "time for which requests begin (5)", 0 },
  { "kept", KEY_KEPT, "N", 0, "connections kept with each VM (0: none)", 0 },
  { "events", KEY_EVENTS, "N", 0, "events of an answer (28)", 0 },
  { "tag", KEY_TAG, "TEXT", 0, "beginning of each id (r)", 0 },
  { "key", KEY_KEY, "TEXT", 0, "the callers' key (demo-key)", 0 },
  { "record", KEY_RECORD, "FILE", 0, "a line for each request", 0 },
  { 0 },
};

static error_t
_ask_option (int key, char *arg, struct argp_state *state)
{
  _asker_t *k = state->input;
  switch (key)
    {
    case KEY_VM:
      if (k->vm_count == VMS_MAX)
        argp_error (state, "too many VMs");
      k->vms[k->vm_count++] = (uint16_t)strtoul (arg, NULL, 10);
      return 0;
    case KEY_RATE:
      k->rate = g_ascii_strtod (arg, NULL);
      return 0;
    case KEY_SECONDS:
      k->seconds = g_ascii_strtod (arg, NULL);
      return 0;
    case KEY_KEPT:
      k->kept = (unsigned)strtoul (arg, NULL, 10);
      return 0;
    case KEY_EVENTS:
      k->events = (unsigned)strtoul (arg, NULL, 10);
      return 0;
    case KEY_TAG:
      k->tag = arg;
      return 0;
    case KEY_KEY:
      k->key = arg;
      return 0;
    case KEY_RECORD:
      k->record = fopen (arg, "we");
      return 0;
    case ARGP_KEY_END:
      if (k->vm_count == 0)
        argp_error (state, "--vm is required");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
ask_main (int argc, char **argv)
{
  static const struct argp argp = {
    options, _ask_option, NULL, "Stand-in for callers.", NULL, NULL, NULL
  };
  _asker_t k = {
    .rate = 50, .seconds = 5, .events = 28, .tag = "r", .key = "demo-key"
  };
  argp_parse (&argp, argc, argv, 0, NULL, &k);
  signal (SIGPIPE, SIG_IGN);
  _asker_run (&k);
  printf ("sent %u own %u refused %u failed %u broken %u mixed %u\n", k.sent,
          k.own, k.refused, k.failed, k.broken, k.mixed);
  if (k.record != NULL)
    (void)fclose (k.record);
  return k.mixed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

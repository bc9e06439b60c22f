/** @file
 * The connections of the stand-in replica and its answers on them.  An answer
 * is written into the connection's queue, which is sent at once or in pieces.
 */
#include "replica.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>

#define REQUEST_MAX 65536
#define PIECE_BYTES_MAX 40
#define PIECE_MS_MAX 6
#define STATUS_OK 200
#define STATUS_MISDIRECTED 421
#define STATUS_FULL 503
#define REPORT_PATH "GET /rattanspindle/report "

/* Ways in which a connection ends. */
typedef enum
{
  _KEEP,
  _CLOSE,
  _RESET,
} _end_t;

typedef struct _run _run_t;

typedef struct
{
  replica_t *replica;
  int fd;
  struct tevent_fd *event;
  GString *in;
  GString *out;               /**< not sent yet */
  struct tevent_timer *piece; /**< sends the next piece */
  bool in_pieces;
  _end_t end;   /**< once all of OUT is sent */
  _run_t *run;  /**< the request that is being answered */
  char *second; /**< waits for the end of the answer that is being sent */
} _conn_t;

/* A request that runs. */
struct _run
{
  _conn_t *conn;
  const char *id;
  char *signature;
  bool leaving; /**< when its answer began */
  bool begun;   /**< its head has been sent */
  bool twice;
  unsigned from; /**< its first event */
  unsigned next; /**< the event that comes next */
  unsigned cut;  /**< the connection ends before this event; 0: never */
};

/* A second answer that is due later. */
typedef struct
{
  _conn_t *conn;
  char *text;
} _second_t;

/* -- sending -------------------------------------------------------------- */

static bool
_chance (replica_t *r, double p)
{
  return p > 0 && g_rand_double (r->random) < p;
}

static _end_t
_any_end (replica_t *r)
{
  return g_rand_boolean (r->random) ? _CLOSE : _RESET;
}

static void
_conn_end (_conn_t *c, _end_t end)
{
  TALLOC_FREE (c->event);
  wire_close (c->fd, end == _RESET);
  c->fd = -1;
  talloc_free (c);
}

/* Sends at most MAX bytes; false: the connection has ended and is freed. */
static bool
_conn_send (_conn_t *c, size_t max)
{
  size_t n = MIN (c->out->len, max);
  ssize_t sent = n == 0 ? 0 : send (c->fd, c->out->str, n, MSG_NOSIGNAL);
  if (sent < 0 && errno != EAGAIN)
    {
      _conn_end (c, _CLOSE);
      return false;
    }
  if (sent > 0)
    g_string_erase (c->out, 0, sent);
  if (c->out->len > 0 || c->end == _KEEP)
    return true;
  _conn_end (c, c->end);
  return false;
}

static void _conn_flush (_conn_t *c);

static void
_conn_piece_due (struct tevent_context *loop, struct tevent_timer *timer,
                 struct timeval now, void *data)
{
  (void)loop;
  (void)timer;
  (void)now;
  _conn_t *c = data;
  GRand *random = c->replica->random;
  c->piece = NULL;
  size_t max = c->in_pieces
                   ? (size_t)g_rand_int_range (random, 1, PIECE_BYTES_MAX)
                   : c->out->len;
  if (_conn_send (c, max))
    _conn_flush (c);
}

/* Sends what is queued: all of it if that is possible, or a first piece. */
static void
_conn_flush (_conn_t *c)
{
  replica_t *r = c->replica;
  if (c->piece != NULL)
    return;
  if (!c->in_pieces && !_conn_send (c, c->out->len))
    return;
  if (c->out->len == 0)
    {
      c->in_pieces = c->in_pieces && c->run != NULL;
      if (c->end != _KEEP)
        _conn_end (c, c->end);
      return;
    }
  c->piece = wire_timer_add (
      r->loop, c, (uint64_t)g_rand_int_range (r->random, 1, PIECE_MS_MAX),
      _conn_piece_due, c);
}

/* -- heads ---------------------------------------------------------------- */

static char *
_leaving_headers (void *ctx, const replica_t *r, bool leaving)
{
  return talloc_strdup (ctx, !leaving         ? ""
                             : r->leave_keeps ? "Server-Leaving: 1\r\n"
                                              : "Server-Leaving: 1\r\n"
                                                "Connection: close\r\n");
}

static char *
_stream_head (void *ctx, const _run_t *run, const char *framing)
{
  return talloc_asprintf (
      ctx,
      "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s\r\n"
      "Content-Type: text/event-stream\r\n%s%s\r\n",
      run->id, run->signature,
      _leaving_headers (ctx, run->conn->replica, run->leaving), framing);
}

/* A whole response without a run. */
static char *
_whole_response (_conn_t *c, const char *status, const char *headers,
                 const char *body)
{
  char *leaving = _leaving_headers (NULL, c->replica,
                                    atomic_load (&c->replica->leaving));
  char *text
      = talloc_asprintf (c, "HTTP/1.1 %s\r\n%s%sContent-Length: %zu\r\n\r\n%s",
                         status, headers, leaving, strlen (body), body);
  talloc_free (leaving);
  return text;
}

static void
_conn_respond (_conn_t *c, const char *status, const char *headers,
               const char *body)
{
  char *text = _whole_response (c, status, headers, body);
  g_string_append (c->out, text);
  talloc_free (text);
  if (atomic_load (&c->replica->leaving) && !c->replica->leave_keeps)
    c->end = _CLOSE;
  _conn_flush (c);
}

/* -- second answers ------------------------------------------------------- */

/* Queues the second answer, or a part of it and the end of the connection. */
static void
_conn_second (_conn_t *c, const char *text)
{
  replica_t *r = c->replica;
  size_t n = strlen (text);
  replica_log_event (r, "second-answer");
  if (_chance (r, r->faults.close))
    {
      n = (size_t)g_rand_int_range (r->random, 0, (gint32)n);
      c->end = _any_end (r);
    }
  g_string_append_len (c->out, text, (gssize)n);
  _conn_flush (c);
}

static void
_second_due (struct tevent_context *loop, struct tevent_timer *timer,
             struct timeval now, void *data)
{
  (void)loop;
  (void)timer;
  (void)now;
  _second_t *second = data;
  _conn_t *c = second->conn;
  bool answering = c->run != NULL && c->run->begun;
  if (answering)
    {
      talloc_free (c->second);
      c->second = talloc_steal (c, second->text);
      talloc_free (second);
      return;
    }
  char *text = talloc_steal (NULL, second->text);
  talloc_free (second);
  _conn_second (c, text);
  talloc_free (text);
}

static void
_second_start (_second_t *second)
{
  replica_t *r = second->conn->replica;
  wire_timer_add (
      r->loop, second,
      (uint64_t)g_rand_int_range (r->random, 1, (gint32)r->late_ms + 1),
      _second_due, second);
}

static void
_run_again (const _run_t *run)
{
  _conn_t *c = run->conn;
  replica_t *r = c->replica;
  _second_t *second = talloc_zero (c, _second_t);
  char *body = wire_body (second, run->id, r->events);
  char *framing
      = talloc_asprintf (second, "Content-Length: %zu\r\n", strlen (body));
  second->conn = c;
  second->text = talloc_asprintf (second, "%s%s",
                                  _stream_head (second, run, framing), body);
  wire_timer_add (
      r->loop, second,
      (uint64_t)g_rand_int_range (r->random, 1, (gint32)r->late_ms + 1),
      _second_due, second);
}

/* -- runs ----------------------------------------------------------------- */

static int
_run_free (_run_t *run)
{
  run->conn->replica->running--;
  run->conn->run = NULL;
  return 0;
}

/* Ends the answer of RUN; what comes after it is decided here. */
static void
_run_end (_run_t *run)
{
  _conn_t *c = run->conn;
  replica_t *r = c->replica;
  bool closes = run->leaving && !r->leave_keeps;
  g_string_append (c->out, "0\r\n\r\n");
  if (run->twice && !closes)
    _run_again (run);
  else if (closes || _chance (r, r->faults.close))
    c->end = closes ? _CLOSE : _any_end (r);
  char *waiting = c->second;
  c->second = NULL;
  talloc_free (run);
  if (waiting != NULL && c->end == _KEEP)
    _conn_second (c, waiting);
  else
    _conn_flush (c);
}

static void
_run_event (_run_t *run)
{
  char *event = wire_event (run, run->id, run->next++);
  char *chunk = talloc_asprintf (run, "%zx\r\n%s\r\n", strlen (event), event);
  g_string_append (run->conn->out, chunk);
  talloc_free (chunk);
  talloc_free (event);
}

/* Ends the connection of RUN after what is queued. */
static void
_run_break (_run_t *run)
{
  _conn_t *c = run->conn;
  c->end = _any_end (c->replica);
  talloc_free (run);
  _conn_flush (c);
}

/* Queues the head, or a part of it; false: the connection ends there. */
static bool
_run_head (_run_t *run)
{
  GString *out = run->conn->out;
  replica_t *r = run->conn->replica;
  const char *head = _stream_head (run, run, "Transfer-Encoding: chunked\r\n");
  size_t n = strlen (head);
  bool whole = !_chance (r, r->faults.cut_head);
  if (!whole)
    n = (size_t)g_rand_int_range (r->random, 1, (gint32)n);
  g_string_append_len (out, head, (gssize)n);
  run->begun = true;
  return whole;
}

static void
_run_due (struct tevent_context *loop, struct tevent_timer *timer,
          struct timeval now, void *data)
{
  (void)timer;
  (void)now;
  _run_t *run = data;
  _conn_t *c = run->conn;
  bool broken = !run->begun && !_run_head (run);
  if (broken || run->next == run->cut)
    {
      _run_break (run);
      return;
    }
  if (run->next > c->replica->events)
    {
      _run_end (run);
      return;
    }
  _run_event (run);
  wire_timer_add (loop, run, c->replica->event_ms, _run_due, run);
  _conn_flush (c);
}

static void
_run_start (_conn_t *c, const char *head, const char *id)
{
  replica_t *r = c->replica;
  _run_t *run = talloc_zero (c, _run_t);
  const char *after = wire_header (run, head, "Last-Event-Id");
  wire_signer_t signer = { .leaving = atomic_load (&r->leaving) };
  g_strlcpy (signer.instance, r->name, sizeof signer.instance);
  run->conn = c;
  run->id = talloc_strdup (run, id);
  run->leaving = signer.leaving;
  run->signature = wire_signature (run, id, &signer);
  run->from = 1 + (after == NULL ? 0 : (unsigned)strtoul (after, NULL, 10));
  run->next = run->from;
  run->twice = _chance (r, r->faults.twice);
  c->in_pieces = _chance (r, r->faults.pieces);
  if (_chance (r, r->faults.cut))
    run->cut = run->from + (unsigned)g_rand_int_range (r->random, 0, 8);
  c->run = run;
  r->running++;
  talloc_set_destructor (run, _run_free);
  wire_timer_add (r->loop, run, r->first_ms, _run_due, run);
}

/* -- requests ------------------------------------------------------------- */

/* STATUS: of the answer that the request gets. */
static void
_log_request (replica_t *r, const char *head, const char *id, int status)
{
  if (r->log == NULL)
    return;
  fprintf (r->log,
           "{\"instance\":\"%s\",\"at\":%lld,\"id\":\"%s\",\"leaving\":%s,"
           "\"status\":%d,\"line\":\"%.*s\"}\n",
           r->name, (long long)wire_now_ms (), id,
           atomic_load (&r->leaving) ? "true" : "false", status,
           (int)strcspn (head, "\r\""), head);
  fflush (r->log);
}

static void
_report (_conn_t *c)
{
  static const char type[] = "Content-Type: application/json\r\n";
  replica_t *r = c->replica;
  char *body = talloc_asprintf (
      NULL,
      "{\"running\":%u,\"waiting\":0,\"slots\":%u,\"seq\":1,\"born\":%lld}",
      r->running, r->slots, (long long)r->born);
  bool leaving = atomic_load (&r->leaving);
  if (!leaving && _chance (r, r->faults.report_twice))
    {
      _second_t *second = talloc_zero (c, _second_t);
      second->conn = c;
      second->text
          = talloc_steal (second, _whole_response (c, "200 OK", type, body));
      _second_start (second);
    }
  _conn_respond (c, "200 OK", type, body);
  talloc_free (body);
}

static int
_status_of (const replica_t *r, const char *id, const char *target)
{
  if (target != NULL && strcmp (target, r->name) != 0)
    return STATUS_MISDIRECTED;
  return id == NULL || r->running >= r->slots ? STATUS_FULL : STATUS_OK;
}

static void
_post_arrived (_conn_t *c, const char *head)
{
  char *ctx = talloc_strdup (NULL, "");
  const char *id = wire_header (ctx, head, "Request-Id");
  const char *target = wire_header (ctx, head, "Target-Instance");
  int status = _status_of (c->replica, id, target);
  const char *echo = talloc_asprintf (
      ctx, "Not-Executed: 1\r\nRequest-Id: %s\r\n", id == NULL ? "" : id);
  _log_request (c->replica, head, id == NULL ? "" : id, status);
  if (status == STATUS_MISDIRECTED)
    _conn_respond (c, "421 Misdirected Request", echo, "");
  else if (status == STATUS_FULL)
    _conn_respond (c, "503 Service Unavailable", echo, "");
  else
    _run_start (c, head, id);
  talloc_free (ctx);
}

static void
_request_arrived (_conn_t *c, const char *head)
{
  if (g_str_has_prefix (head, "POST "))
    _post_arrived (c, head);
  else if (g_str_has_prefix (head, REPORT_PATH))
    _report (c);
  else
    _conn_respond (c, "404 Not Found", "", "");
}

/* Takes a request out of the bytes received.  False: none is complete, or the
 * connection has ended. */
static bool
_conn_take (_conn_t *c)
{
  const char *end = c->run == NULL && c->end == _KEEP
                        ? strstr (c->in->str, "\r\n\r\n")
                        : NULL;
  if (end == NULL)
    return false;
  size_t n = (size_t)(end - c->in->str) + 4;
  char *head = talloc_strndup (NULL, c->in->str, n);
  const char *length = wire_header (head, head, "Content-Length");
  n += length == NULL ? 0 : strtoul (length, NULL, 10);
  bool whole = c->in->len >= n;
  if (whole)
    {
      g_string_erase (c->in, 0, (gssize)n);
      _request_arrived (c, head);
    }
  talloc_free (head);
  return whole;
}

static void
_conn_readable (struct tevent_context *loop, struct tevent_fd *event,
                uint16_t flags, void *data)
{
  (void)loop;
  (void)event;
  (void)flags;
  _conn_t *c = data;
  char bytes[4096];
  ssize_t n = recv (c->fd, bytes, sizeof bytes, MSG_DONTWAIT);
  if (n < 0 && errno == EAGAIN)
    return;
  if (n <= 0 || c->in->len > REQUEST_MAX)
    {
      _conn_end (c, _CLOSE);
      return;
    }
  g_string_append_len (c->in, bytes, n);
  (void)_conn_take (c);
}

static int
_conn_free (_conn_t *c)
{
  if (c->fd >= 0)
    wire_close (c->fd, false);
  (void)g_string_free (c->in, TRUE);
  (void)g_string_free (c->out, TRUE);
  return 0;
}

static void
_on_connection (struct tevent_context *loop, struct tevent_fd *event,
                uint16_t flags, void *data)
{
  (void)event;
  (void)flags;
  replica_t *r = data;
  int fd = wire_accept (r->fd);
  if (fd < 0)
    return;
  _conn_t *c = talloc_zero (r, _conn_t);
  *c = (_conn_t){ .replica = r,
                  .fd = fd,
                  .in = g_string_new (NULL),
                  .out = g_string_new (NULL) };
  talloc_set_destructor (c, _conn_free);
  c->event = tevent_add_fd (loop, c, fd, TEVENT_FD_READ, _conn_readable, c);
}

void
replica_serve (replica_t *r)
{
  tevent_add_fd (r->loop, r, r->fd, TEVENT_FD_READ, _on_connection, r);
}

#include "srv.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <time.h>
#include <unistd.h>

#define DEFAULT_MAX_BODY (16u << 20)
#define CONNECTION_LIMIT 20000u
/** Interval of the check for disconnected clients. */
#define DISCONNECT_POLL_MS 20
#define DEFAULT_DELAY_MS 1000

struct srv
{
  srv_desc_t desc;
  struct tevent_context *loop;
  struct MHD_Daemon *daemon;
  struct tevent_timer *mhd_timer;
  FILE *record;
  GHashTable *suspended; /**< srv_req_t */
  srv_fault_t fault;
  uint64_t delay_ms;
  uint64_t fault_requests_left; /**< requests still to get the fault; 0: no
                                     limit */
  uintptr_t connections;        /**< number of the last connection */
  uintptr_t mute_up_to; /**< connections up to this number get no response */
};

struct srv_req_state
{
  char *uri;
  struct MHD_Connection *conn;
  int fd;
  bool started;
  bool too_large;
  bool handled;
  bool suspended;
  bool ready; /**< the response may be queued */
  bool abort;
  bool ended; /**< the stream has ended */
  bool streaming;
  uint64_t delay_ms;
  unsigned status;
  struct MHD_Response *response;
  GPtrArray *headers; /**< name, value, name, ... */
  GByteArray *out;    /**< body, or the stream so far */
  size_t sent;        /**< bytes of out passed to the daemon */
};

static const char *const fault_names[SRV_FAULT_NUM]
    = { "ok",     "down", "hang", "slow",   "lose",
        "refuse", "cut",  "lie",  "garble", "double" };

uint64_t
srv_now_ms (void)
{
  struct timespec ts;
  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

struct tevent_context *
srv_loop (srv_t *s)
{
  return s->loop;
}

struct tevent_timer *
srv_timer_add (srv_t *s, void *ctx, uint64_t ms, tevent_timer_handler_t fired,
               void *data)
{
  struct timeval at = tevent_timeval_current_ofs (
      (uint32_t)(ms / 1000), (uint32_t)(ms % 1000 * 1000));
  return tevent_add_timer (s->loop, ctx, at, fired, data);
}

const char *
srv_req_header (const srv_req_t *req, const char *name)
{
  return MHD_lookup_connection_value (req->state->conn, MHD_HEADER_KIND, name);
}

const char *
srv_req_argument (const srv_req_t *req, const char *name)
{
  return MHD_lookup_connection_value (req->state->conn, MHD_GET_ARGUMENT_KIND,
                                      name);
}

uint64_t
srv_req_number (const srv_req_t *req, const char *name, uint64_t fallback)
{
  const char *text = srv_req_argument (req, name);
  return text ? strtoull (text, NULL, 10) : fallback;
}

static void _srv_mhd_timer_fired (struct tevent_context *loop,
                                  struct tevent_timer *timer,
                                  struct timeval now, void *data);

/* Suspending and resuming */

static void
_srv_suspend (srv_req_t *req)
{
  req->state->suspended = true;
  g_hash_table_add (req->srv->suspended, req);
  MHD_suspend_connection (req->state->conn);
}

static void
_srv_resume (srv_req_t *req)
{
  if (!req->state->suspended)
    return;
  req->state->suspended = false;
  g_hash_table_remove (req->srv->suspended, req);
  MHD_resume_connection (req->state->conn);
  /* The daemon handles resumed connections only at its next run. */
  TALLOC_FREE (req->srv->mhd_timer);
  req->srv->mhd_timer
      = srv_timer_add (req->srv, req->srv, 0, _srv_mhd_timer_fired, req->srv);
}

static void
_srv_delay_over (struct tevent_context *loop, struct tevent_timer *timer,
                 struct timeval now, void *data)
{
  srv_req_t *req = data;
  (void)loop;
  (void)timer;
  (void)now;
  req->state->ready = true;
  _srv_resume (req);
}

static void
_srv_response_ready (srv_req_t *req)
{
  struct srv_req_state *st = req->state;
  if (req->fault == SRV_HANG)
    return;
  if (req->fault == SRV_LOSE_RESPONSE)
    st->abort = true;
  if (st->delay_ms != 0)
    {
      srv_timer_add (req->srv, req, st->delay_ms, _srv_delay_over, req);
      return;
    }
  st->ready = true;
  _srv_resume (req);
}

/* Responses */

void
srv_header_add (srv_req_t *req, const char *name, const char *value)
{
  g_ptr_array_add (req->state->headers, g_strdup (name));
  g_ptr_array_add (req->state->headers, g_strdup (value));
}

static void
_srv_headers_put (struct srv_req_state *st)
{
  for (guint i = 0; i + 1 < st->headers->len; i += 2)
    MHD_add_response_header (st->response, st->headers->pdata[i],
                             st->headers->pdata[i + 1]);
}

void
srv_reply (srv_req_t *req, unsigned status, const char *body, size_t size)
{
  struct srv_req_state *st = req->state;
  if (req->fault == SRV_INVALID_JSON && size > 1)
    size /= 2;
  g_byte_array_append (st->out, (const guint8 *)body, (guint)size);
  st->status = status;
  st->response = MHD_create_response_from_buffer (st->out->len, st->out->data,
                                                  MHD_RESPMEM_PERSISTENT);
  _srv_headers_put (st);
  _srv_response_ready (req);
}

void
srv_json (srv_req_t *req, unsigned status, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);
  srv_header_add (req, "Content-Type", "application/json");
  srv_reply (req, status, text, strlen (text));
  free (text);
  json_decref (body);
}

void
srv_error (srv_req_t *req, unsigned status, const char *code,
           const char *message)
{
  srv_json (req, status,
            json_pack ("{s:s, s:s}", "code", code, "message", message));
}

static ssize_t
_srv_stream_read (void *cls, uint64_t pos, char *buf, size_t max)
{
  srv_req_t *req = cls;
  struct srv_req_state *st = req->state;
  (void)pos;
  size_t left = st->out->len - st->sent;
  if (left == 0 && st->abort)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (left == 0 && st->ended)
    return MHD_CONTENT_READER_END_OF_STREAM;
  if (left == 0)
    {
      _srv_suspend (req);
      return 0;
    }
  size_t n = left < max ? left : max;
  memcpy (buf, st->out->data + st->sent, n);
  st->sent += n;
  return (ssize_t)n;
}

void
srv_stream_begin (srv_req_t *req, const char *type)
{
  struct srv_req_state *st = req->state;
  st->streaming = true;
  st->status = MHD_HTTP_OK;
  st->response = MHD_create_response_from_callback (
      MHD_SIZE_UNKNOWN, 4096, _srv_stream_read, req, NULL);
  srv_header_add (req, "Content-Type", type);
  _srv_headers_put (st);
  _srv_response_ready (req);
}

void
srv_stream_write (srv_req_t *req, const char *data, size_t size)
{
  g_byte_array_append (req->state->out, (const guint8 *)data, (guint)size);
  if (req->state->ready)
    _srv_resume (req);
}

void
srv_stream_end (srv_req_t *req)
{
  req->state->ended = true;
  if (req->state->ready)
    _srv_resume (req);
}

void
srv_abort (srv_req_t *req)
{
  req->state->abort = true;
  req->state->ready = true;
  _srv_resume (req);
}

/* Control */

static int
_srv_fault_find (const char *mode)
{
  if (strcmp (mode, "silent") == 0)
    return SRV_HANG;
  for (int i = 0; i < SRV_FAULT_NUM; i++)
    if (strcmp (mode, fault_names[i]) == 0)
      return i;
  return -1;
}

static void
_srv_control (srv_req_t *req)
{
  srv_t *s = req->srv;
  json_t *command
      = json_loadb ((const char *)req->body->data, req->body->len, 0, NULL);
  const char *mode = json_string_value (json_object_get (command, "mode"));
  int fault = mode ? _srv_fault_find (mode) : -1;
  req->fault = SRV_OK;
  if (command == NULL || (mode && fault < 0 && strcmp (mode, "mute") != 0))
    {
      srv_error (req, 400, "invalid", "unknown mode");
      json_decref (command);
      return;
    }
  if (fault >= 0)
    {
      json_int_t delay
          = json_integer_value (json_object_get (command, "delay_ms"));
      s->fault = (srv_fault_t)fault;
      s->delay_ms = delay > 0 ? (uint64_t)delay : DEFAULT_DELAY_MS;
      s->fault_requests_left
          = (uint64_t)json_integer_value (json_object_get (command, "count"));
    }
  else if (mode)
    s->mute_up_to = s->connections;
  if (s->desc.control)
    s->desc.control (s->desc.user, command);
  srv_json (req, 200, json_pack ("{s:s}", "mode", fault_names[s->fault]));
  json_decref (command);
}

/* Requests */

static enum MHD_Result
_srv_record_header (void *cls, enum MHD_ValueKind kind, const char *name,
                    const char *value)
{
  (void)kind;
  fprintf (cls, "%s: %s\n", name, value ? value : "");
  return MHD_YES;
}

static void
_srv_record (const srv_req_t *req)
{
  FILE *f = req->srv->record;
  if (f == NULL)
    return;
  fprintf (f, "%s %s\n", req->method, req->state->uri);
  MHD_get_connection_values (req->state->conn, MHD_HEADER_KIND,
                             _srv_record_header, f);
  fputc ('\n', f);
  fwrite (req->body->data, 1, req->body->len, f);
  fputs ("\n\n", f);
  fflush (f);
}

static bool
_srv_is_mute (const srv_req_t *req)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      req->state->conn, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  uintptr_t number = (uintptr_t)info->socket_context;
  return number <= req->srv->mute_up_to;
}

/** Injects the present fault into REQ and counts down the requests left. */
static void
_srv_fault_apply (srv_req_t *req)
{
  srv_t *s = req->srv;
  req->fault = s->fault;
  req->state->delay_ms = s->fault == SRV_SLOW ? s->delay_ms : 0;
  if (_srv_is_mute (req))
    req->fault = SRV_HANG;
  else if (s->fault_requests_left != 0 && --s->fault_requests_left == 0)
    s->fault = SRV_OK;
}

static void
_srv_handle (srv_req_t *req)
{
  srv_t *s = req->srv;
  req->state->handled = true;
  if (strcmp (req->path, "/control") == 0)
    {
      _srv_control (req);
      return;
    }
  if (strcmp (req->path, "/counts") == 0)
    {
      s->desc.handle (req);
      return;
    }
  const char *id = srv_req_header (req, "X-Request-Id");
  if (id)
    srv_header_add (req, "X-Request-Id", id);
  _srv_record (req);
  _srv_fault_apply (req);
  if (req->fault == SRV_HANG && !s->desc.handle_when_hanging)
    return;
  bool refuse = req->fault == SRV_REFUSE && strcmp (req->method, "GET") != 0;
  if (refuse)
    srv_header_add (req, "Retry-After", "1");
  if (refuse || req->fault == SRV_DOWN)
    srv_error (req, 503, "unavailable", "ordered by /control");
  else if (req->state->too_large)
    srv_error (req, 413, "too-large", "body is above the limit");
  else
    s->desc.handle (req);
}

static enum MHD_Result
_srv_response_queue (srv_req_t *req)
{
  struct srv_req_state *st = req->state;
  if (st->abort && !st->streaming)
    return MHD_NO;
  if (st->abort && req->fault == SRV_LOSE_RESPONSE)
    return MHD_NO;
  if (st->ready && st->response)
    return MHD_queue_response (st->conn, st->status, st->response);
  _srv_suspend (req);
  return MHD_YES;
}

static enum MHD_Result
_srv_request_received (void *cls, struct MHD_Connection *conn, const char *url,
                       const char *method, const char *version,
                       const char *data, size_t *size, void **con_cls)
{
  srv_t *s = cls;
  srv_req_t *req = *con_cls;
  struct srv_req_state *st = req->state;
  (void)version;
  if (!st->started)
    {
      st->started = true;
      st->conn = conn;
      st->fd
          = MHD_get_connection_info (conn, MHD_CONNECTION_INFO_CONNECTION_FD)
                ->connect_fd;
      req->method = talloc_strdup (req, method);
      req->path = talloc_strdup (req, url);
      return MHD_YES;
    }
  if (*size != 0)
    {
      if (req->body->len + *size > s->desc.max_body)
        st->too_large = true;
      else
        g_byte_array_append (req->body, (const guint8 *)data, (guint)*size);
      *size = 0;
      return MHD_YES;
    }
  if (!st->handled)
    _srv_handle (req);
  return _srv_response_queue (req);
}

static int
_srv_req_free (srv_req_t *req)
{
  struct srv_req_state *st = req->state;
  g_hash_table_remove (req->srv->suspended, req);
  if (st->response)
    MHD_destroy_response (st->response);
  g_ptr_array_free (st->headers, TRUE);
  g_byte_array_free (st->out, TRUE);
  g_byte_array_free (req->body, TRUE);
  return 0;
}

static void *
_srv_request_begun (void *cls, const char *uri, struct MHD_Connection *conn)
{
  srv_t *s = cls;
  srv_req_t *req = talloc_zero (s, srv_req_t);
  req->srv = s;
  req->user = s->desc.user;
  req->state = talloc_zero (req, struct srv_req_state);
  req->state->conn = conn;
  req->state->uri = talloc_strdup (req, uri);
  req->state->headers = g_ptr_array_new_with_free_func (g_free);
  req->state->out = g_byte_array_new ();
  req->body = g_byte_array_new ();
  talloc_set_destructor (req, _srv_req_free);
  return req;
}

/** Sends the complete response a second time. */
static void
_srv_response_duplicate (const srv_req_t *req)
{
  const GByteArray *out = req->state->out;
  const GPtrArray *headers = req->state->headers;
  char *head = talloc_asprintf (NULL,
                                "HTTP/1.1 %u OK\r\n"
                                "Content-Length: %u\r\n",
                                req->state->status, out->len);
  for (guint i = 0; i + 1 < headers->len; i += 2)
    head = talloc_asprintf_append (head, "%s: %s\r\n",
                                   (char *)headers->pdata[i],
                                   (char *)headers->pdata[i + 1]);
  head = talloc_strdup_append (head, "\r\n");
  if (send (req->state->fd, head, strlen (head), MSG_NOSIGNAL) > 0)
    (void)!send (req->state->fd, out->data, out->len, MSG_NOSIGNAL);
  talloc_free (head);
}

static void
_srv_request_ended (void *cls, struct MHD_Connection *conn, void **con_cls,
                    enum MHD_RequestTerminationCode code)
{
  srv_req_t *req = *con_cls;
  (void)cls;
  (void)conn;
  *con_cls = NULL;
  if (req == NULL)
    return;
  if (req->fault == SRV_DUPLICATE
      && code == MHD_REQUEST_TERMINATED_COMPLETED_OK)
    _srv_response_duplicate (req);
  talloc_free (req);
}

static void
_srv_connection_changed (void *cls, struct MHD_Connection *conn,
                         void **socket_context,
                         enum MHD_ConnectionNotificationCode code)
{
  srv_t *s = cls;
  (void)conn;
  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    *socket_context = (void *)++s->connections; // NOLINT
}

/* Loop */

static void _srv_daemon_run (srv_t *s);

static void
_srv_mhd_timer_fired (struct tevent_context *loop, struct tevent_timer *timer,
                      struct timeval now, void *data)
{
  srv_t *s = data;
  (void)loop;
  (void)timer;
  (void)now;
  s->mhd_timer = NULL;
  _srv_daemon_run (s);
}

static void
_srv_daemon_run (srv_t *s)
{
  MHD_UNSIGNED_LONG_LONG ms = 0;
  TALLOC_FREE (s->mhd_timer);
  MHD_run (s->daemon);
  if (s->mhd_timer == NULL && MHD_get_timeout (s->daemon, &ms) == MHD_YES)
    s->mhd_timer = srv_timer_add (s, s, ms, _srv_mhd_timer_fired, s);
}

static void
_srv_readable (struct tevent_context *loop, struct tevent_fd *fde,
               uint16_t flags, void *data)
{
  (void)loop;
  (void)fde;
  (void)flags;
  _srv_daemon_run (data);
}

/** Aborts the requests of clients that have disconnected.  The daemon does not
 * notice a disconnect, as it does not poll suspended connections. */
static void
_srv_disconnects_poll (struct tevent_context *loop, struct tevent_timer *timer,
                       struct timeval now, void *data)
{
  srv_t *s = data;
  guint n = 0;
  gpointer *reqs = g_hash_table_get_keys_as_array (s->suspended, &n);
  struct pollfd *fds = g_new0 (struct pollfd, n + 1);
  (void)loop;
  (void)timer;
  (void)now;
  for (guint i = 0; i < n; i++)
    {
      const srv_req_t *req = reqs[i];
      fds[i] = (struct pollfd){ .fd = req->state->fd, .events = POLLRDHUP };
    }
  if (n != 0 && poll (fds, n, 0) > 0)
    for (guint i = 0; i < n; i++)
      if (fds[i].revents != 0)
        srv_abort (reqs[i]);
  g_free (fds);
  g_free (reqs);
  srv_timer_add (s, s, DISCONNECT_POLL_MS, _srv_disconnects_poll, s);
}

static struct MHD_Daemon *
_srv_daemon_start (srv_t *s)
{
  struct sockaddr_in at = { .sin_family = AF_INET,
                            .sin_port = htons (s->desc.port),
                            .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  return MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC, s->desc.port,
      NULL, NULL, _srv_request_received, s, MHD_OPTION_SOCK_ADDR, &at,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_CONNECTION_LIMIT,
      CONNECTION_LIMIT, MHD_OPTION_URI_LOG_CALLBACK, _srv_request_begun, s,
      MHD_OPTION_NOTIFY_COMPLETED, _srv_request_ended, s,
      MHD_OPTION_NOTIFY_CONNECTION, _srv_connection_changed, s,
      MHD_OPTION_END);
}

srv_t *
srv_setup (void *ctx, const srv_desc_t *desc)
{
  srv_t *s = talloc_zero (ctx, srv_t);
  s->desc = *desc;
  if (s->desc.max_body == 0)
    s->desc.max_body = DEFAULT_MAX_BODY;
  s->loop = tevent_context_init (s);
  s->suspended = g_hash_table_new (NULL, NULL);
  if (desc->record && (s->record = fopen (desc->record, "ae")) == NULL)
    {
      perror (desc->record);
      exit (EXIT_FAILURE);
    }
  s->daemon = _srv_daemon_start (s);
  if (s->daemon == NULL)
    {
      fprintf (stderr, "cannot listen on 127.0.0.1:%u\n", desc->port);
      exit (EXIT_FAILURE);
    }
  int fd = MHD_get_daemon_info (s->daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
  tevent_add_fd (s->loop, s, fd, TEVENT_FD_READ, _srv_readable, s);
  srv_timer_add (s, s, DISCONNECT_POLL_MS, _srv_disconnects_poll, s);
  printf ("listening on 127.0.0.1:%u\n",
          MHD_get_daemon_info (s->daemon, MHD_DAEMON_INFO_BIND_PORT)->port);
  fflush (stdout);
  return s;
}

void
srv_run (srv_t *s)
{
  /* The default action of SIGTERM and SIGINT ends the process. */
  signal (SIGPIPE, SIG_IGN);
  tevent_loop_wait (s->loop);
}

#include "io/hsv_int.h"

#include "io/set.h"

#include <arpa/inet.h>
#include <glib.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#define HSV_CONNECTIONS_DEFAULT 8192U
#define HSV_BODY_MAX_DEFAULT ((size_t)64 << 20)
#define HSV_BODIES_MAX_DEFAULT ((size_t)128 << 20)
#define HSV_QUEUE_MAX_DEFAULT ((size_t)256 << 10)
#define HSV_IDLE_S_DEFAULT 75U
#define HSV_HEAD_MAX ((size_t)32 << 10)   /**< request line and headers */
#define HSV_BLOCK_SIZE ((size_t)16 << 10) /**< response bytes per read */
/** Runs of the library, one after another, before the loop's other events. */
#define HSV_RUNS_AT_ONCE 16

static void _hsv_run_schedule (hsv_t *s);

/* -- requests ------------------------------------------------------------- */

static int
_hsv_request_destroy (hsv_request_t *r)
{
  g_hash_table_remove (r->server->receiving, r);
  r->server->bodies -= r->body->len;
  g_byte_array_unref (r->body);
  g_byte_array_unref (r->queue);
  return 0;
}

static hsv_request_t *
_hsv_request_new (hsv_t *s, struct MHD_Connection *connection,
                  const char *target)
{
  hsv_request_t *r = talloc_zero (s, hsv_request_t);
  r->server = s;
  r->connection = connection;
  r->target = talloc_strdup (r, target);
  r->body = g_byte_array_new ();
  r->queue = g_byte_array_new ();
  g_hash_table_add (s->receiving, r);
  talloc_set_destructor (r, _hsv_request_destroy);
  return r;
}

static hsv_request_t *
_hsv_find (const hsv_t *s, uint64_t caller)
{
  return g_hash_table_lookup (s->requests, &caller);
}

static void
_hsv_suspend (hsv_request_t *r)
{
  if (r->suspended)
    return;
  r->suspended = true;
  MHD_suspend_connection (r->connection);
}

void
hsv_resume (hsv_request_t *r)
{
  if (r->suspended)
    {
      r->suspended = false;
      MHD_resume_connection (r->connection);
    }
  _hsv_run_schedule (r->server);
}

void
hsv_gone_report (hsv_request_t *r)
{
  if (r->gone_reported || r->caller == 0 || r->ended || r->aborted)
    return;
  r->gone_reported = true;
  ev_t ev = { .kind = EV_CALLER_GONE, .caller = r->caller };
  r->server->desc.handler (r->server->desc.data, &ev);
}

/* -- delivering a request to the handler ---------------------------------- */

/* Headers and query, collected from the library. */
typedef struct
{
  http_header_t *v;
  size_t n;
  char *query;
} _hsv_values_t;

static enum MHD_Result
_hsv_collect_header (void *data, enum MHD_ValueKind kind, const char *name,
                     const char *value)
{
  (void)kind;
  _hsv_values_t *h = data;
  h->v = talloc_realloc (NULL, h->v, http_header_t, h->n + 1);
  h->v[h->n++] = (http_header_t){ .name = name, .value = value ? value : "" };
  return MHD_YES;
}

static enum MHD_Result
_hsv_collect_query (void *data, enum MHD_ValueKind kind, const char *name,
                    const char *value)
{
  (void)kind;
  _hsv_values_t *h = data;
  char *n = g_uri_escape_string (name, NULL, false);
  char *v = g_uri_escape_string (value ? value : "", NULL, false);
  h->query = talloc_asprintf_append_buffer (
      h->query, "%s%s=%s", h->query[0] == '\0' ? "" : "&", n, v);
  g_free (n);
  g_free (v);
  return MHD_YES;
}

static void
_hsv_request_deliver (hsv_request_t *r)
{
  hsv_t *s = r->server;
  r->caller = ++s->last_caller;
  g_hash_table_remove (s->receiving, r);
  g_hash_table_insert (s->requests, &r->caller, r);
  _hsv_values_t values = { .query = talloc_strdup (NULL, "") };
  MHD_get_connection_values (r->connection, MHD_HEADER_KIND,
                             _hsv_collect_header, &values);
  MHD_get_connection_values (r->connection, MHD_GET_ARGUMENT_KIND,
                             _hsv_collect_query, &values);
  ev_t ev = { .kind = EV_REQUEST,
              .request = { .caller = r->caller,
                           .method = r->method,
                           .path = r->path,
                           .query = values.query,
                           .target = r->target,
                           .headers = { .v = values.v, .n = values.n },
                           .body = { .p = (const char *)r->body->data,
                                     .n = r->body->len } } };
  s->desc.handler (s->desc.data, &ev);
  talloc_free (values.v);
  talloc_free (values.query);
  s->bodies -= r->body->len;
  g_byte_array_set_size (r->body, 0);
}

/* -- responding ----------------------------------------------------------- */

/* Drops the bytes given to the library once they are half of the queue or
 * more: a queue that is never empty must not grow without limit. */
static void
_hsv_queue_trim (hsv_request_t *r)
{
  if (r->queue_offset < r->queue->len - r->queue_offset)
    return;
  g_byte_array_remove_range (r->queue, 0, (guint)r->queue_offset);
  r->queue_offset = 0;
}

static ssize_t
_hsv_read_response (void *data, uint64_t at, char *p, size_t max)
{
  (void)at;
  hsv_request_t *r = data;
  size_t left = r->queue->len - r->queue_offset;
  if (left == 0 && r->aborted)
    {
      if (r->ends_by_close)
        hsv_reset (r);
      return MHD_CONTENT_READER_END_WITH_ERROR;
    }
  if (left == 0 && r->ended)
    {
      if (r->ends_by_close)
        hsv_close_resets (r, false);
      return MHD_CONTENT_READER_END_OF_STREAM;
    }
  if (left == 0)
    {
      _hsv_suspend (r);
      return 0;
    }
  size_t n = left < max ? left : max;
  memcpy (p, r->queue->data + r->queue_offset, n);
  r->queue_offset += n;
  _hsv_queue_trim (r);
  if (r->full
      && r->queue->len - r->queue_offset < r->server->desc.queue_max / 2)
    {
      r->full = false;
      r->server->desc.flow (r->server->desc.data, r->caller, false);
    }
  return (ssize_t)n;
}

static struct MHD_Response *
_hsv_response_new (hsv_request_t *r)
{
  if (r->ended && !r->aborted && !r->close_delimited)
    return MHD_create_response_from_buffer (r->queue->len, r->queue->data,
                                            MHD_RESPMEM_MUST_COPY);
  struct MHD_Response *response = MHD_create_response_from_callback (
      MHD_SIZE_UNKNOWN, HSV_BLOCK_SIZE, _hsv_read_response, r, NULL);
  r->ends_by_close = r->close_delimited || r->is_http_1_0;
  if (response == NULL || !r->ends_by_close)
    return response;
  (void)MHD_set_response_options (response, MHD_RF_HTTP_1_0_COMPATIBLE_STRICT,
                                  MHD_RO_END);
  hsv_close_resets (r, true);
  return response;
}

static enum MHD_Result
_hsv_respond (hsv_request_t *r)
{
  struct MHD_Response *response = _hsv_response_new (r);
  if (response == NULL)
    return MHD_NO;
  for (size_t i = 0; i < r->header_count; i++)
    MHD_add_response_header (response, r->headers[i].name,
                             r->headers[i].value);
  r->response_queued = true;
  enum MHD_Result result
      = MHD_queue_response (r->connection, (unsigned)r->status, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
_hsv_refuse_body (hsv_request_t *r)
{
  static const char too_large[]
      = "{\"error\":{\"code\":\"too-large\",\"message\":\"the request's body "
        "is above the size cap\",\"run\":\"not-run\"}}";
  static const char over_total[]
      = "{\"error\":{\"code\":\"overloaded\",\"message\":\"no room for the "
        "request's body now\",\"run\":\"not-run\"}}";
  const char *text = r->too_large ? too_large : over_total;
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), (void *)(uintptr_t)text, MHD_RESPMEM_PERSISTENT);
  MHD_add_response_header (response, "Content-Type", "application/json");
  if (!r->too_large)
    MHD_add_response_header (response, "Retry-After", "1");
  enum MHD_Result result
      = MHD_queue_response (r->connection, r->too_large ? 413 : 503, response);
  MHD_destroy_response (response);
  return result;
}

/* Appends a part of the body.  A body that exceeds a limit is read to its end
 * and discarded; then _hsv_refuse_body responds.  Returns false when more than
 * twice the largest body has come. */
static bool
_hsv_body_append (hsv_request_t *r, const char *bytes, size_t n)
{
  hsv_t *s = r->server;
  r->received += n;
  if (r->body->len + n > s->desc.body_max)
    r->too_large = true;
  if (s->bodies + n > s->desc.bodies_max)
    r->over_total = true;
  if (r->too_large || r->over_total || r->refused != NULL)
    return r->received <= 2 * s->desc.body_max;
  s->bodies += n;
  g_byte_array_append (r->body, (const guint8 *)bytes, (guint)n);
  return true;
}

/* -- the library's callbacks ---------------------------------------------- */

/* Called with the request's target before any other callback. */
static void *
_hsv_on_target (void *data, const char *target,
                struct MHD_Connection *connection)
{
  hsv_t *s = data;
  return _hsv_request_new (s, connection, target);
}

static enum MHD_Result
_hsv_on_request (void *data, struct MHD_Connection *connection,
                 const char *url, const char *method, const char *version,
                 const char *upload, size_t *upload_size, void **request)
{
  (void)data;
  (void)connection;
  hsv_request_t *r = *request;
  if (r->method == NULL)
    {
      r->is_http_1_0 = strcmp (version, MHD_HTTP_VERSION_1_0) == 0;
      r->method = talloc_strdup (r, method);
      r->path = talloc_strdup (r, url);
      hsv_head_check (r);
      return r->unframed ? hsv_head_refuse (r) : MHD_YES;
    }
  if (*upload_size > 0)
    {
      bool goes_on = _hsv_body_append (r, upload, *upload_size);
      *upload_size = 0;
      if (!goes_on)
        g_info ("http connection-closed: why=body-without-end received=%zu",
                r->received);
      return goes_on ? MHD_YES : MHD_NO;
    }
  if (r->too_large || r->over_total)
    return _hsv_refuse_body (r);
  if (r->refused != NULL)
    return hsv_head_refuse (r);
  if (r->aborted && r->status == 0)
    return MHD_NO;
  if (r->status != 0)
    return _hsv_respond (r);
  if (r->caller == 0)
    _hsv_request_deliver (r);
  _hsv_suspend (r);
  return MHD_YES;
}

static void
_hsv_on_completed (void *data, struct MHD_Connection *connection,
                   void **request, enum MHD_RequestTerminationCode code)
{
  (void)connection;
  (void)code;
  hsv_t *s = data;
  hsv_request_t *r = *request;
  if (r == NULL)
    return;
  hsv_gone_report (r);
  if (r->caller != 0)
    g_hash_table_remove (s->requests, &r->caller);
  talloc_free (r);
  *request = NULL;
}

static void _hsv_set_timer (hsv_t *s);

static void
_hsv_run (hsv_t *s)
{
  MHD_run (s->daemon);
  s->has_run = true;
  _hsv_set_timer (s);
}

static void
_hsv_on_fd (struct tevent_context *loop, struct tevent_fd *fd, uint16_t flags,
            void *data)
{
  (void)loop;
  (void)fd;
  (void)flags;
  _hsv_run (data);
}

static void
_hsv_on_immediate (struct tevent_context *loop, struct tevent_immediate *im,
                   void *data)
{
  (void)loop;
  (void)im;
  hsv_t *s = data;
  s->run_scheduled = false;
  _hsv_run (s);
}

static void
_hsv_run_schedule (hsv_t *s)
{
  if (s->run_scheduled)
    return;
  s->run_scheduled = true;
  tevent_schedule_immediate (s->run, s->desc.loop, _hsv_on_immediate, s);
}

static void
_hsv_on_timer (struct tevent_context *loop, struct tevent_timer *timer,
               struct timeval now, void *data)
{
  (void)loop;
  (void)timer;
  (void)now;
  hsv_t *s = data;
  s->timer = NULL;
  _hsv_run (s);
}

static void
_hsv_set_timer (hsv_t *s)
{
  MHD_UNSIGNED_LONG_LONG ms = 0;
  TALLOC_FREE (s->timer);
  if (MHD_get_timeout (s->daemon, &ms) != MHD_YES)
    return;
  /* The loop serves neither timers nor descriptors while immediate events
   * wait, and the library may ask for one run after another without end. */
  if (ms == 0 && s->runs++ < HSV_RUNS_AT_ONCE)
    {
      _hsv_run_schedule (s);
      return;
    }
  s->runs = 0;
  if (ms == 0)
    ms = 1;
  s->timer = tevent_add_timer (
      s->desc.loop, s,
      tevent_timeval_current_ofs ((uint32_t)(ms / 1000),
                                  (uint32_t)(ms % 1000) * 1000),
      _hsv_on_timer, s);
}

/* -- public --------------------------------------------------------------- */

static int
_hsv_destroy (hsv_t *s)
{
  GHashTableIter iter;
  void *value = NULL;
  g_hash_table_iter_init (&iter, s->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      hsv_request_t *r = value;
      r->aborted = true;
      r->gone_reported = true;
      if (r->ends_by_close)
        hsv_reset (r);
      if (r->suspended)
        MHD_resume_connection (r->connection);
    }
  talloc_free (s->fd);
  MHD_stop_daemon (s->daemon);
  g_hash_table_destroy (s->requests);
  g_hash_table_destroy (s->receiving);
  return 0;
}

static void
_hsv_fill_defaults (hsv_desc_t *d)
{
  if (d->connections == 0)
    d->connections = HSV_CONNECTIONS_DEFAULT;
  if (d->body_max == 0)
    d->body_max = HSV_BODY_MAX_DEFAULT;
  if (d->bodies_max == 0)
    d->bodies_max = HSV_BODIES_MAX_DEFAULT;
  if (d->queue_max == 0)
    d->queue_max = HSV_QUEUE_MAX_DEFAULT;
  if (d->idle_s == 0)
    d->idle_s = HSV_IDLE_S_DEFAULT;
}

static bool
_hsv_listen (hsv_t *s, st_t *st)
{
  char ip[64];
  uint16_t port = 0;
  if (!set_address_split (s->desc.listen, ip, &port))
    {
      (void)st_set (st, ST_INVALID, "listen '%s': expected IP:PORT",
                    s->desc.listen);
      return false;
    }
  struct sockaddr_in in = { .sin_family = AF_INET, .sin_port = htons (port) };
  inet_pton (AF_INET, ip, &in.sin_addr);
  s->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC, port, NULL, NULL,
      _hsv_on_request, s, MHD_OPTION_SOCK_ADDR, &in,
      MHD_OPTION_NOTIFY_COMPLETED, _hsv_on_completed, s,
      MHD_OPTION_URI_LOG_CALLBACK, _hsv_on_target, s,
      MHD_OPTION_CONNECTION_LIMIT, s->desc.connections,
      MHD_OPTION_CONNECTION_TIMEOUT, s->desc.idle_s,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, HSV_HEAD_MAX,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
  if (s->daemon == NULL)
    (void)st_set (st, ST_UNAVAILABLE, "cannot listen on %s", s->desc.listen);
  return s->daemon != NULL;
}

hsv_t *
hsv_setup (void *ctx, const hsv_desc_t *desc, st_t *st)
{
  hsv_t *s = talloc_zero (ctx, hsv_t);
  s->desc = *desc;
  _hsv_fill_defaults (&s->desc);
  s->last_caller = s->desc.caller_base;
  s->run = tevent_create_immediate (s);
  if (!_hsv_listen (s, st))
    {
      talloc_free (s);
      return NULL;
    }
  s->requests = g_hash_table_new (g_int64_hash, g_int64_equal);
  s->receiving = g_hash_table_new (g_direct_hash, g_direct_equal);
  talloc_set_destructor (s, _hsv_destroy);
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (s->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  s->fd = tevent_add_fd (s->desc.loop, s, info->epoll_fd, TEVENT_FD_READ,
                         _hsv_on_fd, s);
  hsv_checks_start (s);
  _hsv_run_schedule (s);
  return s;
}

void
hsv_shutdown (hsv_t *s)
{
  talloc_free (s);
}

void
hsv_quiesce (hsv_t *s)
{
  MHD_socket fd = MHD_quiesce_daemon (s->daemon);
  if (fd != MHD_INVALID_SOCKET)
    close (fd);
}

size_t
hsv_open_count (const hsv_t *s)
{
  return g_hash_table_size (s->requests);
}

bool
hsv_is_full (const hsv_t *s, uint64_t caller)
{
  const hsv_request_t *r = _hsv_find (s, caller);
  return r != NULL && r->full;
}

void
hsv_reply_head (hsv_t *s, uint64_t caller, int status, http_headers_t headers)
{
  hsv_request_t *r = _hsv_find (s, caller);
  if (r == NULL || r->status != 0)
    return;
  r->status = status;
  r->headers = talloc_array (r, http_header_t, headers.n);
  r->header_count = headers.n;
  for (size_t i = 0; i < headers.n; i++)
    r->headers[i] = (http_header_t){
      .name = talloc_strdup (r->headers, headers.v[i].name),
      .value = talloc_strdup (r->headers, headers.v[i].value),
    };
  hsv_resume (r);
}

void
hsv_reply_close_delimited (hsv_t *s, uint64_t caller)
{
  hsv_request_t *r = _hsv_find (s, caller);
  if (r != NULL && r->status == 0)
    r->close_delimited = true;
}

void
hsv_reply_data (hsv_t *s, uint64_t caller, buf_t data)
{
  hsv_request_t *r = _hsv_find (s, caller);
  if (r == NULL || r->ended || r->aborted)
    return;
  g_byte_array_append (r->queue, (const guint8 *)data.p, (guint)data.n);
  if (!r->full && r->queue->len - r->queue_offset > s->desc.queue_max)
    {
      r->full = true;
      s->desc.flow (s->desc.data, caller, true);
    }
  hsv_resume (r);
}

void
hsv_reply_end (hsv_t *s, uint64_t caller)
{
  hsv_request_t *r = _hsv_find (s, caller);
  if (r == NULL)
    return;
  r->ended = true;
  hsv_resume (r);
}

void
hsv_reply_abort (hsv_t *s, uint64_t caller)
{
  hsv_request_t *r = _hsv_find (s, caller);
  if (r == NULL)
    return;
  r->aborted = true;
  hsv_resume (r);
}

/** @file
 * The scripted upstreams of the driver's bed, and the responses they send.
 */
#include "drvbed_int.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

/* Descriptors searched for the VM's end of a connection. */
#define DRVBED_FDS_MAX 1024
#define DRVBED_BACKLOG 16
#define DRVBED_EVENTS 3 /* in the stream of a response */

/* -- responses ------------------------------------------------------------ */

char *
drvbed_body (void *ctx, const char *id, unsigned after)
{
  char *body = talloc_strdup (ctx, "");
  for (unsigned i = after + 1; i <= DRVBED_EVENTS; i++)
    body = talloc_asprintf_append_buffer (body, "id: %u\ndata: %s e%u\n\n", i,
                                          id, i);
  return body;
}

char *
drvbed_signature (void *ctx, const char *id)
{
  return talloc_asprintf (ctx, "signature-of-%s", id);
}

/* The head of R up to the headers about its body, owned by CTX. */
static char *
_drvbed_head (void *ctx, const drvbed_reply_t *r, int status)
{
  char *head = talloc_asprintf (ctx, "HTTP/1.1 %d Status\r\n", status);
  if (r->id != NULL)
    head = talloc_asprintf_append_buffer (head, "Request-Id: %s\r\n", r->id);
  if (status == 200 && r->id != NULL)
    head = talloc_asprintf_append_buffer (head, "Response-Signature: %s\r\n",
                                          drvbed_signature (ctx, r->id));
  if (status == 421 || status == 503)
    head = talloc_strdup_append_buffer (head, "Not-Executed: 1\r\n");
  if (r->header != NULL)
    head = talloc_asprintf_append_buffer (head, "%s\r\n", r->header);
  return talloc_asprintf_append_buffer (head, "Content-Type: %s\r\n",
                                        status == 200 ? "text/event-stream"
                                                      : "text/plain");
}

const char *
drvbed_reply (drvbed_t *b, const drvbed_reply_t *r)
{
  int status = r->status == 0 ? 200 : r->status;
  const char *id = r->id == NULL ? "none" : r->id;
  const char *body
      = status == 200 ? drvbed_body (b, id, r->after) : "it went wrong";
  const char *head = _drvbed_head (b, r, status);
  if (r->framing == DRVBED_CLOSE)
    return talloc_asprintf (b, "%s\r\n%s", head, body);
  if (r->framing == DRVBED_LENGTH)
    return talloc_asprintf (b, "%sContent-Length: %zu\r\n\r\n%s", head,
                            strlen (body), body);
  return talloc_asprintf (
      b, "%sTransfer-Encoding: chunked\r\n\r\n%zx\r\n%s\r\n0\r\n%s%s\r\n",
      head, strlen (body), body, r->trailer == NULL ? "" : r->trailer,
      r->trailer == NULL ? "" : "\r\n");
}

const char *
drvbed_response (drvbed_t *b, drvbed_framing_t framing, const char *id)
{
  return drvbed_reply (b, &(drvbed_reply_t){ .id = id, .framing = framing });
}

/* The load report of an upstream that SAYS this. */
static const char *
_drvbed_report (drvbed_t *b, const drvbed_says_t *says)
{
  char *body = talloc_asprintf (
      b, "{\"running\":0,\"waiting\":0,\"slots\":8,\"seq\":%u",
      says->seq == 0 ? 1 : says->seq);
  if (says->born != 0)
    body = talloc_asprintf_append_buffer (body, ",\"born\":%llu",
                                          (unsigned long long)says->born);
  body = talloc_strdup_append_buffer (body, "}");
  return talloc_asprintf (
      b,
      "HTTP/1.1 %d OK\r\n%s%s"
      "Content-Type: application/json\r\n"
      "Content-Length: %zu\r\n\r\n%s",
      says->report_status == 0 ? 200 : says->report_status,
      says->report_header == NULL ? "" : says->report_header,
      says->report_header == NULL ? "" : "\r\n", strlen (body), body);
}

const char *
drvbed_load_report (drvbed_t *b)
{
  return _drvbed_report (b, &(drvbed_says_t){ .status = 0 });
}

/* -- connections ---------------------------------------------------------- */

static int
_drvbed_conn_destroy (drvbed_conn_t *c)
{
  TALLOC_FREE (c->event);
  close (c->fd);
  (void)g_string_free (c->in, TRUE);
  return 0;
}

/* Value of header NAME in HEAD, owned by CTX; NULL: absent. */
static char *
_drvbed_header (void *ctx, const char *head, const char *name)
{
  char *line = talloc_asprintf (ctx, "\r\n%s: ", name);
  const char *found = strcasestr (head, line);
  const char *value = found == NULL ? NULL : found + strlen (line);
  talloc_free (line);
  return value == NULL ? NULL
                       : talloc_strndup (ctx, value, strcspn (value, "\r"));
}

/* Ends U: see drvbed_end_under. */
static void
_drvbed_upstream_end (drvbed_t *b, drvbed_upstream_t *u)
{
  char name[16];
  (void)snprintf (name, sizeof name, "up-%d", (int)(u - b->upstreams));
  for (guint i = 0; i < b->requests->len; i++)
    {
      const drvbed_request_t *r = g_ptr_array_index (b->requests, i);
      if (r->conn->upstream == u && !r->conn->closed)
        drvbed_close (r->conn);
    }
  u->ended = true;
  drvbed_unlist (b, name);
}

void
drvbed_end_under (drvbed_t *b, const char *ids)
{
  b->deadly = ids;
}

bool
drvbed_has_ended (const drvbed_t *b, size_t upstream)
{
  return b->upstreams[upstream].ended;
}

static void
_drvbed_request_arrived (drvbed_conn_t *c, const char *head)
{
  drvbed_t *b = c->upstream->bed;
  drvbed_request_t *r = talloc_zero (b, drvbed_request_t);
  const char *id = _drvbed_header (r, head, "Request-Id");
  bool load = strncmp (head, "GET /rattanspindle/report ", 26) == 0;
  r->conn = c;
  r->id = load ? DRVBED_LOAD : (id == NULL ? "" : id);
  r->target = _drvbed_header (r, head, "Target-Instance");
  r->after = _drvbed_header (r, head, "Last-Event-Id");
  g_ptr_array_add (b->requests, r);
  if (!load && b->deadly != NULL && g_str_has_prefix (r->id, b->deadly))
    {
      r->handled = true;
      _drvbed_upstream_end (b, c->upstream);
      return;
    }
  r->handled = load ? !b->hold_loads : c->upstream->serves;
  if (r->handled && load)
    drvbed_send (c, _drvbed_report (b, &c->upstream->says));
  else if (r->handled)
    drvbed_respond (b, r);
}

/* Takes the first request out of the bytes received; false: incomplete. */
static bool
_drvbed_request_take (drvbed_conn_t *c)
{
  const char *end = strstr (c->in->str, "\r\n\r\n");
  if (end == NULL)
    return false;
  size_t n = (size_t)(end - c->in->str) + 4;
  char *head = talloc_strndup (c, c->in->str, n);
  const char *length = _drvbed_header (head, head, "Content-Length");
  n += length == NULL ? 0 : strtoul (length, NULL, 10);
  bool whole = c->in->len >= n;
  if (whole)
    {
      g_string_erase (c->in, 0, (gssize)n);
      _drvbed_request_arrived (c, head);
    }
  talloc_free (head);
  return whole;
}

static void
_drvbed_on_bytes (struct tevent_context *loop, struct tevent_fd *event,
                  uint16_t flags, void *data)
{
  (void)loop;
  (void)event;
  (void)flags;
  drvbed_conn_t *c = data;
  char bytes[4096];
  ssize_t n = recv (c->fd, bytes, sizeof bytes, MSG_DONTWAIT);
  if (n < 0 && errno == EAGAIN)
    return;
  if (n <= 0)
    {
      c->closed = true;
      TALLOC_FREE (c->event);
      return;
    }
  g_string_append_len (c->in, bytes, n);
  while (_drvbed_request_take (c))
    continue;
}

static bool
_drvbed_fd_has_port (int fd, uint16_t port)
{
  struct sockaddr_in in = { 0 };
  socklen_t size = sizeof in;
  return getsockname (fd, (struct sockaddr *)&in, &size) == 0
         && in.sin_family == AF_INET && ntohs (in.sin_port) == port;
}

/* The descriptor of this process whose socket has PORT at its end; -1: none.
 */
static int
_drvbed_fd_by_port (uint16_t port)
{
  for (int fd = 0; fd < DRVBED_FDS_MAX; fd++)
    if (_drvbed_fd_has_port (fd, port))
      return fd;
  return -1;
}

static void
_drvbed_on_connection (struct tevent_context *loop, struct tevent_fd *event,
                       uint16_t flags, void *data)
{
  (void)event;
  (void)flags;
  drvbed_upstream_t *u = data;
  struct sockaddr_in in = { 0 };
  socklen_t size = sizeof in;
  int fd = accept (u->fd, (struct sockaddr *)&in, &size);
  if (fd < 0)
    return;
  /* Without it a second write would wait for the first one's receipt. */
  (void)setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &(int){ 1 }, sizeof (int));
  drvbed_conn_t *c = talloc_zero (u->bed, drvbed_conn_t);
  *c = (drvbed_conn_t){ .upstream = u,
                        .fd = fd,
                        .vm_port = ntohs (in.sin_port),
                        .vm_fd = _drvbed_fd_by_port (ntohs (in.sin_port)),
                        .in = g_string_new (NULL) };
  talloc_set_destructor (c, _drvbed_conn_destroy);
  c->event = tevent_add_fd (loop, c, fd, TEVENT_FD_READ, _drvbed_on_bytes, c);
}

bool
drvbed_upstream_open (drvbed_t *b, drvbed_upstream_t *u)
{
  struct sockaddr_in in
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t size = sizeof in;
  u->bed = b;
  u->says.born = b->desc.born;
  u->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  u->event = tevent_add_fd (b->loop, b, u->fd, TEVENT_FD_READ,
                            _drvbed_on_connection, u);
  if (bind (u->fd, (struct sockaddr *)&in, sizeof in) != 0
      || listen (u->fd, DRVBED_BACKLOG) != 0
      || getsockname (u->fd, (struct sockaddr *)&in, &size) != 0)
    return false;
  (void)snprintf (u->address, sizeof u->address, "127.0.0.1:%u",
                  ntohs (in.sin_port));
  return true;
}

void
drvbed_upstream_close (drvbed_upstream_t *u)
{
  if (u->event == NULL)
    return;
  TALLOC_FREE (u->event);
  close (u->fd);
}

void
drvbed_hold_loads (drvbed_t *b, bool hold)
{
  b->hold_loads = hold;
}

void
drvbed_serve (drvbed_t *b, size_t upstream)
{
  b->upstreams[upstream].serves = true;
}

void
drvbed_says (drvbed_t *b, size_t upstream, const drvbed_says_t *says)
{
  b->upstreams[upstream].says = *says;
}

void
drvbed_send (drvbed_conn_t *conn, const char *text)
{
  if (!conn->closed)
    (void)send (conn->fd, text, strlen (text), MSG_NOSIGNAL);
}

const char *
drvbed_said (drvbed_t *b, const drvbed_request_t *r)
{
  const drvbed_says_t *says = &r->conn->upstream->says;
  drvbed_reply_t reply
      = { .id = r->id, .status = says->status, .header = says->header };
  if (r->after != NULL)
    reply.after = (unsigned)strtoul (r->after, NULL, 10);
  return drvbed_reply (b, &reply);
}

void
drvbed_respond (drvbed_t *b, const drvbed_request_t *r)
{
  drvbed_send (r->conn, drvbed_said (b, r));
}

void
drvbed_close (drvbed_conn_t *conn)
{
  conn->closed = true;
  TALLOC_FREE (conn->event);
  (void)shutdown (conn->fd, SHUT_RDWR);
}

void
drvbed_reset (drvbed_conn_t *conn)
{
  struct sockaddr none = { .sa_family = AF_UNSPEC };
  conn->closed = true;
  TALLOC_FREE (conn->event);
  (void)connect (conn->fd, &none, sizeof none);
}

/* -- what upstreams have received ----------------------------------------- */

/* A request that a wait looks for. */
typedef struct
{
  const drvbed_t *bed;
  const drvbed_upstream_t *upstream;
  const char *id;
} _drvbed_wanted_t;

static drvbed_request_t *
_drvbed_find (const _drvbed_wanted_t *w)
{
  for (guint i = 0; i < w->bed->requests->len; i++)
    {
      drvbed_request_t *r = g_ptr_array_index (w->bed->requests, i);
      if (!r->handled && r->conn->upstream == w->upstream
          && strcmp (r->id, w->id) == 0)
        return r;
    }
  return NULL;
}

static bool
_drvbed_is_found (const void *data)
{
  return _drvbed_find (data) != NULL;
}

drvbed_request_t *
drvbed_await_request (drvbed_t *b, size_t upstream, const char *id)
{
  _drvbed_wanted_t wanted
      = { .bed = b, .upstream = &b->upstreams[upstream], .id = id };
  (void)drvbed_wait (b, DRVBED_WAIT_MS, _drvbed_is_found, &wanted);
  drvbed_request_t *r = _drvbed_find (&wanted);
  if (r != NULL)
    r->handled = true;
  return r;
}

unsigned
drvbed_request_count (const drvbed_t *b, size_t upstream, const char *id)
{
  unsigned n = 0;
  for (guint i = 0; i < b->requests->len; i++)
    {
      const drvbed_request_t *r = g_ptr_array_index (b->requests, i);
      bool wanted = id == NULL ? strcmp (r->id, DRVBED_LOAD) != 0
                               : strcmp (r->id, id) == 0;
      n += r->conn->upstream == &b->upstreams[upstream] && wanted;
    }
  return n;
}

unsigned
drvbed_conn_count (const drvbed_t *b, const drvbed_conn_t *conn)
{
  unsigned n = 0;
  for (guint i = 0; i < b->requests->len; i++)
    {
      const drvbed_request_t *r = g_ptr_array_index (b->requests, i);
      n += r->conn == conn;
    }
  return n;
}

static bool
_drvbed_is_read (const void *data)
{
  const drvbed_conn_t *c = data;
  int unread = 0;
  return c->closed || !_drvbed_fd_has_port (c->vm_fd, c->vm_port)
         || (ioctl (c->vm_fd, FIONREAD, &unread) == 0 && unread == 0);
}

bool
drvbed_await_read (drvbed_t *b, drvbed_conn_t *conn)
{
  return drvbed_wait (b, DRVBED_WAIT_MS, _drvbed_is_read, conn);
}

static bool
_drvbed_is_closed (const void *data)
{
  const drvbed_conn_t *c = data;
  return c->closed;
}

bool
drvbed_await_close (drvbed_t *b, drvbed_conn_t *conn, clk_ms_t ms)
{
  return drvbed_wait (b, ms, _drvbed_is_closed, conn);
}

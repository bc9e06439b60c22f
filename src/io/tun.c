#include "io/tun.h"

#include "core/clk.h"
#include "io/set.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdbool.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#define TUN_BACKLOG 64
/** Largest request for a tunnel. */
#define TUN_HEAD_MAX ((size_t)2048)
/** Bytes that wait for one end of a tunnel. */
#define TUN_BUFFER_SIZE ((size_t)16384)
/** Time limit from the asking VM's connection until the tunnel is open. */
#define TUN_OPEN_MS (3 * CLK_SECOND)
/** Keep-alive: the first probe, the next ones, their number. */
#define TUN_PROBE_IDLE_S 5
#define TUN_PROBE_INTERVAL_S 2
#define TUN_PROBE_COUNT 3

typedef enum
{
  TUN_READING,    /**< the request for the tunnel */
  TUN_CONNECTING, /**< to the upstream */
  TUN_PASSING,
} _tun_state_t;

/** One end of a tunnel, and what it has sent that the other has not taken. */
typedef struct
{
  int sock; /**< -1: none */
  struct tevent_fd *fd;
  char *buffer;
  size_t begin, end; /**< of the bytes in the buffer */
  bool ended;        /**< it has sent its last byte */
} _tun_end_t;

typedef struct
{
  tun_t *server;
  _tun_state_t state;
  _tun_end_t vm; /**< the VM that asks */
  _tun_end_t upstream;
  struct tevent_timer *timer;
} _tun_t;

struct tun
{
  tun_desc_t desc;
  char *proof;
  int listener;
  struct tevent_fd *fd;
  size_t open;
};

/* -- sockets -------------------------------------------------------------- */

static bool
_tun_sockaddr (const char *address, struct sockaddr_in *in)
{
  char ip[64];
  uint16_t port;
  if (!set_address_split (address, ip, &port))
    return false;
  *in = (struct sockaddr_in){ .sin_family = AF_INET,
                              .sin_port = htons (port) };
  return inet_pton (AF_INET, ip, &in->sin_addr) == 1;
}

/** Has SOCK find out by itself that its other side is gone. */
static void
_tun_keep_alive (int sock)
{
  int on = 1;
  int idle = TUN_PROBE_IDLE_S;
  int interval = TUN_PROBE_INTERVAL_S;
  int count = TUN_PROBE_COUNT;
  setsockopt (sock, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (sock, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (sock, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof idle);
  setsockopt (sock, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof interval);
  setsockopt (sock, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof count);
}

/** Whether a close of SOCK, also at the end of this process, is a reset. */
static void
_tun_close_resets (int sock, bool resets)
{
  struct linger linger = { .l_onoff = resets ? 1 : 0 };
  setsockopt (sock, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

static void
_tun_end_close (_tun_end_t *e)
{
  TALLOC_FREE (e->fd);
  if (e->sock >= 0)
    close (e->sock);
  e->sock = -1;
}

static int
_tun_destroy (_tun_t *t)
{
  _tun_end_close (&t->vm);
  _tun_end_close (&t->upstream);
  t->server->open--;
  return 0;
}

/* -- passing bytes -------------------------------------------------------- */

/** Number of bytes of E that the other end has not taken. */
static size_t
_tun_waiting (const _tun_end_t *e)
{
  return e->end - e->begin;
}

/** Reads from E if nothing of it waits; false: its connection is broken. */
static bool
_tun_end_read (_tun_end_t *e)
{
  if (e->ended || _tun_waiting (e) > 0)
    return true;
  ssize_t n = recv (e->sock, e->buffer, TUN_BUFFER_SIZE, 0);
  if (n < 0)
    return errno == EAGAIN || errno == EINTR;
  e->begin = 0;
  e->end = (size_t)n;
  e->ended = n == 0;
  return true;
}

/** Writes what waits of FROM to TO; false: TO's connection is broken. */
static bool
_tun_end_write (_tun_end_t *from, const _tun_end_t *to)
{
  while (_tun_waiting (from) > 0)
    {
      ssize_t n = send (to->sock, from->buffer + from->begin,
                        _tun_waiting (from), MSG_NOSIGNAL);
      if (n < 0)
        return errno == EAGAIN || errno == EINTR;
      from->begin += (size_t)n;
    }
  return true;
}

/** Polls E for what can be done: to read it, or to write what OTHER has sent.
 */
static void
_tun_end_poll (const _tun_end_t *e, const _tun_end_t *other)
{
  uint16_t flags = 0;
  if (!e->ended && _tun_waiting (e) == 0)
    flags |= TEVENT_FD_READ;
  if (_tun_waiting (other) > 0)
    flags |= TEVENT_FD_WRITE;
  tevent_fd_set_flags (e->fd, flags);
}

/** Moves bytes as far as they go.  Frees T at its end. */
static void
_tun_pass (_tun_t *t)
{
  bool whole = _tun_end_read (&t->upstream) && _tun_end_read (&t->vm)
               && _tun_end_write (&t->upstream, &t->vm)
               && _tun_end_write (&t->vm, &t->upstream);
  if (!whole || t->vm.ended)
    {
      talloc_free (t);
      return;
    }
  if (t->upstream.ended && _tun_waiting (&t->upstream) == 0)
    {
      /* An upstream that has not read all of the request resets. */
      _tun_close_resets (t->vm.sock, _tun_waiting (&t->vm) > 0);
      talloc_free (t);
      return;
    }
  _tun_end_poll (&t->vm, &t->upstream);
  _tun_end_poll (&t->upstream, &t->vm);
}

/* -- opening -------------------------------------------------------------- */

/** Answers T's request with STATUS; frees T unless it is TUN_OPEN. */
static void
_tun_answer (_tun_t *t, int status)
{
  char text[64];
  int n = g_snprintf (text, sizeof text, "HTTP/1.1 %d %s\r\n%s\r\n", status,
                      status == TUN_OPEN ? "OK" : "Refused",
                      status == TUN_OPEN ? "" : "Content-Length: 0\r\n");
  bool sent = send (t->vm.sock, text, (size_t)n, MSG_NOSIGNAL) == n;
  if (status == TUN_OPEN && sent)
    return;
  if (sent)
    _tun_close_resets (t->vm.sock, false);
  talloc_free (t);
}

static void
_tun_on_upstream (struct tevent_context *loop, struct tevent_fd *fd,
                  uint16_t flags, void *data)
{
  (void)loop;
  (void)fd;
  (void)flags;
  _tun_t *t = data;
  if (t->state == TUN_PASSING)
    {
      _tun_pass (t);
      return;
    }
  int error = 0;
  socklen_t size = sizeof error;
  if (getsockopt (t->upstream.sock, SOL_SOCKET, SO_ERROR, &error, &size) != 0
      || error != 0)
    {
      _tun_answer (t, TUN_DEAD);
      return;
    }
  TALLOC_FREE (t->timer);
  t->state = TUN_PASSING;
  t->vm.begin = t->vm.end = 0;
  t->upstream.buffer = talloc_array (t, char, TUN_BUFFER_SIZE);
  tevent_fd_set_flags (t->upstream.fd, TEVENT_FD_READ);
  _tun_answer (t, TUN_OPEN);
}

/** Begins to connect T to ADDRESS. */
static void
_tun_connect (_tun_t *t, const char *address)
{
  struct sockaddr_in in;
  if (!_tun_sockaddr (address, &in))
    {
      _tun_answer (t, TUN_MALFORMED);
      return;
    }
  int sock = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (sock < 0)
    {
      _tun_answer (t, TUN_REFUSED);
      return;
    }
  t->upstream.sock = sock;
  _tun_keep_alive (sock);
  if (connect (sock, (struct sockaddr *)&in, sizeof in) < 0
      && errno != EINPROGRESS)
    {
      _tun_answer (t, TUN_DEAD);
      return;
    }
  t->state = TUN_CONNECTING;
  t->upstream.fd = tevent_add_fd (t->server->desc.loop, t, sock,
                                  TEVENT_FD_WRITE, _tun_on_upstream, t);
}

/** Copy of the value of header NAME in the request HEAD, owned by CTX; NULL:
 * it has none. */
static char *
_tun_header (void *ctx, const char *head, const char *name)
{
  char *line = talloc_asprintf (ctx, "\n%s:", name);
  const char *at = strcasestr (head, line);
  if (at == NULL)
    return NULL;
  at += strlen (line);
  at += strspn (at, " \t");
  return talloc_strndup (ctx, at, strcspn (at, "\r\n"));
}

/** Copy of the address that the request HEAD asks for, owned by CTX; NULL: it
 * is malformed. */
static char *
_tun_target (void *ctx, const char *head)
{
  static const char method[] = "CONNECT ";
  if (strncmp (head, method, sizeof method - 1) != 0)
    return NULL;
  const char *address = head + sizeof method - 1;
  return talloc_strndup (ctx, address, strcspn (address, " \r\n"));
}

/** Acts on T's whole request HEAD. */
static void
_tun_requested (_tun_t *t, const char *head)
{
  const tun_desc_t *desc = &t->server->desc;
  char *address = _tun_target (t, head);
  const char *proof = _tun_header (t, head, TUN_PROOF_HEADER);
  if (address == NULL || proof == NULL
      || strcmp (proof, t->server->proof) != 0)
    {
      _tun_answer (t, TUN_MALFORMED);
      return;
    }
  int status = desc->admit (desc->data, address, t->server->open - 1);
  if (status == TUN_OPEN)
    _tun_connect (t, address);
  else
    _tun_answer (t, status);
}

/** Reads T's request for a tunnel. */
static void
_tun_request_read (_tun_t *t)
{
  _tun_end_t *e = &t->vm;
  ssize_t n = recv (e->sock, e->buffer + e->end, TUN_HEAD_MAX - e->end, 0);
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n <= 0)
    {
      talloc_free (t);
      return;
    }
  e->end += (size_t)n;
  e->buffer[e->end] = '\0';
  if (g_str_has_suffix (e->buffer, "\r\n\r\n"))
    _tun_requested (t, e->buffer);
  else if (e->end == TUN_HEAD_MAX || strstr (e->buffer, "\r\n\r\n") != NULL)
    _tun_answer (t, TUN_MALFORMED);
}

static void
_tun_on_vm (struct tevent_context *loop, struct tevent_fd *fd, uint16_t flags,
            void *data)
{
  (void)loop;
  (void)fd;
  (void)flags;
  _tun_t *t = data;
  char byte;
  switch (t->state)
    {
    case TUN_READING:
      _tun_request_read (t);
      break;
    case TUN_CONNECTING:
      /* It has given up, or sends before it may. */
      if (recv (t->vm.sock, &byte, 1, MSG_PEEK) >= 0)
        talloc_free (t);
      break;
    case TUN_PASSING:
      _tun_pass (t);
      break;
    }
}

static void
_tun_on_limit (struct tevent_context *loop, struct tevent_timer *timer,
               struct timeval now, void *data)
{
  (void)loop;
  (void)timer;
  (void)now;
  _tun_t *t = data;
  t->timer = NULL;
  _tun_answer (t, t->state == TUN_CONNECTING ? TUN_DEAD : TUN_MALFORMED);
}

static void
_tun_on_accept (struct tevent_context *loop, struct tevent_fd *fd,
                uint16_t flags, void *data)
{
  (void)fd;
  (void)flags;
  tun_t *server = data;
  int sock
      = accept4 (server->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (sock < 0)
    return;
  _tun_t *t = talloc_zero (server, _tun_t);
  t->server = server;
  t->vm.sock = sock;
  t->upstream.sock = -1;
  server->open++;
  talloc_set_destructor (t, _tun_destroy);
  _tun_keep_alive (sock);
  _tun_close_resets (sock, true);
  t->vm.buffer = talloc_array (t, char, TUN_BUFFER_SIZE);
  t->vm.fd = tevent_add_fd (loop, t, sock, TEVENT_FD_READ, _tun_on_vm, t);
  clk_ms_t ms = TUN_OPEN_MS;
  t->timer = tevent_add_timer (
      loop, t, tevent_timeval_current_ofs ((uint32_t)(ms / CLK_SECOND), 0),
      _tun_on_limit, t);
}

/* -- public --------------------------------------------------------------- */

char *
tun_proof (void *ctx, const char *secret, const char *listen)
{
  char *text = g_compute_hmac_for_string (
      G_CHECKSUM_SHA256, (const guchar *)secret, strlen (secret), listen, -1);
  char *copy = talloc_strdup (ctx, text);
  g_free (text);
  return copy;
}

static int
_tun_server_destroy (tun_t *s)
{
  TALLOC_FREE (s->fd);
  if (s->listener >= 0)
    close (s->listener);
  return 0;
}

tun_t *
tun_setup (void *ctx, const tun_desc_t *desc, st_t *st)
{
  tun_t *s = talloc_zero (ctx, tun_t);
  struct sockaddr_in in;
  int on = 1;
  s->desc = *desc;
  s->listener = -1;
  s->proof = tun_proof (s, desc->secret, desc->listen);
  talloc_set_destructor (s, _tun_server_destroy);
  if (!_tun_sockaddr (desc->listen, &in))
    {
      (void)st_set (st, ST_INVALID, "tunnel_listen '%s': expected IP:PORT",
                    desc->listen);
      talloc_free (s);
      return NULL;
    }
  s->listener
      = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  setsockopt (s->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (s->listener, (struct sockaddr *)&in, sizeof in) != 0
      || listen (s->listener, TUN_BACKLOG) != 0)
    {
      (void)st_set (st, ST_UNAVAILABLE, "cannot listen on %s: %s",
                    desc->listen, strerror (errno));
      talloc_free (s);
      return NULL;
    }
  s->fd = tevent_add_fd (desc->loop, s, s->listener, TEVENT_FD_READ,
                         _tun_on_accept, s);
  return s;
}

void
tun_shutdown (tun_t *t)
{
  talloc_free (t);
}

size_t
tun_open_count (const tun_t *t)
{
  return t->open;
}

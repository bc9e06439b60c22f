#include "wire.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <time.h>
#include <unistd.h>

#define BACKLOG 1024

int64_t
wire_now_ms (void)
{
  struct timespec ts;
  clock_gettime (CLOCK_REALTIME, &ts);
  return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static struct sockaddr_in
_wire_loopback (uint16_t port)
{
  return (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_port = htons (port),
                               .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
}

static void
_wire_fail (uint16_t port)
{
  fprintf (stderr, "cannot listen on 127.0.0.1:%u\n", port);
  exit (EXIT_FAILURE);
}

int
wire_listen (uint16_t port, uint16_t *bound)
{
  struct sockaddr_in in = _wire_loopback (port);
  socklen_t size = sizeof in;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    _wire_fail (port);
  (void)setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &(int){ 1 }, sizeof (int));
  if (bind (fd, (struct sockaddr *)&in, sizeof in) != 0
      || listen (fd, BACKLOG) != 0
      || getsockname (fd, (struct sockaddr *)&in, &size) != 0)
    _wire_fail (port);
  *bound = ntohs (in.sin_port);
  return fd;
}

/* Without it a second write would wait for the first one's receipt. */
static void
_wire_no_delay (int fd)
{
  (void)setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &(int){ 1 }, sizeof (int));
}

int
wire_connect (uint16_t port)
{
  struct sockaddr_in in = _wire_loopback (port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  _wire_no_delay (fd);
  /* A refusal shows at the first write. */
  (void)connect (fd, (struct sockaddr *)&in, sizeof in);
  return fd;
}

int
wire_accept (int fd)
{
  int accepted = accept4 (fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (accepted >= 0)
    _wire_no_delay (accepted);
  return accepted;
}

void
wire_close (int fd, bool reset)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };
  if (reset)
    (void)setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (fd);
}

struct tevent_timer *
wire_timer_add (struct tevent_context *loop, void *ctx, uint64_t ms,
                tevent_timer_handler_t fired, void *data)
{
  struct timeval at = tevent_timeval_current_ofs (
      (uint32_t)(ms / 1000), (uint32_t)(ms % 1000 * 1000));
  return tevent_add_timer (loop, ctx, at, fired, data);
}

char *
wire_header (void *ctx, const char *head, const char *name)
{
  char *line = talloc_asprintf (ctx, "\r\n%s:", name);
  const char *end = strstr (head, "\r\n\r\n");
  const char *found = strcasestr (head, line);
  const char *value = found == NULL ? NULL : found + strlen (line);
  talloc_free (line);
  if (value == NULL || (end != NULL && value > end))
    return NULL;
  value += strspn (value, " ");
  return talloc_strndup (ctx, value, strcspn (value, "\r"));
}

char *
wire_event (void *ctx, const char *id, unsigned n)
{
  return talloc_asprintf (ctx, "id: %u\ndata: %s e%u\n\n", n, id, n);
}

char *
wire_body (void *ctx, const char *id, unsigned events)
{
  char *body = talloc_strdup (ctx, "");
  for (unsigned n = 1; n <= events; n++)
    {
      char *event = wire_event (ctx, id, n);
      body = talloc_strdup_append_buffer (body, event);
      talloc_free (event);
    }
  return body;
}

char *
wire_signature (void *ctx, const char *id, const wire_signer_t *signer)
{
  return talloc_asprintf (ctx, "%s.%s.%s", id, signer->instance,
                          signer->leaving ? "leaving" : "ready");
}

bool
wire_signature_read (const char *signature, const char *id,
                     wire_signer_t *signer)
{
  gchar **words = g_strsplit (signature, ".", -1);
  bool own = g_strv_length (words) == 3 && strcmp (words[0], id) == 0
             && strlen (words[1]) < WIRE_NAME_SIZE;
  if (own)
    {
      g_strlcpy (signer->instance, words[1], WIRE_NAME_SIZE);
      signer->leaving = strcmp (words[2], "leaving") == 0;
    }
  g_strfreev (words);
  return own;
}

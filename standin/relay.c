/** @file
 * Stand-in for a link: passes the bytes of connections to its port on to
 * another port, both ways.  A link that is frozen (SIGSTOP) loses nothing and
 * delivers nothing.
 */
#include "standin.h"
#include "wire.h"

#include <argp.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <talloc.h>

typedef struct
{
  uint16_t port;
  uint16_t to;
  int fd;
  struct tevent_context *loop;
} _relay_t;

typedef struct _side _side_t;

/* One end of a connection. */
struct _side
{
  int fd;
  _side_t *other;
  struct tevent_fd *event;
  GString *out; /**< for this end, not sent yet */
};

/* Both ends. */
typedef struct
{
  _side_t side[2];
} _link_t;

static int
_link_free (_link_t *l)
{
  for (int i = 0; i < 2; i++)
    {
      TALLOC_FREE (l->side[i].event);
      wire_close (l->side[i].fd, false);
      (void)g_string_free (l->side[i].out, TRUE);
    }
  return 0;
}

/* Sends what is queued; false: the connection is broken. */
static bool
_side_send (_side_t *s)
{
  ssize_t n = s->out->len == 0
                  ? 0
                  : send (s->fd, s->out->str, s->out->len, MSG_NOSIGNAL);
  if (n < 0 && errno != EAGAIN)
    return false;
  if (n > 0)
    g_string_erase (s->out, 0, n);
  tevent_fd_set_flags (
      s->event, TEVENT_FD_READ | (s->out->len > 0 ? TEVENT_FD_WRITE : 0));
  return true;
}

/* Reads into the other end's queue; false: the connection has ended. */
static bool
_side_read (_side_t *s)
{
  char bytes[16384];
  ssize_t n = recv (s->fd, bytes, sizeof bytes, MSG_DONTWAIT);
  if (n < 0 && errno == EAGAIN)
    return true;
  if (n <= 0)
    return false;
  g_string_append_len (s->other->out, bytes, n);
  return s->other->out->len > (gsize)n || _side_send (s->other);
}

static void
_side_ready (struct tevent_context *loop, struct tevent_fd *event,
             uint16_t flags, void *data)
{
  (void)loop;
  _side_t *s = data;
  _link_t *l = talloc_get_type_abort (talloc_parent (event), _link_t);
  bool open = true;
  if (flags & TEVENT_FD_WRITE)
    open = _side_send (s);
  if (open && (flags & TEVENT_FD_READ))
    open = _side_read (s);
  if (!open)
    talloc_free (l);
}

static void
_on_connection (struct tevent_context *loop, struct tevent_fd *event,
                uint16_t flags, void *data)
{
  (void)event;
  (void)flags;
  const _relay_t *r = data;
  int fd = wire_accept (r->fd);
  if (fd < 0)
    return;
  _link_t *l = talloc_zero (loop, _link_t);
  l->side[0].fd = fd;
  l->side[1].fd = wire_connect (r->to);
  for (int i = 0; i < 2; i++)
    {
      l->side[i].other = &l->side[1 - i];
      l->side[i].out = g_string_new (NULL);
      l->side[i].event = tevent_add_fd (loop, l, l->side[i].fd, TEVENT_FD_READ,
                                        _side_ready, &l->side[i]);
    }
  talloc_set_destructor (l, _link_free);
}

static const struct argp_option options[] = {
  { "port", 'p', "P", 0, "port on 127.0.0.1 (0: any)", 0 },
  { "to", 't', "P", 0, "port on 127.0.0.1 to which bytes go", 0 },
  { 0 },
};

static error_t
_relay_option (int key, char *arg, struct argp_state *state)
{
  _relay_t *r = state->input;
  switch (key)
    {
    case 'p':
      r->port = (uint16_t)strtoul (arg, NULL, 10);
      return 0;
    case 't':
      r->to = (uint16_t)strtoul (arg, NULL, 10);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
relay_main (int argc, char **argv)
{
  static const struct argp argp
      = { options, _relay_option, NULL, "Stand-in for a link.",
          NULL,    NULL,          NULL };
  _relay_t r = { 0 };
  argp_parse (&argp, argc, argv, 0, NULL, &r);
  signal (SIGPIPE, SIG_IGN);
  r.loop = tevent_context_init (NULL);
  r.fd = wire_listen (r.port, &r.port);
  tevent_add_fd (r.loop, r.loop, r.fd, TEVENT_FD_READ, _on_connection, &r);
  printf ("listening on 127.0.0.1:%u\n", r.port);
  fflush (stdout);
  return tevent_loop_wait (r.loop) == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

#include "io/hcl_socket.h"

#include <glib.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

/* A socket that is polled. */
typedef struct
{
  hcl_sockets_t *table;
  struct tevent_fd *fd;
  int sock;
} _hcl_polled_t;

struct hcl_sockets
{
  hcl_sockets_desc_t desc;
  GHashTable *polled; /**< descriptor -> _hcl_polled_t */
  GArray *idle;       /**< struct pollfd */
};

static void
_hcl_polled_free (gpointer data)
{
  talloc_free (data);
}

static int
_hcl_sockets_destroy (hcl_sockets_t *s)
{
  g_hash_table_destroy (s->polled);
  (void)g_array_free (s->idle, TRUE);
  return 0;
}

hcl_sockets_t *
hcl_sockets_setup (void *ctx, const hcl_sockets_desc_t *desc)
{
  hcl_sockets_t *s = talloc_zero (ctx, hcl_sockets_t);
  s->desc = *desc;
  s->polled = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL,
                                     _hcl_polled_free);
  s->idle = g_array_new (FALSE, FALSE, sizeof (struct pollfd));
  talloc_set_destructor (s, _hcl_sockets_destroy);
  return s;
}

void
hcl_sockets_shutdown (hcl_sockets_t *s)
{
  talloc_free (s);
}

/* -- polled sockets ------------------------------------------------------- */

static void
_hcl_on_ready (struct tevent_context *loop, struct tevent_fd *fd,
               uint16_t flags, void *data)
{
  (void)loop;
  (void)fd;
  const _hcl_polled_t *p = data;
  const hcl_sockets_desc_t *desc = &p->table->desc;
  desc->ready (desc->data, p->sock, flags);
}

static _hcl_polled_t *
_hcl_polled_find (const hcl_sockets_t *s, int sock)
{
  return g_hash_table_lookup (s->polled, GINT_TO_POINTER (sock));
}

static _hcl_polled_t *
_hcl_polled_add (hcl_sockets_t *s, int sock)
{
  _hcl_polled_t *p = talloc_zero (s, _hcl_polled_t);
  p->table = s;
  p->sock = sock;
  p->fd = tevent_add_fd (s->desc.loop, p, sock, 0, _hcl_on_ready, p);
  g_hash_table_insert (s->polled, GINT_TO_POINTER (sock), p);
  return p;
}

/* -- idle sockets --------------------------------------------------------- */

static void
_hcl_idle_remove (hcl_sockets_t *s, int sock)
{
  for (guint i = 0; i < s->idle->len; i++)
    if (g_array_index (s->idle, struct pollfd, i).fd == sock)
      {
        (void)g_array_remove_index_fast (s->idle, i);
        return;
      }
}

bool
hcl_socket_has_bytes (int sock)
{
  int bytes = 0;
  return ioctl (sock, FIONREAD, &bytes) == 0 && bytes > 0;
}

void
hcl_socket_idle (hcl_sockets_t *s, int sock)
{
  const struct pollfd p = { .fd = sock, .events = POLLIN };
  if (_hcl_polled_find (s, sock) != NULL)
    return;
  _hcl_idle_remove (s, sock);
  (void)g_array_append_val (s->idle, p);
}

/* Shuts SOCK down, so that libcurl does not reuse its connection. */
static void
_hcl_idle_shutdown (int sock)
{
  if (hcl_socket_has_bytes (sock))
    g_info ("http connection-dropped: why=bytes-while-idle");
  (void)shutdown (sock, SHUT_RDWR);
}

void
hcl_sockets_check (hcl_sockets_t *s)
{
  struct pollfd *all = (struct pollfd *)(void *)s->idle->data;
  if (poll (all, s->idle->len, 0) <= 0)
    return;
  for (guint i = s->idle->len; i-- > 0;)
    {
      if (all[i].revents == 0)
        continue;
      _hcl_idle_shutdown (all[i].fd);
      (void)g_array_remove_index_fast (s->idle, i);
    }
}

/* -- both ----------------------------------------------------------------- */

void
hcl_socket_poll (hcl_sockets_t *s, int sock, uint16_t flags)
{
  _hcl_polled_t *p = _hcl_polled_find (s, sock);
  if (p == NULL)
    p = _hcl_polled_add (s, sock);
  _hcl_idle_remove (s, sock);
  tevent_fd_set_flags (p->fd, flags);
}

void
hcl_socket_unpoll (hcl_sockets_t *s, int sock)
{
  g_hash_table_remove (s->polled, GINT_TO_POINTER (sock));
}

int
hcl_socket_close (hcl_sockets_t *s, int sock)
{
  hcl_socket_unpoll (s, sock);
  _hcl_idle_remove (s, sock);
  return close (sock);
}

#include "io/hcl_socket.h"

#include <glib.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

typedef struct
{
  hcl_sockets_t *table;
  struct tevent_fd *fd;
  int sock;
  bool idle;
} _hcl_socket_t;

struct hcl_sockets
{
  hcl_sockets_desc_t desc;
  GHashTable *sockets; /**< descriptor -> _hcl_socket_t */
};

static void
_hcl_socket_free (gpointer data)
{
  talloc_free (data);
}

static int
_hcl_sockets_destroy (hcl_sockets_t *s)
{
  g_hash_table_destroy (s->sockets);
  return 0;
}

hcl_sockets_t *
hcl_sockets_setup (void *ctx, const hcl_sockets_desc_t *desc)
{
  hcl_sockets_t *s = talloc_zero (ctx, hcl_sockets_t);
  s->desc = *desc;
  s->sockets = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL,
                                      _hcl_socket_free);
  talloc_set_destructor (s, _hcl_sockets_destroy);
  return s;
}

void
hcl_sockets_shutdown (hcl_sockets_t *s)
{
  talloc_free (s);
}

static void
_hcl_on_socket_ready (struct tevent_context *loop, struct tevent_fd *fd,
                      uint16_t flags, void *data)
{
  (void)loop;
  _hcl_socket_t *socket = data;
  const hcl_sockets_desc_t *desc = &socket->table->desc;
  if (!socket->idle)
    {
      desc->ready (desc->data, socket->sock, flags);
      return;
    }
  (void)shutdown (socket->sock, SHUT_RDWR);
  tevent_fd_set_flags (fd, 0);
}

static _hcl_socket_t *
_hcl_socket_find (const hcl_sockets_t *s, int sock)
{
  return g_hash_table_lookup (s->sockets, GINT_TO_POINTER (sock));
}

static _hcl_socket_t *
_hcl_socket_add (hcl_sockets_t *s, int sock)
{
  _hcl_socket_t *socket = talloc_zero (s, _hcl_socket_t);
  socket->table = s;
  socket->sock = sock;
  socket->fd = tevent_add_fd (s->desc.loop, socket, sock, 0,
                              _hcl_on_socket_ready, socket);
  g_hash_table_insert (s->sockets, GINT_TO_POINTER (sock), socket);
  return socket;
}

void
hcl_socket_poll (hcl_sockets_t *s, int sock, uint16_t flags)
{
  _hcl_socket_t *socket = _hcl_socket_find (s, sock);
  if (socket == NULL)
    socket = _hcl_socket_add (s, sock);
  socket->idle = false;
  tevent_fd_set_flags (socket->fd, flags);
}

void
hcl_socket_unpoll (hcl_sockets_t *s, int sock, bool idle)
{
  _hcl_socket_t *socket = _hcl_socket_find (s, sock);
  if (socket == NULL)
    return;
  socket->idle = idle;
  tevent_fd_set_flags (socket->fd, idle ? TEVENT_FD_READ : 0);
}

int
hcl_socket_close (hcl_sockets_t *s, int sock)
{
  /* Before the close, since the descriptor may be that of another socket right
   * after it. */
  g_hash_table_remove (s->sockets, GINT_TO_POINTER (sock));
  return close (sock);
}

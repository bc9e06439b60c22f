#include "io/lnk.h"

#include "core/mpk.h"
#include "io/frm.h"
#include "io/set.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/random.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#define LNK_QUEUE_MAX_DEFAULT ((size_t)8 << 20)
#define LNK_REDIAL_MS 300 /**< delay before the next attempt to connect */
#define LNK_READ_SIZE 65536
#define LNK_NONCE_SIZE 16
#define LNK_BACKLOG 64
/** Largest frame of the handshake, in bytes: names and a proof. */
#define LNK_HANDSHAKE_FRAME_MAX ((size_t)1024)

/* Kinds of the frames that the links exchange themselves.  The kinds of the
 * messages from core start at MSG_CONFIG_FIRST. */
enum
{
  _LNK_HELLO = 1, /**< protocol version, vm, nonce */
  _LNK_PROOF,     /**< see _lnk_proof */
  _LNK_HEARTBEAT,
};

typedef enum
{
  _LNK_DIALING,
  _LNK_HANDSHAKE,
  _LNK_OPEN,
} _lnk_state_t;

typedef struct
{
  lnk_t *links;
  _lnk_state_t state;
  bool dialed; /**< this side has opened the connection */
  char *vm;    /**< the peer's name; NULL before its _LNK_HELLO */
  int sock;
  struct tevent_fd *fd;
  struct tevent_timer *timer;
  GByteArray *in;
  GByteArray *out;
  size_t out_offset; /**< bytes of out already sent */
  unsigned char nonce[LNK_NONCE_SIZE];
  unsigned char peer_nonce[LNK_NONCE_SIZE];
  clk_ms_t silent_ms; /**< time since the last byte from the peer, or, until
                           it is open, since the last step of the handshake */
} _lnk_connection_t;

/* A peer added with lnk_peer_add. */
typedef struct
{
  lnk_t *links;
  char *vm;
  char *address;
  struct tevent_timer *redial_timer;
  _lnk_connection_t *attempt; /**< this side's connection; NULL: none */
} _lnk_peer_t;

struct lnk
{
  lnk_desc_t desc;
  int listener;
  struct tevent_fd *fd;
  GHashTable *open_links; /**< vm -> _lnk_connection_t */
  GHashTable *peers;      /**< vm -> _lnk_peer_t */
  uint64_t dropped;
};

static void _lnk_dial (_lnk_peer_t *p);

/* -- connections ---------------------------------------------------------- */

static struct timeval
_lnk_time_after (clk_ms_t ms)
{
  return tevent_timeval_current_ofs ((uint32_t)(ms / 1000),
                                     (uint32_t)(ms % 1000) * 1000);
}

static void
_lnk_emit (lnk_t *l, ev_kind_t kind, const char *vm, const msg_t *msg)
{
  ev_t ev = { .kind = kind, .peer = { .vm = vm } };
  if (msg != NULL)
    ev.peer.msg = *msg;
  l->desc.handler (l->desc.data, &ev);
}

static int
_lnk_connection_destroy (_lnk_connection_t *c)
{
  TALLOC_FREE (c->fd);
  close (c->sock);
  g_byte_array_unref (c->in);
  g_byte_array_unref (c->out);
  return 0;
}

static void
_lnk_on_redial (struct tevent_context *loop, struct tevent_timer *timer,
                struct timeval now, void *data)
{
  (void)loop;
  (void)timer;
  (void)now;
  _lnk_peer_t *p = data;
  p->redial_timer = NULL;
  _lnk_dial (p);
}

static void
_lnk_redial_schedule (_lnk_peer_t *p)
{
  if (p->redial_timer == NULL)
    p->redial_timer = tevent_add_timer (p->links->desc.loop, p,
                                        _lnk_time_after (LNK_REDIAL_MS),
                                        _lnk_on_redial, p);
}

/* Frees C and schedules a connection to each peer that now has none. */
static void
_lnk_connection_free (_lnk_connection_t *c)
{
  lnk_t *l = c->links;
  GHashTableIter iter;
  void *value = NULL;
  g_hash_table_iter_init (&iter, l->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      _lnk_peer_t *p = value;
      if (p->attempt == c)
        p->attempt = NULL;
      if (p->attempt == NULL
          && g_hash_table_lookup (l->open_links, p->vm) == NULL)
        _lnk_redial_schedule (p);
    }
  talloc_free (c);
}

static void
_lnk_connection_close (_lnk_connection_t *c)
{
  lnk_t *l = c->links;
  if (c->vm != NULL && g_hash_table_lookup (l->open_links, c->vm) == c)
    {
      g_hash_table_remove (l->open_links, c->vm);
      _lnk_emit (l, EV_PEER_DOWN, c->vm, NULL);
    }
  _lnk_connection_free (c);
}

/* -- sending -------------------------------------------------------------- */

/* Sends the queued bytes; returns false when the connection is broken. */
static bool
_lnk_flush (_lnk_connection_t *c)
{
  while (c->out_offset < c->out->len)
    {
      ssize_t n = send (c->sock, c->out->data + c->out_offset,
                        c->out->len - c->out_offset, MSG_NOSIGNAL);
      if (n < 0 && (errno == EAGAIN || errno == EINTR))
        {
          TEVENT_FD_WRITEABLE (c->fd);
          return true;
        }
      if (n < 0)
        return false;
      c->out_offset += (size_t)n;
    }
  g_byte_array_set_size (c->out, 0);
  c->out_offset = 0;
  TEVENT_FD_NOT_WRITEABLE (c->fd);
  return true;
}

/* Queues MSG as a frame, or drops it.  _lnk_on_fd sends the frame and detects
 * a broken connection. */
static void
_lnk_queue (_lnk_connection_t *c, const msg_t *msg)
{
  buf_t frame = frm_encode (c, msg);
  if (frame.p == NULL
      || c->out->len - c->out_offset + frame.n > c->links->desc.queue_max)
    c->links->dropped++;
  else
    {
      g_byte_array_append (c->out, (const guint8 *)frame.p, (guint)frame.n);
      TEVENT_FD_WRITEABLE (c->fd);
    }
  talloc_free ((void *)(uintptr_t)frame.p);
}

/* -- handshake ------------------------------------------------------------ */

static void
_lnk_send_hello (_lnk_connection_t *c)
{
  mpk_writer_t w;
  mpk_writer_init (&w, c);
  mpk_put_uint (&w, LNK_VERSION);
  mpk_put_str (&w, buf_str (c->links->desc.vm));
  mpk_put_str (&w, (buf_t){ .p = (char *)c->nonce, .n = LNK_NONCE_SIZE });
  buf_t body = mpk_done (&w);
  _lnk_queue (c, &(msg_t){ .kind = _LNK_HELLO, .body = body });
  talloc_free ((void *)(uintptr_t)body.p);
}

/* Returns the HMAC by which VM, whose nonce is NONCE, proves to the side with
 * nonce OTHER that VM knows the secret; the caller frees the HMAC with
 * g_free. */
static char *
_lnk_proof (const lnk_t *l, const char *vm, const unsigned char *nonce,
            const unsigned char *other)
{
  GHmac *hmac = g_hmac_new (G_CHECKSUM_SHA256, (const guchar *)l->desc.secret,
                            strlen (l->desc.secret));
  g_hmac_update (hmac, nonce, LNK_NONCE_SIZE);
  g_hmac_update (hmac, other, LNK_NONCE_SIZE);
  g_hmac_update (hmac, (const guchar *)vm, (gssize)strlen (vm));
  char *hex = g_strdup (g_hmac_get_string (hmac));
  g_hmac_unref (hmac);
  return hex;
}

static bool
_lnk_hello_received (_lnk_connection_t *c, const msg_t *msg)
{
  if (c->state != _LNK_HANDSHAKE || msg->kind != _LNK_HELLO || c->vm != NULL)
    return false;
  void *ctx = talloc_new (c);
  mpk_reader_t r = mpk_reader (ctx, msg->body);
  uint64_t version = mpk_get_uint (&r);
  buf_t vm = mpk_get_str (&r);
  buf_t nonce = mpk_get_str (&r);
  bool ok = mpk_end (&r) && version == LNK_VERSION && vm.n > 0
            && nonce.n == LNK_NONCE_SIZE && !buf_is (vm, c->links->desc.vm);
  if (ok)
    {
      c->vm = buf_to_str (c, vm);
      c->silent_ms = 0;
      memcpy (c->peer_nonce, nonce.p, LNK_NONCE_SIZE);
      char *proof
          = _lnk_proof (c->links, c->links->desc.vm, c->nonce, c->peer_nonce);
      _lnk_queue (c, &(msg_t){ .kind = _LNK_PROOF, .body = buf_str (proof) });
      g_free (proof);
    }
  else
    g_warning ("rejected hello with protocol version %u from vm '%s'; closing "
               "the connection",
               (unsigned)version, vm.p);
  talloc_free (ctx);
  return ok;
}

/* Compares the peer's proof in constant time. */
static bool
_lnk_proof_matches (const _lnk_connection_t *c, buf_t given)
{
  char *expected = _lnk_proof (c->links, c->vm, c->peer_nonce, c->nonce);
  size_t n = strlen (expected);
  unsigned char differs = given.n == n ? 0 : 1;
  for (size_t i = 0; i < n && i < given.n; i++)
    differs |= (unsigned char)(expected[i] ^ given.p[i]);
  g_free (expected);
  return differs == 0;
}

/* Returns whether connection C replaces the open connection OTHER to the same
 * peer.  When both sides have dialed, both keep the connection that the VM
 * with the smaller name has dialed.  Of two connections dialed by the same
 * side, the newer one stays. */
static bool
_lnk_is_preferred (const _lnk_connection_t *c, const _lnk_connection_t *other)
{
  if (c->dialed == other->dialed)
    return true;
  bool smaller = strcmp (c->links->desc.vm, c->vm) < 0;
  return c->dialed == smaller;
}

static bool
_lnk_proof_received (_lnk_connection_t *c, const msg_t *msg)
{
  lnk_t *l = c->links;
  if (c->vm == NULL || msg->kind != _LNK_PROOF
      || !_lnk_proof_matches (c, msg->body))
    {
      g_warning ("peer '%s' did not prove that it knows the shared secret; "
                 "closing the connection",
                 c->vm ? c->vm : "unidentified");
      return false;
    }
  _lnk_connection_t *other = g_hash_table_lookup (l->open_links, c->vm);
  if (other != NULL && !_lnk_is_preferred (c, other))
    return false;
  c->state = _LNK_OPEN;
  c->silent_ms = 0;
  g_hash_table_replace (l->open_links, c->vm, c);
  if (other != NULL)
    _lnk_connection_free (other);
  else
    _lnk_emit (l, EV_PEER_UP, c->vm, NULL);
  return true;
}

/* -- receiving ------------------------------------------------------------ */

/* Handles one frame; returns false to close the connection. */
static bool
_lnk_frame_received (_lnk_connection_t *c, const msg_t *msg)
{
  if (c->state == _LNK_HANDSHAKE)
    return c->vm == NULL ? _lnk_hello_received (c, msg)
                         : _lnk_proof_received (c, msg);
  if (msg->kind >= MSG_CONFIG_FIRST)
    _lnk_emit (c->links, EV_PEER_MSG, c->vm, msg);
  return msg->kind >= MSG_CONFIG_FIRST || msg->kind == _LNK_HEARTBEAT;
}

/* Decodes the first frame of BYTES.  A peer that has not proved that it knows
 * the secret may send small ones only. */
static st_code_t
_lnk_frame_decode (const _lnk_connection_t *c, void *ctx, buf_t bytes,
                   msg_t *msg, size_t *used)
{
  if (c->state != _LNK_OPEN && frm_is_longer (bytes, LNK_HANDSHAKE_FRAME_MAX))
    return ST_TOO_LARGE;
  return frm_decode (ctx, bytes, msg, used);
}

static bool
_lnk_frames_decode (_lnk_connection_t *c)
{
  size_t at = 0;
  bool ok = true;
  while (ok)
    {
      void *ctx = talloc_new (c);
      msg_t msg = { 0 };
      size_t used = 0;
      buf_t bytes
          = { .p = (const char *)c->in->data + at, .n = c->in->len - at };
      st_code_t code = _lnk_frame_decode (c, ctx, bytes, &msg, &used);
      if (code == ST_OK)
        ok = _lnk_frame_received (c, &msg);
      talloc_free (ctx);
      if (code == ST_UNAVAILABLE)
        break;
      if (code != ST_OK)
        {
          g_warning ("rejected frame from peer '%s' (%s); closing the "
                     "connection",
                     c->vm ? c->vm : "unidentified", st_code_name (code));
          ok = false;
        }
      at += used;
    }
  if (ok && at > 0)
    g_byte_array_remove_range (c->in, 0, (guint)at);
  return ok;
}

/* Reads the available bytes; returns false when the peer has closed or
 * violated the protocol. */
static bool
_lnk_read (_lnk_connection_t *c)
{
  unsigned char block[LNK_READ_SIZE];
  ssize_t n = recv (c->sock, block, sizeof block, 0);
  if (n < 0)
    return errno == EAGAIN || errno == EINTR;
  if (n == 0)
    return false;
  if (c->state == _LNK_OPEN)
    c->silent_ms = 0;
  g_byte_array_append (c->in, block, (guint)n);
  return _lnk_frames_decode (c);
}

/* Handles the end of connect; returns false when it has failed. */
static bool
_lnk_connected (_lnk_connection_t *c)
{
  int error = 0;
  socklen_t size = sizeof error;
  getsockopt (c->sock, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0)
    return false;
  c->state = _LNK_HANDSHAKE;
  _lnk_send_hello (c);
  return true;
}

static void
_lnk_on_fd (struct tevent_context *loop, struct tevent_fd *fd, uint16_t flags,
            void *data)
{
  (void)loop;
  (void)fd;
  _lnk_connection_t *c = data;
  bool ok = true;
  if (c->state == _LNK_DIALING)
    ok = _lnk_connected (c);
  if (ok && (flags & TEVENT_FD_READ) != 0)
    ok = _lnk_read (c);
  if (ok && (flags & TEVENT_FD_WRITE) != 0)
    ok = _lnk_flush (c);
  if (!ok)
    _lnk_connection_close (c);
}

static void
_lnk_on_heartbeat (struct tevent_context *loop, struct tevent_timer *timer,
                   struct timeval now, void *data)
{
  (void)loop;
  (void)timer;
  (void)now;
  _lnk_connection_t *c = data;
  c->silent_ms += LNK_HEARTBEAT_MS;
  if (c->silent_ms >= LNK_SILENCE_TIMEOUT_MS)
    {
      _lnk_connection_close (c);
      return;
    }
  if (c->state == _LNK_OPEN)
    _lnk_queue (c, &(msg_t){ .kind = _LNK_HEARTBEAT });
  c->timer = tevent_add_timer (c->links->desc.loop, c,
                               _lnk_time_after (LNK_HEARTBEAT_MS),
                               _lnk_on_heartbeat, c);
}

static _lnk_connection_t *
_lnk_connection_new (lnk_t *l, int sock, bool dialed)
{
  _lnk_connection_t *c = talloc_zero (l, _lnk_connection_t);
  int on = 1;
  c->links = l;
  c->sock = sock;
  c->dialed = dialed;
  c->state = dialed ? _LNK_DIALING : _LNK_HANDSHAKE;
  c->in = g_byte_array_new ();
  c->out = g_byte_array_new ();
  setsockopt (sock, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (getrandom (c->nonce, sizeof c->nonce, 0) != sizeof c->nonce)
    g_error ("cannot get random numbers from the kernel");
  c->fd = tevent_add_fd (l->desc.loop, c, sock,
                         TEVENT_FD_READ | (dialed ? TEVENT_FD_WRITE : 0),
                         _lnk_on_fd, c);
  c->timer
      = tevent_add_timer (l->desc.loop, c, _lnk_time_after (LNK_HEARTBEAT_MS),
                          _lnk_on_heartbeat, c);
  talloc_set_destructor (c, _lnk_connection_destroy);
  return c;
}

/* -- dialing and accepting ------------------------------------------------ */

static bool
_lnk_sockaddr (const char *address, struct sockaddr_in *in)
{
  char ip[64];
  uint16_t port = 0;
  if (!set_address_split (address, ip, &port))
    return false;
  *in = (struct sockaddr_in){ .sin_family = AF_INET,
                              .sin_port = htons (port) };
  return inet_pton (AF_INET, ip, &in->sin_addr) == 1;
}

static void
_lnk_dial (_lnk_peer_t *p)
{
  lnk_t *l = p->links;
  struct sockaddr_in in;
  if (p->attempt != NULL || g_hash_table_lookup (l->open_links, p->vm) != NULL)
    return;
  if (!_lnk_sockaddr (p->address, &in))
    {
      g_warning ("peer %s: address '%s' is not IP:PORT; not connecting", p->vm,
                 p->address);
      return;
    }
  int sock = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (sock < 0)
    {
      _lnk_redial_schedule (p);
      return;
    }
  if (connect (sock, (struct sockaddr *)&in, sizeof in) < 0
      && errno != EINPROGRESS)
    {
      close (sock);
      _lnk_redial_schedule (p);
      return;
    }
  p->attempt = _lnk_connection_new (l, sock, true);
}

static void
_lnk_on_accept (struct tevent_context *loop, struct tevent_fd *fd,
                uint16_t flags, void *data)
{
  (void)loop;
  (void)fd;
  (void)flags;
  lnk_t *l = data;
  int sock = accept4 (l->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (sock < 0)
    return;
  _lnk_connection_t *c = _lnk_connection_new (l, sock, false);
  _lnk_send_hello (c);
}

static bool
_lnk_listen (lnk_t *l, st_t *st)
{
  struct sockaddr_in in;
  int on = 1;
  if (!_lnk_sockaddr (l->desc.listen, &in))
    {
      (void)st_set (st, ST_INVALID, "peer_listen '%s': expected IP:PORT",
                    l->desc.listen);
      return false;
    }
  l->listener
      = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  setsockopt (l->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (l->listener, (struct sockaddr *)&in, sizeof in) == 0
      && listen (l->listener, LNK_BACKLOG) == 0)
    return true;
  (void)st_set (st, ST_UNAVAILABLE, "cannot listen on %s: %s", l->desc.listen,
                strerror (errno));
  close (l->listener);
  return false;
}

/* -- public --------------------------------------------------------------- */

static int
_lnk_destroy (lnk_t *l)
{
  TALLOC_FREE (l->fd);
  close (l->listener);
  g_hash_table_destroy (l->open_links);
  g_hash_table_destroy (l->peers);
  return 0;
}

lnk_t *
lnk_setup (void *ctx, const lnk_desc_t *desc, st_t *st)
{
  lnk_t *l = talloc_zero (ctx, lnk_t);
  l->desc = *desc;
  if (l->desc.queue_max == 0)
    l->desc.queue_max = LNK_QUEUE_MAX_DEFAULT;
  if (!_lnk_listen (l, st))
    {
      talloc_free (l);
      return NULL;
    }
  l->open_links = g_hash_table_new (g_str_hash, g_str_equal);
  l->peers = g_hash_table_new (g_str_hash, g_str_equal);
  l->fd = tevent_add_fd (desc->loop, l, l->listener, TEVENT_FD_READ,
                         _lnk_on_accept, l);
  talloc_set_destructor (l, _lnk_destroy);
  return l;
}

void
lnk_shutdown (lnk_t *l)
{
  talloc_free (l);
}

void
lnk_peer_add (lnk_t *l, const char *vm, const char *address)
{
  _lnk_peer_t *p = g_hash_table_lookup (l->peers, vm);
  if (p == NULL)
    {
      p = talloc_zero (l, _lnk_peer_t);
      p->links = l;
      p->vm = talloc_strdup (p, vm);
      g_hash_table_insert (l->peers, p->vm, p);
    }
  talloc_free (p->address);
  p->address = talloc_strdup (p, address);
  _lnk_dial (p);
}

void
lnk_peer_remove (lnk_t *l, const char *vm)
{
  _lnk_peer_t *p = g_hash_table_lookup (l->peers, vm);
  if (p != NULL)
    {
      g_hash_table_remove (l->peers, vm);
      if (p->attempt != NULL && p->attempt->state != _LNK_OPEN)
        _lnk_connection_close (p->attempt);
      talloc_free (p);
    }
  _lnk_connection_t *c = g_hash_table_lookup (l->open_links, vm);
  if (c != NULL)
    _lnk_connection_close (c);
}

void
lnk_send (lnk_t *l, const char *vm, const msg_t *msg)
{
  _lnk_connection_t *c = g_hash_table_lookup (l->open_links, vm);
  if (c == NULL)
    l->dropped++;
  else
    _lnk_queue (c, msg);
}

uint64_t
lnk_dropped_count (const lnk_t *l)
{
  return l->dropped;
}

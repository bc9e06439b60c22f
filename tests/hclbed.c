#include "hclbed.h"

#include "io/tun.h"
#include "platform/pfm.h"
#include "sock.h"

#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#define HCLBED_SECRET "a secret of the fleet"
#define HCLBED_WAIT_US ((gint64)4 * G_USEC_PER_SEC)

static void
_hclbed_on_head (hclbed_t *b, const hcl_event_t *e)
{
  const char *signature = http_header_find (e->headers, "Response-Signature");
  b->status = e->status;
  b->close_delimited = e->close_delimited;
  b->signature = signature == NULL ? NULL : talloc_strdup (b, signature);
}

static void
_hclbed_on_response (void *data, const hcl_event_t *e)
{
  hclbed_t *b = data;
  if (e->kind == EV_UPSTREAM_HEAD)
    _hclbed_on_head (b, e);
  if (e->kind == EV_UPSTREAM_DATA && b->body->len < HCLBED_BODY_MAX)
    g_string_append_len (b->body, e->data.p, (gssize)e->data.n);
  b->ended += e->kind == EV_UPSTREAM_END;
  b->failed += e->kind == EV_UPSTREAM_FAIL;
  if (e->kind != EV_UPSTREAM_FAIL)
    return;
  b->malformed = e->malformed;
  b->closed = e->closed;
  b->fail = e->fail;
  b->tunnel = e->tunnel;
}

static int
_hclbed_admit (void *data, const char *address, size_t open)
{
  (void)data;
  (void)address;
  (void)open;
  return TUN_OPEN;
}

hclbed_t *
hclbed_open (void)
{
  uint16_t port = 0;
  st_t st = { 0 };
  hclbed_t *b = talloc_zero (NULL, hclbed_t);
  b->loop = tevent_context_init (b);
  b->body = g_string_new (NULL);
  b->listener = sock_listen (&port);
  (void)snprintf (b->address, sizeof b->address, "127.0.0.1:%u", port);
  (void)snprintf (b->listen, sizeof b->listen, "127.0.0.1:%u",
                  sock_free_port ());
  b->client
      = hcl_setup (b->loop, &(hcl_desc_t){ .loop = b->loop,
                                           .handler = _hclbed_on_response,
                                           .data = b });
  b->tunnels = tun_setup (b->loop,
                          &(tun_desc_t){ .loop = b->loop,
                                         .listen = b->listen,
                                         .secret = HCLBED_SECRET,
                                         .admit = _hclbed_admit,
                                         .data = b },
                          &st);
  return b;
}

void
hclbed_close (hclbed_t *b)
{
  close (b->listener);
  TALLOC_FREE (b->client);
  (void)g_string_free (b->body, TRUE);
  talloc_free (b);
}

static void
_hclbed_on_turn (struct tevent_context *loop, struct tevent_timer *timer,
                 struct timeval now, void *data)
{
  (void)loop;
  (void)timer;
  (void)now;
  struct tevent_timer **limit = data;
  *limit = NULL;
}

void
hclbed_turn (hclbed_t *b)
{
  struct tevent_timer *limit = NULL;
  limit = tevent_add_timer (b->loop, b->loop,
                            tevent_timeval_current_ofs (0, 2000),
                            _hclbed_on_turn, &limit);
  (void)tevent_loop_once (b->loop);
  talloc_free (limit);
}

void
hclbed_await (hclbed_t *b, unsigned count, bool body)
{
  gint64 until = g_get_monotonic_time () + HCLBED_WAIT_US;
  while (b->ended + b->failed < count && !(body && b->body->len > 0)
         && g_get_monotonic_time () < until)
    hclbed_turn (b);
}

int
hclbed_accepted (hclbed_t *b)
{
  struct timeval short_wait = { .tv_usec = 1000 };
  gint64 until = g_get_monotonic_time () + HCLBED_WAIT_US;
  int fd = -1;
  setsockopt (b->listener, SOL_SOCKET, SO_RCVTIMEO, &short_wait,
              sizeof short_wait);
  while (fd < 0 && g_get_monotonic_time () < until)
    {
      hclbed_turn (b);
      fd = accept (b->listener, NULL, NULL);
    }
  return fd;
}

void
hclbed_call (hclbed_t *b, uint64_t id, bool tunnel, buf_t body)
{
  const http_header_t header = { "Request-Id", "r-1" };
  b->status = -1;
  b->ended = b->failed = id == 1 ? 0 : b->failed;
  hcl_call (b->client, &(hcl_call_t){ .id = id,
                                      .address = b->address,
                                      .method = "POST",
                                      .path = "/",
                                      .headers = { &header, 1 },
                                      .body = body,
                                      .first_byte_ms = 3000,
                                      .stall_ms = 2000,
                                      .total_ms = 3500,
                                      .body_max = HCLBED_BODY_MAX,
                                      .fresh_connection = true,
                                      .once_headers = pfm_once_headers,
                                      .known_headers = pfm_known_headers,
                                      .tunnel = tunnel ? b->listen : NULL,
                                      .tunnel_proof = tun_proof (
                                          b, HCLBED_SECRET, b->listen) });
}

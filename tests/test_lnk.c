/** @file
 * Frames and links between VMs over real sockets: authentication, malformed,
 * incomplete and oversize frames, a peer that sends nothing more.
 */
#include "io/frm.h"
#include "io/lnk.h"
#include "sock.h"
#include "tst.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#define LOOPS_MAX 20000 /* turns of the event loop in a wait */

/* One end of a link and the events that its handler has received. */
typedef struct
{
  lnk_t *links;
  int up;
  int down;
  char got[64];
} endpoint_t;

static void
on_event (void *data, const ev_t *ev)
{
  endpoint_t *e = data;
  if (ev->kind == EV_PEER_UP)
    e->up++;
  if (ev->kind == EV_PEER_DOWN)
    e->down++;
  if (ev->kind == EV_PEER_MSG)
    (void)snprintf (e->got, sizeof e->got, "%.*s", (int)ev->peer.msg.body.n,
                    ev->peer.msg.body.p);
}

static void
endpoint_open (struct tevent_context *loop, endpoint_t *e, const char *vm,
               const char *address, const char *secret)
{
  st_t st = { 0 };
  e->links = lnk_setup (loop,
                        &(lnk_desc_t){ .loop = loop,
                                       .vm = vm,
                                       .listen = address,
                                       .secret = secret,
                                       .handler = on_event,
                                       .data = e },
                        &st);
}

static char *
free_address (void *ctx)
{
  return talloc_asprintf (ctx, "127.0.0.1:%u", sock_free_port ());
}

#define SECRET "secret of sixteen"

/* Two ends, vm-a and vm-b, and their addresses. */
typedef struct
{
  struct tevent_context *loop;
  endpoint_t a;
  endpoint_t b;
  char *address_a;
  char *address_b;
} pair_t;

static pair_t *
pair_setup (const char *secret_b)
{
  struct tevent_context *loop = tevent_context_init (NULL);
  pair_t *p = talloc_zero (loop, pair_t);
  p->loop = loop;
  p->address_a = free_address (loop);
  endpoint_open (loop, &p->a, "vm-a", p->address_a, SECRET);
  p->address_b = free_address (loop);
  endpoint_open (loop, &p->b, "vm-b", p->address_b, secret_b);
  return p;
}

static bool
wait_for (struct tevent_context *loop, const int *value)
{
  for (int i = 0; i < LOOPS_MAX && *value == 0; i++)
    (void)tevent_loop_once (loop);
  return *value != 0;
}

static void
test_links_prove_the_secret_and_carry_messages (void)
{
  pair_t *p = pair_setup (SECRET);
  TST_NEED (p->a.links != NULL && p->b.links != NULL);
  lnk_peer_add (p->a.links, "vm-b", p->address_b);
  lnk_peer_add (p->b.links, "vm-a", p->address_a);
  CU_ASSERT (wait_for (p->loop, &p->a.up));
  CU_ASSERT (wait_for (p->loop, &p->b.up));
  lnk_send (p->a.links, "vm-b",
            &(msg_t){ .kind = MSG_LIMIT_FIRST, .body = buf_str ("hello") });
  for (int i = 0; i < LOOPS_MAX && p->b.got[0] == '\0'; i++)
    (void)tevent_loop_once (p->loop);
  CU_ASSERT_STRING_EQUAL (p->b.got, "hello");
  CU_ASSERT_EQUAL (p->a.up, 1);
  CU_ASSERT_EQUAL (p->a.down, 0);
  talloc_free (p->loop);
}

static void
test_wrong_secret_opens_no_link (void)
{
  pair_t *p = pair_setup ("another of sixteen");
  TST_NEED (p->a.links != NULL && p->b.links != NULL);
  lnk_peer_add (p->a.links, "vm-b", p->address_b);
  for (int i = 0; i < 60; i++)
    (void)tevent_loop_once (p->loop);
  CU_ASSERT_EQUAL (p->a.up, 0);
  CU_ASSERT_EQUAL (p->b.up, 0);
  talloc_free (p->loop);
}

/* Sends BYTES over a plain TCP connection and runs the event loop; returns
 * whether the other side closes within LOOPS_MAX turns. */
static bool
is_closed_after (struct tevent_context *loop, const char *address,
                 const void *bytes, size_t n)
{
  int fd = sock_connect ((uint16_t)atoi (strchr (address, ':') + 1));
  (void)send (fd, bytes, n, MSG_NOSIGNAL);
  bool closed = false;
  for (int i = 0; i < LOOPS_MAX && !closed; i++)
    {
      char block[256];
      (void)tevent_loop_once (loop);
      ssize_t got = recv (fd, block, sizeof block, MSG_DONTWAIT);
      closed = got == 0 || (got < 0 && errno == ECONNRESET);
    }
  close (fd);
  return closed;
}

static void
test_invalid_handshake_closes_connection (void)
{
  struct tevent_context *loop = tevent_context_init (NULL);
  endpoint_t a = { 0 };
  char *address_a = free_address (loop);
  endpoint_open (loop, &a, "vm-a", address_a, "secret of sixteen");
  TST_NEED (a.links != NULL);
  static const char garbage[] = "GET / HTTP/1.1\r\n\r\n";
  CU_ASSERT (is_closed_after (loop, address_a, garbage, sizeof garbage - 1));
  static const unsigned char oversize[] = { 0xff, 0xff, 0xff, 0xff };
  CU_ASSERT (is_closed_after (loop, address_a, oversize, sizeof oversize));
  static const unsigned char wrong[] = { 0, 0, 0, 2, 0xc1, 0xc1 };
  CU_ASSERT (is_closed_after (loop, address_a, wrong, sizeof wrong));
  buf_t early = frm_encode (loop, &(msg_t){ .kind = MSG_LIMIT_FIRST });
  CU_ASSERT (is_closed_after (loop, address_a, early.p, early.n));
  /* An incomplete frame and nothing more: closed after
   * LNK_SILENCE_TIMEOUT_MS. */
  static const unsigned char half[] = { 0, 0, 0, 9, 1 };
  CU_ASSERT (is_closed_after (loop, address_a, half, sizeof half));
  CU_ASSERT_EQUAL (a.up, 0);
  talloc_free (loop);
}

static void
test_frames_received_in_parts_decode (void)
{
  void *ctx = talloc_new (NULL);
  buf_t frame = frm_encode (
      ctx, &(msg_t){ .kind = 300,
                     .stamp = { .ms = 7, .count = 2 },
                     .body = buf_str ("alteration: sleeve 2 cm") });
  msg_t msg;
  size_t used = 0;
  for (size_t n = 0; n < frame.n; n++)
    CU_ASSERT_EQUAL (
        frm_decode (ctx, (buf_t){ .p = frame.p, .n = n }, &msg, &used),
        ST_UNAVAILABLE);
  CU_ASSERT_EQUAL (frm_decode (ctx, frame, &msg, &used), ST_OK);
  CU_ASSERT_EQUAL (used, frame.n);
  CU_ASSERT (buf_is (msg.body, "alteration: sleeve 2 cm"));
  CU_ASSERT_EQUAL (msg.stamp.count, 2);
  char *big = talloc_zero_size (ctx, MSG_BODY_MAX + 1);
  CU_ASSERT_PTR_NULL (
      frm_encode (ctx, &(msg_t){ .body = { .p = big, .n = MSG_BODY_MAX + 1 } })
          .p);
  talloc_free (ctx);
}

/* Both ends dial at once, and vm-b up to 11 turns earlier.  One of the two
 * connections is closed, possibly the one that opened first; a link must
 * remain, and both ends must be able to remove it afterwards. */
static void
test_links_dialed_from_both_ends_are_dropped (void)
{
  pair_t *p = pair_setup (SECRET);
  TST_NEED (p->a.links != NULL && p->b.links != NULL);
  for (int round = 0; round < 12; round++)
    {
      p->a.up = 0;
      p->b.up = 0;
      lnk_peer_add (p->b.links, "vm-a", p->address_a);
      for (int i = 0; i < round; i++)
        (void)tevent_loop_once (p->loop);
      lnk_peer_add (p->a.links, "vm-b", p->address_b);
      CU_ASSERT (wait_for (p->loop, &p->a.up));
      CU_ASSERT (wait_for (p->loop, &p->b.up));
      for (int i = 0; i < 10; i++)
        {
          lnk_send (p->a.links, "vm-b", &(msg_t){ .kind = MSG_LIMIT_FIRST });
          (void)tevent_loop_once (p->loop);
        }
      lnk_peer_remove (p->b.links, "vm-a");
      lnk_peer_remove (p->a.links, "vm-b");
    }
  talloc_free (p->loop);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "links_prove_the_secret_and_carry_messages",
      test_links_prove_the_secret_and_carry_messages },
    { "wrong_secret_opens_no_link", test_wrong_secret_opens_no_link },
    { "invalid_handshake_closes_connection",
      test_invalid_handshake_closes_connection },
    { "links_dialed_from_both_ends_are_dropped",
      test_links_dialed_from_both_ends_are_dropped },
    { "frames_received_in_parts_decode",
      test_frames_received_in_parts_decode },
  };
  return tst_run ("lnk", cases, sizeof cases / sizeof cases[0]);
}

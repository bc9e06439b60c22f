/** @file
 * Fuzz target: heads of responses.  The input's first byte chooses what stands
 * around the rest; that is what a server sends before it closes.  It goes
 * through the rule (rhd) line by line, and over a loopback socket to the HTTP
 * client; what the client passes on must be what the rule reads, and of what
 * the rule refuses it must pass on nothing.
 */
#include "core/rhd.h"
#include "io/hcl.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

/* Longest time of one response, in ms. */
#define WAIT_MS 500

int LLVMFuzzerTestOneInput (const unsigned char *data, size_t size);

static struct tevent_context *loop;
static hcl_t *client;
static int listener;
static uint16_t port;
static const rhd_head_t *expected; /* by the rule; NULL: none */
static bool over;

/* Ends the process unless the heads are the same. */
static void
compare (const hcl_event_t *e)
{
  if (expected == NULL || e->status != expected->status
      || e->headers.n != expected->headers.n
      || e->close_delimited != rhd_is_close_delimited (expected)
      || e->has_length != (expected->has_body && expected->has_length)
      || (e->has_length && e->length != expected->length))
    abort ();
  for (size_t i = 0; i < e->headers.n; i++)
    if (strcmp (e->headers.v[i].name, expected->headers.v[i].name) != 0
        || strcmp (e->headers.v[i].value, expected->headers.v[i].value) != 0)
      abort ();
}

static void
on_response (void *data, const hcl_event_t *e)
{
  (void)data;
  if (e->kind == EV_UPSTREAM_HEAD)
    compare (e);
  over = over || e->kind == EV_UPSTREAM_END || e->kind == EV_UPSTREAM_FAIL;
}

static void
on_log (const gchar *domain, GLogLevelFlags level, const gchar *message,
        gpointer data)
{
  (void)domain;
  (void)level;
  (void)message;
  (void)data;
}

static void
set_up (void)
{
  struct sockaddr_in in
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_ANY) };
  socklen_t size = sizeof in;
  g_log_set_handler (NULL, G_LOG_LEVEL_MASK, on_log, NULL);
  loop = tevent_context_init (NULL);
  client = hcl_setup (loop,
                      &(hcl_desc_t){ .loop = loop, .handler = on_response });
  listener = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  if (bind (listener, (struct sockaddr *)&in, sizeof in) != 0
      || listen (listener, 8) != 0
      || getsockname (listener, (struct sockaddr *)&in, &size) != 0)
    abort ();
  port = ntohs (in.sin_port);
}

/* The final head in the N bytes at P by the rule, read to its end by READER;
 * NULL: none. */
static const rhd_head_t *
head_by_rule (rhd_t *reader, const char *p, size_t n)
{
  while (n > 0)
    {
      const char *lf = memchr (p, '\n', n);
      if (lf == NULL)
        return NULL;
      size_t line = (size_t)(lf + 1 - p);
      switch (rhd_push (reader, (buf_t){ .p = p, .n = line }))
        {
        case RHD_ENDED:
          return rhd_head (reader);
        case RHD_SPOILT:
          return NULL;
        case RHD_MORE:
        case RHD_INTERIM:
          break;
        }
      p = lf + 1;
      n -= line;
    }
  return NULL;
}

/* Has the client read the N bytes at P. */
static void
exchange (const void *p, size_t n)
{
  static unsigned calls = 0;
  char address[32];
  /* Each connection that was closed keeps its pair of ports for a while. */
  (void)snprintf (address, sizeof address, "127.1.%u.%u:%u", calls / 250 % 250,
                  calls % 250 + 1, port);
  over = false;
  hcl_call (client, &(hcl_call_t){ .id = ++calls,
                                   .address = address,
                                   .method = "GET",
                                   .path = "/",
                                   .total_ms = WAIT_MS,
                                   .body_max = 4096,
                                   .fresh_connection = true });
  int fd = -1;
  while (fd < 0 && !over)
    {
      (void)tevent_loop_once (loop);
      fd = accept (listener, NULL, NULL);
    }
  if (fd < 0)
    return;
  (void)send (fd, p, n, MSG_NOSIGNAL);
  (void)shutdown (fd, SHUT_WR);
  while (!over)
    (void)tevent_loop_once (loop);
  close (fd);
}

/* Feeds the N bytes at P to the rule and to the client. */
static void
check (const char *p, size_t n)
{
  static const char *const once[] = { "Request-Id", NULL };
  rhd_t *reader = rhd_setup (NULL, &(rhd_desc_t){ .once = once });
  (void)head_by_rule (reader, p, n);
  char *why = rhd_describe (reader, reader);
  if (why != NULL && (!g_str_is_ascii (why) || strpbrk (why, "\r\n") != NULL))
    abort ();
  talloc_free (reader);
  reader = rhd_setup (NULL, &(rhd_desc_t){ .once = NULL });
  expected = head_by_rule (reader, p, n);
  exchange (p, n);
  talloc_free (reader);
}

int
LLVMFuzzerTestOneInput (const unsigned char *data, size_t size)
{
  static const struct
  {
    const char *before;
    const char *behind;
  } around[] = {
    { "", "" },
    { "HTTP/1.1 200 OK\r\n", "" },
    { "HTTP/1.1 200 OK\r\n", "\r\n\r\nhi" },
    { "HTTP/1.1 200 OK\r\nContent-Length: ", "\r\n\r\nhi" },
    { "HTTP/1.1 200 OK\r\nContent-", ": 2\r\n\r\nhi" },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
      "\r\n\r\n0\r\n\r\n" },
    { "HTTP/1.1 1", "\r\n\r\nHTTP/1.1 200 OK\r\n\r\nhi" },
    { "HTTP/1.1 ", "\r\nA: b\r\n\r\nhi" },
  };
  if (loop == NULL)
    set_up ();
  if (size == 0)
    return 0;
  size_t form = data[0] % (sizeof around / sizeof around[0]);
  GString *text = g_string_new (around[form].before);
  g_string_append_len (text, (const char *)data + 1, (gssize)size - 1);
  g_string_append (text, around[form].behind);
  check (text->str, text->len);
  (void)g_string_free (text, TRUE);
  return 0;
}

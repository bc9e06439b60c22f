/** @file
 * Fuzz target: a caller's request, as the HTTP library would hand it over.
 *
 * The input's first lines are method, path, query and key; the rest is the
 * body.
 */
#include "core/node.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define DOCUMENT                                                              \
  "[data-centre north]\nowner = ops\n"                                        \
  "[customer c]\nowner = ops\nrate = 40/s\nburst = 80\n"                      \
  "[deployment echo]\nowner = ops\nkind = engine\nslots = 4\n"                \
  "[upstream echo-1]\nowner = ops\ndeployment = echo\n"                       \
  "data_centre = north\naddress = 127.0.0.1:1\n"                              \
  "[route POST /v1/completions]\nowner = ops\ndeployment = echo\n"            \
  "open = yes\nidempotent = yes\n"                                            \
  "[route POST /orders]\nowner = ops\ndeployment = echo\nopen = yes\n"

int LLVMFuzzerTestOneInput (const unsigned char *data, size_t size);

static node_t *
start (void)
{
  st_t st = { 0 };
  node_t *n = node_setup (NULL,
                          &(node_desc_t){ .vm = "north-1",
                                          .data_centre = "north",
                                          .operator_token_sha256 = "00" },
                          &st);
  const fx_list_t *fx = node_step (n, 0, &(ev_t){ .kind = EV_START });
  ev_object_t object
      = { .name = "config", .version = 1, .value = buf_str (DOCUMENT) };
  ev_t reply = { .kind = EV_TIMER };
  for (size_t i = 0; i < fx->count; i++)
    {
      if (fx->v[i].kind == FX_PLATFORM
          && fx->v[i].platform.op == FX_PLATFORM_GET)
        reply = (ev_t){ .kind = EV_PLATFORM,
                        .platform = { .call = fx->v[i].platform.call,
                                      .code = ST_OK,
                                      .objects = &object,
                                      .object_count = 1 } };
    }
  (void)node_step (n, 1, &reply);
  return n;
}

/* Take a line off *REST, without its end. */
static char *
line (void *ctx, buf_t *rest)
{
  const char *end = rest->n == 0 ? NULL : memchr (rest->p, '\n', rest->n);
  size_t n = end == NULL ? rest->n : (size_t)(end - rest->p);
  char *copy = talloc_strndup (ctx, rest->n == 0 ? "" : rest->p, n);
  size_t used = end == NULL ? n : n + 1;
  rest->p += used;
  rest->n -= used;
  return copy;
}

int
LLVMFuzzerTestOneInput (const unsigned char *data, size_t size)
{
  static node_t *node;
  static uint64_t caller;
  static clk_ms_t now = 10;
  if (node == NULL)
    node = start ();
  void *ctx = talloc_new (NULL);
  buf_t rest = { .p = (const char *)data, .n = size };
  ev_t ev = { .kind = EV_REQUEST, .request = { .caller = ++caller } };
  ev.request.method = line (ctx, &rest);
  ev.request.path = line (ctx, &rest);
  ev.request.query = line (ctx, &rest);
  http_header_t header = { "Authorization", line (ctx, &rest) };
  ev.request.headers = (http_headers_t){ .v = &header, .n = 1 };
  ev.request.body = rest;
  (void)node_step (node, now++, &ev);
  (void)node_step (node, now,
                   &(ev_t){ .kind = EV_CALLER_GONE, .caller = caller });
  talloc_free (ctx);
  return 0;
}

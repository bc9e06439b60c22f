/** @file
 * Runs the example of docs/SEAM.md, a driver without any I/O, so that the page
 * stays in accordance with the code.
 */
#include "core/node.h"
#include "flt_platform.h"
#include "tst.h"

#include <talloc.h>

#define DOCUMENT                                                              \
  "[data-centre north]\nowner = ops\n"                                        \
  "[deployment echo]\nowner = ops\nkind = plain\nslots = 4\n"                 \
  "[upstream echo-1]\nowner = ops\ndeployment = echo\n"                       \
  "data_centre = north\naddress = 127.0.0.1:1\n"                              \
  "[route GET /ping]\nowner = ops\ndeployment = echo\nopen = yes\n"           \
  "idempotent = yes\n"

/* SHA-256 of "operator". */
#define OPERATOR                                                              \
  "06e55b633481f7bb072957eabcf110c972e86691c3cfedabe088024bffe42f23"

/* The driver: a fake platform and the effects that the test looks at. */
typedef struct
{
  node_t *node;
  fpl_t *platform;
  clk_ms_t now;
  uint64_t call;
  int status;
  bool ended;
} example_t;

/* Step the node, then reply to each of its platform calls at once. */
static void
example_step (example_t *x, const ev_t *ev)
{
  void *ctx = talloc_new (x->platform);
  const fx_list_t *fx = node_step (x->node, x->now, ev);
  ev_t *replies = talloc_zero_array (ctx, ev_t, fx->count);
  size_t reply_count = 0;
  for (size_t i = 0; i < fx->count; i++)
    {
      const fx_t *f = &fx->v[i];
      ev_t *reply = &replies[reply_count];
      reply->kind = EV_PLATFORM;
      if (f->kind == FX_PLATFORM
          && fpl_call (x->platform, ctx, &f->platform, &reply->platform))
        reply_count++;
      if (f->kind == FX_UPSTREAM_CALL)
        x->call = f->upstream.call;
      if (f->kind == FX_REPLY_HEAD)
        x->status = f->reply.status;
      x->ended = x->ended || f->kind == FX_REPLY_END;
    }
  for (size_t i = 0; i < reply_count; i++)
    example_step (x, &replies[i]);
  talloc_free (ctx);
}

static void
example_request (example_t *x, uint64_t caller, const char *method,
                 const char *path, const char *key, const char *body)
{
  http_header_t authorization = { "Authorization", key };
  x->status = 0;
  x->ended = false;
  example_step (x, &(ev_t){ .kind = EV_REQUEST,
                            .request = { .caller = caller,
                                         .method = method,
                                         .path = path,
                                         .query = "",
                                         .headers = { &authorization, 1 },
                                         .body = buf_str (body) } });
}

static void
test_seam_example (void)
{
  st_t st = { 0 };
  example_t x = { .platform = fpl_setup (NULL) };
  x.node = node_setup (NULL,
                       &(node_desc_t){ .vm = "north-1",
                                       .data_centre = "north",
                                       .operator_token_sha256 = OPERATOR },
                       &st);
  TST_NEED (x.node != NULL);
  example_step (&x, &(ev_t){ .kind = EV_START });
  example_request (&x, 1, "POST", "/v1/operator/config", "Bearer operator",
                   DOCUMENT);
  CU_ASSERT_EQUAL (x.status, 200);
  x.now = 5;
  example_request (&x, 2, "GET", "/ping", "", "");
  TST_NEED (x.call != 0 && x.status == 0);
  ev_t head = { .kind = EV_UPSTREAM_HEAD,
                .upstream = { .call = x.call, .status = 200 } };
  example_step (&x, &head);
  ev_t end = { .kind = EV_UPSTREAM_END, .upstream = { .call = x.call } };
  example_step (&x, &end);
  CU_ASSERT_EQUAL (x.status, 200);
  CU_ASSERT (x.ended);
  node_shutdown (x.node);
  talloc_free (x.platform);
}

/* Guards against a load that a response states and that does not reach the
 * router. */
static void
test_stated_load_reaches_the_router (void)
{
  st_t st = { 0 };
  example_t x = { .platform = fpl_setup (NULL) };
  x.node = node_setup (NULL,
                       &(node_desc_t){ .vm = "north-1",
                                       .data_centre = "north",
                                       .operator_token_sha256 = OPERATOR },
                       &st);
  TST_NEED (x.node != NULL);
  example_step (&x, &(ev_t){ .kind = EV_START });
  example_request (&x, 1, "POST", "/v1/operator/config", "Bearer operator",
                   DOCUMENT);
  x.now = 5;
  example_request (&x, 2, "GET", "/ping", "", "");
  TST_NEED (x.call != 0);
  ev_load_t load = { .kind = EV_LOAD_STATED, .running = 1, .slots = 4 };
  ev_t head = { .kind = EV_UPSTREAM_HEAD,
                .upstream = { .call = x.call, .status = 200, .load = load } };
  example_step (&x, &head);
  CU_ASSERT_EQUAL (
      cnt_value (node_env (x.node)->cnt, "rts_route_load_stated_total", ""),
      1);
  node_shutdown (x.node);
  talloc_free (x.platform);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "example_of_the_seam", test_seam_example },
    { "stated_load_reaches_the_router", test_stated_load_reaches_the_router },
  };
  return tst_run ("seam", cases, sizeof cases / sizeof cases[0]);
}

/** @file
 * The example of docs/SEAM.md, run: a driver without any I/O.
 */
#include "core/node.h"
#include "tst.h"

#include <talloc.h>

#define DOCUMENT                                                              \
  "[data-centre north]\nowner = ops\n"                                        \
  "[deployment echo]\nowner = ops\nkind = plain\nslots = 4\n"                 \
  "[upstream echo-1]\nowner = ops\ndeployment = echo\n"                       \
  "data_centre = north\naddress = 127.0.0.1:1\n"                              \
  "[route GET /ping]\nowner = ops\ndeployment = echo\nopen = yes\n"           \
  "idempotent = yes\n"

/* What the driver keeps of the effects. */
typedef struct
{
  uint64_t call;
  int status;
  bool ended;
} example_t;

/* Answer a call to the platform at once: one object, the document. */
static ev_t
example_platform (const fx_platform_t *p, ev_object_t *object)
{
  *object = (ev_object_t){ .name = p->name,
                           .version = 1,
                           .value = buf_str (DOCUMENT) };
  bool get = p->op == FX_PLATFORM_GET;
  return (ev_t){ .kind = EV_PLATFORM,
                 .platform = { .call = p->call,
                               .code = get ? ST_OK : ST_UNAVAILABLE,
                               .objects = object,
                               .object_count = get ? 1 : 0 } };
}

/* Step the node, then everything that its effects bring at once. */
static void
example_step (node_t *n, clk_ms_t now, const ev_t *ev, example_t *seen)
{
  ev_object_t object;
  ev_t next = { .kind = EV_NUM };
  const fx_list_t *fx = node_step (n, now, ev);
  for (size_t i = 0; i < fx->count; i++)
    {
      const fx_t *f = &fx->v[i];
      if (f->kind == FX_PLATFORM)
        next = example_platform (&f->platform, &object);
      if (f->kind == FX_UPSTREAM_CALL)
        seen->call = f->upstream.call;
      if (f->kind == FX_REPLY_HEAD)
        seen->status = f->reply.status;
      if (f->kind == FX_REPLY_END)
        seen->ended = true;
    }
  if (next.kind != EV_NUM)
    example_step (n, now, &next, seen);
}

static void
test_example_of_the_seam (void)
{
  st_t st = { 0 };
  node_t *n = node_setup (
      NULL, &(node_desc_t){ .vm = "north-1", .data_centre = "north" }, &st);
  TST_NEED (n != NULL);
  example_t seen = { 0 };
  example_step (n, 0, &(ev_t){ .kind = EV_START }, &seen);
  example_step (
      n, 5,
      &(ev_t){
          .kind = EV_REQUEST,
          .request
          = { .caller = 1, .method = "GET", .path = "/ping", .query = "" } },
      &seen);
  TST_NEED (seen.call != 0);
  ev_t head = { .kind = EV_UPSTREAM_HEAD,
                .upstream = { .call = seen.call, .status = 200 } };
  example_step (n, 9, &head, &seen);
  ev_t end = { .kind = EV_UPSTREAM_END, .upstream = { .call = seen.call } };
  example_step (n, 9, &end, &seen);
  CU_ASSERT_EQUAL (seen.status, 200);
  CU_ASSERT (seen.ended);
  node_shutdown (n);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "example_of_the_seam", test_example_of_the_seam },
  };
  return tst_run ("seam", cases, sizeof cases / sizeof cases[0]);
}

/** @file
 * Upstream calls: a response is passed on only if it proves to belong to its
 * call, and each one that is not leaves a log line.
 */
#include "core/env.h"
#include "tst.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define ID "r-1"
/* More headers than a request usually has. */
#define HEADERS_MANY 80
/* Length of an id that begins like another one. */
#define ID_LONG 200

static const http_header_t own_id = { "X-Request-Id", ID };
static const http_header_t other_id = { "X-Request-Id", "r-0" };

/* The parts of a response's head that the tests vary. */
typedef struct
{
  int status;
  const http_header_t *id; /* NULL: none */
  bool is_signed;
  bool not_run;
} head_t;

static env_t *
_env (void)
{
  return env_setup (NULL,
                    &(env_desc_t){ .vm = "north-1", .data_centre = "north" });
}

/* Starts the call of request ID to an upstream that proves origins. */
static uint64_t
_call (env_t *env)
{
  return upc_call (env, MOD_ONLINE, 7,
                   &(fx_upstream_t){ .address = "10.0.0.1:80",
                                     .method = "POST",
                                     .path = "/",
                                     .headers = { .v = &own_id, .n = 1 },
                                     .proves_origin = true });
}

/* Whether the module that made CALL gets the response HEAD to it. */
static bool
_passes (env_t *env, uint64_t call, const head_t *head)
{
  upc_owner_t owner = { 0 };
  ev_t ev = { .kind = EV_UPSTREAM_HEAD,
              .upstream
              = { .call = call,
                  .status = head->status,
                  .headers = { .v = head->id, .n = head->id == NULL ? 0 : 1 },
                  .is_signed = head->is_signed,
                  .not_run = head->not_run,
                  .local_port = 40001 } };
  return upc_event (env, &ev, &owner) && ev.kind == EV_UPSTREAM_HEAD;
}

/* Whether a response HEAD to a new call is passed on. */
static bool
_head_passes (const head_t *head)
{
  env_t *env = _env ();
  uint64_t call = _call (env);
  bool passes = _passes (env, call, head);
  env_shutdown (env);
  return passes;
}

static void
test_own_responses_pass (void)
{
  CU_ASSERT (_head_passes (
      &(head_t){ .status = 200, .id = &own_id, .is_signed = true }));
  CU_ASSERT (_head_passes (&(head_t){ .status = 500, .id = &own_id }));
  CU_ASSERT (_head_passes (
      &(head_t){ .status = 503, .id = &own_id, .not_run = true }));
}

static void
test_response_with_another_id_is_dropped (void)
{
  CU_ASSERT (!_head_passes (
      &(head_t){ .status = 200, .id = &other_id, .is_signed = true }));
  CU_ASSERT (!_head_passes (
      &(head_t){ .status = 503, .id = &other_id, .not_run = true }));
}

static void
test_response_without_an_id_is_dropped (void)
{
  CU_ASSERT (!_head_passes (&(head_t){ .status = 200 }));
  CU_ASSERT (!_head_passes (&(head_t){ .status = 200, .is_signed = true }));
  CU_ASSERT (!_head_passes (&(head_t){ .status = 500 }));
}

/* "Not run" without an id may be said of another request. */
static void
test_promise_without_an_id_is_dropped (void)
{
  CU_ASSERT (!_head_passes (&(head_t){ .status = 503, .not_run = true }));
  CU_ASSERT (!_head_passes (&(head_t){ .status = 421, .not_run = true }));
}

/* A success without the upstream's signature is not its whole answer. */
static void
test_unsigned_success_is_dropped (void)
{
  CU_ASSERT (!_head_passes (&(head_t){ .status = 200, .id = &own_id }));
  CU_ASSERT (!_head_passes (&(head_t){ .status = 204, .id = &own_id }));
}

/* A call with many headers is sent with an id as well; without one it cannot
 * be told which responses are its own. */
static void
test_call_with_many_headers_has_an_id (void)
{
  env_t *env = _env ();
  http_header_t many[HEADERS_MANY];
  for (size_t i = 0; i < HEADERS_MANY; i++)
    many[i] = (http_header_t){ "X-Other", "1" };
  (void)upc_call (
      env, MOD_ROUTE, 7,
      &(fx_upstream_t){ .address = "10.0.0.1:80",
                        .method = "GET",
                        .path = "/",
                        .headers = { .v = many, .n = HEADERS_MANY } });
  TST_NEED (env->fx->count == 1);
  const fx_upstream_t *sent = &env->fx->v[0].upstream;
  CU_ASSERT_EQUAL (sent->headers.n, HEADERS_MANY + 1);
  CU_ASSERT_PTR_NOT_NULL (http_header_find (sent->headers, "X-Request-Id"));
  env_shutdown (env);
}

/* Ids that differ only in their last character are different. */
static void
test_long_ids_are_compared_whole (void)
{
  env_t *env = _env ();
  char own[ID_LONG + 1] = "";
  char other[ID_LONG + 1] = "";
  memset (own, 'a', ID_LONG);
  memset (other, 'a', ID_LONG);
  other[ID_LONG - 1] = 'b';
  const http_header_t sent = { "X-Request-Id", own };
  const http_header_t came = { "X-Request-Id", other };
  uint64_t call
      = upc_call (env, MOD_JOB, 7,
                  &(fx_upstream_t){ .address = "10.0.0.1:80",
                                    .method = "POST",
                                    .path = "/",
                                    .headers = { .v = &sent, .n = 1 } });
  CU_ASSERT (!_passes (env, call, &(head_t){ .status = 200, .id = &came }));
  env_shutdown (env);
}

/* The log tells which call lost which response, of which upstream, on which
 * connection. */
static void
test_dropped_response_leaves_its_line (void)
{
  env_t *env = _env ();
  uint64_t call = _call (env);
  (void)_passes (env, call, &(head_t){ .status = 200, .id = &other_id });
  TST_NEED (tln_count (env->tln) > 0);
  const tln_record_t *r = tln_get (env->tln, tln_count (env->tln) - 1);
  CU_ASSERT_EQUAL (r->mod, MOD_ONLINE);
  CU_ASSERT_STRING_EQUAL (r->event, "response-dropped");
  CU_ASSERT_STRING_EQUAL (
      r->detail,
      "request=r-1 why=other-id status=200 id=r-0 at=10.0.0.1:80 port=40001");
  env_shutdown (env);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "own_responses_pass", test_own_responses_pass },
    { "response_with_another_id_is_dropped",
      test_response_with_another_id_is_dropped },
    { "response_without_an_id_is_dropped",
      test_response_without_an_id_is_dropped },
    { "promise_without_an_id_is_dropped",
      test_promise_without_an_id_is_dropped },
    { "unsigned_success_is_dropped", test_unsigned_success_is_dropped },
    { "call_with_many_headers_has_an_id",
      test_call_with_many_headers_has_an_id },
    { "long_ids_are_compared_whole", test_long_ids_are_compared_whole },
    { "dropped_response_leaves_its_line",
      test_dropped_response_leaves_its_line },
  };
  return tst_run ("upc", cases, sizeof cases / sizeof cases[0]);
}

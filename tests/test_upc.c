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

/* Starts the call of request ID to an upstream that repeats ids. */
static uint64_t
_call (env_t *env)
{
  return upc_call (env, MOD_ONLINE, 7,
                   &(fx_upstream_t){ .address = "10.0.0.1:80",
                                     .method = "POST",
                                     .path = "/",
                                     .headers = { .v = &own_id, .n = 1 },
                                     .echoes_id = true });
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
  return upc_event (env, &ev, &owner) && !owner.id_differs;
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
      r->detail, "request=r-1 status=200 id=r-0 at=10.0.0.1:80 port=40001");
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
    { "dropped_response_leaves_its_line",
      test_dropped_response_leaves_its_line },
  };
  return tst_run ("upc", cases, sizeof cases / sizeof cases[0]);
}

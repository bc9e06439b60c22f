/** @file
 * Platform client: the budget, the reserve that low-priority reads leave to
 * other calls, and the breaker.
 */
#include "core/env.h"
#include "tst.h"

#include <talloc.h>

#define BURST 8
#define RESERVE 2
#define ERRORS 3

static env_t *
_env (void)
{
  env_t *env = env_setup (
      NULL, &(env_desc_t){ .vm = "north-1", .data_centre = "north" });
  plt_shutdown (env->plt);
  env->plt = plt_setup (env, &(plt_desc_t){ .calls_per_second = 1,
                                            .burst = BURST,
                                            .reserve = RESERVE,
                                            .breaker_errors = ERRORS,
                                            .breaker_ms = CLK_SECOND });
  return env;
}

/* Make COUNT calls; returns how many of them were sent. */
static size_t
_calls (env_t *env, size_t count, bool low_priority)
{
  size_t before = env->fx->count;
  for (size_t i = 0; i < count; i++)
    plt_call (env, &(plt_req_t){ .mod = MOD_BATCH,
                                 .tag = i,
                                 .op = FX_PLATFORM_GET,
                                 .name = "x",
                                 .low_priority = low_priority });
  return env->fx->count - before;
}

static size_t
_refused (env_t *env)
{
  plt_done_t done;
  size_t n = 0;
  while (plt_refused_pop (env, &done))
    n++;
  return n;
}

static void
test_low_priority_reads_leave_the_reserve (void)
{
  env_t *env = _env ();
  CU_ASSERT_EQUAL (_calls (env, 20, true), BURST - RESERVE);
  CU_ASSERT_EQUAL (_refused (env), 20 - (BURST - RESERVE));
  CU_ASSERT_EQUAL (_calls (env, 20, false), RESERVE);
  CU_ASSERT_EQUAL (_refused (env), 20 - RESERVE);
  env->now += 3 * CLK_SECOND;
  CU_ASSERT_EQUAL (_calls (env, 20, true), 1);
  CU_ASSERT_EQUAL (_calls (env, 20, false), 2);
  env_shutdown (env);
}

static void
test_breaker_refuses_at_once_and_closes_again (void)
{
  env_t *env = _env ();
  plt_done_t done;
  CU_ASSERT_EQUAL (_calls (env, ERRORS, false), ERRORS);
  for (size_t i = 0; i < ERRORS; i++)
    {
      ev_platform_t lost
          = { .call = env->fx->v[i].platform.call, .code = ST_UNAVAILABLE };
      CU_ASSERT (plt_reply (env, &lost, &done));
      CU_ASSERT_FALSE (plt_reply (env, &lost, &done));
    }
  CU_ASSERT_FALSE (plt_available (env->plt));
  CU_ASSERT_EQUAL (_calls (env, 1, false), 0);
  CU_ASSERT_EQUAL (_refused (env), 1);
  env->now += 2 * CLK_SECOND;
  TST_NEED (_calls (env, 1, false) == 1);
  ev_platform_t good = { .call = env->fx->v[ERRORS].platform.call };
  CU_ASSERT (plt_reply (env, &good, &done));
  CU_ASSERT (plt_available (env->plt));
  env_shutdown (env);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "low_priority_reads_leave_the_reserve",
      test_low_priority_reads_leave_the_reserve },
    { "breaker_refuses_at_once_and_closes_again",
      test_breaker_refuses_at_once_and_closes_again },
  };
  return tst_run ("plt", cases, sizeof cases / sizeof cases[0]);
}

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

/* Ends call I of all that were sent; GOOD: the platform has served it. */
static void
_end (env_t *env, size_t i, bool good)
{
  plt_done_t done;
  ev_platform_t reply = { .call = env->fx->v[i].platform.call,
                          .code = good ? ST_OK : ST_UNAVAILABLE };
  CU_ASSERT (plt_reply (env, &reply, &done));
}

/* Guards against a VM that does not try the platform for another second, as a
 * call from before the breaker opened has ended now. */
static void
test_old_call_does_not_open_the_breaker_again (void)
{
  env_t *env = _env ();
  CU_ASSERT_EQUAL (_calls (env, ERRORS + 1, false), ERRORS + 1);
  for (size_t i = 0; i < ERRORS; i++)
    _end (env, i, false);
  CU_ASSERT_EQUAL (_calls (env, 1, false), 0);
  env->now += 2 * CLK_SECOND;
  _end (env, ERRORS, false);
  CU_ASSERT_EQUAL (_calls (env, 1, false), 1);
  env_shutdown (env);
}

/* Guards against a VM that takes what says nothing of the platform for its
 * absence: one failed call, a call that was refused here, calls that were
 * served meanwhile, a watch that began long ago. */
static void
test_away_by_failed_calls_only (void)
{
  env_t *env = _env ();
  CU_ASSERT_EQUAL (_calls (env, 2, false), 2);
  env->now += 3 * CLK_SECOND;
  _end (env, 0, false);
  CU_ASSERT_EQUAL (plt_away_at (env->plt), CLK_NEVER);
  CU_ASSERT_EQUAL (_calls (env, 20, false), BURST);
  CU_ASSERT_EQUAL (_refused (env), 20 - BURST);
  CU_ASSERT_EQUAL (plt_away_at (env->plt), CLK_NEVER);
  _end (env, 2, true);
  _end (env, 1, false);
  CU_ASSERT_EQUAL (plt_away_at (env->plt), CLK_NEVER);
  _end (env, 3, true);
  _end (env, 4, false);
  CU_ASSERT_EQUAL (plt_away_at (env->plt), CLK_NEVER);
  env_shutdown (env);
}

/* Guards against a moment that is later than the platform's return: that at
 * which the last failed call ended. */
static void
test_away_since_the_start_of_the_last_failed_call (void)
{
  env_t *env = _env ();
  CU_ASSERT_EQUAL (_calls (env, 1, false), 1);
  env->now += 2 * CLK_SECOND;
  clk_ms_t last_at = env->now;
  CU_ASSERT_EQUAL (_calls (env, 1, false), 1);
  env->now += CLK_SECOND;
  CU_ASSERT_EQUAL (_calls (env, 1, false), 1);
  _end (env, 0, false);
  _end (env, 1, false);
  CU_ASSERT_EQUAL (plt_away_at (env->plt), last_at);
  _end (env, 2, true);
  CU_ASSERT_EQUAL (plt_away_at (env->plt), last_at);
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
    { "old_call_does_not_open_the_breaker_again",
      test_old_call_does_not_open_the_breaker_again },
    { "away_by_failed_calls_only", test_away_by_failed_calls_only },
    { "away_since_the_start_of_the_last_failed_call",
      test_away_since_the_start_of_the_last_failed_call },
  };
  return tst_run ("plt", cases, sizeof cases / sizeof cases[0]);
}

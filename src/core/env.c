#include "core/env.h"

#include <talloc.h>

static int
_env_destroy (env_t *env)
{
  g_rand_free (env->rand);
  return 0;
}

env_t *
env_setup (void *ctx, const env_desc_t *desc)
{
  env_t *env = talloc_zero (ctx, env_t);
  env->vm = talloc_strdup (env, desc->vm);
  env->data_centre = talloc_strdup (env, desc->data_centre);
  env->address = talloc_strdup (env, desc->address ? desc->address : "");
  env->incarnation = desc->incarnation;
  env->unix_offset_ms = desc->unix_offset_ms;
  env->fx = fx_setup (env);
  env->tmr = tmr_setup (env);
  env->plt = plt_setup (env, &(plt_desc_t){ 0 });
  env->upc = upc_setup (env);
  env->rand = g_rand_new_with_seed (desc->seed);
  env->cnt = cnt_setup (env);
  env->tln = tln_setup (
      env, &(tln_desc_t){ .unix_offset_ms = desc->unix_offset_ms });
  talloc_set_destructor (env, _env_destroy);
  return env;
}

void
env_shutdown (env_t *env)
{
  talloc_free (env);
}

clk_ms_t
env_jitter (env_t *env, clk_ms_t d)
{
  return (clk_ms_t)(g_rand_double_range (env->rand, 0.75, 1.25) * (double)d);
}

clk_ms_t
env_unix_ms (const env_t *env, clk_ms_t at)
{
  return at + env->unix_offset_ms;
}

/* Bits that count within one process; the low bits of its incarnation, a time
 * in us, are above. */
#define ENV_NUMBER_BITS 20

uint64_t
env_number_base (const env_t *env)
{
  return env->incarnation << ENV_NUMBER_BITS;
}

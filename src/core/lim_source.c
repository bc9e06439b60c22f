#include "core/lim_int.h"

#include <string.h>
#include <talloc.h>

/* Tokens are borrowed in advance for the demand of this time. */
#define LIM_PREFETCH_MS 500

/* Time over which demand is averaged. */
#define LIM_DEMAND_MS (2 * CLK_SECOND)

/* Time for which a VM is passed over after a grant timed out. */
#define LIM_SKIP_MS (1 * CLK_SECOND)

/* Add the first two VMs of DATA_CENTRE for C as sources, without this VM. */
static void
_lim_add_sources (lim_customer_t *c, const mbr_t *m, const env_t *env,
                  const char *data_centre)
{
  const char *vms[LIM_SOURCES_MAX];
  size_t n = mbr_rank (m, data_centre, MOD_LIMIT, c->name, vms, 2);
  for (size_t i = 0; i < n && c->source_count < LIM_SOURCES_MAX; i++)
    if (strcmp (vms[i], env->vm) != 0)
      c->sources[c->source_count++]
          = (lim_source_t){ .vm = vms[i], .level_at = CLK_NEVER };
}

void
lim_sources_update (lim_t *l, env_t *env, lim_customer_t *c)
{
  const mbr_t *m = l->desc.members;
  if (c->sources_generation == mbr_generation (m))
    return;
  c->sources_generation = mbr_generation (m);
  c->source_count = 0;
  if (c->sources == NULL)
    c->sources = talloc_array (c, lim_source_t, LIM_SOURCES_MAX);
  const char *first = lsh_home (l->shares, c->name);
  if (first == NULL)
    first = env->data_centre;
  _lim_add_sources (c, m, env, first);
  c->preferred_count = c->source_count;
  for (size_t i = 0; i < mbr_data_centre_count (m); i++)
    {
      const char *data_centre = mbr_data_centre_get (m, i);
      if (strcmp (data_centre, first) != 0)
        _lim_add_sources (c, m, env, data_centre);
    }
}

bool
lim_source_is_skipped (const lim_t *l, const env_t *env, const char *vm)
{
  const clk_ms_t *until = g_hash_table_lookup (l->skipped, vm);
  return until != NULL && env->now < *until;
}

void
lim_source_skip (lim_t *l, const env_t *env, const char *vm)
{
  clk_ms_t *until = g_new (clk_ms_t, 1);
  *until = env->now + LIM_SKIP_MS;
  g_hash_table_replace (l->skipped, g_strdup (vm), until);
}

/* ---- demand ---- */

/* Decaying average: each request adds to the demand, time reduces it. */
void
lim_demand_add (lim_customer_t *c, clk_ms_t now)
{
  double passed = (double)(now - c->demand_at);
  c->demand *= passed < LIM_DEMAND_MS ? 1 - passed / LIM_DEMAND_MS : 0;
  c->demand += (double)CLK_SECOND / LIM_DEMAND_MS;
  c->demand_at = now;
}

int64_t
lim_prefetch_amount (const lim_customer_t *c)
{
  double tokens = c->demand * LIM_PREFETCH_MS / CLK_SECOND;
  return tokens < 1 ? 0 : (int64_t)(tokens * (double)LBK_TOKEN);
}

int64_t
lim_target_level (const lim_customer_t *c)
{
  int64_t burst = lbk_burst (c->bucket);
  return burst > 0 ? burst : lim_prefetch_amount (c);
}

/* Estimated level of source I, on the assumption that all sources and this VM
 * mint even parts.  A VM without a report counts as full, so that it is
 * asked. */
static int64_t
_lim_source_level (const lim_customer_t *c, size_t i, clk_ms_t now)
{
  const lim_source_t *source = &c->sources[i];
  double minters = (double)c->source_count + 1;
  double full = c->depth / minters * (double)LBK_TOKEN;
  if (source->level_at == CLK_NEVER)
    return (int64_t)full;
  double minted = (double)(now - source->level_at) / CLK_SECOND * c->rate
                  / minters * (double)LBK_TOKEN;
  double level = (double)source->level + minted;
  return (int64_t)(level < full ? level : full);
}

size_t
lim_source_fullest (lim_t *l, env_t *env, const lim_customer_t *c,
                    size_t count)
{
  size_t best = count;
  int64_t best_level = -1;
  gint32 equals = 0;
  for (size_t i = 0; i < count; i++)
    {
      if (lim_source_is_skipped (l, env, c->sources[i].vm))
        continue;
      int64_t level = _lim_source_level (c, i, env->now);
      if (level < best_level)
        continue;
      equals = level > best_level ? 1 : equals + 1;
      best_level = level;
      if (equals == 1 || g_rand_int_range (env->rand, 0, equals) == 0)
        best = i;
    }
  return best;
}

void
lim_source_set_level (lim_customer_t *c, const env_t *env, const char *vm,
                      int64_t level)
{
  for (size_t i = 0; i < c->source_count; i++)
    if (strcmp (c->sources[i].vm, vm) == 0)
      {
        c->sources[i].level = level;
        c->sources[i].level_at = env->now;
      }
}

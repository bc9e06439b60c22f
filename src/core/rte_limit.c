/** @file
 * Router: the upstreams that name how many requests a second they take from
 * all VMs together.
 *
 * What an upstream says of itself holds until it says otherwise or starts
 * anew.  The platform's list may drop it and name it again meanwhile, so the
 * limits are kept apart from the upstreams in use.
 */
#include "core/inv.h"
#include "core/rte_int.h"

#include <math.h>
#include <string.h>
#include <talloc.h>

/** Largest number of upstreams whose limits are known. */
#define RTE_LIMITS_MAX 4096
/** Time after which the limit of an upstream that is not listed is dropped. */
#define RTE_LIMIT_UNLISTED_MS (60 * CLK_SECOND)

static void
_rte_limit_free (void *l)
{
  talloc_free (l);
}

static int
_rte_limit_destroy (rte_limit_t *l)
{
  g_hash_table_destroy (l->told);
  return 0;
}

GHashTable *
rte_limits_setup (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                _rte_limit_free);
}

static rte_limit_t *
_rte_limit_new (rte_t *r, const env_t *env, uint64_t born)
{
  rte_limit_t *l = talloc_zero (r, rte_limit_t);
  l->born = born;
  l->word = UPL_WORD_NONE;
  l->cold = CLD_NONE;
  l->hold = upl_hold_setup (l, env_number_base (env));
  l->told = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  talloc_set_destructor (l, _rte_limit_destroy);
  return l;
}

void
rte_limits_sweep (rte_t *r, clk_ms_t now)
{
  GHashTableIter iter;
  void *name;
  void *value;
  g_hash_table_iter_init (&iter, r->limits);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      rte_limit_t *l = value;
      const rte_upstream_t *u = g_hash_table_lookup (r->by_name, name);
      if (u != NULL && u->configured && u->born == l->born)
        l->used_at = now;
      else if (now - l->used_at > RTE_LIMIT_UNLISTED_MS)
        g_hash_table_iter_remove (&iter);
    }
}

rte_limit_t *
rte_limit_find (const rte_t *r, const rte_upstream_t *u)
{
  rte_limit_t *l = g_hash_table_lookup (r->limits, u->name);
  return l != NULL && l->born == u->born ? l : NULL;
}

rte_limit_t *
rte_limit_get (rte_t *r, const env_t *env, const rte_upstream_t *u)
{
  rte_limit_t *l = g_hash_table_lookup (r->limits, u->name);
  if (l != NULL && l->born > u->born)
    return NULL;
  if (l == NULL && g_hash_table_size (r->limits) >= RTE_LIMITS_MAX)
    return NULL;
  if (l == NULL || l->born != u->born)
    {
      l = _rte_limit_new (r, env, u->born);
      g_hash_table_replace (r->limits, g_strdup (u->name), l);
    }
  l->used_at = env->now;
  return l;
}

static void
_rte_limit_log (env_t *env, const rte_upstream_t *u, const upl_word_t *word,
                const char *source)
{
  if (upl_word_is_limit (word))
    tln_record (env->tln, env->now, MOD_ROUTE, "limit-named",
                "upstream=%s born=%llu per_s=%g age_ms=%lld source=%s",
                u->name, (unsigned long long)u->born, word->per_s,
                (long long)(env->now - word->said_at), source);
  else
    tln_record (env->tln, env->now, MOD_ROUTE, "limit-ended",
                "upstream=%s born=%llu age_ms=%lld source=%s", u->name,
                (unsigned long long)u->born,
                (long long)(env->now - word->said_at), source);
}

/** Logs once for each start of U that it has named a limit without a
 * meaning. */
static void
_rte_limit_malformed (rte_t *r, env_t *env, const rte_upstream_t *u,
                      const ev_limit_t *limit)
{
  rte_limit_t *l = rte_limit_get (r, env, u);
  cnt_add (env->cnt, "rts_route_limits_malformed_total", "", 1);
  if (l == NULL || l->malformed_logged)
    return;
  l->malformed_logged = true;
  tln_record (env->tln, env->now, MOD_ROUTE, "limit-malformed",
              "upstream=%s value=%.32s", u->name,
              limit->text == NULL ? "" : limit->text);
}

void
rte_limit_word (rte_t *r, env_t *env, const rte_upstream_t *u,
                const upl_word_t *word, clk_ms_t doubt, const char *source)
{
  /* An upstream that never named a limit needs no entry. */
  if (!upl_word_is_limit (word) && rte_limit_find (r, u) == NULL)
    return;
  rte_limit_t *l = rte_limit_get (r, env, u);
  if (l == NULL || upl_word_merge (&l->word, word, doubt) != UPL_CHANGED)
    return;
  _rte_limit_log (env, u, &l->word, source);
  l->untold = true;
  rte_limit_arm (r, env, env->now);
}

void
rte_limit_said (rte_t *r, env_t *env, const rte_upstream_t *u,
                const ev_limit_t *limit, clk_ms_t sent_at, clk_ms_t said_at,
                const char *source)
{
  upl_word_t word
      = { .per_s = INFINITY, .sent_at = sent_at, .said_at = said_at };
  switch (limit->kind)
    {
    case EV_LIMIT_UNKNOWN:
      return;
    case EV_LIMIT_MALFORMED:
      _rte_limit_malformed (r, env, u, limit);
      return;
    case EV_LIMIT_NAMED:
      cnt_add (env->cnt, "rts_route_limit_answers_total", "", 1);
      if (limit->per_s < UPL_PER_S_MAX)
        word.per_s = limit->per_s;
      break;
    case EV_LIMIT_ABSENT:
      break;
    }
  rte_limit_word (r, env, u, &word, 0, source);
}

void
rte_limit_reported (rte_t *r, env_t *env, const rte_upstream_t *u,
                    const ev_limit_t *limit, clk_ms_t sent_at,
                    clk_ms_t said_at)
{
  rte_limit_t *l = rte_limit_find (r, u);
  /* Reports of an upstream that names its limit in answers alone say
   * nothing of it. */
  if (limit->kind == EV_LIMIT_ABSENT && (l == NULL || !l->reported))
    return;
  rte_limit_said (r, env, u, limit, sent_at, said_at, "report");
  l = rte_limit_find (r, u);
  if (l != NULL && limit->kind == EV_LIMIT_NAMED)
    l->reported = true;
}

/* -- requests -------------------------------------------------------------
 */

rte_limit_t *
rte_limit_in_force (const rte_t *r, const env_t *env, const rte_upstream_t *u)
{
  upl_plan_t plan;
  if (g_hash_table_size (r->limits) == 0)
    return NULL;
  rte_limit_t *l = rte_limit_find (r, u);
  return l != NULL && rte_limit_plan (r, env, u, l, &plan) ? l : NULL;
}

/** Time without a word after which RTE_PROBE_PER_S is minted at least, so that
 * a limit of nothing is not for ever. */
#define RTE_WORD_SILENT_MS (4 * CLK_SECOND)
#define RTE_PROBE_PER_S 0.2

bool
rte_limit_plan (const rte_t *r, const env_t *env, const rte_upstream_t *u,
                const rte_limit_t *l, upl_plan_t *plan)
{
  bool cold = rte_cold_plan (r, env, u, l, plan);
  if (!upl_word_is_limit (&l->word))
    return cold;
  double per_s = l->word.per_s;
  if (env->now - l->word.said_at > RTE_WORD_SILENT_MS)
    per_s = fmax (per_s, RTE_PROBE_PER_S);
  upl_plan_t named = upl_plan_limit (per_s);
  *plan = cold ? upl_plan_lower (&named, plan) : named;
  return true;
}

static upl_class_t
_rte_limit_class (const rte_query_t *query)
{
  return query->batch ? UPL_ITEM : UPL_ONLINE;
}

bool
rte_limit_admits (const rte_t *r, const env_t *env, const rte_upstream_t *u,
                  const rte_query_t *query)
{
  const rte_limit_t *l = rte_limit_in_force (r, env, u);
  return l == NULL
         || upl_hold_has (l->hold, env->now, _rte_limit_class (query));
}

bool
rte_limit_has_spare (const rte_t *r, const env_t *env, const rte_upstream_t *u)
{
  const rte_limit_t *l = rte_limit_in_force (r, env, u);
  return l != NULL && upl_hold_tokens (l->hold, env->now, UPL_ITEM) > 0;
}

static void
_rte_limit_want_class (rte_t *r, env_t *env, const rte_upstream_t *u,
                       upl_class_t class)
{
  rte_limit_t *l = rte_limit_in_force (r, env, u);
  if (l == NULL)
    return;
  upl_hold_want (l->hold, env->now, class);
  l->passed[class]++;
  if (u->mint != NULL && upl_hold_due_at (l->hold, env->now) <= env->now)
    rte_limit_arm (r, env, env->now);
}

void
rte_limit_want (rte_t *r, env_t *env, const rte_upstream_t *u,
                const rte_query_t *query)
{
  _rte_limit_want_class (r, env, u, _rte_limit_class (query));
}

void
rte_limit_want_spare (rte_t *r, env_t *env, const rte_upstream_t *u)
{
  _rte_limit_want_class (r, env, u, UPL_ITEM);
}

void
rte_limit_charge (rte_t *r, env_t *env, const rte_upstream_t *u,
                  const rte_query_t *query)
{
  rte_limit_t *l = rte_limit_in_force (r, env, u);
  if (l == NULL)
    return;
  upl_class_t class = _rte_limit_class (query);
  if (upl_hold_tokens (l->hold, env->now, class) == 0)
    class = UPL_ITEM;
  upl_hold_want (l->hold, env->now, class);
  bool taken = upl_hold_take (l->hold, env->now, class);
  INV_CHECK (taken, "route-limit-has-token", "upstream %s", u->name);
  l->sent[class]++;
  if (rte_cold_ms (r, env, u) > 0)
    cnt_add (env->cnt, "rts_route_cold_requests_total", "", 1);
  cnt_add (env->cnt, "rts_route_limit_tokens_used_total",
           class == UPL_ONLINE ? "class=\"online\"" : "class=\"item\"", 1);
  if (u->mint != NULL)
    rte_limit_arm (r, env, env->now);
}

void
rte_limit_turn_add (const rte_t *r, const env_t *env, const rte_upstream_t *u,
                    const rte_query_t *query, rte_pick_t *pick)
{
  const rte_limit_t *l = rte_limit_in_force (r, env, u);
  upl_turn_t turn
      = upl_hold_turn (l->hold, env->now, _rte_limit_class (query));
  pick->limited = true;
  if (turn.gap_ms <= 0)
    return;
  pick->limit_wait_ms = pick->limit_per_s > 0
                            ? clk_min (pick->limit_wait_ms, turn.wait_ms)
                            : turn.wait_ms;
  pick->limit_per_s += (double)CLK_SECOND / (double)turn.gap_ms;
}

double
rte_limit_status (const rte_t *r, const env_t *env, const rte_upstream_t *u,
                  uint32_t *tokens)
{
  const rte_limit_t *l = rte_limit_in_force (r, env, u);
  upl_plan_t plan;
  *tokens = 0;
  if (l == NULL || !rte_limit_plan (r, env, u, l, &plan))
    return -1;
  for (int c = 0; c < UPL_CLASS_NUM; c++)
    *tokens += upl_hold_tokens (l->hold, env->now, (upl_class_t)c);
  return plan.per_s;
}

/** @file
 * Router: cold upstreams, which take few requests a second until they are
 * warm (cld.h).
 *
 * What is known of a cold upstream is kept beside its limit (rte_limit.c),
 * whose tokens bound what all VMs send it together.
 */
#include "core/mpk.h"
#include "core/rte_int.h"

#include <math.h>
#include <string.h>

/** A cold time that ends this much later or earlier than it was known is news
 * for other VMs.  Below are the ways of messages and responses. */
#define RTE_COLD_NEWS_MS ((clk_ms_t)500)
/** Largest age in a message that is taken as it is. */
#define RTE_COLD_AGE_MAX ((uint64_t)CLK_HOUR)

/* -- deployments ----------------------------------------------------------
 */

void
rte_cold_deployment_set (const rte_t *r, env_t *env, rte_deployment_t *d,
                         const cfg_deployment_t *dep)
{
  if (r->desc.cold_overshoot <= 0)
    return;
  bool good = dep->cold_start_ms >= 0 && dep->cold_per_s >= 0;
  if (good)
    {
      d->cold_start_ms = clk_min (dep->cold_start_ms, CLD_MS_MAX);
      d->cold_per_s = dep->cold_per_s;
    }
  else if (!d->cold_logged)
    tln_record (env->tln, env->now, MOD_ROUTE, "cold-rate-malformed",
                "deployment=%s kept_per_s=%g kept_start_ms=%lld", d->name,
                d->cold_per_s, (long long)d->cold_start_ms);
  d->cold_logged = !good;
}

static bool
_rte_cold_is_treated (const rte_t *r, const rte_upstream_t *u)
{
  return r->desc.cold_overshoot > 0 && u->cold_per_s > 0;
}

/* -- words ----------------------------------------------------------------
 */

/** Logs that L's upstream U is cold now, or no longer. */
static void
_rte_cold_phase_log (env_t *env, const rte_upstream_t *u, rte_limit_t *l,
                     const char *source)
{
  cld_phase_t phase = cld_phase (&l->cold, env->now);
  bool was_cold = l->cold_phase == CLD_COLD;
  l->cold_phase = phase;
  if ((phase == CLD_COLD) == was_cold)
    return;
  const cld_word_t *w = &l->cold.words[cld_source (&l->cold)];
  cnt_add (env->cnt,
           was_cold ? "rts_route_cold_ended_total"
                    : "rts_route_cold_begun_total",
           "", 1);
  tln_record (env->tln, env->now, MOD_ROUTE,
              was_cold ? "cold-ends" : "cold-begins",
              "upstream=%s born=%llu per_s=%g remaining_ms=%lld by=%s "
              "source=%s age_ms=%lld",
              u->name, (unsigned long long)u->born, u->cold_per_s,
              (long long)clk_max (w->until - env->now, 0),
              cld_source_name (cld_source (&l->cold)), source,
              (long long)(env->now - w->at));
}

/** Takes the word of BY that U is cold for MS more, said at AT; SOURCE is for
 * the log.  Returns whether it is news for other VMs. */
static bool
_rte_cold_word (rte_t *r, env_t *env, const rte_upstream_t *u, cld_source_t by,
                clk_ms_t ms, clk_ms_t at, const char *source)
{
  /* An upstream that was never cold needs no entry. */
  if (!_rte_cold_is_treated (r, u)
      || (ms <= 0 && rte_limit_find (r, u) == NULL))
    return false;
  rte_limit_t *l = rte_limit_get (r, env, u);
  if (l == NULL)
    return false;
  clk_ms_t before = cld_until (&l->cold);
  if (!cld_word_take (&l->cold, by, ms, at))
    return false;
  clk_ms_t after = cld_until (&l->cold);
  _rte_cold_phase_log (env, u, l, source);
  rte_limit_arm (r, env, env->now);
  return clk_max (before, after) > env->now
         && llabs (after - before) > RTE_COLD_NEWS_MS;
}

/** Logs once for each start of U that a cold time of it has no meaning. */
static void
_rte_cold_malformed (rte_t *r, env_t *env, const rte_upstream_t *u,
                     const char *source, const char *text)
{
  if (!_rte_cold_is_treated (r, u))
    return;
  rte_limit_t *l = rte_limit_get (r, env, u);
  cnt_add (env->cnt, "rts_route_cold_malformed_total", "", 1);
  if (l == NULL || l->cold_malformed_logged)
    return;
  l->cold_malformed_logged = true;
  tln_record (env->tln, env->now, MOD_ROUTE, "cold-malformed",
              "upstream=%s source=%s value=%.32s kept_ms=%lld", u->name,
              source, text == NULL ? "" : text,
              (long long)clk_max (cld_until (&l->cold) - env->now, 0));
}

void
rte_cold_upstream_set (rte_t *r, env_t *env, rte_upstream_t *u,
                       const rte_deployment_t *d)
{
  u->cold_start_ms = d->cold_start_ms;
  u->cold_per_s = d->cold_per_s;
  if (!_rte_cold_is_treated (r, u) || u->born == 0)
    return;
  const rte_limit_t *l = rte_limit_find (r, u);
  if (l != NULL && l->cold.words[CLD_START].at >= 0)
    return;
  /* A start in the future, by a clock that is fast, counts as one of now. */
  clk_ms_t age = env_unix_ms (env, env->now) - (clk_ms_t)u->born;
  clk_ms_t left = u->cold_start_ms - clk_max (age, 0);
  (void)_rte_cold_word (r, env, u, CLD_START, clk_max (left, 0), env->now,
                        "start");
}

void
rte_listed_cold (rte_t *r, env_t *env, const dir_cold_t *cold)
{
  const rte_upstream_t *u = g_hash_table_lookup (r->by_name, cold->upstream);
  if (u == NULL || u->born != cold->born)
    return;
  if (cold->ms < 0)
    _rte_cold_malformed (r, env, u, "list", NULL);
  else
    (void)_rte_cold_word (r, env, u, CLD_LIST, cold->ms, cold->at, "list");
}

void
rte_cold_said (rte_t *r, env_t *env, const rte_upstream_t *u,
               const ev_cold_t *cold, clk_ms_t said_at, const char *source)
{
  bool from_mint = u->mint != NULL && strcmp (source, u->mint) == 0;
  switch (cold->kind)
    {
    case EV_COLD_UNKNOWN:
      return;
    case EV_COLD_MALFORMED:
      _rte_cold_malformed (r, env, u, source, cold->text);
      return;
    case EV_COLD_STATED:
      break;
    }
  /* The VM with the mint has told it to all that use U. */
  if (_rte_cold_word (r, env, u, CLD_SAID, cold->ms, said_at, source)
      && !from_mint)
    rte_limit_find (r, u)->cold_untold = true;
}

/* -- messages -------------------------------------------------------------
 */

void
rte_cold_write (mpk_writer_t *w, const env_t *env, const rte_upstream_t *u,
                const rte_limit_t *l)
{
  const cld_word_t *word = &l->cold.words[CLD_SAID];
  mpk_put_str (w, buf_str (u->name));
  mpk_put_uint (w, u->born);
  mpk_put_uint (w, (uint64_t)word->ms);
  mpk_put_uint (w, (uint64_t)clk_max (env->now - word->at, 0));
}

/** Reads the entries of a message of VM; APPLY: takes them.  False: it is
 * malformed. */
static bool
_rte_cold_read (rte_t *r, env_t *env, const char *vm, mpk_reader_t *in,
                bool apply)
{
  while (mpk_more (in))
    {
      buf_t name = mpk_get_str (in);
      uint64_t born = mpk_get_uint (in);
      uint64_t ms = mpk_get_uint (in);
      uint64_t age = mpk_get_uint (in);
      if (in->failed || name.p == NULL || ms > EV_COLD_MS_MAX
          || age > RTE_COLD_AGE_MAX)
        return false;
      const rte_upstream_t *u = g_hash_table_lookup (r->by_name, name.p);
      ev_cold_t cold = { .kind = EV_COLD_STATED, .ms = (clk_ms_t)ms };
      if (apply && u != NULL && u->born == born)
        rte_cold_said (r, env, u, &cold, env->now - (clk_ms_t)age, vm);
    }
  return mpk_end (in);
}

bool
rte_cold_received (rte_t *r, env_t *env, const char *vm, const msg_t *msg,
                   void *ctx)
{
  mpk_reader_t in = mpk_reader (ctx, msg->body);
  mpk_reader_t again = mpk_reader (ctx, msg->body);
  return _rte_cold_read (r, env, vm, &in, false)
         && _rte_cold_read (r, env, vm, &again, true);
}

/* -- requests -------------------------------------------------------------
 */

bool
rte_cold_plan (const rte_t *r, const env_t *env, const rte_upstream_t *u,
               const rte_limit_t *l, upl_plan_t *plan)
{
  return _rte_cold_is_treated (r, u)
         && cld_plan (&l->cold,
                      &(cld_rule_t){ .per_s = u->cold_per_s,
                                     .overshoot = r->desc.cold_overshoot,
                                     .slack = r->desc.cold_slack },
                      env->now, plan);
}

bool
rte_cold_alone (const rte_t *r, const env_t *env, const rte_upstream_t *u)
{
  upl_plan_t plan;
  const rte_limit_t *l = rte_limit_find (r, u);
  return l != NULL && !upl_word_is_limit (&l->word)
         && rte_cold_plan (r, env, u, l, &plan);
}

clk_ms_t
rte_cold_ms (const rte_t *r, const env_t *env, const rte_upstream_t *u)
{
  const rte_limit_t *l = rte_limit_find (r, u);
  if (l == NULL || !_rte_cold_is_treated (r, u))
    return 0;
  return clk_max (cld_until (&l->cold) - env->now, 0);
}

clk_ms_t
rte_cold_step (const rte_t *r, env_t *env, const rte_upstream_t *u,
               rte_limit_t *l)
{
  if (!_rte_cold_is_treated (r, u))
    return CLK_NEVER;
  _rte_cold_phase_log (env, u, l, "time");
  upl_hold_demand_set (l->hold, l->cold_phase == CLD_COLD ? CLD_DEMAND_MS
                                                          : UPL_DEMAND_MS);
  return cld_next_at (&l->cold, env->now);
}

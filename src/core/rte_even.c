/** @file
 * Router: what upstreams state of their load in responses, and the estimates
 * by which requests are spread evenly.
 */
#include "core/rte_int.h"

#include <math.h>

/** Time after the last response that stated a load for which RTE_EVEN_AUTO
 * stays in force. */
#define RTE_STATED_MS (60 * CLK_SECOND)
/** Time that a request takes to its upstream and the statement back, at
 * most: a request that was sent later is not in the statement. */
#define RTE_ROUND_TRIP_MS 2
/** Period of the line in the log on the spread of a deployment. */
#define RTE_EVEN_LOG_MS (5 * CLK_SECOND)

/** Counts a load without a meaning, and logs the first of each start of U. */
static void
_rte_load_malformed (env_t *env, rte_upstream_t *u, const ev_load_t *load)
{
  cnt_add (env->cnt, "rts_route_load_malformed_total", "", 1);
  if (u->load_malformed_logged)
    return;
  u->load_malformed_logged = true;
  tln_record (env->tln, env->now, MOD_ROUTE, "load-malformed",
              "upstream=%s value=%.32s", u->name,
              load->text == NULL ? "" : load->text);
}

/** Takes the poller's count of U into the estimate.  The VMs' counts that it
 * sums up are as old as the period of their messages. */
static void
_rte_counted_take (const rte_t *r, rte_upstream_t *u, clk_ms_t now)
{
  uint32_t own = u->online + u->batch;
  if (u->others_at > 0)
    lod_counted (&u->lod, rte_known_load (u, now) - own, u->own_at_update,
                 u->others_at - r->desc.exchange_ms);
}

/** This VM's requests that have reached U. */
static uint32_t
_rte_own_arrived (const rte_upstream_t *u, clk_ms_t now)
{
  uint32_t own = u->online + u->batch;
  for (const GList *l = u->unanswered.tail; l != NULL && own > 0; l = l->prev)
    {
      if (now - ((const rte_inflight_t *)l->data)->sent_at
          >= RTE_ROUND_TRIP_MS)
        break;
      own--;
    }
  return own;
}

void
rte_load_stated (rte_t *r, env_t *env, rte_upstream_t *u,
                 const ev_load_t *load)
{
  if (load->kind == EV_LOAD_MALFORMED)
    _rte_load_malformed (env, u, load);
  if (load->kind != EV_LOAD_STATED)
    return;
  cnt_add (env->cnt, "rts_route_load_stated_total", "", 1);
  rte_deployment_t *d = g_hash_table_lookup (r->deployments, u->deployment);
  if (d == NULL)
    return;
  d->stated_at = env->now;
  _rte_counted_take (r, u, env->now);
  lod_said_t said = { .total = load->running + load->waiting,
                      .own = _rte_own_arrived (u, env->now),
                      .pace = load->pace / 100.0,
                      .at = env->now,
                      .busy_ms = d->busy_ms };
  lod_taken_t taken = lod_stated (&u->lod, &said, env->now);
  if (taken == LOD_TAKEN || taken == LOD_OLDER)
    return;
  cnt_add (env->cnt, "rts_route_load_contradicted_total", "", 1);
  if (taken == LOD_DISTRUSTED)
    tln_record (env->tln, env->now, MOD_ROUTE, "load-distrusted",
                "upstream=%s stated=%u own=%u others=%u", u->name, said.total,
                said.own, u->lod.counted.others);
}

bool
rte_even_applies (const rte_t *r, const env_t *env, const rte_deployment_t *d)
{
  switch (r->desc.even_load)
    {
    case RTE_EVEN_ON:
      return true;
    case RTE_EVEN_OFF:
      return false;
    case RTE_EVEN_AUTO:
      break;
    }
  return d->stated_at > 0 && env->now - d->stated_at < RTE_STATED_MS
         && mbr_vm_count (r->desc.members) >= RTE_EVEN_VMS_MIN;
}

/** Whether this VM's requests are spread over U.  Upstreams that get nothing
 * new are left out: their load says nothing of what the others have. */
static bool
_rte_even_uses (const rte_upstream_t *u, clk_ms_t now)
{
  return u->in_subset && !rte_gets_nothing_new (u, now);
}

double
rte_even_mean (const rte_t *r, const env_t *env, const rte_deployment_t *d)
{
  double sum = 0;
  unsigned n = 0;
  for (guint i = 0; i < d->upstreams->len; i++)
    {
      rte_upstream_t *u = g_ptr_array_index (d->upstreams, i);
      lod_source_t source;
      if (!_rte_even_uses (u, env->now))
        continue;
      _rte_counted_take (r, u, env->now);
      uint32_t others
          = lod_others (&u->lod, env->now, &r->desc.even_rules, &source);
      if (source == LOD_NONE)
        continue;
      sum += others;
      n++;
    }
  return n == 0 ? 0 : sum / n;
}

lod_estimate_t
rte_even_estimate (const rte_t *r, const env_t *env, const rte_deployment_t *d,
                   rte_upstream_t *u, double mean)
{
  _rte_counted_take (r, u, env->now);
  lod_estimate_t e = lod_estimate (
      &u->lod, &(lod_query_t){ .now = env->now,
                               .own = u->online + u->batch,
                               .mean = mean,
                               .users = u->vm_count > 0 ? u->vm_count - 1 : 0,
                               .busy_ms = d->busy_ms,
                               .rules = &r->desc.even_rules });
  if (e.source == LOD_NONE)
    e.load = rte_estimated_load (u, env->now);
  return e;
}

static const char *const _rte_source_names[] = { "none", "counted", "stated" };
static const char *const _rte_choice_names[]
    = { "drain", "least", "two", "three" };

void
rte_even_note (const rte_t *r, env_t *env, rte_deployment_t *d, double mean,
               const lod_estimate_t *chosen)
{
  char label[32];
  (void)g_snprintf (label, sizeof label, "source=\"%s\"",
                    _rte_source_names[chosen->source]);
  cnt_add (env->cnt, "rts_route_even_picks_total", label, 1);
  if (d->even_logged_at > 0 && env->now < d->even_logged_at + RTE_EVEN_LOG_MS)
    return;
  d->even_logged_at = env->now;
  double sum = 0;
  double fullest = 0;
  unsigned n = 0;
  unsigned idle = 0;
  clk_ms_t oldest = 0;
  for (guint i = 0; i < d->upstreams->len; i++)
    {
      rte_upstream_t *u = g_ptr_array_index (d->upstreams, i);
      if (!_rte_even_uses (u, env->now))
        continue;
      lod_estimate_t e = rte_even_estimate (r, env, d, u, mean);
      sum += e.load;
      fullest = fmax (fullest, e.load);
      idle += e.load < 1;
      oldest = clk_max (oldest, e.age);
      n++;
    }
  tln_record (env->tln, env->now, MOD_ROUTE, "even-load",
              "deployment=%s upstreams=%u fullest=%.1f mean=%.1f idle=%u "
              "oldest_ms=%lld chosen_ms=%lld source=%s choice=%s",
              d->name, n, fullest, n == 0 ? 0 : sum / n, idle,
              (long long)oldest, (long long)chosen->age,
              _rte_source_names[chosen->source],
              _rte_choice_names[r->desc.even_rules.choice]);
}

/** @file
 * Router: health of an upstream, judged by the outcome of this VM's own
 * requests (charts/upstream.ini).
 */
#include "core/inv.h"
#include "core/rte_int.h"

/** Time without a failure after which the failure count starts at 0 again. */
#define RTE_FAILURES_RESET_MS (30 * CLK_SECOND)
/** Maximum number of doublings of rte_desc_t.suspect_ms. */
#define RTE_DOUBLINGS_MAX 10

/** Actions of charts/upstream.ini. */
enum
{
  RTE_DO_LEAVE_OUT,
  RTE_DO_NUM
};

cht_t *
rte_health_setup (void *ctx)
{
  static const char *const states[RTE_HEALTH_NUM]
      = { "well", "suspected", "proving" };
  static const char *const events[RTE_EV_NUM] = { "answer", "fail", "lapse" };
  static const char *const actions[RTE_DO_NUM] = { "leave-out" };
  st_t st = { 0 };
  cht_t *c = cht_setup (ctx,
                        &(cht_desc_t){ .text = cht_text ("upstream"),
                                       .states = states,
                                       .state_count = RTE_HEALTH_NUM,
                                       .events = events,
                                       .event_count = RTE_EV_NUM,
                                       .actions = actions,
                                       .action_count = RTE_DO_NUM },
                        &st);
  INV_CHECK (c != NULL, "chart-is-good", "upstream: %s", st.message);
  return c;
}

/** Returns true when the transition carries an action. */
static bool
_rte_health_fire (const rte_t *r, rte_upstream_t *u, rte_health_event_t event)
{
  cht_step_t step = cht_fire (r->health_chart, (int)u->health, (int)event, 0);
  u->health = (rte_health_t)step.next;
  return step.action_count > 0;
}

void
rte_health_lapse (const rte_t *r, rte_upstream_t *u, clk_ms_t now)
{
  if (now >= u->suspect_until)
    (void)_rte_health_fire (r, u, RTE_EV_LAPSE);
}

void
rte_health_response (const rte_t *r, rte_upstream_t *u, clk_ms_t now)
{
  rte_health_lapse (r, u, now);
  (void)_rte_health_fire (r, u, RTE_EV_ANSWER);
}

void
rte_forgive (rte_t *r, env_t *env, clk_ms_t since)
{
  unsigned forgiven = 0;
  for (tbl_id_t id = tbl_next (r->upstreams, (tbl_id_t){ 0 }); id.id != 0;
       id = tbl_next (r->upstreams, id))
    {
      rte_upstream_t *u = tbl_get (r->upstreams, id);
      if (u->poll != NULL)
        {
          u->poll->failed_polls = 0;
          u->state &= ~(uint32_t)RTE_BIT_SILENT;
        }
      if (u->health == RTE_WELL || u->failed_at < since)
        continue;
      u->suspect_until = env->now;
      u->failures = 0;
      rte_health_response (r, u, env->now);
      forgiven++;
    }
  tln_record (env->tln, env->now, MOD_ROUTE, "forgiven", "upstreams=%u",
              forgiven);
}

void
rte_health_fail (const rte_t *r, env_t *env, rte_upstream_t *u)
{
  rte_health_lapse (r, u, env->now);
  if (env->now - u->failed_at > RTE_FAILURES_RESET_MS)
    u->failures = 0;
  u->failed_at = env->now;
  /* Requests that fail together count as one failure: while suspected, a
   * further failure has no action. */
  if (!_rte_health_fire (r, u, RTE_EV_FAIL))
    return;
  unsigned doublings
      = u->failures < RTE_DOUBLINGS_MAX ? u->failures : RTE_DOUBLINGS_MAX;
  clk_ms_t suspect_ms
      = clk_min (r->desc.suspect_ms << doublings, r->desc.suspect_max_ms);
  u->failures++;
  u->suspect_until = env->now + env_jitter (env, suspect_ms);
  cnt_add (env->cnt, "rts_route_suspected_total", "", 1);
  tln_record (env->tln, env->now, MOD_ROUTE, "suspect",
              "upstream=%s failures=%u away_ms=%lld", u->name, u->failures,
              (long long)suspect_ms);
}

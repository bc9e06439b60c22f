/** @file
 * Router: what upstreams state of their load in responses.
 */
#include "core/rte_int.h"

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

void
rte_load_stated (rte_t *r, env_t *env, rte_upstream_t *u,
                 const ev_load_t *load)
{
  (void)r;
  if (load->kind == EV_LOAD_MALFORMED)
    _rte_load_malformed (env, u, load);
  if (load->kind != EV_LOAD_STATED)
    return;
  cnt_add (env->cnt, "rts_route_load_stated_total", "", 1);
}

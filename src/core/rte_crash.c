/** @file
 * Router: what the crashes' module (crs.h) is told of upstreams.
 */
#include "core/rte_int.h"

/** Time after an upstream that ended was dropped from the document in which
 * its connections are seen to break. */
#define RTE_DROPPED_MS ((clk_ms_t)CLK_SECOND)

/** Misdirected Request (RFC 9110). */
#define RTE_STATUS_MISDIRECTED 421

/** Notes which upstreams the document no longer names. */
static void
_rte_dropped_note (const rte_t *r, clk_ms_t now)
{
  for (tbl_id_t id = tbl_next (r->upstreams, (tbl_id_t){ 0 }); id.id != 0;
       id = tbl_next (r->upstreams, id))
    {
      rte_upstream_t *u = tbl_get (r->upstreams, id);
      if (!u->configured && u->was_configured)
        u->dropped_at = now;
      u->was_configured = u->configured;
    }
}

void
rte_crash_listed (const rte_t *r, env_t *env, const cfg_doc_t *doc)
{
  crs_t *crashes = r->desc.crashes;
  _rte_dropped_note (r, env->now);
  if (crashes == NULL)
    return;
  crs_listed_begin (crashes);
  for (size_t i = 0; i < doc->upstream_count; i++)
    crs_listed (crashes, doc->upstreams[i].name, doc->upstreams[i].born);
  crs_listed_end (crashes, env);
}

void
rte_answered (rte_t *r, env_t *env, uint64_t handle, bool proved)
{
  if (r->desc.crashes != NULL)
    crs_run_end (r->desc.crashes, env, handle,
                 proved ? CRS_END_WHOLE : CRS_END_UNPROVED);
}

void
rte_progress (rte_t *r, env_t *env, uint64_t handle)
{
  if (r->desc.crashes != NULL)
    crs_run_progress (r->desc.crashes, env, handle);
}

rte_fail_t
rte_not_run_fail (int status)
{
  return status == RTE_STATUS_MISDIRECTED ? RTE_FAIL_MISDIRECTED
                                          : RTE_FAIL_CANCELLED;
}

crs_end_t
rte_crash_end (const rte_upstream_t *u, rte_fail_t fail, clk_ms_t now)
{
  if (fail == RTE_FAIL_UNSENT)
    return CRS_END_UNSENT;
  if (fail == RTE_FAIL_MISDIRECTED)
    return CRS_END_MISDIRECTED;
  bool listed = u->configured || now - u->dropped_at <= RTE_DROPPED_MS;
  if (fail == RTE_FAIL_CLOSED && listed && !rte_gets_nothing_new (u, now))
    return CRS_END_CLOSED;
  return CRS_END_OTHER;
}

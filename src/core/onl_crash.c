/** @file
 * Online requests that may end upstreams: what of a request may be to blame,
 * and whether it may be sent.
 */
#include "core/onl_int.h"

#include <string.h>
#include <talloc.h>

/** A request waits this part of its target time for a permit: a refusal must
 * leave the caller the time to be served elsewhere. */
#define ONL_PERMIT_PART 2
/** After which a caller may ask again whose request has waited so long, and
 * the time over which these are spread. */
#define ONL_PERMIT_RETRY_MS (CLK_SECOND / 4)

void
onl_crash_fill (onl_request_t *r, const ev_request_t *req)
{
  size_t n = MIN (req->meta.part_count, CRS_SUBJECTS_MAX - 1);
  uint64_t *subjects = talloc_array (r->pool, uint64_t, n + 1);
  if (n > 0)
    memcpy (subjects, req->meta.parts, n * sizeof *subjects);
  subjects[n++]
      = crs_request_hash (r->customer, r->method, r->target, r->body);
  r->crash = (crs_query_t){
    .mod = MOD_ONLINE,
    .tag = r->id.id,
    .request_id = r->request_id,
    .subjects = subjects,
    .subject_count = n,
    .has_request = true,
  };
}

rte_fail_t
onl_crash_fail (onl_request_t *r, bool closed)
{
  if (!closed)
    return RTE_FAIL_TRUNCATED;
  /* What answers before that may end an upstream too, but less likely. */
  if (!r->delivered && r->response.received == 0)
    r->crash.has_ended_one = true;
  return RTE_FAIL_CLOSED;
}

/** Until when R waits for a permit. */
static clk_ms_t
_onl_permit_patience_end (const onl_request_t *r)
{
  if (r->target_ms == 0 || r->runs > 0)
    return r->leave_by;
  return clk_min (r->leave_by, r->arrived + r->target_ms / ONL_PERMIT_PART);
}

static onl_gate_t
_onl_refuse_suspected (onl_t *o, env_t *env, onl_request_t *r,
                       clk_ms_t retry_ms)
{
  onl_refuse (o, env, r,
              &(rpl_error_t){ .status = r->runs > 0 ? 502 : 503,
                              .code = "ends-upstreams",
                              .message = "upstreams have ended under this "
                                         "request, or under others that "
                                         "share a part with it",
                              .retry_after_ms = retry_ms });
  return ONL_GATE_CLOSED;
}

onl_gate_t
onl_crash_gate (onl_t *o, env_t *env, onl_request_t *r)
{
  crs_t *crashes = o->desc.crashes;
  clk_ms_t retry_ms = 0;
  if (crashes == NULL)
    return ONL_GATE_OPEN;
  if (r->crash.has_ended_one
      && crs_is_checking (crashes, MOD_ONLINE, r->id.id))
    return ONL_GATE_WAIT;
  r->crash.permit_ms = clk_max (r->deadline - env->now, 1);
  switch (crs_may_send (crashes, env, &r->crash, &retry_ms))
    {
    case CRS_SEND:
      return ONL_GATE_OPEN;
    case CRS_WAIT:
      if (env->now < _onl_permit_patience_end (r))
        return ONL_GATE_WAIT;
      retry_ms = env_jitter (env, ONL_PERMIT_RETRY_MS);
      break;
    case CRS_REFUSE:
      break;
    }
  return _onl_refuse_suspected (o, env, r, retry_ms);
}

/** @file
 * Versions of streams: an upstream's stream goes on only at the version of the
 * software that began it, in one response and when its caller takes it up.
 */
#include "core/onl_int.h"

#include <string.h>
#include <talloc.h>

/** After which a caller may ask again whose stream's beginning is not known.
 */
#define ONL_UNKNOWN_RETRY_MS (CLK_SECOND / 4)
/** By which the list of upstreams may lag behind them. */
#define ONL_LIST_LAG_MS (5 * CLK_SECOND)
/** Time after which no caller takes up a stream that began at a version that
 * the list no longer named: the one for which origins are kept. */
#define ONL_SOLE_MS (STV_KEEP_MS + ONL_LIST_LAG_MS)

/** Whether the upstreams of any deployment to which R may be sent have
 * versions, or may have: none of it has been listed yet. */
static bool
_onl_may_have_versions (const onl_t *o, const onl_request_t *r)
{
  for (size_t i = 0; i < r->deployment_count; i++)
    if (rte_may_have_versions (o->desc.routes, r->deployments[i]))
      return true;
  return false;
}

void
onl_take_up_fill (onl_t *o, onl_request_t *r, const cfg_route_t *route)
{
  r->begins = r->resume_after == NULL;
  if (r->begins || !r->resumable || o->desc.streams == NULL)
    return;
  r->deployment_count = MAX (route->share_count, 1);
  r->deployments = talloc_array (r->pool, const char *, r->deployment_count);
  r->deployments[0] = talloc_strdup (r->deployments, route->deployment);
  for (size_t i = 0; i < route->share_count; i++)
    r->deployments[i]
        = talloc_strdup (r->deployments, route->shares[i].deployment);
  r->takes_up = _onl_may_have_versions (o, r);
}

const char *
onl_version_wanted (const onl_t *o, const env_t *env, const onl_request_t *r)
{
  if (!r->bound)
    return NULL;
  const char *sole
      = rte_sole_version (o->desc.routes, env, r->deployment->name, 0);
  return g_strcmp0 (sole, r->version) == 0 ? NULL : r->version;
}

/** Let R, which is bound to VERSION, queue. */
static void
_onl_bound (onl_t *o, env_t *env, onl_request_t *r, const char *version)
{
  r->bound = true;
  r->version = talloc_strdup (r->pool, version);
  onl_fire (o, env, r, ONL_EV_BOUND);
}

static void
_onl_refuse_unknown (onl_t *o, env_t *env, onl_request_t *r)
{
  onl_refuse (o, env, r,
              &(rpl_error_t){ .status = 503,
                              .code = "stream-unknown",
                              .message = "it is not known at which version of "
                                         "the upstreams the stream began",
                              .retry_after_ms = ONL_UNKNOWN_RETRY_MS });
}

/** Handle that nobody knows how the stream began that R takes up: refuse R,
 * unless the upstreams have had one version all the while. */
static void
_onl_origin_unknown (onl_t *o, env_t *env, onl_request_t *r)
{
  const char *sole = r->deployment_count == 1 ? rte_sole_version (
                         o->desc.routes, env, r->deployment->name, ONL_SOLE_MS)
                                              : NULL;
  if (sole != NULL)
    _onl_bound (o, env, r, sole);
  else
    _onl_refuse_unknown (o, env, r);
}

void
onl_bind (onl_t *o, env_t *env, onl_request_t *r)
{
  if (r->resumes == NULL || !stv_id_is_valid (r->resumes))
    _onl_origin_unknown (o, env, r);
  else
    stv_find (
        o->desc.streams, env,
        &(stv_stream_t){ .customer = r->customer, .request = r->resumes },
        r->id.id);
}

/** Whether the route may send R to DEPLOYMENT. */
static bool
_onl_may_go_to (const onl_request_t *r, const char *deployment)
{
  for (size_t i = 0; i < r->deployment_count; i++)
    if (strcmp (r->deployments[i], deployment) == 0)
      return true;
  return false;
}

static void
_onl_bind_finish (onl_t *o, env_t *env, onl_request_t *r,
                  const stv_result_t *result)
{
  const stv_origin_t *origin = &result->origin;
  if (!result->known)
    {
      _onl_origin_unknown (o, env, r);
      return;
    }
  if (origin->version[0] == '\0' || !_onl_may_go_to (r, origin->deployment))
    {
      tln_record (env->tln, env->now, MOD_ONLINE, "not-taken-up",
                  "request=%s resumes=%s deployment=%s version=%s",
                  r->request_id, r->resumes, origin->deployment,
                  origin->version);
      _onl_refuse_unknown (o, env, r);
      return;
    }
  r->deployment = onl_deployment (o, origin->deployment);
  _onl_bound (o, env, r, origin->version);
}

void
onl_binds_finish (onl_t *o, env_t *env)
{
  stv_result_t result;
  while (o->desc.streams != NULL && stv_result_pop (o->desc.streams, &result))
    {
      onl_request_t *r = onl_request_get (o, result.tag);
      if (r != NULL && r->state == ONL_BINDING)
        _onl_bind_finish (o, env, r, &result);
    }
}

void
onl_stream_began (onl_t *o, env_t *env, onl_request_t *r)
{
  const char *deployment = r->deployment->name;
  if (!r->resumable || o->desc.streams == NULL
      || !rte_may_have_versions (o->desc.routes, deployment))
    return;
  r->bound = true;
  r->version = talloc_strdup (r->pool,
                              r->pick.version == NULL ? "" : r->pick.version);
  if (r->begins)
    stv_note (
        o->desc.streams, env,
        &(stv_stream_t){ .customer = r->customer, .request = r->request_id },
        &(stv_origin_t){ .deployment = deployment, .version = r->version });
}

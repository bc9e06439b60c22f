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

/** The only version that the upstreams of R have had for long; NULL: they have
 * had several, or it is not known. */
static const char *
_onl_sole_version (const onl_t *o, const env_t *env, const onl_request_t *r)
{
  return r->deployment_count == 1 ? rte_sole_version (
             o->desc.routes, env, r->deployment->name, ONL_SOLE_MS)
                                  : NULL;
}

/* -- the list, read anew ---------------------------------------------------
 */

void
onl_list_setup (onl_list_t *list)
{
  list->waiting = g_queue_new ();
  list->reading = g_queue_new ();
}

void
onl_list_clear (onl_list_t *list)
{
  g_queue_free_full (list->waiting, g_free);
  g_queue_free_full (list->reading, g_free);
  if (list->versions != NULL)
    g_hash_table_destroy (list->versions);
}

static void
_onl_list_call (env_t *env, const char *after)
{
  plt_call (env, &(plt_req_t){ .mod = MOD_ONLINE,
                               .op = FX_PLATFORM_UPSTREAMS,
                               .name = "",
                               .after = after });
}

/** Begin a read for the requests that wait, if none is in progress. */
static void
_onl_list_read (onl_t *o, env_t *env)
{
  onl_list_t *l = &o->list;
  if (l->versions != NULL || g_queue_is_empty (l->waiting))
    return;
  GQueue *none = l->reading;
  l->reading = l->waiting;
  l->waiting = none;
  l->versions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  _onl_list_call (env, NULL);
}

static char *
_onl_list_key (const char *deployment, const char *version)
{
  return g_strdup_printf ("%s %s", deployment, version == NULL ? "" : version);
}

static void
_onl_list_add (onl_list_t *l, const ev_platform_t *reply)
{
  for (size_t i = 0; i < reply->entry_count; i++)
    {
      const ev_upstream_entry_t *e = &reply->entries[i];
      if (!e->deleted)
        g_hash_table_add (l->versions,
                          _onl_list_key (e->deployment, e->version));
    }
}

/** Whether the list that was read names VERSION and no other for
 * DEPLOYMENT. */
static bool
_onl_list_has_only (const onl_list_t *l, const char *deployment,
                    const char *version)
{
  GHashTableIter iter;
  gpointer key;
  char *wanted = _onl_list_key (deployment, version);
  size_t n = strlen (deployment);
  bool only = g_hash_table_contains (l->versions, wanted);
  g_hash_table_iter_init (&iter, l->versions);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (strncmp (key, deployment, n) == 0 && ((const char *)key)[n] == ' '
        && strcmp (key, wanted) != 0)
      only = false;
  g_free (wanted);
  return only;
}

/** Go on with R if the list that was read, if it was, says the same as this
 * VM knows; refuse it otherwise. */
static void
_onl_list_decide (onl_t *o, env_t *env, onl_request_t *r, bool was_read)
{
  const char *sole = _onl_sole_version (o, env, r);
  bool only = was_read && sole != NULL
              && _onl_list_has_only (&o->list, r->deployment->name, sole);
  tln_record (env->tln, env->now, MOD_ONLINE, "sole-version",
              "request=%s version=%s read=%d only=%d", r->request_id,
              sole == NULL ? "" : sole, was_read, only);
  if (only)
    _onl_bound (o, env, r, sole);
  else
    _onl_refuse_unknown (o, env, r);
}

void
onl_platform_replied (onl_t *o, env_t *env, const ev_platform_t *reply)
{
  onl_list_t *l = &o->list;
  bool good = reply->code == ST_OK;
  if (good)
    _onl_list_add (l, reply);
  if (good && reply->continue_after != NULL)
    {
      _onl_list_call (env, reply->continue_after);
      return;
    }
  for (uint64_t *tag = g_queue_pop_head (l->reading); tag != NULL;
       tag = g_queue_pop_head (l->reading))
    {
      onl_request_t *r = onl_request_get (o, *tag);
      g_free (tag);
      if (r != NULL && r->state == ONL_BINDING)
        _onl_list_decide (o, env, r, good);
    }
  g_hash_table_destroy (l->versions);
  l->versions = NULL;
  _onl_list_read (o, env);
  onl_pump (o, env);
}

/** Handle that nobody knows how the stream began that R takes up: refuse R,
 * unless the upstreams have had one version all the while.  What this VM knows
 * of them may be old: it may have stood still, or been cut off, while another
 * version joined.  So a read of the list that begins now must say the same. */
static void
_onl_origin_unknown (onl_t *o, env_t *env, onl_request_t *r)
{
  const char *sole = _onl_sole_version (o, env, r);
  if (sole == NULL)
    _onl_refuse_unknown (o, env, r);
  else if (!o->desc.list_confirms)
    _onl_bound (o, env, r, sole);
  else
    {
      g_queue_push_tail (o->list.waiting,
                         g_memdup2 (&r->id.id, sizeof r->id.id));
      _onl_list_read (o, env);
    }
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

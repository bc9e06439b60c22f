/** @file
 * Texts of items, which runs bring event by event, and the version of the
 * upstreams' software that wrote them: a text goes on only at its version.
 */
#include "core/job_int.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/** Longest wait of an item for room at the version that began its text; then
 * it begins anew. */
#define JOB_VERSION_WAIT_MS (2 * CLK_SECOND)

/** Pause of an item that waits for room at its version. */
#define JOB_VERSION_RETRY_MS 200

void
job_text_drop (job_item_t *item)
{
  if (item->text != NULL)
    g_string_free (item->text, TRUE);
  item->text = NULL;
  item->last_event = 0;
  item->full_since = CLK_NEVER;
  TALLOC_FREE (item->deployment);
  TALLOC_FREE (item->version);
}

/* Whether ROUTE may send items to DEPLOYMENT. */
static bool
_job_route_allows (const cfg_route_t *route, const char *deployment)
{
  for (size_t i = 0; i < route->share_count; i++)
    if (strcmp (route->shares[i].deployment, deployment) == 0)
      return true;
  return route->share_count == 0
         && strcmp (route->deployment, deployment) == 0;
}

void
job_text_check_route (job_item_t *item, const cfg_route_t *route)
{
  if (item->deployment != NULL && !_job_route_allows (route, item->deployment))
    job_text_drop (item);
}

bool
job_text_append (job_item_t *item, const sse_event_t *event)
{
  uint64_t id = event->id.n == 0 ? 0 : strtoull (event->id.p, NULL, 10);
  if (id == 0 || (item->last_event > 0 && id != item->last_event + 1))
    return false;
  if (item->text == NULL)
    item->text = g_string_new (NULL);
  if (item->text->len > 0)
    g_string_append_c (item->text, '\n');
  g_string_append_len (item->text, event->data.p, (gssize)event->data.n);
  item->last_event = id;
  return true;
}

void
job_text_began (const job_set_t *j, const job_t *job, const job_run_t *run)
{
  job_item_t *item = &job->items[run->item];
  if (!rte_may_have_versions (j->desc.routes, run->deployment))
    return;
  item->full_since = CLK_NEVER;
  item->deployment = talloc_strdup (job->items, run->deployment);
  item->version
      = talloc_strdup (job->items, run->version == NULL ? "" : run->version);
}

void
job_version_missing (const job_set_t *j, env_t *env, const job_t *job,
                     uint32_t index)
{
  job_item_t *item = &job->items[index];
  item->not_before = env->now + JOB_VERSION_RETRY_MS;
  if (item->full_since == CLK_NEVER)
    item->full_since = env->now;
  bool serves = rte_version_serves (j->desc.routes, env, item->deployment,
                                    item->version);
  if (serves && env->now - item->full_since < JOB_VERSION_WAIT_MS)
    return;
  tln_record (env->tln, env->now, MOD_JOB, "item-anew",
              "job=%s item=%s version=%s serves=%d", job->rec->id,
              job->rec->items[index].id, item->version, serves);
  cnt_add (env->cnt, "rts_job_anew_total", "", 1);
  job_text_drop (item);
  item->not_before = env->now;
}

const char *
job_version_wanted (const job_set_t *j, const env_t *env,
                    const job_item_t *item)
{
  if (item->deployment == NULL)
    return NULL;
  const char *sole
      = rte_sole_version (j->desc.routes, env, item->deployment, 0);
  return g_strcmp0 (sole, item->version) == 0 ? NULL : item->version;
}

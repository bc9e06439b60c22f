/** @file
 * The feed: records that others have written, by the platform.
 *
 * Peers tell of changes as they make them; the feed brings what was missed,
 * and all of it to a VM that has just started.
 */
#include "core/job_int.h"

#include <talloc.h>

/** A look does not wait for news: the pause between looks bounds the calls. */
#define JOB_FEED_WAIT_MS 1

void
job_feed_read (job_set_t *j, env_t *env)
{
  bool whole = j->revision == 0;
  job_call_platform (
      j, env, JOB_OP_FEED, (tbl_id_t){ 0 }, 0,
      &(plt_req_t){ .op = whole ? FX_PLATFORM_LIST : FX_PLATFORM_WATCH,
                    .name = JOB_RECORD_PREFIX,
                    .revision = j->revision,
                    .after = j->feed_after,
                    .allow_stale = !whole,
                    .timeout_ms = whole ? 0 : JOB_FEED_WAIT_MS });
}

void
job_feed_replied (job_set_t *j, env_t *env, const ev_platform_t *reply)
{
  bool whole = j->revision == 0;
  bool first = whole && j->feed_after == NULL;
  clk_ms_t pause = env_jitter (env, j->desc.feed_ms);
  TALLOC_FREE (j->feed_after);
  if (reply->code == ST_STALE)
    j->revision = 0;
  for (size_t i = 0; reply->code == ST_OK && i < reply->object_count; i++)
    if (!reply->objects[i].deleted)
      (void)job_record_apply (j, env, reply->objects[i].version,
                              reply->objects[i].value);
  if (reply->code == ST_OK && first)
    j->feed_listed = reply->revision;
  if (reply->code == ST_OK && whole && reply->continue_after != NULL)
    {
      j->feed_after = talloc_strdup (j, reply->continue_after);
      pause = 0;
    }
  else if (reply->code == ST_OK)
    j->revision = whole ? j->feed_listed : reply->revision;
  tmr_arm (env->tmr, env->now + pause, MOD_JOB, JOB_TIMER_FEED);
}

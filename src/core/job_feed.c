/** @file
 * The feed of job records in the platform.
 *
 * Peers send updates when they change a record.  The feed delivers the updates
 * that this VM missed, and all records to a VM that has just started.
 */
#include "core/job_int.h"

#include <string.h>
#include <talloc.h>

/** A read of the feed does not wait for changes; the pause between two reads
 * limits the rate of calls. */
#define JOB_FEED_WAIT_MS 1
/** Pause between two reads of a VM that runs no jobs, for each VM of the
 * fleet, and at most. */
#define JOB_FEED_VM_MS ((clk_ms_t)20)
#define JOB_FEED_MS_MAX (3 * CLK_SECOND)

clk_ms_t
job_feed_pause (const job_set_t *j, const env_t *env)
{
  for (size_t i = 0; i < j->runner_count; i++)
    if (strcmp (j->runners[i], env->vm) == 0)
      return j->desc.feed_poll_ms;
  clk_ms_t by_size = JOB_FEED_VM_MS * (clk_ms_t)mbr_vm_count (j->desc.members);
  return clk_max (j->desc.feed_poll_ms, clk_min (by_size, JOB_FEED_MS_MAX));
}

void
job_feed_read (job_set_t *j, env_t *env)
{
  bool complete = j->revision == 0;
  job_call_platform (
      j, env, JOB_OP_FEED, (tbl_id_t){ 0 }, 0,
      &(plt_req_t){ .op = complete ? FX_PLATFORM_LIST : FX_PLATFORM_WATCH,
                    .name = JOB_RECORD_PREFIX,
                    .revision = j->revision,
                    .after = j->feed_after,
                    .allow_stale = !complete,
                    .timeout_ms = complete ? 0 : JOB_FEED_WAIT_MS });
}

void
job_feed_replied (job_set_t *j, env_t *env, const ev_platform_t *reply)
{
  bool complete = j->revision == 0;
  bool first = complete && j->feed_after == NULL;
  clk_ms_t pause = env_jitter (env, job_feed_pause (j, env));
  TALLOC_FREE (j->feed_after);
  if (reply->code == ST_OK)
    j->feed_read_at = env->now;
  if (reply->code == ST_STALE)
    j->revision = 0;
  for (size_t i = 0; reply->code == ST_OK && i < reply->object_count; i++)
    if (!reply->objects[i].deleted)
      (void)job_record_apply (j, env, reply->objects[i].version,
                              reply->objects[i].value);
  /* The watch begins at the revision of the first page, so that changes during
   * the reads of later pages are not missed. */
  if (reply->code == ST_OK && first)
    j->feed_list_revision = reply->revision;
  if (reply->code == ST_OK && complete && reply->continue_after != NULL)
    {
      j->feed_after = talloc_strdup (j, reply->continue_after);
      pause = 0;
    }
  else if (reply->code == ST_OK)
    j->revision = complete ? j->feed_list_revision : reply->revision;
  tmr_arm (env->tmr, env->now + pause, MOD_JOB, JOB_TIMER_FEED);
}

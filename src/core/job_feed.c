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
/** An answer to a watch with fewer events, and fewer bytes, has them all. */
#define JOB_FEED_EVENTS_WHOLE 250
#define JOB_FEED_BYTES_WHOLE ((size_t)512 << 10)

clk_ms_t
job_feed_pause (const job_set_t *j, const env_t *env)
{
  for (size_t i = 0; i < j->runner_count; i++)
    if (strcmp (j->runners[i], env->vm) == 0)
      return j->desc.feed_poll_ms;
  clk_ms_t by_size = JOB_FEED_VM_MS * (clk_ms_t)mbr_vm_count (j->desc.members);
  return clk_max (j->desc.feed_poll_ms, clk_min (by_size, JOB_FEED_MS_MAX));
}

/* Whether REPLY, to a watch, may be only the first part of the changes: the
 * platform bounds its answers. */
static bool
_job_feed_is_part (const ev_platform_t *reply)
{
  size_t bytes = 0;
  for (size_t i = 0; i < reply->object_count; i++)
    bytes += reply->objects[i].value.n;
  return reply->object_count >= JOB_FEED_EVENTS_WHOLE
         || bytes >= JOB_FEED_BYTES_WHOLE;
}

/* Notes what REPLY, the last one to a read, says of the age of the records. */
static void
_job_feed_news (job_set_t *j, const ev_platform_t *reply, bool watched)
{
  bool answered = reply->code == ST_OK || reply->code == ST_STALE;
  if (answered || !j->feed_stale)
    j->feed_failing = !answered;
  if (j->feed_stale)
    return;
  if (reply->code == ST_OK && !(watched && _job_feed_is_part (reply)))
    j->news_at = j->feed_sent_at;
}

/* The mean pause before the next read. */
static clk_ms_t
_job_feed_next_pause (const job_set_t *j, const env_t *env)
{
  clk_ms_t pause = job_feed_pause (j, env);
  if (j->feed_failing || !job_news_wanted (j))
    return pause;
  /* With a quarter added at random it still ends before items have to wait. */
  return clk_min (pause, job_news_bound (j) * 3 / 4);
}

void
job_feed_read (job_set_t *j, env_t *env)
{
  bool complete = j->revision == 0;
  if (j->feed_after == NULL)
    j->feed_sent_at = env->now;
  j->feed_reading = true;
  j->feed_stale = !complete && !job_news_wanted (j);
  job_call_platform (
      j, env, JOB_OP_FEED, (tbl_id_t){ 0 }, 0,
      &(plt_req_t){ .op = complete ? FX_PLATFORM_LIST : FX_PLATFORM_WATCH,
                    .name = JOB_RECORD_PREFIX,
                    .revision = j->revision,
                    .after = j->feed_after,
                    .allow_stale = j->feed_stale,
                    .timeout_ms = complete ? 0 : JOB_FEED_WAIT_MS });
}

void
job_feed_read_due (job_set_t *j, env_t *env)
{
  j->feed_hurried = false;
  if (!j->feed_reading)
    job_feed_read (j, env);
}

void
job_feed_hurry (job_set_t *j, env_t *env)
{
  if (j->feed_reading || j->feed_after != NULL)
    return;
  j->feed_hurried = true;
  job_feed_read (j, env);
}

/* Arms the timer of the next read.  That of a hurried one is armed. */
static void
_job_feed_schedule (job_set_t *j, env_t *env)
{
  if (j->feed_after != NULL && j->feed_hurried)
    {
      job_feed_read (j, env);
      return;
    }
  if (j->feed_hurried)
    return;
  clk_ms_t pause = env_jitter (env, _job_feed_next_pause (j, env));
  if (j->feed_after != NULL)
    pause = 0;
  tmr_arm (env->tmr, env->now + pause, MOD_JOB, JOB_TIMER_FEED);
}

void
job_feed_replied (job_set_t *j, env_t *env, const ev_platform_t *reply)
{
  bool complete = j->revision == 0;
  bool first = complete && j->feed_after == NULL;
  j->feed_reading = false;
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
    j->feed_after = talloc_strdup (j, reply->continue_after);
  else
    {
      if (reply->code == ST_OK)
        j->revision = complete ? j->feed_list_revision : reply->revision;
      _job_feed_news (j, reply, !complete);
    }
  _job_feed_schedule (j, env);
}

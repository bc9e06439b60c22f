/** @file
 * Whether records are new enough to start items on (docs/DESIGN.md, "Age of
 * news").
 *
 * The end of a job is in the platform before its caller is told.  So a read of
 * the feed that may not be stale shows every end that was told before it was
 * sent, whoever knows of this VM.  Items start for job_news_bound after such a
 * read; the rest of job_desc_t.end_ms is for the way to the upstream.
 *
 * While the platform does not answer, only other VMs can tell of an end, and
 * only those that know this VM do.  Items start then if the others have known
 * it for JOB_KNOWN_MS.
 */
#include "core/job_int.h"

/** Part of job_desc_t.end_ms for which items start after a read. */
#define JOB_NEWS_PART 2
/** Time in which all VMs know one that is listed: until each has read the
 * list, as it was seconds before, and has opened its links. */
#define JOB_KNOWN_MS (12 * CLK_SECOND)
/** A VM that has stood still for this long may count as down at others, which
 * then tell it nothing. */
#define JOB_GAP_MS (1 * CLK_SECOND + CLK_SECOND / 2)
/** A read without an answer for this long has found no platform. */
#define JOB_NEWS_ANSWER_MS 600

clk_ms_t
job_news_bound (const job_set_t *j)
{
  return j->desc.end_ms / JOB_NEWS_PART;
}

void
job_news_known_update (job_set_t *j, const env_t *env)
{
  const mbr_vm_t *self = mbr_vm_find (j->desc.members, env->vm);
  bool stood_still = env->now - j->pumped_at > JOB_GAP_MS;
  if (stood_still || self == NULL || !self->listed)
    j->known_since = env->now;
}

/* Whether the platform does not answer this VM. */
static bool
_job_platform_is_silent (const job_set_t *j, const env_t *env)
{
  return j->feed_failing
         || (j->feed_reading && !j->feed_stale
             && env->now - j->feed_sent_at > JOB_NEWS_ANSWER_MS);
}

static void
_job_news_log (job_set_t *j, env_t *env, bool held)
{
  if (held == j->news_held)
    return;
  j->news_held = held;
  tln_record (env->tln, env->now, MOD_JOB, held ? "news-old" : "news-new",
              "age_ms=%lld known_ms=%lld failing=%d",
              j->news_at == CLK_NEVER ? -1LL
                                      : (long long)(env->now - j->news_at),
              (long long)(env->now - j->known_since), j->feed_failing);
}

bool
job_news_suffice (job_set_t *j, env_t *env)
{
  bool current
      = j->news_at != CLK_NEVER && env->now - j->news_at <= job_news_bound (j);
  bool suffice = current
                 || (_job_platform_is_silent (j, env)
                     && env->now - j->known_since >= JOB_KNOWN_MS);
  _job_news_log (j, env, !suffice);
  if (!suffice && !j->feed_failing)
    job_feed_hurry (j, env);
  return suffice;
}

bool
job_news_wanted (const job_set_t *j)
{
  for (tbl_id_t id = tbl_next (j->jobs, (tbl_id_t){ 0 }); id.id != 0;
       id = tbl_next (j->jobs, id))
    {
      const job_t *job = tbl_get (j->jobs, id);
      if (job->runs_here && job->waiting > 0)
        return true;
    }
  return false;
}

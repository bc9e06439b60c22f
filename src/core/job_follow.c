/** @file
 * Updates of job records between VMs.
 *
 * Where every VM has a link to every other, all VMs get each update.  In a
 * larger fleet only two kinds of VM do: the runner, which is the VM that runs
 * the job, and its followers, where a caller waits for results.  A follower
 * asks the runner for updates for as long as the caller waits.  All other VMs,
 * and those that a lost message did not reach, read the feed (job_feed.c).
 */
#include "core/job_int.h"
#include "core/mpk.h"

#include <string.h>
#include <talloc.h>

/** Most followers of a job. */
#define JOB_FOLLOWERS_MAX 64
/** A follower gets updates for this much longer than its caller waits. */
#define JOB_FOLLOW_EXTRA_MS (1 * CLK_SECOND)

const char *
job_runner (const job_set_t *j, const job_t *job)
{
  return own_pick (j->runners, j->runner_count, MOD_JOB, job->rec->id);
}

static buf_t
_job_record_message (void *ctx, const job_t *job)
{
  mpk_writer_t w;
  mpk_writer_init (&w, ctx);
  mpk_put_uint (&w, job->version);
  mpk_put_str (&w, job_rec_encode (ctx, job->rec));
  return mpk_done (&w);
}

static void
_job_update_send_to (const job_set_t *j, env_t *env, const char *vm,
                     buf_t body)
{
  const mbr_vm_t *to = mbr_vm_find (j->desc.members, vm);
  if (to == NULL || !to->up || to->self)
    return;
  fx_peer_send (env->fx, vm, MSG_JOB_RECORD, body);
  cnt_add (env->cnt, "rts_job_records_told_total", "", 1);
}

static void
_job_update_send_followers (const job_set_t *j, env_t *env, const job_t *job,
                            buf_t body)
{
  for (size_t i = 0; i < job->follower_count; i++)
    if (job->followers[i].until > env->now)
      _job_update_send_to (j, env, job->followers[i].vm, body);
}

void
job_update_send (job_set_t *j, env_t *env, const job_t *job)
{
  void *tmp = talloc_new (j);
  buf_t body = _job_record_message (tmp, job);
  const char *runner = job_runner (j, job);
  if (!mbr_is_grid (j->desc.members))
    for (size_t i = 0; i < mbr_vm_count (j->desc.members); i++)
      _job_update_send_to (j, env, mbr_vm_get (j->desc.members, i)->name,
                           body);
  else
    {
      if (runner != NULL)
        _job_update_send_to (j, env, runner, body);
      _job_update_send_followers (j, env, job, body);
    }
  talloc_free (tmp);
}

/* ---- following ---- */

void
job_follow (job_set_t *j, env_t *env, job_call_t *c, const job_t *job)
{
  const char *runner = job_runner (j, job);
  if (c->following || job->runs_here || runner == NULL
      || !mbr_is_grid (j->desc.members))
    return;
  c->following = true;
  void *tmp = talloc_new (j);
  mpk_writer_t w;
  mpk_writer_init (&w, tmp);
  mpk_put_uint (&w, job->version);
  mpk_put_uint (&w, (uint64_t)(c->wait_until - env->now));
  mpk_put_str (&w, buf_str (c->id));
  fx_peer_send (env->fx, runner, MSG_JOB_FOLLOW, mpk_done (&w));
  talloc_free (tmp);
}

/* The entry for VM among JOB's followers: its own, an expired one, or a new
 * one; NULL when there are too many. */
static job_follower_t *
_job_follower_slot (job_t *job, const char *vm, clk_ms_t now)
{
  job_follower_t *expired = NULL;
  for (size_t i = 0; i < job->follower_count; i++)
    {
      job_follower_t *f = &job->followers[i];
      if (strcmp (f->vm, vm) == 0)
        return f;
      if (f->until <= now)
        expired = f;
    }
  if (expired != NULL || job->follower_count == JOB_FOLLOWERS_MAX)
    return expired;
  job->followers = talloc_realloc (job->items, job->followers, job_follower_t,
                                   job->follower_count + 1);
  job->followers[job->follower_count] = (job_follower_t){ .vm = NULL };
  return &job->followers[job->follower_count++];
}

bool
job_follow_received (job_set_t *j, env_t *env, const char *vm, mpk_reader_t *r)
{
  uint64_t version = mpk_get_uint (r);
  uint64_t wait = mpk_get_uint (r);
  const char *id = mpk_get_str (r).p;
  if (!mpk_end (r) || wait > JOB_POLL_MS_MAX)
    return false;
  job_t *job = job_find (j, id);
  job_follower_t *f
      = job == NULL ? NULL : _job_follower_slot (job, vm, env->now);
  if (f == NULL)
    return true;
  if (f->vm == NULL || strcmp (f->vm, vm) != 0)
    {
      talloc_free (f->vm);
      f->vm = talloc_strdup (job->followers, vm);
    }
  f->until = env->now + (clk_ms_t)wait + JOB_FOLLOW_EXTRA_MS;
  if (job->version > version)
    {
      void *tmp = talloc_new (j);
      _job_update_send_to (j, env, vm, _job_record_message (tmp, job));
      talloc_free (tmp);
    }
  return true;
}

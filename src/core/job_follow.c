/** @file
 * Updates of job records between VMs, and texts of results from the runner.
 *
 * Where every VM has a link to every other, all VMs get each update.  In a
 * larger fleet only two kinds of VM do: the runner, which is the VM that runs
 * the job, and its followers, where a caller waits for results.  A follower
 * asks the runner for updates for as long as the caller waits.  All other VMs,
 * and those that a lost message did not reach, read the feed (job_feed.c).
 *
 * The runner also confirms to a follower that its record is the newest, and
 * hands out the texts of results that it has at hand, so that callers are
 * answered without reads of the platform.  Without the runner's response the
 * platform is read.
 */
#include "core/job_int.h"
#include "core/mpk.h"

#include <string.h>
#include <talloc.h>

/** Most followers of a job. */
#define JOB_FOLLOWERS_MAX 64
/** A follower gets updates for this much longer than its caller waits. */
#define JOB_FOLLOW_EXTRA_MS (1 * CLK_SECOND)
/** A runner that has not read the feed for this long confirms nothing. */
#define JOB_RUNNER_STALE_MS (3 * CLK_SECOND)
/** Time after a change of the runners in which no confirmation counts. */
#define JOB_RUNNERS_SETTLE_MS (3 * CLK_SECOND)

const char *
job_runner (const job_set_t *j, const char *id)
{
  return own_pick (j->runners, j->runner_count, MOD_JOB, id);
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
  const char *runner = job_runner (j, job->rec->id);
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
  const char *runner = job_runner (j, c->id);
  if (c->followed_at != 0 || runner == NULL || strcmp (runner, env->vm) == 0
      || (job != NULL && job->runs_here))
    return;
  c->followed_at = env->now;
  void *tmp = talloc_new (j);
  mpk_writer_t w;
  mpk_writer_init (&w, tmp);
  mpk_put_uint (&w, job == NULL ? 0 : job->version);
  mpk_put_uint (&w, (uint64_t)clk_max (c->wait_until - env->now, 0));
  mpk_put_uint (&w, (uint64_t)env->now);
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

/* Tells VM that it has the newest record, if this VM can know that: it runs
 * the job, and the platform has answered it recently. */
static void
_job_current_send (const job_set_t *j, env_t *env, const job_t *job,
                   const char *vm, uint64_t sent)
{
  if (!job->runs_here || env->now - j->feed_read_at > JOB_RUNNER_STALE_MS)
    return;
  void *tmp = talloc_new (NULL);
  mpk_writer_t w;
  mpk_writer_init (&w, tmp);
  mpk_put_uint (&w, job->version);
  mpk_put_uint (&w, sent);
  mpk_put_str (&w, buf_str (job->rec->id));
  fx_peer_send (env->fx, vm, MSG_JOB_CURRENT, mpk_done (&w));
  talloc_free (tmp);
}

static bool
_job_followed (job_set_t *j, env_t *env, const char *vm, mpk_reader_t *r)
{
  uint64_t version = mpk_get_uint (r);
  uint64_t wait = mpk_get_uint (r);
  uint64_t sent = mpk_get_uint (r);
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
  _job_current_send (j, env, job, vm, sent);
  return true;
}

static bool
_job_current_received (job_set_t *j, env_t *env, mpk_reader_t *r)
{
  uint64_t version = mpk_get_uint (r);
  clk_ms_t sent = (clk_ms_t)mpk_get_uint (r);
  const char *id = mpk_get_str (r).p;
  if (!mpk_end (r) || sent > env->now)
    return false;
  job_t *job = job_find (j, id);
  if (job == NULL || job->version != version)
    return true;
  job->confirmed_at = clk_max (job->confirmed_at, sent);
  job_calls_step (j, env, id);
  return true;
}

bool
job_is_confirmed (const job_set_t *j, const env_t *env, const job_call_t *c,
                  const job_t *job)
{
  /* While VMs disagree about the runner, two may run the job. */
  return job->confirmed_at >= c->arrived
         && env->now - j->runners_changed_at > JOB_RUNNERS_SETTLE_MS;
}

/* ---- texts ---- */

bool
job_text_request (job_set_t *j, env_t *env, const job_t *job, uint32_t item)
{
  const char *runner = job_runner (j, job->rec->id);
  if (runner == NULL || strcmp (runner, env->vm) == 0)
    return false;
  void *tmp = talloc_new (j);
  mpk_writer_t w;
  mpk_writer_init (&w, tmp);
  mpk_put_uint (&w, item);
  mpk_put_str (&w, buf_str (job->rec->id));
  fx_peer_send (env->fx, runner, MSG_JOB_WHOLE_TEXT_REQUEST, mpk_done (&w));
  talloc_free (tmp);
  return true;
}

/* Answers VM's request for a text with a message of KIND. */
static bool
_job_text_requested (job_set_t *j, env_t *env, const char *vm, uint16_t kind,
                     mpk_reader_t *r)
{
  uint64_t item = mpk_get_uint (r);
  const char *id = mpk_get_str (r).p;
  if (!mpk_end (r))
    return false;
  const job_t *job = job_find (j, id);
  buf_t text = { 0 };
  if (job != NULL && item < job->rec->item_count)
    text = job->texts[item];
  void *tmp = talloc_new (j);
  mpk_writer_t w;
  mpk_writer_init (&w, tmp);
  mpk_put_uint (&w, item);
  mpk_put_uint (&w, text.p != NULL);
  mpk_put_str (&w, buf_str (id));
  mpk_put_str (&w, text);
  fx_peer_send (env->fx, vm, kind, mpk_done (&w));
  talloc_free (tmp);
  return true;
}

static bool
_job_text_received (job_set_t *j, env_t *env, mpk_reader_t *r)
{
  uint64_t item = mpk_get_uint (r);
  uint64_t found = mpk_get_uint (r);
  const char *id = mpk_get_str (r).p;
  buf_t text = mpk_get_str (r);
  if (!mpk_end (r))
    return false;
  job_t *job = job_find (j, id);
  if (job == NULL || item >= job->rec->item_count
      || job->items[item].state != JOB_ITEM_LISTED)
    return true;
  if (found != 0)
    job_text_cache (j, job, (uint32_t)item, text);
  else
    job->text_missing_at = env->now;
  job_calls_step (j, env, id);
  return true;
}

bool
job_follow_received (job_set_t *j, env_t *env, const char *vm, uint16_t kind,
                     mpk_reader_t *r)
{
  switch (kind)
    {
    case MSG_JOB_FOLLOW:
      return _job_followed (j, env, vm, r);
    case MSG_JOB_CURRENT:
      return _job_current_received (j, env, r);
    case MSG_JOB_TEXT_REQUEST:
      return _job_text_requested (j, env, vm, MSG_JOB_TEXT, r);
    case MSG_JOB_WHOLE_TEXT_REQUEST:
      return _job_text_requested (j, env, vm, MSG_JOB_WHOLE_TEXT, r);
    case MSG_JOB_WHOLE_TEXT:
      return _job_text_received (j, env, r);
    default:
      return false;
    }
}

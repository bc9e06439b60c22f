/** @file
 * Adds results to the record of a job.  An item's text is written first, then
 * the record in which the item's result comes after the earlier ones.  The
 * write of the record is conditional on the version that this VM knows, so
 * that two VMs cannot give one item two positions.
 */
#include "core/job_int.h"

#include <string.h>
#include <talloc.h>

/** A result waits for others of its job for this part of the time that is left
 * until the job is due, but not longer than JOB_LIST_WAIT_MS_MAX. */
#define JOB_LIST_WAIT_PART 8
#define JOB_LIST_WAIT_MS_MAX (1 * CLK_SECOND)

/* -- texts -----------------------------------------------------------------
 */

static void
_job_text_write (job_set_t *j, env_t *env, job_t *job, uint32_t item)
{
  if (env->now < job->items[item].not_before)
    return;
  GString *text = job->items[item].text;
  char *name
      = talloc_asprintf (j, JOB_TEXT_PREFIX "%s/%u", job->rec->id, item);
  job->items[item].state = JOB_ITEM_TEXT_WRITING;
  job_call_platform (
      j, env, JOB_OP_LIST_TEXT, job->self, item,
      &(plt_req_t){ .op = FX_PLATFORM_PUT,
                    .name = name,
                    .value = { .p = text->str, .n = text->len } });
  talloc_free (name);
}

static void
_job_texts_write (job_set_t *j, env_t *env, job_t *job)
{
  for (uint32_t i = 0; i < job->rec->item_count; i++)
    if (job->items[i].state == JOB_ITEM_TEXT_PENDING)
      _job_text_write (j, env, job, i);
}

/* -- the record ------------------------------------------------------------
 */

/* The record with the pending results added and the end of the job set; NULL
 * when nothing changes. */
static job_rec_t *
_job_rec_next (job_set_t *j, job_t *job)
{
  buf_t bytes = job_rec_encode (j, job->rec);
  job_rec_t *next = job_rec_decode (j, bytes);
  talloc_free ((void *)(uintptr_t)bytes.p);
  next->results = talloc_realloc (next, next->results, job_rec_result_t,
                                  next->item_count + 1);
  for (uint32_t i = 0; i < next->item_count; i++)
    if (job->items[i].state == JOB_ITEM_LIST_PENDING)
      next->results[next->result_count++]
          = (job_rec_result_t){ .item = i,
                                .completed = job->items[i].completed };
  next->ended = next->ended || job->end_wanted;
  if (next->result_count != job->rec->result_count
      || next->ended != job->rec->ended)
    return next;
  talloc_free (next);
  return NULL;
}

/* Whether no item of JOB is left to run. */
static bool
_job_all_have_outcomes (const job_t *job)
{
  for (uint32_t i = 0; i < job->rec->item_count; i++)
    if (job->items[i].state == JOB_ITEM_WAITING
        || job->items[i].state == JOB_ITEM_RUNNING)
      return false;
  return true;
}

/* The time until which results wait for others, so that one write of the
 * record lists them all. */
static clk_ms_t
_job_list_at (const job_set_t *j, const job_t *job)
{
  clk_ms_t wait = (job_due (j, job) - job->pending_since) / JOB_LIST_WAIT_PART;
  return job->pending_since
         + clk_min (clk_max (wait, 0), JOB_LIST_WAIT_MS_MAX);
}

/* Whether the record has to be written now.  Notes since when a result has
 * been pending. */
static bool
_job_list_is_due (const job_set_t *j, const env_t *env, job_t *job)
{
  bool pending = false;
  for (uint32_t i = 0; i < job->rec->item_count; i++)
    pending = pending || job->items[i].state == JOB_ITEM_LIST_PENDING;
  if (!pending)
    job->pending_since = CLK_NEVER;
  else if (job->pending_since == CLK_NEVER)
    job->pending_since = env->now;
  if (job->end_wanted && !job->rec->ended)
    return true;
  return pending
         && (j->leaving || _job_all_have_outcomes (job)
             || env->now >= _job_list_at (j, job));
}

void
job_list_step (job_set_t *j, env_t *env, job_t *job)
{
  _job_texts_write (j, env, job);
  if (job->writing || env->now < job->write_retry
      || !_job_list_is_due (j, env, job))
    return;
  job_rec_t *next = _job_rec_next (j, job);
  if (next == NULL)
    return;
  job->writing = true;
  char *name = talloc_asprintf (next, JOB_RECORD_PREFIX "%s", next->id);
  job_call_platform (j, env, JOB_OP_LIST_RECORD, job->self, 0,
                     &(plt_req_t){ .op = FX_PLATFORM_PUT,
                                   .name = name,
                                   .if_version = job->version,
                                   .value = job_rec_encode (next, next) });
  talloc_free (next);
}

static void
_job_record_reread (job_set_t *j, env_t *env, job_t *job)
{
  char *name = talloc_asprintf (j, JOB_RECORD_PREFIX "%s", job->rec->id);
  job->writing = true;
  job_call_platform (j, env, JOB_OP_LIST_REREAD, job->self, 0,
                     &(plt_req_t){ .op = FX_PLATFORM_GET, .name = name });
  talloc_free (name);
}

/* REPLY holds the stored record, which this VM or another one has written. */
static void
_job_record_confirmed (job_set_t *j, env_t *env, job_t *job,
                       const ev_platform_t *reply)
{
  uint64_t before = job->version;
  (void)job_record_apply (j, env, reply->objects[0].version,
                          reply->objects[0].value);
  if (job->rec->ended)
    job->end_wanted = false;
  if (job->version != before)
    job_update_send (j, env, job);
  /* A record that cannot be used stands in the way of every write. */
  if (reply->objects[0].version > job->version)
    {
      job->write_retry = env->now + env_jitter (env, JOB_RETRY_MS);
      job_tick_arm (j, env);
    }
  job_list_step (j, env, job);
}

static void
_job_record_replied (job_set_t *j, env_t *env, job_t *job, job_op_kind_t kind,
                     const ev_platform_t *reply)
{
  bool stored = (reply->code == ST_OK || reply->code == ST_CONFLICT)
                && reply->object_count > 0;
  job->writing = false;
  if (stored)
    {
      _job_record_confirmed (j, env, job, reply);
      return;
    }
  job->write_retry = env->now + env_jitter (env, JOB_RETRY_MS);
  cnt_add (env->cnt, "rts_job_write_failures_total", "", 1);
  tln_record (env->tln, env->now, MOD_JOB, "record-write-failed",
              "job=%s code=%s", job->rec->id, st_code_name (reply->code));
  /* After a write of unknown outcome, read the record before the next write.
   */
  if (reply->code != ST_UNAVAILABLE && kind == JOB_OP_LIST_RECORD)
    _job_record_reread (j, env, job);
  job_tick_arm (j, env);
}

/* -- outcomes --------------------------------------------------------------
 */

/* The text of ITEM exists, from this VM or another; the first write counts.
 * REPLY may not show it. */
static void
_job_text_replace (job_item_t *item, const ev_platform_t *reply)
{
  g_string_free (item->text, TRUE);
  item->text = NULL;
  if (reply->object_count > 0 && reply->objects[0].value.p != NULL)
    item->text = g_string_new_len (reply->objects[0].value.p,
                                   (gssize)reply->objects[0].value.n);
}

static void
_job_text_replied (job_set_t *j, env_t *env, job_t *job, uint32_t index,
                   const ev_platform_t *reply)
{
  job_item_t *item = &job->items[index];
  if (item->state != JOB_ITEM_TEXT_WRITING)
    return;
  if (reply->code == ST_OK || reply->code == ST_CONFLICT)
    {
      if (reply->code == ST_CONFLICT)
        _job_text_replace (item, reply);
      item->state = JOB_ITEM_LIST_PENDING;
      job_list_step (j, env, job);
      return;
    }
  /* The write can be repeated whatever its outcome: an existing text is never
   * overwritten. */
  cnt_add (env->cnt, "rts_job_write_failures_total", "", 1);
  item->state = JOB_ITEM_TEXT_PENDING;
  item->not_before = env->now + env_jitter (env, JOB_RETRY_MS);
  job_tick_arm (j, env);
}

void
job_outcome_set (job_set_t *j, env_t *env, job_t *job, uint32_t index,
                 bool completed)
{
  job_item_t *item = &job->items[index];
  if (item->state == JOB_ITEM_LISTED)
    return;
  item->completed = completed;
  tln_record (env->tln, env->now, MOD_JOB,
              completed ? "item-done" : "item-dead",
              "job=%s item=%s events=%llu", job->rec->id,
              job->rec->items[index].id, (unsigned long long)item->last_event);
  cnt_add (env->cnt, "rts_job_items_total",
           completed ? "outcome=\"done\"" : "outcome=\"dead\"", 1);
  if (completed)
    {
      item->state = JOB_ITEM_TEXT_PENDING;
      item->not_before = env->now;
    }
  else
    {
      item->state = JOB_ITEM_LIST_PENDING;
      job_text_drop (item);
    }
  job_list_step (j, env, job);
}

void
job_list_replied (job_set_t *j, env_t *env, const job_op_t *op,
                  const ev_platform_t *reply)
{
  job_t *job = tbl_get (j->jobs, op->owner);
  if (job == NULL)
    return;
  if (op->kind == JOB_OP_LIST_TEXT)
    _job_text_replied (j, env, job, op->index, reply);
  else
    _job_record_replied (j, env, job, op->kind, reply);
}

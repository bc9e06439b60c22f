/** @file
 * Calls: requests that read a job's results or an item's body, or end a job.
 *
 * The response to a call comes from the record that this VM holds if that
 * suffices.  Before a caller is told that there is no new result, the runner
 * confirms that the record is the newest; without that, and before a caller is
 * told that there is no such job, the record is read from the platform.
 */
#include "core/job_int.h"

#include "core/rpl.h"

#include <string.h>
#include <talloc.h>

/** Most bytes of text in one response. */
#define JOB_RESPONSE_BYTES ((size_t)900 << 10)
/** Time in which the runner's response is awaited before the platform is
 * read. */
#define JOB_RUNNER_RESPONSE_MS 100
/** Time for platform reads, counted from the end of the wait for results. */
#define JOB_CALL_TIMEOUT_MS (2 * CLK_SECOND)

void
job_call_free (job_set_t *j, job_call_t *c)
{
  talloc_free (c->id);
  tbl_free (j->calls, c->self);
}

static void
_job_call_refuse (job_set_t *j, env_t *env, job_call_t *c, int status,
                  const char *code)
{
  tln_record (env->tln, env->now, MOD_JOB, "call-refused", "job=%s code=%s",
              c->id, code);
  rpl_error (
      env, c->caller,
      &(rpl_error_t){ .status = status,
                      .code = code,
                      .message = status == 404 ? "no such job or item"
                                               : "it is not known now",
                      .run = status == 504 ? RPL_UNKNOWN : RPL_NOT_RUN,
                      .retry_after_ms = status >= 500 ? CLK_SECOND / 2 : 0 });
  job_call_free (j, c);
}

/* Ends C, whose time is over.  An end that was asked for is still written when
 * it can be, so that 503, which promises that nothing is done, is not true. */
static void
_job_call_give_up (job_set_t *j, env_t *env, job_call_t *c, const job_t *job)
{
  bool ends = c->op == EV_JOB_CANCEL && job != NULL && job->end_wanted;
  _job_call_refuse (j, env, c, ends ? 504 : 503, "platform-unavailable");
}

/* -- the record ------------------------------------------------------------
 */

/* Reads the record from the platform. */
static void
_job_call_record_read (job_set_t *j, env_t *env, job_call_t *c)
{
  char *name = talloc_asprintf (c->id, JOB_RECORD_PREFIX "%s", c->id);
  c->record_reading = true;
  job_call_platform (j, env, JOB_OP_READ_RECORD, c->self, 0,
                     &(plt_req_t){ .op = FX_PLATFORM_GET, .name = name });
}

static void
_job_call_record_replied (job_set_t *j, env_t *env, job_call_t *c,
                          const ev_platform_t *reply)
{
  tbl_id_t self = c->self;
  c->record_reading = false;
  if (reply->code == ST_NOT_FOUND)
    {
      _job_call_refuse (j, env, c, 404, "no-job");
      return;
    }
  if (reply->code != ST_OK || reply->object_count == 0)
    {
      c->retry_at = env->now + JOB_RETRY_MS;
      return;
    }
  c->record_read = true;
  (void)job_record_apply (j, env, reply->objects[0].version,
                          reply->objects[0].value);
  c = tbl_get (j->calls, self);
  if (c != NULL)
    job_call_step (j, env, c);
}

/* -- results ---------------------------------------------------------------
 */

/* Sets TEXT to the text of the result at POSITION; false when the text is not
 * cached. */
static bool
_job_text (const job_t *job, uint32_t position, buf_t *text)
{
  const job_rec_result_t *r = &job->rec->results[position];
  *text = (buf_t){ .p = "", .n = 0 };
  if (!r->completed)
    return true;
  if (job->texts[r->item].p != NULL)
    *text = job->texts[r->item];
  else
    return false;
  return true;
}

static void
_job_results_reply (job_set_t *j, env_t *env, job_call_t *c, const job_t *job)
{
  uint32_t n = job->rec->result_count;
  fx_job_result_t *v = talloc_array (c->id, fx_job_result_t, n + 1);
  size_t bytes = 0;
  size_t count = 0;
  for (uint64_t at = c->after; at < n; at++)
    {
      buf_t text;
      const job_rec_result_t *r = &job->rec->results[at];
      if (!_job_text (job, (uint32_t)at, &text)
          || (count > 0 && bytes + text.n > JOB_RESPONSE_BYTES))
        break;
      bytes += text.n;
      v[count++] = (fx_job_result_t){ .id = job->rec->items[r->item].id,
                                      .completed = r->completed,
                                      .text = text };
    }
  fx_push (env->fx, &(fx_t){ .kind = FX_REPLY_JOB_RESULTS,
                             .results = { .caller = c->caller,
                                          .total = job->rec->item_count,
                                          .next = c->after + count,
                                          .v = v,
                                          .count = count } });
  job_call_free (j, c);
}

/* Asks the runner, once, for the texts that the response needs; true while its
 * response is awaited. */
static bool
_job_call_texts_request (job_set_t *j, env_t *env, job_call_t *c,
                         const job_t *job)
{
  if (c->texts_requested_at != 0)
    return job->text_missing_at < c->texts_requested_at
           && env->now < c->texts_requested_at + JOB_RUNNER_RESPONSE_MS;
  bool requested = false;
  c->texts_requested_at = env->now;
  for (uint64_t at = c->after; at < job->rec->result_count; at++)
    {
      buf_t text;
      if (!_job_text (job, (uint32_t)at, &text))
        requested = job_text_request (j, env, job, job->rec->results[at].item)
                    || requested;
    }
  return requested;
}

/* Reads the texts that the response needs and that are not cached; false when
 * there are none. */
static bool
_job_call_texts_read (job_set_t *j, env_t *env, job_call_t *c,
                      const job_t *job)
{
  size_t bytes = 0;
  for (uint64_t at = c->after; at < job->rec->result_count; at++)
    {
      buf_t text;
      if (_job_text (job, (uint32_t)at, &text))
        {
          bytes += text.n;
          if (bytes > JOB_RESPONSE_BYTES)
            break;
          continue;
        }
      uint32_t item = job->rec->results[at].item;
      char *name = talloc_asprintf (c->id, JOB_TEXT_PREFIX "%s/%u",
                                    job->rec->id, item);
      c->pending_reads++;
      job_call_platform (j, env, JOB_OP_READ_TEXT, c->self, item,
                         &(plt_req_t){ .op = FX_PLATFORM_GET,
                                       .name = name,
                                       .allow_stale = !c->latest });
    }
  return c->pending_reads > 0;
}

/* A read of an object for C has failed with CODE.  One that is not found is
 * read at once without a stale answer, and then after a pause. */
static void
_job_call_read_failed (const env_t *env, job_call_t *c, st_code_t code)
{
  bool was_stale = code == ST_NOT_FOUND && !c->latest;
  c->latest = true;
  c->retry_at = env->now + (was_stale ? 0 : JOB_RETRY_MS);
}

static void
_job_call_text_replied (job_set_t *j, env_t *env, job_call_t *c,
                        const job_op_t *op, const ev_platform_t *reply)
{
  job_t *job = job_find (j, c->id);
  c->pending_reads--;
  if (reply->code == ST_OK && reply->object_count > 0 && job != NULL
      && reply->objects[0].value.p != NULL)
    job_text_cache (j, job, op->index, reply->objects[0].value);
  else
    _job_call_read_failed (env, c, reply->code);
  if (c->pending_reads == 0)
    job_call_step (j, env, c);
}

/* Whether no text that the response needs is missing. */
static bool
_job_texts_complete (const job_call_t *c, const job_t *job)
{
  size_t bytes = 0;
  for (uint64_t at = c->after;
       at < job->rec->result_count && bytes <= JOB_RESPONSE_BYTES; at++)
    {
      buf_t text;
      if (!_job_text (job, (uint32_t)at, &text))
        return false;
      bytes += text.n;
    }
  return true;
}

static void
_job_read_step (job_set_t *j, env_t *env, job_call_t *c, job_t *job)
{
  bool new_results = c->after < job->rec->result_count;
  if (new_results)
    {
      if (_job_texts_complete (c, job))
        _job_results_reply (j, env, c, job);
      else if (!_job_call_texts_request (j, env, c, job))
        (void)_job_call_texts_read (j, env, c, job);
      return;
    }
  bool all_listed = job->rec->result_count == job->rec->item_count;
  bool finished = all_listed && c->after == job->rec->result_count;
  /* What was about to be listed when the job ended is listed after that, and
   * nobody runs the job who could confirm its record. */
  if (job->rec->ended && !all_listed && !c->record_read)
    {
      _job_call_record_read (j, env, c);
      return;
    }
  bool certain = c->record_read || job_is_confirmed (j, env, c, job);
  bool waited = env->now >= c->wait_until;
  if (finished || job->rec->ended || (certain && waited))
    _job_results_reply (j, env, c, job);
  else if (c->after > job->rec->result_count
           || (waited && c->followed_at != 0
               && env->now >= c->followed_at + JOB_RUNNER_RESPONSE_MS))
    _job_call_record_read (j, env, c);
  else
    {
      job_follow (j, env, c, job);
      if (waited && c->followed_at == 0)
        _job_call_record_read (j, env, c);
    }
}

/* -- bodies ----------------------------------------------------------------
 */

static const job_rec_item_t *
_job_item (const job_t *job, const char *id)
{
  for (uint32_t i = 0; i < job->rec->item_count; i++)
    if (strcmp (job->rec->items[i].id, id) == 0)
      return &job->rec->items[i];
  return NULL;
}

static void
_job_body_step (job_set_t *j, env_t *env, job_call_t *c, const job_t *job)
{
  const job_rec_item_t *item = _job_item (job, c->item);
  if (item == NULL)
    {
      _job_call_refuse (j, env, c, 404, "no-item");
      return;
    }
  if (item->length == 0)
    {
      rpl_text (env, c->caller, 200, "application/octet-stream", (buf_t){ 0 });
      job_call_free (j, c);
      return;
    }
  char *name = talloc_asprintf (c->id, JOB_BODY_PREFIX "%s/%u", job->rec->id,
                                item->part);
  c->pending_reads++;
  job_call_platform (j, env, JOB_OP_READ_BODY, c->self, item->part,
                     &(plt_req_t){ .op = FX_PLATFORM_GET,
                                   .name = name,
                                   .allow_stale = !c->latest });
}

static void
_job_call_body_replied (job_set_t *j, env_t *env, job_call_t *c,
                        const ev_platform_t *reply)
{
  const job_t *job = job_find (j, c->id);
  const job_rec_item_t *item = job == NULL ? NULL : _job_item (job, c->item);
  c->pending_reads--;
  if (reply->code != ST_OK || reply->object_count == 0 || item == NULL)
    {
      _job_call_read_failed (env, c, reply->code); /* a tick repeats it */
      return;
    }
  buf_t part = reply->objects[0].value;
  if ((size_t)item->offset + item->length > part.n)
    {
      tln_record (env->tln, env->now, MOD_JOB, "body-unreadable", "job=%s",
                  c->id);
      _job_call_refuse (j, env, c, 503, "body-unreadable");
      return;
    }
  rpl_text (env, c->caller, 200, "application/octet-stream",
            (buf_t){ .p = part.p + item->offset, .n = item->length });
  job_call_free (j, c);
}

/* -- calls -----------------------------------------------------------------
 */

static void
_job_end_step (job_set_t *j, env_t *env, job_call_t *c, job_t *job)
{
  if (job->rec->ended)
    {
      rpl_text (env, c->caller, 200, "application/json", buf_str ("{}"));
      job_call_free (j, c);
      return;
    }
  job->end_wanted = true;
  job_list_step (j, env, job);
}

/* The job of C is not known here.  In a large fleet, where updates do not go
 * to all VMs, the VM that runs the job is asked first; the platform if it does
 * not answer. */
static void
_job_unknown_step (job_set_t *j, env_t *env, job_call_t *c)
{
  if (mbr_is_grid (j->desc.members))
    job_follow (j, env, c, NULL);
  if (c->followed_at == 0
      || env->now >= c->followed_at + JOB_RUNNER_RESPONSE_MS)
    _job_call_record_read (j, env, c);
}

void
job_call_step (job_set_t *j, env_t *env, job_call_t *c)
{
  if (c->pending_reads > 0 || c->record_reading)
    return;
  job_t *job = job_find (j, c->id);
  if (env->now >= c->deadline)
    _job_call_give_up (j, env, c, job);
  else if (env->now < c->retry_at)
    return;
  else if (job == NULL)
    _job_unknown_step (j, env, c);
  else if (strcmp (job->rec->customer, c->customer) != 0)
    _job_call_refuse (j, env, c, 404, "no-job");
  else if (c->op == EV_JOB_READ)
    _job_read_step (j, env, c, job);
  else if (c->op == EV_JOB_BODY)
    _job_body_step (j, env, c, job);
  else
    _job_end_step (j, env, c, job);
}

void
job_read_replied (job_set_t *j, env_t *env, const job_op_t *op,
                  const ev_platform_t *reply)
{
  job_call_t *c = tbl_get (j->calls, op->owner);
  if (c == NULL)
    return;
  if (op->kind == JOB_OP_READ_RECORD)
    _job_call_record_replied (j, env, c, reply);
  else if (op->kind == JOB_OP_READ_TEXT)
    _job_call_text_replied (j, env, c, op, reply);
  else
    _job_call_body_replied (j, env, c, reply);
}

void
job_call_start (job_set_t *j, env_t *env, const char *customer,
                const ev_request_t *req)
{
  tbl_id_t id = tbl_alloc (j->calls);
  job_call_t *c = tbl_get (j->calls, id);
  clk_ms_t wait = clk_min (req->meta.long_poll_ms, JOB_POLL_MS_MAX);
  c->self = id;
  c->caller = req->caller;
  c->op = req->job.op;
  c->id = talloc_strdup (j, req->job.id);
  c->customer = talloc_strdup (c->id, customer);
  c->item = talloc_strdup (c->id, req->job.item == NULL ? "" : req->job.item);
  c->after = req->job.after;
  c->arrived = env->now;
  c->wait_until = env->now + wait;
  c->deadline = c->wait_until + JOB_CALL_TIMEOUT_MS;
  job_tick_arm (j, env);
  job_call_step (j, env, c);
}

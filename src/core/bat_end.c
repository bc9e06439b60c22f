#include "core/bat_int.h"
#include "core/inv.h"

#include <string.h>
#include <talloc.h>

#define BAT_END_WRITES_MAX 8          /* chunk writes of a job in flight */
#define BAT_END_BACKOFF_RETRIES_MAX 5 /* limits the back-off only */

/* Time after which a caller gets a response although the job has not ended. */
#define BAT_END_RESPONSE_TIMEOUT_MS (5 * CLK_SECOND)

#define BAT_END_RETRY_AFTER_MS (2 * CLK_SECOND)

static void
_bat_end_free (bat_t *b, bat_job_end_t *f)
{
  talloc_free (f->ctx);
  tbl_free (b->ends, f->self);
}

static void
_bat_end_manifest_read (bat_t *b, env_t *env, bat_job_end_t *f)
{
  f->reading = true;
  char *name = bat_name_job (NULL, f->id);
  bat_platform_call (b, env, BAT_OP_END_MANIFEST, f->self, 0,
                     &(plt_req_t){ .op = FX_PLATFORM_GET, .name = name });
  talloc_free (name);
}

/* Responds to a caller that has waited for BAT_END_RESPONSE_TIMEOUT_MS. */
static void
_bat_end_reply_overdue (env_t *env, bat_job_end_t *f)
{
  if (f->caller == 0 || env->now - f->started_at < BAT_END_RESPONSE_TIMEOUT_MS)
    return;
  if (f->manifest.id != NULL && f->manifest.state == BAT_JOB_CANCELLING)
    bat_reply_manifest (env, f->caller, 202, &f->manifest);
  else
    bat_reply_error (env, f->caller, 503, "unavailable",
                     f->may_be_written ? "unknown" : "not-run",
                     BAT_END_RETRY_AFTER_MS,
                     "the platform cannot be reached; send it again");
  f->caller = 0;
}

/* Reads the manifest again after a back-off and continues from there.  A
 * cancellation that the manifest does not record yet ends when its caller has
 * got a response or has gone. */
static void
_bat_end_retry_later (bat_t *b, env_t *env, bat_job_end_t *f)
{
  _bat_end_reply_overdue (env, f);
  bool cancelling
      = f->manifest.id != NULL && f->manifest.state == BAT_JOB_CANCELLING;
  if (f->caller == 0 && !cancelling)
    {
      _bat_end_free (b, f);
      return;
    }
  if (f->retry_armed)
    return;
  f->retry_armed = true;
  if (f->retries < BAT_END_BACKOFF_RETRIES_MAX)
    f->retries++;
  bat_timer_arm (b, env, bat_backoff (env, f->retries - 1), BAT_OP_END_RETRY,
                 f->self);
}

void
bat_end_retry (bat_t *b, env_t *env, tbl_id_t id)
{
  bat_job_end_t *f = tbl_get (b->ends, id);
  if (f == NULL)
    return;
  f->retry_armed = false;
  if (!f->reading && f->in_flight == 0)
    _bat_end_manifest_read (b, env, f);
}

static bat_job_end_t *
_bat_end_new (bat_t *b, env_t *env, const char *id)
{
  tbl_id_t self = tbl_alloc (b->ends);
  bat_job_end_t *f = tbl_get (b->ends, self);
  *f = (bat_job_end_t){ .self = self,
                        .ctx = talloc_new (b),
                        .started_at = env->now };
  g_strlcpy (f->id, id, sizeof f->id);
  return f;
}

void
bat_end_cancel (bat_t *b, env_t *env, const char *customer, const char *id,
                uint64_t caller)
{
  bat_job_end_t *f = _bat_end_new (b, env, id);
  f->caller = caller;
  f->cancel = true;
  f->customer = talloc_strdup (f->ctx, customer);
  _bat_end_manifest_read (b, env, f);
}

void
bat_end_start (bat_t *b, env_t *env, const char *id)
{
  for (tbl_id_t i = tbl_next (b->ends, (tbl_id_t){ 0 }); i.id != 0;
       i = tbl_next (b->ends, i))
    {
      bat_job_end_t *f = tbl_get (b->ends, i);
      if (strcmp (f->id, id) == 0)
        return;
    }
  _bat_end_manifest_read (b, env, _bat_end_new (b, env, id));
}

/* -- manifest ------------------------------------------------------------- */

/* Writes the manifest with the state that EVENT leads to in charts/job.ini. */
static void
_bat_end_manifest_write (bat_t *b, env_t *env, bat_job_end_t *f, int event,
                         bat_op_kind_t kind)
{
  bat_manifest_t m = f->manifest;
  cht_step_t step = cht_fire (b->job_chart, (int)m.state, event, 0);
  m.state = (bat_job_state_t)step.next;
  m.token = bat_token_new (b, env, f->ctx);
  char *name = bat_name_job (NULL, f->id);
  char *value = bat_manifest_encode (name, &m);
  f->next_state = m.state;
  bat_platform_call (b, env, kind, f->self, 0,
                     &(plt_req_t){ .op = FX_PLATFORM_PUT,
                                   .name = name,
                                   .if_version = f->version,
                                   .value = buf_str (value) });
  talloc_free (name);
}

/* The state in the manifest is final: responds to the caller, and removes the
 * job from the index. */
static void
_bat_end_finished (bat_t *b, env_t *env, bat_job_end_t *f)
{
  bat_reply_manifest (env, f->caller, 200, &f->manifest);
  f->caller = 0;
  char *name = bat_name_open_job (NULL, f->id);
  bat_platform_call (b, env, BAT_OP_END_OPEN_READ, f->self, 0,
                     &(plt_req_t){ .op = FX_PLATFORM_GET, .name = name });
  talloc_free (name);
}

static void
_bat_end_open_job_delete (bat_t *b, env_t *env, bat_job_end_t *f,
                          const ev_platform_t *reply)
{
  if (reply->code != ST_OK || reply->object_count == 0)
    {
      _bat_end_free (b, f);
      return;
    }
  char *name = bat_name_open_job (NULL, f->id);
  bat_platform_call (b, env, BAT_OP_END_OPEN_DELETE, f->self, 0,
                     &(plt_req_t){ .op = FX_PLATFORM_DELETE,
                                   .name = name,
                                   .if_version = reply->objects[0].version });
  talloc_free (name);
}

static void
_bat_end_chunks_list (bat_t *b, env_t *env, bat_job_end_t *f)
{
  f->reading = true;
  char *name = bat_name_chunks (NULL, f->id);
  bat_platform_call (b, env, BAT_OP_END_CHUNK_LIST, f->self, 0,
                     &(plt_req_t){ .op = FX_PLATFORM_LIST, .name = name });
  talloc_free (name);
}

static void
_bat_end_manifest_read_replied (bat_t *b, env_t *env, bat_job_end_t *f,
                                const ev_platform_t *reply)
{
  if (reply->code != ST_OK && reply->code != ST_NOT_FOUND)
    {
      _bat_end_retry_later (b, env, f);
      return;
    }
  void *old = f->manifest_ctx;
  f->manifest_ctx = talloc_new (f->ctx);
  bool found = reply->object_count > 0
               && bat_manifest_decode (f->manifest_ctx,
                                       reply->objects[0].value, &f->manifest);
  talloc_free (old);
  if (!found
      || (f->customer != NULL
          && strcmp (f->customer, f->manifest.customer) != 0))
    {
      bat_reply_error (env, f->caller, 404, "not-found", "not-run", 0,
                       "no such job");
      _bat_end_free (b, f);
      return;
    }
  f->version = reply->objects[0].version;
  switch (f->manifest.state)
    {
    case BAT_JOB_RUNNING:
      if (f->cancel)
        _bat_end_manifest_write (b, env, f, BAT_JOB_EV_CANCEL,
                                 BAT_OP_END_MANIFEST_WRITE);
      else
        _bat_end_chunks_list (b, env, f);
      break;
    case BAT_JOB_CANCELLING:
      _bat_end_chunks_list (b, env, f);
      break;
    default:
      _bat_end_finished (b, env, f);
      break;
    }
}

/* -- chunks --------------------------------------------------------------- */

static uint32_t
_bat_end_chunk_items (const bat_manifest_t *m, uint32_t chunk)
{
  uint32_t end = chunk + 1 < m->chunks ? m->firsts[chunk + 1] : m->items;
  return end - m->firsts[chunk];
}

static void
_bat_end_chunk_write (bat_t *b, env_t *env, bat_job_end_t *f, uint32_t chunk,
                      const bat_chunk_t *rec, uint64_t version)
{
  char *name = bat_name_chunk (NULL, f->id, chunk);
  char *value = bat_chunk_encode (name, rec);
  f->in_flight++;
  bat_platform_call (b, env, BAT_OP_END_CHUNK_WRITE, f->self, chunk,
                     &(plt_req_t){ .op = FX_PLATFORM_PUT,
                                   .name = name,
                                   .if_version = version,
                                   .value = buf_str (value) });
  talloc_free (name);
}

/* Cancels a chunk that no VM holds.  In the record of a held chunk, sets the
 * stop flag: the holder's next write then meets a conflict, and the holder
 * reads the flag. */
static void
_bat_end_stop_chunk (bat_t *b, env_t *env, bat_job_end_t *f, uint32_t chunk,
                     const bat_chunk_t *seen, uint64_t version)
{
  /* The outcomes of items that may have run are decided by a new holder. */
  bool settled = seen->state == BAT_CHUNK_WAITING && seen->intent == 0;
  if (seen->stop && !settled)
    return;
  bat_chunk_t rec = *seen;
  rec.token = bat_token_new (b, env, f->ctx);
  rec.stop = true;
  if (settled)
    {
      const bat_counts_t *c = &seen->counts;
      rec.state = BAT_CHUNK_FINAL;
      rec.counts.cancelled += _bat_end_chunk_items (&f->manifest, chunk)
                              - (c->done + c->failed + c->cancelled);
    }
  _bat_end_chunk_write (b, env, f, chunk, &rec, version);
}

/* Record of a chunk, and its version. */
typedef struct
{
  bat_chunk_t rec;
  uint64_t version;
} _bat_end_chunk_t;

static _bat_end_chunk_t *
_bat_end_chunks_decode (void *ctx, const bat_manifest_t *m,
                        const ev_platform_t *reply)
{
  _bat_end_chunk_t *seen
      = talloc_zero_array (ctx, _bat_end_chunk_t, m->chunks);
  for (uint32_t i = 0; i < m->chunks; i++)
    seen[i].rec = (bat_chunk_t){ .holder = "", .token = "" };
  for (size_t i = 0; i < reply->object_count; i++)
    {
      uint32_t n = bat_name_chunk_number (reply->objects[i].name);
      if (n >= m->chunks
          || !bat_chunk_decode (seen, reply->objects[i].value, &seen[n].rec))
        continue;
      seen[n].version = reply->objects[i].version;
    }
  return seen;
}

/* All chunks are final: writes the final state of the job. */
static void
_bat_end_settle (bat_t *b, env_t *env, bat_job_end_t *f)
{
  const bat_counts_t *c = &f->manifest.counts;
  INV_CHECK (c->done + c->failed + c->cancelled == f->manifest.items,
             "batch-job-whole", "%s: %u done, %u failed, %u cancelled of %u",
             f->id, c->done, c->failed, c->cancelled, f->manifest.items);
  _bat_end_manifest_write (b, env, f, BAT_JOB_EV_SETTLE,
                           BAT_OP_END_MANIFEST_WRITE);
}

static void
_bat_end_stop_chunks (bat_t *b, env_t *env, bat_job_end_t *f,
                      const _bat_end_chunk_t *seen)
{
  if (!f->notified)
    bat_scan_notify (b, env, f->id, f->manifest.chunks, BAT_MSG_STOP);
  for (uint32_t i = 0;
       i < f->manifest.chunks && f->in_flight < BAT_END_WRITES_MAX; i++)
    {
      if (seen[i].rec.state != BAT_CHUNK_FINAL)
        _bat_end_stop_chunk (b, env, f, i, &seen[i].rec, seen[i].version);
    }
  if (f->in_flight == 0)
    {
      f->notified = true;
      _bat_end_retry_later (b, env, f);
    }
}

static void
_bat_end_chunks_replied (bat_t *b, env_t *env, bat_job_end_t *f,
                         const ev_platform_t *reply)
{
  if (reply->code != ST_OK)
    {
      _bat_end_retry_later (b, env, f);
      return;
    }
  void *ctx = talloc_new (NULL);
  const bat_manifest_t *m = &f->manifest;
  _bat_end_chunk_t *seen = _bat_end_chunks_decode (ctx, m, reply);
  uint32_t final = 0;
  bat_counts_t sum = { 0 };
  for (uint32_t i = 0; i < m->chunks; i++)
    {
      final += seen[i].rec.state == BAT_CHUNK_FINAL;
      sum.done += seen[i].rec.counts.done;
      sum.failed += seen[i].rec.counts.failed;
      sum.cancelled += seen[i].rec.counts.cancelled;
    }
  f->manifest.counts = sum;
  if (final == m->chunks)
    _bat_end_settle (b, env, f);
  else if (m->state == BAT_JOB_CANCELLING)
    _bat_end_stop_chunks (b, env, f, seen);
  else
    _bat_end_free (b, f);
  talloc_free (ctx);
}

/* A chunk write has ended.  The next list, which follows when no write is in
 * flight, shows whether the write succeeded. */
static void
_bat_end_chunk_write_replied (bat_t *b, env_t *env, bat_job_end_t *f)
{
  f->in_flight--;
  if (f->in_flight > 0)
    return;
  bat_scan_notify (b, env, f->id, f->manifest.chunks, BAT_MSG_STOP);
  bat_holds_renew (b, env, f->id);
  _bat_end_reply_overdue (env, f);
  if (!f->retry_armed)
    _bat_end_chunks_list (b, env, f);
}

/* Unless the write certainly succeeded, the manifest is read again, so that
 * the next step starts from the stored state, no matter which VM wrote it. */
static void
_bat_end_manifest_write_replied (bat_t *b, env_t *env, bat_job_end_t *f,
                                 const ev_platform_t *reply)
{
  if (reply->code == ST_UNKNOWN)
    f->may_be_written = true;
  if (reply->code != ST_OK)
    {
      _bat_end_retry_later (b, env, f);
      return;
    }
  f->version = reply->objects[0].version;
  f->manifest.state = f->next_state;
  tln_record (env->tln, env->now, MOD_BATCH, "job", "job=%s state=%s", f->id,
              bat_job_state_name (f->next_state));
  if (f->next_state == BAT_JOB_CANCELLING)
    {
      cnt_add (env->cnt, "rts_batch_jobs_cancelled_total", "", 1);
      _bat_end_chunks_list (b, env, f);
      return;
    }
  cnt_add (env->cnt, "rts_batch_jobs_ended_total", "", 1);
  _bat_end_finished (b, env, f);
}

void
bat_end_replied (bat_t *b, env_t *env, const bat_op_t *op,
                 const ev_platform_t *reply)
{
  bat_job_end_t *f = tbl_get (b->ends, op->owner);
  if (f == NULL)
    return;
  f->reading = false;
  switch (op->kind)
    {
    case BAT_OP_END_MANIFEST:
      _bat_end_manifest_read_replied (b, env, f, reply);
      break;
    case BAT_OP_END_MANIFEST_WRITE:
      _bat_end_manifest_write_replied (b, env, f, reply);
      break;
    case BAT_OP_END_CHUNK_LIST:
      _bat_end_chunks_replied (b, env, f, reply);
      break;
    case BAT_OP_END_CHUNK_WRITE:
      _bat_end_chunk_write_replied (b, env, f);
      break;
    case BAT_OP_END_OPEN_READ:
      _bat_end_open_job_delete (b, env, f, reply);
      break;
    default:
      /* If the index entry still exists, a later scan ends the job again. */
      _bat_end_free (b, f);
      break;
    }
}

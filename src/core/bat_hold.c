#include "core/bat_int.h"
#include "core/inv.h"

#include <string.h>
#include <talloc.h>

/* -- states --------------------------------------------------------------- */

static void
_bat_hold_free (bat_t *b, bat_hold_t *h)
{
  g_string_free (h->unsaved, TRUE);
  talloc_free (h->ctx);
  tbl_free (b->holds, h->self);
}

/* Ends and frees the hold: from now on none of its items may be sent. */
static void
_bat_hold_end (bat_t *b, env_t *env, bat_hold_t *h, bool final)
{
  bat_item_stop_all (b, env, h);
  char id[BAT_ID_SIZE];
  g_strlcpy (id, h->id, sizeof id);
  bat_job_t *job = bat_job_find (b, id);
  if (job != NULL)
    {
      bat_chunk_view_t *v = &job->views[h->chunk];
      v->held_here = false;
      v->version_seen_at = env->now;
      v->term_ms = b->desc.term_ms;
      /* This VM does not take the chunk again before it has read the record,
       * or a whole lease term has passed. */
      v->state = final ? BAT_CHUNK_FINAL : BAT_CHUNK_LEASED;
      job->recorded_final = job->recorded_final || final;
    }
  _bat_hold_free (b, h);
  bat_scan_take_more (b, env, id);
}

/* Runs an action of charts/chunk.ini; false when H has been freed. */
static bool
_bat_hold_action_run (bat_t *b, env_t *env, bat_hold_t *h, int action)
{
  switch (action)
    {
    case BAT_HOLD_DO_LOAD:
      bat_load_start (b, env, h);
      return true;
    case BAT_HOLD_DO_CANCEL_ITEMS:
      bat_item_cancel_all (b, env, h);
      return true;
    case BAT_HOLD_DO_RETURN_ITEMS:
      bat_item_stop_idempotent (b, env, h);
      return true;
    case BAT_HOLD_DO_RUN:
      return true;
    default:
      _bat_hold_end (b, env, h, h->rec.state == BAT_CHUNK_FINAL);
      return false;
    }
}

bool
bat_hold_fire (bat_t *b, env_t *env, bat_hold_t *h, int event)
{
  cht_step_t step = cht_fire (b->chunk_chart, (int)h->state, event, 0);
  h->state = (bat_hold_state_t)step.next;
  for (size_t i = 0; i < step.action_count; i++)
    {
      if (!_bat_hold_action_run (b, env, h, step.actions[i]))
        return false;
    }
  return true;
}

void
bat_hold_timer_arm (bat_t *b, env_t *env, bat_hold_t *h, clk_ms_t at)
{
  if (h->timer_at > env->now && h->timer_at <= at)
    return;
  h->timer_at = at;
  bat_timer_arm (b, env, at - env->now, BAT_OP_HOLD_TIMER, h->self);
}

/* -- leasing -------------------------------------------------------------- */

/* Writes the lease over REC, the record that the platform has at VERSION (0:
 * none). */
static void
_bat_lease_write (bat_t *b, env_t *env, bat_hold_t *h, const bat_chunk_t *rec,
                  uint64_t version)
{
  bat_hold_rec_set (h, rec, version);
  h->rec.fence++;
  bat_write_begin (b, env, h, BAT_CHUNK_LEASED, h->rec.intent);
}

/* Handles the read of the record that precedes the lease. */
static void
_bat_lease_read_replied (bat_t *b, env_t *env, bat_hold_t *h,
                         const ev_platform_t *reply)
{
  void *ctx = talloc_new (NULL);
  bat_chunk_t rec;
  bool ok = reply->code == ST_OK && reply->object_count > 0
            && reply->objects[0].version == h->version
            && bat_chunk_decode (ctx, reply->objects[0].value, &rec)
            && rec.state != BAT_CHUNK_FINAL;
  h->write.step = BAT_WRITE_NONE;
  if (ok)
    _bat_lease_write (b, env, h, &rec, h->version);
  else
    (void)bat_hold_fire (b, env, h, BAT_HOLD_EV_FENCED);
  talloc_free (ctx);
}

void
bat_hold_start (bat_t *b, env_t *env, const bat_job_t *job, uint32_t chunk)
{
  tbl_id_t self = tbl_alloc (b->holds);
  bat_hold_t *h = tbl_get (b->holds, self);
  void *ctx = talloc_new (b);
  *h = (bat_hold_t){ .self = self,
                     .ctx = ctx,
                     .digest = talloc_strdup (ctx, job->manifest.digest),
                     .customer = talloc_strdup (ctx, job->open.customer),
                     .chunk = chunk,
                     .first = job->manifest.firsts[chunk],
                     .version = job->views[chunk].version,
                     .state = (bat_hold_state_t)cht_initial (b->chunk_chart),
                     .unsaved = g_string_new (NULL) };
  g_strlcpy (h->id, job->id, sizeof h->id);
  if (job->open.due != 0)
    h->due = job->open.due - b->desc.unix_offset_ms;
  static const bat_chunk_t none = { .holder = "", .token = "" };
  if (h->version == 0)
    _bat_lease_write (b, env, h, &none, 0);
  else
    bat_write_record_read (b, env, h);
}

/* -- replies -------------------------------------------------------------- */

/* Repeats the current step of the write after a back-off. */
static void
_bat_write_retry (bat_t *b, env_t *env, bat_hold_t *h)
{
  bat_timer_arm (b, env, bat_backoff (env, h->write.retries++),
                 BAT_OP_HOLD_RETRY, h->self);
}

static void
_bat_part_replied (bat_t *b, env_t *env, bat_hold_t *h, st_code_t code)
{
  if (code == ST_OK || code == ST_CONFLICT)
    bat_write_record (b, env, h);
  else
    _bat_write_retry (b, env, h);
}

static void
_bat_record_replied (bat_t *b, env_t *env, bat_hold_t *h,
                     const ev_platform_t *reply)
{
  switch (reply->code)
    {
    case ST_OK:
      bat_write_succeeded (b, env, h, reply->objects[0].version);
      return;
    case ST_CONFLICT:
      bat_write_record_read (b, env, h);
      return;
    case ST_UNKNOWN:
    case ST_TIMEOUT:
      h->write.may_be_written = true;
      _bat_write_retry (b, env, h);
      return;
    default:
      if (h->state == BAT_HOLD_LEASING && !h->write.may_be_written)
        (void)bat_hold_fire (b, env, h, BAT_HOLD_EV_FENCED);
      else
        _bat_write_retry (b, env, h);
      return;
    }
}

static void
_bat_hold_read_replied (bat_t *b, env_t *env, bat_hold_t *h,
                        const ev_platform_t *reply)
{
  if (h->state == BAT_HOLD_LEASING && h->write.rec.token == NULL)
    _bat_lease_read_replied (b, env, h, reply);
  else if (reply->code == ST_OK)
    bat_write_conflict_resolve (b, env, h, &reply->objects[0]);
  else if (reply->code == ST_NOT_FOUND)
    bat_hold_fenced (b, env, h);
  else
    _bat_write_retry (b, env, h);
}

void
bat_hold_replied (bat_t *b, env_t *env, const bat_op_t *op,
                  const ev_platform_t *reply)
{
  bat_hold_t *h = tbl_get (b->holds, op->owner);
  if (h == NULL)
    return;
  if (op->kind == BAT_OP_HOLD_PART)
    _bat_part_replied (b, env, h, reply->code);
  else if (op->kind == BAT_OP_HOLD_READ)
    _bat_hold_read_replied (b, env, h, reply);
  else
    _bat_record_replied (b, env, h, reply);
}

static void
_bat_write_resend (bat_t *b, env_t *env, bat_hold_t *h)
{
  switch (h->write.step)
    {
    case BAT_WRITE_PART:
      bat_write_part (b, env, h);
      break;
    case BAT_WRITE_RECORD:
      bat_write_record (b, env, h);
      break;
    case BAT_WRITE_READ:
      bat_write_record_read (b, env, h);
      break;
    case BAT_WRITE_NONE:
      break;
    }
}

void
bat_hold_timer (bat_t *b, env_t *env, const bat_op_t *op)
{
  bat_hold_t *h = tbl_get (b->holds, op->owner);
  if (h == NULL)
    return;
  if (op->kind == BAT_OP_HOLD_RETRY)
    _bat_write_resend (b, env, h);
  else if (op->kind == BAT_OP_HOLD_LOAD_RETRY)
    bat_load_start (b, env, h);
  else
    bat_hold_step (b, env, h);
}

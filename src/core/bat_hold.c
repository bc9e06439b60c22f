#include "core/bat_int.h"
#include "core/inv.h"

#include <string.h>
#include <talloc.h>

#define BAT_RENEW_DIVISOR 3
#define BAT_PART_BYTES ((size_t)384 << 10) /* write results at this size */

/* -- life ----------------------------------------------------------------- */

static void
_bat_hold_free (bat_t *b, bat_hold_t *h)
{
  g_string_free (h->unsaved, TRUE);
  talloc_free (h->ctx);
  tbl_free (b->holds, h->self);
}

/* The hold is over: nothing of it may be sent any more. */
static void
_bat_hold_forget (bat_t *b, env_t *env, bat_hold_t *h, bool final)
{
  bat_item_stop_all (b, env, h);
  char id[BAT_ID_SIZE];
  g_strlcpy (id, h->id, sizeof id);
  bat_job_t *job = bat_job_find (b, id);
  if (job != NULL)
    {
      bat_view_t *v = &job->views[h->chunk];
      v->mine = false;
      v->version_at = env->now;
      v->term_ms = b->desc.term_ms;
      /* Not taken again before it has been looked at. */
      v->state = final ? BAT_CHUNK_FINAL : BAT_CHUNK_LEASED;
      job->finished = job->finished || final;
    }
  _bat_hold_free (b, h);
  bat_scan_more (b, env, id);
}

static bool
_bat_hold_act (bat_t *b, env_t *env, bat_hold_t *h, int action)
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
      bat_item_stop_pausable (b, env, h);
      return true;
    case BAT_HOLD_DO_RUN:
      return true;
    default:
      _bat_hold_forget (b, env, h, h->rec.state == BAT_CHUNK_FINAL);
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
      if (!_bat_hold_act (b, env, h, step.actions[i]))
        return false;
    }
  return true;
}

void
bat_hold_wake (bat_t *b, env_t *env, bat_hold_t *h, clk_ms_t at)
{
  if (h->timer_at > env->now && h->timer_at <= at)
    return;
  h->timer_at = at;
  bat_after (b, env, at - env->now, BAT_OP_HOLD_DUE, h->self);
}

/* -- writing -------------------------------------------------------------- */

static void
_bat_write_record (bat_t *b, env_t *env, bat_hold_t *h)
{
  bat_write_t *w = &h->write;
  w->step = BAT_WRITE_RECORD;
  if (!w->maybe)
    w->base = env->now;
  char *name = bat_name_chunk (NULL, h->id, h->chunk);
  char *value = bat_chunk_write (name, &w->rec);
  bat_call (b, env,
            h->state == BAT_HOLD_LEASING ? BAT_OP_HOLD_LEASE
                                         : BAT_OP_HOLD_RECORD,
            h->self, 0,
            &(plt_req_t){ .op = FX_PLATFORM_PUT,
                          .name = name,
                          .if_version = w->version,
                          .value = buf_str (value) });
  talloc_free (name);
}

static void
_bat_write_part (bat_t *b, env_t *env, bat_hold_t *h)
{
  h->write.step = BAT_WRITE_PART;
  bat_call (b, env, BAT_OP_HOLD_PART, h->self, 0,
            &(plt_req_t){ .op = FX_PLATFORM_PUT,
                          .name = h->write.part_name,
                          .value = h->write.part });
}

static void
_bat_write_read (bat_t *b, env_t *env, bat_hold_t *h)
{
  h->write.step = BAT_WRITE_READ;
  char *name = bat_name_chunk (NULL, h->id, h->chunk);
  bat_call (b, env, BAT_OP_HOLD_READ, h->self, 0,
            &(plt_req_t){ .op = FX_PLATFORM_GET, .name = name });
  talloc_free (name);
}

/* Begin a write that replaces the record by one in STATE: it takes all that
 * is unsaved with it, in a part of its own. */
static void
_bat_write_begin (bat_t *b, env_t *env, bat_hold_t *h, bat_chunk_state_t state,
                  uint32_t intent)
{
  bat_write_t *w = &h->write;
  talloc_free (h->write_ctx);
  h->write_ctx = talloc_new (h->ctx);
  void *ctx = h->write_ctx;
  *w = (bat_write_t){ .version = h->version, .rec = h->rec };
  w->rec.state = state;
  w->rec.token = bat_token (b, env, ctx);
  w->rec.holder = state == BAT_CHUNK_LEASED ? bat_self (env, ctx) : "";
  w->rec.intent = intent;
  w->rec.term_ms = b->desc.term_ms;
  h->renew = false;
  if (h->unsaved->len == 0)
    {
      _bat_write_record (b, env, h);
      return;
    }
  uint32_t n = h->rec.part_count;
  w->rec.parts = talloc_array (ctx, const char *, n + 1);
  for (uint32_t i = 0; i < n; i++)
    w->rec.parts[i] = h->rec.parts[i];
  char *number = talloc_asprintf (ctx, "%lu", (unsigned long)b->write_number);
  w->part_name = bat_name_part (ctx, h->id, h->chunk, h->rec.fence, number);
  w->rec.parts[n] = w->part_name;
  w->rec.part_count = n + 1;
  w->rec.counts.done += h->unsaved_counts.done;
  w->rec.counts.failed += h->unsaved_counts.failed;
  w->rec.counts.cancelled += h->unsaved_counts.cancelled;
  buf_t text = { .p = h->unsaved->str, .n = h->unsaved->len };
  w->part = buf_copy (ctx, text);
  g_string_truncate (h->unsaved, 0);
  h->unsaved_counts = (bat_counts_t){ 0 };
  _bat_write_part (b, env, h);
}

static uint32_t
_bat_counted (const bat_counts_t *c)
{
  return c->done + c->failed + c->cancelled;
}

/* The lowest intent that lets the next waiting non-idempotent item start. */
static uint32_t
_bat_next_intent (const bat_t *b, const bat_hold_t *h)
{
  uint32_t need = h->rec.intent;
  for (uint32_t i = need; i < h->item_count; i++)
    {
      if (!h->items[i].in.idempotent && h->items[i].state == BAT_ITEM_WAITING)
        return MIN (i + b->desc.intent_items, h->item_count);
    }
  return need;
}

static void
_bat_step_running (bat_t *b, env_t *env, bat_hold_t *h)
{
  if (h->ended == h->item_count)
    _bat_write_begin (b, env, h, BAT_CHUNK_FINAL, h->rec.intent);
  else if (h->renew || h->want_intent || env->now >= h->renew_at
           || h->unsaved->len >= BAT_PART_BYTES)
    {
      uint32_t intent
          = h->want_intent ? _bat_next_intent (b, h) : h->rec.intent;
      h->want_intent = false;
      _bat_write_begin (b, env, h, BAT_CHUNK_LEASED, intent);
    }
  else
    bat_hold_wake (b, env, h, h->renew_at);
}

/* Items that must not be repeated end first; then the chunk can be given
 * back.  No intent is left: what was sent has its outcome. */
static void
_bat_step_returning (bat_t *b, env_t *env, bat_hold_t *h)
{
  for (uint32_t i = 0; i < h->item_count; i++)
    {
      if (h->items[i].state != BAT_ITEM_SENT)
        continue;
      if (env->now >= h->renew_at)
        _bat_write_begin (b, env, h, BAT_CHUNK_LEASED, h->rec.intent);
      else
        bat_hold_wake (b, env, h, h->renew_at);
      return;
    }
  bool whole = h->loaded && h->ended == h->item_count;
  _bat_write_begin (b, env, h, whole ? BAT_CHUNK_FINAL : BAT_CHUNK_WAITING,
                    h->loaded ? 0 : h->rec.intent);
}

void
bat_hold_step (bat_t *b, env_t *env, bat_hold_t *h)
{
  if (h->write.step != BAT_WRITE_NONE)
    return;
  switch (h->state)
    {
    case BAT_HOLD_RUNNING:
    case BAT_HOLD_STOPPING:
      _bat_step_running (b, env, h);
      break;
    case BAT_HOLD_RETURNING:
      _bat_step_returning (b, env, h);
      break;
    case BAT_HOLD_LOADING:
      if (env->now >= h->renew_at || h->renew)
        _bat_write_begin (b, env, h, BAT_CHUNK_LEASED, h->rec.intent);
      else
        bat_hold_wake (b, env, h, h->renew_at);
      break;
    default:
      break;
    }
}

/* -- what came of a write ------------------------------------------------- */

/* Keep a copy of REC that lives as long as H. */
static void
_bat_hold_adopt (bat_hold_t *h, const bat_chunk_t *rec, uint64_t version)
{
  void *old = h->rec_ctx;
  h->rec_ctx = talloc_new (h->ctx);
  h->rec = *rec;
  h->rec.holder = talloc_strdup (h->rec_ctx, rec->holder);
  h->rec.token = talloc_strdup (h->rec_ctx, rec->token);
  h->rec.parts = talloc_array (h->rec_ctx, const char *, rec->part_count + 1);
  for (uint32_t i = 0; i < rec->part_count; i++)
    h->rec.parts[i] = talloc_strdup (h->rec_ctx, rec->parts[i]);
  h->version = version;
  talloc_free (old);
}

static void
_bat_write_ok (bat_t *b, env_t *env, bat_hold_t *h, uint64_t version)
{
  bat_write_t *w = &h->write;
  uint32_t before = _bat_counted (&h->rec.counts);
  _bat_hold_adopt (h, &w->rec, version);
  w->step = BAT_WRITE_NONE;
  uint32_t counted = _bat_counted (&h->rec.counts);
  INV_CHECK (counted >= before, "batch-outcomes-only-grow",
             "%s/%u: %u after %u", h->id, h->chunk, counted, before);
  h->lease_until = w->base + h->rec.term_ms;
  h->renew_at = w->base + h->rec.term_ms / BAT_RENEW_DIVISOR;
  if (h->state == BAT_HOLD_LEASING)
    {
      cnt_add (env->cnt, "rts_batch_leases_total", "", 1);
      tln_record (env->tln, env->now, MOD_BATCH, "lease",
                  "job=%s chunk=%u fence=%lu", h->id, h->chunk,
                  (unsigned long)h->rec.fence);
      if (!bat_hold_fire (b, env, h, BAT_HOLD_EV_LEASED))
        return;
      if (!b->leaving || bat_hold_fire (b, env, h, BAT_HOLD_EV_LEAVE))
        bat_hold_step (b, env, h);
      return;
    }
  if (h->rec.state == BAT_CHUNK_LEASED)
    {
      bat_hold_step (b, env, h);
      return;
    }
  INV_CHECK (h->rec.state != BAT_CHUNK_FINAL || counted == h->item_count,
             "batch-final-whole", "%s/%u: %u of %u outcomes", h->id, h->chunk,
             counted, h->item_count);
  cnt_add (env->cnt, "rts_batch_chunks_ended_total", "", 1);
  tln_record (env->tln, env->now, MOD_BATCH,
              h->rec.state == BAT_CHUNK_FINAL ? "final" : "return",
              "job=%s chunk=%u done=%u failed=%u cancelled=%u", h->id,
              h->chunk, h->rec.counts.done, h->rec.counts.failed,
              h->rec.counts.cancelled);
  (void)bat_hold_fire (b, env, h, BAT_HOLD_EV_RECORDED);
}

static void
_bat_hold_fenced (bat_t *b, env_t *env, bat_hold_t *h)
{
  cnt_add (env->cnt, "rts_batch_fenced_total", "", 1);
  tln_record (env->tln, env->now, MOD_BATCH, "fenced", "job=%s chunk=%u",
              h->id, h->chunk);
  (void)bat_hold_fire (b, env, h, BAT_HOLD_EV_FENCED);
}

/* The record is still this hold's, with the flag to stop: what was to be
 * written goes into the next write, on top of it. */
static void
_bat_hold_stopped (bat_t *b, env_t *env, bat_hold_t *h, uint64_t version)
{
  bat_write_t *w = &h->write;
  if (w->part_name != NULL)
    {
      g_string_prepend_len (h->unsaved, w->part.p, (gssize)w->part.n);
      bat_counts_t *c = &h->unsaved_counts;
      c->done += w->rec.counts.done - h->rec.counts.done;
      c->failed += w->rec.counts.failed - h->rec.counts.failed;
      c->cancelled += w->rec.counts.cancelled - h->rec.counts.cancelled;
    }
  h->rec.stop = true;
  h->version = version;
  w->step = BAT_WRITE_NONE;
  if (bat_hold_fire (b, env, h, BAT_HOLD_EV_STOP))
    bat_hold_step (b, env, h);
}

/* A conflict was met: whose record is it? */
static void
_bat_write_judge (bat_t *b, env_t *env, bat_hold_t *h, const ev_object_t *o)
{
  void *ctx = talloc_new (NULL);
  bat_chunk_t rec;
  bool ok = bat_chunk_read (ctx, o->value, &rec);
  bool own = ok && strcmp (rec.token, h->write.rec.token) == 0;
  char *self = bat_self (env, ctx);
  bool stopped = ok && h->state != BAT_HOLD_LEASING && rec.stop
                 && rec.state == BAT_CHUNK_LEASED && rec.fence == h->rec.fence
                 && strcmp (rec.holder, self) == 0;
  talloc_free (ctx);
  if (own)
    _bat_write_ok (b, env, h, o->version);
  else if (stopped)
    _bat_hold_stopped (b, env, h, o->version);
  else
    _bat_hold_fenced (b, env, h);
}

/* -- leasing -------------------------------------------------------------- */

/* Lease on top of REC, the record that is there (zeroed: none). */
static void
_bat_lease (bat_t *b, env_t *env, bat_hold_t *h, const bat_chunk_t *rec,
            uint64_t version)
{
  _bat_hold_adopt (h, rec, version);
  h->rec.fence++;
  _bat_write_begin (b, env, h, BAT_CHUNK_LEASED, h->rec.intent);
}

/* The record as it is before the lease. */
static void
_bat_lease_read (bat_t *b, env_t *env, bat_hold_t *h,
                 const ev_platform_t *reply)
{
  void *ctx = talloc_new (NULL);
  bat_chunk_t rec;
  bool ok = reply->code == ST_OK && reply->object_count > 0
            && reply->objects[0].version == h->version
            && bat_chunk_read (ctx, reply->objects[0].value, &rec)
            && rec.state != BAT_CHUNK_FINAL;
  h->write.step = BAT_WRITE_NONE;
  if (ok)
    _bat_lease (b, env, h, &rec, h->version);
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
    _bat_lease (b, env, h, &none, 0);
  else
    _bat_write_read (b, env, h);
}

/* -- replies -------------------------------------------------------------- */

static void
_bat_write_retry (bat_t *b, env_t *env, bat_hold_t *h)
{
  bat_after (b, env, bat_backoff (env, h->write.tries++), BAT_OP_HOLD_RETRY,
             h->self);
}

static void
_bat_part_replied (bat_t *b, env_t *env, bat_hold_t *h, st_code_t code)
{
  if (code == ST_OK || code == ST_CONFLICT)
    _bat_write_record (b, env, h);
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
      _bat_write_ok (b, env, h, reply->objects[0].version);
      return;
    case ST_CONFLICT:
      _bat_write_read (b, env, h);
      return;
    case ST_UNKNOWN:
    case ST_TIMEOUT:
      h->write.maybe = true;
      _bat_write_retry (b, env, h);
      return;
    default:
      if (h->state == BAT_HOLD_LEASING && !h->write.maybe)
        (void)bat_hold_fire (b, env, h, BAT_HOLD_EV_FENCED);
      else
        _bat_write_retry (b, env, h);
      return;
    }
}

static void
_bat_read_replied (bat_t *b, env_t *env, bat_hold_t *h,
                   const ev_platform_t *reply)
{
  if (h->state == BAT_HOLD_LEASING && h->write.rec.token == NULL)
    _bat_lease_read (b, env, h, reply);
  else if (reply->code == ST_OK)
    _bat_write_judge (b, env, h, &reply->objects[0]);
  else if (reply->code == ST_NOT_FOUND)
    _bat_hold_fenced (b, env, h);
  else
    _bat_write_retry (b, env, h);
}

void
bat_hold_replied (bat_t *b, env_t *env, const bat_op_t *op,
                  const ev_platform_t *reply)
{
  bat_hold_t *h = tbl_get (b->holds, op->on);
  if (h == NULL)
    return;
  if (op->kind == BAT_OP_HOLD_PART)
    _bat_part_replied (b, env, h, reply->code);
  else if (op->kind == BAT_OP_HOLD_READ)
    _bat_read_replied (b, env, h, reply);
  else
    _bat_record_replied (b, env, h, reply);
}

static void
_bat_hold_retry (bat_t *b, env_t *env, bat_hold_t *h)
{
  switch (h->write.step)
    {
    case BAT_WRITE_PART:
      _bat_write_part (b, env, h);
      break;
    case BAT_WRITE_RECORD:
      _bat_write_record (b, env, h);
      break;
    case BAT_WRITE_READ:
      _bat_write_read (b, env, h);
      break;
    case BAT_WRITE_NONE:
      break;
    }
}

void
bat_hold_timer (bat_t *b, env_t *env, const bat_op_t *op)
{
  bat_hold_t *h = tbl_get (b->holds, op->on);
  if (h == NULL)
    return;
  if (op->kind == BAT_OP_HOLD_RETRY)
    _bat_hold_retry (b, env, h);
  else if (op->kind == BAT_OP_HOLD_LOAD_RETRY)
    bat_load_start (b, env, h);
  else
    bat_hold_step (b, env, h);
}

#include "core/bat_int.h"
#include "core/inv.h"

#include <string.h>
#include <talloc.h>

/* A lease is renewed after its term divided by this. */
#define BAT_RENEW_DIVISOR 3

/* Size of the unsaved outcomes at which they are written at once. */
#define BAT_PART_FLUSH_BYTES ((size_t)384 << 10)

/* -- writing -------------------------------------------------------------- */

void
bat_write_record (bat_t *b, env_t *env, bat_hold_t *h)
{
  bat_write_t *w = &h->write;
  w->step = BAT_WRITE_RECORD;
  if (!w->may_be_written)
    w->term_start = env->now;
  char *name = bat_name_chunk (NULL, h->id, h->chunk);
  char *value = bat_chunk_encode (name, &w->rec);
  bat_platform_call (b, env,
                     h->state == BAT_HOLD_LEASING ? BAT_OP_HOLD_LEASE
                                                  : BAT_OP_HOLD_RECORD,
                     h->self, 0,
                     &(plt_req_t){ .op = FX_PLATFORM_PUT,
                                   .name = name,
                                   .if_version = w->version,
                                   .value = buf_str (value) });
  talloc_free (name);
}

void
bat_write_part (bat_t *b, env_t *env, bat_hold_t *h)
{
  h->write.step = BAT_WRITE_PART;
  bat_platform_call (b, env, BAT_OP_HOLD_PART, h->self, 0,
                     &(plt_req_t){ .op = FX_PLATFORM_PUT,
                                   .name = h->write.part_name,
                                   .value = h->write.part });
}

void
bat_write_record_read (bat_t *b, env_t *env, bat_hold_t *h)
{
  h->write.step = BAT_WRITE_READ;
  char *name = bat_name_chunk (NULL, h->id, h->chunk);
  bat_platform_call (b, env, BAT_OP_HOLD_READ, h->self, 0,
                     &(plt_req_t){ .op = FX_PLATFORM_GET, .name = name });
  talloc_free (name);
}

void
bat_write_begin (bat_t *b, env_t *env, bat_hold_t *h, bat_chunk_state_t state,
                 uint32_t intent)
{
  bat_write_t *w = &h->write;
  talloc_free (h->write_ctx);
  h->write_ctx = talloc_new (h->ctx);
  void *ctx = h->write_ctx;
  *w = (bat_write_t){ .version = h->version, .rec = h->rec };
  w->rec.state = state;
  w->rec.token = bat_token_new (b, env, ctx);
  w->rec.holder = state == BAT_CHUNK_LEASED ? bat_holder_name (env, ctx) : "";
  w->rec.intent = intent;
  w->rec.term_ms = b->desc.term_ms;
  h->renew_now = false;
  if (h->unsaved->len == 0)
    {
      bat_write_record (b, env, h);
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
  bat_write_part (b, env, h);
}

static uint32_t
_bat_counts_sum (const bat_counts_t *c)
{
  return c->done + c->failed + c->cancelled;
}

/* Intent that covers the next waiting non-idempotent item and the items after
 * it, intent_items in all. */
static uint32_t
_bat_next_intent (const bat_t *b, const bat_hold_t *h)
{
  uint32_t need = h->rec.intent;
  for (uint32_t i = need; i < h->item_count; i++)
    {
      if (!h->items[i].input.idempotent
          && h->items[i].state == BAT_ITEM_WAITING)
        return MIN (i + b->desc.intent_items, h->item_count);
    }
  return need;
}

static void
_bat_step_running (bat_t *b, env_t *env, bat_hold_t *h)
{
  if (h->ended == h->item_count)
    bat_write_begin (b, env, h, BAT_CHUNK_FINAL, h->rec.intent);
  else if (h->renew_now || h->needs_intent || env->now >= h->renew_at
           || h->unsaved->len >= BAT_PART_FLUSH_BYTES)
    {
      uint32_t intent
          = h->needs_intent ? _bat_next_intent (b, h) : h->rec.intent;
      h->needs_intent = false;
      bat_write_begin (b, env, h, BAT_CHUNK_LEASED, intent);
    }
  else
    bat_hold_timer_arm (b, env, h, h->renew_at);
}

/* Returns the chunk when no item is in flight any more, and renews the lease
 * until then: the items in flight must not be repeated, so they have to end.
 * The intent goes back to 0, because each of them has its outcome then. */
static void
_bat_step_returning (bat_t *b, env_t *env, bat_hold_t *h)
{
  for (uint32_t i = 0; i < h->item_count; i++)
    {
      if (h->items[i].state != BAT_ITEM_SENT)
        continue;
      if (env->now >= h->renew_at)
        bat_write_begin (b, env, h, BAT_CHUNK_LEASED, h->rec.intent);
      else
        bat_hold_timer_arm (b, env, h, h->renew_at);
      return;
    }
  bool complete = h->loaded && h->ended == h->item_count;
  bat_write_begin (b, env, h, complete ? BAT_CHUNK_FINAL : BAT_CHUNK_WAITING,
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
      if (env->now >= h->renew_at || h->renew_now)
        bat_write_begin (b, env, h, BAT_CHUNK_LEASED, h->rec.intent);
      else
        bat_hold_timer_arm (b, env, h, h->renew_at);
      break;
    default:
      break;
    }
}

/* -- outcome of a write --------------------------------------------------- */

void
bat_hold_rec_set (bat_hold_t *h, const bat_chunk_t *rec, uint64_t version)
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

void
bat_write_succeeded (bat_t *b, env_t *env, bat_hold_t *h, uint64_t version)
{
  bat_write_t *w = &h->write;
  uint32_t before = _bat_counts_sum (&h->rec.counts);
  bat_hold_rec_set (h, &w->rec, version);
  w->step = BAT_WRITE_NONE;
  uint32_t counted = _bat_counts_sum (&h->rec.counts);
  INV_CHECK (counted >= before, "batch-outcomes-only-grow",
             "%s/%u: %u after %u", h->id, h->chunk, counted, before);
  h->lease_until = w->term_start + h->rec.term_ms;
  h->renew_at = w->term_start + h->rec.term_ms / BAT_RENEW_DIVISOR;
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

void
bat_hold_fenced (bat_t *b, env_t *env, bat_hold_t *h)
{
  cnt_add (env->cnt, "rts_batch_fenced_total", "", 1);
  tln_record (env->tln, env->now, MOD_BATCH, "fenced", "job=%s chunk=%u",
              h->id, h->chunk);
  (void)bat_hold_fire (b, env, h, BAT_HOLD_EV_FENCED);
}

/* The record still belongs to this hold, but has the stop flag now.  The
 * outcomes of the failed write become unsaved again, for the next write. */
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

void
bat_write_conflict_resolve (bat_t *b, env_t *env, bat_hold_t *h,
                            const ev_object_t *o)
{
  void *ctx = talloc_new (NULL);
  bat_chunk_t rec;
  bool ok = bat_chunk_decode (ctx, o->value, &rec);
  bool own = ok && strcmp (rec.token, h->write.rec.token) == 0;
  char *self = bat_holder_name (env, ctx);
  bool stopped = ok && h->state != BAT_HOLD_LEASING && rec.stop
                 && rec.state == BAT_CHUNK_LEASED && rec.fence == h->rec.fence
                 && strcmp (rec.holder, self) == 0;
  talloc_free (ctx);
  if (own)
    bat_write_succeeded (b, env, h, o->version);
  else if (stopped)
    _bat_hold_stopped (b, env, h, o->version);
  else
    bat_hold_fenced (b, env, h);
}

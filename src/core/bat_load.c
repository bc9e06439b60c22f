#include "core/bat_int.h"
#include "core/inv.h"

#include <string.h>
#include <talloc.h>

void
bat_load_start (bat_t *b, env_t *env, bat_hold_t *h)
{
  if (h->state != BAT_HOLD_LOADING || h->load_in_flight)
    return;
  h->load_in_flight = true;
  if (h->items != NULL)
    {
      bat_platform_call (
          b, env, BAT_OP_HOLD_PARTS, h->self, h->parts_loaded,
          &(plt_req_t){ .op = FX_PLATFORM_GET,
                        .name = h->rec.parts[h->parts_loaded] });
      return;
    }
  char *name = bat_name_items (NULL, h->id, h->digest, h->chunk);
  bat_platform_call (b, env, BAT_OP_HOLD_ITEMS, h->self, 0,
                     &(plt_req_t){ .op = FX_PLATFORM_GET, .name = name });
  talloc_free (name);
}

static bool
_bat_load_items (bat_hold_t *h, buf_t text)
{
  uint32_t capacity = 0;
  buf_t line;
  while (bat_line_next (&text, &line))
    {
      if (h->item_count == capacity)
        {
          capacity = capacity == 0 ? 64 : 2 * capacity;
          h->items = talloc_realloc (h->ctx, h->items, bat_item_t, capacity);
        }
      bat_item_t *item = &h->items[h->item_count++];
      *item = (bat_item_t){ .state = BAT_ITEM_WAITING };
      if (!bat_input_decode (h->ctx, line, &item->input))
        return false;
    }
  return h->item_count > 0;
}

/* Applies the outcomes that an earlier holder recorded: they are final. */
static bool
_bat_load_part (bat_t *b, bat_hold_t *h, buf_t text)
{
  buf_t line;
  while (bat_line_next (&text, &line))
    {
      uint32_t n;
      bat_outcome_state_t state;
      if (!bat_outcome_decode (line, &n, &state) || n < h->first
          || n - h->first >= h->item_count)
        return false;
      bat_item_t *item = &h->items[n - h->first];
      INV_CHECK (item->state != BAT_ITEM_ENDED, "batch-one-outcome",
                 "%s item %u has two outcomes", h->id, n);
      bat_item_fire (b, item, BAT_ITEM_EV_END);
      h->ended++;
    }
  return true;
}

/* Ends the items that an earlier holder may have sent and that must not be
 * repeated, with an unknown outcome. */
static void
_bat_load_intent (bat_t *b, env_t *env, bat_hold_t *h)
{
  for (uint32_t i = 0; i < h->rec.intent && i < h->item_count; i++)
    {
      const bat_item_t *item = &h->items[i];
      if (item->state == BAT_ITEM_WAITING && !item->input.idempotent)
        bat_item_end_unknown (b, env, h, i,
                              "may have run before its VM was lost");
    }
}

static void
_bat_load_done (bat_t *b, env_t *env, bat_hold_t *h)
{
  const bat_counts_t *c = &h->rec.counts;
  INV_CHECK (h->ended == c->done + c->failed + c->cancelled,
             "batch-parts-hold-counts", "%s/%u: %u outcomes in the parts",
             h->id, h->chunk, h->ended);
  _bat_load_intent (b, env, h);
  h->loaded = true;
  if (!bat_hold_fire (b, env, h, BAT_HOLD_EV_LOADED))
    return;
  if (!h->rec.stop || bat_hold_fire (b, env, h, BAT_HOLD_EV_STOP))
    bat_hold_step (b, env, h);
}

/* The items or outcomes cannot be decoded.  The hold ends and keeps the lease,
 * so that no VM tries the chunk again before the lease has lapsed; a counter
 * and the time line record the failure. */
static void
_bat_load_unreadable (bat_t *b, env_t *env, bat_hold_t *h)
{
  cnt_add (env->cnt, "rts_batch_unreadable_total", "", 1);
  tln_record (env->tln, env->now, MOD_BATCH, "unreadable", "job=%s chunk=%u",
              h->id, h->chunk);
  (void)bat_hold_fire (b, env, h, BAT_HOLD_EV_FENCED);
}

void
bat_load_replied (bat_t *b, env_t *env, const bat_op_t *op,
                  const ev_platform_t *reply)
{
  bat_hold_t *h = tbl_get (b->holds, op->owner);
  if (h == NULL)
    return;
  h->load_in_flight = false;
  if (h->state != BAT_HOLD_LOADING)
    return;
  if (reply->code != ST_OK || reply->object_count == 0)
    {
      bat_timer_arm (b, env, bat_backoff (env, h->load_retries++),
                     BAT_OP_HOLD_LOAD_RETRY, h->self);
      return;
    }
  buf_t value = reply->objects[0].value;
  bool items = op->kind == BAT_OP_HOLD_ITEMS;
  bool ok = items ? _bat_load_items (h, value) : _bat_load_part (b, h, value);
  if (!ok)
    {
      _bat_load_unreadable (b, env, h);
      return;
    }
  h->parts_loaded += !items;
  if (h->parts_loaded < h->rec.part_count)
    bat_load_start (b, env, h);
  else
    _bat_load_done (b, env, h);
}

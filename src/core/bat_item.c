#include "core/bat_int.h"
#include "core/inv.h"

#include <string.h>
#include <talloc.h>

#define BAT_STALL_TIMEOUT_MS (30 * CLK_SECOND)

/* The rate of ended items is measured over intervals of this length; each new
 * value counts with the weight BAT_RATE_SMOOTHING. */
#define BAT_RATE_INTERVAL_MS (5 * CLK_SECOND)
#define BAT_RATE_SMOOTHING 0.3

/* -- states --------------------------------------------------------------- */

void
bat_item_fire (bat_t *b, bat_item_t *item, int event)
{
  cht_step_t step = cht_fire (b->item_chart, (int)item->state, event, 0);
  item->state = (bat_item_state_t)step.next;
}

static void
_bat_counts_add (bat_counts_t *c, bat_outcome_state_t state)
{
  switch (state)
    {
    case BAT_DONE:
      c->done++;
      break;
    case BAT_FAILED:
      c->failed++;
      break;
    case BAT_CANCELLED:
      c->cancelled++;
      break;
    }
}

static const char *const _bat_outcome_labels[] = {
  [BAT_DONE] = "outcome=\"done\"",
  [BAT_FAILED] = "outcome=\"failed\"",
  [BAT_CANCELLED] = "outcome=\"cancelled\"",
};

static void
_bat_rate_update (bat_t *b, env_t *env)
{
  b->rate_count++;
  clk_ms_t span = env->now - b->rate_at;
  if (span < BAT_RATE_INTERVAL_MS)
    return;
  double now = (double)b->rate_count * CLK_SECOND / (double)span;
  b->rate += BAT_RATE_SMOOTHING * (now - b->rate);
  b->rate_at = env->now;
  b->rate_count = 0;
}

void
bat_item_end (bat_t *b, env_t *env, bat_hold_t *h, uint32_t i,
              const bat_outcome_t *outcome)
{
  bat_item_t *item = &h->items[i];
  bat_item_fire (b, item, BAT_ITEM_EV_END);
  h->ended++;
  bat_outcome_t o = *outcome;
  o.n = h->first + i;
  o.custom_id = item->input.custom_id;
  char *line = bat_outcome_encode (NULL, &o);
  g_string_append (h->unsaved, line);
  talloc_free (line);
  _bat_counts_add (&h->unsaved_counts, o.state);
  cnt_add (env->cnt, "rts_batch_items_ended_total",
           _bat_outcome_labels[o.state], 1);
  _bat_rate_update (b, env);
}

void
bat_item_end_unknown (bat_t *b, env_t *env, bat_hold_t *h, uint32_t i,
                      const char *reason)
{
  char text[128];
  g_snprintf (text, sizeof text, "outcome unknown, not repeated: %s", reason);
  bat_item_end (b, env, h, i,
                &(bat_outcome_t){ .state = BAT_FAILED, .reason = text });
}

/* -- items in flight ------------------------------------------------------ */

void
bat_inflight_free (bat_t *b, env_t *env, bat_inflight_t *s, bool reached)
{
  crd_credit_release (b->desc.credits, env, s->self.id, reached);
  g_string_free (s->body, TRUE);
  tbl_free (b->in_flight, s->self);
}

/* Cancels an item in flight; the caller changes the state of the item. */
static void
_bat_inflight_cancel (bat_t *b, env_t *env, bat_item_t *item)
{
  bat_inflight_t *s = tbl_get (b->in_flight, item->in_flight);
  upc_cancel (env, s->call);
  bat_inflight_free (b, env, s, true);
}

void
bat_item_stop_all (bat_t *b, env_t *env, bat_hold_t *h)
{
  for (uint32_t i = 0; i < h->item_count; i++)
    {
      if (h->items[i].state != BAT_ITEM_SENT)
        continue;
      _bat_inflight_cancel (b, env, &h->items[i]);
      bat_item_fire (b, &h->items[i], BAT_ITEM_EV_AGAIN);
    }
}

void
bat_item_stop_idempotent (bat_t *b, env_t *env, bat_hold_t *h)
{
  for (uint32_t i = 0; i < h->item_count; i++)
    {
      bat_item_t *item = &h->items[i];
      if (item->state != BAT_ITEM_SENT || !item->input.idempotent)
        continue;
      _bat_inflight_cancel (b, env, item);
      bat_item_fire (b, item, BAT_ITEM_EV_AGAIN);
    }
  h->next = 0;
}

void
bat_item_cancel_all (bat_t *b, env_t *env, bat_hold_t *h)
{
  for (uint32_t i = 0; i < h->item_count; i++)
    {
      bat_item_t *item = &h->items[i];
      bool sent = item->state == BAT_ITEM_SENT;
      if (item->state == BAT_ITEM_ENDED)
        continue;
      if (sent)
        _bat_inflight_cancel (b, env, item);
      if (sent && !item->input.idempotent)
        bat_item_end_unknown (b, env, h, i, "cancelled while it ran");
      else
        bat_item_end (b, env, h, i,
                      &(bat_outcome_t){ .state = BAT_CANCELLED });
    }
}

void
bat_item_preempt (bat_t *b, env_t *env)
{
  uint64_t self;
  while (crd_preempt_pop (b->desc.credits, &self))
    {
      bat_inflight_t *s = tbl_get (b->in_flight, (tbl_id_t){ .id = self });
      if (s == NULL)
        continue;
      bat_hold_t *h = tbl_get (b->holds, s->hold);
      bat_item_t *item = &h->items[s->item];
      uint32_t at = s->item;
      INV_CHECK (item->input.idempotent, "batch-pause-idempotent",
                 "%s item %u", h->id, h->first + at);
      _bat_inflight_cancel (b, env, item);
      bat_item_fire (b, item, BAT_ITEM_EV_AGAIN);
      h->next = MIN (h->next, at);
      cnt_add (env->cnt, "rts_batch_items_paused_total", "", 1);
    }
}

/* -- starting ------------------------------------------------------------- */

/* Finds the next item of H that may start now.  Sets next_retry_at and
 * needs_intent for items that must wait for these. */
static bool
_bat_item_next (env_t *env, bat_hold_t *h, uint32_t *found)
{
  if (h->state != BAT_HOLD_RUNNING || h->rec.stop || env->now >= h->lease_until
      || env->now < h->pause_until)
    return false;
  while (h->next < h->item_count && h->items[h->next].state == BAT_ITEM_ENDED)
    h->next++;
  for (uint32_t i = h->next; i < h->item_count; i++)
    {
      const bat_item_t *item = &h->items[i];
      if (item->state != BAT_ITEM_WAITING)
        continue;
      if (item->not_before > env->now)
        {
          h->next_retry_at = clk_min (h->next_retry_at, item->not_before);
          continue;
        }
      if (!item->input.idempotent && i >= h->rec.intent)
        {
          h->needs_intent = true;
          continue;
        }
      *found = i;
      return true;
    }
  return false;
}

/* Invariants at the start of an item. */
static void
_bat_item_check_start (env_t *env, const bat_hold_t *h, uint32_t i)
{
  INV_CHECK (env->now < h->lease_until, "batch-send-under-lease",
             "%s item %u: now %ld, lease until %ld", h->id, h->first + i,
             (long)env->now, (long)h->lease_until);
  INV_CHECK (h->state == BAT_HOLD_RUNNING && !h->rec.stop,
             "batch-no-start-after-stop", "%s item %u", h->id, h->first + i);
  INV_CHECK (h->items[i].input.idempotent || i < h->rec.intent,
             "batch-intent-before-send", "%s item %u: intent %u", h->id,
             h->first + i, h->rec.intent);
}

static void
_bat_item_send (bat_t *b, env_t *env, bat_hold_t *h, uint32_t i,
                bat_inflight_t *s, const char *address)
{
  const bat_input_t *in = &h->items[i].input;
  char name[BAT_ID_SIZE + 16];
  g_snprintf (name, sizeof name, "%s-%u", h->id, h->first + i);
  const http_header_t headers[] = {
    { .name = "Content-Type", .value = "application/json" },
    { .name = UPC_ID_HEADER, .value = name },
    { .name = "Idempotency-Key", .value = name },
  };
  s->call = upc_call (env, MOD_BATCH, s->self.id,
                      &(fx_upstream_t){ .address = address,
                                        .method = in->method,
                                        .path = in->path,
                                        .headers = { .v = headers, .n = 3 },
                                        .body = buf_str (in->body),
                                        .first_byte_ms = b->desc.item_ms,
                                        .stall_ms = BAT_STALL_TIMEOUT_MS,
                                        .total_ms = b->desc.item_ms,
                                        .fresh_connection = !in->idempotent });
}

/* Starts item I of H; false when there is no credit.  An item whose route was
 * removed fails. */
static bool
_bat_item_start (bat_t *b, env_t *env, bat_hold_t *h, uint32_t i)
{
  bat_item_t *item = &h->items[i];
  const cfg_route_t *route
      = cfg_route_find (b->doc, item->input.method, item->input.path);
  if (route == NULL)
    {
      bat_item_end (b, env, h, i,
                    &(bat_outcome_t){ .state = BAT_FAILED,
                                      .reason = "its route was removed" });
      return true;
    }
  tbl_id_t self = tbl_alloc (b->in_flight);
  crd_credit_t credit;
  const crd_request_t request = { .deployment = route->deployment,
                                  .item = self.id,
                                  .preemptible = item->input.idempotent,
                                  .waiting = h->item_count - h->ended };
  if (!crd_credit_take (b->desc.credits, env, &request, &credit))
    {
      tbl_free (b->in_flight, self);
      return false;
    }
  _bat_item_check_start (env, h, i);
  bat_inflight_t *s = tbl_get (b->in_flight, self);
  *s = (bat_inflight_t){ .self = self,
                         .hold = h->self,
                         .item = i,
                         .idempotent = item->input.idempotent,
                         .body = g_string_new (NULL) };
  item->in_flight = self;
  bat_item_fire (b, item, BAT_ITEM_EV_SEND);
  _bat_item_send (b, env, h, i, s, credit.address);
  sch_service_add (b->order, h->customer, bat_weight (b, h->customer), 1);
  return true;
}

/* Lists all holds, with an entry of each for the scheduling order. */
static size_t
_bat_holds_list (bat_t *b, bat_hold_t **holds, sch_job_t *list)
{
  size_t n = 0;
  for (tbl_id_t i = tbl_next (b->holds, (tbl_id_t){ 0 }); i.id != 0;
       i = tbl_next (b->holds, i))
    {
      bat_hold_t *h = tbl_get (b->holds, i);
      holds[n] = h;
      h->next_retry_at = CLK_NEVER;
      double left = h->item_count - h->ended;
      list[n] = (sch_job_t){ .customer = h->customer,
                             .weight = bat_weight (b, h->customer),
                             .due = h->due,
                             .need_ms
                             = b->rate > 0 ? left * CLK_SECOND / b->rate : 0,
                             .ready = true };
      n++;
    }
  return n;
}

/* Starts items in order until credits run out or max_in_flight is reached. */
static void
_bat_items_start (bat_t *b, env_t *env, bat_hold_t **holds, sch_job_t *list,
                  size_t n)
{
  while (tbl_count (b->in_flight) < b->desc.max_in_flight)
    {
      int best = sch_pick (b->order, env->now, list, n);
      if (best < 0)
        return;
      uint32_t item = 0;
      if (!_bat_item_next (env, holds[best], &item)
          || !_bat_item_start (b, env, holds[best], item))
        list[best].ready = false;
    }
}

void
bat_pump (bat_t *b, env_t *env)
{
  uint32_t count = tbl_count (b->holds);
  bat_item_preempt (b, env);
  if (b->doc == NULL || count == 0)
    return;
  sch_job_t *list = talloc_zero_array (NULL, sch_job_t, count);
  bat_hold_t **holds = talloc_zero_array (list, bat_hold_t *, count);
  size_t n = _bat_holds_list (b, holds, list);
  _bat_items_start (b, env, holds, list, n);
  for (size_t i = 0; i < n; i++)
    {
      bat_hold_t *h = holds[i];
      clk_ms_t at = clk_max (h->next_retry_at, h->pause_until);
      if (h->next_retry_at != CLK_NEVER || h->pause_until > env->now)
        bat_hold_timer_arm (
            b, env, h, h->next_retry_at == CLK_NEVER ? h->pause_until : at);
    }
  /* The steps come last, so that a write includes the outcomes and the higher
   * intent that the starts above have made due. */
  tbl_id_t *ids = talloc_array (list, tbl_id_t, n);
  for (size_t i = 0; i < n; i++)
    ids[i] = holds[i]->self;
  for (size_t i = 0; i < n; i++)
    {
      bat_hold_t *h = tbl_get (b->holds, ids[i]);
      if (h != NULL)
        bat_hold_step (b, env, h);
    }
  talloc_free (list);
}

#include "core/bat_int.h"
#include "core/inv.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define BAT_RESPONSE_BYTES_MAX ((size_t)256 << 10)
/* A body that is too large is read on up to this size, in bytes, to see its
 * end: an answer that ends fails its item, bytes without end are no answer. */
#define BAT_RESPONSE_READ_MAX (16 * BAT_RESPONSE_BYTES_MAX)
/* Start of a response's body that the reason of a failure quotes, in bytes. */
#define BAT_REASON_BODY_BYTES_MAX 200
#define BAT_REFUSALS_MAX 200 /* about 20 minutes of back-off */

static void
_bat_item_retry_at (bat_t *b, bat_hold_t *h, uint32_t i, clk_ms_t at)
{
  bat_item_t *item = &h->items[i];
  bat_item_fire (b, item, BAT_ITEM_EV_AGAIN);
  item->not_before = at;
  h->next = MIN (h->next, i);
}

static void
_bat_item_fail (bat_t *b, env_t *env, bat_hold_t *h, uint32_t i, int status,
                const char *reason)
{
  bat_item_end (b, env, h, i,
                &(bat_outcome_t){
                    .state = BAT_FAILED, .status = status, .reason = reason });
}

/* The item may have run, so that it is repeated only if it is idempotent. */
static void
_bat_item_attempt_failed (bat_t *b, env_t *env, bat_hold_t *h, uint32_t i,
                          int status, const char *reason)
{
  bat_item_t *item = &h->items[i];
  item->attempts++;
  if (!item->input.idempotent && status == 0)
    bat_item_end_unknown (b, env, h, i, reason);
  else if (!item->input.idempotent || item->attempts >= b->desc.max_attempts)
    _bat_item_fail (b, env, h, i, status, reason);
  else
    _bat_item_retry_at (b, h, i, env->now + bat_backoff (env, item->attempts));
}

/* The upstream refused the item without an effect, so that any item may be
 * repeated. */
static void
_bat_item_refused (bat_t *b, env_t *env, bat_hold_t *h, uint32_t i, int status,
                   clk_ms_t retry_after_ms, const char *reason)
{
  bat_item_t *item = &h->items[i];
  item->refusals++;
  if (item->refusals >= BAT_REFUSALS_MAX)
    {
      _bat_item_fail (b, env, h, i, status, reason);
      return;
    }
  clk_ms_t wait = bat_backoff (env, item->refusals);
  _bat_item_retry_at (b, h, i, env->now + clk_max (wait, retry_after_ms));
}

/* Reason of a failure: the status and the start of the body. */
static char *
_bat_reason (void *ctx, int status, const GString *body)
{
  gchar *text = g_utf8_make_valid (
      body->str, (gssize)MIN (body->len, BAT_REASON_BODY_BYTES_MAX));
  char *reason
      = talloc_asprintf (ctx, "upstream answered %d: %s", status, text);
  g_free (text);
  return reason;
}

static void
_bat_item_responded (bat_t *b, env_t *env, bat_hold_t *h, uint32_t i,
                     const bat_inflight_t *s)
{
  char *reason = _bat_reason (NULL, s->status, s->body);
  bool success = s->status >= 200 && s->status < 300;
  bool transient = s->status == 408 || s->status == 425 || s->status >= 500;
  if (s->too_large)
    _bat_item_fail (b, env, h, i, s->status, "answer larger than 256 KB");
  else if (success)
    bat_item_end (
        b, env, h, i,
        &(bat_outcome_t){ .state = BAT_DONE,
                          .status = s->status,
                          .body = { .p = s->body->str, .n = s->body->len } });
  else if (s->status == 429 || (s->status == 503 && s->idempotent))
    _bat_item_refused (b, env, h, i, s->status, s->retry_after_ms, reason);
  else if (transient)
    _bat_item_attempt_failed (b, env, h, i, s->status, reason);
  else
    _bat_item_fail (b, env, h, i, s->status, reason);
  talloc_free (reason);
}

static void
_bat_item_call_failed (bat_t *b, env_t *env, bat_hold_t *h, uint32_t i,
                       const ev_upstream_t *u)
{
  switch (u->fail)
    {
    case EV_FAIL_NOT_SENT:
      h->pause_until = env->now + bat_backoff (env, h->items[i].unsent++);
      _bat_item_retry_at (b, h, i, h->pause_until);
      return;
    case EV_FAIL_UNKNOWN:
      _bat_item_attempt_failed (b, env, h, i, 0, "the connection broke");
      return;
    case EV_FAIL_TIMEOUT:
      _bat_item_attempt_failed (b, env, h, i, 0, "no answer in time");
      return;
    case EV_FAIL_UNSENDABLE:
      _bat_item_fail (b, env, h, i, 0, u->text);
      return;
    }
}

static void
_bat_item_head (bat_inflight_t *s, const ev_upstream_t *u)
{
  s->status = u->status;
  const char *text = http_header_find (u->headers, "Retry-After");
  if (text != NULL)
    s->retry_after_ms = CLK_SECOND * (clk_ms_t)strtol (text, NULL, 10);
  if (s->retry_after_ms > CLK_MINUTE)
    s->retry_after_ms = CLK_MINUTE;
}

/* Takes DATA; false: the response does not end. */
static bool
_bat_item_data (bat_inflight_t *s, buf_t data)
{
  s->received += data.n;
  if (s->body->len + data.n > BAT_RESPONSE_BYTES_MAX)
    s->too_large = true;
  else
    g_string_append_len (s->body, data.p, (gssize)data.n);
  return s->received <= BAT_RESPONSE_READ_MAX;
}

/* Ends the call of S, whose response does not end, and handles it like a
 * connection that broke. */
static void
_bat_item_endless (bat_t *b, env_t *env, bat_inflight_t *s)
{
  bat_hold_t *h = tbl_get (b->holds, s->hold);
  upc_cancel (env, s->call);
  _bat_item_attempt_failed (b, env, h, s->item, 0, "the answer does not end");
  bat_inflight_free (b, env, s, true);
  bat_pump (b, env);
}

void
bat_upstream_event (bat_t *b, env_t *env, uint64_t tag, const ev_t *ev)
{
  bat_inflight_t *s = tbl_get (b->in_flight, (tbl_id_t){ .id = tag });
  if (s == NULL)
    return;
  if (ev->kind == EV_UPSTREAM_HEAD)
    {
      _bat_item_head (s, &ev->upstream);
      return;
    }
  if (ev->kind == EV_UPSTREAM_DATA)
    {
      if (!_bat_item_data (s, ev->upstream.data))
        _bat_item_endless (b, env, s);
      return;
    }
  bat_hold_t *h = tbl_get (b->holds, s->hold);
  INV_CHECK (h != NULL && h->items[s->item].in_flight.id == tag,
             "batch-answer-to-its-item", "in-flight item %lx",
             (unsigned long)tag);
  bool failed = ev->kind == EV_UPSTREAM_FAIL;
  if (failed)
    _bat_item_call_failed (b, env, h, s->item, &ev->upstream);
  else
    _bat_item_responded (b, env, h, s->item, s);
  bool reached = !failed || !ev_fail_is_unsent (ev->upstream.fail);
  bat_inflight_free (b, env, s, reached);
  bat_pump (b, env);
}

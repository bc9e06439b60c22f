#include "core/lim_int.h"
#include "core/mpk.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

/* A lender's clock may run faster than a borrower's by at most 1 ms in this
 * many ms. */
#define LIM_DRIFT_DIVISOR 50

/* Life of a reservation for requested tokens. */
#define LIM_RESERVE_MS 200

static lim_token_request_t *
_lim_request_add (lim_t *l, env_t *env, lim_customer_t *c, const char *vm,
                  bool awaited)
{
  c->token_requests = talloc_realloc (
      c, c->token_requests, lim_token_request_t, c->token_request_count + 1);
  lim_token_request_t *request = &c->token_requests[c->token_request_count++];
  *request = (lim_token_request_t){ .seq = ++l->seq,
                                    .sent_at = env->now,
                                    .awaited = awaited };
  snprintf (request->vm, sizeof request->vm, "%s", vm);
  tmr_arm (env->tmr, env->now + l->desc.grant_timeout_ms, MOD_LIMIT, c->index);
  cnt_add (env->cnt, "rts_limit_asks_total", "", 1);
  return request;
}

uint64_t
lim_loan_request_add (lim_t *l, env_t *env, lim_customer_t *c, const char *vm)
{
  lim_token_request_t *request = _lim_request_add (l, env, c, vm, true);
  request->loan = true;
  return request->seq;
}

void
lim_tokens_request (lim_t *l, env_t *env, lim_customer_t *c, const char *vm,
                    int64_t need, int64_t extra, bool awaited)
{
  if (c->token_request_count == LIM_TOKEN_REQUESTS_MAX
      || (need <= 0 && extra <= 0))
    return;
  lim_token_request_t *request = _lim_request_add (l, env, c, vm, awaited);
  /* Half of the room: minting continues until the grant arrives. */
  int64_t room = lbk_room (c->bucket) / 2;
  request->loan = room < need || room <= 0;
  if (!request->loan)
    {
      extra = extra < room - need ? extra : room - need;
      lbk_reserve (c->bucket, request->seq, need + extra,
                   env->now + LIM_RESERVE_MS);
    }
  request->prefetch = extra > 0;
  mpk_writer_t w;
  mpk_writer_init (&w, l);
  mpk_put_str (&w, buf_str (c->name));
  mpk_put_uint (&w, request->seq);
  mpk_put_int (&w, need);
  mpk_put_int (&w, extra);
  mpk_put_int (&w, lbk_available (c->bucket));
  mpk_put_int (&w, lim_target_level (c));
  mpk_put_int (&w, request->loan ? l->desc.loan_ms : 0);
  buf_t body = mpk_done (&w);
  mbr_send (l->desc.members, env, vm, MSG_LIMIT_TOKEN_REQUEST, body);
  talloc_free ((void *)(uintptr_t)body.p);
}

void
lim_loans_settle (lim_t *l, env_t *env, lim_customer_t *c, int64_t keep)
{
  lbk_settlement_t s;
  while (lbk_settlement_pop (c->bucket, keep, &s))
    {
      mpk_writer_t w;
      mpk_writer_init (&w, l);
      mpk_put_str (&w, buf_str (c->name));
      mpk_put_uint (&w, s.seq);
      mpk_put_int (&w, s.spent);
      mpk_put_int (&w, s.returned);
      buf_t body = mpk_done (&w);
      mbr_send (l->desc.members, env, s.vm, MSG_LIMIT_SETTLE, body);
      talloc_free ((void *)(uintptr_t)body.p);
    }
}

/* ---- messages received ---- */

/* More than a bucket holds, in millionths of a token. */
#define LIM_AMOUNT_MAX ((int64_t)CFG_LIMIT_FIGURE_MAX * LBK_TOKEN)

/* An amount in a message: a VM of another version may send any. */
static int64_t
_lim_amount_get (mpk_reader_t *r)
{
  int64_t amount = mpk_get_int (r);
  if (amount < 0)
    return 0;
  return amount < LIM_AMOUNT_MAX ? amount : LIM_AMOUNT_MAX;
}

/* Two VMs with waiting requests of the same customer would only exchange the
 * few tokens that they hold.  So such a VM lends only to VMs before it by
 * name. */
static bool
_lim_may_lend (const lim_customer_t *c, const env_t *env, const char *vm)
{
  return c->waiter_count == 0 || strcmp (vm, env->vm) < 0;
}

/* Amount beyond NEED that makes this bucket and one that holds LEVEL of FULL
 * equally full in proportion to their size. */
static int64_t
_lim_equalizing_amount (const lim_customer_t *c, int64_t need, int64_t level,
                        int64_t full)
{
  double held = (double)(lbk_held (c->bucket) - need);
  double burst = (double)lbk_burst (c->bucket);
  double sum = burst + (double)full;
  if (full <= 0 || level < 0 || sum <= 0)
    return 0;
  return (int64_t)((held * (double)full - (double)level * burst) / sum);
}

static int64_t
_lim_lend (lim_t *l, env_t *env, lim_customer_t *c, const char *vm,
           mpk_reader_t *r)
{
  uint64_t seq = mpk_get_uint (r);
  int64_t need = _lim_amount_get (r);
  int64_t extra = _lim_amount_get (r);
  int64_t level = _lim_amount_get (r);
  int64_t full = _lim_amount_get (r);
  clk_ms_t life = mpk_get_int (r);
  if (!mpk_end (r) || c == NULL || life < 0 || life > l->desc.loan_ms
      || !_lim_may_lend (c, env, vm))
    return 0;
  lbk_advance (c->bucket, env->now);
  int64_t even = _lim_equalizing_amount (c, need, level, full);
  int64_t more = extra < even ? extra : even;
  int64_t want = need + (more > 0 ? more : 0);
  if (life == 0)
    return lbk_give (c->bucket, env->now, want);
  return lbk_lend (c->bucket, env->now, vm, seq, want,
                   life + life / LIM_DRIFT_DIVISOR + 1);
}

/* Whether tokens held and lent fill more than three quarters of C's bucket:
 * then minting soon depends on the settlement of spent loans. */
static bool
_lim_needs_settlement (const lim_customer_t *c)
{
  int64_t lent = lbk_lent (c->bucket);
  return 4 * (lent + lbk_held (c->bucket)) > 3 * lbk_burst (c->bucket);
}

static void
_lim_request_received (lim_t *l, env_t *env, const char *vm, mpk_reader_t *r)
{
  buf_t name = mpk_get_str (r);
  mpk_reader_t peek = *r;
  uint64_t seq = mpk_get_uint (&peek);
  lim_customer_t *c = name.p ? lim_customer_find (l, name.p) : NULL;
  int64_t amount = _lim_lend (l, env, c, vm, r);
  if (r->failed)
    return;
  mpk_writer_t w;
  mpk_writer_init (&w, l);
  mpk_put_str (&w, name);
  mpk_put_uint (&w, seq);
  mpk_put_int (&w, amount);
  mpk_put_uint (&w, c != NULL && _lim_needs_settlement (c));
  mpk_put_int (&w, c != NULL ? lbk_held (c->bucket) : 0);
  buf_t body = mpk_done (&w);
  mbr_send (l->desc.members, env, vm, MSG_LIMIT_GRANT, body);
  talloc_free ((void *)(uintptr_t)body.p);
  if (amount > 0)
    lim_balance (l, env, c);
}

static void
_lim_slack_requested (lim_t *l, env_t *env, const char *vm, mpk_reader_t *r)
{
  buf_t name = mpk_get_str (r);
  uint64_t seq = mpk_get_uint (r);
  int64_t need = _lim_amount_get (r);
  if (!mpk_end (r))
    return;
  lim_customer_t *c = lim_customer_find (l, name.p);
  mpk_writer_t w;
  mpk_writer_init (&w, l);
  mpk_put_str (&w, name);
  mpk_put_uint (&w, seq);
  mpk_put_int (&w, c != NULL ? lim_excess_give (l, env, c, need) : 0);
  mpk_put_uint (&w, false);
  mpk_put_int (&w, c != NULL ? lbk_held (c->bucket) : 0);
  buf_t body = mpk_done (&w);
  mbr_send (l->desc.members, env, vm, MSG_LIMIT_GRANT, body);
  talloc_free ((void *)(uintptr_t)body.p);
}

static lim_token_request_t *
_lim_request_find (lim_customer_t *c, uint64_t seq)
{
  for (size_t i = 0; i < c->token_request_count; i++)
    if (c->token_requests[i].seq == seq)
      return &c->token_requests[i];
  return NULL;
}

static void
_lim_grant_received (lim_t *l, env_t *env, const char *vm, mpk_reader_t *r)
{
  buf_t name = mpk_get_str (r);
  uint64_t seq = mpk_get_uint (r);
  int64_t amount = _lim_amount_get (r);
  bool settle = mpk_get_uint (r) != 0;
  int64_t level = _lim_amount_get (r);
  lim_customer_t *c = mpk_end (r) ? lim_customer_find (l, name.p) : NULL;
  lim_token_request_t *request = c ? _lim_request_find (c, seq) : NULL;
  if (request == NULL || strcmp (request->vm, vm) != 0)
    return;
  lim_token_request_t done = *request;
  *request = c->token_requests[--c->token_request_count];
  g_hash_table_remove (l->skipped, vm);
  lbk_advance (c->bucket, env->now);
  clk_ms_t until = done.sent_at + l->desc.loan_ms;
  if (!done.loan)
    lbk_receive (c->bucket, env->now, seq, amount);
  else if (env->now < until)
    lbk_borrow (c->bucket, vm, seq, amount, until, settle);
  lim_sources_update (l, env, c);
  lim_source_set_level (c, env, vm, level);
  if (done.prefetch && 8 * amount >= lim_target_level (c))
    c->balance_at = c->balance_wait = 0;
  if (c->round_state != LIM_ROUND_IDLE)
    lim_round_advance (l, env, c);
  else
    lim_loans_settle (l, env, c, 2 * lim_prefetch_amount (c));
}

static void
_lim_settlement_received (lim_t *l, env_t *env, const char *vm,
                          mpk_reader_t *r)
{
  buf_t name = mpk_get_str (r);
  uint64_t seq = mpk_get_uint (r);
  int64_t spent = mpk_get_int (r);
  int64_t returned = mpk_get_int (r);
  lim_customer_t *c = mpk_end (r) ? lim_customer_find (l, name.p) : NULL;
  if (c != NULL)
    lbk_settle (c->bucket, env->now, vm, seq, spent, returned);
}

/* A leaving VM offers the tokens that it holds: request them.  A loan from
 * that VM ends before its next process may mint. */
static void
_lim_offer_received (lim_t *l, env_t *env, const char *vm, mpk_reader_t *r)
{
  buf_t name = mpk_get_str (r);
  int64_t amount = _lim_amount_get (r);
  lim_customer_t *c = mpk_end (r) ? lim_customer_find (l, name.p) : NULL;
  if (c != NULL && !l->leaving)
    lim_tokens_request (l, env, c, vm, amount, 0, false);
}

void
lim_message_received (lim_t *l, env_t *env, const char *vm, const msg_t *msg)
{
  lim_shares_update (l, env);
  void *ctx = talloc_new (l);
  mpk_reader_t r = mpk_reader (ctx, msg->body);
  switch (msg->kind)
    {
    case MSG_LIMIT_TOKEN_REQUEST:
      _lim_request_received (l, env, vm, &r);
      break;
    case MSG_LIMIT_GRANT:
      _lim_grant_received (l, env, vm, &r);
      break;
    case MSG_LIMIT_SETTLE:
      _lim_settlement_received (l, env, vm, &r);
      break;
    case MSG_LIMIT_OFFER:
      _lim_offer_received (l, env, vm, &r);
      break;
    case MSG_LIMIT_SLACK_REQUEST:
      _lim_slack_requested (l, env, vm, &r);
      break;
    default:
      lsh_message_received (l->shares, env, vm, msg);
      lim_shares_update (l, env);
      break;
    }
  if (r.failed)
    cnt_add (env->cnt, "rts_limit_bad_messages_total", "", 1);
  talloc_free (ctx);
}

#include "core/lim_int.h"
#include "core/mpk.h"

#include <math.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define LIM_LOAN_MS_DEFAULT (1 * CLK_SECOND)
#define LIM_GRANT_TIMEOUT_MS_DEFAULT 40
#define LIM_WAITERS_MAX_DEFAULT 1024
#define LIM_LOAN_MAX_MS_DEFAULT (1 * CLK_SECOND)

/* Wait between two requests by lim_balance.  The wait grows from the first to
 * the second value until a grant brings at least an eighth of the target
 * level. */
#define LIM_BALANCE_MS 50
#define LIM_BALANCE_MAX_MS (2 * CLK_SECOND)

/* Bounds of the wait after a round that ended in refusals.  The wait doubles
 * with each such round and halves with each round that ends without. */
#define LIM_BACKOFF_MIN_MS 10
#define LIM_BACKOFF_MAX_MS 320

/* Longest time until a token that a caller is told. */
#define LIM_REFILL_MAX_MS CLK_HOUR

/* Depth that buckets need: so many tokens, and those of so long.  It takes at
 * most this part of the excess in a window. */
#define LIM_DEPTH_MS 200
#define LIM_DEPTH_REQUESTS 4
#define LIM_DEPTH_EXCESS_PART (1.0 / 3)

static int
_lim_destroy (lim_t *l)
{
  g_hash_table_destroy (l->by_name);
  g_hash_table_destroy (l->skipped);
  return 0;
}

lim_t *
lim_setup (void *ctx, const lim_desc_t *desc)
{
  lim_t *l = talloc_zero (ctx, lim_t);
  l->desc = *desc;
  if (l->desc.loan_ms == 0)
    l->desc.loan_ms = LIM_LOAN_MS_DEFAULT;
  if (l->desc.grant_timeout_ms == 0)
    l->desc.grant_timeout_ms = LIM_GRANT_TIMEOUT_MS_DEFAULT;
  if (l->desc.waiters_max == 0)
    l->desc.waiters_max = LIM_WAITERS_MAX_DEFAULT;
  if (l->desc.shares.loan_max_ms == 0)
    l->desc.shares.loan_max_ms = LIM_LOAN_MAX_MS_DEFAULT;
  l->desc.shares.members = desc->members;
  l->shares = lsh_setup (l, &l->desc.shares);
  l->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  l->skipped = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  talloc_set_destructor (l, _lim_destroy);
  return l;
}

void
lim_shutdown (lim_t *l)
{
  talloc_free (l);
}

void
lim_start (lim_t *l, env_t *env)
{
  l->seq = env->incarnation << 32;
  l->started_at = env->now;
  lsh_start (l->shares, env);
}

/* ---- customers and their shares ---- */

lim_customer_t *
lim_customer_find (const lim_t *l, const char *name)
{
  return g_hash_table_lookup (l->by_name, name);
}

/* The share of TOKENS, at most CFG_LIMIT_FIGURE_MAX, that has PARTS of all
 * parts, in millionths of a token. */
static int64_t
_lim_share (double tokens, uint32_t parts)
{
  __extension__ typedef unsigned __int128 wide_t;
  wide_t all = (uint64_t)(tokens * (double)LBK_TOKEN);
  return (int64_t)(all * parts / LSH_PARTS_TOTAL);
}

static void
_lim_apply_share (lim_t *l, env_t *env, lim_customer_t *c, clk_ms_t since)
{
  uint32_t parts = lsh_parts (l->shares, env, c->name);
  lbk_set_rate (c->bucket, since, _lim_share (c->rate, parts),
                _lim_share (c->depth, parts));
}

/* FIGURE of a document, a rate or a burst, as the arithmetic here takes it. */
static double
_lim_figure (double figure)
{
  if (!(figure > 0))
    return 0;
  return figure < CFG_LIMIT_FIGURE_MAX ? figure : CFG_LIMIT_FIGURE_MAX;
}

void
lim_shares_update (lim_t *l, env_t *env)
{
  clk_ms_t since;
  if ((lsh_rights (l->shares) & LSH_SHORT) == 0)
    l->slack_until = env->now + l->desc.slack.window_ms;
  if (!lsh_rights_update (l->shares, env, &since))
    return;
  bool fill = !l->had_right && lsh_rights (l->shares) != 0
              && lsh_is_new_fleet (l->shares);
  l->had_right = l->had_right || lsh_rights (l->shares) != 0;
  for (size_t i = 0; i < l->customer_count; i++)
    {
      _lim_apply_share (l, env, l->customers[i], since);
      l->customers[i]->sources_generation = 0;
      if (fill)
        lbk_fill (l->customers[i]->bucket);
    }
}

static lim_customer_t *
_lim_customer_add (lim_t *l, const char *name)
{
  lim_customer_t *c = talloc_zero (l, lim_customer_t);
  c->name = talloc_strdup (c, name);
  c->bucket = lbk_setup (c);
  c->index = l->customer_count;
  l->customers = talloc_realloc (l, l->customers, lim_customer_t *,
                                 l->customer_count + 1);
  l->customers[l->customer_count++] = c;
  g_hash_table_insert (l->by_name, c->name, c);
  return c;
}

/* The depth of the buckets of all VMs together for a RATE and a BURST, of
 * which the settings allow EXCESS in a window.  The tokens of a smaller bucket
 * lie in parts of less than one at the VMs, and most of them run over. */
static double
_lim_depth (double rate, double burst, double excess)
{
  if (rate <= 0)
    return burst;
  double wanted = fmax (rate * LIM_DEPTH_MS / CLK_SECOND, LIM_DEPTH_REQUESTS);
  return fmax (burst, fmin (wanted, burst + LIM_DEPTH_EXCESS_PART * excess));
}

static void
_lim_set_rate (lim_t *l, env_t *env, lim_customer_t *c, double rate,
               double burst)
{
  if (c->rate == rate && c->burst == burst)
    return;
  c->rate = rate;
  c->burst = burst;
  double excess = lsl_excess (&l->desc.slack, rate, burst);
  c->depth = _lim_depth (rate, burst, excess);
  c->excess = excess - (c->depth - burst);
  /* What was refused by the limit before says nothing of this one. */
  c->denied_until = 0;
  c->backoff = 0;
  _lim_apply_share (l, env, c, env->now);
}

void
lim_config_changed (lim_t *l, env_t *env, const cfg_doc_t *doc)
{
  const char **names
      = talloc_array (l, const char *, doc->data_centre_count + 1);
  for (size_t i = 0; i < doc->data_centre_count; i++)
    names[i] = doc->data_centres[i].name;
  lsh_set_data_centres (l->shares, names, doc->data_centre_count);
  talloc_free (names);
  lim_shares_update (l, env);
  l->config_number++;
  for (size_t i = 0; i < doc->customer_count; i++)
    {
      const cfg_customer_t *from = &doc->customers[i];
      lim_customer_t *c = lim_customer_find (l, from->name);
      if (c == NULL)
        c = _lim_customer_add (l, from->name);
      c->config_number = l->config_number;
      _lim_set_rate (l, env, c, _lim_figure (from->rate),
                     _lim_figure (from->burst));
    }
  for (size_t i = 0; i < l->customer_count; i++)
    if (l->customers[i]->config_number != l->config_number)
      _lim_set_rate (l, env, l->customers[i], 0, 0);
}

/* ---- rounds of token requests ---- */

static void
_lim_result_add (lim_t *l, uint64_t tag, lim_verdict_t verdict,
                 clk_ms_t retry_after)
{
  l->results
      = talloc_realloc (l, l->results, lim_result_t, l->result_count + 1);
  l->results[l->result_count++] = (lim_result_t){ .tag = tag,
                                                  .verdict = verdict,
                                                  .retry_after = retry_after };
}

static void
_lim_verdict_count (env_t *env, const char *verdict)
{
  cnt_add (env->cnt, "rts_limit_requests_total", verdict, 1);
}

static void
_lim_drop_waiters (lim_customer_t *c, size_t n)
{
  memmove (c->waiters, c->waiters + n,
           (c->waiter_count - n) * sizeof c->waiters[0]);
  c->waiter_count -= n;
}

static void
_lim_admit_waiters (lim_t *l, env_t *env, lim_customer_t *c)
{
  size_t n = 0;
  while (n < c->waiter_count && lbk_take (c->bucket, env->now))
    {
      _lim_result_add (l, c->waiters[n++], LIM_ADMITTED, 0);
      _lim_verdict_count (env, "verdict=\"admitted\",by=\"loan\"");
    }
  _lim_drop_waiters (c, n);
}

/* Time in ms until all VMs together have minted as many tokens for C as this
 * VM lacks to hold TOKENS. */
static clk_ms_t
_lim_refill_ms (const lim_customer_t *c, size_t tokens)
{
  double missing
      = (double)tokens - (double)lbk_available (c->bucket) / (double)LBK_TOKEN;
  if (c->rate <= 0)
    return CLK_MINUTE;
  if (missing <= 0)
    return 1;
  return clk_from_double (missing * CLK_SECOND / c->rate, LIM_REFILL_MAX_MS)
         + 1;
}

/* A quarter of the time in which an empty bucket fills, so that buckets at
 * other VMs do not fill up during the wait. */
static clk_ms_t
_lim_backoff_max (const lim_customer_t *c)
{
  if (c->rate <= 0)
    return LIM_BACKOFF_MAX_MS;
  double fill = c->depth / c->rate * CLK_SECOND / 4;
  return fill < LIM_BACKOFF_MAX_MS ? (clk_ms_t)fill : LIM_BACKOFF_MAX_MS;
}

/* Refuse the requests that still wait when the round ends: all sources were
 * asked, so these requests are over the rate. */
static void
_lim_refuse_waiters (lim_t *l, env_t *env, lim_customer_t *c)
{
  for (size_t i = 0; i < c->waiter_count; i++)
    {
      _lim_result_add (l, c->waiters[i], LIM_REFUSED,
                       _lim_refill_ms (c, i + 1));
      _lim_verdict_count (env, "verdict=\"refused\"");
    }
  if (c->waiter_count > 0)
    tln_record (env->tln, env->now, MOD_LIMIT, "refuse",
                "customer=%s requests=%lu", c->name,
                (unsigned long)c->waiter_count);
  _lim_drop_waiters (c, c->waiter_count);
  c->backoff = clk_min (2 * c->backoff, _lim_backoff_max (c));
  c->backoff = clk_max (c->backoff, LIM_BACKOFF_MIN_MS);
  c->denied_until = env->now + clk_max (c->backoff, _lim_refill_ms (c, 1));
}

static bool
_lim_round_is_waiting (const lim_customer_t *c)
{
  for (size_t i = 0; i < c->token_request_count; i++)
    if (c->token_requests[i].awaited)
      return true;
  return false;
}

static int64_t
_lim_shortfall (const lim_customer_t *c)
{
  return (int64_t)c->waiter_count * LBK_TOKEN - lbk_available (c->bucket);
}

static int64_t
_lim_below_target (const lim_customer_t *c)
{
  int64_t wanted = lim_target_level (c);
  int64_t available = lbk_available (c->bucket);
  return available < wanted ? wanted - available : 0;
}

static void
_lim_request_preferred (lim_t *l, env_t *env, lim_customer_t *c)
{
  c->round_state = LIM_ROUND_PREFERRED;
  size_t i = lim_source_fullest (l, env, c, c->preferred_count);
  if (i < c->preferred_count)
    lim_tokens_request (l, env, c, c->sources[i].vm, _lim_shortfall (c),
                        _lim_below_target (c), true);
}

static bool
_lim_is_awaited (const lim_customer_t *c, const char *vm)
{
  for (size_t i = 0; i < c->token_request_count; i++)
    if (c->token_requests[i].awaited
        && strcmp (c->token_requests[i].vm, vm) == 0)
      return true;
  return false;
}

static void
_lim_request_all (lim_t *l, env_t *env, lim_customer_t *c)
{
  c->round_state = LIM_ROUND_ALL;
  for (size_t i = 0; i < c->source_count; i++)
    if (!lim_source_is_skipped (l, env, c->sources[i].vm)
        && !_lim_is_awaited (c, c->sources[i].vm))
      lim_tokens_request (l, env, c, c->sources[i].vm, _lim_shortfall (c), 0,
                          true);
}

/* Ask the holders of slack one after the other, until one has to be waited for
 * or no request waits any more. */
static void
_lim_request_slack (lim_t *l, env_t *env, lim_customer_t *c)
{
  if (c->round_state == LIM_ROUND_ALL)
    c->slack_requests = 0;
  c->round_state = LIM_ROUND_SLACK;
  while (c->waiter_count > 0 && !_lim_round_is_waiting (c)
         && lim_excess_request (l, env, c, _lim_shortfall (c)))
    _lim_admit_waiters (l, env, c);
}

void
lim_balance (lim_t *l, env_t *env, lim_customer_t *c)
{
  int64_t extra = _lim_below_target (c);
  if (4 * extra <= lim_target_level (c) || c->round_state != LIM_ROUND_IDLE
      || env->now < c->balance_at || env->now < c->denied_until)
    return;
  lim_sources_update (l, env, c);
  c->balance_wait
      = clk_min (2 * c->balance_wait + LIM_BALANCE_MS, LIM_BALANCE_MAX_MS);
  c->balance_at = env->now + c->balance_wait;
  size_t i = lim_source_fullest (l, env, c, c->source_count);
  if (i < c->source_count)
    lim_tokens_request (l, env, c, c->sources[i].vm, 0, extra, false);
}

void
lim_round_advance (lim_t *l, env_t *env, lim_customer_t *c)
{
  _lim_admit_waiters (l, env, c);
  lim_sources_update (l, env, c);
  if (c->waiter_count > 0 && c->round_state == LIM_ROUND_IDLE)
    _lim_request_preferred (l, env, c);
  if (c->waiter_count > 0 && c->round_state == LIM_ROUND_PREFERRED
      && !_lim_round_is_waiting (c))
    _lim_request_all (l, env, c);
  if (c->waiter_count > 0 && c->round_state >= LIM_ROUND_ALL
      && !_lim_round_is_waiting (c))
    _lim_request_slack (l, env, c);
  if (c->waiter_count > 0 && _lim_round_is_waiting (c))
    return;
  int64_t keep = 0;
  if (c->waiter_count > 0)
    _lim_refuse_waiters (l, env, c);
  else
    {
      keep = 2 * lim_prefetch_amount (c);
      c->backoff /= 2;
    }
  for (size_t i = 0; i < c->token_request_count; i++)
    c->token_requests[i].awaited = false;
  c->round_state = LIM_ROUND_IDLE;
  lim_loans_settle (l, env, c, keep);
}

static void
_lim_requests_expire (lim_t *l, env_t *env, lim_customer_t *c)
{
  size_t kept = 0;
  for (size_t i = 0; i < c->token_request_count; i++)
    {
      lim_token_request_t *request = &c->token_requests[i];
      if (request->awaited
          && env->now >= request->sent_at + l->desc.grant_timeout_ms)
        {
          request->awaited = false;
          lim_source_skip (l, env, request->vm);
          cnt_add (env->cnt, "rts_limit_ask_timeouts_total", "", 1);
        }
      if (env->now < request->sent_at + l->desc.loan_ms)
        c->token_requests[kept++] = *request;
    }
  c->token_request_count = kept;
}

void
lim_timer_fired (lim_t *l, env_t *env, uint64_t tag)
{
  lim_shares_update (l, env);
  if (tag & LSH_TAG)
    {
      lsh_timer_fired (l->shares, env, tag);
      lim_shares_update (l, env);
      return;
    }
  if (tag >= l->customer_count)
    return;
  lim_customer_t *c = l->customers[tag];
  _lim_requests_expire (l, env, c);
  if (c->round_state != LIM_ROUND_IDLE && !_lim_round_is_waiting (c))
    lim_round_advance (l, env, c);
}

/* ---- requests ---- */

static lim_verdict_t
_lim_refuse (env_t *env, clk_ms_t after, clk_ms_t *retry_after)
{
  *retry_after = clk_max (after, 1);
  _lim_verdict_count (env, "verdict=\"refused\"");
  return LIM_REFUSED;
}

lim_verdict_t
lim_admit (lim_t *l, env_t *env, mbr_t *m, const char *customer, uint64_t tag,
           clk_ms_t *retry_after)
{
  l->desc.members = m;
  lim_shares_update (l, env);
  lim_customer_t *c = lim_customer_find (l, customer);
  *retry_after = 0;
  if (c == NULL || l->leaving)
    return _lim_refuse (env, CLK_SECOND, retry_after);
  lim_demand_add (c, env->now);
  if (c->waiter_count == 0 && lbk_take (c->bucket, env->now))
    {
      _lim_verdict_count (env, "verdict=\"admitted\",by=\"own\"");
      lim_loans_settle (l, env, c, INT64_MAX);
      lim_balance (l, env, c);
      return LIM_ADMITTED;
    }
  if (lim_excess_take (l, env, c))
    {
      _lim_verdict_count (env, "verdict=\"admitted\",by=\"slack\"");
      return LIM_ADMITTED;
    }
  if (c->waiter_count == 0 && env->now < c->denied_until)
    return _lim_refuse (env, c->denied_until - env->now, retry_after);
  if (c->waiter_count == l->desc.waiters_max)
    return _lim_refuse (env, _lim_refill_ms (c, c->waiter_count), retry_after);
  c->waiters = talloc_realloc (c, c->waiters, uint64_t, c->waiter_count + 1);
  c->waiters[c->waiter_count++] = tag;
  if (c->round_state == LIM_ROUND_IDLE)
    {
      _lim_requests_expire (l, env, c);
      lim_round_advance (l, env, c);
    }
  return LIM_PENDING;
}

bool
lim_result_pop (lim_t *l, lim_result_t *result)
{
  if (l->result_first == l->result_count)
    {
      l->result_first = 0;
      l->result_count = 0;
      return false;
    }
  *result = l->results[l->result_first++];
  return true;
}

void
lim_platform_replied (lim_t *l, env_t *env, const plt_done_t *done,
                      const ev_platform_t *reply)
{
  lim_shares_update (l, env);
  lsh_platform_replied (l->shares, env, done, reply);
  lim_shares_update (l, env);
}

void
lim_leave (lim_t *l, env_t *env)
{
  lim_shares_update (l, env);
  l->leaving = true;
  for (size_t i = 0; i < l->customer_count; i++)
    {
      lim_customer_t *c = l->customers[i];
      lbk_advance (c->bucket, env->now);
      lim_loans_settle (l, env, c, 0);
      lim_sources_update (l, env, c);
      if (lbk_held (c->bucket) == 0 || c->source_count == 0)
        continue;
      mpk_writer_t w;
      mpk_writer_init (&w, l);
      mpk_put_str (&w, buf_str (c->name));
      mpk_put_int (&w, lbk_held (c->bucket));
      buf_t body = mpk_done (&w);
      mbr_send (l->desc.members, env, c->sources[0].vm, MSG_LIMIT_OFFER, body);
      talloc_free ((void *)(uintptr_t)body.p);
    }
}

const lsh_t *
lim_shares (const lim_t *l)
{
  return l->shares;
}

const lbk_t *
lim_bucket (const lim_t *l, const char *customer)
{
  const lim_customer_t *c = lim_customer_find (l, customer);
  return c ? c->bucket : NULL;
}

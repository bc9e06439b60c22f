#include "core/lim.h"

#include "core/mpk.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define LIM_LOAN_MS_DEFAULT (1 * CLK_SECOND)
#define LIM_ASK_MS_DEFAULT 40
#define LIM_WAITERS_MAX_DEFAULT 1024

/* A lender's clock may run faster than a borrower's by one in this. */
#define LIM_DRIFT 50

/* Borrowed ahead: what the customer's demand here takes in this time. */
#define LIM_AHEAD_MS 500

/* Time between two requests ahead of demand; doubles while they bring less
 * than a token. */
#define LIM_BALANCE_MS 50
#define LIM_BALANCE_MAX_MS (2 * CLK_SECOND)

/* Room is kept so long for tokens that were asked for. */
#define LIM_RESERVE_MS 200

/* Demand is averaged over this time. */
#define LIM_DEMAND_MS (2 * CLK_SECOND)

/* After a round that found nothing, no other for this time; then doubling. */
#define LIM_BACKOFF_MIN_MS 10
#define LIM_BACKOFF_MAX_MS 320

/* A VM that has not answered is passed over for this time. */
#define LIM_SKIP_MS (1 * CLK_SECOND)

#define LIM_SOURCES_MAX 32
#define LIM_ASKS_MAX 128
#define LIM_GUARD_MS_DEFAULT (1 * CLK_SECOND)
#define LIM_NAME_SIZE 64

/* Where a round of asking is. */
typedef enum
{
  LIM_IDLE,
  LIM_ASKING_NEAR, /* one minter of the own data centre */
  LIM_ASKING_ALL,  /* all others */
} lim_stage_t;

/* A request for tokens sent to another VM. */
typedef struct
{
  uint64_t seq;
  char vm[LIM_NAME_SIZE];
  clk_ms_t sent_at;
  bool loan;  /* else for good, into room that is kept */
  bool ahead; /* more was asked for than is needed */
  bool open;  /* the round waits for it */
} lim_ask_t;

/* Another VM that may hold tokens, and what it said last. */
typedef struct
{
  const char *vm;
  int64_t level;
  clk_ms_t level_at; /* CLK_NEVER: it has said nothing */
} lim_source_t;

typedef struct
{
  char *name;
  uint64_t index;
  double rate;
  double burst;
  lbk_t *bucket;
  lim_stage_t stage;
  uint64_t *waiters; /* tags, oldest first */
  size_t waiter_count;
  lim_ask_t *asks;
  size_t ask_count;
  clk_ms_t denied_until;
  clk_ms_t backoff;
  double demand; /* requests a second here */
  clk_ms_t demand_at;
  clk_ms_t balance_at;
  clk_ms_t balance_wait;
  uint64_t sources_of; /* membership generation */
  size_t near_count;   /* the first ones of sources are near */
  size_t source_count;
  lim_source_t *sources;
  uint64_t seen; /* in the configuration of this number */
} lim_customer_t;

struct lim
{
  lim_desc_t desc;
  lsh_t *shares;
  GHashTable *by_name;
  lim_customer_t **customers; /* in order of coming; never removed */
  size_t customer_count;
  GHashTable *skipped; /* VM name to clk_ms_t * */
  uint64_t seq;
  uint64_t config; /* grows with each document */
  bool leaving;
  bool minted; /* had a right to since it started */
  lim_answer_t *answers;
  size_t answer_first;
  size_t answer_count;
};

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
  if (l->desc.ask_ms == 0)
    l->desc.ask_ms = LIM_ASK_MS_DEFAULT;
  if (l->desc.waiters_max == 0)
    l->desc.waiters_max = LIM_WAITERS_MAX_DEFAULT;
  if (l->desc.shares.guard_ms == 0)
    l->desc.shares.guard_ms = LIM_GUARD_MS_DEFAULT;
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
  lsh_start (l->shares, env);
}

/* ---- customers and their shares ---- */

static lim_customer_t *
_lim_find (const lim_t *l, const char *name)
{
  return g_hash_table_lookup (l->by_name, name);
}

static void
_lim_apply_share (lim_t *l, env_t *env, lim_customer_t *c, clk_ms_t since)
{
  int64_t parts = lsh_parts (l->shares, env, c->name);
  int64_t rate = (int64_t)(c->rate * (double)LBK_TOKEN);
  int64_t burst = (int64_t)(c->burst * (double)LBK_TOKEN);
  lbk_set_share (c->bucket, since, rate * parts / LSH_WHOLE,
                 burst * parts / LSH_WHOLE);
}

/* Bring all shares up to date; before anything is minted or spent. */
static void
_lim_sync (lim_t *l, env_t *env)
{
  clk_ms_t since;
  if (!lsh_step (l->shares, env, &since))
    return;
  bool fill = !l->minted && lsh_rights (l->shares) != 0
              && lsh_is_new_fleet (l->shares);
  l->minted = l->minted || lsh_rights (l->shares) != 0;
  for (size_t i = 0; i < l->customer_count; i++)
    {
      _lim_apply_share (l, env, l->customers[i], since);
      l->customers[i]->sources_of = 0;
      if (fill)
        lbk_fill (l->customers[i]->bucket);
    }
}

static lim_customer_t *
_lim_add (lim_t *l, const char *name)
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

static void
_lim_set_rate (lim_t *l, env_t *env, lim_customer_t *c, double rate,
               double burst)
{
  if (c->rate == rate && c->burst == burst)
    return;
  c->rate = rate;
  c->burst = burst;
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
  _lim_sync (l, env);
  l->config++;
  for (size_t i = 0; i < doc->customer_count; i++)
    {
      const cfg_customer_t *from = &doc->customers[i];
      lim_customer_t *c = _lim_find (l, from->name);
      if (c == NULL)
        c = _lim_add (l, from->name);
      c->seen = l->config;
      _lim_set_rate (l, env, c, from->rate, from->burst);
    }
  for (size_t i = 0; i < l->customer_count; i++)
    if (l->customers[i]->seen != l->config)
      _lim_set_rate (l, env, l->customers[i], 0, 0);
}

/* ---- whom to ask ---- */

static void
_lim_add_sources (lim_customer_t *c, const mbr_t *m, const env_t *env,
                  const char *data_centre)
{
  const char *vms[LIM_SOURCES_MAX];
  size_t n = mbr_rank (m, data_centre, MOD_LIMIT, c->name, vms, 2);
  for (size_t i = 0; i < n && c->source_count < LIM_SOURCES_MAX; i++)
    if (strcmp (vms[i], env->vm) != 0)
      c->sources[c->source_count++]
          = (lim_source_t){ .vm = vms[i], .level_at = CLK_NEVER };
}

static void
_lim_find_sources (lim_t *l, env_t *env, lim_customer_t *c)
{
  const mbr_t *m = l->desc.members;
  if (c->sources_of == mbr_generation (m))
    return;
  c->sources_of = mbr_generation (m);
  c->source_count = 0;
  if (c->sources == NULL)
    c->sources = talloc_array (c, lim_source_t, LIM_SOURCES_MAX);
  const char *first = lsh_home (l->shares, c->name);
  if (first == NULL)
    first = env->data_centre;
  _lim_add_sources (c, m, env, first);
  c->near_count = c->source_count;
  for (size_t i = 0; i < mbr_data_centre_count (m); i++)
    {
      const char *data_centre = mbr_data_centre_get (m, i);
      if (strcmp (data_centre, first) != 0)
        _lim_add_sources (c, m, env, data_centre);
    }
}

static bool
_lim_is_skipped (const lim_t *l, const env_t *env, const char *vm)
{
  const clk_ms_t *until = g_hash_table_lookup (l->skipped, vm);
  return until != NULL && env->now < *until;
}

static void
_lim_skip (lim_t *l, const env_t *env, const char *vm)
{
  clk_ms_t *until = g_new (clk_ms_t, 1);
  *until = env->now + LIM_SKIP_MS;
  g_hash_table_replace (l->skipped, g_strdup (vm), until);
}

static bool
_lim_is_asked (const lim_customer_t *c, const char *vm)
{
  for (size_t i = 0; i < c->ask_count; i++)
    if (c->asks[i].open && strcmp (c->asks[i].vm, vm) == 0)
      return true;
  return false;
}

/* ---- demand ---- */

/* Exponential average: each request adds, time takes away. */
static void
_lim_note_demand (lim_customer_t *c, clk_ms_t now)
{
  double passed = (double)(now - c->demand_at);
  c->demand *= passed < LIM_DEMAND_MS ? 1 - passed / LIM_DEMAND_MS : 0;
  c->demand += (double)CLK_SECOND / LIM_DEMAND_MS;
  c->demand_at = now;
}

/* What to hold ahead of demand. */
static int64_t
_lim_ahead (const lim_customer_t *c)
{
  double tokens = c->demand * LIM_AHEAD_MS / CLK_SECOND;
  return tokens < 1 ? 0 : (int64_t)(tokens * (double)LBK_TOKEN);
}

/* What a VM likes to have: a minter a full bucket, another what demand takes
 * before a loan is over. */
static int64_t
_lim_wanted (const lim_customer_t *c)
{
  int64_t burst = lbk_burst (c->bucket);
  return burst > 0 ? burst : _lim_ahead (c);
}

/* ---- messages out ---- */

static lim_ask_t *
_lim_ask_add (lim_t *l, env_t *env, lim_customer_t *c, const char *vm,
              bool open)
{
  c->asks = talloc_realloc (c, c->asks, lim_ask_t, c->ask_count + 1);
  lim_ask_t *ask = &c->asks[c->ask_count++];
  *ask = (lim_ask_t){ .seq = ++l->seq, .sent_at = env->now, .open = open };
  snprintf (ask->vm, sizeof ask->vm, "%s", vm);
  tmr_arm (env->tmr, env->now + l->desc.ask_ms, MOD_LIMIT, c->index);
  cnt_add (env->cnt, "rts_limit_asks_total", "", 1);
  return ask;
}

/* Ask VM for NEED, and for as much more as makes the two alike, up to EXTRA:
 * for good when there is room here, else on loan.  OPEN: the round waits. */
static void
_lim_ask (lim_t *l, env_t *env, lim_customer_t *c, const char *vm,
          int64_t need, int64_t extra, bool open)
{
  if (c->ask_count == LIM_ASKS_MAX || (need <= 0 && extra <= 0))
    return;
  lim_ask_t *ask = _lim_ask_add (l, env, c, vm, open);
  /* Half of the room, as minting goes on meanwhile. */
  int64_t room = lbk_room (c->bucket) / 2;
  ask->loan = room < need || room <= 0;
  if (!ask->loan)
    {
      extra = extra < room - need ? extra : room - need;
      lbk_reserve (c->bucket, ask->seq, need + extra,
                   env->now + LIM_RESERVE_MS);
    }
  ask->ahead = extra > 0;
  mpk_writer_t w;
  mpk_writer_init (&w, l);
  mpk_put_str (&w, buf_str (c->name));
  mpk_put_uint (&w, ask->seq);
  mpk_put_int (&w, need);
  mpk_put_int (&w, extra);
  mpk_put_int (&w, lbk_available (c->bucket));
  mpk_put_int (&w, _lim_wanted (c));
  mpk_put_int (&w, ask->loan ? l->desc.loan_ms : 0);
  buf_t body = mpk_done (&w);
  mbr_send (l->desc.members, env, vm, MSG_LIMIT_ASK, body);
  talloc_free ((void *)(uintptr_t)body.p);
}

static void
_lim_settle (lim_t *l, env_t *env, lim_customer_t *c, int64_t keep)
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

/* ---- rounds of asking ---- */

static void
_lim_answer (lim_t *l, uint64_t tag, lim_verdict_t verdict,
             clk_ms_t retry_after)
{
  l->answers
      = talloc_realloc (l, l->answers, lim_answer_t, l->answer_count + 1);
  l->answers[l->answer_count++] = (lim_answer_t){ .tag = tag,
                                                  .verdict = verdict,
                                                  .retry_after = retry_after };
}

static void
_lim_count (env_t *env, const char *verdict)
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
_lim_serve (lim_t *l, env_t *env, lim_customer_t *c)
{
  size_t n = 0;
  while (n < c->waiter_count && lbk_take (c->bucket, env->now))
    {
      _lim_answer (l, c->waiters[n++], LIM_ADMITTED, 0);
      _lim_count (env, "verdict=\"admitted\",by=\"loan\"");
    }
  _lim_drop_waiters (c, n);
}

/* Time until TOKENS more have been minted for C over all VMs. */
static clk_ms_t
_lim_refill_ms (const lim_customer_t *c, size_t tokens)
{
  double missing
      = (double)tokens - (double)lbk_available (c->bucket) / (double)LBK_TOKEN;
  if (c->rate <= 0)
    return CLK_MINUTE;
  if (missing <= 0)
    return 1;
  return (clk_ms_t)(missing * CLK_SECOND / c->rate) + 1;
}

/* Not so long that buckets elsewhere fill up meanwhile. */
static clk_ms_t
_lim_backoff_max (const lim_customer_t *c)
{
  if (c->rate <= 0)
    return LIM_BACKOFF_MAX_MS;
  double fill = c->burst / c->rate * CLK_SECOND / 4;
  return fill < LIM_BACKOFF_MAX_MS ? (clk_ms_t)fill : LIM_BACKOFF_MAX_MS;
}

/* Everyone was asked: what is still waiting is over the rate. */
static void
_lim_refuse_waiters (lim_t *l, env_t *env, lim_customer_t *c)
{
  for (size_t i = 0; i < c->waiter_count; i++)
    {
      _lim_answer (l, c->waiters[i], LIM_REFUSED, _lim_refill_ms (c, i + 1));
      _lim_count (env, "verdict=\"refused\"");
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
_lim_round_waits (const lim_customer_t *c)
{
  for (size_t i = 0; i < c->ask_count; i++)
    if (c->asks[i].open)
      return true;
  return false;
}

static int64_t
_lim_missing (const lim_customer_t *c)
{
  return (int64_t)c->waiter_count * LBK_TOKEN - lbk_available (c->bucket);
}

static int64_t
_lim_extra (const lim_customer_t *c)
{
  int64_t wanted = _lim_wanted (c);
  int64_t available = lbk_available (c->bucket);
  return available < wanted ? wanted - available : 0;
}

/* What source I holds by now, if it mints an even part; a VM that has said
 * nothing counts as full, so that it is asked. */
static int64_t
_lim_source_level (const lim_customer_t *c, size_t i, clk_ms_t now)
{
  const lim_source_t *source = &c->sources[i];
  double minters = (double)c->source_count + 1;
  double full = c->burst / minters * (double)LBK_TOKEN;
  if (source->level_at == CLK_NEVER)
    return (int64_t)full;
  double minted = (double)(now - source->level_at) / CLK_SECOND * c->rate
                  / minters * (double)LBK_TOKEN;
  double level = (double)source->level + minted;
  return (int64_t)(level < full ? level : full);
}

/* The fullest of the first COUNT sources as far as is known; ties at random,
 * so that all are used alike.  COUNT: none can be asked. */
static size_t
_lim_fullest (lim_t *l, env_t *env, const lim_customer_t *c, size_t count)
{
  size_t best = count;
  int64_t best_level = -1;
  gint32 equals = 0;
  for (size_t i = 0; i < count; i++)
    {
      if (_lim_is_skipped (l, env, c->sources[i].vm))
        continue;
      int64_t level = _lim_source_level (c, i, env->now);
      if (level < best_level)
        continue;
      equals = level > best_level ? 1 : equals + 1;
      best_level = level;
      if (equals == 1 || g_rand_int_range (env->rand, 0, equals) == 0)
        best = i;
    }
  return best;
}

static void
_lim_ask_near (lim_t *l, env_t *env, lim_customer_t *c)
{
  c->stage = LIM_ASKING_NEAR;
  size_t i = _lim_fullest (l, env, c, c->near_count);
  if (i < c->near_count)
    _lim_ask (l, env, c, c->sources[i].vm, _lim_missing (c), _lim_extra (c),
              true);
}

static void
_lim_ask_all (lim_t *l, env_t *env, lim_customer_t *c)
{
  c->stage = LIM_ASKING_ALL;
  for (size_t i = 0; i < c->source_count; i++)
    if (!_lim_is_skipped (l, env, c->sources[i].vm)
        && !_lim_is_asked (c, c->sources[i].vm))
      _lim_ask (l, env, c, c->sources[i].vm, _lim_missing (c), 0, true);
}

/* While there still is something here: even out with the fullest minter, so
 * that no bucket is full while others are empty. */
static void
_lim_balance (lim_t *l, env_t *env, lim_customer_t *c)
{
  int64_t extra = _lim_extra (c);
  if (4 * extra <= _lim_wanted (c) || c->stage != LIM_IDLE
      || env->now < c->balance_at || env->now < c->denied_until)
    return;
  _lim_find_sources (l, env, c);
  c->balance_wait
      = clk_min (2 * c->balance_wait + LIM_BALANCE_MS, LIM_BALANCE_MAX_MS);
  c->balance_at = env->now + c->balance_wait;
  size_t i = _lim_fullest (l, env, c, c->source_count);
  if (i < c->source_count)
    _lim_ask (l, env, c, c->sources[i].vm, 0, extra, false);
}

/* Go on with C's round after a grant, a timeout or its beginning. */
static void
_lim_advance_round (lim_t *l, env_t *env, lim_customer_t *c)
{
  _lim_serve (l, env, c);
  _lim_find_sources (l, env, c);
  if (c->waiter_count > 0 && c->stage == LIM_IDLE)
    _lim_ask_near (l, env, c);
  if (c->waiter_count > 0 && c->stage == LIM_ASKING_NEAR
      && !_lim_round_waits (c))
    _lim_ask_all (l, env, c);
  if (c->waiter_count > 0 && _lim_round_waits (c))
    return;
  int64_t keep = 0;
  if (c->waiter_count > 0)
    _lim_refuse_waiters (l, env, c);
  else
    {
      keep = 2 * _lim_ahead (c);
      c->backoff /= 2;
    }
  for (size_t i = 0; i < c->ask_count; i++)
    c->asks[i].open = false;
  c->stage = LIM_IDLE;
  _lim_settle (l, env, c, keep);
}

static void
_lim_forget_asks (lim_t *l, env_t *env, lim_customer_t *c)
{
  size_t kept = 0;
  for (size_t i = 0; i < c->ask_count; i++)
    {
      lim_ask_t *ask = &c->asks[i];
      if (ask->open && env->now >= ask->sent_at + l->desc.ask_ms)
        {
          ask->open = false;
          _lim_skip (l, env, ask->vm);
          cnt_add (env->cnt, "rts_limit_ask_timeouts_total", "", 1);
        }
      if (env->now < ask->sent_at + l->desc.loan_ms)
        c->asks[kept++] = *ask;
    }
  c->ask_count = kept;
}

void
lim_timer_fired (lim_t *l, env_t *env, uint64_t tag)
{
  _lim_sync (l, env);
  if (tag & LSH_TAG)
    {
      lsh_timer_fired (l->shares, env, tag);
      _lim_sync (l, env);
      return;
    }
  if (tag >= l->customer_count)
    return;
  lim_customer_t *c = l->customers[tag];
  _lim_forget_asks (l, env, c);
  if (c->stage != LIM_IDLE && !_lim_round_waits (c))
    _lim_advance_round (l, env, c);
}

/* ---- requests ---- */

static lim_verdict_t
_lim_refuse (env_t *env, clk_ms_t after, clk_ms_t *retry_after)
{
  *retry_after = clk_max (after, 1);
  _lim_count (env, "verdict=\"refused\"");
  return LIM_REFUSED;
}

lim_verdict_t
lim_admit (lim_t *l, env_t *env, mbr_t *m, const char *customer, uint64_t tag,
           clk_ms_t *retry_after)
{
  l->desc.members = m;
  _lim_sync (l, env);
  lim_customer_t *c = _lim_find (l, customer);
  *retry_after = 0;
  if (c == NULL || l->leaving)
    return _lim_refuse (env, CLK_SECOND, retry_after);
  _lim_note_demand (c, env->now);
  if (c->waiter_count == 0 && lbk_take (c->bucket, env->now))
    {
      _lim_count (env, "verdict=\"admitted\",by=\"own\"");
      _lim_settle (l, env, c, INT64_MAX);
      _lim_balance (l, env, c);
      return LIM_ADMITTED;
    }
  if (c->waiter_count == 0 && env->now < c->denied_until)
    return _lim_refuse (env, c->denied_until - env->now, retry_after);
  if (c->waiter_count == l->desc.waiters_max)
    return _lim_refuse (env, _lim_refill_ms (c, c->waiter_count), retry_after);
  c->waiters = talloc_realloc (c, c->waiters, uint64_t, c->waiter_count + 1);
  c->waiters[c->waiter_count++] = tag;
  if (c->stage == LIM_IDLE)
    {
      _lim_forget_asks (l, env, c);
      _lim_advance_round (l, env, c);
    }
  return LIM_PENDING;
}

bool
lim_answer_pop (lim_t *l, lim_answer_t *answer)
{
  if (l->answer_first == l->answer_count)
    {
      l->answer_first = 0;
      l->answer_count = 0;
      return false;
    }
  *answer = l->answers[l->answer_first++];
  return true;
}

/* ---- messages in ---- */

/* Two VMs that both wait for the same customer would only swap what little
 * they hold: then the first by name gets it. */
static bool
_lim_may_lend (const lim_customer_t *c, const env_t *env, const char *vm)
{
  return c->waiter_count == 0 || strcmp (vm, env->vm) < 0;
}

/* How much, after NEED, makes this bucket and one that holds LEVEL of FULL
 * filled alike. */
static int64_t
_lim_even (const lim_customer_t *c, int64_t need, int64_t level, int64_t full)
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
  int64_t need = mpk_get_int (r);
  int64_t extra = mpk_get_int (r);
  int64_t level = mpk_get_int (r);
  int64_t full = mpk_get_int (r);
  clk_ms_t life = mpk_get_int (r);
  if (!mpk_end (r) || c == NULL || life < 0 || life > l->desc.loan_ms
      || !_lim_may_lend (c, env, vm))
    return 0;
  lbk_advance (c->bucket, env->now);
  int64_t even = _lim_even (c, need, level, full);
  int64_t more = extra < even ? extra : even;
  int64_t want = need + (more > 0 ? more : 0);
  if (life == 0)
    return lbk_give (c->bucket, env->now, want);
  return lbk_lend (c->bucket, env->now, vm, seq, want,
                   life + life / LIM_DRIFT + 1);
}

/* Whether loans fill C's bucket so far that it matters which are spent. */
static bool
_lim_wants_settling (const lim_customer_t *c)
{
  int64_t lent = lbk_lent (c->bucket);
  return 4 * (lent + lbk_held (c->bucket)) > 3 * lbk_burst (c->bucket);
}

static void
_lim_asked (lim_t *l, env_t *env, const char *vm, mpk_reader_t *r)
{
  buf_t name = mpk_get_str (r);
  mpk_reader_t peek = *r;
  uint64_t seq = mpk_get_uint (&peek);
  lim_customer_t *c = name.p ? _lim_find (l, name.p) : NULL;
  int64_t amount = _lim_lend (l, env, c, vm, r);
  if (r->failed)
    return;
  mpk_writer_t w;
  mpk_writer_init (&w, l);
  mpk_put_str (&w, name);
  mpk_put_uint (&w, seq);
  mpk_put_int (&w, amount);
  mpk_put_uint (&w, c != NULL && _lim_wants_settling (c));
  mpk_put_int (&w, c != NULL ? lbk_held (c->bucket) : 0);
  buf_t body = mpk_done (&w);
  mbr_send (l->desc.members, env, vm, MSG_LIMIT_GRANT, body);
  talloc_free ((void *)(uintptr_t)body.p);
  if (amount > 0)
    _lim_balance (l, env, c);
}

static lim_ask_t *
_lim_ask_find (lim_customer_t *c, uint64_t seq)
{
  for (size_t i = 0; i < c->ask_count; i++)
    if (c->asks[i].seq == seq)
      return &c->asks[i];
  return NULL;
}

static void
_lim_note_level (lim_customer_t *c, const env_t *env, const char *vm,
                 int64_t level)
{
  for (size_t i = 0; i < c->source_count; i++)
    if (strcmp (c->sources[i].vm, vm) == 0)
      {
        c->sources[i].level = level;
        c->sources[i].level_at = env->now;
      }
}

static void
_lim_granted (lim_t *l, env_t *env, const char *vm, mpk_reader_t *r)
{
  buf_t name = mpk_get_str (r);
  uint64_t seq = mpk_get_uint (r);
  int64_t amount = mpk_get_int (r);
  bool settle = mpk_get_uint (r) != 0;
  int64_t level = mpk_get_int (r);
  lim_customer_t *c = mpk_end (r) ? _lim_find (l, name.p) : NULL;
  lim_ask_t *ask = c ? _lim_ask_find (c, seq) : NULL;
  if (ask == NULL || strcmp (ask->vm, vm) != 0)
    return;
  lim_ask_t done = *ask;
  *ask = c->asks[--c->ask_count];
  g_hash_table_remove (l->skipped, vm);
  lbk_advance (c->bucket, env->now);
  clk_ms_t until = done.sent_at + l->desc.loan_ms;
  if (!done.loan)
    lbk_receive (c->bucket, env->now, seq, amount);
  else if (env->now < until)
    lbk_borrow (c->bucket, vm, seq, amount, until, settle);
  _lim_find_sources (l, env, c);
  _lim_note_level (c, env, vm, level);
  if (done.ahead && 8 * amount >= _lim_wanted (c))
    c->balance_at = c->balance_wait = 0;
  if (c->stage != LIM_IDLE)
    _lim_advance_round (l, env, c);
  else
    _lim_settle (l, env, c, 2 * _lim_ahead (c));
}

static void
_lim_settled (lim_t *l, env_t *env, const char *vm, mpk_reader_t *r)
{
  buf_t name = mpk_get_str (r);
  uint64_t seq = mpk_get_uint (r);
  int64_t spent = mpk_get_int (r);
  int64_t returned = mpk_get_int (r);
  lim_customer_t *c = mpk_end (r) ? _lim_find (l, name.p) : NULL;
  if (c != NULL)
    lbk_settle (c->bucket, env->now, vm, seq, spent, returned);
}

/* A leaving VM holds tokens: borrow them for as long as it is certainly not
 * minting again. */
static void
_lim_offered (lim_t *l, env_t *env, const char *vm, mpk_reader_t *r)
{
  buf_t name = mpk_get_str (r);
  int64_t amount = mpk_get_int (r);
  lim_customer_t *c = mpk_end (r) ? _lim_find (l, name.p) : NULL;
  if (c != NULL && !l->leaving)
    _lim_ask (l, env, c, vm, amount, 0, false);
}

void
lim_message_received (lim_t *l, env_t *env, const char *vm, const msg_t *msg)
{
  _lim_sync (l, env);
  void *ctx = talloc_new (l);
  mpk_reader_t r = mpk_reader (ctx, msg->body);
  switch (msg->kind)
    {
    case MSG_LIMIT_ASK:
      _lim_asked (l, env, vm, &r);
      break;
    case MSG_LIMIT_GRANT:
      _lim_granted (l, env, vm, &r);
      break;
    case MSG_LIMIT_SETTLE:
      _lim_settled (l, env, vm, &r);
      break;
    case MSG_LIMIT_OFFER:
      _lim_offered (l, env, vm, &r);
      break;
    default:
      lsh_message_received (l->shares, env, vm, msg);
      _lim_sync (l, env);
      break;
    }
  if (r.failed)
    cnt_add (env->cnt, "rts_limit_bad_messages_total", "", 1);
  talloc_free (ctx);
}

void
lim_platform_replied (lim_t *l, env_t *env, const plt_done_t *done,
                      const ev_platform_t *reply)
{
  _lim_sync (l, env);
  lsh_platform_replied (l->shares, env, done, reply);
  _lim_sync (l, env);
}

void
lim_leave (lim_t *l, env_t *env)
{
  _lim_sync (l, env);
  l->leaving = true;
  for (size_t i = 0; i < l->customer_count; i++)
    {
      lim_customer_t *c = l->customers[i];
      lbk_advance (c->bucket, env->now);
      _lim_settle (l, env, c, 0);
      _lim_find_sources (l, env, c);
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
  const lim_customer_t *c = _lim_find (l, customer);
  return c ? c->bucket : NULL;
}

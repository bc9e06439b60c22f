/** @file
 * Router: tokens of upstreams' limits between VMs.
 *
 * One VM has the mint of an upstream's limit; the others ask it for tokens.
 * The choice of that VM is not protected by a lease.  While the member lists
 * of two VMs differ, an upstream can have two mints: each begins empty and
 * mints only the share of the VMs that it sees, so that both together stay
 * within what the limit allows (upl_mint.h).
 */
#include "core/mpk.h"
#include "core/rte_int.h"

#include <math.h>
#include <string.h>
#include <talloc.h>

/** Time by which the ages in a message may be wrong, mostly its way. */
#define RTE_WORD_DOUBT_MS ((clk_ms_t)100)
/** Time after which a VM that uses a limited upstream is told its word again.
 */
#define RTE_WORD_REPEAT_MS CLK_SECOND
/** Time for which a VM that takes over the mint of a cold upstream gives out
 * nothing: what the last one has lent is used up then. */
#define RTE_TAKE_OVER_MS (UPL_LOAN_MS + RTE_WORD_DOUBT_MS)
/** Least time between two lines of the log on the use of one limit. */
#define RTE_LIMIT_LOG_MS (5 * CLK_SECOND)
/** Largest number of settlements told at a time for one upstream. */
#define RTE_SETTLEMENTS_MAX 16
/** Largest ages and counts in a message that are taken as they are. */
#define RTE_AGE_MAX ((uint64_t)CLK_HOUR)

/** Messages that one step sends, by VM. */
typedef struct
{
  void *ctx;
  GHashTable *asks;   /**< VM name to mpk_writer_t */
  GHashTable *tokens; /**< VM name to mpk_writer_t */
  GHashTable *cold;   /**< VM name to mpk_writer_t */
} _rte_mail_t;

/** An entry of a message: its upstream, and the word on its limit. */
typedef struct
{
  const rte_upstream_t *upstream; /**< NULL: not known here by this start */
  upl_word_t word;
} _rte_entry_t;

/* -- messages -------------------------------------------------------------
 */

static void
_rte_mail_begin (_rte_mail_t *m)
{
  m->ctx = talloc_new (NULL);
  m->asks = g_hash_table_new (g_str_hash, g_str_equal);
  m->tokens = g_hash_table_new (g_str_hash, g_str_equal);
  m->cold = g_hash_table_new (g_str_hash, g_str_equal);
}

static mpk_writer_t *
_rte_mail_writer (const _rte_mail_t *m, GHashTable *kind, const char *vm)
{
  mpk_writer_t *w = g_hash_table_lookup (kind, vm);
  if (w != NULL)
    return w;
  w = talloc_zero (m->ctx, mpk_writer_t);
  mpk_writer_init (w, m->ctx);
  g_hash_table_insert (kind, talloc_strdup (m->ctx, vm), w);
  return w;
}

static void
_rte_mail_kind_send (const rte_t *r, env_t *env, GHashTable *kind,
                     rte_msg_t msg)
{
  GHashTableIter iter;
  void *vm;
  void *w;
  g_hash_table_iter_init (&iter, kind);
  while (g_hash_table_iter_next (&iter, &vm, &w))
    mbr_send (r->desc.members, env, vm, msg, mpk_done (w));
  g_hash_table_destroy (kind);
}

/** Sends all messages of M and frees it. */
static void
_rte_mail_send (const rte_t *r, env_t *env, _rte_mail_t *m)
{
  _rte_mail_kind_send (r, env, m->cold, MSG_ROUTE_COLD);
  _rte_mail_kind_send (r, env, m->asks, MSG_ROUTE_TOKENS_ASK);
  _rte_mail_kind_send (r, env, m->tokens, MSG_ROUTE_TOKENS);
  talloc_free (m->ctx);
}

/** Reads a number; MAX in place of a larger one. */
static uint64_t
_rte_uint_read (mpk_reader_t *in, uint64_t max)
{
  uint64_t value = mpk_get_uint (in);
  return value < max ? value : max;
}

static uint64_t
_rte_age (const env_t *env, clk_ms_t at)
{
  return MIN ((uint64_t)clk_max (env->now - at, 0), RTE_AGE_MAX);
}

/** Writes the beginning of an entry: U and the word on its limit. */
static void
_rte_entry_write (mpk_writer_t *w, const env_t *env, const rte_upstream_t *u,
                  const rte_limit_t *l)
{
  mpk_put_str (w, buf_str (u->name));
  mpk_put_uint (w, l->born);
  mpk_put_double (w, upl_word_is_limit (&l->word) ? l->word.per_s : -1);
  mpk_put_uint (w, _rte_age (env, l->word.sent_at));
  mpk_put_uint (w, _rte_age (env, l->word.said_at));
}

static _rte_entry_t
_rte_entry_read (const rte_t *r, const env_t *env, mpk_reader_t *in)
{
  _rte_entry_t e = { 0 };
  buf_t name = mpk_get_str (in);
  uint64_t born = mpk_get_uint (in);
  double per_s = mpk_get_double (in);
  uint64_t sent_age = _rte_uint_read (in, RTE_AGE_MAX);
  uint64_t said_age = _rte_uint_read (in, RTE_AGE_MAX);
  const rte_upstream_t *u
      = name.p ? g_hash_table_lookup (r->by_name, name.p) : NULL;
  e.upstream = u != NULL && u->born == born ? u : NULL;
  bool is_limit = isfinite (per_s) && per_s >= 0;
  e.word = (upl_word_t){ .per_s = is_limit ? per_s : INFINITY,
                         .sent_at = env->now - (clk_ms_t)sent_age,
                         .said_at = env->now - (clk_ms_t)said_age };
  return e;
}

/** Tells VM the word on U's limit, without tokens. */
static void
_rte_word_tell (const _rte_mail_t *m, const env_t *env,
                const rte_upstream_t *u, rte_limit_t *l, const char *vm)
{
  mpk_writer_t *w = _rte_mail_writer (m, m->tokens, vm);
  _rte_entry_write (w, env, u, l);
  mpk_put_uint (w, 0);
  g_hash_table_replace (l->told, g_strdup (vm),
                        g_memdup2 (&env->now, sizeof env->now));
}

/* -- the mint -------------------------------------------------------------
 */

static bool
_rte_mint_is_here (const env_t *env, const rte_upstream_t *u)
{
  return u->mint != NULL && strcmp (u->mint, env->vm) == 0;
}

void
rte_limit_mint_update (rte_t *r, env_t *env, rte_upstream_t *u)
{
  const char *vm = u->configured ? u->poller : NULL;
  size_t count = mbr_data_centre_count (r->desc.members);
  for (size_t i = 0; i < count && vm == NULL && u->configured; i++)
    vm = mbr_owner (r->desc.members, mbr_data_centre_get (r->desc.members, i),
                    MOD_ROUTE, u->name);
  if (g_strcmp0 (vm, u->mint) == 0)
    return;
  char *copy = vm == NULL ? NULL : talloc_strdup (u->strings, vm);
  bool taken_over = u->mint != NULL;
  talloc_free (u->mint);
  u->mint = copy;
  rte_limit_t *l = rte_limit_find (r, u);
  if (l == NULL)
    return;
  l->mint_from = taken_over ? env->now + RTE_TAKE_OVER_MS : 0;
  TALLOC_FREE (l->mint);
  upl_hold_mint_changed (l->hold);
  l->untold = true;
  l->cold_untold = l->cold.words[CLD_SAID].until > env->now;
  rte_limit_arm (r, env, env->now);
}

/** The part of the fleet for which this VM may mint. */
static double
_rte_mint_share (const rte_t *r)
{
  size_t listed = 0;
  size_t up = 0;
  for (size_t i = 0; i < mbr_vm_count (r->desc.members); i++)
    {
      const mbr_vm_t *vm = mbr_vm_get (r->desc.members, i);
      listed += vm->listed || vm->self;
      up += (vm->listed || vm->self) && (vm->up || vm->self);
    }
  return listed == 0 ? 1 : (double)up / (double)listed;
}

/** Time until this VM's mint of U's limit begins; 0: it has begun. */
static clk_ms_t
_rte_mint_wait_ms (const rte_t *r, const env_t *env, const rte_upstream_t *u,
                   const rte_limit_t *l)
{
  return rte_cold_ms (r, env, u) > 0 ? clk_max (l->mint_from - env->now, 0)
                                     : 0;
}

/** Makes the mint of U's limit, or ends it, and sets its rate. */
static void
_rte_mint_keep (const rte_t *r, const env_t *env, const rte_upstream_t *u,
                rte_limit_t *l)
{
  upl_plan_t plan;
  if (!_rte_mint_is_here (env, u) || !rte_limit_plan (r, env, u, l, &plan))
    {
      TALLOC_FREE (l->mint);
      return;
    }
  if (l->mint == NULL)
    l->mint = upl_mint_setup (l);
  clk_ms_t wait = _rte_mint_wait_ms (r, env, u, l);
  if (wait > 0)
    upl_mint_plan_set (l->mint, env->now, &plan, 0);
  upl_mint_plan_set (l->mint, env->now + wait, &plan, _rte_mint_share (r));
}

/** The turn of VM, which waits for a token of CLASS of this VM's mint of U's
 * limit; false: it does not wait. */
static bool
_rte_mint_turn (const rte_t *r, const env_t *env, const rte_upstream_t *u,
                const rte_limit_t *l, const char *vm, upl_class_t class,
                upl_turn_t *turn)
{
  if (!upl_mint_turn (l->mint, env->now, vm, class, turn))
    return false;
  turn->wait_ms += _rte_mint_wait_ms (r, env, u, l);
  return true;
}

static void
_rte_grant_write (mpk_writer_t *w, upl_class_t class, uint64_t seq,
                  uint32_t tokens, const upl_turn_t *turn)
{
  mpk_put_uint (w, class);
  mpk_put_uint (w, seq);
  mpk_put_uint (w, tokens);
  mpk_put_uint (w, (uint64_t)turn->wait_ms);
  mpk_put_uint (w, (uint64_t)turn->gap_ms);
}

/** Gives out the tokens of U's limit that are there. */
static void
_rte_mint_issue (const _rte_mail_t *m, const env_t *env,
                 const rte_upstream_t *u, rte_limit_t *l)
{
  upl_grant_t grant;
  while (upl_mint_grant_pop (l->mint, env->now, &grant))
    {
      if (strcmp (grant.vm, env->vm) == 0)
        {
          upl_hold_granted (l->hold, env->now, grant.vm, grant.class,
                            grant.seq, grant.tokens);
          continue;
        }
      mpk_writer_t *w = _rte_mail_writer (m, m->tokens, grant.vm);
      _rte_entry_write (w, env, u, l);
      mpk_put_uint (w, 1);
      _rte_grant_write (w, grant.class, grant.seq, grant.tokens,
                        &(upl_turn_t){ 0 });
    }
}

/** Tells VM the word on U's limit and, if it waits for tokens, its turn. */
static void
_rte_turns_tell (const rte_t *r, const _rte_mail_t *m, const env_t *env,
                 const rte_upstream_t *u, rte_limit_t *l, const char *vm)
{
  upl_turn_t turn;
  _rte_word_tell (m, env, u, l, vm);
  for (int c = 0; c < UPL_CLASS_NUM && l->mint != NULL; c++)
    {
      if (!_rte_mint_turn (r, env, u, l, vm, (upl_class_t)c, &turn))
        continue;
      mpk_writer_t *w = _rte_mail_writer (m, m->tokens, vm);
      _rte_entry_write (w, env, u, l);
      mpk_put_uint (w, 1);
      _rte_grant_write (w, (upl_class_t)c, 0, 0, &turn);
    }
}

/** The VMs that use U, as far as this VM, with the mint, knows: a set of
 * names. */
static GHashTable *
_rte_users (const _rte_mail_t *m, const rte_upstream_t *u,
            const rte_limit_t *l)
{
  GHashTable *users[] = { l->told, u->poll == NULL ? NULL : u->poll->usage };
  GHashTable *vms = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  void *vm;
  for (size_t i = 0; i < sizeof users / sizeof users[0]; i++)
    {
      if (users[i] == NULL)
        continue;
      g_hash_table_iter_init (&iter, users[i]);
      while (g_hash_table_iter_next (&iter, &vm, NULL))
        g_hash_table_add (vms, talloc_strdup (m->ctx, vm));
    }
  return vms;
}

/** Tells all VMs that use U the word on its limit. */
static void
_rte_users_tell (const _rte_mail_t *m, const env_t *env,
                 const rte_upstream_t *u, rte_limit_t *l)
{
  GHashTable *vms = _rte_users (m, u, l);
  GHashTableIter iter;
  void *vm;
  g_hash_table_iter_init (&iter, vms);
  while (g_hash_table_iter_next (&iter, &vm, NULL))
    _rte_word_tell (m, env, u, l, vm);
  g_hash_table_destroy (vms);
}

/** Tells what U has said of its cold time, if that is news: the VM with the
 * mint tells the VMs that use U, any other tells that VM. */
static void
_rte_cold_tell (const _rte_mail_t *m, const env_t *env,
                const rte_upstream_t *u, rte_limit_t *l)
{
  if (!l->cold_untold)
    return;
  l->cold_untold = false;
  if (!_rte_mint_is_here (env, u))
    {
      rte_cold_write (_rte_mail_writer (m, m->cold, u->mint), env, u, l);
      return;
    }
  GHashTable *vms = _rte_users (m, u, l);
  GHashTableIter iter;
  void *vm;
  g_hash_table_iter_init (&iter, vms);
  while (g_hash_table_iter_next (&iter, &vm, NULL))
    if (strcmp (vm, env->vm) != 0)
      rte_cold_write (_rte_mail_writer (m, m->cold, vm), env, u, l);
  g_hash_table_destroy (vms);
}

void
rte_limit_user_seen (rte_t *r, env_t *env, const rte_upstream_t *u,
                     const char *vm)
{
  rte_limit_t *l = rte_limit_in_force (r, env, u);
  if (l == NULL || !upl_word_is_limit (&l->word)
      || !_rte_mint_is_here (env, u))
    return;
  const clk_ms_t *told = g_hash_table_lookup (l->told, vm);
  if (told != NULL && env->now - *told < RTE_WORD_REPEAT_MS)
    return;
  _rte_mail_t m;
  _rte_mail_begin (&m);
  _rte_word_tell (&m, env, u, l, vm);
  _rte_mail_send (r, env, &m);
}

/* -- this VM's own tokens -------------------------------------------------
 */

/** What this VM asks the mint of one limit, and tells it. */
typedef struct
{
  upl_ask_t asks[UPL_CLASS_NUM];
  size_t ask_count;
  lbk_settlement_t settlements[RTE_SETTLEMENTS_MAX];
  size_t settlement_count;
} _rte_asking_t;

static void
_rte_asking_gather (_rte_asking_t *a, const rte_t *r, const env_t *env,
                    const rte_upstream_t *u, rte_limit_t *l)
{
  lbk_settlement_t s;
  bool limited = rte_limit_in_force (r, env, u) != NULL;
  while (a->settlement_count < RTE_SETTLEMENTS_MAX
         && upl_hold_settlement_pop (l->hold, env->now, &s))
    if (strcmp (s.vm, u->mint) == 0)
      a->settlements[a->settlement_count++] = s;
  for (int c = 0; c < UPL_CLASS_NUM && limited; c++)
    {
      upl_ask_t *ask = &a->asks[a->ask_count];
      *ask = (upl_ask_t){ .vm = env->vm };
      if (upl_hold_ask (l->hold, env->now, (upl_class_t)c, ask))
        a->ask_count++;
    }
}

/** Takes to the mint L->mint what VM asks and tells. */
static void
_rte_asking_apply (const _rte_asking_t *a, const env_t *env, rte_limit_t *l,
                   const char *vm)
{
  for (size_t i = 0; i < a->settlement_count; i++)
    upl_mint_settle (l->mint, env->now, vm, a->settlements[i].seq,
                     a->settlements[i].spent, a->settlements[i].returned);
  for (size_t i = 0; i < a->ask_count; i++)
    upl_mint_ask (l->mint, env->now, &a->asks[i]);
}

static void
_rte_asking_write (mpk_writer_t *w, const env_t *env, const rte_upstream_t *u,
                   const rte_limit_t *l, const _rte_asking_t *a)
{
  _rte_entry_write (w, env, u, l);
  mpk_put_uint (w, a->ask_count);
  for (size_t i = 0; i < a->ask_count; i++)
    {
      mpk_put_uint (w, a->asks[i].class);
      mpk_put_uint (w, a->asks[i].seq);
      mpk_put_uint (w, a->asks[i].tokens);
    }
  mpk_put_uint (w, a->settlement_count);
  for (size_t i = 0; i < a->settlement_count; i++)
    {
      mpk_put_uint (w, a->settlements[i].seq);
      mpk_put_uint (w, (uint64_t)a->settlements[i].spent);
      mpk_put_uint (w, (uint64_t)a->settlements[i].returned);
    }
}

/** Reads what VM asks and tells, behind the beginning of an entry. */
static void
_rte_asking_read (_rte_asking_t *a, const char *vm, mpk_reader_t *in)
{
  uint64_t asks = mpk_get_uint (in);
  for (uint64_t i = 0; i < asks && mpk_more (in); i++)
    {
      uint64_t class = mpk_get_uint (in);
      uint64_t seq = mpk_get_uint (in);
      uint64_t tokens = _rte_uint_read (in, UINT16_MAX);
      if (class >= UPL_CLASS_NUM || a->ask_count == UPL_CLASS_NUM)
        continue;
      a->asks[a->ask_count++] = (upl_ask_t){ .vm = vm,
                                             .class = (upl_class_t) class,
                                             .seq = seq,
                                             .tokens = (uint32_t)tokens };
    }
  uint64_t settlements = mpk_get_uint (in);
  for (uint64_t i = 0; i < settlements && mpk_more (in); i++)
    {
      uint64_t seq = mpk_get_uint (in);
      uint64_t spent = _rte_uint_read (in, INT64_MAX);
      uint64_t returned = _rte_uint_read (in, INT64_MAX);
      if (a->settlement_count < RTE_SETTLEMENTS_MAX)
        a->settlements[a->settlement_count++] = (lbk_settlement_t){
          .seq = seq, .spent = (int64_t)spent, .returned = (int64_t)returned
        };
    }
}

/** Notes this VM's own turns at its own mint. */
static void
_rte_own_turns_note (const rte_t *r, const env_t *env, const rte_upstream_t *u,
                     rte_limit_t *l)
{
  upl_turn_t turn;
  for (int c = 0; c < UPL_CLASS_NUM; c++)
    if (_rte_mint_turn (r, env, u, l, env->vm, (upl_class_t)c, &turn))
      upl_hold_turn_set (l->hold, env->now, (upl_class_t)c, &turn);
}

static void
_rte_limit_use_log (env_t *env, const rte_upstream_t *u, rte_limit_t *l)
{
  uint32_t *sent = l->sent;
  uint32_t *passed = l->passed;
  bool used = sent[UPL_ONLINE] + sent[UPL_ITEM] + passed[UPL_ONLINE]
                  + passed[UPL_ITEM]
              > 0;
  if (!used || env->now - l->logged_at < RTE_LIMIT_LOG_MS)
    return;
  upl_turn_t turn = upl_hold_turn (l->hold, env->now, UPL_ONLINE);
  tln_record (env->tln, env->now, MOD_ROUTE, "limit-use",
              "upstream=%s per_s=%g mint=%s sent=%u items=%u passed_over=%u "
              "items_passed_over=%u tokens=%u wait_ms=%lld gap_ms=%lld",
              u->name, l->word.per_s, u->mint == NULL ? "" : u->mint,
              sent[UPL_ONLINE], sent[UPL_ITEM], passed[UPL_ONLINE],
              passed[UPL_ITEM],
              upl_hold_tokens (l->hold, env->now, UPL_ONLINE),
              (long long)turn.wait_ms, (long long)turn.gap_ms);
  l->logged_at = env->now;
  for (int c = 0; c < UPL_CLASS_NUM; c++)
    sent[c] = passed[c] = 0;
}

/* -- steps ----------------------------------------------------------------
 */

void
rte_limit_arm (rte_t *r, env_t *env, clk_ms_t at)
{
  if (at >= r->limit_timer_at)
    return;
  r->limit_timer_at = at;
  tmr_arm (env->tmr, at, MOD_ROUTE, RTE_TIMER_LIMIT);
}

/** Does what is due for U's limit; returns when it is due again. */
static clk_ms_t
_rte_limit_step (const rte_t *r, const _rte_mail_t *m, env_t *env,
                 const rte_upstream_t *u, rte_limit_t *l)
{
  _rte_asking_t asking = { 0 };
  if (u->mint == NULL)
    return CLK_NEVER;
  bool here = _rte_mint_is_here (env, u);
  _rte_mint_keep (r, env, u, l);
  _rte_cold_tell (m, env, u, l);
  _rte_asking_gather (&asking, r, env, u, l);
  if (here && l->untold)
    _rte_users_tell (m, env, u, l);
  if (l->mint != NULL)
    {
      _rte_asking_apply (&asking, env, l, env->vm);
      _rte_mint_issue (m, env, u, l);
      _rte_own_turns_note (r, env, u, l);
    }
  else if (!here
           && (l->untold || asking.ask_count + asking.settlement_count > 0))
    _rte_asking_write (_rte_mail_writer (m, m->asks, u->mint), env, u, l,
                       &asking);
  l->untold = false;
  _rte_limit_use_log (env, u, l);
  clk_ms_t due = rte_cold_step (r, env, u, l);
  if (rte_limit_in_force (r, env, u) != NULL)
    due = clk_min (due, upl_hold_due_at (l->hold, env->now));
  if (l->mint_from > env->now)
    due = clk_min (due, l->mint_from);
  return l->mint == NULL ? due
                         : clk_min (due, upl_mint_next_at (l->mint, env->now));
}

void
rte_limit_tick (rte_t *r, env_t *env)
{
  if (env->now < r->limit_timer_at || g_hash_table_size (r->limits) == 0)
    return;
  _rte_mail_t m;
  _rte_mail_begin (&m);
  clk_ms_t due = CLK_NEVER;
  GHashTableIter iter;
  void *name;
  void *l;
  r->limit_timer_at = CLK_NEVER;
  g_hash_table_iter_init (&iter, r->limits);
  while (g_hash_table_iter_next (&iter, &name, &l))
    {
      const rte_upstream_t *u = g_hash_table_lookup (r->by_name, name);
      if (u != NULL && u->configured && u->born == ((rte_limit_t *)l)->born)
        due = clk_min (due, _rte_limit_step (r, &m, env, u, l));
    }
  _rte_mail_send (r, env, &m);
  rte_limit_arm (r, env, due);
}

/** Handles one entry of MSG_ROUTE_TOKENS_ASK of VM; APPLY: does what it asks
 * too. */
static void
_rte_ask_received (rte_t *r, const _rte_mail_t *m, env_t *env, const char *vm,
                   mpk_reader_t *in, bool apply)
{
  _rte_asking_t asking = { 0 };
  _rte_entry_t e = _rte_entry_read (r, env, in);
  _rte_asking_read (&asking, vm, in);
  const rte_upstream_t *u = e.upstream;
  if (!apply || u == NULL)
    return;
  rte_limit_word (r, env, u, &e.word, RTE_WORD_DOUBT_MS, vm);
  rte_limit_t *l = rte_limit_find (r, u);
  if (l == NULL || !_rte_mint_is_here (env, u))
    return;
  _rte_mint_keep (r, env, u, l);
  if (l->mint != NULL)
    {
      _rte_asking_apply (&asking, env, l, vm);
      _rte_mint_issue (m, env, u, l);
      rte_limit_arm (r, env, upl_mint_next_at (l->mint, env->now));
    }
  _rte_turns_tell (r, m, env, u, l, vm);
}

/** Handles one entry of MSG_ROUTE_TOKENS of VM; APPLY: takes what it gives
 * too. */
static void
_rte_tokens_received (rte_t *r, env_t *env, const char *vm, mpk_reader_t *in,
                      bool apply)
{
  _rte_entry_t e = _rte_entry_read (r, env, in);
  const rte_upstream_t *u = e.upstream;
  bool applies = apply && u != NULL;
  if (applies)
    rte_limit_word (r, env, u, &e.word, RTE_WORD_DOUBT_MS, vm);
  rte_limit_t *l = applies ? rte_limit_find (r, u) : NULL;
  bool from_mint = l != NULL && g_strcmp0 (u->mint, vm) == 0;
  uint64_t count = mpk_get_uint (in);
  for (uint64_t i = 0; i < count && mpk_more (in); i++)
    {
      uint64_t class = mpk_get_uint (in);
      uint64_t seq = mpk_get_uint (in);
      uint64_t tokens = _rte_uint_read (in, UINT16_MAX);
      upl_turn_t turn
          = { .wait_ms = (clk_ms_t)_rte_uint_read (in, RTE_AGE_MAX) };
      turn.gap_ms = (clk_ms_t)_rte_uint_read (in, RTE_AGE_MAX);
      if (!from_mint || class >= UPL_CLASS_NUM)
        continue;
      if (tokens > 0)
        upl_hold_granted (l->hold, env->now, vm, (upl_class_t) class, seq,
                          (uint32_t)tokens);
      else
        upl_hold_turn_set (l->hold, env->now, (upl_class_t) class, &turn);
    }
}

/** Reads all entries of MSG; false: malformed. */
static bool
_rte_entries_read (rte_t *r, const _rte_mail_t *m, env_t *env, const char *vm,
                   const msg_t *msg, void *ctx, bool apply)
{
  mpk_reader_t in = mpk_reader (ctx, msg->body);
  while (mpk_more (&in))
    if (msg->kind == MSG_ROUTE_TOKENS_ASK)
      _rte_ask_received (r, m, env, vm, &in, apply);
    else
      _rte_tokens_received (r, env, vm, &in, apply);
  return mpk_end (&in);
}

bool
rte_limit_received (rte_t *r, env_t *env, const char *vm, const msg_t *msg,
                    void *ctx)
{
  _rte_mail_t m;
  _rte_mail_begin (&m);
  bool good = _rte_entries_read (r, &m, env, vm, msg, ctx, false)
              && _rte_entries_read (r, &m, env, vm, msg, ctx, true);
  _rte_mail_send (r, env, &m);
  return good;
}

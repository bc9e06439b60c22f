/** @file
 * Crashes: set-up, timers, and the gate before each send.
 */
#include "core/crs_int.h"

#include <string.h>
#include <xxhash.h>

/** Seed by which hashes of requests are not those of parts. */
#define CRS_REQUEST_SEED 1
/** Time after which an ask without a response is sent again. */
#define CRS_ASK_AGAIN_MS (CLK_SECOND / 4)
/** Least time over which refused callers are spread when they come back. */
#define CRS_SPREAD_MS_MIN (CLK_SECOND / 2)

uint64_t
crs_request_hash (const char *customer, const char *method, const char *target,
                  buf_t body)
{
  /* The NUL after each string keeps "a" and "bc" from being "ab" and "c". */
  uint64_t hash = XXH64 (customer, strlen (customer) + 1, CRS_REQUEST_SEED);
  hash = XXH64 (method, strlen (method) + 1, hash);
  hash = XXH64 (target, strlen (target) + 1, hash);
  hash = XXH64 (body.p, body.n, hash);
  return hash == 0 ? 1 : hash;
}

static int
_crs_destroy (crs_t *c)
{
  crs_watch_destroy (c);
  for (GList *l = c->records.head; l != NULL; l = l->next)
    crs_record_free (l->data);
  for (GList *l = c->pending.head; l != NULL; l = l->next)
    crs_pending_free (l->data);
  g_queue_clear (&c->records);
  g_queue_clear (&c->pending);
  g_queue_clear (&c->permits);
  g_hash_table_destroy (c->entries);
  return 0;
}

crs_t *
crs_setup (void *ctx, const crs_desc_t *desc)
{
  crs_t *c = talloc_zero (ctx, crs_t);
  c->desc = *desc;
  c->entries = g_hash_table_new (g_int64_hash, g_int64_equal);
  c->ledger_since = CLK_NEVER;
  g_queue_init (&c->records);
  g_queue_init (&c->pending);
  g_queue_init (&c->permits);
  crs_watch_setup (c);
  talloc_set_destructor (c, _crs_destroy);
  return c;
}

void
crs_shutdown (crs_t *c)
{
  talloc_free (c);
}

size_t
crs_count (const crs_t *c, uint32_t ends)
{
  GHashTableIter iter;
  void *value;
  size_t n = 0;
  g_hash_table_iter_init (&iter, c->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    n += ((const crs_entry_t *)value)->ends >= ends;
  return n;
}

void
crs_tick_arm (crs_t *c, env_t *env)
{
  if (c->tick_armed)
    return;
  c->tick_armed = true;
  tmr_arm (env->tmr, env->now + CRS_TICK_MS, MOD_CRASH, CRS_TIMER_TICK);
}

static void
_crs_tick (crs_t *c, env_t *env)
{
  c->tick_armed = false;
  crs_ledger_sweep (c, env);
  crs_watch_sweep (c, env);
  crs_reports_repeat (c, env);
  if (g_hash_table_size (c->entries) > 0 || g_hash_table_size (c->starts) > 0
      || !g_queue_is_empty (&c->pending) || !g_queue_is_empty (&c->records))
    crs_tick_arm (c, env);
}

void
crs_timer_fired (crs_t *c, env_t *env, uint64_t tag)
{
  if (tag == CRS_TIMER_TELL)
    crs_tell (c, env);
  else
    _crs_tick (c, env);
}

/* -- permits of this VM's requests ---------------------------------------- */

crs_permit_t *
crs_permit_find (const crs_t *c, mod_t mod, uint64_t tag)
{
  for (const GList *l = c->permits.head; l != NULL; l = l->next)
    {
      crs_permit_t *p = l->data;
      if (p->mod == mod && p->tag == tag)
        return p;
    }
  return NULL;
}

static void
_crs_permit_free (crs_t *c, crs_permit_t *p)
{
  g_queue_remove (&c->permits, p);
  talloc_free (p);
}

void
crs_permit_end (crs_t *c, env_t *env, mod_t mod, uint64_t tag, bool sent)
{
  crs_permit_t *p = crs_permit_find (c, mod, tag);
  if (p == NULL)
    return;
  uint64_t number = p->number;
  _crs_permit_free (c, p);
  crs_done_send (c, env, number, sent);
}

bool
crs_is_permitted (const crs_t *c, mod_t mod, uint64_t tag)
{
  return crs_permit_find (c, mod, tag) != NULL;
}

void
crs_drop (crs_t *c, env_t *env, mod_t mod, uint64_t tag)
{
  const crs_permit_t *p = crs_permit_find (c, mod, tag);
  if (p != NULL && !p->in_use)
    crs_permit_end (c, env, mod, tag, false);
}

/** Asks for a permit for QUERY, again if P is not NULL. */
static crs_permit_t *
_crs_ask (crs_t *c, env_t *env, crs_permit_t *p, const crs_query_t *query)
{
  if (p == NULL)
    {
      p = talloc_zero (c, crs_permit_t);
      g_queue_push_tail (&c->permits, p);
      p->mod = query->mod;
      p->tag = query->tag;
    }
  p->number = own_hash_vm (env->vm) + env_number_base (env) + ++c->number;
  p->asked_at = env->now;
  p->answered = false;
  crs_ask_send (c, env, p, query);
  return p;
}

/** Refuses QUERY until about WAIT_MS from now: each caller gets a time of its
 * own. */
static crs_verdict_t
_crs_refuse (crs_t *c, env_t *env, const crs_query_t *query, clk_ms_t wait_ms,
             clk_ms_t *retry_ms)
{
  clk_ms_t spread = clk_max (wait_ms / 4, CRS_SPREAD_MS_MIN);
  *retry_ms
      = wait_ms + 1 + (clk_ms_t)(g_rand_double (env->rand) * (double)spread);
  const crs_entry_t *worst = NULL;
  for (size_t i = 0; i < query->subject_count; i++)
    {
      const crs_entry_t *e = crs_entry_find (c, query->subjects[i]);
      if (e != NULL && (worst == NULL || e->ends > worst->ends))
        worst = e;
    }
  tln_record (env->tln, env->now, MOD_CRASH, "refused",
              "request=%s subject=%016llx ends=%u trials=%u end_age_ms=%lld "
              "retry_ms=%lld",
              query->request_id,
              (unsigned long long)(worst == NULL ? 0 : worst->subject),
              worst == NULL ? 0 : worst->ends,
              worst == NULL ? 0 : worst->trials,
              (long long)(worst == NULL ? 0 : env->now - worst->end_at),
              (long long)*retry_ms);
  cnt_add (env->cnt, "rts_crash_refused_total", "", 1);
  crs_drop (c, env, query->mod, query->tag);
  return CRS_REFUSE;
}

/** The verdict on QUERY by the ledger's answer to P. */
static crs_verdict_t
_crs_answered (crs_t *c, env_t *env, crs_permit_t *p, const crs_query_t *query,
               clk_ms_t *retry_ms)
{
  if (p->verdict == CRS_REFUSE)
    {
      clk_ms_t wait_ms = clk_max (p->retry_at - env->now, 0);
      _crs_permit_free (c, p);
      return _crs_refuse (c, env, query, wait_ms, retry_ms);
    }
  return p->verdict;
}

crs_verdict_t
crs_may_send (crs_t *c, env_t *env, const crs_query_t *query,
              clk_ms_t *retry_ms)
{
  if (query->subject_count == 0 || g_hash_table_size (c->entries) == 0)
    return CRS_SEND;
  crs_permit_t *p = crs_permit_find (c, query->mod, query->tag);
  /* A permit is good for one send; what became of the one before is not known
   * yet. */
  if (p != NULL && p->in_use)
    return CRS_WAIT;
  if (p != NULL && p->answered
      && (p->verdict != CRS_WAIT || env->now < p->retry_at))
    return _crs_answered (c, env, p, query, retry_ms);
  bool free = false;
  clk_ms_t wait_ms = 0;
  crs_verdict_t verdict = crs_ledger_look (c, env, query, &free, &wait_ms);
  if (verdict == CRS_REFUSE)
    return _crs_refuse (c, env, query, wait_ms, retry_ms);
  if (verdict == CRS_SEND && free)
    {
      crs_drop (c, env, query->mod, query->tag);
      return CRS_SEND;
    }
  if (verdict == CRS_WAIT && p == NULL)
    return CRS_WAIT;
  if (p != NULL && !p->answered && env->now < p->asked_at + CRS_ASK_AGAIN_MS)
    return CRS_WAIT;
  p = _crs_ask (c, env, p, query);
  return p->answered ? _crs_answered (c, env, p, query, retry_ms) : CRS_WAIT;
}

#include "core/key.h"

#include "core/key_int.h"

#include <string.h>
#include <talloc.h>

#define KEY_TICK_MS_DEFAULT (1 * CLK_SECOND)
#define KEY_WITHDRAWALS_MAX_DEFAULT 200000
#define KEY_CONFIRM_REPEATS 2 /* a confirmation may be lost */

static int
_key_destroy (key_set_t *k)
{
  g_hash_table_destroy (k->withdrawals);
  return 0;
}

key_set_t *
key_setup (void *ctx, const key_desc_t *desc)
{
  key_set_t *k = talloc_zero (ctx, key_set_t);
  k->desc = *desc;
  if (k->desc.tick_ms == 0)
    k->desc.tick_ms = KEY_TICK_MS_DEFAULT;
  if (k->desc.withdrawals_max == 0)
    k->desc.withdrawals_max = KEY_WITHDRAWALS_MAX_DEFAULT;
  k->withdrawals = g_hash_table_new (g_str_hash, g_str_equal);
  talloc_set_destructor (k, _key_destroy);
  return k;
}

void
key_shutdown (key_set_t *k)
{
  talloc_free (k);
}

void
key_start (key_set_t *k, env_t *env)
{
  tmr_arm (env->tmr, env->now + env_jitter (env, k->desc.tick_ms), MOD_KEY, 0);
  key_store_tick (k, env);
}

key_withdrawal_t *
key_withdrawal_find (const key_set_t *k, const char *sha256)
{
  return g_hash_table_lookup (k->withdrawals, sha256);
}

static unsigned
_key_bucket (const char *sha256)
{
  return (unsigned)(g_ascii_xdigit_value (sha256[0]) * 16
                    + g_ascii_xdigit_value (sha256[1]))
         % KEY_BUCKETS;
}

unsigned
key_withdrawal_bucket (const key_withdrawal_t *w)
{
  return _key_bucket (w->sha256);
}

static bool
_key_hash_valid (const char *s)
{
  return strlen (s) == KEY_HASH_SIZE
         && strspn (s, "0123456789abcdef") == KEY_HASH_SIZE;
}

void
key_withdrawal_request (key_set_t *k, key_withdrawal_t *w, const char *origin,
                        uint64_t repeat_count)
{
  talloc_free ((void *)w->origin);
  w->origin = talloc_strdup (w, origin);
  w->repeat_count = repeat_count;
  w->confirms_left = KEY_CONFIRM_REPEATS + 1;
  if (w->pending)
    return;
  w->pending = true;
  w->next_pending = k->pending;
  k->pending = w;
}

key_withdrawal_t *
key_withdrawal_add (key_set_t *k, env_t *env, const key_withdrawal_t *given)
{
  if (!_key_hash_valid (given->sha256)
      || g_hash_table_size (k->withdrawals) >= k->desc.withdrawals_max)
    {
      cnt_add (env->cnt, "rts_key_withdrawals_refused_total", "", 1);
      return NULL;
    }
  key_withdrawal_t *w = talloc_zero (k, key_withdrawal_t);
  w->sha256 = talloc_strdup (w, given->sha256);
  w->name = talloc_strdup (w, given->name);
  key_withdrawal_request (k, w, given->origin, given->repeat_count);
  g_hash_table_insert (k->withdrawals, (gpointer)w->sha256, w);
  k->digests[key_withdrawal_bucket (w)] ^= key_withdrawal_digest (w);
  w->next_pop = NULL;
  *(k->pop_last == NULL ? &k->pop_first : &k->pop_last->next_pop) = w;
  k->pop_last = w;
  cnt_set (env->cnt, "rts_key_withdrawals", "",
           (double)g_hash_table_size (k->withdrawals));
  tln_record (env->tln, env->now, MOD_KEY, "withdraw", "key=%s origin=%s",
              w->name, w->origin);
  return w;
}

void
key_timer_fired (key_set_t *k, env_t *env, uint64_t tag)
{
  tmr_arm (env->tmr, env->now + env_jitter (env, k->desc.tick_ms), MOD_KEY,
           tag);
  key_spread_tick (k, env);
  key_store_tick (k, env);
}

const cfg_key_t *
key_check (key_set_t *k, env_t *env, const cfg_doc_t *doc,
           const char *presented)
{
  const cfg_key_t *key = NULL;
  const char *labels = "outcome=\"unknown\"";
  if (doc != NULL && presented != NULL && presented[0] != '\0'
      && strlen (presented) <= KEY_PRESENTED_MAX)
    {
      char hash[KEY_HASH_SIZE + 1];
      key_hash (presented, hash);
      key = cfg_key_find (doc, hash);
      if (key_withdrawn (k, hash))
        {
          labels = "outcome=\"withdrawn\"";
          key = NULL;
        }
      else if (key != NULL)
        labels = "outcome=\"ok\"";
    }
  cnt_add (env->cnt, "rts_key_checks_total", labels, 1);
  return key;
}

bool
key_withdrawn (const key_set_t *k, const char *sha256)
{
  return g_hash_table_contains (k->withdrawals, sha256);
}

/* Collects confirmations of W.  W replaces the oldest withdrawal for which
 * this VM collects. */
static void
_key_confirms_collect (key_set_t *k, key_withdrawal_t *w)
{
  if (w->collects)
    return;
  key_withdrawal_t **slot
      = &k->collected[k->collected_next++ % KEY_COLLECTED_MAX];
  if (*slot != NULL)
    {
      talloc_free ((*slot)->confirmed);
      (*slot)->confirmed = NULL;
      (*slot)->confirmed_count = 0;
      (*slot)->collects = false;
    }
  *slot = w;
  w->collects = true;
}

st_code_t
key_withdraw (key_set_t *k, env_t *env, const cfg_doc_t *doc, const char *name,
              const char **sha256)
{
  const cfg_key_t *key = doc == NULL ? NULL : cfg_key_find_name (doc, name);
  if (key == NULL && !_key_hash_valid (name))
    return ST_NOT_FOUND;
  if (key == NULL && doc != NULL)
    key = cfg_key_find (doc, name);
  key_withdrawal_t given = {
    .sha256 = key == NULL ? name : key->sha256,
    .name = key == NULL ? "" : key->name,
    .origin = env->vm,
  };
  key_withdrawal_t *w = key_withdrawal_find (k, given.sha256);
  if (w != NULL)
    key_withdrawal_request (k, w, env->vm, w->repeat_count + 1);
  else
    w = key_withdrawal_add (k, env, &given);
  if (w == NULL)
    return ST_EXHAUSTED;
  _key_confirms_collect (k, w);
  key_spread_push (k, env, (const key_withdrawal_t *const *)&w, 1);
  key_store_tick (k, env);
  *sha256 = w->sha256;
  return ST_OK;
}

bool
key_withdrawn_pop (key_set_t *k, const char **name)
{
  key_withdrawal_t *w = k->pop_first;
  if (w == NULL)
    return false;
  k->pop_first = w->next_pop;
  if (k->pop_first == NULL)
    k->pop_last = NULL;
  *name = w->name;
  return true;
}

bool
key_confirmed_by (const key_set_t *k, const char *sha256, const char *vm)
{
  const key_withdrawal_t *w = key_withdrawal_find (k, sha256);
  if (w == NULL)
    return false;
  if (w->confirmed == NULL)
    return false;
  return g_strv_contains ((const char *const *)w->confirmed, vm);
}

bool
key_stored (const key_set_t *k, const char *sha256)
{
  const key_withdrawal_t *w = key_withdrawal_find (k, sha256);
  return w != NULL && w->stored;
}

size_t
key_withdrawn_count (const key_set_t *k)
{
  return g_hash_table_size (k->withdrawals);
}

/* Exchange of withdrawals between VMs.  A new withdrawal is sent to all
 * neighbours at once; a periodic comparison of digests repairs losses.
 *
 * Message bodies (mpk.h), in the order of their fields:
 *   WITHDRAWN  count, then sha256, name, origin, repeat_count of each
 *   DIGEST     digest of all withdrawals; sent to one neighbour each tick
 *   BUCKETS    1 if the receiver is to send its own too, else 0; then the
 *              digest of each bucket
 *   CONFIRM    origin, vm, sha256, hops: VM holds the withdrawal; forwarded
 *              to the origin
 */
#include "core/key_int.h"
#include "core/mpk.h"

#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#define KEY_MSG_WITHDRAWN (MSG_KEY_FIRST + 0)
#define KEY_MSG_DIGEST (MSG_KEY_FIRST + 1)
#define KEY_MSG_BUCKETS (MSG_KEY_FIRST + 2)
#define KEY_MSG_CONFIRM (MSG_KEY_FIRST + 3)

#define KEY_HOPS_MAX 16
#define KEY_MESSAGE_WITHDRAWALS_MAX 1000 /**< withdrawals in one message */
#define KEY_PUSH_MAX 16                  /**< withdrawals pushed at once */
#define KEY_CONFIRMED_MAX 4096           /**< VMs noted per withdrawal */

uint64_t
key_withdrawal_digest (const key_withdrawal_t *w)
{
  return XXH3_64bits (w->sha256, KEY_HASH_SIZE);
}

static uint64_t
_key_digest_of_all (const key_set_t *k)
{
  return XXH3_64bits (k->digests, sizeof k->digests);
}

static void
_key_withdrawal_encode (mpk_writer_t *w, const key_withdrawal_t *withdrawal)
{
  mpk_put_str (w, buf_str (withdrawal->sha256));
  mpk_put_str (w, buf_str (withdrawal->name));
  mpk_put_str (w, buf_str (withdrawal->origin));
  mpk_put_uint (w, withdrawal->repeat_count);
}

static void
_key_send (const key_set_t *k, env_t *env, const char *vm, int kind,
           mpk_writer_t *w)
{
  spr_send (k->desc.peers, env, vm, (uint16_t)kind, mpk_done (w));
}

static void
_key_withdrawals_send (const key_set_t *k, env_t *env, const char *vm,
                       const key_withdrawal_t *const *v, size_t n)
{
  void *tmp = talloc_new (NULL);
  mpk_writer_t w;
  mpk_writer_init (&w, tmp);
  mpk_put_uint (&w, n);
  for (size_t i = 0; i < n; i++)
    _key_withdrawal_encode (&w, v[i]);
  _key_send (k, env, vm, KEY_MSG_WITHDRAWN, &w);
  talloc_free (tmp);
}

void
key_spread_push (key_set_t *k, env_t *env, const key_withdrawal_t *const *v,
                 size_t n)
{
  /* A VM that catches up receives many old withdrawals at once; its
   * neighbours hold these already. */
  if (n == 0 || n > KEY_PUSH_MAX)
    return;
  const spr_t *peers = k->desc.peers;
  for (size_t i = 0; i < spr_neighbour_count (peers); i++)
    _key_withdrawals_send (k, env, spr_neighbour (peers, i), v, n);
}

static void
_key_confirm_record (key_withdrawal_t *w, const char *vm)
{
  if (!w->collects)
    return;
  if (w->confirmed == NULL)
    w->confirmed = talloc_zero_array (w, const char *, 1);
  if (g_strv_contains ((const char *const *)w->confirmed, vm)
      || w->confirmed_count == KEY_CONFIRMED_MAX)
    return;
  size_t n = w->confirmed_count++;
  w->confirmed = talloc_realloc (w, w->confirmed, const char *, n + 2);
  w->confirmed[n] = talloc_strdup (w, vm);
  w->confirmed[n + 1] = NULL;
}

static void
_key_confirm_send (key_set_t *k, env_t *env, const char *origin,
                   const char *vm, const char *sha256, uint64_t hops)
{
  const char *next = spr_next_hop (k->desc.peers, origin);
  if (next == NULL || hops >= KEY_HOPS_MAX)
    return;
  void *tmp = talloc_new (NULL);
  mpk_writer_t w;
  mpk_writer_init (&w, tmp);
  mpk_put_str (&w, buf_str (origin));
  mpk_put_str (&w, buf_str (vm));
  mpk_put_str (&w, buf_str (sha256));
  mpk_put_uint (&w, hops);
  _key_send (k, env, next, KEY_MSG_CONFIRM, &w);
  talloc_free (tmp);
}

static void
_key_confirm (key_set_t *k, env_t *env, key_withdrawal_t *w)
{
  if (w->confirms_left == 0)
    return;
  w->confirms_left--;
  _key_confirm_record (w, env->vm);
  _key_confirm_send (k, env, w->origin, env->vm, w->sha256, 0);
}

static void
_key_digest_send (key_set_t *k, env_t *env, const char *vm)
{
  void *tmp = talloc_new (NULL);
  mpk_writer_t w;
  mpk_writer_init (&w, tmp);
  mpk_put_uint (&w, _key_digest_of_all (k));
  _key_send (k, env, vm, KEY_MSG_DIGEST, &w);
  talloc_free (tmp);
}

static void
_key_buckets_send (key_set_t *k, env_t *env, const char *vm, bool reply_wanted)
{
  void *tmp = talloc_new (NULL);
  mpk_writer_t w;
  mpk_writer_init (&w, tmp);
  mpk_put_uint (&w, reply_wanted ? 1 : 0);
  for (unsigned b = 0; b < KEY_BUCKETS; b++)
    mpk_put_uint (&w, k->digests[b]);
  _key_send (k, env, vm, KEY_MSG_BUCKETS, &w);
  talloc_free (tmp);
}

void
key_spread_tick (key_set_t *k, env_t *env)
{
  const spr_t *peers = k->desc.peers;
  size_t n = spr_neighbour_count (peers);
  if (n > 0)
    _key_digest_send (k, env, spr_neighbour (peers, k->neighbour_next++ % n));
  for (key_withdrawal_t *w = k->pending; w != NULL; w = w->next_pending)
    _key_confirm (k, env, w);
}

/* Merges a withdrawal that a peer sent; NULL: nothing is new. */
static key_withdrawal_t *
_key_withdrawal_merge (key_set_t *k, env_t *env, const key_withdrawal_t *given)
{
  key_withdrawal_t *w = key_withdrawal_find (k, given->sha256);
  if (w == NULL)
    return key_withdrawal_add (k, env, given);
  if (given->repeat_count <= w->repeat_count)
    return NULL;
  key_withdrawal_request (k, w, given->origin, given->repeat_count);
  return w;
}

static void
_key_withdrawn_received (key_set_t *k, env_t *env, mpk_reader_t *r)
{
  const key_withdrawal_t *changed[KEY_MESSAGE_WITHDRAWALS_MAX];
  size_t count = 0;
  uint64_t n = mpk_get_uint (r);
  for (uint64_t i = 0;
       i < n && i < KEY_MESSAGE_WITHDRAWALS_MAX && mpk_more (r); i++)
    {
      key_withdrawal_t given = { .sha256 = mpk_get_str (r).p };
      given.name = mpk_get_str (r).p;
      given.origin = mpk_get_str (r).p;
      given.repeat_count = mpk_get_uint (r);
      if (r->failed)
        continue;
      key_withdrawal_t *w = _key_withdrawal_merge (k, env, &given);
      if (w == NULL)
        continue;
      _key_confirm (k, env, w);
      changed[count++] = w;
    }
  key_spread_push (k, env, changed, count);
}

static void
_key_digest_received (key_set_t *k, env_t *env, const char *vm,
                      mpk_reader_t *r)
{
  uint64_t digest = mpk_get_uint (r);
  if (mpk_end (r) && digest != _key_digest_of_all (k))
    _key_buckets_send (k, env, vm, true);
}

/* Sends VM all withdrawals in the buckets whose digests differ. */
static void
_key_differences_send (key_set_t *k, env_t *env, const char *vm,
                       const bool differs[KEY_BUCKETS])
{
  const key_withdrawal_t *v[KEY_MESSAGE_WITHDRAWALS_MAX];
  size_t n = 0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, k->withdrawals);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      if (!differs[key_withdrawal_bucket (value)])
        continue;
      v[n++] = value;
      if (n == KEY_MESSAGE_WITHDRAWALS_MAX)
        {
          _key_withdrawals_send (k, env, vm, v, n);
          n = 0;
        }
    }
  if (n > 0)
    _key_withdrawals_send (k, env, vm, v, n);
}

static void
_key_buckets_received (key_set_t *k, env_t *env, const char *vm,
                       mpk_reader_t *r)
{
  bool reply_wanted = mpk_get_uint (r) == 1;
  bool differs[KEY_BUCKETS];
  for (unsigned b = 0; b < KEY_BUCKETS; b++)
    differs[b] = mpk_get_uint (r) != k->digests[b];
  if (!mpk_end (r))
    return;
  if (reply_wanted)
    _key_buckets_send (k, env, vm, false);
  _key_differences_send (k, env, vm, differs);
}

static void
_key_confirm_received (key_set_t *k, env_t *env, mpk_reader_t *r)
{
  buf_t origin = mpk_get_str (r);
  buf_t vm = mpk_get_str (r);
  buf_t sha256 = mpk_get_str (r);
  uint64_t hops = mpk_get_uint (r);
  if (!mpk_end (r) || hops >= KEY_HOPS_MAX)
    return;
  key_withdrawal_t *w = key_withdrawal_find (k, sha256.p);
  if (w != NULL && strcmp (w->origin, env->vm) == 0)
    _key_confirm_record (w, vm.p);
  else
    _key_confirm_send (k, env, origin.p, vm.p, sha256.p, hops + 1);
}

void
key_message_received (key_set_t *k, env_t *env, const char *vm,
                      const msg_t *msg)
{
  void *tmp = talloc_new (NULL);
  mpk_reader_t r = mpk_reader (tmp, msg->body);
  switch (msg->kind)
    {
    case KEY_MSG_WITHDRAWN:
      _key_withdrawn_received (k, env, &r);
      break;
    case KEY_MSG_DIGEST:
      _key_digest_received (k, env, vm, &r);
      break;
    case KEY_MSG_BUCKETS:
      _key_buckets_received (k, env, vm, &r);
      break;
    case KEY_MSG_CONFIRM:
      _key_confirm_received (k, env, &r);
      break;
    default:
      r.failed = true;
      break;
    }
  if (r.failed)
    cnt_add (env->cnt, "rts_key_bad_messages_total", "", 1);
  talloc_free (tmp);
}

void
key_peer_up (key_set_t *k, env_t *env, const char *vm)
{
  _key_digest_send (k, env, vm);
}

/** @file
 * Removal of old idempotency records.  Each shard is swept by one VM, chosen
 * by rendezvous hashing.  VMs share no clock, so a record's age counts from
 * when that VM first saw the record, on its own clock: a restart prolongs a
 * record's life and never shortens it.
 */
#include "core/idm_int.h"

#include <string.h>
#include <talloc.h>

/** Most records whose age one VM keeps; further records do not age until there
 * is room. */
#define IDM_SEEN_MAX 100000
/** Most records removed after one listing. */
#define IDM_REMOVE_MAX 200

void
idm_sweep_shutdown (idm_t *i)
{
  for (unsigned s = 0; s < IDM_SHARDS; s++)
    if (i->seen[s] != NULL)
      g_hash_table_destroy (i->seen[s]);
}

/** Whether this VM sweeps the shard with PREFIX. */
static bool
_idm_is_shard_owner (const idm_t *i, const env_t *env, const char *prefix)
{
  size_t count = mbr_vm_count (i->desc.members);
  const char **names = talloc_array (NULL, const char *, count);
  size_t n = 0;
  for (size_t k = 0; k < count; k++)
    {
      const mbr_vm_t *vm = mbr_vm_get (i->desc.members, k);
      if (vm->up && !vm->leaving)
        names[n++] = vm->name;
    }
  const char *owner = own_pick (names, n, MOD_IDEMPOTENT, prefix);
  bool owned_here = owner != NULL && strcmp (owner, env->vm) == 0;
  talloc_free (names);
  return owned_here;
}

static void
_idm_seen_clear (idm_t *i, unsigned shard)
{
  if (i->seen[shard] == NULL)
    return;
  i->seen_count -= g_hash_table_size (i->seen[shard]);
  g_hash_table_destroy (i->seen[shard]);
  i->seen[shard] = NULL;
}

void
idm_start (idm_t *i, env_t *env)
{
  if (i->desc.members != NULL)
    tmr_arm (env->tmr, env->now + env_jitter (env, i->desc.sweep_interval_ms),
             MOD_IDEMPOTENT, IDM_SWEEP_TAG);
}

/** Lists the next shard that this VM sweeps, if any. */
void
idm_sweep_tick (idm_t *i, env_t *env)
{
  tmr_arm (env->tmr, env->now + env_jitter (env, i->desc.sweep_interval_ms),
           MOD_IDEMPOTENT, IDM_SWEEP_TAG);
  for (unsigned n = 0; n < IDM_SHARDS; n++)
    {
      unsigned shard = i->next_shard;
      i->next_shard = (i->next_shard + 1) % IDM_SHARDS;
      char *prefix = idm_rec_shard (NULL, shard);
      bool owned_here = _idm_is_shard_owner (i, env, prefix);
      if (owned_here)
        plt_call (env, &(plt_req_t){ .mod = MOD_IDEMPOTENT,
                                     .tag = IDM_SWEEP_TAG | shard,
                                     .op = FX_PLATFORM_LIST,
                                     .name = prefix });
      else
        _idm_seen_clear (i, shard);
      talloc_free (prefix);
      if (owned_here)
        return;
    }
}

/** Notes that record O was listed; returns whether the record is old enough to
 * be removed. */
static bool
_idm_seen_update (idm_t *i, const env_t *env, GHashTable *seen,
                  const ev_object_t *o)
{
  idm_seen_t *s = g_hash_table_lookup (seen, o->name);
  if (s == NULL)
    {
      if (i->seen_count >= IDM_SEEN_MAX)
        return false;
      s = g_new0 (idm_seen_t, 1);
      s->version = o->version;
      s->first_seen = env->now;
      g_hash_table_insert (seen, g_strdup (o->name), s);
      i->seen_count++;
    }
  s->pass = i->pass;
  if (s->version != o->version)
    {
      s->version = o->version;
      s->first_seen = env->now;
    }
  return env->now - s->first_seen >= i->desc.retention_ms;
}

static gboolean
_idm_seen_is_outdated (void *key, void *value, void *pass)
{
  (void)key;
  return ((const idm_seen_t *)value)->pass != *(const unsigned *)pass;
}

void
idm_sweep_replied (idm_t *i, env_t *env, const plt_done_t *done,
                   const ev_platform_t *reply)
{
  unsigned shard = (unsigned)(done->tag & ~IDM_SWEEP_TAG);
  if (done->op != FX_PLATFORM_LIST || reply->code != ST_OK
      || shard >= IDM_SHARDS)
    return;
  if (i->seen[shard] == NULL)
    i->seen[shard]
        = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  GHashTable *seen = i->seen[shard];
  unsigned removed = 0;
  i->pass++;
  for (size_t k = 0; k < reply->object_count; k++)
    {
      const ev_object_t *o = &reply->objects[k];
      if (!_idm_seen_update (i, env, seen, o) || removed >= IDM_REMOVE_MAX)
        continue;
      removed++;
      plt_call (env, &(plt_req_t){ .mod = MOD_IDEMPOTENT,
                                   .tag = done->tag,
                                   .op = FX_PLATFORM_DELETE,
                                   .name = o->name,
                                   .if_version = o->version });
    }
  i->seen_count
      -= g_hash_table_foreach_remove (seen, _idm_seen_is_outdated, &i->pass);
  cnt_add (env->cnt, "rts_idempotent_removed_total", "", removed);
}

/* Withdrawals in the platform.  Each is one object that is created once and
 * never changed, so a write may be repeated, also when its reply was lost. */
#include "core/key_int.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define KEY_PREFIX "keys/withdrawn/"
#define KEY_RETRY_MS ((clk_ms_t)500)
#define KEY_RETRY_MAX_SHIFT 4 /* most doublings of KEY_RETRY_MS */
/** Longest random delay of a relay's write, so that the origin writes first.
 */
#define KEY_RELAY_WRITE_DELAY_MS (2 * CLK_SECOND)
#define KEY_WRITES_IN_FLIGHT_MAX 8

static clk_ms_t
_key_backoff (env_t *env, unsigned failed)
{
  unsigned shift = failed < KEY_RETRY_MAX_SHIFT ? failed : KEY_RETRY_MAX_SHIFT;
  return env_jitter (env, KEY_RETRY_MS << shift);
}

/* Tag of a write: the first 60 bits of the hash, the low 4 bits are 0.  Reads
 * have tag 1 (KEY_TAG_READ). */
static uint64_t
_key_tag (const char *sha256)
{
  char head[16];
  g_strlcpy (head, sha256, sizeof head);
  return g_ascii_strtoull (head, NULL, 16) << 4;
}

#define KEY_TAG_READ 1

static void
_key_write (key_set_t *k, env_t *env, key_withdrawal_t *w)
{
  void *tmp = talloc_new (NULL);
  json_t *body = json_pack ("{s:s, s:s}", "key", w->name, "origin", w->origin);
  char *text = json_dumps (body, JSON_COMPACT);
  w->write_at = env->now + _key_backoff (env, w->write_attempts++);
  k->writes_in_flight++;
  plt_call (env, &(plt_req_t){
                     .mod = MOD_KEY,
                     .tag = _key_tag (w->sha256),
                     .op = FX_PLATFORM_PUT,
                     .name = talloc_asprintf (tmp, KEY_PREFIX "%s", w->sha256),
                     .value = buf_str (text) });
  free (text);
  json_decref (body);
  talloc_free (tmp);
}

/* Whether this VM writes W: the origin does, and so do the relays (the few VMs
 * that watch the platform), in case the origin is gone. */
static bool
_key_is_writer (const key_set_t *k, const env_t *env,
                const key_withdrawal_t *w)
{
  return strcmp (w->origin, env->vm) == 0 || spr_is_relay (k->desc.peers);
}

static void
_key_writes_tick (key_set_t *k, env_t *env)
{
  key_withdrawal_t **at = &k->pending;
  while (*at != NULL)
    {
      key_withdrawal_t *w = *at;
      bool own = strcmp (w->origin, env->vm) == 0;
      if (w->write_at == 0)
        w->write_at = env->now
                      + (own ? 0 : env_jitter (env, KEY_RELAY_WRITE_DELAY_MS));
      bool is_writer = !w->stored && _key_is_writer (k, env, w);
      if (is_writer && w->write_at <= env->now
          && k->writes_in_flight < KEY_WRITES_IN_FLIGHT_MAX)
        _key_write (k, env, w);
      if (!is_writer && w->confirms_left == 0)
        {
          w->pending = false;
          *at = w->next_pending;
        }
      else
        at = &w->next_pending;
    }
}

static void
_key_read (key_set_t *k, env_t *env)
{
  bool watch = k->revision > 0;
  k->read_in_flight = true;
  plt_call (env,
            &(plt_req_t){ .mod = MOD_KEY,
                          .tag = KEY_TAG_READ,
                          .op = watch ? FX_PLATFORM_WATCH : FX_PLATFORM_LIST,
                          .name = KEY_PREFIX,
                          .revision = k->revision });
}

/* Makes all withdrawals pending that are not confirmed or not stored: a VM
 * that becomes a relay writes those that the platform lacks. */
static void
_key_pending_rebuild (key_set_t *k)
{
  k->pending = NULL;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, k->withdrawals);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      key_withdrawal_t *w = value;
      w->pending = !w->stored || w->confirms_left > 0;
      if (!w->pending)
        continue;
      w->next_pending = k->pending;
      k->pending = w;
    }
}

void
key_store_tick (key_set_t *k, env_t *env)
{
  bool relay = spr_is_relay (k->desc.peers);
  if (relay && !k->was_relay)
    _key_pending_rebuild (k);
  k->was_relay = relay;
  _key_writes_tick (k, env);
  if (!k->read_in_flight && env->now >= k->read_at
      && (!k->list_read || spr_is_relay (k->desc.peers)))
    _key_read (k, env);
}

static void
_key_object_read (key_set_t *k, env_t *env, const ev_object_t *object)
{
  size_t n = strlen (KEY_PREFIX);
  if (object->deleted || strncmp (object->name, KEY_PREFIX, n) != 0)
    return;
  json_t *body = json_loadb (object->value.p, object->value.n, 0, NULL);
  const char *name = json_string_value (json_object_get (body, "key"));
  const char *origin = json_string_value (json_object_get (body, "origin"));
  key_withdrawal_t given = {
    .sha256 = object->name + n,
    .name = name == NULL ? "" : name,
    .origin = origin == NULL ? "" : origin,
  };
  key_withdrawal_t *w = key_withdrawal_find (k, given.sha256);
  if (w == NULL)
    {
      w = key_withdrawal_add (k, env, &given);
      if (w != NULL && k->revision > 0)
        key_spread_push (k, env, (const key_withdrawal_t *const *)&w, 1);
    }
  if (w != NULL)
    w->stored = true;
  json_decref (body);
}

static void
_key_read_replied (key_set_t *k, env_t *env, const ev_platform_t *reply)
{
  k->read_in_flight = false;
  bool watch_timed_out = reply->code == ST_TIMEOUT && k->revision > 0;
  if (reply->code != ST_OK && reply->code != ST_NOT_FOUND && !watch_timed_out)
    {
      k->revision = 0;
      k->read_at = env->now + _key_backoff (env, k->reads_failed++);
      return;
    }
  k->reads_failed = 0;
  k->list_read = true;
  for (size_t i = 0; i < reply->object_count; i++)
    _key_object_read (k, env, &reply->objects[i]);
  if (!watch_timed_out && reply->revision > 0)
    k->revision = reply->revision;
  /* A watch that ended without changes is renewed at the next tick. */
  if (reply->object_count > 0 && spr_is_relay (k->desc.peers))
    _key_read (k, env);
}

static void
_key_write_replied (key_set_t *k, env_t *env, const plt_done_t *done,
                    const ev_platform_t *reply)
{
  k->writes_in_flight--;
  for (key_withdrawal_t *w = k->pending; w != NULL; w = w->next_pending)
    {
      if (_key_tag (w->sha256) != done->tag)
        continue;
      w->stored
          = w->stored || reply->code == ST_OK || reply->code == ST_CONFLICT;
      if (w->stored)
        tln_record (env->tln, env->now, MOD_KEY, "stored", "key=%s", w->name);
    }
}

void
key_platform_replied (key_set_t *k, env_t *env, const plt_done_t *done,
                      const ev_platform_t *reply)
{
  if (done->tag == KEY_TAG_READ)
    _key_read_replied (k, env, reply);
  else
    _key_write_replied (k, env, done, reply);
}

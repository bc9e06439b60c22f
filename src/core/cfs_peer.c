/** @file
 * Configuration store (cfs): messages that bring a new version to all VMs.
 *
 * A VM sends its version to its neighbours; a neighbour with an older version
 * requests the changed records and receives them in chunks.
 *
 * Message bodies (mpk.h), fields in order:
 *   VERSION  version, digest
 *     Goes to all neighbours after a change, and to one neighbour at each
 *     tick, in turn.
 *   REQUEST  have, to (0: any), chunk
 *     Requests one chunk of the records newer than version `have`, as of
 *     version `to`.
 *   DELTA    from, to, digest, writer, chunk, last (1: yes), records
 *     One chunk of the records that changed after version `from` (0: all
 *     records; they replace the receiver's document).
 *   ACK      writer, vm, version, hops
 *     `vm` has `version` in force.  Each VM forwards the message towards
 *     `writer`.
 */
#include "core/cfs_int.h"

#include <string.h>
#include <talloc.h>

#define CFS_MSG_VERSION (MSG_CONFIG_FIRST + 0)
#define CFS_MSG_REQUEST (MSG_CONFIG_FIRST + 1)
#define CFS_MSG_DELTA (MSG_CONFIG_FIRST + 2)
#define CFS_MSG_ACK (MSG_CONFIG_FIRST + 3)

#define CFS_CHUNK_MAX ((size_t)256 << 10)   /**< bytes of names and texts */
#define CFS_PULL_TIMEOUT_MS ((clk_ms_t)500) /**< for each chunk */
#define CFS_HOPS_MAX 16   /**< ends loops while the rings of VMs differ */
#define CFS_ACK_RESENDS 2 /**< one a tick, as messages may be lost */
/** Most VMs whose versions are stored; one more VM empties the table. */
#define CFS_PEER_VERSIONS_MAX 4096

static uint64_t
_cfs_digest (const cfs_t *c)
{
  cfs_digests_t d = cfs_set_digests (c->set, NULL);
  return cfs_digests_combine (&d);
}

static void
_cfs_send (const cfs_t *c, env_t *env, const char *vm, int kind,
           mpk_writer_t *w)
{
  spr_send (c->spr, env, vm, (uint16_t)kind, mpk_done (w));
}

void
cfs_peer_version_send (cfs_t *c, env_t *env, const char *vm)
{
  void *tmp = talloc_new (NULL);
  mpk_writer_t w;
  mpk_writer_init (&w, tmp);
  mpk_put_uint (&w, c->version);
  mpk_put_uint (&w, _cfs_digest (c));
  _cfs_send (c, env, vm, CFS_MSG_VERSION, &w);
  talloc_free (tmp);
}

static void
_cfs_ack_send (cfs_t *c, env_t *env, const char *writer, const char *vm,
               uint64_t version, uint64_t hops)
{
  const char *next = spr_next_hop (c->spr, writer);
  if (next == NULL || hops >= CFS_HOPS_MAX)
    return;
  void *tmp = talloc_new (NULL);
  mpk_writer_t w;
  mpk_writer_init (&w, tmp);
  mpk_put_str (&w, buf_str (writer));
  mpk_put_str (&w, buf_str (vm));
  mpk_put_uint (&w, version);
  mpk_put_uint (&w, hops);
  _cfs_send (c, env, next, CFS_MSG_ACK, &w);
  talloc_free (tmp);
}

void
cfs_peer_version_broadcast (cfs_t *c, env_t *env)
{
  for (size_t i = 0; i < spr_neighbour_count (c->spr); i++)
    cfs_peer_version_send (c, env, spr_neighbour (c->spr, i));
  cfs_peer_version_update (c, env->vm, c->version);
  _cfs_ack_send (c, env, c->writer, env->vm, c->version, 0);
  c->ack_resends_left = CFS_ACK_RESENDS;
}

void
cfs_peer_version_update (cfs_t *c, const char *vm, uint64_t version)
{
  uint64_t *known = g_hash_table_lookup (c->peer_versions, vm);
  if (known == NULL)
    {
      if (g_hash_table_size (c->peer_versions) >= CFS_PEER_VERSIONS_MAX)
        g_hash_table_remove_all (c->peer_versions);
      known = g_new0 (uint64_t, 1);
      g_hash_table_insert (c->peer_versions, g_strdup (vm), known);
    }
  if (version > *known)
    *known = version;
}

static void
_cfs_pull_stop (cfs_t *c)
{
  talloc_free (c->pull.ctx);
  c->pull = (cfs_pull_t){ 0 };
}

static void
_cfs_pull_request_send (cfs_t *c, env_t *env)
{
  cfs_pull_t *p = &c->pull;
  mpk_writer_t w;
  mpk_writer_init (&w, p->ctx);
  mpk_put_uint (&w, p->have);
  mpk_put_uint (&w, p->to);
  mpk_put_uint (&w, p->chunk);
  p->deadline = env->now + CFS_PULL_TIMEOUT_MS;
  _cfs_send (c, env, p->vm, CFS_MSG_REQUEST, &w);
}

void
cfs_peer_pull (cfs_t *c, env_t *env, const char *vm)
{
  if (c->pull.ctx != NULL && env->now < c->pull.deadline)
    return;
  _cfs_pull_stop (c);
  c->pull.ctx = talloc_new (c);
  c->pull.vm = talloc_strdup (c->pull.ctx, vm);
  c->pull.have = c->pull_full ? 0 : c->version;
  _cfs_pull_request_send (c, env);
}

/* Start a transfer from the peer with the newest version, if that version is
   newer than the one in force. */
static void
_cfs_pull_newest (cfs_t *c, env_t *env)
{
  if (c->newest_vm == NULL || c->newest_version <= c->version)
    return;
  char *vm = c->newest_vm;
  c->newest_vm = NULL;
  c->newest_version = 0;
  cfs_peer_pull (c, env, vm);
  talloc_free (vm);
}

void
cfs_peer_tick (cfs_t *c, env_t *env)
{
  size_t n = spr_neighbour_count (c->spr);
  if (n > 0)
    cfs_peer_version_send (c, env,
                           spr_neighbour (c->spr, c->next_neighbour++ % n));
  if (c->ack_resends_left > 0)
    {
      c->ack_resends_left--;
      _cfs_ack_send (c, env, c->writer, env->vm, c->version, 0);
    }
  if (c->pull.ctx != NULL && env->now >= c->pull.deadline)
    {
      cnt_add (env->cnt, "rts_config_pull_timeouts_total", "", 1);
      _cfs_pull_stop (c);
    }
  if (c->start_wait_over && c->pull.ctx == NULL)
    _cfs_pull_newest (c, env);
}

static void
_cfs_version_received (cfs_t *c, env_t *env, const char *vm, mpk_reader_t *r)
{
  uint64_t version = mpk_get_uint (r);
  uint64_t digest = mpk_get_uint (r);
  if (!mpk_end (r))
    return;
  cfs_peer_version_update (c, vm, version);
  if (version < c->version)
    cfs_peer_version_send (c, env, vm);
  else if (version == c->version && version > 0 && digest != _cfs_digest (c))
    {
      cnt_add (env->cnt, "rts_config_diverged_total", "", 1);
      g_warning ("configuration version %" G_GUINT64_FORMAT
                 " has another digest on VM %s than here; both keep "
                 "their documents",
                 version, vm);
    }
  if (version <= c->version || version <= c->newest_version)
    return;
  talloc_free (c->newest_vm);
  c->newest_vm = talloc_strdup (c, vm);
  c->newest_version = version;
  if (c->start_wait_over && c->pull.ctx == NULL)
    _cfs_pull_newest (c, env);
}

/* The records of chunk CHUNK, from 0; *LAST: there is no later chunk. */
static cfs_records_t
_cfs_chunk_select (const cfs_records_t *all, uint64_t chunk, bool *last)
{
  size_t begin = 0;
  size_t size = 0;
  for (size_t i = 0; i < all->count; i++)
    {
      size_t n = strlen (all->v[i].name) + strlen (all->v[i].text);
      if (size > 0 && size + n > CFS_CHUNK_MAX)
        {
          if (chunk == 0)
            {
              *last = false;
              return (cfs_records_t){ .v = all->v + begin,
                                      .count = i - begin };
            }
          chunk--;
          begin = i;
          size = 0;
        }
      size += n;
    }
  *last = true;
  if (chunk > 0)
    return (cfs_records_t){ 0 };
  return (cfs_records_t){ .v = all->v + begin, .count = all->count - begin };
}

static void
_cfs_request_received (cfs_t *c, env_t *env, const char *vm, mpk_reader_t *r)
{
  uint64_t have = mpk_get_uint (r);
  uint64_t to = mpk_get_uint (r);
  uint64_t chunk = mpk_get_uint (r);
  if (!mpk_end (r))
    return;
  if (have >= c->version || (to != 0 && to != c->version))
    {
      cfs_peer_version_send (c, env, vm);
      return;
    }
  void *tmp = talloc_new (NULL);
  cfs_records_t all = cfs_set_since (tmp, c->set, have);
  bool last;
  cfs_records_t part = _cfs_chunk_select (&all, chunk, &last);
  mpk_writer_t w;
  mpk_writer_init (&w, tmp);
  mpk_put_uint (&w, have);
  mpk_put_uint (&w, c->version);
  mpk_put_uint (&w, _cfs_digest (c));
  mpk_put_str (&w, buf_str (c->writer));
  mpk_put_uint (&w, chunk);
  mpk_put_uint (&w, last ? 1 : 0);
  cfs_records_write (&w, &part);
  _cfs_send (c, env, vm, CFS_MSG_DELTA, &w);
  talloc_free (tmp);
}

static void
_cfs_pull_finish (cfs_t *c, env_t *env, cfs_update_t *update, uint64_t from)
{
  update->records = c->pull.records;
  for (unsigned b = 0; b < CFS_BUCKETS; b++)
    update->buckets[b] = from == 0;
  bool adopted = cfs_update_adopt (c, env, update, NULL);
  c->pull_full = !adopted && update->version > c->version;
  _cfs_pull_stop (c);
  _cfs_pull_newest (c, env);
}

static void
_cfs_delta_received (cfs_t *c, env_t *env, const char *vm, mpk_reader_t *r)
{
  cfs_pull_t *p = &c->pull;
  uint64_t from = mpk_get_uint (r);
  cfs_update_t update = { .source = CFS_FROM_PEER, .vm = vm };
  update.version = mpk_get_uint (r);
  update.digest = mpk_get_uint (r);
  update.writer = mpk_get_str (r).p;
  uint64_t chunk = mpk_get_uint (r);
  bool last = mpk_get_uint (r) == 1;
  if (p->ctx == NULL || strcmp (p->vm, vm) != 0 || chunk != p->chunk
      || (p->to != 0 && p->to != update.version))
    {
      cnt_add (env->cnt, "rts_config_unasked_total", "", 1);
      return;
    }
  r->ctx = p->ctx;
  cfs_records_t records = cfs_records_read (p->ctx, r);
  if (!mpk_end (r) || update.version <= c->version
      || (from != 0 && from > c->version))
    {
      _cfs_pull_stop (c);
      return;
    }
  cfs_records_append (p->ctx, &p->records, &records);
  p->to = update.version;
  p->chunk++;
  if (last)
    _cfs_pull_finish (c, env, &update, from);
  else
    _cfs_pull_request_send (c, env);
}

static void
_cfs_ack_received (cfs_t *c, env_t *env, mpk_reader_t *r)
{
  buf_t writer = mpk_get_str (r);
  buf_t vm = mpk_get_str (r);
  uint64_t version = mpk_get_uint (r);
  uint64_t hops = mpk_get_uint (r);
  if (!mpk_end (r) || hops >= CFS_HOPS_MAX)
    return;
  cfs_peer_version_update (c, vm.p, version);
  _cfs_ack_send (c, env, writer.p, vm.p, version, hops + 1);
}

void
cfs_message_received (cfs_t *c, env_t *env, const char *vm, const msg_t *msg)
{
  void *tmp = talloc_new (NULL);
  mpk_reader_t r = mpk_reader (tmp, msg->body);
  c->peer_heard_at = env->now;
  switch (msg->kind)
    {
    case CFS_MSG_VERSION:
      _cfs_version_received (c, env, vm, &r);
      break;
    case CFS_MSG_REQUEST:
      _cfs_request_received (c, env, vm, &r);
      break;
    case CFS_MSG_DELTA:
      _cfs_delta_received (c, env, vm, &r);
      break;
    case CFS_MSG_ACK:
      _cfs_ack_received (c, env, &r);
      break;
    default:
      r.failed = true;
      break;
    }
  if (r.failed)
    cnt_add (env->cnt, "rts_config_bad_messages_total", "", 1);
  talloc_free (tmp);
  cfs_task_step (c, env);
}

void
cfs_peer_up (cfs_t *c, env_t *env, const char *vm)
{
  spr_link_add (c->spr, vm);
  cfs_peer_version_send (c, env, vm);
}

/** @file
 * Configuration store (cfs): reads from the platform.
 *
 * The relays (spr.h), a few VMs, watch the head.  The other VMs read the head
 * only when they have no document or receive nothing from their peers.  A
 * newer head makes a VM fetch the parts whose digests differ from its own.
 */
#include "core/cfs_int.h"

#include <string.h>
#include <talloc.h>

#define CFS_RETRY_MS ((clk_ms_t)500)
#define CFS_RETRY_SHIFT_MAX 4
/** Time that peers have to send a version before its parts are fetched. */
#define CFS_PEER_LEAD_MS ((clk_ms_t)200)
/** Time without a peer message after which a VM reads the head; also the mean
 * interval of these reads. */
#define CFS_PEER_SILENCE_MS (5 * CLK_SECOND)

static void
_cfs_fetch_stop (cfs_t *c)
{
  talloc_free (c->fetch.ctx);
  c->fetch = (cfs_fetch_t){ 0 };
}

/* Schedule the next read after a failure.  The delay is jittered and doubles
   up to 8 s. */
static void
_cfs_read_schedule (cfs_t *c, env_t *env)
{
  unsigned shift = c->read_failures;
  if (shift > CFS_RETRY_SHIFT_MAX)
    shift = CFS_RETRY_SHIFT_MAX;
  c->read_failures++;
  c->next_read_at = env->now + env_jitter (env, CFS_RETRY_MS << shift);
}

static void
_cfs_head_reread_schedule (cfs_t *c, env_t *env)
{
  c->reread_head = true;
  _cfs_read_schedule (c, env);
}

static void
_cfs_fetch_adopt (cfs_t *c, env_t *env)
{
  cfs_fetch_t *f = &c->fetch;
  if (cfs_update_adopt (c, env, &f->update, NULL))
    {
      cfs_head_clear (c);
      c->head = talloc_steal (c, f->head);
    }
  else if (f->head->version > c->version)
    _cfs_head_reread_schedule (c, env);
  _cfs_fetch_stop (c);
}

static void
_cfs_fetch_start (cfs_t *c, env_t *env, cfs_head_t *head)
{
  cfs_fetch_t *f = &c->fetch;
  if (f->ctx != NULL && f->head->version >= head->version)
    return;
  _cfs_fetch_stop (c);
  f->ctx = talloc_new (c);
  f->head = talloc_steal (f->ctx, head);
  f->seq = ++c->seq;
  f->update = (cfs_update_t){ .version = head->version,
                              .writer = head->writer,
                              .source = CFS_FROM_PLATFORM };
  cfs_digests_t own = cfs_set_digests (c->set, NULL);
  cfs_digests_t target;
  for (unsigned b = 0; b < CFS_BUCKETS; b++)
    {
      target.v[b] = head->parts[b].digest;
      f->update.buckets[b] = target.v[b] != own.v[b];
      if (!f->update.buckets[b] || head->parts[b].name[0] == '\0')
        continue;
      f->parts_waiting++;
      plt_call (env,
                &(plt_req_t){ .mod = MOD_CONFIG,
                              .tag = cfs_tag (CFS_TAG_PART_READ, b, f->seq),
                              .op = FX_PLATFORM_GET,
                              .name = head->parts[b].name });
    }
  f->update.digest = cfs_digests_combine (&target);
  if (f->parts_waiting == 0)
    _cfs_fetch_adopt (c, env);
}

static void
_cfs_part_replied (cfs_t *c, env_t *env, const plt_done_t *done,
                   const ev_platform_t *reply)
{
  cfs_fetch_t *f = &c->fetch;
  if (f->ctx == NULL || f->seq != done->tag >> 16)
    return;
  bool valid = reply->code == ST_OK && reply->object_count == 1;
  if (valid)
    {
      cfs_records_t records = { 0 };
      valid = cfs_part_parse (f->ctx, reply->objects[0].value, &records);
      cfs_records_append (f->ctx, &f->update.records, &records);
    }
  if (!valid)
    {
      cnt_add (env->cnt, "rts_config_part_missing_total", "", 1);
      _cfs_head_reread_schedule (c, env);
      _cfs_fetch_stop (c);
      return;
    }
  if (--f->parts_waiting == 0)
    _cfs_fetch_adopt (c, env);
}

/* Process a head that a read, a list or a watch (WATCHED) has returned.  It
   may be stale. */
static void
_cfs_head_received (cfs_t *c, env_t *env, const ev_object_t *object,
                    bool watched)
{
  cfs_head_t *head;
  if (object->deleted || object->version == 0)
    return;
  if (!cfs_head_parse (c, object, &head))
    {
      cnt_add (env->cnt, "rts_config_head_unread_total", "", 1);
      return;
    }
  if (head->version < c->version)
    cnt_add (env->cnt, "rts_config_old_total", "source=\"platform\"", 1);
  if (head->version <= c->version)
    {
      /* A stale head is kept for the next change: its conditional update
         fails if the head is out of date. */
      cfs_head_clear (c);
      c->head = head;
    }
  else
    {
      cfs_head_clear (c);
      talloc_free (c->pending_head);
      c->pending_head = head;
      /* A peer probably sends this version before the delay ends; then the
         platform need not be read. */
      if (watched && spr_neighbour_count (c->spr) > 0)
        tmr_arm (env->tmr, env->now + CFS_PEER_LEAD_MS, MOD_CONFIG,
                 cfs_tag (CFS_TAG_PENDING_HEAD, 0, 0));
      else
        cfs_store_pending_fetch (c, env);
    }
}

void
cfs_store_pending_fetch (cfs_t *c, env_t *env)
{
  cfs_head_t *head = c->pending_head;
  c->pending_head = NULL;
  if (head == NULL)
    return;
  void *owner = talloc_new (c);
  talloc_steal (owner, head);
  if (head->version > c->version)
    _cfs_fetch_start (c, env, head);
  talloc_free (owner);
}

void
cfs_store_read (cfs_t *c, env_t *env)
{
  if (c->reading)
    return;
  c->reading = true;
  plt_call (env, &(plt_req_t){ .mod = MOD_CONFIG,
                               .tag = cfs_tag (CFS_TAG_READ, 0, 0),
                               .op = FX_PLATFORM_GET,
                               .name = CFS_HEAD_NAME });
}

static void
_cfs_watch_start (cfs_t *c, env_t *env)
{
  bool listed = c->revision > 0;
  c->watching = true;
  plt_call (env,
            &(plt_req_t){
                .mod = MOD_CONFIG,
                .tag = cfs_tag (listed ? CFS_TAG_WATCH : CFS_TAG_LIST, 0, 0),
                .op = listed ? FX_PLATFORM_WATCH : FX_PLATFORM_LIST,
                .name = CFS_HEAD_NAME,
                .revision = c->revision });
}

static void
_cfs_watch_replied (cfs_t *c, env_t *env, const ev_platform_t *reply)
{
  c->watching = false;
  bool timed_out = reply->code == ST_TIMEOUT && c->revision > 0;
  if (reply->code != ST_OK && reply->code != ST_NOT_FOUND && !timed_out)
    {
      c->revision = 0;
      _cfs_read_schedule (c, env);
      return;
    }
  c->read_failures = 0;
  if (!timed_out && reply->revision > 0)
    c->revision = reply->revision;
  for (size_t i = 0; i < reply->object_count; i++)
    {
      if (strcmp (reply->objects[i].name, CFS_HEAD_NAME) == 0)
        _cfs_head_received (c, env, &reply->objects[i], true);
    }
  /* After a watch without a change, the next tick starts the next watch. */
  if (spr_is_relay (c->spr) && reply->object_count > 0)
    _cfs_watch_start (c, env);
}

static void
_cfs_head_replied (cfs_t *c, env_t *env, const ev_platform_t *reply)
{
  c->reading = false;
  if (reply->code == ST_OK && reply->object_count == 1)
    _cfs_head_received (c, env, &reply->objects[0], false);
  if (reply->code == ST_OK || reply->code == ST_NOT_FOUND)
    c->read_failures = 0;
  else
    _cfs_read_schedule (c, env);
  cfs_task_head_replied (c, env, reply->code);
}

void
cfs_store_replied (cfs_t *c, env_t *env, const plt_done_t *done,
                   const ev_platform_t *reply)
{
  switch ((cfs_tag_t)(done->tag & 0xff))
    {
    case CFS_TAG_LIST:
    case CFS_TAG_WATCH:
      _cfs_watch_replied (c, env, reply);
      break;
    case CFS_TAG_READ:
      _cfs_head_replied (c, env, reply);
      break;
    case CFS_TAG_PART_READ:
      _cfs_part_replied (c, env, done, reply);
      break;
    default:
      break;
    }
}

void
cfs_store_tick (cfs_t *c, env_t *env)
{
  if (env->now < c->next_read_at)
    return;
  if (c->reread_head)
    {
      c->reread_head = false;
      cfs_store_read (c, env);
    }
  if (spr_is_relay (c->spr))
    {
      if (!c->watching)
        _cfs_watch_start (c, env);
    }
  else if (env->now - c->peer_heard_at > CFS_PEER_SILENCE_MS
           || c->version == 0)
    {
      c->next_read_at = env->now + env_jitter (env, CFS_PEER_SILENCE_MS);
      cfs_store_read (c, env);
    }
}

/** @file
 * Configuration store (cfs): the document in force and the event handlers.
 */
#include "core/cfs.h"

#include "core/cfs_int.h"
#include "core/inv.h"

#include <string.h>
#include <talloc.h>

#define CFS_TICK_MS_DEFAULT (1 * CLK_SECOND)
#define CFS_APPLY_TIMEOUT_MS_DEFAULT (10 * CLK_SECOND)
#define CFS_CHANGES_MAX_DEFAULT 64
/** Time from the start until the first transfer from a peer, so that the VM
 * requests the newest version and not the first one that arrives. */
#define CFS_START_WAIT_MS 300

static int
_cfs_destroy (cfs_t *c)
{
  g_hash_table_destroy (c->peer_versions);
  return 0;
}

cfs_t *
cfs_setup (void *ctx, const env_t *env, const cfs_desc_t *desc)
{
  cfs_t *c = talloc_zero (ctx, cfs_t);
  c->desc = *desc;
  if (c->desc.tick_ms == 0)
    c->desc.tick_ms = CFS_TICK_MS_DEFAULT;
  if (c->desc.apply_timeout_ms == 0)
    c->desc.apply_timeout_ms = CFS_APPLY_TIMEOUT_MS_DEFAULT;
  if (c->desc.changes_max == 0)
    c->desc.changes_max = CFS_CHANGES_MAX_DEFAULT;
  c->spr = spr_setup (c, env->vm, env->data_centre, desc->members);
  c->set = cfs_set_setup (c);
  c->writer = talloc_strdup (c, "");
  c->peer_versions
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  c->task_id = env->incarnation << 20;
  talloc_set_destructor (c, _cfs_destroy);
  return c;
}

void
cfs_shutdown (cfs_t *c)
{
  talloc_free (c);
}

uint64_t
cfs_tag (cfs_tag_t kind, unsigned bucket, uint64_t seq)
{
  return seq << 16 | (uint64_t)bucket << 8 | (uint64_t)kind;
}

void
cfs_start (cfs_t *c, env_t *env)
{
  c->peer_heard_at = env->now;
  tmr_arm (env->tmr, env->now + CFS_START_WAIT_MS, MOD_CONFIG,
           cfs_tag (CFS_TAG_START_WAIT, 0, 0));
  tmr_arm (env->tmr, env->now + env_jitter (env, c->desc.tick_ms), MOD_CONFIG,
           cfs_tag (CFS_TAG_TICK, 0, 0));
  cfs_store_read (c, env);
}

cfg_sections_t
cfs_records_sections (void *ctx, const cfs_records_t *records)
{
  cfg_sections_t out
      = { .v = talloc_zero_array (ctx, cfg_section_t, records->count + 1) };
  for (size_t i = 0; i < records->count; i++)
    {
      const cfs_record_t *r = &records->v[i];
      out.v[out.count++] = (cfg_section_t){
        .name = r->name,
        .text = r->text == NULL ? "" : r->text,
      };
    }
  return out;
}

/* Parse the document with RECORDS applied; NULL when it is not valid. */
static cfg_doc_t *
_cfs_update_parse (void *ctx, const cfs_t *c, const cfs_records_t *records)
{
  cfg_doc_t *doc = NULL;
  cfg_faults_t faults = { 0 };
  cfg_sections_t sections = cfs_records_sections (ctx, records);
  if (cfg_doc_patch (ctx, c->doc, &sections, &doc, &faults) == ST_OK)
    return doc;
  g_warning ("ignoring an invalid configuration from a peer or the platform: "
             "%s",
             cfg_fault_format (ctx, &faults.v[0], "document"));
  return NULL;
}

static void
_cfs_doc_replace (cfs_t *c, cfg_doc_t *doc)
{
  /* Users may hold pointers into the old document until cfs_changed has
     returned true. */
  if (c->changed)
    talloc_free (c->doc);
  else
    {
      talloc_free (c->last_doc);
      c->last_doc = c->doc;
    }
  c->doc = talloc_steal (c, doc);
  c->changed = true;
}

static void
_cfs_update_store (cfs_t *c, env_t *env, const cfs_update_t *update,
                   const cfs_records_t *records)
{
  INV_CHECK (update->version > c->version, "config-never-reverts",
             "%s: %" G_GUINT64_FORMAT " after %" G_GUINT64_FORMAT, env->vm,
             update->version, c->version);
  for (size_t i = 0; i < records->count; i++)
    cfs_set_put (c->set, &records->v[i]);
  c->version = update->version;
  talloc_free ((void *)c->writer);
  c->writer = talloc_strdup (c, update->writer);
  cfs_head_clear (c);
}

void
cfs_head_clear (cfs_t *c)
{
  talloc_free (c->head);
  c->head = NULL;
}

bool
cfs_update_adopt (cfs_t *c, env_t *env, const cfs_update_t *update,
                  cfg_doc_t *doc)
{
  static const char *const sources[] = {
    [CFS_FROM_APPLY] = "source=\"apply\"",
    [CFS_FROM_PLATFORM] = "source=\"platform\"",
    [CFS_FROM_PEER] = "source=\"peer\"",
  };
  if (update->version <= c->version)
    {
      cnt_add (env->cnt, "rts_config_old_total", sources[update->source], 1);
      return false;
    }
  void *tmp = talloc_new (NULL);
  cfs_records_t records
      = cfs_set_removals_add (tmp, c->set, &update->records, update->buckets);
  cfs_digests_t digests = cfs_set_digests (c->set, &records);
  if (doc == NULL && cfs_digests_combine (&digests) == update->digest)
    doc = _cfs_update_parse (tmp, c, &records);
  if (doc == NULL)
    cnt_add (env->cnt, "rts_config_refused_total", sources[update->source], 1);
  else
    {
      _cfs_update_store (c, env, update, &records);
      _cfs_doc_replace (c, doc);
      cnt_add (env->cnt, "rts_config_adopted_total", sources[update->source],
               1);
      cnt_set (env->cnt, "rts_config_version", "", (double)c->version);
      tln_record (env->tln, env->now, MOD_CONFIG, "adopt",
                  "version=%" G_GUINT64_FORMAT " sections=%zu %s", c->version,
                  update->records.count, sources[update->source]);
    }
  talloc_free (tmp);
  if (doc == NULL)
    return false;
  cfs_peer_version_broadcast (c, env);
  return true;
}

void
cfs_timer_fired (cfs_t *c, env_t *env, uint64_t tag)
{
  switch ((cfs_tag_t)(tag & 0xff))
    {
    case CFS_TAG_TICK:
      tmr_arm (env->tmr, env->now + env_jitter (env, c->desc.tick_ms),
               MOD_CONFIG, tag);
      cfs_peer_tick (c, env);
      cfs_store_tick (c, env);
      cfs_garbage_collect (c, env);
      cfs_task_step (c, env);
      break;
    case CFS_TAG_START_WAIT:
      c->start_wait_over = true;
      if (c->newest_vm != NULL)
        cfs_peer_pull (c, env, c->newest_vm);
      break;
    case CFS_TAG_PENDING_HEAD:
      cfs_store_pending_fetch (c, env);
      break;
    case CFS_TAG_APPLY:
      cfs_task_step (c, env);
      break;
    default:
      break;
    }
}

void
cfs_platform_replied (cfs_t *c, env_t *env, const plt_done_t *done,
                      const ev_platform_t *reply)
{
  switch ((cfs_tag_t)(done->tag & 0xff))
    {
    case CFS_TAG_PART_WRITE:
    case CFS_TAG_HEAD_WRITE:
      cfs_task_replied (c, env, done, reply);
      break;
    case CFS_TAG_PART_DELETE:
      break;
    default:
      cfs_store_replied (c, env, done, reply);
      break;
    }
  cfs_task_step (c, env);
}

void
cfs_peers_changed (cfs_t *c, env_t *env, const ev_vm_t *vms, size_t n)
{
  spr_update (c->spr, vms, n);
  cnt_set (env->cnt, "rts_config_relay", "", spr_is_relay (c->spr) ? 1 : 0);
  cfs_peer_tick (c, env);
}

const cfg_doc_t *
cfs_doc (const cfs_t *c)
{
  return c->doc;
}

uint64_t
cfs_version (const cfs_t *c)
{
  return c->version;
}

bool
cfs_changed (cfs_t *c)
{
  bool changed = c->changed;
  c->changed = false;
  return changed;
}

buf_t
cfs_text (void *ctx, const cfs_t *c)
{
  buf_t body = cfs_set_text (ctx, c->set, NULL, false);
  char *text = talloc_asprintf (
      ctx, "# configuration version %" G_GUINT64_FORMAT "\n%s", c->version,
      body.p);
  return buf_str (text);
}

uint64_t
cfs_version_of (const cfs_t *c, const char *vm)
{
  const uint64_t *version = g_hash_table_lookup (c->peer_versions, vm);
  return version == NULL ? 0 : *version;
}

const spr_t *
cfs_peers (const cfs_t *c)
{
  return c->spr;
}

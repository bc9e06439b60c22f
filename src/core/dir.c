#include "core/dir_int.h"

#include <string.h>
#include <talloc.h>

#define DIR_WAIT_MS_DEFAULT (20 * CLK_SECOND)
#define DIR_RETRY_MS_DEFAULT 250
#define DIR_RETURN_MS_DEFAULT 2500
#define DIR_GAP_MS_DEFAULT 800
/** After trouble the platform counts as disturbed for this long. */
#define DIR_CALM_MS (3 * CLK_SECOND)

#define DIR_TAG_BITS 4

/* An upstream as the platform's list has it. */
typedef struct
{
  cfg_upstream_t as;
  bool listed;    /**< in the pages of the list that is being read */
  clk_ms_t until; /**< in use until then; CLK_NEVER: no end known */
} _dir_entry_t;

static void
_dir_entry_free (void *entry)
{
  talloc_free (entry);
}

static int
_dir_destroy (dir_t *d)
{
  g_hash_table_destroy (d->entries);
  return 0;
}

static void
_dir_data_centres_set (dir_t *d, const char *const *names)
{
  size_t n = 0;
  while (names != NULL && names[n] != NULL)
    n++;
  d->data_centres = talloc_zero_array (d, cfg_data_centre_t, n + 1);
  d->data_centre_count = n;
  for (size_t i = 0; i < n; i++)
    d->data_centres[i].name = talloc_strdup (d, names[i]);
}

dir_t *
dir_setup (void *ctx, const dir_desc_t *desc)
{
  dir_t *d = talloc_zero (ctx, dir_t);
  d->desc = *desc;
  _dir_data_centres_set (d, desc->data_centres);
  d->desc.data_centres = NULL;
  if (d->desc.wait_ms == 0)
    d->desc.wait_ms = DIR_WAIT_MS_DEFAULT;
  if (d->desc.retry_ms == 0)
    d->desc.retry_ms = DIR_RETRY_MS_DEFAULT;
  if (d->desc.return_ms == 0)
    d->desc.return_ms = DIR_RETURN_MS_DEFAULT;
  if (d->desc.gap_ms == 0)
    d->desc.gap_ms = DIR_GAP_MS_DEFAULT;
  d->failed_at = CLK_NEVER;
  d->entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, _dir_entry_free);
  talloc_set_destructor (d, _dir_destroy);
  return d;
}

void
dir_shutdown (dir_t *d)
{
  talloc_free (d);
}

/* -- calls ---------------------------------------------------------------- */

static void
_dir_ask (dir_t *d, env_t *env, dir_read_t what)
{
  d->asked_at[what] = env->now;
  plt_call (env,
            &(plt_req_t){ .mod = MOD_DIRECTORY,
                          .tag = d->epoch << DIR_TAG_BITS | what,
                          .op = what == DIR_DOCUMENT ? FX_PLATFORM_DOCUMENT
                                                     : FX_PLATFORM_UPSTREAMS,
                          .name = "",
                          .revision = d->revision[what],
                          .after = what == DIR_UPSTREAMS ? d->after : NULL,
                          .timeout_ms
                          = d->revision[what] != 0 ? d->desc.wait_ms : 0 });
}

/* Wait for news again, but not at once after other news: many changes in a
 * row are then one answer. */
static void
_dir_ask_again (dir_t *d, env_t *env, dir_read_t what)
{
  clk_ms_t at = d->asked_at[what] + d->desc.gap_ms;
  bool pages = what == DIR_UPSTREAMS && d->after != NULL;
  if (pages || at <= env->now)
    _dir_ask (d, env, what);
  else
    tmr_arm (env->tmr, at, MOD_DIRECTORY, d->epoch << DIR_TAG_BITS | what);
}

void
dir_start (dir_t *d, env_t *env)
{
  _dir_ask (d, env, DIR_DOCUMENT);
  _dir_ask (d, env, DIR_UPSTREAMS);
}

/* -- the document --------------------------------------------------------- */

static void
_dir_document_take (dir_t *d, env_t *env, const ev_document_t *document)
{
  cfg_faults_t faults = { 0 };
  cfg_doc_t *doc = NULL;
  void *tmp = talloc_new (d);
  if (document == NULL || document->version <= d->version)
    {
      talloc_free (tmp);
      return;
    }
  if (cfg_doc_assemble (tmp, document->parts, &doc, &faults) != ST_OK)
    {
      const char *fault = cfg_fault_format (tmp, &faults.v[0], "platform");
      tln_record (env->tln, env->now, MOD_DIRECTORY, "document-refused",
                  "version=%llu %s", (unsigned long long)document->version,
                  fault);
      cnt_add (env->cnt, "rts_directory_refused_total", "", 1);
      talloc_free (tmp);
      return;
    }
  talloc_free (d->operator_doc);
  d->operator_doc = talloc_steal (d, doc);
  d->raw = buf_copy (doc, document->raw);
  d->version = document->version;
  dir_tell (d, env, NULL);
  d->dirty = true;
  talloc_free (tmp);
}

void
dir_document_decoded (dir_t *d, env_t *env, const ev_document_t *document)
{
  uint64_t before = d->version;
  _dir_document_take (d, env, document);
  if (d->version != before)
    tln_record (env->tln, env->now, MOD_DIRECTORY, "document-from-peer",
                "version=%llu", (unsigned long long)d->version);
}

/* -- the list of upstreams ------------------------------------------------ */

/* Until when an entry is used that has gone now. */
static clk_ms_t
_dir_gone_until (const dir_t *d, const env_t *env)
{
  if (d->failed_at == CLK_NEVER || env->now - d->failed_at > DIR_CALM_MS)
    return env->now;
  return clk_max (env->now, d->failed_at + d->desc.return_ms);
}

static void
_dir_entry_gone (dir_t *d, env_t *env, _dir_entry_t *e)
{
  e->until = _dir_gone_until (d, env);
  if (e->until > env->now)
    {
      tmr_arm (env->tmr, e->until, MOD_DIRECTORY, DIR_EXPIRY);
      return;
    }
  tln_record (env->tln, env->now, MOD_DIRECTORY, "upstream-gone",
              "upstream=%s", e->as.name);
  g_hash_table_remove (d->entries, e->as.name);
  d->dirty = true;
}

static bool
_dir_entry_same (const cfg_upstream_t *a, const ev_upstream_entry_t *b)
{
  return a->leaving == b->leaving && strcmp (a->address, b->address) == 0
         && strcmp (a->deployment, b->deployment) == 0
         && strcmp (a->data_centre, b->data_centre) == 0;
}

static void
_dir_entry_take (dir_t *d, env_t *env, const ev_upstream_entry_t *entry)
{
  _dir_entry_t *e = g_hash_table_lookup (d->entries, entry->name);
  if (entry->deleted)
    {
      if (e != NULL)
        _dir_entry_gone (d, env, e);
      return;
    }
  if (e != NULL && _dir_entry_same (&e->as, entry))
    {
      e->listed = true;
      e->until = CLK_NEVER;
      return;
    }
  e = talloc_zero (d, _dir_entry_t);
  e->listed = true;
  e->until = CLK_NEVER;
  e->as
      = (cfg_upstream_t){ .name = talloc_strdup (e, entry->name),
                          .owner = "",
                          .deployment = talloc_strdup (e, entry->deployment),
                          .data_centre = talloc_strdup (e, entry->data_centre),
                          .address = talloc_strdup (e, entry->address),
                          .leaving = entry->leaving,
                          .fixed_identity = true };
  tln_record (env->tln, env->now, MOD_DIRECTORY,
              entry->leaving ? "upstream-leaving" : "upstream-ready",
              "upstream=%s address=%s", entry->name, entry->address);
  g_hash_table_replace (d->entries, (gpointer)(uintptr_t)e->as.name, e);
  d->dirty = true;
}

static void
_dir_list_begin (dir_t *d)
{
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, d->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((_dir_entry_t *)value)->listed = false;
}

/* The whole list has been read: what was not in it is gone. */
static void
_dir_list_end (dir_t *d, env_t *env)
{
  GList *values = g_hash_table_get_values (d->entries);
  for (GList *l = values; l != NULL; l = l->next)
    {
      _dir_entry_t *e = l->data;
      if (!e->listed && e->until == CLK_NEVER)
        _dir_entry_gone (d, env, e);
    }
  g_list_free (values);
}

static void
_dir_expire (dir_t *d, env_t *env)
{
  GList *values = g_hash_table_get_values (d->entries);
  for (GList *l = values; l != NULL; l = l->next)
    {
      _dir_entry_t *e = l->data;
      if (e->until != CLK_NEVER && e->until <= env->now)
        _dir_entry_gone (d, env, e);
    }
  g_list_free (values);
}

static void
_dir_upstreams_take (dir_t *d, env_t *env, const ev_platform_t *reply)
{
  bool whole = d->revision[DIR_UPSTREAMS] == 0;
  if (whole && d->after == NULL)
    {
      _dir_list_begin (d);
      d->listed_revision = reply->revision;
    }
  for (size_t i = 0; i < reply->entry_count; i++)
    _dir_entry_take (d, env, &reply->entries[i]);
  TALLOC_FREE (d->after);
  if (whole && reply->continue_after != NULL)
    {
      d->after = talloc_strdup (d, reply->continue_after);
      return;
    }
  if (whole)
    _dir_list_end (d, env);
  d->revision[DIR_UPSTREAMS] = whole ? d->listed_revision : reply->revision;
}

/* -- hooks ---------------------------------------------------------------- */

static void
_dir_failed (dir_t *d, env_t *env, dir_read_t what, st_code_t code)
{
  /* The pump reads all anew. */
  if (code == ST_STALE)
    return;
  d->failed_at = env->now;
  if (what == DIR_UPSTREAMS)
    TALLOC_FREE (d->after);
  cnt_add (env->cnt, "rts_directory_failures_total", "", 1);
  tmr_arm (env->tmr, env->now + env_jitter (env, d->desc.retry_ms),
           MOD_DIRECTORY, d->epoch << DIR_TAG_BITS | what);
}

void
dir_platform_replied (dir_t *d, env_t *env, const plt_done_t *done,
                      const ev_platform_t *reply)
{
  dir_read_t what
      = (dir_read_t)(done->tag & (((uint64_t)1 << DIR_TAG_BITS) - 1));
  if (done->tag >> DIR_TAG_BITS != d->epoch)
    return;
  if (reply->code != ST_OK)
    {
      _dir_failed (d, env, what, reply->code);
      return;
    }
  if (what == DIR_DOCUMENT)
    {
      _dir_document_take (d, env, reply->document);
      d->revision[what] = reply->revision;
    }
  else
    _dir_upstreams_take (d, env, reply);
  _dir_ask_again (d, env, what);
}

void
dir_timer_fired (dir_t *d, env_t *env, uint64_t tag)
{
  dir_read_t what = (dir_read_t)(tag & (((uint64_t)1 << DIR_TAG_BITS) - 1));
  if (what == DIR_EXPIRY)
    _dir_expire (d, env);
  else if (what == DIR_WANT)
    dir_want (d, env);
  else if (tag >> DIR_TAG_BITS == d->epoch)
    _dir_ask (d, env, what);
}

void
dir_pump (dir_t *d, env_t *env)
{
  uint64_t stale = plt_stale_count (env->plt);
  if (stale == d->stale)
    return;
  /* Any watch may have missed changes, also one that still waits. */
  d->stale = stale;
  d->epoch++;
  d->revision[DIR_DOCUMENT] = 0;
  d->revision[DIR_UPSTREAMS] = 0;
  TALLOC_FREE (d->after);
  tln_record (env->tln, env->now, MOD_DIRECTORY, "read-anew", "%s",
              "the platform has lost its history");
  dir_start (d, env);
}

/* -- the result ----------------------------------------------------------- */

static void
_dir_rebuild (dir_t *d, env_t *env)
{
  guint n = g_hash_table_size (d->entries);
  void *tmp = talloc_new (d);
  cfg_doc_t parts = *d->operator_doc;
  parts.data_centres = d->data_centres;
  parts.data_centre_count = d->data_centre_count;
  parts.upstreams = talloc_array (tmp, cfg_upstream_t, n + 1);
  parts.upstream_count = 0;
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, d->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    parts.upstreams[parts.upstream_count++] = ((_dir_entry_t *)value)->as;
  cfg_faults_t faults = { 0 };
  cfg_doc_t *doc = NULL;
  if (cfg_doc_assemble (d, &parts, &doc, &faults) == ST_OK)
    {
      talloc_free (d->doc);
      d->doc = doc;
    }
  else
    tln_record (env->tln, env->now, MOD_DIRECTORY, "document-refused", "%s",
                cfg_fault_format (tmp, &faults.v[0], "directory"));
  talloc_free (tmp);
}

bool
dir_changed (dir_t *d, env_t *env)
{
  if (!d->dirty || d->operator_doc == NULL)
    return false;
  d->dirty = false;
  _dir_rebuild (d, env);
  return true;
}

const cfg_doc_t *
dir_doc (const dir_t *d)
{
  return d->doc;
}

uint64_t
dir_version (const dir_t *d)
{
  return d->version;
}

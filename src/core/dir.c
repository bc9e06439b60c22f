#include "core/dir_int.h"

#include <string.h>
#include <talloc.h>

#define DIR_WATCH_MS_DEFAULT (10 * CLK_SECOND)
#define DIR_RETRY_MS_DEFAULT 250
#define DIR_REREGISTER_MS_DEFAULT 2800
#define DIR_READ_INTERVAL_MS_DEFAULT 800
#define DIR_FOLLOW_VMS_MIN_DEFAULT 17
/** Mean pause between two reads of the list while the platform is away. */
#define DIR_PROBE_MS 500
/** Shortest time from a call to the next long poll for evacuations.  They
 * change rarely, and a longer gap would be missing from the bound. */
#define DIR_EVAC_INTERVAL_MS 250

/** Low bits of a tag, which hold the operation. */
#define DIR_TAG_BITS 4

/* An upstream of the platform's list. */
typedef struct
{
  cfg_upstream_t upstream;
  bool listed;         /**< seen while reading the list */
  clk_ms_t expires_at; /**< in use until then; CLK_NEVER: still listed */
  clk_ms_t cold_ms;    /**< as in ev_upstream_entry_t */
  clk_ms_t cold_at;    /**< when that was received */
  bool cold_news;      /**< that was not taken yet */
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
  g_queue_clear_full (&d->cold_news, g_free);
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
  if (d->desc.watch_ms == 0)
    d->desc.watch_ms = d->desc.history_ms * 3 / 4;
  if (d->desc.watch_ms == 0)
    d->desc.watch_ms = DIR_WATCH_MS_DEFAULT;
  if (d->desc.retry_ms == 0)
    d->desc.retry_ms = DIR_RETRY_MS_DEFAULT;
  if (d->desc.reregister_ms == 0)
    d->desc.reregister_ms = DIR_REREGISTER_MS_DEFAULT;
  if (d->desc.interval_ms == 0)
    d->desc.interval_ms = DIR_READ_INTERVAL_MS_DEFAULT;
  if (d->desc.follow_vms_min == 0)
    d->desc.follow_vms_min = DIR_FOLLOW_VMS_MIN_DEFAULT;
  if (d->desc.evacuate_ms > 0)
    d->evac = dir_evac_setup (d, d->desc.evacuate_ms);
  d->listed_at = CLK_NEVER;
  for (int op = 0; op < DIR_READ_NUM; op++)
    d->handed_at[op] = CLK_NEVER;
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

/* Longest wait of a watch: short for a reader, whose followers need to hear
 * that it still hears from the platform. */
static clk_ms_t
_dir_watch_ms (const dir_t *d, const env_t *env, dir_op_t op)
{
  if (op == DIR_OP_EVACUATIONS)
    return dir_evac_watch_ms (d);
  return dir_is_reader (d, env)
             ? clk_min (DIR_READER_WATCH_MS, d->desc.watch_ms)
             : d->desc.watch_ms;
}

/* The name after which the next page of the list of OP begins; NULL: none. */
static const char *
_dir_after (const dir_t *d, dir_op_t op)
{
  if (op == DIR_OP_EVACUATIONS)
    return dir_evac_after (d);
  return op == DIR_OP_UPSTREAMS ? d->after : NULL;
}

/* Whether the next read of the list of OP is to find out whether the platform
 * is back. */
static bool
_dir_probes (const dir_t *d, const env_t *env, dir_op_t op)
{
  return op == DIR_OP_UPSTREAMS && d->revision[op] == 0
         && plt_away_at (env->plt) != CLK_NEVER && !plt_available (env->plt);
}

void
dir_read (dir_t *d, env_t *env, dir_op_t op)
{
  static const fx_platform_op_t calls[DIR_READ_NUM]
      = { [DIR_OP_DOCUMENT] = FX_PLATFORM_DOCUMENT,
          [DIR_OP_UPSTREAMS] = FX_PLATFORM_UPSTREAMS,
          [DIR_OP_EVACUATIONS] = FX_PLATFORM_EVACUATIONS };
  d->called_at[op] = env->now;
  d->idle[op] = false;
  plt_call (env, &(plt_req_t){ .mod = MOD_DIRECTORY,
                               .tag = d->epoch << DIR_TAG_BITS | op,
                               .op = calls[op],
                               .name = "",
                               .revision = d->revision[op],
                               .after = _dir_after (d, op),
                               .probe = _dir_probes (d, env, op),
                               .timeout_ms = d->revision[op] != 0
                                                 ? _dir_watch_ms (d, env, op)
                                                 : 0 });
}

/* Read the list of OP now, or leave that to the reader. */
static void
_dir_read_or_follow (dir_t *d, env_t *env, dir_op_t op)
{
  if (!dir_follows (d, env, op))
    {
      dir_read (d, env, op);
      return;
    }
  d->idle[op] = true;
  dir_follow_arm (d, env);
}

/* Read the next page, or watch for the next change.  A long poll starts at
 * least interval_ms after the call before, so that several changes in quick
 * succession arrive in one response. */
static void
_dir_read_next (dir_t *d, env_t *env, dir_op_t op)
{
  clk_ms_t interval
      = op == DIR_OP_EVACUATIONS ? DIR_EVAC_INTERVAL_MS : d->desc.interval_ms;
  clk_ms_t at = clk_max (d->called_at[op] + interval,
                         env->now + dir_reader_wait_ms (d, env, op));
  bool pages = _dir_after (d, op) != NULL;
  if (pages)
    dir_read (d, env, op);
  else if (at <= env->now || dir_follows (d, env, op))
    _dir_read_or_follow (d, env, op);
  else
    tmr_arm (env->tmr, at, MOD_DIRECTORY, d->epoch << DIR_TAG_BITS | op);
}

void
dir_start (dir_t *d, env_t *env)
{
  _dir_read_or_follow (d, env, DIR_OP_DOCUMENT);
  _dir_read_or_follow (d, env, DIR_OP_UPSTREAMS);
  if (d->evac != NULL)
    _dir_read_or_follow (d, env, DIR_OP_EVACUATIONS);
}

/* -- the document --------------------------------------------------------- */

static void
_dir_document_adopt (dir_t *d, env_t *env, const ev_document_t *document)
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
  dir_version_send (d, env, NULL);
  d->dirty = true;
  talloc_free (tmp);
}

void
dir_document_decoded (dir_t *d, env_t *env, const ev_document_t *document)
{
  uint64_t before = d->version;
  _dir_document_adopt (d, env, document);
  if (d->version != before)
    tln_record (env->tln, env->now, MOD_DIRECTORY, "document-from-peer",
                "version=%llu", (unsigned long long)d->version);
}

/* -- the list of upstreams ------------------------------------------------ */

clk_ms_t
dir_listed_at (const dir_t *d)
{
  return d->dirty ? CLK_NEVER : d->listed_at;
}

/* Time since the list, or a change of it, was last received; -1: never. */
static clk_ms_t
_dir_list_age (const dir_t *d, const env_t *env)
{
  return d->listed_at == CLK_NEVER ? -1 : env->now - d->listed_at;
}

/* The instant until which an entry stays in use that has disappeared from the
 * list now. */
static clk_ms_t
_dir_removal_time (const dir_t *d, const env_t *env)
{
  clk_ms_t away_at = plt_away_at (env->plt);
  return away_at == CLK_NEVER
             ? env->now
             : clk_max (env->now, away_at + d->desc.reregister_ms);
}

/* Remove an entry at once. */
static void
_dir_entry_drop (dir_t *d, env_t *env, const _dir_entry_t *e)
{
  tln_record (env->tln, env->now, MOD_DIRECTORY, "upstream-gone",
              "upstream=%s born=%llu list_age_ms=%lld", e->upstream.name,
              (unsigned long long)e->upstream.born,
              (long long)_dir_list_age (d, env));
  g_hash_table_remove (d->entries, e->upstream.name);
  d->dirty = true;
}

/* Remove an entry that has disappeared from the list, or set the instant at
 * which it expires if the upstream may still register again. */
static void
_dir_entry_remove (dir_t *d, env_t *env, _dir_entry_t *e)
{
  e->expires_at = _dir_removal_time (d, env);
  if (e->expires_at <= env->now)
    {
      _dir_entry_drop (d, env, e);
      return;
    }
  tln_record (env->tln, env->now, MOD_DIRECTORY, "upstream-missing",
              "upstream=%s born=%llu away_age_ms=%lld kept_ms=%lld",
              e->upstream.name, (unsigned long long)e->upstream.born,
              (long long)(env->now - plt_away_at (env->plt)),
              (long long)(e->expires_at - env->now));
  tmr_arm (env->tmr, e->expires_at, MOD_DIRECTORY, DIR_OP_EXPIRY);
}

static bool
_dir_entry_same (const cfg_upstream_t *a, const ev_upstream_entry_t *b)
{
  return a->leaving == b->leaving && a->born == b->born
         && g_strcmp0 (a->version, b->version) == 0
         && strcmp (a->address, b->address) == 0
         && strcmp (a->deployment, b->deployment) == 0
         && strcmp (a->data_centre, b->data_centre) == 0;
}

/* Note the cold time that ENTRY gives for E. */
static void
_dir_cold_note (dir_t *d, const env_t *env, _dir_entry_t *e,
                const ev_upstream_entry_t *entry)
{
  if (entry->cold_ms == e->cold_ms)
    return;
  e->cold_ms = entry->cold_ms;
  e->cold_at = env->now;
  if (!e->cold_news)
    g_queue_push_tail (&d->cold_news, g_strdup (entry->name));
  e->cold_news = true;
}

bool
dir_cold_pop (dir_t *d, dir_cold_t *cold)
{
  while (!d->dirty && d->doc != NULL)
    {
      char *name = g_queue_pop_head (&d->cold_news);
      if (name == NULL)
        return false;
      _dir_entry_t *e = g_hash_table_lookup (d->entries, name);
      g_free (name);
      if (e == NULL || !e->cold_news)
        continue;
      e->cold_news = false;
      *cold = (dir_cold_t){ .upstream = e->upstream.name,
                            .born = e->upstream.born,
                            .ms = e->cold_ms,
                            .at = e->cold_at };
      return true;
    }
  return false;
}

static void
_dir_entry_update (dir_t *d, env_t *env, const ev_upstream_entry_t *entry)
{
  _dir_entry_t *e = g_hash_table_lookup (d->entries, entry->name);
  if (entry->unusable)
    {
      if (e != NULL)
        _dir_entry_drop (d, env, e);
      return;
    }
  if (entry->deleted)
    {
      if (e != NULL)
        _dir_entry_remove (d, env, e);
      return;
    }
  if (e != NULL && _dir_entry_same (&e->upstream, entry))
    {
      e->listed = true;
      e->expires_at = CLK_NEVER;
      _dir_cold_note (d, env, e, entry);
      return;
    }
  const _dir_entry_t *before = e;
  e = talloc_zero (d, _dir_entry_t);
  e->listed = true;
  e->expires_at = CLK_NEVER;
  if (before != NULL && before->upstream.born == entry->born)
    {
      e->cold_ms = before->cold_ms;
      e->cold_at = before->cold_at;
      e->cold_news = before->cold_news;
    }
  e->upstream
      = (cfg_upstream_t){ .name = talloc_strdup (e, entry->name),
                          .owner = "",
                          .deployment = talloc_strdup (e, entry->deployment),
                          .data_centre = talloc_strdup (e, entry->data_centre),
                          .address = talloc_strdup (e, entry->address),
                          .leaving = entry->leaving,
                          .fixed_identity = true,
                          .born = entry->born,
                          .version = entry->version == NULL
                                         ? NULL
                                         : talloc_strdup (e, entry->version) };
  tln_record (env->tln, env->now, MOD_DIRECTORY,
              entry->leaving ? "upstream-leaving" : "upstream-ready",
              "upstream=%s address=%s born=%llu version=%s list_age_ms=%lld",
              entry->name, entry->address, (unsigned long long)entry->born,
              entry->version == NULL ? "" : entry->version,
              (long long)_dir_list_age (d, env));
  g_hash_table_replace (d->entries, (gpointer)(uintptr_t)e->upstream.name, e);
  _dir_cold_note (d, env, e, entry);
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

/* The list has been read completely: remove the entries that it lacks. */
static void
_dir_list_end (dir_t *d, env_t *env)
{
  GList *values = g_hash_table_get_values (d->entries);
  for (GList *l = values; l != NULL; l = l->next)
    {
      _dir_entry_t *e = l->data;
      if (!e->listed && e->expires_at == CLK_NEVER)
        _dir_entry_remove (d, env, e);
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
      if (e->expires_at != CLK_NEVER && e->expires_at <= env->now)
        _dir_entry_remove (d, env, e);
    }
  g_list_free (values);
}

void
dir_upstreams_update (dir_t *d, env_t *env, const ev_platform_t *reply)
{
  bool full_list = d->revision[DIR_OP_UPSTREAMS] == 0;
  if (full_list && d->after == NULL)
    {
      _dir_list_begin (d);
      d->first_page_revision = reply->revision;
    }
  for (size_t i = 0; i < reply->entry_count; i++)
    _dir_entry_update (d, env, &reply->entries[i]);
  d->listed_at = env->now;
  TALLOC_FREE (d->after);
  if (full_list && reply->continue_after != NULL)
    {
      d->after = talloc_strdup (d, reply->continue_after);
      return;
    }
  if (full_list)
    _dir_list_end (d, env);
  d->revision[DIR_OP_UPSTREAMS]
      = full_list ? d->first_page_revision : reply->revision;
}

/* -- replies and timers --------------------------------------------------- */

static void
_dir_read_failed (dir_t *d, env_t *env, dir_op_t op, st_code_t code)
{
  /* dir_pump reads everything again. */
  if (code == ST_STALE)
    return;
  dir_failure_hand_on (d, env, op);
  if (op == DIR_OP_UPSTREAMS)
    TALLOC_FREE (d->after);
  if (op == DIR_OP_EVACUATIONS)
    dir_evac_page_drop (d);
  cnt_add (env->cnt, "rts_directory_failures_total", "", 1);
  clk_ms_t pause = _dir_probes (d, env, op) ? DIR_PROBE_MS : d->desc.retry_ms;
  tmr_arm (env->tmr, env->now + env_jitter (env, pause), MOD_DIRECTORY,
           d->epoch << DIR_TAG_BITS | op);
}

void
dir_platform_replied (dir_t *d, env_t *env, const plt_done_t *done,
                      const ev_platform_t *reply)
{
  dir_op_t op = (dir_op_t)(done->tag & (((uint64_t)1 << DIR_TAG_BITS) - 1));
  if (done->tag >> DIR_TAG_BITS != d->epoch)
    return;
  if (reply->code != ST_OK)
    {
      _dir_read_failed (d, env, op, reply->code);
      return;
    }
  uint64_t before = d->revision[op];
  if (op == DIR_OP_DOCUMENT)
    {
      _dir_document_adopt (d, env, reply->document);
      d->revision[op] = MAX (before, reply->revision);
    }
  else if (op == DIR_OP_EVACUATIONS)
    dir_evac_replied (d, env, reply);
  /* The reader may have handed on all of it, and more, since the call. */
  else if (before == 0 || reply->revision >= before)
    dir_upstreams_update (d, env, reply);
  if (d->revision[op] != 0 && op != DIR_OP_EVACUATIONS)
    dir_hand_on (d, env, op, before, reply);
  _dir_read_next (d, env, op);
}

void
dir_timer_fired (dir_t *d, env_t *env, uint64_t tag)
{
  dir_op_t op = (dir_op_t)(tag & (((uint64_t)1 << DIR_TAG_BITS) - 1));
  if (op == DIR_OP_EXPIRY)
    _dir_expire (d, env);
  else if (op == DIR_OP_FOLLOW)
    dir_follow_check (d, env);
  else if (op == DIR_OP_REQUEST)
    dir_document_request (d, env);
  else if (tag >> DIR_TAG_BITS == d->epoch)
    _dir_read_or_follow (d, env, op);
}

/* Makes the watches anew, because those in progress may have been lost.  Their
 * responses, if any, are ignored. */
static void
_dir_watches_renew (dir_t *d, env_t *env)
{
  d->recovered_count = plt_recovered_count (env->plt);
  d->epoch++;
  TALLOC_FREE (d->after);
  dir_evac_page_drop (d);
  tln_record (env->tln, env->now, MOD_DIRECTORY, "watch-anew", "%s",
              "the platform answers again");
  dir_start (d, env);
}

/* While the platform is away, whether for all or for this VM alone, the watch
 * of the upstreams would not hear of its return: read their list instead, so
 * that this VM knows soon after it which upstreams have left. */
static void
_dir_probe_begin (dir_t *d, env_t *env)
{
  clk_ms_t away_at = plt_away_at (env->plt);
  bool away = away_at != CLK_NEVER && !plt_available (env->plt)
              && away_at >= d->called_at[DIR_OP_UPSTREAMS];
  if (!away || d->idle[DIR_OP_UPSTREAMS] || d->revision[DIR_OP_UPSTREAMS] == 0)
    return;
  d->epoch++;
  d->revision[DIR_OP_UPSTREAMS] = 0;
  TALLOC_FREE (d->after);
  dir_evac_page_drop (d);
  tln_record (env->tln, env->now, MOD_DIRECTORY, "platform-away",
              "away_age_ms=%lld", (long long)(env->now - away_at));
  dir_start (d, env);
}

void
dir_pump (dir_t *d, env_t *env)
{
  _dir_probe_begin (d, env);
  uint64_t stale = plt_stale_count (env->plt);
  if (stale == d->stale_count)
    {
      if (plt_recovered_count (env->plt) != d->recovered_count
          && env->now >= d->called_at[DIR_OP_UPSTREAMS] + d->desc.interval_ms)
        _dir_watches_renew (d, env);
      return;
    }
  d->recovered_count = plt_recovered_count (env->plt);
  /* Any watch may have missed changes, including one still in progress. */
  d->stale_count = stale;
  d->epoch++;
  d->revision[DIR_OP_DOCUMENT] = 0;
  d->revision[DIR_OP_UPSTREAMS] = 0;
  d->revision[DIR_OP_EVACUATIONS] = 0;
  TALLOC_FREE (d->after);
  dir_evac_page_drop (d);
  tln_record (env->tln, env->now, MOD_DIRECTORY, "read-anew", "%s",
              "the platform has lost its history");
  dir_start (d, env);
}

/* -- the document with upstreams ------------------------------------------ */

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
    parts.upstreams[parts.upstream_count++]
        = ((_dir_entry_t *)value)->upstream;
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

/** @file
 * Directory: the list of evacuated data centres.
 *
 * The list is small, so every message carries it whole, with its revision.
 * Two lists are kept: the one that the platform gave, to this VM or to the
 * reader of its data centre, and a newer one of another VM, if there is one.
 * The newer of them is in force.  A list of another VM does not move the
 * revision from which this VM watches, and is dropped when a later answer of
 * the platform does not confirm it: a garbled revision must not hide all later
 * changes.
 *
 * The watch is as long as the bound allows: when the answer to a watch is
 * lost, the driver ends the call DIR_EVAC_GRACE_MS after the watch, and the
 * next call brings the change.  docs/design/evacuation.md has the figures.
 */
#include "core/dir_int.h"

#include <string.h>
#include <talloc.h>

/** Part of the bound that is not spent in a watch: 2 s in which the driver
 * waits for a late answer, then a retry and its answer. */
#define DIR_EVAC_GRACE_MS (3 * CLK_SECOND)
/** Shortest watch, for bounds that leave less. */
#define DIR_EVAC_WATCH_MS_MIN ((clk_ms_t)500)
/** Largest number of names in a list that are no data centres of the fleet,
 * and of such names that are logged. */
#define DIR_EVAC_FOREIGN_MAX 64
/** Largest number of names in a message. */
#define DIR_EVAC_NAMES_MAX 256
/** Largest length of a name, in bytes. */
#define DIR_EVAC_NAME_MAX 128
/** Lists with a lower revision in a row after which the platform's store is
 * taken to have been restored.  One may be a read that was overtaken. */
#define DIR_EVAC_OLDER_READS 3

/** What a message says. */
typedef enum
{
  DIR_EVAC_LIST,   /**< the list in force at the sender; revision 0: none */
  DIR_EVAC_HANDED, /**< the list that the platform has just given the reader */
  DIR_EVAC_FAILED, /**< the reader cannot read the list */
} _dir_evac_word_t;

/* A list of names. */
typedef struct
{
  GHashTable *names; /**< set of char * */
  uint64_t revision; /**< 0: not read yet */
} _dir_evac_list_t;

struct dir_evac
{
  clk_ms_t watch_ms;
  _dir_evac_list_t list;   /**< of the platform */
  _dir_evac_list_t peer;   /**< of another VM; revision 0: none */
  clk_ms_t peer_at;        /**< when it came */
  GHashTable *page;        /**< names of the list that is being read */
  uint64_t page_revision;  /**< of its first page */
  clk_ms_t page_called_at; /**< when that was asked for */
  char *after;             /**< last name of the previous page; NULL: first */
  unsigned older_reads;    /**< in a row */
  clk_ms_t confirmed_at;   /**< when the list was last known to be current */
  const char **in_force;   /**< data centres of the fleet, ends with NULL */
  GHashTable *foreign;     /**< names that were logged */
  bool changed;            /**< in_force is newer than dir_evacuations_changed
                                has told */
};

static GHashTable *
_dir_evac_set (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

static int
_dir_evac_destroy (dir_evac_t *e)
{
  g_hash_table_destroy (e->list.names);
  g_hash_table_destroy (e->peer.names);
  g_hash_table_destroy (e->page);
  g_hash_table_destroy (e->foreign);
  return 0;
}

dir_evac_t *
dir_evac_setup (void *ctx, clk_ms_t within_ms)
{
  dir_evac_t *e = talloc_zero (ctx, dir_evac_t);
  e->watch_ms = clk_max (within_ms - DIR_EVAC_GRACE_MS, DIR_EVAC_WATCH_MS_MIN);
  e->list.names = _dir_evac_set ();
  e->peer.names = _dir_evac_set ();
  e->page = _dir_evac_set ();
  e->foreign = _dir_evac_set ();
  e->confirmed_at = CLK_NEVER;
  e->in_force = talloc_zero_array (e, const char *, 1);
  talloc_set_destructor (e, _dir_evac_destroy);
  return e;
}

clk_ms_t
dir_evac_watch_ms (const dir_t *d)
{
  return clk_min (d->evac->watch_ms, d->desc.watch_ms);
}

const char *
dir_evac_after (const dir_t *d)
{
  return d->evac->after;
}

void
dir_evac_page_drop (dir_t *d)
{
  if (d->evac != NULL)
    TALLOC_FREE (d->evac->after);
}

/* -- the list in force ---------------------------------------------------- */

/* Whether NAME is a data centre of the fleet.  Without a list of these in the
 * settings, every name is. */
static bool
_dir_evac_is_ours (const dir_t *d, const char *name)
{
  bool is = d->data_centre_count == 0;
  for (size_t i = 0; i < d->data_centre_count && !is; i++)
    is = strcmp (d->data_centres[i].name, name) == 0;
  return is;
}

static const _dir_evac_list_t *
_dir_evac_newest (const dir_evac_t *e)
{
  return e->peer.revision > e->list.revision ? &e->peer : &e->list;
}

/* Adds NAME to NAMES.  Returns false when it is garbled, or one of too many
 * that the settings do not name as data centres of the fleet. */
static bool
_dir_evac_name_add (const dir_t *d, GHashTable *names, const char *name)
{
  if (name == NULL || name[0] == '\0' || strlen (name) > DIR_EVAC_NAME_MAX
      || (g_hash_table_size (names)
              >= d->data_centre_count + DIR_EVAC_FOREIGN_MAX
          && (d->data_centre_count == 0 || !_dir_evac_is_ours (d, name))))
    return false;
  g_hash_table_add (names, g_strdup (name));
  return true;
}

static void
_dir_evac_foreign_log (dir_t *d, env_t *env, const char *name)
{
  dir_evac_t *e = d->evac;
  if (g_hash_table_size (e->foreign) >= DIR_EVAC_FOREIGN_MAX
      || !g_hash_table_add (e->foreign, g_strndup (name, DIR_EVAC_NAME_MAX)))
    return;
  tln_record (env->tln, env->now, MOD_DIRECTORY, "evacuation-unknown",
              "data_centre=%.*s: not a data centre of this fleet, ignored",
              DIR_EVAC_NAME_MAX, name);
  cnt_add (env->cnt, "rts_directory_evacuations_unknown_total", "", 1);
}

/* Adds the object NAME of the platform's list to NAMES. */
static void
_dir_evac_object_add (dir_t *d, env_t *env, GHashTable *names,
                      const char *name)
{
  if (!_dir_evac_name_add (d, names, name))
    _dir_evac_foreign_log (d, env, name);
}

/* Logs that data centre NAME is evacuated from now on, or is no longer. */
static void
_dir_evac_change_log (const dir_t *d, env_t *env, const char *name, bool seen,
                      const char *source)
{
  clk_ms_t at = d->evac->confirmed_at;
  tln_record (env->tln, env->now, MOD_DIRECTORY,
              seen ? "evacuation-seen" : "evacuation-ended",
              "data_centre=%s revision=%llu source=%s list_age_ms=%lld", name,
              (unsigned long long)_dir_evac_newest (d->evac)->revision, source,
              (long long)(at == CLK_NEVER ? -1 : env->now - at));
  cnt_add (env->cnt, "rts_directory_evacuations_total",
           seen ? "event=\"seen\"" : "event=\"ended\"", 1);
}

/* Logs the differences between the lists in force BEFORE and now; returns
 * whether there are any. */
static bool
_dir_evac_compare (const dir_t *d, env_t *env, const char *const *before,
                   const char *source)
{
  const char *const *now = d->evac->in_force;
  bool differs = false;
  for (size_t i = 0; now[i] != NULL; i++)
    if (!g_strv_contains (before, now[i]))
      {
        _dir_evac_change_log (d, env, now[i], true, source);
        differs = true;
      }
  for (size_t i = 0; before[i] != NULL; i++)
    if (!g_strv_contains (now, before[i]))
      {
        _dir_evac_change_log (d, env, before[i], false, source);
        differs = true;
      }
  return differs;
}

/* Puts the newest list in force, which SOURCE gave; returns whether the
 * evacuated data centres have changed. */
static bool
_dir_evac_update (dir_t *d, env_t *env, const char *source)
{
  dir_evac_t *e = d->evac;
  const char **before = e->in_force;
  GHashTable *names = _dir_evac_newest (e)->names;
  size_t n = 0;
  GHashTableIter iter;
  void *name;
  e->in_force
      = talloc_zero_array (e, const char *, g_hash_table_size (names) + 1);
  g_hash_table_iter_init (&iter, names);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (_dir_evac_is_ours (d, name))
      e->in_force[n++] = talloc_strdup (e->in_force, name);
    else
      _dir_evac_foreign_log (d, env, name);
  bool differs = _dir_evac_compare (d, env, before, source);
  e->confirmed_at = env->now;
  talloc_free (before);
  cnt_set (env->cnt, "rts_directory_evacuated", "", (double)n);
  if (differs && n > 0 && n == d->data_centre_count)
    tln_record (env->tln, env->now, MOD_DIRECTORY, "all-evacuated",
                "data_centres=%zu", n);
  e->changed = e->changed || differs;
  return differs;
}

bool
dir_evacuations_known (const dir_t *d)
{
  return d->evac == NULL || _dir_evac_newest (d->evac)->revision != 0;
}

bool
dir_evacuations_changed (dir_t *d)
{
  bool changed = d->evac != NULL && d->evac->changed;
  if (changed)
    d->evac->changed = false;
  return changed;
}

const char *const *
dir_evacuated (const dir_t *d)
{
  static const char *const none[] = { NULL };
  return d->evac == NULL ? none : d->evac->in_force;
}

/* -- messages ------------------------------------------------------------- */

static buf_t
_dir_evac_encode (const dir_t *d, void *ctx, _dir_evac_word_t word)
{
  /* Followers take over the revision of what is handed on. */
  const _dir_evac_list_t *list
      = word == DIR_EVAC_HANDED ? &d->evac->list : _dir_evac_newest (d->evac);
  GHashTableIter iter;
  void *name;
  mpk_writer_t w;
  mpk_writer_init (&w, ctx);
  mpk_put_uint (&w, word);
  mpk_put_uint (&w, list->revision);
  mpk_put_uint (&w, g_hash_table_size (list->names));
  g_hash_table_iter_init (&iter, list->names);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    mpk_put_str (&w, buf_str (name));
  return mpk_done (&w);
}

/* Sends the list in force to all VMs that are up, or only to those of this
 * data centre. */
static void
_dir_evac_broadcast (const dir_t *d, env_t *env, _dir_evac_word_t word,
                     bool everywhere)
{
  void *tmp = talloc_new (d);
  buf_t body = _dir_evac_encode (d, tmp, word);
  for (size_t i = 0; i < mbr_vm_count (d->desc.members); i++)
    {
      const mbr_vm_t *vm = mbr_vm_get (d->desc.members, i);
      if (!vm->self && vm->up
          && (everywhere || strcmp (vm->data_centre, env->data_centre) == 0))
        mbr_send (d->desc.members, env, vm->name, MSG_DIRECTORY_EVACUATIONS,
                  body);
    }
  talloc_free (tmp);
}

void
dir_evac_peer_send (const dir_t *d, env_t *env, const char *vm)
{
  if (d->evac == NULL)
    return;
  void *tmp = talloc_new (d);
  mbr_send (d->desc.members, env, vm, MSG_DIRECTORY_EVACUATIONS,
            _dir_evac_encode (d, tmp, DIR_EVAC_LIST));
  talloc_free (tmp);
}

void
dir_evac_failure_hand_on (const dir_t *d, env_t *env)
{
  _dir_evac_broadcast (d, env, DIR_EVAC_FAILED, false);
}

/* Tells the other VMs what the platform has just said.  The reader confirms
 * the list to its data centre each time.  A change goes to all VMs: a VM that
 * the platform turns away, or whose watch was lost, has it from there. */
static void
_dir_evac_hand_on (const dir_t *d, env_t *env, bool changed)
{
  bool reader = dir_is_reader (d, env);
  if (changed)
    _dir_evac_broadcast (
        d, env, DIR_EVAC_LIST,
        reader || dir_reader_wait_ms (d, env, DIR_OP_EVACUATIONS) == 0);
  if (!reader || !dir_answer_is_timely (d, env, DIR_OP_EVACUATIONS))
    return;
  _dir_evac_broadcast (d, env, DIR_EVAC_HANDED, false);
  cnt_add (env->cnt, "rts_directory_handed_on_total", "", 1);
}

/* -- the platform --------------------------------------------------------- */

/* Takes over NAMES as the platform's list at REVISION, which was asked for at
 * ASKED_AT or later. */
static void
_dir_evac_adopt (dir_t *d, env_t *env, GHashTable *names, uint64_t revision,
                 clk_ms_t asked_at, const char *source)
{
  dir_evac_t *e = d->evac;
  g_hash_table_destroy (e->list.names);
  e->list = (_dir_evac_list_t){ .names = names, .revision = revision };
  e->older_reads = 0;
  d->revision[DIR_OP_EVACUATIONS] = revision;
  if (e->peer.revision > revision && e->peer_at < asked_at)
    {
      tln_record (env->tln, env->now, MOD_DIRECTORY, "evacuations-refuted",
                  "peer_revision=%llu revision=%llu: the platform does not "
                  "confirm what a peer has told",
                  (unsigned long long)e->peer.revision,
                  (unsigned long long)revision);
      e->peer.revision = 0;
    }
  bool first = e->confirmed_at == CLK_NEVER;
  bool changed = _dir_evac_update (d, env, source);
  if (strcmp (source, "platform") == 0)
    _dir_evac_hand_on (d, env, changed && !first);
}

/* Whether the list that was read anew is older than the one that is known, and
 * is to be read again. */
static bool
_dir_evac_is_older (dir_t *d, env_t *env)
{
  dir_evac_t *e = d->evac;
  if (e->page_revision >= e->list.revision
      || ++e->older_reads >= DIR_EVAC_OLDER_READS)
    return false;
  tln_record (env->tln, env->now, MOD_DIRECTORY, "evacuations-older",
              "revision=%llu known=%llu: the list is kept and read again",
              (unsigned long long)e->page_revision,
              (unsigned long long)e->list.revision);
  return true;
}

/* Applies a page of the whole list. */
static void
_dir_evac_page (dir_t *d, env_t *env, const ev_platform_t *reply)
{
  dir_evac_t *e = d->evac;
  if (e->after == NULL)
    {
      g_hash_table_remove_all (e->page);
      e->page_revision = reply->revision;
      e->page_called_at = d->called_at[DIR_OP_EVACUATIONS];
    }
  for (size_t i = 0; i < reply->object_count; i++)
    _dir_evac_object_add (d, env, e->page, reply->objects[i].name);
  TALLOC_FREE (e->after);
  if (reply->continue_after != NULL)
    {
      e->after = talloc_strdup (e, reply->continue_after);
      return;
    }
  if (_dir_evac_is_older (d, env))
    return;
  GHashTable *names = e->page;
  e->page = _dir_evac_set ();
  _dir_evac_adopt (d, env, names, e->page_revision, e->page_called_at,
                   "platform");
}

/* A watch was answered with a REVISION before the one that is known.  The
 * reader may have handed on all of it, and more, since the call.  If not, what
 * is known is garbled, or the store was restored: the list is read anew. */
static void
_dir_evac_behind (dir_t *d, env_t *env, uint64_t revision)
{
  clk_ms_t handed_at = d->handed_at[DIR_OP_EVACUATIONS];
  if (handed_at != CLK_NEVER && handed_at >= d->called_at[DIR_OP_EVACUATIONS])
    return;
  tln_record (env->tln, env->now, MOD_DIRECTORY, "evacuations-behind",
              "revision=%llu known=%llu: the list is read anew",
              (unsigned long long)revision,
              (unsigned long long)d->revision[DIR_OP_EVACUATIONS]);
  d->revision[DIR_OP_EVACUATIONS] = 0;
}

void
dir_evac_replied (dir_t *d, env_t *env, const ev_platform_t *reply)
{
  uint64_t before = d->revision[DIR_OP_EVACUATIONS];
  if (before == 0)
    {
      _dir_evac_page (d, env, reply);
      return;
    }
  if (reply->revision < before)
    {
      _dir_evac_behind (d, env, reply->revision);
      return;
    }
  GHashTable *names = _dir_evac_set ();
  GHashTableIter iter;
  void *name;
  g_hash_table_iter_init (&iter, d->evac->list.names);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    g_hash_table_add (names, g_strdup (name));
  for (size_t i = 0; i < reply->object_count; i++)
    if (reply->objects[i].deleted)
      g_hash_table_remove (names, reply->objects[i].name);
    else
      _dir_evac_object_add (d, env, names, reply->objects[i].name);
  _dir_evac_adopt (d, env, names, reply->revision,
                   d->called_at[DIR_OP_EVACUATIONS], "platform");
}

/* -- other VMs ------------------------------------------------------------ */

/* Takes over the list NAMES at REVISION of VM, if it is newer. */
static void
_dir_evac_peer_list (dir_t *d, env_t *env, const char *vm, GHashTable *names,
                     uint64_t revision)
{
  dir_evac_t *e = d->evac;
  uint64_t own = _dir_evac_newest (e)->revision;
  if (revision < own)
    dir_evac_peer_send (d, env, vm);
  if (revision <= own)
    return;
  g_hash_table_destroy (e->peer.names);
  e->peer = (_dir_evac_list_t){ .names = g_hash_table_ref (names),
                                .revision = revision };
  e->peer_at = env->now;
  cnt_add (env->cnt, "rts_directory_evacuations_from_peers_total", "", 1);
  (void)_dir_evac_update (d, env, vm);
}

/* Takes over what VM, a reader of this data centre, says. */
static void
_dir_evac_handed (dir_t *d, env_t *env, const char *vm, GHashTable *names,
                  uint64_t revision, bool failed)
{
  uint64_t own = d->revision[DIR_OP_EVACUATIONS];
  if (dir_is_reader (d, env))
    return;
  if (failed)
    dir_follow_end (d, env, DIR_OP_EVACUATIONS, "reader-failed");
  else if (own == 0)
    _dir_evac_peer_list (d, env, vm, names, revision);
  else if (revision >= own)
    {
      d->handed_at[DIR_OP_EVACUATIONS] = env->now;
      _dir_evac_adopt (d, env, g_hash_table_ref (names), revision,
                       env->now - dir_handed_ms (d, DIR_OP_EVACUATIONS), vm);
    }
}

/* Reads the names of a message to NAMES; false: it is malformed. */
static bool
_dir_evac_names_get (const dir_t *d, mpk_reader_t *r, GHashTable *names)
{
  uint64_t n = mpk_get_uint (r);
  if (r->failed || n > DIR_EVAC_NAMES_MAX)
    return false;
  for (uint64_t i = 0; i < n; i++)
    if (!_dir_evac_name_add (d, names, mpk_get_str (r).p) || r->failed)
      return false;
  return mpk_end (r);
}

bool
dir_evac_received (dir_t *d, env_t *env, const char *vm, mpk_reader_t *r)
{
  if (d->evac == NULL)
    return true;
  const mbr_vm_t *sender = mbr_vm_find (d->desc.members, vm);
  uint64_t word = mpk_get_uint (r);
  uint64_t revision = mpk_get_uint (r);
  GHashTable *names = _dir_evac_set ();
  bool good = _dir_evac_names_get (d, r, names) && word <= DIR_EVAC_FAILED
              && (word == DIR_EVAC_LIST
                  || (sender != NULL
                      && strcmp (sender->data_centre, env->data_centre) == 0));
  if (good && word == DIR_EVAC_LIST)
    _dir_evac_peer_list (d, env, vm, names, revision);
  else if (good)
    _dir_evac_handed (d, env, vm, names, revision, word == DIR_EVAC_FAILED);
  g_hash_table_unref (names);
  return good;
}

/** @file
 * Router: the upstreams that have said that they are leaving.
 *
 * What an upstream says of itself holds until it starts anew.  The platform's
 * list and other VMs may say otherwise for a while, and may drop the upstream
 * and name it again, so the notes are kept apart from the upstreams in use.
 */
#include "core/rte_int.h"

#include <talloc.h>

/** Largest number of notes. */
#define RTE_LEAVING_MAX 4096
/** How long a start stays out of use of which it is not certain that it has
 * said that it is leaving, counted from when the document first names it: an
 * upstream that leaves tells the platform so, once it reaches it. */
#define RTE_LEAVING_DOUBT_MS (60 * CLK_SECOND)

/* A note on the upstreams that had one name.  Starts are Unix times in ms. */
typedef struct
{
  uint64_t born;        /**< the start that said so last; 0: not known */
  uint64_t born_max;    /**< a later start, up to this one, may have said so */
  clk_ms_t heard_at;    /**< when it was last said */
  uint64_t doubt_born;  /**< the start in doubt that the document named last */
  clk_ms_t doubt_since; /**< when it named that start first */
  clk_ms_t seen_at;     /**< when an upstream of that name was last in use */
} _rte_note_t;

struct rte_leaving
{
  GHashTable *notes; /**< upstream name to _rte_note_t */
};

static int
_rte_leaving_destroy (rte_leaving_t *l)
{
  g_hash_table_destroy (l->notes);
  return 0;
}

rte_leaving_t *
rte_leaving_setup (void *ctx)
{
  rte_leaving_t *l = talloc_zero (ctx, rte_leaving_t);
  l->notes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  talloc_set_destructor (l, _rte_leaving_destroy);
  return l;
}

/* Drops the note on the name that has been out of use for the longest time. */
static void
_rte_leaving_drop_oldest (rte_leaving_t *l)
{
  GHashTableIter iter;
  void *name;
  void *value;
  const char *oldest = NULL;
  clk_ms_t oldest_at = CLK_NEVER;
  g_hash_table_iter_init (&iter, l->notes);
  while (g_hash_table_iter_next (&iter, &name, &value))
    if (((const _rte_note_t *)value)->seen_at < oldest_at)
      {
        oldest = name;
        oldest_at = ((const _rte_note_t *)value)->seen_at;
      }
  if (oldest != NULL)
    g_hash_table_remove (l->notes, oldest);
}

static _rte_note_t *
_rte_leaving_get (rte_leaving_t *l, const char *name)
{
  _rte_note_t *note = g_hash_table_lookup (l->notes, name);
  if (note != NULL)
    return note;
  if (g_hash_table_size (l->notes) >= RTE_LEAVING_MAX)
    _rte_leaving_drop_oldest (l);
  note = g_new0 (_rte_note_t, 1);
  g_hash_table_insert (l->notes, g_strdup (name), note);
  return note;
}

void
rte_leaving_note (rte_leaving_t *l, const char *name, uint64_t born,
                  uint64_t born_max, clk_ms_t now)
{
  _rte_note_t *note = _rte_leaving_get (l, name);
  if (born != 0)
    note->born = born;
  note->born_max = MAX (note->born_max, born_max);
  note->heard_at = now;
  note->seen_at = now;
}

/* Until when the start BORN is out of use, of which it is not certain that it
 * is the one that spoke. */
static clk_ms_t
_rte_doubt_until (_rte_note_t *note, uint64_t born, clk_ms_t now)
{
  if (born != note->doubt_born)
    note->doubt_since = now;
  note->doubt_born = born;
  return MAX (note->heard_at, note->doubt_since) + RTE_LEAVING_DOUBT_MS;
}

clk_ms_t
rte_leaving_until (rte_leaving_t *l, const char *name, uint64_t born,
                   clk_ms_t now)
{
  _rte_note_t *note = g_hash_table_lookup (l->notes, name);
  if (note == NULL)
    return 0;
  note->seen_at = now;
  if (born == 0 || born == note->born)
    return CLK_NEVER;
  if (born > MAX (note->born, note->born_max))
    return 0;
  return _rte_doubt_until (note, born, now);
}

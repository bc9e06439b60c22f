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
/** How long a start is out of use of which it is not certain that it has said
 * that it is leaving.  By then an upstream that has said so is gone. */
#define RTE_LEAVING_DOUBT_MS (60 * CLK_SECOND)

/* A note on the upstreams that had one name. */
typedef struct
{
  uint64_t born;     /**< the last start that has said so; Unix time in ms */
  uint64_t born_max; /**< a later start, up to this one, may have said so */
  clk_ms_t heard_at; /**< when it was last said */
  clk_ms_t seen_at;  /**< when an upstream of that name was last in use */
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
  note->born = MAX (note->born, born);
  note->born_max = MAX (note->born_max, born_max);
  note->heard_at = now;
  note->seen_at = now;
}

clk_ms_t
rte_leaving_until (rte_leaving_t *l, const char *name, uint64_t born,
                   clk_ms_t now)
{
  _rte_note_t *note = g_hash_table_lookup (l->notes, name);
  if (note == NULL)
    return 0;
  note->seen_at = now;
  if (born <= note->born)
    return CLK_NEVER;
  return born <= note->born_max ? note->heard_at + RTE_LEAVING_DOUBT_MS : 0;
}

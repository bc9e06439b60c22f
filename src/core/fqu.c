#include "core/fqu.h"

#include "core/inv.h"

#include <glib.h>
#include <math.h>
#include <talloc.h>

#define FQU_CUSTOMER_MAX_DEFAULT 256
#define FQU_TOTAL_MAX_DEFAULT 4096
#define FQU_FIRST_RATE_DEFAULT 50.0
/** The drain rate is learned over about this time. */
#define FQU_LEARN_MS (2.0 * CLK_SECOND)
/** Items that should have left before a queue counts as standing still. */
#define FQU_STILL_ITEMS 5.0
/** Part of the time it has that an item may expect to wait on arrival; the
 * rest is for a rate that falls while it waits. */
#define FQU_FILL 0.9
/** Never told to come back sooner or later than this. */
#define FQU_RETRY_MIN_MS (1 * CLK_SECOND)
#define FQU_RETRY_MAX_MS (30 * CLK_SECOND)

typedef struct
{
  char *name;
  double weight;
  double finish; /**< virtual time at which its last service ends */
  GQueue items;  /**< _fqu_entry_t, oldest first */
} _fqu_customer_t;

typedef struct
{
  uint64_t tag;
  clk_ms_t latest;
  _fqu_customer_t *customer;
} _fqu_entry_t;

struct fqu
{
  fqu_desc_t desc;
  GHashTable *customers; /**< name to _fqu_customer_t, with items or debt */
  GPtrArray *active;     /**< those with items */
  GHashTable *entries;   /**< tag to _fqu_entry_t */
  double virtual_now;
  double rate;           /**< items a second */
  clk_ms_t served_at;    /**< since when items wait for the next pop; 0: none
                               wait */
  _fqu_entry_t *popped;  /**< by the last fqu_pop, for fqu_unpop */
  double popped_virtual; /**< what fqu_unpop goes back to */
  double popped_rate;
  clk_ms_t popped_served_at;
};

static int
_fqu_destroy (fqu_t *q)
{
  for (guint i = 0; i < q->active->len; i++)
    g_queue_clear (
        &((_fqu_customer_t *)g_ptr_array_index (q->active, i))->items);
  g_ptr_array_free (q->active, TRUE);
  g_hash_table_destroy (q->customers);
  g_hash_table_destroy (q->entries);
  return 0;
}

fqu_t *
fqu_setup (void *ctx, const fqu_desc_t *desc)
{
  fqu_t *q = talloc_zero (ctx, fqu_t);
  q->desc = *desc;
  if (q->desc.customer_max == 0)
    q->desc.customer_max = FQU_CUSTOMER_MAX_DEFAULT;
  if (q->desc.total_max == 0)
    q->desc.total_max = FQU_TOTAL_MAX_DEFAULT;
  if (q->desc.first_rate <= 0)
    q->desc.first_rate = FQU_FIRST_RATE_DEFAULT;
  q->rate = q->desc.first_rate;
  q->customers = g_hash_table_new (g_str_hash, g_str_equal);
  q->active = g_ptr_array_new ();
  q->entries = g_hash_table_new (g_int64_hash, g_int64_equal);
  talloc_set_destructor (q, _fqu_destroy);
  return q;
}

void
fqu_shutdown (fqu_t *q)
{
  talloc_free (q);
}

uint32_t
fqu_count (const fqu_t *q)
{
  return g_hash_table_size (q->entries);
}

uint32_t
fqu_customer_count (const fqu_t *q, const char *customer)
{
  const _fqu_customer_t *c = g_hash_table_lookup (q->customers, customer);
  return c == NULL ? 0 : c->items.length;
}

/** Wait of the item that stands AHEAD places behind the first of a customer
 * of WEIGHT. */
static double
_fqu_wait (const fqu_t *q, const _fqu_customer_t *c, double weight,
           uint32_t ahead)
{
  double weights = 0;
  uint32_t items = 0;
  for (guint i = 0; i < q->active->len; i++)
    {
      const _fqu_customer_t *other = g_ptr_array_index (q->active, i);
      weights += other->weight;
      items += other->items.length;
    }
  if (c == NULL || c->items.length == 0)
    weights += weight;
  double rounds = (ahead + 1) * weights / weight;
  /* No more than what is queued can be served before it. */
  double before = fmin (rounds, items + 1.0);
  return before / q->rate * CLK_SECOND;
}

clk_ms_t
fqu_expected_wait (const fqu_t *q, const char *customer, double weight)
{
  const _fqu_customer_t *c = g_hash_table_lookup (q->customers, customer);
  if (fqu_count (q) == 0)
    return 0;
  return (clk_ms_t)_fqu_wait (q, c, weight > 0 ? weight : 1,
                              c == NULL ? 0 : c->items.length);
}

static clk_ms_t
_fqu_retry (double wait, clk_ms_t patience)
{
  double over = wait - (double)patience;
  return (clk_ms_t)fmin (fmax (over, (double)FQU_RETRY_MIN_MS),
                         (double)FQU_RETRY_MAX_MS);
}

static _fqu_customer_t *
_fqu_customer_get (fqu_t *q, const char *name)
{
  _fqu_customer_t *c = g_hash_table_lookup (q->customers, name);
  if (c != NULL)
    return c;
  c = talloc_zero (q, _fqu_customer_t);
  c->name = talloc_strdup (c, name);
  g_queue_init (&c->items);
  g_hash_table_insert (q->customers, c->name, c);
  return c;
}

/** Forget customers without items that owe nothing to the others. */
static void
_fqu_sweep (fqu_t *q)
{
  if (g_hash_table_size (q->customers) <= 2 * q->active->len + 64)
    return;
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, q->customers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      _fqu_customer_t *c = value;
      if (c->items.length > 0 || c->finish > q->virtual_now)
        continue;
      g_hash_table_iter_remove (&iter);
      talloc_free (c);
    }
}

st_code_t
fqu_push (fqu_t *q, clk_ms_t now, const fqu_item_t *item,
          clk_ms_t *retry_after)
{
  double weight = item->weight > 0 ? item->weight : 1;
  _fqu_customer_t *c = g_hash_table_lookup (q->customers, item->customer);
  uint32_t ahead = c == NULL ? 0 : c->items.length;
  double wait = _fqu_wait (q, c, weight, ahead);
  clk_ms_t patience = item->latest - now;
  *retry_after = _fqu_retry (wait, patience);
  if (ahead >= q->desc.customer_max || fqu_count (q) >= q->desc.total_max)
    return ST_EXHAUSTED;
  if (patience <= 0
      || (fqu_count (q) > 0 && wait > FQU_FILL * (double)patience))
    return ST_TIMEOUT;
  c = _fqu_customer_get (q, item->customer);
  c->weight = weight;
  _fqu_entry_t *e = talloc_zero (q, _fqu_entry_t);
  *e = (_fqu_entry_t){ .tag = item->tag,
                       .latest = item->latest,
                       .customer = c };
  INV_CHECK (!g_hash_table_contains (q->entries, &e->tag),
             "fair-queue-tag-unique", "tag %llu", (unsigned long long)e->tag);
  g_hash_table_insert (q->entries, &e->tag, e);
  if (c->items.length == 0)
    g_ptr_array_add (q->active, c);
  g_queue_push_tail (&c->items, e);
  if (q->served_at == 0)
    q->served_at = now;
  *retry_after = 0;
  _fqu_sweep (q);
  return ST_OK;
}

static double
_fqu_start (const fqu_t *q, const _fqu_customer_t *c)
{
  return fmax (q->virtual_now, c->finish);
}

static void
_fqu_take (fqu_t *q, _fqu_entry_t *e)
{
  _fqu_customer_t *c = e->customer;
  g_queue_remove (&c->items, e);
  g_hash_table_remove (q->entries, &e->tag);
  if (c->items.length == 0)
    g_ptr_array_remove (q->active, c);
  if (fqu_count (q) == 0)
    q->served_at = 0;
}

/** Learn the drain rate from the gaps in which items waited. */
static void
_fqu_rate_learn (fqu_t *q, clk_ms_t since, clk_ms_t now)
{
  if (since != 0 && now >= since)
    {
      double gap = (double)(now - since);
      double part = 1 - exp (-fmax (gap, 1) / FQU_LEARN_MS);
      q->rate += part * (CLK_SECOND / fmax (gap, 1) - q->rate);
    }
  q->served_at = fqu_count (q) > 0 ? now : 0;
}

bool
fqu_pop (fqu_t *q, clk_ms_t now, uint64_t *tag)
{
  _fqu_customer_t *first = NULL;
  for (guint i = 0; i < q->active->len; i++)
    {
      _fqu_customer_t *c = g_ptr_array_index (q->active, i);
      if (first == NULL || _fqu_start (q, c) < _fqu_start (q, first))
        first = c;
    }
  if (first == NULL)
    return false;
  talloc_free (q->popped);
  _fqu_entry_t *e = g_queue_peek_head (&first->items);
  clk_ms_t waited_since = q->served_at;
  _fqu_take (q, e);
  q->popped = e;
  q->popped_virtual = q->virtual_now;
  q->popped_rate = q->rate;
  q->popped_served_at = waited_since;
  q->virtual_now = _fqu_start (q, first);
  first->finish = q->virtual_now + 1 / first->weight;
  _fqu_rate_learn (q, waited_since, now);
  *tag = e->tag;
  return true;
}

void
fqu_unpop (fqu_t *q, uint64_t tag)
{
  _fqu_entry_t *e = q->popped;
  INV_CHECK (e != NULL && e->tag == tag, "fair-queue-unpop-last", "tag %llu",
             (unsigned long long)tag);
  _fqu_customer_t *c = e->customer;
  q->popped = NULL;
  q->virtual_now = q->popped_virtual;
  q->rate = q->popped_rate;
  q->served_at = q->popped_served_at;
  c->finish -= 1 / c->weight;
  if (c->items.length == 0)
    g_ptr_array_add (q->active, c);
  g_queue_push_head (&c->items, e);
  g_hash_table_insert (q->entries, &e->tag, e);
}

static _fqu_entry_t *
_fqu_late_find (const fqu_t *q, clk_ms_t now, clk_ms_t *retry_after)
{
  for (guint i = 0; i < q->active->len; i++)
    {
      const _fqu_customer_t *c = g_ptr_array_index (q->active, i);
      uint32_t ahead = 0;
      for (GList *l = c->items.head; l != NULL; l = l->next, ahead++)
        {
          _fqu_entry_t *e = l->data;
          double wait
              = ahead == 0 ? 0 : _fqu_wait (q, c, c->weight, ahead - 1);
          if ((double)now + wait <= (double)e->latest)
            continue;
          *retry_after = _fqu_retry (wait, e->latest - now);
          return e;
        }
    }
  return NULL;
}

/** A queue that stands still drains more slowly than it did. */
static void
_fqu_rate_still (fqu_t *q, clk_ms_t now)
{
  if (q->served_at == 0)
    return;
  double gap = (double)(now - q->served_at);
  if (gap * q->rate > FQU_STILL_ITEMS * CLK_SECOND)
    q->rate = FQU_STILL_ITEMS * CLK_SECOND / gap;
}

bool
fqu_late_pop (fqu_t *q, clk_ms_t now, uint64_t *tag, clk_ms_t *retry_after)
{
  _fqu_rate_still (q, now);
  _fqu_entry_t *e = _fqu_late_find (q, now, retry_after);
  if (e == NULL)
    return false;
  *tag = e->tag;
  _fqu_take (q, e);
  talloc_free (e);
  return true;
}

bool
fqu_remove (fqu_t *q, uint64_t tag)
{
  _fqu_entry_t *e = g_hash_table_lookup (q->entries, &tag);
  if (e == NULL)
    return false;
  _fqu_take (q, e);
  talloc_free (e);
  return true;
}

#include "core/fqu.h"

#include "core/inv.h"

#include <glib.h>
#include <math.h>
#include <talloc.h>

#define FQU_CUSTOMER_MAX_DEFAULT 256
#define FQU_TOTAL_MAX_DEFAULT 4096
#define FQU_INITIAL_RATE_DEFAULT 50.0
/** Time constant of the moving average of the drain rate, in milliseconds. */
#define FQU_RATE_TIME_CONSTANT_MS (2.0 * CLK_SECOND)
/** A queue counts as stalled when this many items should have left since the
 * last one did. */
#define FQU_STALL_ITEMS 5.0
/** Largest part of its time in the queue that a new item may be expected to
 * wait.  The rest is spare time in case the drain rate falls. */
#define FQU_WAIT_PART_MAX 0.9
/** Bounds of the retry-after times, in milliseconds. */
#define FQU_RETRY_MIN_MS (1 * CLK_SECOND)
#define FQU_RETRY_MAX_MS (30 * CLK_SECOND)

/** A customer that has items, or whose last service has not ended in virtual
 * time. */
typedef struct
{
  char *name;
  double weight;
  double finish; /**< end of its last service in virtual time, 1 / weight
                      after the start */
  GQueue items;  /**< _fqu_entry_t, oldest first */
} _fqu_customer_t;

/** A queued item. */
typedef struct
{
  uint64_t tag;
  clk_ms_t leave_by;
  _fqu_customer_t *customer;
} _fqu_entry_t;

struct fqu
{
  fqu_desc_t desc;
  GHashTable *customers;  /**< name to _fqu_customer_t */
  GPtrArray *active;      /**< customers with items */
  GHashTable *entries;    /**< tag to _fqu_entry_t */
  double virtual_time;    /**< start of the last service in virtual time */
  double rate;            /**< drain rate, items a second */
  clk_ms_t waiting_since; /**< time since which items wait without a pop; 0:
                               the queue is empty */
  _fqu_entry_t *popped;   /**< item of the last fqu_pop, for fqu_unpop */
  double popped_virtual_time; /**< value that fqu_unpop restores */
  double popped_rate;
  clk_ms_t popped_waiting_since;
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
  if (q->desc.initial_rate <= 0)
    q->desc.initial_rate = FQU_INITIAL_RATE_DEFAULT;
  q->rate = q->desc.initial_rate;
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

/** Expected wait, in milliseconds, of an item of C with AHEAD items of C
 * before it.  C is NULL for a new customer, which will have WEIGHT. */
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
  double by_share = (ahead + 1) * weights / weight;
  /* At most all queued items are served before it. */
  double served = fmin (by_share, items + 1.0);
  return served / q->rate * CLK_SECOND;
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

/** Time after which an item that would WAIT longer than TIME_LEFT can be sent
 * again. */
static clk_ms_t
_fqu_retry_after (double wait, clk_ms_t time_left)
{
  double over = wait - (double)time_left;
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

/** Free customers that have no items and whose last service has ended in
 * virtual time: a new entry would be served no differently. */
static void
_fqu_customers_purge (fqu_t *q)
{
  if (g_hash_table_size (q->customers) <= 2 * q->active->len + 64)
    return;
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, q->customers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      _fqu_customer_t *c = value;
      if (c->items.length > 0 || c->finish > q->virtual_time)
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
  clk_ms_t time_left = item->leave_by - now;
  *retry_after = _fqu_retry_after (wait, time_left);
  if (ahead >= q->desc.customer_max || fqu_count (q) >= q->desc.total_max)
    return ST_EXHAUSTED;
  if (time_left <= 0
      || (fqu_count (q) > 0 && wait > FQU_WAIT_PART_MAX * (double)time_left))
    return ST_TIMEOUT;
  c = _fqu_customer_get (q, item->customer);
  c->weight = weight;
  _fqu_entry_t *e = talloc_zero (q, _fqu_entry_t);
  *e = (_fqu_entry_t){ .tag = item->tag,
                       .leave_by = item->leave_by,
                       .customer = c };
  INV_CHECK (!g_hash_table_contains (q->entries, &e->tag),
             "fair-queue-tag-unique", "tag %llu", (unsigned long long)e->tag);
  g_hash_table_insert (q->entries, &e->tag, e);
  if (c->items.length == 0)
    g_ptr_array_add (q->active, c);
  g_queue_push_tail (&c->items, e);
  if (q->waiting_since == 0)
    q->waiting_since = now;
  *retry_after = 0;
  _fqu_customers_purge (q);
  return ST_OK;
}

/** Virtual time at which the next service of C starts. */
static double
_fqu_start_time (const fqu_t *q, const _fqu_customer_t *c)
{
  return fmax (q->virtual_time, c->finish);
}

/** Remove an entry from the queue without freeing it. */
static void
_fqu_entry_unlink (fqu_t *q, _fqu_entry_t *e)
{
  _fqu_customer_t *c = e->customer;
  g_queue_remove (&c->items, e);
  g_hash_table_remove (q->entries, &e->tag);
  if (c->items.length == 0)
    g_ptr_array_remove (q->active, c);
  if (fqu_count (q) == 0)
    q->waiting_since = 0;
}

/** Update the drain rate with a pop at NOW, if items have waited for it since
 * SINCE. */
static void
_fqu_rate_update (fqu_t *q, clk_ms_t since, clk_ms_t now)
{
  if (since != 0 && now >= since)
    {
      double gap = (double)(now - since);
      double part = 1 - exp (-fmax (gap, 1) / FQU_RATE_TIME_CONSTANT_MS);
      q->rate += part * (CLK_SECOND / fmax (gap, 1) - q->rate);
    }
  q->waiting_since = fqu_count (q) > 0 ? now : 0;
}

bool
fqu_pop (fqu_t *q, clk_ms_t now, uint64_t *tag)
{
  _fqu_customer_t *first = NULL;
  for (guint i = 0; i < q->active->len; i++)
    {
      _fqu_customer_t *c = g_ptr_array_index (q->active, i);
      if (first == NULL || _fqu_start_time (q, c) < _fqu_start_time (q, first))
        first = c;
    }
  if (first == NULL)
    return false;
  talloc_free (q->popped);
  _fqu_entry_t *e = g_queue_peek_head (&first->items);
  clk_ms_t waited_since = q->waiting_since;
  _fqu_entry_unlink (q, e);
  q->popped = e;
  q->popped_virtual_time = q->virtual_time;
  q->popped_rate = q->rate;
  q->popped_waiting_since = waited_since;
  q->virtual_time = _fqu_start_time (q, first);
  first->finish = q->virtual_time + 1 / first->weight;
  _fqu_rate_update (q, waited_since, now);
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
  q->virtual_time = q->popped_virtual_time;
  q->rate = q->popped_rate;
  q->waiting_since = q->popped_waiting_since;
  c->finish -= 1 / c->weight;
  if (c->items.length == 0)
    g_ptr_array_add (q->active, c);
  g_queue_push_head (&c->items, e);
  g_hash_table_insert (q->entries, &e->tag, e);
}

/** An item that can no longer leave in time; NULL: none.  *RETRY_AFTER is as
 * in fqu_push. */
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
          /* E can leave once the previous item of C has been served.
           * _fqu_wait includes the service of the item itself, so the wait
           * for the previous item is computed. */
          double wait
              = ahead == 0 ? 0 : _fqu_wait (q, c, c->weight, ahead - 1);
          if ((double)now + wait <= (double)e->leave_by)
            continue;
          *retry_after = _fqu_retry_after (wait, e->leave_by - now);
          return e;
        }
    }
  return NULL;
}

/** Lower the drain rate while the queue is stalled: without pops,
 * _fqu_rate_update does not run. */
static void
_fqu_rate_lower_if_stalled (fqu_t *q, clk_ms_t now)
{
  if (q->waiting_since == 0)
    return;
  double gap = (double)(now - q->waiting_since);
  if (gap * q->rate > FQU_STALL_ITEMS * CLK_SECOND)
    q->rate = FQU_STALL_ITEMS * CLK_SECOND / gap;
}

bool
fqu_late_pop (fqu_t *q, clk_ms_t now, uint64_t *tag, clk_ms_t *retry_after)
{
  _fqu_rate_lower_if_stalled (q, now);
  _fqu_entry_t *e = _fqu_late_find (q, now, retry_after);
  if (e == NULL)
    return false;
  *tag = e->tag;
  _fqu_entry_unlink (q, e);
  talloc_free (e);
  return true;
}

bool
fqu_remove (fqu_t *q, uint64_t tag)
{
  _fqu_entry_t *e = g_hash_table_lookup (q->entries, &tag);
  if (e == NULL)
    return false;
  _fqu_entry_unlink (q, e);
  talloc_free (e);
  return true;
}

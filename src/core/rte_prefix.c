/** @file
 * Which upstreams are thought to hold which prompt prefix: a bounded table,
 * oldest use first out.  Entries expire, as a cache event may be lost.
 */
#include "core/rte_int.h"

#include <talloc.h>

#define RTE_PREFIX_BYTES 256
#define RTE_HOLDERS_EACH 4
#define RTE_HOLD_MS (60 * CLK_SECOND)

typedef struct
{
  uint64_t prefix;
  tbl_id_t upstream[RTE_HOLDERS_EACH];
  clk_ms_t at[RTE_HOLDERS_EACH];
  GList *age; /**< its link in the queue of ages */
} rte_holder_t;

struct rte_holders
{
  uint32_t max;
  GHashTable *by_prefix; /**< prefix to rte_holder_t */
  GQueue ages;           /**< rte_holder_t, least recently used first */
};

uint64_t
rte_prefix (buf_t prompt)
{
  size_t n = prompt.n < RTE_PREFIX_BYTES ? prompt.n : RTE_PREFIX_BYTES;
  guint8 digest[32];
  gsize size = sizeof digest;
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);
  g_checksum_update (sum, (const guchar *)prompt.p, (gssize)n);
  g_checksum_get_digest (sum, digest, &size);
  g_checksum_free (sum);
  uint64_t hash = 0;
  for (size_t i = 0; i < sizeof hash; i++)
    hash = hash << 8 | digest[i];
  return hash == 0 ? 1 : hash;
}

static int
_rte_holders_destroy (rte_holders_t *h)
{
  g_hash_table_destroy (h->by_prefix);
  g_queue_clear (&h->ages);
  return 0;
}

rte_holders_t *
rte_holders_setup (void *ctx, uint32_t max)
{
  rte_holders_t *h = talloc_zero (ctx, rte_holders_t);
  h->max = max;
  h->by_prefix = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_queue_init (&h->ages);
  talloc_set_destructor (h, _rte_holders_destroy);
  return h;
}

static void
_rte_holders_evict (rte_holders_t *h)
{
  rte_holder_t *old = g_queue_pop_head (&h->ages);
  g_hash_table_remove (h->by_prefix, &old->prefix);
  talloc_free (old);
}

void
rte_holders_add (rte_holders_t *h, uint64_t prefix, tbl_id_t upstream,
                 clk_ms_t now)
{
  rte_holder_t *e = g_hash_table_lookup (h->by_prefix, &prefix);
  if (e == NULL)
    {
      if (h->ages.length >= h->max)
        _rte_holders_evict (h);
      e = talloc_zero (h, rte_holder_t);
      e->prefix = prefix;
      g_hash_table_insert (h->by_prefix, &e->prefix, e);
      g_queue_push_tail (&h->ages, e);
      e->age = h->ages.tail;
    }
  g_queue_unlink (&h->ages, e->age);
  g_queue_push_tail_link (&h->ages, e->age);
  size_t oldest = 0;
  for (size_t i = 0; i < RTE_HOLDERS_EACH; i++)
    {
      if (e->upstream[i].id == upstream.id)
        {
          e->at[i] = now;
          return;
        }
      if (e->upstream[i].id == 0
          || (e->upstream[oldest].id != 0 && e->at[i] < e->at[oldest]))
        oldest = i;
    }
  e->upstream[oldest] = upstream;
  e->at[oldest] = now;
}

void
rte_holders_drop (rte_holders_t *h, uint64_t prefix, tbl_id_t upstream)
{
  rte_holder_t *e = g_hash_table_lookup (h->by_prefix, &prefix);
  if (e == NULL)
    return;
  for (size_t i = 0; i < RTE_HOLDERS_EACH; i++)
    if (e->upstream[i].id == upstream.id)
      e->upstream[i].id = 0;
}

bool
rte_holders_has (const rte_holders_t *h, uint64_t prefix, tbl_id_t upstream,
                 clk_ms_t now)
{
  const rte_holder_t *e = g_hash_table_lookup (h->by_prefix, &prefix);
  if (e == NULL)
    return false;
  for (size_t i = 0; i < RTE_HOLDERS_EACH; i++)
    if (e->upstream[i].id == upstream.id)
      return now - e->at[i] < RTE_HOLD_MS;
  return false;
}

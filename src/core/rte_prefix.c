/** @file
 * Router: index of the upstreams that probably cache each prompt prefix.
 *
 * The index is bounded and evicts the least recently used prefix.  Entries
 * expire, because the cache event that would remove one can be lost.
 */
#include "core/rte_int.h"

#include <talloc.h>

/** Bytes of a prompt that its prefix hash covers; engines use the same. */
#define RTE_PREFIX_BYTES 256
/** Upstreams remembered for one prefix. */
#define RTE_UPSTREAMS_PER_PREFIX 4
/** Time for which an upstream is expected to cache a prefix after its use. */
#define RTE_PREFIX_TTL_MS (60 * CLK_SECOND)

typedef struct
{
  uint64_t prefix;
  tbl_id_t upstream[RTE_UPSTREAMS_PER_PREFIX];
  clk_ms_t at[RTE_UPSTREAMS_PER_PREFIX]; /**< last use at that upstream */
  GList *lru_link;                       /**< link in rte_prefix_index.lru */
} rte_prefix_entry_t;

struct rte_prefix_index
{
  uint32_t max;
  GHashTable *by_prefix; /**< prefix to rte_prefix_entry_t */
  GQueue lru;            /**< rte_prefix_entry_t, least recently used first */
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
_rte_prefix_index_destroy (rte_prefix_index_t *idx)
{
  g_hash_table_destroy (idx->by_prefix);
  g_queue_clear (&idx->lru);
  return 0;
}

rte_prefix_index_t *
rte_prefix_index_setup (void *ctx, uint32_t max)
{
  rte_prefix_index_t *idx = talloc_zero (ctx, rte_prefix_index_t);
  idx->max = max;
  idx->by_prefix = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_queue_init (&idx->lru);
  talloc_set_destructor (idx, _rte_prefix_index_destroy);
  return idx;
}

static void
_rte_prefix_index_evict (rte_prefix_index_t *idx)
{
  rte_prefix_entry_t *old = g_queue_pop_head (&idx->lru);
  g_hash_table_remove (idx->by_prefix, &old->prefix);
  talloc_free (old);
}

void
rte_prefix_index_add (rte_prefix_index_t *idx, uint64_t prefix,
                      tbl_id_t upstream, clk_ms_t now)
{
  rte_prefix_entry_t *e = g_hash_table_lookup (idx->by_prefix, &prefix);
  if (e == NULL)
    {
      if (idx->lru.length >= idx->max)
        _rte_prefix_index_evict (idx);
      e = talloc_zero (idx, rte_prefix_entry_t);
      e->prefix = prefix;
      g_hash_table_insert (idx->by_prefix, &e->prefix, e);
      g_queue_push_tail (&idx->lru, e);
      e->lru_link = idx->lru.tail;
    }
  g_queue_unlink (&idx->lru, e->lru_link);
  g_queue_push_tail_link (&idx->lru, e->lru_link);
  size_t oldest = 0;
  for (size_t i = 0; i < RTE_UPSTREAMS_PER_PREFIX; i++)
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
rte_prefix_index_remove (rte_prefix_index_t *idx, uint64_t prefix,
                         tbl_id_t upstream)
{
  rte_prefix_entry_t *e = g_hash_table_lookup (idx->by_prefix, &prefix);
  if (e == NULL)
    return;
  for (size_t i = 0; i < RTE_UPSTREAMS_PER_PREFIX; i++)
    if (e->upstream[i].id == upstream.id)
      e->upstream[i].id = 0;
}

bool
rte_prefix_index_has (const rte_prefix_index_t *idx, uint64_t prefix,
                      tbl_id_t upstream, clk_ms_t now)
{
  const rte_prefix_entry_t *e = g_hash_table_lookup (idx->by_prefix, &prefix);
  if (e == NULL)
    return false;
  for (size_t i = 0; i < RTE_UPSTREAMS_PER_PREFIX; i++)
    if (e->upstream[i].id == upstream.id)
      return now - e->at[i] < RTE_PREFIX_TTL_MS;
  return false;
}

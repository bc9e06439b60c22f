#include "lmt.h"

#include <math.h>
#include <string.h>

/* Time between two draws of whether a caller sends a request. */
#define LMT_STEP_MS 5
/* Time within which refused callers come back at the same moment. */
#define LMT_SAME_MS 10

lmt_t *
lmt_setup (const hst_desc_t *desc, uint32_t seed)
{
  lmt_t *t = g_new0 (lmt_t, 1);
  hst_desc_t full = *desc;
  full.load_reports = true;
  full.resumable = true;
  t->h = hst_fleet (&full);
  t->rand = g_rand_new_with_seed (seed);
  t->entries = desc->entries == 0 ? 2 : desc->entries;
  t->entry_only = HST_MAX;
  t->requests = g_array_new (FALSE, FALSE, sizeof (lmt_request_t));
  for (size_t i = 0; i < HST_MAX; i++)
    lmt_name (t, i, -1);
  return t;
}

void
lmt_shutdown (lmt_t *t)
{
  hst_shutdown (t->h);
  g_rand_free (t->rand);
  g_array_unref (t->requests);
  g_free (t);
}

void
lmt_name (lmt_t *t, size_t upstream, double per_s)
{
  ev_limit_t limit = { .kind = EV_LIMIT_ABSENT };
  if (per_s >= 0)
    limit = (ev_limit_t){ .kind = EV_LIMIT_NAMED, .per_s = per_s };
  t->per_s[upstream] = per_s;
  hst_limit_set (t->h, upstream, limit, true);
}

/* The entry VM that gets the next request; HST_MAX: none runs. */
static size_t
_lmt_entry (const lmt_t *t)
{
  size_t first = (size_t)g_rand_int_range (t->rand, 0, (gint32)t->entries);
  if (t->entry_only < HST_MAX)
    return t->entry_only;
  for (size_t i = 0; i < t->entries; i++)
    if (hst_runs (t->h, (first + i) % t->entries))
      return (first + i) % t->entries;
  return HST_MAX;
}

static void
_lmt_send (lmt_t *t)
{
  size_t vm = _lmt_entry (t);
  if (vm == HST_MAX)
    return;
  char id[32];
  g_snprintf (id, sizeof id, "q-%u", ++t->sequence);
  lmt_request_t request = { .caller = hst_stream (t->h, vm, "key-acme", id),
                            .sent_at = hst_now (t->h) };
  g_array_append_val (t->requests, request);
}

void
lmt_run (lmt_t *t, clk_ms_t ms, double per_s)
{
  clk_ms_t end = hst_now (t->h) + ms;
  while (hst_now (t->h) < end)
    {
      if (g_rand_double (t->rand) < per_s * LMT_STEP_MS / CLK_SECOND)
        _lmt_send (t);
      hst_advance (t->h, LMT_STEP_MS);
    }
}

unsigned
lmt_arrivals (const lmt_t *t, size_t upstream, clk_ms_t from, clk_ms_t to)
{
  const GArray *all = hst_arrivals (t->h);
  unsigned n = 0;
  for (guint i = 0; i < all->len; i++)
    {
      const hst_arrival_t *a = &g_array_index (all, hst_arrival_t, i);
      n += a->upstream == upstream && a->at >= from && a->at < to;
    }
  return n;
}

unsigned
lmt_most (const lmt_t *t, size_t upstream, clk_ms_t window_ms, clk_ms_t from,
          clk_ms_t to)
{
  const GArray *all = hst_arrivals (t->h);
  unsigned most = 0;
  for (guint i = 0; i < all->len; i++)
    {
      const hst_arrival_t *a = &g_array_index (all, hst_arrival_t, i);
      if (a->upstream == upstream && a->at >= from && a->at < to)
        most
            = MAX (most, lmt_arrivals (t, upstream, a->at, a->at + window_ms));
    }
  return most;
}

double
lmt_excess (const lmt_t *t, size_t upstream, double per_s, clk_ms_t from)
{
  double allowed
      = LMT_FACTOR * per_s * (double)LMT_WINDOW_MS / CLK_SECOND + LMT_SLACK;
  return lmt_most (t, upstream, LMT_WINDOW_MS, from, CLK_NEVER) - allowed;
}

double
lmt_used (const lmt_t *t, size_t upstream, double per_s, clk_ms_t from)
{
  clk_ms_t now = hst_now (t->h);
  return lmt_arrivals (t, upstream, from, now)
         / (per_s * (double)(now - from) / CLK_SECOND);
}

lmt_counts_t
lmt_count (const lmt_t *t, clk_ms_t from, clk_ms_t to)
{
  lmt_counts_t c = { 0 };
  GHashTable *back = g_hash_table_new (g_direct_hash, g_direct_equal);
  for (guint i = 0; i < t->requests->len; i++)
    {
      const lmt_request_t *q = &g_array_index (t->requests, lmt_request_t, i);
      const hst_response_t *r = hst_response (t->h, q->caller);
      if (q->sent_at < from || q->sent_at >= to)
        continue;
      c.asked++;
      c.served += r->status == 200 && r->ended && !r->aborted;
      if (r->status != 503)
        continue;
      c.refused++;
      c.refused_max_ms = clk_max (c.refused_max_ms, r->ended_at - q->sent_at);
      c.retry_max_ms = clk_max (c.retry_max_ms, r->retry_after_ms);
      c.without_retry += r->retry_after_ms <= 0;
      clk_ms_t at = (r->ended_at + r->retry_after_ms) / LMT_SAME_MS;
      g_hash_table_add (back, GINT_TO_POINTER ((gint)at));
    }
  c.retry_distinct = g_hash_table_size (back);
  g_hash_table_unref (back);
  return c;
}

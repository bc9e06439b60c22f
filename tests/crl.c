#include "crl.h"

#include <string.h>
#include <talloc.h>

/* Time between two draws of whether a caller sends a request. */
#define CRL_STEP_MS 5
/* Time within which refused callers come back at the same moment. */
#define CRL_SAME_MS 10

crl_t *
crl_setup (const hst_desc_t *desc, uint32_t seed)
{
  crl_t *t = g_new0 (crl_t, 1);
  hst_desc_t full = *desc;
  full.load_reports = true;
  full.resumable = true;
  t->h = hst_fleet (&full);
  t->rand = g_rand_new_with_seed (seed);
  t->entries = desc->entries == 0 ? 2 : desc->entries;
  t->entry_only = HST_MAX;
  t->requests = g_array_new (FALSE, FALSE, sizeof (crl_request_t));
  return t;
}

void
crl_shutdown (crl_t *t)
{
  hst_shutdown (t->h);
  g_rand_free (t->rand);
  g_array_unref (t->requests);
  g_free (t);
}

size_t
crl_kind_add (crl_t *t, const crl_kind_t *kind)
{
  t->kinds[t->kind_count] = *kind;
  return t->kind_count++;
}

/* The entry VM that gets the next request; HST_MAX: none runs. */
static size_t
_crl_entry (const crl_t *t)
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
_crl_send (crl_t *t, size_t kind)
{
  const crl_kind_t *k = &t->kinds[kind];
  size_t vm = _crl_entry (t);
  if (vm == HST_MAX)
    return;
  char id[32];
  g_snprintf (id, sizeof id, "%s-%u", k->id, ++t->sequence);
  crl_request_t request
      = { .caller = hst_prompt (t->h, vm, id, k->body != NULL ? k->body : id,
                                k->parts, k->part_count),
          .kind = kind,
          .sent_at = hst_now (t->h) };
  g_array_append_val (t->requests, request);
}

void
crl_run (crl_t *t, clk_ms_t ms)
{
  clk_ms_t end = hst_now (t->h) + ms;
  while (hst_now (t->h) < end)
    {
      for (size_t i = 0; i < t->kind_count; i++)
        if (g_rand_double (t->rand)
            < t->kinds[i].per_s * CRL_STEP_MS / CLK_SECOND)
          _crl_send (t, i);
      hst_advance (t->h, CRL_STEP_MS);
    }
}

unsigned
crl_ended (const crl_t *t)
{
  return hst_ends (t->h)->len;
}

clk_ms_t
crl_ended_at (const crl_t *t, unsigned n)
{
  const GArray *ends = hst_ends (t->h);
  return n == 0 || n > ends->len ? CLK_NEVER
                                 : g_array_index (ends, hst_end_t, n - 1).at;
}

unsigned
crl_sent (const crl_t *t, const char *id, clk_ms_t from)
{
  const GArray *all = hst_arrivals (t->h);
  unsigned n = 0;
  for (guint i = 0; i < all->len; i++)
    {
      const hst_arrival_t *a = &g_array_index (all, hst_arrival_t, i);
      n += a->at >= from && g_str_has_prefix (a->id, id);
    }
  return n;
}

/* Adds the outcome R of the request Q to C. */
static void
_crl_outcome_add (crl_counts_t *c, const crl_request_t *q,
                  const hst_response_t *r)
{
  c->asked++;
  c->begun += r->status == 200;
  c->served += r->status == 200 && r->ended && !r->aborted;
  c->failed += r->status == 502 || r->status == 504 || r->aborted;
  c->denied += r->status >= 400 && r->status < 500;
  if (r->status != 503)
    return;
  c->refused++;
  c->refused_max_ms = clk_max (c->refused_max_ms, r->ended_at - q->sent_at);
  c->without_retry += r->retry_after_ms <= 0;
}

crl_counts_t
crl_count (const crl_t *t, size_t kind, clk_ms_t from, clk_ms_t to)
{
  crl_counts_t c = { 0 };
  GHashTable *back = g_hash_table_new (g_direct_hash, g_direct_equal);
  for (guint i = 0; i < t->requests->len; i++)
    {
      const crl_request_t *q = &g_array_index (t->requests, crl_request_t, i);
      const hst_response_t *r = hst_response (t->h, q->caller);
      if (q->kind != kind || q->sent_at < from || q->sent_at >= to)
        continue;
      _crl_outcome_add (&c, q, r);
      clk_ms_t at = (r->ended_at + r->retry_after_ms) / CRL_SAME_MS;
      if (r->status == 503)
        g_hash_table_add (back, GINT_TO_POINTER ((gint)at));
    }
  c.retry_distinct = g_hash_table_size (back);
  g_hash_table_unref (back);
  return c;
}

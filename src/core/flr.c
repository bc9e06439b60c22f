#include "core/flr.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/** Weight at NOW of a response that was counted at AT. */
static double
_flr_decay (clk_ms_t at, clk_ms_t now)
{
  if (now <= at)
    return 1;
  return exp (-(double)(now - at) / (double)FLR_DECAY_MS);
}

/** Moves C to NOW and drops customers without weight. */
static void
_flr_advance (flr_counts_t *c, clk_ms_t now)
{
  double decay = _flr_decay (c->at, now);
  size_t kept = 0;
  c->failed *= decay;
  c->good *= decay;
  c->at = clk_max (c->at, now);
  for (size_t i = 0; i < c->customer_count; i++)
    {
      flr_customer_t customer = c->customers[i];
      customer.failed *= decay;
      if (customer.failed >= FLR_FAILED_MIN / 2)
        c->customers[kept++] = customer;
    }
  c->customer_count = kept;
}

/** Adds FAILED to the weight of CUSTOMER.  Without a free entry it takes the
 * place of the customer with the least weight, if that is less. */
static void
_flr_customer_add (flr_counts_t *c, uint64_t customer, double failed)
{
  flr_customer_t *least = &c->customers[0];
  for (size_t i = 0; i < c->customer_count; i++)
    {
      if (c->customers[i].customer == customer)
        {
          c->customers[i].failed += failed;
          return;
        }
      if (c->customers[i].failed < least->failed)
        least = &c->customers[i];
    }
  if (c->customer_count < FLR_CUSTOMERS)
    least = &c->customers[c->customer_count++];
  else if (least->failed >= failed)
    return;
  *least = (flr_customer_t){ .customer = customer, .failed = failed };
}

void
flr_add (flr_counts_t *c, uint64_t customer, bool failed, clk_ms_t now)
{
  _flr_advance (c, now);
  c->newest_at = c->at;
  if (!failed)
    {
      c->good = fmin (c->good + 1, FLR_COUNT_MAX);
      return;
    }
  c->failed = fmin (c->failed + 1, FLR_COUNT_MAX);
  _flr_customer_add (c, customer, 1);
}

void
flr_merge (flr_counts_t *c, const flr_counts_t *other, clk_ms_t now)
{
  flr_counts_t o = *other;
  _flr_advance (c, now);
  _flr_advance (&o, c->at);
  c->failed = fmin (c->failed + o.failed, FLR_COUNT_MAX);
  c->good = fmin (c->good + o.good, FLR_COUNT_MAX);
  c->newest_at = clk_max (c->newest_at, o.newest_at);
  for (size_t i = 0; i < o.customer_count; i++)
    _flr_customer_add (c, o.customers[i].customer, o.customers[i].failed);
}

bool
flr_has_failures (const flr_counts_t *c, clk_ms_t now)
{
  return c->failed * _flr_decay (c->at, now) >= FLR_FAILED_MIN;
}

bool
flr_is_sound (const flr_counts_t *c)
{
  if (!(c->failed >= 0 && c->failed <= FLR_COUNT_MAX && c->good >= 0
        && c->good <= FLR_COUNT_MAX)
      || c->customer_count > FLR_CUSTOMERS)
    return false;
  double sum = 0;
  for (size_t i = 0; i < c->customer_count; i++)
    {
      if (!(c->customers[i].failed >= 0))
        return false;
      sum += c->customers[i].failed;
    }
  /* Each part may have been rounded up when it was sent. */
  return sum <= c->failed + 0.01 * FLR_CUSTOMERS;
}

/** The estimate by the weights of C, whose customers are those that count. */
static flr_estimate_t
_flr_estimate (const flr_counts_t *c, clk_ms_t now)
{
  double sum = 0;
  double largest = 0;
  flr_estimate_t e = { .weight = c->failed + c->good,
                       .age_ms = clk_max (now - c->newest_at, 0) };
  for (size_t i = 0; i < c->customer_count; i++)
    {
      double failed = fmin (c->customers[i].failed, FLR_CUSTOMER_MAX);
      sum += failed;
      largest = fmax (largest, failed);
      e.customers += c->customers[i].failed >= FLR_FAILED_MIN;
    }
  double failed = sum - largest + fmin (largest, sum - largest);
  e.share = failed / (failed + c->good + FLR_PRIOR);
  e.supported = e.customers >= FLR_CUSTOMERS_MIN;
  return e;
}

flr_estimate_t
flr_estimate (const flr_counts_t *c, clk_ms_t now)
{
  flr_counts_t n = *c;
  _flr_advance (&n, now);
  return _flr_estimate (&n, now);
}

/** Number of the N candidates of V at which each customer has failures: hash
 * to number. */
static GHashTable *
_flr_customers_spread (const flr_candidate_t *v, size_t n)
{
  GHashTable *spread = g_hash_table_new (g_int64_hash, g_int64_equal);
  for (size_t i = 0; i < n; i++)
    for (size_t k = 0; k < v[i].counts.customer_count; k++)
      {
        const flr_customer_t *c = &v[i].counts.customers[k];
        guint count
            = GPOINTER_TO_UINT (g_hash_table_lookup (spread, &c->customer));
        if (c->failed >= FLR_FAILED_MIN)
          g_hash_table_insert (spread, (gpointer)&c->customer,
                               GUINT_TO_POINTER (count + 1));
      }
  return spread;
}

/** C without the customers that have failures at more than MOST candidates. */
static flr_counts_t
_flr_local_counts (const flr_counts_t *c, GHashTable *spread, size_t most)
{
  flr_counts_t local = *c;
  local.customer_count = 0;
  for (size_t i = 0; i < c->customer_count; i++)
    if (GPOINTER_TO_UINT (
            g_hash_table_lookup (spread, &c->customers[i].customer))
        <= most)
      local.customers[local.customer_count++] = c->customers[i];
  return local;
}

/** Orders candidates by share, the largest first. */
static int
_flr_candidate_compare (const void *a, const void *b)
{
  const flr_candidate_t *x = *(flr_candidate_t *const *)a;
  const flr_candidate_t *y = *(flr_candidate_t *const *)b;
  if (x->estimate.share != y->estimate.share)
    return x->estimate.share > y->estimate.share ? -1 : 1;
  return x->order < y->order ? -1 : x->order > y->order;
}

/** The customer with the largest weight of failures at the candidates of
 * SORTED from FROM on; 0: none. */
static uint64_t
_flr_main_customer (const GPtrArray *sorted, guint from)
{
  GHashTable *sums
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  uint64_t main = 0;
  double most = 0;
  for (guint i = from; i < sorted->len; i++)
    {
      const flr_candidate_t *v = g_ptr_array_index (sorted, i);
      for (size_t k = 0; k < v->counts.customer_count; k++)
        {
          const flr_customer_t *c = &v->counts.customers[k];
          double *sum = g_hash_table_lookup (sums, &c->customer);
          if (sum == NULL)
            {
              sum = g_new0 (double, 1);
              g_hash_table_insert (sums, (gpointer)&c->customer, sum);
            }
          *sum += c->failed;
          if (*sum <= most)
            continue;
          most = *sum;
          main = c->customer;
        }
    }
  g_hash_table_destroy (sums);
  return main;
}

/** Weight of V's failures without those of CUSTOMER. */
static double
_flr_failed_without (const flr_candidate_t *v, uint64_t customer)
{
  double failed = v->counts.failed;
  for (size_t i = 0; i < v->counts.customer_count; i++)
    if (v->counts.customers[i].customer == customer)
      failed -= v->counts.customers[i].failed;
  return fmax (failed, 0);
}

/** The usual share: the mean over the candidates of SORTED from FROM on,
 * without the customer that has the most failures there; 1 if more than half
 * of all candidates have failures.  All other customers count, also those that
 * fail at many upstreams: when all upstreams fail alike, each customer does.
 */
static double
_flr_usual_share (const GPtrArray *sorted, guint from)
{
  uint64_t main = _flr_main_customer (sorted, from);
  double sum = 0;
  guint failing = 0;
  for (guint i = 0; i < sorted->len; i++)
    {
      const flr_candidate_t *v = g_ptr_array_index (sorted, i);
      double failed = _flr_failed_without (v, main);
      failing += failed >= FLR_FAILED_MIN;
      if (i >= from)
        sum += failed / (failed + v->counts.good + FLR_PRIOR);
    }
  return 2 * failing > sorted->len ? 1 : sum / (sorted->len - from);
}

/** Gives the first candidates of SORTED an excess, at most MOST of them. */
static void
_flr_excess_fill (const GPtrArray *sorted, guint most)
{
  double usual = FLR_USUAL_FACTOR * _flr_usual_share (sorted, most);
  for (guint i = 0, left = most; i < sorted->len && left > 0; i++)
    {
      flr_candidate_t *c = g_ptr_array_index (sorted, i);
      if (!c->estimate.supported || c->estimate.share <= usual)
        continue;
      c->excess = c->estimate.share - usual;
      left--;
    }
}

void
flr_compare (flr_candidate_t *v, size_t n, clk_ms_t now)
{
  size_t most = n / FLR_AVOIDED_PART;
  GPtrArray *sorted = g_ptr_array_sized_new ((guint)n);
  for (size_t i = 0; i < n; i++)
    _flr_advance (&v[i].counts, now);
  GHashTable *spread = _flr_customers_spread (v, n);
  for (size_t i = 0; i < n; i++)
    {
      flr_counts_t local = _flr_local_counts (&v[i].counts, spread, most);
      v[i].estimate = _flr_estimate (&local, now);
      v[i].excess = 0;
      g_ptr_array_add (sorted, &v[i]);
    }
  g_ptr_array_sort (sorted, _flr_candidate_compare);
  if (most > 0)
    _flr_excess_fill (sorted, (guint)most);
  g_ptr_array_free (sorted, TRUE);
  g_hash_table_destroy (spread);
}

#include "core/lod.h"

#include <math.h>

/** Age from which a count is not used: as for the choice without
 * statements. */
#define LOD_COUNTED_TTL_MS (2 * CLK_SECOND)
/** Age from which a statement is not used. */
#define LOD_STATED_TTL_MS (2 * CLK_SECOND)
/** Time constant with which a momentary pace is forgotten.  It changes several
 * times a second. */
#define LOD_PACE_DECAY_MS 150.0
/** Largest number of other VMs that are assumed to have made the same choices
 * as this one since the last word, as for the choice without statements. */
#define LOD_DRIFT_VMS_MAX 7
/** Standard deviation of a load that has just been learned, in requests:
 * messages and requests are on their way. */
#define LOD_DEVIATION 0.7
/** A statement is contradicted if it states less than this part of the
 * requests that the counts lead one to expect, and LOD_SLACK fewer. */
#define LOD_CONTRADICTED_PART 0.5
#define LOD_SLACK 2.0
/** Statements in a row that are contradicted until none is used for
 * LOD_DISTRUST_MS: one or two may be due to requests that ended together. */
#define LOD_CONTRADICTIONS_MAX 3
#define LOD_DISTRUST_MS (10 * CLK_SECOND)
/** Expected drain of an upstream without a free slot, in slots. */
#define LOD_DRAIN_MIN 0.25

void
lod_counted (lod_t *l, uint32_t others, uint32_t own, clk_ms_t at)
{
  if (l->counted.at == 0 || at >= l->counted.at)
    l->counted
        = (lod_word_t){ .others = others, .own = own, .at = clk_max (at, 1) };
}

/** Whether the counts show that SAID is too low: the requests that were
 * counted cannot have ended faster than requests do. */
static bool
_lod_is_contradicted (const lod_t *l, const lod_said_t *said)
{
  double expected = said->own;
  clk_ms_t age = said->at - l->counted.at;
  if (l->counted.at > 0 && age < LOD_COUNTED_TTL_MS)
    expected += l->counted.others
                * exp (-(double)clk_max (age, 0) / fmax (said->busy_ms, 1));
  return said->total < LOD_CONTRADICTED_PART * expected
         && said->total + LOD_SLACK < expected;
}

lod_taken_t
lod_stated (lod_t *l, const lod_said_t *said, clk_ms_t now)
{
  if (said->at < l->stated.at)
    return LOD_OLDER;
  if (_lod_is_contradicted (l, said))
    {
      if (++l->contradictions < LOD_CONTRADICTIONS_MAX)
        return LOD_CONTRADICTED;
      l->contradictions = 0;
      l->distrusted_until = now + LOD_DISTRUST_MS;
      return LOD_DISTRUSTED;
    }
  l->contradictions = 0;
  l->stated.others = said->total > said->own ? said->total - said->own : 0;
  l->stated.own = said->own;
  l->stated.at = clk_max (said->at, 1);
  if (said->pace > 0)
    {
      l->pace = said->pace;
      l->pace_at = l->stated.at;
    }
  return LOD_TAKEN;
}

/** The newest word that may be used; NULL: none. */
static const lod_word_t *
_lod_newest (const lod_t *l, clk_ms_t now, const lod_rules_t *rules,
             lod_source_t *source)
{
  bool counted = l->counted.at > 0 && now - l->counted.at < LOD_COUNTED_TTL_MS;
  bool stated = l->stated.at > 0 && now - l->stated.at < LOD_STATED_TTL_MS
                && now >= l->distrusted_until && !rules->no_statements;
  *source = LOD_NONE;
  if (stated && (!counted || l->stated.at > l->counted.at))
    *source = LOD_STATED;
  else if (counted)
    *source = LOD_COUNTED;
  if (*source == LOD_NONE)
    return NULL;
  return *source == LOD_STATED ? &l->stated : &l->counted;
}

uint32_t
lod_others (const lod_t *l, clk_ms_t now, const lod_rules_t *rules,
            lod_source_t *source)
{
  const lod_word_t *word = _lod_newest (l, now, rules, source);
  return word == NULL ? 0 : word->others;
}

lod_estimate_t
lod_estimate (const lod_t *l, const lod_query_t *query)
{
  lod_estimate_t e = { .load = query->own, .pace = 1 };
  const lod_rules_t *rules = query->rules;
  const lod_word_t *word = _lod_newest (l, query->now, rules, &e.source);
  if (l->pace_at > 0 && !rules->no_statements
      && query->now >= l->distrusted_until)
    e.pace
        = 1
          + (l->pace - 1)
                * exp (-(double)(query->now - l->pace_at) / LOD_PACE_DECAY_MS);
  if (word == NULL)
    return e;
  e.age = clk_max (query->now - word->at, 0);
  double kept = exp (-(double)e.age / fmax (query->busy_ms, 1));
  double others = word->others;
  if (!rules->no_forgetting)
    others = query->mean + (others - query->mean) * kept;
  /* Other VMs have had similar news, so they have probably made similar
   * choices. */
  others += fmin (query->users, LOD_DRIFT_VMS_MAX)
            * ((double)query->own - word->own);
  others = fmax (others, 0);
  e.load += others;
  /* Requests end and begin independently of each other: what is left of the
   * word is as certain as the word, the rest varies as a Poisson number
   * does. */
  if (!rules->no_deviation)
    e.deviation = sqrt (LOD_DEVIATION * LOD_DEVIATION
                        + fmax (others, 0) * (1 - kept * kept));
  return e;
}

double
lod_queued (double load, double deviation, uint32_t slots)
{
  double over = load - slots + 1;
  if (deviation <= 0)
    return fmax (over, 0);
  /* The mean of the positive part of a normal variable. */
  double z = over / deviation;
  double density = exp (-z * z / 2) / sqrt (2 * M_PI);
  return deviation * density + over * erfc (-z / M_SQRT2) / 2;
}

double
lod_drain (double load, uint32_t slots, double slowness)
{
  return fmax (slots - load, LOD_DRAIN_MIN) / fmax (slowness, 0.1);
}

/** The cheapest of K candidates of each data centre side at random. */
static size_t
_lod_sampled (const lod_candidate_t *v, size_t n, size_t k, GRand *rand)
{
  size_t best = n;
  for (int near = 0; near < 2; near++)
    {
      size_t left = 0;
      for (size_t i = 0; i < n; i++)
        left += v[i].near == (near != 0);
      size_t need = k < left ? k : left;
      for (size_t i = 0; i < n && need > 0; i++)
        {
          if (v[i].near != (near != 0))
            continue;
          /* Each subset of the size that is needed is equally probable. */
          if ((size_t)g_rand_int_range (rand, 0, (gint32)left--) >= need)
            continue;
          need--;
          if (best == n || v[i].cost_ms < v[best].cost_ms)
            best = i;
        }
    }
  return best;
}

static size_t
_lod_least (const lod_candidate_t *v, size_t n)
{
  size_t best = 0;
  for (size_t i = 1; i < n; i++)
    if (v[i].cost_ms < v[best].cost_ms)
      best = i;
  return best;
}

static double
_lod_weight (const lod_candidate_t *c, double least_ms, double temper_ms)
{
  return c->drain * exp ((least_ms - c->cost_ms) / temper_ms);
}

static size_t
_lod_drawn (const lod_candidate_t *v, size_t n, double temper_ms, GRand *rand)
{
  double least = v[_lod_least (v, n)].cost_ms;
  double sum = 0;
  for (size_t i = 0; i < n; i++)
    sum += _lod_weight (&v[i], least, temper_ms);
  double x = g_rand_double (rand) * sum;
  for (size_t i = 0; i + 1 < n; i++)
    {
      x -= _lod_weight (&v[i], least, temper_ms);
      if (x < 0)
        return i;
    }
  return n - 1;
}

size_t
lod_choose (const lod_candidate_t *v, size_t n, const lod_rules_t *rules,
            GRand *rand)
{
  switch (rules->choice)
    {
    case LOD_LEAST:
      return _lod_least (v, n);
    case LOD_TWO:
      return _lod_sampled (v, n, 2, rand);
    case LOD_THREE:
      return _lod_sampled (v, n, 3, rand);
    case LOD_DRAIN:
      break;
    }
  return _lod_drawn (
      v, n, rules->temper_ms > 0 ? rules->temper_ms : LOD_TEMPER_MS, rand);
}

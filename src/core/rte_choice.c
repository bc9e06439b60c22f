/** @file
 * Router: the choice among the upstreams of a deployment.
 */
#include "core/inv.h"
#include "core/rte_int.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/** Age from which the poller's sum of other VMs' requests is ignored. */
#define RTE_OTHERS_TTL_MS (2 * CLK_SECOND)
/** Age of a load report from which its hidden requests are ignored. */
#define RTE_HIDDEN_TTL_MS (2 * CLK_SECOND)
/** Maximum number of other VMs that are assumed to have made the same choices
 * as this one since the last update. */
#define RTE_DRIFT_VMS_MAX 7
/** Time constant with which slowness decays to 1 without new responses. */
#define RTE_SLOWNESS_DECAY_MS (10 * CLK_SECOND)
/** When the oldest unanswered request of an upstream is older than this factor
 * times its expected time to first byte, plus the time of a cache miss, its
 * age becomes a lower bound of the expected wait there. */
#define RTE_LATE_FACTOR 2.0
/** Part of the extra cost of a cache miss that is not charged at a prefix's
 * home upstream.  So VMs that do not know each other's choices prefer the
 * same upstream for a prefix. */
#define RTE_HOME_SHARE 0.25
/** Added cost, for a batch request, of an upstream in another data centre: a
 * cut ends such a request, but another upstream resumes it. */
#define RTE_BATCH_DISTANCE_MS 4.0
/** Added cost of an upstream that names a limit: what it takes is saved up
 * while others have room.  A cold upstream that names none is used as others
 * are, since its tokens bound what it gets and lapse unless they are used. */
#define RTE_LIMITED_MS 50.0
/** By which one is preferred that has more than is saved up: it lapses unless
 * it is used, and only answers show that a limit has ended. */
#define RTE_SPARE_MS 20.0
/** Largest number of upstreams without room by their limits among which a
 * choice remembers those that it would have preferred. */
#define RTE_PASSED_MAX 64
/** Candidates whose costs differ by less count as equal. */
#define RTE_EQUAL_MS 1.0

/** A candidate upstream and its cost. */
typedef struct
{
  rte_upstream_t *upstream;
  double cost_ms;  /**< wait_ms with preferences added; the least wins */
  double wait_ms;  /**< expected time to first byte */
  double slowness; /**< lasting and momentary */
  lod_estimate_t estimate;
  bool prefix_cached;
  bool queued;
  bool spread; /**< the choice spreads requests evenly */
} rte_candidate_t;

/** A choice that spreads requests evenly. */
typedef struct
{
  bool applies;
  double mean;        /**< as in rte_even_estimate */
  GArray *candidates; /**< rte_candidate_t; NULL: it does not apply */
} rte_spread_t;

/** Hidden requests of U, while its last load report is recent. */
static uint32_t
_rte_hidden (const rte_upstream_t *u, clk_ms_t now)
{
  return now - u->report_at < RTE_HIDDEN_TTL_MS ? u->hidden : 0;
}

uint32_t
rte_estimated_load (const rte_upstream_t *u, clk_ms_t now)
{
  uint32_t own = u->online + u->batch;
  if (u->others_at > 0 && now - u->others_at < RTE_OTHERS_TTL_MS)
    {
      /* Other VMs received the same figures, so they have probably made the
       * same choices since. */
      double alike = fmin (fmax (u->vm_count, 1) - 1, RTE_DRIFT_VMS_MAX);
      double drift = alike * ((double)own - (double)u->own_at_update);
      return (uint32_t)fmax (u->others + drift, 0) + own
             + _rte_hidden (u, now);
    }
  if ((u->state & RTE_BIT_REPORTED) == 0)
    return own;
  uint32_t reported = u->running + u->waiting;
  uint32_t others
      = reported > u->own_at_report ? reported - u->own_at_report : 0;
  return others + own;
}

uint32_t
rte_usage_load (const rte_upstream_t *u, clk_ms_t now)
{
  uint32_t load = u->online + u->batch;
  if (u->others_at > 0 && now - u->others_at < RTE_OTHERS_TTL_MS)
    load += u->others;
  return load;
}

uint32_t
rte_known_load (const rte_upstream_t *u, clk_ms_t now)
{
  return rte_usage_load (u, now) + _rte_hidden (u, now);
}

double
rte_slowness (const rte_upstream_t *u, clk_ms_t now)
{
  double age = (double)(now - u->slowness_at);
  return 1 + (u->slowness - 1) * exp (-age / (double)RTE_SLOWNESS_DECAY_MS);
}

bool
rte_usable (const rte_upstream_t *u, clk_ms_t now)
{
  if (!u->configured || rte_gets_nothing_new (u, now))
    return false;
  if (u->health == RTE_WELL)
    return true;
  /* After the time of suspicion, one request at a time tests the upstream. */
  return now >= u->suspect_until && u->online + u->batch == 0;
}

static bool
_rte_avoided (const rte_query_t *query, const rte_upstream_t *u)
{
  if (query->only != NULL)
    return strcmp (query->only, u->name) != 0;
  if (query->version != NULL && g_strcmp0 (query->version, u->version) != 0)
    return true;
  for (size_t i = 0; i < query->avoid_count; i++)
    if (strcmp (query->avoid[i], u->name) == 0)
      return true;
  return false;
}

/** Expected wait before the prefill of a new request begins.  Prefills of an
 * upstream run one after another. */
static double
_rte_queue_ms (const rte_deployment_t *d, double load, double deviation,
               uint32_t slots, uint32_t unanswered)
{
  double mean_prefill = (d->hit_ms + d->miss_ms) / 2;
  double prefills = load * mean_prefill / fmax (d->busy_ms, mean_prefill);
  double prefill_wait = fmax (prefills, unanswered) * mean_prefill;
  if (slots == 0 || (deviation <= 0 && load < slots))
    return prefill_wait;
  return prefill_wait
         + lod_queued (load, deviation, slots) * d->busy_ms / slots;
}

/** The estimate of U's load for a choice; without SPREAD, as it is when none
 * is made evenly. */
static lod_estimate_t
_rte_load_estimate (const rte_t *r, const env_t *env,
                    const rte_deployment_t *d, rte_upstream_t *u,
                    const rte_spread_t *spread)
{
  if (spread->applies)
    return rte_even_estimate (r, env, d, u, spread->mean);
  return (lod_estimate_t){ .load = rte_estimated_load (u, env->now),
                           .pace = 1 };
}

static rte_candidate_t
_rte_cost (const rte_t *r, const env_t *env, const rte_deployment_t *d,
           const rte_query_t *query, rte_upstream_t *u,
           const rte_upstream_t *home, const rte_spread_t *spread)
{
  rte_candidate_t c = { .upstream = u, .spread = spread->applies };
  c.estimate = _rte_load_estimate (r, env, d, u, spread);
  c.slowness = rte_slowness (u, env->now) * c.estimate.pace;
  c.queued = u->slots > 0 && c.estimate.load >= u->slots;
  c.prefix_cached = query->prefix != 0
                    && rte_prefix_index_has (r->prefix_index, query->prefix,
                                             u->id, env->now);
  double queue
      = _rte_queue_ms (d, c.estimate.load, c.estimate.deviation, u->slots,
                       g_queue_get_length ((GQueue *)&u->unanswered));
  double prefill = c.prefix_cached ? d->hit_ms : d->miss_ms;
  c.wait_ms = (queue + prefill) * c.slowness;
  const rte_inflight_t *oldest = g_queue_peek_head ((GQueue *)&u->unanswered);
  if (oldest != NULL)
    {
      double age = (double)(env->now - oldest->sent_at);
      if (age > RTE_LATE_FACTOR * oldest->expected_ms + d->miss_ms)
        c.wait_ms = fmax (c.wait_ms, age);
    }
  if (!u->same_data_centre)
    c.wait_ms
        += query->batch ? RTE_BATCH_DISTANCE_MS : (double)r->desc.distance_ms;
  c.cost_ms = c.wait_ms;
  if (u == home && !c.prefix_cached)
    c.cost_ms -= RTE_HOME_SHARE * (d->miss_ms - d->hit_ms);
  if ((u->state & RTE_BIT_SILENT) != 0)
    c.cost_ms += (double)r->desc.suspect_ms;
  c.cost_ms += rte_failing_cost (query, u, c.queued, env->now);
  if (rte_limit_in_force (r, env, u) != NULL && !rte_cold_alone (r, env, u))
    c.cost_ms
        += rte_limit_has_spare (r, env, u) ? -RTE_SPARE_MS : RTE_LIMITED_MS;
  return c;
}

/** Home upstream of PREFIX: the usable upstream of this VM's subset with the
 * highest rendezvous score. */
static rte_upstream_t *
_rte_home (const rte_deployment_t *d, uint64_t prefix, clk_ms_t now)
{
  rte_upstream_t *home = NULL;
  uint64_t best = 0;
  if (prefix == 0)
    return NULL;
  for (guint i = 0; i < d->upstreams->len; i++)
    {
      rte_upstream_t *u = g_ptr_array_index (d->upstreams, i);
      uint64_t pair[2] = { prefix, u->hash };
      uint64_t score = XXH64 (pair, sizeof pair, 0);
      if (u->in_subset && rte_usable (u, now)
          && (home == NULL || score > best))
        {
          home = u;
          best = score;
        }
    }
  return home;
}

/** Load that decides whether a batch request fits: assumes that one other VM
 * has started as many requests as this VM since the last update.  A few batch
 * requests too many do little harm, since online requests preempt them. */
static uint32_t
_rte_batch_estimated_load (const rte_upstream_t *u, clk_ms_t now)
{
  uint32_t own = u->online + u->batch;
  uint32_t begun = own > u->own_at_update ? own - u->own_at_update : 0;
  return rte_known_load (u, now) + begun;
}

/** Whether this VM knows the requests of the other VMs at U: it polls U, or
 * the poller has told it recently. */
static bool
_rte_load_is_known (const rte_upstream_t *u, clk_ms_t now)
{
  return u->poll != NULL
         || (u->others_at > 0 && now - u->others_at < RTE_OTHERS_TTL_MS);
}

/** Whether U has no room for QUERY.  A batch request needs a slot that is
 * known to be free: a VM that was cut off knows of no load elsewhere, and its
 * items would wait ahead of online requests there. */
static bool
_rte_full (const rte_t *r, const env_t *env, const rte_query_t *query,
           const rte_upstream_t *u)
{
  if (u->slots == 0)
    return false;
  if (query->reserved_slots > 0)
    return !_rte_load_is_known (u, env->now)
           || _rte_batch_estimated_load (u, env->now) + query->reserved_slots
                  >= u->slots;
  return query->skip_full
         && rte_known_load (u, env->now) >= u->slots + r->desc.queue_max;
}

/** Whether QUERY leaves U's room to other VMs. */
static bool
_rte_yields (const env_t *env, const rte_query_t *query,
             const rte_upstream_t *u)
{
  return query->yields && u->others_want
         && env->now - u->others_at < RTE_OTHERS_TTL_MS;
}

/** Whether U has room for QUERY; if not, PICK tells why. */
static bool
_rte_has_room (const rte_t *r, const env_t *env, const rte_query_t *query,
               const rte_upstream_t *u, rte_pick_t *pick)
{
  bool full = _rte_full (r, env, query, u);
  if (!full && !_rte_yields (env, query, u))
    return true;
  pick->full = true;
  pick->yielded = pick->yielded || !full;
  return false;
}

/** Asks for a token of PASSED, which has none, if it would have been preferred
 * to BEST; for one that is not saved up if it would be preferred with that. */
static void
_rte_passed_want (rte_t *r, env_t *env, const rte_query_t *query,
                  const rte_candidate_t *passed, const rte_candidate_t *best)
{
  double spare_ms = passed->cost_ms - RTE_LIMITED_MS - RTE_SPARE_MS;
  if (best->upstream == NULL || passed->cost_ms < best->cost_ms)
    rte_limit_want (r, env, passed->upstream, query);
  else if (!query->batch && spare_ms < best->cost_ms
           && !rte_cold_alone (r, env, passed->upstream))
    rte_limit_want_spare (r, env, passed->upstream);
}

/** One of the candidates of SPREAD, which is freed; no upstream: there are
 * none. */
static rte_candidate_t
_rte_spread_choose (const rte_t *r, const env_t *env, rte_spread_t *spread)
{
  rte_candidate_t best = { .upstream = NULL };
  guint n = spread->candidates->len;
  lod_candidate_t *v = g_new (lod_candidate_t, n + 1);
  for (guint i = 0; i < n; i++)
    {
      const rte_candidate_t *c
          = &g_array_index (spread->candidates, rte_candidate_t, i);
      v[i] = (lod_candidate_t){
        .cost_ms = c->cost_ms,
        .drain = lod_drain (c->estimate.load, c->upstream->slots, c->slowness),
        .near = c->upstream->same_data_centre
      };
    }
  if (n > 0)
    best = g_array_index (spread->candidates, rte_candidate_t,
                          lod_choose (v, n, &r->desc.even_rules, env->rand));
  g_free (v);
  g_array_free (spread->candidates, TRUE);
  return best;
}

/** The choice among D's upstreams by estimates, if it applies. */
static rte_spread_t
_rte_spread_begin (const rte_t *r, const env_t *env, const rte_deployment_t *d)
{
  if (!rte_even_applies (r, env, d))
    return (rte_spread_t){ .applies = false };
  return (rte_spread_t){ .applies = true,
                         .mean = rte_even_mean (r, env, d),
                         .candidates = g_array_new (
                             FALSE, FALSE, sizeof (rte_candidate_t)) };
}

/** Whether U is to be considered for QUERY.  SUSPECTS: suspected upstreams
 * are, but only those without an in-flight request of this VM.  PICK tells if
 * U is excluded as full. */
static bool
_rte_may_get (const rte_t *r, const env_t *env, const rte_query_t *query,
              const rte_upstream_t *u, bool suspects, rte_pick_t *pick)
{
  bool any_place = query->only != NULL || query->version != NULL;
  if ((!u->in_subset && !any_place) || _rte_avoided (query, u))
    return false;
  bool usable = rte_usable (u, env->now);
  if (suspects)
    usable = u->configured && !rte_gets_nothing_new (u, env->now)
             && u->online + u->batch == 0;
  if (!usable)
    return false;
  return _rte_has_room (r, env, query, u, pick);
}

/** The cheapest upstream of D, or if its requests are spread evenly, one at
 * random that falls to it (lod_choose); ties are broken at random.  SUSPECTS:
 * considers suspected upstreams too, but only those without an in-flight
 * request of this VM.  PICK tells when an upstream is excluded as full, or by
 * its limit.  Tokens are asked for where one would have been preferred. */
static rte_candidate_t
_rte_choose (rte_t *r, env_t *env, rte_deployment_t *d,
             const rte_query_t *query, bool suspects, rte_pick_t *pick)
{
  rte_candidate_t best = { .upstream = NULL };
  unsigned equal = 0;
  rte_candidate_t passed[RTE_PASSED_MAX];
  size_t passed_count = 0;
  const rte_upstream_t *home = _rte_home (d, query->prefix, env->now);
  rte_spread_t spread = _rte_spread_begin (r, env, d);
  for (guint i = 0; i < d->upstreams->len; i++)
    {
      rte_upstream_t *u = g_ptr_array_index (d->upstreams, i);
      if (!_rte_may_get (r, env, query, u, suspects, pick))
        continue;
      rte_candidate_t c = _rte_cost (r, env, d, query, u, home, &spread);
      if (!rte_limit_admits (r, env, u, query))
        {
          rte_limit_turn_add (r, env, u, query, pick);
          if (passed_count < RTE_PASSED_MAX)
            passed[passed_count++] = c;
          continue;
        }
      if (spread.applies)
        g_array_append_val (spread.candidates, c);
      else if (best.upstream == NULL
               || c.cost_ms < best.cost_ms - RTE_EQUAL_MS)
        {
          best = c;
          equal = 1;
        }
      else if (c.cost_ms < best.cost_ms + RTE_EQUAL_MS
               && g_rand_int_range (env->rand, 0, (gint32)++equal) == 0)
        best = c;
    }
  if (spread.applies)
    best = _rte_spread_choose (r, env, &spread);
  if (spread.applies && best.upstream != NULL)
    rte_even_note (r, env, d, spread.mean, &best.estimate);
  for (size_t i = 0; i < passed_count; i++)
    _rte_passed_want (r, env, query, &passed[i], &best);
  return best;
}

static uint64_t
_rte_inflight_begin (rte_t *r, env_t *env, rte_deployment_t *d,
                     const rte_query_t *query, const rte_candidate_t *c)
{
  tbl_id_t id = tbl_alloc (r->in_flight);
  rte_inflight_t *f = tbl_get (r->in_flight, id);
  if (f == NULL)
    return 0;
  rte_upstream_t *u = c->upstream;
  *f = (rte_inflight_t){ .id = id,
                         .upstream = u->id,
                         .deployment = d,
                         .sent_at = env->now,
                         .expected_ms = c->wait_ms,
                         .expected_pace = c->spread ? c->estimate.pace : 0,
                         .prefix = query->prefix,
                         .prefix_cached = c->prefix_cached,
                         .batch = query->batch,
                         .queued = c->queued,
                         .crash = query->crash };
  g_queue_push_tail (&u->unanswered, f);
  f->unanswered = u->unanswered.tail;
  if (query->batch)
    u->batch++;
  else
    u->online++;
  rte_limit_charge (r, env, u, query);
  rte_failing_picked (env, query, u);
  rte_health_lapse (r, u, env->now);
  u->queued += c->queued;
  r->picked_at = env->now;
  rte_load_changed (r, u);
  rte_exchange_wake (r, env);
  if (query->prefix != 0)
    rte_prefix_index_add (r->prefix_index, query->prefix, u->id, env->now);
  return id.id;
}

/** Records why no upstream of D could be picked. */
static void
_rte_none_record (env_t *env, const rte_deployment_t *d)
{
  unsigned evacuated = 0;
  unsigned leaving = 0;
  unsigned suspected = 0;
  for (guint i = 0; i < d->upstreams->len; i++)
    {
      const rte_upstream_t *u = g_ptr_array_index (d->upstreams, i);
      if (u->evacuated)
        evacuated++;
      else if (rte_gets_nothing_new (u, env->now))
        leaving++;
      else if (u->health != RTE_WELL)
        suspected++;
    }
  tln_record (env->tln, env->now, MOD_ROUTE, "none",
              "deployment=%s listed=%u leaving=%u suspected=%u evacuated=%u",
              d->name, d->upstreams->len, leaving, suspected, evacuated);
}

bool
rte_pick (rte_t *r, env_t *env, const rte_query_t *query, rte_pick_t *pick)
{
  rte_deployment_t *d
      = g_hash_table_lookup (r->deployments, query->deployment);
  *pick = (rte_pick_t){ .full = false };
  if (d == NULL)
    return false;
  rte_failing_update (r, env, d);
  rte_candidate_t c = _rte_choose (r, env, d, query, false, pick);
  if (c.upstream == NULL && (pick->full || pick->limited))
    {
      /* A batch request may lack a report on the load. */
      if (query->batch && pick->full)
        rte_exchange_wake (r, env);
      return false;
    }
  if (c.upstream == NULL)
    {
      c = _rte_choose (r, env, d, query, true, pick);
      cnt_add (env->cnt, "rts_route_suspects_tried_total", "", 1);
    }
  if (c.upstream == NULL)
    {
      cnt_add (env->cnt, "rts_route_none_total", "", 1);
      *pick = (rte_pick_t){ .full = false };
      /* A batch request is tried again with each event. */
      if (!query->batch)
        _rte_none_record (env, d);
      return false;
    }
  rte_upstream_t *u = c.upstream;
  INV_CHECK (!rte_gets_nothing_new (u, env->now), "route-leaving-gets-nothing",
             "upstream %s", u->name);
  *pick = (rte_pick_t){ .handle = _rte_inflight_begin (r, env, d, query, &c),
                        .upstream = u->name,
                        .address = u->address,
                        .fixed_identity = u->fixed_identity,
                        .version = u->version,
                        .wait_ms = (clk_ms_t)c.wait_ms };
  if (!query->batch && u->slots > 0
      && rte_known_load (u, env->now) >= u->slots)
    rte_preempt (r, env, u);
  if (!u->same_data_centre)
    cnt_add (env->cnt, "rts_route_far_total", "", 1);
  cnt_add (env->cnt, "rts_route_picks_total",
           c.prefix_cached ? "prefix=\"held\"" : "prefix=\"new\"", 1);
  return pick->handle != 0;
}

void
rte_batch_wants (rte_t *r, const char *deployment)
{
  r->wants = deployment == NULL
                 ? NULL
                 : g_hash_table_lookup (r->deployments, deployment);
}

rte_occupancy_t
rte_occupancy (const rte_t *r, const env_t *env, const char *upstream)
{
  const rte_upstream_t *u = g_hash_table_lookup (r->by_name, upstream);
  if (u == NULL)
    return (rte_occupancy_t){ 0 };
  uint32_t batch = u->batch;
  if (u->others_at > 0 && env->now - u->others_at < RTE_OTHERS_TTL_MS)
    batch += u->others_batch;
  return (rte_occupancy_t){ .slots = u->slots,
                            .load = rte_known_load (u, env->now),
                            .batch = batch,
                            .own_batch = u->batch,
                            .update_count = u->update_count };
}

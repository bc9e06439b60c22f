/** @file
 * Router: setup, the upstreams of the document, and in-flight requests.
 */
#include "core/rte.h"

#include "core/inv.h"
#include "core/rte_int.h"

#include <jansson.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

/* Defaults of rte_desc_t. */
#define RTE_REPORT_MS_DEFAULT 200
#define RTE_EXCHANGE_MS_DEFAULT 100
#define RTE_QUEUE_DEFAULT 2
#define RTE_DISTANCE_MS_DEFAULT 40
#define RTE_SUBSET_DEFAULT 6
#define RTE_PREFIXES_DEFAULT 4096
#define RTE_SUSPECT_MS_DEFAULT 500
#define RTE_SUSPECT_MAX_MS_DEFAULT (15 * CLK_SECOND)

/* Initial means of a deployment, used until responses arrive. */
#define RTE_HIT_MS_FIRST 20.0
#define RTE_MISS_MS_FIRST 80.0
#define RTE_BUSY_MS_FIRST 1000.0

/** Weight of one response in the moving means of a deployment. */
#define RTE_LEARN_WEIGHT 0.05
/** Weight of one response in the slowness of an upstream. */
#define RTE_SLOWNESS_WEIGHT 0.15
/** Maximum slowness of an upstream, and of the ratio of observed to expected
 * time to first byte. */
#define RTE_SLOWNESS_MAX 50.0
/** Age from which a load report no longer counts as current. */
#define RTE_REPORT_STALE_MS (5 * CLK_SECOND)

static int
_rte_destroy (rte_t *r)
{
  for (tbl_id_t id = tbl_next (r->upstreams, (tbl_id_t){ 0 }); id.id != 0;
       id = tbl_next (r->upstreams, id))
    g_queue_clear (
        &((rte_upstream_t *)tbl_get (r->upstreams, id))->unanswered);
  g_hash_table_destroy (r->by_name);
  g_hash_table_destroy (r->deployments);
  g_hash_table_destroy (r->limits);
  g_queue_clear (&r->changed);
  return 0;
}

static void
_rte_deployment_free (void *p)
{
  rte_deployment_t *d = p;
  g_ptr_array_free (d->upstreams, TRUE);
  talloc_free (d);
}

rte_t *
rte_setup (void *ctx, const rte_desc_t *desc)
{
  rte_t *r = talloc_zero (ctx, rte_t);
  r->desc = *desc;
  if (r->desc.report_ms == 0)
    r->desc.report_ms = RTE_REPORT_MS_DEFAULT;
  if (r->desc.exchange_ms == 0)
    r->desc.exchange_ms = RTE_EXCHANGE_MS_DEFAULT;
  if (r->desc.queue_max == 0)
    r->desc.queue_max = RTE_QUEUE_DEFAULT;
  if (r->desc.distance_ms == 0)
    r->desc.distance_ms = RTE_DISTANCE_MS_DEFAULT;
  if (r->desc.subset == 0)
    r->desc.subset = RTE_SUBSET_DEFAULT;
  if (r->desc.prefixes == 0)
    r->desc.prefixes = RTE_PREFIXES_DEFAULT;
  if (r->desc.suspect_ms == 0)
    r->desc.suspect_ms = RTE_SUSPECT_MS_DEFAULT;
  if (r->desc.suspect_max_ms == 0)
    r->desc.suspect_max_ms = RTE_SUSPECT_MAX_MS_DEFAULT;
  r->upstreams
      = tbl_setup (r, &(tbl_desc_t){ .size = sizeof (rte_upstream_t) });
  r->in_flight
      = tbl_setup (r, &(tbl_desc_t){ .size = sizeof (rte_inflight_t) });
  r->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  r->deployments = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                          _rte_deployment_free);
  r->health_chart = rte_health_setup (r);
  r->prefix_index = rte_prefix_index_setup (r, r->desc.prefixes);
  r->leaving_notes = rte_leaving_setup (r);
  r->limits = rte_limits_setup ();
  r->limit_timer_at = CLK_NEVER;
  talloc_set_destructor (r, _rte_destroy);
  g_queue_init (&r->changed);
  return r;
}

void
rte_shutdown (rte_t *r)
{
  talloc_free (r);
}

static rte_deployment_t *
_rte_deployment_get (rte_t *r, const char *name)
{
  rte_deployment_t *d = g_hash_table_lookup (r->deployments, name);
  if (d != NULL)
    return d;
  d = talloc_zero (r, rte_deployment_t);
  d->name = talloc_strdup (d, name);
  d->upstreams = g_ptr_array_new ();
  d->hit_ms = RTE_HIT_MS_FIRST;
  d->miss_ms = RTE_MISS_MS_FIRST;
  d->busy_ms = RTE_BUSY_MS_FIRST;
  d->bias = 1;
  g_hash_table_insert (r->deployments, d->name, d);
  return d;
}

/** Notes that U, which is the same as before, is in data centre NAME. */
static void
_rte_data_centre_set (rte_upstream_t *u, const char *name)
{
  if (strcmp (u->data_centre, name) == 0)
    return;
  talloc_free (u->data_centre);
  u->data_centre = talloc_strdup (u->strings, name);
}

static rte_upstream_t *
_rte_upstream_get (rte_t *r, const cfg_upstream_t *c)
{
  rte_upstream_t *u = g_hash_table_lookup (r->by_name, c->name);
  if (u != NULL && strcmp (u->address, c->address) == 0
      && strcmp (u->deployment, c->deployment) == 0 && u->born == c->born
      && g_strcmp0 (u->version, c->version) == 0)
    {
      _rte_data_centre_set (u, c->data_centre);
      return u;
    }
  if (u != NULL)
    g_hash_table_remove (r->by_name, u->name);
  tbl_id_t id = tbl_alloc (r->upstreams);
  u = tbl_get (r->upstreams, id);
  u->id = id;
  u->strings = talloc_new (r);
  u->name = talloc_strdup (u->strings, c->name);
  u->address = talloc_strdup (u->strings, c->address);
  u->deployment = talloc_strdup (u->strings, c->deployment);
  u->data_centre = talloc_strdup (u->strings, c->data_centre);
  u->born = c->born;
  u->version
      = c->version == NULL ? NULL : talloc_strdup (u->strings, c->version);
  u->hash = XXH64 (u->name, strlen (u->name), 0);
  u->slowness = 1;
  g_queue_init (&u->unanswered);
  g_hash_table_insert (r->by_name, u->name, u);
  return u;
}

/** Frees upstreams that are no longer in the document and have no in-flight
 * requests. */
static void
_rte_upstreams_sweep (rte_t *r)
{
  tbl_id_t id = tbl_next (r->upstreams, (tbl_id_t){ 0 });
  while (id.id != 0)
    {
      rte_upstream_t *u = tbl_get (r->upstreams, id);
      tbl_id_t next = tbl_next (r->upstreams, id);
      if (!u->configured && u->online + u->batch == 0 && u->poll == NULL)
        {
          if (g_hash_table_lookup (r->by_name, u->name) == u)
            g_hash_table_remove (r->by_name, u->name);
          g_queue_remove (&r->changed, u);
          g_queue_remove_all (&r->preemptions, u);
          talloc_free (u->strings);
          tbl_free (r->upstreams, id);
        }
      id = next;
    }
}

/** Rendezvous score of U for this VM. */
static uint64_t
_rte_subset_score (const env_t *env, const rte_upstream_t *u)
{
  return XXH64 (env->vm, strlen (env->vm), u->hash);
}

/** Whether U is out of use for good, so that another takes its place among the
 * upstreams that this VM uses. */
static bool
_rte_gives_place (const rte_upstream_t *u)
{
  return u->leaving || u->leaving_until == CLK_NEVER;
}

/** Whether U takes a place among them: one of which it is in doubt whether it
 * is leaving keeps a place that it has, but another is used besides. */
static bool
_rte_takes_place (const rte_upstream_t *u, clk_ms_t now)
{
  return !u->leaving && now >= u->leaving_until;
}

/** The number of upstreams of D in U's data centre that take a place among
 * those that this VM uses before U does. */
static uint32_t
_rte_subset_rank (const env_t *env, const rte_deployment_t *d,
                  const rte_upstream_t *u)
{
  uint64_t score = _rte_subset_score (env, u);
  uint32_t rank = 0;
  for (guint i = 0; i < d->upstreams->len; i++)
    {
      const rte_upstream_t *v = g_ptr_array_index (d->upstreams, i);
      if (v != u && _rte_takes_place (v, env->now)
          && strcmp (v->data_centre, u->data_centre) == 0
          && _rte_subset_score (env, v) > score)
        rank++;
    }
  return rank;
}

/** Marks the upstreams of D that this VM uses: in each data centre the
 * rte_desc_t.subset upstreams with the highest rendezvous scores, without
 * those that are leaving. */
static void
_rte_subset_mark (const rte_t *r, const env_t *env, rte_deployment_t *d)
{
  for (guint i = 0; i < d->upstreams->len; i++)
    {
      rte_upstream_t *u = g_ptr_array_index (d->upstreams, i);
      u->in_subset = !_rte_gives_place (u)
                     && _rte_subset_rank (env, d, u) < r->desc.subset;
    }
}

/** The version of the software of all upstreams of D; NULL: they have none, or
 * several. */
static const char *
_rte_common_version (const rte_deployment_t *d)
{
  const char *version = NULL;
  for (guint i = 0; i < d->upstreams->len; i++)
    {
      const rte_upstream_t *u = g_ptr_array_index (d->upstreams, i);
      if (i == 0)
        version = u->version;
      if (g_strcmp0 (version, u->version) != 0)
        return NULL;
    }
  return version;
}

/** Learns the versions of D from its upstreams in the document. */
static void
_rte_versions_learn (rte_deployment_t *d, clk_ms_t now)
{
  const char *version = _rte_common_version (d);
  d->was_listed = d->was_listed || d->upstreams->len > 0;
  for (guint i = 0; i < d->upstreams->len; i++)
    d->has_versions
        = d->has_versions
          || ((rte_upstream_t *)g_ptr_array_index (d->upstreams, i))->version
                 != NULL;
  /* An empty list says nothing of what serves. */
  if (d->upstreams->len == 0 || g_strcmp0 (version, d->sole_version) == 0)
    return;
  talloc_free (d->sole_version);
  d->sole_version = version == NULL ? NULL : talloc_strdup (d, version);
  d->sole_since = now;
}

bool
rte_may_have_versions (const rte_t *r, const char *deployment)
{
  const rte_deployment_t *d = g_hash_table_lookup (r->deployments, deployment);
  return d == NULL || !d->was_listed || d->has_versions;
}

bool
rte_version_serves (const rte_t *r, const env_t *env, const char *deployment,
                    const char *version)
{
  const rte_deployment_t *d = g_hash_table_lookup (r->deployments, deployment);
  for (guint i = 0; d != NULL && i < d->upstreams->len; i++)
    {
      const rte_upstream_t *u = g_ptr_array_index (d->upstreams, i);
      if (g_strcmp0 (u->version, version) == 0
          && !rte_gets_nothing_new (u, env->now))
        return true;
    }
  return false;
}

const char *
rte_sole_version (const rte_t *r, const env_t *env, const char *deployment,
                  clk_ms_t ms)
{
  const rte_deployment_t *d = g_hash_table_lookup (r->deployments, deployment);
  if (d == NULL || env->now - d->sole_since < ms)
    return NULL;
  return d->sole_version;
}

static bool
_rte_in_evacuated (const rte_t *r, const char *data_centre)
{
  return r->evacuated != NULL
         && g_strv_contains ((const char *const *)r->evacuated, data_centre);
}

/** Sets the counter of excluded upstreams, and returns their number. */
static size_t
_rte_excluded_count (const rte_t *r, env_t *env)
{
  size_t excluded = 0;
  for (tbl_id_t id = tbl_next (r->upstreams, (tbl_id_t){ 0 }); id.id != 0;
       id = tbl_next (r->upstreams, id))
    {
      const rte_upstream_t *u = tbl_get (r->upstreams, id);
      excluded += u->evacuated && u->configured;
    }
  cnt_set (env->cnt, "rts_route_evacuated_upstreams", "", (double)excluded);
  return excluded;
}

void
rte_evacuated_set (rte_t *r, env_t *env, const char *const *names)
{
  size_t n = g_strv_length ((char **)(uintptr_t)names);
  talloc_free (r->evacuated);
  r->evacuated = talloc_zero_array (r, char *, n + 1);
  for (size_t i = 0; i < n; i++)
    r->evacuated[i] = talloc_strdup (r->evacuated, names[i]);
  for (tbl_id_t id = tbl_next (r->upstreams, (tbl_id_t){ 0 }); id.id != 0;
       id = tbl_next (r->upstreams, id))
    {
      rte_upstream_t *u = tbl_get (r->upstreams, id);
      u->evacuated = _rte_in_evacuated (r, u->data_centre);
    }
  tln_record (env->tln, env->now, MOD_ROUTE, "evacuated",
              "data_centres=%zu upstreams=%zu", n,
              _rte_excluded_count (r, env));
}

bool
rte_all_evacuated (const rte_t *r, const char *deployment)
{
  const rte_deployment_t *d = g_hash_table_lookup (r->deployments, deployment);
  bool all = d != NULL && d->upstreams->len > 0;
  for (guint i = 0; all && i < d->upstreams->len; i++)
    all = ((rte_upstream_t *)g_ptr_array_index (d->upstreams, i))->evacuated;
  return all;
}

void
rte_config_changed (rte_t *r, env_t *env, const cfg_doc_t *doc)
{
  for (tbl_id_t id = tbl_next (r->upstreams, (tbl_id_t){ 0 }); id.id != 0;
       id = tbl_next (r->upstreams, id))
    ((rte_upstream_t *)tbl_get (r->upstreams, id))->configured = false;
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, r->deployments);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_set_size (((rte_deployment_t *)value)->upstreams, 0);
  for (size_t i = 0; i < doc->deployment_count && r->desc.cold_overshoot > 0;
       i++)
    rte_cold_deployment_set (r, env,
                             _rte_deployment_get (r, doc->deployments[i].name),
                             &doc->deployments[i]);
  for (size_t i = 0; i < doc->upstream_count; i++)
    {
      const cfg_upstream_t *c = &doc->upstreams[i];
      rte_upstream_t *u = _rte_upstream_get (r, c);
      const cfg_deployment_t *dep = cfg_deployment_find (doc, c->deployment);
      u->configured = true;
      u->leaving = c->leaving;
      u->evacuated = _rte_in_evacuated (r, u->data_centre);
      u->fixed_identity = c->fixed_identity;
      u->leaving_until
          = rte_leaving_until (r->leaving_notes, u->name, u->born, env->now);
      u->same_data_centre = strcmp (c->data_centre, env->data_centre) == 0;
      u->slots = dep != NULL ? dep->slots : 0;
      rte_deployment_t *d = _rte_deployment_get (r, c->deployment);
      g_ptr_array_add (d->upstreams, u);
      /* One that was not listed may still be suspected, after all failures
       * are forgotten. */
      d->has_failing = d->has_failing || u->failing.suspected;
      rte_cold_upstream_set (r, env, u, d);
    }
  g_hash_table_iter_init (&iter, r->deployments);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      _rte_subset_mark (r, env, value);
      _rte_versions_learn (value, env->now);
    }
  if (r->evacuated != NULL)
    (void)_rte_excluded_count (r, env);
  rte_crash_listed (r, env, doc);
  r->members_generation = 0;
  rte_pollers_update (r, env);
  _rte_upstreams_sweep (r);
  rte_limits_sweep (r, env->now);
  if (!r->ticking)
    {
      r->ticking = true;
      rte_poll_tick (r, env);
      rte_exchange_tick (r, env);
    }
}

void
rte_timer_fired (rte_t *r, env_t *env, uint64_t tag)
{
  rte_pollers_update (r, env);
  switch (tag)
    {
    case RTE_TIMER_POLL:
      rte_poll_tick (r, env);
      break;
    case RTE_TIMER_EXCHANGE:
      rte_exchange_tick (r, env);
      break;
    default:
      rte_limit_tick (r, env);
      break;
    }
}

/** Finds the request of HANDLE and its upstream; NULL for an invalid handle.
 */
static rte_inflight_t *
_rte_inflight_get (rte_t *r, uint64_t handle, rte_upstream_t **u)
{
  rte_inflight_t *f = tbl_get (r->in_flight, (tbl_id_t){ .id = handle });
  if (f != NULL)
    *u = tbl_get (r->upstreams, f->upstream);
  return f;
}

static void
_rte_inflight_responded (rte_inflight_t *f, rte_upstream_t *u)
{
  if (f->unanswered != NULL)
    g_queue_delete_link (&u->unanswered, f->unanswered);
  f->unanswered = NULL;
}

static void
_rte_inflight_end (rte_t *r, rte_inflight_t *f, rte_upstream_t *u)
{
  _rte_inflight_responded (f, u);
  uint32_t *count = f->batch ? &u->batch : &u->online;
  INV_CHECK (*count > 0, "route-in-flight-counted", "upstream %s", u->name);
  (*count)--;
  u->queued -= f->queued;
  rte_load_changed (r, u);
  tbl_free (r->in_flight, f->id);
}

void
rte_started (rte_t *r, env_t *env, uint64_t handle)
{
  rte_upstream_t *u = NULL;
  rte_inflight_t *f = _rte_inflight_get (r, handle, &u);
  if (f == NULL)
    return;
  f->sent_at = env->now;
  if (f->crash != NULL && r->desc.crashes != NULL)
    crs_run_begin (r->desc.crashes, env, handle,
                   &(crs_run_t){ .upstream = u->name,
                                 .born = u->born,
                                 .address = u->address,
                                 .fixed_identity = u->fixed_identity,
                                 .query = *f->crash });
  f->crash = NULL;
  if (u->leaving_until == 0)
    return;
  u->leaving_until = 0;
  tln_record (env->tln, env->now, MOD_ROUTE, "doubt-ended",
              "upstream=%s born=%llu", u->name, (unsigned long long)u->born);
}

static void
_rte_learn (double *mean, double value)
{
  *mean += RTE_LEARN_WEIGHT * (value - *mean);
}

static void
_rte_slowness_update (rte_upstream_t *u, double ratio, clk_ms_t now)
{
  double before = rte_slowness (u, now);
  u->slowness = before + RTE_SLOWNESS_WEIGHT * (ratio - before);
  u->slowness = fmin (fmax (u->slowness, 0.5), RTE_SLOWNESS_MAX);
  u->slowness_at = now;
}

void
rte_first_byte (rte_t *r, env_t *env, uint64_t handle)
{
  rte_upstream_t *u = NULL;
  rte_inflight_t *f = _rte_inflight_get (r, handle, &u);
  if (f == NULL || f->unanswered == NULL)
    return;
  _rte_inflight_responded (f, u);
  if (r->desc.crashes != NULL)
    crs_run_head (r->desc.crashes, env, handle);
  f->first_at = env->now;
  if (f->answer_failed)
    {
      rte_health_response (r, u, env->now);
      return;
    }
  double took = (double)(env->now - f->sent_at);
  double expected = fmax (f->expected_ms / rte_slowness (u, env->now), 1);
  double ratio = fmin (fmax (took, 1) / expected, RTE_SLOWNESS_MAX);
  rte_deployment_t *d = f->deployment;
  _rte_learn (&d->bias, ratio);
  /* The lasting slowness is learned apart from the momentary pace. */
  if (f->stated_pace > 0 && f->expected_pace > 0)
    ratio = fmin (ratio * f->expected_pace / f->stated_pace, RTE_SLOWNESS_MAX);
  /* Slowness compares an upstream with the others of its deployment.  The
   * bias removes the common error of the estimate. */
  _rte_slowness_update (u, ratio / d->bias, env->now);
  if (!f->queued)
    {
      /* The cap keeps one slow response from distorting the mean. */
      double cap = 4 * (f->prefix_cached ? d->hit_ms : d->miss_ms) + 20;
      _rte_learn (f->prefix_cached ? &d->hit_ms : &d->miss_ms,
                  fmin (took, cap));
      d->miss_ms = fmax (d->miss_ms, d->hit_ms);
    }
  rte_health_response (r, u, env->now);
  cnt_observe (env->cnt, "rts_route_first_byte_ms", "", took);
}

/** The upstream outside of the subset that is next for a place among those of
 * U's deployment and data centre; NULL: none. */
static rte_upstream_t *
_rte_place_next (const env_t *env, const rte_deployment_t *d,
                 const rte_upstream_t *u)
{
  rte_upstream_t *next = NULL;
  uint64_t best = 0;
  for (guint i = 0; i < d->upstreams->len; i++)
    {
      rte_upstream_t *v = g_ptr_array_index (d->upstreams, i);
      if (v->in_subset || !_rte_takes_place (v, env->now)
          || strcmp (v->data_centre, u->data_centre) != 0)
        continue;
      uint64_t score = _rte_subset_score (env, v);
      if (next != NULL && score <= best)
        continue;
      next = v;
      best = score;
    }
  return next;
}

/** Gives the place of U to another upstream if U is out of use for good. */
static void
_rte_place_pass_on (rte_t *r, const env_t *env, rte_upstream_t *u)
{
  if (!u->in_subset || !_rte_gives_place (u))
    return;
  u->in_subset = false;
  rte_upstream_t *next
      = _rte_place_next (env, _rte_deployment_get (r, u->deployment), u);
  if (next != NULL)
    next->in_subset = true;
}

void
rte_leaving_learn (rte_t *r, env_t *env, const rte_upstream_t *u,
                   uint64_t born_max)
{
  rte_leaving_note (r->leaving_notes, u->name, u->born, born_max, env->now);
  /* The document may name a later start of the upstream meanwhile. */
  rte_upstream_t *listed = g_hash_table_lookup (r->by_name, u->name);
  if (listed == NULL)
    return;
  clk_ms_t before = listed->leaving_until;
  listed->leaving_until = rte_leaving_until (r->leaving_notes, listed->name,
                                             listed->born, env->now);
  if (listed->leaving_until == before)
    return;
  _rte_place_pass_on (r, env, listed);
  tln_record (env->tln, env->now, MOD_ROUTE, "said-leaving",
              "upstream=%s born=%llu certain=%s listed=%s", listed->name,
              (unsigned long long)listed->born,
              listed->leaving_until == CLK_NEVER ? "yes" : "no",
              !listed->configured ? "no"
                                  : (listed->leaving ? "leaving" : "ready"));
}

void
rte_said_leaving (rte_t *r, env_t *env, uint64_t handle)
{
  rte_upstream_t *u = NULL;
  const rte_inflight_t *f = _rte_inflight_get (r, handle, &u);
  cnt_add (env->cnt, "rts_route_leaving_answers_total", "", 1);
  /* The list may be late: a start of the upstream that it does not name yet
   * may have answered, if it was before the request. */
  if (f != NULL)
    rte_leaving_learn (r, env, u, (uint64_t)env_unix_ms (env, f->sent_at));
}

void
rte_said_limit (rte_t *r, env_t *env, uint64_t handle, const ev_limit_t *limit)
{
  rte_upstream_t *u = NULL;
  const rte_inflight_t *f = _rte_inflight_get (r, handle, &u);
  if (f != NULL)
    rte_limit_said (r, env, u, limit, f->sent_at, env->now, "answer");
}

void
rte_said_cold (rte_t *r, env_t *env, uint64_t handle, const ev_cold_t *cold)
{
  rte_upstream_t *u = NULL;
  const rte_inflight_t *f = _rte_inflight_get (r, handle, &u);
  if (f != NULL)
    rte_cold_said (r, env, u, cold, env->now, "answer");
}

void
rte_said_load (rte_t *r, env_t *env, uint64_t handle, const ev_load_t *load)
{
  rte_upstream_t *u = NULL;
  rte_inflight_t *f = _rte_inflight_get (r, handle, &u);
  if (f == NULL)
    return;
  rte_load_stated (r, env, u, load);
  if (load->kind == EV_LOAD_STATED)
    f->stated_pace = load->pace / 100.0;
}

void
rte_finished (rte_t *r, env_t *env, uint64_t handle)
{
  rte_upstream_t *u = NULL;
  rte_inflight_t *f = _rte_inflight_get (r, handle, &u);
  if (f == NULL)
    return;
  if (f->unanswered != NULL)
    rte_first_byte (r, env, handle);
  if (!f->answer_failed)
    _rte_learn (&f->deployment->busy_ms,
                (double)(env->now - f->first_at)
                    + (f->prefix_cached ? f->deployment->hit_ms
                                        : f->deployment->miss_ms));
  _rte_inflight_end (r, f, u);
  if (r->desc.crashes != NULL)
    crs_run_end (r->desc.crashes, env, handle, CRS_END_OTHER);
}

void
rte_failed (rte_t *r, env_t *env, uint64_t handle, rte_fail_t fail)
{
  rte_upstream_t *u = NULL;
  rte_inflight_t *f = _rte_inflight_get (r, handle, &u);
  if (f == NULL)
    return;
  if (f->prefix != 0)
    rte_prefix_index_remove (r->prefix_index, f->prefix, u->id);
  _rte_inflight_end (r, f, u);
  if (r->desc.crashes != NULL)
    crs_run_end (r->desc.crashes, env, handle,
                 rte_crash_end (u, fail, env->now));
  if (fail != RTE_FAIL_CANCELLED && fail != RTE_FAIL_MISDIRECTED)
    rte_health_fail (r, env, u);
}

void
rte_load_changed (rte_t *r, rte_upstream_t *u)
{
  if (u->changed)
    return;
  u->changed = true;
  g_queue_push_tail (&r->changed, u);
}

bool
rte_load_pop (rte_t *r, const env_t *env, rte_load_t *load)
{
  rte_upstream_t *u = g_queue_pop_head (&r->changed);
  if (u == NULL)
    return false;
  u->changed = false;
  bool fresh
      = (u->state & (RTE_BIT_REPORTED | RTE_BIT_SILENT)) == RTE_BIT_REPORTED
        && env->now - u->report_at < RTE_REPORT_STALE_MS;
  *load = (rte_load_t){ .upstream = u->name,
                        .online = u->online,
                        .waiting = u->queued < u->unanswered.length
                                       ? u->queued
                                       : u->unanswered.length,
                        .reported = fresh,
                        .running = u->running + u->waiting };
  return true;
}

uint32_t
rte_idle_slots (const rte_t *r, const env_t *env, const char *upstream)
{
  const rte_upstream_t *u = g_hash_table_lookup (r->by_name, upstream);
  if (u == NULL || !rte_usable (u, env->now)
      || (u->state & RTE_BIT_REPORTED) == 0
      || (u->state & RTE_BIT_SILENT) != 0)
    return 0;
  uint32_t load = rte_estimated_load (u, env->now);
  return load < u->slots ? u->slots - load : 0;
}

bool
rte_gets_nothing_new (const rte_upstream_t *u, clk_ms_t now)
{
  return u->evacuated || u->leaving || now < u->leaving_until
         || (u->state & RTE_BIT_LEAVING) != 0;
}

bool
rte_address_takes_calls (const rte_t *r, const env_t *env, const char *address)
{
  for (tbl_id_t id = tbl_next (r->upstreams, (tbl_id_t){ 0 }); id.id != 0;
       id = tbl_next (r->upstreams, id))
    {
      const rte_upstream_t *u = tbl_get (r->upstreams, id);
      if (u->configured && strcmp (u->address, address) == 0)
        return !rte_gets_nothing_new (u, env->now);
    }
  return false;
}

bool
rte_leaving (const rte_t *r, const env_t *env, const char *upstream)
{
  const rte_upstream_t *u = g_hash_table_lookup (r->by_name, upstream);
  return u == NULL || !u->configured || rte_gets_nothing_new (u, env->now);
}

uint32_t
rte_in_flight (const rte_t *r, const char *upstream)
{
  const rte_upstream_t *u = g_hash_table_lookup (r->by_name, upstream);
  return u == NULL ? 0 : u->online + u->batch;
}

char *
rte_format (void *ctx, const rte_t *r, const env_t *env)
{
  json_t *all = json_array ();
  for (tbl_id_t id = tbl_next (r->upstreams, (tbl_id_t){ 0 }); id.id != 0;
       id = tbl_next (r->upstreams, id))
    {
      const rte_upstream_t *u = tbl_get (r->upstreams, id);
      if (!u->configured)
        continue;
      uint32_t tokens = 0;
      double limit = rte_limit_status (r, env, u, &tokens);
      json_array_append_new (
          all,
          json_pack (
              "{s:s, s:s, s:s, s:b, s:b, s:b, s:b, s:b, s:i, s:i, s:f, s:f, "
              "s:s, s:i, s:I, s:b}",
              "upstream", u->name, "deployment", u->deployment, "data_centre",
              u->data_centre, "leaving", rte_gets_nothing_new (u, env->now),
              "suspected", u->health != RTE_WELL, "failing",
              u->failing.suspected, "silent", (u->state & RTE_BIT_SILENT) != 0,
              "polled_here", u->poll != NULL, "in_flight",
              (int)(u->online + u->batch), "load",
              (int)rte_estimated_load (u, env->now), "slowness",
              rte_slowness (u, env->now), "limit_per_s", limit, "mint",
              u->mint == NULL ? "" : u->mint, "limit_tokens", (int)tokens,
              "cold_ms", (json_int_t)rte_cold_ms (r, env, u), "evacuated",
              u->evacuated));
    }
  char *text = json_dumps (all, JSON_COMPACT);
  char *copy = talloc_strdup (ctx, text);
  free (text);
  json_decref (all);
  return copy;
}

/** @file
 * Router: polls load and cache events of the upstreams that this VM polls.
 *
 * The choice of a poller is not protected by a lease.  While the member lists
 * of two VMs differ, an upstream can have two pollers: this costs a few more
 * calls, and each poller's sum covers only some of the VMs.
 */
#include "core/rte_int.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/** Cache events are polled once per this many periods of the load poll. */
#define RTE_LOAD_POLLS_PER_CACHE_POLL 3
/** Maximum length of the response to a poll, in bytes. */
#define RTE_BODY_MAX ((size_t)64 * 1024)

/** Bit of a call's tag that marks a cache poll.  The rest of the tag is the
 * upstream's table id, whose generation never reaches this bit. */
#define RTE_TAG_CACHE_BIT ((uint64_t)1 << 63)

bool
rte_polls (const rte_t *r, const env_t *env, const char *upstream)
{
  const rte_upstream_t *u = g_hash_table_lookup (r->by_name, upstream);
  return u != NULL && u->poller != NULL && strcmp (u->poller, env->vm) == 0;
}

static int
_rte_poll_destroy (rte_poll_t *p)
{
  g_hash_table_destroy (p->usage);
  g_hash_table_destroy (p->failing);
  return 0;
}

static void
_rte_poll_begin (rte_t *r, rte_upstream_t *u)
{
  u->poll = talloc_zero (r, rte_poll_t);
  u->poll->usage
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  u->poll->failing = rte_failing_setup ();
  talloc_set_destructor (u->poll, _rte_poll_destroy);
}

void
rte_poll_stop (env_t *env, rte_upstream_t *u)
{
  upc_cancel (env, u->poll->load_call);
  upc_cancel (env, u->poll->cache_call);
  talloc_free (u->poll);
  u->poll = NULL;
}

/** The VM of U's data centre that polls U; NULL: unknown. */
static const char *
_rte_poller (const rte_t *r, const rte_upstream_t *u)
{
  return mbr_owner (r->desc.members, u->data_centre, MOD_ROUTE, u->name);
}

void
rte_pollers_update (rte_t *r, env_t *env)
{
  uint64_t generation = mbr_generation (r->desc.members);
  if (generation == r->members_generation)
    return;
  r->members_generation = generation;
  for (tbl_id_t id = tbl_next (r->upstreams, (tbl_id_t){ 0 }); id.id != 0;
       id = tbl_next (r->upstreams, id))
    {
      rte_upstream_t *u = tbl_get (r->upstreams, id);
      const char *poller = u->configured ? _rte_poller (r, u) : NULL;
      bool polled_here = poller != NULL && strcmp (poller, env->vm) == 0;
      if (g_strcmp0 (poller, u->poller) != 0)
        u->failing.untold = true;
      talloc_free (u->poller);
      u->poller = poller != NULL ? talloc_strdup (u->strings, poller) : NULL;
      rte_limit_mint_update (r, env, u);
      if (polled_here && u->poll == NULL)
        _rte_poll_begin (r, u);
      if (!polled_here && u->poll != NULL)
        rte_poll_stop (env, u);
    }
}

static void
_rte_poll_load (rte_t *r, env_t *env, rte_upstream_t *u)
{
  rte_poll_t *p = u->poll;
  /* Only one load poll runs at a time; the call's time-out ends a poll that
   * gets no response. */
  if (p->load_call != 0)
    return;
  p->load_at = env->now;
  p->load_call = upc_call (
      env, MOD_ROUTE, u->id.id,
      &(fx_upstream_t){ .address = u->address,
                        .method = "GET",
                        .path = "/load",
                        .load_report = true,
                        .upstream = u->fixed_identity ? u->name : NULL,
                        .first_byte_ms = 2 * r->desc.report_ms,
                        .stall_ms = 2 * r->desc.report_ms,
                        .total_ms = 2 * r->desc.report_ms,
                        .fresh_connection = p->failed_polls > 0 });
  if (p->failed_polls < RTE_SILENT_POLLS)
    return;
  if ((u->state & RTE_BIT_SILENT) == 0)
    tln_record (env->tln, env->now, MOD_ROUTE, "silent", "upstream=%s",
                u->name);
  u->state |= RTE_BIT_SILENT;
}

static void
_rte_poll_cache (rte_t *r, env_t *env, rte_upstream_t *u)
{
  rte_poll_t *p = u->poll;
  if (p->cache_call != 0 || r->desc.no_cache_events
      || env->now - p->cache_at
             < RTE_LOAD_POLLS_PER_CACHE_POLL * r->desc.report_ms)
    return;
  p->cache_at = env->now;
  char *path = talloc_asprintf (NULL, "/cache-events?after=%llu",
                                (unsigned long long)p->cache_seq);
  p->cache_call = upc_call (env, MOD_ROUTE, u->id.id | RTE_TAG_CACHE_BIT,
                            &(fx_upstream_t){ .address = u->address,
                                              .method = "GET",
                                              .path = path,
                                              .first_byte_ms = CLK_SECOND,
                                              .stall_ms = CLK_SECOND,
                                              .total_ms = 2 * CLK_SECOND });
  talloc_free (path);
}

void
rte_poll_tick (rte_t *r, env_t *env)
{
  tmr_arm (env->tmr, env->now + env_jitter (env, r->desc.report_ms), MOD_ROUTE,
           RTE_TIMER_POLL);
  for (tbl_id_t id = tbl_next (r->upstreams, (tbl_id_t){ 0 }); id.id != 0;
       id = tbl_next (r->upstreams, id))
    {
      rte_upstream_t *u = tbl_get (r->upstreams, id);
      if (u->poll == NULL)
        continue;
      _rte_poll_load (r, env, u);
      _rte_poll_cache (r, env, u);
    }
}

void
rte_cache_event_apply (rte_t *r, const env_t *env, const rte_upstream_t *u,
                       bool added, uint64_t prefix)
{
  if (added)
    rte_prefix_index_add (r->prefix_index, prefix, u->id, env->now);
  else
    rte_prefix_index_remove (r->prefix_index, prefix, u->id);
}

/** Sets the hidden requests to the excess over the usage load that the last
 * two load reports have in common: the excess of one report alone can be due
 * to delay. */
static void
_rte_hidden_update (rte_upstream_t *u, const env_t *env)
{
  /* A poller that sends no requests itself updates its sum seldom. */
  u->others = rte_others_sum (u, env->vm, env->now, &u->others_batch);
  u->others_at = env->now;
  u->own_at_update = u->online + u->batch;
  uint32_t known = rte_usage_load (u, env->now);
  uint32_t reported = u->running + u->waiting;
  uint32_t excess = reported > known ? reported - known : 0;
  u->hidden = excess < u->excess ? excess : u->excess;
  u->excess = excess;
}

void
rte_state_set (env_t *env, rte_upstream_t *u, uint32_t state,
               const char *source)
{
  bool before = (u->state & RTE_BIT_LEAVING) != 0;
  bool after = (state & RTE_BIT_LEAVING) != 0;
  u->state = state;
  if (before != after)
    tln_record (env->tln, env->now, MOD_ROUTE,
                after ? "reported-leaving" : "reported-staying",
                "upstream=%s source=%s", u->name, source);
}

/** Parses and applies a load report; false: malformed. */
static bool
_rte_load_apply (rte_t *r, env_t *env, rte_upstream_t *u, const char *body)
{
  json_t *o = json_loads (body, 0, NULL);
  json_int_t running = -1;
  json_int_t waiting = -1;
  json_int_t slots = 0;
  json_int_t seq = 0;
  int leaving = 0;
  json_int_t born = 0;
  int bad = json_unpack (o, "{s:I, s:I, s?I, s?I, s?b, s?I}", "running",
                         &running, "waiting", &waiting, "slots", &slots, "seq",
                         &seq, "leaving", &leaving, "born", &born);
  json_decref (o);
  if (bad != 0 || running < 0 || waiting < 0 || slots < 0 || seq < 0
      || running > UINT16_MAX || waiting > UINT16_MAX || slots > UINT16_MAX)
    return false;
  leaving = leaving || u->poll->load_leaving;
  rte_state_set (env, u, RTE_BIT_REPORTED | (leaving ? RTE_BIT_LEAVING : 0),
                 "report");
  /* Without the same start it may be the report of another upstream that has
   * the address now. */
  if (leaving && u->born != 0 && (uint64_t)born == u->born)
    rte_leaving_learn (r, env, u, u->born);
  if ((uint64_t)born == u->born)
    {
      rte_limit_reported (r, env, u, &u->poll->load_limit, u->poll->load_at,
                          u->poll->load_head_at);
      rte_cold_said (r, env, u, &u->poll->load_cold, u->poll->load_head_at,
                     "report");
      rte_load_stated (r, env, u, &u->poll->load_stated);
    }
  u->running = (uint32_t)running;
  u->waiting = (uint32_t)waiting;
  if (slots > 0)
    u->slots = (uint32_t)slots;
  /* A lower sequence number shows that the upstream has restarted with an
   * empty cache. */
  if ((uint64_t)seq < u->seq)
    u->poll->cache_seq = 0;
  u->seq = (uint64_t)seq;
  u->report_at = u->poll->load_at;
  u->own_at_report = u->online + u->batch;
  return true;
}

/** Parses and applies a response with cache events; false: malformed. */
static bool
_rte_cache_apply (rte_t *r, const env_t *env, rte_upstream_t *u,
                  const char *body)
{
  json_t *o = json_loads (body, 0, NULL);
  json_int_t seq = 0;
  json_t *events = NULL;
  if (json_unpack (o, "{s:I, s:o}", "seq", &seq, "events", &events) != 0
      || !json_is_array (events) || seq < 0)
    {
      json_decref (o);
      return false;
    }
  rte_poll_t *p = u->poll;
  size_t i;
  json_t *e;
  json_array_foreach (events, i, e)
  {
    const char *op = NULL;
    const char *hex = NULL;
    if (json_unpack (e, "{s:s, s:s}", "op", &op, "prefix", &hex) != 0)
      continue;
    uint64_t prefix = strtoull (hex, NULL, 16);
    bool added = strcmp (op, "add") == 0;
    p->events[p->event_count++ % RTE_EVENTS_KEPT]
        = (rte_cache_event_t){ .prefix = prefix, .added = added };
    rte_cache_event_apply (r, env, u, added, prefix);
  }
  p->cache_seq = (uint64_t)seq;
  json_decref (o);
  return true;
}

/** Ends a poll of load or, if CACHE, of cache events.  OK: the response is
 * complete. */
static void
_rte_poll_ended (rte_t *r, env_t *env, rte_upstream_t *u, bool cache, bool ok)
{
  rte_poll_t *p = u->poll;
  char **body = cache ? &p->cache_body : &p->load_body;
  const char *text = *body != NULL ? *body : "";
  if (ok)
    ok = cache ? _rte_cache_apply (r, env, u, text)
               : _rte_load_apply (r, env, u, text);
  if (ok && !cache)
    {
      _rte_hidden_update (u, env);
      rte_load_changed (r, u);
    }
  if (!cache)
    p->failed_polls = ok ? 0 : p->failed_polls + 1;
  if (!ok)
    cnt_add (env->cnt, "rts_route_polls_failed_total", "", 1);
  talloc_free (*body);
  *body = NULL;
  if (cache)
    p->cache_call = 0;
  else
    p->load_call = 0;
}

/** Appends DATA to the response; false: it is too large. */
static bool
_rte_poll_data (rte_poll_t *p, bool cache, buf_t data)
{
  char **body = cache ? &p->cache_body : &p->load_body;
  size_t have = *body != NULL ? strlen (*body) : 0;
  if (have + data.n > RTE_BODY_MAX)
    return false;
  *body = talloc_strndup_append_buffer (
      *body != NULL ? *body : talloc_strdup (p, ""), data.p, data.n);
  return true;
}

/** Keeps what the head UP of a load response says until the body has shown
 * whose it is. */
static void
_rte_load_head_keep (rte_poll_t *p, const env_t *env, const ev_upstream_t *up)
{
  p->load_leaving = up->leaving;
  p->load_limit = up->limit;
  p->load_limit.text = NULL;
  p->load_cold = up->cold;
  p->load_cold.text = NULL;
  p->load_head_at = env->now;
  p->load_stated = up->load;
  p->load_stated.text = NULL;
}

void
rte_upstream_event (rte_t *r, env_t *env, uint64_t tag, const ev_t *ev)
{
  bool cache = (tag & RTE_TAG_CACHE_BIT) != 0;
  tbl_id_t id = { .id = tag & ~RTE_TAG_CACHE_BIT };
  rte_upstream_t *u = tbl_get (r->upstreams, id);
  if (u == NULL || u->poll == NULL)
    return;
  uint64_t call = cache ? u->poll->cache_call : u->poll->load_call;
  if (call != ev->upstream.call)
    return;
  switch (ev->kind)
    {
    case EV_UPSTREAM_HEAD:
      if (!cache)
        _rte_load_head_keep (u->poll, env, &ev->upstream);
      if (ev->upstream.status == 200)
        break;
      upc_cancel (env, call);
      if (ev->upstream.leaving)
        rte_state_set (env, u, u->state | RTE_BIT_LEAVING, "report");
      /* A plain service need not report its load: after a 404 the load stays
       * unknown, but the upstream never counts as silent. */
      if (ev->upstream.status == 404 && !cache)
        u->poll->failed_polls = 0;
      _rte_poll_ended (r, env, u, cache, false);
      break;
    case EV_UPSTREAM_DATA:
      if (_rte_poll_data (u->poll, cache, ev->upstream.data))
        break;
      upc_cancel (env, call);
      _rte_poll_ended (r, env, u, cache, false);
      break;
    case EV_UPSTREAM_END:
      _rte_poll_ended (r, env, u, cache, true);
      break;
    case EV_UPSTREAM_FAIL:
      _rte_poll_ended (r, env, u, cache, false);
      if (ev->upstream.path_failed)
        u->poll->failed_polls = 0;
      break;
    default:
      break;
    }
}

/** @file
 * Load reports and cache events: polling the upstreams that this VM looks
 * after, and exchanging sums with the VMs that use them.
 *
 * The poller of an upstream is a hint for speed, not a lease: two pollers
 * cost a few calls more and split the sum until the lists agree.
 */
#include "core/mpk.h"
#include "core/rte_state.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

/** A VM's count is forgotten by the poller after this. */
#define RTE_USE_MS (3 * CLK_SECOND)
/** Cache events are asked for at each Nth load report. */
#define RTE_CACHE_EVERY 3
/** Longest answer to a poll, in bytes. */
#define RTE_BODY_MAX ((size_t)64 * 1024)
/** Most upstreams in one use message. */
#define RTE_USE_MAX 128

/** Upstream handles are slot and generation: the top bit is free, and so is
 * the one below it. */
#define RTE_TAG_CACHE_BIT ((uint64_t)1 << 63)

/** The VM that polls U, by rendezvous hashing in its data centre; NULL when
 * no VM of it is known. */
static const rte_member_t *
_rte_poller (const rte_t *r, const rte_upstream_t *u)
{
  const rte_member_t *best = NULL;
  uint64_t best_score = 0;
  for (size_t i = 0; i < r->member_count; i++)
    {
      const rte_member_t *m = &r->members[i];
      if (strcmp (m->data_centre, u->data_centre) != 0)
        continue;
      uint64_t score = XXH64 (m->vm, strlen (m->vm), u->hash);
      if (best == NULL || score > best_score)
        {
          best = m;
          best_score = score;
        }
    }
  return best;
}

bool
rte_polls (const rte_t *r, const env_t *env, const char *upstream)
{
  const rte_upstream_t *u = g_hash_table_lookup (r->by_name, upstream);
  if (u == NULL)
    return false;
  const rte_member_t *m = _rte_poller (r, u);
  return m != NULL && strcmp (m->vm, env->vm) == 0;
}

static void
_rte_use_free (void *p)
{
  talloc_free (p);
}

static int
_rte_poll_destroy (rte_poll_t *p)
{
  g_hash_table_destroy (p->uses);
  return 0;
}

void
rte_poll_update (rte_t *r, env_t *env, rte_upstream_t *u)
{
  bool mine = u->configured && rte_polls (r, env, u->name);
  if (mine && u->poll == NULL)
    {
      u->poll = talloc_zero (r, rte_poll_t);
      u->poll->uses = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                             _rte_use_free);
      talloc_set_destructor (u->poll, _rte_poll_destroy);
    }
  if (!mine && u->poll != NULL)
    {
      upc_cancel (env, u->poll->load_call);
      upc_cancel (env, u->poll->cache_call);
      talloc_free (u->poll);
      u->poll = NULL;
    }
}

static void
_rte_poll_load (rte_t *r, env_t *env, rte_upstream_t *u)
{
  rte_poll_t *p = u->poll;
  /* One poll at a time; the call's own time-out ends a silent one. */
  if (p->load_call != 0)
    return;
  p->load_at = env->now;
  p->load_call
      = upc_call (env, MOD_ROUTE, u->id.id,
                  &(fx_upstream_t){ .address = u->address,
                                    .method = "GET",
                                    .path = "/load",
                                    .first_byte_ms = 2 * r->desc.report_ms,
                                    .stall_ms = 2 * r->desc.report_ms,
                                    .total_ms = 2 * r->desc.report_ms,
                                    .fresh_connection = p->unanswered > 0 });
  if (p->unanswered < RTE_SILENT_POLLS)
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
  if (p->cache_call != 0
      || env->now - p->cache_at < RTE_CACHE_EVERY * r->desc.report_ms)
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

/** Requests of VMs other than VM at U, as they have told. */
static uint32_t
_rte_others (const rte_upstream_t *u, const char *vm, clk_ms_t now)
{
  uint32_t sum = 0;
  GHashTableIter iter;
  void *name;
  void *value;
  g_hash_table_iter_init (&iter, u->poll->uses);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const rte_use_t *use = value;
      if (now - use->at >= RTE_USE_MS)
        g_hash_table_iter_remove (&iter);
      else if (strcmp (name, vm) != 0)
        sum += use->in_flight;
    }
  return sum;
}

static void
_rte_use_send (rte_t *r, env_t *env, const rte_member_t *poller)
{
  void *ctx = talloc_new (NULL);
  GPtrArray *list = g_ptr_array_new ();
  for (tbl_id_t id = tbl_next (r->upstreams, (tbl_id_t){ 0 }); id.id != 0;
       id = tbl_next (r->upstreams, id))
    {
      rte_upstream_t *u = tbl_get (r->upstreams, id);
      if (u->configured && u->used && _rte_poller (r, u) == poller
          && list->len < RTE_USE_MAX)
        g_ptr_array_add (list, u);
    }
  if (list->len > 0)
    {
      mpk_writer_t w;
      mpk_writer_init (&w, ctx);
      mpk_put_uint (&w, list->len);
      for (guint i = 0; i < list->len; i++)
        {
          const rte_upstream_t *u = g_ptr_array_index (list, i);
          mpk_put_str (&w, buf_str (u->name));
          mpk_put_uint (&w, u->online + u->batch);
          mpk_put_uint (&w, u->events_seen);
        }
      fx_send (env->fx, poller->vm, MSG_ROUTE_USE, mpk_done (&w));
    }
  g_ptr_array_free (list, TRUE);
  talloc_free (ctx);
}

void
rte_report_tick (rte_t *r, env_t *env)
{
  tmr_arm (env->tmr, env->now + env_jitter (env, r->desc.report_ms), MOD_ROUTE,
           0);
  for (tbl_id_t id = tbl_next (r->upstreams, (tbl_id_t){ 0 }); id.id != 0;
       id = tbl_next (r->upstreams, id))
    {
      rte_upstream_t *u = tbl_get (r->upstreams, id);
      rte_poll_update (r, env, u);
      if (u->poll == NULL)
        continue;
      _rte_poll_load (r, env, u);
      _rte_poll_cache (r, env, u);
      u->others = _rte_others (u, env->vm, env->now);
      u->others_at = env->now;
    }
  for (size_t i = 0; i < r->member_count; i++)
    if (strcmp (r->members[i].vm, env->vm) != 0)
      _rte_use_send (r, env, &r->members[i]);
}

static void
_rte_report_write (mpk_writer_t *w, const env_t *env, const rte_upstream_t *u,
                   const char *vm, uint64_t seen)
{
  const rte_poll_t *p = u->poll;
  uint64_t from = seen;
  if (from > p->event_count)
    from = p->event_count; /* the poller is another one than before */
  if (p->event_count - from > RTE_EVENTS_SENT)
    from = p->event_count - RTE_EVENTS_SENT;
  mpk_put_str (w, buf_str (u->name));
  mpk_put_uint (w, _rte_others (u, vm, env->now));
  mpk_put_uint (w, u->state);
  mpk_put_uint (w, (uint64_t)(env->now - u->report_at));
  mpk_put_uint (w, u->running);
  mpk_put_uint (w, u->waiting);
  mpk_put_uint (w, u->slots);
  mpk_put_uint (w, p->event_count);
  mpk_put_uint (w, p->event_count - from);
  for (uint64_t i = from; i < p->event_count; i++)
    {
      mpk_put_uint (w, p->events[i % RTE_EVENTS_KEPT].added);
      mpk_put_uint (w, p->events[i % RTE_EVENTS_KEPT].prefix);
    }
}

static bool
_rte_use_received (rte_t *r, env_t *env, const char *vm, mpk_reader_t *in)
{
  mpk_writer_t w;
  mpk_writer_init (&w, in->ctx);
  uint64_t count = mpk_get_uint (in);
  unsigned answered = 0;
  for (uint64_t i = 0; i < count && i < RTE_USE_MAX && mpk_more (in); i++)
    {
      buf_t name = mpk_get_str (in);
      uint64_t in_flight = mpk_get_uint (in);
      uint64_t seen = mpk_get_uint (in);
      rte_upstream_t *u
          = name.p ? g_hash_table_lookup (r->by_name, name.p) : NULL;
      if (u == NULL || u->poll == NULL || in_flight > UINT16_MAX)
        continue;
      rte_use_t *use = talloc (u->poll, rte_use_t);
      *use = (rte_use_t){ .in_flight = (uint32_t)in_flight, .at = env->now };
      g_hash_table_replace (u->poll->uses, g_strdup (vm), use);
      _rte_report_write (&w, env, u, vm, seen);
      answered++;
    }
  buf_t body = mpk_done (&w);
  bool good = mpk_end (in);
  if (good && answered > 0)
    fx_send (env->fx, vm, MSG_ROUTE_REPORT, body);
  return good;
}

static void
_rte_event_note (rte_t *r, const env_t *env, const rte_upstream_t *u,
                 bool added, uint64_t prefix)
{
  if (added)
    rte_holders_add (r->holders, prefix, u->id, env->now);
  else
    rte_holders_drop (r->holders, prefix, u->id);
}

/** Take one upstream's part of a report; PASS false only reads over it. */
static void
_rte_report_read (rte_t *r, env_t *env, mpk_reader_t *in, bool pass)
{
  buf_t name = mpk_get_str (in);
  uint64_t others = mpk_get_uint (in);
  uint64_t state = mpk_get_uint (in);
  uint64_t age = mpk_get_uint (in);
  uint64_t running = mpk_get_uint (in);
  uint64_t waiting = mpk_get_uint (in);
  uint64_t slots = mpk_get_uint (in);
  uint64_t seen = mpk_get_uint (in);
  uint64_t events = mpk_get_uint (in);
  rte_upstream_t *u = name.p ? g_hash_table_lookup (r->by_name, name.p) : NULL;
  bool take = pass && u != NULL && u->poll == NULL;
  for (uint64_t i = 0; i < events && mpk_more (in); i++)
    {
      bool added = mpk_get_uint (in) != 0;
      uint64_t prefix = mpk_get_uint (in);
      if (take && prefix != 0)
        _rte_event_note (r, env, u, added, prefix);
    }
  if (!take)
    return;
  u->others = (uint32_t)others;
  u->others_at = env->now;
  u->state = (uint32_t)state;
  u->running = (uint32_t)running;
  u->waiting = (uint32_t)waiting;
  u->report_at = env->now - (clk_ms_t)age;
  u->own_at_report = u->online + u->batch;
  u->events_seen = seen;
  if (slots > 0)
    u->slots = (uint32_t)slots;
}

static bool
_rte_report_received (rte_t *r, env_t *env, const msg_t *msg, void *ctx)
{
  /* Read once to see that the whole body is good, then to take it. */
  mpk_reader_t in = mpk_reader (ctx, msg->body);
  while (mpk_more (&in))
    _rte_report_read (r, env, &in, false);
  if (!mpk_end (&in))
    return false;
  in = mpk_reader (ctx, msg->body);
  while (mpk_more (&in))
    _rte_report_read (r, env, &in, true);
  return true;
}

void
rte_message_received (rte_t *r, env_t *env, const char *vm, const msg_t *msg)
{
  void *ctx = talloc_new (NULL);
  bool good = false;
  mpk_reader_t in = mpk_reader (ctx, msg->body);
  if (msg->kind == MSG_ROUTE_USE)
    good = _rte_use_received (r, env, vm, &in);
  else if (msg->kind == MSG_ROUTE_REPORT)
    good = _rte_report_received (r, env, msg, ctx);
  if (!good)
    cnt_add (env->cnt, "rts_route_bad_messages_total", "", 1);
  talloc_free (ctx);
}

static bool
_rte_load_take (rte_upstream_t *u, const char *body)
{
  json_t *o = json_loads (body, 0, NULL);
  json_int_t running = -1;
  json_int_t waiting = -1;
  json_int_t slots = 0;
  json_int_t seq = 0;
  int leaving = 0;
  int bad = json_unpack (o, "{s:I, s:I, s?I, s?I, s?b}", "running", &running,
                         "waiting", &waiting, "slots", &slots, "seq", &seq,
                         "leaving", &leaving);
  json_decref (o);
  if (bad != 0 || running < 0 || waiting < 0 || slots < 0 || seq < 0
      || running > UINT16_MAX || waiting > UINT16_MAX || slots > UINT16_MAX)
    return false;
  u->state = RTE_BIT_REPORTED | (leaving ? RTE_BIT_LEAVING : 0);
  u->running = (uint32_t)running;
  u->waiting = (uint32_t)waiting;
  if (slots > 0)
    u->slots = (uint32_t)slots;
  /* A lower number than before: the upstream restarted, its cache is gone. */
  if ((uint64_t)seq < u->seq)
    u->poll->cache_seq = 0;
  u->seq = (uint64_t)seq;
  u->report_at = u->poll->load_at;
  u->own_at_report = u->online + u->batch;
  return true;
}

static bool
_rte_cache_take (rte_t *r, const env_t *env, rte_upstream_t *u,
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
        = (rte_event_t){ .prefix = prefix, .added = added };
    _rte_event_note (r, env, u, added, prefix);
  }
  p->cache_seq = (uint64_t)seq;
  json_decref (o);
  return true;
}

static void
_rte_poll_ended (rte_t *r, env_t *env, rte_upstream_t *u, bool cache, bool ok)
{
  rte_poll_t *p = u->poll;
  char **body = cache ? &p->cache_body : &p->body;
  const char *text = *body != NULL ? *body : "";
  if (ok)
    ok = cache ? _rte_cache_take (r, env, u, text) : _rte_load_take (u, text);
  if (!cache)
    p->unanswered = ok ? 0 : p->unanswered + 1;
  if (!ok)
    cnt_add (env->cnt, "rts_route_polls_failed_total", "", 1);
  talloc_free (*body);
  *body = NULL;
  if (cache)
    p->cache_call = 0;
  else
    p->load_call = 0;
}

static void
_rte_poll_data (rte_poll_t *p, bool cache, buf_t data)
{
  char **body = cache ? &p->cache_body : &p->body;
  size_t have = *body != NULL ? strlen (*body) : 0;
  if (have + data.n > RTE_BODY_MAX)
    return;
  *body = talloc_strndup_append_buffer (
      *body != NULL ? *body : talloc_strdup (p, ""), data.p, data.n);
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
      if (ev->upstream.status == 200)
        break;
      upc_cancel (env, call);
      /* A plain service need not report: not a fault, but unknown load. */
      if (ev->upstream.status == 404 && !cache)
        u->poll->unanswered = 0;
      _rte_poll_ended (r, env, u, cache, false);
      break;
    case EV_UPSTREAM_DATA:
      _rte_poll_data (u->poll, cache, ev->upstream.data);
      break;
    case EV_UPSTREAM_END:
      _rte_poll_ended (r, env, u, cache, true);
      break;
    case EV_UPSTREAM_FAIL:
      _rte_poll_ended (r, env, u, cache, false);
      break;
    default:
      break;
    }
}

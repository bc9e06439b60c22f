/** @file
 * Router: upstreams that fail a part of their requests immediately, while
 * their health is good.
 *
 * Each VM counts the responses to its own requests (flr.h).  The poller of an
 * upstream adds up the counts of all VMs and returns to each the sum of the
 * others, so that a VM's own counts are never older than its last response.
 * Nothing is sent about an upstream that has no failures.  A suspected
 * upstream becomes more expensive in the choice; it is never excluded.
 */
#include "core/mpk.h"
#include "core/rte_int.h"

#include <math.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

/** Excess share from which an upstream is suspected, and below which it no
 * longer is. */
#define RTE_FAILING_BEGIN 0.1
#define RTE_FAILING_END 0.05
/** Cost of a lost request: one that is not sent again, and one that is.  The
 * first is above the difference between an idle upstream and a full one, also
 * where a third of its requests fail. */
#define RTE_LOST_MS 6000.0
#define RTE_AGAIN_MS 4000.0
/** Time between two probes of a suspected upstream, by all VMs together. */
#define RTE_PROBE_MS (1 * CLK_SECOND)
/** For this time only requests that may be repeated are used as a probe that
 * is due. */
#define RTE_PROBE_GRACE_MS (1 * CLK_SECOND)
/** By which a suspected upstream is preferred for a probe. */
#define RTE_PROBE_BONUS_MS 500.0
/** Shortest time between two messages of a VM about the same upstream, and of
 * its poller to the same VM. */
#define RTE_FAILING_GAP_MS ((clk_ms_t)200)
/** The same for what is less urgent: successes alone, failures of too few
 * customers, and what was told before, which may have been lost. */
#define RTE_FAILING_SLOW_MS (1 * CLK_SECOND)
/** Shortest time between two messages of a poller to all VMs about the same
 * upstream. */
#define RTE_ANNOUNCE_GAP_MS ((clk_ms_t)500)
/** Time after the last failure for which failures may still count; see
 * FLR_DECAY_MS.  The weight of a thousand failures has decayed then. */
#define RTE_FAILING_MEMORY_MS (10 * FLR_DECAY_MS)
/** Largest number of upstreams in one message. */
#define RTE_FAILING_ENTRIES_MAX 128
/** Largest number of VMs whose counts a poller keeps for one upstream. */
#define RTE_FAILING_VMS_MAX 1024
/** Shortest time between two log lines on the same upstream, and on malformed
 * messages. */
#define RTE_FAILING_LOG_GAP_MS (1 * CLK_SECOND)

/** Counts of one VM that a poller keeps. */
typedef struct
{
  flr_counts_t counts;
  uint64_t seq;     /**< number of the message */
  clk_ms_t told_at; /**< when the VM was told the sum of the others */
} _rte_failing_vm_t;

GHashTable *
rte_failing_setup (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

static uint64_t
_rte_hash (const char *name)
{
  return XXH64 (name, strlen (name), 0);
}

/** Failures have been seen or heard of. */
static void
_rte_failing_seen (rte_t *r, clk_ms_t now)
{
  r->failing_until = now + RTE_FAILING_MEMORY_MS;
}

/* -- messages -------------------------------------------------------------
 */

static mpk_writer_t *
_rte_message_begin (rte_t *r, const env_t *env, void *ctx)
{
  mpk_writer_t *w = talloc (ctx, mpk_writer_t);
  if (r->failing_seq == 0)
    r->failing_seq = env_number_base (env);
  mpk_writer_init (w, ctx);
  mpk_put_uint (w, ++r->failing_seq);
  return w;
}

static uint64_t
_rte_milli (double value)
{
  return (uint64_t)lround (value * 1000);
}

static void
_rte_counts_write (mpk_writer_t *w, const env_t *env, const rte_upstream_t *u,
                   const flr_counts_t *counts)
{
  flr_counts_t c = { 0 };
  flr_merge (&c, counts, env->now);
  mpk_put_str (w, buf_str (u->name));
  mpk_put_uint (w, u->born);
  mpk_put_uint (w, _rte_milli (c.failed));
  mpk_put_uint (w, _rte_milli (c.good));
  mpk_put_uint (w, (uint64_t)(c.at - c.newest_at));
  mpk_put_uint (w, c.customer_count);
  for (size_t i = 0; i < c.customer_count; i++)
    {
      mpk_put_uint (w, c.customers[i].customer);
      mpk_put_uint (w, _rte_milli (c.customers[i].failed));
    }
}

/** Whether KNOWN, which a peer has sent, is so old that the number of its
 * message no longer counts: the peer may have started again after its clock
 * was set back. */
static bool
_rte_failing_is_forgotten (const flr_counts_t *known, clk_ms_t now)
{
  return now - known->at > RTE_FAILING_MEMORY_MS;
}

/** The counts of all VMs but VM for U, which this VM polls.  VM is NULL: of
 * all. */
static flr_counts_t
_rte_failing_sum (const rte_upstream_t *u, clk_ms_t now, const char *vm)
{
  flr_counts_t sum = u->failing.own;
  GHashTableIter iter;
  void *name;
  void *value;
  g_hash_table_iter_init (&iter, u->poll->failing);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const _rte_failing_vm_t *v = value;
      if (_rte_failing_is_forgotten (&v->counts, now))
        g_hash_table_iter_remove (&iter);
      else if (vm == NULL || strcmp (vm, name) != 0)
        flr_merge (&sum, &v->counts, now);
    }
  return sum;
}

/** The entry of VM for U, which this VM polls; NULL: there are too many. */
static _rte_failing_vm_t *
_rte_failing_vm (const rte_upstream_t *u, const char *vm, clk_ms_t now)
{
  _rte_failing_vm_t *v = g_hash_table_lookup (u->poll->failing, vm);
  if (v != NULL || g_hash_table_size (u->poll->failing) >= RTE_FAILING_VMS_MAX)
    return v;
  v = g_new0 (_rte_failing_vm_t, 1);
  v->counts.at = now;
  v->told_at = now - RTE_FAILING_SLOW_MS;
  g_hash_table_insert (u->poll->failing, g_strdup (vm), v);
  return v;
}

/** Whether VM is to be told SUM, that of the others for U. */
static bool
_rte_failing_sum_is_due (const rte_upstream_t *u, const char *vm,
                         const flr_counts_t *sum, clk_ms_t now)
{
  _rte_failing_vm_t *v
      = flr_has_failures (sum, now) ? _rte_failing_vm (u, vm, now) : NULL;
  if (v == NULL)
    return false;
  if (now < v->told_at
                + (flr_estimate (sum, now).supported ? RTE_FAILING_GAP_MS
                                                     : RTE_FAILING_SLOW_MS))
    return false;
  v->told_at = now;
  return true;
}

void
rte_failing_sums_send (rte_t *r, env_t *env, const char *vm,
                       rte_upstream_t *const *upstreams, size_t count)
{
  if (env->now >= r->failing_until)
    return;
  void *ctx = talloc_new (NULL);
  mpk_writer_t *w = _rte_message_begin (r, env, ctx);
  size_t written = 0;
  for (size_t i = 0; i < count; i++)
    {
      flr_counts_t sum = _rte_failing_sum (upstreams[i], env->now, vm);
      if (!_rte_failing_sum_is_due (upstreams[i], vm, &sum, env->now))
        continue;
      _rte_counts_write (w, env, upstreams[i], &sum);
      written++;
    }
  buf_t body = mpk_done (w);
  if (written > 0)
    {
      cnt_add (env->cnt, "rts_route_failing_messages_total", "kind=\"sums\"",
               1);
      mbr_send (r->desc.members, env, vm, MSG_ROUTE_FAILING_SUMS, body);
    }
  talloc_free (ctx);
}

/** Sends the sums for U, which this VM polls, to all VMs that use it, at
 * intervals, if they are likely to have it suspected. */
static void
_rte_failing_announce (rte_t *r, env_t *env, rte_upstream_t *u)
{
  flr_counts_t sum = _rte_failing_sum (u, env->now, NULL);
  flr_estimate_t e = flr_estimate (&sum, env->now);
  if (!e.supported || e.share < RTE_FAILING_BEGIN
      || env->now < u->failing.announce_at)
    return;
  u->failing.announce_at = env->now + RTE_ANNOUNCE_GAP_MS;
  GHashTableIter iter;
  void *vm;
  g_hash_table_iter_init (&iter, u->poll->usage);
  while (g_hash_table_iter_next (&iter, &vm, NULL))
    rte_failing_sums_send (r, env, vm, &u, 1);
}

/** Whether the poller of U is to be told this VM's counts. */
static bool
_rte_failing_is_news (const rte_upstream_t *u, clk_ms_t now)
{
  const rte_failing_t *f = &u->failing;
  if (!u->configured || u->poller == NULL || u->poll != NULL)
    return false;
  bool failures = flr_has_failures (&f->own, now);
  if (f->untold && failures)
    return now >= f->told_at + RTE_FAILING_GAP_MS;
  return (failures || (f->untold && flr_has_failures (&f->others, now)))
         && now >= f->told_at + RTE_FAILING_SLOW_MS;
}

/** Tells the poller of the COUNT upstreams of LIST, which is the same for all,
 * this VM's counts for them. */
static void
_rte_failing_tell (rte_t *r, env_t *env, rte_upstream_t *const *list,
                   size_t count)
{
  void *ctx = talloc_new (NULL);
  mpk_writer_t *w = _rte_message_begin (r, env, ctx);
  for (size_t i = 0; i < count; i++)
    {
      rte_failing_t *f = &list[i]->failing;
      f->untold = false;
      f->told_at = env->now;
      _rte_counts_write (w, env, list[i], &f->own);
    }
  cnt_add (env->cnt, "rts_route_failing_messages_total", "kind=\"counts\"", 1);
  mbr_send (r->desc.members, env, list[0]->poller, MSG_ROUTE_FAILING,
            mpk_done (w));
  talloc_free (ctx);
}

/** Reads one upstream's entry; false: malformed. */
static bool
_rte_counts_read (const rte_t *r, const env_t *env, mpk_reader_t *in,
                  rte_upstream_t **u, flr_counts_t *c)
{
  buf_t name = mpk_get_str (in);
  uint64_t born = mpk_get_uint (in);
  *c = (flr_counts_t){ .failed = (double)mpk_get_uint (in) / 1000,
                       .good = (double)mpk_get_uint (in) / 1000,
                       .at = env->now };
  uint64_t age = mpk_get_uint (in);
  uint64_t count = mpk_get_uint (in);
  if (count > FLR_CUSTOMERS)
    return false;
  c->newest_at = env->now - (clk_ms_t)MIN (age, RTE_FAILING_MEMORY_MS);
  c->customer_count = (size_t)count;
  for (size_t i = 0; i < c->customer_count; i++)
    {
      c->customers[i].customer = mpk_get_uint (in);
      c->customers[i].failed = (double)mpk_get_uint (in) / 1000;
    }
  *u = name.p != NULL ? g_hash_table_lookup (r->by_name, name.p) : NULL;
  /* What was seen of another start says nothing of this one. */
  if (*u != NULL && born != 0 && (*u)->born != 0 && born != (*u)->born)
    *u = NULL;
  return !in->failed && flr_is_sound (c);
}

/** Takes the counts C of VM for U, which this VM polls; SEQ is the number of
 * their message. */
static void
_rte_failing_counts_take (rte_t *r, env_t *env, const char *vm,
                          rte_upstream_t *u, uint64_t seq,
                          const flr_counts_t *c)
{
  _rte_failing_vm_t *v = _rte_failing_vm (u, vm, env->now);
  if (v == NULL
      || (seq <= v->seq && !_rte_failing_is_forgotten (&v->counts, env->now)))
    {
      cnt_add (env->cnt, "rts_route_failing_old_total", "", 1);
      return;
    }
  v->counts = *c;
  v->seq = seq;
  _rte_failing_seen (r, env->now);
  _rte_failing_announce (r, env, u);
}

/** Takes the sum C of the other VMs for U, which VM polls.  An older message
 * of it is ignored; of another poller than last time, which may not have heard
 * all VMs yet, also one that says less than what is known. */
static void
_rte_failing_sum_take (rte_t *r, env_t *env, const char *vm, rte_upstream_t *u,
                       uint64_t seq, const flr_counts_t *c)
{
  rte_failing_t *f = &u->failing;
  uint64_t from = _rte_hash (vm);
  bool old = from == f->others_from && seq <= f->others_seq
             && !_rte_failing_is_forgotten (&f->others, env->now);
  if (from != f->others_from && flr_has_failures (&f->others, env->now))
    old = flr_estimate (c, env->now).weight
          < flr_estimate (&f->others, env->now).weight;
  if (old)
    {
      cnt_add (env->cnt, "rts_route_failing_old_total", "", 1);
      return;
    }
  f->others = *c;
  f->others_from = from;
  f->others_seq = seq;
  _rte_failing_seen (r, env->now);
}

/** Handles one entry; false: malformed.  APPLY: takes what it says. */
static bool
_rte_failing_entry (rte_t *r, env_t *env, const char *vm, const msg_t *msg,
                    mpk_reader_t *in, uint64_t seq, bool apply)
{
  rte_upstream_t *u = NULL;
  flr_counts_t c;
  if (!_rte_counts_read (r, env, in, &u, &c))
    return false;
  if (!apply || u == NULL)
    return true;
  if (msg->kind == MSG_ROUTE_FAILING && u->poll != NULL)
    _rte_failing_counts_take (r, env, vm, u, seq, &c);
  if (msg->kind == MSG_ROUTE_FAILING_SUMS && u->poll == NULL
      && u->poller != NULL && strcmp (u->poller, vm) == 0)
    _rte_failing_sum_take (r, env, vm, u, seq, &c);
  return true;
}

/** Handles all entries of MSG; false: malformed. */
static bool
_rte_failing_entries (rte_t *r, env_t *env, const char *vm, const msg_t *msg,
                      void *ctx, bool apply)
{
  mpk_reader_t in = mpk_reader (ctx, msg->body);
  uint64_t seq = mpk_get_uint (&in);
  size_t count = 0;
  while (mpk_more (&in) && count++ < RTE_FAILING_ENTRIES_MAX)
    if (!_rte_failing_entry (r, env, vm, msg, &in, seq, apply))
      return false;
  return mpk_end (&in);
}

bool
rte_failing_received (rte_t *r, env_t *env, const char *vm, const msg_t *msg,
                      void *ctx)
{
  if (!r->desc.avoid_failing)
    return true;
  if (_rte_failing_entries (r, env, vm, msg, ctx, false))
    return _rte_failing_entries (r, env, vm, msg, ctx, true);
  if (env->now >= r->failing_malformed_at)
    tln_record (env->tln, env->now, MOD_ROUTE, "failing-malformed",
                "vm=%s kind=%u bytes=%zu", vm, (unsigned)msg->kind,
                msg->body.n);
  r->failing_malformed_at = env->now + RTE_FAILING_LOG_GAP_MS;
  return false;
}

static int
_rte_failing_poller_compare (const void *a, const void *b)
{
  const rte_upstream_t *x = *(rte_upstream_t *const *)a;
  const rte_upstream_t *y = *(rte_upstream_t *const *)b;
  return strcmp (x->poller, y->poller);
}

/** Tells all pollers what they have not been told. */
static void
_rte_failing_tell_all (rte_t *r, env_t *env)
{
  GPtrArray *news = g_ptr_array_new ();
  for (tbl_id_t id = tbl_next (r->upstreams, (tbl_id_t){ 0 }); id.id != 0;
       id = tbl_next (r->upstreams, id))
    {
      rte_upstream_t *u = tbl_get (r->upstreams, id);
      if (_rte_failing_is_news (u, env->now))
        g_ptr_array_add (news, u);
    }
  g_ptr_array_sort (news, _rte_failing_poller_compare);
  rte_upstream_t *const *list = (rte_upstream_t *const *)news->pdata;
  for (guint from = 0, to = 0; from < news->len; from = to)
    {
      while (to < news->len && to - from < RTE_FAILING_ENTRIES_MAX
             && strcmp (list[from]->poller, list[to]->poller) == 0)
        to++;
      _rte_failing_tell (r, env, list + from, to - from);
    }
  g_ptr_array_free (news, TRUE);
}

/* -- responses ------------------------------------------------------------
 */

void
rte_answer_status (rte_t *r, env_t *env, uint64_t handle, int status,
                   const char *customer)
{
  rte_inflight_t *f = tbl_get (r->in_flight, (tbl_id_t){ .id = handle });
  bool failed = status >= 500 && status <= 599;
  bool good = status >= 200 && status <= 299;
  if (f == NULL || !r->desc.avoid_failing || (!failed && !good))
    return;
  rte_upstream_t *u = tbl_get (r->upstreams, f->upstream);
  flr_add (&u->failing.own, _rte_hash (customer), failed, env->now);
  u->failing.untold = true;
  cnt_add (env->cnt, "rts_route_answers_total",
           failed ? "outcome=\"failed\"" : "outcome=\"good\"", 1);
  if (!failed)
    return;
  f->answer_failed = true;
  _rte_failing_seen (r, env->now);
  if (u->poll != NULL)
    _rte_failing_announce (r, env, u);
  else if (_rte_failing_is_news (u, env->now))
    _rte_failing_tell (r, env, &u, 1);
}

/* -- suspicion ------------------------------------------------------------
 */

/** Begins or ends the suspicion of U by the comparison's result V. */
static void
_rte_failing_judge (env_t *env, rte_upstream_t *u, const flr_candidate_t *v)
{
  rte_failing_t *f = &u->failing;
  double excess = v == NULL ? 0 : v->excess;
  bool before = f->suspected;
  f->excess = excess;
  f->suspected = excess >= (before ? RTE_FAILING_END : RTE_FAILING_BEGIN);
  if (before == f->suspected)
    return;
  if (f->suspected)
    {
      clk_ms_t spread = RTE_PROBE_MS * clk_max (u->vm_count, 1);
      f->probe_at
          = env->now + (clk_ms_t)(g_rand_double (env->rand) * (double)spread);
      f->since = env->now;
      f->probes = 0;
    }
  cnt_add (env->cnt, "rts_route_failing_total",
           f->suspected ? "change=\"begin\"" : "change=\"end\"", 1);
  if (env->now < f->log_at)
    return;
  f->log_at = env->now + RTE_FAILING_LOG_GAP_MS;
  flr_estimate_t e = v == NULL ? (flr_estimate_t){ 0 } : v->estimate;
  tln_record (env->tln, env->now, MOD_ROUTE,
              f->suspected ? "failing" : "failing-ended",
              "upstream=%s share=%.2f excess=%.2f weight=%.1f customers=%u "
              "age_ms=%lld for_ms=%lld probes=%u",
              u->name, e.share, excess, e.weight, e.customers,
              (long long)e.age_ms, (long long)(env->now - f->since),
              f->probes);
}

void
rte_failing_update (const rte_t *r, env_t *env, rte_deployment_t *d)
{
  if (env->now >= r->failing_until && !d->has_failing)
    return;
  if (d->failing_at == env->now)
    return;
  d->failing_at = env->now;
  flr_candidate_t *v = g_new0 (flr_candidate_t, d->upstreams->len);
  size_t n = 0;
  for (guint i = 0; i < d->upstreams->len; i++)
    {
      const rte_upstream_t *u = g_ptr_array_index (d->upstreams, i);
      if (!u->in_subset || !rte_usable (u, env->now))
        continue;
      v[n].counts = u->failing.own;
      v[n].order = u->hash;
      if (u->poll != NULL)
        v[n].counts = _rte_failing_sum (u, env->now, NULL);
      else
        flr_merge (&v[n].counts, &u->failing.others, env->now);
      n++;
    }
  flr_compare (v, n, env->now);
  d->has_failing = false;
  for (guint i = 0, k = 0; i < d->upstreams->len; i++)
    {
      rte_upstream_t *u = g_ptr_array_index (d->upstreams, i);
      bool compared = u->in_subset && rte_usable (u, env->now);
      _rte_failing_judge (env, u, compared ? &v[k++] : NULL);
      d->has_failing = d->has_failing || u->failing.suspected;
    }
  g_free (v);
}

void
rte_failing_tick (rte_t *r, env_t *env)
{
  if (!r->desc.avoid_failing)
    return;
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, r->deployments);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    rte_failing_update (r, env, value);
  if (env->now < r->failing_until)
    _rte_failing_tell_all (r, env);
}

/** Whether a request of QUERY may be used as a probe of U, which is suspected.
 */
static bool
_rte_failing_probes (const rte_query_t *query, const rte_upstream_t *u,
                     clk_ms_t now)
{
  clk_ms_t grace = query->repeatable ? 0 : RTE_PROBE_GRACE_MS;
  return now >= u->failing.probe_at + grace;
}

double
rte_failing_cost (const rte_query_t *query, const rte_upstream_t *u,
                  bool queued, clk_ms_t now)
{
  if (!u->failing.suspected)
    return 0;
  if (!queued && _rte_failing_probes (query, u, now))
    return -RTE_PROBE_BONUS_MS;
  return u->failing.excess * (query->repeatable ? RTE_AGAIN_MS : RTE_LOST_MS);
}

void
rte_failing_picked (env_t *env, const rte_query_t *query, rte_upstream_t *u)
{
  rte_failing_t *f = &u->failing;
  if (!f->suspected)
    return;
  bool probe = _rte_failing_probes (query, u, env->now);
  cnt_add (env->cnt, "rts_route_failing_picks_total",
           !probe              ? "kind=\"load\""
           : query->repeatable ? "kind=\"probe\""
                               : "kind=\"probe-once\"",
           1);
  f->probes += probe;
  f->probe_at
      = env->now + env_jitter (env, RTE_PROBE_MS * clk_max (u->vm_count, 1));
}

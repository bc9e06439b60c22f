/** @file
 * Router: usage messages to pollers and the reports that they return.
 */
#include "core/mpk.h"
#include "core/rte_int.h"

#include <string.h>
#include <talloc.h>

/** Age from which a poller ignores a VM's counts. */
#define RTE_USAGE_TTL_MS (3 * CLK_SECOND)
/** Maximum number of upstreams in one usage message. */
#define RTE_USAGE_ENTRIES_MAX 128
/** The exchange period is at least this time multiplied by the number of
 * messages sent, so a VM with more than a few pollers sends less often. */
#define RTE_EXCHANGE_PER_POLLER_MS 14
/** A poller whose counts are zero and unchanged gets a message after this time
 * multiplied by the number of pollers, at most RTE_EXCHANGE_IDLE_MS. */
#define RTE_UNCHANGED_PER_POLLER_MS 75
/** Exchange period of a VM that has picked no upstream for the same time. */
#define RTE_EXCHANGE_IDLE_MS ((clk_ms_t)1400)
/** Added to a number of batch requests in usage messages and reports: the VM,
 * or one of the others, wants slots (rte_batch_wants).  Messages are as before
 * while no VM does. */
#define RTE_BATCH_WANTS ((uint64_t)1 << 32)

uint32_t
rte_others_sum (const rte_upstream_t *u, const char *vm, clk_ms_t now,
                uint32_t *batch)
{
  uint32_t sum = 0;
  *batch = 0;
  GHashTableIter iter;
  void *name;
  void *value;
  g_hash_table_iter_init (&iter, u->poll->usage);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const rte_usage_t *usage = value;
      if (now - usage->at >= RTE_USAGE_TTL_MS)
        g_hash_table_iter_remove (&iter);
      else if (strcmp (name, vm) != 0)
        {
          sum += usage->in_flight;
          *batch += usage->batch;
        }
    }
  return sum;
}

/** Whether this VM wants slots at U for batch requests. */
static bool
_rte_wants (const rte_t *r, const rte_upstream_t *u)
{
  return r->wants != NULL && strcmp (r->wants->name, u->deployment) == 0;
}

/** Whether a VM other than this one and VM, which may be NULL, wants slots at
 * U, which this VM polls. */
static bool
_rte_others_want (const rte_upstream_t *u, const char *vm)
{
  GHashTableIter iter;
  void *name;
  void *value;
  g_hash_table_iter_init (&iter, u->poll->usage);
  while (g_hash_table_iter_next (&iter, &name, &value))
    if (((const rte_usage_t *)value)->wants && g_strcmp0 (name, vm) != 0)
      return true;
  return false;
}

/** Sends the counts for the upstreams of LIST to their common poller. */
static void
_rte_usage_send (rte_t *r, env_t *env, const GPtrArray *list)
{
  void *ctx = talloc_new (NULL);
  const rte_upstream_t *first = g_ptr_array_index (list, 0);
  mpk_writer_t w;
  mpk_writer_init (&w, ctx);
  mpk_put_uint (&w, list->len);
  for (guint i = 0; i < list->len; i++)
    {
      const rte_upstream_t *u = g_ptr_array_index (list, i);
      mpk_put_str (&w, buf_str (u->name));
      mpk_put_uint (&w, u->online + u->batch);
      mpk_put_uint (&w, u->batch | (_rte_wants (r, u) ? RTE_BATCH_WANTS : 0));
      mpk_put_uint (&w, u->events_seen);
    }
  mbr_send (r->desc.members, env, first->poller, MSG_ROUTE_USAGE,
            mpk_done (&w));
  talloc_free (ctx);
}

static int
_rte_poller_compare (const void *a, const void *b)
{
  const rte_upstream_t *x = *(rte_upstream_t *const *)a;
  const rte_upstream_t *y = *(rte_upstream_t *const *)b;
  int order = strcmp (x->poller, y->poller);
  return order != 0 ? order : strcmp (x->name, y->name);
}

/** Whether the poller of U needs a usage message: this VM has requests at U,
 * their number has changed, or the last message is QUIET or more ms old. */
static bool
_rte_usage_due (const rte_upstream_t *u, clk_ms_t now, clk_ms_t quiet)
{
  uint32_t own = u->online + u->batch;
  return own > 0 || own != u->usage_sent || now >= u->usage_sent_at + quiet;
}

/** Sends one poller the counts for the upstreams of LIST, all of which it
 * polls, if a message is due for any of them.  Returns the number of messages
 * sent: 0 or 1. */
static size_t
_rte_poller_notify (rte_t *r, env_t *env, const GPtrArray *list,
                    clk_ms_t quiet)
{
  bool due = false;
  for (guint i = 0; i < list->len; i++)
    due = due || _rte_usage_due (g_ptr_array_index (list, i), env->now, quiet);
  if (!due)
    return 0;
  for (guint i = 0; i < list->len; i++)
    {
      rte_upstream_t *u = g_ptr_array_index (list, i);
      u->usage_sent = u->online + u->batch;
      u->usage_sent_at = env->now;
    }
  _rte_usage_send (r, env, list);
  return 1;
}

/** Sends usage messages to all pollers that need one.  Returns the number of
 * messages sent. */
static size_t
_rte_usage_send_all (rte_t *r, env_t *env)
{
  GPtrArray *all = g_ptr_array_new ();
  GPtrArray *list = g_ptr_array_new ();
  size_t sent = 0;
  for (tbl_id_t id = tbl_next (r->upstreams, (tbl_id_t){ 0 }); id.id != 0;
       id = tbl_next (r->upstreams, id))
    {
      rte_upstream_t *u = tbl_get (r->upstreams, id);
      if (u->configured && u->in_subset && u->poller != NULL
          && u->poll == NULL)
        g_ptr_array_add (all, u);
    }
  g_ptr_array_sort (all, _rte_poller_compare);
  clk_ms_t quiet
      = clk_min ((clk_ms_t)r->poller_count * RTE_UNCHANGED_PER_POLLER_MS,
                 RTE_EXCHANGE_IDLE_MS);
  r->poller_count = 0;
  for (guint i = 0; i < all->len; i++)
    {
      const rte_upstream_t *u = g_ptr_array_index (all, i);
      const rte_upstream_t *next
          = i + 1 < all->len ? g_ptr_array_index (all, i + 1) : NULL;
      if (list->len < RTE_USAGE_ENTRIES_MAX)
        g_ptr_array_add (list, (void *)u);
      if (next != NULL && strcmp (next->poller, u->poller) == 0)
        continue;
      sent += _rte_poller_notify (r, env, list, quiet);
      g_ptr_array_set_size (list, 0);
      r->poller_count++;
    }
  g_ptr_array_free (list, TRUE);
  g_ptr_array_free (all, TRUE);
  return sent;
}

/** Updates the sums for the upstreams that this VM polls itself. */
static void
_rte_own_sums_update (rte_t *r, const env_t *env)
{
  for (tbl_id_t id = tbl_next (r->upstreams, (tbl_id_t){ 0 }); id.id != 0;
       id = tbl_next (r->upstreams, id))
    {
      rte_upstream_t *u = tbl_get (r->upstreams, id);
      if (u->poll == NULL)
        continue;
      u->others = rte_others_sum (u, env->vm, env->now, &u->others_batch);
      u->others_want = _rte_others_want (u, env->vm);
      u->vm_count = g_hash_table_size (u->poll->usage) + 1;
      u->others_at = env->now;
      u->update_count++;
      u->own_at_update = u->online + u->batch;
    }
}

static void
_rte_exchange_arm (rte_t *r, env_t *env, clk_ms_t period)
{
  r->exchange_at = env->now + env_jitter (env, period);
  tmr_arm (env->tmr, r->exchange_at, MOD_ROUTE, RTE_TIMER_EXCHANGE);
}

/** Period of the exchange of a VM that sends requests. */
static clk_ms_t
_rte_exchange_period (const rte_t *r)
{
  return clk_max (r->desc.exchange_ms,
                  (clk_ms_t)r->message_count * RTE_EXCHANGE_PER_POLLER_MS);
}

void
rte_exchange_wake (rte_t *r, env_t *env)
{
  if (!r->ticking)
    return;
  clk_ms_t earliest = r->exchanged_at + _rte_exchange_period (r);
  if (earliest <= env->now)
    {
      r->exchange_at = env->now;
      tmr_arm (env->tmr, env->now, MOD_ROUTE, RTE_TIMER_EXCHANGE);
    }
  else if (r->exchange_at - env->now > 2 * r->desc.exchange_ms)
    _rte_exchange_arm (r, env, earliest - env->now);
}

void
rte_exchange_tick (rte_t *r, env_t *env)
{
  if (env->now < r->exchange_at)
    return;
  _rte_own_sums_update (r, env);
  rte_failing_tick (r, env);
  r->message_count = _rte_usage_send_all (r, env);
  r->exchanged_at = env->now;
  clk_ms_t period = _rte_exchange_period (r);
  /* An idle VM needs reports only to learn which upstreams are leaving. */
  if (env->now - r->picked_at > RTE_EXCHANGE_IDLE_MS)
    period = clk_max (period, RTE_EXCHANGE_IDLE_MS);
  _rte_exchange_arm (r, env, period);
}

/** Writes the report on U for VM, which has received SEEN cache events. */
static void
_rte_report_write (const rte_t *r, mpk_writer_t *w, const env_t *env,
                   const rte_upstream_t *u, const char *vm, uint64_t seen)
{
  const rte_poll_t *p = u->poll;
  uint64_t from = seen;
  if (from > p->event_count)
    from = p->event_count; /* SEEN was counted by another poller */
  if (p->event_count - from > RTE_EVENTS_SENT)
    from = p->event_count - RTE_EVENTS_SENT;
  mpk_put_str (w, buf_str (u->name));
  uint32_t batch;
  uint32_t others
      = rte_others_sum (u, vm, env->now, &batch) + u->online + u->batch;
  mpk_put_uint (w, g_hash_table_size (p->usage) + 1);
  mpk_put_uint (w, others);
  bool want = _rte_wants (r, u) || _rte_others_want (u, vm);
  mpk_put_uint (w, (batch + u->batch) | (want ? RTE_BATCH_WANTS : 0));
  mpk_put_uint (w, u->born << RTE_STATE_BITS | u->state);
  mpk_put_uint (w, (uint64_t)(env->now - u->report_at));
  mpk_put_uint (w, u->running);
  mpk_put_uint (w, u->waiting);
  mpk_put_uint (w, u->hidden);
  mpk_put_uint (w, u->slots);
  mpk_put_uint (w, p->event_count);
  mpk_put_uint (w, p->event_count - from);
  for (uint64_t i = from; i < p->event_count; i++)
    {
      mpk_put_uint (w, p->events[i % RTE_EVENTS_KEPT].added);
      mpk_put_uint (w, p->events[i % RTE_EVENTS_KEPT].prefix);
    }
}

void
rte_usage_record (rte_upstream_t *u, const env_t *env, const char *vm,
                  uint32_t in_flight, uint32_t batch)
{
  const rte_usage_t *before = g_hash_table_lookup (u->poll->usage, vm);
  rte_usage_t *usage = g_new (rte_usage_t, 1);
  *usage = (rte_usage_t){ .in_flight = in_flight,
                          .batch = batch,
                          .wants = before != NULL && before->wants,
                          .at = env->now };
  g_hash_table_replace (u->poll->usage, g_strdup (vm), usage);
}

static bool
_rte_usage_received (rte_t *r, env_t *env, const char *vm, mpk_reader_t *in)
{
  mpk_writer_t w;
  mpk_writer_init (&w, in->ctx);
  uint64_t count = mpk_get_uint (in);
  unsigned reported = 0;
  rte_upstream_t *polled[RTE_USAGE_ENTRIES_MAX];
  for (uint64_t i = 0; i < count && i < RTE_USAGE_ENTRIES_MAX && mpk_more (in);
       i++)
    {
      buf_t name = mpk_get_str (in);
      uint64_t in_flight = mpk_get_uint (in);
      uint64_t batch = mpk_get_uint (in);
      uint64_t seen = mpk_get_uint (in);
      rte_upstream_t *u
          = name.p ? g_hash_table_lookup (r->by_name, name.p) : NULL;
      bool wants = (batch & RTE_BATCH_WANTS) != 0;
      batch &= ~RTE_BATCH_WANTS;
      if (u == NULL || u->poll == NULL || in_flight > UINT16_MAX
          || batch > in_flight)
        continue;
      rte_usage_record (u, env, vm, (uint32_t)in_flight, (uint32_t)batch);
      ((rte_usage_t *)g_hash_table_lookup (u->poll->usage, vm))->wants = wants;
      rte_limit_user_seen (r, env, u, vm);
      if (in_flight > batch)
        rte_preempt_as_poller (r, env, u);
      _rte_report_write (r, &w, env, u, vm, seen);
      polled[reported++] = u;
    }
  buf_t body = mpk_done (&w);
  bool good = mpk_end (in);
  if (good && reported > 0)
    {
      mbr_send (r->desc.members, env, vm, MSG_ROUTE_REPORT, body);
      rte_failing_sums_send (r, env, vm, polled, reported);
    }
  return good;
}

/** Whether the other VM called VM polls U, as far as this VM knows.  A VM that
 * did so before may report late. */
static bool
_rte_is_poller (const rte_upstream_t *u, const char *vm)
{
  return u->poll == NULL && u->poller != NULL && strcmp (u->poller, vm) == 0;
}

/** Whether BORN, the start of U by a report, is another one than the one that
 * this VM knows; both may be unknown (0). */
static bool
_rte_is_other_start (const rte_upstream_t *u, uint64_t born)
{
  return born != 0 && u->born != 0 && born != u->born;
}

/** Reads one upstream's entry of a report of VM; APPLY: applies the entry
 * too. */
static void
_rte_report_read (rte_t *r, env_t *env, const char *vm, mpk_reader_t *in,
                  bool apply)
{
  buf_t name = mpk_get_str (in);
  uint64_t vm_count = mpk_get_uint (in);
  uint64_t others = mpk_get_uint (in);
  uint64_t batch = mpk_get_uint (in);
  uint64_t state = mpk_get_uint (in);
  uint64_t age = mpk_get_uint (in);
  uint64_t running = mpk_get_uint (in);
  uint64_t waiting = mpk_get_uint (in);
  uint64_t hidden = mpk_get_uint (in);
  uint64_t slots = mpk_get_uint (in);
  uint64_t seen = mpk_get_uint (in);
  uint64_t events = mpk_get_uint (in);
  rte_upstream_t *u = name.p ? g_hash_table_lookup (r->by_name, name.p) : NULL;
  bool applies = apply && u != NULL && _rte_is_poller (u, vm);
  for (uint64_t i = 0; i < events && mpk_more (in); i++)
    {
      bool added = mpk_get_uint (in) != 0;
      uint64_t prefix = mpk_get_uint (in);
      if (applies && prefix != 0)
        rte_cache_event_apply (r, env, u, added, prefix);
    }
  if (!applies)
    return;
  u->vm_count = (uint32_t)vm_count;
  u->others = (uint32_t)others;
  u->others_batch = (uint32_t)batch;
  u->others_want = (batch & RTE_BATCH_WANTS) != 0;
  u->update_count++;
  u->others_at = env->now;
  u->own_at_update = u->online + u->batch;
  if (_rte_is_other_start (u, state >> RTE_STATE_BITS))
    return;
  rte_state_set (env, u, (uint32_t)state & RTE_STATE_MASK, vm);
  u->running = (uint32_t)running;
  u->waiting = (uint32_t)waiting;
  u->hidden = (uint32_t)hidden;
  u->report_at = env->now - (clk_ms_t)age;
  u->own_at_report = u->own_at_update;
  u->events_seen = seen;
  rte_load_changed (r, u);
  if (slots > 0)
    u->slots = (uint32_t)slots;
}

static bool
_rte_report_received (rte_t *r, env_t *env, const char *vm, const msg_t *msg,
                      void *ctx)
{
  /* The first pass checks the complete body, the second applies it. */
  mpk_reader_t in = mpk_reader (ctx, msg->body);
  while (mpk_more (&in))
    _rte_report_read (r, env, vm, &in, false);
  if (!mpk_end (&in))
    return false;
  in = mpk_reader (ctx, msg->body);
  while (mpk_more (&in))
    _rte_report_read (r, env, vm, &in, true);
  return true;
}

void
rte_message_received (rte_t *r, env_t *env, const char *vm, const msg_t *msg)
{
  void *ctx = talloc_new (NULL);
  bool good = false;
  mpk_reader_t in = mpk_reader (ctx, msg->body);
  if (msg->kind == MSG_ROUTE_USAGE)
    good = _rte_usage_received (r, env, vm, &in);
  else if (msg->kind == MSG_ROUTE_REPORT)
    good = _rte_report_received (r, env, vm, msg, ctx);
  else if (msg->kind == MSG_ROUTE_SLOTS_TAKEN
           || msg->kind == MSG_ROUTE_PREEMPT)
    good = rte_preempt_received (r, env, vm, msg, ctx);
  else if (msg->kind == MSG_ROUTE_TOKENS_ASK || msg->kind == MSG_ROUTE_TOKENS)
    good = rte_limit_received (r, env, vm, msg, ctx);
  else if (msg->kind == MSG_ROUTE_COLD)
    good = rte_cold_received (r, env, vm, msg, ctx);
  else if (msg->kind == MSG_ROUTE_FAILING
           || msg->kind == MSG_ROUTE_FAILING_SUMS)
    good = rte_failing_received (r, env, vm, msg, ctx);
  if (!good)
    cnt_add (env->cnt, "rts_route_bad_messages_total", "", 1);
  talloc_free (ctx);
}

#include "core/crd.h"

#include "core/crd_int.h"
#include "core/mpk.h"

#include <string.h>
#include <talloc.h>

/* -- reports -------------------------------------------------------------- */

static crd_report_t
_crd_report_make (const crd_upstream_t *u, clk_ms_t now)
{
  return (crd_report_t){ .sent_at = now,
                         .in_flight = u->load.in_flight,
                         .waiting = u->load.waiting,
                         .used = u->used,
                         .demand = now < u->demand_until ? u->demand : 0,
                         .running_known = u->load.running_known,
                         .running = u->load.running };
}

static void
_crd_put_report (mpk_writer_t *w, const crd_upstream_t *u,
                 const crd_report_t *r)
{
  mpk_put_str (w, buf_str (u->name));
  mpk_put_uint (w, r->in_flight);
  mpk_put_uint (w, r->waiting);
  mpk_put_uint (w, r->used);
  mpk_put_uint (w, r->demand);
  mpk_put_uint (w, r->running_known ? (uint64_t)r->running + 1 : 0);
}

/* Whether U may be reported to its owner: after a change of owner, the credits
 * of the old one expire first. */
static bool
_crd_may_report (const crd_upstream_t *u, clk_ms_t now)
{
  return u->owner[0] != '\0'
         && (strcmp (u->granter, u->owner) == 0 || now >= u->granted_until);
}

static void
_crd_report_send (crd_t *c, env_t *env, crd_upstream_t **list, size_t n)
{
  void *ctx = talloc_new (NULL);
  mpk_writer_t w;
  mpk_writer_init (&w, ctx);
  mpk_put_int (&w, env->now);
  const char *owner = list[0]->owner;
  bool self = strcmp (owner, env->vm) == 0;
  for (size_t i = 0; i < n; i++)
    {
      crd_upstream_t *u = list[i];
      crd_report_t r = _crd_report_make (u, env->now);
      u->reported_at = env->now;
      u->reported_idle = r.in_flight + r.waiting + r.used + r.demand == 0;
      if (self)
        crd_own_report (c, env, u, env->vm, &r);
      else
        _crd_put_report (&w, u, &r);
    }
  buf_t body = mpk_done (&w);
  if (!self)
    fx_peer_send (env->fx, owner, CRD_MSG_REPORT, body);
  talloc_free (ctx);
}

void
crd_report_one (crd_t *c, env_t *env, crd_upstream_t *u)
{
  if (c->started && _crd_may_report (u, env->now))
    _crd_report_send (c, env, &u, 1);
}

/* Whether U has load or demand, or had some at the last report. */
static bool
_crd_has_load (const crd_upstream_t *u, clk_ms_t now)
{
  return u->load.in_flight + u->load.waiting + u->used > 0
         || now < u->demand_until || !u->reported_idle;
}

/* Sends each owner one message with all of its upstreams that have load. */
static void
_crd_report_all (crd_t *c, env_t *env)
{
  crd_upstream_t **list = talloc_array (NULL, crd_upstream_t *, c->count + 1);
  bool *done = talloc_zero_array (list, bool, c->count + 1);
  for (size_t i = 0; i < c->count; i++)
    {
      size_t n = 0;
      for (size_t k = i; k < c->count; k++)
        {
          crd_upstream_t *u = &c->upstreams[k];
          if (done[k] || !_crd_may_report (u, env->now)
              || !_crd_has_load (u, env->now)
              || (n > 0 && strcmp (list[0]->owner, u->owner) != 0))
            continue;
          done[k] = true;
          list[n++] = u;
        }
      if (n > 0)
        _crd_report_send (c, env, list, n);
    }
  talloc_free (list);
}

void
crd_load_changed (crd_t *c, env_t *env, const crd_load_t *load)
{
  crd_upstream_t *u = crd_find (c, load->upstream);
  if (u == NULL)
    return;
  uint32_t before = u->load.in_flight + u->load.waiting;
  uint32_t after = load->in_flight + load->waiting;
  u->load = *load;
  u->load.upstream = u->name;
  crd_enforce (c, u, env->now);
  bool due = env->now - u->reported_at >= CRD_REPORT_GAP_MIN_MS;
  if (after > before || (due && _crd_has_load (u, env->now)))
    crd_report_one (c, env, u);
}

void
crd_timer_fired (crd_t *c, env_t *env, uint64_t tag)
{
  for (size_t i = 0; i < c->count; i++)
    crd_enforce (c, &c->upstreams[i], env->now);
  if (tag != CRD_TAG_REPORT)
    return;
  tmr_arm (env->tmr, env->now + env_jitter (env, c->desc.report_ms),
           MOD_CREDIT, CRD_TAG_REPORT);
  for (size_t i = 0; i < c->count; i++)
    crd_own_tick (c, env, &c->upstreams[i]);
  _crd_report_all (c, env);
}

/* -- messages ------------------------------------------------------------- */

static void
_crd_report_received (crd_t *c, env_t *env, const char *vm, mpk_reader_t *r)
{
  clk_ms_t sent_at = mpk_get_int (r);
  while (mpk_more (r))
    {
      buf_t name = mpk_get_str (r);
      crd_report_t report = { .sent_at = sent_at };
      report.in_flight = (uint32_t)mpk_get_uint (r);
      report.waiting = (uint32_t)mpk_get_uint (r);
      report.used = (uint32_t)mpk_get_uint (r);
      report.demand = (uint32_t)mpk_get_uint (r);
      uint64_t running = mpk_get_uint (r);
      report.running_known = running > 0;
      report.running = running > 0 ? (uint32_t)(running - 1) : 0;
      if (r->failed)
        return;
      crd_upstream_t *u = crd_find (c, name.p);
      if (u != NULL && strcmp (u->owner, env->vm) == 0)
        crd_own_report (c, env, u, vm, &report);
    }
}

void
crd_message_received (crd_t *c, env_t *env, const char *vm, const msg_t *msg)
{
  void *ctx = talloc_new (NULL);
  mpk_reader_t r = mpk_reader (ctx, msg->body);
  if (msg->kind == CRD_MSG_REPORT)
    _crd_report_received (c, env, vm, &r);
  else
    {
      clk_ms_t sent_at = mpk_get_int (&r);
      buf_t name = mpk_get_str (&r);
      uint32_t granted = (uint32_t)mpk_get_uint (&r);
      crd_upstream_t *u = mpk_end (&r) ? crd_find (c, name.p) : NULL;
      if (u != NULL && sent_at <= env->now)
        crd_grant_apply (c, env, u, vm, granted, sent_at);
    }
  if (!mpk_end (&r))
    cnt_add (env->cnt, "rts_credit_bad_messages_total", "", 1);
  talloc_free (ctx);
}

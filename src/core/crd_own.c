/** @file
 * Batch credits (prefix crd_), the owner's side: how the owner of an upstream
 * counts its load from the reports of the VMs, and the foreign load from the
 * upstream's own report.  It divides the slots that remain, less a reserve for
 * bursts, among the VMs that reported lately, and grants them as credits.
 */
#include "core/crd_int.h"
#include "core/inv.h"
#include "core/mpk.h"

#include <string.h>
#include <talloc.h>

/* Age that an upstream's own load report may have. */
#define CRD_UPSTREAM_REPORT_AGE_MAX_MS 1500

static bool
_crd_is_fresh (const crd_reporter_t *r, clk_ms_t now)
{
  return now - r->seen_at < CRD_CREDIT_TTL_MS;
}

static crd_reporter_t *
_crd_reporter_get (crd_t *c, crd_own_t *o, const char *vm)
{
  for (size_t i = 0; i < o->count; i++)
    {
      if (strcmp (o->reporters[i].vm, vm) == 0)
        return &o->reporters[i];
    }
  o->reporters = talloc_realloc (c->config_ctx, o->reporters, crd_reporter_t,
                                 o->count + 1);
  crd_reporter_t *r = &o->reporters[o->count++];
  *r = (crd_reporter_t){ .vm = talloc_strdup (o->reporters, vm) };
  return r;
}

/* -- load ----------------------------------------------------------------- */

static uint32_t
_crd_online (const crd_own_t *o)
{
  uint32_t n = 0;
  for (size_t i = 0; i < o->count; i++)
    {
      const crd_report_t *r = &o->reporters[i].report;
      n += r->in_flight > r->waiting ? r->in_flight : r->waiting;
    }
  return n;
}

static uint32_t
_crd_batch (const crd_own_t *o)
{
  uint32_t n = 0;
  for (size_t i = 0; i < o->count; i++)
    n += o->reporters[i].report.used;
  return n;
}

static void
_crd_burst_record (const crd_t *c, crd_own_t *o, clk_ms_t now, uint32_t rise)
{
  clk_ms_t width = c->desc.burst_memory_ms / CRD_BURST_BUCKETS;
  if (now - o->burst_at >= c->desc.burst_memory_ms)
    {
      memset (o->burst, 0, sizeof o->burst);
      o->burst_at = now;
    }
  for (; now - o->burst_at >= width; o->burst_at += width)
    {
      memmove (&o->burst[1], &o->burst[0],
               (CRD_BURST_BUCKETS - 1) * sizeof o->burst[0]);
      o->burst[0] = 0;
    }
  if (rise > o->burst[0])
    o->burst[0] = rise;
}

uint32_t
crd_own_reserve (const crd_t *c, const crd_own_t *o)
{
  uint32_t most = 1;
  for (size_t i = 0; i < CRD_BURST_BUCKETS; i++)
    most = o->burst[i] > most ? o->burst[i] : most;
  return c->desc.reserve_minus_one ? most - 1 : most;
}

/* Stores a load sample; a rise within the burst window is a burst. */
static void
_crd_sample_add (const crd_t *c, crd_own_t *o, clk_ms_t now)
{
  uint32_t online = _crd_online (o);
  uint32_t least = online;
  for (size_t i = 0; i < CRD_HISTORY_SAMPLES; i++)
    {
      if (o->history[i].at > 0 && now - o->history[i].at <= c->desc.burst_ms
          && o->history[i].online < least)
        least = o->history[i].online;
    }
  _crd_burst_record (c, o, now, online - least);
  o->history[o->history_next].at = now;
  o->history[o->history_next].online = online;
  o->history[o->history_next].known = online + _crd_batch (o);
  o->history_next = (o->history_next + 1) % CRD_HISTORY_SAMPLES;
}

/* Sets the foreign load: the load of VMs that report to another owner.  This
 * is the load that the upstream reports beyond the highest load known during
 * the time in which the upstream may have made its report.  A rise counts in
 * full and a fall only by half, so that two owners do not both grant all of
 * the freed slots. */
static void
_crd_foreign_update (crd_own_t *o, clk_ms_t now, uint32_t running)
{
  uint32_t known = _crd_online (o) + _crd_batch (o);
  for (size_t i = 0; i < CRD_HISTORY_SAMPLES; i++)
    {
      if (o->history[i].at > 0
          && now - o->history[i].at <= CRD_UPSTREAM_REPORT_AGE_MAX_MS
          && o->history[i].known > known)
        known = o->history[i].known;
    }
  uint32_t foreign = running > known ? running - known : 0;
  if (foreign >= o->foreign)
    o->foreign = foreign;
  else
    o->foreign = foreign + (o->foreign - foreign) / 2;
  o->online_at_foreign = _crd_online (o);
}

/* -- credits -------------------------------------------------------------- */

/* Number of slots that batch items of all VMs may use. */
static uint32_t
_crd_idle_slots (const crd_t *c, const crd_upstream_t *u, clk_ms_t now)
{
  const crd_own_t *o = &u->own;
  uint32_t online = _crd_online (o);
  uint32_t taken = online + crd_own_reserve (c, o) + o->foreign;
  /* Foreign load is assumed to have risen like the known load since. */
  if (o->foreign > 0 && online > o->online_at_foreign)
    taken += online - o->online_at_foreign;
  /* A VM whose reports stopped may still use the credits granted to it. */
  for (size_t i = 0; i < o->count; i++)
    {
      const crd_reporter_t *r = &o->reporters[i];
      if (!_crd_is_fresh (r, now) && now - r->granted_at < CRD_CREDIT_TTL_MS)
        taken += r->granted;
    }
  return u->slots > taken ? u->slots - taken : 0;
}

/* Divides IDLE slots evenly among the VMs with a fresh report, none more than
 * the VM needs. */
static void
_crd_idle_share (const crd_own_t *o, clk_ms_t now, uint32_t idle,
                 uint32_t *shares)
{
  bool more = true;
  while (idle > 0 && more)
    {
      more = false;
      for (size_t i = 0; i < o->count && idle > 0; i++)
        {
          const crd_reporter_t *r = &o->reporters[i];
          uint32_t need = r->report.used + r->report.demand;
          if (!_crd_is_fresh (r, now) || shares[i] >= need)
            continue;
          shares[i]++;
          idle--;
          more = true;
        }
    }
}

static void
_crd_send_grant (crd_t *c, env_t *env, crd_upstream_t *u, crd_reporter_t *r,
                 uint32_t share)
{
  r->granted = share;
  r->granted_at = env->now;
  clk_ms_t sent_at = r->report.sent_at;
  if (strcmp (r->vm, env->vm) == 0)
    {
      crd_grant_apply (c, env, u, env->vm, share, sent_at);
      return;
    }
  void *ctx = talloc_new (NULL);
  mpk_writer_t w;
  mpk_writer_init (&w, ctx);
  mpk_put_int (&w, sent_at);
  mpk_put_str (&w, buf_str (u->name));
  mpk_put_uint (&w, share);
  fx_peer_send (env->fx, r->vm, CRD_MSG_GRANT, mpk_done (&w));
  talloc_free (ctx);
}

/* Grants credits again: to the reporter TO in any case (may be NULL), to the
 * others when their share has changed. */
static void
_crd_grants_send (crd_t *c, env_t *env, crd_upstream_t *u, const char *to)
{
  crd_own_t *o = &u->own;
  uint32_t *shares = talloc_zero_array (NULL, uint32_t, o->count);
  uint32_t idle = _crd_idle_slots (c, u, env->now);
  _crd_idle_share (o, env->now, idle, shares);
  uint32_t sum = 0;
  for (size_t i = 0; i < o->count; i++)
    sum += shares[i];
  INV_CHECK (sum <= idle, "credits-fit-idle-slots",
             "%s: %u credits granted, %u slots idle", u->name, sum, idle);
  for (size_t i = 0; i < o->count; i++)
    {
      crd_reporter_t *r = &o->reporters[i];
      bool requested = to != NULL && strcmp (r->vm, to) == 0;
      if (_crd_is_fresh (r, env->now)
          && (requested || shares[i] != r->granted))
        _crd_send_grant (c, env, u, r, shares[i]);
    }
  talloc_free (shares);
}

void
crd_own_report (crd_t *c, env_t *env, crd_upstream_t *u, const char *vm,
                const crd_report_t *report)
{
  crd_own_t *o = &u->own;
  crd_reporter_t *r = _crd_reporter_get (c, o, vm);
  if (report->sent_at < r->report.sent_at && _crd_is_fresh (r, env->now))
    return; /* a later report has overtaken this one */
  r->report = *report;
  r->seen_at = env->now;
  _crd_sample_add (c, o, env->now);
  if (report->running_known)
    _crd_foreign_update (o, env->now, report->running);
  _crd_grants_send (c, env, u, vm);
}

void
crd_own_tick (crd_t *c, env_t *env, crd_upstream_t *u)
{
  crd_own_t *o = &u->own;
  bool owned_here = strcmp (u->owner, env->vm) == 0;
  size_t kept = 0;
  for (size_t i = 0; i < o->count; i++)
    {
      crd_reporter_t *r = &o->reporters[i];
      bool expired = env->now - r->seen_at >= 2 * CRD_CREDIT_TTL_MS;
      if (owned_here && !expired)
        o->reporters[kept++] = *r;
      else
        talloc_free (r->vm);
    }
  bool changed = kept != o->count;
  o->count = kept;
  if (changed && kept > 0)
    _crd_grants_send (c, env, u, NULL);
}

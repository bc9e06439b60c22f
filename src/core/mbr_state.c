/** @file
 * Which VMs are up: from the links, and from reports where there is no link.
 *
 * A report names the incarnation of its VM.  A report of a newer incarnation
 * replaces one of an older incarnation; within one incarnation "down" replaces
 * "up", and "up" replaces that none has come.  Only the VM itself increments
 * its incarnation, when a report says that the VM is down.  Without a link and
 * a report a VM is not up: that nobody says that it is down proves nothing, as
 * the VMs that saw it go may not know this VM yet.
 *
 * A VM forwards a report only if the report changes the state that this VM
 * holds.  This is enough where all VMs know each other: every VM that an older
 * report reached holds the state of that report.  A newer report of the
 * opposite state changes each of these VMs, so each of them forwards it, and
 * it reaches them all.  A VM that receives an outdated report replies with the
 * newer one.  So all VMs converge even if reports overtake each other.
 *
 * Reports about a VM that the receiver's list does not have yet are lost, as
 * are those of a link that breaks.  Heartbeats therefore carry digests of the
 * list and of the reports; where the lists are equal and the reports are not,
 * the receiver sends all of its reports.
 */
#include "core/mbr_int.h"

#include <talloc.h>

#define MBR_PING_MS_DEFAULT 500
#define MBR_PING_GRID_MS (3 * CLK_SECOND)

/* Missed heartbeats after which a VM counts as down. */
#define MBR_PINGS_MISSED_MAX 3

/* A VM whose link is not open after this time counts as down. */
#define MBR_LINK_OPEN_TIMEOUT_MS (2 * CLK_SECOND)

/* Shortest time between two transfers of all reports to one VM. */
#define MBR_SYNC_MS (1 * CLK_SECOND)

/* Largest incarnation that a report may name; a VM needs years for as many. */
#define MBR_INCARNATION_MAX ((uint64_t)1 << 48)

/* Largest number of open links to VMs that are not in the list. */
#define MBR_UNLISTED_MAX 1024

/* Whether the link alone, without reports, shows if the VM is up. */
static bool
_mbr_is_linked (const mbr_entry_t *e)
{
  return e->link_wanted || e->link_open;
}

void
mbr_entry_update (mbr_t *m, env_t *env, mbr_entry_t *e)
{
  bool up = e->report == MBR_REPORTED_UP;
  if (_mbr_is_linked (e))
    up = e->link_open && !e->silent;
  up = up || e->vm.self;
  if (up == e->vm.up)
    return;
  e->vm.up = up;
  e->vm.down_since = up ? CLK_NEVER : env->now;
  m->generation++;
  tln_record (env->tln, env->now, MOD_MEMBER, up ? "vm-up" : "vm-down",
              "vm=%s", e->vm.name);
  if (!_mbr_is_linked (e) && !e->vm.self)
    tln_record (env->tln, env->now, MOD_MEMBER, "vm-known",
                "vm=%s by=%s incarnation=%llu", e->vm.name,
                e->report == MBR_UNREPORTED ? "nothing" : "report",
                (unsigned long long)e->incarnation);
  cnt_add (env->cnt, "rts_member_changes_total",
           up ? "state=\"up\"" : "state=\"down\"", 1);
}

/* ---- digests ---- */

/* What two VMs compare; each part is a sum over the list, in any order. */
typedef struct
{
  uint64_t names;
  uint64_t reports;
} _mbr_digest_t;

static _mbr_digest_t
_mbr_digest (const mbr_t *m)
{
  _mbr_digest_t d = { 0 };
  for (size_t i = 0; i < m->count; i++)
    {
      const mbr_entry_t *e = m->entries[i];
      d.names += e->name_hash;
      d.reports += own_weight_hashed (
          e->name_hash, e->incarnation * MBR_REPORTS + e->report);
    }
  return d;
}

static buf_t
_mbr_ping_encode (const mbr_t *m, void *ctx)
{
  _mbr_digest_t d = _mbr_digest (m);
  mpk_writer_t w;
  mpk_writer_init (&w, ctx);
  mpk_put_uint (&w, d.names);
  mpk_put_uint (&w, d.reports);
  return mpk_done (&w);
}

static void
_mbr_digest_send (const mbr_t *m, env_t *env, const mbr_entry_t *to)
{
  void *tmp = talloc_new (NULL);
  fx_peer_send (env->fx, to->vm.name, MSG_MEMBER_PING,
                _mbr_ping_encode (m, tmp));
  talloc_free (tmp);
}

/* ---- reports ---- */

static buf_t
_mbr_report_encode (void *ctx, const mbr_entry_t *about)
{
  mpk_writer_t w;
  mpk_writer_init (&w, ctx);
  mpk_put_str (&w, buf_str (about->vm.name));
  mpk_put_uint (&w, about->report == MBR_REPORTED_UP);
  mpk_put_uint (&w, about->incarnation);
  return mpk_done (&w);
}

static void
_mbr_report_send (mbr_t *m, env_t *env, const mbr_entry_t *about,
                  const char *vm)
{
  buf_t body = _mbr_report_encode (m, about);
  fx_peer_send (env->fx, vm, MSG_MEMBER_STATE, body);
  talloc_free ((void *)(uintptr_t)body.p);
}

/* Send a report about ABOUT to all linked VMs of a grid but EXCEPT, which may
 * be NULL. */
static void
_mbr_report_broadcast (mbr_t *m, env_t *env, const mbr_entry_t *about,
                       const char *except)
{
  if (!mbr_is_grid (m))
    return;
  buf_t body = _mbr_report_encode (m, about);
  for (size_t i = 0; i < m->count; i++)
    {
      const mbr_entry_t *e = m->entries[i];
      if (e->link_open && (except == NULL || strcmp (e->vm.name, except) != 0))
        fx_peer_send (env->fx, e->vm.name, MSG_MEMBER_STATE, body);
    }
  talloc_free ((void *)(uintptr_t)body.p);
}

/* Send over a new link the reports that the other end is likely to lack. */
static void
_mbr_reports_sync (mbr_t *m, env_t *env, const mbr_entry_t *to)
{
  if (!mbr_is_grid (m))
    return;
  for (size_t i = 0; i < m->count; i++)
    {
      const mbr_entry_t *e = m->entries[i];
      bool about_end = e->vm.self || (e == to && e->report != MBR_UNREPORTED);
      if (e->report == MBR_REPORTED_DOWN || about_end)
        _mbr_report_send (m, env, e, to->vm.name);
    }
  _mbr_digest_send (m, env, to);
}

static void
_mbr_down_broadcast (mbr_t *m, env_t *env, mbr_entry_t *e)
{
  if (e->report == MBR_REPORTED_DOWN)
    return;
  e->report = MBR_REPORTED_DOWN;
  _mbr_report_broadcast (m, env, e, NULL);
}

/* Handle a report from VM about this VM itself.  This VM is up, so it refutes
 * a "down" report with a newer incarnation. */
static void
_mbr_self_report_received (mbr_t *m, env_t *env, const char *vm, bool up,
                           uint64_t incarnation)
{
  mbr_entry_t *self = m->self;
  uint64_t needed = up ? incarnation : incarnation + 1;
  if (needed > self->incarnation)
    {
      self->incarnation = needed;
      _mbr_report_broadcast (m, env, self, NULL);
    }
  else if (!up)
    _mbr_report_send (m, env, self, vm);
}

void
mbr_state_received (mbr_t *m, env_t *env, const char *vm, mpk_reader_t *r)
{
  const char *name = mpk_get_str (r).p;
  bool up = mpk_get_uint (r) != 0;
  uint64_t incarnation = mpk_get_uint (r);
  mbr_entry_t *e = mpk_end (r) ? mbr_entry_find (m, name) : NULL;
  if (e == NULL || incarnation > MBR_INCARNATION_MAX)
    return;
  if (e->vm.self)
    {
      _mbr_self_report_received (m, env, vm, up, incarnation);
      return;
    }
  mbr_report_t report = up ? MBR_REPORTED_UP : MBR_REPORTED_DOWN;
  if (incarnation < e->incarnation && report != e->report)
    _mbr_report_send (m, env, e, vm);
  if (incarnation < e->incarnation
      || (incarnation == e->incarnation && report <= e->report))
    return;
  bool changed = report != e->report;
  e->incarnation = incarnation;
  e->report = report;
  mbr_entry_update (m, env, e);
  if (changed)
    _mbr_report_broadcast (m, env, e, vm);
}

/* ---- heartbeats with digests ---- */

void
mbr_heartbeats_send (mbr_t *m, env_t *env)
{
  void *tmp = talloc_new (m);
  buf_t body = mbr_is_grid (m) ? _mbr_ping_encode (m, tmp) : (buf_t){ 0 };
  for (size_t i = 0; i < m->count; i++)
    if (m->entries[i]->link_open)
      fx_peer_send (env->fx, m->entries[i]->vm.name, MSG_MEMBER_PING, body);
  talloc_free (tmp);
}

/* Send all reports to E, and then the digests, so that E sends those that only
 * E has. */
static void
_mbr_reports_exchange (mbr_t *m, env_t *env, mbr_entry_t *e)
{
  e->synced_at = env->now;
  for (size_t i = 0; i < m->count; i++)
    if (m->entries[i]->report != MBR_UNREPORTED)
      _mbr_report_send (m, env, m->entries[i], e->vm.name);
  _mbr_digest_send (m, env, e);
  cnt_add (env->cnt, "rts_member_syncs_total", "", 1);
}

void
mbr_ping_received (mbr_t *m, env_t *env, const char *vm, mpk_reader_t *r)
{
  mbr_entry_t *e = mbr_entry_find (m, vm);
  if (e == NULL || !mbr_is_grid (m) || !mpk_more (r))
    return;
  _mbr_digest_t own = _mbr_digest (m);
  uint64_t names = mpk_get_uint (r);
  uint64_t reports = mpk_get_uint (r);
  if (!mpk_end (r))
    {
      cnt_add (env->cnt, "rts_member_bad_messages_total", "", 1);
      return;
    }
  bool pause
      = e->synced_at != CLK_NEVER && env->now - e->synced_at < MBR_SYNC_MS;
  if (names == own.names && reports != own.reports && !pause)
    _mbr_reports_exchange (m, env, e);
}

/* ---- heartbeats ---- */

static clk_ms_t
_mbr_ping_ms (const mbr_t *m)
{
  if (m->desc.ping_ms != 0)
    return m->desc.ping_ms;
  return mbr_is_grid (m) ? MBR_PING_GRID_MS : MBR_PING_MS_DEFAULT;
}

static void
_mbr_silent_set (mbr_t *m, env_t *env, mbr_entry_t *e)
{
  e->silent = true;
  m->generation++;
  mbr_entry_update (m, env, e);
  _mbr_down_broadcast (m, env, e);
}

void
mbr_ping (mbr_t *m, env_t *env)
{
  clk_ms_t period = _mbr_ping_ms (m);
  /* After a suspension of this VM, missing heartbeats show nothing. */
  bool paused = env->now - m->pinged_at > 2 * period;
  m->pinged_at = env->now;
  if (mbr_is_grid (m) && mbr_gone_update (m, env))
    mbr_links_choose (m, env);
  mbr_heartbeats_send (m, env);
  for (size_t i = 0; i < m->count; i++)
    {
      mbr_entry_t *e = m->entries[i];
      if (e->link_wanted && !e->link_open
          && env->now > e->link_wanted_at + MBR_LINK_OPEN_TIMEOUT_MS)
        _mbr_down_broadcast (m, env, e);
      if (!e->link_open)
        continue;
      if (paused)
        e->received_at = env->now;
      if (!e->silent
          && env->now - e->received_at > MBR_PINGS_MISSED_MAX * period)
        _mbr_silent_set (m, env, e);
    }
  tmr_arm (env->tmr, env->now + env_jitter (env, period), MOD_MEMBER,
           MBR_TIMER_PING);
}

/* ---- links ---- */

void
mbr_peer_alive (mbr_t *m, env_t *env, const char *vm)
{
  mbr_entry_t *e = mbr_entry_find (m, vm);
  if (e == NULL)
    return;
  e->received_at = env->now;
  if (!e->silent)
    return;
  e->silent = false;
  m->generation++;
  mbr_entry_update (m, env, e);
  _mbr_reports_sync (m, env, e);
}

void
mbr_peer_up (mbr_t *m, env_t *env, const char *vm)
{
  if (!m->have_list)
    fx_peer_send (env->fx, vm, MSG_MEMBER_LIST_REQUEST, (buf_t){ 0 });
  mbr_entry_t *e = mbr_entry_find (m, vm);
  if (e == NULL && g_hash_table_size (m->unlisted) < MBR_UNLISTED_MAX)
    g_hash_table_add (m->unlisted, g_strdup (vm));
  if (e == NULL || e->vm.self)
    return;
  e->link_open = true;
  e->silent = false;
  m->generation++;
  if (!mbr_is_grid (m))
    e->report = MBR_REPORTED_UP;
  e->received_at = env->now;
  mbr_entry_update (m, env, e);
  _mbr_reports_sync (m, env, e);
}

/* Only the loss of a link that this VM keeps shows that the VM is down. */
void
mbr_peer_down (mbr_t *m, env_t *env, const char *vm)
{
  g_hash_table_remove (m->unlisted, vm);
  mbr_entry_t *e = mbr_entry_find (m, vm);
  if (e == NULL || e->vm.self)
    return;
  e->link_open = false;
  e->silent = false;
  m->generation++;
  mbr_entry_update (m, env, e);
  if (e->link_wanted)
    _mbr_down_broadcast (m, env, e);
}

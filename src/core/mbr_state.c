/** @file
 * Which VMs answer: from links, and from reports where there is none.
 *
 * A report belongs to an incarnation of its VM.  A newer incarnation replaces
 * an older one, and "down" replaces "up" within one.  Only the VM itself adds
 * an incarnation, when it hears that it is down.  A VM passes on what changes
 * its belief: whoever gave it the older report held that too, so the newer one
 * goes back the same way.  Who hears a report that is over answers with the
 * newer one.  So reports that overtake each other end in one state.
 */
#include "core/mbr_int.h"

#include <talloc.h>

#define MBR_PING_MS_DEFAULT 500
#define MBR_PING_GRID_MS (3 * CLK_SECOND)

/* Heartbeats that may be missed before a VM counts as down. */
#define MBR_PINGS_MISSED_MAX 3

/* A link that should be there is opened within this time. */
#define MBR_LINK_OPEN_TIMEOUT_MS (2 * CLK_SECOND)

/* Open links remembered of VMs that are not in the list. */
#define MBR_UNLISTED_MAX 1024

/* Whether the link state alone tells if the VM answers. */
static bool
_mbr_is_linked (const mbr_entry_t *e)
{
  return e->link_wanted || e->link_open;
}

void
mbr_entry_update (mbr_t *m, env_t *env, mbr_entry_t *e)
{
  bool up = !e->reported_down;
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
  cnt_add (env->cnt, "rts_member_changes_total",
           up ? "state=\"up\"" : "state=\"down\"", 1);
}

/* ---- reports ---- */

static buf_t
_mbr_report_encode (void *ctx, const mbr_entry_t *about)
{
  mpk_writer_t w;
  mpk_writer_init (&w, ctx);
  mpk_put_str (&w, buf_str (about->vm.name));
  mpk_put_uint (&w, !about->reported_down);
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

/* EXCEPT may be NULL. */
static void
_mbr_report_broadcast (mbr_t *m, env_t *env, const mbr_entry_t *about,
                       const char *except)
{
  if (!mbr_is_grid (m))
    return;
  buf_t body = _mbr_report_encode (m, about);
  for (size_t i = 0; i < m->count; i++)
    {
      const mbr_entry_t *e = m->v[i];
      if (e->link_open && (except == NULL || strcmp (e->vm.name, except) != 0))
        fx_peer_send (env->fx, e->vm.name, MSG_MEMBER_STATE, body);
    }
  talloc_free ((void *)(uintptr_t)body.p);
}

/* A new link: what its other end may not have heard. */
static void
_mbr_reports_sync (mbr_t *m, env_t *env, const mbr_entry_t *to)
{
  if (!mbr_is_grid (m))
    return;
  for (size_t i = 0; i < m->count; i++)
    {
      const mbr_entry_t *e = m->v[i];
      if (e->reported_down || e->vm.self || e == to)
        _mbr_report_send (m, env, e, to->vm.name);
    }
}

static void
_mbr_down_broadcast (mbr_t *m, env_t *env, mbr_entry_t *e)
{
  if (e->reported_down)
    return;
  e->reported_down = true;
  _mbr_report_broadcast (m, env, e, NULL);
}

/* A report of this VM itself, from VM: it answers, so "down" is of the past.
 */
static void
_mbr_self_report_received (mbr_t *m, env_t *env, const char *vm, bool up,
                           uint64_t incarnation)
{
  mbr_entry_t *self = m->self;
  uint64_t now = up ? incarnation : incarnation + 1;
  if (now > self->incarnation)
    {
      self->incarnation = now;
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
  if (e == NULL)
    return;
  if (e->vm.self)
    {
      _mbr_self_report_received (m, env, vm, up, incarnation);
      return;
    }
  if (incarnation < e->incarnation && up == e->reported_down)
    _mbr_report_send (m, env, e, vm);
  bool newer = incarnation > e->incarnation;
  bool now_down = incarnation == e->incarnation && !up && !e->reported_down;
  if (!newer && !now_down)
    return;
  bool changed = e->reported_down == up;
  e->incarnation = incarnation;
  e->reported_down = !up;
  mbr_entry_update (m, env, e);
  if (changed)
    _mbr_report_broadcast (m, env, e, vm);
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
  /* When this VM itself stood still, its peers' silence says nothing. */
  bool paused = env->now - m->pinged_at > 2 * period;
  m->pinged_at = env->now;
  for (size_t i = 0; i < m->count; i++)
    {
      mbr_entry_t *e = m->v[i];
      if (e->link_wanted && !e->link_open
          && env->now > e->link_wanted_at + MBR_LINK_OPEN_TIMEOUT_MS)
        _mbr_down_broadcast (m, env, e);
      if (!e->link_open)
        continue;
      fx_peer_send (env->fx, e->vm.name, MSG_MEMBER_PING, (buf_t){ 0 });
      if (paused)
        e->heard_at = env->now;
      if (!e->silent && env->now - e->heard_at > MBR_PINGS_MISSED_MAX * period)
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
  e->heard_at = env->now;
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
    e->reported_down = false;
  e->heard_at = env->now;
  mbr_entry_update (m, env, e);
  _mbr_reports_sync (m, env, e);
}

/* A link that is no longer kept says nothing of the VM when it closes. */
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

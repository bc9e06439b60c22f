#include "core/mbr.h"

#include "core/mpk.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#define MBR_POLL_MS_DEFAULT (2 * CLK_SECOND)
#define MBR_POLL_SLOW_MS_DEFAULT (15 * CLK_SECOND)
#define MBR_PING_MS_DEFAULT (1 * CLK_SECOND)
#define MBR_PING_GRID_MS (3 * CLK_SECOND)
#define MBR_FULL_MESH_DEFAULT 16

/* Heartbeats that may be missed before a VM counts as down. */
#define MBR_PINGS_MISSED 3

/* VMs that one message may pass through. */
#define MBR_HOPS_MAX 4

/* Messages kept for mbr_relayed_pop. */
#define MBR_RELAYED_MAX 4096

/* VMs taken from one list. */
#define MBR_VMS_MAX 4096

enum
{
  MBR_TIMER_POLL = 1,
  MBR_TIMER_PING,
};

/* A VM of the list. */
typedef struct
{
  mbr_vm_t vm;
  uint32_t row;
  uint32_t column;
  bool wanted; /* a link is kept */
  bool open;   /* a link is open */
  bool silent; /* open, but nothing was heard for too long */
  bool reported_down;
  bool listed;
  clk_ms_t heard_at;
} mbr_entry_t;

struct mbr
{
  mbr_desc_t desc;
  mbr_entry_t **v; /* ordered by name */
  size_t count;
  size_t sorted; /* of these, in order; new ones follow */
  mbr_entry_t *self;
  uint64_t generation;
  clk_ms_t poll_ms;
  clk_ms_t listed_at;
  bool have_list;
  mbr_relayed_t *relayed;
  size_t relayed_first;
  size_t relayed_count;
};

mbr_t *
mbr_setup (void *ctx, const mbr_desc_t *desc)
{
  mbr_t *m = talloc_zero (ctx, mbr_t);
  m->desc = *desc;
  if (m->desc.poll_ms == 0)
    m->desc.poll_ms = MBR_POLL_MS_DEFAULT;
  if (m->desc.poll_slow_ms == 0)
    m->desc.poll_slow_ms = MBR_POLL_SLOW_MS_DEFAULT;
  if (m->desc.full_mesh_max == 0)
    m->desc.full_mesh_max = MBR_FULL_MESH_DEFAULT;
  m->poll_ms = m->desc.poll_ms;
  m->generation = 1;
  return m;
}

void
mbr_shutdown (mbr_t *m)
{
  talloc_free (m);
}

/* ---- the list ---- */

static mbr_entry_t *
_mbr_find (const mbr_t *m, const char *name)
{
  size_t low = 0;
  size_t high = m->sorted;
  while (low < high)
    {
      size_t mid = (low + high) / 2;
      int order = strcmp (name, m->v[mid]->vm.name);
      if (order == 0)
        return m->v[mid];
      if (order < 0)
        high = mid;
      else
        low = mid + 1;
    }
  return NULL;
}

static int
_mbr_compare (const void *a, const void *b)
{
  const mbr_entry_t *const *x = a;
  const mbr_entry_t *const *y = b;
  return strcmp ((*x)->vm.name, (*y)->vm.name);
}

static bool
_mbr_is_grid (const mbr_t *m)
{
  return m->count > m->desc.full_mesh_max;
}

/* Whether the link state alone tells if the VM answers. */
static bool
_mbr_is_direct (const mbr_entry_t *e)
{
  return e->wanted || e->open;
}

static void
_mbr_update_up (mbr_t *m, env_t *env, mbr_entry_t *e)
{
  bool up = !e->reported_down;
  if (_mbr_is_direct (e))
    up = e->open && !e->silent;
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

static mbr_entry_t *
_mbr_add (mbr_t *m, env_t *env, const ev_vm_t *vm)
{
  mbr_entry_t *e = talloc_zero (m, mbr_entry_t);
  e->vm.name = talloc_strdup (e, vm->vm);
  e->vm.data_centre = talloc_strdup (e, vm->data_centre);
  e->vm.address = talloc_strdup (e, vm->address ? vm->address : "");
  e->vm.down_since = env->now;
  e->vm.self = strcmp (vm->vm, env->vm) == 0;
  if (e->vm.self)
    m->self = e;
  m->v = talloc_realloc (m, m->v, mbr_entry_t *, m->count + 1);
  m->v[m->count++] = e;
  return e;
}

static void
_mbr_remove_unlisted (mbr_t *m, env_t *env)
{
  size_t kept = 0;
  for (size_t i = 0; i < m->count; i++)
    {
      mbr_entry_t *e = m->v[i];
      if (e->listed || e->vm.self)
        {
          m->v[kept++] = e;
          continue;
        }
      if (e->wanted)
        fx_push (env->fx, &(fx_t){ .kind = FX_PEER_UNLINK,
                                   .peer = { .vm = e->vm.name } });
      tln_record (env->tln, env->now, MOD_MEMBER, "vm-gone", "vm=%s",
                  e->vm.name);
      m->generation++;
      talloc_free (e);
    }
  m->count = kept;
  qsort (m->v, m->count, sizeof (mbr_entry_t *), _mbr_compare);
  m->sorted = m->count;
}

/* ---- links ---- */

/* Cells of a side of the grid: the power of two up to the root of N. */
static uint32_t
_mbr_side (size_t n)
{
  size_t side = 1;
  while ((2 * side) * (2 * side) <= n)
    side *= 2;
  return (uint32_t)side;
}

static void
_mbr_place (mbr_entry_t *e, uint32_t side)
{
  XXH64_hash_t h = XXH3_64bits (e->vm.name, strlen (e->vm.name));
  e->row = (uint32_t)(h % side);
  e->column = (uint32_t)((h >> 32) % side);
}

static bool
_mbr_same_data_centre (const mbr_entry_t *a, const mbr_entry_t *b)
{
  return strcmp (a->vm.data_centre, b->vm.data_centre) == 0;
}

static bool
_mbr_is_wanted (const mbr_t *m, const mbr_entry_t *e)
{
  if (e->vm.self || m->self == NULL)
    return false;
  if (!_mbr_is_grid (m))
    return true;
  bool row = e->row == m->self->row;
  bool column = e->column == m->self->column;
  return _mbr_same_data_centre (e, m->self) ? row || column : row && column;
}

static void
_mbr_place_all (mbr_t *m)
{
  size_t data_centre_max = 0;
  for (size_t i = 0; i < m->count; i++)
    {
      size_t n = 0;
      for (size_t j = 0; j < m->count; j++)
        n += _mbr_same_data_centre (m->v[i], m->v[j]);
      data_centre_max = n > data_centre_max ? n : data_centre_max;
    }
  uint32_t side = _mbr_side (data_centre_max);
  for (size_t i = 0; i < m->count; i++)
    _mbr_place (m->v[i], side);
}

/* Whether this VM keeps a link into DATA_CENTRE. */
static bool
_mbr_has_link_into (const mbr_t *m, const char *data_centre)
{
  for (size_t i = 0; i < m->count; i++)
    if (m->v[i]->wanted && strcmp (m->v[i]->vm.data_centre, data_centre) == 0)
      return true;
  return false;
}

static void
_mbr_set_wanted (env_t *env, mbr_entry_t *e, bool wanted)
{
  if (wanted == e->wanted)
    return;
  e->wanted = wanted;
  fx_push (env->fx,
           &(fx_t){ .kind = wanted ? FX_PEER_LINK : FX_PEER_UNLINK,
                    .peer = { .vm = e->vm.name, .address = e->vm.address } });
}

/* A cell may be empty elsewhere: then the VM picked by this one's name. */
static void
_mbr_link_elsewhere (mbr_t *m, env_t *env)
{
  for (size_t i = 0; i < m->count; i++)
    {
      const char *data_centre = m->v[i]->vm.data_centre;
      if (_mbr_same_data_centre (m->v[i], m->self)
          || _mbr_has_link_into (m, data_centre))
        continue;
      mbr_entry_t *best = NULL;
      uint64_t best_weight = 0;
      for (size_t j = 0; j < m->count; j++)
        {
          mbr_entry_t *e = m->v[j];
          uint64_t weight = own_weight (e->vm.name, MOD_MEMBER, env->vm);
          if (strcmp (e->vm.data_centre, data_centre) != 0
              || (best != NULL && weight <= best_weight))
            continue;
          best = e;
          best_weight = weight;
        }
      _mbr_set_wanted (env, best, true);
    }
}

static void
_mbr_choose_links (mbr_t *m, env_t *env)
{
  _mbr_place_all (m);
  if (m->self == NULL)
    return;
  for (size_t i = 0; i < m->count; i++)
    _mbr_set_wanted (env, m->v[i], _mbr_is_wanted (m, m->v[i]));
  if (_mbr_is_grid (m))
    _mbr_link_elsewhere (m, env);
  for (size_t i = 0; i < m->count; i++)
    _mbr_update_up (m, env, m->v[i]);
  m->generation++;
}

static bool
_mbr_take_vm (mbr_t *m, env_t *env, const ev_vm_t *vm)
{
  if (vm->vm == NULL || vm->vm[0] == '\0' || vm->data_centre == NULL)
    return false;
  bool changed = false;
  mbr_entry_t *e = _mbr_find (m, vm->vm);
  for (size_t i = m->sorted; i < m->count && e == NULL; i++)
    if (strcmp (m->v[i]->vm.name, vm->vm) == 0)
      e = m->v[i];
  if (e == NULL)
    {
      e = _mbr_add (m, env, vm);
      changed = true;
    }
  const char *address = vm->address ? vm->address : "";
  if (strcmp (e->vm.address, address) != 0)
    {
      e->vm.address = talloc_strdup (e, address);
      _mbr_set_wanted (env, e, false);
      changed = true;
    }
  changed = changed || e->vm.leaving != vm->leaving;
  e->vm.leaving = vm->leaving;
  e->listed = true;
  return changed;
}

static bool
_mbr_take_list (mbr_t *m, env_t *env, const ev_vm_t *vms, size_t count)
{
  bool changed = !m->have_list;
  if (count > MBR_VMS_MAX)
    count = MBR_VMS_MAX;
  for (size_t i = 0; i < m->count; i++)
    m->v[i]->listed = false;
  for (size_t i = 0; i < count; i++)
    if (_mbr_take_vm (m, env, &vms[i]))
      changed = true;
  size_t before = m->count;
  _mbr_remove_unlisted (m, env);
  changed = changed || m->count != before;
  m->have_list = true;
  if (!changed)
    return false;
  _mbr_choose_links (m, env);
  return true;
}

/* ---- platform ---- */

void
mbr_start (mbr_t *m, env_t *env)
{
  _mbr_add (m, env,
            &(ev_vm_t){ .vm = env->vm,
                        .data_centre = env->data_centre,
                        .address = env->address });
  m->sorted = 1;
  _mbr_update_up (m, env, m->self);
  tmr_arm (env->tmr, env->now, MOD_MEMBER, MBR_TIMER_POLL);
  tmr_arm (env->tmr, env_jitter (env, CLK_SECOND) + env->now, MOD_MEMBER,
           MBR_TIMER_PING);
}

/* The list is asked for seldom while it stays the same or cannot be had. */
void
mbr_platform_replied (mbr_t *m, env_t *env, const plt_done_t *done,
                      const ev_platform_t *reply)
{
  (void)done;
  bool changed = false;
  if (reply->code == ST_OK && reply->vm_count > 0)
    {
      changed = _mbr_take_list (m, env, reply->vms, reply->vm_count);
      m->listed_at = env->now;
    }
  m->poll_ms = changed ? m->desc.poll_ms
                       : clk_min (2 * m->poll_ms, m->desc.poll_slow_ms);
  if (!m->have_list)
    m->poll_ms = m->desc.poll_ms;
  tmr_arm (env->tmr, env->now + env_jitter (env, m->poll_ms), MOD_MEMBER,
           MBR_TIMER_POLL);
}

static clk_ms_t
_mbr_ping_ms (const mbr_t *m)
{
  if (m->desc.ping_ms != 0)
    return m->desc.ping_ms;
  return _mbr_is_grid (m) ? MBR_PING_GRID_MS : MBR_PING_MS_DEFAULT;
}

/* ---- who answers ---- */

static void
_mbr_tell_state (mbr_t *m, env_t *env, const mbr_entry_t *about,
                 const char *except)
{
  if (!_mbr_is_grid (m))
    return;
  void *ctx = talloc_new (m);
  mpk_writer_t w;
  mpk_writer_init (&w, ctx);
  mpk_put_str (&w, buf_str (about->vm.name));
  mpk_put_uint (&w, about->vm.up);
  buf_t body = mpk_done (&w);
  for (size_t i = 0; i < m->count; i++)
    {
      const mbr_entry_t *e = m->v[i];
      if (e->open && e != about
          && (except == NULL || strcmp (e->vm.name, except) != 0))
        fx_send (env->fx, e->vm.name, MSG_MEMBER_STATE, body);
    }
  talloc_free (ctx);
}

static void
_mbr_ping (mbr_t *m, env_t *env)
{
  clk_ms_t period = _mbr_ping_ms (m);
  for (size_t i = 0; i < m->count; i++)
    {
      mbr_entry_t *e = m->v[i];
      if (!e->open)
        continue;
      fx_send (env->fx, e->vm.name, MSG_MEMBER_PING, (buf_t){ 0 });
      if (e->silent || env->now - e->heard_at <= MBR_PINGS_MISSED * period)
        continue;
      e->silent = true;
      _mbr_update_up (m, env, e);
      _mbr_tell_state (m, env, e, NULL);
    }
  tmr_arm (env->tmr, env->now + env_jitter (env, period), MOD_MEMBER,
           MBR_TIMER_PING);
}

void
mbr_timer_fired (mbr_t *m, env_t *env, uint64_t tag)
{
  switch (tag)
    {
    case MBR_TIMER_POLL:
      plt_call (env, &(plt_req_t){ .mod = MOD_MEMBER,
                                   .op = FX_PLATFORM_VMS,
                                   .name = "" });
      break;
    case MBR_TIMER_PING:
      _mbr_ping (m, env);
      break;
    default:
      break;
    }
}

void
mbr_peer_heard (mbr_t *m, env_t *env, const char *vm)
{
  mbr_entry_t *e = _mbr_find (m, vm);
  if (e == NULL)
    return;
  e->heard_at = env->now;
  if (!e->silent)
    return;
  e->silent = false;
  _mbr_update_up (m, env, e);
  _mbr_tell_state (m, env, e, NULL);
}

void
mbr_peer_up (mbr_t *m, env_t *env, const char *vm)
{
  if (!m->have_list)
    fx_send (env->fx, vm, MSG_MEMBER_LIST_ASK, (buf_t){ 0 });
  mbr_entry_t *e = _mbr_find (m, vm);
  if (e == NULL || e->vm.self)
    return;
  e->open = true;
  e->silent = false;
  e->reported_down = false;
  e->heard_at = env->now;
  _mbr_update_up (m, env, e);
  _mbr_tell_state (m, env, e, NULL);
}

void
mbr_peer_down (mbr_t *m, env_t *env, const char *vm)
{
  mbr_entry_t *e = _mbr_find (m, vm);
  if (e == NULL || e->vm.self)
    return;
  e->open = false;
  e->silent = false;
  e->reported_down = true;
  _mbr_update_up (m, env, e);
  _mbr_tell_state (m, env, e, NULL);
}

/* Hearsay counts only about VMs that this one has no link with. */
static void
_mbr_state_received (mbr_t *m, env_t *env, const char *vm, mpk_reader_t *r)
{
  const char *name = mpk_get_str (r).p;
  bool up = mpk_get_uint (r) != 0;
  mbr_entry_t *e = mpk_end (r) ? _mbr_find (m, name) : NULL;
  if (e == NULL || e->vm.self || _mbr_is_direct (e) || e->reported_down == !up)
    return;
  e->reported_down = !up;
  _mbr_update_up (m, env, e);
  _mbr_tell_state (m, env, e, vm);
}

static void
_mbr_list_asked (mbr_t *m, env_t *env, const char *vm)
{
  if (!m->have_list)
    return;
  mpk_writer_t w;
  mpk_writer_init (&w, m);
  for (size_t i = 0; i < m->count; i++)
    {
      const mbr_vm_t *v = &m->v[i]->vm;
      mpk_put_str (&w, buf_str (v->name));
      mpk_put_str (&w, buf_str (v->data_centre));
      mpk_put_str (&w, buf_str (v->address));
      mpk_put_uint (&w, v->leaving);
    }
  buf_t body = mpk_done (&w);
  fx_send (env->fx, vm, MSG_MEMBER_LIST, body);
  talloc_free ((void *)(uintptr_t)body.p);
}

/* Taken only by a VM that has no list from the platform yet. */
static void
_mbr_list_received (mbr_t *m, env_t *env, const char *vm, mpk_reader_t *r)
{
  if (m->have_list)
    return;
  ev_vm_t *vms = talloc_array (r->ctx, ev_vm_t, MBR_VMS_MAX);
  size_t count = 0;
  while (mpk_more (r) && count < MBR_VMS_MAX)
    {
      ev_vm_t *v = &vms[count++];
      v->vm = mpk_get_str (r).p;
      v->data_centre = mpk_get_str (r).p;
      v->address = mpk_get_str (r).p;
      v->leaving = mpk_get_uint (r) != 0;
    }
  if (!mpk_end (r))
    {
      cnt_add (env->cnt, "rts_member_bad_messages_total", "", 1);
      return;
    }
  _mbr_take_list (m, env, vms, count);
  mbr_peer_up (m, env, vm);
}

/* ---- messages over other VMs ---- */

static bool
_mbr_is_better_hop (const mbr_entry_t *e, const mbr_entry_t *to)
{
  return _mbr_same_data_centre (e, to)
         && (e->row == to->row || e->column == to->column);
}

/* The next VM towards TO: one that has a link to it, else one of its data
 * centre, else any that answers; picked at random among equals. */
static const mbr_entry_t *
_mbr_next_hop (const mbr_t *m, env_t *env, const mbr_entry_t *to,
               const char *except)
{
  const mbr_entry_t *best = NULL;
  int best_rank = 0;
  uint32_t equals = 0;
  for (size_t i = 0; i < m->count; i++)
    {
      const mbr_entry_t *e = m->v[i];
      if (!e->open || e->silent || strcmp (e->vm.name, except) == 0)
        continue;
      int rank = 1;
      if (_mbr_is_better_hop (e, to))
        rank = 4;
      else if (_mbr_same_data_centre (e, to))
        rank = 3;
      else if (e->row == to->row && e->column == to->column)
        rank = 2;
      if (rank < best_rank)
        continue;
      equals = rank > best_rank ? 1 : equals + 1;
      best_rank = rank;
      if (equals == 1 || g_rand_int_range (env->rand, 0, (gint32)equals) == 0)
        best = e;
    }
  return best;
}

static void
_mbr_relay (mbr_t *m, env_t *env, const char *to, const char *from,
            uint64_t hops, uint16_t kind, buf_t body, const char *except)
{
  const mbr_entry_t *target = _mbr_find (m, to);
  const mbr_entry_t *next = NULL;
  if (target != NULL)
    next = target->open ? target : _mbr_next_hop (m, env, target, except);
  if (next == NULL || hops == 0)
    {
      cnt_add (env->cnt, "rts_member_unreachable_total", "", 1);
      return;
    }
  mpk_writer_t w;
  mpk_writer_init (&w, m);
  mpk_put_str (&w, buf_str (to));
  mpk_put_str (&w, buf_str (from));
  mpk_put_uint (&w, hops - 1);
  mpk_put_uint (&w, kind);
  mpk_put_str (&w, body);
  buf_t wrapped = mpk_done (&w);
  cnt_add (env->cnt, "rts_member_relayed_total", "", 1);
  fx_send (env->fx, next->vm.name, MSG_MEMBER_RELAY, wrapped);
  talloc_free ((void *)(uintptr_t)wrapped.p);
}

void
mbr_send (mbr_t *m, env_t *env, const char *vm, uint16_t kind, buf_t body)
{
  const mbr_entry_t *e = _mbr_find (m, vm);
  if (e == NULL || e->open || !_mbr_is_grid (m))
    fx_send (env->fx, vm, kind, body);
  else
    _mbr_relay (m, env, vm, env->vm, MBR_HOPS_MAX, kind, body, env->vm);
}

static void
_mbr_relay_received (mbr_t *m, env_t *env, const char *vm, mpk_reader_t *r)
{
  buf_t to = mpk_get_str (r);
  buf_t from = mpk_get_str (r);
  uint64_t hops = mpk_get_uint (r);
  uint16_t kind = (uint16_t)mpk_get_uint (r);
  buf_t body = mpk_get_str (r);
  if (!mpk_end (r) || kind == MSG_MEMBER_RELAY || hops > MBR_HOPS_MAX)
    {
      cnt_add (env->cnt, "rts_member_bad_messages_total", "", 1);
      return;
    }
  if (!buf_is (to, env->vm))
    {
      _mbr_relay (m, env, to.p, from.p, hops, kind, body, vm);
      return;
    }
  if (m->relayed_count == MBR_RELAYED_MAX)
    return;
  m->relayed
      = talloc_realloc (m, m->relayed, mbr_relayed_t, m->relayed_count + 1);
  mbr_relayed_t *out = &m->relayed[m->relayed_count++];
  out->from = talloc_strdup (m->relayed, from.p);
  out->msg = (msg_t){ .kind = kind, .body = buf_copy (m->relayed, body) };
}

bool
mbr_relayed_pop (mbr_t *m, mbr_relayed_t *out)
{
  if (m->relayed_first == m->relayed_count)
    {
      TALLOC_FREE (m->relayed);
      m->relayed_first = 0;
      m->relayed_count = 0;
      return false;
    }
  *out = m->relayed[m->relayed_first++];
  return true;
}

void
mbr_message_received (mbr_t *m, env_t *env, const char *vm, const msg_t *msg)
{
  mbr_peer_heard (m, env, vm);
  void *ctx = talloc_new (m);
  mpk_reader_t r = mpk_reader (ctx, msg->body);
  switch (msg->kind)
    {
    case MSG_MEMBER_PING:
      break;
    case MSG_MEMBER_STATE:
      _mbr_state_received (m, env, vm, &r);
      break;
    case MSG_MEMBER_RELAY:
      _mbr_relay_received (m, env, vm, &r);
      break;
    case MSG_MEMBER_LIST_ASK:
      _mbr_list_asked (m, env, vm);
      break;
    case MSG_MEMBER_LIST:
      _mbr_list_received (m, env, vm, &r);
      break;
    default:
      cnt_add (env->cnt, "rts_member_bad_messages_total", "", 1);
      break;
    }
  talloc_free (ctx);
}

/* ---- questions ---- */

size_t
mbr_vm_count (const mbr_t *m)
{
  return m->count;
}

const mbr_vm_t *
mbr_vm_get (const mbr_t *m, size_t i)
{
  return i < m->count ? &m->v[i]->vm : NULL;
}

const mbr_vm_t *
mbr_vm_find (const mbr_t *m, const char *name)
{
  const mbr_entry_t *e = _mbr_find (m, name);
  return e ? &e->vm : NULL;
}

size_t
mbr_rank (const mbr_t *m, const char *data_centre, mod_t kind,
          const char *name, const char **out, size_t max)
{
  const char **vms = talloc_array (NULL, const char *, m->count + 1);
  size_t n = 0;
  for (size_t i = 0; i < m->count; i++)
    {
      const mbr_vm_t *vm = &m->v[i]->vm;
      if (vm->up && !vm->leaving && strcmp (vm->data_centre, data_centre) == 0)
        vms[n++] = vm->name;
    }
  size_t count = own_rank (vms, n, kind, name, out, max);
  talloc_free (vms);
  return count;
}

const char *
mbr_owner (const mbr_t *m, const char *data_centre, mod_t kind,
           const char *name)
{
  const char *owner = NULL;
  mbr_rank (m, data_centre, kind, name, &owner, 1);
  return owner;
}

uint64_t
mbr_generation (const mbr_t *m)
{
  return m->generation;
}

clk_ms_t
mbr_listed_at (const mbr_t *m)
{
  return m->listed_at;
}

size_t
mbr_link_count (const mbr_t *m)
{
  size_t n = 0;
  for (size_t i = 0; i < m->count; i++)
    n += m->v[i]->wanted;
  return n;
}

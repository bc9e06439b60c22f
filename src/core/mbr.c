#include "core/mbr_int.h"
#include "core/mpk.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define MBR_POLL_MS_DEFAULT (2 * CLK_SECOND)
#define MBR_POLL_MAX_MS_DEFAULT (15 * CLK_SECOND)
#define MBR_FULL_MESH_MAX_DEFAULT 16

/* Prefix of the objects in which VMs register themselves. */
#define MBR_VMS_PREFIX "vms/"

/* Delay before this VM's entry is written again after a failure. */
#define MBR_REGISTER_RETRY_MS (1 * CLK_SECOND)

/* Largest number of VMs read from one list. */
#define MBR_VMS_MAX 4096

enum
{
  MBR_TIMER_POLL = MBR_TIMER_LIST_FIRST,
  MBR_TIMER_REGISTER, /**< also the tag of the platform call */
};

static int
_mbr_destroy (mbr_t *m)
{
  g_hash_table_destroy (m->unlisted);
  return 0;
}

mbr_t *
mbr_setup (void *ctx, const mbr_desc_t *desc)
{
  mbr_t *m = talloc_zero (ctx, mbr_t);
  m->desc = *desc;
  if (m->desc.poll_ms == 0)
    m->desc.poll_ms = MBR_POLL_MS_DEFAULT;
  if (m->desc.poll_max_ms == 0)
    m->desc.poll_max_ms = MBR_POLL_MAX_MS_DEFAULT;
  if (m->desc.full_mesh_max == 0)
    m->desc.full_mesh_max = MBR_FULL_MESH_MAX_DEFAULT;
  m->poll_ms = m->desc.poll_ms;
  m->generation = 1;
  m->derived = talloc_zero (m, mbr_derived_t);
  m->list_read_at = CLK_NEVER;
  m->unlisted = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  talloc_set_destructor (m, _mbr_destroy);
  return m;
}

void
mbr_shutdown (mbr_t *m)
{
  talloc_free (m);
}

/* ---- the list ---- */

bool
mbr_is_grid (const mbr_t *m)
{
  return m->count > m->desc.full_mesh_max;
}

static int
_mbr_compare (const void *a, const void *b)
{
  const mbr_entry_t *const *x = a;
  const mbr_entry_t *const *y = b;
  return strcmp ((*x)->vm.name, (*y)->vm.name);
}

static mbr_entry_t *
_mbr_entry_add (mbr_t *m, env_t *env, const ev_vm_t *vm)
{
  mbr_entry_t *e = talloc_zero (m, mbr_entry_t);
  e->vm.name = talloc_strdup (e, vm->vm);
  e->name_hash = own_hash_vm (vm->vm);
  e->vm.data_centre = talloc_strdup (e, vm->data_centre);
  e->vm.address = talloc_strdup (e, vm->address ? vm->address : "");
  e->vm.down_since = env->now;
  e->vm.self = strcmp (vm->vm, env->vm) == 0;
  if (e->vm.self)
    m->self = e;
  e->link_open = g_hash_table_remove (m->unlisted, vm->vm);
  e->received_at = env->now;
  e->synced_at = CLK_NEVER;
  m->entries = talloc_realloc (m, m->entries, mbr_entry_t *, m->count + 1);
  m->entries[m->count++] = e;
  return e;
}

static void
_mbr_remove_unlisted (mbr_t *m, env_t *env)
{
  size_t kept = 0;
  for (size_t i = 0; i < m->count; i++)
    {
      mbr_entry_t *e = m->entries[i];
      if (e->vm.listed || e->vm.self)
        {
          m->entries[kept++] = e;
          continue;
        }
      if (e->link_wanted)
        fx_push (env->fx, &(fx_t){ .kind = FX_PEER_UNLINK,
                                   .peer = { .vm = e->vm.name } });
      if (e->link_open)
        g_hash_table_add (m->unlisted, g_strdup (e->vm.name));
      tln_record (env->tln, env->now, MOD_MEMBER, "vm-gone", "vm=%s",
                  e->vm.name);
      m->generation++;
      talloc_free (e);
    }
  m->count = kept;
  qsort (m->entries, m->count, sizeof (mbr_entry_t *), _mbr_compare);
  m->sorted = m->count;
}

/* The entry of NAME, the I-th VM of a list.  The order of the list rarely
 * changes, so the I-th entry of the last list is tried first. */
static mbr_entry_t *
_mbr_listed_find (mbr_t *m, const char *name, size_t i)
{
  if (i < m->order_count && strcmp (m->order[i]->vm.name, name) == 0)
    return m->order[i];
  mbr_entry_t *e = mbr_entry_find (m, name);
  for (size_t j = m->sorted; j < m->count && e == NULL; j++)
    if (strcmp (m->entries[j]->vm.name, name) == 0)
      e = m->entries[j];
  return e;
}

static void
_mbr_order_store (mbr_t *m, const ev_vm_t *vms, size_t count)
{
  m->order = talloc_realloc (m, m->order, mbr_entry_t *, count);
  m->order_count = 0;
  for (size_t i = 0; i < count; i++)
    {
      mbr_entry_t *e = vms[i].vm ? mbr_entry_find (m, vms[i].vm) : NULL;
      if (e == NULL)
        return;
      m->order[m->order_count++] = e;
    }
}

static bool
_mbr_vm_apply (mbr_t *m, env_t *env, const ev_vm_t *vm, size_t i)
{
  if (vm->vm == NULL || vm->vm[0] == '\0' || vm->data_centre == NULL)
    return false;
  bool changed = false;
  mbr_entry_t *e = _mbr_listed_find (m, vm->vm, i);
  if (e == NULL)
    {
      e = _mbr_entry_add (m, env, vm);
      changed = true;
    }
  const char *address = vm->address ? vm->address : "";
  if (strcmp (e->vm.address, address) != 0)
    {
      e->vm.address = talloc_strdup (e, address);
      mbr_link_set (env, e, false);
      changed = true;
    }
  changed
      = changed || e->vm.leaving != vm->leaving || e->vm.worker != vm->worker;
  e->vm.leaving = vm->leaving;
  e->vm.worker = vm->worker;
  e->vm.listed = true;
  return changed;
}

static bool
_mbr_list_apply (mbr_t *m, env_t *env, const ev_vm_t *vms, size_t count)
{
  bool changed = !m->have_list;
  if (count > MBR_VMS_MAX)
    count = MBR_VMS_MAX;
  for (size_t i = 0; i < m->count; i++)
    m->entries[i]->vm.listed = false;
  for (size_t i = 0; i < count; i++)
    if (_mbr_vm_apply (m, env, &vms[i], i))
      changed = true;
  size_t before = m->count;
  _mbr_remove_unlisted (m, env);
  changed = changed || m->count != before;
  m->have_list = true;
  if (!changed)
    return false;
  _mbr_order_store (m, vms, count);
  mbr_links_choose (m, env);
  mbr_heartbeats_send (m, env);
  return true;
}

/* ---- this VM's own entry ---- */

/* The value of this VM's object: "DATA-CENTRE ADDRESS ROLE". */
static char *
_mbr_entry_value (const mbr_t *m, const env_t *env, void *ctx)
{
  return talloc_asprintf (ctx, "%s %s %s", env->data_centre, env->address,
                          m->desc.worker ? MBR_ROLE_WORKER : MBR_ROLE_ENTRY);
}

static void
_mbr_register (mbr_t *m, env_t *env, uint64_t if_version)
{
  char *name = talloc_asprintf (m, MBR_VMS_PREFIX "%s", env->vm);
  char *value = _mbr_entry_value (m, env, name);
  plt_call (env, &(plt_req_t){ .mod = MOD_MEMBER,
                               .tag = MBR_TIMER_REGISTER,
                               .op = FX_PLATFORM_PUT,
                               .name = name,
                               .if_version = if_version,
                               .value = buf_str (value) });
  talloc_free (name);
}

static void
_mbr_register_replied (mbr_t *m, env_t *env, const ev_platform_t *reply)
{
  if (reply->code == ST_OK)
    return;
  if (reply->code == ST_CONFLICT && reply->object_count == 1)
    {
      char *value = _mbr_entry_value (m, env, m);
      bool same = buf_is (reply->objects[0].value, value);
      talloc_free (value);
      if (!same)
        _mbr_register (m, env, reply->objects[0].version);
      return;
    }
  tmr_arm (env->tmr, env->now + env_jitter (env, MBR_REGISTER_RETRY_MS),
           MOD_MEMBER, MBR_TIMER_REGISTER);
}

/* ---- platform ---- */

void
mbr_start (mbr_t *m, env_t *env)
{
  _mbr_entry_add (m, env,
                  &(ev_vm_t){ .vm = env->vm,
                              .data_centre = env->data_centre,
                              .address = env->address });
  m->self->vm.worker = m->desc.worker;
  m->sorted = 1;
  m->self->report = MBR_REPORTED_UP;
  mbr_entry_update (m, env, m->self);
  if (m->desc.self_register)
    _mbr_register (m, env, 0);
  tmr_arm (env->tmr, env->now, MOD_MEMBER, MBR_TIMER_POLL);
  tmr_arm (env->tmr, env_jitter (env, CLK_SECOND) + env->now, MOD_MEMBER,
           MBR_TIMER_PING);
  m->self->incarnation = 1;
}

/* Whether REPLY is a list from before the last one that the platform sent: a
 * read may be answered with data that is seconds old. */
static bool
_mbr_list_is_older (const mbr_t *m, const ev_platform_t *reply)
{
  return reply->revision != 0 && reply->revision < m->list_revision;
}

/* ---- pages ---- */

static void
_mbr_list_read (const mbr_t *m, env_t *env)
{
  plt_call (env, &(plt_req_t){ .mod = MOD_MEMBER,
                               .op = FX_PLATFORM_VMS,
                               .name = "",
                               .after = m->page_after });
}

static void
_mbr_pages_drop (mbr_t *m)
{
  TALLOC_FREE (m->page_vms);
  TALLOC_FREE (m->page_after);
  m->page_vm_count = 0;
}

/* Keeps the VMs of the page REPLY. */
static void
_mbr_page_keep (mbr_t *m, const ev_platform_t *reply)
{
  if (m->page_vm_count == 0)
    m->page_revision = reply->revision;
  size_t count = m->page_vm_count + reply->vm_count;
  m->page_vms = talloc_realloc (m, m->page_vms, ev_vm_t, count + 1);
  for (size_t i = 0; i < reply->vm_count; i++)
    {
      ev_vm_t *vm = &m->page_vms[m->page_vm_count++];
      *vm = reply->vms[i];
      vm->vm = talloc_strdup (m->page_vms, vm->vm);
      vm->data_centre = talloc_strdup (m->page_vms, vm->data_centre);
      vm->address = talloc_strdup (m->page_vms, vm->address);
    }
}

/* Applies the whole list REPLY; returns whether it has changed something. */
static bool
_mbr_list_replied (mbr_t *m, env_t *env, const ev_platform_t *reply)
{
  if (reply->vm_count == 0 || _mbr_list_is_older (m, reply))
    return false;
  bool changed = _mbr_list_apply (m, env, reply->vms, reply->vm_count);
  m->list_read_at = env->now;
  m->list_revision = reply->revision;
  return changed;
}

/* Applies REPLY, the last page of a list or the whole of it. */
static bool
_mbr_last_page_replied (mbr_t *m, env_t *env, const ev_platform_t *reply)
{
  if (m->page_after == NULL)
    return _mbr_list_replied (m, env, reply);
  _mbr_page_keep (m, reply);
  bool changed
      = _mbr_list_replied (m, env,
                           &(ev_platform_t){ .vms = m->page_vms,
                                             .vm_count = m->page_vm_count,
                                             .revision = m->page_revision });
  _mbr_pages_drop (m);
  return changed;
}

/* While the list stays the same or cannot be read, the interval between reads
 * doubles up to poll_max_ms. */
void
mbr_platform_replied (mbr_t *m, env_t *env, const plt_done_t *done,
                      const ev_platform_t *reply)
{
  bool changed = false;
  if (done->tag == MBR_TIMER_REGISTER)
    {
      _mbr_register_replied (m, env, reply);
      return;
    }
  if (reply->code == ST_OK && reply->continue_after != NULL
      && m->page_vm_count < MBR_VMS_MAX)
    {
      _mbr_page_keep (m, reply);
      talloc_free (m->page_after);
      m->page_after = talloc_strdup (m, reply->continue_after);
      _mbr_list_read (m, env);
      return;
    }
  if (reply->code == ST_OK)
    changed = _mbr_last_page_replied (m, env, reply);
  else
    _mbr_pages_drop (m);
  m->poll_ms = changed ? m->desc.poll_ms
                       : clk_min (2 * m->poll_ms, m->desc.poll_max_ms);
  if (!m->have_list)
    m->poll_ms = m->desc.poll_ms;
  tmr_arm (env->tmr, env->now + env_jitter (env, m->poll_ms), MOD_MEMBER,
           MBR_TIMER_POLL);
}

void
mbr_timer_fired (mbr_t *m, env_t *env, uint64_t tag)
{
  switch (tag)
    {
    case MBR_TIMER_POLL:
      _mbr_list_read (m, env);
      break;
    case MBR_TIMER_PING:
      mbr_ping (m, env);
      break;
    case MBR_TIMER_REGISTER:
      _mbr_register (m, env, 0);
      break;
    default:
      break;
    }
}

static void
_mbr_list_requested (mbr_t *m, env_t *env, const char *vm)
{
  if (!m->have_list)
    return;
  mpk_writer_t w;
  mpk_writer_init (&w, m);
  mpk_put_int (&w, env->now - m->list_read_at);
  for (size_t i = 0; i < m->count; i++)
    {
      const mbr_vm_t *v = &m->entries[i]->vm;
      mpk_put_str (&w, buf_str (v->name));
      mpk_put_str (&w, buf_str (v->data_centre));
      mpk_put_str (&w, buf_str (v->address));
      mpk_put_uint (&w, v->leaving);
      mpk_put_uint (&w, v->worker);
    }
  buf_t body = mpk_done (&w);
  fx_peer_send (env->fx, vm, MSG_MEMBER_LIST, body);
  talloc_free ((void *)(uintptr_t)body.p);
}

/* A peer's list is used only until this VM has a list. */
static void
_mbr_list_received (mbr_t *m, env_t *env, const char *vm, mpk_reader_t *r)
{
  if (m->have_list)
    return;
  clk_ms_t age = mpk_get_int (r);
  ev_vm_t *vms = talloc_array (r->ctx, ev_vm_t, MBR_VMS_MAX);
  size_t count = 0;
  while (mpk_more (r) && count < MBR_VMS_MAX)
    {
      ev_vm_t *v = &vms[count++];
      v->vm = mpk_get_str (r).p;
      v->data_centre = mpk_get_str (r).p;
      v->address = mpk_get_str (r).p;
      v->leaving = mpk_get_uint (r) != 0;
      v->worker = mpk_get_uint (r) != 0;
    }
  if (!mpk_end (r))
    {
      cnt_add (env->cnt, "rts_member_bad_messages_total", "", 1);
      return;
    }
  m->list_read_at = env->now - (age > 0 ? age : 0);
  _mbr_list_apply (m, env, vms, count);
  mbr_peer_up (m, env, vm);
}

void
mbr_message_received (mbr_t *m, env_t *env, const char *vm, const msg_t *msg)
{
  mbr_peer_alive (m, env, vm);
  void *ctx = talloc_new (m);
  mpk_reader_t r = mpk_reader (ctx, msg->body);
  switch (msg->kind)
    {
    case MSG_MEMBER_PING:
      mbr_ping_received (m, env, vm, &r);
      break;
    case MSG_MEMBER_STATE:
      mbr_state_received (m, env, vm, &r);
      break;
    case MSG_MEMBER_RELAY:
      mbr_relay_received (m, env, vm, &r);
      break;
    case MSG_MEMBER_LIST_REQUEST:
      _mbr_list_requested (m, env, vm);
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

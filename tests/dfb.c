#include "dfb.h"

#include <CUnit/CUnit.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define DFB_STEP_MS 2
#define DFB_NAME_SIZE 16
/* Time after which a call without an answer has failed. */
#define DFB_TIMEOUT_MS (2 * CLK_SECOND)

/* A change of the store. */
typedef struct
{
  uint64_t revision;
  size_t upstream; /* DFB_UPSTREAMS: the document; above: an
                      evacuation */
  bool listed;
} _dfb_change_t;

/* A call that waits for its answer. */
typedef struct
{
  uint64_t call; /* 0: none */
  fx_platform_op_t op;
  uint64_t revision;
  clk_ms_t sent_at;
  clk_ms_t until;
  bool lost; /* there will be no answer */
} _dfb_call_t;

/* A message on its way. */
typedef struct
{
  clk_ms_t at;
  size_t to, from;
  uint16_t kind;
  buf_t body;
} _dfb_mail_t;

typedef struct
{
  env_t *env;
  mbr_t *members;
  dir_t *dir;
  dfb_fault_t fault;
  _dfb_call_t calls[12];
  bool handed_on;
} _dfb_vm_t;

struct dfb
{
  size_t count;
  size_t data_centres;
  clk_ms_t now;
  _dfb_vm_t *vms;
  uint64_t revision;
  uint64_t document; /* its version */
  bool listed[DFB_UPSTREAMS];
  GArray *changes; /* _dfb_change_t */
  GQueue mail;     /* _dfb_mail_t, by time */
  unsigned call_count;
  bool evacuated[DFB_EVACUATIONS];
  uint64_t history_from; /* watches from before are refused */
};

static void
_dfb_vm_name (char name[DFB_NAME_SIZE], size_t i)
{
  (void)snprintf (name, DFB_NAME_SIZE, "vm-%03d", (int)i);
}

static void
_dfb_upstream_name (char name[DFB_NAME_SIZE], size_t i)
{
  (void)snprintf (name, DFB_NAME_SIZE, "up-%d", (int)i);
}

/* -- set up --------------------------------------------------------------- */

/* Makes all VMs known to VM, and up. */
static void
_dfb_members_set (dfb_t *b, _dfb_vm_t *vm, const ev_vm_t *list)
{
  mbr_start (vm->members, vm->env);
  mbr_platform_replied (
      vm->members, vm->env, &(plt_done_t){ .tag = 0 },
      &(ev_platform_t){ .vms = list, .vm_count = b->count, .revision = 1 });
  for (size_t i = 0; i < b->count; i++)
    if (&b->vms[i] != vm)
      mbr_peer_up (vm->members, vm->env, list[i].vm);
  fx_clear (vm->env->fx);
}

dfb_t *
dfb_setup (size_t vms, size_t data_centres)
{
  return dfb_setup_evacuations (vms, data_centres, 0);
}

static const char *const _dfb_data_centres[]
    = { "dc-0", "dc-1", "dc-2", "dc-3", "dc-4", NULL };

dfb_t *
dfb_setup_evacuations (size_t vms, size_t data_centres, clk_ms_t within_ms)
{
  const char *const *names = _dfb_data_centres;
  dfb_t *b = talloc_zero (NULL, dfb_t);
  b->count = vms;
  b->data_centres = data_centres;
  b->now = CLK_MINUTE;
  b->vms = talloc_zero_array (b, _dfb_vm_t, vms);
  b->changes = g_array_new (FALSE, FALSE, sizeof (_dfb_change_t));
  g_queue_init (&b->mail);
  ev_vm_t *list = talloc_zero_array (b, ev_vm_t, vms);
  for (size_t i = 0; i < vms; i++)
    {
      char name[DFB_NAME_SIZE];
      _dfb_vm_name (name, i);
      list[i] = (ev_vm_t){ .vm = talloc_strdup (list, name),
                           .data_centre = names[i % data_centres],
                           .address = "10.0.0.1:1" };
    }
  b->document = 1;
  for (size_t i = 0; i < DFB_UPSTREAMS; i++)
    b->listed[i] = i % 2 == 0;
  b->revision = 10;
  for (size_t i = 0; i < vms; i++)
    {
      _dfb_vm_t *vm = &b->vms[i];
      vm->env
          = env_setup (b, &(env_desc_t){ .vm = list[i].vm,
                                         .data_centre = list[i].data_centre,
                                         .incarnation = 1,
                                         .seed = (uint32_t)i + 1 });
      vm->env->now = b->now;
      vm->members = mbr_setup (vm->env, &(mbr_desc_t){ 0 });
      _dfb_members_set (b, vm, list);
      vm->dir = dir_setup (vm->env, &(dir_desc_t){ .members = vm->members,
                                                   .data_centres = names,
                                                   .evacuate_ms = within_ms });
      dir_start (vm->dir, vm->env);
    }
  return b;
}

void
dfb_shutdown (dfb_t *b)
{
  g_array_unref (b->changes);
  g_queue_clear (&b->mail);
  talloc_free (b);
}

/* -- the store ------------------------------------------------------------ */

static void
_dfb_changed (dfb_t *b, size_t upstream, bool listed)
{
  _dfb_change_t c
      = { .revision = ++b->revision, .upstream = upstream, .listed = listed };
  g_array_append_val (b->changes, c);
}

void
dfb_upstream_set (dfb_t *b, size_t i, bool listed)
{
  b->listed[i] = listed;
  _dfb_changed (b, i, listed);
}

void
dfb_evacuate (dfb_t *b, size_t dc, bool evacuated)
{
  b->evacuated[dc] = evacuated;
  _dfb_changed (b, DFB_UPSTREAMS + 1, evacuated);
}

void
dfb_history_lose (dfb_t *b)
{
  b->history_from = ++b->revision;
}

void
dfb_answers_lose (dfb_t *b, size_t vm)
{
  for (size_t i = 0; i < G_N_ELEMENTS (b->vms[vm].calls); i++)
    b->vms[vm].calls[i].lost = true;
}

void
dfb_document_set (dfb_t *b)
{
  b->document++;
  _dfb_changed (b, DFB_UPSTREAMS, true);
}

static bool
_dfb_change_is_of (const _dfb_change_t *c, fx_platform_op_t op)
{
  if (op == FX_PLATFORM_EVACUATIONS)
    return c->upstream > DFB_UPSTREAMS;
  return op == FX_PLATFORM_DOCUMENT ? c->upstream == DFB_UPSTREAMS
                                    : c->upstream < DFB_UPSTREAMS;
}

/* Whether the list of CALL has changed since its revision. */
static bool
_dfb_has_news (const dfb_t *b, const _dfb_call_t *call)
{
  for (guint i = 0; i < b->changes->len; i++)
    {
      const _dfb_change_t *c = &g_array_index (b->changes, _dfb_change_t, i);
      if (c->revision > call->revision && _dfb_change_is_of (c, call->op))
        return true;
    }
  return false;
}

static ev_upstream_entry_t
_dfb_entry (void *ctx, size_t i, bool listed)
{
  char name[DFB_NAME_SIZE];
  _dfb_upstream_name (name, i);
  return (ev_upstream_entry_t){ .name = talloc_strdup (ctx, name),
                                .deployment = "llm",
                                .data_centre = "dc-0",
                                .address = "10.0.1.1:80",
                                .born = 100 + i,
                                .cold_ms = DFB_COLD_MS (i),
                                .version = "v1",
                                .deleted = !listed };
}

/* The upstreams in the answer to CALL. */
static void
_dfb_entries_set (const dfb_t *b, void *ctx, const _dfb_call_t *call,
                  ev_platform_t *reply)
{
  size_t max = DFB_UPSTREAMS + b->changes->len;
  ev_upstream_entry_t *entries = talloc_array (ctx, ev_upstream_entry_t, max);
  size_t n = 0;
  for (size_t i = 0; i < DFB_UPSTREAMS && call->revision == 0; i++)
    if (b->listed[i])
      entries[n++] = _dfb_entry (ctx, i, true);
  for (guint i = 0; i < b->changes->len && call->revision != 0; i++)
    {
      const _dfb_change_t *c = &g_array_index (b->changes, _dfb_change_t, i);
      if (c->revision > call->revision && _dfb_change_is_of (c, call->op))
        entries[n++] = _dfb_entry (ctx, c->upstream, c->listed);
    }
  reply->entries = entries;
  reply->entry_count = n;
}

/* The evacuations in the answer to CALL: a list, or the state of each. */
static void
_dfb_evacuations_set (const dfb_t *b, void *ctx, const _dfb_call_t *call,
                      ev_platform_t *reply)
{
  ev_object_t *v = talloc_zero_array (ctx, ev_object_t, DFB_EVACUATIONS);
  for (size_t i = 0; i < DFB_EVACUATIONS; i++)
    if (b->evacuated[i] || call->revision != 0)
      v[reply->object_count++]
          = (ev_object_t){ .name = talloc_asprintf (v, "dc-%zu", i),
                           .deleted = !b->evacuated[i] };
  reply->objects = v;
}

/* Brings VM the answer CODE to CALL, which ends. */
static void
_dfb_answer (dfb_t *b, _dfb_vm_t *vm, _dfb_call_t *call, st_code_t code)
{
  void *tmp = talloc_new (NULL);
  cfg_doc_t parts = { 0 };
  ev_document_t document = { .version = b->document, .parts = &parts };
  ev_platform_t reply
      = { .call = call->call, .code = code, .revision = b->revision };
  if (code == ST_OK && call->op == FX_PLATFORM_UPSTREAMS)
    _dfb_entries_set (b, tmp, call, &reply);
  else if (code == ST_OK && call->op == FX_PLATFORM_EVACUATIONS)
    _dfb_evacuations_set (b, tmp, call, &reply);
  else if (code == ST_OK && (call->revision == 0 || _dfb_has_news (b, call)))
    reply.document = &document;
  *call = (_dfb_call_t){ 0 };
  plt_done_t done;
  if (plt_reply (vm->env, &reply, &done))
    dir_platform_replied (vm->dir, vm->env, &done, &reply);
  talloc_free (tmp);
}

static void
_dfb_calls_step (dfb_t *b, _dfb_vm_t *vm)
{
  for (size_t i = 0; i < G_N_ELEMENTS (vm->calls); i++)
    {
      _dfb_call_t *call = &vm->calls[i];
      if (call->call == 0)
        continue;
      if (vm->fault == DFB_UNANSWERED || call->lost)
        {
          if (b->now >= call->until + DFB_TIMEOUT_MS)
            _dfb_answer (b, vm, call, ST_UNAVAILABLE);
        }
      else if (vm->fault == DFB_REFUSED)
        _dfb_answer (b, vm, call, ST_UNAVAILABLE);
      else if (call->revision != 0 && call->revision < b->history_from)
        _dfb_answer (b, vm, call, ST_STALE);
      else if (call->revision == 0 || _dfb_has_news (b, call)
               || b->now >= call->until)
        _dfb_answer (b, vm, call, ST_OK);
    }
}

/* -- effects -------------------------------------------------------------- */

static void
_dfb_call_add (dfb_t *b, _dfb_vm_t *vm, const fx_platform_t *p)
{
  if (p->op != FX_PLATFORM_DOCUMENT && p->op != FX_PLATFORM_UPSTREAMS
      && p->op != FX_PLATFORM_EVACUATIONS)
    return;
  b->call_count++;
  for (size_t i = 0; i < G_N_ELEMENTS (vm->calls); i++)
    if (vm->calls[i].call == 0)
      {
        vm->calls[i] = (_dfb_call_t){ .call = p->call,
                                      .op = p->op,
                                      .revision = p->revision,
                                      .sent_at = b->now,
                                      .until = b->now + p->timeout_ms };
        return;
      }
  CU_FAIL ("a VM has too many calls in progress");
}

static size_t
_dfb_vm_find (const char *name)
{
  return (size_t)strtoul (name + strlen ("vm-"), NULL, 10);
}

static void
_dfb_mail_add (dfb_t *b, const _dfb_vm_t *vm, const fx_peer_t *p)
{
  _dfb_mail_t *m = talloc_zero (b, _dfb_mail_t);
  m->at = b->now + DFB_LINK_MS;
  m->to = _dfb_vm_find (p->vm);
  m->from = (size_t)(vm - b->vms);
  m->kind = p->msg.kind;
  m->body = buf_copy (m, p->msg.body);
  g_queue_push_tail (&b->mail, m);
}

static void
_dfb_effects_apply (dfb_t *b, _dfb_vm_t *vm)
{
  for (size_t i = 0; i < vm->env->fx->count; i++)
    {
      const fx_t *f = &vm->env->fx->v[i];
      if (f->kind == FX_PLATFORM)
        _dfb_call_add (b, vm, &f->platform);
      else if (f->kind == FX_PEER_SEND
               && f->peer.msg.kind >= MSG_DIRECTORY_VERSION
               && f->peer.msg.kind <= MSG_DIRECTORY_EVACUATIONS)
        _dfb_mail_add (b, vm, &f->peer);
    }
  fx_clear (vm->env->fx);
}

/* -- time ----------------------------------------------------------------- */

void
dfb_message (dfb_t *b, size_t vm, size_t from, uint16_t kind, buf_t body)
{
  char name[DFB_NAME_SIZE];
  _dfb_vm_name (name, from);
  dir_message_received (b->vms[vm].dir, b->vms[vm].env, name,
                        &(msg_t){ .kind = kind, .body = body });
}

static void
_dfb_mail_deliver (dfb_t *b)
{
  for (GList *l = b->mail.head; l != NULL;)
    {
      GList *next = l->next;
      _dfb_mail_t *m = l->data;
      bool cut = b->vms[m->to].fault == DFB_CUT_OFF
                 || b->vms[m->from].fault == DFB_CUT_OFF;
      bool waits = m->at > b->now || b->vms[m->to].fault == DFB_FROZEN;
      if (!waits || cut)
        {
          if (m->kind == MSG_DIRECTORY_HANDED)
            b->vms[m->from].handed_on = true;
          if (!cut)
            dfb_message (b, m->to, m->from, m->kind, m->body);
          g_queue_delete_link (&b->mail, l);
          talloc_free (m);
        }
      l = next;
    }
}

static void
_dfb_vm_step (dfb_t *b, _dfb_vm_t *vm)
{
  tmr_due_t due;
  if (vm->fault == DFB_FROZEN)
    return;
  vm->env->now = b->now;
  while (tmr_pop (vm->env->tmr, b->now, &due))
    if (due.mod == MOD_DIRECTORY)
      dir_timer_fired (vm->dir, vm->env, due.tag);
  _dfb_calls_step (b, vm);
  plt_done_t refused;
  while (plt_refused_pop (vm->env, &refused))
    dir_platform_replied (vm->dir, vm->env, &refused,
                          &(ev_platform_t){ .code = ST_UNAVAILABLE });
  dir_pump (vm->dir, vm->env);
  _dfb_effects_apply (b, vm);
}

void
dfb_run (dfb_t *b, clk_ms_t ms)
{
  for (clk_ms_t end = b->now + ms; b->now < end;)
    {
      b->now += DFB_STEP_MS;
      for (size_t i = 0; i < b->count; i++)
        _dfb_vm_step (b, &b->vms[i]);
      _dfb_mail_deliver (b);
    }
}

/* -- what VMs know -------------------------------------------------------- */

bool
dfb_knows (const dfb_t *b, size_t vm, size_t i)
{
  char name[DFB_NAME_SIZE];
  _dfb_upstream_name (name, i);
  (void)dir_changed (b->vms[vm].dir, b->vms[vm].env);
  const cfg_doc_t *doc = dir_doc (b->vms[vm].dir);
  for (size_t k = 0; doc != NULL && k < doc->upstream_count; k++)
    if (strcmp (doc->upstreams[k].name, name) == 0)
      return true;
  return false;
}

bool
dfb_has_document (const dfb_t *b, size_t vm)
{
  return dir_version (b->vms[vm].dir) == b->document;
}

size_t
dfb_behind (const dfb_t *b)
{
  size_t behind = 0;
  for (size_t vm = 0; vm < b->count; vm++)
    {
      bool knows = dfb_has_document (b, vm);
      for (size_t i = 0; i < DFB_UPSTREAMS; i++)
        knows = knows && dfb_knows (b, vm, i) == b->listed[i];
      behind += !knows;
    }
  return behind;
}

bool
dfb_is_evacuated (const dfb_t *b, size_t vm, size_t dc)
{
  char name[DFB_NAME_SIZE];
  (void)snprintf (name, sizeof name, "dc-%d", (int)dc);
  return g_strv_contains (dir_evacuated (b->vms[vm].dir), name);
}

size_t
dfb_evacuations_behind (const dfb_t *b)
{
  size_t behind = 0;
  for (size_t vm = 0; vm < b->count; vm++)
    {
      bool knows = dir_evacuations_known (b->vms[vm].dir);
      for (size_t i = 0; i < DFB_DATA_CENTRES; i++)
        knows = knows && dfb_is_evacuated (b, vm, i) == b->evacuated[i];
      behind += !knows;
    }
  return behind;
}

unsigned
dfb_calls (const dfb_t *b)
{
  return b->call_count;
}

size_t
dfb_reader (const dfb_t *b, size_t vm)
{
  for (size_t i = vm % b->data_centres; i < b->count; i += b->data_centres)
    if (b->vms[i].handed_on)
      return i;
  return DFB_VMS_MAX;
}

void
dfb_fault_set (dfb_t *b, size_t vm, dfb_fault_t fault)
{
  b->vms[vm].fault = fault;
}

env_t *
dfb_env (dfb_t *b, size_t vm)
{
  return b->vms[vm].env;
}

dir_t *
dfb_dir (dfb_t *b, size_t vm)
{
  return b->vms[vm].dir;
}

#include "batbed.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define BED_VMS_MAX 16
#define BED_LIST_LAG_MS (8 * CLK_SECOND) /* of the VM list */
#define BED_LOST_MS 2000                 /* until a lost answer is given up */

typedef enum
{
  _BED_PLATFORM, /* a call reaches the platform */
  _BED_REPLY,    /* its answer reaches the VM */
  _BED_UPSTREAM, /* a call reaches an upstream */
  _BED_ANSWER,   /* its answer reaches the VM */
  _BED_MESSAGE,
  _BED_MEMBERS, /* the VM list is seen */
} _bed_kind_t;

typedef struct
{
  clk_ms_t at;
  uint64_t seq;
  _bed_kind_t kind;
  uint32_t vm;
  uint64_t incarnation;
  fx_t fx; /* PLATFORM, UPSTREAM, MESSAGE */
  st_code_t code;
  bool lose; /* the answer */
  bool late; /* the VM has been told UNKNOWN already */
  ev_object_t *objects;
  size_t count;
  uint64_t revision;
  int status;
  const char *body;
  ev_fail_t fail;
  uint32_t from;
} _bed_event_t;

typedef struct
{
  uint64_t version;
  buf_t value;
} _bed_object_t;

typedef struct
{
  bool up;
  uint64_t incarnation;
  clk_ms_t frozen_until;
  clk_ms_t cut_until;
  char name[16];
  void *ctx;
  env_t *env;
  crd_t *crd;
  bat_t *bat;
  GHashTable *cancelled; /* upstream calls */
} _bed_vm_t;

struct batbed
{
  batbed_desc_t desc;
  GRand *rand;
  clk_ms_t now;
  uint64_t seq;
  GTree *events;
  GTree *objects; /* name -> _bed_object_t */
  uint64_t revision;
  clk_ms_t outage_until;
  _bed_vm_t vm[BED_VMS_MAX];
  cfg_doc_t *doc;
  GHashTable *answers; /* caller -> batbed_answer_t */
  uint64_t callers;
  GHashTable *runs; /* request id -> times run */
  GHashTable *forbidden;
  batbed_totals_t totals;
  bool healed;
  uint32_t fault_vm;
  unsigned fault_in; /* calls until the fault; 0: none */
  batbed_fault_t fault;
  clk_ms_t fault_ms;
  bool fault_done;
  bool lose_next;
  bool kill_soon; /* fault_vm, once its effects are out */
  clk_ms_t delay_next;
  bool trace;
};

/* -- set-up --------------------------------------------------------------- */

static int
_bed_event_compare (const void *a, const void *b, void *data)
{
  (void)data;
  const _bed_event_t *x = a;
  const _bed_event_t *y = b;
  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  return x->seq < y->seq ? -1 : x->seq > y->seq;
}

static int
_bed_name_compare (const void *a, const void *b, void *data)
{
  (void)data;
  return strcmp (a, b);
}

static void
_bed_event_free (void *e)
{
  talloc_free (e);
}

static void
_bed_answer_free (void *a)
{
  g_string_free (((batbed_answer_t *)a)->body, TRUE);
  g_free (a);
}

static void
_bed_setup_doc (batbed_t *bed)
{
  GString *text = g_string_new ("[data-centre dc]\nowner = t\n");
  static const char *const names[] = { "engine", "plain" };
  for (uint32_t i = 0; i < 2; i++)
    {
      g_string_append_printf (
          text, "[deployment %s]\nowner = t\nkind = %s\nslots = %u\n",
          names[i], names[i], bed->desc.slots);
      for (uint32_t k = 0; k < bed->desc.upstreams; k++)
        g_string_append_printf (text,
                                "[upstream %s-%u]\nowner = t\n"
                                "deployment = %s\ndata_centre = dc\n"
                                "address = 127.0.0.1:%u\n",
                                names[i], k, names[i],
                                9000 + i * bed->desc.upstreams + k);
    }
  g_string_append (text, "[route POST /v1/completions]\nowner = t\n"
                         "deployment = engine\nidempotent = yes\n"
                         "[route POST /orders]\nowner = t\n"
                         "deployment = plain\n");
  st_t st = { 0 };
  if (cfg_doc_parse (bed, buf_str (text->str), &bed->doc, &st) != ST_OK)
    {
      fprintf (stderr, "%s\n", st.message);
      abort ();
    }
  g_string_free (text, TRUE);
}

static void _bed_members_soon (batbed_t *bed, clk_ms_t delay);
static void _bed_drain (batbed_t *bed, _bed_vm_t *vm);
static void _bed_members (batbed_t *bed, _bed_vm_t *vm);

static void
_bed_start (batbed_t *bed, uint32_t i)
{
  _bed_vm_t *vm = &bed->vm[i];
  vm->up = true;
  vm->incarnation++;
  vm->frozen_until = 0;
  vm->ctx = talloc_new (bed);
  vm->cancelled = g_hash_table_new (g_direct_hash, g_direct_equal);
  vm->env
      = env_setup (vm->ctx, &(env_desc_t){ .vm = vm->name,
                                           .data_centre = "dc",
                                           .incarnation = vm->incarnation,
                                           .seed = g_rand_int (bed->rand) });
  plt_shutdown (vm->env->plt);
  vm->env->plt = plt_setup (
      vm->env, &(plt_desc_t){ .calls_per_second = bed->desc.platform_budget });
  vm->env->now = bed->now;
  vm->crd = crd_setup (vm->ctx, &(crd_desc_t){ 0 });
  bat_desc_t desc = bed->desc.bat;
  desc.credits = vm->crd;
  desc.unix_offset_ms = 1700000000000;
  vm->bat = bat_setup (vm->ctx, &desc);
  _bed_members (bed, vm);
  crd_config_changed (vm->crd, vm->env, bed->doc);
  bat_config_changed (vm->bat, vm->env, bed->doc);
  crd_start (vm->crd, vm->env);
  bat_start (vm->bat, vm->env);
  _bed_drain (bed, vm);
}

static void
_bed_fill_defaults (batbed_desc_t *d)
{
  if (d->upstreams == 0)
    d->upstreams = 2;
  if (d->slots == 0)
    d->slots = 8;
  if (d->platform_ms == 0)
    d->platform_ms = 4;
  if (d->item_ms == 0)
    d->item_ms = 60;
  if (d->platform_budget <= 0)
    d->platform_budget = 200;
}

batbed_t *
batbed_setup (const batbed_desc_t *desc)
{
  batbed_t *bed = talloc_zero (NULL, batbed_t);
  bed->desc = *desc;
  _bed_fill_defaults (&bed->desc);
  bed->now = CLK_HOUR;
  bed->rand = g_rand_new_with_seed (desc->seed);
  bed->events
      = g_tree_new_full (_bed_event_compare, NULL, _bed_event_free, NULL);
  bed->objects = g_tree_new_full (_bed_name_compare, NULL, NULL, NULL);
  bed->answers = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL,
                                        _bed_answer_free);
  bed->runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  bed->forbidden
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  _bed_setup_doc (bed);
  for (uint32_t i = 0; i < desc->vms; i++)
    {
      g_snprintf (bed->vm[i].name, sizeof bed->vm[i].name, "vm-%u", i);
      bed->vm[i].up = true;
    }
  for (uint32_t i = 0; i < desc->vms; i++)
    _bed_start (bed, i);
  return bed;
}

static void
_bed_stop_vm (_bed_vm_t *vm)
{
  vm->up = false;
  if (vm->ctx == NULL)
    return;
  bat_shutdown (vm->bat);
  crd_shutdown (vm->crd);
  env_shutdown (vm->env);
  g_hash_table_destroy (vm->cancelled);
  talloc_free (vm->ctx);
  vm->ctx = NULL;
}

void
batbed_shutdown (batbed_t *bed)
{
  for (uint32_t i = 0; i < bed->desc.vms; i++)
    _bed_stop_vm (&bed->vm[i]);
  g_tree_destroy (bed->events);
  g_tree_destroy (bed->objects);
  g_hash_table_destroy (bed->answers);
  g_hash_table_destroy (bed->runs);
  g_hash_table_destroy (bed->forbidden);
  g_rand_free (bed->rand);
  talloc_free (bed);
}

clk_ms_t
batbed_now (const batbed_t *bed)
{
  return bed->now;
}

GRand *
batbed_rand (batbed_t *bed)
{
  return bed->rand;
}

batbed_totals_t
batbed_totals (const batbed_t *bed)
{
  return bed->totals;
}

bool
batbed_is_up (const batbed_t *bed, uint32_t vm)
{
  return bed->vm[vm].up;
}

bat_t *
batbed_bat (batbed_t *bed, uint32_t vm)
{
  return bed->vm[vm].bat;
}

void
batbed_trace (batbed_t *bed)
{
  bed->trace = true;
}

static bool
_bed_chance (batbed_t *bed, double p)
{
  return !bed->healed && p > 0 && g_rand_double (bed->rand) < p;
}

/* Exponential delay with this mean. */
static clk_ms_t
_bed_delay (batbed_t *bed, clk_ms_t mean)
{
  double u = g_rand_double (bed->rand);
  return 1
         + (clk_ms_t)((double)mean * -g_rand_double_range (bed->rand, 0.5, 1)
                      * __builtin_log (1 - 0.99 * u));
}

/* -- the list of what is in flight ---------------------------------------- */

static _bed_event_t *
_bed_event (batbed_t *bed, clk_ms_t at, _bed_kind_t kind, uint32_t vm)
{
  _bed_event_t *e = talloc_zero (NULL, _bed_event_t);
  e->at = at;
  e->seq = ++bed->seq;
  e->kind = kind;
  e->vm = vm;
  e->incarnation = bed->vm[vm].incarnation;
  return e;
}

static void
_bed_add (batbed_t *bed, _bed_event_t *e)
{
  g_tree_insert (bed->events, e, e);
}

static uint32_t
_bed_index (const batbed_t *bed, const char *name)
{
  for (uint32_t i = 0; i < bed->desc.vms; i++)
    {
      if (strcmp (bed->vm[i].name, name) == 0)
        return i;
    }
  return UINT32_MAX;
}

static bool
_bed_is_cut (const batbed_t *bed, uint32_t vm)
{
  return bed->now < bed->vm[vm].cut_until;
}

/* -- effects -------------------------------------------------------------- */

static void
_bed_platform_call (batbed_t *bed, uint32_t vm, const fx_platform_t *p)
{
  clk_ms_t there = _bed_delay (bed, bed->desc.platform_ms) + bed->delay_next;
  if (_bed_chance (bed, bed->desc.slow_ms > 0 ? 0.02 : 0))
    there += _bed_delay (bed, bed->desc.slow_ms);
  _bed_event_t *e = _bed_event (bed, bed->now + there, _BED_PLATFORM, vm);
  e->fx = (fx_t){ .kind = FX_PLATFORM, .platform = *p };
  e->fx.platform.name = talloc_strdup (e, p->name);
  e->fx.platform.value = buf_copy (e, p->value);
  e->lose = bed->lose_next;
  bool write = p->op == FX_PLATFORM_PUT || p->op == FX_PLATFORM_DELETE;
  if (there >= p->timeout_ms)
    {
      _bed_event_t *r
          = _bed_event (bed, bed->now + p->timeout_ms, _BED_REPLY, vm);
      r->fx = (fx_t){ .platform = { .call = p->call } };
      r->code = write ? ST_UNKNOWN : ST_UNAVAILABLE;
      _bed_add (bed, r);
      e->late = true;
    }
  _bed_add (bed, e);
}

static void
_bed_reply_part (batbed_t *bed, const fx_t *f)
{
  batbed_answer_t *a = g_hash_table_lookup (
      bed->answers, GSIZE_TO_POINTER ((gsize)f->reply.caller));
  if (a == NULL)
    return;
  if (a->ended)
    {
      fprintf (stderr, "caller %lu answered twice\n",
               (unsigned long)f->reply.caller);
      abort ();
    }
  switch (f->kind)
    {
    case FX_REPLY_HEAD:
      a->status = f->reply.status;
      break;
    case FX_REPLY_DATA:
      g_string_append_len (a->body, f->reply.data.p, (gssize)f->reply.data.n);
      break;
    case FX_REPLY_ABORT:
      a->aborted = true;
      a->ended = true;
      break;
    default:
      a->ended = true;
      break;
    }
}

static void
_bed_upstream_call (batbed_t *bed, uint32_t vm, const fx_upstream_t *u)
{
  const char *id = http_header_find (u->headers, "X-Request-Id");
  bed->totals.items_started++;
  char job[64];
  g_strlcpy (job, id, sizeof job);
  *strrchr (job, '-') = '\0';
  if (g_hash_table_contains (bed->forbidden, job))
    {
      bed->totals.after_stop++;
      if (bed->trace)
        fprintf (stderr, "%ld AFTER STOP %s vm-%u\n", (long)bed->now, id, vm);
    }
  _bed_event_t *e
      = _bed_event (bed, bed->now + _bed_delay (bed, 1), _BED_UPSTREAM, vm);
  e->fx = (fx_t){ .kind = FX_UPSTREAM_CALL, .upstream = *u };
  e->fx.upstream.path = talloc_strdup (e, u->path);
  e->fx.upstream.body = buf_copy (e, u->body);
  e->body = talloc_strdup (e, id);
  e->fx.upstream.headers = (http_headers_t){ 0 };
  _bed_add (bed, e);
}

static void
_bed_message (batbed_t *bed, uint32_t vm, const fx_peer_t *p)
{
  bed->totals.messages++;
  uint32_t to = _bed_index (bed, p->vm);
  if (to == UINT32_MAX || _bed_is_cut (bed, vm) || _bed_is_cut (bed, to))
    return;
  _bed_event_t *e
      = _bed_event (bed, bed->now + _bed_delay (bed, 1), _BED_MESSAGE, to);
  e->fx = (fx_t){ .kind = FX_PEER_SEND, .peer = *p };
  e->fx.peer.msg.body = buf_copy (e, p->msg.body);
  e->from = vm;
  _bed_add (bed, e);
}

/* The fault that was arranged for the Nth call, if this is it; false: the
 * call does not go out. */
static bool
_bed_meet_fault (batbed_t *bed, uint32_t vm, const fx_t *f)
{
  bed->lose_next = false;
  bed->delay_next = 0;
  if (bed->fault_in == 0 || vm != bed->fault_vm
      || (f->kind != FX_PLATFORM && f->kind != FX_UPSTREAM_CALL)
      || --bed->fault_in > 0)
    return true;
  bed->fault_done = true;
  switch (bed->fault)
    {
    case BATBED_KILL_BEFORE:
      bed->kill_soon = true;
      return false;
    case BATBED_KILL_AFTER:
      bed->kill_soon = true;
      break;
    case BATBED_FREEZE_FIRST:
      bed->delay_next = bed->fault_ms;
      batbed_freeze (bed, vm, bed->fault_ms);
      break;
    case BATBED_FREEZE:
      batbed_freeze (bed, vm, bed->fault_ms);
      break;
    default:
      bed->lose_next = f->kind == FX_PLATFORM;
      if (!bed->lose_next)
        batbed_cut (bed, vm, bed->fault_ms);
      break;
    }
  return true;
}

void
batbed_fault_at (batbed_t *bed, uint32_t vm, unsigned nth,
                 batbed_fault_t fault, clk_ms_t duration)
{
  bed->fault_vm = vm;
  bed->fault_in = nth;
  bed->fault = fault;
  bed->fault_ms = duration;
  bed->fault_done = false;
}

bool
batbed_fault_done (const batbed_t *bed)
{
  return bed->fault_done;
}

static void
_bed_effect (batbed_t *bed, uint32_t vm, const fx_t *f)
{
  if (!_bed_meet_fault (bed, vm, f))
    return;
  switch (f->kind)
    {
    case FX_PLATFORM:
      _bed_platform_call (bed, vm, &f->platform);
      break;
    case FX_UPSTREAM_CALL:
      _bed_upstream_call (bed, vm, &f->upstream);
      break;
    case FX_UPSTREAM_CANCEL:
      g_hash_table_add (bed->vm[vm].cancelled,
                        GSIZE_TO_POINTER ((gsize)f->upstream.call));
      break;
    case FX_PEER_SEND:
      _bed_message (bed, vm, &f->peer);
      break;
    case FX_REPLY_HEAD:
    case FX_REPLY_DATA:
    case FX_REPLY_END:
    case FX_REPLY_ABORT:
      _bed_reply_part (bed, f);
      break;
    default:
      break;
    }
}

static void
_bed_drain (batbed_t *bed, _bed_vm_t *vm)
{
  uint32_t i = (uint32_t)(vm - bed->vm);
  bat_pump (vm->bat, vm->env);
  plt_done_t done;
  while (plt_refused_pop (vm->env, &done))
    bat_platform_replied (vm->bat, vm->env, &done,
                          &(ev_platform_t){ .code = ST_UNAVAILABLE });
  for (size_t k = 0; k < vm->env->fx->count && !bed->kill_soon; k++)
    _bed_effect (bed, i, &vm->env->fx->v[k]);
  fx_clear (vm->env->fx);
  if (!bed->kill_soon)
    return;
  bed->kill_soon = false;
  batbed_kill (bed, i);
}

/* -- the platform --------------------------------------------------------- */

static void
_bed_put (batbed_t *bed, const char *name, buf_t value, uint64_t version)
{
  _bed_object_t *o = g_tree_lookup (bed->objects, name);
  if (o == NULL)
    {
      o = talloc_zero (bed, _bed_object_t);
      g_tree_insert (bed->objects, talloc_strdup (o, name), o);
    }
  talloc_free ((void *)o->value.p);
  o->value = buf_copy (o, value);
  o->version = version;
}

static void
_bed_reply_object (_bed_event_t *r, const char *name, const _bed_object_t *o)
{
  r->objects = talloc_realloc (r, r->objects, ev_object_t, r->count + 1);
  r->objects[r->count++] = (ev_object_t){ .name = talloc_strdup (r, name),
                                          .version = o->version,
                                          .value = buf_copy (r, o->value) };
}

typedef struct
{
  const char *prefix;
  _bed_event_t *reply;
  uint64_t bytes;
} _bed_list_t;

static gboolean
_bed_list_one (void *name, void *object, void *data)
{
  _bed_list_t *l = data;
  if (strncmp (name, l->prefix, strlen (l->prefix)) != 0)
    return FALSE;
  _bed_reply_object (l->reply, name, object);
  l->bytes += ((const _bed_object_t *)object)->value.n;
  return FALSE;
}

static void
_bed_write (batbed_t *bed, const fx_platform_t *p, _bed_event_t *r)
{
  const _bed_object_t *o = g_tree_lookup (bed->objects, p->name);
  bed->totals.writes++;
  bed->totals.bytes_written += p->value.n;
  if ((o == NULL ? 0 : o->version) != p->if_version)
    {
      r->code = ST_CONFLICT;
      return;
    }
  if (p->op == FX_PLATFORM_DELETE)
    {
      g_tree_remove (bed->objects, p->name);
      return;
    }
  if (p->value.n > (1U << 20)
      || !g_utf8_validate (p->value.p, (gssize)p->value.n, NULL))
    {
      fprintf (stderr, "%s: %zu bytes or not UTF-8\n", p->name, p->value.n);
      abort ();
    }
  _bed_put (bed, p->name, p->value, ++bed->revision);
  _bed_reply_object (r, p->name, g_tree_lookup (bed->objects, p->name));
}

static void
_bed_read (batbed_t *bed, const fx_platform_t *p, _bed_event_t *r)
{
  bed->totals.reads++;
  if (p->op == FX_PLATFORM_LIST)
    {
      _bed_list_t l = { .prefix = p->name, .reply = r };
      g_tree_foreach (bed->objects, _bed_list_one, &l);
      bed->totals.bytes_read += l.bytes;
      return;
    }
  const _bed_object_t *o = g_tree_lookup (bed->objects, p->name);
  if (o == NULL)
    {
      r->code = ST_NOT_FOUND;
      return;
    }
  bed->totals.bytes_read += o->value.n;
  _bed_reply_object (r, p->name, o);
}

static void
_bed_platform (batbed_t *bed, _bed_event_t *e)
{
  const fx_platform_t *p = &e->fx.platform;
  bool write = p->op == FX_PLATFORM_PUT || p->op == FX_PLATFORM_DELETE;
  _bed_event_t *r
      = _bed_event (bed, bed->now + _bed_delay (bed, bed->desc.platform_ms),
                    _BED_REPLY, e->vm);
  r->incarnation = e->incarnation;
  r->fx = (fx_t){ .platform = { .call = p->call } };
  bool away = bed->now < bed->outage_until || _bed_is_cut (bed, e->vm);
  if (away || _bed_chance (bed, bed->desc.refuse))
    {
      /* Only the far end knows that it had no effect. */
      bool silent = write && g_rand_boolean (bed->rand);
      r->code = silent ? ST_UNKNOWN : ST_UNAVAILABLE;
      r->at = bed->now + (silent ? BED_LOST_MS : 5);
    }
  else
    {
      if (write)
        _bed_write (bed, p, r);
      else
        _bed_read (bed, p, r);
      if (write && (e->lose || _bed_chance (bed, bed->desc.lose_answer)))
        {
          r->code = ST_UNKNOWN;
          r->count = 0;
          r->at = bed->now + BED_LOST_MS;
        }
    }
  if (bed->trace)
    fprintf (stderr, "%ld vm-%u op=%d %s if=%lu -> %s%s\n", (long)bed->now,
             e->vm, (int)p->op, p->name, (unsigned long)p->if_version,
             st_code_name (r->code), e->late ? " late" : "");
  if (e->late)
    talloc_free (r);
  else
    _bed_add (bed, r);
}

/* -- upstreams ------------------------------------------------------------ */

static void
_bed_upstream (batbed_t *bed, _bed_event_t *e)
{
  const fx_upstream_t *u = &e->fx.upstream;
  void *call = GSIZE_TO_POINTER ((gsize)u->call);
  bool same = bed->vm[e->vm].incarnation == e->incarnation;
  if (same && bed->vm[e->vm].up
      && g_hash_table_contains (bed->vm[e->vm].cancelled, call))
    return;
  _bed_event_t *a = _bed_event (
      bed, bed->now + _bed_delay (bed, bed->desc.item_ms), _BED_ANSWER, e->vm);
  a->incarnation = e->incarnation;
  a->fx = (fx_t){ .upstream = { .call = u->call } };
  bool broken = _bed_chance (bed, bed->desc.break_call);
  if (broken && g_rand_boolean (bed->rand))
    {
      a->fail = EV_FAIL_NOT_SENT;
      a->status = -1;
      _bed_add (bed, a);
      return;
    }
  gsize runs = 1 + GPOINTER_TO_SIZE (g_hash_table_lookup (bed->runs, e->body));
  g_hash_table_insert (bed->runs, g_strdup (e->body), GSIZE_TO_POINTER (runs));
  bool once = strcmp (u->path, "/orders") == 0;
  bed->totals.doubled += once && runs > 1;
  bed->totals.repeated += !once && runs == 2;
  if (once && runs > 1 && bed->trace)
    fprintf (stderr, "%ld DOUBLED %s vm-%u\n", (long)bed->now, e->body, e->vm);
  a->fail = EV_FAIL_UNKNOWN;
  a->status = broken ? -1 : 200;
  a->body = talloc_asprintf (a, "echo %s", u->body.p);
  if (strstr (u->body.p, "impossible") != NULL)
    {
      a->status = 422;
      a->body = "{\"error\":\"cannot be done\"}";
    }
  else if (strstr (u->body.p, "large") != NULL)
    a->body = talloc_asprintf (a, "%03000u", 7);
  else if (strstr (u->body.p, "flaky") != NULL && runs <= 2)
    a->status = 500;
  _bed_add (bed, a);
}

static void
_bed_answer (batbed_t *bed, _bed_vm_t *vm, const _bed_event_t *e)
{
  uint64_t call = e->fx.upstream.call;
  static const ev_kind_t whole[]
      = { EV_UPSTREAM_HEAD, EV_UPSTREAM_DATA, EV_UPSTREAM_END };
  static const ev_kind_t failed[] = { EV_UPSTREAM_FAIL };
  const ev_kind_t *kinds = e->status < 0 ? failed : whole;
  size_t n = e->status < 0 ? 1 : 3;
  for (size_t i = 0; i < n; i++)
    {
      ev_t ev = { .kind = kinds[i],
                  .upstream = { .call = call,
                                .status = e->status,
                                .fail = e->fail,
                                .text = "broken" } };
      if (kinds[i] == EV_UPSTREAM_DATA)
        ev.upstream.data = buf_str (e->body);
      upc_who_t who;
      if (upc_event (vm->env, &ev, &who))
        bat_upstream_event (vm->bat, vm->env, who.tag, &ev);
    }
  (void)bed;
}

/* -- members -------------------------------------------------------------- */

static void
_bed_members (batbed_t *bed, _bed_vm_t *vm)
{
  ev_vm_t list[BED_VMS_MAX];
  size_t n = 0;
  for (uint32_t i = 0; i < bed->desc.vms; i++)
    {
      bool listed = bed->vm[i].up && !_bed_is_cut (bed, i);
      if (listed || &bed->vm[i] == vm)
        list[n++] = (ev_vm_t){ .vm = bed->vm[i].name, .data_centre = "dc" };
    }
  crd_members_changed (vm->crd, vm->env, list, n);
  bat_members_changed (vm->bat, vm->env, list, n);
}

/* Each VM sees the list after a delay of its own. */
static void
_bed_members_soon (batbed_t *bed, clk_ms_t delay)
{
  for (uint32_t i = 0; i < bed->desc.vms; i++)
    _bed_add (bed, _bed_event (bed, bed->now + _bed_delay (bed, delay),
                               _BED_MEMBERS, i));
}

/* -- running -------------------------------------------------------------- */

static void
_bed_reply (_bed_vm_t *vm, const _bed_event_t *e)
{
  ev_platform_t reply = { .call = e->fx.platform.call,
                          .code = e->code,
                          .objects = e->objects,
                          .object_count = e->count,
                          .revision = e->revision };
  plt_done_t done;
  if (plt_reply (vm->env, &reply, &done))
    bat_platform_replied (vm->bat, vm->env, &done, &reply);
}

static void
_bed_deliver (batbed_t *bed, _bed_vm_t *vm, const _bed_event_t *e)
{
  vm->env->now = bed->now;
  const msg_t *msg = &e->fx.peer.msg;
  switch (e->kind)
    {
    case _BED_REPLY:
      _bed_reply (vm, e);
      break;
    case _BED_ANSWER:
      _bed_answer (bed, vm, e);
      break;
    case _BED_MESSAGE:
      if (crd_owns_message (msg->kind))
        crd_message_received (vm->crd, vm->env, bed->vm[e->from].name, msg);
      else
        bat_message_received (vm->bat, vm->env, bed->vm[e->from].name, msg);
      break;
    default:
      _bed_members (bed, vm);
      break;
    }
  _bed_drain (bed, vm);
}

static void
_bed_handle (batbed_t *bed, _bed_event_t *e)
{
  if (e->kind == _BED_PLATFORM)
    {
      _bed_platform (bed, e);
      return;
    }
  if (e->kind == _BED_UPSTREAM)
    {
      _bed_upstream (bed, e);
      return;
    }
  _bed_vm_t *vm = &bed->vm[e->vm];
  if (vm->up && vm->ctx != NULL && vm->incarnation == e->incarnation)
    _bed_deliver (bed, vm, e);
}

static void
_bed_fire_timers (batbed_t *bed, _bed_vm_t *vm)
{
  tmr_due_t due;
  vm->env->now = bed->now;
  while (vm->up && tmr_pop (vm->env->tmr, bed->now, &due))
    {
      if (due.mod == MOD_CREDIT)
        crd_timer_fired (vm->crd, vm->env, due.tag);
      else
        bat_timer_fired (vm->bat, vm->env, due.tag);
      _bed_drain (bed, vm);
    }
}

/* When the VM's next timer is handled. */
static clk_ms_t
_bed_next_timer (const _bed_vm_t *vm)
{
  if (!vm->up)
    return CLK_NEVER;
  clk_ms_t at = tmr_next (vm->env->tmr);
  return at == CLK_NEVER ? at : clk_max (at, vm->frozen_until);
}

/* Events for a frozen VM wait until it wakes. */
static bool
_bed_held_back (batbed_t *bed, _bed_event_t *e)
{
  if (e->kind == _BED_PLATFORM || e->kind == _BED_UPSTREAM)
    return false;
  clk_ms_t until = bed->vm[e->vm].frozen_until;
  if (until <= bed->now)
    return false;
  e->at = until;
  return true;
}

static bool
_bed_step (batbed_t *bed, clk_ms_t end)
{
  GTreeNode *first = g_tree_node_first (bed->events);
  _bed_event_t *e = first == NULL ? NULL : g_tree_node_value (first);
  clk_ms_t at = e == NULL ? CLK_NEVER : e->at;
  _bed_vm_t *timer = NULL;
  for (uint32_t i = 0; i < bed->desc.vms; i++)
    {
      clk_ms_t t = _bed_next_timer (&bed->vm[i]);
      if (t >= at)
        continue;
      at = t;
      timer = &bed->vm[i];
    }
  if (at > end || (timer == NULL && e == NULL))
    return false;
  bed->now = clk_max (bed->now, at);
  if (timer != NULL)
    {
      _bed_fire_timers (bed, timer);
      return true;
    }
  g_tree_steal (bed->events, e);
  if (_bed_held_back (bed, e))
    _bed_add (bed, e);
  else
    {
      _bed_handle (bed, e);
      talloc_free (e);
    }
  return true;
}

void
batbed_run (batbed_t *bed, clk_ms_t duration)
{
  clk_ms_t end = bed->now + duration;
  while (_bed_step (bed, end))
    ;
  bed->now = end;
}

/* -- callers -------------------------------------------------------------- */

uint64_t
batbed_request (batbed_t *bed, uint32_t index, const char *customer,
                const char *method, const char *path, const char *key,
                const char *body)
{
  _bed_vm_t *vm = &bed->vm[index];
  if (!vm->up || vm->frozen_until > bed->now)
    return 0;
  uint64_t caller = ++bed->callers;
  batbed_answer_t *a = g_new0 (batbed_answer_t, 1);
  a->body = g_string_new (NULL);
  g_hash_table_insert (bed->answers, GSIZE_TO_POINTER ((gsize)caller), a);
  const http_header_t header = { .name = "Idempotency-Key", .value = key };
  ev_request_t req = { .caller = caller,
                       .method = method,
                       .path = path,
                       .query = "",
                       .headers = { .v = &header, .n = key != NULL },
                       .body = buf_str (body) };
  vm->env->now = bed->now;
  (void)bat_request (vm->bat, vm->env, customer, &req);
  _bed_drain (bed, vm);
  return caller;
}

const batbed_answer_t *
batbed_answer (batbed_t *bed, uint64_t caller)
{
  static const batbed_answer_t none;
  const batbed_answer_t *a
      = g_hash_table_lookup (bed->answers, GSIZE_TO_POINTER ((gsize)caller));
  return a == NULL ? &none : a;
}

/* -- faults --------------------------------------------------------------- */

void
batbed_kill (batbed_t *bed, uint32_t vm)
{
  if (!bed->vm[vm].up)
    return;
  _bed_stop_vm (&bed->vm[vm]);
  _bed_members_soon (bed, BED_LIST_LAG_MS);
}

void
batbed_restart (batbed_t *bed, uint32_t vm)
{
  if (bed->vm[vm].up)
    return;
  _bed_start (bed, vm);
  _bed_members_soon (bed, BED_LIST_LAG_MS);
}

void
batbed_freeze (batbed_t *bed, uint32_t vm, clk_ms_t duration)
{
  bed->vm[vm].frozen_until = bed->now + duration;
}

void
batbed_cut (batbed_t *bed, uint32_t vm, clk_ms_t duration)
{
  bed->vm[vm].cut_until = bed->now + duration;
  _bed_members_soon (bed, BED_LIST_LAG_MS);
  for (uint32_t i = 0; i < bed->desc.vms; i++)
    _bed_add (bed, _bed_event (bed, bed->now + duration + 1, _BED_MEMBERS, i));
}

void
batbed_outage (batbed_t *bed, clk_ms_t duration)
{
  bed->outage_until = bed->now + duration;
}

void
batbed_leave (batbed_t *bed, uint32_t index)
{
  _bed_vm_t *vm = &bed->vm[index];
  if (!vm->up)
    return;
  vm->env->now = bed->now;
  bat_leave (vm->bat, vm->env);
  _bed_drain (bed, vm);
}

void
batbed_heal (batbed_t *bed)
{
  bed->healed = true;
  bed->outage_until = 0;
  for (uint32_t i = 0; i < bed->desc.vms; i++)
    {
      bed->vm[i].cut_until = 0;
      bed->vm[i].frozen_until
          = clk_min (bed->vm[i].frozen_until, bed->now + CLK_SECOND);
      batbed_restart (bed, i);
    }
}

void
batbed_forbid (batbed_t *bed, const char *job)
{
  g_hash_table_add (bed->forbidden, g_strdup (job));
}

typedef struct
{
  const char *prefix;
  bool found;
} _bed_has_t;

static gboolean
_bed_has_one (void *name, void *object, void *data)
{
  (void)object;
  _bed_has_t *h = data;
  h->found = strncmp (name, h->prefix, strlen (h->prefix)) == 0;
  return h->found;
}

bool
batbed_has (const batbed_t *bed, const char *prefix)
{
  _bed_has_t h = { .prefix = prefix };
  g_tree_foreach (bed->objects, _bed_has_one, &h);
  return h.found;
}

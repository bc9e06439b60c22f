#include "batbed_int.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/* -- set-up --------------------------------------------------------------- */

static int
_bed_event_compare (const void *a, const void *b, void *data)
{
  (void)data;
  const bed_event_t *x = a;
  const bed_event_t *y = b;
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
_bed_response_free (void *a)
{
  g_string_free (((batbed_response_t *)a)->body, TRUE);
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

static void _bed_members_update (batbed_t *bed, bed_vm_t *vm);

void
bed_start (batbed_t *bed, uint32_t i)
{
  bed_vm_t *vm = &bed->vm[i];
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
  _bed_members_update (bed, vm);
  crd_config_changed (vm->crd, vm->env, bed->doc);
  bat_config_changed (vm->bat, vm->env, bed->doc);
  crd_start (vm->crd, vm->env);
  bat_start (vm->bat, vm->env);
  bed_effects_run (bed, vm);
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
  bed->responses = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL,
                                          _bed_response_free);
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
    bed_start (bed, i);
  return bed;
}

void
bed_stop_vm (bed_vm_t *vm)
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
    bed_stop_vm (&bed->vm[i]);
  g_tree_destroy (bed->events);
  g_tree_destroy (bed->objects);
  g_hash_table_destroy (bed->responses);
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

bool
bed_chance (batbed_t *bed, double p)
{
  return !bed->healed && p > 0 && g_rand_double (bed->rand) < p;
}

clk_ms_t
bed_delay (batbed_t *bed, clk_ms_t mean)
{
  double u = g_rand_double (bed->rand);
  return 1
         + (clk_ms_t)((double)mean * -g_rand_double_range (bed->rand, 0.5, 1)
                      * __builtin_log (1 - 0.99 * u));
}

/* -- members -------------------------------------------------------------- */

static void
_bed_members_update (batbed_t *bed, bed_vm_t *vm)
{
  ev_vm_t list[BED_VMS_MAX];
  size_t n = 0;
  for (uint32_t i = 0; i < bed->desc.vms; i++)
    {
      bool listed = bed->vm[i].up && !bed_is_partitioned (bed, i);
      if (listed || &bed->vm[i] == vm)
        list[n++] = (ev_vm_t){ .vm = bed->vm[i].name, .data_centre = "dc" };
    }
  crd_members_changed (vm->crd, vm->env, list, n);
  bat_members_changed (vm->bat, vm->env, list, n);
}

void
bed_members_schedule (batbed_t *bed, clk_ms_t delay)
{
  for (uint32_t i = 0; i < bed->desc.vms; i++)
    bed_event_add (bed, bed_event (bed, bed->now + bed_delay (bed, delay),
                                   BED_MEMBERS, i));
}

void
bed_effects_run (batbed_t *bed, bed_vm_t *vm)
{
  uint32_t i = (uint32_t)(vm - bed->vm);
  bat_pump (vm->bat, vm->env);
  plt_done_t done;
  while (plt_refused_pop (vm->env, &done))
    bat_platform_replied (vm->bat, vm->env, &done,
                          &(ev_platform_t){ .code = ST_UNAVAILABLE });
  for (size_t k = 0; k < vm->env->fx->count && !bed->kill_pending; k++)
    bed_effect_run (bed, i, &vm->env->fx->v[k]);
  fx_clear (vm->env->fx);
  if (!bed->kill_pending)
    return;
  bed->kill_pending = false;
  batbed_kill (bed, i);
}

/* Passes EV of an upstream call to VM; false: the call is over. */
static bool
_bed_upstream_event (bed_vm_t *vm, ev_t *ev)
{
  upc_owner_t owner;
  if (!upc_event (vm->env, ev, &owner))
    return false;
  bat_upstream_event (vm->bat, vm->env, owner.tag, ev);
  return true;
}

/* Sends the head of E and parts of its body, which has no end. */
static void
_bed_endless_response (batbed_t *bed, bed_vm_t *vm, const bed_event_t *e)
{
  static const char part[64 << 10];
  ev_t ev = { .kind = EV_UPSTREAM_HEAD,
              .upstream = { .call = e->fx.upstream.call, .status = 200 } };
  size_t before = 0; /* the last part that was taken */
  bool open = _bed_upstream_event (vm, &ev);
  for (size_t sent = 0; open && sent < BATBED_ENDLESS_MAX; sent += sizeof part)
    {
      ev = (ev_t){ .kind = EV_UPSTREAM_DATA,
                   .upstream = { .call = e->fx.upstream.call,
                                 .data = { part, sizeof part } } };
      open = _bed_upstream_event (vm, &ev);
      before = open ? sent : before;
    }
  bed->totals.endless_taken = MAX (bed->totals.endless_taken, before);
}

static void
_bed_upstream_response (bed_vm_t *vm, const bed_event_t *e)
{
  uint64_t call = e->fx.upstream.call;
  static const ev_kind_t complete[]
      = { EV_UPSTREAM_HEAD, EV_UPSTREAM_DATA, EV_UPSTREAM_END };
  static const ev_kind_t failed[] = { EV_UPSTREAM_FAIL };
  const ev_kind_t *kinds = e->status < 0 ? failed : complete;
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
      (void)_bed_upstream_event (vm, &ev);
    }
}

/* -- running -------------------------------------------------------------- */

static void
_bed_reply (bed_vm_t *vm, const bed_event_t *e)
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
_bed_deliver (batbed_t *bed, bed_vm_t *vm, const bed_event_t *e)
{
  vm->env->now = bed->now;
  const msg_t *msg = &e->fx.peer.msg;
  switch (e->kind)
    {
    case BED_REPLY:
      _bed_reply (vm, e);
      break;
    case BED_RESPONSE:
      if (e->endless)
        _bed_endless_response (bed, vm, e);
      else
        _bed_upstream_response (vm, e);
      break;
    case BED_MESSAGE:
      if (crd_owns_message (msg->kind))
        crd_message_received (vm->crd, vm->env, bed->vm[e->from].name, msg);
      else
        bat_message_received (vm->bat, vm->env, bed->vm[e->from].name, msg);
      break;
    default:
      _bed_members_update (bed, vm);
      break;
    }
  bed_effects_run (bed, vm);
}

static void
_bed_handle (batbed_t *bed, bed_event_t *e)
{
  if (e->kind == BED_PLATFORM)
    {
      bed_platform_serve (bed, e);
      return;
    }
  if (e->kind == BED_UPSTREAM)
    {
      bed_upstream_serve (bed, e);
      return;
    }
  bed_vm_t *vm = &bed->vm[e->vm];
  if (vm->up && vm->ctx != NULL && vm->incarnation == e->incarnation)
    _bed_deliver (bed, vm, e);
}

static void
_bed_fire_timers (batbed_t *bed, bed_vm_t *vm)
{
  tmr_due_t due;
  vm->env->now = bed->now;
  while (vm->up && tmr_pop (vm->env->tmr, bed->now, &due))
    {
      if (due.mod == MOD_CREDIT)
        crd_timer_fired (vm->crd, vm->env, due.tag);
      else
        bat_timer_fired (vm->bat, vm->env, due.tag);
      bed_effects_run (bed, vm);
    }
}

/* Time at which the VM handles its next timer. */
static clk_ms_t
_bed_next_timer (const bed_vm_t *vm)
{
  if (!vm->up)
    return CLK_NEVER;
  clk_ms_t at = tmr_next (vm->env->tmr);
  return at == CLK_NEVER ? at : clk_max (at, vm->frozen_until);
}

/* Defers an event for a frozen VM to the end of the freeze; false: the event
 * is due now. */
static bool
_bed_defer_while_frozen (batbed_t *bed, bed_event_t *e)
{
  if (e->kind == BED_PLATFORM || e->kind == BED_UPSTREAM)
    return false;
  clk_ms_t until = bed->vm[e->vm].frozen_until;
  if (until <= bed->now)
    return false;
  e->at = until;
  return true;
}

/* Handles the next timer or event up to END; false: there is none. */
static bool
_bed_step (batbed_t *bed, clk_ms_t end)
{
  GTreeNode *first = g_tree_node_first (bed->events);
  bed_event_t *e = first == NULL ? NULL : g_tree_node_value (first);
  clk_ms_t at = e == NULL ? CLK_NEVER : e->at;
  bed_vm_t *timer = NULL;
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
  if (_bed_defer_while_frozen (bed, e))
    bed_event_add (bed, e);
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
  bed_vm_t *vm = &bed->vm[index];
  if (!vm->up || vm->frozen_until > bed->now)
    return 0;
  uint64_t caller = ++bed->callers;
  batbed_response_t *response = g_new0 (batbed_response_t, 1);
  response->body = g_string_new (NULL);
  g_hash_table_insert (bed->responses, GSIZE_TO_POINTER ((gsize)caller),
                       response);
  const http_header_t header = { .name = "Idempotency-Key", .value = key };
  ev_request_t req = { .caller = caller,
                       .method = method,
                       .path = path,
                       .query = "",
                       .headers = { .v = &header, .n = key != NULL },
                       .body = buf_str (body) };
  vm->env->now = bed->now;
  (void)bat_request (vm->bat, vm->env, customer, &req);
  bed_effects_run (bed, vm);
  return caller;
}

const batbed_response_t *
batbed_response (batbed_t *bed, uint64_t caller)
{
  static const batbed_response_t none;
  const batbed_response_t *response
      = g_hash_table_lookup (bed->responses, GSIZE_TO_POINTER ((gsize)caller));
  return response == NULL ? &none : response;
}

#include "onlnet_int.h"

#include "core/inv.h"
#include "tst.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

static const char document[]
    = "[data-centre a]\nowner = t\n"
      "[deployment llm]\nowner = t\nkind = engine\nslots = %d\n"
      "[deployment cloth]\nowner = t\nkind = plain\nslots = %d\n"
      "[upstream e0]\nowner = t\ndeployment = llm\ndata_centre = a\n"
      "address = 10.0.0.0:80\n"
      "[upstream e1]\nowner = t\ndeployment = llm\ndata_centre = a\n"
      "address = 10.0.0.1:80\n"
      "[upstream e2]\nowner = t\ndeployment = llm\ndata_centre = a\n"
      "address = 10.0.0.2:80\n"
      "[upstream p0]\nowner = t\ndeployment = cloth\ndata_centre = a\n"
      "address = 10.0.0.3:80\n"
      "[upstream p1]\nowner = t\ndeployment = cloth\ndata_centre = a\n"
      "address = 10.0.0.4:80\n"
      "[customer c]\nowner = t\nrate = 1000/s\nburst = 2000\n"
      "[key ka]\nowner = t\ncustomer = c\nsha256 = %s\n"
      "[route POST /keyed]\nowner = t\ndeployment = llm\n"
      "idempotent = yes\ndeadline = 10 s\n"
      "[route POST /v1/completions]\nowner = t\ndeployment = llm\n"
      "open = yes\nidempotent = yes\ndeadline = 10 s\n"
      "[route POST /orders]\nowner = t\ndeployment = cloth\nopen = yes\n"
      "deadline = 5 s\n";

bool
onn_chance (onn_t *n, double p)
{
  return p > 0 && g_rand_double (n->rand) < p;
}

event_t *
onn_event_schedule (onn_t *n, clk_ms_t delay, event_kind_t kind, int vm)
{
  event_t *e = talloc_zero (n, event_t);
  e->kind = kind;
  e->vm = vm;
  e->incarnation = n->vm[vm].incarnation;
  tmr_arm (n->queue, n->now + delay, MOD_NODE, (uint64_t)(uintptr_t)e);
  return e;
}

/* -- VMs ------------------------------------------------------------------ */

/** Start VM number I, or restart it if it runs. */
static void
vm_start (onn_t *n, int i)
{
  vm_t *v = &n->vm[i];
  char name[16];
  (void)snprintf (name, sizeof name, "vm-%d", i);
  talloc_free (v->onl);
  talloc_free (v->records);
  talloc_free (v->routes);
  talloc_free (v->limits);
  talloc_free (v->keys);
  talloc_free (v->ring);
  talloc_free (v->members);
  talloc_free (v->env);
  v->incarnation++;
  v->env = env_setup (n, &(env_desc_t){ .vm = name,
                                        .data_centre = "a",
                                        .incarnation = v->incarnation,
                                        .seed = g_rand_int (n->rand) });
  v->env->now = n->now;
  v->members = mbr_setup (n, &(mbr_desc_t){ 0 });
  ev_vm_t self = { .vm = name, .data_centre = "a", .address = "" };
  mbr_platform_replied (v->members, v->env, &(plt_done_t){ 0 },
                        &(ev_platform_t){ .vms = &self, .vm_count = 1 });
  v->ring = spr_setup (n, name, "a", v->members);
  v->keys = key_setup (n, &(key_desc_t){ .peers = v->ring });
  v->limits = lim_setup (n, &(lim_desc_t){ .members = v->members });
  v->routes = rte_setup (n, &(rte_desc_t){ .members = v->members });
  v->records = idm_setup (n, &(idm_desc_t){ 0 });
  v->onl = onl_setup (n, &(onl_desc_t){ .members = v->members,
                                        .limits = v->limits,
                                        .keys = v->keys,
                                        .routes = v->routes,
                                        .records = v->records });
  lim_start (v->limits, v->env);
  lim_config_changed (v->limits, v->env, n->doc);
  rte_config_changed (v->routes, v->env, n->doc);
  onl_config_changed (v->onl, v->env, n->doc);
}

onn_t *
onn_setup (const onn_desc_t *desc)
{
  onn_t *n = talloc_zero (NULL, onn_t);
  n->desc = *desc;
  if (n->desc.vms == 0)
    n->desc.vms = 1;
  if (n->desc.slots == 0)
    n->desc.slots = 8;
  if (n->desc.work_ms == 0)
    n->desc.work_ms = 60;
  n->rand = g_rand_new_with_seed (desc->seed);
  n->queue = tmr_setup (n);
  n->platform = fpl_setup (n);
  char *hash = g_compute_checksum_for_string (G_CHECKSUM_SHA256, ONN_KEY, -1);
  char *text
      = talloc_asprintf (n, document, n->desc.slots, n->desc.slots, hash);
  g_free (hash);
  st_t st = { 0 };
  (void)cfg_doc_parse (n, buf_str (text), &n->doc, &st);
  INV_CHECK (n->doc != NULL, "test-document", "%s", st.message);
  for (int i = 0; i < n->desc.vms; i++)
    vm_start (n, i);
  return n;
}

void
onn_shutdown (onn_t *n)
{
  for (uint64_t i = 1; i <= n->requests; i++)
    g_string_free (n->request[i].response.body, TRUE);
  g_rand_free (n->rand);
  talloc_free (n);
}

void
onn_kill (onn_t *n, int vm)
{
  for (uint64_t i = 1; i <= n->requests; i++)
    {
      onn_response_t *response = &n->request[i].response;
      if (n->request[i].vm == vm && !response->ended && !response->aborted)
        response->vm_killed = true;
    }
  vm_start (n, vm);
}

/* -- platform ------------------------------------------------------------- */

static void
platform_call (onn_t *n, int vm, const fx_platform_t *call)
{
  event_t *e = onn_event_schedule (n, 4, EVENT_PLATFORM, vm);
  e->ev.platform.call = call->call;
  e->ev.platform.code = ST_UNAVAILABLE;
  if (onn_chance (n, n->desc.faults.platform_down))
    return;
  (void)fpl_call (n->platform, e, call, &e->ev.platform);
  if (onn_chance (n, n->desc.faults.platform_reply_lost))
    e->ev.platform = (ev_platform_t){ .call = call->call, .code = ST_UNKNOWN };
}

/* -- callers -------------------------------------------------------------- */

/** Add a part of a response to the caller's state. */
static void
caller_receive (onn_t *n, const fx_t *f)
{
  onn_response_t *response = &n->request[f->reply.caller].response;
  CU_ASSERT_FALSE (response->ended || response->aborted);
  switch (f->kind)
    {
    case FX_REPLY_HEAD:
      CU_ASSERT_EQUAL (response->status, 0);
      response->status = f->reply.status;
      break;
    case FX_REPLY_DATA:
      CU_ASSERT (response->status != 0);
      g_string_append_len (response->body, f->reply.data.p,
                           (gssize)f->reply.data.n);
      break;
    case FX_REPLY_END:
      response->ended = true;
      break;
    default:
      response->aborted = true;
      break;
    }
  response->completed_at = n->now;
  if (response->ended
      && strstr (response->body->str, "\"run\":\"not-run\"") != NULL)
    response->not_run = true;
}

static void
request_send (onn_t *n, const event_t *e)
{
  request_t *r = &n->request[e->request];
  char attempt[24];
  char order[24];
  (void)snprintf (attempt, sizeof attempt, "%llu",
                  (unsigned long long)e->request);
  (void)snprintf (order, sizeof order, "order-%d", r->spec.order);
  http_header_t headers[] = {
    { .name = "X-Attempt", .value = attempt },
    { .name = "Idempotency-Key", .value = order },
    { .name = "Content-Length", .value = "9" },
    { .name = "Authorization", .value = "Bearer " ONN_KEY },
  };
  const char *body = r->spec.stream
                         ? "{\"prompt\":\"measure\",\"stream\":true}"
                         : "{\"prompt\":\"measure\"}";
  onl_request (n->vm[e->vm].onl, n->vm[e->vm].env,
               &(ev_request_t){ .caller = e->request,
                                .method = "POST",
                                .path = r->spec.path,
                                .query = "",
                                .headers = { .v = headers, .n = 4 },
                                .body = buf_str (body) });
}

uint64_t
onn_request (onn_t *n, int vm, const onn_request_t *spec)
{
  uint64_t id = ++n->requests;
  INV_CHECK (id < REQUESTS_MAX, "test-requests", "too many");
  request_t *r = &n->request[id];
  r->spec = *spec;
  r->vm = vm;
  r->response.sent_at = n->now;
  r->response.body = g_string_new (NULL);
  event_t *e = onn_event_schedule (n, 0, EVENT_REQUEST, vm);
  e->incarnation = 0;
  e->request = id;
  if (onn_chance (n, n->desc.faults.caller_closes))
    {
      event_t *close = onn_event_schedule (
          n, g_rand_int_range (n->rand, 1, 200), EVENT_CALLER_CLOSED, vm);
      close->request = id;
    }
  return id;
}

/* -- running -------------------------------------------------------------- */

static void
caller_close (onn_t *n, const event_t *e)
{
  onn_response_t *response = &n->request[e->request].response;
  if (response->ended || response->aborted || response->vm_killed)
    return;
  response->closed = true;
  onl_caller_gone (n->vm[e->vm].onl, n->vm[e->vm].env, e->request);
}

static void
platform_replied (vm_t *v, const plt_done_t *done, const ev_platform_t *reply)
{
  if (done->mod == MOD_IDEMPOTENT)
    idm_platform_replied (v->records, v->env, done, reply);
  if (done->mod == MOD_LIMIT)
    lim_platform_replied (v->limits, v->env, done, reply);
}

static void
event_handle (onn_t *n, event_t *e)
{
  vm_t *v = &n->vm[e->vm];
  upc_owner_t owner;
  plt_done_t done;
  if (e->incarnation != 0 && e->incarnation != v->incarnation)
    return;
  switch (e->kind)
    {
    case EVENT_REQUEST:
      request_send (n, e);
      break;
    case EVENT_CALLER_CLOSED:
      caller_close (n, e);
      break;
    case EVENT_UPSTREAM:
      if (!upc_event (v->env, &e->ev, &owner))
        break;
      if (owner.mod == MOD_ROUTE)
        rte_upstream_event (v->routes, v->env, owner.tag, &e->ev);
      else
        onl_upstream_event (v->onl, v->env, owner.tag, &e->ev);
      break;
    case EVENT_PLATFORM:
      if (plt_reply (v->env, &e->ev.platform, &done))
        platform_replied (v, &done, &e->ev.platform);
      break;
    }
}

static void
effect_execute (onn_t *n, int vm, const fx_t *f)
{
  if (f->kind == FX_UPSTREAM_CALL)
    onn_upstream_call (n, vm, &f->upstream);
  else if (f->kind == FX_PLATFORM)
    platform_call (n, vm, &f->platform);
  else if (f->kind >= FX_REPLY_HEAD && f->kind <= FX_REPLY_ABORT)
    caller_receive (n, f);
  /* A cancelled call is not stopped: its late response has no request any
   * more and must be ignored. */
}

/** Fire the due timers of VM number I and execute its effects. */
static void
vm_step (onn_t *n, int i)
{
  vm_t *v = &n->vm[i];
  tmr_due_t due;
  plt_done_t done;
  while (tmr_pop (v->env->tmr, n->now, &due))
    {
      if (due.mod == MOD_ROUTE)
        rte_timer_fired (v->routes, v->env, due.tag);
      if (due.mod == MOD_ONLINE)
        onl_timer_fired (v->onl, v->env, due.tag);
      if (due.mod == MOD_LIMIT)
        lim_timer_fired (v->limits, v->env, due.tag);
      if (due.mod == MOD_IDEMPOTENT)
        idm_timer_fired (v->records, v->env, due.tag);
    }
  while (plt_refused_pop (v->env, &done))
    platform_replied (v, &done, &(ev_platform_t){ .code = ST_UNAVAILABLE });
  onl_pump (v->onl, v->env);
  for (size_t k = 0; k < v->env->fx->count; k++)
    effect_execute (n, i, &v->env->fx->v[k]);
  fx_clear (v->env->fx);
}

void
onn_run (onn_t *n, clk_ms_t until)
{
  for (;;)
    {
      clk_ms_t next = tmr_next (n->queue);
      for (int i = 0; i < n->desc.vms; i++)
        next = clk_min (next, tmr_next (n->vm[i].env->tmr));
      if (next > until)
        break;
      n->now = clk_max (n->now, next);
      for (int i = 0; i < n->desc.vms; i++)
        n->vm[i].env->now = n->now;
      tmr_due_t due;
      while (tmr_pop (n->queue, n->now, &due))
        {
          event_t *e = (event_t *)(uintptr_t)due.tag;
          event_handle (n, e);
          talloc_free (e);
        }
      for (int i = 0; i < n->desc.vms; i++)
        vm_step (n, i);
      /* Gives the expected number of kills a second at 500 steps a second. */
      if (n->desc.faults.kill > 0 && onn_chance (n, n->desc.faults.kill / 500))
        onn_kill (n, g_rand_int_range (n->rand, 0, n->desc.vms));
    }
  n->now = until;
}

/* -- state and checks ----------------------------------------------------- */

void
onn_faults (onn_t *n, const onn_faults_t *faults)
{
  n->desc.faults = *faults;
}

void
onn_upstream_faults (onn_t *n, int upstream, const onn_faults_t *faults)
{
  n->has_faults[upstream] = true;
  n->faults[upstream] = *faults;
}

clk_ms_t
onn_now (const onn_t *n)
{
  return n->now;
}

GRand *
onn_rand (onn_t *n)
{
  return n->rand;
}

const onn_response_t *
onn_response (const onn_t *n, uint64_t id)
{
  return &n->request[id].response;
}

uint64_t
onn_count (const onn_t *n)
{
  return n->requests;
}

unsigned
onn_order_runs (const onn_t *n, int order)
{
  return n->order_runs[order];
}

unsigned
onn_received (const onn_t *n, int i)
{
  return n->received[i];
}

onl_t *
onn_onl (onn_t *n, int vm)
{
  return n->vm[vm].onl;
}

st_code_t
onn_withdraw (onn_t *n, int vm)
{
  const char *sha256 = NULL;
  return key_withdraw (n->vm[vm].keys, n->vm[vm].env, n->doc, "ka", &sha256);
}

env_t *
onn_env (onn_t *n, int vm)
{
  return n->vm[vm].env;
}

static void
request_check (const onn_t *n, uint64_t id)
{
  const request_t *r = &n->request[id];
  const onn_response_t *response = &r->response;
  bool order = strcmp (r->spec.path, "/orders") == 0;
  clk_ms_t deadline = order ? 5000 : 10000;
  if (response->not_run)
    CU_ASSERT_EQUAL (response->received, 0);
  if (response->vm_killed || response->closed)
    return;
  CU_ASSERT (response->ended != response->aborted);
  CU_ASSERT (response->completed_at - response->sent_at
             <= deadline + DEADLINE_SLACK_MS);
  if (response->aborted)
    /* A broken stream also ends with an error event. */
    CU_ASSERT (!r->spec.stream
               || strstr (response->body->str, "event: error") != NULL);
  if (!response->ended || response->status != 200)
    return;
  char *expected = onn_expected_body (NULL, n, id);
  CU_ASSERT_STRING_EQUAL (response->body->str, expected);
  talloc_free (expected);
}

void
onn_check (const onn_t *n)
{
  for (uint64_t id = 1; id <= n->requests; id++)
    request_check (n, id);
  for (int i = 0; i < ORDERS_MAX; i++)
    CU_ASSERT (n->order_runs[i] <= 1);
}

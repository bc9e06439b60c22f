/** @file
 * Limits network (limnet, prefix net_): simulates in virtual time the
 * membership and limits of several VMs, with messages in transit, a fake
 * platform and one reference bucket per customer.  Only tests and measurements
 * use this file.
 *
 *   net_t *n = net_setup (ctx, &(net_desc_t){ .vms = 6, .data_centres = 3 });
 *   net_run (n, 10000);
 *   net_request (n, vm, customer);
 *
 * Each admitted request is taken from one bucket of the customer's rate and
 * burst; when more than these is admitted in any window, the invariant
 * limit-never-over fails and ends the program.  With slack in the settings, it
 * allows the excess of one window in the whole run.  Times are milliseconds of
 * virtual time.  All memory belongs to the net_t.
 */
#ifndef RTS_LIMNET_H
#define RTS_LIMNET_H

#include "core/inv.h"
#include "core/lim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define NET_VMS_MAX 512
#define NET_UNUSED __attribute__ ((unused))

/** Kinds of event. */
typedef enum
{
  NET_TIMER,
  NET_MESSAGE,
  NET_REPLY,
  NET_LINK_UP,
  NET_LINK_DOWN,
} net_event_kind_t;

/** An event to come: a message in transit, a reply or a timer. */
typedef struct
{
  clk_ms_t at;
  uint64_t seq;
  net_event_kind_t kind;
  uint32_t to;
  uint32_t from;
  /* Incarnation of the receiver; events for an earlier one are dropped. */
  uint64_t incarnation;
  uint64_t from_incarnation;
  uint16_t message;
  buf_t body; /* owned: talloc */
  uint64_t call;
  fx_platform_op_t op;
  char *name;
  uint64_t if_version;
  bool lost; /* NET_REPLY: the call fails and has no effect */
} net_event_t;

/** A VM. */
typedef struct
{
  char name[32];
  char data_centre[16];
  uint32_t zone; /* part of the network that can be cut off; see net_t.cut */
  env_t *env;
  mbr_t *mbr;
  lim_t *lim;
  uint64_t incarnation;
  bool alive;
  bool listed;
  clk_ms_t frozen_until;
  net_event_t *deferred; /* always empty: _net_handle returns the events of a
                            frozen VM to the queue */
  size_t deferred_count;
  clk_ms_t wake_at; /* time of the next NET_TIMER; CLK_NEVER: none */
  uint64_t bytes_out;
} net_vm_t;

/** A customer: its limit, and the outcome of its requests. */
typedef struct
{
  char name[24];
  double rate;
  double burst;
  double offered;         /* requests a second */
  double reference_level; /* tokens of a bucket that admits every
                             arrival for which it has a token */
  clk_ms_t reference_at;
  double admitted_level; /* tokens of a bucket from which each admitted
                            request takes one */
  clk_ms_t admitted_at;
  double lowest_level; /* lowest admitted_level */
  uint64_t arrivals;
  uint64_t admitted;
  uint64_t reference_admitted;
  uint64_t wrongly_refused; /* refused, but admitted by the reference bucket */
} net_customer_t;

/** A request, kept after its verdict; its tag is the index in
 * net_t.pending. */
typedef struct
{
  uint32_t customer;
  bool reference_admits;
  clk_ms_t at;
} net_pending_t;

/** An object of the fake platform. */
typedef struct
{
  char *name;
  uint64_t version;
  buf_t value;
} net_object_t;

/** Settings of net_setup. */
typedef struct
{
  uint32_t vms;
  uint32_t data_centres;
  clk_ms_t delay_ms; /**< one-way delay between zones; 0: random, 0 or 1 ms */
  uint32_t seed;
  uint32_t customers;
  double rate; /**< of an ordinary customer */
  double burst_seconds;
  bool burst_given; /**< all have this burst, which may be too small for a
                         bucket, and not that of burst_seconds */
  double burst;
  double load;    /**< offered requests as a fraction of the rate */
  uint32_t large; /**< number of customers with ten times the rate */
  lim_desc_t limits;
  bool one_list; /**< all VMs have the same data centre; zones remain */
} net_desc_t;

/** The simulation. */
typedef struct
{
  net_desc_t desc;
  clk_ms_t now;
  uint64_t seq;
  GRand *rand;
  net_event_t *heap;
  size_t count;
  size_t capacity;
  net_vm_t *vms;
  uint32_t vm_count;
  uint8_t *links; /* open links, vm_count squared */
  net_customer_t *customers;
  cfg_doc_t doc;
  net_pending_t *pending;
  size_t pending_count;
  net_object_t *objects;
  size_t object_count;
  uint64_t version;
  bool platform_down;
  bool platform_unreachable[16]; /* by zone: calls time out */
  bool platform_refuses[16];     /* by zone: calls fail at once */
  double reply_loss;             /* fraction of PUTs with unknown outcome */
  bool cut[16][16];    /* by two zones: no messages pass between them */
  double message_loss; /* fraction of messages that are lost */
  uint64_t platform_calls;
  uint64_t share_reads; /* platform calls that read one data centre's lists */
  uint64_t reads;
  uint64_t writes;
  uint64_t messages;
  uint64_t pending_total;
  uint64_t wait_ms; /* sum of the waits of pending requests */
  clk_ms_t wait_max;
} net_t;

/* ---- event queue ---- */

static inline bool
_net_before (const net_event_t *a, const net_event_t *b)
{
  return a->at != b->at ? a->at < b->at : a->seq < b->seq;
}

static inline void
_net_push (net_t *n, net_event_t event)
{
  if (n->count == n->capacity)
    {
      n->capacity = n->capacity == 0 ? 1024 : 2 * n->capacity;
      n->heap = talloc_realloc (n, n->heap, net_event_t, n->capacity);
    }
  event.seq = n->seq++;
  size_t i = n->count++;
  for (; i > 0 && _net_before (&event, &n->heap[(i - 1) / 2]); i = (i - 1) / 2)
    n->heap[i] = n->heap[(i - 1) / 2];
  n->heap[i] = event;
}

static inline net_event_t
_net_pop (net_t *n)
{
  net_event_t top = n->heap[0];
  net_event_t last = n->heap[--n->count];
  size_t i = 0;
  for (;;)
    {
      size_t child = 2 * i + 1;
      if (child >= n->count)
        break;
      if (child + 1 < n->count
          && _net_before (&n->heap[child + 1], &n->heap[child]))
        child++;
      if (!_net_before (&n->heap[child], &last))
        break;
      n->heap[i] = n->heap[child];
      i = child;
    }
  n->heap[i] = last;
  return top;
}

static inline uint8_t *
_net_link_flag (net_t *n, uint32_t a, uint32_t b)
{
  return &n->links[a * n->vm_count + b];
}

/* Index of the VM called NAME, "v" and the index; 0 if there is no such VM. */
static inline uint32_t
_net_find (net_t *n, const char *name)
{
  uint32_t i = 0;
  if (name[0] == 'v')
    i = (uint32_t)strtoul (name + 1, NULL, 10);
  return i < n->vm_count ? i : 0;
}

static inline bool
_net_reaches (const net_t *n, uint32_t a, uint32_t b)
{
  return !n->cut[n->vms[a].zone][n->vms[b].zone];
}

static inline clk_ms_t
_net_delay (net_t *n, uint32_t a, uint32_t b)
{
  if (n->vms[a].zone != n->vms[b].zone)
    return n->desc.delay_ms > 0 ? n->desc.delay_ms
                                : g_rand_int_range (n->rand, 0, 2);
  return g_rand_int_range (n->rand, 0, 2);
}

/* ---- the platform ---- */

static inline void
_net_platform_called (net_t *n, uint32_t vm, const fx_platform_t *call)
{
  n->platform_calls++;
  n->share_reads += call->op == FX_PLATFORM_GET;
  if (call->op == FX_PLATFORM_PUT)
    n->writes++;
  else
    n->reads++;
  net_event_t event = { .kind = NET_REPLY,
                        .to = vm,
                        .incarnation = n->vms[vm].incarnation,
                        .call = call->call,
                        .op = call->op,
                        .name = talloc_strdup (n, call->name),
                        .if_version = call->if_version,
                        .body = buf_copy (n, call->value) };
  bool times_out
      = n->platform_down || n->platform_unreachable[n->vms[vm].zone];
  event.lost = times_out || n->platform_refuses[n->vms[vm].zone];
  event.at = n->now + (times_out ? call->timeout_ms : 2);
  _net_push (n, event);
}

static inline net_object_t *
_net_object (net_t *n, const char *name)
{
  for (size_t i = 0; i < n->object_count; i++)
    if (strcmp (n->objects[i].name, name) == 0)
      return &n->objects[i];
  return NULL;
}

static inline st_code_t
_net_put (net_t *n, const net_event_t *call)
{
  net_object_t *o = _net_object (n, call->name);
  if ((o ? o->version : 0) != call->if_version)
    return ST_CONFLICT;
  if (o == NULL)
    {
      n->objects
          = talloc_realloc (n, n->objects, net_object_t, n->object_count + 1);
      o = &n->objects[n->object_count++];
      *o = (net_object_t){ .name = talloc_strdup (n, call->name) };
    }
  o->version = ++n->version;
  o->value = buf_copy (n, call->body);
  return ST_OK;
}

static inline size_t
_net_list (net_t *n, const char *prefix, ev_object_t *out)
{
  size_t count = 0;
  for (size_t i = 0; i < n->object_count; i++)
    if (strncmp (n->objects[i].name, prefix, strlen (prefix)) == 0)
      out[count++] = (ev_object_t){ .name = n->objects[i].name,
                                    .version = n->objects[i].version,
                                    .value = n->objects[i].value };
  return count;
}

static inline size_t
_net_vm_list (net_t *n, ev_vm_t *out)
{
  size_t count = 0;
  for (uint32_t i = 0; i < n->vm_count; i++)
    if (n->vms[i].listed)
      out[count++] = (ev_vm_t){ .vm = n->vms[i].name,
                                .data_centre = n->vms[i].data_centre,
                                .address = "127.0.0.1:1" };
  return count;
}

/* ---- events into a VM ---- */

static void _net_process_output (net_t *n, uint32_t vm);

static inline void
_net_dispatch_reply (net_t *n, net_vm_t *v, const ev_platform_t *reply,
                     const plt_done_t *done)
{
  (void)n;
  if (done->mod == MOD_MEMBER)
    mbr_platform_replied (v->mbr, v->env, done, reply);
  else if (done->mod == MOD_LIMIT)
    lim_platform_replied (v->lim, v->env, done, reply);
}

static inline void
_net_reply (net_t *n, net_vm_t *v, const net_event_t *call)
{
  ev_object_t objects[16];
  ev_vm_t vms[NET_VMS_MAX];
  ev_platform_t reply = { .call = call->call, .objects = objects, .vms = vms };
  if (call->lost)
    reply.code = ST_UNAVAILABLE;
  else if (call->op == FX_PLATFORM_PUT)
    {
      reply.code = _net_put (n, call);
      if (g_rand_double (n->rand) < n->reply_loss)
        reply.code = ST_UNKNOWN;
    }
  else if (call->op == FX_PLATFORM_VMS)
    reply.vm_count = _net_vm_list (n, vms);
  else
    {
      reply.object_count = _net_list (n, call->name, objects);
      if (call->op == FX_PLATFORM_GET && reply.object_count == 0)
        reply.code = ST_NOT_FOUND;
    }
  plt_done_t done;
  if (plt_reply (v->env, &reply, &done))
    _net_dispatch_reply (n, v, &reply, &done);
}

static inline void
_net_message (net_vm_t *v, const char *from, const msg_t *msg)
{
  if (msg->kind < MSG_LIMIT_FIRST)
    mbr_message_received (v->mbr, v->env, from, msg);
  else
    lim_message_received (v->lim, v->env, from, msg);
}

static inline void
_net_timers (net_vm_t *v)
{
  tmr_due_t due;
  while (tmr_pop (v->env->tmr, v->env->now, &due))
    if (due.mod == MOD_MEMBER)
      mbr_timer_fired (v->mbr, v->env, due.tag);
    else
      lim_timer_fired (v->lim, v->env, due.tag);
}

static inline void
_net_deliver (net_t *n, net_event_t *event)
{
  net_vm_t *v = &n->vms[event->to];
  v->env->now = n->now;
  const char *from = n->vms[event->from].name;
  switch (event->kind)
    {
    case NET_TIMER:
      if (event->at < v->wake_at)
        return;
      v->wake_at = CLK_NEVER;
      _net_timers (v);
      break;
    case NET_MESSAGE:
      if (*_net_link_flag (n, event->from, event->to)
          && _net_reaches (n, event->from, event->to))
        _net_message (v, from,
                      &(msg_t){ .kind = event->message, .body = event->body });
      break;
    case NET_REPLY:
      _net_reply (n, v, event);
      break;
    case NET_LINK_UP:
      mbr_peer_up (v->mbr, v->env, from);
      break;
    case NET_LINK_DOWN:
      mbr_peer_down (v->mbr, v->env, from);
      break;
    }
  _net_process_output (n, event->to);
}

/* ---- effects out of a VM ---- */

static inline void
_net_link_open (net_t *n, uint32_t a, uint32_t b)
{
  if (a == b || !n->vms[a].alive || !n->vms[b].alive
      || *_net_link_flag (n, a, b) || !_net_reaches (n, a, b))
    return;
  *_net_link_flag (n, a, b) = 1;
  *_net_link_flag (n, b, a) = 1;
  _net_push (n, (net_event_t){ .at = n->now + 3,
                               .kind = NET_LINK_UP,
                               .to = a,
                               .from = b,
                               .incarnation = n->vms[a].incarnation });
  _net_push (n, (net_event_t){ .at = n->now + 3,
                               .kind = NET_LINK_UP,
                               .to = b,
                               .from = a,
                               .incarnation = n->vms[b].incarnation });
}

static inline void
_net_send (net_t *n, uint32_t from, const fx_peer_t *peer)
{
  uint32_t to = _net_find (n, peer->vm);
  net_vm_t *v = &n->vms[from];
  /* 20 bytes of frame: length, kind, stamp. */
  v->bytes_out += peer->msg.body.n + 20;
  n->messages++;
  if (!*_net_link_flag (n, from, to) || !n->vms[to].alive
      || !_net_reaches (n, from, to)
      || g_rand_double (n->rand) < n->message_loss)
    return;
  _net_push (n, (net_event_t){ .at = n->now + _net_delay (n, from, to),
                               .kind = NET_MESSAGE,
                               .to = to,
                               .from = from,
                               .incarnation = n->vms[to].incarnation,
                               .message = peer->msg.kind,
                               .body = buf_copy (n, peer->msg.body) });
}

/* The excess that the settings allow in one window. */
static inline double
_net_slack (const net_t *n, const net_customer_t *c)
{
  const lsl_desc_t *s = &n->desc.limits.slack;
  double allowed = c->rate * (double)s->window_ms / CLK_SECOND + c->burst;
  return s->window_ms == 0 ? 0 : s->overshoot * allowed + s->requests;
}

static inline void
_net_verdict (net_t *n, uint64_t tag, bool admitted)
{
  net_pending_t *p = &n->pending[tag];
  net_customer_t *c = &n->customers[p->customer];
  if (admitted)
    {
      c->admitted++;
      c->admitted_level
          += (double)(n->now - c->admitted_at) * c->rate / CLK_SECOND;
      c->admitted_level
          = c->admitted_level > c->burst ? c->burst : c->admitted_level;
      c->admitted_at = n->now;
      c->admitted_level -= 1;
      c->lowest_level = c->admitted_level < c->lowest_level ? c->admitted_level
                                                            : c->lowest_level;
      INV_CHECK (c->admitted_level > -1e-6 - _net_slack (n, c),
                 "limit-never-over",
                 "customer %s at %ld: %.6f below its rate and burst", c->name,
                 (long)n->now, c->admitted_level);
    }
  else if (p->reference_admits)
    c->wrongly_refused++;
}

static inline void
_net_results (net_t *n, net_vm_t *v)
{
  lim_result_t a;
  while (lim_result_pop (v->lim, &a))
    {
      clk_ms_t waited = n->now - n->pending[a.tag].at;
      n->wait_ms += (uint64_t)waited;
      n->wait_max = clk_max (n->wait_max, waited);
      _net_verdict (n, a.tag, a.verdict == LIM_ADMITTED);
    }
}

static inline void
_net_effects (net_t *n, uint32_t vm)
{
  net_vm_t *v = &n->vms[vm];
  for (size_t i = 0; i < v->env->fx->count; i++)
    {
      fx_t *f = &v->env->fx->v[i];
      if (f->kind == FX_PLATFORM)
        _net_platform_called (n, vm, &f->platform);
      else if (f->kind == FX_PEER_SEND)
        _net_send (n, vm, &f->peer);
      else if (f->kind == FX_PEER_LINK)
        _net_link_open (n, vm, _net_find (n, f->peer.vm));
    }
  fx_clear (v->env->fx);
}

static void
_net_process_output (net_t *n, uint32_t vm)
{
  net_vm_t *v = &n->vms[vm];
  plt_done_t done;
  mbr_relayed_t relayed;
  bool more = true;
  while (more)
    {
      more = false;
      while (mbr_relayed_pop (v->mbr, &relayed))
        {
          _net_message (v, relayed.from, &relayed.msg);
          more = true;
        }
      while (plt_refused_pop (v->env, &done))
        {
          _net_dispatch_reply (
              n, v, &(ev_platform_t){ .code = ST_UNAVAILABLE }, &done);
          more = true;
        }
    }
  _net_results (n, v);
  _net_effects (n, vm);
  clk_ms_t next = tmr_next (v->env->tmr);
  if (next < v->wake_at)
    {
      v->wake_at = next;
      _net_push (n, (net_event_t){ .at = clk_max (next, n->now),
                                   .kind = NET_TIMER,
                                   .to = vm,
                                   .incarnation = v->incarnation });
    }
}

/* ---- start and end of a VM ---- */

static inline void
net_start_vm (net_t *n, uint32_t vm)
{
  net_vm_t *v = &n->vms[vm];
  v->incarnation++;
  v->alive = true;
  v->listed = true;
  v->wake_at = CLK_NEVER;
  v->env = env_setup (n, &(env_desc_t){ .vm = v->name,
                                        .data_centre = v->data_centre,
                                        .address = "127.0.0.1:1",
                                        .incarnation = v->incarnation,
                                        .seed = g_rand_int (n->rand) });
  v->env->now = n->now;
  v->mbr = mbr_setup (v->env, &(mbr_desc_t){ 0 });
  lim_desc_t limits = n->desc.limits;
  limits.members = v->mbr;
  v->lim = lim_setup (v->env, &limits);
  mbr_start (v->mbr, v->env);
  lim_start (v->lim, v->env);
  lim_config_changed (v->lim, v->env, &n->doc);
  _net_process_output (n, vm);
  for (uint32_t i = 0; i < n->vm_count; i++)
    if (i != vm && n->vms[i].alive && n->vms[i].mbr != NULL
        && n->vm_count <= 16)
      _net_link_open (n, i, vm);
}

/* Kill VM without a graceful shutdown; SEEN: the links are reset, so peers
 * notice at once. */
static inline void
net_kill_vm (net_t *n, uint32_t vm, bool seen)
{
  net_vm_t *v = &n->vms[vm];
  v->alive = false;
  v->incarnation++;
  for (uint32_t i = 0; i < n->vm_count; i++)
    {
      if (*_net_link_flag (n, i, vm) && seen && n->vms[i].alive)
        _net_push (n, (net_event_t){ .at = n->now + 1,
                                     .kind = NET_LINK_DOWN,
                                     .to = i,
                                     .from = vm,
                                     .incarnation = n->vms[i].incarnation });
      *_net_link_flag (n, i, vm) = 0;
      *_net_link_flag (n, vm, i) = 0;
    }
  for (size_t i = 0; i < v->deferred_count; i++)
    talloc_free ((void *)(uintptr_t)v->deferred[i].body.p);
  v->deferred_count = 0;
  TALLOC_FREE (v->env);
}

static inline NET_UNUSED void
net_freeze_vm (net_t *n, uint32_t vm, clk_ms_t until)
{
  n->vms[vm].frozen_until = until;
}

/* Cut ZONE off from all others and from the platform, or (CUT false) end the
 * cut. */
static inline NET_UNUSED void
net_cut_zone (net_t *n, uint32_t zone, bool cut)
{
  for (uint32_t z = 0; z < n->desc.data_centres; z++)
    if (z != zone)
      n->cut[z][zone] = n->cut[zone][z] = cut;
  n->platform_unreachable[zone] = cut;
}

/* ---- time ---- */

static inline void
_net_handle (net_t *n, net_event_t *event)
{
  net_vm_t *v = &n->vms[event->to];
  if (event->incarnation == v->incarnation && v->alive
      && n->now < v->frozen_until)
    {
      event->at = v->frozen_until;
      _net_push (n, *event);
      return;
    }
  if (event->incarnation == v->incarnation && v->alive)
    _net_deliver (n, event);
  else if (event->kind == NET_REPLY && !event->lost
           && event->op == FX_PLATFORM_PUT)
    _net_put (n, event); /* the writer died; its write still takes effect */
  talloc_free ((void *)(uintptr_t)event->body.p);
  talloc_free (event->name);
}

/* Handle all events up to the instant UNTIL. */
static inline void
net_run (net_t *n, clk_ms_t until)
{
  while (n->count > 0 && n->heap[0].at <= until)
    {
      net_event_t event = _net_pop (n);
      n->now = clk_max (n->now, event.at);
      _net_handle (n, &event);
    }
  n->now = until;
}

/* ---- requests ---- */

static inline bool
_net_reference_take (net_t *n, net_customer_t *c)
{
  c->reference_level
      += (double)(n->now - c->reference_at) * c->rate / CLK_SECOND;
  c->reference_level
      = c->reference_level > c->burst ? c->burst : c->reference_level;
  c->reference_at = n->now;
  if (c->reference_level < 1)
    return false;
  c->reference_level -= 1;
  c->reference_admitted++;
  return true;
}

static inline void
net_request (net_t *n, uint32_t vm, uint32_t customer)
{
  net_vm_t *v = &n->vms[vm];
  net_customer_t *c = &n->customers[customer];
  if (!v->alive || n->now < v->frozen_until)
    return;
  v->env->now = n->now;
  c->arrivals++;
  uint64_t tag = n->pending_count;
  if ((n->pending_count & (n->pending_count - 1)) == 0)
    n->pending
        = talloc_realloc (n, n->pending, net_pending_t,
                          n->pending_count == 0 ? 2 : 2 * n->pending_count);
  n->pending[n->pending_count++]
      = (net_pending_t){ .customer = customer,
                         .reference_admits = _net_reference_take (n, c),
                         .at = n->now };
  clk_ms_t retry = 0;
  lim_verdict_t verdict
      = lim_admit (v->lim, v->env, v->mbr, c->name, tag, &retry);
  if (verdict == LIM_PENDING)
    n->pending_total++;
  else
    _net_verdict (n, tag, verdict == LIM_ADMITTED);
  _net_process_output (n, vm);
}

/* ---- set-up ---- */

static inline void
_net_make_customers (net_t *n)
{
  uint32_t count = n->desc.customers;
  n->customers = talloc_zero_array (n, net_customer_t, count);
  cfg_customer_t *doc = talloc_zero_array (n, cfg_customer_t, count);
  for (uint32_t i = 0; i < count; i++)
    {
      net_customer_t *c = &n->customers[i];
      snprintf (c->name, sizeof c->name, "customer-%u", i);
      c->rate = i < n->desc.large ? 10 * n->desc.rate : n->desc.rate;
      c->burst = c->rate * n->desc.burst_seconds;
      c->burst = c->burst < 2 ? 2 : c->burst;
      c->burst = n->desc.burst_given ? n->desc.burst : c->burst;
      c->offered = c->rate * n->desc.load;
      c->reference_level = c->admitted_level = c->lowest_level = c->burst;
      doc[i] = (cfg_customer_t){ .name = c->name,
                                 .rate = c->rate,
                                 .burst = c->burst };
    }
  n->doc.customers = doc;
  n->doc.customer_count = count;
  uint32_t centres = n->desc.one_list ? 1 : n->desc.data_centres;
  cfg_data_centre_t *dcs = talloc_zero_array (n, cfg_data_centre_t, centres);
  for (uint32_t i = 0; i < centres; i++)
    dcs[i].name = talloc_asprintf (dcs, "dc%u", i);
  n->doc.data_centres = dcs;
  n->doc.data_centre_count = n->desc.one_list ? 1 : n->desc.data_centres;
}

static inline int
_net_destroy (net_t *n)
{
  g_rand_free (n->rand);
  return 0;
}

static inline net_t *
net_setup (void *ctx, const net_desc_t *desc)
{
  net_t *n = talloc_zero (ctx, net_t);
  n->desc = *desc;
  n->rand = g_rand_new_with_seed (desc->seed);
  talloc_set_destructor (n, _net_destroy);
  n->vm_count = desc->vms;
  n->vms = talloc_zero_array (n, net_vm_t, desc->vms);
  n->links = talloc_zero_array (n, uint8_t, (size_t)desc->vms * desc->vms);
  _net_make_customers (n);
  for (uint32_t i = 0; i < desc->vms; i++)
    {
      net_vm_t *v = &n->vms[i];
      v->zone = i % desc->data_centres;
      v->listed = true;
      snprintf (v->name, sizeof v->name, "v%u", i);
      snprintf (v->data_centre, sizeof v->data_centre, "dc%u",
                desc->one_list ? 0 : v->zone);
    }
  for (uint32_t i = 0; i < desc->vms; i++)
    net_start_vm (n, i);
  return n;
}

#endif

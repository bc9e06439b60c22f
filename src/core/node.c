#include "core/node_int.h"

#include "core/inv.h"

#include <string.h>
#include <talloc.h>

/* Largest number of calls of node_mods_drain in one step: one call may queue
 * work for the next. */
#define NODE_DRAINS_MAX 8

typedef enum
{
  _NODE_EV_CONFIGURED,
  _NODE_EV_LEAVE,
  _NODE_EV_IDLE,
  _NODE_EV_NUM
} _node_event_t;

typedef enum
{
  _NODE_DO_ANNOUNCE,
  _NODE_DO_HAND_OVER,
  _NODE_DO_EXIT,
  _NODE_DO_NUM
} _node_action_t;

/* -- setup ---------------------------------------------------------------- */

static cht_t *
_node_chart (void *ctx, st_t *st)
{
  static const char *const states[NODE_STATE_NUM]
      = { "starting", "serving", "leaving", "stopped" };
  static const char *const events[_NODE_EV_NUM]
      = { "configured", "leave", "idle" };
  static const char *const actions[_NODE_DO_NUM]
      = { "announce", "hand-over", "exit" };
  return cht_setup (ctx,
                    &(cht_desc_t){ .text = cht_text ("node"),
                                   .states = states,
                                   .state_count = NODE_STATE_NUM,
                                   .events = events,
                                   .event_count = _NODE_EV_NUM,
                                   .actions = actions,
                                   .action_count = _NODE_DO_NUM },
                    st);
}

static int
_node_destroy (node_t *n)
{
  g_hash_table_destroy (n->linked);
  if (n->asked != NULL)
    g_hash_table_destroy (n->asked);
  return 0;
}

node_t *
node_setup (void *ctx, const node_desc_t *desc, st_t *st)
{
  node_t *n = talloc_zero (ctx, node_t);
  n->chart = _node_chart (n, st);
  if (n->chart == NULL)
    {
      talloc_free (n);
      return NULL;
    }
  n->env = env_setup (n, &(env_desc_t){ .vm = desc->vm,
                                        .data_centre = desc->data_centre,
                                        .address = desc->address,
                                        .incarnation = desc->incarnation,
                                        .unix_offset_ms = desc->unix_offset_ms,
                                        .seed = desc->seed });
  n->timer_at = CLK_NEVER;
  n->linked = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  talloc_set_destructor (n, _node_destroy);
  node_mods_setup (n, desc);
  return n;
}

void
node_shutdown (node_t *n)
{
  talloc_free (n);
}

node_tunnel_t
node_tunnel_admit (node_t *n, clk_ms_t now, const char *address, size_t open)
{
  n->env->now = clk_max (n->env->now, now);
  if (n->state == NODE_STARTING || !pth_admit (n->pth, n->env, open))
    return NODE_TUNNEL_REFUSED;
  return rte_address_takes_calls (n->rte, n->env, address)
             ? NODE_TUNNEL_OPEN
             : NODE_TUNNEL_UNKNOWN;
}

const env_t *
node_env (const node_t *n)
{
  return n->env;
}

/* -- lifecycle ------------------------------------------------------------ */

static void
_node_action_run (node_t *n, _node_action_t action)
{
  env_t *env = n->env;
  switch (action)
    {
    case _NODE_DO_ANNOUNCE:
      tln_record (env->tln, env->now, MOD_NODE, "serving", "vm=%s", env->vm);
      break;
    case _NODE_DO_HAND_OVER:
      tln_record (env->tln, env->now, MOD_NODE, "leaving", "open=%u",
                  onl_count (n->onl));
      node_mods_leave (n);
      break;
    case _NODE_DO_EXIT:
      fx_push (env->fx, &(fx_t){ .kind = FX_EXIT });
      break;
    case _NODE_DO_NUM:
      break;
    }
}

static void
_node_fire (node_t *n, _node_event_t event)
{
  if (cht_is_final (n->chart, (int)n->state))
    return;
  cht_step_t step = cht_fire (n->chart, (int)n->state, (int)event, 0);
  n->state = (node_state_t)step.next;
  for (size_t i = 0; i < step.action_count; i++)
    _node_action_run (n, (_node_action_t)step.actions[i]);
}

/* -- events --------------------------------------------------------------- */

static void
_node_timers (node_t *n)
{
  tmr_due_t due;
  if (n->env->now >= n->timer_at)
    n->timer_at = CLK_NEVER;
  while (tmr_pop (n->env->tmr, n->env->now, &due))
    node_mods_timer (n, &due);
}

void
node_platform_replied (node_t *n, const ev_platform_t *reply)
{
  plt_done_t done;
  if (plt_reply (n->env, reply, &done))
    node_mods_platform (n, &done, reply);
}

static void
_node_message (node_t *n, const ev_peer_t *peer)
{
  tln_stamp_receive (n->env->tln, n->env->now, peer->msg.stamp);
  node_mods_message (n, peer->vm, &peer->msg);
}

static void
_node_event (node_t *n, const ev_t *ev)
{
  switch (ev->kind)
    {
    case EV_START:
      node_mods_start (n);
      break;
    case EV_TIMER:
      break; /* every step that is not behind runs the due timers */
    case EV_REQUEST:
      node_mods_request (n, &ev->request);
      break;
    case EV_CALLER_GONE:
      node_mods_caller_gone (n, ev->caller);
      break;
    case EV_UPSTREAM_HEAD:
    case EV_UPSTREAM_DATA:
    case EV_UPSTREAM_END:
    case EV_UPSTREAM_FAIL:
      node_mods_upstream (n, ev);
      break;
    case EV_PLATFORM:
      node_platform_replied (n, &ev->platform);
      break;
    case EV_PEER_UP:
    case EV_PEER_DOWN:
      node_mods_link (n, ev->peer.vm, ev->kind == EV_PEER_UP);
      break;
    case EV_PEER_MSG:
      _node_message (n, &ev->peer);
      break;
    case EV_DOCUMENT:
      dir_document_decoded (n->dir, n->env, ev->document);
      break;
    case EV_LEAVE:
      _node_fire (n, _NODE_EV_LEAVE);
      break;
    case EV_NUM:
      break;
    }
}

/* -- step ----------------------------------------------------------------- */

static void
_node_drain (node_t *n)
{
  size_t before;
  unsigned drains = 0;
  do
    {
      before = n->env->fx->count;
      if (node_mods_drain (n))
        _node_fire (n, _NODE_EV_CONFIGURED);
    }
  while (n->env->fx->count != before && ++drains < NODE_DRAINS_MAX);
}

/* Modules send to any VM.  Pass each message to a VM without an open link to
 * mbr_send, which relays the message through other VMs in a large fleet. */
static void
_node_messages_route (node_t *n)
{
  fx_list_t *fx = n->env->fx;
  size_t count = fx->count;
  for (size_t i = 0; i < count; i++)
    {
      fx_peer_t peer = fx->v[i].peer;
      if (fx->v[i].kind != FX_PEER_SEND
          || g_hash_table_contains (n->linked, peer.vm))
        continue;
      fx->v[i].kind = FX_NUM; /* _node_messages_stamp removes the effect */
      mbr_send (n->mbr, n->env, peer.vm, peer.msg.kind, peer.msg.body);
    }
}

/* Remove the effects that were replaced and stamp the outgoing messages. */
static void
_node_messages_stamp (node_t *n)
{
  fx_list_t *fx = n->env->fx;
  size_t kept = 0;
  for (size_t i = 0; i < fx->count; i++)
    {
      if (fx->v[i].kind == FX_NUM)
        continue;
      fx->v[kept] = fx->v[i];
      if (fx->v[kept].kind == FX_PEER_SEND)
        fx->v[kept].peer.msg.stamp = tln_stamp_send (n->env->tln, n->env->now);
      kept++;
    }
  fx->count = kept;
}

static void
_node_timer_set (node_t *n)
{
  clk_ms_t next = tmr_next (n->env->tmr);
  if (next >= n->timer_at)
    return;
  n->timer_at = next;
  fx_push (n->env->fx, &(fx_t){ .kind = FX_TIMER, .timer = next });
}

const fx_list_t *
node_step (node_t *n, clk_ms_t now, const ev_t *ev)
{
  INV_CHECK (now >= n->env->now, "time-never-goes-back", "%lld after %lld",
             (long long)now, (long long)n->env->now);
  n->env->now = now;
  fx_clear (n->env->fx);
  /* Time limits that are due after a pause would end what has its answer
   * already. */
  if (!ev->behind)
    _node_timers (n);
  _node_event (n, ev);
  _node_drain (n);
  if (n->state == NODE_LEAVING && node_mods_idle (n))
    _node_fire (n, _NODE_EV_IDLE);
  _node_messages_route (n);
  _node_messages_stamp (n);
  _node_timer_set (n);
  return n->env->fx;
}

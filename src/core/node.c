#include "core/node.h"

#include "core/cfg.h"
#include "core/cht.h"
#include "core/inv.h"
#include "core/onl.h"
#include "core/rpl.h"

#include <string.h>
#include <talloc.h>

#define NODE_CONFIG_POLL_MS (1 * CLK_SECOND)

typedef enum
{
  _NODE_STARTING,
  _NODE_SERVING,
  _NODE_LEAVING,
  _NODE_STOPPED,
  _NODE_STATE_NUM
} _node_state_t;

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

struct node
{
  env_t *env;
  const cht_t *chart;
  _node_state_t state;
  clk_ms_t timer_at; /**< of the last FX_TIMER */
  cfg_doc_t *doc;
  uint64_t doc_version;
  onl_t *onl;
};

/* -- set up --------------------------------------------------------------- */

static cht_t *
_node_chart (void *ctx, st_t *st)
{
  static const char *const states[_NODE_STATE_NUM]
      = { "starting", "serving", "leaving", "stopped" };
  static const char *const events[_NODE_EV_NUM]
      = { "configured", "leave", "idle" };
  static const char *const actions[_NODE_DO_NUM]
      = { "announce", "hand-over", "exit" };
  return cht_setup (ctx,
                    &(cht_desc_t){ .text = cht_text ("node"),
                                   .states = states,
                                   .state_count = _NODE_STATE_NUM,
                                   .events = events,
                                   .event_count = _NODE_EV_NUM,
                                   .actions = actions,
                                   .action_count = _NODE_DO_NUM },
                    st);
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
                                        .seed = desc->seed });
  n->timer_at = CLK_NEVER;
  n->onl = onl_setup (n);
  return n;
}

void
node_shutdown (node_t *n)
{
  talloc_free (n);
}

const env_t *
node_env (const node_t *n)
{
  return n->env;
}

/* -- life ----------------------------------------------------------------- */

static void
_node_act (node_t *n, _node_action_t action)
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
  n->state = (_node_state_t)step.next;
  for (size_t i = 0; i < step.action_count; i++)
    _node_act (n, (_node_action_t)step.actions[i]);
}

/* -- configuration -------------------------------------------------------- */

static void
_node_fetch_config (node_t *n)
{
  plt_call (n->env, &(plt_req_t){ .mod = MOD_CONFIG,
                                  .op = FX_PLATFORM_GET,
                                  .name = "config" });
}

static void
_node_config_replied (node_t *n, const ev_platform_t *reply)
{
  tmr_arm (n->env->tmr, n->env->now + NODE_CONFIG_POLL_MS, MOD_CONFIG, 0);
  if (reply->code != ST_OK || reply->object_count != 1
      || reply->objects[0].version <= n->doc_version)
    return;
  n->doc_version = reply->objects[0].version;
  cfg_doc_t *doc = NULL;
  st_t st = { 0 };
  if (cfg_doc_parse (n, reply->objects[0].value, &doc, &st) != ST_OK)
    {
      tln_record (n->env->tln, n->env->now, MOD_CONFIG, "refused", "%s",
                  st.message);
      return;
    }
  onl_config_changed (n->onl, n->env, doc);
  talloc_free (n->doc);
  n->doc = doc;
  _node_fire (n, _NODE_EV_CONFIGURED);
}

/* -- dispatch ------------------------------------------------------------- */

static void
_node_platform_done (node_t *n, const plt_done_t *done,
                     const ev_platform_t *reply)
{
  switch (done->mod)
    {
    case MOD_CONFIG:
      _node_config_replied (n, reply);
      break;
    default:
      INV_CHECK (false, "platform-reply-owner", "module %s",
                 mod_name (done->mod));
    }
}

static void
_node_timer (node_t *n, const tmr_due_t *due)
{
  switch (due->mod)
    {
    case MOD_CONFIG:
      _node_fetch_config (n);
      break;
    case MOD_ONLINE:
      onl_timer_fired (n->onl, n->env, due->tag);
      break;
    default:
      INV_CHECK (false, "timer-owner", "module %s", mod_name (due->mod));
    }
}

static void
_node_timers (node_t *n)
{
  tmr_due_t due;
  if (n->env->now >= n->timer_at)
    n->timer_at = CLK_NEVER;
  while (tmr_pop (n->env->tmr, n->env->now, &due))
    _node_timer (n, &due);
}

static void
_node_request (node_t *n, const ev_request_t *req)
{
  if (strcmp (req->path, "/metrics") == 0)
    {
      char *text = cnt_format (NULL, n->env->cnt);
      rpl_text (n->env, req->caller, 200, "text/plain; version=0.0.4",
                buf_str (text));
      talloc_free (text);
      return;
    }
  onl_request (n->onl, n->env, req);
}

static void
_node_upstream (node_t *n, const ev_t *ev)
{
  upc_who_t who;
  if (!upc_event (n->env, ev, &who))
    return;
  switch (who.mod)
    {
    case MOD_ONLINE:
      onl_upstream_event (n->onl, n->env, who.tag, ev);
      break;
    default:
      INV_CHECK (false, "upstream-call-owner", "module %s",
                 mod_name (who.mod));
    }
}

static void
_node_platform (node_t *n, const ev_platform_t *reply)
{
  plt_done_t done;
  if (plt_reply (n->env, reply, &done))
    _node_platform_done (n, &done, reply);
}

static void
_node_peer (node_t *n, const ev_t *ev)
{
  if (ev->kind == EV_PEER_MSG)
    tln_stamp_receive (n->env->tln, n->env->now, ev->peer.msg.stamp);
}

static void
_node_event (node_t *n, const ev_t *ev)
{
  switch (ev->kind)
    {
    case EV_START:
      _node_fetch_config (n);
      break;
    case EV_TIMER:
      break; /* every step runs the timers that are due */
    case EV_REQUEST:
      _node_request (n, &ev->request);
      break;
    case EV_CALLER_GONE:
      onl_caller_gone (n->onl, n->env, ev->caller);
      break;
    case EV_UPSTREAM_HEAD:
    case EV_UPSTREAM_DATA:
    case EV_UPSTREAM_END:
    case EV_UPSTREAM_FAIL:
      _node_upstream (n, ev);
      break;
    case EV_PLATFORM:
      _node_platform (n, &ev->platform);
      break;
    case EV_PEER_UP:
    case EV_PEER_DOWN:
    case EV_PEER_MSG:
      _node_peer (n, ev);
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
  plt_done_t done;
  while (plt_refused_pop (n->env, &done))
    _node_platform_done (n, &done, &(ev_platform_t){ .code = ST_UNAVAILABLE });
}

static void
_node_finish (node_t *n)
{
  fx_list_t *fx = n->env->fx;
  for (size_t i = 0; i < fx->count; i++)
    {
      if (fx->v[i].kind == FX_PEER_SEND)
        fx->v[i].peer.msg.stamp = tln_stamp_send (n->env->tln, n->env->now);
    }
  clk_ms_t next = tmr_next (n->env->tmr);
  if (next < n->timer_at)
    {
      n->timer_at = next;
      fx_push (fx, &(fx_t){ .kind = FX_TIMER, .timer = next });
    }
}

const fx_list_t *
node_step (node_t *n, clk_ms_t now, const ev_t *ev)
{
  INV_CHECK (now >= n->env->now, "time-never-goes-back", "%lld after %lld",
             (long long)now, (long long)n->env->now);
  n->env->now = now;
  fx_clear (n->env->fx);
  _node_timers (n);
  _node_event (n, ev);
  _node_drain (n);
  if (n->state == _NODE_LEAVING && onl_count (n->onl) == 0)
    _node_fire (n, _NODE_EV_IDLE);
  _node_finish (n);
  return n->env->fx;
}

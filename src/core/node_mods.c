#include "core/node_int.h"

#include "core/inv.h"
#include "core/rpl.h"

#include <string.h>
#include <talloc.h>

/* Interval of load reports where the platform provides the configuration.
 * Longer than the default of rte.h, because each report has a cost there. */
#define NODE_LOAD_REPORT_MS 500

/* Longest interval between reads of an unchanged list of VMs.  Jobs are placed
 * on VMs that all others know, so a new VM must be found soon. */
#define NODE_LIST_POLL_MAX_MS (4 * CLK_SECOND)

/* -- status --------------------------------------------------------------- */

static json_t *
_node_status_vms (const node_t *n)
{
  json_t *vms = json_array ();
  for (size_t i = 0; i < mbr_vm_count (n->mbr); i++)
    {
      const mbr_vm_t *m = mbr_vm_get (n->mbr, i);
      json_array_append_new (
          vms, json_pack ("{s:s, s:s, s:b, s:b}", "vm", m->name, "data_centre",
                          m->data_centre, "up", m->up || m->self, "leaving",
                          m->leaving));
    }
  return vms;
}

/* Add the modules' part of the response to GET /v1/operator/status. */
static void
_node_status_add (void *data, json_t *status)
{
  const node_t *n = data;
  bat_stat_t batch = bat_stat (n->bat);
  char *upstreams = rte_format (NULL, n->rte, n->env);
  json_object_set_new (status, "vms", _node_status_vms (n));
  json_object_set_new (status, "online_requests",
                       json_integer (onl_count (n->onl)));
  json_object_set_new (status, "batch",
                       json_pack ("{s:I, s:I, s:I}", "jobs",
                                  (json_int_t)batch.jobs, "chunks_held",
                                  (json_int_t)batch.holds, "items_running",
                                  (json_int_t)batch.in_flight));
  json_object_set_new (status, "upstreams", json_loads (upstreams, 0, NULL));
  talloc_free (upstreams);
}

/* Whether this VM is ready for callers.  Without the lists of mint rights all
 * customers are over their rate, unless peers lend tokens.  Peers lend while
 * the platform is unavailable and no VM can read the lists. */
static bool
_node_ready (void *data)
{
  const node_t *n = data;
  if (n->source == NODE_SOURCE_PLATFORM)
    return n->state == NODE_SERVING;
  bool peers_lend
      = !plt_available (n->env->plt) && g_hash_table_size (n->linked) > 0;
  return peers_lend || lsh_lists_version (lim_shares (n->lim)) > 0;
}

const cfg_doc_t *
node_doc (const node_t *n)
{
  return n->dir != NULL ? dir_doc (n->dir) : cfs_doc (n->cfs);
}

/* -- lifecycle ------------------------------------------------------------ */

void
node_mods_setup (node_t *n, const node_desc_t *desc)
{
  env_t *env = n->env;
  bool platform = desc->source == NODE_SOURCE_PLATFORM;
  n->source = desc->source;
  n->worker = desc->worker;
  n->mbr = mbr_setup (
      n, &(mbr_desc_t){ .self_register = platform,
                        .worker = desc->worker,
                        .poll_max_ms = platform ? NODE_LIST_POLL_MAX_MS : 0 });
  if (platform)
    plt_relay_enable (env->plt);
  if (platform)
    n->dir = dir_setup (n, &(dir_desc_t){ .members = n->mbr,
                                          .data_centres = desc->data_centres,
                                          .history_ms = desc->history_ms,
                                          .evacuate_ms = desc->evacuate_ms });
  n->pth = pth_setup (
      n, &(pth_desc_t){ .members = n->mbr, .tunnel = desc->tunnel });
  env->pth = n->pth;
  n->cfs = cfs_setup (n, env, &(cfs_desc_t){ .members = n->mbr });
  n->keys = key_setup (n, &(key_desc_t){ .peers = cfs_peers (n->cfs) });
  n->lim = lim_setup (
      n, &(lim_desc_t){ .members = n->mbr, .slack = desc->limit_slack });
  n->crs = crs_setup (n, &(crs_desc_t){ .members = n->mbr });
  n->rte = rte_setup (
      n, &(rte_desc_t){ .members = n->mbr,
                        .crashes = n->crs,
                        .cold_overshoot = desc->cold_overshoot,
                        .cold_slack = desc->cold_slack,
                        .even_load = desc->even_load,
                        .report_ms = platform ? NODE_LOAD_REPORT_MS : 0,
                        .avoid_failing = desc->avoid_failing,
                        .no_cache_events = platform });
  n->crd = crd_setup (n, &(crd_desc_t){ 0 });
  n->bat
      = bat_setup (n, &(bat_desc_t){ .credits = n->crd,
                                     .unix_offset_ms = desc->unix_offset_ms });
  n->idm = idm_setup (n, &(idm_desc_t){ .members = n->mbr });
  n->stv = stv_setup (n, n->mbr);
  n->onl = onl_setup (n, &(onl_desc_t){ .members = n->mbr,
                                        .streams = n->stv,
                                        .list_confirms = platform,
                                        .limits = n->lim,
                                        .keys = n->keys,
                                        .routes = n->rte,
                                        .crashes = n->crs,
                                        .records = n->idm });
  n->job = job_setup (n, &(job_desc_t){ .routes = n->rte,
                                        .crashes = n->crs,
                                        .prompt_parts = desc->prompt_parts,
                                        .members = n->mbr,
                                        .unix_offset_ms = desc->unix_offset_ms,
                                        .end_ms = desc->end_ms,
                                        .refuse_late = desc->refuse_late,
                                        .yield_late = desc->yield_late,
                                        .preempt_once = desc->preempt_once });
  if (platform && desc->worker)
    n->ret = ret_setup (n);
  n->opr = opr_setup (
      n, &(opr_desc_t){ .cfs = n->cfs,
                        .key = n->keys,
                        .token_sha256 = desc->operator_token_sha256,
                        .status_add = _node_status_add,
                        .ready = _node_ready,
                        .data = n });
}

void
node_mods_start (node_t *n)
{
  mbr_start (n->mbr, n->env);
  if (n->source == NODE_SOURCE_PLATFORM)
    {
      dir_start (n->dir, n->env);
      /* A worker admits no requests. */
      if (!n->worker)
        lim_start (n->lim, n->env);
      job_start (n->job, n->env);
      if (n->ret != NULL)
        ret_start (n->ret, n->env);
      return;
    }
  cfs_start (n->cfs, n->env);
  key_start (n->keys, n->env);
  lim_start (n->lim, n->env);
  idm_start (n->idm, n->env);
  crd_start (n->crd, n->env);
  bat_start (n->bat, n->env);
}

void
node_mods_leave (node_t *n)
{
  opr_leave (n->opr);
  pth_leave (n->pth, n->env);
  bat_leave (n->bat, n->env);
  job_leave (n->job, n->env);
  onl_leave (n->onl, n->env);
}

bool
node_mods_idle (const node_t *n)
{
  return onl_left (n->onl, n->env) && bat_left (n->bat) && job_left (n->job);
}

/* -- dispatch ------------------------------------------------------------- */

void
node_mods_timer (node_t *n, const tmr_due_t *due)
{
  env_t *env = n->env;
  switch (due->mod)
    {
    case MOD_CONFIG:
      cfs_timer_fired (n->cfs, env, due->tag);
      break;
    case MOD_KEY:
      key_timer_fired (n->keys, env, due->tag);
      break;
    case MOD_MEMBER:
      mbr_timer_fired (n->mbr, env, due->tag);
      break;
    case MOD_LIMIT:
      lim_timer_fired (n->lim, env, due->tag);
      break;
    case MOD_ONLINE:
      onl_timer_fired (n->onl, env, due->tag);
      break;
    case MOD_ROUTE:
      rte_timer_fired (n->rte, env, due->tag);
      break;
    case MOD_BATCH:
      bat_timer_fired (n->bat, env, due->tag);
      break;
    case MOD_CREDIT:
      crd_timer_fired (n->crd, env, due->tag);
      break;
    case MOD_IDEMPOTENT:
      idm_timer_fired (n->idm, env, due->tag);
      break;
    case MOD_DIRECTORY:
      dir_timer_fired (n->dir, env, due->tag);
      break;
    case MOD_RETIRE:
      ret_timer_fired (n->ret, env);
      break;
    case MOD_JOB:
      job_timer_fired (n->job, env, due->tag);
      break;
    case MOD_PLATFORM:
      node_relay_timer (n, due->tag);
      break;
    case MOD_STREAM:
      stv_timer_fired (n->stv, env, due->tag);
      break;
    case MOD_CRASH:
      crs_timer_fired (n->crs, env, due->tag);
      break;
    case MOD_PATH:
      pth_timer_fired (n->pth, env);
      break;
    case MOD_NODE:
    case MOD_ORDER:
    case MOD_NUM:
      INV_CHECK (false, "timer-owner", "module %s", mod_name (due->mod));
    }
}

void
node_mods_platform (node_t *n, const plt_done_t *done,
                    const ev_platform_t *reply)
{
  env_t *env = n->env;
  switch (done->mod)
    {
    case MOD_CONFIG:
      cfs_platform_replied (n->cfs, env, done, reply);
      break;
    case MOD_KEY:
      key_platform_replied (n->keys, env, done, reply);
      break;
    case MOD_MEMBER:
      mbr_platform_replied (n->mbr, env, done, reply);
      break;
    case MOD_LIMIT:
      lim_platform_replied (n->lim, env, done, reply);
      break;
    case MOD_BATCH:
      bat_platform_replied (n->bat, env, done, reply);
      break;
    case MOD_IDEMPOTENT:
      idm_platform_replied (n->idm, env, done, reply);
      break;
    case MOD_DIRECTORY:
      dir_platform_replied (n->dir, env, done, reply);
      break;
    case MOD_RETIRE:
      ret_platform_replied (n->ret, env, done, reply);
      break;
    case MOD_JOB:
      job_platform_replied (n->job, env, done, reply);
      break;
    case MOD_PLATFORM:
      node_relay_done (n, done, reply);
      break;
    case MOD_ONLINE:
      onl_platform_replied (n->onl, env, reply);
      break;
    case MOD_NODE:
    case MOD_ROUTE:
    case MOD_CREDIT:
    case MOD_ORDER:
    case MOD_STREAM:
    case MOD_CRASH:
    case MOD_PATH:
    case MOD_NUM:
      INV_CHECK (false, "platform-reply-owner", "module %s",
                 mod_name (done->mod));
    }
}

/* The module whose block of message kinds contains KIND; MOD_NUM for none. */
static mod_t
_node_message_mod (uint16_t kind)
{
  if (kind < MSG_CONFIG_FIRST || kind >= MSG_END)
    return MOD_NUM;
  if (kind < MSG_KEY_FIRST)
    return MOD_CONFIG;
  if (kind < MSG_MEMBER_FIRST)
    return MOD_KEY;
  if (kind < MSG_LIMIT_FIRST)
    return MOD_MEMBER;
  if (kind < MSG_ROUTE_FIRST)
    return MOD_LIMIT;
  if (kind < MSG_BATCH_FIRST)
    return MOD_ROUTE;
  if (kind >= MSG_PATH_FIRST)
    return MOD_PATH;
  if (kind >= MSG_CRASH_FIRST)
    return MOD_CRASH;
  if (kind >= MSG_STREAM_FIRST)
    return MOD_STREAM;
  if (kind >= MSG_PLATFORM_FIRST)
    return MOD_PLATFORM;
  if (kind >= MSG_DIRECTORY_FIRST)
    return MOD_DIRECTORY;
  if (kind >= MSG_JOB_FIRST)
    return MOD_JOB;
  return crd_owns_message (kind) ? MOD_CREDIT : MOD_BATCH;
}

void
node_mods_message (node_t *n, const char *vm, const msg_t *msg)
{
  env_t *env = n->env;
  crs_heard (n->crs, env);
  switch (_node_message_mod (msg->kind))
    {
    case MOD_CONFIG:
      cfs_message_received (n->cfs, env, vm, msg);
      break;
    case MOD_KEY:
      key_message_received (n->keys, env, vm, msg);
      break;
    case MOD_MEMBER:
      mbr_message_received (n->mbr, env, vm, msg);
      break;
    case MOD_LIMIT:
      lim_message_received (n->lim, env, vm, msg);
      break;
    case MOD_ROUTE:
      rte_message_received (n->rte, env, vm, msg);
      break;
    case MOD_CREDIT:
      crd_message_received (n->crd, env, vm, msg);
      break;
    case MOD_PLATFORM:
      node_relay_message (n, vm, msg);
      break;
    case MOD_STREAM:
      stv_message_received (n->stv, env, vm, msg);
      break;
    case MOD_CRASH:
      crs_message_received (n->crs, env, vm, msg);
      break;
    case MOD_PATH:
      pth_message_received (n->pth, env, vm, msg);
      break;
    case MOD_DIRECTORY:
      if (n->dir != NULL)
        dir_message_received (n->dir, env, vm, msg);
      break;
    case MOD_JOB:
      job_message_received (n->job, env, vm, msg);
      break;
    case MOD_BATCH:
      bat_message_received (n->bat, env, vm, msg);
      break;
    default:
      cnt_add (env->cnt, "rts_peer_messages_unknown_total", "", 1);
      break;
    }
}

void
node_mods_upstream (node_t *n, const ev_t *received)
{
  upc_owner_t owner;
  ev_t ev = *received;
  if (!upc_event (n->env, &ev, &owner))
    return;
  switch (owner.mod)
    {
    case MOD_ONLINE:
      onl_upstream_event (n->onl, n->env, owner.tag, &ev);
      break;
    case MOD_ROUTE:
      rte_upstream_event (n->rte, n->env, owner.tag, &ev);
      break;
    case MOD_CRASH:
      crs_upstream_event (n->crs, n->env, owner.tag, &ev);
      break;
    case MOD_PATH:
      pth_upstream_event (n->pth, n->env, owner.tag, &ev);
      break;
    case MOD_JOB:
      job_upstream_event (n->job, n->env, owner.tag, &ev);
      break;
    case MOD_BATCH:
      bat_upstream_event (n->bat, n->env, owner.tag, &ev);
      break;
    default:
      INV_CHECK (false, "upstream-call-owner", "module %s",
                 mod_name (owner.mod));
    }
}

void
node_mods_link (node_t *n, const char *vm, bool up)
{
  if (up)
    {
      g_hash_table_add (n->linked, g_strdup (vm));
      mbr_peer_up (n->mbr, n->env, vm);
      crs_peer_up (n->crs, n->env, vm);
      pth_peer_up (n->pth, n->env, vm);
      if (n->source == NODE_SOURCE_PLATFORM)
        {
          dir_peer_up (n->dir, n->env, vm);
          return;
        }
      cfs_peer_up (n->cfs, n->env, vm);
      key_peer_up (n->keys, n->env, vm);
      return;
    }
  g_hash_table_remove (n->linked, vm);
  mbr_peer_down (n->mbr, n->env, vm);
  pth_peer_down (n->pth, vm);
}

/* -- between modules ------------------------------------------------------ */

static void
_node_members_changed (node_t *n)
{
  size_t count = mbr_vm_count (n->mbr);
  ev_vm_t *vms = talloc_zero_array (n, ev_vm_t, count);
  ev_vm_t *up = talloc_zero_array (vms, ev_vm_t, count);
  size_t up_count = 0;
  for (size_t i = 0; i < count; i++)
    {
      const mbr_vm_t *m = mbr_vm_get (n->mbr, i);
      vms[i] = (ev_vm_t){ .vm = m->name,
                          .data_centre = m->data_centre,
                          .address = m->address,
                          .leaving = m->leaving };
      if (!m->up && !m->self)
        continue;
      up[up_count++] = vms[i];
    }
  job_members_changed (n->job, n->env);
  stv_members_changed (n->stv, n->env);
  if (n->source == NODE_SOURCE_SECTIONS)
    {
      cfs_peers_changed (n->cfs, n->env, vms, count);
      crd_members_changed (n->crd, n->env, up, up_count);
      bat_members_changed (n->bat, n->env, up, up_count);
    }
  talloc_free (vms);
}

static void
_node_config_changed (node_t *n)
{
  const cfg_doc_t *doc = node_doc (n);
  lim_config_changed (n->lim, n->env, doc);
  rte_config_changed (n->rte, n->env, doc);
  onl_config_changed (n->onl, n->env, doc);
  job_config_changed (n->job, n->env, doc);
  pth_config_changed (n->pth, doc);
  if (n->source == NODE_SOURCE_SECTIONS)
    {
      crd_config_changed (n->crd, n->env, doc);
      bat_config_changed (n->bat, n->env, doc);
    }
  tln_record (n->env->tln, n->env->now, MOD_CONFIG, "in-force", "version=%llu",
              (unsigned long long)(n->dir != NULL ? dir_version (n->dir)
                                                  : cfs_version (n->cfs)));
}

static void
_node_relayed_dispatch (node_t *n)
{
  mbr_relayed_t relayed;
  while (mbr_relayed_pop (n->mbr, &relayed))
    node_mods_message (n, relayed.from, &relayed.msg);
}

static void
_node_refused_dispatch (node_t *n)
{
  plt_done_t done;
  while (plt_refused_pop (n->env, &done))
    node_mods_platform (n, &done, &(ev_platform_t){ .code = ST_UNAVAILABLE });
}

/* Pass the online load of each upstream to the batch credits. */
static void
_node_loads_forward (node_t *n)
{
  rte_load_t load;
  while (rte_load_pop (n->rte, n->env, &load))
    crd_load_changed (n->crd, n->env,
                      &(crd_load_t){ .upstream = load.upstream,
                                     .in_flight = load.online,
                                     .waiting = load.waiting,
                                     .running_known = load.reported,
                                     .running = load.running });
}

/* Preempt batch items in favour of online requests, and start items on the
 * remaining capacity. */
static void
_node_jobs_advance (node_t *n)
{
  const char *upstream;
  while (rte_preempt_pop (n->rte, &upstream))
    job_run_preempt (n->job, n->env, upstream);
  job_pump (n->job, n->env);
}

/** Passes the cold times of the list on to the router. */
static void
_node_cold_forward (node_t *n)
{
  dir_cold_t cold;
  while (n->dir != NULL && dir_cold_pop (n->dir, &cold))
    rte_listed_cold (n->rte, n->env, &cold);
}

bool
node_mods_drain (node_t *n)
{
  node_relay_drain (n);
  _node_refused_dispatch (n);
  _node_relayed_dispatch (n);
  if (mbr_generation (n->mbr) != n->generation)
    {
      n->generation = mbr_generation (n->mbr);
      _node_members_changed (n);
    }
  opr_results_send (n->opr, n->env);
  clk_ms_t since = 0;
  if (pth_cut_began (n->pth, &since))
    rte_forgive (n->rte, n->env, since);
  if (n->dir != NULL)
    dir_pump (n->dir, n->env);
  if (n->dir != NULL && dir_evacuations_changed (n->dir))
    rte_evacuated_set (n->rte, n->env, dir_evacuated (n->dir));
  if (n->dir != NULL && dir_listed_at (n->dir) != CLK_NEVER)
    crs_list_read (n->crs, dir_listed_at (n->dir));
  bool changed
      = n->dir != NULL ? dir_changed (n->dir, n->env) : cfs_changed (n->cfs);
  if (changed)
    _node_config_changed (n);
  _node_cold_forward (n);
  n->configured = n->configured || changed;
  bool starts = n->state == NODE_STARTING;
  bool serves = n->configured && node_is_informed (n);
  onl_pump (n->onl, n->env);
  if (n->source == NODE_SOURCE_SECTIONS)
    {
      _node_loads_forward (n);
      bat_pump (n->bat, n->env);
    }
  else if (serves)
    _node_jobs_advance (n);
  return serves && (changed || starts);
}

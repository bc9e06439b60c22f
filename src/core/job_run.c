/** @file
 * Runs of items.  Items start on free slots of upstreams in the order of
 * job_order.c.  A run is preempted as soon as online requests need its slot,
 * and resumed later after the last event received.
 */
#include "core/job_int.h"
#include "core/key.h"
#include "core/onl.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/** Longest wait for the head of a response. */
#define JOB_FIRST_BYTE_TIMEOUT_MS (3 * CLK_SECOND)
/** Longest silence within the body of a response. */
#define JOB_STALL_TIMEOUT_MS (2 * CLK_SECOND)
/** Longest time in which an event, or the body of a response that is not 200,
 * comes in full. */
#define JOB_EVENT_TIMEOUT_MS (2 * JOB_STALL_TIMEOUT_MS)
/** Largest body of a response that is not 200, in bytes; it is not used. */
#define JOB_REFUSAL_MAX ((size_t)64 << 10)
/** Pause before a part that is not stored yet is read again. */
#define JOB_BODY_MISSING_MS (1 * CLK_SECOND)
/** Pause of an item that failed, was not executed or has no route. */
#define JOB_ITEM_RETRY_MS 200
/** Pause of an item after its second run in a row that has brought nothing, or
 * its first that has reached no upstream; it doubles with each further one up
 * to the longest. */
#define JOB_FRUITLESS_MS ((clk_ms_t)20)
#define JOB_FRUITLESS_MS_MAX (1 * CLK_SECOND)
#define JOB_FRUITLESS_DOUBLINGS 6
/** Slots of an upstream that preemption keeps free while the upstream has
 * online requests.  When an item starts, job_desc_t.spare_slots applies
 * instead. */
#define JOB_RESERVED_SLOTS 1
/** Longest time for which an item has a permit to run. */
#define JOB_PERMIT_MS (15 * CLK_SECOND)
/** Longest pause of an item that upstreams have ended under, before it is
 * looked whether it may run. */
#define JOB_BLOCKED_RETRY_MS (1 * CLK_SECOND)
/** Longest time for which an item waits for room at upstreams that have not
 * failed it.  Items run for some 5 s, so that slots become free in it; without
 * a bound, an upstream that takes nothing for long would hold the item up. */
#define JOB_AVOID_FULL_MS (5 * CLK_SECOND)
/** Pause of an item after a preemption. */
#define JOB_PREEMPTED_RETRY_MS 100
/** A run that is preempted earlier has done less than its start costs. */
#define JOB_SHORT_RUN_MS 500
/** Largest text of an item, in bytes.  It is stored as an object of at most
 * 1 MiB; the other half is for escapes. */
#define JOB_TEXT_MAX ((size_t)512 << 10)
/** Largest body of a run's response, in bytes.  Around a byte of the text an
 * event has about 15 others. */
#define JOB_RESPONSE_MAX (16 * JOB_TEXT_MAX)
/** Items without a route are given up after this time. */
#define JOB_ROUTE_MISSING_MS (3 * CLK_SECOND)

/* -- ends of runs ----------------------------------------------------------
 */

static void
_job_run_free (job_set_t *j, job_run_t *run)
{
  job_t *job = tbl_get (j->jobs, run->job);
  job_item_t *item = &job->items[run->item];
  if (item->state == JOB_ITEM_RUNNING)
    {
      item->state = JOB_ITEM_WAITING;
      job->waiting++;
    }
  item->run = (tbl_id_t){ 0 };
  sse_clear (&run->events);
  talloc_free ((void *)(uintptr_t)run->upstream);
  talloc_free ((void *)(uintptr_t)run->deployment);
  talloc_free ((void *)(uintptr_t)run->version);
  tbl_free (j->runs, run->self);
}

/* Ends RUN without a complete response and cancels its call.  FAIL is the
 * reason that the router gets, WHY the one for the log. */
static void
_job_run_end (job_set_t *j, env_t *env, job_run_t *run, rte_fail_t fail,
              const char *why)
{
  const job_t *job = tbl_get (j->jobs, run->job);
  tln_record (env->tln, env->now, MOD_JOB, "run-ended",
              "job=%s item=%u upstream=%s event=%llu why=%s", job->rec->id,
              run->item, run->upstream,
              (unsigned long long)job->items[run->item].last_event, why);
  upc_cancel (env, run->call);
  rte_failed (j->desc.routes, env, run->in_flight, fail);
  _job_run_free (j, run);
}

/* The pause of ITEM after one more run that has brought nothing.  A first one
 * may be that of an upstream which has just died. */
static clk_ms_t
_job_fruitless_pause (const job_item_t *item)
{
  if (item->fruitless == 0)
    return 0;
  uint32_t doublings = MIN (item->fruitless - 1, JOB_FRUITLESS_DOUBLINGS);
  return clk_min (JOB_FRUITLESS_MS << doublings, JOB_FRUITLESS_MS_MAX);
}

/* Has ITEM, whose run has failed, wait for its next one if the run has brought
 * no event behind RESUMED_AFTER: whatever the cause, the next run may end so
 * at once.  LEAST is the shortest pause. */
static void
_job_item_pause (env_t *env, job_item_t *item, uint64_t resumed_after,
                 clk_ms_t least)
{
  if (item->last_event > resumed_after)
    {
      item->fruitless = 0;
      item->not_before = clk_max (item->not_before, env->now + least);
      return;
    }
  clk_ms_t pause = env_jitter (env, _job_fruitless_pause (item));
  item->fruitless++;
  item->not_before = env->now + clk_max (pause, least);
}

/* Ends RUN, which has failed, as _job_run_end does; the item's next one waits,
 * if this one has brought nothing, LEAST or longer. */
static void
_job_run_fail (job_set_t *j, env_t *env, job_run_t *run, rte_fail_t fail,
               const char *why, clk_ms_t least)
{
  const job_t *job = tbl_get (j->jobs, run->job);
  _job_item_pause (env, &job->items[run->item], run->resumed_after, least);
  _job_run_end (j, env, run, fail, why);
}

void
job_run_stop (job_set_t *j, env_t *env, job_item_t *item)
{
  job_run_t *run = tbl_get (j->runs, item->run);
  if (run != NULL)
    _job_run_end (j, env, run, RTE_FAIL_CANCELLED, "stopped");
}

void
job_runs_stop (job_set_t *j, env_t *env, job_t *job)
{
  for (uint32_t i = 0; i < job->rec->item_count; i++)
    job_run_stop (j, env, &job->items[i]);
}

/* -- bodies ----------------------------------------------------------------
 */

static void
_job_bodies_read (job_set_t *j, env_t *env, job_t *job)
{
  uint32_t parts = job->rec->parts;
  if (job->bodies == NULL)
    {
      job->bodies = talloc_zero_array (job->items, buf_t, parts + 1);
      job->body_requested = talloc_zero_array (job->items, bool, parts + 1);
    }
  for (uint32_t i = 0; i < parts; i++)
    {
      if (job->bodies[i].p != NULL || job->body_requested[i]
          || env->now < job->body_retry)
        continue;
      job->body_requested[i] = true;
      char *name
          = talloc_asprintf (j, JOB_BODY_PREFIX "%s/%u", job->rec->id, i);
      job_call_platform (j, env, JOB_OP_RUN_BODY, job->self, i,
                         &(plt_req_t){ .op = FX_PLATFORM_GET, .name = name });
      talloc_free (name);
    }
}

void
job_run_body_replied (job_set_t *j, env_t *env, const job_op_t *op,
                      const ev_platform_t *reply)
{
  job_t *job = tbl_get (j->jobs, op->owner);
  if (job == NULL)
    return;
  job->body_requested[op->index] = false;
  if (reply->code == ST_OK && reply->object_count > 0)
    job->bodies[op->index] = buf_copy (job->bodies, reply->objects[0].value);
  else
    job->body_retry
        = env->now
          + env_jitter (env, reply->code == ST_NOT_FOUND ? JOB_BODY_MISSING_MS
                                                         : JOB_RETRY_MS);
}

/* -- starting --------------------------------------------------------------
 */

static const cfg_route_t *
_job_route_find (const job_set_t *j, const job_t *job,
                 const job_rec_item_t *item)
{
  char *path
      = talloc_strndup (NULL, item->target, strcspn (item->target, "?"));
  const cfg_route_t *route
      = cfg_route_find_by_host (j->doc, job->rec->host, "POST", path);
  talloc_free (path);
  return route;
}

const cfg_route_t *
job_item_route (const job_set_t *j, job_t *job, uint32_t index)
{
  job_item_t *item = &job->items[index];
  if (item->route_epoch != j->route_epoch)
    {
      item->route = _job_route_find (j, job, &job->rec->items[index]);
      item->route_epoch = j->route_epoch;
    }
  return item->route;
}

static bool
_job_is_full (const job_set_t *j, const char *deployment)
{
  for (guint i = 0; i < j->full->len; i++)
    if (strcmp (g_ptr_array_index (j->full, i), deployment) == 0)
      return true;
  return false;
}

/* A deployment that gets a share of ROUTE and has had room in this pass; NULL:
 * none. */
static const char *
_job_route_room (const job_set_t *j, const cfg_route_t *route)
{
  bool shared = false;
  for (size_t i = 0; i < route->share_count; i++)
    {
      shared = shared || route->shares[i].weight > 0;
      if (route->shares[i].weight > 0
          && !_job_is_full (j, route->shares[i].deployment))
        return route->shares[i].deployment;
    }
  return shared || _job_is_full (j, route->deployment) ? NULL
                                                       : route->deployment;
}

/* The deployment for an item on ROUTE that is bound to none. */
static const char *
_job_deployment_pick (const job_set_t *j, env_t *env, const cfg_route_t *route)
{
  const char *picked
      = cfg_route_deployment_pick (route, g_rand_double (env->rand));
  const char *other
      = _job_is_full (j, picked) ? _job_route_room (j, route) : NULL;
  return other != NULL ? other : picked;
}

bool
job_item_is_behind_full (job_set_t *j, job_t *job, uint32_t index)
{
  if (j->full->len == 0)
    return false;
  if (job->items[index].deployment != NULL)
    return _job_is_full (j, job->items[index].deployment);
  const cfg_route_t *route = job_item_route (j, job, index);
  if (route == NULL)
    return false;
  if (route == j->full_route)
    return true;
  if (_job_route_room (j, route) != NULL)
    return false;
  j->full_route = route;
  return true;
}

static uint64_t
_job_upstream_call (env_t *env, const job_t *job, uint32_t index,
                    const rte_pick_t *pick, tbl_id_t run)
{
  const job_rec_item_t *item = &job->rec->items[index];
  const job_item_t *progress = &job->items[index];
  char after[24] = "";
  buf_t body;
  void *tmp = talloc_new (NULL);
  http_headers_t keyless = key_strip_headers (tmp, item->headers, NULL);
  (void)job_item_body (job, item, &body);
  g_snprintf (after, sizeof after, "%llu",
              (unsigned long long)progress->last_event);
  uint64_t call
      = upc_call (env, MOD_JOB, run.id,
                  &(fx_upstream_t){
                      .address = pick->address,
                      .method = "POST",
                      .path = item->target,
                      .headers = onl_request_headers (tmp, keyless, item->id),
                      .body = body,
                      .first_byte_ms = JOB_FIRST_BYTE_TIMEOUT_MS,
                      .stall_ms = JOB_STALL_TIMEOUT_MS,
                      .fresh_connection = progress->failures > 0,
                      .upstream = pick->fixed_identity ? pick->upstream : NULL,
                      /* Upstreams of the platform do both. */
                      .proves_origin = pick->fixed_identity,
                      .host = job->rec->host,
                      .customer = job->rec->customer,
                      .resume_after = progress->last_event > 0 ? after : NULL,
                  });
  talloc_free (tmp);
  return call;
}

uint64_t
job_item_tag (const job_t *job, uint32_t index)
{
  return job->self.id * JOB_ITEMS_MAX + index;
}

/* What of item INDEX of JOB may end an upstream; it is written to SUBJECTS,
 * which has room for CRS_SUBJECTS_MAX. */
static crs_query_t
_job_crash_query (const job_set_t *j, const job_t *job, uint32_t index,
                  uint64_t *subjects)
{
  const job_rec_item_t *rec = &job->rec->items[index];
  job_item_t *item = &job->items[index];
  buf_t body = { .p = "" };
  size_t n = j->desc.prompt_parts == NULL
                 ? 0
                 : j->desc.prompt_parts (rec->headers, subjects,
                                         CRS_SUBJECTS_MAX - 1);
  if (item->request_hash == 0 && job_item_body (job, rec, &body))
    item->request_hash
        = crs_request_hash (job->rec->customer, "POST", rec->target, body);
  subjects[n++] = item->request_hash;
  return (crs_query_t){
    .mod = MOD_JOB,
    .tag = job_item_tag (job, index),
    .request_id = rec->id,
    .subjects = subjects,
    .subject_count = n,
    .has_request = true,
    .has_ended_one = item->has_ended_one,
    .permit_ms = JOB_PERMIT_MS,
  };
}

/* Whether the item of QUERY may be sent; it waits otherwise. */
static bool
_job_crash_gate (job_set_t *j, env_t *env, job_item_t *item,
                 const crs_query_t *query)
{
  clk_ms_t retry_ms = 0;
  if (j->desc.crashes == NULL)
    return true;
  bool checking = item->has_ended_one
                  && crs_is_checking (j->desc.crashes, MOD_JOB, query->tag);
  crs_verdict_t verdict
      = checking ? CRS_WAIT
                 : crs_may_send (j->desc.crashes, env, query, &retry_ms);
  if (verdict == CRS_SEND)
    return true;
  if (verdict == CRS_WAIT)
    retry_ms = CRS_ASK_MS;
  item->not_before = env->now + clk_min (retry_ms, JOB_BLOCKED_RETRY_MS);
  return false;
}

/* Whether item INDEX, which LATE says cannot be on time, leaves free slots to
 * other VMs now. */
static bool
_job_item_yields (const job_set_t *j, const env_t *env, const job_t *job,
                  uint32_t index, bool late)
{
  const job_rec_t *rec = job->rec;
  clk_ms_t left = rec->keep_ms > 0
                      ? rec->arrived + rec->keep_ms - job_unix_now (j, env)
                      : CLK_HOUR;
  return j->desc.yield_late && rec->due_ms > 0 && late
         && jfc_gives_way (&j->turn, env->now,
                           job_remaining_ms (j, job, index), left);
}

/* Notes that item INDEX has left room to other VMs. */
static void
_job_item_yielded (job_set_t *j, env_t *env, const job_t *job, uint32_t index)
{
  bool goes_on = j->turn.since != 0;
  clk_ms_t turn_until = j->turn.turn_until;
  jfc_gave_way (&j->turn, env->now);
  cnt_add (env->cnt, "rts_job_gave_way_total", "", 1);
  if (goes_on && j->turn.turn_until == turn_until)
    return;
  tln_record (env->tln, env->now, MOD_JOB, "gives-way",
              "job=%s item=%u due_in_ms=%lld remaining_ms=%.0f turn=%d",
              job->rec->id, index, (long long)(job_due (j, job) - env->now),
              job_remaining_ms (j, job, index),
              j->turn.turn_until != turn_until);
}

/* What became of the start of an item. */
typedef enum
{
  _JOB_STARTED,
  _JOB_NO_ROOM, /* at any upstream of the deployment, which is in
                   job_set_t.full now */
  _JOB_NO_CALL, /* this VM can make no further calls */
  _JOB_LATER,   /* no upstream of the item's version, or none that has not
                   failed it, has room */
} _job_start_t;

/* Picks an upstream for QUERY of ITEM.  One that has failed the item is picked
 * again only where no other is in use, or after JOB_AVOID_FULL_MS: an upstream
 * that fails at once looks idle and would get all attempts of the item. */
static bool
_job_pick (const job_set_t *j, env_t *env, const job_item_t *item,
           rte_query_t *query, rte_pick_t *pick)
{
  query->avoid = item->failed_at;
  query->avoid_count = item->failed_at_count;
  if (rte_pick (j->desc.routes, env, query, pick))
    return true;
  if (query->avoid_count == 0 || pick->full || pick->limited)
    return false;
  query->avoid_count = 0;
  return rte_pick (j->desc.routes, env, query, pick);
}

/* Item INDEX waits for room at upstreams that have not failed it; when it has
 * waited for long, it may be sent to the others again. */
static void
_job_avoided_full (env_t *env, const job_t *job, uint32_t index)
{
  job_item_t *item = &job->items[index];
  item->not_before = env->now + JOB_ITEM_RETRY_MS;
  if (item->full_since == CLK_NEVER)
    item->full_since = env->now;
  if (env->now - item->full_since < JOB_AVOID_FULL_MS)
    return;
  tln_record (env->tln, env->now, MOD_JOB, "avoids-none",
              "job=%s item=%s failed_at=%u waited_ms=%lld", job->rec->id,
              job->rec->items[index].id, item->failed_at_count,
              (long long)(env->now - item->full_since));
  talloc_free (item->failed_at);
  item->failed_at = NULL;
  item->failed_at_count = 0;
  item->full_since = CLK_NEVER;
}

/* Notes that DEPLOYMENT has no room for items in this pass. */
static void
_job_full_add (job_set_t *j, env_t *env, const char *deployment)
{
  char *labels = g_strdup_printf ("deployment=\"%s\"", deployment);
  cnt_add (env->cnt, "rts_job_no_room_total", labels, 1);
  g_free (labels);
  g_ptr_array_add (j->full, g_strdup (deployment));
}

/* Gives item INDEX up if it may not be sent, which an earlier version has
 * accepted. */
static bool
_job_item_is_unsendable (job_set_t *j, env_t *env, job_t *job, uint32_t index)
{
  void *tmp = talloc_new (NULL);
  const char *why = job_stored_fault (tmp, job->rec, index);
  if (why != NULL)
    {
      tln_record (env->tln, env->now, MOD_JOB, "item-unsendable",
                  "job=%s item=%u why=%s", job->rec->id, index, why);
      job->waiting--;
      job_outcome_set (j, env, job, index, false);
    }
  talloc_free (tmp);
  return why != NULL;
}

/* Starts item INDEX. */
static _job_start_t
_job_start_item (job_set_t *j, env_t *env, job_t *job, uint32_t index,
                 const cfg_route_t *route)
{
  rte_pick_t pick;
  uint64_t subjects[CRS_SUBJECTS_MAX];
  job_item_t *item = &job->items[index];
  crs_query_t crash = _job_crash_query (j, job, index, subjects);
  if (!_job_crash_gate (j, env, item, &crash))
    return _JOB_LATER;
  job_text_check_route (item, route);
  bool late = job_item_is_late (j, env, job, index);
  rte_query_t query
      = { .deployment = item->deployment != NULL
                            ? item->deployment
                            : _job_deployment_pick (j, env, route),
          .version = job_version_wanted (j, env, item),
          .crash = &crash,
          .batch = true,
          .repeatable
          = job->rec->attempts == 0 || item->failures + 1 < job->rec->attempts,
          .skip_full = true,
          .yields = _job_item_yields (j, env, job, index, late),
          .reserved_slots = j->desc.spare_slots };
  if (!_job_pick (j, env, item, &query, &pick))
    {
      if (j->desc.crashes != NULL)
        crs_drop (j->desc.crashes, env, MOD_JOB, crash.tag);
      if (pick.yielded)
        _job_item_yielded (j, env, job, index);
      else if (!late && j->desc.yield_late && j->full->len == 0)
        rte_batch_wants (j->desc.routes, query.deployment);
      if (query.version == NULL && query.avoid_count == 0)
        {
          _job_full_add (j, env, query.deployment);
          return _JOB_NO_ROOM;
        }
      if (query.version == NULL)
        {
          _job_avoided_full (env, job, index);
          return _JOB_LATER;
        }
      job_version_missing (j, env, job, index);
      return _JOB_LATER;
    }
  item->full_since = CLK_NEVER;
  tbl_id_t id = tbl_alloc (j->runs);
  job_run_t *run = tbl_get (j->runs, id);
  *run = (job_run_t){ .self = id,
                      .job = job->self,
                      .item = index,
                      .in_flight = pick.handle,
                      .upstream = talloc_strdup (j, pick.upstream),
                      .deployment = talloc_strdup (j, query.deployment),
                      .version = pick.version == NULL
                                     ? NULL
                                     : talloc_strdup (j, pick.version),
                      .started = env->now,
                      .progress_at = env->now,
                      .resumed_after = job->items[index].last_event };
  job->items[index].state = JOB_ITEM_RUNNING;
  job->items[index].run = id;
  job->waiting--;
  run->call = _job_upstream_call (env, job, index, &pick, id);
  if (run->call == 0)
    {
      rte_failed (j->desc.routes, env, pick.handle, RTE_FAIL_CANCELLED);
      _job_run_free (j, run);
      return _JOB_NO_CALL;
    }
  rte_started (j->desc.routes, env, pick.handle);
  cnt_add (env->cnt, "rts_job_runs_total", "", 1);
  return _JOB_STARTED;
}

/* Gives up JOB's waiting items when its retention time is over or its route
 * has been missing too long. */
static void
_job_expire (job_set_t *j, env_t *env, job_t *job)
{
  const job_rec_t *rec = job->rec;
  bool expired = rec->keep_ms > 0
                 && job_unix_now (j, env) >= rec->arrived + rec->keep_ms;
  bool unroutable
      = job->route_missing_since != CLK_NEVER
        && env->now - job->route_missing_since > JOB_ROUTE_MISSING_MS;
  if (!expired && !unroutable)
    return;
  for (uint32_t i = 0; i < rec->item_count; i++)
    if (job->items[i].state == JOB_ITEM_WAITING)
      {
        job->waiting--;
        job_outcome_set (j, env, job, i, false);
      }
}

/* Reads missing bodies and gives up expired items, for all jobs that this VM
 * runs. */
static void
_job_prepare (job_set_t *j, env_t *env)
{
  for (tbl_id_t id = tbl_next (j->jobs, (tbl_id_t){ 0 }); id.id != 0;
       id = tbl_next (j->jobs, id))
    {
      job_t *job = tbl_get (j->jobs, id);
      if (!job->runs_here || job->waiting == 0)
        continue;
      _job_bodies_read (j, env, job);
      _job_expire (j, env, job);
    }
}

/* Starts items in their order.  A deployment without room takes no more of
 * them in this pass; the items of all others go on. */
void
job_runs_start (job_set_t *j, env_t *env)
{
  uint32_t index = 0;
  g_ptr_array_set_size (j->full, 0);
  j->full_route = NULL;
  rte_batch_wants (j->desc.routes, NULL);
  if (j->doc == NULL || j->leaving)
    return;
  _job_prepare (j, env);
  for (job_t *job = job_order_next (j, env, &index); job != NULL;
       job = job_order_next (j, env, &index))
    {
      if (!job_news_suffice (j, env))
        break;
      if (_job_item_is_unsendable (j, env, job, index))
        continue;
      const cfg_route_t *route = job_item_route (j, job, index);
      if (route == NULL)
        {
          if (job->route_missing_since == CLK_NEVER)
            job->route_missing_since = env->now;
          job->items[index].not_before = env->now + JOB_ITEM_RETRY_MS;
          continue;
        }
      job->route_missing_since = CLK_NEVER;
      if (_job_start_item (j, env, job, index, route) == _JOB_NO_CALL)
        break;
    }
}

/* -- preemption ------------------------------------------------------------
 */

/* The number of this VM's runs to preempt: its share of the batch items that
 * exceed the slots left by online requests.  The fraction is rounded at
 * random, so that all VMs together preempt the right number on average. */
static uint32_t
_job_preempt_count (env_t *env, const rte_occupancy_t *occupancy)
{
  uint32_t online = occupancy->load > occupancy->batch
                        ? occupancy->load - occupancy->batch
                        : 0;
  uint32_t taken = online > 0 ? online + JOB_RESERVED_SLOTS : 0;
  uint32_t left = occupancy->slots > taken ? occupancy->slots - taken : 0;
  if (occupancy->batch <= left)
    return 0;
  double share = (double)(occupancy->batch - left) * occupancy->own_batch
                 / occupancy->batch;
  return (uint32_t)(share + g_rand_double (env->rand));
}

void
job_run_preempt (job_set_t *j, env_t *env, const char *upstream)
{
  job_run_t *last = job_order_last_run (j, env, upstream);
  if (last == NULL)
    return;
  const job_t *job = tbl_get (j->jobs, last->job);
  job->items[last->item].not_before = env->now + JOB_PREEMPTED_RETRY_MS;
  cnt_add (env->cnt, "rts_job_yields_total", "", 1);
  if (env->now - last->started < JOB_SHORT_RUN_MS)
    cnt_add (env->cnt, "rts_job_yields_short_total", "", 1);
  _job_run_end (j, env, last, RTE_FAIL_CANCELLED, "preempted");
}

/* Preempts the runs at UPSTREAM that are too many by the load in OCCUPANCY. */
static void
_job_runs_preempt_at (job_set_t *j, env_t *env, const char *upstream,
                      const rte_occupancy_t *occupancy)
{
  uint32_t count = _job_preempt_count (env, occupancy);
  for (uint32_t i = 0; i < count; i++)
    job_run_preempt (j, env, upstream);
}

void
job_runs_preempt (job_set_t *j, env_t *env)
{
  if (j->desc.preempt_once)
    return;
  for (tbl_id_t id = tbl_next (j->runs, (tbl_id_t){ 0 }); id.id != 0;
       id = tbl_next (j->runs, id))
    {
      job_run_t *run = tbl_get (j->runs, id);
      rte_occupancy_t occupancy
          = rte_occupancy (j->desc.routes, env, run->upstream);
      uint64_t *seen = g_hash_table_lookup (j->occupancy_seen, run->upstream);
      if (seen != NULL && *seen == occupancy.update_count)
        continue;
      char *upstream = talloc_strdup (NULL, run->upstream);
      g_hash_table_replace (
          j->occupancy_seen, g_strdup (upstream),
          g_memdup2 (&occupancy.update_count, sizeof occupancy.update_count));
      _job_runs_preempt_at (j, env, upstream, &occupancy);
      talloc_free (upstream);
    }
}

/* -- progress --------------------------------------------------------------
 */

/* Appends a complete event to the text of RUN's item; ends RUN and returns
 * false when that cannot be. */
static bool
_job_event (job_set_t *j, env_t *env, job_run_t *run, const sse_event_t *event)
{
  job_t *job = tbl_get (j->jobs, run->job);
  job_item_t *item = &job->items[run->item];
  bool begins = item->text == NULL;
  if (!job_text_append (item, event))
    {
      _job_run_fail (j, env, run, RTE_FAIL_TRUNCATED, "event-missing", 0);
      return false;
    }
  if (begins)
    job_text_began (j, job, run);
  if (item->text->len <= JOB_TEXT_MAX && run->received <= JOB_RESPONSE_MAX)
    return true;
  /* Which part of it was the item's cannot be told. */
  job_text_drop (item);
  _job_run_fail (j, env, run, RTE_FAIL_TRUNCATED, "text-too-large", 0);
  return false;
}

/* Ends RUN, whose response is not 200, if its body does not end. */
static void
_job_refusal_data (job_set_t *j, env_t *env, job_run_t *run)
{
  if (run->received > JOB_REFUSAL_MAX)
    _job_run_fail (j, env, run, RTE_FAIL_TRUNCATED, "refusal-too-large", 0);
  else if (env->now - run->progress_at > JOB_EVENT_TIMEOUT_MS)
    _job_run_fail (j, env, run, RTE_FAIL_TIMEOUT, "refusal-too-slow", 0);
}

static void
_job_data (job_set_t *j, env_t *env, job_run_t *run, buf_t data)
{
  sse_event_t event;
  run->received += data.n;
  if (run->status != 200)
    {
      _job_refusal_data (j, env, run);
      return;
    }
  sse_push (&run->events, data);
  while (sse_pop (&run->events, &event))
    {
      if (!_job_event (j, env, run, &event))
        return;
      run->progress_at = env->now;
      rte_progress (j->desc.routes, env, run->in_flight);
    }
  if (sse_is_too_large (&run->events))
    _job_run_fail (j, env, run, RTE_FAIL_TRUNCATED, "event-too-large", 0);
  else if (env->now - run->progress_at > JOB_EVENT_TIMEOUT_MS)
    _job_run_fail (j, env, run, RTE_FAIL_TIMEOUT, "event-too-slow", 0);
}

/* Ends RUN, which its upstream has refused with STATUS and has not run.  One
 * that is full now may soon have room. */
static void
_job_not_run (job_set_t *j, env_t *env, job_run_t *run, int status)
{
  const job_t *job = tbl_get (j->jobs, run->job);
  rte_fail_t fail = rte_not_run_fail (status);
  if (status != 429 && status != 503)
    {
      _job_run_fail (j, env, run, fail, "not-run", JOB_ITEM_RETRY_MS);
      return;
    }
  job->items[run->item].not_before = env->now + JOB_ITEM_RETRY_MS;
  _job_run_end (j, env, run, fail, "not-run");
}

static void
_job_head (job_set_t *j, env_t *env, job_run_t *run, const ev_upstream_t *up)
{
  job_t *job = tbl_get (j->jobs, run->job);
  if (up->not_run)
    {
      tln_record (env->tln, env->now, MOD_JOB, "not-run",
                  "job=%s item=%s upstream=%s status=%d", job->rec->id,
                  job->rec->items[run->item].id, run->upstream, up->status);
      _job_not_run (j, env, run, up->status);
      return;
    }
  if (up->status >= 500)
    rte_answer_status (j->desc.routes, env, run->in_flight, up->status,
                       job->rec->customer);
  rte_first_byte (j->desc.routes, env, run->in_flight);
  run->status = up->status;
  run->close_delimited = up->close_delimited;
  run->progress_at = env->now;
}

/* Notes that UPSTREAM has failed ITEM, which belongs to JOB. */
static void
_job_failed_at_add (const job_t *job, job_item_t *item, const char *upstream)
{
  for (uint32_t i = 0; i < item->failed_at_count; i++)
    if (strcmp (item->failed_at[i], upstream) == 0)
      return;
  if (item->failed_at_count == JOB_FAILED_AT_MAX)
    return;
  item->failed_at = talloc_realloc (job->items, item->failed_at, const char *,
                                    item->failed_at_count + 1);
  item->failed_at[item->failed_at_count++]
      = talloc_strdup (item->failed_at, upstream);
}

/* Handles a complete response that is not 200: gives item INDEX up after
 * status 422, or when the number of responses with status 500 reaches the
 * job's limit; otherwise the item waits for another run. */
static void
_job_item_failed (job_set_t *j, env_t *env, job_t *job, uint32_t index,
                  int status)
{
  job_item_t *item = &job->items[index];
  _job_item_pause (env, item, item->last_event, JOB_ITEM_RETRY_MS);
  if (status == 500)
    item->failures++;
  tln_record (env->tln, env->now, MOD_JOB, "item-failed",
              "job=%s item=%s status=%d failures=%u", job->rec->id,
              job->rec->items[index].id, status, item->failures);
  if (status != 422
      && (job->rec->attempts == 0 || item->failures < job->rec->attempts))
    return;
  job->waiting--;
  job_outcome_set (j, env, job, index, false);
}

/* Whether RUN, which has ended with status 200, does not complete its item:
 * the stream ended within an event, or nothing but a close ended it before
 * any. */
static bool
_job_run_is_cut (const job_run_t *run, const job_item_t *item)
{
  return item->text == NULL || sse_pending (&run->events)
         || (run->close_delimited && item->last_event == run->resumed_after);
}

static void
_job_run_completed (job_set_t *j, env_t *env, job_run_t *run)
{
  job_t *job = tbl_get (j->jobs, run->job);
  uint32_t index = run->item;
  int status = run->status;
  if (status == 200 && _job_run_is_cut (run, &job->items[index]))
    {
      _job_run_fail (j, env, run,
                     run->close_delimited ? RTE_FAIL_CLOSED
                                          : RTE_FAIL_TRUNCATED,
                     "incomplete", 0);
      return;
    }
  if (status == 200)
    {
      rte_answer_status (j->desc.routes, env, run->in_flight, status,
                         job->rec->customer);
      rte_answered (j->desc.routes, env, run->in_flight,
                    !run->close_delimited);
    }
  rte_finished (j->desc.routes, env, run->in_flight);
  if (status == 200)
    job_order_learn (j, env, job, run);
  if (status == 500)
    _job_failed_at_add (job, &job->items[index], run->upstream);
  _job_run_free (j, run);
  if (status != 200)
    {
      _job_item_failed (j, env, job, index, status);
      return;
    }
  job->waiting--;
  job_outcome_set (j, env, job, index, true);
}

/* Ends RUN, whose upstream has closed the connection. */
static void
_job_run_closed (job_set_t *j, env_t *env, job_run_t *run)
{
  const job_t *job = tbl_get (j->jobs, run->job);
  if (run->received == 0)
    job->items[run->item].has_ended_one = true;
  _job_run_fail (j, env, run, RTE_FAIL_CLOSED, "closed", 0);
}

/* Ends RUN, whose call has failed as UP says. */
static void
_job_run_broken (job_set_t *j, env_t *env, job_run_t *run,
                 const ev_upstream_t *up)
{
  if (up->path_failed)
    _job_run_fail (j, env, run, RTE_FAIL_CANCELLED, "path", JOB_FRUITLESS_MS);
  else if (up->fail == EV_FAIL_UNSENDABLE)
    _job_run_fail (j, env, run, RTE_FAIL_CANCELLED, "unsendable",
                   JOB_FRUITLESS_MS);
  else if (up->fail == EV_FAIL_TIMEOUT)
    _job_run_fail (j, env, run, RTE_FAIL_TIMEOUT, "timeout", 0);
  else if (up->fail == EV_FAIL_NOT_SENT)
    _job_run_fail (j, env, run, RTE_FAIL_UNSENT, "not-sent", JOB_FRUITLESS_MS);
  else if (up->closed)
    _job_run_closed (j, env, run);
  else
    _job_run_fail (j, env, run, RTE_FAIL_TRUNCATED, "broken", 0);
}

void
job_upstream_event (job_set_t *j, env_t *env, uint64_t tag, const ev_t *ev)
{
  job_run_t *run = tbl_get (j->runs, (tbl_id_t){ .id = tag });
  if (run == NULL || run->call != ev->upstream.call)
    return;
  switch (ev->kind)
    {
    case EV_UPSTREAM_HEAD:
      if (ev->upstream.leaving)
        rte_said_leaving (j->desc.routes, env, run->in_flight);
      rte_said_limit (j->desc.routes, env, run->in_flight,
                      &ev->upstream.limit);
      rte_said_cold (j->desc.routes, env, run->in_flight, &ev->upstream.cold);
      rte_said_load (j->desc.routes, env, run->in_flight, &ev->upstream.load);
      _job_head (j, env, run, &ev->upstream);
      break;
    case EV_UPSTREAM_DATA:
      _job_data (j, env, run, ev->upstream.data);
      break;
    case EV_UPSTREAM_END:
      _job_run_completed (j, env, run);
      break;
    case EV_UPSTREAM_FAIL:
      _job_run_broken (j, env, run, &ev->upstream);
      break;
    default:
      break;
    }
}

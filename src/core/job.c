#include "core/job_int.h"

#include "core/mpk.h"
#include "core/own.h"
#include "core/rpl.h"

#include <string.h>
#include <talloc.h>

#define JOB_FEED_POLL_MS_DEFAULT (1 * CLK_SECOND)
#define JOB_SPARE_SLOTS_DEFAULT 2
#define JOB_END_MS_DEFAULT (3 * CLK_SECOND)
/** When no worker has been up for this long, the entry VMs run jobs. */
#define JOB_NO_WORKER_MS (3 * CLK_SECOND)
/** Limit of all cached texts of results, in bytes. */
#define JOB_TEXT_CACHE_BYTES ((size_t)8 << 20)

/* -- set up --------------------------------------------------------------- */

static void
_job_items_clear (job_t *job)
{
  for (uint32_t i = 0; i < job->rec->item_count; i++)
    if (job->items[i].text != NULL)
      g_string_free (job->items[i].text, TRUE);
}

static int
_job_destroy (job_set_t *j)
{
  for (tbl_id_t id = tbl_next (j->jobs, (tbl_id_t){ 0 }); id.id != 0;
       id = tbl_next (j->jobs, id))
    _job_items_clear (tbl_get (j->jobs, id));
  for (tbl_id_t id = tbl_next (j->runs, (tbl_id_t){ 0 }); id.id != 0;
       id = tbl_next (j->runs, id))
    sse_clear (&((job_run_t *)tbl_get (j->runs, id))->events);
  g_hash_table_destroy (j->by_id);
  g_hash_table_destroy (j->occupancy_seen);
  g_ptr_array_free (j->full, TRUE);
  g_hash_table_destroy (j->paces);
  job_admit_clear (j);
  return 0;
}

job_set_t *
job_setup (void *ctx, const job_desc_t *desc)
{
  job_set_t *j = talloc_zero (ctx, job_set_t);
  j->desc = *desc;
  if (j->desc.feed_poll_ms == 0)
    j->desc.feed_poll_ms = JOB_FEED_POLL_MS_DEFAULT;
  if (j->desc.spare_slots == 0)
    j->desc.spare_slots = JOB_SPARE_SLOTS_DEFAULT;
  if (j->desc.end_ms == 0)
    j->desc.end_ms = JOB_END_MS_DEFAULT;
  j->news_at = CLK_NEVER;
  j->jobs = tbl_setup (j, &(tbl_desc_t){ .size = sizeof (job_t) });
  j->runs = tbl_setup (j, &(tbl_desc_t){ .size = sizeof (job_run_t) });
  j->submits = tbl_setup (j, &(tbl_desc_t){ .size = sizeof (job_submit_t) });
  j->calls = tbl_setup (j, &(tbl_desc_t){ .size = sizeof (job_call_t) });
  j->ops = tbl_setup (j, &(tbl_desc_t){ .size = sizeof (job_op_t) });
  j->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  j->full = g_ptr_array_new_with_free_func (g_free);
  j->route_epoch = 1;
  j->occupancy_seen
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  j->paces = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  job_admit_setup (j);
  talloc_set_destructor (j, _job_destroy);
  return j;
}

void
job_shutdown (job_set_t *j)
{
  talloc_free (j);
}

void
job_start (job_set_t *j, env_t *env)
{
  j->worker_seen_at = env->now;
  j->known_since = env->now;
  j->pumped_at = env->now;
  tmr_arm (env->tmr, env->now + JOB_NO_WORKER_MS, MOD_JOB,
           JOB_TIMER_NO_WORKER);
  job_feed_read (j, env);
}

clk_ms_t
job_unix_now (const job_set_t *j, const env_t *env)
{
  return env->now + j->desc.unix_offset_ms;
}

void
job_tick_arm (job_set_t *j, env_t *env)
{
  if (j->ticking)
    return;
  j->ticking = true;
  tmr_arm (env->tmr, env->now + JOB_TICK_MS, MOD_JOB, JOB_TIMER_TICK);
}

/* -- jobs ----------------------------------------------------------------- */

job_t *
job_find (const job_set_t *j, const char *id)
{
  return g_hash_table_lookup (j->by_id, id);
}

bool
job_is_finished (const job_t *job)
{
  return job->rec->ended || job->rec->result_count == job->rec->item_count;
}

/* A run that has completed its item had the item's body.  An item that was
 * given up may never have had it, and one without a body needs none. */
bool
job_part_is_stored (const job_t *job, uint32_t part)
{
  const job_rec_t *rec = job->rec;
  if (job->bodies_stored
      || (job->bodies != NULL && job->bodies[part].p != NULL))
    return true;
  for (uint32_t i = 0; i < rec->result_count; i++)
    {
      const job_rec_item_t *item = &rec->items[rec->results[i].item];
      if (rec->results[i].completed && item->length > 0 && item->part == part)
        return true;
    }
  return false;
}

bool
job_was_accepted (const job_t *job)
{
  if (job->bodies_stored || job_is_finished (job))
    return true;
  for (uint32_t i = 0; i < job->rec->parts; i++)
    if (!job_part_is_stored (job, i))
      return false;
  return true;
}

/* Whether this VM has to run JOB. */
static bool
_job_runs_here (const job_set_t *j, const env_t *env, const job_t *job)
{
  if (j->leaving || job_is_finished (job))
    return false;
  const char *runner = job_runner (j, job->rec->id);
  return runner != NULL && strcmp (runner, env->vm) == 0;
}

static void
_job_runner_update (job_set_t *j, env_t *env, job_t *job)
{
  bool runs_here = _job_runs_here (j, env, job);
  if (job->runs_here && !runs_here)
    job_runs_stop (j, env, job);
  if (runs_here != job->runs_here)
    tln_record (env->tln, env->now, MOD_JOB,
                runs_here ? "runs-here" : "runs-off", "job=%s", job->rec->id);
  job->runs_here = runs_here;
  if (runs_here)
    job_tick_arm (j, env);
}

/* Gives an item of JOB the RESULT that the record lists.  Its text here is the
 * result's only if a run here has completed the item and the platform holds
 * that text. */
static void
_job_item_listed (job_set_t *j, env_t *env, job_t *job,
                  const job_rec_result_t *result)
{
  job_item_t *item = &job->items[result->item];
  bool pending = item->state == JOB_ITEM_LIST_PENDING;
  if (pending && item->completed && item->text != NULL)
    job_text_cache (j, job, result->item,
                    (buf_t){ .p = item->text->str, .n = item->text->len });
  if (pending && item->completed != result->completed)
    tln_record (env->tln, env->now, MOD_JOB, "outcome-differs",
                "job=%s item=%s listed=%s", job->rec->id,
                job->rec->items[result->item].id,
                result->completed ? "done" : "dead");
  job_text_drop (item);
  item->completed = result->completed;
  item->state = JOB_ITEM_LISTED;
}

/* Updates the states of JOB's items from the record, which is authoritative.
 */
static void
_job_items_update (job_set_t *j, env_t *env, job_t *job)
{
  for (uint32_t i = 0; i < job->rec->result_count; i++)
    if (job->items[job->rec->results[i].item].state != JOB_ITEM_LISTED)
      _job_item_listed (j, env, job, &job->rec->results[i]);
  job->waiting = 0;
  for (uint32_t i = 0; i < job->rec->item_count; i++)
    job->waiting += job->items[i].state == JOB_ITEM_WAITING;
}

static job_t *
_job_new (job_set_t *j, job_rec_t *rec)
{
  tbl_id_t id = tbl_alloc (j->jobs);
  job_t *job = tbl_get (j->jobs, id);
  job->self = id;
  job->rec = talloc_steal (j, rec);
  job->items = talloc_zero_array (j, job_item_t, rec->item_count + 1);
  job->texts = talloc_zero_array (job->items, buf_t, rec->item_count + 1);
  job->route_missing_since = CLK_NEVER;
  job->pending_since = CLK_NEVER;
  g_hash_table_insert (j->by_id, (gpointer)(uintptr_t)rec->id, job);
  return job;
}

/* Whether NEXT is a valid successor of OLD: it has as many items and begins
 * with the same results. */
static bool
_job_rec_extends (const job_rec_t *old, const job_rec_t *next)
{
  if (next->item_count != old->item_count
      || next->result_count < old->result_count)
    return false;
  for (uint32_t i = 0; i < old->result_count; i++)
    if (next->results[i].item != old->results[i].item
        || next->results[i].completed != old->results[i].completed)
      return false;
  return true;
}

/* Replaces JOB's record by REC. */
static void
_job_rec_replace (job_set_t *j, job_t *job, job_rec_t *rec)
{
  g_hash_table_replace (j->by_id, (gpointer)(uintptr_t)rec->id, job);
  talloc_free (job->rec);
  job->rec = talloc_steal (j, rec);
}

/* Stops runs of items that already have a result, and all runs if JOB has been
 * ended. */
static void
_job_runs_stop_needless (job_set_t *j, env_t *env, job_t *job)
{
  for (uint32_t i = 0; i < job->rec->result_count; i++)
    job_run_stop (j, env, &job->items[job->rec->results[i].item]);
  if (job->rec->ended)
    job_runs_stop (j, env, job);
}

void
job_calls_step (job_set_t *j, env_t *env, const char *id)
{
  for (tbl_id_t c = tbl_next (j->calls, (tbl_id_t){ 0 }); c.id != 0;
       c = tbl_next (j->calls, c))
    {
      job_call_t *call = tbl_get (j->calls, c);
      if (strcmp (call->id, id) == 0)
        job_call_step (j, env, call);
    }
}

job_t *
job_record_apply (job_set_t *j, env_t *env, uint64_t version, buf_t bytes)
{
  job_rec_t *rec = job_rec_decode (j, bytes);
  if (rec == NULL)
    {
      tln_record (env->tln, env->now, MOD_JOB, "record-unreadable",
                  "version=%llu", (unsigned long long)version);
      cnt_add (env->cnt, "rts_job_records_unreadable_total", "", 1);
      return NULL;
    }
  job_t *job = job_find (j, rec->id);
  if (job != NULL && version <= job->version)
    {
      talloc_free (rec);
      return job;
    }
  if (job != NULL && !_job_rec_extends (job->rec, rec))
    {
      tln_record (env->tln, env->now, MOD_JOB, "record-contradicts",
                  "job=%s version=%llu", rec->id, (unsigned long long)version);
      cnt_add (env->cnt, "rts_job_records_unreadable_total", "", 1);
      talloc_free (rec);
      return job;
    }
  if (job == NULL)
    job = _job_new (j, rec);
  else
    _job_rec_replace (j, job, rec);
  job->version = version;
  _job_runs_stop_needless (j, env, job);
  _job_items_update (j, env, job);
  _job_runner_update (j, env, job);
  job_calls_step (j, env, job->rec->id);
  return job;
}

/* Empties the cache of texts.  Readers get them from the platform then. */
static void
_job_text_cache_clear (job_set_t *j)
{
  for (tbl_id_t id = tbl_next (j->jobs, (tbl_id_t){ 0 }); id.id != 0;
       id = tbl_next (j->jobs, id))
    {
      job_t *job = tbl_get (j->jobs, id);
      for (uint32_t i = 0; i < job->rec->item_count; i++)
        {
          talloc_free ((void *)(uintptr_t)job->texts[i].p);
          job->texts[i] = (buf_t){ 0 };
        }
    }
  j->text_bytes = 0;
}

void
job_text_cache (job_set_t *j, job_t *job, uint32_t item, buf_t text)
{
  if (job->texts[item].p != NULL)
    return;
  if (j->text_bytes + text.n > JOB_TEXT_CACHE_BYTES)
    _job_text_cache_clear (j);
  j->text_bytes += text.n;
  job->texts[item] = buf_copy (job->texts, text);
}

/* -- hooks ---------------------------------------------------------------- */

void
job_call_platform (job_set_t *j, env_t *env, job_op_kind_t kind,
                   tbl_id_t owner, uint32_t index, const plt_req_t *req)
{
  tbl_id_t id = tbl_alloc (j->ops);
  *(job_op_t *)tbl_get (j->ops, id)
      = (job_op_t){ .kind = kind, .owner = owner, .index = index };
  plt_req_t call = *req;
  call.mod = MOD_JOB;
  call.tag = id.id;
  plt_call (env, &call);
}

void
job_platform_replied (job_set_t *j, env_t *env, const plt_done_t *done,
                      const ev_platform_t *reply)
{
  tbl_id_t id = { .id = done->tag };
  job_op_t op = *(job_op_t *)tbl_get (j->ops, id);
  tbl_free (j->ops, id);
  switch (op.kind)
    {
    case JOB_OP_FEED:
      job_feed_replied (j, env, reply);
      break;
    case JOB_OP_SUBMIT_PART:
    case JOB_OP_SUBMIT_RECORD:
    case JOB_OP_SUBMIT_CHECK:
      job_submit_replied (j, env, &op, reply);
      break;
    case JOB_OP_READ_RECORD:
    case JOB_OP_READ_TEXT:
    case JOB_OP_READ_BODY:
      job_read_replied (j, env, &op, reply);
      break;
    case JOB_OP_RUN_BODY:
      job_run_body_replied (j, env, &op, reply);
      break;
    case JOB_OP_LIST_TEXT:
    case JOB_OP_LIST_RECORD:
    case JOB_OP_LIST_REREAD:
      job_list_replied (j, env, &op, reply);
      break;
    }
}

static bool
_job_record_received (job_set_t *j, env_t *env, mpk_reader_t *r)
{
  uint64_t version = mpk_get_uint (r);
  buf_t record = mpk_get_str (r);
  if (!mpk_end (r))
    return false;
  (void)job_record_apply (j, env, version, record);
  return true;
}

void
job_message_received (job_set_t *j, env_t *env, const char *vm,
                      const msg_t *msg)
{
  void *tmp = talloc_new (j);
  mpk_reader_t r = mpk_reader (tmp, msg->body);
  bool good = false;
  if (msg->kind == MSG_JOB_RECORD)
    good = _job_record_received (j, env, &r);
  else if (msg->kind == MSG_JOB_ADMIT || msg->kind == MSG_JOB_ADMITTED)
    good = job_admit_received (j, env, vm, msg->kind, &r);
  else
    good = job_follow_received (j, env, vm, msg->kind, &r);
  if (!good)
    cnt_add (env->cnt, "rts_job_bad_messages_total", "", 1);
  talloc_free (tmp);
}

void
job_request (job_set_t *j, env_t *env, const char *customer,
             const cfg_route_t *route, const ev_request_t *req)
{
  switch (req->job.op)
    {
    case EV_JOB_READ:
    case EV_JOB_BODY:
    case EV_JOB_CANCEL:
      job_call_start (j, env, customer, req);
      break;
    case EV_JOB_SUBMIT:
    case EV_JOB_NONE:
      job_submit (j, env, customer, route, req);
      break;
    }
}

void
job_caller_gone (job_set_t *j, uint64_t caller)
{
  for (tbl_id_t id = tbl_next (j->calls, (tbl_id_t){ 0 }); id.id != 0;
       id = tbl_next (j->calls, id))
    {
      job_call_t *c = tbl_get (j->calls, id);
      if (c->caller == caller)
        job_call_free (j, c);
    }
  for (tbl_id_t id = tbl_next (j->submits, (tbl_id_t){ 0 }); id.id != 0;
       id = tbl_next (j->submits, id))
    {
      job_submit_t *s = tbl_get (j->submits, id);
      if (s->caller == caller)
        s->caller = 0;
    }
}

void
job_config_changed (job_set_t *j, env_t *env, const cfg_doc_t *doc)
{
  j->doc = doc;
  j->route_epoch++;
  job_pump (j, env);
}

/* Sets the VMs that may run jobs: the workers that are up or, when there have
 * been none for JOB_NO_WORKER_MS, all VMs that are up. */
static void
_job_runners_find (job_set_t *j, const env_t *env)
{
  bool no_worker = env->now >= j->worker_seen_at + JOB_NO_WORKER_MS;
  size_t n = mbr_vm_count (j->desc.members);
  talloc_free (j->runners);
  j->runners = talloc_zero_array (j, const char *, n + 1);
  for (int workers = 1; workers >= 0; workers--)
    {
      j->runner_count = 0;
      for (size_t i = 0; i < n; i++)
        {
          const mbr_vm_t *vm = mbr_vm_get (j->desc.members, i);
          if ((vm->up || vm->self) && !vm->leaving && vm->worker >= workers
              && (vm->worker || no_worker))
            j->runners[j->runner_count++]
                = talloc_strdup (j->runners, vm->name);
        }
      if (workers && j->runner_count > 0)
        j->worker_seen_at = env->now;
      if (j->runner_count > 0)
        return;
    }
}

/* Whether the runners are the COUNT VMs of NAMES, in that order. */
static bool
_job_runners_are (const job_set_t *j, const char *const *names, size_t count)
{
  if (j->runner_count != count)
    return false;
  for (size_t i = 0; i < count; i++)
    if (strcmp (j->runners[i], names[i]) != 0)
      return false;
  return true;
}

static void
_job_runners_log (const job_set_t *j, env_t *env)
{
  char names[TLN_DETAIL_SIZE] = ""; /* longer lists are cut */
  for (size_t i = 0; i < j->runner_count; i++)
    {
      g_strlcat (names, i > 0 ? "," : "", sizeof names);
      g_strlcat (names, j->runners[i], sizeof names);
    }
  tln_record (env->tln, env->now, MOD_JOB, "runners", "count=%zu vms=%s",
              j->runner_count, names);
}

void
job_members_changed (job_set_t *j, env_t *env)
{
  void *tmp = talloc_new (j);
  const char **before = talloc_steal (tmp, j->runners);
  size_t before_count = j->runner_count;
  j->runners = NULL;
  _job_runners_find (j, env);
  if (!_job_runners_are (j, before, before_count))
    {
      j->runners_changed_at = env->now;
      _job_runners_log (j, env);
    }
  talloc_free (tmp);
  job_news_known_update (j, env);
  for (tbl_id_t id = tbl_next (j->jobs, (tbl_id_t){ 0 }); id.id != 0;
       id = tbl_next (j->jobs, id))
    _job_runner_update (j, env, tbl_get (j->jobs, id));
}

static void
_job_tick (job_set_t *j, env_t *env)
{
  bool busy = false;
  j->ticking = false;
  job_width_measure (j, env);
  for (tbl_id_t id = tbl_next (j->calls, (tbl_id_t){ 0 }); id.id != 0;
       id = tbl_next (j->calls, id))
    {
      busy = true;
      job_call_step (j, env, tbl_get (j->calls, id));
    }
  for (tbl_id_t id = tbl_next (j->submits, (tbl_id_t){ 0 }); id.id != 0;
       id = tbl_next (j->submits, id))
    {
      busy = true;
      job_submit_step (j, env, tbl_get (j->submits, id));
    }
  for (tbl_id_t id = tbl_next (j->jobs, (tbl_id_t){ 0 }); id.id != 0;
       id = tbl_next (j->jobs, id))
    {
      job_t *job = tbl_get (j->jobs, id);
      if (!job->runs_here && !job->end_wanted
          && job->pending_since == CLK_NEVER)
        continue;
      busy = true;
      job_list_step (j, env, job);
    }
  if (busy)
    job_tick_arm (j, env);
}

/* Membership events do not say that JOB_NO_WORKER_MS have passed, so a timer
 * repeats the choice of VMs that may run jobs. */
static void
_job_no_worker_check (job_set_t *j, env_t *env)
{
  job_members_changed (j, env);
  tmr_arm (env->tmr, env->now + JOB_NO_WORKER_MS, MOD_JOB,
           JOB_TIMER_NO_WORKER);
}

void
job_timer_fired (job_set_t *j, env_t *env, uint64_t tag)
{
  if (tag == JOB_TIMER_FEED)
    job_feed_read_due (j, env);
  else if (tag == JOB_TIMER_NO_WORKER)
    _job_no_worker_check (j, env);
  else if (tag == JOB_TIMER_ADMIT)
    job_admit_timeout (j, env);
  else
    _job_tick (j, env);
  job_pump (j, env);
}

void
job_pump (job_set_t *j, env_t *env)
{
  job_news_known_update (j, env);
  j->pumped_at = env->now;
  job_runs_preempt (j, env);
  job_runs_start (j, env);
}

void
job_leave (job_set_t *j, env_t *env)
{
  j->leaving = true;
  job_members_changed (j, env);
}

bool
job_left (const job_set_t *j)
{
  return tbl_count (j->calls) == 0 && tbl_count (j->submits) == 0;
}

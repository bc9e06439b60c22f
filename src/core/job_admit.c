/** @file
 * Refusal of jobs that cannot end in time.
 *
 * Before a submission writes anything, its VM asks the runner how many items
 * would be on time (jfc.h).  Without an answer in JOB_ADMIT_MS the job is
 * accepted.  A job of which another VM may have stored the record is never
 * refused: the runner answers for jobs that it knows or has just let pass, and
 * the record is read before a refusal; a repeat at the same VM writes, and
 * ends the questions about the first submission.  Nothing is refused while VMs
 * may disagree about the runner.
 *
 * The runner counts a job that it has let pass in the backlog until it gets
 * the record, so that a burst of jobs is not let pass as a whole.
 */
#include "core/job_int.h"

#include <string.h>
#include <talloc.h>

/** Time in which the runner's answer is awaited. */
#define JOB_ADMIT_MS 100
/** Time in which the read of the record before a refusal is awaited. */
#define JOB_ADMIT_READ_MS 300
/** Time after a change of the runners in which nothing is refused. */
#define JOB_ADMIT_SETTLE_MS (3 * CLK_SECOND)
/** How long a job that was let pass counts without its record: a submission
 * takes 2 s at most, and the feed is read every second. */
#define JOB_PROMISE_MS (4 * CLK_SECOND)
/** Most such jobs; the oldest is forgotten first. */
#define JOB_PROMISES_MAX 256
/** Longest due time in a question. */
#define JOB_ADMIT_DUE_MS_MAX CLK_HOUR

/** A job that this VM, as its runner, has let pass. */
typedef struct
{
  char *id;
  char *path; /**< of its route */
  uint32_t items;
  clk_ms_t due;
  clk_ms_t until; /**< end of the promise */
} _job_promise_t;

static void
_job_promise_free (gpointer p)
{
  talloc_free (p);
}

void
job_admit_setup (job_set_t *j)
{
  j->promises = g_queue_new ();
}

void
job_admit_clear (job_set_t *j)
{
  g_queue_free_full (j->promises, _job_promise_free);
}

/* -- the runner -----------------------------------------------------------
 */

/* Drops promises that have ended or whose record has come; returns the one for
 * the job ID, NULL if there is none. */
static const _job_promise_t *
_job_promise_find (job_set_t *j, const env_t *env, const char *id)
{
  const _job_promise_t *found = NULL;
  GList *next = NULL;
  for (GList *l = j->promises->head; l != NULL; l = next)
    {
      _job_promise_t *p = l->data;
      next = l->next;
      if (p->until <= env->now || job_find (j, p->id) != NULL)
        {
          talloc_free (p);
          g_queue_delete_link (j->promises, l);
        }
      else if (strcmp (p->id, id) == 0)
        found = p;
    }
  return found;
}

static void
_job_promise_add (job_set_t *j, const env_t *env, const job_admit_t *ask)
{
  if (g_queue_get_length (j->promises) == JOB_PROMISES_MAX)
    talloc_free (g_queue_pop_head (j->promises));
  _job_promise_t *p = talloc (j, _job_promise_t);
  *p = (_job_promise_t){ .id = talloc_strdup (p, ask->id),
                         .path = talloc_strdup (p, ask->path),
                         .items = ask->items,
                         .due = env->now + ask->due_ms,
                         .until = env->now + JOB_PROMISE_MS };
  g_queue_push_tail (j->promises, p);
}

static void
_job_backlog_add (GArray *backlog, clk_ms_t due, double remaining_ms,
                  bool running)
{
  jfc_item_t item
      = { .due = due, .remaining_ms = remaining_ms, .running = running };
  if (running || backlog->len < 2 * JFC_ITEMS_MAX)
    g_array_append_val (backlog, item);
}

/* The items ahead: those of the jobs that run here and of promised ones. */
static GArray *
_job_backlog (const job_set_t *j)
{
  GArray *backlog = g_array_new (FALSE, FALSE, sizeof (jfc_item_t));
  for (tbl_id_t id = tbl_next (j->jobs, (tbl_id_t){ 0 }); id.id != 0;
       id = tbl_next (j->jobs, id))
    {
      const job_t *job = tbl_get (j->jobs, id);
      if (!job->runs_here || job_is_finished (job) || job->end_wanted)
        continue;
      for (uint32_t i = 0; i < job->rec->item_count; i++)
        if (job->items[i].state == JOB_ITEM_WAITING
            || job->items[i].state == JOB_ITEM_RUNNING)
          _job_backlog_add (backlog, job_due (j, job),
                            job_remaining_ms (j, job, i),
                            job->items[i].state == JOB_ITEM_RUNNING);
    }
  for (const GList *l = j->promises->head; l != NULL; l = l->next)
    {
      const _job_promise_t *p = l->data;
      double ms
          = jfc_remaining_ms (g_hash_table_lookup (j->paces, p->path), 0);
      for (uint32_t i = 0; i < p->items; i++)
        _job_backlog_add (backlog, p->due, ms, false);
    }
  return backlog;
}

/* Whether this VM can say anything about the job ID: it would run it, and has
 * been the runner for a while. */
static bool
_job_admit_knows (const job_set_t *j, const env_t *env, const char *id)
{
  const char *runner = job_runner (j, id);
  return !j->leaving && runner != NULL && strcmp (runner, env->vm) == 0
         && env->now - j->runners_changed_at > JOB_ADMIT_SETTLE_MS;
}

/* What this VM, as the runner, says about the job of ASK. */
static jfc_forecast_t
_job_admit_forecast (job_set_t *j, env_t *env, const job_admit_t *ask)
{
  jfc_forecast_t f = { .on_time = ask->items };
  if (_job_promise_find (j, env, ask->id) != NULL
      || job_find (j, ask->id) != NULL || !_job_admit_knows (j, env, ask->id))
    return f;
  GArray *backlog = _job_backlog (j);
  f = jfc_forecast (
      &(jfc_query_t){ .items = (jfc_item_t *)(void *)backlog->data,
                      .count = backlog->len,
                      .pace = g_hash_table_lookup (j->paces, ask->path),
                      .width = &j->width,
                      .due = env->now + ask->due_ms,
                      .new_items = ask->items },
      env->now);
  g_array_unref (backlog);
  bool refused = jfc_refuses (&f, ask->items);
  if (!refused)
    _job_promise_add (j, env, ask);
  if (f.on_time < ask->items)
    tln_record (env->tln, env->now, MOD_JOB, "forecast",
                "job=%s items=%u on_time=%u ahead=%u width=%.1f age_ms=%lld "
                "refused=%d",
                ask->id, ask->items, f.on_time, f.ahead, f.width,
                (long long)f.age_ms, refused);
  cnt_add (env->cnt, "rts_job_forecasts_total",
           refused         ? "outcome=\"late\""
           : f.weight >= 1 ? "outcome=\"in-time\""
                           : "outcome=\"not-known\"",
           1);
  return f;
}

void
job_width_measure (job_set_t *j, const env_t *env)
{
  bool waiting = false;
  for (tbl_id_t id = tbl_next (j->jobs, (tbl_id_t){ 0 });
       id.id != 0 && !waiting; id = tbl_next (j->jobs, id))
    {
      const job_t *job = tbl_get (j->jobs, id);
      if (!job->runs_here || job->waiting == 0 || job->bodies == NULL
          || job->rec->ended || job->end_wanted)
        continue;
      for (uint32_t i = 0; i < job->rec->item_count && !waiting; i++)
        waiting = job->items[i].state == JOB_ITEM_WAITING
                  && !job_item_is_late (j, env, job, i);
    }
  jfc_width_add (&j->width, env->now, (uint32_t)tbl_count (j->runs), waiting);
}

/* -- messages -------------------------------------------------------------
 */

static bool
_job_admit_asked (job_set_t *j, env_t *env, const char *vm, mpk_reader_t *r)
{
  uint64_t tag = mpk_get_uint (r);
  uint64_t due_ms = mpk_get_uint (r);
  uint64_t items = mpk_get_uint (r);
  buf_t path = mpk_get_str (r);
  buf_t id = mpk_get_str (r);
  if (!mpk_end (r) || due_ms > JOB_ADMIT_DUE_MS_MAX || items == 0
      || items > JOB_ITEMS_MAX || path.n > JOB_ADMIT_TEXT_MAX
      || id.n > JOB_ADMIT_TEXT_MAX)
    return false;
  jfc_forecast_t f
      = _job_admit_forecast (j, env,
                             &(job_admit_t){ .id = id.p,
                                             .path = path.p,
                                             .items = (uint32_t)items,
                                             .due_ms = (clk_ms_t)due_ms });
  void *tmp = talloc_new (j);
  mpk_writer_t w;
  mpk_writer_init (&w, tmp);
  mpk_put_uint (&w, tag);
  mpk_put_uint (&w, f.on_time);
  mpk_put_uint (&w, f.ahead);
  mpk_put_uint (&w, (uint64_t)clk_max (f.age_ms, 0));
  mpk_put_uint (&w, (uint64_t)f.retry_ms);
  mpk_put_str (&w, id);
  fx_peer_send (env->fx, vm, MSG_JOB_ADMITTED, mpk_done (&w));
  talloc_free (tmp);
  return true;
}

/* -- the VM that takes the job --------------------------------------------
 */

/* Ends the questions about S, whose job is accepted as far as they go. */
static void
_job_admit_pass (job_set_t *j, env_t *env, job_submit_t *s)
{
  s->admit = JOB_ADMIT_PASSED;
  job_submit_step (j, env, s);
}

/* Uses the runner's forecast F.  AGE_MS is for the log. */
static void
_job_admit_decide (job_set_t *j, env_t *env, job_submit_t *s,
                   const jfc_forecast_t *f)
{
  if (!jfc_refuses (f, s->rec->item_count))
    {
      _job_admit_pass (j, env, s);
      return;
    }
  s->admit = JOB_ADMIT_READING;
  s->admit_until = env->now + JOB_ADMIT_READ_MS;
  s->forecast = *f;
  tmr_arm (env->tmr, s->admit_until, MOD_JOB, JOB_TIMER_ADMIT);
  char *name = talloc_asprintf (s->rec, JOB_RECORD_PREFIX "%s", s->rec->id);
  job_call_platform (j, env, JOB_OP_SUBMIT_CHECK, s->self, 0,
                     &(plt_req_t){ .op = FX_PLATFORM_GET, .name = name });
}

static bool
_job_admit_answered (job_set_t *j, env_t *env, const char *vm, mpk_reader_t *r)
{
  tbl_id_t tag = { .id = mpk_get_uint (r) };
  uint64_t on_time = mpk_get_uint (r);
  uint64_t ahead = mpk_get_uint (r);
  uint64_t age_ms = mpk_get_uint (r);
  uint64_t retry_ms = mpk_get_uint (r);
  const char *id = mpk_get_str (r).p;
  if (!mpk_end (r) || on_time > JOB_ITEMS_MAX || ahead > UINT32_MAX
      || age_ms > (uint64_t)CLK_HOUR || retry_ms > (uint64_t)CLK_MINUTE)
    return false;
  job_submit_t *s = tbl_get (j->submits, tag);
  if (s == NULL || s->admit != JOB_ADMIT_ASKED || strcmp (s->rec->id, id) != 0
      || strcmp (s->admit_vm, vm) != 0)
    {
      cnt_add (env->cnt, "rts_job_admit_strays_total", "", 1);
      return true;
    }
  _job_admit_decide (j, env, s,
                     &(jfc_forecast_t){ .on_time = (uint32_t)on_time,
                                        .ahead = (uint32_t)ahead,
                                        .age_ms = (clk_ms_t)age_ms,
                                        .retry_ms = (clk_ms_t)retry_ms });
  return true;
}

bool
job_admit_received (job_set_t *j, env_t *env, const char *vm, uint16_t kind,
                    mpk_reader_t *r)
{
  return kind == MSG_JOB_ADMIT ? _job_admit_asked (j, env, vm, r)
                               : _job_admit_answered (j, env, vm, r);
}

void
job_admit_read (job_set_t *j, env_t *env, job_submit_t *s,
                const ev_platform_t *reply)
{
  if (s->admit != JOB_ADMIT_READING)
    return;
  /* The record may have come from a peer since the read began. */
  if (reply->code != ST_NOT_FOUND || job_find (j, s->rec->id) != NULL)
    {
      _job_admit_pass (j, env, s);
      return;
    }
  tln_record (env->tln, env->now, MOD_JOB, "late-refused",
              "job=%s items=%u on_time=%u ahead=%u age_ms=%lld retry_ms=%lld "
              "runner=%s",
              s->rec->id, s->rec->item_count, s->forecast.on_time,
              s->forecast.ahead, (long long)s->forecast.age_ms,
              (long long)s->forecast.retry_ms, s->admit_vm);
  cnt_add (env->cnt, "rts_job_late_refused_total", "", 1);
  job_submit_refuse_late (j, env, s);
}

/* Whether another submission of S's job is in progress here.  Its questions
 * end then: S asks none and writes, so that the job is not refused any more.
 */
static bool
_job_admit_is_repeat (const job_set_t *j, const job_submit_t *s)
{
  bool found = false;
  for (tbl_id_t id = tbl_next (j->submits, (tbl_id_t){ 0 }); id.id != 0;
       id = tbl_next (j->submits, id))
    {
      job_submit_t *other = tbl_get (j->submits, id);
      if (other == s || strcmp (other->rec->id, s->rec->id) != 0)
        continue;
      other->admit = JOB_ADMIT_PASSED;
      found = true;
    }
  return found;
}

void
job_admit_begin (job_set_t *j, env_t *env, job_submit_t *s)
{
  const char *runner = job_runner (j, s->rec->id);
  s->admit = JOB_ADMIT_PASSED;
  if (!j->desc.refuse_late || _job_admit_is_repeat (j, s)
      || s->rec->due_ms <= 0 || s->rec->due_ms > JOB_ADMIT_DUE_MS_MAX
      || runner == NULL || job_find (j, s->rec->id) != NULL
      || env->now - j->runners_changed_at <= JOB_ADMIT_SETTLE_MS)
    return;
  s->admit = JOB_ADMIT_ASKED;
  s->admit_vm = talloc_strdup (s->rec, runner);
  s->admit_until = env->now + JOB_ADMIT_MS;
  job_admit_t ask = { .id = s->rec->id,
                      .path = s->rec->path,
                      .items = s->rec->item_count,
                      .due_ms = s->rec->due_ms };
  if (strcmp (runner, env->vm) == 0)
    {
      jfc_forecast_t f = _job_admit_forecast (j, env, &ask);
      _job_admit_decide (j, env, s, &f);
      return;
    }
  tmr_arm (env->tmr, s->admit_until, MOD_JOB, JOB_TIMER_ADMIT);
  void *tmp = talloc_new (j);
  mpk_writer_t w;
  mpk_writer_init (&w, tmp);
  mpk_put_uint (&w, s->self.id);
  mpk_put_uint (&w, (uint64_t)ask.due_ms);
  mpk_put_uint (&w, ask.items);
  mpk_put_str (&w, buf_str (ask.path));
  mpk_put_str (&w, buf_str (ask.id));
  fx_peer_send (env->fx, runner, MSG_JOB_ADMIT, mpk_done (&w));
  cnt_add (env->cnt, "rts_job_admit_asked_total", "", 1);
  talloc_free (tmp);
}

bool
job_admit_step (env_t *env, job_submit_t *s)
{
  if (s->admit == JOB_ADMIT_PASSED)
    return true;
  if (env->now < s->admit_until)
    return false;
  tln_record (env->tln, env->now, MOD_JOB, "admit-unanswered",
              "job=%s runner=%s read=%d", s->rec->id, s->admit_vm,
              s->admit == JOB_ADMIT_READING);
  cnt_add (env->cnt, "rts_job_admit_unanswered_total", "", 1);
  s->admit = JOB_ADMIT_PASSED;
  return true;
}

void
job_admit_timeout (job_set_t *j, env_t *env)
{
  for (tbl_id_t id = tbl_next (j->submits, (tbl_id_t){ 0 }); id.id != 0;
       id = tbl_next (j->submits, id))
    {
      job_submit_t *s = tbl_get (j->submits, id);
      if (s->admit != JOB_ADMIT_PASSED && env->now >= s->admit_until)
        job_submit_step (j, env, s);
    }
}

/** @file
 * Submission of jobs.  First the runner is asked whether the job can end in
 * time, where that is set (job_admit.c).  Bodies and record are written at the
 * same time; the job is accepted once all of them are stored.  A caller
 * repeats a submission until the job is accepted, so an object that exists
 * already counts as written.  A record whose bodies were never stored belongs
 * to a job that was not accepted; its items are given up at the end of the
 * job's time.
 */
#include "core/job_int.h"

#include "core/rpl.h"

#include <string.h>
#include <talloc.h>

/** Most bytes of bodies in one object, unless one body alone is larger. */
#define JOB_PART_BYTES ((size_t)384 << 10)
/** Failed writes are repeated for this time; then the caller gets an error and
 * can try another VM. */
#define JOB_SUBMIT_TIMEOUT_MS (2 * CLK_SECOND)
/** Retry-After when a customer has too many tokens waiting. */
#define JOB_FULL_RETRY_MS (2 * CLK_SECOND)

static void
_job_submit_free (job_set_t *j, job_submit_t *s)
{
  talloc_free (s->rec);
  tbl_free (j->submits, s->self);
}

/* Refuses a submission whose caller should change it, as WHY says. */
static void
_job_refuse_malformed (env_t *env, uint64_t caller, const char *id,
                       const char *why)
{
  tln_record (env->tln, env->now, MOD_JOB, "malformed", "job=%s why=%s", id,
              why);
  cnt_add (env->cnt, "rts_job_refused_total", "", 1);
  rpl_error (
      env, caller,
      &(rpl_error_t){ .status = 400, .code = "bad-job", .message = why });
}

static void
_job_refuse (env_t *env, uint64_t caller, const char *id, int status,
             const char *code, rpl_run_t run, clk_ms_t retry_after_ms)
{
  tln_record (env->tln, env->now, MOD_JOB, "refused", "job=%s code=%s",
              id == NULL ? "" : id, code);
  cnt_add (env->cnt, "rts_job_refused_total", "", 1);
  if (caller != 0)
    rpl_error (env, caller,
               &(rpl_error_t){ .status = status,
                               .code = code,
                               .message = "the job was not accepted here",
                               .run = run,
                               .retry_after_ms = retry_after_ms });
}

static void
_job_accepted (env_t *env, uint64_t caller)
{
  if (caller != 0)
    rpl_text (env, caller, 202, "application/json", buf_str ("{}"));
}

/* -- the customer's waiting tokens -----------------------------------------
 */

/* SUM and TOKENS, or the largest number if that is less. */
static uint64_t
_job_tokens_add (uint64_t sum, uint64_t tokens)
{
  return tokens > UINT64_MAX - sum ? UINT64_MAX : sum + tokens;
}

/* Tokens of CUSTOMER's items on ROUTE that have no results yet.  A record's
 * host is compared with route->method, which holds the host of a route that is
 * found by host. */
static uint64_t
_job_waiting_tokens (const job_set_t *j, const char *customer,
                     const cfg_route_t *route)
{
  uint64_t sum = 0;
  for (tbl_id_t id = tbl_next (j->jobs, (tbl_id_t){ 0 }); id.id != 0;
       id = tbl_next (j->jobs, id))
    {
      const job_t *job = tbl_get (j->jobs, id);
      const job_rec_t *rec = job->rec;
      if (job_is_finished (job) || strcmp (rec->customer, customer) != 0
          || strcmp (rec->host, route->method) != 0
          || strcmp (rec->path, route->path) != 0)
        continue;
      for (uint32_t i = 0; i < rec->item_count; i++)
        if (job->items[i].state != JOB_ITEM_LISTED)
          sum = _job_tokens_add (sum, rec->items[i].tokens);
    }
  return sum;
}

static bool
_job_fits (const job_set_t *j, const char *customer, const cfg_route_t *route,
           const ev_job_t *submitted)
{
  uint64_t sum = 0;
  if (route->waiting_tokens == 0)
    return true;
  for (size_t i = 0; i < submitted->item_count; i++)
    sum = _job_tokens_add (sum, submitted->items[i].tokens);
  return _job_tokens_add (sum, _job_waiting_tokens (j, customer, route))
         <= route->waiting_tokens;
}

/* -- the record and the bodies ---------------------------------------------
 */

static const char *
_job_str (void *ctx, const char *s)
{
  return talloc_strdup (ctx, s == NULL ? "" : s);
}

static void
_job_item_fill (job_rec_t *rec, job_rec_item_t *item,
                const ev_job_item_t *from)
{
  http_header_t *v = talloc_array (rec, http_header_t, from->headers.n + 1);
  for (size_t i = 0; i < from->headers.n; i++)
    v[i]
        = (http_header_t){ .name = _job_str (rec, from->headers.v[i].name),
                           .value = _job_str (rec, from->headers.v[i].value) };
  *item = (job_rec_item_t){ .id = _job_str (rec, from->id),
                            .target = _job_str (rec, from->target),
                            .headers = { .v = v, .n = from->headers.n },
                            .tokens = from->tokens,
                            .length = (uint32_t)from->body.n };
}

/* Packs the bodies into parts and sets the items' part and offset. */
static buf_t *
_job_parts_make (job_rec_t *rec, const ev_job_t *submitted)
{
  GByteArray *part = g_byte_array_new ();
  buf_t *parts = NULL;
  for (size_t i = 0; i <= submitted->item_count; i++)
    {
      size_t next = i < submitted->item_count ? submitted->items[i].body.n : 0;
      bool last = i == submitted->item_count;
      if (part->len > 0 && (last || part->len + next > JOB_PART_BYTES))
        {
          parts = talloc_realloc (rec, parts, buf_t, rec->parts + 1);
          parts[rec->parts++] = buf_copy (
              rec, (buf_t){ .p = (char *)part->data, .n = part->len });
          g_byte_array_set_size (part, 0);
        }
      if (last)
        break;
      rec->items[i].part = rec->parts;
      rec->items[i].offset = part->len;
      g_byte_array_append (part, (const guint8 *)submitted->items[i].body.p,
                           (guint)next);
    }
  g_byte_array_unref (part);
  return parts;
}

static job_rec_t *
_job_rec_make (const job_set_t *j, const env_t *env, const char *customer,
               const cfg_route_t *route, const ev_job_t *submitted)
{
  job_rec_t *rec = talloc_zero (j, job_rec_t);
  rec->id = _job_str (rec, submitted->id);
  rec->customer = _job_str (rec, customer);
  rec->host = _job_str (rec, route->method);
  rec->path = _job_str (rec, route->path);
  rec->arrived = job_unix_now (j, env);
  rec->due_ms = route->job_due_ms;
  rec->keep_ms = route->job_keep_ms;
  rec->attempts = route->attempts;
  rec->items
      = talloc_zero_array (rec, job_rec_item_t, submitted->item_count + 1);
  rec->item_count = (uint32_t)submitted->item_count;
  for (uint32_t i = 0; i < rec->item_count; i++)
    _job_item_fill (rec, &rec->items[i], &submitted->items[i]);
  return rec;
}

/* -- writing ---------------------------------------------------------------
 */

static void
_job_part_write (job_set_t *j, env_t *env, job_submit_t *s, uint32_t part)
{
  s->part_due[part] = false;
  char *name
      = talloc_asprintf (s->rec, JOB_BODY_PREFIX "%s/%u", s->rec->id, part);
  job_call_platform (j, env, JOB_OP_SUBMIT_PART, s->self, part,
                     &(plt_req_t){ .op = FX_PLATFORM_PUT,
                                   .name = name,
                                   .value = s->parts[part] });
}

static void
_job_record_write (job_set_t *j, env_t *env, job_submit_t *s)
{
  char *name = talloc_asprintf (s->rec, JOB_RECORD_PREFIX "%s", s->rec->id);
  s->record_due = false;
  s->record_writing = true;
  job_call_platform (
      j, env, JOB_OP_SUBMIT_RECORD, s->self, 0,
      &(plt_req_t){ .op = FX_PLATFORM_PUT, .name = name, .value = s->record });
}

/* Schedules the failed write OP again. */
static void
_job_submit_failed (job_set_t *j, env_t *env, job_submit_t *s,
                    const job_op_t *op, st_code_t code)
{
  if (op->kind == JOB_OP_SUBMIT_RECORD && code != ST_UNAVAILABLE)
    s->maybe_stored = true;
  if (op->kind == JOB_OP_SUBMIT_RECORD)
    s->record_due = true;
  else
    s->part_due[op->index] = true;
  s->retry_at = env->now + env_jitter (env, JOB_RETRY_MS);
  job_tick_arm (j, env);
}

/* What is known of the record of a submission. */
typedef enum
{
  _JOB_RECORD_NOT_STORED, /* no write of it has had or can have an effect */
  _JOB_RECORD_WRITING,    /* a write is in progress */
  _JOB_RECORD_MAYBE,      /* the outcome of a write is unknown */
  _JOB_RECORD_STORED,
} _job_record_t;

static _job_record_t
_job_record_state (const job_submit_t *s)
{
  if (s->record_stored)
    return _JOB_RECORD_STORED;
  if (s->maybe_stored)
    return _JOB_RECORD_MAYBE;
  return s->record_writing ? _JOB_RECORD_WRITING : _JOB_RECORD_NOT_STORED;
}

/* Ends S.  The error tells the caller whether the record may be stored. */
static void
_job_submit_give_up (job_set_t *j, env_t *env, job_submit_t *s)
{
  static const char *const names[]
      = { "not-stored", "writing", "maybe", "stored" };
  _job_record_t state = _job_record_state (s);
  bool maybe_stored = state != _JOB_RECORD_NOT_STORED;
  tln_record (env->tln, env->now, MOD_JOB, "gives-up",
              "job=%s record=%s parts=%u/%u late_ms=%lld", s->rec->id,
              names[state], s->parts_stored, s->rec->parts,
              (long long)(env->now - s->deadline));
  _job_refuse (env, s->caller, s->rec->id, maybe_stored ? 504 : 503,
               "platform-unavailable",
               maybe_stored ? RPL_UNKNOWN : RPL_NOT_RUN, CLK_SECOND);
  _job_submit_free (j, s);
}

void
job_submit_refuse_late (job_set_t *j, env_t *env, job_submit_t *s)
{
  /* Jobs that were refused together do not come back together. */
  _job_refuse (env, s->caller, s->rec->id, 503, "late", RPL_NOT_RUN,
               env_jitter (env, clk_max (s->forecast.retry_ms, CLK_SECOND)));
  _job_submit_free (j, s);
}

void
job_submit_step (job_set_t *j, env_t *env, job_submit_t *s)
{
  if (env->now >= s->deadline)
    {
      _job_submit_give_up (j, env, s);
      return;
    }
  if (!job_admit_step (env, s) || env->now < s->retry_at)
    return;
  if (s->record_due)
    _job_record_write (j, env, s);
  for (uint32_t i = 0; i < s->rec->parts; i++)
    if (s->part_due[i])
      _job_part_write (j, env, s, i);
}

/* Notes that the record is stored, by this submission or an earlier one. */
static void
_job_submit_record_stored (job_submit_t *s, const ev_platform_t *reply)
{
  s->record_stored = true;
  s->created = reply->code == ST_OK;
  if (reply->object_count == 0)
    return;
  s->stored_version = reply->objects[0].version;
  if (!s->created)
    s->record = buf_copy (s->rec, reply->objects[0].value);
}

/* Accepts S, of which all objects are stored. */
static void
_job_submit_accept (job_set_t *j, env_t *env, job_submit_t *s)
{
  _job_accepted (env, s->caller);
  tln_record (env->tln, env->now, MOD_JOB, "accepted",
              "job=%s customer=%s items=%u ms=%lld%s", s->rec->id,
              s->rec->customer, s->rec->item_count,
              (long long)(env->now - s->arrived), s->created ? "" : " again");
  cnt_add (env->cnt, "rts_job_accepted_total", "", 1);
  job_t *job = job_find (j, s->rec->id);
  if (s->stored_version > 0)
    job = job_record_apply (j, env, s->stored_version, s->record);
  if (job != NULL)
    job->bodies_stored = true;
  if (job != NULL && s->created)
    job_update_send (j, env, job);
  _job_submit_free (j, s);
}

void
job_submit_replied (job_set_t *j, env_t *env, const job_op_t *op,
                    const ev_platform_t *reply)
{
  job_submit_t *s = tbl_get (j->submits, op->owner);
  if (s == NULL)
    return;
  if (op->kind == JOB_OP_SUBMIT_CHECK)
    {
      job_admit_read (j, env, s, reply);
      return;
    }
  if (op->kind == JOB_OP_SUBMIT_RECORD)
    s->record_writing = false;
  if (reply->code != ST_OK && reply->code != ST_CONFLICT)
    {
      _job_submit_failed (j, env, s, op, reply->code);
      return;
    }
  if (op->kind == JOB_OP_SUBMIT_RECORD)
    _job_submit_record_stored (s, reply);
  else
    s->parts_stored++;
  if (s->record_stored && s->parts_stored == s->rec->parts)
    _job_submit_accept (j, env, s);
}

/* -- a new job -------------------------------------------------------------
 */

/* Whether the bodies of REC and KNOWN have the same places, so that those of
 * REC may be stored for KNOWN. */
static bool
_job_is_same (const job_rec_t *rec, const job_rec_t *known)
{
  if (rec->item_count != known->item_count || rec->parts != known->parts)
    return false;
  for (uint32_t i = 0; i < rec->item_count; i++)
    {
      const job_rec_item_t *a = &rec->items[i];
      const job_rec_item_t *b = &known->items[i];
      if (strcmp (a->id, b->id) != 0 || a->part != b->part
          || a->offset != b->offset || a->length != b->length)
        return false;
    }
  return true;
}

/* S repeats the submission of KNOWN, whose record is stored: it writes those
 * bodies of which this VM does not know that they are. */
static void
_job_submit_repeat (env_t *env, job_submit_t *s, const job_t *known)
{
  s->record_stored = true;
  s->record_due = false;
  for (uint32_t i = 0; i < s->rec->parts; i++)
    {
      s->part_due[i] = !job_part_is_stored (known, i);
      s->parts_stored += !s->part_due[i];
    }
  tln_record (env->tln, env->now, MOD_JOB, "repeated",
              "job=%s parts=%u known_stored=%u results=%u", s->rec->id,
              s->rec->parts, s->parts_stored, known->rec->result_count);
}

static void
_job_submit_begin (job_set_t *j, env_t *env, const char *customer,
                   const cfg_route_t *route, const ev_request_t *req)
{
  tbl_id_t id = tbl_alloc (j->submits);
  job_submit_t *s = tbl_get (j->submits, id);
  s->self = id;
  s->caller = req->caller;
  s->rec = _job_rec_make (j, env, customer, route, &req->job);
  s->parts = _job_parts_make (s->rec, &req->job);
  s->record = job_rec_encode (s->rec, s->rec);
  s->arrived = env->now;
  s->deadline = env->now + JOB_SUBMIT_TIMEOUT_MS;
  s->part_due = talloc_zero_array (s->rec, bool, s->rec->parts + 1);
  for (uint32_t i = 0; i < s->rec->parts; i++)
    s->part_due[i] = true;
  s->record_due = true;
  const job_t *known = job_find (j, s->rec->id);
  if (known != NULL && !_job_is_same (s->rec, known->rec))
    {
      _job_refuse (env, s->caller, s->rec->id, 409, "job-id-taken",
                   RPL_NOT_RUN, 0);
      _job_submit_free (j, s);
      return;
    }
  if (known != NULL)
    _job_submit_repeat (env, s, known);
  job_tick_arm (j, env);
  job_admit_begin (j, env, s);
  /* The runner may have answered, and the submission ended, if it is here. */
  s = tbl_get (j->submits, id);
  if (s != NULL)
    job_submit_step (j, env, s);
}

/* Whether a submission of the job ID by CUSTOMER is in progress here: then the
 * job may be stored and run, whatever becomes of another. */
static bool
_job_is_submitted (const job_set_t *j, const char *customer, const char *id)
{
  for (tbl_id_t s = tbl_next (j->submits, (tbl_id_t){ 0 }); s.id != 0;
       s = tbl_next (j->submits, s))
    {
      const job_rec_t *rec = ((job_submit_t *)tbl_get (j->submits, s))->rec;
      if (strcmp (rec->id, id) == 0 && strcmp (rec->customer, customer) == 0)
        return true;
    }
  return false;
}

/* Refuses the job SUBMITTED, which has an id, and returns false if it may not
 * be stored.  A VM of an earlier version may have accepted it: then it is no
 * new one. */
static bool
_job_submitted_check (const job_set_t *j, env_t *env, uint64_t caller,
                      const ev_job_t *submitted)
{
  if (job_find (j, submitted->id) != NULL && submitted->items != NULL)
    return true;
  void *tmp = talloc_new (NULL);
  const char *why = job_submitted_fault (tmp, submitted);
  if (why != NULL)
    _job_refuse_malformed (env, caller, submitted->id, why);
  talloc_free (tmp);
  return why == NULL;
}

void
job_submit (job_set_t *j, env_t *env, const char *customer,
            const cfg_route_t *route, const ev_request_t *req)
{
  const ev_job_t *submitted = &req->job;
  const char *id = submitted->id;
  if (id == NULL)
    {
      _job_refuse_malformed (env, req->caller, "", "the job has no id");
      return;
    }
  if (!_job_submitted_check (j, env, req->caller, submitted))
    return;
  const job_t *known = job_find (j, id);
  bool may_run = known != NULL || _job_is_submitted (j, customer, id);
  if (known != NULL && strcmp (known->rec->customer, customer) != 0)
    _job_refuse (env, req->caller, id, 409, "job-id-taken", RPL_NOT_RUN, 0);
  else if (known != NULL && job_was_accepted (known))
    _job_accepted (env, req->caller);
  else if (j->leaving)
    _job_refuse (env, req->caller, id, may_run ? 504 : 503, "leaving",
                 may_run ? RPL_UNKNOWN : RPL_NOT_RUN, RPL_RETRY_ELSEWHERE_MS);
  else if (!may_run && !_job_fits (j, customer, route, submitted))
    _job_refuse (env, req->caller, id, 429, "too-much-waiting", RPL_NOT_RUN,
                 JOB_FULL_RETRY_MS);
  else
    _job_submit_begin (j, env, customer, route, req);
}

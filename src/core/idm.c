#include "core/idm.h"

#include "core/idm_int.h"
#include "core/inv.h"

#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#define IDM_RETENTION_MS_DEFAULT (24 * CLK_HOUR)
#define IDM_SWEEP_INTERVAL_MS_DEFAULT CLK_MINUTE
#define IDM_REQUESTS_MAX_DEFAULT 4096
#define IDM_RECORD_TIMEOUT_MS_DEFAULT (2 * CLK_SECOND)
#define IDM_OUTCOME_TIMEOUT_MS_DEFAULT (10 * CLK_MINUTE)
#define IDM_RETRY_FIRST_MS 25
#define IDM_RETRY_MAX_MS (2 * CLK_SECOND)

static int
_idm_destroy (idm_t *i)
{
  g_hash_table_destroy (i->by_name);
  g_queue_clear (&i->results);
  idm_sweep_shutdown (i);
  return 0;
}

idm_t *
idm_setup (void *ctx, const idm_desc_t *desc)
{
  idm_t *i = talloc_zero (ctx, idm_t);
  i->desc = *desc;
  if (i->desc.retention_ms == 0)
    i->desc.retention_ms = IDM_RETENTION_MS_DEFAULT;
  if (i->desc.sweep_interval_ms == 0)
    i->desc.sweep_interval_ms = IDM_SWEEP_INTERVAL_MS_DEFAULT;
  if (i->desc.requests_max == 0)
    i->desc.requests_max = IDM_REQUESTS_MAX_DEFAULT;
  if (i->desc.record_timeout_ms == 0)
    i->desc.record_timeout_ms = IDM_RECORD_TIMEOUT_MS_DEFAULT;
  if (i->desc.outcome_timeout_ms == 0)
    i->desc.outcome_timeout_ms = IDM_OUTCOME_TIMEOUT_MS_DEFAULT;
  i->entries = tbl_setup (i, &(tbl_desc_t){ .size = sizeof (idm_entry_t),
                                            .max = i->desc.requests_max });
  i->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  g_queue_init (&i->results);
  talloc_set_destructor (i, _idm_destroy);
  return i;
}

void
idm_shutdown (idm_t *i)
{
  talloc_free (i);
}

uint64_t
idm_fingerprint (const char *method, const char *path, buf_t body)
{
  uint64_t hash = XXH64 (method, strlen (method), 1);
  hash = XXH64 (path, strlen (path), hash);
  return XXH64 (body.p, body.n, hash);
}

bool
idm_key_valid (const char *key)
{
  size_t n = 0;
  for (; key[n] != '\0'; n++)
    if (key[n] <= ' ' || key[n] > '~' || n >= IDM_KEY_MAX)
      return false;
  return n > 0;
}

uint32_t
idm_pending_outcomes (const idm_t *i)
{
  return i->pending_outcomes;
}

/* -- verdicts ------------------------------------------------------------- */

static idm_result_t *
_idm_result_add (idm_t *i, uint64_t tag, idm_verdict_t verdict)
{
  idm_result_t *result = talloc_zero (i, idm_result_t);
  result->tag = tag;
  result->verdict = verdict;
  g_queue_push_tail (&i->results, result);
  return result;
}

bool
idm_result_pop (idm_t *i, idm_result_t *result)
{
  talloc_free (i->popped);
  i->popped = g_queue_pop_head (&i->results);
  if (i->popped == NULL)
    return false;
  *result = *i->popped;
  return true;
}

static void
_idm_result_add_record (idm_t *i, uint64_t tag, const idm_rec_t *rec,
                        uint64_t fingerprint)
{
  if (rec->fingerprint != fingerprint)
    {
      _idm_result_add (i, tag, IDM_REUSED);
      return;
    }
  if (rec->state != IDM_REC_DONE)
    {
      _idm_result_add (i, tag, IDM_UNKNOWN);
      return;
    }
  idm_result_t *result = _idm_result_add (
      i, tag, rec->body_recorded ? IDM_REPLAY : IDM_TOO_LARGE);
  result->status = rec->status;
  result->type = rec->type != NULL ? talloc_strdup (result, rec->type) : NULL;
  result->body = buf_copy (result, rec->body);
}

static void
_idm_entry_free (idm_t *i, idm_entry_t *e)
{
  if (e->state == IDM_WRITING)
    i->pending_outcomes--;
  if (g_hash_table_lookup (i->by_name, e->name) == e)
    g_hash_table_remove (i->by_name, e->name);
  talloc_free (e->strings);
  tbl_free (i->entries, e->id);
}

/* -- platform calls ------------------------------------------------------- */

static void
_idm_record_get (const idm_entry_t *e, env_t *env)
{
  plt_call (env, &(plt_req_t){ .mod = MOD_IDEMPOTENT,
                               .tag = e->id.id,
                               .op = FX_PLATFORM_GET,
                               .name = e->name });
}

static void
_idm_record_put (const idm_entry_t *e, env_t *env)
{
  void *ctx = talloc_new (NULL);
  plt_call (env, &(plt_req_t){ .mod = MOD_IDEMPOTENT,
                               .tag = e->id.id,
                               .op = FX_PLATFORM_PUT,
                               .name = e->name,
                               .if_version = e->version,
                               .value = idm_rec_encode (ctx, &e->rec) });
  talloc_free (ctx);
}

/** Reads the record after a pause that doubles up to IDM_RETRY_MAX_MS. */
static void
_idm_read_schedule (idm_entry_t *e, env_t *env)
{
  e->backoff = e->backoff == 0 ? IDM_RETRY_FIRST_MS : 2 * e->backoff;
  e->backoff = clk_min (e->backoff, IDM_RETRY_MAX_MS);
  e->retry_at = env->now + env_jitter (env, e->backoff);
  tmr_arm (env->tmr, e->retry_at, MOD_IDEMPOTENT, e->id.id);
}

/* -- creating and looking up ---------------------------------------------- */

/** Gives the verdict on REQUEST when entry E has the same key. */
static void
_idm_result_add_duplicate (idm_t *i, const idm_entry_t *e,
                           const idm_request_t *request)
{
  if (e->rec.state == IDM_REC_NOT_RUN)
    _idm_result_add (i, request->tag, IDM_REFUSED);
  else
    _idm_result_add_record (i, request->tag, &e->rec, request->fingerprint);
}

st_code_t
idm_begin (idm_t *i, env_t *env, const idm_request_t *request)
{
  char *name = idm_rec_name (NULL, request->customer, request->key);
  const idm_entry_t *existing = g_hash_table_lookup (i->by_name, name);
  if (existing != NULL)
    {
      /* A request with this key is in progress on this VM. */
      _idm_result_add_duplicate (i, existing, request);
      talloc_free (name);
      return ST_OK;
    }
  tbl_id_t id = tbl_alloc (i->entries);
  idm_entry_t *e = tbl_get (i->entries, id);
  if (e == NULL)
    {
      talloc_free (name);
      return ST_EXHAUSTED;
    }
  void *strings = talloc_new (i);
  *e = (idm_entry_t){
    .id = id,
    .strings = strings,
    .name = talloc_steal (strings, name),
    .tag = request->tag,
    .deadline = request->deadline,
    .retry_until
    = clk_min (request->deadline, env->now + i->desc.record_timeout_ms),
    .state = IDM_CREATING,
    .rec
    = { .state = IDM_REC_BEGUN,
        .writer = talloc_asprintf (strings, "%s/%llx/%llu", env->vm,
                                   (unsigned long long)env->incarnation,
                                   (unsigned long long)++i->writer_number),
        .fingerprint = request->fingerprint },
  };
  g_hash_table_insert (i->by_name, e->name, e);
  _idm_record_put (e, env);
  return ST_OK;
}

st_code_t
idm_lookup (idm_t *i, env_t *env, const idm_request_t *request)
{
  char *name = idm_rec_name (NULL, request->customer, request->key);
  const idm_entry_t *existing = g_hash_table_lookup (i->by_name, name);
  tbl_id_t id = existing == NULL ? tbl_alloc (i->entries) : (tbl_id_t){ 0 };
  idm_entry_t *e = tbl_get (i->entries, id);
  if (existing != NULL)
    _idm_result_add_duplicate (i, existing, request);
  if (e == NULL)
    {
      talloc_free (name);
      return existing != NULL ? ST_OK : ST_EXHAUSTED;
    }
  void *strings = talloc_new (i);
  *e = (idm_entry_t){ .id = id,
                      .strings = strings,
                      .name = talloc_steal (strings, name),
                      .tag = request->tag,
                      .state = IDM_LOOKUP,
                      .rec = { .fingerprint = request->fingerprint } };
  _idm_record_get (e, env);
  return ST_OK;
}

static void
_idm_lookup_replied (idm_t *i, idm_entry_t *e, const ev_platform_t *reply)
{
  void *ctx = talloc_new (NULL);
  idm_rec_t rec = { 0 };
  bool readable
      = reply->code == ST_OK && reply->object_count > 0
        && idm_rec_decode (ctx, reply->objects[0].value, &rec) == ST_OK;
  if (reply->code == ST_NOT_FOUND
      || (readable && rec.state == IDM_REC_NOT_RUN))
    _idm_result_add (i, e->tag, IDM_ABSENT);
  else if (readable)
    _idm_result_add_record (i, e->tag, &rec, e->rec.fingerprint);
  else
    _idm_result_add (i, e->tag, IDM_REFUSED);
  _idm_entry_free (i, e);
  talloc_free (ctx);
}

static void
_idm_outcome_begin (idm_t *i, env_t *env, idm_entry_t *e)
{
  e->state = IDM_WRITING;
  e->backoff = 0;
  e->retry_until = env->now + i->desc.outcome_timeout_ms;
  i->pending_outcomes++;
}

/** Refuses the request because its record could not be confirmed.  NO_EFFECT:
 * no creation can have taken effect. */
static void
_idm_refuse (idm_t *i, env_t *env, idm_entry_t *e, bool no_effect)
{
  cnt_add (env->cnt, "rts_idempotent_refused_total", "", 1);
  _idm_result_add (i, e->tag, IDM_REFUSED);
  if (no_effect)
    {
      _idm_entry_free (i, e);
      return;
    }
  /* The creation may have taken effect: without a correction, the record
   * would say for good that the request may have run. */
  e->rec.state = IDM_REC_NOT_RUN;
  _idm_outcome_begin (i, env, e);
  _idm_read_schedule (e, env);
}

static void
_idm_grant (idm_t *i, env_t *env, idm_entry_t *e, uint64_t version)
{
  e->version = version;
  e->state = IDM_GRANTED;
  cnt_add (env->cnt, "rts_idempotent_records_total", "", 1);
  _idm_result_add (i, e->tag, IDM_RUN)->handle = e->id.id;
}

static void
_idm_create_replied (idm_t *i, env_t *env, idm_entry_t *e,
                     const ev_platform_t *reply)
{
  switch (reply->code)
    {
    case ST_OK:
      _idm_grant (i, env, e,
                  reply->object_count > 0 ? reply->objects[0].version
                                          : e->version + 1);
      break;
    case ST_UNAVAILABLE:
      _idm_refuse (i, env, e, !e->ambiguous);
      break;
    default:
      /* A record may exist, from another writer or from this one: read it. */
      e->ambiguous = e->ambiguous || reply->code == ST_UNKNOWN;
      e->state = IDM_READING;
      _idm_record_get (e, env);
      break;
    }
}

/** Handles a record of another writer, or an older one of this VM. */
static void
_idm_other_record_read (idm_t *i, env_t *env, idm_entry_t *e,
                        const idm_rec_t *rec, uint64_t version)
{
  if (rec->state == IDM_REC_NOT_RUN)
    {
      e->version = version;
      e->state = IDM_CREATING;
      _idm_record_put (e, env);
      return;
    }
  cnt_add (env->cnt, "rts_idempotent_found_total", "", 1);
  _idm_result_add_record (i, e->tag, rec, e->rec.fingerprint);
  _idm_entry_free (i, e);
}

static void
_idm_read_replied (idm_t *i, env_t *env, idm_entry_t *e,
                   const ev_platform_t *reply)
{
  void *ctx = talloc_new (NULL);
  idm_rec_t rec;
  if (reply->code == ST_OK && reply->object_count > 0
      && idm_rec_decode (ctx, reply->objects[0].value, &rec) == ST_OK)
    {
      if (strcmp (rec.writer, e->rec.writer) == 0)
        _idm_grant (i, env, e, reply->objects[0].version);
      else
        _idm_other_record_read (i, env, e, &rec, reply->objects[0].version);
    }
  else if (reply->code == ST_OK && reply->object_count > 0)
    _idm_refuse (i, env, e, true);
  else if (env->now >= e->retry_until)
    _idm_refuse (i, env, e, !e->ambiguous);
  else if (reply->code == ST_NOT_FOUND)
    {
      /* The record does not exist (yet).  Creating it again with the same
       * token does no harm. */
      e->version = 0;
      e->state = IDM_CREATING;
      _idm_record_put (e, env);
    }
  else
    _idm_read_schedule (e, env);
  talloc_free (ctx);
}

/* -- sending -------------------------------------------------------------- */

bool
idm_may_send (idm_t *i, env_t *env, uint64_t handle)
{
  idm_entry_t *e = tbl_get (i->entries, (tbl_id_t){ .id = handle });
  if (e == NULL)
    return false;
  INV_CHECK (e->state == IDM_GRANTED, "at-most-once",
             "record %s, writer %s: send attempted in state %d", e->name,
             e->rec.writer, (int)e->state);
  /* After a freeze of this VM nobody waits for the request any more. */
  if (env->now >= e->deadline)
    return false;
  e->state = IDM_SENT;
  return true;
}

void
idm_unsent (idm_t *i, uint64_t handle)
{
  idm_entry_t *e = tbl_get (i->entries, (tbl_id_t){ .id = handle });
  if (e != NULL && e->state == IDM_SENT)
    e->state = IDM_GRANTED;
}

static void
_idm_outcome_set (idm_t *i, env_t *env, idm_entry_t *e, idm_rec_state_t state)
{
  INV_CHECK (e->state == IDM_GRANTED || e->state == IDM_SENT,
             "one-outcome-each", "record %s: outcome set in state %d", e->name,
             (int)e->state);
  e->rec.state = state;
  _idm_outcome_begin (i, env, e);
  _idm_record_put (e, env);
}

void
idm_done (idm_t *i, env_t *env, uint64_t handle, int status, const char *type,
          buf_t body)
{
  idm_entry_t *e = tbl_get (i->entries, (tbl_id_t){ .id = handle });
  if (e == NULL)
    return;
  e->rec.status = status;
  e->rec.type = type != NULL ? talloc_strdup (e->strings, type) : NULL;
  e->rec.body_recorded = body.n <= IDM_BODY_MAX;
  if (e->rec.body_recorded)
    e->rec.body = buf_copy (e->strings, body);
  _idm_outcome_set (i, env, e, IDM_REC_DONE);
}

void
idm_unknown (idm_t *i, env_t *env, uint64_t handle)
{
  idm_entry_t *e = tbl_get (i->entries, (tbl_id_t){ .id = handle });
  if (e != NULL)
    _idm_outcome_set (i, env, e, IDM_REC_UNKNOWN);
}

void
idm_not_run (idm_t *i, env_t *env, uint64_t handle)
{
  idm_entry_t *e = tbl_get (i->entries, (tbl_id_t){ .id = handle });
  if (e == NULL)
    return;
  /* A request that was sent may have run, whatever the caller reports. */
  _idm_outcome_set (i, env, e,
                    e->state == IDM_SENT ? IDM_REC_UNKNOWN : IDM_REC_NOT_RUN);
}

/* -- writing outcomes ----------------------------------------------------- */

static void
_idm_outcome_give_up (idm_t *i, env_t *env, idm_entry_t *e)
{
  cnt_add (env->cnt, "rts_idempotent_outcomes_lost_total", "", 1);
  tln_record (env->tln, env->now, MOD_IDEMPOTENT, "outcome-lost", "%s",
              e->name);
  _idm_entry_free (i, e);
}

static void
_idm_outcome_read_replied (idm_t *i, env_t *env, idm_entry_t *e,
                           const ev_platform_t *reply)
{
  void *ctx = talloc_new (NULL);
  idm_rec_t rec;
  bool readable
      = reply->code == ST_OK && reply->object_count > 0
        && idm_rec_decode (ctx, reply->objects[0].value, &rec) == ST_OK;
  if (readable && strcmp (rec.writer, e->rec.writer) == 0
      && rec.state == IDM_REC_BEGUN)
    {
      e->version = reply->objects[0].version;
      _idm_record_put (e, env);
    }
  else if (readable)
    /* The outcome is written, or another request took the record over after
     * "not-run". */
    _idm_entry_free (i, e);
  else if (reply->code == ST_NOT_FOUND)
    {
      /* Create the record, so that a creation still in flight fails. */
      e->version = 0;
      _idm_record_put (e, env);
    }
  else
    _idm_read_schedule (e, env);
  talloc_free (ctx);
}

static void
_idm_outcome_replied (idm_t *i, env_t *env, idm_entry_t *e,
                      fx_platform_op_t op, const ev_platform_t *reply)
{
  if (env->now >= e->retry_until && reply->code != ST_OK)
    _idm_outcome_give_up (i, env, e);
  else if (op == FX_PLATFORM_GET)
    _idm_outcome_read_replied (i, env, e, reply);
  else if (reply->code == ST_OK)
    _idm_entry_free (i, e);
  else
    _idm_read_schedule (e, env);
}

/* -- timers and replies --------------------------------------------------- */

void
idm_timer_fired (idm_t *i, env_t *env, uint64_t tag)
{
  if (tag == IDM_SWEEP_TAG)
    {
      idm_sweep_tick (i, env);
      return;
    }
  idm_entry_t *e = tbl_get (i->entries, (tbl_id_t){ .id = tag });
  if (e != NULL && env->now >= e->retry_at
      && (e->state == IDM_READING || e->state == IDM_WRITING))
    _idm_record_get (e, env);
}

void
idm_platform_replied (idm_t *i, env_t *env, const plt_done_t *done,
                      const ev_platform_t *reply)
{
  if ((done->tag & IDM_SWEEP_TAG) != 0)
    {
      idm_sweep_replied (i, env, done, reply);
      return;
    }
  idm_entry_t *e = tbl_get (i->entries, (tbl_id_t){ .id = done->tag });
  if (e == NULL)
    return;
  switch (e->state)
    {
    case IDM_CREATING:
      if (done->op == FX_PLATFORM_PUT)
        _idm_create_replied (i, env, e, reply);
      break;
    case IDM_LOOKUP:
      _idm_lookup_replied (i, e, reply);
      break;
    case IDM_READING:
      if (done->op == FX_PLATFORM_GET)
        _idm_read_replied (i, env, e, reply);
      break;
    case IDM_WRITING:
      _idm_outcome_replied (i, env, e, done->op, reply);
      break;
    case IDM_GRANTED:
    case IDM_SENT:
      break;
    }
}

#include "core/bat_int.h"
#include "core/inv.h"

#include <string.h>
#include <talloc.h>

#define BAT_CHUNK_WRITES_MAX 8 /* chunk writes of a job in flight */

/* Time without a step that succeeds, after which a submission fails. */
#define BAT_SUBMIT_STALL_TIMEOUT_MS (10 * CLK_SECOND)

#define BAT_RETRY_AFTER_MS (2 * CLK_SECOND)
#define BAT_KEY_LENGTH_MAX 255

static void
_bat_submit_free (bat_t *b, bat_submit_t *s)
{
  talloc_free (s->ctx);
  tbl_free (b->submits, s->self);
}

/* -- reading the request -------------------------------------------------- */

/* Value of the query argument KEY, owned by CTX; NULL: there is none. */
static char *
_bat_query (void *ctx, const char *query, const char *key)
{
  GHashTable *args
      = query == NULL
            ? NULL
            : g_uri_parse_params (query, -1, "&", G_URI_PARAMS_NONE, NULL);
  if (args == NULL)
    return NULL;
  const char *v = g_hash_table_lookup (args, key);
  char *copy = v == NULL ? NULL : talloc_strdup (ctx, v);
  g_hash_table_destroy (args);
  return copy;
}

/* Parses a due time: Unix seconds, "+SECONDS" from now, or ISO 8601. */
static bool
_bat_due_read (const char *text, clk_ms_t unix_now, clk_ms_t *due)
{
  gint64 seconds = 0;
  const char *digits = text[0] == '+' ? text + 1 : text;
  if (g_ascii_string_to_signed (digits, 10, 0, G_MAXINT32 * (gint64)1024,
                                &seconds, NULL))
    {
      *due = seconds * CLK_SECOND + (text[0] == '+' ? unix_now : 0);
      return true;
    }
  GTimeZone *utc = g_time_zone_new_utc ();
  GDateTime *t = g_date_time_new_from_iso8601 (text, utc);
  g_time_zone_unref (utc);
  if (t == NULL)
    return false;
  *due = g_date_time_to_unix (t) * CLK_SECOND;
  g_date_time_unref (t);
  return true;
}

/* Reads the due time from the Batch-Due header or the query argument `due`. */
static st_code_t
_bat_submit_due (bat_t *b, env_t *env, bat_submit_t *s,
                 const ev_request_t *req, st_t *st)
{
  const char *text = http_header_find (req->headers, "Batch-Due");
  if (text == NULL)
    text = _bat_query (s->ctx, req->query, "due");
  if (text == NULL)
    return ST_OK;
  if (_bat_due_read (text, env->now + b->desc.unix_offset_ms,
                     &s->manifest.due))
    return ST_OK;
  return st_set (st, ST_INVALID,
                 "due time '%.40s': expected Unix seconds, +SECONDS or "
                 "ISO 8601",
                 text);
}

static char *
_bat_digest (void *ctx, buf_t body)
{
  gchar *hex = g_compute_checksum_for_data (G_CHECKSUM_SHA256,
                                            (const guchar *)body.p, body.n);
  char *copy = talloc_strdup (ctx, hex);
  g_free (hex);
  return copy;
}

static st_code_t
_bat_submit_read (bat_t *b, env_t *env, bat_submit_t *s, const char *customer,
                  const ev_request_t *req, st_t *st)
{
  const char *key = http_header_find (req->headers, "Idempotency-Key");
  if (key == NULL || key[0] == '\0' || strlen (key) > BAT_KEY_LENGTH_MAX)
    return st_set (st, ST_INVALID,
                   "expected an Idempotency-Key header of 1 to %d "
                   "characters, the same each time the job is sent",
                   BAT_KEY_LENGTH_MAX);
  char *id = talloc_array (s->ctx, char, BAT_ID_SIZE);
  bat_id_make (customer, key, id);
  s->manifest.id = id;
  s->manifest.customer = talloc_strdup (s->ctx, customer);
  s->manifest.digest = _bat_digest (s->ctx, req->body);
  st_code_t code = _bat_submit_due (b, env, s, req, st);
  if (code != ST_OK)
    return code;
  return bat_parse (b, s->ctx, req->body, &s->new_chunks, &s->manifest, st);
}

/* -- writing -------------------------------------------------------------- */

static void
_bat_submit_chunk (bat_t *b, env_t *env, bat_submit_t *s, uint32_t i)
{
  bat_new_chunk_t *p = &s->new_chunks[i];
  p->in_flight = true;
  s->in_flight++;
  const bat_manifest_t *m = &s->manifest;
  char *name = bat_name_items (NULL, m->id, m->digest, i);
  bat_platform_call (
      b, env, BAT_OP_SUBMIT_ITEMS, s->self, i,
      &(plt_req_t){ .op = FX_PLATFORM_PUT, .name = name, .value = p->text });
  talloc_free (name);
}

static void
_bat_submit_open_job (bat_t *b, env_t *env, bat_submit_t *s)
{
  s->step = BAT_OP_SUBMIT_OPEN;
  const bat_manifest_t *m = &s->manifest;
  char *name = bat_name_open_job (NULL, m->id);
  char *value
      = bat_open_job_encode (name, &(bat_open_job_t){ .customer = m->customer,
                                                      .due = m->due,
                                                      .items = m->items,
                                                      .chunks = m->chunks });
  bat_platform_call (b, env, BAT_OP_SUBMIT_OPEN, s->self, 0,
                     &(plt_req_t){ .op = FX_PLATFORM_PUT,
                                   .name = name,
                                   .value = buf_str (value) });
  talloc_free (name);
}

static void
_bat_submit_manifest (bat_t *b, env_t *env, bat_submit_t *s)
{
  s->step = BAT_OP_SUBMIT_JOB;
  INV_CHECK (s->stored == s->manifest.chunks, "batch-manifest-after-chunks",
             "job %s: %u of %u chunks stored", s->manifest.id, s->stored,
             s->manifest.chunks);
  if (s->manifest.token == NULL)
    s->manifest.token = bat_token_new (b, env, s->ctx);
  char *name = bat_name_job (NULL, s->manifest.id);
  char *value = bat_manifest_encode (name, &s->manifest);
  bat_platform_call (b, env, BAT_OP_SUBMIT_JOB, s->self, 0,
                     &(plt_req_t){ .op = FX_PLATFORM_PUT,
                                   .name = name,
                                   .value = buf_str (value) });
  talloc_free (name);
}

static void
_bat_submit_lookup (bat_t *b, env_t *env, bat_submit_t *s)
{
  char *name = bat_name_job (NULL, s->manifest.id);
  bat_platform_call (b, env, BAT_OP_SUBMIT_LOOKUP, s->self, 0,
                     &(plt_req_t){ .op = FX_PLATFORM_GET, .name = name });
  talloc_free (name);
}

/* Starts the next step: the chunks first, then the index entry, then the
 * manifest. */
static void
_bat_submit_step (bat_t *b, env_t *env, bat_submit_t *s)
{
  if (s->step == BAT_OP_SUBMIT_LOOKUP)
    {
      _bat_submit_lookup (b, env, s);
      return;
    }
  for (uint32_t i = 0;
       i < s->manifest.chunks && s->in_flight < BAT_CHUNK_WRITES_MAX; i++)
    {
      if (i < s->next)
        i = s->next;
      if (i < s->manifest.chunks && !s->new_chunks[i].stored
          && !s->new_chunks[i].in_flight)
        _bat_submit_chunk (b, env, s, i);
    }
  while (s->next < s->manifest.chunks && s->new_chunks[s->next].stored)
    s->next++;
  if (s->stored < s->manifest.chunks)
    return;
  if (s->step == BAT_OP_SUBMIT_JOB)
    _bat_submit_manifest (b, env, s);
  else
    _bat_submit_open_job (b, env, s);
}

/* -- end of a submission -------------------------------------------------- */

static void
_bat_submit_give_up (bat_t *b, env_t *env, bat_submit_t *s)
{
  cnt_add (env->cnt, "rts_batch_jobs_refused_total", "reason=\"platform\"", 1);
  bat_reply_error (
      env, s->caller, 503, "unavailable",
      s->may_be_written ? "unknown" : "not-run", BAT_RETRY_AFTER_MS,
      s->may_be_written ? "the job may have been accepted: send it again "
                          "with the same Idempotency-Key"
                        : "the platform cannot be reached; this request "
                          "accepted nothing");
  _bat_submit_free (b, s);
}

static void
_bat_submit_retry_later (bat_t *b, env_t *env, bat_submit_t *s)
{
  if (env->now - s->progress_at > BAT_SUBMIT_STALL_TIMEOUT_MS)
    {
      _bat_submit_give_up (b, env, s);
      return;
    }
  if (s->retry_armed)
    return;
  s->retry_armed = true;
  bat_timer_arm (b, env, bat_backoff (env, s->retries++), BAT_OP_SUBMIT_RETRY,
                 s->self);
}

void
bat_submit_retry (bat_t *b, env_t *env, tbl_id_t id)
{
  bat_submit_t *s = tbl_get (b->submits, id);
  if (s == NULL)
    return;
  s->retry_armed = false;
  _bat_submit_step (b, env, s);
}

static void
_bat_submit_accepted (bat_t *b, env_t *env, bat_submit_t *s)
{
  const bat_manifest_t *m = &s->manifest;
  cnt_add (env->cnt, "rts_batch_jobs_accepted_total", "", 1);
  cnt_add (env->cnt, "rts_batch_items_accepted_total", "", m->items);
  tln_record (env->tln, env->now, MOD_BATCH, "accept",
              "job=%s customer=%s items=%u chunks=%u", m->id, m->customer,
              m->items, m->chunks);
  bat_reply_manifest (env, s->caller, 202, m);
  bat_open_job_t open = { .customer = m->customer,
                          .due = m->due,
                          .items = m->items,
                          .chunks = m->chunks };
  bat_scan_notify (b, env, m->id, m->chunks, BAT_MSG_WORK);
  if (!b->leaving)
    bat_scan_job (b, env, m->id, &open);
  _bat_submit_free (b, s);
}

/* A manifest with the id exists: the job was sent before, or its key was used
 * for another body. */
static void
_bat_submit_existing (bat_t *b, env_t *env, bat_submit_t *s,
                      const ev_platform_t *reply)
{
  bat_manifest_t m;
  if (reply->object_count == 0
      || !bat_manifest_decode (s->ctx, reply->objects[0].value, &m))
    {
      _bat_submit_retry_later (b, env, s);
      return;
    }
  if (strcmp (m.digest, s->manifest.digest) == 0)
    {
      cnt_add (env->cnt, "rts_batch_jobs_resent_total", "", 1);
      bat_reply_manifest (env, s->caller, 200, &m);
      if (m.state == BAT_JOB_RUNNING && !b->leaving)
        bat_scan_job (b, env, m.id,
                      &(bat_open_job_t){ .customer = m.customer,
                                         .due = m.due,
                                         .items = m.items,
                                         .chunks = m.chunks });
    }
  else
    bat_reply_error (env, s->caller, 409, "conflict", "not-run", 0,
                     "this Idempotency-Key was used for another body");
  _bat_submit_free (b, s);
}

/* -- replies -------------------------------------------------------------- */

static void
_bat_submit_lookup_replied (bat_t *b, env_t *env, bat_submit_t *s,
                            const ev_platform_t *reply)
{
  switch (reply->code)
    {
    case ST_OK:
      _bat_submit_existing (b, env, s, reply);
      return;
    case ST_NOT_FOUND:
      s->step = BAT_OP_SUBMIT_ITEMS;
      s->progress_at = env->now;
      _bat_submit_step (b, env, s);
      return;
    default:
      _bat_submit_retry_later (b, env, s);
      return;
    }
}

/* A conflict means that the chunk is stored already: its name contains the
 * digest of the complete body, so the content is the same. */
static void
_bat_submit_chunk_replied (bat_t *b, env_t *env, bat_submit_t *s, uint32_t i,
                           st_code_t code)
{
  s->new_chunks[i].in_flight = false;
  s->in_flight--;
  if (code != ST_OK && code != ST_CONFLICT)
    {
      _bat_submit_retry_later (b, env, s);
      return;
    }
  s->new_chunks[i].stored = true;
  s->stored++;
  s->progress_at = env->now;
  s->retries = 0;
  if (!s->retry_armed)
    _bat_submit_step (b, env, s);
}

static void
_bat_submit_manifest_replied (bat_t *b, env_t *env, bat_submit_t *s,
                              const ev_platform_t *reply)
{
  switch (reply->code)
    {
    case ST_OK:
      _bat_submit_accepted (b, env, s);
      return;
    case ST_CONFLICT: /* own write with a lost reply, or a second
                         submission of the job */
      s->step = BAT_OP_SUBMIT_LOOKUP;
      _bat_submit_lookup (b, env, s);
      return;
    case ST_UNKNOWN:
      s->may_be_written = true;
      _bat_submit_retry_later (b, env, s);
      return;
    default:
      _bat_submit_retry_later (b, env, s);
      return;
    }
}

void
bat_submit_replied (bat_t *b, env_t *env, const bat_op_t *op,
                    const ev_platform_t *reply)
{
  bat_submit_t *s = tbl_get (b->submits, op->owner);
  if (s == NULL)
    return;
  switch (op->kind)
    {
    case BAT_OP_SUBMIT_LOOKUP:
      _bat_submit_lookup_replied (b, env, s, reply);
      break;
    case BAT_OP_SUBMIT_ITEMS:
      _bat_submit_chunk_replied (b, env, s, op->index, reply->code);
      break;
    case BAT_OP_SUBMIT_OPEN:
      if (reply->code != ST_OK && reply->code != ST_CONFLICT)
        {
          _bat_submit_retry_later (b, env, s);
          break;
        }
      s->progress_at = env->now;
      _bat_submit_manifest (b, env, s);
      break;
    default:
      _bat_submit_manifest_replied (b, env, s, reply);
      break;
    }
}

void
bat_submit_start (bat_t *b, env_t *env, const char *customer,
                  const ev_request_t *req)
{
  if (b->leaving)
    {
      bat_reply_error (env, req->caller, 503, "unavailable", "not-run",
                       BAT_RETRY_AFTER_MS, "this VM is shutting down");
      return;
    }
  tbl_id_t id = tbl_alloc (b->submits);
  bat_submit_t *s = tbl_get (b->submits, id);
  *s = (bat_submit_t){ .self = id,
                       .ctx = talloc_new (b),
                       .caller = req->caller,
                       .step = BAT_OP_SUBMIT_LOOKUP,
                       .progress_at = env->now };
  st_t st = { 0 };
  st_code_t code = _bat_submit_read (b, env, s, customer, req, &st);
  if (code != ST_OK)
    {
      bat_reply_error (env, req->caller, code == ST_TOO_LARGE ? 413 : 400,
                       st_code_name (code), "not-run", 0, st.message);
      _bat_submit_free (b, s);
      return;
    }
  _bat_submit_step (b, env, s);
}

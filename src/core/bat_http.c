#include "core/bat_int.h"

#include <string.h>
#include <talloc.h>

#define BAT_ROOT "/v1/batches"
#define BAT_RETRY_AFTER_MS (2 * CLK_SECOND)

/* -- responses ------------------------------------------------------------ */

void
bat_reply (env_t *env, uint64_t caller, int status, clk_ms_t retry_after_ms,
           buf_t body)
{
  if (caller == 0)
    return;
  char seconds[24];
  g_snprintf (seconds, sizeof seconds, "%ld",
              (long)((retry_after_ms + CLK_SECOND - 1) / CLK_SECOND));
  const http_header_t headers[] = {
    { .name = "Content-Type", .value = "application/json" },
    { .name = "Retry-After", .value = seconds },
  };
  fx_push (
      env->fx,
      &(fx_t){ .kind = FX_REPLY_HEAD,
               .reply = { .caller = caller,
                          .status = status,
                          .headers = { .v = headers,
                                       .n = retry_after_ms > 0 ? 2 : 1 } } });
  fx_push (env->fx, &(fx_t){ .kind = FX_REPLY_DATA,
                             .reply = { .caller = caller, .data = body } });
  fx_push (env->fx,
           &(fx_t){ .kind = FX_REPLY_END, .reply = { .caller = caller } });
}

static void
_bat_reply_json (env_t *env, uint64_t caller, int status,
                 clk_ms_t retry_after_ms, json_t *o)
{
  char *text = json_dumps (o, JSON_COMPACT);
  bat_reply (env, caller, status, retry_after_ms, buf_str (text));
  free (text);
  json_decref (o);
}

void
bat_reply_error (env_t *env, uint64_t caller, int status, const char *code,
                 const char *run, clk_ms_t retry_after_ms, const char *message)
{
  _bat_reply_json (env, caller, status, retry_after_ms,
                   json_pack ("{s:{s:s, s:s, s:s}}", "error", "code", code,
                              "message", message, "run", run));
}

static json_t *
_bat_status_json (const bat_manifest_t *m, const bat_counts_t *counts)
{
  json_t *o
      = json_pack ("{s:s, s:s, s:i, s:i, s:i, s:i}", "id", m->id, "state",
                   bat_job_state_name (m->state), "items", (int)m->items,
                   "done", (int)counts->done, "failed", (int)counts->failed,
                   "cancelled", (int)counts->cancelled);
  if (m->due != 0)
    json_object_set_new (o, "due",
                         json_integer ((json_int_t)(m->due / CLK_SECOND)));
  return o;
}

void
bat_reply_manifest (env_t *env, uint64_t caller, int status,
                    const bat_manifest_t *m)
{
  _bat_reply_json (env, caller, status, 0, _bat_status_json (m, &m->counts));
}

/* -- reading status and results ------------------------------------------- */

static void
_bat_read_free (bat_t *b, bat_reader_t *r)
{
  if (r->lines != NULL)
    g_ptr_array_free (r->lines, TRUE);
  talloc_free (r->ctx);
  tbl_free (b->readers, r->self);
}

static void
_bat_read_failed (bat_t *b, env_t *env, bat_reader_t *r)
{
  if (r->head_sent && r->caller != 0)
    fx_push (env->fx, &(fx_t){ .kind = FX_REPLY_ABORT,
                               .reply = { .caller = r->caller } });
  else
    bat_reply_error (env, r->caller, 503, "unavailable", "not-run",
                     BAT_RETRY_AFTER_MS,
                     "the platform cannot be read now; ask less often");
  _bat_read_free (b, r);
}

void
bat_read_start (bat_t *b, env_t *env, const char *customer, const char *id,
                uint64_t caller, bool results)
{
  tbl_id_t self = tbl_alloc (b->readers);
  bat_reader_t *r = tbl_get (b->readers, self);
  *r = (bat_reader_t){
    .self = self, .ctx = talloc_new (b), .caller = caller, .results = results
  };
  r->customer = talloc_strdup (r->ctx, customer);
  g_strlcpy (r->id, id, sizeof r->id);
  char *name = bat_name_job (NULL, id);
  bat_platform_call (b, env, BAT_OP_READ_JOB, self, 0,
                     &(plt_req_t){ .op = FX_PLATFORM_GET,
                                   .name = name,
                                   .low_priority = true });
  talloc_free (name);
}

static void
_bat_read_job (bat_t *b, env_t *env, bat_reader_t *r,
               const ev_platform_t *reply)
{
  bool found
      = reply->object_count > 0
        && bat_manifest_decode (r->ctx, reply->objects[0].value, &r->manifest)
        && strcmp (r->manifest.customer, r->customer) == 0;
  if (!found)
    {
      bat_reply_error (env, r->caller, 404, "not-found", "not-run", 0,
                       "no such job");
      _bat_read_free (b, r);
      return;
    }
  bool ended = r->manifest.state == BAT_JOB_COMPLETE
               || r->manifest.state == BAT_JOB_CANCELLED;
  if (ended && !r->results)
    {
      bat_reply_manifest (env, r->caller, 200, &r->manifest);
      _bat_read_free (b, r);
      return;
    }
  char *name = bat_name_chunks (NULL, r->id);
  bat_platform_call (b, env, BAT_OP_READ_CHUNKS, r->self, 0,
                     &(plt_req_t){ .op = FX_PLATFORM_LIST, .name = name });
  talloc_free (name);
}

static void
_bat_read_status (bat_t *b, env_t *env, bat_reader_t *r)
{
  bat_counts_t sum = { 0 };
  for (uint32_t i = 0; i < r->manifest.chunks; i++)
    {
      sum.done += r->chunks[i].counts.done;
      sum.failed += r->chunks[i].counts.failed;
      sum.cancelled += r->chunks[i].counts.cancelled;
    }
  _bat_reply_json (env, r->caller, 200, 0,
                   _bat_status_json (&r->manifest, &sum));
  _bat_read_free (b, r);
}

static uint32_t
_bat_chunk_items (const bat_manifest_t *m, uint32_t chunk)
{
  uint32_t end = chunk + 1 < m->chunks ? m->firsts[chunk + 1] : m->items;
  return end - m->firsts[chunk];
}

/* Adds the outcome lines of cancelled items that no part contains: a chunk
 * that is cancelled while no VM holds it becomes final without such lines. */
static void
_bat_read_fill_cancelled (bat_reader_t *r, uint32_t items)
{
  const bat_chunk_t *c = &r->chunks[r->chunk];
  if (c->state != BAT_CHUNK_FINAL)
    return;
  for (uint32_t i = 0; i < items; i++)
    {
      if (r->lines->pdata[i] != NULL)
        continue;
      bat_outcome_t o
          = { .n = r->manifest.firsts[r->chunk] + i, .state = BAT_CANCELLED };
      char *text = bat_outcome_encode (NULL, &o);
      r->lines->pdata[i] = g_strdup (text);
      talloc_free (text);
    }
}

static void
_bat_read_send_chunk (env_t *env, bat_reader_t *r)
{
  uint32_t items = _bat_chunk_items (&r->manifest, r->chunk);
  _bat_read_fill_cancelled (r, items);
  for (uint32_t i = 0; i < items && r->caller != 0; i++)
    {
      const char *line = r->lines->pdata[i];
      if (line != NULL)
        fx_push (env->fx, &(fx_t){ .kind = FX_REPLY_DATA,
                                   .reply = { .caller = r->caller,
                                              .data = buf_str (line) } });
    }
}

static void
_bat_read_open_chunk (bat_reader_t *r)
{
  if (r->lines != NULL)
    g_ptr_array_free (r->lines, TRUE);
  r->lines = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_set_size (r->lines,
                        (gint)_bat_chunk_items (&r->manifest, r->chunk));
  r->part = 0;
}

/* Reads the next part, or sends the chunk and continues with the next. */
static void
_bat_read_next (bat_t *b, env_t *env, bat_reader_t *r)
{
  while (r->chunk < r->manifest.chunks && r->caller != 0)
    {
      if (r->lines == NULL)
        _bat_read_open_chunk (r);
      const bat_chunk_t *c = &r->chunks[r->chunk];
      if (r->part < c->part_count)
        {
          bat_platform_call (b, env, BAT_OP_READ_PART, r->self, r->part,
                             &(plt_req_t){ .op = FX_PLATFORM_GET,
                                           .name = c->parts[r->part] });
          return;
        }
      _bat_read_send_chunk (env, r);
      r->chunk++;
      if (r->chunk < r->manifest.chunks)
        _bat_read_open_chunk (r);
    }
  if (r->caller != 0)
    fx_push (env->fx, &(fx_t){ .kind = FX_REPLY_END,
                               .reply = { .caller = r->caller } });
  _bat_read_free (b, r);
}

static void
_bat_results_begin (bat_t *b, env_t *env, bat_reader_t *r)
{
  static const http_header_t header
      = { .name = "Content-Type", .value = "application/jsonl" };
  r->head_sent = true;
  if (r->caller != 0)
    fx_push (env->fx,
             &(fx_t){ .kind = FX_REPLY_HEAD,
                      .reply = { .caller = r->caller,
                                 .status = 200,
                                 .headers = { .v = &header, .n = 1 } } });
  _bat_read_next (b, env, r);
}

static void
_bat_read_chunks (bat_t *b, env_t *env, bat_reader_t *r,
                  const ev_platform_t *reply)
{
  r->chunks = talloc_zero_array (r->ctx, bat_chunk_t, r->manifest.chunks);
  for (size_t i = 0; i < reply->object_count; i++)
    {
      uint32_t n = bat_name_chunk_number (reply->objects[i].name);
      if (n < r->manifest.chunks)
        (void)bat_chunk_decode (r->ctx, reply->objects[i].value,
                                &r->chunks[n]);
    }
  if (r->results)
    _bat_results_begin (b, env, r);
  else
    _bat_read_status (b, env, r);
}

static void
_bat_read_part (bat_t *b, env_t *env, bat_reader_t *r,
                const ev_platform_t *reply)
{
  if (reply->object_count == 0)
    {
      _bat_read_failed (b, env, r);
      return;
    }
  buf_t rest = reply->objects[0].value;
  buf_t line;
  uint32_t first = r->manifest.firsts[r->chunk];
  while (bat_line_next (&rest, &line))
    {
      uint32_t n;
      bat_outcome_state_t state;
      if (!bat_outcome_decode (line, &n, &state) || n < first
          || n - first >= r->lines->len || r->lines->pdata[n - first] != NULL)
        continue;
      char *text = g_strndup (line.p, line.n + 1);
      text[line.n] = '\n';
      r->lines->pdata[n - first] = text;
    }
  r->part++;
  _bat_read_next (b, env, r);
}

void
bat_read_replied (bat_t *b, env_t *env, const bat_op_t *op,
                  const ev_platform_t *reply)
{
  bat_reader_t *r = tbl_get (b->readers, op->owner);
  if (r == NULL)
    return;
  if (reply->code != ST_OK && reply->code != ST_NOT_FOUND)
    _bat_read_failed (b, env, r);
  else if (op->kind == BAT_OP_READ_JOB)
    _bat_read_job (b, env, r, reply);
  else if (op->kind == BAT_OP_READ_CHUNKS)
    _bat_read_chunks (b, env, r, reply);
  else
    _bat_read_part (b, env, r, reply);
}

/* -- requests ------------------------------------------------------------- */

/* Splits "/ID[/ACTION]"; false when REST has another form. */
static bool
_bat_path_parse (const char *rest, char id[BAT_ID_SIZE], const char **action)
{
  if (rest[0] != '/')
    return false;
  size_t n = strcspn (rest + 1, "/");
  if (n != BAT_ID_SIZE - 1)
    return false;
  g_strlcpy (id, rest + 1, BAT_ID_SIZE);
  *action = rest[1 + n] == '/' ? rest + 2 + n : "";
  return strspn (id, "0123456789abcdef") == n;
}

bool
bat_request (bat_t *b, env_t *env, const char *customer,
             const ev_request_t *req)
{
  size_t root = strlen (BAT_ROOT);
  if (strncmp (req->path, BAT_ROOT, root) != 0
      || (req->path[root] != '\0' && req->path[root] != '/'))
    return false;
  bool post = strcmp (req->method, "POST") == 0;
  bool get = strcmp (req->method, "GET") == 0;
  char id[BAT_ID_SIZE];
  const char *action = "";
  if (req->path[root] == '\0' && post)
    bat_submit_start (b, env, customer, req);
  else if (!_bat_path_parse (req->path + root, id, &action))
    bat_reply_error (env, req->caller, 404, "not-found", "not-run", 0,
                     "expected POST /v1/batches or /v1/batches/ID");
  else if (get && (action[0] == '\0' || strcmp (action, "results") == 0))
    bat_read_start (b, env, customer, id, req->caller, action[0] != '\0');
  else if (post && strcmp (action, "cancel") == 0)
    bat_end_cancel (b, env, customer, id, req->caller);
  else
    bat_reply_error (env, req->caller, 405, "invalid", "not-run", 0,
                     "expected GET ID, GET ID/results or POST ID/cancel");
  bat_pump (b, env);
  return true;
}

void
bat_caller_gone (bat_t *b, env_t *env, uint64_t caller)
{
  (void)env;
  for (tbl_id_t i = tbl_next (b->submits, (tbl_id_t){ 0 }); i.id != 0;
       i = tbl_next (b->submits, i))
    {
      bat_submit_t *s = tbl_get (b->submits, i);
      if (s->caller == caller)
        s->caller = 0;
    }
  for (tbl_id_t i = tbl_next (b->ends, (tbl_id_t){ 0 }); i.id != 0;
       i = tbl_next (b->ends, i))
    {
      bat_job_end_t *f = tbl_get (b->ends, i);
      if (f->caller == caller)
        f->caller = 0;
    }
  for (tbl_id_t i = tbl_next (b->readers, (tbl_id_t){ 0 }); i.id != 0;
       i = tbl_next (b->readers, i))
    {
      bat_reader_t *r = tbl_get (b->readers, i);
      if (r->caller == caller)
        r->caller = 0;
    }
}

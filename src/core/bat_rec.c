#include "core/bat_rec.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

static const char *const _bat_job_states[BAT_JOB_NUM] = {
  [BAT_JOB_RUNNING] = "running",
  [BAT_JOB_CANCELLING] = "cancelling",
  [BAT_JOB_CANCELLED] = "cancelled",
  [BAT_JOB_COMPLETE] = "complete",
};

static const char *const _bat_chunk_states[BAT_CHUNK_NUM] = {
  [BAT_CHUNK_WAITING] = "waiting",
  [BAT_CHUNK_LEASED] = "leased",
  [BAT_CHUNK_FINAL] = "final",
};

static const char *const _bat_outcome_states[] = {
  [BAT_DONE] = "done", [BAT_FAILED] = "failed", [BAT_CANCELLED] = "cancelled"
};

/* -- names ---------------------------------------------------------------- */

char *
bat_name_job (void *ctx, const char *id)
{
  return talloc_asprintf (ctx, "batch/job/%s", id);
}

char *
bat_name_open_job (void *ctx, const char *id)
{
  return talloc_asprintf (ctx, BAT_OPEN_PREFIX "%s", id);
}

char *
bat_name_items (void *ctx, const char *id, const char *digest, uint32_t chunk)
{
  return talloc_asprintf (ctx, "batch/items/%s/%.16s/%06u", id, digest, chunk);
}

char *
bat_name_chunk (void *ctx, const char *id, uint32_t chunk)
{
  return talloc_asprintf (ctx, "batch/chunk/%s/%06u", id, chunk);
}

char *
bat_name_chunks (void *ctx, const char *id)
{
  return talloc_asprintf (ctx, "batch/chunk/%s/", id);
}

char *
bat_name_part (void *ctx, const char *id, uint32_t chunk, uint64_t fence,
               const char *token)
{
  return talloc_asprintf (ctx, "batch/result/%s/%06u/%06lu-%s", id, chunk,
                          (unsigned long)fence, token);
}

uint32_t
bat_name_chunk_number (const char *name)
{
  const char *slash = strrchr (name, '/');
  guint64 n = 0;
  if (slash == NULL
      || !g_ascii_string_to_unsigned (slash + 1, 10, 0, UINT32_MAX - 1, &n,
                                      NULL))
    return UINT32_MAX;
  return (uint32_t)n;
}

void
bat_id_make (const char *customer, const char *key, char id[BAT_ID_SIZE])
{
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);
  g_checksum_update (sum, (const guchar *)customer,
                     (gssize)strlen (customer) + 1);
  g_checksum_update (sum, (const guchar *)key, (gssize)strlen (key));
  g_strlcpy (id, g_checksum_get_string (sum), BAT_ID_SIZE);
  g_checksum_free (sum);
}

const char *
bat_job_state_name (bat_job_state_t state)
{
  return _bat_job_states[state];
}

/* -- JSON ----------------------------------------------------------------- */

/* Text of O, owned by CTX; frees O. */
static char *
_bat_json_dump (void *ctx, json_t *o)
{
  size_t flags = JSON_COMPACT;
  size_t n = json_dumpb (o, NULL, 0, flags);
  char *text = talloc_size (ctx, n + 1);
  json_dumpb (o, text, n, flags);
  text[n] = '\0';
  json_decref (o);
  return text;
}

/* Parses an object; NULL when VALUE is not one. */
static json_t *
_bat_json_parse (buf_t value)
{
  json_t *o = json_loadb (value.p, value.n, JSON_REJECT_DUPLICATES, NULL);
  if (o != NULL && !json_is_object (o))
    {
      json_decref (o);
      return NULL;
    }
  return o;
}

static const char *
_bat_get_str (void *ctx, json_t *o, const char *key)
{
  const char *s = json_string_value (json_object_get (o, key));
  return s == NULL ? NULL : talloc_strdup (ctx, s);
}

static int64_t
_bat_get_int (json_t *o, const char *key)
{
  return json_integer_value (json_object_get (o, key));
}

/* Index of the value of KEY in NAMES; -1: none. */
static int
_bat_get_enum (json_t *o, const char *key, const char *const *names,
               size_t count)
{
  const char *s = json_string_value (json_object_get (o, key));
  for (size_t i = 0; s != NULL && i < count; i++)
    {
      if (strcmp (s, names[i]) == 0)
        return (int)i;
    }
  return -1;
}

static void
_bat_put_counts (json_t *o, const bat_counts_t *c)
{
  json_object_set_new (o, "done", json_integer (c->done));
  json_object_set_new (o, "failed", json_integer (c->failed));
  json_object_set_new (o, "cancelled", json_integer (c->cancelled));
}

static bat_counts_t
_bat_get_counts (json_t *o)
{
  return (bat_counts_t){ .done = (uint32_t)_bat_get_int (o, "done"),
                         .failed = (uint32_t)_bat_get_int (o, "failed"),
                         .cancelled
                         = (uint32_t)_bat_get_int (o, "cancelled") };
}

/* -- records -------------------------------------------------------------- */

char *
bat_manifest_encode (void *ctx, const bat_manifest_t *m)
{
  json_t *firsts = json_array ();
  for (uint32_t i = 0; i < m->chunks; i++)
    json_array_append_new (firsts, json_integer (m->firsts[i]));
  json_t *o = json_pack ("{s:s, s:s, s:s, s:s, s:s, s:I, s:i, s:o}", "id",
                         m->id, "customer", m->customer, "digest", m->digest,
                         "token", m->token, "state", _bat_job_states[m->state],
                         "due", (json_int_t)m->due, "items", (int)m->items,
                         "firsts", firsts);
  _bat_put_counts (o, &m->counts);
  return _bat_json_dump (ctx, o);
}

bool
bat_manifest_decode (void *ctx, buf_t value, bat_manifest_t *m)
{
  json_t *o = _bat_json_parse (value);
  int state = _bat_get_enum (o, "state", _bat_job_states, BAT_JOB_NUM);
  json_t *firsts = json_object_get (o, "firsts");
  *m = (bat_manifest_t){
    .id = _bat_get_str (ctx, o, "id"),
    .customer = _bat_get_str (ctx, o, "customer"),
    .digest = _bat_get_str (ctx, o, "digest"),
    .token = _bat_get_str (ctx, o, "token"),
    .state = (bat_job_state_t)MAX (state, 0),
    .due = _bat_get_int (o, "due"),
    .items = (uint32_t)_bat_get_int (o, "items"),
    .chunks = (uint32_t)json_array_size (firsts),
    .counts = _bat_get_counts (o),
  };
  m->firsts = talloc_array (ctx, uint32_t, m->chunks);
  for (uint32_t i = 0; i < m->chunks; i++)
    m->firsts[i] = (uint32_t)json_integer_value (json_array_get (firsts, i));
  json_decref (o);
  return state >= 0 && m->id != NULL && m->customer != NULL
         && m->digest != NULL && m->token != NULL && m->chunks > 0;
}

char *
bat_open_job_encode (void *ctx, const bat_open_job_t *o)
{
  return _bat_json_dump (
      ctx, json_pack ("{s:s, s:I, s:i, s:i}", "customer", o->customer, "due",
                      (json_int_t)o->due, "items", (int)o->items, "chunks",
                      (int)o->chunks));
}

bool
bat_open_job_decode (void *ctx, buf_t value, bat_open_job_t *o)
{
  json_t *json = _bat_json_parse (value);
  *o = (bat_open_job_t){ .customer = _bat_get_str (ctx, json, "customer"),
                         .due = _bat_get_int (json, "due"),
                         .items = (uint32_t)_bat_get_int (json, "items"),
                         .chunks = (uint32_t)_bat_get_int (json, "chunks") };
  json_decref (json);
  return o->customer != NULL && o->chunks > 0;
}

char *
bat_chunk_encode (void *ctx, const bat_chunk_t *c)
{
  json_t *parts = json_array ();
  for (uint32_t i = 0; i < c->part_count; i++)
    json_array_append_new (parts, json_string (c->parts[i]));
  json_t *o = json_pack ("{s:s, s:s, s:s, s:I, s:I, s:b, s:i, s:o}", "state",
                         _bat_chunk_states[c->state], "holder", c->holder,
                         "token", c->token, "fence", (json_int_t)c->fence,
                         "term", (json_int_t)c->term_ms, "stop", (int)c->stop,
                         "intent", (int)c->intent, "parts", parts);
  _bat_put_counts (o, &c->counts);
  return _bat_json_dump (ctx, o);
}

bool
bat_chunk_decode (void *ctx, buf_t value, bat_chunk_t *c)
{
  json_t *o = _bat_json_parse (value);
  int state = _bat_get_enum (o, "state", _bat_chunk_states, BAT_CHUNK_NUM);
  json_t *parts = json_object_get (o, "parts");
  *c = (bat_chunk_t){
    .state = (bat_chunk_state_t)MAX (state, 0),
    .holder = _bat_get_str (ctx, o, "holder"),
    .token = _bat_get_str (ctx, o, "token"),
    .fence = (uint64_t)_bat_get_int (o, "fence"),
    .term_ms = _bat_get_int (o, "term"),
    .stop = json_is_true (json_object_get (o, "stop")),
    .intent = (uint32_t)_bat_get_int (o, "intent"),
    .counts = _bat_get_counts (o),
    .part_count = (uint32_t)json_array_size (parts),
  };
  c->parts = talloc_zero_array (ctx, const char *, c->part_count + 1);
  bool ok = state >= 0 && c->holder != NULL && c->token != NULL;
  for (uint32_t i = 0; i < c->part_count; i++)
    {
      const char *s = json_string_value (json_array_get (parts, i));
      ok = ok && s != NULL;
      c->parts[i] = talloc_strdup (ctx, s == NULL ? "" : s);
    }
  json_decref (o);
  return ok;
}

/* -- lines ---------------------------------------------------------------- */

char *
bat_input_encode (void *ctx, const bat_input_t *in)
{
  return _bat_json_dump (
      ctx, json_pack ("{s:s*, s:s, s:s, s:s, s:b}", "custom_id", in->custom_id,
                      "method", in->method, "path", in->path, "body", in->body,
                      "idempotent", (int)in->idempotent));
}

bool
bat_input_decode (void *ctx, buf_t line, bat_input_t *in)
{
  json_t *o = _bat_json_parse (line);
  *in = (bat_input_t){
    .custom_id = _bat_get_str (ctx, o, "custom_id"),
    .method = _bat_get_str (ctx, o, "method"),
    .path = _bat_get_str (ctx, o, "path"),
    .body = _bat_get_str (ctx, o, "body"),
    .idempotent = json_is_true (json_object_get (o, "idempotent")),
  };
  json_decref (o);
  return in->method != NULL && in->path != NULL && in->body != NULL;
}

/* The response body: as text if it is UTF-8, otherwise in base64. */
static void
_bat_put_body (json_t *o, buf_t body)
{
  json_t *text = json_stringn (body.p == NULL ? "" : body.p, body.n);
  if (text != NULL)
    {
      json_object_set_new (o, "body", text);
      return;
    }
  gchar *b64 = g_base64_encode ((const guchar *)body.p, body.n);
  json_object_set_new (o, "body_base64", json_string (b64));
  g_free (b64);
}

char *
bat_outcome_encode (void *ctx, const bat_outcome_t *o)
{
  json_t *json
      = json_pack ("{s:i, s:s*, s:s}", "n", (int)o->n, "custom_id",
                   o->custom_id, "state", _bat_outcome_states[o->state]);
  if (o->status != 0)
    json_object_set_new (json, "status", json_integer (o->status));
  if (o->state == BAT_FAILED)
    json_object_set_new (json, "reason", json_string (o->reason));
  if (o->state == BAT_DONE)
    _bat_put_body (json, o->body);
  char *text = _bat_json_dump (ctx, json);
  return talloc_strdup_append (text, "\n");
}

bool
bat_outcome_decode (buf_t line, uint32_t *n, bat_outcome_state_t *state)
{
  json_t *o = _bat_json_parse (line);
  int e = _bat_get_enum (o, "state", _bat_outcome_states, 3);
  *n = (uint32_t)_bat_get_int (o, "n");
  *state = (bat_outcome_state_t)MAX (e, 0);
  json_decref (o);
  return e >= 0;
}

bool
bat_line_next (buf_t *rest, buf_t *line)
{
  if (rest->n == 0)
    return false;
  const char *end = memchr (rest->p, '\n', rest->n);
  size_t n = end == NULL ? rest->n : (size_t)(end - rest->p);
  *line = (buf_t){ .p = rest->p, .n = n };
  size_t skip = end == NULL ? n : n + 1;
  rest->p += skip;
  rest->n -= skip;
  return true;
}

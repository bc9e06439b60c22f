/** @file
 * Operator API (opr): dispatch of requests, changes of the configuration, keys
 * and upstreams.
 */
#include "core/opr.h"

#include "core/opr_int.h"
#include "core/rpl.h"

#include <string.h>
#include <talloc.h>

#define OPR_PREFIX "/v1/operator/"
#define OPR_RETRY_AFTER_MS (5 * CLK_SECOND)
#define OPR_WAITING_MAX 256

opr_t *
opr_setup (void *ctx, const opr_desc_t *desc)
{
  opr_t *o = talloc_zero (ctx, opr_t);
  o->desc = *desc;
  o->desc.token_sha256 = talloc_strdup (o, desc->token_sha256);
  return o;
}

void
opr_shutdown (opr_t *o)
{
  talloc_free (o);
}

char *
opr_query (const opr_call_t *call, const char *name)
{
  char **fields = g_strsplit (call->req->query, "&", -1);
  char *out = NULL;
  for (size_t i = 0; fields[i] != NULL && out == NULL; i++)
    {
      char *equals = strchr (fields[i], '=');
      if (equals == NULL)
        continue;
      *equals = '\0';
      if (strcmp (fields[i], name) != 0)
        continue;
      char *plain = g_uri_unescape_string (equals + 1, NULL);
      out = talloc_strdup (call->ctx, plain == NULL ? equals + 1 : plain);
      g_free (plain);
    }
  g_strfreev (fields);
  return out;
}

void
opr_refuse (const opr_call_t *call, int status, const char *code,
            const char *message)
{
  rpl_error (call->env, call->req->caller,
             &(rpl_error_t){ .status = status,
                             .code = code,
                             .message = message,
                             .run = RPL_NOT_RUN });
}

/* -- changes -------------------------------------------------------------- */

static void
_opr_apply (const opr_call_t *call, const cfs_change_t *change)
{
  opr_t *o = call->o;
  uint64_t id = 0;
  if (o->waiting_count < OPR_WAITING_MAX)
    id = cfs_apply (o->desc.cfs, call->env, change);
  if (id == 0)
    {
      rpl_error (call->env, call->req->caller,
                 &(rpl_error_t){ .status = 503,
                                 .code = "busy",
                                 .message = "too many changes wait",
                                 .run = RPL_NOT_RUN,
                                 .retry_after_ms = CLK_SECOND });
      return;
    }
  o->waiting
      = talloc_realloc (o, o->waiting, opr_waiting_t, o->waiting_count + 1);
  o->waiting[o->waiting_count++]
      = (opr_waiting_t){ .id = id, .caller = call->req->caller };
}

/* Parse the change in the request; on false an error has been sent. */
static bool
_opr_change_parse (const opr_call_t *call, cfs_change_t *change)
{
  const char *base = opr_query (call, "base");
  const char *whole = opr_query (call, "whole");
  guint64 version = 0;
  if (base != NULL
      && !g_ascii_string_to_unsigned (base, 10, 0, INT64_MAX, &version, NULL))
    {
      opr_refuse (call, 400, "invalid", "base: expected a version number");
      return false;
    }
  if (call->req->body.n > CFG_TEXT_MAX)
    {
      opr_refuse (call, 413, "too-large", "expected at most 8 MiB");
      return false;
    }
  *change = (cfs_change_t){
    .text = call->req->body,
    .base = version,
    .whole = whole != NULL && strcmp (whole, "yes") == 0,
    .token = opr_query (call, "token"),
    .team = opr_query (call, "team"),
  };
  return true;
}

static void
_opr_error_send (env_t *env, uint64_t caller, const cfs_result_t *r)
{
  static const struct
  {
    st_code_t code;
    int status;
  } statuses[] = {
    { ST_INVALID, 422 },     { ST_CONFLICT, 409 },  { ST_STALE, 409 },
    { ST_UNAVAILABLE, 503 }, { ST_TOO_LARGE, 413 }, { ST_UNKNOWN, 504 },
  };
  int status = 500;
  for (size_t i = 0; i < sizeof statuses / sizeof statuses[0]; i++)
    {
      if (statuses[i].code == r->code)
        status = statuses[i].status;
    }
  rpl_error (env, caller,
             &(rpl_error_t){
                 .status = status,
                 .code = st_code_name (r->code),
                 .message = r->text,
                 .run = r->code == ST_UNKNOWN ? RPL_UNKNOWN : RPL_NOT_RUN,
                 .retry_after_ms = status >= 503 ? OPR_RETRY_AFTER_MS : 0 });
}

static void
_opr_result_send (env_t *env, uint64_t caller, const cfs_result_t *r)
{
  if (r->code == ST_OK)
    rpl_json (env, caller, 200,
              json_pack ("{s:I, s:b, s:i}", "version", (json_int_t)r->version,
                         "unchanged", r->unchanged, "retries",
                         (int)r->retries));
  else
    _opr_error_send (env, caller, r);
}

void
opr_results_send (opr_t *o, env_t *env)
{
  void *tmp = talloc_new (NULL);
  cfs_result_t r;
  while (cfs_result_pop (o->desc.cfs, tmp, &r))
    {
      for (size_t i = 0; i < o->waiting_count; i++)
        {
          if (o->waiting[i].id != r.id)
            continue;
          if (o->waiting[i].caller != 0)
            _opr_result_send (env, o->waiting[i].caller, &r);
          o->waiting[i] = o->waiting[--o->waiting_count];
          break;
        }
    }
  talloc_free (tmp);
}

void
opr_caller_gone (opr_t *o, uint64_t caller)
{
  for (size_t i = 0; i < o->waiting_count; i++)
    {
      if (o->waiting[i].caller == caller)
        o->waiting[i].caller = 0;
    }
}

void
opr_leave (opr_t *o)
{
  o->leaving = true;
}

size_t
opr_waiting_count (const opr_t *o)
{
  return o->waiting_count;
}

static void
_opr_config_get (const opr_call_t *call)
{
  buf_t text = cfs_text (call->ctx, call->o->desc.cfs);
  rpl_text (call->env, call->req->caller, 200, "text/plain; charset=utf-8",
            text);
}

static void
_opr_config_post (const opr_call_t *call)
{
  cfs_change_t change;
  if (_opr_change_parse (call, &change))
    _opr_apply (call, &change);
}

static void
_opr_config_diff (const opr_call_t *call)
{
  cfs_change_t change;
  if (!_opr_change_parse (call, &change))
    return;
  cfs_result_t r = cfs_diff (call->ctx, call->o->desc.cfs, &change);
  if (r.code != ST_OK)
    _opr_error_send (call->env, call->req->caller, &r);
  else
    rpl_json (call->env, call->req->caller, 200,
              json_pack ("{s:I, s:s}", "version", (json_int_t)r.version,
                         "diff", r.text));
}

/* -- keys and upstreams --------------------------------------------------- */

/* The string NAME of the request's JSON.  The string becomes part of a line of
   the document, so it must not contain line ends or brackets.  NULL: the
   string is missing or invalid, and an error has been sent. */
static const char *
_opr_field_get (const opr_call_t *call, const json_t *body, const char *name)
{
  const char *s = json_string_value (json_object_get (body, name));
  if (s != NULL && s[0] != '\0' && strpbrk (s, "\r\n[]") == NULL)
    return s;
  opr_refuse (call, 400, "invalid",
              talloc_asprintf (call->ctx, "%s: expected a string", name));
  return NULL;
}

static json_t *
_opr_body_parse (const opr_call_t *call)
{
  json_t *body = json_loadb (call->req->body.p, call->req->body.n, 0, NULL);
  if (!json_is_object (body))
    {
      opr_refuse (call, 400, "invalid", "expected a JSON object");
      json_decref (body);
      return NULL;
    }
  return body;
}

static void
_opr_key_section_apply (const opr_call_t *call, const json_t *body)
{
  const char *names[] = { "name", "customer", "owner", "sha256" };
  const char *v[4];
  for (size_t i = 0; i < 4; i++)
    {
      v[i] = _opr_field_get (call, body, names[i]);
      if (v[i] == NULL)
        return;
    }
  const cfg_doc_t *doc = cfs_doc (call->o->desc.cfs);
  const cfg_key_t *old = doc ? cfg_key_find_name (doc, v[0]) : NULL;
  if (old != NULL && strcmp (old->sha256, v[3]) != 0)
    {
      opr_refuse (call, 409, "conflict", "a key of this name exists");
      return;
    }
  if (key_withdrawn (call->o->desc.key, v[3]))
    {
      opr_refuse (call, 409, "conflict", "this key was withdrawn");
      return;
    }
  char *text = talloc_asprintf (
      call->ctx, "[key %s]\nowner = %s\ncustomer = %s\nsha256 = %s\n", v[0],
      v[2], v[1], v[3]);
  _opr_apply (call, &(cfs_change_t){ .text = buf_str (text),
                                     .base = cfs_version (call->o->desc.cfs),
                                     .token = opr_query (call, "token") });
}

static void
_opr_key_issue (const opr_call_t *call)
{
  json_t *body = _opr_body_parse (call);
  if (body == NULL)
    return;
  _opr_key_section_apply (call, body);
  json_decref (body);
}

static void
_opr_key_withdraw (const opr_call_t *call)
{
  json_t *body = _opr_body_parse (call);
  if (body == NULL)
    return;
  const opr_desc_t *d = &call->o->desc;
  const char *field = json_object_get (body, "name") ? "name" : "sha256";
  const char *name = _opr_field_get (call, body, field);
  const char *sha256 = NULL;
  st_code_t code = ST_OK;
  if (name != NULL)
    code = key_withdraw (d->key, call->env, cfs_doc (d->cfs), name, &sha256);
  json_decref (body);
  if (sha256 != NULL)
    opr_withdrawal_report (call, sha256);
  else if (code == ST_NOT_FOUND)
    opr_refuse (call, 404, "not-found", "no such key");
  else if (code != ST_OK)
    opr_refuse (call, 503, "exhausted", "too many withdrawals");
}

/* Set `leaving` in the section of the upstream NAME. */
static void
_opr_upstream_leaving_set (const opr_call_t *call, const char *name,
                           bool leaving)
{
  const cfg_doc_t *doc = cfs_doc (call->o->desc.cfs);
  const cfg_upstream_t *u = doc ? cfg_upstream_find (doc, name) : NULL;
  if (u == NULL)
    {
      opr_refuse (call, 404, "not-found", "no such upstream");
      return;
    }
  char *text = talloc_asprintf (
      call->ctx,
      "[upstream %s]\nowner = %s\ndeployment = %s\ndata_centre = %s\n"
      "address = %s\nleaving = %s\n",
      u->name, u->owner, u->deployment, u->data_centre, u->address,
      leaving ? "yes" : "no");
  _opr_apply (call, &(cfs_change_t){ .text = buf_str (text),
                                     .base = cfs_version (call->o->desc.cfs),
                                     .token = opr_query (call, "token") });
}

static void
_opr_upstream_post (const opr_call_t *call)
{
  char **parts = g_strsplit (call->subpath, "/", -1);
  bool leave = g_strv_length (parts) == 3 && strcmp (parts[2], "leave") == 0;
  bool stay = g_strv_length (parts) == 3 && strcmp (parts[2], "stay") == 0;
  if (leave || stay)
    _opr_upstream_leaving_set (call, parts[1], leave);
  else
    opr_refuse (call, 404, "not-found", "no such path");
  g_strfreev (parts);
}

/* -- requests ------------------------------------------------------------- */

/* Compare in constant time, so that the response time does not reveal where
   the strings differ. */
static bool
_opr_equal_constant_time (const char *a, const char *b)
{
  size_t n = strlen (a);
  if (n != strlen (b))
    return false;
  unsigned char differs = 0;
  for (size_t i = 0; i < n; i++)
    differs |= (unsigned char)(a[i] ^ b[i]);
  return differs == 0;
}

static bool
_opr_is_authorized (const opr_call_t *call)
{
  const char *expected = call->o->desc.token_sha256;
  char *token = key_extract (call->ctx, call->req->headers, "");
  if (expected == NULL || token == NULL)
    return false;
  char hash[KEY_HASH_SIZE + 1];
  key_hash (token, hash);
  return _opr_equal_constant_time (hash, expected);
}

static const struct
{
  const char *method;
  const char *subpath;
  void (*handle) (const opr_call_t *call);
} _opr_paths[] = {
  { "GET", "config", _opr_config_get },
  { "POST", "config", _opr_config_post },
  { "POST", "config/diff", _opr_config_diff },
  { "GET", "config/confirmed", opr_config_confirmed },
  { "GET", "keys", opr_keys },
  { "POST", "keys/issue", _opr_key_issue },
  { "POST", "keys/withdraw", _opr_key_withdraw },
  { "GET", "keys/withdrawn", opr_keys_withdrawn },
  { "GET", "customers", opr_customers },
  { "GET", "upstreams", opr_upstreams },
  { "GET", "status", opr_status },
  { "GET", "timeline", opr_timeline },
};

static void
_opr_dispatch (const opr_call_t *call)
{
  bool other_method = false;
  for (size_t i = 0; i < sizeof _opr_paths / sizeof _opr_paths[0]; i++)
    {
      if (strcmp (_opr_paths[i].subpath, call->subpath) != 0)
        continue;
      if (strcmp (_opr_paths[i].method, call->req->method) == 0)
        {
          _opr_paths[i].handle (call);
          return;
        }
      other_method = true;
    }
  if (strncmp (call->subpath, "upstreams/", 10) == 0
      && strcmp (call->req->method, "POST") == 0)
    _opr_upstream_post (call);
  else if (other_method)
    opr_refuse (call, 405, "method", "another method is expected here");
  else
    opr_refuse (call, 404, "not-found", "no such path");
}

/* Handle REQ if its path needs no token; otherwise return false. */
static bool
_opr_public_request (opr_t *o, env_t *env, const ev_request_t *req,
                     bool configured)
{
  bool ready = configured && !o->leaving
               && (o->desc.ready == NULL || o->desc.ready (o->desc.data));
  const char *type = "text/plain; version=0.0.4";
  if (strcmp (req->path, "/metrics") == 0)
    {
      char *text = cnt_format (NULL, env->cnt);
      rpl_text (env, req->caller, 200, type, buf_str (text));
      talloc_free (text);
    }
  else if (strcmp (req->path, "/healthz") == 0)
    rpl_text (env, req->caller, 200, "text/plain", buf_str ("ok\n"));
  else if (strcmp (req->path, "/readyz") == 0)
    rpl_text (env, req->caller, ready ? 200 : 503, "text/plain",
              buf_str (ready ? "ready\n" : "not ready\n"));
  else
    return false;
  return true;
}

bool
opr_request (opr_t *o, env_t *env, const ev_request_t *req, bool configured)
{
  if (_opr_public_request (o, env, req, configured))
    return true;
  if (strncmp (req->path, OPR_PREFIX, strlen (OPR_PREFIX)) != 0)
    return false;
  opr_call_t call = { .o = o,
                      .env = env,
                      .req = req,
                      .ctx = talloc_new (NULL),
                      .subpath = req->path + strlen (OPR_PREFIX) };
  bool allowed = _opr_is_authorized (&call);
  cnt_add (env->cnt, "rts_operator_requests_total",
           allowed ? "outcome=\"allowed\"" : "outcome=\"refused\"", 1);
  if (allowed)
    _opr_dispatch (&call);
  else
    opr_refuse (&call, 401, "unauthorized", "an operator token is needed");
  talloc_free (call.ctx);
  return true;
}

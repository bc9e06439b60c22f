/** @file
 * The fake platform of the driver's bed: calls, watches, the document and the
 * list of upstreams.
 */
#include "drvbed_int.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define DRVBED_ROOT "/rattanspindle/objects/"
#define DRVBED_UPSTREAM_KIND "servers"

/* A response that waits until the server's handler has returned. */
typedef struct
{
  hsv_t *server;
  uint64_t caller;
  int status;
  const char *body;
} _drvbed_reply_t;

static void
_drvbed_reply_send (struct tevent_context *loop, struct tevent_immediate *im,
                    void *data)
{
  (void)loop;
  (void)im;
  _drvbed_reply_t *r = data;
  hsv_reply_head (r->server, r->caller, r->status, (http_headers_t){ 0 });
  hsv_reply_data (r->server, r->caller, buf_str (r->body));
  hsv_reply_end (r->server, r->caller);
  talloc_free (r);
}

/* Value that drvbed_t.odd takes the place of, as it stands in a text. */
#define DRVBED_ODD "@odd"

/* The text of BODY, owned by CTX, with its odd value. */
static char *
_drvbed_text (const drvbed_t *b, void *ctx, const json_t *body)
{
  char *text = body == NULL ? NULL : json_dumps (body, JSON_COMPACT);
  char **parts
      = g_strsplit (text == NULL ? "{}" : text, "\"" DRVBED_ODD "\"", -1);
  char *joined = g_strjoinv (b->odd == NULL ? "null" : b->odd, parts);
  char *copy = talloc_strdup (ctx, joined);
  g_free (joined);
  g_strfreev (parts);
  free (text);
  return copy;
}

/* Responds with BODY, which this function frees; NULL: an empty object. */
static void
_drvbed_reply (drvbed_t *b, uint64_t caller, int status, json_t *body)
{
  if (b->silent)
    {
      json_decref (body);
      return;
    }
  _drvbed_reply_t *r = talloc_zero (b->platform, _drvbed_reply_t);
  *r = (_drvbed_reply_t){ .server = b->platform,
                          .caller = caller,
                          .status = status,
                          .body = _drvbed_text (b, r, body) };
  json_decref (body);
  tevent_schedule_immediate (tevent_create_immediate (r), b->loop,
                             _drvbed_reply_send, r);
}

/* -- watches -------------------------------------------------------------- */

static void
_drvbed_watch_end (drvbed_watch_t *w, int status, json_t *body)
{
  drvbed_t *b = w->bed;
  _drvbed_reply (b, w->caller, status, body);
  (void)g_ptr_array_remove (b->watches, w);
  talloc_free (w);
}

void
drvbed_watches_serve (drvbed_t *b)
{
  for (guint i = b->watches->len; i-- > 0;)
    {
      drvbed_watch_t *w = g_ptr_array_index (b->watches, i);
      if (w->revision < b->lost)
        _drvbed_watch_end (w, 410, NULL);
      else if (drvbed_store_has_changed (b, w->kind, w->revision))
        _drvbed_watch_end (w, 200,
                           drvbed_store_changes (b, w->kind, w->revision));
    }
}

static void
_drvbed_watch_expire (struct tevent_context *loop, struct tevent_timer *timer,
                      struct timeval now, void *data)
{
  (void)loop;
  (void)timer;
  (void)now;
  drvbed_watch_t *w = data;
  _drvbed_watch_end (w, 200,
                     drvbed_store_changes (w->bed, w->kind, w->revision));
}

/* Number behind NAME in QUERY; 0: none. */
static long long
_drvbed_query (const char *query, const char *name)
{
  const char *found = strstr (query, name);
  return found == NULL ? 0 : strtoll (found + strlen (name), NULL, 10);
}

static void
_drvbed_watch (drvbed_t *b, const ev_request_t *r, const char *kind)
{
  long long ms = _drvbed_query (r->query, "waitMs=");
  struct timeval at = tevent_timeval_current_ofs (
      (uint32_t)(ms / CLK_SECOND), (uint32_t)(ms % CLK_SECOND) * 1000);
  drvbed_watch_t *w = talloc_zero (b->platform, drvbed_watch_t);
  *w = (drvbed_watch_t){ .bed = b,
                         .caller = r->caller,
                         .kind = talloc_strdup (w, kind),
                         .revision = _drvbed_query (r->query, "watch=") };
  g_ptr_array_add (b->watches, w);
  (void)tevent_add_timer (b->loop, w, at, _drvbed_watch_expire, w);
  drvbed_watches_serve (b);
}

static void
_drvbed_watch_cancel (drvbed_t *b, uint64_t caller)
{
  for (guint i = b->watches->len; i-- > 0;)
    {
      drvbed_watch_t *w = g_ptr_array_index (b->watches, i);
      if (w->caller != caller)
        continue;
      (void)g_ptr_array_remove_index (b->watches, i);
      talloc_free (w);
    }
}

/* -- calls ---------------------------------------------------------------- */

/* Creates the object of R, or replaces the one that has the revision given. */
static void
_drvbed_put (drvbed_t *b, const ev_request_t *r, const char *kind)
{
  json_t *sent = json_loadb (r->body.p, r->body.n, 0, NULL);
  const json_t *meta = json_object_get (sent, "metadata");
  const char *name = json_string_value (json_object_get (meta, "name"));
  json_int_t revision
      = json_integer_value (json_object_get (meta, "revision"));
  json_t *old = name == NULL ? NULL : drvbed_store_find (b, kind, name);
  json_int_t found = json_integer_value (
      json_object_get (json_object_get (old, "metadata"), "revision"));
  if (name == NULL)
    _drvbed_reply (b, r->caller, 400, NULL);
  else if (old != NULL && found != revision)
    _drvbed_reply (b, r->caller, 409, json_incref (old));
  else if (old == NULL && revision != 0)
    _drvbed_reply (b, r->caller, 404, NULL);
  else
    _drvbed_reply (b, r->caller, 200,
                   json_incref (drvbed_store_put (
                       b, kind, name, json_object_get (sent, "spec"))));
  json_decref (sent);
}

/* Deletes object NAME if it has the revision of the query. */
static void
_drvbed_delete (drvbed_t *b, const ev_request_t *r, const char *kind,
                const char *name)
{
  json_t *old = drvbed_store_find (b, kind, name);
  json_int_t found = json_integer_value (
      json_object_get (json_object_get (old, "metadata"), "revision"));
  if (old == NULL)
    _drvbed_reply (b, r->caller, 404, NULL);
  else if (found != _drvbed_query (r->query, "revision="))
    _drvbed_reply (b, r->caller, 409, json_incref (old));
  else
    {
      drvbed_store_remove (b, kind, name);
      _drvbed_reply (b, r->caller, 200, NULL);
    }
}

/* Lists or watches KIND. */
static void
_drvbed_read (drvbed_t *b, const ev_request_t *r, const char *kind)
{
  if (strstr (r->query, "watch=") == NULL)
    _drvbed_reply (b, r->caller, 200, drvbed_store_list (b, kind));
  else
    _drvbed_watch (b, r, kind);
}

/* Serves R, about NAME of KIND; NAME is NULL for all of the kind. */
static void
_drvbed_serve_call (drvbed_t *b, const ev_request_t *r, const char *kind,
                    const char *name)
{
  json_t *object = name == NULL ? NULL : drvbed_store_find (b, kind, name);
  if (strcmp (r->method, "POST") == 0 || strcmp (r->method, "PUT") == 0)
    _drvbed_put (b, r, kind);
  else if (strcmp (r->method, "DELETE") == 0 && name != NULL)
    _drvbed_delete (b, r, kind, name);
  else if (strcmp (r->method, "GET") == 0 && name == NULL)
    _drvbed_read (b, r, kind);
  else if (strcmp (r->method, "GET") == 0 && object != NULL)
    _drvbed_reply (b, r->caller, 200, json_incref (object));
  else
    _drvbed_reply (b, r->caller, 404, NULL);
}

static void
_drvbed_on_request (drvbed_t *b, const ev_request_t *r)
{
  if (strncmp (r->path, DRVBED_ROOT, strlen (DRVBED_ROOT)) != 0)
    {
      _drvbed_reply (b, r->caller, 404, NULL);
      return;
    }
  const char *rest = r->path + strlen (DRVBED_ROOT);
  size_t n = strcspn (rest, "/");
  char *kind = talloc_strndup (b, rest, n);
  _drvbed_serve_call (b, r, kind, rest[n] == '/' ? rest + n + 1 : NULL);
  talloc_free (kind);
}

static void
_drvbed_on_platform (void *data, const ev_t *ev)
{
  drvbed_t *b = data;
  if (ev->kind == EV_CALLER_GONE)
    _drvbed_watch_cancel (b, ev->caller);
  else if (ev->kind == EV_REQUEST && !b->silent)
    _drvbed_on_request (b, &ev->request);
}

static void
_drvbed_on_flow (void *data, uint64_t caller, bool full)
{
  (void)data;
  (void)caller;
  (void)full;
}

/* -- the document and the list of upstreams ------------------------------- */

static json_t *
_drvbed_document (void)
{
  json_t *stream = json_pack (
      "{s:s, s:s, s:s, s:s, s:b, s:i, s:i, s:s}", "name", "fit", "host",
      DRVBED_HOST, "pathPrefix", "/fit/", "kind", "streaming", "resumable", 1,
      "timeoutMs", 5000, "maxAttempts", 2, "service", "llm");
  json_t *unresumable = json_pack (
      "{s:s, s:s, s:s, s:s, s:i, s:i, s:s}", "name", "check", "host",
      DRVBED_HOST, "pathPrefix", "/check/", "kind", "streaming", "timeoutMs",
      5000, "maxAttempts", 2, "service", "llm");
  json_t *plain = json_pack ("{s:s, s:s, s:s, s:s, s:i, s:i, s:s}", "name",
                             "plain", "host", DRVBED_HOST, "pathPrefix",
                             "/plain/", "kind", "idempotent", "timeoutMs",
                             5000, "maxAttempts", 2, "service", "llm");
  json_t *jobs = json_pack (
      "{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:i, s:s}", "name", "rosters",
      "host", DRVBED_HOST, "pathPrefix", "/rosters/", "kind", "batch",
      "timeoutMs", 15000, "maxAttempts", 3, "completionTargetMs", 18000,
      "maxWaitS", 60, "service", "llm");
  return json_pack (
      "{s:i, s:[o, o, o, o], s:[{s:s, s:{s:i}}], s:[{s:s, s:[s]}]}", "version",
      1, "routes", stream, unresumable, plain, jobs, "services", "name", "llm",
      "engine", "slots", 8, "tenants", "name", "acme", "apiKeys", DRVBED_KEY);
}

void
drvbed_list (drvbed_t *b, const drvbed_entry_t *e)
{
  b->upstreams[e->upstream].ended = false;
  const char *zone = b->desc.near || e->upstream == 0 ? "north" : "south";
  json_t *spec
      = json_pack ("{s:s, s:s, s:s, s:s, s:i}", "service", "llm", "address",
                   b->upstreams[e->upstream].address, "zone",
                   e->zone == NULL ? zone : e->zone, "state",
                   e->state == NULL ? "ready" : e->state, "seq", (int)e->seq);
  if (e->born != 0)
    json_object_set_new (spec, "born", json_integer ((json_int_t)e->born));
  if (e->version != NULL)
    json_object_set_new (spec, "version", json_string (e->version));
  (void)drvbed_store_put (b, DRVBED_UPSTREAM_KIND, e->name, spec);
  json_decref (spec);
}

void
drvbed_list_odd (drvbed_t *b, const char *name, const char *raw)
{
  b->odd = raw;
  json_t *spec = json_pack ("{s:s, s:s, s:s, s:s, s:s}", "service", "llm",
                            "address", "127.0.0.1:9", "zone", "north", "state",
                            "ready", "odd", DRVBED_ODD);
  (void)drvbed_store_put (b, DRVBED_UPSTREAM_KIND, name, spec);
  json_decref (spec);
}

void
drvbed_unlist (drvbed_t *b, const char *name)
{
  drvbed_store_remove (b, DRVBED_UPSTREAM_KIND, name);
}

/* Whether all VMs watch the list: a watch waits only if it has no change to
 * report. */
static bool
_drvbed_is_listed (const void *data)
{
  const drvbed_t *b = data;
  size_t current = 0;
  for (guint i = 0; i < b->watches->len; i++)
    {
      const drvbed_watch_t *w = g_ptr_array_index (b->watches, i);
      current += strcmp (w->kind, DRVBED_UPSTREAM_KIND) == 0
                 && w->revision >= b->lost;
    }
  return current >= (b->desc.worker ? 2 : 1);
}

bool
drvbed_await_listed (drvbed_t *b)
{
  return drvbed_wait (b, DRVBED_WAIT_MS, _drvbed_is_listed, b);
}

void
drvbed_history_lose (drvbed_t *b)
{
  b->lost = ++b->revision;
  drvbed_watches_serve (b);
}

void
drvbed_platform_silence (drvbed_t *b)
{
  b->silent = true;
}

static void
_drvbed_configure (drvbed_t *b)
{
  json_t *document = _drvbed_document ();
  (void)drvbed_store_put (b, "config", "main", document);
  json_decref (document);
  for (size_t i = 0; i < b->desc.upstreams; i++)
    {
      char name[32];
      (void)snprintf (name, sizeof name, "up-%zu", i);
      drvbed_list (b, &(drvbed_entry_t){
                          .name = name, .upstream = i, .born = b->desc.born });
    }
}

bool
drvbed_platform_open (drvbed_t *b)
{
  st_t st = { 0 };
  hsv_desc_t desc = { .loop = b->loop,
                      .listen = b->platform_listen,
                      .handler = _drvbed_on_platform,
                      .flow = _drvbed_on_flow,
                      .data = b };
  for (int i = 0; i < DRVBED_ATTEMPTS && b->platform == NULL; i++)
    {
      drvbed_address (b->platform_listen);
      b->platform = hsv_setup (b, &desc, &st);
    }
  if (b->platform != NULL)
    _drvbed_configure (b);
  return b->platform != NULL;
}

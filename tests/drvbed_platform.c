/** @file
 * The fake platform of the driver's bed: a store of objects without changes.
 */
#include "drvbed_int.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define DRVBED_ROOT "/rattanspindle/objects/"

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

/* Responds with BODY, which this function frees; NULL: an empty object. */
static void
_drvbed_reply (drvbed_t *b, uint64_t caller, int status, json_t *body)
{
  _drvbed_reply_t *r = talloc_zero (b->platform, _drvbed_reply_t);
  char *text = body == NULL ? NULL : json_dumps (body, JSON_COMPACT);
  *r = (_drvbed_reply_t){ .server = b->platform,
                          .caller = caller,
                          .status = status,
                          .body
                          = talloc_strdup (r, text == NULL ? "{}" : text) };
  free (text);
  json_decref (body);
  tevent_schedule_immediate (tevent_create_immediate (r), b->loop,
                             _drvbed_reply_send, r);
}

static json_t *
_drvbed_store (drvbed_t *b, const char *kind, const char *name,
               const json_t *spec)
{
  char *key = talloc_asprintf (b, "%s/%s", kind, name);
  json_t *object = json_pack ("{s:{s:s, s:I}, s:O}", "metadata", "name", name,
                              "revision", ++b->revision, "spec", spec);
  json_object_set_new (b->objects, key, object);
  talloc_free (key);
  return object;
}

static json_t *
_drvbed_list (drvbed_t *b, const char *kind)
{
  json_t *items = json_array ();
  const char *key;
  json_t *object;
  size_t n = strlen (kind);
  json_object_foreach (b->objects, key, object)
  {
    if (strncmp (key, kind, n) == 0 && key[n] == '/')
      json_array_append (items, object);
  }
  return json_pack ("{s:o, s:I}", "items", items, "currentRev", b->revision);
}

/* Creates the object of R, or replaces the one that has the revision given. */
static void
_drvbed_put (drvbed_t *b, const ev_request_t *r, const char *kind)
{
  json_t *sent = json_loadb (r->body.p, r->body.n, 0, NULL);
  const json_t *meta = json_object_get (sent, "metadata");
  const char *name = json_string_value (json_object_get (meta, "name"));
  json_int_t revision
      = json_integer_value (json_object_get (meta, "revision"));
  char *key = talloc_asprintf (b, "%s/%s", kind, name == NULL ? "" : name);
  json_t *old = json_object_get (b->objects, key);
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
                   json_incref (_drvbed_store (
                       b, kind, name, json_object_get (sent, "spec"))));
  json_decref (sent);
  talloc_free (key);
}

/* Serves a request; a watch stays open, as nothing changes. */
static void
_drvbed_on_platform (void *data, const ev_t *ev)
{
  drvbed_t *b = data;
  if (ev->kind != EV_REQUEST)
    return;
  const ev_request_t *r = &ev->request;
  if (strncmp (r->path, DRVBED_ROOT, strlen (DRVBED_ROOT)) != 0)
    {
      _drvbed_reply (b, r->caller, 404, NULL);
      return;
    }
  const char *rest = r->path + strlen (DRVBED_ROOT);
  char *kind = talloc_strndup (b, rest, strcspn (rest, "/"));
  json_t *object = json_object_get (b->objects, rest);
  if (strcmp (r->method, "POST") == 0 || strcmp (r->method, "PUT") == 0)
    _drvbed_put (b, r, kind);
  else if (strcmp (r->method, "GET") == 0 && strchr (rest, '/') == NULL)
    {
      if (strstr (r->query, "watch=") == NULL)
        _drvbed_reply (b, r->caller, 200, _drvbed_list (b, kind));
    }
  else if (strcmp (r->method, "GET") == 0 && object != NULL)
    _drvbed_reply (b, r->caller, 200, json_incref (object));
  else
    _drvbed_reply (b, r->caller, 404, NULL);
  talloc_free (kind);
}

static void
_drvbed_on_flow (void *data, uint64_t caller, bool full)
{
  (void)data;
  (void)caller;
  (void)full;
}

static void
_drvbed_configure (drvbed_t *b)
{
  json_t *document = json_pack (
      "{s:i, s:[{s:s, s:s, s:s, s:s, s:b, s:i, s:i, s:s}],"
      " s:[{s:s, s:{s:i}}], s:[{s:s, s:[s]}]}",
      "version", 1, "routes", "name", "fit", "host", "desk.example",
      "pathPrefix", "/fit/", "kind", "streaming", "resumable", 1, "timeoutMs",
      5000, "maxAttempts", 2, "service", "llm", "services", "name", "llm",
      "engine", "slots", 8, "tenants", "name", "acme", "apiKeys", DRVBED_KEY);
  (void)_drvbed_store (b, "config", "main", document);
  json_decref (document);
  for (size_t i = 0; i < b->upstream_count; i++)
    {
      char name[32];
      (void)snprintf (name, sizeof name, "up-%zu", i);
      json_t *entry = json_pack ("{s:s, s:s, s:s, s:s}", "service", "llm",
                                 "address", b->upstreams[i].address, "zone",
                                 i == 0 ? "north" : "south", "state", "ready");
      (void)_drvbed_store (b, "servers", name, entry);
      json_decref (entry);
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

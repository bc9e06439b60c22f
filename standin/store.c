/** @file
 * Stand-in for the users' store: objects by kind and name in memory, one
 * revision counter, lists and watches, writes under a condition.  It keeps its
 * whole history, limits no rate, knows no finalizers and removes no entry by
 * itself.
 */
#include "srv.h"
#include "standin.h"

#include <argp.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define ROOT "/rattanspindle/objects/"
#define WATCH_MS_MAX 30000u

/* A change of an object. */
typedef struct
{
  json_int_t revision;
  char *kind;
  json_t *object;
  bool deleted;
} _change_t;

typedef struct
{
  srv_t *srv;
  srv_desc_t desc;
  GTree *objects;     /**< "KIND/NAME" -> json_t */
  GPtrArray *changes; /**< _change_t, in the order of their revisions */
  GList *watches;     /**< _watch_t that wait */
  json_int_t revision;
} store_t;

/* A watch that waits for a change of its kind. */
typedef struct
{
  store_t *store;
  srv_req_t *req;
  const char *kind;
  json_int_t after; /**< revision */
} _watch_t;

/* The object of a request. */
typedef struct
{
  char *kind;
  char *name; /**< NULL: the kind as a whole */
  bool status;
} _target_t;

/* -- changes and watches -------------------------------------------------- */

static json_t *
_store_events (const store_t *s, const char *kind, json_int_t after)
{
  json_t *events = json_array ();
  for (guint i = 0; i < s->changes->len; i++)
    {
      const _change_t *c = g_ptr_array_index (s->changes, i);
      if (c->revision > after && strcmp (c->kind, kind) == 0)
        json_array_append_new (events,
                               json_pack ("{s:O, s:b}", "object", c->object,
                                          "deleted", (int)c->deleted));
    }
  return events;
}

static void
_watch_end (_watch_t *w, json_t *events)
{
  srv_req_t *req = w->req;
  json_int_t revision = w->store->revision;
  talloc_free (w);
  srv_json (
      req, 200,
      json_pack ("{s:o, s:I}", "events", events, "currentRev", revision));
}

static int
_watch_free (_watch_t *w)
{
  w->store->watches = g_list_remove (w->store->watches, w);
  return 0;
}

static void
_watch_over (struct tevent_context *loop, struct tevent_timer *timer,
             struct timeval now, void *data)
{
  (void)loop;
  (void)timer;
  (void)now;
  _watch_end (data, json_array ());
}

static void
_store_watch (store_t *s, srv_req_t *req, const char *kind)
{
  json_int_t after = (json_int_t)srv_req_number (req, "watch", 0);
  uint64_t ms = srv_req_number (req, "waitMs", 0);
  json_t *events = _store_events (s, kind, after);
  _watch_t *w = talloc_zero (req, _watch_t);
  *w = (_watch_t){ .store = s, .req = req, .after = after };
  w->kind = talloc_strdup (w, kind);
  s->watches = g_list_prepend (s->watches, w);
  talloc_set_destructor (w, _watch_free);
  if (json_array_size (events) > 0)
    {
      _watch_end (w, events);
      return;
    }
  json_decref (events);
  srv_timer_add (s->srv, w, MIN (ms, WATCH_MS_MAX), _watch_over, w);
}

static void
_store_wake (store_t *s, const char *kind)
{
  GList *next = NULL;
  for (GList *l = s->watches; l != NULL; l = next)
    {
      _watch_t *w = l->data;
      next = l->next;
      if (strcmp (w->kind, kind) == 0)
        _watch_end (w, _store_events (s, kind, w->after));
    }
}

static void
_store_changed (store_t *s, const char *kind, json_t *object, bool deleted)
{
  _change_t *c = g_new0 (_change_t, 1);
  c->revision = ++s->revision;
  c->kind = g_strdup (kind);
  json_object_set_new (json_object_get (object, "metadata"), "revision",
                       json_integer (c->revision));
  c->object = json_deep_copy (object);
  c->deleted = deleted;
  g_ptr_array_add (s->changes, c);
  _store_wake (s, kind);
}

/* -- objects -------------------------------------------------------------- */

static char *
_target_key (void *ctx, const _target_t *t)
{
  return talloc_asprintf (ctx, "%s/%s", t->kind, t->name);
}

static json_t *
_store_find (const store_t *s, const _target_t *t)
{
  char *key = _target_key (NULL, t);
  json_t *object = g_tree_lookup (s->objects, key);
  talloc_free (key);
  return object;
}

/* A list that is being built. */
typedef struct
{
  const char *prefix;
  json_t *items;
} _list_t;

static gboolean
_list_add (gpointer key, gpointer value, gpointer data)
{
  const _list_t *l = data;
  if (g_str_has_prefix (key, l->prefix))
    json_array_append (l->items, value);
  return FALSE;
}

static void
_store_list (const store_t *s, srv_req_t *req, const char *kind)
{
  _list_t list = { .prefix = talloc_asprintf (req, "%s/", kind),
                   .items = json_array () };
  g_tree_foreach (s->objects, _list_add, &list);
  srv_json (req, 200,
            json_pack ("{s:o, s:b, s:I}", "items", list.items, "hasMore", 0,
                       "currentRev", s->revision));
}

/* The revision that REQ asks the object to have; 0: any. */
static json_int_t
_asked_revision (const srv_req_t *req, const json_t *sent)
{
  json_int_t given = json_integer_value (
      json_object_get (json_object_get (sent, "metadata"), "revision"));
  return given != 0 ? given : (json_int_t)srv_req_number (req, "revision", 0);
}

static bool
_is_at (const json_t *object, json_int_t revision)
{
  const json_t *meta = json_object_get (object, "metadata");
  return revision == 0
         || json_integer_value (json_object_get (meta, "revision"))
                == revision;
}

static void
_store_create (store_t *s, srv_req_t *req, const json_t *sent, _target_t *t)
{
  const json_t *meta = json_object_get (sent, "metadata");
  const char *name = json_string_value (json_object_get (meta, "name"));
  t->name = name == NULL ? NULL : talloc_strdup (req, name);
  json_t *old = name == NULL ? NULL : _store_find (s, t);
  if (name == NULL)
    srv_error (req, 400, "invalid", "metadata.name is missing");
  else if (old != NULL)
    srv_json (req, 409, json_incref (old));
  else
    {
      json_t *object
          = json_pack ("{s:{s:s}, s:O?, s:{}}", "metadata", "name", name,
                       "spec", json_object_get (sent, "spec"), "status");
      g_tree_insert (s->objects, g_strdup (_target_key (req, t)), object);
      _store_changed (s, t->kind, object, false);
      srv_json (req, 200, json_incref (object));
    }
}

static void
_store_replace (store_t *s, srv_req_t *req, const json_t *sent,
                const _target_t *t)
{
  json_t *object = _store_find (s, t);
  const char *field = t->status ? "status" : "spec";
  json_t *value = json_object_get (sent, field);
  if (object == NULL)
    srv_error (req, 404, "not-found", t->name);
  else if (!_is_at (object, _asked_revision (req, sent)))
    srv_json (req, 409, json_incref (object));
  else
    {
      bool changes
          = value != NULL
            && json_equal (json_object_get (object, field), value) == 0;
      if (changes)
        json_object_set (object, field, value);
      if (changes)
        _store_changed (s, t->kind, object, false);
      srv_json (req, 200, json_incref (object));
    }
}

static void
_store_delete (store_t *s, srv_req_t *req, const json_t *sent,
               const _target_t *t)
{
  json_t *object = _store_find (s, t);
  if (object == NULL)
    srv_error (req, 404, "not-found", t->name);
  else if (!_is_at (object, _asked_revision (req, sent)))
    srv_json (req, 409, json_incref (object));
  else
    {
      json_incref (object);
      g_tree_remove (s->objects, _target_key (req, t));
      _store_changed (s, t->kind, object, true);
      srv_json (req, 200, object);
    }
}

/* -- requests ------------------------------------------------------------- */

static bool
_target_read (void *ctx, const char *path, _target_t *t)
{
  if (!g_str_has_prefix (path, ROOT))
    return false;
  char *rest = talloc_strdup (ctx, path + strlen (ROOT));
  t->status = g_str_has_suffix (rest, "/status");
  if (t->status)
    rest[strlen (rest) - strlen ("/status")] = '\0';
  t->kind = rest;
  t->name = strchr (rest, '/');
  if (t->name != NULL)
    *t->name++ = '\0';
  return rest[0] != '\0';
}

static void
_store_get (store_t *s, srv_req_t *req, const _target_t *t)
{
  json_t *object = t->name == NULL ? NULL : _store_find (s, t);
  if (t->name == NULL && srv_req_argument (req, "watch") != NULL)
    _store_watch (s, req, t->kind);
  else if (t->name == NULL)
    _store_list (s, req, t->kind);
  else if (object == NULL)
    srv_error (req, 404, "not-found", t->name);
  else
    srv_json (req, 200, json_incref (object));
}

static void
_store_handle (srv_req_t *req)
{
  store_t *s = req->user;
  _target_t t = { 0 };
  json_t *sent
      = json_loadb ((const char *)req->body->data, req->body->len, 0, NULL);
  if (!_target_read (req, req->path, &t))
    srv_error (req, 404, "not-found", req->path);
  else if (strcmp (req->method, "GET") == 0)
    _store_get (s, req, &t);
  else if (strcmp (req->method, "POST") == 0)
    _store_create (s, req, sent, &t);
  else if (strcmp (req->method, "PUT") == 0 && t.name != NULL)
    _store_replace (s, req, sent, &t);
  else if (strcmp (req->method, "DELETE") == 0 && t.name != NULL)
    _store_delete (s, req, sent, &t);
  else
    srv_error (req, 405, "invalid", req->method);
  json_decref (sent);
}

/* -- arguments ------------------------------------------------------------ */

static const struct argp_option options[] = {
  { "port", 'p', "P", 0, "port on 127.0.0.1 (0: any)", 0 },
  { 0 },
};

static error_t
_store_option (int key, char *arg, struct argp_state *state)
{
  store_t *s = state->input;
  if (key != 'p')
    return ARGP_ERR_UNKNOWN;
  s->desc.port = (uint16_t)strtoul (arg, NULL, 10);
  return 0;
}

static gint
_key_compare (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  return strcmp (a, b);
}

static void
_object_free (gpointer object)
{
  json_decref (object);
}

int
store_main (int argc, char **argv)
{
  static const struct argp argp
      = { options, _store_option, NULL, "Stand-in for the users' store.",
          NULL,    NULL,          NULL };
  store_t *s = talloc_zero (NULL, store_t);
  argp_parse (&argp, argc, argv, 0, NULL, s);
  s->objects = g_tree_new_full (_key_compare, NULL, g_free, _object_free);
  s->changes = g_ptr_array_new ();
  s->revision = 1;
  s->desc.handle = _store_handle;
  s->desc.user = s;
  s->srv = srv_setup (s, &s->desc);
  srv_run (s->srv);
  return EXIT_SUCCESS;
}

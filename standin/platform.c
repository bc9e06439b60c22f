/** @file
 * Stand-in for the platform: objects with versions, conditional updates and
 * long-poll watches, and a VM list that lags.
 */
#include "srv.h"
#include "standin.h"

#include <argp.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define MAX_VALUE (1u << 20) /* bytes of an object */
#define DEFAULT_LAG_MS 1000  /* of the VM list */
#define OBJECTS_PATH "/v1/objects"

typedef struct
{
  char *name;
  GByteArray *value;
  uint64_t version; /**< revision of the last change */
  bool deleted;
} object_t;

typedef struct platform
{
  srv_t *srv;
  srv_desc_t desc;
  GHashTable *objects; /**< object_t by name; deleted objects remain as
                            tombstones */
  uint64_t revision;
  GList *watches; /**< watch_t */
  json_t *vms;
  uint64_t lag_ms;    /**< delay until a change of the VM list is visible */
  GHashTable *counts; /**< operation -> calls */
} platform_t;

/** A long poll that waits for a change. */
typedef struct
{
  platform_t *platform;
  srv_req_t *req;
  char *prefix;
  uint64_t after;
} watch_t;

/** A change of the VM list that is not visible yet. */
typedef struct
{
  platform_t *platform;
  json_t *change;
} vm_change_t;

static void
_platform_count (platform_t *p, const char *operation)
{
  uintptr_t n = (uintptr_t)g_hash_table_lookup (p->counts, operation);
  g_hash_table_insert (p->counts, (char *)operation,
                       (void *)(n + 1)); // NOLINT
}

static json_t *
_platform_counts (platform_t *p)
{
  json_t *counts = json_object ();
  GHashTableIter iter;
  void *name;
  void *n;
  g_hash_table_iter_init (&iter, p->counts);
  while (g_hash_table_iter_next (&iter, &name, &n))
    json_object_set_new (counts, name,
                         json_integer ((json_int_t)(uintptr_t)n));
  return counts;
}

/* Objects */

static int
_object_compare (const void *a, const void *b)
{
  const object_t *const *x = a;
  const object_t *const *y = b;
  return ((*x)->version > (*y)->version) - ((*x)->version < (*y)->version);
}

/** Returns the objects under PREFIX that changed after revision AFTER, ordered
 * by version; NULL when there are none.  Deleted objects are included only
 * with TOMBSTONES. */
static json_t *
_platform_select (platform_t *p, const char *prefix, uint64_t after,
                  bool tombstones)
{
  GPtrArray *found = g_ptr_array_new ();
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, p->objects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const object_t *o = value;
      if (o->version > after && (tombstones || !o->deleted)
          && strncmp (o->name, prefix, strlen (prefix)) == 0)
        g_ptr_array_add (found, value);
    }
  g_ptr_array_sort (found, _object_compare);
  json_t *list = found->len != 0 ? json_array () : NULL;
  for (guint i = 0; i < found->len; i++)
    {
      const object_t *o = found->pdata[i];
      char *text = g_base64_encode (o->value->data, o->value->len);
      json_t *entry = json_pack ("{s:s, s:I, s:s}", "name", o->name, "version",
                                 (json_int_t)o->version, "value", text);
      g_free (text);
      if (tombstones)
        json_object_set_new (entry, "deleted", json_boolean (o->deleted));
      json_array_append_new (list, entry);
    }
  g_ptr_array_free (found, TRUE);
  return list;
}

static void
_reply_objects (platform_t *p, srv_req_t *req, json_t *list)
{
  srv_json (req, 200,
            json_pack ("{s:I, s:o}", "revision", (json_int_t)p->revision,
                       "objects", list ? list : json_array ()));
}

static void
_reply_version (srv_req_t *req, unsigned status, uint64_t version)
{
  char text[24];
  snprintf (text, sizeof text, "%llu", (unsigned long long)version);
  srv_header_add (req, "X-Version", text);
  srv_reply (req, status, "", 0);
}

/* Watches */

static int
_watch_free (watch_t *w)
{
  w->platform->watches = g_list_remove (w->platform->watches, w);
  return 0;
}

static void
_watch_expired (struct tevent_context *loop, struct tevent_timer *timer,
                struct timeval now, void *data)
{
  watch_t *w = data;
  (void)loop;
  (void)timer;
  (void)now;
  srv_req_t *req = w->req;
  platform_t *p = w->platform;
  talloc_free (w);
  _reply_objects (p, req, NULL);
}

static void
_platform_watch (platform_t *p, srv_req_t *req)
{
  const char *prefix = srv_req_argument (req, "prefix");
  uint64_t after = srv_req_number (req, "after", 0);
  uint64_t wait = srv_req_number (req, "wait_ms", 30000);
  json_t *list = _platform_select (p, prefix ? prefix : "", after, true);
  if (list || wait == 0)
    {
      _reply_objects (p, req, list);
      return;
    }
  watch_t *w = talloc_zero (req, watch_t);
  w->platform = p;
  w->req = req;
  w->prefix = talloc_strdup (w, prefix ? prefix : "");
  w->after = after;
  p->watches = g_list_append (p->watches, w);
  talloc_set_destructor (w, _watch_free);
  srv_timer_add (p->srv, w, wait, _watch_expired, w);
}

static void
_platform_watches_notify (platform_t *p, const char *name)
{
  for (GList *l = p->watches, *next; l; l = next)
    {
      watch_t *w = l->data;
      next = l->next;
      if (strncmp (name, w->prefix, strlen (w->prefix)) != 0)
        continue;
      srv_req_t *req = w->req;
      json_t *list = _platform_select (p, w->prefix, w->after, true);
      talloc_free (w);
      _reply_objects (p, req, list);
    }
}

/* Writes */

static object_t *
_platform_object (platform_t *p, const char *name)
{
  object_t *o = g_hash_table_lookup (p->objects, name);
  if (o)
    return o;
  o = talloc_zero (p, object_t);
  o->name = talloc_strdup (o, name);
  o->value = g_byte_array_new ();
  o->deleted = true;
  g_hash_table_insert (p->objects, o->name, o);
  return o;
}

static void
_platform_write (platform_t *p, srv_req_t *req, const char *name, bool del)
{
  object_t *o = g_hash_table_lookup (p->objects, name);
  bool live = o && !o->deleted;
  uint64_t current = live ? o->version : 0;
  if (del && !live)
    {
      srv_error (req, 404, "not-found", name);
      return;
    }
  if (srv_req_number (req, "if_version", current) != current)
    {
      _reply_version (req, 409, current);
      return;
    }
  o = _platform_object (p, name);
  g_byte_array_set_size (o->value, 0);
  g_byte_array_append (o->value, req->body->data, del ? 0 : req->body->len);
  o->deleted = del;
  o->version = ++p->revision;
  _reply_version (req, 200, o->version);
  _platform_watches_notify (p, name);
}

static void
_platform_get (platform_t *p, srv_req_t *req, const char *name)
{
  const object_t *o = g_hash_table_lookup (p->objects, name);
  char version[24];
  if (o == NULL || o->deleted)
    {
      srv_error (req, 404, "not-found", name);
      return;
    }
  snprintf (version, sizeof version, "%llu", (unsigned long long)o->version);
  srv_header_add (req, "X-Version", version);
  srv_reply (req, 200, (const char *)o->value->data, o->value->len);
}

static void
_platform_object_call (platform_t *p, srv_req_t *req, const char *name)
{
  if (strcmp (req->method, "GET") == 0)
    {
      _platform_count (p, "get");
      _platform_get (p, req, name);
    }
  else if (strcmp (req->method, "PUT") == 0)
    {
      _platform_count (p, "put");
      _platform_write (p, req, name, false);
    }
  else if (strcmp (req->method, "DELETE") == 0)
    {
      _platform_count (p, "delete");
      _platform_write (p, req, name, true);
    }
  else
    srv_error (req, 405, "invalid", "GET, PUT or DELETE");
}

/* VM list */

static void
_vm_add (platform_t *p, const char *vm, const char *dc, const char *address)
{
  json_array_append_new (p->vms, json_pack ("{s:s, s:s, s:s, s:b}", "vm", vm,
                                            "data_centre", dc, "address",
                                            address, "leaving", 0));
}

static void
_vm_change_apply (platform_t *p, const json_t *change)
{
  const char *op = json_string_value (json_object_get (change, "op"));
  const char *vm = json_string_value (json_object_get (change, "vm"));
  const char *dc = json_string_value (json_object_get (change, "data_centre"));
  const char *at = json_string_value (json_object_get (change, "address"));
  for (size_t i = 0; i < json_array_size (p->vms); i++)
    {
      json_t *entry = json_array_get (p->vms, i);
      if (strcmp (json_string_value (json_object_get (entry, "vm")), vm) != 0)
        continue;
      if (strcmp (op, "leave") == 0)
        json_object_set_new (entry, "leaving", json_true ());
      else
        json_array_remove (p->vms, i--);
    }
  if (strcmp (op, "add") == 0)
    _vm_add (p, vm, dc, at);
}

static int
_vm_change_free (vm_change_t *o)
{
  json_decref (o->change);
  return 0;
}

static void
_vm_change_due (struct tevent_context *loop, struct tevent_timer *timer,
                struct timeval now, void *data)
{
  vm_change_t *o = data;
  (void)loop;
  (void)timer;
  (void)now;
  _vm_change_apply (o->platform, o->change);
  talloc_free (o);
}

static void
_platform_vm_change (platform_t *p, srv_req_t *req)
{
  json_t *change
      = json_loadb ((const char *)req->body->data, req->body->len, 0, NULL);
  const char *op = json_string_value (json_object_get (change, "op"));
  const char *dc = json_string_value (json_object_get (change, "data_centre"));
  const char *at = json_string_value (json_object_get (change, "address"));
  if (op == NULL || !json_is_string (json_object_get (change, "vm"))
      || (strcmp (op, "add") == 0 && (dc == NULL || at == NULL)))
    {
      json_decref (change);
      srv_error (req, 400, "invalid", "op, vm, data_centre, address");
      return;
    }
  vm_change_t *o = talloc_zero (p, vm_change_t);
  o->platform = p;
  o->change = change;
  talloc_set_destructor (o, _vm_change_free);
  srv_timer_add (p->srv, o, p->lag_ms, _vm_change_due, o);
  srv_json (req, 200, json_object ());
}

/* Requests */

static void
_platform_list (platform_t *p, srv_req_t *req)
{
  const char *prefix = srv_req_argument (req, "prefix");
  _platform_count (p, "list");
  _reply_objects (p, req,
                  _platform_select (p, prefix ? prefix : "", 0, false));
}

static void
_platform_handle (srv_req_t *req)
{
  platform_t *p = req->user;
  const char *path = req->path;
  bool get = strcmp (req->method, "GET") == 0;
  if (g_str_has_prefix (path, OBJECTS_PATH "/")
      && path[strlen (OBJECTS_PATH "/")])
    _platform_object_call (p, req, path + strlen (OBJECTS_PATH "/"));
  else if (get && strcmp (path, OBJECTS_PATH) == 0)
    _platform_list (p, req);
  else if (get && strcmp (path, "/v1/watch") == 0)
    {
      _platform_count (p, "watch");
      _platform_watch (p, req);
    }
  else if (get && strcmp (path, "/v1/vms") == 0)
    {
      _platform_count (p, "vms");
      srv_json (req, 200, json_pack ("{s:O}", "vms", p->vms));
    }
  else if (strcmp (path, "/v1/vms") == 0)
    _platform_vm_change (p, req);
  else if (strcmp (path, "/counts") == 0)
    srv_json (req, 200, _platform_counts (p));
  else
    srv_error (req, 404, "not-found", path);
}

/* Arguments */

enum
{
  KEY_PORT = 256,
  KEY_VM,
  KEY_LAG,
  KEY_RECORD,
};

static const struct argp_option options[] = {
  { "port", KEY_PORT, "P", 0, "port on 127.0.0.1 (0: any)", 0 },
  { "vm", KEY_VM, "NAME,DC,IP:PORT", 0, "VM in the VM list; repeatable", 0 },
  { "vm-lag-ms", KEY_LAG, "MS", 0,
    "time until a change of the VM list is visible (1000)", 0 },
  { "record", KEY_RECORD, "FILE", 0, "append each request received", 0 },
  { 0 },
};

static error_t
_platform_option (int key, char *arg, struct argp_state *state)
{
  platform_t *p = state->input;
  switch (key)
    {
    case KEY_PORT:
      p->desc.port = (uint16_t)strtoul (arg, NULL, 10);
      return 0;
    case KEY_LAG:
      p->lag_ms = strtoull (arg, NULL, 10);
      return 0;
    case KEY_RECORD:
      p->desc.record = arg;
      return 0;
    case KEY_VM:
      {
        char **part = g_strsplit (arg, ",", 3);
        if (g_strv_length (part) != 3)
          argp_error (state, "--vm: expected NAME,DC,IP:PORT");
        _vm_add (p, part[0], part[1], part[2]);
        g_strfreev (part);
        return 0;
      }
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
platform_main (int argc, char **argv)
{
  static const struct argp argp = { options, _platform_option,
                                    NULL,    "Stand-in for the platform.",
                                    NULL,    NULL,
                                    NULL };
  platform_t *p = talloc_zero (NULL, platform_t);
  p->objects = g_hash_table_new (g_str_hash, g_str_equal);
  p->counts = g_hash_table_new (g_str_hash, g_str_equal);
  p->vms = json_array ();
  p->lag_ms = DEFAULT_LAG_MS;
  argp_parse (&argp, argc, argv, 0, NULL, p);
  p->desc.max_body = MAX_VALUE;
  p->desc.handle = _platform_handle;
  p->desc.user = p;
  p->srv = srv_setup (p, &p->desc);
  srv_run (p->srv);
  return EXIT_SUCCESS;
}

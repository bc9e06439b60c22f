#include "flt_platform.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

/* One change of an object; the latest change of a name is its state. */
typedef struct
{
  char *name;
  uint64_t version;
  buf_t value;
  bool deleted;
} _fpl_change_t;

struct fpl
{
  GTree *current;     /**< name -> latest _fpl_change_t */
  GPtrArray *changes; /**< all _fpl_change_t, oldest first */
  uint64_t revision;
};

static int
_fpl_compare (const void *a, const void *b, void *data)
{
  (void)data;
  return strcmp (a, b);
}

static int
_fpl_destroy (fpl_t *p)
{
  g_tree_destroy (p->current);
  g_ptr_array_unref (p->changes);
  return 0;
}

fpl_t *
fpl_setup (void *ctx)
{
  fpl_t *p = talloc_zero (ctx, fpl_t);
  p->current = g_tree_new_full (_fpl_compare, NULL, NULL, NULL);
  p->changes = g_ptr_array_new ();
  talloc_set_destructor (p, _fpl_destroy);
  return p;
}

static void
_fpl_change_append (fpl_t *p, const char *name, buf_t value, bool deleted)
{
  _fpl_change_t *c = talloc_zero (p, _fpl_change_t);
  c->name = talloc_strdup (c, name);
  c->version = ++p->revision;
  c->value = buf_copy (c, value);
  c->deleted = deleted;
  g_tree_replace (p->current, c->name, c);
  g_ptr_array_add (p->changes, c);
}

void
fpl_put (fpl_t *p, const char *name, buf_t value)
{
  _fpl_change_append (p, name, value, false);
}

static ev_object_t
_fpl_object (void *ctx, const _fpl_change_t *c)
{
  return (ev_object_t){ .name = talloc_strdup (ctx, c->name),
                        .version = c->version,
                        .value = buf_copy (ctx, c->value),
                        .deleted = c->deleted };
}

static void
_fpl_object_reply (void *ctx, const char *name, const _fpl_change_t *c,
                   ev_platform_t *reply)
{
  ev_object_t *o = talloc_zero (ctx, ev_object_t);
  if (c == NULL)
    o->name = talloc_strdup (ctx, name);
  else
    *o = _fpl_object (ctx, c);
  reply->objects = o;
  reply->object_count = 1;
}

static void
_fpl_write (fpl_t *p, void *ctx, const fx_platform_t *call,
            ev_platform_t *reply)
{
  const _fpl_change_t *c = g_tree_lookup (p->current, call->name);
  uint64_t version = c == NULL || c->deleted ? 0 : c->version;
  bool del = call->op == FX_PLATFORM_DELETE;
  if (version != call->if_version)
    reply->code = ST_CONFLICT;
  else if (del && version == 0)
    reply->code = ST_NOT_FOUND;
  else
    _fpl_change_append (p, call->name, call->value, del);
  _fpl_object_reply (ctx, call->name, g_tree_lookup (p->current, call->name),
                     reply);
}

/* Collects the objects whose names begin with a prefix. */
typedef struct
{
  void *ctx;
  const char *prefix;
  ev_object_t *v;
  size_t n;
} _fpl_walk_t;

static void
_fpl_append (_fpl_walk_t *w, const _fpl_change_t *c)
{
  w->v = talloc_realloc (w->ctx, w->v, ev_object_t, w->n + 1);
  w->v[w->n++] = _fpl_object (w->ctx, c);
}

static int
_fpl_walk_visit (void *key, void *value, void *data)
{
  (void)key;
  _fpl_walk_t *w = data;
  const _fpl_change_t *c = value;
  if (!c->deleted && g_str_has_prefix (c->name, w->prefix))
    _fpl_append (w, c);
  return 0;
}

static size_t
_fpl_watch (fpl_t *p, _fpl_walk_t *w, uint64_t after)
{
  for (guint i = 0; i < p->changes->len; i++)
    {
      const _fpl_change_t *c = g_ptr_array_index (p->changes, i);
      if (c->version > after && g_str_has_prefix (c->name, w->prefix))
        _fpl_append (w, c);
    }
  return w->n;
}

bool
fpl_call (fpl_t *p, void *ctx, const fx_platform_t *call, ev_platform_t *reply)
{
  _fpl_walk_t w = { .ctx = ctx, .prefix = call->name };
  const _fpl_change_t *c = NULL;
  reply->call = call->call;
  reply->code = ST_OK;
  reply->revision = p->revision;
  switch (call->op)
    {
    case FX_PLATFORM_GET:
      c = g_tree_lookup (p->current, call->name);
      if (c == NULL || c->deleted)
        reply->code = ST_NOT_FOUND;
      _fpl_object_reply (ctx, call->name, c != NULL && c->deleted ? NULL : c,
                         reply);
      return true;
    case FX_PLATFORM_PUT:
    case FX_PLATFORM_DELETE:
      _fpl_write (p, ctx, call, reply);
      return true;
    case FX_PLATFORM_LIST:
      g_tree_foreach (p->current, _fpl_walk_visit, &w);
      break;
    case FX_PLATFORM_WATCH:
      if (_fpl_watch (p, &w, call->revision) == 0)
        return false;
      break;
    case FX_PLATFORM_VMS:
    case FX_PLATFORM_DOCUMENT:
    case FX_PLATFORM_UPSTREAMS:
    case FX_PLATFORM_EVACUATIONS:
    case FX_PLATFORM_RETIREMENT:
    case FX_PLATFORM_RETIRED:
      break;
    }
  reply->objects = w.v;
  reply->object_count = w.n;
  return true;
}

/** @file
 * The fake platform of a hosted fleet: objects, lists and the operator's
 * document.
 */
#include "hst_int.h"

#include <string.h>
#include <talloc.h>

/* -- the store -------------------------------------------------------------
 */

typedef struct
{
  void *ctx;
  const fx_platform_t *call;
  ev_platform_t *reply;
  clk_ms_t until; /**< changes after it are not shown */
} _hst_list_t;

/* Limits the revision of the reply to what is shown of an object. */
static gboolean
_hst_hidden_skip (gpointer key, gpointer value, gpointer data)
{
  (void)key;
  _hst_list_t *l = data;
  const hst_object_t *o = value;
  if (o->at > l->until)
    l->reply->revision = MIN (l->reply->revision, o->version - 1);
  return FALSE;
}

static gboolean
_hst_list_add (gpointer key, gpointer value, gpointer data)
{
  _hst_list_t *l = data;
  const hst_object_t *o = value;
  bool watch = l->call->op == FX_PLATFORM_WATCH;
  if (!g_str_has_prefix (key, l->call->name) || o->at > l->until
      || (watch && o->version <= l->call->revision))
    return FALSE;
  ev_platform_t *reply = l->reply;
  ev_object_t *v
      = talloc_realloc (l->ctx, (ev_object_t *)(uintptr_t)reply->objects,
                        ev_object_t, reply->object_count + 1);
  v[reply->object_count++]
      = (ev_object_t){ .name = talloc_strdup (l->ctx, key),
                       .version = o->version,
                       .value = buf_copy (l->ctx, o->value) };
  reply->objects = v;
  return FALSE;
}

static void
_hst_object_reply (void *ctx, const fx_platform_t *call, const hst_object_t *o,
                   ev_platform_t *reply)
{
  ev_object_t *object = talloc_zero (ctx, ev_object_t);
  object->name = talloc_strdup (ctx, call->name);
  object->version = o->version;
  object->value = buf_copy (ctx, o->value);
  reply->objects = object;
  reply->object_count = 1;
}

static void
_hst_get (const hst_t *h, void *ctx, const fx_platform_t *call,
          ev_platform_t *reply)
{
  const hst_object_t *o = g_tree_lookup (h->objects, call->name);
  if (o == NULL)
    reply->code = ST_NOT_FOUND;
  else
    _hst_object_reply (ctx, call, o, reply);
}

static void
_hst_put (hst_t *h, void *ctx, const fx_platform_t *call, ev_platform_t *reply)
{
  hst_object_t *o = g_tree_lookup (h->objects, call->name);
  uint64_t version = o == NULL ? 0 : o->version;
  if (version != call->if_version)
    {
      reply->code = o == NULL ? ST_NOT_FOUND : ST_CONFLICT;
      if (o != NULL)
        _hst_object_reply (ctx, call, o, reply);
      return;
    }
  if (o == NULL)
    {
      o = talloc_zero (h, hst_object_t);
      g_tree_insert (h->objects, g_strdup (call->name), o);
    }
  o->version = ++h->revision;
  o->at = h->now;
  o->value = buf_copy (h, call->value);
  _hst_object_reply (ctx, call, o, reply);
}

static gboolean
_hst_vm_add (gpointer key, gpointer value, gpointer data)
{
  _hst_list_t *l = data;
  const hst_object_t *o = value;
  if (!g_str_has_prefix (key, "vms/") || o->at > l->until)
    return FALSE;
  char **words = g_strsplit (o->value.p, " ", 3);
  ev_platform_t *reply = l->reply;
  ev_vm_t *vms = talloc_realloc (l->ctx, (ev_vm_t *)(uintptr_t)reply->vms,
                                 ev_vm_t, reply->vm_count + 1);
  vms[reply->vm_count++]
      = (ev_vm_t){ .vm = talloc_strdup (l->ctx, (char *)key + 4),
                   .data_centre = talloc_strdup (l->ctx, words[0]),
                   .address = talloc_strdup (l->ctx, words[1]),
                   .worker = strcmp (words[2], "worker") == 0 };
  reply->vms = vms;
  g_strfreev (words);
  return FALSE;
}

/* The remaining cold time that the list gives for UPSTREAM. */
static clk_ms_t
_hst_cold_listed (const hst_t *h, size_t upstream)
{
  const hst_cold_t *c = &h->cold[upstream];
  if (!c->listed)
    return 0;
  return c->malformed ? -1 : clk_max (c->until - h->now, 0);
}

static void
_hst_upstreams (const hst_t *h, void *ctx, ev_platform_t *reply)
{
  ev_upstream_entry_t *v
      = talloc_zero_array (ctx, ev_upstream_entry_t, HST_MAX);
  for (size_t i = 0; i < h->desc.upstreams; i++)
    v[i] = (ev_upstream_entry_t){
      .name = talloc_asprintf (ctx, "up-%zu", i),
      .deployment
      = i + h->desc.second_upstreams < h->desc.upstreams ? "llm" : "second",
      .data_centre
      = i + h->desc.far_upstreams < h->desc.upstreams ? "north" : "south",
      .address = talloc_asprintf (ctx, "10.0.0.%zu:80", i),
      .born = (uint64_t)h->born[i],
      .version = h->version[i],
      .leaving = h->leaving[i],
      .cold_ms = _hst_cold_listed (h, i),
      .deleted = h->unlisted[i],
    };
  reply->entries = v;
  reply->entry_count = h->desc.upstreams;
}

void
hst_evacuate (hst_t *h, const char *name, bool evacuated)
{
  size_t i = 0;
  while (i < h->evacuation_count && strcmp (h->evacuations[i].name, name) != 0)
    i++;
  h->evacuations[i] = (ev_object_t){ .name = name, .deleted = !evacuated };
  h->evacuation_count = MAX (h->evacuation_count, i + 1);
  h->evacuation_revision = ++h->revision;
}

bool
hst_store_is_waiting (const hst_t *h, const fx_platform_t *c)
{
  if (c->revision == 0)
    return false;
  if (c->op == FX_PLATFORM_DOCUMENT)
    return h->document_watch_lost || h->document_revision <= c->revision;
  if (c->revision < h->compacted)
    return false;
  if (c->op == FX_PLATFORM_UPSTREAMS)
    return h->born_revision <= c->revision;
  if (c->op == FX_PLATFORM_EVACUATIONS)
    return h->evacuation_revision <= c->revision;
  return h->revision <= c->revision;
}

void
hst_store_serve (hst_t *h, void *ctx, const fx_platform_t *c,
                 ev_platform_t *reply)
{
  /* The list of VMs is read with stale answers only. */
  bool stale = c->allow_stale || c->op == FX_PLATFORM_VMS;
  _hst_list_t list = { .ctx = ctx,
                       .call = c,
                       .reply = reply,
                       .until = h->now - (stale ? h->stale_ms : 0) };
  reply->code = ST_OK;
  reply->revision = h->revision;
  if (stale)
    g_tree_foreach (h->objects, _hst_hidden_skip, &list);
  if (c->revision != 0 && c->revision < h->compacted
      && c->op != FX_PLATFORM_DOCUMENT)
    {
      reply->code = ST_STALE;
      return;
    }
  switch (c->op)
    {
    case FX_PLATFORM_GET:
      _hst_get (h, ctx, c, reply);
      break;
    case FX_PLATFORM_PUT:
      _hst_put (h, ctx, c, reply);
      break;
    case FX_PLATFORM_LIST:
    case FX_PLATFORM_WATCH:
      g_tree_foreach (h->objects, _hst_list_add, &list);
      break;
    case FX_PLATFORM_VMS:
      g_tree_foreach (h->objects, _hst_vm_add, &list);
      break;
    case FX_PLATFORM_DOCUMENT:
      if (c->revision == 0 || h->document_revision > c->revision)
        reply->document = &h->document;
      break;
    case FX_PLATFORM_UPSTREAMS:
      if (c->revision == 0 || h->born_revision > c->revision)
        _hst_upstreams (h, ctx, reply);
      break;
    case FX_PLATFORM_EVACUATIONS:
      reply->objects = h->evacuations;
      reply->object_count = h->evacuation_count;
      break;
    case FX_PLATFORM_RETIREMENT:
      if (!h->vm[hst_vm_index (h, c->name)].retire)
        reply->code = ST_NOT_FOUND;
      break;
    case FX_PLATFORM_RETIRED:
      h->vm[hst_vm_index (h, c->name)].retired = true;
      break;
    case FX_PLATFORM_DELETE:
      reply->code = ST_NOT_FOUND;
      break;
    }
}

void
hst_platform_silent (hst_t *h, bool silent)
{
  h->platform_silent = silent;
}

void
hst_platform_stale (hst_t *h, clk_ms_t ms)
{
  h->stale_ms = ms;
}

void
hst_platform_slow (hst_t *h, clk_ms_t ms)
{
  h->platform_ms = ms;
}

void
hst_platform_refuse (hst_t *h, const char *prefix)
{
  h->refused_prefix = prefix;
}

void
hst_evacuations_refuse (hst_t *h, bool refused)
{
  h->evacuations_refused = refused;
}

void
hst_compact (hst_t *h)
{
  h->compacted = ++h->revision;
  h->document_watch_lost = true;
}

void
hst_object_write (hst_t *h, const char *name, buf_t value)
{
  ev_platform_t reply = { 0 };
  void *ctx = talloc_new (NULL);
  _hst_put (
      h, ctx,
      &(fx_platform_t){ .op = FX_PLATFORM_PUT, .name = name, .value = value },
      &reply);
  talloc_free (ctx);
}

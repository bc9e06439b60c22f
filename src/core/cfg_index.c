#include "core/cfg_index.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

/* Size in bytes of the buffer for "METHOD PATH" during a lookup. */
#define CFG_ROUTE_NAME_SIZE 4096

struct cfg_index
{
  GHashTable *table[CFG_INDEX_NUM]; /**< name -> position + 1 */
};

static int
_cfg_index_destroy (cfg_index_t *index)
{
  for (int i = 0; i < CFG_INDEX_NUM; i++)
    g_hash_table_destroy (index->table[i]);
  return 0;
}

cfg_index_t *
cfg_index_setup (cfg_doc_t *doc)
{
  cfg_index_t *index = talloc_zero (doc, cfg_index_t);
  for (int i = 0; i < CFG_INDEX_NUM; i++)
    index->table[i] = g_hash_table_new (g_str_hash, g_str_equal);
  talloc_set_destructor (index, _cfg_index_destroy);
  return index;
}

bool
cfg_index_add (cfg_index_t *index, cfg_index_kind_t kind, const char *name,
               size_t position)
{
  GHashTable *table = index->table[kind];
  if (g_hash_table_contains (table, name))
    return false;
  g_hash_table_insert (table, (gpointer)(uintptr_t)name,
                       GSIZE_TO_POINTER (position + 1));
  return true;
}

bool
cfg_index_get (const cfg_index_t *index, cfg_index_kind_t kind,
               const char *name, size_t *position)
{
  size_t found
      = GPOINTER_TO_SIZE (g_hash_table_lookup (index->table[kind], name));
  if (found == 0)
    return false;
  *position = found - 1;
  return true;
}

const cfg_data_centre_t *
cfg_data_centre_find (const cfg_doc_t *doc, const char *name)
{
  size_t i;
  return cfg_index_get (doc->index, CFG_INDEX_DATA_CENTRE, name, &i)
             ? &doc->data_centres[i]
             : NULL;
}

const cfg_customer_t *
cfg_customer_find (const cfg_doc_t *doc, const char *name)
{
  size_t i;
  return cfg_index_get (doc->index, CFG_INDEX_CUSTOMER, name, &i)
             ? &doc->customers[i]
             : NULL;
}

const cfg_deployment_t *
cfg_deployment_find (const cfg_doc_t *doc, const char *name)
{
  size_t i;
  return cfg_index_get (doc->index, CFG_INDEX_DEPLOYMENT, name, &i)
             ? &doc->deployments[i]
             : NULL;
}

const cfg_upstream_t *
cfg_upstream_find (const cfg_doc_t *doc, const char *name)
{
  size_t i;
  return cfg_index_get (doc->index, CFG_INDEX_UPSTREAM, name, &i)
             ? &doc->upstreams[i]
             : NULL;
}

const cfg_key_t *
cfg_key_find (const cfg_doc_t *doc, const char *sha256)
{
  size_t i;
  return cfg_index_get (doc->index, CFG_INDEX_SHA256, sha256, &i)
             ? &doc->keys[i]
             : NULL;
}

const cfg_key_t *
cfg_key_find_name (const cfg_doc_t *doc, const char *name)
{
  size_t i;
  return cfg_index_get (doc->index, CFG_INDEX_KEY, name, &i) ? &doc->keys[i]
                                                             : NULL;
}

/* Replace the last part of the path in NAME by a star, so that
   "METHOD /a/b/c" becomes "METHOD /a/b" plus a slash and star; false when no
   part is left. */
static bool
_cfg_route_widen (char *name, size_t method_length)
{
  char *path = name + method_length + 1;
  size_t n = strlen (path);
  if (g_str_has_suffix (path, "/*"))
    path[n - 2] = '\0';
  char *slash = strrchr (path, '/');
  if (slash == NULL)
    return false;
  memcpy (slash, "/*", 3);
  return true;
}

const cfg_route_t *
cfg_route_find (const cfg_doc_t *doc, const char *method, const char *path)
{
  char name[CFG_ROUTE_NAME_SIZE];
  int n = g_snprintf (name, sizeof name - 2, "%s %s", method, path);
  if (n < 0 || (size_t)n >= sizeof name - 2)
    return NULL;
  size_t i;
  if (cfg_index_get (doc->index, CFG_INDEX_ROUTE, name, &i)
      && !g_str_has_suffix (path, "/*"))
    return &doc->routes[i];
  while (_cfg_route_widen (name, strlen (method)))
    {
      if (cfg_index_get (doc->index, CFG_INDEX_ROUTE, name, &i))
        return &doc->routes[i];
    }
  return NULL;
}

const cfg_route_t *
cfg_route_find_by_host (const cfg_doc_t *doc, const char *host,
                        const char *method, const char *path)
{
  const cfg_route_t *route = NULL;
  if (host != NULL)
    route = cfg_route_find (doc, host, path);
  return route != NULL ? route : cfg_route_find (doc, method, path);
}

const char *
cfg_route_deployment_pick (const cfg_route_t *route, double at)
{
  double sum = 0;
  for (size_t i = 0; i < route->share_count; i++)
    sum += route->shares[i].weight;
  if (sum <= 0)
    return route->deployment;
  double left = at * sum;
  size_t i = 0;
  while (i + 1 < route->share_count && left >= route->shares[i].weight)
    left -= route->shares[i++].weight;
  return route->shares[i].deployment;
}

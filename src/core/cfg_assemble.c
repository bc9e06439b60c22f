/** @file
 * Configuration document (cfg): makes a document from arrays that another
 * module has decoded.
 */
#include "core/cfg_index.h"

#include <talloc.h>

/* A document under construction. */
typedef struct
{
  cfg_doc_t *doc;
  void *ctx; /**< owns the faults */
  cfg_faults_t *faults;
} _cfg_assembly_t;

static const char *
_cfg_str_copy (const cfg_doc_t *doc, const char *s)
{
  return talloc_strdup (doc, s == NULL ? "" : s);
}

static void
_cfg_assembly_fault (_cfg_assembly_t *a, const char *kind, const char *name,
                     const char *found, const char *expected)
{
  cfg_fault_add (
      a->ctx, a->faults,
      &(cfg_fault_t){ .section = talloc_asprintf (a->ctx, "%s %s", kind, name),
                      .key = "",
                      .found = found,
                      .expected = expected });
}

static void
_cfg_assembly_index_add (_cfg_assembly_t *a, cfg_index_kind_t index,
                         const char *kind, const char *name, size_t at)
{
  if (!cfg_index_add (a->doc->index, index, name, at))
    _cfg_assembly_fault (a, kind, name, name, "a name that occurs only once");
}

static void
_cfg_assembly_reference_check (_cfg_assembly_t *a, cfg_index_kind_t index,
                               const char *kind, const char *name,
                               const char *to)
{
  size_t at;
  if (!cfg_index_get (a->doc->index, index, to, &at))
    _cfg_assembly_fault (a, kind, name, to, "an existing name");
}

static void
_cfg_assemble_data_centres (_cfg_assembly_t *a, const cfg_doc_t *parts)
{
  cfg_doc_t *doc = a->doc;
  doc->data_centres
      = talloc_memdup (doc, parts->data_centres,
                       parts->data_centre_count * sizeof *parts->data_centres);
  doc->data_centre_count = parts->data_centre_count;
  for (size_t i = 0; i < doc->data_centre_count; i++)
    {
      cfg_data_centre_t *d = &doc->data_centres[i];
      d->name = _cfg_str_copy (doc, d->name);
      d->owner = _cfg_str_copy (doc, d->owner);
      _cfg_assembly_index_add (a, CFG_INDEX_DATA_CENTRE, "data-centre",
                               d->name, i);
    }
}

static void
_cfg_assemble_customers (_cfg_assembly_t *a, const cfg_doc_t *parts)
{
  cfg_doc_t *doc = a->doc;
  doc->customers = talloc_memdup (
      doc, parts->customers, parts->customer_count * sizeof *parts->customers);
  doc->customer_count = parts->customer_count;
  for (size_t i = 0; i < doc->customer_count; i++)
    {
      cfg_customer_t *c = &doc->customers[i];
      c->name = _cfg_str_copy (doc, c->name);
      c->owner = _cfg_str_copy (doc, c->owner);
      _cfg_assembly_index_add (a, CFG_INDEX_CUSTOMER, "customer", c->name, i);
    }
}

static void
_cfg_assemble_keys (_cfg_assembly_t *a, const cfg_doc_t *parts)
{
  cfg_doc_t *doc = a->doc;
  doc->keys = talloc_memdup (doc, parts->keys,
                             parts->key_count * sizeof *parts->keys);
  doc->key_count = parts->key_count;
  for (size_t i = 0; i < doc->key_count; i++)
    {
      cfg_key_t *k = &doc->keys[i];
      k->name = _cfg_str_copy (doc, k->name);
      k->owner = _cfg_str_copy (doc, k->owner);
      k->customer = _cfg_str_copy (doc, k->customer);
      k->sha256 = _cfg_str_copy (doc, k->sha256);
      _cfg_assembly_index_add (a, CFG_INDEX_KEY, "key", k->name, i);
      _cfg_assembly_index_add (a, CFG_INDEX_SHA256, "key", k->sha256, i);
      _cfg_assembly_reference_check (a, CFG_INDEX_CUSTOMER, "key", k->name,
                                     k->customer);
    }
}

static void
_cfg_assemble_deployments (_cfg_assembly_t *a, const cfg_doc_t *parts)
{
  cfg_doc_t *doc = a->doc;
  doc->deployments
      = talloc_memdup (doc, parts->deployments,
                       parts->deployment_count * sizeof *parts->deployments);
  doc->deployment_count = parts->deployment_count;
  for (size_t i = 0; i < doc->deployment_count; i++)
    {
      cfg_deployment_t *d = &doc->deployments[i];
      d->name = _cfg_str_copy (doc, d->name);
      d->owner = _cfg_str_copy (doc, d->owner);
      d->model = _cfg_str_copy (doc, d->model);
      _cfg_assembly_index_add (a, CFG_INDEX_DEPLOYMENT, "deployment", d->name,
                               i);
    }
}

static void
_cfg_assemble_shares (_cfg_assembly_t *a, cfg_route_t *r, const char *name)
{
  cfg_share_t *shares = talloc_array (a->doc, cfg_share_t, r->share_count + 1);
  for (size_t i = 0; i < r->share_count; i++)
    {
      shares[i] = r->shares[i];
      shares[i].deployment = _cfg_str_copy (a->doc, shares[i].deployment);
      _cfg_assembly_reference_check (a, CFG_INDEX_DEPLOYMENT, "route", name,
                                     shares[i].deployment);
    }
  r->shares = shares;
}

static void
_cfg_assemble_routes (_cfg_assembly_t *a, const cfg_doc_t *parts)
{
  cfg_doc_t *doc = a->doc;
  doc->routes = talloc_memdup (doc, parts->routes,
                               parts->route_count * sizeof *parts->routes);
  doc->route_count = parts->route_count;
  for (size_t i = 0; i < doc->route_count; i++)
    {
      cfg_route_t *r = &doc->routes[i];
      const char *name = talloc_asprintf (doc, "%s %s", r->method, r->path);
      r->method = _cfg_str_copy (doc, r->method);
      r->path = _cfg_str_copy (doc, r->path);
      r->owner = _cfg_str_copy (doc, r->owner);
      r->deployment = _cfg_str_copy (doc, r->deployment);
      _cfg_assembly_index_add (a, CFG_INDEX_ROUTE, "route", name, i);
      _cfg_assembly_reference_check (a, CFG_INDEX_DEPLOYMENT, "route", name,
                                     r->deployment);
      _cfg_assemble_shares (a, r, name);
    }
}

static void
_cfg_assemble_upstreams (_cfg_assembly_t *a, const cfg_doc_t *parts)
{
  cfg_doc_t *doc = a->doc;
  doc->upstreams = talloc_memdup (
      doc, parts->upstreams, parts->upstream_count * sizeof *parts->upstreams);
  doc->upstream_count = parts->upstream_count;
  for (size_t i = 0; i < doc->upstream_count; i++)
    {
      cfg_upstream_t *u = &doc->upstreams[i];
      u->name = _cfg_str_copy (doc, u->name);
      u->owner = _cfg_str_copy (doc, u->owner);
      u->deployment = _cfg_str_copy (doc, u->deployment);
      u->data_centre = _cfg_str_copy (doc, u->data_centre);
      u->address = _cfg_str_copy (doc, u->address);
      _cfg_assembly_index_add (a, CFG_INDEX_UPSTREAM, "upstream", u->name, i);
    }
}

st_code_t
cfg_doc_assemble (void *ctx, const cfg_doc_t *parts, cfg_doc_t **doc,
                  cfg_faults_t *faults)
{
  _cfg_assembly_t a
      = { .doc = talloc_zero (ctx, cfg_doc_t), .ctx = ctx, .faults = faults };
  a.doc->index = cfg_index_setup (a.doc);
  _cfg_assemble_data_centres (&a, parts);
  _cfg_assemble_customers (&a, parts);
  _cfg_assemble_keys (&a, parts);
  _cfg_assemble_deployments (&a, parts);
  _cfg_assemble_routes (&a, parts);
  _cfg_assemble_upstreams (&a, parts);
  if (faults->count > 0)
    {
      talloc_free (a.doc);
      return ST_INVALID;
    }
  *doc = a.doc;
  return ST_OK;
}

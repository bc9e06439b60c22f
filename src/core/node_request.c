/** @file
 * Dispatch of requests: passes each request of a caller or operator to the
 * module that handles it.
 */
#include "core/node_int.h"

#include "core/rpl.h"

#include <string.h>
#include <talloc.h>

#define NODE_BATCH_PATH "/v1/batches"

static bool
_node_is_batch (const char *path)
{
  size_t n = strlen (NODE_BATCH_PATH);
  return strncmp (path, NODE_BATCH_PATH, n) == 0
         && (path[n] == '\0' || path[n] == '/');
}

/** The route of REQ if the route is for batch jobs whose results have
 * positions, else NULL.  Sets *IS_JOB to whether REQ submits or is about such
 * a job. */
static const cfg_route_t *
_node_job_route (const node_t *n, const ev_request_t *req, bool *is_job)
{
  const cfg_doc_t *doc = node_doc (n);
  const cfg_route_t *route = NULL;
  if (doc != NULL)
    route
        = cfg_route_find_by_host (doc, req->meta.host, req->method, req->path);
  bool jobs = route != NULL && route->kind == CFG_ROUTE_JOBS;
  *is_job = jobs || req->job.op > EV_JOB_SUBMIT;
  return jobs ? route : NULL;
}

/** Check the key of a request about batch jobs and pass the request on: to
 * job.h if IS_JOB, with ROUTE (may be NULL), else to bat.h. */
static void
_node_batch (node_t *n, const ev_request_t *req, bool is_job,
             const cfg_route_t *route)
{
  const cfg_doc_t *doc = node_doc (n);
  void *tmp = talloc_new (n);
  char *presented = key_extract (tmp, req->headers, req->query);
  const cfg_key_t *key = doc == NULL || presented == NULL
                             ? NULL
                             : key_check (n->keys, n->env, doc, presented);
  if (doc == NULL)
    rpl_error (n->env, req->caller,
               &(rpl_error_t){ .status = 503,
                               .code = "no-configuration",
                               .message = "no configuration is in force yet",
                               .retry_after_ms = CLK_SECOND });
  else if (key == NULL)
    rpl_error (n->env, req->caller,
               &(rpl_error_t){ .status = 401,
                               .code = "unauthorized",
                               .message = "expected a known key" });
  else if (is_job)
    job_request (n->job, n->env, key->customer, route, req);
  else if (!bat_request (n->bat, n->env, key->customer, req))
    rpl_error (n->env, req->caller,
               &(rpl_error_t){ .status = 404,
                               .code = "no-route",
                               .message = "no such route" });
  talloc_free (tmp);
}

void
node_mods_request (node_t *n, const ev_request_t *req)
{
  if (opr_request (n->opr, n->env, req, node_doc (n) != NULL))
    return;
  if (n->source == NODE_SOURCE_PLATFORM && n->state == NODE_STARTING)
    {
      rpl_error (n->env, req->caller,
                 &(rpl_error_t){ .status = 503,
                                 .code = "starting",
                                 .message = "this VM has just started",
                                 .retry_after_ms = RPL_RETRY_ELSEWHERE_MS });
      return;
    }
  bool is_job;
  const cfg_route_t *route = _node_job_route (n, req, &is_job);
  if (is_job || _node_is_batch (req->path))
    _node_batch (n, req, is_job, route);
  else
    onl_request (n->onl, n->env, req);
}

void
node_mods_caller_gone (node_t *n, uint64_t caller)
{
  opr_caller_gone (n->opr, caller);
  onl_caller_gone (n->onl, n->env, caller);
  bat_caller_gone (n->bat, n->env, caller);
  job_caller_gone (n->job, caller);
}

#include "io/pcl.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <talloc.h>

/* Time for the response to a watch to arrive after the requested wait. */
#define PCL_WATCH_MARGIN_MS (2 * CLK_SECOND)

/* -- requests ------------------------------------------------------------- */

static char *
_pcl_escape (void *ctx, const char *name)
{
  char *escaped = g_uri_escape_string (name, "/", false);
  char *copy = talloc_strdup (ctx, escaped);
  g_free (escaped);
  return copy;
}

void
pcl_request_encode (void *ctx, const fx_platform_t *p, hcl_call_t *call)
{
  char *name = _pcl_escape (ctx, p->name == NULL ? "" : p->name);
  call->method = "GET";
  call->total_ms = p->timeout_ms;
  switch (p->op)
    {
    case FX_PLATFORM_GET:
      call->path = talloc_asprintf (ctx, "/v1/objects/%s", name);
      break;
    case FX_PLATFORM_PUT:
      call->method = "PUT";
      call->body = p->value;
      call->path = talloc_asprintf (ctx, "/v1/objects/%s?if_version=%llu",
                                    name, (unsigned long long)p->if_version);
      break;
    case FX_PLATFORM_DELETE:
      call->method = "DELETE";
      call->path = talloc_asprintf (ctx, "/v1/objects/%s?if_version=%llu",
                                    name, (unsigned long long)p->if_version);
      break;
    case FX_PLATFORM_LIST:
      call->path = talloc_asprintf (ctx, "/v1/objects?prefix=%s", name);
      break;
    case FX_PLATFORM_WATCH:
      call->path = talloc_asprintf (
          ctx, "/v1/watch?prefix=%s&after=%llu&wait_ms=%lld", name,
          (unsigned long long)p->revision, (long long)p->timeout_ms);
      call->total_ms = p->timeout_ms + PCL_WATCH_MARGIN_MS;
      break;
    case FX_PLATFORM_VMS:
    /* Only a node with a hosted configuration uses these operations. */
    case FX_PLATFORM_DOCUMENT:
    case FX_PLATFORM_UPSTREAMS:
    case FX_PLATFORM_EVACUATIONS:
    case FX_PLATFORM_RETIREMENT:
    case FX_PLATFORM_RETIRED:
      call->path = "/v1/vms";
      break;
    }
}

/* -- responses ------------------------------------------------------------ */

static const char *
_pcl_string (void *ctx, json_t *object, const char *key)
{
  const char *value = json_string_value (json_object_get (object, key));
  return talloc_strdup (ctx, value == NULL ? "" : value);
}

/* Returns the value of a listed OBJECT, which the response encodes in base64
 * because values may contain any bytes. */
static buf_t
_pcl_value (void *ctx, json_t *object)
{
  const char *text = json_string_value (json_object_get (object, "value"));
  gsize n = 0;
  guchar *bytes = g_base64_decode (text == NULL ? "" : text, &n);
  buf_t value = buf_copy (ctx, (buf_t){ .p = (char *)bytes, .n = n });
  g_free (bytes);
  return value;
}

static void
_pcl_objects (void *ctx, json_t *root, ev_platform_t *reply)
{
  json_t *array = json_object_get (root, "objects");
  size_t n = json_array_size (array);
  ev_object_t *objects = talloc_zero_array (ctx, ev_object_t, n);
  for (size_t i = 0; i < n; i++)
    {
      json_t *o = json_array_get (array, i);
      objects[i] = (ev_object_t){
        .name = _pcl_string (ctx, o, "name"),
        .version
        = (uint64_t)json_integer_value (json_object_get (o, "version")),
        .value = _pcl_value (ctx, o),
        .deleted = json_is_true (json_object_get (o, "deleted")),
      };
    }
  reply->objects = objects;
  reply->object_count = n;
  reply->revision
      = (uint64_t)json_integer_value (json_object_get (root, "revision"));
}

static void
_pcl_vms (void *ctx, json_t *root, ev_platform_t *reply)
{
  json_t *array = json_object_get (root, "vms");
  size_t n = json_array_size (array);
  ev_vm_t *vms = talloc_zero_array (ctx, ev_vm_t, n);
  for (size_t i = 0; i < n; i++)
    {
      json_t *o = json_array_get (array, i);
      vms[i] = (ev_vm_t){
        .vm = _pcl_string (ctx, o, "vm"),
        .data_centre = _pcl_string (ctx, o, "data_centre"),
        .address = _pcl_string (ctx, o, "address"),
        .leaving = json_is_true (json_object_get (o, "leaving")),
      };
    }
  reply->vms = vms;
  reply->vm_count = n;
}

static void
_pcl_json (void *ctx, fx_platform_op_t op, buf_t body, ev_platform_t *reply)
{
  json_t *root = json_loadb (body.p, body.n, 0, NULL);
  if (root == NULL)
    reply->code = ST_UNAVAILABLE;
  else if (op == FX_PLATFORM_VMS)
    _pcl_vms (ctx, root, reply);
  else
    _pcl_objects (ctx, root, reply);
  json_decref (root);
}

static void
_pcl_object (void *ctx, const char *name, http_headers_t headers, buf_t value,
             ev_platform_t *reply)
{
  const char *version = http_header_find (headers, "X-Version");
  ev_object_t *object = talloc_zero (ctx, ev_object_t);
  object->name = name;
  object->version = version == NULL ? 0 : strtoull (version, NULL, 10);
  object->value = value;
  reply->objects = object;
  reply->object_count = 1;
}

static st_code_t
_pcl_code (fx_platform_op_t op, int status)
{
  switch (status)
    {
    case 200:
      return ST_OK;
    case 404:
      return ST_NOT_FOUND;
    case 409:
      return ST_CONFLICT;
    case 413:
      return ST_TOO_LARGE;
    case 503:
      return ST_UNAVAILABLE;
    default:
      return pcl_failure (op, EV_FAIL_UNKNOWN);
    }
}

void
pcl_response_decode (void *ctx, fx_platform_op_t op, const char *name,
                     int status, http_headers_t headers, buf_t body,
                     ev_platform_t *reply)
{
  reply->code = _pcl_code (op, status);
  switch (op)
    {
    case FX_PLATFORM_GET:
    case FX_PLATFORM_PUT:
    case FX_PLATFORM_DELETE:
      _pcl_object (ctx, name, headers,
                   op == FX_PLATFORM_GET ? body : (buf_t){ 0 }, reply);
      break;
    case FX_PLATFORM_LIST:
    case FX_PLATFORM_WATCH:
    case FX_PLATFORM_VMS:
    case FX_PLATFORM_DOCUMENT:
    case FX_PLATFORM_UPSTREAMS:
    case FX_PLATFORM_EVACUATIONS:
    case FX_PLATFORM_RETIREMENT:
    case FX_PLATFORM_RETIRED:
      if (reply->code == ST_OK)
        _pcl_json (ctx, op, body, reply);
      break;
    }
}

st_code_t
pcl_failure (fx_platform_op_t op, ev_fail_t fail)
{
  bool writes = op == FX_PLATFORM_PUT || op == FX_PLATFORM_DELETE;
  return writes && !ev_fail_is_unsent (fail) ? ST_UNKNOWN : ST_UNAVAILABLE;
}

/** @file
 * Check of the heads of callers' requests (core/hck.h), and of what frames
 * their bodies (RFC 9112, 6): a caller and this server that disagree about the
 * end of a body take one request for two.
 */
#include "core/hck.h"
#include "io/hsv_int.h"

#include <string.h>
#include <strings.h>
#include <talloc.h>

/* A head, collected from the library. */
typedef struct
{
  http_header_t *v;
  size_t n;
  const char *length;  /**< NULL: none */
  bool lengths_differ; /**< there are several, or it is no number */
  const char *coding;  /**< of the transfer; NULL: none */
  unsigned codings;
} _hsv_head_t;

static void
_hsv_framing_note (_hsv_head_t *h, const char *name, const char *value)
{
  if (strcasecmp (name, "Content-Length") == 0)
    {
      bool number
          = value[0] != '\0' && value[strspn (value, "0123456789")] == '\0';
      bool other = h->length != NULL && strcmp (h->length, value) != 0;
      h->lengths_differ = h->lengths_differ || !number || other;
      h->length = value;
    }
  else if (strcasecmp (name, "Transfer-Encoding") == 0)
    {
      h->coding = value;
      h->codings++;
    }
}

static enum MHD_Result
_hsv_collect (void *data, enum MHD_ValueKind kind, const char *name,
              const char *value)
{
  (void)kind;
  _hsv_head_t *h = data;
  h->v = talloc_realloc (NULL, h->v, http_header_t, h->n + 1);
  h->v[h->n] = (http_header_t){ .name = name, .value = value ? value : "" };
  _hsv_framing_note (h, name, h->v[h->n].value);
  h->n++;
  return MHD_YES;
}

/* What is wrong with the framing that H states; NULL: nothing. */
static const char *
_hsv_framing_fault (const _hsv_head_t *h, int *status)
{
  *status = MHD_HTTP_BAD_REQUEST;
  if (h->lengths_differ)
    return "header \"Content-Length\": expected one number";
  if (h->coding == NULL)
    return NULL;
  if (h->length != NULL)
    return "headers \"Content-Length\" and \"Transfer-Encoding\": expected "
           "one of them";
  if (h->codings == 1 && strcasecmp (h->coding, "chunked") == 0)
    return NULL;
  *status = MHD_HTTP_NOT_IMPLEMENTED;
  return "header \"Transfer-Encoding\": expected \"chunked\"";
}

void
hsv_head_check (hsv_request_t *r)
{
  _hsv_head_t h = { .n = 0 };
  MHD_get_connection_values (r->connection, MHD_HEADER_KIND, _hsv_collect, &h);
  const char *why = _hsv_framing_fault (&h, &r->refused_status);
  r->unframed = why != NULL;
  hck_fault_t fault = hck_request (&(hck_request_t){
      .method = r->method,
      .target = strcmp (r->target, "*") == 0 ? NULL : r->target,
      .headers = { .v = h.v, .n = h.n },
  });
  if (why == NULL && fault.part != NULL)
    why = hck_describe (r, &fault);
  r->refused = why;
  talloc_free (h.v);
}

enum MHD_Result
hsv_head_refuse (hsv_request_t *r)
{
  g_info ("http request-refused: status=%d why=%s", r->refused_status,
          r->refused);
  char *quoted = g_strescape (r->refused, NULL);
  char *text = talloc_asprintf (
      r,
      "{\"error\":{\"code\":\"bad-request\",\"message\":\"%s\","
      "\"run\":\"not-run\"}}",
      quoted);
  g_free (quoted);
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), text, MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (response, "Content-Type", "application/json");
  MHD_add_response_header (response, "Connection", "close");
  enum MHD_Result result = MHD_queue_response (
      r->connection, (unsigned)r->refused_status, response);
  MHD_destroy_response (response);
  return result;
}

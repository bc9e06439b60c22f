/** @file
 * Headers passed between callers and upstreams, and the prompt in a request's
 * body, which routing needs.
 */
#include "core/onl_int.h"

#include <jansson.h>
#include <string.h>
#include <strings.h>
#include <talloc.h>

/** Headers that are not passed on: they belong to one connection (RFC 9110,
 * 7.6.1) or are set here. */
static const char *const dropped[] = { "Connection",
                                       "Keep-Alive",
                                       "Proxy-Connection",
                                       "TE",
                                       "Trailer",
                                       "Transfer-Encoding",
                                       "Upgrade",
                                       "Proxy-Authenticate",
                                       "Proxy-Authorization",
                                       "Host",
                                       "Content-Length",
                                       "Expect",
                                       "Accept-Encoding",
                                       UPC_ID_HEADER };

static bool
_onl_header_dropped (const char *name)
{
  for (size_t i = 0; i < sizeof dropped / sizeof dropped[0]; i++)
    if (strcasecmp (name, dropped[i]) == 0)
      return true;
  return false;
}

/** Copy of HEADERS to be passed on, with REQUEST_ID. */
static http_headers_t
_onl_headers (void *ctx, http_headers_t headers, const char *request_id)
{
  http_header_t *v = talloc_array (ctx, http_header_t, headers.n + 1);
  size_t n = 0;
  for (size_t i = 0; i < headers.n; i++)
    {
      if (_onl_header_dropped (headers.v[i].name))
        continue;
      v[n].name = talloc_strdup (v, headers.v[i].name);
      v[n].value = talloc_strdup (v, headers.v[i].value);
      n++;
    }
  v[n++] = (http_header_t){ .name = UPC_ID_HEADER,
                            .value = talloc_strdup (v, request_id) };
  return (http_headers_t){ .v = v, .n = n };
}

http_headers_t
onl_request_headers (void *ctx, http_headers_t headers, const char *request_id)
{
  return _onl_headers (ctx, headers, request_id);
}

http_headers_t
onl_response_headers (void *ctx, http_headers_t headers,
                      const char *request_id)
{
  return _onl_headers (ctx, headers, request_id);
}

bool
onl_header_is (http_headers_t headers, const char *name, const char *start)
{
  const char *value = http_header_find (headers, name);
  return value != NULL && strncasecmp (value, start, strlen (start)) == 0;
}

/** The prompt, or the contents of all messages, as one text, to be freed with
 * g_string_free. */
static GString *
_onl_prompt (const json_t *body)
{
  GString *text
      = g_string_new (json_string_value (json_object_get (body, "prompt")));
  const json_t *messages = json_object_get (body, "messages");
  size_t i;
  json_t *message;
  json_array_foreach (messages, i, message)
  {
    const char *content
        = json_string_value (json_object_get (message, "content"));
    if (i > 0)
      g_string_append_c (text, '\n');
    if (content != NULL)
      g_string_append (text, content);
  }
  return text;
}

uint64_t
onl_prompt_prefix (buf_t body, bool *stream)
{
  json_t *o = json_loadb (body.p, body.n, 0, NULL);
  *stream = json_is_true (json_object_get (o, "stream"));
  GString *prompt = _onl_prompt (o);
  uint64_t prefix = 0;
  if (prompt->len > 0)
    prefix = rte_prefix ((buf_t){ .p = prompt->str, .n = prompt->len });
  g_string_free (prompt, TRUE);
  json_decref (o);
  return prefix;
}

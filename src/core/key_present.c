/* Keys in requests: finds the key that a caller presents, and removes keys
 * from what is sent upstream. */
#include "core/key.h"

#include <glib.h>
#include <string.h>
#include <strings.h>
#include <talloc.h>

#define KEY_BEARER "Bearer "
#define KEY_HEADER "X-Api-Key"
#define KEY_FIELD "api_key"

void
key_hash (const char *presented, char hash[KEY_HASH_SIZE + 1])
{
  char *hex = g_compute_checksum_for_string (G_CHECKSUM_SHA256, presented, -1);
  g_strlcpy (hash, hex, KEY_HASH_SIZE + 1);
  g_free (hex);
}

/* One field of a query: [p, p + n). */
typedef struct
{
  const char *p;
  size_t n;
} _key_field_t;

/* Takes the field at *AT and moves *AT past it; false at the end. */
static bool
_key_field_next (const char **at, _key_field_t *field)
{
  if (*at == NULL || **at == '\0')
    return false;
  field->p = *at;
  field->n = strcspn (*at, "&");
  *at += field->n;
  if (**at == '&')
    (*at)++;
  return true;
}

/* S with "+" and percent escapes decoded, to be freed with g_free. */
static char *
_key_unescape (const char *s, size_t n)
{
  char *plain = g_strndup (s, n);
  for (char *p = plain; *p != '\0'; p++)
    {
      if (*p == '+')
        *p = ' ';
    }
  char *out = g_uri_unescape_string (plain, NULL);
  if (out == NULL)
    return plain;
  g_free (plain);
  return out;
}

static bool
_key_field_is_key (const _key_field_t *field)
{
  const char *equals = memchr (field->p, '=', field->n);
  size_t n = equals == NULL ? field->n : (size_t)(equals - field->p);
  char *name = _key_unescape (field->p, n);
  bool is = strcasecmp (name, KEY_FIELD) == 0;
  g_free (name);
  return is;
}

bool
key_in_query (const char *query)
{
  _key_field_t field;
  while (_key_field_next (&query, &field))
    if (_key_field_is_key (&field))
      return true;
  return false;
}

static char *
_key_trimmed (void *ctx, const char *s)
{
  s += strspn (s, " \t");
  size_t n = strlen (s);
  while (n > 0 && (s[n - 1] == ' ' || s[n - 1] == '\t'))
    n--;
  return n == 0 ? NULL : talloc_strndup (ctx, s, n);
}

static char *
_key_extract_query (void *ctx, const char *query)
{
  _key_field_t field;
  while (_key_field_next (&query, &field))
    {
      const char *equals = memchr (field.p, '=', field.n);
      if (equals == NULL || !_key_field_is_key (&field))
        continue;
      char *value = _key_unescape (equals + 1,
                                   field.n - (size_t)(equals + 1 - field.p));
      char *key = _key_trimmed (ctx, value);
      g_free (value);
      return key;
    }
  return NULL;
}

char *
key_extract (void *ctx, http_headers_t headers, const char *query)
{
  const char *value = http_header_find (headers, "Authorization");
  size_t n = strlen (KEY_BEARER);
  if (value != NULL && strncasecmp (value, KEY_BEARER, n) == 0)
    return _key_trimmed (ctx, value + n);
  value = http_header_find (headers, KEY_HEADER);
  if (value != NULL)
    return _key_trimmed (ctx, value);
  return _key_extract_query (ctx, query);
}

static bool
_key_text_contains (const char *text, const char *presented)
{
  return presented != NULL && presented[0] != '\0'
         && strstr (text, presented) != NULL;
}

http_headers_t
key_strip_headers (void *ctx, http_headers_t headers, const char *presented)
{
  http_header_t *v = talloc_array (ctx, http_header_t, headers.n + 1);
  http_headers_t out = { .v = v };
  for (size_t i = 0; i < headers.n; i++)
    {
      const http_header_t *h = &headers.v[i];
      if (strcasecmp (h->name, "Authorization") != 0
          && strcasecmp (h->name, KEY_HEADER) != 0
          && !_key_text_contains (h->value, presented))
        v[out.n++] = *h;
    }
  return out;
}

char *
key_strip_query (void *ctx, const char *query, const char *presented)
{
  char *out = talloc_strdup (ctx, "");
  _key_field_t field;
  while (_key_field_next (&query, &field))
    {
      char *plain = _key_unescape (field.p, field.n);
      bool holds = _key_text_contains (plain, presented);
      g_free (plain);
      if (field.n > 0 && !holds && !_key_field_is_key (&field))
        out = talloc_asprintf_append (out, "%s%.*s", out[0] ? "&" : "",
                                      (int)field.n, field.p);
    }
  return out;
}

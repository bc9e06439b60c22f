/** @file
 * Configuration store (cfs): encodes and decodes the head and the parts.  They
 * are JSON, as the platform stores only text.
 */
#include "core/cfs_int.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/** Version of the format of the head. */
#define CFS_FORMAT 1

static buf_t
_cfs_json_dump (void *ctx, json_t *root)
{
  char *text = json_dumps (root, JSON_COMPACT);
  buf_t out = buf_copy (ctx, buf_str (text));
  free (text);
  json_decref (root);
  return out;
}

static uint64_t
_cfs_json_uint (const json_t *object, const char *key)
{
  json_int_t v = json_integer_value (json_object_get (object, key));
  return v < 0 ? 0 : (uint64_t)v;
}

/* The string KEY of OBJECT, owned by CTX; "" when it is missing. */
static char *
_cfs_json_str (void *ctx, const json_t *object, const char *key)
{
  const char *s = json_string_value (json_object_get (object, key));
  return talloc_strdup (ctx, s == NULL ? "" : s);
}

buf_t
cfs_head_dump (void *ctx, const cfs_head_t *head)
{
  json_t *tokens = json_array ();
  for (size_t i = 0; i < head->token_count; i++)
    json_array_append_new (
        tokens, json_pack ("{s:s, s:I}", "token", head->tokens[i].token,
                           "version", (json_int_t)head->tokens[i].version));
  json_t *parts = json_array ();
  for (unsigned b = 0; b < CFS_BUCKETS; b++)
    {
      const cfs_part_t *part = &head->parts[b];
      char digest[17];
      g_snprintf (digest, sizeof digest, "%016" G_GINT64_MODIFIER "x",
                  part->digest);
      json_array_append_new (
          parts,
          json_pack ("{s:s, s:I, s:s}", "name", part->name, "version",
                     (json_int_t)part->object_version, "digest", digest));
    }
  return _cfs_json_dump (
      ctx, json_pack ("{s:i, s:I, s:s, s:o, s:o}", "format", CFS_FORMAT,
                      "version", (json_int_t)head->version, "writer",
                      head->writer, "tokens", tokens, "parts", parts));
}

static bool
_cfs_head_fill (cfs_head_t *h, const json_t *root)
{
  const json_t *tokens = json_object_get (root, "tokens");
  const json_t *parts = json_object_get (root, "parts");
  h->version = _cfs_json_uint (root, "version");
  h->writer = _cfs_json_str (h, root, "writer");
  h->token_count = json_array_size (tokens);
  if (_cfs_json_uint (root, "format") != CFS_FORMAT || h->version == 0
      || h->token_count > CFS_TOKENS_MAX
      || json_array_size (parts) != CFS_BUCKETS)
    return false;
  for (size_t i = 0; i < h->token_count; i++)
    {
      const json_t *token = json_array_get (tokens, i);
      h->tokens[i].token = _cfs_json_str (h, token, "token");
      h->tokens[i].version = _cfs_json_uint (token, "version");
    }
  for (unsigned b = 0; b < CFS_BUCKETS; b++)
    {
      const json_t *part = json_array_get (parts, b);
      h->parts[b].name = _cfs_json_str (h, part, "name");
      h->parts[b].object_version = _cfs_json_uint (part, "version");
      h->parts[b].digest
          = g_ascii_strtoull (_cfs_json_str (h, part, "digest"), NULL, 16);
    }
  return true;
}

bool
cfs_head_parse (void *ctx, const ev_object_t *object, cfs_head_t **head)
{
  json_t *root = json_loadb (object->value.p, object->value.n, 0, NULL);
  cfs_head_t *h = talloc_zero (ctx, cfs_head_t);
  h->object_version = object->version;
  bool valid = root != NULL && _cfs_head_fill (h, root);
  json_decref (root);
  if (valid)
    *head = h;
  else
    talloc_free (h);
  return valid;
}

cfs_head_t *
cfs_head_copy (void *ctx, const cfs_head_t *head)
{
  cfs_head_t *h = talloc (ctx, cfs_head_t);
  *h = *head;
  h->writer = talloc_strdup (h, head->writer);
  for (size_t i = 0; i < h->token_count; i++)
    h->tokens[i].token = talloc_strdup (h, head->tokens[i].token);
  for (unsigned b = 0; b < CFS_BUCKETS; b++)
    h->parts[b].name = talloc_strdup (h, head->parts[b].name);
  return h;
}

uint64_t
cfs_head_token_version (const cfs_head_t *head, const char *token)
{
  for (size_t i = 0; i < head->token_count; i++)
    {
      if (strcmp (head->tokens[i].token, token) == 0)
        return head->tokens[i].version;
    }
  return 0;
}

buf_t
cfs_part_dump (void *ctx, const cfs_records_t *records)
{
  json_t *root = json_array ();
  for (size_t i = 0; i < records->count; i++)
    json_array_append_new (
        root, json_pack ("{s:s, s:s, s:I}", "name", records->v[i].name, "text",
                         records->v[i].text, "version",
                         (json_int_t)records->v[i].version));
  return _cfs_json_dump (ctx, root);
}

bool
cfs_part_parse (void *ctx, buf_t value, cfs_records_t *records)
{
  json_t *root = json_loadb (value.p, value.n, 0, NULL);
  bool valid = json_is_array (root);
  records->count = json_array_size (root);
  records->v = talloc_array (ctx, cfs_record_t, records->count + 1);
  for (size_t i = 0; i < records->count; i++)
    {
      const json_t *o = json_array_get (root, i);
      records->v[i] = (cfs_record_t){
        .name = _cfs_json_str (ctx, o, "name"),
        .text = _cfs_json_str (ctx, o, "text"),
        .version = _cfs_json_uint (o, "version"),
      };
    }
  json_decref (root);
  return valid;
}

#include "core/bat_int.h"
#include "core/hck.h"

#include <string.h>
#include <talloc.h>

#define BAT_METHOD_DEFAULT "POST"
#define BAT_PATH_DEFAULT "/v1/completions"
#define BAT_ITEMS_MAX 10000000

/* Distributes the items over chunks. */
typedef struct
{
  const bat_t *b;
  void *ctx;
  bat_manifest_t *m;
  bat_new_chunk_t *new_chunks;
  GString *text;  /**< items of the chunk that is being filled */
  uint32_t count; /**< number of these items */
} _bat_chunker_t;

/* Completes the current chunk. */
static void
_bat_chunker_flush (_bat_chunker_t *c)
{
  bat_manifest_t *m = c->m;
  c->new_chunks
      = talloc_realloc (c->ctx, c->new_chunks, bat_new_chunk_t, m->chunks + 1);
  m->firsts = talloc_realloc (c->ctx, m->firsts, uint32_t, m->chunks + 1);
  m->firsts[m->chunks] = m->items - c->count;
  buf_t text = { .p = c->text->str, .n = c->text->len };
  c->new_chunks[m->chunks]
      = (bat_new_chunk_t){ .text = buf_copy (c->ctx, text),
                           .first = m->items - c->count };
  m->chunks++;
  c->count = 0;
  g_string_truncate (c->text, 0);
}

/* Adds an item; completes the current chunk first if the item does not fit. */
static void
_bat_chunker_add (_bat_chunker_t *c, const char *line)
{
  size_t n = strlen (line) + 1;
  if (c->count > 0
      && (c->text->len + n > c->b->desc.chunk_bytes
          || c->count == c->b->desc.chunk_items))
    _bat_chunker_flush (c);
  g_string_append (c->text, line);
  g_string_append_c (c->text, '\n');
  c->count++;
  c->m->items++;
}

/* String value of KEY in O, or OTHERWISE. */
static const char *
_bat_member_or (json_t *o, const char *key, const char *otherwise)
{
  const char *s = json_string_value (json_object_get (o, key));
  return s == NULL ? otherwise : s;
}

static st_code_t
_bat_parse_item (_bat_chunker_t *c, json_t *o, unsigned line, st_t *st)
{
  json_t *body = json_object_get (o, "body");
  if (!json_is_object (o) || !json_is_object (body))
    return st_set (st, ST_INVALID,
                   "line %u: expected an object with an object \"body\"",
                   line);
  bat_input_t in = {
    .custom_id = _bat_member_or (o, "custom_id", NULL),
    .method = _bat_member_or (o, "method", BAT_METHOD_DEFAULT),
    .path = _bat_member_or (o, "url", BAT_PATH_DEFAULT),
  };
  const cfg_route_t *route
      = c->b->doc == NULL ? NULL
                          : cfg_route_find (c->b->doc, in.method, in.path);
  if (route == NULL)
    return st_set (st, ST_INVALID, "line %u: no route for %.16s %.80s", line,
                   in.method, in.path);
  hck_fault_t fault = hck_request (
      &(hck_request_t){ .method = in.method, .target = in.path });
  if (fault.part != NULL)
    return st_set (st, ST_INVALID, "line %u: the %s %s", line, fault.part,
                   fault.why);
  char *text = json_dumps (body, JSON_COMPACT);
  in.body = text;
  in.idempotent = route->idempotent;
  char *stored = bat_input_encode (NULL, &in);
  free (text);
  if (strlen (stored) >= c->b->desc.chunk_bytes)
    {
      talloc_free (stored);
      return st_set (st, ST_TOO_LARGE, "line %u: larger than %zu bytes", line,
                     c->b->desc.chunk_bytes);
    }
  _bat_chunker_add (c, stored);
  talloc_free (stored);
  return ST_OK;
}

static bool
_bat_is_blank (buf_t line)
{
  for (size_t i = 0; i < line.n; i++)
    {
      if (!g_ascii_isspace (line.p[i]))
        return false;
    }
  return true;
}

static st_code_t
_bat_parse_lines (_bat_chunker_t *c, buf_t body, st_t *st)
{
  buf_t line;
  for (unsigned n = 1; bat_line_next (&body, &line); n++)
    {
      if (_bat_is_blank (line))
        continue;
      json_error_t error;
      json_t *o = json_loadb (line.p, line.n, JSON_REJECT_DUPLICATES, &error);
      if (o == NULL)
        return st_set (st, ST_INVALID, "line %u: %s", n, error.text);
      st_code_t code = _bat_parse_item (c, o, n, st);
      json_decref (o);
      if (code != ST_OK)
        return code;
      if (c->m->items > BAT_ITEMS_MAX)
        return st_set (st, ST_TOO_LARGE, "more than %d items", BAT_ITEMS_MAX);
    }
  if (c->m->items == 0)
    return st_set (st, ST_INVALID, "no items: expected JSON Lines");
  _bat_chunker_flush (c);
  return ST_OK;
}

st_code_t
bat_parse (const bat_t *b, void *ctx, buf_t body, bat_new_chunk_t **new_chunks,
           bat_manifest_t *m, st_t *st)
{
  _bat_chunker_t c
      = { .b = b, .ctx = ctx, .m = m, .text = g_string_new (NULL) };
  st_code_t code = _bat_parse_lines (&c, body, st);
  g_string_free (c.text, TRUE);
  *new_chunks = c.new_chunks;
  return code;
}

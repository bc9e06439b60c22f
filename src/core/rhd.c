#include "core/rhd.h"

#include "core/hck.h"

#include <glib.h>
#include <string.h>
#include <strings.h>
#include <talloc.h>

#define RHD_VERSION "HTTP/1."
/** Digits of the largest length that any reader holds without overflow. */
#define RHD_LENGTH_DIGITS_MAX 18
/** Longest part of a line's name in a description, in bytes. */
#define RHD_NAME_SHOWN 40

typedef enum
{
  RHD_AT_STATUS,
  RHD_AT_FIELDS,
  RHD_AT_TRAILER,
} _rhd_place_t;

struct rhd
{
  rhd_desc_t desc;
  _rhd_place_t place;
  rhd_head_t head;
  http_header_t *fields; /**< of the current head; NULL: none */
  bool old;              /**< HTTP/1.0 */
  bool keeps;            /**< it says that its connection stays open */
  size_t line;           /**< number of the last line, from 1 */
  const char *why;       /**< what is wrong with it; NULL: nothing */
  char *shown;           /**< with WHY: start of that line */
};

/** Headers that may not have two values. */
static const char *const once[] = { "Content-Type", NULL };

/** Fields of an event stream, which the size of a chunk that is spoilt to 0
 * makes a trailer. */
static const char *const event_fields[]
    = { "data", "event", "id", "retry", NULL };

rhd_t *
rhd_setup (void *ctx, const rhd_desc_t *desc)
{
  rhd_t *h = talloc_zero (ctx, rhd_t);
  h->desc = *desc;
  return h;
}

static void
_rhd_clear (rhd_t *h)
{
  TALLOC_FREE (h->fields);
  h->head = (rhd_head_t){ .status = 0 };
  h->old = h->keeps = false;
}

/* -- lines ---------------------------------------------------------------- */

/** Whether LINE ends as it must; its text is returned in TEXT. */
static bool
_rhd_line_end_take (buf_t line, buf_t *text)
{
  if (line.n < 2 || memcmp (line.p + line.n - 2, "\r\n", 2) != 0)
    return false;
  *text = (buf_t){ .p = line.p, .n = line.n - 2 };
  return true;
}

static bool
_rhd_is_space (char c)
{
  return c == ' ' || c == '\t';
}

/** Reads TEXT, a status line; returns what is wrong with it. */
static const char *
_rhd_status_read (rhd_t *h, buf_t text)
{
  static const char malformed[] = "is no status line of HTTP/1.0 or 1.1";
  char *s = talloc_strndup (h, text.p, text.n);
  const char *version = s + strlen (RHD_VERSION);
  bool sound = strlen (s) == text.n && g_str_has_prefix (s, RHD_VERSION)
               && (version[0] == '0' || version[0] == '1') && version[1] == ' '
               && strspn (version + 2, "0123456789") == 3 && version[2] != '0'
               && (version[5] == '\0' || version[5] == ' ')
               && hck_value_is_valid (version + 5);
  if (sound)
    {
      h->old = version[0] == '0';
      h->head.status = (version[2] - '0') * 100 + (version[3] - '0') * 10
                       + (version[4] - '0');
    }
  talloc_free (s);
  return sound ? NULL : malformed;
}

/** Splits TEXT, a field line, into copies owned by H; returns what is wrong
 * with it. */
static const char *
_rhd_field_split (rhd_t *h, buf_t text, http_header_t *field)
{
  const char *colon = memchr (text.p, ':', text.n);
  if (memchr (text.p, '\0', text.n) != NULL)
    return "has a NUL";
  if (colon == NULL)
    return "has no colon";
  const char *from = colon + 1;
  const char *to = text.p + text.n;
  while (from < to && _rhd_is_space (*from))
    from++;
  while (to > from && _rhd_is_space (to[-1]))
    to--;
  field->name = talloc_strndup (h, text.p, (size_t)(colon - text.p));
  field->value = talloc_strndup (h, from, (size_t)(to - from));
  if (!hck_token_is_valid (field->name))
    return "has no name, or white space or another character that no name has";
  return hck_value_is_valid (field->value) ? NULL : "has a control character";
}

/* -- fields --------------------------------------------------------------- */

static bool
_rhd_is_one_of (const char *const *names, const char *name)
{
  for (; names != NULL && *names != NULL; names++)
    if (strcasecmp (*names, name) == 0)
      return true;
  return false;
}

/** Whether FIELD has a second value where there may be one. */
static bool
_rhd_differs (const rhd_t *h, const http_header_t *field)
{
  if (!_rhd_is_one_of (once, field->name)
      && !_rhd_is_one_of (h->desc.once, field->name))
    return false;
  const char *first = http_header_find (h->head.headers, field->name);
  return first != NULL && strcmp (first, field->value) != 0;
}

static const char *
_rhd_length_read (rhd_t *h, const char *value)
{
  size_t digits = strspn (value, "0123456789");
  if (digits == 0 || digits > RHD_LENGTH_DIGITS_MAX || value[digits] != '\0')
    return "has a value that is no length";
  if (h->head.has_length)
    return "is a second length";
  h->head.has_length = true;
  h->head.length = g_ascii_strtoull (value, NULL, 10);
  return NULL;
}

static const char *
_rhd_coding_read (rhd_t *h, const char *value)
{
  if (strcasecmp (value, "chunked") != 0)
    return "is not \"chunked\" alone";
  if (h->head.chunked)
    return "is a second transfer coding";
  h->head.chunked = true;
  return NULL;
}

static void
_rhd_connection_read (rhd_t *h, const char *value)
{
  gchar **options = g_strsplit (value, ",", -1);
  for (gchar **o = options; *o != NULL; o++)
    {
      const char *option = g_strstrip (*o);
      h->head.closes |= strcasecmp (option, "close") == 0;
      h->keeps |= strcasecmp (option, "keep-alive") == 0;
    }
  g_strfreev (options);
}

static bool
_rhd_is_framing (const char *name)
{
  return strcasecmp (name, "Content-Length") == 0
         || strcasecmp (name, "Transfer-Encoding") == 0;
}

/** Takes what FIELD says of the body and the connection; returns what is wrong
 * with it. */
static const char *
_rhd_field_read (rhd_t *h, const http_header_t *field)
{
  const char *why = NULL;
  if (strcasecmp (field->name, "Content-Length") == 0)
    why = _rhd_length_read (h, field->value);
  else if (strcasecmp (field->name, "Transfer-Encoding") == 0)
    why = _rhd_coding_read (h, field->value);
  else if (strcasecmp (field->name, "Content-Encoding") == 0)
    why = "is an encoding that nobody asked for";
  else if (strcasecmp (field->name, "Connection") == 0)
    _rhd_connection_read (h, field->value);
  else if (strcasecmp (field->name, "Keep-Alive") == 0)
    h->keeps = true;
  if (why != NULL)
    return why;
  if (h->head.has_length && h->head.chunked)
    return "is a length beside a transfer coding";
  return _rhd_differs (h, field) ? "has a second, different value" : NULL;
}

static void
_rhd_field_add (rhd_t *h, const http_header_t *field)
{
  size_t n = h->head.headers.n;
  /* The array's size is a power of two. */
  if ((n & (n - 1)) == 0)
    h->fields
        = talloc_realloc (h, h->fields, http_header_t, n > 0 ? 2 * n : 1);
  h->fields[n] = *field;
  talloc_steal (h->fields, field->name);
  talloc_steal (h->fields, field->value);
  h->head.headers = (http_headers_t){ .v = h->fields, .n = n + 1 };
}

/** Reads TEXT, a line of a head's fields; returns what is wrong with it. */
static const char *
_rhd_field_push (rhd_t *h, buf_t text)
{
  http_header_t field = { .name = NULL };
  const char *why = _rhd_field_split (h, text, &field);
  if (why == NULL)
    why = _rhd_field_read (h, &field);
  if (why == NULL)
    _rhd_field_add (h, &field);
  return why;
}

/** Reads TEXT, a line of the trailer, which is not used; returns what is wrong
 * with it. */
static const char *
_rhd_trailer_push (rhd_t *h, buf_t text)
{
  http_header_t field = { .name = NULL };
  const char *why = text.n == 0 ? NULL : _rhd_field_split (h, text, &field);
  if (why == NULL && field.name != NULL
      && (_rhd_is_framing (field.name) || _rhd_differs (h, &field)
          || _rhd_is_one_of (event_fields, field.name)))
    why = "may not stand in a trailer";
  talloc_free ((void *)(uintptr_t)field.name);
  talloc_free ((void *)(uintptr_t)field.value);
  return why;
}

/* -- ends ----------------------------------------------------------------- */

/** What is wrong with the head as a whole, at its empty line. */
static const char *
_rhd_end_check (const rhd_t *h)
{
  const rhd_head_t *head = &h->head;
  bool framed = head->has_length || head->chunked;
  if (head->status == 101)
    return "ends a change of protocol that nobody asked for";
  if (head->status < 200 && framed)
    return "ends an interim response with a length";
  if (head->status == 204 && (head->chunked || head->length > 0))
    return "ends a response without content that has a length";
  if (h->old && head->chunked)
    return "ends a head of HTTP/1.0 with a transfer coding";
  if (head->has_body && !framed && h->keeps && !head->closes)
    return "ends a head that keeps its connection and has no length";
  return NULL;
}

/** Reads TEXT, the line that ends the head. */
static rhd_progress_t
_rhd_end_push (rhd_t *h, buf_t text)
{
  rhd_head_t *head = &h->head;
  head->closes = head->closes || (h->old && !h->keeps);
  head->has_body = !h->desc.answers_head && head->status >= 200
                   && head->status != 204 && head->status != 304;
  h->why = text.n > 0 ? "begins with CR" : _rhd_end_check (h);
  if (h->why != NULL)
    return RHD_SPOILT;
  h->place = head->status < 200 ? RHD_AT_STATUS : RHD_AT_TRAILER;
  return head->status < 200 ? RHD_INTERIM : RHD_ENDED;
}

/** Keeps the start of LINE, up to its colon, for rhd_describe. */
static void
_rhd_show (rhd_t *h, buf_t line)
{
  const char *colon = memchr (line.p, ':', line.n);
  size_t n = colon == NULL ? line.n : (size_t)(colon - line.p);
  h->shown = talloc_strndup (h, line.p, MIN (n, RHD_NAME_SHOWN));
}

static rhd_progress_t
_rhd_text_push (rhd_t *h, buf_t text)
{
  bool ends = text.n == 0 || text.p[0] == '\r';
  switch (h->place)
    {
    case RHD_AT_STATUS:
      _rhd_clear (h);
      h->why = _rhd_status_read (h, text);
      h->place = RHD_AT_FIELDS;
      break;
    case RHD_AT_FIELDS:
      if (ends)
        return _rhd_end_push (h, text);
      h->why = _rhd_field_push (h, text);
      break;
    case RHD_AT_TRAILER:
      h->why = _rhd_trailer_push (h, text);
      break;
    }
  return h->why == NULL ? RHD_MORE : RHD_SPOILT;
}

/* -- public --------------------------------------------------------------- */

rhd_progress_t
rhd_push (rhd_t *h, buf_t line)
{
  buf_t text = { 0 };
  rhd_progress_t progress = RHD_SPOILT;
  h->line++;
  if (_rhd_line_end_take (line, &text))
    progress = _rhd_text_push (h, text);
  else
    h->why = "does not end with CR LF";
  if (progress == RHD_SPOILT)
    _rhd_show (h, line);
  return progress;
}

const rhd_head_t *
rhd_head (const rhd_t *h)
{
  return &h->head;
}

bool
rhd_is_close_delimited (const rhd_head_t *head)
{
  return head->has_body && !head->has_length && !head->chunked;
}

char *
rhd_describe (void *ctx, const rhd_t *h)
{
  if (h->why == NULL)
    return NULL;
  char *escaped = g_strescape (h->shown, NULL);
  char *text = talloc_asprintf (ctx, "line %zu, \"%s\", %s", h->line, escaped,
                                h->why);
  g_free (escaped);
  return text;
}

#include "core/opn.h"

#include "core/hck.h"

#include <glib.h>
#include <string.h>
#include <strings.h>
#include <talloc.h>

/** Longest name of a field in an opening, in bytes. */
#define OPN_NAME_MAX 64
/** Most digits of a chunk's size. */
#define OPN_SIZE_DIGITS_MAX 8

/** Headers that frame or describe a message, or speak of its connection. */
static const char *const describing[]
    = { "Content-Length",   "Transfer-Encoding", "Content-Type",
        "Content-Encoding", "Connection",        "Keep-Alive" };

/** Fields of an event stream. */
static const char *const event_fields[] = { "data", "event", "id", "retry" };

/** What an opening looks like, whatever its head says. */
typedef enum
{
  _OPN_UNDECIDED,
  _OPN_OTHER,
  _OPN_EMPTY_LINE,
  _OPN_CHUNK,           /**< a line with the size of a chunk */
  _OPN_FIELD_LINE,      /**< fields, behind which no empty line stands */
  _OPN_DESCRIBING_LINE, /**< the same, one of which describes a message */
  _OPN_FIELDS,          /**< fields up to an empty line */
  _OPN_DESCRIBING,      /**< the same, one of which describes a message */
  _OPN_KNOWN, /**< fields, the first of which only heads of upstreams have */
} _opn_look_t;

static bool
_opn_is_one_of (const char *const *names, size_t count, buf_t name)
{
  for (size_t i = 0; i < count; i++)
    if (strlen (names[i]) == name.n
        && strncasecmp (names[i], name.p, name.n) == 0)
      return true;
  return false;
}

static bool
_opn_is_token (buf_t name)
{
  char *s = g_strndup (name.p, name.n);
  bool is = strlen (s) == name.n && hck_token_is_valid (s);
  g_free (s);
  return is;
}

/** Whether LINE, without its end, is the size of a chunk. */
static bool
_opn_is_size (buf_t line)
{
  size_t n = 0;
  while (n < line.n && g_ascii_isxdigit (line.p[n]))
    n++;
  return n > 0 && n <= OPN_SIZE_DIGITS_MAX
         && (n == line.n || line.p[n] == ';');
}

/** Whether a line that begins with the bytes PART may become a field or the
 * size of a chunk. */
static bool
_opn_may_go_on (buf_t part)
{
  const char *colon = memchr (part.p, ':', part.n);
  buf_t name = { .p = part.p,
                 .n = colon == NULL ? part.n : (size_t)(colon - part.p) };
  if (name.n > OPN_NAME_MAX)
    return false;
  /* A CR, whose LF is still to come. */
  if (colon == NULL && name.n > 0 && name.p[name.n - 1] == '\r')
    name.n--;
  if (name.n == 0)
    return colon == NULL;
  if (colon != NULL
      && _opn_is_one_of (event_fields, G_N_ELEMENTS (event_fields), name))
    return false;
  return _opn_is_token (name) || _opn_is_size (name);
}

static size_t
_opn_count (const char *const *names)
{
  size_t count = 0;
  while (names != NULL && names[count] != NULL)
    count++;
  return count;
}

/** What the field NAME makes of an opening that has looked like LOOK so far;
 * _OPN_EMPTY_LINE: it is the first one. */
static _opn_look_t
_opn_field_add (_opn_look_t look, buf_t name, const char *const *known)
{
  if (look == _OPN_EMPTY_LINE
      && _opn_is_one_of (known, _opn_count (known), name))
    return _OPN_KNOWN;
  if (look == _OPN_KNOWN)
    return look;
  if (!_opn_is_one_of (describing, G_N_ELEMENTS (describing), name))
    return look == _OPN_EMPTY_LINE ? _OPN_FIELD_LINE : look;
  return _OPN_DESCRIBING_LINE;
}

/** The name of the field LINE, without its end; N is 0: it is no field. */
static buf_t
_opn_field_name (buf_t line)
{
  const char *colon = memchr (line.p, ':', line.n);
  if (colon == NULL || !_opn_may_go_on (line))
    return (buf_t){ 0 };
  return (buf_t){ .p = line.p, .n = (size_t)(colon - line.p) };
}

/** What fields that look like LOOK are with an empty line behind them. */
static _opn_look_t
_opn_close (_opn_look_t look)
{
  switch (look)
    {
    case _OPN_FIELD_LINE:
      return _OPN_FIELDS;
    case _OPN_DESCRIBING_LINE:
      return _OPN_DESCRIBING;
    default:
      return look;
    }
}

/** What fields that look like LOOK are without one. */
static _opn_look_t
_opn_break (_opn_look_t look)
{
  return look == _OPN_EMPTY_LINE ? _OPN_OTHER : look;
}

/** Looks at BYTES; with ENDED no more come.  KNOWN is as for opn_judge. */
static _opn_look_t
_opn_look (buf_t bytes, bool ended, const char *const *known)
{
  _opn_look_t look = _OPN_EMPTY_LINE;
  while (bytes.n > 0)
    {
      const char *lf = memchr (bytes.p, '\n', bytes.n);
      if (lf == NULL)
        return ended || !_opn_may_go_on (bytes) ? _opn_break (look)
                                                : _OPN_UNDECIDED;
      buf_t line = { .p = bytes.p, .n = (size_t)(lf - bytes.p) };
      if (line.n == 0 || line.p[line.n - 1] != '\r')
        return _opn_break (look);
      line.n--;
      if (line.n == 0)
        return _opn_close (look);
      if (look == _OPN_EMPTY_LINE && _opn_is_size (line))
        return _OPN_CHUNK;
      buf_t name = _opn_field_name (line);
      if (name.n == 0)
        return _opn_break (look);
      look = _opn_field_add (look, name, known);
      bytes.n -= (size_t)(lf + 1 - bytes.p);
      bytes.p = lf + 1;
    }
  return ended ? _opn_break (look) : _OPN_UNDECIDED;
}

/** Whether BYTES are the start of one of the COUNT NAMES. */
static bool
_opn_begins_one_of (const char *const *names, size_t count, buf_t bytes)
{
  for (size_t i = 0; i < count; i++)
    if (bytes.n <= strlen (names[i])
        && strncasecmp (names[i], bytes.p, bytes.n) == 0)
      return true;
  return false;
}

/** Whether BYTES, which decide nothing yet, look like a head's: no text is
 * held back at each of its words. */
static bool
_opn_is_held (buf_t bytes, const char *const *known)
{
  return memchr (bytes.p, ':', bytes.n) != NULL
         || memchr (bytes.p, '\r', bytes.n) != NULL
         || _opn_begins_one_of (describing, G_N_ELEMENTS (describing), bytes)
         || _opn_begins_one_of (known, _opn_count (known), bytes);
}

static bool
_opn_type_is (const char *type, const char *start)
{
  return type != NULL
         && g_ascii_strncasecmp (type, start, strlen (start)) == 0;
}

opn_verdict_t
opn_judge (const rhd_head_t *head, buf_t bytes, bool ended,
           const char *const *known)
{
  const char *type = http_header_find (head->headers, "Content-Type");
  /* Lines of a head are no sizes of chunks. */
  if (head->chunked)
    return OPN_BODY;
  /* Nothing says where such a body ends, nor that it ends its connection. */
  bool unframed = rhd_is_close_delimited (head) && !head->closes;
  /* The body of such a type may be a message itself. */
  bool is_message = _opn_type_is (type, "message/");
  bool last = ended || bytes.n >= OPN_BYTES_MAX;
  opn_verdict_t weak
      = _opn_type_is (type, "text/event-stream") && head->has_length
            ? OPN_HEAD
            : OPN_SUSPECT;
  switch (_opn_look (bytes, last, known))
    {
    case _OPN_UNDECIDED:
      return _opn_is_held (bytes, known) ? OPN_HOLD : OPN_PENDING;
    case _OPN_OTHER:
      return OPN_BODY;
    case _OPN_CHUNK:
      return unframed ? OPN_HEAD : OPN_BODY;
    case _OPN_EMPTY_LINE:
      return unframed ? OPN_HEAD : weak;
    case _OPN_FIELD_LINE:
      return head->has_length ? weak : OPN_BODY;
    case _OPN_DESCRIBING_LINE:
      return (unframed || type == NULL) && !is_message ? OPN_HEAD : weak;
    case _OPN_FIELDS:
      return unframed && type == NULL ? OPN_HEAD : weak;
    case _OPN_KNOWN:
      return OPN_HEAD;
    case _OPN_DESCRIBING:
      return is_message ? OPN_SUSPECT : OPN_HEAD;
    }
  return OPN_BODY;
}

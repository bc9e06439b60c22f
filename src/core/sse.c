#include "core/sse.h"

#include <string.h>

void
sse_push (sse_t *s, buf_t bytes)
{
  if (s->bytes == NULL)
    s->bytes = g_string_new (NULL);
  if (s->offset > 0)
    {
      g_string_erase (s->bytes, 0, (gssize)s->offset);
      s->offset = 0;
    }
  g_string_append_len (s->bytes, bytes.p, (gssize)bytes.n);
}

/* Stores the line at *P in LINE without its line end and advances *P; returns
 * false when the line is incomplete. */
static bool
_sse_line (const char **p, const char *end, buf_t *line)
{
  const char *stop = memchr (*p, '\n', (size_t)(end - *p));
  if (stop == NULL)
    return false;
  *line = (buf_t){ .p = *p, .n = (size_t)(stop - *p) };
  if (line->n > 0 && line->p[line->n - 1] == '\r')
    line->n--;
  *p = stop + 1;
  return true;
}

/* Stores the value of LINE in VALUE if the field is NAME; returns false
 * otherwise. */
static bool
_sse_value (buf_t line, const char *name, buf_t *value)
{
  size_t n = strlen (name);
  if (line.n <= n || memcmp (line.p, name, n) != 0 || line.p[n] != ':')
    return false;
  *value = (buf_t){ .p = line.p + n + 1, .n = line.n - n - 1 };
  if (value->n > 0 && value->p[0] == ' ')
    *value = (buf_t){ .p = value->p + 1, .n = value->n - 1 };
  return true;
}

bool
sse_pop (sse_t *s, sse_event_t *event)
{
  buf_t line;
  if (s->bytes == NULL)
    return false;
  const char *start = s->bytes->str + s->offset;
  const char *end = s->bytes->str + s->bytes->len;
  const char *p = start;
  *event = (sse_event_t){ .raw = { .p = start } };
  while (_sse_line (&p, end, &line))
    {
      if (line.n == 0)
        {
          event->raw.n = (size_t)(p - start);
          s->offset += event->raw.n;
          return true;
        }
      if (!_sse_value (line, "id", &event->id) && event->data.p == NULL)
        (void)_sse_value (line, "data", &event->data);
    }
  return false;
}

bool
sse_pending (const sse_t *s)
{
  return s->bytes != NULL && s->bytes->len > s->offset;
}

bool
sse_is_too_large (const sse_t *s)
{
  return s->bytes != NULL && s->bytes->len - s->offset > SSE_EVENT_MAX;
}

void
sse_clear (sse_t *s)
{
  if (s->bytes != NULL)
    g_string_free (s->bytes, TRUE);
  *s = (sse_t){ 0 };
}

/* Ends the current line of PLACE. */
static void
_sse_place_line_end (sse_place_t *place)
{
  if (!place->in_line)
    {
      place->events += place->in_event;
      place->in_event = false;
    }
  else if (!place->in_comment)
    place->in_event = true;
  place->in_line = false;
  place->in_comment = false;
}

static void
_sse_place_byte (sse_place_t *place, char byte)
{
  bool ends_return = byte == '\n' && place->after_return;
  place->after_return = byte == '\r';
  if (ends_return)
    return;
  if (byte == '\n' || byte == '\r')
    {
      _sse_place_line_end (place);
      return;
    }
  if (!place->in_line)
    place->in_comment = byte == ':';
  place->in_line = true;
}

void
sse_place_advance (sse_place_t *place, buf_t bytes)
{
  for (size_t i = 0; i < bytes.n; i++)
    _sse_place_byte (place, bytes.p[i]);
}

bool
sse_place_is_inside (const sse_place_t *place)
{
  return place->in_line || place->in_event;
}

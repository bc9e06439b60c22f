/** @file
 * Reading and judging an answer.
 */
#include "ask.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define HEAD_PREFIX "HTTP/1.1 "

static int
_answer_free (ask_answer_t *a)
{
  (void)g_string_free (a->body, TRUE);
  return 0;
}

/* Reads the chunks that begin at TEXT; returns their bytes with the last one,
 * 0: not whole. */
static size_t
_chunks_read (ask_answer_t *a, const char *text)
{
  const char *at = text;
  for (;;)
    {
      const char *line_end = strstr (at, "\r\n");
      char *number_end = NULL;
      size_t n = line_end == NULL ? 0 : strtoul (at, &number_end, 16);
      if (line_end == NULL)
        return 0;
      if (number_end == at)
        {
          a->extent = ASK_NO_ANSWER;
          return 0;
        }
      size_t left = strlen (line_end + 2);
      g_string_append_len (a->body, line_end + 2, (gssize)MIN (n, left));
      if (left < n + 2)
        return 0;
      at = line_end + 2 + n + 2;
      if (n == 0)
        return (size_t)(at - text);
    }
}

static void
_body_read (ask_answer_t *a, const char *head, size_t head_size,
            const GString *bytes)
{
  const char *length = wire_header (a, head, "Content-Length");
  const char *body = bytes->str + head_size;
  size_t available = bytes->len - head_size;
  size_t n = length == NULL ? 0 : strtoul (length, NULL, 10);
  if (length == NULL)
    {
      n = _chunks_read (a, body);
      if (n > 0)
        a->extent = ASK_WHOLE;
    }
  else
    {
      g_string_append_len (a->body, body, (gssize)MIN (n, available));
      a->extent = available >= n ? ASK_WHOLE : ASK_PARTIAL;
    }
  a->size = head_size + n;
}

static bool
_is_answer_prefix (const GString *bytes)
{
  return strncmp (bytes->str, HEAD_PREFIX,
                  MIN (bytes->len, strlen (HEAD_PREFIX)))
         == 0;
}

ask_answer_t *
ask_read (void *ctx, const GString *bytes)
{
  ask_answer_t *a = talloc_zero (ctx, ask_answer_t);
  a->body = g_string_new (NULL);
  talloc_set_destructor (a, _answer_free);
  const char *end = strstr (bytes->str, "\r\n\r\n");
  if (!_is_answer_prefix (bytes))
    a->extent = ASK_NO_ANSWER;
  if (a->extent == ASK_NO_ANSWER || end == NULL)
    return a;
  size_t head_size = (size_t)(end - bytes->str) + 4;
  char *head = talloc_strndup (a, bytes->str, head_size);
  const char *connection = wire_header (a, head, "Connection");
  a->status = (int)strtol (head + strlen (HEAD_PREFIX), NULL, 10);
  a->id = wire_header (a, head, "Request-Id");
  a->signature = wire_header (a, head, "Response-Signature");
  a->closes = connection != NULL && strcmp (connection, "close") == 0;
  _body_read (a, head, head_size, bytes);
  return a;
}

/* The body of a success: all events, or the first ones if it has broken off.
 */
static const char *
_body_fault (const ask_answer_t *a, const char *id, unsigned events)
{
  char *expected = wire_body (NULL, id, events);
  const char *fault = NULL;
  if (!g_str_has_prefix (expected, a->body->str))
    fault = "the body is not its own";
  else if (a->extent == ASK_WHOLE && strcmp (expected, a->body->str) != 0)
    fault = "the body looks whole and is not";
  talloc_free (expected);
  return fault;
}

const char *
ask_fault (const ask_answer_t *a, const char *id, unsigned events,
           wire_signer_t *signer)
{
  bool success = a->status >= 200 && a->status < 300;
  if (a->extent == ASK_NO_ANSWER)
    return "no answer in HTTP/1.1";
  if (a->status == 0)
    return NULL;
  if (a->id != NULL && strcmp (a->id, id) != 0)
    return "the id is another request's";
  if (a->signature != NULL && !wire_signature_read (a->signature, id, signer))
    return "the signature is another request's";
  if (!success)
    return a->signature == NULL ? NULL : "a failure with a signature";
  if (a->signature == NULL)
    return "a success without a signature";
  return _body_fault (a, id, events);
}

/** @file
 * Openings of bodies: which show that their head ended too early, and which
 * are those of sound bodies, as they come byte by byte.
 */
#include "core/opn.h"
#include "tst.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define COUNT(table) (sizeof (table) / sizeof (table)[0])

/* Heads. */
#define TEXT "Content-Type: text/plain\r\n"
#define EVENTS "Content-Type: text/event-stream\r\n"
#define MAIL "Content-Type: message/rfc822\r\n"
#define LENGTH "Content-Length: 99\r\n"
#define CHUNKS "Transfer-Encoding: chunked\r\n"
#define CLOSE "Connection: close\r\n"

typedef struct
{
  opn_verdict_t verdict; /* on the whole body */
  const char *fields;
  const char *body;
} row_t;

static const row_t rows[] = {
  /* Lines of a head. */
  { OPN_HEAD, TEXT, "Content-Length: 3\r\n\r\none" },
  { OPN_HEAD, TEXT, "content-LENGTH:3\r\n\r\n" },
  { OPN_HEAD, TEXT, "Content-Length: 3\r\n" },
  { OPN_HEAD, TEXT CLOSE, "Connection: close\r\n\r\none" },
  { OPN_HEAD, TEXT LENGTH, "Keep-Alive: timeout=10\r\n\r\none" },
  { OPN_HEAD, EVENTS, "Transfer-Encoding: chunked\r\n\r\n14\r\nid: 1\n" },
  { OPN_HEAD, TEXT, "X-Note: a\r\nContent-Length: 3\r\n\r\none" },
  { OPN_HEAD, "", "X-Note: a\r\n\r\none" },
  { OPN_HEAD, TEXT, "\r\none" },
  { OPN_HEAD, TEXT, "3\r\none\r\n0\r\n\r\n" },
  { OPN_HEAD, TEXT, "1F;x=y\r\none" },
  { OPN_HEAD, EVENTS LENGTH, "\r\nid: 1\n" },
  { OPN_HEAD, EVENTS LENGTH, "X-Note: a\r\n\r\nid: 1\n" },
  { OPN_HEAD, TEXT, "Content-Length: 3\r\none\r\n" },
  { OPN_HEAD, TEXT, "X-Note: a\r\nContent-Length: 3\r\none\r\n" },
  { OPN_HEAD, "", "Content-Type: text/plain\r\nContent-Length: 3\r\none" },
  { OPN_HEAD, CLOSE, "Content-Type: text/plain\r\none\r\n" },
  { OPN_HEAD, TEXT CLOSE, "server-load: 1,0,8\r\none\r\n" },
  { OPN_HEAD, TEXT LENGTH, "Server-Load: 1,0,8\r\n\r\none\r\n" },
  /* It may be either. */
  { OPN_SUSPECT, TEXT CLOSE, "X-Note: a\r\nContent-Length: 3\r\none\r\n" },
  { OPN_SUSPECT, MAIL, "Content-Type: text/plain\r\none\r\n" },
  { OPN_SUSPECT, TEXT LENGTH, "Connection: lost\r\none\r\n" },
  { OPN_SUSPECT, TEXT LENGTH, "X-Note: a\r\none\r\n" },
  { OPN_SUSPECT, TEXT LENGTH, "\r\n<html>" },
  { OPN_SUSPECT, TEXT LENGTH, "X-Note: a\r\n\r\none" },
  { OPN_SUSPECT, TEXT, "X-Note: a\r\n\r\none" },
  { OPN_SUSPECT, TEXT CLOSE, "\r\none" },
  { OPN_SUSPECT, MAIL LENGTH, "Content-Type: text/plain\r\n\r\none" },
  /* Bodies. */
  { OPN_BODY, TEXT, "" },
  { OPN_BODY, TEXT, "one" },
  { OPN_BODY, TEXT, "one: two" },
  { OPN_BODY, TEXT, "Content-Length: 3" },
  { OPN_BODY, TEXT, "Content-Length: 3\n\none" },
  { OPN_BODY, TEXT, "Contents: a\r\nb\r\n" },
  { OPN_BODY, TEXT, "\none" },
  { OPN_BODY, TEXT, ": one\r\n\r\n" },
  { OPN_BODY, TEXT CLOSE, "3\r\none\r\n" },
  { OPN_BODY, TEXT LENGTH, "3\r\none\r\n" },
  { OPN_BODY, TEXT LENGTH, "{\"a\": 1}\r\n" },
  { OPN_BODY, EVENTS, "id: 1\r\ndata: a\r\n\r\n" },
  { OPN_BODY, EVENTS, "data:a\r\n\r\n" },
  { OPN_BODY, EVENTS, ": a comment\r\n\r\n" },
  { OPN_BODY, EVENTS, "weight-versions: 3\nid: 1\n" },
  { OPN_BODY, EVENTS CHUNKS, "\r\nid: 1\r\n" },
};

/* The head of FIELDS, owned by CTX. */
static const rhd_head_t *
head_of (void *ctx, const char *fields)
{
  rhd_t *h = rhd_setup (ctx, &(rhd_desc_t){ .once = NULL });
  rhd_progress_t progress = rhd_push (h, buf_str ("HTTP/1.1 200 OK\r\n"));
  while (*fields != '\0' && progress == RHD_MORE)
    {
      size_t n = strcspn (fields, "\n") + 1;
      progress = rhd_push (h, (buf_t){ .p = fields, .n = n });
      fields += n;
    }
  CU_ASSERT_EQUAL (rhd_push (h, buf_str ("\r\n")), RHD_ENDED);
  return rhd_head (h);
}

static const char *const known[] = { "Server-Load", NULL };

/* The verdict must be one and the same, however the body is cut: undecided up
 * to some byte, then what the row says. */
static void
test_opening_is_judged (void)
{
  for (size_t i = 0; i < COUNT (rows); i++)
    {
      void *ctx = talloc_new (NULL);
      const rhd_head_t *head = head_of (ctx, rows[i].fields);
      buf_t body = buf_str (rows[i].body);
      opn_verdict_t v = OPN_PENDING;
      for (size_t n = 1; n <= body.n && v <= OPN_HOLD; n++)
        v = opn_judge (head, (buf_t){ .p = body.p, .n = n }, false, known);
      if (v <= OPN_HOLD)
        v = opn_judge (head, body, true, known);
      CU_ASSERT_EQUAL (v, rows[i].verdict);
      if (v != rows[i].verdict)
        (void)printf ("row %zu: verdict %d\n", i, v);
      talloc_free (ctx);
    }
}

/* Guards against words of a text that are held back, and against lines of a
 * head that are passed on before they are judged. */
static void
test_only_what_looks_like_a_head_is_held (void)
{
  static const char *const held[] = {
    "C",         "Conte", "content-length", "Content-Length: 3\r\n", "\r",
    "X-Note: a", "3\r"
  };
  static const char *const passed[] = { "X-Note", "one", "3", "Contents" };
  void *ctx = talloc_new (NULL);
  const rhd_head_t *head = head_of (ctx, TEXT);
  for (size_t i = 0; i < COUNT (held); i++)
    CU_ASSERT_EQUAL (opn_judge (head, buf_str (held[i]), false, NULL),
                     OPN_HOLD);
  for (size_t i = 0; i < COUNT (passed); i++)
    CU_ASSERT_EQUAL (opn_judge (head, buf_str (passed[i]), false, NULL),
                     OPN_PENDING);
  talloc_free (ctx);
}

/* Guards against a body of fields without an end that is held for ever. */
static void
test_opening_is_bounded (void)
{
  void *ctx = talloc_new (NULL);
  GString *body = g_string_new (NULL);
  while (body->len < OPN_BYTES_MAX)
    g_string_append (body, "X-Note: a\r\n");
  CU_ASSERT_EQUAL (opn_judge (head_of (ctx, TEXT),
                              (buf_t){ .p = body->str, .n = body->len }, false,
                              NULL),
                   OPN_BODY);
  (void)g_string_free (body, TRUE);
  talloc_free (ctx);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "opening_is_judged", test_opening_is_judged },
    { "only_what_looks_like_a_head_is_held",
      test_only_what_looks_like_a_head_is_held },
    { "opening_is_bounded", test_opening_is_bounded },
  };
  return tst_run ("opn", cases, sizeof cases / sizeof cases[0]);
}

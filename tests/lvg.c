#include "lvg.h"

#include <CUnit/CUnit.h>

#include <string.h>

drvbed_answer_t *
lvg_answer_with (drvbed_t *b, const char *id, drvbed_reply_t reply)
{
  drvbed_answer_t *a = drvbed_ask (b, id);
  drvbed_request_t *r = drvbed_await_request (b, 0, id);
  CU_ASSERT_PTR_NOT_NULL (r);
  reply.id = id;
  if (r != NULL)
    drvbed_send (r->conn, drvbed_reply (b, &reply));
  return a;
}

const char *
lvg_begin (drvbed_t *b, const drvbed_request_t *r)
{
  const char *text = drvbed_said (b, r);
  const char *rest = strstr (text, "id: 2");
  char *part = g_strndup (text, (size_t)(rest - text));
  drvbed_send (r->conn, part);
  g_free (part);
  return rest;
}

lvg_stream_t
lvg_begin_stream (drvbed_t *b, const char *id)
{
  lvg_stream_t s = { .answer = drvbed_ask (b, id) };
  s.request = drvbed_await_request (b, 0, id);
  CU_ASSERT_PTR_NOT_NULL (s.request);
  if (s.request == NULL)
    return s;
  s.rest = lvg_begin (b, s.request);
  CU_ASSERT (drvbed_await_head (b, s.answer));
  return s;
}

void
lvg_end_stream (drvbed_t *b, const lvg_stream_t *s)
{
  if (s->request == NULL)
    return;
  drvbed_send (s->request->conn, s->rest);
  CU_ASSERT (drvbed_await_answer (b, s->answer));
  CU_ASSERT (drvbed_is_own (s->answer));
  CU_ASSERT_EQUAL (drvbed_request_count (b, 0, s->answer->id), 1);
  CU_ASSERT_EQUAL (drvbed_request_count (b, 1, s->answer->id), 0);
}

unsigned
lvg_served_count (drvbed_t *b, const char *prefix, unsigned count)
{
  unsigned served = 0;
  for (unsigned i = 1; i <= count; i++)
    {
      char id[32];
      g_snprintf (id, sizeof id, "%s-%u", prefix, i);
      const drvbed_answer_t *a = drvbed_ask (b, id);
      served += drvbed_await_answer (b, a) && drvbed_is_own (a);
    }
  return served;
}

void
lvg_check_avoided (drvbed_t *b, size_t upstream, const char *prefix)
{
  unsigned before = drvbed_request_count (b, upstream, NULL);
  CU_ASSERT_EQUAL (lvg_served_count (b, prefix, LVG_REQUESTS), LVG_REQUESTS);
  CU_ASSERT_EQUAL (drvbed_request_count (b, upstream, NULL), before);
}

void
lvg_check_used (drvbed_t *b, size_t upstream, const char *prefix)
{
  unsigned before = drvbed_request_count (b, upstream, NULL);
  CU_ASSERT_EQUAL (lvg_served_count (b, prefix, LVG_REQUESTS), LVG_REQUESTS);
  CU_ASSERT_EQUAL (drvbed_request_count (b, upstream, NULL),
                   before + LVG_REQUESTS);
}

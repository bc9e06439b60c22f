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
  const char *text = drvbed_response (b, DRVBED_LENGTH, r->id);
  const char *rest = strstr (text, "id: 2");
  char *part = g_strndup (text, (size_t)(rest - text));
  drvbed_send (r->conn, part);
  g_free (part);
  return rest;
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

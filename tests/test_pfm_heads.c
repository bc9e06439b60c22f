/** @file
 * The users' platform: strings of the document and of lists that would become
 * part of a head, and queries that are passed on as they came.
 */
#include "platform/pfm.h"
#include "platform/pfm_check.h"
#include "tst.h"

#include <jansson.h>
#include <string.h>
#include <talloc.h>

#define DOCUMENT                                                              \
  "{\"version\":1,\"tenants\":[{\"name\":\"a\\r\\nTenant: b\",\"apiKeys\":"   \
  "[\"key-a\"]},{\"name\":\"b\",\"apiKeys\":[\"key-b\"]}],\"services\":[{"    \
  "\"name\":\"s\"}],\"routes\":[{\"host\":\"h\",\"pathPrefix\":\"/a/\","      \
  "\"kind\":\"idempotent\",\"service\":\"s\",\"timeoutMs\":1000}]}"

/* Guards against a customer whose name would add a header to its requests: the
 * rest of the document is in force. */
static void
test_customer_whose_name_is_no_value_is_ignored (void)
{
  void *ctx = talloc_new (NULL);
  const ev_document_t *document = pfm_document_parse (ctx, buf_str (DOCUMENT));
  TST_NEED (document != NULL);
  CU_ASSERT_EQUAL (document->parts->customer_count, 1);
  CU_ASSERT_EQUAL (document->parts->key_count, 1);
  CU_ASSERT_STRING_EQUAL (document->parts->keys[0].customer, "b");
  CU_ASSERT_EQUAL (document->parts->route_count, 1);
  talloc_free (ctx);
}

/* Guards against an entry of another writer that would add a header, or send
 * requests elsewhere than it says. */
static void
test_entry_that_is_no_value_is_unusable (void)
{
  static const struct
  {
    const char *name;
    const char *address;
    bool usable;
  } rows[] = { { "i-1", "10.0.0.1:80", true },
               { "i-1\r\nTenant: b", "10.0.0.1:80", false },
               { "i-1 ", "10.0.0.1:80", false },
               { "", "10.0.0.1:80", false },
               { "i-1", "10.0.0.1/@10.0.0.2:80", false },
               { "i-1", "10.0.0.2:81@10.0.0.1:80", false },
               { "i-1", "10.0.0.1\r\n:80", false } };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      void *ctx = talloc_new (NULL);
      json_t *spec
          = json_pack ("{s:s, s:s, s:s, s:s}", "service", "s", "zone", "z",
                       "state", "ready", "address", rows[i].address);
      ev_upstream_entry_t e
          = pfm_upstream_entry_decode (ctx, rows[i].name, spec);
      CU_ASSERT_EQUAL (e.deleted, !rows[i].usable);
      json_decref (spec);
      talloc_free (ctx);
    }
}

/* Guards against a query that reaches the upstream without its api_key: the
 * users' protocol knows no such parameter. */
static void
test_query_is_no_credential (void)
{
  void *ctx = talloc_new (NULL);
  ev_request_t r = { .method = "GET",
                     .path = "/a/b",
                     .query = "x=1&api_key=key-b",
                     .target = "/a/b?x=1&api_key=key-b" };
  pfm_request_decode (ctx, &r);
  CU_ASSERT_STRING_EQUAL (r.query, "");
  CU_ASSERT_STRING_EQUAL (r.target, "/a/b?x=1&api_key=key-b");
  /* The position to read from is still found. */
  r = (ev_request_t){ .method = "GET",
                      .path = "/rattanspindle/lots/j",
                      .query = "after=7",
                      .target = "/rattanspindle/lots/j?after=7" };
  pfm_request_decode (ctx, &r);
  CU_ASSERT_EQUAL (r.job.after, 7);
  talloc_free (ctx);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "customer_whose_name_is_no_value_is_ignored",
      test_customer_whose_name_is_no_value_is_ignored },
    { "entry_that_is_no_value_is_unusable",
      test_entry_that_is_no_value_is_unusable },
    { "query_is_no_credential", test_query_is_no_credential },
  };
  return tst_run ("pfm_heads", cases, sizeof cases / sizeof cases[0]);
}

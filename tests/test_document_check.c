/** @file
 * Check of an operator's document: what is wrong with it, what can never
 * match, and what differs between two, without printing API keys.
 */
#include "platform/pfm_check.h"
#include "tst.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

#define ROUTE(name, prefix, more)                                             \
  "{\"name\":\"" name "\",\"host\":\"h\",\"pathPrefix\":\"" prefix "\","      \
  "\"kind\":\"streaming\",\"timeoutMs\":5000,\"service\":\"s1\"" more "}"
#define DOCUMENT(version, routes, services, tenants)                          \
  "{\"version\":" version ",\"routes\":[" routes "],\"services\":[" services  \
  "],\"tenants\":[" tenants "],\"limits\":{\"maxBodyBytes\":4096}}"
#define SERVICE "{\"name\":\"s1\",\"engine\":{\"slots\":8}}"
#define TENANT                                                                \
  "{\"name\":\"t1\",\"apiKeys\":[\"secret-1\"],\"ratePerS\":5,\"burst\":5}"
#define GOOD DOCUMENT ("7", ROUTE ("r1", "/p/", ""), SERVICE, TENANT)

/* Guards against a check that misses a fault, or names another place.  Each
 * row has exactly one fault. */
static const struct
{
  const char *document;
  pfm_check_kind_t kind;
  const char *place;
} faults[] = {
  { DOCUMENT ("0", ROUTE ("r1", "/p/", ""), SERVICE, TENANT), PFM_CHECK_ERROR,
    "/version" },
  { DOCUMENT ("7", ROUTE ("r1", "/p", ""), SERVICE, TENANT), PFM_CHECK_ERROR,
    "/routes/0/pathPrefix" },
  { DOCUMENT ("7", ROUTE ("r1", "/p/", ",\"maxAttempts\":-1"), SERVICE,
              TENANT),
    PFM_CHECK_ERROR, "/routes/0/maxAttempts" },
  { DOCUMENT ("7", ROUTE ("r1", "/p/", ""), SERVICE ",{\"name\":\"s2\"}",
              TENANT),
    PFM_CHECK_NEVER_MATCHES, "/services/1" },
  { DOCUMENT ("7", ROUTE ("r1", "/p/", "") "," ROUTE ("r2", "/p/", ""),
              SERVICE, TENANT),
    PFM_CHECK_NEVER_MATCHES, "/routes/1" },
  { DOCUMENT ("7", ROUTE ("r1", "/p/", ""), SERVICE,
              TENANT ",{\"name\":\"t2\",\"apiKeys\":[]}"),
    PFM_CHECK_NEVER_MATCHES, "/tenants/1" },
  { DOCUMENT ("7", ROUTE ("r1", "/p/", ""), SERVICE,
              TENANT ",{\"name\":\"t2\",\"apiKeys\":[\"secret-1\"]}"),
    PFM_CHECK_ERROR, "/tenants/1/apiKeys/0" },
  { DOCUMENT ("7", ROUTE ("r1", "/p/", ",\"targetLatencyMs\":6000"), SERVICE,
              TENANT),
    PFM_CHECK_CONTRADICTION, "/routes/0/targetLatencyMs" },
  { DOCUMENT ("7", ROUTE ("r1", "/p/", ""), SERVICE,
              "{\"name\":\"t1\",\"apiKeys\":[\"k\"],\"ratePerS\":5}"),
    PFM_CHECK_CONTRADICTION, "/tenants/0/burst" },
  { DOCUMENT ("7", ROUTE ("r1", "/p/", ""), SERVICE,
              "{\"name\":\"t1\",\"apiKeys\":[\"k\"],\"ratePerS\":1e7,"
              "\"burst\":5}"),
    PFM_CHECK_CONTRADICTION, "/tenants/0/ratePerS" },
  { DOCUMENT ("7", ROUTE ("r1", "/p/", ""), SERVICE,
              "{\"name\":\"t1\",\"apiKeys\":[\"k\"],\"ratePerS\":5,"
              "\"burst\":1e10}"),
    PFM_CHECK_CONTRADICTION, "/tenants/0/burst" },
  { DOCUMENT ("7",
              ROUTE ("r1", "/p/",
                     ",\"trafficSplit\":[{\"service\":\"s1\",\"weight\":1},"
                     "{\"service\":\"s1\",\"weight\":0}]"),
              SERVICE, TENANT),
    PFM_CHECK_NEVER_MATCHES, "/routes/0/trafficSplit/1/weight" },
  { DOCUMENT ("7", ROUTE ("r1", "/p/", ",\"trafficSplit\":{\"s1\":1}"),
              SERVICE, TENANT),
    PFM_CHECK_ERROR, "/routes/0/trafficSplit" },
  { DOCUMENT ("7", ROUTE ("r1", "/p/", ""), "{\"name\":\"s1\",\"engine\":8}",
              TENANT),
    PFM_CHECK_ERROR, "/services/0/engine" },
  { DOCUMENT ("7", ROUTE ("r1", "/p/", ""),
              "{\"name\":\"s1\",\"coldStartS\":3601,\"coldPerS\":1}", TENANT),
    PFM_CHECK_ERROR, "/services/0/coldStartS" },
  { DOCUMENT ("7", ROUTE ("r1", "/p/", ""),
              "{\"name\":\"s1\",\"coldStartS\":60,\"coldPerS\":1e7}", TENANT),
    PFM_CHECK_ERROR, "/services/0/coldPerS" },
  { "{\"version\":7,\"routes\":[],\"services\":[],\"limits\":[]}",
    PFM_CHECK_ERROR, "/limits" },
};

static pfm_check_t
_check (void *ctx, const char *text)
{
  pfm_check_t check = { 0 };
  json_t *spec = json_loads (text, 0, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (spec);
  pfm_check_document (ctx, spec, &check);
  json_decref (spec);
  return check;
}

static void
test_faults_are_found (void)
{
  void *ctx = talloc_new (NULL);
  CU_ASSERT_EQUAL (_check (ctx, GOOD).count, 0);
  for (size_t i = 0; i < sizeof faults / sizeof faults[0]; i++)
    {
      pfm_check_t check = _check (ctx, faults[i].document);
      CU_ASSERT_EQUAL (check.count, 1);
      TST_NEED (check.count > 0);
      CU_ASSERT_EQUAL (check.v[0].kind, faults[i].kind);
      CU_ASSERT_STRING_EQUAL (check.v[0].place, faults[i].place);
    }
  talloc_free (ctx);
}

/* Guards against a check that reads beyond what a document is: values of
 * another type at each place. */
static void
test_other_types_are_errors (void)
{
  void *ctx = talloc_new (NULL);
  CU_ASSERT (_check (ctx, "{}").count > 0);
  CU_ASSERT (_check (ctx, "{\"version\":1,\"routes\":7,\"services\":[3],"
                          "\"tenants\":{},\"limits\":[]}")
                 .count
             >= 4);
  talloc_free (ctx);
}

/* Guards against differences that are missed, and against keys in output. */
static void
test_differences (void)
{
  void *ctx = talloc_new (NULL);
  pfm_check_t check = { 0 };
  json_t *old = json_loads (GOOD, 0, NULL);
  json_t *new = json_loads (
      DOCUMENT ("8", ROUTE ("r1", "/p/", ",\"priority\":1"), SERVICE,
                "{\"name\":\"t1\",\"apiKeys\":[\"secret-2\"],\"ratePerS\":5,"
                "\"burst\":9},{\"name\":\"t2\",\"apiKeys\":[\"secret-3\"]}"),
      0, NULL);
  pfm_check_differences (ctx, old, old, &check);
  CU_ASSERT_EQUAL (check.count, 0);
  pfm_check_differences (ctx, old, new, &check);
  CU_ASSERT_EQUAL (check.count, 6);
  bool burst = false;
  for (size_t i = 0; i < check.count; i++)
    {
      burst = burst
              || (strcmp (check.v[i].place, "/tenants/t1/burst") == 0
                  && strcmp (check.v[i].text, "5 -> 9") == 0);
      CU_ASSERT_PTR_NULL (strstr (check.v[i].text, "secret"));
    }
  CU_ASSERT (burst);
  json_decref (old);
  json_decref (new);
  talloc_free (ctx);
}

/* Guards against keys in the output for entries that are no named lists of
 * both documents, or whose list of keys has another type. */
static void
test_differences_without_keys (void)
{
  static const char *const documents[] = {
    "{}",
    "{\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"secret-1\"]}]}",
    "{\"tenants\":[{\"apiKeys\":[\"secret-2\"]}]}",
    "{\"tenants\":{\"t1\":{\"apiKeys\":\"secret-3\"}}}",
    "{\"tenants\":[{\"name\":\"t1\",\"apiKeys\":\"secret-4\"}]}",
    "{\"tenants\":[{\"name\":\"t1\",\"apiKeys\":{\"k\":\"secret-5\"}}]}",
  };
  size_t n = sizeof documents / sizeof documents[0];
  void *ctx = talloc_new (NULL);
  for (size_t i = 0; i < n * n; i++)
    {
      pfm_check_t check = { 0 };
      json_t *old = json_loads (documents[i / n], 0, NULL);
      json_t *new = json_loads (documents[i % n], 0, NULL);
      pfm_check_differences (ctx, old, new, &check);
      CU_ASSERT_EQUAL (check.count > 0, i / n != i % n);
      for (size_t k = 0; k < check.count; k++)
        CU_ASSERT_PTR_NULL (strstr (check.v[k].text, "secret"));
      json_decref (old);
      json_decref (new);
    }
  talloc_free (ctx);
}

/* Guards against keys in the errors of files that are no JSON, and against
 * errors without a place. */
static void
test_errors_quote_no_keys (void)
{
  static const char *const texts[] = {
    "[\"secret-1\" \"secret-2\"]",
    "{\"a\":[\"secret-1\"]]",
    "{\"a\":\"secret-1",
    "{\"a\":secret-1}",
    "[\"secret-1\",]",
    "{\"secret-1\":1,\"secret-1\":2}",
    "[\"secret-1\\x\"]",
    "",
  };
  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    {
      json_error_t error;
      CU_ASSERT_PTR_NULL (
          pfm_check_parse (texts[i], strlen (texts[i]), &error));
      CU_ASSERT (error.line > 0 && error.text[0] != '\0');
      CU_ASSERT_PTR_NULL (strstr (error.text, "secret"));
    }
}

/* Guards against a finding that is not one line of UTF-8 and is lost in the
 * output for tools: a long value that is cut within a character, and names
 * with line breaks. */
static void
test_findings_are_lines (void)
{
  void *ctx = talloc_new (NULL);
  for (size_t length = 190; length < 200; length++)
    {
      pfm_check_t check = { 0 };
      json_t *old = json_pack ("{s:s}", "a\nb", "");
      char *text = g_strnfill (length, 'x');
      char *value = g_strconcat (text, "\u20ac\u20ac\u20ac\u20ac", NULL);
      json_t *new = json_pack ("{s:s}", "a\nb", value);
      pfm_check_differences (ctx, old, new, &check);
      CU_ASSERT_EQUAL (check.count, 1);
      TST_NEED (check.count > 0);
      CU_ASSERT (g_utf8_validate (check.v[0].text, -1, NULL));
      CU_ASSERT_PTR_NULL (strchr (check.v[0].place, '\n'));
      json_decref (old);
      json_decref (new);
      g_free (text);
      g_free (value);
    }
  pfm_check_t check
      = _check (ctx, DOCUMENT ("7", ROUTE ("r1", "/p/", ""),
                               SERVICE ",{\"name\":\"s\\n2\"}", TENANT));
  CU_ASSERT_EQUAL (check.count, 1);
  TST_NEED (check.count > 0);
  CU_ASSERT_PTR_NULL (strchr (check.v[0].text, '\n'));
  talloc_free (ctx);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "faults_are_found", test_faults_are_found },
    { "other_types_are_errors", test_other_types_are_errors },
    { "differences", test_differences },
    { "differences_without_keys", test_differences_without_keys },
    { "errors_quote_no_keys", test_errors_quote_no_keys },
    { "findings_are_lines", test_findings_are_lines },
  };
  return tst_run ("document_check", cases, sizeof cases / sizeof cases[0]);
}

/** @file
 * Platform formats: input of the users' platform is decoded, invalid input is
 * left out, and output has the platform's names.
 */
#include "platform/pfm.h"
#include "tst.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

/* -- documents -------------------------------------------------------------
 */

#define ROUTES                                                                \
  "{\"name\":\"r1\",\"host\":\"a.example\",\"pathPrefix\":\"/p/\","           \
  "\"kind\":\"streaming\",\"timeoutMs\":5000,\"maxAttempts\":2,"              \
  "\"resumable\":true,\"gapTargetMs\":300,\"trafficSplit\":"                  \
  "[{\"service\":\"s1\",\"weight\":90},{\"service\":\"s2\",\"weight\":10}]}," \
  "{\"name\":\"r2\",\"host\":\"a.example\",\"pathPrefix\":\"/q/\","           \
  "\"kind\":\"batch\",\"timeoutMs\":15000,\"service\":\"s1\","                \
  "\"maxWaitS\":60,\"completionTargetMs\":18000,\"maxCount\":900},"           \
  "{\"name\":\"r3\",\"host\":\"b.example\",\"pathPrefix\":\"/p/\","           \
  "\"kind\":\"non_idempotent\",\"timeoutMs\":900,\"service\":\"s2\","         \
  "\"public\":true}"

#define DOCUMENT(version, routes)                                             \
  "{\"version\":" version ",\"routes\":[" routes "],\"services\":"            \
  "[{\"name\":\"s1\",\"engine\":{\"slots\":8}},{\"name\":\"s2\"}],"           \
  "\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"k1\",\"k2\"],"                \
  "\"ratePerS\":34,\"burst\":30},{\"name\":\"t2\",\"apiKeys\":[]}]}"

static const cfg_doc_t *
_document (void *ctx, const char *text)
{
  const ev_document_t *d = pfm_document_parse (ctx, buf_str (text));
  cfg_faults_t faults = { 0 };
  cfg_doc_t *doc = NULL;
  if (d == NULL || cfg_doc_assemble (ctx, d->parts, &doc, &faults) != ST_OK)
    return NULL;
  return doc;
}

static void
test_document_routes (void)
{
  void *ctx = talloc_new (NULL);
  const cfg_doc_t *doc = _document (ctx, DOCUMENT ("7", ROUTES));
  TST_NEED (doc != NULL);
  const cfg_route_t *r
      = cfg_route_find_by_host (doc, "a.example", "POST", "/p/x/y");
  TST_NEED (r != NULL);
  CU_ASSERT (r->resumable && r->idempotent && r->unrecorded);
  CU_ASSERT_EQUAL (r->attempts, 2);
  CU_ASSERT_STRING_EQUAL (cfg_route_deployment_pick (r, 0.89), "s1");
  CU_ASSERT_STRING_EQUAL (cfg_route_deployment_pick (r, 0.91), "s2");
  r = cfg_route_find_by_host (doc, "b.example", "GET", "/p/");
  TST_NEED (r != NULL);
  CU_ASSERT (r->open && !r->idempotent);
  CU_ASSERT_PTR_NULL (
      cfg_route_find_by_host (doc, "b.example", "POST", "/q/1"));
  CU_ASSERT_PTR_NULL (cfg_route_find_by_host (doc, NULL, "POST", "/p/x"));
  talloc_free (ctx);
}

static void
test_document_jobs_and_customers (void)
{
  void *ctx = talloc_new (NULL);
  const cfg_doc_t *doc = _document (ctx, DOCUMENT ("7", ROUTES));
  TST_NEED (doc != NULL);
  const cfg_route_t *r
      = cfg_route_find_by_host (doc, "a.example", "POST", "/q/1");
  TST_NEED (r != NULL);
  CU_ASSERT_EQUAL (r->kind, CFG_ROUTE_JOBS);
  CU_ASSERT_EQUAL (r->job_keep_ms, 60000);
  CU_ASSERT_EQUAL (r->waiting_tokens, 900);
  CU_ASSERT_FALSE (cfg_customer_find (doc, "t1")->unlimited);
  CU_ASSERT (cfg_customer_find (doc, "t2")->unlimited);
  CU_ASSERT_EQUAL (doc->key_count, 2);
  CU_ASSERT_EQUAL (cfg_deployment_find (doc, "s1")->slots, 8);
  talloc_free (ctx);
}

/* A document with any invalid part is rejected as a whole. */
static void
test_bad_documents (void)
{
  static const char *const bad[] = {
    "",
    "[]",
    "{\"version\":\"7\"}",
    "{\"version\":0,\"routes\":[]}",
    DOCUMENT ("7", "{\"host\":\"a\",\"pathPrefix\":\"/p/\"}"),
    DOCUMENT ("7", "{\"host\":5,\"pathPrefix\":\"/p/\",\"kind\":\"batch\","
                   "\"service\":\"s1\",\"timeoutMs\":1}"),
    DOCUMENT ("7", "{\"host\":\"a\",\"pathPrefix\":\"/p/\",\"kind\":"
                   "\"streaming\",\"service\":\"none\",\"timeoutMs\":1}"),
  };
  void *ctx = talloc_new (NULL);
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    CU_ASSERT_PTR_NULL (_document (ctx, bad[i]));
  talloc_free (ctx);
}

static ev_upstream_entry_t
_entry (void *ctx, const char *text)
{
  json_t *spec = json_loads (text, JSON_DECODE_ANY, NULL);
  ev_upstream_entry_t e = pfm_upstream_entry_decode (ctx, "i-1", spec);
  json_decref (spec);
  return e;
}

static void
test_upstream_entries (void)
{
  void *ctx = talloc_new (NULL);
#define ENTRY(address, state)                                                 \
  "{\"service\":\"s1\",\"address\":" address                                  \
  ",\"zone\":\"z\",\"state\":\"" state "\",\"coldRemainingMs\":40}"
  ev_upstream_entry_t e = _entry (ctx, ENTRY ("\"10.0.0.1:80\"", "ready"));
  CU_ASSERT (!e.deleted && !e.leaving);
  CU_ASSERT_EQUAL (e.cold_ms, 40);
  CU_ASSERT (_entry (ctx, ENTRY ("\"10.0.0.1:80\"", "draining")).leaving);
  CU_ASSERT (_entry (ctx, ENTRY ("\"10.0.0.1:80\"", "odd")).deleted);
  CU_ASSERT (_entry (ctx, ENTRY ("\"10.0.0.1\"", "ready")).deleted);
  CU_ASSERT (_entry (ctx, ENTRY ("17", "ready")).deleted);
  CU_ASSERT (_entry (ctx, "\"text\"").deleted);
  /* Guards against an entry with a start that is no whole number: it counts as
   * one whose start is not given, so a restart is not seen. */
  static const char *const numbers[]
      = { "\"born\":\"1\"", "\"born\":1.5",    "\"born\":null",
          "\"born\":-1",    "\"slots\":\"8\"", "\"seq\":{}" };
  for (size_t i = 0; i < sizeof numbers / sizeof numbers[0]; i++)
    CU_ASSERT (_entry (ctx, talloc_asprintf (
                                ctx,
                                "{\"service\":\"s1\",\"address\":\"10.0.0.1:80"
                                "\",\"zone\":\"z\",\"state\":\"ready\",%s}",
                                numbers[i]))
                   .deleted);
  CU_ASSERT (_entry (ctx, "null").deleted);
  CU_ASSERT_EQUAL (e.born, 0);
  e = _entry (ctx, ENTRY ("\"10.0.0.1:80\",\"born\":1800000000123", "ready"));
  CU_ASSERT_EQUAL (e.born, 1800000000123);
  talloc_free (ctx);
}

/* Guards against an entry of another writer, whose start is no whole number,
 * as an upstream to use. */
static void
test_entry_with_an_odd_start_names_no_upstream (void)
{
  static const char *const starts[]
      = { "\"1800000000123\"", "1.5", "-1", "0", "null", "[]" };
  void *ctx = talloc_new (NULL);
  for (size_t i = 0; i < sizeof starts / sizeof starts[0]; i++)
    {
      char *text
          = talloc_asprintf (ctx,
                             "{\"service\":\"s1\",\"address\":\"10.0.0.1:80\","
                             "\"zone\":\"z\",\"state\":\"ready\",\"born\":%s}",
                             starts[i]);
      CU_ASSERT (_entry (ctx, text).deleted);
    }
  talloc_free (ctx);
}

/* -- the store -------------------------------------------------------------
 */

static void
_request_check (const fx_platform_t *p, const char *method, const char *path)
{
  void *ctx = talloc_new (NULL);
  hcl_call_t call = { .owner = HCL_PLATFORM };
  pfm_object_request_encode (ctx, p, &call);
  CU_ASSERT_STRING_EQUAL (call.method, method);
  CU_ASSERT_STRING_EQUAL (call.path, path);
  talloc_free (ctx);
}

static void
test_object_requests (void)
{
  _request_check (&(fx_platform_t){ .op = FX_PLATFORM_GET,
                                    .name = "jobs/a/1",
                                    .allow_stale = true },
                  "GET", "/rattanspindle/objects/jobs/a:1?serializable=1");
  _request_check (&(fx_platform_t){ .op = FX_PLATFORM_PUT, .name = "jobs/a" },
                  "POST", "/rattanspindle/objects/jobs");
  _request_check (&(fx_platform_t){ .op = FX_PLATFORM_PUT,
                                    .name = "jobs/a",
                                    .if_version = 4 },
                  "PUT", "/rattanspindle/objects/jobs/a");
  _request_check (&(fx_platform_t){ .op = FX_PLATFORM_WATCH,
                                    .name = "jobs/",
                                    .revision = 9,
                                    .timeout_ms = 20 },
                  "GET", "/rattanspindle/objects/jobs?watch=9&waitMs=20");
  _request_check (
      &(fx_platform_t){ .op = FX_PLATFORM_UPSTREAMS, .after = "i-7" }, "GET",
      "/rattanspindle/objects/servers?after=i-7");
  _request_check (
      &(fx_platform_t){
          .op = FX_PLATFORM_RETIREMENT, .name = "vm-1", .allow_stale = true },
      "GET", "/rattanspindle/objects/retirements/vm-1?serializable=1");
}

/* Values of any bytes survive encoding and decoding unchanged. */
static void
test_values_round_trip (void)
{
  static const buf_t values[]
      = { { "", 0 }, { "text \"q\"", 8 }, { "a\0b", 3 }, { "\xff\xfe", 2 } };
  for (size_t i = 0; i < sizeof values / sizeof values[0]; i++)
    {
      void *ctx = talloc_new (NULL);
      hcl_call_t call = { .owner = HCL_PLATFORM };
      ev_platform_t reply = { 0 };
      pfm_object_request_encode (ctx,
                                 &(fx_platform_t){ .op = FX_PLATFORM_PUT,
                                                   .name = "jobs/a",
                                                   .value = values[i] },
                                 &call);
      pfm_object_response_decode (ctx, FX_PLATFORM_GET, "jobs/a", 200,
                                  call.body, &reply);
      CU_ASSERT_EQUAL (reply.code, ST_OK);
      TST_NEED (reply.object_count == 1);
      CU_ASSERT (buf_equal (reply.objects[0].value, values[i]));
      talloc_free (ctx);
    }
}

static st_code_t
_response_code (fx_platform_op_t op, int status, const char *body)
{
  void *ctx = talloc_new (NULL);
  ev_platform_t reply = { 0 };
  pfm_object_response_decode (ctx, op, "jobs/a", status, buf_str (body),
                              &reply);
  talloc_free (ctx);
  return reply.code;
}

static void
test_object_responses (void)
{
  CU_ASSERT_EQUAL (_response_code (FX_PLATFORM_WATCH, 410, ""), ST_STALE);
  CU_ASSERT_EQUAL (_response_code (FX_PLATFORM_GET, 404, "{}"), ST_NOT_FOUND);
  CU_ASSERT_EQUAL (_response_code (FX_PLATFORM_PUT, 429, ""), ST_UNAVAILABLE);
  CU_ASSERT_EQUAL (_response_code (FX_PLATFORM_PUT, 500, ""), ST_UNKNOWN);
  CU_ASSERT_EQUAL (_response_code (FX_PLATFORM_GET, 500, ""), ST_UNAVAILABLE);
  /* An unreadable response is an error: neither an empty list nor zeros. */
  CU_ASSERT_EQUAL (_response_code (FX_PLATFORM_UPSTREAMS, 200, "<html>"),
                   ST_UNAVAILABLE);
  CU_ASSERT_EQUAL (
      _response_code (FX_PLATFORM_UPSTREAMS, 200, "{\"items\":[]}"),
      ST_UNAVAILABLE);
  CU_ASSERT_EQUAL (_response_code (FX_PLATFORM_PUT, 200, "<html>"),
                   ST_UNKNOWN);
}

/* Guards against a response that is left on a connection: one about another
 * object is neither a value nor the outcome of a write. */
static void
test_response_about_other_object (void)
{
  static const char own[] = "{\"metadata\":{\"name\":\"a\"},\"spec\":\"x\"}";
  static const char other[] = "{\"metadata\":{\"name\":\"b\"},\"spec\":\"x\"}";
  CU_ASSERT_EQUAL (_response_code (FX_PLATFORM_GET, 200, own), ST_OK);
  CU_ASSERT_EQUAL (_response_code (FX_PLATFORM_PUT, 409, own), ST_CONFLICT);
  CU_ASSERT_EQUAL (_response_code (FX_PLATFORM_GET, 200, other),
                   ST_UNAVAILABLE);
  CU_ASSERT_EQUAL (_response_code (FX_PLATFORM_PUT, 200, other), ST_UNKNOWN);
  CU_ASSERT_EQUAL (_response_code (FX_PLATFORM_PUT, 409, other), ST_UNKNOWN);
  CU_ASSERT_EQUAL (_response_code (FX_PLATFORM_DELETE, 200, other),
                   ST_UNKNOWN);
}

static void
test_lists (void)
{
  void *ctx = talloc_new (NULL);
  ev_platform_t reply = { 0 };
  pfm_object_response_decode (
      ctx, FX_PLATFORM_VMS, "", 200,
      buf_str ("{\"items\":[{\"metadata\":{\"name\":\"e-1\"},\"spec\":"
               "\"north 10.1.0.1:70 entry\"},{\"metadata\":{\"name\":\"w-1\"},"
               "\"spec\":\"north 10.1.0.2:70 worker\"},{\"metadata\":"
               "{\"name\":\"odd\"},\"spec\":7}],\"hasMore\":true,"
               "\"currentRev\":12}"),
      &reply);
  CU_ASSERT_EQUAL (reply.vm_count, 2);
  CU_ASSERT (!reply.vms[0].worker && reply.vms[1].worker);
  CU_ASSERT_EQUAL (reply.revision, 12);
  CU_ASSERT_STRING_EQUAL (reply.continue_after, "odd");
  talloc_free (ctx);
}

#define GOOD_SPEC                                                             \
  "{\"service\":\"s1\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","           \
  "\"state\":\"ready\"}"
#define BAD_SPEC(value)                                                       \
  "{\"service\":\"s1\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","           \
  "\"state\":\"ready\",\"version\":" value "}"

/* Values that other writers can store and that the JSON parser refuses: text
 * that is not UTF-8 or has a NUL, numbers out of its range, what is no JSON.
 */
static const char *const unreadable[] = {
  "\"\xff\"",
  "\"a\\u0000b\"",
  "\"\\\"}\xc3\"",
  "[\"\xfe\",{}]",
  "1e999",
  "-1e999",
  "[{\"a\":12345678901234567890123456}]",
  "\"\\ud800\"",
  "\"a\nb\"",
  "\"\\x\"",
  "007",
  "nan",
};

/* Check the entries of a list or of events that consists of BEFORE, the spec
 * of i-1 with each unreadable value in turn, and AFTER. */
static void
_unreadable_entry_check (const char *before, const char *after)
{
  for (size_t i = 0; i < sizeof unreadable / sizeof unreadable[0]; i++)
    {
      void *ctx = talloc_new (NULL);
      ev_platform_t reply = { 0 };
      char *body = talloc_asprintf (ctx, "%s" BAD_SPEC ("%s") "%s", before,
                                    unreadable[i], after);
      pfm_object_response_decode (ctx, FX_PLATFORM_UPSTREAMS, "", 200,
                                  buf_str (body), &reply);
      CU_ASSERT_EQUAL (reply.code, ST_OK);
      CU_ASSERT_EQUAL (reply.revision, 12);
      TST_NEED (reply.entry_count == 2);
      CU_ASSERT_STRING_EQUAL (reply.entries[0].name, "i-1");
      CU_ASSERT (reply.entries[0].unusable);
      CU_ASSERT_STRING_EQUAL (reply.entries[1].name, "i-2");
      CU_ASSERT (!reply.entries[1].deleted);
      talloc_free (ctx);
    }
}

/* Guards against an entry that is nested too deeply for the parser, and takes
 * the whole list away or ends the process. */
static void
test_deep_entry_leaves_the_list (void)
{
  static const size_t depths[] = { 1900, 2047, 2100, 5000, 400000 };
  for (size_t i = 0; i < sizeof depths / sizeof depths[0]; i++)
    for (int object = 0; object < 2; object++)
      {
        void *ctx = talloc_new (NULL);
        ev_platform_t reply = { 0 };
        GString *deep = g_string_new (NULL);
        for (size_t k = 0; k < depths[i]; k++)
          g_string_append (deep, object ? "{\"]\":" : "[");
        g_string_append (deep, "\"}]\\\"\"");
        for (size_t k = 0; k < depths[i]; k++)
          g_string_append_c (deep, object ? '}' : ']');
        char *body = talloc_asprintf (
            ctx,
            "{\"items\":[{\"metadata\":{\"name\":\"i-1\"},\"spec\":" BAD_SPEC (
                "%s") "},{\"metadata\":{\"name\":\"i-2\"},\"spec\":" GOOD_SPEC
                      "}],\"hasMore\":false,\"currentRev\":12}",
            deep->str);
        pfm_object_response_decode (ctx, FX_PLATFORM_UPSTREAMS, "", 200,
                                    buf_str (body), &reply);
        CU_ASSERT_EQUAL (reply.code, ST_OK);
        TST_NEED (reply.entry_count == 2);
        CU_ASSERT_STRING_EQUAL (reply.entries[1].name, "i-2");
        CU_ASSERT (!reply.entries[1].deleted);
        g_string_free (deep, TRUE);
        talloc_free (ctx);
      }
}

/* Guards against an unreadable value in another list than that of upstreams:
 * VMs, evacuated data centres, records, documents. */
static void
test_unreadable_value_in_any_list (void)
{
  static const fx_platform_op_t ops[]
      = { FX_PLATFORM_VMS, FX_PLATFORM_EVACUATIONS, FX_PLATFORM_LIST,
          FX_PLATFORM_DOCUMENT };
  for (size_t i = 0; i < sizeof ops / sizeof ops[0]; i++)
    for (size_t k = 0; k < sizeof unreadable / sizeof unreadable[0]; k++)
      {
        void *ctx = talloc_new (NULL);
        ev_platform_t reply = { 0 };
        char *body = talloc_asprintf (
            ctx,
            "{\"items\":[{\"metadata\":{\"name\":\"odd\"},\"spec\":%s},"
            "{\"metadata\":{\"name\":\"main\"},\"spec\":%s}],"
            "\"currentRev\":12}",
            unreadable[k],
            ops[i] == FX_PLATFORM_DOCUMENT ? DOCUMENT ("7", ROUTES)
                                           : "\"z 10.0.0.1:80 entry\"");
        pfm_object_response_decode (ctx, ops[i], "jobs/", 200, buf_str (body),
                                    &reply);
        CU_ASSERT_EQUAL (reply.code, ST_OK);
        if (ops[i] == FX_PLATFORM_DOCUMENT)
          CU_ASSERT (reply.document != NULL && reply.document->version == 7);
        if (ops[i] == FX_PLATFORM_VMS)
          CU_ASSERT (reply.vm_count == 1);
        if (ops[i] == FX_PLATFORM_EVACUATIONS || ops[i] == FX_PLATFORM_LIST)
          CU_ASSERT_EQUAL (reply.object_count, 2);
        talloc_free (ctx);
      }
}

/* Guards against a document that is used in part: a limit that cannot be read
 * would count as none. */
static void
test_document_with_an_unreadable_limit (void)
{
  void *ctx = talloc_new (NULL);
  ev_platform_t reply = { 0 };
  pfm_object_response_decode (
      ctx, FX_PLATFORM_DOCUMENT, "", 200,
      buf_str ("{\"items\":[{\"metadata\":{\"name\":\"main\"},\"spec\":"
               "{\"version\":7,\"routes\":[" ROUTES "],\"services\":[],"
               "\"tenants\":[{\"name\":\"t1\",\"ratePerS\":1e999}]}}],"
               "\"currentRev\":12}"),
      &reply);
  CU_ASSERT_EQUAL (reply.code, ST_OK);
  CU_ASSERT_PTR_NULL (reply.document);
  talloc_free (ctx);
}

/* Guards against an address or a start that is used after it was narrowed. */
static void
test_entry_with_numbers_out_of_range (void)
{
  static const char *const specs[] = {
    "\"address\":\"10.0.0.1:65536\"",
    "\"address\":\"10.0.0.1:0\"",
    "\"address\":\"10.0.0.1:-80\"",
    "\"address\":\"10.0.0.1:\"",
    "\"address\":\":80\"",
    "\"address\":\"10.0.0.1:80x\"",
    "\"address\":\"10.0.0.1:4294967376\"",
    "\"address\":\"10.0.0.1:80\",\"born\":9223372036854775807",
  };
  for (size_t i = 0; i < sizeof specs / sizeof specs[0]; i++)
    {
      void *ctx = talloc_new (NULL);
      char *text = talloc_asprintf (
          ctx, "{\"service\":\"s1\",\"zone\":\"z\",\"state\":\"ready\",%s}",
          specs[i]);
      json_t *spec = json_loads (text, 0, NULL);
      CU_ASSERT (pfm_upstream_entry_decode (ctx, "i-1", spec).deleted);
      json_decref (spec);
      talloc_free (ctx);
    }
}

/* Guards against numbers of the document that are narrowed unchecked. */
static void
test_document_numbers_out_of_range (void)
{
  void *ctx = talloc_new (NULL);
  const cfg_doc_t *doc = _document (
      ctx, "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"a\","
           "\"pathPrefix\":\"/p/\",\"kind\":\"streaming\",\"timeoutMs\":1e300,"
           "\"maxAttempts\":1e300,\"maxCount\":1e300,\"service\":\"s\"}],"
           "\"services\":[{\"name\":\"s\",\"engine\":{\"slots\":1e300}}],"
           "\"tenants\":[]}");
  TST_NEED (doc != NULL);
  CU_ASSERT (doc->routes[0].deadline_ms > CLK_HOUR);
  CU_ASSERT (doc->routes[0].attempts >= 1000);
  CU_ASSERT (doc->routes[0].waiting_tokens >= 1000000);
  CU_ASSERT (doc->deployments[0].slots >= 1000);
  talloc_free (ctx);
}

/* Guards against one entry with unreadable bytes that takes the whole list of
 * upstreams away. */
static void
test_unreadable_entry_leaves_the_list (void)
{
  _unreadable_entry_check (
      "{\"items\":[{\"metadata\":{\"name\":\"i-1\"},\"spec\":",
      "},{\"metadata\":{\"name\":\"i-2\"},\"spec\":" GOOD_SPEC
      "}],\"hasMore\":false,\"currentRev\":12}");
}

/* Guards against an event with unreadable bytes that stops all later events,
 * and leaves the entry that it replaces in use. */
static void
test_unreadable_entry_leaves_other_events (void)
{
  _unreadable_entry_check (
      "{ \"currentRev\" : 12 , \"events\" : [ { \"object\" : "
      "{\"metadata\":{\"name\":\"i-1\"},\"spec\":",
      "},\"deleted\":false},{\"object\":{\"metadata\":{\"name\":\"i-2\"},"
      "\"spec\":" GOOD_SPEC "},\"deleted\":false}]}");
}

static ev_platform_t
_page (void *ctx, const char *body)
{
  ev_platform_t reply = { 0 };
  pfm_object_response_decode (ctx, FX_PLATFORM_UPSTREAMS, "", 200,
                              buf_str (body), &reply);
  return reply;
}

/* Guards against a page that counts as the last one, because the name after
 * which the next one begins cannot be read: all later upstreams would be gone.
 */
static void
test_page_without_a_last_name_is_not_the_last (void)
{
  void *ctx = talloc_new (NULL);
  ev_platform_t reply = _page (
      ctx, "{\"items\":[{\"metadata\":{\"name\":\"i-1\"},\"spec\":{}},"
           "{\"metadata\":{\"name\":\"\xff\"},\"spec\":{}}],"
           "\"hasMore\":true,\"currentRev\":12}");
  CU_ASSERT_EQUAL (reply.code, ST_OK);
  CU_ASSERT_PTR_NOT_NULL (reply.continue_after);
  if (reply.continue_after != NULL)
    CU_ASSERT_STRING_EQUAL (reply.continue_after, "i-1");
  reply = _page (ctx, "{\"items\":[{\"metadata\":{\"name\":7}}],"
                      "\"hasMore\":true,\"currentRev\":12}");
  CU_ASSERT_EQUAL (reply.code, ST_UNAVAILABLE);
  talloc_free (ctx);
}

/* Guards against a list that was cut off as a complete one. */
static void
test_cut_list_is_no_list (void)
{
  static const char list[]
      = "{\"currentRev\":12,\"items\":[{\"metadata\":{\"name\":\"i-1\"},"
        "\"spec\":" BAD_SPEC ("[\"\\\"\xff\"]") "},{}]}";
  void *ctx = talloc_new (NULL);
  for (size_t n = 0; n < sizeof list; n++)
    {
      char *cut = talloc_strndup (ctx, list, n);
      st_code_t code = _response_code (FX_PLATFORM_UPSTREAMS, 200, cut);
      CU_ASSERT_EQUAL (code, n == sizeof list - 1 ? ST_OK : ST_UNAVAILABLE);
    }
  talloc_free (ctx);
}

/* -- requests and responses ------------------------------------------------
 */

static void
test_request_headers (void)
{
  static const http_header_t sent[] = {
    { "Host", "a.example:8080" },  { "Request-Id", "r-1" },
    { "Deadline-Ms", "4200" },     { "Tenant", "forged" },
    { "Target-Instance", "i-9" },  { "Token-Usage", "1460,80" },
    { "Prefix-Hash", "5c:8,9:4" }, { "Deadline-Ms-X", "kept" },
  };
  void *ctx = talloc_new (NULL);
  ev_request_t r = { .method = "POST",
                     .path = "/p/x",
                     .query = "",
                     .headers = { sent, sizeof sent / sizeof sent[0] } };
  pfm_request_decode (ctx, &r);
  CU_ASSERT_STRING_EQUAL (r.meta.host, "a.example");
  CU_ASSERT_STRING_EQUAL (r.meta.id, "r-1");
  CU_ASSERT_EQUAL (r.meta.wait_ms, 4200);
  CU_ASSERT_EQUAL (r.meta.tokens_in, 1460);
  CU_ASSERT_EQUAL (r.meta.tokens_out, 80);
  CU_ASSERT (r.meta.prefix != 0);
  CU_ASSERT_PTR_NULL (http_header_find (r.headers, "Tenant"));
  CU_ASSERT_PTR_NULL (http_header_find (r.headers, "Target-Instance"));
  CU_ASSERT_PTR_NOT_NULL (http_header_find (r.headers, "Token-Usage"));
  CU_ASSERT_PTR_NOT_NULL (http_header_find (r.headers, "Deadline-Ms-X"));
  talloc_free (ctx);
}

/* Guards against a part that is not looked at, or a last part that is, and
 * against malformed and endless lists. */
static void
test_parts_of_prompts (void)
{
  static const struct
  {
    const char *value;
    size_t count;
  } lists[] = {
    { "5c:8,9:4", 1 },          { "5c:8", 0 },      { "", 0 },
    { "a:1,b:2,c:3", 2 },       { "a:1,A:2,z", 1 }, { ",,,", 0 },
    { " a : 1 , b:2 ,c:3", 2 }, { "a,b,c", 2 },     { ":5,:6,x:1", 0 },
  };
  uint64_t parts[4];
  uint64_t others[4];
  for (size_t i = 0; i < sizeof lists / sizeof lists[0]; i++)
    {
      http_header_t header = { "Prefix-Hash", lists[i].value };
      CU_ASSERT_EQUAL (
          pfm_prompt_parts ((http_headers_t){ &header, 1 }, parts, 4),
          lists[i].count);
    }
  http_header_t first = { "Prefix-Hash", "a:1,b:2,c:3" };
  http_header_t spaced = { "prefix-hash", "A:9, B:2,d:3" };
  (void)pfm_prompt_parts ((http_headers_t){ &first, 1 }, parts, 4);
  (void)pfm_prompt_parts ((http_headers_t){ &spaced, 1 }, others, 4);
  CU_ASSERT (parts[0] != parts[1] && parts[0] != 0);
  CU_ASSERT (parts[0] == others[0] && parts[1] == others[1]);
  http_header_t two[]
      = { { "Prefix-Hash", "a:1,b:2" }, { "Prefix-Hash", "c:3,d:4" } };
  CU_ASSERT_EQUAL (pfm_prompt_parts ((http_headers_t){ two, 2 }, parts, 4), 3);
  GString *many = g_string_new (NULL);
  for (int i = 0; i < 10000; i++)
    g_string_append_printf (many, "%x:1,", i);
  http_header_t endless = { "Prefix-Hash", many->str };
  CU_ASSERT_EQUAL (
      pfm_prompt_parts ((http_headers_t){ &endless, 1 }, parts, 4), 4);
  (void)g_string_free (many, TRUE);
}

/* Guards against an own response that counts as foreign: white space around an
 * id is no part of it, and upstreams repeat the id without. */
static void
test_request_id_is_trimmed (void)
{
  static const http_header_t sent[] = { { "Request-Id", " r-1 \t" } };
  void *ctx = talloc_new (NULL);
  ev_request_t r = {
    .method = "POST", .path = "/p/x", .query = "", .headers = { sent, 1 }
  };
  pfm_request_decode (ctx, &r);
  CU_ASSERT_STRING_EQUAL (r.meta.id, "r-1");
  talloc_free (ctx);
}

/* Guards against an empty signature as a signature. */
static void
test_empty_signature_is_none (void)
{
  static const http_header_t signature[] = { { "Response-Signature", "" } };
  void *ctx = talloc_new (NULL);
  ev_upstream_t u = { .status = 200, .headers = { signature, 1 } };
  pfm_response_decode (ctx, &u);
  CU_ASSERT (!u.is_signed);
  talloc_free (ctx);
}

static void
test_upstream_headers (void)
{
  static const http_header_t own[] = { { "X-Request-Id", "r-1" } };
  void *ctx = talloc_new (NULL);
  http_headers_t h
      = pfm_upstream_encode (ctx, &(fx_upstream_t){ .headers = { own, 1 },
                                                    .host = "a.example",
                                                    .upstream = "i-1",
                                                    .customer = "t1",
                                                    .resume_after = "7",
                                                    .deadline_ms = 900 });
  CU_ASSERT_STRING_EQUAL (http_header_find (h, "Request-Id"), "r-1");
  CU_ASSERT_STRING_EQUAL (http_header_find (h, "Target-Instance"), "i-1");
  CU_ASSERT_STRING_EQUAL (http_header_find (h, "Tenant"), "t1");
  CU_ASSERT_STRING_EQUAL (http_header_find (h, "Last-Event-Id"), "7");
  CU_ASSERT_STRING_EQUAL (http_header_find (h, "Deadline-Ms"), "900");
  h = pfm_upstream_encode (ctx, &(fx_upstream_t){ .customer = "" });
  CU_ASSERT_EQUAL (h.n, 0);
  talloc_free (ctx);
}

static void
test_not_run_responses (void)
{
  static const http_header_t shed[]
      = { { "Not-Executed", "1" }, { "Request-Id", "r-1" } };
  void *ctx = talloc_new (NULL);
  ev_upstream_t u = { .status = 503, .headers = { shed, 2 } };
  pfm_response_decode (ctx, &u);
  CU_ASSERT (u.not_run);
  CU_ASSERT_STRING_EQUAL (http_header_find (u.headers, "X-Request-Id"), "r-1");
  u = (ev_upstream_t){ .status = 503 };
  pfm_response_decode (ctx, &u);
  CU_ASSERT_FALSE (u.not_run);
  u = (ev_upstream_t){ .status = 421 };
  pfm_response_decode (ctx, &u);
  CU_ASSERT (u.not_run);
  http_headers_t h = pfm_reply_encode (
      ctx, &(fx_reply_t){ .status = 503, .retry_after_ms = 250 });
  CU_ASSERT_STRING_EQUAL (http_header_find (h, "Retry-After"), "0.250");
  talloc_free (ctx);
}

/* -- batch jobs ------------------------------------------------------------
 */

static ev_job_t
_job (void *ctx, const char *method, const char *path, const char *query,
      const char *body)
{
  ev_request_t r = { .method = method,
                     .path = path,
                     .query = query,
                     .body = buf_str (body),
                     .meta = { .id = "j-1" } };
  pfm_job_decode (ctx, &r);
  return r.job;
}

static void
test_job_calls (void)
{
  void *ctx = talloc_new (NULL);
  ev_job_t j = _job (ctx, "GET", "/rattanspindle/lots/j-1", "after=12", "");
  CU_ASSERT_EQUAL (j.op, EV_JOB_READ);
  CU_ASSERT_STRING_EQUAL (j.id, "j-1");
  CU_ASSERT_EQUAL (j.after, 12);
  j = _job (ctx, "GET", "/rattanspindle/items/j-1", "id=e%2f5", "");
  CU_ASSERT_EQUAL (j.op, EV_JOB_BODY);
  CU_ASSERT_STRING_EQUAL (j.item, "e/5");
  j = _job (ctx, "DELETE", "/rattanspindle/lots/j-1", "", "");
  CU_ASSERT_EQUAL (j.op, EV_JOB_CANCEL);
  j = _job (ctx, "POST", "/q/1", "",
            "{\"items\":[{\"id\":\"e\",\"path\":\"/q/2\",\"headers\":"
            "{\"Model\":\"m\"},\"body\":\"q83v\",\"tokens\":940}]}");
  CU_ASSERT_EQUAL (j.op, EV_JOB_SUBMIT);
  TST_NEED (j.items != NULL && j.item_count == 1);
  CU_ASSERT_EQUAL (j.items[0].body.n, 3);
  CU_ASSERT_EQUAL (j.items[0].tokens, 940);
  CU_ASSERT_STRING_EQUAL (http_header_find (j.items[0].headers, "Model"), "m");
  j = _job (ctx, "POST", "/q/1", "",
            "{\"items\":[{\"id\":\"e\",\"path\":\"/q/2\",\"headers\":"
            "{\"Tenant\":\"other\",\"request-id\":\"r\",\"Model\":\"m\","
            "\"Target-Instance\":\"i\"},\"body\":\"\",\"tokens\":1}]}");
  TST_NEED (j.items != NULL && j.item_count == 1);
  CU_ASSERT_EQUAL (j.items[0].headers.n, 1);
  j = _job (ctx, "POST", "/q/1", "", "{\"items\":[{\"id\":5}]}");
  CU_ASSERT (j.op == EV_JOB_SUBMIT && j.items == NULL);
  j = _job (ctx, "POST", "/q/1", "", "{\"items\":[{\"id\"");
  CU_ASSERT (j.op == EV_JOB_SUBMIT && j.items == NULL);
  CU_ASSERT_EQUAL (_job (ctx, "POST", "/p/1", "", "measure").op, EV_JOB_NONE);
  talloc_free (ctx);
}

static void
test_results (void)
{
  void *ctx = talloc_new (NULL);
  fx_job_result_t v[]
      = { { .id = "e", .completed = true, .text = { "a\nb", 3 } },
          { .id = "f" } };
  buf_t body = pfm_results_encode (
      ctx, &(fx_job_results_t){ .total = 40, .next = 2, .v = v, .count = 2 });
  CU_ASSERT_STRING_EQUAL (
      body.p, "{\"total\":40,\"nextToken\":2,\"results\":[{\"id\":\"e\","
              "\"state\":\"completed\",\"message\":\"a\\nb\"},{\"id\":\"f\","
              "\"state\":\"dead_letter\",\"message\":\"\"}]}");
  talloc_free (ctx);
}

/* Guards against a word of leaving that is missed, read where there is none,
 * or taken for the word of the upstream that was meant. */
static void
test_leaving_responses (void)
{
  static const struct
  {
    const char *value;
    int status;
    bool leaving;
  } cases[] = {
    { "1", 200, true },   { "1", 500, true },  { "1", 503, true },
    { "1", 421, false },  { "0", 200, false }, { "", 200, false },
    { NULL, 200, false },
  };
  void *ctx = talloc_new (NULL);
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      http_header_t header = { "server-leaving", cases[i].value };
      ev_upstream_t u = { .status = cases[i].status };
      u.headers
          = (http_headers_t){ .v = &header, .n = cases[i].value != NULL };
      pfm_response_decode (ctx, &u);
      CU_ASSERT_EQUAL (u.leaving, cases[i].leaving);
    }
  talloc_free (ctx);
}

/* What the responses' Server-Limit headers VALUES say; NULL ends them. */
static ev_limit_t
limit_of (int status, const char *const *values)
{
  http_header_t v[4];
  size_t n = 0;
  void *ctx = talloc_new (NULL);
  for (; values[n] != NULL; n++)
    v[n] = (http_header_t){ "server-limit", values[n] };
  ev_upstream_t u = { .status = status, .headers = { .v = v, .n = n } };
  pfm_response_decode (ctx, &u);
  talloc_free (ctx);
  return u.limit;
}

/* Guards against a limit that is missed, a value without a meaning that is
 * taken for one, and the word of another upstream (421). */
static void
test_limits_of_responses (void)
{
  static const char *const malformed[]
      = { "",    " ",   "-1",    "-0",  "nan", "inf", "1e999", "2/s",
          "abc", "0x8", "1.2.3", "1,5", "+3",  "e5",  "1 2",   "." };
  static const struct
  {
    const char *text;
    double per_s;
  } named[] = { { "2.4", 2.4 }, { "0", 0 },         { "1e-05", 1e-5 },
                { ".5", 0.5 },  { "1e300", 1e300 }, { "3", 3 } };
  for (size_t i = 0; i < sizeof malformed / sizeof malformed[0]; i++)
    CU_ASSERT_EQUAL (
        limit_of (200, (const char *const[]){ malformed[i], NULL }).kind,
        EV_LIMIT_MALFORMED);
  for (size_t i = 0; i < sizeof named / sizeof named[0]; i++)
    {
      ev_limit_t l
          = limit_of (503, (const char *const[]){ named[i].text, NULL });
      CU_ASSERT_EQUAL (l.kind, EV_LIMIT_NAMED);
      CU_ASSERT_DOUBLE_EQUAL (l.per_s, named[i].per_s, 0);
    }
  CU_ASSERT_EQUAL (limit_of (200, (const char *const[]){ NULL }).kind,
                   EV_LIMIT_ABSENT);
  CU_ASSERT_EQUAL (limit_of (421, (const char *const[]){ "2", NULL }).kind,
                   EV_LIMIT_UNKNOWN);
  CU_ASSERT_EQUAL (
      limit_of (200, (const char *const[]){ "2", "2", NULL }).kind,
      EV_LIMIT_NAMED);
  CU_ASSERT_EQUAL (
      limit_of (200, (const char *const[]){ "2", "3", NULL }).kind,
      EV_LIMIT_MALFORMED);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "document_routes", test_document_routes },
    { "document_jobs_and_customers", test_document_jobs_and_customers },
    { "bad_documents", test_bad_documents },
    { "upstream_entries", test_upstream_entries },
    { "entry_with_an_odd_start_names_no_upstream",
      test_entry_with_an_odd_start_names_no_upstream },
    { "object_requests", test_object_requests },
    { "values_round_trip", test_values_round_trip },
    { "object_responses", test_object_responses },
    { "response_about_other_object", test_response_about_other_object },
    { "lists", test_lists },
    { "deep_entry_leaves_the_list", test_deep_entry_leaves_the_list },
    { "unreadable_value_in_any_list", test_unreadable_value_in_any_list },
    { "document_with_an_unreadable_limit",
      test_document_with_an_unreadable_limit },
    { "entry_with_numbers_out_of_range",
      test_entry_with_numbers_out_of_range },
    { "document_numbers_out_of_range", test_document_numbers_out_of_range },
    { "unreadable_entry_leaves_the_list",
      test_unreadable_entry_leaves_the_list },
    { "unreadable_entry_leaves_other_events",
      test_unreadable_entry_leaves_other_events },
    { "page_without_a_last_name_is_not_the_last",
      test_page_without_a_last_name_is_not_the_last },
    { "cut_list_is_no_list", test_cut_list_is_no_list },
    { "request_headers", test_request_headers },
    { "parts_of_prompts", test_parts_of_prompts },
    { "request_id_is_trimmed", test_request_id_is_trimmed },
    { "empty_signature_is_none", test_empty_signature_is_none },
    { "upstream_headers", test_upstream_headers },
    { "not_run_responses", test_not_run_responses },
    { "leaving_responses", test_leaving_responses },
    { "limits_of_responses", test_limits_of_responses },
    { "job_calls", test_job_calls },
    { "results", test_results },
  };
  return tst_run ("pfm", cases, sizeof cases / sizeof cases[0]);
}

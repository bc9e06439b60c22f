/** @file
 * Tests of the operator API: authorization, lists, changes, withdrawals.
 */
#include "cfs_fleet.h"
#include "tst.h"

#include "core/opr.h"

#define TOKEN "operators-only"
#define HASH_9                                                                \
  "9999999999999999999999999999999999999999999999999999999999999999"

typedef struct
{
  fleet_t *f;
  opr_t *opr;
  char *body; /**< of the last response */
  json_t *json;
  uint64_t caller;
} client_t;

static client_t *
client_setup (unsigned vms)
{
  fleet_t *f = fleet_setup (NULL, &(fleet_desc_t){ .vms = vms, .seed = 1 });
  client_t *d = talloc_zero (f, client_t);
  char hash[KEY_HASH_SIZE + 1];
  key_hash (TOKEN, hash);
  d->f = f;
  d->opr = opr_setup (d, &(opr_desc_t){ .cfs = f->vm[0].cfs,
                                        .key = f->vm[0].key,
                                        .token_sha256 = hash });
  fleet_run (f, 2 * CLK_SECOND);
  return d;
}

static void
client_shutdown (client_t *d)
{
  json_decref (d->json);
  talloc_free (d->f);
}

/* Status of the complete response to CALLER among the effects; 0: none. */
static int
client_response (client_t *d, uint64_t caller)
{
  const fx_list_t *fx = d->f->vm[0].env->fx;
  int status = 0;
  bool ended = false;
  d->body = talloc_strdup (d, "");
  for (size_t i = 0; i < fx->count; i++)
    {
      const fx_t *e = &fx->v[i];
      if (e->kind == FX_REPLY_HEAD && e->reply.caller == caller)
        status = e->reply.status;
      if (e->kind == FX_REPLY_DATA && e->reply.caller == caller)
        d->body = talloc_asprintf_append (
            d->body, "%.*s", (int)e->reply.data.n, e->reply.data.p);
      if (e->kind == FX_REPLY_END && e->reply.caller == caller)
        ended = true;
    }
  json_decref (d->json);
  d->json = json_loads (d->body, JSON_DECODE_ANY, NULL);
  return ended ? status : 0;
}

static int
client_request (client_t *d, const char *token, const char *method,
                const char *path, const char *query, const char *body)
{
  fleet_vm_t *v = &d->f->vm[0];
  char *bearer = talloc_asprintf (d, "Bearer %s", token);
  http_header_t header = { "Authorization", bearer };
  ev_request_t req = { .caller = ++d->caller,
                       .method = method,
                       .path = path,
                       .query = query,
                       .headers = { .v = &header, .n = 1 },
                       .body = buf_str (body) };
  v->env->now = d->f->now;
  CU_ASSERT (opr_request (d->opr, v->env, &req, cfs_doc (v->cfs) != NULL));
  for (int step = 0; step < 2000; step++)
    {
      int status = client_response (d, req.caller);
      fleet_effects_run (d->f, 0);
      if (status != 0)
        return status;
      fleet_run (d->f, 10);
      opr_results_send (d->opr, v->env);
    }
  return 0;
}

static int
get (client_t *d, const char *path, const char *query)
{
  return client_request (d, TOKEN, "GET", path, query, "");
}

static int
post (client_t *d, const char *path, const char *query, const char *body)
{
  return client_request (d, TOKEN, "POST", path, query, body);
}

static json_int_t
number (client_t *d, const char *key)
{
  return json_integer_value (json_object_get (d->json, key));
}

static const char *
error (client_t *d, const char *key)
{
  const json_t *e = json_object_get (d->json, "error");
  const char *s = json_string_value (json_object_get (e, key));
  return s == NULL ? "" : s;
}

#define CUSTOMER "[customer c]\nowner = t\nrate = 1/s\nburst = 1\n"

static void
test_only_with_the_token (void)
{
  static const char *const paths[]
      = { "config",         "config/confirmed", "keys",
          "keys/withdrawn", "customers",        "upstreams",
          "status",         "timeline",         "nothing" };
  client_t *d = client_setup (1);
  for (size_t i = 0; i < sizeof paths / sizeof paths[0]; i++)
    {
      char *path = talloc_asprintf (d, "/v1/operator/%s", paths[i]);
      CU_ASSERT_EQUAL (client_request (d, "other", "GET", path, "", ""), 401);
      CU_ASSERT_EQUAL (client_request (d, "", "POST", path, "", "{}"), 401);
      CU_ASSERT_STRING_EQUAL (error (d, "run"), "not-run");
    }
  CU_ASSERT_EQUAL (
      client_request (d, "x", "POST", "/v1/operator/config", "", CUSTOMER),
      401);
  CU_ASSERT_EQUAL (cfs_version (d->f->vm[0].cfs), 0);
  CU_ASSERT_EQUAL (get (d, "/v1/operator/nothing", ""), 404);
  CU_ASSERT_EQUAL (post (d, "/v1/operator/keys", "", ""), 405);
  CU_ASSERT_EQUAL (client_request (d, "", "GET", "/healthz", "", ""), 200);
  CU_ASSERT_EQUAL (client_request (d, "", "GET", "/metrics", "", ""), 200);
  ev_request_t other = { .path = "/v1/completions", .method = "POST" };
  CU_ASSERT_FALSE (opr_request (d->opr, d->f->vm[0].env, &other, true));
  /* Without a token in the settings all operator requests are refused. */
  opr_t *closed = opr_setup (
      d, &(opr_desc_t){ .cfs = d->f->vm[0].cfs, .key = d->f->vm[0].key });
  d->opr = closed;
  CU_ASSERT_EQUAL (get (d, "/v1/operator/status", ""), 401);
  client_shutdown (d);
}

static void
test_config_over_http (void)
{
  client_t *d = client_setup (3);
  CU_ASSERT_EQUAL (get (d, "/readyz", ""), 503);
  CU_ASSERT_EQUAL (post (d, "/v1/operator/config", "", CUSTOMER), 200);
  CU_ASSERT_EQUAL (number (d, "version"), 1);
  CU_ASSERT_EQUAL (get (d, "/readyz", ""), 200);
  CU_ASSERT_EQUAL (get (d, "/v1/operator/config", ""), 200);
  CU_ASSERT_STRING_EQUAL (
      d->body, "# configuration version 1\n[customer c]\nowner = t\n"
               "rate = 1/s\nburst = 1\n");
  const char *next = "[customer c]\nowner = t\nrate = 2/s\nburst = 1\n";
  CU_ASSERT_EQUAL (post (d, "/v1/operator/config/diff", "base=1", next), 200);
  CU_ASSERT_STRING_EQUAL (
      json_string_value (json_object_get (d->json, "diff")),
      "[customer c]\n-rate = 1/s\n+rate = 2/s\n");
  CU_ASSERT_EQUAL (post (d, "/v1/operator/config", "base=1&token=x", next),
                   200);
  CU_ASSERT_EQUAL (post (d, "/v1/operator/config", "base=1&token=x", next),
                   200);
  CU_ASSERT_EQUAL (number (d, "version"), 2);
  fleet_run (d->f, 2 * CLK_SECOND);
  CU_ASSERT_EQUAL (get (d, "/v1/operator/config/confirmed", "version=2"), 200);
  CU_ASSERT_EQUAL (number (d, "vms"), 3);
  CU_ASSERT_EQUAL (number (d, "confirmed"), 3);
  CU_ASSERT_EQUAL (get (d, "/v1/operator/config/confirmed", "version=3"), 200);
  CU_ASSERT_EQUAL (number (d, "confirmed"), 0);
  client_shutdown (d);
}

static void
test_changes_refused_over_http (void)
{
  client_t *d = client_setup (3);
  const char *next = "[customer c]\nowner = t\nrate = 2/s\nburst = 1\n";
  CU_ASSERT_EQUAL (post (d, "/v1/operator/config", "", CUSTOMER), 200);
  CU_ASSERT_EQUAL (post (d, "/v1/operator/config", "base=1", next), 200);
  CU_ASSERT_EQUAL (post (d, "/v1/operator/config", "base=1", CUSTOMER), 409);
  CU_ASSERT_STRING_EQUAL (error (d, "code"), "conflict");
  CU_ASSERT_STRING_EQUAL (error (d, "run"), "not-run");
  CU_ASSERT_EQUAL (post (d, "/v1/operator/config", "base=2", "[x]\n[y]\n"),
                   200);
  CU_ASSERT_EQUAL (
      post (d, "/v1/operator/config", "base=2", "[x]\na=b\n[y]\na=b\n"), 422);
  CU_ASSERT_PTR_NOT_NULL (strstr (error (d, "message"), "[x]"));
  CU_ASSERT_PTR_NOT_NULL (strstr (error (d, "message"), "[y]"));
  CU_ASSERT_EQUAL (post (d, "/v1/operator/config", "base=9", next), 409);
  CU_ASSERT_STRING_EQUAL (error (d, "code"), "stale");
  CU_ASSERT_EQUAL (post (d, "/v1/operator/config", "base=-1", next), 400);
  fleet_platform_stop (d->f);
  fleet_run (d->f, 1 * CLK_SECOND);
  CU_ASSERT_EQUAL (post (d, "/v1/operator/config", "base=2", CUSTOMER), 503);
  CU_ASSERT_STRING_EQUAL (error (d, "run"), "not-run");
  client_shutdown (d);
}

static void
test_keys_over_http (void)
{
  client_t *d = client_setup (3);
  CU_ASSERT_EQUAL (post (d, "/v1/operator/config", "", CUSTOMER), 200);
  const char *issue = "{\"name\":\"k\",\"customer\":\"c\",\"owner\":\"t\","
                      "\"sha256\":\"" HASH_9 "\"}";
  CU_ASSERT_EQUAL (post (d, "/v1/operator/keys/issue", "token=i", issue), 200);
  CU_ASSERT_EQUAL (post (d, "/v1/operator/keys/issue", "token=i", issue), 200);
  CU_ASSERT_EQUAL (number (d, "version"), 2);
  static const char *const bad[] = {
    "",
    "[]",
    "{\"name\":\"k\"}",
    "{\"name\":\"k\\n[customer c]\",\"customer\":\"c\",\"owner\":\"t\","
    "\"sha256\":\"" HASH_9 "\"}",
    "{\"name\":\"l\",\"customer\":\"c\\nrate = 9/s\",\"owner\":\"t\","
    "\"sha256\":\"" HASH_9 "\"}",
  };
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    CU_ASSERT_EQUAL (post (d, "/v1/operator/keys/issue", "", bad[i]), 400);
  CU_ASSERT_EQUAL (
      post (d, "/v1/operator/keys/issue", "",
            "{\"name\":\"l\",\"customer\":\"z\",\"owner\":\"t\","
            "\"sha256\":\"8888888888888888888888888888888888888888"
            "888888888888888888888888\"}"),
      422);
  CU_ASSERT_EQUAL (get (d, "/v1/operator/keys", ""), 200);
  CU_ASSERT_PTR_NULL (strstr (d->body, HASH_9));
  CU_ASSERT_EQUAL (get (d, "/v1/operator/keys/withdrawn", "name=k"), 404);
  fleet_platform_stop (d->f);
  CU_ASSERT_EQUAL (
      post (d, "/v1/operator/keys/withdraw", "", "{\"name\":\"z\"}"), 404);
  CU_ASSERT_EQUAL (
      post (d, "/v1/operator/keys/withdraw", "", "{\"name\":\"k\"}"), 200);
  CU_ASSERT_EQUAL (number (d, "confirmed"), 1);
  CU_ASSERT (json_is_false (json_object_get (d->json, "stored")));
  fleet_run (d->f, 2 * CLK_SECOND);
  CU_ASSERT_EQUAL (get (d, "/v1/operator/keys/withdrawn", "name=k"), 200);
  CU_ASSERT_EQUAL (number (d, "confirmed"), 3);
  CU_ASSERT_EQUAL (get (d, "/v1/operator/keys", ""), 200);
  CU_ASSERT_PTR_NOT_NULL (strstr (d->body, "\"withdrawn\":true"));
  CU_ASSERT_EQUAL (post (d, "/v1/operator/keys/issue", "", issue), 409);
  client_shutdown (d);
}

static void
test_upstream_leaves (void)
{
  client_t *d = client_setup (2);
  CU_ASSERT_EQUAL (
      post (d, "/v1/operator/config", "",
            "[data-centre a]\nowner = t\n"
            "[deployment d]\nowner = t\nkind = plain\nslots = 1\n"
            "[upstream u]\nowner = t\ndeployment = d\ndata_centre = a\n"
            "address = 127.0.0.1:1\n"),
      200);
  CU_ASSERT_EQUAL (post (d, "/v1/operator/upstreams/u/leave", "", ""), 200);
  fleet_run (d->f, 2 * CLK_SECOND);
  for (unsigned i = 0; i < 2; i++)
    CU_ASSERT (cfg_upstream_find (cfs_doc (d->f->vm[i].cfs), "u")->leaving);
  CU_ASSERT_EQUAL (post (d, "/v1/operator/upstreams/u/stay", "", ""), 200);
  CU_ASSERT_EQUAL (get (d, "/v1/operator/upstreams", ""), 200);
  CU_ASSERT_PTR_NOT_NULL (strstr (d->body, "\"leaving\":false"));
  CU_ASSERT_EQUAL (post (d, "/v1/operator/upstreams/z/leave", "", ""), 404);
  CU_ASSERT_EQUAL (post (d, "/v1/operator/upstreams/u", "", ""), 404);
  CU_ASSERT_EQUAL (get (d, "/v1/operator/customers", "name=z"), 404);
  CU_ASSERT_EQUAL (get (d, "/v1/operator/customers", ""), 200);
  CU_ASSERT_EQUAL (get (d, "/v1/operator/status", ""), 200);
  CU_ASSERT_EQUAL (number (d, "config_version"), 3);
  CU_ASSERT_EQUAL (get (d, "/v1/operator/timeline", ""), 200);
  CU_ASSERT (json_array_size (d->json) > 0);
  opr_leave (d->opr);
  CU_ASSERT_EQUAL (get (d, "/readyz", ""), 503);
  client_shutdown (d);
}

static void
test_operator_gone_gets_no_response (void)
{
  client_t *d = client_setup (1);
  fleet_vm_t *v = &d->f->vm[0];
  http_header_t header = { "Authorization", "Bearer " TOKEN };
  ev_request_t req = { .caller = 77,
                       .method = "POST",
                       .path = "/v1/operator/config",
                       .query = "",
                       .headers = { .v = &header, .n = 1 },
                       .body = buf_str (CUSTOMER) };
  v->env->now = d->f->now;
  CU_ASSERT (opr_request (d->opr, v->env, &req, cfs_doc (v->cfs) != NULL));
  CU_ASSERT_EQUAL (opr_waiting_count (d->opr), 1);
  opr_caller_gone (d->opr, 77);
  fleet_effects_run (d->f, 0);
  fleet_run (d->f, 1 * CLK_SECOND);
  opr_results_send (d->opr, v->env);
  CU_ASSERT_EQUAL (client_response (d, 77), 0);
  CU_ASSERT_EQUAL (opr_waiting_count (d->opr), 0);
  CU_ASSERT_EQUAL (cfs_version (v->cfs), 1);
  client_shutdown (d);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "only_with_the_token", test_only_with_the_token },
    { "config_over_http", test_config_over_http },
    { "changes_refused_over_http", test_changes_refused_over_http },
    { "keys_over_http", test_keys_over_http },
    { "upstream_leaves", test_upstream_leaves },
    { "operator_gone_gets_no_response", test_operator_gone_gets_no_response },
  };
  return tst_run ("opr", cases, sizeof cases / sizeof cases[0]);
}

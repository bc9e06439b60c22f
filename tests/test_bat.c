/** @file
 * Batch jobs on one VM and on several VMs, without random faults.
 */
#include "batbed.h"
#include "core/bat_rec.h"
#include "tst.h"

#include <jansson.h>
#include <string.h>
#include <talloc.h>

/* Body of a job of N items for PATH; WORD in an item selects its response
 * (batbed.h). */
static char *
_lines (void *ctx, const char *path, const char *word, unsigned n)
{
  char *body = talloc_strdup (ctx, "");
  for (unsigned i = 0; i < n; i++)
    body = talloc_asprintf_append (
        body,
        "{\"custom_id\":\"c%u\",\"url\":\"%s\",\"body\":{\"prompt\":\"%s "
        "%u\"}}\n",
        i, path, word, i);
  return body;
}

static json_t *
_response_json (batbed_t *bed, uint64_t caller)
{
  const batbed_response_t *response = batbed_response (bed, caller);
  return response->body == NULL
             ? NULL
             : json_loadb (response->body->str, response->body->len, 0, NULL);
}

static const char *
_member (json_t *o, const char *key)
{
  const char *s = json_string_value (json_object_get (o, key));
  return s == NULL ? "" : s;
}

/* Submits a job and stores its id. */
static void
_submit (batbed_t *bed, const char *key, const char *body,
         char id[BAT_ID_SIZE])
{
  uint64_t c
      = batbed_request (bed, 0, "acme", "POST", "/v1/batches", key, body);
  batbed_run (bed, 2 * CLK_SECOND);
  CU_ASSERT_EQUAL (batbed_response (bed, c)->status, 202);
  json_t *o = _response_json (bed, c);
  g_strlcpy (id, _member (o, "id"), BAT_ID_SIZE);
  json_decref (o);
}

/* Sends GET /v1/batches/ID or .../results, or POST .../cancel; WORD is the end
 * of the path.  Returns the status. */
static int
_get (batbed_t *bed, uint32_t vm, const char *customer, const char *id,
      const char *word, json_t **o, char **text)
{
  char *path = g_strdup_printf ("/v1/batches/%s%s", id, word);
  bool post = strcmp (word, "/cancel") == 0;
  uint64_t c = batbed_request (bed, vm, customer, post ? "POST" : "GET", path,
                               NULL, "");
  g_free (path);
  batbed_run (bed, 2 * CLK_SECOND);
  const batbed_response_t *response = batbed_response (bed, c);
  CU_ASSERT_TRUE (response->ended);
  if (o != NULL)
    *o = _response_json (bed, c);
  if (text != NULL)
    *text = g_strdup (response->body->str);
  return response->status;
}

static void
test_job_runs_to_its_end (void)
{
  batbed_t *bed = batbed_setup (&(batbed_desc_t){ .seed = 1, .vms = 1 });
  char id[BAT_ID_SIZE];
  char *body = _lines (bed, "/v1/completions", "hello", 200);
  _submit (bed, "k1", body, id);
  batbed_run (bed, 30 * CLK_SECOND);
  json_t *o;
  CU_ASSERT_EQUAL (_get (bed, 0, "acme", id, "", &o, NULL), 200);
  CU_ASSERT_STRING_EQUAL (_member (o, "state"), "complete");
  CU_ASSERT_EQUAL (json_integer_value (json_object_get (o, "done")), 200);
  json_decref (o);
  char *text;
  CU_ASSERT_EQUAL (_get (bed, 0, "acme", id, "/results", NULL, &text), 200);
  buf_t rest = buf_str (text);
  buf_t line;
  unsigned n = 0;
  while (bat_line_next (&rest, &line))
    {
      json_t *l = json_loadb (line.p, line.n, 0, NULL);
      CU_ASSERT_EQUAL (json_integer_value (json_object_get (l, "n")), n);
      CU_ASSERT_STRING_EQUAL (_member (l, "state"), "done");
      char want[16];
      g_snprintf (want, sizeof want, "c%u", n++);
      CU_ASSERT_STRING_EQUAL (_member (l, "custom_id"), want);
      CU_ASSERT (strstr (_member (l, "body"), "hello") != NULL);
      json_decref (l);
    }
  CU_ASSERT_EQUAL (n, 200);
  g_free (text);
  CU_ASSERT_FALSE (batbed_has_object (bed, "batch/open/"));
  CU_ASSERT_EQUAL (batbed_totals (bed).items_started, 200);
  batbed_shutdown (bed);
}

static void
test_resent_job_is_the_same_job (void)
{
  batbed_t *bed = batbed_setup (&(batbed_desc_t){ .seed = 2, .vms = 3 });
  char id[BAT_ID_SIZE];
  char *body = _lines (bed, "/v1/completions", "hello", 20);
  _submit (bed, "k1", body, id);
  for (uint32_t vm = 0; vm < 3; vm++)
    {
      uint64_t c = batbed_request (bed, vm, "acme", "POST", "/v1/batches",
                                   "k1", body);
      batbed_run (bed, 10 * CLK_SECOND);
      CU_ASSERT_EQUAL (batbed_response (bed, c)->status, 200);
      json_t *o = _response_json (bed, c);
      CU_ASSERT_STRING_EQUAL (_member (o, "id"), id);
      json_decref (o);
    }
  char *other = _lines (bed, "/v1/completions", "other", 20);
  uint64_t c
      = batbed_request (bed, 1, "acme", "POST", "/v1/batches", "k1", other);
  batbed_run (bed, CLK_SECOND);
  CU_ASSERT_EQUAL (batbed_response (bed, c)->status, 409);
  CU_ASSERT_EQUAL (batbed_totals (bed).items_started, 20);
  batbed_shutdown (bed);
}

static void
test_others_do_not_see_the_job (void)
{
  batbed_t *bed = batbed_setup (&(batbed_desc_t){ .seed = 3, .vms = 2 });
  char id[BAT_ID_SIZE];
  _submit (bed, "k1", _lines (bed, "/v1/completions", "hello", 5), id);
  CU_ASSERT_EQUAL (_get (bed, 1, "other", id, "", NULL, NULL), 404);
  CU_ASSERT_EQUAL (_get (bed, 1, "other", id, "/results", NULL, NULL), 404);
  CU_ASSERT_EQUAL (_get (bed, 1, "other", id, "/cancel", NULL, NULL), 404);
  CU_ASSERT_EQUAL (_get (bed, 1, "acme", id, "", NULL, NULL), 200);
  batbed_shutdown (bed);
}

/* Items that always fail, and items that fail a few times, must not keep the
 * others of their job from ending. */
static void
test_failing_items_do_not_block_others (void)
{
  batbed_t *bed = batbed_setup (&(batbed_desc_t){ .seed = 4, .vms = 2 });
  char id[BAT_ID_SIZE];
  char *body = _lines (bed, "/v1/completions", "hello", 30);
  body = talloc_strdup_append (
      body, _lines (bed, "/v1/completions", "impossible", 3));
  body = talloc_strdup_append (body,
                               _lines (bed, "/v1/completions", "flaky", 3));
  body = talloc_strdup_append (body, _lines (bed, "/orders", "flaky", 2));
  _submit (bed, "k1", body, id);
  batbed_run (bed, 20 * CLK_SECOND);
  json_t *o;
  (void)_get (bed, 1, "acme", id, "", &o, NULL);
  CU_ASSERT_STRING_EQUAL (_member (o, "state"), "complete");
  CU_ASSERT_EQUAL (json_integer_value (json_object_get (o, "done")), 33);
  CU_ASSERT_EQUAL (json_integer_value (json_object_get (o, "failed")), 5);
  json_decref (o);
  char *text;
  (void)_get (bed, 1, "acme", id, "/results", NULL, &text);
  CU_ASSERT (strstr (text, "upstream answered 422") != NULL);
  g_free (text);
  CU_ASSERT_EQUAL (batbed_totals (bed).doubled, 0);
  batbed_shutdown (bed);
}

/* Largest object of the platform, in bytes; an item's answer is a part of one.
 */
#define OBJECT_MAX ((size_t)1 << 20)

/* Guards against an answer without end that is read until the item's time
 * limit.  The item runs again, unless it may run only once. */
static void
test_answer_without_end (void)
{
  batbed_t *bed = batbed_setup (&(batbed_desc_t){ .seed = 6, .vms = 1 });
  char id[BAT_ID_SIZE];
  char *body = _lines (bed, "/v1/completions", "endless", 2);
  body = talloc_strdup_append (body, _lines (bed, "/orders", "endless", 1));
  _submit (bed, "k1", body, id);
  batbed_run (bed, 20 * CLK_SECOND);
  CU_ASSERT (batbed_totals (bed).endless_taken > 0);
  CU_ASSERT (batbed_totals (bed).endless_taken <= 4 * OBJECT_MAX);
  json_t *o;
  (void)_get (bed, 0, "acme", id, "", &o, NULL);
  CU_ASSERT_STRING_EQUAL (_member (o, "state"), "complete");
  CU_ASSERT_EQUAL (json_integer_value (json_object_get (o, "done")), 2);
  json_decref (o);
  CU_ASSERT_EQUAL (batbed_totals (bed).doubled, 0);
  batbed_shutdown (bed);
}

static void
test_cancelled_job_stops (void)
{
  batbed_t *bed = batbed_setup (&(batbed_desc_t){
      .seed = 5, .vms = 3, .item_ms = 2000, .bat = { .chunk_items = 50 } });
  char id[BAT_ID_SIZE];
  _submit (bed, "k1", _lines (bed, "/v1/completions", "hello", 1000), id);
  json_t *o;
  CU_ASSERT_EQUAL (_get (bed, 2, "acme", id, "/cancel", &o, NULL), 200);
  CU_ASSERT_STRING_EQUAL (_member (o, "state"), "cancelled");
  json_decref (o);
  batbed_forbid_starts (bed, id);
  batbed_run (bed, CLK_MINUTE);
  CU_ASSERT_EQUAL (batbed_totals (bed).after_stop, 0);
  (void)_get (bed, 1, "acme", id, "", &o, NULL);
  json_int_t done = json_integer_value (json_object_get (o, "done"));
  json_int_t cancelled = json_integer_value (json_object_get (o, "cancelled"));
  CU_ASSERT (done > 0);
  CU_ASSERT_EQUAL (done + cancelled, 1000);
  json_decref (o);
  char *text;
  (void)_get (bed, 1, "acme", id, "/results", NULL, &text);
  unsigned lines = 0;
  for (const char *p = text; *p != '\0'; p++)
    lines += *p == '\n';
  CU_ASSERT_EQUAL (lines, 1000);
  g_free (text);
  batbed_shutdown (bed);
}

static void
test_bad_jobs_are_refused (void)
{
  static const struct
  {
    const char *key;
    const char *body;
    const char *word;
  } bad[] = {
    { NULL, "{\"body\":{}}\n", "Idempotency-Key" },
    { "a", "", "no items" },
    { "b", "{\"body\":{}}\n{oops\n", "line 2" },
    { "c", "{\"body\":3}\n", "line 1" },
    { "d", "{\"url\":\"/nowhere\",\"body\":{}}\n", "no route" },
  };
  batbed_t *bed = batbed_setup (&(batbed_desc_t){ .seed = 6, .vms = 1 });
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      uint64_t c = batbed_request (bed, 0, "acme", "POST", "/v1/batches",
                                   bad[i].key, bad[i].body);
      const batbed_response_t *response = batbed_response (bed, c);
      CU_ASSERT_EQUAL (response->status, 400);
      CU_ASSERT (strstr (response->body->str, bad[i].word) != NULL);
      CU_ASSERT (strstr (response->body->str, "not-run") != NULL);
    }
  CU_ASSERT_FALSE (batbed_has_object (bed, "batch/"));
  batbed_shutdown (bed);
}

static void
test_outage_refuses_new_jobs (void)
{
  batbed_t *bed = batbed_setup (&(batbed_desc_t){ .seed = 7, .vms = 1 });
  batbed_outage (bed, CLK_HOUR);
  char *body = _lines (bed, "/v1/completions", "hello", 5);
  uint64_t c
      = batbed_request (bed, 0, "acme", "POST", "/v1/batches", "k", body);
  batbed_run (bed, 30 * CLK_SECOND);
  CU_ASSERT_EQUAL (batbed_response (bed, c)->status, 503);
  CU_ASSERT (strstr (batbed_response (bed, c)->body->str, "not-run") != NULL);
  CU_ASSERT_FALSE (batbed_has_object (bed, "batch/"));
  batbed_shutdown (bed);
}

static void
test_graceful_shutdown_hands_over (void)
{
  batbed_t *bed = batbed_setup (&(batbed_desc_t){
      .seed = 8, .vms = 2, .item_ms = 500, .bat = { .chunk_items = 20 } });
  char id[BAT_ID_SIZE];
  char *body = _lines (bed, "/v1/completions", "hello", 100);
  body = talloc_strdup_append (body, _lines (bed, "/orders", "order", 40));
  _submit (bed, "k1", body, id);
  batbed_leave (bed, 0);
  batbed_run (bed, 3 * CLK_SECOND);
  CU_ASSERT_TRUE (bat_left (batbed_bat (bed, 0)));
  batbed_kill (bed, 0);
  batbed_run (bed, CLK_MINUTE);
  json_t *o;
  (void)_get (bed, 1, "acme", id, "", &o, NULL);
  CU_ASSERT_STRING_EQUAL (_member (o, "state"), "complete");
  CU_ASSERT_EQUAL (json_integer_value (json_object_get (o, "done")), 140);
  json_decref (o);
  CU_ASSERT_EQUAL (batbed_totals (bed).doubled, 0);
  batbed_shutdown (bed);
}

/* A VM whose only hold has items that cannot be decoded must still run the
 * chunks of other jobs. */
static void
test_unreadable_chunk_does_not_block_other_jobs (void)
{
  batbed_t *bed = batbed_setup (
      &(batbed_desc_t){ .seed = 9,
                        .vms = 2,
                        .item_ms = 500,
                        .bat = { .chunk_items = 10, .max_holds = 1 } });
  batbed_run (bed, 2 * CLK_SECOND);
  char *body = _lines (bed, "/v1/completions", "hello", 40);
  (void)batbed_request (bed, 0, "acme", "POST", "/v1/batches", "k", body);
  char id[BAT_ID_SIZE];
  bat_id_make ("acme", "k", id);
  char *job = bat_name_job (bed, id);
  while (!batbed_has_object (bed, job))
    batbed_run (bed, 1);
  char *prefix = talloc_asprintf (bed, "batch/items/%s/", id);
  batbed_corrupt (bed, prefix);
  (void)batbed_request (bed, 0, "acme", "POST", "/v1/batches", "other", body);
  batbed_run (bed, CLK_MINUTE);
  json_t *o;
  bat_id_make ("acme", "other", id);
  (void)_get (bed, 1, "acme", id, "", &o, NULL);
  CU_ASSERT_STRING_EQUAL (_member (o, "state"), "complete");
  json_decref (o);
  batbed_shutdown (bed);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "job_runs_to_its_end", test_job_runs_to_its_end },
    { "resent_job_is_the_same_job", test_resent_job_is_the_same_job },
    { "others_do_not_see_the_job", test_others_do_not_see_the_job },
    { "failing_items_do_not_block_others",
      test_failing_items_do_not_block_others },
    { "answer_without_end", test_answer_without_end },
    { "cancelled_job_stops", test_cancelled_job_stops },
    { "bad_jobs_are_refused", test_bad_jobs_are_refused },
    { "outage_refuses_new_jobs", test_outage_refuses_new_jobs },
    { "graceful_shutdown_hands_over", test_graceful_shutdown_hands_over },
    { "unreadable_chunk_does_not_block_other_jobs",
      test_unreadable_chunk_does_not_block_other_jobs },
  };
  return tst_run ("bat", cases, sizeof cases / sizeof cases[0]);
}

/** @file
 * Items of jobs that may not become part of a request's head: a submission is
 * refused before anything of it is stored, and what an earlier version has
 * stored is given up without a run.
 */
#include "core/job_int.h"
#include "hst.h"
#include "platform/pfm.h"
#include "tst.h"

#include <string.h>
#include <talloc.h>

/* One part of an item that replaces the sound one; NULL: the sound one. */
typedef struct
{
  const char *id;
  const char *target;
  const char *name;
  const char *value;
} odd_t;

static const odd_t bad[]
    = { { .value = "a\r\n\r\nPOST /x HTTP/1.1\r\nTenant: rival\r\nX: b" },
        { .value = "a\rTenant: rival" },
        { .value = "a\nTenant: rival" },
        { .value = "\x7f" },
        { .name = "X\r\nTenant: rival\r\nY" },
        { .name = "X\rTenant" },
        { .name = "X\nTenant" },
        { .name = "Tenant " },
        { .name = "Tenant: rival" },
        { .name = "" },
        { .id = "a\r\nTenant: rival" },
        { .id = "a\rb" },
        { .id = "a\nb" },
        { .id = " a" },
        { .id = "" },
        { .target = "" },
        { .target = "@10.0.0.1:80" },
        { .target = "rosters/x" },
        { .target = "/rosters/x y" },
        { .target = "/rosters/x HTTP/1.1\r\nTenant: rival\r\nX: y" },
        { .target = "/rosters/x\n" },
        { .target = "/rosters/x#y" } };
static const odd_t sound[] = { { .value = "a\tb" },
                               { .value = "\xc3\xa9" },
                               { .value = "" },
                               { .id = "\xc3\xa9" },
                               { .target = "/rosters/../y" },
                               { .target = "/rosters/%0d%0a?x=%00&y" },
                               { .target = "/rosters//x?" } };

#define COUNT(table) (sizeof (table) / sizeof (table)[0])

static const char *
or_sound (const char *odd, const char *usual)
{
  return odd == NULL ? usual : odd;
}

/* The job "j" of two items, of which the second has ODD. */
static ev_job_t
job_with (void *ctx, const odd_t *odd)
{
  http_header_t *header = talloc_zero (ctx, http_header_t);
  header->name = or_sound (odd->name, "X-Note");
  header->value = or_sound (odd->value, "a");
  ev_job_item_t *items = talloc_zero_array (ctx, ev_job_item_t, 2);
  items[0] = (ev_job_item_t){ .id = "j-0", .target = "/rosters/x" };
  items[1] = (ev_job_item_t){ .id = or_sound (odd->id, "j-1"),
                              .target = or_sound (odd->target, "/rosters/x"),
                              .headers = { .v = header, .n = 1 } };
  return (ev_job_t){
    .op = EV_JOB_SUBMIT, .id = "j", .items = items, .item_count = 2
  };
}

/* Submits JOB at a VM that knows no jobs.  Returns the status of the response,
 * 0 if there is none, and sets *BODY to its text, owned by CTX; with a status
 * nothing has been written. */
static int
submitted (void *ctx, const ev_job_t *job, const char **body)
{
  int status = 0;
  unsigned writes = 0;
  env_t *env = env_setup (ctx, &(env_desc_t){ .vm = "n-1" });
  mbr_t *members = mbr_setup (env, &(mbr_desc_t){ 0 });
  job_set_t *jobs = job_setup (env, &(job_desc_t){ .members = members });
  cfg_route_t route = { .method = "a.example", .path = "/rosters/*" };
  *body = "";
  job_submit (jobs, env, "acme", &route,
              &(ev_request_t){ .caller = 1, .job = *job });
  for (size_t i = 0; i < env->fx->count; i++)
    {
      const fx_t *f = &env->fx->v[i];
      writes += f->kind == FX_PLATFORM;
      if (f->kind == FX_REPLY_HEAD)
        status = f->reply.status;
      if (f->kind == FX_REPLY_DATA)
        *body = buf_to_str (ctx, f->reply.data);
    }
  CU_ASSERT (status == 0 ? writes > 0 : writes == 0);
  return status;
}

/* Guards against a request of a client's own making, as another customer,
 * before an upstream, and against a job that is refused after a part of it was
 * stored: the error names the item. */
static void
test_unsound_item_refuses_its_job (void)
{
  void *ctx = talloc_new (NULL);
  const char *body = "";
  for (size_t i = 0; i < COUNT (bad); i++)
    {
      ev_job_t job = job_with (ctx, &bad[i]);
      CU_ASSERT_EQUAL (submitted (ctx, &job, &body), 400);
      CU_ASSERT (strstr (body, "items[1]") != NULL);
    }
  for (size_t i = 0; i < COUNT (sound); i++)
    {
      ev_job_t job = job_with (ctx, &sound[i]);
      CU_ASSERT_EQUAL (submitted (ctx, &job, &body), 0);
    }
  static const char *const ids[] = { "", " j", "j\rk", "j\xff" };
  for (size_t i = 0; i < COUNT (ids); i++)
    {
      ev_job_t job = job_with (ctx, &sound[0]);
      job.id = ids[i];
      CU_ASSERT_EQUAL (submitted (ctx, &job, &body), 400);
    }
  talloc_free (ctx);
}

/* Guards against a job that is accepted and that no VM can read again. */
static void
test_item_of_too_many_headers_refuses_its_job (void)
{
  void *ctx = talloc_new (NULL);
  const char *body = "";
  http_header_t headers[JOB_HEADERS_MAX + 1];
  for (size_t i = 0; i < COUNT (headers); i++)
    headers[i] = (http_header_t){ "X-Note", "a" };
  ev_job_t job = job_with (ctx, &sound[0]);
  ev_job_item_t item = job.items[1];
  item.headers = (http_headers_t){ .v = headers, .n = JOB_HEADERS_MAX };
  job.items = &item;
  job.item_count = 1;
  CU_ASSERT_EQUAL (submitted (ctx, &job, &body), 0);
  item.headers.n++;
  CU_ASSERT_EQUAL (submitted (ctx, &job, &body), 400);
  talloc_free (ctx);
}

/* The error of the users' JSON names the field. */
static void
test_malformed_field_is_named (void)
{
  static const struct
  {
    const char *item;
    const char *field;
  } rows[] = {
    { "{\"path\":\"/a\"}", "items[0].id" },
    { "{\"id\":\"a\"}", "items[0].path" },
    { "{\"id\":\"a\",\"path\":\"/a\",\"headers\":{\"X\":1}}",
      "items[0].headers" },
    { "{\"id\":\"a\",\"path\":\"/a\",\"tokens\":-1}", "items[0].tokens" },
  };
  for (size_t i = 0; i < COUNT (rows); i++)
    {
      void *ctx = talloc_new (NULL);
      const char *body = "";
      http_header_t id = { "Request-Id", "j" };
      char *text = talloc_asprintf (ctx, "{\"items\":[%s]}", rows[i].item);
      ev_request_t r = { .method = "POST",
                         .path = "/rosters/x",
                         .query = "",
                         .headers = { .v = &id, .n = 1 },
                         .body = buf_str (text) };
      pfm_request_decode (ctx, &r);
      CU_ASSERT_EQUAL (submitted (ctx, &r.job, &body), 400);
      CU_ASSERT (strstr (body, rows[i].field) != NULL);
      talloc_free (ctx);
    }
}

/* Guards against what a VM of an earlier version has accepted: such items are
 * listed as given up, without a run, and the others run. */
static void
test_stored_unsound_item_is_given_up (void)
{
  for (size_t i = 0; i < COUNT (bad); i++)
    {
      void *ctx = talloc_new (NULL);
      hst_t *h = hst_fleet (&(hst_desc_t){ 0 });
      ev_job_t job = job_with (ctx, &bad[i]);
      job_rec_item_t items[2];
      for (size_t k = 0; k < 2; k++)
        items[k] = (job_rec_item_t){ .id = job.items[k].id,
                                     .target = job.items[k].target,
                                     .headers = job.items[k].headers };
      job_rec_t rec = { .id = "j",
                        .customer = "acme",
                        .host = "desk.example",
                        .path = "/rosters/*",
                        .arrived = hst_now (h),
                        .due_ms = 18000,
                        .keep_ms = 60000,
                        .attempts = 3,
                        .items = items,
                        .item_count = 2 };
      hst_object_write (h, JOB_RECORD_PREFIX "j", job_rec_encode (ctx, &rec));
      hst_advance (h, 6000);
      uint64_t c = hst_results_read (h, 0, "j", 0);
      hst_advance (h, 1500);
      const hst_response_t *response = hst_response (h, c);
      CU_ASSERT_EQUAL (response->ids->len, 2);
      CU_ASSERT_EQUAL (hst_run_count (h, ""), 1);
      CU_ASSERT_EQUAL (hst_run_count (h, "j-0"), 1);
      hst_shutdown (h);
      talloc_free (ctx);
    }
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "unsound_item_refuses_its_job", test_unsound_item_refuses_its_job },
    { "item_of_too_many_headers_refuses_its_job",
      test_item_of_too_many_headers_refuses_its_job },
    { "malformed_field_is_named", test_malformed_field_is_named },
    { "stored_unsound_item_is_given_up",
      test_stored_unsound_item_is_given_up },
  };
  return tst_run ("job_heads", cases, sizeof cases / sizeof cases[0]);
}

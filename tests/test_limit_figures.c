/** @file
 * Figures of limits that come from outside: from the document through the
 * limits to the first requests, and in messages of other VMs.  limnet.h checks
 * that no limit is passed.
 */
#include "core/mpk.h"
#include "hst.h"
#include "limrun.h"
#include "platform/pfm.h"
#include "tst.h"

#include <string.h>

/* The users' tolerances. */
#define SLACK                                                                 \
  {                                                                           \
    .window_ms = 5 * CLK_SECOND, .overshoot = 0.1, .requests = 20             \
  }
#define RUN_MS (3 * CLK_SECOND)
/* Requests a second in the table. */
#define ASKED_PER_S 60

/* The customer of a document with RATE and BURST, as texts, as the platform
 * sends it; its name is NULL if the document is not used. */
static cfg_customer_t
customer (void *ctx, const char *rate, const char *burst)
{
  ev_platform_t reply = { 0 };
  char *body = talloc_asprintf (
      ctx,
      "{\"items\":[{\"metadata\":{\"name\":\"main\"},\"spec\":{\"version\":7,"
      "\"routes\":[],\"services\":[],\"tenants\":[{\"name\":\"t\","
      "\"apiKeys\":[\"k\"],\"ratePerS\":%s,\"burst\":%s}]}}],"
      "\"currentRev\":12}",
      rate, burst);
  pfm_object_response_decode (ctx, FX_PLATFORM_DOCUMENT, "", 200,
                              buf_str (body), &reply);
  const cfg_doc_t *doc = reply.document == NULL ? NULL : reply.document->parts;
  return doc == NULL || doc->customer_count != 1 ? (cfg_customer_t){ 0 }
                                                 : doc->customers[0];
}

/* The part of the requests that VMS VMs admit of a customer with LIMIT that
 * asks PER_S a second. */
static double
admitted_part (const cfg_customer_t *limit, uint32_t vms, double per_s)
{
  lrn_t r = lrn_setup (&(net_desc_t){ .vms = vms,
                                      .data_centres = vms > 100 ? 5 : 3,
                                      .delay_ms = 1,
                                      .seed = 3,
                                      .customers = 1,
                                      .rate = limit->rate,
                                      .burst_given = true,
                                      .burst = limit->burst,
                                      .load = 1,
                                      .limits = { .slack = SLACK } });
  net_customer_t *c = &r.n->customers[0];
  c->offered = per_s;
  lrn_until (&r, LRN_WARM_MS + RUN_MS);
  double part = (double)c->admitted / (double)c->arrivals;
  CU_ASSERT (c->arrivals > 20);
  lrn_shutdown (&r);
  return part;
}

/* A figure, and whether it is a rate that serves all of ASKED_PER_S. */
static const struct
{
  const char *text;
  bool serves;
} figures[] = {
  { "0", true },
  { "0.5", false },
  { "1e-9", false },
  { "1000000", true },
  { "50000000", true },
  { "1000000000", true },
  { "2147483648", true },
  { "9007199254740992", true },
  { "9223372036854775807", true },
  { "9223372036854775808", true },
  { "98765432109876543210987654321", true },
  { "1e300", true },
};

/* Guards against a rate that ends every VM or refuses all, as it is larger
 * than the arithmetic was made for. */
static void
test_rates_from_the_document (void)
{
  for (size_t i = 0; i < sizeof figures / sizeof figures[0]; i++)
    for (int k = 0; k < 2; k++)
      {
        void *ctx = talloc_new (NULL);
        const char *burst = k == 0 ? "400" : figures[i].text;
        cfg_customer_t c = customer (ctx, figures[i].text, burst);
        TST_NEED (c.name != NULL);
        double part = c.unlimited ? 1 : admitted_part (&c, 3, ASKED_PER_S);
        /* The burst alone may serve what is asked. */
        CU_ASSERT (figures[i].serves ? part > 0.99 : part < 0.95 || k == 0);
        talloc_free (ctx);
      }
}

/* The same for a burst, beside a rate that serves what is asked. */
static void
test_large_bursts_from_the_document (void)
{
  for (size_t i = 0; i < sizeof figures / sizeof figures[0]; i++)
    {
      void *ctx = talloc_new (NULL);
      cfg_customer_t c = customer (ctx, "200", figures[i].text);
      TST_NEED (c.name != NULL);
      if (c.burst > 1)
        CU_ASSERT (admitted_part (&c, 3, ASKED_PER_S) > 0.99);
      talloc_free (ctx);
    }
}

/* Load: a customer below a rate beside which its burst is too small for a
 * bucket, in a small and in a large fleet.  Guards against all its requests
 * being refused, as no VM ever holds a whole token. */
static void
test_small_bursts (void)
{
  static const double bursts[] = { 0, 0.5, 1, 2 };
  static const uint32_t vms[] = { 3, 8, 250 };
  for (size_t i = 0; i < sizeof bursts / sizeof bursts[0]; i++)
    for (size_t k = 0; k < sizeof vms / sizeof vms[0]; k++)
      {
        cfg_customer_t c = { .rate = 200, .burst = bursts[i] };
        CU_ASSERT (admitted_part (&c, vms[k], 100) > 0.98);
      }
}

/* Load: the same customer at four times its rate.  Guards against a small
 * burst that is passed by more than the settings allow (limit-never-over), and
 * against less than the rate. */
static void
test_small_burst_over_the_rate (void)
{
  static const uint32_t vms[] = { 8, 250 };
  for (size_t k = 0; k < sizeof vms / sizeof vms[0]; k++)
    {
      cfg_customer_t c = { .rate = 200, .burst = 0 };
      double part = admitted_part (&c, vms[k], 800);
      CU_ASSERT (part > 0.2 && part < 0.3);
    }
}

/* A number that no double holds is not read as none. */
static void
test_number_beyond_all_is_not_read (void)
{
  void *ctx = talloc_new (NULL);
  CU_ASSERT_PTR_NULL (customer (ctx, "1e999", "1").name);
  talloc_free (ctx);
}

/* Guards against a time that is told beyond all bounds, and that goes on
 * counting after the limit has changed. */
static void
test_tiny_rate_and_the_next_version (void)
{
  lrn_t r = lrn_setup (&(net_desc_t){ .vms = 1,
                                      .data_centres = 1,
                                      .seed = 1,
                                      .customers = 1,
                                      .rate = 1e-300,
                                      .burst_given = true,
                                      .burst = 1,
                                      .load = 1 });
  net_vm_t *v = &r.n->vms[0];
  cfg_customer_t *c = &r.n->doc.customers[0];
  clk_ms_t retry = 0;
  lim_verdict_t verdict = LIM_ADMITTED;
  for (uint64_t tag = 1; tag <= 3; tag++)
    verdict = lim_admit (v->lim, v->env, v->mbr, c->name, tag, &retry);
  CU_ASSERT_EQUAL (verdict, LIM_REFUSED);
  CU_ASSERT (retry > 0 && retry <= CLK_HOUR + 1);
  c->rate = 200;
  c->burst = 400;
  lim_config_changed (v->lim, v->env, &r.n->doc);
  v->env->now += CLK_SECOND;
  CU_ASSERT_EQUAL (lim_admit (v->lim, v->env, v->mbr, c->name, 9, &retry),
                   LIM_ADMITTED);
  lrn_shutdown (&r);
}

static void
message_pass (net_vm_t *v, const char *from, uint16_t kind, const char *name,
              const int64_t *amounts, size_t count)
{
  mpk_writer_t w;
  mpk_writer_init (&w, v->env);
  mpk_put_str (&w, buf_str (name));
  if (kind != MSG_LIMIT_OFFER)
    mpk_put_uint (&w, 7);
  for (size_t i = 0; i < count; i++)
    mpk_put_int (&w, amounts[i]);
  lim_message_received (v->lim, v->env, from,
                        &(msg_t){ .kind = kind, .body = mpk_done (&w) });
}

/* Guards against an amount in a message of a VM of another version that ends
 * this one, or that this one spends. */
static void
test_amounts_in_messages (void)
{
  static const int64_t odd[]
      = { INT64_MIN, -1, 0, 1, INT64_MAX / 2, INT64_MAX };
  lrn_t r = lrn_setup (&(net_desc_t){ .vms = 3,
                                      .data_centres = 3,
                                      .delay_ms = 1,
                                      .seed = 3,
                                      .customers = 1,
                                      .rate = 200,
                                      .burst_seconds = 2,
                                      .load = 0.5 });
  clk_ms_t until = LRN_WARM_MS;
  for (size_t a = 0; a < sizeof odd / sizeof odd[0]; a++)
    for (size_t b = 0; b < sizeof odd / sizeof odd[0]; b++)
      {
        net_vm_t *v = &r.n->vms[a % 3];
        const char *from = r.n->vms[(a + 1) % 3].name;
        const char *name = r.n->customers[0].name;
        lrn_until (&r, until += 50);
        v->env->now = r.n->now;
        message_pass (v, from, MSG_LIMIT_TOKEN_REQUEST, name,
                      (int64_t[]){ odd[a], odd[b], odd[b], odd[a], 0 }, 5);
        message_pass (v, from, MSG_LIMIT_TOKEN_REQUEST, name,
                      (int64_t[]){ odd[b], odd[a], odd[b], odd[a], 1000 }, 5);
        message_pass (v, from, MSG_LIMIT_SLACK_REQUEST, name, &odd[a], 1);
        message_pass (v, from, MSG_LIMIT_SETTLE, name,
                      (int64_t[]){ odd[a], odd[b] }, 2);
        message_pass (v, from, MSG_LIMIT_OFFER, name, &odd[a], 1);
        /* Grants to the requests that are in progress. */
        for (uint64_t seq = 1; seq < 40; seq++)
          {
            mpk_writer_t w;
            mpk_writer_init (&w, v->env);
            mpk_put_str (&w, buf_str (name));
            mpk_put_uint (&w, (v->env->incarnation << 32) + seq);
            mpk_put_int (&w, MIN (odd[a], 0));
            mpk_put_uint (&w, 1);
            mpk_put_int (&w, odd[b]);
            lim_message_received (
                v->lim, v->env, from,
                &(msg_t){ .kind = MSG_LIMIT_GRANT, .body = mpk_done (&w) });
          }
      }
  uint64_t before = r.n->customers[0].admitted;
  lrn_until (&r, until + 5 * CLK_SECOND);
  CU_ASSERT (r.n->customers[0].admitted > before + 200);
  lrn_shutdown (&r);
}

/* Guards against tokens of items whose sum is taken for a small one. */
static void
test_tokens_of_items_do_not_wrap (void)
{
  hst_t *h = hst_fleet (&(hst_desc_t){ 0 });
  http_header_t key = { "Authorization", "Bearer key-acme" };
  ev_job_item_t items[4];
  for (size_t i = 0; i < 4; i++)
    items[i] = (ev_job_item_t){ .id = talloc_asprintf (h, "i-%zu", i),
                                .target = "/rosters/x",
                                .body = buf_str ("body"),
                                .tokens = (uint64_t)1 << 62 };
  uint64_t c = hst_request (h, 0,
                            &(ev_request_t){ .method = "POST",
                                             .path = "/rosters/x",
                                             .headers = { .v = &key, .n = 1 },
                                             .meta = { .id = "j-1" },
                                             .job = { .op = EV_JOB_SUBMIT,
                                                      .id = "j-1",
                                                      .items = items,
                                                      .item_count = 4 } });
  hst_advance (h, 500);
  CU_ASSERT_EQUAL (hst_response (h, c)->status, 429);
  hst_shutdown (h);
}

/* Guards against a number of an item, or of a head, that is narrowed unchecked
 * or counts as none. */
static void
test_numbers_of_clients (void)
{
  static const struct
  {
    const char *text;
    double tokens;
  } items[] = {
    { "0", 0 },
    { "0.5", 0 },
    { "1e-9", 0 },
    { "1e6", 1e6 },
    { "2147483648", 2147483648.0 },
    { "9007199254740992", PFM_TOKENS_MAX },
    { "9223372036854775807", PFM_TOKENS_MAX },
    { "1e300", PFM_TOKENS_MAX },
  };
  for (size_t i = 0; i < sizeof items / sizeof items[0]; i++)
    {
      void *ctx = talloc_new (NULL);
      ev_request_t r
          = { .method = "POST",
              .path = "/q/1",
              .query = "",
              .meta = { .id = "j-1" },
              .body = buf_str (talloc_asprintf (
                  ctx,
                  "{\"items\":[{\"id\":\"e\",\"path\":\"/q/2\",\"headers\":{},"
                  "\"body\":\"\",\"tokens\":%s}]}",
                  items[i].text)) };
      pfm_job_decode (ctx, &r);
      TST_NEED (r.job.item_count == 1);
      CU_ASSERT_EQUAL ((double)r.job.items[0].tokens, items[i].tokens);
      talloc_free (ctx);
    }
  static const char *const heads[]
      = { "nan", "-nan", "inf", "1e300", "-1", "9223372036854775808" };
  for (size_t i = 0; i < sizeof heads / sizeof heads[0]; i++)
    {
      void *ctx = talloc_new (NULL);
      http_header_t head = { "Deadline-Ms", heads[i] };
      ev_request_t r = { .method = "POST",
                         .path = "/p/1",
                         .query = "",
                         .headers = { .v = &head, .n = 1 } };
      pfm_request_decode (ctx, &r);
      CU_ASSERT_EQUAL (r.meta.wait_ms, 0);
      talloc_free (ctx);
    }
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "rates_from_the_document", test_rates_from_the_document },
    { "large_bursts_from_the_document", test_large_bursts_from_the_document },
    { "small_bursts", test_small_bursts },
    { "small_burst_over_the_rate", test_small_burst_over_the_rate },
    { "number_beyond_all_is_not_read", test_number_beyond_all_is_not_read },
    { "tiny_rate_and_the_next_version", test_tiny_rate_and_the_next_version },
    { "amounts_in_messages", test_amounts_in_messages },
    { "tokens_of_items_do_not_wrap", test_tokens_of_items_do_not_wrap },
    { "numbers_of_clients", test_numbers_of_clients },
  };
  return tst_run ("limit_figures", cases, sizeof cases / sizeof cases[0]);
}

/** @file
 * A fleet in virtual time, and a request that ends each upstream that begins
 * to run it and comes again with the same path, caller and body.
 */
#include "crl.h"
#include "tst.h"

#define ENTRIES 6
#define UPSTREAMS 6
#define RUN_MS (20 * CLK_SECOND)
/* Requests a second. */
#define SOUND 30.0
#define BAD 4.0
#define PART_FIRST 0xf1U
#define PART_OTHER 0x07U
/* Part of the sound requests that must be served while bad ones come. */
#define SERVED_MIN 0.9

static const crl_kind_t sound = { .id = "sound",
                                  .per_s = SOUND,
                                  .parts = { PART_FIRST, PART_OTHER },
                                  .part_count = 2 };
/* The same prompt as sound ones have. */
static const crl_kind_t bad = { .id = "bad",
                                .per_s = BAD,
                                .parts = { PART_FIRST, PART_OTHER },
                                .part_count = 2,
                                .body = "the same again" };

static crl_t *
setup (uint32_t seed)
{
  crl_t *t = crl_setup (&(hst_desc_t){ .entries = ENTRIES,
                                       .workers = 2,
                                       .upstreams = UPSTREAMS },
                        seed);
  hst_crash_set (t->h, (hst_crash_t){ .ids = "bad" });
  /* The list names the starts from then on. */
  hst_advance (t->h, CLK_SECOND);
  return t;
}

/* When all VMs must keep the request away. */
static clk_ms_t
bound (const crl_t *t)
{
  return crl_ended (t) < CRL_REQUEST_ENDS
             ? CLK_NEVER
             : crl_ended_at (t, CRL_REQUEST_ENDS) + CRL_CONTACT_MS;
}

static void
check_stopped (const crl_t *t)
{
  CU_ASSERT (crl_ended (t) > 0);
  CU_ASSERT (crl_sent (t, "bad", bound (t)) <= CRL_SENT_MAX);
}

static void
check_served (const crl_t *t, size_t kind, clk_ms_t from)
{
  crl_counts_t c = crl_count (t, kind, from, hst_now (t->h) - 2 * CLK_SECOND);
  CU_ASSERT (c.asked >= 20);
  CU_ASSERT (c.served >= SERVED_MIN * c.asked);
}

/* Guards against a repeat counting as a new request, at whichever VM it comes,
 * with parts that sound requests share, with others, and with none. */
static void
test_repeats_are_stopped (void)
{
  for (uint32_t seed = 1; seed <= 4; seed++)
    {
      crl_t *t = setup (seed);
      crl_kind_t kind = bad;
      kind.part_count = seed == 4 ? 0 : 2;
      kind.parts[1] = seed == 3 ? 0x4a : PART_OTHER;
      size_t s = crl_kind_add (t, &sound);
      crl_run (t, 2 * CLK_SECOND);
      clk_ms_t from = hst_now (t->h);
      (void)crl_kind_add (t, &kind);
      crl_run (t, RUN_MS);
      check_stopped (t);
      check_served (t, s, from + 2 * CRL_CONTACT_MS);
      crl_shutdown (t);
    }
}

/* Guards against repeats that come seldom never being counted together. */
static void
test_seldom_repeats_are_stopped (void)
{
  crl_t *t = setup (5);
  crl_kind_t kind = bad;
  kind.per_s = 0.5;
  size_t s = crl_kind_add (t, &sound);
  (void)crl_kind_add (t, &kind);
  crl_run (t, 3 * RUN_MS);
  check_stopped (t);
  check_served (t, s, bound (t) + CRL_CONTACT_MS);
  crl_shutdown (t);
}

/* Guards against two requests that end upstreams hiding each other. */
static void
test_two_requests_are_stopped (void)
{
  crl_t *t = setup (6);
  crl_kind_t other = bad;
  other.id = "bad-other";
  other.body = "another one";
  size_t s = crl_kind_add (t, &sound);
  (void)crl_kind_add (t, &bad);
  (void)crl_kind_add (t, &other);
  crl_run (t, RUN_MS);
  /* The third end under either is not known; the sixth is not before. */
  clk_ms_t from = crl_ended (t) >= 2 * CRL_REQUEST_ENDS
                      ? crl_ended_at (t, 2 * CRL_REQUEST_ENDS) + CRL_CONTACT_MS
                      : CLK_NEVER;
  CU_ASSERT (crl_sent (t, "bad", from) <= 2 * CRL_SENT_MAX);
  check_served (t, s, hst_now (t->h) - RUN_MS / 2);
  crl_shutdown (t);
}

/* Guards against a VM that has just started running it again. */
static void
test_restarted_vm_knows_the_request (void)
{
  for (size_t vm = 0; vm < ENTRIES; vm++)
    {
      crl_t *t = setup (7);
      (void)crl_kind_add (t, &sound);
      (void)crl_kind_add (t, &bad);
      crl_run (t, RUN_MS / 2);
      for (int i = 0; i < 3; i++)
        {
          hst_kill (t->h, vm);
          crl_run (t, CLK_SECOND);
          hst_start (t->h, vm);
          crl_run (t, 4 * CLK_SECOND);
        }
      check_stopped (t);
      crl_shutdown (t);
    }
}

/* Guards against an item that ends upstreams being run for ever, and being
 * given up before its time. */
static void
test_item_is_stopped (void)
{
  crl_t *t = setup (8);
  size_t s = crl_kind_add (t, &sound);
  crl_run (t, CLK_SECOND);
  clk_ms_t from = hst_now (t->h);
  (void)hst_submit (t->h, 0, "bad", 1);
  crl_run (t, 2 * RUN_MS);
  check_stopped (t);
  check_served (t, s, from + 2 * CRL_CONTACT_MS);
  uint64_t read = hst_results_read (t->h, 0, "bad", 0);
  hst_advance (t->h, 2 * CLK_SECOND);
  CU_ASSERT_EQUAL (hst_response (t->h, read)->ids->len, 0);
  crl_shutdown (t);
}

/* Guards against a request staying blamed that upstreams bear. */
static void
test_request_becomes_free_again (void)
{
  crl_t *t = setup (9);
  (void)crl_kind_add (t, &sound);
  size_t b = crl_kind_add (t, &bad);
  crl_run (t, 3 * CLK_SECOND);
  CU_ASSERT (crl_ended (t) > 0);
  hst_crash_set (t->h, (hst_crash_t){ .ids = NULL });
  crl_run (t, RUN_MS);
  clk_ms_t from = hst_now (t->h);
  crl_run (t, RUN_MS / 2);
  check_served (t, b, from);
  crl_shutdown (t);
}

/* Guards against a request that is often repeated and sound being refused when
 * upstreams end by themselves. */
static void
test_sound_repeats_go_on (void)
{
  crl_t *t = setup (10);
  crl_kind_t kind = sound;
  kind.body = "polled";
  kind.per_s = 10;
  size_t s = crl_kind_add (t, &kind);
  clk_ms_t from = hst_now (t->h);
  hst_crash_set (t->h, (hst_crash_t){ .down_ms = 700 });
  for (size_t i = 0; i < 24; i++)
    {
      hst_crash (t->h, i % UPSTREAMS);
      crl_run (t, 480);
    }
  crl_run (t, 4 * CLK_SECOND);
  check_served (t, s, from);
  crl_shutdown (t);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "repeats_are_stopped", test_repeats_are_stopped },
    { "seldom_repeats_are_stopped", test_seldom_repeats_are_stopped },
    { "two_requests_are_stopped", test_two_requests_are_stopped },
    { "restarted_vm_knows_the_request", test_restarted_vm_knows_the_request },
    { "item_is_stopped", test_item_is_stopped },
    { "request_becomes_free_again", test_request_becomes_free_again },
    { "sound_repeats_go_on", test_sound_repeats_go_on },
  };
  return tst_run ("crash_repeats", cases, sizeof cases / sizeof cases[0]);
}

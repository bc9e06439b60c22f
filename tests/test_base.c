/** @file
 * Tables (stale handles), timers (order), message bodies (malformed ones) and
 * places in a stream of events.
 */
#include "core/mpk.h"
#include "core/sse.h"
#include "core/tbl.h"
#include "core/tmr.h"
#include "tst.h"

#include <talloc.h>

static void
test_stale_handle_is_detected (void)
{
  tbl_t *t = tbl_setup (NULL, &(tbl_desc_t){ .size = 8, .max = 2 });
  tbl_id_t a = tbl_alloc (t);
  CU_ASSERT_PTR_NOT_NULL (tbl_get (t, a));
  tbl_free (t, a);
  CU_ASSERT_PTR_NULL (tbl_get (t, a));
  tbl_id_t b = tbl_alloc (t);
  CU_ASSERT_NOT_EQUAL (a.id, b.id);
  CU_ASSERT_PTR_NULL (tbl_get (t, a));
  CU_ASSERT_NOT_EQUAL (tbl_alloc (t).id, 0);
  CU_ASSERT_EQUAL (tbl_alloc (t).id, 0);
  tbl_shutdown (t);
}

static void
test_timers_fire_in_order (void)
{
  tmr_t *t = tmr_setup (NULL);
  for (uint64_t i = 0; i < 100; i++)
    tmr_arm (t, (clk_ms_t)(i * 37 % 10), MOD_NODE, i);
  tmr_due_t due;
  tmr_due_t last = { .at = -1 };
  while (tmr_pop (t, 8, &due))
    {
      CU_ASSERT (due.at > last.at
                 || (due.at == last.at && due.seq > last.seq));
      last = due;
    }
  CU_ASSERT_EQUAL (last.at, 8);
  CU_ASSERT_EQUAL (tmr_next (t), 9);
  tmr_shutdown (t);
}

static void
test_malformed_message_body_is_refused (void)
{
  void *ctx = talloc_new (NULL);
  mpk_writer_t w;
  mpk_writer_init (&w, ctx);
  mpk_put_uint (&w, 7);
  mpk_put_str (&w, buf_str ("jy-vejle-1"));
  buf_t body = mpk_done (&w);
  mpk_reader_t r = mpk_reader (ctx, body);
  CU_ASSERT_EQUAL (mpk_get_uint (&r), 7);
  CU_ASSERT (buf_is (mpk_get_str (&r), "jy-vejle-1"));
  CU_ASSERT (mpk_end (&r));
  r = mpk_reader (ctx, body);
  (void)mpk_get_str (&r);
  CU_ASSERT_FALSE (mpk_end (&r));
  static const char huge[] = "\xdd\xff\xff\xff\xff";
  r = mpk_reader (ctx, (buf_t){ .p = huge, .n = sizeof huge - 1 });
  (void)mpk_get_uint (&r);
  CU_ASSERT_FALSE (mpk_end (&r));
  r = mpk_reader (ctx, (buf_t){ .p = body.p, .n = body.n - 1 });
  (void)mpk_get_uint (&r);
  (void)mpk_get_str (&r);
  CU_ASSERT_FALSE (mpk_end (&r));
  talloc_free (ctx);
}

/* Guards against a stream that is cut within an event passing for a whole one,
 * and the other way round, with each kind of line end. */
static void
test_cut_event_is_told_from_a_whole_one (void)
{
  static const struct
  {
    const char *bytes;
    bool inside;
    bool has_event;
  } cases[] = {
    { "", false, false },
    { "id: 1", true, false },
    { "id: 1\n", true, false },
    { "id: 1\ndata: a\n", true, false },
    { "id: 1\ndata: a\n\n", false, true },
    { "id: 1\r\ndata: a\r\n", true, false },
    { "id: 1\r\ndata: a\r\n\r\n", false, true },
    { "id: 1\rdata: a\r\r", false, true },
    { "data: a\n\nd", true, true },
    { "data: a\n\n: comment\n", false, true },
    { "data: a\n\n: comm", true, true },
    { "\n\n", false, false },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      sse_place_t whole = { 0 };
      sse_place_t bytewise = { 0 };
      sse_place_advance (&whole, buf_str (cases[i].bytes));
      for (const char *p = cases[i].bytes; *p != '\0'; p++)
        sse_place_advance (&bytewise, (buf_t){ .p = p, .n = 1 });
      CU_ASSERT_EQUAL (sse_place_is_inside (&whole), cases[i].inside);
      CU_ASSERT_EQUAL (sse_place_is_inside (&bytewise), cases[i].inside);
      CU_ASSERT_EQUAL (whole.events > 0, cases[i].has_event);
    }
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "stale_handle_is_detected", test_stale_handle_is_detected },
    { "timers_fire_in_order", test_timers_fire_in_order },
    { "malformed_message_body_is_refused",
      test_malformed_message_body_is_refused },
    { "cut_event_is_told_from_a_whole_one",
      test_cut_event_is_told_from_a_whole_one },
  };
  return tst_run ("base", cases, sizeof cases / sizeof cases[0]);
}

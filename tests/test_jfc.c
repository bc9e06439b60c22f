/** @file
 * Forecast of jobs (jfc.h): which jobs are refused, on which evidence, and for
 * how long late items give way.
 */
#include "core/jfc.h"
#include "tst.h"

#define NOW ((clk_ms_t)100000)
/** An item of the load: 53 events of 100 ms. */
#define EVENTS 53.0
#define EVENT_MS 100.0
#define ITEM_MS (EVENTS * EVENT_MS)

/** A runner of which RUNS items have completed and that has run WIDTH items at
 * a time for OBSERVED ms until NOW. */
typedef struct
{
  jfc_pace_t pace;
  jfc_width_t width;
  jfc_item_t items[400];
  size_t count;
} runner_t;

static runner_t
_runner (uint32_t runs, uint32_t width, clk_ms_t observed)
{
  runner_t r = { .count = 0 };
  for (uint32_t i = 0; i < runs; i++)
    jfc_pace_add (&r.pace, NOW, EVENTS, EVENT_MS);
  for (clk_ms_t at = NOW - observed; at <= NOW; at += 50)
    jfc_width_add (&r.width, at, width, true);
  return r;
}

static void
_backlog_add (runner_t *r, size_t count, clk_ms_t due, bool running)
{
  while (count-- > 0)
    r->items[r->count++] = (jfc_item_t){ .due = due,
                                         .remaining_ms = ITEM_MS,
                                         .running = running };
}

/* The forecast for a job of 10 items that is due 18 s after NOW. */
static jfc_forecast_t
_forecast (runner_t *r, clk_ms_t now)
{
  return jfc_forecast (&(jfc_query_t){ .items = r->items,
                                       .count = r->count,
                                       .pace = &r->pace,
                                       .width = &r->width,
                                       .due = now + 18 * CLK_SECOND,
                                       .new_items = 10 },
                       now);
}

/* Load: a burst of jobs beyond what fits.  10 items at a time finish about 33
 * in 18 s.  Guards against accepting jobs of which no item can be on time, and
 * against refusing one of which half can. */
static void
test_burst_is_refused_beyond_what_fits (void)
{
  unsigned accepted = 0;
  runner_t r = _runner (20, 10, 20 * CLK_SECOND);
  for (unsigned i = 0; i < 30; i++)
    {
      jfc_forecast_t f = _forecast (&r, NOW);
      if (jfc_refuses (&f, 10))
        {
          CU_ASSERT (f.retry_ms >= CLK_SECOND);
          CU_ASSERT (f.retry_ms <= 10 * CLK_SECOND);
          continue;
        }
      CU_ASSERT_EQUAL (accepted, i);
      accepted++;
      _backlog_add (&r, 10, NOW + 18 * CLK_SECOND, false);
    }
  CU_ASSERT (accepted >= 3 && accepted <= 4);
}

/* Load: a backlog that is late already.  It comes last, so it takes no place
 * from a new job, except where it runs. */
static void
test_late_backlog_does_not_refuse_a_job (void)
{
  runner_t r = _runner (20, 10, 20 * CLK_SECOND);
  _backlog_add (&r, 300, NOW + CLK_SECOND, false);
  jfc_forecast_t f = _forecast (&r, NOW);
  CU_ASSERT_EQUAL (f.on_time, 10);
  _backlog_add (&r, 10, NOW + CLK_SECOND, true);
  f = _forecast (&r, NOW);
  CU_ASSERT_EQUAL (f.ahead, 10);
  CU_ASSERT_EQUAL (f.on_time, 10);
}

/* Failures: a runner that has just started, that has seen less than a wave,
 * whose evidence is old or whose upstreams are all away.  Guards against
 * refusals without evidence. */
static void
test_thin_evidence_refuses_nothing (void)
{
  runner_t cases[]
      = { _runner (0, 10, 20 * CLK_SECOND), _runner (3, 10, 20 * CLK_SECOND),
          _runner (20, 10, 5 * CLK_SECOND), _runner (20, 0, 20 * CLK_SECOND),
          _runner (20, 10, 20 * CLK_SECOND) };
  for (size_t i = 0; i < 5; i++)
    {
      _backlog_add (&cases[i], 400, NOW + 17 * CLK_SECOND, false);
      clk_ms_t now = i == 4 ? NOW + 11 * CLK_SECOND : NOW;
      jfc_forecast_t f = _forecast (&cases[i], now);
      CU_ASSERT (f.weight < 1);
      CU_ASSERT (!jfc_refuses (&f, 10));
    }
}

/* Load: waves of online requests, 2.8 s of 6.6 s.  Items run in the troughs
 * and nothing waits there.  Guards against a width measured in crests only,
 * and against measurements that go back in time. */
static void
test_width_spans_waves (void)
{
  jfc_width_t w = { .at = NOW };
  for (clk_ms_t at = NOW; at < NOW + 66000; at += 50)
    {
      bool crest = (at - NOW) % 6600 < 2800;
      jfc_width_add (&w, at, crest ? 5 : 40, crest);
      jfc_width_add (&w, at - 1000, 1000, true);
    }
  CU_ASSERT (w.usual.sum / w.usual.ms > 20);
  CU_ASSERT (w.usual.sum / w.usual.ms < 40);
}

/* Load: a VM with late items only beside one that can be on time.  Guards
 * against late items that take every slot, and against ones that starve. */
static void
test_late_items_give_way_for_a_bounded_time (void)
{
  jfc_turn_t t = { .since = 0 };
  unsigned gave = 0;
  for (clk_ms_t at = NOW; at < NOW + 45000; at += 50)
    if (jfc_gives_way (&t, at, ITEM_MS, CLK_MINUTE))
      {
        jfc_gave_way (&t, at);
        gave++;
      }
  CU_ASSERT (gave > 900 * 80 / 100 && gave < 900 * 92 / 100);
  /* Just before it is given up, an item gives way no more. */
  CU_ASSERT (!jfc_gives_way (&(jfc_turn_t){ 0 }, NOW, ITEM_MS, 2 * ITEM_MS));
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "burst_is_refused_beyond_what_fits",
      test_burst_is_refused_beyond_what_fits },
    { "late_backlog_does_not_refuse_a_job",
      test_late_backlog_does_not_refuse_a_job },
    { "thin_evidence_refuses_nothing", test_thin_evidence_refuses_nothing },
    { "width_spans_waves", test_width_spans_waves },
    { "late_items_give_way_for_a_bounded_time",
      test_late_items_give_way_for_a_bounded_time },
  };
  return tst_run ("jfc", cases, sizeof cases / sizeof cases[0]);
}

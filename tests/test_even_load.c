/** @file
 * Even load under waves, uneven machines, many VMs on old news, and under
 * failures of what the upstreams state (evl.h: a model without a network).
 */
#include "evl.h"
#include "tst.h"

#include <string.h>

/** A fleet on old news, with uneven machines and waves. */
static evl_desc_t
fleet (rte_even_t even_load)
{
  return (evl_desc_t){ .vms = 33,
                       .upstreams = 24,
                       .news_ms = 200,
                       .utilisation = 0.45,
                       .run_ms = 3 * EVL_WARM_MS,
                       .seed = 3,
                       .router = { .even_load = even_load } };
}

/** Runs D with and without an even spread. */
static void
compare (evl_desc_t d, evl_result_t *on, evl_result_t *off)
{
  d.router.even_load = RTE_EVEN_AUTO;
  *on = evl_run (&d);
  d.router.even_load = RTE_EVEN_OFF;
  *off = evl_run (&d);
}

static bool
are_equal (const evl_result_t *a, const evl_result_t *b)
{
  return a->requests == b->requests && a->mean_ms == b->mean_ms
         && a->fullest == b->fullest && a->far == b->far
         && a->bytes_per_s == b->bytes_per_s;
}

/* Guards against upstreams that are overloaded in turns: waves that 33 VMs
 * spread over uneven machines, by news 200 ms old. */
static void
test_wave_over_uneven_machines_on_old_news (void)
{
  evl_result_t on;
  evl_result_t off;
  compare (fleet (RTE_EVEN_AUTO), &on, &off);
  CU_ASSERT (on.stated > 1000);
  CU_ASSERT (on.late < off.late);
  CU_ASSERT (on.mean_ms < off.mean_ms);
  CU_ASSERT (on.fullest < off.fullest * 1.03);
  /* Cached prefixes keep their worth, and no upstream is asked more often. */
  CU_ASSERT (on.hits > off.hits * 0.9);
  CU_ASSERT (on.polls_per_s <= off.polls_per_s * 1.02);
}

/* Guards against VMs that all send to the same upstream until the next news:
 * news 1,000 ms old. */
static void
test_many_vms_on_very_old_news (void)
{
  evl_desc_t d = fleet (RTE_EVEN_AUTO);
  d.news_ms = 1000;
  evl_result_t on;
  evl_result_t off;
  compare (d, &on, &off);
  CU_ASSERT (on.late < off.late);
  CU_ASSERT (on.mean_ms < off.mean_ms);
}

/* Guards against a wave in one data centre that waits there while others have
 * room, against one that is sent away as a whole, and against one that goes to
 * and fro.  The swing of one seed depends on chance. */
static void
test_wave_in_one_data_centre_spills_over (void)
{
  evl_result_t sum[2] = { { 0 }, { 0 } };
  for (uint32_t seed = 1; seed <= 3; seed++)
    {
      evl_desc_t d = fleet (RTE_EVEN_AUTO);
      evl_result_t r[2];
      d.rate = EVL_LOCAL;
      d.utilisation = 0.5;
      d.seed = seed;
      compare (d, &r[0], &r[1]);
      for (int i = 0; i < 2; i++)
        {
          sum[i].late_local += r[i].late_local / 3;
          sum[i].far += r[i].far / 3;
          sum[i].swing += r[i].swing / 3;
        }
    }
  CU_ASSERT (sum[0].late_local < 0.03);
  CU_ASSERT (sum[0].late_local < 0.6 * sum[1].late_local);
  CU_ASSERT (sum[0].far < sum[1].far + 0.03);
  /* Alternating between none and half would be 3.6. */
  CU_ASSERT (sum[0].swing < 1.5);
}

/* Guards against a small fleet, or one whose upstreams state nothing or
 * something without a meaning, that is served in another way than before. */
static void
test_auto_changes_nothing_elsewhere (void)
{
  static const evl_header_t headers[]
      = { EVL_STATES_NOTHING, EVL_STATES_MALFORMED, EVL_STATES_LOAD };
  for (size_t i = 0; i < sizeof headers / sizeof headers[0]; i++)
    {
      evl_desc_t d = fleet (RTE_EVEN_AUTO);
      d.header = headers[i];
      d.vms = headers[i] == EVL_STATES_LOAD ? RTE_EVEN_VMS_MIN - 1
                                            : RTE_EVEN_VMS_MIN;
      d.run_ms = 2 * EVL_WARM_MS;
      evl_result_t on;
      evl_result_t off;
      compare (d, &on, &off);
      CU_ASSERT (are_equal (&on, &off));
      CU_ASSERT (on.requests > 100);
      CU_ASSERT_EQUAL (on.malformed > 0, headers[i] == EVL_STATES_MALFORMED);
    }
}

/* Guards against an upstream that gets everything because it states that it is
 * idle while requests wait there. */
static void
test_upstream_that_states_to_be_idle_gets_no_more (void)
{
  evl_desc_t d = fleet (RTE_EVEN_AUTO);
  d.header = EVL_ONE_STATES_IDLE;
  evl_result_t on;
  evl_result_t off;
  compare (d, &on, &off);
  CU_ASSERT (on.contradicted > 0);
  CU_ASSERT (on.first_share < 1.5 / (double)d.upstreams);
  CU_ASSERT (on.late < off.late);
}

/* Guards against VMs that take an upstream for idle because its poller gets no
 * reports any more. */
static void
test_silent_load_polls (void)
{
  evl_desc_t d = fleet (RTE_EVEN_AUTO);
  d.silent_from = EVL_WARM_MS;
  evl_result_t on;
  evl_result_t off;
  compare (d, &on, &off);
  CU_ASSERT (on.late <= off.late);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "wave_over_uneven_machines_on_old_news",
      test_wave_over_uneven_machines_on_old_news },
    { "many_vms_on_very_old_news", test_many_vms_on_very_old_news },
    { "wave_in_one_data_centre_spills_over",
      test_wave_in_one_data_centre_spills_over },
    { "auto_changes_nothing_elsewhere", test_auto_changes_nothing_elsewhere },
    { "upstream_that_states_to_be_idle_gets_no_more",
      test_upstream_that_states_to_be_idle_gets_no_more },
    { "silent_load_polls", test_silent_load_polls },
  };
  return tst_run ("even_load", cases, sizeof cases / sizeof cases[0]);
}

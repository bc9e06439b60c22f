/** @file
 * Tests of the fair queue (order, shares, deadlines, caps) and of the retry
 * budget.
 */
#include "core/fqu.h"
#include "core/rtb.h"
#include "tst.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

/** Push an item of weight 1. */
static st_code_t
push (fqu_t *q, clk_ms_t now, const char *customer, clk_ms_t leave_by,
      uint64_t tag)
{
  clk_ms_t retry = 0;
  return fqu_push (
      q, now,
      &(fqu_item_t){ .customer = customer, .leave_by = leave_by, .tag = tag },
      &retry);
}

/** Tag of the next item; 0: the queue is empty. */
static uint64_t
pop (fqu_t *q, clk_ms_t now)
{
  uint64_t tag = 0;
  return fqu_pop (q, now, &tag) ? tag : 0;
}

static void
test_small_customer_does_not_wait_behind_large (void)
{
  fqu_t *q = fqu_setup (NULL, &(fqu_desc_t){ 0 });
  for (uint64_t i = 1; i <= 100; i++)
    CU_ASSERT_EQUAL (push (q, 1, "large", 60000, i), ST_OK);
  CU_ASSERT_EQUAL (push (q, 2, "small", 60000, 1000), ST_OK);
  uint64_t a = pop (q, 3);
  uint64_t b = pop (q, 3);
  CU_ASSERT (a == 1000 || b == 1000);
  CU_ASSERT_EQUAL (fqu_customer_count (q, "large"), 99);
  fqu_shutdown (q);
}

static void
test_one_customer_is_served_in_order (void)
{
  fqu_t *q = fqu_setup (NULL, &(fqu_desc_t){ 0 });
  for (uint64_t i = 1; i <= 5; i++)
    (void)push (q, 1, "a", 60000, i);
  for (uint64_t i = 1; i <= 5; i++)
    CU_ASSERT_EQUAL (pop (q, 2), i);
  CU_ASSERT_EQUAL (pop (q, 2), 0);
  fqu_shutdown (q);
}

static void
test_unpop_restores_the_order (void)
{
  fqu_t *q = fqu_setup (NULL, &(fqu_desc_t){ 0 });
  (void)push (q, 1, "a", 60000, 1);
  (void)push (q, 1, "a", 60000, 2);
  (void)push (q, 1, "b", 60000, 3);
  uint64_t first = pop (q, 2);
  fqu_unpop (q, first);
  CU_ASSERT_EQUAL (fqu_count (q), 3);
  CU_ASSERT_EQUAL (pop (q, 2), first);
  fqu_shutdown (q);
}

static void
test_unpop_is_no_service (void)
{
  fqu_t *q = fqu_setup (NULL, &(fqu_desc_t){ .initial_rate = 10 });
  for (uint64_t i = 1; i <= 20; i++)
    (void)push (q, 1, "a", 600000, i);
  clk_ms_t before = fqu_expected_wait (q, "a", 1);
  for (clk_ms_t now = 2; now < 300; now++)
    fqu_unpop (q, pop (q, now));
  CU_ASSERT_EQUAL (fqu_expected_wait (q, "a", 1), before);
  fqu_shutdown (q);
}

static void
test_caps_refuse (void)
{
  fqu_t *q
      = fqu_setup (NULL, &(fqu_desc_t){ .customer_max = 3, .total_max = 5 });
  for (uint64_t i = 1; i <= 3; i++)
    CU_ASSERT_EQUAL (push (q, 1, "a", 60000, i), ST_OK);
  CU_ASSERT_EQUAL (push (q, 1, "a", 60000, 4), ST_EXHAUSTED);
  CU_ASSERT_EQUAL (push (q, 1, "b", 60000, 5), ST_OK);
  CU_ASSERT_EQUAL (push (q, 1, "b", 60000, 6), ST_OK);
  CU_ASSERT_EQUAL (push (q, 1, "c", 60000, 7), ST_EXHAUSTED);
  CU_ASSERT (fqu_remove (q, 2));
  CU_ASSERT_FALSE (fqu_remove (q, 2));
  CU_ASSERT_EQUAL (push (q, 1, "c", 60000, 8), ST_OK);
  fqu_shutdown (q);
}

static void
test_push_refuses_item_that_cannot_leave_in_time (void)
{
  fqu_t *q = fqu_setup (NULL, &(fqu_desc_t){ .initial_rate = 10 });
  for (uint64_t i = 1; i <= 20; i++)
    CU_ASSERT_EQUAL (push (q, 0, "a", 60000, i), ST_OK);
  clk_ms_t retry = 0;
  fqu_item_t late = { .customer = "a", .leave_by = 500, .tag = 99 };
  CU_ASSERT_EQUAL (fqu_push (q, 0, &late, &retry), ST_TIMEOUT);
  /* 21 items at 10 a second take 2.1 s, 1.6 s more than the item has. */
  CU_ASSERT_EQUAL (retry, 1600);
  late.customer = "b";
  CU_ASSERT_EQUAL (fqu_push (q, 0, &late, &retry), ST_OK);
  fqu_shutdown (q);
}

static void
test_stalled_queue_drops_items_before_their_deadline (void)
{
  fqu_t *q = fqu_setup (NULL, &(fqu_desc_t){ .initial_rate = 100 });
  for (uint64_t i = 1; i <= 50; i++)
    CU_ASSERT_EQUAL (push (q, 1, "a", 10000, i), ST_OK);
  uint64_t tag = 0;
  clk_ms_t retry = 0;
  CU_ASSERT_FALSE (fqu_late_pop (q, 1, &tag, &retry));
  unsigned dropped = 0;
  while (fqu_late_pop (q, 5000, &tag, &retry))
    {
      dropped++;
      CU_ASSERT (retry >= CLK_SECOND);
    }
  /* After 5 s without a pop most of the 50 cannot leave within 10 s. */
  CU_ASSERT (dropped > 30);
  CU_ASSERT (fqu_count (q) > 0);
  fqu_shutdown (q);
}

#define CUSTOMERS 8

/** Load and counts of customers that share a server of fixed rate, in virtual
 * time. */
typedef struct
{
  double offered[CUSTOMERS]; /**< requests a second */
  double weight[CUSTOMERS];
  double capacity; /**< requests a second */
  unsigned pushed[CUSTOMERS];
  unsigned served[CUSTOMERS];
  unsigned late[CUSTOMERS];           /**< served after leave_by */
  unsigned refused_at_end[CUSTOMERS]; /**< refused in the last 10 ms before
                                          leave_by */
} overload_t;

/** Run the load for 60 s and count. */
static void
overload_run (overload_t *o, uint32_t seed)
{
  GRand *rand = g_rand_new_with_seed (seed);
  fqu_t *q = fqu_setup (NULL, &(fqu_desc_t){ 0 });
  double next[CUSTOMERS] = { 0 };
  double served_until = 0;
  clk_ms_t leave_by[1 << 16];
  uint8_t customer_of[1 << 16];
  uint64_t tag = 0;
  for (clk_ms_t now = 1; now < 60 * CLK_SECOND; now++)
    {
      for (int c = 0; c < CUSTOMERS; c++)
        while (next[c] <= (double)now)
          {
            char name[16];
            (void)snprintf (name, sizeof name, "c%d", c);
            next[c] += -log (1 - g_rand_double (rand)) * CLK_SECOND
                       / o->offered[c];
            tag = (tag + 1) % (1 << 16);
            leave_by[tag] = now + 1000;
            customer_of[tag] = (uint8_t)c;
            clk_ms_t retry = 0;
            fqu_item_t item = { .customer = name,
                                .weight = o->weight[c],
                                .leave_by = leave_by[tag],
                                .tag = tag };
            o->pushed[c]++;
            if (fqu_push (q, now, &item, &retry) != ST_OK)
              CU_ASSERT (retry >= CLK_SECOND);
          }
      uint64_t t = 0;
      clk_ms_t retry = 0;
      while (fqu_late_pop (q, now, &t, &retry))
        if (leave_by[t] - now < 10)
          o->refused_at_end[customer_of[t]]++;
      while (served_until <= (double)now && fqu_pop (q, now, &t))
        {
          served_until = fmax (served_until, (double)now - 1)
                         + CLK_SECOND / o->capacity;
          o->served[customer_of[t]]++;
          o->late[customer_of[t]] += now > leave_by[t];
        }
    }
  fqu_shutdown (q);
  g_rand_free (rand);
}

static void
test_overload_is_shared_fairly (void)
{
  for (uint32_t seed = 1; seed <= 5; seed++)
    {
      /* One customer asks for more than four times its fair share. */
      overload_t o
          = { .offered = { 80, 20, 20, 8, 8, 5, 3, 1 }, .capacity = 80 };
      for (int c = 0; c < CUSTOMERS; c++)
        o.weight[c] = 1;
      overload_run (&o, seed);
      unsigned total = 0;
      for (int c = 0; c < CUSTOMERS; c++)
        {
          total += o.served[c];
          CU_ASSERT_EQUAL (o.late[c], 0);
        }
      /* The server is busy nearly all the time. */
      CU_ASSERT (total > 0.97 * 80 * 60);
      /* Customers that ask for less than their share get all of it. */
      for (int c = 3; c < CUSTOMERS; c++)
        CU_ASSERT (o.served[c] > 0.99 * o.pushed[c]);
      /* The others share the remaining 55 requests a second evenly. */
      for (int c = 0; c < 3; c++)
        {
          CU_ASSERT (o.served[c] > 0.97 * 55 / 3 * 60);
          CU_ASSERT (o.served[c] < 1.05 * 55 / 3 * 60);
        }
    }
}

static void
test_capacity_is_divided_by_weight (void)
{
  overload_t o = { .offered = { 60, 60, 60, 1, 1, 1, 1, 1 },
                   .weight = { 3, 1, 1, 1, 1, 1, 1, 1 },
                   .capacity = 55 };
  overload_run (&o, 7);
  double ratio = (double)o.served[0] / (o.served[1] + o.served[2]);
  CU_ASSERT (ratio > 1.4 && ratio < 1.6);
}

static void
test_refusal_does_not_wait_for_the_deadline (void)
{
  overload_t o = { .offered = { 200, 1, 1, 1, 1, 1, 1, 1 }, .capacity = 50 };
  overload_run (&o, 3);
  /* Requests are refused on arrival, or while they wait as soon as they are
   * known to be too late, and not at the last moment. */
  unsigned refused = o.pushed[0] - o.served[0];
  CU_ASSERT (refused > 5000);
  CU_ASSERT (o.refused_at_end[0] < refused / 50);
}

static void
test_retries_are_limited_to_a_share_of_requests (void)
{
  rtb_t b = { 0 };
  unsigned retries = 0;
  for (clk_ms_t now = 0; now < 100 * CLK_SECOND; now += 10)
    {
      rtb_request (&b, now);
      for (int i = 0; i < 3; i++)
        retries += rtb_take (&b, now);
    }
  /* 10,000 requests in 100 s allow a tenth of that, 1 a second, and the 3 of a
   * new budget. */
  CU_ASSERT (retries >= 1000 + 99);
  CU_ASSERT (retries <= 1000 + 100 + 3);
}

static void
test_retry_floor_without_load (void)
{
  rtb_t b = { 0 };
  for (int i = 0; i < 3; i++)
    CU_ASSERT (rtb_take (&b, 0));
  CU_ASSERT_FALSE (rtb_take (&b, 0));
  CU_ASSERT (rtb_take (&b, CLK_SECOND));
  CU_ASSERT_FALSE (rtb_take (&b, CLK_SECOND));
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "small_customer_does_not_wait_behind_large",
      test_small_customer_does_not_wait_behind_large },
    { "one_customer_is_served_in_order",
      test_one_customer_is_served_in_order },
    { "unpop_restores_the_order", test_unpop_restores_the_order },
    { "unpop_is_no_service", test_unpop_is_no_service },
    { "caps_refuse", test_caps_refuse },
    { "push_refuses_item_that_cannot_leave_in_time",
      test_push_refuses_item_that_cannot_leave_in_time },
    { "stalled_queue_drops_items_before_their_deadline",
      test_stalled_queue_drops_items_before_their_deadline },
    { "overload_is_shared_fairly", test_overload_is_shared_fairly },
    { "capacity_is_divided_by_weight", test_capacity_is_divided_by_weight },
    { "refusal_does_not_wait_for_the_deadline",
      test_refusal_does_not_wait_for_the_deadline },
    { "retries_are_limited_to_a_share_of_requests",
      test_retries_are_limited_to_a_share_of_requests },
    { "retry_floor_without_load", test_retry_floor_without_load },
  };
  return tst_run ("fqu", cases, sizeof cases / sizeof cases[0]);
}

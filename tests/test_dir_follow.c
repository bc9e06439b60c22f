/** @file
 * Directories of 20, 80 and 300 VMs: what their knowledge of the platform's
 * lists costs, and how late it is when the VM that reads for others fails.
 */
#include "core/mpk.h"
#include "dfb.h"
#include "tst.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define START_MS (20 * CLK_SECOND)
#define CALM_MS (30 * CLK_SECOND)
/* The users' bound from a change to its effect everywhere is 2 s at small
 * sites and more at those of this size; forwarding takes a part of it. */
#define BOUND_MS (2 * CLK_SECOND)
/* Calls a second and data centre that a calm fleet may make: two lists, each
 * watched by one VM. */
#define CALLS_PER_S 3

static const struct
{
  size_t vms, data_centres;
} sizes[] = { { 20, 2 }, { 80, 3 }, { 300, 5 } };

/* A bed that has started and settled. */
static dfb_t *
setup (size_t vms, size_t data_centres)
{
  dfb_t *b = dfb_setup (vms, data_centres);
  dfb_run (b, START_MS);
  CU_ASSERT_EQUAL (dfb_behind (b), 0);
  return b;
}

/* Guards against calls to the platform that grow with the number of VMs while
 * little changes. */
static void
test_calls_do_not_grow_with_the_fleet (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      dfb_t *b = setup (sizes[i].vms, sizes[i].data_centres);
      unsigned before = dfb_calls (b);
      for (size_t k = 0; k < 5; k++)
        {
          dfb_upstream_set (b, 1, k % 2 == 0);
          dfb_run (b, CALM_MS / 5);
        }
      unsigned calls = dfb_calls (b) - before;
      printf ("%zu VMs: %u calls in %d s with 5 changes\n", sizes[i].vms,
              calls, (int)(CALM_MS / CLK_SECOND));
      CU_ASSERT (calls <= CALLS_PER_S * sizes[i].data_centres
                              * (unsigned)(CALM_MS / CLK_SECOND));
      CU_ASSERT_EQUAL (dfb_behind (b), 0);
      dfb_shutdown (b);
    }
}

/* Guards against a small fleet whose VMs hang on one of them. */
static void
test_small_fleet_reads_itself (void)
{
  dfb_t *b = setup (8, 2);
  for (size_t i = 0; i < 8; i++)
    CU_ASSERT_EQUAL (dfb_reader (b, i), DFB_VMS_MAX);
  dfb_shutdown (b);
}

/* All VMs that are well must have all changes BOUND_MS after them, whatever
 * FAULT the readers have, then and when it ends. */
static void
check_reader_fault (dfb_fault_t fault, const char *name)
{
  dfb_t *b = setup (80, 3);
  size_t readers[3];
  for (size_t d = 0; d < 3; d++)
    readers[d] = dfb_reader (b, d);
  for (size_t round = 0; round < 3; round++)
    {
      for (size_t d = 0; d < 3; d++)
        {
          CU_ASSERT_NOT_EQUAL_FATAL (readers[d], DFB_VMS_MAX);
          dfb_fault_set (b, readers[d], fault);
        }
      /* Neither at once nor just before the followers notice. */
      dfb_run (b, 1 + (clk_ms_t)round * 700);
      dfb_upstream_set (b, 1, true);
      dfb_upstream_set (b, 2, false);
      dfb_document_set (b);
      dfb_run (b, BOUND_MS);
      size_t behind = dfb_behind (b);
      printf ("readers %s, round %zu: %zu VMs behind\n", name, round, behind);
      CU_ASSERT (behind <= 3);
      dfb_run (b, 3 * CLK_SECOND);
      for (size_t d = 0; d < 3; d++)
        dfb_fault_set (b, readers[d], DFB_WELL);
      dfb_upstream_set (b, 1, false);
      dfb_upstream_set (b, 2, true);
      dfb_run (b, 5 * CLK_SECOND);
      CU_ASSERT_EQUAL (dfb_behind (b), 0);
    }
  dfb_shutdown (b);
}

static void
test_reader_freezes (void)
{
  check_reader_fault (DFB_FROZEN, "frozen");
}

static void
test_reader_is_turned_away (void)
{
  check_reader_fault (DFB_REFUSED, "turned away");
}

static void
test_reader_gets_no_answers (void)
{
  check_reader_fault (DFB_UNANSWERED, "without answers");
}

static void
test_reader_is_cut_off (void)
{
  check_reader_fault (DFB_CUT_OFF, "cut off");
}

/* A message about the upstreams of a reader whose last failed call is
 * FAILED_AGE - 1 ms ago; 0: it has none. */
static buf_t
message_after_failure (void *ctx, uint64_t failed_age, uint64_t from,
                       uint64_t to, const char *name, uint64_t flags)
{
  mpk_writer_t w;
  mpk_writer_init (&w, ctx);
  mpk_put_uint (&w, 1);
  mpk_put_uint (&w, 1);
  mpk_put_uint (&w, from);
  mpk_put_uint (&w, to);
  mpk_put_uint (&w, failed_age);
  if (name != NULL)
    {
      mpk_put_str (&w, buf_str (name));
      mpk_put_uint (&w, flags);
      mpk_put_str (&w, buf_str ("llm"));
      mpk_put_str (&w, buf_str ("dc-0"));
      mpk_put_str (&w, buf_str ("10.0.1.1:80"));
      mpk_put_uint (&w, 1);
      mpk_put_str (&w, buf_str ("v1"));
    }
  return mpk_done (&w);
}

/* The same of a reader without a failed call. */
static buf_t
message (void *ctx, uint64_t from, uint64_t to, const char *name,
         uint64_t flags)
{
  return message_after_failure (ctx, 0, from, to, name, flags);
}

/* Guards against a follower that keeps an upstream which has left in use, as
 * its reader could not reach the platform for a moment. */
static void
test_trouble_of_the_reader_is_not_the_followers (void)
{
  dfb_t *b = setup (20, 2);
  void *tmp = talloc_new (NULL);
  size_t reader = dfb_reader (b, 0);
  size_t vm = reader == 0 ? 2 : 0;
  CU_ASSERT (dfb_knows (b, vm, 0));
  dfb_message (b, vm, reader, MSG_DIRECTORY_HANDED,
               message_after_failure (tmp, 100, 1, 1000, "up-0", 2));
  (void)dir_changed (dfb_dir (b, vm), dfb_env (b, vm));
  CU_ASSERT (!dfb_knows (b, vm, 0));
  talloc_free (tmp);
  dfb_shutdown (b);
}

/* Guards against an old or empty list of a peer undoing a newer one, and
 * against torn, foreign and huge ones. */
static void
test_bad_messages_change_nothing (void)
{
  dfb_t *b = setup (20, 2);
  void *tmp = talloc_new (NULL);
  size_t reader = dfb_reader (b, 0);
  size_t vm = reader == 0 ? 2 : 0;
  unsigned bad = 0;
  /* Old: its revisions are below what all have. */
  dfb_message (b, vm, reader, MSG_DIRECTORY_HANDED,
               message (tmp, 1, 5, "up-0", 2));
  dfb_message (b, vm, reader, MSG_DIRECTORY_HANDED,
               message (tmp, 0, 0, NULL, 0));
  CU_ASSERT (dfb_knows (b, vm, 0));
  /* Torn at each byte. */
  buf_t whole = message (tmp, 1, 1000, "up-0", 2);
  for (size_t n = 0; n < whole.n; n++)
    dfb_message (b, vm, reader, MSG_DIRECTORY_HANDED,
                 (buf_t){ .p = whole.p, .n = n });
  /* Of another data centre, and of nobody. */
  dfb_message (b, vm, 1, MSG_DIRECTORY_HANDED, whole);
  dfb_message (b, vm, 999, MSG_DIRECTORY_HANDED, whole);
  /* Backwards. */
  dfb_message (b, vm, reader, MSG_DIRECTORY_HANDED,
               message (tmp, 1000, 999, "up-0", 2));
  bad = (unsigned)cnt_value (dfb_env (b, vm)->cnt,
                             "rts_directory_bad_messages_total", "");
  CU_ASSERT (bad >= 4);
  CU_ASSERT (dfb_knows (b, vm, 0));
  dfb_run (b, BOUND_MS);
  CU_ASSERT_EQUAL (dfb_behind (b), 0);
  talloc_free (tmp);
  dfb_shutdown (b);
}

/* The cold time that VM has last heard of upstream NAME; -2: none since. */
static clk_ms_t
cold_heard (dfb_t *b, size_t vm, const char *name)
{
  dir_cold_t cold;
  clk_ms_t ms = -2;
  (void)dir_changed (dfb_dir (b, vm), dfb_env (b, vm));
  while (dir_cold_pop (dfb_dir (b, vm), &cold))
    if (strcmp (cold.upstream, name) == 0)
      ms = cold.ms;
  return ms;
}

/* Guards against a cold time that the reader does not hand on, and against a
 * huge one of a peer. */
static void
test_cold_times_are_handed_on (void)
{
  dfb_t *b = setup (20, 2);
  void *tmp = talloc_new (NULL);
  size_t reader = dfb_reader (b, 0);
  size_t vm = reader == 0 ? 2 : 0;
  dfb_upstream_set (b, 1, false);
  dfb_run (b, BOUND_MS);
  CU_ASSERT_EQUAL (cold_heard (b, vm, "up-1"), -2);
  dfb_upstream_set (b, 1, true);
  dfb_run (b, BOUND_MS);
  CU_ASSERT_EQUAL (cold_heard (b, vm, "up-1"), DFB_COLD_MS (1));
  dfb_message (b, vm, reader, MSG_DIRECTORY_HANDED,
               message (tmp, 1, 1000, "up-1", UINT64_MAX & ~UINT64_C (0xff)));
  CU_ASSERT_EQUAL (cold_heard (b, vm, "up-1"), -1);
  talloc_free (tmp);
  dfb_shutdown (b);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "calls_do_not_grow_with_the_fleet",
      test_calls_do_not_grow_with_the_fleet },
    { "small_fleet_reads_itself", test_small_fleet_reads_itself },
    { "reader_freezes", test_reader_freezes },
    { "reader_is_turned_away", test_reader_is_turned_away },
    { "reader_gets_no_answers", test_reader_gets_no_answers },
    { "reader_is_cut_off", test_reader_is_cut_off },
    { "trouble_of_the_reader_is_not_the_followers",
      test_trouble_of_the_reader_is_not_the_followers },
    { "bad_messages_change_nothing", test_bad_messages_change_nothing },
    { "cold_times_are_handed_on", test_cold_times_are_handed_on },
  };
  return tst_run ("dir_follow", cases, sizeof cases / sizeof cases[0]);
}

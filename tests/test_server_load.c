/** @file
 * The load that upstreams state in responses: its decoding by the platform's
 * codec.
 */
#include "platform/pfm.h"
#include "tst.h"

#include <string.h>
#include <talloc.h>

/* What the responses' Server-Load headers VALUES state; NULL ends them. */
static ev_load_t
load_of (int status, const char *const *values)
{
  http_header_t v[4];
  size_t n = 0;
  void *ctx = talloc_new (NULL);
  for (; values[n] != NULL; n++)
    v[n] = (http_header_t){ "server-load", values[n] };
  ev_upstream_t u = { .status = status, .headers = { .v = v, .n = n } };
  pfm_response_decode (ctx, &u);
  talloc_free (ctx);
  return u.load;
}

/* Guards against a load that is missed, also in an error. */
static void
test_three_or_four_figures_state_a_load (void)
{
  ev_load_t l = load_of (200, (const char *const[]){ "7,0,8", NULL });
  CU_ASSERT_EQUAL (l.kind, EV_LOAD_STATED);
  CU_ASSERT (l.running == 7 && l.waiting == 0 && l.slots == 8 && l.pace == 0);
  l = load_of (503, (const char *const[]){ "8,12,8,170", NULL });
  CU_ASSERT_EQUAL (l.kind, EV_LOAD_STATED);
  CU_ASSERT (l.running == 8 && l.waiting == 12 && l.slots == 8
             && l.pace == 170);
}

/* Guards against a value without a meaning that is taken for a load, and
 * against the word of another upstream (421). */
static void
test_other_values_state_no_load (void)
{
  static const char *const malformed[] = { "",
                                           ",",
                                           "1",
                                           "1,2",
                                           "1,2,3,4,5",
                                           "1,2,3,",
                                           "1,2,3,100,",
                                           "-1,0,8",
                                           "+1,0,8",
                                           "1, 0,8",
                                           " 1,0,8",
                                           "1,0,8 ",
                                           "1.5,0,8",
                                           "1;0;8",
                                           "0x1,0,8",
                                           "1,0,0",
                                           "10001,0,8",
                                           "1,10001,8",
                                           "1,0,10001",
                                           "1,0,8,0",
                                           "1,0,8,-5",
                                           "1,0,8,nan",
                                           "1,0,8,10001",
                                           "a,b,c",
                                           "99999999,0,8",
                                           "18446744073709551617,0,8" };
  for (size_t i = 0; i < sizeof malformed / sizeof malformed[0]; i++)
    CU_ASSERT_EQUAL (
        load_of (200, (const char *const[]){ malformed[i], NULL }).kind,
        EV_LOAD_MALFORMED);
  CU_ASSERT_EQUAL (load_of (200, (const char *const[]){ NULL }).kind,
                   EV_LOAD_UNKNOWN);
  CU_ASSERT_EQUAL (load_of (421, (const char *const[]){ "1,0,8", NULL }).kind,
                   EV_LOAD_UNKNOWN);
  CU_ASSERT_EQUAL (
      load_of (200, (const char *const[]){ "1,0,8", "1,0,8", NULL }).kind,
      EV_LOAD_MALFORMED);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "three_or_four_figures_state_a_load",
      test_three_or_four_figures_state_a_load },
    { "other_values_state_no_load", test_other_values_state_no_load },
  };
  return tst_run ("server_load", cases, sizeof cases / sizeof cases[0]);
}

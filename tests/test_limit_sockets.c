/** @file
 * Limits that upstreams name, over real sockets: one VM and two upstreams, one
 * of which names a limit for a while.
 */
#include "drvbed.h"
#include "tst.h"

#include <stdio.h>

#define REQUESTS 40U
#define GAP_MS ((clk_ms_t)100)
#define PER_S 2.0
#define LIMIT "Server-Limit: 2"
/* Least number of REQUESTS that an upstream must get that has a limit, or had
 * one, while the other one has none. */
#define USED_MIN 4U
/* Excess that the users' rule allows in its window of 5 s. */
#define SLACK 20.0
#define WINDOW_S 5.0
/* Time after which knowledge that only an answer can correct is tried. */
#define LAPSE_MS (5 * CLK_SECOND)

/* Sends REQUESTS; returns how many of them upstream 0 got. */
static unsigned
send_all (drvbed_t *b, const char *kind)
{
  unsigned before = drvbed_request_count (b, 0, NULL);
  for (unsigned i = 0; i < REQUESTS; i++)
    {
      char id[32];
      (void)snprintf (id, sizeof id, "%s-%u", kind, i);
      (void)drvbed_ask (b, id);
      drvbed_pass (b, GAP_MS);
    }
  return drvbed_request_count (b, 0, NULL) - before;
}

/* Plays a limit of upstream 0 that its answers name, and its reports as
 * REPORT says, and then neither. */
static void
play (const char *report)
{
  drvbed_t *b
      = drvbed_setup_with (&(drvbed_desc_t){ .upstreams = 2, .near = true });
  TST_NEED (b != NULL);
  drvbed_serve (b, 0);
  drvbed_serve (b, 1);
  drvbed_says (b, 0,
               &(drvbed_says_t){ .header = LIMIT, .report_header = report });
  /* It is heard of. */
  (void)send_all (b, "first");
  unsigned limited = send_all (b, "limited");
  drvbed_says (b, 0, &(drvbed_says_t){ 0 });
  drvbed_pass (b, LAPSE_MS);
  unsigned after = send_all (b, "after");
  printf ("report %s: %u of %u while there was a limit, %u after\n",
          report == NULL ? "says nothing" : report, limited, REQUESTS, after);
  CU_ASSERT (limited >= USED_MIN);
  CU_ASSERT (limited <= (unsigned)(PER_S * WINDOW_S * 1.1 + SLACK));
  CU_ASSERT (after >= USED_MIN);
  drvbed_shutdown (b);
}

/* Guards against an upstream that has named a limit being used no more while
 * another one has none, and after the limit has ended. */
static void
test_limited_upstream_is_used (void)
{
  play (LIMIT);
}

/* The same where its answers alone name the limit, so that nothing is heard of
 * it when it gets none. */
static void
test_limit_in_answers_alone (void)
{
  play (NULL);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "limited_upstream_is_used", test_limited_upstream_is_used },
    { "limit_in_answers_alone", test_limit_in_answers_alone },
  };
  return tst_run ("limit_sockets", cases, sizeof cases / sizeof cases[0]);
}

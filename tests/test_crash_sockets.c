/** @file
 * Requests that end upstreams, over real sockets: one VM and six upstreams,
 * for as long as it takes 33 of them.
 */
#include "drvbed.h"
#include "tst.h"

#include <stdio.h>
#include <string.h>

#define UPSTREAMS 6
#define SPAN_MS (16 * CLK_SECOND)
#define BAD_GAP_MS 480
#define SOUND_GAP_MS 240
#define BACK_MS 700
#define STEP_MS 20
/* The users' rule: from then on at most three. */
#define CONTACT_MS (3 * CLK_SECOND)
#define SENT_MAX 3
/* Part of the sound requests that must be served. */
#define SERVED_MIN 0.8

/** What is sent. */
typedef struct
{
  const char *bad_parts; /* of a prompt; the last one is the request's own */
  const char *bad_body;  /* NULL: each has its own */
  unsigned ends;         /* after which the rule counts */
} load_t;

typedef struct
{
  drvbed_t *b;
  clk_ms_t now;
  clk_ms_t back_at[UPSTREAMS]; /* 0: it runs */
  uint64_t born;               /* of the last start */
  clk_ms_t bound;              /* from which on the rule counts; 0: not yet */
  unsigned ended;
  unsigned sent; /* bad requests that upstreams have got */
  unsigned late; /* of these, since the bound */
} run_t;

static void
start_list (run_t *r, size_t u)
{
  char name[16];
  (void)snprintf (name, sizeof name, "up-%zu", u);
  r->born++;
  drvbed_list (
      r->b, &(drvbed_entry_t){ .name = name, .upstream = u, .born = r->born });
}

/* Upstreams that have ended come back as a new start. */
static void
upstreams_step (run_t *r, unsigned ends)
{
  for (size_t u = 0; u < UPSTREAMS; u++)
    {
      if (drvbed_has_ended (r->b, u) && r->back_at[u] == 0)
        {
          r->back_at[u] = r->now + BACK_MS;
          r->sent++;
          r->late += r->bound != 0 && r->now > r->bound;
          if (++r->ended == ends)
            r->bound = r->now + CONTACT_MS;
        }
      if (r->back_at[u] == 0 || r->now < r->back_at[u])
        continue;
      r->back_at[u] = 0;
      start_list (r, u);
    }
}

static drvbed_answer_t *
ask (run_t *r, const char *kind, unsigned number, const char *parts,
     const char *body)
{
  char id[32];
  char own[48];
  char all[96];
  (void)snprintf (id, sizeof id, "%s-%u", kind, number);
  (void)snprintf (own, sizeof own, "{\"prompt\":\"%s\"}", id);
  (void)snprintf (all, sizeof all, "%s,%x:20", parts, 0x100000 + number);
  return drvbed_ask_parts (r->b, id, all, body == NULL ? own : body);
}

static void
play (const load_t *load)
{
  run_t r = { .b = drvbed_setup_with (
                  &(drvbed_desc_t){ .upstreams = UPSTREAMS, .near = true }),
              .born = 1000 };
  drvbed_answer_t *sound[SPAN_MS / SOUND_GAP_MS + 1];
  unsigned asked = 0;
  unsigned served = 0;
  unsigned bad = 0;
  TST_NEED (r.b != NULL);
  for (size_t u = 0; u < UPSTREAMS; u++)
    {
      start_list (&r, u);
      drvbed_serve (r.b, u);
    }
  CU_ASSERT (drvbed_await_listed (r.b));
  drvbed_end_under (r.b, "bad");
  for (; r.now < SPAN_MS; r.now += STEP_MS)
    {
      if (r.now % BAD_GAP_MS == 0)
        (void)ask (&r, "bad", bad++, load->bad_parts, load->bad_body);
      if (r.now % SOUND_GAP_MS == 0)
        {
          sound[asked] = ask (&r, "sound", asked, "f1:100,07:50", NULL);
          asked++;
        }
      drvbed_pass (r.b, STEP_MS);
      upstreams_step (&r, load->ends);
    }
  drvbed_pass (r.b, CLK_SECOND);
  for (unsigned i = 0; i < asked; i++)
    served += sound[i]->status == 200 && sound[i]->ended && !sound[i]->failed;
  printf ("%s: %u bad requests, %u upstreams ended, %u of them after the "
          "bound; %u of %u sound ones served\n",
          load->bad_parts, bad, r.ended, r.late, served, asked);
  CU_ASSERT (r.ended > 0);
  CU_ASSERT (r.late <= SENT_MAX);
  CU_ASSERT (served >= SERVED_MIN * asked);
  drvbed_shutdown (r.b);
}

/* Guards against a part in the middle that is not read from the header, and
 * against an end that shows itself by the list alone. */
static void
test_part_in_the_middle (void)
{
  play (&(load_t){ .bad_parts = "f1:100,bad:50", .ends = 5 });
}

static void
test_first_part (void)
{
  play (&(load_t){ .bad_parts = "bad:100,07:50", .ends = 5 });
}

/* Guards against the same request counting as new each time it comes. */
static void
test_same_request_again (void)
{
  play (&(load_t){ .bad_parts = "f1:100,07:50",
                   .bad_body = "{\"prompt\":\"again\"}",
                   .ends = 3 });
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "part_in_the_middle", test_part_in_the_middle },
    { "first_part", test_first_part },
    { "same_request_again", test_same_request_again },
  };
  return tst_run ("crash_sockets", cases, sizeof cases / sizeof cases[0]);
}

/** @file
 * Randomized runs of streams and versions: several VMs in virtual time,
 * killed, started, cut off and without the platform, upstreams of two versions
 * that leave, come back and break off, and callers that take up what broke off
 * at any VM.  No stream may hold events of two versions; of those taken up at
 * VMs in touch while two upstreams of their version serve, at least half of
 * the share of new streams must go on.  A failed run is reproduced from its
 * seed.
 *
 *   build/tests/test_versions_soak [--seeds COUNT] [--from SEED]
 */
#include "hst.h"
#include "tst.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SEEDS_DEFAULT 8
#define ENTRIES 5
#define UPSTREAMS 6
#define SETTLE_MS (5 * CLK_SECOND)
#define RUN_MS (40 * CLK_SECOND)
#define STEP_MS 20
/* Between two streams, and between two faults, on average. */
#define STREAM_INTERVAL_MS 20
#define FAULT_INTERVAL_MS 400
#define OUTAGE_MS (2 * CLK_SECOND)
/* Undisturbed for so long, a VM is in touch and an upstream serves. */
#define CONTACT_MS (3 * CLK_SECOND)
/* Tries of a caller besides the first. */
#define TAKE_UPS_MAX 3
/* Time after which a caller gives a stream up. */
#define PATIENCE_MS (4 * CLK_SECOND)
/* Streams below which a share says nothing. */
#define SHARE_MIN 12
#define ID_SIZE 32
#define KEY "key-acme"

static uint32_t seeds = SEEDS_DEFAULT;
static uint32_t from_seed = 1;

/* A stream of a caller, over all its tries. */
typedef struct
{
  uint64_t caller; /* of the last try */
  size_t vm;       /* of the last try */
  unsigned tries;
  clk_ms_t sent_at;    /* the last try */
  char event[ID_SIZE]; /* id of the last whole event; "": none */
  bool counted;        /* the last try counts for the share */
  bool over;
} stream_t;

/* How many tries counted, and how many of them went on. */
typedef struct
{
  unsigned asked;
  unsigned served;
} share_t;

/* One run. */
typedef struct
{
  hst_t *h;
  GRand *rand;
  GArray *streams; /* stream_t */
  bool up[ENTRIES];
  bool isolated[ENTRIES];
  clk_ms_t disturbed_at[ENTRIES];
  clk_ms_t recovers_at[ENTRIES]; /* 0: undisturbed */
  bool leaving[UPSTREAMS];
  clk_ms_t changed_at[UPSTREAMS]; /* when it last left, returned or broke */
  bool platform_down;
  clk_ms_t platform_at; /* when it last went or came back */
  share_t began;
  share_t went_on;
} run_t;

static const char *
version_of (size_t upstream)
{
  return upstream % 2 == 0 ? "v1" : "v2";
}

static bool
chance (run_t *r, clk_ms_t interval)
{
  return g_rand_int_range (r->rand, 0, (gint32)(interval / STEP_MS)) == 0;
}

static size_t
random_below (run_t *r, size_t n)
{
  return (size_t)g_rand_int_range (r->rand, 0, (gint32)n);
}

/* -- faults --------------------------------------------------------------- */

static void
vm_disturb (run_t *r, size_t vm)
{
  clk_ms_t now = hst_now (r->h);
  if (r->recovers_at[vm] != 0)
    return;
  r->disturbed_at[vm] = now;
  r->recovers_at[vm] = now + 300 + (clk_ms_t)random_below (r, 3000);
  if (random_below (r, 2) == 0)
    {
      r->up[vm] = false;
      hst_kill (r->h, vm);
      return;
    }
  r->isolated[vm] = true;
  hst_isolate (r->h, vm, true);
}

static void
platform_set (run_t *r, bool down)
{
  r->platform_down = down;
  r->platform_at = hst_now (r->h);
  hst_platform_down (r->h, HST_MAX, down);
}

static void
faults_recover (run_t *r)
{
  clk_ms_t now = hst_now (r->h);
  if (r->platform_down && now - r->platform_at >= OUTAGE_MS)
    platform_set (r, false);
  for (size_t vm = 0; vm < ENTRIES; vm++)
    {
      if (r->recovers_at[vm] == 0 || now < r->recovers_at[vm])
        continue;
      if (!r->up[vm])
        hst_start (r->h, vm);
      if (r->isolated[vm])
        hst_isolate (r->h, vm, false);
      r->up[vm] = true;
      r->isolated[vm] = false;
      r->recovers_at[vm] = 0;
      r->disturbed_at[vm] = now;
    }
}

/* Has an upstream leave or return; at least one of each version stays. */
static void
upstream_toggle (run_t *r)
{
  size_t u = random_below (r, UPSTREAMS);
  size_t serving = 0;
  for (size_t v = u % 2; v < UPSTREAMS; v += 2)
    serving += !r->leaving[v];
  if (!r->leaving[u] && serving == 1)
    return;
  r->leaving[u] = !r->leaving[u];
  r->changed_at[u] = hst_now (r->h);
  hst_leaving_set (r->h, u, r->leaving[u]);
}

/* Breaks off the next stream of any upstream. */
static void
upstream_break (run_t *r)
{
  hst_fault_t fault = { .break_after = 1 + (unsigned)random_below (r, 12) };
  hst_fault_set (r->h, random_below (r, UPSTREAMS), fault);
}

static void
fault_inject (run_t *r)
{
  size_t kind = random_below (r, 16);
  if (kind < 4)
    vm_disturb (r, random_below (r, ENTRIES));
  else if (kind < 8)
    upstream_toggle (r);
  else if (kind < 15)
    upstream_break (r);
  else
    platform_set (r, true);
}

/* -- callers -------------------------------------------------------------- */

static const char *
id_of (char buffer[ID_SIZE], guint stream, unsigned try)
{
  g_snprintf (buffer, ID_SIZE, "s-%u-%u", stream, try);
  return buffer;
}

/* A VM that takes connections; ENTRIES: none does. */
static size_t
vm_any (run_t *r)
{
  size_t start = random_below (r, ENTRIES);
  for (size_t i = 0; i < ENTRIES; i++)
    if (r->up[(start + i) % ENTRIES])
      return (start + i) % ENTRIES;
  return ENTRIES;
}

static bool
in_touch (const run_t *r, size_t vm)
{
  clk_ms_t now = hst_now (r->h);
  return r->recovers_at[vm] == 0 && now - r->disturbed_at[vm] >= CONTACT_MS
         && !r->platform_down && now - r->platform_at >= CONTACT_MS;
}

/* Whether two upstreams of VERSION serve, undisturbed. */
static bool
two_serve (const run_t *r, const char *version)
{
  clk_ms_t now = hst_now (r->h);
  size_t n = 0;
  for (size_t u = 0; u < UPSTREAMS; u++)
    n += strcmp (version_of (u), version) == 0 && !r->leaving[u]
         && now - r->changed_at[u] >= CONTACT_MS;
  return n >= 2;
}

static void
stream_begin (run_t *r)
{
  char id[ID_SIZE];
  size_t vm = vm_any (r);
  if (vm == ENTRIES)
    return;
  stream_t s = { .vm = vm, .sent_at = hst_now (r->h) };
  s.counted = in_touch (r, vm);
  s.caller = hst_stream (r->h, vm, KEY, id_of (id, r->streams->len, 0));
  g_array_append_val (r->streams, s);
}

/* Takes up stream NUMBER, of which S has an event. */
static void
stream_take_up (run_t *r, guint number, stream_t *s)
{
  char id[ID_SIZE];
  char first[ID_SIZE];
  size_t vm = vm_any (r);
  if (vm == ENTRIES)
    return;
  size_t began = hst_run_upstream (r->h, id_of (first, number, 0), 0);
  s->vm = vm;
  s->tries++;
  s->sent_at = hst_now (r->h);
  s->counted = in_touch (r, vm) && two_serve (r, version_of (began));
  s->caller
      = hst_take_up (r->h, vm, id_of (id, number, s->tries), first, s->event);
}

/* Keeps the id of the last whole event in BODY. */
static void
event_keep (stream_t *s, const char *body)
{
  const char *end = g_strrstr (body, "\n\n");
  const char *last = NULL;
  for (const char *p = strstr (body, "id: ");
       p != NULL && end != NULL && p < end; p = strstr (p + 1, "id: "))
    last = p;
  if (last != NULL)
    g_snprintf (s->event, ID_SIZE, "%d", atoi (last + 4));
}

/* Counts the last try of S, which has ended. */
static void
try_count (run_t *r, stream_t *s, bool served)
{
  share_t *share = s->tries == 0 ? &r->began : &r->went_on;
  if (!s->counted)
    return;
  s->counted = false;
  share->asked++;
  share->served += served;
}

static void
stream_look (run_t *r, guint number, stream_t *s)
{
  const hst_response_t *a = hst_response (r->h, s->caller);
  bool killed = !r->up[s->vm] || r->disturbed_at[s->vm] > s->sent_at;
  bool whole = a->ended && !a->aborted && a->status == 200;
  if (!a->ended && !killed && hst_now (r->h) - s->sent_at < PATIENCE_MS)
    return;
  /* A try whose VM was disturbed meanwhile is none in touch. */
  if (killed)
    s->counted = false;
  try_count (r, s, whole);
  event_keep (s, a->body->str);
  s->over = whole || s->event[0] == '\0' || s->tries == TAKE_UPS_MAX;
  if (!s->over)
    stream_take_up (r, number, s);
}

/* -- checks --------------------------------------------------------------- */

/* All runs of stream NUMBER must be of one version. */
static bool
is_of_one_version (const run_t *r, guint number, const stream_t *s)
{
  char id[ID_SIZE];
  const char *version = NULL;
  for (unsigned try = 0; try <= s->tries; try++)
    {
      (void)id_of (id, number, try);
      unsigned runs = hst_run_count (r->h, id);
      for (unsigned i = 0; i < runs; i++)
        {
          const char *next = version_of (hst_run_upstream (r->h, id, i));
          if (version != NULL && strcmp (version, next) != 0)
            return false;
          version = next;
        }
    }
  return true;
}

static void
check_all (const run_t *r, uint32_t seed)
{
  unsigned mixed = 0;
  unsigned taken_up = 0;
  for (guint i = 0; i < r->streams->len; i++)
    {
      const stream_t *s = &g_array_index (r->streams, stream_t, i);
      taken_up += s->tries;
      mixed += s->event[0] != '\0' && !is_of_one_version (r, i, s);
    }
  double began
      = r->began.asked > 0 ? (double)r->began.served / r->began.asked : 0;
  double went_on = r->went_on.asked > 0
                       ? (double)r->went_on.served / r->went_on.asked
                       : 0;
  bool lost = r->went_on.asked >= SHARE_MIN && went_on < began / 2;
  CU_ASSERT_EQUAL (mixed, 0);
  CU_ASSERT_FALSE (lost);
  printf ("seed %u: %u streams, %u tries taken up; in touch %u of %u new, "
          "%u of %u taken up served; %u mixed%s\n",
          seed, r->streams->len, taken_up, r->began.served, r->began.asked,
          r->went_on.served, r->went_on.asked, mixed, lost ? ", LOST" : "");
}

static void
run_seed (uint32_t seed)
{
  run_t r = { .rand = g_rand_new_with_seed (seed),
              .streams = g_array_new (FALSE, FALSE, sizeof (stream_t)) };
  r.h = hst_setup (&(hst_desc_t){ .entries = ENTRIES,
                                  .workers = 1,
                                  .upstreams = UPSTREAMS,
                                  .resumable = true,
                                  .load_reports = true });
  for (size_t u = 0; u < UPSTREAMS; u++)
    hst_version_set (r.h, u, version_of (u));
  for (size_t vm = 0; vm < ENTRIES; vm++)
    r.up[vm] = true;
  hst_advance (r.h, SETTLE_MS);
  for (clk_ms_t end = hst_now (r.h) + RUN_MS; hst_now (r.h) < end;)
    {
      if (chance (&r, STREAM_INTERVAL_MS))
        stream_begin (&r);
      if (chance (&r, FAULT_INTERVAL_MS))
        fault_inject (&r);
      faults_recover (&r);
      hst_advance (r.h, STEP_MS);
      for (guint i = 0; i < r.streams->len; i++)
        {
          stream_t *s = &g_array_index (r.streams, stream_t, i);
          if (!s->over)
            stream_look (&r, i, s);
        }
    }
  check_all (&r, seed);
  hst_shutdown (r.h);
  g_array_unref (r.streams);
  g_rand_free (r.rand);
}

/* Guards against streams that hold events of two versions, and against
 * refusing those that could go on, under faults that overlap. */
static void
test_streams_keep_their_versions_under_random_faults (void)
{
  for (uint32_t i = 0; i < seeds; i++)
    run_seed (from_seed + i);
}

int
main (int argc, char **argv)
{
  static const tst_case_t cases[] = {
    { "streams_keep_their_versions_under_random_faults",
      test_streams_keep_their_versions_under_random_faults },
  };
  for (int i = 1; i + 1 < argc; i += 2)
    {
      uint32_t value = (uint32_t)strtoul (argv[i + 1], NULL, 10);
      if (strcmp (argv[i], "--seeds") == 0)
        seeds = value;
      if (strcmp (argv[i], "--from") == 0)
        from_seed = value;
    }
  return tst_run ("versions_soak", cases, sizeof cases / sizeof cases[0]);
}

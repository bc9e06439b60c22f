/** @file
 * The directory's calls: how often it asks for news, and where it goes on
 * after a list of several pages.
 */
#include "core/dir.h"
#include "tst.h"

#include <stdio.h>
#include <talloc.h>

#define UPSTREAMS 71
/** Upstreams of a new fleet register within this time. */
#define START_MS (3 * CLK_SECOND)
#define GAP_MS 800

typedef struct
{
  env_t *env;
  mbr_t *members;
  dir_t *dir;
  size_t seen;      /**< effects looked at */
  fx_platform_t at; /**< the call for upstreams that waits now; call 0: none */
  unsigned asked;   /**< calls for upstreams so far */
} bed_t;

/* Look at the new effects. */
static void
_look (bed_t *b)
{
  for (; b->seen < b->env->fx->count; b->seen++)
    {
      const fx_t *f = &b->env->fx->v[b->seen];
      if (f->kind != FX_PLATFORM || f->platform.op != FX_PLATFORM_UPSTREAMS)
        continue;
      b->at = f->platform;
      b->asked++;
    }
}

static bed_t
_bed (void)
{
  bed_t b = { 0 };
  b.env = env_setup (NULL, &(env_desc_t){ .vm = "n-1", .data_centre = "n" });
  b.members = mbr_setup (b.env, &(mbr_desc_t){ 0 });
  b.dir = dir_setup (b.env,
                     &(dir_desc_t){ .members = b.members, .gap_ms = GAP_MS });
  dir_start (b.dir, b.env);
  _look (&b);
  return b;
}

static void
_answer (bed_t *b, const ev_platform_t *reply)
{
  plt_done_t done;
  ev_platform_t numbered = *reply;
  numbered.call = b->at.call;
  b->at.call = 0;
  bool known = plt_reply (b->env, &numbered, &done);
  TST_NEED (known);
  dir_platform_replied (b->dir, b->env, &done, &numbered);
  _look (b);
}

/* Let MS pass. */
static void
_pass (bed_t *b, clk_ms_t ms)
{
  tmr_due_t due;
  b->env->now += ms;
  while (tmr_pop (b->env->tmr, b->env->now, &due))
    if (due.mod == MOD_DIRECTORY)
      dir_timer_fired (b->dir, b->env, due.tag);
  _look (b);
}

static ev_upstream_entry_t
_entry (unsigned i, char *name, size_t size)
{
  (void)snprintf (name, size, "u-%u", i);
  return (ev_upstream_entry_t){ .name = name,
                                .deployment = "llm",
                                .data_centre = "n",
                                .address = "10.0.0.1:80" };
}

/* Replicas of a new fleet register one by one: a VM does not ask again for
 * each of them. */
static void
test_calls_while_upstreams_register (void)
{
  bed_t b = _bed ();
  _answer (&b, &(ev_platform_t){ .revision = 1 });
  unsigned came = 0;
  for (clk_ms_t t = 0; t < START_MS; t += 10)
    {
      unsigned now = (unsigned)(t * UPSTREAMS / START_MS);
      char name[16];
      ev_upstream_entry_t e = _entry (now, name, sizeof name);
      if (b.at.call != 0 && now > came)
        {
          came = now;
          _answer (&b, &(ev_platform_t){ .revision = 1 + now,
                                         .entries = &e,
                                         .entry_count = 1 });
        }
      _pass (&b, 10);
    }
  /* The list, and one call for news in each gap. */
  CU_ASSERT (b.asked <= 2 + START_MS / GAP_MS);
  env_shutdown (b.env);
}

/* A change after a quiet time is heard of at once. */
static void
test_single_change_is_asked_for_at_once (void)
{
  bed_t b = _bed ();
  _answer (&b, &(ev_platform_t){ .revision = 1 });
  _pass (&b, CLK_SECOND);
  _pass (&b, 4 * CLK_SECOND);
  char name[16];
  ev_upstream_entry_t e = _entry (1, name, sizeof name);
  unsigned before = b.asked;
  _answer (&b,
           &(ev_platform_t){ .revision = 2, .entries = &e, .entry_count = 1 });
  CU_ASSERT_EQUAL (b.asked, before + 1);
  CU_ASSERT_EQUAL (b.at.revision, 2);
  env_shutdown (b.env);
}

/* What changes on the first page while the second is read is not in either:
 * news are asked for from the first page's revision on. */
static void
test_list_of_pages_goes_on_from_its_first (void)
{
  bed_t b = _bed ();
  char name[16];
  ev_upstream_entry_t e = _entry (1, name, sizeof name);
  _answer (&b, &(ev_platform_t){ .revision = 5,
                                 .entries = &e,
                                 .entry_count = 1,
                                 .continue_after = "u-1" });
  TST_NEED (b.at.after != NULL);
  CU_ASSERT_STRING_EQUAL (b.at.after, "u-1");
  e = _entry (2, name, sizeof name);
  _answer (&b,
           &(ev_platform_t){ .revision = 9, .entries = &e, .entry_count = 1 });
  _pass (&b, 2 * CLK_SECOND);
  CU_ASSERT_EQUAL (b.at.revision, 5);
  env_shutdown (b.env);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "calls_while_upstreams_register", test_calls_while_upstreams_register },
    { "single_change_is_asked_for_at_once",
      test_single_change_is_asked_for_at_once },
    { "list_of_pages_goes_on_from_its_first",
      test_list_of_pages_goes_on_from_its_first },
  };
  return tst_run ("dir", cases, sizeof cases / sizeof cases[0]);
}

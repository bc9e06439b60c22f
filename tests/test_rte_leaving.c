/** @file
 * Routing: what an upstream has said of its own leaving, against what the
 * document says of it.
 */
#include "core/rte.h"
#include "tst.h"

#include <stdio.h>
#include <talloc.h>

/* Unix time at which the node's clock is 0, in ms. */
#define UNIX_START ((clk_ms_t)1800000000000)
#define ASKED_AT ((clk_ms_t)5000) /* on the node's clock */
#define ASKED_UNIX ((uint64_t)(UNIX_START + ASKED_AT))
#define BORN (ASKED_UNIX - 60000)

/* One VM with a router; the document names one upstream, "u". */
typedef struct
{
  env_t *env;
  rte_t *rte;
} fixture_t;

/* Puts a document in force that names "u", started at BORN_AT, or none. */
static void
list (fixture_t *f, const char *name, uint64_t born_at)
{
  char *text = talloc_strdup (f, "[data-centre x]\nowner = t\n"
                                 "[deployment d]\nowner = t\n"
                                 "kind = engine\nslots = 4\n");
  if (name != NULL)
    text = talloc_asprintf_append (text,
                                   "[upstream %s]\nowner = t\ndeployment = d\n"
                                   "data_centre = x\naddress = 10.0.0.1:80\n",
                                   name);
  cfg_doc_t *doc = NULL;
  st_t st = { 0 };
  CU_ASSERT_EQUAL (cfg_doc_parse (f, buf_str (text), &doc, &st), ST_OK);
  if (name != NULL)
    doc->upstreams[0].born = born_at;
  rte_config_changed (f->rte, f->env, doc);
}

static fixture_t *
fixture_setup (void)
{
  fixture_t *f = talloc_zero (NULL, fixture_t);
  f->env = env_setup (f, &(env_desc_t){ .vm = "a",
                                        .data_centre = "x",
                                        .seed = 7,
                                        .unix_offset_ms = UNIX_START });
  f->env->now = ASKED_AT;
  mbr_t *members = mbr_setup (f, &(mbr_desc_t){ 0 });
  f->rte = rte_setup (f, &(rte_desc_t){ .members = members });
  list (f, "u", BORN);
  return f;
}

/* Sends a request; returns its handle, or 0 when no upstream takes it. */
static uint64_t
send_request (fixture_t *f)
{
  rte_pick_t pick;
  if (!rte_pick (f->rte, f->env, &(rte_query_t){ .deployment = "d" }, &pick))
    return 0;
  rte_started (f->rte, f->env, pick.handle);
  return pick.handle;
}

static bool
gets_requests (fixture_t *f)
{
  uint64_t handle = send_request (f);
  rte_finished (f->rte, f->env, handle);
  return handle != 0;
}

/* Has a request to "u" answered with the word that it is leaving. */
static void
hear (fixture_t *f)
{
  uint64_t handle = send_request (f);
  TST_NEED (handle != 0);
  rte_said_leaving (f->rte, f->env, handle);
  rte_finished (f->rte, f->env, handle);
}

/* Guards against a leaving upstream that gets requests because the list still
 * says that it is ready. */
static void
test_list_does_not_undo_the_word (void)
{
  fixture_t *f = fixture_setup ();
  CU_ASSERT (gets_requests (f));
  hear (f);
  CU_ASSERT (!gets_requests (f));
  list (f, "u", BORN);
  CU_ASSERT (!gets_requests (f));
  CU_ASSERT (rte_leaving (f->rte, f->env, "u"));
  talloc_free (f);
}

/* Guards against a word that is forgotten when the list drops the upstream for
 * a while. */
static void
test_relist_does_not_undo_the_word (void)
{
  fixture_t *f = fixture_setup ();
  hear (f);
  list (f, NULL, 0);
  list (f, "u", BORN);
  CU_ASSERT (!gets_requests (f));
  list (f, "u", 0);
  CU_ASSERT (!gets_requests (f));
  talloc_free (f);
}

/* Guards against an upstream that stays unused after it has started anew. */
static void
test_new_start_undoes_the_word (void)
{
  fixture_t *f = fixture_setup ();
  hear (f);
  list (f, "u", ASKED_UNIX + 1);
  CU_ASSERT (gets_requests (f));
  CU_ASSERT (!rte_leaving (f->rte, f->env, "u"));
  talloc_free (f);
}

/* Guards against a late list: a start before the request may be the one that
 * answered it. */
static void
test_start_before_the_request_does_not_undo_the_word (void)
{
  fixture_t *f = fixture_setup ();
  hear (f);
  list (f, "u", ASKED_UNIX);
  CU_ASSERT (!gets_requests (f));
  talloc_free (f);
}

/* Guards against a VM whose clock is fast and that would never use a new start
 * of the upstream: one of which it is not certain is out of use for a while.
 */
static void
test_doubt_about_a_start_ends (void)
{
  fixture_t *f = fixture_setup ();
  hear (f);
  list (f, "u", ASKED_UNIX);
  f->env->now += 50 * CLK_SECOND;
  CU_ASSERT (!gets_requests (f));
  f->env->now += 20 * CLK_SECOND;
  CU_ASSERT (gets_requests (f));
  list (f, "u", BORN);
  CU_ASSERT (!gets_requests (f));
  talloc_free (f);
}

/* Guards against a new start that is taken for the old one, whose word comes
 * after the list's news. */
static void
test_word_of_an_earlier_start_does_not_bar_a_new_one (void)
{
  fixture_t *f = fixture_setup ();
  uint64_t handle = send_request (f);
  f->env->now += 100;
  list (f, "u", ASKED_UNIX + 50);
  rte_said_leaving (f->rte, f->env, handle);
  rte_finished (f->rte, f->env, handle);
  CU_ASSERT (gets_requests (f));
  talloc_free (f);
}

/* Guards against a VM whose clock is late: the upstream that it asked started
 * later than its clock says. */
static void
test_late_clock_does_not_undo_the_word (void)
{
  fixture_t *f = fixture_setup ();
  list (f, "u", ASKED_UNIX + 3000);
  hear (f);
  CU_ASSERT (!gets_requests (f));
  list (f, "u", ASKED_UNIX + 3000);
  CU_ASSERT (!gets_requests (f));
  talloc_free (f);
}

/* Guards against notes that grow without limit, and against a limit that
 * forgets an upstream in use. */
static void
test_notes_are_bounded_and_keep_upstreams_in_use (void)
{
  fixture_t *f = fixture_setup ();
  hear (f);
  for (int i = 0; i < 5000; i++)
    {
      char name[16];
      (void)snprintf (name, sizeof name, "v%d", i);
      f->env->now++;
      list (f, name, BORN);
      hear (f);
      if (i % 1000 == 0)
        list (f, "u", BORN);
    }
  list (f, "u", BORN);
  CU_ASSERT (!gets_requests (f));
  list (f, "v4999", BORN);
  CU_ASSERT (!gets_requests (f));
  list (f, "v1", BORN);
  CU_ASSERT (gets_requests (f));
  talloc_free (f);
}

/* Guards against requests to a start that may have said that it is leaving
 * when the list names it after more time than the doubt lasts: an upstream
 * serves on until the platform has accepted that it leaves, and the platform
 * was silent. */
static void
test_late_list_does_not_undo_the_word (void)
{
  fixture_t *f = fixture_setup ();
  hear (f);
  f->env->now += 70 * CLK_SECOND;
  list (f, "u", ASKED_UNIX);
  CU_ASSERT (!gets_requests (f));
  talloc_free (f);
}

/* Guards against a start that is out of use for good because the clock of its
 * machine, or of another writer's entry before it, was set back or wrong. */
static void
test_start_by_a_clock_set_back_is_used_in_the_end (void)
{
  fixture_t *f = fixture_setup ();
  hear (f);
  list (f, "u", BORN - 2000);
  CU_ASSERT (!gets_requests (f));
  f->env->now += CLK_HOUR;
  list (f, "u", BORN - 2000);
  CU_ASSERT (gets_requests (f));
  talloc_free (f);
}

/* Puts a document in force with COUNT upstreams in data centre x that started
 * at BORN_AT, of which the list calls the first LEAVING ones leaving. */
static void
list_many_born (fixture_t *f, unsigned count, unsigned leaving,
                uint64_t born_at)
{
  char *text = talloc_strdup (f, "[data-centre x]\nowner = t\n"
                                 "[deployment d]\nowner = t\n"
                                 "kind = engine\nslots = 4\n");
  for (unsigned i = 0; i < count; i++)
    text = talloc_asprintf_append (
        text,
        "[upstream w%u]\nowner = t\ndeployment = d\ndata_centre = x\n"
        "address = 10.0.0.%u:80\nleaving = %s\n",
        i, i + 2, i < leaving ? "yes" : "no");
  cfg_doc_t *doc = NULL;
  st_t st = { 0 };
  CU_ASSERT_EQUAL (cfg_doc_parse (f, buf_str (text), &doc, &st), ST_OK);
  for (size_t i = 0; i < doc->upstream_count; i++)
    doc->upstreams[i].born = born_at;
  rte_config_changed (f->rte, f->env, doc);
}

/* The same, of upstreams whose starts the list does not give. */
static void
list_many (fixture_t *f, unsigned count, unsigned leaving)
{
  list_many_born (f, count, leaving, 0);
}

#define MANY 12 /* upstreams in one data centre, more than a VM uses there */
#define USED 6  /* upstreams that a VM uses there */

/* Guards against a VM that has no upstream left when those that it uses leave
 * together, though others of the data centre stay. */
static void
test_others_take_the_places_of_leaving_upstreams (void)
{
  fixture_t *f = fixture_setup ();
  list_many (f, MANY, 0);
  for (int i = 0; i < MANY - 1; i++)
    hear (f);
  CU_ASSERT (gets_requests (f));
  hear (f);
  CU_ASSERT (!gets_requests (f));
  talloc_free (f);
}

/* The same for upstreams that the list calls leaving. */
static void
test_others_take_the_places_of_listed_leaving_upstreams (void)
{
  fixture_t *f = fixture_setup ();
  list_many (f, MANY, MANY - 1);
  CU_ASSERT (gets_requests (f));
  talloc_free (f);
}

/* Guards against a VM that has no upstream left because starts in doubt, which
 * it may not use yet, hold all places of the data centre. */
static void
test_others_keep_the_places_of_starts_in_doubt (void)
{
  fixture_t *f = fixture_setup ();
  list_many_born (f, MANY, 0, BORN);
  uint64_t handles[USED];
  for (int i = 0; i < USED; i++)
    handles[i] = send_request (f);
  for (int i = 0; i < USED; i++)
    rte_said_leaving (f->rte, f->env, handles[i]);
  CU_ASSERT (gets_requests (f));
  list_many_born (f, MANY, 0, ASKED_UNIX);
  CU_ASSERT (gets_requests (f));
  talloc_free (f);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "list_does_not_undo_the_word", test_list_does_not_undo_the_word },
    { "relist_does_not_undo_the_word", test_relist_does_not_undo_the_word },
    { "new_start_undoes_the_word", test_new_start_undoes_the_word },
    { "start_before_the_request_does_not_undo_the_word",
      test_start_before_the_request_does_not_undo_the_word },
    { "doubt_about_a_start_ends", test_doubt_about_a_start_ends },
    { "word_of_an_earlier_start_does_not_bar_a_new_one",
      test_word_of_an_earlier_start_does_not_bar_a_new_one },
    { "late_clock_does_not_undo_the_word",
      test_late_clock_does_not_undo_the_word },
    { "notes_are_bounded_and_keep_upstreams_in_use",
      test_notes_are_bounded_and_keep_upstreams_in_use },
    { "late_list_does_not_undo_the_word",
      test_late_list_does_not_undo_the_word },
    { "start_by_a_clock_set_back_is_used_in_the_end",
      test_start_by_a_clock_set_back_is_used_in_the_end },
    { "others_take_the_places_of_leaving_upstreams",
      test_others_take_the_places_of_leaving_upstreams },
    { "others_take_the_places_of_listed_leaving_upstreams",
      test_others_take_the_places_of_listed_leaving_upstreams },
    { "others_keep_the_places_of_starts_in_doubt",
      test_others_keep_the_places_of_starts_in_doubt },
  };
  return tst_run ("rte_leaving", cases, sizeof cases / sizeof cases[0]);
}

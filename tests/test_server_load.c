/** @file
 * The load that upstreams state in responses: its decoding by the platform's
 * codec, its way into the router, and the settings of section routing.
 */
#include "core/rte.h"
#include "platform/pfm.h"
#include "setfile.h"
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

/* A router of a VM alone, with upstreams u0 in data centre x and u1 in y, of
 * four slots. */
typedef struct
{
  env_t *env;
  rte_t *rte;
} fixture_t;

static fixture_t *
fixture_setup (rte_even_t even_load)
{
  fixture_t *f = talloc_zero (NULL, fixture_t);
  f->env = env_setup (
      f, &(env_desc_t){ .vm = "a", .data_centre = "x", .seed = 7 });
  f->env->now = 1000;
  f->rte = rte_setup (
      f, &(rte_desc_t){ .members = mbr_setup (f, &(mbr_desc_t){ 0 }),
                        .even_load = even_load });
  char *text = talloc_strdup (f, "[data-centre x]\nowner = t\n"
                                 "[data-centre y]\nowner = t\n"
                                 "[deployment d]\nowner = t\n"
                                 "kind = engine\nslots = 4\n");
  for (int i = 0; i < 2; i++)
    text = talloc_asprintf_append (text,
                                   "[upstream u%d]\nowner = t\n"
                                   "deployment = d\ndata_centre = %c\n"
                                   "address = 10.0.0.%d:80\n",
                                   i, 'x' + i, i);
  cfg_doc_t *doc = NULL;
  st_t st = { 0 };
  CU_ASSERT_EQUAL (cfg_doc_parse (f, buf_str (text), &doc, &st), ST_OK);
  rte_config_changed (f->rte, f->env, doc);
  return f;
}

/* Sends a request to ONLY, or where the router chooses; its response states
 * LOAD.  Returns where it went. */
static const char *
ask (fixture_t *f, const char *only, const ev_load_t *load)
{
  rte_pick_t pick;
  CU_ASSERT (rte_pick (f->rte, f->env,
                       &(rte_query_t){ .deployment = "d", .only = only },
                       &pick));
  rte_said_load (f->rte, f->env, pick.handle, load);
  rte_first_byte (f->rte, f->env, pick.handle);
  rte_finished (f->rte, f->env, pick.handle);
  return pick.upstream;
}

static size_t
records (const fixture_t *f, const char *event)
{
  size_t n = 0;
  for (size_t i = 0; i < tln_count (f->env->tln); i++)
    n += strcmp (tln_get (f->env->tln, i)->event, event) == 0;
  return n;
}

/* Guards against requests that go to an upstream which has just stated that
 * many wait there, and against a log that grows with the requests. */
static void
test_stated_load_is_avoided (void)
{
  ev_load_t full = {
    .kind = EV_LOAD_STATED, .running = 4, .waiting = 9, .slots = 4, .pace = 100
  };
  ev_load_t none = { .kind = EV_LOAD_UNKNOWN };
  fixture_t *f = fixture_setup (RTE_EVEN_ON);
  (void)ask (f, "u0", &full);
  for (int i = 0; i < 50; i++)
    CU_ASSERT_STRING_EQUAL (ask (f, NULL, &none), "u1");
  CU_ASSERT_EQUAL (records (f, "even-load"), 1);
  f->env->now += 5000;
  (void)ask (f, NULL, &none);
  CU_ASSERT_EQUAL (records (f, "even-load"), 2);
  talloc_free (f);
}

/* Guards against old news of a full upstream that approaches the load of
 * evacuated ones, which are idle because nothing is sent to them. */
static void
test_evacuated_upstreams_are_not_in_the_mean (void)
{
  static const char *const evacuated[] = { "y", NULL };
  ev_load_t full = { .kind = EV_LOAD_STATED, .running = 4, .waiting = 4 };
  ev_load_t idle = { .kind = EV_LOAD_STATED };
  ev_load_t none = { .kind = EV_LOAD_UNKNOWN };
  fixture_t *f = fixture_setup (RTE_EVEN_ON);
  (void)ask (f, NULL, &none);
  f->env->now += 4000;
  (void)ask (f, "u0", &full);
  (void)ask (f, "u1", &idle);
  rte_evacuated_set (f->rte, f->env, evacuated);
  f->env->now += 1500;
  CU_ASSERT_STRING_EQUAL (ask (f, NULL, &none), "u0");
  CU_ASSERT_EQUAL (records (f, "even-load"), 2);
  const char *last = "";
  for (size_t i = 0; i < tln_count (f->env->tln); i++)
    if (strcmp (tln_get (f->env->tln, i)->event, "even-load") == 0)
      last = tln_get (f->env->tln, i)->detail;
  CU_ASSERT_PTR_NOT_NULL (
      strstr (last, "upstreams=1 fullest=8.0 mean=8.0 idle=0"));
  talloc_free (f);
}

/* Guards against a VM of a small fleet that chooses in another way than
 * before. */
static void
test_auto_is_off_in_a_small_fleet (void)
{
  ev_load_t full
      = { .kind = EV_LOAD_STATED, .running = 4, .waiting = 9, .slots = 4 };
  fixture_t *f = fixture_setup (RTE_EVEN_AUTO);
  (void)ask (f, "u0", &full);
  (void)ask (f, NULL, &full);
  CU_ASSERT_EQUAL (records (f, "even-load"), 0);
  CU_ASSERT_EQUAL (cnt_value (f->env->cnt, "rts_route_load_stated_total", ""),
                   2);
  talloc_free (f);
}

/* Guards against a log that is flooded by an upstream that states nonsense. */
static void
test_malformed_load_is_logged_once (void)
{
  ev_load_t malformed = { .kind = EV_LOAD_MALFORMED, .text = "8;0;8" };
  fixture_t *f = fixture_setup (RTE_EVEN_ON);
  for (int i = 0; i < 5; i++)
    (void)ask (f, "u0", &malformed);
  CU_ASSERT_EQUAL (records (f, "load-malformed"), 1);
  CU_ASSERT_EQUAL (
      cnt_value (f->env->cnt, "rts_route_load_malformed_total", ""), 5);
  CU_ASSERT_EQUAL (cnt_value (f->env->cnt, "rts_route_load_stated_total", ""),
                   0);
  talloc_free (f);
}

/* Guards against a setting that is read as another one. */
static void
test_setting (void)
{
  static const struct
  {
    const char *line;
    int expected; /* rte_even_t; -1: refused */
    bool avoid_failing;
  } cases[] = { { "", RTE_EVEN_AUTO },
                { "even_load =", RTE_EVEN_AUTO },
                { "even_load = auto", RTE_EVEN_AUTO },
                { "even_load = on", RTE_EVEN_ON },
                { "even_load = off", RTE_EVEN_OFF },
                { "even_load = yes", -1 },
                { "avoid_failing =", RTE_EVEN_AUTO },
                { "avoid_failing = off", RTE_EVEN_AUTO },
                { "avoid_failing = on", RTE_EVEN_AUTO, true },
                { "avoid_failing = yes", -1 } };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      void *ctx = talloc_new (NULL);
      char *faults = NULL;
      const set_t *set = setfile_load (
          ctx, talloc_asprintf (ctx, "[routing]\n%s\n", cases[i].line),
          &faults);
      CU_ASSERT_EQUAL (set == NULL, cases[i].expected < 0);
      if (set != NULL)
        {
          CU_ASSERT_EQUAL ((int)set->even_load, cases[i].expected);
          CU_ASSERT_EQUAL (set->avoid_failing, cases[i].avoid_failing);
        }
      talloc_free (ctx);
    }
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "three_or_four_figures_state_a_load",
      test_three_or_four_figures_state_a_load },
    { "other_values_state_no_load", test_other_values_state_no_load },
    { "stated_load_is_avoided", test_stated_load_is_avoided },
    { "evacuated_upstreams_are_not_in_the_mean",
      test_evacuated_upstreams_are_not_in_the_mean },
    { "auto_is_off_in_a_small_fleet", test_auto_is_off_in_a_small_fleet },
    { "malformed_load_is_logged_once", test_malformed_load_is_logged_once },
    { "setting", test_setting },
  };
  return tst_run ("server_load", cases, sizeof cases / sizeof cases[0]);
}

/** @file
 * Evacuation of a data centre: the platform's list and the setting; what
 * directories of 8, 77 and 295 VMs know of it, at which cost and how late
 * under each failure; whole nodes under load, and the router.
 */
#include "core/mpk.h"
#include "dfb.h"
#include "hst.h"
#include "platform/pfm.h"
#include "rtebed.h"
#include "setfile.h"
#include "tst.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define START_MS (20 * CLK_SECOND)
/* The users' bound from the store's acknowledgement to the effect. */
#define BOUND_MS (5 * CLK_SECOND)
#define CALM_MS (30 * CLK_SECOND)
#define FIRST_CALL                                                            \
  "op=\"evacuations\",module=\"directory\",kind=\"\",waits=\"no\""
#define NORTH 2 /* upstreams 0 and 1 are in "north", 2 and 3 in "south" */

/* -- the platform ---------------------------------------------------------
 */

/* Guards against calls at another address than the platform's, names that are
 * changed, and a garbled entry that takes the others away. */
static void
test_platform_calls (void)
{
  void *ctx = talloc_new (NULL);
  hcl_call_t call = { 0 };
  ev_platform_t reply = { 0 };
  fx_platform_t p = { .op = FX_PLATFORM_EVACUATIONS, .name = "" };
  pfm_object_request_encode (ctx, &p, &call);
  CU_ASSERT_STRING_EQUAL (call.path, "/rattanspindle/objects/evacuations");
  p = (fx_platform_t){ .op = p.op, .revision = 7, .timeout_ms = 2000 };
  pfm_object_request_encode (ctx, &p, &call);
  CU_ASSERT_STRING_EQUAL (
      call.path, "/rattanspindle/objects/evacuations?watch=7&waitMs=2000");
  pfm_object_response_decode (
      ctx, p.op, "", 200,
      buf_str ("{\"currentRev\":12,\"events\":["
               "{\"object\":{\"metadata\":{\"name\":\"a:b\"},\"spec\":{}}},"
               "{\"object\":{\"metadata\":{\"name\":\"\xff\"}}},7,"
               "{\"object\":{\"metadata\":7}},{\"deleted\":true,"
               "\"object\":{\"metadata\":{\"name\":\"dc-2\"}}}]}"),
      &reply);
  CU_ASSERT_EQUAL (reply.code, ST_OK);
  CU_ASSERT_EQUAL (reply.revision, 12);
  TST_NEED (reply.object_count == 2);
  CU_ASSERT_STRING_EQUAL (reply.objects[0].name, "a:b");
  CU_ASSERT (!reply.objects[0].deleted);
  CU_ASSERT_STRING_EQUAL (reply.objects[1].name, "dc-2");
  CU_ASSERT (reply.objects[1].deleted);
  talloc_free (ctx);
}

/* Guards against a garbled bound that is taken for "off", and against an empty
 * one that stops the VM. */
static void
test_setting (void)
{
  static const struct
  {
    const char *line;
    int64_t ms; /* -1: refused */
  } cases[] = { { "within_ms = 5000", 5000 },
                { "within_ms =", 0 },
                { "", 0 },
                { "within_ms = -1", -1 },
                { "within_ms = 1e99", -1 },
                { "within_ms = 5 s", -1 } };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      void *ctx = talloc_new (NULL);
      char *faults = NULL;
      const set_t *set = setfile_load (
          ctx, talloc_asprintf (ctx, "[evacuation]\n%s\n", cases[i].line),
          &faults);
      CU_ASSERT_EQUAL (set == NULL ? -1 : set->evacuate_ms, cases[i].ms);
      talloc_free (ctx);
    }
}

/* -- directories ----------------------------------------------------------
 */

static dfb_t *
setup (size_t vms, size_t data_centres)
{
  dfb_t *b = dfb_setup_evacuations (vms, data_centres, BOUND_MS);
  dfb_run (b, START_MS);
  CU_ASSERT_EQUAL (dfb_evacuations_behind (b), 0);
  return b;
}

/* All VMs of B but EXCEPT must know within the bound what changes now. */
static void
check_change (dfb_t *b, size_t dc, bool evacuated, size_t except,
              const char *name)
{
  clk_ms_t ms = 0;
  dfb_evacuate (b, dc, evacuated);
  for (; ms < BOUND_MS && dfb_evacuations_behind (b) > except; ms += 50)
    dfb_run (b, 50);
  printf ("%s: %lld ms\n", name, (long long)ms);
  CU_ASSERT (ms < BOUND_MS);
}

/* Guards against a list that costs more than one watch a VM in a small fleet
 * and one a data centre in a large one, against any call where the feature is
 * off, and against a change that waits for the end of a watch. */
static void
test_calls (void)
{
  static const struct
  {
    size_t vms, data_centres, watches;
  } sizes[] = { { 8, 2, 8 }, { 77, 3, 3 }, { 295, 5, 5 } };
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      unsigned calls[2];
      for (size_t on = 0; on < 2; on++)
        {
          dfb_t *b = dfb_setup_evacuations (
              sizes[i].vms, sizes[i].data_centres, on ? BOUND_MS : 0);
          dfb_run (b, START_MS);
          unsigned before = dfb_calls (b);
          dfb_run (b, CALM_MS);
          calls[on] = dfb_calls (b) - before;
          if (on)
            check_change (b, 1, true, 0, "well");
          CU_ASSERT_EQUAL (cnt_value (dfb_env (b, 0)->cnt,
                                      "rts_platform_calls_total", FIRST_CALL),
                           on);
          dfb_shutdown (b);
        }
      unsigned watches = calls[1] - calls[0];
      printf ("%zu VMs: %u calls more in 30 s\n", sizes[i].vms, watches);
      CU_ASSERT (watches <= sizes[i].watches * (CALM_MS / CLK_SECOND) / 2 + 8);
    }
}

/* Guards against followers that hang on a reader that dies or fails. */
static void
test_reader_dies (void)
{
  static const dfb_fault_t faults[]
      = { DFB_FROZEN, DFB_CUT_OFF, DFB_UNANSWERED, DFB_REFUSED };
  dfb_t *b = setup (77, 3);
  for (size_t i = 0; i < 12; i++)
    {
      for (size_t d = 0; d < 3; d++)
        dfb_fault_set (b, dfb_reader (b, d), faults[i % 4]);
      dfb_run (b, 1 + (clk_ms_t)(i / 4) * 700);
      check_change (b, 2, true, 3, "readers failed");
      dfb_run (b, 3 * CLK_SECOND);
      for (size_t d = 0; d < 3; d++)
        dfb_fault_set (b, dfb_reader (b, d), DFB_WELL);
      check_change (b, 2, false, 0, "well again");
      dfb_run (b, 5 * CLK_SECOND);
    }
  dfb_shutdown (b);
}

/* Guards against a watch whose answer is lost and that outlasts the bound,
 * also at a VM that no peer helps. */
static void
test_lost_watch (void)
{
  dfb_t *b = setup (8, 2);
  for (clk_ms_t wait = 0; wait < 2500; wait += 500)
    {
      dfb_run (b, wait);
      for (size_t i = 0; i < 8; i++)
        dfb_answers_lose (b, i);
      dfb_fault_set (b, 0, DFB_CUT_OFF);
      check_change (b, 0, true, 0, "all watches lost");
      dfb_fault_set (b, 0, DFB_WELL);
      check_change (b, 0, false, 0, "answers again");
      dfb_run (b, START_MS);
    }
  dfb_shutdown (b);
}

/* Guards against a VM that the platform does not serve and that drops its
 * list, or does not take a newer one from a peer. */
static void
test_platform_is_silent (void)
{
  dfb_t *b = setup (8, 2);
  check_change (b, 0, true, 0, "well");
  for (size_t i = 0; i < 8; i++)
    dfb_fault_set (b, i, i % 2 == 0 ? DFB_UNANSWERED : DFB_REFUSED);
  dfb_run (b, CLK_MINUTE);
  CU_ASSERT_EQUAL (dfb_evacuations_behind (b), 0);
  dfb_fault_set (b, 7, DFB_WELL);
  dfb_run (b, 5 * CLK_SECOND);
  check_change (b, 1, true, 0, "one VM of 8 is served");
  dfb_shutdown (b);
}

/* Guards against an evacuation that is missed, or given up for a moment, when
 * the platform has lost its history. */
static void
test_history_is_lost (void)
{
  dfb_t *b = setup (77, 3);
  check_change (b, 0, true, 0, "well");
  dfb_history_lose (b);
  dfb_evacuate (b, 1, true);
  for (clk_ms_t ms = 0; ms < BOUND_MS; ms += 50)
    {
      dfb_run (b, 50);
      for (size_t vm = 0; vm < 77; vm++)
        CU_ASSERT (dfb_is_evacuated (b, vm, 0));
    }
  CU_ASSERT_EQUAL (dfb_evacuations_behind (b), 0);
  dfb_shutdown (b);
}

/* Brings VM TO a message of FROM with WORD, REVISION, COUNT and the name dc-0,
 * without the last CUT bytes. */
static void
message_to (dfb_t *b, size_t to, size_t from, uint64_t word, uint64_t revision,
            uint64_t count, size_t cut)
{
  void *tmp = talloc_new (NULL);
  mpk_writer_t w;
  mpk_writer_init (&w, tmp);
  mpk_put_uint (&w, word);
  mpk_put_uint (&w, revision);
  mpk_put_uint (&w, count);
  mpk_put_str (&w, buf_str ("dc-0"));
  buf_t body = mpk_done (&w);
  body.n = cut < body.n ? body.n - cut : 0;
  dfb_message (b, to, from, MSG_DIRECTORY_EVACUATIONS, body);
  talloc_free (tmp);
}

/* The same for VM 0. */
static void
message (dfb_t *b, size_t from, uint64_t word, uint64_t revision,
         uint64_t count, size_t cut)
{
  message_to (b, 0, from, word, revision, count, cut);
}

/* Guards against an older list of a peer that replaces a newer one, against
 * torn, foreign and huge messages, and against a garbled revision that hides
 * all later changes. */
static void
test_bad_messages_change_nothing (void)
{
  dfb_t *b = setup (8, 2);
  check_change (b, 1, true, 0, "well");
  message (b, 2, 0, 1, 1, 0);
  message (b, 2, 1, 1, 1, 0);
  for (size_t cut = 1; cut < 16; cut++)
    message (b, 2, 0, 1000, 1, cut);
  message (b, 1, 1, 1000, 1, 0); /* a reader of another data centre */
  message (b, 2, 7, 1000, 1, 0);
  message (b, 2, 0, 1000, UINT64_MAX, 0);
  CU_ASSERT_EQUAL (dfb_evacuations_behind (b), 0);
  CU_ASSERT_EQUAL (
      cnt_value (dfb_env (b, 0)->cnt, "rts_directory_bad_messages_total", ""),
      18);
  message (b, 2, 0, UINT64_MAX, 1, 0);
  CU_ASSERT (dfb_is_evacuated (b, 0, 0));
  dfb_run (b, BOUND_MS);
  CU_ASSERT_EQUAL (dfb_evacuations_behind (b), 0);
  check_change (b, 1, false, 0, "after bad messages");
  dfb_shutdown (b);
}

/* Guards against a garbled revision that stays in force at a VM that follows a
 * reader and makes no calls. */
static void
test_garbled_revision_at_a_follower (void)
{
  dfb_t *b = setup (77, 3);
  size_t follower = dfb_reader (b, 0) == 0 ? 3 : 0;
  message_to (b, follower, 1, 0, UINT64_MAX, 1, 0);
  CU_ASSERT (dfb_is_evacuated (b, follower, 0));
  dfb_run (b, BOUND_MS);
  CU_ASSERT_EQUAL (dfb_evacuations_behind (b), 0);
  check_change (b, 1, true, 0, "a follower had a garbled revision");
  dfb_shutdown (b);
}

/* Guards against a garbled revision in the name of a reader: the VM takes it
 * for the platform's, watches from there and would miss all later changes. */
static void
test_garbled_revision_handed_on (void)
{
  dfb_t *b = setup (77, 3);
  size_t reader = dfb_reader (b, 0);
  message_to (b, reader == 0 ? 3 : 0, reader, 1, UINT64_MAX, 1, 0);
  dfb_run (b, 2 * BOUND_MS);
  CU_ASSERT_EQUAL (dfb_evacuations_behind (b), 0);
  check_change (b, 1, true, 0, "a garbled revision was handed on");
  dfb_shutdown (b);
}

/* Guards against a reader that hands on what only a peer has told as if the
 * platform had said it. */
static void
test_garbled_revision_at_a_reader (void)
{
  dfb_t *b = setup (77, 3);
  message_to (b, dfb_reader (b, 0), 1, 0, UINT64_MAX, 1, 0);
  for (clk_ms_t ms = 0; ms < BOUND_MS; ms += 50)
    {
      dfb_run (b, 50);
      CU_ASSERT (dfb_evacuations_behind (b) <= 1);
    }
  CU_ASSERT_EQUAL (dfb_evacuations_behind (b), 0);
  check_change (b, 1, true, 0, "a reader had a garbled revision");
  dfb_shutdown (b);
}

/* Guards against names that are no data centres of the fleet: they must not
 * be taken for one, nor fill the log. */
static void
test_unknown_data_centre (void)
{
  static const char unknown[] = "rts_directory_evacuations_unknown_total";
  dfb_t *b = setup (8, 2);
  const cnt_t *cnt = dfb_env (b, 0)->cnt;
  for (size_t i = 0; i < 3; i++)
    check_change (b, DFB_DATA_CENTRES, i % 2 == 0, 0, "unknown");
  dfb_run (b, CLK_SECOND);
  CU_ASSERT_EQUAL (cnt_value (cnt, unknown, ""), 1);
  for (size_t i = DFB_DATA_CENTRES; i < DFB_EVACUATIONS; i++)
    dfb_evacuate (b, i, true);
  check_change (b, 1, true, 0, "beside 251 unknown names");
  CU_ASSERT (cnt_value (cnt, unknown, "") <= 64);
  CU_ASSERT_EQUAL (cnt_value (cnt, "rts_directory_evacuated", ""), 1);
  dfb_shutdown (b);
}

/* Answers the last call for evacuations with REPLY. */
static void
answer (env_t *env, dir_t *dir, ev_platform_t *reply)
{
  plt_done_t done;
  for (size_t i = 0; i < env->fx->count; i++)
    if (env->fx->v[i].kind == FX_PLATFORM
        && env->fx->v[i].platform.op == FX_PLATFORM_EVACUATIONS)
      reply->call = env->fx->v[i].platform.call;
  TST_NEED (plt_reply (env, reply, &done));
  dir_platform_replied (dir, env, &done, reply);
}

/* Guards against the list of a peer that is dropped because a list lacks it
 * whose first page is older. */
static void
test_peer_tells_between_pages (void)
{
  dfb_t *b = dfb_setup_evacuations (2, 1, BOUND_MS);
  env_t *env = dfb_env (b, 0);
  dir_t *dir = dfb_dir (b, 0);
  ev_platform_t page = { .revision = 10, .continue_after = "dc-3" };
  env->now++;
  message (b, 1, 0, 12, 1, 0);
  env->now++;
  answer (env, dir, &page);
  page.continue_after = NULL;
  answer (env, dir, &page);
  CU_ASSERT (dfb_is_evacuated (b, 0, 0));
  dfb_shutdown (b);
}

/* Guards against a list without bound, which other VMs would refuse as
 * malformed, where the settings do not name the fleet's data centres. */
static void
test_names_are_bounded (void)
{
  void *ctx = talloc_new (NULL);
  env_t *env = env_setup (ctx, &(env_desc_t){ .vm = "a", .data_centre = "x" });
  mbr_t *members = mbr_setup (ctx, &(mbr_desc_t){ 0 });
  dir_t *dir = dir_setup (
      ctx, &(dir_desc_t){ .members = members, .evacuate_ms = BOUND_MS });
  ev_object_t objects[1000] = { 0 };
  ev_platform_t reply = { .revision = 3, .objects = objects };
  for (; reply.object_count < G_N_ELEMENTS (objects); reply.object_count++)
    objects[reply.object_count].name
        = talloc_asprintf (ctx, "dc-%zu", reply.object_count);
  dir_start (dir, env);
  answer (env, dir, &reply);
  CU_ASSERT (dir_evacuations_known (dir));
  CU_ASSERT_EQUAL (g_strv_length ((char **)(uintptr_t)dir_evacuated (dir)),
                   64);
  talloc_free (ctx);
}

/* -- nodes and router ------------------------------------------------------
 */

static hst_t *
fleet (void)
{
  return hst_fleet (&(hst_desc_t){ .upstreams = 4,
                                   .far_upstreams = 2,
                                   .far_vms = true,
                                   .load_reports = true,
                                   .resumable = true,
                                   .evacuate_ms = BOUND_MS });
}

/* Sends a stream to each entry VM every 50 ms and a job every second, for
 * MS. */
static void
load (hst_t *h, clk_ms_t ms)
{
  static unsigned number;
  for (clk_ms_t t = 0; t < ms; t += 50)
    {
      char id[32];
      for (size_t vm = 0; vm < 2; vm++)
        {
          (void)snprintf (id, sizeof id, "r-%u", ++number);
          if (hst_runs (h, vm))
            (void)hst_stream (h, vm, "key-acme", id);
        }
      (void)snprintf (id, sizeof id, "j-%u", ++number);
      if (t % CLK_SECOND == 0)
        (void)hst_submit (h, 0, id, 10);
      hst_advance (h, 50);
    }
}

/* Requests, or ITEMS, that reached "north", or the other data centre if not
 * NORTHERN, from FROM on. */
static unsigned
arrivals (const hst_t *h, bool northern, bool items, clk_ms_t from)
{
  unsigned n = 0;
  for (guint i = 0; i < hst_arrivals (h)->len; i++)
    {
      const hst_arrival_t *a
          = &g_array_index (hst_arrivals (h), hst_arrival_t, i);
      n += a->at >= from && a->item == items
           && (a->upstream < NORTH) == northern;
    }
  return n;
}

/* Load: all requests and items of a busy data centre move to the other within
 * the bound, and come back when the evacuation has ended.  Guards against any
 * path that sends there (queues, retries, items) past the router. */
static void
test_load_moves_and_returns (void)
{
  hst_t *h = fleet ();
  load (h, 3 * CLK_SECOND);
  CU_ASSERT (arrivals (h, true, false, 0) > 0);
  CU_ASSERT (arrivals (h, true, true, 0) > 0);
  hst_evacuate (h, "north", true);
  clk_ms_t at = hst_now (h);
  load (h, BOUND_MS + 5 * CLK_SECOND);
  printf ("requests in the bound: %u, after it: %u\n",
          arrivals (h, true, false, at),
          arrivals (h, true, false, at + BOUND_MS));
  CU_ASSERT_EQUAL (arrivals (h, true, false, at + BOUND_MS), 0);
  CU_ASSERT_EQUAL (arrivals (h, true, true, at + BOUND_MS), 0);
  CU_ASSERT (arrivals (h, false, false, at + BOUND_MS) > 100);
  CU_ASSERT (arrivals (h, false, true, at + BOUND_MS) > 0);
  hst_evacuate (h, "north", false);
  at = hst_now (h);
  load (h, BOUND_MS + 3 * CLK_SECOND);
  CU_ASSERT (arrivals (h, true, false, at + BOUND_MS) > 40);
  CU_ASSERT (arrivals (h, true, true, at) > 0);
  hst_shutdown (h);
}

/* Guards against a VM that starts during an evacuation and sends there until
 * it has read the list; without the platform, a peer tells it. */
static void
test_vm_starts_during_evacuation (void)
{
  hst_t *h = fleet ();
  hst_evacuate (h, "north", true);
  hst_advance (h, BOUND_MS);
  clk_ms_t at = hst_now (h);
  hst_kill (h, 0);
  hst_advance (h, CLK_SECOND);
  hst_start (h, 0);
  load (h, 8 * CLK_SECOND);
  unsigned served = arrivals (h, false, false, at);
  CU_ASSERT (served > 0);
  hst_kill (h, 1);
  hst_platform_down (h, 1, true);
  hst_start (h, 1);
  load (h, 8 * CLK_SECOND);
  CU_ASSERT (arrivals (h, false, false, at) > served);
  CU_ASSERT_EQUAL (arrivals (h, true, false, at), 0);
  CU_ASSERT_EQUAL (arrivals (h, true, true, at), 0);
  hst_shutdown (h);
}

/* Ends and starts all VMs of H while the platform refuses its list. */
static void
restart_without_list (hst_t *h)
{
  hst_evacuations_refuse (h, true);
  for (size_t vm = 0; vm < 4; vm++)
    hst_kill (h, vm);
  hst_advance (h, CLK_SECOND);
  for (size_t vm = 0; vm < 4; vm++)
    hst_start (h, vm);
}

/* Guards against VMs that start to serve with the document, the VMs and links,
 * but without the list, and against a wait for the list without an end. */
static void
test_all_start_without_the_list (void)
{
  hst_t *h = fleet ();
  hst_evacuate (h, "north", true);
  hst_advance (h, BOUND_MS);
  clk_ms_t at = hst_now (h);
  restart_without_list (h);
  load (h, 2 * CLK_SECOND);
  CU_ASSERT_EQUAL (arrivals (h, true, false, at), 0);
  CU_ASSERT_EQUAL (arrivals (h, false, false, at), 0);
  hst_evacuations_refuse (h, false);
  load (h, 4 * CLK_SECOND);
  CU_ASSERT (arrivals (h, false, false, at) > 0);
  CU_ASSERT_EQUAL (arrivals (h, true, false, at), 0);
  CU_ASSERT_EQUAL (arrivals (h, true, true, at), 0);
  restart_without_list (h);
  hst_advance (h, 4 * CLK_SECOND);
  uint64_t c = hst_stream (h, 0, "key-acme", "r-bounded");
  hst_advance (h, CLK_SECOND);
  CU_ASSERT_EQUAL (hst_response (h, c)->status, 200);
  hst_shutdown (h);
}

/* Guards against requests that wait, or run, when there is nowhere to send
 * them. */
static void
test_all_evacuated (void)
{
  hst_t *h = fleet ();
  hst_evacuate (h, "north", true);
  hst_evacuate (h, "south", true);
  hst_evacuate (h, "elsewhere", true);
  hst_advance (h, BOUND_MS);
  clk_ms_t at = hst_now (h);
  uint64_t c = hst_stream (h, 0, "key-acme", "r-all");
  const hst_response_t *response = hst_response (h, c);
  CU_ASSERT_EQUAL (response->status, 503);
  CU_ASSERT (response->ended && response->ended_at == at);
  CU_ASSERT (response->retry_after_ms > 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (response->body->str, "evacuated"));
  CU_ASSERT_EQUAL (hst_run_count (h, "r-all"), 0);
  hst_evacuate (h, "south", false);
  hst_advance (h, BOUND_MS);
  c = hst_stream (h, 0, "key-acme", "r-south");
  hst_advance (h, CLK_SECOND);
  CU_ASSERT_EQUAL (hst_response (h, c)->status, 200);
  hst_shutdown (h);
}

/* Guards against an exclusion that misses a kind of look-up, or that a new
 * document ends. */
static void
test_router_excludes_everywhere (void)
{
  static const char *const x[] = { "x", NULL };
  rtebed_t *f = rtebed_setup (1);
  rte_pick_t pick;
  rte_query_t item = { .deployment = "d", .batch = true, .only = "u1" };
  rtebed_run (f, 500);
  rte_evacuated_set (f->rte[0], f->env[0], x);
  rte_config_changed (f->rte[0], f->env[0], rtebed_document (f, NULL));
  CU_ASSERT_EQUAL (rte_idle_slots (f->rte[0], f->env[0], "u0"), 0);
  for (unsigned i = 0; i < 12; i++)
    CU_ASSERT (rtebed_pick (f, 0, i % 3, &pick) && pick.upstream[1] >= '2');
  CU_ASSERT (!rte_pick (f->rte[0], f->env[0], &item, &pick));
  CU_ASSERT (!rte_all_evacuated (f->rte[0], "d"));
  CU_ASSERT (rte_version_serves (f->rte[0], f->env[0], "d", NULL));
  rte_evacuated_set (f->rte[0], f->env[0],
                     (const char *const[]){ "x", "y", NULL });
  CU_ASSERT (!rte_version_serves (f->rte[0], f->env[0], "d", NULL));
  CU_ASSERT (rte_all_evacuated (f->rte[0], "d"));
  rte_evacuated_set (f->rte[0], f->env[0], x + 1);
  CU_ASSERT_EQUAL (rte_idle_slots (f->rte[0], f->env[0], "u0"), 4);
  CU_ASSERT (rtebed_pick (f, 0, 0, &pick) && pick.upstream[1] < '2');
  talloc_free (f);
}

/* Guards against an upstream that the list moves to an evacuated data centre,
 * or out of one, and that is still counted where it was, also in the counter
 * of excluded upstreams. */
static void
test_upstream_changes_data_centre (void)
{
  static const char *const y[] = { "y", NULL };
  rtebed_t *f = rtebed_setup (1);
  rte_pick_t pick;
  rte_query_t u0 = { .deployment = "d", .only = "u0" };
  cfg_doc_t *doc = rtebed_document (f, NULL);
  rtebed_run (f, 500);
  rte_evacuated_set (f->rte[0], f->env[0], y);
  CU_ASSERT (rte_pick (f->rte[0], f->env[0], &u0, &pick));
  TST_NEED (strcmp (doc->upstreams[0].name, "u0") == 0);
  doc->upstreams[0].data_centre = "y";
  rte_config_changed (f->rte[0], f->env[0], doc);
  CU_ASSERT (!rte_pick (f->rte[0], f->env[0], &u0, &pick));
  CU_ASSERT_EQUAL (
      cnt_value (f->env[0]->cnt, "rts_route_evacuated_upstreams", ""), 3);
  rte_config_changed (f->rte[0], f->env[0], rtebed_document (f, NULL));
  CU_ASSERT (rte_pick (f->rte[0], f->env[0], &u0, &pick));
  talloc_free (f);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "platform_calls", test_platform_calls },
    { "setting", test_setting },
    { "calls", test_calls },
    { "reader_dies", test_reader_dies },
    { "lost_watch", test_lost_watch },
    { "platform_is_silent", test_platform_is_silent },
    { "history_is_lost", test_history_is_lost },
    { "bad_messages_change_nothing", test_bad_messages_change_nothing },
    { "garbled_revision_at_a_follower", test_garbled_revision_at_a_follower },
    { "garbled_revision_at_a_reader", test_garbled_revision_at_a_reader },
    { "garbled_revision_handed_on", test_garbled_revision_handed_on },
    { "unknown_data_centre", test_unknown_data_centre },
    { "peer_tells_between_pages", test_peer_tells_between_pages },
    { "names_are_bounded", test_names_are_bounded },
    { "load_moves_and_returns", test_load_moves_and_returns },
    { "vm_starts_during_evacuation", test_vm_starts_during_evacuation },
    { "all_start_without_the_list", test_all_start_without_the_list },
    { "all_evacuated", test_all_evacuated },
    { "router_excludes_everywhere", test_router_excludes_everywhere },
    { "upstream_changes_data_centre", test_upstream_changes_data_centre },
  };
  return tst_run ("evac", cases, sizeof cases / sizeof cases[0]);
}

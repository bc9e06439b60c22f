/** @file
 * Texts of results: a text counts as a result's only with the run that has
 * completed it, whatever this VM holds of other runs of the item.
 */
#include "core/job_int.h"
#include "hst.h"
#include "tst.h"

#include <string.h>
#include <talloc.h>

#define PART "e1\ne2"
#define WHOLE "e1\ne2\ne3"

/* A VM that knows a job with one item; the item has the text PART. */
typedef struct
{
  env_t *env;
  job_set_t *jobs;
  job_t *job;
} bed_t;

/* The job's record, with a result if LISTED; owned by CTX. */
static buf_t
record (void *ctx, bool listed, bool completed)
{
  job_rec_item_t item = { .id = "a", .target = "/q/1" };
  job_rec_result_t result = { .completed = completed };
  return job_rec_encode (ctx, &(job_rec_t){ .id = "j-1",
                                            .customer = "t1",
                                            .host = "a.example",
                                            .path = "/q/*",
                                            .due_ms = 18000,
                                            .items = &item,
                                            .item_count = 1,
                                            .results = &result,
                                            .result_count = listed });
}

static bed_t
setup (void)
{
  bed_t b = { .env = env_setup (
                  NULL, &(env_desc_t){ .vm = "n-1", .data_centre = "n" }) };
  mbr_t *members = mbr_setup (b.env, &(mbr_desc_t){ 0 });
  rte_t *routes = rte_setup (b.env, &(rte_desc_t){ .members = members });
  b.jobs = job_setup (b.env,
                      &(job_desc_t){ .members = members, .routes = routes });
  b.job = job_record_apply (b.jobs, b.env, 1, record (b.env, false, false));
  if (b.job != NULL)
    b.job->items[0].text = g_string_new (PART);
  return b;
}

/* Answers the last platform call with CODE and, unless it is NULL, the object
 * TEXT. */
static void
answer (bed_t *b, st_code_t code, const char *text)
{
  uint64_t call = 0;
  for (size_t i = 0; i < b->env->fx->count; i++)
    if (b->env->fx->v[i].kind == FX_PLATFORM)
      call = b->env->fx->v[i].platform.call;
  ev_object_t object = { .version = 3 };
  if (text != NULL)
    object.value = buf_str (text);
  ev_platform_t reply = { .call = call,
                          .code = code,
                          .objects = &object,
                          .object_count = text != NULL };
  plt_done_t done;
  if (plt_reply (b->env, &reply, &done))
    job_platform_replied (b->jobs, b->env, &done, &reply);
}

/* The item is listed as completed by another VM.  Returns the text that this
 * VM holds for it then; NULL: none.  Frees B. */
static const char *
listed_text (void *ctx, bed_t *b)
{
  (void)job_record_apply (b->jobs, b->env, 9, record (b->env, true, true));
  buf_t text = b->job->texts[0];
  const char *copy = text.p == NULL ? NULL : buf_to_str (ctx, text);
  CU_ASSERT_PTR_NULL (b->job->items[0].text);
  env_shutdown (b->env);
  return copy;
}

/* Guards against the part that a broken run has left, taken for the text of a
 * result that another VM has completed: this VM had given the item up. */
static void
test_given_up_item_leaves_no_text (void)
{
  void *ctx = talloc_new (NULL);
  bed_t b = setup ();
  TST_NEED (b.job != NULL);
  job_outcome_set (b.jobs, b.env, b.job, 0, false);
  CU_ASSERT_PTR_NULL (listed_text (ctx, &b));
  talloc_free (ctx);
}

/* The same while the item waits for its next run, or its text for the
 * platform. */
static void
test_unfinished_item_leaves_no_text (void)
{
  void *ctx = talloc_new (NULL);
  bed_t waiting = setup ();
  TST_NEED (waiting.job != NULL);
  CU_ASSERT_PTR_NULL (listed_text (ctx, &waiting));
  bed_t writing = setup ();
  TST_NEED (writing.job != NULL);
  job_outcome_set (writing.jobs, writing.env, writing.job, 0, true);
  CU_ASSERT_PTR_NULL (listed_text (ctx, &writing));
  bed_t failed = setup ();
  TST_NEED (failed.job != NULL);
  job_outcome_set (failed.jobs, failed.env, failed.job, 0, true);
  answer (&failed, ST_UNKNOWN, NULL);
  CU_ASSERT_PTR_NULL (listed_text (ctx, &failed));
  talloc_free (ctx);
}

/* Guards against a text of this VM's own run for a result whose text in the
 * platform another VM has written first. */
static void
test_stored_text_is_the_result (void)
{
  void *ctx = talloc_new (NULL);
  static const struct
  {
    st_code_t code;
    const char *stored;
    const char *held;
  } rows[] = { { ST_OK, NULL, PART },
               { ST_CONFLICT, WHOLE, WHOLE },
               { ST_CONFLICT, NULL, NULL } };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      bed_t b = setup ();
      TST_NEED (b.job != NULL);
      job_outcome_set (b.jobs, b.env, b.job, 0, true);
      answer (&b, rows[i].code, rows[i].stored);
      CU_ASSERT_EQUAL (g_strcmp0 (listed_text (ctx, &b), rows[i].held), 0);
    }
  talloc_free (ctx);
}

static void
receive (bed_t *b, uint16_t kind, bool answers, const char *text)
{
  mpk_writer_t w;
  mpk_writer_init (&w, b->env);
  mpk_put_uint (&w, 0);
  if (answers)
    mpk_put_uint (&w, 1);
  mpk_put_str (&w, buf_str ("j-1"));
  if (answers)
    mpk_put_str (&w, buf_str (text));
  job_message_received (b->jobs, b->env, "n-2",
                        &(msg_t){ .kind = kind, .body = mpk_done (&w) });
}

/* Beside VMs of earlier versions.  Guards against a text from one of them,
 * which may be of a run that had broken off, and against one that gets no
 * answer from this VM. */
static void
test_texts_beside_earlier_versions (void)
{
  bed_t b = setup ();
  TST_NEED (b.job != NULL);
  (void)job_record_apply (b.jobs, b.env, 9, record (b.env, true, true));
  receive (&b, MSG_JOB_TEXT, true, PART);
  CU_ASSERT_PTR_NULL (b.job->texts[0].p);
  receive (&b, MSG_JOB_WHOLE_TEXT, true, WHOLE);
  CU_ASSERT (buf_is (b.job->texts[0], WHOLE));
  static const uint16_t kinds[][2]
      = { { MSG_JOB_TEXT_REQUEST, MSG_JOB_TEXT },
          { MSG_JOB_WHOLE_TEXT_REQUEST, MSG_JOB_WHOLE_TEXT } };
  for (size_t i = 0; i < sizeof kinds / sizeof kinds[0]; i++)
    {
      fx_clear (b.env->fx);
      receive (&b, kinds[i][0], false, NULL);
      TST_NEED (b.env->fx->count == 1);
      CU_ASSERT_EQUAL (b.env->fx->v[0].peer.msg.kind, kinds[i][1]);
    }
  env_shutdown (b.env);
}

/* Number of messages of KIND to peers, and of reads of objects, since the last
 * call. */
static void
asked (env_t *env, uint16_t kind, unsigned *peers, unsigned *reads)
{
  *peers = 0;
  *reads = 0;
  for (size_t i = 0; i < env->fx->count; i++)
    {
      const fx_t *f = &env->fx->v[i];
      *peers += f->kind == FX_PEER_SEND && f->peer.msg.kind == kind;
      *reads += f->kind == FX_PLATFORM && f->platform.op == FX_PLATFORM_GET;
    }
  fx_clear (env->fx);
}

/* Guards against a caller who gets no result while the job runs at a VM of an
 * earlier version, which does not answer for its text. */
static void
test_text_is_read_beside_an_earlier_runner (void)
{
  unsigned peers = 0;
  unsigned reads = 0;
  env_t *env = env_setup (NULL, &(env_desc_t){ .vm = "n-1" });
  mbr_t *members = mbr_setup (env, &(mbr_desc_t){ 0 });
  ev_vm_t list[]
      = { { .vm = "n-1", .data_centre = "n", .address = "" },
          { .vm = "n-2", .data_centre = "n", .address = "", .worker = true } };
  mbr_platform_replied (members, env, &(plt_done_t){ 0 },
                        &(ev_platform_t){ .vms = list, .vm_count = 2 });
  mbr_peer_up (members, env, "n-2");
  rte_t *routes = rte_setup (env, &(rte_desc_t){ .members = members });
  job_set_t *jobs
      = job_setup (env, &(job_desc_t){ .members = members, .routes = routes });
  job_members_changed (jobs, env);
  (void)job_record_apply (jobs, env, 9, record (env, true, true));
  fx_clear (env->fx);
  job_call_start (jobs, env, "t1",
                  &(ev_request_t){ .caller = 1,
                                   .job = { .op = EV_JOB_READ, .id = "j-1" },
                                   .meta = { .long_poll_ms = 1000 } });
  asked (env, MSG_JOB_WHOLE_TEXT_REQUEST, &peers, &reads);
  CU_ASSERT_EQUAL (peers, 1);
  CU_ASSERT_EQUAL (reads, 0);
  for (clk_ms_t end = env->now + 200; env->now < end; env->now += JOB_TICK_MS)
    {
      tmr_due_t due;
      while (tmr_pop (env->tmr, env->now, &due))
        if (due.mod == MOD_JOB)
          job_timer_fired (jobs, env, due.tag);
    }
  asked (env, MSG_JOB_WHOLE_TEXT_REQUEST, &peers, &reads);
  CU_ASSERT_EQUAL (reads, 1);
  env_shutdown (env);
}

/* Reads the results of job ID at VM; returns their first text. */
static const char *
text_at (hst_t *h, size_t vm, const char *id)
{
  uint64_t c = hst_results_read (h, vm, id, 0);
  hst_advance (h, 1500);
  const hst_response_t *response = hst_response (h, c);
  return response->texts->len == 0 ? ""
                                   : g_ptr_array_index (response->texts, 0);
}

/* An item's run breaks off, and its VM is out of step while the next one ends
 * with 500: frozen, or cut off from all but the upstream.  FOR_MS: how long.
 */
static void
run_out_of_step (bool frozen, clk_ms_t for_ms)
{
  hst_t *h = hst_fleet (&(hst_desc_t){ .upstreams = 1, .item_attempts = 1 });
  (void)hst_submit (h, 0, "other", 2);
  hst_advance (h, 2000);
  /* Of the next responses the second one has the status. */
  hst_fault_set (
      h, 0,
      (hst_fault_t){ .status = 500, .status_tenths = 3, .break_after = 5 });
  (void)hst_submit (h, 0, "j-1", 1);
  for (int ms = 0; ms < 3000 && hst_run_count (h, "j-1-0") < 2; ms++)
    hst_advance (h, 1);
  CU_ASSERT_EQUAL (hst_run_count (h, "j-1-0"), 2);
  const GArray *arrivals = hst_arrivals (h);
  size_t runner
      = g_array_index (arrivals, hst_arrival_t, arrivals->len - 1).vm;
  if (frozen)
    hst_freeze (h, runner, for_ms);
  else
    {
      hst_isolate (h, runner, true);
      hst_platform_cut (h, runner, true);
      hst_advance (h, for_ms);
      hst_isolate (h, runner, false);
      hst_platform_cut (h, runner, false);
    }
  hst_advance (h, for_ms + 6000);
  CU_ASSERT (hst_run_count (h, "j-1-0") >= 3);
  for (size_t vm = 0; vm < 4; vm++)
    {
      const char *text = text_at (h, vm % 2, "j-1");
      CU_ASSERT (g_str_has_suffix (text, "e19\ne20"));
      CU_ASSERT (g_str_has_prefix (text, "e1\ne2\n"));
    }
  hst_shutdown (h);
}

/* Guards against a result with a part of its text at all VMs, once the VM that
 * gave the item up is back. */
static void
test_frozen_runner_lists_no_part (void)
{
  run_out_of_step (true, 4000);
  run_out_of_step (true, 6000);
}

/* The same for a VM that was cut off. */
static void
test_cut_off_runner_lists_no_part (void)
{
  run_out_of_step (false, 6000);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "given_up_item_leaves_no_text", test_given_up_item_leaves_no_text },
    { "unfinished_item_leaves_no_text", test_unfinished_item_leaves_no_text },
    { "stored_text_is_the_result", test_stored_text_is_the_result },
    { "texts_beside_earlier_versions", test_texts_beside_earlier_versions },
    { "text_is_read_beside_an_earlier_runner",
      test_text_is_read_beside_an_earlier_runner },
    { "frozen_runner_lists_no_part", test_frozen_runner_lists_no_part },
    { "cut_off_runner_lists_no_part", test_cut_off_runner_lists_no_part },
  };
  return tst_run ("job_texts", cases, sizeof cases / sizeof cases[0]);
}

/** @file
 * Reads of jobs that were ended: results that were about to be listed then
 * are listed after the end, and a VM may know of the end and not of them.
 */
#include "core/job_int.h"
#include "tst.h"

#include <string.h>
#include <talloc.h>

#define ITEMS 3

/* The record of an ended job with COUNT results; owned by CTX. */
static buf_t
record (void *ctx, uint32_t count)
{
  job_rec_item_t items[ITEMS] = { { .id = "a", .target = "/q/1" },
                                  { .id = "b", .target = "/q/1" },
                                  { .id = "c", .target = "/q/1" } };
  job_rec_result_t results[ITEMS]
      = { { .item = 1 }, { .item = 0 }, { .item = 2 } };
  return job_rec_encode (ctx, &(job_rec_t){ .id = "j-1",
                                            .customer = "t1",
                                            .host = "a.example",
                                            .path = "/q/*",
                                            .ended = true,
                                            .items = items,
                                            .item_count = ITEMS,
                                            .results = results,
                                            .result_count = count });
}

/* What the VM has done since the last call. */
typedef struct
{
  uint64_t read; /* platform call; 0: none */
  bool replied;
  size_t count; /* results in the reply */
} done_t;

static done_t
take (env_t *env)
{
  done_t d = { 0 };
  for (size_t i = 0; i < env->fx->count; i++)
    {
      const fx_t *f = &env->fx->v[i];
      if (f->kind == FX_PLATFORM && f->platform.op == FX_PLATFORM_GET)
        d.read = f->platform.call;
      if (f->kind == FX_REPLY_JOB_RESULTS)
        {
          d.replied = true;
          d.count = f->results.count;
        }
    }
  fx_clear (env->fx);
  return d;
}

static void
answer (job_set_t *jobs, env_t *env, uint64_t call, buf_t stored)
{
  ev_object_t object = { .version = 20, .value = stored };
  ev_platform_t reply
      = { .call = call, .code = ST_OK, .objects = &object, .object_count = 1 };
  plt_done_t done;
  if (plt_reply (env, &reply, &done))
    job_platform_replied (jobs, env, &done, &reply);
}

/* Guards against a position that a caller has read and at which another VM has
 * nothing: it knows the end of the job from one peer, and was cut off from the
 * one that listed results after it. */
static void
test_end_is_no_proof_of_the_last_result (void)
{
  for (uint32_t known = 0; known <= ITEMS; known++)
    {
      env_t *env = env_setup (NULL, &(env_desc_t){ .vm = "n-1" });
      mbr_t *members = mbr_setup (env, &(mbr_desc_t){ 0 });
      rte_t *routes = rte_setup (env, &(rte_desc_t){ .members = members });
      job_set_t *jobs = job_setup (
          env, &(job_desc_t){ .members = members, .routes = routes });
      (void)job_record_apply (jobs, env, 9, record (env, known));
      fx_clear (env->fx);
      job_call_start (
          jobs, env, "t1",
          &(ev_request_t){
              .caller = 1,
              .job = { .op = EV_JOB_READ, .id = "j-1", .after = known } });
      done_t d = take (env);
      /* Only a record of all results is the last one. */
      CU_ASSERT_EQUAL (d.replied, known == ITEMS);
      CU_ASSERT_EQUAL (d.read != 0, known < ITEMS);
      if (d.read != 0)
        {
          answer (jobs, env, d.read, record (env, ITEMS));
          d = take (env);
          CU_ASSERT (d.replied && d.count == ITEMS - known);
        }
      env_shutdown (env);
    }
}

/* One read of the platform suffices where the record has not changed. */
static void
test_ended_job_is_read_once (void)
{
  env_t *env = env_setup (NULL, &(env_desc_t){ .vm = "n-1" });
  mbr_t *members = mbr_setup (env, &(mbr_desc_t){ 0 });
  rte_t *routes = rte_setup (env, &(rte_desc_t){ .members = members });
  job_set_t *jobs
      = job_setup (env, &(job_desc_t){ .members = members, .routes = routes });
  (void)job_record_apply (jobs, env, 9, record (env, 1));
  fx_clear (env->fx);
  job_call_start (
      jobs, env, "t1",
      &(ev_request_t){ .caller = 1,
                       .job = { .op = EV_JOB_READ, .id = "j-1", .after = 1 },
                       .meta = { .long_poll_ms = 1000 } });
  done_t d = take (env);
  TST_NEED (d.read != 0);
  answer (jobs, env, d.read, record (env, 1));
  d = take (env);
  CU_ASSERT (d.replied && d.count == 0 && d.read == 0);
  env_shutdown (env);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "end_is_no_proof_of_the_last_result",
      test_end_is_no_proof_of_the_last_result },
    { "ended_job_is_read_once", test_ended_job_is_read_once },
  };
  return tst_run ("job_ended", cases, sizeof cases / sizeof cases[0]);
}

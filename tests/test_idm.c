/** @file
 * Idempotency records on several VMs, with lost and late platform replies,
 * crashes and freezes.  A simulated upstream counts how often each request
 * runs.
 */
#include "idmnet.h"
#include "tst.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

static void
test_no_faults_runs_each_once_and_replays (void)
{
  net_t *n = net_setup (1, (faults_t){ 0 });
  net_orders_begin (n);
  net_run (n, CLK_MINUTE);
  net_check (n);
  unsigned settled = 0;
  for (int o = 0; o < ORDERS; o++)
    {
      CU_ASSERT (n->runs[o] <= 1);
      settled += n->settled[o];
    }
  CU_ASSERT (settled >= ORDERS - 2);
  CU_ASSERT (n->replays > 0);
  net_shutdown (n);
}

static void
run_seeds (uint32_t first, uint32_t count, faults_t faults, net_t *sum)
{
  for (uint32_t seed = first; seed < first + count; seed++)
    {
      net_t *n = net_setup (seed, faults);
      net_orders_begin (n);
      net_run (n, 2 * CLK_MINUTE);
      net_check (n);
      sum->replays += n->replays;
      sum->unknowns += n->unknowns;
      sum->refusals += n->refusals;
      sum->crashes += n->crashes;
      net_shutdown (n);
    }
}

static void
test_responses_lost_after_effect (void)
{
  net_t sum = { 0 };
  run_seeds (100, 40, (faults_t){ .lost = 0.3 }, &sum);
  CU_ASSERT (sum.replays > 100);
}

static void
test_late_effects (void)
{
  net_t sum = { 0 };
  run_seeds (200, 40, (faults_t){ .lost = 0.1, .late = 0.3, .down = 0.1 },
             &sum);
  CU_ASSERT (sum.replays > 0 && sum.refusals > 0);
}

static void
test_crashes_at_every_step (void)
{
  net_t sum = { 0 };
  run_seeds (300, 60, (faults_t){ .crash = 0.2, .lost = 0.1 }, &sum);
  CU_ASSERT (sum.crashes > 100 && sum.unknowns > 0 && sum.replays > 0);
}

static void
test_all_faults (void)
{
  net_t sum = { 0 };
  run_seeds (
      400, 80,
      (faults_t){
          .lost = 0.1, .late = 0.1, .down = 0.2, .crash = 0.1, .freeze = 0.2 },
      &sum);
  CU_ASSERT (sum.crashes > 0 && sum.unknowns > 0 && sum.replays > 0
             && sum.refusals > 0);
}

static void
test_platform_down_refuses_at_once (void)
{
  net_t *n = net_setup (5, (faults_t){ .down = 1 });
  net_order (n, 0);
  net_run (n, 40);
  CU_ASSERT_EQUAL (n->refusals, 1);
  CU_ASSERT_EQUAL (n->runs[0], 0);
  net_shutdown (n);
}

static void
test_key_used_for_another_request (void)
{
  net_t *n = net_setup (6, (faults_t){ 0 });
  vm_t *v = &n->vm[0];
  idm_request_t request
      = { .customer = "c", .key = "k", .fingerprint = 1, .deadline = 5000 };
  CU_ASSERT_EQUAL (idm_begin (v->idm, v->env, &request), ST_OK);
  request.fingerprint = 2;
  CU_ASSERT_EQUAL (idm_begin (v->idm, v->env, &request), ST_OK);
  idm_result_t result;
  CU_ASSERT (idm_result_pop (v->idm, &result));
  CU_ASSERT_EQUAL (result.verdict, IDM_REUSED);
  net_shutdown (n);
}

static void
test_frozen_past_the_deadline_does_not_send (void)
{
  net_t *n = net_setup (7, (faults_t){ 0 });
  vm_t *v = &n->vm[0];
  idm_request_t request = { .customer = "c", .key = "k", .deadline = 5000 };
  CU_ASSERT_EQUAL (idm_begin (v->idm, v->env, &request), ST_OK);
  const fx_platform_t *call = &v->env->fx->v[0].platform;
  ev_object_t object = { .name = "x", .version = 1 };
  ev_platform_t reply
      = { .call = call->call, .objects = &object, .object_count = 1 };
  plt_done_t done;
  CU_ASSERT (plt_reply (v->env, &reply, &done));
  idm_platform_replied (v->idm, v->env, &done, &reply);
  idm_result_t result;
  CU_ASSERT (idm_result_pop (v->idm, &result));
  CU_ASSERT_EQUAL (result.verdict, IDM_RUN);
  v->env->now = 5000;
  CU_ASSERT_FALSE (idm_may_send (v->idm, v->env, result.handle));
  idm_not_run (v->idm, v->env, result.handle);
  CU_ASSERT_FALSE (idm_may_send (v->idm, v->env, 0));
  net_shutdown (n);
}

static void
test_refused_request_runs_on_retry (void)
{
  net_t *n = net_setup (8, (faults_t){ .lost = 1 });
  net_order (n, 0);
  net_run (n, 10 * CLK_SECOND);
  CU_ASSERT (n->refusals > 0);
  CU_ASSERT_EQUAL (n->runs[0], 0);
  n->faults = (faults_t){ 0 };
  net_run (n, 2 * CLK_MINUTE);
  CU_ASSERT (n->settled[0]);
  net_check (n);
  net_shutdown (n);
}

/* Begins a request with KEY on VM 0 and runs the network until all calls are
 * sent, at least 50 ms.  Returns the handle of the granted request. */
static uint64_t
request_granted (net_t *n, const char *key)
{
  vm_t *v = &n->vm[0];
  idm_request_t request
      = { .customer = "c", .key = key, .deadline = CLK_MINUTE };
  CU_ASSERT_EQUAL (idm_begin (v->idm, v->env, &request), ST_OK);
  for (clk_ms_t t = n->now; v->env->fx->count > 0 || n->now < t + 50;)
    {
      const fx_list_t *fx = v->env->fx;
      for (size_t i = 0; i < fx->count; i++)
        if (fx->v[i].kind == FX_PLATFORM)
          net_platform_call (n, 0, &fx->v[i].platform);
      fx_clear (v->env->fx);
      tmr_due_t due;
      n->now++;
      v->env->now = n->now;
      while (tmr_pop (n->queue, n->now, &due))
        net_handle (n, (event_t *)(uintptr_t)due.tag);
    }
  idm_result_t result = { 0 };
  CU_ASSERT (idm_result_pop (v->idm, &result));
  CU_ASSERT_EQUAL (result.verdict, IDM_RUN);
  return result.handle;
}

static idm_rec_state_t
recorded_state (net_t *n, void *ctx, const char *key)
{
  const object_t *o
      = g_hash_table_lookup (n->objects, idm_rec_name (ctx, "c", key));
  idm_rec_t rec = { .state = IDM_REC_NUM };
  if (o != NULL)
    (void)idm_rec_decode (ctx, o->value, &rec);
  return rec.state;
}

static void
test_sent_is_never_recorded_as_not_run (void)
{
  net_t *n = net_setup (9, (faults_t){ 0 });
  vm_t *v = &n->vm[0];
  uint64_t sent = request_granted (n, "sent");
  CU_ASSERT (idm_may_send (v->idm, v->env, sent));
  idm_not_run (v->idm, v->env, sent);
  uint64_t unsent = request_granted (n, "unsent");
  CU_ASSERT (idm_may_send (v->idm, v->env, unsent));
  idm_unsent (v->idm, unsent);
  idm_not_run (v->idm, v->env, unsent);
  net_run (n, n->now + 1000);
  CU_ASSERT_EQUAL (recorded_state (n, n->ctx, "sent"), IDM_REC_UNKNOWN);
  CU_ASSERT_EQUAL (recorded_state (n, n->ctx, "unsent"), IDM_REC_NOT_RUN);
  CU_ASSERT_EQUAL (idm_pending_outcomes (v->idm), 0);
  net_shutdown (n);
}

/** Runs a sweep at NOW by the only VM, when the platform lists one record of
 * version VERSION; returns the number of deletions. */
static unsigned
sweep_removals (idm_t *i, env_t *env, clk_ms_t now, uint64_t version)
{
  unsigned removals = 0;
  env->now = now;
  fx_clear (env->fx);
  idm_timer_fired (i, env, (uint64_t)1 << 63); /* IDM_SWEEP_TAG */
  const fx_platform_t list = env->fx->v[0].platform;
  CU_ASSERT_EQUAL (list.op, FX_PLATFORM_LIST);
  ev_object_t object = { .name = "idem/00/aa", .version = version };
  ev_platform_t reply
      = { .call = list.call, .objects = &object, .object_count = 1 };
  plt_done_t done;
  CU_ASSERT (plt_reply (env, &reply, &done));
  idm_platform_replied (i, env, &done, &reply);
  for (size_t k = 0; k < env->fx->count; k++)
    if (env->fx->v[k].kind == FX_PLATFORM
        && env->fx->v[k].platform.op == FX_PLATFORM_DELETE)
      {
        removals++;
        CU_ASSERT_EQUAL (env->fx->v[k].platform.if_version, version);
      }
  return removals;
}

static void
test_old_records_are_removed_and_changed_ones_stay (void)
{
  void *ctx = talloc_new (NULL);
  env_t *env = env_setup (
      ctx, &(env_desc_t){ .vm = "vm-0", .data_centre = "a", .seed = 1 });
  mbr_t *m = mbr_setup (ctx, &(mbr_desc_t){ 0 });
  ev_vm_t self = { .vm = "vm-0", .data_centre = "a", .address = "" };
  mbr_platform_replied (m, env, &(plt_done_t){ 0 },
                        &(ev_platform_t){ .vms = &self, .vm_count = 1 });
  idm_t *i = idm_setup (
      ctx, &(idm_desc_t){ .members = m, .retention_ms = 10 * CLK_MINUTE });
  /* Each minute one shard is swept, so a shard comes again after 64 min. */
  unsigned removals = 0;
  for (int turn = 0; turn < 3 * 64; turn++)
    {
      clk_ms_t now = (turn + 1) * CLK_MINUTE;
      unsigned r = sweep_removals (i, env, now, turn < 64 ? 1 : 2);
      if (turn < 2 * 64)
        CU_ASSERT_EQUAL (r, 0);
      removals += r;
    }
  CU_ASSERT_EQUAL (removals, 64);
  talloc_free (ctx);
}

static void
test_record_round_trip_and_names (void)
{
  void *ctx = talloc_new (NULL);
  idm_rec_t in = { .state = IDM_REC_DONE,
                   .writer = "vm-1/7/3",
                   .fingerprint = 0xfedcba9876543210U,
                   .status = 201,
                   .type = "application/json",
                   .body = { .p = "a\0b\xff", .n = 4 },
                   .body_recorded = true };
  idm_rec_t out;
  CU_ASSERT_EQUAL (idm_rec_decode (ctx, idm_rec_encode (ctx, &in), &out),
                   ST_OK);
  CU_ASSERT_EQUAL (out.state, in.state);
  CU_ASSERT_EQUAL (out.fingerprint, in.fingerprint);
  CU_ASSERT (buf_equal (out.body, in.body));
  CU_ASSERT_STRING_EQUAL (out.writer, in.writer);
  CU_ASSERT_EQUAL (idm_rec_decode (ctx, buf_str ("{\"state\":7}"), &out),
                   ST_INVALID);
  CU_ASSERT_EQUAL (idm_rec_decode (ctx, buf_str ("garbage"), &out),
                   ST_INVALID);
  char *a = idm_rec_name (ctx, "a", "bc");
  char *b = idm_rec_name (ctx, "ab", "c");
  CU_ASSERT_STRING_NOT_EQUAL (a, b);
  talloc_free (ctx);
}

static void
test_key_valid (void)
{
  CU_ASSERT (idm_key_valid ("order-1"));
  CU_ASSERT_FALSE (idm_key_valid (""));
  CU_ASSERT_FALSE (idm_key_valid ("two words"));
  char longest[IDM_KEY_MAX + 2];
  memset (longest, 'a', sizeof longest);
  longest[IDM_KEY_MAX + 1] = '\0';
  CU_ASSERT_FALSE (idm_key_valid (longest));
  longest[IDM_KEY_MAX] = '\0';
  CU_ASSERT (idm_key_valid (longest));
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "no_faults_runs_each_once_and_replays",
      test_no_faults_runs_each_once_and_replays },
    { "responses_lost_after_effect", test_responses_lost_after_effect },
    { "late_effects", test_late_effects },
    { "crashes_at_every_step", test_crashes_at_every_step },
    { "all_faults", test_all_faults },
    { "platform_down_refuses_at_once", test_platform_down_refuses_at_once },
    { "key_used_for_another_request", test_key_used_for_another_request },
    { "frozen_past_the_deadline_does_not_send",
      test_frozen_past_the_deadline_does_not_send },
    { "refused_request_runs_on_retry", test_refused_request_runs_on_retry },
    { "sent_is_never_recorded_as_not_run",
      test_sent_is_never_recorded_as_not_run },
    { "old_records_are_removed_and_changed_ones_stay",
      test_old_records_are_removed_and_changed_ones_stay },
    { "record_round_trip_and_names", test_record_round_trip_and_names },
    { "key_valid", test_key_valid },
  };
  return tst_run ("idm", cases, sizeof cases / sizeof cases[0]);
}

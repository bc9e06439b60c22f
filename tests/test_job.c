/** @file
 * Parts of the job path: the event stream parser, job records, the slack of
 * limits, the feed of records and updates to peers.
 */
#include "core/job_int.h"
#include "core/lim_slack.h"
#include "core/sse.h"
#include "tst.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/* A stream gives the same events however its data is split. */
static void
test_events_however_cut (void)
{
  static const char text[] = "id: 1\ndata: a\n\nweight-versions: 2\nid:2\r\n"
                             "data:  b\r\n\r\n: note\n\nid: 3\ndata: c\n";
  for (size_t step = 1; step < sizeof text; step++)
    {
      sse_t s = { 0 };
      sse_event_t e;
      unsigned ids = 0;
      unsigned events = 0;
      size_t bytes = 0;
      for (size_t at = 0; at + 1 < sizeof text; at += step)
        {
          size_t left = sizeof text - 1 - at;
          sse_push (&s, (buf_t){ text + at, left < step ? left : step });
          while (sse_pop (&s, &e))
            {
              events++;
              bytes += e.raw.n;
              if (e.id.n > 0)
                ids = 10 * ids + (unsigned)(e.id.p[0] - '0');
              if (ids == 12 && e.id.n > 0)
                CU_ASSERT (buf_is (e.data, " b"));
            }
        }
      CU_ASSERT_EQUAL (events, 3);
      CU_ASSERT_EQUAL (ids, 12);
      CU_ASSERT (sse_pending (&s));
      CU_ASSERT_EQUAL (bytes, strlen (text) - strlen ("id: 3\ndata: c\n"));
      sse_clear (&s);
    }
}

static job_rec_t
_record (job_rec_item_t *items, job_rec_result_t *results)
{
  return (job_rec_t){ .id = "j-1",
                      .customer = "t1",
                      .host = "a.example",
                      .path = "/q/*",
                      .arrived = 1700000000000,
                      .due_ms = 18000,
                      .keep_ms = 60000,
                      .attempts = 3,
                      .parts = 1,
                      .items = items,
                      .item_count = 2,
                      .results = results,
                      .result_count = 1 };
}

static void
test_record_round_trip (void)
{
  void *ctx = talloc_new (NULL);
  http_header_t header = { "Model", "m" };
  job_rec_item_t items[2] = { { .id = "a",
                                .target = "/q/1?x=1",
                                .headers = { &header, 1 },
                                .tokens = 940,
                                .length = 7 },
                              { .id = "b", .target = "/q/2" } };
  job_rec_result_t results[1] = { { .item = 1, .completed = true } };
  job_rec_t rec = _record (items, results);
  buf_t bytes = job_rec_encode (ctx, &rec);
  const job_rec_t *back = job_rec_decode (ctx, bytes);
  TST_NEED (back != NULL);
  CU_ASSERT_STRING_EQUAL (back->items[0].headers.v[0].value, "m");
  CU_ASSERT_EQUAL (back->items[0].tokens, 940);
  CU_ASSERT_EQUAL (back->result_count, 1);
  CU_ASSERT (back->results[0].item == 1 && back->results[0].completed);
  /* A truncated record is rejected. */
  for (size_t n = 0; n < bytes.n; n++)
    CU_ASSERT_PTR_NULL (job_rec_decode (ctx, (buf_t){ bytes.p, n }));
  talloc_free (ctx);
}

/* A record whose result refers to an item out of range is rejected. */
static void
test_record_out_of_range (void)
{
  void *ctx = talloc_new (NULL);
  job_rec_item_t items[2]
      = { { .id = "a", .target = "/" }, { .id = "b", .target = "/" } };
  job_rec_result_t results[1] = { { .item = 2 } };
  job_rec_t rec = _record (items, results);
  CU_ASSERT_PTR_NULL (job_rec_decode (ctx, job_rec_encode (ctx, &rec)));
  talloc_free (ctx);
}

/* In no window do all VMs together use more slack than the overshoot allows.
 */
static void
test_slack_in_any_window (void)
{
  enum
  {
    VMS = 8,
    ATTEMPTS = 4000
  };
  lsl_desc_t desc = { .window_ms = 5000, .overshoot = 0.1, .requests = 20 };
  lsl_t slack[VMS] = { 0 };
  clk_ms_t used[ATTEMPTS];
  size_t count = 0;
  double part = lsl_part (&desc, 34, 34, VMS);
  double excess = 0.1 * (34 * 5 + 34) + 20;
  srand (7);
  for (clk_ms_t now = 0; now < 20000; now += 5)
    if (lsl_take (&slack[rand () % VMS], &desc, now, part))
      used[count++] = now;
  CU_ASSERT (count > 20);
  for (size_t i = 0; i < count; i++)
    {
      size_t n = 0;
      for (size_t k = i; k < count && used[k] - used[i] < 5000; k++)
        n++;
      CU_ASSERT ((double)n <= excess);
    }
  CU_ASSERT_EQUAL (lsl_part (&desc, 34, 34, 0), 0);
  CU_ASSERT_EQUAL (lsl_part (&(lsl_desc_t){ 0 }, 34, 34, 8), 0);
}

/* The last platform call of kind OP; its call number is 0 when there is none.
 */
static fx_platform_t
_call_of (const env_t *env, fx_platform_op_t op)
{
  fx_platform_t call = { 0 };
  for (size_t i = 0; i < env->fx->count; i++)
    if (env->fx->v[i].kind == FX_PLATFORM && env->fx->v[i].platform.op == op)
      call = env->fx->v[i].platform;
  return call;
}

/* If a record of the first page changes while the second page is read, no page
 * has the change.  So the watch must begin at the first page's revision. */
static void
test_paged_feed_resumes_from_first_revision (void)
{
  env_t *env = env_setup (
      NULL, &(env_desc_t){ .vm = "north-1", .data_centre = "north" });
  mbr_t *members = mbr_setup (env, &(mbr_desc_t){ 0 });
  rte_t *routes = rte_setup (env, &(rte_desc_t){ .members = members });
  job_set_t *jobs
      = job_setup (env, &(job_desc_t){ .members = members, .routes = routes });
  job_start (jobs, env);
  for (uint64_t revision = 5; revision <= 9; revision += 4)
    {
      plt_done_t done;
      ev_platform_t page
          = { .call = _call_of (env, FX_PLATFORM_LIST).call,
              .revision = revision,
              .continue_after = revision == 5 ? "jobs/j-1" : NULL };
      bool known = plt_reply (env, &page, &done);
      TST_NEED (known);
      job_platform_replied (jobs, env, &done, &page);
      tmr_due_t due;
      env->now += 2 * CLK_SECOND;
      while (tmr_pop (env->tmr, env->now, &due))
        if (due.mod == MOD_JOB)
          job_timer_fired (jobs, env, due.tag);
    }
  CU_ASSERT_EQUAL (_call_of (env, FX_PLATFORM_WATCH).revision, 5);
  env_shutdown (env);
}

#define FLEET 30
#define LARGE_FLEET 150

/* Returns the number of records sent to peers since the last call. */
static unsigned
_records_sent (env_t *env)
{
  unsigned n = 0;
  for (size_t i = 0; i < env->fx->count; i++)
    n += env->fx->v[i].kind == FX_PEER_SEND
         && env->fx->v[i].peer.msg.kind == MSG_JOB_RECORD;
  fx_clear (env->fx);
  return n;
}

static job_set_t *
_jobs_of_fleet (env_t *env, mbr_t *members)
{
  ev_vm_t list[FLEET];
  for (size_t i = 0; i < FLEET; i++)
    list[i] = (ev_vm_t){ .vm = talloc_asprintf (env, "north-%zu", i),
                         .data_centre = "north",
                         .address = "",
                         .worker = i == 0 };
  ev_platform_t reply = { .vms = list, .vm_count = FLEET };
  mbr_platform_replied (members, env, &(plt_done_t){ 0 }, &reply);
  for (size_t i = 1; i < FLEET; i++)
    mbr_peer_up (members, env, list[i].vm);
  rte_t *routes = rte_setup (env, &(rte_desc_t){ .members = members });
  job_set_t *jobs
      = job_setup (env, &(job_desc_t){ .members = members, .routes = routes });
  job_members_changed (jobs, env);
  return jobs;
}

/* In a large fleet, updates of a job go only to VMs where a caller waits for
 * the job. */
static void
test_updates_go_to_waiting_vms (void)
{
  env_t *env = env_setup (
      NULL, &(env_desc_t){ .vm = "north-0", .data_centre = "north" });
  mbr_t *members = mbr_setup (env, &(mbr_desc_t){ 0 });
  job_set_t *jobs = _jobs_of_fleet (env, members);
  job_rec_item_t items[2]
      = { { .id = "a", .target = "/q/1" }, { .id = "b", .target = "/q/2" } };
  job_rec_t rec = _record (items, NULL);
  rec.result_count = 0;
  job_t *job = job_record_apply (jobs, env, 7, job_rec_encode (env, &rec));
  TST_NEED (job != NULL);
  fx_clear (env->fx);
  job_update_send (jobs, env, job);
  CU_ASSERT_EQUAL (_records_sent (env), 0);
  mpk_writer_t w;
  mpk_writer_init (&w, env);
  mpk_put_uint (&w, 6);
  mpk_put_uint (&w, 500);
  mpk_put_uint (&w, 0);
  mpk_put_str (&w, buf_str (rec.id));
  msg_t follow = { .kind = MSG_JOB_FOLLOW, .body = mpk_done (&w) };
  /* The follower knows version 6 only, so each request is answered at once
   * with version 7. */
  for (unsigned i = 0; i < 3; i++)
    job_message_received (jobs, env, "north-5", &follow);
  CU_ASSERT_EQUAL (_records_sent (env), 3);
  job_update_send (jobs, env, job);
  CU_ASSERT_EQUAL (_records_sent (env), 1);
  env->now += 5 * CLK_SECOND;
  job_update_send (jobs, env, job);
  CU_ASSERT_EQUAL (_records_sent (env), 0);
  env_shutdown (env);
}

/* Number of messages of KIND to peers, and of reads of single objects, since
 * the last call. */
static void
_asked (env_t *env, uint16_t kind, unsigned *peers, unsigned *reads)
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

/* Load: callers read jobs at any of many VMs.  Guards against each VM reading
 * the record of each job from the platform, and against a caller who waits
 * when the VM that runs the job does not answer. */
static void
test_unknown_job_is_asked_of_its_runner (void)
{
  unsigned peers = 0;
  unsigned reads = 0;
  env_t *env = env_setup (
      NULL, &(env_desc_t){ .vm = "north-1", .data_centre = "north" });
  env->now = CLK_MINUTE;
  mbr_t *members = mbr_setup (env, &(mbr_desc_t){ 0 });
  mbr_start (members, env);
  job_set_t *jobs = _jobs_of_fleet (env, members);
  mbr_peer_up (members, env, "north-0");
  job_members_changed (jobs, env);
  fx_clear (env->fx);
  job_call_start (jobs, env, "t1",
                  &(ev_request_t){ .caller = 1,
                                   .job = { .op = EV_JOB_READ, .id = "j-1" },
                                   .meta = { .long_poll_ms = 1000 } });
  _asked (env, MSG_JOB_FOLLOW, &peers, &reads);
  CU_ASSERT_EQUAL (peers, 1);
  CU_ASSERT_EQUAL (reads, 0);
  /* No answer. */
  for (int i = 0; i < 4; i++)
    {
      tmr_due_t due;
      env->now += JOB_TICK_MS;
      while (tmr_pop (env->tmr, env->now, &due))
        if (due.mod == MOD_JOB)
          job_timer_fired (jobs, env, due.tag);
    }
  _asked (env, MSG_JOB_FOLLOW, &peers, &reads);
  CU_ASSERT_EQUAL (peers, 0);
  CU_ASSERT_EQUAL (reads, 1);
  env_shutdown (env);
}

/* Load: a fleet that grows.  Guards against the feed of records costing the
 * platform more calls the more VMs there are. */
static void
test_feed_is_read_less_often_in_a_large_fleet (void)
{
  env_t *env = env_setup (
      NULL, &(env_desc_t){ .vm = "north-1", .data_centre = "north" });
  mbr_t *members = mbr_setup (env, &(mbr_desc_t){ 0 });
  mbr_start (members, env);
  job_set_t *jobs = _jobs_of_fleet (env, members);
  mbr_peer_up (members, env, "north-0");
  job_members_changed (jobs, env);
  clk_ms_t small = 0;
  clk_ms_t large = 0;
  for (unsigned i = 0; i < 50; i++)
    small += job_feed_pause (jobs, env);
  ev_vm_t list[LARGE_FLEET];
  for (size_t i = 0; i < LARGE_FLEET; i++)
    list[i] = (ev_vm_t){ .vm = talloc_asprintf (env, "north-%zu", i),
                         .data_centre = "north",
                         .address = "",
                         .worker = i == 0 };
  mbr_platform_replied (
      members, env, &(plt_done_t){ 0 },
      &(ev_platform_t){ .vms = list, .vm_count = LARGE_FLEET });
  for (unsigned i = 0; i < 50; i++)
    large += job_feed_pause (jobs, env);
  /* Five times as many VMs read at most twice as often together. */
  CU_ASSERT (large * 2 >= small * 5);
  env_shutdown (env);
}

/* Submits job j-1 for CALLER. */
static void
_submit (job_set_t *jobs, env_t *env, uint64_t caller)
{
  static ev_job_item_t items[4]
      = { { .id = "a", .target = "/q/1", .body = { "b", 1 } },
          { .id = "b", .target = "/q/1" },
          { .id = "c", .target = "/q/1" },
          { .id = "d", .target = "/q/1" } };
  job_submit (jobs, env, "t1",
              &(cfg_route_t){
                  .method = "a.example", .path = "/q/*", .job_due_ms = 18000 },
              &(ev_request_t){
                  .caller = caller,
                  .job = { .id = "j-1", .items = items, .item_count = 4 } });
}

/* A VM whose submission of a job has asked its runner, north-0. */
static job_set_t *
_asking (env_t *env, mbr_t *members)
{
  env->now = CLK_MINUTE;
  mbr_start (members, env);
  job_set_t *jobs = _jobs_of_fleet (env, members);
  jobs->desc.refuse_late = true;
  mbr_peer_up (members, env, "north-0");
  job_members_changed (jobs, env);
  env->now += 5 * CLK_SECOND;
  fx_clear (env->fx);
  _submit (jobs, env, 1);
  return jobs;
}

/* Has VM answer the question about job ID that 1 of 4 items would be on time;
 * CUT: the message lacks its last bytes. */
static void
_admitted (job_set_t *jobs, env_t *env, const char *vm, const char *id,
           size_t cut)
{
  mpk_writer_t w;
  mpk_writer_init (&w, env);
  mpk_put_uint (&w, tbl_next (jobs->submits, (tbl_id_t){ 0 }).id);
  mpk_put_uint (&w, 1);
  mpk_put_uint (&w, 40);
  mpk_put_uint (&w, 500);
  mpk_put_uint (&w, 2000);
  mpk_put_str (&w, buf_str (id));
  msg_t msg = { .kind = MSG_JOB_ADMITTED, .body = mpk_done (&w) };
  msg.body.n -= cut;
  job_message_received (jobs, env, vm, &msg);
}

/* Number of writes to the platform. */
static unsigned
_write_count (const env_t *env)
{
  unsigned n = 0;
  for (size_t i = 0; i < env->fx->count; i++)
    n += env->fx->v[i].kind == FX_PLATFORM
         && env->fx->v[i].platform.op == FX_PLATFORM_PUT;
  return n;
}

/* Status of the response to the caller; 0: none yet. */
static int
_status (const env_t *env)
{
  for (size_t i = 0; i < env->fx->count; i++)
    if (env->fx->v[i].kind == FX_REPLY_HEAD)
      return env->fx->v[i].reply.status;
  return 0;
}

/* Load: a job beyond what fits.  Guards against a refusal after something of
 * the job was written, and of a job whose record another VM has stored: the
 * runner's answer that it is late has the record read first, and the record
 * may come from a peer before the answer to that read does. */
static void
test_late_job_is_refused_before_it_is_written (void)
{
  for (unsigned stored = 0; stored < 3; stored++)
    {
      env_t *env = env_setup (
          NULL, &(env_desc_t){ .vm = "north-1", .data_centre = "north" });
      mbr_t *members = mbr_setup (env, &(mbr_desc_t){ 0 });
      job_set_t *jobs = _asking (env, members);
      job_rec_t rec
          = _record ((job_rec_item_t[2]){ { .id = "a", .target = "/q" },
                                          { .id = "b", .target = "/q" } },
                     NULL);
      rec.result_count = 0;
      _admitted (jobs, env, "north-0", "j-1", 0);
      CU_ASSERT_EQUAL (_write_count (env), 0);
      ev_object_t object
          = { .version = 3, .value = job_rec_encode (env, &rec) };
      ev_platform_t reply = { .call = _call_of (env, FX_PLATFORM_GET).call,
                              .code = stored == 1 ? ST_OK : ST_NOT_FOUND,
                              .objects = &object,
                              .object_count = stored == 1 };
      plt_done_t done;
      if (stored == 2)
        (void)job_record_apply (jobs, env, object.version, object.value);
      TST_NEED (plt_reply (env, &reply, &done));
      job_platform_replied (jobs, env, &done, &reply);
      CU_ASSERT_EQUAL (_status (env), stored ? 0 : 503);
      CU_ASSERT_EQUAL (_write_count (env), stored ? 2 : 0);
      CU_ASSERT_EQUAL (tbl_count (jobs->submits), stored > 0);
      env_shutdown (env);
    }
}

/* Load: a caller repeats a late job before its first submission is answered.
 * The repeat asks nothing and writes.  Guards against a first submission that
 * is refused as not run by then, whether its record is read yet or not. */
static void
test_repeat_ends_the_question_of_the_first (void)
{
  for (unsigned reading = 0; reading < 2; reading++)
    {
      env_t *env = env_setup (
          NULL, &(env_desc_t){ .vm = "north-1", .data_centre = "north" });
      mbr_t *members = mbr_setup (env, &(mbr_desc_t){ 0 });
      job_set_t *jobs = _asking (env, members);
      uint64_t first = tbl_next (jobs->submits, (tbl_id_t){ 0 }).id;
      if (reading)
        _admitted (jobs, env, "north-0", "j-1", 0);
      _submit (jobs, env, 2);
      CU_ASSERT (_write_count (env) > 0);
      if (!reading)
        _admitted (jobs, env, "north-0", "j-1", 0);
      ev_platform_t reply = { .call = _call_of (env, FX_PLATFORM_GET).call,
                              .code = ST_NOT_FOUND };
      plt_done_t done;
      if (plt_reply (env, &reply, &done))
        job_platform_replied (jobs, env, &done, &reply);
      CU_ASSERT_EQUAL (_status (env), 0);
      CU_ASSERT_PTR_NOT_NULL (
          tbl_get (jobs->submits, (tbl_id_t){ .id = first }));
      env_shutdown (env);
    }
}

/* Failures: the runner dies or is cut off while it is asked; an answer comes
 * from another VM, about another job, cut or late.  Guards against a refusal
 * by any of these, and against a wait of more than 100 ms. */
static void
test_job_is_accepted_without_a_valid_answer (void)
{
  env_t *env = env_setup (
      NULL, &(env_desc_t){ .vm = "north-1", .data_centre = "north" });
  mbr_t *members = mbr_setup (env, &(mbr_desc_t){ 0 });
  job_set_t *jobs = _asking (env, members);
  _admitted (jobs, env, "north-5", "j-1", 0);
  _admitted (jobs, env, "north-0", "j-2", 0);
  for (size_t cut = 1; cut < 10; cut++)
    _admitted (jobs, env, "north-0", "j-1", cut);
  CU_ASSERT_EQUAL (_call_of (env, FX_PLATFORM_GET).call, 0);
  CU_ASSERT_EQUAL (_write_count (env), 0);
  clk_ms_t end = env->now + 100;
  while (env->now < end)
    {
      tmr_due_t due;
      env->now += 10;
      while (tmr_pop (env->tmr, env->now, &due))
        if (due.mod == MOD_JOB)
          job_timer_fired (jobs, env, due.tag);
    }
  CU_ASSERT_EQUAL (_write_count (env), 2);
  _admitted (jobs, env, "north-0", "j-1", 0);
  CU_ASSERT_EQUAL (_call_of (env, FX_PLATFORM_GET).call, 0);
  CU_ASSERT_EQUAL (_status (env), 0);
  env_shutdown (env);
}

/* Two bodies that do not fit into one object, and the same in small with an
 * item that has none. */
#define LARGE_BODY ((size_t)300 << 10)

static char _large_body[LARGE_BODY];

static const ev_job_item_t _large_items[]
    = { { .id = "a", .target = "/q/1", .body = { _large_body, LARGE_BODY } },
        { .id = "b", .target = "/q/1", .body = { _large_body, LARGE_BODY } } };

static const ev_job_item_t _small_items[]
    = { { .id = "a", .target = "/q/1" },
        { .id = "b", .target = "/q/1", .body = { "b", 1 } } };

/* Submits job j-1 with two ITEMS. */
static void
_submit_items (job_set_t *jobs, env_t *env, const ev_job_item_t *items)
{
  fx_clear (env->fx);
  job_submit (jobs, env, "t1",
              &(cfg_route_t){
                  .method = "a.example", .path = "/q/*", .job_due_ms = 18000 },
              &(ev_request_t){
                  .caller = 1,
                  .job = { .id = "j-1", .items = items, .item_count = 2 } });
}

/* The record that a VM writes for ITEMS, with RESULTS added; owned by CTX. */
static buf_t
_record_of (void *ctx, const ev_job_item_t *items, job_rec_result_t *results,
            uint32_t result_count)
{
  env_t *env
      = env_setup (ctx, &(env_desc_t){ .vm = "north-9", .data_centre = "n" });
  mbr_t *members = mbr_setup (env, &(mbr_desc_t){ 0 });
  job_set_t *jobs = job_setup (env, &(job_desc_t){ .members = members });
  _submit_items (jobs, env, items);
  buf_t record = { 0 };
  for (size_t i = 0; i < env->fx->count; i++)
    {
      const fx_platform_t *call = &env->fx->v[i].platform;
      if (env->fx->v[i].kind == FX_PLATFORM
          && strcmp (call->name, JOB_RECORD_PREFIX "j-1") == 0)
        record = call->value;
    }
  job_rec_t *rec = job_rec_decode (ctx, record);
  rec->results = results;
  rec->result_count = result_count;
  return job_rec_encode (ctx, rec);
}

/* Answers all writes of bodies that ENV has asked for, of objects that exist;
 * returns their names. */
static char *
_bodies_exist (job_set_t *jobs, env_t *env)
{
  char *names = talloc_strdup (env, "");
  uint64_t calls[8];
  size_t n = 0;
  for (size_t i = 0; i < env->fx->count && n < 8; i++)
    if (env->fx->v[i].kind == FX_PLATFORM)
      {
        calls[n++] = env->fx->v[i].platform.call;
        names = talloc_asprintf_append (names, "%s ",
                                        env->fx->v[i].platform.name);
      }
  for (size_t i = 0; i < n; i++)
    {
      plt_done_t done;
      ev_platform_t reply = { .call = calls[i], .code = ST_CONFLICT };
      if (plt_reply (env, &reply, &done))
        job_platform_replied (jobs, env, &done, &reply);
    }
  return names;
}

/* A VM that knows the record of ITEMS with RESULTS gets the job once more.
 * Returns the names of the objects that it writes; the job is accepted after
 * that and not before, at once if there are none. */
static const char *
_repeat (void *ctx, const ev_job_item_t *items, job_rec_result_t *results,
         uint32_t result_count)
{
  env_t *env = env_setup (
      ctx, &(env_desc_t){ .vm = "north-1", .data_centre = "north" });
  mbr_t *members = mbr_setup (env, &(mbr_desc_t){ 0 });
  rte_t *routes = rte_setup (env, &(rte_desc_t){ .members = members });
  job_set_t *jobs
      = job_setup (env, &(job_desc_t){ .members = members, .routes = routes });
  (void)job_record_apply (jobs, env, 7,
                          _record_of (ctx, items, results, result_count));
  _submit_items (jobs, env, items);
  int before = _status (env);
  char *names = _bodies_exist (jobs, env);
  CU_ASSERT_EQUAL (before, names[0] == '\0' ? 202 : 0);
  CU_ASSERT_EQUAL (_status (env), 202);
  return names;
}

/* Guards against a job that is accepted although not all of its bodies are
 * stored, as a result is taken for a proof that they are: the VM that stored
 * the first bodies has lost power. */
static void
test_result_proves_its_own_bodies_only (void)
{
  void *ctx = talloc_new (NULL);
  job_rec_result_t first[] = { { .item = 0, .completed = true } };
  job_rec_result_t second[] = { { .item = 1, .completed = true } };
  job_rec_result_t given_up[] = { { .item = 0 } };
  job_rec_result_t both[]
      = { { .item = 1, .completed = true }, { .item = 0 } };
  CU_ASSERT_STRING_EQUAL (_repeat (ctx, _large_items, first, 1),
                          "job-bodies/j-1/1 ");
  CU_ASSERT_STRING_EQUAL (_repeat (ctx, _large_items, given_up, 1),
                          "job-bodies/j-1/0 job-bodies/j-1/1 ");
  CU_ASSERT_STRING_EQUAL (_repeat (ctx, _large_items, NULL, 0),
                          "job-bodies/j-1/0 job-bodies/j-1/1 ");
  CU_ASSERT_STRING_EQUAL (_repeat (ctx, _large_items, both, 2), "");
  CU_ASSERT_STRING_EQUAL (_repeat (ctx, _small_items, second, 1), "");
  CU_ASSERT_STRING_EQUAL (_repeat (ctx, _small_items, first, 1),
                          "job-bodies/j-1/0 ");
  talloc_free (ctx);
}

/* Guards against bodies of one job that are stored for another of the same id,
 * and are then run for it. */
static void
test_repeat_with_other_items_is_refused (void)
{
  void *ctx = talloc_new (NULL);
  env_t *env = env_setup (
      ctx, &(env_desc_t){ .vm = "north-1", .data_centre = "north" });
  mbr_t *members = mbr_setup (env, &(mbr_desc_t){ 0 });
  job_set_t *jobs = job_setup (env, &(job_desc_t){ .members = members });
  (void)job_record_apply (jobs, env, 7,
                          _record_of (ctx, _large_items, NULL, 0));
  _submit_items (jobs, env, _small_items);
  CU_ASSERT_EQUAL (_status (env), 409);
  CU_ASSERT_EQUAL (_write_count (env), 0);
  talloc_free (ctx);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "events_however_cut", test_events_however_cut },
    { "record_round_trip", test_record_round_trip },
    { "record_out_of_range", test_record_out_of_range },
    { "slack_in_any_window", test_slack_in_any_window },
    { "updates_go_to_waiting_vms", test_updates_go_to_waiting_vms },
    { "unknown_job_is_asked_of_its_runner",
      test_unknown_job_is_asked_of_its_runner },
    { "feed_is_read_less_often_in_a_large_fleet",
      test_feed_is_read_less_often_in_a_large_fleet },
    { "late_job_is_refused_before_it_is_written",
      test_late_job_is_refused_before_it_is_written },
    { "repeat_ends_the_question_of_the_first",
      test_repeat_ends_the_question_of_the_first },
    { "job_is_accepted_without_a_valid_answer",
      test_job_is_accepted_without_a_valid_answer },
    { "result_proves_its_own_bodies_only",
      test_result_proves_its_own_bodies_only },
    { "repeat_with_other_items_is_refused",
      test_repeat_with_other_items_is_refused },
    { "paged_feed_resumes_from_first_revision",
      test_paged_feed_resumes_from_first_revision },
  };
  return tst_run ("job", cases, sizeof cases / sizeof cases[0]);
}

/** @file
 * Crashes at one VM, which is its own ledger: what counts as an end, whom it
 * is booked to, permits and trials, and bounds.
 */
#include "core/crs.h"
#include "core/mpk.h"
#include "tst.h"

#include <stdio.h>
#include <talloc.h>

/* A VM's environment and module; both belong to the environment's context. */
typedef struct
{
  env_t *env;
  crs_t *c;
  uint64_t handle; /* of the last request */
} vm_t;

static vm_t
setup (void)
{
  vm_t v = { .env = env_setup (NULL, &(env_desc_t){ .vm = "n-1",
                                                    .data_centre = "north",
                                                    .incarnation = 1,
                                                    .seed = 1 }) };
  v.env->now = CLK_MINUTE;
  v.c = crs_setup (v.env, &(crs_desc_t){ .members = mbr_setup (
                                             v.env, &(mbr_desc_t){ 0 }) });
  crs_listed_begin (v.c);
  for (uint64_t i = 0; i < 200; i++)
    {
      char name[16];
      (void)snprintf (name, sizeof name, "i-%d", (int)i);
      crs_listed (v.c, name, i + 1);
    }
  crs_listed_end (v.c, v.env);
  return v;
}

static crs_query_t
query (const vm_t *v, const uint64_t *subjects, size_t count)
{
  return (crs_query_t){ .mod = MOD_ONLINE,
                        .tag = v->handle + 1,
                        .request_id = "r",
                        .subjects = subjects,
                        .subject_count = count,
                        .permit_ms = 5 * CLK_SECOND };
}

/* Sends a request with SUBJECTS to upstream I; returns its handle. */
static uint64_t
run_begin (vm_t *v, unsigned i, const uint64_t *subjects, size_t count)
{
  char name[16];
  (void)snprintf (name, sizeof name, "i-%u", i);
  crs_query_t q = query (v, subjects, count);
  crs_run_begin (v->c, v->env, ++v->handle,
                 &(crs_run_t){ .upstream = name,
                               .born = i + 1,
                               .address = "10.0.0.1:80",
                               .fixed_identity = true,
                               .query = q });
  return v->handle;
}

/* The outcome EV of the question whether the upstream lives that was last
 * asked; false: none was. */
static bool
probe_ends (vm_t *v, ev_t ev)
{
  const fx_list_t *fx = v->env->fx;
  for (size_t i = fx->count; i > 0; i--)
    if (fx->v[i - 1].kind == FX_UPSTREAM_CALL)
      {
        upc_owner_t owner;
        ev.upstream.call = fx->v[i - 1].upstream.call;
        if (!upc_event (v->env, &ev, &owner))
          return false;
        crs_upstream_event (v->c, v->env, owner.tag, &ev);
        fx_clear (v->env->fx);
        return true;
      }
  return false;
}

static const ev_t refused
    = { .kind = EV_UPSTREAM_FAIL,
        .upstream = { .fail = EV_FAIL_NOT_SENT, .refused = true } };
static const ev_t silent
    = { .kind = EV_UPSTREAM_FAIL, .upstream = { .fail = EV_FAIL_NOT_SENT } };
static const ev_t alive
    = { .kind = EV_UPSTREAM_HEAD, .upstream = { .status = 200 } };
static const ev_t another
    = { .kind = EV_UPSTREAM_HEAD, .upstream = { .status = 421 } };

/* Upstream I ends under a request with SUBJECTS. */
static void
end_under (vm_t *v, unsigned i, const uint64_t *subjects, size_t count)
{
  v->env->now += 10;
  uint64_t handle = run_begin (v, i, subjects, count);
  crs_run_end (v->c, v->env, handle, CRS_END_CLOSED);
  CU_ASSERT (probe_ends (v, refused));
}

static crs_verdict_t
ask (vm_t *v, const uint64_t *subjects, size_t count)
{
  clk_ms_t retry_ms = 0;
  crs_query_t q = query (v, subjects, count);
  crs_verdict_t verdict = crs_may_send (v->c, v->env, &q, &retry_ms);
  CU_ASSERT ((verdict == CRS_REFUSE) == (retry_ms > 0));
  return verdict;
}

/* Guards against a break that was not the upstream's end being counted, and an
 * end that shows itself in another way not being counted. */
static void
test_what_counts_as_an_end (void)
{
  static const uint64_t a = 0xa;
  static const struct
  {
    crs_end_t how;
    const ev_t *probe;
    size_t counted;
  } ways[] = {
    { CRS_END_CLOSED, &refused, 1 }, { CRS_END_CLOSED, &another, 1 },
    { CRS_END_CLOSED, &silent, 1 },  { CRS_END_CLOSED, &alive, 0 },
    { CRS_END_OTHER, NULL, 0 },      { CRS_END_UNSENT, NULL, 0 },
    { CRS_END_UNPROVED, NULL, 0 },   { CRS_END_WHOLE, NULL, 0 },
  };
  for (size_t i = 0; i < sizeof ways / sizeof ways[0]; i++)
    {
      vm_t v = setup ();
      crs_run_end (v.c, v.env, run_begin (&v, 1, &a, 1), ways[i].how);
      bool asked
          = probe_ends (&v, ways[i].probe != NULL ? *ways[i].probe : refused);
      CU_ASSERT_EQUAL (asked, ways[i].probe != NULL);
      if (ways[i].probe == &silent)
        CU_ASSERT_EQUAL (crs_count (v.c, 1), 0);
      v.env->now += 10;
      crs_heard (v.c, v.env);
      CU_ASSERT_EQUAL (crs_count (v.c, 1), ways[i].counted);
      env_shutdown (v.env);
    }
}

/* Guards against an end that only the list shows not being counted, whether it
 * drops the upstream or names its next start. */
static void
test_list_shows_the_end (void)
{
  static const uint64_t a = 0xa;
  for (int renewed = 0; renewed < 2; renewed++)
    for (int unproved = 0; unproved < 2; unproved++)
      {
        vm_t v = setup ();
        crs_run_end (v.c, v.env, run_begin (&v, 1, &a, 1),
                     unproved ? CRS_END_UNPROVED : CRS_END_CLOSED);
        v.env->now += 3 * CLK_SECOND;
        crs_listed_begin (v.c);
        if (renewed)
          crs_listed (v.c, "i-1", 77);
        crs_listed_end (v.c, v.env);
        CU_ASSERT_EQUAL (crs_count (v.c, 1), 1);
        env_shutdown (v.env);
      }
}

/* Guards against an answer that a crash may have cut clearing a part, and
 * against one that was whole never doing so. */
static void
test_answer_that_ends_with_its_connection (void)
{
  static const uint64_t a = 0xa;
  vm_t v = setup ();
  for (unsigned i = 0; i < 3; i++)
    end_under (&v, i, &a, 1);
  CU_ASSERT_EQUAL (crs_count (v.c, CRS_BLOCK_ENDS), 1);
  v.env->now += 10;
  uint64_t first = run_begin (&v, 9, &a, 1);
  crs_run_end (v.c, v.env, first, CRS_END_UNPROVED);
  CU_ASSERT_EQUAL (crs_count (v.c, CRS_BLOCK_ENDS), 1);
  v.env->now += 10;
  /* The same start answers something that was sent later. */
  static const uint64_t b = 0xb;
  crs_run_head (v.c, v.env, run_begin (&v, 9, &b, 1));
  CU_ASSERT_EQUAL (crs_count (v.c, 1), 0);
  env_shutdown (v.env);
}

/* Guards against one end that several requests and VMs report counting more
 * than once, and against its counting for others when a blocked part ran
 * there. */
static void
test_end_is_booked_once (void)
{
  static const uint64_t both[] = { 0xa, 0xb };
  static const uint64_t c = 0xc;
  vm_t v = setup ();
  for (unsigned i = 0; i < 3; i++)
    {
      uint64_t first = run_begin (&v, i, both, 2);
      uint64_t second = run_begin (&v, i, both, 2);
      crs_run_end (v.c, v.env, first, CRS_END_CLOSED);
      crs_run_end (v.c, v.env, second, CRS_END_CLOSED);
      CU_ASSERT_EQUAL (crs_count (v.c, i + 1), 0);
      CU_ASSERT (probe_ends (&v, refused));
      CU_ASSERT_EQUAL (crs_count (v.c, i + 1), 2);
    }
  uint64_t trial = run_begin (&v, 7, both, 1);
  uint64_t beside = run_begin (&v, 7, &c, 1);
  crs_run_end (v.c, v.env, trial, CRS_END_CLOSED);
  crs_run_end (v.c, v.env, beside, CRS_END_CLOSED);
  CU_ASSERT (probe_ends (&v, refused));
  CU_ASSERT_EQUAL (crs_count (v.c, 1), 2);
  CU_ASSERT_EQUAL (crs_count (v.c, 4), 1);
  env_shutdown (v.env);
}

/* Guards against two requests with a suspected part at a time, against a
 * permit that is never given back, and against more than three trials. */
static void
test_permits_and_trials (void)
{
  static const uint64_t a = 0xa;
  vm_t v = setup ();
  end_under (&v, 0, &a, 1);
  CU_ASSERT_EQUAL (ask (&v, &a, 1), CRS_SEND);
  end_under (&v, 1, &a, 1);
  CU_ASSERT_EQUAL (ask (&v, &a, 1), CRS_SEND);
  uint64_t running = run_begin (&v, 2, &a, 1);
  CU_ASSERT_EQUAL (ask (&v, &a, 1), CRS_WAIT);
  crs_run_end (v.c, v.env, running, CRS_END_OTHER);
  v.env->now += CRS_ASK_MS;
  CU_ASSERT_EQUAL (ask (&v, &a, 1), CRS_SEND);
  end_under (&v, 2, &a, 1);
  CU_ASSERT_EQUAL (ask (&v, &a, 1), CRS_REFUSE);
  unsigned trials = 0;
  for (unsigned i = 0; i < 600; i++)
    {
      v.env->now += CLK_SECOND / 4;
      if (ask (&v, &a, 1) != CRS_SEND)
        continue;
      end_under (&v, 10 + i % 100, &a, 1);
      trials++;
    }
  CU_ASSERT_EQUAL (trials, CRS_TRIALS_MAX);
  env_shutdown (v.env);
}

/* Guards against a request that is sent twice by one permit, as it is resumed
 * before it is known whether its upstream has ended. */
static void
test_permit_is_good_for_one_send (void)
{
  static const uint64_t a = 0xa;
  vm_t v = setup ();
  clk_ms_t retry_ms = 0;
  for (unsigned i = 0; i < 2; i++)
    end_under (&v, i, &a, 1);
  crs_query_t q = query (&v, &a, 1);
  CU_ASSERT_EQUAL (crs_may_send (v.c, v.env, &q, &retry_ms), CRS_SEND);
  crs_run_end (v.c, v.env, run_begin (&v, 5, &a, 1), CRS_END_CLOSED);
  CU_ASSERT_EQUAL (crs_may_send (v.c, v.env, &q, &retry_ms), CRS_WAIT);
  CU_ASSERT (probe_ends (&v, refused));
  CU_ASSERT_EQUAL (crs_may_send (v.c, v.env, &q, &retry_ms), CRS_REFUSE);
  env_shutdown (v.env);
}

/* Guards against a trial that was not sent counting as one, and against the
 * first whole answer not making the part free. */
static void
test_trial_frees_the_part (void)
{
  static const uint64_t a = 0xa;
  vm_t v = setup ();
  for (unsigned i = 0; i < 3; i++)
    end_under (&v, i, &a, 1);
  for (unsigned i = 0; i < 10; i++)
    {
      v.env->now += 2 * CLK_SECOND;
      CU_ASSERT_EQUAL (ask (&v, &a, 1), CRS_SEND);
      crs_run_end (v.c, v.env, run_begin (&v, 5, &a, 1), CRS_END_UNSENT);
    }
  CU_ASSERT_EQUAL (ask (&v, &a, 1), CRS_SEND);
  crs_run_end (v.c, v.env, run_begin (&v, 5, &a, 1), CRS_END_WHOLE);
  CU_ASSERT_EQUAL (crs_count (v.c, 1), 0);
  CU_ASSERT_EQUAL (ask (&v, &a, 1), CRS_SEND);
  CU_ASSERT_EQUAL (ask (&v, &a, 1), CRS_SEND);
  env_shutdown (v.env);
}

/* Guards against an end without certain evidence, as behind a cut road,
 * staying booked when the list shows long after that the start lives. */
static void
test_doubtful_end_lapses (void)
{
  static const uint64_t a = 0xa;
  vm_t v = setup ();
  crs_run_end (v.c, v.env, run_begin (&v, 1, &a, 1), CRS_END_CLOSED);
  CU_ASSERT (probe_ends (&v, silent));
  v.env->now += 1;
  crs_heard (v.c, v.env);
  CU_ASSERT_EQUAL (crs_count (v.c, 1), 1);
  v.env->now += CLK_MINUTE;
  /* Not while the list is old. */
  crs_timer_fired (v.c, v.env, 2);
  CU_ASSERT_EQUAL (crs_count (v.c, 1), 1);
  crs_list_read (v.c, v.env->now);
  /* Nor by the first one, which may hold entries that are gone. */
  crs_timer_fired (v.c, v.env, 2);
  CU_ASSERT_EQUAL (crs_count (v.c, 1), 1);
  v.env->now += 6 * CLK_SECOND;
  crs_timer_fired (v.c, v.env, 2);
  CU_ASSERT_EQUAL (crs_count (v.c, 1), 0);
  env_shutdown (v.env);
}

/* Guards against callers that name ever new parts using up the memory, or
 * having others' blocked parts forgotten. */
static void
test_many_parts_are_bounded (void)
{
  static const uint64_t a = 0xa;
  uint64_t many[CRS_SUBJECTS_MAX];
  uint64_t next = 1000;
  vm_t v = setup ();
  for (unsigned i = 0; i < 3; i++)
    end_under (&v, i, &a, 1);
  for (unsigned i = 0; i < 190; i++)
    {
      for (size_t k = 0; k < CRS_SUBJECTS_MAX; k++)
        many[k] = next++;
      end_under (&v, 3 + i, many, CRS_SUBJECTS_MAX);
    }
  CU_ASSERT (crs_count (v.c, 0) <= CRS_ENTRIES_MAX);
  CU_ASSERT_EQUAL (crs_count (v.c, CRS_BLOCK_ENDS), 1);

  size_t before = talloc_total_size (v.env);
  for (unsigned i = 0; i < 100000; i++)
    {
      uint64_t handle = run_begin (&v, 1, &next, 1);
      next++;
      crs_run_end (v.c, v.env, handle, CRS_END_WHOLE);
    }
  CU_ASSERT (talloc_total_size (v.env) <= before + (1 << 20));
  env_shutdown (v.env);
}

/* Guards against another caller's request, or another request of the same one,
 * being taken for a repeat. */
static void
test_requests_are_told_apart (void)
{
  static const struct
  {
    const char *customer;
    const char *method;
    const char *target;
    const char *body;
  } requests[] = {
    { "acme", "POST", "/a", "body" },   { "acm", "POST", "/a", "body" },
    { "other", "POST", "/a", "body" },  { "acme", "PUT", "/a", "body" },
    { "acme", "POST", "/a?x", "body" }, { "acme", "POST", "/abody", "" },
    { "acme", "POST", "/a", "bodz" },   { "acme", "POST", "/", "abody" },
    { "", "POST", "/a", "body" },       { "", "", "", "" },
  };
  size_t n = sizeof requests / sizeof requests[0];
  uint64_t hash[sizeof requests / sizeof requests[0]];
  for (size_t i = 0; i < n; i++)
    {
      hash[i]
          = crs_request_hash (requests[i].customer, requests[i].method,
                              requests[i].target, buf_str (requests[i].body));
      CU_ASSERT (hash[i] != 0);
      for (size_t k = 0; k < i; k++)
        CU_ASSERT (hash[i] != hash[k]);
    }
  CU_ASSERT_EQUAL (hash[0],
                   crs_request_hash ("acme", "POST", "/a", buf_str ("body")));
}

/* Guards against a message that is cut, or says too much, changing or breaking
 * anything. */
static void
test_malformed_messages (void)
{
  vm_t v = setup ();
  char bytes[64];
  for (unsigned kind = MSG_CRASH_REPORT; kind <= MSG_CRASH_DONE; kind++)
    for (unsigned fill = 0; fill < 256; fill++)
      {
        for (size_t i = 0; i < sizeof bytes; i++)
          bytes[i] = (char)(fill + i * (fill % 7));
        for (size_t n = 0; n < sizeof bytes; n += 5)
          crs_message_received (
              v.c, v.env, "n-2",
              &(msg_t){ .kind = (uint16_t)kind, .body = { bytes, n } });
      }
  CU_ASSERT (crs_count (v.c, 0) <= CRS_ENTRIES_MAX);
  env_shutdown (v.env);
}

/* An answer to HANDLE goes on from now for MS, an event each 100 ms. */
static void
answer_for (vm_t *v, uint64_t handle, clk_ms_t ms)
{
  clk_ms_t until = v->env->now + ms;
  crs_run_head (v->c, v->env, handle);
  crs_run_progress (v->c, v->env, handle);
  while (v->env->now < until)
    {
      v->env->now += 100;
      crs_run_progress (v->c, v->env, handle);
    }
}

/* Guards against a request whose answer has gone on for long being blamed when
 * its upstream ends, and against one being let off that had only begun. */
static void
test_long_answers_are_not_blamed (void)
{
  static const uint64_t old[] = { 1 };
  static const uint64_t new[] = { 2 };
  vm_t v = setup ();
  uint64_t first = run_begin (&v, 0, old, 1);
  answer_for (&v, first, CRS_BEGUN_MS);
  uint64_t second = run_begin (&v, 0, new, 1);
  answer_for (&v, second, CRS_BEGUN_MS / 2);
  crs_run_end (v.c, v.env, first, CRS_END_CLOSED);
  crs_run_end (v.c, v.env, second, CRS_END_CLOSED);
  CU_ASSERT (probe_ends (&v, refused));
  CU_ASSERT_EQUAL (crs_count (v.c, 1), 1);
  end_under (&v, 1, new, 1);
  end_under (&v, 2, new, 1);
  CU_ASSERT_EQUAL (ask (&v, old, 1), CRS_SEND);
  CU_ASSERT_EQUAL (ask (&v, new, 1), CRS_REFUSE);
  talloc_free (v.env);
}

/* Guards against a sound part staying blocked until an answer is whole, which
 * takes a long item many seconds. */
static void
test_answer_that_goes_on_clears (void)
{
  static const uint64_t part[] = { 1 };
  vm_t v = setup ();
  uint64_t early = run_begin (&v, 9, part, 1);
  crs_run_head (v.c, v.env, early);
  crs_run_progress (v.c, v.env, early);
  for (unsigned i = 0; i < CRS_BLOCK_ENDS; i++)
    end_under (&v, i, part, 1);
  CU_ASSERT_EQUAL (ask (&v, part, 1), CRS_REFUSE);
  answer_for (&v, early, CRS_BEGUN_MS / 2);
  CU_ASSERT_EQUAL (ask (&v, part, 1), CRS_REFUSE);
  answer_for (&v, early, CRS_BEGUN_MS);
  CU_ASSERT_EQUAL (ask (&v, part, 1), CRS_SEND);
  CU_ASSERT_EQUAL (crs_count (v.c, 1), 0);
  talloc_free (v.env);
}

/* Guards against a trial that holds its permit until its answer is whole. */
static void
test_trial_that_goes_on_frees (void)
{
  static const uint64_t part[] = { 1 };
  vm_t v = setup ();
  for (unsigned i = 0; i < CRS_BLOCK_ENDS; i++)
    end_under (&v, i, part, 1);
  v.env->now += 2 * CLK_SECOND;
  CU_ASSERT_EQUAL (ask (&v, part, 1), CRS_SEND);
  CU_ASSERT (crs_is_permitted (v.c, MOD_ONLINE, v.handle + 1));
  uint64_t trial = run_begin (&v, 9, part, 1);
  CU_ASSERT (crs_is_permitted (v.c, MOD_ONLINE, trial));
  answer_for (&v, trial, CRS_BEGUN_MS);
  CU_ASSERT (!crs_is_permitted (v.c, MOD_ONLINE, trial));
  CU_ASSERT_EQUAL (ask (&v, part, 1), CRS_SEND);
  talloc_free (v.env);
}

/* Guards against trials being used up by requests that have not run, as
 * another upstream had the address. */
static void
test_trial_at_another_upstream_is_given_back (void)
{
  static const uint64_t part[] = { 1 };
  vm_t v = setup ();
  for (unsigned i = 0; i < CRS_BLOCK_ENDS; i++)
    end_under (&v, i, part, 1);
  for (unsigned i = 0; i < 2 * CRS_TRIALS_MAX; i++)
    {
      v.env->now += 2 * CLK_SECOND;
      CU_ASSERT_EQUAL (ask (&v, part, 1), CRS_SEND);
      uint64_t trial = run_begin (&v, 9, part, 1);
      crs_run_end (v.c, v.env, trial, CRS_END_MISDIRECTED);
    }
  CU_ASSERT_EQUAL (crs_count (v.c, CRS_BLOCK_ENDS), 1);
  talloc_free (v.env);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "what_counts_as_an_end", test_what_counts_as_an_end },
    { "list_shows_the_end", test_list_shows_the_end },
    { "answer_that_ends_with_its_connection",
      test_answer_that_ends_with_its_connection },
    { "end_is_booked_once", test_end_is_booked_once },
    { "permits_and_trials", test_permits_and_trials },
    { "permit_is_good_for_one_send", test_permit_is_good_for_one_send },
    { "trial_frees_the_part", test_trial_frees_the_part },
    { "doubtful_end_lapses", test_doubtful_end_lapses },
    { "many_parts_are_bounded", test_many_parts_are_bounded },
    { "requests_are_told_apart", test_requests_are_told_apart },
    { "malformed_messages", test_malformed_messages },
    { "long_answers_are_not_blamed", test_long_answers_are_not_blamed },
    { "answer_that_goes_on_clears", test_answer_that_goes_on_clears },
    { "trial_that_goes_on_frees", test_trial_that_goes_on_frees },
    { "trial_at_another_upstream_is_given_back",
      test_trial_at_another_upstream_is_given_back },
  };
  return tst_run ("crs", cases, sizeof cases / sizeof cases[0]);
}

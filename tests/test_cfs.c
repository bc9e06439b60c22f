/** @file
 * Tests of the configuration store: changes, concurrent operators, delayed and
 * lost replies, restarts, outages, partitions, and the fleet size expected in
 * two years.
 */
#include "cfs_fleet.h"
#include "tst.h"

#include "core/mpk.h"

#define SEEDS 5
#define BASE_DOC                                                              \
  "[data-centre dc-0]\nowner = platform\n"                                    \
  "[data-centre dc-1]\nowner = platform\n"

static char *
customer (void *ctx, unsigned i, unsigned rate)
{
  return talloc_asprintf (
      ctx, "[customer c%u]\nowner = t%u\nrate = %u/s\nburst = 10\n", i, i,
      rate);
}

/* Start CHANGE at VM I and run until its result, which F owns. */
static cfs_result_t
apply (fleet_t *f, unsigned i, const cfs_change_t *change)
{
  cfs_result_t r = { 0 };
  uint64_t id = fleet_apply (f, i, change);
  CU_ASSERT_NOT_EQUAL (id, 0);
  for (int step = 0; step < 2000; step++)
    {
      if (cfs_result_pop (f->vm[i].cfs, f, &r) && r.id == id)
        return r;
      fleet_run (f, 10);
    }
  CU_FAIL ("the change has no result after 20 s");
  return r;
}

static cfs_result_t
apply_text (fleet_t *f, unsigned i, const char *text, uint64_t base)
{
  return apply (f, i, &(cfs_change_t){ .text = buf_str (text), .base = base });
}

static double
rate_on (fleet_t *f, unsigned vm, const char *name)
{
  const cfg_doc_t *doc = cfs_doc (f->vm[vm].cfs);
  const cfg_customer_t *c = doc ? cfg_customer_find (doc, name) : NULL;
  return c == NULL ? 0 : c->rate;
}

static void
test_in_force_everywhere_within_2_s (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      fleet_t *f = fleet_setup (
          NULL, &(fleet_desc_t){ .vms = 8, .centres = 4, .seed = seed });
      fleet_run (f, 3 * CLK_SECOND);
      cfs_result_t r = apply_text (f, seed % 8, BASE_DOC, 0);
      CU_ASSERT_EQUAL (r.code, ST_OK);
      CU_ASSERT_EQUAL (r.version, 1);
      CU_ASSERT (
          fleet_run_until (f, 2 * CLK_SECOND, fleet_has_version, &r.version));
      r = apply_text (f, 3, customer (f, 1, 40), 1);
      CU_ASSERT_EQUAL (r.version, 2);
      CU_ASSERT (
          fleet_run_until (f, 2 * CLK_SECOND, fleet_has_version, &r.version));
      for (unsigned i = 0; i < 8; i++)
        CU_ASSERT_EQUAL (rate_on (f, i, "c1"), 40);
      fleet_run (f, 1 * CLK_SECOND);
      for (unsigned i = 0; i < 8; i++)
        CU_ASSERT_EQUAL (cfs_version_of (f->vm[3].cfs, f->vm[i].name), 2);
      fleet_shutdown (f);
    }
}

static void
test_bad_change_changes_nothing (void)
{
  fleet_t *f = fleet_setup (NULL, &(fleet_desc_t){ .vms = 3, .seed = 1 });
  CU_ASSERT_EQUAL (apply_text (f, 0, BASE_DOC, 0).code, ST_OK);
  cfs_result_t r = apply_text (f, 1,
                               "[customer a]\nowner = t\nrate = 4/s\n"
                               "burst = 1\n"
                               "[customer b]\nowner = t\nrate = 4\n"
                               "burst = 0\n"
                               "[key k]\nowner = t\ncustomer = z\n",
                               1);
  CU_ASSERT_EQUAL (r.code, ST_INVALID);
  CU_ASSERT_PTR_NOT_NULL (strstr (r.text, ":5: [customer b] rate: found"));
  CU_ASSERT_PTR_NOT_NULL (strstr (r.text, "[customer b] burst: found"));
  CU_ASSERT_PTR_NOT_NULL (strstr (r.text, "[key k] customer: found \"z\""));
  fleet_run (f, 2 * CLK_SECOND);
  for (unsigned i = 0; i < 3; i++)
    {
      CU_ASSERT_EQUAL (cfs_version (f->vm[i].cfs), 1);
      CU_ASSERT_EQUAL (rate_on (f, i, "a"), 0);
    }
  /* A section that another section refers to cannot be removed. */
  r = apply_text (f, 1, customer (f, 1, 4), 1);
  r = apply_text (f, 1,
                  "[key k]\nowner = t\ncustomer = c1\nsha256 = "
                  "000000000000000000000000000000000000000000000000000000"
                  "0000000001\n",
                  r.version);
  CU_ASSERT_EQUAL (r.code, ST_OK);
  r = apply_text (f, 1, "[customer c1]\n", r.version);
  CU_ASSERT_EQUAL (r.code, ST_INVALID);
  fleet_shutdown (f);
}

static void
test_same_section_from_old_base_is_refused_with_diff (void)
{
  fleet_t *f = fleet_setup (NULL, &(fleet_desc_t){ .vms = 4, .seed = 2 });
  CU_ASSERT_EQUAL (apply_text (f, 0, customer (f, 1, 10), 0).version, 1);
  CU_ASSERT_EQUAL (apply_text (f, 1, customer (f, 1, 20), 1).version, 2);
  cfs_result_t r = apply_text (f, 2, customer (f, 1, 30), 1);
  CU_ASSERT_EQUAL (r.code, ST_CONFLICT);
  CU_ASSERT_PTR_NOT_NULL (strstr (r.text, "version 2, base is 1"));
  CU_ASSERT_PTR_NOT_NULL (strstr (r.text, "-rate = 20/s\n+rate = 30/s\n"));
  /* Another section may be changed from the same old base. */
  CU_ASSERT_EQUAL (apply_text (f, 2, customer (f, 2, 30), 1).version, 3);
  /* A change that is in force already succeeds from any base. */
  r = apply_text (f, 3, customer (f, 1, 20), 0);
  CU_ASSERT (r.code == ST_OK && r.unchanged);
  /* A change from an old base does not restore a removed section. */
  CU_ASSERT_EQUAL (apply_text (f, 0, "[customer c2]\n", 3).version, 4);
  CU_ASSERT_EQUAL (apply_text (f, 1, customer (f, 2, 30), 3).code,
                   ST_CONFLICT);
  CU_ASSERT_EQUAL (apply_text (f, 1, customer (f, 2, 30), 4).version, 5);
  /* A change of the whole document removes the sections that it lacks. */
  r = apply (f, 2,
             &(cfs_change_t){ .text = buf_str (customer (f, 1, 20)),
                              .whole = true,
                              .base = 4 });
  CU_ASSERT_EQUAL (r.code, ST_CONFLICT);
  r = apply (f, 2,
             &(cfs_change_t){ .text = buf_str (customer (f, 1, 20)),
                              .whole = true,
                              .base = 5 });
  CU_ASSERT_EQUAL (r.version, 6);
  fleet_run (f, 2 * CLK_SECOND);
  CU_ASSERT_EQUAL (rate_on (f, 3, "c2"), 0);
  CU_ASSERT_EQUAL (rate_on (f, 3, "c1"), 20);
  /* A change for a team must not touch sections of another team. */
  r = apply (f, 2,
             &(cfs_change_t){ .text = buf_str (customer (f, 1, 50)),
                              .team = "t2",
                              .base = 6 });
  CU_ASSERT_EQUAL (r.code, ST_INVALID);
  fleet_shutdown (f);
}

static void
test_racing_operators_all_succeed (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      fleet_t *f
          = fleet_setup (NULL, &(fleet_desc_t){ .vms = 8, .seed = seed });
      fleet_run (f, 2 * CLK_SECOND);
      for (unsigned i = 0; i < 32; i++)
        CU_ASSERT_NOT_EQUAL (
            fleet_apply (
                f, i % 8,
                &(cfs_change_t){ .text = buf_str (customer (f, i, 100 + i)) }),
            0);
      fleet_run (f, 8 * CLK_SECOND);
      unsigned ok = 0;
      bool versions[33] = { false };
      cfs_result_t r;
      for (unsigned i = 0; i < 8; i++)
        {
          while (cfs_result_pop (f->vm[i].cfs, f, &r))
            {
              ok += r.code == ST_OK;
              CU_ASSERT (r.version >= 1 && r.version <= 32
                         && !versions[r.version]);
              if (r.version <= 32)
                versions[r.version] = true;
            }
        }
      CU_ASSERT_EQUAL (ok, 32);
      for (unsigned i = 0; i < 32; i++)
        CU_ASSERT_EQUAL (
            rate_on (f, (i + 1) % 8, talloc_asprintf (f, "c%u", i)), 100 + i);
      fleet_shutdown (f);
    }
}

static void
test_lost_response_is_recognised (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      fleet_t *f
          = fleet_setup (NULL, &(fleet_desc_t){ .vms = 3, .seed = seed });
      fleet_run (f, 2 * CLK_SECOND);
      CU_ASSERT_EQUAL (apply_text (f, 0, BASE_DOC, 0).version, 1);
      f->lose_response = 1;
      cfs_change_t change = { .text = buf_str (customer (f, 1, 7)),
                              .base = 1,
                              .token = "operator-1" };
      cfs_result_t r = apply (f, 1, &change);
      CU_ASSERT_EQUAL (r.code, ST_OK);
      CU_ASSERT_EQUAL (r.version, 2);
      /* The response to the operator is lost, another operator changes the
         section, and the first one resends the command to another VM.  The
         command must not take effect a second time. */
      f->lose_response = 0;
      CU_ASSERT_EQUAL (apply_text (f, 0, customer (f, 1, 8), 2).version, 3);
      fleet_run (f, 2 * CLK_SECOND);
      r = apply (f, 2, &change);
      CU_ASSERT_EQUAL (r.code, ST_OK);
      CU_ASSERT_EQUAL (r.version, 2);
      CU_ASSERT_EQUAL (rate_on (f, 2, "c1"), 8);
      fleet_shutdown (f);
    }
}

/* While the platform is unavailable, a change fails and never takes effect
   later, and a restarted VM gets the document from its peers.  After the
   outage changes succeed again. */
static void
test_outage (void)
{
  fleet_t *f = fleet_setup (NULL, &(fleet_desc_t){ .vms = 4, .seed = 5 });
  CU_ASSERT_EQUAL (apply_text (f, 0, customer (f, 1, 7), 0).version, 1);
  fleet_run (f, 2 * CLK_SECOND);
  fleet_platform_stop (f);
  fleet_run (f, 2 * CLK_SECOND);
  cfs_result_t r = apply_text (f, 1, customer (f, 2, 7), 1);
  CU_ASSERT_EQUAL (r.code, ST_UNAVAILABLE);
  /* A restarted VM gets the document from its peers. */
  fleet_start (f, 2);
  CU_ASSERT_PTR_NULL (cfs_doc (f->vm[2].cfs));
  fleet_run (f, 2 * CLK_SECOND);
  CU_ASSERT_EQUAL (rate_on (f, 2, "c1"), 7);
  f->platform_down = false;
  fleet_run (f, 10 * CLK_SECOND);
  CU_ASSERT_EQUAL (rate_on (f, 2, "c2"), 0);
  CU_ASSERT_EQUAL (apply_text (f, 2, customer (f, 2, 9), 1).version, 2);
  fleet_run (f, 2 * CLK_SECOND);
  CU_ASSERT_EQUAL (rate_on (f, 0, "c2"), 9);
  fleet_shutdown (f);
}

/* A restarted VM requests the newest version that its peers have, not the one
   that is offered first. */
static void
test_restart_takes_newest_peer (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      fleet_t *f
          = fleet_setup (NULL, &(fleet_desc_t){ .vms = 5, .seed = seed });
      CU_ASSERT_EQUAL (apply_text (f, 0, customer (f, 1, 7), 0).version, 1);
      fleet_run (f, 2 * CLK_SECOND);
      for (unsigned i = 1; i < 4; i++)
        {
          f->vm[i].partition = 1; /* these three keep version 1 */
          f->vm[i].platform_cut = true;
        }
      f->watch_lag = 60 * CLK_SECOND;
      CU_ASSERT_EQUAL (apply_text (f, 0, customer (f, 1, 8), 1).version, 2);
      fleet_run (f, 2 * CLK_SECOND);
      fleet_platform_stop (f);
      for (unsigned i = 1; i < 4; i++)
        f->vm[i].partition = 0;
      fleet_start (f, 4);
      while (cfs_doc (f->vm[4].cfs) == NULL)
        fleet_run (f, 10);
      CU_ASSERT_EQUAL (cfs_version (f->vm[4].cfs), 2);
      fleet_shutdown (f);
    }
}

static void
send_raw (fleet_t *f, unsigned to, uint16_t kind, buf_t body)
{
  fleet_vm_t *v = &f->vm[to];
  cfs_message_received (v->cfs, v->env, f->vm[0].name,
                        &(msg_t){ .kind = kind, .body = body });
  fleet_effects_run (f, to);
}

/* A peer offers version 9 and answers the request with version 1, which is
   older than the version in force.  It then sends versions 5 and 9
   unrequested.  The VM keeps its document. */
static void
test_old_peer_is_not_followed (void)
{
  fleet_t *f = fleet_setup (NULL, &(fleet_desc_t){ .vms = 2, .seed = 1 });
  CU_ASSERT_EQUAL (apply_text (f, 0, customer (f, 1, 7), 0).version, 1);
  CU_ASSERT_EQUAL (apply_text (f, 0, customer (f, 1, 8), 1).version, 2);
  fleet_run (f, 2 * CLK_SECOND);
  mpk_writer_t w;
  mpk_writer_init (&w, f);
  mpk_put_uint (&w, 9);
  mpk_put_uint (&w, 1);
  send_raw (f, 1, MSG_CONFIG_FIRST, mpk_done (&w));
  for (uint64_t version = 1; version <= 9; version += 4)
    {
      mpk_writer_init (&w, f);
      mpk_put_uint (&w, 0);
      mpk_put_uint (&w, version);
      mpk_put_uint (&w, 12345);
      mpk_put_str (&w, buf_str (f->vm[0].name));
      mpk_put_uint (&w, 0);
      mpk_put_uint (&w, 1);
      mpk_put_uint (&w, 0);
      send_raw (f, 1, MSG_CONFIG_FIRST + 2, mpk_done (&w));
      CU_ASSERT_EQUAL (cfs_version (f->vm[1].cfs), 2);
      CU_ASSERT_EQUAL (rate_on (f, 1, "c1"), 8);
    }
  fleet_shutdown (f);
}

static void
test_garbage_messages_are_dropped (void)
{
  fleet_t *f = fleet_setup (NULL, &(fleet_desc_t){ .vms = 2, .seed = 1 });
  CU_ASSERT_EQUAL (apply_text (f, 0, customer (f, 1, 7), 0).version, 1);
  fleet_run (f, 2 * CLK_SECOND);
  char bytes[64];
  for (unsigned n = 0; n < 4000; n++)
    {
      for (size_t i = 0; i < sizeof bytes; i++)
        bytes[i] = (char)g_rand_int_range (f->rand, 0, n % 2 ? 256 : 8);
      send_raw (f, 1, (uint16_t)(MSG_CONFIG_FIRST + n % 9),
                (buf_t){ .p = bytes, .n = n % sizeof bytes });
    }
  CU_ASSERT (cnt_value (f->vm[1].env->cnt, "rts_config_bad_messages_total", "")
             > 0);
  CU_ASSERT_EQUAL (rate_on (f, 1, "c1"), 7);
  fleet_shutdown (f);
}

/* The platform has lost the objects that the VMs have in force, as after a
   restore of an old backup.  The next change writes the complete document
   again. */
static void
test_older_platform_does_not_take_the_fleet_back (void)
{
  fleet_t *f = fleet_setup (NULL, &(fleet_desc_t){ .vms = 3, .seed = 4 });
  CU_ASSERT_EQUAL (apply_text (f, 0, customer (f, 1, 1), 0).version, 1);
  CU_ASSERT_EQUAL (apply_text (f, 0, customer (f, 2, 2), 1).version, 2);
  fleet_run (f, 2 * CLK_SECOND);
  g_hash_table_remove_all (f->objects);
  CU_ASSERT_EQUAL (apply_text (f, 1, customer (f, 3, 3), 2).version, 3);
  fleet_run (f, 2 * CLK_SECOND);
  for (unsigned i = 0; i < 3; i++)
    CU_ASSERT (rate_on (f, i, "c1") == 1 && rate_on (f, i, "c3") == 3);
  for (unsigned i = 0; i < 3; i++)
    fleet_stop (f, i);
  fleet_start (f, 0);
  fleet_run (f, 5 * CLK_SECOND);
  CU_ASSERT (rate_on (f, 0, "c1") == 1 && rate_on (f, 0, "c3") == 3);
  fleet_shutdown (f);
}

/* Randomised runs.  Each change sets a customer's rate to a number that no
   other change uses, so that the rate shows which change took effect. */

#define RUN_VMS 6
#define RUN_CHANGES 60
#define RUN_SECTIONS 4

typedef struct
{
  st_code_t code;
  bool done;
  bool seen; /**< its rate was in force on a VM */
  uint64_t id;
  unsigned vm;
} run_change_t;

typedef struct
{
  fleet_t *f;
  run_change_t change[RUN_CHANGES];
} run_t;

static void
run_observe (run_t *run)
{
  for (unsigned i = 0; i < RUN_VMS; i++)
    {
      if (run->f->vm[i].ctx == NULL)
        continue;
      const cfg_doc_t *doc = cfs_doc (run->f->vm[i].cfs);
      for (size_t k = 0; doc != NULL && k < doc->customer_count; k++)
        {
          unsigned n = (unsigned)doc->customers[k].rate;
          if (n >= 1000 && n < 1000 + RUN_CHANGES)
            run->change[n - 1000].seen = true;
        }
      cfs_result_t r;
      while (cfs_result_pop (run->f->vm[i].cfs, run->f, &r))
        {
          for (unsigned k = 0; k < RUN_CHANGES; k++)
            {
              run_change_t *c = &run->change[k];
              if (c->id != r.id || c->vm != i)
                continue;
              c->done = true;
              c->code = r.code;
            }
        }
    }
}

static void
run_fault (fleet_t *f)
{
  unsigned i = (unsigned)g_rand_int_range (f->rand, 0, RUN_VMS);
  switch (g_rand_int_range (f->rand, 0, 8))
    {
    case 0:
      fleet_platform_stop (f);
      break;
    case 1:
    case 2:
      f->platform_down = false;
      break;
    case 3:
      f->vm[i].partition = 1;
      break;
    case 4:
      f->vm[i].platform_cut = !f->vm[i].platform_cut;
      break;
    case 5:
      fleet_start (f, i);
      break;
    default:
      for (unsigned k = 0; k < RUN_VMS; k++)
        f->vm[k].partition = 0;
      break;
    }
}

static void
run_change (run_t *run, unsigned n)
{
  fleet_t *f = run->f;
  unsigned vm = (unsigned)g_rand_int_range (f->rand, 0, RUN_VMS);
  unsigned section = (unsigned)g_rand_int_range (f->rand, 0, RUN_SECTIONS);
  uint64_t base = cfs_version (f->vm[vm].cfs);
  if (base > 3 && fleet_chance (f, 0.2))
    base -= 3;
  run->change[n].vm = vm;
  run->change[n].id = fleet_apply (
      f, vm,
      &(cfs_change_t){ .text = buf_str (customer (f, section, 1000 + n)),
                       .base = base });
}

static void
run_heal (run_t *run)
{
  fleet_t *f = run->f;
  f->platform_down = false;
  f->lose_response = 0;
  f->lose_message = 0;
  f->stale_read = 0;
  for (unsigned k = 0; k < RUN_VMS; k++)
    {
      f->vm[k].partition = 0;
      f->vm[k].platform_cut = false;
    }
  for (int step = 0; step < 2000; step++)
    {
      fleet_run (f, 10);
      run_observe (run);
    }
}

static void
run_check (run_t *run, uint32_t seed)
{
  fleet_t *f = run->f;
  for (unsigned n = 0; n < RUN_CHANGES; n++)
    {
      run_change_t *c = &run->change[n];
      bool may = !c->done || c->code == ST_OK || c->code == ST_UNKNOWN;
      if (c->seen && !may)
        g_print ("seed %u: change %u was refused (%s) but took effect\n", seed,
                 n, st_code_name (c->code));
      CU_ASSERT (!c->seen || may);
    }
  for (unsigned i = 1; i < RUN_VMS; i++)
    {
      CU_ASSERT_EQUAL (cfs_version (f->vm[i].cfs), cfs_version (f->vm[0].cfs));
      CU_ASSERT (
          buf_equal (cfs_text (f, f->vm[i].cfs), cfs_text (f, f->vm[0].cfs)));
      CU_ASSERT_EQUAL (
          cnt_value (f->vm[i].env->cnt, "rts_config_diverged_total", ""), 0);
    }
}

static void
test_randomised (void)
{
  unsigned ok = 0;
  const char *more = g_getenv ("RTS_SEEDS");
  uint32_t seeds = more ? (uint32_t)g_ascii_strtoull (more, NULL, 10) : SEEDS;
  for (uint32_t seed = 1; seed <= seeds; seed++)
    {
      run_t run = { 0 };
      fleet_t *f = run.f = fleet_setup (
          NULL, &(fleet_desc_t){ .vms = RUN_VMS, .seed = seed });
      f->lose_response = 0.1;
      f->lose_message = 0.05;
      f->stale_read = 0.2;
      f->watch_lag = 3 * CLK_SECOND;
      for (unsigned n = 0; n < RUN_CHANGES; n++)
        {
          run_change (&run, n);
          if (fleet_chance (f, 0.3))
            run_fault (f);
          unsigned span = (unsigned)g_rand_int_range (f->rand, 1, 60);
          for (unsigned step = 0; step < span; step++)
            {
              fleet_run (f, 10);
              run_observe (&run);
            }
        }
      run_heal (&run);
      run_check (&run, seed);
      for (unsigned n = 0; n < RUN_CHANGES; n++)
        ok += run.change[n].done && run.change[n].code == ST_OK;
      fleet_shutdown (f);
    }
  CU_ASSERT (ok > seeds * RUN_CHANGES / 10);
}

static void
test_420_vms_within_12_s (void)
{
  fleet_t *f = fleet_setup (
      NULL, &(fleet_desc_t){ .vms = 420, .centres = 4, .seed = 1 });
  fleet_run (f, 1 * CLK_SECOND);
  cfs_result_t r = apply_text (f, 17, BASE_DOC, 0);
  CU_ASSERT (
      fleet_run_until (f, 12 * CLK_SECOND, fleet_has_version, &r.version));
  f->lose_message = 0.1;
  r = apply_text (f, 99, customer (f, 1, 7), 1);
  CU_ASSERT_EQUAL (r.code, ST_OK);
  CU_ASSERT (
      fleet_run_until (f, 12 * CLK_SECOND, fleet_has_version, &r.version));
  fleet_run (f, 3 * CLK_SECOND);
  unsigned known = 0;
  for (unsigned i = 0; i < 420; i++)
    known += cfs_version_of (f->vm[99].cfs, f->vm[i].name) == r.version;
  CU_ASSERT (known > 400);
  for (unsigned i = 0; i < 420; i++)
    CU_ASSERT (spr_neighbour_count (cfs_peers (f->vm[i].cfs)) <= 9);
  fleet_shutdown (f);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "in_force_everywhere_within_2_s", test_in_force_everywhere_within_2_s },
    { "bad_change_changes_nothing", test_bad_change_changes_nothing },
    { "same_section_from_old_base_is_refused_with_diff",
      test_same_section_from_old_base_is_refused_with_diff },
    { "racing_operators_all_succeed", test_racing_operators_all_succeed },
    { "lost_response_is_recognised", test_lost_response_is_recognised },
    { "outage", test_outage },
    { "restart_takes_newest_peer", test_restart_takes_newest_peer },
    { "old_peer_is_not_followed", test_old_peer_is_not_followed },
    { "garbage_messages_are_dropped", test_garbage_messages_are_dropped },
    { "older_platform_does_not_take_the_fleet_back",
      test_older_platform_does_not_take_the_fleet_back },
    { "randomised", test_randomised },
    { "420_vms_within_12_s", test_420_vms_within_12_s },
  };
  return tst_run ("cfs", cases, sizeof cases / sizeof cases[0]);
}

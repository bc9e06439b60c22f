/** @file
 * Batch credits: several VMs that exchange messages in virtual time.
 */
#include "core/crd.h"
#include "core/mpk.h"
#include "tst.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

#define VMS 3
#define SLOTS 10

typedef struct
{
  env_t *env;
  crd_t *crd;
  bool cut;           /**< no message leaves or reaches the VM */
  uint64_t preempted; /**< items preempted so far */
} vm_t;

typedef struct
{
  vm_t vm[VMS];
  cfg_doc_t *doc;
  clk_ms_t now;
  uint64_t items; /**< number of the last item */
} bed_t;

static void
members (bed_t *bed, uint32_t viewer, uint32_t count)
{
  ev_vm_t list[VMS];
  static const char *const names[] = { "vm-0", "vm-1", "vm-2" };
  for (uint32_t i = 0; i < count; i++)
    list[i] = (ev_vm_t){ .vm = names[i], .data_centre = "dc" };
  crd_members_changed (bed->vm[viewer].crd, bed->vm[viewer].env, list, count);
}

static bed_t *
setup (void)
{
  bed_t *bed = talloc_zero (NULL, bed_t);
  static const char text[] = "[data-centre dc]\nowner = t\n"
                             "[deployment llm]\nowner = t\nkind = engine\n"
                             "slots = 10\n"
                             "[upstream e-0]\nowner = t\ndeployment = llm\n"
                             "data_centre = dc\naddress = 127.0.0.1:9000\n";
  st_t st = { 0 };
  CU_ASSERT_EQUAL (cfg_doc_parse (bed, buf_str (text), &bed->doc, &st), ST_OK);
  bed->now = CLK_HOUR;
  for (uint32_t i = 0; i < VMS; i++)
    {
      char name[8];
      g_snprintf (name, sizeof name, "vm-%u", i);
      vm_t *vm = &bed->vm[i];
      vm->env = env_setup (
          bed, &(env_desc_t){ .vm = name, .data_centre = "dc", .seed = i });
      vm->env->now = bed->now;
      vm->crd = crd_setup (bed, &(crd_desc_t){ 0 });
      members (bed, i, VMS);
      crd_config_changed (vm->crd, vm->env, bed->doc);
      crd_start (vm->crd, vm->env);
    }
  return bed;
}

/* Delivers messages until there are none, then releases preempted items. */
static void
deliver (bed_t *bed)
{
  bool more = true;
  while (more)
    {
      more = false;
      for (uint32_t i = 0; i < VMS; i++)
        {
          fx_list_t *fx = bed->vm[i].env->fx;
          for (size_t k = 0; k < fx->count; k++)
            {
              uint32_t to = (uint32_t)(fx->v[k].peer.vm[3] - '0');
              if (fx->v[k].kind != FX_PEER_SEND || bed->vm[i].cut
                  || bed->vm[to].cut)
                continue;
              more = true;
              crd_message_received (bed->vm[to].crd, bed->vm[to].env,
                                    bed->vm[i].env->vm, &fx->v[k].peer.msg);
            }
          fx_clear (fx);
        }
    }
  for (uint32_t i = 0; i < VMS; i++)
    {
      uint64_t item;
      while (crd_preempt_pop (bed->vm[i].crd, &item))
        {
          crd_credit_release (bed->vm[i].crd, bed->vm[i].env, item, true);
          bed->vm[i].preempted++;
        }
    }
}

static void
run (bed_t *bed, clk_ms_t duration)
{
  for (clk_ms_t end = bed->now + duration; bed->now < end;)
    {
      bed->now += 10;
      for (uint32_t i = 0; i < VMS; i++)
        {
          env_t *env = bed->vm[i].env;
          env->now = bed->now;
          tmr_due_t due;
          while (tmr_pop (env->tmr, bed->now, &due))
            crd_timer_fired (bed->vm[i].crd, env, due.tag);
        }
      deliver (bed);
    }
}

/* Takes all available credits; returns their number. */
static uint32_t
take_all (bed_t *bed, uint32_t vm, bool preemptible)
{
  uint32_t n = 0;
  crd_credit_t credit;
  while (crd_credit_take (bed->vm[vm].crd, bed->vm[vm].env,
                          &(crd_request_t){ .deployment = "llm",
                                            .item = ++bed->items,
                                            .preemptible = preemptible,
                                            .waiting = 100 },
                          &credit))
    n++;
  deliver (bed);
  return n;
}

static uint32_t
used (const bed_t *bed)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < VMS; i++)
    n += crd_stat (bed->vm[i].crd, bed->now, "e-0").used;
  return n;
}

static uint32_t
owner (const bed_t *bed)
{
  for (uint32_t i = 0; i < VMS; i++)
    {
      if (crd_stat (bed->vm[i].crd, bed->now, "e-0").owner)
        return i;
    }
  return VMS;
}

static void
fill (bed_t *bed)
{
  for (int round = 0; round < 4; round++)
    {
      for (uint32_t i = 0; i < VMS; i++)
        take_all (bed, i, true);
      run (bed, 300);
    }
}

static void
load (bed_t *bed, uint32_t vm, uint32_t in_flight)
{
  crd_load_changed (
      bed->vm[vm].crd, bed->vm[vm].env,
      &(crd_load_t){ .upstream = "e-0", .in_flight = in_flight });
  deliver (bed);
}

static void
test_idle_slots_are_used_less_the_reserve (void)
{
  bed_t *bed = setup ();
  fill (bed);
  CU_ASSERT_EQUAL (used (bed), SLOTS - 1);
  for (uint32_t i = 0; i < VMS; i++)
    CU_ASSERT_EQUAL (crd_stat (bed->vm[i].crd, bed->now, "e-0").used, 3);
  talloc_free (bed);
}

static void
test_burst_preempts_at_once (void)
{
  bed_t *bed = setup ();
  fill (bed);
  uint32_t busy = (owner (bed) + 1) % VMS;
  load (bed, busy, 6);
  CU_ASSERT (used (bed) + 6 + 1 <= SLOTS);
  CU_ASSERT (crd_stat (bed->vm[owner (bed)].crd, bed->now, "e-0").reserve
             >= 6);
  load (bed, busy, 0);
  run (bed, CLK_MINUTE); /* the burst is no longer remembered */
  fill (bed);
  CU_ASSERT_EQUAL (used (bed), SLOTS - 1);
  talloc_free (bed);
}

static void
test_no_owner_no_credits (void)
{
  bed_t *bed = setup ();
  fill (bed);
  uint32_t lost = owner (bed);
  bed->vm[lost].cut = true;
  run (bed, CRD_CREDIT_TTL_MS + 50);
  for (uint32_t i = 0; i < VMS; i++)
    {
      if (i == lost)
        continue;
      CU_ASSERT_EQUAL (crd_stat (bed->vm[i].crd, bed->now, "e-0").used, 0);
      CU_ASSERT_EQUAL (take_all (bed, i, true), 0);
    }
  talloc_free (bed);
}

static void
test_non_preemptible_item_runs_on (void)
{
  bed_t *bed = setup ();
  uint32_t vm = 0;
  (void)take_all (bed, vm, false);
  run (bed, 300);
  uint32_t n = crd_stat (bed->vm[vm].crd, bed->now, "e-0").used
               + take_all (bed, vm, false);
  CU_ASSERT (n > 0);
  for (uint32_t i = 0; i < VMS; i++)
    bed->vm[i].cut = true;
  load (bed, vm, SLOTS);
  run (bed, 3 * CLK_SECOND);
  CU_ASSERT_EQUAL (bed->vm[vm].preempted, 0);
  CU_ASSERT_EQUAL (crd_stat (bed->vm[vm].crd, bed->now, "e-0").used, n);
  talloc_free (bed);
}

/* A grant that answers an old report has expired when it arrives. */
static void
test_late_grant_is_not_used (void)
{
  bed_t *bed = setup ();
  uint32_t own = 0;
  fill (bed);
  own = owner (bed);
  uint32_t other = (own + 1) % VMS;
  vm_t *vm = &bed->vm[other];
  void *ctx = talloc_new (NULL);
  msg_t old_grant = { 0 };
  run (bed, 10);
  bed->vm[other].cut = true;
  run (bed, 2 * CLK_SECOND);
  CU_ASSERT_EQUAL (crd_stat (vm->crd, bed->now, "e-0").granted, 0);
  mpk_writer_t w;
  mpk_writer_init (&w, ctx);
  mpk_put_int (&w, bed->now - CRD_CREDIT_TTL_MS);
  mpk_put_str (&w, buf_str ("e-0"));
  mpk_put_uint (&w, 3);
  old_grant.body = mpk_done (&w);
  old_grant.kind = MSG_BATCH_FIRST + 9; /* CRD_MSG_GRANT */
  crd_message_received (vm->crd, vm->env, bed->vm[own].env->vm, &old_grant);
  CU_ASSERT_EQUAL (crd_stat (vm->crd, bed->now, "e-0").granted, 0);
  CU_ASSERT_EQUAL (take_all (bed, other, true), 0);
  talloc_free (ctx);
  talloc_free (bed);
}

/* Let VM receive a grant of CREDITS from the owner OWN, in answer to the
 * report of SENT_AT. */
static void
grant (bed_t *bed, uint32_t own, uint32_t vm, clk_ms_t sent_at,
       uint32_t credits)
{
  void *ctx = talloc_new (NULL);
  mpk_writer_t w;
  mpk_writer_init (&w, ctx);
  mpk_put_int (&w, sent_at);
  mpk_put_str (&w, buf_str ("e-0"));
  mpk_put_uint (&w, credits);
  crd_message_received (
      bed->vm[vm].crd, bed->vm[vm].env, bed->vm[own].env->vm,
      &(msg_t){ .kind = MSG_BATCH_FIRST + 9, /* CRD_MSG_GRANT */
                .body = mpk_done (&w) });
  talloc_free (ctx);
}

/* Guards against a grant that another one has overtaken: it gives back credits
 * that the owner has granted to others since. */
static void
test_overtaken_grant_is_not_used (void)
{
  bed_t *bed = setup ();
  fill (bed);
  uint32_t own = owner (bed);
  uint32_t vm = (own + 1) % VMS;
  bed->vm[vm].cut = true;
  run (bed, 2 * CRD_CREDIT_TTL_MS);
  grant (bed, own, vm, bed->now - 100, 5);
  CU_ASSERT_EQUAL (crd_stat (bed->vm[vm].crd, bed->now, "e-0").granted, 5);
  grant (bed, own, vm, bed->now - 10, 2);
  grant (bed, own, vm, bed->now - 100, 5);
  CU_ASSERT_EQUAL (crd_stat (bed->vm[vm].crd, bed->now, "e-0").granted, 2);
  grant (bed, own, vm, bed->now - 10, 3);
  CU_ASSERT_EQUAL (crd_stat (bed->vm[vm].crd, bed->now, "e-0").granted, 3);
  talloc_free (bed);
}

/* Load that the upstream reports beyond the known load counts as foreign. */
static void
test_foreign_load_reduces_credits (void)
{
  bed_t *bed = setup ();
  fill (bed);
  uint32_t own = owner (bed);
  crd_load_changed (bed->vm[own].crd, bed->vm[own].env,
                    &(crd_load_t){ .upstream = "e-0",
                                   .running_known = true,
                                   .running = used (bed) + 4 });
  deliver (bed);
  CU_ASSERT (used (bed) <= SLOTS - 1 - 4);
  talloc_free (bed);
}

static void
test_bad_messages_are_counted (void)
{
  bed_t *bed = setup ();
  vm_t *vm = &bed->vm[0];
  /* CRD_MSG_REPORT and CRD_MSG_GRANT of crd_int.h. */
  static const uint16_t kinds[] = { MSG_BATCH_FIRST + 8, MSG_BATCH_FIRST + 9 };
  for (size_t i = 0; i < 2; i++)
    crd_message_received (
        vm->crd, vm->env, "vm-1",
        &(msg_t){ .kind = kinds[i], .body = { .p = "\xc1\x00x", .n = 3 } });
  CU_ASSERT_EQUAL (
      cnt_value (vm->env->cnt, "rts_credit_bad_messages_total", ""), 2);
  talloc_free (bed);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "idle_slots_are_used_less_the_reserve",
      test_idle_slots_are_used_less_the_reserve },
    { "burst_preempts_at_once", test_burst_preempts_at_once },
    { "no_owner_no_credits", test_no_owner_no_credits },
    { "non_preemptible_item_runs_on", test_non_preemptible_item_runs_on },
    { "late_grant_is_not_used", test_late_grant_is_not_used },
    { "overtaken_grant_is_not_used", test_overtaken_grant_is_not_used },
    { "foreign_load_reduces_credits", test_foreign_load_reduces_credits },
    { "bad_messages_are_counted", test_bad_messages_are_counted },
  };
  return tst_run ("crd", cases, sizeof cases / sizeof cases[0]);
}

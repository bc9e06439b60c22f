/* Tests of membership: the list of VMs, which VMs are up, links and relayed
 * messages. */
#include "../tools/limnet.h"
#include "core/mbr_int.h"
#include "tst.h"

#define LARGE 128

static net_desc_t
_desc (uint32_t vms, uint32_t data_centres)
{
  return (net_desc_t){ .vms = vms,
                       .data_centres = data_centres,
                       .delay_ms = 1,
                       .seed = 1,
                       .customers = 1,
                       .rate = 10,
                       .burst_seconds = 2,
                       .load = 0.5 };
}

/* A fleet large enough for a grid of links. */
static net_t *
_large (void)
{
  net_desc_t desc = _desc (LARGE, 4);
  net_t *n = net_setup (NULL, &desc);
  return n;
}

/* In a small fleet each VM links to all others, and all agree on owners. */
static void
test_full_mesh (void)
{
  net_desc_t desc = _desc (8, 4);
  net_t *n = net_setup (NULL, &desc);
  net_run (n, 5000);
  for (uint32_t i = 0; i < 8; i++)
    {
      const mbr_t *m = n->vms[i].mbr;
      CU_ASSERT_EQUAL (mbr_vm_count (m), 8);
      CU_ASSERT_EQUAL (mbr_link_count (m), 7);
      CU_ASSERT_STRING_EQUAL (
          mbr_owner (m, "dc1", MOD_LIMIT, "x"),
          mbr_owner (n->vms[0].mbr, "dc1", MOD_LIMIT, "x"));
    }
  CU_ASSERT_PTR_NULL (mbr_owner (n->vms[0].mbr, "nowhere", MOD_LIMIT, "x"));
  talloc_free (n);
}

static void
test_lost_vm (void)
{
  net_desc_t desc = _desc (8, 4);
  net_t *n = net_setup (NULL, &desc);
  net_run (n, 5000);
  net_kill_vm (n, 1, false);
  net_run (n, 9000);
  const mbr_vm_t *v = mbr_vm_find (n->vms[0].mbr, "v1");
  TST_NEED (v != NULL);
  CU_ASSERT_FALSE (v->up);
  CU_ASSERT (v->down_since < 9000);
  CU_ASSERT_STRING_EQUAL (mbr_owner (n->vms[0].mbr, "dc1", MOD_LIMIT, "x"),
                          "v5");
  n->vms[1].listed = false;
  net_run (n, 40000);
  CU_ASSERT_PTR_NULL (mbr_vm_find (n->vms[0].mbr, "v1"));
  net_start_vm (n, 1);
  net_run (n, 80000);
  v = mbr_vm_find (n->vms[0].mbr, "v1");
  TST_NEED (v != NULL);
  CU_ASSERT (v->up);
  talloc_free (n);
}

static void
test_frozen_vm_recovers (void)
{
  net_desc_t desc = _desc (6, 3);
  net_t *n = net_setup (NULL, &desc);
  net_run (n, 5000);
  net_freeze_vm (n, 2, 15000);
  net_run (n, 10000);
  CU_ASSERT_FALSE (mbr_vm_find (n->vms[0].mbr, "v2")->up);
  /* After its own pause the VM does not mark the others down. */
  net_run (n, 17000);
  CU_ASSERT_EQUAL (cnt_value (n->vms[2].env->cnt, "rts_member_changes_total",
                              "state=\"down\""),
                   0);
  CU_ASSERT (mbr_vm_find (n->vms[0].mbr, "v2")->up);
  CU_ASSERT (mbr_vm_find (n->vms[2].mbr, "v0")->up);
  talloc_free (n);
}

static void
test_list_kept_in_outage (void)
{
  net_desc_t desc = _desc (6, 3);
  net_t *n = net_setup (NULL, &desc);
  net_run (n, 5000);
  n->platform_down = true;
  net_run (n, 5 * CLK_MINUTE);
  for (uint32_t i = 0; i < 6; i++)
    CU_ASSERT_EQUAL (mbr_vm_count (n->vms[i].mbr), 6);
  talloc_free (n);
}

/* A VM that starts while the platform is unavailable gets the list from a
 * peer. */
static void
test_start_in_outage (void)
{
  net_desc_t desc = _desc (6, 3);
  net_t *n = net_setup (NULL, &desc);
  net_run (n, 5000);
  n->platform_down = true;
  net_kill_vm (n, 3, true);
  net_run (n, 8000);
  net_start_vm (n, 3);
  net_run (n, 20000);
  CU_ASSERT_EQUAL (mbr_vm_count (n->vms[3].mbr), 6);
  CU_ASSERT (mbr_vm_find (n->vms[3].mbr, "v0")->up);
  CU_ASSERT (mbr_vm_find (n->vms[0].mbr, "v3")->up);
  CU_ASSERT (mbr_list_read_at (n->vms[3].mbr) <= 5000);
  talloc_free (n);
}

/* A leaving VM owns nothing; malformed entries of the list are ignored. */
static void
test_leaving_owns_nothing (void)
{
  net_desc_t desc = _desc (6, 3);
  net_t *n = net_setup (NULL, &desc);
  net_run (n, 5000);
  net_vm_t *v = &n->vms[0];
  ev_vm_t vms[] = {
    { .vm = "v0", .data_centre = "dc0", .address = "a" },
    { .vm = "v3", .data_centre = "dc0", .address = "a", .leaving = true },
    { .vm = "", .data_centre = "dc0" },
    { .vm = NULL },
  };
  mbr_platform_replied (v->mbr, v->env, &(plt_done_t){ .mod = MOD_MEMBER },
                        &(ev_platform_t){ .vms = vms, .vm_count = 4 });
  CU_ASSERT_EQUAL (mbr_vm_count (v->mbr), 2);
  CU_ASSERT_STRING_EQUAL (mbr_owner (v->mbr, "dc0", MOD_LIMIT, "x"), "v0");
  CU_ASSERT_STRING_EQUAL (mbr_owner (v->mbr, "dc0", MOD_LIMIT, "y"), "v0");
  talloc_free (n);
}

static void
_list_reply (net_vm_t *v, uint64_t revision, ev_vm_t *vms, size_t count)
{
  mbr_platform_replied (
      v->mbr, v->env, &(plt_done_t){ .mod = MOD_MEMBER },
      &(ev_platform_t){ .revision = revision, .vms = vms, .vm_count = count });
}

/* Guards against a list from before the last one: it takes new VMs away and
 * has others called at addresses that they no longer have. */
static void
test_older_list_is_ignored (void)
{
  net_desc_t desc = _desc (6, 3);
  net_t *n = net_setup (NULL, &desc);
  net_run (n, 5000);
  net_vm_t *v = &n->vms[0];
  ev_vm_t older[] = { { .vm = "v0", .data_centre = "dc0", .address = "a0" },
                      { .vm = "v3", .data_centre = "dc0", .address = "a3" } };
  ev_vm_t newer[] = { { .vm = "v0", .data_centre = "dc0", .address = "a0" },
                      { .vm = "v3", .data_centre = "dc0", .address = "b3" },
                      { .vm = "v6", .data_centre = "dc0", .address = "a6" } };
  _list_reply (v, 9, newer, 3);
  clk_ms_t read_at = mbr_list_read_at (v->mbr);
  v->env->now += 10;
  _list_reply (v, 7, older, 2);
  CU_ASSERT_PTR_NOT_NULL (mbr_vm_find (v->mbr, "v6"));
  CU_ASSERT_STRING_EQUAL (mbr_vm_find (v->mbr, "v3")->address, "b3");
  CU_ASSERT_EQUAL (mbr_list_read_at (v->mbr), read_at);
  _list_reply (v, 9, newer, 3);
  CU_ASSERT_EQUAL (mbr_list_read_at (v->mbr), read_at + 10);
  _list_reply (v, 10, older, 2);
  CU_ASSERT_PTR_NULL (mbr_vm_find (v->mbr, "v6"));
  talloc_free (n);
}

/* Malformed messages of all kinds, also from a VM that is not in the list,
 * must neither crash the VM nor change its list. */
static void
test_bad_messages (void)
{
  net_desc_t desc = _desc (6, 3);
  net_t *n = net_setup (NULL, &desc);
  net_run (n, 5000);
  net_vm_t *v = &n->vms[0];
  for (int kind = MSG_MEMBER_FIRST; kind < MSG_LIMIT_FIRST + 16; kind++)
    {
      msg_t msg = { .kind = (uint16_t)kind, .body = buf_str ("\xc1garbage") };
      _net_message (v, "v1", &msg);
      msg.body = (buf_t){ 0 };
      _net_message (v, "nobody", &msg);
    }
  CU_ASSERT_EQUAL (mbr_vm_count (v->mbr), 6);
  net_run (n, 6000);
  talloc_free (n);
}

/* The number of links is bounded, and messages reach every VM over them. */
static void
test_grid (void)
{
  net_t *n = _large ();
  net_run (n, 4000);
  size_t most = 0;
  for (uint32_t i = 0; i < LARGE; i++)
    {
      size_t links = mbr_link_count (n->vms[i].mbr);
      most = links > most ? links : most;
    }
  CU_ASSERT (most < 60);
  uint64_t before = 0;
  uint64_t after = 0;
  for (uint32_t i = 0; i < LARGE; i++)
    before += (uint64_t)cnt_value (n->vms[i].env->cnt,
                                   "rts_member_unreachable_total", "");
  for (uint32_t i = 0; i < 500; i++)
    {
      uint32_t from = (i * 7) % LARGE;
      char to[16];
      snprintf (to, sizeof to, "v%u", (i * 31 + 5) % LARGE);
      n->vms[from].env->now = n->now;
      mbr_send (n->vms[from].mbr, n->vms[from].env, to, MSG_MEMBER_PING,
                (buf_t){ 0 });
      _net_process_output (n, from);
    }
  net_run (n, 4100);
  for (uint32_t i = 0; i < LARGE; i++)
    after += (uint64_t)cnt_value (n->vms[i].env->cnt,
                                  "rts_member_unreachable_total", "");
  /* Some cells of the grid are empty: up to 2 % of messages may be lost. */
  CU_ASSERT (after - before <= 10);
  talloc_free (n);
}

/* Number of up and down changes that the running VMs have recorded. */
static uint64_t
_changes (const net_t *n)
{
  uint64_t sum = 0;
  for (uint32_t i = 0; i < LARGE; i++)
    {
      if (!n->vms[i].alive)
        continue;
      const cnt_t *c = n->vms[i].env->cnt;
      sum += (uint64_t)cnt_value (c, "rts_member_changes_total",
                                  "state=\"up\"");
      sum += (uint64_t)cnt_value (c, "rts_member_changes_total",
                                  "state=\"down\"");
    }
  return sum;
}

/* Number of running VMs that regard v1 as up (UP) or down. */
static uint32_t
_state_count (const net_t *n, bool up)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < LARGE; i++)
    {
      if (!n->vms[i].alive)
        continue;
      const mbr_vm_t *v = mbr_vm_find (n->vms[i].mbr, "v1");
      count += v != NULL && v->up == up;
    }
  return count;
}

/* A VM that stops and restarts several times causes reports that overtake each
 * other in the grid.  The reports must stop circulating, and all VMs must end
 * with the last state. */
static void
test_grid_reports_converge (void)
{
  net_t *n = _large ();
  net_run (n, 4000);
  for (uint32_t i = 0; i < 4; i++)
    {
      net_kill_vm (n, 1, true);
      net_run (n, n->now + 3);
      net_start_vm (n, 1);
      net_run (n, n->now + 40);
    }
  net_run (n, 14000);
  uint64_t settled = _changes (n);
  CU_ASSERT_EQUAL (_state_count (n, true), LARGE);
  net_run (n, 19000);
  CU_ASSERT_EQUAL (_changes (n), settled);
  net_kill_vm (n, 1, true);
  net_run (n, 24000);
  CU_ASSERT_EQUAL (_state_count (n, false), LARGE - 1);
  talloc_free (n);
}

/* A listed VM is already down when the others start.  No link to the VM ever
 * opened, so the VMs that want one must report the VM as down to the rest. */
static void
test_grid_vm_down_at_start (void)
{
  net_t *n = _large ();
  net_kill_vm (n, 1, false);
  net_run (n, 12000);
  CU_ASSERT_EQUAL (_state_count (n, false), LARGE - 1);
  net_start_vm (n, 1);
  net_run (n, 20000);
  CU_ASSERT_EQUAL (_state_count (n, true), LARGE);
  talloc_free (n);
}

/* Set the incarnation of v1, in v1 and in all VMs with a link to v1. */
static void
_incarnation_set (net_t *n, uint64_t incarnation)
{
  n->vms[1].mbr->self->incarnation = incarnation;
  for (uint32_t i = 0; i < LARGE; i++)
    {
      mbr_entry_t *e = mbr_entry_find (n->vms[i].mbr, "v1");
      if (e->link_open)
        e->incarnation = incarnation;
    }
}

/* A VM that has no link to v1 and knows an older incarnation of v1 than the
 * current one; LARGE: none. */
static uint32_t
_outdated_vm_find (const net_t *n)
{
  uint64_t newest = n->vms[1].mbr->self->incarnation;
  for (uint32_t i = 0; i < LARGE; i++)
    {
      const mbr_entry_t *e = mbr_entry_find (n->vms[i].mbr, "v1");
      if (i != 1 && !e->link_open && !e->link_wanted
          && e->incarnation < newest)
        return i;
    }
  return LARGE;
}

/* Let VM receive a report over one of its links that v1 is down, for the
 * incarnation of v1 that VM knows. */
static void
_down_report_inject (net_t *n, uint32_t vm)
{
  const mbr_t *m = n->vms[vm].mbr;
  size_t from = 0;
  while (from < m->count && !m->entries[from]->link_open)
    from++;
  TST_NEED (from < m->count);
  mpk_writer_t w;
  mpk_writer_init (&w, n);
  mpk_put_str (&w, buf_str ("v1"));
  mpk_put_uint (&w, 0);
  mpk_put_uint (&w, mbr_entry_find (m, "v1")->incarnation);
  msg_t report = { .kind = MSG_MEMBER_STATE, .body = mpk_done (&w) };
  _net_message (&n->vms[vm], m->entries[from]->vm.name, &report);
  _net_process_output (n, vm);
}

/* A report about an old incarnation reaches a VM that does not know the newer
 * incarnation.  Peers must send the newer report, or VMs would keep the old
 * state. */
static void
test_grid_late_report (void)
{
  net_t *n = _large ();
  net_run (n, 4000);
  _incarnation_set (n, 9);
  uint32_t behind = _outdated_vm_find (n);
  TST_NEED (behind < LARGE);
  _down_report_inject (n, behind);
  CU_ASSERT_EQUAL (_state_count (n, false), 1);
  net_run (n, 6000);
  CU_ASSERT_EQUAL (_state_count (n, true), LARGE);
  talloc_free (n);
}

/* While a fleet starts, its list grows and each VM chooses its links anew each
 * time.  A VM must not count as down because an unneeded link was closed. */
static void
test_grid_list_grows (void)
{
  net_t *n = _large ();
  for (uint32_t i = 24; i < LARGE; i++)
    n->vms[i].listed = false;
  for (uint32_t i = 24; i < LARGE; i++)
    {
      net_run (n, n->now + 60);
      n->vms[i].listed = true;
    }
  net_run (n, 40000);
  uint64_t settled = _changes (n);
  CU_ASSERT_EQUAL (_state_count (n, true), LARGE);
  /* Each VM records at most up, down and up again for each other VM. */
  CU_ASSERT (settled < (uint64_t)3 * LARGE * LARGE);
  net_run (n, 50000);
  CU_ASSERT_EQUAL (_changes (n), settled);
  talloc_free (n);
}

/* The number of pairs of running VMs and listed ones of which the first holds
 * a wrong state of the second. */
static uint32_t
_wrong_states (const net_t *n)
{
  uint32_t wrong = 0;
  for (uint32_t i = 0; i < n->vm_count; i++)
    for (uint32_t k = 0; n->vms[i].alive && k < n->vm_count; k++)
      {
        const mbr_vm_t *v = mbr_vm_find (n->vms[i].mbr, n->vms[k].name);
        wrong += v != NULL && i != k && v->up != n->vms[k].alive;
      }
  return wrong;
}

/* A fleet of RUNNING VMs of which REPLACED are lost for good, one after the
 * other, and replaced by others; the list keeps them all. */
static net_t *
_replaced_one_by_one (uint32_t running, uint32_t replaced, uint32_t seed)
{
  net_desc_t desc = _desc (running + replaced, 2);
  desc.seed = seed;
  net_t *n = net_setup (NULL, &desc);
  for (uint32_t i = running; i < n->vm_count; i++)
    {
      net_kill_vm (n, i, true);
      n->vms[i].listed = false;
    }
  net_run (n, 5000);
  for (uint32_t i = 0; i < replaced; i++)
    {
      net_kill_vm (n, i, false);
      net_run (n, n->now + 1000);
      net_start_vm (n, running + i);
      net_run (n, n->now + 4500);
    }
  return n;
}

/* Guards against VMs that are gone and count as up, as a VM that came later
 * heard nothing of them: they were chosen to run jobs.  The fleet passes the
 * size of a full mesh meanwhile; 10 replacements are those of review/1. */
static void
test_replaced_vms_are_down (void)
{
  static const uint32_t replaced[] = { 4, 5, 6, 7, 10, 20 };
  for (size_t i = 0; i < sizeof replaced / sizeof replaced[0]; i++)
    for (uint32_t seed = 1; seed <= 4; seed++)
      {
        net_t *n = _replaced_one_by_one (11, replaced[i], seed);
        net_run (n, n->now + 15000);
        CU_ASSERT_EQUAL (_wrong_states (n), 0);
        talloc_free (n);
      }
}

/* Guards against a grid in which most cells hold VMs that are gone, so that
 * those that run have no links and do not hear of each other. */
static void
test_list_of_mostly_gone_vms (void)
{
  static const uint32_t replaced[] = { 40, 100 };
  for (size_t i = 0; i < sizeof replaced / sizeof replaced[0]; i++)
    {
      net_t *n = _replaced_one_by_one (11, replaced[i], 1);
      net_run (n, n->now + 15000);
      CU_ASSERT_EQUAL (_wrong_states (n), 0);
      talloc_free (n);
    }
}

/* Guards against a list of several pages, as a large fleet has, of which the
 * VMs behind the first page count as gone; against a page that is missing. */
static void
test_list_of_several_pages (void)
{
  enum
  {
    PAGES = 3,
    PAGE = 50
  };
  env_t *env
      = env_setup (NULL, &(env_desc_t){ .vm = "v-000", .data_centre = "dc0" });
  mbr_t *m = mbr_setup (env, &(mbr_desc_t){ 0 });
  mbr_start (m, env);
  for (unsigned round = 0; round < 3; round++)
    for (unsigned page = 0; page < PAGES; page++)
      {
        ev_vm_t vms[PAGE];
        for (unsigned i = 0; i < PAGE; i++)
          vms[i] = (ev_vm_t){ .vm = talloc_asprintf (env, "v-%03u",
                                                     page * PAGE + i),
                              .data_centre = "dc0",
                              .address = "10.0.0.1:1" };
        /* In the second round the second page cannot be read. */
        bool lost = round == 1 && page == 1;
        mbr_platform_replied (
            m, env, &(plt_done_t){ 0 },
            &(ev_platform_t){ .code = lost ? ST_UNAVAILABLE : ST_OK,
                              .vms = lost ? NULL : vms,
                              .vm_count = lost ? 0 : PAGE,
                              .revision = 10 + round,
                              .continue_after = page + 1 < PAGES && !lost
                                                    ? vms[PAGE - 1].vm
                                                    : NULL });
        if (page + 1 < PAGES && !lost)
          CU_ASSERT_STRING_EQUAL (
              env->fx->v[env->fx->count - 1].platform.after, vms[PAGE - 1].vm);
        if (lost)
          break;
        if (page + 1 == PAGES || round > 0)
          CU_ASSERT_EQUAL (mbr_vm_count (m), (size_t)PAGES * PAGE);
      }
  CU_ASSERT_EQUAL (mbr_vm_count (m), (size_t)PAGES * PAGE);
  env_shutdown (env);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "full_mesh", test_full_mesh },
    { "lost_vm", test_lost_vm },
    { "frozen_vm_comes_back", test_frozen_vm_recovers },
    { "list_kept_in_outage", test_list_kept_in_outage },
    { "start_in_outage", test_start_in_outage },
    { "leaving_owns_nothing", test_leaving_owns_nothing },
    { "older_list_is_ignored", test_older_list_is_ignored },
    { "bad_messages", test_bad_messages },
    { "grid", test_grid },
    { "grid_reports_end", test_grid_reports_converge },
    { "grid_gone_before", test_grid_vm_down_at_start },
    { "grid_late_report", test_grid_late_report },
    { "grid_list_grows", test_grid_list_grows },
    { "replaced_vms_are_down", test_replaced_vms_are_down },
    { "list_of_mostly_gone_vms", test_list_of_mostly_gone_vms },
    { "list_of_several_pages", test_list_of_several_pages },
  };
  return tst_run ("mbr", cases, sizeof cases / sizeof cases[0]);
}

/** @file
 * Tests of one VM's mint rights (lim_share.h): which replies confirm them.
 */
#include "core/lim_lists.h"
#include "core/lim_share.h"
#include "core/mpk.h"
#include "tst.h"

#include <talloc.h>

#define SHR_VERSION 5 /* of the lists */
#define SHR_SHORT_LIFE_MS (6 * CLK_SECOND)

/* One process of VM "vm-a", which has read the lists at `started`.  The other
 * VM of the data centre, "vm-b", reads the lists for both from then on; both
 * are writers. */
typedef struct
{
  env_t *env;
  mbr_t *members;
  lsh_t *shares;
  clk_ms_t started;
  uint64_t number; /* of the last request to vm-b */
} _shr_t;

/* The value of the lists' object. */
static buf_t
_shr_lists (void *ctx)
{
  lli_t *lists = lli_setup (ctx);
  lists->home_part = lists->other_part = LSH_PARTS_TOTAL;
  lists->short_revision = lists->long_revision = 1;
  lli_append (lists, "vm-a", LLI_IN_SHORT | LLI_IN_LONG);
  lli_append (lists, "vm-b", LLI_IN_SHORT | LLI_IN_LONG);
  return lli_encode (ctx, lists);
}

/* Replies with CODE, and the lists if that is ST_OK, to the platform call in
 * the effects, if there is one. */
static void
_shr_platform_reply (_shr_t *r, st_code_t code)
{
  ev_object_t object = { .version = SHR_VERSION, .value = _shr_lists (r) };
  ev_platform_t reply
      = { .code = code, .objects = &object, .object_count = code == ST_OK };
  plt_done_t done;
  for (size_t i = 0; i < r->env->fx->count; i++)
    if (r->env->fx->v[i].kind == FX_PLATFORM)
      reply.call = r->env->fx->v[i].platform.call;
  fx_clear (r->env->fx);
  if (plt_reply (r->env, &reply, &done))
    lsh_platform_replied (r->shares, r->env, &done, &reply);
}

/* Notes the number of the request of KIND in the effects, if there is one. */
static void
_shr_number_note (_shr_t *r, uint16_t kind)
{
  for (size_t i = 0; i < r->env->fx->count; i++)
    {
      const fx_t *f = &r->env->fx->v[i];
      mpk_reader_t in = mpk_reader (r, f->peer.msg.body);
      if (f->kind == FX_PEER_SEND && f->peer.msg.kind == kind)
        r->number = mpk_get_uint (&in);
    }
}

static void
_shr_timers (_shr_t *r)
{
  tmr_due_t due;
  while (tmr_pop (r->env->tmr, r->env->now, &due))
    if (due.mod == MOD_LIMIT)
      lsh_timer_fired (r->shares, r->env, due.tag);
}

static _shr_t *
_shr_setup (uint64_t incarnation)
{
  static const ev_vm_t vms[] = {
    { .vm = "vm-a", .data_centre = "north", .address = "10.1.0.1:70" },
    { .vm = "vm-b", .data_centre = "north", .address = "10.1.0.2:70" },
  };
  _shr_t *r = talloc_zero (NULL, _shr_t);
  r->env = env_setup (r, &(env_desc_t){ .vm = "vm-a",
                                        .data_centre = "north",
                                        .address = "10.1.0.1:70",
                                        .incarnation = incarnation,
                                        .seed = 1 });
  r->env->now = r->started = 1000;
  r->members = mbr_setup (r, &(mbr_desc_t){ 0 });
  mbr_start (r->members, r->env);
  mbr_platform_replied (
      r->members, r->env, &(plt_done_t){ .mod = MOD_MEMBER },
      &(ev_platform_t){ .code = ST_OK, .vms = vms, .vm_count = 2 });
  mbr_peer_up (r->members, r->env, "vm-b");
  r->shares = lsh_setup (r, &(lsh_desc_t){ .members = r->members });
  lsh_start (r->shares, r->env);
  _shr_timers (r);
  _shr_platform_reply (r, ST_OK);
  return r;
}

/* Lets time pass until the VM asks vm-b to read the lists. */
static void
_shr_read_request (_shr_t *r)
{
  r->number = 0;
  while (r->number == 0 && r->env->now < r->started + SHR_SHORT_LIFE_MS)
    {
      r->env->now += 10;
      fx_clear (r->env->fx);
      _shr_timers (r);
      _shr_number_note (r, MSG_LIMIT_READ_REQUEST);
    }
  CU_ASSERT (r->number != 0);
}

/* The result of a read, or a promise that is GIVEN or not, arrives from vm-b
 * for the request NUMBER. */
static void
_shr_message (_shr_t *r, uint16_t kind, uint64_t number, uint64_t version,
              bool given)
{
  mpk_writer_t w;
  mpk_writer_init (&w, r);
  mpk_put_uint (&w, number);
  mpk_put_uint (&w, version);
  if (kind == MSG_LIMIT_PROMISE)
    mpk_put_uint (&w, given);
  else
    mpk_put_str (&w, buf_str (""));
  fx_clear (r->env->fx);
  lsh_message_received (r->shares, r->env, "vm-b",
                        &(msg_t){ .kind = kind, .body = mpk_done (&w) });
}

/* Lets time pass until the VM asks vm-b for a promise, since neither of them
 * can read the lists. */
static void
_shr_promise_request (_shr_t *r)
{
  _shr_read_request (r);
  _shr_message (r, MSG_LIMIT_READ_RESULT, r->number, 0, false);
  r->number = 0;
  _shr_platform_reply (r, ST_UNAVAILABLE);
  _shr_number_note (r, MSG_LIMIT_PROMISE_REQUEST);
  CU_ASSERT (r->number != 0);
}

/* Whether the VM has its short right after that by its own first read. */
static bool
_shr_right_lasts (_shr_t *r)
{
  clk_ms_t since;
  r->env->now = r->started + SHR_SHORT_LIFE_MS;
  (void)lsh_rights_update (r->shares, r->env, &since);
  return (lsh_rights (r->shares) & LSH_SHORT) != 0;
}

/* -- tests ---------------------------------------------------------------- */

/* Guards against a mint right that counts from a request of this process but
 * is confirmed by the read for a request of an earlier one. */
static void
test_read_for_earlier_process (void)
{
  _shr_t *earlier = _shr_setup (1);
  _shr_t *r = _shr_setup (2);
  _shr_read_request (earlier);
  _shr_read_request (r);
  _shr_message (r, MSG_LIMIT_READ_RESULT, earlier->number, SHR_VERSION, false);
  CU_ASSERT (!_shr_right_lasts (r));
  talloc_free (r);
  talloc_free (earlier);
}

/* The read for the process's own request confirms the right. */
static void
test_read_for_this_process (void)
{
  _shr_t *r = _shr_setup (2);
  _shr_read_request (r);
  _shr_message (r, MSG_LIMIT_READ_RESULT, r->number, SHR_VERSION, false);
  CU_ASSERT (_shr_right_lasts (r));
  talloc_free (r);
}

/* Guards against a mint right that counts from a request of this process but
 * is confirmed by a promise to an earlier one. */
static void
test_promise_to_earlier_process (void)
{
  _shr_t *earlier = _shr_setup (1);
  _shr_t *r = _shr_setup (2);
  _shr_promise_request (earlier);
  _shr_promise_request (r);
  _shr_message (r, MSG_LIMIT_PROMISE, earlier->number, SHR_VERSION, true);
  CU_ASSERT (!_shr_right_lasts (r));
  talloc_free (r);
  talloc_free (earlier);
}

/* The promise to the process itself confirms the right. */
static void
test_promise_to_this_process (void)
{
  _shr_t *r = _shr_setup (2);
  _shr_promise_request (r);
  _shr_message (r, MSG_LIMIT_PROMISE, r->number, SHR_VERSION, true);
  CU_ASSERT (_shr_right_lasts (r));
  talloc_free (r);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "read_for_earlier_process", test_read_for_earlier_process },
    { "read_for_this_process", test_read_for_this_process },
    { "promise_to_earlier_process", test_promise_to_earlier_process },
    { "promise_to_this_process", test_promise_to_this_process },
  };
  return tst_run ("lsh", cases, sizeof cases / sizeof cases[0]);
}

/** @file
 * Measures how soon a part of prompts that ends upstreams is kept away from
 * them by all VMs, and what that costs: upstreams that end, requests sent too
 * late by the users' rule, time, messages.  Prints the table of
 * docs/ROUTING.md and writes build/measure/crashes.csv.
 *
 *   build/tools/measure_crashes
 */
#include "core/crs.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define VMS_MAX 420
#define RUN_MS (40 * CLK_SECOND)
/* One way between two VMs: two hops in a large fleet. */
#define PEER_MS 2
/* Until an upstream ends under a bad request, and until a request that asks
 * whether it lives gets no answer. */
#define END_MS 70
#define PROBE_MS 150
/* Between two looks at a request that waits, and its patience. */
#define AGAIN_MS 5
#define PATIENCE_MS 150
/* Until a sound request is answered whole. */
#define ANSWER_MS 600
/* The users' rule. */
#define BOUND_ENDS 5
#define BOUND_MS (3 * CLK_SECOND)

#define PART_SHARED 1
#define PART_BAD 2

typedef struct
{
  env_t *env;
  mbr_t *members;
  crs_t *crashes;
  uint64_t requests;
} vm_t;

/** Something that comes to a VM. */
typedef struct
{
  clk_ms_t at;
  size_t vm;
  enum
  {
    _MESSAGE,
    _PROBED,   /* the upstream that call CALL asks does not answer */
    _ENDED,    /* the upstream of request HANDLE ends */
    _ANSWERED, /* request HANDLE is answered whole */
    _AGAIN     /* request HANDLE, which waits for a permit, is looked at */
  } kind;
  uint64_t part;  /* _AGAIN */
  clk_ms_t until; /* _AGAIN: it is given up then */
  char from[16];
  msg_t msg;
  uint64_t call;
  uint64_t handle;
} mail_t;

typedef struct
{
  void *ctx;
  size_t vms;
  clk_ms_t now;
  GRand *rand;
  vm_t vm[VMS_MAX];
  GQueue mail;  /* mail_t, by time */
  GArray *ends; /* clk_ms_t */
  clk_ms_t third_at;
  clk_ms_t known_at; /* by when all VMs refused the part */
  uint64_t upstreams;
  unsigned sent_late;
  unsigned sound_refused;
  uint64_t messages;
  uint64_t bytes;
  uint64_t most; /* messages sent by the busiest VM in a second */
  uint64_t sent_in_second[VMS_MAX];
} run_t;

static gint
mail_compare (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  clk_ms_t x = ((const mail_t *)a)->at;
  clk_ms_t y = ((const mail_t *)b)->at;
  return x < y ? -1 : x > y;
}

static void
mail_push (run_t *r, const mail_t *m)
{
  g_queue_insert_sorted (&r->mail, g_memdup2 (m, sizeof *m), mail_compare,
                         NULL);
}

static size_t
vm_index (const char *name)
{
  return (size_t)g_ascii_strtoull (name + 3, NULL, 10);
}

static void
message_send (run_t *r, size_t from, const fx_peer_t *peer)
{
  mail_t m = { .at = r->now + PEER_MS,
               .vm = vm_index (peer->vm),
               .kind = _MESSAGE,
               .msg = peer->msg };
  g_snprintf (m.from, sizeof m.from, "vm-%zu", from);
  m.msg.body = buf_copy (r->ctx, peer->msg.body);
  mail_push (r, &m);
  r->messages++;
  r->bytes += peer->msg.body.n;
  r->sent_in_second[from]++;
  r->most = MAX (r->most, r->sent_in_second[from]);
}

/* Carry out the effects of VM. */
static void
effects_apply (run_t *r, size_t vm)
{
  fx_list_t *fx = r->vm[vm].env->fx;
  for (size_t i = 0; i < fx->count; i++)
    {
      const fx_t *f = &fx->v[i];
      if (f->kind == FX_PEER_SEND && f->peer.msg.kind >= MSG_CRASH_FIRST)
        message_send (r, vm, &f->peer);
      else if (f->kind == FX_UPSTREAM_CALL)
        mail_push (r, &(mail_t){ .at = r->now + PROBE_MS,
                                 .vm = vm,
                                 .kind = _PROBED,
                                 .call = f->upstream.call });
    }
  fx_clear (fx);
}

/* Whether what is sent now counts by the users' rule. */
static bool
is_late (const run_t *r)
{
  return r->ends->len >= BOUND_ENDS
         && r->now
                > g_array_index (r->ends, clk_ms_t, BOUND_ENDS - 1) + BOUND_MS;
}

/* Send request TAG with PART, which is given up at UNTIL, from VM to any
 * upstream, now or when it may be. */
static void
request_send (run_t *r, size_t vm, uint64_t tag, uint64_t part, clk_ms_t until)
{
  vm_t *v = &r->vm[vm];
  const uint64_t subjects[] = { PART_SHARED, part };
  clk_ms_t retry_ms = 0;
  crs_query_t query = { .mod = MOD_ONLINE,
                        .tag = tag,
                        .request_id = "r",
                        .subjects = subjects,
                        .subject_count = part == PART_SHARED ? 1 : 2,
                        .permit_ms = 5 * CLK_SECOND };
  char name[24];
  v->env->now = r->now;
  crs_verdict_t verdict = crs_may_send (v->crashes, v->env, &query, &retry_ms);
  if (verdict == CRS_WAIT && r->now < until)
    mail_push (r, &(mail_t){ .at = r->now + AGAIN_MS,
                             .vm = vm,
                             .kind = _AGAIN,
                             .handle = tag,
                             .part = part,
                             .until = until });
  else if (verdict != CRS_SEND)
    {
      crs_drop (v->crashes, v->env, MOD_ONLINE, query.tag);
      r->sound_refused += part == PART_SHARED;
    }
  if (verdict != CRS_SEND)
    {
      effects_apply (r, vm);
      return;
    }
  r->sent_late += part == PART_BAD && is_late (r);
  g_snprintf (name, sizeof name, "i-%llu", (unsigned long long)++r->upstreams);
  crs_listed (v->crashes, name, r->upstreams);
  crs_run_begin (v->crashes, v->env, query.tag,
                 &(crs_run_t){ .upstream = name,
                               .born = r->upstreams,
                               .address = "10.0.0.1:80",
                               .query = query });
  mail_push (r,
             &(mail_t){ .at = r->now + (part == PART_BAD ? END_MS : ANSWER_MS),
                        .vm = vm,
                        .kind = part == PART_BAD ? _ENDED : _ANSWERED,
                        .handle = query.tag });
  effects_apply (r, vm);
}

/* A new request with PART comes to any VM. */
static void
request_arrive (run_t *r, uint64_t part)
{
  size_t vm = (size_t)g_rand_int_range (r->rand, 0, (gint32)r->vms);
  request_send (r, vm, ++r->vm[vm].requests, part, r->now + PATIENCE_MS);
}

static void
mail_deliver (run_t *r, const mail_t *m)
{
  vm_t *v = &r->vm[m->vm];
  ev_t ev = { .kind = EV_UPSTREAM_FAIL,
              .upstream = { .call = m->call, .fail = EV_FAIL_NOT_SENT } };
  upc_owner_t owner;
  v->env->now = r->now;
  switch (m->kind)
    {
    case _MESSAGE:
      crs_heard (v->crashes, v->env);
      crs_message_received (v->crashes, v->env, m->from, &m->msg);
      break;
    case _PROBED:
      crs_heard (v->crashes, v->env);
      if (upc_event (v->env, &ev, &owner))
        crs_upstream_event (v->crashes, v->env, owner.tag, &ev);
      break;
    case _ENDED:
      g_array_append_val (r->ends, r->now);
      if (r->ends->len == CRS_BLOCK_ENDS)
        r->third_at = r->now;
      crs_run_end (v->crashes, v->env, m->handle, CRS_END_CLOSED);
      break;
    case _ANSWERED:
      crs_run_end (v->crashes, v->env, m->handle, CRS_END_WHOLE);
      break;
    case _AGAIN:
      request_send (r, m->vm, m->handle, m->part, m->until);
      break;
    }
  effects_apply (r, m->vm);
}

static void
timers_fire (run_t *r, size_t vm)
{
  tmr_due_t due;
  vm_t *v = &r->vm[vm];
  v->env->now = r->now;
  while (tmr_pop (v->env->tmr, r->now, &due))
    if (due.mod == MOD_CRASH)
      crs_timer_fired (v->crashes, v->env, due.tag);
  effects_apply (r, vm);
}

/* Whether all VMs know that the part is blocked. */
static bool
all_know (const run_t *r)
{
  for (size_t i = 0; i < r->vms; i++)
    if (crs_count (r->vm[i].crashes, CRS_BLOCK_ENDS) == 0)
      return false;
  return true;
}

static void
fleet_start (run_t *r)
{
  ev_vm_t *list = talloc_zero_array (r->ctx, ev_vm_t, r->vms);
  for (size_t i = 0; i < r->vms; i++)
    list[i] = (ev_vm_t){ .vm = talloc_asprintf (list, "vm-%zu", i),
                         .data_centre = i % 2 == 0 ? "north" : "south",
                         .address = "10.0.0.1:1" };
  for (size_t i = 0; i < r->vms; i++)
    {
      vm_t *v = &r->vm[i];
      v->env = env_setup (r->ctx,
                          &(env_desc_t){ .vm = list[i].vm,
                                         .data_centre = list[i].data_centre,
                                         .incarnation = i + 1,
                                         .seed = (uint32_t)i + 1 });
      v->env->now = r->now;
      v->members
          = mbr_setup (v->env, &(mbr_desc_t){ .full_mesh_max = VMS_MAX });
      v->crashes = crs_setup (v->env, &(crs_desc_t){ .members = v->members });
      mbr_platform_replied (
          v->members, v->env, &(plt_done_t){ .tag = 0 },
          &(ev_platform_t){ .code = ST_OK, .vms = list, .vm_count = r->vms });
      for (size_t k = 0; k < r->vms; k++)
        if (k != i)
          mbr_peer_up (v->members, v->env, list[k].vm);
      fx_clear (v->env->fx);
    }
}

static void
step (run_t *r, double bad_per_s, double sound_per_s)
{
  r->now++;
  if (r->now % CLK_SECOND == 0)
    memset (r->sent_in_second, 0, sizeof r->sent_in_second);
  for (mail_t *m = g_queue_peek_head (&r->mail); m != NULL && m->at <= r->now;
       m = g_queue_peek_head (&r->mail))
    {
      (void)g_queue_pop_head (&r->mail);
      mail_deliver (r, m);
      g_free (m);
    }
  for (size_t i = 0; i < r->vms; i++)
    if (tmr_next (r->vm[i].env->tmr) <= r->now)
      timers_fire (r, i);
  if (g_rand_double (r->rand) < bad_per_s / CLK_SECOND)
    request_arrive (r, PART_BAD);
  if (g_rand_double (r->rand) < sound_per_s / CLK_SECOND)
    request_arrive (r, PART_SHARED);
  if (r->known_at == 0 && r->third_at > 0 && all_know (r))
    r->known_at = r->now;
}

static void
measure (FILE *csv, size_t vms, double bad_per_s)
{
  run_t r = { .ctx = talloc_new (NULL),
              .vms = vms,
              .now = 1000,
              .rand = g_rand_new_with_seed (7),
              .ends = g_array_new (FALSE, FALSE, sizeof (clk_ms_t)) };
  double sound_per_s = (double)vms * 2;
  fleet_start (&r);
  while (r.now < 1000 + RUN_MS)
    step (&r, bad_per_s, sound_per_s);
  long long known = r.known_at == 0 ? -1 : r.known_at - r.third_at;
  double per_end = (double)r.messages / (r.ends->len > 0 ? r.ends->len : 1);
  printf ("| %zu | %g | %u | %lld | %u | %u | %.0f | %llu | %.1f |\n", vms,
          bad_per_s, r.ends->len, known, r.sent_late, r.sound_refused, per_end,
          (unsigned long long)r.most, (double)r.bytes / 1024);
  fprintf (csv, "%zu,%g,%u,%lld,%u,%u,%.0f,%llu,%llu\n", vms, bad_per_s,
           r.ends->len, known, r.sent_late, r.sound_refused, per_end,
           (unsigned long long)r.most, (unsigned long long)r.bytes);
  g_queue_clear_full (&r.mail, g_free);
  g_array_unref (r.ends);
  g_rand_free (r.rand);
  talloc_free (r.ctx);
}

int
main (void)
{
  static const size_t sizes[] = { 8, 77, 420 };
  static const double rates[] = { 0.5, 4, 40 };
  FILE *csv = fopen ("build/measure/crashes.csv", "w");
  if (csv == NULL)
    {
      perror ("build/measure/crashes.csv");
      return 1;
    }
  fprintf (csv, "vms,bad_per_s,ends,known_ms,sent_late,sound_refused,"
                "messages_per_end,most_per_s,bytes\n");
  printf ("| VMs | Bad requests a second | Upstreams ended | All VMs know, ms "
          "after the third end | Sent after the bound | Sound ones refused | "
          "Messages an end | Most sent by a VM in a second | KB in 40 s |\n"
          "|---|---|---|---|---|---|---|---|---|\n");
  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    for (size_t k = 0; k < sizeof rates / sizeof rates[0]; k++)
      measure (csv, sizes[i], rates[k]);
  return fclose (csv) == 0 ? 0 : 1;
}

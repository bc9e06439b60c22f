#include "core/bat.h"

#include "core/bat_int.h"
#include "core/inv.h"
#include "core/mpk.h"

#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#define BAT_CHUNK_BYTES_DEFAULT ((size_t)512 << 10)
#define BAT_CHUNK_ITEMS_DEFAULT 1024
#define BAT_LEASE_TERM_MS_DEFAULT (15 * CLK_SECOND)
#define BAT_SCAN_MS_DEFAULT (5 * CLK_SECOND)
#define BAT_HOLDS_MAX_DEFAULT 8
#define BAT_IN_FLIGHT_MAX_DEFAULT 64
#define BAT_ATTEMPTS_MAX_DEFAULT 4
#define BAT_INTENT_ITEMS_DEFAULT 32
#define BAT_ITEM_TIMEOUT_MS_DEFAULT (2 * CLK_MINUTE)

/* Back-off: its first mean, and how often the mean is doubled at most. */
#define BAT_BACKOFF_MS 100
#define BAT_BACKOFF_DOUBLINGS 6

/* -- charts --------------------------------------------------------------- */

static const char *const _bat_job_states[]
    = { "running", "cancelling", "cancelled", "complete" };
static const char *const _bat_job_events[] = { "cancel", "settle" };

static const char *const _bat_hold_states[]
    = { "leasing", "loading", "running", "stopping", "returning", "ended" };
static const char *const _bat_hold_events[]
    = { "leased", "loaded", "stop", "leave", "recorded", "fenced" };
static const char *const _bat_hold_actions[]
    = { "load", "run", "cancel-items", "return-items", "forget" };

static const char *const _bat_item_states[] = { "waiting", "sent", "ended" };
static const char *const _bat_item_events[] = { "send", "again", "end" };

static cht_t *
_bat_chart_setup (bat_t *b, const cht_desc_t *desc)
{
  st_t st = { 0 };
  cht_t *c = cht_setup (b, desc, &st);
  INV_CHECK (c != NULL, "batch-chart", "%s", st.message);
  return c;
}

static void
_bat_charts_setup (bat_t *b)
{
  b->job_chart
      = _bat_chart_setup (b, &(cht_desc_t){ .text = cht_text ("job"),
                                            .states = _bat_job_states,
                                            .state_count = BAT_JOB_NUM,
                                            .events = _bat_job_events,
                                            .event_count = 2 });
  b->chunk_chart
      = _bat_chart_setup (b, &(cht_desc_t){ .text = cht_text ("chunk"),
                                            .states = _bat_hold_states,
                                            .state_count = BAT_HOLD_NUM,
                                            .events = _bat_hold_events,
                                            .event_count = BAT_HOLD_EV_NUM,
                                            .actions = _bat_hold_actions,
                                            .action_count = BAT_HOLD_DO_NUM });
  b->item_chart
      = _bat_chart_setup (b, &(cht_desc_t){ .text = cht_text ("item"),
                                            .states = _bat_item_states,
                                            .state_count = BAT_ITEM_NUM,
                                            .events = _bat_item_events,
                                            .event_count = 3 });
}

/* -- set-up --------------------------------------------------------------- */

static void
_bat_fill_defaults (bat_desc_t *d)
{
  if (d->chunk_bytes == 0)
    d->chunk_bytes = BAT_CHUNK_BYTES_DEFAULT;
  if (d->chunk_items == 0)
    d->chunk_items = BAT_CHUNK_ITEMS_DEFAULT;
  if (d->term_ms == 0)
    d->term_ms = BAT_LEASE_TERM_MS_DEFAULT;
  if (d->scan_ms == 0)
    d->scan_ms = BAT_SCAN_MS_DEFAULT;
  if (d->max_holds == 0)
    d->max_holds = BAT_HOLDS_MAX_DEFAULT;
  if (d->max_in_flight == 0)
    d->max_in_flight = BAT_IN_FLIGHT_MAX_DEFAULT;
  if (d->max_attempts == 0)
    d->max_attempts = BAT_ATTEMPTS_MAX_DEFAULT;
  if (d->intent_items == 0)
    d->intent_items = BAT_INTENT_ITEMS_DEFAULT;
  if (d->item_ms == 0)
    d->item_ms = BAT_ITEM_TIMEOUT_MS_DEFAULT;
}

static int
_bat_destroy (bat_t *b)
{
  for (tbl_id_t i = tbl_next (b->holds, (tbl_id_t){ 0 }); i.id != 0;
       i = tbl_next (b->holds, i))
    {
      bat_hold_t *h = tbl_get (b->holds, i);
      g_string_free (h->unsaved, TRUE);
    }
  for (tbl_id_t i = tbl_next (b->in_flight, (tbl_id_t){ 0 }); i.id != 0;
       i = tbl_next (b->in_flight, i))
    {
      bat_inflight_t *s = tbl_get (b->in_flight, i);
      g_string_free (s->body, TRUE);
    }
  return 0;
}

bat_t *
bat_setup (void *ctx, const bat_desc_t *desc)
{
  bat_t *b = talloc_zero (ctx, bat_t);
  b->desc = *desc;
  _bat_fill_defaults (&b->desc);
  b->order = sch_setup (b, &(sch_desc_t){ 0 });
  b->take_order = sch_setup (b, &(sch_desc_t){ 0 });
  b->ops = tbl_setup (b, &(tbl_desc_t){ .size = sizeof (bat_op_t) });
  b->jobs = tbl_setup (b, &(tbl_desc_t){ .size = sizeof (bat_job_t) });
  b->holds = tbl_setup (b, &(tbl_desc_t){ .size = sizeof (bat_hold_t) });
  b->in_flight
      = tbl_setup (b, &(tbl_desc_t){ .size = sizeof (bat_inflight_t) });
  b->submits = tbl_setup (b, &(tbl_desc_t){ .size = sizeof (bat_submit_t) });
  b->ends = tbl_setup (b, &(tbl_desc_t){ .size = sizeof (bat_job_end_t) });
  b->readers = tbl_setup (b, &(tbl_desc_t){ .size = sizeof (bat_reader_t) });
  _bat_charts_setup (b);
  talloc_set_destructor (b, _bat_destroy);
  return b;
}

void
bat_shutdown (bat_t *b)
{
  talloc_free (b);
}

void
bat_start (bat_t *b, env_t *env)
{
  bat_timer_arm (b, env, env_jitter (env, b->desc.scan_ms) / 4,
                 BAT_OP_SCAN_TIMER, (tbl_id_t){ 0 });
}

void
bat_config_changed (bat_t *b, env_t *env, const cfg_doc_t *doc)
{
  b->doc = doc;
  bat_pump (b, env);
}

double
bat_weight (const bat_t *b, const char *customer)
{
  const cfg_customer_t *c
      = b->doc == NULL ? NULL : cfg_customer_find (b->doc, customer);
  return c == NULL || c->weight <= 0 ? 1 : c->weight;
}

/* -- members -------------------------------------------------------------- */

void
bat_members_changed (bat_t *b, env_t *env, const ev_vm_t *vms, size_t count)
{
  (void)env;
  char **list = talloc_zero_array (b, char *, count);
  size_t n = 0;
  for (size_t i = 0; i < count; i++)
    {
      if (!vms[i].leaving)
        list[n++] = talloc_strdup (list, vms[i].vm);
    }
  talloc_free (b->vms);
  b->vms = list;
  b->vm_count = n;
}

/* Weight of VM for KEY in rendezvous hashing: the highest comes first. */
static uint64_t
_bat_rendezvous_hash (const char *vm, const char *key)
{
  return XXH64 (vm, strlen (vm), XXH64 (key, strlen (key), 0));
}

uint32_t
bat_rank (const bat_t *b, const char *vm, const char *key)
{
  uint64_t own = _bat_rendezvous_hash (vm, key);
  uint32_t rank = 0;
  for (size_t i = 0; i < b->vm_count; i++)
    {
      if (strcmp (b->vms[i], vm) != 0
          && _bat_rendezvous_hash (b->vms[i], key) > own)
        rank++;
    }
  return rank;
}

/* -- calls and timers ----------------------------------------------------- */

tbl_id_t
bat_op_new (bat_t *b, bat_op_kind_t kind, tbl_id_t owner, uint32_t index)
{
  tbl_id_t id = tbl_alloc (b->ops);
  INV_CHECK (id.id != 0, "batch-ops-bounded", "%u", tbl_count (b->ops));
  *(bat_op_t *)tbl_get (b->ops, id)
      = (bat_op_t){ .kind = kind, .owner = owner, .index = index };
  return id;
}

void
bat_platform_call (bat_t *b, env_t *env, bat_op_kind_t kind, tbl_id_t owner,
                   uint32_t index, const plt_req_t *req)
{
  plt_req_t copy = *req;
  copy.mod = MOD_BATCH;
  copy.tag = bat_op_new (b, kind, owner, index).id;
  plt_call (env, &copy);
}

void
bat_timer_arm (bat_t *b, env_t *env, clk_ms_t delay, bat_op_kind_t kind,
               tbl_id_t owner)
{
  tmr_arm (env->tmr, env->now + delay, MOD_BATCH,
           bat_op_new (b, kind, owner, 0).id);
}

clk_ms_t
bat_backoff (env_t *env, uint32_t retries)
{
  uint32_t doublings
      = retries < BAT_BACKOFF_DOUBLINGS ? retries : BAT_BACKOFF_DOUBLINGS;
  return env_jitter (env, (clk_ms_t)BAT_BACKOFF_MS << doublings);
}

char *
bat_holder_name (env_t *env, void *ctx)
{
  return talloc_asprintf (ctx, "%s/%lu", env->vm,
                          (unsigned long)env->incarnation);
}

char *
bat_token_new (bat_t *b, env_t *env, void *ctx)
{
  return talloc_asprintf (ctx, "%s/%lu/%lu", env->vm,
                          (unsigned long)env->incarnation,
                          (unsigned long)++b->write_number);
}

/* Moves the record of the call or timer TAG to OP; false: there is none. */
static bool
_bat_op_take (bat_t *b, uint64_t tag, bat_op_t *op)
{
  tbl_id_t id = { .id = tag };
  const bat_op_t *found = tbl_get (b->ops, id);
  if (found == NULL)
    return false;
  *op = *found;
  tbl_free (b->ops, id);
  return true;
}

void
bat_timer_fired (bat_t *b, env_t *env, uint64_t tag)
{
  bat_op_t op;
  if (!_bat_op_take (b, tag, &op))
    return;
  switch (op.kind)
    {
    case BAT_OP_SCAN_TIMER:
      bat_scan_timer (b, env);
      break;
    case BAT_OP_SUBMIT_RETRY:
      bat_submit_retry (b, env, op.owner);
      break;
    case BAT_OP_END_RETRY:
      bat_end_retry (b, env, op.owner);
      break;
    default:
      bat_hold_timer (b, env, &op);
      break;
    }
  bat_pump (b, env);
}

void
bat_platform_replied (bat_t *b, env_t *env, const plt_done_t *done,
                      const ev_platform_t *reply)
{
  bat_op_t op;
  if (!_bat_op_take (b, done->tag, &op))
    return;
  switch (op.kind)
    {
    case BAT_OP_SUBMIT_LOOKUP:
    case BAT_OP_SUBMIT_ITEMS:
    case BAT_OP_SUBMIT_OPEN:
    case BAT_OP_SUBMIT_JOB:
      bat_submit_replied (b, env, &op, reply);
      break;
    case BAT_OP_SCAN:
    case BAT_OP_JOB_MANIFEST:
    case BAT_OP_JOB_CHUNKS:
      bat_scan_replied (b, env, &op, reply);
      break;
    case BAT_OP_HOLD_ITEMS:
    case BAT_OP_HOLD_PARTS:
      bat_load_replied (b, env, &op, reply);
      break;
    case BAT_OP_HOLD_LEASE:
    case BAT_OP_HOLD_PART:
    case BAT_OP_HOLD_RECORD:
    case BAT_OP_HOLD_READ:
      bat_hold_replied (b, env, &op, reply);
      break;
    case BAT_OP_READ_JOB:
    case BAT_OP_READ_CHUNKS:
    case BAT_OP_READ_PART:
      bat_read_replied (b, env, &op, reply);
      break;
    default:
      bat_end_replied (b, env, &op, reply);
      break;
    }
  bat_pump (b, env);
}

/* -- messages ------------------------------------------------------------- */

void
bat_holds_renew (bat_t *b, env_t *env, const char *id)
{
  for (tbl_id_t i = tbl_next (b->holds, (tbl_id_t){ 0 }); i.id != 0;
       i = tbl_next (b->holds, i))
    {
      bat_hold_t *h = tbl_get (b->holds, i);
      if (strcmp (h->id, id) != 0 || h->state != BAT_HOLD_RUNNING)
        continue;
      h->renew_now = true;
      bat_hold_step (b, env, h);
    }
}

void
bat_message_received (bat_t *b, env_t *env, const char *vm, const msg_t *msg)
{
  (void)vm;
  void *ctx = talloc_new (NULL);
  mpk_reader_t r = mpk_reader (ctx, msg->body);
  buf_t id = mpk_get_str (&r);
  if (!mpk_end (&r) || id.n != BAT_ID_SIZE - 1)
    cnt_add (env->cnt, "rts_batch_bad_messages_total", "", 1);
  else if (msg->kind == BAT_MSG_WORK && !b->leaving)
    bat_scan_job (b, env, id.p, NULL);
  else if (msg->kind == BAT_MSG_STOP)
    bat_holds_renew (b, env, id.p);
  talloc_free (ctx);
  bat_pump (b, env);
}

/* -- shutdown ------------------------------------------------------------- */

void
bat_leave (bat_t *b, env_t *env)
{
  b->leaving = true;
  for (tbl_id_t i = tbl_next (b->holds, (tbl_id_t){ 0 }); i.id != 0;
       i = tbl_next (b->holds, i))
    {
      bat_hold_t *h = tbl_get (b->holds, i);
      if (h->state == BAT_HOLD_LOADING || h->state == BAT_HOLD_RUNNING)
        bat_hold_fire (b, env, h, BAT_HOLD_EV_LEAVE);
    }
}

bool
bat_left (const bat_t *b)
{
  return b->leaving && tbl_count (b->holds) == 0 && tbl_count (b->submits) == 0
         && tbl_count (b->readers) == 0;
}

bat_stat_t
bat_stat (const bat_t *b)
{
  return (bat_stat_t){ .holds = tbl_count (b->holds),
                       .in_flight = tbl_count (b->in_flight),
                       .jobs = tbl_count (b->jobs) };
}

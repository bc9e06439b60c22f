/** @file
 * Crashes: messages between VMs.  The ledger is one entry VM of those that are
 * up, by rendezvous hashing.  Where views differ two VMs may count for a
 * while; what each tells is merged by the larger counts.
 */
#include "core/crs_int.h"

#include "core/mpk.h"

#include <string.h>

/** Time in which changed subjects are gathered for one message to each VM, and
 * the number of VMs for which it is a millisecond longer, so that the ledger
 * of a large fleet sends at most so many thousand messages a second. */
#define CRS_TELL_MS ((clk_ms_t)20)
#define CRS_TELL_VMS 4
/** Period at which subjects that need permits are told again, as messages may
 * be lost. */
#define CRS_REPEAT_MS (2 * CLK_SECOND)
/** Time after which a report that was not counted is sent again, and after
 * which it is given up. */
#define CRS_REPORT_AGAIN_MS (CLK_SECOND / 4)
#define CRS_REPORT_MS (20 * CLK_SECOND)
/** Most reports that wait, and most subjects in a message. */
#define CRS_PENDING_MAX 64
#define CRS_MESSAGE_SUBJECTS_MAX 8192

/** Name by which the ledger is chosen. */
#define CRS_LEDGER "ledger"

/* -- the ledger ----------------------------------------------------------- */

const char *
crs_ledger_vm (const crs_t *c, const env_t *env)
{
  size_t n = mbr_vm_count (c->desc.members);
  const char *best = env->vm;
  uint64_t most = 0;
  for (size_t i = 0; i < n; i++)
    {
      const mbr_vm_t *vm = mbr_vm_get (c->desc.members, i);
      if (vm->worker || vm->leaving || (!vm->up && !vm->self))
        continue;
      uint64_t weight = own_weight (vm->name, MOD_CRASH, CRS_LEDGER);
      if (weight < most)
        continue;
      most = weight;
      best = vm->name;
    }
  return best;
}

/** Whether this VM is the ledger; notes since when. */
static bool
_crs_is_ledger (crs_t *c, const env_t *env)
{
  bool ledger = strcmp (crs_ledger_vm (c, env), env->vm) == 0;
  if (!ledger)
    c->ledger_since = CLK_NEVER;
  else if (c->ledger_since == CLK_NEVER)
    c->ledger_since = env->now;
  return ledger;
}

static void
_crs_send (env_t *env, const char *vm, crs_msg_t kind, mpk_writer_t *w)
{
  fx_peer_send (env->fx, vm, (uint16_t)kind, mpk_done (w));
}

/** The next number, at most MAX. */
static uint64_t
_crs_get_max (mpk_reader_t *r, uint64_t max)
{
  uint64_t value = mpk_get_uint (r);
  return value < max ? value : max;
}

/* -- reports -------------------------------------------------------------- */

static void
_crs_groups_copy (crs_groups_t *to, const crs_groups_t *from)
{
  to->subjects = g_array_copy (from->subjects);
  to->counts = g_array_copy (from->counts);
}

void
crs_pending_free (crs_pending_t *p)
{
  g_array_unref (p->groups.subjects);
  g_array_unref (p->groups.counts);
  talloc_free (p);
}

static void
_crs_report_put (mpk_writer_t *w, const env_t *env, const crs_pending_t *p)
{
  guint at = 0;
  mpk_put_uint (w, p->number);
  mpk_put_str (w, buf_str (p->upstream));
  mpk_put_uint (w, p->born);
  mpk_put_uint (w, (uint64_t)(env->now - p->at));
  mpk_put_uint (w, p->certain);
  for (guint i = 0; i < p->groups.counts->len; i++)
    {
      guint n = g_array_index (p->groups.counts, guint, i);
      mpk_put_uint (w, n);
      for (guint k = 0; k < n; k++)
        mpk_put_uint (w, g_array_index (p->groups.subjects, uint64_t, at++));
    }
}

static void
_crs_pending_send (crs_t *c, env_t *env, crs_pending_t *p)
{
  void *tmp = talloc_new (c);
  mpk_writer_t w;
  mpk_writer_init (&w, tmp);
  _crs_report_put (&w, env, p);
  _crs_send (env, crs_ledger_vm (c, env), MSG_CRASH_REPORT, &w);
  p->sent_at = env->now;
  talloc_free (tmp);
}

void
crs_report_send (crs_t *c, env_t *env, const crs_report_t *report)
{
  bool ledger = _crs_is_ledger (c, env);
  crs_ledger_count (c, env, report);
  crs_tick_arm (c, env);
  if (ledger)
    return;
  if (c->pending.length >= CRS_PENDING_MAX)
    crs_pending_free (g_queue_pop_head (&c->pending));
  crs_pending_t *p = talloc_zero (c, crs_pending_t);
  p->number = own_hash_vm (env->vm) + env_number_base (env) + ++c->number;
  p->upstream = talloc_strdup (p, report->upstream);
  p->born = report->born;
  p->at = report->at;
  p->certain = report->certain;
  _crs_groups_copy (&p->groups, report->groups);
  g_queue_push_tail (&c->pending, p);
  _crs_pending_send (c, env, p);
}

void
crs_reports_repeat (crs_t *c, env_t *env)
{
  bool ledger = _crs_is_ledger (c, env);
  for (GList *l = c->pending.head; l != NULL;)
    {
      GList *next = l->next;
      crs_pending_t *p = l->data;
      if (ledger || env->now - p->at >= CRS_REPORT_MS)
        {
          g_queue_delete_link (&c->pending, l);
          crs_pending_free (p);
        }
      else if (env->now - p->sent_at >= CRS_REPORT_AGAIN_MS)
        _crs_pending_send (c, env, p);
      l = next;
    }
  if (ledger && env->now - c->repeated_at >= CRS_REPEAT_MS)
    crs_tell_arm (c, env);
}

/** Read the rest of a report, its requests' subjects; false: malformed. */
static bool
_crs_groups_read (mpk_reader_t *r, crs_groups_t *groups)
{
  while (mpk_more (r))
    {
      guint n = (guint)mpk_get_uint (r);
      if (n > CRS_SUBJECTS_MAX
          || groups->subjects->len + n > CRS_MESSAGE_SUBJECTS_MAX)
        return false;
      g_array_append_val (groups->counts, n);
      for (guint i = 0; i < n; i++)
        {
          uint64_t subject = mpk_get_uint (r);
          g_array_append_val (groups->subjects, subject);
        }
    }
  return mpk_end (r);
}

static bool
_crs_report_received (crs_t *c, env_t *env, const char *vm, mpk_reader_t *r)
{
  uint64_t number = mpk_get_uint (r);
  crs_report_t report = { .upstream = mpk_get_str (r).p };
  report.born = mpk_get_uint (r);
  report.at = env->now - (clk_ms_t)_crs_get_max (r, CRS_REPORT_MS);
  report.certain = mpk_get_uint (r) != 0;
  crs_groups_t groups
      = { .subjects = g_array_new (FALSE, FALSE, sizeof (uint64_t)),
          .counts = g_array_new (FALSE, FALSE, sizeof (guint)) };
  report.groups = &groups;
  bool good = !r->failed && _crs_groups_read (r, &groups);
  if (good)
    {
      mpk_writer_t w;
      (void)_crs_is_ledger (c, env);
      crs_ledger_count (c, env, &report);
      crs_tick_arm (c, env);
      mpk_writer_init (&w, r->ctx);
      mpk_put_uint (&w, number);
      _crs_send (env, vm, MSG_CRASH_COUNTED, &w);
    }
  g_array_unref (groups.subjects);
  g_array_unref (groups.counts);
  return good;
}

static bool
_crs_counted_received (crs_t *c, mpk_reader_t *r)
{
  uint64_t number = mpk_get_uint (r);
  if (!mpk_end (r))
    return false;
  for (GList *l = c->pending.head; l != NULL; l = l->next)
    {
      crs_pending_t *p = l->data;
      if (p->number != number)
        continue;
      g_queue_delete_link (&c->pending, l);
      crs_pending_free (p);
      break;
    }
  return true;
}

/* -- whole answers -------------------------------------------------------- */

void
crs_whole_send (crs_t *c, env_t *env, const uint64_t *subjects, size_t count,
                clk_ms_t at)
{
  bool ledger = _crs_is_ledger (c, env);
  for (size_t i = 0; i < count; i++)
    crs_ledger_whole (c, env, subjects[i], at, env->vm);
  if (ledger)
    return;
  void *tmp = talloc_new (c);
  mpk_writer_t w;
  mpk_writer_init (&w, tmp);
  for (size_t i = 0; i < count; i++)
    {
      mpk_put_uint (&w, subjects[i]);
      mpk_put_uint (&w, (uint64_t)(env->now - at));
    }
  _crs_send (env, crs_ledger_vm (c, env), MSG_CRASH_WHOLE, &w);
  talloc_free (tmp);
}

static bool
_crs_whole_received (crs_t *c, env_t *env, const char *vm, mpk_reader_t *r)
{
  (void)_crs_is_ledger (c, env);
  while (mpk_more (r))
    {
      uint64_t subject = mpk_get_uint (r);
      clk_ms_t age = (clk_ms_t)_crs_get_max (r, CLK_HOUR);
      if (!r->failed)
        crs_ledger_whole (c, env, subject, env->now - age, vm);
    }
  return mpk_end (r);
}

/* -- what the ledger tells ------------------------------------------------ */

void
crs_tell_arm (crs_t *c, env_t *env)
{
  if (c->tell_armed || !_crs_is_ledger (c, env))
    return;
  c->tell_armed = true;
  clk_ms_t pause
      = CRS_TELL_MS + (clk_ms_t)mbr_vm_count (c->desc.members) / CRS_TELL_VMS;
  tmr_arm (env->tmr, env->now + pause, MOD_CRASH, CRS_TIMER_TELL);
}

/** Milliseconds until AT; 0: it is past. */
static uint64_t
_crs_ms_until (const env_t *env, clk_ms_t at)
{
  return at <= env->now ? 0 : (uint64_t)(at - env->now);
}

static void
_crs_entry_put (mpk_writer_t *w, const env_t *env, const crs_entry_t *e)
{
  mpk_put_uint (w, e->subject);
  mpk_put_uint (w, e->ends);
  mpk_put_uint (w, (uint64_t)(env->now - e->end_at));
  mpk_put_uint (w, e->trials);
  mpk_put_uint (w, _crs_ms_until (env, e->trial_at));
  mpk_put_uint (w, _crs_ms_until (env, e->busy_until));
}

/** Writes the subjects to be told, and those with at least ENDS ends, to W;
 * returns their number. */
static size_t
_crs_entries_put (crs_t *c, const env_t *env, mpk_writer_t *w, uint32_t ends)
{
  GHashTableIter iter;
  void *value;
  size_t n = 0;
  g_hash_table_iter_init (&iter, c->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      crs_entry_t *e = value;
      if (!e->untold && e->ends < ends)
        continue;
      _crs_entry_put (w, env, e);
      n++;
    }
  return n;
}

/** Notes that all changes have been told. */
static void
_crs_entries_told (crs_t *c)
{
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, c->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      crs_entry_t *e = value;
      e->untold = false;
      if (e->ends > 0)
        continue;
      g_hash_table_iter_remove (&iter);
      talloc_free (e);
    }
}

void
crs_tell (crs_t *c, env_t *env)
{
  c->tell_armed = false;
  if (!_crs_is_ledger (c, env))
    return;
  bool all = env->now - c->repeated_at >= CRS_REPEAT_MS;
  void *tmp = talloc_new (c);
  mpk_writer_t w;
  mpk_writer_init (&w, tmp);
  size_t n
      = _crs_entries_put (c, env, &w, all ? CRS_SUSPECT_ENDS : UINT32_MAX);
  buf_t body = mpk_done (&w);
  for (size_t i = 0; n > 0 && i < mbr_vm_count (c->desc.members); i++)
    {
      const mbr_vm_t *vm = mbr_vm_get (c->desc.members, i);
      if (vm->up && !vm->self)
        fx_peer_send (env->fx, vm->name, MSG_CRASH_STATE, body);
    }
  talloc_free (tmp);
  _crs_entries_told (c);
  if (all)
    c->repeated_at = env->now;
}

void
crs_peer_up (crs_t *c, env_t *env, const char *vm)
{
  if (g_hash_table_size (c->entries) == 0)
    return;
  void *tmp = talloc_new (c);
  mpk_writer_t w;
  mpk_writer_init (&w, tmp);
  if (_crs_entries_put (c, env, &w, 1) > 0)
    _crs_send (env, vm, MSG_CRASH_STATE, &w);
  talloc_free (tmp);
}

/** Takes what another VM says of a subject, TOLD.  AUTHORITY: the ledger does,
 * and this VM is not it. */
static void
_crs_entry_take (crs_t *c, env_t *env, const crs_entry_t *told, bool authority)
{
  crs_entry_t *e = crs_entry_find (c, told->subject);
  if (told->ends == 0)
    {
      if (authority && e != NULL && e->end_at <= told->end_at)
        crs_entry_drop (c, told->subject);
      return;
    }
  if (e == NULL)
    e = crs_entry_get (c, told->subject);
  crs_entry_t before = *e;
  if (e->ends == 0 || authority)
    e->first_at = e->ends == 0 ? told->end_at : e->first_at;
  bool theirs = authority || e->ends == 0;
  e->ends = theirs ? told->ends : MAX (e->ends, told->ends);
  e->end_at = clk_max (e->end_at, told->end_at);
  e->trials = theirs ? told->trials : MAX (e->trials, told->trials);
  e->trial_at
      = theirs ? told->trial_at : clk_max (e->trial_at, told->trial_at);
  e->busy_until
      = theirs ? told->busy_until : clk_max (e->busy_until, told->busy_until);
  if (before.ends != e->ends || before.trials != e->trials)
    {
      e->untold = true;
      crs_tell_arm (c, env);
    }
  clk_ms_t whole_at = crs_whole_at (c, e->subject);
  if (whole_at > e->end_at)
    crs_whole_send (c, env, &told->subject, 1, whole_at);
}

static bool
_crs_state_received (crs_t *c, env_t *env, const char *vm, mpk_reader_t *r)
{
  bool authority
      = !_crs_is_ledger (c, env) && strcmp (crs_ledger_vm (c, env), vm) == 0;
  while (mpk_more (r))
    {
      crs_entry_t told = { .subject = mpk_get_uint (r) };
      told.ends = (uint32_t)_crs_get_max (r, UINT16_MAX);
      told.end_at = env->now - (clk_ms_t)_crs_get_max (r, CLK_HOUR);
      told.trials = (uint32_t)_crs_get_max (r, CRS_TRIALS_MAX);
      told.trial_at = env->now + (clk_ms_t)_crs_get_max (r, CLK_HOUR);
      uint64_t busy_ms = _crs_get_max (r, CLK_MINUTE);
      told.busy_until = busy_ms == 0 ? 0 : env->now + (clk_ms_t)busy_ms;
      if (!r->failed)
        _crs_entry_take (c, env, &told, authority);
    }
  crs_tick_arm (c, env);
  return mpk_end (r);
}

/* -- permits -------------------------------------------------------------- */

static void
_crs_permit_answer (const env_t *env, crs_permit_t *p, crs_verdict_t verdict,
                    clk_ms_t wait_ms)
{
  p->answered = true;
  p->verdict = verdict;
  p->retry_at = env->now + wait_ms;
}

void
crs_ask_send (crs_t *c, env_t *env, crs_permit_t *permit,
              const crs_query_t *query)
{
  clk_ms_t wait_ms = 0;
  if (_crs_is_ledger (c, env))
    {
      crs_verdict_t verdict
          = crs_ledger_ask (c, env, permit->number, query, &wait_ms);
      _crs_permit_answer (env, permit, verdict, wait_ms);
      return;
    }
  void *tmp = talloc_new (c);
  mpk_writer_t w;
  mpk_writer_init (&w, tmp);
  mpk_put_uint (&w, permit->number);
  mpk_put_uint (&w, query->has_ended_one);
  mpk_put_uint (&w, (uint64_t)query->permit_ms);
  for (size_t i = 0; i < MIN (query->subject_count, CRS_SUBJECTS_MAX); i++)
    mpk_put_uint (&w, query->subjects[i]);
  _crs_send (env, crs_ledger_vm (c, env), MSG_CRASH_ASK, &w);
  talloc_free (tmp);
}

static bool
_crs_ask_received (crs_t *c, env_t *env, const char *vm, mpk_reader_t *r)
{
  uint64_t subjects[CRS_SUBJECTS_MAX];
  uint64_t number = mpk_get_uint (r);
  crs_query_t query = { .subjects = subjects, .request_id = "" };
  query.has_ended_one = mpk_get_uint (r) != 0;
  query.permit_ms = (clk_ms_t)_crs_get_max (r, CLK_MINUTE);
  while (mpk_more (r) && query.subject_count < CRS_SUBJECTS_MAX)
    subjects[query.subject_count++] = mpk_get_uint (r);
  if (!mpk_end (r))
    return false;
  clk_ms_t wait_ms = CRS_ASK_MS;
  crs_verdict_t verdict = CRS_WAIT;
  /* Two ledgers would give two permits at a time. */
  if (_crs_is_ledger (c, env))
    verdict = crs_ledger_ask (c, env, number, &query, &wait_ms);
  mpk_writer_t w;
  mpk_writer_init (&w, r->ctx);
  mpk_put_uint (&w, number);
  mpk_put_uint (&w, verdict);
  mpk_put_uint (&w, (uint64_t)wait_ms);
  _crs_send (env, vm, MSG_CRASH_PERMIT, &w);
  return true;
}

static bool
_crs_permit_received (crs_t *c, env_t *env, const char *vm, mpk_reader_t *r)
{
  uint64_t number = mpk_get_uint (r);
  uint64_t verdict = mpk_get_uint (r);
  clk_ms_t wait_ms = (clk_ms_t)_crs_get_max (r, CLK_HOUR);
  if (!mpk_end (r) || verdict > CRS_REFUSE)
    return false;
  for (const GList *l = c->permits.head; l != NULL; l = l->next)
    {
      crs_permit_t *p = l->data;
      if (p->number != number)
        continue;
      _crs_permit_answer (env, p, (crs_verdict_t)verdict, wait_ms);
      return true;
    }
  /* The request has ended meanwhile, or has asked again. */
  if (verdict == CRS_SEND)
    {
      mpk_writer_t w;
      mpk_writer_init (&w, r->ctx);
      mpk_put_uint (&w, number);
      mpk_put_uint (&w, false);
      _crs_send (env, vm, MSG_CRASH_DONE, &w);
    }
  return true;
}

void
crs_done_send (crs_t *c, env_t *env, uint64_t number, bool sent)
{
  if (_crs_is_ledger (c, env))
    {
      crs_ledger_done (c, env, number, sent);
      return;
    }
  void *tmp = talloc_new (c);
  mpk_writer_t w;
  mpk_writer_init (&w, tmp);
  mpk_put_uint (&w, number);
  mpk_put_uint (&w, sent);
  _crs_send (env, crs_ledger_vm (c, env), MSG_CRASH_DONE, &w);
  talloc_free (tmp);
}

static bool
_crs_done_received (crs_t *c, env_t *env, mpk_reader_t *r)
{
  uint64_t number = mpk_get_uint (r);
  bool sent = mpk_get_uint (r) != 0;
  if (!mpk_end (r))
    return false;
  crs_ledger_done (c, env, number, sent);
  return true;
}

/* -- dispatch ------------------------------------------------------------- */

void
crs_message_received (crs_t *c, env_t *env, const char *vm, const msg_t *msg)
{
  void *tmp = talloc_new (NULL);
  mpk_reader_t r = mpk_reader (tmp, msg->body);
  bool good = false;
  switch ((crs_msg_t)msg->kind)
    {
    case MSG_CRASH_REPORT:
      good = _crs_report_received (c, env, vm, &r);
      break;
    case MSG_CRASH_COUNTED:
      good = _crs_counted_received (c, &r);
      break;
    case MSG_CRASH_WHOLE:
      good = _crs_whole_received (c, env, vm, &r);
      break;
    case MSG_CRASH_STATE:
      good = _crs_state_received (c, env, vm, &r);
      break;
    case MSG_CRASH_ASK:
      good = _crs_ask_received (c, env, vm, &r);
      break;
    case MSG_CRASH_PERMIT:
      good = _crs_permit_received (c, env, vm, &r);
      break;
    case MSG_CRASH_DONE:
      good = _crs_done_received (c, env, &r);
      break;
    }
  if (!good)
    cnt_add (env->cnt, "rts_peer_messages_malformed_total", "mod=\"crash\"",
             1);
  talloc_free (tmp);
}

/** @file
 * Crashes: finds out which upstreams have ended, and under which requests.
 *
 * A request whose connection the upstream closes is kept as a *break* of that
 * start of the upstream.  The upstream is asked for its load at once, on a new
 * connection.  If it answers, or anything sent later is answered, it lives,
 * and the breaks say nothing.  If it refuses the connection, or another
 * upstream answers at the address, or the list no longer names the start, it
 * has ended.  If nothing answers, it has ended if this VM is not cut off
 * itself.
 */
#include "core/crs_int.h"

#include <string.h>

/** Time limit of the connection with which an upstream is asked. */
#define CRS_PROBE_CONNECT_MS ((clk_ms_t)150)
/** Time limit of its answer. */
#define CRS_PROBE_MS ((clk_ms_t)500)
/** Time for which the list may show that an upstream has ended. */
#define CRS_BREAK_MS (8 * CLK_SECOND)
/** The same if the upstream has answered the question. */
#define CRS_ANSWERED_MS CLK_SECOND
/** Most breaks of one start that are kept. */
#define CRS_BREAKS_MAX 64
/** Most subjects whose last whole answer is remembered. */
#define CRS_WHOLE_MAX 4096
/** Subjects in a line of the log, and lines for a request. */
#define CRS_LINE_SUBJECTS 4
#define CRS_LINES_MAX 4

/** A request in flight, or one whose connection broke. */
typedef struct
{
  uint64_t handle;
  char *upstream;
  uint64_t born;
  char *address;
  char *request_id;
  bool fixed_identity;
  mod_t mod;
  uint64_t tag;
  uint64_t *subjects;
  size_t subject_count;
  bool has_request; /**< as in crs_query_t */
  clk_ms_t sent_at;
  clk_ms_t begun_at; /**< first byte of the answer's body; 0: none has come */
  clk_ms_t broke_at;
  bool unproved; /**< its answer may have been whole */
  bool answered; /**< the upstream has answered the question after the break */
} _crs_run_t;

/** A start of an upstream under which connections have broken. */
typedef struct
{
  char *key;
  char *upstream;
  uint64_t born;
  GQueue breaks; /**< _crs_run_t, oldest first */
  clk_ms_t last_at;
  uint64_t probe; /**< call that asks it; 0: none */
  clk_ms_t asked_at;
  bool silent; /**< nothing has answered, and this VM has heard nothing from
                    elsewhere since */
  bool ended;
  clk_ms_t ended_at;
} _crs_start_t;

/** Whom a call asks. */
typedef struct
{
  tbl_id_t id;
  char *key;
} _crs_probe_t;

/* -- set up --------------------------------------------------------------- */

static void
_crs_run_free (void *data)
{
  talloc_free (data);
}

static void
_crs_start_free (void *data)
{
  _crs_start_t *s = data;
  g_queue_clear_full (&s->breaks, _crs_run_free);
  talloc_free (s);
}

void
crs_watch_setup (crs_t *c)
{
  c->runs = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, NULL);
  c->starts
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, _crs_start_free);
  c->listed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  c->whole = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_queue_init (&c->whole_by_age);
  c->probes = tbl_setup (c, &(tbl_desc_t){ .size = sizeof (_crs_probe_t) });
}

void
crs_watch_destroy (crs_t *c)
{
  g_hash_table_destroy (c->runs);
  g_hash_table_destroy (c->starts);
  g_hash_table_destroy (c->listed);
  g_hash_table_destroy (c->whole);
  g_queue_clear (&c->whole_by_age);
}

/* -- whole answers -------------------------------------------------------- */

clk_ms_t
crs_whole_at (const crs_t *c, uint64_t subject)
{
  const crs_whole_t *w = g_hash_table_lookup (c->whole, &subject);
  return w == NULL ? 0 : w->at;
}

static void
_crs_whole_note (crs_t *c, const env_t *env, uint64_t subject)
{
  crs_whole_t *w = g_hash_table_lookup (c->whole, &subject);
  if (w == NULL && g_hash_table_size (c->whole) >= CRS_WHOLE_MAX)
    {
      crs_whole_t *oldest = g_queue_pop_head (&c->whole_by_age);
      g_hash_table_remove (c->whole, &oldest->subject);
      talloc_free (oldest);
    }
  if (w == NULL)
    {
      w = talloc_zero (c, crs_whole_t);
      w->subject = subject;
      g_hash_table_insert (c->whole, &w->subject, w);
    }
  else
    g_queue_delete_link (&c->whole_by_age, w->link);
  w->at = env->now;
  g_queue_push_tail (&c->whole_by_age, w);
  w->link = c->whole_by_age.tail;
}

/** Have the subjects of RUN that are counted set back: its upstream bears
 * them. */
static void
_crs_whole_report (crs_t *c, env_t *env, const _crs_run_t *run)
{
  uint64_t counted[CRS_SUBJECTS_MAX];
  size_t n = 0;
  for (size_t i = 0; i < run->subject_count; i++)
    {
      const crs_entry_t *e = crs_entry_find (c, run->subjects[i]);
      if (e != NULL && e->ends > 0 && env->now > e->end_at)
        counted[n++] = run->subjects[i];
    }
  if (n > 0)
    crs_whole_send (c, env, counted, n, env->now);
}

/** A whole answer to RUN has come. */
static void
_crs_whole (crs_t *c, env_t *env, const _crs_run_t *run)
{
  /* Few requests come again, and would crowd out the parts. */
  size_t parts = run->subject_count - run->has_request;
  for (size_t i = 0; i < parts; i++)
    _crs_whole_note (c, env, run->subjects[i]);
  _crs_whole_report (c, env, run);
}

/** Whether RUN's upstream had begun to answer long enough before AT to bear
 * the request. */
static bool
_crs_is_borne (const _crs_run_t *run, clk_ms_t at)
{
  return run->begun_at != 0 && at - run->begun_at >= CRS_BEGUN_MS;
}

/* -- ends ----------------------------------------------------------------- */

/** Log that the upstream S has ended under RUN. */
static void
_crs_end_log (env_t *env, const _crs_start_t *s, const _crs_run_t *run)
{
  size_t at = 0;
  for (size_t line = 0; line < CRS_LINES_MAX; line++)
    {
      GString *text = g_string_new (NULL);
      for (size_t i = 0; i < CRS_LINE_SUBJECTS && at < run->subject_count; i++)
        g_string_append_printf (text, "%s%016llx", i > 0 ? "," : "",
                                (unsigned long long)run->subjects[at++]);
      tln_record (env->tln, env->now, MOD_CRASH, "under",
                  "request=%s upstream=%s answered_ms=%lld subjects=%s",
                  run->request_id, s->upstream,
                  run->begun_at == 0
                      ? -1LL
                      : (long long)(run->broke_at - run->begun_at),
                  text->str);
      (void)g_string_free (text, TRUE);
      if (at >= run->subject_count)
        return;
    }
}

/** Report the end of S under those requests of RUNS that it had not borne. */
static void
_crs_end_report (crs_t *c, env_t *env, const _crs_start_t *s,
                 const GQueue *runs, bool certain)
{
  crs_groups_t groups
      = { .subjects = g_array_new (FALSE, FALSE, sizeof (uint64_t)),
          .counts = g_array_new (FALSE, FALSE, sizeof (guint)) };
  const _crs_run_t *first = runs->head->data;
  for (const GList *l = runs->head; l != NULL; l = l->next)
    {
      const _crs_run_t *run = l->data;
      guint count = (guint)run->subject_count;
      _crs_end_log (env, s, run);
      if (_crs_is_borne (run, run->broke_at))
        continue;
      g_array_append_vals (groups.subjects, run->subjects, count);
      g_array_append_val (groups.counts, count);
    }
  if (groups.counts->len > 0)
    crs_report_send (c, env,
                     &(crs_report_t){ .upstream = s->upstream,
                                      .born = s->born,
                                      .at = first->broke_at,
                                      .certain = certain,
                                      .groups = &groups });
  g_array_unref (groups.subjects);
  g_array_unref (groups.counts);
}

/** S has ended: what broke there ran under its end. */
static void
_crs_ended (crs_t *c, env_t *env, _crs_start_t *s, bool certain,
            const char *why)
{
  s->silent = false;
  if (g_queue_is_empty (&s->breaks))
    return;
  if (!s->ended)
    tln_record (env->tln, env->now, MOD_CRASH, "upstream-ended",
                "upstream=%s born=%llu requests=%u why=%s age_ms=%lld",
                s->upstream, (unsigned long long)s->born, s->breaks.length,
                why, (long long)(env->now - s->last_at));
  if (!s->ended)
    s->ended_at = env->now;
  s->ended = true;
  _crs_end_report (c, env, s, &s->breaks, certain);
  while (!g_queue_is_empty (&s->breaks))
    {
      _crs_run_t *run = g_queue_pop_head (&s->breaks);
      crs_permit_end (c, env, run->mod, run->tag, true);
      _crs_run_free (run);
    }
}

/** S has answered something that was sent at SENT_AT: what broke before says
 * nothing of it, and answers that ended by a close were whole. */
static void
_crs_lives (crs_t *c, env_t *env, _crs_start_t *s, clk_ms_t sent_at)
{
  s->silent = false;
  for (GList *l = s->breaks.head; l != NULL;)
    {
      GList *next = l->next;
      _crs_run_t *run = l->data;
      if (run->broke_at <= sent_at)
        {
          if (run->unproved)
            _crs_whole (c, env, run);
          crs_permit_end (c, env, run->mod, run->tag, true);
          g_queue_delete_link (&s->breaks, l);
          _crs_run_free (run);
        }
      l = next;
    }
}

/** S has answered the question that was asked at ASKED_AT.  It may have been
 * on its way out: if the list drops it soon, it has ended all the same. */
static void
_crs_probe_answered (crs_t *c, env_t *env, _crs_start_t *s)
{
  s->silent = false;
  for (const GList *l = s->breaks.head; l != NULL; l = l->next)
    {
      _crs_run_t *run = l->data;
      if (run->unproved || run->broke_at > s->asked_at)
        continue;
      run->answered = true;
      crs_permit_end (c, env, run->mod, run->tag, true);
    }
}

static void
_crs_unconnected (crs_t *c, env_t *env, _crs_start_t *s, bool refused)
{
  if (refused)
    _crs_ended (c, env, s, true, "refused");
  else if (c->heard_at >= s->last_at)
    _crs_ended (c, env, s, false, "silent");
  else
    s->silent = true;
}

void
crs_heard (crs_t *c, env_t *env)
{
  c->heard_at = env->now;
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, c->starts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((_crs_start_t *)value)->silent)
      _crs_ended (c, env, value, false, "silent");
}

/* -- starts --------------------------------------------------------------- */

static char *
_crs_key (void *ctx, const char *upstream, uint64_t born)
{
  return talloc_asprintf (ctx, "%s\n%llu", upstream, (unsigned long long)born);
}

static _crs_start_t *
_crs_start_of (const crs_t *c, const _crs_run_t *run)
{
  char *key = _crs_key (NULL, run->upstream, run->born);
  _crs_start_t *s = g_hash_table_lookup (c->starts, key);
  talloc_free (key);
  return s;
}

static _crs_start_t *
_crs_start_get (crs_t *c, const _crs_run_t *run)
{
  _crs_start_t *s = _crs_start_of (c, run);
  if (s != NULL)
    return s;
  s = talloc_zero (c, _crs_start_t);
  s->upstream = talloc_strdup (s, run->upstream);
  s->born = run->born;
  s->key = _crs_key (s, s->upstream, s->born);
  g_queue_init (&s->breaks);
  g_hash_table_insert (c->starts, s->key, s);
  return s;
}

/** End the permits of what broke at S, of which nothing was found out. */
static void
_crs_permits_end (crs_t *c, env_t *env, const _crs_start_t *s)
{
  for (const GList *l = s->breaks.head; l != NULL; l = l->next)
    {
      const _crs_run_t *run = l->data;
      crs_permit_end (c, env, run->mod, run->tag, true);
    }
}

/** Ask S, at which RUN broke, whether it lives. */
static void
_crs_probe (crs_t *c, env_t *env, _crs_start_t *s, const _crs_run_t *run)
{
  tbl_id_t id = s->probe == 0 ? tbl_alloc (c->probes) : (tbl_id_t){ 0 };
  _crs_probe_t *probe = tbl_get (c->probes, id);
  if (probe == NULL)
    return;
  *probe = (_crs_probe_t){ .id = id, .key = talloc_strdup (c, s->key) };
  s->asked_at = env->now;
  s->probe = upc_call (
      env, MOD_CRASH, id.id,
      &(fx_upstream_t){ .address = run->address,
                        .method = "GET",
                        .path = "/load",
                        .load_report = true,
                        .upstream = run->fixed_identity ? run->upstream : NULL,
                        .connect_ms = CRS_PROBE_CONNECT_MS,
                        .first_byte_ms = CRS_PROBE_MS,
                        .stall_ms = CRS_PROBE_MS,
                        .total_ms = CRS_PROBE_MS,
                        .fresh_connection = true });
  cnt_add (env->cnt, "rts_crash_probes_total", "", 1);
}

void
crs_upstream_event (crs_t *c, env_t *env, uint64_t tag, const ev_t *ev)
{
  _crs_probe_t *probe = tbl_get (c->probes, (tbl_id_t){ .id = tag });
  if (probe == NULL)
    return;
  _crs_start_t *s = g_hash_table_lookup (c->starts, probe->key);
  bool known = s != NULL && s->probe == ev->upstream.call;
  bool head = ev->kind == EV_UPSTREAM_HEAD;
  if (!head && ev->kind != EV_UPSTREAM_FAIL)
    return;
  if (head)
    upc_cancel (env, ev->upstream.call);
  talloc_free (probe->key);
  tbl_free (c->probes, probe->id);
  if (!known)
    return;
  s->probe = 0;
  /* 421 (Misdirected Request): another upstream has this address now. */
  if (head && ev->upstream.status == 421)
    _crs_ended (c, env, s, true, "replaced");
  else if (head)
    _crs_probe_answered (c, env, s);
  else if (ev->upstream.fail == EV_FAIL_NOT_SENT && !ev->upstream.path_failed)
    _crs_unconnected (c, env, s, ev->upstream.refused);
  else
    _crs_permits_end (c, env, s);
}

/* -- requests ------------------------------------------------------------- */

void
crs_run_begin (crs_t *c, env_t *env, uint64_t handle, const crs_run_t *run)
{
  const crs_query_t *q = &run->query;
  crs_permit_t *p = crs_permit_find (c, q->mod, q->tag);
  if (p != NULL)
    p->in_use = true;
  if (q->subject_count == 0)
    return;
  _crs_run_t *r = talloc_zero (c, _crs_run_t);
  r->handle = handle;
  r->upstream = talloc_strdup (r, run->upstream);
  r->born = run->born;
  r->address = talloc_strdup (r, run->address);
  r->request_id = talloc_strdup (r, q->request_id);
  r->fixed_identity = run->fixed_identity;
  r->mod = q->mod;
  r->tag = q->tag;
  r->subject_count = MIN (q->subject_count, CRS_SUBJECTS_MAX);
  r->subjects
      = talloc_memdup (r, q->subjects, r->subject_count * sizeof (uint64_t));
  r->has_request = q->has_request;
  r->sent_at = env->now;
  g_hash_table_insert (c->runs, &r->handle, r);
}

void
crs_run_head (crs_t *c, env_t *env, uint64_t handle)
{
  const _crs_run_t *run = g_hash_table_lookup (c->runs, &handle);
  c->heard_at = env->now;
  if (run == NULL || g_hash_table_size (c->starts) == 0)
    return;
  _crs_start_t *s = _crs_start_of (c, run);
  if (s != NULL)
    _crs_lives (c, env, s, run->sent_at);
}

void
crs_run_progress (crs_t *c, env_t *env, uint64_t handle)
{
  _crs_run_t *run = g_hash_table_lookup (c->runs, &handle);
  if (run == NULL)
    return;
  if (run->begun_at == 0)
    run->begun_at = env->now;
  if (!_crs_is_borne (run, env->now) || g_hash_table_size (c->entries) == 0)
    return;
  _crs_whole_report (c, env, run);
  crs_permit_end (c, env, run->mod, run->tag, true);
}

/** Whether the list names the start S. */
static bool
_crs_is_listed (const crs_t *c, const _crs_start_t *s)
{
  const uint64_t *born = g_hash_table_lookup (c->listed, s->upstream);
  return born != NULL && *born == s->born;
}

/** Keep RUN as a break of its upstream's start. */
static void
_crs_break (crs_t *c, env_t *env, _crs_run_t *run, bool unproved)
{
  _crs_start_t *s = _crs_start_get (c, run);
  run->unproved = unproved;
  run->broke_at = env->now;
  if (!unproved || s->last_at == 0)
    s->last_at = env->now;
  if (s->breaks.length >= CRS_BREAKS_MAX)
    {
      _crs_run_t *oldest = g_queue_pop_head (&s->breaks);
      crs_permit_end (c, env, oldest->mod, oldest->tag, true);
      _crs_run_free (oldest);
    }
  g_queue_push_tail (&s->breaks, run);
  crs_tick_arm (c, env);
  if (s->ended && env->now - s->ended_at > CRS_SAME_END_MS)
    s->ended = false;
  if (s->ended)
    _crs_ended (c, env, s, false, "ended-before");
  else if (!unproved && !_crs_is_listed (c, s))
    _crs_ended (c, env, s, true, "not-listed");
  else if (!unproved)
    _crs_probe (c, env, s, run);
}

void
crs_run_end (crs_t *c, env_t *env, uint64_t handle, crs_end_t how)
{
  _crs_run_t *run = g_hash_table_lookup (c->runs, &handle);
  if (run == NULL)
    return;
  g_hash_table_remove (c->runs, &handle);
  if (how == CRS_END_CLOSED || how == CRS_END_UNPROVED)
    {
      _crs_break (c, env, run, how == CRS_END_UNPROVED);
      return;
    }
  if (how == CRS_END_WHOLE)
    _crs_whole (c, env, run);
  bool reached = how != CRS_END_UNSENT && how != CRS_END_MISDIRECTED;
  crs_permit_end (c, env, run->mod, run->tag, reached);
  _crs_start_t *s = how == CRS_END_UNSENT ? _crs_start_of (c, run) : NULL;
  if (s != NULL && run->sent_at >= s->last_at)
    _crs_unconnected (c, env, s, false);
  _crs_run_free (run);
}

bool
crs_is_checking (const crs_t *c, mod_t mod, uint64_t tag)
{
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, c->starts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const _crs_start_t *s = value;
      for (const GList *l = s->probe == 0 ? NULL : s->breaks.head; l != NULL;
           l = l->next)
        {
          const _crs_run_t *run = l->data;
          if (run->mod == mod && run->tag == tag)
            return true;
        }
    }
  return false;
}

/* -- the list, and what lapses -------------------------------------------- */

void
crs_listed_begin (crs_t *c)
{
  g_hash_table_remove_all (c->listed);
}

void
crs_list_read (crs_t *c, clk_ms_t at)
{
  c->list_read_at = at;
}

void
crs_listed (crs_t *c, const char *upstream, uint64_t born)
{
  g_hash_table_replace (c->listed, g_strdup (upstream),
                        g_memdup2 (&born, sizeof born));
}

void
crs_listed_end (crs_t *c, env_t *env)
{
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, c->starts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      _crs_start_t *s = value;
      if (!_crs_is_listed (c, s))
        _crs_ended (c, env, s, true, "not-listed");
    }
}

/** Drop breaks of S of which nothing was found out in time. */
static void
_crs_breaks_lapse (crs_t *c, env_t *env, _crs_start_t *s)
{
  for (_crs_run_t *run = g_queue_peek_head (&s->breaks);
       run != NULL
       && env->now - run->broke_at
              >= (run->answered ? CRS_ANSWERED_MS : CRS_BREAK_MS);
       run = g_queue_peek_head (&s->breaks))
    {
      (void)g_queue_pop_head (&s->breaks);
      crs_permit_end (c, env, run->mod, run->tag, true);
      _crs_run_free (run);
    }
}

void
crs_watch_sweep (crs_t *c, env_t *env)
{
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, c->starts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      _crs_start_t *s = value;
      _crs_breaks_lapse (c, env, s);
      if (g_queue_is_empty (&s->breaks) && s->probe == 0
          && env->now - s->last_at >= CRS_BREAK_MS)
        g_hash_table_iter_remove (&iter);
    }
}

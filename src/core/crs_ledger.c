/** @file
 * Crashes: counts of ends of upstreams for each subject, permits and trials.
 * Every VM has such counts; those of the ledger go before the others'.
 */
#include "core/crs_int.h"

#include <string.h>

/** Time after which a subject under which nothing has ended is forgotten. */
#define CRS_KEEP_MS CLK_HOUR
/** Most ends that are remembered, and for how long, so that the reports of
 * several VMs about one end count once. */
#define CRS_RECORDS_MAX 256
#define CRS_RECORD_MS (10 * CLK_MINUTE)
/** Time after which an end without certain evidence does not count if the
 * list still names the start. */
#define CRS_DOUBT_MS (10 * CLK_SECOND)
/** Time for which the list must name it then. */
#define CRS_SETTLE_MS (5 * CLK_SECOND)
/** Time before the first trial of a blocked subject; four times as long before
 * each further one. */
#define CRS_TRIAL_MS CLK_SECOND
/** By how much later a request may be a trial of several blocked subjects,
 * which says less. */
#define CRS_JOINT_MS (10 * CLK_SECOND)
/** When it is worth to come back while a trial runs. */
#define CRS_BUSY_MS (CLK_SECOND / 2)
/** After it became the ledger, a VM waits this long with trials: the one
 * before may have granted some. */
#define CRS_TAKE_OVER_MS CLK_SECOND

/* -- entries -------------------------------------------------------------- */

crs_entry_t *
crs_entry_find (const crs_t *c, uint64_t subject)
{
  return g_hash_table_lookup (c->entries, &subject);
}

void
crs_entry_drop (crs_t *c, uint64_t subject)
{
  crs_entry_t *e = crs_entry_find (c, subject);
  if (e == NULL)
    return;
  g_hash_table_remove (c->entries, &subject);
  talloc_free (e);
}

/** Drops the entry with the fewest ends, and of these the oldest. */
static void
_crs_entry_evict (crs_t *c)
{
  const crs_entry_t *least = NULL;
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, c->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const crs_entry_t *e = value;
      if (least == NULL || e->ends < least->ends
          || (e->ends == least->ends && e->end_at < least->end_at))
        least = e;
    }
  if (least != NULL)
    crs_entry_drop (c, least->subject);
}

crs_entry_t *
crs_entry_get (crs_t *c, uint64_t subject)
{
  crs_entry_t *e = crs_entry_find (c, subject);
  if (e != NULL)
    return e;
  if (g_hash_table_size (c->entries) >= CRS_ENTRIES_MAX)
    _crs_entry_evict (c);
  e = talloc_zero (c, crs_entry_t);
  e->subject = subject;
  g_hash_table_insert (c->entries, &e->subject, e);
  return e;
}

static bool
_crs_is_blocked (const crs_entry_t *e)
{
  return e != NULL && e->ends >= CRS_BLOCK_ENDS;
}

/** The pause before the next trial of E. */
static clk_ms_t
_crs_trial_pause (const crs_entry_t *e)
{
  return CRS_TRIAL_MS << (2 * MIN (e->trials, CRS_TRIALS_MAX));
}

/** E has changed; others act on it only if it is or was suspected, and note
 * that it is counted so that they say when an answer with it was whole. */
static void
_crs_entry_changed (crs_t *c, env_t *env, crs_entry_t *e)
{
  e->untold = true;
  crs_tell_arm (c, env);
}

/* -- ends ----------------------------------------------------------------- */

void
crs_record_free (crs_record_t *r)
{
  g_hash_table_destroy (r->subjects);
  talloc_free (r);
}

/** The record of the end of REPORT; NULL: there is none yet. */
static crs_record_t *
_crs_record_find (const crs_t *c, const crs_report_t *report)
{
  for (const GList *l = c->records.tail; l != NULL; l = l->prev)
    {
      crs_record_t *r = l->data;
      clk_ms_t apart = report->at - r->at;
      if (r->born == report->born
          && strcmp (r->upstream, report->upstream) == 0
          && apart <= CRS_SAME_END_MS)
        return r;
    }
  return NULL;
}

static crs_record_t *
_crs_record_get (crs_t *c, env_t *env, const crs_report_t *report)
{
  crs_record_t *r = _crs_record_find (c, report);
  if (r != NULL)
    return r;
  if (c->records.length >= CRS_RECORDS_MAX)
    crs_record_free (g_queue_pop_head (&c->records));
  r = talloc_zero (c, crs_record_t);
  r->upstream = talloc_strdup (r, report->upstream);
  r->born = report->born;
  r->at = report->at;
  r->subjects
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  g_queue_push_tail (&c->records, r);
  cnt_add (env->cnt, "rts_crash_ends_total", "", 1);
  return r;
}

/** Takes back that SUBJECT was counted for R. */
static void
_crs_uncount (crs_t *c, env_t *env, const crs_record_t *r, uint64_t subject)
{
  crs_entry_t *e = crs_entry_find (c, subject);
  if (e == NULL || e->ends == 0 || r->at < e->first_at)
    return;
  e->ends--;
  _crs_entry_changed (c, env, e);
}

/** Takes back all that was counted for R, except blocked subjects if
 * KEEP_BLOCKED. */
static void
_crs_record_uncount (crs_t *c, env_t *env, const crs_record_t *r,
                     bool keep_blocked)
{
  GHashTableIter iter;
  void *key;
  g_hash_table_iter_init (&iter, r->subjects);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (!keep_blocked
        || !_crs_is_blocked (crs_entry_find (c, *(uint64_t *)key)))
      _crs_uncount (c, env, r, *(uint64_t *)key);
}

/** Counts SUBJECT for R, once. */
static void
_crs_count (crs_t *c, env_t *env, crs_record_t *r, uint64_t subject)
{
  if (!g_hash_table_add (r->subjects, g_memdup2 (&subject, sizeof subject)))
    return;
  crs_entry_t *e = crs_entry_get (c, subject);
  if (e->ends == 0)
    {
      e->first_at = r->at;
      e->trials = 0;
    }
  e->ends++;
  e->end_at = clk_max (e->end_at, r->at);
  if (e->ends == CRS_BLOCK_ENDS)
    e->trial_at = env->now + CRS_TRIAL_MS;
  _crs_entry_changed (c, env, e);
  if (e->ends >= CRS_SUSPECT_ENDS)
    tln_record (env->tln, env->now, MOD_CRASH,
                _crs_is_blocked (e) ? "blocked" : "suspected",
                "subject=%016llx ends=%u trials=%u upstream=%s born=%llu "
                "age_ms=%lld",
                (unsigned long long)subject, e->ends, e->trials, r->upstream,
                (unsigned long long)r->born, (long long)(env->now - r->at));
  /* It may have been in a whole answer here since. */
  if (crs_whole_at (c, subject) > e->end_at)
    crs_ledger_whole (c, env, subject, crs_whole_at (c, subject), "own");
}

/** Whether a subject of GROUPS is blocked. */
static bool
_crs_groups_blocked (const crs_t *c, const crs_groups_t *groups)
{
  for (guint i = 0; i < groups->subjects->len; i++)
    if (_crs_is_blocked (
            crs_entry_find (c, g_array_index (groups->subjects, uint64_t, i))))
      return true;
  return false;
}

void
crs_ledger_count (crs_t *c, env_t *env, const crs_report_t *report)
{
  crs_record_t *r = _crs_record_get (c, env, report);
  const GArray *subjects = report->groups->subjects;
  r->certain = r->certain || report->certain;
  if (!r->explained && _crs_groups_blocked (c, report->groups))
    {
      r->explained = true;
      _crs_record_uncount (c, env, r, true);
    }
  for (guint i = 0; i < subjects->len; i++)
    {
      uint64_t subject = g_array_index (subjects, uint64_t, i);
      if (!r->explained || _crs_is_blocked (crs_entry_find (c, subject)))
        _crs_count (c, env, r, subject);
    }
}

void
crs_ledger_whole (crs_t *c, env_t *env, uint64_t subject, clk_ms_t at,
                  const char *source)
{
  crs_entry_t *e = crs_entry_find (c, subject);
  if (e == NULL || e->ends == 0 || at <= e->end_at)
    return;
  if (e->ends >= CRS_SUSPECT_ENDS)
    tln_record (env->tln, env->now, MOD_CRASH, "cleared",
                "subject=%016llx ends=%u trials=%u age_ms=%lld source=%s",
                (unsigned long long)subject, e->ends, e->trials,
                (long long)(env->now - at), source);
  *e = (crs_entry_t){ .subject = subject, .end_at = at };
  if (c->ledger_since == CLK_NEVER)
    crs_entry_drop (c, subject);
  else
    _crs_entry_changed (c, env, e);
}

/* -- permits and trials --------------------------------------------------- */

/** What the subjects of a request that count are. */
typedef struct
{
  bool needs;       /**< one needs a permit */
  bool busy;        /**< and another request uses it */
  uint32_t blocked; /**< number of blocked ones */
} _crs_look_t;

/** The entry of SUBJECT if it counts for QUERY; NULL: it does not. */
static crs_entry_t *
_crs_counting (const crs_t *c, const crs_query_t *query, uint64_t subject)
{
  crs_entry_t *e = crs_entry_find (c, subject);
  uint32_t ends = query->has_ended_one ? 1 : CRS_SUSPECT_ENDS;
  return e != NULL && e->ends >= ends ? e : NULL;
}

static _crs_look_t
_crs_subjects_look (const crs_t *c, const env_t *env, const crs_query_t *query)
{
  _crs_look_t look = { 0 };
  for (size_t i = 0; i < query->subject_count; i++)
    {
      const crs_entry_t *e = _crs_counting (c, query, query->subjects[i]);
      if (e == NULL)
        continue;
      look.needs = true;
      look.busy = look.busy || env->now < e->busy_until;
      look.blocked += _crs_is_blocked (e);
    }
  return look;
}

/** When a trial of E may begin, of COUNT blocked subjects together; CLK_NEVER:
 * none may.  A joint trial leaves one for the subject alone. */
static clk_ms_t
_crs_trial_at (const crs_t *c, const crs_entry_t *e, uint32_t count)
{
  clk_ms_t at = e->trial_at;
  if (e->trials + (count > 1) >= CRS_TRIALS_MAX)
    return CLK_NEVER;
  if (c->ledger_since != CLK_NEVER)
    at = clk_max (at, c->ledger_since + CRS_TAKE_OVER_MS);
  return count > 1 ? at + CRS_JOINT_MS : at;
}

/** How long a request with BLOCKED blocked subjects is to be kept away; 0: it
 * may be a trial. */
static clk_ms_t
_crs_blocked_ms (const crs_t *c, const env_t *env, const crs_query_t *query,
                 uint32_t blocked)
{
  clk_ms_t wait = 0;
  for (size_t i = 0; i < query->subject_count; i++)
    {
      const crs_entry_t *e = crs_entry_find (c, query->subjects[i]);
      if (!_crs_is_blocked (e))
        continue;
      clk_ms_t at = _crs_trial_at (c, e, blocked);
      if (at == CLK_NEVER)
        at = e->end_at + CRS_KEEP_MS;
      wait = clk_max (wait, at - env->now);
    }
  return wait;
}

crs_verdict_t
crs_ledger_look (const crs_t *c, const env_t *env, const crs_query_t *query,
                 bool *free, clk_ms_t *wait_ms)
{
  _crs_look_t look = _crs_subjects_look (c, env, query);
  *free = !look.needs;
  *wait_ms = CRS_ASK_MS;
  if (look.blocked == 0)
    return look.busy ? CRS_WAIT : CRS_SEND;
  *wait_ms = _crs_blocked_ms (c, env, query, look.blocked);
  if (*wait_ms > 0)
    return CRS_REFUSE;
  *wait_ms = CRS_BUSY_MS;
  return look.busy ? CRS_REFUSE : CRS_SEND;
}

crs_verdict_t
crs_ledger_ask (crs_t *c, env_t *env, uint64_t number,
                const crs_query_t *query, clk_ms_t *wait_ms)
{
  bool free = false;
  crs_verdict_t verdict = crs_ledger_look (c, env, query, &free, wait_ms);
  if (verdict != CRS_SEND || free)
    return verdict;
  for (size_t i = 0; i < query->subject_count; i++)
    {
      crs_entry_t *e = _crs_counting (c, query, query->subjects[i]);
      if (e == NULL)
        continue;
      e->busy_until = env->now + query->permit_ms;
      e->permit = number;
      if (_crs_is_blocked (e))
        {
          e->trials++;
          tln_record (env->tln, env->now, MOD_CRASH, "trial",
                      "subject=%016llx ends=%u trials=%u",
                      (unsigned long long)e->subject, e->ends, e->trials);
        }
      _crs_entry_changed (c, env, e);
    }
  return CRS_SEND;
}

void
crs_ledger_done (crs_t *c, env_t *env, uint64_t number, bool sent)
{
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, c->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      crs_entry_t *e = value;
      if (e->permit != number || e->busy_until == 0)
        continue;
      e->busy_until = 0;
      e->permit = 0;
      if (!sent && e->trials > 0)
        e->trials--;
      if (_crs_is_blocked (e))
        e->trial_at = env->now + (sent ? _crs_trial_pause (e) : 0);
      _crs_entry_changed (c, env, e);
    }
}

/* -- what lapses ---------------------------------------------------------- */

/** Whether R, which was not certain, turns out to be no end: lists that were
 * read long enough after it name the start, and go on to.  The first one after
 * an outage may still hold entries that are gone. */
static bool
_crs_record_refuted (const crs_t *c, const env_t *env, crs_record_t *r)
{
  const uint64_t *born = g_hash_table_lookup (c->listed, r->upstream);
  bool listed = c->list_read_at >= r->at + CRS_DOUBT_MS && born != NULL
                && *born == r->born;
  if (!listed)
    r->listed_since = 0;
  else if (r->listed_since == 0)
    r->listed_since = env->now;
  return listed && env->now - r->listed_since >= CRS_SETTLE_MS;
}

static void
_crs_records_sweep (crs_t *c, env_t *env)
{
  for (GList *l = c->records.head; l != NULL;)
    {
      crs_record_t *r = l->data;
      GList *next = l->next;
      clk_ms_t age = env->now - r->at;
      bool refuted = false;
      if (!r->certain && age >= CRS_DOUBT_MS)
        refuted = _crs_record_refuted (c, env, r);
      if (refuted)
        {
          tln_record (env->tln, env->now, MOD_CRASH, "refuted",
                      "upstream=%s born=%llu age_ms=%lld subjects=%u",
                      r->upstream, (unsigned long long)r->born, (long long)age,
                      g_hash_table_size (r->subjects));
          _crs_record_uncount (c, env, r, false);
        }
      if (refuted || age >= CRS_RECORD_MS)
        {
          g_queue_delete_link (&c->records, l);
          crs_record_free (r);
        }
      l = next;
    }
}

void
crs_ledger_sweep (crs_t *c, env_t *env)
{
  _crs_records_sweep (c, env);
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, c->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      crs_entry_t *e = value;
      bool stale = e->ends == 0 && c->ledger_since == CLK_NEVER;
      if (!stale && env->now - e->end_at < CRS_KEEP_MS)
        continue;
      g_hash_table_iter_remove (&iter);
      talloc_free (e);
    }
}

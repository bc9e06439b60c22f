#include "core/lim_share_int.h"
#include "core/mpk.h"

#include <string.h>
#include <talloc.h>

#define LSH_SHORT_LIFE_MS_DEFAULT (6 * CLK_SECOND)
#define LSH_LONG_LIFE_MS_DEFAULT (2 * CLK_HOUR)
#define LSH_LOAN_MAX_MS_DEFAULT (1 * CLK_SECOND)
#define LSH_LONG_PERCENT_DEFAULT 25
#define LSH_MINTERS_DEFAULT 2
#define LSH_SUSPECT_MS_DEFAULT (3 * CLK_SECOND)

lsh_t *
lsh_setup (void *ctx, const lsh_desc_t *desc)
{
  lsh_t *s = talloc_zero (ctx, lsh_t);
  s->desc = *desc;
  lsh_desc_t *d = &s->desc;
  if (d->short_life_ms == 0)
    d->short_life_ms = LSH_SHORT_LIFE_MS_DEFAULT;
  if (d->long_life_ms == 0)
    d->long_life_ms = LSH_LONG_LIFE_MS_DEFAULT;
  if (d->loan_max_ms == 0)
    d->loan_max_ms = LSH_LOAN_MAX_MS_DEFAULT;
  if (d->long_percent == 0)
    d->long_percent = LSH_LONG_PERCENT_DEFAULT;
  if (d->minters == 0)
    d->minters = LSH_MINTERS_DEFAULT;
  if (d->minters > LLI_MINTERS_MAX)
    d->minters = LLI_MINTERS_MAX;
  if (d->suspect_ms == 0)
    d->suspect_ms = LSH_SUSPECT_MS_DEFAULT;
  s->change_wanted_at = CLK_NEVER;
  s->long_change_wanted_at = CLK_NEVER;
  s->writers_gone_at = CLK_NEVER;
  return s;
}

void
lsh_shutdown (lsh_t *s)
{
  talloc_free (s);
}

void
lsh_set_data_centres (lsh_t *s, const char *const *names, size_t count)
{
  if (count > LLI_DATA_CENTRES_MAX)
    count = LLI_DATA_CENTRES_MAX;
  talloc_free (s->data_centres);
  s->data_centres = talloc_array (s, const char *, count);
  s->data_centre_count = count;
  for (size_t i = 0; i < count; i++)
    s->data_centres[i] = talloc_strdup (s->data_centres, names[i]);
}

void
lsh_start (lsh_t *s, env_t *env)
{
  s->started_at = env->now;
  s->request_number = env_number_base (env);
  s->promise_round = s->request_number;
  s->object = talloc_asprintf (s, LSH_OBJECT_PREFIX "%s", env->data_centre);
  lsh_reads_start (s, env);
}

/* ---- the object ---- */

/* Adopt newer lists.  Their writer waited until all rights under the lists
 * before the previous ones had ended, so VMs can hold rights only under the
 * old and the new list of this object. */
static void
_lsh_adopt (lsh_t *s, env_t *env, lli_t *lists)
{
  bool first = s->lists == NULL;
  if (first || lists->short_revision != s->lists->short_revision)
    s->short_seen_at = env->now;
  if (first || lists->long_revision != s->lists->long_revision)
    s->long_seen_at = env->now;
  /* No VM had a right before the first list. */
  if (lists->short_revision == 1)
    s->short_seen_at = env->now - lsh_settled_ms (s, s->desc.short_life_ms);
  if (lists->long_revision == 1)
    s->long_seen_at = env->now - lsh_settled_ms (s, s->desc.long_life_ms);
  talloc_free (s->lists);
  s->lists = talloc_steal (s, lists);
  s->lists_generation++;
  s->change_wanted_at = CLK_NEVER;
  s->promised_until = 0;
  s->missing_promises = 0;
  tln_record (env->tln, env->now, MOD_LIMIT, "shares", "version=%lu vms=%lu",
              (unsigned long)lists->version, (unsigned long)lists->count);
  cnt_set (env->cnt, "rts_limit_shares_version", "", (double)lists->version);
}

bool
lsh_lists_receive (lsh_t *s, env_t *env, uint64_t version, buf_t value)
{
  uint64_t known = s->lists ? s->lists->version : 0;
  if (version < known)
    {
      cnt_add (env->cnt, "rts_limit_stale_shares_total", "", 1);
      return false;
    }
  if (version == known)
    return true;
  lli_t *lists = lli_decode (s, version, value);
  if (lists == NULL)
    {
      cnt_add (env->cnt, "rts_limit_bad_shares_total", "", 1);
      return false;
    }
  _lsh_adopt (s, env, lists);
  return true;
}

void
lsh_rights_confirm (lsh_t *s, clk_ms_t sent, bool by_platform)
{
  s->short_until = clk_max (s->short_until, sent + s->desc.short_life_ms);
  clk_ms_t long_life
      = by_platform ? s->desc.long_life_ms : s->desc.short_life_ms;
  s->long_until = clk_max (s->long_until, sent + long_life);
}

/* ---- rights ---- */

static unsigned
_lsh_rights_at (const lsh_t *s, clk_ms_t now)
{
  unsigned rights = 0;
  /* Loans by the previous process of this VM must end first. */
  if (s->lists == NULL
      || now < s->started_at + lsh_with_drift (s->desc.loan_max_ms))
    return 0;
  if (now < s->short_until)
    rights |= LSH_SHORT;
  if (now < s->long_until)
    rights |= LSH_LONG;
  if (lsh_short_is_settled (s, now))
    rights |= LSH_SHORT_NEW;
  if (lsh_long_is_settled (s, now))
    rights |= LSH_LONG_NEW;
  return rights;
}

bool
lsh_rights_update (lsh_t *s, env_t *env, clk_ms_t *since)
{
  unsigned rights = _lsh_rights_at (s, env->now);
  if (rights == s->rights && s->lists_generation == s->updated_generation)
    return false;
  unsigned lost = s->rights & ~rights;
  *since = env->now;
  if (lost & LSH_SHORT)
    *since = clk_min (*since, s->short_until);
  if (lost & LSH_LONG)
    *since = clk_min (*since, s->long_until);
  if ((lost | (rights & ~s->rights)) & LSH_SHORT)
    {
      tln_record (env->tln, env->now, MOD_LIMIT,
                  rights & LSH_SHORT ? "mint-right" : "mint-right-lapsed",
                  "version=%lu", (unsigned long)lsh_lists_version (s));
      cnt_add (env->cnt, "rts_limit_rights_total",
               rights & LSH_SHORT ? "change=\"gained\"" : "change=\"lapsed\"",
               1);
    }
  cnt_set (env->cnt, "rts_limit_rights", "list=\"short\"",
           (rights & LSH_SHORT) != 0);
  cnt_set (env->cnt, "rts_limit_rights", "list=\"long\"",
           (rights & LSH_LONG) != 0);
  s->rights = rights;
  s->updated_generation = s->lists_generation;
  return true;
}

static uint32_t
_lsh_smaller_part (const lsh_t *s, const char *vm, const char *customer,
                   uint8_t new_bit, uint8_t old_bit, bool new_alone,
                   uint32_t total)
{
  uint32_t part
      = lli_part (s->lists, vm, customer, s->desc.minters, new_bit, total);
  if (new_alone || part == 0)
    return part;
  uint32_t old
      = lli_part (s->lists, vm, customer, s->desc.minters, old_bit, total);
  return old < part ? old : part;
}

uint32_t
lsh_parts (const lsh_t *s, const env_t *env, const char *customer)
{
  uint32_t parts = 0;
  if (s->lists == NULL)
    return 0;
  const char *home = lli_home (s->lists, customer);
  bool at_home = home != NULL && strcmp (home, env->data_centre) == 0;
  uint32_t part = at_home ? s->lists->home_part : s->lists->other_part;
  uint32_t by_long = part / 100 * s->desc.long_percent;
  if (s->rights & LSH_SHORT)
    parts += _lsh_smaller_part (s, env->vm, customer, LLI_IN_SHORT,
                                LLI_IN_SHORT_OLD, s->rights & LSH_SHORT_NEW,
                                part - by_long);
  if (s->rights & LSH_LONG)
    parts += _lsh_smaller_part (s, env->vm, customer, LLI_IN_LONG,
                                LLI_IN_LONG_OLD, s->rights & LSH_LONG_NEW,
                                by_long);
  return parts;
}

const char *
lsh_home (const lsh_t *s, const char *customer)
{
  return s->lists ? lli_home (s->lists, customer) : NULL;
}

unsigned
lsh_rights (const lsh_t *s)
{
  return s->rights;
}

bool
lsh_is_new_fleet (const lsh_t *s)
{
  return s->saw_no_lists && s->lists != NULL && s->lists->short_revision == 1
         && s->lists->long_revision == 1;
}

uint64_t
lsh_lists_version (const lsh_t *s)
{
  return s->lists ? s->lists->version : 0;
}

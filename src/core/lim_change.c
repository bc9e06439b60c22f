/** @file
 * Limit shares (prefix lsh_): creation and replacement of the lists of VMs
 * that divide a data centre's part.
 */
#include "core/lim_share_int.h"

#include <string.h>
#include <talloc.h>

/* Up to this fleet size the data centres divide the total evenly. */
#define LSH_EVEN_VMS_MAX 16

/* In a larger fleet a data centre keeps this percentage of an even part of a
 * customer whose home is another data centre. */
#define LSH_OTHER_PERCENT 40

/* A writer waits this long for each writer before it on the list, so that two
 * seldom write at once. */
#define LSH_WRITER_DELAY_MS (1 * CLK_SECOND)

/* The long list changes only after a difference has lasted this long, because
 * the next change must wait until the rights under this one have ended. */
#define LSH_LONG_STEADY_MS (10 * CLK_MINUTE)

static void
_lsh_write (lsh_t *s, env_t *env, const lli_t *lists, uint64_t if_version)
{
  buf_t value = lli_encode (s, lists);
  s->writing = true;
  cnt_add (env->cnt, "rts_limit_shares_writes_total", "", 1);
  plt_call (env, &(plt_req_t){ .mod = MOD_LIMIT,
                               .tag = LSH_TAG | LSH_CALL_WRITE,
                               .op = FX_PLATFORM_PUT,
                               .name = s->object,
                               .if_version = if_version,
                               .value = value });
  talloc_free ((void *)(uintptr_t)value.p);
}

/* Whether VM may be on this data centre's lists. */
static bool
_lsh_is_candidate (const mbr_vm_t *vm, const env_t *env)
{
  return vm != NULL && strcmp (vm->data_centre, env->data_centre) == 0
         && !vm->leaving && !vm->worker;
}

/* Whether VM NAME should be on the lists: it is known and answers, or has been
 * silent for less than suspect_ms. */
static bool
_lsh_should_mint (const lsh_t *s, const env_t *env, const char *name)
{
  const mbr_vm_t *vm = mbr_vm_find (s->desc.members, name);
  if (!_lsh_is_candidate (vm, env))
    return false;
  return vm->up || env->now - vm->down_since < s->desc.suspect_ms;
}

/* The lists as they should be, owned by S; NULL when nothing is to change.
 * Nothing changes when more than half of the short list would be removed: then
 * this VM is more likely to be the one that is cut off. */
static lli_t *
_lsh_wanted_lists (lsh_t *s, env_t *env)
{
  lli_t *next = lli_copy (s, s->lists);
  for (size_t i = 0; i < mbr_vm_count (s->desc.members); i++)
    {
      const mbr_vm_t *vm = mbr_vm_get (s->desc.members, i);
      if (_lsh_is_candidate (vm, env) && vm->up
          && lli_index (next, vm->name) == next->count)
        lli_append (next, vm->name, 0);
    }
  bool wanted[LLI_VMS_MAX];
  size_t staying = 0;
  size_t before = 0;
  for (size_t i = 0; i < next->count; i++)
    {
      wanted[i] = _lsh_should_mint (s, env, next->vms[i]);
      before += (next->list_bits[i] & LLI_IN_SHORT) != 0;
      staying += (next->list_bits[i] & LLI_IN_SHORT) && wanted[i];
    }
  bool majority = 2 * staying >= before || before == 0;
  bool changed = false;
  if (majority && lsh_short_is_settled (s, env->now)
      && lli_replace (next, wanted, LLI_IN_SHORT, LLI_IN_SHORT_OLD) > 0)
    {
      next->short_revision++;
      changed = true;
    }
  if (!majority || !lli_differs (next, wanted, LLI_IN_LONG))
    s->long_change_wanted_at = CLK_NEVER;
  else
    s->long_change_wanted_at = clk_min (s->long_change_wanted_at, env->now);
  if (s->long_change_wanted_at != CLK_NEVER
      && env->now >= s->long_change_wanted_at + LSH_LONG_STEADY_MS
      && lsh_long_is_settled (s, env->now)
      && lli_replace (next, wanted, LLI_IN_LONG, LLI_IN_LONG_OLD) > 0)
    {
      next->long_revision++;
      changed = true;
    }
  if (changed)
    return next;
  talloc_free (next);
  return NULL;
}

/* Note since when the platform lists none of the writers. */
static void
_lsh_note_writers (lsh_t *s, const env_t *env)
{
  const char *writers[LLI_WRITERS_MAX];
  size_t n = lli_writers (s->lists, writers);
  bool any = false;
  for (size_t i = 0; i < n; i++)
    {
      const mbr_vm_t *vm = mbr_vm_find (s->desc.members, writers[i]);
      any = any || (vm != NULL && vm->listed);
    }
  s->writers_gone_at
      = any ? CLK_NEVER : clk_min (s->writers_gone_at, env->now);
}

/* Whether any VM may replace the lists in place of the writers: all writers
 * have been gone for longer than they can make promises. */
static bool
_lsh_any_may_write (const lsh_t *s, const env_t *env)
{
  return s->writers_gone_at != CLK_NEVER
         && env->now >= s->writers_gone_at
                            + lsh_settled_ms (s, s->desc.long_life_ms);
}

static bool
_lsh_may_write (const lsh_t *s, const env_t *env, size_t index)
{
  clk_ms_t promise_ms = lsh_with_drift (s->desc.short_life_ms);
  return (index < LLI_WRITERS_MAX || _lsh_any_may_write (s, env))
         && !s->writing && s->unknown_write_version != s->lists->version
         && env->now >= s->promised_until
         /* Promises by the previous process of this VM have ended. */
         && env->now >= s->started_at + promise_ms
         && env->now < s->good_read_sent + s->desc.short_life_ms;
}

void
lsh_lists_check (lsh_t *s, env_t *env)
{
  if (s->lists == NULL)
    return;
  _lsh_note_writers (s, env);
  size_t index = lli_writer_index (s->lists, env->vm);
  if (!_lsh_may_write (s, env, index))
    return;
  lli_t *next = _lsh_wanted_lists (s, env);
  if (next == NULL)
    {
      s->change_wanted_at = CLK_NEVER;
      return;
    }
  s->change_wanted_at = clk_min (s->change_wanted_at, env->now);
  if (env->now >= s->change_wanted_at + (clk_ms_t)index * LSH_WRITER_DELAY_MS)
    _lsh_write (s, env, next, s->lists->version);
  talloc_free (next);
}

/* Divide the total between the data centres of the operator's document:
 * evenly, or in a large fleet with most of the total at the customer's home.
 */
static void
_lsh_divide (const lsh_t *s, lli_t *lists)
{
  uint32_t count = (uint32_t)s->data_centre_count;
  if (count == 0)
    return;
  for (uint32_t i = 0; i < count; i++)
    lists->data_centres[i] = s->data_centres[i];
  lists->data_centre_count = count;
  lists->other_part = LSH_PARTS_TOTAL / count;
  if (mbr_vm_count (s->desc.members) > LSH_EVEN_VMS_MAX)
    lists->other_part = lists->other_part / 100 * LSH_OTHER_PERCENT;
  lists->home_part = LSH_PARTS_TOTAL - (count - 1) * lists->other_part;
  if (mbr_vm_count (s->desc.members) <= LSH_EVEN_VMS_MAX)
    lists->home_part = lists->other_part;
}

/* Adjust this data centre's parts to the objects of the others.  When all have
 * the same division, take that division over; else take at most what the
 * largest parts of the others leave. */
static void
_lsh_fit_division (lli_t *lists, const ev_platform_t *others)
{
  uint64_t allocated = 0;
  bool same = true;
  for (size_t i = 0; i < others->object_count; i++)
    {
      const ev_object_t *o = &others->objects[i];
      lli_t *other = lli_decode (lists, o->version, o->value);
      if (other != NULL && allocated == 0 && same)
        {
          lists->home_part = other->home_part;
          lists->other_part = other->other_part;
        }
      same = same && other != NULL && lli_same_division (lists, other);
      uint32_t largest = LSH_PARTS_TOTAL;
      if (other != NULL)
        largest = other->home_part > other->other_part ? other->home_part
                                                       : other->other_part;
      allocated += largest;
    }
  if (same)
    return;
  uint64_t remaining
      = allocated < LSH_PARTS_TOTAL ? LSH_PARTS_TOTAL - allocated : 0;
  uint64_t equal = lists->other_part;
  lists->home_part = lists->other_part
      = (uint32_t)(remaining < equal ? remaining : equal);
}

/* The first lists hold the VMs known by now. */
void
lsh_lists_create (lsh_t *s, env_t *env, const ev_platform_t *others)
{
  lli_t *lists = lli_setup (s);
  lists->short_revision = 1;
  lists->long_revision = 1;
  _lsh_divide (s, lists);
  _lsh_fit_division (lists, others);
  for (size_t i = 0; i < mbr_vm_count (s->desc.members); i++)
    {
      const mbr_vm_t *vm = mbr_vm_get (s->desc.members, i);
      if (_lsh_is_candidate (vm, env))
        lli_append (lists, vm->name, LLI_IN_SHORT | LLI_IN_LONG);
    }
  _lsh_write (s, env, lists, 0);
  talloc_free (lists);
}

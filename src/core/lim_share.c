#include "core/lim_share.h"

#include "core/inv.h"
#include "core/mpk.h"

#include <string.h>
#include <talloc.h>

#define LSH_SHORT_LIFE_DEFAULT (6 * CLK_SECOND)
#define LSH_LONG_LIFE_DEFAULT (2 * CLK_HOUR)
#define LSH_GUARD_DEFAULT (2 * CLK_SECOND)
#define LSH_LONG_PERCENT_DEFAULT 25
#define LSH_MINTERS_DEFAULT 2
#define LSH_MINTERS_MAX 8
#define LSH_SUSPECT_DEFAULT (3 * CLK_SECOND)

/* VMs that may change the lists: the first ones of the short list. */
#define LSH_WRITERS_MAX 3

/* A later writer lets the earlier ones go first for so long each. */
#define LSH_WRITER_TURN (1 * CLK_SECOND)

/* VMs of a new fleet come within this time; then the lists are made. */
#define LSH_FOUND_MS (3 * CLK_SECOND)

/* Between two reads while they are about to be made. */
#define LSH_FOUND_POLL_MS (CLK_SECOND / 2)

/* A difference from the long list lasts so long before it is changed: the
 * next change has to wait for the rights of this one. */
#define LSH_LONG_STEADY_MS (10 * CLK_MINUTE)

/* Clocks of two VMs drift apart by less than one in this. */
#define LSH_DRIFT 50

#define LSH_VMS_MAX 1024

#define LSH_OBJECT_PREFIX "limit/shares/"

enum
{
  LSH_TIMER_POLL = 1,
  LSH_TIMER_CHECK,
};

enum
{
  LSH_CALL_READ = 1,
  LSH_CALL_SURVEY, /* all data centres' parts, before the first list */
  LSH_CALL_WRITE,
};

/* Which lists a VM stands in. */
enum
{
  LSH_IN_SHORT_OLD = 1,
  LSH_IN_SHORT = 2,
  LSH_IN_LONG_OLD = 4,
  LSH_IN_LONG = 8,
};

/* The object: one data centre's part and who divides it. */
typedef struct
{
  uint64_t version;
  uint32_t parts;    /* of LSH_WHOLE */
  uint64_t short_no; /* grows with each change of the short list */
  uint64_t long_no;
  size_t count;
  const char **vms;
  uint8_t *in;
} lsh_lists_t;

struct lsh
{
  lsh_desc_t desc;
  size_t data_centres;
  char *object;
  clk_ms_t born;
  lsh_lists_t *lists;
  clk_ms_t short_seen; /* when this short list was first seen */
  clk_ms_t long_seen;
  clk_ms_t short_until; /* rights confirmed until */
  clk_ms_t long_until;
  unsigned rights;
  uint64_t turn;      /* grows with the lists; part of lsh_step's answer */
  uint64_t step_turn; /* as of the last lsh_step */
  bool saw_absent;    /* no lists yet when this VM started */
  clk_ms_t poll_at;   /* the next read */
  clk_ms_t read_sent;
  bool reading;
  bool read_failed; /* the last time */
  clk_ms_t read_ok; /* when the last good read was sent */
  bool writing;
  uint64_t write_unknown; /* version whose replacement may be under way */
  clk_ms_t promised_until;
  clk_ms_t change_due;   /* since when a change is wanted; CLK_NEVER */
  clk_ms_t long_due;     /* likewise, of the long list */
  clk_ms_t writers_gone; /* since when no writer is listed; CLK_NEVER */
  uint64_t round;        /* of promises asked for */
  clk_ms_t round_sent;
  unsigned round_missing; /* bits of writers that have not answered */
};

static clk_ms_t
_lsh_with_drift (clk_ms_t d)
{
  return d + d / LSH_DRIFT;
}

/* A list's rights all end within this time of its replacement, and so do
 * loans made under them. */
static clk_ms_t
_lsh_settled (const lsh_t *s, clk_ms_t life)
{
  return _lsh_with_drift (life + s->desc.guard_ms);
}

static bool
_lsh_short_is_settled (const lsh_t *s, clk_ms_t now)
{
  return now >= s->short_seen + _lsh_settled (s, s->desc.short_life_ms);
}

static bool
_lsh_long_is_settled (const lsh_t *s, clk_ms_t now)
{
  return now >= s->long_seen + _lsh_settled (s, s->desc.long_life_ms);
}

lsh_t *
lsh_setup (void *ctx, const lsh_desc_t *desc)
{
  lsh_t *s = talloc_zero (ctx, lsh_t);
  s->desc = *desc;
  lsh_desc_t *d = &s->desc;
  if (d->short_life_ms == 0)
    d->short_life_ms = LSH_SHORT_LIFE_DEFAULT;
  if (d->long_life_ms == 0)
    d->long_life_ms = LSH_LONG_LIFE_DEFAULT;
  if (d->guard_ms == 0)
    d->guard_ms = LSH_GUARD_DEFAULT;
  if (d->long_percent == 0)
    d->long_percent = LSH_LONG_PERCENT_DEFAULT;
  if (d->minters == 0)
    d->minters = LSH_MINTERS_DEFAULT;
  if (d->minters > LSH_MINTERS_MAX)
    d->minters = LSH_MINTERS_MAX;
  if (d->suspect_ms == 0)
    d->suspect_ms = LSH_SUSPECT_DEFAULT;
  s->change_due = CLK_NEVER;
  s->long_due = CLK_NEVER;
  s->writers_gone = CLK_NEVER;
  return s;
}

void
lsh_shutdown (lsh_t *s)
{
  talloc_free (s);
}

void
lsh_set_data_centres (lsh_t *s, size_t count)
{
  s->data_centres = count;
}

void
lsh_start (lsh_t *s, env_t *env)
{
  s->born = env->now;
  s->object = talloc_asprintf (s, LSH_OBJECT_PREFIX "%s", env->data_centre);
  tmr_arm (env->tmr, env->now, MOD_LIMIT, LSH_TAG | LSH_TIMER_POLL);
  tmr_arm (env->tmr, env->now + CLK_SECOND, MOD_LIMIT,
           LSH_TAG | LSH_TIMER_CHECK);
}

/* ---- the object ---- */

static buf_t
_lsh_encode (void *ctx, const lsh_lists_t *lists)
{
  mpk_writer_t w;
  mpk_writer_init (&w, ctx);
  mpk_put_uint (&w, lists->parts);
  mpk_put_uint (&w, lists->short_no);
  mpk_put_uint (&w, lists->long_no);
  for (size_t i = 0; i < lists->count; i++)
    {
      mpk_put_str (&w, buf_str (lists->vms[i]));
      mpk_put_uint (&w, lists->in[i]);
    }
  return mpk_done (&w);
}

static lsh_lists_t *
_lsh_decode (void *ctx, uint64_t version, buf_t value)
{
  lsh_lists_t *lists = talloc_zero (ctx, lsh_lists_t);
  lists->version = version;
  lists->vms = talloc_array (lists, const char *, LSH_VMS_MAX);
  lists->in = talloc_array (lists, uint8_t, LSH_VMS_MAX);
  mpk_reader_t r = mpk_reader (lists, value);
  lists->parts = (uint32_t)mpk_get_uint (&r);
  lists->short_no = mpk_get_uint (&r);
  lists->long_no = mpk_get_uint (&r);
  while (mpk_more (&r) && lists->count < LSH_VMS_MAX)
    {
      lists->vms[lists->count] = mpk_get_str (&r).p;
      lists->in[lists->count++] = (uint8_t)mpk_get_uint (&r);
    }
  if (mpk_end (&r) && lists->parts <= LSH_WHOLE)
    return lists;
  talloc_free (lists);
  return NULL;
}

static size_t
_lsh_index (const lsh_lists_t *lists, const char *vm)
{
  size_t i = 0;
  while (i < lists->count && strcmp (lists->vms[i], vm) != 0)
    i++;
  return i;
}

/* The VMs that may replace LISTS, into OUT; returns how many. */
static size_t
_lsh_writers (const lsh_lists_t *lists, const char **out)
{
  size_t n = 0;
  for (size_t i = 0; i < lists->count && n < LSH_WRITERS_MAX; i++)
    if (lists->in[i] & LSH_IN_SHORT)
      out[n++] = lists->vms[i];
  return n;
}

/* Position of VM among the writers; LSH_WRITERS_MAX: it is none. */
static size_t
_lsh_writer_index (const lsh_lists_t *lists, const char *vm)
{
  const char *writers[LSH_WRITERS_MAX];
  size_t n = _lsh_writers (lists, writers);
  for (size_t i = 0; i < n; i++)
    if (strcmp (writers[i], vm) == 0)
      return i;
  return LSH_WRITERS_MAX;
}

/* Take newer lists.  Whoever made them waited until rights under the lists
 * before the last had ended, so the old and new of the object are all that
 * anybody may still go by. */
static void
_lsh_adopt (lsh_t *s, env_t *env, lsh_lists_t *lists)
{
  bool first = s->lists == NULL;
  if (first || lists->short_no != s->lists->short_no)
    s->short_seen = env->now;
  if (first || lists->long_no != s->lists->long_no)
    s->long_seen = env->now;
  /* Nobody had a right before the first list. */
  if (lists->short_no == 1)
    s->short_seen = env->now - _lsh_settled (s, s->desc.short_life_ms);
  if (lists->long_no == 1)
    s->long_seen = env->now - _lsh_settled (s, s->desc.long_life_ms);
  talloc_free (s->lists);
  s->lists = talloc_steal (s, lists);
  s->turn++;
  s->change_due = CLK_NEVER;
  s->promised_until = 0;
  s->round_missing = 0;
  tln_record (env->tln, env->now, MOD_LIMIT, "shares", "version=%lu vms=%lu",
              (unsigned long)lists->version, (unsigned long)lists->count);
  cnt_set (env->cnt, "rts_limit_shares_version", "", (double)lists->version);
}

/* Whether VALUE at VERSION is now what this VM goes by. */
static bool
_lsh_take (lsh_t *s, env_t *env, uint64_t version, buf_t value)
{
  uint64_t known = s->lists ? s->lists->version : 0;
  if (version < known)
    {
      cnt_add (env->cnt, "rts_limit_stale_shares_total", "", 1);
      return false;
    }
  if (version == known)
    return true;
  lsh_lists_t *lists = _lsh_decode (s, version, value);
  if (lists == NULL)
    {
      cnt_add (env->cnt, "rts_limit_bad_shares_total", "", 1);
      return false;
    }
  _lsh_adopt (s, env, lists);
  return true;
}

static void
_lsh_confirm (lsh_t *s, clk_ms_t sent, bool by_platform)
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
  /* Loans of an earlier start of this VM end first. */
  if (s->lists == NULL || now < s->born + _lsh_with_drift (s->desc.guard_ms))
    return 0;
  if (now < s->short_until)
    rights |= LSH_SHORT;
  if (now < s->long_until)
    rights |= LSH_LONG;
  if (_lsh_short_is_settled (s, now))
    rights |= LSH_SHORT_NEW;
  if (_lsh_long_is_settled (s, now))
    rights |= LSH_LONG_NEW;
  return rights;
}

bool
lsh_step (lsh_t *s, env_t *env, clk_ms_t *since)
{
  unsigned rights = _lsh_rights_at (s, env->now);
  if (rights == s->rights && s->turn == s->step_turn)
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
                  "version=%lu", (unsigned long)lsh_version (s));
      cnt_add (env->cnt, "rts_limit_rights_total",
               rights & LSH_SHORT ? "change=\"gained\"" : "change=\"lapsed\"",
               1);
    }
  cnt_set (env->cnt, "rts_limit_rights", "list=\"short\"",
           (rights & LSH_SHORT) != 0);
  cnt_set (env->cnt, "rts_limit_rights", "list=\"long\"",
           (rights & LSH_LONG) != 0);
  s->rights = rights;
  s->step_turn = s->turn;
  return true;
}

/* VM's part of WHOLE by the list that BIT marks. */
static uint32_t
_lsh_part (const lsh_t *s, const char *vm, const char *customer, uint8_t bit,
           uint32_t whole)
{
  const lsh_lists_t *lists = s->lists;
  const char *vms[LSH_VMS_MAX];
  size_t n = 0;
  for (size_t i = 0; i < lists->count; i++)
    if (lists->in[i] & bit)
      vms[n++] = lists->vms[i];
  const char *first[LSH_MINTERS_MAX];
  size_t k = own_rank (vms, n, MOD_LIMIT, customer, first, s->desc.minters);
  for (size_t i = 0; i < k; i++)
    if (strcmp (first[i], vm) == 0)
      return whole / (uint32_t)k;
  return 0;
}

static uint32_t
_lsh_smaller_part (const lsh_t *s, const char *vm, const char *customer,
                   uint8_t new_bit, uint8_t old_bit, bool new_alone,
                   uint32_t whole)
{
  uint32_t part = _lsh_part (s, vm, customer, new_bit, whole);
  if (new_alone || part == 0)
    return part;
  uint32_t old = _lsh_part (s, vm, customer, old_bit, whole);
  return old < part ? old : part;
}

uint32_t
lsh_parts (const lsh_t *s, const env_t *env, const char *customer)
{
  uint32_t parts = 0;
  if (s->lists == NULL)
    return 0;
  uint32_t by_long = s->lists->parts / 100 * s->desc.long_percent;
  if (s->rights & LSH_SHORT)
    parts += _lsh_smaller_part (s, env->vm, customer, LSH_IN_SHORT,
                                LSH_IN_SHORT_OLD, s->rights & LSH_SHORT_NEW,
                                s->lists->parts - by_long);
  if (s->rights & LSH_LONG)
    parts += _lsh_smaller_part (s, env->vm, customer, LSH_IN_LONG,
                                LSH_IN_LONG_OLD, s->rights & LSH_LONG_NEW,
                                by_long);
  return parts;
}

unsigned
lsh_rights (const lsh_t *s)
{
  return s->rights;
}

bool
lsh_is_new_fleet (const lsh_t *s)
{
  return s->saw_absent && s->lists != NULL && s->lists->short_no == 1
         && s->lists->long_no == 1;
}

uint64_t
lsh_version (const lsh_t *s)
{
  return s->lists ? s->lists->version : 0;
}

/* ---- promises ---- */

static void
_lsh_send (lsh_t *s, env_t *env, const char *vm, uint16_t kind, uint64_t a,
           uint64_t b, int64_t c)
{
  mpk_writer_t w;
  mpk_writer_init (&w, s);
  mpk_put_uint (&w, a);
  mpk_put_uint (&w, b);
  if (c >= 0)
    mpk_put_uint (&w, (uint64_t)c);
  buf_t body = mpk_done (&w);
  mbr_send (s->desc.members, env, vm, kind, body);
  talloc_free ((void *)(uintptr_t)body.p);
}

/* Whether the platform said within the long life that this VM is there: a
 * VM that is not counts as gone, and others may replace the lists. */
static bool
_lsh_is_listed (const lsh_t *s, const env_t *env)
{
  const mbr_vm_t *self = mbr_vm_find (s->desc.members, env->vm);
  clk_ms_t at = mbr_listed_at (s->desc.members);
  return self != NULL && self->listed && at != CLK_NEVER
         && env->now < at + s->desc.long_life_ms;
}

/* This VM will not replace the lists for a right's life from now on; false
 * when a replacement of its own may be under way. */
static bool
_lsh_promise (lsh_t *s, env_t *env)
{
  if (s->writing || s->write_unknown == s->lists->version
      || !_lsh_is_listed (s, env))
    return false;
  s->promised_until = env->now + _lsh_with_drift (s->desc.short_life_ms);
  return true;
}

static void
_lsh_ask_promises (lsh_t *s, env_t *env)
{
  if (s->lists == NULL || s->desc.no_promises)
    return;
  const char *writers[LSH_WRITERS_MAX];
  size_t n = _lsh_writers (s->lists, writers);
  s->round++;
  s->round_sent = env->now;
  s->round_missing = 0;
  for (size_t i = 0; i < n; i++)
    if (strcmp (writers[i], env->vm) != 0)
      {
        s->round_missing |= 1U << i;
        _lsh_send (s, env, writers[i], MSG_LIMIT_PROMISE_ASK, s->round,
                   s->lists->version, -1);
      }
    else if (!_lsh_promise (s, env))
      s->round_missing |= 1U << LSH_WRITERS_MAX;
  if (n > 0 && s->round_missing == 0)
    _lsh_confirm (s, env->now, false);
}

static void
_lsh_send_lists (lsh_t *s, env_t *env, const char *vm)
{
  buf_t value = _lsh_encode (s, s->lists);
  mpk_writer_t w;
  mpk_writer_init (&w, s);
  mpk_put_uint (&w, s->lists->version);
  mpk_put_str (&w, value);
  buf_t body = mpk_done (&w);
  mbr_send (s->desc.members, env, vm, MSG_LIMIT_SHARES, body);
  talloc_free ((void *)(uintptr_t)body.p);
  talloc_free ((void *)(uintptr_t)value.p);
}

static void
_lsh_promise_asked (lsh_t *s, env_t *env, const char *vm, mpk_reader_t *r)
{
  uint64_t round = mpk_get_uint (r);
  uint64_t version = mpk_get_uint (r);
  if (!mpk_end (r) || s->lists == NULL)
    return;
  if (s->lists->version > version)
    _lsh_send_lists (s, env, vm);
  bool given = s->lists->version == version
               && _lsh_writer_index (s->lists, env->vm) < LSH_WRITERS_MAX
               && _lsh_promise (s, env);
  _lsh_send (s, env, vm, MSG_LIMIT_PROMISE, round, s->lists->version, given);
}

static void
_lsh_promise_received (lsh_t *s, env_t *env, const char *vm, mpk_reader_t *r)
{
  uint64_t round = mpk_get_uint (r);
  uint64_t version = mpk_get_uint (r);
  bool given = mpk_get_uint (r) != 0;
  if (!mpk_end (r) || s->lists == NULL)
    return;
  if (version < s->lists->version)
    _lsh_send_lists (s, env, vm);
  if (!given || round != s->round || version != s->lists->version
      || s->round_missing == 0)
    return;
  size_t i = _lsh_writer_index (s->lists, vm);
  if (i == LSH_WRITERS_MAX)
    return;
  s->round_missing &= ~(1U << i);
  if (s->round_missing == 0)
    _lsh_confirm (s, s->round_sent, false);
}

void
lsh_message_received (lsh_t *s, env_t *env, const char *vm, const msg_t *msg)
{
  void *ctx = talloc_new (s);
  mpk_reader_t r = mpk_reader (ctx, msg->body);
  switch (msg->kind)
    {
    case MSG_LIMIT_PROMISE_ASK:
      _lsh_promise_asked (s, env, vm, &r);
      break;
    case MSG_LIMIT_PROMISE:
      _lsh_promise_received (s, env, vm, &r);
      break;
    case MSG_LIMIT_SHARES:
      {
        uint64_t version = mpk_get_uint (&r);
        buf_t value = mpk_get_str (&r);
        if (mpk_end (&r))
          _lsh_take (s, env, version, value);
        break;
      }
    default:
      cnt_add (env->cnt, "rts_limit_bad_messages_total", "", 1);
      break;
    }
  talloc_free (ctx);
}

/* ---- changing the lists ---- */

static void
_lsh_write (lsh_t *s, env_t *env, const lsh_lists_t *lists,
            uint64_t if_version)
{
  buf_t value = _lsh_encode (s, lists);
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

static bool
_lsh_is_here (const mbr_vm_t *vm, const env_t *env)
{
  return vm != NULL && strcmp (vm->data_centre, env->data_centre) == 0
         && !vm->leaving;
}

/* Whether VM should divide the part: it is listed and answers, or has not
 * been silent for long. */
static bool
_lsh_should_mint (const lsh_t *s, const env_t *env, const char *name)
{
  const mbr_vm_t *vm = mbr_vm_find (s->desc.members, name);
  if (!_lsh_is_here (vm, env))
    return false;
  return vm->up || env->now - vm->down_since < s->desc.suspect_ms;
}

static void
_lsh_append (lsh_lists_t *lists, const char *vm, uint8_t in)
{
  if (lists->count == LSH_VMS_MAX)
    return;
  lists->vms[lists->count] = vm;
  lists->in[lists->count++] = in;
}

/* Turn BIT's list into OLD_BIT's and the wanted VMs into BIT's; returns how
 * many VMs change. */
static size_t
_lsh_turn_list (lsh_lists_t *lists, const bool *wanted, uint8_t bit,
                uint8_t old_bit)
{
  size_t changes = 0;
  for (size_t i = 0; i < lists->count; i++)
    {
      bool was = (lists->in[i] & bit) != 0;
      changes += was != wanted[i];
      lists->in[i] &= (uint8_t) ~(bit | old_bit);
      if (was)
        lists->in[i] |= old_bit;
      if (wanted[i])
        lists->in[i] |= bit;
    }
  return changes;
}

static bool
_lsh_differs (const lsh_lists_t *lists, const bool *wanted, uint8_t bit)
{
  for (size_t i = 0; i < lists->count; i++)
    if (wanted[i] != ((lists->in[i] & bit) != 0))
      return true;
  return false;
}

static lsh_lists_t *
_lsh_copy (lsh_t *s)
{
  buf_t value = _lsh_encode (s, s->lists);
  lsh_lists_t *copy = _lsh_decode (s, s->lists->version, value);
  talloc_free ((void *)(uintptr_t)value.p);
  return copy;
}

/* The lists as they should be, owned by S; NULL when nothing is to change.
 * VMs that are silent are not taken off when they are more than half: then
 * it is likelier this VM that is cut off. */
static lsh_lists_t *
_lsh_wanted_lists (lsh_t *s, env_t *env)
{
  lsh_lists_t *next = _lsh_copy (s);
  for (size_t i = 0; i < mbr_vm_count (s->desc.members); i++)
    {
      const mbr_vm_t *vm = mbr_vm_get (s->desc.members, i);
      if (_lsh_is_here (vm, env) && vm->up
          && _lsh_index (next, vm->name) == next->count)
        _lsh_append (next, vm->name, 0);
    }
  bool wanted[LSH_VMS_MAX];
  size_t kept = 0;
  size_t before = 0;
  for (size_t i = 0; i < next->count; i++)
    {
      wanted[i] = _lsh_should_mint (s, env, next->vms[i]);
      before += (next->in[i] & LSH_IN_SHORT) != 0;
      kept += (next->in[i] & LSH_IN_SHORT) && wanted[i];
    }
  bool most = 2 * kept >= before || before == 0;
  bool changed = false;
  if (most && _lsh_short_is_settled (s, env->now)
      && _lsh_turn_list (next, wanted, LSH_IN_SHORT, LSH_IN_SHORT_OLD) > 0)
    {
      next->short_no++;
      changed = true;
    }
  if (!most || !_lsh_differs (next, wanted, LSH_IN_LONG))
    s->long_due = CLK_NEVER;
  else
    s->long_due = clk_min (s->long_due, env->now);
  if (s->long_due != CLK_NEVER && env->now >= s->long_due + LSH_LONG_STEADY_MS
      && _lsh_long_is_settled (s, env->now)
      && _lsh_turn_list (next, wanted, LSH_IN_LONG, LSH_IN_LONG_OLD) > 0)
    {
      next->long_no++;
      changed = true;
    }
  if (changed)
    return next;
  talloc_free (next);
  return NULL;
}

/* Note since when no VM that may replace the lists is listed. */
static void
_lsh_note_writers (lsh_t *s, const env_t *env)
{
  const char *writers[LSH_WRITERS_MAX];
  size_t n = _lsh_writers (s->lists, writers);
  bool any = false;
  for (size_t i = 0; i < n; i++)
    {
      const mbr_vm_t *vm = mbr_vm_find (s->desc.members, writers[i]);
      any = any || (vm != NULL && vm->listed);
    }
  s->writers_gone = any ? CLK_NEVER : clk_min (s->writers_gone, env->now);
}

/* Once all writers have been gone for longer than they may promise, any VM
 * stands in for them. */
static bool
_lsh_stands_in (const lsh_t *s, const env_t *env)
{
  return s->writers_gone != CLK_NEVER
         && env->now
                >= s->writers_gone + _lsh_settled (s, s->desc.long_life_ms);
}

static bool
_lsh_may_write (const lsh_t *s, const env_t *env, size_t index)
{
  clk_ms_t quiet = _lsh_with_drift (s->desc.short_life_ms);
  return (index < LSH_WRITERS_MAX || _lsh_stands_in (s, env)) && !s->writing
         && s->write_unknown != s->lists->version
         && env->now >= s->promised_until
         /* Promises of an earlier start of this VM are over. */
         && env->now >= s->born + quiet
         && env->now < s->read_ok + s->desc.short_life_ms;
}

static void
_lsh_check (lsh_t *s, env_t *env)
{
  if (s->lists == NULL)
    return;
  _lsh_note_writers (s, env);
  size_t index = _lsh_writer_index (s->lists, env->vm);
  if (!_lsh_may_write (s, env, index))
    return;
  lsh_lists_t *next = _lsh_wanted_lists (s, env);
  if (next == NULL)
    {
      s->change_due = CLK_NEVER;
      return;
    }
  s->change_due = clk_min (s->change_due, env->now);
  if (env->now >= s->change_due + (clk_ms_t)index * LSH_WRITER_TURN)
    _lsh_write (s, env, next, s->lists->version);
  talloc_free (next);
}

/* The first lists of a data centre: the VMs known by now, and what the other
 * data centres leave of the whole. */
static void
_lsh_found (lsh_t *s, env_t *env, const ev_platform_t *survey)
{
  uint64_t taken = 0;
  for (size_t i = 0; i < survey->object_count; i++)
    {
      const ev_object_t *o = &survey->objects[i];
      lsh_lists_t *other = _lsh_decode (s, o->version, o->value);
      taken += other ? other->parts : LSH_WHOLE;
      talloc_free (other);
    }
  uint64_t parts = LSH_WHOLE / s->data_centres;
  uint64_t left = taken < LSH_WHOLE ? LSH_WHOLE - taken : 0;
  lsh_lists_t *lists = talloc_zero (s, lsh_lists_t);
  lists->parts = (uint32_t)(parts < left ? parts : left);
  lists->short_no = 1;
  lists->long_no = 1;
  lists->vms = talloc_array (lists, const char *, LSH_VMS_MAX);
  lists->in = talloc_array (lists, uint8_t, LSH_VMS_MAX);
  for (size_t i = 0; i < mbr_vm_count (s->desc.members); i++)
    {
      const mbr_vm_t *vm = mbr_vm_get (s->desc.members, i);
      if (_lsh_is_here (vm, env))
        _lsh_append (lists, vm->name, LSH_IN_SHORT | LSH_IN_LONG);
    }
  _lsh_write (s, env, lists, 0);
  talloc_free (lists);
}

/* ---- platform ---- */

static void
_lsh_poll (lsh_t *s, env_t *env)
{
  s->reading = true;
  s->read_sent = env->now;
  plt_call (env, &(plt_req_t){ .mod = MOD_LIMIT,
                               .tag = LSH_TAG | LSH_CALL_READ,
                               .op = FX_PLATFORM_GET,
                               .name = s->object,
                               .timeout_ms = s->desc.short_life_ms / 6 });
}

static void
_lsh_arm_poll (lsh_t *s, env_t *env, clk_ms_t at)
{
  s->poll_at = at;
  tmr_arm (env->tmr, at, MOD_LIMIT, LSH_TAG | LSH_TIMER_POLL);
}

static void
_lsh_arm_next_poll (lsh_t *s, env_t *env)
{
  clk_ms_t wait = s->desc.short_life_ms * 2 / 5;
  if (s->lists == NULL && s->data_centres > 0 && !s->read_failed)
    wait = LSH_FOUND_POLL_MS;
  else if (s->lists == NULL || s->read_failed)
    wait = wait / 2;
  _lsh_arm_poll (s, env, env->now + env_jitter (env, wait));
}

void
lsh_timer_fired (lsh_t *s, env_t *env, uint64_t tag)
{
  switch (tag & ~LSH_TAG)
    {
    case LSH_TIMER_POLL:
      if (!s->reading && env->now >= s->poll_at)
        _lsh_poll (s, env);
      break;
    case LSH_TIMER_CHECK:
      _lsh_check (s, env);
      tmr_arm (env->tmr, env->now + env_jitter (env, CLK_SECOND), MOD_LIMIT,
               LSH_TAG | LSH_TIMER_CHECK);
      break;
    default:
      break;
    }
}

/* No lists yet: once the fleet is known, look what other data centres have
 * and make them. */
static void
_lsh_read_absent (lsh_t *s, env_t *env)
{
  if (s->lists != NULL || s->writing || s->data_centres == 0
      || mbr_listed_at (s->desc.members) == CLK_NEVER
      || env->now < s->born + LSH_FOUND_MS)
    return;
  plt_call (env, &(plt_req_t){ .mod = MOD_LIMIT,
                               .tag = LSH_TAG | LSH_CALL_SURVEY,
                               .op = FX_PLATFORM_LIST,
                               .name = LSH_OBJECT_PREFIX });
}

static void
_lsh_read_replied (lsh_t *s, env_t *env, const ev_platform_t *reply)
{
  s->reading = false;
  s->read_failed = reply->code == ST_UNAVAILABLE || reply->code == ST_UNKNOWN;
  if (reply->code == ST_OK && reply->object_count == 1
      && _lsh_take (s, env, reply->objects[0].version,
                    reply->objects[0].value))
    {
      s->read_ok = s->read_sent;
      _lsh_confirm (s, s->read_sent, true);
    }
  else if (reply->code == ST_NOT_FOUND)
    {
      s->saw_absent = s->lists == NULL;
      _lsh_read_absent (s, env);
    }
  else if (s->read_failed)
    _lsh_ask_promises (s, env);
  _lsh_arm_next_poll (s, env);
}

static void
_lsh_write_replied (lsh_t *s, const ev_platform_t *reply)
{
  s->writing = false;
  if (reply->code == ST_UNKNOWN && s->lists != NULL)
    s->write_unknown = s->lists->version;
}

void
lsh_platform_replied (lsh_t *s, env_t *env, const plt_done_t *done,
                      const ev_platform_t *reply)
{
  switch (done->tag & ~LSH_TAG)
    {
    case LSH_CALL_READ:
      _lsh_read_replied (s, env, reply);
      break;
    case LSH_CALL_SURVEY:
      if (reply->code == ST_OK && s->lists == NULL && !s->writing)
        _lsh_found (s, env, reply);
      break;
    case LSH_CALL_WRITE:
      _lsh_write_replied (s, reply);
      if (!s->reading)
        _lsh_arm_poll (s, env, env->now);
      break;
    default:
      break;
    }
}

/** @file
 * Directory of a large fleet: one VM of each data centre, the reader, watches
 * the platform's lists and hands on what it hears; the others, its followers,
 * make no calls for as long as they hear from it.
 *
 * The reader's watches are short, so that it hears from the platform at least
 * every DIR_READER_WATCH_MS, and every answer is handed on, also one without a
 * change.  A follower that has heard nothing for DIR_HANDED_MS, or has missed
 * a message, reads itself, from where it is.  So a reader that freezes, ends,
 * is cut off or is turned away by the platform costs its followers
 * that time and DIR_FOLLOW_CHECK_MS at most, and which VM is the reader is
 * only a hint: there may be none, or two.
 *
 * Each message covers the changes between two revisions.  One that begins
 * after what the follower knows, or ends before it, changes nothing.  Of the
 * operator's document only that it has not changed is handed on: documents are
 * large, and a change of them is read from the platform by each VM.
 */
#include "core/dir_int.h"

#include "core/mpk.h"

#include <string.h>
#include <talloc.h>

/** Time after the reader's watch for which what was handed on counts. */
#define DIR_HANDED_LATE_MS ((clk_ms_t)600)
/** Time after the reader's watch in which its answer is handed on. */
#define DIR_GRACE_MS ((clk_ms_t)300)
/** Period at which a follower looks whether it still does. */
#define DIR_FOLLOW_CHECK_MS ((clk_ms_t)200)
/** An answer that came later than this after the end of its watch says nothing
 * of now: the reader itself stood still. */
#define DIR_ANSWER_LATE_MS ((clk_ms_t)600)
/** Most upstreams in a message; a reader has no more in one page. */
#define DIR_HANDED_MAX 4096
/** Name by which the reader is chosen. */
#define DIR_READER "reader"

/** What of an upstream is true, in a message. */
enum
{
  DIR_ENTRY_LEAVING = 1,
  DIR_ENTRY_DELETED = 2,
  DIR_ENTRY_UNUSABLE = 4,
  DIR_ENTRY_COLD_BAD = 8, /**< the cold time has no meaning */
};

/** First bit of an entry's flags that holds its cold time, so that VMs that do
 * not know it ignore it. */
#define DIR_ENTRY_COLD_SHIFT 8

/** A message about one list. */
typedef struct
{
  dir_op_t op;
  bool good;         /**< false: the reader cannot read it now */
  uint64_t from, to; /**< it has the changes after FROM, up to TO */
} _dir_handed_t;

/* -- the reader ----------------------------------------------------------- */

/** The VM that reads for this VM's data centre; NULL: none does. */
static const char *
_dir_reader (const dir_t *d, const env_t *env)
{
  const char *reader = NULL;
  bool large = mbr_vm_count (d->desc.members) >= d->desc.follow_vms_min;
  return large
                 && mbr_rank (d->desc.members, env->data_centre, MOD_DIRECTORY,
                              DIR_READER, &reader, 1)
                        == 1
             ? reader
             : NULL;
}

bool
dir_is_reader (const dir_t *d, const env_t *env)
{
  return g_strcmp0 (_dir_reader (d, env), env->vm) == 0;
}

/** Longest wait of the reader's watches of the list of OP. */
static clk_ms_t
_dir_reader_watch_ms (const dir_t *d, dir_op_t op)
{
  return op == DIR_OP_EVACUATIONS ? dir_evac_watch_ms (d)
                                  : DIR_READER_WATCH_MS;
}

clk_ms_t
dir_handed_ms (const dir_t *d, dir_op_t op)
{
  return _dir_reader_watch_ms (d, op) + DIR_HANDED_LATE_MS;
}

bool
dir_answer_is_timely (const dir_t *d, const env_t *env, dir_op_t op)
{
  return env->now - d->called_at[op]
         <= _dir_reader_watch_ms (d, op) + DIR_ANSWER_LATE_MS;
}

clk_ms_t
dir_reader_wait_ms (const dir_t *d, const env_t *env, dir_op_t op)
{
  const char *reader = _dir_reader (d, env);
  if (reader == NULL || strcmp (reader, env->vm) == 0)
    return 0;
  /* The reader's watch for evacuations is as long as that of this VM, which
   * has heard from it meanwhile.  A longer gap would be missing from the
   * bound. */
  return op == DIR_OP_EVACUATIONS ? DIR_GRACE_MS
                                  : DIR_READER_WATCH_MS + DIR_GRACE_MS;
}

/** The flags of the cold time MS. */
static uint64_t
_dir_cold_flags (clk_ms_t ms)
{
  return ms < 0 ? DIR_ENTRY_COLD_BAD : (uint64_t)ms << DIR_ENTRY_COLD_SHIFT;
}

/** The cold time in FLAGS; -1: it has no meaning. */
static clk_ms_t
_dir_cold_ms (uint64_t flags)
{
  uint64_t ms = flags >> DIR_ENTRY_COLD_SHIFT;
  bool bad = (flags & DIR_ENTRY_COLD_BAD) != 0 || ms > EV_COLD_MS_MAX;
  return bad ? -1 : (clk_ms_t)ms;
}

static void
_dir_entry_put (mpk_writer_t *w, const ev_upstream_entry_t *e)
{
  bool described = !e->deleted && !e->unusable;
  mpk_put_str (w, buf_str (e->name));
  mpk_put_uint (w, (e->leaving ? DIR_ENTRY_LEAVING : 0U)
                       | (e->deleted ? DIR_ENTRY_DELETED : 0U)
                       | (e->unusable ? DIR_ENTRY_UNUSABLE : 0U)
                       | _dir_cold_flags (e->cold_ms));
  mpk_put_str (w, buf_str (described ? e->deployment : ""));
  mpk_put_str (w, buf_str (described ? e->data_centre : ""));
  mpk_put_str (w, buf_str (described ? e->address : ""));
  mpk_put_uint (w, e->born);
  mpk_put_str (w, buf_str (e->version == NULL ? "" : e->version));
}

/** Sends H with the upstreams of REPLY, NULL: none, to the other VMs of the
 * data centre. */
static void
_dir_handed_send (const dir_t *d, env_t *env, const _dir_handed_t *h,
                  const ev_platform_t *reply)
{
  void *tmp = talloc_new (d);
  mpk_writer_t w;
  mpk_writer_init (&w, tmp);
  mpk_put_uint (&w, h->op);
  mpk_put_uint (&w, h->good);
  mpk_put_uint (&w, h->from);
  mpk_put_uint (&w, h->to);
  /* Unused: the age of a failure of the reader's own. */
  mpk_put_uint (&w, 0);
  for (size_t i = 0; reply != NULL && i < reply->entry_count; i++)
    _dir_entry_put (&w, &reply->entries[i]);
  buf_t body = mpk_done (&w);
  for (size_t i = 0; i < mbr_vm_count (d->desc.members); i++)
    {
      const mbr_vm_t *vm = mbr_vm_get (d->desc.members, i);
      if (!vm->self && vm->up
          && strcmp (vm->data_centre, env->data_centre) == 0)
        mbr_send (d->desc.members, env, vm->name, MSG_DIRECTORY_HANDED, body);
    }
  cnt_add (env->cnt, "rts_directory_handed_on_total", "", 1);
  talloc_free (tmp);
}

void
dir_hand_on (const dir_t *d, env_t *env, dir_op_t op, uint64_t before,
             const ev_platform_t *reply)
{
  if (!dir_is_reader (d, env) || !dir_answer_is_timely (d, env, op))
    return;
  uint64_t now = d->revision[op];
  bool changed = op == DIR_OP_DOCUMENT && reply->document != NULL;
  _dir_handed_t h
      = { .op = op,
          .good = true,
          /* A list that was read anew has no changes to hand on. */
          .from = before == 0 || changed ? now : before,
          .to = now };
  bool entries = op == DIR_OP_UPSTREAMS && before != 0;
  _dir_handed_send (d, env, &h, entries ? reply : NULL);
}

void
dir_failure_hand_on (const dir_t *d, env_t *env, dir_op_t op)
{
  if (!dir_is_reader (d, env))
    return;
  if (op == DIR_OP_EVACUATIONS)
    dir_evac_failure_hand_on (d, env);
  else
    _dir_handed_send (d, env, &(_dir_handed_t){ .op = op }, NULL);
}

/* -- followers ------------------------------------------------------------ */

bool
dir_follows (const dir_t *d, const env_t *env, dir_op_t op)
{
  return d->revision[op] != 0 && d->handed_at[op] != CLK_NEVER
         && env->now - d->handed_at[op] <= dir_handed_ms (d, op)
         && !dir_is_reader (d, env);
}

void
dir_follow_arm (dir_t *d, env_t *env)
{
  if (d->follow_armed)
    return;
  d->follow_armed = true;
  tmr_arm (env->tmr, env->now + DIR_FOLLOW_CHECK_MS, MOD_DIRECTORY,
           DIR_OP_FOLLOW);
}

/** Logs that this VM reads the list of OP itself from now on, and WHY. */
static void
_dir_follow_end_log (const dir_t *d, env_t *env, dir_op_t op, const char *why)
{
  static const char *const names[DIR_READ_NUM]
      = { "document", "upstreams", "evacuations" };
  clk_ms_t at = d->handed_at[op];
  tln_record (env->tln, env->now, MOD_DIRECTORY, "reads-itself",
              "list=%s why=%s handed_age_ms=%lld", names[op], why,
              (long long)(at == CLK_NEVER ? -1 : env->now - at));
}

void
dir_follow_check (dir_t *d, env_t *env)
{
  bool idle = false;
  d->follow_armed = false;
  for (int op = 0; op < DIR_READ_NUM; op++)
    {
      if (d->idle[op] && !dir_follows (d, env, (dir_op_t)op))
        {
          _dir_follow_end_log (d, env, (dir_op_t)op,
                               dir_is_reader (d, env) ? "reader" : "silence");
          dir_read (d, env, (dir_op_t)op);
        }
      idle = idle || d->idle[op];
    }
  if (idle)
    dir_follow_arm (d, env);
}

void
dir_follow_end (dir_t *d, env_t *env, dir_op_t op, const char *why)
{
  d->handed_at[op] = CLK_NEVER;
  if (!d->idle[op])
    return;
  _dir_follow_end_log (d, env, op, why);
  dir_read (d, env, op);
}

/** Reads the next upstream of a message; the strings belong to R. */
static ev_upstream_entry_t
_dir_entry_get (mpk_reader_t *r)
{
  ev_upstream_entry_t e = { .name = mpk_get_str (r).p };
  uint64_t flags = mpk_get_uint (r);
  e.deployment = mpk_get_str (r).p;
  e.data_centre = mpk_get_str (r).p;
  e.address = mpk_get_str (r).p;
  e.born = mpk_get_uint (r);
  const char *version = mpk_get_str (r).p;
  e.version = version == NULL || version[0] == '\0' ? NULL : version;
  e.leaving = (flags & DIR_ENTRY_LEAVING) != 0;
  e.deleted = (flags & DIR_ENTRY_DELETED) != 0;
  e.unusable = (flags & DIR_ENTRY_UNUSABLE) != 0;
  e.cold_ms = _dir_cold_ms (flags);
  return e;
}

/** Reads the upstreams of a message to *OUT, owned by R's context; false: the
 * message is malformed or has too many. */
static bool
_dir_entries_get (mpk_reader_t *r, ev_platform_t *out)
{
  ev_upstream_entry_t *entries
      = talloc_array (r->ctx, ev_upstream_entry_t, DIR_HANDED_MAX);
  size_t n = 0;
  while (mpk_more (r) && n < DIR_HANDED_MAX)
    {
      entries[n] = _dir_entry_get (r);
      if (r->failed || entries[n].name == NULL || entries[n].name[0] == '\0')
        return false;
      n++;
    }
  out->entries = entries;
  out->entry_count = n;
  return mpk_end (r);
}

/** Takes over H and the upstreams of REPLY. */
static void
_dir_handed_apply (dir_t *d, env_t *env, const _dir_handed_t *h,
                   ev_platform_t *reply)
{
  if (h->op == DIR_OP_UPSTREAMS)
    {
      reply->revision = h->to;
      dir_upstreams_update (d, env, reply);
    }
  d->revision[h->op] = h->to;
  d->handed_at[h->op] = env->now;
}

bool
dir_handed_received (dir_t *d, env_t *env, const char *vm, mpk_reader_t *r)
{
  const mbr_vm_t *sender = mbr_vm_find (d->desc.members, vm);
  uint64_t op = mpk_get_uint (r);
  _dir_handed_t h = { .good = mpk_get_uint (r) != 0 };
  h.from = mpk_get_uint (r);
  h.to = mpk_get_uint (r);
  (void)mpk_get_uint (r);
  ev_platform_t reply = { 0 };
  if (op > DIR_OP_UPSTREAMS || h.from > h.to || !_dir_entries_get (r, &reply)
      || sender == NULL || strcmp (sender->data_centre, env->data_centre) != 0)
    return false;
  h.op = (dir_op_t)op;
  uint64_t own = d->revision[op];
  if (own == 0 || (h.good && h.to < own) || dir_is_reader (d, env))
    return true;
  if (!h.good)
    dir_follow_end (d, env, h.op, "reader-failed");
  else if (own < h.from)
    dir_follow_end (d, env, h.op, "change-missed");
  else
    _dir_handed_apply (d, env, &h, &reply);
  return true;
}

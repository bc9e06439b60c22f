/** @file
 * Limit shares (prefix lsh_): promises of the writers not to replace the
 * lists, by which VMs keep their short rights while the platform is
 * unavailable.  Also dispatches the messages of limit shares.
 */
#include "core/lim_share_int.h"
#include "core/mpk.h"

#include <talloc.h>

/* Send a message of the numbers A, B and, unless negative, C. */
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

/* Whether the platform has listed this VM within the long life.  An unlisted
 * VM counts as gone, and others may replace the lists. */
static bool
_lsh_is_listed (const lsh_t *s, const env_t *env)
{
  const mbr_vm_t *self = mbr_vm_find (s->desc.members, env->vm);
  clk_ms_t at = mbr_list_read_at (s->desc.members);
  return self != NULL && self->listed && at != CLK_NEVER
         && env->now < at + s->desc.long_life_ms;
}

/* Promise that this VM does not replace the lists during the life of a short
 * right from now on; false when a replacement by this VM may be in progress,
 * or when this VM is not listed. */
static bool
_lsh_promise (lsh_t *s, env_t *env)
{
  if (s->writing || s->unknown_write_version == s->lists->version
      || !_lsh_is_listed (s, env))
    return false;
  s->promised_until = env->now + lsh_with_drift (s->desc.short_life_ms);
  return true;
}

void
lsh_promises_request (lsh_t *s, env_t *env)
{
  if (s->lists == NULL || s->desc.no_promises)
    return;
  const char *writers[LLI_WRITERS_MAX];
  size_t n = lli_writers (s->lists, writers);
  s->promise_round++;
  s->promise_round_sent = env->now;
  s->missing_promises = 0;
  for (size_t i = 0; i < n; i++)
    if (strcmp (writers[i], env->vm) != 0)
      {
        s->missing_promises |= 1U << i;
        _lsh_send (s, env, writers[i], MSG_LIMIT_PROMISE_REQUEST,
                   s->promise_round, s->lists->version, -1);
      }
    else if (!_lsh_promise (s, env))
      s->missing_promises |= 1U << LLI_WRITERS_MAX;
  if (n > 0 && s->missing_promises == 0)
    lsh_rights_confirm (s, env->now, false);
}

static void
_lsh_send_lists (lsh_t *s, env_t *env, const char *vm)
{
  buf_t value = lli_encode (s, s->lists);
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
_lsh_promise_requested (lsh_t *s, env_t *env, const char *vm, mpk_reader_t *r)
{
  uint64_t round = mpk_get_uint (r);
  uint64_t version = mpk_get_uint (r);
  if (!mpk_end (r) || s->lists == NULL)
    return;
  if (s->lists->version > version)
    _lsh_send_lists (s, env, vm);
  bool given = s->lists->version == version
               && lli_writer_index (s->lists, env->vm) < LLI_WRITERS_MAX
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
  if (!given || round != s->promise_round || version != s->lists->version
      || s->missing_promises == 0)
    return;
  size_t i = lli_writer_index (s->lists, vm);
  if (i == LLI_WRITERS_MAX)
    return;
  s->missing_promises &= ~(1U << i);
  if (s->missing_promises == 0)
    lsh_rights_confirm (s, s->promise_round_sent, false);
}

void
lsh_message_received (lsh_t *s, env_t *env, const char *vm, const msg_t *msg)
{
  void *ctx = talloc_new (s);
  mpk_reader_t r = mpk_reader (ctx, msg->body);
  switch (msg->kind)
    {
    case MSG_LIMIT_PROMISE_REQUEST:
      _lsh_promise_requested (s, env, vm, &r);
      break;
    case MSG_LIMIT_PROMISE:
      _lsh_promise_received (s, env, vm, &r);
      break;
    case MSG_LIMIT_READ_REQUEST:
      lsh_read_requested (s, env, vm, &r);
      break;
    case MSG_LIMIT_READ_RESULT:
      lsh_read_result_received (s, env, &r);
      break;
    case MSG_LIMIT_SHARES:
      {
        uint64_t version = mpk_get_uint (&r);
        buf_t value = mpk_get_str (&r);
        if (mpk_end (&r))
          lsh_lists_receive (s, env, version, value);
        break;
      }
    default:
      cnt_add (env->cnt, "rts_limit_bad_messages_total", "", 1);
      break;
    }
  talloc_free (ctx);
}

/** @file
 * Limit shares (prefix lsh_): reads of the data centre's lists, which confirm
 * rights.
 *
 * One VM of the data centre, the reader, reads for all: the others send the
 * reader requests.  The reader gathers these requests for a while and serves
 * all of them by one read, which it sends after the last request has arrived.
 * A right counts from the instant on the requesting VM's own clock at which
 * that VM sent the request, so the right is as safe as one by a read of its
 * own.  A VM that gets no result, or the result that the read failed, reads
 * the lists itself.
 */
#include "core/lim_share_int.h"
#include "core/mpk.h"

#include <string.h>
#include <talloc.h>

/* Time for the VMs of a new fleet to start, before the first lists are
 * created. */
#define LSH_CREATE_DELAY_MS (3 * CLK_SECOND)

/* Time between two reads while no lists exist yet. */
#define LSH_CREATE_POLL_MS (CLK_SECOND / 2)

/* Time for which the reader gathers requests of other VMs before a read. */
#define LSH_GATHER_MS 500

/* After this time without a result a VM reads the lists itself; a short right
 * lasts longer. */
#define LSH_READ_RESULT_TIMEOUT_MS 1200

/* Most other VMs that wait for a read. */
#define LSH_READ_WAITERS_MAX 4096

enum
{
  LSH_TIMER_POLL = 1,
  LSH_TIMER_CHECK,
  LSH_TIMER_READ_RESULT,
};

static void
_lsh_poll_arm (lsh_t *s, env_t *env, clk_ms_t at)
{
  s->poll_at = at;
  tmr_arm (env->tmr, at, MOD_LIMIT, LSH_TAG | LSH_TIMER_POLL);
}

/* Whether this VM reads for the VMs of its data centre. */
static bool
_lsh_is_reader (const lsh_t *s, const env_t *env)
{
  const char *reader = NULL;
  return mbr_rank (s->desc.members, env->data_centre, MOD_LIMIT, s->object,
                   &reader, 1)
             == 0
         || strcmp (reader, env->vm) == 0;
}

static void
_lsh_poll_arm_next (lsh_t *s, env_t *env)
{
  clk_ms_t wait = s->desc.short_life_ms * 2 / 5;
  if (s->lists == NULL && s->data_centre_count > 0 && !s->read_failed
      && _lsh_is_reader (s, env))
    wait = LSH_CREATE_POLL_MS;
  else if (s->lists == NULL || s->read_failed)
    wait = wait / 2;
  wait = env_jitter (env, wait);
  if (s->read_waiter_count > 0)
    wait = clk_min (wait, LSH_GATHER_MS);
  _lsh_poll_arm (s, env, env->now + wait);
}

void
lsh_reads_start (lsh_t *s, env_t *env)
{
  _lsh_poll_arm (s, env, env->now);
  tmr_arm (env->tmr, env->now + CLK_SECOND, MOD_LIMIT,
           LSH_TAG | LSH_TIMER_CHECK);
}

/* ---- this VM reads ---- */

static void
_lsh_read (lsh_t *s, env_t *env)
{
  s->awaiting_result = false;
  s->reading = true;
  s->read_sent = env->now;
  s->reading_for_count = s->read_waiter_count;
  plt_call (env, &(plt_req_t){ .mod = MOD_LIMIT,
                               .tag = LSH_TAG | LSH_CALL_READ,
                               .op = FX_PLATFORM_GET,
                               .name = s->object,
                               .timeout_ms = s->desc.short_life_ms / 6 });
}

/* Send a result to the waiting VM TO, with VALUE unless TO knows VERSION.
 * VERSION 0: the read failed. */
static void
_lsh_read_result_send (lsh_t *s, env_t *env, const lsh_read_waiter_t *to,
                       uint64_t version, buf_t value)
{
  mpk_writer_t w;
  mpk_writer_init (&w, s);
  mpk_put_uint (&w, to->number);
  mpk_put_uint (&w, version);
  mpk_put_str (&w, to->known_version < version ? value : buf_str (""));
  buf_t body = mpk_done (&w);
  mbr_send (s->desc.members, env, to->vm, MSG_LIMIT_READ_RESULT, body);
  talloc_free ((void *)(uintptr_t)body.p);
}

/* Send the result to the VMs whose requests came before the read was sent. */
static void
_lsh_read_results_send (lsh_t *s, env_t *env, uint64_t version)
{
  buf_t value = version > 0 ? lli_encode (s, s->lists) : (buf_t){ 0 };
  for (size_t i = 0; i < s->reading_for_count; i++)
    {
      _lsh_read_result_send (s, env, &s->read_waiters[i], version, value);
      talloc_free (s->read_waiters[i].vm);
    }
  for (size_t i = s->reading_for_count; i < s->read_waiter_count; i++)
    s->read_waiters[i - s->reading_for_count] = s->read_waiters[i];
  s->read_waiter_count -= s->reading_for_count;
  s->reading_for_count = 0;
  talloc_free ((void *)(uintptr_t)value.p);
}

/* Handle that the platform has no lists of this data centre: once the fleet is
 * known, read the objects of the other data centres in order to create the
 * lists. */
static void
_lsh_lists_missing (lsh_t *s, env_t *env)
{
  if (s->lists != NULL || s->writing || s->data_centre_count == 0
      || mbr_list_read_at (s->desc.members) == CLK_NEVER
      || env->now < s->started_at + LSH_CREATE_DELAY_MS)
    return;
  plt_call (env, &(plt_req_t){ .mod = MOD_LIMIT,
                               .tag = LSH_TAG | LSH_CALL_LIST_ALL,
                               .op = FX_PLATFORM_LIST,
                               .name = LSH_OBJECT_PREFIX });
}

static void
_lsh_read_replied (lsh_t *s, env_t *env, const ev_platform_t *reply)
{
  uint64_t version = 0;
  s->reading = false;
  s->read_failed = reply->code == ST_UNAVAILABLE || reply->code == ST_UNKNOWN;
  if (reply->code == ST_OK && reply->object_count == 1
      && lsh_lists_receive (s, env, reply->objects[0].version,
                            reply->objects[0].value))
    {
      version = s->lists->version;
      s->good_read_sent = s->read_sent;
      lsh_rights_confirm (s, s->read_sent, true);
    }
  else if (reply->code == ST_NOT_FOUND)
    {
      s->saw_no_lists = s->lists == NULL;
      _lsh_lists_missing (s, env);
    }
  else if (s->read_failed)
    lsh_promises_request (s, env);
  _lsh_read_results_send (s, env, version);
  _lsh_poll_arm_next (s, env);
}

/* ---- another VM reads ---- */

/* The VM that reads for this VM; NULL: this VM reads itself. */
static const char *
_lsh_reader (const lsh_t *s, const env_t *env)
{
  const char *reader = NULL;
  if (s->lists == NULL || s->read_failed
      || mbr_rank (s->desc.members, env->data_centre, MOD_LIMIT, s->object,
                   &reader, 1)
             == 0)
    return NULL;
  return strcmp (reader, env->vm) == 0 ? NULL : reader;
}

static void
_lsh_read_request (lsh_t *s, env_t *env, const char *reader)
{
  mpk_writer_t w;
  s->awaiting_result = true;
  s->request_sent = env->now;
  s->request_number++;
  mpk_writer_init (&w, s);
  mpk_put_uint (&w, s->request_number);
  mpk_put_uint (&w, s->lists->version);
  buf_t body = mpk_done (&w);
  mbr_send (s->desc.members, env, reader, MSG_LIMIT_READ_REQUEST, body);
  talloc_free ((void *)(uintptr_t)body.p);
  tmr_arm (env->tmr, env->now + LSH_READ_RESULT_TIMEOUT_MS, MOD_LIMIT,
           LSH_TAG | LSH_TIMER_READ_RESULT);
}

void
lsh_read_requested (lsh_t *s, env_t *env, const char *vm, mpk_reader_t *r)
{
  lsh_read_waiter_t waiter = { .number = mpk_get_uint (r) };
  waiter.known_version = mpk_get_uint (r);
  if (!mpk_end (r) || s->read_waiter_count >= LSH_READ_WAITERS_MAX)
    return;
  waiter.vm = talloc_strdup (s, vm);
  s->read_waiters = talloc_realloc (s, s->read_waiters, lsh_read_waiter_t,
                                    s->read_waiter_count + 1);
  s->read_waiters[s->read_waiter_count++] = waiter;
  if (!s->reading && s->poll_at > env->now + LSH_GATHER_MS)
    _lsh_poll_arm (s, env, env->now + LSH_GATHER_MS);
}

void
lsh_read_result_received (lsh_t *s, env_t *env, mpk_reader_t *r)
{
  uint64_t number = mpk_get_uint (r);
  uint64_t version = mpk_get_uint (r);
  buf_t value = mpk_get_str (r);
  if (!mpk_end (r) || !s->awaiting_result || number != s->request_number)
    return;
  if (value.n > 0)
    (void)lsh_lists_receive (s, env, version, value);
  if (version == 0 || version != s->lists->version)
    {
      _lsh_read (s, env);
      return;
    }
  s->awaiting_result = false;
  s->good_read_sent = s->request_sent;
  lsh_rights_confirm (s, s->request_sent, true);
  _lsh_poll_arm_next (s, env);
}

/* ---- timers and replies ---- */

/* A VM for which others wait reads itself, even if by its own view another VM
 * is the reader. */
static void
_lsh_poll (lsh_t *s, env_t *env)
{
  const char *reader = _lsh_reader (s, env);
  if (reader == NULL || s->read_waiter_count > 0)
    _lsh_read (s, env);
  else
    _lsh_read_request (s, env, reader);
}

void
lsh_timer_fired (lsh_t *s, env_t *env, uint64_t tag)
{
  switch (tag & ~LSH_TAG)
    {
    case LSH_TIMER_POLL:
      if (!s->reading && !s->awaiting_result && env->now >= s->poll_at)
        _lsh_poll (s, env);
      break;
    case LSH_TIMER_READ_RESULT:
      if (s->awaiting_result
          && env->now >= s->request_sent + LSH_READ_RESULT_TIMEOUT_MS)
        {
          cnt_add (env->cnt, "rts_limit_reads_unanswered_total", "", 1);
          _lsh_read (s, env);
        }
      break;
    case LSH_TIMER_CHECK:
      lsh_lists_check (s, env);
      tmr_arm (env->tmr, env->now + env_jitter (env, CLK_SECOND), MOD_LIMIT,
               LSH_TAG | LSH_TIMER_CHECK);
      break;
    default:
      break;
    }
}

static void
_lsh_write_replied (lsh_t *s, const ev_platform_t *reply)
{
  s->writing = false;
  if (reply->code == ST_UNKNOWN && s->lists != NULL)
    s->unknown_write_version = s->lists->version;
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
    case LSH_CALL_LIST_ALL:
      if (reply->code == ST_OK && s->lists == NULL && !s->writing)
        lsh_lists_create (s, env, reply);
      break;
    case LSH_CALL_WRITE:
      _lsh_write_replied (s, reply);
      if (!s->reading)
        _lsh_read (s, env);
      break;
    default:
      break;
    }
}

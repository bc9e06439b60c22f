/** @file
 * Router: preemption of batch requests for online requests.
 *
 * When an online request takes the last slot of an upstream, its VM sends a
 * message to the upstream's poller, which knows the batch requests of all VMs
 * there.  The message carries the sender's counts, so the poller's sum also
 * includes requests that were sent to a slot which their VM wrongly believed
 * free.  The poller has batch requests preempted until all requests have a
 * slot and one slot is free for the next online request.  A lost message only
 * delays this: the next usage message carries the same counts and has the same
 * effect.
 */
#include "core/mpk.h"
#include "core/rte_int.h"

#include <string.h>
#include <talloc.h>

static void
_rte_preempt_send (rte_t *r, env_t *env, const char *vm, uint16_t kind,
                   const rte_upstream_t *u)
{
  void *ctx = talloc_new (NULL);
  mpk_writer_t w;
  mpk_writer_init (&w, ctx);
  mpk_put_str (&w, buf_str (u->name));
  mpk_put_uint (&w, u->online + u->batch);
  mpk_put_uint (&w, u->batch);
  mbr_send (r->desc.members, env, vm, kind, mpk_done (&w));
  talloc_free (ctx);
}

/* Number of batch requests of this VM at U that are not yet preempted. */
static uint32_t
_rte_preempt_left (const rte_t *r, const rte_upstream_t *u)
{
  uint32_t queued = 0;
  for (const GList *l = r->preemptions.head; l != NULL; l = l->next)
    queued += l->data == u;
  return u->batch > queued ? u->batch - queued : 0;
}

/* Returns the usage of the other VM with the most batch requests at U, which
 * this VM polls, and writes that VM's name to *VM.  Returns NULL and leaves
 * *VM unchanged when no other VM has any. */
static rte_usage_t *
_rte_preempt_find (rte_upstream_t *u, const char **vm)
{
  rte_usage_t *most = NULL;
  GHashTableIter iter;
  void *name;
  void *value;
  g_hash_table_iter_init (&iter, u->poll->usage);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      rte_usage_t *usage = value;
      if (usage->batch == 0 || (most != NULL && usage->batch <= most->batch))
        continue;
      most = usage;
      *vm = name;
    }
  return most;
}

/* Causes the preemption of one batch request, at the VM with the most batch
 * requests at U.  Returns false when no VM has any left. */
static bool
_rte_preempt_one (rte_t *r, env_t *env, rte_upstream_t *u)
{
  const char *vm = NULL;
  rte_usage_t *most = _rte_preempt_find (u, &vm);
  uint32_t own = _rte_preempt_left (r, u);
  if (most != NULL && most->batch > own)
    {
      /* Reduces that VM's count at once, so that the next preemption can fall
       * on another VM. */
      most->batch--;
      most->in_flight--;
      _rte_preempt_send (r, env, vm, MSG_ROUTE_PREEMPT, u);
      return true;
    }
  if (own > 0)
    g_queue_push_tail (&r->preemptions, u);
  return own > 0;
}

void
rte_preempt_as_poller (rte_t *r, env_t *env, rte_upstream_t *u)
{
  u->others = rte_others_sum (u, env->vm, env->now, &u->others_batch);
  u->others_at = env->now;
  u->own_at_update = u->online + u->batch;
  uint32_t load = rte_known_load (u, env->now) - u->batch;
  load += _rte_preempt_left (r, u);
  while (u->slots > 0 && load >= u->slots && _rte_preempt_one (r, env, u))
    load--;
  u->others = rte_others_sum (u, env->vm, env->now, &u->others_batch);
}

void
rte_preempt (rte_t *r, env_t *env, rte_upstream_t *u)
{
  cnt_add (env->cnt, "rts_route_pressed_total", "", 1);
  if (u->poll != NULL)
    {
      rte_preempt_as_poller (r, env, u);
      return;
    }
  /* One batch request of another VM will end; the next report corrects the
   * sum. */
  if (u->others_batch > 0)
    {
      u->others_batch--;
      u->others--;
    }
  if (u->poller != NULL)
    _rte_preempt_send (r, env, u->poller, MSG_ROUTE_SLOTS_TAKEN, u);
}

/* Queues the preemption of a batch request of this VM.  The freed slot counts
 * as taken by the other VM's online request until the next report, which
 * includes that request. */
static void
_rte_preempt_own (rte_t *r, rte_upstream_t *u)
{
  if (_rte_preempt_left (r, u) == 0)
    return;
  u->others++;
  g_queue_push_tail (&r->preemptions, u);
}

bool
rte_preempt_received (rte_t *r, env_t *env, const char *vm, const msg_t *msg,
                      void *ctx)
{
  mpk_reader_t in = mpk_reader (ctx, msg->body);
  buf_t name = mpk_get_str (&in);
  uint64_t in_flight = mpk_get_uint (&in);
  uint64_t batch = mpk_get_uint (&in);
  if (!mpk_end (&in) || in_flight > UINT16_MAX || batch > in_flight)
    return false;
  rte_upstream_t *u = g_hash_table_lookup (r->by_name, name.p);
  if (u == NULL)
    return true;
  if (msg->kind == MSG_ROUTE_PREEMPT)
    _rte_preempt_own (r, u);
  else if (u->poll != NULL)
    {
      rte_usage_record (u, env, vm, (uint32_t)in_flight, (uint32_t)batch);
      rte_preempt_as_poller (r, env, u);
    }
  return true;
}

bool
rte_preempt_pop (rte_t *r, const char **upstream)
{
  const rte_upstream_t *u = g_queue_pop_head (&r->preemptions);
  if (u != NULL)
    *upstream = u->name;
  return u != NULL;
}

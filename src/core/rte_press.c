/** @file
 * Giving way at once: an online request that takes an upstream's last slot
 * tells the upstream's poller, which knows who has batch requests there.
 *
 * A lost message costs time only: the exchange brings the same news later.
 */
#include "core/mpk.h"
#include "core/rte_int.h"

#include <string.h>
#include <talloc.h>

static void
_rte_press_send (rte_t *r, env_t *env, const char *vm, uint16_t kind,
                 const rte_upstream_t *u)
{
  void *ctx = talloc_new (NULL);
  mpk_writer_t w;
  mpk_writer_init (&w, ctx);
  mpk_put_str (&w, buf_str (u->name));
  mbr_send (r->desc.members, env, vm, kind, mpk_done (&w));
  talloc_free (ctx);
}

/* A batch request of this VM is to give way; the slot is the online request's
 * until the next news, which has it among those of others. */
static void
_rte_press_here (rte_t *r, rte_upstream_t *u)
{
  if (u->batch == 0)
    return;
  u->others++;
  g_queue_push_tail (&r->yields, u);
}

/* This VM polls U: the VM with most batch requests there is to give way. */
static void
_rte_press_choose (rte_t *r, env_t *env, rte_upstream_t *u)
{
  GHashTableIter iter;
  void *name;
  void *value;
  const char *vm = NULL;
  rte_use_t *most = NULL;
  g_hash_table_iter_init (&iter, u->poll->uses);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      rte_use_t *use = value;
      if (use->batch == 0 || (most != NULL && use->batch <= most->batch))
        continue;
      most = use;
      vm = name;
    }
  if (most == NULL || u->batch >= most->batch)
    {
      _rte_press_here (r, u);
      return;
    }
  /* It is counted out at once, so that the next to be asked is another. */
  most->batch--;
  most->in_flight--;
  _rte_press_send (r, env, vm, MSG_ROUTE_YIELD, u);
}

void
rte_press (rte_t *r, env_t *env, rte_upstream_t *u)
{
  cnt_add (env->cnt, "rts_route_pressed_total", "", 1);
  /* One is on its way out; the next news of others is exact again. */
  if (u->others_batch > 0)
    {
      u->others_batch--;
      u->others--;
    }
  if (u->poll != NULL)
    _rte_press_choose (r, env, u);
  else if (u->poller != NULL)
    _rte_press_send (r, env, u->poller, MSG_ROUTE_PRESSED, u);
}

bool
rte_press_received (rte_t *r, env_t *env, const char *vm, const msg_t *msg,
                    void *ctx)
{
  mpk_reader_t in = mpk_reader (ctx, msg->body);
  buf_t name = mpk_get_str (&in);
  if (!mpk_end (&in))
    return false;
  rte_upstream_t *u = g_hash_table_lookup (r->by_name, name.p);
  if (u == NULL)
    return true;
  if (msg->kind == MSG_ROUTE_YIELD)
    _rte_press_here (r, u);
  else if (u->poll != NULL)
    {
      /* Its own count comes later and is exact again. */
      rte_use_t *use = g_hash_table_lookup (u->poll->uses, vm);
      if (use != NULL)
        use->in_flight++;
      _rte_press_choose (r, env, u);
    }
  return true;
}

bool
rte_yield_pop (rte_t *r, const char **upstream)
{
  const rte_upstream_t *u = g_queue_pop_head (&r->yields);
  if (u != NULL)
    *upstream = u->name;
  return u != NULL;
}

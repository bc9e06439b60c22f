#include "core/mbr_int.h"
#include "core/mpk.h"

#include <string.h>
#include <talloc.h>

/* Largest number of hops of one message. */
#define MBR_HOPS_MAX 4

/* Largest number of messages that wait for mbr_relayed_pop. */
#define MBR_RELAYED_MAX 4096

/* Whether E keeps a link to TO by their cells in the grid. */
static bool
_mbr_has_link_to (const mbr_entry_t *e, const mbr_entry_t *to)
{
  return mbr_entry_same_data_centre (e, to)
         && (e->row == to->row || e->column == to->column);
}

/* The next hop towards TO: a VM that has a link to TO, else one of the data
 * centre of TO, else one of the same cell as TO, else any with an open link.
 * Picks at random among equals.  Skips EXCEPT; NULL when none is left. */
static const mbr_entry_t *
_mbr_next_hop (const mbr_t *m, env_t *env, const mbr_entry_t *to,
               const char *except)
{
  const mbr_derived_t *d = mbr_derived (m);
  const mbr_entry_t *best = NULL;
  int best_rank = 0;
  uint32_t equals = 0;
  for (size_t i = 0; i < d->link_count; i++)
    {
      const mbr_entry_t *e = d->links[i];
      if (strcmp (e->vm.name, except) == 0)
        continue;
      int rank = 1;
      if (_mbr_has_link_to (e, to))
        rank = 4;
      else if (mbr_entry_same_data_centre (e, to))
        rank = 3;
      else if (e->row == to->row && e->column == to->column)
        rank = 2;
      if (rank < best_rank)
        continue;
      equals = rank > best_rank ? 1 : equals + 1;
      best_rank = rank;
      if (equals == 1 || g_rand_int_range (env->rand, 0, (gint32)equals) == 0)
        best = e;
    }
  return best;
}

static void
_mbr_relay (mbr_t *m, env_t *env, const char *to, const char *from,
            uint64_t hops, uint16_t kind, buf_t body, const char *except)
{
  const mbr_entry_t *target = mbr_entry_find (m, to);
  const mbr_entry_t *next = NULL;
  if (target != NULL)
    next = target->link_open ? target : _mbr_next_hop (m, env, target, except);
  if (next == NULL || hops == 0)
    {
      cnt_add (env->cnt, "rts_member_unreachable_total", "", 1);
      return;
    }
  mpk_writer_t w;
  mpk_writer_init (&w, m);
  mpk_put_str (&w, buf_str (to));
  mpk_put_str (&w, buf_str (from));
  mpk_put_uint (&w, hops - 1);
  mpk_put_uint (&w, kind);
  mpk_put_str (&w, body);
  buf_t wrapped = mpk_done (&w);
  cnt_add (env->cnt, "rts_member_relayed_total", "", 1);
  fx_peer_send (env->fx, next->vm.name, MSG_MEMBER_RELAY, wrapped);
  talloc_free ((void *)(uintptr_t)wrapped.p);
}

void
mbr_send (mbr_t *m, env_t *env, const char *vm, uint16_t kind, buf_t body)
{
  const mbr_entry_t *e = mbr_entry_find (m, vm);
  if (e == NULL || e->link_open || !mbr_is_grid (m))
    fx_peer_send (env->fx, vm, kind, body);
  else
    _mbr_relay (m, env, vm, env->vm, MBR_HOPS_MAX, kind, body, env->vm);
}

void
mbr_relay_received (mbr_t *m, env_t *env, const char *vm, mpk_reader_t *r)
{
  buf_t to = mpk_get_str (r);
  buf_t from = mpk_get_str (r);
  uint64_t hops = mpk_get_uint (r);
  uint16_t kind = (uint16_t)mpk_get_uint (r);
  buf_t body = mpk_get_str (r);
  if (!mpk_end (r) || kind == MSG_MEMBER_RELAY || hops > MBR_HOPS_MAX)
    {
      cnt_add (env->cnt, "rts_member_bad_messages_total", "", 1);
      return;
    }
  if (!buf_is (to, env->vm))
    {
      _mbr_relay (m, env, to.p, from.p, hops, kind, body, vm);
      return;
    }
  if (m->relayed_count == MBR_RELAYED_MAX)
    return;
  m->relayed
      = talloc_realloc (m, m->relayed, mbr_relayed_t, m->relayed_count + 1);
  mbr_relayed_t *out = &m->relayed[m->relayed_count++];
  out->from = talloc_strdup (m->relayed, from.p);
  out->msg = (msg_t){ .kind = kind, .body = buf_copy (m->relayed, body) };
}

bool
mbr_relayed_pop (mbr_t *m, mbr_relayed_t *out)
{
  if (m->relayed_first == m->relayed_count)
    {
      TALLOC_FREE (m->relayed);
      m->relayed_first = 0;
      m->relayed_count = 0;
      return false;
    }
  *out = m->relayed[m->relayed_first++];
  return true;
}

#include "core/mbr_int.h"

#include <string.h>
#include <xxhash.h>

/* Cells on one side of the grid: the largest power of two that is not above
 * the square root of N. */
static uint32_t
_mbr_grid_side (size_t n)
{
  size_t side = 1;
  while ((2 * side) * (2 * side) <= n)
    side *= 2;
  return (uint32_t)side;
}

static void
_mbr_grid_place (mbr_entry_t *e, uint32_t side)
{
  XXH64_hash_t h = XXH3_64bits (e->vm.name, strlen (e->vm.name));
  e->row = (uint32_t)(h % side);
  e->column = (uint32_t)((h >> 32) % side);
}

static bool
_mbr_is_link_needed (const mbr_t *m, const mbr_entry_t *e)
{
  if (e->vm.self || m->self == NULL)
    return false;
  if (!mbr_is_grid (m))
    return true;
  bool row = e->row == m->self->row;
  bool column = e->column == m->self->column;
  return mbr_entry_same_data_centre (e, m->self) ? row || column
                                                 : row && column;
}

static void
_mbr_grid_place_all (mbr_t *m)
{
  size_t data_centre_max = 0;
  for (size_t i = 0; i < m->count; i++)
    {
      size_t n = 0;
      for (size_t j = 0; j < m->count; j++)
        n += mbr_entry_same_data_centre (m->entries[i], m->entries[j]);
      data_centre_max = n > data_centre_max ? n : data_centre_max;
    }
  uint32_t side = _mbr_grid_side (data_centre_max);
  for (size_t i = 0; i < m->count; i++)
    _mbr_grid_place (m->entries[i], side);
}

/* Whether this VM keeps a link to a VM of DATA_CENTRE. */
static bool
_mbr_has_link_into (const mbr_t *m, const char *data_centre)
{
  for (size_t i = 0; i < m->count; i++)
    if (m->entries[i]->link_wanted
        && strcmp (m->entries[i]->vm.data_centre, data_centre) == 0)
      return true;
  return false;
}

void
mbr_link_set (env_t *env, mbr_entry_t *e, bool wanted)
{
  if (wanted == e->link_wanted)
    return;
  e->link_wanted = wanted;
  e->link_wanted_at = env->now;
  fx_push (env->fx,
           &(fx_t){ .kind = wanted ? FX_PEER_LINK : FX_PEER_UNLINK,
                    .peer = { .vm = e->vm.name, .address = e->vm.address } });
}

/* A data centre may have no VM in this VM's cell.  Then rendezvous hashing of
 * this VM's name picks one VM there to link to. */
static void
_mbr_link_empty_cells (mbr_t *m, env_t *env)
{
  for (size_t i = 0; i < m->count; i++)
    {
      const char *data_centre = m->entries[i]->vm.data_centre;
      if (mbr_entry_same_data_centre (m->entries[i], m->self)
          || _mbr_has_link_into (m, data_centre))
        continue;
      mbr_entry_t *best = NULL;
      uint64_t best_weight = 0;
      for (size_t j = 0; j < m->count; j++)
        {
          mbr_entry_t *e = m->entries[j];
          uint64_t weight = own_weight (e->vm.name, MOD_MEMBER, env->vm);
          if (strcmp (e->vm.data_centre, data_centre) != 0
              || (best != NULL && weight <= best_weight))
            continue;
          best = e;
          best_weight = weight;
        }
      mbr_link_set (env, best, true);
    }
}

void
mbr_links_choose (mbr_t *m, env_t *env)
{
  _mbr_grid_place_all (m);
  if (m->self == NULL)
    return;
  for (size_t i = 0; i < m->count; i++)
    mbr_link_set (env, m->entries[i], _mbr_is_link_needed (m, m->entries[i]));
  if (mbr_is_grid (m))
    _mbr_link_empty_cells (m, env);
  for (size_t i = 0; i < m->count; i++)
    mbr_entry_update (m, env, m->entries[i]);
  m->generation++;
}

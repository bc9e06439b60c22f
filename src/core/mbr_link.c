#include "core/mbr_int.h"

#include <string.h>

/* A VM that has been down for this long counts as gone. */
#define MBR_GONE_MS (1 * CLK_MINUTE)

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

/* Whether entry I is the first one of its data centre. */
static bool
_mbr_is_first_of_data_centre (const mbr_t *m, size_t i)
{
  for (size_t j = 0; j < i; j++)
    if (mbr_entry_same_data_centre (m->entries[j], m->entries[i]))
      return false;
  return true;
}

/* The largest number of VMs in one data centre; with KEPT only of those that
 * are not gone. */
static size_t
_mbr_data_centre_max (const mbr_t *m, bool kept)
{
  size_t most = 0;
  for (size_t i = 0; i < m->count; i++)
    {
      size_t n = 0;
      if (!_mbr_is_first_of_data_centre (m, i))
        continue;
      for (size_t j = 0; j < m->count; j++)
        n += mbr_entry_same_data_centre (m->entries[i], m->entries[j])
             && !(kept && m->entries[j]->gone);
      most = n > most ? n : most;
    }
  return most;
}

bool
mbr_gone_update (mbr_t *m, const env_t *env)
{
  bool changed = false;
  for (size_t i = 0; i < m->count; i++)
    {
      mbr_entry_t *e = m->entries[i];
      bool gone = !e->vm.up && !e->vm.self
                  && env->now - e->vm.down_since >= MBR_GONE_MS;
      changed = changed || gone != e->gone;
      e->gone = gone;
    }
  return changed;
}

/* The VMs that are not gone. */
static size_t
_mbr_kept_count (const mbr_t *m)
{
  size_t n = 0;
  for (size_t i = 0; i < m->count; i++)
    n += !m->entries[i]->gone;
  return n;
}

/* Whether this VM keeps a link to E.  The VMs that are not gone form a mesh or
 * a grid of their own, so that they stay connected however many of the list
 * are gone.  Those that are gone have their place in the larger grid of the
 * whole list: the links that it asks for open when they come back.  As the
 * sides of both grids are powers of two, cells of one row of the larger grid
 * are in one row of the smaller. */
static bool
_mbr_is_link_needed (const mbr_t *m, const mbr_entry_t *e)
{
  if (e->vm.self || m->self == NULL)
    return false;
  if (!mbr_is_grid (m) || (!e->gone && m->kept_mesh))
    return true;
  uint32_t side = e->gone ? m->side_all : m->side;
  bool row = e->row_hash % side == m->self->row_hash % side;
  bool column = e->column_hash % side == m->self->column_hash % side;
  return mbr_entry_same_data_centre (e, m->self) ? row || column
                                                 : row && column;
}

static void
_mbr_grid_place_all (mbr_t *m)
{
  m->side_all = _mbr_grid_side (_mbr_data_centre_max (m, false));
  m->side = _mbr_grid_side (_mbr_data_centre_max (m, true));
  m->kept_mesh = _mbr_kept_count (m) <= m->desc.full_mesh_max;
  for (size_t i = 0; i < m->count; i++)
    {
      mbr_entry_t *e = m->entries[i];
      e->row_hash = (uint32_t)e->name_hash;
      e->column_hash = (uint32_t)(e->name_hash >> 32);
      e->row = e->row_hash % m->side;
      e->column = e->column_hash % m->side;
    }
}

/* Whether this VM keeps a link to a VM of DATA_CENTRE that is not gone. */
static bool
_mbr_has_link_into (const mbr_t *m, const char *data_centre)
{
  for (size_t i = 0; i < m->count; i++)
    if (m->entries[i]->link_wanted && !m->entries[i]->gone
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
 * this VM's name picks one VM there to link to, if possible one that is not
 * gone. */
static void
_mbr_link_empty_cells (mbr_t *m, env_t *env)
{
  for (size_t i = 0; i < m->count; i++)
    {
      const char *data_centre = m->entries[i]->vm.data_centre;
      if (mbr_entry_same_data_centre (m->entries[i], m->self)
          || !_mbr_is_first_of_data_centre (m, i)
          || _mbr_has_link_into (m, data_centre))
        continue;
      mbr_entry_t *best = NULL;
      uint64_t best_weight = 0;
      for (size_t j = 0; j < m->count; j++)
        {
          mbr_entry_t *e = m->entries[j];
          uint64_t weight = own_weight (e->vm.name, MOD_MEMBER, env->vm);
          bool before = best == NULL || (best->gone && !e->gone)
                        || (best->gone == e->gone && weight > best_weight);
          if (strcmp (e->vm.data_centre, data_centre) != 0 || !before)
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
  (void)mbr_gone_update (m, env);
  _mbr_grid_place_all (m);
  if (m->self == NULL)
    return;
  for (size_t i = 0; i < m->count; i++)
    mbr_link_set (env, m->entries[i], _mbr_is_link_needed (m, m->entries[i]));
  if (mbr_is_grid (m))
    _mbr_link_empty_cells (m, env);
  for (size_t i = 0; i < m->count; i++)
    {
      mbr_entry_t *e = m->entries[i];
      if (!mbr_is_grid (m) && e->link_open)
        e->report = MBR_REPORTED_UP;
      mbr_entry_update (m, env, e);
    }
  m->generation++;
}

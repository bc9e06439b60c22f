#include "core/mbr_int.h"

#include <string.h>
#include <talloc.h>

mbr_entry_t *
mbr_entry_find (const mbr_t *m, const char *name)
{
  size_t low = 0;
  size_t high = m->sorted;
  while (low < high)
    {
      size_t mid = (low + high) / 2;
      int order = strcmp (name, m->entries[mid]->vm.name);
      if (order == 0)
        return m->entries[mid];
      if (order < 0)
        high = mid;
      else
        low = mid + 1;
    }
  return NULL;
}

size_t
mbr_vm_count (const mbr_t *m)
{
  return m->count;
}

const mbr_vm_t *
mbr_vm_get (const mbr_t *m, size_t i)
{
  return i < m->count ? &m->entries[i]->vm : NULL;
}

const mbr_vm_t *
mbr_vm_find (const mbr_t *m, const char *name)
{
  const mbr_entry_t *e = mbr_entry_find (m, name);
  return e ? &e->vm : NULL;
}

static mbr_data_centre_t *
_mbr_data_centre_find (mbr_derived_t *d, const char *name)
{
  for (size_t i = 0; i < d->data_centre_count; i++)
    if (strcmp (d->data_centres[i].name, name) == 0)
      return &d->data_centres[i];
  return NULL;
}

static mbr_data_centre_t *
_mbr_data_centre_add (const mbr_t *m, mbr_derived_t *d, const char *name)
{
  d->data_centres = talloc_realloc (d, d->data_centres, mbr_data_centre_t,
                                    d->data_centre_count + 1);
  mbr_data_centre_t *centre = &d->data_centres[d->data_centre_count++];
  *centre = (mbr_data_centre_t){ .name = talloc_strdup (d, name) };
  centre->vms = talloc_array (d, const char *, m->count);
  return centre;
}

const mbr_derived_t *
mbr_derived (const mbr_t *m)
{
  mbr_derived_t *d = m->derived;
  if (d->generation == m->generation)
    return d;
  talloc_free_children (d);
  *d = (mbr_derived_t){ .generation = m->generation };
  d->links = talloc_array (d, mbr_entry_t *, m->count);
  for (size_t i = 0; i < m->count; i++)
    {
      mbr_entry_t *e = m->entries[i];
      if (e->link_open && !e->silent)
        d->links[d->link_count++] = e;
      mbr_data_centre_t *centre = _mbr_data_centre_find (d, e->vm.data_centre);
      if (centre == NULL)
        centre = _mbr_data_centre_add (m, d, e->vm.data_centre);
      if (e->vm.up && !e->vm.leaving && !e->vm.worker)
        centre->vms[centre->count++] = e->vm.name;
    }
  return d;
}

size_t
mbr_data_centre_count (const mbr_t *m)
{
  return mbr_derived (m)->data_centre_count;
}

const char *
mbr_data_centre_get (const mbr_t *m, size_t i)
{
  const mbr_derived_t *d = mbr_derived (m);
  return i < d->data_centre_count ? d->data_centres[i].name : NULL;
}

size_t
mbr_rank (const mbr_t *m, const char *data_centre, mod_t kind,
          const char *name, const char **out, size_t max)
{
  (void)mbr_derived (m);
  const mbr_data_centre_t *centre
      = _mbr_data_centre_find (m->derived, data_centre);
  return centre ? own_rank (centre->vms, centre->count, kind, name, out, max)
                : 0;
}

const char *
mbr_owner (const mbr_t *m, const char *data_centre, mod_t kind,
           const char *name)
{
  const char *owner = NULL;
  mbr_rank (m, data_centre, kind, name, &owner, 1);
  return owner;
}

uint64_t
mbr_generation (const mbr_t *m)
{
  return m->generation;
}

clk_ms_t
mbr_list_read_at (const mbr_t *m)
{
  return m->list_read_at;
}

size_t
mbr_link_count (const mbr_t *m)
{
  size_t n = 0;
  for (size_t i = 0; i < m->count; i++)
    n += m->entries[i]->link_wanted;
  return n;
}

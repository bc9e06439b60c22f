#include "core/mbr_priv.h"

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
      int order = strcmp (name, m->v[mid]->vm.name);
      if (order == 0)
        return m->v[mid];
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
  return i < m->count ? &m->v[i]->vm : NULL;
}

const mbr_vm_t *
mbr_vm_find (const mbr_t *m, const char *name)
{
  const mbr_entry_t *e = mbr_entry_find (m, name);
  return e ? &e->vm : NULL;
}

size_t
mbr_rank (const mbr_t *m, const char *data_centre, mod_t kind,
          const char *name, const char **out, size_t max)
{
  const char **vms = talloc_array (NULL, const char *, m->count + 1);
  size_t n = 0;
  for (size_t i = 0; i < m->count; i++)
    {
      const mbr_vm_t *vm = &m->v[i]->vm;
      if (vm->up && !vm->leaving && strcmp (vm->data_centre, data_centre) == 0)
        vms[n++] = vm->name;
    }
  size_t count = own_rank (vms, n, kind, name, out, max);
  talloc_free (vms);
  return count;
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
mbr_listed_at (const mbr_t *m)
{
  return m->listed_at;
}

size_t
mbr_link_count (const mbr_t *m)
{
  size_t n = 0;
  for (size_t i = 0; i < m->count; i++)
    n += m->v[i]->wanted;
  return n;
}

#include "core/spr.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

typedef struct
{
  const char *vm;
  const char *data_centre;
} _spr_vm_t;

struct spr
{
  _spr_vm_t self;
  mbr_t *members; /**< may be NULL */
  void *list;     /**< owns ring and neighbour */
  _spr_vm_t *ring;
  size_t count;
  size_t self_index; /**< index of this VM on the ring */
  bool is_relay;
  const char **neighbour;
  size_t neighbour_count;
  const char **linked;
  size_t linked_count;
};

spr_t *
spr_setup (void *ctx, const char *vm, const char *data_centre, mbr_t *members)
{
  spr_t *s = talloc_zero (ctx, spr_t);
  s->members = members;
  s->self.vm = talloc_strdup (s, vm);
  s->self.data_centre = talloc_strdup (s, data_centre);
  spr_update (s, NULL, 0);
  return s;
}

void
spr_shutdown (spr_t *s)
{
  talloc_free (s);
}

static int
_spr_compare (const void *a, const void *b)
{
  return strcmp (((const _spr_vm_t *)a)->vm, ((const _spr_vm_t *)b)->vm);
}

static void
_spr_ring_build (spr_t *s, const ev_vm_t *vms, size_t n)
{
  s->ring = talloc_array (s->list, _spr_vm_t, n + 1);
  for (size_t i = 0; i < n; i++)
    s->ring[i] = (_spr_vm_t){
      .vm = talloc_strdup (s->list, vms[i].vm),
      .data_centre = talloc_strdup (s->list, vms[i].data_centre),
    };
  s->ring[n] = s->self;
  qsort (s->ring, n + 1, sizeof s->ring[0], _spr_compare);
  s->count = 0;
  for (size_t i = 0; i <= n; i++)
    {
      if (s->count == 0
          || strcmp (s->ring[s->count - 1].vm, s->ring[i].vm) != 0)
        s->ring[s->count++] = s->ring[i];
    }
  for (size_t i = 0; i < s->count; i++)
    {
      if (strcmp (s->ring[i].vm, s->self.vm) == 0)
        s->self_index = i;
    }
}

static uint64_t
_spr_hash (const char *vm)
{
  return XXH3_64bits (vm, strlen (vm));
}

static bool
_spr_is_relay (const spr_t *s)
{
  unsigned before = 0;
  uint64_t own = _spr_hash (s->self.vm);
  for (size_t i = 0; i < s->count; i++)
    {
      if (strcmp (s->ring[i].data_centre, s->self.data_centre) == 0
          && _spr_hash (s->ring[i].vm) < own)
        before++;
    }
  return before < SPR_RELAY_NUM;
}

void
spr_update (spr_t *s, const ev_vm_t *vms, size_t n)
{
  talloc_free (s->list);
  s->list = talloc_new (s);
  _spr_ring_build (s, vms, n);
  s->is_relay = _spr_is_relay (s);
  s->neighbour = talloc_array (s->list, const char *, s->count);
  s->neighbour_count = 0;
  for (size_t step = 1; step < s->count;
       step = s->count <= SPR_FULL_MESH_MAX ? step + 1 : 2 * step)
    s->neighbour[s->neighbour_count++]
        = s->ring[(s->self_index + step) % s->count].vm;
}

void
spr_link_add (spr_t *s, const char *vm)
{
  for (size_t i = 0; i < s->linked_count; i++)
    {
      if (strcmp (s->linked[i], vm) == 0)
        return;
    }
  if (s->linked_count == SPR_FULL_MESH_MAX)
    return;
  s->linked = talloc_realloc (s, s->linked, const char *, s->linked_count + 1);
  s->linked[s->linked_count++] = talloc_strdup (s, vm);
}

size_t
spr_count (const spr_t *s)
{
  return s->count;
}

const char *
spr_vm (const spr_t *s, size_t i)
{
  return s->ring[i].vm;
}

const char *
spr_data_centre (const spr_t *s, size_t i)
{
  return s->ring[i].data_centre;
}

size_t
spr_neighbour_count (const spr_t *s)
{
  return s->count > 1 ? s->neighbour_count : s->linked_count;
}

const char *
spr_neighbour (const spr_t *s, size_t i)
{
  return s->count > 1 ? s->neighbour[i] : s->linked[i];
}

bool
spr_is_relay (const spr_t *s)
{
  return s->is_relay;
}

const char *
spr_next_hop (const spr_t *s, const char *vm)
{
  const _spr_vm_t wanted = { .vm = vm };
  const _spr_vm_t *found
      = bsearch (&wanted, s->ring, s->count, sizeof wanted, _spr_compare);
  size_t target = found == NULL ? s->self_index : (size_t)(found - s->ring);
  if (target == s->self_index)
    return NULL;
  size_t distance = (target + s->count - s->self_index) % s->count;
  size_t step = 1;
  if (s->members != NULL || s->count <= SPR_FULL_MESH_MAX)
    return s->ring[target].vm;
  while (2 * step <= distance)
    step *= 2;
  return s->ring[(s->self_index + step) % s->count].vm;
}

void
spr_send (const spr_t *s, env_t *env, const char *vm, uint16_t kind,
          buf_t body)
{
  if (s->members != NULL && s->count > 1)
    mbr_send (s->members, env, vm, kind, body);
  else
    fx_peer_send (env->fx, vm, kind, body);
}

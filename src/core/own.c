#include "core/own.h"

#include <stdbool.h>
#include <string.h>
#include <xxhash.h>

/* Mixes the bits of H (finalizer of splitmix64). */
static uint64_t
_own_mix (uint64_t h)
{
  h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9U;
  h = (h ^ (h >> 27)) * 0x94d049bb133111ebU;
  return h ^ (h >> 31);
}

uint64_t
own_hash_vm (const char *vm)
{
  return XXH3_64bits (vm, strlen (vm));
}

uint64_t
own_hash_key (mod_t kind, const char *name)
{
  return XXH3_64bits_withSeed (name, strlen (name), (XXH64_hash_t)kind + 1);
}

uint64_t
own_weight_hashed (uint64_t vm, uint64_t key)
{
  return _own_mix (vm ^ key);
}

uint64_t
own_weight (const char *vm, mod_t kind, const char *name)
{
  return own_weight_hashed (own_hash_vm (vm), own_hash_key (kind, name));
}

const char *
own_pick (const char *const *vms, size_t n, mod_t kind, const char *name)
{
  const char *best = NULL;
  own_rank (vms, n, kind, name, &best, 1);
  return best;
}

/* Whether VM ranks before OTHER; equal weights are ordered by name. */
static bool
_own_before (uint64_t weight, const char *vm, uint64_t other_weight,
             const char *other)
{
  if (weight != other_weight)
    return weight > other_weight;
  return strcmp (vm, other) < 0;
}

size_t
own_rank (const char *const *vms, size_t n, mod_t kind, const char *name,
          const char **out, size_t max)
{
  uint64_t weights[OWN_RANK_MAX];
  uint64_t key = own_hash_key (kind, name);
  size_t count = 0;
  if (max > OWN_RANK_MAX)
    max = OWN_RANK_MAX;
  for (size_t i = 0; i < n && max > 0; i++)
    {
      uint64_t weight = own_weight_hashed (own_hash_vm (vms[i]), key);
      size_t at = count;
      while (at > 0
             && _own_before (weight, vms[i], weights[at - 1], out[at - 1]))
        at--;
      if (at == max)
        continue;
      count += count < max;
      for (size_t j = count - 1; j > at; j--)
        {
          out[j] = out[j - 1];
          weights[j] = weights[j - 1];
        }
      out[at] = vms[i];
      weights[at] = weight;
    }
  return count;
}

#include "core/lim_lists.h"

#include "core/lim_share.h"
#include "core/mpk.h"
#include "core/own.h"

#include <string.h>
#include <talloc.h>

buf_t
lli_encode (void *ctx, const lli_t *lists)
{
  mpk_writer_t w;
  mpk_writer_init (&w, ctx);
  mpk_put_uint (&w, lists->home_part);
  mpk_put_uint (&w, lists->other_part);
  mpk_put_uint (&w, lists->data_centre_count);
  for (size_t i = 0; i < lists->data_centre_count; i++)
    mpk_put_str (&w, buf_str (lists->data_centres[i]));
  mpk_put_uint (&w, lists->short_revision);
  mpk_put_uint (&w, lists->long_revision);
  for (size_t i = 0; i < lists->count; i++)
    {
      mpk_put_str (&w, buf_str (lists->vms[i]));
      mpk_put_uint (&w, lists->list_bits[i]);
    }
  return mpk_done (&w);
}

lli_t *
lli_setup (void *ctx)
{
  lli_t *lists = talloc_zero (ctx, lli_t);
  lists->vms = talloc_array (lists, const char *, LLI_VMS_MAX);
  lists->hashes = talloc_array (lists, uint64_t, LLI_VMS_MAX);
  lists->list_bits = talloc_array (lists, uint8_t, LLI_VMS_MAX);
  return lists;
}

static void
_lli_decode_data_centres (lli_t *lists, mpk_reader_t *r)
{
  uint64_t count = mpk_get_uint (r);
  if (count > LLI_DATA_CENTRES_MAX)
    r->failed = true;
  for (uint64_t i = 0; i < count && !r->failed; i++)
    lists->data_centres[lists->data_centre_count++] = mpk_get_str (r).p;
}

lli_t *
lli_decode (void *ctx, uint64_t version, buf_t value)
{
  lli_t *lists = lli_setup (ctx);
  lists->version = version;
  mpk_reader_t r = mpk_reader (lists, value);
  lists->home_part = (uint32_t)mpk_get_uint (&r);
  lists->other_part = (uint32_t)mpk_get_uint (&r);
  _lli_decode_data_centres (lists, &r);
  lists->short_revision = mpk_get_uint (&r);
  lists->long_revision = mpk_get_uint (&r);
  while (mpk_more (&r) && lists->count < LLI_VMS_MAX)
    {
      const char *vm = mpk_get_str (&r).p;
      uint8_t list_bits = (uint8_t)mpk_get_uint (&r);
      if (!r.failed)
        lli_append (lists, vm, list_bits);
    }
  if (mpk_end (&r) && lists->home_part <= LSH_PARTS_TOTAL
      && lists->other_part <= LSH_PARTS_TOTAL)
    return lists;
  talloc_free (lists);
  return NULL;
}

size_t
lli_index (const lli_t *lists, const char *vm)
{
  size_t i = 0;
  while (i < lists->count && strcmp (lists->vms[i], vm) != 0)
    i++;
  return i;
}

size_t
lli_writers (const lli_t *lists, const char **out)
{
  size_t n = 0;
  for (size_t i = 0; i < lists->count && n < LLI_WRITERS_MAX; i++)
    if (lists->list_bits[i] & LLI_IN_SHORT)
      out[n++] = lists->vms[i];
  return n;
}

size_t
lli_writer_index (const lli_t *lists, const char *vm)
{
  const char *writers[LLI_WRITERS_MAX];
  size_t n = lli_writers (lists, writers);
  for (size_t i = 0; i < n; i++)
    if (strcmp (writers[i], vm) == 0)
      return i;
  return LLI_WRITERS_MAX;
}

const char *
lli_home (const lli_t *lists, const char *customer)
{
  if (lists->home_part == lists->other_part)
    return NULL;
  return own_pick (lists->data_centres, lists->data_centre_count, MOD_LIMIT,
                   customer);
}

bool
lli_same_division (const lli_t *a, const lli_t *b)
{
  if (a->home_part != b->home_part || a->other_part != b->other_part
      || a->data_centre_count != b->data_centre_count)
    return false;
  for (size_t i = 0; i < a->data_centre_count; i++)
    if (strcmp (a->data_centres[i], b->data_centres[i]) != 0)
      return false;
  return true;
}

lli_t *
lli_copy (void *ctx, const lli_t *lists)
{
  buf_t value = lli_encode (ctx, lists);
  lli_t *copy = lli_decode (ctx, lists->version, value);
  talloc_free ((void *)(uintptr_t)value.p);
  return copy;
}

void
lli_append (lli_t *lists, const char *vm, uint8_t list_bits)
{
  if (lists->count == LLI_VMS_MAX)
    return;
  lists->vms[lists->count] = vm;
  lists->hashes[lists->count] = own_hash_vm (vm);
  lists->list_bits[lists->count++] = list_bits;
}

uint32_t
lli_part (const lli_t *lists, const char *vm, const char *customer,
          unsigned minters, uint8_t bit, uint32_t total)
{
  size_t self = lli_index (lists, vm);
  if (self == lists->count || !(lists->list_bits[self] & bit))
    return 0;
  uint64_t customer_hash = own_hash_key (MOD_LIMIT, customer);
  uint64_t weight = own_weight_hashed (lists->hashes[self], customer_hash);
  uint32_t listed = 0;
  uint32_t before = 0;
  for (size_t i = 0; i < lists->count; i++)
    {
      if (!(lists->list_bits[i] & bit))
        continue;
      uint64_t other_weight
          = own_weight_hashed (lists->hashes[i], customer_hash);
      listed++;
      before += other_weight > weight
                || (other_weight == weight && strcmp (lists->vms[i], vm) < 0);
      if (before == minters)
        return 0;
    }
  uint32_t divided = listed < minters ? listed : minters;
  return divided > 0 ? total / divided : 0;
}

size_t
lli_replace (lli_t *lists, const bool *wanted, uint8_t bit, uint8_t old_bit)
{
  size_t changes = 0;
  for (size_t i = 0; i < lists->count; i++)
    {
      bool was = (lists->list_bits[i] & bit) != 0;
      changes += was != wanted[i];
      lists->list_bits[i] &= (uint8_t) ~(bit | old_bit);
      if (was)
        lists->list_bits[i] |= old_bit;
      if (wanted[i])
        lists->list_bits[i] |= bit;
    }
  return changes;
}

bool
lli_differs (const lli_t *lists, const bool *wanted, uint8_t bit)
{
  for (size_t i = 0; i < lists->count; i++)
    if (wanted[i] != ((lists->list_bits[i] & bit) != 0))
      return true;
  return false;
}

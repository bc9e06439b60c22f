#include "core/tbl.h"

#include "core/inv.h"

#include <string.h>
#include <talloc.h>

#define TBL_CHUNK_RECORDS 64 /**< records in one allocation */
#define TBL_MAX_DEFAULT (1U << 20)

typedef struct
{
  uint32_t generation;
  uint32_t next_free; /**< next free slot + 1; 0: none */
  bool used;
} _tbl_slot_t;

struct tbl
{
  size_t size;
  uint32_t max;
  uint32_t slots;      /**< number of slots allocated */
  uint32_t count;      /**< number of records in use */
  uint32_t first_free; /**< first free slot + 1; 0: none */
  _tbl_slot_t *slot;
  char **chunk; /**< separate blocks: records do not move when a table grows */
};

tbl_t *
tbl_setup (void *ctx, const tbl_desc_t *desc)
{
  INV_CHECK (desc->size > 0, "table-record-size", "size is 0");
  tbl_t *t = talloc_zero (ctx, tbl_t);
  t->size = (desc->size + 15) & ~(size_t)15;
  t->max = desc->max == 0 ? TBL_MAX_DEFAULT : desc->max;
  return t;
}

void
tbl_shutdown (tbl_t *t)
{
  talloc_free (t);
}

static void *
_tbl_record (const tbl_t *t, uint32_t slot)
{
  return t->chunk[slot / TBL_CHUNK_RECORDS]
         + (size_t)(slot % TBL_CHUNK_RECORDS) * t->size;
}

static void
_tbl_grow (tbl_t *t)
{
  uint32_t slots = t->slots + TBL_CHUNK_RECORDS;
  t->slot = talloc_realloc (t, t->slot, _tbl_slot_t, slots);
  t->chunk = talloc_realloc (t, t->chunk, char *, slots / TBL_CHUNK_RECORDS);
  t->chunk[t->slots / TBL_CHUNK_RECORDS]
      = talloc_size (t, TBL_CHUNK_RECORDS * t->size);
  for (uint32_t i = slots; i > t->slots; i--)
    {
      t->slot[i - 1]
          = (_tbl_slot_t){ .generation = 1, .next_free = t->first_free };
      t->first_free = i;
    }
  t->slots = slots;
}

tbl_id_t
tbl_alloc (tbl_t *t)
{
  if (t->count >= t->max)
    return (tbl_id_t){ 0 };
  if (t->first_free == 0)
    _tbl_grow (t);
  uint32_t slot = t->first_free - 1;
  _tbl_slot_t *s = &t->slot[slot];
  t->first_free = s->next_free;
  s->used = true;
  t->count++;
  memset (_tbl_record (t, slot), 0, t->size);
  return (tbl_id_t){ (uint64_t)s->generation << 32 | (slot + 1) };
}

void *
tbl_get (const tbl_t *t, tbl_id_t id)
{
  uint32_t slot = (uint32_t)id.id - 1;
  if (id.id == 0 || slot >= t->slots)
    return NULL;
  const _tbl_slot_t *s = &t->slot[slot];
  if (!s->used || s->generation != (uint32_t)(id.id >> 32))
    return NULL;
  return _tbl_record (t, slot);
}

void
tbl_free (tbl_t *t, tbl_id_t id)
{
  if (tbl_get (t, id) == NULL)
    return;
  uint32_t slot = (uint32_t)id.id - 1;
  _tbl_slot_t *s = &t->slot[slot];
  s->used = false;
  s->generation++;
  s->next_free = t->first_free;
  t->first_free = slot + 1;
  t->count--;
}

uint32_t
tbl_count (const tbl_t *t)
{
  return t->count;
}

tbl_id_t
tbl_next (const tbl_t *t, tbl_id_t after)
{
  for (uint32_t slot = (uint32_t)after.id; slot < t->slots; slot++)
    {
      const _tbl_slot_t *s = &t->slot[slot];
      if (s->used)
        return (tbl_id_t){ (uint64_t)s->generation << 32 | (slot + 1) };
    }
  return (tbl_id_t){ 0 };
}

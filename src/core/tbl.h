/** @file
 * Tables (tbl_): pools of fixed-size records, each referred to by a handle.
 *
 *   tbl_t *calls = tbl_setup (ctx, &(tbl_desc_t){ .size = sizeof (call_t) });
 *   tbl_id_t id = tbl_alloc (calls);
 *   call_t *call = tbl_get (calls, id);     NULL after the record is freed
 *   tbl_free (calls, id);
 *
 * Use a table for records that other modules, timers or replies refer to
 * after they may have been freed: the generation in a handle detects a stale
 * one.  Pointers from tbl_get stay valid until that record is freed.  A table
 * is not a map: to find records by name, store their handles in a hash table.
 * Sizes are in bytes; a full table gives handle 0.
 */
#ifndef RTS_TBL_H
#define RTS_TBL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Handle: slot + 1 in the low 32 bits, generation in the high 32 bits; 0: no
 * record. */
typedef struct
{
  uint64_t id;
} tbl_id_t;

/** Parameters of a table. */
typedef struct
{
  size_t size;  /**< size of a record in bytes; required */
  uint32_t max; /**< maximum number of records; default 1,048,576 */
} tbl_desc_t;

typedef struct tbl tbl_t;

/** Creates a table owned by CTX. */
tbl_t *tbl_setup (void *ctx, const tbl_desc_t *desc);

/** Frees the table and all of its records. */
void tbl_shutdown (tbl_t *t);

/** Allocates a zeroed record; returns handle 0 when the table is full. */
tbl_id_t tbl_alloc (tbl_t *t);

/** Returns the record of ID, or NULL when ID is stale or 0. */
void *tbl_get (const tbl_t *t, tbl_id_t id);

/** Frees the record of ID; ignores a stale handle. */
void tbl_free (tbl_t *t, tbl_id_t id);

/** Returns the number of records in use. */
uint32_t tbl_count (const tbl_t *t);

/** Returns the next record in use after AFTER, the first one if AFTER is 0,
 * and 0 at the end.  Records may be freed or allocated during the
 * iteration. */
tbl_id_t tbl_next (const tbl_t *t, tbl_id_t after);

#endif

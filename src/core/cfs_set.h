/** @file
 * The sections in force on a VM with the version that last changed each.
 *
 *   cfs_set_t *set = cfs_set_setup (ctx);
 *   cfs_set_put (set, &(cfs_record_t){ .name = "customer a",
 *                                      .text = "[customer a]\n...",
 *                                      .version = 7 });
 *   cfs_records_t news = cfs_set_since (ctx, set, 6);
 *
 * A removed section stays as a record without text, so that an old base is
 * recognised and peers hear of the removal.  Digests cover all records, in
 * CFS_BUCKETS groups.
 */
#ifndef RTS_CFS_SET_H
#define RTS_CFS_SET_H

#include "core/buf.h"
#include "core/mpk.h"

#include <stdint.h>

/** Groups of sections; each is one object in the platform. */
#define CFS_BUCKETS 64

/** One section. */
typedef struct
{
  const char *name;
  const char *text; /**< "": removed; NULL: to be forgotten */
  uint64_t version; /**< of the document that brought this text */
} cfs_record_t;

/** Some records, in the order of their names. */
typedef struct
{
  cfs_record_t *v;
  size_t count;
} cfs_records_t;

/** Digests of all groups. */
typedef struct
{
  uint64_t v[CFS_BUCKETS];
} cfs_digests_t;

typedef struct cfs_set cfs_set_t;

/** New empty set owned by CTX. */
cfs_set_t *cfs_set_setup (void *ctx);

/** Free it. */
void cfs_set_shutdown (cfs_set_t *set);

/** Group of the section NAME. */
unsigned cfs_set_bucket (const char *name);

/** The record of NAME, also a removed one; NULL: none. */
const cfs_record_t *cfs_set_find (const cfs_set_t *set, const char *name);

/** Store a copy of RECORD in place of the one of that name. */
void cfs_set_put (cfs_set_t *set, const cfs_record_t *record);

/** Records, removed ones too, with versions above VERSION; they borrow their
 * strings until the set changes. */
cfs_records_t cfs_set_since (void *ctx, const cfs_set_t *set,
                             uint64_t version);

/** All records of a group, as above. */
cfs_records_t cfs_set_in_bucket (void *ctx, const cfs_set_t *set,
                                 unsigned bucket);

/** Digests as they were if CHANGES were put. */
cfs_digests_t cfs_set_digests (const cfs_set_t *set,
                               const cfs_records_t *changes);

/** One digest for all groups. */
uint64_t cfs_digests_combine (const cfs_digests_t *digests);

/** The document as if CHANGES (may be NULL) were put, owned by CTX; with
 * REPLACE the document is just the changes. */
buf_t cfs_set_text (void *ctx, const cfs_set_t *set,
                    const cfs_records_t *changes, bool replace);

/** RECORDS, and one without text for each section that stands in one of the
 * groups BUCKETS but is not among them. */
cfs_records_t cfs_set_removals_add (void *ctx, const cfs_set_t *set,
                                    const cfs_records_t *records,
                                    const bool buckets[CFS_BUCKETS]);

/** Put MORE behind ALL, whose array CTX owns; strings are borrowed. */
void cfs_records_append (void *ctx, cfs_records_t *all,
                         const cfs_records_t *more);

/** Write records; read them, strings owned by CTX.  Check mpk_end after. */
void cfs_records_write (mpk_writer_t *w, const cfs_records_t *records);
cfs_records_t cfs_records_read (void *ctx, mpk_reader_t *r);

#endif

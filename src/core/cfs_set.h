/** @file
 * Section set of the configuration store (prefix cfs_): the sections in force
 * on a VM, each with the document version that last changed it.
 *
 *   cfs_set_t *set = cfs_set_setup (ctx);
 *   cfs_set_put (set, &(cfs_record_t){ .name = "customer a",
 *                                      .text = "[customer a]\n...",
 *                                      .version = 7 });
 *   cfs_records_t newer = cfs_set_since (ctx, set, 6);
 *
 * A removed section stays in the set as a record with empty text: a change
 * from an older base is then recognised as a conflict, and peers receive the
 * removal.  Records are hashed by name into CFS_BUCKETS buckets, and each
 * bucket has a digest of its records.
 *
 * Only for the files of cfs.  The set does not validate texts; cfg.h does.
 * Functions do not fail except cfs_records_read.  The set copies what it
 * stores; results borrow their strings until the set changes.
 */
#ifndef RTS_CFS_SET_H
#define RTS_CFS_SET_H

#include "core/buf.h"
#include "core/mpk.h"

#include <stdint.h>

/** Buckets that sections are hashed into; each is one object in the
 * platform. */
#define CFS_BUCKETS 64

/** One section. */
typedef struct
{
  const char *name;
  const char *text; /**< "": removed; NULL: delete the record */
  uint64_t version; /**< of the document that set this text */
} cfs_record_t;

/** An array of records; functions of the set return it sorted by name. */
typedef struct
{
  cfs_record_t *v;
  size_t count;
} cfs_records_t;

/** Digest of each bucket. */
typedef struct
{
  uint64_t v[CFS_BUCKETS];
} cfs_digests_t;

typedef struct cfs_set cfs_set_t;

/** New empty set owned by CTX. */
cfs_set_t *cfs_set_setup (void *ctx);

/** Free the set. */
void cfs_set_shutdown (cfs_set_t *set);

/** Bucket of the section NAME. */
unsigned cfs_set_bucket (const char *name);

/** The record of NAME, which may be a removed section; NULL: none. */
const cfs_record_t *cfs_set_find (const cfs_set_t *set, const char *name);

/** Store a copy of RECORD; it replaces the record of the same name. */
void cfs_set_put (cfs_set_t *set, const cfs_record_t *record);

/** The records with versions above VERSION, including removed sections. */
cfs_records_t cfs_set_since (void *ctx, const cfs_set_t *set,
                             uint64_t version);

/** All records of BUCKET, including removed sections. */
cfs_records_t cfs_set_in_bucket (void *ctx, const cfs_set_t *set,
                                 unsigned bucket);

/** The digests that the set would have with CHANGES (may be NULL) stored. */
cfs_digests_t cfs_set_digests (const cfs_set_t *set,
                               const cfs_records_t *changes);

/** One digest of all buckets. */
uint64_t cfs_digests_combine (const cfs_digests_t *digests);

/** Text of the document with CHANGES (may be NULL) applied, owned by CTX; with
 * REPLACE the document consists of the changes alone. */
buf_t cfs_set_text (void *ctx, const cfs_set_t *set,
                    const cfs_records_t *changes, bool replace);

/** RECORDS plus a deletion (text NULL) for each record of the set that is in
 * one of BUCKETS and has no counterpart in RECORDS. */
cfs_records_t cfs_set_removals_add (void *ctx, const cfs_set_t *set,
                                    const cfs_records_t *records,
                                    const bool buckets[CFS_BUCKETS]);

/** Append MORE to ALL, whose array CTX owns; strings are borrowed. */
void cfs_records_append (void *ctx, cfs_records_t *all,
                         const cfs_records_t *more);

/** Encode RECORDS. */
void cfs_records_write (mpk_writer_t *w, const cfs_records_t *records);

/** Decode records; the array is owned by CTX, the strings by the context of
 * R.  The caller calls mpk_end afterwards, which tells whether all records
 * were valid. */
cfs_records_t cfs_records_read (void *ctx, mpk_reader_t *r);

#endif

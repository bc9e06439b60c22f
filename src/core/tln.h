/** @file
 * Time line (tln_): a ring buffer of the last events of a node, stamped by a
 * hybrid logical clock.
 *
 *   tln_record (t, now, MOD_LIMIT, "refuse", "customer=%s wait=%ld", ...);
 *   stamp = tln_stamp_send (t, now);          sent with every message
 *   tln_stamp_receive (t, now, stamp);        called for every message
 *
 * The stamps order the merged time lines of several VMs causally.  Record
 * decisions that explain the node's behaviour, but never a caller's key; for
 * numbers use cnt.h.  When the ring is full, the oldest record is overwritten.
 * Times are in milliseconds.  Nothing here fails.
 */
#ifndef RTS_TLN_H
#define RTS_TLN_H

#include "core/clk.h"
#include "core/mod.h"

#include <stddef.h>

/** Size of a record's detail in bytes, with its NUL byte; longer ones are
 * cut. */
#define TLN_DETAIL_SIZE 144

/** Hybrid logical time; ordered by ms, then by count. */
typedef struct
{
  clk_ms_t ms;    /**< Unix time, or a later one received from a peer */
  uint32_t count; /**< order of the stamps with the same ms */
} tln_stamp_t;

/** One record. */
typedef struct
{
  tln_stamp_t stamp;
  mod_t mod;
  const char *event;            /**< name of the event; a string constant */
  char detail[TLN_DETAIL_SIZE]; /**< "key=value ..." */
} tln_record_t;

/** Parameters of a time line. */
typedef struct
{
  size_t records;          /**< maximum number of records; default 512 */
  clk_ms_t unix_offset_ms; /**< Unix time minus node time; stamps hold Unix
                                time, which a reader can compare across VMs */
} tln_desc_t;

typedef struct tln tln_t;

/** Creates a time line owned by CTX.  The ring grows with its records up to
 * its maximum. */
tln_t *tln_setup (void *ctx, const tln_desc_t *desc);

/** Frees the time line. */
void tln_shutdown (tln_t *t);

/** Appends a record with a printf-style detail; EVENT must be a string
 * constant. */
void tln_record (tln_t *t, clk_ms_t now, mod_t mod, const char *event,
                 const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));

/** Advances the clock and returns the stamp for a message sent at NOW. */
tln_stamp_t tln_stamp_send (tln_t *t, clk_ms_t now);

/** Advances the clock past STAMP, the stamp of a message received at NOW. */
void tln_stamp_receive (tln_t *t, clk_ms_t now, tln_stamp_t stamp);

/** Returns the number of records appended so far, including overwritten ones.
 * Records are numbered from 0, so the newest is number tln_total - 1. */
uint64_t tln_total (const tln_t *t);

/** Returns the number of records in the ring. */
size_t tln_count (const tln_t *t);

/** Returns the I-th oldest record in the ring, counted from 0. */
const tln_record_t *tln_get (const tln_t *t, size_t i);

/** Returns the records of the ring as a JSON array of objects, oldest first,
 * owned by CTX.  VM is the name of this VM. */
char *tln_format (void *ctx, const tln_t *t, const char *vm);

#endif

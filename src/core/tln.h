/** @file
 * The time line: a bounded ring of a node's events, stamped by a hybrid
 * logical clock so that rings of several VMs merge in causal order.
 *
 *   tln_record (t, now, MOD_LIMIT, "refuse", "customer=%s wait=%ld", ...);
 *   stamp = tln_stamp_send (t, now);          goes with every message
 *   tln_stamp_receive (t, now, stamp);        on every message
 *
 * Records never hold a caller's key.  The oldest records are overwritten.
 */
#ifndef RTS_TLN_H
#define RTS_TLN_H

#include "core/clk.h"
#include "core/mod.h"

#include <stddef.h>

/** Room for a record's detail, in bytes. */
#define TLN_DETAIL_SIZE 104

/** Hybrid logical time: milliseconds, then a counter. */
typedef struct
{
  clk_ms_t ms;
  uint32_t count;
} tln_stamp_t;

/** One record. */
typedef struct
{
  tln_stamp_t stamp;
  mod_t mod;
  const char *event; /**< a string constant */
  char detail[TLN_DETAIL_SIZE];
} tln_record_t;

/** How to set a time line up. */
typedef struct
{
  size_t records;          /**< ring size; default 512 */
  clk_ms_t unix_offset_ms; /**< Unix time less the node's; makes the stamps of
                                VMs comparable to a person */
} tln_desc_t;

typedef struct tln tln_t;

/** New ring owned by CTX; memory is taken as records come. */
tln_t *tln_setup (void *ctx, const tln_desc_t *desc);

/** Free the ring. */
void tln_shutdown (tln_t *t);

/** Append a record; EVENT must be a string constant. */
void tln_record (tln_t *t, clk_ms_t now, mod_t mod, const char *event,
                 const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));

/** Stamp for a message that is sent now. */
tln_stamp_t tln_stamp_send (tln_t *t, clk_ms_t now);

/** Note the stamp of a message that has arrived. */
void tln_stamp_receive (tln_t *t, clk_ms_t now, tln_stamp_t stamp);

/** Records ever made; the newest is number tln_total - 1. */
uint64_t tln_total (const tln_t *t);

/** Records held. */
size_t tln_count (const tln_t *t);

/** The I-th oldest record held. */
const tln_record_t *tln_get (const tln_t *t, size_t i);

/** All records as a JSON array of objects, oldest first, owned by CTX. */
char *tln_format (void *ctx, const tln_t *t, const char *vm);

#endif

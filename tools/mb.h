/** @file
 * Parts of measure_batch: each runs one experiment from fixed seeds, prints
 * its table as Markdown and appends rows to a CSV file.
 */
#ifndef RTS_MB_H
#define RTS_MB_H

#include <stdio.h>

/** Platform calls, bytes and time to acknowledge, by chunk size. */
void mb_calls_run (FILE *csv);

/** Batch items and online latency under a jumping online load. */
void mb_yield_run (FILE *csv);

/** Lateness and the worst-served customer, by order. */
void mb_order_run (FILE *csv);

#endif

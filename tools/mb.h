/** @file
 * mb ("measure batch"): the experiments of the program measure_batch.  Each
 * runs from fixed seeds, prints its table as Markdown on standard output, its
 * progress on standard error, and appends rows to the open file CSV.
 */
#ifndef RTS_MB_H
#define RTS_MB_H

#include <stdio.h>

/** Platform calls, bytes and time until a job is acknowledged, by chunk
 * size. */
void mb_calls_run (FILE *csv);

/** Yield of idle slots to batch items, and the latency of online requests, for
 * each way to admit items, under an online load with a burst. */
void mb_yield_run (FILE *csv);

/** Lateness of jobs and the worst-served customer, by scheduling policy. */
void mb_order_run (FILE *csv);

#endif

/** @file
 * mb ("measure batch"): the experiments of the program measure_batch.  Each
 * runs from fixed seeds, prints its table as Markdown on standard output, its
 * progress on standard error, and appends rows to the open file CSV.
 */
#ifndef RTS_MB_H
#define RTS_MB_H

#include <stdio.h>

/** Measures platform calls, bytes and the time until a job is acknowledged, by
 * chunk size. */
void mb_calls_run (FILE *csv);

/** Measures how much of the idle slots batch items use, and the latency of
 * online requests, in each scenario of mb_model.h, under an online load with a
 * burst. */
void mb_yield_run (FILE *csv);

/** Measures the lateness of jobs and finds the worst-served customer, by
 * scheduling policy. */
void mb_order_run (FILE *csv);

#endif

/** @file
 * Counters (cnt_): counters, gauges and histograms of one node.
 *
 *   cnt_add (c, "rts_requests_total", "outcome=\"ok\"", 1);
 *   cnt_observe (c, "rts_first_byte_ms", "", 12);
 *   char *text = cnt_format (ctx, c);      Prometheus text format
 *
 * Use this module for metrics, not for values that decisions depend on.  Names
 * and labels must come from a bounded set, never from a caller's request,
 * because a series is never removed.  The monitoring system computes rates
 * and averages.  The unit is a part of the name.  Nothing here fails.
 */
#ifndef RTS_CNT_H
#define RTS_CNT_H

#include <stdint.h>

typedef struct cnt cnt_t;

/** Creates an empty set owned by CTX. */
cnt_t *cnt_setup (void *ctx);

/** Frees the set. */
void cnt_shutdown (cnt_t *c);

/** Adds N to the counter NAME{LABELS}.  LABELS has the syntax of Prometheus
 * and may be "". */
void cnt_add (cnt_t *c, const char *name, const char *labels, uint64_t n);

/** Sets the gauge NAME{LABELS} to V. */
void cnt_set (cnt_t *c, const char *name, const char *labels, double v);

/** Counts V in the histogram NAME{LABELS}, whose buckets have the upper bounds
 * 1, 2, 4 ... 2^22 and +Inf. */
void cnt_observe (cnt_t *c, const char *name, const char *labels, double v);

/** Returns the value of a counter or gauge, or 0 when it does not exist. */
double cnt_value (const cnt_t *c, const char *name, const char *labels);

/** Returns all series in the Prometheus text format, owned by CTX. */
char *cnt_format (void *ctx, const cnt_t *c);

#endif

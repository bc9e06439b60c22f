/** @file
 * State of the stand-in for a model engine: the prefix cache with its events,
 * and the load reports.  Callers see both with a lag, as with a real engine
 * whose reports describe a past state.  Only engine.c uses this header.  Times
 * are in milliseconds.
 */
#ifndef STANDIN_ENGINE_H
#define STANDIN_ENGINE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct cache cache_t;

/** Creates a cache of CAPACITY prompt prefixes, owned by CTX, whose events
 * become visible after LAG_MS. */
cache_t *cache_setup (void *ctx, uint32_t capacity, uint64_t lag_ms);

/** Makes PROMPT's prefix (16 hex digits of the SHA-256 of its first 256 bytes)
 * the most recently used one.  A new prefix evicts the least recently used one
 * from a full cache.  Returns whether the prefix was in the cache. */
bool cache_use (cache_t *c, const char *prompt);

/** Returns {"seq", "events"} with the events numbered above AFTER.  Omits some
 * events, as if they were lost. */
json_t *cache_events (const cache_t *c, uint64_t after);

typedef struct report report_t;

/** Creates load reports with a lag of LAG_MS, owned by CTX. */
report_t *report_setup (void *ctx, uint64_t lag_ms);

/** Records the present load. */
void report_put (report_t *r, uint32_t running, uint32_t waiting);

/** Returns {"running", "waiting", "seq", "at_ms_ago"}: the load LAG_MS ago. */
json_t *report_get (const report_t *r);

#endif

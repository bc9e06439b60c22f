/** @file
 * Parts of the stand-in for a model engine: the prefix cache with its events,
 * and the load reports.  Both show what was, not what is.
 */
#ifndef STANDIN_ENGINE_H
#define STANDIN_ENGINE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct cache cache_t;

/** Cache of CAPACITY prompt prefixes; its events are seen after LAG_MS. */
cache_t *cache_setup (void *ctx, uint32_t capacity, uint64_t lag_ms);

/** Look PROMPT's prefix (XXH64 of its first 256 bytes) up and make it the
 * newest; false when it was not there. */
bool cache_use (cache_t *c, const char *prompt);

/** {"seq", "events"} after AFTER; now and then one is missing. */
json_t *cache_events (const cache_t *c, uint64_t after);

typedef struct report report_t;

/** Load reports that are LAG_MS late. */
report_t *report_setup (void *ctx, uint64_t lag_ms);

/** Note the load as it is now. */
void report_put (report_t *r, uint32_t running, uint32_t waiting);

/** {"running", "waiting", "seq", "at_ms_ago"} as it was LAG_MS ago. */
json_t *report_get (const report_t *r);

#endif

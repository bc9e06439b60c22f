/** @file
 * Server-sent events: cuts a stream's bytes into whole events.
 *
 *   sse_t s = { 0 };
 *   sse_event_t e;
 *   sse_push (&s, bytes);
 *   while (sse_pop (&s, &e))
 *     use (e.id, e.raw);
 *   sse_clear (&s);
 *
 * Knows only what resuming a stream needs: where an event ends, its id and
 * its data.  Does not make events.
 */
#ifndef RTS_SSE_H
#define RTS_SSE_H

#include "core/buf.h"

#include <glib.h>

/** Bytes that came and were not taken yet; zeroed: none. */
typedef struct
{
  GString *bytes;
  gsize offset; /**< bytes before it were taken */
} sse_t;

/** A whole event; valid until the next call. */
typedef struct
{
  buf_t raw;  /**< with the blank line that ends it */
  buf_t id;   /**< empty: none */
  buf_t data; /**< value of the first data line */
} sse_event_t;

/** Append bytes of the stream. */
void sse_push (sse_t *s, buf_t bytes);

/** Take the next whole event; false: none. */
bool sse_pop (sse_t *s, sse_event_t *event);

/** Whether bytes are left that are no whole event. */
bool sse_pending (const sse_t *s);

/** Forget all and free the memory. */
void sse_clear (sse_t *s);

#endif

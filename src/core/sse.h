/** @file
 * Server-sent events (sse_): splits the bytes of a stream into events.
 *
 *   sse_t s = { 0 };
 *   sse_event_t e;
 *   sse_push (&s, bytes);
 *   while (sse_pop (&s, &e))
 *     use (e.id, e.raw);
 *   sse_clear (&s);
 *
 * Use this parser to forward a stream so that the stream can be resumed: the
 * parser finds the end, the id and the data of each event, ignores the other
 * fields and does not write events.  The parser owns the bytes until
 * sse_clear, and does not limit their number: once sse_pop has returned false,
 * ask sse_is_too_large whether to go on.  Nothing here fails.
 *
 * For a stream that is passed on as it comes, sse_place_t says without a
 * buffer whether the stream is between two events.
 */
#ifndef RTS_SSE_H
#define RTS_SSE_H

#include "core/buf.h"

#include <glib.h>
#include <stdint.h>

/** Largest event, in bytes. */
#define SSE_EVENT_MAX ((size_t)256 << 10)

/** A parser; a zeroed one is empty. */
typedef struct
{
  GString *bytes; /**< NULL: none */
  gsize offset;   /**< start of the first event not popped yet */
} sse_t;

/** A complete event; valid until the next call of sse_push or sse_clear. */
typedef struct
{
  buf_t raw;  /**< all lines, with the blank line that ends the event */
  buf_t id;   /**< value of the last id line; empty: none */
  buf_t data; /**< value of the first data line; empty: none */
} sse_event_t;

/** Where a stream stands that is passed on without splitting it; a zeroed one
 * is at its start. */
typedef struct
{
  bool in_line;      /**< the current line has bytes */
  bool in_comment;   /**< the current line is a comment */
  bool in_event;     /**< a field came since the last blank line */
  bool after_return; /**< the last byte was CR, which a LF may follow */
  uint64_t events;   /**< whole events that have come */
} sse_place_t;

/** Moves PLACE behind BYTES.  Lines end with LF, CR or CR LF. */
void sse_place_advance (sse_place_t *place, buf_t bytes);

/** Returns whether PLACE is within an event or line: a stream that ends there
 * has been cut short. */
bool sse_place_is_inside (const sse_place_t *place);

/** Appends BYTES of the stream. */
void sse_push (sse_t *s, buf_t bytes);

/** Removes the next complete event and stores it in EVENT; returns false when
 * the buffered bytes contain none. */
bool sse_pop (sse_t *s, sse_event_t *event);

/** Returns whether bytes are buffered; after sse_pop has returned false, they
 * are the start of an incomplete event. */
bool sse_pending (const sse_t *s);

/** Returns whether the bytes buffered exceed SSE_EVENT_MAX; after sse_pop has
 * returned false, the incomplete event does. */
bool sse_is_too_large (const sse_t *s);

/** Frees the buffered bytes; the parser is empty and can be used again. */
void sse_clear (sse_t *s);

#endif

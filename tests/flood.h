/** @file
 * Bytes without end (prefix flood_): sends the same bytes on a socket again
 * and again until the peer closes, and watches this process's memory.
 *
 *   flood_t *f = flood_start (ctx, loop, fd, "HTTP/1.1 200 OK\r\n", "A:
 * b\r\n", (size_t)64 << 20);
 *   ... run LOOP ...
 *   CU_ASSERT (flood_is_closed (f));
 *   CU_ASSERT (flood_growth (f) < bound);
 *
 * Use it where the peer runs in the same process and loop, so that its memory
 * is this process's.  The blocks are small and sent from one buffer, so the
 * growth is the peer's.  What the peer sends is dropped.  The caller owns the
 * descriptor, and removes its own events for it first.
 */
#ifndef RTS_FLOOD_H
#define RTS_FLOOD_H

#include <stdbool.h>
#include <stddef.h>
#include <tevent.h>

typedef struct flood flood_t;

/** Starts to send FIRST once and then BLOCK repeatedly on the socket FD, MAX
 * bytes at most.  CTX owns the result; freeing it stops the bytes. */
flood_t *flood_start (void *ctx, struct tevent_context *loop, int fd,
                      const char *first, const char *block, size_t max);

/** Returns whether the peer has closed the connection. */
bool flood_is_closed (const flood_t *f);

/** Returns the number of bytes sent. */
size_t flood_sent (const flood_t *f);

/** Returns by how many bytes this process's resident memory was larger than
 * at flood_start, at most. */
size_t flood_growth (const flood_t *f);

#endif

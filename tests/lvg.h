/** @file
 * Leaving upstreams on the driver's bed (prefix lvg_): where requests go.
 *
 *   lvg_answer_with (b, "r-1", (drvbed_reply_t){ .header = LVG_LEAVING });
 *   lvg_check_avoided (b, 0, "next");
 *
 * Use it for tests of what an upstream says of its leaving.  Upstream 0 must
 * be the only one in the VM's data centre, so that it gets every request that
 * may go there.
 */
#ifndef RTS_LVG_H
#define RTS_LVG_H

#include "drvbed.h"

/** The header with which an upstream says that it is leaving. */
#define LVG_LEAVING "Server-Leaving: 1"

/** Requests that a check sends. */
#define LVG_REQUESTS 6

/** Asks request ID and has upstream 0 respond with REPLY, whose id is filled
 * in.  Asserts that the request has come there. */
drvbed_answer_t *lvg_answer_with (drvbed_t *b, const char *id,
                                  drvbed_reply_t reply);

/** Sends the head and event 1 of the proper response to R, and returns the
 * rest of it. */
const char *lvg_begin (drvbed_t *b, const drvbed_request_t *r);

/** A stream in progress at upstream 0. */
typedef struct
{
  drvbed_answer_t *answer;
  drvbed_request_t *request; /**< NULL: it has not come there */
  const char *rest;          /**< of the response */
} lvg_stream_t;

/** Asks request ID and does the same with it at upstream 0.  Asserts that it
 * has come there. */
lvg_stream_t lvg_begin_stream (drvbed_t *b, const char *id);

/** Sends the rest of S's response.  Asserts that the caller gets all of it,
 * from upstream 0 alone. */
void lvg_end_stream (drvbed_t *b, const lvg_stream_t *s);

/** Sends COUNT requests PREFIX-1 and so on, one after the other, to upstreams
 * that serve.  Returns how many got their own whole response. */
unsigned lvg_served_count (drvbed_t *b, const char *prefix, unsigned count);

/** Asserts that new requests are served and that UPSTREAM gets none. */
void lvg_check_avoided (drvbed_t *b, size_t upstream, const char *prefix);

/** Asserts that new requests are served by UPSTREAM. */
void lvg_check_used (drvbed_t *b, size_t upstream, const char *prefix);

#endif

/** @file
 * HTTP server (hsv_) over libmicrohttpd in a tevent loop, for callers and
 * operators.
 *
 *   hsv_t *s = hsv_setup (ctx, &(hsv_desc_t){ .loop = loop,
 *                                             .listen = "127.0.0.1:8080",
 *                                             .handler = on_event,
 *                                             .data = self }, &st);
 *   hsv_reply_head (s, caller, 200, headers);
 *   hsv_reply_data (s, caller, bytes);
 *   hsv_reply_end (s, caller);
 *
 * The handler gets EV_REQUEST once for each complete request, and
 * EV_CALLER_GONE when the caller closes before the end of the response; never
 * from within an hsv_reply function.  Replies to a caller that is gone are
 * ignored.  Data is borrowed in events and copied in replies.  Sizes are in
 * bytes.  A body that exceeds a limit gets a response without an event, and so
 * does a head that may not be passed on (core/hck.h); then the connection is
 * closed.  Links
 * between VMs use lnk.h instead.
 */
#ifndef RTS_HSV_H
#define RTS_HSV_H

#include "core/ev.h"

#include <tevent.h>

/** Parameters of a server. */
typedef struct
{
  struct tevent_context *loop;
  const char *listen; /**< "IP:PORT" */
  void (*handler) (void *data, const ev_t *event);
  /** Called with FULL when CALLER reads more slowly than data arrives and its
   * queue exceeds queue_max: the data's source should pause.  Called without
   * FULL when less than half of queue_max remains queued.  May be called from
   * within hsv_reply_data. */
  void (*flow) (void *data, uint64_t caller, bool full);
  void *data;
  unsigned connections; /**< maximum number; default 8192 */
  size_t body_max;      /**< largest body of a request; default 64 MiB; one of
                             more than twice the size gets no response, its
                             connection is closed */
  size_t bodies_max;    /**< limit of all incomplete requests' bodies together;
                             default 128 MiB */
  size_t queue_max;     /**< bytes queued for a caller; default 256 KiB */
  unsigned idle_s; /**< seconds until an idle connection is closed; default
                        75 s */
  uint64_t caller_base; /**< ids of callers are above this value */
} hsv_desc_t;

typedef struct hsv hsv_t;

/** Creates a server owned by CTX.  Returns NULL and sets ST when the server
 * cannot listen. */
hsv_t *hsv_setup (void *ctx, const hsv_desc_t *desc, st_t *st);

/** Closes all connections and frees the server. */
void hsv_shutdown (hsv_t *s);

/** Returns whether the last call of flow for CALLER was with FULL. */
bool hsv_is_full (const hsv_t *s, uint64_t caller);

/** Stops accepting connections; open connections continue. */
void hsv_quiesce (hsv_t *s);

/** Starts the response to CALLER; a second call for CALLER is ignored. */
void hsv_reply_head (hsv_t *s, uint64_t caller, int status,
                     http_headers_t headers);

/** Has the body of the response to CALLER, which has not started, end with the
 * connection, with neither a length nor chunks.  Its end is a close only after
 * hsv_reply_end, else a reset, also when this process ends. */
void hsv_reply_close_delimited (hsv_t *s, uint64_t caller);

/** Appends DATA to the body; never blocks. */
void hsv_reply_data (hsv_t *s, uint64_t caller, buf_t data);

/** Marks the response as complete. */
void hsv_reply_end (hsv_t *s, uint64_t caller);

/** Closes the connection so that the caller sees a truncated response: before
 * the last chunk, or with a reset if the response is not in chunks. */
void hsv_reply_abort (hsv_t *s, uint64_t caller);

/** Returns the number of requests whose responses have not been sent in
 * full. */
size_t hsv_open_count (const hsv_t *s);

#endif

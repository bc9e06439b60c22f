/** @file
 * HTTP server over libmicrohttpd in a tevent loop, for callers and operators.
 *
 *   hsv_t *s = hsv_setup (ctx, &(hsv_desc_t){ .loop = loop,
 *                                             .listen = "127.0.0.1:8080",
 *                                             .handler = on_event,
 *                                             .data = self }, &st);
 *   hsv_reply_head (s, caller, 200, headers);
 *   hsv_reply_data (s, caller, bytes);
 *   hsv_reply_end (s, caller);
 *
 * The handler gets each whole request once (EV_REQUEST) and EV_CALLER_GONE
 * when the caller closes before the answer's end; never from within an
 * hsv_reply call.  Replies to a caller that is gone are ignored.
 */
#ifndef RTS_HSV_H
#define RTS_HSV_H

#include "core/ev.h"

#include <tevent.h>

/** How to set a server up. */
typedef struct
{
  struct tevent_context *loop;
  const char *listen; /**< "IP:PORT" */
  void (*handler) (void *data, const ev_t *event);
  /** The caller's queue is full (or has room again): hold its source. */
  void (*flow) (void *data, uint64_t caller, bool full);
  void *data;
  unsigned connections; /**< most at a time; default 8192 */
  size_t body_max;      /**< bytes of a request's body; default 64 MiB */
  size_t bodies_max;    /**< bytes of all bodies that are coming in; default
                             128 MiB */
  size_t queue_max;     /**< bytes queued for one caller; default 256 KiB */
  unsigned idle_s;      /**< an idle connection's life; default 75 s */
  uint64_t caller_base; /**< callers' numbers start above it */
} hsv_desc_t;

typedef struct hsv hsv_t;

/** New server owned by CTX; NULL with ST when it cannot listen. */
hsv_t *hsv_setup (void *ctx, const hsv_desc_t *desc, st_t *st);

/** Close all connections and free the server. */
void hsv_shutdown (hsv_t *s);

/** Stop accepting connections; those that are open go on. */
void hsv_quiesce (hsv_t *s);

void hsv_reply_head (hsv_t *s, uint64_t caller, int status,
                     http_headers_t headers);
void hsv_reply_data (hsv_t *s, uint64_t caller, buf_t data);
void hsv_reply_end (hsv_t *s, uint64_t caller);

/** Close the connection so that the caller sees a broken answer. */
void hsv_reply_abort (hsv_t *s, uint64_t caller);

/** Requests whose answers are not finished. */
size_t hsv_open_count (const hsv_t *s);

#endif

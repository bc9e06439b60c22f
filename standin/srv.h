/** @file
 * srv ("server"): HTTP server of the stand-ins, one tevent loop around one
 * libmicrohttpd daemon on 127.0.0.1.  For tests only: the server trusts its
 * clients and limits nothing but the size of a body.  Times are in
 * milliseconds.
 *
 *   srv_t *s = srv_setup (ctx, &(srv_desc_t){ .port = 8000,
 *                                             .handle = handle,
 *                                             .user = state });
 *   srv_run (s);
 *
 * The handler responds at once or later, with a complete body (srv_reply,
 * srv_json) or a stream (srv_stream_begin, srv_stream_write, srv_stream_end).
 * Memory allocated as a talloc child of the request is freed with the request,
 * also when the client disconnects.
 *
 * The server itself handles POST /control, which sets the fault that is
 * injected into later requests (see srv_fault_t for the modes):
 *
 *   {"mode": "slow", "delay_ms": N, "count": N}
 *
 * count is the number of requests that get the fault (0: no limit); delay_ms
 * applies to slow only.  There are two further modes: silent is another name
 * for hang; mute makes requests hang on the connections that are open now, but
 * not on connections opened later.  Requests to /control and /counts get no
 * fault and are not recorded.
 */
#ifndef STANDIN_SRV_H
#define STANDIN_SRV_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <tevent.h>

/** Fault injected into a request; in quotes, its mode in /control. */
typedef enum
{
  SRV_OK,            /**< "ok": none */
  SRV_DOWN,          /**< "down": 503 at once */
  SRV_HANG,          /**< "hang": no response */
  SRV_SLOW,          /**< "slow": response after the delay */
  SRV_LOSE_RESPONSE, /**< "lose": the request takes effect, then the
                          connection is closed without a response */
  SRV_REFUSE,        /**< "refuse": 503 with Retry-After, except for GET */
  SRV_TRUNCATE,      /**< "cut": the connection is closed in mid-stream */
  SRV_FALSE_LOAD,    /**< "lie": the load report says idle */
  SRV_INVALID_JSON,  /**< "garble": the JSON of the response is truncated */
  SRV_DUPLICATE,     /**< "double": the response is sent twice */
  SRV_FAULT_NUM
} srv_fault_t;

typedef struct srv srv_t;
typedef struct srv_req srv_req_t;

/** A request; read-only for handlers. */
struct srv_req
{
  srv_t *srv;
  void *user; /**< user of srv_desc_t */
  const char *method;
  const char *path; /**< decoded, without the query */
  GByteArray *body;
  srv_fault_t fault;
  struct srv_req_state *state;
};

/** Settings of a server; the strings are borrowed. */
typedef struct
{
  uint16_t port;      /**< 0: any; printed once the server listens */
  size_t max_body;    /**< bytes; a larger body gets 413; default 16 MiB */
  const char *record; /**< file to which all requests are appended;
                           NULL: none */
  bool handle_when_hanging; /**< the handler runs also for a request that
                                 SRV_HANG leaves without a response */
  void (*handle) (srv_req_t *req);
  void (*control) (void *user, const json_t *command); /**< gets the body of
                                 each /control; may be NULL */
  void *user;
} srv_desc_t;

/** Creates a server owned by CTX; ends the process with a message on
 * failure. */
srv_t *srv_setup (void *ctx, const srv_desc_t *desc);

/** Serves until SIGTERM or SIGINT. */
void srv_run (srv_t *s);

/** Returns the event loop of the server. */
struct tevent_context *srv_loop (srv_t *s);

/** Starts a timer, owned by CTX, that fires once after MS.  The caller may
 * free the result to stop the timer. */
struct tevent_timer *srv_timer_add (srv_t *s, void *ctx, uint64_t ms,
                                    tevent_timer_handler_t fired, void *data);

/** Returns the time of the monotonic clock. */
uint64_t srv_now_ms (void);

/** Returns the header NAME of REQ; NULL when absent. */
const char *srv_req_header (const srv_req_t *req, const char *name);

/** Returns the query argument NAME of REQ as a number; FALLBACK when the
 * argument is absent. */
uint64_t srv_req_number (const srv_req_t *req, const char *name,
                         uint64_t fallback);

/** Returns the query argument NAME of REQ; NULL when absent. */
const char *srv_req_argument (const srv_req_t *req, const char *name);

/** Adds a header to the response, which must not have begun yet. */
void srv_header_add (srv_req_t *req, const char *name, const char *value);

/** Responds with a copy of BODY. */
void srv_reply (srv_req_t *req, unsigned status, const char *body,
                size_t size);

/** Responds with the JSON of BODY; takes over the caller's reference to
 * BODY. */
void srv_json (srv_req_t *req, unsigned status, json_t *body);

/** Responds with {"code", "message"}. */
void srv_error (srv_req_t *req, unsigned status, const char *code,
                const char *message);

/** Begins a streamed response with status 200 and content type TYPE. */
void srv_stream_begin (srv_req_t *req, const char *type);
void srv_stream_write (srv_req_t *req, const char *data, size_t size);
void srv_stream_end (srv_req_t *req);

/** Closes the connection after the data written so far. */
void srv_abort (srv_req_t *req);

#endif

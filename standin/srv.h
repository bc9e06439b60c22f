/** @file
 * HTTP server of the stand-ins: one tevent loop around one libmicrohttpd
 * daemon on 127.0.0.1.
 *
 *   srv_t *s = srv_setup (ctx, &(srv_desc_t){ .port = 8000,
 *                                             .handle = handle,
 *                                             .user = state });
 *   srv_run (s);
 *
 * The handler answers at once or later, whole (srv_reply, srv_json) or as a
 * stream (srv_stream_begin, srv_stream_write, srv_stream_end).  What it
 * allocates under the request is freed with it, also when the client goes
 * away.  POST /control is served here; it sets the fault that later requests
 * meet:
 *
 *   {"mode":
 * "ok|down|hang|silent|slow|lose|refuse|cut|lie|garble|double|mute",
 *    "delay_ms": N, "count": N}
 *
 * mute silences the connections that are open now and leaves new ones alone.
 * For tests only: it trusts its caller and has no limits but the body's size.
 */
#ifndef STANDIN_SRV_H
#define STANDIN_SRV_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <tevent.h>

/** What goes wrong with a request. */
typedef enum
{
  SRV_OK,
  SRV_DOWN,          /**< 503 at once */
  SRV_HANG,          /**< never answered */
  SRV_SLOW,          /**< answered late */
  SRV_LOSE_RESPONSE, /**< takes its effect, then the connection is closed */
  SRV_REFUSE,        /**< 503 with Retry-After, but for GET */
  SRV_TRUNCATE,      /**< stream closed half way */
  SRV_FALSE_LOAD,    /**< load is reported as idle */
  SRV_INVALID_JSON,  /**< answer is broken JSON */
  SRV_DUPLICATE,     /**< answer is sent twice */
  SRV_FAULT_NUM
} srv_fault_t;

typedef struct srv srv_t;
typedef struct srv_req srv_req_t;

/** A request; read-only for handlers. */
struct srv_req
{
  srv_t *srv;
  void *user; /**< from the description */
  const char *method;
  const char *path; /**< decoded, without the query */
  GByteArray *body;
  srv_fault_t fault;
  struct srv_req_state *state;
};

/** How to set a server up. */
typedef struct
{
  uint16_t port;            /**< 0: any; printed when it listens */
  size_t max_body;          /**< bytes; more is answered 413; default 16 MB */
  const char *record;       /**< file that gets all requests; NULL: none */
  bool handle_when_hanging; /**< requests that are never answered run all the
                               same */
  void (*handle) (srv_req_t *req);
  void (*control) (void *user, const json_t *command); /**< may be NULL */
  void *user;
} srv_desc_t;

/** New server owned by CTX; ends the process with a message on failure. */
srv_t *srv_setup (void *ctx, const srv_desc_t *desc);

/** Serve until SIGTERM or SIGINT. */
void srv_run (srv_t *s);

/** The loop, for timers. */
struct tevent_context *srv_loop (srv_t *s);

/** A timer that fires after MS; free the result to stop it. */
struct tevent_timer *srv_timer_add (srv_t *s, void *ctx, uint64_t ms,
                                    tevent_timer_handler_t fired, void *data);

/** Milliseconds of the monotonic clock. */
uint64_t srv_now_ms (void);

/** Header NAME of REQ; NULL when absent. */
const char *srv_req_header (const srv_req_t *req, const char *name);

/** Query argument NAME of REQ as a number; FALLBACK when absent. */
uint64_t srv_req_number (const srv_req_t *req, const char *name,
                         uint64_t fallback);

/** Query argument NAME of REQ; NULL when absent. */
const char *srv_req_argument (const srv_req_t *req, const char *name);

/** Add a header to the answer; before it is begun. */
void srv_header_add (srv_req_t *req, const char *name, const char *value);

/** Answer with BODY. */
void srv_reply (srv_req_t *req, unsigned status, const char *body,
                size_t size);

/** Answer with JSON; takes over the caller's reference to BODY. */
void srv_json (srv_req_t *req, unsigned status, json_t *body);

/** Answer with {"code", "message"}. */
void srv_error (srv_req_t *req, unsigned status, const char *code,
                const char *message);

/** Begin a streamed answer, status 200. */
void srv_stream_begin (srv_req_t *req, const char *type);
void srv_stream_write (srv_req_t *req, const char *data, size_t size);
void srv_stream_end (srv_req_t *req);

/** Close the connection with what was written so far. */
void srv_abort (srv_req_t *req);

#endif

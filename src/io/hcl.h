/** @file
 * HTTP client over libcurl's multi interface in a tevent loop.
 *
 *   hcl_t *c = hcl_setup (ctx, &(hcl_desc_t){ .loop = loop,
 *                                             .handler = on_event,
 *                                             .data = self });
 *   hcl_call (c, &(hcl_call_t){ .owner = HCL_UPSTREAM, .id = 7, ... });
 *
 * The handler gets HEAD, DATA..., END or one FAIL for each call, never from
 * within hcl_call or hcl_cancel, and nothing after hcl_cancel.  Does not
 * retry; a reused connection that dies is retried by libcurl unless the call
 * asks for a fresh one, so calls that must not run twice ask for it.
 */
#ifndef RTS_HCL_H
#define RTS_HCL_H

#include "core/clk.h"
#include "core/ev.h"
#include "core/http.h"

#include <tevent.h>

/** Whom a call belongs to. */
typedef enum
{
  HCL_UPSTREAM,
  HCL_PLATFORM,
} hcl_owner_t;

/** A call; everything is copied. */
typedef struct
{
  hcl_owner_t owner;
  uint64_t id;         /**< unique within its kind while in progress */
  const char *address; /**< "IP:PORT" */
  const char *method;
  const char *path; /**< with the query */
  http_headers_t headers;
  buf_t body;
  clk_ms_t first_byte_ms;
  clk_ms_t stall_ms; /**< 0: no bound */
  clk_ms_t total_ms; /**< 0: no bound */
  bool fresh_connection;
} hcl_call_t;

/** Progress of a call. */
typedef struct
{
  hcl_owner_t owner;
  uint64_t id;
  ev_kind_t kind; /**< EV_UPSTREAM_HEAD, _DATA, _END or _FAIL */
  int status;
  http_headers_t headers;
  buf_t data;
  ev_fail_t fail;
  const char *text;
} hcl_event_t;

/** How to set a client up. */
typedef struct
{
  struct tevent_context *loop;
  void (*handler) (void *data, const hcl_event_t *event);
  void *data;
} hcl_desc_t;

typedef struct hcl hcl_t;

/** New client owned by CTX. */
hcl_t *hcl_setup (void *ctx, const hcl_desc_t *desc);

/** Cancel all calls and free the client. */
void hcl_shutdown (hcl_t *c);

/** Start a call. */
void hcl_call (hcl_t *c, const hcl_call_t *call);

/** Stop a call; unknown ones are ignored. */
void hcl_cancel (hcl_t *c, hcl_owner_t owner, uint64_t id);

/** Hold back, or let go on, the bytes of a call's answer. */
void hcl_pause (hcl_t *c, hcl_owner_t owner, uint64_t id, bool paused);

#endif

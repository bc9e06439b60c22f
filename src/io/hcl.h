/** @file
 * HTTP client (hcl_) over libcurl's multi interface in a tevent loop.
 *
 *   hcl_t *c = hcl_setup (ctx, &(hcl_desc_t){ .loop = loop,
 *                                             .handler = on_event,
 *                                             .data = self });
 *   hcl_call (c, &(hcl_call_t){ .owner = HCL_UPSTREAM, .id = 7, ... });
 *
 * For each call, the handler gets HEAD, any number of DATA and END, or FAIL at
 * any point; never from within hcl_call or hcl_cancel, and nothing after
 * hcl_cancel.  The client itself does not retry, but libcurl repeats a request
 * whose reused connection was closed.  A call that must not run twice
 * therefore sets fresh_connection.  Times are in milliseconds; everything that
 * an event points to is valid only within the handler.
 *
 * A response without a length or chunks that ends before the request's body is
 * sent fails the call: it may have been reset.
 *
 * A response's head is read by one strict rule (core/rhd.h), with all heads
 * before the final one, the trailer and the answer of a tunnel.  What breaks
 * it is no response: nothing of it is passed on, the call fails as malformed
 * and its connection is closed.  All these lines together are bounded; beyond
 * that the call fails as well.  Its body has a bound if the call sets one;
 * DATA brings a small part of it in each turn of the loop, so that a handler
 * that queues events can pause the call in time.
 *
 * The head of a request is checked (core/hck.h); one that does not pass fails
 * with EV_FAIL_UNSENDABLE, and no byte of it is sent.  Its path and the values
 * of its headers are sent as they are.
 *
 * A connection serves call after call.  So that a call does not get bytes that
 * are not its own, a connection is not used again when bytes have arrived on
 * it before a call starts, or with a response whose id_header shows that it is
 * another request's: the call's own response may still be to come then.  Such
 * a response is passed on all the same, for the handler to judge.  Bytes that
 * arrive once the call has started can be told only by their id.
 */
#ifndef RTS_HCL_H
#define RTS_HCL_H

#include "core/clk.h"
#include "core/ev.h"
#include "core/http.h"

#include <tevent.h>

/** Part of the driver that makes a call; each part has its own range of
 * ids. */
typedef enum
{
  HCL_UPSTREAM,
  HCL_PLATFORM,
} hcl_owner_t;

/** A call; hcl_call copies everything. */
typedef struct
{
  hcl_owner_t owner;
  uint64_t id;         /**< unique among its owner's calls in progress */
  const char *address; /**< "HOST:PORT" */
  const char *tunnel;  /**< "IP:PORT" of the VM that makes the connection to
                            ADDRESS (tun.h); NULL: made directly.  Such a call
                            always has a connection of its own */
  const char *tunnel_proof; /**< with TUNNEL: as in tun.h */
  const char *method;
  const char *path; /**< path and query, sent as they are */
  http_headers_t headers;
  buf_t body;
  clk_ms_t connect_ms;    /**< time limit for a new connection; 0: 1 s */
  clk_ms_t first_byte_ms; /**< time limit for the first byte of the body; 0:
                               no limit */
  clk_ms_t stall_ms;      /**< longest gap within the body; 0: no limit */
  clk_ms_t total_ms; /**< time limit for the complete response; 0: no limit */
  size_t body_max;   /**< largest body of the response, in bytes; a larger
                          one fails the call; 0: no limit */
  bool framing_required; /**< a response whose body is close_delimited (as in
                              hcl_event_t) fails the call at its end, as
                              nothing proves it to be whole */
  bool fresh_connection; /**< open a new connection */
  const char *id_header; /**< header of the request that its response may
                              repeat; NULL: none */
  bool id_required;      /**< its response must repeat it */
  const char *const *once_headers;  /**< as in rhd_desc_t, of the response;
                                         borrowed until the call is over */
  const char *const *known_headers; /**< as for opn_judge, borrowed likewise */
} hcl_call_t;

/** Progress of a call. */
typedef struct
{
  hcl_owner_t owner;
  uint64_t id;
  ev_kind_t kind;         /**< EV_UPSTREAM_HEAD, _DATA, _END or _FAIL */
  int status;             /**< HEAD: HTTP status */
  http_headers_t headers; /**< HEAD */
  uint16_t local_port;    /**< HEAD: of the connection; 0: unknown */
  bool close_delimited;   /**< HEAD: the body has neither a length nor chunks,
                               and ends with the connection */
  bool has_length;        /**< HEAD: as in ev_upstream_t */
  uint64_t length;        /**< HEAD: the same */
  buf_t data;             /**< DATA: bytes of the body */
  ev_fail_t fail;         /**< FAIL */
  bool connected;         /**< HEAD: as in ev_upstream_t */
  ev_tunnel_t tunnel;     /**< FAIL: as in ev_upstream_t */
  bool refused;           /**< FAIL: as in ev_upstream_t */
  bool closed;            /**< FAIL: as in ev_upstream_t */
  bool malformed;         /**< FAIL: as in ev_upstream_t */
  const char *text;       /**< FAIL: description for logs */
} hcl_event_t;

/** Parameters of a client. */
typedef struct
{
  struct tevent_context *loop;
  void (*handler) (void *data, const hcl_event_t *event);
  void *data;
} hcl_desc_t;

typedef struct hcl hcl_t;

/** Creates a client owned by CTX. */
hcl_t *hcl_setup (void *ctx, const hcl_desc_t *desc);

/** Cancels all calls and frees the client. */
void hcl_shutdown (hcl_t *c);

/** Starts CALL. */
void hcl_call (hcl_t *c, const hcl_call_t *call);

/** Cancels a call; ignores an unknown one. */
void hcl_cancel (hcl_t *c, hcl_owner_t owner, uint64_t id);

/** Pauses or resumes the body of a call's response.  The stall time does not
 * run while the call is paused.  Ignores an unknown call. */
void hcl_pause (hcl_t *c, hcl_owner_t owner, uint64_t id, bool paused);

#endif

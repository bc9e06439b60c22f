/** @file
 * flt ("fleet"): runs the nodes of a whole fleet under virtual time, with
 * fakes for the platform, the upstreams and the links between VMs.  Equal
 * seeds give equal runs.  Use this module for tests and measurements of
 * several nodes that work together, not for a test of a single module.
 *
 *   flt_t *f = flt_setup (ctx, &(flt_desc_t){ .seed = 1, .data_centres = 3,
 *                                             .vms = 2, .document = text });
 *   flt_run (f, 2000);
 *   uint64_t id = flt_request (f, 0, &(flt_request_t){ .method = "POST",
 *                                                      .path = "/orders",
 *                                                      .body = "{}" });
 *   flt_run (f, 4000);
 *   const flt_response_t *response = flt_response (f, id);
 *
 * The fakes are simple: a link delivers a message after its latency or loses
 * it, the platform keeps objects in a tree, an upstream echoes the body.  VMs
 * and data centres are numbered from 0.  A fault of the harness or a broken
 * invariant ends the process (INV_CHECK).
 */
#ifndef RTS_FLT_H
#define RTS_FLT_H

#include "core/node.h"

/** Operator token of every VM. */
#define FLT_OPERATOR_TOKEN "operator-token-of-tests"

/** Behaviour of the platform. */
typedef enum
{
  FLT_PLATFORM_OK,
  FLT_PLATFORM_DOWN,           /**< refuses calls at once, without effect */
  FLT_PLATFORM_LOSE_RESPONSES, /**< carries calls out, then loses half of the
                                    responses */
} flt_platform_mode_t;

/** Behaviour of an upstream. */
typedef enum
{
  FLT_UPSTREAM_OK,
  FLT_UPSTREAM_SILENT,   /**< never responds and does not run the request */
  FLT_UPSTREAM_TRUNCATE, /**< runs the request, then breaks its response off */
  FLT_UPSTREAM_REFUSE,   /**< refuses the connection */
} flt_upstream_mode_t;

/** Settings of a fleet. */
typedef struct
{
  uint32_t seed;
  size_t data_centres;  /**< named dc-0, dc-1 ... */
  size_t vms;           /**< in each; named dc-0-vm-0 ... */
  const char *document; /**< first configuration; NULL: none */
  clk_ms_t peer_ms;     /**< latency of a link, one way; default 1 */
  clk_ms_t platform_ms; /**< round trip to the platform; default 4 */
  clk_ms_t upstream_ms; /**< until the response's head; default 20 */
} flt_desc_t;

/** A caller's request; all strings but the method are copied. */
typedef struct
{
  const char *method;
  const char *path;
  const char *query;
  const char *key;             /**< NULL: none */
  const char *idempotency_key; /**< NULL: none */
  const char *body;
} flt_request_t;

/** The caller's view of a request and its response. */
typedef struct
{
  int status;   /**< 0: no head yet */
  char *body;   /**< body so far */
  bool ended;   /**< the response is complete */
  bool aborted; /**< the node broke the response off */
  size_t vm;    /**< VM that got the request */
  char *request_body;
  unsigned run_count; /**< flt_run_count of the request's body when the last
                           part of the response came */
  bool vm_failed;     /**< the VM was dead or frozen before the response
                           ended: the response may be late or missing */
  clk_ms_t sent_at;   /**< time of the request */
  clk_ms_t last_at;   /**< time of the last part of the response */
} flt_response_t;

/** Messages that a node has sent to peers, and its calls to the platform. */
typedef struct
{
  uint64_t messages;
  uint64_t bytes;               /**< of messages, with their frames */
  uint64_t kind_bytes[MSG_END]; /**< the same by kind of message */
  uint64_t platform_calls;
} flt_traffic_t;

typedef struct flt flt_t;

/** Creates and starts a fleet, owned by CTX.  With a document, returns once
 * the document is in force. */
flt_t *flt_setup (void *ctx, const flt_desc_t *desc);

/** Advances virtual time to UNTIL. */
void flt_run (flt_t *f, clk_ms_t until);

clk_ms_t flt_now (const flt_t *f);
size_t flt_vm_count (const flt_t *f);
GRand *flt_rand (flt_t *f);

/** Sends a request to a VM; returns its id for flt_response. */
uint64_t flt_request (flt_t *f, size_t vm, const flt_request_t *req);

/** Disconnects the caller of request ID. */
void flt_caller_gone (flt_t *f, uint64_t id);

/** Applies a complete document at a VM as an operator; returns the request's
 * id. */
uint64_t flt_apply (flt_t *f, size_t vm, const char *document);
const flt_response_t *flt_response (const flt_t *f, uint64_t id);

/** Returns how often upstreams have run a request whose Idempotency-Key or
 * complete body is MARKER. */
unsigned flt_run_count (const flt_t *f, const char *marker);

/** Returns whether BYTES occur anywhere in the requests that upstreams
 * received. */
bool flt_upstream_received (const flt_t *f, const char *bytes);

/** Ends a VM's node without notice. */
void flt_kill (flt_t *f, size_t vm);

/** Starts a VM's node again, with a new incarnation and without its state. */
void flt_start (flt_t *f, size_t vm);

/** Returns whether a VM's node runs. */
bool flt_alive (const flt_t *f, size_t vm);

/** Delays the delivery of a VM's events until time UNTIL. */
void flt_freeze (flt_t *f, size_t vm, clk_ms_t until);

/** Asks a VM's node to shut down gracefully. */
void flt_leave (flt_t *f, size_t vm);

/** Returns whether the node of VM has requested its exit, as it does at the
 * end of a graceful shutdown. */
bool flt_exited (const flt_t *f, size_t vm);

/** Isolates a data centre from the others and from the platform, or connects
 * the data centre again. */
void flt_isolate (flt_t *f, size_t data_centre, bool isolated);
void flt_platform_set (flt_t *f, flt_platform_mode_t mode);
void flt_upstream_set (flt_t *f, const char *address,
                       flt_upstream_mode_t mode);

/** Writes an object to the platform as a client outside the fleet. */
void flt_object_put (flt_t *f, const char *name, const char *value);

/** Returns the traffic that a VM has sent so far. */
flt_traffic_t flt_traffic (const flt_t *f, size_t vm);

/** Returns the node of VM; NULL when the VM is dead. */
const node_t *flt_node (const flt_t *f, size_t vm);

/** Returns the value of a metric of a VM's node. */
double flt_counter (const flt_t *f, size_t vm, const char *name,
                    const char *labels);

#endif

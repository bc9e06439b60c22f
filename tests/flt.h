/** @file
 * Several nodes under virtual time with small fakes at the seam: a platform,
 * upstreams and links.  One seed gives one run.
 *
 *   flt_t *f = flt_setup (ctx, &(flt_desc_t){ .seed = 1, .data_centres = 3,
 *                                             .vms = 2, .document = text });
 *   flt_run (f, 2000);
 *   uint64_t id = flt_request (f, 0, &(flt_request_t){ .method = "POST", ...
 * }); flt_run (f, 4000); const flt_response_t *a = flt_response (f, id);
 *
 * Only what the tests need: links either carry a message after the latency or
 * lose it, the platform wants_link objects in a tree, upstreams echo.
 */
#ifndef RTS_FLT_H
#define RTS_FLT_H

#include "core/node.h"

/** The operators' token of every VM. */
#define FLT_OPERATOR_TOKEN "operator-token-of-tests"

/** How the platform behaves. */
typedef enum
{
  FLT_PLATFORM_OK,
  FLT_PLATFORM_DOWN,           /**< refuses at once, without effect */
  FLT_PLATFORM_LOSE_RESPONSES, /**< takes effect, then loses half of the
                                  answers */
} flt_platform_mode_t;

/** How an upstream behaves. */
typedef enum
{
  FLT_UPSTREAM_OK,
  FLT_UPSTREAM_SILENT,
  FLT_UPSTREAM_TRUNCATE, /**< run_count, then breaks off in the middle */
  FLT_UPSTREAM_REFUSE,
} flt_upstream_mode_t;

/** How to set a fleet up. */
typedef struct
{
  uint32_t seed;
  size_t data_centres; /**< named dc-0, dc-1 ... */
  size_t vms;          /**< in each; named dc-0-vm-0 ... */
  const char *document;
  clk_ms_t peer_ms;     /**< one way; default 1 */
  clk_ms_t platform_ms; /**< there and back; default 4 */
  clk_ms_t upstream_ms; /**< until the answer's head; default 20 */
} flt_desc_t;

/** A caller's request; strings are copied. */
typedef struct
{
  const char *method;
  const char *path;
  const char *query;
  const char *key;             /**< NULL: none */
  const char *idempotency_key; /**< NULL: none */
  const char *body;
} flt_request_t;

/** What the caller has seen. */
typedef struct
{
  int status; /**< 0: nothing yet */
  char *body;
  bool ended;
  bool aborted;
  size_t vm;
  char *request_body;
  unsigned run_count; /**< of the request's body, when the answer ended */
  bool vm_failed;     /**< its VM died or was frozen before the answer's end */
  clk_ms_t sent_at;
  clk_ms_t last_at;
} flt_response_t;

/** Messages to peers and calls to the platform. */
typedef struct
{
  uint64_t messages;
  uint64_t bytes; /**< with their frames */
  uint64_t kind_bytes[MSG_END];
  uint64_t platform_calls;
} flt_traffic_t;

typedef struct flt flt_t;

flt_t *flt_setup (void *ctx, const flt_desc_t *desc);

/** Let virtual time pass until UNTIL. */
void flt_run (flt_t *f, clk_ms_t until);

clk_ms_t flt_now (const flt_t *f);
size_t flt_vm_count (const flt_t *f);
GRand *flt_rand (flt_t *f);

/** Send a request to a VM; its answer's number. */
uint64_t flt_request (flt_t *f, size_t vm, const flt_request_t *req);
void flt_caller_gone (flt_t *f, uint64_t id);

/** Apply a whole document at a VM as an operator; the answer's number. */
uint64_t flt_apply (flt_t *f, size_t vm, const char *document);
const flt_response_t *flt_response (const flt_t *f, uint64_t id);

/** Times that an upstream began to run a request with this Idempotency-Key
 * or body marker. */
unsigned flt_run_count (const flt_t *f, const char *marker);

/** Whether BYTES ever reached an upstream, in any position. */
bool flt_upstream_received (const flt_t *f, const char *bytes);

void flt_kill (flt_t *f, size_t vm);
void flt_start (flt_t *f, size_t vm);
bool flt_alive (const flt_t *f, size_t vm);
void flt_freeze (flt_t *f, size_t vm, clk_ms_t until);
void flt_leave (flt_t *f, size_t vm);

/** Whether the node of VM has sent_at to exit. */
bool flt_exited (const flt_t *f, size_t vm);

/** Cut a data centre off from the others and from the platform. */
void flt_isolate (flt_t *f, size_t data_centre, bool isolated);
void flt_platform_set (flt_t *f, flt_platform_mode_t mode);
void flt_upstream_set (flt_t *f, const char *address,
                       flt_upstream_mode_t mode);

/** Write an object as somebody outside the fleet. */
void flt_object_put (flt_t *f, const char *name, const char *value);

/** What a VM has sent so far. */
flt_traffic_t flt_traffic (const flt_t *f, size_t vm);

/** The node of VM; NULL when it is dead. */
const node_t *flt_node (const flt_t *f, size_t vm);

/** A counter of a VM's node. */
double flt_counter (const flt_t *f, size_t vm, const char *name,
                    const char *labels);

#endif

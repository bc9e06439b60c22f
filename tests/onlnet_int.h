/** @file
 * Types and functions that the files of the test net (onlnet.h) share.
 */
#ifndef RTS_ONLNET_INT_H
#define RTS_ONLNET_INT_H

#include "onlnet.h"

#include "flt_platform.h"

#define VMS_MAX 4
#define UPSTREAMS 5 /* numbers 0 to 2 are engines, 3 and 4 plain services */
#define REQUESTS_MAX 20000
#define ORDERS_MAX 4096
/** Time after its deadline within which a response must have ended. */
#define DEADLINE_SLACK_MS 200

/** Modules of one VM. */
typedef struct
{
  env_t *env;
  mbr_t *members;
  spr_t *ring;
  key_set_t *keys;
  lim_t *limits;
  rte_t *routes;
  idm_t *records;
  onl_t *onl;
  uint64_t incarnation;
} vm_t;

/** Kinds of scheduled events. */
typedef enum
{
  EVENT_REQUEST,
  EVENT_CALLER_CLOSED,
  EVENT_UPSTREAM,
  EVENT_PLATFORM,
} event_kind_t;

/** A scheduled event. */
typedef struct
{
  event_kind_t kind;
  int vm;
  uint64_t incarnation; /**< incarnation of VM that the event is for; 0: any */
  uint64_t request;     /**< number of the request */
  ev_t ev;              /**< EVENT_UPSTREAM, EVENT_PLATFORM */
  http_header_t headers[3];
} event_t;

/** A caller's request. */
typedef struct
{
  onn_response_t response;
  onn_request_t spec;
  int vm;
} request_t;

struct onn
{
  onn_desc_t desc;
  clk_ms_t now;
  tmr_t *queue; /**< scheduled events; a timer's tag is the event_t */
  GRand *rand;
  fpl_t *platform;
  cfg_doc_t *doc;
  vm_t vm[VMS_MAX];
  bool has_faults[UPSTREAMS];
  onn_faults_t faults[UPSTREAMS];
  request_t request[REQUESTS_MAX];
  uint64_t requests;
  unsigned order_runs[ORDERS_MAX];
  unsigned received[UPSTREAMS];
};

/** Random choice that is true with probability P. */
bool onn_chance (onn_t *n, double p);

/** Schedule an event of VM after DELAY.  The event is dropped if the VM is
 * killed earlier. */
event_t *onn_event_schedule (onn_t *n, clk_ms_t delay, event_kind_t kind,
                             int vm);

/* onlnet_up.c: the fake upstreams. */

/** Execute a call of VM, with injected faults. */
void onn_upstream_call (onn_t *n, int vm, const fx_upstream_t *call);

/** Complete body of the response to request ID, owned by CTX. */
char *onn_expected_body (void *ctx, const onn_t *n, uint64_t id);

#endif

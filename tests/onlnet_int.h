/** @file
 * What the files of onlnet share.
 */
#ifndef RTS_ONLNET_INT_H
#define RTS_ONLNET_INT_H

#include "onlnet.h"

#include "flt_platform.h"

#define VMS_MAX 4
#define UPSTREAMS 5 /* 0 to 2: engines; 3, 4: plain */
#define REQUESTS_MAX 20000
#define ORDERS_MAX 4096
#define DEADLINE_SLACK_MS 200

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

typedef enum
{
  EVENT_REQUEST,
  EVENT_CALLER_CLOSED,
  EVENT_UPSTREAM,
  EVENT_PLATFORM,
} event_kind_t;

typedef struct
{
  event_kind_t kind;
  int vm;
  uint64_t incarnation;
  uint64_t request;
  ev_t ev;
  http_header_t headers[3];
} event_t;

typedef struct
{
  onn_answer_t answer;
  onn_request_t spec;
  int vm;
} request_t;

struct onn
{
  onn_desc_t desc;
  clk_ms_t now;
  tmr_t *queue;
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

/** Whether something of probability P happens. */
bool onn_chance (onn_t *n, double p);

/** Something due for VM; lost when the VM dies before. */
event_t *onn_event_schedule (onn_t *n, clk_ms_t delay, event_kind_t kind,
                             int vm);

/* onlnet_up.c: the fake upstreams. */

/** Carry a call of VM out, with its faults. */
void onn_upstream_call (onn_t *n, int vm, const fx_upstream_t *call);

/** The whole body that belongs to request number ID, owned by CTX. */
char *onn_expected_body (void *ctx, const onn_t *n, uint64_t id);

#endif

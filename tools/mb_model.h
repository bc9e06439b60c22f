/** @file
 * The model behind the yield figures (see mb_model.c): runs one scenario to
 * admit batch items beside online requests.
 */
#ifndef RTS_MB_MODEL_H
#define RTS_MB_MODEL_H

#include "core/crd.h"

#define ENGINES 8
#define BATCH_MEAN_MS 1000
#define RUN_MS (140 * CLK_SECOND)
#define VMS 8

typedef enum
{
  MB_NO_BATCH,
  MB_UNLIMITED,
  MB_FIXED_SPLIT,
  MB_CREDITS,
  MB_OWNER_LOST,
  MB_OWNER_FROZEN,
  MB_TWO_OWNERS,
  MB_RESERVE_LESS,
  MB_SCENARIO_NUM
} mb_scenario_t;

typedef enum
{
  EV_ARRIVAL,        /* an online request at a VM */
  EV_ENGINE_ARRIVAL, /* a request reaches its engine */
  EV_FIRST_BYTE,     /* its first byte leaves the engine */
  EV_ENGINE_END,     /* it ends there */
  EV_CANCEL,         /* a cancellation reaches the engine */
  EV_VM_SEES_END,    /* its end is seen by the VM */
  EV_MSG,
  EV_SAMPLE, /* engines report */
  EV_FAULT,
  EV_DELIST, /* the lost VM leaves the list */
  EV_LIST_RESTORED,
} kind_t;

typedef struct
{
  clk_ms_t at;
  uint64_t seq;
  kind_t kind;
  uint32_t vm;
  uint32_t from;
  uint64_t req;
  msg_t msg;
} event_t;

typedef struct
{
  uint32_t vm;
  uint32_t engine;
  bool batch;
  bool running;
  bool ended;
  clk_ms_t sent;
  clk_ms_t started;
  clk_ms_t work;
} req_t;

typedef struct
{
  GQueue queue; /* of request numbers */
  uint32_t running;
  uint32_t reported;
} engine_t;

typedef struct
{
  env_t *env;
  crd_t *crd;
  clk_ms_t frozen_until;
  uint32_t online[ENGINES];
  uint32_t batch;
} vm_t;

typedef struct
{
  mb_scenario_t scenario;
  uint32_t slots; /* of an engine */
  clk_ms_t now;
  uint64_t seq;
  GRand *arrivals; /* the same for every scenario */
  GRand *rand;
  GTree *events;
  GArray *reqs;
  engine_t engine[ENGINES];
  vm_t vm[VMS];
  cfg_doc_t *doc;
  uint32_t split_used[ENGINES];
  GArray *first_byte;     /* of online requests, ms */
  GArray *first_byte_low; /* of those before the burst */
  double online_busy;     /* slot-milliseconds */
  double batch_busy;
  double batch_useful; /* of items that ended completed */
  uint64_t batch_done;
  uint64_t preempted;
} mb_model_t;

/** Run WAY from SEED to the end; free it with mb_model_finish. */
mb_model_t *mb_model_run (mb_scenario_t scenario, uint32_t slots,
                          uint32_t seed);
void mb_model_finish (mb_model_t *s);

#endif

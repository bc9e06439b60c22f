/** @file
 * mb_model: simulates engines that serve online requests and batch items
 * together, in one scenario (mb_scenario_t).  Only mb_yield.c, which prints
 * the figures, uses this header; mb_model.c lists the assumptions.  Times are
 * in virtual milliseconds.
 */
#ifndef RTS_MB_MODEL_H
#define RTS_MB_MODEL_H

#include "core/crd.h"

#define ENGINES 8
#define BATCH_MEAN_MS 1000        /* mean run time of an item */
#define RUN_MS (140 * CLK_SECOND) /* simulated time of a run */
#define VMS 8

/** Scenario: how batch items are admitted, and the fault, if any.  From
 * MB_CREDITS on, items need credits (crd.h). */
typedef enum
{
  MB_NO_BATCH,     /**< no items, for comparison */
  MB_UNLIMITED,    /**< items may take all slots of an engine */
  MB_FIXED_SPLIT,  /**< items may take half of the slots of an engine */
  MB_CREDITS,      /**< no fault */
  MB_OWNER_LOST,   /**< the VM that owns most engines is lost */
  MB_OWNER_FROZEN, /**< that VM is frozen for a time */
  MB_TWO_OWNERS,   /**< half of the VMs do not list that VM for a time */
  MB_RESERVE_LESS, /**< no fault, one slot less is reserved */
  MB_SCENARIO_NUM
} mb_scenario_t;

/** Kind of an event. */
typedef enum
{
  EV_ARRIVAL,        /* an online request arrives at a VM */
  EV_ENGINE_ARRIVAL, /* a request arrives at its engine */
  EV_FIRST_BYTE,     /* the first byte of a response leaves the engine */
  EV_ENGINE_END,     /* a request ends at the engine */
  EV_CANCEL,         /* the cancellation of an item reaches the engine */
  EV_VM_SEES_END,    /* the VM sees that its request has ended */
  EV_MSG,            /* a message between VMs arrives */
  EV_SAMPLE,         /* the engines report their load */
  EV_FAULT,          /* the fault of the scenario begins */
  EV_DELIST,         /* the lost VM is removed from the VM list */
  EV_LIST_RESTORED,  /* all VMs list all VMs again */
} event_kind_t;

/** An event that is due at a VM or an engine. */
typedef struct
{
  clk_ms_t at;
  uint64_t seq; /* order of events at the same time */
  event_kind_t kind;
  uint32_t vm;
  uint32_t from; /* EV_MSG: sending VM */
  uint64_t req;  /* index of the request; EV_DELIST: the lost VM */
  msg_t msg;
} event_t;

/** An online request or a batch item. */
typedef struct
{
  uint32_t vm;
  uint32_t engine;
  bool batch;
  bool running;
  bool ended;
  clk_ms_t sent;    /* time */
  clk_ms_t started; /* time */
  clk_ms_t work;    /* duration after the first byte */
} req_t;

/** An engine. */
typedef struct
{
  GQueue queue; /* indexes of the requests that wait */
  uint32_t running;
  uint32_t reported; /* running and waiting requests in the last report */
} engine_t;

/** A VM. */
typedef struct
{
  env_t *env;
  crd_t *crd;
  clk_ms_t frozen_until;
  uint32_t online[ENGINES]; /* online requests in flight */
  uint32_t batch;           /* items in flight */
} vm_t;

/** A run, with its figures. */
typedef struct
{
  mb_scenario_t scenario;
  uint32_t slots; /* of an engine */
  clk_ms_t now;
  uint64_t seq;
  GRand *arrivals; /* of online requests, equal in every scenario */
  GRand *rand;     /* of batch items */
  GTree *events;
  GArray *reqs;
  engine_t engine[ENGINES];
  vm_t vm[VMS];
  cfg_doc_t *doc;
  uint32_t split_used[ENGINES]; /* items in flight at each engine, without
                                   credits */
  GArray *first_byte;     /* double: ms until an online request's first byte */
  GArray *first_byte_low; /* the same, only before the burst */
  double online_busy;     /* slot-milliseconds of online requests */
  double batch_busy;      /* slot-milliseconds of items */
  double batch_useful;    /* slot-milliseconds of completed items */
  uint64_t batch_done;    /* completed items */
  uint64_t preempted;     /* preempted items */
} mb_model_t;

/** Runs SCENARIO from SEED to the end.  The caller frees the result with
 * mb_model_finish. */
mb_model_t *mb_model_run (mb_scenario_t scenario, uint32_t slots,
                          uint32_t seed);
void mb_model_finish (mb_model_t *s);

#endif

/** @file
 * Simulation of routing in virtual time, for measure_routing.c: several VMs,
 * each with a router (rte_t), send requests to model engines.
 *
 * An engine has slots, runs prefills one after another, caches a limited
 * number of prefixes and reports its load after a delay.  The same seed gives
 * the same run.  Use sim_run for one complete run; sim_free frees all of its
 * memory.  Times are in milliseconds unless a name says otherwise.
 */
#ifndef RTS_ROUTESIM_H
#define RTS_ROUTESIM_H

#include "core/fqu.h"
#include "core/rte.h"
#include "core/tbl.h"

/** Limits of a run. */
#define ENGINES_MAX 32
#define ROUTERS_MAX 8
#define CUSTOMERS 8
/** Slots of an engine. */
#define SLOTS 16
/** Number of prefixes that an engine caches. */
#define CACHE_PREFIXES 24
/** Number of prefixes that requests of one customer share. */
#define PREFIXES_PER_CUSTOMER 20
/** Share of the requests with such a prefix; the others have a unique one. */
#define SHARED_PREFIX_SHARE 0.9
/** Prefill time of a request whose prefix is cached, and of a request whose
 * prefix is not. */
#define HIT_MS 10.0
#define MISS_MS 50.0
/** Mean time from the prefill to the end of the response. */
#define DECODE_MS 1200.0
/** Network delay in one direction. */
#define HOP_MS ((clk_ms_t)1)
/** Period of the load samples, and how many are kept. */
#define SAMPLE_MS 100
#define SAMPLES 128
/** Length of a run, and of the start of the run that the results leave out. */
#define RUN_MS (90 * CLK_SECOND)
#define WARM_MS (20 * CLK_SECOND)
/** When a fault begins. */
#define FAULT_MS (30 * CLK_SECOND)
/** Longest time to first byte that a caller accepts. */
#define CALLER_TIMEOUT_MS (5 * CLK_SECOND)
/** Time-out of the first byte, used with a silent engine. */
#define FIRST_BYTE_MS (1 * CLK_SECOND)
/** Maximum number of engines to avoid in one pick. */
#define AVOIDED_MAX 4
/** Bytes of framing added to each message between VMs. */
#define FRAME_BYTES 24
/** Share of the cache events that are lost. */
#define EVENT_LOSS 0.05

/** How a router chooses an engine. */
typedef enum
{
  RANDOM,
  LEAST_REPORTED, /**< the engine with the least reported load */
  TWO_CHOICES,    /**< the less loaded of two random engines, by reports */
  ROUTER_CHOICE,  /**< rte_pick */
  POLICIES
} policy_t;

/** Fault of an engine. */
typedef enum
{
  NO_FAULT,
  SILENT,       /**< the engine responds to no request or poll */
  SLOW,         /**< the engine takes four times as long */
  FALSE_REPORT, /**< the engine reports that it is idle */
  FAULTS
} fault_t;

/** Parameters of a run. */
typedef struct
{
  policy_t policy;
  fault_t fault; /**< of the first engine, from FAULT_MS on */
  int engines;
  int routers;
  clk_ms_t lag;       /**< delay of load reports and cache events */
  double utilisation; /**< offered load over the capacity of all slots */
  bool overload;      /**< one customer sends far more than its share */
  bool fair;          /**< requests wait in the routers' fair queues */
  uint32_t seed;
} run_t;

/** Kinds of event. */
enum
{
  ARRIVE,     /**< a request arrives at a router */
  REACH,      /**< a request arrives at its engine */
  FIRST_BYTE, /**< the first byte arrives at the router */
  FINISH,     /**< an engine finishes a request */
  GIVE_UP,    /**< the time-out of the first byte expires */
  SAMPLE,     /**< the load of all engines is sampled */
  PEER,       /**< a message arrives at a VM */
  POLL,       /**< the response to a router's poll arrives */
};

/** One request. */
typedef struct
{
  tbl_id_t id;
  int customer;
  int router;
  int engine;
  int timeouts;            /**< attempts that have timed out */
  bool avoid[ENGINES_MAX]; /**< engines that did not respond in time */
  bool responded;          /**< the first byte has arrived */
  uint64_t prefix;
  uint64_t handle; /**< of rte_pick */
  clk_ms_t arrived;
  double decode; /**< time from the prefill to the end, in ms */
} request_t;

/** One change of an engine's cache. */
typedef struct
{
  uint64_t prefix;
  clk_ms_t at;
  bool added; /**< false: the prefix was evicted */
} change_t;

/** One engine. */
typedef struct
{
  int running;
  clk_ms_t prefill_free; /**< when all prefills so far have ended */
  GQueue waiting;        /**< request_t without a slot, oldest first */
  GQueue cache;          /**< prefixes, least recently used first */
  GArray *changes;       /**< change_t, all since the start */
  struct
  {
    int running;
    int waiting;
  } sample[SAMPLES]; /**< ring of load samples */
} engine_t;

/** A message or a poll's response that is on its way to a router. */
typedef struct
{
  int router;
  char from[16]; /**< VM that sent MSG */
  msg_t msg;     /**< for PEER events */
  uint64_t call; /**< upstream call, for POLL events */
  char *body;    /**< body of the response; NULL: time-out */
} delivery_t;

/** State and results of a run. */
typedef struct
{
  run_t run;
  clk_ms_t now;
  tmr_t *queue; /**< pending events; a timer's module is the event's kind */
  GRand *rand;
  tbl_t *requests;   /**< request_t */
  tbl_t *deliveries; /**< delivery_t */
  engine_t engine[ENGINES_MAX];
  env_t *env[ROUTERS_MAX];
  mbr_t *members[ROUTERS_MAX];
  rte_t *rte[ROUTERS_MAX];
  fqu_t *fair[ROUTERS_MAX];
  GArray *latency[CUSTOMERS]; /**< clk_ms_t, times to first byte */
  long hits;                  /**< requests that found their prefix cached */
  long starts;                /**< requests that got a slot */
  long lost;                  /**< requests for which no engine was found */
  long arrivals[CUSTOMERS];   /**< requests that arrived */
  long refused[CUSTOMERS];    /**< requests refused by the fair queue */
  long samples;               /**< load samples taken */
  double bytes;               /**< of messages between VMs */
} sim_t;

/* routesim_engine.c */

/** Starts waiting requests of engine I while a slot is free. */
void engine_start (sim_t *s, int i);

/** Samples the load of all engines; runs every SAMPLE_MS. */
void engine_sample (sim_t *s);

/** Running requests of engine I as reported, with the delay run_t.lag;
 * *WAITING receives the number of waiting requests. */
int engine_reported (const sim_t *s, int i, int *waiting);

/** Whether ENGINE has FAULT now. */
bool engine_faulty (const sim_t *s, int engine, fault_t fault);

/** Body of the response of engine I to GET PATH, owned by S. */
char *engine_poll (sim_t *s, int i, const char *path);

/* routesim.c */

/** Schedules an event of KIND for WHEN.  TAG is the id of its request or
 * delivery; 0: none. */
void sim_at (sim_t *s, clk_ms_t when, int kind, uint64_t tag);

/** Executes a complete run.  Free the result with sim_free. */
sim_t *sim_run (const run_t *run);

/** Frees S and its engines. */
void sim_free (sim_t *s);

#endif

/** @file
 * Model of several routers (one rte_t a VM) before model engines with slots,
 * serial prefill, a bounded prefix cache and load reports that come late, in
 * virtual time; one seed gives one run.  For measure_routing.c.
 */
#ifndef RTS_ROUTESIM_H
#define RTS_ROUTESIM_H

#include "core/fqu.h"
#include "core/rte.h"
#include "core/tbl.h"

#define ENGINES_MAX 32
#define ROUTERS_MAX 8
#define CUSTOMERS 8
#define SLOTS 16
#define CACHE_PREFIXES 24
#define PREFIXES_PER_CUSTOMER 20
#define SHARED_PREFIX_SHARE 0.9
#define HIT_MS 10.0
#define MISS_MS 50.0
#define DECODE_MS 1200.0
#define HOP_MS ((clk_ms_t)1)
#define SAMPLE_MS 100
#define SAMPLES 128
#define RUN_MS (90 * CLK_SECOND)
#define WARM_MS (20 * CLK_SECOND)
#define FAULT_MS (30 * CLK_SECOND)
#define CALLER_TIMEOUT_MS (5 * CLK_SECOND)
#define FIRST_BYTE_MS (1 * CLK_SECOND)
#define TRIES 4
#define FRAME_BYTES 24
#define EVENT_LOSS 0.05

typedef enum
{
  RANDOM,
  LEAST_REPORTED,
  TWO_CHOICES,
  ROUTER_CHOICE,
  POLICIES
} policy_t;

typedef enum
{
  NO_FAULT,
  SILENT,
  SLOW,
  FALSE_REPORT,
  FAULTS
} fault_t;

typedef struct
{
  policy_t policy;
  fault_t fault; /**< of the first engine, from FAULT_MS on */
  int engines;
  int routers;
  clk_ms_t lag;
  double utilisation;
  bool overload; /**< one customer asks for far more than its share */
  bool fair;     /**< requests wait in the routers' fair queues */
  uint32_t seed;
} run_t;

enum
{
  ARRIVE,     /**< at a router */
  REACH,      /**< the engine */
  FIRST_BYTE, /**< at the router */
  FINISH,     /**< at the engine */
  GIVE_UP,    /**< no first byte in time */
  SAMPLE,     /**< of all engines' load */
  PEER,       /**< a message arrives */
  POLL,       /**< an answer to a router's own call arrives */
};

typedef struct
{
  tbl_id_t id;
  int customer;
  int router;
  int engine;
  int tries;
  bool avoid[ENGINES_MAX];
  bool answered;
  uint64_t prefix;
  uint64_t handle;
  clk_ms_t arrived;
  double decode;
} request_t;

typedef struct
{
  uint64_t prefix;
  clk_ms_t at;
  bool added;
} change_t;

typedef struct
{
  int running;
  clk_ms_t prefill_free;
  GQueue waiting;
  GQueue cache; /**< prefixes, least recently used first */
  GArray *changes;
  struct
  {
    int running;
    int waiting;
  } sample[SAMPLES];
} engine_t;

typedef struct
{
  int router;
  char from[16];
  msg_t msg;
  uint64_t call;
  char *body;
} delivery_t;

typedef struct
{
  run_t run;
  clk_ms_t now;
  tmr_t *queue;
  GRand *rand;
  tbl_t *requests;
  tbl_t *deliveries;
  engine_t engine[ENGINES_MAX];
  env_t *env[ROUTERS_MAX];
  mbr_t *members[ROUTERS_MAX];
  rte_t *rte[ROUTERS_MAX];
  fqu_t *fair[ROUTERS_MAX];
  GArray *latency[CUSTOMERS];
  long hits;
  long starts;
  long lost;
  long asked[CUSTOMERS];
  long refused[CUSTOMERS]; /**< by the fair queue, not run */
  long samples;
  double bytes; /**< of messages between VMs */
} sim_t;

/* routesim_engine.c */

/** Begin as many waiting requests as there are slots. */
void engine_start (sim_t *s, int i);

/** Note all engines' load; every SAMPLE_MS. */
void engine_sample (sim_t *s);

/** Load of engine I as it is known outside, late. */
int engine_reported (const sim_t *s, int i, int *waiting);

/** Whether ENGINE has FAULT now. */
bool engine_faulty (const sim_t *s, int engine, fault_t fault);

/** Answer of engine I to GET PATH, owned by S. */
char *engine_poll (sim_t *s, int i, const char *path);

/* routesim.c */

/** Something to be handled at WHEN. */
void sim_at (sim_t *s, clk_ms_t when, int kind, uint64_t tag);

/** A whole run; free with sim_free. */
sim_t *sim_run (const run_t *run);

/** Free it. */
void sim_free (sim_t *s);

#endif

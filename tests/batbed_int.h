/** @file
 * Internals of the test bed (prefix bed_), shared by batbed.c (VMs, time,
 * callers), batbed_world.c (events in flight, platform, upstreams) and
 * batbed_faults.c; not for tests.
 */
#ifndef RTS_BATBED_INT_H
#define RTS_BATBED_INT_H

#include "batbed.h"

#define BED_VMS_MAX 16
/** Mean, for bed_delay, of the time until a VM sees a change of the VM list.
 */
#define BED_VM_LIST_DELAY_MS (8 * CLK_SECOND)

/** Kinds of events. */
typedef enum
{
  BED_PLATFORM, /* a call reaches the platform */
  BED_REPLY,    /* the platform's reply reaches the VM */
  BED_UPSTREAM, /* a call reaches an upstream */
  BED_RESPONSE, /* the upstream's response reaches the VM */
  BED_MESSAGE,  /* a message reaches the VM */
  BED_MEMBERS,  /* the VM sees the VM list */
} bed_kind_t;

/** An event: a call, reply, response or message in flight. */
typedef struct
{
  clk_ms_t at;
  uint64_t seq; /* order of events with the same time */
  bed_kind_t kind;
  uint32_t vm;
  uint64_t incarnation; /* of the VM */
  fx_t fx;              /* the effect that caused the event */
  st_code_t code;
  bool lose;      /* the reply is lost */
  bool timed_out; /* the VM has got a time-out already: no reply is sent */
  ev_object_t *objects;
  size_t count;
  uint64_t revision;
  int status;       /* HTTP status; negative: the call failed, as in fail */
  const char *body; /* BED_UPSTREAM: request id; BED_RESPONSE: body */
  bool endless;     /* BED_RESPONSE: its body does not end */
  ev_fail_t fail;
  uint32_t from; /* sender of a message */
} bed_event_t;

/** An object in the platform. */
typedef struct
{
  uint64_t version;
  buf_t value;
} bed_object_t;

/** A VM. */
typedef struct
{
  bool up;
  uint64_t incarnation;
  clk_ms_t frozen_until;
  clk_ms_t partitioned_until;
  char name[16];
  void *ctx;
  env_t *env;
  crd_t *crd;
  bat_t *bat;
  GHashTable *cancelled; /* upstream calls that the VM has cancelled */
} bed_vm_t;

struct batbed
{
  batbed_desc_t desc;
  GRand *rand;
  clk_ms_t now;
  uint64_t seq;
  GTree *events;
  GTree *objects; /* name -> bed_object_t */
  uint64_t revision;
  clk_ms_t outage_until;
  bed_vm_t vm[BED_VMS_MAX];
  cfg_doc_t *doc;
  GHashTable *responses; /* caller -> batbed_response_t */
  uint64_t callers;      /* count of callers, for their ids */
  GHashTable *runs;      /* request id -> number of runs */
  GHashTable *forbidden; /* jobs of batbed_forbid_starts */
  batbed_totals_t totals;
  bool healed; /* random faults have ended */
  uint32_t fault_vm;
  unsigned fault_countdown; /* calls until the fault; 0: none */
  batbed_fault_t fault;
  clk_ms_t fault_ms;
  bool fault_done;
  bool lose_next_response;  /* of the call that is being sent */
  bool kill_pending;        /* fault_vm is killed after its current effect */
  clk_ms_t next_call_delay; /* added to the call that is being sent */
  bool trace;
};

/** True with probability P; false when faults have ended. */
bool bed_chance (batbed_t *bed, double p);
/** Random delay, about exponential: 1 ms plus, on average, 0.7 of MEAN, and at
 * most 4.6 of MEAN. */
clk_ms_t bed_delay (batbed_t *bed, clk_ms_t mean);
/** Creates an event, to be passed to bed_event_add. */
bed_event_t *bed_event (batbed_t *bed, clk_ms_t at, bed_kind_t kind,
                        uint32_t vm);
/** Adds E to the events in flight, which own it. */
void bed_event_add (batbed_t *bed, bed_event_t *e);
/** Index of the VM with NAME; UINT32_MAX: none. */
uint32_t bed_index (const batbed_t *bed, const char *name);
bool bed_is_partitioned (const batbed_t *bed, uint32_t vm);
/** Starts or stops a VM at once. */
void bed_start (batbed_t *bed, uint32_t i);
void bed_stop_vm (bed_vm_t *vm);
/** Has each VM see the VM list after bed_delay of DELAY. */
void bed_members_schedule (batbed_t *bed, clk_ms_t delay);
/** Carries out all effects of VM's modules. */
void bed_effects_run (batbed_t *bed, bed_vm_t *vm);
/** Carries out one effect of VM. */
void bed_effect_run (batbed_t *bed, uint32_t vm, const fx_t *f);
/** Serves a call that reaches the platform or an upstream. */
void bed_platform_serve (batbed_t *bed, bed_event_t *e);
void bed_upstream_serve (batbed_t *bed, bed_event_t *e);

#endif

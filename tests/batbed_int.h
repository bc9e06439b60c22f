/** @file
 * Shared insides of batbed.c (VMs, time, callers), batbed_world.c
 * (the platform, upstreams, what is in flight) and batbed_faults.c.
 */
#ifndef RTS_BATBED_INT_H
#define RTS_BATBED_INT_H

#include "batbed.h"

#define BED_VMS_MAX 16
#define BED_VM_LIST_DELAY_MS (8 * CLK_SECOND) /* of the VM list */

typedef enum
{
  BED_PLATFORM, /* a call reaches the platform */
  BED_REPLY,    /* its answer reaches the VM */
  BED_UPSTREAM, /* a call reaches an upstream */
  BED_ANSWER,   /* its answer reaches the VM */
  BED_MESSAGE,
  BED_MEMBERS, /* the VM list is seen */
} bed_kind_t;

typedef struct
{
  clk_ms_t at;
  uint64_t seq;
  bed_kind_t kind;
  uint32_t vm;
  uint64_t incarnation;
  fx_t fx; /* PLATFORM, UPSTREAM, MESSAGE */
  st_code_t code;
  bool lose; /* the answer */
  bool late; /* the VM has been told UNKNOWN already */
  ev_object_t *objects;
  size_t count;
  uint64_t revision;
  int status;
  const char *body;
  ev_fail_t fail;
  uint32_t from;
} bed_event_t;

typedef struct
{
  uint64_t version;
  buf_t value;
} bed_object_t;

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
  GHashTable *cancelled; /* upstream calls */
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
  GHashTable *answers; /* caller -> batbed_answer_t */
  uint64_t callers;
  GHashTable *runs; /* request id -> times run */
  GHashTable *forbidden;
  batbed_totals_t totals;
  bool healed;
  uint32_t fault_vm;
  unsigned fault_countdown; /* calls until the fault; 0: none */
  batbed_fault_t fault;
  clk_ms_t fault_ms;
  bool fault_done;
  bool lose_next_response;
  bool kill_pending; /* fault_vm, once its effects are out */
  clk_ms_t next_call_delay;
  bool trace;
};

/** True with chance P, while there are faults. */
bool bed_chance (batbed_t *bed, double p);
/** Random delay with this mean. */
clk_ms_t bed_delay (batbed_t *bed, clk_ms_t mean);
/** New event; to be passed to bed_event_add. */
bed_event_t *bed_event (batbed_t *bed, clk_ms_t at, bed_kind_t kind,
                        uint32_t vm);
void bed_event_add (batbed_t *bed, bed_event_t *e);
uint32_t bed_index (const batbed_t *bed, const char *name);
bool bed_is_partitioned (const batbed_t *bed, uint32_t vm);
/** Start or stop a VM at once. */
void bed_start (batbed_t *bed, uint32_t i);
void bed_stop_vm (bed_vm_t *vm);
/** Each VM sees the VM list after a delay of its own. */
void bed_members_schedule (batbed_t *bed, clk_ms_t delay);
/** Carry out all that VM's modules asked for. */
void bed_effects_run (batbed_t *bed, bed_vm_t *vm);
/** Carry out an effect of VM. */
void bed_effect_run (batbed_t *bed, uint32_t vm, const fx_t *f);
/** A call reaches the platform, or an upstream. */
void bed_platform_serve (batbed_t *bed, bed_event_t *e);
void bed_upstream_serve (batbed_t *bed, bed_event_t *e);

#endif

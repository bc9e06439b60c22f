/** @file
 * Several VMs' idempotency records before a platform and an upstream that
 * fail, in virtual time: one seed gives one run, and what the upstream
 * received is counted.
 */
#ifndef RTS_IDMNET_H
#define RTS_IDMNET_H

#include "core/idm.h"
#include "core/idm_rec.h"

#include <glib.h>

#define VMS 3
#define ORDERS 12
#define ATTEMPTS_MAX 4000

typedef struct
{
  uint64_t version;
  buf_t value;
} object_t;

/** How the platform fails, each as a probability of a call. */
typedef struct
{
  double lost;  /**< takes effect, the answer is lost */
  double late;  /**< takes effect after its answer was given up on */
  double down;  /**< refused without effect */
  double crash; /**< of a VM, at each step of a request */
  double freeze;
} faults_t;

typedef enum
{
  REQUEST,            /**< an order at a VM */
  PLATFORM_EFFECT,    /**< of a platform call */
  PLATFORM_REPLY,     /**< of a platform call */
  UPSTREAM_RECEIVED,  /**< by the upstream */
  UPSTREAM_RESPONDED, /**< by the upstream */
  NOT_SENT,           /**< the connection was refused */
  UNFREEZE,           /**< of a VM */
} event_kind_t;

typedef struct
{
  int order;
  int vm;
  bool refused; /**< the caller was told that it did not run */
  bool ran;
} attempt_t;

typedef struct
{
  event_kind_t kind;
  int vm;
  uint64_t incarnation;
  uint64_t handle;
  int attempt;
  fx_platform_t call;
  st_code_t code;
  ev_object_t object;
  bool response_lost;
} event_t;

typedef struct
{
  env_t *env;
  idm_t *idm;
  uint64_t incarnation;
  clk_ms_t frozen_until;
} vm_t;

typedef struct
{
  void *ctx;
  clk_ms_t now;
  tmr_t *queue;
  GRand *rand;
  faults_t faults;
  GHashTable *objects;
  vm_t vm[VMS];
  attempt_t attempt[ATTEMPTS_MAX];
  int attempts;
  unsigned runs[ORDERS];
  bool settled[ORDERS]; /**< its caller got a final answer */
  unsigned replays;
  unsigned unknowns;
  unsigned refusals;
  unsigned crashes;
  unsigned double_runs;
  unsigned false_refusals;
  unsigned wrong_replays;
} net_t;

/** New net without orders. */
net_t *net_setup (uint32_t seed, faults_t faults);

/** Free it. */
void net_shutdown (net_t *n);

/** A caller sends ORDER to some VM. */
void net_order (net_t *n, int order);

/** All orders are sent, some of them twice. */
void net_orders_begin (net_t *n);

/** Let time pass. */
void net_run (net_t *n, clk_ms_t until);

/** Carry out a platform call of VM, and what is due, by hand. */
void net_platform_call (net_t *n, int vm, const fx_platform_t *call);
void net_handle (net_t *n, event_t *d);

/** Assert that nothing ran twice, ran in spite of a refusal, or was replayed
 * wrongly (CUnit). */
void net_check (const net_t *n);

#endif

/** @file
 * Test network for idempotency records (prefix net_): several VMs, a platform
 * that fails in configurable ways and an upstream that counts what it
 * receives.  Time is virtual, in milliseconds, and each seed gives one
 * reproducible run.  Only test_idm.c uses it.
 */
#ifndef RTS_IDMNET_H
#define RTS_IDMNET_H

#include "core/idm.h"
#include "core/idm_rec.h"

#include <glib.h>

#define VMS 3
#define ORDERS 12         /**< different requests, each with its own key */
#define ATTEMPTS_MAX 4000 /**< requests of callers in one run */

typedef struct
{
  uint64_t version;
  buf_t value;
} object_t;

/** Probabilities of faults, of each platform call unless stated otherwise. */
typedef struct
{
  double lost;   /**< the call takes effect, its reply is lost */
  double late;   /**< the call takes effect after its caller timed out */
  double down;   /**< the call is refused without effect */
  double crash;  /**< a VM crashes, at each step of a request */
  double freeze; /**< a VM freezes before a request is sent */
} faults_t;

typedef enum
{
  REQUEST,            /**< an order reaches a VM */
  PLATFORM_EFFECT,    /**< a platform call takes effect */
  PLATFORM_REPLY,     /**< the reply to a platform call arrives */
  UPSTREAM_RECEIVED,  /**< the upstream receives a request */
  UPSTREAM_RESPONDED, /**< the upstream's response arrives */
  NOT_SENT,           /**< the connection to the upstream was refused */
  UNFREEZE,           /**< a VM goes on after a freeze */
} event_kind_t;

typedef struct
{
  int order;
  int vm;
  bool refused; /**< the caller was told that the request did not run */
  bool ran;
} attempt_t;

typedef struct
{
  event_kind_t kind;
  int vm;
  uint64_t incarnation; /**< of the VM; 0: any */
  uint64_t handle;
  int attempt; /**< index into attempt of net_t; negative: see idmnet.c */
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
  GHashTable *objects; /**< name to object_t */
  vm_t vm[VMS];
  attempt_t attempt[ATTEMPTS_MAX];
  int attempts;
  unsigned runs[ORDERS];
  bool settled[ORDERS]; /**< the caller got a final response */
  unsigned replays;
  unsigned unknowns;
  unsigned refusals;
  unsigned crashes;
  unsigned double_runs;    /**< orders that ran more than once */
  unsigned false_refusals; /**< refused attempts that ran */
  unsigned wrong_replays;
} net_t;

/** New network without orders. */
net_t *net_setup (uint32_t seed, faults_t faults);

/** Frees the network. */
void net_shutdown (net_t *n);

/** Sends ORDER to a random VM, unless the order is settled. */
void net_order (net_t *n, int order);

/** Sends all orders, every third one twice. */
void net_orders_begin (net_t *n);

/** Advances the time to UNTIL. */
void net_run (net_t *n, clk_ms_t until);

/** Makes a platform call of VM, and handles one event; for tests that do not
 * use net_run. */
void net_platform_call (net_t *n, int vm, const fx_platform_t *call);
void net_handle (net_t *n, event_t *d);

/** Asserts that no order ran twice, ran although it was refused, or got a
 * wrong replay. */
void net_check (const net_t *n);

#endif

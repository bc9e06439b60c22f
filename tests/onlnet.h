/** @file
 * Several VMs' online modules before fake upstreams, in virtual time: one
 * seed gives one run.  What the upstreams received is counted, and each
 * caller's answer is checked as it comes.
 *
 *   onn_t *n = onn_setup (&(onn_desc_t){ .seed = 1, .vms = 2 });
 *   uint64_t a = onn_request (n, 0, &(onn_request_t){ .path =
 * "/v1/completions" }); onn_run (n, 20000); onn_check (n); what must hold of
 * every answer
 *
 * No messages between VMs; keys and rates are tested with whole nodes.
 */
#ifndef RTS_ONLNET_H
#define RTS_ONLNET_H

#include "core/onl.h"

/** Probabilities of faults; of upstream calls unless said otherwise. */
typedef struct
{
  double refuse;              /**< connection refused */
  double silent;              /**< runs, answers nothing */
  double disconnect;          /**< breaks off in the middle */
  double truncate;            /**< ends early, as if whole */
  double swap;                /**< another request's answer */
  double duplicate;           /**< the answer comes twice */
  double busy;                /**< status 503 */
  double kill;                /**< a VM, each second */
  double platform_reply_lost; /**< of platform calls: the answer is lost */
  double platform_down;       /**< of platform calls: refused */
  double caller_closes;       /**< of requests: the caller closes early */
} onn_faults_t;

/** How to set a net up. */
typedef struct
{
  uint32_t seed;
  int vms;          /**< default 1 */
  int slots;        /**< of an upstream; default 8 */
  clk_ms_t work_ms; /**< an upstream's mean time; default 60 */
  onn_faults_t faults;
} onn_desc_t;

/** Every caller's key; only /keyed needs one. */
#define ONN_KEY "the-callers-key"

/** A request. */
typedef struct
{
  const char *path; /**< /v1/completions, /keyed or /orders */
  int order;        /**< of /orders: the same number is the same order */
  bool stream;
} onn_request_t;

/** What a caller has seen. */
typedef struct
{
  int status; /**< 0: no head yet */
  GString *body;
  bool ended;
  bool aborted;
  bool vm_killed; /**< its VM died */
  bool closed;    /**< by the caller */
  bool not_run;   /**< it was told so */
  clk_ms_t sent_at;
  clk_ms_t completed_at;
  unsigned received; /**< times that an upstream received it */
} onn_answer_t;

typedef struct onn onn_t;

onn_t *onn_setup (const onn_desc_t *desc);
void onn_shutdown (onn_t *n);

/** Send a request to VM; its number. */
uint64_t onn_request (onn_t *n, int vm, const onn_request_t *spec);

void onn_run (onn_t *n, clk_ms_t until);
void onn_kill (onn_t *n, int vm);
void onn_faults (onn_t *n, const onn_faults_t *faults);

/** Faults of one upstream ("10.0.0.1:80") instead of the net's. */
void onn_upstream_faults (onn_t *n, int upstream, const onn_faults_t *faults);

clk_ms_t onn_now (const onn_t *n);
GRand *onn_rand (onn_t *n);
const onn_answer_t *onn_answer (const onn_t *n, uint64_t id);
uint64_t onn_count (const onn_t *n);

/** Times that an order was received by any upstream. */
unsigned onn_order_runs (const onn_t *n, int order);

/** Requests that upstream number I has received. */
unsigned onn_received (const onn_t *n, int i);

onl_t *onn_onl (onn_t *n, int vm);
env_t *onn_env (onn_t *n, int vm);

/** Withdraw the key of /keyed at VM. */
st_code_t onn_withdraw (onn_t *n, int vm);

/** Assert what must hold of all requests so far (CUnit). */
void onn_check (const onn_t *n);

#endif

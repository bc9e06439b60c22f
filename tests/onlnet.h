/** @file
 * Test net for online requests (prefix onn_): the online modules of several
 * VMs with fake upstreams and a fake platform in virtual time.  The net counts
 * the requests that upstreams receive, injects faults, and checks each
 * caller's response.  Its VMs exchange no messages: keys and rates are tested
 * with whole nodes (flt.h).
 *
 *   onn_t *n = onn_setup (&(onn_desc_t){ .seed = 1, .vms = 2 });
 *   uint64_t a = onn_request (n, 0, &(onn_request_t){ .path = "/keyed" });
 *   onn_run (n, 20000);
 *   onn_check (n);
 *   onn_shutdown (n);
 *
 * One seed gives one run.  Times are in milliseconds.  The net owns all that
 * its functions return; a failed check is a failed CUnit assertion.
 */
#ifndef RTS_ONLNET_H
#define RTS_ONLNET_H

#include "core/onl.h"

/** Time between two parts of a stream that drips or is slow. */
#define ONN_DRIP_MS (5 * CLK_SECOND)
/** Events of a slow stream before its last. */
#define ONN_SLOW_EVENTS 12

/** Probabilities of faults, of each upstream call unless noted otherwise. */
typedef struct
{
  double refuse;              /**< the connection is refused */
  double silent;              /**< the request runs without a response */
  double disconnect;          /**< the connection breaks within the body */
  double truncate;            /**< the body ends early, without an error */
  double swap;                /**< another request's response arrives */
  double duplicate;           /**< the response arrives twice */
  double cut_close;           /**< the body, which has neither a length nor
                                   chunks, ends early with its connection */
  double drip;                /**< a stream's first event never ends; a byte
                                   of it comes every ONN_DRIP_MS */
  double slow;                /**< a stream's events come ONN_DRIP_MS apart,
                                   ONN_SLOW_EVENTS of them */
  double busy;                /**< the response has status 503 */
  double kill;                /**< expected number of VMs killed a second */
  double platform_reply_lost; /**< of platform calls: the effect happens,
                                   the reply is lost */
  double platform_down;       /**< of platform calls: the call fails */
  double caller_closes;       /**< of requests: the caller closes early */
} onn_faults_t;

/** Set-up of a net; zeros mean the defaults. */
typedef struct
{
  uint32_t seed;
  int vms;          /**< default 1 */
  int slots;        /**< slots of an upstream; default 8 */
  clk_ms_t work_ms; /**< mean time that a request runs; default 60 */
  onn_faults_t faults;
} onn_desc_t;

/** API key that every caller sends; only /keyed needs one. */
#define ONN_KEY "the-callers-key"

/** A request to be sent. */
typedef struct
{
  const char *path; /**< /v1/completions, /keyed or /orders */
  int order;        /**< for /orders: number in the Idempotency-Key */
  bool stream;
} onn_request_t;

/** State of a caller's response. */
typedef struct
{
  int status; /**< 0: no head yet */
  GString *body;
  bool ended;
  bool aborted;
  bool vm_killed; /**< the VM was killed before the end */
  bool closed;    /**< the caller closed before the end */
  bool not_run;   /**< an error response said "not-run" */
  clk_ms_t sent_at;
  clk_ms_t completed_at; /**< time of the last part so far */
  unsigned received;     /**< number of times that upstreams received the
                             request */
} onn_response_t;

typedef struct onn onn_t;

/** Create a net; onn_shutdown frees it. */
onn_t *onn_setup (const onn_desc_t *desc);
void onn_shutdown (onn_t *n);

/** Send a request to VM.  Returns the request's number; the first is 1. */
uint64_t onn_request (onn_t *n, int vm, const onn_request_t *spec);

/** Let virtual time pass until UNTIL. */
void onn_run (onn_t *n, clk_ms_t until);

/** Kill VM and restart it with the next incarnation. */
void onn_kill (onn_t *n, int vm);

/** Inject FAULTS from now on. */
void onn_faults (onn_t *n, const onn_faults_t *faults);

/** Inject FAULTS at one upstream instead of the net's faults.  Upstream number
 * 1 has the address 10.0.0.1:80, number 2 has 10.0.0.2:80 and so on. */
void onn_upstream_faults (onn_t *n, int upstream, const onn_faults_t *faults);

clk_ms_t onn_now (const onn_t *n);
GRand *onn_rand (onn_t *n);

/** Response to request ID. */
const onn_response_t *onn_response (const onn_t *n, uint64_t id);

/** Number of requests so far. */
uint64_t onn_count (const onn_t *n);

/** Number of times that any upstream received the order. */
unsigned onn_order_runs (const onn_t *n, int order);

/** Number of requests that upstream number I has received. */
unsigned onn_received (const onn_t *n, int i);

onl_t *onn_onl (onn_t *n, int vm);
env_t *onn_env (onn_t *n, int vm);

/** Withdraw ONN_KEY at VM. */
st_code_t onn_withdraw (onn_t *n, int vm);

/** Assert for all requests so far: a response is complete and the request's
 * own, or marked as broken, and ends by the deadline; "not-run" is true; an
 * order ran at most once. */
void onn_check (const onn_t *n);

#endif

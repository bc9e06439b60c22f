/** @file
 * Types and functions that the files of the online requests' module (onl)
 * share.  Other modules use onl.h.
 */
#ifndef RTS_ONL_INT_H
#define RTS_ONL_INT_H

#include "core/cht.h"
#include "core/fqu.h"
#include "core/onl.h"
#include "core/rpl.h"
#include "core/rtb.h"
#include "core/sse.h"
#include "core/tbl.h"

#include <glib.h>

/** Largest number of a request's attempts that may have run; a route can set
 * another number. */
#define ONL_RUNS_MAX_DEFAULT 3

/** Largest number of attempts of a request, including the attempts that
 * upstreams refused. */
#define ONL_ATTEMPTS_MAX 8

/** Largest number of attempts that this VM's path may fail and that do not
 * count. */
#define ONL_PATH_FAILURES_MAX 6

/** Responses up to this size in bytes are buffered until they are complete,
 * so that a broken one can be replaced by another attempt's. */
#define ONL_BUFFERED_MAX ((size_t)256 * 1024)

/** Longest silence within a response, and past its deadline longest time
 * without a whole event of a stream, in milliseconds. */
#define ONL_STALL_MS (10 * CLK_SECOND)

/** Tag of the timer that checks the queues.  The tag of a deadline timer is
 * the request's handle, which is smaller than this and the next tag. */
#define ONL_QUEUE_TIMER_TAG ((uint64_t)1 << 63)

/** Tag of the timer after which a leaving VM refuses new requests. */
#define ONL_LEAVE_TIMER_TAG ((uint64_t)1 << 62)

/** Number of bytes kept from the end of a stream, to find the end marker. */
#define ONL_TAIL_SIZE 16

/** States of charts/request.ini, in its order. */
typedef enum
{
  ONL_ADMITTING,
  ONL_LOOKING,
  ONL_RECORDING,
  ONL_BINDING,
  ONL_QUEUED,
  ONL_SENT,
  ONL_ANSWERING,
  ONL_ENDED,
  ONL_STATE_NUM
} onl_state_t;

/** Events of charts/request.ini. */
typedef enum
{
  ONL_EV_ADMITTED,
  ONL_EV_LIMITED,
  ONL_EV_GRANTED,
  ONL_EV_BOUND,
  ONL_EV_PICKED,
  ONL_EV_HEAD,
  ONL_EV_RETRY,
  ONL_EV_END,
  ONL_EV_NUM
} onl_event_t;

/** Response of the current attempt. */
typedef struct
{
  int status;
  http_headers_t headers;
  bool stream;          /**< server-sent events, passed on as they arrive */
  int64_t length;       /**< of the body, in bytes; -1: not announced */
  bool close_delimited; /**< as in ev_upstream_t */
  sse_place_t place;    /**< STREAM: where it stands */
  clk_ms_t event_at;    /**< STREAM: when its last whole event came */
  uint64_t received;    /**< bytes of the body so far */
  GByteArray *buffered; /**< body so far; NULL: passed on as it arrives */
  char tail[ONL_TAIL_SIZE];
  size_t tail_size;
} onl_response_t;

/** Queue and retry budget of the requests for one deployment. */
typedef struct
{
  char *name;
  fqu_t *queue;
  GQueue *held; /**< guint64: requests that have left QUEUE and wait until an
                     upstream of their version has room, oldest first */
  rtb_t budget;
  clk_ms_t turn_at; /**< when the last caller that was refused because of
                         upstreams' limits is to come back */
} onl_deployment_t;

/** A request in progress. */
typedef struct
{
  tbl_id_t id;
  void *pool; /**< talloc context that owns the request's copies */
  onl_state_t state;
  uint64_t caller; /**< 0: the caller has closed its connection or has got
                      its response */
  char *request_id;
  char *key; /**< name of the API key; "" on open routes */
  char *customer;
  double weight;
  char *idempotency_key; /**< NULL on idempotent routes */
  uint64_t fingerprint;
  onl_deployment_t *deployment;
  const char *host; /**< requested host; NULL: the upstream's address */
  bool engine;
  bool idempotent;
  bool recorded;       /**< an idempotency record makes the request run at most
                          once */
  bool has_end_marker; /**< a complete stream ends with the end marker */
  bool resumable;      /**< another upstream may continue a broken stream */
  bool strict_time; /**< the deadline ends even a stream that makes progress */
  bool stream;      /**< the caller asked for a stream */
  char *method;
  char *target; /**< path and query, without the API key */
  http_headers_t headers;
  buf_t body;
  uint64_t prefix;   /**< hash of the prompt's prefix; 0: none */
  crs_query_t crash; /**< what may end an upstream */
  clk_ms_t arrived;
  clk_ms_t sent;     /**< when the last attempt was sent */
  clk_ms_t leave_by; /**< when it must have left the queue */
  clk_ms_t deadline;
  clk_ms_t target_ms; /**< time from ARRIVED in which the first byte of the
                           response is wanted; 0: not set */

  uint64_t record; /**< handle of the idempotency record (idm.h); 0: none */
  clk_ms_t retry_after;  /**< set when the customer is over its rate */
  bool may_have_run;     /**< the request, or an earlier one with the same
                              idempotency key, may have run */
  bool delivered;        /**< a part of a response went to the caller */
  bool delivered_framed; /**< it has a length or chunks, whose end says that
                              the response is complete */
  int delivered_status;  /**< status that was delivered */

  const char *resume_after; /**< id of the last event delivered; NULL: none */
  const char *resumes;      /**< as in ev_request_meta_t */
  bool begins;              /**< a stream that the caller has no event of */
  bool takes_up; /**< one of which it has, where versions are told apart */
  bool bound;    /**< only upstreams of VERSION may go on with the stream */
  const char *version;      /**< BOUND; "": not known, so that none may */
  const char **deployments; /**< TAKES_UP: to which the route may send it */
  size_t deployment_count;
  rte_pick_t pick; /**< upstream of the current attempt */
  uint64_t call;   /**< call of the current attempt; 0: none */
  const char *tried[ONL_ATTEMPTS_MAX]; /**< upstreams of all attempts */
  size_t attempts;
  const char *last_tried; /**< upstream of the last attempt */
  unsigned path_failures; /**< attempts that only this VM's path has failed */
  uint32_t runs; /**< attempts that may have run, including the current one */
  uint32_t runs_max; /**< largest value of runs that the route allows */
  sse_t events;      /**< resumable: bytes of an incomplete event */
  onl_response_t response;
} onl_request_t;

/** The read of the list of upstreams that confirms that they have one
 * version. */
typedef struct
{
  GQueue *waiting;      /**< uint64_t: requests for the next read */
  GQueue *reading;      /**< uint64_t: those for the one in progress, which
                             began after they came */
  GHashTable *versions; /**< set of "DEPLOYMENT VERSION" read so far; NULL: no
                             read is in progress */
} onl_list_t;

struct onl
{
  onl_desc_t desc;
  const cht_t *chart;
  const cfg_doc_t *doc;
  tbl_t *requests;
  GHashTable *by_caller;   /**< caller to request handle */
  GHashTable *deployments; /**< name to onl_deployment_t */
  uint64_t sequence;       /**< number of the last request id made here */
  clk_ms_t leaving_since;  /**< time of onl_leave; CLK_NEVER: not leaving */
  bool queue_timer_armed;
  onl_list_t list;
};

/* onl.c */
/** The request of HANDLE; NULL once the request has ended. */
onl_request_t *onl_request_get (const onl_t *o, uint64_t handle);

/** Apply EVENT to the request's state and run the action of the transition,
 * which may free R. */
void onl_fire (onl_t *o, env_t *env, onl_request_t *r, onl_event_t event);

/** End the request with error E.  If a part of a response was delivered, that
 * response is aborted instead.  Frees R. */
void onl_refuse (onl_t *o, env_t *env, onl_request_t *r, const rpl_error_t *e);

/** Write to the request's record, if any, that it did not run or that it may
 * have run. */
void onl_record_close (onl_t *o, env_t *env, onl_request_t *r);

/* onl_admit.c */
/** Continue with a request that is within the customer's rate. */
void onl_admitted (onl_t *o, env_t *env, onl_request_t *r);

/** Action "record": request a record, which is needed before the request may
 * be sent. */
void onl_record_begin (onl_t *o, env_t *env, onl_request_t *r);

/** Action "look": look up whether an earlier request with the same idempotency
 * key ran, without making a record. */
void onl_record_look_up (onl_t *o, env_t *env, onl_request_t *r);

/** Handle the verdict on a record that was requested or looked up. */
void onl_record_verdict (onl_t *o, env_t *env, const idm_result_t *result);

/** Handle a request over the customer's rate: refuse the request; if it has an
 * idempotency key, look up the record first. */
void onl_limit_refused (onl_t *o, env_t *env, onl_request_t *r,
                        clk_ms_t retry_after);

/** The entry of deployment NAME, made when it is first used. */
onl_deployment_t *onl_deployment (onl_t *o, const char *name);

/* onl_version.c: the version at which a stream began. */
void onl_list_setup (onl_list_t *list);
void onl_list_clear (onl_list_t *list);
/** Note in R, which is being admitted on ROUTE, what it takes up. */
void onl_take_up_fill (onl_t *o, onl_request_t *r, const cfg_route_t *route);

/** The only version to which R may be sent; NULL: any, as R is not bound or
 * all upstreams are of its version. */
const char *onl_version_wanted (const onl_t *o, const env_t *env,
                                const onl_request_t *r);

/** Action "bind": look for the version at which the stream began that R takes
 * up. */
void onl_bind (onl_t *o, env_t *env, onl_request_t *r);

/** Continue with the requests whose streams' versions have been found, and
 * refuse those whose have not. */
void onl_binds_finish (onl_t *o, env_t *env);

/** The first whole event of R's stream has come: it goes on only at the
 * version of its upstream. */
void onl_stream_began (onl_t *o, env_t *env, onl_request_t *r);

/* onl_send.c */
/** Action "queue": add the request to its deployment's queue, or refuse it. */
void onl_queue (onl_t *o, env_t *env, onl_request_t *r);

/** Action "send": call the upstream that was picked. */
void onl_send (onl_t *o, env_t *env, onl_request_t *r);

/** Send queued requests as far as upstreams have room, and refuse those that
 * can no longer be served in time. */
void onl_dispatch (onl_t *o, env_t *env);

/** Queue the request for another attempt.  MAY_HAVE_RUN: the last attempt may
 * have run.  Returns false when no further attempt is allowed.  When true is
 * returned, R may be freed, because the queue may have refused the request. */
bool onl_retry (onl_t *o, env_t *env, onl_request_t *r, bool may_have_run);

/* onl_crash.c: requests that may end upstreams. */
/** Fill in what of R, which REQ has brought, may end an upstream. */
void onl_crash_fill (onl_request_t *r, const ev_request_t *req);

/** Outcome of onl_crash_gate. */
typedef enum
{
  ONL_GATE_OPEN,   /**< R may be sent in this step */
  ONL_GATE_WAIT,   /**< not yet */
  ONL_GATE_CLOSED, /**< R was refused, and is freed */
} onl_gate_t;

/** Whether R, which is about to be sent, may be. */
onl_gate_t onl_crash_gate (onl_t *o, env_t *env, onl_request_t *r);

/** The call of R has failed; CLOSED: its upstream closed the connection.
 * Returns what the router is told. */
rte_fail_t onl_crash_fail (onl_request_t *r, bool closed);

/* onl_response.c */
/** Abort a response of which a part was delivered; WHY is for the time line
 * and the caller.  Frees R. */
void onl_abort (onl_t *o, env_t *env, onl_request_t *r, const char *why);

/* onl_head.c */
/** Headers of an upstream's response as the caller gets them, owned by
 * CTX. */
http_headers_t onl_response_headers (void *ctx, http_headers_t headers,
                                     const char *request_id);

/** Whether header NAME is present and its value begins with START, in any
 * case of letters. */
bool onl_header_is (http_headers_t headers, const char *name,
                    const char *start);

/** Hash of the prefix of an engine request's prompt; 0: none.  *STREAM says
 * whether the request asks for a stream. */
uint64_t onl_prompt_prefix (buf_t body, bool *stream);

#endif

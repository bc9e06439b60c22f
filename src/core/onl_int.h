/** @file
 * What the files of onl share; not for other modules.
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

/** Upstreams that one request may run on where its route does not say. */
#define ONL_RUNS_DEFAULT 3

/** Most upstreams that one request is sent to, those that refuse included. */
#define ONL_TRIES 8

/** Answers up to this size are held until they are whole, in bytes. */
#define ONL_HOLD_MAX ((size_t)256 * 1024)

/** Tag of the timer for the queues; requests' handles stay below it. */
#define ONL_TICK_TAG ((uint64_t)1 << 63)

/** Tag of the timer after which a leaving VM takes no more requests. */
#define ONL_LEAVE_TAG ((uint64_t)1 << 62)

/** Bytes at the end of a stream that show whether it is whole. */
#define ONL_TAIL_SIZE 16

/** States of charts/request.ini. */
typedef enum
{
  ONL_ADMITTING,
  ONL_LOOKING,
  ONL_RECORDING,
  ONL_QUEUED,
  ONL_SENT,
  ONL_ANSWERING,
  ONL_ENDED,
  ONL_STATE_NUM
} onl_state_t;

/** Its events. */
typedef enum
{
  ONL_EV_ADMITTED,
  ONL_EV_LIMITED,
  ONL_EV_GRANTED,
  ONL_EV_PICKED,
  ONL_EV_HEAD,
  ONL_EV_RETRY,
  ONL_EV_END,
  ONL_EV_NUM
} onl_event_t;

/** The answer of the try that runs. */
typedef struct
{
  int status;
  http_headers_t headers;
  bool stream;    /**< server-sent events: passed on as they come */
  int64_t length; /**< announced; -1: not */
  uint64_t got;
  GByteArray *held; /**< not delivered yet */
  char tail[ONL_TAIL_SIZE];
  size_t tail_size;
} onl_answer_t;

/** The upstreams of one deployment, as far as requests wait for them. */
typedef struct
{
  char *name;
  fqu_t *queue;
  rtb_t budget;
} onl_deployment_t;

/** One request. */
typedef struct
{
  tbl_id_t id;
  void *pool; /**< owns what the request points to */
  onl_state_t state;
  uint64_t caller; /**< 0: gone */
  char *request_id;
  char *key; /**< name of the caller's key; "" on open routes */
  char *customer;
  double weight;
  char *idempotency_key; /**< NULL on idempotent routes */
  uint64_t fingerprint;
  onl_deployment_t *deployment;
  const char *host; /**< NULL: the upstream's address */
  bool engine;
  bool idempotent;
  bool recorded;    /**< at most once rests on a record */
  bool marked;      /**< a whole stream ends with the end mark */
  bool resumable;   /**< a stream may go on at another upstream */
  bool strict_time; /**< ends at the deadline, whatever flows */
  bool stream;      /**< the caller asked for one */
  char *method;
  char *target; /**< path and query, without the key */
  http_headers_t headers;
  buf_t body;
  uint64_t prefix;
  clk_ms_t arrived;
  clk_ms_t sent; /**< when the last try was sent */
  clk_ms_t deadline;

  uint64_t record;      /**< handle of idm; 0: none */
  clk_ms_t retry_after; /**< when over its rate */
  bool may_have_run;
  bool delivered;    /**< bytes of an answer went to the caller */
  int answer_status; /**< delivered: the status that the caller has */

  const char *resume_after; /**< last event that the caller has; NULL: none */
  rte_pick_t pick;          /**< of the try that runs */
  uint64_t call;
  const char *tried[ONL_TRIES];
  size_t tries;
  uint32_t runs;     /**< tries that may have run */
  uint32_t runs_max; /**< by the route */
  sse_t events;      /**< resumable: events that are not whole yet */
  onl_answer_t answer;
} onl_request_t;

struct onl
{
  onl_desc_t desc;
  const cht_t *chart;
  const cfg_doc_t *doc;
  tbl_t *requests;
  GHashTable *by_caller;   /**< caller to request handle */
  GHashTable *deployments; /**< name to onl_deployment_t */
  uint64_t sequence;
  clk_ms_t leaving_since; /**< CLK_NEVER: not */
  bool ticking;
};

/* onl.c */
onl_request_t *onl_get (const onl_t *o, uint64_t handle);
void onl_fire (onl_t *o, env_t *env, onl_request_t *r, onl_event_t event);

/** The request is over; E tells the caller why, or, when it has a part of
 * the answer already, the broken answer does.  R is gone then. */
void onl_refuse (onl_t *o, env_t *env, onl_request_t *r, const rpl_error_t *e);

/** Record that the request did not run, or may have. */
void onl_record_close (onl_t *o, env_t *env, onl_request_t *r);

/* onl_admit.c */
void onl_admitted (onl_t *o, env_t *env, onl_request_t *r);
void onl_record (onl_t *o, env_t *env, onl_request_t *r);
void onl_look (onl_t *o, env_t *env, onl_request_t *r);
void onl_recorded (onl_t *o, env_t *env, const idm_result_t *answer);
void onl_limit_refused (onl_t *o, env_t *env, onl_request_t *r,
                        clk_ms_t retry_after);

/* onl_send.c */
void onl_queue (onl_t *o, env_t *env, onl_request_t *r);
void onl_send (onl_t *o, env_t *env, onl_request_t *r);
void onl_dispatch (onl_t *o, env_t *env);
bool onl_retry (onl_t *o, env_t *env, onl_request_t *r, bool ran);

/* onl_answer.c */
/** The answer broke after some of it was delivered.  R is gone then. */
void onl_abort (onl_t *o, env_t *env, onl_request_t *r, const char *why);

/* onl_head.c: headers in both directions. */
http_headers_t onl_request_headers (void *ctx, http_headers_t headers,
                                    const char *request_id);
http_headers_t onl_answer_headers (void *ctx, http_headers_t headers,
                                   const char *request_id);
bool onl_header_is (http_headers_t headers, const char *name,
                    const char *start);

/** Prefix hash of an engine request's prompt (0: none) and whether it asks
 * for a stream. */
uint64_t onl_prompt_prefix (buf_t body, bool *stream);

#endif

/** @file
 * Events: everything that reaches a node from outside (see docs/SEAM.md).
 *
 * All pointers in an event are borrowed for the length of node_step.
 */
#ifndef RTS_EV_H
#define RTS_EV_H

#include "core/cfg.h"
#include "core/http.h"
#include "core/msg.h"
#include "core/st.h"

#include <stdint.h>

/** Kinds of event. */
typedef enum
{
  EV_START,         /**< the first event of a node's life */
  EV_TIMER,         /**< the instant of the last FX_TIMER has come */
  EV_REQUEST,       /**< a caller's (or operator's) whole request */
  EV_CALLER_GONE,   /**< the caller closed before the answer's end */
  EV_UPSTREAM_HEAD, /**< status and headers of an upstream's answer */
  EV_UPSTREAM_DATA, /**< bytes of its body */
  EV_UPSTREAM_END,  /**< the answer is whole */
  EV_UPSTREAM_FAIL, /**< the call ended without a whole answer */
  EV_PLATFORM,      /**< outcome of a platform call */
  EV_PEER_UP,       /**< a link to a peer is open and proven */
  EV_PEER_DOWN,     /**< that link is gone */
  EV_PEER_MSG,      /**< a message over it */
  EV_DOCUMENT,      /**< what FX_DOCUMENT_DECODE asked for */
  EV_LEAVE,         /**< graceful shutdown has been asked for */
  EV_NUM
} ev_kind_t;

/** What is certain about a failed upstream call. */
typedef enum
{
  EV_FAIL_NOT_SENT, /**< no byte of the request left this VM */
  EV_FAIL_UNKNOWN,  /**< it may have run, wholly or partly */
  EV_FAIL_TIMEOUT,  /**< as unknown; the time given was over */
} ev_fail_t;

/** What a caller says of its request beside the body, where its protocol has
 * words for it; zero and NULL: not said. */
typedef struct
{
  const char *host;         /**< without the port */
  const char *id;           /**< new for each request */
  clk_ms_t wait_ms;         /**< longest time that the caller waits */
  clk_ms_t poll_ms;         /**< longest time that a read may wait for news */
  const char *resume_after; /**< last event that the caller has */
  uint64_t prefix;     /**< hash of the part of the prompt that it shares */
  uint32_t tokens_in;  /**< prompt tokens */
  uint32_t tokens_out; /**< most tokens that are generated */
} ev_request_meta_t;

/** What a call about a batch job asks for. */
typedef enum
{
  EV_JOB_NONE, /**< it is no such call */
  EV_JOB_SUBMIT,
  EV_JOB_READ, /**< results from a position on */
  EV_JOB_BODY, /**< the body of an item */
  EV_JOB_CANCEL,
} ev_job_op_t;

/** One item of a job. */
typedef struct
{
  const char *id;
  const char *target; /**< path and query */
  http_headers_t headers;
  buf_t body;
  uint64_t tokens; /**< prompt, and the most that is generated */
} ev_job_item_t;

/** A call about a batch job. */
typedef struct
{
  ev_job_op_t op;
  const char *id;             /**< of the job */
  uint64_t after;             /**< READ: the first position */
  const char *item;           /**< BODY: its id */
  const ev_job_item_t *items; /**< SUBMIT; NULL: the body cannot be read */
  size_t item_count;
} ev_job_t;

/** A caller's request. */
typedef struct
{
  uint64_t caller;    /**< driver's name for the connection's request;
                           unique in the life of the node */
  const char *method; /**< upper case */
  const char *path;   /**< without the query */
  const char *query;  /**< without '?'; "" when there is none */
  const char *target; /**< path and query as the caller wrote them; NULL: as
                           above */
  http_headers_t headers;
  buf_t body;
  ev_request_meta_t meta;
  ev_job_t job;
} ev_request_t;

/** Progress of an upstream call. */
typedef struct
{
  uint64_t call; /**< as in FX_UPSTREAM_CALL */
  int status;    /**< EV_UPSTREAM_HEAD */
  http_headers_t headers;
  bool not_run;     /**< EV_UPSTREAM_HEAD: the upstream promises that it did
                         not and will not run the request */
  buf_t data;       /**< EV_UPSTREAM_DATA */
  ev_fail_t fail;   /**< EV_UPSTREAM_FAIL */
  const char *text; /**< EV_UPSTREAM_FAIL: for logs */
} ev_upstream_t;

/** One object of the platform. */
typedef struct
{
  const char *name;
  uint64_t version; /**< of this object; 0: absent */
  buf_t value;
  bool deleted; /**< in a watch: it was removed at this version */
} ev_object_t;

/** One VM of the platform's lagging list. */
typedef struct
{
  const char *vm;
  const char *data_centre;
  const char *address; /**< of its peer port, "IP:PORT" */
  bool leaving;
  bool worker; /**< takes no requests of callers */
} ev_vm_t;

/** One entry of the platform's list of upstreams. */
typedef struct
{
  const char *name;
  const char *deployment;
  const char *data_centre;
  const char *address; /**< "IP:PORT" */
  bool leaving;        /**< gets nothing new */
  bool deleted;        /**< in a watch: the entry is gone */
  clk_ms_t cold_ms;    /**< slow for this much longer */
} ev_upstream_entry_t;

/** The operator's whole document. */
typedef struct
{
  uint64_t version;       /**< larger in each newer document */
  const cfg_doc_t *parts; /**< arrays for cfg_doc_assemble; no upstreams */
  buf_t raw; /**< the document as the platform gave it, for peers */
} ev_document_t;

/** Outcome of a platform call. */
typedef struct
{
  uint64_t call;  /**< as in FX_PLATFORM */
  st_code_t code; /**< OK, NOT_FOUND, CONFLICT (with the object, where the
                       platform gives it), STALE (a watch's history is gone),
                       UNAVAILABLE (no effect) or UNKNOWN (may have had its
                       effect) */
  const ev_object_t *objects; /**< GET, PUT: one; LIST, WATCH: many */
  size_t object_count;
  uint64_t revision; /**< LIST, WATCH: to watch on from */
  const char
      *continue_after; /**< lists: ask on behind this name; NULL: whole */
  const ev_document_t *document;      /**< DOCUMENT: NULL when there is none */
  const ev_upstream_entry_t *entries; /**< UPSTREAMS */
  size_t entry_count;
  const ev_vm_t *vms; /**< VMS */
  size_t vm_count;
} ev_platform_t;

/** Something about a peer link. */
typedef struct
{
  const char *vm;
  msg_t msg; /**< EV_PEER_MSG */
} ev_peer_t;

/** An event. */
typedef struct
{
  ev_kind_t kind;
  union
  {
    ev_request_t request;          /**< EV_REQUEST */
    uint64_t caller;               /**< EV_CALLER_GONE */
    ev_upstream_t upstream;        /**< EV_UPSTREAM_* */
    ev_platform_t platform;        /**< EV_PLATFORM */
    ev_peer_t peer;                /**< EV_PEER_* */
    const ev_document_t *document; /**< EV_DOCUMENT; NULL: not readable */
  };
} ev_t;

#endif

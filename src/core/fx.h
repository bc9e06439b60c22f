/** @file
 * Effects: everything that a node asks its driver to do (docs/SEAM.md).
 *
 *   fx_list_t *fx = fx_setup (ctx);
 *   fx_push (fx, &(fx_t){ .kind = FX_REPLY_END, .reply = { .caller = 3 } });
 *   for (size_t i = 0; i < fx->count; i++)
 *     act (&fx->v[i]);
 *   fx_clear (fx);
 *
 * What an effect points to is copied into the list and lives until fx_clear.
 */
#ifndef RTS_FX_H
#define RTS_FX_H

#include "core/clk.h"
#include "core/http.h"
#include "core/msg.h"

#include <stdint.h>

/** Kinds of effect. */
typedef enum
{
  FX_TIMER,       /**< send EV_TIMER at this instant; replaces the last */
  FX_REPLY_HEAD,  /**< begin the answer to a caller */
  FX_REPLY_DATA,  /**< bytes of its body */
  FX_REPLY_END,   /**< the answer is whole */
  FX_REPLY_ABORT, /**< close so that the caller sees it is not whole */
  FX_REPLY_JOB_RESULTS, /**< a whole answer: results of a batch job */
  FX_DOCUMENT_DECODE,   /**< decode a document that a peer has passed on */
  FX_UPSTREAM_CALL,     /**< send a request to an upstream */
  FX_UPSTREAM_CANCEL,   /**< stop it; no further event for the call comes */
  FX_PLATFORM,          /**< call the platform */
  FX_PEER_SEND,         /**< send a message; lost when there is no link */
  FX_PEER_LINK,         /**< keep a link to this peer */
  FX_PEER_UNLINK,       /**< drop it */
  FX_EXIT,              /**< shutdown is complete */
  FX_NUM
} fx_kind_t;

/** An answer's part. */
typedef struct
{
  uint64_t caller;
  int status; /**< FX_REPLY_HEAD */
  http_headers_t headers;
  clk_ms_t retry_after_ms; /**< FX_REPLY_HEAD: 0: not said */
  buf_t data;              /**< FX_REPLY_DATA */
} fx_reply_t;

/** One result of a batch job. */
typedef struct
{
  const char *id; /**< of the item */
  bool completed; /**< false: given up */
  buf_t text;     /**< data of its events, separated by line feeds */
} fx_job_result_t;

/** Results of a batch job from a position on. */
typedef struct
{
  uint64_t caller;
  uint64_t total; /**< items of the job */
  uint64_t next;  /**< position behind the last result */
  const fx_job_result_t *v;
  size_t count;
} fx_job_results_t;

/** A call to an upstream. */
typedef struct
{
  uint64_t call;
  const char *address; /**< "IP:PORT" */
  const char *method;
  const char *path; /**< with the query */
  http_headers_t headers;
  buf_t body;
  uint64_t caller;        /**< 0, or whose slowness holds the upstream back */
  clk_ms_t first_byte_ms; /**< longest wait for the answer's head */
  clk_ms_t stall_ms;      /**< longest silence in the body; 0: no bound */
  clk_ms_t total_ms;      /**< longest time in all; 0: no bound */
  bool fresh_connection;  /**< do not reuse an open one */
  bool load_report;       /**< asks for the load; the path is our own */
  const char *upstream;   /**< who must have the address; NULL: anyone */
  const char *host;       /**< that the caller asked; NULL: the address */
  const char *customer;   /**< NULL: none */
  const char *resume_after; /**< go on behind this event; NULL: all */
  clk_ms_t deadline_ms;     /**< the upstream may stop then; 0: not said */
} fx_upstream_t;

/** Operations of the platform's object API. */
typedef enum
{
  FX_PLATFORM_GET,        /**< one object */
  FX_PLATFORM_PUT,        /**< if its version is still if_version; 0: absent */
  FX_PLATFORM_DELETE,     /**< if its version is still if_version */
  FX_PLATFORM_LIST,       /**< all objects whose names start with name */
  FX_PLATFORM_WATCH,      /**< wait for changes below name after revision */
  FX_PLATFORM_VMS,        /**< the VM list */
  FX_PLATFORM_DOCUMENT,   /**< the operator's document; with a revision: wait
                               for a change after it */
  FX_PLATFORM_UPSTREAMS,  /**< the list of upstreams; likewise */
  FX_PLATFORM_RETIREMENT, /**< whether VM name is to be emptied: OK, or
                               NOT_FOUND */
  FX_PLATFORM_RETIRED,    /**< it is empty */
} fx_platform_op_t;

/** A call to the platform. */
typedef struct
{
  uint64_t call;
  fx_platform_op_t op;
  const char *name; /**< of the object, or a prefix */
  uint64_t if_version;
  uint64_t revision; /**< WATCH, DOCUMENT, UPSTREAMS; 0: do not wait */
  const char *after; /**< lists: names behind this one; NULL: all */
  bool allow_stale;  /**< a read that may be seconds old will do */
  buf_t value;       /**< PUT */
  clk_ms_t timeout_ms;
} fx_platform_t;

/** A message to, or a link with, a peer. */
typedef struct
{
  const char *vm;
  const char *address; /**< FX_PEER_LINK: "IP:PORT" */
  msg_t msg;           /**< FX_PEER_SEND */
} fx_peer_t;

/** An effect. */
typedef struct
{
  fx_kind_t kind;
  union
  {
    clk_ms_t timer;           /**< FX_TIMER */
    fx_reply_t reply;         /**< FX_REPLY_* but RESULTS */
    fx_job_results_t results; /**< FX_REPLY_JOB_RESULTS */
    fx_upstream_t upstream;   /**< FX_UPSTREAM_* */
    fx_platform_t platform;   /**< FX_PLATFORM */
    fx_peer_t peer;           /**< FX_PEER_* */
    buf_t document;           /**< FX_DOCUMENT_DECODE: as ev_document_t.raw */
  };
} fx_t;

/** Effects in the order they are to be carried out. */
typedef struct
{
  fx_t *v;
  size_t count;
  size_t capacity;
  void *pool; /**< owns what the effects point to */
} fx_list_t;

/** New empty list owned by CTX. */
fx_list_t *fx_setup (void *ctx);

/** Free the list. */
void fx_shutdown (fx_list_t *fx);

/** Append a deep copy of F. */
void fx_push (fx_list_t *fx, const fx_t *f);

/** Forget all effects. */
void fx_clear (fx_list_t *fx);

/** Append a message of KIND with BODY to peer VM. */
void fx_peer_send (fx_list_t *fx, const char *vm, uint16_t kind, buf_t body);

#endif

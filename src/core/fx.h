/** @file
 * Effects (prefix fx_): every output of a node (docs/SEAM.md).
 *
 *   fx_list_t *fx = fx_setup (ctx);
 *   fx_push (fx, &(fx_t){ .kind = FX_REPLY_END, .reply = { .caller = 3 } });
 *   for (size_t i = 0; i < fx->count; i++)
 *     act (&fx->v[i]);
 *   fx_clear (fx);
 *
 * Modules append effects while they handle an event; the driver carries them
 * out in order after node_step.  fx_push copies everything that an effect
 * points to; the list owns the copies until fx_clear.  Fields that end in _ms
 * hold milliseconds.  Nothing here fails.
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
  FX_TIMER,       /**< send EV_TIMER at this time; replaces the last one */
  FX_REPLY_HEAD,  /**< start the response to a caller */
  FX_REPLY_DATA,  /**< bytes of the response's body */
  FX_REPLY_END,   /**< the response is complete */
  FX_REPLY_ABORT, /**< close so that the caller sees a truncated response */
  FX_REPLY_JOB_RESULTS, /**< a complete response: results of a batch job */
  FX_DOCUMENT_DECODE,   /**< decode a configuration document from a peer */
  FX_UPSTREAM_CALL,     /**< send a request to an upstream */
  FX_UPSTREAM_CANCEL,   /**< cancel a call; no event for it follows */
  FX_PLATFORM,          /**< call the platform */
  FX_PEER_SEND,         /**< send a message; dropped if no link is open */
  FX_PEER_LINK,         /**< open a link to this peer and keep it open */
  FX_PEER_UNLINK,       /**< close the link to this peer */
  FX_EXIT,              /**< shutdown is complete */
  FX_NUM
} fx_kind_t;

/** A part of a response. */
typedef struct
{
  uint64_t caller;
  int status; /**< FX_REPLY_HEAD */
  http_headers_t headers;
  clk_ms_t retry_after_ms; /**< FX_REPLY_HEAD; 0: no Retry-After header */
  bool close_delimited;    /**< FX_REPLY_HEAD: send the body with neither a
                                length nor chunks, as nothing proves its end */
  buf_t data;              /**< FX_REPLY_DATA */
} fx_reply_t;

/** One result of a batch job. */
typedef struct
{
  const char *id; /**< item id */
  bool completed; /**< false: the item failed for good */
  buf_t text;     /**< data of the item's events, separated by line feeds */
} fx_job_result_t;

/** Results of a batch job from a position on. */
typedef struct
{
  uint64_t caller;
  uint64_t total; /**< number of items in the job */
  uint64_t next;  /**< position after the last result */
  const fx_job_result_t *v;
  size_t count;
} fx_job_results_t;

/** How a call is to reach its upstream. */
typedef enum
{
  FX_WAY_ANY,    /**< as pth.h says */
  FX_WAY_DIRECT, /**< directly */
  FX_WAY_TUNNEL, /**< through another VM, if one helps */
} fx_way_t;

/** A call to an upstream. */
typedef struct
{
  uint64_t call;
  const char *address; /**< "IP:PORT" */
  const char *method;
  const char *path; /**< path and query */
  http_headers_t headers;
  buf_t body;
  uint64_t caller;     /**< caller of the response: slow reading by this caller
                          pauses the upstream; 0: none */
  clk_ms_t connect_ms; /**< time limit for a new connection; 0: the driver's
                            limit.  A call that ends so was not sent */
  clk_ms_t first_byte_ms; /**< time limit for the response's head */
  clk_ms_t stall_ms;      /**< longest gap within the body; 0: no limit */
  clk_ms_t total_ms; /**< time limit for the complete response; 0: no limit */
  bool fresh_connection; /**< open a new connection */
  bool proves_origin;    /**< the upstream repeats the request's id in every
                              response and signs every success; a response
                              that lacks one of them is not its response to
                              this request */
  bool load_report;      /**< load query; the driver sets the path */
  const char *upstream;  /**< upstream expected at the address; NULL: any */
  fx_way_t way;          /**< for upc_call */
  const char *tunnel; /**< "IP:PORT" of the VM through which the connection is
                           made (pth.h); NULL: directly; set by upc_call */
  const char *host;   /**< Host that the caller requested; NULL: the address */
  const char *customer;     /**< NULL: none */
  const char *resume_after; /**< last event received; NULL: none */
  clk_ms_t deadline_ms; /**< time after which the upstream may stop, counted
                             from the call; 0: not sent */
} fx_upstream_t;

/** Operations of the platform's object API. */
typedef enum
{
  FX_PLATFORM_GET,    /**< one object */
  FX_PLATFORM_PUT,    /**< if the version is still if_version; 0: absent */
  FX_PLATFORM_DELETE, /**< if the version is still if_version */
  FX_PLATFORM_LIST,   /**< all objects whose names start with name */
  FX_PLATFORM_WATCH,  /**< wait for changes under prefix name after revision */
  FX_PLATFORM_VMS,    /**< the VM list */
  FX_PLATFORM_DOCUMENT,    /**< the operator's document; with a revision: wait
                                for a change after this revision */
  FX_PLATFORM_UPSTREAMS,   /**< the list of upstreams; revision as above */
  FX_PLATFORM_EVACUATIONS, /**< the list of evacuated data centres, as
                                objects; revision as above */
  FX_PLATFORM_RETIREMENT,  /**< whether VM name is to be drained: OK or
                                NOT_FOUND */
  FX_PLATFORM_RETIRED,     /**< report that VM name is drained */
} fx_platform_op_t;

/** A call to the platform. */
typedef struct
{
  uint64_t call;
  fx_platform_op_t op;
  const char *name; /**< name of an object or VM, or a prefix */
  uint64_t if_version;
  uint64_t revision; /**< WATCH, DOCUMENT and the lists of UPSTREAMS and
                          EVACUATIONS; 0: do not wait */
  const char *after; /**< lists: only names after this one; NULL: all */
  bool allow_stale;  /**< the result may be seconds out of date */
  buf_t value;       /**< PUT */
  clk_ms_t timeout_ms;
} fx_platform_t;

/** A link to a peer, or a message to a peer. */
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
    fx_reply_t reply;         /**< FX_REPLY_*, except as below */
    fx_job_results_t results; /**< FX_REPLY_JOB_RESULTS */
    fx_upstream_t upstream;   /**< FX_UPSTREAM_* */
    fx_platform_t platform;   /**< FX_PLATFORM */
    fx_peer_t peer;           /**< FX_PEER_* */
    buf_t document;           /**< FX_DOCUMENT_DECODE: see ev_document_t.raw */
  };
} fx_t;

/** Effects in the order in which the driver carries them out. */
typedef struct
{
  fx_t *v;
  size_t count;
  size_t capacity;
  void *pool; /**< owns the data that the effects point to */
} fx_list_t;

/** New empty list owned by CTX. */
fx_list_t *fx_setup (void *ctx);

/** Free the list. */
void fx_shutdown (fx_list_t *fx);

/** Append a deep copy of F. */
void fx_push (fx_list_t *fx, const fx_t *f);

/** Remove all effects and free their data. */
void fx_clear (fx_list_t *fx);

/** Append a message of KIND with BODY to peer VM. */
void fx_peer_send (fx_list_t *fx, const char *vm, uint16_t kind, buf_t body);

#endif

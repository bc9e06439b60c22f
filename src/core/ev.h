/** @file
 * Events (prefix ev_): every input of a node (docs/SEAM.md).
 *
 * The driver passes one event to each call of node_step; a module never
 * creates events for another module.  Fields that end in _ms hold
 * milliseconds.  The driver owns everything that an event points to and keeps
 * it valid until node_step returns; a module copies what it needs later.
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
  EV_START,         /**< the first event of a node */
  EV_TIMER,         /**< the time of the last FX_TIMER is reached */
  EV_REQUEST,       /**< a complete request of a caller or operator */
  EV_CALLER_GONE,   /**< the caller closed before the response ended */
  EV_UPSTREAM_HEAD, /**< status and headers of an upstream's response */
  EV_UPSTREAM_DATA, /**< bytes of the response's body */
  EV_UPSTREAM_END,  /**< the response is complete */
  EV_UPSTREAM_FAIL, /**< the call ended before a complete response */
  EV_PLATFORM,      /**< outcome of a platform call */
  EV_PEER_UP,       /**< a link to a peer is open and authenticated */
  EV_PEER_DOWN,     /**< a link to a peer is closed */
  EV_PEER_MSG,      /**< a message from a peer has arrived */
  EV_DOCUMENT,      /**< the result of FX_DOCUMENT_DECODE */
  EV_LEAVE,         /**< graceful shutdown is requested */
  EV_NUM
} ev_kind_t;

/** How far a failed upstream call got. */
typedef enum
{
  EV_FAIL_NOT_SENT,   /**< no byte of the request left this VM */
  EV_FAIL_UNKNOWN,    /**< the request may have run, in full or in part */
  EV_FAIL_TIMEOUT,    /**< a time limit passed; the request may have run */
  EV_FAIL_UNSENDABLE, /**< nothing was sent, as a part of the request may not
                           stand in a head (hck.h); no fault of the upstream */
} ev_fail_t;

/** Whether FAIL says that no byte of the request left this VM. */
static inline bool
ev_fail_is_unsent (ev_fail_t fail)
{
  return fail == EV_FAIL_NOT_SENT || fail == EV_FAIL_UNSENDABLE;
}

/** Metadata of a request that the caller's protocol carries outside the body.
 * Zero and NULL mean that the caller did not give the value. */
typedef struct
{
  const char *host; /**< requested host, without the port */
  const char *id;   /**< request id, unique to the request */
  clk_ms_t wait_ms; /**< longest time that the caller waits for the response */
  clk_ms_t long_poll_ms; /**< longest time that a read may wait for a change */
  const char *resume_after; /**< id of the last event received */
  const char *resumes;   /**< id of the request that brought the first event of
                              the stream that this one takes up */
  uint64_t prefix;       /**< hash of the prompt prefix that requests share */
  const uint64_t *parts; /**< hashes of the parts of the prompt that requests
                              share, each once, in their order; none is 0 */
  size_t part_count;
  uint32_t tokens_in;  /**< number of prompt tokens */
  uint32_t tokens_out; /**< maximum number of generated tokens */
} ev_request_meta_t;

/** Operation of a request about a batch job. */
typedef enum
{
  EV_JOB_NONE, /**< the request is not about a job */
  EV_JOB_SUBMIT,
  EV_JOB_READ, /**< read results from a position on */
  EV_JOB_BODY, /**< read the body of one item */
  EV_JOB_CANCEL,
} ev_job_op_t;

/** One item of a job. */
typedef struct
{
  const char *id;
  const char *target; /**< path and query */
  http_headers_t headers;
  buf_t body;
  uint64_t tokens; /**< prompt tokens plus maximum generated tokens */
} ev_job_item_t;

/** The part of a request that is about a batch job. */
typedef struct
{
  ev_job_op_t op;
  const char *id;   /**< job id */
  uint64_t after;   /**< READ: position of the first result to read */
  const char *item; /**< BODY: item id */
  const ev_job_item_t *items; /**< SUBMIT; NULL: the body is malformed */
  size_t item_count;
  const char *fault; /**< SUBMIT, without items: what is malformed, printable;
                          NULL: the body as a whole */
} ev_job_t;

/** A caller's request. */
typedef struct
{
  uint64_t caller;    /**< the driver's id of this request; the driver
                           never reuses one for the same node */
  const char *method; /**< upper case */
  const char *path;   /**< without the query */
  const char *query;  /**< without '?'; "" when there is none */
  const char *target; /**< path and query as the caller wrote them; NULL: use
                           path and query */
  http_headers_t headers;
  buf_t body;
  ev_request_meta_t meta;
  ev_job_t job;
} ev_request_t;

/** What the head of a response says about a limit of its upstream. */
typedef enum
{
  EV_LIMIT_UNKNOWN,   /**< nothing: the interface has no limits, or another
                           upstream has answered */
  EV_LIMIT_ABSENT,    /**< the upstream has no limit now */
  EV_LIMIT_NAMED,     /**< ev_limit_t.per_s is the limit */
  EV_LIMIT_MALFORMED, /**< it names a limit that has no meaning */
} ev_limit_kind_t;

/** How many requests an upstream takes from all VMs together. */
typedef struct
{
  ev_limit_kind_t kind;
  double per_s;     /**< EV_LIMIT_NAMED: requests a second; finite, >= 0 */
  const char *text; /**< EV_LIMIT_MALFORMED: the value, for logs */
} ev_limit_t;

/** What the head of a response says about the time for which its upstream is
 * cold. */
typedef enum
{
  EV_COLD_UNKNOWN,   /**< nothing, or another upstream has answered */
  EV_COLD_STATED,    /**< ev_cold_t.ms is the remaining time */
  EV_COLD_MALFORMED, /**< it gives a time that has no meaning */
} ev_cold_kind_t;

/** For how much longer an upstream is cold. */
typedef struct
{
  ev_cold_kind_t kind;
  clk_ms_t ms;      /**< EV_COLD_STATED: from 0 to EV_COLD_MS_MAX */
  const char *text; /**< EV_COLD_MALFORMED: the value, for logs */
} ev_cold_t;

/** Longest cold time that an upstream may state; a longer one is an error of
 * the upstream. */
#define EV_COLD_MS_MAX CLK_HOUR

/** What the head of a response says about the load of its upstream. */
typedef enum
{
  EV_LOAD_UNKNOWN,   /**< nothing, or another upstream has answered */
  EV_LOAD_STATED,    /**< the numbers of ev_load_t are stated */
  EV_LOAD_MALFORMED, /**< a load is stated that has no meaning */
} ev_load_kind_t;

/** The load of an upstream when it sent the head of a response. */
typedef struct
{
  ev_load_kind_t kind;
  uint32_t running;
  uint32_t waiting;
  uint32_t slots;
  uint32_t pace;    /**< how long work takes there now, in percent of what is
                         usual; 0: not stated */
  const char *text; /**< EV_LOAD_MALFORMED: the value, for logs */
} ev_load_t;

/** Why no connection was made through another VM. */
typedef enum
{
  EV_TUNNEL_NONE,      /**< none was asked for */
  EV_TUNNEL_UNREACHED, /**< the VM does not answer, or not in time */
  EV_TUNNEL_REFUSED,   /**< it does not help now */
  EV_TUNNEL_UNKNOWN,   /**< by its list the upstream gets no new calls */
  EV_TUNNEL_DEAD,      /**< it does not reach the upstream either */
} ev_tunnel_t;

/** Progress of an upstream call. */
typedef struct
{
  uint64_t call;   /**< the call's id in FX_UPSTREAM_CALL */
  uint64_t length; /**< with has_length: of the body, in bytes */
  int status;      /**< EV_UPSTREAM_HEAD: HTTP status */
  http_headers_t headers;
  bool not_run;         /**< EV_UPSTREAM_HEAD: the upstream guarantees that it
                             has not run the request and never will */
  bool is_signed;       /**< EV_UPSTREAM_HEAD: the response has the upstream's
                             signature */
  bool leaving;         /**< EV_UPSTREAM_HEAD: the upstream says in it that it
                             is leaving */
  ev_limit_t limit;     /**< EV_UPSTREAM_HEAD */
  ev_cold_t cold;       /**< EV_UPSTREAM_HEAD */
  ev_load_t load;       /**< EV_UPSTREAM_HEAD */
  bool close_delimited; /**< EV_UPSTREAM_HEAD: the body has neither a length
                             nor chunks and ends with its connection, so that
                             a body cut short may look complete */
  bool has_length;      /**< EV_UPSTREAM_HEAD: the body has a length */
  uint16_t local_port;  /**< EV_UPSTREAM_HEAD: of the connection that the
                             response came on; 0: unknown */
  buf_t data;           /**< EV_UPSTREAM_DATA */
  ev_fail_t fail;       /**< EV_UPSTREAM_FAIL */
  bool connected;       /**< EV_UPSTREAM_HEAD: the connection was made for this
                             call */
  ev_tunnel_t tunnel;   /**< EV_UPSTREAM_FAIL, EV_FAIL_NOT_SENT */
  const char *via;  /**< EV_UPSTREAM_FAIL: VM through which the call went, set
                         by upc; NULL: none */
  bool path_failed; /**< EV_UPSTREAM_FAIL, EV_FAIL_NOT_SENT: this VM's path
                         to the upstream failed, which says nothing of the
                         upstream; set by upc */
  bool refused;     /**< EV_FAIL_NOT_SENT: nothing listens at the address */
  bool closed;      /**< EV_UPSTREAM_FAIL: the upstream closed or reset the
                         connection before the response was complete */
  bool malformed;   /**< EV_UPSTREAM_FAIL: bytes have come that are no
                         response; nothing of what they say is used */
  const char *text; /**< EV_UPSTREAM_FAIL: description for logs */
} ev_upstream_t;

/** One object of the platform. */
typedef struct
{
  const char *name;
  uint64_t version; /**< version of this object; 0: absent */
  buf_t value;
  bool deleted; /**< WATCH: the object was deleted at this version */
} ev_object_t;

/** One VM of the platform's list, which may be seconds out of date. */
typedef struct
{
  const char *vm;
  const char *data_centre;
  const char *address; /**< peer address, "IP:PORT" */
  bool leaving;
  bool worker; /**< runs batch items, serves no callers */
} ev_vm_t;

/** One entry of the platform's list of upstreams. */
typedef struct
{
  const char *name;
  const char *deployment;
  const char *data_centre;
  const char *address; /**< "IP:PORT" */
  bool leaving;        /**< gets no new requests */
  bool deleted;        /**< WATCH: the entry was deleted */
  bool unusable;       /**< the entry stands in the list and describes no
                            upstream */
  clk_ms_t cold_ms;    /**< for how much longer it is cold, up to
                            EV_COLD_MS_MAX; negative: a number without a
                            meaning */
  uint64_t born;       /**< Unix time in ms of the upstream's start; 0: not
                            known */
  const char *version; /**< of the upstream's software; NULL: not known */
} ev_upstream_entry_t;

/** The operator's complete configuration document. */
typedef struct
{
  uint64_t version;       /**< increases with each newer document */
  const cfg_doc_t *parts; /**< input of cfg_doc_assemble, without upstreams */
  buf_t raw; /**< encoded document from the platform, to send to peers */
} ev_document_t;

/** Outcome of a platform call. */
typedef struct
{
  uint64_t call;  /**< the call's id in FX_PLATFORM */
  st_code_t code; /**< OK, NOT_FOUND, CONFLICT (with the current object if the
                       platform returns it), STALE (WATCH: the platform no
                       longer has the history after the revision), UNAVAILABLE
                       (the call had no effect) or UNKNOWN (the call may have
                       had its effect) */
  bool malformed; /**< bytes have come that are no response; nothing of what
                       they say is used */
  const ev_object_t *objects; /**< GET, PUT: one; LIST, WATCH, EVACUATIONS:
                                  any number */
  size_t object_count;
  uint64_t revision;          /**< LIST, WATCH: where the next WATCH starts */
  const char *continue_after; /**< lists: name after which the next page
                                 starts; NULL: last page */
  const ev_document_t *document;      /**< DOCUMENT: NULL: no document */
  const ev_upstream_entry_t *entries; /**< UPSTREAMS */
  size_t entry_count;
  const ev_vm_t *vms; /**< VMS */
  size_t vm_count;
} ev_platform_t;

/** A peer link, or a message on a peer link. */
typedef struct
{
  const char *vm;
  msg_t msg; /**< EV_PEER_MSG */
} ev_peer_t;

/** An event. */
typedef struct
{
  ev_kind_t kind;
  bool behind; /**< further events came before now, while the driver stood
                    still: timers that are due wait for them */
  union
  {
    ev_request_t request;          /**< EV_REQUEST */
    uint64_t caller;               /**< EV_CALLER_GONE */
    ev_upstream_t upstream;        /**< EV_UPSTREAM_* */
    ev_platform_t platform;        /**< EV_PLATFORM */
    ev_peer_t peer;                /**< EV_PEER_* */
    const ev_document_t *document; /**< EV_DOCUMENT; NULL: malformed */
  };
} ev_t;

#endif

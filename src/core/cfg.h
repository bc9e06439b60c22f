/** @file
 * Configuration document (prefix cfg_): data centres, customers, keys,
 * deployments, upstreams and routes, as operators write them.
 *
 *   cfg_doc_t *doc = NULL;
 *   st_t st = { 0 };
 *   if (cfg_doc_parse (ctx, text, &doc, &st) != ST_OK)
 *     ... st.message names section, key, expected value and unit
 *   const cfg_customer_t *c = cfg_customer_find (doc, "kvist-roster");
 *
 * Use this module to parse, validate and search a document; cfs.h stores the
 * document in force and distributes it.  A document is accepted or refused as
 * a whole, with a list of all faults.  It contains hashes of keys, never the
 * keys themselves.  Rates are requests a second, durations milliseconds.  A
 * document owns its strings and is read-only.
 */
#ifndef RTS_CFG_H
#define RTS_CFG_H

#include "core/buf.h"
#include "core/clk.h"
#include "core/st.h"

#include <stdint.h>

/** [data-centre NAME] */
typedef struct
{
  const char *name;
  const char *owner; /**< team */
} cfg_data_centre_t;

/** Largest figure of a customer's limit; a larger rate or burst counts as
 * this.
 */
#define CFG_LIMIT_FIGURE_MAX 1e9
/** A rate, in requests a second, that no fleet reaches: the users' platform
 * means by it that there is no limit. */
#define CFG_RATE_UNLIMITED 1e7

/** [customer NAME] */
typedef struct
{
  const char *name;
  const char *owner;
  double rate;    /**< requests a second, over all VMs together */
  double burst;   /**< requests */
  double weight;  /**< relative share under overload; default 1 */
  bool unlimited; /**< rate and burst do not apply; has no key in the
                     text, see cfg_doc_assemble */
} cfg_customer_t;

/** [key NAME] */
typedef struct
{
  const char *name;
  const char *owner;
  const char *customer;
  const char *sha256; /**< lower-case hex of the key's hash */
} cfg_key_t;

/** Kinds of upstream in a deployment. */
typedef enum
{
  CFG_ENGINE, /**< model engine with streams, batch, prefix cache */
  CFG_PLAIN,  /**< plain service */
} cfg_deployment_kind_t;

/** How an engine's event stream shows that it is complete. */
typedef enum
{
  CFG_STREAM_MARKED, /**< the last event is an end mark */
  CFG_STREAM_FRAMED, /**< no end mark; the response's framing ends it */
} cfg_stream_t;

/** [deployment NAME] */
typedef struct
{
  const char *name;
  const char *owner;
  cfg_deployment_kind_t kind;
  bool checks_fencing;    /**< engines refuse outdated fencing numbers */
  const char *model;      /**< model that engines load by order; "": fixed */
  uint32_t slots;         /**< requests that one upstream runs at a time */
  cfg_stream_t stream;    /**< has no key in the text, see cfg_doc_assemble */
  clk_ms_t cold_start_ms; /**< an upstream is cold for so long after it starts;
                               0: not given; negative: no meaning.  Has no key
                               in the text, like the next field */
  double cold_per_s; /**< requests a second that a cold upstream takes; 0: not
                          given; negative: no meaning */
} cfg_deployment_t;

/** [upstream NAME] */
typedef struct
{
  const char *name;
  const char *owner;
  const char *deployment;
  const char *data_centre;
  const char *address; /**< "IP:PORT" */
  bool leaving;        /**< gets no new requests */
  bool fixed_identity; /**< the name identifies the upstream: another upstream
                            at this address refuses its requests */
  uint64_t born;       /**< Unix time in ms of the upstream's start: tells the
                            upstreams apart that had this name one after the
                            other; 0: not known */
  const char *version; /**< of its software; NULL: not known */
} cfg_upstream_t;

/** Share of a route's requests that a deployment gets. */
typedef struct
{
  const char *deployment;
  double weight; /**< 0 or more, relative to the other shares */
} cfg_share_t;

/** Kinds of request of a route. */
typedef enum
{
  CFG_ROUTE_REQUEST, /**< online requests */
  CFG_ROUTE_JOBS,    /**< each request submits a batch job */
} cfg_route_kind_t;

/** [route METHOD PATH].  The fields after deadline_ms have no keys in the
 * text; cfg_doc_assemble sets them, and zero stands for the default. */
typedef struct
{
  const char *method; /**< or the host, for routes that are found by host */
  const char *path;   /**< complete path; a slash and star at the end match all
                         paths below */
  const char *owner;
  const char *deployment;
  bool open;       /**< callers need no key */
  bool idempotent; /**< a request may run more than once */
  clk_ms_t deadline_ms;

  cfg_route_kind_t kind;
  bool unrecorded;     /**< each request has a unique id and arrives once, so
                            that at-most-once execution needs no record */
  bool strict_time;    /**< the deadline ends a stream that still flows */
  bool resumable;      /**< a broken stream may continue at another upstream */
  uint32_t attempts;   /**< most upstreams that may run one request or item */
  clk_ms_t target_ms;  /**< target time to the first event or, for JOBS, to the
                          response */
  clk_ms_t pause_ms;   /**< target for the longest pause between events */
  uint32_t priority;   /**< 0 is the highest */
  clk_ms_t job_due_ms; /**< JOBS: target time from arrival to all results */
  clk_ms_t job_keep_ms; /**< JOBS: time from arrival after which items may be
                             given up */
  uint64_t waiting_tokens; /**< JOBS: most tokens of one customer's unfinished
                                items; 0: no bound */
  const cfg_share_t *shares; /**< NULL: all requests go to `deployment` */
  size_t share_count;
} cfg_route_t;

/** Lookup tables of a document; private to cfg. */
typedef struct cfg_index cfg_index_t;

/** A document; read-only after parsing. */
typedef struct
{
  cfg_data_centre_t *data_centres;
  size_t data_centre_count;
  cfg_customer_t *customers;
  size_t customer_count;
  cfg_key_t *keys;
  size_t key_count;
  cfg_deployment_t *deployments;
  size_t deployment_count;
  cfg_upstream_t *upstreams;
  size_t upstream_count;
  cfg_route_t *routes;
  size_t route_count;
  cfg_index_t *index;
  struct cfg_piece **pieces; /**< private: sections sorted by name */
  size_t piece_count;
} cfg_doc_t;

/** Largest document, in bytes. */
#define CFG_TEXT_MAX ((size_t)8 << 20)

/** Most sections of a document. */
#define CFG_SECTIONS_MAX 65536

/** Largest section, in bytes. */
#define CFG_SECTION_MAX 4096

/** Most faults that are reported for one document. */
#define CFG_FAULTS_MAX 100

/** One fault of a document. */
typedef struct
{
  unsigned line;        /**< number of the faulty line, or of the section's
                             header; 0: none */
  const char *section;  /**< name without brackets; "": the whole document */
  const char *key;      /**< "": the section itself */
  const char *found;    /**< faulty value; "": missing */
  const char *expected; /**< expected value and unit */
} cfg_fault_t;

/** The faults of a document, at most CFG_FAULTS_MAX. */
typedef struct
{
  cfg_fault_t *v;
  size_t count;
  size_t more; /**< further faults, counted but not stored */
} cfg_faults_t;

/** One section as text, without comments. */
typedef struct
{
  const char *name; /**< "customer kvist-roster" */
  const char *text; /**< header and "key = value" lines; "": removed */
  unsigned line;    /**< line of the header */
  bool empty;       /**< the section has a header and no keys */
} cfg_section_t;

/** The sections of a text, in the order of the text. */
typedef struct
{
  cfg_section_t *v;
  size_t count;
} cfg_sections_t;

/** Split TEXT into sections owned by CTX.  Finds malformed lines, duplicate
 * sections and duplicate keys; does not check values.  The caller zeroes
 * FAULTS. */
st_code_t cfg_sections_split (void *ctx, buf_t text, cfg_sections_t *sections,
                              cfg_faults_t *faults);

/** Parse and validate TEXT as cfg_doc_parse does, but return all faults in
 * FAULTS, which the caller zeroes and CTX owns.  If there are faults, CTX also
 * keeps the working memory. */
st_code_t cfg_doc_check (void *ctx, buf_t text, cfg_doc_t **doc,
                         cfg_faults_t *faults);

/** Make a new document from OLD (NULL: an empty document) in which CHANGES
 * replace the sections of the same names.  The texts of CHANGES are as
 * cfg_sections_split makes them.  Only CHANGES are parsed; all references are
 * checked.  OLD and the new document may be freed in any order.  Faults and
 * memory are as with cfg_doc_check. */
st_code_t cfg_doc_patch (void *ctx, const cfg_doc_t *old,
                         const cfg_sections_t *changes, cfg_doc_t **doc,
                         cfg_faults_t *faults);

/** Format FAULT as a line without a newline, owned by CTX:
 * "FILE:LINE: [section] key: found X, expected Y". */
char *cfg_fault_format (void *ctx, const cfg_fault_t *fault, const char *file);

/** Append a copy of FAULT, owned by CTX, to FAULTS. */
void cfg_fault_add (void *ctx, cfg_faults_t *faults, const cfg_fault_t *fault);

/** Parse and validate TEXT.  On ST_OK CTX owns *DOC; otherwise *DOC is
 * unchanged and ST contains the first fault and the number of the others. */
st_code_t cfg_doc_parse (void *ctx, buf_t text, cfg_doc_t **doc, st_t *st);

/** Make a document from copies of the arrays of PARTS, whose index and pieces
 * are ignored.  Use this for documents of the platform, which are not in this
 * text format.  Such a document cannot be patched.  Returns ST_INVALID, with
 * FAULTS (zeroed by the caller, owned by CTX), for duplicate names and for
 * references of keys and routes to missing sections.  References of upstreams
 * are not checked. */
st_code_t cfg_doc_assemble (void *ctx, const cfg_doc_t *parts, cfg_doc_t **doc,
                            cfg_faults_t *faults);

/** Find a section by name; NULL: none. */
const cfg_customer_t *cfg_customer_find (const cfg_doc_t *doc,
                                         const char *name);
const cfg_deployment_t *cfg_deployment_find (const cfg_doc_t *doc,
                                             const char *name);
const cfg_data_centre_t *cfg_data_centre_find (const cfg_doc_t *doc,
                                               const char *name);
const cfg_upstream_t *cfg_upstream_find (const cfg_doc_t *doc,
                                         const char *name);
const cfg_key_t *cfg_key_find_name (const cfg_doc_t *doc, const char *name);

/** The key whose hash is SHA256 (lower-case hex); NULL: none. */
const cfg_key_t *cfg_key_find (const cfg_doc_t *doc, const char *sha256);

/** The route for METHOD and PATH: an exact path first, then the longest path
 * that ends in a slash and star; NULL: none. */
const cfg_route_t *cfg_route_find (const cfg_doc_t *doc, const char *method,
                                   const char *path);

/** Pick a deployment of ROUTE by its shares.  AT, from 0 to below 1, is the
 * position in the sum of the shares; pass a random number. */
const char *cfg_route_deployment_pick (const cfg_route_t *route, double at);

/** Find a route as cfg_route_find does, first among the routes of HOST (NULL:
 * skip them), then among those of METHOD. */
const cfg_route_t *cfg_route_find_by_host (const cfg_doc_t *doc,
                                           const char *host,
                                           const char *method,
                                           const char *path);

#endif

/** @file
 * The operators' document: customers, keys, deployments, upstreams, routes.
 *
 *   cfg_doc_t *doc = NULL;
 *   st_t st = { 0 };
 *   if (cfg_doc_parse (ctx, text, &doc, &st) != ST_OK)
 *     ... st.message names section, key, expected value and unit
 *   const cfg_customer_t *c = cfg_customer_find (doc, "kvist-roster");
 *
 * A document is accepted whole or refused whole.  It holds no key in clear.
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

/** [customer NAME] */
typedef struct
{
  const char *name;
  const char *owner;
  double rate;    /**< requests a second, over all VMs together */
  double burst;   /**< requests */
  double weight;  /**< share under overload; default 1 */
  bool unlimited; /**< no key: rate and burst are no bounds */
} cfg_customer_t;

/** [key NAME] */
typedef struct
{
  const char *name;
  const char *owner;
  const char *customer;
  const char *sha256; /**< lower-case hex of the key's hash */
} cfg_key_t;

/** What stands behind a deployment. */
typedef enum
{
  CFG_ENGINE, /**< model engine: streams, batch, prefix cache */
  CFG_PLAIN,  /**< plain service */
} cfg_deployment_kind_t;

/** How an engine's event stream shows that it is whole. */
typedef enum
{
  CFG_STREAM_MARKED, /**< its last event is the end mark */
  CFG_STREAM_FRAMED, /**< by the end of the answer's framing alone */
} cfg_stream_t;

/** [deployment NAME] */
typedef struct
{
  const char *name;
  const char *owner;
  cfg_deployment_kind_t kind;
  bool checks_fencing; /**< engines refuse an old fencing number */
  const char *model;   /**< to be loaded by orders; "" when fixed */
  uint32_t slots;      /**< requests that run at a time in one upstream */
  cfg_stream_t stream; /**< no key: set for documents of the platform */
} cfg_deployment_t;

/** [upstream NAME] */
typedef struct
{
  const char *name;
  const char *owner;
  const char *deployment;
  const char *data_centre;
  const char *address; /**< "IP:PORT" */
  bool leaving;        /**< gets nothing new */
  bool fixed_identity; /**< another upstream at this address refuses what is
                            sent for this one; names are identities then */
} cfg_upstream_t;

/** Part of a route's requests that goes to a deployment. */
typedef struct
{
  const char *deployment;
  double weight; /**< 0 or more; shares are in proportion */
} cfg_share_t;

/** What a route's requests are. */
typedef enum
{
  CFG_ROUTE_REQUEST, /**< online requests */
  CFG_ROUTE_JOBS,    /**< each request brings a batch job */
} cfg_route_kind_t;

/** [route METHOD PATH]; the fields below deadline_ms have no keys: they are
 * set for documents of the platform, and zero means the default. */
typedef struct
{
  const char *method; /**< or the host, where routes are chosen by host */
  const char *path; /**< whole path; a trailing slash-star matches below it */
  const char *owner;
  const char *deployment;
  bool open;       /**< no key needed */
  bool idempotent; /**< may be sent again */
  clk_ms_t deadline_ms;

  cfg_route_kind_t kind;
  bool unrecorded;      /**< each request has an id of its own and comes once,
                             so that at most once needs no record */
  bool strict_time;     /**< a stream that flows ends at the deadline too */
  bool resumable;       /**< a stream may go on at another upstream */
  uint32_t attempts;    /**< most upstreams that one request may run on */
  clk_ms_t target_ms;   /**< objective: the first event, or a job's answer */
  clk_ms_t pause_ms;    /**< longest pause between events that is on time */
  uint32_t priority;    /**< 0 is the highest */
  clk_ms_t job_due_ms;  /**< JOBS: results are due, from the job's arrival */
  clk_ms_t job_keep_ms; /**< JOBS: from then on items may be given up */
  uint64_t waiting_tokens;   /**< JOBS: most of a customer's; 0: no bound */
  const cfg_share_t *shares; /**< NULL: all goes to the deployment above */
  size_t share_count;
} cfg_route_t;

/** Look-up tables of a document; private to cfg. */
typedef struct cfg_index cfg_index_t;

/** A whole document; read-only once parsed. */
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
  struct cfg_piece **pieces; /**< private: sections in the order of names */
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

/** One thing that is wrong with a document. */
typedef struct
{
  unsigned line;        /**< of the section or the line itself; 0: none */
  const char *section;  /**< without brackets; "" for the whole document */
  const char *key;      /**< "" for the section itself */
  const char *found;    /**< what stands there; "" when it is missing */
  const char *expected; /**< value and unit that were expected */
} cfg_fault_t;

/** All that is wrong with a document, up to CFG_FAULTS_MAX. */
typedef struct
{
  cfg_fault_t *v;
  size_t count;
  size_t more; /**< further faults that were only counted */
} cfg_faults_t;

/** One section as text, without comments. */
typedef struct
{
  const char *name; /**< "customer kvist-roster" */
  const char *text; /**< header and "key = value" lines; "": removed */
  unsigned line;    /**< of the header */
  bool empty;       /**< the header alone */
} cfg_section_t;

/** The sections of a text, in its order. */
typedef struct
{
  cfg_section_t *v;
  size_t count;
} cfg_sections_t;

/** Cut TEXT into sections owned by CTX; finds broken lines, doubled sections
 * and doubled keys.  Values are not looked at.  FAULTS must be zeroed. */
st_code_t cfg_sections_split (void *ctx, buf_t text, cfg_sections_t *sections,
                              cfg_faults_t *faults);

/** As cfg_doc_parse, with all faults in FAULTS (zeroed, owned by CTX, which
 * also keeps the working memory when there are any). */
st_code_t cfg_doc_check (void *ctx, buf_t text, cfg_doc_t **doc,
                         cfg_faults_t *faults);

/** The document that OLD (NULL: an empty one) becomes when CHANGES, texts as
 * cfg_sections_split makes them, take the place of the sections of these
 * names.  Only the changes are parsed; all references are checked.  OLD may be
 * freed before or after.  Otherwise as cfg_doc_check. */
st_code_t cfg_doc_patch (void *ctx, const cfg_doc_t *old,
                         const cfg_sections_t *changes, cfg_doc_t **doc,
                         cfg_faults_t *faults);

/** One fault as a line without a newline, owned by CTX:
 * "FILE:LINE: [section] key: found X, expected Y". */
char *cfg_fault_format (void *ctx, const cfg_fault_t *fault, const char *file);

/** Note one more fault, owned by CTX; strings are copied. */
void cfg_fault_add (void *ctx, cfg_faults_t *faults, const cfg_fault_t *fault);

/** Parse and validate TEXT.  On ST_OK *DOC is owned by CTX; otherwise *DOC is
 * untouched and ST says all that is wrong that fits. */
st_code_t cfg_doc_parse (void *ctx, buf_t text, cfg_doc_t **doc, st_t *st);

/** The document that consists of PARTS' arrays (its index and pieces are
 * ignored), which are copied.  For documents that are no text of ours; they
 * cannot be patched.  ST_INVALID with FAULTS (zeroed, owned by CTX) when a
 * name stands twice or leads nowhere. */
st_code_t cfg_doc_assemble (void *ctx, const cfg_doc_t *parts, cfg_doc_t **doc,
                            cfg_faults_t *faults);

/** Find by name; NULL when there is none. */
const cfg_customer_t *cfg_customer_find (const cfg_doc_t *doc,
                                         const char *name);
const cfg_deployment_t *cfg_deployment_find (const cfg_doc_t *doc,
                                             const char *name);
const cfg_data_centre_t *cfg_data_centre_find (const cfg_doc_t *doc,
                                               const char *name);
const cfg_upstream_t *cfg_upstream_find (const cfg_doc_t *doc,
                                         const char *name);
const cfg_key_t *cfg_key_find_name (const cfg_doc_t *doc, const char *name);

/** The key whose hash is SHA256 (hex); NULL when there is none. */
const cfg_key_t *cfg_key_find (const cfg_doc_t *doc, const char *sha256);

/** The route for METHOD and PATH, exact ones first; NULL: none. */
const cfg_route_t *cfg_route_find (const cfg_doc_t *doc, const char *method,
                                   const char *path);

/** The deployment of ROUTE at AT, from 0 up to 1, of its shares. */
const char *cfg_route_deployment_pick (const cfg_route_t *route, double at);

/** As cfg_route_find among the routes of HOST (NULL: none are chosen by
 * host), and then among those of METHOD. */
const cfg_route_t *cfg_route_find_by_host (const cfg_doc_t *doc,
                                           const char *host,
                                           const char *method,
                                           const char *path);

#endif

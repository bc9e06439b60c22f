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
  double rate;   /**< requests a second, over all VMs together */
  double burst;  /**< requests */
  double weight; /**< share under overload; default 1 */
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
} cfg_kind_t;

/** [deployment NAME] */
typedef struct
{
  const char *name;
  const char *owner;
  cfg_kind_t kind;
  bool checks_fencing; /**< engines refuse an old fencing number */
  const char *model;   /**< to be loaded by orders; "" when fixed */
  uint32_t slots;      /**< requests that run at a time in one upstream */
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
} cfg_upstream_t;

/** [route METHOD PATH] */
typedef struct
{
  const char *method;
  const char *path; /**< whole path; a trailing slash-star matches below it */
  const char *owner;
  const char *deployment;
  bool open;       /**< no key needed */
  bool idempotent; /**< may be sent again */
  clk_ms_t deadline_ms;
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

#endif

/** @file
 * Configuration document (prefix cfg_), private: lookup tables from names to
 * positions in the arrays of a document.  Other modules use the find functions
 * of cfg.h.
 *
 *   cfg_index_t *index = cfg_index_setup (doc);
 *   if (!cfg_index_add (index, CFG_INDEX_CUSTOMER, "kvist-roster", 3))
 *     ... the name exists already
 *
 * The tables hold positions and not pointers, so that they stay valid when the
 * arrays of the document move.  The document owns its tables; the tables
 * borrow all names.
 */
#ifndef RTS_CFG_INDEX_H
#define RTS_CFG_INDEX_H

#include "core/cfg.h"

/** Kinds of name. */
typedef enum
{
  CFG_INDEX_DATA_CENTRE,
  CFG_INDEX_CUSTOMER,
  CFG_INDEX_KEY,
  CFG_INDEX_SHA256,
  CFG_INDEX_DEPLOYMENT,
  CFG_INDEX_UPSTREAM,
  CFG_INDEX_ROUTE, /**< "METHOD PATH" */
  CFG_INDEX_NUM
} cfg_index_kind_t;

/** New empty tables owned by DOC. */
cfg_index_t *cfg_index_setup (cfg_doc_t *doc);

/** Add NAME at POSITION; false when NAME exists already.  NAME is borrowed and
 * must live as long as the document. */
bool cfg_index_add (cfg_index_t *index, cfg_index_kind_t kind,
                    const char *name, size_t position);

/** Look up the position of NAME; false: none. */
bool cfg_index_get (const cfg_index_t *index, cfg_index_kind_t kind,
                    const char *name, size_t *position);

#endif

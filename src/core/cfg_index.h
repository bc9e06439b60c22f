/** @file
 * Look-up tables of a document, filled by the parser; private to cfg.
 *
 *   cfg_index_t *index = cfg_index_setup (doc);
 *   if (!cfg_index_add (index, CFG_INDEX_CUSTOMER, "kvist-roster", 3))
 *     ... it is there already
 *
 * Holds positions, not pointers, as the parser's arrays move when they grow.
 */
#ifndef RTS_CFG_INDEX_H
#define RTS_CFG_INDEX_H

#include "core/cfg.h"

/** What can be looked up. */
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

/** Note that NAME stands at POSITION; false when NAME is there already.
 * NAME is borrowed for the life of the document. */
bool cfg_index_add (cfg_index_t *index, cfg_index_kind_t kind,
                    const char *name, size_t position);

/** Position of NAME; false when there is none. */
bool cfg_index_get (const cfg_index_t *index, cfg_index_kind_t kind,
                    const char *name, size_t *position);

#endif

/** @file
 * The configuration in force on a VM: kept in the platform, passed on from
 * VM to VM, changed by operators section by section (docs/CONFIG.md).
 *
 *   cfs_t *c = cfs_setup (ctx, env, &(cfs_desc_t){ 0 });
 *   cfs_start (c, env);
 *   cfs_peers_changed (c, env, vms, vm_count);
 *   ... after each event:
 *   if (cfs_changed (c))
 *     x_config_changed (x, env, cfs_doc (c));          for each module
 *
 *   uint64_t id = cfs_apply (c, env, &(cfs_change_t){ .text = text,
 *                                                    .base = 41,
 *                                                    .token = token });
 *   cfs_result_t result;
 *   while (cfs_result_pop (c, ctx, &result)) ...
 *
 * The version of a VM only goes up.  A document is in force as a whole or
 * not at all.  Does not keep anything on disk.
 */
#ifndef RTS_CFS_H
#define RTS_CFS_H

#include "core/cfg.h"
#include "core/env.h"
#include "core/spr.h"

/** What a change's base version is compared with. */
typedef enum
{
  CFS_CHECK_SECTIONS, /**< the versions of the sections it changes */
  CFS_CHECK_DOCUMENT, /**< the version of the whole document */
} cfs_base_check_t;

/** How to set it up. */
typedef struct
{
  mbr_t *members;            /**< carries messages; NULL: open links only */
  cfs_base_check_t check;    /**< default: sections */
  clk_ms_t tick_ms;          /**< between exchanges of versions; default 1 s */
  clk_ms_t apply_timeout_ms; /**< longest time for a change; default 10 s */
  size_t changes_max;        /**< changes that may wait; default 64 */
} cfs_desc_t;

/** A change asked for by an operator; all is copied. */
typedef struct
{
  buf_t text;        /**< sections; one without keys removes that section */
  bool whole;        /**< sections that are not in text are removed */
  uint64_t base;     /**< version that the operator has read; 0: none */
  const char *token; /**< of the operator's command, the same when resent;
                          at most 64 bytes; NULL: not resent */
  const char *team;  /**< NULL, or only this team's sections may change */
} cfs_change_t;

/** Outcome of a change. */
typedef struct
{
  uint64_t id;
  st_code_t code;   /**< OK; INVALID: text is the faults, a line each;
                         CONFLICT: text is the diff; STALE: base not known;
                         UNAVAILABLE: nothing was changed; UNKNOWN */
  uint64_t version; /**< OK: which has it in force */
  bool unchanged;   /**< OK: it was in force already */
  unsigned retries; /**< conditional updates that another writer won */
  const char *text;
} cfs_result_t;

typedef struct cfs cfs_t;

/** New, with nothing in force, owned by CTX. */
cfs_t *cfs_setup (void *ctx, const env_t *env, const cfs_desc_t *desc);

/** Free it; changes that wait are forgotten. */
void cfs_shutdown (cfs_t *c);

/** Begin to read from the platform and to ask peers. */
void cfs_start (cfs_t *c, env_t *env);

/** Hooks of node.c. */
void cfs_timer_fired (cfs_t *c, env_t *env, uint64_t tag);
void cfs_platform_replied (cfs_t *c, env_t *env, const plt_done_t *done,
                           const ev_platform_t *reply);
void cfs_message_received (cfs_t *c, env_t *env, const char *vm,
                           const msg_t *msg);
void cfs_peer_up (cfs_t *c, env_t *env, const char *vm);
void cfs_peers_changed (cfs_t *c, env_t *env, const ev_vm_t *vms, size_t n);

/** The document in force, valid until cfs_changed is true next; NULL before
 * the first. */
const cfg_doc_t *cfs_doc (const cfs_t *c);

/** Its version; 0 before the first. */
uint64_t cfs_version (const cfs_t *c);

/** Whether the document has changed since the last call. */
bool cfs_changed (cfs_t *c);

/** The document as text, with its version in the first line. */
buf_t cfs_text (void *ctx, const cfs_t *c);

/** What the change would do, as a diff; faults and conflicts as in a result.
 * Nothing is changed. */
cfs_result_t cfs_diff (void *ctx, const cfs_t *c, const cfs_change_t *change);

/** Ask for a change; returns its id, 0 when too many wait. */
uint64_t cfs_apply (cfs_t *c, env_t *env, const cfs_change_t *change);

/** Take one outcome, its text owned by CTX; false when there is none. */
bool cfs_result_pop (cfs_t *c, void *ctx, cfs_result_t *result);

/** The version that VM is known to have in force; 0: not known. */
uint64_t cfs_version_of (const cfs_t *c, const char *vm);

/** Ring and neighbours; node.c keeps links to the neighbours. */
const spr_t *cfs_peers (const cfs_t *c);

#endif

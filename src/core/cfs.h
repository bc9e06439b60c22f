/** @file
 * Configuration store (prefix cfs_): the configuration that is in force on a
 * VM.
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
 * The platform stores the configuration document, the VMs forward it to each
 * other, and operators change single sections of it (docs/CONFIG.md).  Use
 * this module to read the document in force or to change it; cfg.h parses and
 * validates the text.  The module stores nothing on disk.
 *
 * The version in force on a VM never decreases.  A document takes effect
 * completely or not at all.  Times are in milliseconds; each change ends with
 * one result, whose code tells the error.  The cfs_t owns the document and
 * copies the arguments of a change.
 */
#ifndef RTS_CFS_H
#define RTS_CFS_H

#include "core/cfg.h"
#include "core/env.h"
#include "core/spr.h"

/** Version that the base version of a change is compared with. */
typedef enum
{
  CFS_CHECK_SECTIONS, /**< the version of each modified section */
  CFS_CHECK_DOCUMENT, /**< the version of the whole document */
} cfs_base_check_t;

/** Parameters of cfs_setup; zero stands for the default. */
typedef struct
{
  mbr_t *members;         /**< NULL: messages go over open links only */
  cfs_base_check_t check; /**< default: CFS_CHECK_SECTIONS */
  clk_ms_t tick_ms; /**< interval between exchanges of versions; default 1 s */
  clk_ms_t apply_timeout_ms; /**< time limit of a change; default 10 s */
  size_t changes_max;        /**< most changes that wait or run; default 64 */
} cfs_desc_t;

/** A change that an operator requests. */
typedef struct
{
  buf_t text;        /**< sections; unless `whole` is set, a section without
                          keys is removed */
  bool whole;        /**< sections that text does not contain are removed */
  uint64_t base;     /**< version that the operator read; 0: none */
  const char *token; /**< identifies the command, the same when the command
                          is resent; the first 64 bytes count; NULL: the
                          command is never resent */
  const char *team;  /**< the change may touch only sections that this team
                          owns; NULL: all sections */
} cfs_change_t;

/** Result of a change. */
typedef struct
{
  uint64_t id;
  st_code_t code;   /**< ST_OK;
                       ST_INVALID: text lists the faults, one a line;
                       ST_CONFLICT: text is the diff;
                       ST_STALE: this VM does not know the base version;
                       ST_TOO_LARGE: a group of sections is too large;
                       ST_UNAVAILABLE: nothing was changed;
                       ST_UNKNOWN: the change may have taken effect */
  uint64_t version; /**< ST_OK: version that contains the change */
  bool unchanged;   /**< ST_OK: the change was in force already */
  unsigned retries; /**< attempts that failed because another writer
                       changed the document first */
  const char *text;
} cfs_result_t;

typedef struct cfs cfs_t;

/** New store owned by CTX, with no document in force. */
cfs_t *cfs_setup (void *ctx, const env_t *env, const cfs_desc_t *desc);

/** Free the store; waiting changes get no result. */
void cfs_shutdown (cfs_t *c);

/** Start to read from the platform and from the peers. */
void cfs_start (cfs_t *c, env_t *env);

/** Event handlers; node.c calls them. */
void cfs_timer_fired (cfs_t *c, env_t *env, uint64_t tag);
void cfs_platform_replied (cfs_t *c, env_t *env, const plt_done_t *done,
                           const ev_platform_t *reply);
void cfs_message_received (cfs_t *c, env_t *env, const char *vm,
                           const msg_t *msg);
void cfs_peer_up (cfs_t *c, env_t *env, const char *vm);
void cfs_peers_changed (cfs_t *c, env_t *env, const ev_vm_t *vms, size_t n);

/** The document in force, valid until the next time that cfs_changed returns
 * true; NULL: no document is in force yet. */
const cfg_doc_t *cfs_doc (const cfs_t *c);

/** Version of the document in force; 0: none yet. */
uint64_t cfs_version (const cfs_t *c);

/** Whether the document has changed since the previous call. */
bool cfs_changed (cfs_t *c);

/** The document as text owned by CTX; the first line contains the version. */
buf_t cfs_text (void *ctx, const cfs_t *c);

/** Evaluate CHANGE without applying it.  On ST_OK the text of the result is
 * the diff; faults and conflicts are reported as by cfs_apply. */
cfs_result_t cfs_diff (void *ctx, const cfs_t *c, const cfs_change_t *change);

/** Start CHANGE; returns its id, 0 when too many changes wait. */
uint64_t cfs_apply (cfs_t *c, env_t *env, const cfs_change_t *change);

/** Take one result, its text owned by CTX; false when there is none. */
bool cfs_result_pop (cfs_t *c, void *ctx, cfs_result_t *result);

/** Newest version that VM is known to have in force; 0: not known. */
uint64_t cfs_version_of (const cfs_t *c, const char *vm);

/** The ring of VMs; node.c keeps links open to this VM's neighbours. */
const spr_t *cfs_peers (const cfs_t *c);

#endif

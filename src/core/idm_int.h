/** @file
 * What the files of idm share; not for other modules.
 */
#ifndef RTS_IDM_INT_H
#define RTS_IDM_INT_H

#include "core/idm.h"
#include "core/idm_rec.h"
#include "core/tbl.h"

#include <glib.h>

/** Set in the tags of the sweep's calls; the low bits are the part. */
#define IDM_SWEEP_TAG ((uint64_t)1 << 63)

/** Where a request's record stands. */
typedef enum
{
  IDM_CREATING, /**< the creation is under way */
  IDM_LOOKUP,   /**< a record is read, none is to be made */
  IDM_READING,  /**< it was not plain whether it succeeded */
  IDM_GRANTED,  /**< the record stands and nothing was sent */
  IDM_SENT,     /**< bytes may have left this VM */
  IDM_WRITING,  /**< the outcome is being written */
} idm_state_t;

/** One request. */
typedef struct
{
  tbl_id_t id;
  void *strings; /**< owns name and what rec points to */
  char *name;
  uint64_t tag;
  clk_ms_t deadline;
  clk_ms_t retry_until;
  idm_state_t state;
  bool ambiguous; /**< a creation may have had its effect unseen */
  uint64_t version;
  clk_ms_t backoff;
  clk_ms_t retry_at;
  idm_rec_t rec;
} idm_entry_t;

/** A record that the sweep has seen. */
typedef struct
{
  uint64_t version;
  clk_ms_t first_seen;
  unsigned pass;
} idm_seen_t;

struct idm
{
  idm_desc_t desc;
  tbl_t *entries;
  GHashTable *by_name; /**< name to idm_entry_t */
  GQueue results;      /**< idm_result_t */
  idm_result_t *popped;
  uint64_t writer_number; /**< of the last writer's token */
  uint32_t pending_outcomes;
  GHashTable *seen[IDM_SHARDS]; /**< name to idm_seen_t; NULL: none */
  uint32_t seen_count;
  unsigned next_shard;
  unsigned pass;
};

/* idm_sweep.c */
void idm_sweep_tick (idm_t *i, env_t *env);
void idm_sweep_replied (idm_t *i, env_t *env, const plt_done_t *done,
                        const ev_platform_t *reply);
void idm_sweep_shutdown (idm_t *i);

#endif

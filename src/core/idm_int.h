/** @file
 * State of the idempotency records (prefix idm_) shared by idm.c and
 * idm_sweep.c; not for other modules.
 */
#ifndef RTS_IDM_INT_H
#define RTS_IDM_INT_H

#include "core/idm.h"
#include "core/idm_rec.h"
#include "core/tbl.h"

#include <glib.h>

/** Set in the tags of the sweep's timer and platform calls; the low bits are
 * the shard. */
#define IDM_SWEEP_TAG ((uint64_t)1 << 63)

/** State of a request's record. */
typedef enum
{
  IDM_CREATING, /**< the creation is in flight */
  IDM_LOOKUP,   /**< the record is read only (idm_lookup) */
  IDM_READING,  /**< the record is read because the creation did not clearly
                     succeed or fail */
  IDM_GRANTED,  /**< the record is created and nothing was sent */
  IDM_SENT,     /**< bytes may have left this VM */
  IDM_WRITING,  /**< the outcome is being written */
} idm_state_t;

/** One request. */
typedef struct
{
  tbl_id_t id;
  void *strings; /**< owns name and all that rec points to */
  char *name;    /**< of the platform object */
  uint64_t tag;
  clk_ms_t deadline;
  clk_ms_t retry_until; /**< when creation, or writing the outcome, is
                             given up */
  idm_state_t state;
  bool ambiguous;   /**< a creation may have taken effect unseen */
  uint64_t version; /**< of the platform object; 0: none known */
  clk_ms_t backoff; /**< last wait before a retry */
  clk_ms_t retry_at;
  idm_rec_t rec;
} idm_entry_t;

/** A record that the sweep has seen in the platform. */
typedef struct
{
  uint64_t version;
  clk_ms_t first_seen; /**< in this version */
  unsigned pass;       /**< last listing that contained the record */
} idm_seen_t;

struct idm
{
  idm_desc_t desc;
  tbl_t *entries;
  GHashTable *by_name;    /**< object name to idm_entry_t */
  GQueue results;         /**< idm_result_t */
  idm_result_t *popped;   /**< last result taken; freed with the next */
  uint64_t writer_number; /**< in the last writer token */
  uint32_t pending_outcomes;
  GHashTable *seen[IDM_SHARDS]; /**< object name to idm_seen_t; NULL: none */
  uint32_t seen_count;
  unsigned next_shard;
  unsigned pass; /**< listings handled so far */
};

/* idm_sweep.c */
void idm_sweep_tick (idm_t *i, env_t *env);
void idm_sweep_replied (idm_t *i, env_t *env, const plt_done_t *done,
                        const ev_platform_t *reply);
void idm_sweep_shutdown (idm_t *i);

#endif

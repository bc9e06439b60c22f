/** @file
 * Declarations shared by the source files of the directory (prefix dir_).
 */
#ifndef RTS_DIR_INT_H
#define RTS_DIR_INT_H

#include "core/dir.h"
#include "core/mpk.h"

#include <glib.h>

/** Operations of the directory.  The tag of a call or timer holds the
 * operation in its low bits and, for reads, the epoch above them. */
typedef enum
{
  DIR_OP_DOCUMENT,    /**< read or watch the operator's document */
  DIR_OP_UPSTREAMS,   /**< read or watch the list of upstreams */
  DIR_OP_EVACUATIONS, /**< read or watch the evacuated data centres */
  DIR_OP_EXPIRY,      /**< timer only: remove expired upstreams */
  DIR_OP_REQUEST,     /**< timer only: request the document from a peer */
  DIR_OP_FOLLOW,      /**< timer only: whether the reader is still heard */
  DIR_READ_NUM = DIR_OP_EXPIRY /**< number of operations that read */
} dir_op_t;

/** Longest duration of a long poll of a reader (dir_follow.c). */
#define DIR_READER_WATCH_MS CLK_SECOND

/** The list of evacuated data centres (dir_evac.c). */
typedef struct dir_evac dir_evac_t;

struct dir
{
  dir_desc_t desc;
  cfg_data_centre_t *data_centres;
  size_t data_centre_count;
  uint64_t revision[DIR_READ_NUM];  /**< to watch from; 0: read everything */
  uint64_t first_page_revision;     /**< of the list that is being read */
  clk_ms_t called_at[DIR_READ_NUM]; /**< instant of the last call */
  char *after;             /**< last name of the previous page; NULL: read the
                                first page */
  cfg_doc_t *operator_doc; /**< without upstreams; NULL before the first one */
  uint64_t version;        /**< of operator_doc */
  buf_t raw;               /**< operator_doc as the platform sent it; owned */
  char **newer_peers;      /**< peers with document newer_version that were not
                                asked for it yet; owned */
  size_t newer_count;      /**< of newer_peers */
  uint64_t newer_version;  /**< newest version that a peer has said it has; 0:
                                none */
  uint64_t epoch; /**< counts fresh starts; replies to calls of an earlier
                       epoch are dropped */
  uint64_t recovered_count; /**< plt_recovered_count when the watches began */
  uint64_t stale_count;     /**< plt_stale_count at the start of the epoch */
  GHashTable *entries;      /**< upstream name to _dir_entry_t */
  GQueue cold_news;   /**< char *: names of entries whose cold time is news */
  clk_ms_t listed_at; /**< last response with upstreams; CLK_NEVER: none */
  clk_ms_t handed_at[DIR_READ_NUM]; /**< when the reader last handed on what it
                                         knows; CLK_NEVER: it has not */
  bool idle[DIR_READ_NUM]; /**< this VM makes no calls: the reader does */
  bool follow_armed;
  dir_evac_t *evac; /**< NULL: evacuated data centres are not read */
  bool dirty;       /**< operator_doc or entries are newer than doc */
  cfg_doc_t *doc;   /**< operator_doc with data centres and upstreams */
};

/* dir_peer.c */

/** Send the version in force to VM, or to all peers if VM is NULL. */
void dir_version_send (const dir_t *d, env_t *env, const char *vm);

/** Request the document from the first of newer_peers, and from the next one a
 * little later, if that version is not in force yet. */
void dir_document_request (dir_t *d, env_t *env);

/** Handle MSG_DIRECTORY_HANDED from VM; false: malformed. */
bool dir_handed_received (dir_t *d, env_t *env, const char *vm,
                          mpk_reader_t *r);

/* dir.c */

/** Read or watch the list of OP now. */
void dir_read (dir_t *d, env_t *env, dir_op_t op);

/** Apply a page of the list of upstreams, or changes of it. */
void dir_upstreams_update (dir_t *d, env_t *env, const ev_platform_t *reply);

/* dir_follow.c */

/** Whether this VM reads for its data centre. */
bool dir_is_reader (const dir_t *d, const env_t *env);

/** How long a VM whose watch has ended waits to hear from the reader before it
 * watches again; 0: it is the reader, or there is none. */
clk_ms_t dir_reader_wait_ms (const dir_t *d, const env_t *env, dir_op_t op);

/** Whether this VM leaves the list of OP to the reader. */
bool dir_follows (const dir_t *d, const env_t *env, dir_op_t op);

/** Longest time for which what was handed on of the list of OP counts, and
 * longest time from the reader's call to the message that hands on its answer.
 */
clk_ms_t dir_handed_ms (const dir_t *d, dir_op_t op);

/** Whether the answer to the last call for the list of OP, which came just
 * now, says something of now. */
bool dir_answer_is_timely (const dir_t *d, const env_t *env, dir_op_t op);

/** Read the list of OP if this VM left that to the reader; WHY is for the log.
 */
void dir_follow_end (dir_t *d, env_t *env, dir_op_t op, const char *why);

/** Look soon whether the reader is still heard. */
void dir_follow_arm (dir_t *d, env_t *env);
void dir_follow_check (dir_t *d, env_t *env);

/** If this VM is the reader, hand on REPLY, by which the revision of OP's list
 * has grown from BEFORE; 0: the list was read anew. */
void dir_hand_on (const dir_t *d, env_t *env, dir_op_t op, uint64_t before,
                  const ev_platform_t *reply);

/** If this VM is the reader, tell that it cannot read the list of OP. */
void dir_failure_hand_on (const dir_t *d, env_t *env, dir_op_t op);

/* dir_evac.c */

/** A list that is not known yet, owned by CTX; a change must take effect
 * WITHIN_MS after it is in the store. */
dir_evac_t *dir_evac_setup (void *ctx, clk_ms_t within_ms);

/** Longest wait of a watch. */
clk_ms_t dir_evac_watch_ms (const dir_t *d);

/** Name after which the next page begins; NULL: no list is being read. */
const char *dir_evac_after (const dir_t *d);

/** Begin with the first page again. */
void dir_evac_page_drop (dir_t *d);

/** Apply REPLY, a page of the list or changes of it. */
void dir_evac_replied (dir_t *d, env_t *env, const ev_platform_t *reply);

/** Tell this data centre that this VM, its reader, cannot read the list. */
void dir_evac_failure_hand_on (const dir_t *d, env_t *env);

/** Send the list to VM, to which a link has opened; nothing where evacuated
 * data centres are not read. */
void dir_evac_peer_send (const dir_t *d, env_t *env, const char *vm);

/** Handle MSG_DIRECTORY_EVACUATIONS from VM; false: malformed. */
bool dir_evac_received (dir_t *d, env_t *env, const char *vm, mpk_reader_t *r);

#endif

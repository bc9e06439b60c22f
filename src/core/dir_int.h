/** @file
 * What the files of dir share; not for other modules.
 */
#ifndef RTS_DIR_INT_H
#define RTS_DIR_INT_H

#include "core/dir.h"

#include <glib.h>

/** The two things that are read; also the low bits of the tags of calls and
 * timers, above which the epoch stands. */
typedef enum
{
  DIR_OP_DOCUMENT,
  DIR_OP_UPSTREAMS,
  DIR_OP_EXPIRY,  /**< timer only */
  DIR_OP_REQUEST, /**< timer only */
  DIR_READ_NUM = DIR_OP_EXPIRY
} dir_op_t;

struct dir
{
  dir_desc_t desc;
  cfg_data_centre_t *data_centres;
  size_t data_centre_count;
  uint64_t revision[DIR_READ_NUM];  /**< to wait on from; 0: read the whole */
  uint64_t first_page_revision;     /**< of the first page being read */
  clk_ms_t called_at[DIR_READ_NUM]; /**< last call */
  char *after;                      /**< next page of the list; NULL: first */
  cfg_doc_t *operator_doc;          /**< without upstreams */
  uint64_t version;
  buf_t raw;        /**< of the operator's document; owned */
  char *newer_peer; /**< a peer that has a newer version; NULL: none known */
  uint64_t newer_version; /**< that version */
  uint64_t epoch;         /**< of reads: replies to earlier ones are dropped */
  uint64_t stale_count;   /**< plt_stale_count when the epoch began */
  GHashTable *entries;    /**< name to _dir_entry_t */
  clk_ms_t failed_at;     /**< last failure of a call; CLK_NEVER: none */
  bool dirty;             /**< doc does not show what is known */
  cfg_doc_t *doc;
};

/* dir_peer.c */

/** Tell VM, or for NULL all peers, which version is in force. */
void dir_version_send (const dir_t *d, env_t *env, const char *vm);

/** Ask a peer for the version that the platform has not brought. */
void dir_document_request (dir_t *d, env_t *env);

#endif

/** @file
 * Configuration store (prefix cfs_), private: the state that its files share.
 * Use cfs.h from other modules.
 *
 *   cfs.c        document in force, event handlers
 *   cfs_store.c  reads from the platform
 *   cfs_apply.c  writes of operators' changes to the platform
 *   cfs_check.c  evaluation of a change: diff, conflicts, faults
 *   cfs_codec.c  platform objects as JSON
 *   cfs_peer.c   messages between VMs
 *
 * The platform holds one head object and up to CFS_BUCKETS part objects; each
 * part holds the sections of one bucket (cfs_set.h).  A change writes new
 * parts first and then replaces the head by a conditional update.
 */
#ifndef RTS_CFS_INT_H
#define RTS_CFS_INT_H

#include "core/cfs.h"
#include "core/cfs_set.h"

/** Names of the objects in the platform. */
#define CFS_HEAD_NAME "config/head"
#define CFS_PART_PREFIX "config/part/"

/** Most tokens in the head; a new one replaces the oldest. */
#define CFS_TOKENS_MAX 64

/** Largest part, in bytes; the platform accepts objects of up to a
 * megabyte. */
#define CFS_PART_MAX ((size_t)1000000)

/** Kinds of timer and of platform call: bits 0 to 7 of a tag.  Bits 8 to 15
 * hold a bucket, the higher bits a sequence number. */
typedef enum
{
  CFS_TAG_TICK,
  CFS_TAG_START_WAIT,   /**< end of the time that peers have after the start
                             to send their versions */
  CFS_TAG_PENDING_HEAD, /**< end of the time that peers have to send the
                             version of a head that a watch returned */
  CFS_TAG_APPLY,        /**< next attempt of the change in progress */
  CFS_TAG_LIST,         /**< read of the head and of the revision to watch
                            from */
  CFS_TAG_WATCH,
  CFS_TAG_READ, /**< read of the head */
  CFS_TAG_PART_READ,
  CFS_TAG_PART_WRITE,
  CFS_TAG_HEAD_WRITE,
  CFS_TAG_PART_DELETE,
} cfs_tag_t;

/** An operator's command and the version that it made. */
typedef struct
{
  const char *token;
  uint64_t version;
} cfs_token_t;

/** Reference to the part object of one bucket. */
typedef struct
{
  const char *name; /**< of the object; "": the bucket is empty */
  uint64_t object_version;
  uint64_t digest; /**< of the bucket's records */
} cfs_part_t;

/** The head object; a change takes effect when its conditional update of the
 * head succeeds. */
typedef struct
{
  uint64_t version;        /**< of the document */
  uint64_t object_version; /**< of the head object in the platform */
  const char *writer;      /**< VM that wrote this version */
  cfs_token_t tokens[CFS_TOKENS_MAX];
  size_t token_count;
  cfs_part_t parts[CFS_BUCKETS];
} cfs_head_t;

/** Source of a new version. */
typedef enum
{
  CFS_FROM_APPLY,
  CFS_FROM_PLATFORM,
  CFS_FROM_PEER,
} cfs_source_t;

/** A version to put in force. */
typedef struct
{
  uint64_t version;
  uint64_t digest;    /**< of all records after the update */
  const char *writer; /**< VM that wrote this version */
  cfs_records_t records;
  bool buckets[CFS_BUCKETS]; /**< buckets whose content the records replace
                                  completely */
  cfs_source_t source;
  const char *vm; /**< CFS_FROM_PEER: sender */
} cfs_update_t;

/** Read of the parts that a newer head refers to. */
typedef struct
{
  void *ctx; /**< owns the state of the read; NULL: no read runs */
  uint64_t seq;
  cfs_head_t *head;
  size_t parts_waiting; /**< parts that have not been read yet */
  cfs_update_t update;
} cfs_fetch_t;

/** Transfer of a newer version from a peer, in chunks. */
typedef struct
{
  void *ctx;         /**< owns the state of the transfer; NULL: none runs */
  char *vm;          /**< sender */
  clk_ms_t deadline; /**< of the next chunk */
  uint64_t have;     /**< version that the requested changes start from */
  uint64_t to;       /**< version of the sender; 0: no chunk has arrived */
  uint64_t chunk;    /**< number of the next chunk, from 0 */
  cfs_records_t records;
} cfs_pull_t;

/** Steps of a change. */
typedef enum
{
  CFS_APPLY_WAIT,  /**< waits for the next attempt, a head or a newer
                        version */
  CFS_APPLY_PARTS, /**< writes the parts */
  CFS_APPLY_HEAD,  /**< writes the head */
} cfs_apply_step_t;

/** Effect of a change on the document. */
typedef struct
{
  cfs_records_t records; /**< changed records */
  cfg_doc_t *doc;        /**< document after the change */
} cfs_effect_t;

/** A change that waits, runs or has a result. */
typedef struct cfs_task
{
  struct cfs_task *next;
  cfs_change_t change;
  cfs_result_t result;
  clk_ms_t deadline;
  clk_ms_t next_attempt;
  unsigned attempts; /**< attempts so far */
  cfs_apply_step_t step;
  uint64_t seq;         /**< of the attempt */
  bool head_is_fresh;   /**< the head was read for this change */
  bool outcome_unknown; /**< a head was written and the platform's response
                             was lost */
  uint64_t unknown_object_version; /**< object version that the head with
                                           unknown outcome was to replace */
  void *attempt;                   /**< owns the memory of one attempt */
  cfs_effect_t effect;
  cfs_head_t *head;          /**< head to write */
  bool written[CFS_BUCKETS]; /**< buckets whose part is written */
  size_t parts_waiting;      /**< parts whose write has no response yet */
  st_code_t part_code;       /**< ST_OK, or the code of a failed part write */
  unsigned part_retries;     /**< parts written again after a lost response */
} cfs_task_t;

/** A part that the head no longer refers to.  It is deleted after a delay,
 * as VMs that read an old head may still read its parts. */
typedef struct
{
  clk_ms_t due; /**< time of the deletion */
  cfs_part_t part;
} cfs_garbage_t;

struct cfs
{
  cfs_desc_t desc;
  spr_t *spr;
  cfs_set_t *set;
  cfg_doc_t *doc;
  cfg_doc_t *last_doc; /**< document before the change, kept until the users
                          of the document have seen the change */
  bool changed;        /**< cfs_changed has not returned the change yet */
  uint64_t version;
  const char *writer;       /**< VM that wrote the version in force */
  cfs_head_t *head;         /**< as last read; NULL: must be read */
  cfs_head_t *pending_head; /**< newer head that is not fetched yet */
  uint64_t seq;             /**< last sequence number of a tag */
  uint64_t revision;        /**< to watch from; 0: list first */
  bool watching;            /**< a list or watch call is in progress */
  bool start_wait_over;     /**< peers had time to send their versions */
  bool reading;             /**< a read of the head is in progress */
  bool reread_head;         /**< read the head again: its parts could not be
                            read */
  bool pull_full;         /**< request the complete document: the last transfer
                          of changes gave no valid document */
  clk_ms_t next_read_at;  /**< time of the next read of the head */
  clk_ms_t peer_heard_at; /**< time of the last message from a peer */
  unsigned read_failures; /**< failed reads in a row */
  size_t next_neighbour; /**< index (modulo their number) of the neighbour that
                            gets the next VERSION message */
  unsigned ack_resends_left; /**< resends of this VM's ACK that are left */
  char *newest_vm; /**< peer with the newest version, not requested yet */
  uint64_t newest_version;
  GHashTable *peer_versions; /**< VM name -> uint64_t, newest known
                                    version */
  cfs_fetch_t fetch;
  cfs_pull_t pull;
  cfs_task_t *task;       /**< list; the first change runs, the others wait */
  cfs_task_t *done;       /**< list of the results to take */
  uint64_t task_id;       /**< of the last change */
  cfs_garbage_t *garbage; /**< oldest first */
  size_t garbage_count;
};

/** Tag of a timer or platform call (cfs_tag_t). */
uint64_t cfs_tag (cfs_tag_t kind, unsigned bucket, uint64_t seq);

/** Put UPDATE in force.  DOC is the document after the update, or NULL: this
 * function then verifies the digest and parses the records.  Returns false
 * when the update is not newer or not valid. */
bool cfs_update_adopt (cfs_t *c, env_t *env, const cfs_update_t *update,
                       cfg_doc_t *doc);

/** RECORDS as changes for cfg_doc_patch; strings are borrowed. */
cfg_sections_t cfs_records_sections (void *ctx, const cfs_records_t *records);

/** Drop the head, so that the next change reads it again. */
void cfs_head_clear (cfs_t *c);

/* cfs_store.c */
/** Start the reads and watches that are due. */
void cfs_store_tick (cfs_t *c, env_t *env);
/** Read the head unless a read is in progress. */
void cfs_store_read (cfs_t *c, env_t *env);
/** Fetch the parts of the pending head if it is still newer. */
void cfs_store_pending_fetch (cfs_t *c, env_t *env);
void cfs_store_replied (cfs_t *c, env_t *env, const plt_done_t *done,
                        const ev_platform_t *reply);

/* cfs_codec.c; the parsers return false when the object is not valid */
bool cfs_head_parse (void *ctx, const ev_object_t *object, cfs_head_t **head);
buf_t cfs_head_dump (void *ctx, const cfs_head_t *head);
cfs_head_t *cfs_head_copy (void *ctx, const cfs_head_t *head);
/** Version that the command with TOKEN made; 0: the head has no such token. */
uint64_t cfs_head_token_version (const cfs_head_t *head, const char *token);
buf_t cfs_part_dump (void *ctx, const cfs_records_t *records);
bool cfs_part_parse (void *ctx, buf_t value, cfs_records_t *records);

/* cfs_peer.c */
void cfs_peer_tick (cfs_t *c, env_t *env);
/** Send the version in force to VM. */
void cfs_peer_version_send (cfs_t *c, env_t *env, const char *vm);
/** Send the version in force to all neighbours, and an ACK to its writer. */
void cfs_peer_version_broadcast (cfs_t *c, env_t *env);
/** Request the newer version that VM has. */
void cfs_peer_pull (cfs_t *c, env_t *env, const char *vm);
/** Store that VM has VERSION; an older version than stored is ignored. */
void cfs_peer_version_update (cfs_t *c, const char *vm, uint64_t version);

/* cfs_apply.c */
/** Start the next attempt of the first change if the attempt is due. */
void cfs_task_step (cfs_t *c, env_t *env);
/** Delete the parts that are due. */
void cfs_garbage_collect (cfs_t *c, env_t *env);
/** Continue the change that waits for a read of the head, which ended with
 * CODE. */
void cfs_task_head_replied (cfs_t *c, env_t *env, st_code_t code);
void cfs_task_replied (cfs_t *c, env_t *env, const plt_done_t *done,
                       const ev_platform_t *reply);

/* cfs_check.c */
/** Evaluate CHANGE against the document in force.  EFFECT and RESULT belong to
 * CTX. */
st_code_t cfs_effect_compute (void *ctx, const cfs_t *c,
                              const cfs_change_t *change, cfs_effect_t *effect,
                              cfs_result_t *result);

#endif

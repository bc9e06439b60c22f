/** @file
 * State of cfs shared by its files: cfs.c (in force, hooks), cfs_store.c
 * (reading from the platform), cfs_apply.c (changes), cfs_check.c (what a
 * change does), cfs_peer.c (messages).
 */
#ifndef RTS_CFS_INT_H
#define RTS_CFS_INT_H

#include "core/cfs.h"
#include "core/cfs_set.h"

/** Objects of the platform. */
#define CFS_HEAD_NAME "config/head"
#define CFS_PART_PREFIX "config/part/"

/** Tokens that the head remembers. */
#define CFS_TOKENS_MAX 64

/** Largest part, in bytes; the platform takes a megabyte. */
#define CFS_PART_MAX ((size_t)1000000)

/** Kinds of timer and of platform call: low 8 bits of a tag.  Bits 8 to 15
 * hold a group, the rest a sequence number. */
typedef enum
{
  CFS_TAG_TICK,
  CFS_TAG_START_WAIT,   /**< peers had time to say their versions */
  CFS_TAG_PENDING_HEAD, /**< peers had time to bring what a watch told of */
  CFS_TAG_APPLY,        /**< next try of the change in progress */
  CFS_TAG_LIST,         /**< head and revision, to watch from */
  CFS_TAG_WATCH,
  CFS_TAG_READ, /**< head */
  CFS_TAG_PART_READ,
  CFS_TAG_PART_WRITE,
  CFS_TAG_HEAD_WRITE,
  CFS_TAG_PART_DELETE,
} cfs_tag_t;

/** A command and the version that it brought about. */
typedef struct
{
  const char *token;
  uint64_t version;
} cfs_token_t;

/** One group of sections in the platform. */
typedef struct
{
  const char *name; /**< of the object; "": the group is empty */
  uint64_t object_version;
  uint64_t digest;
} cfs_part_t;

/** The head object: its conditional update makes a change take effect. */
typedef struct
{
  uint64_t version;
  uint64_t object_version;
  const char *writer; /**< VM */
  cfs_token_t tokens[CFS_TOKENS_MAX];
  size_t token_count;
  cfs_part_t parts[CFS_BUCKETS];
} cfs_head_t;

/** Where a new version came from. */
typedef enum
{
  CFS_FROM_APPLY,
  CFS_FROM_PLATFORM,
  CFS_FROM_PEER,
} cfs_source_t;

/** A version to be put in force. */
typedef struct
{
  uint64_t version;
  uint64_t digest;    /**< of the result */
  const char *writer; /**< VM */
  cfs_records_t records;
  bool buckets[CFS_BUCKETS]; /**< groups that the records replace */
  cfs_source_t source;
  const char *vm; /**< CFS_FROM_PEER */
} cfs_update_t;

/** Reading the parts that a newer head names. */
typedef struct
{
  void *ctx; /**< NULL: not reading */
  uint64_t seq;
  cfs_head_t *head;
  size_t parts_waiting;
  cfs_update_t update;
} cfs_fetch_t;

/** Receiving a newer version from a peer. */
typedef struct
{
  void *ctx; /**< NULL: not receiving */
  char *vm;
  clk_ms_t deadline;
  uint64_t have; /**< as asked for */
  uint64_t to;   /**< 0: the first chunk has not come */
  uint64_t chunk;
  cfs_records_t records;
} cfs_pull_t;

/** Steps of a change. */
typedef enum
{
  CFS_APPLY_WAIT, /**< for the next try, a head or a newer version */
  CFS_APPLY_PARTS,
  CFS_APPLY_HEAD,
} cfs_apply_step_t;

/** What a change does to the set. */
typedef struct
{
  cfs_records_t records;
  cfg_doc_t *doc;
} cfs_effect_t;

/** A change in progress or waiting. */
typedef struct cfs_task
{
  struct cfs_task *next;
  cfs_change_t change;
  cfs_result_t result;
  clk_ms_t deadline;
  clk_ms_t next_try;
  unsigned tries;
  cfs_apply_step_t step;
  uint64_t seq;         /**< of the try */
  bool head_is_fresh;   /**< the head was read for this change */
  bool outcome_unknown; /**< a head was written whose outcome is open */
  uint64_t
      unknown_object_version; /**< object version that it was to replace */
  void *attempt;              /**< owns what belongs to one try */
  cfs_effect_t effect;
  cfs_head_t *head; /**< to be written */
  bool written[CFS_BUCKETS];
  size_t parts_waiting;  /**< parts */
  st_code_t part_code;   /**< first failure of a part */
  unsigned part_retries; /**< parts written again */
} cfs_task_t;

/** A part that no head names any more; readers of an old head may still
 * want it for a while. */
typedef struct
{
  clk_ms_t due;
  cfs_part_t part;
} cfs_garbage_t;

struct cfs
{
  cfs_desc_t desc;
  spr_t *spr;
  cfs_set_t *set;
  cfg_doc_t *doc;
  cfg_doc_t *last_doc; /**< kept until the change has been seen */
  bool changed;
  uint64_t version;
  const char *writer;
  cfs_head_t *head;         /**< as last read; NULL: to be read */
  cfs_head_t *pending_head; /**< newer one that a watch told of */
  uint64_t seq;
  uint64_t revision; /**< of the watch */
  bool watching;
  bool start_wait_over;
  bool reading;              /**< head */
  bool reread_head;          /**< the head, as its parts could not be read */
  bool pull_full;            /**< the last pull of changes did not fit */
  clk_ms_t next_read_at;     /**< next read of the head */
  clk_ms_t peer_heard_at;    /**< last message of a peer */
  unsigned read_failures;    /**< in a row */
  size_t next_neighbour;     /**< of the neighbours */
  unsigned ack_resends_left; /**< repeats of the own confirmation */
  char *newest_vm;           /**< newest peer that was not asked yet */
  uint64_t newest_version;
  GHashTable *peer_versions; /**< vm -> version */
  cfs_fetch_t fetch;
  cfs_pull_t pull;
  cfs_task_t *task; /**< first waiting; the first is in progress */
  cfs_task_t *done; /**< outcomes to be taken */
  uint64_t task_id;
  cfs_garbage_t *garbage; /**< oldest first */
  size_t garbage_count;
};

/** Tag of a timer or platform call. */
uint64_t cfs_tag (cfs_tag_t kind, unsigned bucket, uint64_t seq);

/** Put an update in force; false when it is not newer or not valid. */
bool cfs_update_adopt (cfs_t *c, env_t *env, const cfs_update_t *update,
                       cfg_doc_t *doc);

/** RECORDS as changes of a document; strings are borrowed. */
cfg_sections_t cfs_records_sections (void *ctx, const cfs_records_t *records);

/** Forget the head, so that the next change reads it. */
void cfs_head_clear (cfs_t *c);

/* cfs_store.c */
void cfs_store_tick (cfs_t *c, env_t *env);
void cfs_store_read (cfs_t *c, env_t *env);
void cfs_store_pending_fetch (cfs_t *c, env_t *env);
void cfs_store_replied (cfs_t *c, env_t *env, const plt_done_t *done,
                        const ev_platform_t *reply);

/* cfs_codec.c */
bool cfs_head_parse (void *ctx, const ev_object_t *object, cfs_head_t **head);
buf_t cfs_head_dump (void *ctx, const cfs_head_t *head);
cfs_head_t *cfs_head_copy (void *ctx, const cfs_head_t *head);
uint64_t cfs_head_token_version (const cfs_head_t *head, const char *token);
buf_t cfs_part_dump (void *ctx, const cfs_records_t *records);
bool cfs_part_parse (void *ctx, buf_t value, cfs_records_t *records);

/* cfs_peer.c */
void cfs_peer_tick (cfs_t *c, env_t *env);
void cfs_peer_version_send (cfs_t *c, env_t *env, const char *vm);
void cfs_peer_version_broadcast (cfs_t *c, env_t *env);
void cfs_peer_pull (cfs_t *c, env_t *env, const char *vm);
void cfs_peer_version_update (cfs_t *c, const char *vm, uint64_t version);

/* cfs_apply.c */
void cfs_task_step (cfs_t *c, env_t *env);
void cfs_garbage_collect (cfs_t *c, env_t *env);
void cfs_task_head_replied (cfs_t *c, env_t *env, st_code_t code);
void cfs_task_replied (cfs_t *c, env_t *env, const plt_done_t *done,
                       const ev_platform_t *reply);

/* cfs_check.c */
st_code_t cfs_effect_compute (void *ctx, const cfs_t *c,
                              const cfs_change_t *change, cfs_effect_t *effect,
                              cfs_result_t *result);

#endif

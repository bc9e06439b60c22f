/** @file
 * Shared insides of the batch module's files (bat*.c); nobody else's.
 *
 * bat.c dispatches, bat_submit.c accepts jobs, bat_scan.c finds work,
 * bat_hold.c looks after one leased chunk, bat_write.c writes its record,
 * bat_load.c reads what a new holder needs, bat_item.c starts items,
 * bat_answer.c decides what came of them, bat_end.c cancels and completes,
 * bat_http.c answers callers.
 *
 * Every platform call and timer carries the handle of a bat_op_t that says
 * what it belongs to, so a reply to something that is gone finds nothing.
 */
#ifndef RTS_BAT_INT_H
#define RTS_BAT_INT_H

#include "core/bat.h"
#include "core/bat_rec.h"
#include "core/cht.h"
#include "core/sch.h"
#include "core/tbl.h"

/** Message kinds. */
enum
{
  BAT_MSG_WORK = MSG_BATCH_FIRST, /**< str job id: it has waiting chunks */
  BAT_MSG_STOP,                   /**< str job id: it is being cancelled */
};

/** What a platform call or timer belongs to. */
typedef enum
{
  BAT_OP_SUBMIT_LOOKUP, /**< manifest of the id, before anything is written */
  BAT_OP_SUBMIT_ITEMS,
  BAT_OP_SUBMIT_OPEN,
  BAT_OP_SUBMIT_JOB,
  BAT_OP_SUBMIT_RETRY, /**< timer */
  BAT_OP_SCAN,
  BAT_OP_SCAN_TIMER,   /**< timer */
  BAT_OP_JOB_MANIFEST, /**< manifest of an open job */
  BAT_OP_JOB_CHUNKS,
  BAT_OP_HOLD_LEASE,
  BAT_OP_HOLD_ITEMS,
  BAT_OP_HOLD_PARTS,
  BAT_OP_HOLD_PART, /**< write */
  BAT_OP_HOLD_RECORD,
  BAT_OP_HOLD_READ,       /**< record, to see who won */
  BAT_OP_HOLD_RETRY,      /**< timer: the write in progress */
  BAT_OP_HOLD_LOAD_RETRY, /**< timer */
  BAT_OP_HOLD_TIMER,      /**< timer: renewal, lapse, items' back-off */
  BAT_OP_END_MANIFEST,
  BAT_OP_END_MANIFEST_WRITE,
  BAT_OP_END_CHUNK_LIST,
  BAT_OP_END_CHUNK_WRITE,
  BAT_OP_END_OPEN_READ,
  BAT_OP_END_OPEN_DELETE,
  BAT_OP_END_RETRY, /**< timer */
  BAT_OP_READ_JOB,
  BAT_OP_READ_CHUNKS,
  BAT_OP_READ_PART,
} bat_op_kind_t;

/** A platform call or timer in progress. */
typedef struct
{
  bat_op_kind_t kind;
  tbl_id_t owner;
  uint32_t index;
} bat_op_t;

/** What is known of a job's chunk from the last list. */
typedef struct
{
  uint64_t version;         /**< 0: no record */
  clk_ms_t version_seen_at; /**< when it was first seen at this version */
  clk_ms_t term_ms;
  bat_chunk_state_t state;
  bool mine; /**< held by this VM now */
} bat_chunk_view_t;

/** An unfinished job, as this VM sees it. */
typedef struct
{
  tbl_id_t self;
  void *ctx;
  char id[BAT_ID_SIZE];
  bat_open_job_t open;
  bool accepted;   /**< its manifest has been seen */
  bool reading;    /**< a look at it is in progress */
  bool listed;     /**< in the current list */
  bool read_again; /**< look again when the current look ends */
  bool
      recorded_final; /**< this VM has recorded a final chunk since the look */
  clk_ms_t known_at;
  void *manifest_ctx;
  bat_manifest_t manifest;
  clk_ms_t read_started_at;
  bat_chunk_view_t *views;
  uint32_t final; /**< chunks that were final in the last list */
} bat_job_t;

/** State of an item, as in charts/item.ini. */
typedef enum
{
  BAT_ITEM_WAITING,
  BAT_ITEM_SENT,
  BAT_ITEM_ENDED, /**< its outcome is decided: recorded or to be recorded */
  BAT_ITEM_NUM
} bat_item_state_t;

/** One item of a held chunk. */
typedef struct
{
  bat_item_state_t state;
  uint32_t attempts; /**< that may have run */
  uint32_t refusals;
  uint32_t unsent;
  clk_ms_t not_before;
  tbl_id_t in_flight; /**< in BAT_ITEM_SENT */
  bat_input_t input;
} bat_item_t;

/** State of a held chunk, as in charts/chunk.ini. */
typedef enum
{
  BAT_HOLD_LEASING,
  BAT_HOLD_LOADING,
  BAT_HOLD_RUNNING,
  BAT_HOLD_STOPPING,  /**< cancelled: no item starts */
  BAT_HOLD_RETURNING, /**< shutdown: no item starts */
  BAT_HOLD_ENDED,
  BAT_HOLD_NUM
} bat_hold_state_t;

/** Step of the one write of a hold that may be in progress. */
typedef enum
{
  BAT_WRITE_NONE,
  BAT_WRITE_PART,
  BAT_WRITE_RECORD,
  BAT_WRITE_READ, /**< finding out whose record it is */
} bat_write_step_t;

/** A write of a hold: its bytes stay the same over every retry. */
typedef struct
{
  bat_write_step_t step;
  clk_ms_t term_start; /**< no later than its first attempt was sent */
  bool may_be_written; /**< an attempt may have had its effect */
  char *part_name;     /**< NULL: no new part */
  buf_t part;
  bat_chunk_t rec;  /**< as it will be */
  uint64_t version; /**< of the record that it replaces */
  uint32_t tries;
} bat_write_t;

/** A chunk that this VM holds, or is about to. */
typedef struct
{
  tbl_id_t self;
  void *ctx;
  char id[BAT_ID_SIZE];
  char *digest;
  char *customer;
  clk_ms_t due;
  uint32_t chunk;
  uint32_t first; /**< index of its first item in the job */
  bat_hold_state_t state;
  bat_chunk_t rec; /**< as recorded */
  void *rec_ctx;   /**< owns its strings */
  uint64_t version;
  clk_ms_t lease_until;
  clk_ms_t renew_at;
  bat_write_t write;
  void *write_ctx;
  bat_item_t *items;
  uint32_t item_count;
  uint32_t ended; /**< items in BAT_ITEM_ENDED */
  uint32_t next;  /**< no item before it is waiting */
  uint32_t parts_loaded;
  uint32_t load_tries;
  bool load_in_flight;
  clk_ms_t pause_until;   /**< no upstream could be reached */
  clk_ms_t next_retry_at; /**< when the first item in back-off is due */
  GString *unsaved;       /**< outcome lines that no part holds */
  bat_counts_t unsaved_counts;
  bool loaded;       /**< items and earlier outcomes are known */
  bool renew_now;    /**< write the record now */
  bool needs_intent; /**< a non-idempotent item waits for it */
  clk_ms_t timer_at; /**< of the armed BAT_OP_HOLD_TIMER */
} bat_hold_t;

/** An item on its way. */
typedef struct
{
  tbl_id_t self;
  tbl_id_t hold;
  uint32_t item;
  uint64_t call;
  bool idempotent;
  int status;
  clk_ms_t retry_after_ms;
  GString *body;
  bool too_large;
} bat_inflight_t;

/** One chunk of a job that is being accepted. */
typedef struct
{
  buf_t text;
  uint32_t first;
  bool stored;
  bool in_flight;
} bat_new_chunk_t;

/** A job that is being accepted. */
typedef struct
{
  tbl_id_t self;
  void *ctx;
  uint64_t caller; /**< 0: gone */
  bat_manifest_t manifest;
  bat_new_chunk_t *new_chunks;
  uint32_t next; /**< piece to be written next */
  uint32_t in_flight;
  uint32_t stored;
  bat_op_kind_t step;  /**< step after the new_chunks */
  bool may_be_written; /**< the manifest may have been written */
  clk_ms_t progress_at;
  uint32_t tries;
  bool retry_armed; /**< a retry timer is armed */
} bat_submit_t;

/** A cancellation, or the end of a job. */
typedef struct
{
  tbl_id_t self;
  void *ctx;
  uint64_t caller; /**< 0: none */
  char *customer;  /**< NULL: not for a caller */
  char id[BAT_ID_SIZE];
  bool cancel; /**< move the manifest to cancelling first */
  bat_manifest_t manifest;
  uint64_t version; /**< of the manifest */
  bat_job_state_t next_state;
  bool may_be_written;
  void *manifest_ctx;
  bool reading;  /**< a read is in progress */
  bool notified; /**< the other VMs know */
  uint32_t in_flight;
  uint32_t tries;
  clk_ms_t started_at;
  bool retry_armed;
} bat_job_end_t;

/** A caller reading status or results. */
typedef struct
{
  tbl_id_t self;
  void *ctx;
  uint64_t caller;
  bool results;
  bool head_sent; /**< the head is out */
  char *customer;
  char id[BAT_ID_SIZE];
  bat_manifest_t manifest;
  bat_chunk_t *chunks; /**< of the manifest; zeroed where no record */
  uint32_t chunk;      /**< being sent */
  uint32_t part;
  GPtrArray *lines; /**< outcomes of that chunk by index */
} bat_reader_t;

struct bat
{
  bat_desc_t desc;
  const cfg_doc_t *doc;
  sch_t *order;      /**< of items */
  sch_t *take_order; /**< of chunks */
  cht_t *job_chart;
  cht_t *chunk_chart;
  cht_t *item_chart;
  tbl_t *ops;       /**< bat_op_t */
  tbl_t *jobs;      /**< bat_job_t */
  tbl_t *holds;     /**< bat_hold_t */
  tbl_t *in_flight; /**< bat_inflight_t */
  tbl_t *submits;   /**< bat_submit_t */
  tbl_t *ends;      /**< bat_job_end_t */
  tbl_t *readers;   /**< bat_reader_t */
  char **vms;       /**< members, sorted */
  size_t vm_count;
  uint64_t write_number; /**< for tokens */
  bool scanning;
  bool scan_again;
  bool leaving;
  double rate; /**< items ended a second, smoothed */
  clk_ms_t rate_at;
  uint32_t rate_count;
};

/* bat.c */
tbl_id_t bat_op_new (bat_t *b, bat_op_kind_t kind, tbl_id_t owner,
                     uint32_t index);
void bat_platform_call (bat_t *b, env_t *env, bat_op_kind_t kind,
                        tbl_id_t owner, uint32_t index, const plt_req_t *req);
void bat_timer_arm (bat_t *b, env_t *env, clk_ms_t delay, bat_op_kind_t kind,
                    tbl_id_t owner);
/** Back-off before try number TRIES. */
clk_ms_t bat_backoff (env_t *env, uint32_t tries);
/** New writer token "vm/incarnation/number" owned by CTX. */
char *bat_token_new (bat_t *b, env_t *env, void *ctx);
char *bat_holder_name (env_t *env, void *ctx);
/** This VM's place in the rendezvous order of KEY; 0: first. */
uint32_t bat_rank (const bat_t *b, const char *vm, const char *key);
double bat_weight (const bat_t *b, const char *customer);

/** Make this VM's holds of ID find out that it is being cancelled. */
void bat_holds_reread (bat_t *b, env_t *env, const char *id);

/* bat_http.c */
void bat_reply (env_t *env, uint64_t caller, int status,
                clk_ms_t retry_after_ms, buf_t body);
void bat_reply_error (env_t *env, uint64_t caller, int status,
                      const char *code, const char *run,
                      clk_ms_t retry_after_ms, const char *message);
void bat_reply_manifest (env_t *env, uint64_t caller, int status,
                         const bat_manifest_t *m);
void bat_read_start (bat_t *b, env_t *env, const char *customer,
                     const char *id, uint64_t caller, bool results);
void bat_read_replied (bat_t *b, env_t *env, const bat_op_t *op,
                       const ev_platform_t *reply);

/* bat_submit.c */
void bat_submit_start (bat_t *b, env_t *env, const char *customer,
                       const ev_request_t *req);
void bat_submit_replied (bat_t *b, env_t *env, const bat_op_t *op,
                         const ev_platform_t *reply);
void bat_submit_retry (bat_t *b, env_t *env, tbl_id_t id);

/* bat_parse.c */
/** Read a body of JSON Lines into new_chunks owned by CTX; ST says which line
 * is wrong. */
st_code_t bat_parse (const bat_t *b, void *ctx, buf_t body,
                     bat_new_chunk_t **new_chunks, bat_manifest_t *m,
                     st_t *st);

/* bat_scan.c */
void bat_scan (bat_t *b, env_t *env);
void bat_scan_timer (bat_t *b, env_t *env);
/** A hold has ended: take other chunks, or look for some. */
void bat_scan_take_more (bat_t *b, env_t *env, const char *id);
void bat_scan_job_free (bat_t *b, bat_job_t *job);
void bat_scan_replied (bat_t *b, env_t *env, const bat_op_t *op,
                       const ev_platform_t *reply);
/** Look at a job now; it may be new to this VM (OPEN tells) or not. */
void bat_scan_job (bat_t *b, env_t *env, const char *id,
                   const bat_open_job_t *open);
bat_job_t *bat_job_find (bat_t *b, const char *id);
/** Tell the job's helpers that it has work. */
void bat_scan_notify (bat_t *b, env_t *env, const char *id, uint32_t chunks,
                      uint16_t kind);

/* bat_hold.c */
void bat_hold_start (bat_t *b, env_t *env, const bat_job_t *job,
                     uint32_t chunk);
void bat_hold_replied (bat_t *b, env_t *env, const bat_op_t *op,
                       const ev_platform_t *reply);
void bat_hold_timer (bat_t *b, env_t *env, const bat_op_t *op);
/** Write what has to be written; ends the hold when all is. */
void bat_hold_step (bat_t *b, env_t *env, bat_hold_t *h);
/** Take a chart event; false when the hold is gone after it. */
bool bat_hold_fire (bat_t *b, env_t *env, bat_hold_t *h, int event);
/** Wake H at AT. */
void bat_hold_timer_arm (bat_t *b, env_t *env, bat_hold_t *h, clk_ms_t at);

/* bat_write.c: the one write of a hold that may be in progress */
/** Begin a write that replaces the record by one in STATE: it takes all that
 * is unsaved with it, in a part of its own. */
void bat_write_begin (bat_t *b, env_t *env, bat_hold_t *h,
                      bat_chunk_state_t state, uint32_t intent);
/** (Re)send the record, the part, or the question whose record is there. */
void bat_write_record (bat_t *b, env_t *env, bat_hold_t *h);
void bat_write_part (bat_t *b, env_t *env, bat_hold_t *h);
void bat_write_record_read (bat_t *b, env_t *env, bat_hold_t *h);
/** The record is in the platform at VERSION. */
void bat_write_succeeded (bat_t *b, env_t *env, bat_hold_t *h,
                          uint64_t version);
/** A conflict was met and O read: whose record is it? */
void bat_write_conflict_resolve (bat_t *b, env_t *env, bat_hold_t *h,
                                 const ev_object_t *o);
/** Somebody else's record is there: the hold ends. */
void bat_hold_fenced (bat_t *b, env_t *env, bat_hold_t *h);
/** Keep a copy of REC that lives as long as H. */
void bat_hold_rec_set (bat_hold_t *h, const bat_chunk_t *rec,
                       uint64_t version);

/* bat_load.c: what a new holder reads first */
void bat_load_start (bat_t *b, env_t *env, bat_hold_t *h);
void bat_load_replied (bat_t *b, env_t *env, const bat_op_t *op,
                       const ev_platform_t *reply);

/* bat_item.c */
/** Forget a send; REACHED false: no connection to its upstream opened. */
void bat_inflight_free (bat_t *b, env_t *env, bat_inflight_t *s, bool reached);
/** Preempt what crd.h wants back. */
void bat_item_preempt (bat_t *b, env_t *env);
void bat_item_end (bat_t *b, env_t *env, bat_hold_t *h, uint32_t item,
                   const bat_outcome_t *outcome);
/** Stop the sends of H without an outcome: somebody else decides it. */
void bat_item_stop_all (bat_t *b, env_t *env, bat_hold_t *h);
/** Stop those that may be repeated; their items wait again. */
void bat_item_stop_idempotent (bat_t *b, env_t *env, bat_hold_t *h);
/** The job is cancelled: decide the outcome of all that is left. */
void bat_item_cancel_all (bat_t *b, env_t *env, bat_hold_t *h);
/** Decide that ITEM failed because it may have run, and must not again. */
void bat_item_end_unknown (bat_t *b, env_t *env, bat_hold_t *h, uint32_t item,
                           const char *reason);
/** An item has moved from one state to the next. */
void bat_item_fire (bat_t *b, bat_item_t *item, int event);

/* bat_end.c */
void bat_end_cancel (bat_t *b, env_t *env, const char *customer,
                     const char *id, uint64_t caller);
/** All chunks of ID are final, or it is being cancelled. */
void bat_end_start (bat_t *b, env_t *env, const char *id);
void bat_end_replied (bat_t *b, env_t *env, const bat_op_t *op,
                      const ev_platform_t *reply);
void bat_end_retry (bat_t *b, env_t *env, tbl_id_t id);

/** Events of charts/job.ini. */
enum
{
  BAT_JOB_EV_CANCEL,
  BAT_JOB_EV_SETTLE
};

/** Events and actions of charts/chunk.ini. */
enum
{
  BAT_HOLD_EV_LEASED,
  BAT_HOLD_EV_LOADED,
  BAT_HOLD_EV_STOP,
  BAT_HOLD_EV_LEAVE,
  BAT_HOLD_EV_RECORDED,
  BAT_HOLD_EV_FENCED,
  BAT_HOLD_EV_NUM
};
enum
{
  BAT_HOLD_DO_LOAD,
  BAT_HOLD_DO_RUN,
  BAT_HOLD_DO_CANCEL_ITEMS,
  BAT_HOLD_DO_RETURN_ITEMS,
  BAT_HOLD_DO_FORGET,
  BAT_HOLD_DO_NUM
};

/** Events of charts/item.ini. */
enum
{
  BAT_ITEM_EV_SEND,
  BAT_ITEM_EV_AGAIN,
  BAT_ITEM_EV_END
};

#endif

/** @file
 * Internals of the batch module, shared by its files (bat*.c); not for other
 * modules.
 *
 * bat.c dispatches events, bat_submit.c accepts jobs and bat_parse.c reads
 * their bodies, bat_scan.c finds chunks to run, bat_hold.c manages one leased
 * chunk, bat_write.c writes its record, bat_load.c reads what a new holder
 * needs, bat_item.c starts items, bat_response.c handles the responses of
 * upstreams, bat_end.c cancels and completes jobs, and bat_http.c responds to
 * callers.  bat_rec.h has the records of the platform.
 *
 * A hold is a chunk that this VM leases, with the state of its items.  A part
 * is an object with some of a chunk's outcomes; a chunk has one for each write
 * that saved outcomes.
 *
 * Each platform call and timer carries the handle of a bat_op_t, which holds
 * the handle of the owner; a reply whose owner has been freed is ignored.
 */
#ifndef RTS_BAT_INT_H
#define RTS_BAT_INT_H

#include "core/bat.h"
#include "core/bat_rec.h"
#include "core/cht.h"
#include "core/sch.h"
#include "core/tbl.h"

/** Kinds of messages between VMs.  The body is the job id as a string. */
enum
{
  BAT_MSG_WORK = MSG_BATCH_FIRST, /**< the job has waiting chunks */
  BAT_MSG_STOP,                   /**< the job is being cancelled */
};

/** Purpose of a platform call or of a timer. */
typedef enum
{
  BAT_OP_SUBMIT_LOOKUP, /**< reads the manifest before anything is written */
  BAT_OP_SUBMIT_ITEMS,  /**< writes the items of a chunk */
  BAT_OP_SUBMIT_OPEN,   /**< writes the index entry */
  BAT_OP_SUBMIT_JOB,    /**< writes the manifest */
  BAT_OP_SUBMIT_RETRY,  /**< timer */
  BAT_OP_SCAN,          /**< lists the index of unfinished jobs */
  BAT_OP_SCAN_TIMER,
  BAT_OP_JOB_MANIFEST,    /**< reads the manifest of an unfinished job */
  BAT_OP_JOB_CHUNKS,      /**< lists the chunk records of an unfinished job */
  BAT_OP_HOLD_LEASE,      /**< writes the record to take the lease */
  BAT_OP_HOLD_ITEMS,      /**< reads the items */
  BAT_OP_HOLD_PARTS,      /**< reads a part of the earlier outcomes */
  BAT_OP_HOLD_PART,       /**< writes a part with new outcomes */
  BAT_OP_HOLD_RECORD,     /**< writes the record under the lease */
  BAT_OP_HOLD_READ,       /**< reads the record: before the lease, or after a
                               conflict to see whose write succeeded */
  BAT_OP_HOLD_RETRY,      /**< timer: repeats the current step of the write */
  BAT_OP_HOLD_LOAD_RETRY, /**< timer */
  BAT_OP_HOLD_TIMER,      /**< renewal of the lease, back-off of items */
  BAT_OP_END_MANIFEST,    /**< reads the manifest */
  BAT_OP_END_MANIFEST_WRITE,
  BAT_OP_END_CHUNK_LIST,
  BAT_OP_END_CHUNK_WRITE,
  BAT_OP_END_OPEN_READ,   /**< reads the index entry, for its version */
  BAT_OP_END_OPEN_DELETE, /**< deletes the index entry */
  BAT_OP_END_RETRY,       /**< timer */
  BAT_OP_READ_JOB,        /**< reads the manifest for a caller */
  BAT_OP_READ_CHUNKS,     /**< lists the chunk records for a caller */
  BAT_OP_READ_PART,       /**< reads a part of the outcomes for a caller */
} bat_op_kind_t;

/** A platform call or timer in progress. */
typedef struct
{
  bat_op_kind_t kind;
  tbl_id_t owner; /**< record in one of the tables of bat_t, by kind */
  uint32_t index; /**< number of the chunk or part, by kind */
} bat_op_t;

/** State of a chunk of a job, from the latest list of its records. */
typedef struct
{
  uint64_t version;         /**< of the record; 0: no record */
  clk_ms_t version_seen_at; /**< time when this version was first seen */
  clk_ms_t term_ms;         /**< of the lease */
  bat_chunk_state_t state;
  bool held_here; /**< this VM holds the chunk */
} bat_chunk_view_t;

/** An unfinished job, as this VM sees it. */
typedef struct
{
  tbl_id_t self;
  void *ctx; /**< owns the memory of the job */
  char id[BAT_ID_SIZE];
  bat_open_job_t open;
  bool accepted;       /**< the manifest has been read */
  bool reading;        /**< a read of the job's records is in progress */
  bool listed;         /**< the index has the job, by its latest list */
  bool read_again;     /**< read once more when the current read ends */
  bool recorded_final; /**< this VM has recorded a final chunk since the latest
                            list of chunk records */
  clk_ms_t known_at;   /**< time when this VM first knew the job */
  void *manifest_ctx;  /**< owns the strings of the manifest */
  bat_manifest_t manifest;
  clk_ms_t read_started_at;
  bat_chunk_view_t *views; /**< one for each chunk */
  uint32_t final; /**< final chunks in the latest list of chunk records */
} bat_job_t;

/** State of an item, as in charts/item.ini. */
typedef enum
{
  BAT_ITEM_WAITING,
  BAT_ITEM_SENT,
  BAT_ITEM_ENDED, /**< the outcome is decided; it may not be recorded yet */
  BAT_ITEM_NUM
} bat_item_state_t;

/** One item of a held chunk. */
typedef struct
{
  bat_item_state_t state;
  uint32_t attempts;   /**< failed attempts that may have run */
  uint32_t refusals;   /**< responses that refused the item without effect */
  uint32_t unsent;     /**< attempts that failed before they were sent */
  clk_ms_t not_before; /**< earliest time of the next attempt */
  tbl_id_t in_flight;  /**< bat_inflight_t in BAT_ITEM_SENT */
  bat_input_t input;
} bat_item_t;

/** State of a held chunk, as in charts/chunk.ini. */
typedef enum
{
  BAT_HOLD_LEASING,
  BAT_HOLD_LOADING,
  BAT_HOLD_RUNNING,
  BAT_HOLD_STOPPING,  /**< the job is cancelled: no item starts */
  BAT_HOLD_RETURNING, /**< this VM shuts down: no item starts */
  BAT_HOLD_ENDED,
  BAT_HOLD_NUM
} bat_hold_state_t;

/** Step of the one write of a hold that may be in progress. */
typedef enum
{
  BAT_WRITE_NONE,
  BAT_WRITE_PART,
  BAT_WRITE_RECORD,
  BAT_WRITE_READ, /**< reads the record to see whose write succeeded */
} bat_write_step_t;

/** A write of a hold.  Its bytes are the same in each retry. */
typedef struct
{
  bat_write_step_t step;
  clk_ms_t term_start; /**< time of the first send that may have taken effect;
                            the new lease term begins here */
  bool may_be_written; /**< an attempt may have taken effect */
  char *part_name;     /**< NULL: there is no new part */
  buf_t part;
  bat_chunk_t rec;  /**< the new record */
  uint64_t version; /**< of the record that the new one replaces */
  uint32_t retries; /**< retries so far, for the back-off */
} bat_write_t;

/** A hold: a chunk that this VM leases or is about to lease. */
typedef struct
{
  tbl_id_t self;
  void *ctx; /**< owns the memory of the hold */
  char id[BAT_ID_SIZE];
  char *digest; /**< of the job's body */
  char *customer;
  clk_ms_t due; /**< on the clock of env->now; 0: none */
  uint32_t chunk;
  uint32_t first; /**< index of the chunk's first item in the job */
  bat_hold_state_t state;
  bat_chunk_t rec; /**< the record, as the platform has it */
  void *rec_ctx;   /**< owns the strings of rec */
  uint64_t version;
  clk_ms_t lease_until;
  clk_ms_t renew_at;
  bat_write_t write;
  void *write_ctx; /**< owns the memory of the write */
  bat_item_t *items;
  uint32_t item_count;
  uint32_t ended;         /**< count of items in BAT_ITEM_ENDED */
  uint32_t next;          /**< no item below this index is waiting */
  uint32_t parts_loaded;  /**< parts of earlier outcomes that were read */
  uint32_t load_retries;  /**< retries so far, for the back-off */
  bool load_in_flight;    /**< a read for the load is in progress */
  clk_ms_t pause_until;   /**< no item starts before, because no connection to
                               an upstream opened */
  clk_ms_t next_retry_at; /**< time when the first item in back-off is due */
  GString *unsaved;       /**< outcome lines that no part has yet */
  bat_counts_t unsaved_counts;
  bool loaded;       /**< items and earlier outcomes have been read */
  bool renew_now;    /**< the record is to be written at once */
  bool needs_intent; /**< a non-idempotent item waits for a higher intent */
  clk_ms_t timer_at; /**< time of the armed BAT_OP_HOLD_TIMER */
} bat_hold_t;

/** An item in flight: its request to an upstream is in progress. */
typedef struct
{
  tbl_id_t self;
  tbl_id_t hold;
  uint32_t item; /**< index in the chunk */
  uint64_t call; /**< upstream call */
  bool idempotent;
  int status;
  clk_ms_t retry_after_ms; /**< from the Retry-After header; 0: none */
  GString *body;
  size_t received; /**< bytes of the response's body */
  bool too_large;  /**< the body exceeds BAT_RESPONSE_BYTES_MAX */
} bat_inflight_t;

/** One chunk of a job that is being accepted. */
typedef struct
{
  buf_t text;     /**< the items, one a line */
  uint32_t first; /**< index of the first item in the job */
  bool stored;
  bool in_flight; /**< the write is in progress */
} bat_new_chunk_t;

/** A job that is being accepted. */
typedef struct
{
  tbl_id_t self;
  void *ctx;       /**< owns the memory of the submission */
  uint64_t caller; /**< 0: the caller has gone */
  bat_manifest_t manifest;
  bat_new_chunk_t *new_chunks;
  uint32_t next;        /**< all chunks below this number are stored */
  uint32_t in_flight;   /**< writes of chunks in progress */
  uint32_t stored;      /**< chunks that are stored */
  bat_op_kind_t step;   /**< purpose of the current step's calls */
  bool may_be_written;  /**< the manifest may have been written */
  clk_ms_t progress_at; /**< time when the latest step succeeded */
  uint32_t retries;     /**< retries so far, for the back-off */
  bool retry_armed;     /**< BAT_OP_SUBMIT_RETRY is armed */
} bat_submit_t;

/** The cancellation or the completion of a job. */
typedef struct
{
  tbl_id_t self;
  void *ctx;       /**< owns the memory of this record */
  uint64_t caller; /**< 0: none */
  char *customer;  /**< customer that cancels; NULL: this VM acts by itself */
  char id[BAT_ID_SIZE];
  bool cancel; /**< a running job is to become cancelling */
  bat_manifest_t manifest;
  uint64_t version;           /**< of the manifest */
  bat_job_state_t next_state; /**< state in the write of the manifest */
  bool may_be_written;        /**< the outcome of that write is unknown */
  void *manifest_ctx;         /**< owns the strings of the manifest */
  bool reading;               /**< a read is in progress */
  bool notified;      /**< the other VMs were told of the cancellation */
  uint32_t in_flight; /**< writes of chunk records in progress */
  uint32_t retries;   /**< retries so far, for the back-off */
  clk_ms_t started_at;
  bool retry_armed; /**< BAT_OP_END_RETRY is armed */
} bat_job_end_t;

/** A caller's read of status or results. */
typedef struct
{
  tbl_id_t self;
  void *ctx;       /**< owns the memory of the read */
  uint64_t caller; /**< 0: the caller has gone */
  bool results;    /**< results; otherwise status */
  bool head_sent;
  char *customer;
  char id[BAT_ID_SIZE];
  bat_manifest_t manifest;
  bat_chunk_t *chunks; /**< records by number; zeros where there is none */
  uint32_t chunk;      /**< number of the chunk that is being sent */
  uint32_t part;       /**< number of its next part to read */
  GPtrArray *lines;    /**< outcome lines of that chunk, by item; NULL where
                            there is no outcome yet */
} bat_reader_t;

struct bat
{
  bat_desc_t desc;
  const cfg_doc_t *doc; /**< NULL until the first configuration */
  sch_t *order;         /**< order in which items start */
  sch_t *take_order;    /**< order in which chunks are taken */
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
  char **vms;       /**< names of the VMs that may take chunks */
  size_t vm_count;
  uint64_t write_number; /**< number of the latest write, for tokens */
  bool scanning;         /**< a list of the index is in progress */
  bool scan_again;       /**< list once more when the current list ends */
  bool leaving;
  double rate;         /**< items that end per second, smoothed */
  clk_ms_t rate_at;    /**< start of the current interval of the rate */
  uint32_t rate_count; /**< items that ended in the current interval */
};

/* bat.c */

/** Creates the record of a platform call or timer. */
tbl_id_t bat_op_new (bat_t *b, bat_op_kind_t kind, tbl_id_t owner,
                     uint32_t index);
/** Sends REQ to the platform; the reply is dispatched by KIND. */
void bat_platform_call (bat_t *b, env_t *env, bat_op_kind_t kind,
                        tbl_id_t owner, uint32_t index, const plt_req_t *req);
void bat_timer_arm (bat_t *b, env_t *env, clk_ms_t delay, bat_op_kind_t kind,
                    tbl_id_t owner);
/** Random exponential back-off, in ms, after RETRIES earlier retries. */
clk_ms_t bat_backoff (env_t *env, uint32_t retries);
/** Token of a new write, "vm/incarnation/number", owned by CTX. */
char *bat_token_new (bat_t *b, env_t *env, void *ctx);
/** Name of this VM as a holder, "vm/incarnation", owned by CTX. */
char *bat_holder_name (env_t *env, void *ctx);
/** Rank of VM in the rendezvous order of KEY; 0: first. */
uint32_t bat_rank (const bat_t *b, const char *vm, const char *key);
/** Weight of CUSTOMER by the configuration; 1 when there is none. */
double bat_weight (const bat_t *b, const char *customer);

/** Has each running hold of job ID write its record at once.  The write meets
 * a conflict if the job is being cancelled, and the hold then stops. */
void bat_holds_renew (bat_t *b, env_t *env, const char *id);

/* bat_http.c */

/** Sends a response; does nothing when CALLER is 0. */
void bat_reply (env_t *env, uint64_t caller, int status,
                clk_ms_t retry_after_ms, buf_t body);
/** Sends an error response.  RUN says whether the request may have had an
 * effect: "not-run" or "unknown". */
void bat_reply_error (env_t *env, uint64_t caller, int status,
                      const char *code, const char *run,
                      clk_ms_t retry_after_ms, const char *message);
void bat_reply_manifest (env_t *env, uint64_t caller, int status,
                         const bat_manifest_t *m);
/** Begins to read the results of job ID, or its status, for CALLER. */
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

/** Reads a body of JSON Lines into chunks owned by CTX, and sets the items,
 * chunks and firsts of M.  On an error the message in ST names the line. */
st_code_t bat_parse (const bat_t *b, void *ctx, buf_t body,
                     bat_new_chunk_t **new_chunks, bat_manifest_t *m,
                     st_t *st);

/* bat_scan.c */

/** Lists the index of unfinished jobs. */
void bat_scan (bat_t *b, env_t *env);
void bat_scan_timer (bat_t *b, env_t *env);
/** Takes other chunks after a hold of job ID has ended; reads records of jobs
 * when this VM may hold more. */
void bat_scan_take_more (bat_t *b, env_t *env, const char *id);
void bat_scan_job_free (bat_t *b, bat_job_t *job);
void bat_scan_replied (bat_t *b, env_t *env, const bat_op_t *op,
                       const ev_platform_t *reply);
/** Reads the records of job ID now.  A job that this VM does not know is
 * created from OPEN, or searched for in the index when OPEN is NULL. */
void bat_scan_job (bat_t *b, env_t *env, const char *id,
                   const bat_open_job_t *open);
bat_job_t *bat_job_find (bat_t *b, const char *id);
/** Sends a message of KIND to the other candidates of job ID (bat_scan.c).  If
 * the job is small or KIND is BAT_MSG_STOP, twice as many VMs get the message.
 */
void bat_scan_notify (bat_t *b, env_t *env, const char *id, uint32_t chunks,
                      uint16_t kind);

/* bat_hold.c */

/** Creates a hold and begins to lease its chunk. */
void bat_hold_start (bat_t *b, env_t *env, const bat_job_t *job,
                     uint32_t chunk);
void bat_hold_replied (bat_t *b, env_t *env, const bat_op_t *op,
                       const ev_platform_t *reply);
void bat_hold_timer (bat_t *b, env_t *env, const bat_op_t *op);
/** Begins the write that is due, if any (bat_write.c).  The hold ends when its
 * last write has succeeded. */
void bat_hold_step (bat_t *b, env_t *env, bat_hold_t *h);
/** Fires EVENT in the hold's chart; returns false when H has been freed. */
bool bat_hold_fire (bat_t *b, env_t *env, bat_hold_t *h, int event);
/** Arms the timer of H for AT unless it fires earlier anyway. */
void bat_hold_timer_arm (bat_t *b, env_t *env, bat_hold_t *h, clk_ms_t at);

/* bat_write.c: the one write of a hold that may be in progress */

/** Begins a write that replaces the record by one in STATE.  It saves all
 * unsaved outcomes in a new part. */
void bat_write_begin (bat_t *b, env_t *env, bat_hold_t *h,
                      bat_chunk_state_t state, uint32_t intent);
/** Sends the new record, or sends it again. */
void bat_write_record (bat_t *b, env_t *env, bat_hold_t *h);
/** Sends the new part, or sends it again. */
void bat_write_part (bat_t *b, env_t *env, bat_hold_t *h);
/** Reads the record to see whose write succeeded. */
void bat_write_record_read (bat_t *b, env_t *env, bat_hold_t *h);
/** Applies a write that succeeded: the platform has the new record, at
 * VERSION. */
void bat_write_succeeded (bat_t *b, env_t *env, bat_hold_t *h,
                          uint64_t version);
/** Resolves a conflict: O is the record that the platform has. */
void bat_write_conflict_resolve (bat_t *b, env_t *env, bat_hold_t *h,
                                 const ev_object_t *o);
/** Ends the hold, because the record no longer belongs to it. */
void bat_hold_fenced (bat_t *b, env_t *env, bat_hold_t *h);
/** Stores a copy of REC, owned by the hold, as its record at VERSION. */
void bat_hold_rec_set (bat_hold_t *h, const bat_chunk_t *rec,
                       uint64_t version);

/* bat_load.c */

/** Reads the items of H, or the next part of the earlier outcomes. */
void bat_load_start (bat_t *b, env_t *env, bat_hold_t *h);
void bat_load_replied (bat_t *b, env_t *env, const bat_op_t *op,
                       const ev_platform_t *reply);

/* bat_item.c */

/** Frees S and releases its credit; REACHED false: no connection to the
 * upstream opened. */
void bat_inflight_free (bat_t *b, env_t *env, bat_inflight_t *s, bool reached);
/** Cancels the items in flight that crd.h preempts; they wait again. */
void bat_item_preempt (bat_t *b, env_t *env);
/** Sets the outcome of ITEM, in BAT_ITEM_WAITING or BAT_ITEM_SENT. */
void bat_item_end (bat_t *b, env_t *env, bat_hold_t *h, uint32_t item,
                   const bat_outcome_t *outcome);
/** Cancels all items in flight of H without an outcome, because H ends. */
void bat_item_stop_all (bat_t *b, env_t *env, bat_hold_t *h);
/** Cancels the idempotent items in flight of H; they wait again. */
void bat_item_stop_idempotent (bat_t *b, env_t *env, bat_hold_t *h);
/** Sets the outcome of all items without one, because the job is cancelled. */
void bat_item_cancel_all (bat_t *b, env_t *env, bat_hold_t *h);
/** Ends ITEM as failed with an unknown outcome: the item may have run, and
 * must not run again. */
void bat_item_end_unknown (bat_t *b, env_t *env, bat_hold_t *h, uint32_t item,
                           const char *reason);
/** Fires EVENT in the chart of ITEM. */
void bat_item_fire (bat_t *b, bat_item_t *item, int event);

/* bat_end.c */

/** Begins the cancellation of job ID for CALLER. */
void bat_end_cancel (bat_t *b, env_t *env, const char *customer,
                     const char *id, uint64_t caller);
/** Brings job ID to its end when all chunks are final or it is being
 * cancelled. */
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

/** Events of charts/chunk.ini. */
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

/** Actions of charts/chunk.ini. */
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

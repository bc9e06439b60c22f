/** @file
 * What the files of job share, and their test; not for other modules.
 *
 * job.c keeps the jobs and hands replies to their files; job_feed.c follows
 * the records, job_submit.c accepts, job_read.c answers callers, job_run.c
 * runs items, job_list.c puts their results at positions, job_follow.c tells
 * who waits.
 */
#ifndef RTS_JOB_INT_H
#define RTS_JOB_INT_H

#include "core/job.h"
#include "core/job_rec.h"
#include "core/mpk.h"
#include "core/sse.h"
#include "core/tbl.h"

#include <glib.h>

/** Names of the objects. */
#define JOB_RECORD_PREFIX "jobs/"
#define JOB_BODY_PREFIX "job-bodies/"
#define JOB_TEXT_PREFIX "job-texts/"

/** Between looks at waiting callers and runs. */
#define JOB_TICK_MS 50

/** Before a call that failed is made again. */
#define JOB_RETRY_MS 150

/** What a platform call belongs to. */
typedef enum
{
  JOB_OP_FEED,
  JOB_OP_SUBMIT_PART,
  JOB_OP_SUBMIT_RECORD,
  JOB_OP_READ_RECORD, /**< of a job that a caller asks for */
  JOB_OP_READ_TEXT,
  JOB_OP_READ_BODY,
  JOB_OP_RUN_BODY,
  JOB_OP_LIST_TEXT,
  JOB_OP_LIST_RECORD,
  JOB_OP_LIST_REREAD, /**< the record, after a write of unknown outcome */
} job_op_kind_t;

/** A platform call in progress. */
typedef struct
{
  job_op_kind_t kind;
  tbl_id_t owner; /**< of the job, submission or call */
  uint32_t index; /**< item or part */
} job_op_t;

/** What has become of an item, as far as this VM knows. */
typedef enum
{
  JOB_ITEM_WAITING,
  JOB_ITEM_RUNNING,
  JOB_ITEM_TEXT_PENDING, /**< its text is to be written */
  JOB_ITEM_TEXT_WRITING, /**< its text is on its way to the platform */
  JOB_ITEM_LIST_PENDING, /**< to be put at a position */
  JOB_ITEM_LISTED,
} job_item_state_t;

/** Longest wait of a read for news. */
#define JOB_POLL_MS_MAX (1 * CLK_SECOND)

/** An item's progress at the VM that runs it. */
typedef struct
{
  job_item_state_t state;
  bool completed;      /**< from DECIDED on */
  uint32_t failures;   /**< runs that its upstream ended as failed */
  clk_ms_t not_before; /**< of its next run, or of the write's next try */
  GString *text;       /**< of the events that came; NULL: none */
  uint64_t last_event; /**< 0: none */
  tbl_id_t run;        /**< in RUNNING */
} job_item_t;

/** A VM that is told of a job's progress. */
typedef struct
{
  char *vm;
  clk_ms_t until;
} job_follower_t;

/** A job. */
typedef struct
{
  tbl_id_t self;
  job_rec_t *rec;
  uint64_t version;
  bool runs_here;       /**< this VM runs it */
  job_item_t *items;    /**< as many as the record has */
  uint32_t waiting;     /**< items in WAITING */
  buf_t *bodies;        /**< parts; NULL until this VM runs the job */
  bool *body_requested; /**< parts that are on their way */
  clk_ms_t body_retry;  /**< no part is asked for before */
  buf_t *texts;         /**< of listed items, as far as they are at hand */
  job_follower_t *followers; /**< where this VM runs the job */
  size_t follower_count;
  bool writing;         /**< a write or look of the record is in progress */
  bool end_wanted;      /**< a caller asked for its end */
  clk_ms_t write_retry; /**< no write of the record before */
  clk_ms_t route_missing_since; /**< since when no route leads to its items;
                            CLK_NEVER: one does */
} job_t;

/** A run of an item. */
typedef struct
{
  tbl_id_t self;
  tbl_id_t job;
  uint32_t item;
  uint64_t call;
  uint64_t in_flight; /**< handle of rte */
  const char *upstream;
  clk_ms_t started;
  int status; /**< 0: no head yet */
  sse_t events;
} job_run_t;

/** A job that is being accepted. */
typedef struct
{
  tbl_id_t self;
  uint64_t caller; /**< 0: gone */
  job_rec_t *rec;
  buf_t record;
  buf_t *parts;
  bool *part_due;        /**< parts that are to be sent (again) */
  uint32_t parts_stored; /**< parts that stand */
  bool record_due;       /**< the record is to be sent (again) */
  clk_ms_t retry_at;
  bool maybe_stored; /**< it may stand */
  clk_ms_t arrived;
  clk_ms_t deadline; /**< no further tries from then on */
} job_submit_t;

/** A caller who waits for an answer about a job. */
typedef struct
{
  tbl_id_t self;
  uint64_t caller;
  ev_job_op_t op;
  char *id;
  char *customer;
  char *item;
  uint64_t after;
  clk_ms_t wait_until;    /**< news may be waited for that long */
  clk_ms_t deadline;      /**< then the answer is that it is not known */
  bool record_read;       /**< the record has been read for this call */
  bool record_reading;    /**< and is being read */
  clk_ms_t retry_at;      /**< a read failed: no other before */
  bool following;         /**< the runner has been asked to tell of news */
  bool latest;            /**< read texts and bodies without regard to cost */
  uint32_t pending_reads; /**< reads of texts or of a body */
} job_call_t;

/** Tags of timers. */
enum
{
  JOB_TIMER_TICK,
  JOB_TIMER_FEED,
  JOB_TIMER_NO_WORKER,
};

struct job_set
{
  job_desc_t desc;
  const cfg_doc_t *doc;
  tbl_t *jobs;          /**< job_t */
  tbl_t *runs;          /**< job_run_t */
  tbl_t *submits;       /**< job_submit_t */
  tbl_t *calls;         /**< job_call_t */
  tbl_t *ops;           /**< job_op_t */
  GHashTable *by_id;    /**< id to job_t */
  const char **runners; /**< names of VMs that run jobs */
  size_t runner_count;
  clk_ms_t worker_seen_at;     /**< when a worker was last seen to answer */
  uint64_t feed_list_revision; /**< revision of the first page being read */
  uint64_t revision;           /**< of the feed; 0: the whole is to be read */
  char *feed_after;
  bool ticking;
  bool leaving;
  GHashTable
      *room_seen;    /**< upstream to the news of others that runs went by */
  size_t text_bytes; /**< of all texts at hand */
};

/* job_follow.c */

/** The VM that runs JOB, as far as is known here; NULL: none. */
const char *job_runner (const job_set_t *j, const job_t *job);
/** Tell those who are to know of the record as it stands. */
void job_update_send (job_set_t *j, env_t *env, const job_t *job);
/** Have the runner of JOB tell of news while C waits. */
void job_follow (job_set_t *j, env_t *env, job_call_t *c, const job_t *job);
/** MSG_JOB_FOLLOW has come; false: it cannot be read. */
bool job_follow_received (job_set_t *j, env_t *env, const char *vm,
                          mpk_reader_t *r);

/* job.c */
job_t *job_find (const job_set_t *j, const char *id);
/** Take a record that stands, or stood, at VERSION. */
job_t *job_record_apply (job_set_t *j, env_t *env, uint64_t version,
                         buf_t bytes);
void job_call_platform (job_set_t *j, env_t *env, job_op_kind_t kind,
                        tbl_id_t owner, uint32_t index, const plt_req_t *req);
void job_tick_arm (job_set_t *j, env_t *env);
clk_ms_t job_unix_now (const job_set_t *j, const env_t *env);
/** Whether nothing is left to be done about it. */
bool job_is_finished (const job_t *job);
/** Keep a copy of an item's text. */
void job_text_cache (job_set_t *j, job_t *job, uint32_t item, buf_t text);

/* job_feed.c */
void job_feed_read (job_set_t *j, env_t *env);
void job_feed_replied (job_set_t *j, env_t *env, const ev_platform_t *reply);

/* job_submit.c */
void job_submit (job_set_t *j, env_t *env, const char *customer,
                 const cfg_route_t *route, const ev_request_t *req);
/** Send what is due. */
void job_submit_step (job_set_t *j, env_t *env, job_submit_t *s);
void job_submit_replied (job_set_t *j, env_t *env, const job_op_t *op,
                         const ev_platform_t *reply);

/* job_read.c */
void job_call_start (job_set_t *j, env_t *env, const char *customer,
                     const ev_request_t *req);
/** Answer C if that can be done now. */
void job_call_step (job_set_t *j, env_t *env, job_call_t *c);
void job_call_free (job_set_t *j, job_call_t *c);
void job_read_replied (job_set_t *j, env_t *env, const job_op_t *op,
                       const ev_platform_t *reply);

/* job_run.c */
void job_runs_start (job_set_t *j, env_t *env);
void job_runs_preempt (job_set_t *j, env_t *env);
/** Stop the runs of JOB's items; what came is kept. */
void job_runs_stop (job_set_t *j, env_t *env, job_t *job);
/** Stop the run of ITEM, if any; what came is kept. */
void job_run_stop (job_set_t *j, env_t *env, job_item_t *item);
void job_run_body_replied (job_set_t *j, env_t *env, const job_op_t *op,
                           const ev_platform_t *reply);

/* job_list.c */
/** The outcome of an item is known: bring it to the record. */
void job_outcome_set (job_set_t *j, env_t *env, job_t *job, uint32_t index,
                      bool completed);
void job_list_step (job_set_t *j, env_t *env, job_t *job);
void job_list_replied (job_set_t *j, env_t *env, const job_op_t *op,
                       const ev_platform_t *reply);

#endif

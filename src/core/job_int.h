/** @file
 * Internals of the job module, shared by its files and its test; not for other
 * modules.
 *
 * job.c keeps the jobs and passes replies on, job_feed.c reads the feed of
 * records, job_news.c says whether they are new enough to start items on,
 * job_submit.c accepts jobs, job_admit.c refuses those that cannot
 * end in time, job_read.c responds to calls, job_run.c runs items in the order
 * of job_order.c, job_check.c says what may be sent, job_list.c gives results
 * their positions, and job_follow.c sends updates to peers.  A call is a
 * caller's request about an existing job.
 */
#ifndef RTS_JOB_INT_H
#define RTS_JOB_INT_H

#include "core/jfc.h"
#include "core/job.h"
#include "core/job_rec.h"
#include "core/mpk.h"
#include "core/sse.h"
#include "core/tbl.h"

#include <glib.h>

/** Prefixes of object names in the platform. */
#define JOB_RECORD_PREFIX "jobs/"
#define JOB_BODY_PREFIX "job-bodies/"
#define JOB_TEXT_PREFIX "job-texts/"

/** Interval of the checks of calls, submissions and jobs. */
#define JOB_TICK_MS 50

/** Pause before a failed platform call is repeated. */
#define JOB_RETRY_MS 150

/** Purpose of a platform call. */
typedef enum
{
  JOB_OP_FEED,
  JOB_OP_SUBMIT_PART,
  JOB_OP_SUBMIT_RECORD,
  JOB_OP_SUBMIT_CHECK, /**< the record, before a job is refused as late */
  JOB_OP_READ_RECORD,  /**< the record, for a caller */
  JOB_OP_READ_TEXT,    /**< the text of a result, for a caller */
  JOB_OP_READ_BODY,    /**< the part with an item's body, for a caller */
  JOB_OP_RUN_BODY,     /**< a part, to run its items */
  JOB_OP_LIST_TEXT,    /**< writes the text of a result */
  JOB_OP_LIST_RECORD,  /**< writes the record with new results */
  JOB_OP_LIST_REREAD,  /**< reads the record after a write whose outcome is
                            unknown */
} job_op_kind_t;

/** A platform call in progress. */
typedef struct
{
  job_op_kind_t kind;
  tbl_id_t owner; /**< job_t, job_submit_t or job_call_t, by kind */
  uint32_t index; /**< item or part, by kind */
} job_op_t;

/** State of an item, as far as this VM knows. */
typedef enum
{
  JOB_ITEM_WAITING,      /**< waits for a run */
  JOB_ITEM_RUNNING,      /**< runs at an upstream */
  JOB_ITEM_TEXT_PENDING, /**< is complete; its text has to be written */
  JOB_ITEM_TEXT_WRITING, /**< the write of its text is in progress */
  JOB_ITEM_LIST_PENDING, /**< its result has to be added to the record */
  JOB_ITEM_LISTED,       /**< its result has a position in the record */
} job_item_state_t;

/** Longest time that a read may wait for new results. */
#define JOB_POLL_MS_MAX (1 * CLK_SECOND)

/** Most upstreams that are remembered to have failed one item. */
#define JOB_FAILED_AT_MAX 8

/** Progress of an item at the VM that runs its job. */
typedef struct
{
  job_item_state_t state;
  bool completed;         /**< outcome; valid from JOB_ITEM_TEXT_PENDING on */
  uint32_t failures;      /**< runs whose response had status 500 */
  const char **failed_at; /**< upstreams that sent them, each once; NULL:
                               none */
  uint32_t failed_at_count; /**< of failed_at, at most JOB_FAILED_AT_MAX */
  uint64_t request_hash;    /**< crs_request_hash; 0: not known yet */
  bool has_ended_one;       /**< as in crs_query_t */
  uint32_t fruitless;  /**< last runs in a row that have brought nothing */
  clk_ms_t not_before; /**< earliest time of the next run or write */
  GString *text;       /**< data of the events received; NULL: none */
  uint64_t last_event; /**< id of the last event received; 0: none */
  char *deployment;    /**< where TEXT began, if its upstreams have versions;
                            NULL: no event, or none has */
  char *version;       /**< DEPLOYMENT: of the software of TEXT's upstreams;
                            "": not known */
  clk_ms_t full_since; /**< since when the upstreams of VERSION, or those that
                            are not in failed_at, have had no room; CLK_NEVER:
                            they had */
  tbl_id_t run;        /**< job_run_t in JOB_ITEM_RUNNING */
  const cfg_route_t *route; /**< of ROUTE_EPOCH; NULL: none */
  uint64_t route_epoch;     /**< job_set.route_epoch of ROUTE; 0: not looked
                                 up */
} job_item_t;

/** A VM that gets updates of a job for a while. */
typedef struct
{
  char *vm;
  clk_ms_t until; /**< end of the subscription */
} job_follower_t;

/** A job. */
typedef struct
{
  tbl_id_t self;
  job_rec_t *rec;
  uint64_t version;     /**< of the record in the platform */
  bool runs_here;       /**< this VM runs the job */
  job_item_t *items;    /**< one for each item of the record */
  uint32_t waiting;     /**< count of items in JOB_ITEM_WAITING */
  buf_t *bodies;        /**< parts that have been read, by number; NULL until
                             this VM runs the job */
  bool bodies_stored;   /**< this VM has seen that all parts are stored */
  bool *body_requested; /**< whether the read of a part is in progress */
  clk_ms_t body_retry;  /**< earliest time of the next read of a part */
  buf_t *texts;         /**< cached texts of results, by item */
  job_follower_t *followers; /**< VMs that asked this VM for updates */
  size_t follower_count;
  bool writing;    /**< a write or re-read of the record is in progress */
  bool end_wanted; /**< a caller asked for the end of the job */
  clk_ms_t confirmed_at; /**< the runner has confirmed that the record was the
                              newest at this time */
  clk_ms_t text_missing_at; /**< when the runner last said that it lacks a
                                 text */
  clk_ms_t pending_since;   /**< time since which a result waits to be listed;
                                 CLK_NEVER: none does */
  clk_ms_t write_retry; /**< earliest time of the next write of the record */
  clk_ms_t route_missing_since; /**< time since no route matches the items;
                                     CLK_NEVER: a route matches */
} job_t;

/** A run of an item. */
typedef struct
{
  tbl_id_t self;
  tbl_id_t job;
  uint32_t item;
  uint64_t call;      /**< id of the upstream call (upc.h) */
  uint64_t in_flight; /**< the router's handle (rte_pick_t.handle) */
  const char *upstream;
  const char *deployment;
  const char *version; /**< as in rte_pick_t */
  clk_ms_t started;
  bool close_delimited;   /**< as in ev_upstream_t */
  uint64_t resumed_after; /**< id of the last event before the run; 0: none */
  int status;             /**< HTTP status; 0: no response head yet */
  size_t received;        /**< bytes of the response's body */
  clk_ms_t progress_at;   /**< time of the response's head or of its last whole
                               event */
  sse_t events;
} job_run_t;

/** State of the question to the runner whether a job can end in time. */
typedef enum
{
  JOB_ADMIT_PASSED,  /**< it was not asked, or the job is not refused */
  JOB_ADMIT_ASKED,   /**< its answer is awaited; nothing has been written */
  JOB_ADMIT_READING, /**< the job is too late; whether its record is stored is
                          being read, and nothing has been written */
} job_admit_state_t;

/** Longest id or path in a question, in bytes. */
#define JOB_ADMIT_TEXT_MAX ((size_t)4096)

/** A job that the runner is asked about. */
typedef struct
{
  const char *id;
  const char *path; /**< of its route */
  uint32_t items;
  clk_ms_t due_ms; /**< until it is due */
} job_admit_t;

/** A submission: a job that is not accepted yet. */
typedef struct
{
  tbl_id_t self;
  uint64_t caller; /**< 0: the caller has disconnected */
  job_rec_t *rec;
  buf_t record;            /**< REC, encoded */
  buf_t *parts;            /**< contents of the objects with the bodies */
  bool *part_due;          /**< whether a part has to be written (again) */
  uint32_t parts_stored;   /**< count of parts that have been written */
  bool record_due;         /**< whether the record has to be written (again) */
  bool record_writing;     /**< a write of it is in progress */
  bool record_stored;      /**< by this submission or an earlier one */
  bool created;            /**< by this submission */
  uint64_t stored_version; /**< of the stored record; 0: not known */
  clk_ms_t retry_at;       /**< earliest time of the next write */
  bool maybe_stored;       /**< a write of the record had an unknown outcome */
  clk_ms_t arrived;
  clk_ms_t deadline; /**< time at which the caller gets an error */
  job_admit_state_t admit;
  const char *admit_vm;    /**< the runner that was asked */
  clk_ms_t admit_until;    /**< end of the wait of ADMIT */
  jfc_forecast_t forecast; /**< of JOB_ADMIT_READING */
} job_submit_t;

/** A call: a caller's request about an existing job. */
typedef struct
{
  tbl_id_t self;
  uint64_t caller;
  ev_job_op_t op;
  char *id; /**< of the job; owns the other strings */
  char *customer;
  char *item;     /**< id, for a read of a body */
  uint64_t after; /**< position of the first result wanted */
  clk_ms_t arrived;
  clk_ms_t wait_until;  /**< end of the wait for new results */
  clk_ms_t deadline;    /**< time at which the caller gets an error */
  bool record_read;     /**< the record has been read for this call */
  bool record_reading;  /**< the read of the record is in progress */
  clk_ms_t retry_at;    /**< earliest time of the next read */
  clk_ms_t followed_at; /**< when the runner was asked for updates; 0: it was
                             not */
  clk_ms_t texts_requested_at; /**< when the runner was asked for texts; 0: it
                                    was not */
  bool latest;                 /**< reads of objects must not be stale */
  uint32_t pending_reads;      /**< reads of texts or a body in progress */
} job_call_t;

/** Tags of timers. */
enum
{
  JOB_TIMER_TICK,
  JOB_TIMER_FEED,
  JOB_TIMER_NO_WORKER,
  JOB_TIMER_ADMIT,
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
  GHashTable *by_id;    /**< job id -> job_t */
  const char **runners; /**< names of the VMs that may run jobs */
  size_t runner_count;
  clk_ms_t runners_changed_at; /**< last change of the runners */
  clk_ms_t feed_read_at;       /**< last read of the feed that succeeded */
  clk_ms_t feed_sent_at;       /**< when the read of the feed that is in
                                    progress was sent, or its first page */
  bool feed_reading;           /**< a read of the feed is in progress */
  bool feed_hurried;           /**< it is made before its time */
  bool feed_stale;             /**< its answer may be seconds old */
  bool feed_failing; /**< the last read of the feed that was not stale had no
                          answer */
  clk_ms_t news_at;  /**< the records are those of this time or later;
                          CLK_NEVER: of no known time */
  clk_ms_t known_since;    /**< since when the others may know this VM, without
                                a gap */
  clk_ms_t pumped_at;      /**< last job_pump */
  bool news_held;          /**< items wait for news; for the log */
  clk_ms_t worker_seen_at; /**< last time that a worker was up */
  uint64_t feed_list_revision; /**< of the first page of the list */
  uint64_t revision;           /**< of the feed; 0: list all records first */
  char *feed_after; /**< last name of the previous page; NULL: none */
  bool ticking;     /**< the tick timer is armed */
  bool leaving;     /**< a graceful shutdown has begun */
  uint64_t
      route_epoch; /**< number of the document whose routes are in force */
  GPtrArray *full; /**< char *: deployments that have had no room in the pass
                        of job_runs_start that is in progress */
  const cfg_route_t *full_route; /**< a route all of whose deployments are in
                                      FULL; NULL: none is known */
  GHashTable *occupancy_seen; /**< upstream -> update_count (rte_occupancy_t)
                                 of the last check for preemption */
  size_t text_bytes;          /**< of all cached texts */
  GHashTable *paces;          /**< path of a route -> jfc_pace_t */
  jfc_width_t width;          /**< of the items that run here */
  jfc_turn_t turn;            /**< of the late items that run here */
  GQueue *promises;           /**< jobs that this VM, as runner, has let pass
                                   and whose records it does not have yet */
};

/** A number that names item INDEX of JOB at this VM. */
uint64_t job_item_tag (const job_t *job, uint32_t index);

/* job_follow.c */

/** The runner of the job ID: the VM that runs it, as far as this VM knows;
 * NULL: none. */
const char *job_runner (const job_set_t *j, const char *id);
/** Sends JOB's record to its runner and followers; in a small fleet, to all
 * VMs. */
void job_update_send (job_set_t *j, env_t *env, const job_t *job);
/** Asks the VM that runs C's job for updates while C waits, once; JOB may be
 * NULL, if it is not known here. */
void job_follow (job_set_t *j, env_t *env, job_call_t *c, const job_t *job);
/** Whether the runner has confirmed JOB's record since C arrived. */
bool job_is_confirmed (const job_set_t *j, const env_t *env,
                       const job_call_t *c, const job_t *job);
/** Asks the runner for the text of ITEM; false when that is not possible. */
bool job_text_request (job_set_t *j, env_t *env, const job_t *job,
                       uint32_t item);
/** Handles a message of job_follow.c from VM; false when the message is
 * malformed. */
bool job_follow_received (job_set_t *j, env_t *env, const char *vm,
                          uint16_t kind, mpk_reader_t *r);

/* job.c */

/** The job with the id ID; NULL when this VM does not know the job. */
job_t *job_find (const job_set_t *j, const char *id);
/** Uses the record in BYTES, of VERSION, unless a newer one is known.  Returns
 * the job; NULL when BYTES cannot be decoded. */
job_t *job_record_apply (job_set_t *j, env_t *env, uint64_t version,
                         buf_t bytes);
/** Makes the platform call REQ and remembers its purpose. */
void job_call_platform (job_set_t *j, env_t *env, job_op_kind_t kind,
                        tbl_id_t owner, uint32_t index, const plt_req_t *req);
void job_tick_arm (job_set_t *j, env_t *env);
clk_ms_t job_unix_now (const job_set_t *j, const env_t *env);
/** Whether this VM knows that object PART of JOB's bodies is stored. */
bool job_part_is_stored (const job_t *job, uint32_t part);
/** Whether this VM knows that JOB was accepted, with all its bodies, or needs
 * none of them any more. */
bool job_was_accepted (const job_t *job);
/** Whether JOB was ended or all its items have results. */
bool job_is_finished (const job_t *job);
/** Takes the next step of the calls about job ID. */
void job_calls_step (job_set_t *j, env_t *env, const char *id);
/** Caches a copy of the result text of ITEM. */
void job_text_cache (job_set_t *j, job_t *job, uint32_t item, buf_t text);

/* job_feed.c */
/** The mean pause before the next read.  A VM that runs jobs must know that it
 * has their newest records; the others learn of a job when a caller asks for
 * it (job_follow.c), and read less often the more of them there are. */
clk_ms_t job_feed_pause (const job_set_t *j, const env_t *env);
void job_feed_read (job_set_t *j, env_t *env);
void job_feed_replied (job_set_t *j, env_t *env, const ev_platform_t *reply);

/** Reads the feed at its time. */
void job_feed_read_due (job_set_t *j, env_t *env);
/** Reads the feed before its time, unless a read is in progress. */
void job_feed_hurry (job_set_t *j, env_t *env);

/* job_news.c */
/** Whether items may start on the records that this VM has; asks for newer
 * ones if not. */
bool job_news_suffice (job_set_t *j, env_t *env);
/** Whether this VM runs a job that has items to start. */
bool job_news_wanted (const job_set_t *j);
/** The age up to which items start on records, in ms. */
clk_ms_t job_news_bound (const job_set_t *j);
/** Notes that the others do not know this VM, as its entry is not listed or
 * it stood still. */
void job_news_known_update (job_set_t *j, const env_t *env);

/* job_check.c: why something may not be sent, as printable text; NULL: it may.
 * Texts may be owned by CTX. */
const char *job_item_fault (void *ctx, const char *id, const char *target,
                            http_headers_t headers);
/** The same for a whole submission, which has an id, with the place of the
 * fault. */
const char *job_submitted_fault (void *ctx, const ev_job_t *submitted);
/** The same for item INDEX of the record REC. */
const char *job_stored_fault (void *ctx, const job_rec_t *rec, uint32_t index);

/* job_submit.c */
void job_submit (job_set_t *j, env_t *env, const char *customer,
                 const cfg_route_t *route, const ev_request_t *req);
/** Makes the writes of S that are due. */
void job_submit_step (job_set_t *j, env_t *env, job_submit_t *s);
void job_submit_replied (job_set_t *j, env_t *env, const job_op_t *op,
                         const ev_platform_t *reply);

/** Refuses the job of S, of which nothing was written and half of the items
 * would be late.  Frees S. */
void job_submit_refuse_late (job_set_t *j, env_t *env, job_submit_t *s);

/* job_admit.c */
void job_admit_setup (job_set_t *j);
void job_admit_clear (job_set_t *j);
/** Asks the runner whether the job of S, of which nothing has been written,
 * can end in time; if it need not be asked, S is passed at once. */
void job_admit_begin (job_set_t *j, env_t *env, job_submit_t *s);
/** Whether S may be written: it has passed, or does so as no answer has come
 * in time. */
bool job_admit_step (env_t *env, job_submit_t *s);
/** Takes the next step of submissions whose wait has ended. */
void job_admit_timeout (job_set_t *j, env_t *env);
/** The record of S was read before the job is refused.  May free S. */
void job_admit_read (job_set_t *j, env_t *env, job_submit_t *s,
                     const ev_platform_t *reply);
/** Handles MSG_JOB_ADMIT or MSG_JOB_ADMITTED from VM; false when the message
 * is malformed. */
bool job_admit_received (job_set_t *j, env_t *env, const char *vm,
                         uint16_t kind, mpk_reader_t *r);
/** Measures how many items run here at a time. */
void job_width_measure (job_set_t *j, const env_t *env);

/* job_read.c */
void job_call_start (job_set_t *j, env_t *env, const char *customer,
                     const ev_request_t *req);
/** Takes the next step of C: a response or a platform call.  May free C. */
void job_call_step (job_set_t *j, env_t *env, job_call_t *c);
void job_call_free (job_set_t *j, job_call_t *c);
void job_read_replied (job_set_t *j, env_t *env, const job_op_t *op,
                       const ev_platform_t *reply);

/* job_order.c */

/** The due time of JOB on the clock of the node. */
clk_ms_t job_due (const job_set_t *j, const job_t *job);
/** Expected time that item INDEX of JOB still has to run; 0 when it is not
 * known. */
double job_remaining_ms (const job_set_t *j, const job_t *job, uint32_t index);
/** Whether the item is not expected to be on time. */
bool job_item_is_late (const job_set_t *j, const env_t *env, const job_t *job,
                       uint32_t index);
/** The job whose item comes next of those that can start now; *INDEX is set to
 * that item.  NULL: none. */
job_t *job_order_next (job_set_t *j, const env_t *env, uint32_t *index);
/** The run at UPSTREAM whose item comes last of those that may be preempted;
 * NULL: none. */
job_run_t *job_order_last_run (const job_set_t *j, const env_t *env,
                               const char *upstream);
/** Learns from RUN of JOB, which has completed its item, how long items of the
 * route take. */
void job_order_learn (job_set_t *j, const env_t *env, const job_t *job,
                      const job_run_t *run);
/** Sets BODY to the body of ITEM of JOB; false when its part has not been
 * read. */
bool job_item_body (const job_t *job, const job_rec_item_t *item, buf_t *body);

/* job_run.c */
/** The route of item INDEX of JOB; NULL: none. */
const cfg_route_t *job_item_route (const job_set_t *j, job_t *job,
                                   uint32_t index);
/** Whether item INDEX of JOB can only go to deployments that have had no room
 * in this pass. */
bool job_item_is_behind_full (job_set_t *j, job_t *job, uint32_t index);
void job_runs_start (job_set_t *j, env_t *env);
/** Preempts runs at upstreams with more batch items than free slots. */
void job_runs_preempt (job_set_t *j, env_t *env);
/** Stops the runs of JOB's items; received events are kept. */
void job_runs_stop (job_set_t *j, env_t *env, job_t *job);
/** Stops the run of ITEM, if any; received events are kept. */
void job_run_stop (job_set_t *j, env_t *env, job_item_t *item);
void job_run_body_replied (job_set_t *j, env_t *env, const job_op_t *op,
                           const ev_platform_t *reply);

/* job_list.c */

/** Sets the outcome of item INDEX and starts to record it. */
void job_outcome_set (job_set_t *j, env_t *env, job_t *job, uint32_t index,
                      bool completed);
/** Makes the writes of texts and of the record that are due. */
void job_list_step (job_set_t *j, env_t *env, job_t *job);
void job_list_replied (job_set_t *j, env_t *env, const job_op_t *op,
                       const ev_platform_t *reply);

/* job_text.c */
/** Drop the text of ITEM, to begin anew. */
void job_text_drop (job_item_t *item);

/** Drop the text of ITEM if ROUTE does not allow the deployment that began
 * it. */
void job_text_check_route (job_item_t *item, const cfg_route_t *route);

/** Append a complete EVENT to ITEM's text; false when events are missing
 * before it. */
bool job_text_append (job_item_t *item, const sse_event_t *event);

/** Bind the item of RUN, whose text begins with it, to the version of the
 * run's upstream. */
void job_text_began (const job_set_t *j, const job_t *job,
                     const job_run_t *run);

/** The only version to which ITEM may be sent; NULL: any, as it is not bound
 * or all upstreams are of its version. */
const char *job_version_wanted (const job_set_t *j, const env_t *env,
                                const job_item_t *item);

/** Handle that no upstream of the version of item INDEX could be picked: the
 * item waits if one may be later, though not for long, else it begins anew. */
void job_version_missing (const job_set_t *j, env_t *env, const job_t *job,
                          uint32_t index);

#endif

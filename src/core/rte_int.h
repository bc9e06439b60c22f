/** @file
 * State and functions that the files of the router (rte_*.c) share.  Other
 * modules use rte.h instead.
 *
 * Terms: the poller of an upstream is the VM that polls the upstream's load
 * and cache events.  A usage message tells a poller how many requests a VM has
 * in flight; the poller's response is called a report.  An upstream's response
 * to a load poll is called a load report.
 */
#ifndef RTS_RTE_INT_H
#define RTS_RTE_INT_H

#include "core/cht.h"
#include "core/cld.h"
#include "core/flr.h"
#include "core/mpk.h"
#include "core/rte.h"
#include "core/tbl.h"
#include "core/upl.h"
#include "core/upl_hold.h"

#include <glib.h>

/** Bits of rte_upstream_t.state, also sent in MSG_ROUTE_REPORT. */
enum
{
  RTE_BIT_REPORTED = 1, /**< the upstream has reported its load */
  RTE_BIT_LEAVING = 2,  /**< the upstream must get no new requests */
  RTE_BIT_SILENT = 4,   /**< RTE_SILENT_POLLS polls in a row have failed */
};

/** Number of low bits of a report's state that hold RTE_BIT_*; the upstream's
 * start is above them. */
#define RTE_STATE_BITS 8
#define RTE_STATE_MASK ((1U << RTE_STATE_BITS) - 1)
/** Number of recent cache events that a poller keeps for other VMs. */
#define RTE_EVENTS_KEPT 256
/** Maximum number of cache events of one upstream in a report. */
#define RTE_EVENTS_SENT 32
/** Failed load polls in a row after which an upstream counts as silent. */
#define RTE_SILENT_POLLS 3

/** States of charts/upstream.ini, in the order of the names in rte_health.c.
 */
typedef enum
{
  RTE_WELL,
  RTE_SUSPECTED, /**< excluded until suspect_until, after a failure */
  RTE_PROVING,   /**< one request at a time tests the upstream */
  RTE_HEALTH_NUM
} rte_health_t;

/** Events of charts/upstream.ini, in the order of the names in rte_health.c.
 */
typedef enum
{
  RTE_EV_ANSWER,
  RTE_EV_FAIL,
  RTE_EV_LAPSE,
  RTE_EV_NUM
} rte_health_event_t;

/** A change of an upstream's prompt cache. */
typedef struct
{
  uint64_t prefix;
  bool added; /**< false: the prefix was evicted */
} rte_cache_event_t;

/** State that only the poller of an upstream has. */
typedef struct
{
  GHashTable *usage;     /**< VM name to rte_usage_t */
  GHashTable *failing;   /**< VM name to what the VM has said last of failed
                              requests (rte_failing.c) */
  uint64_t load_call;    /**< upstream call of the load poll; 0: none */
  clk_ms_t load_at;      /**< when that call was sent */
  bool load_leaving;     /**< the response's head says that the upstream is
                              leaving */
  ev_limit_t load_limit; /**< what the response's head says about a limit */
  ev_cold_t load_cold;   /**< what it says about the cold time */
  clk_ms_t load_head_at; /**< when that head came */
  ev_load_t load_stated; /**< what it states of the load */
  uint64_t cache_call;   /**< upstream call of the cache poll; 0: none */
  clk_ms_t cache_at;     /**< when that call was sent */
  uint64_t cache_seq;    /**< last sequence number of the upstream's events */
  char *load_body;       /**< part of the load response received so far */
  char *cache_body;      /**< part of the cache response received so far */
  unsigned failed_polls; /**< failed load polls in a row */
  uint64_t event_count;  /**< cache events received since polling began */
  rte_cache_event_t events[RTE_EVENTS_KEPT]; /**< ring of the last events */
} rte_poll_t;

/** Last usage message of one VM for one upstream. */
typedef struct
{
  uint32_t in_flight;
  uint32_t batch; /**< batch requests among them */
  bool wants;     /**< as in rte_batch_wants */
  clk_ms_t at;    /**< when the message arrived */
} rte_usage_t;

/** Failed responses of one start of an upstream; rte_failing.c. */
typedef struct
{
  flr_counts_t own;     /**< to requests of this VM */
  flr_counts_t others;  /**< to those of others, as the poller says */
  uint64_t others_from; /**< hash of the name of that poller */
  uint64_t others_seq;  /**< number of its message */
  bool untold;          /**< OWN has changed since the poller was told */
  clk_ms_t told_at;     /**< when the poller was told OWN */
  clk_ms_t announce_at; /**< as the poller: earliest time of the next message
                             to all VMs */
  bool suspected;       /**< more expensive in the choice */
  double excess;        /**< flr_candidate_t.excess */
  clk_ms_t since;       /**< begin of the last suspicion */
  clk_ms_t probe_at;    /**< SUSPECTED: when this VM may probe it */
  unsigned probes;      /**< in this suspicion */
  clk_ms_t log_at;      /**< earliest time of the next log line */
} rte_failing_t;

/** One upstream. */
typedef struct rte_upstream
{
  tbl_id_t id;
  void *strings; /**< talloc context of the strings below */
  char *name;
  char *address;
  char *data_centre;
  char *deployment;
  uint64_t hash;     /**< hash of the name */
  GQueue unanswered; /**< rte_inflight_t without a first byte, oldest first */
  char *poller;      /**< VM that polls this upstream; NULL: unknown */
  char *mint;        /**< VM that gives out the tokens of its limit; NULL:
                          unknown */
  uint32_t slots;
  uint32_t online;        /**< this VM's in-flight online requests */
  uint32_t batch;         /**< this VM's in-flight batch requests */
  uint32_t own_at_update; /**< this VM's in-flight requests when `others` was
                               last updated */
  uint32_t usage_sent;    /**< in-flight requests in the last usage message */
  clk_ms_t usage_sent_at;
  uint32_t queued; /**< this VM's in-flight requests that found no free slot */
  uint32_t state;  /**< RTE_BIT_* of the last report or poll */

  bool configured;        /**< present in the current document */
  bool was_configured;    /**< present in the one before */
  clk_ms_t dropped_at;    /**< when it was last not present any more */
  bool same_data_centre;  /**< in this VM's data centre */
  bool leaving;           /**< marked as leaving in the document */
  bool evacuated;         /**< its data centre is evacuated */
  bool in_subset;         /**< in the subset that this VM uses */
  bool fixed_identity;    /**< as in cfg_upstream_t */
  bool changed;           /**< in the router's queue of changed loads */
  clk_ms_t leaving_until; /**< out of use until then, because the upstream has
                               said that it is leaving */
  uint64_t born;          /**< as in cfg_upstream_t */
  char *version;          /**< as in cfg_upstream_t */

  clk_ms_t cold_start_ms;     /**< of the deployment; 0: not treated as cold */
  double cold_per_s;          /**< of the deployment; 0: not treated as cold */
  bool load_malformed_logged; /**< a stated load without a meaning was
                                   logged */
  lod_t lod;                  /**< what is known of the load, for an even
                                   spread */

  clk_ms_t others_at;     /**< when `others` was last updated */
  uint64_t update_count;  /**< number of updates of `others` */
  uint32_t vm_count;      /**< VMs that use this upstream, as the poller
                             counts them */
  uint32_t others;        /**< in-flight requests of other VMs, as the poller
                             counts them */
  uint32_t others_batch;  /**< batch requests among them */
  bool others_want;       /**< another VM wants slots here for batch requests
                               that have to start soon; as old as `others` */
  uint32_t excess;        /**< requests in the last load report beyond
                               rte_usage_load at that time; see hidden */
  uint32_t hidden;        /**< requests that the upstream reports and no VM
                               counts, such as those of a VM that was lost */
  uint32_t running;       /**< of the last load report */
  uint32_t waiting;       /**< of the last load report */
  uint32_t own_at_report; /**< this VM's in-flight requests at that report */
  clk_ms_t report_at;
  uint64_t seq;         /**< sequence number of the last load report */
  uint64_t events_seen; /**< rte_poll_t.event_count of the last report */

  double slowness; /**< mean ratio of observed to expected time to first byte,
                        relative to the deployment's bias */
  clk_ms_t slowness_at;
  clk_ms_t failed_at;
  clk_ms_t suspect_until;
  unsigned failures; /**< times suspected since RTE_FAILURES_RESET_MS passed
                          without a failure */
  rte_health_t health;
  rte_failing_t failing;

  rte_poll_t *poll; /**< NULL unless this VM is the poller */
} rte_upstream_t;

/** One deployment with means learned over all its upstreams. */
typedef struct
{
  char *name;
  GPtrArray *upstreams; /**< rte_upstream_t, in the document's order */
  bool was_listed;      /**< the document has named an upstream of it */
  bool has_versions;    /**< and one that had a version */
  char *sole_version;   /**< of all upstreams of the list; NULL: none, or not
                             of all */
  clk_ms_t sole_since;
  double hit_ms;  /**< time to first byte when the prefix is cached and a
                       slot is free */
  double miss_ms; /**< the same when the prefix is not cached */
  double busy_ms; /**< time that a request occupies a slot */
  double bias;    /**< ratio of observed to expected time to first byte */
  clk_ms_t cold_start_ms; /**< the last one with a meaning; 0: none */
  double cold_per_s;      /**< the same */
  bool cold_logged;       /**< one without a meaning was logged */

  clk_ms_t stated_at;      /**< when a response last stated a load; 0: never */
  clk_ms_t even_logged_at; /**< time of the last line of the log on the spread
                                of its requests */

  clk_ms_t failing_at; /**< time of the last rte_failing_update that compared
                            its upstreams */
  bool has_failing;    /**< one of them is suspected of failing */
} rte_deployment_t;

/** One in-flight request. */
typedef struct
{
  tbl_id_t id;
  tbl_id_t upstream;
  rte_deployment_t *deployment;
  GList *unanswered; /**< link in the upstream's queue of that name; NULL after
                          the first byte */
  clk_ms_t sent_at;
  clk_ms_t first_at;  /**< when the first byte arrived */
  double expected_ms; /**< expected time to first byte */
  uint64_t prefix;    /**< rte_prefix of the prompt; 0: none */
  bool prefix_cached; /**< the prefix was expected to be cached */
  bool batch;
  bool queued;        /**< no slot was believed free at the pick */
  bool answer_failed; /**< its response is a failure, from whose times nothing
                           is learned */
  const crs_query_t *crash; /**< as in rte_query_t, until rte_started */
  double expected_pace;     /**< part of expected_ms: the momentary pace; 0:
                                 the request was not spread evenly */
  double stated_pace;       /**< as the response stated; 0: it did not */
} rte_inflight_t;

typedef struct rte_prefix_index rte_prefix_index_t;
typedef struct rte_leaving rte_leaving_t;

/** What this VM knows of the limit of one start of an upstream. */
typedef struct
{
  uint64_t born;          /**< Unix time of the start, in ms; 0: not known */
  upl_word_t word;        /**< the newest word */
  cld_t cold;             /**< whether it is cold */
  cld_phase_t cold_phase; /**< as it was last logged */
  bool cold_malformed_logged; /**< a cold time without a meaning was logged */
  bool cold_untold;           /**< what it has said of it is to be told */
  clk_ms_t mint_from;    /**< a cold upstream gets tokens of this VM's mint
                              from then on */
  clk_ms_t used_at;      /**< when an upstream of that start was last listed,
                              or spoke */
  bool reported;         /**< a load report has named a limit, so that one
                              without any says that there is none */
  bool malformed_logged; /**< a limit without a meaning was logged */
  upl_hold_t *hold;      /**< this VM's tokens */
  upl_mint_t *mint;      /**< NULL unless this VM has the mint */
  bool untold;           /**< the newest word is to be told to others */
  GHashTable *told; /**< VM name to clk_ms_t: when this VM, with the mint, told
                         it the word */
  uint32_t sent[UPL_CLASS_NUM];   /**< requests charged since the last line of
                                       the log */
  uint32_t passed[UPL_CLASS_NUM]; /**< picks that passed the upstream over,
                                       since then */
  clk_ms_t logged_at;             /**< time of that line */
} rte_limit_t;

struct rte
{
  rte_desc_t desc;
  const cht_t *health_chart;   /**< charts/upstream.ini */
  tbl_t *upstreams;            /**< rte_upstream_t */
  tbl_t *in_flight;            /**< rte_inflight_t */
  GHashTable *by_name;         /**< upstream name to rte_upstream_t */
  GHashTable *deployments;     /**< name to rte_deployment_t */
  uint64_t members_generation; /**< membership for which pollers were found */
  GQueue changed;              /**< rte_upstream_t whose load has changed */
  GQueue preemptions; /**< rte_upstream_t, once for each batch request that
                           this VM has to preempt there */
  rte_prefix_index_t *prefix_index;
  rte_leaving_t *leaving_notes; /**< upstreams that have said so themselves */
  char **evacuated;        /**< data centres, ends with NULL; NULL: none */
  GHashTable *limits;      /**< upstream name to rte_limit_t */
  clk_ms_t limit_timer_at; /**< time of the next RTE_TIMER_LIMIT, CLK_NEVER:
                                none; one that fires earlier is obsolete */
  clk_ms_t failing_until;  /**< no failure counts any more then, unless there
                                are further ones */
  uint64_t failing_seq;    /**< number of the last message on failures */
  clk_ms_t failing_malformed_at; /**< earliest time of the next log line on a
                                      malformed one */
  const rte_deployment_t *wants; /**< as in rte_batch_wants; NULL: none */
  clk_ms_t picked_at;            /**< time of the last pick */
  size_t poller_count;   /**< other VMs that poll for this one, at the last
                              exchange */
  size_t message_count;  /**< messages of the last exchange */
  clk_ms_t exchanged_at; /**< time of the last exchange */
  clk_ms_t exchange_at;  /**< time of the next exchange; a timer that fires
                              earlier is obsolete */
  bool ticking;          /**< the timers are armed */
};

/* rte_prefix.c: index of the upstreams that probably cache each prefix. */

/** Creates an index of at most MAX prefixes, owned by CTX.  Entries
 * expire after RTE_PREFIX_TTL_MS. */
rte_prefix_index_t *rte_prefix_index_setup (void *ctx, uint32_t max);
void rte_prefix_index_add (rte_prefix_index_t *idx, uint64_t prefix,
                           tbl_id_t upstream, clk_ms_t now);
void rte_prefix_index_remove (rte_prefix_index_t *idx, uint64_t prefix,
                              tbl_id_t upstream);
bool rte_prefix_index_has (const rte_prefix_index_t *idx, uint64_t prefix,
                           tbl_id_t upstream, clk_ms_t now);

/* rte_leaving.c: upstreams that have said that they are leaving. */

/** Creates an empty set of notes, owned by CTX.  It is bounded: the note on
 * the name that has been out of use for the longest time is dropped first. */
rte_leaving_t *rte_leaving_setup (void *ctx);
/** Notes that the upstream called NAME that started at BORN, 0 if that is not
 * known, has said that it is leaving.  One that started later, up to BORN_MAX,
 * may be the one that spoke.  Starts are Unix times in ms. */
void rte_leaving_note (rte_leaving_t *l, const char *name, uint64_t born,
                       uint64_t born_max, clk_ms_t now);
/** Until when the upstream called NAME that started at BORN, which the
 * document names NOW, is out of use by its own word: CLK_NEVER if it has said
 * that it is leaving or BORN is 0, 0 if it has not said so, a time if that is
 * in doubt. */
clk_ms_t rte_leaving_until (rte_leaving_t *l, const char *name, uint64_t born,
                            clk_ms_t now);

/* rte_crash.c: what the crashes' module is told. */

/** Notes which upstreams DOC no longer names, and tells those that it does. */
void rte_crash_listed (const rte_t *r, env_t *env, const cfg_doc_t *doc);
/** What FAIL of a request at U says of U's end.  What breaks at an upstream
 * that is leaving, or that was dropped from the document a while ago, was
 * planned. */
crs_end_t rte_crash_end (const rte_upstream_t *u, rte_fail_t fail,
                         clk_ms_t now);

/* rte_limit.c: upstreams that name how many requests they take. */

/** Creates an empty set of limits. */
GHashTable *rte_limits_setup (void);

/** Drops what is known of upstreams that were not listed for long. */
void rte_limits_sweep (rte_t *r, clk_ms_t now);

/** Finds the VM that gives out the tokens of U's limit again: U's poller, or
 * a VM of another data centre if U's has none. */
void rte_limit_mint_update (rte_t *r, env_t *env, rte_upstream_t *u);

/** Takes a word on U's limit, whose times may be wrong by DOUBT.  SOURCE is
 * for the log. */
void rte_limit_word (rte_t *r, env_t *env, const rte_upstream_t *u,
                     const upl_word_t *word, clk_ms_t doubt,
                     const char *source);

/** The limit of U; NULL: it has not named any. */
rte_limit_t *rte_limit_find (const rte_t *r, const rte_upstream_t *u);

/** The limit of U, made when it is first needed; NULL: there are too many, or
 * a later start of U has spoken. */
rte_limit_t *rte_limit_get (rte_t *r, const env_t *env,
                            const rte_upstream_t *u);

/** The limit of U if it names one now, or is cold; NULL: it does not. */
rte_limit_t *rte_limit_in_force (const rte_t *r, const env_t *env,
                                 const rte_upstream_t *u);

/** Sets *PLAN to what U, whose limit is L, may be sent now: the lower of what
 * it names and of what it takes while it is cold.  False: there is no limit.
 */
bool rte_limit_plan (const rte_t *r, const env_t *env, const rte_upstream_t *u,
                     const rte_limit_t *l, upl_plan_t *plan);

/** Whether U's limit has room for QUERY, as this VM has a token or U names no
 * limit. */
bool rte_limit_admits (const rte_t *r, const env_t *env,
                       const rte_upstream_t *u, const rte_query_t *query);

/** Notes that QUERY would have gone to U, or would go there, with a token. */
void rte_limit_want (rte_t *r, env_t *env, const rte_upstream_t *u,
                     const rte_query_t *query);

/** An online request could use what U takes and nobody else needs. */
void rte_limit_want_spare (rte_t *r, env_t *env, const rte_upstream_t *u);

/** Whether this VM has got such a token. */
bool rte_limit_has_spare (const rte_t *r, const env_t *env,
                          const rte_upstream_t *u);

/** Uses a token for QUERY at U, which rte_limit_admits has let pass. */
void rte_limit_charge (rte_t *r, env_t *env, const rte_upstream_t *u,
                       const rte_query_t *query);

/** Adds to PICK when this VM can send QUERY to U, which has no room for it by
 * its limit. */
void rte_limit_turn_add (const rte_t *r, const env_t *env,
                         const rte_upstream_t *u, const rte_query_t *query,
                         rte_pick_t *pick);

/** What is known of U's limit, for the status page: the rate (negative: no
 * limit) and this VM's tokens. */
double rte_limit_status (const rte_t *r, const env_t *env,
                         const rte_upstream_t *u, uint32_t *tokens);

/* rte_cold.c: upstreams that are cold. */

/** Takes the cold rate and time of D from the document's DEP; NULL: it has
 * none. */
void rte_cold_deployment_set (const rte_t *r, env_t *env, rte_deployment_t *d,
                              const cfg_deployment_t *dep);

/** Takes those of D for U, and counts U as cold if it has started a moment
 * ago. */
void rte_cold_upstream_set (rte_t *r, env_t *env, rte_upstream_t *u,
                            const rte_deployment_t *d);

/** Whether U, whose limit is L, is cold or has just been; *PLAN receives what
 * it may be sent. */
bool rte_cold_plan (const rte_t *r, const env_t *env, const rte_upstream_t *u,
                    const rte_limit_t *l, upl_plan_t *plan);

/** Whether what U may be sent now is bounded for its being cold alone. */
bool rte_cold_alone (const rte_t *r, const env_t *env,
                     const rte_upstream_t *u);

/** For how much longer U is cold; 0: it is not. */
clk_ms_t rte_cold_ms (const rte_t *r, const env_t *env,
                      const rte_upstream_t *u);

/** Logs that U's cold time has begun or ended, and returns when there is more
 * to do; CLK_NEVER: at no time. */
clk_ms_t rte_cold_step (const rte_t *r, env_t *env, const rte_upstream_t *u,
                        rte_limit_t *l);

/** A response of U, which came at SAID_AT, has said COLD. */
void rte_cold_said (rte_t *r, env_t *env, const rte_upstream_t *u,
                    const ev_cold_t *cold, clk_ms_t said_at,
                    const char *source);

/** Writes U, and what it has said of its cold time, for MSG_ROUTE_COLD. */
void rte_cold_write (mpk_writer_t *w, const env_t *env,
                     const rte_upstream_t *u, const rte_limit_t *l);

/** Handles MSG_ROUTE_COLD of VM; false: malformed. */
bool rte_cold_received (rte_t *r, env_t *env, const char *vm, const msg_t *msg,
                        void *ctx);

/* rte_tokens.c: tokens of limits between VMs. */

/** Has rte_limit_tick run at AT. */
void rte_limit_arm (rte_t *r, env_t *env, clk_ms_t at);

/** Asks for tokens, gives them out and tells words, as far as they are due. */
void rte_limit_tick (rte_t *r, env_t *env);

/** VM uses U: tells it of U's limit if this VM has the mint. */
void rte_limit_user_seen (rte_t *r, env_t *env, const rte_upstream_t *u,
                          const char *vm);

/** Handles MSG_ROUTE_TOKENS_ASK and MSG_ROUTE_TOKENS of VM; false: malformed.
 */
bool rte_limit_received (rte_t *r, env_t *env, const char *vm,
                         const msg_t *msg, void *ctx);

/** The head of a load report of U, which came at SAID_AT, has said LIMIT; the
 * request was SENT_AT. */
void rte_limit_reported (rte_t *r, env_t *env, const rte_upstream_t *u,
                         const ev_limit_t *limit, clk_ms_t sent_at,
                         clk_ms_t said_at);

/** The head of a response of U has said LIMIT; the request was SENT_AT.
 * SOURCE is for the log. */
void rte_limit_said (rte_t *r, env_t *env, const rte_upstream_t *u,
                     const ev_limit_t *limit, clk_ms_t sent_at,
                     clk_ms_t said_at, const char *source);

/* rte_even.c: what upstreams state of their load. */

/** The head of a response or of a load report of U, which came now, has stated
 * LOAD. */
void rte_load_stated (rte_t *r, env_t *env, rte_upstream_t *u,
                      const ev_load_t *load);

/** Whether the requests of D are spread by the estimates below. */
bool rte_even_applies (const rte_t *r, const env_t *env,
                       const rte_deployment_t *d);

/** Mean of the other VMs' requests at the upstreams of D that this VM uses. */
double rte_even_mean (const rte_t *r, const env_t *env,
                      const rte_deployment_t *d);

/** Estimated load of U, of D, where the others have MEAN. */
lod_estimate_t rte_even_estimate (const rte_t *r, const env_t *env,
                                  const rte_deployment_t *d, rte_upstream_t *u,
                                  double mean);

/** Logs how the load of D is spread, every RTE_EVEN_LOG_MS at most, and counts
 * the choice of CHOSEN. */
void rte_even_note (const rte_t *r, env_t *env, rte_deployment_t *d,
                    double mean, const lod_estimate_t *chosen);

/* rte.c */

/** Whether U must get no new requests: its data centre is evacuated, or the
 * document, a load report or U itself says that it is leaving. */
bool rte_gets_nothing_new (const rte_upstream_t *u, clk_ms_t now);

/** U has said that it is leaving, or a later start of it that was at BORN_MAX
 * (Unix time in ms) or before. */
void rte_leaving_learn (rte_t *r, env_t *env, const rte_upstream_t *u,
                        uint64_t born_max);

/** Adds U to the queue that rte_load_pop reads. */
void rte_load_changed (rte_t *r, rte_upstream_t *u);

/** Tags of the router's timers. */
enum
{
  RTE_TIMER_POLL,
  RTE_TIMER_EXCHANGE,
  RTE_TIMER_LIMIT,
};

/* rte_health.c: health of an upstream as this VM's own requests show it. */

/** Loads charts/upstream.ini. */
cht_t *rte_health_setup (void *ctx);
/** Moves U from RTE_SUSPECTED to RTE_PROVING if the time of suspicion is
 * over. */
void rte_health_lapse (const rte_t *r, rte_upstream_t *u, clk_ms_t now);
/** Records that a response from U has begun. */
void rte_health_response (const rte_t *r, rte_upstream_t *u, clk_ms_t now);
/** Records that a request to U has failed. */
void rte_health_fail (const rte_t *r, env_t *env, rte_upstream_t *u);

/* rte_failing.c: upstreams that fail a part of their requests. */

/** Creates rte_poll_t.failing. */
GHashTable *rte_failing_setup (void);

/** Compares the upstreams of D and begins or ends suspicions. */
void rte_failing_update (const rte_t *r, env_t *env, rte_deployment_t *d);

/** Updates all deployments and tells the pollers what is new to them; comes
 * with each exchange. */
void rte_failing_tick (rte_t *r, env_t *env);

/** Sends VM the sums for those of UPSTREAMS, COUNT upstreams that this VM
 * polls, that have failures. */
void rte_failing_sums_send (rte_t *r, env_t *env, const char *vm,
                            rte_upstream_t *const *upstreams, size_t count);

/** Handles MSG_ROUTE_FAILING and MSG_ROUTE_FAILING_SUMS of VM; false:
 * malformed. */
bool rte_failing_received (rte_t *r, env_t *env, const char *vm,
                           const msg_t *msg, void *ctx);

/** Added cost of U for QUERY by the expected loss; negative when QUERY is to
 * probe U, which it is not if it would wait for a slot there (QUEUED). */
double rte_failing_cost (const rte_query_t *query, const rte_upstream_t *u,
                         bool queued, clk_ms_t now);

/** A request of QUERY is sent to U. */
void rte_failing_picked (env_t *env, const rte_query_t *query,
                         rte_upstream_t *u);

/* rte_choice.c */

/** Estimated number of requests at U: rte_known_load and a guess at the
 * requests that other VMs have sent since the last update.  Without a recent
 * update, the estimate rests on the last load report. */
uint32_t rte_estimated_load (const rte_upstream_t *u, clk_ms_t now);

/** In-flight requests at U by the counts of all VMs, this one included. */
uint32_t rte_usage_load (const rte_upstream_t *u, clk_ms_t now);

/** rte_usage_load and the hidden requests. */
uint32_t rte_known_load (const rte_upstream_t *u, clk_ms_t now);

/** Whether U may get a new request now. */
bool rte_usable (const rte_upstream_t *u, clk_ms_t now);

/** Slowness of U; decays to 1 without new responses. */
double rte_slowness (const rte_upstream_t *u, clk_ms_t now);

/* rte_preempt.c: preemption of batch requests when no slot is free. */

/** Causes the preemption of a batch request at U, because an online request
 * took the last slot. */
void rte_preempt (rte_t *r, env_t *env, rte_upstream_t *u);

/** Preempts as many batch requests at U, which this VM polls, as are needed to
 * have one slot free. */
void rte_preempt_as_poller (rte_t *r, env_t *env, rte_upstream_t *u);

/** Handles MSG_ROUTE_SLOTS_TAKEN and MSG_ROUTE_PREEMPT from VM.  Returns false
 * when the message is malformed. */
bool rte_preempt_received (rte_t *r, env_t *env, const char *vm,
                           const msg_t *msg, void *ctx);

/* rte_poll.c */

/** Sets the state of U to STATE, which SOURCE gives: "report" for the
 * upstream's own load report, else the name of the poller. */
void rte_state_set (env_t *env, rte_upstream_t *u, uint32_t state,
                    const char *source);

void rte_poll_tick (rte_t *r, env_t *env);
/** Stops polling U: cancels the calls and frees u->poll. */
void rte_poll_stop (env_t *env, rte_upstream_t *u);

/* rte_exchange.c */

void rte_exchange_tick (rte_t *r, env_t *env);

/** In-flight requests at U of all VMs but VM and this one, by their usage
 * messages; *BATCH receives the batch requests among them.  Only for the
 * poller of U. */
uint32_t rte_others_sum (const rte_upstream_t *u, const char *vm, clk_ms_t now,
                         uint32_t *batch);

/** Records the counts in a usage message from VM.  Only for the poller of U.
 */
void rte_usage_record (rte_upstream_t *u, const env_t *env, const char *vm,
                       uint32_t in_flight, uint32_t batch);

/** Moves the next exchange of an idle VM forward, because the VM has picked an
 * upstream. */
void rte_exchange_wake (rte_t *r, env_t *env);

/* rte_poll.c */

/** Applies a cache event of U to the prefix index. */
void rte_cache_event_apply (rte_t *r, const env_t *env,
                            const rte_upstream_t *u, bool added,
                            uint64_t prefix);

/** Finds the poller of each upstream again if the membership has changed. */
void rte_pollers_update (rte_t *r, env_t *env);

#endif

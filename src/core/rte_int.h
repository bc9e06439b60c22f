/** @file
 * The state that the files of the router share; not for other modules.
 */
#ifndef RTS_RTE_INT_H
#define RTS_RTE_INT_H

#include "core/cht.h"
#include "core/rte.h"
#include "core/tbl.h"

#include <glib.h>

/** Bits of state in a report. */
enum
{
  RTE_BIT_REPORTED = 1, /**< the upstream has reported */
  RTE_BIT_LEAVING = 2,
  RTE_BIT_SILENT = 4, /**< the poller gets no reports (any more) */
};

/** Cache events kept by a poller for the VMs that ask. */
#define RTE_EVENTS_KEPT 256
/** Cache events in one report message. */
#define RTE_EVENTS_SENT 32
/** Polls of one upstream without an answer before it counts as silent. */
#define RTE_SILENT_POLLS 3

/** States of charts/upstream.ini, in the order of the names in rte_health.c.
 */
typedef enum
{
  RTE_WELL,
  RTE_SUSPECTED,
  RTE_PROVING,
  RTE_HEALTH_NUM
} rte_health_t;

/** Its events. */
typedef enum
{
  RTE_EV_ANSWER,
  RTE_EV_FAIL,
  RTE_EV_LAPSE,
  RTE_EV_NUM
} rte_health_event_t;

/** One cache event, as a poller keeps it. */
typedef struct
{
  uint64_t prefix;
  bool added;
} rte_cache_event_t;

/** What the poller of an upstream keeps for others. */
typedef struct
{
  GHashTable *usage; /**< VM name to rte_usage_t */
  uint64_t load_call;
  clk_ms_t load_at; /**< when that call was sent */
  uint64_t cache_call;
  clk_ms_t cache_at;
  uint64_t cache_seq; /**< last sequence number of the upstream's events */
  char *load_body;    /**< of the load answer in progress */
  char *cache_body;
  unsigned unanswered;  /**< polls in a row */
  uint64_t event_count; /**< events ever kept */
  rte_cache_event_t events[RTE_EVENTS_KEPT];
} rte_poll_t;

/** Requests that a VM says it has in flight. */
typedef struct
{
  uint32_t in_flight;
  uint32_t batch; /**< among them */
  clk_ms_t at;
} rte_usage_t;

/** One upstream. */
typedef struct rte_upstream
{
  tbl_id_t id;
  void *strings; /**< owns the strings below */
  char *name;
  char *address;
  char *data_centre;
  char *deployment;
  uint64_t hash;     /**< of its name */
  GQueue unanswered; /**< rte_inflight_t without a first byte, oldest first */
  char *poller;      /**< VM that polls it; NULL: none known */
  uint32_t slots;
  uint32_t online; /**< own requests in flight */
  uint32_t batch;
  uint32_t own_at_update; /**< own requests in flight when others was told */
  uint32_t usage_sent;    /**< what its poller was told last, and when */
  clk_ms_t usage_sent_at;
  uint32_t queued; /**< own requests in flight that found no free slot */
  uint32_t state;  /**< RTE_BIT_*, as last told */

  bool configured;       /**< still in the document */
  bool same_data_centre; /**< in this VM's data centre */
  bool leaving;          /**< by the document */
  bool in_subset;        /**< in this VM's subset */
  bool fixed_identity;   /**< as in cfg_upstream_t */
  bool changed;          /**< in the queue of changed loads */

  clk_ms_t others_at;
  uint64_t update_count; /**< how often the sums have come */
  uint32_t vm_count;     /**< VMs that use it, as the poller told */
  uint32_t others;       /**< requests of other VMs, as the poller told */
  uint32_t others_batch; /**< batch requests among them */
  uint32_t excess;       /**< of the last report over the load known then */
  uint32_t hidden;  /**< requests that no VM knows of: runs of before a loss */
  uint32_t running; /**< last load report */
  uint32_t waiting;
  uint32_t own_at_report;
  clk_ms_t report_at;
  uint64_t seq; /**< of the load report */
  uint64_t events_seen;

  double slowness; /**< observed over expected time to first byte */
  clk_ms_t slowness_at;
  clk_ms_t failed_at;
  clk_ms_t suspect_until;
  unsigned failures; /**< without a quiet time in between */
  rte_health_t health;

  rte_poll_t *poll; /**< NULL unless this VM polls it */
} rte_upstream_t;

/** The upstreams of one deployment, with what was learned on all of them. */
typedef struct
{
  char *name;
  GPtrArray *upstreams; /**< rte_upstream_t, in the document's order */
  double hit_ms;        /**< to first byte, prefix cached, not queued */
  double miss_ms;       /**< likewise, not cached */
  double busy_ms;       /**< a request's time in a slot */
  double bias;          /**< mean of observed over expected first bytes */
} rte_deployment_t;

/** One request in flight. */
typedef struct
{
  tbl_id_t id;
  tbl_id_t upstream;
  rte_deployment_t *deployment;
  GList *unanswered; /**< its link; NULL once answered */
  clk_ms_t sent_at;
  clk_ms_t first_at;
  double expected_ms;
  uint64_t prefix;
  bool prefix_cached; /**< the prefix was thought to be cached */
  bool batch;
  bool queued; /**< all slots were taken when it was sent */
} rte_inflight_t;

typedef struct rte_prefix_index rte_prefix_index_t;

struct rte
{
  rte_desc_t desc;
  const cht_t *health_chart;
  tbl_t *upstreams;
  tbl_t *in_flight;
  GHashTable *by_name;         /**< upstream name to rte_upstream_t */
  GHashTable *deployments;     /**< name to rte_deployment_t */
  uint64_t members_generation; /**< that the pollers were found for */
  GQueue changed;              /**< rte_upstream_t */
  GQueue preemptions;          /**< rte_upstream_t */
  rte_prefix_index_t *prefix_index;
  clk_ms_t picked_at;
  size_t poller_count;  /**< of other VMs, at the last exchange */
  clk_ms_t exchange_at; /**< of the next exchange; earlier timers are stale */
  bool ticking;
};

/* rte_prefix.c: which upstreams are thought to hold which prefix. */
rte_prefix_index_t *rte_prefix_index_setup (void *ctx, uint32_t max);
void rte_prefix_index_add (rte_prefix_index_t *h, uint64_t prefix,
                           tbl_id_t upstream, clk_ms_t now);
void rte_prefix_index_remove (rte_prefix_index_t *h, uint64_t prefix,
                              tbl_id_t upstream);
bool rte_prefix_index_has (const rte_prefix_index_t *h, uint64_t prefix,
                           tbl_id_t upstream, clk_ms_t now);

/* rte.c */
void rte_load_changed (rte_t *r, rte_upstream_t *u);

/** What the router's timers are for. */
enum
{
  RTE_TIMER_POLL,
  RTE_TIMER_EXCHANGE,
};

/* rte_health.c: whether an upstream is well, by this VM's own requests. */
cht_t *rte_health_setup (void *ctx);
void rte_health_lapse (const rte_t *r, rte_upstream_t *u, clk_ms_t now);
void rte_health_answer (const rte_t *r, rte_upstream_t *u, clk_ms_t now);
void rte_health_fail (const rte_t *r, env_t *env, rte_upstream_t *u);

/* rte_choice.c */
uint32_t rte_estimated_load (const rte_upstream_t *u, clk_ms_t now);
/** Requests that VMs have told of, this one included. */
uint32_t rte_usage_load (const rte_upstream_t *u, clk_ms_t now);
/** As rte_estimated_load, without a guess at what others have chosen since. */
uint32_t rte_known_load (const rte_upstream_t *u, clk_ms_t now);
bool rte_usable (const rte_upstream_t *u, clk_ms_t now);
double rte_slowness (const rte_upstream_t *u, clk_ms_t now);

/* rte_preempt.c: a batch request gives way where no slot is left. */
void rte_preempt (rte_t *r, env_t *env, rte_upstream_t *u);
bool rte_preempt_received (rte_t *r, env_t *env, const char *vm,
                           const msg_t *msg, void *ctx);

/* rte_poll.c, rte_exchange.c */
void rte_poll_tick (rte_t *r, env_t *env);
void rte_poll_stop (env_t *env, rte_upstream_t *u);
void rte_exchange_tick (rte_t *r, env_t *env);

/** Requests of VMs other than VM at U, which this VM polls, as they have told;
 * the batch ones among them to *BATCH. */
uint32_t rte_others_sum (const rte_upstream_t *u, const char *vm, clk_ms_t now,
                         uint32_t *batch);

/** VM has so many requests in flight at U, which this VM polls. */
void rte_usage_record (rte_upstream_t *u, const env_t *env, const char *vm,
                       uint32_t in_flight, uint32_t batch);
/** A request was picked: an idle VM's next exchange comes early. */
void rte_exchange_wake (rte_t *r, env_t *env);
void rte_cache_event_apply (rte_t *r, const env_t *env,
                            const rte_upstream_t *u, bool added,
                            uint64_t prefix);
/** Find the pollers again when the members have changed. */
void rte_pollers_update (rte_t *r, env_t *env);

#endif

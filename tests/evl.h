/** @file
 * Even load (prefix evl_): a fleet of VMs with a router (rte_t) each sends
 * requests to model upstreams in virtual time.  Equal settings give equal
 * runs.
 *
 *   evl_result_t result = evl_run (&(evl_desc_t){ .vms = 65, .upstreams = 48,
 *                                                 .news_ms = 200,
 *                                                 .utilisation = 0.35,
 *                                                 .seed = 1 });
 *
 * Use this module to measure or test how evenly routers spread their requests;
 * for whole nodes see flt.h and hst.h.  An upstream has slots and an unbounded
 * queue, caches prefixes, works at a lasting speed and a momentary pace, and
 * states its load in the heads of its responses and in load reports.  A VM
 * holds requests back while all its upstreams are full.  Times are in ms.
 */
#ifndef RTS_EVL_H
#define RTS_EVL_H

#include "core/rte.h"

#define EVL_SLOTS 8
/** Limits of a run. */
#define EVL_VMS_MAX 256
#define EVL_UPSTREAMS_MAX 160
/** Default length of a run and length of its start, which the results leave
 * out: five and one periods of the waves. */
#define EVL_RUN_MS ((clk_ms_t)33000)
#define EVL_WARM_MS ((clk_ms_t)6600)
/** A request is late when its first event comes later than this. */
#define EVL_LATE_MS ((clk_ms_t)300)

/** How the rate of requests changes. */
typedef enum
{
  EVL_WAVES,  /**< 2.8 s at 1.84 times the mean, 3.8 s at 0.38 times */
  EVL_LOCAL,  /**< the same at the VMs of one data centre alone, 2.8 s at 2.4
                   times; the others keep 0.7 times */
  EVL_STEADY, /**< no waves */
} evl_rate_t;

/** What the responses of the upstreams state. */
typedef enum
{
  EVL_STATES_LOAD, /**< their load and pace */
  EVL_STATES_NOTHING,
  EVL_STATES_MALFORMED,
  EVL_ONE_STATES_IDLE, /**< the first upstream claims to be idle, the others
                            state the truth */
} evl_header_t;

/** Settings of a run. */
typedef struct
{
  size_t vms;
  size_t upstreams;
  clk_ms_t news_ms; /**< age of what load reports and other VMs tell */
  double utilisation;
  evl_rate_t rate;
  evl_header_t header;
  bool even_speeds;     /**< no lasting differences and no changing pace */
  clk_ms_t silent_from; /**< load polls get no response from then on; 0: they
                             always do */
  clk_ms_t run_ms;      /**< default EVL_RUN_MS */
  uint32_t seed;
  rte_desc_t router; /**< settings of all routers; members is set here */
} evl_desc_t;

/** Results of a run, without its start. */
typedef struct
{
  double fullest; /**< load of the fullest upstream over the mean load,
                       mean of the samples */
  double idle;    /**< share of the upstreams without any request while
                       another has requests waiting, mean of the samples in
                       which one has */
  double free;    /**< share of the slots that are free then */
  double mean_ms; /**< time to the first event */
  double p99_ms;
  double late;        /**< share of the requests that are late */
  double late_local;  /**< the same of the VMs of the first data centre */
  double far;         /**< share of the requests to another data centre */
  double swing;       /**< mean change of that share between successive 200 ms,
                           for the VMs of the first data centre, in standard
                           deviations of chance; 0.8 by chance alone */
  double hits;        /**< share of the requests whose prefix was cached */
  double first_share; /**< share of the requests that the first upstream got */
  double polls_per_s; /**< requests to upstreams for load */
  double bytes_per_s; /**< of messages between VMs, per VM */
  uint64_t requests;
  uint64_t stated;       /**< sum of rts_route_load_stated_total */
  uint64_t malformed;    /**< sum of rts_route_load_malformed_total */
  uint64_t contradicted; /**< sum of rts_route_load_contradicted_total */
} evl_result_t;

/** Executes a run. */
evl_result_t evl_run (const evl_desc_t *desc);

#endif

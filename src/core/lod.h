/** @file
 * Load estimates (prefix lod_): what a VM knows of the load of one upstream,
 * and a choice among upstreams by it.
 *
 *   lod_counted (&l, others, at);                 from the poller's reports
 *   lod_stated (&l, &said, now);                  from a response
 *   lod_estimate_t e = lod_estimate (&l, &(lod_query_t){ .now = now, ... });
 *   double wait = lod_queued (e.load, e.deviation, slots);
 *   ...
 *   size_t chosen = lod_choose (candidates, n, &rules, rand);
 *
 * Use this module to merge news of one upstream's load whose ages differ.  The
 * module has no network and no clock.  The estimate is the load of the other
 * VMs by the newest word, which approaches the mean of the upstreams as it
 * ages, this VM's own requests, and what the other VMs have probably sent
 * since.  Times are in ms; a pace or a slowness
 * is a factor of the time that work takes, 1 is usual.
 */
#ifndef RTS_LOD_H
#define RTS_LOD_H

#include "core/clk.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Where an estimate comes from. */
typedef enum
{
  LOD_NONE,    /**< nothing recent is known */
  LOD_COUNTED, /**< the poller's count of the VMs' requests */
  LOD_STATED,  /**< a response of the upstream */
} lod_source_t;

/** How an upstream is chosen. */
typedef enum
{
  LOD_DRAIN, /**< at random, in proportion to the expected drain of each and
                  falling with its cost */
  LOD_LEAST, /**< the least cost */
  LOD_TWO,   /**< the least cost of two at random in each data centre */
  LOD_THREE, /**< the same of three */
} lod_choice_t;

/** Rules of estimate and choice.  Zeros select the rules that
 * docs/design/even-load.md chose; others are for measurements. */
typedef struct
{
  lod_choice_t choice;
  double temper_ms;   /**< DRAIN: cost that makes a candidate less probable
                           by the factor e; 0: LOD_TEMPER_MS */
  bool no_forgetting; /**< a word stays in force as it was until it ends */
  bool no_statements; /**< responses say nothing */
  bool no_deviation;  /**< the estimate counts as exact */
} lod_rules_t;

/** Default of lod_rules_t.temper_ms. */
#define LOD_TEMPER_MS 5.0

/** One word on the requests of the other VMs at an upstream. */
typedef struct
{
  uint32_t others;
  uint32_t own; /**< this VM's requests when it got the word */
  clk_ms_t at;  /**< 0: never */
} lod_word_t;

/** What is known of one upstream.  Zeros: nothing. */
typedef struct
{
  lod_word_t counted;
  lod_word_t stated;
  double pace;               /**< as last stated */
  clk_ms_t pace_at;          /**< when; 0: never */
  unsigned contradictions;   /**< statements in a row that the counts
                                  contradict */
  clk_ms_t distrusted_until; /**< statements are not used until then */
} lod_t;

/** A statement in a response. */
typedef struct
{
  uint32_t total; /**< requests that run or wait at the upstream */
  uint32_t own;   /**< this VM's requests that have reached the upstream */
  double pace;    /**< 0: not stated */
  clk_ms_t at;    /**< when it was stated */
  double busy_ms; /**< mean time that a request stays at an upstream */
} lod_said_t;

/** What became of a statement. */
typedef enum
{
  LOD_TAKEN,
  LOD_OLDER,        /**< a newer one is known */
  LOD_CONTRADICTED, /**< the VMs' own counts show more requests there */
  LOD_DISTRUSTED,   /**< so many were contradicted that none is used for a
                         while; this one was the last of them */
} lod_taken_t;

/** Input of an estimate. */
typedef struct
{
  clk_ms_t now;
  uint32_t own;   /**< this VM's requests at the upstream */
  uint32_t users; /**< other VMs that use the upstream */
  double mean;    /**< mean of lod_others over the upstreams in question */
  double busy_ms; /**< mean time that a request stays at an upstream */
  const lod_rules_t *rules;
} lod_query_t;

/** The estimate. */
typedef struct
{
  double load;      /**< requests at the upstream */
  double deviation; /**< standard deviation of the load */
  double pace;      /**< momentary */
  clk_ms_t age;     /**< of the word that it rests on */
  lod_source_t source;
} lod_estimate_t;

/** Takes the poller's count: the other VMs had OTHERS requests AT, and this VM
 * had OWN when it got that count. */
void lod_counted (lod_t *l, uint32_t others, uint32_t own, clk_ms_t at);

/** Takes a statement.  It is not used if it is older than what is known, or if
 * the VMs' own counts contradict it. */
lod_taken_t lod_stated (lod_t *l, const lod_said_t *said, clk_ms_t now);

/** Requests of the other VMs by the newest word; *SOURCE receives which. */
uint32_t lod_others (const lod_t *l, clk_ms_t now, const lod_rules_t *rules,
                     lod_source_t *source);

/** Estimates the load.  LOD_NONE: only this VM's own requests are known. */
lod_estimate_t lod_estimate (const lod_t *l, const lod_query_t *query);

/** Expected number of requests that must end before a new one gets one of
 * SLOTS, where LOAD, with the standard DEVIATION, are there. */
double lod_queued (double load, double deviation, uint32_t slots);

/** A candidate of a choice. */
typedef struct
{
  double cost_ms;
  double drain; /**< expected relative rate at which slots become available,
                     greater than 0 */
  bool near;    /**< in this VM's data centre */
} lod_candidate_t;

/** Chooses one of the N candidates, at least one; returns its index. */
size_t lod_choose (const lod_candidate_t *v, size_t n,
                   const lod_rules_t *rules, GRand *rand);

/** Relative rate at which slots become available: the free slots, or a share
 * of a slot if none is free, over the time that work takes. */
double lod_drain (double load, uint32_t slots, double slowness);

#endif

/** @file
 * Modules (prefix mod_): ids of a node's modules, for the dispatch of events.
 *
 * Each timer, platform call and upstream call carries the id of the module
 * that started it; node_mods.c passes the timer or the reply to that module.
 * A module without timers, calls or messages needs no id.  The numbers
 * enter the hashes of own.h, on which all VMs must agree.
 */
#ifndef RTS_MOD_H
#define RTS_MOD_H

/** One value for each module with timers, calls or messages of its own. */
typedef enum
{
  MOD_NODE,       /**< node: the node's own events on the time line */
  MOD_PLATFORM,   /**< plt: the platform client */
  MOD_CONFIG,     /**< cfs: the operators' document and its versions */
  MOD_KEY,        /**< key: withdrawn API keys */
  MOD_MEMBER,     /**< mbr: membership, ownership, leases */
  MOD_LIMIT,      /**< lim: rate and burst limits */
  MOD_ONLINE,     /**< onl: online requests */
  MOD_ROUTE,      /**< rte: upstream state and load reports */
  MOD_IDEMPOTENT, /**< idm: records of non-idempotent requests */
  MOD_BATCH,      /**< bat: jobs, chunks, items */
  MOD_CREDIT,     /**< crd: batch credits of upstreams */
  MOD_ORDER,      /**< unused; keeps the numbers after it unchanged */
  MOD_DIRECTORY,  /**< dir: the platform's document and list of upstreams */
  MOD_JOB,        /**< job: batch jobs whose results have positions */
  MOD_RETIRE,     /**< ret: draining of a worker that is to be removed */
  MOD_STREAM,     /**< stv: versions at which streams began */
  MOD_CRASH,      /**< crs: what ends upstreams */
  MOD_PATH,       /**< pth: paths to upstreams */
  MOD_NUM
} mod_t;

/** Short name of MOD for logs and counters. */
const char *mod_name (mod_t mod);

#endif

/** @file
 * The modules of a node that timers, calls and messages belong to.
 *
 * Whatever comes back to a node (a timer, a platform reply, an upstream's
 * answer) carries the module that asked, and node.c hands it there.
 */
#ifndef RTS_MOD_H
#define RTS_MOD_H

/** One entry for each module with timers, calls or messages of its own. */
typedef enum
{
  MOD_NODE,
  MOD_PLATFORM,   /**< plt: the platform client */
  MOD_CONFIG,     /**< cfg: the operators' document and its versions */
  MOD_KEY,        /**< key: withdrawals */
  MOD_MEMBER,     /**< mbr: membership, ownership, leases */
  MOD_LIMIT,      /**< lim: rate and burst */
  MOD_ONLINE,     /**< onl: online requests */
  MOD_ROUTE,      /**< rte: upstream state and load reports */
  MOD_IDEMPOTENT, /**< idm: records of non-idempotent requests */
  MOD_BATCH,      /**< bat: jobs, chunks, items */
  MOD_CREDIT,     /**< crd: batch credits of upstreams */
  MOD_ORDER,      /**< ord: orders to engines */
  MOD_DIRECTORY,  /**< dir: the platform's document and list of upstreams */
  MOD_JOB,        /**< job: batch jobs whose results have positions */
  MOD_RETIRE,     /**< ret: a worker that is to be emptied */
  MOD_NUM
} mod_t;

/** Short name for logs and counters. */
const char *mod_name (mod_t mod);

#endif

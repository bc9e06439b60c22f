/** @file
 * Mint rights: which part of a customer's rate and burst this VM may mint.
 *
 *   lsh_t *s = lsh_setup (ctx, &(lsh_desc_t){ .members = m });
 *   lsh_start (s, env);
 *   if (lsh_rights_update (s, env, &since)) ... rights changed; mint anew from
 * SINCE parts = lsh_parts (s, "kvist-roster");       of LSH_PARTS_TOTAL
 *
 * The parts of all VMs sum to at most LSH_PARTS_TOTAL at every instant,
 * whatever any of them believes.  Each data centre has a fixed part of the
 * whole: the same in a small fleet, while in a large one, where an even part
 * would be less than a token, most is at the customer's home.  An object of
 * the platform lists the VMs that divide it: a customer's part is divided
 * between the first few of them by rendezvous hashing.  A right counts from
 * before the read that confirmed it and ends by itself; a new list gives
 * nobody more until all rights under the old one have ended, so in between a
 * VM has the smaller of its two parts.
 *
 * There are two lists.  Most of the part goes by the short one, whose rights
 * end within seconds, so that a lost VM's is soon in other hands.  The rest
 * goes by the long one, whose rights outlast an hour without the platform.
 * A VM that cannot read the platform keeps its short right only while each
 * VM that may change the list has promised not to.
 *
 * Relies on the platform's reads of one object being in step with its
 * writes; a version lower than one seen is ignored.
 */
#ifndef RTS_LIM_SHARE_H
#define RTS_LIM_SHARE_H

#include "core/env.h"
#include "core/mbr.h"

/** The parts of all VMs together. */
#define LSH_PARTS_TOTAL ((uint32_t)1 << 20)

/** Timers of this module have this bit set in their tag. */
#define LSH_TAG ((uint64_t)1 << 63)

/** Kinds of message. */
typedef enum
{
  MSG_LIMIT_PROMISE_REQUEST = MSG_LIMIT_FIRST + 8, /**< number, version */
  MSG_LIMIT_PROMISE,      /**< number, version, given */
  MSG_LIMIT_SHARES,       /**< version, object */
  MSG_LIMIT_READ_REQUEST, /**< number, version: read the object for me too */
  MSG_LIMIT_READ_RESULT, /**< number, version (0: failed), object when newer */
} lsh_msg_t;

/** How to set mint rights up. */
typedef struct
{
  mbr_t *members;         /**< required */
  clk_ms_t short_life_ms; /**< of a right; default 6 s */
  clk_ms_t long_life_ms;  /**< default 2 h */
  clk_ms_t loan_max_ms;   /**< longest life of a loan; default 1 s */
  unsigned long_percent;  /**< of the part by the long list; default 25 */
  unsigned minters;       /**< of a customer in a data centre; default 2 */
  clk_ms_t suspect_ms;    /**< down so long: taken off; default 3 s */
  bool no_promises;       /**< for comparison only */
} lsh_desc_t;

/** What a VM may mint by now. */
typedef enum
{
  LSH_SHORT = 1,     /**< by the short list */
  LSH_SHORT_NEW = 2, /**< its newest alone */
  LSH_LONG = 4,      /**< by the long list */
  LSH_LONG_NEW = 8,  /**< its newest alone */
} lsh_right_t;

typedef struct lsh lsh_t;

/** New module owned by CTX; it may mint nothing. */
lsh_t *lsh_setup (void *ctx, const lsh_desc_t *desc);

/** Free it. */
void lsh_shutdown (lsh_t *s);

/** Begin. */
void lsh_start (lsh_t *s, env_t *env);

/** The data centres of the operators' document (copied); they divide the
 * whole when none does yet. */
void lsh_set_data_centres (lsh_t *s, const char *const *names, size_t count);

/** The data centre that has most of CUSTOMER's rate; NULL: all alike. */
const char *lsh_home (const lsh_t *s, const char *customer);

void lsh_timer_fired (lsh_t *s, env_t *env, uint64_t tag);
void lsh_platform_replied (lsh_t *s, env_t *env, const plt_done_t *done,
                           const ev_platform_t *reply);
void lsh_message_received (lsh_t *s, env_t *env, const char *vm,
                           const msg_t *msg);

/** Whether rights have changed since the last call; *SINCE is when the old
 * ones ended.  To be called before anything is minted, at every event. */
bool lsh_rights_update (lsh_t *s, env_t *env, clk_ms_t *since);

/** This VM's part of CUSTOMER's rate and burst, as of the last
 * lsh_rights_update. */
uint32_t lsh_parts (const lsh_t *s, const env_t *env, const char *customer);

/** Rights as of the last lsh_rights_update (lsh_right_t, or-ed). */
unsigned lsh_rights (const lsh_t *s);

/** Whether nobody has ever minted by lists before these, and this VM saw so:
 * then a bucket may start full. */
bool lsh_is_new_fleet (const lsh_t *s);

/** Version of the newest lists; 0: none seen. */
uint64_t lsh_lists_version (const lsh_t *s);

#endif

/** @file
 * Limit shares (prefix lsh_): mint rights, which say what part of a customer's
 * rate and burst this VM may mint.
 *
 *   lsh_t *s = lsh_setup (ctx, &(lsh_desc_t){ .members = m });
 *   lsh_start (s, env);
 *   if (lsh_rights_update (s, env, &since)) ... rights changed at SINCE
 *   parts = lsh_parts (s, env, "kvist-roster");     of LSH_PARTS_TOTAL
 *
 * The parts of all VMs sum to at most LSH_PARTS_TOTAL at every instant, even
 * while VMs disagree about the fleet.  Each data centre has a fixed part of
 * the total.  In a small fleet the parts are equal; in a large one, where an
 * equal part would be less than a token, most is at the customer's home data
 * centre.  An object of the platform lists the VMs that divide a data centre's
 * part: a customer's part is divided between the first few of them by
 * rendezvous hashing.  A right counts from the time at which this VM sent the
 * request that confirmed the right; at the end of its life the right ends by
 * itself, with no message.  A new list gives no VM more until all rights under
 * the old one have ended; until then a VM has the smaller of its two parts.
 *
 * There are two lists.  Most of the part goes by the short list, whose rights
 * end within seconds, so that other VMs soon get the part of a lost VM.  The
 * rest goes by the long list, whose rights last for more than an hour without
 * the platform.  A VM that cannot read the platform keeps its short right only
 * while each VM that may change the lists has promised not to.
 *
 * This module relies on the platform: a read of an object returns its last
 * write.  A version lower than one seen before is ignored.
 *
 * lim uses this module; other modules only read its rights for status pages.
 * This module does not hold tokens (lim_bucket.h).  Times are milliseconds.
 * Failed reads and writes are tried again; a right that cannot be confirmed
 * ends.
 */
#ifndef RTS_LIM_SHARE_H
#define RTS_LIM_SHARE_H

#include "core/env.h"
#include "core/mbr.h"

/** The parts of all VMs together: a customer's complete rate and burst. */
#define LSH_PARTS_TOTAL ((uint32_t)1 << 20)

/** The tags of this module's timers and platform calls have this bit set. */
#define LSH_TAG ((uint64_t)1 << 63)

/** Kinds of message with their fields. */
typedef enum
{
  MSG_LIMIT_PROMISE_REQUEST = MSG_LIMIT_FIRST + 8, /**< number, version */
  MSG_LIMIT_PROMISE,      /**< number, version, whether it is given */
  MSG_LIMIT_SHARES,       /**< version, object */
  MSG_LIMIT_READ_REQUEST, /**< number, version that the sender knows */
  MSG_LIMIT_READ_RESULT, /**< number, version (0: failed), object when newer */
} lsh_msg_t;

/** Settings of lsh_setup. */
typedef struct
{
  mbr_t *members;         /**< required */
  clk_ms_t short_life_ms; /**< life of a short right; default 6 s */
  clk_ms_t long_life_ms;  /**< life of a long right; default 2 h */
  clk_ms_t loan_max_ms;   /**< longest life of a loan; default 1 s */
  unsigned long_percent;  /**< percentage of the part that goes by the
                               long list; default 25 */
  unsigned minters;       /**< VMs that mint for one customer in a data
                               centre; default 2 */
  clk_ms_t suspect_ms;    /**< a VM that is down for this time leaves the
                               lists; default 3 s */
  bool no_promises;       /**< request no promises; for comparison only */
} lsh_desc_t;

/** Bits of a VM's mint rights. */
typedef enum
{
  LSH_SHORT = 1,     /**< it may mint by the short list */
  LSH_SHORT_NEW = 2, /**< rights under the previous short list have ended */
  LSH_LONG = 4,      /**< it may mint by the long list */
  LSH_LONG_NEW = 8,  /**< rights under the previous long list have ended */
} lsh_right_t;

typedef struct lsh lsh_t;

/** Create a module owned by CTX that may mint nothing yet. */
lsh_t *lsh_setup (void *ctx, const lsh_desc_t *desc);

void lsh_shutdown (lsh_t *s);

/** Begin to read the lists. */
void lsh_start (lsh_t *s, env_t *env);

/** Set the data centres of the operator's document (copied).  They divide the
 * total when no lists exist yet. */
void lsh_set_data_centres (lsh_t *s, const char *const *names, size_t count);

/** The data centre that has most of CUSTOMER's rate; NULL: all are equal. */
const char *lsh_home (const lsh_t *s, const char *customer);

void lsh_timer_fired (lsh_t *s, env_t *env, uint64_t tag);
void lsh_platform_replied (lsh_t *s, env_t *env, const plt_done_t *done,
                           const ev_platform_t *reply);
void lsh_message_received (lsh_t *s, env_t *env, const char *vm,
                           const msg_t *msg);

/** Bring the rights up to date; returns whether they or the lists have changed
 * since the last call.  *SINCE is then the instant from which the new rights
 * count: the end of a right that was lost, else now.  Call this at every
 * event, before anything is minted. */
bool lsh_rights_update (lsh_t *s, env_t *env, clk_ms_t *since);

/** This VM's part of CUSTOMER's rate and burst, as of the last
 * lsh_rights_update. */
uint32_t lsh_parts (const lsh_t *s, const env_t *env, const char *customer);

/** Rights as of the last lsh_rights_update (lsh_right_t, or-ed). */
unsigned lsh_rights (const lsh_t *s);

/** Whether these are the first lists and this VM saw the platform without any.
 * No VM can have minted before, so a bucket may start full. */
bool lsh_is_new_fleet (const lsh_t *s);

/** Version of the newest lists; 0: none seen. */
uint64_t lsh_lists_version (const lsh_t *s);

#endif

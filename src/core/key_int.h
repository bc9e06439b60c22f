/** @file
 * State of key shared by its files: key.c (checks, withdrawals),
 * key_spread.c (messages), key_store.c (platform), key_present.c (requests).
 */
#ifndef RTS_KEY_INT_H
#define RTS_KEY_INT_H

#include "core/key.h"

/** Groups of withdrawals that VMs compare digests of. */
#define KEY_BUCKETS 64

/** Withdrawals whose confirmations a VM collects. */
#define KEY_COLLECTED_MAX 64

/** One withdrawal. */
typedef struct key_withdrawal
{
  const char *sha256;
  const char *name;       /**< of the key; "" when no document had it */
  const char *origin;     /**< VM that was asked last: it gets confirmations */
  uint64_t request_count; /**< how often operators have asked */
  bool collects;          /**< this VM collects confirmations */
  bool pending;           /**< among the recent ones */
  bool stored;            /**< the platform holds it */
  unsigned confirms_left; /**< to be sent to the origin */
  clk_ms_t write_at;      /**< next write to the platform; 0: not set */
  unsigned write_attempts; /**< begun */
  const char **confirmed;  /**< VMs, NULL behind the last */
  size_t confirmed_count;
  struct key_withdrawal *next_pending; /**< of the recent ones */
  struct key_withdrawal *next_pop;     /**< to be taken by key_withdrawn_pop */
} key_withdrawal_t;

struct key
{
  key_desc_t desc;
  GHashTable *withdrawals;   /**< sha256 -> key_withdrawal_t */
  key_withdrawal_t *pending; /**< with something to confirm or to write */
  key_withdrawal_t *pop_first;
  key_withdrawal_t *pop_last;
  uint64_t digests[KEY_BUCKETS];
  size_t neighbour_next; /**< of the neighbours */
  bool list_read;        /**< the platform's list has been read */
  bool read_in_flight;
  bool was_relay; /**< at the last tick */
  uint64_t revision;
  clk_ms_t read_at;
  unsigned reads_failed;
  unsigned writes_in_flight; /**< in progress */
  key_withdrawal_t
      *collected[KEY_COLLECTED_MAX]; /**< whose confirmations it holds */
  size_t collected_next;
};

key_withdrawal_t *key_withdrawal_find (const key_set_t *k, const char *sha256);
unsigned key_withdrawal_bucket (const key_withdrawal_t *w);
uint64_t key_withdrawal_digest (const key_withdrawal_t *w);

/** Add one that is not there yet; NULL: not valid or full. */
key_withdrawal_t *key_withdrawal_add (key_set_t *k, env_t *env,
                                      const key_withdrawal_t *given);

/** Operators have asked ASKED times, last on ORIGIN: confirm to that VM. */
void key_withdrawal_request (key_set_t *k, key_withdrawal_t *w,
                             const char *origin, uint64_t request_count);

/* key_spread.c */
void key_spread_tick (key_set_t *k, env_t *env);
void key_spread_push (key_set_t *k, env_t *env,
                      const key_withdrawal_t *const *v, size_t n);

/* key_store.c */
void key_store_tick (key_set_t *k, env_t *env);

#endif

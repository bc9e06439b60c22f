/** @file
 * State of the keys module (prefix key_) shared by key.c (checks and
 * withdrawals), key_spread.c (messages between VMs) and key_store.c
 * (platform).  key_present.c (keys in requests) has no state.
 */
#ifndef RTS_KEY_INT_H
#define RTS_KEY_INT_H

#include "core/key.h"

/** Number of buckets of withdrawals, by hash; VMs compare one digest for each
 * bucket. */
#define KEY_BUCKETS 64

/** Most withdrawals for which a VM collects confirmations. */
#define KEY_COLLECTED_MAX 64

/** One withdrawal. */
typedef struct key_withdrawal
{
  const char *sha256;
  const char *name;        /**< of the key; "" when no document had the key */
  const char *origin;      /**< VM that got the last request; confirmations go
                                to it */
  uint64_t repeat_count;   /**< repeated requests of operators; the update with
                                 the higher count wins */
  bool collects;           /**< this VM collects confirmations */
  bool pending;            /**< in the list of pending withdrawals */
  bool stored;             /**< the platform holds it */
  unsigned confirms_left;  /**< confirmations still to be sent to the origin */
  clk_ms_t write_at;       /**< time of the next platform write; 0: not set */
  unsigned write_attempts; /**< writes begun so far */
  const char **confirmed;  /**< names of VMs, terminated by NULL */
  size_t confirmed_count;
  struct key_withdrawal *next_pending; /**< in the list of pending ones */
  struct key_withdrawal *next_pop; /**< in the queue of key_withdrawn_pop */
} key_withdrawal_t;

struct key
{
  key_desc_t desc;
  GHashTable *withdrawals;     /**< sha256 to key_withdrawal_t */
  key_withdrawal_t *pending;   /**< list of those to be confirmed or stored */
  key_withdrawal_t *pop_first; /**< queue of key_withdrawn_pop */
  key_withdrawal_t *pop_last;
  uint64_t digests[KEY_BUCKETS]; /**< XOR of the digests in each bucket */
  size_t neighbour_next;         /**< neighbour that gets the next digest */
  bool list_read;                /**< the platform's list has been read */
  bool read_in_flight;           /**< a list or watch call */
  bool was_relay;                /**< this VM was a relay at the last tick */
  uint64_t revision;             /**< to watch from; 0: list first */
  clk_ms_t read_at;              /**< earliest time of the next read */
  unsigned reads_failed;         /**< in a row */
  unsigned writes_in_flight;
  /** Ring of withdrawals whose confirmations this VM collects. */
  key_withdrawal_t *collected[KEY_COLLECTED_MAX];
  size_t collected_next;
};

key_withdrawal_t *key_withdrawal_find (const key_set_t *k, const char *sha256);
unsigned key_withdrawal_bucket (const key_withdrawal_t *w);
uint64_t key_withdrawal_digest (const key_withdrawal_t *w);

/** Adds a withdrawal that this VM does not hold yet; copies GIVEN.  NULL: the
 * hash is not valid or withdrawals_max is reached. */
key_withdrawal_t *key_withdrawal_add (key_set_t *k, env_t *env,
                                      const key_withdrawal_t *given);

/** Notes that operators repeated the request REPEAT_COUNT times, last on
 * ORIGIN; confirmations are then sent to that VM. */
void key_withdrawal_request (key_set_t *k, key_withdrawal_t *w,
                             const char *origin, uint64_t repeat_count);

/* key_spread.c */
void key_spread_tick (key_set_t *k, env_t *env);
/** Sends the N withdrawals V to the neighbours; sends none when N exceeds
 * KEY_PUSH_MAX. */
void key_spread_push (key_set_t *k, env_t *env,
                      const key_withdrawal_t *const *v, size_t n);

/* key_store.c */
void key_store_tick (key_set_t *k, env_t *env);

#endif

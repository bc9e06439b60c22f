/** @file
 * State of mint rights, shared by lim_share.c (rights), lim_read.c
 * (reads that confirm them), lim_promise.c (promises not to change the lists),
 * lim_change.c (changing the lists).
 *
 * Nothing else includes this.
 */
#ifndef RTS_LIM_SHARE_INT_H
#define RTS_LIM_SHARE_INT_H

#include "core/lim_lists.h"
#include "core/lim_share.h"
#include "core/mpk.h"

/* Clocks of two VMs drift apart by less than one in this. */
#define LSH_DRIFT 50

/* Objects of data centres: prefix and name. */
#define LSH_OBJECT_PREFIX "limit/shares/"

enum
{
  LSH_CALL_READ = 1,
  LSH_CALL_LIST_ALL, /* all data centres' parts, before the first list */
  LSH_CALL_WRITE,
};

/* Another VM that waits for a read. */
typedef struct
{
  char *vm;
  uint64_t number;        /* the waiting VM's number of its request */
  uint64_t known_version; /* version */
} lsh_read_waiter_t;

struct lsh
{
  lsh_desc_t desc;
  size_t data_centre_count; /* as in the operators' document */
  const char **data_centres;
  char *object;
  clk_ms_t started_at;
  lli_t *lists;
  clk_ms_t short_seen_at; /* when this short list was first seen */
  clk_ms_t long_seen_at;
  clk_ms_t short_until; /* rights confirmed until */
  clk_ms_t long_until;
  unsigned rights;
  uint64_t lists_generation;   /* grows with the lists; part of
                                  lsh_rights_update's answer */
  uint64_t updated_generation; /* as of the last lsh_rights_update */
  clk_ms_t poll_at;            /* the next read */
  clk_ms_t read_sent;
  clk_ms_t good_read_sent; /* when the last good read was sent */
  clk_ms_t request_sent;
  uint64_t request_number;
  lsh_read_waiter_t *read_waiters; /* in order of their requests */
  size_t read_waiter_count;
  size_t
      reading_for_count; /* the first ones, whom the read under way answers */
  uint64_t
      unknown_write_version; /* version whose replacement may be under way */
  clk_ms_t promised_until;
  clk_ms_t change_wanted_at; /* since when a change is wanted; CLK_NEVER */
  clk_ms_t long_change_wanted_at; /* likewise, of the long list */
  clk_ms_t writers_gone_at; /* since when no writer is listed; CLK_NEVER */
  uint64_t promise_round;   /* of promises asked for */
  clk_ms_t promise_round_sent;
  unsigned missing_promises; /* bits of writers that have not answered */
  bool saw_no_lists;         /* no lists yet when this VM started */
  bool reading;
  bool read_failed;     /* the last time */
  bool awaiting_result; /* another VM to read */
  bool writing;
};

static inline clk_ms_t
lsh_with_drift (clk_ms_t d)
{
  return d + d / LSH_DRIFT;
}

/* A list's rights all end within this time of its replacement, and so do
 * loans made under them. */
static inline clk_ms_t
lsh_settled_ms (const lsh_t *s, clk_ms_t life)
{
  return lsh_with_drift (life + s->desc.loan_max_ms);
}

static inline bool
lsh_short_is_settled (const lsh_t *s, clk_ms_t now)
{
  return now >= s->short_seen_at + lsh_settled_ms (s, s->desc.short_life_ms);
}

static inline bool
lsh_long_is_settled (const lsh_t *s, clk_ms_t now)
{
  return now >= s->long_seen_at + lsh_settled_ms (s, s->desc.long_life_ms);
}

/** Take VALUE at VERSION; false when it is older than known_version or bad. */
bool lsh_lists_receive (lsh_t *s, env_t *env, uint64_t version, buf_t value);

/** Rights count from SENT; the long one only by the platform's word. */
void lsh_rights_confirm (lsh_t *s, clk_ms_t sent, bool by_platform);

/** Ask all VMs that may change the lists for their promises. */
void lsh_promises_request (lsh_t *s, env_t *env);

/** Begin to read. */
void lsh_reads_start (lsh_t *s, env_t *env);

/** MSG_LIMIT_READ_REQUEST, MSG_LIMIT_READ_RESULT have come. */
void lsh_read_requested (lsh_t *s, env_t *env, const char *vm,
                         mpk_reader_t *r);
void lsh_read_result_received (lsh_t *s, env_t *env, mpk_reader_t *r);

/** Replace the lists if this VM may and they are not as they should be. */
void lsh_lists_check (lsh_t *s, env_t *env);

/** Make the first lists; SURVEY: what the other data centres have. */
void lsh_lists_create (lsh_t *s, env_t *env, const ev_platform_t *others);

#endif

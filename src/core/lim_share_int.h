/** @file
 * Limit shares (prefix lsh_): state of mint rights, shared by lim_share.c
 * (rights), lim_read.c (reads that confirm the rights), lim_promise.c
 * (promises not to change the lists) and lim_change.c (changes of the lists).
 *
 * The writers are the VMs that may replace the lists: the first
 * LLI_WRITERS_MAX of the short list.  No other file includes this header.
 */
#ifndef RTS_LIM_SHARE_INT_H
#define RTS_LIM_SHARE_INT_H

#include "core/lim_lists.h"
#include "core/lim_share.h"
#include "core/mpk.h"

/* The clocks of two VMs drift apart by less than 1 ms in this many ms. */
#define LSH_DRIFT_DIVISOR 50

/* Name of a data centre's object: this prefix and the data centre's name. */
#define LSH_OBJECT_PREFIX "limit/shares/"

enum
{
  LSH_CALL_READ = 1,
  LSH_CALL_LIST_ALL, /* all data centres' objects, before the first lists */
  LSH_CALL_WRITE,
};

/* Another VM that waits for a read by this VM. */
typedef struct
{
  char *vm;
  uint64_t number;        /* the waiting VM's number of its request */
  uint64_t known_version; /* version that the waiting VM has */
} lsh_read_waiter_t;

struct lsh
{
  lsh_desc_t desc;
  size_t data_centre_count; /* as in the operator's document */
  const char **data_centres;
  char *object;
  clk_ms_t started_at;
  lli_t *lists;
  clk_ms_t short_seen_at; /* when this short list was first seen */
  clk_ms_t long_seen_at;  /* when this long list was first seen */
  clk_ms_t short_until;   /* end of the confirmed short right */
  clk_ms_t long_until;    /* end of the confirmed long right */
  unsigned rights;
  uint64_t lists_generation;   /* grows with each new version of the lists */
  uint64_t updated_generation; /* lists_generation at the last
                                  lsh_rights_update */
  clk_ms_t poll_at;            /* time of the next read */
  clk_ms_t read_sent;
  clk_ms_t good_read_sent; /* when the last successful read was sent */
  clk_ms_t request_sent;   /* when another VM was asked to read */
  uint64_t request_number;
  lsh_read_waiter_t *read_waiters; /* in order of their requests */
  size_t read_waiter_count;
  size_t reading_for_count; /* first waiters, whom the current read serves */
  uint64_t unknown_write_version; /* version whose replacement by this VM has
                                     an unknown outcome */
  clk_ms_t promised_until;        /* this VM replaces no lists earlier */
  clk_ms_t change_wanted_at; /* since when a change is due; CLK_NEVER: none */
  clk_ms_t long_change_wanted_at; /* likewise, of the long list */
  clk_ms_t writers_gone_at;       /* since when no writer is listed; CLK_NEVER:
                                     some writer is */
  uint64_t promise_round; /* number of the last round of promise requests */
  clk_ms_t promise_round_sent;
  unsigned missing_promises; /* bit i: writer i has not promised; bit
                                LLI_WRITERS_MAX: this VM is a writer and cannot
                                promise, so the round fails */
  bool saw_no_lists; /* this VM read the platform before any lists existed */
  bool reading;
  bool read_failed;     /* the last read failed */
  bool awaiting_result; /* another VM was asked to read */
  bool writing;
};

/* The longest time on this VM's clock during which D passes on another VM's.
 */
static inline clk_ms_t
lsh_with_drift (clk_ms_t d)
{
  return d + d / LSH_DRIFT_DIVISOR;
}

/* Time after a list's replacement by which all rights under it, and the loans
 * made under them, have ended. */
static inline clk_ms_t
lsh_settled_ms (const lsh_t *s, clk_ms_t life)
{
  return lsh_with_drift (life + s->desc.loan_max_ms);
}

/* Whether all rights under the previous short list have ended. */
static inline bool
lsh_short_is_settled (const lsh_t *s, clk_ms_t now)
{
  return now >= s->short_seen_at + lsh_settled_ms (s, s->desc.short_life_ms);
}

/* Whether all rights under the previous long list have ended. */
static inline bool
lsh_long_is_settled (const lsh_t *s, clk_ms_t now)
{
  return now >= s->long_seen_at + lsh_settled_ms (s, s->desc.long_life_ms);
}

/** Adopt the lists in VALUE if VERSION is newer than the known one.  Returns
 * whether VERSION is now in use; false when it is older or VALUE is malformed.
 */
bool lsh_lists_receive (lsh_t *s, env_t *env, uint64_t version, buf_t value);

/** Extend the rights: they count from SENT.  Only a read of the platform
 * (BY_PLATFORM) extends the long right for its full life. */
void lsh_rights_confirm (lsh_t *s, clk_ms_t sent, bool by_platform);

/** Request a promise from all writers. */
void lsh_promises_request (lsh_t *s, env_t *env);

/** Start the periodic reads. */
void lsh_reads_start (lsh_t *s, env_t *env);

/** Handle MSG_LIMIT_READ_REQUEST. */
void lsh_read_requested (lsh_t *s, env_t *env, const char *vm,
                         mpk_reader_t *r);

/** Handle MSG_LIMIT_READ_RESULT. */
void lsh_read_result_received (lsh_t *s, env_t *env, mpk_reader_t *r);

/** Replace the lists if they are out of date and this VM may replace them. */
void lsh_lists_check (lsh_t *s, env_t *env);

/** Create the first lists of this data centre; OTHERS: the objects of the
 * other data centres. */
void lsh_lists_create (lsh_t *s, env_t *env, const ev_platform_t *others);

#endif

/** @file
 * State of limits, shared by lim.c (customers, requests, rounds of asking),
 * lim_source.c (whom to ask) and lim_peer.c (messages).
 *
 * Nothing else includes this.
 */
#ifndef RTS_LIM_INT_H
#define RTS_LIM_INT_H

#include "core/lim.h"

/** VMs asked for one customer, requests for tokens under way, and room for a
 * VM's name. */
#define LIM_SOURCES_MAX 32
#define LIM_TOKEN_REQUESTS_MAX 128
#define LIM_NAME_SIZE 64

/* Where a round of asking is. */
typedef enum
{
  LIM_ROUND_IDLE,
  LIM_ROUND_PREFERRED, /* one minter of the own data centre */
  LIM_ROUND_ALL,       /* all others */
} lim_round_state_t;

/* A request for tokens sent to another VM. */
typedef struct
{
  uint64_t seq;
  char vm[LIM_NAME_SIZE];
  clk_ms_t sent_at;
  bool loan;     /* else for good, into room that is kept */
  bool prefetch; /* more was asked for than is needed */
  bool awaited;  /* the round waits for it */
} lim_token_request_t;

/* Another VM that may hold tokens, and what it said last. */
typedef struct
{
  const char *vm;
  int64_t level;
  clk_ms_t level_at; /* CLK_NEVER: it has said nothing */
} lim_source_t;

typedef struct
{
  char *name;
  uint64_t index;
  double rate;
  double burst;
  lbk_t *bucket;
  lsl_t slack;
  lim_round_state_t stage;
  uint64_t *waiters; /* tags, oldest first */
  size_t waiter_count;
  lim_token_request_t *token_requests;
  size_t token_request_count;
  clk_ms_t denied_until;
  clk_ms_t backoff;
  double demand; /* requests a second here */
  clk_ms_t demand_at;
  clk_ms_t balance_at;
  clk_ms_t balance_wait;
  uint64_t sources_generation; /* membership generation */
  size_t preferred_count;      /* the first ones of sources are near */
  size_t source_count;
  lim_source_t *sources;
  uint64_t config_number; /* in the configuration of this number */
} lim_customer_t;

struct lim
{
  lim_desc_t desc;
  lsh_t *shares;
  GHashTable *by_name;
  lim_customer_t **customers; /* in order of coming; never removed */
  size_t customer_count;
  GHashTable *skipped; /* VM name to clk_ms_t * */
  uint64_t seq;
  uint64_t config_number; /* grows with each document */
  bool leaving;
  bool had_right;       /* had a right to since it started */
  clk_ms_t slack_until; /* slack may be used until then */
  lim_result_t *results;
  size_t result_first;
  size_t result_count;
};

/** CUSTOMER's record; NULL: unknown. */
lim_customer_t *lim_customer_find (const lim_t *l, const char *name);

/** Bring all shares up to date; before anything is had_right or spent. */
void lim_shares_update (lim_t *l, env_t *env);

/** Go on with C's round after a grant, a timeout or its beginning. */
void lim_round_advance (lim_t *l, env_t *env, lim_customer_t *c);

/** Even out with the fullest minter if that is worth a message. */
void lim_balance (lim_t *l, env_t *env, lim_customer_t *c);

/** Bring C's sources up to date with the membership. */
void lim_sources_update (lim_t *l, env_t *env, lim_customer_t *c);

/** Whether VM has not answered of late; note that it has not. */
bool lim_source_is_skipped (const lim_t *l, const env_t *env, const char *vm);
void lim_source_skip (lim_t *l, const env_t *env, const char *vm);

/** VM says that it holds LEVEL. */
void lim_source_set_level (lim_customer_t *c, const env_t *env, const char *vm,
                           int64_t level);

/** The fullest of the first COUNT sources as far as is known; ties at random,
 * so that all are used alike.  COUNT: none can be asked. */
size_t lim_source_fullest (lim_t *l, env_t *env, const lim_customer_t *c,
                           size_t count);

/** Count a request. */
void lim_demand_add (lim_customer_t *c, clk_ms_t now);

/** What to hold prefetch of demand. */
int64_t lim_prefetch_amount (const lim_customer_t *c);

/** What this VM likes to have: a minter a full bucket, another what demand
 * takes before a loan is over. */
int64_t lim_target_level (const lim_customer_t *c);

/** Ask VM for NEED, and for as much more as makes the two alike, up to EXTRA:
 * for good when there is room here, else on loan.  OPEN: the round waits. */
void lim_tokens_request (lim_t *l, env_t *env, lim_customer_t *c,
                         const char *vm, int64_t need, int64_t extra,
                         bool awaited);

/** Tell lenders of loans that are spent, and return what is beyond KEEP. */
void lim_loans_settle (lim_t *l, env_t *env, lim_customer_t *c, int64_t keep);

#endif

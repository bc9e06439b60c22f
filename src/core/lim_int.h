/** @file
 * Limits (prefix lim_): state shared by lim.c (customers, requests, rounds of
 * token requests), lim_source.c (choice of the VMs to request from),
 * lim_peer.c (messages) and lim_excess.c (use of slack).  A round is one
 * attempt to get tokens for the requests that wait: first from one VM of the
 * preferred data centre, then from all.  The preferred data centre is the
 * customer's home, or without one this VM's own.
 *
 * No other file includes this header.
 */
#ifndef RTS_LIM_INT_H
#define RTS_LIM_INT_H

#include "core/lim.h"

#define LIM_SOURCES_MAX 32 /* VMs to request tokens from, per customer */
#define LIM_TOKEN_REQUESTS_MAX 128 /* unanswered requests per customer */
#define LIM_NAME_SIZE 64           /* a VM's name, with its final NUL */

/* Progress of a customer's round. */
typedef enum
{
  LIM_ROUND_IDLE,
  LIM_ROUND_PREFERRED, /* a request to one VM of the preferred data
                           centre is sent */
  LIM_ROUND_ALL,       /* requests to all other sources are sent */
  LIM_ROUND_SLACK,     /* a request for slack is sent */
} lim_round_state_t;

/* A request for tokens sent to another VM. */
typedef struct
{
  uint64_t seq;
  char vm[LIM_NAME_SIZE];
  clk_ms_t sent_at;
  bool loan;     /* the tokens are lent; false: given, into reserved room */
  bool prefetch; /* for more tokens than are needed now */
  bool awaited;  /* the round waits for the grant */
} lim_token_request_t;

/* Another VM that may hold tokens, and the level that it last reported. */
typedef struct
{
  const char *vm;
  int64_t level;     /* millionths of a token */
  clk_ms_t level_at; /* CLK_NEVER: no report yet */
} lim_source_t;

/* A customer and its state at this VM. */
typedef struct
{
  char *name;
  uint64_t index; /* in lim's customers; also the tag of its timers */
  double rate;
  double burst;  /* of the document */
  double depth;  /* of the buckets of all VMs together: the burst, or more
                    where it is too small to work with */
  double excess; /* requests in a window beyond rate and depth */
  lbk_t *bucket;
  lsl_t slack; /* uses of this VM's part, or of the part that it holds for its
                  data centre */
  lim_round_state_t round_state;
  size_t slack_requests; /* VMs asked for slack in this round */
  uint64_t *waiters;     /* tags, oldest first */
  size_t waiter_count;
  lim_token_request_t *token_requests;
  size_t token_request_count;
  clk_ms_t denied_until; /* no new round begins earlier */
  clk_ms_t backoff;      /* wait after a round that ended in refusals */
  double demand;         /* requests a second at this VM */
  clk_ms_t demand_at;
  clk_ms_t balance_at;         /* lim_balance requests nothing earlier */
  clk_ms_t balance_wait;       /* current interval of lim_balance */
  uint64_t sources_generation; /* membership generation of the sources */
  size_t preferred_count; /* first sources, of the preferred data centre */
  size_t source_count;
  lim_source_t *sources;
  uint64_t config_number; /* of the newest document with this customer */
} lim_customer_t;

struct lim
{
  lim_desc_t desc;
  lsh_t *shares;
  GHashTable *by_name;
  lim_customer_t **customers; /* in order of first mention; never removed */
  size_t customer_count;
  GHashTable *skipped;    /* VM name to clk_ms_t *, the end of the skip */
  uint64_t seq;           /* of the last token request */
  uint64_t config_number; /* grows with each document */
  bool leaving;
  clk_ms_t started_at;
  bool had_right;       /* has held a mint right since this process started */
  clk_ms_t slack_until; /* end of the time in which slack may be used */
  lim_result_t *results;
  size_t result_first;
  size_t result_count;
};

/** The customer called NAME; NULL: unknown. */
lim_customer_t *lim_customer_find (const lim_t *l, const char *name);

/** Bring all customers' shares up to date.  Call this before any token is
 * minted or spent. */
void lim_shares_update (lim_t *l, env_t *env);

/** Start C's round, or continue the round after a grant or a timeout. */
void lim_round_advance (lim_t *l, env_t *env, lim_customer_t *c);

/** Request tokens from the fullest minter if this VM holds less than three
 * quarters of its target, so that no bucket is full while others are empty. */
void lim_balance (lim_t *l, env_t *env, lim_customer_t *c);

/** Bring C's sources up to date with the membership. */
void lim_sources_update (lim_t *l, env_t *env, lim_customer_t *c);

/** Whether VM is passed over because a grant from VM timed out recently. */
bool lim_source_is_skipped (const lim_t *l, const env_t *env, const char *vm);

/** Pass VM over for a while. */
void lim_source_skip (lim_t *l, const env_t *env, const char *vm);

/** Note that VM reports to hold LEVEL. */
void lim_source_set_level (lim_customer_t *c, const env_t *env, const char *vm,
                           int64_t level);

/** Index of the source with the highest estimated level among the first COUNT;
 * ties are broken at random, so that all are used alike.  Returns COUNT when
 * all are skipped. */
size_t lim_source_fullest (lim_t *l, env_t *env, const lim_customer_t *c,
                           size_t count);

/** Add one request to C's measured demand. */
void lim_demand_add (lim_customer_t *c, clk_ms_t now);

/** Tokens to hold in advance of demand. */
int64_t lim_prefetch_amount (const lim_customer_t *c);

/** Level that this VM aims at: a full bucket for a minter, the prefetch amount
 * for any other VM. */
int64_t lim_target_level (const lim_customer_t *c);

/** Request NEED from VM, and up to EXTRA more so that both buckets end up
 * equally full: for good when there is room here, else on loan.  AWAITED: the
 * round waits for the grant. */
void lim_tokens_request (lim_t *l, env_t *env, lim_customer_t *c,
                         const char *vm, int64_t need, int64_t extra,
                         bool awaited);

/** Note a token request to VM for C that the round waits for; returns its
 * number.  The tokens will be lent. */
uint64_t lim_loan_request_add (lim_t *l, env_t *env, lim_customer_t *c,
                               const char *vm);

/** Admit one request of C by this VM's own part of the slack.  A VM may use it
 * while it has no short right, and for one window after the right was
 * gained. */
bool lim_excess_take (const lim_t *l, const env_t *env, lim_customer_t *c);

/** Request NEED from the next holder of slack in this VM's data centre, if no
 * VM of C's home answers.  Returns false when all holders have been asked. */
bool lim_excess_request (lim_t *l, env_t *env, lim_customer_t *c,
                         int64_t need);

/** Tokens, up to NEED, of the slack that this VM holds for its data centre. */
int64_t lim_excess_give (const lim_t *l, const env_t *env, lim_customer_t *c,
                         int64_t need);

/** Report spent loans to their lenders, and return borrowed tokens beyond
 * KEEP. */
void lim_loans_settle (lim_t *l, env_t *env, lim_customer_t *c, int64_t keep);

#endif

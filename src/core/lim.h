/** @file
 * Limits (prefix lim_): enforces the rate and burst of each customer over all
 * VMs together.
 *
 *   lim_t *l = lim_setup (ctx, &(lim_desc_t){ .members = m });
 *   lim_start (l, env);
 *   lim_config_changed (l, env, doc);
 *   switch (lim_admit (l, env, m, "kvist-roster", tag, &retry_after)) ...
 *   while (lim_result_pop (l, &result))
 *     ... the verdict of an earlier LIM_PENDING
 *
 * All VMs together never admit more than rate and burst in any window: each
 * token is minted at one VM only (lim_share.h), and the tokens that a VM holds
 * or has lent fill one bucket (lim_bucket.h).  They seldom admit less: before
 * a VM refuses a request, it requests tokens from the customer's other
 * minters, first from one of the customer's home data centre (without a home:
 * of its own), then from all.  Message loss, restarts and freezes lose tokens
 * and never make any.
 * A VM without a mint right uses its part of the slack (lim_slack.h) if the
 * settings allow any.  In a fleet that is too large for parts of whole
 * requests, two VMs of each data centre hold the slack, and it is used while
 * no VM of the customer's home answers.
 *
 * Call lim_admit for a caller's request before the request goes to an
 * upstream.  Do not use this module to limit concurrency or the load of one
 * upstream.  Times are milliseconds; rates are requests a second.  All memory
 * belongs to the lim_t.
 */
#ifndef RTS_LIM_H
#define RTS_LIM_H

#include "core/cfg.h"
#include "core/env.h"
#include "core/lim_bucket.h"
#include "core/lim_share.h"
#include "core/lim_slack.h"
#include "core/mbr.h"

/** Kinds of message with their fields; amounts in millionths of a token. */
typedef enum
{
  /** customer, number, need, extra, sender's level and target level, life of
   * a loan in ms (0: the tokens are given, not lent). */
  MSG_LIMIT_TOKEN_REQUEST = MSG_LIMIT_FIRST,
  MSG_LIMIT_GRANT,  /**< customer, number, amount, whether to settle, level */
  MSG_LIMIT_SETTLE, /**< customer, number, spent, returned */
  MSG_LIMIT_OFFER,  /**< customer, amount: the sender is leaving */
  /** customer, number, need: asks for tokens of the data centre's slack;
   * MSG_LIMIT_GRANT is the response. */
  MSG_LIMIT_SLACK_REQUEST,
} lim_msg_t;

/** Whether a request may run. */
typedef enum
{
  LIM_ADMITTED,
  LIM_REFUSED, /**< over the customer's rate: 429 */
  LIM_PENDING, /**< lim_result_pop gives the verdict later */
} lim_verdict_t;

/** Settings of lim_setup. */
typedef struct
{
  mbr_t *members;   /**< required */
  clk_ms_t loan_ms; /**< life of a loan; default 1 s */
  /** Longest wait for a grant; default 40 ms.  A pending request waits at most
   * twice as long: once for one VM, once for all. */
  clk_ms_t grant_timeout_ms;
  lsl_desc_t slack;   /**< allowed excess over the rate; default: none */
  size_t waiters_max; /**< pending requests of a customer; default 1,024 */
  lsh_desc_t shares;  /**< lim_setup sets its members field */
} lim_desc_t;

/** The verdict of a pending request. */
typedef struct
{
  uint64_t tag;
  lim_verdict_t verdict;
  clk_ms_t retry_after; /**< LIM_REFUSED: estimated ms until all VMs together
                           have minted a token for this request */
} lim_result_t;

typedef struct lim lim_t;

/** Create a module owned by CTX that admits no request yet. */
lim_t *lim_setup (void *ctx, const lim_desc_t *desc);

void lim_shutdown (lim_t *l);

/** Begin to read the platform's lists of minters. */
void lim_start (lim_t *l, env_t *env);

/** Decide whether CUSTOMER's request TAG may run.  M is the membership used
 * from now on.  On LIM_REFUSED *RETRY_AFTER is the wait in ms. */
lim_verdict_t lim_admit (lim_t *l, env_t *env, mbr_t *m, const char *customer,
                         uint64_t tag, clk_ms_t *retry_after);

/** Take the next verdict of a pending request; false: there is none. */
bool lim_result_pop (lim_t *l, lim_result_t *result);

/** Graceful shutdown: admit no more requests, and offer the tokens held here
 * to other VMs. */
void lim_leave (lim_t *l, env_t *env);

void lim_config_changed (lim_t *l, env_t *env, const cfg_doc_t *doc);
void lim_timer_fired (lim_t *l, env_t *env, uint64_t tag);
void lim_platform_replied (lim_t *l, env_t *env, const plt_done_t *done,
                           const ev_platform_t *reply);
void lim_message_received (lim_t *l, env_t *env, const char *vm,
                           const msg_t *msg);

/** Mint rights, for status pages. */
const lsh_t *lim_shares (const lim_t *l);

/** CUSTOMER's bucket at this VM, for status pages; NULL: unknown customer. */
const lbk_t *lim_bucket (const lim_t *l, const char *customer);

#endif

/** @file
 * Rate and burst of each customer over all VMs together.
 *
 *   lim_t *l = lim_setup (ctx, &(lim_desc_t){ .members = m });
 *   lim_start (l, env);
 *   lim_config_changed (l, env, doc);
 *   switch (lim_admit (l, env, m, "kvist-roster", tag, &retry_after)) ...
 *   while (lim_result_pop (l, &result))
 *     ... the verdict of an earlier LIM_PENDING
 *
 * Never more than rate and burst in any window: each token is had_right at one
 * place (lim_share.h) and what is held or lent fills one bucket
 * (lim_bucket.h).  Seldom less: before a refusal a VM token_requests the
 * customer's other minters, first one of its own data centre, then all.
 * Message loss, restarts and freezes lose tokens, never make any.  A VM
 * without a mint right uses its part of the slack (lim_slack.h), where there
 * is some.
 */
#ifndef RTS_LIM_H
#define RTS_LIM_H

#include "core/cfg.h"
#include "core/env.h"
#include "core/lim_bucket.h"
#include "core/lim_share.h"
#include "core/lim_slack.h"
#include "core/mbr.h"

/** Kinds of message; amounts in millionths of a token. */
typedef enum
{
  MSG_LIMIT_TOKEN_REQUEST = MSG_LIMIT_FIRST, /**< customer, number, need,
                                      extra, level, full, life */
  MSG_LIMIT_GRANT,  /**< customer, number, amount, whether to settle, level */
  MSG_LIMIT_SETTLE, /**< customer, number, spent, returned */
  MSG_LIMIT_OFFER,  /**< customer, amount: the sender is leaving */
} lim_msg_t;

/** Whether a request may run. */
typedef enum
{
  LIM_ADMITTED,
  LIM_REFUSED, /**< over the customer's rate: 429 */
  LIM_PENDING, /**< comes by lim_result_pop */
} lim_verdict_t;

/** How to set limits up. */
typedef struct
{
  mbr_t *members;   /**< required */
  clk_ms_t loan_ms; /**< life of a loan; default 1 s */
  clk_ms_t
      grant_timeout_ms; /**< longest wait for a grant, twice; default 40 ms */
  lsl_desc_t slack;     /**< what may be exceeded; default: nothing */
  size_t waiters_max;   /**< pending requests of a customer; default 1,024 */
  lsh_desc_t shares;    /**< its members are set here */
} lim_desc_t;

/** The verdict of a pending request. */
typedef struct
{
  uint64_t tag;
  lim_verdict_t verdict;
  clk_ms_t retry_after; /**< LIM_REFUSED: until the next token is had_right */
} lim_result_t;

typedef struct lim lim_t;

/** New module owned by CTX; admits nobody. */
lim_t *lim_setup (void *ctx, const lim_desc_t *desc);

/** Free it. */
void lim_shutdown (lim_t *l);

/** Begin. */
void lim_start (lim_t *l, env_t *env);

/** May CUSTOMER's request TAG run?  *RETRY_AFTER is set on LIM_REFUSED. */
lim_verdict_t lim_admit (lim_t *l, env_t *env, mbr_t *m, const char *customer,
                         uint64_t tag, clk_ms_t *retry_after);

/** Take the next verdict of a pending request; false: none. */
bool lim_result_pop (lim_t *l, lim_result_t *result);

/** Graceful shutdown: admit no more, and offer what is held to others. */
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

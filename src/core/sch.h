/** @file
 * The order of batch work: which job's chunk or item comes next.
 *
 *   sch_t *s = sch_setup (ctx, &(sch_desc_t){ 0 });
 *   int i = sch_pick (s, now, jobs, count);       -1: none is ready
 *   sch_service_add (s, jobs[i].customer, jobs[i].weight, 1);
 *
 * The slack of a job is its due time less the time that it and all jobs due
 * before it need at the rate given.  While some slack is nearly used up, the
 * earliest due job comes first, so that due times are met when any order can
 * meet them.  Otherwise the customer with the least service for its weight
 * comes first, and of its jobs the one that is due earliest.
 *
 * A job that cannot be on time any more has no say.  While there is one,
 * there is more to do than can be done: then only customers that are not
 * ahead of the others in service are served by due time.
 */
#ifndef RTS_SCH_H
#define RTS_SCH_H

#include "core/clk.h"

#include <stdbool.h>
#include <stddef.h>

/** Ways to order; all but the first serve comparisons. */
typedef enum
{
  SCH_SLACK_FAIR,   /**< earliest due with slack, weighted fairness */
  SCH_FIRST_COME,   /**< in the order of the list */
  SCH_EARLIEST_DUE, /**< earliest due time */
} sch_policy_t;

/** How to set an order up. */
typedef struct
{
  sch_policy_t policy;
  clk_ms_t margin_ms;     /**< slack that counts as used up; default 10 s */
  double max_service_gap; /**< service, per weight, by which a customer may be
                      behind or ahead; default 64 items */
} sch_desc_t;

/** One job that wants service. */
typedef struct
{
  const char *customer;
  double weight;  /**< 0 counts as 1 */
  clk_ms_t due;   /**< on the clock of now; 0: none */
  double need_ms; /**< time its remaining items take at the whole rate that
                       batch gets now */
  bool ready;     /**< has something to start */
} sch_job_t;

typedef struct sch sch_t;

/** New order owned by CTX. */
sch_t *sch_setup (void *ctx, const sch_desc_t *desc);

/** Free it. */
void sch_shutdown (sch_t *s);

/** Index of the job that comes next; -1 when none is ready. */
int sch_pick (sch_t *s, clk_ms_t now, const sch_job_t *jobs, size_t count);

/** CUSTOMER has been given ITEMS. */
void sch_service_add (sch_t *s, const char *customer, double weight,
                      double items);

/** Service given to CUSTOMER, per weight. */
double sch_service (const sch_t *s, const char *customer);

#endif

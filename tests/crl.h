/** @file
 * Load of a hosted fleet whose upstreams end (prefix crl_): callers of several
 * kinds of request, and counts of what they got.
 *
 *   crl_t *t = crl_setup (&(hst_desc_t){ .entries = 6 }, 1);
 *   crl_kind_add (t, &(crl_kind_t){ .id = "bad", .per_s = 4, ... });
 *   crl_run (t, 10 * CLK_SECOND);
 *   crl_sent (t, "bad", from)
 *   crl_shutdown (t);
 *
 * Use it for tests of requests that end upstreams; which ones do is
 * hst_crash_t.ids.  Each request goes to a random entry VM that runs.  Times
 * are in ms.
 */
#ifndef RTS_CRL_H
#define RTS_CRL_H

#include "hst.h"

/** Time after which all VMs in touch must act on what has happened. */
#define CRL_CONTACT_MS (3 * CLK_SECOND)
/** The rule of the users: ends of upstreams after which a part, or a request,
 * is to be kept away, and what may still reach an upstream afterwards. */
#define CRL_PART_ENDS 5
#define CRL_REQUEST_ENDS 3
#define CRL_SENT_MAX 3
/** Most kinds of request, and parts of a prompt. */
#define CRL_KINDS_MAX 4
#define CRL_PARTS_MAX 4

/** A kind of request. */
typedef struct
{
  const char *id; /**< the requests' ids are this, a dash and a number */
  double per_s;   /**< requests a second */
  uint64_t parts[CRL_PARTS_MAX]; /**< shared parts of the prompts */
  size_t part_count;
  const char *body; /**< of all its requests; NULL: each has its own */
} crl_kind_t;

/** A request. */
typedef struct
{
  uint64_t caller;
  size_t kind;
  clk_ms_t sent_at;
} crl_request_t;

/** A fleet with its callers. */
typedef struct
{
  hst_t *h;
  GRand *rand;
  size_t entries;    /**< entry VMs, which get the requests */
  size_t entry_only; /**< the only one that gets any; HST_MAX: all do */
  crl_kind_t kinds[CRL_KINDS_MAX];
  size_t kind_count;
  GArray *requests;  /**< crl_request_t */
  unsigned sequence; /**< of the last request's id */
} crl_t;

/** What became of requests. */
typedef struct
{
  unsigned asked;
  unsigned begun;          /**< got the head of a success */
  unsigned served;         /**< got a whole success */
  unsigned refused;        /**< got 503 */
  unsigned failed;         /**< got 502 or 504, or a broken response */
  unsigned denied;         /**< got another status of 400 to 499 */
  clk_ms_t refused_max_ms; /**< longest time until a refusal */
  unsigned without_retry;  /**< refusals that name no time to come back */
  unsigned retry_distinct; /**< different times at which refused callers were
                                to come back, in steps of 10 ms */
} crl_counts_t;

/** Creates a fleet by DESC with load reports and resumable streams, lets it
 * start, and seeds the callers. */
crl_t *crl_setup (const hst_desc_t *desc, uint32_t seed);
void crl_shutdown (crl_t *t);

/** Adds KIND to what callers send; returns its number. */
size_t crl_kind_add (crl_t *t, const crl_kind_t *kind);

/** Lets MS pass while callers send. */
void crl_run (crl_t *t, clk_ms_t ms);

/** Number of upstreams that have ended. */
unsigned crl_ended (const crl_t *t);

/** Time at which the upstream ended that was number N, from 1, to do so;
 * CLK_NEVER: fewer have. */
clk_ms_t crl_ended_at (const crl_t *t, unsigned n);

/** Requests whose ids begin with ID that upstreams got from FROM on. */
unsigned crl_sent (const crl_t *t, const char *id, clk_ms_t from);

/** Counts the requests of KIND sent from FROM until before TO. */
crl_counts_t crl_count (const crl_t *t, size_t kind, clk_ms_t from,
                        clk_ms_t to);

#endif

/** @file
 * State and functions that the files of the crashes' module (crs_*.c) share.
 * Other modules use crs.h.
 *
 * crs.c has the gate before each send, crs_watch.c finds out which upstreams
 * have ended, crs_ledger.c counts, and crs_peer.c speaks with other VMs.
 */
#ifndef RTS_CRS_INT_H
#define RTS_CRS_INT_H

#include "core/crs.h"
#include "core/tbl.h"

#include <glib.h>
#include <talloc.h>

/** Timers, by their tags. */
enum
{
  CRS_TIMER_TELL = 1, /**< changed subjects are told */
  CRS_TIMER_TICK,     /**< what lapses, and reports that were not counted */
};

/** Time in which all connections to a start that ends break.  What breaks
 * later was at a start that the list does not name yet. */
#define CRS_SAME_END_MS (2 * CLK_SECOND)

/** Period of CRS_TIMER_TICK. */
#define CRS_TICK_MS (CLK_SECOND / 4)

/** What is known of a subject. */
typedef struct
{
  uint64_t subject;
  uint32_t ends;       /**< of upstreams under it since a whole answer */
  clk_ms_t end_at;     /**< time of the last of them */
  uint32_t trials;     /**< since it was blocked */
  clk_ms_t trial_at;   /**< earliest time of the next trial */
  clk_ms_t busy_until; /**< one request runs by a permit until then; 0: none */
  uint64_t permit;     /**< its number, at the ledger that gave it */
  clk_ms_t first_at;   /**< time of the first of them */
  bool untold;         /**< has changed since the ledger told it; with no end
                            left it is dropped then */
} crs_entry_t;

/** An end of an upstream, as this VM has counted it. */
typedef struct
{
  char *upstream;
  uint64_t born;
  clk_ms_t at;
  bool certain; /**< otherwise it lapses if the list still names the start */
  clk_ms_t listed_since; /**< since when the list, read long after the end, has
                              named the start; 0: it has not */
  bool explained; /**< a subject that was blocked before ran there, which is
                       the only one to count */
  GHashTable *subjects; /**< uint64_t: those counted for it */
} crs_record_t;

/** Groups of subjects, one for each request. */
typedef struct
{
  GArray *subjects; /**< uint64_t, of all requests */
  GArray *counts;   /**< guint: subjects of each request */
} crs_groups_t;

/** An end to be reported, by this VM or another. */
typedef struct
{
  const char *upstream;
  uint64_t born;
  clk_ms_t at;
  bool certain;
  const crs_groups_t *groups;
} crs_report_t;

/** A report that the ledger has not counted yet. */
typedef struct
{
  uint64_t number;
  char *upstream;
  uint64_t born;
  clk_ms_t at;
  bool certain;
  crs_groups_t groups;
  clk_ms_t sent_at;
} crs_pending_t;

/** A permit, or the wish for one. */
typedef struct
{
  uint64_t number;
  mod_t mod;
  uint64_t tag;
  clk_ms_t asked_at;
  bool answered;
  crs_verdict_t verdict; /**< ANSWERED */
  clk_ms_t retry_at;     /**< ANSWERED: when it is worth to ask again */
  bool in_use;           /**< the request has been sent by it */
} crs_permit_t;

/** The last whole answer with a subject at this VM. */
typedef struct
{
  uint64_t subject;
  clk_ms_t at;
  GList *link; /**< in crs_t.whole_by_age */
} crs_whole_t;

struct crs
{
  crs_desc_t desc;
  GHashTable *entries;   /**< subject to crs_entry_t */
  GQueue records;        /**< crs_record_t, oldest first */
  GQueue pending;        /**< crs_pending_t */
  GQueue permits;        /**< crs_permit_t */
  GHashTable *whole;     /**< subject to crs_whole_t */
  GQueue whole_by_age;   /**< crs_whole_t, oldest first */
  GHashTable *runs;      /**< handle to crs_run_entry_t */
  GHashTable *starts;    /**< key to crs_start_t: starts with breaks */
  GHashTable *listed;    /**< upstream to uint64_t: its start */
  tbl_t *probes;         /**< crs_probe_t */
  clk_ms_t list_read_at; /**< when the list was last read */
  clk_ms_t heard_at;     /**< when something last came from elsewhere */
  uint64_t number;       /**< of the last report or permit */
  clk_ms_t ledger_since; /**< CLK_NEVER: another VM is the ledger */
  clk_ms_t repeated_at;  /**< when blocked subjects were last told to all */
  bool tell_armed;
  bool tick_armed;
};

/* crs.c */
/** The permit of the request TAG of MOD; NULL: none. */
crs_permit_t *crs_permit_find (const crs_t *c, mod_t mod, uint64_t tag);
/** The request that has a permit no longer uses it. */
void crs_permit_end (crs_t *c, env_t *env, mod_t mod, uint64_t tag, bool sent);
/** Has the tick run while there is something to do. */
void crs_tick_arm (crs_t *c, env_t *env);

/* crs_ledger.c: counts, on this VM's own copy. */
crs_entry_t *crs_entry_find (const crs_t *c, uint64_t subject);
/** The entry of SUBJECT, made if it is missing. */
crs_entry_t *crs_entry_get (crs_t *c, uint64_t subject);
void crs_entry_drop (crs_t *c, uint64_t subject);
/** Counts REPORT. */
void crs_ledger_count (crs_t *c, env_t *env, const crs_report_t *report);
/** A whole answer with SUBJECT came AT; SOURCE is for the log. */
void crs_ledger_whole (crs_t *c, env_t *env, uint64_t subject, clk_ms_t at,
                       const char *source);
/** Whether a request with SUBJECTS may run now; takes the permit NUMBER for
 * PERMIT_MS if it needs one.  *WAIT_MS: until it is worth to ask again. */
crs_verdict_t crs_ledger_ask (crs_t *c, env_t *env, uint64_t number,
                              const crs_query_t *query, clk_ms_t *wait_ms);
/** What crs_ledger_ask would say, without a permit; true: it would give one,
 * or needs none, which sets *FREE. */
crs_verdict_t crs_ledger_look (const crs_t *c, const env_t *env,
                               const crs_query_t *query, bool *free,
                               clk_ms_t *wait_ms);
/** The permit NUMBER is no longer used. */
void crs_ledger_done (crs_t *c, env_t *env, uint64_t number, bool sent);
/** Drops what has lapsed. */
void crs_ledger_sweep (crs_t *c, env_t *env);
void crs_record_free (crs_record_t *r);

/* crs_watch.c */
void crs_watch_setup (crs_t *c);
void crs_watch_destroy (crs_t *c);
/** Drops breaks of which nothing was found out. */
void crs_watch_sweep (crs_t *c, env_t *env);
/** When the last whole answer with SUBJECT came here; 0: none is known. */
clk_ms_t crs_whole_at (const crs_t *c, uint64_t subject);

/* crs_peer.c */
/** The VM that counts for all, as this VM sees it. */
const char *crs_ledger_vm (const crs_t *c, const env_t *env);
/** Counts REPORT here and at the ledger. */
void crs_report_send (crs_t *c, env_t *env, const crs_report_t *report);
/** Tells the ledger that whole answers with the COUNT SUBJECTS came AT. */
void crs_whole_send (crs_t *c, env_t *env, const uint64_t *subjects,
                     size_t count, clk_ms_t at);
void crs_ask_send (crs_t *c, env_t *env, crs_permit_t *permit,
                   const crs_query_t *query);
void crs_done_send (crs_t *c, env_t *env, uint64_t number, bool sent);
/** Has changed subjects be told soon, if this VM is the ledger. */
void crs_tell_arm (crs_t *c, env_t *env);
void crs_tell (crs_t *c, env_t *env);
void crs_reports_repeat (crs_t *c, env_t *env);
void crs_pending_free (crs_pending_t *p);

#endif

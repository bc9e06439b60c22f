/** @file
 * A hosted fleet under virtual time: whole nodes whose configuration and
 * upstreams stand in the platform, a fake store with watches, and upstreams
 * that answer with numbered events.
 *
 *   hst_t *h = hst_setup (&(hst_desc_t){ .entries = 2, .workers = 2 });
 *   hst_advance (h, 2000);
 *   uint64_t c = hst_request (h, 0, &(ev_request_t){ ... });
 *   hst_advance (h, 100);
 *   hst_answer (h, c)->status
 *
 * Entries come first, then workers; upstreams are numbered on their own.
 */
#ifndef RTS_HST_H
#define RTS_HST_H

#include "core/node.h"

#include <glib.h>

/** Most VMs, and most upstreams. */
#define HST_MAX 8

/** How to set a fleet up; zeros mean the defaults. */
typedef struct
{
  size_t entries;   /**< default 2 */
  size_t workers;   /**< default 2 */
  size_t upstreams; /**< default 2, of 8 slots each */
  unsigned events;  /**< in an answer; default 20 */
  clk_ms_t gap_ms;  /**< between events; default 10 */
  double rate;      /**< of customer "acme"; 0: no limit */
  double burst;
  bool resumable; /**< the online route */
  lsl_desc_t slack;
} hst_desc_t;

/** What a caller has got. */
typedef struct
{
  int status; /**< 0: no head yet */
  bool ended;
  bool aborted;
  GString *body;
  uint64_t total; /**< results of a job */
  uint64_t next;
  GPtrArray *ids; /**< char *: of the items, in their order */
  GPtrArray *texts;
} hst_answer_t;

/** How an upstream misbehaves. */
typedef struct
{
  int status;           /**< answers so; 0: 200 */
  bool not_run;         /**< and promises that it did not run */
  unsigned break_after; /**< breaks a run from the start off, within the event
                             after it */
} hst_fault_t;

typedef struct hst hst_t;

/** New fleet; all VMs have started. */
hst_t *hst_setup (const hst_desc_t *desc);
void hst_shutdown (hst_t *h);

/** Let MS pass. */
void hst_advance (hst_t *h, clk_ms_t ms);

/** A caller's request at VM; returns its number. */
uint64_t hst_request (hst_t *h, size_t vm, const ev_request_t *req);

/** A stream on the online route, with KEY, id ID. */
uint64_t hst_stream (hst_t *h, size_t vm, const char *key, const char *id);

/** A job of COUNT items. */
uint64_t hst_submit (hst_t *h, size_t vm, const char *id, size_t count);

/** Results of job ID from AFTER on. */
uint64_t hst_results_read (hst_t *h, size_t vm, const char *id,
                           uint64_t after);

const hst_answer_t *hst_answer (hst_t *h, uint64_t caller);

/** The process of VM ends; hst_start starts it anew. */
void hst_kill (hst_t *h, size_t vm);
void hst_start (hst_t *h, size_t vm);

/** The platform answers VM (or HST_MAX: all) with "unavailable". */
void hst_platform_down (hst_t *h, size_t vm, bool down);

/** Calls that VM has made to the platform about names that begin so. */
unsigned hst_call_count (const hst_t *h, size_t vm, const char *name);

/** The operator writes a document of a higher version; KEY: the only key. */
void hst_document_write (hst_t *h, const char *key);

/** Watches of the document hear nothing of the next change, and history is
 * lost for the others. */
void hst_compact (hst_t *h);

/** The operator wants VM emptied; whether it has said that it is. */
void hst_retire (hst_t *h, size_t vm);
bool hst_retired (const hst_t *h, size_t vm);

void hst_fault_set (hst_t *h, size_t upstream, hst_fault_t fault);

/** Requests that began to run at UPSTREAM with ID ("" counts all). */
unsigned hst_run_count (const hst_t *h, const char *id);

/** Most that ran at UPSTREAM at a time. */
unsigned hst_running_max (const hst_t *h, size_t upstream);

/** Requests that run at UPSTREAM now. */
unsigned hst_running_count (const hst_t *h, size_t upstream);

/** The last request that an upstream got. */
const fx_upstream_t *hst_last_call (const hst_t *h);

#endif

/** @file
 * Declarations shared by the source files of the hosted fleet (prefix hst_);
 * tests include hst.h instead.
 */
#ifndef RTS_HST_INT_H
#define RTS_HST_INT_H

#include "hst.h"

/* An event that happens at a VM at an instant. */
typedef struct
{
  clk_ms_t at;
  uint64_t order; /**< order of events at the same instant */
  size_t vm;
  uint64_t incarnation; /**< events of an earlier process are dropped */
  ev_t ev;
  fx_platform_t call; /**< a platform call to serve at that instant */
  bool is_call;       /**< call is set, not ev */
  bool lost;          /**< the platform does not respond to the call */
  bool is_report;     /**< a load report of UPSTREAM to the call in ev */
  bool is_end;        /**< UPSTREAM ends, if it has not since the start BORN */
  clk_ms_t born;
  char id[32]; /**< of the request that ends it */
  size_t upstream;
  clk_ms_t deadline; /**< of a long poll */
  clk_ms_t sent_at;  /**< when the call was made */
} hst_event_t;

/* An object of the store. */
typedef struct
{
  uint64_t version;
  clk_ms_t at; /**< of that version */
  buf_t value;
} hst_object_t;

/* An in-flight request at an upstream. */
typedef struct
{
  size_t vm;
  uint64_t incarnation; /**< of the VM's process */
  uint64_t call;
  size_t upstream;
  size_t via;     /**< VM that passes it on; HST_MAX: none */
  unsigned first; /**< number of the first event of the response */
  unsigned next;  /**< number of the next event */
  unsigned last;  /**< number of the last event */
  hst_endless_t endless;
  size_t sent;    /**< bytes of a body without end */
  bool cancelled; /**< the request has ended or was cancelled */
} hst_inflight_t;

typedef struct
{
  char name[16];
  char address[24];
  char tunnel[24];
  hst_stranding_t stranding; /**< from upstreams below stranded_from */
  size_t stranded_from;
  unsigned
      idle[HST_MAX]; /**< open connections of earlier calls, by upstream */
  node_t *node;      /**< NULL: the process is dead */
  uint64_t incarnation;
  bool isolated;            /**< it has no links to other VMs */
  bool down;                /**< the platform does not serve this VM */
  bool platform_cut;        /**< no byte passes to or from the platform */
  bool retire;              /**< the VM is asked to retire */
  bool retired;             /**< the VM has reported that it has retired */
  clk_ms_t frozen_until;    /**< its process stands still until then */
  unsigned directory_calls; /**< reads of the document and the upstreams */
  GPtrArray *calls;         /**< char *: names of all platform calls */
  bool wants_link[HST_MAX]; /**< whether this VM wants a link to VM i */
  bool linked[HST_MAX];
} hst_vm_t;

struct hst
{
  hst_desc_t desc;
  clk_ms_t now;
  uint64_t order; /**< of the last event */
  GQueue events;  /**< of hst_event_t, by time */
  hst_vm_t vm[HST_MAX];
  size_t vm_count;
  bool platform_silent; /**< the platform does not respond to new calls */
  clk_ms_t stale_ms;    /**< hst_platform_stale */
  clk_ms_t platform_ms; /**< to serve a call; 0: the usual time */
  const char *refused_prefix; /**< of the names of calls that fail; NULL: none
                               */
  GTree *objects;             /**< name to hst_object_t */
  uint64_t revision;          /**< of the store */
  uint64_t compacted;         /**< there is no history before this revision */
  bool document_watch_lost;   /**< watches of the document see no change before
                                   they time out */
  uint64_t document_revision;
  ev_object_t evacuations[HST_MAX]; /**< deleted: ended */
  size_t evacuation_count;
  uint64_t evacuation_revision; /**< of their last change */
  bool evacuations_refused;     /**< calls about them fail */
  ev_document_t document;
  cfg_doc_t parts; /**< of the document */
  char key_hash[65];
  char second_key_hash[65];
  hst_fault_t faults[HST_MAX];  /**< by upstream */
  clk_ms_t born[HST_MAX];       /**< starts of upstreams; 0: not told */
  const char *version[HST_MAX]; /**< of upstreams' software; NULL: not told */
  bool leaving[HST_MAX];        /**< upstreams that the list marks so */
  bool unlisted[HST_MAX];       /**< upstreams that the list does not name */
  ev_limit_t limit[HST_MAX];    /**< what upstreams say */
  bool limit_reported[HST_MAX]; /**< in load reports too */
  hst_cold_t cold[HST_MAX];     /**< what is said of cold times */
  clk_ms_t beat_at;             /**< next change of cold entries; 0: none */
  GArray *arrivals;             /**< hst_arrival_t */
  const uint64_t *item_parts;   /**< of items that are submitted */
  size_t item_part_count;
  hst_crash_t crash;            /**< how upstreams end */
  GArray *ends;                 /**< hst_end_t */
  clk_ms_t unlist_at[HST_MAX];  /**< an ended upstream leaves the list; 0: no
                                     such time is set */
  clk_ms_t back_at[HST_MAX];    /**< its next start; 0: it runs */
  uint64_t born_revision;       /**< of the last change of the list */
  unsigned received[HST_MAX];   /**< requests, by upstream */
  unsigned running[HST_MAX];    /**< requests that run now, by upstream */
  clk_ms_t changed_at[HST_MAX]; /**< of running, by upstream */
  clk_ms_t waited_ms;           /**< hst_waited_ms */
  unsigned peak[HST_MAX];       /**< largest value of running, by upstream */
  size_t endless_sent[HST_MAX]; /**< in one response, at most, by upstream */
  GPtrArray *runs;              /**< char *: request ids, one for each run */
  GArray *run_upstreams;        /**< size_t: their upstreams */
  GHashTable *responses;        /**< caller's number to hst_response_t */
  uint64_t callers;             /**< number of the last caller */
  fx_upstream_t last_call;
  void *last_call_ctx;   /**< owns the strings of last_call */
  uint16_t counted_kind; /**< of messages between VMs */
  unsigned counted;      /**< messages of that kind */
  GPtrArray *in_flight;  /**< of hst_inflight_t, ended ones included */
};

/** Index of the VM NAME; vm_count if there is none. */
size_t hst_vm_index (const hst_t *h, const char *name);

/** Add an event of VM that happens DELAY from now; returns it, to be filled in
 * further. */
hst_event_t *hst_event_push (hst_t *h, size_t vm, clk_ms_t delay,
                             const ev_t *ev);

/** Pass EV to VM and carry out the effects. */
void hst_step (hst_t *h, size_t vm, const ev_t *ev);

/* hst_up.c */

/** Start the call U of VM at an upstream. */
void hst_upstream_call (hst_t *h, size_t vm, const fx_upstream_t *u);

/** The in-flight request CALL of VM's process INCARNATION; NULL: ended. */
hst_inflight_t *hst_inflight_find (const hst_t *h, size_t vm,
                                   uint64_t incarnation, uint64_t call);

/** End an in-flight request. */
void hst_inflight_end (hst_t *h, hst_inflight_t *f);

/** End UPSTREAM, as request ID begins to be answered there; "": by itself. */
void hst_upstream_end (hst_t *h, size_t upstream, const char *id);

/** Have ended upstreams leave the list and start again, as far as it is time.
 */
void hst_upstreams_tick (hst_t *h);

/** Send the next event of the stream of E. */
void hst_stream_event_send (hst_t *h, const hst_event_t *e);

/** Deliver the load report of E: head, body and end. */
void hst_load_report_deliver (hst_t *h, const hst_event_t *e);

/* hst_store.c */

/** Whether the long poll C has no change to report yet. */
bool hst_store_is_waiting (const hst_t *h, const fx_platform_t *c);

/** Serve the platform call C; the parts of REPLY are owned by CTX. */
void hst_store_serve (hst_t *h, void *ctx, const fx_platform_t *c,
                      ev_platform_t *reply);

#endif

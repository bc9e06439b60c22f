/** @file
 * What the files of hst share; tests see hst.h.
 */
#ifndef RTS_HST_INT_H
#define RTS_HST_INT_H

#include "hst.h"

/* One thing that happens at an instant. */
typedef struct
{
  clk_ms_t at;
  uint64_t order;
  size_t vm;
  uint64_t incarnation;
  ev_t ev;
  fx_platform_t call; /**< a platform call to be answered then */
  bool is_call;
  clk_ms_t deadline; /**< of a waiting call */
} hst_event_t;

/* An object of the store. */
typedef struct
{
  uint64_t version;
  buf_t value;
} hst_object_t;

/* A request at an upstream. */
typedef struct
{
  size_t vm;
  uint64_t incarnation;
  uint64_t call;
  size_t upstream;
  unsigned first;
  unsigned next;
  bool cancelled;
} hst_inflight_t;

typedef struct
{
  char name[16];
  char address[24];
  node_t *node;
  uint64_t incarnation;
  bool down; /**< the platform does not serve it */
  bool retire;
  bool retired;
  GPtrArray *calls; /**< char *: names */
  bool wants_link[HST_MAX];
  bool linked[HST_MAX];
} hst_vm_t;

struct hst
{
  hst_desc_t desc;
  clk_ms_t now;
  uint64_t order;
  GQueue events;
  hst_vm_t vm[HST_MAX];
  size_t vm_count;
  GTree *objects;
  uint64_t revision;
  uint64_t compacted;       /**< watches from before it have no history */
  bool document_watch_lost; /**< waiting reads of the document hear nothing */
  uint64_t document_revision;
  ev_document_t document;
  cfg_doc_t parts;
  char key_hash[65];
  hst_fault_t faults[HST_MAX];
  unsigned running[HST_MAX];
  unsigned peak[HST_MAX];
  GPtrArray *runs; /**< char *: ids, one for each run */
  GHashTable *answers;
  uint64_t callers;
  fx_upstream_t last_call;
  void *last_call_ctx;
  GPtrArray *in_flight;
};

/** Index of the VM called NAME; vm_count: none. */
size_t hst_vm_index (const hst_t *h, const char *name);

/* hst_store.c */

/** Whether the waiting call C has nothing to say yet. */
bool hst_store_is_waiting (const hst_t *h, const fx_platform_t *c);

/** Carry C out; REPLY's parts are owned by CTX. */
void hst_store_serve (hst_t *h, void *ctx, const fx_platform_t *c,
                      ev_platform_t *reply);

#endif

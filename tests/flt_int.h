/** @file
 * What the files of the fleet harness share.
 */
#ifndef RTS_FLT_INT_H
#define RTS_FLT_INT_H

#include "flt.h"
#include "flt_platform.h"

#include <glib.h>

#define FLT_PEER_MS 1
#define FLT_PLATFORM_MS 4
#define FLT_UPSTREAM_MS 20
#define FLT_LINK_UP_MS 2
#define FLT_FIRST_DOCUMENT_MS 5000 /* until the first document is in force */
#define FLT_WATCH_CHECK_MS 2       /* between looks at waiting watches */
#define FLT_FRAME_BYTES 16         /* of a frame around its body */
#define FLT_LINK_DOWN_MS 2000      /* until a dead link is noticed */

typedef struct
{
  char *name;
  size_t data_centre;
  node_t *node; /**< NULL: dead */
  uint64_t incarnation;
  clk_ms_t frozen_until;
  bool *wants_link; /**< by VM: FX_PEER_LINK is in force */
  bool *linked;     /**< by VM: EV_PEER_UP was given */
  bool exited;
  flt_traffic_t traffic;
} flt_vm_t;

/* Something events for a VM's node. */
typedef struct
{
  size_t vm;
  uint64_t incarnation;
  size_t from;     /**< peer events: the other VM */
  uint64_t cancel; /**< upstream events: dropped when the call is cancelled */
  ev_t ev;
} flt_event_t;

typedef struct
{
  size_t vm;
  uint64_t incarnation;
  uint64_t call;
  char *name;
  uint64_t revision;
  clk_ms_t until;
} flt_watch_t;

struct flt
{
  flt_desc_t desc;
  GRand *rand;
  clk_ms_t now;
  uint64_t seq;
  flt_vm_t *vms;
  size_t vm_count;
  char *token_sha256;
  bool *isolated;    /**< by data centre */
  tmr_t *events;     /**< tag: the flt_event_t */
  GHashTable *index; /**< name -> VM + 1 */
  fpl_t *platform;
  flt_platform_mode_t platform_mode;
  GPtrArray *watches;
  clk_ms_t next_watch_check;  /**< next look at them */
  GHashTable *upstream_modes; /**< address -> mode */
  GHashTable *runs;           /**< marker -> count */
  GHashTable *cancelled;      /**< "vm/incarnation/call" */
  GString *received;          /**< all bytes that upstreams received */
  GPtrArray *responses;
};

/** Something for VM's node after DELAY; its event is to be filled in. */
flt_event_t *flt_event_push (flt_t *f, clk_ms_t delay, size_t vm,
                             ev_kind_t kind);

/** Carry out a node's call to the platform. */
void flt_platform_call (flt_t *f, size_t vm, const fx_platform_t *call);

/** Answer the watches that have news or have waited long enough. */
void flt_watches_check (flt_t *f);

/** Carry out a node's call to an upstream. */
void flt_upstream_call (flt_t *f, size_t vm, const fx_upstream_t *u);

/** Name of a call over all VMs, owned by CTX. */
char *flt_call_name (void *ctx, const flt_t *f, size_t vm, uint64_t call);

#endif

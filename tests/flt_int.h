/** @file
 * flt_int ("fleet, internal"): types, constants and functions shared by the
 * files of the fleet harness; not for tests.
 */
#ifndef RTS_FLT_INT_H
#define RTS_FLT_INT_H

#include "flt.h"
#include "flt_platform.h"

#include <glib.h>

#define FLT_PEER_MS 1              /* default of flt_desc_t */
#define FLT_PLATFORM_MS 4          /* default of flt_desc_t */
#define FLT_UPSTREAM_MS 20         /* default of flt_desc_t */
#define FLT_LINK_UP_MS 2           /* until both ends see a new link */
#define FLT_FIRST_DOCUMENT_MS 5000 /* limit for the first document */
#define FLT_WATCH_CHECK_MS 2       /* interval of the check of open watches */
#define FLT_FRAME_BYTES 16         /* of a message besides its body */
#define FLT_LINK_DOWN_MS 2000      /* until an end sees that a link is dead */

/** A VM. */
typedef struct
{
  char *name;
  size_t data_centre;
  node_t *node; /**< NULL: dead */
  uint64_t incarnation;
  clk_ms_t frozen_until;
  bool *wants_link; /**< by VM: the node asked for a link (FX_PEER_LINK) */
  bool *linked;     /**< by VM: the node was sent EV_PEER_UP */
  bool exited;
  flt_traffic_t traffic;
} flt_vm_t;

/** An event that is due for a VM's node. */
typedef struct
{
  size_t vm;
  uint64_t incarnation;
  size_t from;     /**< peer events: the other VM */
  uint64_t cancel; /**< upstream events: number of the call, whose
                        cancellation drops the event; 0: none */
  ev_t ev;
} flt_event_t;

/** A watch on the platform that waits for a change. */
typedef struct
{
  size_t vm;
  uint64_t incarnation;
  uint64_t call;
  char *name; /**< prefix of the watched objects */
  uint64_t revision;
  clk_ms_t until;
} flt_watch_t;

struct flt
{
  flt_desc_t desc;
  GRand *rand;
  clk_ms_t now;
  uint64_t seq; /**< incarnation of the node that started last */
  flt_vm_t *vms;
  size_t vm_count;
  char *token_sha256;
  bool *isolated;    /**< by data centre */
  tmr_t *events;     /**< tag: the flt_event_t */
  GHashTable *index; /**< name -> VM + 1 */
  fpl_t *platform;
  flt_platform_mode_t platform_mode;
  GPtrArray *watches;
  clk_ms_t next_watch_check;  /**< time of the next flt_watches_check */
  GHashTable *upstream_modes; /**< address -> mode */
  GHashTable *runs;           /**< marker -> count */
  GHashTable *cancelled;      /**< "vm/incarnation/call" */
  GString *received;          /**< all bytes that upstreams received */
  GPtrArray *responses;
};

/** Schedules an event of KIND for VM's node after DELAY; the caller fills in
 * the rest of the event. */
flt_event_t *flt_event_push (flt_t *f, clk_ms_t delay, size_t vm,
                             ev_kind_t kind);

/** Carries out a node's call to the platform. */
void flt_platform_call (flt_t *f, size_t vm, const fx_platform_t *call);

/** Replies to the watches whose objects have changed or whose time has
 * passed. */
void flt_watches_check (flt_t *f);

/** Carries out a node's call to an upstream. */
void flt_upstream_call (flt_t *f, size_t vm, const fx_upstream_t *u);

/** Returns a name for CALL that is unique in the fleet, owned by CTX. */
char *flt_call_name (void *ctx, const flt_t *f, size_t vm, uint64_t call);

#endif

/** @file
 * Internals of membership (prefix mbr_), shared by mbr.c (the list of VMs),
 * mbr_state.c (which VMs are up), mbr_link.c (which links to keep),
 * mbr_relay.c (relayed messages) and mbr_vm.c (queries).
 *
 * Only these files and their test include this header; all others include
 * mbr.h.  Times are in milliseconds.  The membership owns the entries.
 */
#ifndef RTS_MBR_INT_H
#define RTS_MBR_INT_H

#include "core/mbr.h"
#include "core/mpk.h"

#include <string.h>

/* Tags of the timers of mbr_state.c; mbr.c adds its own after these. */
enum
{
  MBR_TIMER_PING = 1,
  MBR_TIMER_LIST_FIRST,
};

/* What reports say of a VM.  Of two reports of one incarnation the larger
 * value holds. */
typedef enum
{
  MBR_UNREPORTED, /* no report has come; without a link the VM is not up */
  MBR_REPORTED_UP,
  MBR_REPORTED_DOWN,
  MBR_REPORTS, /* their number */
} mbr_report_t;

/* A VM of the list. */
typedef struct
{
  mbr_vm_t vm;
  uint64_t name_hash;
  uint32_t row_hash;       /* modulo the side of a grid: the VM's row in it */
  uint32_t column_hash;    /* the same for its column */
  uint32_t row;            /* of the VM's cell in the grid of the kept VMs */
  uint32_t column;         /* of the VM's cell in the grid of the kept VMs */
  bool gone;               /* has been down for long; the others are kept */
  bool link_wanted;        /* this VM keeps a link */
  bool link_open;          /* a link is open, whichever end opened it */
  bool silent;             /* link open, but no message for too long */
  mbr_report_t report;     /* the newest */
  uint64_t incarnation;    /* of the newest report; 0: none yet */
  clk_ms_t received_at;    /* time of the last message from the VM */
  clk_ms_t synced_at;      /* when all reports were last sent to the VM, as it
                              held others; CLK_NEVER: never */
  clk_ms_t link_wanted_at; /* when link_wanted last changed */
} mbr_entry_t;

/* The VMs of a data centre that are up, not leaving and not workers. */
typedef struct
{
  const char *name;
  const char **vms;
  size_t count;
} mbr_data_centre_t;

/* Data derived from the list, valid for one generation. */
typedef struct
{
  uint64_t generation;
  mbr_data_centre_t *data_centres;
  size_t data_centre_count;
  mbr_entry_t **links; /* link open and not silent */
  size_t link_count;
} mbr_derived_t;

struct mbr
{
  mbr_desc_t desc;
  mbr_entry_t **entries; /* the first `sorted` entries are sorted by name */
  size_t count;
  size_t sorted;       /* number of sorted entries; new ones follow */
  mbr_entry_t **order; /* entries in the order of the newest list */
  size_t order_count;
  mbr_entry_t *self;
  uint32_t side;     /* of the grid of the VMs that are not gone */
  uint32_t side_all; /* of the grid of all VMs of the list */
  bool kept_mesh;    /* the VMs that are not gone are a full mesh */
  uint64_t generation;
  mbr_derived_t *derived;
  clk_ms_t poll_ms; /* current interval between reads of the list */
  clk_ms_t list_read_at;
  uint64_t list_revision; /* of the newest list from the platform; 0: none, or
                             the platform gives none */
  clk_ms_t pinged_at;     /* time of the last mbr_ping; a long gap shows that
                             this VM was suspended */
  bool have_list;         /* from the platform or a peer */
  ev_vm_t *page_vms;      /* of the pages read so far of a list that has
                             several; owned, with its strings */
  size_t page_vm_count;
  char *page_after;       /* last name of these pages; NULL: none is read */
  uint64_t page_revision; /* of the first of them */
  GHashTable *unlisted;   /* VMs with an open link that are not in the list */
  mbr_relayed_t *relayed; /* queue of mbr_relayed_pop */
  size_t relayed_first;   /* index of the next message to take */
  size_t relayed_count;
};

/** The entry of the VM called NAME; NULL: not in the list. */
mbr_entry_t *mbr_entry_find (const mbr_t *m, const char *name);

/** The derived data, computed anew if the generation has changed. */
const mbr_derived_t *mbr_derived (const mbr_t *m);

/** Whether A and B are in the same data centre. */
static inline bool
mbr_entry_same_data_centre (const mbr_entry_t *a, const mbr_entry_t *b)
{
  return strcmp (a->vm.data_centre, b->vm.data_centre) == 0;
}

/** Recompute whether E is up, and record a change. */
void mbr_entry_update (mbr_t *m, env_t *env, mbr_entry_t *e);

/** Send heartbeats, and mark VMs down that were silent for too long. */
void mbr_ping (mbr_t *m, env_t *env);

/** Send a heartbeat to each VM with an open link; in a grid with digests of
 * this VM's list and reports. */
void mbr_heartbeats_send (mbr_t *m, env_t *env);

/** Handle MSG_MEMBER_PING from VM: when its list is this VM's and its reports
 * are not, send it all reports. */
void mbr_ping_received (mbr_t *m, env_t *env, const char *vm, mpk_reader_t *r);

/** Handle MSG_MEMBER_STATE from VM. */
void mbr_state_received (mbr_t *m, env_t *env, const char *vm,
                         mpk_reader_t *r);

/** Note which VMs have been down for so long that they count as gone; returns
 * whether that has changed, so that links are to be chosen anew. */
bool mbr_gone_update (mbr_t *m, const env_t *env);

/** Choose the links to keep for the current list. */
void mbr_links_choose (mbr_t *m, env_t *env);

/** Keep a link to E if WANTED, else close the link. */
void mbr_link_set (env_t *env, mbr_entry_t *e, bool wanted);

/** Handle MSG_MEMBER_RELAY from VM. */
void mbr_relay_received (mbr_t *m, env_t *env, const char *vm,
                         mpk_reader_t *r);

#endif

/** @file
 * Membership's state, shared by mbr.c (the list), mbr_state.c (who answers),
 * mbr_link.c (which links to keep), mbr_relay.c (messages over other VMs) and
 * mbr_vm.c (questions).
 *
 * Nothing else but their test includes this.
 */
#ifndef RTS_MBR_INT_H
#define RTS_MBR_INT_H

#include "core/mbr.h"
#include "core/mpk.h"

#include <string.h>

/* Timers of mbr_state.c; those of the list follow. */
enum
{
  MBR_TIMER_PING = 1,
  MBR_TIMER_LIST_FIRST,
};

/* A VM of the list. */
typedef struct
{
  mbr_vm_t vm;
  uint32_t row;
  uint32_t column;
  bool link_wanted;     /* a link is kept */
  bool link_open;       /* a link is open */
  bool silent;          /* open, but nothing was heard for too long */
  bool reported_down;   /* by the newest report, of this incarnation */
  uint64_t incarnation; /* 0: no report yet; only the VM itself adds one */
  clk_ms_t heard_at;
  clk_ms_t link_wanted_at; /* since when a link is kept */
} mbr_entry_t;

/* A data centre's VMs that are up and staying. */
typedef struct
{
  const char *name;
  const char **vms;
  size_t count;
} mbr_data_centre_t;

/* What is worked out from the list; of one generation. */
typedef struct
{
  uint64_t generation;
  mbr_data_centre_t *data_centres;
  size_t data_centre_count;
  mbr_entry_t **links; /* open and not silent */
  size_t link_count;
} mbr_derived_t;

struct mbr
{
  mbr_desc_t desc;
  mbr_entry_t **v; /* ordered by name */
  size_t count;
  size_t sorted;       /* of these, in order; new ones follow */
  mbr_entry_t **order; /* as in the newest list */
  size_t order_count;
  mbr_entry_t *self;
  uint64_t generation;
  mbr_derived_t *derived;
  clk_ms_t poll_ms;
  clk_ms_t list_read_at;
  clk_ms_t pinged_at;
  bool have_list;
  GHashTable *unlisted; /* names of VMs with an open link that are not known */
  mbr_relayed_t *relayed;
  size_t relayed_first;
  size_t relayed_count;
};

/** The VM of that name; NULL: not in the list. */
mbr_entry_t *mbr_entry_find (const mbr_t *m, const char *name);

/** What is worked out from the list, up to date. */
const mbr_derived_t *mbr_derived (const mbr_t *m);

/** Whether A and B are in the same data centre. */
static inline bool
mbr_entry_same_data_centre (const mbr_entry_t *a, const mbr_entry_t *b)
{
  return strcmp (a->vm.data_centre, b->vm.data_centre) == 0;
}

/** Work out anew whether E answers. */
void mbr_entry_update (mbr_t *m, env_t *env, mbr_entry_t *e);

/** Send heartbeats, and take VMs that were silent too long for down. */
void mbr_ping (mbr_t *m, env_t *env);

/** MSG_MEMBER_STATE has come from VM. */
void mbr_state_received (mbr_t *m, env_t *env, const char *vm,
                         mpk_reader_t *r);

/** Choose the links to keep for the list as it is now. */
void mbr_links_choose (mbr_t *m, env_t *env);

/** Keep a link to E, or drop it. */
void mbr_link_set (env_t *env, mbr_entry_t *e, bool wanted);

/** MSG_MEMBER_RELAY has come from VM. */
void mbr_relay_received (mbr_t *m, env_t *env, const char *vm,
                         mpk_reader_t *r);

#endif

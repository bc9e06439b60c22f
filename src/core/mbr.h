/** @file
 * Membership (prefix mbr_): the VMs of the fleet, which of them are up, and
 * how messages reach them.
 *
 *   mbr_t *m = mbr_setup (ctx, &(mbr_desc_t){ 0 });
 *   mbr_start (m, env);
 *   mbr_send (m, env, "jy-vejle-1", kind, body);
 *   const char *vm = mbr_owner (m, "jy-vejle", MOD_LIMIT, "kvist-roster");
 *
 * The platform's list of VMs may be seconds out of date.  A VM keeps the last
 * list while the platform is unavailable; a VM that starts without a list
 * requests one from a peer.  The state of the link to a VM shows whether that
 * VM is up; without a link, reports of peers do, and a VM of which nothing has
 * been heard is not up.  A small fleet is a full mesh
 * of links.  In a large fleet the VMs of each data centre form a grid: a VM
 * keeps links to the VMs of its row and column, and to the VMs of the same
 * cell in the other data centres.  Messages to other VMs are relayed by one or
 * two of these.
 *
 * Do not use this module for decisions that need agreement: two VMs may get
 * different results from every function here.  Times are in milliseconds.
 * Messages may be lost; nothing else fails.  Returned strings belong to the
 * membership.
 */
#ifndef RTS_MBR_H
#define RTS_MBR_H

#include "core/env.h"
#include "core/own.h"

/** Kinds of message. */
typedef enum
{
  MSG_MEMBER_PING
  = MSG_MEMBER_FIRST, /**< the sender is up; empty, or in a grid digests of the
                           names in its list and of its reports */
  MSG_MEMBER_STATE,   /**< name, up, incarnation: a report about a VM */
  MSG_MEMBER_RELAY,   /**< to, from, remaining hops, kind, body */
  MSG_MEMBER_LIST_REQUEST, /**< empty: request for the list */
  MSG_MEMBER_LIST,         /**< age in ms; then for each VM name,
                               data centre, address, leaving, worker */
} mbr_msg_t;

/** Settings of the membership; zeros mean the defaults. */
typedef struct
{
  clk_ms_t poll_ms;     /**< period of reads of a changing list; default 2 s */
  clk_ms_t poll_max_ms; /**< longest such period, for an unchanged list;
                             default 15 s */
  clk_ms_t ping_ms; /**< period of heartbeats; default 500 ms, 3 s in a grid */
  size_t full_mesh_max; /**< largest fleet with a full mesh; default 16 */
  bool worker;          /**< this VM serves no callers */
  bool self_register;   /**< VMs write their own entries of the list */
} mbr_desc_t;

/** Role of a VM, as its entry in the platform's list gives it. */
#define MBR_ROLE_ENTRY "entry"
#define MBR_ROLE_WORKER "worker"

/** One VM; the strings are valid until the VM is removed from the list. */
typedef struct
{
  const char *name;
  const char *data_centre;
  const char *address;
  bool up; /**< up, as far as this VM knows */
  bool leaving;
  bool worker; /**< serves no callers */
  bool self;
  bool listed; /**< in the newest list; this VM's own entry is kept even if
                  it is not listed */
  clk_ms_t down_since; /**< CLK_NEVER while up */
} mbr_vm_t;

/** A message that other VMs relayed to this one. */
typedef struct
{
  const char *from;
  msg_t msg;
} mbr_relayed_t;

typedef struct mbr mbr_t;

/** New membership owned by CTX, without VMs. */
mbr_t *mbr_setup (void *ctx, const mbr_desc_t *desc);

/** Free the membership. */
void mbr_shutdown (mbr_t *m);

/** Add this VM and start to read the list. */
void mbr_start (mbr_t *m, env_t *env);

/** Handle a timer, a platform reply or a message of this module. */
void mbr_timer_fired (mbr_t *m, env_t *env, uint64_t tag);
void mbr_platform_replied (mbr_t *m, env_t *env, const plt_done_t *done,
                           const ev_platform_t *reply);
void mbr_message_received (mbr_t *m, env_t *env, const char *vm,
                           const msg_t *msg);

/** Note that a link to VM was opened, or closed. */
void mbr_peer_up (mbr_t *m, env_t *env, const char *vm);
void mbr_peer_down (mbr_t *m, env_t *env, const char *vm);

/** Note that VM is up, because a message from VM has arrived. */
void mbr_peer_alive (mbr_t *m, env_t *env, const char *vm);

/** Send to VM over a link, or through other VMs; may be lost. */
void mbr_send (mbr_t *m, env_t *env, const char *vm, uint16_t kind,
               buf_t body);

/** Take the next relayed message; the caller handles the message as if the
 * link to OUT->from had delivered it.  OUT is valid until the next call.
 * Returns false when there is none. */
bool mbr_relayed_pop (mbr_t *m, mbr_relayed_t *out);

/** The VMs of the list, sorted by name. */
size_t mbr_vm_count (const mbr_t *m);
const mbr_vm_t *mbr_vm_get (const mbr_t *m, size_t i);

/** The VM called NAME; NULL when it is not in the list. */
const mbr_vm_t *mbr_vm_find (const mbr_t *m, const char *name);

/** The data centres of the list; a name is valid until the membership
 * changes. */
size_t mbr_data_centre_count (const mbr_t *m);
const char *mbr_data_centre_get (const mbr_t *m, size_t i);

/** The VM of DATA_CENTRE that is responsible for NAME, by rendezvous hashing
 * over the VMs that mbr_rank considers.  A hint that saves work, not a lock.
 * NULL when there is no such VM. */
const char *mbr_owner (const mbr_t *m, const char *data_centre, mod_t kind,
                       const char *name);

/** Write the first MAX VMs for NAME in DATA_CENTRE to OUT, most preferred
 * first; returns their number.  Considers VMs that are up, not leaving and not
 * workers. */
size_t mbr_rank (const mbr_t *m, const char *data_centre, mod_t kind,
                 const char *name, const char **out, size_t max);

/** A number that increases whenever a result above may have changed. */
uint64_t mbr_generation (const mbr_t *m);

/** When the list was last read from the platform, by this VM or by the peer
 * that sent the list; CLK_NEVER: never. */
clk_ms_t mbr_list_read_at (const mbr_t *m);

/** Whether the fleet is too large for a full mesh of links. */
bool mbr_is_grid (const mbr_t *m);

/** Number of links that this VM keeps. */
size_t mbr_link_count (const mbr_t *m);

#endif

/** @file
 * Membership: which VMs there are, which of them answer, and how messages
 * reach them.
 *
 *   mbr_t *m = mbr_setup (ctx, &(mbr_desc_t){ 0 });
 *   mbr_start (m, env);
 *   mbr_send (m, env, "jy-vejle-1", kind, body);
 *   const char *vm = mbr_owner (m, "jy-vejle", MOD_LIMIT, "kvist-roster");
 *
 * The list comes from the platform and lags; the last one is kept while the
 * platform is away, and a VM that starts without one asks a peer.  Whether a
 * VM answers is known from the links to it, or from a peer that has one.
 * A small fleet keeps a link between every two VMs.  A large one keeps a
 * grid in each data centre: a VM links with those in its row and column and
 * with those in its cell elsewhere, and other VMs are reached over one or
 * two of these.
 *
 * Nothing here is agreed on: two VMs may differ about every answer.
 */
#ifndef RTS_MBR_H
#define RTS_MBR_H

#include "core/env.h"
#include "core/own.h"

/** Kinds of message. */
typedef enum
{
  MSG_MEMBER_PING = MSG_MEMBER_FIRST, /**< empty: the sender answers */
  MSG_MEMBER_STATE,        /**< name, up, incarnation: a report of a VM */
  MSG_MEMBER_RELAY,        /**< to, from, hops left, kind, body */
  MSG_MEMBER_LIST_REQUEST, /**< empty: send me the list */
  MSG_MEMBER_LIST,         /**< age; name, data centre, address, leaving,
                               repeated */
} mbr_msg_t;

/** How to set membership up. */
typedef struct
{
  clk_ms_t poll_ms;     /**< of the list when it changes; default 2 s */
  clk_ms_t poll_max_ms; /**< when it does not; default 15 s */
  clk_ms_t ping_ms; /**< heartbeat on a link; default 500 ms, 3 s in a grid */
  size_t full_mesh_max; /**< most VMs with all links; default 16 */
  bool worker;          /**< this VM takes no requests of callers */
  bool self_register; /**< the list holds what VMs write to it: write this one
                       */
} mbr_desc_t;

/** What a VM's entry says of its work. */
#define MBR_ROLE_ENTRY "entry"
#define MBR_ROLE_WORKER "worker"

/** One VM; strings live until it leaves the list. */
typedef struct
{
  const char *name;
  const char *data_centre;
  const char *address;
  bool up; /**< answers, as far as is known */
  bool leaving;
  bool worker; /**< takes no requests of callers */
  bool self;
  bool listed;         /**< in the newest list; this VM is kept without */
  clk_ms_t down_since; /**< CLK_NEVER while up */
} mbr_vm_t;

/** A message that came over other VMs. */
typedef struct
{
  const char *from;
  msg_t msg;
} mbr_relayed_t;

typedef struct mbr mbr_t;

/** New membership owned by CTX; knows no VM. */
mbr_t *mbr_setup (void *ctx, const mbr_desc_t *desc);

/** Free it. */
void mbr_shutdown (mbr_t *m);

/** Begin: ask for the list. */
void mbr_start (mbr_t *m, env_t *env);

void mbr_timer_fired (mbr_t *m, env_t *env, uint64_t tag);
void mbr_platform_replied (mbr_t *m, env_t *env, const plt_done_t *done,
                           const ev_platform_t *reply);
void mbr_message_received (mbr_t *m, env_t *env, const char *vm,
                           const msg_t *msg);

/** A link to VM is open, or gone. */
void mbr_peer_up (mbr_t *m, env_t *env, const char *vm);
void mbr_peer_down (mbr_t *m, env_t *env, const char *vm);

/** Any message from VM shows that it answers; node.c may say so. */
void mbr_peer_alive (mbr_t *m, env_t *env, const char *vm);

/** Send to VM over its link or over other VMs; may be lost. */
void mbr_send (mbr_t *m, env_t *env, const char *vm, uint16_t kind,
               buf_t body);

/** Take the next message that came over other VMs and handle it as one from
 * its FROM; valid until the next call.  False: none. */
bool mbr_relayed_pop (mbr_t *m, mbr_relayed_t *out);

/** VMs of the list, ordered by name. */
size_t mbr_vm_count (const mbr_t *m);
const mbr_vm_t *mbr_vm_get (const mbr_t *m, size_t i);

/** By name; NULL when it is not in the list. */
const mbr_vm_t *mbr_vm_find (const mbr_t *m, const char *name);

/** Data centres of the list; the name lives until the list changes. */
size_t mbr_data_centre_count (const mbr_t *m);
const char *mbr_data_centre_get (const mbr_t *m, size_t i);

/** The VM, of those that take requests, that looks after NAME in
 * DATA_CENTRE: a hint for speed only.
 * NULL when no VM of it is known to be up. */
const char *mbr_owner (const mbr_t *m, const char *data_centre, mod_t kind,
                       const char *name);

/** The MAX first VMs for NAME in DATA_CENTRE that are up and staying, workers
 * left out. */
size_t mbr_rank (const mbr_t *m, const char *data_centre, mod_t kind,
                 const char *name, const char **out, size_t max);

/** Grows whenever any answer above may have changed. */
uint64_t mbr_generation (const mbr_t *m);

/** When the platform last gave the list, here or to the peer that it came
 * from; CLK_NEVER: never. */
clk_ms_t mbr_list_read_at (const mbr_t *m);

/** Whether the fleet is too large for links between all VMs. */
bool mbr_is_grid (const mbr_t *m);

/** Links that this VM keeps. */
size_t mbr_link_count (const mbr_t *m);

#endif

/** @file
 * Spread (prefix spr_): which peers a VM forwards updates to, and which VMs
 * watch the platform for the others.
 *
 *   spr_t *s = spr_setup (ctx, "jy-vejle-1", "jy-vejle", members);
 *   spr_update (s, vms, vm_count);   // at each change of the membership
 *   for (size_t i = 0; i < spr_neighbour_count (s); i++)
 *     spr_send (s, env, spr_neighbour (s, i), kind, body);
 *   if (spr_is_relay (s))
 *     ...                            // watch the platform for the others
 *
 * The VMs form a ring, sorted by name.  In a small fleet all VMs are
 * neighbours.  In a large one a VM's neighbours are the VMs 1, 2, 4, 8 ...
 * places after it, so an update reaches all n VMs in at most log2 (n) hops and
 * a VM exchanges messages with at most 2 log2 (n) others.
 *
 * Do not use this module for messages to one VM: use mbr_send.  Messages may
 * be lost; nothing else fails.  The ring owns copies of all names.
 */
#ifndef RTS_SPR_H
#define RTS_SPR_H

#include "core/ev.h"
#include "core/mbr.h"

/** Largest fleet in which all VMs are neighbours. */
#define SPR_FULL_MESH_MAX 16

/** Number of VMs that watch the platform in each data centre. */
#define SPR_RELAY_NUM 2

typedef struct spr spr_t;

/** New ring owned by CTX that holds only this VM.  MEMBERS carries messages to
 * VMs without a link; NULL: messages go over open links only. */
spr_t *spr_setup (void *ctx, const char *vm, const char *data_centre,
                  mbr_t *members);

/** Free the ring. */
void spr_shutdown (spr_t *s);

/** Rebuild the ring from the list of VMs, to which this VM is always added. */
void spr_update (spr_t *s, const ev_vm_t *vms, size_t n);

/** Note a peer with an open link.  Until the ring holds other VMs, these peers
 * are the neighbours. */
void spr_link_add (spr_t *s, const char *vm);

/** Number of VMs on the ring, including this one. */
size_t spr_count (const spr_t *s);

/** Name and data centre of the I-th VM on the ring. */
const char *spr_vm (const spr_t *s, size_t i);
const char *spr_data_centre (const spr_t *s, size_t i);

/** The neighbours to send updates to; this VM needs links to them. */
size_t spr_neighbour_count (const spr_t *s);
const char *spr_neighbour (const spr_t *s, size_t i);

/** Whether this VM watches the platform for its data centre. */
bool spr_is_relay (const spr_t *s);

/** Send a message to VM; may be lost. */
void spr_send (const spr_t *s, env_t *env, const char *vm, uint16_t kind,
               buf_t body);

/** The next hop of a message for VM: VM itself if the ring has MEMBERS or all
 * VMs are neighbours, else the last neighbour that is not after VM on the
 * ring. NULL when VM is this VM or not on the ring. */
const char *spr_next_hop (const spr_t *s, const char *vm);

#endif

/** @file
 * Which peers a VM passes news on to, and which VMs watch the platform.
 *
 *   spr_t *s = spr_setup (ctx, "jy-vejle-1", "jy-vejle", members);
 *   spr_update (s, vms, vm_count);                    at each membership
 * change for (size_t i = 0; i < spr_neighbour_count (s); i++) send to
 * spr_neighbour (s, i); if (spr_is_relay (s)) ... watch the platform for the
 * others
 *
 * The VMs stand on a ring by name.  In a small fleet everybody is a
 * neighbour; in a large one the neighbours are 1, 2, 4, 8 ... places on, so
 * that news reaches all n VMs in at most log2 (n) steps and nobody talks to
 * more than 2 log2 (n) others.
 */
#ifndef RTS_SPR_H
#define RTS_SPR_H

#include "core/ev.h"
#include "core/mbr.h"

/** Up to this size all VMs are each other's neighbours. */
#define SPR_FULL_MESH_MAX 16

/** VMs that watch the platform in each data centre. */
#define SPR_RELAY_NUM 2

typedef struct spr spr_t;

/** New ring owned by CTX that holds only this VM.  MEMBERS (may be NULL, then
 * only open links are used) carries messages to VMs without a link. */
spr_t *spr_setup (void *ctx, const char *vm, const char *data_centre,
                  mbr_t *members);

/** Free it. */
void spr_shutdown (spr_t *s);

/** Take over the list of VMs; this VM is added when it is missing. */
void spr_update (spr_t *s, const ev_vm_t *vms, size_t n);

/** Note a peer with an open link: a neighbour as long as no list is known. */
void spr_link_add (spr_t *s, const char *vm);

/** VMs on the ring, this one included. */
size_t spr_count (const spr_t *s);

/** Name and data centre of the I-th VM on the ring. */
const char *spr_vm (const spr_t *s, size_t i);
const char *spr_data_centre (const spr_t *s, size_t i);

/** Neighbours that news is sent to; links to these are needed. */
size_t spr_neighbour_count (const spr_t *s);
const char *spr_neighbour (const spr_t *s, size_t i);

/** Whether this VM watches the platform for its data centre. */
bool spr_is_relay (const spr_t *s);

/** Send to VM; may be lost. */
void spr_send (const spr_t *s, env_t *env, const char *vm, uint16_t kind,
               buf_t body);

/** Where a message for VM goes next: to itself when there are MEMBERS, else
 * to the neighbour that is nearest to it on the ring.  NULL: VM is not on the
 * ring or is this VM. */
const char *spr_next_hop (const spr_t *s, const char *vm);

#endif

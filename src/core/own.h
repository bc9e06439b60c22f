/** @file
 * Ownership (prefix own_): rendezvous hashing, which assigns a named object to
 * a VM.
 *
 *   const char *vm = own_pick (vms, n, MOD_LIMIT, "kvist-roster");
 *
 * Every VM that has the same list of VMs computes the same owner without a
 * message, and a VM that joins or leaves changes the owner of its own objects
 * only.  Since lists differ between VMs for a while, the owner is only a hint
 * for speed: work that must not be done twice needs a lease (lse.h) or a mint
 * right (lim_share.h).  Names are borrowed; no call fails.
 */
#ifndef RTS_OWN_H
#define RTS_OWN_H

#include "core/mod.h"

#include <stddef.h>
#include <stdint.h>

/** Most VMs that own_rank returns. */
#define OWN_RANK_MAX 32

/** Hashes of a VM's name and of an object's KIND and NAME (its key), for
 * callers that compute many weights for the same VMs. */
uint64_t own_hash_vm (const char *vm);
uint64_t own_hash_key (mod_t kind, const char *name);

/** Weight from the two hashes; see own_weight. */
uint64_t own_weight_hashed (uint64_t vm, uint64_t key);

/** Weight of VM for the object NAME of KIND.  The VM with the largest weight
 * owns the object. */
uint64_t own_weight (const char *vm, mod_t kind, const char *name);

/** The VM among the N names in VMS that owns NAME; NULL when N is 0. */
const char *own_pick (const char *const *vms, size_t n, mod_t kind,
                      const char *name);

/** Sets OUT to the MAX VMs (at most OWN_RANK_MAX) with the largest weights for
 * NAME, largest first, borrowed from VMS.  Returns their count. */
size_t own_rank (const char *const *vms, size_t n, mod_t kind,
                 const char *name, const char **out, size_t max);

#endif

/** @file
 * Rendezvous hashing: which VM looks after a thing.
 *
 *   const char *vm = own_pick (vms, n, MOD_LIMIT, "kvist-roster");
 *
 * Every VM that has the same list comes to the same answer without a
 * message, and a VM that joins or goes moves only its own things.  Lists
 * differ between VMs for a while, so the answer is a hint for speed: what
 * must not be done twice needs a lease or a mint right (lse.h, lim_share.h).
 */
#ifndef RTS_OWN_H
#define RTS_OWN_H

#include "core/mod.h"

#include <stddef.h>
#include <stdint.h>

/** Most VMs that own_rank gives. */
#define OWN_RANK_MAX 32

/** Hash of a VM's name, and of a thing's: for many questions about the same
 * VMs. */
uint64_t own_hash_vm (const char *vm);
uint64_t own_hash_key (mod_t kind, const char *name);

/** As own_weight, from the two hashes. */
uint64_t own_weight_hashed (uint64_t vm, uint64_t key);

/** Weight of VM for thing NAME of KIND; the largest weight owns it. */
uint64_t own_weight (const char *vm, mod_t kind, const char *name);

/** The VM of the N names in VMS that owns NAME; NULL for N 0. */
const char *own_pick (const char *const *vms, size_t n, mod_t kind,
                      const char *name);

/** The MAX (up to OWN_RANK_MAX) heaviest of VMS for NAME, heaviest first, into
 * OUT (borrowed from VMS).  Returns how many there are. */
size_t own_rank (const char *const *vms, size_t n, mod_t kind,
                 const char *name, const char **out, size_t max);

#endif

/** @file
 * Limit lists (prefix lli_): the lists of VMs that divide a data centre's part
 * of a customer's rate, as one platform object stores them.
 *
 *   lli_t *lists = lli_decode (ctx, version, value);  NULL: malformed
 *   part = lli_part (lists, vm, customer, 2, LLI_IN_SHORT, total);
 *
 * Only lim_share.c and the other files of mint rights (lim_share_int.h) use
 * these functions.  They are pure: they read no clock and send no messages.
 * Parts are in units of 1 / LSH_PARTS_TOTAL of a customer's rate and burst;
 * lists belong to the given context.
 */
#ifndef RTS_LIM_LISTS_H
#define RTS_LIM_LISTS_H

#include "core/buf.h"

#include <stdbool.h>
#include <stdint.h>

/** VMs that may change the lists (writers): the first of the short list. */
#define LLI_WRITERS_MAX 3

/** Largest number of data centres of a fleet. */
#define LLI_DATA_CENTRES_MAX 32

/** Largest number of VMs of a data centre on the lists. */
#define LLI_VMS_MAX 1024

/** Most VMs that mint for one customer in a data centre. */
#define LLI_MINTERS_MAX 8

/** Bits of the lists that a VM is on. */
enum
{
  LLI_IN_SHORT_OLD = 1, /**< the previous short list */
  LLI_IN_SHORT = 2,
  LLI_IN_LONG_OLD = 4, /**< the previous long list */
  LLI_IN_LONG = 8,
};

/** The object: one data centre's part and the VMs that divide it. */
typedef struct
{
  uint64_t version;
  uint32_t home_part;  /**< part of a customer whose home is here */
  uint32_t other_part; /**< part of any other customer */
  size_t data_centre_count;
  const char *data_centres[LLI_DATA_CENTRES_MAX]; /**< that divide the total */
  uint64_t short_revision; /**< grows with each change of the short list */
  uint64_t long_revision;  /**< grows with each change of the long list */
  size_t count;
  const char **vms;
  uint64_t *hashes;   /**< own_hash_vm of each VM */
  uint8_t *list_bits; /**< LLI_IN_ bits of each VM */
} lli_t;

/** Encode LISTS as the object's value, owned by CTX. */
buf_t lli_encode (void *ctx, const lli_t *lists);

/** Decode VALUE into lists owned by CTX; NULL when VALUE is malformed. */
lli_t *lli_decode (void *ctx, uint64_t version, buf_t value);

/** Create empty lists owned by CTX. */
lli_t *lli_setup (void *ctx);

/** CUSTOMER's home data centre; NULL: all data centres have equal parts. */
const char *lli_home (const lli_t *lists, const char *customer);

/** Whether A and B divide the total between data centres in the same way. */
bool lli_same_division (const lli_t *a, const lli_t *b);

/** Copy LISTS; the copy is owned by CTX. */
lli_t *lli_copy (void *ctx, const lli_t *lists);

/** Position of VM; count when VM is absent. */
size_t lli_index (const lli_t *lists, const char *vm);

/** Add VM (borrowed) with its LLI_IN_ bits; ignored when LISTS is full. */
void lli_append (lli_t *lists, const char *vm, uint8_t list_bits);

/** Put the writers of LISTS into OUT; returns how many there are. */
size_t lli_writers (const lli_t *lists, const char **out);

/** Position of VM among the writers; LLI_WRITERS_MAX: VM is no writer. */
size_t lli_writer_index (const lli_t *lists, const char *vm);

/** VM's part of TOTAL for CUSTOMER by the list that BIT marks, of which the
 * first MINTERS by rendezvous hashing divide TOTAL; 0: VM is not one of them.
 */
uint32_t lli_part (const lli_t *lists, const char *vm, const char *customer,
                   unsigned minters, uint8_t bit, uint32_t total);

/** Whether the list that BIT marks differs from WANTED, which has one entry
 * for each VM. */
bool lli_differs (const lli_t *lists, const bool *wanted, uint8_t bit);

/** Make WANTED the list that BIT marks, and the list so far the one that
 * OLD_BIT marks; returns how many VMs change. */
size_t lli_replace (lli_t *lists, const bool *wanted, uint8_t bit,
                    uint8_t old_bit);

#endif

/** @file
 * The lists of VMs that divide a data centre's part of the whole, as they
 * stand in one platform object.  Pure: no time, no messages.
 *
 *   lli_t *lists = lli_decode (ctx, version, value);     NULL: not one
 *   part = lli_part (lists, vm, customer, 2, LLI_IN_SHORT, whole);
 *
 * Used by lim_share.c and lim_change.c only.
 */
#ifndef RTS_LIM_LISTS_H
#define RTS_LIM_LISTS_H

#include "core/buf.h"

#include <stdbool.h>
#include <stdint.h>

/** VMs that may change the lists: the first ones of the short list. */
#define LLI_WRITERS_MAX 3

/** Data centres of a fleet. */
#define LLI_DATA_CENTRES_MAX 32

/** VMs of a data centre. */
#define LLI_VMS_MAX 1024

/** Most VMs that mint for one customer in a data centre. */
#define LLI_MINTERS_MAX 8

/** Which lists a VM stands in. */
enum
{
  LLI_IN_SHORT_OLD = 1,
  LLI_IN_SHORT = 2,
  LLI_IN_LONG_OLD = 4,
  LLI_IN_LONG = 8,
};

/** The object: one data centre's part and who divides it. */
typedef struct
{
  uint64_t version;
  uint32_t home_part; /**< part of the whole of a customer at home_part here */
  uint32_t other_part; /**< of any other customer */
  size_t data_centre_count;
  const char *data_centres[LLI_DATA_CENTRES_MAX]; /**< that divide the whole */
  uint64_t short_revision; /**< grows with each change of the short list */
  uint64_t long_revision;
  size_t count;
  const char **vms;
  uint64_t *hashes; /**< own_hash_vm of each */
  uint8_t *list_bits;
} lli_t;

/** The object's value, owned by CTX. */
buf_t lli_encode (void *ctx, const lli_t *lists);

/** The lists in VALUE, owned by CTX; NULL when it is not an object's. */
lli_t *lli_decode (void *ctx, uint64_t version, buf_t value);

/** New empty lists owned by CTX. */
lli_t *lli_setup (void *ctx);

/** The data centre that CUSTOMER is at home_part in; NULL: all are alike. */
const char *lli_home (const lli_t *lists, const char *customer);

/** Whether A and B divide the whole between data centres alike. */
bool lli_same_division (const lli_t *a, const lli_t *b);

/** A copy owned by CTX. */
lli_t *lli_copy (void *ctx, const lli_t *lists);

/** Position of VM; count when it is not there. */
size_t lli_index (const lli_t *lists, const char *vm);

/** Add VM (borrowed) with its bits. */
void lli_append (lli_t *lists, const char *vm, uint8_t list_bits);

/** The VMs that may replace LISTS, into OUT; returns how many. */
size_t lli_writers (const lli_t *lists, const char **out);

/** Position of VM among the writers; LLI_WRITERS_MAX: it is none. */
size_t lli_writer_index (const lli_t *lists, const char *vm);

/** VM's part of WHOLE for CUSTOMER by the list that BIT marks. */
uint32_t lli_part (const lli_t *lists, const char *vm, const char *customer,
                   unsigned minters, uint8_t bit, uint32_t whole);

/** Whether the list that BIT marks is not WANTED. */
bool lli_differs (const lli_t *lists, const bool *wanted, uint8_t bit);

/** Turn BIT's list into OLD_BIT's and WANTED into BIT's; returns how many VMs
 * change. */
size_t lli_replace (lli_t *lists, const bool *wanted, uint8_t bit,
                    uint8_t old_bit);

#endif

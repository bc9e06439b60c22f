/** @file
 * The idempotency record as it stands in the platform, and its name.
 */
#ifndef RTS_IDM_REC_H
#define RTS_IDM_REC_H

#include "core/buf.h"
#include "core/st.h"

#include <stdint.h>

/** Where records stand in the platform, and the parts they are swept in. */
#define IDM_PREFIX "idem/"
#define IDM_SHARDS 64

/** States of a record. */
typedef enum
{
  IDM_REC_BEGUN,   /**< may be running, or its writer is gone */
  IDM_REC_DONE,    /**< ran: status, type, body */
  IDM_REC_UNKNOWN, /**< may have run */
  IDM_REC_NOT_RUN, /**< did not: the next request may take it over */
  IDM_REC_NUM
} idm_rec_state_t;

/** A record. */
typedef struct
{
  idm_rec_state_t state;
  const char *writer;
  uint64_t fingerprint;
  int status;
  const char *type;
  buf_t body;
  bool body_recorded; /**< the body was small enough to be kept */
} idm_rec_t;

/** Name of the record of CUSTOMER's KEY, owned by CTX. */
char *idm_rec_name (void *ctx, const char *customer, const char *key);

/** Prefix of the names of part SHARD, owned by CTX. */
char *idm_rec_shard (void *ctx, unsigned shard);

/** REC as an object's value, owned by CTX. */
buf_t idm_rec_encode (void *ctx, const idm_rec_t *rec);

/** Read a value; REC's pointers are owned by CTX. */
st_code_t idm_rec_decode (void *ctx, buf_t value, idm_rec_t *rec);

#endif

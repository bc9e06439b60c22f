/** @file
 * Idempotency record (prefix idm_rec_): its name in the platform and its
 * encoding as JSON.  Only the idm_ module and its tests use it.  Results are
 * owned by the talloc context CTX.
 */
#ifndef RTS_IDM_REC_H
#define RTS_IDM_REC_H

#include "core/buf.h"
#include "core/st.h"

#include <stdint.h>

/** Prefix of all record names, and the number of shards they are divided
 * into; a sweep lists one shard at a time. */
#define IDM_PREFIX "idem/"
#define IDM_SHARDS 64

/** States of a record. */
typedef enum
{
  IDM_REC_BEGUN,   /**< the request may be running, or the writer is gone */
  IDM_REC_DONE,    /**< the request ran; the response is in the record */
  IDM_REC_UNKNOWN, /**< the request may have run */
  IDM_REC_NOT_RUN, /**< the request did not run; the next one with the key
                        may take the record over */
  IDM_REC_NUM
} idm_rec_state_t;

/** A record; status, type and body are for IDM_REC_DONE only. */
typedef struct
{
  idm_rec_state_t state;
  const char *writer; /**< token: VM/incarnation/number */
  uint64_t fingerprint;
  int status;
  const char *type;
  buf_t body;
  bool body_recorded; /**< false: the body was too large */
} idm_rec_t;

/** Name of the record of CUSTOMER's KEY, owned by CTX. */
char *idm_rec_name (void *ctx, const char *customer, const char *key);

/** Prefix of the record names in SHARD, owned by CTX. */
char *idm_rec_shard (void *ctx, unsigned shard);

/** REC encoded as an object's value, owned by CTX. */
buf_t idm_rec_encode (void *ctx, const idm_rec_t *rec);

/** Decodes VALUE; REC's pointers are owned by CTX.  INVALID: not a record. */
st_code_t idm_rec_decode (void *ctx, buf_t value, idm_rec_t *rec);

#endif

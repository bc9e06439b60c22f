/** @file
 * The record of a batch job, as it stands in the platform and in messages.
 *
 *   buf_t bytes = job_rec_encode (ctx, &rec);
 *   job_rec_t *rec = job_rec_decode (ctx, bytes);         NULL: not readable
 *
 * Holds what all VMs need: whose the job is, its items without their bodies,
 * and which of them stand at which position of the results.  Bodies and
 * texts are objects of their own, written once.
 */
#ifndef RTS_JOB_REC_H
#define RTS_JOB_REC_H

#include "core/buf.h"
#include "core/clk.h"
#include "core/http.h"

#include <stdint.h>

/** Most items of a job. */
#define JOB_ITEMS_MAX 4096

/** An item. */
typedef struct
{
  const char *id;
  const char *target; /**< path and query */
  http_headers_t headers;
  uint64_t tokens;
  uint32_t part;   /**< object that holds its body */
  uint32_t offset; /**< of its body in that object, in bytes */
  uint32_t length;
} job_rec_item_t;

/** A result: at its position from the first record that holds it. */
typedef struct
{
  uint32_t item;
  bool completed; /**< false: given up */
} job_rec_result_t;

/** A job. */
typedef struct
{
  const char *id;
  const char *customer;
  const char *host;  /**< of its route */
  const char *path;  /**< that it was sent to */
  clk_ms_t arrived;  /**< Unix time, in ms */
  clk_ms_t due_ms;   /**< from its arrival */
  clk_ms_t keep_ms;  /**< then items may be given up; 0: never */
  uint32_t attempts; /**< failures after which an item is given up */
  bool ended;        /**< its caller asked for no more */
  uint32_t parts;    /**< objects that hold its bodies */
  job_rec_item_t *items;
  uint32_t item_count;
  job_rec_result_t *results;
  uint32_t result_count;
} job_rec_t;

/** The record as bytes owned by CTX. */
buf_t job_rec_encode (void *ctx, const job_rec_t *rec);

/** The record in BYTES, owned by CTX; NULL when it cannot be read. */
job_rec_t *job_rec_decode (void *ctx, buf_t bytes);

#endif

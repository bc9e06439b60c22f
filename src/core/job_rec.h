/** @file
 * Job record (prefix job_rec_): encoding of a batch job's record, as it is
 * stored in the platform and sent in messages.
 *
 *   buf_t bytes = job_rec_encode (ctx, &rec);
 *   job_rec_t *rec = job_rec_decode (ctx, bytes);         NULL: not readable
 *
 * The record holds the customer and the route of the job, its items without
 * their bodies, and the results in their order.  Bodies and texts of results
 * are separate objects, which are written once.  Use job.h for everything but
 * the encoding.  A decoded record owns its strings and arrays.
 */
#ifndef RTS_JOB_REC_H
#define RTS_JOB_REC_H

#include "core/buf.h"
#include "core/clk.h"
#include "core/http.h"

#include <stdint.h>

/** Most items of a job. */
#define JOB_ITEMS_MAX 4096

/** Most headers of an item. */
#define JOB_HEADERS_MAX 64

/** An item. */
typedef struct
{
  const char *id;
  const char *target; /**< path and query */
  http_headers_t headers;
  uint64_t tokens; /**< of the prompt, plus the most that are generated */
  uint32_t part;   /**< number of the object that holds the body */
  uint32_t offset; /**< of the body in that object, in bytes */
  uint32_t length; /**< of the body, in bytes */
} job_rec_item_t;

/** A result.  Its position does not change in later records. */
typedef struct
{
  uint32_t item;  /**< index of the item */
  bool completed; /**< false: the item was given up */
} job_rec_result_t;

/** A job. */
typedef struct
{
  const char *id;
  const char *customer;
  const char *host;  /**< host of the route (cfg_route_t.method) */
  const char *path;  /**< path of the route */
  clk_ms_t arrived;  /**< Unix time, in ms */
  clk_ms_t due_ms;   /**< time from arrival to the due time */
  clk_ms_t keep_ms;  /**< time from arrival after which items are given up;
                          0: no limit */
  uint32_t attempts; /**< failures after which an item is given up; 0: no
                          limit */
  bool ended;        /**< the caller ended the job */
  uint32_t parts;    /**< count of objects that hold the bodies */
  job_rec_item_t *items;
  uint32_t item_count;
  job_rec_result_t *results; /**< by position */
  uint32_t result_count;
} job_rec_t;

/** Encodes REC into bytes owned by CTX. */
buf_t job_rec_encode (void *ctx, const job_rec_t *rec);

/** Decodes BYTES into a record owned by CTX; NULL when they are malformed. */
job_rec_t *job_rec_decode (void *ctx, buf_t bytes);

#endif

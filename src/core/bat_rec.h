/** @file
 * Records of batch jobs in the platform (prefix bat_, as in bat.h): the names
 * of the objects and their JSON.
 *
 *   char *text = bat_manifest_encode (ctx, &manifest);
 *   if (!bat_manifest_decode (ctx, value, &manifest)) ... not a manifest
 *
 * Use this module to encode and decode only; bat*.c decide when to read and
 * write.  Encoders return text owned by CTX.  Decoders set strings owned by
 * CTX, and return false when the value is not such a record.  Times are in
 * milliseconds.
 */
#ifndef RTS_BAT_REC_H
#define RTS_BAT_REC_H

#include "core/buf.h"
#include "core/clk.h"

#include <jansson.h>
#include <stdint.h>

/** Bytes of a job's id: 32 hex digits and the final NUL. */
#define BAT_ID_SIZE 33

#define BAT_OPEN_PREFIX "batch/open/"

/** State of a job, as in charts/job.ini. */
typedef enum
{
  BAT_JOB_RUNNING,
  BAT_JOB_CANCELLING,
  BAT_JOB_CANCELLED,
  BAT_JOB_COMPLETE,
  BAT_JOB_NUM
} bat_job_state_t;

/** State of a chunk, in its record. */
typedef enum
{
  BAT_CHUNK_WAITING, /**< also the state of a chunk without a record */
  BAT_CHUNK_LEASED,
  BAT_CHUNK_FINAL, /**< each item has its outcome */
  BAT_CHUNK_NUM
} bat_chunk_state_t;

/** Counts of outcomes. */
typedef struct
{
  uint32_t done;
  uint32_t failed;
  uint32_t cancelled;
} bat_counts_t;

/** Manifest, `batch/job/ID`: written when all chunks are stored; after that
 * only state, token and counts change. */
typedef struct
{
  const char *id;
  const char *customer;
  const char *digest; /**< SHA-256 of the body, in hex */
  const char *token;  /**< of the latest write */
  bat_job_state_t state;
  clk_ms_t due; /**< Unix time; 0: none */
  uint32_t items;
  uint32_t chunks;
  uint32_t *firsts; /**< index of each chunk's first item */
  bat_counts_t counts;
} bat_manifest_t;

/** Index entry, `batch/open/ID`: enough to find unfinished jobs and to put
 * them into order. */
typedef struct
{
  const char *customer;
  clk_ms_t due; /**< Unix time; 0: none */
  uint32_t items;
  uint32_t chunks;
} bat_open_job_t;

/** Record of a chunk, `batch/chunk/ID/N`. */
typedef struct
{
  bat_chunk_state_t state;
  const char *holder; /**< "vm/incarnation"; "": none */
  const char *token;  /**< of the latest write */
  uint64_t fence;     /**< fencing number: one more with each lease */
  clk_ms_t term_ms;   /**< of the lease */
  bool stop;          /**< the job is being cancelled */
  uint32_t intent;    /**< non-idempotent items below this index in the chunk
                           may have been sent */
  bat_counts_t counts;
  const char **parts; /**< names of the results that are valid so far */
  uint32_t part_count;
} bat_chunk_t;

/** One stored item. */
typedef struct
{
  const char *custom_id; /**< the customer's own id; NULL: none */
  const char *method;
  const char *path;
  const char *body;
  bool idempotent; /**< as the route was when the job was accepted */
} bat_input_t;

/** How an item ended. */
typedef enum
{
  BAT_DONE,
  BAT_FAILED,
  BAT_CANCELLED,
} bat_outcome_state_t;

/** Outcome of an item: one line of the results. */
typedef struct
{
  uint32_t n; /**< index of the item in the job */
  bat_outcome_state_t state;
  const char *custom_id;
  int status;         /**< HTTP status of the upstream; 0: none */
  const char *reason; /**< with BAT_FAILED */
  buf_t body;         /**< with BAT_DONE: the response body as received */
} bat_outcome_t;

/** Names of objects, owned by CTX. */
char *bat_name_job (void *ctx, const char *id);
char *bat_name_open_job (void *ctx, const char *id);
char *bat_name_items (void *ctx, const char *id, const char *digest,
                      uint32_t chunk);
char *bat_name_chunk (void *ctx, const char *id, uint32_t chunk);
/** Prefix of the names of all chunk records of job ID. */
char *bat_name_chunks (void *ctx, const char *id);
char *bat_name_part (void *ctx, const char *id, uint32_t chunk, uint64_t fence,
                     const char *token);

/** Chunk number at the end of a chunk record's name; UINT32_MAX: none. */
uint32_t bat_name_chunk_number (const char *name);

/** Derives a job id from CUSTOMER and its idempotency KEY. */
void bat_id_make (const char *customer, const char *key, char id[BAT_ID_SIZE]);

const char *bat_job_state_name (bat_job_state_t state);

char *bat_manifest_encode (void *ctx, const bat_manifest_t *m);
bool bat_manifest_decode (void *ctx, buf_t value, bat_manifest_t *m);
char *bat_open_job_encode (void *ctx, const bat_open_job_t *o);
bool bat_open_job_decode (void *ctx, buf_t value, bat_open_job_t *o);
char *bat_chunk_encode (void *ctx, const bat_chunk_t *c);
bool bat_chunk_decode (void *ctx, buf_t value, bat_chunk_t *c);

/** One item as a line without the newline. */
char *bat_input_encode (void *ctx, const bat_input_t *in);
bool bat_input_decode (void *ctx, buf_t line, bat_input_t *in);

/** One outcome as a line with the newline. */
char *bat_outcome_encode (void *ctx, const bat_outcome_t *o);
/** Reads only the index and the state of an outcome line. */
bool bat_outcome_decode (buf_t line, uint32_t *n, bat_outcome_state_t *state);

/** Takes the next line, without its newline, off REST; returns false when
 * REST is empty. */
bool bat_line_next (buf_t *rest, buf_t *line);

#endif

/** @file
 * What batch jobs keep in the platform: names of objects and their JSON.
 *
 *   char *text = bat_manifest_encode (ctx, &manifest);
 *   if (!bat_manifest_decode (ctx, value, &manifest)) ... not one of ours
 *
 * Only encodes and decodes; decides nothing.
 */
#ifndef RTS_BAT_REC_H
#define RTS_BAT_REC_H

#include "core/buf.h"
#include "core/clk.h"

#include <jansson.h>
#include <stdint.h>

/** Hex digits of a job's id. */
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

/** Lease state in a chunk's record. */
typedef enum
{
  BAT_CHUNK_WAITING, /**< also: no record */
  BAT_CHUNK_LEASED,
  BAT_CHUNK_FINAL, /**< every item has its outcome */
  BAT_CHUNK_NUM
} bat_chunk_state_t;

/** Outcomes counted. */
typedef struct
{
  uint32_t done;
  uint32_t failed;
  uint32_t cancelled;
} bat_counts_t;

/** `batch/job/ID`: written once all chunks are stored, then only state. */
typedef struct
{
  const char *id;
  const char *customer;
  const char *digest; /**< of the body, hex */
  const char *token;  /**< of the last writer */
  bat_job_state_t state;
  clk_ms_t due; /**< Unix milliseconds; 0: none */
  uint32_t items;
  uint32_t chunks;
  uint32_t *firsts; /**< index of each chunk's first item */
  bat_counts_t counts;
} bat_manifest_t;

/** `batch/open/ID`: enough to order and find unfinished jobs. */
typedef struct
{
  const char *customer;
  clk_ms_t due;
  uint32_t items;
  uint32_t chunks;
} bat_open_job_t;

/** `batch/chunk/ID/N`. */
typedef struct
{
  bat_chunk_state_t state;
  const char *holder; /**< "vm/incarnation"; "" when nobody */
  const char *token;  /**< of this write */
  uint64_t fence;     /**< one more at each lease */
  clk_ms_t term_ms;
  bool stop;       /**< the job is being cancelled */
  uint32_t intent; /**< non-idempotent items below may have been sent */
  bat_counts_t counts;
  const char **parts; /**< names of the results accepted so far */
  uint32_t part_count;
} bat_chunk_t;

/** One stored item. */
typedef struct
{
  const char *custom_id; /**< the customer's; may be NULL */
  const char *method;
  const char *path;
  const char *body;
  bool idempotent; /**< by the route at acceptance; fixed from then on */
} bat_input_t;

/** How an item ended. */
typedef enum
{
  BAT_DONE,
  BAT_FAILED,
  BAT_CANCELLED,
} bat_outcome_state_t;

/** One line of results. */
typedef struct
{
  uint32_t n; /**< index in the job */
  bat_outcome_state_t state;
  const char *custom_id;
  int status;         /**< the upstream's; 0: none */
  const char *reason; /**< BAT_FAILED */
  buf_t body;         /**< BAT_DONE: the answer as it came */
} bat_outcome_t;

/** Names of objects, owned by CTX. */
char *bat_name_job (void *ctx, const char *id);
char *bat_name_open_job (void *ctx, const char *id);
char *bat_name_items (void *ctx, const char *id, const char *digest,
                      uint32_t chunk);
char *bat_name_chunk (void *ctx, const char *id, uint32_t chunk);
char *bat_name_chunks (void *ctx, const char *id);
char *bat_name_part (void *ctx, const char *id, uint32_t chunk, uint64_t fence,
                     const char *token);

/** Number at the end of a chunk record's name; UINT32_MAX: none. */
uint32_t bat_name_chunk_number (const char *name);

/** Job id from CUSTOMER and its idempotency KEY. */
void bat_id_make (const char *customer, const char *key, char id[BAT_ID_SIZE]);

const char *bat_job_state_name (bat_job_state_t state);

/** Writers: text owned by CTX.  Readers: strings owned by CTX, false when
 * VALUE is not such a record. */
char *bat_manifest_encode (void *ctx, const bat_manifest_t *m);
bool bat_manifest_decode (void *ctx, buf_t value, bat_manifest_t *m);
char *bat_open_job_encode (void *ctx, const bat_open_job_t *o);
bool bat_open_job_decode (void *ctx, buf_t value, bat_open_job_t *o);
char *bat_chunk_encode (void *ctx, const bat_chunk_t *c);
bool bat_chunk_decode (void *ctx, buf_t value, bat_chunk_t *c);

/** One item as a line without its end, owned by CTX. */
char *bat_input_encode (void *ctx, const bat_input_t *in);
bool bat_input_decode (void *ctx, buf_t line, bat_input_t *in);

/** One outcome as a line with its end, owned by CTX. */
char *bat_outcome_encode (void *ctx, const bat_outcome_t *o);
/** Index and end of an outcome line. */
bool bat_outcome_decode (buf_t line, uint32_t *n, bat_outcome_state_t *state);

/** Take the next line (without its end) off REST; false when it is empty. */
bool bat_line_next (buf_t *rest, buf_t *line);

#endif

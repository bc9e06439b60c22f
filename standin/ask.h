/** @file
 * What the files of the stand-in callers share: an answer as it was received,
 * and the judgement of it.  For tests only.
 */
#ifndef STANDIN_ASK_H
#define STANDIN_ASK_H

#include "wire.h"

/** How far the bytes of an answer go. */
typedef enum
{
  ASK_PARTIAL,  /**< more must follow, or the connection has broken */
  ASK_WHOLE,    /**< complete */
  ASK_NO_ANSWER /**< the bytes are no answer in HTTP/1.1 */
} ask_extent_t;

/** An answer, read from bytes; owned by the context given to ask_read. */
typedef struct
{
  ask_extent_t extent;
  size_t size; /**< bytes of a whole answer; more may follow */
  int status;  /**< 0: no whole head yet */
  const char *id;
  const char *signature;
  GString *body;
  bool closes; /**< the connection ends after it */
} ask_answer_t;

/** Reads the answer at the beginning of BYTES. */
ask_answer_t *ask_read (void *ctx, const GString *bytes);

/** Returns what makes answer A to request ID, which should have EVENTS events,
 * another one than its own; NULL: nothing does.  *SIGNER is set when the
 * answer is signed. */
const char *ask_fault (const ask_answer_t *a, const char *id, unsigned events,
                       wire_signer_t *signer);

#endif

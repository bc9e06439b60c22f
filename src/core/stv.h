/** @file
 * Versions of streams (prefix stv_): at which version of an upstream's
 * software each recent resumable stream began, so that it goes on at that
 * version, at whichever VM its caller takes it up.
 *
 *   stv_note (s, env, &(stv_stream_t){ "acme", "r-1" },
 *             &(stv_origin_t){ "snit-llm", "v1.2" });
 *   stv_find (s, env, &(stv_stream_t){ "acme", "r-1" }, tag);
 *   while (stv_result_pop (s, &result))
 *     ... result.origin.version, if result.known
 *
 * The VM that begins a stream keeps its origin and tells a few VMs that are
 * chosen by rendezvous hashing over the stream's id: STV_NOTED_LOCAL in its
 * own data centre and one in each other.  A VM that does not know a stream
 * asks the VMs that may have been told.  So each stream costs a fixed number
 * of messages at any size of the fleet, and the loss of the VM that began it,
 * or of all but one of those told, loses nothing.
 *
 * Use it only to refuse or to constrain: an origin that is not found is not
 * known, not free.  Origins are kept for STV_KEEP_MS and at most STV_MAX at a
 * VM, the oldest go first.  Times are in milliseconds.  Messages may be lost;
 * nothing else fails.
 */
#ifndef RTS_STV_H
#define RTS_STV_H

#include "core/env.h"
#include "core/mbr.h"

/** How long an origin is kept: longer than a caller goes on trying. */
#define STV_KEEP_MS (60 * CLK_SECOND)
/** Most origins that a VM keeps. */
#define STV_MAX 16384
/** Longest id of a request, and longest version, that are kept, in bytes. */
#define STV_ID_MAX ((size_t)128)
#define STV_VERSION_MAX ((size_t)64)
/** Age to which the origins of a VM's own streams are told again when its
 * membership changes: those told may have been out of reach, or others are
 * chosen now. */
#define STV_TOLD_AGAIN_MS (10 * CLK_SECOND)
/** Other VMs of its own data centre that the VM that begins a stream tells. */
#define STV_NOTED_LOCAL 2
/** VMs of each data centre that are asked: those told, and the one that may
 * have begun the stream. */
#define STV_ASKED 3
/** Longest wait for the replies of the VMs asked. */
#define STV_WAIT_MS 150

/** Kinds of message. */
typedef enum
{
  /** Stream's key, deployment, version: where a stream began. */
  MSG_STREAM_NOTE = MSG_STREAM_FIRST,
  /** Number, stream's key: a question. */
  MSG_STREAM_ASK,
  /** Number of the question, 1 if known, deployment, version. */
  MSG_STREAM_TELL,
} stv_msg_t;

/** A stream. */
typedef struct
{
  const char *customer;
  const char *request; /**< id of the request that brought its first event */
} stv_stream_t;

/** Where a stream began. */
typedef struct
{
  const char *deployment;
  const char *version; /**< of the upstream's software; "": the list did not
                            tell it */
} stv_origin_t;

/** Outcome of stv_find; the strings are valid until the next
 * stv_result_pop. */
typedef struct
{
  uint64_t tag;
  bool known;
  stv_origin_t origin; /**< KNOWN */
} stv_result_t;

typedef struct stv stv_t;

/** New module owned by CTX, which uses MEMBERS. */
stv_t *stv_setup (void *ctx, mbr_t *members);

/** Free the module. */
void stv_shutdown (stv_t *s);

/** Whether an id has a form under which streams are kept: 1 to STV_ID_MAX
 * printable ASCII characters without blanks. */
bool stv_id_is_valid (const char *id);

/** STREAM has begun at ORIGIN.  Ignores ids that are not valid and versions
 * that are too long. */
void stv_note (stv_t *s, env_t *env, const stv_stream_t *stream,
               const stv_origin_t *origin);

/** Look for the origin of STREAM; stv_result_pop gives the outcome with TAG,
 * after STV_WAIT_MS at the latest. */
void stv_find (stv_t *s, env_t *env, const stv_stream_t *stream, uint64_t tag);

/** Take the next outcome; false: there is none. */
bool stv_result_pop (stv_t *s, stv_result_t *result);

/** Number of origins that this VM keeps. */
size_t stv_count (const stv_t *s);

/** The membership has changed: tell of recent streams again. */
void stv_members_changed (stv_t *s, env_t *env);

/** Handle a timer or a message of this module. */
void stv_timer_fired (stv_t *s, env_t *env, uint64_t tag);
void stv_message_received (stv_t *s, env_t *env, const char *vm,
                           const msg_t *msg);

#endif

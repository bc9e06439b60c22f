/** @file
 * Directory: the operator's document and the list of upstreams, kept in step
 * with the platform where the operator writes both there.
 *
 *   dir_t *d = dir_setup (ctx, &(dir_desc_t){ 0 });
 *   dir_start (d, env);
 *   ... dir_platform_replied, dir_timer_fired
 *   if (dir_changed (d))
 *     use (dir_doc (d));
 *
 * One waiting call for each of the two; after a failure or a lost history the
 * whole is read again.  A document of a lower version than the one in force is
 * ignored.  Peers tell each other which version they have, so that one that
 * the platform does not serve has it from them.  An entry that disappears
 * within a while of the platform's own trouble stays in use until it has had
 * time to be written again.
 *
 * Not for fleets whose operators write sections through a VM: see cfs.h.
 */
#ifndef RTS_DIR_H
#define RTS_DIR_H

#include "core/cfg.h"
#include "core/env.h"
#include "core/mbr.h"

/** Kinds of message. */
typedef enum
{
  MSG_DIRECTORY_VERSION = MSG_DIRECTORY_FIRST, /**< u64 version in force */
  MSG_DIRECTORY_REQUEST,  /**< u64 version that the sender has */
  MSG_DIRECTORY_DOCUMENT, /**< u64 version, str document as the platform gave
                               it */
} dir_msg_t;

/** How to set the directory up; zeros mean the defaults. */
typedef struct
{
  mbr_t *members;                  /**< required */
  const char *const *data_centres; /**< of the fleet, ends with NULL; copied */
  clk_ms_t watch_ms;    /**< longest wait of a call for news; default 20 s */
  clk_ms_t interval_ms; /**< shortest time between two calls for news; default
                        800 ms */
  clk_ms_t retry_ms;    /**< after a failure; default 250 ms */
  clk_ms_t reregister_ms; /**< entries may take this long to be written again
                           once the platform is back; default 2.5 s */
} dir_desc_t;

typedef struct dir dir_t;

/** New directory owned by CTX. */
dir_t *dir_setup (void *ctx, const dir_desc_t *desc);

/** Free it and the document. */
void dir_shutdown (dir_t *d);

/** Begin to read. */
void dir_start (dir_t *d, env_t *env);

/** The document in force, with the upstreams; NULL before the first one.
 * Lives until dir_changed is true again. */
const cfg_doc_t *dir_doc (const dir_t *d);

/** Version of the operator's document; 0: none yet. */
uint64_t dir_version (const dir_t *d);

/** Whether dir_doc is another one than at the last call. */
bool dir_changed (dir_t *d, env_t *env);

/** Read anew when the platform has lost its history. */
void dir_pump (dir_t *d, env_t *env);

/** A link to VM has come. */
void dir_peer_up (dir_t *d, env_t *env, const char *vm);
void dir_message_received (dir_t *d, env_t *env, const char *vm,
                           const msg_t *msg);

/** A document that a peer has passed on was decoded; NULL: it was not. */
void dir_document_decoded (dir_t *d, env_t *env,
                           const ev_document_t *document);

void dir_timer_fired (dir_t *d, env_t *env, uint64_t tag);
void dir_platform_replied (dir_t *d, env_t *env, const plt_done_t *done,
                           const ev_platform_t *reply);

#endif

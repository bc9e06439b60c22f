/** @file
 * Directory (prefix dir_): the operator's document, the list of upstreams and
 * the list of evacuated data centres, kept up to date from the platform's
 * store, where others write them.
 *
 *   dir_t *d = dir_setup (ctx, &(dir_desc_t){ .members = members });
 *   dir_start (d, env);
 *   ... dir_platform_replied, dir_timer_fired
 *   if (dir_changed (d, env))
 *     use (dir_doc (d));
 *
 * Use this module where the platform holds the configuration; for fleets whose
 * operators write sections through a VM, use cfs.h instead.
 *
 * The directory reads the document and the list once and then watches each
 * with one long poll.  After a failure the call is repeated; when the platform
 * has lost its history, both are read again from the start.  A document whose
 * version is not higher than the one in force is ignored.  Peers send each
 * other their versions, so that a VM that the platform does not serve can
 * fetch the document from a peer.  An upstream that disappears from the list
 * shortly after the platform was away stays in use until it has had time to
 * register again.  Times are in ms.
 */
#ifndef RTS_DIR_H
#define RTS_DIR_H

#include "core/cfg.h"
#include "core/env.h"
#include "core/mbr.h"

/** Kinds of message between peers. */
typedef enum
{
  MSG_DIRECTORY_VERSION = MSG_DIRECTORY_FIRST, /**< u64 version in force at
                                                    the sender; 0: none */
  MSG_DIRECTORY_REQUEST,  /**< asks for a newer document: u64 version in force
                               at the sender */
  MSG_DIRECTORY_DOCUMENT, /**< u64 version, str document as the platform sent
                               it */
  /** Reader to the other VMs of its data centre: u64 list (0 document, 1
   * upstreams), u64 whether it can be read, u64 revision before, u64 revision
   * after, u64 not used, 0; then for each
   * upstream that has changed: str name, u64 flags (1 leaving, 2 deleted, 4
   * unusable, 8 cold time without a meaning; from bit 8 on the remaining cold
   * time in ms), str deployment, str data centre, str address, u64 start, str
   * version. */
  MSG_DIRECTORY_HANDED,
  /** The sender's whole list of evacuated data centres: u64 what it is (0 the
   * sender's list; from the reader to the other VMs of its data centre: 1 the
   * list, confirmed just now, 2 it cannot be read), u64 revision, 0: none is
   * known; u64 count of the names that follow.  An older list is answered with
   * the newer one. */
  MSG_DIRECTORY_EVACUATIONS,
} dir_msg_t;

/** Settings of the directory; zeros mean the defaults. */
typedef struct
{
  /** Required; borrowed for the life of the directory. */
  mbr_t *members;
  /** Data centres of the fleet, ending with NULL; copied. */
  const char *const *data_centres;
  /** Time for which the platform keeps its history; 0: not known. */
  clk_ms_t history_ms;
  /** Longest duration of a long poll.  It must end before the history at which
   * it began is lost; default: three quarters of history_ms, or 10 s if that
   * is not known. */
  clk_ms_t watch_ms;
  /** Shortest time from a call to the long poll that follows; default 800 ms.
   */
  clk_ms_t interval_ms;
  /** Number of VMs from which on one VM of each data centre reads for the
   * others; default 17. */
  size_t follow_vms_min;
  /** Mean delay before a failed call is repeated; default 250 ms. */
  clk_ms_t retry_ms;
  /** Time for upstreams to register again after the platform was last known
   * to be away; default 2.8 s.  A VM that was cut off itself uses upstreams
   * that have left for that long after its return. */
  clk_ms_t reregister_ms;
  /** Time from a change of the evacuated data centres in the store until it
   * must have taken effect; 0: they are not read. */
  clk_ms_t evacuate_ms;
} dir_desc_t;

typedef struct dir dir_t;

/** Create a directory owned by CTX. */
dir_t *dir_setup (void *ctx, const dir_desc_t *desc);

/** Free the directory and its document. */
void dir_shutdown (dir_t *d);

/** Start to read the document and the list of upstreams. */
void dir_start (dir_t *d, env_t *env);

/** The document in force, with the upstreams; NULL before the first one.  The
 * document lives until dir_changed next returns true. */
const cfg_doc_t *dir_doc (const dir_t *d);

/** Version of the operator's document in force; 0 before the first one. */
uint64_t dir_version (const dir_t *d);

/** Rebuild the document if its parts have changed since the last call; returns
 * whether they have.  Returns false before the first operator's document. */
bool dir_changed (dir_t *d, env_t *env);

/** What the list says of the cold time of an upstream. */
typedef struct
{
  const char *upstream; /**< valid until the next call of the directory */
  uint64_t born;        /**< as in cfg_upstream_t */
  clk_ms_t ms;          /**< as in ev_upstream_entry_t.cold_ms */
  clk_ms_t at;          /**< when it was received */
} dir_cold_t;

/** Takes the next cold time that has changed; false: there is none, or the
 * document in force lacks its upstream.  Each heartbeat of a cold upstream
 * changes it, so it is not a part of the document. */
bool dir_cold_pop (dir_t *d, dir_cold_t *cold);

/** When the list of upstreams, or a change of it, was last received;
 * CLK_NEVER: never, or the document in force lacks that change. */
clk_ms_t dir_listed_at (const dir_t *d);

/** Whether the list of evacuated data centres is known, from the platform or
 * from a peer; true where it is not read. */
bool dir_evacuations_known (const dir_t *d);

/** Whether dir_evacuated has changed since the last call. */
bool dir_evacuations_changed (dir_t *d);

/** The evacuated data centres of the fleet, ending with NULL; valid until the
 * next event. */
const char *const *dir_evacuated (const dir_t *d);

/** Read everything again if the platform has lost its history. */
void dir_pump (dir_t *d, env_t *env);

/** Send the version in force, 0 if there is none, to VM, to which a link has
 * opened. */
void dir_peer_up (dir_t *d, env_t *env, const char *vm);
void dir_message_received (dir_t *d, env_t *env, const char *vm,
                           const msg_t *msg);

/** Put a peer's DOCUMENT in force if its version is higher; NULL: decoding
 * failed. */
void dir_document_decoded (dir_t *d, env_t *env,
                           const ev_document_t *document);

void dir_timer_fired (dir_t *d, env_t *env, uint64_t tag);
void dir_platform_replied (dir_t *d, env_t *env, const plt_done_t *done,
                           const ev_platform_t *reply);

#endif

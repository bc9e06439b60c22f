/** @file
 * Callers' keys: which customer a presented key belongs to, and withdrawals.
 *
 *   key_set_t *k = key_setup (ctx, &(key_desc_t){ .peers = cfs_peers (c) });
 *   key_start (k, env);
 *   char *presented = key_extract (tmp, req->headers, req->query);
 *   const cfg_key_t *key = key_check (k, env, doc, presented);
 *   ... key->customer; then key_strip_headers and key_strip_query
 *
 *   const char *name;
 *   while (key_withdrawn_pop (k, &name))
 *     ... end that key's requests (docs/operations/keys.md has the rule)
 *
 * A withdrawal is a record of the key's hash that is never taken back and
 * wins over any document.  It works at once on the VM that is given it,
 * spreads from VM to VM and is written to the platform when that answers.
 * (POSIX has key_t, hence key_set_t.)  Keys in clear are neither kept nor
 * logged; unknown ones leave no trace but a counter.
 */
#ifndef RTS_KEY_H
#define RTS_KEY_H

#include "core/cfg.h"
#include "core/env.h"
#include "core/spr.h"

/** Length of a hash in hex. */
#define KEY_HASH_SIZE 64

/** Longest key that is looked at, in bytes. */
#define KEY_PRESENTED_MAX 512

/** How to set it up. */
typedef struct
{
  const spr_t *peers;     /**< required; outlives the module */
  clk_ms_t tick_ms;       /**< between exchanges; default 1 s */
  size_t withdrawals_max; /**< most withdrawals held; default 200,000 */
} key_desc_t;

typedef struct key key_set_t;

/** New, without withdrawals, owned by CTX. */
key_set_t *key_setup (void *ctx, const key_desc_t *desc);

/** Free it. */
void key_shutdown (key_set_t *k);

/** Begin to read the withdrawals from the platform. */
void key_start (key_set_t *k, env_t *env);

/** Hooks of node.c. */
void key_timer_fired (key_set_t *k, env_t *env, uint64_t tag);
void key_platform_replied (key_set_t *k, env_t *env, const plt_done_t *done,
                           const ev_platform_t *reply);
void key_message_received (key_set_t *k, env_t *env, const char *vm,
                           const msg_t *msg);
void key_peer_up (key_set_t *k, env_t *env, const char *vm);

/** The key of DOC that was presented in clear; NULL: unknown or withdrawn. */
const cfg_key_t *key_check (key_set_t *k, env_t *env, const cfg_doc_t *doc,
                            const char *presented);

/** Whether the key with this hash is withdrawn. */
bool key_withdrawn (const key_set_t *k, const char *sha256);

/** Withdraw the key NAME of DOC, or one by its hash when NAME is 64 hex
 * digits; *SHA256 is set to the hash, valid as long as the module.
 * NOT_FOUND; EXHAUSTED; OK also when it is withdrawn already. */
st_code_t key_withdraw (key_set_t *k, env_t *env, const cfg_doc_t *doc,
                        const char *name, const char **sha256);

/** Take one key, by its name, that has just been withdrawn; NAME is valid as
 * long as the module. */
bool key_withdrawn_pop (key_set_t *k, const char **name);

/** Whether VM has said that it holds the withdrawal.  Known for all VMs only
 * on the VM where it was asked for. */
bool key_confirmed_by (const key_set_t *k, const char *sha256, const char *vm);

/** Whether the platform holds the withdrawal. */
bool key_stored (const key_set_t *k, const char *sha256);

/** Withdrawals held. */
size_t key_withdrawn_count (const key_set_t *k);

/** SHA-256 of PRESENTED as lower-case hex. */
void key_hash (const char *presented, char hash[KEY_HASH_SIZE + 1]);

/** The key that a request presents, owned by CTX, or NULL: Authorization:
 * Bearer, then X-Api-Key, then the query's api_key. */
/** Whether QUERY has a field in which a key may stand. */
bool key_in_query (const char *query);

char *key_extract (void *ctx, http_headers_t headers, const char *query);

/** HEADERS without those in which a key is accepted, and without any that
 * holds PRESENTED (may be NULL).  Owned by CTX; strings are borrowed. */
http_headers_t key_strip_headers (void *ctx, http_headers_t headers,
                                  const char *presented);

/** QUERY without api_key and without any field that holds PRESENTED, owned by
 * CTX. */
char *key_strip_query (void *ctx, const char *query, const char *presented);

#endif

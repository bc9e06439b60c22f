/** @file
 * API keys of callers (prefix key_): finds the customer of a presented key,
 * and keeps and spreads withdrawals of keys.
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
 * Keys are issued in the configuration document; this module does not issue
 * them.  A withdrawal is a record of the key's hash that is never reverted
 * and overrides every document.  It takes effect at once on the VM that gets
 * the request, spreads from VM to VM, and is written to the platform as soon
 * as the platform responds.  Keys in clear are neither stored nor logged; an
 * unknown key changes nothing but a counter.
 *
 * Times are in milliseconds.  (POSIX has a key_t, hence key_set_t.)
 */
#ifndef RTS_KEY_H
#define RTS_KEY_H

#include "core/cfg.h"
#include "core/env.h"
#include "core/spr.h"

/** Length of a SHA-256 hash in hex digits. */
#define KEY_HASH_SIZE 64

/** Longest presented key that is checked, in bytes; a longer one counts as
 * unknown. */
#define KEY_PRESENTED_MAX 512

/** Settings; a zero selects the default. */
typedef struct
{
  const spr_t *peers;     /**< required; borrowed, outlives the module */
  clk_ms_t tick_ms;       /**< between exchanges with peers; default 1 s */
  size_t withdrawals_max; /**< most withdrawals held; default 200,000 */
} key_desc_t;

typedef struct key key_set_t;

/** New module without withdrawals, owned by CTX. */
key_set_t *key_setup (void *ctx, const key_desc_t *desc);

/** Frees the module. */
void key_shutdown (key_set_t *k);

/** Starts the exchange with peers and reads the withdrawals from the platform.
 */
void key_start (key_set_t *k, env_t *env);

/* Called by the node. */
void key_timer_fired (key_set_t *k, env_t *env, uint64_t tag);
void key_platform_replied (key_set_t *k, env_t *env, const plt_done_t *done,
                           const ev_platform_t *reply);
void key_message_received (key_set_t *k, env_t *env, const char *vm,
                           const msg_t *msg);
void key_peer_up (key_set_t *k, env_t *env, const char *vm);

/** Finds the key of DOC that was PRESENTED in clear; NULL: unknown or
 * withdrawn. */
const cfg_key_t *key_check (key_set_t *k, env_t *env, const cfg_doc_t *doc,
                            const char *presented);

/** Whether the key with this hash is withdrawn. */
bool key_withdrawn (const key_set_t *k, const char *sha256);

/** Withdraws the key called NAME in DOC, or the key whose hash is NAME (64
 * lower-case hex digits).  Sets *SHA256 to the hash, valid as long as the
 * module.  NOT_FOUND: no such name and not a hash.  EXHAUSTED: withdrawals_max
 * is reached.  OK also if the key is withdrawn already. */
st_code_t key_withdraw (key_set_t *k, env_t *env, const cfg_doc_t *doc,
                        const char *name, const char **sha256);

/** Takes the next key that this VM has newly learnt to be withdrawn.  *NAME is
 * its name, valid as long as the module; false: there is none. */
bool key_withdrawn_pop (key_set_t *k, const char **name);

/** Whether VM has confirmed that it holds the withdrawal.  Only the VM that
 * got the last request for the withdrawal collects all confirmations. */
bool key_confirmed_by (const key_set_t *k, const char *sha256, const char *vm);

/** Whether the platform holds the withdrawal. */
bool key_stored (const key_set_t *k, const char *sha256);

/** Number of withdrawals that this VM holds. */
size_t key_withdrawn_count (const key_set_t *k);

/** SHA-256 of PRESENTED as lower-case hex. */
void key_hash (const char *presented, char hash[KEY_HASH_SIZE + 1]);

/** Whether QUERY has an api_key field. */
bool key_in_query (const char *query);

/** The key that a request presents, owned by CTX, or NULL.  The first of these
 * counts: Authorization: Bearer, X-Api-Key, the query's api_key. */
char *key_extract (void *ctx, http_headers_t headers, const char *query);

/** HEADERS without Authorization and X-Api-Key, and without any header whose
 * value contains PRESENTED (may be NULL).  Owned by CTX; strings are borrowed.
 */
http_headers_t key_strip_headers (void *ctx, http_headers_t headers,
                                  const char *presented);

/** QUERY without api_key and without any field that contains PRESENTED (may be
 * NULL), owned by CTX. */
char *key_strip_query (void *ctx, const char *query, const char *presented);

#endif

/** @file
 * Exchange of the operator's document between peers: each VM broadcasts its
 * version, and a VM that the platform has not served requests the document.  A
 * VM says its version also where it has none, and is answered with a newer
 * one, so it does not matter whether both ends see a link open.
 */
#include "core/dir_int.h"

#include "core/mpk.h"

#include <string.h>
#include <talloc.h>

/** Time for the platform to deliver a version that a peer already has, before
 * that peer is asked for the document. */
#define DIR_REQUEST_DELAY_MS 300
/** Time for a peer to answer, before the next one is asked. */
#define DIR_REQUEST_NEXT_MS 500

static void
_dir_send (const dir_t *d, env_t *env, const char *vm, uint16_t kind,
           uint64_t version, const buf_t *raw)
{
  void *tmp = talloc_new (d);
  mpk_writer_t w;
  mpk_writer_init (&w, tmp);
  mpk_put_uint (&w, version);
  if (raw != NULL)
    mpk_put_str (&w, *raw);
  fx_peer_send (env->fx, vm, kind, mpk_done (&w));
  talloc_free (tmp);
}

void
dir_version_send (const dir_t *d, env_t *env, const char *vm)
{
  if (vm != NULL)
    {
      _dir_send (d, env, vm, MSG_DIRECTORY_VERSION, d->version, NULL);
      return;
    }
  for (size_t i = 0; i < mbr_vm_count (d->desc.members); i++)
    {
      const mbr_vm_t *peer = mbr_vm_get (d->desc.members, i);
      if (peer->up && !peer->self)
        _dir_send (d, env, peer->name, MSG_DIRECTORY_VERSION, d->version,
                   NULL);
    }
}

/* -- requests ------------------------------------------------------------- */

static void
_dir_newer_peers_clear (dir_t *d)
{
  TALLOC_FREE (d->newer_peers);
  d->newer_count = 0;
}

static void
_dir_newer_peer_add (dir_t *d, const char *vm)
{
  for (size_t i = 0; i < d->newer_count; i++)
    if (strcmp (d->newer_peers[i], vm) == 0)
      return;
  d->newer_peers
      = talloc_realloc (d, d->newer_peers, char *, d->newer_count + 1);
  d->newer_peers[d->newer_count++] = talloc_strdup (d->newer_peers, vm);
}

/* Ask the first of newer_peers, and take it off the list. */
static void
_dir_newer_peer_ask (dir_t *d, env_t *env)
{
  char *vm = d->newer_peers[0];
  _dir_send (d, env, vm, MSG_DIRECTORY_REQUEST, d->version, NULL);
  talloc_free (vm);
  d->newer_count--;
  memmove (d->newer_peers, d->newer_peers + 1,
           d->newer_count * sizeof *d->newer_peers);
}

static void
_dir_request_arm (env_t *env, clk_ms_t delay)
{
  tmr_arm (env->tmr, env->now + delay, MOD_DIRECTORY, DIR_OP_REQUEST);
}

void
dir_document_request (dir_t *d, env_t *env)
{
  if (d->newer_version <= d->version)
    _dir_newer_peers_clear (d);
  if (d->newer_count == 0)
    return;
  _dir_newer_peer_ask (d, env);
  if (d->newer_count > 0)
    _dir_request_arm (env, DIR_REQUEST_NEXT_MS);
}

static void
_dir_version_received (dir_t *d, env_t *env, const char *vm, uint64_t version)
{
  if (version < d->version)
    dir_version_send (d, env, vm);
  if (version <= d->version || version < d->newer_version)
    return;
  bool armed = d->newer_count > 0;
  if (version > d->newer_version)
    _dir_newer_peers_clear (d);
  d->newer_version = version;
  _dir_newer_peer_add (d, vm);
  if (!armed)
    _dir_request_arm (env, DIR_REQUEST_DELAY_MS);
}

void
dir_peer_up (dir_t *d, env_t *env, const char *vm)
{
  dir_version_send (d, env, vm);
  dir_evac_peer_send (d, env, vm);
}

/* Log and count a message from VM that is malformed, or from a VM that has
 * nothing to hand on here. */
static void
_dir_message_refused (env_t *env, const char *vm)
{
  tln_record (env->tln, env->now, MOD_DIRECTORY, "message-refused", "vm=%s",
              vm);
  cnt_add (env->cnt, "rts_directory_bad_messages_total", "", 1);
}

void
dir_message_received (dir_t *d, env_t *env, const char *vm, const msg_t *msg)
{
  void *tmp = talloc_new (d);
  mpk_reader_t r = mpk_reader (tmp, msg->body);
  buf_t raw = { 0 };
  if (msg->kind >= MSG_DIRECTORY_HANDED)
    {
      bool good = msg->kind == MSG_DIRECTORY_HANDED
                      ? dir_handed_received (d, env, vm, &r)
                      : dir_evac_received (d, env, vm, &r);
      if (!good)
        _dir_message_refused (env, vm);
      talloc_free (tmp);
      return;
    }
  uint64_t version = mpk_get_uint (&r);
  if (msg->kind == MSG_DIRECTORY_DOCUMENT)
    raw = mpk_get_str (&r);
  if (!mpk_end (&r))
    _dir_message_refused (env, vm);
  else if (msg->kind == MSG_DIRECTORY_VERSION)
    _dir_version_received (d, env, vm, version);
  else if (msg->kind == MSG_DIRECTORY_REQUEST && version < d->version)
    _dir_send (d, env, vm, MSG_DIRECTORY_DOCUMENT, d->version, &d->raw);
  else if (msg->kind == MSG_DIRECTORY_DOCUMENT && version > d->version)
    fx_push (env->fx, &(fx_t){ .kind = FX_DOCUMENT_DECODE, .document = raw });
  talloc_free (tmp);
}

/** @file
 * Exchange of the operator's document between peers: each VM broadcasts its
 * version, and a VM that the platform has not served requests the document.
 */
#include "core/dir_int.h"

#include "core/mpk.h"

#include <string.h>
#include <talloc.h>

/** Time for the platform to deliver a version that a peer already has, before
 * that peer is asked for the document. */
#define DIR_REQUEST_DELAY_MS 300

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

void
dir_document_request (dir_t *d, env_t *env)
{
  if (d->newer_peer != NULL && d->newer_version > d->version)
    _dir_send (d, env, d->newer_peer, MSG_DIRECTORY_REQUEST, d->version, NULL);
  TALLOC_FREE (d->newer_peer);
}

static void
_dir_version_received (dir_t *d, env_t *env, const char *vm, uint64_t version)
{
  if (version <= d->version
      || (d->newer_peer != NULL && version <= d->newer_version))
    return;
  if (d->newer_peer == NULL)
    tmr_arm (env->tmr, env->now + DIR_REQUEST_DELAY_MS, MOD_DIRECTORY,
             DIR_OP_REQUEST);
  talloc_free (d->newer_peer);
  d->newer_peer = talloc_strdup (d, vm);
  d->newer_version = version;
}

void
dir_peer_up (dir_t *d, env_t *env, const char *vm)
{
  if (d->version != 0)
    dir_version_send (d, env, vm);
}

void
dir_message_received (dir_t *d, env_t *env, const char *vm, const msg_t *msg)
{
  void *tmp = talloc_new (d);
  mpk_reader_t r = mpk_reader (tmp, msg->body);
  uint64_t version = mpk_get_uint (&r);
  buf_t raw = { 0 };
  if (msg->kind == MSG_DIRECTORY_DOCUMENT)
    raw = mpk_get_str (&r);
  if (!mpk_end (&r))
    cnt_add (env->cnt, "rts_directory_bad_messages_total", "", 1);
  else if (msg->kind == MSG_DIRECTORY_VERSION)
    _dir_version_received (d, env, vm, version);
  else if (msg->kind == MSG_DIRECTORY_REQUEST && version < d->version)
    _dir_send (d, env, vm, MSG_DIRECTORY_DOCUMENT, d->version, &d->raw);
  else if (msg->kind == MSG_DIRECTORY_DOCUMENT && version > d->version)
    fx_push (env->fx, &(fx_t){ .kind = FX_DOCUMENT_DECODE, .document = raw });
  talloc_free (tmp);
}

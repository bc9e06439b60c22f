/** @file
 * Platform calls through peers.
 *
 * The platform may serve some VMs and refuse others, or a VM may be cut off
 * from the platform but not from its peers.  When a call about a single object
 * had no effect, a peer makes the call once more and replies with the outcome.
 * Writes are conditional, so this is as safe as a retry by the VM itself.
 *
 * Each call sent to a peer has a number that no other such call of this VM
 * has, also none of an earlier process.  Only an outcome with that number from
 * that peer ends the call.
 */
#include "core/node_int.h"

#include "core/mpk.h"

#include <string.h>
#include <talloc.h>

/** Kinds of message. */
enum
{
  /** u64 number of the call, u64 operation, str name, u64 version,
   * u64 allow_stale, str value */
  MSG_PLATFORM_CALL = MSG_PLATFORM_FIRST,
  /** u64 number of the call, which the peer returns as it is, u64 status,
   * u64 version, str value, u64 1 if there is an object, else 0 */
  MSG_PLATFORM_OUTCOME,
};

/** Time limit for a peer's reply, and for a platform call for a peer. */
#define NODE_RELAY_TIMEOUT_MS (1 * CLK_SECOND)

/** Largest number of concurrent calls for peers. */
#define NODE_RELAYS_MAX 256

/* A call of this VM that a peer makes. */
typedef struct
{
  uint64_t number; /**< in the messages */
  uint64_t call;   /**< as plt_reply expects it */
  char *vm;        /**< the peer */
} _node_asked_t;

/* A call that this VM makes for a peer. */
typedef struct
{
  char *vm;
  uint64_t number; /**< the peer's id of the call */
} _node_relay_t;

/* -- this VM's calls ------------------------------------------------------ */

/* A random peer that is up and not leaving; NULL: none. */
static const char *
_node_relay_peer (const node_t *n)
{
  const char *peer = NULL;
  gint32 seen = 0;
  for (size_t i = 0; i < mbr_vm_count (n->mbr); i++)
    {
      const mbr_vm_t *vm = mbr_vm_get (n->mbr, i);
      if (vm->up && !vm->self && !vm->leaving
          && g_rand_int_range (n->env->rand, 0, ++seen) == 0)
        peer = vm->name;
    }
  return peer;
}

static void
_node_asked_free (gpointer data)
{
  talloc_free (data);
}

/* Note that PEER is asked to make CALL; returns the number for the messages.
 */
static uint64_t
_node_asked_add (node_t *n, const char *peer, uint64_t call)
{
  if (n->asked == NULL)
    {
      n->asked = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                        _node_asked_free);
      n->asked_last = env_number_base (n->env);
    }
  _node_asked_t *a = talloc_zero (n, _node_asked_t);
  a->number = ++n->asked_last;
  a->call = call;
  a->vm = talloc_strdup (a, peer);
  g_hash_table_insert (n->asked, &a->number, a);
  return a->number;
}

/* Set *CALL to the call with NUMBER that VM was asked to make, and forget that
 * VM was asked; false if VM was not.  VM NULL: any peer. */
static bool
_node_asked_take (node_t *n, const char *vm, uint64_t number, uint64_t *call)
{
  const _node_asked_t *a
      = n->asked == NULL ? NULL : g_hash_table_lookup (n->asked, &number);
  if (a == NULL || (vm != NULL && strcmp (vm, a->vm) != 0))
    return false;
  *call = a->call;
  g_hash_table_remove (n->asked, &number);
  return true;
}

/* End CALL with CODE, without an outcome from a peer: ST_UNKNOWN if a peer may
 * have made the call, since a write may then have had its effect. */
static void
_node_relay_fail (node_t *n, uint64_t call, st_code_t code)
{
  ev_platform_t reply = { .call = call, .code = code };
  node_platform_replied (n, &reply);
}

static void
_node_relay_send (node_t *n, const char *peer, const plt_relay_t *relay)
{
  uint64_t number = _node_asked_add (n, peer, relay->call);
  void *ctx = talloc_new (n);
  mpk_writer_t w;
  mpk_writer_init (&w, ctx);
  mpk_put_uint (&w, number);
  mpk_put_uint (&w, relay->op);
  mpk_put_str (&w, buf_str (relay->name));
  mpk_put_uint (&w, relay->if_version);
  mpk_put_uint (&w, relay->allow_stale);
  mpk_put_str (&w, relay->value);
  mbr_send (n->mbr, n->env, peer, MSG_PLATFORM_CALL, mpk_done (&w));
  talloc_free (ctx);
  tmr_arm (n->env->tmr, n->env->now + NODE_RELAY_TIMEOUT_MS, MOD_PLATFORM,
           number);
}

void
node_relay_drain (node_t *n)
{
  plt_relay_t relay;
  while (plt_relay_pop (n->env, &relay))
    {
      const char *peer = _node_relay_peer (n);
      if (peer == NULL)
        _node_relay_fail (n, relay.call, ST_UNAVAILABLE);
      else
        _node_relay_send (n, peer, &relay);
    }
}

void
node_relay_timer (node_t *n, uint64_t tag)
{
  uint64_t call;
  if (_node_asked_take (n, NULL, tag, &call))
    _node_relay_fail (n, call, ST_UNKNOWN);
}

static void
_node_relay_outcome_received (node_t *n, const char *vm, mpk_reader_t *in)
{
  ev_object_t object = { .name = "" };
  ev_platform_t reply = { 0 };
  uint64_t number = mpk_get_uint (in);
  uint64_t code = mpk_get_uint (in);
  object.version = mpk_get_uint (in);
  object.value = mpk_get_str (in);
  bool has = mpk_get_uint (in) != 0;
  if (!mpk_end (in) || code >= ST_NUM)
    {
      cnt_add (n->env->cnt, "rts_platform_bad_messages_total", "", 1);
      return;
    }
  if (!_node_asked_take (n, vm, number, &reply.call))
    {
      cnt_add (n->env->cnt, "rts_platform_unasked_total", "", 1);
      tln_record (n->env->tln, n->env->now, MOD_PLATFORM, "outcome-dropped",
                  "from=%s number=%llu why=not-asked", vm,
                  (unsigned long long)number);
      return;
    }
  reply.code = (st_code_t)code;
  reply.objects = has ? &object : NULL;
  reply.object_count = has;
  node_platform_replied (n, &reply);
}

/* -- calls for peers ------------------------------------------------------ */

static void
_node_relay_call_received (node_t *n, const char *vm, mpk_reader_t *in)
{
  uint64_t number = mpk_get_uint (in);
  uint64_t op = mpk_get_uint (in);
  buf_t name = mpk_get_str (in);
  uint64_t version = mpk_get_uint (in);
  bool allow_stale = mpk_get_uint (in) != 0;
  buf_t value = mpk_get_str (in);
  if (!mpk_end (in)
      || (op != FX_PLATFORM_GET && op != FX_PLATFORM_PUT
          && op != FX_PLATFORM_DELETE))
    {
      cnt_add (n->env->cnt, "rts_platform_bad_messages_total", "", 1);
      return;
    }
  if (n->relays == NULL)
    n->relays = tbl_setup (n, &(tbl_desc_t){ .size = sizeof (_node_relay_t),
                                             .max = NODE_RELAYS_MAX });
  tbl_id_t id = tbl_alloc (n->relays);
  _node_relay_t *r = tbl_get (n->relays, id);
  if (r == NULL)
    return;
  *r = (_node_relay_t){ .vm = talloc_strdup (n, vm), .number = number };
  plt_call (n->env, &(plt_req_t){ .mod = MOD_PLATFORM,
                                  .tag = id.id,
                                  .op = (fx_platform_op_t)op,
                                  .name = name.p,
                                  .if_version = version,
                                  .value = value,
                                  .timeout_ms = NODE_RELAY_TIMEOUT_MS,
                                  .direct = true,
                                  .allow_stale = allow_stale });
}

void
node_relay_done (node_t *n, const plt_done_t *done, const ev_platform_t *reply)
{
  tbl_id_t id = { .id = done->tag };
  _node_relay_t *r = tbl_get (n->relays, id);
  bool has = reply->object_count == 1;
  void *ctx = talloc_new (n);
  mpk_writer_t w;
  mpk_writer_init (&w, ctx);
  mpk_put_uint (&w, r->number);
  mpk_put_uint (&w, reply->code);
  mpk_put_uint (&w, has ? reply->objects[0].version : 0);
  mpk_put_str (&w, has ? reply->objects[0].value : (buf_t){ .p = "" });
  mpk_put_uint (&w, has);
  mbr_send (n->mbr, n->env, r->vm, MSG_PLATFORM_OUTCOME, mpk_done (&w));
  talloc_free (ctx);
  talloc_free (r->vm);
  tbl_free (n->relays, id);
}

void
node_relay_message (node_t *n, const char *vm, const msg_t *msg)
{
  void *ctx = talloc_new (n);
  mpk_reader_t in = mpk_reader (ctx, msg->body);
  if (msg->kind == MSG_PLATFORM_CALL)
    _node_relay_call_received (n, vm, &in);
  else
    _node_relay_outcome_received (n, vm, &in);
  talloc_free (ctx);
}

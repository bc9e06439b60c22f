/** @file
 * Operator API (opr): lists, the status, and reports of the VMs that have a
 * configuration version or know of a withdrawn key.
 */
#include "core/opr_int.h"
#include "core/rpl.h"

#include <string.h>
#include <talloc.h>

#define OPR_HASH_SHOWN 12 /**< digits of a key's hash in lists */

static void
_opr_json_send (const opr_call_t *call, json_t *body)
{
  rpl_json (call->env, call->req->caller, 200, body);
}

static json_t *
_opr_key_json (const opr_call_t *call, const cfg_key_t *key)
{
  char hash[OPR_HASH_SHOWN + 1];
  g_strlcpy (hash, key->sha256, sizeof hash);
  return json_pack ("{s:s, s:s, s:s, s:s, s:b}", "name", key->name, "customer",
                    key->customer, "owner", key->owner, "sha256", hash,
                    "withdrawn",
                    key_withdrawn (call->o->desc.key, key->sha256));
}

void
opr_keys (const opr_call_t *call)
{
  const cfg_doc_t *doc = cfs_doc (call->o->desc.cfs);
  json_t *list = json_array ();
  for (size_t i = 0; doc != NULL && i < doc->key_count; i++)
    json_array_append_new (list, _opr_key_json (call, &doc->keys[i]));
  _opr_json_send (call, json_pack ("{s:o}", "keys", list));
}

void
opr_customers (const opr_call_t *call)
{
  const cfg_doc_t *doc = cfs_doc (call->o->desc.cfs);
  const char *name = opr_query (call, "name");
  json_t *list = json_array ();
  for (size_t i = 0; doc != NULL && i < doc->customer_count; i++)
    {
      const cfg_customer_t *c = &doc->customers[i];
      if (name == NULL || strcmp (c->name, name) == 0)
        json_array_append_new (
            list, json_pack ("{s:s, s:s, s:f, s:f, s:f}", "name", c->name,
                             "owner", c->owner, "rate", c->rate, "burst",
                             c->burst, "weight", c->weight));
    }
  if (name != NULL && json_array_size (list) == 0)
    {
      json_decref (list);
      opr_refuse (call, 404, "not-found", "no such customer");
      return;
    }
  _opr_json_send (call, json_pack ("{s:o}", "customers", list));
}

void
opr_upstreams (const opr_call_t *call)
{
  const cfg_doc_t *doc = cfs_doc (call->o->desc.cfs);
  json_t *list = json_array ();
  for (size_t i = 0; doc != NULL && i < doc->upstream_count; i++)
    {
      const cfg_upstream_t *u = &doc->upstreams[i];
      json_array_append_new (
          list, json_pack ("{s:s, s:s, s:s, s:s, s:s, s:b}", "name", u->name,
                           "owner", u->owner, "deployment", u->deployment,
                           "data_centre", u->data_centre, "address",
                           u->address, "leaving", u->leaving));
    }
  _opr_json_send (call, json_pack ("{s:o}", "upstreams", list));
}

void
opr_status (const opr_call_t *call)
{
  const opr_desc_t *d = &call->o->desc;
  const env_t *env = call->env;
  const cfg_doc_t *doc = cfs_doc (d->cfs);
  json_t *status = json_pack (
      "{s:s, s:s, s:I, s:b, s:b, s:I, s:I, s:I}", "vm", env->vm, "data_centre",
      env->data_centre, "config_version", (json_int_t)cfs_version (d->cfs),
      "leaving", call->o->leaving, "platform_available",
      plt_available (env->plt), "customers",
      (json_int_t)(doc ? doc->customer_count : 0), "keys",
      (json_int_t)(doc ? doc->key_count : 0), "keys_withdrawn",
      (json_int_t)key_withdrawn_count (d->key));
  if (d->status_add != NULL)
    d->status_add (d->data, status);
  _opr_json_send (call, status);
}

void
opr_timeline (const opr_call_t *call)
{
  char *text = tln_format (call->ctx, call->env->tln, call->env->vm);
  rpl_text (call->env, call->req->caller, 200, "application/json",
            buf_str (text));
}

/* -- confirmations by VM -------------------------------------------------- */

/* Count VM in the totals of its data centre.  HAS: the VM has the version or
   the withdrawal that the report is about. */
static void
_opr_data_centre_count (json_t *data_centres, const char *data_centre,
                        const char *vm, bool has)
{
  json_t *c = json_object_get (data_centres, data_centre);
  if (c == NULL)
    {
      c = json_pack ("{s:i, s:i, s:[]}", "vms", 0, "confirmed", 0, "missing");
      json_object_set_new (data_centres, data_centre, c);
    }
  json_t *vms = json_object_get (c, "vms");
  json_t *confirmed = json_object_get (c, "confirmed");
  json_integer_set (vms, json_integer_value (vms) + 1);
  if (has)
    json_integer_set (confirmed, json_integer_value (confirmed) + 1);
  else
    json_array_append_new (json_object_get (c, "missing"), json_string (vm));
}

/* Subject of a report: a version of the configuration or a withdrawn key. */
typedef struct
{
  uint64_t version;   /**< of the configuration; used if sha256 is NULL */
  const char *sha256; /**< hash of a withdrawn key */
} _opr_confirm_query_t;

static bool
_opr_vm_has (const opr_call_t *call, const _opr_confirm_query_t *q,
             const char *vm)
{
  const opr_desc_t *d = &call->o->desc;
  bool self = strcmp (vm, call->env->vm) == 0;
  if (q->sha256 != NULL)
    return self ? key_withdrawn (d->key, q->sha256)
                : key_confirmed_by (d->key, q->sha256, vm);
  uint64_t version = self ? cfs_version (d->cfs) : cfs_version_of (d->cfs, vm);
  return version >= q->version;
}

/* Add to REPORT the number of VMs that have the subject of Q, in total and for
   each data centre. */
static void
_opr_confirmations_add (const opr_call_t *call, const _opr_confirm_query_t *q,
                        json_t *report)
{
  const spr_t *peers = cfs_peers (call->o->desc.cfs);
  json_t *data_centres = json_object ();
  json_int_t confirmed = 0;
  for (size_t i = 0; i < spr_count (peers); i++)
    {
      const char *vm = spr_vm (peers, i);
      bool has = _opr_vm_has (call, q, vm);
      confirmed += has;
      _opr_data_centre_count (data_centres, spr_data_centre (peers, i), vm,
                              has);
    }
  json_object_set_new (report, "vms",
                       json_integer ((json_int_t)spr_count (peers)));
  json_object_set_new (report, "confirmed", json_integer (confirmed));
  json_object_set_new (report, "data_centres", data_centres);
}

void
opr_config_confirmed (const opr_call_t *call)
{
  const char *version = opr_query (call, "version");
  guint64 n = 0;
  if (version == NULL
      || !g_ascii_string_to_unsigned (version, 10, 1, INT64_MAX, &n, NULL))
    {
      opr_refuse (call, 400, "invalid", "version: expected a number");
      return;
    }
  json_t *report = json_pack ("{s:I}", "version", (json_int_t)n);
  _opr_confirmations_add (call, &(_opr_confirm_query_t){ .version = n },
                          report);
  _opr_json_send (call, report);
}

void
opr_withdrawal_report (const opr_call_t *call, const char *sha256)
{
  json_t *report = json_pack ("{s:s, s:b}", "sha256", sha256, "stored",
                              key_stored (call->o->desc.key, sha256));
  _opr_confirmations_add (call, &(_opr_confirm_query_t){ .sha256 = sha256 },
                          report);
  _opr_json_send (call, report);
}

void
opr_keys_withdrawn (const opr_call_t *call)
{
  const cfg_doc_t *doc = cfs_doc (call->o->desc.cfs);
  const char *name = opr_query (call, "name");
  const char *sha256 = opr_query (call, "sha256");
  const cfg_key_t *key = doc && name ? cfg_key_find_name (doc, name) : NULL;
  if (key != NULL)
    sha256 = key->sha256;
  if (sha256 == NULL || !key_withdrawn (call->o->desc.key, sha256))
    opr_refuse (call, 404, "not-found", "no withdrawal of this key");
  else
    opr_withdrawal_report (call, sha256);
}

#include "core/idm_rec.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

static const char *const state_names[IDM_REC_NUM]
    = { "begun", "done", "unknown", "not-run" };

char *
idm_rec_name (void *ctx, const char *customer, const char *key)
{
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);
  /* Including the terminating zero keeps "a" + "bc" apart from "ab" + "c". */
  g_checksum_update (sum, (const guchar *)customer,
                     (gssize)strlen (customer) + 1);
  g_checksum_update (sum, (const guchar *)key, (gssize)strlen (key));
  const char *hex = g_checksum_get_string (sum);
  char first_byte[3] = { hex[0], hex[1], 0 };
  unsigned shard = (unsigned)strtoul (first_byte, NULL, 16) % IDM_SHARDS;
  char *name = talloc_asprintf (ctx, IDM_PREFIX "%02x/%s", shard, hex);
  g_checksum_free (sum);
  return name;
}

char *
idm_rec_shard (void *ctx, unsigned shard)
{
  return talloc_asprintf (ctx, IDM_PREFIX "%02x/", shard);
}

buf_t
idm_rec_encode (void *ctx, const idm_rec_t *rec)
{
  char request[17];
  g_snprintf (request, sizeof request, "%016llx",
              (unsigned long long)rec->fingerprint);
  json_t *o = json_pack ("{s:s, s:s, s:s}", "state", state_names[rec->state],
                         "writer", rec->writer, "request", request);
  if (rec->state == IDM_REC_DONE)
    {
      json_object_set_new (o, "status", json_integer (rec->status));
      if (rec->type != NULL)
        json_object_set_new (o, "type", json_string (rec->type));
      if (rec->body_recorded)
        {
          char *text
              = g_base64_encode ((const guchar *)rec->body.p, rec->body.n);
          json_object_set_new (o, "body", json_string (text));
          g_free (text);
        }
    }
  char *text = json_dumps (o, JSON_COMPACT);
  buf_t value = buf_copy (ctx, buf_str (text));
  free (text);
  json_decref (o);
  return value;
}

static bool
_idm_rec_state_decode (const char *name, idm_rec_state_t *state)
{
  for (int i = 0; i < IDM_REC_NUM; i++)
    if (strcmp (state_names[i], name) == 0)
      {
        *state = (idm_rec_state_t)i;
        return true;
      }
  return false;
}

static void
_idm_rec_body_decode (void *ctx, const char *base64, idm_rec_t *rec)
{
  gsize n = 0;
  guchar *bytes = g_base64_decode (base64, &n);
  rec->body = buf_copy (ctx, (buf_t){ .p = (const char *)bytes, .n = n });
  rec->body_recorded = true;
  g_free (bytes);
}

st_code_t
idm_rec_decode (void *ctx, buf_t value, idm_rec_t *rec)
{
  *rec = (idm_rec_t){ .writer = "" };
  json_t *o = json_loadb (value.p, value.n, 0, NULL);
  const char *state = NULL;
  const char *writer = NULL;
  const char *request = NULL;
  const char *type = NULL;
  const char *body = NULL;
  int bad = json_unpack (o, "{s:s, s:s, s:s, s?i, s?s, s?s}", "state", &state,
                         "writer", &writer, "request", &request, "status",
                         &rec->status, "type", &type, "body", &body);
  if (bad != 0 || !_idm_rec_state_decode (state, &rec->state))
    {
      json_decref (o);
      return ST_INVALID;
    }
  rec->writer = talloc_strdup (ctx, writer);
  rec->fingerprint = strtoull (request, NULL, 16);
  rec->type = type != NULL ? talloc_strdup (ctx, type) : NULL;
  if (body != NULL)
    _idm_rec_body_decode (ctx, body, rec);
  json_decref (o);
  return ST_OK;
}

/** @file
 * The objects of the fake platform of the driver's bed, and their changes.
 */
#include "drvbed_int.h"

#include <string.h>
#include <talloc.h>

static char *
_drvbed_key (const drvbed_t *b, const char *kind, const char *name)
{
  return talloc_asprintf (b, "%s/%s", kind, name);
}

static void
_drvbed_change_add (drvbed_t *b, const char *kind, json_t *object,
                    bool deleted)
{
  drvbed_change_t *c = talloc_zero (b, drvbed_change_t);
  *c = (drvbed_change_t){ .kind = talloc_strdup (c, kind),
                          .revision = b->revision,
                          .object = json_incref (object),
                          .deleted = deleted };
  g_ptr_array_add (b->changes, c);
}

json_t *
drvbed_store_put (drvbed_t *b, const char *kind, const char *name,
                  const json_t *spec)
{
  char *key = _drvbed_key (b, kind, name);
  json_t *object = json_pack ("{s:{s:s, s:I}, s:O}", "metadata", "name", name,
                              "revision", ++b->revision, "spec", spec);
  json_object_set_new (b->objects, key, object);
  _drvbed_change_add (b, kind, object, false);
  talloc_free (key);
  drvbed_watches_serve (b);
  return object;
}

void
drvbed_store_remove (drvbed_t *b, const char *kind, const char *name)
{
  char *key = _drvbed_key (b, kind, name);
  json_t *object = json_object_get (b->objects, key);
  if (object != NULL)
    {
      b->revision++;
      _drvbed_change_add (b, kind, object, true);
      json_object_del (b->objects, key);
    }
  talloc_free (key);
  drvbed_watches_serve (b);
}

json_t *
drvbed_store_find (const drvbed_t *b, const char *kind, const char *name)
{
  char *key = _drvbed_key (b, kind, name);
  json_t *object = json_object_get (b->objects, key);
  talloc_free (key);
  return object;
}

json_t *
drvbed_store_list (const drvbed_t *b, const char *kind)
{
  json_t *items = json_array ();
  const char *key;
  json_t *object;
  size_t n = strlen (kind);
  json_object_foreach (b->objects, key, object)
  {
    if (strncmp (key, kind, n) == 0 && key[n] == '/')
      json_array_append (items, object);
  }
  return json_pack ("{s:o, s:I}", "items", items, "currentRev", b->revision);
}

/* Whether C is a change of KIND after REVISION. */
static bool
_drvbed_is_change (const drvbed_change_t *c, const char *kind,
                   json_int_t revision)
{
  return c->revision > revision && strcmp (c->kind, kind) == 0;
}

json_t *
drvbed_store_changes (const drvbed_t *b, const char *kind, json_int_t revision)
{
  json_t *events = json_array ();
  for (guint i = 0; i < b->changes->len; i++)
    {
      const drvbed_change_t *c = g_ptr_array_index (b->changes, i);
      if (_drvbed_is_change (c, kind, revision))
        json_array_append_new (events,
                               json_pack ("{s:O, s:b}", "object", c->object,
                                          "deleted", c->deleted));
    }
  return json_pack ("{s:o, s:I}", "events", events, "currentRev", b->revision);
}

bool
drvbed_store_has_changed (const drvbed_t *b, const char *kind,
                          json_int_t revision)
{
  for (guint i = 0; i < b->changes->len; i++)
    if (_drvbed_is_change (g_ptr_array_index (b->changes, i), kind, revision))
      return true;
  return false;
}

#include "core/cfg.h"

#include "core/cfg_fields.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

/* A document under construction. */
typedef struct
{
  cfg_doc_t *doc;
  GKeyFile *file;
  void *ctx; /**< of the faults */
  cfg_faults_t *faults;
  const cfg_section_t *section;
} _cfg_parse_t;

static void
_cfg_fault (const _cfg_parse_t *p, const char *key, const char *found,
            const char *expected)
{
  cfg_fault_add (p->ctx, p->faults,
                 &(cfg_fault_t){ .line = p->section->line,
                                 .section = p->section->name,
                                 .key = key,
                                 .found = found,
                                 .expected = expected });
}

static void
_cfg_fields_parse (_cfg_parse_t *p, const cfg_kind_info_t *kind, char *record)
{
  const char *group = p->section->name;
  for (const cfg_field_t *f = kind->fields; f->key != NULL; f++)
    {
      char *s = g_key_file_get_value (p->file, group, f->key, NULL);
      const char *value = s == NULL ? f->fallback : s;
      if (value == NULL)
        _cfg_fault (p, f->key, NULL, f->expected);
      else if (!cfg_field_set (p->doc, f, value, record))
        _cfg_fault (p, f->key, value[0] == '\0' ? "nothing" : value,
                    f->expected);
      g_free (s);
    }
}

static bool
_cfg_key_known (const cfg_kind_info_t *kind, const char *key)
{
  for (const cfg_field_t *f = kind->fields; f->key != NULL; f++)
    {
      if (strcmp (f->key, key) == 0)
        return true;
    }
  return false;
}

static void
_cfg_unknown_key_fault (_cfg_parse_t *p, const cfg_kind_info_t *kind,
                        const char *key)
{
  char *list = talloc_strdup (p->ctx, "one of:");
  for (const cfg_field_t *f = kind->fields; f->key != NULL; f++)
    list = talloc_asprintf_append (list, " %s", f->key);
  _cfg_fault (p, key, "an unknown key", list);
  talloc_free (list);
}

static void
_cfg_unknown_keys_find (_cfg_parse_t *p, const cfg_kind_info_t *kind)
{
  char **keys = g_key_file_get_keys (p->file, p->section->name, NULL, NULL);
  for (size_t i = 0; keys != NULL && keys[i] != NULL; i++)
    {
      if (!_cfg_key_known (kind, keys[i]))
        _cfg_unknown_key_fault (p, kind, keys[i]);
    }
  g_strfreev (keys);
}

static bool
_cfg_route_name (_cfg_parse_t *p, const char *name, cfg_route_t *route)
{
  static const char *const methods[]
      = { "GET", "POST", "PUT", "PATCH", "DELETE", "HEAD" };
  const char *space = strchr (name, ' ');
  if (space == NULL)
    return false;
  route->method = talloc_strndup (p->doc, name, (size_t)(space - name));
  route->path = talloc_strdup (p->doc, space + 1);
  const char *star = strchr (route->path, '*');
  if (route->path[0] != '/' || strpbrk (route->path, " ?#") != NULL
      || strlen (route->path) > CFG_PATH_MAX
      || (star != NULL && (star[1] != '\0' || star[-1] != '/')))
    return false;
  for (size_t i = 0; i < sizeof methods / sizeof methods[0]; i++)
    {
      if (strcmp (methods[i], route->method) == 0)
        return true;
    }
  return false;
}

static char *
_cfg_record_add (cfg_doc_t *doc, const cfg_kind_info_t *kind)
{
  char **array = (char **)((char *)doc + kind->array);
  size_t *count = (size_t *)((char *)doc + kind->count);
  size_t room = *array == NULL ? 0 : talloc_get_size (*array) / kind->size;
  if (*array == NULL || *count == room)
    *array = talloc_realloc_size (doc, *array,
                                  (room == 0 ? 8 : 2 * room) * kind->size);
  char *record = *array + *count * kind->size;
  memset (record, 0, kind->size);
  (*count)++;
  return record;
}

static void
_cfg_section_parse (_cfg_parse_t *p)
{
  const char *name = p->section->name;
  const char *space = strchr (name, ' ');
  size_t n = space == NULL ? strlen (name) : (size_t)(space - name);
  const cfg_kind_info_t *kind = NULL;
  for (size_t i = 0; i < CFG_KINDS; i++)
    {
      if (strlen (cfg_kinds[i].word) == n
          && strncmp (cfg_kinds[i].word, name, n) == 0)
        kind = &cfg_kinds[i];
    }
  if (kind == NULL)
    {
      _cfg_fault (p, NULL, "an unknown kind of section",
                  "data-centre, customer, key, deployment, upstream or route");
      return;
    }
  char *record = _cfg_record_add (p->doc, kind);
  const char *rest = talloc_strdup (p->doc, space == NULL ? "" : space + 1);
  bool valid = kind->index == CFG_INDEX_ROUTE
                   ? _cfg_route_name (p, rest, (cfg_route_t *)record)
                   : cfg_name_valid (rest);
  if (kind->index != CFG_INDEX_ROUTE)
    *(const char **)record = rest;
  if (!valid)
    _cfg_fault (p, NULL, NULL, kind->form);
  size_t at = *(size_t *)((char *)p->doc + kind->count) - 1;
  (void)cfg_index_add (p->doc->index, kind->index, rest, at);
  _cfg_fields_parse (p, kind, record);
  _cfg_unknown_keys_find (p, kind);
  if (kind->index == CFG_INDEX_KEY)
    {
      const cfg_key_t *key = (const cfg_key_t *)record;
      if (key->sha256 != NULL
          && !cfg_index_add (p->doc->index, CFG_INDEX_SHA256, key->sha256, at))
        _cfg_fault (p, "sha256", key->sha256, "a hash that no other key has");
    }
}

/* Every reference of the section leads to a section that is there. */
static void
_cfg_references_check (_cfg_parse_t *p)
{
  for (size_t i = 0; i < CFG_KINDS; i++)
    {
      size_t n = strlen (cfg_kinds[i].word);
      if (strncmp (cfg_kinds[i].word, p->section->name, n) != 0
          || p->section->name[n] != ' ')
        continue;
      for (const cfg_field_t *f = cfg_kinds[i].fields; f->key != NULL; f++)
        {
          if (!f->refers)
            continue;
          char *s
              = g_key_file_get_value (p->file, p->section->name, f->key, NULL);
          size_t at;
          if (s != NULL && !cfg_index_get (p->doc->index, f->to, s, &at))
            _cfg_fault (p, f->key, s, f->expected);
          g_free (s);
        }
    }
}

static GString *
_cfg_join (const cfg_sections_t *sections)
{
  GString *all = g_string_new ("");
  for (size_t i = 0; i < sections->count; i++)
    g_string_append (all, sections->v[i].text);
  return all;
}

static void
_cfg_sections_parse (_cfg_parse_t *p, const cfg_sections_t *sections)
{
  for (size_t i = 0; i < sections->count; i++)
    {
      p->section = &sections->v[i];
      _cfg_section_parse (p);
    }
  for (size_t i = 0; i < sections->count; i++)
    {
      p->section = &sections->v[i];
      _cfg_references_check (p);
    }
}

st_code_t
cfg_doc_check (void *ctx, buf_t text, cfg_doc_t **doc, cfg_faults_t *faults)
{
  void *tmp = talloc_new (ctx);
  cfg_sections_t sections;
  (void)cfg_sections_split (tmp, text, &sections, faults);
  _cfg_parse_t p = { .ctx = tmp, .faults = faults };
  p.doc = talloc_zero (tmp, cfg_doc_t);
  p.doc->index = cfg_index_setup (p.doc);
  p.file = g_key_file_new ();
  GString *all = _cfg_join (&sections);
  bool loaded = sections.count == 0
                || g_key_file_load_from_data (p.file, all->str, all->len,
                                              G_KEY_FILE_NONE, NULL);
  if (loaded)
    _cfg_sections_parse (&p, &sections);
  else
    cfg_fault_add (tmp, faults,
                   &(cfg_fault_t){ .expected = "sections of key = value" });
  g_string_free (all, TRUE);
  g_key_file_free (p.file);
  if (faults->count > 0)
    return ST_INVALID;
  *doc = talloc_steal (ctx, p.doc);
  talloc_free (tmp);
  return ST_OK;
}

st_code_t
cfg_doc_parse (void *ctx, buf_t text, cfg_doc_t **doc, st_t *st)
{
  void *tmp = talloc_new (NULL);
  cfg_faults_t faults = { 0 };
  st_code_t code = cfg_doc_check (tmp, text, doc, &faults);
  if (code == ST_OK)
    {
      talloc_steal (ctx, *doc);
      st_set (st, ST_OK, "%s", "");
    }
  else
    {
      char *all = cfg_fault_format (tmp, &faults.v[0], "document");
      if (faults.count > 1)
        all = talloc_asprintf_append (all, " (and %zu more)",
                                      faults.count - 1 + faults.more);
      st_set (st, code, "%s", all);
    }
  talloc_free (tmp);
  return code;
}

/** @file
 * Configuration document (cfg): parses one section into a piece.
 */
#include "core/cfg_fields.h"

#include <string.h>
#include <talloc.h>

/* State of the parse of one section. */
typedef struct
{
  cfg_piece_t *piece;
  GKeyFile *file;
  void *ctx; /**< owns the faults */
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
_cfg_fields_parse (_cfg_parse_t *p, const cfg_section_kind_t *kind,
                   char *record)
{
  const char *group = p->section->name;
  for (const cfg_field_t *f = kind->fields; f->key != NULL; f++)
    {
      char *s = g_key_file_get_value (p->file, group, f->key, NULL);
      const char *value = s == NULL ? f->default_value : s;
      if (value == NULL)
        _cfg_fault (p, f->key, NULL, f->expected);
      else if (!cfg_field_set (p->piece, f, value, record))
        _cfg_fault (p, f->key, value[0] == '\0' ? "nothing" : value,
                    f->expected);
      g_free (s);
    }
}

static bool
_cfg_key_known (const cfg_section_kind_t *kind, const char *key)
{
  for (const cfg_field_t *f = kind->fields; f->key != NULL; f++)
    {
      if (strcmp (f->key, key) == 0)
        return true;
    }
  return false;
}

static void
_cfg_unknown_key_fault (_cfg_parse_t *p, const cfg_section_kind_t *kind,
                        const char *key)
{
  char *list = talloc_strdup (p->ctx, "one of:");
  for (const cfg_field_t *f = kind->fields; f->key != NULL; f++)
    list = talloc_asprintf_append (list, " %s", f->key);
  _cfg_fault (p, key, "an unknown key", list);
  talloc_free (list);
}

static void
_cfg_unknown_keys_check (_cfg_parse_t *p, const cfg_section_kind_t *kind)
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
_cfg_route_name_parse (_cfg_parse_t *p, const char *name, cfg_route_t *route)
{
  static const char *const methods[]
      = { "GET", "POST", "PUT", "PATCH", "DELETE", "HEAD" };
  const char *space = strchr (name, ' ');
  if (space == NULL)
    return false;
  route->method = talloc_strndup (p->piece, name, (size_t)(space - name));
  route->path = talloc_strdup (p->piece, space + 1);
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

static const cfg_section_kind_t *
_cfg_section_kind_find (const char *name)
{
  size_t n = strcspn (name, " ");
  for (size_t i = 0; i < CFG_SECTION_KINDS_NUM; i++)
    {
      if (strlen (cfg_section_kinds[i].keyword) == n
          && strncmp (cfg_section_kinds[i].keyword, name, n) == 0)
        return &cfg_section_kinds[i];
    }
  return NULL;
}

cfg_piece_t *
cfg_piece_parse (void *ctx, GKeyFile *file, const cfg_section_t *section,
                 void *faults_ctx, cfg_faults_t *faults)
{
  _cfg_parse_t p = {
    .file = file, .ctx = faults_ctx, .faults = faults, .section = section
  };
  const cfg_section_kind_t *kind = _cfg_section_kind_find (section->name);
  if (kind == NULL)
    {
      _cfg_fault (&p, NULL, "an unknown kind of section",
                  "data-centre, customer, key, deployment, upstream or route");
      return NULL;
    }
  cfg_piece_t *piece = p.piece = talloc_zero (ctx, cfg_piece_t);
  piece->kind = kind;
  piece->line = section->line;
  piece->name = talloc_strdup (piece, section->name);
  piece->object_name = piece->name + strlen (kind->keyword);
  if (piece->object_name[0] == ' ')
    piece->object_name++;
  piece->record = talloc_zero_size (piece, kind->size);
  bool valid = kind->index == CFG_INDEX_ROUTE
                   ? _cfg_route_name_parse (&p, piece->object_name,
                                            (cfg_route_t *)piece->record)
                   : cfg_name_valid (piece->object_name);
  /* The first field of every section's struct except cfg_route_t is the
     name. */
  if (kind->index != CFG_INDEX_ROUTE)
    *(const char **)piece->record = piece->object_name;
  if (!valid)
    _cfg_fault (&p, NULL, NULL, kind->syntax);
  _cfg_fields_parse (&p, kind, piece->record);
  _cfg_unknown_keys_check (&p, kind);
  return piece;
}

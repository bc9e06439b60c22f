/** @file
 * Configuration store (cfs): evaluates a change against the sections in force.
 * The results are a diff, conflicts with changes since the base version, and
 * faults.
 */
#include "core/cfs_int.h"

#include <string.h>
#include <talloc.h>

/* Evaluation of one change. */
typedef struct
{
  void *ctx;
  const cfs_t *c;
  const cfs_change_t *change;
  cfg_sections_t sections;
  cfs_records_t records; /**< changed records */
  char *diff;            /**< of all changed sections */
  char *conflicts;       /**< diff of the sections that changed after the base
                              version */
  char *faults;
} _cfs_change_check_t;

/* Append the lines of A that B does not contain, each with the prefix
   MARK. */
static char *
_cfs_lines_diff (char *out, const char *a, const char *b, char mark)
{
  char **in_a = g_strsplit (a, "\n", -1);
  char **in_b = g_strsplit (b, "\n", -1);
  for (size_t i = 0; in_a[i] != NULL; i++)
    {
      if (in_a[i][0] != '\0' && in_a[i][0] != '['
          && !g_strv_contains ((const char *const *)in_b, in_a[i]))
        out = talloc_asprintf_append (out, "%c%s\n", mark, in_a[i]);
    }
  g_strfreev (in_a);
  g_strfreev (in_b);
  return out;
}

static char *
_cfs_section_diff (char *out, const cfs_record_t *old, const char *name,
                   const char *text)
{
  const char *before = old == NULL ? "" : old->text;
  const char *suffix = "";
  if (before[0] == '\0')
    suffix = " (new)";
  else if (text[0] == '\0')
    suffix = " (removed)";
  out = talloc_asprintf_append (out, "[%s]%s\n", name, suffix);
  out = _cfs_lines_diff (out, before, text, '-');
  return _cfs_lines_diff (out, text, before, '+');
}

/* Whether TEXT is a section that another team than TEAM owns.  An empty text
   has no owner. */
static bool
_cfs_owned_by_other_team (const char *text, const char *team)
{
  if (team == NULL || text[0] == '\0')
    return false;
  char *line = g_strdup_printf ("\nowner = %s\n", team);
  bool foreign = strstr (text, line) == NULL;
  g_free (line);
  return foreign;
}

static void
_cfs_section_check (_cfs_change_check_t *k, const char *name, const char *text)
{
  const cfs_record_t *old = cfs_set_find (k->c->set, name);
  if (strcmp (old == NULL ? "" : old->text, text) == 0)
    return;
  uint64_t version = old == NULL ? 0 : old->version;
  if (k->c->desc.check == CFS_CHECK_DOCUMENT)
    version = k->c->version;
  k->diff = _cfs_section_diff (k->diff, old, name, text);
  if (version > k->change->base)
    {
      k->conflicts
          = talloc_asprintf_append (k->conflicts,
                                    "changed in version %" G_GUINT64_FORMAT
                                    ", base is %" G_GUINT64_FORMAT ": ",
                                    version, k->change->base);
      k->conflicts = _cfs_section_diff (k->conflicts, old, name, text);
    }
  if (_cfs_owned_by_other_team (text, k->change->team)
      || (old != NULL
          && _cfs_owned_by_other_team (old->text, k->change->team)))
    k->faults = talloc_asprintf_append (
        k->faults, "[%s] owner: expected a section of team %s\n", name,
        k->change->team);
  cfs_record_t record
      = { .name = name, .text = text, .version = k->c->version + 1 };
  cfs_records_append (k->ctx, &k->records,
                      &(cfs_records_t){ .v = &record, .count = 1 });
}

static void
_cfs_sections_check (_cfs_change_check_t *k)
{
  for (size_t i = 0; i < k->sections.count; i++)
    {
      const cfg_section_t *s = &k->sections.v[i];
      bool removed = s->empty && !k->change->whole;
      _cfs_section_check (k, s->name, removed ? "" : s->text);
    }
  if (!k->change->whole)
    return;
  GHashTable *given = g_hash_table_new (g_str_hash, g_str_equal);
  for (size_t i = 0; i < k->sections.count; i++)
    g_hash_table_add (given, (gpointer)k->sections.v[i].name);
  cfs_records_t all = cfs_set_since (k->ctx, k->c->set, 0);
  for (size_t i = 0; i < all.count; i++)
    {
      if (all.v[i].text[0] != '\0'
          && !g_hash_table_contains (given, all.v[i].name))
        _cfs_section_check (k, all.v[i].name, "");
    }
  g_hash_table_destroy (given);
}

static char *
_cfs_faults_text (const _cfs_change_check_t *k, char *out,
                  const cfg_faults_t *faults)
{
  for (size_t i = 0; i < faults->count; i++)
    {
      char *line = cfg_fault_format (k->ctx, &faults->v[i], "document");
      out = talloc_asprintf_append (out, "%s\n", line);
    }
  if (faults->more > 0)
    out = talloc_asprintf_append (out, "and %zu more\n", faults->more);
  return out;
}

/* Line of the section NAME in the operator's text; 0: not in the text. */
static unsigned
_cfs_section_line (const _cfs_change_check_t *k, const char *name)
{
  for (size_t i = 0; i < k->sections.count; i++)
    {
      if (strcmp (k->sections.v[i].name, name) == 0)
        return k->sections.v[i].line;
    }
  return 0;
}

static st_code_t
_cfs_candidate_parse (_cfs_change_check_t *k, cfs_effect_t *effect)
{
  cfg_faults_t faults = { 0 };
  cfg_sections_t changes = cfs_records_sections (k->ctx, &k->records);
  st_code_t code
      = cfg_doc_patch (k->ctx, k->c->doc, &changes, &effect->doc, &faults);
  for (size_t i = 0; i < faults.count; i++)
    faults.v[i].line = _cfs_section_line (k, faults.v[i].section);
  if (code != ST_OK)
    k->faults = _cfs_faults_text (k, k->faults, &faults);
  return code;
}

st_code_t
cfs_effect_compute (void *ctx, const cfs_t *c, const cfs_change_t *change,
                    cfs_effect_t *effect, cfs_result_t *result)
{
  _cfs_change_check_t k = { .ctx = ctx, .c = c, .change = change };
  k.diff = talloc_strdup (ctx, "");
  k.conflicts = talloc_strdup (ctx, "");
  k.faults = talloc_strdup (ctx, "");
  cfg_faults_t faults = { 0 };
  result->version = c->version;
  result->code = cfg_sections_split (ctx, change->text, &k.sections, &faults);
  if (result->code != ST_OK)
    {
      result->text = _cfs_faults_text (&k, k.faults, &faults);
      return result->code;
    }
  _cfs_sections_check (&k);
  effect->records = k.records;
  result->text = k.diff;
  result->unchanged = k.records.count == 0;
  if (k.conflicts[0] != '\0')
    {
      result->text = k.conflicts;
      result->code = ST_CONFLICT;
    }
  else if (_cfs_candidate_parse (&k, effect) != ST_OK || k.faults[0] != '\0')
    {
      result->text = k.faults;
      result->code = ST_INVALID;
    }
  return result->code;
}

cfs_result_t
cfs_diff (void *ctx, const cfs_t *c, const cfs_change_t *change)
{
  cfs_result_t result = { 0 };
  cfs_effect_t effect = { 0 };
  (void)cfs_effect_compute (ctx, c, change, &effect, &result);
  return result;
}

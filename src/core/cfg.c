/** @file
 * Configuration document (cfg): parses changes and builds documents from
 * parsed sections (pieces).
 */
#include "core/cfg.h"

#include "core/cfg_fields.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/* A document under construction. */
typedef struct
{
  cfg_doc_t *doc;
  void *ctx; /**< owns the faults and the working memory */
  cfg_faults_t *faults;
} _cfg_build_t;

static void
_cfg_piece_fault (_cfg_build_t *b, const cfg_piece_t *piece, const char *key,
                  const char *found, const char *expected)
{
  cfg_fault_add (b->ctx, b->faults,
                 &(cfg_fault_t){ .line = piece->line,
                                 .section = piece->name,
                                 .key = key,
                                 .found = found,
                                 .expected = expected });
}

/* -- pieces --------------------------------------------------------------- */

/* Change of the section NAME. */
typedef struct
{
  const char *name;
  cfg_piece_t *piece; /**< NULL: removed */
} _cfg_change_t;

static int
_cfg_change_compare (const void *a, const void *b)
{
  return strcmp (((const _cfg_change_t *)a)->name,
                 ((const _cfg_change_t *)b)->name);
}

/* Load the texts of the changed sections as one file; false when a text is
   malformed or the texts do not contain one section each. */
static bool
_cfg_file_load (GKeyFile *file, const cfg_sections_t *sections)
{
  GString *all = g_string_new ("");
  gsize expected = 0;
  gsize groups = 0;
  for (size_t i = 0; i < sections->count; i++)
    {
      expected += sections->v[i].text[0] != '\0';
      g_string_append (all, sections->v[i].text);
    }
  bool loaded = expected == 0
                || g_key_file_load_from_data (file, all->str, all->len,
                                              G_KEY_FILE_NONE, NULL);
  g_string_free (all, TRUE);
  g_strfreev (g_key_file_get_groups (file, &groups));
  return loaded && groups == expected;
}

/* Parse the changes and sort them by name. */
static _cfg_change_t *
_cfg_changes_parse (_cfg_build_t *b, const cfg_sections_t *sections)
{
  GKeyFile *file = g_key_file_new ();
  _cfg_change_t *changes
      = talloc_zero_array (b->ctx, _cfg_change_t, sections->count + 1);
  if (!_cfg_file_load (file, sections) && b->faults->count == 0)
    cfg_fault_add (
        b->ctx, b->faults,
        &(cfg_fault_t){ .expected
                        = "each section once, with lines like key = value" });
  for (size_t i = 0; i < sections->count; i++)
    {
      const cfg_section_t *s = &sections->v[i];
      changes[i].name = s->name;
      if (s->text[0] != '\0')
        changes[i].piece
            = cfg_piece_parse (b->ctx, file, s, b->ctx, b->faults);
    }
  g_key_file_free (file);
  qsort (changes, sections->count, sizeof *changes, _cfg_change_compare);
  return changes;
}

static int
_cfg_doc_destroy (cfg_doc_t *doc)
{
  for (size_t i = 0; i < doc->piece_count; i++)
    {
      if (--doc->pieces[i]->doc_count == 0)
        talloc_free (doc->pieces[i]);
    }
  return 0;
}

/* Add PIECE (NULL: none) to the document.  A piece in a document has no talloc
   parent; the last of its documents frees the piece. */
static void
_cfg_piece_add (_cfg_build_t *b, cfg_piece_t *piece)
{
  if (piece == NULL)
    return;
  if (piece->doc_count++ == 0)
    (void)talloc_steal (NULL, piece);
  b->doc->pieces[b->doc->piece_count++] = piece;
}

/* Merge the old pieces and the changes, both sorted by name. */
static void
_cfg_pieces_merge (_cfg_build_t *b, const cfg_doc_t *old,
                   const _cfg_change_t *changes, size_t count)
{
  size_t old_count = old == NULL ? 0 : old->piece_count;
  b->doc->pieces = talloc_array (b->doc, cfg_piece_t *, old_count + count + 1);
  size_t i = 0;
  for (size_t k = 0; k < count; k++)
    {
      while (i < old_count
             && strcmp (old->pieces[i]->name, changes[k].name) < 0)
        _cfg_piece_add (b, old->pieces[i++]);
      if (i < old_count && strcmp (old->pieces[i]->name, changes[k].name) == 0)
        i++;
      if (k == 0 || strcmp (changes[k - 1].name, changes[k].name) != 0)
        _cfg_piece_add (b, changes[k].piece);
    }
  while (i < old_count)
    _cfg_piece_add (b, old->pieces[i++]);
}

/* -- records -------------------------------------------------------------- */

static void
_cfg_arrays_alloc (cfg_doc_t *doc)
{
  for (size_t k = 0; k < CFG_SECTION_KINDS_NUM; k++)
    {
      size_t n = 0;
      for (size_t i = 0; i < doc->piece_count; i++)
        n += doc->pieces[i]->kind == &cfg_section_kinds[k];
      *(char **)((char *)doc + cfg_section_kinds[k].array)
          = talloc_zero_size (doc, (n + 1) * cfg_section_kinds[k].size);
    }
}

static void
_cfg_record_add (_cfg_build_t *b, const cfg_piece_t *piece)
{
  const cfg_section_kind_t *kind = piece->kind;
  char *array = *(char **)((char *)b->doc + kind->array);
  size_t *count = (size_t *)((char *)b->doc + kind->count);
  size_t position = (*count)++;
  memcpy (array + position * kind->size, piece->record, kind->size);
  (void)cfg_index_add (b->doc->index, kind->index, piece->object_name,
                       position);
  if (kind->index != CFG_INDEX_KEY)
    return;
  const char *sha256 = ((const cfg_key_t *)piece->record)->sha256;
  if (sha256 != NULL
      && !cfg_index_add (b->doc->index, CFG_INDEX_SHA256, sha256, position))
    _cfg_piece_fault (b, piece, "sha256", sha256,
                      "a hash that no other key has");
}

/* Report each reference of PIECE to a section that does not exist. */
static void
_cfg_references_check (_cfg_build_t *b, const cfg_piece_t *piece)
{
  for (const cfg_field_t *f = piece->kind->fields; f->key != NULL; f++)
    {
      if (!f->is_reference)
        continue;
      const char *name = *(const char **)(piece->record + f->offset);
      size_t position;
      if (name != NULL
          && !cfg_index_get (b->doc->index, f->target, name, &position))
        _cfg_piece_fault (b, piece, f->key, name, f->expected);
    }
}

static int
_cfg_fault_compare (const void *a, const void *b)
{
  const cfg_fault_t *x = a;
  const cfg_fault_t *y = b;
  return x->line < y->line ? -1 : x->line > y->line;
}

st_code_t
cfg_doc_patch (void *ctx, const cfg_doc_t *old, const cfg_sections_t *changes,
               cfg_doc_t **doc, cfg_faults_t *faults)
{
  void *tmp = talloc_new (ctx);
  _cfg_build_t b = { .ctx = tmp, .faults = faults };
  b.doc = talloc_zero (tmp, cfg_doc_t);
  talloc_set_destructor (b.doc, _cfg_doc_destroy);
  b.doc->index = cfg_index_setup (b.doc);
  const _cfg_change_t *parsed = _cfg_changes_parse (&b, changes);
  _cfg_pieces_merge (&b, old, parsed, changes->count);
  _cfg_arrays_alloc (b.doc);
  for (size_t i = 0; i < b.doc->piece_count; i++)
    _cfg_record_add (&b, b.doc->pieces[i]);
  for (size_t i = 0; i < b.doc->piece_count; i++)
    _cfg_references_check (&b, b.doc->pieces[i]);
  if (faults->count > 0)
    {
      qsort (faults->v, faults->count, sizeof faults->v[0],
             _cfg_fault_compare);
      return ST_INVALID;
    }
  *doc = talloc_steal (ctx, b.doc);
  talloc_free (tmp);
  return ST_OK;
}

st_code_t
cfg_doc_check (void *ctx, buf_t text, cfg_doc_t **doc, cfg_faults_t *faults)
{
  void *tmp = talloc_new (ctx);
  cfg_sections_t sections;
  (void)cfg_sections_split (tmp, text, &sections, faults);
  st_code_t code = cfg_doc_patch (tmp, NULL, &sections, doc, faults);
  if (code != ST_OK)
    return code;
  talloc_steal (ctx, *doc);
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

/** @file
 * Configuration document (cfg): splits a text into sections, and formats
 * faults.  GKeyFile accepts duplicate sections and keys and gives no line
 * numbers, so this file finds the duplicates and reports all faults with their
 * lines.
 */
#include "core/cfg.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

void
cfg_fault_add (void *ctx, cfg_faults_t *faults, const cfg_fault_t *fault)
{
  if (faults->count == CFG_FAULTS_MAX)
    {
      faults->more++;
      return;
    }
  faults->v = talloc_realloc (ctx, faults->v, cfg_fault_t, faults->count + 1);
  cfg_fault_t *f = &faults->v[faults->count++];
  *f = (cfg_fault_t){
    .line = fault->line,
    .section = talloc_strdup (ctx, fault->section ? fault->section : ""),
    .key = talloc_strdup (ctx, fault->key ? fault->key : ""),
    .found = talloc_strndup (ctx, fault->found ? fault->found : "", 80),
    .expected = talloc_strdup (ctx, fault->expected),
  };
}

char *
cfg_fault_format (void *ctx, const cfg_fault_t *fault, const char *file)
{
  char *s = talloc_strdup (ctx, file);
  if (fault->line > 0)
    s = talloc_asprintf_append (s, ":%u", fault->line);
  s = talloc_strdup_append (s, ": ");
  if (fault->section[0] != '\0')
    s = talloc_asprintf_append (s, "[%s] ", fault->section);
  if (fault->key[0] != '\0')
    s = talloc_asprintf_append (s, "%s: ", fault->key);
  if (fault->found[0] != '\0')
    s = talloc_asprintf_append (s, "found \"%s\", ", fault->found);
  return talloc_asprintf_append (s, "expected %s", fault->expected);
}

/* State of the split of a text. */
typedef struct
{
  void *ctx;
  cfg_sections_t *sections;
  cfg_faults_t *faults;
  GHashTable *names; /**< names of the sections so far */
  GHashTable *keys;  /**< keys of the current section */
  unsigned line;     /**< number of the current line */
  GString *text;     /**< of the current section */
  bool in_section;   /**< a section has begun */
  size_t capacity;   /**< of the array of sections */
} _cfg_splitter_t;

static void
_cfg_split_fault (_cfg_splitter_t *w, const char *key, const char *found,
                  const char *expected)
{
  const cfg_sections_t *s = w->sections;
  const char *section = s->count == 0 ? "" : s->v[s->count - 1].name;
  cfg_fault_add (w->ctx, w->faults,
                 &(cfg_fault_t){ .line = w->line,
                                 .section = section,
                                 .key = key,
                                 .found = found,
                                 .expected = expected });
}

static void
_cfg_split_section_end (_cfg_splitter_t *w)
{
  if (!w->in_section)
    return;
  cfg_section_t *s = &w->sections->v[w->sections->count - 1];
  s->text = talloc_strndup (w->ctx, w->text->str, w->text->len);
  s->empty = g_hash_table_size (w->keys) == 0;
  if (w->text->len > CFG_SECTION_MAX)
    _cfg_split_fault (w, NULL, NULL, "a section of at most 4096 bytes");
  g_hash_table_remove_all (w->keys);
  w->in_section = false;
}

/* S with one blank between words and none at its ends. */
static char *
_cfg_blanks_collapse (void *ctx, const char *s)
{
  char *out = talloc_array (ctx, char, strlen (s) + 1);
  size_t n = 0;
  for (; *s != '\0'; s++)
    {
      bool blank = *s == ' ' || *s == '\t';
      if (!blank)
        out[n++] = *s;
      else if (n > 0 && out[n - 1] != ' ')
        out[n++] = ' ';
    }
  if (n > 0 && out[n - 1] == ' ')
    n--;
  out[n] = '\0';
  return out;
}

static void
_cfg_split_header (_cfg_splitter_t *w, char *line)
{
  _cfg_split_section_end (w);
  line[strlen (line) - 1] = '\0';
  char *name = _cfg_blanks_collapse (w->ctx, line + 1);
  cfg_sections_t *s = w->sections;
  if (s->count == w->capacity)
    {
      w->capacity = w->capacity == 0 ? 64 : 2 * w->capacity;
      s->v = talloc_realloc (w->ctx, s->v, cfg_section_t, w->capacity);
    }
  s->v[s->count++] = (cfg_section_t){ .name = name, .line = w->line };
  w->in_section = true;
  g_string_printf (w->text, "[%s]\n", name);
  if (name[0] == '\0' || strpbrk (name, "[]") != NULL)
    _cfg_split_fault (w, NULL, line, "a header like [customer NAME]");
  if (!g_hash_table_add (w->names, name))
    _cfg_split_fault (w, NULL, name, "each section only once");
}

static void
_cfg_split_pair (_cfg_splitter_t *w, char *line)
{
  char *equals = strchr (line, '=');
  if (!w->in_section)
    {
      _cfg_split_fault (w, NULL, line, "a [section] header first");
      return;
    }
  if (equals == NULL || equals == line)
    {
      _cfg_split_fault (w, NULL, line, "a line like key = value");
      return;
    }
  *equals = '\0';
  char *key = g_strstrip (line);
  const char *value = g_strstrip (equals + 1);
  if (strpbrk (key, "[] \t") != NULL)
    _cfg_split_fault (w, NULL, key, "a key of letters and underscores");
  if (!g_hash_table_add (w->keys, g_strdup (key)))
    _cfg_split_fault (w, key, value, "each key only once in a section");
  g_string_append (w->text, key);
  g_string_append (w->text, " = ");
  g_string_append (w->text, value);
  g_string_append_c (w->text, '\n');
}

static void
_cfg_split_line (_cfg_splitter_t *w, char *line)
{
  g_strstrip (line);
  size_t n = strlen (line);
  if (n == 0 || line[0] == '#')
    return;
  for (size_t i = 0; i < n; i++)
    {
      if ((unsigned char)line[i] < ' ' && line[i] != '\t')
        {
          _cfg_split_fault (w, NULL, NULL, "text without control characters");
          return;
        }
    }
  if (line[0] == '[' && line[n - 1] == ']')
    _cfg_split_header (w, line);
  else
    _cfg_split_pair (w, line);
}

static bool
_cfg_text_check (void *ctx, buf_t text, cfg_faults_t *faults)
{
  const char *expected = NULL;
  if (text.n > CFG_TEXT_MAX)
    expected = "a document of at most 8 MiB";
  else if (text.n > 0 && !g_utf8_validate (text.p, (gssize)text.n, NULL))
    expected = "UTF-8 text";
  if (expected != NULL)
    cfg_fault_add (ctx, faults, &(cfg_fault_t){ .expected = expected });
  return expected == NULL;
}

st_code_t
cfg_sections_split (void *ctx, buf_t text, cfg_sections_t *sections,
                    cfg_faults_t *faults)
{
  *sections = (cfg_sections_t){ 0 };
  if (!_cfg_text_check (ctx, text, faults))
    return ST_INVALID;
  _cfg_splitter_t w = {
    .ctx = ctx,
    .sections = sections,
    .faults = faults,
    .text = g_string_new (""),
    .names = g_hash_table_new (g_str_hash, g_str_equal),
    .keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
  };
  const char *end = text.p + text.n;
  for (const char *p = text.p; p < end && sections->count <= CFG_SECTIONS_MAX;)
    {
      const char *stop = memchr (p, '\n', (size_t)(end - p));
      if (stop == NULL)
        stop = end;
      w.line++;
      char *line = g_strndup (p, (size_t)(stop - p));
      _cfg_split_line (&w, line);
      g_free (line);
      p = stop + 1;
    }
  _cfg_split_section_end (&w);
  if (sections->count > CFG_SECTIONS_MAX)
    _cfg_split_fault (&w, NULL, NULL, "at most 65536 sections");
  g_string_free (w.text, TRUE);
  g_hash_table_destroy (w.names);
  g_hash_table_destroy (w.keys);
  return faults->count == 0 ? ST_OK : ST_INVALID;
}

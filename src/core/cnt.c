#include "core/cnt.h"

#include <glib.h>
#include <math.h>
#include <string.h>
#include <talloc.h>

#define CNT_BUCKETS 24 /**< upper bounds 1, 2, 4 ... 2^22, +Inf */

typedef enum
{
  _CNT_COUNTER,
  _CNT_GAUGE,
  _CNT_HISTOGRAM,
} _cnt_kind_t;

typedef struct
{
  const char *name;
  const char *labels;
  _cnt_kind_t kind;
  double value;      /**< histogram: sum of the values */
  uint64_t bucket[]; /**< histogram: values in each bucket, not cumulative */
} _cnt_series_t;

struct cnt
{
  GTree *series; /**< "name{labels}" -> _cnt_series_t, sorted */
};

static int
_cnt_compare (const void *a, const void *b, void *data)
{
  (void)data;
  return strcmp (a, b);
}

static int
_cnt_destroy (cnt_t *c)
{
  g_tree_destroy (c->series);
  return 0;
}

cnt_t *
cnt_setup (void *ctx)
{
  cnt_t *c = talloc_zero (ctx, cnt_t);
  c->series = g_tree_new_full (_cnt_compare, NULL, NULL, NULL);
  talloc_set_destructor (c, _cnt_destroy);
  return c;
}

void
cnt_shutdown (cnt_t *c)
{
  talloc_free (c);
}

static _cnt_series_t *
_cnt_series (cnt_t *c, const char *name, const char *labels, _cnt_kind_t kind)
{
  char key[256];
  g_snprintf (key, sizeof key, "%s{%s}", name, labels);
  _cnt_series_t *s = g_tree_lookup (c->series, key);
  if (s != NULL)
    return s;
  size_t buckets = kind == _CNT_HISTOGRAM ? CNT_BUCKETS : 0;
  s = talloc_zero_size (c, sizeof *s + buckets * sizeof (uint64_t));
  s->name = talloc_strdup (s, name);
  s->labels = talloc_strdup (s, labels);
  s->kind = kind;
  g_tree_insert (c->series, talloc_strdup (s, key), s);
  return s;
}

void
cnt_add (cnt_t *c, const char *name, const char *labels, uint64_t n)
{
  _cnt_series (c, name, labels, _CNT_COUNTER)->value += (double)n;
}

void
cnt_set (cnt_t *c, const char *name, const char *labels, double v)
{
  _cnt_series (c, name, labels, _CNT_GAUGE)->value = v;
}

void
cnt_observe (cnt_t *c, const char *name, const char *labels, double v)
{
  _cnt_series_t *s = _cnt_series (c, name, labels, _CNT_HISTOGRAM);
  int bucket = v <= 1 ? 0 : (int)ceil (log2 (v));
  s->bucket[bucket < CNT_BUCKETS ? bucket : CNT_BUCKETS - 1]++;
  s->value += v;
}

double
cnt_value (const cnt_t *c, const char *name, const char *labels)
{
  char key[256];
  g_snprintf (key, sizeof key, "%s{%s}", name, labels);
  const _cnt_series_t *s = g_tree_lookup (c->series, key);
  return s == NULL ? 0 : s->value;
}

/* Text under construction. */
typedef struct
{
  char *text;
  const char *last_name; /**< name with the last TYPE line; NULL: none */
} _cnt_format_t;

static void
_cnt_format_histogram (_cnt_format_t *f, const _cnt_series_t *s)
{
  const char *comma = s->labels[0] == '\0' ? "" : ",";
  uint64_t cumulative = 0;
  for (int i = 0; i < CNT_BUCKETS; i++)
    {
      cumulative += s->bucket[i];
      if (i == CNT_BUCKETS - 1)
        f->text = talloc_asprintf_append_buffer (
            f->text, "%s_bucket{%s%sle=\"+Inf\"} %" G_GUINT64_FORMAT "\n",
            s->name, s->labels, comma, cumulative);
      else if (s->bucket[i] > 0)
        f->text = talloc_asprintf_append_buffer (
            f->text, "%s_bucket{%s%sle=\"%u\"} %" G_GUINT64_FORMAT "\n",
            s->name, s->labels, comma, 1U << i, cumulative);
    }
  f->text = talloc_asprintf_append_buffer (
      f->text, "%s_sum{%s} %.10g\n%s_count{%s} %" G_GUINT64_FORMAT "\n",
      s->name, s->labels, s->value, s->name, s->labels, cumulative);
}

static int
_cnt_format_series (void *key, void *value, void *data)
{
  static const char *const types[] = {
    [_CNT_COUNTER] = "counter",
    [_CNT_GAUGE] = "gauge",
    [_CNT_HISTOGRAM] = "histogram",
  };
  (void)key;
  const _cnt_series_t *s = value;
  _cnt_format_t *f = data;
  if (f->last_name == NULL || strcmp (f->last_name, s->name) != 0)
    f->text = talloc_asprintf_append_buffer (f->text, "# TYPE %s %s\n",
                                             s->name, types[s->kind]);
  f->last_name = s->name;
  if (s->kind == _CNT_HISTOGRAM)
    _cnt_format_histogram (f, s);
  else if (s->labels[0] == '\0')
    f->text = talloc_asprintf_append_buffer (f->text, "%s %.15g\n", s->name,
                                             s->value);
  else
    f->text = talloc_asprintf_append_buffer (f->text, "%s{%s} %.15g\n",
                                             s->name, s->labels, s->value);
  return 0;
}

char *
cnt_format (void *ctx, const cnt_t *c)
{
  _cnt_format_t f = { .text = talloc_strdup (ctx, "") };
  g_tree_foreach (c->series, _cnt_format_series, &f);
  return f.text;
}

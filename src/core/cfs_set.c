#include "core/cfs_set.h"

#include "core/cfg.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

struct cfs_set
{
  GHashTable *records; /**< name -> cfs_record_t, owned by the set */
  cfs_digests_t digests;
};

static int
_cfs_set_destroy (cfs_set_t *set)
{
  g_hash_table_destroy (set->records);
  return 0;
}

cfs_set_t *
cfs_set_setup (void *ctx)
{
  cfs_set_t *set = talloc_zero (ctx, cfs_set_t);
  set->records = g_hash_table_new (g_str_hash, g_str_equal);
  talloc_set_destructor (set, _cfs_set_destroy);
  return set;
}

void
cfs_set_shutdown (cfs_set_t *set)
{
  talloc_free (set);
}

unsigned
cfs_set_bucket (const char *name)
{
  return (unsigned)(XXH3_64bits (name, strlen (name)) % CFS_BUCKETS);
}

static uint64_t
_cfs_record_digest (const cfs_record_t *r)
{
  if (r == NULL || r->text == NULL)
    return 0;
  uint64_t name = XXH3_64bits (r->name, strlen (r->name));
  return XXH3_64bits_withSeed (r->text, strlen (r->text), name ^ r->version);
}

const cfs_record_t *
cfs_set_find (const cfs_set_t *set, const char *name)
{
  return g_hash_table_lookup (set->records, name);
}

static void
_cfs_set_remove (cfs_set_t *set, cfs_record_t *old)
{
  set->digests.v[cfs_set_bucket (old->name)] ^= _cfs_record_digest (old);
  g_hash_table_remove (set->records, old->name);
  talloc_free (old);
}

void
cfs_set_put (cfs_set_t *set, const cfs_record_t *record)
{
  cfs_record_t *r = talloc (set, cfs_record_t);
  r->name = talloc_strdup (r, record->name);
  r->text = talloc_strdup (r, record->text);
  r->version = record->version;
  cfs_record_t *old = g_hash_table_lookup (set->records, r->name);
  if (old != NULL)
    _cfs_set_remove (set, old);
  if (r->text == NULL)
    {
      talloc_free (r);
      return;
    }
  g_hash_table_insert (set->records, (gpointer)r->name, r);
  set->digests.v[cfs_set_bucket (r->name)] ^= _cfs_record_digest (r);
}

static int
_cfs_record_compare (const void *a, const void *b)
{
  return strcmp (((const cfs_record_t *)a)->name,
                 ((const cfs_record_t *)b)->name);
}

/* The records with versions above VERSION, of BUCKET or, when BUCKET is
   CFS_BUCKETS, of all buckets. */
static cfs_records_t
_cfs_set_select (void *ctx, const cfs_set_t *set, uint64_t version,
                 unsigned bucket)
{
  size_t capacity = g_hash_table_size (set->records);
  cfs_records_t out = { .v = talloc_array (ctx, cfs_record_t, capacity + 1) };
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, set->records);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const cfs_record_t *r = value;
      if (r->version > version
          && (bucket == CFS_BUCKETS || cfs_set_bucket (r->name) == bucket))
        out.v[out.count++] = *r;
    }
  qsort (out.v, out.count, sizeof out.v[0], _cfs_record_compare);
  return out;
}

cfs_records_t
cfs_set_since (void *ctx, const cfs_set_t *set, uint64_t version)
{
  return _cfs_set_select (ctx, set, version, CFS_BUCKETS);
}

cfs_records_t
cfs_set_in_bucket (void *ctx, const cfs_set_t *set, unsigned bucket)
{
  return _cfs_set_select (ctx, set, 0, bucket);
}

cfs_digests_t
cfs_set_digests (const cfs_set_t *set, const cfs_records_t *changes)
{
  cfs_digests_t d = set->digests;
  for (size_t i = 0; changes != NULL && i < changes->count; i++)
    {
      const cfs_record_t *r = &changes->v[i];
      d.v[cfs_set_bucket (r->name)]
          ^= _cfs_record_digest (cfs_set_find (set, r->name))
             ^ _cfs_record_digest (r);
    }
  return d;
}

uint64_t
cfs_digests_combine (const cfs_digests_t *digests)
{
  return XXH3_64bits (digests->v, sizeof digests->v);
}

static GHashTable *
_cfs_records_index (const cfs_records_t *records)
{
  GHashTable *index = g_hash_table_new (g_str_hash, g_str_equal);
  for (size_t i = 0; records != NULL && i < records->count; i++)
    g_hash_table_insert (index, (gpointer)records->v[i].name, &records->v[i]);
  return index;
}

buf_t
cfs_set_text (void *ctx, const cfs_set_t *set, const cfs_records_t *changes,
              bool replace)
{
  void *tmp = talloc_new (NULL);
  GHashTable *changed = _cfs_records_index (changes);
  cfs_records_t all = { 0 };
  if (!replace)
    all = cfs_set_since (tmp, set, 0);
  GString *text = g_string_new ("");
  for (size_t i = 0; i < all.count; i++)
    {
      if (!g_hash_table_contains (changed, all.v[i].name))
        g_string_append (text, all.v[i].text);
    }
  for (size_t i = 0; changes != NULL && i < changes->count; i++)
    {
      if (changes->v[i].text != NULL)
        g_string_append (text, changes->v[i].text);
    }
  buf_t out = buf_copy (ctx, (buf_t){ .p = text->str, .n = text->len });
  g_string_free (text, TRUE);
  g_hash_table_destroy (changed);
  talloc_free (tmp);
  return out;
}

static bool
_cfs_any_bucket (const bool buckets[CFS_BUCKETS])
{
  for (unsigned b = 0; b < CFS_BUCKETS; b++)
    {
      if (buckets[b])
        return true;
    }
  return false;
}

cfs_records_t
cfs_set_removals_add (void *ctx, const cfs_set_t *set,
                      const cfs_records_t *records,
                      const bool buckets[CFS_BUCKETS])
{
  cfs_records_t old = { 0 };
  if (_cfs_any_bucket (buckets))
    old = cfs_set_since (ctx, set, 0);
  cfs_records_t out = { .v = talloc_array (ctx, cfs_record_t,
                                           old.count + records->count + 1) };
  GHashTable *given = _cfs_records_index (records);
  for (size_t i = 0; i < records->count; i++)
    out.v[out.count++] = records->v[i];
  for (size_t i = 0; i < old.count; i++)
    {
      const cfs_record_t *r = &old.v[i];
      if (buckets[cfs_set_bucket (r->name)]
          && !g_hash_table_contains (given, r->name))
        out.v[out.count++] = (cfs_record_t){ .name = r->name };
    }
  g_hash_table_destroy (given);
  return out;
}

void
cfs_records_append (void *ctx, cfs_records_t *all, const cfs_records_t *more)
{
  all->v = talloc_realloc (ctx, all->v, cfs_record_t,
                           all->count + more->count + 1);
  for (size_t i = 0; i < more->count; i++)
    all->v[all->count++] = more->v[i];
}

void
cfs_records_write (mpk_writer_t *w, const cfs_records_t *records)
{
  mpk_put_uint (w, records->count);
  for (size_t i = 0; i < records->count; i++)
    {
      mpk_put_str (w, buf_str (records->v[i].name));
      mpk_put_str (w, buf_str (records->v[i].text));
      mpk_put_uint (w, records->v[i].version);
    }
}

cfs_records_t
cfs_records_read (void *ctx, mpk_reader_t *r)
{
  cfs_records_t out = { 0 };
  uint64_t n = mpk_get_uint (r);
  for (uint64_t i = 0; i < n && i < CFG_SECTIONS_MAX && mpk_more (r); i++)
    {
      if (out.count % 64 == 0)
        out.v = talloc_realloc (ctx, out.v, cfs_record_t, out.count + 64);
      cfs_record_t *record = &out.v[out.count++];
      record->name = mpk_get_str (r).p;
      record->text = mpk_get_str (r).p;
      record->version = mpk_get_uint (r);
    }
  if (out.count < n)
    r->failed = true;
  return out;
}

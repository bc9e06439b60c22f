/** @file
 * Measures the configuration store and key withdrawals under virtual time:
 * concurrent operators, with base versions of sections and of the document;
 * time and cost until a change is in force on all VMs; documents up to the
 * size expected in two years.
 *
 *   build/tools/measure_config
 *
 * Prints tables and writes build/measure/config.csv.  The times to parse and
 * to patch a document are real; all other figures are virtual and repeat
 * exactly.
 */
#include "../tests/cfs_fleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>

#define RACE_VMS 8
#define RACE_MAX 32
#define RACE_CHANGES 10
#define RACE_EDIT_MS 50  /**< time that an operator edits */
#define RACE_PAUSE_MS 20 /**< shortest pause after a refusal; longest: 2x */
#define RACE_SPAN (300 * CLK_SECOND) /**< time limit of one run */
#define PROPAGATION_CHANGES 10
#define SIZE_RUNS 9 /**< number of runs for each median */

static FILE *csv;

static int
compare_ms (const void *a, const void *b)
{
  clk_ms_t x = *(const clk_ms_t *)a;
  clk_ms_t y = *(const clk_ms_t *)b;
  return x < y ? -1 : x > y;
}

static clk_ms_t
quantile (clk_ms_t *v, size_t n, double q)
{
  if (n == 0)
    return 0;
  qsort (v, n, sizeof *v, compare_ms);
  size_t i = (size_t)(q * (double)n);
  return v[i < n ? i : n - 1];
}

static char *
customer (void *ctx, unsigned i, unsigned rate)
{
  return talloc_asprintf (
      ctx, "[customer c%u]\nowner = t%u\nrate = %u/s\nburst = 10\n", i, i,
      rate);
}

/* -- concurrent operators ------------------------------------------------- */

/** An operator; each operator changes a section of its own RACE_CHANGES
 * times. */
typedef struct
{
  unsigned vm;
  unsigned done;  /**< changes that are in force */
  clk_ms_t began; /**< first read for the current change; 0: none */
  clk_ms_t apply_at;
  uint64_t base; /**< version that the operator read */
  uint64_t id;   /**< of the change in progress; 0: none */
} race_operator_t;

/** One run of concurrent operators. */
typedef struct
{
  fleet_t *f;
  race_operator_t operators[RACE_MAX];
  unsigned count;   /**< operators */
  unsigned refused; /**< changes that did not succeed */
  unsigned retries; /**< within changes, after lost conditional updates */
  clk_ms_t took[RACE_MAX * RACE_CHANGES];
  size_t took_count;
} race_t;

static void
race_read (race_t *r, race_operator_t *o, clk_ms_t at)
{
  o->base = 0;
  o->apply_at = at + RACE_EDIT_MS;
  /* The time of a change counts from its first read, refusals included. */
  if (o->began == 0)
    o->began = at;
  o->base = cfs_version (r->f->vm[o->vm].cfs);
}

static void
race_result (race_t *r, race_operator_t *o, const cfs_result_t *result)
{
  o->id = 0;
  r->retries += result->retries;
  if (result->code == ST_OK)
    {
      r->took[r->took_count++] = r->f->now - o->began;
      o->done++;
      o->began = 0;
      race_read (r, o, r->f->now);
      return;
    }
  r->refused++;
  race_read (r, o,
             r->f->now + RACE_PAUSE_MS
                 + g_rand_int_range (r->f->rand, 0, RACE_PAUSE_MS));
}

static void
race_step (race_t *r)
{
  fleet_t *f = r->f;
  cfs_result_t result;
  for (unsigned i = 0; i < RACE_VMS; i++)
    {
      while (cfs_result_pop (f->vm[i].cfs, f, &result))
        {
          for (unsigned k = 0; k < r->count; k++)
            {
              if (r->operators[k].vm == i && r->operators[k].id == result.id)
                race_result (r, &r->operators[k], &result);
            }
        }
    }
  for (unsigned k = 0; k < r->count; k++)
    {
      race_operator_t *o = &r->operators[k];
      if (o->done == RACE_CHANGES || o->id != 0 || f->now < o->apply_at)
        continue;
      char *text = customer (f, k, 100 + o->done);
      o->id = fleet_apply (
          f, o->vm,
          &(cfs_change_t){ .text = buf_str (text), .base = o->base });
      talloc_free (text);
    }
}

static void
race (unsigned operators, cfs_base_check_t check)
{
  race_t r = { .count = operators };
  r.f = fleet_setup (NULL, &(fleet_desc_t){ .vms = RACE_VMS,
                                            .centres = 4,
                                            .seed = operators,
                                            .check = check });
  fleet_run (r.f, 3 * CLK_SECOND);
  uint64_t calls = r.f->calls;
  clk_ms_t end = r.f->now + RACE_SPAN;
  for (unsigned k = 0; k < operators; k++)
    {
      r.operators[k].vm = k % RACE_VMS;
      race_read (&r, &r.operators[k], r.f->now);
    }
  while (r.took_count < (size_t)operators * RACE_CHANGES && r.f->now < end)
    {
      race_step (&r);
      fleet_run (r.f, 1);
    }
  size_t n = r.took_count;
  double per_change = (double)(r.f->calls - calls) / (double)(n ? n : 1);
  const char *name = check == CFS_CHECK_SECTIONS ? "sections" : "document";
  clk_ms_t p50 = quantile (r.took, n, 0.5);
  clk_ms_t p95 = quantile (r.took, n, 0.95);
  clk_ms_t max = quantile (r.took, n, 1);
  printf ("| %u | %s | %zu of %u | %u | %u | %lld | %lld | %lld | %.1f |\n",
          operators, name, n, operators * RACE_CHANGES, r.refused, r.retries,
          (long long)p50, (long long)p95, (long long)max, per_change);
  fprintf (csv, "race,%u,%s,%zu,%u,%u,%lld,%lld,%lld,%.2f\n", operators, name,
           n, r.refused, r.retries, (long long)p50, (long long)p95,
           (long long)max, per_change);
  fleet_shutdown (r.f);
}

static void
measure_races (void)
{
  static const unsigned sizes[] = { 2, 8, 32 };
  puts ("Racing operators, each changing its own section ten times:\n\n"
        "| operators | versions of | changes made | refused | retries inside "
        "| p50 ms | p95 ms | max ms | platform calls a change |\n"
        "|---|---|---|---|---|---|---|---|---|");
  for (size_t i = 0; i < 3; i++)
    {
      race (sizes[i], CFS_CHECK_DOCUMENT);
      race (sizes[i], CFS_CHECK_SECTIONS);
    }
}

/* -- propagation ---------------------------------------------------------- */

static bool
all_know_withdrawal (fleet_t *f, void *hash)
{
  for (unsigned i = 0; i < f->desc.vms; i++)
    {
      if (!key_withdrawn (f->vm[i].key, hash))
        return false;
    }
  return true;
}

/* Changes a section at VM I.  Returns the time in ms until the change is in
 * force on all VMs, or -1 after 60 s. */
static clk_ms_t
propagation_change (fleet_t *f, unsigned i, unsigned n)
{
  char *text = customer (f, 1, 100 + n);
  clk_ms_t began = f->now;
  uint64_t version = cfs_version (f->vm[i].cfs) + 1;
  (void)fleet_apply (
      f, i, &(cfs_change_t){ .text = buf_str (text), .base = version - 1 });
  talloc_free (text);
  bool done
      = fleet_run_until (f, 60 * CLK_SECOND, fleet_has_version, &version);
  return done ? f->now - began : -1;
}

static void
propagation (unsigned vms, double loss)
{
  fleet_t *f = fleet_setup (
      NULL, &(fleet_desc_t){ .vms = vms, .centres = 4, .seed = vms });
  fleet_run (f, 3 * CLK_SECOND);
  (void)propagation_change (f, 0, 0);
  f->lose_message = loss;
  fleet_run (f, 5 * CLK_SECOND);
  uint64_t idle_bytes = f->message_bytes;
  uint64_t idle_calls = f->calls;
  fleet_run (f, 20 * CLK_SECOND);
  double idle = (double)(f->message_bytes - idle_bytes) / 20 / vms;
  double calls = (double)(f->calls - idle_calls) / 20;
  clk_ms_t took[PROPAGATION_CHANGES];
  double bytes = 0;
  for (unsigned n = 0; n < PROPAGATION_CHANGES; n++)
    {
      uint64_t before = f->message_bytes;
      clk_ms_t began = f->now;
      took[n] = propagation_change (f, n * 37 % vms, n + 1);
      fleet_run (f, 5 * CLK_SECOND);
      bytes += (double)(f->message_bytes - before)
               - idle * vms * (double)(f->now - began) / CLK_SECOND;
    }
  bytes /= (double)PROPAGATION_CHANGES * vms;
  char hash[KEY_HASH_SIZE + 1];
  key_hash ("measured", hash);
  const char *sha256;
  f->vm[0].env->now = f->now;
  (void)key_withdraw (f->vm[0].key, f->vm[0].env, NULL, hash, &sha256);
  clk_ms_t began = f->now;
  fleet_effects_run (f, 0);
  (void)fleet_run_until (f, 60 * CLK_SECOND, all_know_withdrawal, hash);
  long long withdrawn = (long long)(f->now - began);
  long long p50 = (long long)quantile (took, PROPAGATION_CHANGES, 0.5);
  long long max = (long long)quantile (took, PROPAGATION_CHANGES, 1);
  printf ("| %u | %.0f %% | %lld | %lld | %lld | %.0f | %.0f | %.1f |\n", vms,
          100 * loss, p50, max, withdrawn, bytes, idle, calls);
  fprintf (csv, "spread,%u,%.2f,%lld,%lld,%lld,%.1f,%.1f,%.2f,\n", vms, loss,
           p50, max, withdrawn, bytes, idle, calls);
  fleet_shutdown (f);
}

static void
measure_propagation (void)
{
  static const unsigned sizes[] = { 8, 30, 105, 210, 420 };
  puts ("\nFrom an operator's change to in force on all VMs, four data "
        "centres:\n\n"
        "| VMs | messages lost | p50 ms | max ms | key withdrawn ms | bytes a "
        "VM a change | bytes a VM a second at rest | platform calls a second "
        "at rest |\n"
        "|---|---|---|---|---|---|---|---|");
  for (size_t i = 0; i < 5; i++)
    {
      propagation (sizes[i], 0);
      propagation (sizes[i], 0.1);
    }
}

/* -- size ----------------------------------------------------------------- */

static char *
document (void *ctx, unsigned customers, unsigned keys)
{
  GString *s = g_string_new ("");
  for (unsigned i = 0; i < customers; i++)
    g_string_append_printf (
        s, "[customer c%u]\nowner = t%u\nrate = 40/s\nburst = 80\n", i,
        i % 100);
  for (unsigned i = 0; i < keys; i++)
    g_string_append_printf (
        s, "[key k%u]\nowner = t%u\ncustomer = c%u\nsha256 = %064x\n", i,
        i % 100, i % customers, i);
  char *out = talloc_strdup (ctx, s->str);
  g_string_free (s, TRUE);
  return out;
}

/* Returns the size of the largest object in the platform whose name begins
 * with PREFIX. */
static size_t
largest_object (const fleet_t *f, const char *prefix)
{
  GHashTableIter it;
  gpointer key;
  gpointer value;
  size_t most = 0;
  g_hash_table_iter_init (&it, f->objects);
  while (g_hash_table_iter_next (&it, &key, &value))
    {
      const fleet_object_t *o = value;
      size_t n = g_bytes_get_size (o->value);
      if (g_str_has_prefix (key, prefix) && n > most)
        most = n;
    }
  return most;
}

static int
compare_double (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;
  return x < y ? -1 : x > y;
}

/* Stores the median times in ms to parse TEXT and to change one of its
 * sections. */
static void
parse_ms (const char *text, double *parse, double *patch)
{
  double took[SIZE_RUNS];
  double patched[SIZE_RUNS];
  for (int i = 0; i < SIZE_RUNS; i++)
    {
      void *ctx = talloc_new (NULL);
      cfg_doc_t *doc = NULL;
      cfg_doc_t *next = NULL;
      st_t st = { 0 };
      gint64 began = g_get_monotonic_time ();
      (void)cfg_doc_parse (ctx, buf_str (text), &doc, &st);
      took[i] = (double)(g_get_monotonic_time () - began) / 1000;
      cfg_section_t section
          = { .name = "customer c1", .text = customer (ctx, 1, 7) };
      cfg_sections_t changes = { .v = &section, .count = 1 };
      cfg_faults_t faults = { 0 };
      began = g_get_monotonic_time ();
      (void)cfg_doc_patch (ctx, doc, &changes, &next, &faults);
      talloc_free (doc);
      patched[i] = (double)(g_get_monotonic_time () - began) / 1000;
      talloc_free (ctx);
    }
  qsort (took, SIZE_RUNS, sizeof *took, compare_double);
  qsort (patched, SIZE_RUNS, sizeof *patched, compare_double);
  *parse = took[SIZE_RUNS / 2];
  *patch = patched[SIZE_RUNS / 2];
}

/* Returns the bytes of a document's sections, which no talloc context owns. */
static size_t
pieces_size (const cfg_doc_t *doc)
{
  size_t sum = 0;
  for (size_t i = 0; i < doc->piece_count; i++)
    sum += talloc_total_size (doc->pieces[i]);
  return sum;
}

static void
size (unsigned customers, unsigned keys)
{
  fleet_t *f = fleet_setup (
      NULL, &(fleet_desc_t){ .vms = 2, .centres = 1, .seed = 1 });
  fleet_run (f, 2 * CLK_SECOND);
  char *text = document (f, customers, keys);
  size_t before = talloc_total_size (f->vm[1].ctx);
  (void)fleet_apply (f, 0, &(cfs_change_t){ .text = buf_str (text) });
  fleet_run (f, 5 * CLK_SECOND);
  uint64_t version = cfs_version (f->vm[1].cfs);
  /* A second change frees the previous document. */
  (void)propagation_change (f, 0, 1);
  fleet_run (f, 5 * CLK_SECOND);
  size_t memory = talloc_total_size (f->vm[1].ctx) - before
                  + pieces_size (cfs_doc (f->vm[1].cfs));
  size_t head = largest_object (f, "config/head");
  size_t part = largest_object (f, "config/part/");
  double ms;
  double patch;
  parse_ms (text, &ms, &patch);
  printf ("| %u | %u | %zu | %s | %zu | %zu | %zu | %.1f | %.1f |\n",
          customers, keys, strlen (text), version == 1 ? "yes" : "no", head,
          part, memory, ms, patch);
  fprintf (csv, "size,%u,%u,%zu,%zu,%zu,%zu,%.2f,%.2f,\n", customers, keys,
           strlen (text), head, part, memory, ms, patch);
  fleet_shutdown (f);
}

static void
measure_sizes (void)
{
  puts ("\nSize (times are medians of nine on one machine):\n\n"
        "| customers | keys | document bytes | in force on the peer | head "
        "bytes | largest part bytes | memory a VM bytes | parse all ms | "
        "change one section ms |\n"
        "|---|---|---|---|---|---|---|---|---|");
  size (8, 16);
  size (475, 1000);
  size (950, 2000);
  size (1900, 4000);
  size (3800, 8000);
}

int
main (void)
{
  (void)mkdir ("build/measure", 0755);
  csv = fopen ("build/measure/config.csv", "w");
  if (csv == NULL)
    {
      perror ("build/measure/config.csv");
      return EXIT_FAILURE;
    }
  fputs ("kind,a,b,c,d,e,f,g,h,i\n", csv);
  measure_races ();
  measure_propagation ();
  measure_sizes ();
  return fclose (csv) == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

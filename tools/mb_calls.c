/** @file
 * Platform calls: several bat_t run jobs to their end over the fake platform
 * of tests/batbed, without faults, and all calls are counted.
 */
#include "batbed.h"
#include "mb.h"

#include <string.h>
#include <talloc.h>

#define VMS 8
#define DAY_ITEMS 58.0e6
#define DAY_SECONDS 86400.0
#define MEAN_ITEMS 1812 /* 58 million items in 32,000 jobs */
#define JOBS 16
#define BIG_ITEMS 40000
#define LARGEST_ITEMS 340000
#define PAD_BYTES 300 /* approximate size of a body */

typedef struct
{
  batbed_totals_t totals;
  double ack_ms; /* mean over the jobs */
  uint64_t items;
  uint32_t jobs;
} figures_t;

static char *
job_body_make (void *ctx, uint32_t items)
{
  char pad[PAD_BYTES + 1];
  memset (pad, 'x', PAD_BYTES);
  pad[PAD_BYTES] = '\0';
  char *body = talloc_strdup (ctx, "");
  for (uint32_t i = 0; i < items; i++)
    body = talloc_asprintf_append_buffer (
        body, "{\"custom_id\":\"%u\",\"body\":{\"prompt\":\"%s\"}}\n", i, pad);
  return body;
}

static double
response_wait (batbed_t *bed, uint64_t caller)
{
  clk_ms_t from = batbed_now (bed);
  while (!batbed_response (bed, caller)->ended)
    batbed_run (bed, 1);
  return (double)(batbed_now (bed) - from);
}

static figures_t
jobs_run (uint32_t chunk_items, uint32_t jobs, uint32_t items, double budget)
{
  batbed_t *bed = batbed_setup (
      &(batbed_desc_t){ .seed = 5,
                        .vms = VMS,
                        .upstreams = 8,
                        .slots = 32,
                        .item_ms = 100,
                        .platform_budget = budget,
                        .bat = { .chunk_items = chunk_items } });
  batbed_run (bed, 2 * CLK_SECOND);
  figures_t f = { .items = (uint64_t)jobs * items, .jobs = jobs };
  char *body = job_body_make (bed, items);
  for (uint32_t i = 0; i < jobs; i++)
    {
      char key[16];
      char customer[16];
      g_snprintf (key, sizeof key, "k%u", i);
      g_snprintf (customer, sizeof customer, "c%u", i % 8);
      uint64_t caller = batbed_request (bed, i % VMS, customer, "POST",
                                        "/v1/batches", key, body);
      f.ack_ms += response_wait (bed, caller) / jobs;
    }
  while (batbed_has_object (bed, "batch/open/"))
    batbed_run (bed, 100);
  f.totals = batbed_totals (bed);
  batbed_shutdown (bed);
  return f;
}

static void
figures_print (FILE *csv, const char *mix, uint32_t chunk_items, double budget,
               const figures_t *f)
{
  double million = 1e6 / (double)f->items;
  double writes = (double)f->totals.writes * million;
  double reads = (double)f->totals.reads * million;
  double written = (double)f->totals.bytes_written * million / 1e6;
  double read = (double)f->totals.bytes_read * million / 1e6;
  double day = DAY_ITEMS / 1e6 / DAY_SECONDS;
  double ack = f->ack_ms / ((double)f->items / f->jobs) * 1e6 / 1e3;
  printf ("| %s | %u | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %.1f "
          "| %.1f |\n",
          mix, chunk_items, budget, writes, reads, written, read, f->ack_ms,
          ack, writes * day, reads * day);
  fprintf (csv, "calls,%s,%u,%.0f,%.0f,%.0f,%.0f,%.0f,%.0f,%.0f,%.1f,%.1f\n",
           mix, chunk_items, budget, writes, reads, written, read, f->ack_ms,
           ack, writes * day, reads * day);
}

void
mb_calls_run (FILE *csv)
{
  static const uint32_t sizes[] = { 64, 256, 1024, 4096 };
  printf ("| jobs | chunk, items | calls/s a VM may make | writes per million "
          "items | reads | MB written | MB read | acknowledged after, ms | s "
          "per million items | writes/s at 58 M a day | reads/s |\n"
          "|---|---|---|---|---|---|---|---|---|---|---|\n");
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      fprintf (stderr, "calls: chunks of %u\n", sizes[i]);
      figures_t f = jobs_run (sizes[i], JOBS, MEAN_ITEMS, 200);
      figures_print (csv, "16 of 1,812", sizes[i], 200, &f);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      fprintf (stderr, "calls: one large job, chunks of %u\n", sizes[i]);
      figures_t f = jobs_run (sizes[i], 1, BIG_ITEMS, 200);
      figures_print (csv, "1 of 40,000", sizes[i], 200, &f);
    }
  fprintf (stderr, "calls: the largest job\n");
  figures_t f = jobs_run (1024, 1, LARGEST_ITEMS, 20);
  figures_print (csv, "1 of 340,000", 1024, 20, &f);
}

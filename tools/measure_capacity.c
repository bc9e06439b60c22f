/** @file
 * Overhead of a node at several fleet sizes, measured with whole nodes under
 * virtual time: bytes and messages to peers, platform calls, processor time
 * and memory in a fleet without requests (heartbeats, membership, mint rights
 * of the limits, reports), and the time until a change of the configuration is
 * in force on all nodes.
 *
 * Writes build/measure/capacity.csv.
 */
#include "flt.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <time.h>

#define SETTLE_MS (15 * CLK_SECOND)
#define MEASURE_MS (10 * CLK_SECOND)
#define DATA_CENTRES 4
#define PROPAGATION_MS (12 * CLK_SECOND) /**< expected limit for a change */

/* Size of a fleet. */
typedef struct
{
  size_t nodes;
  size_t upstreams;
  size_t customers;
} fleet_size_t;

/* Figures measured over MEASURE_MS. */
typedef struct
{
  double bytes;     /**< bytes sent per second and node, on average */
  double bytes_max; /**< bytes sent per second by the busiest node */
  double messages;  /**< messages sent per second and node, on average */
  double calls;     /**< platform calls per second of the whole fleet */
  double cpu;       /**< share of a core per node, with the harness */
  double memory;    /**< bytes per node, with the harness */
  clk_ms_t propagation_ms; /**< until a change is in force on all nodes */
} figures_t;

static char *
document (void *ctx, const fleet_size_t *s, unsigned edition)
{
  char *text = talloc_asprintf (
      ctx,
      "[deployment snit-llm]\nowner = ops\nkind = engine\nslots = 8\n"
      "[route POST /v1/completions]\nowner = ops\n"
      "deployment = snit-llm\nidempotent = yes\ndeadline = %u s\n",
      20 + edition);
  for (size_t i = 0; i < DATA_CENTRES; i++)
    text = talloc_asprintf_append_buffer (
        text, "[data-centre dc-%zu]\nowner = ops\n", i);
  for (size_t i = 0; i < s->upstreams; i++)
    text = talloc_asprintf_append_buffer (
        text,
        "[upstream u%zu]\nowner = ops\ndeployment = snit-llm\n"
        "data_centre = dc-%zu\naddress = 10.0.%zu.%zu:9000\n",
        i, i % DATA_CENTRES, i / 250, i % 250);
  for (size_t i = 0; i < s->customers; i++)
    text = talloc_asprintf_append_buffer (
        text,
        "[customer c%zu]\nowner = ops\nrate = 2/s\nburst = 8\n"
        "[key k%zu]\nowner = ops\ncustomer = c%zu\nsha256 = %064zx\n",
        i, i, i, i + 1);
  return text;
}

static bool
is_applied_everywhere (const flt_t *f, double version)
{
  for (size_t i = 0; i < flt_vm_count (f); i++)
    {
      if (flt_counter (f, i, "rts_config_version", "") < version)
        return false;
    }
  return true;
}

static clk_ms_t
propagation_ms (flt_t *f, const fleet_size_t *s)
{
  void *tmp = talloc_new (NULL);
  double version = flt_counter (f, 0, "rts_config_version", "") + 1;
  clk_ms_t from = flt_now (f);
  uint64_t id = flt_apply (f, flt_vm_count (f) / 2, document (tmp, s, 1));
  while (!is_applied_everywhere (f, version)
         && flt_now (f) < from + 4 * PROPAGATION_MS)
    flt_run (f, flt_now (f) + 20);
  const flt_response_t *response = flt_response (f, id);
  if (response->status != 200)
    printf ("the change got status %d: %s\n", response->status,
            response->body);
  talloc_free (tmp);
  return flt_now (f) - from;
}

static figures_t
fleet_measure (const fleet_size_t *s)
{
  void *ctx = talloc_new (NULL);
  size_t before = mallinfo2 ().uordblks;
  flt_t *f
      = flt_setup (ctx, &(flt_desc_t){ .seed = 1,
                                       .data_centres = DATA_CENTRES,
                                       .vms = s->nodes / DATA_CENTRES,
                                       .document = document (ctx, s, 0) });
  flt_run (f, flt_now (f) + SETTLE_MS);
  size_t n = flt_vm_count (f);
  flt_traffic_t *at = talloc_zero_array (ctx, flt_traffic_t, n);
  for (size_t i = 0; i < n; i++)
    at[i] = flt_traffic (f, i);
  figures_t c
      = { .memory = (double)(mallinfo2 ().uordblks - before) / (double)n };
  clock_t clock_before = clock ();
  flt_run (f, flt_now (f) + MEASURE_MS);
  c.cpu = (double)(clock () - clock_before) / CLOCKS_PER_SEC
          / ((double)MEASURE_MS / CLK_SECOND) / (double)n;
  for (size_t i = 0; i < n; i++)
    {
      flt_traffic_t now = flt_traffic (f, i);
      double seconds = (double)MEASURE_MS / CLK_SECOND;
      double bytes = (double)(now.bytes - at[i].bytes) / seconds;
      c.bytes += bytes / (double)n;
      c.bytes_max = bytes > c.bytes_max ? bytes : c.bytes_max;
      c.messages
          += (double)(now.messages - at[i].messages) / seconds / (double)n;
      c.calls += (double)(now.platform_calls - at[i].platform_calls) / seconds;
    }
  c.propagation_ms = propagation_ms (f, s);
  talloc_free (ctx);
  return c;
}

int
main (void)
{
  static const fleet_size_t sizes[] = {
    { 8, 20, 8 },
    { 40, 140, 360 },
    { 80, 290, 720 },
    { 120, 430, 1080 },
  };
  FILE *csv = fopen ("build/measure/capacity.csv", "w");
  if (csv == NULL)
    {
      perror ("build/measure/capacity.csv");
      return EXIT_FAILURE;
    }
  fputs ("nodes,upstreams,customers,bytes_s,bytes_s_max,messages_s,"
         "platform_calls_s,cpu_share,memory,spread_ms\n",
         csv);
  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    {
      const fleet_size_t *s = &sizes[i];
      figures_t c = fleet_measure (s);
      printf ("%zu nodes, %zu upstreams, %zu customers: %.0f B/s a node "
              "(most %.0f), %.1f messages/s, %.1f platform calls/s in all, "
              "%.2f %% of a core, %.1f MB, change everywhere in %lld ms\n",
              s->nodes, s->upstreams, s->customers, c.bytes, c.bytes_max,
              c.messages, c.calls, 100 * c.cpu, c.memory / 1e6,
              (long long)c.propagation_ms);
      fprintf (csv, "%zu,%zu,%zu,%.0f,%.0f,%.2f,%.2f,%.5f,%.0f,%lld\n",
               s->nodes, s->upstreams, s->customers, c.bytes, c.bytes_max,
               c.messages, c.calls, c.cpu, c.memory,
               (long long)c.propagation_ms);
      fflush (csv);
    }
  fclose (csv);
  return EXIT_SUCCESS;
}

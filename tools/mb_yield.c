/** @file
 * Batch items with preemption (argument `yield` of measure_batch): how much of
 * the engines' idle slot time batch items use, how often they are preempted,
 * and the latency of online requests, in each scenario of mb_model.h.
 */
#include "mb.h"
#include "mb_model.h"

#include <stdlib.h>

#define SEEDS 5

/* Labels in the table and the CSV file. */
static const char *const scenario_names[MB_SCENARIO_NUM] = {
  "no batch",
  "as it comes",
  "fixed split, half",
  "credits",
  "credits, owner lost for 10 s",
  "credits, owner frozen for 10 s",
  "credits, two owners",
  "credits, one less in reserve",
};

static int
double_compare (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;
  return x < y ? -1 : x > y;
}

/* Figures of mb_model_t, summed over the seeds of one scenario. */
typedef struct
{
  GArray *first_byte;
  GArray *first_byte_low; /* before the burst */
  double online_busy;
  double batch_busy;
  double batch_useful;
  uint64_t batch_done;
  uint64_t preempted;
} sum_t;

static double
quantile (const GArray *values, double q)
{
  guint n = values->len;
  guint i = (guint)(q * (double)(n - 1));
  return g_array_index (values, double, i);
}

static sum_t
run_seeds (mb_scenario_t scenario, uint32_t slots)
{
  sum_t sum
      = { .first_byte = g_array_new (FALSE, FALSE, sizeof (double)),
          .first_byte_low = g_array_new (FALSE, FALSE, sizeof (double)) };
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      mb_model_t *s = mb_model_run (scenario, slots, seed);
      g_array_append_vals (sum.first_byte, s->first_byte->data,
                           s->first_byte->len);
      g_array_append_vals (sum.first_byte_low, s->first_byte_low->data,
                           s->first_byte_low->len);
      sum.online_busy += s->online_busy;
      sum.batch_busy += s->batch_busy;
      sum.batch_useful += s->batch_useful;
      sum.batch_done += s->batch_done;
      sum.preempted += s->preempted;
      mb_model_finish (s);
    }
  g_array_sort (sum.first_byte, double_compare);
  g_array_sort (sum.first_byte_low, double_compare);
  return sum;
}

static void
print_scenario (FILE *csv, mb_scenario_t scenario, uint32_t slots,
                const sum_t *sum, double idle)
{
  double seconds = (double)RUN_MS * SEEDS / CLK_SECOND;
  double useful = 100 * sum->batch_useful / idle;
  double used = 100 * sum->batch_busy / idle;
  double rate = (double)sum->batch_done / seconds;
  double preemptions = (double)sum->preempted / seconds;
  printf ("| %u | %s | %.1f | %.1f | %.1f | %.1f | %.0f | %.0f | %.0f | %.0f "
          "| %.0f | %.0f |\n",
          slots, scenario_names[scenario], rate, used, useful, preemptions,
          quantile (sum->first_byte, 0.5), quantile (sum->first_byte, 0.95),
          quantile (sum->first_byte, 0.99), quantile (sum->first_byte, 1),
          quantile (sum->first_byte_low, 0.99),
          quantile (sum->first_byte_low, 1));
  fprintf (
      csv, "yield,%u,%s,%.2f,%.2f,%.2f,%.2f,%.0f,%.0f,%.0f,%.0f,%.0f,%.0f\n",
      slots, scenario_names[scenario], rate, used, useful, preemptions,
      quantile (sum->first_byte, 0.5), quantile (sum->first_byte, 0.95),
      quantile (sum->first_byte, 0.99), quantile (sum->first_byte, 1),
      quantile (sum->first_byte_low, 0.99), quantile (sum->first_byte_low, 1));
}

static void
run_scenario (FILE *csv, uint32_t slots, mb_scenario_t scenario, double *idle)
{
  fprintf (stderr, "yield: %u slots, %s\n", slots, scenario_names[scenario]);
  sum_t sum = run_seeds (scenario, slots);
  if (scenario == MB_NO_BATCH)
    *idle = (double)RUN_MS * SEEDS * ENGINES * slots - sum.online_busy;
  print_scenario (csv, scenario, slots, &sum, *idle);
  g_array_free (sum.first_byte, TRUE);
  g_array_free (sum.first_byte_low, TRUE);
}

void
mb_yield_run (FILE *csv)
{
  printf ("| slots | way | items/s | idle slot time used, %% | by items that "
          "ended, %% | paused/s | first byte p50, ms | p95 | p99 | worst | "
          "p99 before the burst | worst |\n"
          "|---|---|---|---|---|---|---|---|---|---|---|---|\n");
  double idle = 0;
  for (mb_scenario_t scenario = MB_NO_BATCH; scenario < MB_SCENARIO_NUM;
       scenario++)
    run_scenario (csv, 32, scenario, &idle);
  for (mb_scenario_t scenario = MB_NO_BATCH; scenario <= MB_CREDITS;
       scenario++)
    run_scenario (csv, 8, scenario, &idle);
  run_scenario (csv, 8, MB_RESERVE_LESS, &idle);
}

/** @file
 * Compares ways to choose an upstream on the same simulated load
 * (routesim.h): without faults; with one upstream that is silent, slow or
 * reports a false load; and under overload, with and without fair queues.
 *
 *   build/tools/measure_routing [calm|faults|overload]
 *
 * Prints the tables of docs/ROUTING.md and docs/ONLINE.md and writes
 * build/measure/routing.csv.  The simulation runs in virtual time, so the
 * figures repeat exactly.
 */
#include "routesim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <talloc.h>

/** Runs of each case, with seeds from 1 on; the figures cover all of them. */
#define SEEDS 3

static const char *const policy_name[POLICIES]
    = { "random", "least reported", "two choices", "chosen" };

static const char *const fault_name[FAULTS]
    = { "none", "silent", "slow", "lying" };

/** Results of one case over all seeds. */
typedef struct
{
  GArray *all;             /**< times to first byte, ms */
  GArray *each[CUSTOMERS]; /**< the same for each customer */
  double arrivals[CUSTOMERS];
  double in_time[CUSTOMERS]; /**< first byte within CALLER_TIMEOUT_MS */
  double refused;
  double hits;
  double starts;
  double bytes; /**< of messages between VMs, per second and VM */
  long lost;    /**< requests for which no engine was found */
} result_t;

static int
compare_ms (const void *a, const void *b)
{
  clk_ms_t x = *(const clk_ms_t *)a;
  clk_ms_t y = *(const clk_ms_t *)b;
  return (x > y) - (x < y);
}

static long
quantile (GArray *v, double q)
{
  if (v->len == 0)
    return 0;
  g_array_sort (v, compare_ms);
  guint i = (guint)(q * (v->len - 1));
  return (long)g_array_index (v, clk_ms_t, i);
}

/** Highest p99 among the customers, in ms. */
static long
worst_customer (const result_t *r)
{
  long worst = 0;
  for (int i = 0; i < CUSTOMERS; i++)
    {
      long p = quantile (r->each[i], 0.99);
      worst = p > worst ? p : worst;
    }
  return worst;
}

static void
add (result_t *r, const sim_t *s)
{
  for (int i = 0; i < CUSTOMERS; i++)
    {
      const GArray *latency = s->latency[i];
      g_array_append_vals (r->all, latency->data, latency->len);
      g_array_append_vals (r->each[i], latency->data, latency->len);
      for (guint k = 0; k < latency->len; k++)
        r->in_time[i]
            += g_array_index (latency, clk_ms_t, k) <= CALLER_TIMEOUT_MS;
      r->arrivals[i] += (double)s->arrivals[i];
      r->refused += (double)s->refused[i];
    }
  r->hits += (double)s->hits;
  r->starts += (double)s->starts;
  r->lost += s->lost;
  r->bytes
      += s->bytes / s->run.routers / ((double)RUN_MS / CLK_SECOND) / SEEDS;
}

/** Runs one case with all seeds and writes its line to CSV. */
static result_t
measure (FILE *csv, run_t run)
{
  result_t r = { .all = g_array_new (FALSE, FALSE, sizeof (clk_ms_t)) };
  for (int i = 0; i < CUSTOMERS; i++)
    r.each[i] = g_array_new (FALSE, FALSE, sizeof (clk_ms_t));
  for (run.seed = 1; run.seed <= SEEDS; run.seed++)
    {
      sim_t *s = sim_run (&run);
      add (&r, s);
      sim_free (s);
    }
  fprintf (csv, "%d,%d,%ld,%.2f,%s,%s,%ld,%ld,%ld,%ld,%.3f,%ld,%.0f\n",
           run.engines, run.routers, (long)run.lag, run.utilisation,
           fault_name[run.fault], policy_name[run.policy],
           quantile (r.all, 0.5), quantile (r.all, 0.95),
           quantile (r.all, 0.99), worst_customer (&r), r.hits / r.starts,
           r.lost, r.bytes);
  return r;
}

static void
result_free (result_t *r)
{
  g_array_free (r->all, TRUE);
  for (int i = 0; i < CUSTOMERS; i++)
    g_array_free (r->each[i], TRUE);
}

/** Prints one row: for each policy the p50, p95 and p99, the highest p99 among
 * the customers and the share of cache hits. */
static void
compare (FILE *csv, run_t run)
{
  printf ("| %d, %d | %.1f s | %.0f %% | %s |", run.engines, run.routers,
          (double)run.lag / CLK_SECOND, run.utilisation * 100,
          fault_name[run.fault]);
  for (run.policy = RANDOM; run.policy < POLICIES; run.policy++)
    {
      result_t r = measure (csv, run);
      printf (" %ld / %ld / %ld / %ld / %.0f %% |", quantile (r.all, 0.5),
              quantile (r.all, 0.95), quantile (r.all, 0.99),
              worst_customer (&r), 100 * r.hits / r.starts);
      result_free (&r);
    }
  puts ("");
  fflush (stdout);
}

static void
compare_all (FILE *csv, bool calm, bool faults)
{
  static const clk_ms_t lag[] = { 200, 1000, 5000 };
  static const double utilisation[] = { 0.5, 0.7, 0.85, 0.95 };
  puts ("| replicas, VMs | reports late | utilisation | fault | random | "
        "least reported | two choices | chosen |");
  puts ("|---|---|---|---|---|---|---|---|");
  for (int size = 0; size < 2; size++)
    {
      run_t run = { .engines = 10 + 10 * size, .routers = 6 + 2 * size };
      for (size_t i = 0; calm && i < 3; i++)
        for (size_t u = 0; u < 4; u++)
          {
            run.lag = lag[i];
            run.utilisation = utilisation[u];
            compare (csv, run);
          }
      run.lag = 1000;
      run.utilisation = 0.7;
      for (run.fault = SILENT; faults && run.fault < FAULTS; run.fault++)
        compare (csv, run);
    }
}

/** Prints one row with the first customer sending far more than its share. */
static void
overload (FILE *csv, double utilisation, bool fair)
{
  result_t r = measure (csv, (run_t){ .engines = 10,
                                      .routers = 6,
                                      .lag = 1000,
                                      .policy = ROUTER_CHOICE,
                                      .utilisation = utilisation,
                                      .overload = true,
                                      .fair = fair });
  double worst = 1;
  double in_time = 0;
  double arrivals = 0;
  long worst_p99 = 0;
  for (int i = 0; i < CUSTOMERS; i++)
    {
      double part = r.in_time[i] / r.arrivals[i];
      long p99 = quantile (r.each[i], 0.99);
      if (i > 0 && part < worst)
        worst = part;
      if (i > 0 && p99 > worst_p99)
        worst_p99 = p99;
      in_time += r.in_time[i];
      arrivals += r.arrivals[i];
    }
  printf ("| %.0f %% | %s | %.1f %% | %.1f %% | %.1f %% | %ld | %.1f %% |\n",
          utilisation * 100, fair ? "fair queue" : "as they come",
          100 * in_time / arrivals, 100 * r.in_time[0] / r.arrivals[0],
          100 * worst, worst_p99, 100 * r.refused / arrivals);
  result_free (&r);
}

static void
overload_all (FILE *csv)
{
  static const double utilisation[] = { 0.9, 1.0, 1.2, 1.5 };
  puts ("\n| load | requests | in time | large customer in time | worst other "
        "in time | worst other's p99 | refused, not run |");
  puts ("|---|---|---|---|---|---|---|");
  for (size_t u = 0; u < 4; u++)
    {
      overload (csv, utilisation[u], false);
      overload (csv, utilisation[u], true);
    }
}

int
main (int argc, char **argv)
{
  const char *what = argc > 1 ? argv[1] : "all";
  bool all = strcmp (what, "all") == 0;
  (void)mkdir ("build", 0755);
  (void)mkdir ("build/measure", 0755);
  FILE *csv = fopen ("build/measure/routing.csv", "w");
  if (csv == NULL)
    return EXIT_FAILURE;
  fputs ("replicas,vms,lag_ms,utilisation,fault,policy,p50_ms,p95_ms,p99_ms,"
         "worst_customer_p99_ms,cache_hits,not_routed,peer_bytes_s_vm\n",
         csv);
  if (all || strcmp (what, "calm") == 0 || strcmp (what, "faults") == 0)
    compare_all (csv, all || strcmp (what, "calm") == 0,
                 all || strcmp (what, "faults") == 0);
  if (all || strcmp (what, "overload") == 0)
    overload_all (csv);
  fclose (csv);
  return EXIT_SUCCESS;
}

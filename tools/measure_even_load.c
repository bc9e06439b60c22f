/** @file
 * Measures how evenly routers spread the requests of a fleet over upstreams
 * (evl.h), for news of several ages and two loads.
 *
 *   build/tools/measure_even_load [VMS...]
 *
 * Prints a table for the given numbers of VMs (8, 65 and 250 by default), in
 * virtual time and with fixed seeds, so that the figures repeat exactly.
 */
#include "evl.h"

#include <stdio.h>
#include <stdlib.h>

/** Runs of each case, with seeds from 1 on; the figures are means. */
#define SEEDS 2
/** Number of VMs from which there is one run of each case, and fewer cases. */
#define LARGE_VMS 200

static const struct
{
  const char *name;
  rte_desc_t router;
} choices[] = {
  { "as before", { .even_load = RTE_EVEN_OFF } },
  { "as before, with statements",
    { .even_load = RTE_EVEN_ON,
      .even_rules = { .choice = LOD_LEAST,
                      .no_forgetting = true,
                      .no_deviation = true } } },
  { "least cost",
    { .even_load = RTE_EVEN_ON, .even_rules = { .choice = LOD_LEAST } } },
  { "of two",
    { .even_load = RTE_EVEN_ON, .even_rules = { .choice = LOD_TWO } } },
  { "of three",
    { .even_load = RTE_EVEN_ON, .even_rules = { .choice = LOD_THREE } } },
  { "drain, not forgetting",
    { .even_load = RTE_EVEN_ON, .even_rules = { .no_forgetting = true } } },
  { "drain, no statements",
    { .even_load = RTE_EVEN_ON, .even_rules = { .no_statements = true } } },
  { "drain (chosen)",
    { .even_load = RTE_EVEN_ON, .even_rules = { .choice = LOD_DRAIN } } },
};

#define CHOICES (sizeof choices / sizeof choices[0])

/** Upstreams of a fleet: about one for each VM, as at the customers. */
static size_t
upstreams_of (size_t vms)
{
  return vms < 20 ? 12 : vms < 100 ? 48 : 150;
}

static void
row (const evl_desc_t *base, size_t choice, uint32_t seeds)
{
  evl_result_t m = { 0 };
  for (uint32_t seed = 1; seed <= seeds; seed++)
    {
      evl_desc_t d = *base;
      d.seed = seed;
      d.router = choices[choice].router;
      evl_result_t r = evl_run (&d);
      m.fullest += r.fullest / seeds;
      m.idle += r.idle / seeds;
      m.free += r.free / seeds;
      m.mean_ms += r.mean_ms / seeds;
      m.p99_ms += r.p99_ms / seeds;
      m.late += r.late / seeds;
      m.late_local += r.late_local / seeds;
      m.far += r.far / seeds;
      m.hits += r.hits / seeds;
      m.polls_per_s += r.polls_per_s / seeds;
      m.bytes_per_s += r.bytes_per_s / seeds;
    }
  printf ("| %zu | %s | %lld | %.2f | %s | %.2f | %.1f | %.0f | %.0f | %.0f | "
          "%.2f | %.2f | %.0f | %.0f | %.0f | %.1f |\n",
          base->vms, base->rate == EVL_LOCAL ? "one" : "all",
          (long long)base->news_ms, base->utilisation, choices[choice].name,
          m.fullest, 100 * m.idle, 100 * m.free, m.mean_ms, m.p99_ms,
          100 * m.late, 100 * m.late_local, 100 * m.far, 100 * m.hits,
          m.polls_per_s, m.bytes_per_s / 1000);
  (void)fflush (stdout);
}

/** The cases of a fleet; a large one has fewer, as its runs are long. */
static void
fleet (size_t vms)
{
  static const clk_ms_t news[] = { 200, 1000, 50, 500 };
  static const double utilisation[] = { 0.35, 0.6 };
  bool large = vms >= LARGE_VMS;
  evl_desc_t d = { .vms = vms, .upstreams = upstreams_of (vms) };
  for (size_t u = 0; u < 2; u++)
    for (size_t i = 0; i < (large ? 2 : 4); i++)
      for (size_t c = 0; c < CHOICES; c++)
        {
          d.news_ms = news[i];
          d.utilisation = utilisation[u];
          row (&d, c, large ? 1 : SEEDS);
        }
  d.news_ms = 200;
  d.utilisation = 0.5;
  d.rate = EVL_LOCAL;
  for (size_t c = 0; !large && c < CHOICES; c++)
    row (&d, c, SEEDS);
}

int
main (int argc, char **argv)
{
  static const size_t all[] = { 8, 65, 250 };
  puts ("| VMs | waves at | news ms | utilisation | choice | fullest / mean | "
        "idle % | free slots % | mean ms | p99 ms | late % | late % in the "
        "first data centre | far % | cached % | polls a second | KB a second "
        "and VM |");
  puts ("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
  for (int i = 1; i < argc; i++)
    {
      size_t vms = (size_t)strtoul (argv[i], NULL, 10);
      if (vms < 3 || vms > EVL_VMS_MAX)
        {
          (void)fprintf (stderr, "%s: not a number of VMs from 3 to %d\n",
                         argv[i], EVL_VMS_MAX);
          return EXIT_FAILURE;
        }
      fleet (vms);
    }
  for (size_t i = 0; argc < 2 && i < sizeof all / sizeof all[0]; i++)
    fleet (all[i]);
  return EXIT_SUCCESS;
}

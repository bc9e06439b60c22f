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

static const struct
{
  const char *name;
  rte_desc_t router;
} choices[] = {
  { "least cost", { 0 } },
};

#define CHOICES (sizeof choices / sizeof choices[0])

/** Upstreams of a fleet: about one for each VM, as at the customers. */
static size_t
upstreams_of (size_t vms)
{
  return vms < 20 ? 12 : vms < 100 ? 48 : 150;
}

static void
row (const evl_desc_t *base, size_t choice)
{
  evl_result_t m = { 0 };
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      evl_desc_t d = *base;
      d.seed = seed;
      d.router = choices[choice].router;
      evl_result_t r = evl_run (&d);
      m.fullest += r.fullest / SEEDS;
      m.idle += r.idle / SEEDS;
      m.free += r.free / SEEDS;
      m.mean_ms += r.mean_ms / SEEDS;
      m.p99_ms += r.p99_ms / SEEDS;
      m.late += r.late / SEEDS;
      m.late_local += r.late_local / SEEDS;
      m.far += r.far / SEEDS;
      m.hits += r.hits / SEEDS;
      m.polls_per_s += r.polls_per_s / SEEDS;
      m.bytes_per_s += r.bytes_per_s / SEEDS;
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

static void
fleet (size_t vms)
{
  static const clk_ms_t news[] = { 50, 200, 500, 1000 };
  static const double utilisation[] = { 0.35, 0.6 };
  for (size_t u = 0; u < sizeof utilisation / sizeof utilisation[0]; u++)
    for (size_t i = 0; i < sizeof news / sizeof news[0]; i++)
      for (size_t c = 0; c < CHOICES; c++)
        row (&(evl_desc_t){ .vms = vms,
                            .upstreams = upstreams_of (vms),
                            .news_ms = news[i],
                            .utilisation = utilisation[u] },
             c);
  for (size_t c = 0; c < CHOICES; c++)
    row (&(evl_desc_t){ .vms = vms,
                        .upstreams = upstreams_of (vms),
                        .news_ms = 200,
                        .utilisation = 0.5,
                        .rate = EVL_LOCAL },
         c);
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

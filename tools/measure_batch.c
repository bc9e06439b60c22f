/** @file
 * Measures the figures of docs/BATCH.md:
 *   build/tools/measure_batch [calls|yield|order]
 *
 * Without an argument, all three parts run.  The runs use virtual time and
 * fixed seeds, so that each run gives the same figures.  The rows are printed
 * and written to build/measure/batch.csv; a run of one part appends to the
 * file.
 */
#include "mb.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define CSV_DIRECTORY "build/measure"

int
main (int argc, char **argv)
{
  const char *only = argc > 1 ? argv[1] : "";
  (void)g_mkdir_with_parents (CSV_DIRECTORY, 0755);
  FILE *csv = fopen (CSV_DIRECTORY "/batch.csv", only[0] == '\0' ? "w" : "a");
  if (csv == NULL)
    {
      perror (CSV_DIRECTORY "/batch.csv");
      return EXIT_FAILURE;
    }
  if (only[0] == '\0' || strcmp (only, "calls") == 0)
    mb_calls_run (csv);
  if (only[0] == '\0' || strcmp (only, "yield") == 0)
    mb_yield_run (csv);
  if (only[0] == '\0' || strcmp (only, "order") == 0)
    mb_order_run (csv);
  return fclose (csv) == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

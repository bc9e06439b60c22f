/** @file
 * The figures of docs/BATCH.md: build/tools/measure_batch [calls|yield|order]
 *
 * Virtual time and fixed seeds: the same figures on every run.  Rows go to
 * build/measure/batch.csv as well.
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

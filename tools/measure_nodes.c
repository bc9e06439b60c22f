/** @file
 * Measures the memory of idle nodes in one process: bytes per node, including
 * the simulated environment of the node, for several numbers of nodes.
 *
 * Writes build/measure/nodes.csv.
 */
#include "flt.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define CUSTOMERS 8

static char *
document (void *ctx)
{
  char *text = talloc_strdup (
      ctx, "[data-centre dc-0]\nowner = ops\n"
           "[deployment snit-llm]\nowner = ops\nkind = engine\nslots = 8\n"
           "[route POST /v1/completions]\nowner = ops\n"
           "deployment = snit-llm\nidempotent = yes\n");
  for (int i = 0; i < 10; i++)
    text = talloc_asprintf_append_buffer (
        text,
        "[upstream snit-%d]\nowner = ops\ndeployment = snit-llm\n"
        "data_centre = dc-0\naddress = 127.0.0.1:%d\n",
        i, 9000 + i);
  for (int i = 0; i < CUSTOMERS; i++)
    text = talloc_asprintf_append_buffer (
        text,
        "[customer c%d]\nowner = ops\nrate = 40/s\nburst = 80\n"
        "[key k%d]\nowner = ops\ncustomer = c%d\nsha256 = %064d\n",
        i, i, i, i + 1);
  return text;
}

static size_t
bytes_for (size_t nodes, const char *text)
{
  size_t before = mallinfo2 ().uordblks;
  void *ctx = talloc_new (NULL);
  for (size_t i = 0; i < nodes; i++)
    (void)flt_setup (ctx, &(flt_desc_t){ .seed = (uint32_t)i,
                                         .data_centres = 1,
                                         .vms = 1,
                                         .document = text });
  size_t bytes = mallinfo2 ().uordblks - before;
  talloc_free (ctx);
  return bytes;
}

int
main (void)
{
  static const size_t sizes[] = { 10, 100, 1000 };
  void *ctx = talloc_new (NULL);
  const char *text = document (ctx);
  FILE *csv = fopen ("build/measure/nodes.csv", "w");
  if (csv == NULL)
    {
      perror ("build/measure/nodes.csv");
      return EXIT_FAILURE;
    }
  fputs ("nodes,bytes,bytes_per_node\n", csv);
  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    {
      size_t bytes = bytes_for (sizes[i], text);
      printf ("%zu idle nodes: %zu bytes, %zu per node\n", sizes[i], bytes,
              bytes / sizes[i]);
      fprintf (csv, "%zu,%zu,%zu\n", sizes[i], bytes, bytes / sizes[i]);
    }
  fclose (csv);
  talloc_free (ctx);
  return EXIT_SUCCESS;
}

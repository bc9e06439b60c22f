/** @file
 * Memory of idle nodes in one process: bytes a node at several fleet sizes.
 *
 * Writes build/measure/nodes.csv.
 */
#include "core/node.h"

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
      ctx, "[data-centre north]\nowner = ops\n"
           "[deployment snit-llm]\nowner = ops\nkind = engine\nslots = 8\n"
           "[route POST /v1/completions]\nowner = ops\n"
           "deployment = snit-llm\nidempotent = yes\n");
  for (int i = 0; i < 10; i++)
    text = talloc_asprintf_append_buffer (
        text,
        "[upstream snit-%d]\nowner = ops\ndeployment = snit-llm\n"
        "data_centre = north\naddress = 127.0.0.1:%d\n",
        i, 9000 + i);
  for (int i = 0; i < CUSTOMERS; i++)
    text = talloc_asprintf_append_buffer (
        text,
        "[customer c%d]\nowner = ops\nrate = 40/s\nburst = 80\n"
        "[key k%d]\nowner = ops\ncustomer = c%d\nsha256 = %064d\n",
        i, i, i, i + 1);
  return text;
}

static void
start (node_t *n, const char *text)
{
  const fx_list_t *fx = node_step (n, 0, &(ev_t){ .kind = EV_START });
  ev_object_t object
      = { .name = "config", .version = 1, .value = buf_str (text) };
  ev_t reply = { .kind = EV_NUM };
  for (size_t i = 0; i < fx->count; i++)
    {
      if (fx->v[i].kind == FX_PLATFORM
          && fx->v[i].platform.op == FX_PLATFORM_GET)
        reply = (ev_t){ .kind = EV_PLATFORM,
                        .platform = { .call = fx->v[i].platform.call,
                                      .code = ST_OK,
                                      .objects = &object,
                                      .object_count = 1 } };
    }
  if (reply.kind == EV_PLATFORM)
    (void)node_step (n, 4, &reply);
}

static size_t
bytes_for (size_t nodes, const char *text)
{
  size_t before = mallinfo2 ().uordblks;
  void *ctx = talloc_new (NULL);
  for (size_t i = 0; i < nodes; i++)
    {
      st_t st = { 0 };
      char *name = talloc_asprintf (ctx, "vm-%zu", i);
      node_t *n = node_setup (ctx,
                              &(node_desc_t){ .vm = name,
                                              .data_centre = "north",
                                              .incarnation = 1,
                                              .seed = (uint32_t)i },
                              &st);
      if (n == NULL)
        {
          fprintf (stderr, "%s\n", st.message);
          exit (EXIT_FAILURE);
        }
      start (n, text);
    }
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
      printf ("%zu idle nodes: %zu bytes, %zu a node\n", sizes[i], bytes,
              bytes / sizes[i]);
      fprintf (csv, "%zu,%zu,%zu\n", sizes[i], bytes, bytes / sizes[i]);
    }
  fclose (csv);
  talloc_free (ctx);
  return EXIT_SUCCESS;
}

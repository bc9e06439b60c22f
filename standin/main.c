#include "standin.h"

#include <stdio.h>
#include <string.h>

typedef struct
{
  const char *name;
  int (*run) (int argc, char **argv);
  const char *help;
} command_t;

static const command_t commands[] = {
  { "platform", platform_main,
    "object store with versions, watches, VM list" },
  { "engine", engine_main, "model engine: streams, batching, prefix cache" },
  { "plain", plain_main, "plain service that counts its calls" },
  { "load", load_main, "open-loop load with latency quantiles" },
};

#define COMMAND_COUNT (sizeof commands / sizeof commands[0])

int
main (int argc, char **argv)
{
  for (size_t i = 0; argc > 1 && i < COMMAND_COUNT; i++)
    if (strcmp (argv[1], commands[i].name) == 0)
      return commands[i].run (argc - 1, argv + 1);
  fprintf (stderr, "usage: standin COMMAND [OPTION...]\n");
  for (size_t i = 0; i < COMMAND_COUNT; i++)
    fprintf (stderr, "  %-9s %s\n", commands[i].name, commands[i].help);
  return 64;
}

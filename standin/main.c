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
  { "store", store_main, "users' store: kinds, names, revisions, watches" },
  { "replica", replica_main, "users' replica: registers, streams events" },
  { "ask", ask_main, "users' callers: judge each answer" },
  { "judge", judge_main, "join the records of callers and replicas" },
  { "relay", relay_main, "link to the store that can be frozen" },
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

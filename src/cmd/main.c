/** @file
 * Entry point: picks the subcommand.
 */
#include "cmd/cmd.h"

#include <stdio.h>
#include <string.h>

/** A subcommand and its line in the help. */
static const struct
{
  const char *name;
  int (*run) (int argc, char **argv);
  const char *summary;
} _commands[] = {
  { "serve", cmd_serve, "run one VM of the fleet" },
  { "config", cmd_config, "check, apply, show or compare the document" },
  { "key", cmd_key, "issue, withdraw or list callers' keys" },
  { "customer", cmd_customer, "list or show customers" },
  { "batch", cmd_batch, "submit, follow, read and cancel batch jobs" },
  { "upstream", cmd_upstream, "list upstreams, take one out of use" },
  { "status", cmd_status, "state of each VM" },
  { "timeline", cmd_timeline, "events of all VMs in causal order" },
};

#define _COMMAND_COUNT (sizeof _commands / sizeof _commands[0])

static void
_main_usage (FILE *out)
{
  fputs ("Usage: rattanspindle COMMAND [OPTION...]\n\n", out);
  for (size_t i = 0; i < _COMMAND_COUNT; i++)
    fprintf (out, "  %-10s %s\n", _commands[i].name, _commands[i].summary);
  fputs ("\n`rattanspindle COMMAND --help` tells a command's options; "
         "--version the version.\n",
         out);
}

int
main (int argc, char **argv)
{
  if (argc >= 2 && strcmp (argv[1], "--version") == 0)
    {
      puts ("rattanspindle " RTS_VERSION);
      return CMD_OK;
    }
  if (argc >= 2 && strcmp (argv[1], "--help") == 0)
    {
      _main_usage (stdout);
      return CMD_OK;
    }
  for (size_t i = 0; argc >= 2 && i < _COMMAND_COUNT; i++)
    {
      if (strcmp (_commands[i].name, argv[1]) == 0)
        return _commands[i].run (argc - 1, argv + 1);
    }
  _main_usage (stderr);
  return CMD_USAGE;
}

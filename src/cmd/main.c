/** @file
 * Entry point: runs the subcommand that the first argument names.
 */
#include "cmd/cmd.h"

#include <stdio.h>
#include <string.h>

/** The subcommands, in the order of the help. */
static const struct
{
  const char *name;
  int (*run) (int argc, char **argv);
  const char *summary;
} _commands[] = {
  { "serve", cmd_serve, "run one VM of the fleet" },
  { "config", cmd_config,
    "check, apply, show or compare the operators' document" },
  { "document", cmd_document,
    "check or compare documents of the platform's operators" },
  { "key", cmd_key, "issue, withdraw or list callers' keys" },
  { "customer", cmd_customer, "list or show customers" },
  { "batch", cmd_batch, "submit, watch, read or cancel batch jobs" },
  { "upstream", cmd_upstream,
    "list upstreams, drain one or put it back in use" },
  { "status", cmd_status, "print the status of each VM" },
  { "timeline", cmd_timeline, "print the events of all VMs in causal order" },
};

#define _COMMAND_COUNT (sizeof _commands / sizeof _commands[0])

static void
_main_usage (FILE *out)
{
  fputs ("Usage: rattanspindle COMMAND [OPTION...]\n\n", out);
  for (size_t i = 0; i < _COMMAND_COUNT; i++)
    fprintf (out, "  %-10s %s\n", _commands[i].name, _commands[i].summary);
  fputs ("\n`rattanspindle COMMAND --help` lists the options of a command; "
         "`rattanspindle --version` prints the version.\n",
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

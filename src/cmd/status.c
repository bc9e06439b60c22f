/** @file
 * rattanspindle status: prints the status that each VM reports of itself.
 */
#include "cmd/cli.h"
#include "cmd/cmd.h"

#include <stdio.h>
#include <stdlib.h>
#include <talloc.h>

static const cli_usage_t _status_usage = {
  .name = "status",
  .doc = "Print the status of each VM given by --vm, one JSON object a line.\v"
         "Exits with 69 when a VM does not respond.",
};

static int
_status_print_vm (cli_t *cli, size_t vm)
{
  cli_response_t response;
  int status = cli_call (cli,
                         &(cli_request_t){ .method = "GET",
                                           .path = "/v1/operator/status",
                                           .vm = vm },
                         &response);
  if (status != CMD_OK)
    return status;
  char *text = json_dumps (response.json, JSON_COMPACT);
  printf ("%s\n", text == NULL ? "null" : text);
  free (text);
  return CMD_OK;
}

int
cmd_status (int argc, char **argv)
{
  cli_args_t args;
  if (!cli_args_parse (&args, &_status_usage, argc, argv))
    return CMD_USAGE;
  void *ctx = talloc_new (NULL);
  cli_t *cli = cli_setup (ctx, &args);
  int status = cli == NULL ? CMD_USAGE : CMD_OK;
  for (size_t i = 1; cli != NULL && i <= cli_vm_count (cli); i++)
    {
      int vm_status = _status_print_vm (cli, i);
      if (vm_status != CMD_OK)
        status = vm_status;
    }
  talloc_free (ctx);
  return status;
}

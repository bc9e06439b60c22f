/** @file
 * rattanspindle upstream: lists the upstreams, drains one or puts it back in
 * use.
 */
#include "cmd/cli.h"
#include "cmd/cmd.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define UPSTREAM_WAIT_S 12.0 /* default of --wait */

static const struct argp_option _upstream_options[] = {
  { "wait", 'W', "SECONDS", 0,
    "maximum wait until all VMs have confirmed (12)", 0 },
  { 0 },
};

static const char *const _upstream_verbs[]
    = { "list", "leave NAME", "stay NAME", NULL };

static const cli_usage_t _upstream_usage = {
  .name = "upstream",
  .verbs = _upstream_verbs,
  .options = _upstream_options,
  .doc = "List the configured upstreams; drain one or put it back in use.\v"
         "leave drains an upstream: it gets no new work, and the requests "
         "that run there finish. stay puts it back in use.",
};

static int
_upstream_list (cli_t *cli)
{
  cli_response_t response;
  int status = cli_call (
      cli,
      &(cli_request_t){ .method = "GET", .path = "/v1/operator/upstreams" },
      &response);
  const json_t *list = json_object_get (response.json, "upstreams");
  for (size_t i = 0; status == CMD_OK && i < json_array_size (list); i++)
    {
      const char *name = "";
      const char *deployment = "";
      const char *centre = "";
      const char *address = "";
      int leaving = 0;
      (void)json_unpack (json_array_get (list, i), "{s:s, s:s, s:s, s:s, s:b}",
                         "name", &name, "deployment", &deployment,
                         "data_centre", &centre, "address", &address,
                         "leaving", &leaving);
      printf ("%-24s %-20s %-16s %-22s %s\n", name, deployment, centre,
              address, leaving ? "leaving" : "in use");
    }
  return status;
}

static int
_upstream_change (void *ctx, cli_t *cli, const cli_args_t *a)
{
  cli_response_t response;
  char *path = talloc_asprintf (ctx, "/v1/operator/upstreams/%s/%s?token=%s",
                                cli_escape (ctx, a->operand[0]), a->verb,
                                cli_random_hex (ctx, 16));
  int status = cli_call (
      cli,
      &(cli_request_t){ .method = "POST", .path = path, .repeatable = true },
      &response);
  if (status != CMD_OK)
    return status;
  json_int_t version
      = json_integer_value (json_object_get (response.json, "version"));
  return cli_report_wait (
      cli, &response,
      talloc_asprintf (ctx, "/v1/operator/config/confirmed?version=%lld",
                       (long long)version),
      cli_args_seconds (a, 'W', UPSTREAM_WAIT_S));
}

int
cmd_upstream (int argc, char **argv)
{
  cli_args_t args;
  if (!cli_args_parse (&args, &_upstream_usage, argc, argv))
    return CMD_USAGE;
  void *ctx = talloc_new (NULL);
  int status = CMD_USAGE;
  cli_t *cli = cli_setup (ctx, &args);
  if (cli != NULL)
    status = strcmp (args.verb, "list") == 0
                 ? _upstream_list (cli)
                 : _upstream_change (ctx, cli, &args);
  talloc_free (ctx);
  return status;
}

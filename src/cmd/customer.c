/** @file
 * rattanspindle customer: lists the configured customers and their limits.
 */
#include "cmd/cli.h"
#include "cmd/cmd.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

static const char *const _customer_verbs[] = { "list", "show NAME", NULL };

static const cli_usage_t _customer_usage = {
  .name = "customer",
  .verbs = _customer_verbs,
  .doc = "List the configured customers, or show one.\v"
         "Customers are created, changed and removed by `config apply`.",
};

static void
_customer_print (const json_t *customer)
{
  const char *name = "";
  const char *owner = "";
  double rate = 0;
  double burst = 0;
  double weight = 0;
  (void)json_unpack ((json_t *)customer, "{s:s, s:s, s:F, s:F, s:F}", "name",
                     &name, "owner", &owner, "rate", &rate, "burst", &burst,
                     "weight", &weight);
  printf ("%-32s %-16s rate %g/s burst %g weight %g\n", name, owner, rate,
          burst, weight);
}

static int
_customer_run (void *ctx, const cli_args_t *a)
{
  cli_t *cli = cli_setup (ctx, a);
  if (cli == NULL)
    return CMD_USAGE;
  char *path = talloc_strdup (ctx, "/v1/operator/customers");
  if (strcmp (a->verb, "show") == 0)
    path = talloc_asprintf_append (path, "?name=%s",
                                   cli_escape (ctx, a->operand[0]));
  cli_response_t response;
  int status = cli_call (
      cli, &(cli_request_t){ .method = "GET", .path = path }, &response);
  const json_t *list = json_object_get (response.json, "customers");
  for (size_t i = 0; status == CMD_OK && i < json_array_size (list); i++)
    _customer_print (json_array_get (list, i));
  return status;
}

int
cmd_customer (int argc, char **argv)
{
  cli_args_t args;
  if (!cli_args_parse (&args, &_customer_usage, argc, argv))
    return CMD_USAGE;
  void *ctx = talloc_new (NULL);
  int status = _customer_run (ctx, &args);
  talloc_free (ctx);
  return status;
}

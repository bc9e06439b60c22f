/** @file
 * rattanspindle key: issues, withdraws and lists callers' keys.
 */
#include "core/key.h"
#include "cmd/cli.h"
#include "cmd/cmd.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define KEY_BYTES 24   /* random bytes in an issued key */
#define KEY_WAIT_S 2.0 /* default of --wait */

static const struct argp_option _key_options[] = {
  { "customer", 'c', "NAME", 0, "issue: customer who gets the key", 0 },
  { "owner", 'o', "TEAM", 0,
    "issue: team that owns the key's section of the document", 0 },
  { "wait", 'W', "SECONDS", 0,
    "withdraw: maximum wait until all VMs have confirmed (2)", 0 },
  { 0 },
};

static const char *const _key_verbs[]
    = { "issue NAME", "withdraw NAME", "list", NULL };

static const cli_usage_t _key_usage = {
  .name = "key",
  .verbs = _key_verbs,
  .options = _key_options,
  .doc = "Issue, withdraw or list callers' keys.\v"
         "issue prints the key once; only its SHA-256 is sent to the fleet. "
         "withdraw takes the key's name or SHA-256 and prints which VMs have "
         "confirmed. The withdrawal is in force at once on the VM that is "
         "called, even without the platform, and cannot be undone: issue a "
         "new key instead.",
};

static int
_key_post (cli_t *cli, const char *path, json_t *body,
           cli_response_t *response)
{
  char *text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  int status = cli_call (cli,
                         &(cli_request_t){ .method = "POST",
                                           .path = path,
                                           .body = buf_str (text),
                                           .repeatable = true },
                         response);
  free (text);
  return status;
}

static int
_key_issue (void *ctx, cli_t *cli, const cli_args_t *a)
{
  const char *customer = a->option['c'];
  const char *owner = a->option['o'];
  if (customer == NULL || owner == NULL)
    {
      cli_error ("issue: --customer and --owner are required");
      return CMD_USAGE;
    }
  char *key = talloc_asprintf (ctx, "rk-%s", cli_random_hex (ctx, KEY_BYTES));
  char hash[KEY_HASH_SIZE + 1];
  key_hash (key, hash);
  cli_response_t response;
  int status = _key_post (
      cli,
      talloc_asprintf (ctx, "/v1/operator/keys/issue?token=%s",
                       cli_random_hex (ctx, 16)),
      json_pack ("{s:s, s:s, s:s, s:s}", "name", a->operand[0], "customer",
                 customer, "owner", owner, "sha256", hash),
      &response);
  if (status == CMD_OK)
    printf ("%s\n", key);
  return status;
}

static int
_key_withdraw (void *ctx, cli_t *cli, const cli_args_t *a)
{
  cli_response_t response;
  int status
      = _key_post (cli, "/v1/operator/keys/withdraw",
                   json_pack ("{s:s}", "name", a->operand[0]), &response);
  if (status != CMD_OK)
    return status;
  const char *hash
      = json_string_value (json_object_get (response.json, "sha256"));
  return cli_report_wait (
      cli, &response,
      talloc_asprintf (ctx, "/v1/operator/keys/withdrawn?sha256=%s",
                       hash == NULL ? "" : hash),
      cli_args_seconds (a, 'W', KEY_WAIT_S));
}

static int
_key_list (cli_t *cli)
{
  cli_response_t response;
  int status = cli_call (
      cli, &(cli_request_t){ .method = "GET", .path = "/v1/operator/keys" },
      &response);
  const json_t *keys = json_object_get (response.json, "keys");
  for (size_t i = 0; status == CMD_OK && i < json_array_size (keys); i++)
    {
      const char *name = "";
      const char *customer = "";
      const char *owner = "";
      int withdrawn = 0;
      (void)json_unpack (json_array_get (keys, i), "{s:s, s:s, s:s, s:b}",
                         "name", &name, "customer", &customer, "owner", &owner,
                         "withdrawn", &withdrawn);
      printf ("%-32s %-24s %-16s %s\n", name, customer, owner,
              withdrawn ? "withdrawn" : "valid");
    }
  return status;
}

static int
_key_run (void *ctx, const cli_args_t *a)
{
  cli_t *cli = cli_setup (ctx, a);
  if (cli == NULL)
    return CMD_USAGE;
  if (strcmp (a->verb, "issue") == 0)
    return _key_issue (ctx, cli, a);
  if (strcmp (a->verb, "withdraw") == 0)
    return _key_withdraw (ctx, cli, a);
  return _key_list (cli);
}

int
cmd_key (int argc, char **argv)
{
  cli_args_t args;
  if (!cli_args_parse (&args, &_key_usage, argc, argv))
    return CMD_USAGE;
  void *ctx = talloc_new (NULL);
  int status = _key_run (ctx, &args);
  talloc_free (ctx);
  return status;
}

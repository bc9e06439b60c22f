/** @file
 * rattanspindle config: checks, applies, shows and compares the operators'
 * configuration document.
 */
#include "cmd/cli.h"
#include "cmd/cmd.h"
#include "core/cfg.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define CONFIG_WAIT_S 12.0 /* default of --wait */
/* Prefix of the first line of the document that `config show` prints. */
#define CONFIG_VERSION_LINE "# configuration version "

static const struct argp_option _config_options[] = {
  { "base", 'b', "VERSION", 0,
    "version that the change is based on (default: from the file's first "
    "line)",
    0 },
  { "team", 'o', "NAME", 0, "refuse changes to other teams' sections", 0 },
  { "whole", 'w', NULL, 0, "remove sections that are not in the file", 0 },
  { "wait", 'W', "SECONDS", 0,
    "maximum wait until all VMs have confirmed (12)", 0 },
  { 0 },
};

static const char *const _config_verbs[]
    = { "check FILE", "apply FILE", "diff FILE", "show", NULL };

static const cli_usage_t _config_usage = {
  .name = "config",
  .verbs = _config_verbs,
  .options = _config_options,
  .doc = "Check, apply, show or compare the operators' document.\v"
         "apply changes the sections of FILE and leaves the others as they "
         "are; a section without keys is removed. Nothing is applied when any "
         "section has an error or was changed by somebody else after the base "
         "version. check needs no fleet and expects a complete document. FILE "
         "may be - for standard input.",
};

static int
_config_check (void *ctx, const cli_args_t *a)
{
  buf_t text;
  if (!cli_file_read (ctx, a->operand[0], &text))
    return CMD_FAILED;
  cfg_doc_t *doc = NULL;
  cfg_faults_t faults = { 0 };
  if (cfg_doc_check (ctx, text, &doc, &faults) == ST_OK)
    {
      printf ("%s: %zu customers, %zu keys, %zu deployments, %zu upstreams, "
              "%zu routes\n",
              a->operand[0], doc->customer_count, doc->key_count,
              doc->deployment_count, doc->upstream_count, doc->route_count);
      return CMD_OK;
    }
  for (size_t i = 0; i < faults.count; i++)
    fprintf (stderr, "%s\n",
             cfg_fault_format (ctx, &faults.v[i], a->operand[0]));
  if (faults.more > 0)
    fprintf (stderr, "and %zu more\n", faults.more);
  return CMD_FAILED;
}

/* Returns the path and query of a change.  The base version comes from --base
 * or else from the first line of the file, which `config show` writes. */
static char *
_config_change_path (void *ctx, const cli_args_t *a, const char *path,
                     buf_t text)
{
  char *line = talloc_strndup (ctx, text.p, strcspn (text.p, "\n"));
  const char *base = a->option['b'];
  if (base == NULL && g_str_has_prefix (line, CONFIG_VERSION_LINE))
    base = line + strlen (CONFIG_VERSION_LINE);
  char *out
      = talloc_asprintf (ctx, "%s?token=%s", path, cli_random_hex (ctx, 16));
  if (base != NULL)
    out = talloc_asprintf_append (out, "&base=%s", cli_escape (ctx, base));
  if (a->option['o'] != NULL)
    out = talloc_asprintf_append (out, "&team=%s",
                                  cli_escape (ctx, a->option['o']));
  if (a->option['w'] != NULL)
    out = talloc_strdup_append (out, "&whole=yes");
  return out;
}

static int
_config_send (void *ctx, cli_t *cli, const cli_args_t *a, const char *path,
              cli_response_t *response)
{
  buf_t text;
  if (!cli_file_read (ctx, a->operand[0], &text))
    return CMD_FAILED;
  return cli_call (
      cli,
      &(cli_request_t){ .method = "POST",
                        .path = _config_change_path (ctx, a, path, text),
                        .content_type = "text/plain",
                        .body = text,
                        .repeatable = true },
      response);
}

static int
_config_apply (void *ctx, cli_t *cli, const cli_args_t *a)
{
  cli_response_t response;
  int status = _config_send (ctx, cli, a, "/v1/operator/config", &response);
  if (status != CMD_OK)
    return status;
  json_int_t version
      = json_integer_value (json_object_get (response.json, "version"));
  bool unchanged = json_is_true (json_object_get (response.json, "unchanged"));
  printf ("version %lld%s\n", (long long)version,
          unchanged ? ": in force already" : "");
  return cli_report_wait (
      cli, &response,
      talloc_asprintf (ctx, "/v1/operator/config/confirmed?version=%lld",
                       (long long)version),
      cli_args_seconds (a, 'W', CONFIG_WAIT_S));
}

static int
_config_diff (void *ctx, cli_t *cli, const cli_args_t *a)
{
  cli_response_t response;
  int status
      = _config_send (ctx, cli, a, "/v1/operator/config/diff", &response);
  if (status != CMD_OK)
    return status;
  const char *diff
      = json_string_value (json_object_get (response.json, "diff"));
  fputs (diff == NULL ? "" : diff, stdout);
  return CMD_OK;
}

static int
_config_show (cli_t *cli)
{
  cli_response_t response;
  int status = cli_call (
      cli, &(cli_request_t){ .method = "GET", .path = "/v1/operator/config" },
      &response);
  if (status == CMD_OK)
    (void)fwrite (response.body.p, 1, response.body.n, stdout);
  return status;
}

static int
_config_run (void *ctx, const cli_args_t *a)
{
  if (strcmp (a->verb, "check") == 0)
    return _config_check (ctx, a);
  cli_t *cli = cli_setup (ctx, a);
  if (cli == NULL)
    return CMD_USAGE;
  if (strcmp (a->verb, "apply") == 0)
    return _config_apply (ctx, cli, a);
  if (strcmp (a->verb, "diff") == 0)
    return _config_diff (ctx, cli, a);
  return _config_show (cli);
}

int
cmd_config (int argc, char **argv)
{
  cli_args_t args;
  if (!cli_args_parse (&args, &_config_usage, argc, argv))
    return CMD_USAGE;
  void *ctx = talloc_new (NULL);
  int status = _config_run (ctx, &args);
  talloc_free (ctx);
  return status;
}

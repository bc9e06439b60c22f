/** @file
 * rattanspindle batch: submits, watches, reads and cancels batch jobs.
 *
 * The calls are those of a customer: --token-file holds the customer's key.
 */
#include "cmd/cli.h"
#include "cmd/cmd.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define BATCH_PATH "/v1/batches"
#define BATCH_POLL_INTERVAL_US 500000

static const struct argp_option _batch_options[] = {
  { "due", 'd', "TIME", 0,
    "submit: due time in Unix seconds, +SECONDS from now, or ISO 8601", 0 },
  { "key", 'k', "KEY", 0,
    "submit: idempotency key; default: the SHA-256 of the file", 0 },
  { "wait", 'W', "SECONDS", 0,
    "status: maximum wait for the job to end; cancel: for the "
    "confirmation",
    0 },
  { 0 },
};

static const char *const _batch_verbs[]
    = { "submit FILE", "status ID", "results ID", "cancel ID", NULL };

static const cli_usage_t _batch_usage = {
  .name = "batch",
  .verbs = _batch_verbs,
  .options = _batch_options,
  .doc = "Submit, watch, read and cancel batch jobs.\v"
         "FILE (-: standard input) holds JSON Lines, one item a line: "
         "{\"custom_id\":..., \"method\":..., \"url\":..., \"body\":{...}}. "
         "Submitting again with the same idempotency key returns the same "
         "job. status exits with 1 while the job has not ended, cancel while "
         "items may still start.",
};

static int
_batch_print (const cli_response_t *response)
{
  fwrite (response->body.p, 1, response->body.n, stdout);
  if (response->body.n > 0 && response->body.p[response->body.n - 1] != '\n')
    putchar ('\n');
  return CMD_OK;
}

static int
_batch_submit (void *ctx, cli_t *cli, const cli_args_t *a)
{
  buf_t text;
  if (!cli_file_read (ctx, a->operand[0], &text))
    return CMD_USAGE;
  const char *key = a->option['k'];
  gchar *digest = g_compute_checksum_for_data (G_CHECKSUM_SHA256,
                                               (const guchar *)text.p, text.n);
  const char *due = a->option['d'];
  const char *path = BATCH_PATH;
  if (due != NULL)
    path = talloc_asprintf (ctx, BATCH_PATH "?due=%s", cli_escape (ctx, due));
  cli_response_t response;
  int status = cli_call (
      cli,
      &(cli_request_t){ .method = "POST",
                        .path = path,
                        .content_type = "application/jsonl",
                        .body = text,
                        .repeatable = true,
                        .idempotency_key = key == NULL ? digest : key },
      &response);
  g_free (digest);
  return status == CMD_OK ? _batch_print (&response) : status;
}

static bool
_batch_state_is (const cli_response_t *response, const char *state)
{
  const char *s
      = json_string_value (json_object_get (response->json, "state"));
  return s != NULL && strcmp (s, state) == 0;
}

static bool
_batch_has_ended (const cli_response_t *response)
{
  return _batch_state_is (response, "complete")
         || _batch_state_is (response, "cancelled");
}

/* Repeats the request until the job has ended or the time of --wait has
 * passed. */
static int
_batch_poll (cli_t *cli, const cli_args_t *a, const cli_request_t *request)
{
  gint64 end = g_get_monotonic_time ()
               + (gint64)(cli_args_seconds (a, 'W', 0) * G_USEC_PER_SEC);
  cli_response_t response;
  for (;;)
    {
      int status = cli_call (cli, request, &response);
      if (status != CMD_OK)
        return status;
      if (_batch_has_ended (&response) || g_get_monotonic_time () >= end)
        break;
      g_usleep (BATCH_POLL_INTERVAL_US);
    }
  (void)_batch_print (&response);
  return _batch_has_ended (&response) ? CMD_OK : CMD_FAILED;
}

static int
_batch_results (cli_t *cli, const char *path)
{
  cli_response_t response;
  int status = cli_call (
      cli, &(cli_request_t){ .method = "GET", .path = path }, &response);
  return status == CMD_OK ? _batch_print (&response) : status;
}

static int
_batch_run (void *ctx, const cli_args_t *a)
{
  cli_t *cli = cli_setup (ctx, a);
  if (cli == NULL)
    return CMD_USAGE;
  if (strcmp (a->verb, "submit") == 0)
    return _batch_submit (ctx, cli, a);
  const char *id = cli_escape (ctx, a->operand[0]);
  if (strcmp (a->verb, "status") == 0)
    return _batch_poll (cli, a,
                        &(cli_request_t){ .method = "GET",
                                          .path = talloc_asprintf (
                                              ctx, BATCH_PATH "/%s", id) });
  if (strcmp (a->verb, "results") == 0)
    return _batch_results (
        cli, talloc_asprintf (ctx, BATCH_PATH "/%s/results", id));
  return _batch_poll (cli, a,
                      &(cli_request_t){ .method = "POST",
                                        .path = talloc_asprintf (
                                            ctx, BATCH_PATH "/%s/cancel", id),
                                        .repeatable = true });
}

int
cmd_batch (int argc, char **argv)
{
  cli_args_t args;
  if (!cli_args_parse (&args, &_batch_usage, argc, argv))
    return CMD_USAGE;
  void *ctx = talloc_new (NULL);
  int status = _batch_run (ctx, &args);
  talloc_free (ctx);
  return status;
}

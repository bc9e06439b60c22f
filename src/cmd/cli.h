/** @file
 * What the subcommands that talk to a fleet share: options, HTTP calls,
 * one-line errors.
 *
 *   cli_args_t args;
 *   if (!cli_args_parse (&args, &usage, argc, argv))
 *     return CMD_USAGE;
 *   cli_t *cli = cli_setup (ctx, &args);               NULL: said why
 *   cli_response_t response;
 *   int status = cli_call (cli, &(cli_request_t){ .method = "GET",
 *                                                 .path = "/v1/operator/keys"
 *                                               }, &response);
 *   if (status != CMD_OK)
 *     return status;                                   said why
 *
 * The VMs are tried in their order.  A request that may have reached one is
 * sent to the next only when it can be repeated.
 */
#ifndef RTS_CLI_H
#define RTS_CLI_H

#include "core/buf.h"

#include <argp.h>
#include <jansson.h>
#include <stdbool.h>

/** What a subcommand takes. */
typedef struct
{
  const char *name;         /**< of the subcommand */
  const char *const *verbs; /**< "issue NAME", ...; NULL at the end; NULL: the
                                 subcommand has none */
  const struct argp_option *options; /**< keys are printable characters */
  const char *doc;
} cli_usage_t;

/** What was given. */
typedef struct
{
  const cli_usage_t *usage;
  const char *verb;       /**< NULL when there are none */
  const char *operand[4]; /**< what stands behind the verb */
  size_t operand_count;
  const char *option[128]; /**< by key; "" for one without an argument */
} cli_args_t;

/** Parse a subcommand's arguments; the options --vm, --token-file and
 * --timeout are always there.  False after a line on stderr. */
bool cli_args_parse (cli_args_t *args, const cli_usage_t *usage, int argc,
                     char **argv);

/** Seconds given by option KEY, or FALLBACK. */
double cli_args_seconds (const cli_args_t *args, int key, double fallback);

/** A request. */
typedef struct
{
  const char *method;
  const char *path;         /**< with the query */
  const char *content_type; /**< of the body; NULL: application/json */
  buf_t body;
  bool repeatable; /**< may be sent twice; a GET always may */
  size_t vm;       /**< 0: any; else only the VM-th, counted from 1 */
  const char *key; /**< to present; NULL: what the token file holds */
  const char *idempotency_key; /**< NULL: none */
} cli_request_t;

/** An response; owned by the client. */
typedef struct
{
  long status;
  buf_t body;
  json_t *json;     /**< the body when it is JSON, else NULL */
  const char *vm;   /**< that answered */
  long retry_after; /**< seconds; 0: not said */
} cli_response_t;

typedef struct cli cli_t;

/** Client owned by CTX; NULL, after a line on stderr, when an option is
 * missing or the token cannot be read. */
cli_t *cli_setup (void *ctx, const cli_args_t *args);

/** Send a request.  CMD_OK with any status below 400; else the exit status,
 * after the error's lines on stderr. */
int cli_call (cli_t *cli, const cli_request_t *request,
              cli_response_t *response);

/** VMs given. */
size_t cli_vm_count (const cli_t *cli);

/** Print one line, "rattanspindle: ...", on stderr. */
void cli_error (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));

/** The whole FILE ("-": standard input), owned by CTX; false after a line on
 * stderr. */
bool cli_file_read (void *ctx, const char *file, buf_t *text);

/** N random bytes as hex, owned by CTX. */
char *cli_random_hex (void *ctx, size_t n);

/** S escaped for a query, owned by CTX. */
char *cli_escape (void *ctx, const char *s);

/** Print a report of confirmations: "8 of 8 VMs; jy-vejle 3 of 3; ..." and
 * the VMs that are missing. */
void cli_report_print (const json_t *report);

/** Whether all VMs of the report have confirmed. */
bool cli_report_is_complete (const json_t *report);

/** Ask PATH for a report until it is whole or SECONDS are over; print the
 * last. */
int cli_report_wait (cli_t *cli, const cli_response_t *first, const char *path,
                     double seconds);

#endif

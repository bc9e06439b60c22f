/** @file
 * cli ("command-line client"): parses the arguments of the subcommands that
 * talk to a fleet, calls the VMs over HTTP and prints errors on stderr.
 * Calls block, so use this module in command-line programs and not in the
 * server.  Functions that fail print the reason before they return; durations
 * are in seconds unless a name says otherwise.
 *
 *   cli_args_t args;
 *   if (!cli_args_parse (&args, &usage, argc, argv))
 *     return CMD_USAGE;
 *   cli_t *cli = cli_setup (ctx, &args);
 *   if (cli == NULL)
 *     return CMD_USAGE;
 *   cli_response_t response;
 *   int status = cli_call (cli, &(cli_request_t){ .method = "GET",
 *                                                 .path = "/v1/operator/keys"
 *                                               }, &response);
 *   if (status != CMD_OK)
 *     return status;
 *
 * The VMs are tried in the order in which they are given.  A request that may
 * have reached a VM is sent to the next one only when it can be repeated.
 */
#ifndef RTS_CLI_H
#define RTS_CLI_H

#include "core/buf.h"

#include <argp.h>
#include <jansson.h>
#include <stdbool.h>

/** Description of a subcommand's arguments. */
typedef struct
{
  const char *name;         /**< name of the subcommand */
  const char *const *verbs; /**< verbs with their operands ("issue NAME"),
                                 ended by NULL; NULL when there are none */
  const struct argp_option *options; /**< own options, ended by { 0 }, whose
                                          keys are printable characters; NULL
                                          when there are none */
  const char *doc;                   /**< help text, in argp's format */
} cli_usage_t;

/** Parsed arguments; strings are borrowed from argv. */
typedef struct
{
  const cli_usage_t *usage;
  const char *verb;       /**< NULL when the subcommand has no verbs */
  const char *operand[4]; /**< arguments that follow the verb */
  size_t operand_count;
  const char *option[128]; /**< option values by key; NULL when not given, ""
                                for an option without an argument */
} cli_args_t;

/** Parses a subcommand's arguments.  The options --vm, --token-file and
 * --timeout are available in every subcommand.  Invalid arguments end the
 * process with argp's message; returns false on any other error of argp. */
bool cli_args_parse (cli_args_t *args, const cli_usage_t *usage, int argc,
                     char **argv);

/** Returns the seconds given by option KEY.  Returns FALLBACK when the option
 * is absent, or invalid; prints an error in the latter case. */
double cli_args_seconds (const cli_args_t *args, int key, double fallback);

/** A request to a VM. */
typedef struct
{
  const char *method;
  const char *path;         /**< path and query */
  const char *content_type; /**< type of the body; NULL: application/json */
  buf_t body;
  bool repeatable; /**< may be sent to more than one VM; a GET always may */
  size_t vm;       /**< 0: any VM; N: only the N-th of --vm, from 1 */
  const char *key; /**< bearer token; NULL: the content of the token file */
  const char *idempotency_key; /**< Idempotency-Key header; NULL: none */
} cli_request_t;

/** A response; owned by the client. */
typedef struct
{
  long status;
  buf_t body;
  json_t *json;     /**< parsed body, valid until the next call; NULL when the
                         body is not JSON */
  const char *vm;   /**< address of the VM that responded */
  long retry_after; /**< seconds of the Retry-After header; 0: none */
} cli_response_t;

typedef struct cli cli_t;

/** Creates a client owned by CTX; returns NULL when --vm is missing or the
 * token cannot be read. */
cli_t *cli_setup (void *ctx, const cli_args_t *args);

/** Sends a request.  Returns CMD_OK for any HTTP status below 400, else the
 * exit status for the process. */
int cli_call (cli_t *cli, const cli_request_t *request,
              cli_response_t *response);

/** Returns the number of VMs given by --vm. */
size_t cli_vm_count (const cli_t *cli);

/** Prints one line, "rattanspindle: ...", on stderr. */
void cli_error (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));

/** Reads FILE ("-": standard input) completely into TEXT, owned by CTX;
 * returns false when the file cannot be read or exceeds 64 MiB. */
bool cli_file_read (void *ctx, const char *file, buf_t *text);

/** Returns N random bytes (at most 64) as hex digits, owned by CTX. */
char *cli_random_hex (void *ctx, size_t n);

/** Returns S percent-encoded for a URL, owned by CTX. */
char *cli_escape (void *ctx, const char *s);

/** Prints a report of confirmations: "confirmed by 8 of 8 VMs; jy-vejle 3 of
 * 3; ..." and a line for each VM that has not confirmed. */
void cli_report_print (const json_t *report);

/** Returns whether all VMs of the report have confirmed. */
bool cli_report_is_complete (const json_t *report);

/** Polls the report at PATH on the VM that sent FIRST until all VMs have
 * confirmed or SECONDS have passed, and prints the last report.  Returns the
 * exit status for the process. */
int cli_report_wait (cli_t *cli, const cli_response_t *first, const char *path,
                     double seconds);

#endif

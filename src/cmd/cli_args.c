/* Arguments of the subcommands that talk to a fleet. */
#include "cmd/cli.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

#define CLI_SECONDS_MAX 3600.0

static const struct argp_option _cli_options[] = {
  { "vm", 'v', "IP:PORT,...", 0, "VMs to try, in this order", 1 },
  { "token-file", 't', "FILE", 0,
    "file with the operators' token; for batch, with the customer's key", 1 },
  { "timeout", 'T', "SECONDS", 0, "time limit of one request (15)", 1 },
  { 0 },
};

/* Returns the number of operands in FORM, a verb with its operands ("issue
 * NAME"). */
static size_t
_cli_operand_count (const char *form)
{
  size_t n = 0;
  for (const char *p = form; *p != '\0'; p++)
    n += *p == ' ';
  return n;
}

static bool
_cli_is_verb (const char *form, const char *arg)
{
  size_t n = strcspn (form, " ");
  return strlen (arg) == n && strncmp (form, arg, n) == 0;
}

/* Returns the verb of ARGS with its operands, as in the usage; NULL when the
 * verb is missing or unknown. */
static const char *
_cli_verb_form (const cli_args_t *args)
{
  const char *const *verbs = args->usage->verbs;
  for (size_t i = 0; args->verb != NULL && verbs[i] != NULL; i++)
    {
      if (_cli_is_verb (verbs[i], args->verb))
        return verbs[i];
    }
  return NULL;
}

static error_t
_cli_argument (cli_args_t *args, char *arg, struct argp_state *state)
{
  if (args->usage->verbs != NULL && args->verb == NULL)
    {
      args->verb = arg;
      if (_cli_verb_form (args) == NULL)
        argp_error (state, "%s: unknown verb", arg);
      return 0;
    }
  if (args->operand_count == sizeof args->operand / sizeof args->operand[0])
    argp_error (state, "too many arguments");
  else
    args->operand[args->operand_count++] = arg;
  return 0;
}

static error_t
_cli_end (const cli_args_t *args, struct argp_state *state)
{
  if (args->usage->verbs == NULL)
    {
      if (args->operand_count > 0)
        argp_error (state, "%s: unexpected argument", args->operand[0]);
      return 0;
    }
  const char *form = _cli_verb_form (args);
  if (form == NULL)
    argp_error (state, "missing verb");
  else if (_cli_operand_count (form) != args->operand_count)
    argp_error (state, "expected: %s", form);
  return 0;
}

static error_t
_cli_option (int key, char *arg, struct argp_state *state)
{
  cli_args_t *args = state->input;
  if (key == ARGP_KEY_ARG)
    return _cli_argument (args, arg, state);
  if (key == ARGP_KEY_END)
    return _cli_end (args, state);
  if (key <= ' ' || key >= 127)
    return ARGP_ERR_UNKNOWN;
  args->option[key] = arg == NULL ? "" : arg;
  return 0;
}

/* Returns a parser description, owned by CTX, with the subcommand's options,
 * the common options and one line for each verb. */
static struct argp
_cli_argp (void *ctx, const cli_usage_t *usage)
{
  size_t n = 0;
  while (usage->options != NULL && usage->options[n].name != NULL)
    n++;
  size_t common_count = sizeof _cli_options / sizeof _cli_options[0];
  struct argp_option *options
      = talloc_zero_array (ctx, struct argp_option, n + common_count);
  for (size_t i = 0; i < n; i++)
    options[i] = usage->options[i];
  memcpy (options + n, _cli_options, sizeof _cli_options);
  char *forms = NULL;
  for (size_t i = 0; usage->verbs != NULL && usage->verbs[i] != NULL; i++)
    forms = forms == NULL
                ? talloc_strdup (ctx, usage->verbs[i])
                : talloc_asprintf_append (forms, "\n%s", usage->verbs[i]);
  return (struct argp){ .options = options,
                        .parser = _cli_option,
                        .args_doc = forms,
                        .doc = usage->doc };
}

bool
cli_args_parse (cli_args_t *args, const cli_usage_t *usage, int argc,
                char **argv)
{
  void *tmp = talloc_new (NULL);
  *args = (cli_args_t){ .usage = usage };
  struct argp argp = _cli_argp (tmp, usage);
  char *name = talloc_asprintf (tmp, "rattanspindle %s", usage->name);
  char **copy = talloc_zero_array (tmp, char *, (size_t)argc + 1);
  memcpy (copy, argv, (size_t)argc * sizeof *argv);
  copy[0] = name;
  error_t code = argp_parse (&argp, argc, copy, 0, NULL, args);
  talloc_free (tmp);
  return code == 0;
}

double
cli_args_seconds (const cli_args_t *args, int key, double fallback)
{
  const char *s = args->option[key];
  char *end = NULL;
  double v = s == NULL ? fallback : g_ascii_strtod (s, &end);
  if (s == NULL || (end != s && *end == '\0' && v >= 0 && v < CLI_SECONDS_MAX))
    return v;
  cli_error ("'%s': expected a number of seconds below 3600; using %g", s,
             fallback);
  return fallback;
}

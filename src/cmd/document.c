/** @file
 * rattanspindle document: checks and compares whole documents of operators of
 * the users' platform, before they are sent.
 */
#include "cmd/cli.h"
#include "cmd/cmd.h"
#include "platform/pfm_check.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/** Exit status when a document cannot be read; CMD_FAILED: findings. */
#define DOCUMENT_UNREADABLE 2

static const struct argp_option _document_options[] = {
  { "json", 'j', NULL, 0, "print a line of JSON for each finding", 0 },
  { 0 },
};

static const char *const _document_verbs[]
    = { "check FILE", "diff OLD NEW", NULL };

static const cli_usage_t _document_usage = {
  .name = "document",
  .verbs = _document_verbs,
  .options = _document_options,
  .doc = "Check a document of the platform's operators, or compare two.\v"
         "FILE, OLD and NEW hold the document as JSON, or the platform's "
         "object with the document in it; one may be - for standard input.  "
         "No fleet is needed.  Exit status: 0 without findings or "
         "differences, 1 with some, 2 if a file cannot be read.  API keys "
         "are not printed.",
};

/* Reads the document in FILE; NULL, with the reason on stderr, if it cannot be
 * read. */
static json_t *
_document_read (void *ctx, const char *file)
{
  buf_t text;
  json_error_t error;
  if (!cli_file_read (ctx, file, &text))
    return NULL;
  json_t *root
      = pfm_check_parse (text.p == NULL ? "" : text.p, text.n, &error);
  if (root == NULL)
    {
      cli_error ("%s:%d:%d: %s", file, error.line, error.column, error.text);
      return NULL;
    }
  json_t *spec = json_object_get (root, "spec");
  json_t *document = json_incref (spec != NULL ? spec : root);
  json_decref (root);
  if (json_is_object (document))
    return document;
  cli_error ("%s: expected an object", file);
  json_decref (document);
  return NULL;
}

static void
_document_print (const char *file, const pfm_check_t *check, bool as_json)
{
  for (size_t i = 0; i < check->count; i++)
    {
      const pfm_check_finding_t *f = &check->v[i];
      const char *kind = pfm_check_kind_name (f->kind);
      if (!as_json)
        {
          printf ("%s: %s: %s: %s\n", file, f->place, kind, f->text);
          continue;
        }
      json_t *line = json_pack ("{s:s, s:s, s:s, s:s}", "file", file, "place",
                                f->place, "kind", kind, "text", f->text);
      char *text = json_dumps (line, JSON_COMPACT);
      puts (text == NULL ? "" : text);
      free (text);
      json_decref (line);
    }
  if (check->more > 0)
    fprintf (stderr, "and %zu more\n", check->more);
}

static int
_document_check (void *ctx, const cli_args_t *a)
{
  pfm_check_t check = { 0 };
  json_t *document = _document_read (ctx, a->operand[0]);
  if (document == NULL)
    return DOCUMENT_UNREADABLE;
  pfm_check_document (ctx, document, &check);
  _document_print (a->operand[0], &check, a->option['j'] != NULL);
  json_decref (document);
  return check.count > 0 ? CMD_FAILED : CMD_OK;
}

static int
_document_diff (void *ctx, const cli_args_t *a)
{
  pfm_check_t check = { 0 };
  json_t *old = _document_read (ctx, a->operand[0]);
  json_t *new = old == NULL ? NULL : _document_read (ctx, a->operand[1]);
  if (new != NULL)
    {
      pfm_check_differences (ctx, old, new, &check);
      _document_print (a->operand[1], &check, a->option['j'] != NULL);
    }
  bool readable = new != NULL;
  json_decref (old);
  json_decref (new);
  if (!readable)
    return DOCUMENT_UNREADABLE;
  return check.count > 0 ? CMD_FAILED : CMD_OK;
}

int
cmd_document (int argc, char **argv)
{
  cli_args_t args;
  if (!cli_args_parse (&args, &_document_usage, argc, argv))
    return CMD_USAGE;
  void *ctx = talloc_new (NULL);
  int status = strcmp (args.verb, "check") == 0 ? _document_check (ctx, &args)
                                                : _document_diff (ctx, &args);
  talloc_free (ctx);
  return status;
}

/** @file
 * rattanspindle timeline: merges the event records of several VMs.
 *
 * Records carry a hybrid logical timestamp (milliseconds, then a counter), so
 * that the sending of a message sorts before its effects on other VMs.
 */
#include "cmd/cli.h"
#include "cmd/cmd.h"
#include "core/mod.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

static const struct argp_option _timeline_options[] = {
  { "format", 'f', "FORMAT", 0,
    "text (default), json, or chrome: the trace-event format", 0 },
  { 0 },
};

static const cli_usage_t _timeline_usage = {
  .name = "timeline",
  .options = _timeline_options,
  .doc = "Collect the event records of the VMs given by --vm and merge them "
         "in causal order.\v"
         "A VM that does not respond is named on stderr and left out; the "
         "exit status is then 69.",
};

/* One record; its strings are borrowed from the JSON that holds it. */
typedef struct
{
  const char *vm;
  const char *module;
  const char *event;
  const char *detail;
  json_int_t ms;    /**< timestamp: milliseconds */
  json_int_t count; /**< timestamp: counter within the millisecond */
  size_t vm_index;  /**< position of the VM in --vm */
  size_t seq;       /**< position among the records of its VM */
} _timeline_record_t;

typedef struct
{
  json_t **source; /**< array of records from each VM that responded */
  size_t source_count;
  _timeline_record_t *v; /**< records of all VMs */
  size_t count;
} _timeline_t;

static int
_timeline_compare (const void *a, const void *b)
{
  const _timeline_record_t *x = a;
  const _timeline_record_t *y = b;
  if (x->ms != y->ms)
    return x->ms < y->ms ? -1 : 1;
  if (x->count != y->count)
    return x->count < y->count ? -1 : 1;
  if (x->vm_index != y->vm_index)
    return x->vm_index < y->vm_index ? -1 : 1;
  return x->seq < y->seq ? -1 : x->seq > y->seq;
}

static int
_timeline_destroy (_timeline_t *t)
{
  for (size_t i = 0; i < t->source_count; i++)
    json_decref (t->source[i]);
  return 0;
}

static void
_timeline_add (_timeline_t *t, const json_t *source, size_t vm_index)
{
  size_t n = json_array_size (source);
  t->v = talloc_realloc (t, t->v, _timeline_record_t, t->count + n + 1);
  for (size_t i = 0; i < n; i++)
    {
      _timeline_record_t r = { .vm_index = vm_index, .seq = i };
      if (json_unpack (json_array_get (source, i),
                       "{s:s, s:I, s:I, s:s, s:s, s:s}", "vm", &r.vm, "ms",
                       &r.ms, "count", &r.count, "module", &r.module, "what",
                       &r.event, "detail", &r.detail)
          == 0)
        t->v[t->count++] = r;
    }
}

static int
_timeline_collect (_timeline_t *t, cli_t *cli)
{
  int status = CMD_OK;
  size_t n = cli_vm_count (cli);
  t->source = talloc_zero_array (t, json_t *, n);
  for (size_t i = 0; i < n; i++)
    {
      cli_response_t response;
      int vm_status = cli_call (
          cli,
          &(cli_request_t){
              .method = "GET", .path = "/v1/operator/timeline", .vm = i + 1 },
          &response);
      if (vm_status != CMD_OK)
        {
          status = vm_status;
          continue;
        }
      t->source[t->source_count++] = json_incref (response.json);
      _timeline_add (t, response.json, i);
    }
  if (t->count > 1)
    qsort (t->v, t->count, sizeof t->v[0], _timeline_compare);
  return status;
}

static void
_timeline_print_text (const _timeline_t *t)
{
  for (size_t i = 0; i < t->count; i++)
    {
      const _timeline_record_t *r = &t->v[i];
      printf ("%13lld.%03lld %-20s %-12s %-16s %s\n", (long long)r->ms,
              (long long)r->count, r->vm, r->module, r->event, r->detail);
    }
}

static void
_timeline_json_print (json_t *root)
{
  char *text = json_dumps (root, JSON_COMPACT);
  printf ("%s\n", text == NULL ? "null" : text);
  free (text);
  json_decref (root);
}

static void
_timeline_print_json (const _timeline_t *t)
{
  json_t *root = json_array ();
  for (size_t i = 0; i < t->count; i++)
    {
      const _timeline_record_t *r = &t->v[i];
      json_array_append_new (
          root, json_pack ("{s:s, s:I, s:I, s:s, s:s, s:s}", "vm", r->vm, "ms",
                           r->ms, "count", r->count, "module", r->module,
                           "what", r->event, "detail", r->detail));
    }
  _timeline_json_print (root);
}

/* Returns the number of MODULE, which the trace shows as a thread; MOD_NUM
 * when the module is unknown. */
static int
_timeline_thread (const char *module)
{
  int i = 0;
  while (i < MOD_NUM && strcmp (mod_name ((mod_t)i), module) != 0)
    i++;
  return i;
}

/* Prints trace events, with a process for each VM and a thread for each
 * module.  Times are in microseconds; the timestamp's counter gives the part
 * below one millisecond. */
static void
_timeline_print_chrome (const _timeline_t *t)
{
  json_t *events = json_array ();
  for (size_t i = 0; i < t->count; i++)
    {
      const _timeline_record_t *r = &t->v[i];
      json_int_t fraction_us = r->count < 999 ? r->count : 999;
      if (r->seq == 0)
        json_array_append_new (
            events, json_pack ("{s:s, s:s, s:i, s:{s:s}}", "name",
                               "process_name", "ph", "M", "pid",
                               (int)r->vm_index + 1, "args", "name", r->vm));
      json_array_append_new (
          events,
          json_pack ("{s:s, s:s, s:s, s:s, s:I, s:i, s:i, s:{s:s}}", "name",
                     r->event, "cat", r->module, "ph", "i", "s", "t", "ts",
                     r->ms * 1000 + fraction_us, "pid", (int)r->vm_index + 1,
                     "tid", _timeline_thread (r->module), "args", "detail",
                     r->detail));
    }
  _timeline_json_print (json_pack ("{s:o}", "traceEvents", events));
}

static int
_timeline_run (void *ctx, const cli_args_t *a)
{
  const char *format = a->option['f'] == NULL ? "text" : a->option['f'];
  void (*print) (const _timeline_t *) = NULL;
  if (strcmp (format, "text") == 0)
    print = _timeline_print_text;
  else if (strcmp (format, "json") == 0)
    print = _timeline_print_json;
  else if (strcmp (format, "chrome") == 0)
    print = _timeline_print_chrome;
  else
    {
      cli_error ("--format: expected text, json or chrome");
      return CMD_USAGE;
    }
  cli_t *cli = cli_setup (ctx, a);
  if (cli == NULL)
    return CMD_USAGE;
  _timeline_t *t = talloc_zero (ctx, _timeline_t);
  talloc_set_destructor (t, _timeline_destroy);
  int status = _timeline_collect (t, cli);
  print (t);
  return status;
}

int
cmd_timeline (int argc, char **argv)
{
  cli_args_t args;
  if (!cli_args_parse (&args, &_timeline_usage, argc, argv))
    return CMD_USAGE;
  void *ctx = talloc_new (NULL);
  int status = _timeline_run (ctx, &args);
  talloc_free (ctx);
  return status;
}

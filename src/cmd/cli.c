#include "cmd/cli.h"

#include "cmd/cmd.h"

#include <curl/curl.h>
#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <sys/random.h>
#include <talloc.h>

#define CLI_TIMEOUT_S_DEFAULT 15 /* of one request */
#define CLI_CONNECT_TIMEOUT_S 3L
#define CLI_RESPONSE_MAX ((size_t)64 << 20)
#define CLI_FILE_MAX ((size_t)64 << 20)
#define CLI_POLL_INTERVAL_US 100000

struct cli
{
  char **vms;
  const char *token;
  long timeout_s;
  CURL *curl;
  GByteArray *body;
  json_t *json;
};

/* -- small helpers -------------------------------------------------------- */

void
cli_error (const char *format, ...)
{
  va_list args;
  va_start (args, format);
  fputs ("rattanspindle: ", stderr);
  (void)vfprintf (stderr, format, args);
  fputc ('\n', stderr);
  va_end (args);
}

bool
cli_file_read (void *ctx, const char *file, buf_t *text)
{
  FILE *in = strcmp (file, "-") == 0 ? stdin : fopen (file, "rb");
  if (in == NULL)
    {
      cli_error ("cannot open file %s", file);
      return false;
    }
  GByteArray *all = g_byte_array_new ();
  guint8 chunk[4096];
  size_t n;
  while ((n = fread (chunk, 1, sizeof chunk, in)) > 0
         && all->len <= CLI_FILE_MAX)
    g_byte_array_append (all, chunk, (guint)n);
  bool failed = ferror (in) != 0 || all->len > CLI_FILE_MAX;
  if (in != stdin)
    (void)fclose (in);
  *text = buf_copy (ctx, (buf_t){ (const char *)all->data, all->len });
  g_byte_array_free (all, TRUE);
  if (failed)
    cli_error ("cannot read file %s, or the file is larger than 64 MiB", file);
  return !failed;
}

char *
cli_random_hex (void *ctx, size_t n)
{
  unsigned char bytes[64];
  n = n < sizeof bytes ? n : sizeof bytes;
  if (getrandom (bytes, n, 0) != (ssize_t)n)
    g_error ("cannot get random numbers from the kernel");
  char *out = talloc_zero_array (ctx, char, 2 * n + 1);
  for (size_t i = 0; i < n; i++)
    g_snprintf (out + 2 * i, 3, "%02x", bytes[i]);
  return out;
}

char *
cli_escape (void *ctx, const char *s)
{
  char *escaped = g_uri_escape_string (s, NULL, FALSE);
  char *out = talloc_strdup (ctx, escaped);
  g_free (escaped);
  return out;
}

/* -- client --------------------------------------------------------------- */

static int
_cli_destroy (cli_t *cli)
{
  g_strfreev (cli->vms);
  curl_easy_cleanup (cli->curl);
  g_byte_array_free (cli->body, TRUE);
  json_decref (cli->json);
  return 0;
}

static const char *
_cli_option_or_env (const char *given, const char *variable)
{
  const char *s = given != NULL ? given : g_getenv (variable);
  return s != NULL && s[0] != '\0' ? s : NULL;
}

static bool
_cli_token_read (cli_t *cli, const char *file)
{
  buf_t text;
  if (!cli_file_read (cli, file, &text))
    return false;
  char *token = g_strstrip (buf_to_str (cli, text));
  cli->token = token;
  if (token[0] == '\0' || strpbrk (token, "\r\n") != NULL)
    {
      cli_error ("%s: expected one line with a token", file);
      return false;
    }
  return true;
}

static bool
_cli_configure (cli_t *cli, const cli_args_t *args)
{
  const char *vms = _cli_option_or_env (args->option['v'], "RATTANSPINDLE_VM");
  const char *file
      = _cli_option_or_env (args->option['t'], "RATTANSPINDLE_TOKEN_FILE");
  if (vms == NULL)
    {
      cli_error ("--vm: expected IP:PORT of a VM (or RATTANSPINDLE_VM)");
      return false;
    }
  cli->vms = g_strsplit (vms, ",", -1);
  cli->timeout_s = (long)cli_args_seconds (args, 'T', CLI_TIMEOUT_S_DEFAULT);
  return file == NULL || _cli_token_read (cli, file);
}

cli_t *
cli_setup (void *ctx, const cli_args_t *args)
{
  cli_t *cli = talloc_zero (ctx, cli_t);
  cli->curl = curl_easy_init ();
  cli->body = g_byte_array_new ();
  talloc_set_destructor (cli, _cli_destroy);
  if (_cli_configure (cli, args))
    return cli;
  talloc_free (cli);
  return NULL;
}

size_t
cli_vm_count (const cli_t *cli)
{
  return g_strv_length (cli->vms);
}

static size_t
_cli_body_received (char *bytes, size_t size, size_t n, void *data)
{
  cli_t *cli = data;
  if (cli->body->len + size * n > CLI_RESPONSE_MAX)
    return 0;
  g_byte_array_append (cli->body, (const guint8 *)bytes, (guint)(size * n));
  return size * n;
}

static struct curl_slist *
_cli_headers (cli_t *cli, const cli_request_t *request)
{
  struct curl_slist *list = NULL;
  char *line = talloc_asprintf (cli, "Content-Type: %s",
                                request->content_type ? request->content_type
                                                      : "application/json");
  list = curl_slist_append (list, line);
  list = curl_slist_append (list, "Expect:");
  const char *key = request->key != NULL ? request->key : cli->token;
  if (key != NULL)
    {
      line = talloc_asprintf (cli, "Authorization: Bearer %s", key);
      list = curl_slist_append (list, line);
    }
  if (request->idempotency_key != NULL)
    {
      line = talloc_asprintf (cli, "Idempotency-Key: %s",
                              request->idempotency_key);
      list = curl_slist_append (list, line);
    }
  return list;
}

static CURLcode
_cli_send (cli_t *cli, const cli_request_t *request, const char *vm,
           cli_response_t *response)
{
  CURL *curl = cli->curl;
  g_byte_array_set_size (cli->body, 0);
  curl_easy_reset (curl);
  struct curl_slist *headers = _cli_headers (cli, request);
  char *url = talloc_asprintf (cli, "http://%s%s", vm, request->path);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_PROXY, "");
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_CONNECTTIMEOUT, CLI_CONNECT_TIMEOUT_S);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT, cli->timeout_s);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, _cli_body_received);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, cli);
  if (strcmp (request->method, "GET") != 0)
    {
      curl_easy_setopt (curl, CURLOPT_POST, 1L);
      curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, request->method);
      curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)request->body.n);
      curl_easy_setopt (curl, CURLOPT_POSTFIELDS,
                        request->body.n > 0 ? request->body.p : "");
    }
  CURLcode code = curl_easy_perform (curl);
  curl_slist_free_all (headers);
  talloc_free (url);
  curl_off_t retry_after = 0;
  *response = (cli_response_t){ .vm = vm };
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &response->status);
  curl_easy_getinfo (curl, CURLINFO_RETRY_AFTER, &retry_after);
  response->retry_after = (long)retry_after;
  response->body = buf_copy (
      cli, (buf_t){ (const char *)cli->body->data, cli->body->len });
  return code;
}

/* Returns whether no byte of the request can have reached the VM. */
static bool
_cli_not_sent (CURLcode code)
{
  return code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST
         || code == CURLE_URL_MALFORMAT;
}

/* Prints the code, run field and message of an error response.  A message of
 * several lines begins on a line of its own. */
static void
_cli_error_response_print (const cli_response_t *response)
{
  const json_t *e = json_object_get (response->json, "error");
  const char *code = json_string_value (json_object_get (e, "code"));
  const char *message = json_string_value (json_object_get (e, "message"));
  const char *run = json_string_value (json_object_get (e, "run"));
  if (code == NULL)
    {
      cli_error ("%s responded with status %ld", response->vm,
                 response->status);
      return;
    }
  char *retry_hint
      = response->retry_after > 0
            ? g_strdup_printf (", try again in %ld s", response->retry_after)
            : g_strdup ("");
  bool multi_line = message != NULL && strchr (message, '\n') != NULL;
  cli_error ("%s (%s%s)%s%s", code, run == NULL ? "unknown" : run, retry_hint,
             multi_line ? "" : ": ",
             multi_line || message == NULL ? "" : message);
  if (multi_line)
    fputs (message, stderr);
  g_free (retry_hint);
}

static int
_cli_response_received (cli_t *cli, cli_response_t *response)
{
  json_decref (cli->json);
  cli->json = json_loadb (response->body.p, response->body.n, 0, NULL);
  response->json = cli->json;
  if (response->status < 400)
    return CMD_OK;
  _cli_error_response_print (response);
  return CMD_FAILED;
}

int
cli_call (cli_t *cli, const cli_request_t *request, cli_response_t *response)
{
  bool repeatable
      = request->repeatable || strcmp (request->method, "GET") == 0;
  CURLcode code = CURLE_COULDNT_CONNECT;
  const char *last = "";
  *response = (cli_response_t){ 0 };
  for (size_t i = 0; cli->vms[i] != NULL; i++)
    {
      if (request->vm != 0 && request->vm != i + 1)
        continue;
      last = cli->vms[i];
      code = _cli_send (cli, request, last, response);
      if (code == CURLE_OK)
        return _cli_response_received (cli, response);
      if (!_cli_not_sent (code) && !repeatable)
        {
          cli_error ("%s: %s; the request may have run (unknown)", cli->vms[i],
                     curl_easy_strerror (code));
          return CMD_UNREACHABLE;
        }
    }
  cli_error ("no VM responded; last error: %s: %s (%s)", last,
             curl_easy_strerror (code),
             _cli_not_sent (code) ? "not-run" : "unknown");
  return CMD_UNREACHABLE;
}

/* -- confirmations -------------------------------------------------------- */

static json_int_t
_cli_integer (const json_t *object, const char *key)
{
  return json_integer_value (json_object_get (object, key));
}

bool
cli_report_is_complete (const json_t *report)
{
  return _cli_integer (report, "confirmed") == _cli_integer (report, "vms");
}

void
cli_report_print (const json_t *report)
{
  printf ("confirmed by %lld of %lld VMs",
          (long long)_cli_integer (report, "confirmed"),
          (long long)_cli_integer (report, "vms"));
  json_t *centres = json_object_get (report, "data_centres");
  const char *name;
  json_t *centre;
  json_object_foreach (centres, name, centre)
  {
    printf ("; %s %lld of %lld", name,
            (long long)_cli_integer (centre, "confirmed"),
            (long long)_cli_integer (centre, "vms"));
  }
  putchar ('\n');
  json_object_foreach (centres, name, centre)
  {
    const json_t *missing = json_object_get (centre, "missing");
    for (size_t i = 0; i < json_array_size (missing); i++)
      printf ("not confirmed: %s\n",
              json_string_value (json_array_get (missing, i)));
  }
}

int
cli_report_wait (cli_t *cli, const cli_response_t *first, const char *path,
                 double seconds)
{
  gint64 end = g_get_monotonic_time () + (gint64)(seconds * G_USEC_PER_SEC);
  /* Only the VM that handled the request receives all confirmations. */
  cli_request_t request = { .method = "GET", .path = path };
  for (size_t i = 0; cli->vms[i] != NULL; i++)
    {
      if (strcmp (cli->vms[i], first->vm) == 0)
        request.vm = i + 1;
    }
  cli_response_t response;
  for (;;)
    {
      int status = cli_call (cli, &request, &response);
      if (status != CMD_OK)
        return status;
      if (cli_report_is_complete (response.json)
          || g_get_monotonic_time () >= end)
        break;
      g_usleep (CLI_POLL_INTERVAL_US);
    }
  cli_report_print (response.json);
  return CMD_OK;
}

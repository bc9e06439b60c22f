/** @file
 * Fuzz target: heads.  The input's lines are, in turn, a method, a path, an
 * address, and names and values of headers.  A head that passes the check is
 * one request: it holds as many lines as it was made of.
 */
#include "core/hck.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/* Ends a line of the input; line feeds may stand in the strings. */
#define SEPARATOR "\x1e"

int LLVMFuzzerTestOneInput (const unsigned char *data, size_t size);

/* Number of bytes of HEAD that end a line in anyone's reading. */
static size_t
line_end_count (const char *head)
{
  size_t n = 0;
  for (; *head != '\0'; head++)
    n += *head == '\r' || *head == '\n' || *head == '\v' || *head == '\f';
  return n;
}

int
LLVMFuzzerTestOneInput (const unsigned char *data, size_t size)
{
  gchar *text = g_strndup ((const char *)data, size);
  gchar **words = g_strsplit (text, SEPARATOR, -1);
  guint n = g_strv_length (words);
  size_t count = n > 3 ? (n - 3) / 2 : 0;
  http_header_t *v = g_new0 (http_header_t, count + 1);
  for (size_t i = 0; i < count; i++)
    v[i] = (http_header_t){ words[3 + 2 * i], words[4 + 2 * i] };
  hck_request_t req = { .method = n > 0 ? words[0] : "",
                        .target = n > 1 ? words[1] : "",
                        .address = n > 2 ? words[2] : "",
                        .headers = { .v = v, .n = count },
                        .sends = true };
  hck_fault_t fault = hck_request (&req);
  if (fault.part != NULL)
    {
      char *why = hck_describe (NULL, &fault);
      if (!g_str_is_ascii (why) || line_end_count (why) > 0)
        abort ();
      talloc_free (why);
    }
  else
    {
      GString *head = g_string_new (NULL);
      g_string_append_printf (head, "%s %s HTTP/1.1", req.method, req.target);
      if (strspn (req.method, " ") > 0 || strchr (req.target, ' ') != NULL
          || strchr (req.address, '@') != NULL
          || strchr (req.address, '/') != NULL)
        abort ();
      for (size_t i = 0; i < count; i++)
        {
          if (strpbrk (v[i].name, " :\t") != NULL || v[i].name[0] == '\0')
            abort ();
          g_string_append_printf (head, "%s: %s", v[i].name, v[i].value);
        }
      if (line_end_count (head->str) > 0)
        abort ();
      (void)g_string_free (head, TRUE);
    }
  g_free (v);
  g_strfreev (words);
  g_free (text);
  return 0;
}

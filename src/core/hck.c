#include "core/hck.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <talloc.h>

#define HCK_PORT_MAX 65535
/** Longest part of a header's name in a description, in bytes. */
#define HCK_NAME_SHOWN 40

/** Headers that frame a request's body. */
static const char *const framing[] = { "Content-Length", "Transfer-Encoding" };

static bool
_hck_is_control (char c)
{
  return (unsigned char)c < ' ' || c == 0x7f;
}

bool
hck_token_is_valid (const char *s)
{
  for (const char *p = s; *p != '\0'; p++)
    if (!g_ascii_isalnum (*p) && strchr ("!#$%&'*+-.^_`|~", *p) == NULL)
      return false;
  return s[0] != '\0';
}

bool
hck_value_is_valid (const char *s)
{
  for (; *s != '\0'; s++)
    if (_hck_is_control (*s) && *s != '\t')
      return false;
  return true;
}

bool
hck_id_is_valid (const char *s)
{
  size_t n = strlen (s);
  return n > 0 && hck_value_is_valid (s) && strchr (" \t", s[0]) == NULL
         && strchr (" \t", s[n - 1]) == NULL;
}

bool
hck_target_is_valid (const char *s)
{
  if (s[0] != '/')
    return false;
  for (; *s != '\0'; s++)
    if (_hck_is_control (*s) || *s == ' ' || *s == '#')
      return false;
  return true;
}

/* Whether the N bytes at S are a name, an IPv4 address, or an IPv6 address in
 * brackets. */
static bool
_hck_host_is_valid (const char *s, size_t n)
{
  bool brackets = n > 2 && s[0] == '[' && s[n - 1] == ']';
  size_t from = brackets ? 1 : 0;
  size_t to = brackets ? n - 1 : n;
  for (size_t i = from; i < to; i++)
    if (!g_ascii_isalnum (s[i])
        && strchr (brackets ? ":." : ".-_", s[i]) == NULL)
      return false;
  return to > from;
}

bool
hck_address_is_valid (const char *s)
{
  const char *colon = strrchr (s, ':');
  if (colon == NULL || !_hck_host_is_valid (s, (size_t)(colon - s)))
    return false;
  size_t digits = strspn (colon + 1, "0123456789");
  if (digits == 0 || digits > 5 || colon[1 + digits] != '\0')
    return false;
  unsigned long port = strtoul (colon + 1, NULL, 10);
  return port > 0 && port <= HCK_PORT_MAX;
}

static bool
_hck_is_framing (const char *name)
{
  for (size_t i = 0; i < sizeof framing / sizeof framing[0]; i++)
    if (strcasecmp (name, framing[i]) == 0)
      return true;
  return false;
}

static hck_fault_t
_hck_header (const http_header_t *h, bool sends)
{
  if (!hck_token_is_valid (h->name))
    return (hck_fault_t){ .part = "name",
                          .why = "is empty or has a character that no name "
                                 "of a header may have",
                          .header = h->name };
  if (!hck_value_is_valid (h->value))
    return (hck_fault_t){ .part = "value",
                          .why = "has a control character",
                          .header = h->name };
  if (sends && _hck_is_framing (h->name))
    return (hck_fault_t){ .part = "name",
                          .why = "is that of a header which frames the body",
                          .header = h->name };
  return (hck_fault_t){ .part = NULL };
}

hck_fault_t
hck_request (const hck_request_t *req)
{
  hck_fault_t fault = { .part = NULL };
  if (req->method != NULL && !hck_token_is_valid (req->method))
    return (hck_fault_t){ .part = "method", .why = "is no token" };
  if (req->address != NULL && !hck_address_is_valid (req->address))
    return (hck_fault_t){ .part = "address", .why = "is not HOST:PORT" };
  if (req->target != NULL && !hck_target_is_valid (req->target))
    return (hck_fault_t){ .part = "path",
                          .why = "does not begin with a slash, or has a "
                                 "control character, a space or \"#\"" };
  for (size_t i = 0; i < req->headers.n && fault.part == NULL; i++)
    fault = _hck_header (&req->headers.v[i], req->sends);
  return fault;
}

char *
hck_describe (void *ctx, const hck_fault_t *fault)
{
  if (fault->header == NULL)
    return talloc_asprintf (ctx, "the %s %s", fault->part, fault->why);
  char *shown = g_strndup (fault->header, HCK_NAME_SHOWN);
  char *escaped = g_strescape (shown, NULL);
  char *text = talloc_asprintf (ctx, "header \"%s\": its %s %s", escaped,
                                fault->part, fault->why);
  g_free (escaped);
  g_free (shown);
  return text;
}

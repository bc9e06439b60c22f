/** @file
 * Configuration document (cfg): parses and validates single values.
 */
#include "core/cfg_fields.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>
#include <talloc.h>

/** Longest name of a section or team, and longest address, in bytes. */
#define CFG_NAME_MAX 64

bool
cfg_name_valid (const char *s)
{
  size_t n = strlen (s);
  if (n == 0 || n > CFG_NAME_MAX)
    return false;
  for (size_t i = 0; i < n; i++)
    {
      if (!g_ascii_isalnum (s[i]) && strchr ("._-", s[i]) == NULL)
        return false;
    }
  return true;
}

/* Parse a plain decimal number; *UNIT points to the text after the number and
   blanks. */
static bool
_cfg_number_parse (const char *s, double *v, const char **unit)
{
  size_t n = strspn (s, "0123456789.");
  if (n == 0 || n > 20 || !g_ascii_isdigit (s[0]))
    return false;
  char *end;
  *v = g_ascii_strtod (s, &end);
  if (end != s + n)
    return false;
  *unit = end + strspn (end, " \t");
  return true;
}

/* Parse a number with a unit that F allows and convert it to requests a second
   or milliseconds; false when it is outside the bounds of F. */
static bool
_cfg_quantity_parse (const cfg_field_t *f, const char *s, double *v)
{
  static const struct
  {
    cfg_type_t type;
    const char *unit;
    double factor;
  } units[] = {
    { CFG_TYPE_RATE, "/s", 1 },
    { CFG_TYPE_RATE, "/min", 1.0 / 60 },
    { CFG_TYPE_NUMBER, "", 1 },
    { CFG_TYPE_COUNT, "", 1 },
    { CFG_TYPE_DURATION, "ms", 1 },
    { CFG_TYPE_DURATION, "s", (double)CLK_SECOND },
    { CFG_TYPE_DURATION, "min", (double)CLK_MINUTE },
  };
  const char *unit;
  if (!_cfg_number_parse (s, v, &unit))
    return false;
  for (size_t i = 0; i < sizeof units / sizeof units[0]; i++)
    {
      if (units[i].type != f->type || strcmp (units[i].unit, unit) != 0)
        continue;
      *v *= units[i].factor;
      return *v >= f->min && *v <= f->max;
    }
  return false;
}

static bool
_cfg_address_valid (const char *s)
{
  const char *colon = strrchr (s, ':');
  if (colon == NULL || colon == s || strlen (s) > CFG_NAME_MAX)
    return false;
  size_t digits = strspn (colon + 1, "0123456789");
  guint64 port = g_ascii_strtoull (colon + 1, NULL, 10);
  if (digits == 0 || colon[1 + digits] != '\0' || port == 0 || port > 65535)
    return false;
  char host[CFG_NAME_MAX + 1];
  size_t n = (size_t)(colon - s);
  bool ipv6 = s[0] == '[' && s[n - 1] == ']';
  g_strlcpy (host, ipv6 ? s + 1 : s, ipv6 ? n - 1 : n + 1);
  unsigned char out[sizeof (struct in6_addr)];
  return inet_pton (ipv6 ? AF_INET6 : AF_INET, host, out) == 1;
}

static bool
_cfg_sha256_valid (const char *s)
{
  return strlen (s) == 64 && strspn (s, "0123456789abcdef") == 64;
}

static bool
_cfg_flag_parse (const char *s, bool *v)
{
  *v = strcmp (s, "yes") == 0;
  return *v || strcmp (s, "no") == 0;
}

static bool
_cfg_deployment_kind_parse (const char *s, cfg_deployment_kind_t *v)
{
  *v = strcmp (s, "engine") == 0 ? CFG_ENGINE : CFG_PLAIN;
  return *v == CFG_ENGINE || strcmp (s, "plain") == 0;
}

bool
cfg_field_set (void *ctx, const cfg_field_t *f, const char *s, char *record)
{
  void *at = record + f->offset;
  double v = 0;
  switch (f->type)
    {
    case CFG_TYPE_NAME:
      *(const char **)at = talloc_strdup (ctx, s);
      return cfg_name_valid (s);
    case CFG_TYPE_TEXT:
      *(const char **)at = talloc_strdup (ctx, s);
      return strlen (s) <= CFG_PATH_MAX;
    case CFG_TYPE_ADDRESS:
      *(const char **)at = talloc_strdup (ctx, s);
      return _cfg_address_valid (s);
    case CFG_TYPE_SHA256:
      *(const char **)at = talloc_strdup (ctx, s);
      return _cfg_sha256_valid (s);
    case CFG_TYPE_FLAG:
      return _cfg_flag_parse (s, at);
    case CFG_TYPE_KIND:
      return _cfg_deployment_kind_parse (s, at);
    case CFG_TYPE_RATE:
    case CFG_TYPE_NUMBER:
      return _cfg_quantity_parse (f, s, at);
    case CFG_TYPE_COUNT:
      if (!_cfg_quantity_parse (f, s, &v) || strchr (s, '.') != NULL)
        return false;
      *(uint32_t *)at = (uint32_t)v;
      return true;
    case CFG_TYPE_DURATION:
      if (!_cfg_quantity_parse (f, s, &v))
        return false;
      *(clk_ms_t *)at = (clk_ms_t)v;
      return true;
    }
  return false;
}

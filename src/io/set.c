#include "io/set.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define SET_SECRET_MIN 16 /**< characters */
/* Secret of a closed network, where only VMs of the fleet can reach the peer
 * ports.  The secret is public, so it authenticates nobody. */
#define SET_SECRET_CLOSED_NETWORK "closed-network-no-secret"

/* State of set_load. */
typedef struct
{
  const char *file;
  GKeyFile *ini;
  set_t *set;
  char *faults;
} _set_load_t;

static const char *const _set_keys[][2] = {
  { "vm", "name" },
  { "vm", "data_centre" },
  { "vm", "listen" },
  { "vm", "peer_listen" },
  { "vm", "secret_file" },
  { "vm", "operator_token_file" },
  { "vm", "data_folder" },
  { "vm", "seed" },
  { "platform", "address" },
  { "platform", "configuration" },
  { "vm", "data_centres" },
  { "vm", "ready_listen" },
  { "vm", "tunnel_listen" },
  { "vm", "network" },
  { "limits", "window_s" },
  { "limits", "overshoot" },
  { "limits", "requests" },
  { "jobs", "end_within_ms" },
  { "jobs", "refuse_late" },
  { "jobs", "yield_late" },
  { "jobs", "preempt_once" },
  { "platform", "history_s" },
  { "evacuation", "within_ms" },
  { "upstreams", "cold_overshoot" },
  { "upstreams", "cold_slack" },
  { "routing", "even_load" },
  { "routing", "avoid_failing" },
  { "log", "level" },
  { "log", "format" },
};

#define _SET_KEY_COUNT (sizeof _set_keys / sizeof _set_keys[0])

bool
set_address_split (const char *address, char ip[64], uint16_t *port)
{
  const char *colon = strrchr (address, ':');
  if (colon == NULL || colon == address || colon - address >= 64)
    return false;
  memcpy (ip, address, (size_t)(colon - address));
  ip[colon - address] = '\0';
  char *end = NULL;
  unsigned long n = strtoul (colon + 1, &end, 10);
  if (colon[1] == '\0' || *end != '\0' || n == 0 || n > 65535)
    return false;
  *port = (uint16_t)n;
  struct in_addr in;
  return inet_pton (AF_INET, ip, &in) == 1;
}

static void
_set_fault (_set_load_t *l, const char *section, const char *key,
            const char *expected)
{
  l->faults
      = talloc_asprintf_append_buffer (l->faults, "%s: [%s] %s: expected %s\n",
                                       l->file, section, key, expected);
}

/* Returns the value, owned by the settings; NULL when absent. */
static const char *
_set_get (_set_load_t *l, const char *section, const char *key)
{
  char *value = g_key_file_get_string (l->ini, section, key, NULL);
  const char *copy
      = value == NULL ? NULL : talloc_strdup (l->set, g_strstrip (value));
  g_free (value);
  return copy;
}

static const char *
_set_require (_set_load_t *l, const char *section, const char *key,
              const char *expected)
{
  const char *value = _set_get (l, section, key);
  if (value == NULL || value[0] == '\0')
    {
      _set_fault (l, section, key, expected);
      return "";
    }
  return value;
}

static const char *
_set_require_address (_set_load_t *l, const char *section, const char *key)
{
  const char *value = _set_require (l, section, key, "IP:PORT");
  char ip[64];
  uint16_t port;
  if (value[0] != '\0' && !set_address_split (value, ip, &port))
    _set_fault (l, section, key, "IP:PORT, an IPv4 address and a port");
  return value;
}

/* Like _set_require_address, but returns NULL when the key is absent or
 * empty. */
static const char *
_set_optional_address (_set_load_t *l, const char *section, const char *key)
{
  const char *value = _set_get (l, section, key);
  if (value == NULL || value[0] == '\0')
    return NULL;
  return _set_require_address (l, section, key);
}

/* Reads a key whose value is FIRST (the default, as is an empty value) or
 * SECOND; returns whether the value is SECOND. */
static bool
_set_choice (_set_load_t *l, const char *section, const char *key,
             const char *first, const char *second)
{
  const char *value = _set_get (l, section, key);
  if (value == NULL || value[0] == '\0' || strcmp (value, first) == 0)
    return false;
  if (strcmp (value, second) == 0)
    return true;
  char *expected = talloc_asprintf (l->set, "%s or %s", first, second);
  _set_fault (l, section, key, expected);
  return false;
}

/* Returns the first line of the file that KEY names; NULL when the key is
 * absent or the file is not readable. */
static const char *
_set_file_line (_set_load_t *l, const char *key)
{
  const char *path = _set_get (l, "vm", key);
  char *text = NULL;
  if (path == NULL || !g_file_get_contents (path, &text, NULL, NULL))
    return NULL;
  text[strcspn (text, "\r\n")] = '\0';
  const char *line = talloc_strdup (l->set, text);
  g_free (text);
  return line;
}

static void
_set_read_secrets (_set_load_t *l)
{
  bool closed = _set_choice (l, "vm", "network", "open", "closed");
  l->set->secret = _set_file_line (l, "secret_file");
  if (l->set->secret == NULL && closed)
    l->set->secret = SET_SECRET_CLOSED_NETWORK;
  if (l->set->secret == NULL || strlen (l->set->secret) < SET_SECRET_MIN)
    _set_fault (l, "vm", "secret_file",
                "a readable file whose first line has 16 characters or more");
  if (_set_get (l, "vm", "operator_token_file") == NULL)
    return;
  const char *token = _set_file_line (l, "operator_token_file");
  if (token == NULL || strlen (token) < SET_SECRET_MIN)
    {
      _set_fault (
          l, "vm", "operator_token_file",
          "a readable file whose first line has 16 characters or more");
      return;
    }
  char *hash = g_compute_checksum_for_string (G_CHECKSUM_SHA256, token, -1);
  l->set->operator_token_sha256 = talloc_strdup (l->set, hash);
  g_free (hash);
}

static void
_set_read_log (_set_load_t *l)
{
  const char *level = _set_get (l, "log", "level");
  l->set->log_level = level == NULL ? "info" : level;
  static const char *const levels[]
      = { "debug", "info", "warning", "error", NULL };
  if (!g_strv_contains (levels, l->set->log_level))
    _set_fault (l, "log", "level", "debug, info, warning or error");
  const char *format = _set_get (l, "log", "format");
  l->set->log_json = format != NULL && strcmp (format, "json") == 0;
  if (format != NULL && !l->set->log_json && strcmp (format, "text") != 0)
    _set_fault (l, "log", "format", "text or json");
}

/* Returns a number from 0 to MOST, or 0 when the key is absent. */
static double
_set_number (_set_load_t *l, const char *section, const char *key, double most,
             const char *expected)
{
  const char *text = _set_get (l, section, key);
  char *end = NULL;
  if (text == NULL || text[0] == '\0')
    return 0;
  double value = g_ascii_strtod (text, &end);
  if (*end == '\0' && value >= 0 && value <= most)
    return value;
  _set_fault (l, section, key, expected);
  return 0;
}

static void
_set_read_limits (_set_load_t *l)
{
  double window
      = _set_number (l, "limits", "window_s", 3600, "seconds, from 0 to 3600");
  l->set->limit_window_ms = (int64_t)(window * 1000);
  l->set->limit_overshoot
      = _set_number (l, "limits", "overshoot", 1, "a fraction, from 0 to 1");
  l->set->limit_requests = _set_number (l, "limits", "requests", 1e6,
                                        "requests, from 0 to 1000000");
}

static void
_set_read_upstreams (_set_load_t *l)
{
  l->set->cold_overshoot = _set_number (l, "upstreams", "cold_overshoot", 100,
                                        "a factor, from 0 to 100");
  l->set->cold_slack = _set_number (l, "upstreams", "cold_slack", 1e6,
                                    "requests, from 0 to 1000000");
}

static void
_set_read_even_load (_set_load_t *l)
{
  const char *value = _set_get (l, "routing", "even_load");
  l->set->even_load = RTE_EVEN_AUTO;
  if (value == NULL || value[0] == '\0' || strcmp (value, "auto") == 0)
    return;
  if (strcmp (value, "on") == 0)
    l->set->even_load = RTE_EVEN_ON;
  else if (strcmp (value, "off") == 0)
    l->set->even_load = RTE_EVEN_OFF;
  else
    _set_fault (l, "routing", "even_load", "auto, on or off");
}

static void
_set_read_seed (_set_load_t *l)
{
  const char *seed = _set_get (l, "vm", "seed");
  if (seed == NULL)
    return;
  guint64 value = 0;
  if (!g_ascii_string_to_unsigned (seed, 10, 1, UINT32_MAX, &value, NULL))
    _set_fault (l, "vm", "seed", "a whole number from 1 to 4294967295");
  l->set->seed = (uint32_t)value;
}

static void
_set_read_data_centres (_set_load_t *l)
{
  const char *value = _set_get (l, "vm", "data_centres");
  if (value == NULL)
    return;
  char **names = g_strsplit (value, ",", -1);
  guint n = g_strv_length (names);
  const char **copy = talloc_zero_array (l->set, const char *, n + 1);
  for (guint i = 0; i < n; i++)
    {
      copy[i] = talloc_strdup (copy, g_strstrip (names[i]));
      if (copy[i][0] == '\0')
        _set_fault (l, "vm", "data_centres", "names, separated by commas");
    }
  l->set->data_centres = copy;
  g_strfreev (names);
}

static bool
_set_is_known (const char *section, const char *key)
{
  for (size_t i = 0; i < _SET_KEY_COUNT; i++)
    {
      if (strcmp (_set_keys[i][0], section) == 0
          && strcmp (_set_keys[i][1], key) == 0)
        return true;
    }
  return false;
}

static void
_set_reject_unknown (_set_load_t *l)
{
  char **sections = g_key_file_get_groups (l->ini, NULL);
  for (size_t s = 0; sections[s] != NULL; s++)
    {
      char **keys = g_key_file_get_keys (l->ini, sections[s], NULL, NULL);
      for (size_t k = 0; keys != NULL && keys[k] != NULL; k++)
        {
          if (!_set_is_known (sections[s], keys[k]))
            _set_fault (l, sections[s], keys[k], "a known key");
        }
      g_strfreev (keys);
    }
  g_strfreev (sections);
}

static void
_set_read (_set_load_t *l)
{
  _set_reject_unknown (l);
  l->set->name = _set_require (l, "vm", "name", "the VM's name");
  l->set->data_centre
      = _set_require (l, "vm", "data_centre", "the data centre's name");
  l->set->hosted
      = _set_choice (l, "platform", "configuration", "sections", "hosted");
  l->set->listen = l->set->hosted ? _set_optional_address (l, "vm", "listen")
                                  : _set_require_address (l, "vm", "listen");
  l->set->ready_listen = _set_optional_address (l, "vm", "ready_listen");
  l->set->tunnel_listen = _set_optional_address (l, "vm", "tunnel_listen");
  l->set->peer_listen = _set_require_address (l, "vm", "peer_listen");
  l->set->platform = _set_require_address (l, "platform", "address");
  l->set->data_folder = _set_get (l, "vm", "data_folder");
  _set_read_data_centres (l);
  _set_read_secrets (l);
  _set_read_log (l);
  _set_read_limits (l);
  _set_read_upstreams (l);
  _set_read_even_load (l);
  l->set->avoid_failing
      = _set_choice (l, "routing", "avoid_failing", "off", "on");
  l->set->refuse_late = _set_choice (l, "jobs", "refuse_late", "off", "on");
  l->set->yield_late = _set_choice (l, "jobs", "yield_late", "off", "on");
  l->set->preempt_once = _set_choice (l, "jobs", "preempt_once", "off", "on");
  l->set->history_ms
      = (int64_t)(_set_number (l, "platform", "history_s", 86400,
                               "seconds, from 0 to 86400")
                  * 1000);
  l->set->evacuate_ms = (int64_t)_set_number (l, "evacuation", "within_ms",
                                              600000, "ms, from 0 to 600000");
  l->set->end_ms = (int64_t)_set_number (l, "jobs", "end_within_ms", 600000,
                                         "ms, from 0 to 600000");
  _set_read_seed (l);
}

set_t *
set_load (void *ctx, const char *file, char **faults)
{
  _set_load_t l = { .file = file,
                    .ini = g_key_file_new (),
                    .set = talloc_zero (ctx, set_t),
                    .faults = talloc_strdup (ctx, "") };
  GError *error = NULL;
  if (g_key_file_load_from_file (l.ini, file, G_KEY_FILE_NONE, &error))
    _set_read (&l);
  else
    l.faults = talloc_asprintf_append_buffer (l.faults, "%s: %s\n", file,
                                              error->message);
  g_clear_error (&error);
  g_key_file_free (l.ini);
  *faults = l.faults;
  if (l.faults[0] == '\0')
    return l.set;
  talloc_free (l.set);
  return NULL;
}

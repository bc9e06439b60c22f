#include "cmd/log.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static struct
{
  log_desc_t desc;
  GLogLevelFlags threshold; /**< the least urgent level that is written */
  bool writer_set;
} _log;

static const char *
_log_level_name (GLogLevelFlags level)
{
  if ((level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL)) != 0)
    return "error";
  if ((level & G_LOG_LEVEL_WARNING) != 0)
    return "warning";
  if ((level & G_LOG_LEVEL_DEBUG) != 0)
    return "debug";
  return "info";
}

static const char *
_log_field (const GLogField *fields, gsize n, const char *key)
{
  for (gsize i = 0; i < n; i++)
    {
      if (strcmp (fields[i].key, key) == 0)
        return fields[i].value;
    }
  return "";
}

static void
_log_write_json (const char *time, const char *level, const char *message)
{
  json_t *line = json_pack ("{s:s, s:s, s:s, s:s}", "time", time, "level",
                            level, "vm", _log.desc.vm, "message", message);
  char *text = json_dumps (line, JSON_COMPACT);
  fprintf (stderr, "%s\n", text == NULL ? "{}" : text);
  free (text);
  json_decref (line);
}

static GLogWriterOutput
_log_write (GLogLevelFlags level, const GLogField *fields, gsize n,
            gpointer data)
{
  (void)data;
  if ((level & G_LOG_LEVEL_MASK) > _log.threshold)
    return G_LOG_WRITER_HANDLED;
  GDateTime *now = g_date_time_new_now_utc ();
  char *time = g_date_time_format (now, "%Y-%m-%dT%H:%M:%S.%fZ");
  const char *message = _log_field (fields, n, "MESSAGE");
  if (_log.desc.json)
    _log_write_json (time, _log_level_name (level), message);
  else
    fprintf (stderr, "%s %s %s: %s\n", time, _log_level_name (level),
             _log.desc.vm, message);
  g_free (time);
  g_date_time_unref (now);
  return G_LOG_WRITER_HANDLED;
}

void
log_setup (const log_desc_t *desc)
{
  static const struct
  {
    const char *name;
    GLogLevelFlags level;
  } levels[] = {
    { "error", G_LOG_LEVEL_CRITICAL },
    { "warning", G_LOG_LEVEL_WARNING },
    { "info", G_LOG_LEVEL_INFO },
    { "debug", G_LOG_LEVEL_DEBUG },
  };
  _log.desc = *desc;
  _log.threshold = G_LOG_LEVEL_INFO;
  if (_log.desc.vm == NULL)
    _log.desc.vm = "";
  for (size_t i = 0; i < sizeof levels / sizeof levels[0]; i++)
    {
      if (desc->level != NULL && strcmp (levels[i].name, desc->level) == 0)
        _log.threshold = levels[i].level;
    }
  /* GLib allows the writer to be set only once in a process. */
  if (!_log.writer_set)
    g_log_set_writer_func (_log_write, NULL, NULL);
  _log.writer_set = true;
}

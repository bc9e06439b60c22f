/** @file
 * log: writes GLib's structured log to standard error, as text or as JSON
 * lines.  The server process sets the log up; modules log through GLib
 * (g_message, g_warning, ...) and do not use this header.
 *
 *   log_setup (&(log_desc_t){ .level = "info", .json = true, .vm = name });
 *
 * Callers' keys must never reach a log: modules log only the names of keys.
 */
#ifndef RTS_LOG_H
#define RTS_LOG_H

#include <stdbool.h>

/** Settings of the log; the strings must stay valid until the next
 * log_setup. */
typedef struct
{
  const char *level; /**< debug, info, warning or error; default info */
  bool json;         /**< one JSON object a line; else text */
  const char *vm;    /**< VM name, written in every line */
} log_desc_t;

/** Installs the log writer for the process, or changes its settings. */
void log_setup (const log_desc_t *desc);

#endif

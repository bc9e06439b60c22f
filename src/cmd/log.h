/** @file
 * Logs: GLib's structured logging to standard error, text or JSON lines.
 *
 *   log_setup (&(log_desc_t){ .level = "info", .json = true, .vm = name });
 *
 * Callers' keys never reach a log: modules log key names only.
 */
#ifndef RTS_LOG_H
#define RTS_LOG_H

#include <stdbool.h>

/** How to set logs up; strings are kept. */
typedef struct
{
  const char *level; /**< debug, info, warning or error; default info */
  bool json;
  const char *vm; /**< stands in every line */
} log_desc_t;

/** Install the writer for the process. */
void log_setup (const log_desc_t *desc);

#endif

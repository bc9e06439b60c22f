/** @file
 * Settings from text (prefix setfile_): a file with the keys that set_load
 * requires, and further lines.
 *
 *   const set_t *set
 *       = setfile_load (ctx, "[jobs]\nrefuse_late = on\n", &faults);
 *
 * Only tests use this file.
 */
#ifndef RTS_SETFILE_H
#define RTS_SETFILE_H

#include "io/set.h"
#include "tst.h"

#include <glib.h>
#include <glib/gstdio.h>
#include <talloc.h>

/** Loads a file with the required keys and LINES.  NULL, with the fault lines
 * in *FAULTS, which then name the file "FILE", if it is refused. */
static inline const set_t *
setfile_load (void *ctx, const char *lines, char **faults)
{
  char *path = NULL;
  int fd = g_file_open_tmp ("rts-XXXXXX", &path, NULL);
  CU_ASSERT_FATAL (fd >= 0 && g_close (fd, NULL));
  char *text = talloc_asprintf (
      ctx,
      "[vm]\nname = a\ndata_centre = x\nlisten = 127.0.0.1:1\n"
      "peer_listen = 127.0.0.1:2\nnetwork = closed\n"
      "[platform]\naddress = 127.0.0.1:3\n%s\n",
      lines);
  CU_ASSERT (g_file_set_contents (path, text, -1, NULL));
  const set_t *set = set_load (ctx, path, faults);
  GString *named = g_string_new (*faults);
  (void)g_string_replace (named, path, "FILE", 0);
  *faults = talloc_strdup (ctx, named->str);
  (void)g_string_free (named, TRUE);
  (void)g_unlink (path);
  g_free (path);
  return set;
}

#endif

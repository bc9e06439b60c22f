#include "core/inv.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

void
inv_fail (const char *file, int line, const char *name, const char *format,
          ...)
{
  fprintf (stderr, "invariant %s broken at %s:%d: ", name, file, line);
  va_list args;
  va_start (args, format);
  (void)vfprintf (stderr, format, args);
  va_end (args);
  fputc ('\n', stderr);
  abort ();
}

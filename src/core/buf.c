#include "core/buf.h"

#include <string.h>
#include <talloc.h>

buf_t
buf_str (const char *s)
{
  return (buf_t){ .p = s, .n = s == NULL ? 0 : strlen (s) };
}

char *
buf_to_str (void *ctx, buf_t b)
{
  char *copy = talloc_size (ctx, b.n + 1);
  if (b.n > 0)
    memcpy (copy, b.p, b.n);
  copy[b.n] = '\0';
  return copy;
}

buf_t
buf_copy (void *ctx, buf_t b)
{
  return (buf_t){ .p = buf_to_str (ctx, b), .n = b.n };
}

bool
buf_equal (buf_t a, buf_t b)
{
  return a.n == b.n && (a.n == 0 || memcmp (a.p, b.p, a.n) == 0);
}

bool
buf_is (buf_t b, const char *s)
{
  return buf_equal (b, buf_str (s));
}

#include "core/st.h"

#include <stdarg.h>
#include <stdio.h>

static const char *const _st_names[ST_NUM] = {
  [ST_OK] = "ok",
  [ST_INVALID] = "invalid",
  [ST_NOT_FOUND] = "not-found",
  [ST_CONFLICT] = "conflict",
  [ST_STALE] = "stale",
  [ST_UNAUTHORIZED] = "unauthorized",
  [ST_EXHAUSTED] = "exhausted",
  [ST_TOO_LARGE] = "too-large",
  [ST_UNAVAILABLE] = "unavailable",
  [ST_UNKNOWN] = "unknown",
  [ST_TIMEOUT] = "timeout",
  [ST_CANCELLED] = "cancelled",
  [ST_UNSUPPORTED] = "unsupported",
};

st_code_t
st_set (st_t *st, st_code_t code, const char *format, ...)
{
  if (st == NULL)
    return code;
  st->code = code;
  va_list args;
  va_start (args, format);
  (void)vsnprintf (st->message, sizeof st->message, format, args);
  va_end (args);
  return code;
}

const char *
st_code_name (st_code_t code)
{
  return (unsigned)code < ST_NUM ? _st_names[code] : "unlisted";
}

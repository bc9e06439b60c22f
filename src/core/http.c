#include "core/http.h"

#include <strings.h>

const char *
http_header_find (http_headers_t headers, const char *name)
{
  for (size_t i = 0; i < headers.n; i++)
    {
      if (strcasecmp (headers.v[i].name, name) == 0)
        return headers.v[i].value;
    }
  return NULL;
}

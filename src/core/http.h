/** @file
 * HTTP headers (http_), shared by requests and responses.
 *
 *   const char *type = http_header_find (request->headers, "Content-Type");
 *
 * Use these types to pass headers between the node and its driver.  The HTTP
 * libraries parse and write messages; this module does neither.  Lists and
 * strings are borrowed.  Nothing here fails.
 */
#ifndef RTS_HTTP_H
#define RTS_HTTP_H

#include "core/buf.h"

/** A header; the case of the name is not significant. */
typedef struct
{
  const char *name;
  const char *value;
} http_header_t;

/** A borrowed list of headers. */
typedef struct
{
  const http_header_t *v;
  size_t n;
} http_headers_t;

/** Returns the value of the first header NAME in HEADERS, or NULL. */
const char *http_header_find (http_headers_t headers, const char *name);

#endif

/** @file
 * Check of heads (prefix hck_): what may become part of the head of an HTTP
 * request (RFC 9110, 5; RFC 9112, 3 and 5).
 *
 *   hck_fault_t fault = hck_request (&(hck_request_t){ ... });
 *   if (fault.part != NULL)
 *     message = hck_describe (ctx, &fault);
 *
 * Use it for each string that comes from elsewhere (callers, items of jobs,
 * peers, the platform) and may be sent in a head: where the string arrives, so
 * that its sender gets a clear error, and before it is sent (io/hcl.c), on
 * every road.  A head that passes is sent byte for byte, but for white space
 * around a header's value.  The module neither sends nor changes anything.
 */
#ifndef RTS_HCK_H
#define RTS_HCK_H

#include "core/http.h"

#include <stdbool.h>

/** What of a request may not be sent. */
typedef struct
{
  const char *part;   /**< such as "path"; NULL: nothing, all may be sent */
  const char *why;    /**< what is wrong with it */
  const char *header; /**< name of the header that it belongs to, borrowed;
                           NULL: it belongs to none */
} hck_fault_t;

/** The head of a request; NULL: the field is not checked. */
typedef struct
{
  const char *method;
  const char *address; /**< "HOST:PORT" */
  const char *target;  /**< path and query */
  http_headers_t headers;
  bool sends; /**< a sender checks what it is about to send: the headers may
                   not hold those that frame the body, which it sets itself */
} hck_request_t;

/** Whether S is a token, as methods and names of headers are. */
bool hck_token_is_valid (const char *s);

/** Whether S may be the value of a header: no control characters but tabs. */
bool hck_value_is_valid (const char *s);

/** Whether S may be a request's id: a value that is not empty, without white
 * space around it, which others would not repeat. */
bool hck_id_is_valid (const char *s);

/** Whether S is a path with or without a query: it begins with a slash and has
 * neither control characters, spaces nor "#".  Nothing in it is decoded. */
bool hck_target_is_valid (const char *s);

/** Whether S is HOST:PORT: a name or an IPv4 address, or an IPv6 address in
 * brackets, and a port from 1 to 65535. */
bool hck_address_is_valid (const char *s);

/** The first fault of REQ. */
hck_fault_t hck_request (const hck_request_t *req);

/** Text of FAULT for a person, printable ASCII, owned by CTX. */
char *hck_describe (void *ctx, const hck_fault_t *fault);

#endif

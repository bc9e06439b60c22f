/** @file
 * How the connections of the HTTP server end: a response with neither a length
 * nor chunks is complete if its connection is closed, and cut short only if it
 * is reset.
 */
#include "io/hsv_int.h"

#include <sys/socket.h>

int
hsv_fd (const hsv_request_t *r)
{
  return MHD_get_connection_info (r->connection,
                                  MHD_CONNECTION_INFO_CONNECTION_FD)
      ->connect_fd;
}

void
hsv_close_resets (const hsv_request_t *r, bool resets)
{
  struct linger linger = { .l_onoff = resets ? 1 : 0 };
  (void)setsockopt (hsv_fd (r), SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

void
hsv_reset (const hsv_request_t *r)
{
  /* The library shuts a connection down before it closes it, so that the
   * caller would see an ordinary end first. */
  struct sockaddr none = { .sa_family = AF_UNSPEC };
  hsv_close_resets (r, true);
  (void)connect (hsv_fd (r), &none, sizeof none);
}

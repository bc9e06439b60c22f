/** @file
 * Sockets (sock_): loopback ports for tests over real sockets.
 *
 *   uint16_t port = sock_free_port ();
 *   ... a server listens on PORT ...
 *   int fd = sock_connect (port);
 *
 * Use these functions where a test needs its own plain TCP client.  The caller
 * closes the socket.
 */
#ifndef RTS_SOCK_H
#define RTS_SOCK_H

#include <stdint.h>

/** Returns a port of 127.0.0.1 that was free during the call; another process
 * may take the port afterwards. */
uint16_t sock_free_port (void);

/** Returns a blocking socket that listens on 127.0.0.1 and stores its port in
 * PORT; -1 when that fails. */
int sock_listen (uint16_t *port);

/** Returns a socket connected to PORT of 127.0.0.1; -1 when connect fails. */
int sock_connect (uint16_t port);

#endif

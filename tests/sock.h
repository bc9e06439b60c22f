/** @file
 * Loopback ports for tests over real sockets.
 */
#ifndef RTS_SOCK_H
#define RTS_SOCK_H

#include <stdint.h>

/** A port of 127.0.0.1 that was free a moment ago. */
uint16_t sock_free_port (void);

/** A connection to PORT; -1 when it cannot be had. */
int sock_connect (uint16_t port);

#endif

/** @file
 * Sockets of an HTTP client's connections (prefix hcl_socket_), from the first
 * time libcurl has one polled until libcurl closes it.
 *
 *   hcl_sockets_t *s = hcl_sockets_setup (
 *       ctx, &(hcl_sockets_desc_t){ .loop = loop, .ready = on_ready, ... });
 *   hcl_socket_poll (s, sock, TEVENT_FD_READ);   a call uses it
 *   hcl_socket_unpoll (s, sock, true);           no call uses it
 *   hcl_socket_close (s, sock);
 *
 * For hcl.c only.  A socket that receives bytes, or its end, while no call
 * uses it is shut down: libcurl would take such bytes for the response to the
 * next call, but does not reuse a connection that has been shut down.
 */
#ifndef RTS_HCL_SOCKET_H
#define RTS_HCL_SOCKET_H

#include <stdbool.h>
#include <stdint.h>
#include <tevent.h>

/** Parameters. */
typedef struct
{
  struct tevent_context *loop;
  /** SOCK, which a call uses, is ready; FLAGS are TEVENT_FD_ ones. */
  void (*ready) (void *data, int sock, uint16_t flags);
  void *data;
} hcl_sockets_desc_t;

typedef struct hcl_sockets hcl_sockets_t;

/** Creates an empty table owned by CTX. */
hcl_sockets_t *hcl_sockets_setup (void *ctx, const hcl_sockets_desc_t *desc);

/** Frees the table and stops polling; closes no socket. */
void hcl_sockets_shutdown (hcl_sockets_t *s);

/** A call that uses SOCK waits for FLAGS. */
void hcl_socket_poll (hcl_sockets_t *s, int sock, uint16_t flags);

/** SOCK is not polled for a call any more; IDLE: and no call uses it.  Ignores
 * a socket that was never polled. */
void hcl_socket_unpoll (hcl_sockets_t *s, int sock, bool idle);

/** Closes SOCK; returns what close(2) returns. */
int hcl_socket_close (hcl_sockets_t *s, int sock);

#endif

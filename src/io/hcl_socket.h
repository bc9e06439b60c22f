/** @file
 * Sockets of an HTTP client's connections (prefix hcl_socket_): those that are
 * polled for a call, and those of idle connections.
 *
 *   hcl_sockets_t *s = hcl_sockets_setup (
 *       ctx, &(hcl_sockets_desc_t){ .loop = loop, .ready = on_ready, ... });
 *   hcl_socket_poll (s, sock, TEVENT_FD_READ);   for a call
 *   hcl_socket_unpoll (s, sock);
 *   hcl_socket_idle (s, sock);                   its call is complete
 *   hcl_sockets_check (s);                       before a call starts
 *   hcl_socket_close (s, sock);
 *
 * For hcl.c only.  Bytes that arrive on an idle connection belong to no call,
 * but libcurl would take them for the response to the next one.
 * hcl_sockets_check shuts such connections down, and libcurl does not reuse a
 * connection that has been shut down.
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
  /** SOCK, which is polled, is ready; FLAGS are TEVENT_FD_ ones. */
  void (*ready) (void *data, int sock, uint16_t flags);
  void *data;
} hcl_sockets_desc_t;

typedef struct hcl_sockets hcl_sockets_t;

/** Creates an empty table owned by CTX. */
hcl_sockets_t *hcl_sockets_setup (void *ctx, const hcl_sockets_desc_t *desc);

/** Frees the table and stops polling; closes no socket. */
void hcl_sockets_shutdown (hcl_sockets_t *s);

/** Polls SOCK for FLAGS, for a call that uses it. */
void hcl_socket_poll (hcl_sockets_t *s, int sock, uint16_t flags);

/** Stops polling SOCK, if it is polled. */
void hcl_socket_unpoll (hcl_sockets_t *s, int sock);

/** The call that used SOCK is complete; no other uses SOCK unless it is
 * polled.
 */
void hcl_socket_idle (hcl_sockets_t *s, int sock);

/** Whether bytes that nobody has read lie in SOCK. */
bool hcl_socket_has_bytes (int sock);

/** Shuts down the idle sockets that have received bytes or their end. */
void hcl_sockets_check (hcl_sockets_t *s);

/** Closes SOCK; returns what close(2) returns. */
int hcl_socket_close (hcl_sockets_t *s, int sock);

#endif

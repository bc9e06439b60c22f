/** @file
 * wire: what the stand-ins of the users' platform share: loopback sockets,
 * heads of HTTP messages, and the one proper answer to a request, which the
 * replica sends and the caller expects.  Times are Unix milliseconds.  Strings
 * that are returned are owned by CTX.
 *
 *   int fd = wire_listen (0, &port);
 *   char *id = wire_header (ctx, head, "Request-Id");
 */
#ifndef STANDIN_WIRE_H
#define STANDIN_WIRE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <tevent.h>

/** Room for the name of a replica. */
#define WIRE_NAME_SIZE 64

/** What a signature says of the replica that gave it. */
typedef struct
{
  char instance[WIRE_NAME_SIZE];
  bool leaving;
} wire_signer_t;

/** Returns the wall clock in ms. */
int64_t wire_now_ms (void);

/** Listens on 127.0.0.1:PORT (0: any), sets *BOUND to the port, and does not
 * block in accept.  Ends the process with a message on failure. */
int wire_listen (uint16_t port, uint16_t *bound);

/** Begins to connect to 127.0.0.1:PORT without blocking; -1: failed. */
int wire_connect (uint16_t port);

/** Accepts a connection of the listening socket FD; -1: none. */
int wire_accept (int fd);

/** Closes FD; RESET: with a reset in place of an end. */
void wire_close (int fd, bool reset);

/** Starts a timer, owned by CTX, that fires once after MS. */
struct tevent_timer *wire_timer_add (struct tevent_context *loop, void *ctx,
                                     uint64_t ms, tevent_timer_handler_t fired,
                                     void *data);

/** Returns the value of header NAME in HEAD, which begins with the first line
 * of a message; NULL: absent. */
char *wire_header (void *ctx, const char *head, const char *name);

/** Returns event number N of the answer to request ID. */
char *wire_event (void *ctx, const char *id, unsigned n);

/** Returns the body of the answer to request ID: events 1 to EVENTS. */
char *wire_body (void *ctx, const char *id, unsigned events);

/** Returns the signature that SIGNER gives to the answer to request ID. */
char *wire_signature (void *ctx, const char *id, const wire_signer_t *signer);

/** Reads SIGNATURE into *SIGNER; false: it is not one for request ID. */
bool wire_signature_read (const char *signature, const char *id,
                          wire_signer_t *signer);

#endif

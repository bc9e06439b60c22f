/** @file
 * Internals of the driver's bed (prefix drvbed_), shared by drvbed.c (set up,
 * waits, callers), drvbed_platform.c and drvbed_upstream.c; not for tests.
 */
#ifndef RTS_DRVBED_INT_H
#define RTS_DRVBED_INT_H

#include "drvbed.h"
#include "io/drv.h"
#include "io/hcl.h"
#include "io/hsv.h"

#include <jansson.h>

#define DRVBED_UPSTREAMS_MAX 2
#define DRVBED_ADDRESS_SIZE 32
/* Attempts to set up a server; another process may take a free port. */
#define DRVBED_ATTEMPTS 5
#define DRVBED_KEY "k1" /* of the only customer */

/* A scripted upstream. */
typedef struct
{
  drvbed_t *bed;
  int fd;
  struct tevent_fd *event; /* NULL: not started */
  char address[DRVBED_ADDRESS_SIZE];
  bool serves;
} drvbed_upstream_t;

struct drvbed_conn
{
  drvbed_upstream_t *upstream;
  int fd;
  struct tevent_fd *event;
  uint16_t vm_port; /* port of the VM's end */
  int vm_fd;        /* the VM's end, which is in this process too */
  GString *in;      /* bytes of an incomplete request */
  bool closed;      /* by the VM, or by drvbed_close */
};

struct drvbed
{
  struct tevent_context *loop;
  set_t set;
  char listen[DRVBED_ADDRESS_SIZE];
  char peer_listen[DRVBED_ADDRESS_SIZE];
  char platform_listen[DRVBED_ADDRESS_SIZE];
  drv_t *driver;
  hcl_t *callers;
  GPtrArray *answers; /* drvbed_answer_t; a call's id is the index */
  hsv_t *platform;
  json_t *objects; /* "KIND/NAME" -> object, as in the platform's responses */
  json_int_t revision;
  drvbed_upstream_t upstreams[DRVBED_UPSTREAMS_MAX];
  size_t upstream_count;
  GPtrArray *requests; /* drvbed_request_t, in order of arrival */
  bool hold_loads;
};

/* Runs the loop until DONE returns true for DATA, at most MS. */
bool drvbed_wait (drvbed_t *b, clk_ms_t ms, bool (*done) (const void *data),
                  const void *data);

/* Writes a free loopback address to ADDRESS. */
void drvbed_address (char address[DRVBED_ADDRESS_SIZE]);

/* Starts the platform, with a document and an entry for each upstream. */
bool drvbed_platform_open (drvbed_t *b);

/* Starts the upstream U of B, and stops U if it was started. */
bool drvbed_upstream_open (drvbed_t *b, drvbed_upstream_t *u);
void drvbed_upstream_close (drvbed_upstream_t *u);

/* Body and signature of the proper response to request ID, owned by CTX. */
char *drvbed_body (void *ctx, const char *id);
char *drvbed_signature (void *ctx, const char *id);

#endif

/** @file
 * Internals of the driver's bed (prefix drvbed_), shared by drvbed.c (set up,
 * waits), drvbed_caller.c, drvbed_platform.c, drvbed_store.c and
 * drvbed_upstream.c; not for tests.
 */
#ifndef RTS_DRVBED_INT_H
#define RTS_DRVBED_INT_H

#include "drvbed.h"
#include "io/drv.h"
#include "io/hcl.h"
#include "io/hsv.h"

#include <jansson.h>

#define DRVBED_ADDRESS_SIZE 32
/* Attempts to set up a server; another process may take a free port. */
#define DRVBED_ATTEMPTS 5
#define DRVBED_KEY "k1" /* of the only customer */
#define DRVBED_HOST "desk.example"

/* A scripted upstream. */
typedef struct
{
  drvbed_t *bed;
  int fd;
  struct tevent_fd *event; /* NULL: not started */
  char address[DRVBED_ADDRESS_SIZE];
  bool serves;
  bool ended; /* by a request of drvbed_t.deadly, until it is listed anew */
  drvbed_says_t says;
} drvbed_upstream_t;

/* A change of the store. */
typedef struct
{
  const char *kind;
  json_int_t revision;
  json_t *object;
  bool deleted;
} drvbed_change_t;

/* A watch that waits for a change. */
typedef struct
{
  drvbed_t *bed;
  uint64_t caller;
  const char *kind;
  json_int_t revision; /* from which on */
} drvbed_watch_t;

/* A VM of the bed. */
typedef struct
{
  set_t set;
  char listen[DRVBED_ADDRESS_SIZE];
  char peer_listen[DRVBED_ADDRESS_SIZE];
  drv_t *driver; /* NULL: not started */
} drvbed_vm_t;

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
  drvbed_desc_t desc;
  struct tevent_context *loop;
  char platform_listen[DRVBED_ADDRESS_SIZE];
  drvbed_vm_t entry;
  drvbed_vm_t worker; /* only with drvbed_desc_t.worker */
  hcl_t *callers;
  GPtrArray *answers; /* drvbed_answer_t; a call's id is the index */
  hsv_t *platform;
  bool silent;     /* the platform sends nothing */
  const char *odd; /* text in place of DRVBED_ODD in all responses; NULL: none
                    */
  json_t *objects; /* "KIND/NAME" -> object, as in the platform's responses */
  json_int_t revision;
  json_int_t lost;    /* there is no history before this revision */
  GPtrArray *changes; /* drvbed_change_t, in order */
  GPtrArray *watches; /* drvbed_watch_t */
  drvbed_upstream_t upstreams[DRVBED_UPSTREAMS_MAX];
  GPtrArray *requests; /* drvbed_request_t, in order of arrival */
  bool hold_loads;
  const char *deadly; /* of ids; NULL: none */
};

/* Runs the loop until DONE returns true for DATA, at most MS. */
bool drvbed_wait (drvbed_t *b, clk_ms_t ms, bool (*done) (const void *data),
                  const void *data);

/* Writes a free loopback address to ADDRESS. */
void drvbed_address (char address[DRVBED_ADDRESS_SIZE]);

/* drvbed_store.c: objects, their changes and watches.  Bodies that are
 * returned belong to the caller. */

/* Stores SPEC as NAME of KIND; returns the object, which the store owns. */
json_t *drvbed_store_put (drvbed_t *b, const char *kind, const char *name,
                          const json_t *spec);

/* Removes NAME of KIND, if there is one. */
void drvbed_store_remove (drvbed_t *b, const char *kind, const char *name);

/* Object NAME of KIND, which the store owns; NULL: none. */
json_t *drvbed_store_find (const drvbed_t *b, const char *kind,
                           const char *name);

/* All objects of KIND, as the body of a response. */
json_t *drvbed_store_list (const drvbed_t *b, const char *kind);

/* Changes of KIND after REVISION, as the body of a response. */
json_t *drvbed_store_changes (const drvbed_t *b, const char *kind,
                              json_int_t revision);

/* Whether KIND has changed after REVISION. */
bool drvbed_store_has_changed (const drvbed_t *b, const char *kind,
                               json_int_t revision);

/* Serves the watches that have a change. */
void drvbed_watches_serve (drvbed_t *b);

/* Starts the platform, with a document and an entry for each upstream. */
bool drvbed_platform_open (drvbed_t *b);

/* Starts the upstream U of B, and stops U if it was started. */
bool drvbed_upstream_open (drvbed_t *b, drvbed_upstream_t *u);
void drvbed_upstream_close (drvbed_upstream_t *u);

/* Starts the client of the bed's callers. */
void drvbed_callers_open (drvbed_t *b);

/* Body, behind event AFTER, and signature of the proper response to request
 * ID, owned by CTX. */
char *drvbed_body (void *ctx, const char *id, unsigned after);
char *drvbed_signature (void *ctx, const char *id);

#endif

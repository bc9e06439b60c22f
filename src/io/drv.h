/** @file
 * Driver (drv_): runs one node with sockets and the system's clock.
 *
 *   drv_desc_t desc = { .loop = loop, .set = set };
 *   drv_t *d = drv_setup (ctx, &desc, &st);
 *   while (!drv_done (d))
 *     tevent_loop_once (loop);
 *
 * The driver turns requests, responses and messages from the sockets into
 * events of the node, and carries out the node's effects.  Events wait in a
 * queue, so that node_step never runs within another node_step.  Tests drive a
 * node without this module.  Only drv_setup fails; times are in milliseconds.
 */
#ifndef RTS_DRV_H
#define RTS_DRV_H

#include "core/node.h"
#include "io/set.h"

#include <tevent.h>

/** Parameters of a driver. */
typedef struct
{
  struct tevent_context *loop;
  const set_t *set; /**< settings; must stay valid as long as the driver */
} drv_desc_t;

typedef struct drv drv_t;

/** Creates a driver owned by CTX, listens and starts the node.  Returns NULL
 * and sets ST when a port is in use or a state chart has an error. */
drv_t *drv_setup (void *ctx, const drv_desc_t *desc, st_t *st);

/** Closes all connections without a graceful shutdown and frees the driver. */
void drv_shutdown (drv_t *d);

/** Replaces the settings with SET, which must stay valid as long as the
 * driver.  A new address of the platform takes effect at once.  A new name,
 * data centre or listening address needs a restart; a warning says so.  A new
 * secret, operator token, seed, limit or list of data centres needs a restart
 * as well, but gives no warning.  A change of "hosted" is not supported: the
 * driver would speak another protocol than the node expects. */
void drv_settings_changed (drv_t *d, const set_t *set);

/** Starts a graceful shutdown; drv_done reports its end. */
void drv_leave (drv_t *d);

/** Returns whether the node has shut down and all responses to callers have
 * been sent; responses to readiness checks do not count. */
bool drv_done (const drv_t *d);

/** Returns the time of CLOCK_BOOTTIME, which includes suspended time. */
clk_ms_t drv_now (void);

#endif

/** @file
 * The driver: runs one node on sockets and the system's clock.
 *
 *   drv_t *d = drv_setup (ctx, &(drv_desc_t){ .loop = loop, .set = set },
 * &st); while (!drv_done (d)) tevent_loop_once (loop);
 *
 * Turns what the sockets bring into events and the node's effects into calls
 * on them.  Events wait in a queue, so a step never runs inside another.
 */
#ifndef RTS_DRV_H
#define RTS_DRV_H

#include "core/node.h"
#include "io/set.h"

#include <tevent.h>

/** How to set a driver up. */
typedef struct
{
  struct tevent_context *loop;
  const set_t *set; /**< lives as long as the driver */
} drv_desc_t;

typedef struct drv drv_t;

/** New driver owned by CTX; the node has started.  NULL with ST when a port
 * is taken or a state chart is at fault. */
drv_t *drv_setup (void *ctx, const drv_desc_t *desc, st_t *st);

/** Close everything. */
void drv_shutdown (drv_t *d);

/** Go by SET from now on, where that needs no new start: the platform's
 * address.  What else differs is logged.  SET lives as long as the driver. */
void drv_settings_changed (drv_t *d, const set_t *set);

/** Ask for a graceful shutdown. */
void drv_leave (drv_t *d);

/** Whether the node has finished its shutdown and its answers are sent. */
bool drv_done (const drv_t *d);

/** Milliseconds of the clock that counts suspended time. */
clk_ms_t drv_now (void);

#endif

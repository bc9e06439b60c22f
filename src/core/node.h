/** @file
 * One VM's decisions: a deterministic step function (docs/SEAM.md).
 *
 *   node_t *n = node_setup (ctx, &(node_desc_t){ .vm = "jy-vejle-1", ... },
 *                           &st);
 *   const fx_list_t *fx = node_step (n, now, &(ev_t){ .kind = EV_START });
 *   ... carry out fx, feed what comes back as further events ...
 *
 * The same events at the same times with the same seed give the same
 * effects.  Many nodes fit in one process.  No I/O, no clock, no threads.
 */
#ifndef RTS_NODE_H
#define RTS_NODE_H

#include "core/env.h"
#include "core/ev.h"
#include "core/lim_slack.h"

/** Where a node's configuration comes from. */
typedef enum
{
  NODE_SOURCE_SECTIONS, /**< sections that operators send to a VM (cfs.h) */
  NODE_SOURCE_PLATFORM, /**< a whole document and a list of upstreams that
                             others write to the platform (dir.h) */
} node_source_t;

/** How to set a node up; strings are copied. */
typedef struct
{
  const char *vm;          /**< this VM's name; required */
  const char *data_centre; /**< required */
  const char *address;     /**< of its peer port, "IP:PORT" */
  uint64_t incarnation;    /**< larger at each start of the same VM */
  uint32_t seed;
  clk_ms_t unix_offset_ms; /**< Unix time less the driver's; for due times */
  const char *operator_token_sha256; /**< lower-case hex; NULL: no operators */
  node_source_t source;
  lsl_desc_t limit_slack;          /**< what rates may be exceeded by */
  bool worker;                     /**< takes no requests of callers */
  const char *const *data_centres; /**< SOURCE_PLATFORM: of the fleet, ends
                                        with NULL */
} node_desc_t;

typedef struct node node_t;

/** New node owned by CTX; NULL with ST when a state chart is at fault. */
node_t *node_setup (void *ctx, const node_desc_t *desc, st_t *st);

/** Free the node. */
void node_shutdown (node_t *n);

/** Handle EV at NOW (never less than before).  The effects belong to the
 * node and live until the next step. */
const fx_list_t *node_step (node_t *n, clk_ms_t now, const ev_t *ev);

/** The node's surroundings: counters and time line may be read. */
const env_t *node_env (const node_t *n);

#endif

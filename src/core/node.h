/** @file
 * Node (prefix node_): all decisions of one VM, as a deterministic step
 * function (docs/SEAM.md).
 *
 *   node_t *n = node_setup (ctx, &(node_desc_t){ .vm = "jy-vejle-1", ... },
 *                           &st);
 *   const fx_list_t *fx = node_step (n, now, &(ev_t){ .kind = EV_START });
 *   ... carry out the effects, pass their results as further events ...
 *
 * The same events at the same times with the same seed give the same effects.
 * A process may hold many nodes.  A node does no I/O, reads no clock and
 * starts no threads: its driver does.  Times are in milliseconds.  Only
 * node_setup fails; the errors of requests and calls are effects and events.
 */
#ifndef RTS_NODE_H
#define RTS_NODE_H

#include "core/crs.h"
#include "core/env.h"
#include "core/ev.h"
#include "core/lim_slack.h"
#include "core/rte.h"

/** Source of a node's configuration. */
typedef enum
{
  NODE_SOURCE_SECTIONS, /**< sections that operators send to a VM (cfs.h) */
  NODE_SOURCE_PLATFORM, /**< a complete document and a list of upstreams that
                             others write to the platform (dir.h) */
} node_source_t;

/** Settings of a node; strings are copied. */
typedef struct
{
  const char *vm;          /**< this VM's name; required */
  const char *data_centre; /**< required */
  const char *address;     /**< peer address, "IP:PORT" */
  const char *tunnel;      /**< "IP:PORT" at which it passes calls of other VMs
                                on to upstreams (pth.h); NULL: it does not */
  uint64_t incarnation;    /**< increases with each start of the same VM */
  uint32_t seed;           /**< seed of the random numbers */
  clk_ms_t unix_offset_ms; /**< Unix time minus node time (the NOW of
                                node_step) */
  const char *operator_token_sha256; /**< lower-case hex; NULL: no operator */
  node_source_t source;
  lsl_desc_t limit_slack; /**< by how much rates may be exceeded */
  double cold_overshoot;  /**< as in rte_desc_t */
  double cold_slack;      /**< as in rte_desc_t */
  clk_ms_t history_ms;  /**< time for which the platform keeps its history; 0:
                             not known */
  clk_ms_t evacuate_ms; /**< SOURCE_PLATFORM: time in which a change of the
                             evacuated data centres takes effect; 0: they are
                             not read */
  clk_ms_t end_ms;      /**< as in job_desc_t */
  rte_even_t even_load; /**< as in rte_desc_t */
  bool avoid_failing;   /**< as in rte_desc_t */
  bool refuse_late;     /**< as in job_desc_t */
  bool yield_late;      /**< as in job_desc_t */
  bool preempt_once;    /**< as in job_desc_t */
  bool worker;          /**< runs batch items, serves no callers */
  crs_prompt_parts_t prompt_parts; /**< of the headers of jobs' items; NULL:
                                        they have none */
  const char *const *data_centres; /**< SOURCE_PLATFORM: the fleet's data
                                      centres, ends with NULL */
} node_desc_t;

typedef struct node node_t;

/** New node owned by CTX; NULL with the reason in ST when a state chart is
 * invalid. */
node_t *node_setup (void *ctx, const node_desc_t *desc, st_t *st);

/** Free the node. */
void node_shutdown (node_t *n);

/** Handle EV at NOW, which never decreases.  The effects belong to the node
 * and are valid until the next step. */
const fx_list_t *node_step (node_t *n, clk_ms_t now, const ev_t *ev);

/** What a VM is told that asks this one, at NOW, for a tunnel to ADDRESS. */
typedef enum
{
  NODE_TUNNEL_OPEN,    /**< it connects */
  NODE_TUNNEL_UNKNOWN, /**< no upstream of that address gets new calls */
  NODE_TUNNEL_REFUSED, /**< this VM does not help now */
} node_tunnel_t;

/** Whether this VM, which has OPEN tunnels, opens one more. */
node_tunnel_t node_tunnel_admit (node_t *n, clk_ms_t now, const char *address,
                                 size_t open);

/** The node's environment, for reading its counters and time line. */
const env_t *node_env (const node_t *n);

#endif

/** @file
 * What a module needs from its node: time, effects, timers, the platform,
 * random numbers, counters and the time line.
 *
 * Passed as the first argument; a test fills one in by hand with env_setup.
 */
#ifndef RTS_ENV_H
#define RTS_ENV_H

#include "core/clk.h"
#include "core/cnt.h"
#include "core/fx.h"
#include "core/plt.h"
#include "core/tln.h"
#include "core/tmr.h"
#include "core/upc.h"

#include <glib.h>

/** How to set an environment up. */
typedef struct
{
  const char *vm;          /**< this VM's name; required */
  const char *data_centre; /**< required */
  const char *address;     /**< of its peer port, "IP:PORT" */
  uint64_t incarnation;    /**< larger at each start of the same VM */
  uint32_t seed;           /**< of the random numbers */
  clk_ms_t unix_offset_ms; /**< Unix time less the node's, for people */
} env_desc_t;

/** The surroundings of a module. */
typedef struct env
{
  clk_ms_t now; /**< of the event being handled */
  const char *vm;
  const char *data_centre;
  const char *address;
  uint64_t incarnation;
  fx_list_t *fx;
  tmr_t *tmr;
  plt_t *plt;
  upc_t *upc;
  GRand *rand;
  cnt_t *cnt;
  tln_t *tln;
} env_t;

/** New environment owned by CTX. */
env_t *env_setup (void *ctx, const env_desc_t *desc);

/** Free it and all that it holds. */
void env_shutdown (env_t *env);

/** D spread evenly over 75 % to 125 %, so that VMs do not act in step. */
clk_ms_t env_jitter (env_t *env, clk_ms_t d);

#endif

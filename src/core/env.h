/** @file
 * Environment (prefix env_): the services that a node gives its modules: time,
 * effects, timers, platform calls, upstream calls, random numbers, counters
 * and the time line.
 *
 * A node creates one environment and passes it to each module function that
 * needs it; a test of one module creates its own with env_setup.  Modules
 * share it and never free it.  Times are in milliseconds.  Nothing here fails.
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

/** Settings of an environment; strings are copied. */
typedef struct
{
  const char *vm;          /**< this VM's name; required */
  const char *data_centre; /**< required */
  const char *address;     /**< peer address, "IP:PORT"; NULL: none */
  uint64_t incarnation;    /**< increases with each start of the same VM */
  uint32_t seed;           /**< seed of the random numbers */
  clk_ms_t unix_offset_ms; /**< Unix time minus node time */
} env_desc_t;

/** Services shared by all modules of a node. */
typedef struct env
{
  clk_ms_t now;            /**< time of the current event */
  clk_ms_t unix_offset_ms; /**< as in env_desc_t */
  const char *vm;
  const char *data_centre;
  const char *address;
  uint64_t incarnation;
  fx_list_t *fx;   /**< effects of the current event */
  tmr_t *tmr;      /**< timers */
  plt_t *plt;      /**< platform calls */
  upc_t *upc;      /**< upstream calls */
  struct pth *pth; /**< paths to upstreams; NULL: all calls go directly */
  GRand *rand;     /**< random numbers */
  cnt_t *cnt;      /**< counters */
  tln_t *tln;      /**< time line */
} env_t;

/** New environment owned by CTX. */
env_t *env_setup (void *ctx, const env_desc_t *desc);

/** Free the environment and all that it owns. */
void env_shutdown (env_t *env);

/** A random duration, uniform between 75 % and 125 % of D, so that VMs do not
 * act at the same time. */
clk_ms_t env_jitter (env_t *env, clk_ms_t d);

/** The Unix time of the instant AT on the node's clock. */
clk_ms_t env_unix_ms (const env_t *env, clk_ms_t at);

/** The number above which this process counts what it asks of peers, so that
 * no process of the VM takes a reply to another for its own. */
uint64_t env_number_base (const env_t *env);

#endif

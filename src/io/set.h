/** @file
 * A VM's own settings: an INI file read at start.
 *
 *   set_t *s = set_load (ctx, "vm.ini", &faults);
 *   if (s == NULL) ... faults has one line for each fault
 *
 * [vm] name, data_centre, data_centres, listen, ready_listen, peer_listen,
 * secret_file, network, operator_token_file, data_folder, seed [platform]
 * address, configuration [log] level, format
 *
 * The operators' document is another file: see core/cfg.h.
 */
#ifndef RTS_SET_H
#define RTS_SET_H

#include "core/st.h"

#include <stdbool.h>
#include <stdint.h>

/** Checked settings; strings belong to the struct. */
typedef struct
{
  const char *name;
  const char *data_centre;
  const char *const *data_centres;   /**< of the fleet; NULL: not said */
  const char *listen;                /**< callers and operators, "IP:PORT";
                                          NULL: takes no requests */
  const char *ready_listen;          /**< the balancer's question whether this
                                          VM is ready; NULL: at listen */
  const char *peer_listen;           /**< peers, "IP:PORT" */
  const char *secret;                /**< the fleet's shared secret */
  const char *operator_token_sha256; /**< NULL: no operator calls */
  const char *data_folder;           /**< NULL: none */
  const char *platform;              /**< "IP:PORT" */
  bool hosted; /**< the platform's operator writes the configuration, and
                    callers and upstreams speak the platform's protocol */
  int64_t limit_window_ms; /**< 0: rates are never exceeded */
  double limit_overshoot;  /**< share by which they may be in a window */
  double limit_requests;   /**< and requests besides */
  const char *log_level;   /**< debug, info, warning or error */
  bool log_json;
  uint32_t seed; /**< 0: from the clock */
} set_t;

/** Read and check FILE.  NULL when anything is wrong; *FAULTS, owned by CTX,
 * then names file, section, key and what was expected, one line each. */
set_t *set_load (void *ctx, const char *file, char **faults);

/** Split "IP:PORT"; false unless both are well formed. */
bool set_address_split (const char *address, char ip[64], uint16_t *port);

#endif

/** @file
 * Settings (set_) of one VM: an INI file.
 *
 *   set_t *s = set_load (ctx, "vm.ini", &faults);
 *   if (s == NULL)
 *     fputs (faults, stderr);
 *
 * The file's sections and keys:
 *   [vm] name, data_centre, data_centres, listen, ready_listen, peer_listen,
 *        secret_file, network, operator_token_file, data_folder, seed
 *   [platform] address, configuration, history_s
 *   [limits] window_s, overshoot, requests
 *   [evacuation] within_ms
 *   [upstreams] cold_overshoot, cold_slack
 *   [routing] even_load, avoid_failing
 *   [jobs] end_within_ms, refuse_late, yield_late, preempt_once
 *   [log] level, format
 *
 * The file is read at start and again on SIGHUP.  Use the file for values that
 * differ between VMs; the operators' document (core/cfg.h) holds the fleet's
 * configuration.  All errors of a file are reported at once.
 */
#ifndef RTS_SET_H
#define RTS_SET_H

#include "core/rte.h"
#include "core/st.h"

#include <stdbool.h>
#include <stdint.h>

/** Checked settings; the struct owns the strings. */
typedef struct
{
  const char *name;
  const char *data_centre;
  const char *const *data_centres;   /**< all data centres of the fleet; NULL:
                                          not given */
  const char *listen;                /**< address for callers and operators,
                                          "IP:PORT"; NULL: does not listen */
  const char *ready_listen;          /**< address for the load balancer's
                                          readiness checks, "IP:PORT"; NULL:
                                          at listen */
  const char *peer_listen;           /**< address for peers, "IP:PORT" */
  const char *tunnel_listen;         /**< address at which calls of peers are
                                          passed on to upstreams, "IP:PORT";
                                          NULL: they are not */
  const char *secret;                /**< the fleet's shared secret */
  const char *operator_token_sha256; /**< NULL: no operator calls */
  const char *data_folder;           /**< read, but not used; NULL: none */
  const char *platform;              /**< the platform's address, "IP:PORT" */
  bool hosted; /**< configuration = hosted: the platform's operator writes the
                    configuration, and callers and upstreams use the platform's
                    protocol */
  int64_t history_ms;  /**< time for which the platform keeps its history; 0:
                          not known */
  int64_t evacuate_ms; /**< time in which a change of the evacuated data
                          centres takes effect; 0: they are not read */
  int64_t limit_window_ms; /**< window in which customers may exceed their
                                limits; 0: they never may */
  double limit_overshoot;  /**< excess that is permitted in a window, as a
                                fraction of what rate and burst allow */
  double limit_requests;   /**< number of requests permitted in addition */
  double cold_overshoot;   /**< factor of the rate of a cold upstream that it
                                may get in any second; 0: no upstream is
                                treated as cold */
  double cold_slack;       /**< number of requests permitted in addition */
  rte_even_t even_load;    /**< as in rte_desc_t */
  bool avoid_failing;      /**< as in rte_desc_t */
  int64_t end_ms;    /**< time after the end of a job in which the last of its
                          items may start; 0: the default */
  bool refuse_late;  /**< jobs that cannot end in time are refused */
  bool yield_late;   /**< late items leave free slots to others */
  bool preempt_once; /**< as in job_desc_t */
  const char *log_level; /**< debug, info, warning or error */
  bool log_json;         /**< false: plain text */
  uint32_t seed;         /**< seed of the random numbers; 0: from the clock */
} set_t;

/** Reads and checks FILE; the result is owned by CTX.  Returns NULL when the
 * file has errors.  *FAULTS, owned by CTX, then has a line for each error with
 * the file, section, key and expected value. */
set_t *set_load (void *ctx, const char *file, char **faults);

/** Splits "IP:PORT" with an IPv4 address; returns false when either part is
 * malformed. */
bool set_address_split (const char *address, char ip[64], uint16_t *port);

#endif

/** @file
 * Shared insides of crd.c (using credits), crd_report.c (a VM's reports) and
 * crd_own.c (the owner's side).
 */
#ifndef RTS_CRD_INT_H
#define RTS_CRD_INT_H

#include "core/crd.h"

/** Message kinds. */
enum
{
  /** int sent_at, then for each upstream: str name, uint in_flight, uint
   * waiting, uint used, uint want, uint running + 1 (0: not known) */
  CRD_MSG_REPORT = MSG_BATCH_FIRST + 8,
  /** int sent_at of the report it answers, str upstream, uint credits */
  CRD_MSG_GRANT,
};

/** Timers. */
enum
{
  CRD_TAG_REPORT,
  CRD_TAG_EXPIRE,
};

#define CRD_REPORT_GAP_MIN_MS                                                 \
  5 /* least time between reports that do not wait */
#define CRD_HISTORY_SAMPLES 64 /**< load samples kept for bursts and lags */
#define CRD_BURST_BUCKETS 6    /**< buckets in which bursts are remembered */

/** What a VM says of its use of an upstream. */
typedef struct
{
  clk_ms_t sent_at; /**< on the reporter's clock */
  uint32_t in_flight;
  uint32_t waiting;
  uint32_t used;
  uint32_t demand;
  bool running_known;
  uint32_t running;
} crd_report_t;

/** A reporter, as the owner sees it. */
typedef struct
{
  char *vm;
  crd_report_t report;
  clk_ms_t seen_at;
  uint32_t granted;
  clk_ms_t granted_at;
} crd_reporter_t;

/** The owner's side of an upstream. */
typedef struct
{
  crd_reporter_t *reporters;
  size_t count;
  struct
  {
    clk_ms_t at;
    uint32_t online;
    uint32_t known; /**< online and batch */
  } history[CRD_HISTORY_SAMPLES];
  size_t history_next;
  uint32_t burst[CRD_BURST_BUCKETS];
  clk_ms_t burst_at;          /**< start of the youngest bucket */
  uint32_t foreign;           /**< load of which the owner knows nothing */
  uint32_t online_at_foreign; /**< the known online load at that time */
} crd_own_t;

/** One item that uses a credit. */
typedef struct
{
  uint64_t item;
  bool preemptible;
  bool preempted;
} crd_use_t;

/** One upstream. */
typedef struct
{
  const char *name;
  const char *address;
  const char *deployment;
  const char *data_centre;
  uint32_t slots;
  bool leaving;
  bool is_user; /**< this VM may use it: bounds what an owner hears */
  bool local;   /**< in this VM's data centre */
  crd_load_t load;
  crd_use_t *uses; /**< oldest first */
  uint32_t used;
  uint32_t demand;
  clk_ms_t demand_until;
  const char *owner;   /**< "" when nobody is */
  const char *granter; /**< whose credits these are */
  uint32_t granted;
  clk_ms_t granted_until;
  clk_ms_t unreachable_until; /**< it could not be reached */
  clk_ms_t reported_at;
  bool reported_idle; /**< the last report said that there is nothing */
  crd_own_t own;
} crd_upstream_t;

struct crd
{
  crd_desc_t desc;
  crd_upstream_t *upstreams;
  size_t count;
  void *config_ctx;
  ev_vm_t *vms; /**< members, copied */
  size_t vm_count;
  uint64_t *preempt; /**< queue */
  size_t preempt_count;
  bool started;
};

/* crd.c */
crd_upstream_t *crd_find (const crd_t *c, const char *name);
/** Ask items back until no more use credits than are valid. */
void crd_enforce (crd_t *c, crd_upstream_t *u, clk_ms_t now);
/** Use GRANTED credits of U by VM's word until UNTIL. */
void crd_grant_apply (crd_t *c, env_t *env, crd_upstream_t *u, const char *vm,
                      uint32_t granted, clk_ms_t sent_at);

/* crd_report.c */
/** Tell U's owner of this VM's load on it now. */
void crd_report_one (crd_t *c, env_t *env, crd_upstream_t *u);

/* crd_own.c */
/** Note VM's report on U and hand out credits anew. */
void crd_own_report (crd_t *c, env_t *env, crd_upstream_t *u, const char *vm,
                     const crd_report_t *report);
/** Forget reporters that fell silent. */
void crd_own_tick (crd_t *c, env_t *env, crd_upstream_t *u);
uint32_t crd_own_reserve (const crd_t *c, const crd_own_t *o);

#endif

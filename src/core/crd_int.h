/** @file
 * State of batch credits (prefix crd_) shared by crd.c (use of credits),
 * crd_report.c (load reports) and crd_own.c (the owner's part); not for other
 * modules.
 */
#ifndef RTS_CRD_INT_H
#define RTS_CRD_INT_H

#include "core/crd.h"

/** Message kinds and their bodies (mpk.h). */
enum
{
  /** int sent_at, then for each upstream: str name, uint in_flight, uint
   * waiting, uint used, uint demand, uint running + 1 (0: not known) */
  CRD_MSG_REPORT = MSG_BATCH_FIRST + 8,
  /** int sent_at of the report that the grant answers, str upstream, uint
     credits */
  CRD_MSG_GRANT,
};

/** Tags of timers. */
enum
{
  CRD_TAG_REPORT,
  CRD_TAG_EXPIRE,
};

/** Least time between two reports outside the regular interval, in ms; a rise
 * of online load is reported in any case. */
#define CRD_REPORT_GAP_MIN_MS 5
/** Load samples kept, to find bursts and to allow for the age of upstreams'
 * reports. */
#define CRD_HISTORY_SAMPLES 64
/** Time buckets for which bursts are remembered. */
#define CRD_BURST_BUCKETS 6

/** A VM's report of its use of an upstream; see crd_load_t. */
typedef struct
{
  clk_ms_t sent_at; /**< on the reporter's clock */
  uint32_t in_flight;
  uint32_t waiting;
  uint32_t used;   /**< credits in use */
  uint32_t demand; /**< further credits that are wanted */
  bool running_known;
  uint32_t running;
} crd_report_t;

/** A VM that reports to this owner. */
typedef struct
{
  char *vm;
  crd_report_t report; /**< last one */
  clk_ms_t seen_at;    /**< when the report arrived */
  uint32_t granted;
  clk_ms_t granted_at;
} crd_reporter_t;

/** State that the owner of an upstream keeps. */
typedef struct
{
  crd_reporter_t *reporters;
  size_t count;
  struct
  {
    clk_ms_t at;
    uint32_t online;
    uint32_t known; /**< online and batch load */
  } history[CRD_HISTORY_SAMPLES];
  size_t history_next;
  uint32_t burst[CRD_BURST_BUCKETS]; /**< largest rise, youngest first */
  clk_ms_t burst_at;                 /**< start of the youngest bucket */
  uint32_t foreign;                  /**< load above that of all reporters */
  uint32_t online_at_foreign; /**< known online load when foreign was set */
} crd_own_t;

/** One item that uses a credit. */
typedef struct
{
  uint64_t item;
  bool preemptible;
  bool preempted; /**< queued for crd_preempt_pop */
} crd_use_t;

/** One upstream of the configuration. */
typedef struct
{
  const char *name;
  const char *address;
  const char *deployment;
  const char *data_centre;
  uint32_t slots;
  bool leaving;
  bool is_user; /**< this VM may use the upstream for batch items */
  bool local;   /**< in this VM's data centre */
  crd_load_t load;
  crd_use_t *uses; /**< oldest first */
  uint32_t used;   /**< length of uses */
  uint32_t demand; /**< further credits that are wanted */
  clk_ms_t demand_until;
  const char *owner;   /**< "" when there is none */
  const char *granter; /**< VM that granted the credits */
  uint32_t granted;
  clk_ms_t granted_until;
  clk_ms_t unreachable_until; /**< no items are sent until then */
  clk_ms_t reported_at;
  bool reported_idle; /**< the last report had no load, use or demand */
  crd_own_t own;
} crd_upstream_t;

struct crd
{
  crd_desc_t desc;
  crd_upstream_t *upstreams;
  size_t count;
  void *config_ctx; /**< owns upstreams and their strings */
  ev_vm_t *vms;     /**< members, copied */
  size_t vm_count;
  uint64_t *preempt; /**< items to preempt; the last is taken first */
  size_t preempt_count;
  bool started;
};

/* crd.c */
crd_upstream_t *crd_find (const crd_t *c, const char *name);
/** Preempts items of U until no more are running than the valid credits allow,
 * less the online requests of this VM that wait. */
void crd_enforce (crd_t *c, crd_upstream_t *u, clk_ms_t now);
/** Applies a grant of GRANTED credits for U by VM, in answer to the report of
 * SENT_AT; ignored unless VM is the owner and no other owner's credits are
 * valid. */
void crd_grant_apply (crd_t *c, env_t *env, crd_upstream_t *u, const char *vm,
                      uint32_t granted, clk_ms_t sent_at);

/* crd_report.c */
/** Reports this VM's load on U to the owner now. */
void crd_report_one (crd_t *c, env_t *env, crd_upstream_t *u);

/* crd_own.c */
/** Stores VM's report on U and grants credits again. */
void crd_own_report (crd_t *c, env_t *env, crd_upstream_t *u, const char *vm,
                     const crd_report_t *report);
/** Removes reporters that no longer report; all of them when this VM does not
 * own U any more. */
void crd_own_tick (crd_t *c, env_t *env, crd_upstream_t *u);
/** Slots that are kept free for bursts of online work. */
uint32_t crd_own_reserve (const crd_t *c, const crd_own_t *o);

#endif

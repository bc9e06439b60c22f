/** @file
 * Directories of a fleet on a bed (prefix dfb_): many VMs with a directory
 * each, a store with a document and a list of upstreams that serves watches,
 * and links that bring messages after DFB_LINK_MS, in virtual time.
 *
 *   dfb_t *b = dfb_setup (80, 3);
 *   dfb_run (b, 20 * CLK_SECOND);
 *   dfb_upstream_set (b, 4, true);
 *   dfb_run (b, CLK_SECOND);
 *   CU_ASSERT (dfb_knows (b, 7, 4));
 *   dfb_shutdown (b);
 *
 * Use it for what VMs know of the lists, and what calls that costs; whole
 * nodes are in hst.h.  VMs and upstreams are numbered from 0; VM i is in data
 * centre i modulo their number.
 */
#ifndef RTS_DFB_H
#define RTS_DFB_H

#include "core/dir.h"

#define DFB_LINK_MS ((clk_ms_t)2)
#define DFB_UPSTREAMS 12
#define DFB_VMS_MAX 320
#define DFB_DATA_CENTRES 5
/** Names in the list of evacuations, the fleet's data centres first. */
#define DFB_EVACUATIONS 256
/** Cold time that the list gives for upstream I. */
#define DFB_COLD_MS(i) ((clk_ms_t)(1000 * ((i) + 1)))

typedef struct dfb dfb_t;

/** A bed with VMS VMs in DATA_CENTRES data centres. */
dfb_t *dfb_setup (size_t vms, size_t data_centres);
void dfb_shutdown (dfb_t *b);

/** The same with directories that read the evacuated data centres, whose
 * changes must take effect WITHIN_MS after they are in the store; 0: not. */
dfb_t *dfb_setup_evacuations (size_t vms, size_t data_centres,
                              clk_ms_t within_ms);

/** Lets MS pass. */
void dfb_run (dfb_t *b, clk_ms_t ms);

/** Upstream I is in the list from now on, or is not. */
void dfb_upstream_set (dfb_t *b, size_t i, bool listed);

/** Data centre DC is evacuated from now on, or is not; from DFB_DATA_CENTRES
 * on it is none of the fleet. */
void dfb_evacuate (dfb_t *b, size_t dc, bool evacuated);

/** Whether VM knows that data centre DC is evacuated. */
bool dfb_is_evacuated (const dfb_t *b, size_t vm, size_t dc);

/** Number of VMs that do not know what the store has of evacuations. */
size_t dfb_evacuations_behind (const dfb_t *b);

/** The store loses its history: all watches from before are refused. */
void dfb_history_lose (dfb_t *b);

/** The answers to the calls that VM has in progress are lost. */
void dfb_answers_lose (dfb_t *b, size_t vm);

/** The operator's document gets a newer version. */
void dfb_document_set (dfb_t *b);

/** Whether VM uses upstream I; whether it has the newest document. */
bool dfb_knows (const dfb_t *b, size_t vm, size_t i);
bool dfb_has_document (const dfb_t *b, size_t vm);

/** Number of VMs that do not have all that the store has. */
size_t dfb_behind (const dfb_t *b);

/** Calls to the store of all VMs so far. */
unsigned dfb_calls (const dfb_t *b);

/** The VM that hands on in the data centre of VM; DFB_VMS_MAX: none has. */
size_t dfb_reader (const dfb_t *b, size_t vm);

/** What is wrong with a VM. */
typedef enum
{
  DFB_WELL,
  DFB_FROZEN,     /**< it stands still; what reaches it waits */
  DFB_REFUSED,    /**< the store turns its calls away */
  DFB_UNANSWERED, /**< the store answers none of its calls */
  DFB_CUT_OFF,    /**< no messages pass between it and other VMs */
} dfb_fault_t;

void dfb_fault_set (dfb_t *b, size_t vm, dfb_fault_t fault);

/** VM gets a message from FROM with BODY. */
void dfb_message (dfb_t *b, size_t vm, size_t from, uint16_t kind, buf_t body);

/** The environment and directory of VM. */
env_t *dfb_env (dfb_t *b, size_t vm);
dir_t *dfb_dir (dfb_t *b, size_t vm);

#endif

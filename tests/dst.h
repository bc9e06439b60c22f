/** @file
 * Disturbances of a hosted fleet's VMs (prefix dst_): kills, cuts and freezes
 * that come at random and overlap, and a record of them for a judge.
 *
 *   dst_t *d = dst_setup (h, rand, vms);
 *   dst_begin (d);                  now and then
 *   dst_recover (d);                often
 *   dst_excused (d, vm, at, ms)     when judging
 *   dst_shutdown (d);
 *
 * Use it for soak tests.  The fleet and the random numbers are borrowed.
 * Times are in ms.
 */
#ifndef RTS_DST_H
#define RTS_DST_H

#include "hst.h"

/** A span in which a VM was disturbed. */
typedef struct
{
  size_t vm;
  clk_ms_t from;
  clk_ms_t to;
} dst_span_t;

/** Disturbances of one fleet. */
typedef struct
{
  hst_t *h;
  GRand *rand;
  size_t vms;
  GArray *spans;           /**< dst_span_t */
  clk_ms_t until[HST_MAX]; /**< of a VM's disturbance; 0: none */
  bool isolated[HST_MAX];
} dst_t;

dst_t *dst_setup (hst_t *h, GRand *rand, size_t vms);
void dst_shutdown (dst_t *d);

/** Disturbs one VM for 0.3 to 3.8 s, unless it is disturbed already. */
void dst_begin (dst_t *d);

/** Ends the disturbances whose time is over. */
void dst_recover (dst_t *d);

/** Whether VM was disturbed at AT or in the MS before. */
bool dst_excused (const dst_t *d, size_t vm, clk_ms_t at, clk_ms_t ms);

#endif

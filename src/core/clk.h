/** @file
 * Time in milliseconds, for instants and for durations.
 *
 * Instants count from an arbitrary origin and go on while a VM is suspended:
 * the driver reads CLOCK_BOOTTIME, a test counts virtual time.  Nothing in
 * src/core reads a clock: every decision is given the time.
 */
#ifndef RTS_CLK_H
#define RTS_CLK_H

#include <stdint.h>

/** Milliseconds: an instant or a duration. */
typedef int64_t clk_ms_t;

/** An instant that never comes. */
#define CLK_NEVER INT64_MAX

#define CLK_SECOND ((clk_ms_t)1000)
#define CLK_MINUTE (60 * CLK_SECOND)
#define CLK_HOUR (60 * CLK_MINUTE)

/** The earlier of two instants. */
static inline clk_ms_t
clk_min (clk_ms_t a, clk_ms_t b)
{
  return a < b ? a : b;
}

/** The later of two instants. */
static inline clk_ms_t
clk_max (clk_ms_t a, clk_ms_t b)
{
  return a > b ? a : b;
}

#endif

/** @file
 * Clock time (clk_): milliseconds, for points in time and for durations.
 *
 * Points in time count from an arbitrary origin, and the count continues
 * while a VM is suspended: the driver reads CLOCK_BOOTTIME, a test counts
 * virtual time.  Nothing in src/core reads a clock; the node receives the
 * time with every event.  For Unix time see env_desc_t.unix_offset_ms.
 */
#ifndef RTS_CLK_H
#define RTS_CLK_H

#include <stdint.h>

/** Milliseconds: a point in time or a duration. */
typedef int64_t clk_ms_t;

/** A point in time that is never reached. */
#define CLK_NEVER INT64_MAX

#define CLK_SECOND ((clk_ms_t)1000)
#define CLK_MINUTE (60 * CLK_SECOND)
#define CLK_HOUR (60 * CLK_MINUTE)

/** Returns MS as a duration: 0 if it is negative or no number, and MOST if it
 * is larger. */
static inline clk_ms_t
clk_from_double (double ms, clk_ms_t most)
{
  if (!(ms > 0))
    return 0;
  return ms < (double)most ? (clk_ms_t)ms : most;
}

/** Returns the earlier or shorter of A and B. */
static inline clk_ms_t
clk_min (clk_ms_t a, clk_ms_t b)
{
  return a < b ? a : b;
}

/** Returns the later or longer of A and B. */
static inline clk_ms_t
clk_max (clk_ms_t a, clk_ms_t b)
{
  return a > b ? a : b;
}

#endif

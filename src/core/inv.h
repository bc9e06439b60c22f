/** @file
 * Invariants (inv_): named conditions, checked in release builds too.
 *
 *   INV_CHECK (spent <= minted, "limit-tokens-conserved",
 *              "customer %s: spent %ld, minted %ld", name, spent, minted);
 *
 * Use INV_CHECK for a condition that only a fault of the program can violate.
 * A violation prints the invariant's name and the values involved to stderr
 * and aborts the process.  Bad input violates no invariant: see st.h.
 */
#ifndef RTS_INV_H
#define RTS_INV_H

/** Checks CONDITION.  NAME is the invariant's name; the remaining arguments
 * are a printf-style message with the values involved. */
#define INV_CHECK(condition, name, ...)                                       \
  do                                                                          \
    {                                                                         \
      if (!(condition))                                                       \
        inv_fail (__FILE__, __LINE__, name, __VA_ARGS__);                     \
    }                                                                         \
  while (0)

/** Prints the violated invariant and aborts. */
_Noreturn void inv_fail (const char *file, int line, const char *name,
                         const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));

#endif

/** @file
 * Openings of bodies (prefix opn_): whether the first bytes behind a head show
 * that the head ended too early.
 *
 *   opn_verdict_t v = opn_judge (head, first_bytes, false, names);
 *
 * An empty line that comes too early leaves a sound head whose last lines are
 * the body's first ones.  No line of the head shows it; docs/DESIGN.md has the
 * signs that are taken.  Use it for the body behind a head that rhd_t accepts,
 * before anything of both is used.  Nothing here keeps state.
 */
#ifndef RTS_OPN_H
#define RTS_OPN_H

#include "core/rhd.h"

/** Longest opening that is looked at, in bytes. */
#define OPN_BYTES_MAX ((size_t)4 << 10)

/** What an opening says. */
typedef enum
{
  OPN_PENDING, /**< further bytes decide; it does not look like a head's, and
                    need not be held back */
  OPN_HOLD,    /**< further bytes decide, and it looks like a head's */
  OPN_BODY,    /**< it is a body's */
  OPN_SUSPECT, /**< it may be a head's; it is, if bytes follow the body whose
                    length the head has */
  OPN_HEAD,    /**< it is a head's */
} opn_verdict_t;

/** Judges BYTES, the first ones behind HEAD; with ENDED no more come.  KNOWN
 * are names of headers that no body begins with; ends with NULL; NULL: none.
 */
opn_verdict_t opn_judge (const rhd_head_t *head, buf_t bytes, bool ended,
                         const char *const *known);

#endif

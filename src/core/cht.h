/** @file
 * State charts (cht_): state machines, defined in charts/NAME.ini.
 *
 * Example of a chart file:
 *   [chart]
 *   name = chunk
 *   initial = waiting
 *   final = done                  optional list, separated by ';'
 *   [waiting]                     a section for each state
 *   lease = leased do count       a key for each event
 *   [leased]
 *   store = done if fenced do publish tell; waiting
 *
 * Each value has the form NEXT [if [!]GUARD] [do ACTION...].  Alternatives are
 * separated by ';'; the first one whose guard holds applies.
 *
 *   enum { CHUNK_WAITING, CHUNK_LEASED, CHUNK_DONE, CHUNK_NUM };
 *   cht_t *c = cht_setup (ctx, &(cht_desc_t){
 *       .text = cht_text ("chunk"), .states = names, .state_count = CHUNK_NUM,
 *       ... }, &st);
 *   cht_step_t step = cht_fire (c, state, event, guards_that_hold);
 *   state = step.next;
 *   for (size_t i = 0; i < step.action_count; i++)
 *     act (step.actions[i]);
 *
 * Use a chart for records whose states and events are listed in enums; the
 * names in the file correspond to the enums by order.  A chart holds no state,
 * so all records of one kind share a chart.  An error in a chart file is
 * reported by cht_setup; an event that the chart does not define for a state
 * is a violated invariant.
 */
#ifndef RTS_CHT_H
#define RTS_CHT_H

#include "core/st.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Maximum number of actions of a transition. */
#define CHT_ACTIONS_MAX 4

/** A chart's text and the names that may occur in it, in the order of the
 * enums.  The chart borrows the text and the names. */
typedef struct
{
  const char *text; /**< the chart file's text */
  const char *const *states;
  size_t state_count;
  const char *const *events;
  size_t event_count;
  const char *const *guards; /**< at most 32, as they are bits of a mask */
  size_t guard_count;
  const char *const *actions;
  size_t action_count;
} cht_desc_t;

/** Result of an event. */
typedef struct
{
  int next; /**< next state */
  size_t action_count;
  int actions[CHT_ACTIONS_MAX]; /**< in the order to carry them out */
} cht_step_t;

typedef struct cht cht_t;

/** Reads and checks a chart; the result is owned by CTX.  Returns NULL and
 * sets ST if the text is malformed, a name is unknown, a state is unreachable,
 * a state that is not final has no transitions, a final state has transitions,
 * or an event occurs in no state. */
cht_t *cht_setup (void *ctx, const cht_desc_t *desc, st_t *st);

/** Frees the chart. */
void cht_shutdown (cht_t *c);

/** Returns the state of a new record. */
int cht_initial (const cht_t *c);

/** Returns whether STATE is final. */
bool cht_is_final (const cht_t *c, int state);

/** Returns whether STATE has a transition for EVENT. */
bool cht_has_event (const cht_t *c, int state, int event);

/** Returns the transition for EVENT in STATE.  Bit i of GUARDS is set when
 * guard i holds. */
cht_step_t cht_fire (const cht_t *c, int state, int event, uint32_t guards);

/** Returns the text of the embedded chart NAME, or NULL if it does not
 * exist. */
const char *cht_text (const char *name);

/** Returns the name of the I-th embedded chart, or NULL after the last. */
const char *cht_text_name (size_t i);

#endif

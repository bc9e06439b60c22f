/** @file
 * State charts: read from charts/NAME.ini, checked, then interpreted.
 *
 * A chart file:
 *   [chart]
 *   name = chunk
 *   initial = waiting
 *   final = done                  optional; a list separated by ';'
 *   [waiting]                     one section a state, one key an event
 *   lease = leased do count
 *   [leased]
 *   store = done if fenced do publish tell; waiting
 *
 * The value is NEXT [if [!]GUARD] [do ACTION...]; alternatives are separated
 * by ';' and the first whose guard holds is taken.
 *
 *   enum { CHUNK_WAITING, CHUNK_LEASED, CHUNK_DONE, CHUNK_NUM };
 *   cht_t *c = cht_setup (ctx, &(cht_desc_t){
 *       .text = cht_text ("chunk"), .states = names, .state_count = CHUNK_NUM,
 *       ... }, &st);
 *   cht_step_t step = cht_fire (c, state, event, guards_that_hold);
 *   state = step.next; carry out step.actions in order
 *
 * Names map to the enums that the code gives, in order.  The chart holds no
 * state: one chart serves every record of its kind.  An event that the chart
 * does not have in a state is a broken invariant.
 */
#ifndef RTS_CHT_H
#define RTS_CHT_H

#include "core/st.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Most actions of one transition. */
#define CHT_ACTIONS_MAX 4

/** What a chart is checked against; lists in the order of the enums. */
typedef struct
{
  const char *text; /**< the chart file's text */
  const char *const *states;
  size_t state_count;
  const char *const *events;
  size_t event_count;
  const char *const *guards; /**< at most 32 */
  size_t guard_count;
  const char *const *actions;
  size_t action_count;
} cht_desc_t;

/** Result of an event. */
typedef struct
{
  int next;
  size_t action_count;
  int actions[CHT_ACTIONS_MAX];
} cht_step_t;

typedef struct cht cht_t;

/** Read and check a chart; NULL with ST saying line, fault and expectation
 * (unknown name, unreachable state, a state without a way out, an event that
 * no state has). */
cht_t *cht_setup (void *ctx, const cht_desc_t *desc, st_t *st);

/** Free the chart. */
void cht_shutdown (cht_t *c);

/** State that a new record is in. */
int cht_initial (const cht_t *c);

/** Whether STATE is final. */
bool cht_is_final (const cht_t *c, int state);

/** Whether the chart has EVENT in STATE. */
bool cht_has_event (const cht_t *c, int state, int event);

/** Take EVENT in STATE; GUARDS has bit i set when guard i holds. */
cht_step_t cht_fire (const cht_t *c, int state, int event, uint32_t guards);

/** Text of an embedded chart; NULL when there is none of that name. */
const char *cht_text (const char *name);

/** Name of the I-th embedded chart; NULL at the end. */
const char *cht_text_name (size_t i);

#endif

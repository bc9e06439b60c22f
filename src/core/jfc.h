/** @file
 * Job forecast (prefix jfc_): how many items of a new job would be on time,
 * given the items ahead of them and what the runner has measured.
 *
 *   jfc_pace_add (&pace, now, events, event_ms);    an item has completed
 *   jfc_width_add (&width, now, running, waiting);  every 50 ms
 *   jfc_forecast_t f = jfc_forecast (&query, now);
 *   if (jfc_refuses (&f, query.new_items)) ...
 *
 * The forecast plays the order of job_order.c on as many places as items have
 * run at a time: running items first, then by due time; an item that cannot be
 * on time when its turn comes takes no place.  It errs on the side of "on
 * time": a refusal is costly, so evidence that is thin, old or shows no
 * capacity at all counts as none, and then all items are on time.
 *
 * jfc_turn_t bounds for how long late items leave free slots to other VMs.
 *
 * It sends nothing and reads no clock.  Times are in ms.  Nothing here fails;
 * a measurement that goes back in time is ignored.
 */
#ifndef RTS_JFC_H
#define RTS_JFC_H

#include "core/clk.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Most items ahead that a forecast counts; later ones are left out. */
#define JFC_ITEMS_MAX 8192

/** Length and speed of the items of a route, as means of completed runs. */
typedef struct
{
  double events;   /**< of a complete item */
  double event_ms; /**< between two events */
  uint32_t runs;   /**< completed runs in the means */
  clk_ms_t at;     /**< time of the last one */
} jfc_pace_t;

/** Adds a run that has ended NOW and completed its item of EVENTS events, with
 * EVENT_MS between two of them. */
void jfc_pace_add (jfc_pace_t *p, clk_ms_t now, double events,
                   double event_ms);

/** Expected time that an item with EVENTS events still has to run; 0 when it
 * is not known.  P may be NULL. */
double jfc_remaining_ms (const jfc_pace_t *p, uint64_t events);

/** Whether an item that still runs for REMAINING_MS is not expected to be on
 * time if it starts NOW. */
bool jfc_is_late (clk_ms_t due, clk_ms_t now, double remaining_ms);

/** A mean over time that forgets. */
typedef struct
{
  double sum; /**< of value * ms */
  double ms;  /**< measured time, as far as not forgotten */
} jfc_mean_t;

/** How many items of a runner run at a time. */
typedef struct
{
  jfc_mean_t recent; /**< over about 5 s */
  jfc_mean_t usual;  /**< over about 20 s, three waves of online requests */
  clk_ms_t at;       /**< of the last measurement */
} jfc_width_t;

/** Adds that RUNNING items run NOW.  WAITING: others wait that can be on time,
 * so that more do not run; otherwise the number is only a lower bound and
 * counts only where it raises the mean. */
void jfc_width_add (jfc_width_t *w, clk_ms_t now, uint32_t running,
                    bool waiting);

/** An item ahead of a new job. */
typedef struct
{
  clk_ms_t due;
  double remaining_ms; /**< as of jfc_remaining_ms */
  bool running;
} jfc_item_t;

/** What a forecast is made from. */
typedef struct
{
  jfc_item_t *items; /**< backlog; they are sorted in place */
  size_t count;
  const jfc_pace_t *pace; /**< of the new job's route; NULL: not known */
  const jfc_width_t *width;
  clk_ms_t due;       /**< of the new job */
  uint32_t new_items; /**< of the new job */
} jfc_query_t;

/** A forecast with its evidence. */
typedef struct
{
  uint32_t on_time;  /**< items of the new job that would be on time */
  uint32_t ahead;    /**< items that take places before them */
  double width;      /**< items that run at a time; 0: not known */
  double weight;     /**< of the evidence, 0 to 1; below 1 nothing is known */
  clk_ms_t age_ms;   /**< of the older part of the evidence */
  clk_ms_t retry_ms; /**< after which half of the items would be on time if
                          nothing else came, 1 s to 10 s; 0: they are now */
} jfc_forecast_t;

jfc_forecast_t jfc_forecast (const jfc_query_t *q, clk_ms_t now);

/** Whether a job of ITEMS items with forecast F is refused: less than half of
 * its items would be on time. */
bool jfc_refuses (const jfc_forecast_t *f, uint32_t items);

/** For how long late items of a VM have given way to those of others. */
typedef struct
{
  clk_ms_t since;      /**< 0: they do not */
  clk_ms_t last;       /**< when they last did */
  clk_ms_t turn_until; /**< they give way to nothing until then */
} jfc_turn_t;

/** Whether a late item that still runs for REMAINING_MS and is given up in
 * LEFT_MS gives way NOW. */
bool jfc_gives_way (const jfc_turn_t *t, clk_ms_t now, double remaining_ms,
                    clk_ms_t left_ms);

/** A slot was left to another VM NOW.  When that has gone on for
 * JFC_YIELD_MS, the items have a turn of JFC_TURN_MS. */
void jfc_gave_way (jfc_turn_t *t, clk_ms_t now);

#endif

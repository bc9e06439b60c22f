#include "core/jfc.h"

#include <math.h>
#include <stdlib.h>

/** Weight of one completed run in the means of a route. */
#define JFC_PACE_WEIGHT 0.1
/** An item counts as late when less than this part of its expected remaining
 * time is left until its due time.  Items shorter than the mean can still be
 * on time. */
#define JFC_LATE_PART 0.75
/** Time constants of the means of the width.  Online requests come in waves of
 * 6.6 s; a shorter mean alone would take a crest for the usual. */
#define JFC_RECENT_MS 5000.0
#define JFC_USUAL_MS 20000.0
/** Longest time for which one measurement of the width counts. */
#define JFC_SAMPLE_MS_MAX 100
/** Evidence of full weight: this many completed runs, and measurements of the
 * width for this long, which is more than one wave. */
#define JFC_RUNS_FULL 10
#define JFC_OBSERVED_FULL_MS 10000.0
/** Evidence that is older counts as none. */
#define JFC_AGE_MAX_MS (10 * CLK_SECOND)
/** Below this mean width no upstream serves items, as in an outage.  That says
 * nothing of the capacity once it is over. */
#define JFC_WIDTH_MIN 0.5
/** Most places of a forecast. */
#define JFC_PLACES_MAX 1024
/** Limits of the time after which a refused job comes back. */
#define JFC_RETRY_MS_MIN (1 * CLK_SECOND)
#define JFC_RETRY_MS_MAX (10 * CLK_SECOND)
/** How long late items give way, and the turn that follows.  Items run for
 * some 5 s, so the turns give late items about a ninth of the slots that
 * become free. */
#define JFC_YIELD_MS (4 * CLK_SECOND)
#define JFC_TURN_MS (CLK_SECOND / 2)
/** A pause of this length ends a period of giving way. */
#define JFC_YIELD_PAUSE_MS (1 * CLK_SECOND)
/** An item no longer gives way when less than this many times its remaining
 * time is left until it is given up. */
#define JFC_LAST_PART 2.0

/* -- measurements ---------------------------------------------------------
 */

static void
_jfc_pace_mean_add (double *mean, double value)
{
  *mean = *mean > 0 ? *mean + JFC_PACE_WEIGHT * (value - *mean) : value;
}

void
jfc_pace_add (jfc_pace_t *p, clk_ms_t now, double events, double event_ms)
{
  if (!(events > 0) || !(event_ms >= 0) || now < p->at)
    return;
  _jfc_pace_mean_add (&p->events, events);
  _jfc_pace_mean_add (&p->event_ms, event_ms);
  if (p->runs < UINT32_MAX)
    p->runs++;
  p->at = now;
}

double
jfc_remaining_ms (const jfc_pace_t *p, uint64_t events)
{
  if (p == NULL || (double)events >= p->events)
    return 0;
  return (p->events - (double)events) * p->event_ms;
}

bool
jfc_is_late (clk_ms_t due, clk_ms_t now, double remaining_ms)
{
  return (double)(due - now) <= JFC_LATE_PART * remaining_ms;
}

static double
_jfc_mean (const jfc_mean_t *m)
{
  return m->ms > 0 ? m->sum / m->ms : 0;
}

static void
_jfc_mean_add (jfc_mean_t *m, double value, double ms, double constant_ms)
{
  double keep = exp (-ms / constant_ms);
  m->sum = m->sum * keep + value * ms;
  m->ms = m->ms * keep + ms;
}

static double
_jfc_width (const jfc_width_t *w)
{
  return fmax (_jfc_mean (&w->recent), _jfc_mean (&w->usual));
}

void
jfc_width_add (jfc_width_t *w, clk_ms_t now, uint32_t running, bool waiting)
{
  if (now < w->at || (!waiting && running <= _jfc_width (w)))
    return;
  if (now - w->at > JFC_AGE_MAX_MS)
    *w = (jfc_width_t){ .at = now };
  double ms = (double)clk_min (now - w->at, JFC_SAMPLE_MS_MAX);
  _jfc_mean_add (&w->recent, running, ms, JFC_RECENT_MS);
  _jfc_mean_add (&w->usual, running, ms, JFC_USUAL_MS);
  w->at = now;
}

/* -- forecast -------------------------------------------------------------
 */

static int
_jfc_item_compare (const void *a, const void *b)
{
  const jfc_item_t *x = a;
  const jfc_item_t *y = b;
  if (x->running != y->running)
    return x->running ? -1 : 1;
  return x->due < y->due ? -1 : x->due > y->due;
}

/* Places that items take: a heap of the times at which they become free. */
typedef struct
{
  double free_at[JFC_PLACES_MAX];
  size_t count;
  double stretch; /**< count / width: by which items take longer, as the width
                       is not a whole number */
} _jfc_places_t;

/* Takes the place that is free first, for MS. */
static void
_jfc_place_take (_jfc_places_t *p, double ms)
{
  double value = p->free_at[0] + ms * p->stretch;
  size_t at = 0;
  for (size_t next = 1; next < p->count; next = 2 * at + 1)
    {
      if (next + 1 < p->count && p->free_at[next + 1] < p->free_at[next])
        next++;
      if (p->free_at[next] >= value)
        break;
      p->free_at[at] = p->free_at[next];
      at = next;
    }
  p->free_at[at] = value;
}

/* Has the items of Q take their places ahead of the new job. */
static uint32_t
_jfc_places_fill (_jfc_places_t *p, const jfc_query_t *q)
{
  uint32_t ahead = 0;
  qsort (q->items, q->count, sizeof *q->items, _jfc_item_compare);
  for (size_t i = 0; i < q->count && ahead < JFC_ITEMS_MAX; i++)
    {
      const jfc_item_t *item = &q->items[i];
      if (!item->running
          && (item->due > q->due
              || jfc_is_late (item->due, (clk_ms_t)p->free_at[0],
                              item->remaining_ms)))
        continue;
      _jfc_place_take (p, item->remaining_ms);
      ahead++;
    }
  return ahead;
}

static clk_ms_t
_jfc_retry (double ms)
{
  return (clk_ms_t)fmin (fmax (ms, JFC_RETRY_MS_MIN), JFC_RETRY_MS_MAX);
}

jfc_forecast_t
jfc_forecast (const jfc_query_t *q, clk_ms_t now)
{
  jfc_forecast_t f
      = { .on_time = q->new_items, .width = _jfc_width (q->width) };
  if (q->pace == NULL)
    return f;
  f.age_ms = now - clk_min (q->pace->at, q->width->at);
  f.weight = fmin (fmin ((double)q->pace->runs / JFC_RUNS_FULL,
                         q->width->usual.ms / JFC_OBSERVED_FULL_MS),
                   1);
  if (f.age_ms < 0 || f.age_ms > JFC_AGE_MAX_MS || f.width < JFC_WIDTH_MIN)
    f.weight = 0;
  if (f.weight < 1)
    return f;
  _jfc_places_t p = { .count = (size_t)fmin (ceil (f.width), JFC_PLACES_MAX) };
  p.stretch = fmax ((double)p.count / f.width, 1);
  for (size_t i = 0; i < p.count; i++)
    p.free_at[i] = (double)now;
  f.ahead = _jfc_places_fill (&p, q);
  double needed = jfc_remaining_ms (q->pace, 0);
  f.on_time = 0;
  for (uint32_t i = 0; i < q->new_items; i++)
    {
      double start = p.free_at[0];
      bool late = jfc_is_late (q->due, (clk_ms_t)start, needed);
      f.on_time += !late;
      if (late && i == (q->new_items - 1) / 2)
        f.retry_ms
            = _jfc_retry (start + JFC_LATE_PART * needed - (double)q->due);
      _jfc_place_take (&p, needed);
    }
  return f;
}

bool
jfc_refuses (const jfc_forecast_t *f, uint32_t items)
{
  return (uint64_t)f->on_time * 2 < items;
}

/* -- giving way -----------------------------------------------------------
 */

bool
jfc_gives_way (const jfc_turn_t *t, clk_ms_t now, double remaining_ms,
               clk_ms_t left_ms)
{
  return now >= t->turn_until
         && (double)left_ms > JFC_LAST_PART * remaining_ms;
}

void
jfc_gave_way (jfc_turn_t *t, clk_ms_t now)
{
  if (t->since == 0 || now - t->last > JFC_YIELD_PAUSE_MS)
    t->since = now;
  t->last = now;
  if (now - t->since < JFC_YIELD_MS)
    return;
  t->turn_until = now + JFC_TURN_MS;
  t->since = 0;
}

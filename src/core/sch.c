#include "core/sch.h"

#include <glib.h>
#include <talloc.h>

#define SCH_MARGIN_MS_DEFAULT (10 * CLK_SECOND)
#define SCH_MEMORY_DEFAULT 64.0

struct sch
{
  sch_desc_t desc;
  GHashTable *service; /**< customer -> double, items per weight */
  double floor;        /**< least service of any customer that was ready */
};

static int
_sch_destroy (sch_t *s)
{
  g_hash_table_destroy (s->service);
  return 0;
}

sch_t *
sch_setup (void *ctx, const sch_desc_t *desc)
{
  sch_t *s = talloc_zero (ctx, sch_t);
  s->desc = *desc;
  if (s->desc.margin_ms == 0)
    s->desc.margin_ms = SCH_MARGIN_MS_DEFAULT;
  if (s->desc.memory <= 0)
    s->desc.memory = SCH_MEMORY_DEFAULT;
  s->service = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  talloc_set_destructor (s, _sch_destroy);
  return s;
}

void
sch_shutdown (sch_t *s)
{
  talloc_free (s);
}

/* A customer that was away counts as served almost as much as the least
 * served one, so that it cannot claim the time it was away. */
static double *
_sch_entry (sch_t *s, const char *customer)
{
  double *v = g_hash_table_lookup (s->service, customer);
  if (v == NULL)
    {
      v = g_new (double, 1);
      *v = s->floor;
      g_hash_table_insert (s->service, g_strdup (customer), v);
    }
  if (*v < s->floor - s->desc.memory)
    *v = s->floor - s->desc.memory;
  return v;
}

double
sch_service (const sch_t *s, const char *customer)
{
  const double *v = g_hash_table_lookup (s->service, customer);
  return v == NULL ? s->floor : *v;
}

void
sch_served (sch_t *s, const char *customer, double weight, double items)
{
  *_sch_entry (s, customer) += items / (weight > 0 ? weight : 1);
}

static clk_ms_t
_sch_due (const sch_job_t *j)
{
  return j->due == 0 ? CLK_NEVER : j->due;
}

/* Whether J is on time only if it is served now. */
static bool
_sch_is_urgent (const sch_t *s, clk_ms_t now, const sch_job_t *j)
{
  if (j->due == 0)
    return false;
  double slack = (double)(j->due - now) - j->need_ms;
  double margin = (double)s->desc.margin_ms;
  return slack < margin && slack > -margin;
}

static bool
_sch_fairer (sch_t *s, const sch_job_t *a, const sch_job_t *b)
{
  double sa = *_sch_entry (s, a->customer);
  double sb = *_sch_entry (s, b->customer);
  if (sa != sb)
    return sa < sb;
  return _sch_due (a) < _sch_due (b);
}

static bool
_sch_before (sch_t *s, clk_ms_t now, const sch_job_t *a, const sch_job_t *b)
{
  switch (s->desc.way)
    {
    case SCH_FIRST_COME:
      return false;
    case SCH_EARLIEST:
      return _sch_due (a) < _sch_due (b);
    case SCH_SLACK_FAIR:
      break;
    }
  bool ua = _sch_is_urgent (s, now, a);
  bool ub = _sch_is_urgent (s, now, b);
  if (ua != ub)
    return ua;
  if (ua)
    return _sch_due (a) < _sch_due (b);
  return _sch_fairer (s, a, b);
}

int
sch_pick (sch_t *s, clk_ms_t now, const sch_job_t *jobs, size_t count)
{
  int best = -1;
  double least = 0;
  for (size_t i = 0; i < count; i++)
    {
      if (!jobs[i].ready)
        continue;
      double v = *_sch_entry (s, jobs[i].customer);
      if (best < 0 || v < least)
        least = v;
      if (best < 0 || _sch_before (s, now, &jobs[i], &jobs[best]))
        best = (int)i;
    }
  if (best >= 0 && least > s->floor)
    s->floor = least;
  return best;
}

#include "core/sch.h"

#include <glib.h>
#include <talloc.h>

#define SCH_MARGIN_MS_DEFAULT (10 * CLK_SECOND)
#define SCH_MAX_SERVICE_GAP_DEFAULT 64.0

struct sch
{
  sch_desc_t desc;
  GHashTable *service; /**< customer -> double, items per weight */
  double min_service;  /**< least service of any customer that was ready */
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
  if (s->desc.max_service_gap <= 0)
    s->desc.max_service_gap = SCH_MAX_SERVICE_GAP_DEFAULT;
  s->service = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  talloc_set_destructor (s, _sch_destroy);
  return s;
}

void
sch_shutdown (sch_t *s)
{
  talloc_free (s);
}

/* The service of CUSTOMER.  A service more than max_service_gap below
 * min_service is raised to that bound, so that a customer without jobs does
 * not gain a claim to later service. */
static double *
_sch_service_get (sch_t *s, const char *customer)
{
  double *v = g_hash_table_lookup (s->service, customer);
  if (v == NULL)
    {
      v = g_new (double, 1);
      *v = s->min_service;
      g_hash_table_insert (s->service, g_strdup (customer), v);
    }
  if (*v < s->min_service - s->desc.max_service_gap)
    *v = s->min_service - s->desc.max_service_gap;
  return v;
}

double
sch_service (const sch_t *s, const char *customer)
{
  const double *v = g_hash_table_lookup (s->service, customer);
  return v == NULL ? s->min_service : *v;
}

void
sch_service_add (sch_t *s, const char *customer, double weight, double items)
{
  *_sch_service_get (s, customer) += items / (weight > 0 ? weight : 1);
}

static clk_ms_t
_sch_due (const sch_job_t *j)
{
  return j->due == 0 ? CLK_NEVER : j->due;
}

static bool
_sch_less_served (sch_t *s, const sch_job_t *a, const sch_job_t *b)
{
  double sa = *_sch_service_get (s, a->customer);
  double sb = *_sch_service_get (s, b->customer);
  if (sa != sb)
    return sa < sb;
  return _sch_due (a) < _sch_due (b);
}

static bool
_sch_before (sch_t *s, const sch_job_t *a, const sch_job_t *b)
{
  switch (s->desc.policy)
    {
    case SCH_FIRST_COME:
      return false;
    case SCH_EARLIEST_DUE:
      return _sch_due (a) < _sch_due (b);
    case SCH_SLACK_FAIR:
      break;
    }
  return _sch_less_served (s, a, b);
}

/* Sets ORDER to the ready jobs that have a due time, earliest first; returns
 * their count. */
static size_t
_sch_by_due (const sch_job_t *jobs, size_t count, size_t *order)
{
  size_t n = 0;
  for (size_t i = 0; i < count; i++)
    {
      if (!jobs[i].ready || jobs[i].due == 0)
        continue;
      size_t k = n++;
      for (; k > 0 && jobs[order[k - 1]].due > jobs[i].due; k--)
        order[k] = order[k - 1];
      order[k] = i;
    }
  return n;
}

/* Removes the jobs from ORDER that cannot be on time any more and returns the
 * count of the others.  Sets URGENT if one of these has nearly no slack. */
static size_t
_sch_check_slack (const sch_t *s, clk_ms_t now, const sch_job_t *jobs,
                  size_t *order, size_t n, bool *urgent)
{
  double margin = (double)s->desc.margin_ms;
  double need = 0;
  size_t kept = 0;
  *urgent = false;
  for (size_t i = 0; i < n; i++)
    {
      const sch_job_t *j = &jobs[order[i]];
      double slack = (double)(j->due - now) - need - j->need_ms;
      if (slack <= -margin)
        continue;
      need += j->need_ms;
      order[kept++] = order[i];
      *urgent = *urgent || slack < margin;
    }
  return kept;
}

/* The job that must come first to meet due times; -1: none. */
static int
_sch_urgent (sch_t *s, clk_ms_t now, const sch_job_t *jobs, size_t count,
             double least)
{
  size_t *order = talloc_array (NULL, size_t, count);
  size_t n = _sch_by_due (jobs, count, order);
  bool urgent;
  size_t kept = _sch_check_slack (s, now, jobs, order, n, &urgent);
  int first = -1;
  for (size_t i = 0; urgent && i < kept && first < 0; i++)
    {
      const sch_job_t *j = &jobs[order[i]];
      if (kept == n
          || *_sch_service_get (s, j->customer)
                 <= least + s->desc.max_service_gap)
        first = (int)order[i];
    }
  talloc_free (order);
  return first;
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
      double v = *_sch_service_get (s, jobs[i].customer);
      if (best < 0 || v < least)
        least = v;
      if (best < 0 || _sch_before (s, &jobs[i], &jobs[best]))
        best = (int)i;
    }
  if (best >= 0 && least > s->min_service)
    s->min_service = least;
  if (best < 0 || s->desc.policy != SCH_SLACK_FAIR)
    return best;
  int urgent = _sch_urgent (s, now, jobs, count, least);
  return urgent >= 0 ? urgent : best;
}

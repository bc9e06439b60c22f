#include "dst.h"

dst_t *
dst_setup (hst_t *h, GRand *rand, size_t vms)
{
  dst_t *d = g_new0 (dst_t, 1);
  d->h = h;
  d->rand = rand;
  d->vms = vms;
  d->spans = g_array_new (FALSE, FALSE, sizeof (dst_span_t));
  return d;
}

void
dst_shutdown (dst_t *d)
{
  g_array_unref (d->spans);
  g_free (d);
}

static size_t
_dst_below (const dst_t *d, size_t n)
{
  return (size_t)g_rand_int_range (d->rand, 0, (gint32)n);
}

void
dst_begin (dst_t *d)
{
  size_t vm = _dst_below (d, d->vms);
  clk_ms_t now = hst_now (d->h);
  if (d->until[vm] != 0)
    return;
  d->until[vm] = now + 300 + (clk_ms_t)_dst_below (d, 3500);
  dst_span_t s = { .vm = vm, .from = now, .to = d->until[vm] };
  g_array_append_val (d->spans, s);
  switch (_dst_below (d, 3))
    {
    case 0:
      hst_kill (d->h, vm);
      break;
    case 1:
      d->isolated[vm] = true;
      hst_isolate (d->h, vm, true);
      break;
    default:
      hst_freeze (d->h, vm, d->until[vm] - now);
      break;
    }
}

void
dst_recover (dst_t *d)
{
  for (size_t vm = 0; vm < d->vms; vm++)
    {
      if (d->until[vm] == 0 || hst_now (d->h) < d->until[vm])
        continue;
      if (d->isolated[vm])
        hst_isolate (d->h, vm, false);
      else if (!hst_runs (d->h, vm))
        hst_start (d->h, vm);
      d->isolated[vm] = false;
      d->until[vm] = 0;
    }
}

bool
dst_excused (const dst_t *d, size_t vm, clk_ms_t at, clk_ms_t ms)
{
  for (guint i = 0; i < d->spans->len; i++)
    {
      const dst_span_t *s = &g_array_index (d->spans, dst_span_t, i);
      if (s->vm == vm && at >= s->from && at < s->to + ms)
        return true;
    }
  return false;
}

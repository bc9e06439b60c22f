#include "routesim.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

bool
engine_faulty (const sim_t *s, int engine, fault_t fault)
{
  return engine == 0 && s->run.fault == fault && s->now >= FAULT_MS;
}

/** Uses PREFIX in the cache of E, evicts another prefix if the cache is full
 * and records the changes.  Returns true when PREFIX was cached. */
static bool
cache_touch (sim_t *s, engine_t *e, uint64_t prefix)
{
  void *p = GSIZE_TO_POINTER (prefix);
  bool hit = g_queue_remove (&e->cache, p);
  g_queue_push_tail (&e->cache, p);
  if (hit)
    return true;
  change_t add = { .prefix = prefix, .at = s->now, .added = true };
  g_array_append_val (e->changes, add);
  if (e->cache.length > CACHE_PREFIXES)
    {
      change_t drop
          = { .prefix = GPOINTER_TO_SIZE (g_queue_pop_head (&e->cache)),
              .at = s->now };
      g_array_append_val (e->changes, drop);
    }
  return false;
}

void
engine_start (sim_t *s, int i)
{
  engine_t *e = &s->engine[i];
  double slow = engine_faulty (s, i, SLOW) ? 4 : 1;
  while (e->running < SLOTS && e->waiting.length > 0)
    {
      request_t *q = g_queue_pop_head (&e->waiting);
      bool hit = cache_touch (s, e, q->prefix);
      e->running++;
      if (s->now > WARM_MS)
        {
          s->starts++;
          s->hits += hit;
        }
      e->prefill_free = clk_max (e->prefill_free, s->now)
                        + (clk_ms_t)((hit ? HIT_MS : MISS_MS) * slow);
      sim_at (s, e->prefill_free + HOP_MS, FIRST_BYTE, q->id.id);
      sim_at (s, e->prefill_free + 1 + (clk_ms_t)(q->decode * slow), FINISH,
              q->id.id);
    }
}

void
engine_sample (sim_t *s)
{
  for (int i = 0; i < s->run.engines; i++)
    {
      engine_t *e = &s->engine[i];
      if (engine_faulty (s, i, SILENT))
        e->sample[s->samples % SAMPLES]
            = e->sample[(s->samples + SAMPLES - 1) % SAMPLES];
      else if (!engine_faulty (s, i, FALSE_REPORT))
        {
          e->sample[s->samples % SAMPLES].running = e->running;
          e->sample[s->samples % SAMPLES].waiting = (int)e->waiting.length;
        }
      else
        memset (&e->sample[s->samples % SAMPLES], 0, sizeof e->sample[0]);
    }
  s->samples++;
  sim_at (s, s->now + SAMPLE_MS, SAMPLE, 0);
}

int
engine_reported (const sim_t *s, int i, int *waiting)
{
  long back = s->run.lag / SAMPLE_MS + 1;
  long n = s->samples > back ? s->samples - back : 0;
  *waiting = s->engine[i].sample[n % SAMPLES].waiting;
  return s->engine[i].sample[n % SAMPLES].running;
}

char *
engine_poll (sim_t *s, int i, const char *path)
{
  int waiting = 0;
  int running = engine_reported (s, i, &waiting);
  if (strcmp (path, "/load") == 0)
    return talloc_asprintf (s,
                            "{\"running\":%d,\"waiting\":%d,\"slots\":%d,"
                            "\"seq\":%ld,\"leaving\":false}",
                            running, waiting, SLOTS, s->samples);
  const char *after = strchr (path, '=');
  guint from = after != NULL ? (guint)strtoul (after + 1, NULL, 10) : 0;
  GArray *changes = s->engine[i].changes;
  char *list = talloc_strdup (s, "");
  guint n = from;
  for (; n < changes->len && n < from + 100; n++)
    {
      change_t c = g_array_index (changes, change_t, n);
      if (c.at > s->now - s->run.lag)
        break;
      if (g_rand_double (s->env[0]->rand) >= EVENT_LOSS)
        list = talloc_asprintf_append (
            list, "%s{\"seq\":%u,\"op\":\"%s\",\"prefix\":\"%llx\"}",
            *list ? "," : "", n + 1, c.added ? "add" : "drop",
            (unsigned long long)c.prefix);
    }
  char *body = talloc_asprintf (s, "{\"seq\":%u,\"events\":[%s]}", n, list);
  talloc_free (list);
  return body;
}

#include "engine.h"
#include "srv.h"

#include <string.h>
#include <talloc.h>

#define PREFIX_HEX 16 /* hex digits of the hash that identify a prefix */
#define PREFIX_CHARS 256
#define EVENT_NUM 1024
#define REPORT_NUM 1024
/** cache_events omits each event whose number is a multiple of this, as if the
 * event were lost. */
#define EVENT_GAP 17

typedef struct
{
  uint64_t seq;
  uint64_t at_ms;
  bool add;
  char prefix[17];
} event_t;

struct cache
{
  uint32_t capacity;
  uint64_t lag_ms;
  GQueue *prefixes; /**< hex strings, newest first */
  uint64_t seq;
  event_t events[EVENT_NUM];
};

cache_t *
cache_setup (void *ctx, uint32_t capacity, uint64_t lag_ms)
{
  cache_t *c = talloc_zero (ctx, cache_t);
  c->capacity = capacity;
  c->lag_ms = lag_ms;
  c->prefixes = g_queue_new ();
  return c;
}

static void
_cache_event_add (cache_t *c, bool add, const char *prefix)
{
  event_t *e = &c->events[++c->seq % EVENT_NUM];
  *e = (event_t){ .seq = c->seq, .at_ms = srv_now_ms (), .add = add };
  g_strlcpy (e->prefix, prefix, sizeof e->prefix);
}

bool
cache_use (cache_t *c, const char *prompt)
{
  char *digest
      = g_compute_checksum_for_data (G_CHECKSUM_SHA256, (const guchar *)prompt,
                                     strnlen (prompt, PREFIX_CHARS));
  digest[PREFIX_HEX] = '\0';
  GList *found
      = g_queue_find_custom (c->prefixes, digest, (GCompareFunc)strcmp);
  if (found)
    {
      g_queue_unlink (c->prefixes, found);
      g_queue_push_head_link (c->prefixes, found);
      g_free (digest);
      return true;
    }
  if (c->capacity == 0)
    {
      g_free (digest);
      return false;
    }
  if (g_queue_get_length (c->prefixes) >= c->capacity)
    {
      char *oldest = g_queue_pop_tail (c->prefixes);
      _cache_event_add (c, false, oldest);
      g_free (oldest);
    }
  g_queue_push_head (c->prefixes, digest);
  _cache_event_add (c, true, digest);
  return false;
}

json_t *
cache_events (const cache_t *c, uint64_t after)
{
  uint64_t now = srv_now_ms ();
  uint64_t first = c->seq > EVENT_NUM ? c->seq - EVENT_NUM + 1 : 1;
  uint64_t seen = after;
  json_t *list = json_array ();
  for (uint64_t seq = after + 1 > first ? after + 1 : first; seq <= c->seq;
       seq++)
    {
      const event_t *e = &c->events[seq % EVENT_NUM];
      if (e->at_ms + c->lag_ms > now)
        break;
      seen = seq;
      if (seq % EVENT_GAP == 0)
        continue;
      json_array_append_new (
          list, json_pack ("{s:I, s:s, s:s}", "seq", (json_int_t)seq, "op",
                           e->add ? "add" : "drop", "prefix", e->prefix));
    }
  return json_pack ("{s:I, s:o}", "seq", (json_int_t)seen, "events", list);
}

/* Load reports */

typedef struct
{
  uint64_t at_ms;
  uint32_t running;
  uint32_t waiting;
} sample_t;

struct report
{
  uint64_t lag_ms;
  uint64_t seq;
  sample_t samples[REPORT_NUM];
};

report_t *
report_setup (void *ctx, uint64_t lag_ms)
{
  report_t *r = talloc_zero (ctx, report_t);
  r->lag_ms = lag_ms;
  return r;
}

void
report_put (report_t *r, uint32_t running, uint32_t waiting)
{
  uint64_t now = srv_now_ms ();
  sample_t *last = &r->samples[r->seq % REPORT_NUM];
  if (r->seq == 0 || last->at_ms != now)
    last = &r->samples[++r->seq % REPORT_NUM];
  *last = (sample_t){ .at_ms = now, .running = running, .waiting = waiting };
}

json_t *
report_get (const report_t *r)
{
  uint64_t now = srv_now_ms ();
  uint64_t seq = r->seq;
  while (seq > 0 && r->seq - seq < REPORT_NUM - 1
         && r->samples[seq % REPORT_NUM].at_ms + r->lag_ms > now)
    seq--;
  const sample_t *s = &r->samples[seq % REPORT_NUM];
  sample_t idle = { .at_ms = now };
  if (seq == 0)
    s = &idle;
  return json_pack ("{s:i, s:i, s:I, s:I}", "running", (int)s->running,
                    "waiting", (int)s->waiting, "seq", (json_int_t)seq,
                    "at_ms_ago", (json_int_t)r->lag_ms);
}

#include "core/tln.h"

#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <talloc.h>

#define TLN_RECORDS_DEFAULT 512
#define TLN_INITIAL_CAPACITY 16

struct tln
{
  tln_record_t *ring;
  size_t size;      /**< maximum number of records */
  size_t capacity;  /**< number of records allocated */
  size_t count;     /**< number of records in the ring */
  size_t first;     /**< index of the oldest record */
  uint64_t total;   /**< number of records appended so far */
  tln_stamp_t last; /**< latest stamp of a record or message */
  clk_ms_t unix_offset_ms;
};

tln_t *
tln_setup (void *ctx, const tln_desc_t *desc)
{
  tln_t *t = talloc_zero (ctx, tln_t);
  t->size = desc->records == 0 ? TLN_RECORDS_DEFAULT : desc->records;
  t->unix_offset_ms = desc->unix_offset_ms;
  return t;
}

void
tln_shutdown (tln_t *t)
{
  talloc_free (t);
}

tln_stamp_t
tln_stamp_send (tln_t *t, clk_ms_t now)
{
  clk_ms_t unix_ms = now + t->unix_offset_ms;
  if (unix_ms > t->last.ms)
    t->last = (tln_stamp_t){ .ms = unix_ms };
  else
    t->last.count++;
  return t->last;
}

void
tln_stamp_receive (tln_t *t, clk_ms_t now, tln_stamp_t stamp)
{
  if (stamp.ms > t->last.ms
      || (stamp.ms == t->last.ms && stamp.count > t->last.count))
    t->last = stamp;
  (void)tln_stamp_send (t, now);
}

static tln_record_t *
_tln_next_record (tln_t *t)
{
  if (t->count == t->size)
    {
      tln_record_t *r = &t->ring[t->first];
      t->first = (t->first + 1) % t->size;
      return r;
    }
  if (t->count == t->capacity)
    {
      t->capacity = t->capacity == 0 ? TLN_INITIAL_CAPACITY : 2 * t->capacity;
      t->capacity = t->capacity < t->size ? t->capacity : t->size;
      t->ring = talloc_realloc (t, t->ring, tln_record_t, t->capacity);
    }
  return &t->ring[t->count++];
}

void
tln_record (tln_t *t, clk_ms_t now, mod_t mod, const char *event,
            const char *format, ...)
{
  tln_record_t *r = _tln_next_record (t);
  t->total++;
  r->stamp = tln_stamp_send (t, now);
  r->mod = mod;
  r->event = event;
  va_list args;
  va_start (args, format);
  (void)vsnprintf (r->detail, sizeof r->detail, format, args);
  va_end (args);
}

uint64_t
tln_total (const tln_t *t)
{
  return t->total;
}

size_t
tln_count (const tln_t *t)
{
  return t->count;
}

const tln_record_t *
tln_get (const tln_t *t, size_t i)
{
  return &t->ring[(t->first + i) % t->size];
}

char *
tln_format (void *ctx, const tln_t *t, const char *vm)
{
  json_t *array = json_array ();
  for (size_t i = 0; i < t->count; i++)
    {
      const tln_record_t *r = tln_get (t, i);
      json_array_append_new (
          array, json_pack ("{s:s, s:I, s:i, s:s, s:s, s:s}", "vm", vm, "ms",
                            (json_int_t)r->stamp.ms, "count",
                            (int)r->stamp.count, "module", mod_name (r->mod),
                            "what", r->event, "detail", r->detail));
    }
  char *dump = json_dumps (array, JSON_COMPACT | JSON_ENSURE_ASCII);
  char *text = talloc_strdup (ctx, dump == NULL ? "[]" : dump);
  free (dump);
  json_decref (array);
  return text;
}

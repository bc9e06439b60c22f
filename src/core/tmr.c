#include "core/tmr.h"

#include <talloc.h>

struct tmr
{
  tmr_due_t *heap;
  size_t count;
  size_t capacity;
  uint64_t seq;
};

tmr_t *
tmr_setup (void *ctx)
{
  return talloc_zero (ctx, tmr_t);
}

void
tmr_shutdown (tmr_t *t)
{
  talloc_free (t);
}

static bool
_tmr_before (const tmr_due_t *a, const tmr_due_t *b)
{
  return a->at != b->at ? a->at < b->at : a->seq < b->seq;
}

void
tmr_arm (tmr_t *t, clk_ms_t at, mod_t mod, uint64_t tag)
{
  if (t->count == t->capacity)
    {
      t->capacity = t->capacity == 0 ? 16 : 2 * t->capacity;
      t->heap = talloc_realloc (t, t->heap, tmr_due_t, t->capacity);
    }
  tmr_due_t due = { .at = at, .mod = mod, .tag = tag, .seq = t->seq++ };
  size_t i = t->count++;
  while (i > 0 && _tmr_before (&due, &t->heap[(i - 1) / 2]))
    {
      t->heap[i] = t->heap[(i - 1) / 2];
      i = (i - 1) / 2;
    }
  t->heap[i] = due;
}

clk_ms_t
tmr_next (const tmr_t *t)
{
  return t->count == 0 ? CLK_NEVER : t->heap[0].at;
}

static size_t
_tmr_earlier_child (const tmr_t *t, size_t i)
{
  size_t child = 2 * i + 1;
  if (child + 1 < t->count
      && _tmr_before (&t->heap[child + 1], &t->heap[child]))
    child++;
  return child;
}

bool
tmr_pop (tmr_t *t, clk_ms_t now, tmr_due_t *due)
{
  if (t->count == 0 || t->heap[0].at > now)
    return false;
  *due = t->heap[0];
  tmr_due_t last = t->heap[--t->count];
  size_t i = 0;
  for (size_t child = _tmr_earlier_child (t, i);
       child < t->count && _tmr_before (&t->heap[child], &last);
       child = _tmr_earlier_child (t, i))
    {
      t->heap[i] = t->heap[child];
      i = child;
    }
  t->heap[i] = last;
  return true;
}

#include "batbed_int.h"

#include <string.h>
#include <talloc.h>

/* -- faults --------------------------------------------------------------- */

void
batbed_kill (batbed_t *bed, uint32_t vm)
{
  if (!bed->vm[vm].up)
    return;
  bed_stop_vm (&bed->vm[vm]);
  bed_members_schedule (bed, BED_VM_LIST_DELAY_MS);
}

void
batbed_restart (batbed_t *bed, uint32_t vm)
{
  if (bed->vm[vm].up)
    return;
  bed_start (bed, vm);
  bed_members_schedule (bed, BED_VM_LIST_DELAY_MS);
}

void
batbed_freeze (batbed_t *bed, uint32_t vm, clk_ms_t duration)
{
  bed->vm[vm].frozen_until = bed->now + duration;
}

void
batbed_partition (batbed_t *bed, uint32_t vm, clk_ms_t duration)
{
  bed->vm[vm].partitioned_until = bed->now + duration;
  bed_members_schedule (bed, BED_VM_LIST_DELAY_MS);
  for (uint32_t i = 0; i < bed->desc.vms; i++)
    bed_event_add (bed,
                   bed_event (bed, bed->now + duration + 1, BED_MEMBERS, i));
}

void
batbed_outage (batbed_t *bed, clk_ms_t duration)
{
  bed->outage_until = bed->now + duration;
}

void
batbed_leave (batbed_t *bed, uint32_t index)
{
  bed_vm_t *vm = &bed->vm[index];
  if (!vm->up)
    return;
  vm->env->now = bed->now;
  bat_leave (vm->bat, vm->env);
  bed_effects_run (bed, vm);
}

void
batbed_faults_end (batbed_t *bed)
{
  bed->healed = true;
  bed->outage_until = 0;
  for (uint32_t i = 0; i < bed->desc.vms; i++)
    {
      bed->vm[i].partitioned_until = 0;
      bed->vm[i].frozen_until
          = clk_min (bed->vm[i].frozen_until, bed->now + CLK_SECOND);
      batbed_restart (bed, i);
    }
}

void
batbed_forbid_starts (batbed_t *bed, const char *job)
{
  g_hash_table_add (bed->forbidden, g_strdup (job));
}

typedef struct
{
  const char *prefix;
  bool found;
} _bed_search_t;

static gboolean
_bed_search_visit (void *name, void *object, void *data)
{
  (void)object;
  _bed_search_t *h = data;
  h->found = strncmp (name, h->prefix, strlen (h->prefix)) == 0;
  return h->found;
}

bool
batbed_has_object (const batbed_t *bed, const char *prefix)
{
  _bed_search_t h = { .prefix = prefix };
  g_tree_foreach (bed->objects, _bed_search_visit, &h);
  return h.found;
}

void
batbed_fault_at (batbed_t *bed, uint32_t vm, unsigned nth,
                 batbed_fault_t fault, clk_ms_t duration)
{
  bed->fault_vm = vm;
  bed->fault_countdown = nth;
  bed->fault = fault;
  bed->fault_ms = duration;
  bed->fault_done = false;
}

bool
batbed_fault_done (const batbed_t *bed)
{
  return bed->fault_done;
}

static gboolean
_bed_corrupt_visit (void *name, void *object, void *data)
{
  bed_object_t *o = object;
  if (strncmp (name, data, strlen (data)) == 0)
    o->value = buf_str (talloc_strdup (o, "not ours\n"));
  return FALSE;
}

void
batbed_corrupt (batbed_t *bed, const char *prefix)
{
  g_tree_foreach (bed->objects, _bed_corrupt_visit, (void *)prefix);
}

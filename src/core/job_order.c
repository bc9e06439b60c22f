/** @file
 * Order of items: which item starts next, and which run is preempted first.
 *
 * An item that can still be on time comes before one that cannot, so that a
 * backlog does not make further jobs late.  Then the earliest due time comes
 * first, and within a job the item with the most events.  Whether an item can
 * be on time follows from the mean length and speed of the items that have
 * been completed on the same route; until one has been, only the due time
 * counts.  Times are in ms.
 */
#include "core/job_int.h"

#include <string.h>
#include <talloc.h>

/** Place of an item in the order. */
typedef struct
{
  bool late; /**< it is not expected to be on time */
  clk_ms_t due;
  uint64_t last_event;
} _job_place_t;

clk_ms_t
job_due (const job_set_t *j, const job_t *job)
{
  return job->rec->arrived - j->desc.unix_offset_ms + job->rec->due_ms;
}

double
job_remaining_ms (const job_set_t *j, const job_t *job, uint32_t index)
{
  return jfc_remaining_ms (g_hash_table_lookup (j->paces, job->rec->path),
                           job->items[index].last_event);
}

bool
job_item_is_late (const job_set_t *j, const env_t *env, const job_t *job,
                  uint32_t index)
{
  return jfc_is_late (job_due (j, job), env->now,
                      job_remaining_ms (j, job, index));
}

static _job_place_t
_job_place (const job_set_t *j, const env_t *env, const job_t *job,
            uint32_t index)
{
  return (_job_place_t){ .late = job_item_is_late (j, env, job, index),
                         .due = job_due (j, job),
                         .last_event = job->items[index].last_event };
}

static bool
_job_place_before (const _job_place_t *a, const _job_place_t *b)
{
  if (a->late != b->late)
    return b->late;
  if (a->due != b->due)
    return a->due < b->due;
  return a->last_event > b->last_event;
}

bool
job_item_body (const job_t *job, const job_rec_item_t *item, buf_t *body)
{
  *body = (buf_t){ .p = "", .n = 0 };
  if (item->length == 0)
    return true;
  buf_t part
      = item->part < job->rec->parts ? job->bodies[item->part] : (buf_t){ 0 };
  if (part.p == NULL || (size_t)item->offset + item->length > part.n)
    return false;
  *body = (buf_t){ .p = part.p + item->offset, .n = item->length };
  return true;
}

/* Whether item INDEX of JOB can start now. */
static bool
_job_item_startable (const env_t *env, const job_t *job, uint32_t index)
{
  buf_t body;
  return job->items[index].state == JOB_ITEM_WAITING
         && env->now >= job->items[index].not_before
         && job_item_body (job, &job->rec->items[index], &body);
}

job_t *
job_order_next (job_set_t *j, const env_t *env, uint32_t *index)
{
  job_t *best = NULL;
  _job_place_t first = { .late = true };
  for (tbl_id_t id = tbl_next (j->jobs, (tbl_id_t){ 0 }); id.id != 0;
       id = tbl_next (j->jobs, id))
    {
      job_t *job = tbl_get (j->jobs, id);
      if (!job->runs_here || job->waiting == 0 || job->rec->ended
          || job->end_wanted || job->bodies == NULL)
        continue;
      for (uint32_t i = 0; i < job->rec->item_count; i++)
        {
          if (!_job_item_startable (env, job, i)
              || job_item_is_behind_full (j, job, i))
            continue;
          _job_place_t place = _job_place (j, env, job, i);
          if (best != NULL && !_job_place_before (&place, &first))
            continue;
          best = job;
          first = place;
          *index = i;
        }
    }
  return best;
}

/* Whether RUN shows whether upstreams bear its item; there are few tries. */
static bool
_job_run_is_trial (const job_set_t *j, const job_t *job, const job_run_t *run)
{
  return j->desc.crashes != NULL
         && crs_is_permitted (j->desc.crashes, MOD_JOB,
                              job_item_tag (job, run->item));
}

job_run_t *
job_order_last_run (const job_set_t *j, const env_t *env, const char *upstream)
{
  job_run_t *last = NULL;
  _job_place_t last_place = { .late = false };
  for (tbl_id_t id = tbl_next (j->runs, (tbl_id_t){ 0 }); id.id != 0;
       id = tbl_next (j->runs, id))
    {
      job_run_t *run = tbl_get (j->runs, id);
      const job_t *job = tbl_get (j->jobs, run->job);
      if (strcmp (run->upstream, upstream) != 0
          || _job_run_is_trial (j, job, run))
        continue;
      _job_place_t place = _job_place (j, env, job, run->item);
      if (last != NULL && !_job_place_before (&last_place, &place))
        continue;
      last = run;
      last_place = place;
    }
  return last;
}

void
job_order_learn (job_set_t *j, const env_t *env, const job_t *job,
                 const job_run_t *run)
{
  uint64_t events = job->items[run->item].last_event;
  if (events <= run->resumed_after)
    return;
  jfc_pace_t *pace = g_hash_table_lookup (j->paces, job->rec->path);
  if (pace == NULL)
    {
      pace = g_new0 (jfc_pace_t, 1);
      g_hash_table_insert (j->paces, g_strdup (job->rec->path), pace);
    }
  jfc_pace_add (pace, env->now, (double)events,
                (double)(env->now - run->started)
                    / (double)(events - run->resumed_after));
}

/** @file
 * Order of batch jobs: one pool of slots serves items in the order that the
 * scheduler (sch.h) chooses, under each of its policies.
 *
 * `mixed`: one customer has a job of 340,000 items, due after 5/4 of the time
 * that the job needs alone; ten jobs of ten items from other customers arrive
 * during the run, each due 30 s after its arrival.
 * `crowded`: the same, and one more customer sends a job of 10,000 items, due
 * in 60 s, every 20 s for 300 s.  This is more than the whole capacity, so
 * that some jobs must be late.
 */
#include "core/sch.h"
#include "mb.h"

#include <glib.h>
#include <string.h>

#define SLOTS 200
#define ITEM_MS 500 /* with 200 slots, 400 items a second */
#define BIG_ITEMS 340000
#define SMALL_JOBS 10
#define SMALL_ITEMS 10
#define SMALL_DUE_MS (30 * CLK_SECOND)
#define CROWD_JOBS 15
#define CROWD_ITEMS 10000
#define CROWD_DUE_MS (60 * CLK_SECOND)
#define CROWD_EVERY_MS (20 * CLK_SECOND)
#define CROWD_FROM_MS (100 * CLK_SECOND)
#define TICK_MS 10 /* step of the simulation */
#define JOBS_MAX (1 + SMALL_JOBS + CROWD_JOBS)

typedef struct
{
  char customer[16];
  clk_ms_t from; /* arrival */
  clk_ms_t due;
  uint32_t items;
  uint32_t started; /* items started so far */
  clk_ms_t ended;   /* end of the last item */
} job_t;

typedef struct
{
  job_t jobs[JOBS_MAX];
  size_t count;
} workload_t;

static void
job_add (workload_t *w, const char *customer, clk_ms_t from, clk_ms_t due,
         uint32_t items)
{
  job_t *j = &w->jobs[w->count++];
  *j = (job_t){ .from = from, .due = due, .items = items };
  g_strlcpy (j->customer, customer, sizeof j->customer);
}

static workload_t
workload_make (bool crowded)
{
  workload_t w = { 0 };
  clk_ms_t min_duration = (clk_ms_t)BIG_ITEMS * ITEM_MS / SLOTS;
  job_add (&w, "large", 0, min_duration * 5 / 4, BIG_ITEMS);
  for (int i = 0; i < SMALL_JOBS; i++)
    {
      char name[16];
      g_snprintf (name, sizeof name, "small-%d", i % 6);
      clk_ms_t from = 5 * CLK_SECOND + i * CLK_MINUTE;
      job_add (&w, name, from, from + SMALL_DUE_MS, SMALL_ITEMS);
    }
  for (int i = 0; crowded && i < CROWD_JOBS; i++)
    {
      clk_ms_t from = CROWD_FROM_MS + i * CROWD_EVERY_MS;
      job_add (&w, "crowd", from, from + CROWD_DUE_MS, CROWD_ITEMS);
    }
  return w;
}

/* Gives each slot that is free in this tick to the job that the scheduler
 * picks. */
static void
slots_assign (workload_t *w, sch_t *s, clk_ms_t now, int free_slots)
{
  sch_job_t list[JOBS_MAX];
  double rate = (double)SLOTS / ITEM_MS;
  for (size_t i = 0; i < w->count; i++)
    {
      const job_t *j = &w->jobs[i];
      list[i]
          = (sch_job_t){ .customer = j->customer,
                         .weight = 1,
                         .due = j->due,
                         .need_ms = (j->items - j->started) / rate,
                         .ready = now >= j->from && j->started < j->items };
    }
  for (; free_slots > 0; free_slots--)
    {
      int i = sch_pick (s, now, list, w->count);
      if (i < 0)
        return;
      job_t *j = &w->jobs[i];
      sch_service_add (s, j->customer, 1, 1);
      j->started++;
      list[i].ready = j->started < j->items;
      if (!list[i].ready)
        j->ended = now + ITEM_MS;
    }
}

static void
workload_run (workload_t *w, sch_policy_t policy)
{
  sch_t *s = sch_setup (NULL, &(sch_desc_t){ .policy = policy });
  /* Items end evenly, so this many slots become free in each tick. */
  int each = SLOTS * TICK_MS / ITEM_MS;
  bool busy = true;
  for (clk_ms_t now = 0; busy; now += TICK_MS)
    {
      slots_assign (w, s, now, each);
      busy = false;
      for (size_t i = 0; i < w->count; i++)
        busy = busy || w->jobs[i].started < w->jobs[i].items;
    }
  sch_shutdown (s);
}

static double
lateness_s (const job_t *j)
{
  return j->ended > j->due ? (double)(j->ended - j->due) / CLK_SECOND : 0;
}

static void
figures_print (FILE *csv, const char *mix, const char *policy,
               const workload_t *w)
{
  unsigned late_jobs = 0;
  double small = 0;
  double small_time = 0;
  double crowd = 0;
  const job_t *worst = &w->jobs[0];
  for (size_t i = 0; i < w->count; i++)
    {
      const job_t *j = &w->jobs[i];
      late_jobs += lateness_s (j) > 0;
      if (lateness_s (j) > lateness_s (worst))
        worst = j;
      if (strncmp (j->customer, "small", 5) == 0)
        {
          small = MAX (small, lateness_s (j));
          small_time
              = MAX (small_time, (double)(j->ended - j->from) / CLK_SECOND);
        }
      else if (strcmp (j->customer, "crowd") == 0)
        crowd = MAX (crowd, lateness_s (j));
    }
  const char *name = late_jobs == 0 ? "-" : worst->customer;
  printf ("| %s | %s | %u of %zu | %.1f | %.1f | %.1f | %.1f | %s |\n", mix,
          policy, late_jobs, w->count, lateness_s (&w->jobs[0]), small,
          small_time, crowd, name);
  fprintf (csv, "order,%s,%s,%u,%zu,%.1f,%.1f,%.1f,%.1f,%s\n", mix, policy,
           late_jobs, w->count, lateness_s (&w->jobs[0]), small, small_time,
           crowd, name);
}

void
mb_order_run (FILE *csv)
{
  static const struct
  {
    sch_policy_t policy;
    const char *name;
  } policies[] = {
    { SCH_FIRST_COME, "first come" },
    { SCH_EARLIEST_DUE, "earliest due" },
    { SCH_SLACK_FAIR, "slack and fair" },
  };
  printf ("| mix | order | late jobs | large job late, s | small jobs: "
          "latest, s | longest, s | crowd: latest, s | worst-served |\n"
          "|---|---|---|---|---|---|---|---|\n");
  for (int crowded = 0; crowded < 2; crowded++)
    {
      for (size_t i = 0; i < G_N_ELEMENTS (policies); i++)
        {
          workload_t w = workload_make (crowded == 1);
          workload_run (&w, policies[i].policy);
          figures_print (csv, crowded ? "crowded" : "mixed", policies[i].name,
                         &w);
        }
    }
}

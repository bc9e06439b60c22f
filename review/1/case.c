/* Store machines are replaced one after the other; then items of accepted jobs
 * are not run, as VMs take machines that are gone for the ones that run them.
 * As many machines as kvist-fit has. */
#include "../common/stand.h"

#define ENTRIES 8
#define WORKERS 3
#define REPLACED 10
#define GAP_MS 1000     /* until the new machine starts: x = 1 */
#define CATCH_UP_MS 4500 /* catchUpS, in which a machine counts as lost */
#define JOBS 20
#define ITEMS 5
#define FINISH_MS 18000

static sd_vm_t *entry[ENTRIES], *worker[WORKERS];
static volatile long long ran_ms;

static void
on_ran (const char *id, bool whole)
{
  (void)id;
  (void)whole;
  ran_ms = sd_ms ();
}

/* One store machine is gone for good, and an empty one comes. */
static void
replace (int i, int number)
{
  char name[64];
  sd_vm_t *old = worker[i];
  sd_vm_kill (old);
  sd_note ("machine of %s is gone for good", old->name);
  sd_sleep (GAP_MS);
  snprintf (name, sizeof name, "storage-%s-%d", old->zone, number);
  worker[i] = sd_vm_start (name, old->zone, true, 0);
}

int
main (int argc, char **argv)
{
  static const char *const zones[] = { "north", "south" };
  char text[100];
  sd_begin (argc, argv);
  sd_store_start ();
  sd_on_ran = on_ran;
  sd_configure (1, 940000);
  for (int i = 0; i < 9; i++)
    {
      snprintf (text, sizeof text, "i-%04d", i);
      (void)sd_replica_start (text, zones[i % 2], "v1");
    }
  for (int i = 0; i < WORKERS; i++)
    {
      snprintf (text, sizeof text, "storage-%s-%d", zones[i % 2], i);
      worker[i] = sd_vm_start (text, zones[i % 2], true, 0);
    }
  for (int i = 0; i < ENTRIES; i++)
    {
      snprintf (text, sizeof text, "edge-%s-%d", zones[i % 2], i);
      entry[i] = sd_vm_start (text, zones[i % 2], false, 0);
    }
  for (int i = 0; i < ENTRIES; i++)
    if (!sd_vm_ready (entry[i], 15000))
      sd_finish (2, "the VMs are not ready");
  sd_sleep (2000);
  for (int n = 0; n < REPLACED; n++)
    {
      if (sd_trouble)
        replace (n % WORKERS, WORKERS + n);
      else
        sd_sleep (GAP_MS);
      sd_sleep (CATCH_UP_MS);
    }
  for (int i = 0; i < JOBS; i++)
    {
      snprintf (text, sizeof text, "7c41%04d", i);
      char *body = sd_job_body (text, ITEMS, 654);
      sd_answer_t a = sd_submit (entry[i % ENTRIES]->front, text, body, 4000);
      sd_note ("client: job %s at %s: %d", text, entry[i % ENTRIES]->name,
               a.status);
      if (a.status != 202)
        sd_finish (2, "a job was not accepted");
      sd_msg_free (&a.m);
      free (body);
      sd_sleep (100);
    }
  sd_note ("client: traffic has ended");
  sd_sleep (FINISH_MS);
  long long idle = sd_ms () - ran_ms;
  int missing = 0;
  for (int i = 0; i < JOBS; i++)
    {
      int status;
      snprintf (text, sizeof text, "7c41%04d", i);
      json_t *root
          = sd_results_now (entry[i % ENTRIES]->front, text, 0, &status);
      int n = (int)json_array_size (json_object_get (root, "results"));
      json_decref (root);
      if (n < ITEMS)
        sd_note ("check: job %s: %d of %d items are listed (read: %d): LOST is "
                 "broken",
                 text, n, ITEMS, status);
      missing += ITEMS - n;
    }
  sd_note ("check: %d of %d items are not listed when finishS is over; no "
           "replica has had an item for %lld ms",
           missing, JOBS * ITEMS, idle);
  if (missing == 0)
    sd_finish (0, "all items are listed");
  if (idle < 5000)
    sd_finish (0, "items are missing, but replicas had work in the last 5 s");
  sd_finish (1, "items of accepted jobs are not run");
}

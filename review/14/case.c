/* A storage machine is added.  It runs items of batch jobs at once, but the
 * other machines know of it only seconds later and do not tell it of the end
 * of a job; what it reads in the store may be seconds old.  So it goes on to
 * start items of jobs whose end was acknowledged. */
#include "site.h"

#include <signal.h>

#define JOBS 64
#define ITEMS 10
#define CANCEL_MS 3000
#define CONTACT_MS 3000
/* "may return data that is seconds old" */
#define STALE_MS 3000

static _Atomic long long ack_at[JOBS]; /* of the job's end; 0: none */
static atomic_int runs[JOBS], late[JOBS], unexcused;
static _Atomic long long added_at;
static vm_t vms[4];

static void
item_runs (replica_t *r, const char *id, req_t *q)
{
  char number[14];
  (void)q;
  if (strncmp (id, "job", 3) != 0)
    return;
  snprintf (number, sizeof number, "%.13s", id + 3);
  int k = atoi (number);
  if (k < 0 || k >= JOBS)
    return;
  runs[k]++;
  long long since = ack_at[k] == 0 ? -1 : now_ms () - ack_at[k];
  if (since > CANCEL_MS)
    {
      late[k]++;
      /* The machines that were there before are in touch all the while; the
       * new one is CONTACT_MS after its start. */
      if (added_at == 0 || now_ms () > added_at + CONTACT_MS)
        unexcused++;
      rec ("item %s begins to run at %s, %lld ms after the end of its job was "
           "acknowledged",
           id, r->id, since);
    }
}

int
main (int argc, char **argv)
{
  static replica_t replicas[4];
  world_begin (argc > 1 ? argv[1] : ".", 110);
  on_run = item_runs;
  store_stale_ms = STALE_MS;
  store_begin ();
  store_put ("config", "main", site_config (1));
  for (int i = 0; i < 4; i++)
    {
      replicas[i] = (replica_t){
        .slots = 8, .event_ms = 25, .first_ms = 20, .events = 40
      };
      snprintf (replicas[i].id, sizeof replicas[i].id, "rep-%d", i);
      snprintf (replicas[i].zone, sizeof replicas[i].zone, "zone-%c",
                'a' + i % 2);
      snprintf (replicas[i].service, sizeof replicas[i].service, "llm");
      replica_begin (&replicas[i]);
    }
  vm_prepare (&vms[0], "edge-a-1", "zone-a", false, "");
  vm_prepare (&vms[1], "edge-b-1", "zone-b", false, "");
  vm_prepare (&vms[2], "storage-a-1", "zone-a", true, "");
  vm_prepare (&vms[3], "storage-b-1", "zone-b", true, "");
  for (int i = 0; i < 3; i++)
    vm_start (&vms[i]);
  for (int i = 0; i < 2; i++)
    if (!vm_ready_within (&vms[i], 15000))
      finish (2, "%s is not ready", vms[i].name);
  pause_ms (12000);
  for (int k = 0; k < JOBS; k++)
    {
      char id[40];
      size_t n;
      snprintf (id, sizeof id, "job%013d", k);
      char *text = site_job (id, ITEMS, 300, 603, &n);
      int status = site_submit (vms[k % 2].front, 0, id, text, n, 4000);
      rec ("job %s with %d items: %d", id, ITEMS, status);
      free (text);
      if (status != 202)
        finish (2, "job %s was answered %d", id, status);
    }
  pause_ms (2000);
  if (trouble)
    {
      rec ("a storage machine is added");
      vm_start (&vms[3]);
      added_at = now_ms ();
    }
  pause_ms (1000);
  int ended = 0;
  /* The tenant ends its jobs. */
  for (int k = 0; k < JOBS; k++)
    {
      char id[40];
      snprintf (id, sizeof id, "job%013d", k);
      int status = site_end (vms[k % 2].front, 0, id);
      if (status == 200)
        {
          ack_at[k] = now_ms ();
          ended++;
        }
      rec ("end of job %s: %d after %d runs of its items", id, status,
           runs[k]);
      pause_ms (45);
    }
  pause_ms (9000);
  int total = 0, jobs = 0;
  for (int k = 0; k < JOBS; k++)
    {
      if (ack_at[k] != 0)
        rec ("job %d: %d runs, %d of them began later than %d ms after its end",
             k, runs[k], late[k], CANCEL_MS);
      total += late[k];
      jobs += late[k] > 0;
    }
  if (ended == 0)
    finish (2, "no job was ended");
  finish (unexcused > 0 ? 1 : 0,
          "%d jobs ended; %d runs of items of %d jobs began later than "
          "cancelMs after the acknowledgement, %d by machines in touch",
          ended, total, jobs, unexcused);
}

/* A job that is refused with 503 at the caller's last attempt, because the VM
 * stood still, runs all the same. */
#include "../common/stand.h"

#define TOKENS_MOST 3000
static sd_vm_t *entry_a, *entry_b;
static char watched[64];        /* job whose record is awaited */
static volatile bool seen;      /* its write has reached the store */
static volatile int runs[64];   /* of items of watched jobs, by round */

static void
on_write (const char *method, const char *kind, const char *name)
{
  if (strcmp (method, "POST") == 0 && strcmp (kind, "jobs") == 0
      && strcmp (name, watched) == 0 && !seen)
    {
      seen = true;
      if (sd_trouble)
        sd_vm_signal (entry_a, SIGSTOP, "stopped (SIGSTOP)");
    }
}

static void
on_run (sd_replica_t *r, const sd_msg_t *m, const char *id)
{
  (void)r;
  (void)m;
  int round;
  if (sscanf (id, "job%d-", &round) == 1 && round >= 0 && round < 64)
    runs[round]++;
}

static void *
wake (void *data)
{
  (void)data;
  while (!seen)
    sd_sleep (1);
  sd_sleep (2300);
  if (sd_trouble)
    sd_vm_signal (entry_a, SIGCONT, "goes on (SIGCONT)");
  return NULL;
}

int
main (int argc, char **argv)
{
  sd_begin (argc, argv);
  sd_store_start ();
  sd_store.on_write = on_write;
  sd_on_run = on_run;
  sd_configure (1, TOKENS_MOST);
  for (int i = 0; i < 3; i++)
    {
      char name[16];
      snprintf (name, sizeof name, "i-%04d", i);
      sd_replica_t *r
          = sd_replica_start (name, i % 2 ? "south" : "north", "v1");
      r->events = 40;
      r->event_ms = 20;
    }
  sd_vm_start ("worker-1", "north", true, 0);
  sd_vm_start ("worker-2", "south", true, 0);
  entry_a = sd_vm_start ("entry-a", "north", false, 0);
  entry_b = sd_vm_start ("entry-b", "south", false, 0);
  if (!sd_vm_ready (entry_a, 15000) || !sd_vm_ready (entry_b, 15000))
    sd_finish (2, "the VMs are not ready");
  sd_sleep (1500);
  int refused = 0;
  int broken = 0;
  for (int round = 0; round < 5; round++)
    {
      char filler[32];
      char job[32];
      char text[200];
      snprintf (filler, sizeof filler, "fill%d", round);
      snprintf (job, sizeof job, "job%d", round);
      char *filler_body = sd_job_body (filler, 1, 2500);
      char *body = sd_job_body (job, 1, 1000);
      sd_answer_t f = sd_submit (entry_b->front, filler, filler_body, 4000);
      sd_note ("client: job %s at entry-b: %d", filler, f.status);
      if (f.status != 202)
        sd_finish (2, "the first job was not accepted");
      sd_sleep (100);
      long long first = sd_clock ();
      sd_answer_t one = sd_submit (entry_b->front, job, body, 4000);
      char *retry = one.m.head == NULL ? NULL : sd_header (&one.m, "Retry-After");
      sd_note ("client: job %s attempt 1 at entry-b: %d Retry-After %s", job,
               one.status, retry == NULL ? "-" : retry);
      /* Retry-After, up to a third of the time left. */
      long long left = 4000 - (sd_clock () - first);
      long long pause = retry == NULL ? 0 : (long long)(atof (retry) * 1000);
      sd_sleep (pause < left / 3 ? pause : left / 3);
      left = 4000 - (sd_clock () - first);
      seen = false;
      snprintf (watched, sizeof watched, "%s", job);
      pthread_t t;
      pthread_create (&t, NULL, wake, NULL);
      sd_answer_t two = sd_submit (entry_a->front, job, body, left);
      sd_note ("client: job %s attempt 2 (the last) at entry-a: %d after %lld "
               "ms",
               job, two.status, sd_clock () - first);
      seen = true;
      pthread_join (t, NULL);
      sd_sleep (4000);
      bool both = (one.status == 429 || one.status == 503)
                  && (two.status == 429 || two.status == 503);
      refused += both;
      broken += both && runs[round] > 0;
      snprintf (text, sizeof text, "answers %d and %d, runs of its item %d",
                one.status, two.status, runs[round]);
      sd_note ("check: job %s: %s%s", job, text,
               both && runs[round] > 0 ? ": REFUSED is broken" : "");
      if (broken > 0)
        break;
    }
  if (broken > 0)
    sd_finish (1, "a job that was refused at every attempt has run");
  sd_finish (0, "no refused job has run");
}

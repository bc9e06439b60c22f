/* A job is accepted although not all of its bodies are stored: the machine
 * that stored it lost power meanwhile, and the VM of the caller's next attempt
 * takes the first result for a proof that all are. */
#include "../common/stand.h"

#define ROUNDS 4
#define ITEMS 55 /* of nine in an object of bodies, and one in the last */
#define BODY_BYTES 40000
#define FINISH_MS 18000
#define DEADLINE_MS 4000
#define PATIENCE_MS 2500 /* of a client whose node is silent */
#define LINK_BYTES_PER_MS 125000 /* 1,000 Mbit/s */

static sd_vm_t *entry_a, *entry_b;
static sd_server_t link_a; /* of entry-a to the store */
static volatile bool dark; /* entry-a has no power */
static pthread_mutex_t wire = PTHREAD_MUTEX_INITIALIZER;
static char watched[32];
static bool record_stored;
static int parts_stored;

/* The machine's link: nothing passes while the machine has no power. */
static void
link_serve (void *user, sd_conn_t *c)
{
  (void)user;
  int small = 32768;
  setsockopt (c->fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  int to = sd_connect (sd_store.server.port);
  char block[32768];
  struct pollfd p[2] = { { c->fd, POLLIN, 0 }, { to, POLLIN, 0 } };
  bool over = to < 0;
  while (!over)
    {
      if (poll (p, 2, 20) < 0 || dark)
        break;
      for (int i = 0; i < 2 && !over && !dark; i++)
        {
          if (p[i].revents == 0)
            continue;
          ssize_t n = recv (p[i].fd, block, sizeof block, 0);
          over = n <= 0;
          pthread_mutex_lock (&wire);
          if (!over && !dark)
            {
              struct timespec t = { 0, (long)n * 1000000 / LINK_BYTES_PER_MS };
              nanosleep (&t, NULL);
              over = !sd_send (p[1 - i].fd, block, (size_t)n);
            }
          pthread_mutex_unlock (&wire);
        }
    }
  if (to >= 0)
    close (to);
}

/* The machine loses power when the store has taken the job's record and some
 * of its bodies. */
static void
on_written (const char *method, const char *kind, const char *name, int status)
{
  if (strcmp (method, "POST") != 0 || status != 200 || watched[0] == 0
      || strncmp (name, watched, strlen (watched)) != 0)
    return;
  if (strcmp (kind, "jobs") == 0)
    record_stored = true;
  else if (strcmp (kind, "job-bodies") == 0)
    parts_stored++;
  sd_note ("store: took %s/%s", kind, name);
  if (!sd_trouble || dark || !record_stored || parts_stored < 1)
    return;
  dark = true;
  sd_vm_signal (entry_a, SIGSTOP, "its machine loses power");
}

static char *
job_body (const char *job)
{
  sd_buf_t b = { 0 };
  char *text = malloc (BODY_BYTES / 3 * 4 + 1);
  for (int i = 0; i < BODY_BYTES / 3 * 4; i += 4)
    memcpy (text + i, "cXFx", 4);
  text[BODY_BYTES / 3 * 4] = 0;
  sd_putf (&b, "{\"items\":[");
  for (int i = 0; i < ITEMS; i++)
    sd_putf (&b,
             "%s{\"id\":\"%s-%d\",\"path\":\"/batch/%s/%d\",\"headers\":"
             "{\"Model\":\"m\",\"Token-Usage\":\"350,304\",\"Prefix-Hash\":"
             "\"9c2e41:100,5d07b8:250\"},\"body\":\"%s\",\"tokens\":654}",
             i > 0 ? "," : "", job, i, job, i, text);
  sd_putf (&b, "]}");
  free (text);
  return b.p;
}

int
main (int argc, char **argv)
{
  static const char *const zones[] = { "north", "south" };
  char job[32];
  int accepted[ROUNDS] = { 0 };
  int lost = 0;
  sd_begin (argc, argv);
  sd_store_start ();
  sd_store.on_written = on_written;
  sd_server_start (&link_a, link_serve, NULL);
  sd_configure (1, 940000);
  for (int i = 0; i < 3; i++)
    {
      char name[16];
      snprintf (name, sizeof name, "i-%04d", i);
      (void)sd_replica_start (name, zones[i % 2], "v1");
    }
  sd_vm_start ("worker-1", "north", true, 0);
  sd_vm_start ("worker-2", "south", true, 0);
  entry_a = sd_vm_start ("entry-a", "north", false, link_a.port);
  entry_b = sd_vm_start ("entry-b", "south", false, 0);
  if (!sd_vm_ready (entry_a, 15000) || !sd_vm_ready (entry_b, 15000))
    sd_finish (2, "the VMs are not ready");
  sd_sleep (1500);
  for (int round = 0; round < ROUNDS; round++)
    {
      snprintf (job, sizeof job, "7c41e09b%04d", round);
      record_stored = false;
      parts_stored = 0;
      snprintf (watched, sizeof watched, "%s", job);
      char *body = job_body (job);
      long long first = sd_clock ();
      /* The first attempt; the answer of a silent node is awaited for
       * PATIENCE_MS. */
      sd_answer_t a = sd_submit (entry_a->front, job, body, PATIENCE_MS);
      sd_note ("client: job %s attempt 1 at entry-a: %d (0: silence) after "
               "%lld ms",
               job, a.status, sd_clock () - first);
      watched[0] = 0;
      if (a.status != 202)
        {
          sd_msg_free (&a.m);
          a = sd_submit (entry_b->front, job, body,
                         DEADLINE_MS - (sd_clock () - first));
          sd_note ("client: job %s attempt 2 at entry-b: %d after %lld ms", job,
                   a.status, sd_clock () - first);
        }
      accepted[round] = a.status == 202;
      sd_msg_free (&a.m);
      free (body);
      if (dark)
        {
          sd_vm_kill (entry_a);
          dark = false;
          sd_sleep (500);
          sd_vm_run (entry_a);
          sd_vm_ready (entry_a, 10000);
        }
      sd_sleep (1500);
    }
  sd_note ("client: traffic has ended");
  sd_sleep (FINISH_MS);
  for (int round = 0; round < ROUNDS; round++)
    {
      int listed = 0;
      int status = 0;
      snprintf (job, sizeof job, "7c41e09b%04d", round);
      for (int tries = 0; tries < 20 && listed < ITEMS; tries++)
        {
          json_t *root = sd_results_now (entry_b->front, job, listed, &status);
          listed += (int)json_array_size (json_object_get (root, "results"));
          json_decref (root);
        }
      char target[100];
      snprintf (target, sizeof target, "/rattanspindle/items/%s?id=%s-%d", job,
                job, ITEMS - 1);
      sd_answer_t a
          = sd_ask (entry_b->front, "GET", target, SD_KEY, NULL, 4500);
      sd_note ("check: job %s accepted %d: %d of %d items are listed; body of "
               "the last item: %d%s",
               job, accepted[round], listed, ITEMS, a.status,
               accepted[round] && listed < ITEMS ? ": LOST is broken" : "");
      sd_msg_free (&a.m);
      lost += accepted[round] ? ITEMS - listed : 0;
    }
  if (lost > 0)
    sd_finish (1, "items of accepted jobs are lost");
  sd_finish (0, "all items of accepted jobs are listed");
}

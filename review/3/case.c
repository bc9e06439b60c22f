/* The items of a sound service wait behind those of a service that has lost
 * its replicas, and are not listed when finishS is over.  Two services, each
 * with a batch route. */
#include "../common/stand.h"

#define PAIRS 6
#define KEEP_MS 60000 /* maxWaitS */
#define ITEMS 3
#define FINISH_MS 18000
static volatile long long ran_ms; /* when a run of any item has ended last */

static void
on_ran (const char *id, bool whole)
{
  (void)id;
  (void)whole;
  ran_ms = sd_ms ();
}

static char *
job_body (const char *route, const char *job)
{
  sd_buf_t b = { 0 };
  sd_putf (&b, "{\"items\":[");
  for (int i = 0; i < ITEMS; i++)
    sd_putf (&b,
             "%s{\"id\":\"%s-%d\",\"path\":\"/%s/%s/%d\",\"headers\":"
             "{\"Model\":\"m\",\"Token-Usage\":\"350,304\",\"Prefix-Hash\":"
             "\"9c2e41:100,5d07b8:250\"},\"body\":\"q83vEjRWeJA=\","
             "\"tokens\":654}",
             i > 0 ? "," : "", job, i, route, job, i);
  sd_putf (&b, "]}");
  return b.p;
}

static bool
submit (sd_vm_t *entry, const char *route, const char *job)
{
  char target[200];
  char headers[400];
  char *body = job_body (route, job);
  snprintf (target, sizeof target, "/%s/%s", route, job);
  snprintf (headers, sizeof headers,
            SD_KEY "Request-Id: %s\r\nDeadline-Ms: 4000\r\nContent-Type: "
                   "application/json\r\n",
            job);
  sd_answer_t a = sd_ask (entry->front, "POST", target, headers, body, 4000);
  sd_note ("client: job %s at %s on /%s/: %d", job, entry->name, route,
           a.status);
  free (body);
  sd_msg_free (&a.m);
  return a.status == 202;
}

static int
listed (sd_vm_t *entry, const char *job, int *completed)
{
  int status;
  json_t *root = sd_results_now (entry->front, job, 0, &status);
  json_t *results = json_object_get (root, "results");
  size_t i;
  json_t *result;
  *completed = 0;
  json_array_foreach (results, i, result)
  {
    const char *state
        = json_string_value (json_object_get (result, "state"));
    *completed += strcmp (state, "completed") == 0;
  }
  int n = (int)json_array_size (results);
  json_decref (root);
  return n;
}

/* Adds a second service with a batch route to the document. */
static void
configure (void)
{
  json_t *doc = sd_document (1, 940000);
  json_t *routes = json_object_get (doc, "routes");
  json_t *second = json_deep_copy (json_array_get (routes, 2));
  json_object_set_new (second, "name", json_string ("batch2"));
  json_object_set_new (second, "pathPrefix", json_string ("/batch2/"));
  json_object_set_new (second, "service", json_string ("llm2"));
  json_array_append_new (routes, second);
  json_t *services = json_object_get (doc, "services");
  json_t *service = json_deep_copy (json_array_get (services, 0));
  json_object_set_new (service, "name", json_string ("llm2"));
  json_array_append_new (services, service);
  sd_store_put ("config", "main", doc);
  json_decref (doc);
  sd_note ("operator: configuration 1, /batch/ to llm, /batch2/ to llm2");
}

static void
list_as (sd_replica_t *r, const char *service)
{
  char address[40];
  snprintf (address, sizeof address, "127.0.0.1:%d", r->server.port);
  json_t *spec = json_pack (
      "{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:i,s:I}", "service", service, "address",
      address, "zone", r->zone, "version", "v1", "slots", r->slots, "state",
      "ready", "coldRemainingMs", 0, "seq", 1, "born", (json_int_t)r->born);
  sd_store_put ("servers", r->name, spec);
  json_decref (spec);
}

/* Notes what is listed of the jobs of the sound service; returns the number of
 * items that are not. */
static int
check (sd_vm_t **entry, const char *when)
{
  int missing = 0;
  int dead = 0;
  for (int i = 0; i < PAIRS; i++)
    {
      char job[32];
      int completed;
      snprintf (job, sizeof job, "job-b%d", i);
      int n = listed (entry[i % 2], job, &completed);
      missing += ITEMS - n;
      dead += n - completed;
    }
  sd_note ("client: jobs on /batch2/ %s: %d items, %d listed, of them %d as "
           "dead_letter",
           when, PAIRS * ITEMS, PAIRS * ITEMS - missing, dead);
  return missing;
}

int
main (int argc, char **argv)
{
  static const char *const zones[] = { "north", "south" };
  sd_replica_t *first[2];
  sd_begin (argc, argv);
  sd_store_start ();
  sd_on_ran = on_ran;
  configure ();
  for (int i = 0; i < 10; i++)
    {
      char name[16];
      snprintf (name, sizeof name, "i-%04d", i);
      sd_replica_t *r = sd_replica_start (name, zones[i % 2], "v1");
      r->events = i < 2 ? 10 : 150;
      r->event_ms = 20;
      if (i < 2)
        first[i] = r;
      else
        list_as (r, "llm2");
    }
  sd_vm_start ("worker-1", "north", true, 0);
  sd_vm_start ("worker-2", "south", true, 0);
  sd_vm_t *entry[2];
  for (int i = 0; i < 2; i++)
    {
      char name[16];
      snprintf (name, sizeof name, "entry-%d", i);
      entry[i] = sd_vm_start (name, zones[i], false, 0);
    }
  for (int i = 0; i < 2; i++)
    if (!sd_vm_ready (entry[i], 15000))
      sd_finish (2, "the VMs are not ready");
  sd_sleep (1500);
  /* A calm time: jobs of both routes. */
  for (int i = 0; i < 6; i++)
    {
      char job[32];
      snprintf (job, sizeof job, "calm-a%d", i);
      if (!submit (entry[i % 2], "batch", job))
        sd_finish (2, "a job was not accepted");
      snprintf (job, sizeof job, "calm-b%d", i);
      if (!submit (entry[i % 2], "batch2", job))
        sd_finish (2, "a job was not accepted");
    }
  sd_sleep (8000);
  if (sd_trouble)
    {
      for (int i = 0; i < 2; i++)
        {
          sd_server_stop (&first[i]->server);
          sd_note ("replica %s of llm is lost for good", first[i]->name);
        }
      sd_sleep (3600); /* three heartbeat intervals */
      for (int i = 0; i < 2; i++)
        {
          pthread_mutex_lock (&sd_store.lock);
          sd_set ("servers", first[i]->name, NULL, NULL);
          pthread_mutex_unlock (&sd_store.lock);
        }
      sd_note ("store: their entries are removed");
    }
  sd_sleep (2000);
  for (int i = 0; i < PAIRS; i++)
    {
      char job[32];
      snprintf (job, sizeof job, "job-a%d", i);
      if (!submit (entry[i % 2], "batch", job))
        sd_finish (2, "a job was not accepted");
    }
  sd_sleep (1000);
  long long first_ms = sd_ms ();
  for (int i = 0; i < PAIRS; i++)
    {
      char job[32];
      snprintf (job, sizeof job, "job-b%d", i);
      if (!submit (entry[i % 2], "batch2", job))
        sd_finish (2, "a job was not accepted");
    }
  sd_note ("client: traffic has ended");
  sd_sleep (FINISH_MS);
  long long idle = sd_ms () - ran_ms;
  int missing = check (entry, "when finishS is over");
  sd_note ("check: %d items of /batch2/ are not listed when finishS is over; no "
           "replica has had an item for %lld ms",
           missing, idle);
  /* What becomes of the oldest ones, for the record. */
  if (missing > 0)
    {
      sd_sleep (first_ms + KEEP_MS + 6000 - sd_ms ());
      (void)check (entry, "after the first have been kept for maxWaitS");
    }
  if (missing == 0)
    sd_finish (0, "all items of the sound service are listed");
  if (idle < 5000)
    sd_finish (0, "items are missing, but replicas had work in the last 5 s");
  sd_finish (1, "items of a sound service were never run");
}

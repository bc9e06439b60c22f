/* The machine that runs a batch job freezes for 3.2 s while a run of an item,
 * which the replica ends with 500, is in progress.  TROUBLE=0: it does not
 * freeze. */
#include "../common-2/stand.h"

#define EDGES 3
#define STORAGES 3
#define REPLICAS 9
#define ITEMS 10
#define EVENTS 20
#define CUT_AFTER 5     /* events of the first run of the item */
#define FREEZE_MS 3200  /* node_freeze on a store machine, for_s */
#define ODD_ITEM "job-x-4"

static const char *const document
    = "{\"version\":1,\"routes\":[{\"name\":\"jobs\",\"host\":"
      "\"desk.example\",\"pathPrefix\":\"/job/\",\"kind\":\"batch\","
      "\"timeoutMs\":15000,\"targetLatencyMs\":400,\"maxAttempts\":1,"
      "\"service\":\"llm\",\"completionTargetMs\":18000,\"maxWaitS\":60,"
      "\"maxCount\":940000}],\"services\":[{\"name\":\"llm\","
      "\"healthCheck\":\"/healthz\",\"maxConns\":370,\"engine\":{\"slots\":8}}"
      "],\"tenants\":[{\"name\":\"acme\",\"apiKeys\":[\"acme-key\"]}]}";
static const char *const zones[] = { "za", "zb", "zc" };

static int odd_runs;
static vm_t *frozen;
static long long frozen_at;

/* The storage machine that says in its log that it runs JOB; NULL: none. */
static vm_t *
runner_of (const char *job)
{
  char wanted[64];
  snprintf (wanted, sizeof wanted, "runs-here: job=%s\"", job);
  for (int i = EDGES; i < EDGES + STORAGES; i++)
    {
      char path[160], line[4096];
      bool found = false;
      snprintf (path, sizeof path, "%s/%s.log", work_dir, vms[i]->name);
      FILE *f = fopen (path, "r");
      while (f != NULL && fgets (line, sizeof line, f) != NULL)
        found = found || strstr (line, wanted) != NULL;
      if (f != NULL)
        fclose (f);
      if (found)
        return vms[i];
    }
  return NULL;
}

static bool
answer (const run_t *run, bool *good)
{
  if (strcmp (run->id, ODD_ITEM) != 0)
    return false;
  int n = __atomic_add_fetch (&odd_runs, 1, __ATOMIC_SEQ_CST);
  char *headers = text_of ("Request-Id: %s\r\nResponse-Signature: sig.%s\r\n",
                           run->id, run->replica->id);
  if (n == 1)
    {
      char *head = text_of ("HTTP/1.1 200 OK\r\n%sContent-Type: text/"
                            "event-stream\r\nTransfer-Encoding: chunked\r\n"
                            "\r\n",
                            headers);
      *good = send_all (run->fd, head, strlen (head));
      for (int k = 1; k <= CUT_AFTER; k++)
        {
          char *e = text_of ("id: %d\ndata: %s.%d\n\n", k, run->id, k);
          char *c = text_of ("%zx\r\n%s\r\n", strlen (e), e);
          *good = *good && send_all (run->fd, c, strlen (c));
          sleep_ms (20);
        }
      say ("%s: run 1 of %s breaks off after %d events", run->replica->id,
           run->id, CUT_AFTER);
      struct linger l = { .l_onoff = 1 };
      setsockopt (run->fd, SOL_SOCKET, SO_LINGER, &l, sizeof l);
      *good = false;
      return true;
    }
  if (n > 2)
    {
      say ("%s: run %d of %s, after event %lld, is served", run->replica->id,
           n, run->id, run->after);
      return false;
    }
  if (trouble)
    {
      frozen = runner_of ("job-x");
      if (frozen == NULL)
        exit (2);
      sleep_ms (100);
      frozen_at = mono_ms ();
      vm_signal (frozen, SIGSTOP);
      say ("%s, which runs the job, freezes", frozen->name);
    }
  sleep_ms (400);
  say ("%s: run %d of %s, after event %lld, ends with 500", run->replica->id,
       n, run->id, run->after);
  *good = respond (run->fd, 500, headers, "", 0);
  return true;
}

static void
submit (int port, const char *job)
{
  json_t *items = json_array ();
  for (int i = 0; i < ITEMS; i++)
    json_array_append_new (
        items,
        json_pack ("{s:o,s:o,s:{s:s,s:s,s:s},s:s,s:i}", "id",
                   json_sprintf ("%s-%d", job, i), "path",
                   json_sprintf ("/job/%s/%d", job, i), "headers", "Model",
                   "m", "Token-Usage", "40,20", "Prefix-Hash", "aa:20,bb:20",
                   "body", "aGVsbG8=", "tokens", 60));
  char *body
      = json_dumps (json_pack ("{s:o}", "items", items), JSON_COMPACT);
  char *headers = text_of ("Host: desk.example\r\nAuthorization: Bearer "
                           "acme-key\r\nRequest-Id: %s\r\nContent-Type: "
                           "application/json\r\n",
                           job);
  char *target = text_of ("/job/%s", job);
  msg_t m = ask (port, "POST", target, headers, body, 4000);
  say ("batch job %s: %d", job, m.status);
  msg_free (&m);
}

/* Reads the results at V; returns the number of completed ones that are not
 * the item's whole output.  *ODD: whether the odd item is listed. */
static int
read_results (const vm_t *v, const char *job, bool *odd)
{
  char *target = text_of ("/rattanspindle/lots/%s?after=0", job);
  msg_t m = ask (v->front, "GET", target,
                 "Host: desk.example\r\nAuthorization: Bearer acme-key\r\n",
                 NULL, 4000);
  json_t *o = json_loadb (m.body ? m.body : "", m.body_n, 0, NULL);
  json_t *list = json_object_get (o, "results");
  int wrong = 0;
  *odd = false;
  for (size_t i = 0; i < json_array_size (list); i++)
    {
      json_t *r = json_array_get (list, i);
      const char *id = json_string_value (json_object_get (r, "id"));
      const char *state = json_string_value (json_object_get (r, "state"));
      const char *text = json_string_value (json_object_get (r, "message"));
      char whole[4096] = "";
      for (int k = 1; k <= EVENTS; k++)
        snprintf (whole + strlen (whole), sizeof whole - strlen (whole),
                  "%s%s.%d", k > 1 ? "\n" : "", id, k);
      bool bad = strcmp (state, "completed") == 0 && strcmp (text, whole) != 0;
      wrong += bad;
      if (strcmp (id, ODD_ITEM) != 0 && !bad)
        continue;
      *odd = *odd || strcmp (id, ODD_ITEM) == 0;
      int lines = text[0] != '\0';
      for (const char *p = text; *p != '\0'; p++)
        lines += *p == '\n';
      say ("%s lists at position %zu: %s, %s, with %d of %d events%s", v->name,
           i, id, state, lines, EVENTS,
           bad ? " -- NOT THE ITEM'S WHOLE OUTPUT" : "");
    }
  json_decref (o);
  msg_free (&m);
  free (target);
  return wrong;
}

int
main (void)
{
  stand_begin ("review/6/record.txt");
  zones_all = "za,zb,zc";
  store_write ("config", "main", json_loads (document, 0, NULL));
  for (int i = 0; i < REPLICAS; i++)
    {
      char id[16];
      snprintf (id, sizeof id, "i-%d", i);
      replica_t *r = replica_start (id, "llm", zones[i % 3]);
      r->answer = answer;
      r->events = EVENTS;
    }
  for (int i = 0; i < EDGES + STORAGES; i++)
    {
      char name[32];
      bool worker = i >= EDGES;
      snprintf (name, sizeof name, worker ? "storage-%d" : "edge-%d",
                worker ? i - EDGES : i);
      vm_start (vm_new (name, zones[i % 3], worker));
    }
  if (!vms_ready (20000))
    return 2;
  sleep_ms (4000);
  /* Ordinary work, of which nothing breaks off. */
  for (int i = 0; i < 10; i++)
    {
      char job[16];
      snprintf (job, sizeof job, "job-%d", i);
      submit (vms[i % EDGES]->front, job);
      sleep_ms (100);
    }
  submit (vms[0]->front, "job-x");
  long long begin = mono_ms ();
  while (odd_runs < 2 && mono_ms () < begin + 10000)
    sleep_ms (10);
  if (odd_runs < 2)
    return 2;
  int wrong = 0;
  bool odd = false;
  if (trouble)
    {
      while (frozen_at == 0)
        sleep_ms (10);
      sleep_until (frozen_at + FREEZE_MS);
      vm_signal (frozen, SIGCONT);
      say ("%s wakes", frozen->name);
    }
  sleep_ms (5000);
  for (int k = 0; k < 2; k++)
    for (int i = 0; i < EDGES; i++)
      {
        wrong += read_results (vms[i], "job-x", &odd);
        sleep_ms (300);
      }
  if (!odd)
    return 2;
  return stand_verdict (
      wrong > 0, text_of ("%d results read as completed were not the item's "
                          "whole output",
                          wrong));
}

/* A client puts CR LF into the value of an item's header.  TROUBLE=0: it puts
 * a plain value there. */
#include "../common-2/stand.h"

static char sent[64][64]; /* ids that the client has sent */
static int sent_count;
static int ran, foreign_tenant, foreign_id;

static void
on_run (const run_t *run)
{
  bool known = false;
  char model[256];
  for (int i = 0; i < sent_count; i++)
    known = known || strcmp (sent[i], run->id) == 0;
  (void)header (run->m->head, "Model", model, sizeof model);
  int count = __atomic_add_fetch (&ran, 1, __ATOMIC_SEQ_CST);
  if (count <= 20)
    say ("replica %s runs %s: path %s, Tenant '%s', Model '%s', body of %zu "
       "bytes%s%s",
       run->replica->id, run->id, run->m->target, run->tenant, model,
       run->m->body_n, known ? "" : " -- NO CLIENT SENT THIS ID",
       strcmp (run->tenant, "acme") == 0 ? "" : " -- NOT THE KEY'S TENANT");
  else if (count == 21)
    say ("further runs are only counted");
  if (!known)
    __atomic_add_fetch (&foreign_id, 1, __ATOMIC_SEQ_CST);
  if (strcmp (run->tenant, "acme") != 0)
    __atomic_add_fetch (&foreign_tenant, 1, __ATOMIC_SEQ_CST);
}

static void
submit (int port, const char *job, const char *extra)
{
  json_t *items = json_array ();
  for (int i = 0; i < 3; i++)
    {
      snprintf (sent[sent_count], sizeof sent[0], "%s-item-%d", job, i);
      char *path = text_of ("/job/%s/%d", job, i);
      json_t *headers = json_pack ("{s:s,s:s,s:s}", "Model", "m",
                                   "Token-Usage", "40,20", "Prefix-Hash",
                                   "aa:20,bb:20");
      if (i == 1)
        json_object_set_new (headers, "X-Note", json_string (extra));
      json_array_append_new (
          items, json_pack ("{s:s,s:s,s:o,s:s,s:i}", "id", sent[sent_count],
                            "path", path, "headers", headers, "body",
                            "aGVsbG8=", "tokens", 60));
      sent_count++;
      free (path);
    }
  json_t *root = json_pack ("{s:o}", "items", items);
  char *body = json_dumps (root, JSON_COMPACT);
  char *headers = text_of ("Host: desk.example\r\nAuthorization: Bearer "
                           "acme-key\r\nRequest-Id: %s\r\nContent-Type: "
                           "application/json\r\n",
                           job);
  char *target = text_of ("/job/%s", job);
  msg_t m = ask (port, "POST", target, headers, body, 4000);
  say ("the client of acme submits batch job %s: answer %d; the X-Note of its "
       "second item is %s",
       job, m.status, json_dumps (json_string (extra), JSON_ENCODE_ANY));
  msg_free (&m);
}

static void
read_results (int port, const char *job)
{
  char *target = text_of ("/rattanspindle/lots/%s?after=0", job);
  msg_t m = ask (port, "GET", target,
                 "Host: desk.example\r\nAuthorization: Bearer acme-key\r\n",
                 NULL, 4000);
  say ("results of %s: %d %.600s", job, m.status, m.body ? m.body : "");
  msg_free (&m);
}

int
main (void)
{
  stand_begin ("review/7/record.txt");
  store_write (
      "config", "main",
      json_loads (
          "{\"version\":1,\"routes\":[{\"name\":\"jobs\",\"host\":"
          "\"desk.example\",\"pathPrefix\":\"/job/\",\"kind\":\"batch\","
          "\"timeoutMs\":15000,\"targetLatencyMs\":400,\"maxAttempts\":3,"
          "\"service\":\"llm\",\"completionTargetMs\":18000,\"maxWaitS\":60,"
          "\"maxCount\":0}],\"services\":[{\"name\":\"llm\",\"healthCheck\":"
          "\"/healthz\",\"maxConns\":100,\"engine\":{\"slots\":8}}],"
          "\"tenants\":[{\"name\":\"acme\",\"apiKeys\":[\"acme-key\"]},"
          "{\"name\":\"rival\",\"apiKeys\":[\"rival-key\"]}]}",
          0, NULL));
  for (int i = 0; i < 2; i++)
    {
      char id[16];
      snprintf (id, sizeof id, "i-%d", i);
      replica_start (id, "llm", i % 2 ? "zb" : "za")->on_run = on_run;
    }
  for (int i = 0; i < 2; i++)
    vm_start (vm_new (i ? "edge-1" : "edge-0", i ? "zb" : "za", false));
  vm_start (vm_new ("storage-0", "za", true));
  if (!vms_ready (15000))
    return 2;
  sleep_ms (3000);
  submit (vms[0]->front, "plain", "a note");
  sleep_ms (3000);
  if (ran < 3)
    return 2;
  submit (vms[1]->front, "second",
          trouble ? "a\r\n\r\nPOST /job/second/1 HTTP/1.1\r\n"
                    "Host: desk.example\r\nRequest-Id: nobody-sent-this\r\n"
                    "Model: m\r\nToken-Usage: 40,20\r\nTenant: rival\r\n"
                    "X-Rest: b"
                  : "another note");
  sleep_ms (2500);
  read_results (vms[0]->front, "plain");
  read_results (vms[0]->front, "second");
  return stand_verdict (foreign_id > 0 || foreign_tenant > 0,
                        text_of ("%d runs; %d of an id that no client sent, "
                                 "%d under another tenant than the key's",
                                 ran, foreign_id, foreign_tenant));
}

/** @file
 * Tests of platform calls through peers (node_relay.c): which outcome ends
 * which call.
 */
#include "core/job_rec.h"
#include "core/mpk.h"
#include "core/node.h"
#include "tst.h"

#include <string.h>
#include <talloc.h>

#define RLY_KEY "key-acme"
#define RLY_JOB "jobs/"
#define RLY_STEP_MS 10

/* Kinds of message, as node_relay.c documents them. */
enum
{
  RLY_CALL = MSG_PLATFORM_FIRST,
  RLY_OUTCOME,
};

/* One process of VM "vm-a".  The platform lists the VMs vm-a, vm-b and vm-c,
 * and has no objects but the job's record. */
typedef struct
{
  node_t *node;
  clk_ms_t now;
  GQueue calls; /* of fx_platform_t: calls without a reply */
  ev_document_t document;
  cfg_doc_t parts;
  char key_hash[65];
  uint64_t job_call; /* last platform call about a job; 0: none */
  uint64_t relayed;  /* number of the last call sent to a peer about a job; 0:
                        none */
  char *relayed_to;  /* that peer */
  int status;        /* of the response to the caller; 0: none yet */
} _rly_t;

/* -- the process ---------------------------------------------------------- */

static void
_rly_document_build (_rly_t *r)
{
  char *hash = g_compute_checksum_for_string (G_CHECKSUM_SHA256, RLY_KEY, -1);
  g_strlcpy (r->key_hash, hash, sizeof r->key_hash);
  g_free (hash);
  r->parts = (cfg_doc_t){ .customers = talloc_zero (r, cfg_customer_t),
                          .customer_count = 1,
                          .keys = talloc_zero (r, cfg_key_t),
                          .key_count = 1,
                          .deployments = talloc_zero (r, cfg_deployment_t),
                          .deployment_count = 1 };
  r->parts.customers[0]
      = (cfg_customer_t){ .name = "acme", .weight = 1, .unlimited = true };
  r->parts.keys[0] = (cfg_key_t){ .name = "acme-1",
                                  .customer = "acme",
                                  .sha256 = r->key_hash };
  r->parts.deployments[0] = (cfg_deployment_t){
    .name = "llm", .kind = CFG_ENGINE, .slots = 8, .stream = CFG_STREAM_FRAMED
  };
  r->document = (ev_document_t){ .version = 3,
                                 .parts = &r->parts,
                                 .raw = buf_str ("the document") };
}

static void
_rly_message_note (_rly_t *r, const fx_peer_t *peer)
{
  if (peer->msg.kind != RLY_CALL)
    return;
  void *ctx = talloc_new (r);
  mpk_reader_t in = mpk_reader (ctx, peer->msg.body);
  uint64_t number = mpk_get_uint (&in);
  (void)mpk_get_uint (&in);
  if (g_str_has_prefix (mpk_get_str (&in).p, RLY_JOB))
    {
      r->relayed = number;
      talloc_free (r->relayed_to);
      r->relayed_to = talloc_strdup (r, peer->vm);
    }
  talloc_free (ctx);
}

static void
_rly_step (_rly_t *r, const ev_t *ev)
{
  const fx_list_t *fx = node_step (r->node, r->now, ev);
  for (size_t i = 0; i < fx->count; i++)
    {
      const fx_t *f = &fx->v[i];
      if (f->kind == FX_PLATFORM)
        {
          fx_platform_t *call = g_memdup2 (&f->platform, sizeof f->platform);
          call->name = talloc_strdup (r, call->name == NULL ? "" : call->name);
          g_queue_push_tail (&r->calls, call);
        }
      else if (f->kind == FX_PEER_SEND)
        _rly_message_note (r, &f->peer);
      else if (f->kind == FX_REPLY_HEAD)
        r->status = f->reply.status;
      else if (f->kind == FX_REPLY_JOB_RESULTS)
        r->status = 200;
    }
}

/* Replies to CALL; a call about a job waits for _rly_job_reply, and a watch
 * for ever. */
static void
_rly_call_serve (_rly_t *r, const fx_platform_t *call)
{
  static const ev_vm_t vms[] = {
    { .vm = "vm-a", .data_centre = "north", .address = "10.1.0.1:70" },
    { .vm = "vm-b", .data_centre = "north", .address = "10.1.0.2:70" },
    { .vm = "vm-c", .data_centre = "north", .address = "10.1.0.3:70" },
  };
  ev_platform_t reply = { .call = call->call, .revision = 1 };
  ev_object_t object = { .name = call->name, .version = 1 };
  if (call->revision != 0)
    return;
  if (call->op == FX_PLATFORM_GET && g_str_has_prefix (call->name, RLY_JOB))
    {
      r->job_call = call->call;
      return;
    }
  if (call->op == FX_PLATFORM_GET)
    reply.code = ST_NOT_FOUND;
  if (call->op == FX_PLATFORM_PUT)
    {
      reply.objects = &object;
      reply.object_count = 1;
    }
  if (call->op == FX_PLATFORM_VMS)
    {
      reply.vms = vms;
      reply.vm_count = 3;
    }
  if (call->op == FX_PLATFORM_DOCUMENT)
    reply.document = &r->document;
  _rly_step (r, &(ev_t){ .kind = EV_PLATFORM, .platform = reply });
}

static void
_rly_calls_serve (_rly_t *r)
{
  fx_platform_t *call;
  while ((call = g_queue_pop_head (&r->calls)) != NULL)
    {
      _rly_call_serve (r, call);
      g_free (call);
    }
}

static void
_rly_advance (_rly_t *r, clk_ms_t ms)
{
  for (clk_ms_t end = r->now + ms; r->now < end; r->now += RLY_STEP_MS)
    {
      _rly_step (r, &(ev_t){ .kind = EV_TIMER });
      _rly_calls_serve (r);
    }
}

/* A process that has the configuration and links to both peers.  Processes
 * that get the same events number their platform calls alike. */
static _rly_t *
_rly_setup (uint64_t incarnation)
{
  static const char *const data_centres[] = { "north", NULL };
  _rly_t *r = talloc_zero (NULL, _rly_t);
  st_t st = { 0 };
  r->now = 1000;
  _rly_document_build (r);
  r->node = node_setup (r,
                        &(node_desc_t){ .vm = "vm-a",
                                        .data_centre = "north",
                                        .address = "10.1.0.1:70",
                                        .incarnation = incarnation,
                                        .seed = 1,
                                        .source = NODE_SOURCE_PLATFORM,
                                        .data_centres = data_centres },
                        &st);
  _rly_step (r, &(ev_t){ .kind = EV_START });
  _rly_calls_serve (r);
  _rly_step (r, &(ev_t){ .kind = EV_PEER_UP, .peer = { .vm = "vm-b" } });
  _rly_step (r, &(ev_t){ .kind = EV_PEER_UP, .peer = { .vm = "vm-c" } });
  _rly_advance (r, 500);
  return r;
}

static void
_rly_shutdown (_rly_t *r)
{
  g_queue_clear_full (&r->calls, g_free);
  talloc_free (r);
}

/* -- what happens to it --------------------------------------------------- */

/* A caller reads the results of job ID, whose record the process does not
 * have. */
static void
_rly_results_read (_rly_t *r, const char *id)
{
  static const http_header_t bearer = { "Authorization", "Bearer " RLY_KEY };
  r->status = 0;
  r->job_call = 0;
  r->relayed = 0;
  _rly_step (r,
             &(ev_t){ .kind = EV_REQUEST,
                      .request = { .caller = 1,
                                   .method = "GET",
                                   .path = "/v1/jobs/x",
                                   .query = "",
                                   .headers = { .v = &bearer, .n = 1 },
                                   .meta = { .host = "desk.example" },
                                   .job = { .op = EV_JOB_READ, .id = id } } });
  _rly_calls_serve (r);
}

/* The call for the record had no effect at the platform, so that the process
 * sends it to a peer. */
static void
_rly_job_refuse (_rly_t *r)
{
  _rly_step (r, &(ev_t){ .kind = EV_PLATFORM,
                         .platform
                         = { .call = r->job_call, .code = ST_UNAVAILABLE } });
}

/* The record of job ID, as VALUE of an object. */
static buf_t
_rly_record (void *ctx, const char *id)
{
  job_rec_item_t item = { .id = "item", .target = "/rosters/x" };
  job_rec_t rec = { .id = id,
                    .customer = "acme",
                    .host = "desk.example",
                    .path = "/rosters/*",
                    .items = &item,
                    .item_count = 1 };
  return job_rec_encode (ctx, &rec);
}

/* The outcome of the call NUMBER arrives from VM: CODE, and the record of job
 * ID unless that is NULL. */
static void
_rly_outcome (_rly_t *r, const char *vm, uint64_t number, st_code_t code,
              const char *id)
{
  void *ctx = talloc_new (r);
  mpk_writer_t w;
  mpk_writer_init (&w, ctx);
  mpk_put_uint (&w, number);
  mpk_put_uint (&w, code);
  mpk_put_uint (&w, id == NULL ? 0 : 7);
  mpk_put_str (&w, id == NULL ? buf_str ("") : _rly_record (ctx, id));
  mpk_put_uint (&w, id != NULL);
  msg_t msg = { .kind = RLY_OUTCOME, .body = mpk_done (&w) };
  _rly_step (r,
             &(ev_t){ .kind = EV_PEER_MSG, .peer = { .vm = vm, .msg = msg } });
  talloc_free (ctx);
}

static const char *
_rly_other_peer (const _rly_t *r)
{
  return strcmp (r->relayed_to, "vm-b") == 0 ? "vm-c" : "vm-b";
}

/* The number and the peer of a call of an earlier process of vm-a, which read
 * a job that does not exist. */
static uint64_t
_rly_earlier_call (void *ctx, char **peer)
{
  _rly_t *r = _rly_setup (1);
  _rly_results_read (r, "gone");
  _rly_job_refuse (r);
  uint64_t number = r->relayed;
  CU_ASSERT (number != 0);
  *peer = talloc_strdup (ctx, r->relayed_to);
  _rly_shutdown (r);
  return number;
}

/* -- tests ---------------------------------------------------------------- */

/* The outcome that the asked peer sends ends the call. */
static void
test_outcome_ends_call (void)
{
  _rly_t *r = _rly_setup (1);
  _rly_results_read (r, "kept");
  _rly_job_refuse (r);
  CU_ASSERT (r->relayed != 0 && r->status == 0);
  _rly_outcome (r, r->relayed_to, r->relayed, ST_OK, "kept");
  CU_ASSERT (r->status == 200);
  _rly_shutdown (r);
}

/* Guards against a caller of a VM that has restarted getting the outcome of
 * another call, which the VM's earlier process had made through a peer. */
static void
test_outcome_for_earlier_process (void)
{
  _rly_t *r = _rly_setup (2);
  char *peer = NULL;
  uint64_t number = _rly_earlier_call (r, &peer);
  _rly_results_read (r, "kept");
  CU_ASSERT (r->job_call != 0);
  _rly_outcome (r, peer, number, ST_NOT_FOUND, NULL);
  CU_ASSERT (r->status == 0);
  _rly_job_refuse (r);
  CU_ASSERT (r->relayed != 0 && r->relayed != number);
  _rly_outcome (r, peer, number, ST_NOT_FOUND, NULL);
  CU_ASSERT (r->status == 0);
  _rly_outcome (r, r->relayed_to, r->relayed, ST_OK, "kept");
  CU_ASSERT (r->status == 200);
  _rly_shutdown (r);
}

/* Guards against an outcome from a peer that was not asked. */
static void
test_outcome_from_other_peer (void)
{
  _rly_t *r = _rly_setup (1);
  _rly_results_read (r, "kept");
  _rly_job_refuse (r);
  TST_NEED (r->relayed_to != NULL);
  _rly_outcome (r, _rly_other_peer (r), r->relayed, ST_NOT_FOUND, NULL);
  CU_ASSERT (r->status == 0);
  _rly_outcome (r, r->relayed_to, r->relayed, ST_OK, "kept");
  CU_ASSERT (r->status == 200);
  _rly_shutdown (r);
}

/* Guards against an outcome that ends a call which the platform itself is
 * serving. */
static void
test_outcome_of_call_not_relayed (void)
{
  _rly_t *r = _rly_setup (1);
  _rly_results_read (r, "kept");
  _rly_outcome (r, "vm-b", r->job_call, ST_NOT_FOUND, NULL);
  CU_ASSERT (r->status == 0);
  _rly_shutdown (r);
}

/* An outcome that arrives after the time limit of its call, or twice, is
 * ignored, and the caller's next read asks again. */
static void
test_outcome_after_time_limit (void)
{
  _rly_t *r = _rly_setup (1);
  _rly_results_read (r, "kept");
  _rly_job_refuse (r);
  uint64_t number = r->relayed;
  char *peer = talloc_strdup (r, r->relayed_to);
  _rly_advance (r, 1100);
  _rly_outcome (r, peer, number, ST_NOT_FOUND, NULL);
  _rly_outcome (r, peer, number, ST_NOT_FOUND, NULL);
  CU_ASSERT (r->status == 0);
  _rly_advance (r, 200);
  _rly_job_refuse (r);
  CU_ASSERT (r->relayed != number);
  _rly_outcome (r, r->relayed_to, r->relayed, ST_OK, "kept");
  CU_ASSERT (r->status == 200);
  _rly_shutdown (r);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "outcome_ends_call", test_outcome_ends_call },
    { "outcome_for_earlier_process", test_outcome_for_earlier_process },
    { "outcome_from_other_peer", test_outcome_from_other_peer },
    { "outcome_of_call_not_relayed", test_outcome_of_call_not_relayed },
    { "outcome_after_time_limit", test_outcome_after_time_limit },
  };
  return tst_run ("relay", cases, sizeof cases / sizeof cases[0]);
}

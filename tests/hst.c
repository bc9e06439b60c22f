#include "hst_int.h"

#include <string.h>
#include <talloc.h>

/** Time until the platform serves a call. */
#define HST_START_MS (6 * CLK_SECOND) /* until a fleet serves */
#define HST_PLATFORM_MS 4
/** Time that a message or a link event takes between peers. */
#define HST_PEER_MS 1
/** Time after a watch's own limit at which the driver ends it. */
#define HST_WATCH_EXTRA_MS 2000
/** Interval at which a long poll checks for changes. */
#define HST_WATCH_MS 5
#define HST_KEY "key-acme"
#define HST_SECOND_KEY "key-beta"

/* -- time ------------------------------------------------------------------
 */

static gint
_hst_event_compare (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  const hst_event_t *x = a;
  const hst_event_t *y = b;
  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  return x->order < y->order ? -1 : 1;
}

hst_event_t *
hst_event_push (hst_t *h, size_t vm, clk_ms_t delay, const ev_t *ev)
{
  hst_event_t *e = talloc_zero (h, hst_event_t);
  e->at = h->now + delay;
  e->order = ++h->order;
  e->vm = vm;
  e->incarnation = h->vm[vm].incarnation;
  e->ev = *ev;
  g_queue_insert_sorted (&h->events, e, _hst_event_compare, NULL);
  return e;
}

/* Time after which the driver ends the call C that gets no answer. */
static clk_ms_t
_hst_lost_ms (const fx_platform_t *c)
{
  return c->timeout_ms + (c->revision != 0 ? HST_WATCH_EXTRA_MS : 0);
}

static void
_hst_platform_call (hst_t *h, size_t vm, const fx_platform_t *c)
{
  clk_ms_t delay = h->platform_ms > 0 ? h->platform_ms : HST_PLATFORM_MS;
  bool lost = h->platform_silent || h->vm[vm].platform_cut;
  if (lost)
    delay = _hst_lost_ms (c);
  hst_event_t *e = hst_event_push (h, vm, delay, &(ev_t){ 0 });
  e->lost = lost;
  e->is_call = true;
  e->call = *c;
  e->call.name = talloc_strdup (e, c->name == NULL ? "" : c->name);
  e->call.value = buf_copy (e, c->value);
  e->deadline = h->now + c->timeout_ms;
  e->sent_at = h->now;
  g_ptr_array_add (h->vm[vm].calls, g_strdup (e->call.name));
  h->vm[vm].directory_calls
      += c->op == FX_PLATFORM_DOCUMENT || c->op == FX_PLATFORM_UPSTREAMS;
}

/* -- callers ---------------------------------------------------------------
 */

static hst_response_t *
_hst_response (hst_t *h, uint64_t caller)
{
  hst_response_t *response = g_hash_table_lookup (h->responses, &caller);
  if (response != NULL)
    return response;
  response = talloc_zero (h, hst_response_t);
  response->body = g_string_new ("");
  response->ids = g_ptr_array_new_with_free_func (g_free);
  response->texts = g_ptr_array_new_with_free_func (g_free);
  g_hash_table_insert (h->responses, g_memdup2 (&caller, sizeof caller),
                       response);
  return response;
}

static void
_hst_results (hst_t *h, const fx_job_results_t *r)
{
  hst_response_t *response = _hst_response (h, r->caller);
  response->status = 200;
  response->ended = true;
  response->total = r->total;
  response->next = r->next;
  for (size_t i = 0; i < r->count; i++)
    {
      g_ptr_array_add (response->ids, g_strdup (r->v[i].id));
      g_ptr_array_add (response->texts,
                       g_strndup (r->v[i].text.p, r->v[i].text.n));
    }
}

static void
_hst_reply (hst_t *h, const fx_t *f)
{
  hst_response_t *response = _hst_response (h, f->reply.caller);
  if (f->kind == FX_REPLY_HEAD)
    {
      response->status = f->reply.status;
      response->retry_after_ms = f->reply.retry_after_ms;
      response->first_at = h->now;
    }
  else if (f->kind == FX_REPLY_DATA)
    g_string_append_len (response->body, f->reply.data.p,
                         (gssize)f->reply.data.n);
  else
    {
      response->ended = true;
      response->ended_at = h->now;
    }
  response->aborted = response->aborted || f->kind == FX_REPLY_ABORT;
}

size_t
hst_vm_index (const hst_t *h, const char *name)
{
  size_t i = 0;
  while (i < h->vm_count && strcmp (h->vm[i].name, name) != 0)
    i++;
  return i;
}

/* -- effects ---------------------------------------------------------------
 */

static void
_hst_links_update (hst_t *h)
{
  for (size_t a = 0; a < h->vm_count; a++)
    for (size_t b = 0; b < h->vm_count; b++)
      {
        bool may = a != b && h->vm[a].node != NULL && h->vm[b].node != NULL
                   && !h->vm[a].isolated && !h->vm[b].isolated
                   && (h->vm[a].wants_link[b] || h->vm[b].wants_link[a]);
        if (may == h->vm[a].linked[b] || h->vm[a].node == NULL)
          continue;
        h->vm[a].linked[b] = may;
        hst_event_push (h, a, HST_PEER_MS,
                        &(ev_t){ .kind = may ? EV_PEER_UP : EV_PEER_DOWN,
                                 .peer = { .vm = h->vm[b].name } });
      }
}

static void
_hst_peer_effect_apply (hst_t *h, size_t vm, const fx_t *f)
{
  size_t to = hst_vm_index (h, f->peer.vm);
  if (to == h->vm_count)
    return;
  if (f->kind != FX_PEER_SEND)
    {
      h->vm[vm].wants_link[to] = f->kind == FX_PEER_LINK;
      _hst_links_update (h);
      return;
    }
  if (!h->vm[vm].linked[to])
    return;
  h->counted += f->peer.msg.kind == h->counted_kind;
  ev_t ev = { .kind = EV_PEER_MSG,
              .peer = { .vm = h->vm[vm].name, .msg = f->peer.msg } };
  hst_event_t *e = hst_event_push (h, to, HST_PEER_MS, &ev);
  e->ev.peer.msg.body = buf_copy (e, f->peer.msg.body);
}

static void
_hst_effect_apply (hst_t *h, size_t vm, const fx_t *f)
{
  hst_inflight_t *in_flight;
  switch (f->kind)
    {
    case FX_TIMER:
      hst_event_push (h, vm, clk_max (0, f->timer - h->now),
                      &(ev_t){ .kind = EV_TIMER });
      break;
    case FX_REPLY_HEAD:
    case FX_REPLY_DATA:
    case FX_REPLY_END:
    case FX_REPLY_ABORT:
      _hst_reply (h, f);
      break;
    case FX_REPLY_JOB_RESULTS:
      _hst_results (h, &f->results);
      break;
    case FX_UPSTREAM_CALL:
      hst_upstream_call (h, vm, &f->upstream);
      break;
    case FX_UPSTREAM_CANCEL:
      in_flight
          = hst_inflight_find (h, vm, h->vm[vm].incarnation, f->upstream.call);
      if (in_flight != NULL)
        hst_inflight_end (h, in_flight);
      break;
    case FX_PLATFORM:
      _hst_platform_call (h, vm, &f->platform);
      break;
    case FX_PEER_SEND:
    case FX_PEER_LINK:
    case FX_PEER_UNLINK:
      _hst_peer_effect_apply (h, vm, f);
      break;
    case FX_DOCUMENT_DECODE:
      hst_event_push (
          h, vm, 0, &(ev_t){ .kind = EV_DOCUMENT, .document = &h->document });
      break;
    case FX_EXIT:
    case FX_NUM:
      break;
    }
}

/* Whether further events wait that came while VM stood still. */
static bool
_hst_is_behind (const hst_t *h, size_t vm)
{
  if (h->now != h->vm[vm].frozen_until)
    return false;
  for (const GList *l = h->events.head; l != NULL; l = l->next)
    {
      const hst_event_t *e = l->data;
      if (e->at > h->now)
        break;
      if (e->vm == vm && e->incarnation == h->vm[vm].incarnation
          && (e->is_call || e->ev.kind != EV_TIMER))
        return true;
    }
  return false;
}

void
hst_step (hst_t *h, size_t vm, const ev_t *ev)
{
  if (h->vm[vm].node == NULL)
    return;
  ev_t event = *ev;
  event.behind = _hst_is_behind (h, vm);
  const fx_list_t *fx = node_step (h->vm[vm].node, h->now, &event);
  for (size_t i = 0; i < fx->count; i++)
    _hst_effect_apply (h, vm, &fx->v[i]);
}

/* Have the driver end the call of E at its limit. */
static void
_hst_platform_call_lose (hst_t *h, hst_event_t *e)
{
  clk_ms_t end = e->sent_at + _hst_lost_ms (&e->call);
  hst_event_t *lost
      = hst_event_push (h, e->vm, clk_max (end - h->now, 0), &(ev_t){ 0 });
  lost->is_call = true;
  lost->lost = true;
  lost->call = e->call;
  lost->sent_at = e->sent_at;
  talloc_steal (lost, e->call.name);
}

/* Serve a platform call, or check a long poll without changes again later. */
static void
_hst_platform_call_serve (hst_t *h, hst_event_t *e)
{
  if (h->vm[e->vm].platform_cut && !e->lost)
    {
      _hst_platform_call_lose (h, e);
      return;
    }
  ev_t ev = { .kind = EV_PLATFORM, .platform = { .call = e->call.call } };
  if (e->lost || h->vm[e->vm].down
      || (h->evacuations_refused && e->call.op == FX_PLATFORM_EVACUATIONS)
      || (h->refused_prefix != NULL
          && g_str_has_prefix (e->call.name, h->refused_prefix)))
    ev.platform.code = ST_UNAVAILABLE;
  else if (h->desc.history_ms > 0 && e->call.revision != 0
           && h->now >= e->sent_at + h->desc.history_ms)
    ev.platform.code = ST_STALE;
  else if (hst_store_is_waiting (h, &e->call) && h->now < e->deadline)
    {
      hst_event_t *retry
          = hst_event_push (h, e->vm, HST_WATCH_MS, &(ev_t){ 0 });
      retry->is_call = true;
      retry->call = e->call;
      retry->deadline = e->deadline;
      retry->sent_at = e->sent_at;
      talloc_steal (retry, e->call.name);
      return;
    }
  else
    hst_store_serve (h, e, &e->call, &ev.platform);
  hst_step (h, e->vm, &ev);
}

unsigned
hst_messages (hst_t *h, uint16_t kind)
{
  unsigned n = h->counted_kind == kind ? h->counted : 0;
  h->counted_kind = kind;
  h->counted = 0;
  return n;
}

clk_ms_t
hst_now (const hst_t *h)
{
  return h->now;
}

void
hst_advance (hst_t *h, clk_ms_t ms)
{
  clk_ms_t end = h->now + ms;
  for (hst_event_t *e = g_queue_peek_head (&h->events);
       e != NULL && e->at <= end; e = g_queue_peek_head (&h->events))
    {
      (void)g_queue_pop_head (&h->events);
      h->now = e->at;
      hst_upstreams_tick (h);
      if (e->incarnation != h->vm[e->vm].incarnation)
        ;
      else if (e->at < h->vm[e->vm].frozen_until)
        {
          e->at = h->vm[e->vm].frozen_until;
          g_queue_insert_sorted (&h->events, e, _hst_event_compare, NULL);
          continue;
        }
      else if (e->is_call)
        _hst_platform_call_serve (h, e);
      else if (e->is_end)
        {
          if (e->born == h->born[e->upstream])
            hst_upstream_end (h, e->upstream, e->id);
        }
      else if (e->is_report)
        hst_load_report_deliver (h, e);
      else if (e->ev.kind == EV_UPSTREAM_DATA)
        hst_stream_event_send (h, e);
      else
        hst_step (h, e->vm, &e->ev);
      talloc_free (e);
    }
  h->now = end;
}

/* -- set up ----------------------------------------------------------------
 */

/* Path of the route of the second service's jobs, without its end. */
#define HST_SECOND_PATH "/second/"

static void
_hst_document_build (hst_t *h)
{
  cfg_doc_t *p = &h->parts;
  *p = (cfg_doc_t){
    .customers = talloc_zero_array (h, cfg_customer_t, 2),
    .customer_count = h->desc.second_customer ? 2 : 1,
    .keys = talloc_zero_array (h, cfg_key_t, 2),
    .key_count = h->desc.second_customer ? 2 : 1,
    .deployments = talloc_zero_array (h, cfg_deployment_t, 2),
    .deployment_count = h->desc.second_upstreams > 0 ? 2 : 1,
    .routes = talloc_zero_array (h, cfg_route_t, 3),
    .route_count = h->desc.second_upstreams > 0 ? 3 : 2,
  };
  p->customers[0] = (cfg_customer_t){ .name = "acme",
                                      .rate = h->desc.rate,
                                      .burst = h->desc.burst,
                                      .weight = 1,
                                      .unlimited = h->desc.rate <= 0 };
  p->keys[0] = (cfg_key_t){ .name = "acme-1",
                            .customer = "acme",
                            .sha256 = h->key_hash };
  p->customers[1]
      = (cfg_customer_t){ .name = "beta", .weight = 1, .unlimited = true };
  p->keys[1] = (cfg_key_t){ .name = "beta-1",
                            .customer = "beta",
                            .sha256 = h->second_key_hash };
  p->deployments[0]
      = (cfg_deployment_t){ .name = "llm",
                            .kind = CFG_ENGINE,
                            .slots = 8,
                            .stream = CFG_STREAM_FRAMED,
                            .cold_per_s = h->desc.cold_per_s,
                            .cold_start_ms = h->desc.cold_start_ms };
  p->routes[0] = (cfg_route_t){ .method = "desk.example",
                                .path = "/fit/*",
                                .deployment = "llm",
                                .idempotent = h->desc.resumable,
                                .resumable = h->desc.resumable,
                                .unrecorded = true,
                                .strict_time = true,
                                .attempts = 2,
                                .target_ms = 300,
                                .deadline_ms = 5 * CLK_SECOND };
  p->routes[1] = (cfg_route_t){
    .method = "desk.example",
    .path = "/rosters/*",
    .deployment = "llm",
    .kind = CFG_ROUTE_JOBS,
    .idempotent = true,
    .unrecorded = true,
    .attempts = h->desc.item_attempts > 0 ? h->desc.item_attempts : 3,
    .deadline_ms = 15 * CLK_SECOND,
    .job_due_ms = 18 * CLK_SECOND,
    .job_keep_ms = CLK_MINUTE,
    .waiting_tokens
    = h->desc.waiting_tokens > 0 ? h->desc.waiting_tokens : 1000
  };
  p->deployments[1] = p->deployments[0];
  p->deployments[1].name = "second";
  p->routes[2] = p->routes[1];
  p->routes[2].path = HST_SECOND_PATH "*";
  p->routes[2].deployment = "second";
}

static void
_hst_key_hash (char out[65], const char *key)
{
  char *hash = g_compute_checksum_for_string (G_CHECKSUM_SHA256, key, -1);
  g_strlcpy (out, hash, 65);
  g_free (hash);
}

void
hst_document_write (hst_t *h, const char *key)
{
  _hst_key_hash (h->key_hash, key);
  _hst_key_hash (h->second_key_hash, HST_SECOND_KEY);
  _hst_document_build (h);
  h->document_revision = ++h->revision;
  h->document.version += 3;
  h->document.parts = &h->parts;
  h->document.raw = buf_str ("the document");
}

/* Header of an item with its parts, each of 16 hexadecimal digits. */
#define HST_PARTS_HEADER "Parts"

static size_t
_hst_prompt_parts (http_headers_t headers, uint64_t *out, size_t max)
{
  const char *text = http_header_find (headers, HST_PARTS_HEADER);
  size_t n = 0;
  for (; text != NULL && *text != '\0' && n < max; text += 17)
    out[n++] = g_ascii_strtoull (text, NULL, 16);
  return n;
}

void
hst_start (hst_t *h, size_t vm)
{
  static const char *const data_centres[] = { "north", "south", NULL };
  hst_vm_t *v = &h->vm[vm];
  st_t st = { 0 };
  v->incarnation++;
  v->node = node_setup (
      h,
      &(node_desc_t){ .vm = v->name,
                      .data_centre
                      = h->desc.far_vms && vm % 2 == 1 ? "south" : "north",
                      .address = v->address,
                      .tunnel = h->desc.tunnels ? v->tunnel : NULL,
                      .incarnation = v->incarnation,
                      .seed = (uint32_t)(17 * vm + v->incarnation),
                      .source = NODE_SOURCE_PLATFORM,
                      .worker = vm >= h->desc.entries,
                      .limit_slack = h->desc.slack,
                      .cold_overshoot = h->desc.cold_overshoot,
                      .cold_slack = h->desc.cold_slack,
                      .history_ms = h->desc.history_ms,
                      .evacuate_ms = h->desc.evacuate_ms,
                      .refuse_late = h->desc.refuse_late,
                      .yield_late = h->desc.yield_late,
                      .preempt_once = h->desc.preempt_once,
                      .avoid_failing = h->desc.avoid_failing,
                      .prompt_parts = _hst_prompt_parts,
                      .data_centres = data_centres },
      &st);
  hst_event_push (h, vm, 0, &(ev_t){ .kind = EV_START });
}

/* End the process of VM, as far as VM itself sees it. */
static void
_hst_process_end (hst_t *h, size_t vm)
{
  TALLOC_FREE (h->vm[vm].node);
  h->vm[vm].incarnation++;
  memset (h->vm[vm].wants_link, 0, sizeof h->vm[vm].wants_link);
  memset (h->vm[vm].linked, 0, sizeof h->vm[vm].linked);
  for (guint i = 0; i < h->in_flight->len; i++)
    {
      hst_inflight_t *f = g_ptr_array_index (h->in_flight, i);
      if (f->vm == vm)
        hst_inflight_end (h, f);
    }
}

void
hst_kill (hst_t *h, size_t vm)
{
  _hst_process_end (h, vm);
  _hst_links_update (h);
}

void
hst_start_unnoticed (hst_t *h, size_t vm)
{
  _hst_process_end (h, vm);
  hst_start (h, vm);
  _hst_links_update (h);
}

void
hst_leave (hst_t *h, size_t vm)
{
  hst_step (h, vm, &(ev_t){ .kind = EV_LEAVE });
}

static gint
_hst_name_compare (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  return strcmp (a, b);
}

hst_t *
hst_setup (const hst_desc_t *desc)
{
  hst_t *h = talloc_zero (NULL, hst_t);
  h->desc = *desc;
  h->desc.entries = desc->entries == 0 ? 2 : desc->entries;
  h->desc.workers = desc->workers == 0 ? 2 : desc->workers;
  h->desc.upstreams = desc->upstreams == 0 ? 2 : desc->upstreams;
  h->desc.events = desc->events == 0 ? 20 : desc->events;
  h->desc.gap_ms = desc->gap_ms == 0 ? 10 : desc->gap_ms;
  h->now = 1000;
  g_queue_init (&h->events);
  h->objects = g_tree_new_full (_hst_name_compare, NULL, g_free, NULL);
  h->responses
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  h->runs = g_ptr_array_new_with_free_func (g_free);
  h->run_upstreams = g_array_new (FALSE, FALSE, sizeof (size_t));
  h->arrivals = g_array_new (FALSE, FALSE, sizeof (hst_arrival_t));
  h->ends = g_array_new (FALSE, FALSE, sizeof (hst_end_t));
  h->in_flight = g_ptr_array_new ();
  hst_document_write (h, HST_KEY);
  h->vm_count = h->desc.entries + h->desc.workers;
  for (size_t i = 0; i < h->vm_count; i++)
    {
      h->vm[i].calls = g_ptr_array_new_with_free_func (g_free);
      g_snprintf (h->vm[i].name, sizeof h->vm[i].name, "%s-%zu",
                  i < h->desc.entries ? "entry" : "worker", i);
      g_snprintf (h->vm[i].address, sizeof h->vm[i].address, "10.1.0.%zu:70",
                  i);
      g_snprintf (h->vm[i].tunnel, sizeof h->vm[i].tunnel, "10.1.0.%zu:71", i);
      if ((h->desc.late >> i & 1) == 0)
        hst_start (h, i);
    }
  return h;
}

static void
_hst_response_free (gpointer key, gpointer value, gpointer data)
{
  (void)key;
  (void)data;
  hst_response_t *response = value;
  g_string_free (response->body, TRUE);
  g_ptr_array_unref (response->ids);
  g_ptr_array_unref (response->texts);
}

hst_t *
hst_fleet (const hst_desc_t *desc)
{
  hst_t *h = hst_setup (desc);
  hst_advance (h, HST_START_MS);
  return h;
}

void
hst_shutdown (hst_t *h)
{
  g_hash_table_foreach (h->responses, _hst_response_free, NULL);
  g_hash_table_destroy (h->responses);
  g_ptr_array_unref (h->runs);
  g_array_unref (h->run_upstreams);
  g_array_unref (h->arrivals);
  g_array_unref (h->ends);
  for (size_t i = 0; i < h->vm_count; i++)
    g_ptr_array_unref (h->vm[i].calls);
  g_ptr_array_unref (h->in_flight);
  g_tree_destroy (h->objects);
  g_queue_clear (&h->events);
  talloc_free (h);
}

/* -- calls for tests -------------------------------------------------------
 */

uint64_t
hst_request (hst_t *h, size_t vm, const ev_request_t *req)
{
  ev_t ev = { .kind = EV_REQUEST, .request = *req };
  ev.request.caller = ++h->callers;
  ev.request.meta.host = "desk.example";
  if (ev.request.query == NULL)
    ev.request.query = "";
  (void)_hst_response (h, ev.request.caller);
  hst_step (h, vm, &ev);
  return ev.request.caller;
}

uint64_t
hst_prompt (hst_t *h, size_t vm, const char *id, const char *body,
            const uint64_t *parts, size_t count)
{
  http_header_t header = { "Authorization", "Bearer " HST_KEY };
  return hst_request (h, vm,
                      &(ev_request_t){ .method = "POST",
                                       .path = "/fit/1",
                                       .headers = { .v = &header, .n = 1 },
                                       .body = buf_str (body),
                                       .meta = { .id = id,
                                                 .parts = parts,
                                                 .part_count = count,
                                                 .tokens_out = 100 } });
}

uint64_t
hst_stream (hst_t *h, size_t vm, const char *key, const char *id)
{
  char *bearer = talloc_asprintf (h, "Bearer %s", key);
  http_header_t header = { "Authorization", bearer };
  return hst_request (
      h, vm,
      &(ev_request_t){ .method = "POST",
                       .path = "/fit/1",
                       .headers = { .v = &header, .n = 1 },
                       .meta = { .id = id, .tokens_out = 100 } });
}

uint64_t
hst_take_up (hst_t *h, size_t vm, const char *id, const char *resumes,
             const char *after)
{
  http_header_t header = { "Authorization", "Bearer " HST_KEY };
  return hst_request (h, vm,
                      &(ev_request_t){ .method = "POST",
                                       .path = "/fit/1",
                                       .headers = { .v = &header, .n = 1 },
                                       .meta = { .id = id,
                                                 .resumes = resumes,
                                                 .resume_after = after,
                                                 .tokens_out = 100 } });
}

static const http_header_t hst_bearer = { "Authorization", "Bearer " HST_KEY };

void
hst_item_parts_set (hst_t *h, const uint64_t *parts, size_t count)
{
  h->item_parts = parts;
  h->item_part_count = count;
}

double
hst_counter (const hst_t *h, size_t vm, const char *name)
{
  return h->vm[vm].node == NULL
             ? 0
             : cnt_value (node_env (h->vm[vm].node)->cnt, name, "");
}

double
hst_counter_sum (const hst_t *h, const char *name, const char *labels)
{
  double sum = 0;
  for (size_t i = 0; i < h->vm_count; i++)
    if (h->vm[i].node != NULL)
      sum += cnt_value (node_env (h->vm[i].node)->cnt, name, labels);
  return sum;
}

uint64_t
hst_submit (hst_t *h, size_t vm, const char *id, size_t count)
{
  return hst_submit_as (h, vm, HST_KEY, id, count);
}

/* Submits job ID with COUNT items, all to PATH. */
static uint64_t
_hst_submit_to (hst_t *h, size_t vm, const char *path, const char *key,
                const char *id, size_t count)
{
  http_header_t bearer
      = { "Authorization", talloc_asprintf (h, "Bearer %s", key) };
  GString *parts = g_string_new (NULL);
  for (size_t i = 0; i < h->item_part_count; i++)
    g_string_append_printf (parts, "%016llx,",
                            (unsigned long long)h->item_parts[i]);
  http_header_t headers[] = { { "X-Request-Id", "other" },
                              { "Authorization", "Bearer secret" },
                              { HST_PARTS_HEADER, parts->str } };
  ev_job_item_t *items = talloc_zero_array (h, ev_job_item_t, count);
  for (size_t i = 0; i < count; i++)
    items[i] = (ev_job_item_t){ .id = talloc_asprintf (h, "%s-%zu", id, i),
                                .target = path,
                                .headers = { .v = headers, .n = 3 },
                                .body = buf_str ("body"),
                                .tokens = 10 };
  uint64_t caller
      = hst_request (h, vm,
                     &(ev_request_t){ .method = "POST",
                                      .path = path,
                                      .headers = { .v = &bearer, .n = 1 },
                                      .meta = { .id = id },
                                      .job = { .op = EV_JOB_SUBMIT,
                                               .id = id,
                                               .items = items,
                                               .item_count = count } });
  (void)g_string_free (parts, TRUE);
  return caller;
}

uint64_t
hst_submit_as (hst_t *h, size_t vm, const char *key, const char *id,
               size_t count)
{
  return _hst_submit_to (h, vm, "/rosters/x", key, id, count);
}

uint64_t
hst_submit_second (hst_t *h, size_t vm, const char *id, size_t count)
{
  return _hst_submit_to (h, vm, HST_SECOND_PATH "x", HST_KEY, id, count);
}

uint64_t
hst_job_end (hst_t *h, size_t vm, const char *id)
{
  return hst_request (
      h, vm,
      &(ev_request_t){ .method = "DELETE",
                       .path = "/v1/jobs/x",
                       .headers = { .v = &hst_bearer, .n = 1 },
                       .job = { .op = EV_JOB_CANCEL, .id = id } });
}

uint64_t
hst_results_read (hst_t *h, size_t vm, const char *id, uint64_t after)
{
  return hst_request (
      h, vm,
      &(ev_request_t){ .method = "GET",
                       .path = "/v1/jobs/x",
                       .headers = { .v = &hst_bearer, .n = 1 },
                       .job
                       = { .op = EV_JOB_READ, .id = id, .after = after } });
}

const hst_response_t *
hst_response (hst_t *h, uint64_t caller)
{
  return _hst_response (h, caller);
}

void
hst_platform_down (hst_t *h, size_t vm, bool down)
{
  for (size_t i = 0; i < h->vm_count; i++)
    if (i == vm || vm == HST_MAX)
      h->vm[i].down = down;
}

void
hst_platform_cut (hst_t *h, size_t vm, bool cut)
{
  h->vm[vm].platform_cut = cut;
}

void
hst_isolate (hst_t *h, size_t vm, bool isolated)
{
  h->vm[vm].isolated = isolated;
  h->vm[vm].down = isolated;
  _hst_links_update (h);
}

void
hst_freeze (hst_t *h, size_t vm, clk_ms_t ms)
{
  h->vm[vm].frozen_until = h->now + ms;
}

bool
hst_runs (const hst_t *h, size_t vm)
{
  return h->vm[vm].node != NULL && h->now >= h->vm[vm].frozen_until;
}

void
hst_retire (hst_t *h, size_t vm)
{
  h->vm[vm].retire = true;
}

bool
hst_retired (const hst_t *h, size_t vm)
{
  return h->vm[vm].retired;
}

unsigned
hst_call_count (const hst_t *h, size_t vm, const char *name)
{
  const GPtrArray *calls = h->vm[vm].calls;
  unsigned n = 0;
  for (guint i = 0; i < calls->len; i++)
    n += g_str_has_prefix (g_ptr_array_index (calls, i), name);
  return n;
}

unsigned
hst_directory_call_count (const hst_t *h, size_t vm)
{
  return h->vm[vm].directory_calls;
}

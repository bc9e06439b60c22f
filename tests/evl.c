#include "evl.h"

#include "core/upc.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define DATA_CENTRES 3
/** Time to the first event of a request whose prefix is cached, of one whose
 * prefix is not, and mean time of the rest of its work, at usual pace. */
#define HIT_MS 20.0
#define MISS_MS 80.0
#define REST_MS 650.0
/** Prefixes that requests share, the part of the requests that have one, and
 * the prefixes that an upstream caches. */
#define PREFIXES 240
#define PREFIX_SHARE 0.7
#define CACHE 40
/** Bounds of the momentary pace, and the mean time for which it stays. */
#define PACE_MIN 0.7
#define PACE_MAX 1.75
#define PACE_MS 180.0
/** Network delay in one direction, and what another data centre adds. */
#define HOP_MS 1
#define FAR_MS 1
/** Length of the two phases of the waves. */
#define HIGH_MS 2800
#define LOW_MS 3800
/** Period of the samples of load, and how many an upstream keeps. */
#define SAMPLE_MS 10
#define SAMPLES 256
/** Window in which the share of requests to other data centres is counted, and
 * the fewest requests for which it means something. */
#define WINDOW_MS 200
#define WINDOW_MIN 10
/** Bytes of framing added to each message between VMs. */
#define FRAME_BYTES 24
/** Longest delay of anything in the model, in ms. */
#define DELAY_MAX 4096

/** A request. */
typedef struct
{
  size_t vm;
  size_t upstream;
  clk_ms_t arrived;
  uint64_t prefix;
  uint64_t handle;
  double first; /**< work left until the first event */
  double rest;  /**< work left after it */
  bool hit;
} _evl_request_t;

/** What happens at a later time. */
typedef struct
{
  enum
  {
    REACH, /**< a request reaches its upstream */
    HEAD,  /**< the head and first event of a response reach the VM */
    DONE,  /**< the end of a response reaches the VM */
    PEER,  /**< a message reaches a VM */
    POLL,  /**< the response to a load poll reaches a VM */
  } kind;
  _evl_request_t *request;
  ev_load_t load; /**< HEAD */
  size_t vm;      /**< PEER, POLL */
  size_t from;    /**< PEER */
  msg_t msg;      /**< PEER; the event owns the body */
  uint64_t call;  /**< POLL */
  char *body;     /**< POLL; NULL: time-out */
} _evl_event_t;

/** An upstream. */
typedef struct
{
  _evl_request_t *running[EVL_SLOTS];
  size_t running_count;
  GQueue waiting;
  GQueue cache; /**< prefixes, least recently used first */
  double speed; /**< lasting: time that work takes, 1 is usual */
  double pace;  /**< momentary, the same */
  clk_ms_t pace_until;
  struct
  {
    uint32_t running;
    uint32_t waiting;
  } sample[SAMPLES];
  uint64_t started;
} _evl_upstream_t;

typedef struct
{
  evl_desc_t desc;
  clk_ms_t now;
  GRand *rand;
  GPtrArray *due[DELAY_MAX]; /**< _evl_event_t by time modulo DELAY_MAX */
  _evl_upstream_t upstream[EVL_UPSTREAMS_MAX];
  env_t *env[EVL_VMS_MAX];
  rte_t *rte[EVL_VMS_MAX];
  GQueue held[EVL_VMS_MAX]; /**< requests that found all upstreams full */
  GArray *took;             /**< double: times to first event */
  uint64_t late;
  uint64_t late_local;
  uint64_t local;
  uint64_t far;
  uint64_t window[2]; /**< requests of the first data centre's VMs in this
                           window, and those to others among them */
  uint64_t window_before[2];
  double swing;
  uint64_t swings;
  uint64_t hits;
  uint64_t picked;
  uint64_t polls;
  double bytes;
  double fullest;
  double idle;
  double free;
  uint64_t samples;
  uint64_t waiting_samples;
} _evl_t;

static const char *const _evl_data_centre[DATA_CENTRES]
    = { "dc-a", "dc-b", "dc-c" };

static void
_evl_at (_evl_t *s, clk_ms_t delay, const _evl_event_t *event)
{
  if (delay < 1)
    delay = 1;
  if (delay >= DELAY_MAX)
    delay = DELAY_MAX - 1;
  g_ptr_array_add (s->due[(s->now + delay) % DELAY_MAX],
                   g_memdup2 (event, sizeof *event));
}

static bool
_evl_measured (const _evl_t *s)
{
  return s->now >= EVL_WARM_MS;
}

static clk_ms_t
_evl_hop (size_t vm, size_t upstream)
{
  return HOP_MS + (vm % DATA_CENTRES == upstream % DATA_CENTRES ? 0 : FAR_MS);
}

/* -- upstreams ------------------------------------------------------------ */

/** Whether upstream I caches PREFIX, which it does from now on. */
static bool
_evl_cache_use (_evl_upstream_t *u, uint64_t prefix)
{
  if (prefix == 0)
    return false;
  GList *link = g_queue_find (&u->cache, GSIZE_TO_POINTER (prefix));
  if (link != NULL)
    g_queue_delete_link (&u->cache, link);
  g_queue_push_tail (&u->cache, GSIZE_TO_POINTER (prefix));
  if (g_queue_get_length (&u->cache) > CACHE)
    (void)g_queue_pop_head (&u->cache);
  return link != NULL;
}

static void
_evl_slots_fill (_evl_t *s, _evl_upstream_t *u)
{
  while (u->running_count < EVL_SLOTS && g_queue_get_length (&u->waiting) > 0)
    {
      _evl_request_t *q = g_queue_pop_head (&u->waiting);
      q->hit = _evl_cache_use (u, q->prefix);
      q->first = q->hit ? HIT_MS : MISS_MS;
      u->running[u->running_count++] = q;
      s->hits += q->hit && _evl_measured (s);
    }
}

/** Ends a window of the first data centre's requests. */
static void
_evl_window_end (_evl_t *s)
{
  const uint64_t *w = s->window;
  const uint64_t *b = s->window_before;
  double n = (double)(w[0] + b[0]);
  double share = n == 0 ? 0 : (double)(w[1] + b[1]) / n;
  if (w[0] >= WINDOW_MIN && b[0] >= WINDOW_MIN && share > 0 && share < 1)
    {
      double change
          = (double)w[1] / (double)w[0] - (double)b[1] / (double)b[0];
      double chance
          = sqrt (share * (1 - share) * (1 / (double)w[0] + 1 / (double)b[0]));
      s->swing += fabs (change) / chance;
      s->swings++;
    }
  memcpy (s->window_before, s->window, sizeof s->window);
  memset (s->window, 0, sizeof s->window);
}

static ev_load_t
_evl_header (const _evl_t *s, size_t i)
{
  const _evl_upstream_t *u = &s->upstream[i];
  if (s->desc.header == EVL_STATES_NOTHING)
    return (ev_load_t){ .kind = EV_LOAD_UNKNOWN };
  if (s->desc.header == EVL_STATES_MALFORMED)
    return (ev_load_t){ .kind = EV_LOAD_MALFORMED, .text = "8;0" };
  if (s->desc.header == EVL_ONE_STATES_IDLE && i == 0)
    return (
        ev_load_t){ .kind = EV_LOAD_STATED, .slots = EVL_SLOTS, .pace = 70 };
  return (ev_load_t){ .kind = EV_LOAD_STATED,
                      .running = (uint32_t)u->running_count,
                      .waiting = g_queue_get_length ((GQueue *)&u->waiting),
                      .slots = EVL_SLOTS,
                      .pace = (uint32_t)lround (u->pace * 100) };
}

/** One millisecond of upstream I. */
static void
_evl_upstream_step (_evl_t *s, size_t i)
{
  _evl_upstream_t *u = &s->upstream[i];
  if (!s->desc.even_speeds && s->now >= u->pace_until)
    {
      u->pace = g_rand_double_range (s->rand, PACE_MIN, PACE_MAX);
      u->pace_until
          = s->now + 1
            + (clk_ms_t)(-PACE_MS * log (1 - g_rand_double (s->rand)));
    }
  double work = 1 / (u->speed * u->pace);
  for (size_t k = 0; k < u->running_count;)
    {
      _evl_request_t *q = u->running[k];
      clk_ms_t hop = _evl_hop (q->vm, i);
      bool begun = q->first <= 0;
      *(begun ? &q->rest : &q->first) -= work;
      if (!begun && q->first <= 0)
        _evl_at (s, hop,
                 &(_evl_event_t){
                     .kind = HEAD, .request = q, .load = _evl_header (s, i) });
      if (q->first <= 0 && q->rest <= 0)
        {
          u->running[k] = u->running[--u->running_count];
          _evl_at (s, hop + 1, &(_evl_event_t){ .kind = DONE, .request = q });
          continue;
        }
      k++;
    }
  _evl_slots_fill (s, u);
}

static void
_evl_sample (_evl_t *s)
{
  double sum = 0;
  double most = 0;
  size_t idle = 0;
  size_t free = 0;
  bool waits = false;
  for (size_t i = 0; i < s->desc.upstreams; i++)
    {
      _evl_upstream_t *u = &s->upstream[i];
      guint waiting = g_queue_get_length (&u->waiting);
      double load = (double)u->running_count + waiting;
      size_t at = (size_t)(s->now / SAMPLE_MS) % SAMPLES;
      u->sample[at].running = (uint32_t)u->running_count;
      u->sample[at].waiting = waiting;
      sum += load;
      most = fmax (most, load);
      idle += load == 0;
      free += EVL_SLOTS - u->running_count;
      waits = waits || waiting > 0;
    }
  if (!_evl_measured (s) || sum == 0)
    return;
  double n = (double)s->desc.upstreams;
  s->fullest += most * n / sum;
  s->samples++;
  if (!waits)
    return;
  s->idle += (double)idle / n;
  s->free += (double)free / (n * EVL_SLOTS);
  s->waiting_samples++;
}

/** The load report of upstream I, as old as the news. */
static char *
_evl_report (const _evl_t *s, size_t i)
{
  clk_ms_t then = s->now > s->desc.news_ms ? s->now - s->desc.news_ms : 0;
  size_t at = (size_t)(then / SAMPLE_MS) % SAMPLES;
  const _evl_upstream_t *u = &s->upstream[i];
  bool lies = s->desc.header == EVL_ONE_STATES_IDLE && i == 0;
  return g_strdup_printf (
      "{\"running\":%u,\"waiting\":%u,\"slots\":%d,\"seq\":1}",
      lies ? 0 : u->sample[at].running, lies ? 0 : u->sample[at].waiting,
      EVL_SLOTS);
}

/* -- VMs ------------------------------------------------------------------ */

static void
_evl_effects_apply (_evl_t *s, size_t vm)
{
  fx_list_t *fx = s->env[vm]->fx;
  for (size_t i = 0; i < fx->count; i++)
    {
      const fx_t *f = &fx->v[i];
      _evl_event_t e = { .vm = vm };
      if (f->kind == FX_PEER_SEND)
        {
          e.kind = PEER;
          e.vm = (size_t)atoi (f->peer.vm + 2);
          e.from = vm;
          e.msg = f->peer.msg;
          e.msg.body
              = (buf_t){ g_memdup2 (f->peer.msg.body.p, f->peer.msg.body.n),
                         f->peer.msg.body.n };
          s->bytes += _evl_measured (s)
                          ? (double)f->peer.msg.body.n + FRAME_BYTES
                          : 0;
          /* A message is on its way for half of the age of the news, as its
           * period adds about as much. */
          _evl_at (s, s->desc.news_ms / 2, &e);
        }
      else if (f->kind == FX_UPSTREAM_CALL)
        {
          size_t a = 0;
          size_t b = 0;
          (void)sscanf (f->upstream.address, "10.0.%zu.%zu", &a, &b);
          e.kind = POLL;
          e.call = f->upstream.call;
          s->polls += _evl_measured (s);
          if (s->desc.silent_from == 0 || s->now < s->desc.silent_from)
            e.body = _evl_report (s, a * 100 + b);
          _evl_at (
              s, e.body == NULL ? f->upstream.total_ms : 2 * (clk_ms_t)HOP_MS,
              &e);
        }
    }
  fx_clear (fx);
}

/** Sends Q; false: all upstreams are full. */
static bool
_evl_send (_evl_t *s, _evl_request_t *q)
{
  rte_pick_t pick;
  if (!rte_pick (s->rte[q->vm], s->env[q->vm],
                 &(rte_query_t){ .deployment = "llm",
                                 .prefix = q->prefix,
                                 .skip_full = true },
                 &pick))
    return false;
  q->handle = pick.handle;
  q->upstream = (size_t)atoi (pick.upstream + 1);
  rte_started (s->rte[q->vm], s->env[q->vm], q->handle);
  if (_evl_measured (s))
    {
      s->picked++;
      s->far += q->vm % DATA_CENTRES != q->upstream % DATA_CENTRES;
      s->upstream[q->upstream].started++;
      s->window[0] += q->vm % DATA_CENTRES == 0;
      s->window[1]
          += q->vm % DATA_CENTRES == 0 && q->upstream % DATA_CENTRES != 0;
    }
  _evl_at (s, _evl_hop (q->vm, q->upstream),
           &(_evl_event_t){ .kind = REACH, .request = q });
  return true;
}

static void
_evl_held_send (_evl_t *s, size_t vm)
{
  while (g_queue_get_length (&s->held[vm]) > 0
         && _evl_send (s, g_queue_peek_head (&s->held[vm])))
    (void)g_queue_pop_head (&s->held[vm]);
}

static void
_evl_arrive (_evl_t *s, size_t vm)
{
  _evl_request_t *q = g_new0 (_evl_request_t, 1);
  q->vm = vm;
  q->arrived = s->now;
  q->rest = -REST_MS * log (1 - g_rand_double (s->rand));
  double x = g_rand_double (s->rand);
  /* The square makes requests prefer a few of the prefixes. */
  if (g_rand_double (s->rand) < PREFIX_SHARE)
    q->prefix = 1 + (uint64_t)(PREFIXES * x * x);
  g_queue_push_tail (&s->held[vm], q);
  _evl_held_send (s, vm);
}

/** Rate of requests at the VMs of DATA_CENTRE, as a multiple of the mean. */
static double
_evl_rate (const _evl_t *s, size_t data_centre)
{
  bool high = s->now % (HIGH_MS + LOW_MS) < HIGH_MS;
  if (s->desc.rate == EVL_STEADY)
    return 1;
  if (s->desc.rate == EVL_WAVES)
    return high ? 1.84 : 0.38;
  return data_centre == 0 ? (high ? 2.4 : 0.38) : 0.7;
}

static void
_evl_arrivals (_evl_t *s)
{
  double speed = s->desc.even_speeds ? 1 : (1.0 + 1.0 + 1.3) / 3;
  double pace = s->desc.even_speeds ? 1 : (PACE_MIN + PACE_MAX) / 2;
  double work = (REST_MS + (HIT_MS + MISS_MS) / 2) * speed * pace;
  double per_ms = s->desc.utilisation * (double)s->desc.upstreams * EVL_SLOTS
                  / work / DATA_CENTRES;
  for (size_t dc = 0; dc < DATA_CENTRES; dc++)
    {
      double left = per_ms * _evl_rate (s, dc);
      size_t vms = (s->desc.vms - dc + DATA_CENTRES - 1) / DATA_CENTRES;
      /* A Poisson number of arrivals. */
      double p = g_rand_double (s->rand);
      while (p > exp (-left))
        {
          size_t vm = (size_t)g_rand_int_range (s->rand, 0, (gint32)vms);
          _evl_arrive (s, dc + DATA_CENTRES * vm);
          p *= g_rand_double (s->rand);
        }
    }
}

static void
_evl_head (_evl_t *s, const _evl_event_t *e)
{
  const _evl_request_t *q = e->request;
  rte_said_load (s->rte[q->vm], s->env[q->vm], q->handle, &e->load);
  rte_first_byte (s->rte[q->vm], s->env[q->vm], q->handle);
  if (q->arrived < EVL_WARM_MS)
    return;
  double took = (double)(s->now - q->arrived);
  bool late = s->now - q->arrived > EVL_LATE_MS;
  g_array_append_val (s->took, took);
  s->late += late;
  s->local += q->vm % DATA_CENTRES == 0;
  s->late_local += late && q->vm % DATA_CENTRES == 0;
}

static void
_evl_poll_event (_evl_t *s, size_t vm, const ev_t *ev)
{
  upc_owner_t owner;
  ev_t own = *ev;
  if (upc_event (s->env[vm], &own, &owner))
    rte_upstream_event (s->rte[vm], s->env[vm], owner.tag, &own);
}

static void
_evl_poll_responded (_evl_t *s, const _evl_event_t *e)
{
  ev_t ev = { .kind = EV_UPSTREAM_FAIL,
              .upstream = { .call = e->call, .fail = EV_FAIL_TIMEOUT } };
  if (e->body != NULL)
    {
      ev.kind = EV_UPSTREAM_HEAD;
      ev.upstream.status = 200;
      _evl_poll_event (s, e->vm, &ev);
      ev.kind = EV_UPSTREAM_DATA;
      ev.upstream.data = buf_str (e->body);
      _evl_poll_event (s, e->vm, &ev);
      ev.kind = EV_UPSTREAM_END;
    }
  _evl_poll_event (s, e->vm, &ev);
}

static void
_evl_handle (_evl_t *s, _evl_event_t *e)
{
  _evl_request_t *q = e->request;
  switch (e->kind)
    {
    case REACH:
      g_queue_push_tail (&s->upstream[q->upstream].waiting, q);
      _evl_slots_fill (s, &s->upstream[q->upstream]);
      break;
    case HEAD:
      _evl_head (s, e);
      break;
    case DONE:
      rte_finished (s->rte[q->vm], s->env[q->vm], q->handle);
      _evl_held_send (s, q->vm);
      g_free (q);
      break;
    case PEER:
      rte_message_received (s->rte[e->vm], s->env[e->vm], s->env[e->from]->vm,
                            &e->msg);
      g_free ((char *)e->msg.body.p);
      break;
    case POLL:
      _evl_poll_responded (s, e);
      g_free (e->body);
      break;
    }
  g_free (e);
}

static void
_evl_step (_evl_t *s)
{
  GPtrArray *due = s->due[s->now % DELAY_MAX];
  tmr_due_t timer;
  for (size_t i = 0; i < s->desc.vms; i++)
    s->env[i]->now = s->now;
  for (guint i = 0; i < due->len; i++)
    _evl_handle (s, g_ptr_array_index (due, i));
  g_ptr_array_set_size (due, 0);
  for (size_t i = 0; i < s->desc.upstreams; i++)
    _evl_upstream_step (s, i);
  _evl_arrivals (s);
  for (size_t i = 0; i < s->desc.vms; i++)
    {
      while (tmr_pop (s->env[i]->tmr, s->now, &timer))
        if (timer.mod == MOD_ROUTE)
          rte_timer_fired (s->rte[i], s->env[i], timer.tag);
      _evl_held_send (s, i);
      _evl_effects_apply (s, i);
    }
  if (s->now % SAMPLE_MS == 0)
    _evl_sample (s);
  if (s->now % WINDOW_MS == 0)
    _evl_window_end (s);
}

/* -- a run ---------------------------------------------------------------- */

static cfg_doc_t *
_evl_document (_evl_t *s)
{
  char *text = talloc_strdup (s, "");
  for (int i = 0; i < DATA_CENTRES; i++)
    text = talloc_asprintf_append (text, "[data-centre %s]\nowner = a\n",
                                   _evl_data_centre[i]);
  text = talloc_asprintf_append (
      text, "[deployment llm]\nowner = a\nkind = engine\nslots = %d\n",
      EVL_SLOTS);
  for (size_t i = 0; i < s->desc.upstreams; i++)
    text = talloc_asprintf_append (
        text,
        "[upstream e%zu]\nowner = a\ndeployment = llm\ndata_centre = %s\n"
        "address = 10.0.%zu.%zu:80\n",
        i, _evl_data_centre[i % DATA_CENTRES], i / 100, i % 100);
  cfg_doc_t *doc = NULL;
  st_t st = { 0 };
  if (cfg_doc_parse (s, buf_str (text), &doc, &st) != ST_OK)
    {
      (void)fprintf (stderr, "%s\n", st.message);
      exit (EXIT_FAILURE);
    }
  return doc;
}

static void
_evl_vm_setup (_evl_t *s, size_t i, const ev_vm_t *list, const cfg_doc_t *doc)
{
  env_t *env = env_setup (
      s, &(env_desc_t){ .vm = list[i].vm,
                        .data_centre = list[i].data_centre,
                        .seed = s->desc.seed * 1000 + (uint32_t)i });
  s->env[i] = env;
  mbr_t *members = mbr_setup (s, &(mbr_desc_t){ 0 });
  ev_platform_t reply = { .vms = list, .vm_count = s->desc.vms };
  mbr_platform_replied (members, env, &(plt_done_t){ 0 }, &reply);
  for (size_t j = 0; j < s->desc.vms; j++)
    if (j != i)
      mbr_peer_up (members, env, list[j].vm);
  fx_clear (env->fx);
  rte_desc_t router = s->desc.router;
  router.members = members;
  router.report_ms = 500;
  router.no_cache_events = true;
  s->rte[i] = rte_setup (s, &router);
  rte_config_changed (s->rte[i], env, doc);
}

static void
_evl_setup (_evl_t *s)
{
  ev_vm_t list[EVL_VMS_MAX];
  s->rand = g_rand_new_with_seed (s->desc.seed);
  s->took = g_array_new (FALSE, FALSE, sizeof (double));
  for (size_t i = 0; i < DELAY_MAX; i++)
    s->due[i] = g_ptr_array_new ();
  for (size_t i = 0; i < s->desc.upstreams; i++)
    {
      bool slow = i / DATA_CENTRES % 3 == 2 && !s->desc.even_speeds;
      s->upstream[i].speed = slow ? 1.3 : 1;
      s->upstream[i].pace = 1;
    }
  for (size_t i = 0; i < s->desc.vms; i++)
    list[i] = (ev_vm_t){ .vm = talloc_asprintf (s, "vm%zu", i),
                         .data_centre = _evl_data_centre[i % DATA_CENTRES],
                         .address = "" };
  const cfg_doc_t *doc = _evl_document (s);
  for (size_t i = 0; i < s->desc.vms; i++)
    _evl_vm_setup (s, i, list, doc);
}

static int
_evl_compare (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;
  return (x > y) - (x < y);
}

/** Sum of the counter NAME over all VMs. */
static uint64_t
_evl_counter (const _evl_t *s, const char *name)
{
  double sum = 0;
  for (size_t i = 0; i < s->desc.vms; i++)
    sum += cnt_value (s->env[i]->cnt, name, "");
  return (uint64_t)sum;
}

static evl_result_t
_evl_result (_evl_t *s)
{
  double n = fmax (s->took->len, 1);
  double seconds = (double)(s->desc.run_ms - EVL_WARM_MS) / CLK_SECOND;
  double sum = 0;
  g_array_sort (s->took, _evl_compare);
  for (guint i = 0; i < s->took->len; i++)
    sum += g_array_index (s->took, double, i);
  double waiting = fmax ((double)s->waiting_samples, 1);
  double picked = fmax ((double)s->picked, 1);
  evl_result_t r = {
    .fullest = s->fullest / fmax ((double)s->samples, 1),
    .idle = s->idle / waiting,
    .free = s->free / waiting,
    .mean_ms = sum / n,
    .late = (double)s->late / n,
    .late_local = (double)s->late_local / fmax ((double)s->local, 1),
    .far = (double)s->far / picked,
    .swing = s->swing / fmax ((double)s->swings, 1),
    .hits = (double)s->hits / picked,
    .first_share = (double)s->upstream[0].started / picked,
    .polls_per_s = (double)s->polls / seconds,
    .bytes_per_s = s->bytes / seconds / (double)s->desc.vms,
    .requests = s->took->len,
  };
  if (s->took->len > 0)
    r.p99_ms = g_array_index (s->took, double, (guint)(0.99 * (n - 1)));
  r.stated = _evl_counter (s, "rts_route_load_stated_total");
  r.malformed = _evl_counter (s, "rts_route_load_malformed_total");
  r.contradicted = _evl_counter (s, "rts_route_load_contradicted_total");
  return r;
}

static void
_evl_free (_evl_t *s)
{
  GHashTable *requests = g_hash_table_new (NULL, NULL);
  for (size_t i = 0; i < DELAY_MAX; i++)
    {
      for (guint k = 0; k < s->due[i]->len; k++)
        {
          _evl_event_t *e = g_ptr_array_index (s->due[i], k);
          if (e->request != NULL)
            g_hash_table_add (requests, e->request);
          if (e->kind == PEER)
            g_free ((char *)e->msg.body.p);
          g_free (e->body);
          g_free (e);
        }
      g_ptr_array_free (s->due[i], TRUE);
    }
  for (size_t i = 0; i < s->desc.upstreams; i++)
    {
      for (size_t k = 0; k < s->upstream[i].running_count; k++)
        g_hash_table_add (requests, s->upstream[i].running[k]);
      for (GList *l = s->upstream[i].waiting.head; l != NULL; l = l->next)
        g_hash_table_add (requests, l->data);
      g_queue_clear (&s->upstream[i].waiting);
      g_queue_clear (&s->upstream[i].cache);
    }
  for (size_t i = 0; i < s->desc.vms; i++)
    {
      for (GList *l = s->held[i].head; l != NULL; l = l->next)
        g_hash_table_add (requests, l->data);
      g_queue_clear (&s->held[i]);
    }
  GHashTableIter iter;
  void *request;
  g_hash_table_iter_init (&iter, requests);
  while (g_hash_table_iter_next (&iter, &request, NULL))
    g_free (request);
  g_hash_table_destroy (requests);
  g_array_free (s->took, TRUE);
  g_rand_free (s->rand);
  talloc_free (s);
}

evl_result_t
evl_run (const evl_desc_t *desc)
{
  _evl_t *s = talloc_zero (NULL, _evl_t);
  s->desc = *desc;
  if (s->desc.run_ms == 0)
    s->desc.run_ms = EVL_RUN_MS;
  _evl_setup (s);
  for (; s->now < s->desc.run_ms; s->now++)
    _evl_step (s);
  evl_result_t r = _evl_result (s);
  _evl_free (s);
  return r;
}

#include "batbed_int.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define BED_LOST_RESPONSE_MS 2000 /* time until a lost reply is reported */

/* -- events in flight ----------------------------------------------------- */

bed_event_t *
bed_event (batbed_t *bed, clk_ms_t at, bed_kind_t kind, uint32_t vm)
{
  bed_event_t *e = talloc_zero (NULL, bed_event_t);
  e->at = at;
  e->seq = ++bed->seq;
  e->kind = kind;
  e->vm = vm;
  e->incarnation = bed->vm[vm].incarnation;
  return e;
}

void
bed_event_add (batbed_t *bed, bed_event_t *e)
{
  g_tree_insert (bed->events, e, e);
}

uint32_t
bed_index (const batbed_t *bed, const char *name)
{
  for (uint32_t i = 0; i < bed->desc.vms; i++)
    {
      if (strcmp (bed->vm[i].name, name) == 0)
        return i;
    }
  return UINT32_MAX;
}

bool
bed_is_partitioned (const batbed_t *bed, uint32_t vm)
{
  return bed->now < bed->vm[vm].partitioned_until;
}

/* -- effects -------------------------------------------------------------- */

static void
_bed_platform_call (batbed_t *bed, uint32_t vm, const fx_platform_t *p)
{
  clk_ms_t delay
      = bed_delay (bed, bed->desc.platform_ms) + bed->next_call_delay;
  if (bed_chance (bed, bed->desc.slow_ms > 0 ? 0.02 : 0))
    delay += bed_delay (bed, bed->desc.slow_ms);
  bed_event_t *e = bed_event (bed, bed->now + delay, BED_PLATFORM, vm);
  e->fx = (fx_t){ .kind = FX_PLATFORM, .platform = *p };
  e->fx.platform.name = talloc_strdup (e, p->name);
  e->fx.platform.value = buf_copy (e, p->value);
  e->lose = bed->lose_next_response;
  bool write = p->op == FX_PLATFORM_PUT || p->op == FX_PLATFORM_DELETE;
  if (delay >= p->timeout_ms)
    {
      bed_event_t *r
          = bed_event (bed, bed->now + p->timeout_ms, BED_REPLY, vm);
      r->fx = (fx_t){ .platform = { .call = p->call } };
      r->code = write ? ST_UNKNOWN : ST_UNAVAILABLE;
      bed_event_add (bed, r);
      e->timed_out = true;
    }
  bed_event_add (bed, e);
}

static void
_bed_reply_part (batbed_t *bed, const fx_t *f)
{
  batbed_response_t *response = g_hash_table_lookup (
      bed->responses, GSIZE_TO_POINTER ((gsize)f->reply.caller));
  if (response == NULL)
    return;
  if (response->ended)
    {
      fprintf (stderr, "caller %lu answered twice\n",
               (unsigned long)f->reply.caller);
      abort ();
    }
  switch (f->kind)
    {
    case FX_REPLY_HEAD:
      response->status = f->reply.status;
      break;
    case FX_REPLY_DATA:
      g_string_append_len (response->body, f->reply.data.p,
                           (gssize)f->reply.data.n);
      break;
    case FX_REPLY_ABORT:
      response->aborted = true;
      response->ended = true;
      break;
    default:
      response->ended = true;
      break;
    }
}

static void
_bed_upstream_call (batbed_t *bed, uint32_t vm, const fx_upstream_t *u)
{
  const char *id = http_header_find (u->headers, "X-Request-Id");
  bed->totals.items_started++;
  char job[64];
  g_strlcpy (job, id, sizeof job);
  *strrchr (job, '-') = '\0';
  if (g_hash_table_contains (bed->forbidden, job))
    {
      bed->totals.after_stop++;
      if (bed->trace)
        fprintf (stderr, "%ld AFTER STOP %s vm-%u\n", (long)bed->now, id, vm);
    }
  bed_event_t *e
      = bed_event (bed, bed->now + bed_delay (bed, 1), BED_UPSTREAM, vm);
  e->fx = (fx_t){ .kind = FX_UPSTREAM_CALL, .upstream = *u };
  e->fx.upstream.path = talloc_strdup (e, u->path);
  e->fx.upstream.body = buf_copy (e, u->body);
  e->body = talloc_strdup (e, id);
  e->fx.upstream.headers = (http_headers_t){ 0 };
  bed_event_add (bed, e);
}

static void
_bed_message (batbed_t *bed, uint32_t vm, const fx_peer_t *p)
{
  bed->totals.messages++;
  uint32_t to = bed_index (bed, p->vm);
  if (to == UINT32_MAX
      || bed_is_partitioned (bed, vm) != bed_is_partitioned (bed, to))
    return;
  bed_event_t *e
      = bed_event (bed, bed->now + bed_delay (bed, 1), BED_MESSAGE, to);
  e->fx = (fx_t){ .kind = FX_PEER_SEND, .peer = *p };
  e->fx.peer.msg.body = buf_copy (e, p->msg.body);
  e->from = vm;
  bed_event_add (bed, e);
}

/* Applies the fault of batbed_fault_at if this is its call; false: the call is
 * not sent. */
static bool
_bed_fault_apply (batbed_t *bed, uint32_t vm, const fx_t *f)
{
  bed->lose_next_response = false;
  bed->next_call_delay = 0;
  if (bed->fault_countdown == 0 || vm != bed->fault_vm
      || (f->kind != FX_PLATFORM && f->kind != FX_UPSTREAM_CALL)
      || --bed->fault_countdown > 0)
    return true;
  bed->fault_done = true;
  switch (bed->fault)
    {
    case BATBED_KILL_BEFORE:
      bed->kill_pending = true;
      return false;
    case BATBED_KILL_AFTER:
      bed->kill_pending = true;
      break;
    case BATBED_FREEZE_BEFORE:
      bed->next_call_delay = bed->fault_ms;
      batbed_freeze (bed, vm, bed->fault_ms);
      break;
    case BATBED_FREEZE_AFTER:
      batbed_freeze (bed, vm, bed->fault_ms);
      break;
    default:
      bed->lose_next_response = f->kind == FX_PLATFORM;
      if (!bed->lose_next_response)
        batbed_partition (bed, vm, bed->fault_ms);
      break;
    }
  return true;
}

void
bed_effect_run (batbed_t *bed, uint32_t vm, const fx_t *f)
{
  if (!_bed_fault_apply (bed, vm, f))
    return;
  switch (f->kind)
    {
    case FX_PLATFORM:
      _bed_platform_call (bed, vm, &f->platform);
      break;
    case FX_UPSTREAM_CALL:
      _bed_upstream_call (bed, vm, &f->upstream);
      break;
    case FX_UPSTREAM_CANCEL:
      g_hash_table_add (bed->vm[vm].cancelled,
                        GSIZE_TO_POINTER ((gsize)f->upstream.call));
      break;
    case FX_PEER_SEND:
      _bed_message (bed, vm, &f->peer);
      break;
    case FX_REPLY_HEAD:
    case FX_REPLY_DATA:
    case FX_REPLY_END:
    case FX_REPLY_ABORT:
      _bed_reply_part (bed, f);
      break;
    default:
      break;
    }
}

/* -- the platform --------------------------------------------------------- */

static void
_bed_object_put (batbed_t *bed, const char *name, buf_t value,
                 uint64_t version)
{
  bed_object_t *o = g_tree_lookup (bed->objects, name);
  if (o == NULL)
    {
      o = talloc_zero (bed, bed_object_t);
      g_tree_insert (bed->objects, talloc_strdup (o, name), o);
    }
  talloc_free ((void *)o->value.p);
  o->value = buf_copy (o, value);
  o->version = version;
}

static void
_bed_reply_object (bed_event_t *r, const char *name, const bed_object_t *o)
{
  r->objects = talloc_realloc (r, r->objects, ev_object_t, r->count + 1);
  r->objects[r->count++] = (ev_object_t){ .name = talloc_strdup (r, name),
                                          .version = o->version,
                                          .value = buf_copy (r, o->value) };
}

typedef struct
{
  const char *prefix;
  bed_event_t *reply;
  uint64_t bytes;
} _bed_list_t;

static gboolean
_bed_list_visit (void *name, void *object, void *data)
{
  _bed_list_t *l = data;
  if (strncmp (name, l->prefix, strlen (l->prefix)) != 0)
    return FALSE;
  _bed_reply_object (l->reply, name, object);
  l->bytes += ((const bed_object_t *)object)->value.n;
  return FALSE;
}

static void
_bed_write (batbed_t *bed, const fx_platform_t *p, bed_event_t *r)
{
  const bed_object_t *o = g_tree_lookup (bed->objects, p->name);
  bed->totals.writes++;
  bed->totals.bytes_written += p->value.n;
  if ((o == NULL ? 0 : o->version) != p->if_version)
    {
      r->code = ST_CONFLICT;
      return;
    }
  if (p->op == FX_PLATFORM_DELETE)
    {
      g_tree_remove (bed->objects, p->name);
      return;
    }
  if (p->value.n > (1U << 20)
      || !g_utf8_validate (p->value.p, (gssize)p->value.n, NULL))
    {
      fprintf (stderr, "%s: %zu bytes or not UTF-8\n", p->name, p->value.n);
      abort ();
    }
  _bed_object_put (bed, p->name, p->value, ++bed->revision);
  _bed_reply_object (r, p->name, g_tree_lookup (bed->objects, p->name));
}

static void
_bed_read (batbed_t *bed, const fx_platform_t *p, bed_event_t *r)
{
  bed->totals.reads++;
  if (p->op == FX_PLATFORM_LIST)
    {
      _bed_list_t l = { .prefix = p->name, .reply = r };
      g_tree_foreach (bed->objects, _bed_list_visit, &l);
      bed->totals.bytes_read += l.bytes;
      return;
    }
  const bed_object_t *o = g_tree_lookup (bed->objects, p->name);
  if (o == NULL)
    {
      r->code = ST_NOT_FOUND;
      return;
    }
  bed->totals.bytes_read += o->value.n;
  _bed_reply_object (r, p->name, o);
}

void
bed_platform_serve (batbed_t *bed, bed_event_t *e)
{
  const fx_platform_t *p = &e->fx.platform;
  bool write = p->op == FX_PLATFORM_PUT || p->op == FX_PLATFORM_DELETE;
  bed_event_t *r
      = bed_event (bed, bed->now + bed_delay (bed, bed->desc.platform_ms),
                   BED_REPLY, e->vm);
  r->incarnation = e->incarnation;
  r->fx = (fx_t){ .platform = { .call = p->call } };
  bool unavailable
      = bed->now < bed->outage_until || bed_is_partitioned (bed, e->vm);
  if (unavailable || bed_chance (bed, bed->desc.refuse))
    {
      /* A write without effect may look as if its reply were lost. */
      bool silent = write && g_rand_boolean (bed->rand);
      r->code = silent ? ST_UNKNOWN : ST_UNAVAILABLE;
      r->at = bed->now + (silent ? BED_LOST_RESPONSE_MS : 5);
    }
  else
    {
      if (write)
        _bed_write (bed, p, r);
      else
        _bed_read (bed, p, r);
      if (write && (e->lose || bed_chance (bed, bed->desc.lose_response)))
        {
          r->code = ST_UNKNOWN;
          r->count = 0;
          r->at = bed->now + BED_LOST_RESPONSE_MS;
        }
    }
  if (bed->trace)
    fprintf (stderr, "%ld vm-%u op=%d %s if=%lu -> %s%s\n", (long)bed->now,
             e->vm, (int)p->op, p->name, (unsigned long)p->if_version,
             st_code_name (r->code), e->timed_out ? " late" : "");
  if (e->timed_out)
    talloc_free (r);
  else
    bed_event_add (bed, r);
}

/* -- upstreams ------------------------------------------------------------ */

void
bed_upstream_serve (batbed_t *bed, bed_event_t *e)
{
  const fx_upstream_t *u = &e->fx.upstream;
  void *call = GSIZE_TO_POINTER ((gsize)u->call);
  bool same_incarnation = bed->vm[e->vm].incarnation == e->incarnation;
  if (same_incarnation && bed->vm[e->vm].up
      && g_hash_table_contains (bed->vm[e->vm].cancelled, call))
    return;
  bed_event_t *a = bed_event (
      bed, bed->now + bed_delay (bed, bed->desc.item_ms), BED_RESPONSE, e->vm);
  a->incarnation = e->incarnation;
  a->fx = (fx_t){ .upstream = { .call = u->call } };
  bool broken = bed_chance (bed, bed->desc.break_call);
  if (broken && g_rand_boolean (bed->rand))
    {
      a->fail = EV_FAIL_NOT_SENT;
      a->status = -1;
      bed_event_add (bed, a);
      return;
    }
  gsize runs = 1 + GPOINTER_TO_SIZE (g_hash_table_lookup (bed->runs, e->body));
  g_hash_table_insert (bed->runs, g_strdup (e->body), GSIZE_TO_POINTER (runs));
  bool at_most_once = strcmp (u->path, "/orders") == 0;
  bed->totals.doubled += at_most_once && runs > 1;
  bed->totals.repeated += !at_most_once && runs == 2;
  if (at_most_once && runs > 1 && bed->trace)
    fprintf (stderr, "%ld DOUBLED %s vm-%u\n", (long)bed->now, e->body, e->vm);
  a->fail = EV_FAIL_UNKNOWN;
  a->status = broken ? -1 : 200;
  a->body = talloc_asprintf (a, "echo %s", u->body.p);
  if (strstr (u->body.p, "impossible") != NULL)
    {
      a->status = 422;
      a->body = "{\"error\":\"cannot be done\"}";
    }
  else if (strstr (u->body.p, "large") != NULL)
    a->body = talloc_asprintf (a, "%03000u", 7);
  else if (strstr (u->body.p, "endless") != NULL)
    a->endless = runs == 1;
  else if (strstr (u->body.p, "flaky") != NULL && runs <= 2)
    a->status = 500;
  bed_event_add (bed, a);
}

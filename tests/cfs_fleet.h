/** @file
 * Simulated fleet (prefix fleet_) under virtual time: VMs that run the
 * configuration store (cfs.h) and the keys (key.h), the links between them,
 * and a platform.
 *
 *   fleet_t *f = fleet_setup (ctx, &(fleet_desc_t){ .vms = 8, .seed = 1 });
 *   fleet_run (f, 5 * CLK_SECOND);
 *
 * For tests/test_cfs.c, tests/test_key.c and tools/measure_config.c; tests
 * that need complete nodes use flt.h.  Tests set the fields of fleet_t and
 * fleet_vm_t between runs to inject faults.  Times are in milliseconds.  The
 * fleet owns all VMs; a broken invariant ends the process.
 */
#ifndef RTS_CFS_FLEET_H
#define RTS_CFS_FLEET_H

#include "core/cfs.h"
#include "core/key.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

/** Parameters of a fleet; vms is required, zero elsewhere is the default. */
typedef struct
{
  unsigned vms;
  unsigned centres; /**< data centres; default 2 */
  uint32_t seed;
  cfs_base_check_t check;
  clk_ms_t platform_ms; /**< least latency one way, the largest is 3 times
                           this; default 2 */
} fleet_desc_t;

/** One VM. */
typedef struct
{
  env_t *env;
  cfs_t *cfs;
  key_set_t *key;
  void *ctx; /**< NULL: not running */
  char name[16];
  char centre[8];
  unsigned partition;       /**< VMs with the same number reach each other */
  bool platform_cut;        /**< the platform is unreachable for this VM */
  uint64_t highest_version; /**< highest version since the last start */
  uint64_t incarnation;     /**< number of starts and stops */
  clk_ms_t adopted_at;      /**< time of the last new version */
} fleet_vm_t;

/** An object in the platform. */
typedef struct
{
  uint64_t version;
  GBytes *value;
  GBytes *previous; /**< for stale reads */
  uint64_t previous_version;
} fleet_object_t;

/** Copy of an object at the time of a reply. */
typedef struct
{
  char *name;
  uint64_t version;
  GBytes *value; /**< NULL: deleted */
} fleet_view_t;

/** Kinds of event. */
typedef enum
{
  FLEET_CALL,  /**< a call arrives at the platform */
  FLEET_REPLY, /**< a reply of the platform arrives at a VM */
  FLEET_MSG,   /**< a message arrives at a VM */
} fleet_kind_t;

/** An event that happens at a virtual time. */
typedef struct
{
  clk_ms_t at;
  uint64_t seq;
  fleet_kind_t kind;
  unsigned vm;
  uint64_t incarnation; /**< of the receiving VM */
  fx_platform_t call;
  char *name; /**< object of the call, or sender of the message */
  GBytes *value;
  uint16_t msg;
  st_code_t code;
  GPtrArray *views; /**< objects of a reply */
  uint64_t revision;
} fleet_event_t;

/** A simulated fleet. */
typedef struct
{
  fleet_desc_t desc;
  fleet_vm_t *vm;
  GRand *rand;
  clk_ms_t now;
  uint64_t seq;
  GTree *events;
  GHashTable *objects;
  uint64_t revision;
  GPtrArray *watches; /**< fleet_event_t: watch calls without a reply */
  bool platform_down;
  double lose_response; /**< share of the writes whose reply is lost, 0 to 1 */
  double lose_message;  /**< share of the messages that are lost, 0 to 1 */
  double stale_read;    /**< share of the reads that return the previous
                             version, 0 to 1 */
  clk_ms_t watch_lag;   /**< largest additional delay of a watch's reply */
  uint64_t calls;       /**< calls that reached the platform */
  uint64_t messages;    /**< messages sent */
  uint64_t message_bytes;
} fleet_t;

static inline int
fleet_event_compare (const void *a, const void *b, void *data)
{
  const fleet_event_t *x = a;
  const fleet_event_t *y = b;
  (void)data;
  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  return x->seq < y->seq ? -1 : x->seq > y->seq;
}

static inline void
fleet_view_free (void *data)
{
  fleet_view_t *view = data;
  g_free (view->name);
  if (view->value != NULL)
    g_bytes_unref (view->value);
  g_free (view);
}

static inline void
fleet_event_free (void *data)
{
  fleet_event_t *e = data;
  g_free (e->name);
  if (e->value != NULL)
    g_bytes_unref (e->value);
  if (e->views != NULL)
    g_ptr_array_free (e->views, TRUE);
  g_free (e);
}

static inline void
fleet_object_free (void *data)
{
  fleet_object_t *o = data;
  if (o->value != NULL)
    g_bytes_unref (o->value);
  if (o->previous != NULL)
    g_bytes_unref (o->previous);
  g_free (o);
}

static inline void
fleet_event_post (fleet_t *f, fleet_event_t *e, clk_ms_t at)
{
  e->at = at;
  e->seq = ++f->seq;
  g_tree_insert (f->events, e, e);
}

static inline clk_ms_t
fleet_latency (fleet_t *f, clk_ms_t base)
{
  return g_rand_int_range (f->rand, (gint32)base, (gint32)(3 * base) + 1);
}

static inline bool
fleet_chance (fleet_t *f, double share)
{
  return share > 0 && g_rand_double (f->rand) < share;
}

static inline void fleet_effects_run (fleet_t *f, unsigned i);

static inline void
fleet_membership_update (fleet_t *f, unsigned i)
{
  ev_vm_t *vms = g_new0 (ev_vm_t, f->desc.vms);
  for (unsigned j = 0; j < f->desc.vms; j++)
    vms[j] = (ev_vm_t){ .vm = f->vm[j].name,
                        .data_centre = f->vm[j].centre,
                        .address = "" };
  cfs_peers_changed (f->vm[i].cfs, f->vm[i].env, vms, f->desc.vms);
  g_free (vms);
}

/* Start or restart VM I with empty memory. */
static inline void
fleet_start (fleet_t *f, unsigned i)
{
  fleet_vm_t *v = &f->vm[i];
  talloc_free (v->ctx);
  v->ctx = talloc_new (f);
  v->incarnation++;
  v->highest_version = 0;
  v->env = env_setup (v->ctx, &(env_desc_t){ .vm = v->name,
                                             .data_centre = v->centre,
                                             .incarnation = v->incarnation,
                                             .seed = g_rand_int (f->rand) });
  plt_shutdown (v->env->plt);
  v->env->plt = plt_setup (
      v->env, &(plt_desc_t){ .calls_per_second = 500, .burst = 2000 });
  v->env->now = f->now;
  v->cfs = cfs_setup (v->ctx, v->env, &(cfs_desc_t){ .check = f->desc.check });
  v->key = key_setup (v->ctx, &(key_desc_t){ .peers = cfs_peers (v->cfs) });
  cfs_start (v->cfs, v->env);
  key_start (v->key, v->env);
  fleet_membership_update (f, i);
  for (unsigned j = 0; j < f->desc.vms; j++)
    {
      if (j == i || f->vm[j].ctx == NULL || f->vm[j].partition != v->partition)
        continue;
      if (f->desc.vms > SPR_FULL_MESH_MAX)
        continue;
      cfs_peer_up (v->cfs, v->env, f->vm[j].name);
      cfs_peer_up (f->vm[j].cfs, f->vm[j].env, v->name);
      key_peer_up (v->key, v->env, f->vm[j].name);
      fleet_effects_run (f, j);
    }
  fleet_effects_run (f, i);
}

static inline void
fleet_stop (fleet_t *f, unsigned i)
{
  talloc_free (f->vm[i].ctx);
  f->vm[i].ctx = NULL;
  f->vm[i].incarnation++;
}

static inline int
fleet_destroy (fleet_t *f)
{
  g_tree_destroy (f->events);
  g_hash_table_destroy (f->objects);
  g_ptr_array_free (f->watches, TRUE);
  g_rand_free (f->rand);
  return 0;
}

static inline fleet_t *
fleet_setup (void *ctx, const fleet_desc_t *desc)
{
  fleet_t *f = talloc_zero (ctx, fleet_t);
  f->desc = *desc;
  if (f->desc.centres == 0)
    f->desc.centres = 2;
  if (f->desc.platform_ms == 0)
    f->desc.platform_ms = 2;
  f->rand = g_rand_new_with_seed (desc->seed);
  f->now = 1000000;
  f->events
      = g_tree_new_full (fleet_event_compare, NULL, NULL, fleet_event_free);
  f->objects = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                      fleet_object_free);
  f->watches = g_ptr_array_new_with_free_func (fleet_event_free);
  f->revision = 1;
  talloc_set_destructor (f, fleet_destroy);
  f->vm = talloc_zero_array (f, fleet_vm_t, desc->vms);
  for (unsigned i = 0; i < desc->vms; i++)
    {
      fleet_vm_t *v = &f->vm[i];
      g_snprintf (v->centre, sizeof v->centre, "dc-%u", i % f->desc.centres);
      g_snprintf (v->name, sizeof v->name, "%s-%u", v->centre, i);
    }
  for (unsigned i = 0; i < desc->vms; i++)
    fleet_start (f, i);
  return f;
}

static inline void
fleet_shutdown (fleet_t *f)
{
  talloc_free (f);
}

/* Deliver the platform reply E to VM I. */
static inline void
fleet_reply_deliver (fleet_t *f, unsigned i, const fleet_event_t *e)
{
  fleet_vm_t *v = &f->vm[i];
  size_t n = e->views == NULL ? 0 : e->views->len;
  ev_object_t *objects = g_new0 (ev_object_t, n + 1);
  for (size_t k = 0; k < n; k++)
    {
      const fleet_view_t *view = g_ptr_array_index (e->views, k);
      objects[k].name = view->name;
      objects[k].version = view->version;
      if (view->value == NULL)
        objects[k].deleted = true;
      else
        objects[k].value.p
            = g_bytes_get_data (view->value, &objects[k].value.n);
    }
  ev_platform_t reply = { .call = e->call.call,
                          .code = e->code,
                          .objects = objects,
                          .object_count = n,
                          .revision = e->revision };
  plt_done_t done;
  if (plt_reply (v->env, &reply, &done))
    {
      if (done.mod == MOD_CONFIG)
        cfs_platform_replied (v->cfs, v->env, &done, &reply);
      else
        key_platform_replied (v->key, v->env, &done, &reply);
    }
  g_free (objects);
}

static inline fleet_event_t *
fleet_reply_new (fleet_t *f, const fleet_event_t *e, st_code_t code)
{
  fleet_event_t *r = g_new0 (fleet_event_t, 1);
  r->kind = FLEET_REPLY;
  r->vm = e->vm;
  r->incarnation = e->incarnation;
  r->call = e->call;
  r->code = code;
  r->revision = f->revision;
  r->views = g_ptr_array_new_with_free_func (fleet_view_free);
  return r;
}

/* Add the object NAME to the reply R, with STALE as the object was before its
   last change. */
static inline void
fleet_view_add (fleet_t *f, fleet_event_t *r, const char *name, bool stale)
{
  const fleet_object_t *o = g_hash_table_lookup (f->objects, name);
  fleet_view_t *view = g_new0 (fleet_view_t, 1);
  view->name = g_strdup (name);
  if (o != NULL)
    {
      bool old = stale && o->previous != NULL;
      view->value = g_bytes_ref (old ? o->previous : o->value);
      view->version = old ? o->previous_version : o->version;
    }
  g_ptr_array_add (r->views, view);
}

static inline void
fleet_reply_post (fleet_t *f, fleet_event_t *r)
{
  fleet_event_post (f, r, f->now + fleet_latency (f, f->desc.platform_ms));
}

/* Reply to the watches of NAME, which has just changed. */
static inline void
fleet_notify (fleet_t *f, const char *name)
{
  for (guint i = f->watches->len; i > 0; i--)
    {
      fleet_event_t *w = g_ptr_array_index (f->watches, i - 1);
      if (!g_str_has_prefix (name, w->name))
        continue;
      fleet_event_t *r = fleet_reply_new (f, w, ST_OK);
      fleet_view_add (f, r, name, false);
      fleet_event_post (f, r,
                        f->now + fleet_latency (f, f->desc.platform_ms)
                            + (f->watch_lag > 0 ? g_rand_int_range (
                                   f->rand, 0, (gint32)f->watch_lag)
                                                : 0));
      g_ptr_array_remove_index (f->watches, i - 1);
    }
}

static inline void
fleet_put (fleet_t *f, const fleet_event_t *e)
{
  fleet_object_t *o = g_hash_table_lookup (f->objects, e->name);
  gsize size = 0;
  const char *value = g_bytes_get_data (e->value, &size);
  g_assert (g_utf8_validate (value, (gssize)size, NULL) && size <= 1000000);
  if ((o == NULL ? 0 : o->version) != e->call.if_version)
    {
      fleet_reply_post (f, fleet_reply_new (f, e, ST_CONFLICT));
      return;
    }
  if (o == NULL)
    {
      o = g_new0 (fleet_object_t, 1);
      g_hash_table_insert (f->objects, g_strdup (e->name), o);
    }
  if (o->previous != NULL)
    g_bytes_unref (o->previous);
  o->previous = o->value;
  o->previous_version = o->version;
  o->value = g_bytes_ref (e->value);
  o->version = ++f->revision;
  bool lost = fleet_chance (f, f->lose_response);
  fleet_event_t *r = fleet_reply_new (f, e, lost ? ST_UNKNOWN : ST_OK);
  if (!lost)
    fleet_view_add (f, r, e->name, false);
  fleet_reply_post (f, r);
  fleet_notify (f, e->name);
}

static inline void
fleet_list (fleet_t *f, const fleet_event_t *e)
{
  fleet_event_t *r = fleet_reply_new (f, e, ST_OK);
  GHashTableIter it;
  gpointer key;
  gpointer value;
  g_hash_table_iter_init (&it, f->objects);
  while (g_hash_table_iter_next (&it, &key, &value))
    {
      const fleet_object_t *o = value;
      if (g_str_has_prefix (key, e->name)
          && o->version
                 > (e->call.op == FX_PLATFORM_WATCH ? e->call.revision : 0))
        fleet_view_add (f, r, key, false);
    }
  if (e->call.op == FX_PLATFORM_LIST || r->views->len > 0)
    {
      fleet_reply_post (f, r);
      return;
    }
  fleet_event_free (r);
  fleet_event_t *w = g_new0 (fleet_event_t, 1);
  *w = *e;
  w->name = g_strdup (e->name);
  w->value = NULL;
  w->views = NULL;
  g_ptr_array_add (f->watches, w);
}

static inline void
fleet_call_handle (fleet_t *f, const fleet_event_t *e)
{
  f->calls++;
  if (f->platform_down || f->vm[e->vm].platform_cut)
    {
      fleet_reply_post (f, fleet_reply_new (f, e, ST_UNAVAILABLE));
      return;
    }
  fleet_object_t *o = g_hash_table_lookup (f->objects, e->name);
  fleet_event_t *r;
  switch (e->call.op)
    {
    case FX_PLATFORM_GET:
      r = fleet_reply_new (f, e, o == NULL ? ST_NOT_FOUND : ST_OK);
      if (o != NULL)
        fleet_view_add (f, r, e->name, fleet_chance (f, f->stale_read));
      fleet_reply_post (f, r);
      break;
    case FX_PLATFORM_PUT:
      fleet_put (f, e);
      break;
    case FX_PLATFORM_DELETE:
      if (o != NULL && o->version == e->call.if_version)
        g_hash_table_remove (f->objects, e->name);
      fleet_reply_post (f, fleet_reply_new (f, e, ST_OK));
      break;
    case FX_PLATFORM_LIST:
    case FX_PLATFORM_WATCH:
      fleet_list (f, e);
      break;
    default:
      break;
    }
}

/* Make the platform unavailable; watches in progress fail. */
static inline void
fleet_platform_stop (fleet_t *f)
{
  f->platform_down = true;
  for (guint i = 0; i < f->watches->len; i++)
    fleet_reply_post (f, fleet_reply_new (f, g_ptr_array_index (f->watches, i),
                                          ST_UNAVAILABLE));
  g_ptr_array_set_size (f->watches, 0);
}

static inline unsigned
fleet_vm_index (const fleet_t *f, const char *name)
{
  const char *number = strrchr (name, '-');
  unsigned i = (unsigned)g_ascii_strtoull (number + 1, NULL, 10);
  return i < f->desc.vms ? i : 0;
}

static inline void
fleet_send (fleet_t *f, unsigned from, const fx_peer_t *peer)
{
  unsigned to = fleet_vm_index (f, peer->vm);
  f->messages++;
  f->message_bytes += peer->msg.body.n;
  if (f->vm[to].partition != f->vm[from].partition
      || fleet_chance (f, f->lose_message))
    return;
  fleet_event_t *e = g_new0 (fleet_event_t, 1);
  e->kind = FLEET_MSG;
  e->vm = to;
  e->incarnation = f->vm[to].incarnation;
  e->name = g_strdup (f->vm[from].name);
  e->msg = peer->msg.kind;
  e->value = g_bytes_new (peer->msg.body.p, peer->msg.body.n);
  fleet_event_post (f, e, f->now + fleet_latency (f, 1));
}

static inline void
fleet_effects_run (fleet_t *f, unsigned i)
{
  fleet_vm_t *v = &f->vm[i];
  plt_done_t done;
  ev_platform_t refused = { .code = ST_UNAVAILABLE };
  while (plt_refused_pop (v->env, &done))
    {
      if (done.mod == MOD_CONFIG)
        cfs_platform_replied (v->cfs, v->env, &done, &refused);
      else
        key_platform_replied (v->key, v->env, &done, &refused);
    }
  for (size_t k = 0; k < v->env->fx->count; k++)
    {
      const fx_t *fx = &v->env->fx->v[k];
      if (fx->kind == FX_PEER_SEND)
        fleet_send (f, i, &fx->peer);
      if (fx->kind != FX_PLATFORM)
        continue;
      fleet_event_t *e = g_new0 (fleet_event_t, 1);
      e->kind = FLEET_CALL;
      e->vm = i;
      e->incarnation = v->incarnation;
      e->call = fx->platform;
      e->name = g_strdup (fx->platform.name);
      e->value = g_bytes_new (fx->platform.value.p, fx->platform.value.n);
      fleet_event_post (f, e, f->now + fleet_latency (f, f->desc.platform_ms));
    }
  fx_clear (v->env->fx);
  if (cfs_changed (v->cfs))
    {
      g_assert (cfs_version (v->cfs) > 0);
      v->adopted_at = f->now;
    }
  g_assert (cfs_version (v->cfs) >= v->highest_version);
  v->highest_version = cfs_version (v->cfs);
}

static inline void
fleet_event_process (fleet_t *f, const fleet_event_t *e)
{
  fleet_vm_t *v = &f->vm[e->vm];
  if (e->kind == FLEET_CALL)
    {
      fleet_call_handle (f, e);
      return;
    }
  if (v->ctx == NULL || v->incarnation != e->incarnation)
    return;
  v->env->now = f->now;
  if (e->kind == FLEET_REPLY)
    fleet_reply_deliver (f, e->vm, e);
  else
    {
      msg_t msg = { .kind = e->msg };
      msg.body.p = g_bytes_get_data (e->value, &msg.body.n);
      if (msg.kind < MSG_KEY_FIRST)
        cfs_message_received (v->cfs, v->env, e->name, &msg);
      else
        key_message_received (v->key, v->env, e->name, &msg);
    }
  fleet_effects_run (f, e->vm);
}

static inline void
fleet_timers_run (fleet_t *f, unsigned i)
{
  fleet_vm_t *v = &f->vm[i];
  tmr_due_t due;
  v->env->now = f->now;
  while (tmr_pop (v->env->tmr, f->now, &due))
    {
      if (due.mod == MOD_CONFIG)
        cfs_timer_fired (v->cfs, v->env, due.tag);
      else
        key_timer_fired (v->key, v->env, due.tag);
      fleet_effects_run (f, i);
    }
}

/* Run for SPAN, or until UNTIL (may be NULL) returns true; returns whether
   UNTIL did. */
static inline bool
fleet_run_until (fleet_t *f, clk_ms_t span, bool (*until) (fleet_t *, void *),
                 void *data)
{
  clk_ms_t end = f->now + span;
  for (;;)
    {
      if (until != NULL && until (f, data))
        return true;
      clk_ms_t next = CLK_NEVER;
      GTreeNode *node = g_tree_node_first (f->events);
      if (node != NULL)
        next = ((fleet_event_t *)g_tree_node_key (node))->at;
      for (unsigned i = 0; i < f->desc.vms; i++)
        {
          if (f->vm[i].ctx != NULL)
            next = clk_min (next, tmr_next (f->vm[i].env->tmr));
        }
      if (next > end)
        break;
      f->now = clk_max (f->now, next);
      while ((node = g_tree_node_first (f->events)) != NULL)
        {
          fleet_event_t *e = g_tree_node_key (node);
          if (e->at > f->now)
            break;
          g_tree_steal (f->events, e);
          fleet_event_process (f, e);
          fleet_event_free (e);
        }
      for (unsigned i = 0; i < f->desc.vms; i++)
        {
          if (f->vm[i].ctx != NULL)
            fleet_timers_run (f, i);
        }
    }
  f->now = end;
  return false;
}

static inline void
fleet_run (fleet_t *f, clk_ms_t span)
{
  (void)fleet_run_until (f, span, NULL, NULL);
}

/* Start CHANGE at VM I; returns its id. */
static inline uint64_t
fleet_apply (fleet_t *f, unsigned i, const cfs_change_t *change)
{
  f->vm[i].env->now = f->now;
  uint64_t id = cfs_apply (f->vm[i].cfs, f->vm[i].env, change);
  fleet_effects_run (f, i);
  return id;
}

/* Whether all running VMs have VERSION (a uint64_t) or a newer version. */
static inline bool
fleet_has_version (fleet_t *f, void *version)
{
  for (unsigned i = 0; i < f->desc.vms; i++)
    {
      if (f->vm[i].ctx != NULL
          && cfs_version (f->vm[i].cfs) < *(uint64_t *)version)
        return false;
    }
  return true;
}

#endif

#include "core/pth.h"

#include "core/inv.h"
#include "core/mpk.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

/** Calls wait and nothing has come from any upstream for this long: look
 * whether this VM reaches them. */
#define PTH_SILENT_MS ((clk_ms_t)300)
/** Failed connections that are further apart are not looked at together. */
#define PTH_FAILURES_MS (2 * CLK_SECOND)
/** Different upstreams to which connections have failed before this VM looks
 * whether it reaches any. */
#define PTH_FAILURES_MIN 2
/** In one look, other VMs are asked at most that often until one says whether
 * it reaches an upstream. */
#define PTH_CHECKS_MAX 4
/** Upstreams that are tried in one look. */
#define PTH_PROBES 3
/** Time limits of a probe. */
#define PTH_PROBE_CONNECT_MS ((clk_ms_t)250)
#define PTH_PROBE_MS ((clk_ms_t)400)
/** Shortest time between two looks. */
#define PTH_LOOK_MS CLK_SECOND
/** Time between two tries of the direct path while this VM is cut off. */
#define PTH_RETRY_MS ((clk_ms_t)400)
/** A VM that has refused, or was not reached, is not asked for this long. */
#define PTH_REFUSED_MS ((clk_ms_t)500)

/** What this VM does about the direct path. */
typedef enum
{
  PTH_DIRECT,   /**< it is in use */
  PTH_LOOKING,  /**< a few upstreams are tried directly */
  PTH_CHECKING, /**< the same ones are tried through another VM */
  PTH_CUT_OFF,  /**< it is not in use */
} _pth_state_t;

/** A VM that passes calls on. */
typedef struct
{
  bool linked;            /**< there is a link to it */
  char *tunnel;           /**< its address; owned by the entry */
  bool cut_off;           /**< it does not reach the upstreams itself */
  uint32_t calls;         /**< of this VM, through it */
  clk_ms_t refused_until; /**< it is not asked until then */
} _pth_helper_t;

/** An upstream that is tried. */
typedef struct
{
  char *address;
  uint64_t call; /**< 0: none */
} _pth_probe_t;

struct pth
{
  pth_desc_t desc;
  const cfg_doc_t *doc;
  _pth_state_t state;
  bool leaving;
  GHashTable *helpers; /**< VM name to _pth_helper_t */
  GHashTable *failed;  /**< set of addresses: connections failed since
                            failed_since */
  clk_ms_t failed_since;
  clk_ms_t heard_at;     /**< last byte of an upstream on a direct path */
  clk_ms_t quiet_from;   /**< calls wait since then, or later */
  uint32_t direct_calls; /**< in progress */
  _pth_probe_t probes[PTH_PROBES];
  size_t probe_count;
  size_t probes_open; /**< without an outcome */
  size_t probes_good;
  size_t probes_dead;     /**< upstreams that another VM does not reach
                               either */
  unsigned checks;        /**< PTH_CHECKING: VMs were asked that often */
  unsigned good_in_a_row; /**< PTH_CUT_OFF: direct probes that succeeded */
  clk_ms_t looked_at;
  clk_ms_t cut_since; /**< first sign of the cut */
  bool cut_news;      /**< pth_cut_began has not told of it */
  bool armed;         /**< a timer is set */
};

static void
_pth_helper_free (void *helper)
{
  talloc_free (helper);
}

static int
_pth_destroy (pth_t *p)
{
  g_hash_table_destroy (p->helpers);
  g_hash_table_destroy (p->failed);
  return 0;
}

pth_t *
pth_setup (void *ctx, const pth_desc_t *desc)
{
  pth_t *p = talloc_zero (ctx, pth_t);
  p->desc = *desc;
  p->desc.tunnel
      = desc->tunnel == NULL ? NULL : talloc_strdup (p, desc->tunnel);
  p->helpers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                      _pth_helper_free);
  p->failed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  p->looked_at = -PTH_LOOK_MS;
  talloc_set_destructor (p, _pth_destroy);
  return p;
}

void
pth_shutdown (pth_t *p)
{
  talloc_free (p);
}

void
pth_config_changed (pth_t *p, const cfg_doc_t *doc)
{
  p->doc = doc;
}

/* -- other VMs ------------------------------------------------------------ */

static void
_pth_state_send (const pth_t *p, env_t *env, const char *vm)
{
  void *tmp = talloc_new (p);
  mpk_writer_t w;
  bool helps = p->desc.tunnel != NULL && !p->leaving;
  mpk_writer_init (&w, tmp);
  mpk_put_str (&w, buf_str (helps ? p->desc.tunnel : ""));
  mpk_put_uint (&w, p->state == PTH_CUT_OFF);
  fx_peer_send (env->fx, vm, MSG_PATH_STATE, mpk_done (&w));
  talloc_free (tmp);
}

/** Sends the state to the VMs to which there are links. */
static void
_pth_state_send_all (const pth_t *p, env_t *env)
{
  GHashTableIter iter;
  void *vm;
  void *helper;
  g_hash_table_iter_init (&iter, p->helpers);
  while (g_hash_table_iter_next (&iter, &vm, &helper))
    if (((const _pth_helper_t *)helper)->linked)
      _pth_state_send (p, env, vm);
}

void
pth_leave (pth_t *p, env_t *env)
{
  p->leaving = true;
  _pth_state_send_all (p, env);
}

static _pth_helper_t *
_pth_helper_get (pth_t *p, const char *vm)
{
  _pth_helper_t *h = g_hash_table_lookup (p->helpers, vm);
  if (h != NULL)
    return h;
  h = talloc_zero (p, _pth_helper_t);
  g_hash_table_insert (p->helpers, g_strdup (vm), h);
  return h;
}

void
pth_peer_up (pth_t *p, env_t *env, const char *vm)
{
  _pth_helper_get (p, vm)->linked = true;
  _pth_state_send (p, env, vm);
}

void
pth_peer_down (pth_t *p, const char *vm)
{
  _pth_helper_t *h = _pth_helper_get (p, vm);
  h->linked = false;
  TALLOC_FREE (h->tunnel);
}

void
pth_message_received (pth_t *p, env_t *env, const char *vm, const msg_t *msg)
{
  void *tmp = talloc_new (p);
  mpk_reader_t r = mpk_reader (tmp, msg->body);
  buf_t tunnel = mpk_get_str (&r);
  bool cut_off = mpk_get_uint (&r) != 0;
  if (msg->kind != MSG_PATH_STATE || !mpk_end (&r))
    {
      tln_record (env->tln, env->now, MOD_PATH, "message-refused", "vm=%s",
                  vm);
      talloc_free (tmp);
      return;
    }
  _pth_helper_t *h = _pth_helper_get (p, vm);
  TALLOC_FREE (h->tunnel);
  h->tunnel = tunnel.n > 0 ? buf_to_str (h, tunnel) : NULL;
  h->cut_off = cut_off;
  h->refused_until = 0;
  talloc_free (tmp);
}

/** Whether H is a better choice than BEST: near VMs first, then those with
 * fewer calls of this VM. */
static bool
_pth_is_better (const _pth_helper_t *h, bool near, const _pth_helper_t *best,
                bool best_near)
{
  if (best == NULL || near != best_near)
    return best == NULL || near;
  return h->calls < best->calls;
}

/** The VM that is to pass the next call on; NULL: none helps.  What VMs of
 * this data centre reach is no evidence of what those of others do, so a look
 * asks any. */
static const char *
_pth_helper_pick (const pth_t *p, env_t *env, const char **tunnel)
{
  bool any = p->state != PTH_CUT_OFF;
  const char *name = NULL;
  const _pth_helper_t *best = NULL;
  bool best_near = false;
  size_t count = mbr_vm_count (p->desc.members);
  size_t first = count == 0 ? 0 : g_rand_int (env->rand) % count;
  for (size_t i = 0; i < count; i++)
    {
      const mbr_vm_t *vm = mbr_vm_get (p->desc.members, (first + i) % count);
      const _pth_helper_t *h = g_hash_table_lookup (p->helpers, vm->name);
      if (h == NULL || h->tunnel == NULL || h->cut_off || vm->self || !vm->up
          || vm->leaving || env->now < h->refused_until)
        continue;
      bool near = any || strcmp (vm->data_centre, env->data_centre) == 0;
      if (!_pth_is_better (h, near, best, best_near))
        continue;
      best = h;
      best_near = near;
      name = vm->name;
    }
  if (best != NULL)
    *tunnel = best->tunnel;
  return name;
}

const char *
pth_via (pth_t *p, env_t *env, fx_way_t way, const char **tunnel)
{
  *tunnel = NULL;
  if (way == FX_WAY_DIRECT || (way == FX_WAY_ANY && p->state != PTH_CUT_OFF))
    return NULL;
  return _pth_helper_pick (p, env, tunnel);
}

/** VM has refused to help, or was not reached, as UP says. */
static void
_pth_helper_refused (const pth_t *p, env_t *env, const char *vm,
                     const ev_upstream_t *up)
{
  _pth_helper_t *h = vm == NULL ? NULL : g_hash_table_lookup (p->helpers, vm);
  if (h != NULL)
    h->refused_until = env->now + PTH_REFUSED_MS;
  tln_record (env->tln, env->now, MOD_PATH, "helper-refused", "vm=%s why=%s",
              vm == NULL ? "" : vm,
              up->tunnel == EV_TUNNEL_REFUSED ? "refused" : "unreached");
  cnt_add (env->cnt, "rts_path_refused_total", "", 1);
}

bool
pth_admit (pth_t *p, env_t *env, size_t open)
{
  bool admitted
      = p->state == PTH_DIRECT && !p->leaving && open < PTH_TUNNELS_MAX;
  cnt_add (env->cnt, "rts_path_helped_total",
           admitted ? "outcome=\"helped\"" : "outcome=\"refused\"", 1);
  return admitted;
}

/* -- looking -------------------------------------------------------------- */

static void
_pth_timer_arm (pth_t *p, env_t *env, clk_ms_t at)
{
  if (p->armed)
    return;
  p->armed = true;
  tmr_arm (env->tmr, at, MOD_PATH, 0);
}

static bool
_pth_is_probed (const pth_t *p, const char *address)
{
  for (size_t i = 0; i < p->probe_count; i++)
    if (strcmp (p->probes[i].address, address) == 0)
      return true;
  return false;
}

static void
_pth_probe_add (pth_t *p, const char *address)
{
  p->probes[p->probe_count++].address = talloc_strdup (p, address);
}

/** Draws the upstreams to be tried at random. */
static void
_pth_probes_draw (pth_t *p, env_t *env)
{
  size_t count = p->doc == NULL ? 0 : p->doc->upstream_count;
  for (size_t i = 0; i < PTH_PROBES; i++)
    TALLOC_FREE (p->probes[i].address);
  p->probe_count = 0;
  size_t first = count == 0 ? 0 : g_rand_int (env->rand) % count;
  size_t step = count <= PTH_PROBES ? 1 : count / PTH_PROBES;
  for (size_t i = 0; i < count && p->probe_count < PTH_PROBES; i++)
    {
      const cfg_upstream_t *u = &p->doc->upstreams[(first + i * step) % count];
      if (!u->leaving && !_pth_is_probed (p, u->address))
        _pth_probe_add (p, u->address);
    }
}

/** Tries the upstreams that were drawn on WAY. */
static void
_pth_probes_send (pth_t *p, env_t *env, fx_way_t way)
{
  p->probes_open = 0;
  p->probes_good = 0;
  p->probes_dead = 0;
  for (size_t i = 0; i < p->probe_count; i++)
    {
      _pth_probe_t *probe = &p->probes[i];
      probe->call
          = upc_call (env, MOD_PATH, i,
                      &(fx_upstream_t){ .address = probe->address,
                                        .method = "GET",
                                        .path = "/load",
                                        .load_report = true,
                                        .way = way,
                                        .fresh_connection = true,
                                        .connect_ms = PTH_PROBE_CONNECT_MS,
                                        .first_byte_ms = PTH_PROBE_MS,
                                        .total_ms = PTH_PROBE_MS });
      p->probes_open += probe->call != 0;
    }
  cnt_add (env->cnt, "rts_path_probes_total", "", p->probes_open);
}

/** Looks whether this VM reaches the upstreams. */
static void
_pth_look (pth_t *p, env_t *env)
{
  const char *tunnel = NULL;
  if (p->state != PTH_DIRECT || env->now < p->looked_at + PTH_LOOK_MS
      || _pth_helper_pick (p, env, &tunnel) == NULL)
    return;
  p->looked_at = env->now;
  _pth_probes_draw (p, env);
  if (p->probe_count == 0)
    return;
  p->state = PTH_LOOKING;
  _pth_probes_send (p, env, FX_WAY_DIRECT);
}

/** This VM is cut off: another one reaches upstreams that it does not. */
static void
_pth_cut_begin (pth_t *p, env_t *env)
{
  p->state = PTH_CUT_OFF;
  p->good_in_a_row = 0;
  p->cut_since
      = g_hash_table_size (p->failed) > 0 ? p->failed_since : p->looked_at;
  p->cut_news = true;
  tln_record (env->tln, env->now, MOD_PATH, "cut-off",
              "failed=%u tried=%zu reached_by_others=%zu heard_age_ms=%lld",
              g_hash_table_size (p->failed), p->probe_count, p->probes_good,
              (long long)(env->now - p->heard_at));
  cnt_add (env->cnt, "rts_path_cuts_total", "", 1);
  _pth_state_send_all (p, env);
  _pth_timer_arm (p, env, env->now + PTH_RETRY_MS);
}

static void
_pth_direct_again (pth_t *p, env_t *env)
{
  if (p->state == PTH_CUT_OFF)
    tln_record (env->tln, env->now, MOD_PATH, "direct", "cut_ms=%lld good=%u",
                (long long)(env->now - p->cut_since), p->good_in_a_row);
  bool was_cut_off = p->state == PTH_CUT_OFF;
  p->state = PTH_DIRECT;
  g_hash_table_remove_all (p->failed);
  p->quiet_from = env->now;
  if (was_cut_off)
    _pth_state_send_all (p, env);
}

/** Asks other VMs whether they reach the upstreams that this one does not. */
static void
_pth_check (pth_t *p, env_t *env)
{
  const char *tunnel = NULL;
  bool asks = p->checks++ < PTH_CHECKS_MAX
              && _pth_helper_pick (p, env, &tunnel) != NULL;
  if (asks)
    _pth_probes_send (p, env, FX_WAY_TUNNEL);
  if (!asks || p->probes_open == 0)
    _pth_direct_again (p, env);
}

/** All upstreams that were tried have an outcome. */
static void
_pth_probes_done (pth_t *p, env_t *env)
{
  switch (p->state)
    {
    case PTH_LOOKING:
      if (p->probes_good > 0)
        {
          _pth_direct_again (p, env);
          return;
        }
      p->state = PTH_CHECKING;
      p->checks = 0;
      _pth_check (p, env);
      return;
    case PTH_CHECKING:
      if (p->probes_good > 0)
        _pth_cut_begin (p, env);
      else if (p->probes_dead > 0)
        _pth_direct_again (p, env);
      else
        _pth_check (p, env);
      return;
    case PTH_CUT_OFF:
      p->good_in_a_row = p->probes_good == p->probe_count
                             ? p->good_in_a_row + (unsigned)p->probes_good
                             : 0;
      if (p->good_in_a_row >= PTH_GOOD_PROBES)
        _pth_direct_again (p, env);
      else
        _pth_timer_arm (p, env, env->now + PTH_RETRY_MS);
      return;
    case PTH_DIRECT:
      return;
    }
}

void
pth_upstream_event (pth_t *p, env_t *env, uint64_t tag, const ev_t *ev)
{
  _pth_probe_t *probe = tag < PTH_PROBES ? &p->probes[tag] : NULL;
  if (probe == NULL || probe->call != ev->upstream.call)
    return;
  if (ev->kind == EV_UPSTREAM_DATA || ev->kind == EV_UPSTREAM_END)
    return;
  /* Whatever it answers: it has been reached. */
  if (ev->kind == EV_UPSTREAM_HEAD || ev->upstream.malformed)
    {
      upc_cancel (env, probe->call);
      p->probes_good++;
    }
  else if (ev->upstream.tunnel == EV_TUNNEL_REFUSED
           || ev->upstream.tunnel == EV_TUNNEL_UNREACHED)
    _pth_helper_refused (p, env, ev->upstream.via, &ev->upstream);
  else
    p->probes_dead++;
  probe->call = 0;
  if (--p->probes_open == 0)
    _pth_probes_done (p, env);
}

void
pth_timer_fired (pth_t *p, env_t *env)
{
  p->armed = false;
  if (p->state == PTH_CUT_OFF && p->probes_open == 0)
    {
      _pth_probes_draw (p, env);
      _pth_probes_send (p, env, FX_WAY_DIRECT);
      if (p->probes_open == 0)
        _pth_timer_arm (p, env, env->now + PTH_RETRY_MS);
      return;
    }
  if (p->state != PTH_DIRECT || p->direct_calls == 0)
    return;
  clk_ms_t quiet_at = clk_max (p->heard_at, p->quiet_from) + PTH_SILENT_MS;
  if (env->now < quiet_at)
    _pth_timer_arm (p, env, quiet_at);
  else
    {
      _pth_look (p, env);
      _pth_timer_arm (p, env, env->now + PTH_SILENT_MS);
    }
}

/* -- calls ---------------------------------------------------------------- */

void
pth_call_begun (pth_t *p, env_t *env, const char *via)
{
  _pth_helper_t *h
      = via == NULL ? NULL : g_hash_table_lookup (p->helpers, via);
  if (h != NULL)
    {
      h->calls++;
      cnt_add (env->cnt, "rts_path_tunnelled_total", "", 1);
      return;
    }
  if (p->direct_calls++ == 0)
    p->quiet_from = env->now;
  if (p->state == PTH_DIRECT)
    _pth_timer_arm (p, env, env->now + PTH_SILENT_MS);
}

void
pth_call_ended (pth_t *p, const char *via)
{
  _pth_helper_t *h
      = via == NULL ? NULL : g_hash_table_lookup (p->helpers, via);
  if (h != NULL)
    h->calls -= h->calls > 0;
  else if (p->direct_calls > 0)
    p->direct_calls--;
}

/** No connection could be made to ADDRESS directly. */
static void
_pth_direct_failed (pth_t *p, env_t *env, const char *address)
{
  if (p->state != PTH_DIRECT)
    return;
  if (g_hash_table_size (p->failed) == 0
      || env->now - p->failed_since > PTH_FAILURES_MS)
    {
      g_hash_table_remove_all (p->failed);
      p->failed_since = env->now;
    }
  g_hash_table_add (p->failed, g_strdup (address));
  size_t known = p->doc == NULL ? 0 : p->doc->upstream_count;
  if (g_hash_table_size (p->failed) >= MIN (PTH_FAILURES_MIN, known))
    _pth_look (p, env);
}

/** Whether FAIL, through VIA, says nothing of the upstream. */
static bool
_pth_tunnel_failed (pth_t *p, env_t *env, const char *via,
                    const ev_upstream_t *fail)
{
  switch (fail->tunnel)
    {
    case EV_TUNNEL_UNREACHED:
    case EV_TUNNEL_REFUSED:
      _pth_helper_refused (p, env, via, fail);
      return true;
    case EV_TUNNEL_UNKNOWN:
      return true;
    case EV_TUNNEL_DEAD:
    case EV_TUNNEL_NONE:
      return false;
    }
  return false;
}

bool
pth_call_event (pth_t *p, env_t *env, const char *address, const char *via,
                const ev_t *ev)
{
  const ev_upstream_t *up = &ev->upstream;
  bool unsent = ev->kind == EV_UPSTREAM_FAIL && up->fail == EV_FAIL_NOT_SENT;
  if (via != NULL)
    return unsent && _pth_tunnel_failed (p, env, via, up);
  if (ev->kind == EV_UPSTREAM_HEAD || ev->kind == EV_UPSTREAM_DATA
      || up->malformed)
    p->heard_at = env->now;
  /* Connections of before may live on behind the cut. */
  if (ev->kind == EV_UPSTREAM_HEAD && up->connected && p->state == PTH_DIRECT)
    g_hash_table_remove_all (p->failed);
  if (!unsent)
    return false;
  _pth_direct_failed (p, env, address);
  return p->state != PTH_DIRECT;
}

/* -- state ---------------------------------------------------------------- */

bool
pth_is_cut_off (const pth_t *p)
{
  return p->state == PTH_CUT_OFF;
}

bool
pth_cut_began (pth_t *p, clk_ms_t *since)
{
  bool news = p->cut_news;
  p->cut_news = false;
  *since = p->cut_since;
  return news;
}

#include "core/crd.h"

#include "core/crd_int.h"
#include "core/inv.h"
#include "core/mpk.h"

#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#define CRD_REPORT_MS_DEFAULT 200
#define CRD_BURST_MS_DEFAULT 20
#define CRD_BURST_MEMORY_MS_DEFAULT (30 * CLK_SECOND)
#define CRD_SLOTS_DEFAULT 8
#define CRD_USERS_MAX 4 /* VMs of a data centre that use one upstream */
#define CRD_DEMAND_TTL_MS CLK_SECOND  /* a demand is reported this long */
#define CRD_UNREACHABLE_MS CLK_SECOND /* pause after a failed connection */

crd_t *
crd_setup (void *ctx, const crd_desc_t *desc)
{
  crd_t *c = talloc_zero (ctx, crd_t);
  c->desc = *desc;
  if (c->desc.report_ms == 0)
    c->desc.report_ms = CRD_REPORT_MS_DEFAULT;
  if (c->desc.burst_ms == 0)
    c->desc.burst_ms = CRD_BURST_MS_DEFAULT;
  if (c->desc.burst_memory_ms == 0)
    c->desc.burst_memory_ms = CRD_BURST_MEMORY_MS_DEFAULT;
  if (c->desc.default_slots == 0)
    c->desc.default_slots = CRD_SLOTS_DEFAULT;
  return c;
}

void
crd_shutdown (crd_t *c)
{
  talloc_free (c);
}

void
crd_start (crd_t *c, env_t *env)
{
  c->started = true;
  tmr_arm (env->tmr, env->now + env_jitter (env, c->desc.report_ms) / 4,
           MOD_CREDIT, CRD_TAG_REPORT);
}

bool
crd_owns_message (uint16_t kind)
{
  return kind == CRD_MSG_REPORT || kind == CRD_MSG_GRANT;
}

crd_upstream_t *
crd_find (const crd_t *c, const char *name)
{
  for (size_t i = 0; i < c->count; i++)
    {
      if (strcmp (c->upstreams[i].name, name) == 0)
        return &c->upstreams[i];
    }
  return NULL;
}

crd_stat_t
crd_stat (const crd_t *c, clk_ms_t now, const char *upstream)
{
  const crd_upstream_t *u = crd_find (c, upstream);
  if (u == NULL)
    return (crd_stat_t){ 0 };
  return (crd_stat_t){ .granted = now < u->granted_until ? u->granted : 0,
                       .used = u->used,
                       .reserve = crd_own_reserve (c, &u->own),
                       .owner = u->own.count > 0 };
}

/* -- owners --------------------------------------------------------------- */

static uint64_t
_crd_score (const crd_upstream_t *u, const char *vm)
{
  return XXH64 (vm, strlen (vm), XXH64 (u->name, strlen (u->name), 1));
}

/* Sets the owner of U, the first VM by score in the upstream's data centre,
 * and whether this VM is among the first few of its own data centre, which may
 * use U. */
static void
_crd_choose_owner (const crd_t *c, const env_t *env, crd_upstream_t *u)
{
  uint64_t best = 0;
  uint64_t own = _crd_score (u, env->vm);
  uint32_t rank = 0;
  u->owner = "";
  for (size_t i = 0; i < c->vm_count; i++)
    {
      const ev_vm_t *vm = &c->vms[i];
      uint64_t score = _crd_score (u, vm->vm);
      if (vm->leaving)
        continue;
      rank += strcmp (vm->data_centre, env->data_centre) == 0 && score > own;
      if (strcmp (vm->data_centre, u->data_centre) != 0
          || (u->owner[0] != '\0' && score <= best))
        continue;
      best = score;
      u->owner = vm->vm;
    }
  u->is_user = rank < CRD_USERS_MAX;
}

void
crd_members_changed (crd_t *c, env_t *env, const ev_vm_t *vms, size_t count)
{
  ev_vm_t *copy = talloc_array (c, ev_vm_t, count);
  for (size_t i = 0; i < count; i++)
    {
      copy[i] = vms[i];
      copy[i].vm = talloc_strdup (copy, vms[i].vm);
      copy[i].data_centre = talloc_strdup (copy, vms[i].data_centre);
      copy[i].address = NULL;
    }
  ev_vm_t *old = c->vms;
  c->vms = copy;
  c->vm_count = count;
  for (size_t i = 0; i < c->count; i++)
    _crd_choose_owner (c, env, &c->upstreams[i]);
  talloc_free (old);
}

/* -- configuration -------------------------------------------------------- */

static uint32_t
_crd_slots (const crd_t *c, const cfg_doc_t *doc, const char *deployment)
{
  const cfg_deployment_t *d = cfg_deployment_find (doc, deployment);
  return d == NULL || d->slots == 0 ? c->desc.default_slots : d->slots;
}

/* The upstream FROM of a new configuration, with its state so far. */
static crd_upstream_t
_crd_upstream_make (const crd_t *c, const env_t *env, void *ctx,
                    const cfg_doc_t *doc, const cfg_upstream_t *from)
{
  crd_upstream_t *old = crd_find (c, from->name);
  crd_upstream_t u = { 0 };
  if (old != NULL)
    {
      u = *old;
      u.uses = talloc_steal (ctx, old->uses);
      u.own.reporters = talloc_steal (ctx, old->own.reporters);
      old->uses = NULL;
    }
  u.granter = talloc_strdup (ctx, u.granter == NULL ? "" : u.granter);
  u.name = talloc_strdup (ctx, from->name);
  u.address = talloc_strdup (ctx, from->address);
  u.deployment = talloc_strdup (ctx, from->deployment);
  u.data_centre = talloc_strdup (ctx, from->data_centre);
  u.slots = _crd_slots (c, doc, from->deployment);
  u.leaving = from->leaving;
  u.local = strcmp (from->data_centre, env->data_centre) == 0;
  return u;
}

static void
_crd_preempt (crd_t *c, uint64_t item)
{
  c->preempt = talloc_realloc (c, c->preempt, uint64_t, c->preempt_count + 1);
  c->preempt[c->preempt_count++] = item;
}

/* Preempts items on upstreams that the new configuration does not list. */
static void
_crd_unlisted_preempt (crd_t *c)
{
  for (size_t i = 0; i < c->count; i++)
    {
      const crd_upstream_t *u = &c->upstreams[i];
      for (uint32_t k = 0; u->uses != NULL && k < u->used; k++)
        {
          if (u->uses[k].preemptible && !u->uses[k].preempted)
            _crd_preempt (c, u->uses[k].item);
        }
    }
}

void
crd_config_changed (crd_t *c, env_t *env, const cfg_doc_t *doc)
{
  void *ctx = talloc_new (c);
  crd_upstream_t *list
      = talloc_array (ctx, crd_upstream_t, doc->upstream_count);
  for (size_t i = 0; i < doc->upstream_count; i++)
    list[i] = _crd_upstream_make (c, env, ctx, doc, &doc->upstreams[i]);
  _crd_unlisted_preempt (c);
  talloc_free (c->config_ctx);
  c->config_ctx = ctx;
  c->upstreams = list;
  c->count = doc->upstream_count;
  for (size_t i = 0; i < c->count; i++)
    _crd_choose_owner (c, env, &c->upstreams[i]);
}

/* -- using credits -------------------------------------------------------- */

static uint32_t
_crd_allowed (const crd_upstream_t *u, clk_ms_t now)
{
  if (now >= u->granted_until || u->leaving)
    return 0;
  return u->granted > u->load.waiting ? u->granted - u->load.waiting : 0;
}

/* The newest items are preempted first, since they lose the least work. */
void
crd_enforce (crd_t *c, crd_upstream_t *u, clk_ms_t now)
{
  uint32_t allowed = _crd_allowed (u, now);
  uint32_t not_preempted = 0;
  for (uint32_t i = 0; i < u->used; i++)
    not_preempted += !u->uses[i].preempted;
  for (uint32_t i = u->used; i > 0 && not_preempted > allowed; i--)
    {
      crd_use_t *use = &u->uses[i - 1];
      if (!use->preemptible || use->preempted)
        continue;
      use->preempted = true;
      _crd_preempt (c, use->item);
      not_preempted--;
    }
}

bool
crd_preempt_pop (crd_t *c, uint64_t *item)
{
  if (c->preempt_count == 0)
    return false;
  *item = c->preempt[--c->preempt_count];
  return true;
}

static bool
_crd_has_local (const crd_t *c, const char *deployment)
{
  for (size_t i = 0; i < c->count; i++)
    {
      if (c->upstreams[i].local
          && strcmp (c->upstreams[i].deployment, deployment) == 0)
        return true;
    }
  return false;
}

/* Whether items for DEPLOYMENT may use U now; LOCAL: only if U is in this VM's
 * data centre. */
static bool
_crd_is_usable (const crd_upstream_t *u, const char *deployment, bool local,
                clk_ms_t now)
{
  return strcmp (u->deployment, deployment) == 0 && !u->leaving && u->is_user
         && now >= u->unreachable_until && (u->local || !local);
}

/* Records the demand on each upstream that can serve the request. */
static void
_crd_demand_record (crd_t *c, env_t *env, const crd_request_t *request,
                    bool local)
{
  uint32_t n = 0;
  for (size_t i = 0; i < c->count; i++)
    n += _crd_is_usable (&c->upstreams[i], request->deployment, local,
                         env->now);
  for (size_t i = 0; n > 0 && i < c->count; i++)
    {
      crd_upstream_t *u = &c->upstreams[i];
      if (!_crd_is_usable (u, request->deployment, local, env->now))
        continue;
      uint32_t demand = (request->waiting + n - 1) / n;
      if (env->now >= u->demand_until || demand > u->demand)
        u->demand = demand < u->slots ? demand : u->slots;
      bool fresh = env->now >= u->demand_until;
      u->demand_until = env->now + CRD_DEMAND_TTL_MS;
      if (fresh && env->now - u->reported_at >= CRD_REPORT_GAP_MIN_MS)
        crd_report_one (c, env, u);
    }
}

static crd_upstream_t *
_crd_most_free (crd_t *c, const env_t *env, const char *deployment, bool local)
{
  crd_upstream_t *best = NULL;
  uint32_t most = 0;
  for (size_t i = 0; i < c->count; i++)
    {
      crd_upstream_t *u = &c->upstreams[i];
      uint32_t allowed = _crd_allowed (u, env->now);
      if (!_crd_is_usable (u, deployment, local, env->now)
          || allowed <= u->used || allowed - u->used <= most)
        continue;
      best = u;
      most = allowed - u->used;
    }
  return best;
}

bool
crd_credit_take (crd_t *c, env_t *env, const crd_request_t *request,
                 crd_credit_t *credit)
{
  bool local = _crd_has_local (c, request->deployment);
  crd_upstream_t *u = _crd_most_free (c, env, request->deployment, local);
  if (u == NULL)
    {
      _crd_demand_record (c, env, request, local);
      /* If this VM is the owner, the grant is there already. */
      u = _crd_most_free (c, env, request->deployment, local);
    }
  if (u == NULL)
    return false;
  INV_CHECK (env->now < u->granted_until && u->used < u->granted,
             "credit-before-use", "%s: %u of %u credits in use", u->name,
             u->used, u->granted);
  u->uses = talloc_realloc (c->config_ctx, u->uses, crd_use_t, u->used + 1);
  u->uses[u->used++] = (crd_use_t){ .item = request->item,
                                    .preemptible = request->preemptible };
  *credit = (crd_credit_t){ .upstream = u->name, .address = u->address };
  return true;
}

void
crd_credit_release (crd_t *c, env_t *env, uint64_t item, bool reached)
{
  for (size_t i = 0; i < c->count; i++)
    {
      crd_upstream_t *u = &c->upstreams[i];
      for (uint32_t k = 0; k < u->used; k++)
        {
          if (u->uses[k].item != item)
            continue;
          memmove (&u->uses[k], &u->uses[k + 1],
                   (u->used - k - 1) * sizeof (crd_use_t));
          u->used--;
          if (!reached)
            u->unreachable_until
                = env->now + env_jitter (env, CRD_UNREACHABLE_MS);
          return;
        }
    }
}

void
crd_grant_apply (crd_t *c, env_t *env, crd_upstream_t *u, const char *vm,
                 uint32_t granted, clk_ms_t sent_at)
{
  if (strcmp (u->owner, vm) != 0)
    return;
  bool other = strcmp (u->granter, vm) != 0;
  if (other && env->now < u->granted_until)
    return;
  /* A later grant has overtaken this one. */
  if (!other && sent_at + CRD_CREDIT_TTL_MS < u->granted_until)
    return;
  if (other)
    u->granter = talloc_strdup (c->config_ctx, vm);
  u->granted = granted;
  u->granted_until = sent_at + CRD_CREDIT_TTL_MS;
  crd_enforce (c, u, env->now);
  if (u->used > 0)
    tmr_arm (env->tmr, u->granted_until, MOD_CREDIT, CRD_TAG_EXPIRE);
}

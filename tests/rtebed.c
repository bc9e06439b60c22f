#include "rtebed.h"

#include "tst.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

static const char *const _rtebed_vm_name[2] = { "a", "b" };
static const char *const _rtebed_data_centre[2] = { "x", "x" };

cfg_doc_t *
rtebed_document (void *ctx, const char *leaving)
{
  char *text = talloc_strdup (ctx, "[data-centre x]\nowner = t\n"
                                   "[data-centre y]\nowner = t\n"
                                   "[deployment d]\nowner = t\n"
                                   "kind = engine\nslots = 4\n");
  for (int i = 0; i < RTEBED_UPSTREAMS; i++)
    {
      char name[16];
      (void)snprintf (name, sizeof name, "u%d", i);
      text = talloc_asprintf_append (
          text,
          "[upstream %s]\nowner = t\ndeployment = d\ndata_centre = %s\n"
          "address = 10.0.0.%d:80\nleaving = %s\n",
          name, i < 2 ? "x" : "y", i,
          leaving != NULL && strcmp (name, leaving) == 0 ? "yes" : "no");
    }
  cfg_doc_t *doc = NULL;
  st_t st = { 0 };
  CU_ASSERT_EQUAL (cfg_doc_parse (ctx, buf_str (text), &doc, &st), ST_OK);
  return doc;
}

rtebed_t *
rtebed_setup (int vms)
{
  rtebed_t *f = talloc_zero (NULL, rtebed_t);
  f->ctx = f;
  f->vms = vms;
  f->now = 1;
  ev_vm_t list[2];
  for (int i = 0; i < vms; i++)
    list[i] = (ev_vm_t){ .vm = _rtebed_vm_name[i],
                         .data_centre = _rtebed_data_centre[i],
                         .address = "" };
  for (int i = 0; i < RTEBED_UPSTREAMS; i++)
    f->load[i] = "{\"running\":0,\"waiting\":0,\"slots\":4,\"seq\":1}";
  for (int i = 0; i < vms; i++)
    {
      f->env[i]
          = env_setup (f, &(env_desc_t){ .vm = _rtebed_vm_name[i],
                                         .data_centre = _rtebed_data_centre[i],
                                         .seed = 7 });
      f->env[i]->now = f->now;
      f->members[i] = mbr_setup (f, &(mbr_desc_t){ 0 });
      ev_platform_t reply = { .vms = list, .vm_count = (size_t)vms };
      mbr_platform_replied (f->members[i], f->env[i], &(plt_done_t){ 0 },
                            &reply);
      for (int j = 0; j < vms; j++)
        if (j != i)
          mbr_peer_up (f->members[i], f->env[i], _rtebed_vm_name[j]);
      fx_clear (f->env[i]->fx);
      f->rte[i] = rte_setup (f, &(rte_desc_t){ .members = f->members[i] });
      rte_config_changed (f->rte[i], f->env[i], rtebed_document (f, NULL));
    }
  return f;
}

static void
_rtebed_poll_event (rtebed_t *f, int vm, const ev_t *ev)
{
  upc_owner_t owner;
  ev_t own = *ev;
  if (upc_event (f->env[vm], &own, &owner))
    rte_upstream_event (f->rte[vm], f->env[vm], owner.tag, &own);
}

static void
_rtebed_poll_respond (rtebed_t *f, int vm, uint64_t call, int upstream,
                      const char *path)
{
  const char *body = strncmp (path, "/load", 5) == 0 ? f->load[upstream]
                                                     : f->cache[upstream];
  f->polls[upstream]++;
  ev_t ev = { .kind = EV_UPSTREAM_FAIL,
              .upstream = { .call = call, .fail = EV_FAIL_TIMEOUT } };
  if (body != NULL)
    {
      ev.kind = EV_UPSTREAM_HEAD;
      ev.upstream.status = 200;
      _rtebed_poll_event (f, vm, &ev);
      ev.kind = EV_UPSTREAM_DATA;
      for (size_t n = strlen (body); n > 0; n -= ev.upstream.data.n)
        {
          ev.upstream.data = (buf_t){ body, MIN (n, RTEBED_BODY_PIECE) };
          _rtebed_poll_event (f, vm, &ev);
          body += ev.upstream.data.n;
        }
      ev.kind = EV_UPSTREAM_END;
    }
  _rtebed_poll_event (f, vm, &ev);
}

void
rtebed_effects_apply (rtebed_t *f, int vm)
{
  fx_list_t *fx = f->env[vm]->fx;
  for (size_t i = 0; i < fx->count; i++)
    {
      const fx_t e = fx->v[i];
      if (e.kind == FX_UPSTREAM_CALL)
        _rtebed_poll_respond (f, vm, e.upstream.call,
                              e.upstream.address[7] - '0', e.upstream.path);
      if (e.kind == FX_PEER_SEND && e.peer.msg.kind >= MSG_ROUTE_FIRST
          && f->vms == 2)
        rte_message_received (f->rte[1 - vm], f->env[1 - vm], f->env[vm]->vm,
                              &e.peer.msg);
    }
  fx_clear (fx);
}

void
rtebed_run (rtebed_t *f, clk_ms_t ms)
{
  clk_ms_t until = f->now + ms;
  tmr_due_t due;
  for (; f->now < until; f->now++)
    for (int i = 0; i < f->vms; i++)
      {
        f->env[i]->now = f->now;
        while (tmr_pop (f->env[i]->tmr, f->now, &due))
          if (due.mod == MOD_ROUTE)
            rte_timer_fired (f->rte[i], f->env[i], due.tag);
        rtebed_effects_apply (f, i);
      }
}

bool
rtebed_pick (rtebed_t *f, int vm, uint64_t prefix, rte_pick_t *p)
{
  return rte_pick (f->rte[vm], f->env[vm],
                   &(rte_query_t){ .deployment = "d", .prefix = prefix }, p);
}

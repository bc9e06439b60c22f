/** @file
 * Fuzz target: the parser of the configuration document, and the limits that a
 * document sets.  The figures of one more limit are the first bytes of the
 * input, whatever the parser would allow.
 */
#include "core/cfg.h"
#include "core/lim.h"

#include <string.h>
#include <talloc.h>

#define FUZZ_REQUESTS 8
#define FUZZ_CALLS 8
#define FUZZ_CUSTOMER "figures"

int LLVMFuzzerTestOneInput (const unsigned char *data, size_t size);

/* A VM alone, with its right to mint. */
typedef struct
{
  env_t *env;
  mbr_t *members;
  lim_t *limits;
  ev_object_t stored; /* the list of rights */
} fuzz_vm_t;

/* Answers the platform calls of V; there is one object. */
static void
platform_serve (fuzz_vm_t *v)
{
  for (int round = 0; round < FUZZ_CALLS; round++)
    {
      fx_t call = { 0 };
      for (size_t i = 0; i < v->env->fx->count; i++)
        if (v->env->fx->v[i].kind == FX_PLATFORM)
          call = v->env->fx->v[i];
      if (call.kind != FX_PLATFORM)
        return;
      if (call.platform.op == FX_PLATFORM_PUT)
        {
          v->stored.version++;
          v->stored.value = buf_copy (v->env, call.platform.value);
        }
      bool found = v->stored.version > 0;
      ev_platform_t reply = { .call = call.platform.call,
                              .code = found ? ST_OK : ST_NOT_FOUND,
                              .objects = &v->stored,
                              .object_count = found };
      plt_done_t done;
      fx_clear (v->env->fx);
      if (plt_reply (v->env, &reply, &done))
        lim_platform_replied (v->limits, v->env, &done, &reply);
    }
}

/* Has a VM whose document is DOC admit requests of its customers. */
static void
limits_try (const cfg_doc_t *doc)
{
  fuzz_vm_t v = { .env = env_setup (NULL, &(env_desc_t){ .vm = "vm-1",
                                                         .data_centre = "dc",
                                                         .incarnation = 1,
                                                         .seed = 1 }) };
  v.members = mbr_setup (v.env, &(mbr_desc_t){ 0 });
  mbr_start (v.members, v.env);
  v.limits = lim_setup (v.env, &(lim_desc_t){ .members = v.members,
                                              .slack = { .window_ms = 5000,
                                                         .overshoot = 0.1,
                                                         .requests = 20 } });
  lim_start (v.limits, v.env);
  lim_config_changed (v.limits, v.env, doc);
  platform_serve (&v);
  for (uint64_t tag = 1; tag <= FUZZ_REQUESTS; tag++)
    {
      clk_ms_t retry = 0;
      v.env->now += (clk_ms_t)tag * CLK_SECOND / 4;
      for (size_t i = 0; i < doc->customer_count; i++)
        (void)lim_admit (v.limits, v.env, v.members, doc->customers[i].name,
                         tag, &retry);
      platform_serve (&v);
    }
  env_shutdown (v.env);
}

int
LLVMFuzzerTestOneInput (const unsigned char *data, size_t size)
{
  void *ctx = talloc_new (NULL);
  cfg_doc_t *doc = NULL;
  st_t st = { 0 };
  (void)cfg_doc_parse (ctx, (buf_t){ .p = (const char *)data, .n = size },
                       &doc, &st);
  if (doc != NULL)
    limits_try (doc);
  cfg_customer_t customer = { .name = FUZZ_CUSTOMER, .weight = 1 };
  if (size >= sizeof customer.rate + sizeof customer.burst)
    {
      memcpy (&customer.rate, data, sizeof customer.rate);
      memcpy (&customer.burst, data + sizeof customer.rate,
              sizeof customer.burst);
      limits_try (&(cfg_doc_t){ .customers = &customer, .customer_count = 1 });
    }
  talloc_free (ctx);
  return 0;
}

#include "core/cfg_fields.h"

#include <stddef.h>

#define CFG_OWNER(record)                                                     \
  {                                                                           \
    .key = "owner", .type = CFG_TYPE_NAME,                                    \
    .offset = offsetof (record, owner),                                       \
    .expected = "the name of the owning team"                                 \
  }

static const cfg_field_t _cfg_data_centre_fields[] = {
  CFG_OWNER (cfg_data_centre_t),
  { 0 },
};

static const cfg_field_t _cfg_customer_fields[] = {
  CFG_OWNER (cfg_customer_t),
  { .key = "rate",
    .type = CFG_TYPE_RATE,
    .offset = offsetof (cfg_customer_t, rate),
    .min = 0.001,
    .max = 1e6,
    .expected = "requests a second or minute from 0.001/s to 1000000/s, "
                "like 40/s or 90/min" },
  { .key = "burst",
    .type = CFG_TYPE_NUMBER,
    .offset = offsetof (cfg_customer_t, burst),
    .min = 1,
    .max = 1e7,
    .expected = "requests, from 1 to 10000000" },
  { .key = "weight",
    .type = CFG_TYPE_NUMBER,
    .offset = offsetof (cfg_customer_t, weight),
    .fallback = "1",
    .min = 0.01,
    .max = 1000,
    .expected = "a share without unit, from 0.01 to 1000" },
  { 0 },
};

static const cfg_field_t _cfg_key_fields[] = {
  CFG_OWNER (cfg_key_t),
  { .key = "customer",
    .type = CFG_TYPE_NAME,
    .offset = offsetof (cfg_key_t, customer),
    .expected = "the name of a [customer NAME] section",
    .refers = true,
    .to = CFG_INDEX_CUSTOMER },
  { .key = "sha256",
    .type = CFG_TYPE_SHA256,
    .offset = offsetof (cfg_key_t, sha256),
    .expected = "the key's SHA-256 as 64 lower-case hex digits" },
  { 0 },
};

static const cfg_field_t _cfg_deployment_fields[] = {
  CFG_OWNER (cfg_deployment_t),
  { .key = "kind",
    .type = CFG_TYPE_KIND,
    .offset = offsetof (cfg_deployment_t, kind),
    .expected = "engine or plain" },
  { .key = "slots",
    .type = CFG_TYPE_COUNT,
    .offset = offsetof (cfg_deployment_t, slots),
    .min = 1,
    .max = 4096,
    .expected = "requests that run at a time, from 1 to 4096" },
  { .key = "checks_fencing",
    .type = CFG_TYPE_FLAG,
    .offset = offsetof (cfg_deployment_t, checks_fencing),
    .fallback = "no",
    .expected = "yes or no" },
  { .key = "model",
    .type = CFG_TYPE_TEXT,
    .offset = offsetof (cfg_deployment_t, model),
    .fallback = "",
    .expected = "a model's name of at most 200 characters" },
  { 0 },
};

static const cfg_field_t _cfg_upstream_fields[] = {
  CFG_OWNER (cfg_upstream_t),
  { .key = "deployment",
    .type = CFG_TYPE_NAME,
    .offset = offsetof (cfg_upstream_t, deployment),
    .expected = "the name of a [deployment NAME] section",
    .refers = true,
    .to = CFG_INDEX_DEPLOYMENT },
  { .key = "data_centre",
    .type = CFG_TYPE_NAME,
    .offset = offsetof (cfg_upstream_t, data_centre),
    .expected = "the name of a [data-centre NAME] section",
    .refers = true,
    .to = CFG_INDEX_DATA_CENTRE },
  { .key = "address",
    .type = CFG_TYPE_ADDRESS,
    .offset = offsetof (cfg_upstream_t, address),
    .expected = "IP:PORT, like 10.0.0.7:8000 or [fd00::7]:8000" },
  { .key = "leaving",
    .type = CFG_TYPE_FLAG,
    .offset = offsetof (cfg_upstream_t, leaving),
    .fallback = "no",
    .expected = "yes or no" },
  { 0 },
};

static const cfg_field_t _cfg_route_fields[] = {
  CFG_OWNER (cfg_route_t),
  { .key = "deployment",
    .type = CFG_TYPE_NAME,
    .offset = offsetof (cfg_route_t, deployment),
    .expected = "the name of a [deployment NAME] section",
    .refers = true,
    .to = CFG_INDEX_DEPLOYMENT },
  { .key = "open",
    .type = CFG_TYPE_FLAG,
    .offset = offsetof (cfg_route_t, open),
    .fallback = "no",
    .expected = "yes or no" },
  { .key = "idempotent",
    .type = CFG_TYPE_FLAG,
    .offset = offsetof (cfg_route_t, idempotent),
    .fallback = "no",
    .expected = "yes or no" },
  { .key = "deadline",
    .type = CFG_TYPE_DURATION,
    .offset = offsetof (cfg_route_t, deadline_ms),
    .fallback = "30 s",
    .min = 1,
    .max = (double)CLK_HOUR,
    .expected = "a duration from 1 ms to 60 min, like 250 ms, 30 s, 5 min" },
  { 0 },
};

#define CFG_KIND_INFO(w, f, n, i)                                             \
  {                                                                           \
    .word = w, .form = f, .fields = _cfg_##n##_fields,                        \
    .size = sizeof (cfg_##n##_t), .array = offsetof (cfg_doc_t, n##s),        \
    .count = offsetof (cfg_doc_t, n##_count), .index = i                      \
  }

const cfg_kind_info_t cfg_kinds[CFG_KINDS] = {
  CFG_KIND_INFO ("data-centre", "[data-centre NAME]", data_centre,
                 CFG_INDEX_DATA_CENTRE),
  CFG_KIND_INFO ("customer", "[customer NAME]", customer, CFG_INDEX_CUSTOMER),
  CFG_KIND_INFO ("key", "[key NAME]", key, CFG_INDEX_KEY),
  CFG_KIND_INFO ("deployment", "[deployment NAME]", deployment,
                 CFG_INDEX_DEPLOYMENT),
  CFG_KIND_INFO ("upstream", "[upstream NAME]", upstream, CFG_INDEX_UPSTREAM),
  CFG_KIND_INFO ("route", "[route METHOD PATH]", route, CFG_INDEX_ROUTE),
};

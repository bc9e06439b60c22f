/* A small deployment with the figures of mpg-wroclaw: 8 tenants, an online
 * route, a batch route. */
#ifndef REVIEW_SITE_H
#define REVIEW_SITE_H
#include "world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SITE_HOST "desk.example"
#define SITE_BATCH "/lot/"
#define SITE_STREAM "/fit/"

/* The operator's configuration; EDIT, if any, changes it. */
static inline json_t *
site_config (int version)
{
  json_t *tenants = json_array ();
  for (int i = 0; i < 8; i++)
    {
      char name[16], key[16];
      snprintf (name, sizeof name, "tenant%d", i);
      snprintf (key, sizeof key, "key-%d", i);
      json_array_append_new (
          tenants, json_pack ("{s:s, s:[s], s:i, s:i}", "name", name,
                              "apiKeys", key, "ratePerS", 200, "burst", 400));
    }
  return json_pack (
      "{s:i, s:[{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:i, s:i, s:s, s:b},"
      "{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:i, s:i, s:i, s:s, s:b, s:i}],"
      "s:[{s:s, s:s, s:{s:i}}], s:o,"
      "s:{s:i, s:i, s:i, s:i}}",
      "version", version, "routes", "name", "fit", "host", SITE_HOST,
      "pathPrefix", SITE_STREAM, "kind", "streaming", "timeoutMs", 5000,
      "maxAttempts", 1, "targetLatencyMs", 300, "gapTargetMs", 400,
      "priority", 0, "service", "llm", "sticky", 1, "name", "lot", "host",
      SITE_HOST, "pathPrefix", SITE_BATCH, "kind", "batch", "timeoutMs", 15000,
      "maxAttempts", 3, "targetLatencyMs", 400, "completionTargetMs", 18000,
      "maxWaitS", 60, "priority", 2, "service", "llm", "sticky", 1,
      "maxCount", 1500000, "services", "name", "llm", "healthCheck",
      "/healthz", "engine", "slots", 8, "tenants", tenants, "limits",
      "maxHeaderBytes", 16384, "maxBodyBytes", 4194304, "headerTimeoutMs",
      5000, "idleTimeoutMs", 15000);
}

/* The JSON of a batch job with ITEMS items of BODY bytes, ids after ID. */
static inline char *
site_job (const char *id, int items, size_t body, int tokens, size_t *n)
{
  static const char digits[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t coded = body / 3 * 4; /* of BODY, a multiple of 3 */
  char *text = malloc ((coded + 400) * (size_t)items + 64);
  char *at = text;
  unsigned seed = 1;
  for (const char *c = id; *c != '\0'; c++)
    seed = seed * 31 + (unsigned char)*c;
  at += sprintf (at, "{\"items\":[");
  for (int i = 0; i < items; i++)
    {
      at += sprintf (at,
                     "%s{\"id\":\"%s%04x\",\"path\":\"" SITE_BATCH
                     "%d/91c4\",\"headers\":{\"Model\":\"m\",\"Token-Usage\":"
                     "\"350,253\",\"Length-Hint\":\"253\",\"Prefix-Hash\":\"9c2e41:100,%x5d07:250\"},"
                     "\"body\":\"",
                     i > 0 ? "," : "", id, i, i, seed ^ (unsigned)i);
      for (size_t k = 0; k < coded; k++)
        {
          seed = seed * 1103515245U + 12345U;
          *at++ = digits[seed >> 16 & 63];
        }
      at += sprintf (at, "\",\"tokens\":%d}", tokens);
    }
  at += sprintf (at, "]}");
  *n = (size_t)(at - text);
  return text;
}

/* One online request; returns the status, 0 where no whole answer came. */
static inline int
site_stream (int port, int tenant, const char *id, int timeout_ms)
{
  char headers[512];
  resp_t r;
  snprintf (headers, sizeof headers,
            "Host: " SITE_HOST "\r\nAuthorization: Bearer key-%d\r\n"
            "Request-Id: %s\r\nModel: m\r\nToken-Usage: 450,40\r\n"
            "Prefix-Hash: 9c2e41:200,%s:250\r\nDeadline-Ms: %d\r\n",
            tenant, id, id, timeout_ms);
  call (port, "POST", SITE_STREAM "x", headers, "point", 5, timeout_ms, &r);
  int status = r.whole ? r.status : 0;
  resp_free (&r);
  return status;
}

/* Ends a job; returns the status. */
static inline int
site_end (int port, int tenant, const char *id)
{
  char headers[256], path[256];
  resp_t r;
  snprintf (headers, sizeof headers,
            "Host: " SITE_HOST "\r\nAuthorization: Bearer key-%d\r\n", tenant);
  snprintf (path, sizeof path, "/rattanspindle/lots/%s", id);
  call (port, "DELETE", path, headers, NULL, 0, 3500, &r);
  int status = r.status;
  resp_free (&r);
  return status;
}

/* Submits a job; returns the status. */
static inline int
site_submit (int port, int tenant, const char *id, const char *text, size_t n,
             int timeout_ms)
{
  char headers[512];
  resp_t r;
  snprintf (headers, sizeof headers,
            "Host: " SITE_HOST "\r\nAuthorization: Bearer key-%d\r\n"
            "Request-Id: %s\r\nContent-Type: application/json\r\n",
            tenant, id);
  call (port, "POST", SITE_BATCH "jobs", headers, text, n, timeout_ms, &r);
  int status = r.status;
  resp_free (&r);
  return status;
}

/* Reads the results of a job from AFTER; the caller frees R. */
static inline void
site_read (int port, int tenant, const char *id, int after, resp_t *r)
{
  char headers[256], path[256];
  snprintf (headers, sizeof headers,
            "Host: " SITE_HOST "\r\nAuthorization: Bearer key-%d\r\n", tenant);
  snprintf (path, sizeof path, "/rattanspindle/lots/%s?after=%d", id, after);
  call (port, "GET", path, headers, NULL, 0, 3500, r);
}
#endif

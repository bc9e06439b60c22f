#include "core/rpl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const _rpl_run_names[RPL_RUN_NUM] = {
  [RPL_NOT_RUN] = "not-run",
  [RPL_UNKNOWN] = "unknown",
};

const char *
rpl_run_name (rpl_run_t run)
{
  return _rpl_run_names[run];
}

static void
_rpl_send (env_t *env, uint64_t caller, int status, http_headers_t headers,
           clk_ms_t retry_after_ms, buf_t body)
{
  fx_push (env->fx, &(fx_t){ .kind = FX_REPLY_HEAD,
                             .reply = { .caller = caller,
                                        .status = status,
                                        .headers = headers,
                                        .retry_after_ms = retry_after_ms } });
  if (body.n > 0)
    fx_push (env->fx, &(fx_t){ .kind = FX_REPLY_DATA,
                               .reply = { .caller = caller, .data = body } });
  fx_push (env->fx,
           &(fx_t){ .kind = FX_REPLY_END, .reply = { .caller = caller } });
}

static void
_rpl_send_json (env_t *env, uint64_t caller, int status, json_t *body,
                const char *retry_after, clk_ms_t retry_after_ms)
{
  http_header_t headers[] = {
    { .name = "Content-Type", .value = "application/json" },
    { .name = "Retry-After", .value = retry_after },
  };
  char *text = json_dumps (body, JSON_COMPACT);
  _rpl_send (
      env, caller, status,
      (http_headers_t){ .v = headers, .n = retry_after == NULL ? 1 : 2 },
      retry_after_ms, buf_str (text));
  free (text);
  json_decref (body);
}

void
rpl_json (env_t *env, uint64_t caller, int status, json_t *body)
{
  _rpl_send_json (env, caller, status, body, NULL, 0);
}

void
rpl_text (env_t *env, uint64_t caller, int status, const char *content_type,
          buf_t text)
{
  http_header_t header = { .name = "Content-Type", .value = content_type };
  _rpl_send (env, caller, status, (http_headers_t){ .v = &header, .n = 1 }, 0,
             text);
}

void
rpl_error (env_t *env, uint64_t caller, const rpl_error_t *error)
{
  char seconds[24];
  (void)snprintf (seconds, sizeof seconds, "%lld",
                  (long long)(error->retry_after_ms + CLK_SECOND - 1)
                      / CLK_SECOND);
  json_t *body = json_pack ("{s:{s:s, s:s, s:s}}", "error", "code",
                            error->code, "message", error->message, "run",
                            rpl_run_name (error->run));
  _rpl_send_json (env, caller, error->status, body,
                  error->retry_after_ms > 0 ? seconds : NULL,
                  error->retry_after_ms);
}

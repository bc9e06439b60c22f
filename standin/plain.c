/** @file
 * Stand-in for a plain service: runs any call, counts it and echoes its body.
 */
#include "srv.h"
#include "standin.h"

#include <argp.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

typedef struct
{
  srv_t *srv;
  srv_desc_t desc;
  const char *name;
  uint64_t delay_ms;
  json_int_t total;     /**< calls received */
  json_int_t responses; /**< responses sent */
  json_t *by_key;       /**< Idempotency-Key -> calls */
  json_t *by_request;   /**< X-Request-Id -> calls */
} plain_t;

static void
_count (json_t *counts, const char *name)
{
  if (name == NULL)
    return;
  json_int_t n = json_integer_value (json_object_get (counts, name));
  json_object_set_new (counts, name, json_integer (n + 1));
}

static void
_plain_respond (struct tevent_context *loop, struct tevent_timer *timer,
                struct timeval now, void *data)
{
  srv_req_t *req = data;
  plain_t *p = req->user;
  const char *key = srv_req_header (req, "Idempotency-Key");
  const char *id = srv_req_header (req, "X-Request-Id");
  json_t *body = json_stringn ((const char *)req->body->data, req->body->len);
  (void)loop;
  (void)timer;
  (void)now;
  srv_json (req, 200,
            json_pack ("{s:I, s:s, s:s, s:s, s:s?, s:s?, s:o}", "answer",
                       ++p->responses, "name", p->name, "method", req->method,
                       "path", req->path, "idempotency_key", key, "request_id",
                       id, "body", body ? body : json_null ()));
}

static void
_plain_handle (srv_req_t *req)
{
  plain_t *p = req->user;
  if (strcmp (req->path, "/counts") == 0)
    {
      srv_json (req, 200,
                json_pack ("{s:I, s:O, s:O}", "total", p->total, "by_key",
                           p->by_key, "by_request", p->by_request));
      return;
    }
  if (strcmp (req->path, "/load") == 0
      || strcmp (req->path, "/cache-events") == 0)
    {
      /* The fleet polls these reports; a plain service has none. */
      srv_error (req, 404, "not-found", req->path);
      return;
    }
  p->total++;
  _count (p->by_key, srv_req_header (req, "Idempotency-Key"));
  _count (p->by_request, srv_req_header (req, "X-Request-Id"));
  srv_timer_add (p->srv, req, p->delay_ms, _plain_respond, req);
}

enum
{
  KEY_PORT = 256,
  KEY_NAME,
  KEY_DELAY,
  KEY_RECORD,
};

static const struct argp_option options[] = {
  { "port", KEY_PORT, "P", 0, "port on 127.0.0.1 (0: any)", 0 },
  { "name", KEY_NAME, "U", 0, "name of this upstream", 0 },
  { "delay-ms", KEY_DELAY, "MS", 0, "time that a call takes (0)", 0 },
  { "record", KEY_RECORD, "FILE", 0, "append each request received", 0 },
  { 0 },
};

static error_t
_plain_option (int key, char *arg, struct argp_state *state)
{
  plain_t *p = state->input;
  switch (key)
    {
    case KEY_PORT:
      p->desc.port = (uint16_t)strtoul (arg, NULL, 10);
      return 0;
    case KEY_NAME:
      p->name = arg;
      return 0;
    case KEY_DELAY:
      p->delay_ms = strtoull (arg, NULL, 10);
      return 0;
    case KEY_RECORD:
      p->desc.record = arg;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
plain_main (int argc, char **argv)
{
  static const struct argp argp
      = { options, _plain_option, NULL, "Stand-in for a plain service.",
          NULL,    NULL,          NULL };
  plain_t *p = talloc_zero (NULL, plain_t);
  p->name = "plain";
  p->by_key = json_object ();
  p->by_request = json_object ();
  argp_parse (&argp, argc, argv, 0, NULL, p);
  p->desc.handle_when_hanging = true;
  p->desc.handle = _plain_handle;
  p->desc.user = p;
  p->srv = srv_setup (p, &p->desc);
  srv_run (p->srv);
  return EXIT_SUCCESS;
}

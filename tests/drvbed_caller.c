/** @file
 * The callers of the driver's bed.
 */
#include "drvbed_int.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define DRVBED_DEADLINE_MS "3000"

static void
_drvbed_answer_head (drvbed_answer_t *a, const hcl_event_t *e)
{
  const char *id = http_header_find (e->headers, "Request-Id");
  const char *signature = http_header_find (e->headers, "Response-Signature");
  const char *retry_after = http_header_find (e->headers, "Retry-After");
  a->status = e->status;
  a->head_at = drv_now ();
  a->close_delimited = e->close_delimited;
  a->response_id = id == NULL ? NULL : talloc_strdup (a, id);
  a->signature = signature == NULL ? NULL : talloc_strdup (a, signature);
  a->retry_after = retry_after == NULL ? NULL : talloc_strdup (a, retry_after);
}

static void
_drvbed_on_answer (void *data, const hcl_event_t *e)
{
  drvbed_t *b = data;
  drvbed_answer_t *a = g_ptr_array_index (b->answers, e->id);
  if (e->kind == EV_UPSTREAM_HEAD)
    _drvbed_answer_head (a, e);
  else if (e->kind == EV_UPSTREAM_DATA)
    g_string_append_len (a->body, e->data.p, (gssize)e->data.n);
  else
    a->ended = true;
  a->failed = e->kind == EV_UPSTREAM_FAIL;
}

static int
_drvbed_answer_destroy (drvbed_answer_t *a)
{
  (void)g_string_free (a->body, TRUE);
  return 0;
}

/* What a caller sends. */
typedef struct
{
  const char *id;
  const char *path;
  const char *body;    /* NULL: a GET */
  const char *resumes; /* NULL: it takes up no stream */
  const char *after;   /* with RESUMES */
  const char *parts;   /* Prefix-Hash; NULL: none */
} _drvbed_call_t;

static drvbed_answer_t *
_drvbed_send_call (drvbed_t *b, const _drvbed_call_t *call)
{
  http_header_t headers[] = {
    { "Host", DRVBED_HOST },
    { "Request-Id", call->id },
    { "Deadline-Ms", DRVBED_DEADLINE_MS },
    { "Authorization", "Bearer " DRVBED_KEY },
    { "Content-Type", "application/json" },
    { NULL, NULL },
    { NULL, NULL },
    { NULL, NULL },
  };
  size_t n = 5;
  if (call->resumes != NULL)
    headers[n++] = (http_header_t){ "Resumes", call->resumes };
  if (call->resumes != NULL)
    headers[n++] = (http_header_t){ "Last-Event-Id", call->after };
  if (call->parts != NULL)
    headers[n++] = (http_header_t){ "Prefix-Hash", call->parts };
  drvbed_answer_t *a = talloc_zero (b, drvbed_answer_t);
  a->id = talloc_strdup (a, call->id);
  a->asked_at = drv_now ();
  a->body = g_string_new (NULL);
  talloc_set_destructor (a, _drvbed_answer_destroy);
  hcl_call (
      b->callers,
      &(hcl_call_t){ .owner = HCL_PLATFORM,
                     .id = b->answers->len,
                     .address = b->entry.listen,
                     .method = call->body == NULL ? "GET" : "POST",
                     .path = call->path,
                     .headers = { headers, n },
                     .body = buf_str (call->body == NULL ? "" : call->body),
                     .total_ms = DRVBED_WAIT_MS,
                     .fresh_connection = true });
  g_ptr_array_add (b->answers, a);
  return a;
}

/* Sends a call to PATH as request ID: a POST of BODY, or a GET if BODY is
 * NULL. */
static drvbed_answer_t *
_drvbed_call (drvbed_t *b, const char *id, const char *path, const char *body)
{
  return _drvbed_send_call (
      b, &(_drvbed_call_t){ .id = id, .path = path, .body = body });
}

drvbed_answer_t *
drvbed_take_up (drvbed_t *b, const char *id, const char *resumes,
                const char *after)
{
  return _drvbed_send_call (b, &(_drvbed_call_t){ .id = id,
                                                  .path = DRVBED_RESUMABLE,
                                                  .body = "{}",
                                                  .resumes = resumes,
                                                  .after = after });
}

drvbed_answer_t *
drvbed_ask_at (drvbed_t *b, const char *id, const char *path)
{
  char *body = talloc_asprintf (b, "{\"prompt\":\"%s\"}", id);
  drvbed_answer_t *a = _drvbed_call (b, id, path, body);
  talloc_free (body);
  return a;
}

drvbed_answer_t *
drvbed_ask_parts (drvbed_t *b, const char *id, const char *parts,
                  const char *body)
{
  return _drvbed_send_call (b, &(_drvbed_call_t){ .id = id,
                                                  .path = DRVBED_RESUMABLE,
                                                  .body = body,
                                                  .parts = parts });
}

drvbed_answer_t *
drvbed_ask (drvbed_t *b, const char *id)
{
  return drvbed_ask_at (b, id, DRVBED_RESUMABLE);
}

uint16_t
drvbed_port (const drvbed_t *b)
{
  return (uint16_t)strtoul (strchr (b->entry.listen, ':') + 1, NULL, 10);
}

const char *
drvbed_request_text (drvbed_t *b, const char *id, const char *path,
                     const char *version, const char *headers)
{
  return talloc_asprintf (b,
                          "POST %s HTTP/%s\r\nHost: " DRVBED_HOST "\r\n"
                          "Request-Id: %s\r\n"
                          "Deadline-Ms: " DRVBED_DEADLINE_MS "\r\n"
                          "Authorization: Bearer " DRVBED_KEY "\r\n"
                          "%sContent-Length: 2\r\n\r\n{}",
                          path, version, id, headers);
}

drvbed_answer_t *
drvbed_submit (drvbed_t *b, const char *id, size_t count)
{
  json_t *items = json_array ();
  for (size_t i = 1; i <= count; i++)
    {
      char name[64];
      (void)snprintf (name, sizeof name, "%s-%zu", id, i);
      json_array_append_new (items,
                             json_pack ("{s:s, s:s, s:{}, s:s, s:i}", "id",
                                        name, "path", "/rosters/x", "headers",
                                        "body", "Ym9keQ==", "tokens", 10));
    }
  json_t *root = json_pack ("{s:o}", "items", items);
  char *text = json_dumps (root, JSON_COMPACT);
  drvbed_answer_t *a = _drvbed_call (b, id, "/rosters/x", text);
  free (text);
  json_decref (root);
  return a;
}

drvbed_answer_t *
drvbed_results (drvbed_t *b, const char *id)
{
  char *path = talloc_asprintf (b, "/rattanspindle/lots/%s?after=0", id);
  drvbed_answer_t *a = _drvbed_call (b, id, path, NULL);
  talloc_free (path);
  return a;
}

static bool
_drvbed_has_head (const void *data)
{
  const drvbed_answer_t *a = data;
  return a->status != 0 || a->ended;
}

bool
drvbed_await_head (drvbed_t *b, const drvbed_answer_t *a)
{
  return drvbed_wait (b, DRVBED_WAIT_MS, _drvbed_has_head, a)
         && a->status != 0;
}

static bool
_drvbed_is_answered (const void *data)
{
  const drvbed_answer_t *a = data;
  return a->ended;
}

bool
drvbed_await_answer (drvbed_t *b, const drvbed_answer_t *a)
{
  return drvbed_wait (b, DRVBED_WAIT_MS + CLK_SECOND, _drvbed_is_answered, a);
}

bool
drvbed_is_own (const drvbed_answer_t *a)
{
  char *body = drvbed_body (NULL, a->id, 0);
  bool own = a->ended && !a->failed && a->status == 200
             && g_strcmp0 (a->response_id, a->id) == 0
             && g_strcmp0 (a->signature, drvbed_signature (body, a->id)) == 0
             && strcmp (a->body->str, body) == 0;
  talloc_free (body);
  return own;
}

void
drvbed_callers_open (drvbed_t *b)
{
  b->callers = hcl_setup (b, &(hcl_desc_t){ .loop = b->loop,
                                            .handler = _drvbed_on_answer,
                                            .data = b });
}

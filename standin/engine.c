/** @file
 * Stand-in for a model engine: continuous batching over a fixed number of
 * slots, streams, a prefix cache, delayed load reports, and fenced orders that
 * set the model and the role.
 *
 * The text of a response begins with "answer H for ID", where H is the start
 * of the prompt's SHA-256 and ID the X-Request-Id, so that a response to
 * another request can be recognized.
 */
#include "engine.h"
#include "srv.h"
#include "standin.h"

#include <argp.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define DEFAULT_MAX_TOKENS 16
#define DEFAULT_SLOTS 4
#define DEFAULT_TOKEN_MS 10
#define DEFAULT_CACHE 64 /* prefixes */

typedef struct
{
  srv_t *srv;
  srv_desc_t desc;
  const char *name;
  uint32_t slots;
  uint64_t token_ms;
  uint64_t prefill_ms; /**< for 1000 characters */
  uint32_t cache_prefixes;
  uint64_t lag_ms;
  bool checks_fencing; /**< orders with an old fencing number get 409 */
  bool leaving;        /**< reported as draining */
  bool hold_enabled; /**< no completion proceeds once hold_left is 0 or less */
  json_int_t hold_left; /**< completions that may still end */
  cache_t *cache;
  report_t *report;
  GQueue *waiting;    /**< completion_t, in order of arrival */
  GList *completions; /**< completion_t, all of them */
  uint32_t running;
  json_int_t total;   /**< completions received */
  json_int_t fencing; /**< highest fencing number seen in an order */
  json_int_t orders;  /**< orders accepted */
  char *model;
  char *role;
  json_t *by_request; /**< X-Request-Id -> calls */
} engine_t;

typedef enum
{
  COMPLETION_WAITING,
  COMPLETION_RUNNING,
  COMPLETION_PAUSED,
  COMPLETION_DONE,
} completion_state_t;

/** A completion request. */
typedef struct
{
  engine_t *engine;
  srv_req_t *req;
  completion_state_t state;
  bool chat;
  bool stream;
  bool prefilled;
  char *id;
  char *prompt;
  char *digest;    /**< first 16 hex digits of the prompt's SHA-256 */
  char *text;      /**< response so far */
  uint32_t tokens; /**< tokens generated so far */
  uint32_t max_tokens;
  struct tevent_timer *timer;
} completion_t;

static void _engine_schedule (engine_t *e);

static void
_engine_report (engine_t *e)
{
  report_put (e->report, e->running, g_queue_get_length (e->waiting));
}

/** Removes COMPLETION from its slot or queue and sets its state to NEXT. */
static void
_completion_dequeue (completion_t *completion, completion_state_t next)
{
  engine_t *e = completion->engine;
  if (completion->state == COMPLETION_RUNNING)
    e->running--;
  if (completion->state == COMPLETION_WAITING)
    g_queue_remove (e->waiting, completion);
  TALLOC_FREE (completion->timer);
  completion->state = next;
  _engine_schedule (e);
}

static int
_completion_free (completion_t *completion)
{
  completion->engine->completions
      = g_list_remove (completion->engine->completions, completion);
  if (completion->state != COMPLETION_DONE)
    _completion_dequeue (completion, COMPLETION_DONE);
  return 0;
}

/* Responses */

/** Returns the choice object of a complete response or of a stream's chunk. */
static json_t *
_completion_choice (const completion_t *completion, const char *text,
                    bool last)
{
  json_t *finish = last ? json_string ("length") : json_null ();
  if (!completion->chat)
    return json_pack ("{s:i, s:s, s:o}", "index", 0, "text", text,
                      "finish_reason", finish);
  return json_pack ("{s:i, s:{s:s, s:s}, s:o}", "index", 0,
                    completion->stream ? "delta" : "message", "role",
                    "assistant", "content", text, "finish_reason", finish);
}

static json_t *
_completion_object (const completion_t *completion, const char *text,
                    bool last)
{
  const char *kind = completion->chat ? "chat.completion" : "text_completion";
  return json_pack ("{s:s, s:s, s:s, s:s, s:[o]}", "id", completion->id,
                    "object", kind, "model", completion->engine->model,
                    "upstream", completion->engine->name, "choices",
                    _completion_choice (completion, text, last));
}

static void
_completion_chunk_write (completion_t *completion, const char *text, bool last)
{
  json_t *object = _completion_object (completion, text, last);
  char *dump = json_dumps (object, JSON_COMPACT);
  size_t size = strlen (dump);
  char *event = NULL;
  if (completion->req->fault == SRV_INVALID_JSON)
    dump[size / 2] = '\0';
  event = talloc_asprintf (completion, "data: %s\n\n", dump);
  srv_stream_write (completion->req, event, strlen (event));
  talloc_free (event);
  free (dump);
  json_decref (object);
}

static bool
_engine_is_held (const engine_t *e)
{
  return e->hold_enabled && e->hold_left <= 0;
}

static void
_completion_finish (completion_t *completion)
{
  srv_req_t *req = completion->req;
  completion->engine->hold_left--;
  _completion_dequeue (completion, COMPLETION_DONE);
  if (completion->stream)
    {
      srv_stream_write (req, "data: [DONE]\n\n", 14);
      srv_stream_end (req);
      return;
    }
  json_t *object = _completion_object (completion, completion->text, true);
  json_object_set_new (object, "usage",
                       json_pack ("{s:i, s:i}", "prompt_tokens",
                                  (int)(strlen (completion->prompt) / 4),
                                  "completion_tokens",
                                  (int)completion->tokens));
  srv_json (req, 200, object);
}

/** Returns token number I of COMPLETION's response. */
static char *
_completion_token (const completion_t *completion, uint32_t i)
{
  if (i == 0)
    return talloc_asprintf (NULL, "answer %s for %s", completion->digest,
                            completion->id);
  return talloc_asprintf (NULL, " %c%u", completion->digest[i % 16], i);
}

static void
_completion_token_due (struct tevent_context *loop, struct tevent_timer *timer,
                       struct timeval now, void *data)
{
  completion_t *completion = data;
  (void)loop;
  (void)timer;
  (void)now;
  completion->timer = NULL;
  completion->prefilled = true;
  if (_engine_is_held (completion->engine))
    {
      completion->timer = srv_timer_add (completion->engine->srv, completion,
                                         completion->engine->token_ms,
                                         _completion_token_due, completion);
      return;
    }
  if (completion->req->fault == SRV_TRUNCATE
      && completion->tokens >= completion->max_tokens / 2)
    {
      _completion_dequeue (completion, COMPLETION_DONE);
      srv_abort (completion->req);
      return;
    }
  char *token = _completion_token (completion, completion->tokens);
  completion->tokens++;
  completion->text = talloc_strdup_append (completion->text, token);
  if (completion->stream)
    _completion_chunk_write (completion, token,
                             completion->tokens == completion->max_tokens);
  talloc_free (token);
  if (completion->tokens >= completion->max_tokens)
    _completion_finish (completion);
  else
    completion->timer = srv_timer_add (completion->engine->srv, completion,
                                       completion->engine->token_ms,
                                       _completion_token_due, completion);
}

/* Scheduling */

static void
_completion_start (completion_t *completion)
{
  engine_t *e = completion->engine;
  uint64_t ms = e->token_ms;
  if (!completion->prefilled && !cache_use (e->cache, completion->prompt))
    ms += e->prefill_ms * strlen (completion->prompt) / 1000;
  completion->state = COMPLETION_RUNNING;
  e->running++;
  completion->timer = srv_timer_add (e->srv, completion, ms,
                                     _completion_token_due, completion);
}

static void
_engine_schedule (engine_t *e)
{
  while (e->running < e->slots && !g_queue_is_empty (e->waiting))
    _completion_start (g_queue_pop_head (e->waiting));
  _engine_report (e);
}

static char *
_prompt_text (void *ctx, const json_t *body)
{
  const char *prompt = json_string_value (json_object_get (body, "prompt"));
  const json_t *messages = json_object_get (body, "messages");
  char *text = prompt ? talloc_strdup (ctx, prompt) : NULL;
  size_t i;
  json_t *message;
  json_array_foreach (messages, i, message)
  {
    const char *content
        = json_string_value (json_object_get (message, "content"));
    text = talloc_asprintf_append (text ? text : talloc_strdup (ctx, ""),
                                   "%s%s", i ? "\n" : "",
                                   content ? content : "");
  }
  return text;
}

static void
_completion_identify (completion_t *completion)
{
  engine_t *e = completion->engine;
  const char *id = srv_req_header (completion->req, "X-Request-Id");
  char *digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256,
                                                completion->prompt, -1);
  e->total++;
  completion->id = id ? talloc_strdup (completion, id)
                      : talloc_asprintf (completion, "%s-%lld", e->name,
                                         (long long)e->total);
  completion->digest = talloc_strndup (completion, digest, 16);
  g_free (digest);
  json_int_t n
      = json_integer_value (json_object_get (e->by_request, completion->id));
  json_object_set_new (e->by_request, completion->id, json_integer (n + 1));
}

static void
_engine_complete (engine_t *e, srv_req_t *req, bool chat)
{
  json_t *body
      = json_loadb ((const char *)req->body->data, req->body->len, 0, NULL);
  char *prompt = _prompt_text (req, body);
  if (prompt == NULL)
    {
      json_decref (body);
      srv_error (req, 400, "invalid", "prompt or messages is missing");
      return;
    }
  json_int_t max = json_integer_value (json_object_get (body, "max_tokens"));
  completion_t *completion = talloc_zero (req, completion_t);
  completion->engine = e;
  completion->req = req;
  completion->chat = chat;
  completion->stream = json_is_true (json_object_get (body, "stream"));
  completion->prompt = prompt;
  completion->max_tokens = max > 0 ? (uint32_t)max : DEFAULT_MAX_TOKENS;
  completion->text = talloc_strdup (completion, "");
  json_decref (body);
  _completion_identify (completion);
  if (strstr (prompt, "impossible"))
    {
      srv_error (req, 422, "invalid", "the prompt is impossible");
      return;
    }
  e->completions = g_list_prepend (e->completions, completion);
  talloc_set_destructor (completion, _completion_free);
  if (completion->stream)
    srv_stream_begin (req, "text/event-stream");
  g_queue_push_tail (e->waiting, completion);
  _engine_schedule (e);
}

static void
_engine_pause (engine_t *e, srv_req_t *req, bool pause)
{
  json_t *body
      = json_loadb ((const char *)req->body->data, req->body->len, 0, NULL);
  const char *id = json_string_value (json_object_get (body, "id"));
  int found = 0;
  for (GList *l = e->completions; l && id; l = l->next)
    {
      completion_t *completion = l->data;
      if (strcmp (completion->id, id) != 0
          || completion->state == COMPLETION_DONE)
        continue;
      found++;
      if (pause && completion->state != COMPLETION_PAUSED)
        _completion_dequeue (completion, COMPLETION_PAUSED);
      else if (!pause && completion->state == COMPLETION_PAUSED)
        {
          completion->state = COMPLETION_WAITING;
          g_queue_push_head (e->waiting, completion);
          _engine_schedule (e);
        }
    }
  json_decref (body);
  srv_json (req, found ? 200 : 404, json_pack ("{s:i}", "found", found));
}

/* Reports and orders */

static json_t *
_engine_load (engine_t *e, bool false_report)
{
  json_t *load = report_get (e->report);
  if (false_report)
    json_object_set_new (load, "running", json_integer (0));
  if (false_report)
    json_object_set_new (load, "waiting", json_integer (0));
  json_object_set_new (load, "slots", json_integer (e->slots));
  json_object_set_new (load, "leaving", json_boolean (e->leaving));
  return load;
}

static json_t *
_engine_state (const engine_t *e)
{
  return json_pack ("{s:s, s:s, s:I, s:I}", "model", e->model, "role", e->role,
                    "fencing", e->fencing, "orders", e->orders);
}

static void
_engine_order (engine_t *e, srv_req_t *req)
{
  json_t *body
      = json_loadb ((const char *)req->body->data, req->body->len, 0, NULL);
  json_int_t fencing = json_integer_value (json_object_get (body, "fencing"));
  const char *model = json_string_value (json_object_get (body, "model"));
  const char *role = json_string_value (json_object_get (body, "role"));
  bool stale = e->checks_fencing && fencing < e->fencing;
  if (!stale && body)
    {
      e->fencing = fencing > e->fencing ? fencing : e->fencing;
      e->orders++;
      if (model)
        e->model = talloc_strdup (e, model);
      if (role)
        e->role = talloc_strdup (e, role);
    }
  json_decref (body);
  srv_json (req, stale ? 409 : 200, _engine_state (e));
}

static void
_engine_handle (srv_req_t *req)
{
  engine_t *e = req->user;
  const char *path = req->path;
  if (strcmp (path, "/v1/completions") == 0)
    _engine_complete (e, req, false);
  else if (strcmp (path, "/v1/chat/completions") == 0)
    _engine_complete (e, req, true);
  else if (strcmp (path, "/v1/pause") == 0)
    _engine_pause (e, req, true);
  else if (strcmp (path, "/v1/resume") == 0)
    _engine_pause (e, req, false);
  else if (strcmp (path, "/load") == 0)
    srv_json (req, 200, _engine_load (e, req->fault == SRV_FALSE_LOAD));
  else if (strcmp (path, "/cache-events") == 0)
    srv_json (req, 200,
              cache_events (e->cache, srv_req_number (req, "after", 0)));
  else if (strcmp (path, "/orders") == 0)
    _engine_order (e, req);
  else if (strcmp (path, "/state") == 0)
    srv_json (req, 200, _engine_state (e));
  else if (strcmp (path, "/counts") == 0)
    srv_json (req, 200,
              json_pack ("{s:I, s:b, s:i, s:i, s:O}", "total", e->total,
                         "held", (int)(_engine_is_held (e) && e->running > 0),
                         "running", (int)e->running, "waiting",
                         (int)g_queue_get_length (e->waiting), "by_request",
                         e->by_request));
  else
    srv_error (req, 404, "not-found", path);
}

/** Handles the engine's own fields of /control.  leaving: whether the load
 * reports say that the engine drains.  hold_after: N lets N more completions
 * end and then stops all tokens; null lets the completions proceed again. */
static void
_engine_control (void *user, const json_t *command)
{
  engine_t *e = user;
  const json_t *leaving = json_object_get (command, "leaving");
  if (leaving)
    e->leaving = json_is_true (leaving);
  const json_t *hold_after = json_object_get (command, "hold_after");
  if (hold_after)
    {
      e->hold_enabled = json_is_integer (hold_after);
      e->hold_left = json_integer_value (hold_after);
    }
}

/* Arguments */

enum
{
  KEY_PORT = 256,
  KEY_NAME,
  KEY_SLOTS,
  KEY_TOKEN,
  KEY_PREFILL,
  KEY_CACHE,
  KEY_LAG,
  KEY_FENCING,
  KEY_RECORD,
};

static const struct argp_option options[] = {
  { "port", KEY_PORT, "P", 0, "port on 127.0.0.1 (0: any)", 0 },
  { "name", KEY_NAME, "U", 0, "name of this upstream", 0 },
  { "slots", KEY_SLOTS, "N", 0, "completions that run at a time (4)", 0 },
  { "token-ms", KEY_TOKEN, "MS", 0, "time between tokens (10)", 0 },
  { "prefill-ms-per-kchar", KEY_PREFILL, "MS", 0,
    "prefill of 1000 characters of prompt (0)", 0 },
  { "cache-prefixes", KEY_CACHE, "K", 0, "size of the prefix cache (64)", 0 },
  { "report-lag-ms", KEY_LAG, "MS", 0, "lag of reports and events (0)", 0 },
  { "fencing", KEY_FENCING, "yes|no", 0, "refuse old fencing numbers (yes)",
    0 },
  { "record", KEY_RECORD, "FILE", 0, "append each request received", 0 },
  { 0 },
};

static error_t
_engine_option (int key, char *arg, struct argp_state *state)
{
  engine_t *e = state->input;
  switch (key)
    {
    case KEY_PORT:
      e->desc.port = (uint16_t)strtoul (arg, NULL, 10);
      return 0;
    case KEY_NAME:
      e->name = arg;
      return 0;
    case KEY_SLOTS:
      e->slots = (uint32_t)strtoul (arg, NULL, 10);
      return 0;
    case KEY_TOKEN:
      e->token_ms = strtoull (arg, NULL, 10);
      return 0;
    case KEY_PREFILL:
      e->prefill_ms = strtoull (arg, NULL, 10);
      return 0;
    case KEY_CACHE:
      e->cache_prefixes = (uint32_t)strtoul (arg, NULL, 10);
      return 0;
    case KEY_LAG:
      e->lag_ms = strtoull (arg, NULL, 10);
      return 0;
    case KEY_FENCING:
      e->checks_fencing = strcmp (arg, "no") != 0;
      return 0;
    case KEY_RECORD:
      e->desc.record = arg;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
engine_main (int argc, char **argv)
{
  static const struct argp argp
      = { options, _engine_option, NULL, "Stand-in for a model engine.",
          NULL,    NULL,           NULL };
  engine_t *e = talloc_zero (NULL, engine_t);
  e->name = "engine";
  e->slots = DEFAULT_SLOTS;
  e->token_ms = DEFAULT_TOKEN_MS;
  e->cache_prefixes = DEFAULT_CACHE;
  e->checks_fencing = true;
  argp_parse (&argp, argc, argv, 0, NULL, e);
  e->cache = cache_setup (e, e->cache_prefixes, e->lag_ms);
  e->report = report_setup (e, e->lag_ms);
  e->waiting = g_queue_new ();
  e->by_request = json_object ();
  e->model = talloc_strdup (e, "snit");
  e->role = talloc_strdup (e, "both");
  e->desc.handle = _engine_handle;
  e->desc.control = _engine_control;
  e->desc.user = e;
  e->srv = srv_setup (e, &e->desc);
  srv_run (e->srv);
  return EXIT_SUCCESS;
}

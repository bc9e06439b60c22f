#include "drvbed_int.h"

#include "sock.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

/* -- waiting -------------------------------------------------------------- */

static void
_drvbed_expire (struct tevent_context *loop, struct tevent_timer *timer,
                struct timeval now, void *data)
{
  (void)loop;
  (void)timer;
  (void)now;
  bool *expired = data;
  *expired = true;
}

bool
drvbed_wait (drvbed_t *b, clk_ms_t ms, bool (*done) (const void *data),
             const void *data)
{
  bool expired = false;
  struct timeval at = tevent_timeval_current_ofs (
      (uint32_t)(ms / 1000), (uint32_t)(ms % 1000) * 1000);
  struct tevent_timer *timer
      = tevent_add_timer (b->loop, b, at, _drvbed_expire, &expired);
  while (!expired && !done (data))
    (void)tevent_loop_once (b->loop);
  if (!expired)
    talloc_free (timer);
  return done (data);
}

static bool
_drvbed_is_never_done (const void *data)
{
  (void)data;
  return false;
}

void
drvbed_pass (drvbed_t *b, clk_ms_t ms)
{
  (void)drvbed_wait (b, ms, _drvbed_is_never_done, NULL);
}

/* -- set up --------------------------------------------------------------- */

void
drvbed_address (char address[DRVBED_ADDRESS_SIZE])
{
  (void)snprintf (address, DRVBED_ADDRESS_SIZE, "127.0.0.1:%u",
                  sock_free_port ());
}

/* Starts VM NAME, which listens to callers if ENTRY. */
static bool
_drvbed_vm_open (drvbed_t *b, drvbed_vm_t *vm, const char *name, bool entry)
{
  static const char *const data_centres[] = { "north", "south", NULL };
  st_t st = { 0 };
  drvbed_address (vm->listen);
  drvbed_address (vm->peer_listen);
  vm->set = (set_t){ .name = name,
                     .data_centre = "north",
                     .data_centres = data_centres,
                     .listen = entry ? vm->listen : NULL,
                     .peer_listen = vm->peer_listen,
                     .secret = "secret of the bed",
                     .platform = b->platform_listen,
                     .hosted = true,
                     .log_level = "warning",
                     .seed = 1 };
  vm->driver
      = drv_setup (b, &(drv_desc_t){ .loop = b->loop, .set = &vm->set }, &st);
  return vm->driver != NULL;
}

static bool
_drvbed_entry_open (drvbed_t *b)
{
  for (int i = 0; i < DRVBED_ATTEMPTS && b->entry.driver == NULL; i++)
    (void)_drvbed_vm_open (b, &b->entry, "n-1", true);
  return b->entry.driver != NULL;
}

static bool
_drvbed_worker_open (drvbed_t *b)
{
  for (int i = 0; i < DRVBED_ATTEMPTS && b->worker.driver == NULL; i++)
    (void)_drvbed_vm_open (b, &b->worker, "w-1", false);
  return b->worker.driver != NULL;
}

static bool
_drvbed_open (drvbed_t *b)
{
  for (size_t i = 0; i < b->desc.upstreams; i++)
    if (!drvbed_upstream_open (b, &b->upstreams[i]))
      return false;
  return drvbed_platform_open (b) && _drvbed_entry_open (b)
         && (!b->desc.worker || _drvbed_worker_open (b));
}

/* A number of load queries at an upstream that a wait is for. */
typedef struct
{
  const drvbed_t *bed;
  size_t upstream;
  unsigned count;
} _drvbed_polls_t;

static bool
_drvbed_is_polled (const void *data)
{
  const _drvbed_polls_t *p = data;
  return drvbed_request_count (p->bed, p->upstream, DRVBED_LOAD) >= p->count;
}

/* The last load query at UPSTREAM; NULL: none. */
static const drvbed_request_t *
_drvbed_last_poll (const drvbed_t *b, size_t upstream)
{
  for (guint i = b->requests->len; i-- > 0;)
    {
      const drvbed_request_t *r = g_ptr_array_index (b->requests, i);
      if (r->conn->upstream == &b->upstreams[upstream]
          && strcmp (r->id, DRVBED_LOAD) == 0)
        return r;
    }
  return NULL;
}

bool
drvbed_await_reports (drvbed_t *b, size_t upstream, unsigned count)
{
  _drvbed_polls_t polls
      = { .bed = b,
          .upstream = upstream,
          .count = drvbed_request_count (b, upstream, DRVBED_LOAD) + count };
  if (!drvbed_wait (b, DRVBED_WAIT_MS, _drvbed_is_polled, &polls))
    return false;
  return drvbed_await_read (b, _drvbed_last_poll (b, upstream)->conn);
}

drvbed_t *
drvbed_setup_with (const drvbed_desc_t *desc)
{
  drvbed_t *b = talloc_zero (NULL, drvbed_t);
  b->desc = *desc;
  b->loop = tevent_context_init (NULL);
  b->objects = json_object ();
  b->changes = g_ptr_array_new ();
  b->watches = g_ptr_array_new ();
  b->requests = g_ptr_array_new ();
  b->answers = g_ptr_array_new ();
  drvbed_callers_open (b);
  if (_drvbed_open (b) && drvbed_await_reports (b, 0, 1))
    return b;
  drvbed_shutdown (b);
  return NULL;
}

drvbed_t *
drvbed_setup (size_t upstreams)
{
  return drvbed_setup_with (&(drvbed_desc_t){ .upstreams = upstreams });
}

bool
drvbed_restart (drvbed_t *b)
{
  TALLOC_FREE (b->entry.driver);
  return _drvbed_entry_open (b) && drvbed_await_reports (b, 0, 1);
}

static void
_drvbed_changes_free (drvbed_t *b)
{
  for (guint i = 0; i < b->changes->len; i++)
    json_decref (
        ((drvbed_change_t *)g_ptr_array_index (b->changes, i))->object);
  g_ptr_array_free (b->changes, TRUE);
}

void
drvbed_shutdown (drvbed_t *b)
{
  struct tevent_context *loop = b->loop;
  TALLOC_FREE (b->entry.driver);
  TALLOC_FREE (b->worker.driver);
  TALLOC_FREE (b->callers);
  TALLOC_FREE (b->platform);
  for (size_t i = 0; i < b->desc.upstreams; i++)
    drvbed_upstream_close (&b->upstreams[i]);
  _drvbed_changes_free (b);
  json_decref (b->objects);
  g_ptr_array_free (b->watches, TRUE);
  g_ptr_array_free (b->requests, TRUE);
  g_ptr_array_free (b->answers, TRUE);
  talloc_free (b);
  talloc_free (loop);
}

#include "io/hsv_int.h"

#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <talloc.h>

/** Interval of the checks. */
#define HSV_CHECK_US 200000
/** Checks, HSV_CHECK_US apart, in which bytes wait that the library does not
 * take, before the connection is closed. */
#define HSV_STUCK_CHECKS 5

/* Aborts the requests of callers that have disconnected.  The library does not
 * notice a disconnect, as it does not poll suspended connections. */
static void
_hsv_disconnects_poll (hsv_t *s)
{
  guint n = g_hash_table_size (s->requests);
  struct pollfd *fds = talloc_zero_array (s, struct pollfd, n + 1);
  hsv_request_t **polled = talloc_zero_array (fds, hsv_request_t *, n + 1);
  GHashTableIter iter;
  void *value = NULL;
  nfds_t count = 0;
  g_hash_table_iter_init (&iter, s->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      hsv_request_t *r = value;
      if (!r->suspended)
        continue;
      polled[count] = r;
      fds[count++] = (struct pollfd){ .fd = hsv_fd (r), .events = POLLRDHUP };
    }
  if (poll (fds, count, 0) > 0)
    {
      for (nfds_t i = 0; i < count; i++)
        {
          if (fds[i].revents == 0)
            continue;
          hsv_gone_report (polled[i]);
          polled[i]->aborted = true;
          hsv_resume (polled[i]);
        }
    }
  talloc_free (fds);
}

/* Whether bytes wait on the connection of R, which is not delivered yet, and
 * the library has taken none since the last check. */
static bool
_hsv_is_stuck (hsv_request_t *r)
{
  int waiting = 0;
  bool stuck = ioctl (hsv_fd (r), FIONREAD, &waiting) == 0 && waiting > 0
               && r->received == r->checked;
  r->checked = r->received;
  return stuck;
}

/* Closes the connections on which the library is stuck: it neither reads on
 * nor gives up on a line of a chunk that is larger than its memory.  A VM too
 * busy to run the library is no sign of that. */
static void
_hsv_stuck_close (hsv_t *s)
{
  GHashTableIter iter;
  void *value = NULL;
  if (!s->has_run)
    return;
  s->has_run = false;
  g_hash_table_iter_init (&iter, s->receiving);
  while (g_hash_table_iter_next (&iter, &value, NULL))
    {
      hsv_request_t *r = value;
      r->stuck = _hsv_is_stuck (r) ? r->stuck + 1 : 0;
      if (r->stuck < HSV_STUCK_CHECKS)
        continue;
      g_info ("http connection-closed: why=stuck received=%zu", r->received);
      (void)shutdown (hsv_fd (r), SHUT_RDWR);
    }
}

static void
_hsv_on_check_timer (struct tevent_context *loop, struct tevent_timer *timer,
                     struct timeval now, void *data)
{
  (void)loop;
  (void)timer;
  (void)now;
  hsv_t *s = data;
  _hsv_disconnects_poll (s);
  _hsv_stuck_close (s);
  s->disconnect_timer = tevent_add_timer (
      s->desc.loop, s, tevent_timeval_current_ofs (0, HSV_CHECK_US),
      _hsv_on_check_timer, s);
}

void
hsv_checks_start (hsv_t *s)
{
  _hsv_on_check_timer (s->desc.loop, NULL, (struct timeval){ 0 }, s);
}

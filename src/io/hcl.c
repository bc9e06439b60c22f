#include "io/hcl.h"

#include "core/hck.h"
#include "core/opn.h"
#include "core/rhd.h"
#include "io/hcl_socket.h"
#include "io/tun.h"

#include <curl/curl.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>

#define HCL_CONNECT_TIMEOUT_MS 1000L
#define HCL_IDLE_CONNECTIONS_MAX 256L
#define HCL_IDLE_AGE_MAX_S 20L /**< longest idle time before a reuse */
#define HCL_PROBE_IDLE_S 5L    /**< idle time before a keep-alive probe */
#define HCL_PROBE_INTERVAL_S 2L
/** All lines of a response that are not its body, in bytes: of the heads
 * before the final one, of that one, and of the trailer. */
#define HCL_HEAD_MAX ((size_t)64 << 10)
/** Bytes of a body passed on before the loop's next turn; libcurl reads up to
 * a hundred blocks at once. */
#define HCL_TURN_MAX ((size_t)64 << 10)

/** A limit that ends a call this late shows that the process stood still.  The
 * call's response may lie in its socket, and the loop runs timers first: the
 * call gets the second time to read it. */
#define HCL_LATE_MS ((clk_ms_t)250)
#define HCL_LATE_READ_MS ((clk_ms_t)50)

typedef struct _hcl_request _hcl_request_t;

/** A time limit of a call. */
typedef struct
{
  _hcl_request_t *request;
  struct tevent_timer *timer; /**< NULL: there is no limit now */
  gint64 at_us;               /**< on the monotonic clock */
  bool extended;              /**< for what lies in the socket */
} _hcl_limit_t;

struct hcl
{
  hcl_desc_t desc;
  CURLM *multi;
  struct tevent_timer *timer;
  GHashTable *requests; /**< set of _hcl_request_t by owner and id */
  hcl_sockets_t *sockets;
  bool has_new_calls; /**< calls that libcurl may not have started yet */
};

struct _hcl_request
{
  hcl_t *client;
  hcl_owner_t owner;
  uint64_t id;
  const char *address; /**< as in hcl_call_t, for logs */
  CURL *easy;
  struct curl_slist *request_headers;
  struct curl_slist *tunnel_headers; /**< NULL: it goes through no tunnel */
  const char *id_header;             /**< as in hcl_call_t */
  const char *const *known_headers;  /**< as in hcl_call_t */
  const char *request_id;            /**< value of id_header in the request */
  bool id_required;                  /**< as in hcl_call_t */
  _hcl_limit_t wait_limit; /**< for the first byte, then for a stall */
  _hcl_limit_t total_limit;
  clk_ms_t stall_ms;
  rhd_t *head;           /**< reads the response's head and trailer */
  rhd_t *tunnel_head;    /**< the same of the tunnel's; NULL: the tunnel is
                              open, or there is none */
  int tunnel_status;     /**< of the whole head of the tunnel; 0: none yet */
  const char *malformed; /**< what of them breaks the rule; NULL: nothing */
  size_t head_bytes;     /**< of all lines so far, against HCL_HEAD_MAX */
  bool head_ended;       /**< further header lines are a trailer's */
  bool head_received;    /**< the head was emitted */
  GString *opening;      /**< first bytes of the body, until they are judged;
                              NULL: none */
  size_t opening_sent;   /**< bytes of it that were passed on */
  opn_verdict_t opening_verdict; /**< the last one */
  bool framing_required;         /**< as in hcl_call_t */
  bool paused;
  size_t upload_size; /**< of the request's body, in bytes */
  size_t body_max;    /**< as in hcl_call_t */
  size_t body_bytes;  /**< passed on so far */
  size_t turn_bytes;  /**< of the body, passed on in this turn */
  bool turn_held;     /**< more has come, which waits for the turn's end */
  struct tevent_immediate *turn_end;
  const char *unsendable; /**< why it is not sent; NULL: it is */
};

/* -- table ---------------------------------------------------------------- */

static guint
_hcl_hash (gconstpointer key)
{
  const _hcl_request_t *r = key;
  return (guint)(r->id * 2654435761U) ^ (guint)r->owner;
}

static gboolean
_hcl_equal (gconstpointer a, gconstpointer b)
{
  const _hcl_request_t *x = a;
  const _hcl_request_t *y = b;
  return x->id == y->id && x->owner == y->owner;
}

static _hcl_request_t *
_hcl_find (const hcl_t *c, hcl_owner_t owner, uint64_t id)
{
  _hcl_request_t key = { .owner = owner, .id = id };
  return g_hash_table_lookup (c->requests, &key);
}

static int
_hcl_request_destroy (_hcl_request_t *r)
{
  if (r->easy != NULL)
    {
      curl_multi_remove_handle (r->client->multi, r->easy);
      curl_easy_cleanup (r->easy);
    }
  curl_slist_free_all (r->request_headers);
  curl_slist_free_all (r->tunnel_headers);
  if (r->opening != NULL)
    (void)g_string_free (r->opening, TRUE);
  return 0;
}

static void
_hcl_remove (_hcl_request_t *r)
{
  g_hash_table_remove (r->client->requests, r);
  talloc_free (r);
}

static void
_hcl_emit (_hcl_request_t *r, const hcl_event_t *event)
{
  hcl_event_t e = *event;
  e.owner = r->owner;
  e.id = r->id;
  r->client->desc.handler (r->client->desc.data, &e);
}

/* -- time limits ---------------------------------------------------------- */

static void _hcl_limit_arm (_hcl_limit_t *limit, clk_ms_t ms);

static void
_hcl_timed_out (struct tevent_context *loop, struct tevent_timer *timer,
                struct timeval now, void *data)
{
  (void)loop;
  (void)timer;
  (void)now;
  _hcl_limit_t *limit = data;
  _hcl_request_t *r = limit->request;
  gint64 late_us = g_get_monotonic_time () - limit->at_us;
  limit->timer = NULL;
  if (!limit->extended && late_us >= HCL_LATE_MS * 1000)
    {
      limit->extended = true;
      _hcl_limit_arm (limit, HCL_LATE_READ_MS);
      return;
    }
  hcl_event_t e = { .kind = EV_UPSTREAM_FAIL,
                    .fail = EV_FAIL_TIMEOUT,
                    .text = r->head_received ? "response stalled"
                                             : "no response in time" };
  _hcl_emit (r, &e);
  _hcl_remove (r);
}

static void
_hcl_limit_arm (_hcl_limit_t *limit, clk_ms_t ms)
{
  _hcl_request_t *r = limit->request;
  struct timeval at = tevent_timeval_current_ofs (
      (uint32_t)(ms / 1000), (uint32_t)(ms % 1000) * 1000);
  TALLOC_FREE (limit->timer);
  limit->at_us = g_get_monotonic_time () + ms * 1000;
  limit->timer
      = tevent_add_timer (r->client->desc.loop, r, at, _hcl_timed_out, limit);
}

/* Sets LIMIT of R to MS from now; 0: none. */
static void
_hcl_limit_set (_hcl_request_t *r, _hcl_limit_t *limit, clk_ms_t ms)
{
  TALLOC_FREE (limit->timer);
  *limit = (_hcl_limit_t){ .request = r };
  if (ms > 0)
    _hcl_limit_arm (limit, ms);
}

static void
_hcl_stall_limit_restart (_hcl_request_t *r)
{
  _hcl_limit_set (r, &r->wait_limit, r->paused ? 0 : r->stall_ms);
}

/* -- libcurl's callbacks -------------------------------------------------- */

/* Whether all of R's body has left this process. */
static bool
_hcl_is_uploaded (const _hcl_request_t *r)
{
  curl_off_t sent = 0;
  curl_easy_getinfo (r->easy, CURLINFO_SIZE_UPLOAD_T, &sent);
  return (size_t)sent >= r->upload_size;
}

/* Whether the end of R's response proves that it is whole.  A side that closes
 * before it has read the request resets the connection, but its end may be
 * seen first. */
static bool
_hcl_end_is_proof (const _hcl_request_t *r)
{
  if (!r->head_ended || !rhd_is_close_delimited (rhd_head (r->head)))
    return r->head_ended;
  return !r->framing_required && _hcl_is_uploaded (r);
}

static void
_hcl_emit_head (_hcl_request_t *r)
{
  const rhd_head_t *head = rhd_head (r->head);
  long port = 0;
  curl_easy_getinfo (r->easy, CURLINFO_LOCAL_PORT, &port);
  long connections = 0;
  curl_easy_getinfo (r->easy, CURLINFO_NUM_CONNECTS, &connections);
  r->head_received = true;
  hcl_event_t e = { .kind = EV_UPSTREAM_HEAD,
                    .status = head->status,
                    .local_port = (uint16_t)port,
                    .connected = connections > 0,
                    .close_delimited = rhd_is_close_delimited (head),
                    .has_length = head->has_body && head->has_length,
                    .length = head->length,
                    .headers = head->headers };
  _hcl_emit (r, &e);
}

/* -- heads ---------------------------------------------------------------- */

/* Whether the response's id_header shows that it is another request's. */
static bool
_hcl_response_is_foreign (const _hcl_request_t *r)
{
  if (r->id_header == NULL)
    return false;
  const char *id
      = http_header_find (rhd_head (r->head)->headers, r->id_header);
  return id == NULL ? r->id_required : strcmp (id, r->request_id) != 0;
}

/* At the end of a head: has the connection of a foreign response closed with
 * that response.  When the handler cancels the call, libcurl may already have
 * received all of the response and put the connection back into its pool. */
static void
_hcl_on_head_end (_hcl_request_t *r)
{
  r->head_ended = true;
  bool once = r->tunnel_headers != NULL || _hcl_response_is_foreign (r);
  curl_easy_setopt (r->easy, CURLOPT_FORBID_REUSE, once ? 1L : 0L);
}

/* Notes that bytes of R's response, or of its tunnel's, break the rule: WHY,
 * owned by R. */
static void
_hcl_malformed_set (_hcl_request_t *r, const char *why)
{
  r->malformed = why;
  const char *from = r->owner == HCL_PLATFORM ? "platform" : "upstream";
  g_message ("http response-malformed: from=%s id=%llu request=%s at=%s "
             "why=%s",
             r->tunnel_head != NULL ? "tunnel" : from,
             (unsigned long long)r->id,
             r->request_id == NULL ? "" : r->request_id, r->address, why);
}

/* Takes LINE of the answer of R's tunnel; false: it breaks the rule. */
static bool
_hcl_tunnel_line (_hcl_request_t *r, buf_t line)
{
  rhd_progress_t progress = rhd_push (r->tunnel_head, line);
  if (progress == RHD_SPOILT)
    _hcl_malformed_set (r, rhd_describe (r, r->tunnel_head));
  if (progress == RHD_ENDED)
    r->tunnel_status = rhd_head (r->tunnel_head)->status;
  if (r->tunnel_status == TUN_OPEN)
    TALLOC_FREE (r->tunnel_head);
  return progress != RHD_SPOILT;
}

/* Takes LINE of a head or trailer of R's response; false: it breaks the rule.
 */
static bool
_hcl_line (_hcl_request_t *r, buf_t line)
{
  switch (rhd_push (r->head, line))
    {
    case RHD_SPOILT:
      _hcl_malformed_set (r, rhd_describe (r, r->head));
      return false;
    case RHD_ENDED:
      _hcl_on_head_end (r);
      return true;
    case RHD_MORE:
    case RHD_INTERIM:
      return true;
    }
  return true;
}

/* Less than the length given makes libcurl end the call and close. */
static size_t
_hcl_on_header (char *p, size_t size, size_t count, void *data)
{
  _hcl_request_t *r = data;
  size_t n = size * count;
  buf_t line = { .p = p, .n = n };
  r->head_bytes += n;
  if (r->head_bytes > HCL_HEAD_MAX)
    return 0;
  bool sound = r->tunnel_head != NULL ? _hcl_tunnel_line (r, line)
                                      : _hcl_line (r, line);
  return sound ? n : 0;
}

/* -- bodies --------------------------------------------------------------- */

static void
_hcl_on_turn_end (struct tevent_context *loop, struct tevent_immediate *im,
                  void *data)
{
  (void)loop;
  (void)im;
  _hcl_request_t *r = data;
  bool held = r->turn_held;
  r->turn_bytes = 0;
  r->turn_held = false;
  if (held && !r->paused)
    curl_easy_pause (r->easy, CURLPAUSE_CONT);
}

/* Counts N bytes of the body against this turn; false: the turn has had its
 * part.  What the handler has queued is worked off before more comes. */
static bool
_hcl_turn_take (_hcl_request_t *r, size_t n)
{
  r->turn_held = r->turn_bytes >= HCL_TURN_MAX;
  if (r->turn_held)
    return false;
  if (r->turn_bytes == 0)
    tevent_schedule_immediate (r->turn_end, r->client->desc.loop,
                               _hcl_on_turn_end, r);
  r->turn_bytes += n;
  return true;
}

static bool
_hcl_body_is_too_large (const _hcl_request_t *r)
{
  return r->body_max > 0 && r->body_bytes > r->body_max;
}

/* Judges the opening of R's body; with ENDED it is all of the body.  False: it
 * belongs to the head. */
static bool
_hcl_opening_judge (_hcl_request_t *r, bool ended)
{
  buf_t bytes = { .p = r->opening->str, .n = r->opening->len };
  r->opening_verdict
      = opn_judge (rhd_head (r->head), bytes, ended, r->known_headers);
  if (r->opening_verdict == OPN_HEAD)
    _hcl_malformed_set (r, "the body begins with lines of a head");
  /* Whether more follows shows in whether libcurl keeps the connection. */
  if (r->opening_verdict == OPN_SUSPECT && r->tunnel_headers != NULL)
    curl_easy_setopt (r->easy, CURLOPT_FORBID_REUSE, 0L);
  return r->opening_verdict != OPN_HEAD;
}

/* Whether more bytes of R's body are needed to judge its opening. */
static bool
_hcl_is_opening (const _hcl_request_t *r)
{
  return r->opening_verdict == OPN_PENDING || r->opening_verdict == OPN_HOLD;
}

/* Passes on what is left of the opening of R's body, and frees it if it is
 * judged. */
static void
_hcl_opening_emit (_hcl_request_t *r)
{
  if (r->opening == NULL)
    return;
  buf_t data = { .p = r->opening->str + r->opening_sent,
                 .n = r->opening->len - r->opening_sent };
  r->opening_sent = r->opening->len;
  if (data.n > 0)
    _hcl_emit (r, &(hcl_event_t){ .kind = EV_UPSTREAM_DATA, .data = data });
  if (_hcl_is_opening (r))
    return;
  (void)g_string_free (r->opening, TRUE);
  r->opening = NULL;
}

/* Takes the N bytes at P of a body whose opening is being judged, also for a
 * paused call: the first byte must be in time.  Less than N ends the call. */
static size_t
_hcl_on_opening (_hcl_request_t *r, const char *p, size_t n)
{
  if (r->opening == NULL)
    r->opening = g_string_new (NULL);
  g_string_append_len (r->opening, p, (gssize)n);
  r->body_bytes += n;
  if (_hcl_body_is_too_large (r) || !_hcl_opening_judge (r, false))
    return 0;
  if (r->opening_verdict == OPN_HOLD)
    return n;
  if (!r->head_received)
    _hcl_emit_head (r);
  _hcl_stall_limit_restart (r);
  if (r->paused)
    {
      /* libcurl brings the same bytes again. */
      g_string_truncate (r->opening, r->opening->len - n);
      r->body_bytes -= n;
      return CURL_WRITEFUNC_PAUSE;
    }
  _hcl_opening_emit (r);
  return n;
}

/* Less than the length given makes libcurl end the call and close. */
static size_t
_hcl_on_body (char *p, size_t size, size_t count, void *data)
{
  _hcl_request_t *r = data;
  size_t n = size * count;
  if (_hcl_is_opening (r) && !(r->paused && r->head_received))
    return _hcl_on_opening (r, p, n);
  if (r->paused || !_hcl_turn_take (r, n))
    return CURL_WRITEFUNC_PAUSE;
  _hcl_opening_emit (r);
  r->body_bytes += n;
  if (_hcl_body_is_too_large (r))
    return 0;
  _hcl_stall_limit_restart (r);
  hcl_event_t e = { .kind = EV_UPSTREAM_DATA, .data = { .p = p, .n = n } };
  _hcl_emit (r, &e);
  return n;
}

/* Whether bytes have come behind the body of the complete request R: libcurl
 * then closes a connection that its response keeps. */
static bool
_hcl_has_more (const _hcl_request_t *r)
{
  curl_socket_t sock = CURL_SOCKET_BAD;
  curl_easy_getinfo (r->easy, CURLINFO_ACTIVESOCKET, &sock);
  if (rhd_head (r->head)->closes)
    return false;
  return sock == CURL_SOCKET_BAD || hcl_socket_has_bytes (sock);
}

/* What the end of R's body, which libcurl takes for complete, says of its
 * opening. */
static void
_hcl_opening_end (_hcl_request_t *r)
{
  if (_hcl_is_opening (r) && r->opening != NULL)
    (void)_hcl_opening_judge (r, true);
  if (r->opening_verdict == OPN_SUSPECT && rhd_head (r->head)->has_length
      && _hcl_has_more (r))
    _hcl_malformed_set (r, "the body begins with lines of a head, and bytes "
                           "follow it");
}

/* The connection of R, which is over, may serve the next call, unless libcurl
 * has closed it or the response is none. */
static void
_hcl_connection_end (const _hcl_request_t *r)
{
  curl_socket_t sock = CURL_SOCKET_BAD;
  curl_easy_getinfo (r->easy, CURLINFO_ACTIVESOCKET, &sock);
  if (sock == CURL_SOCKET_BAD)
    return;
  if (r->malformed == NULL && r->tunnel_headers == NULL)
    hcl_socket_idle (r->client->sockets, sock);
  else
    (void)shutdown (sock, SHUT_RDWR);
}

static const char *
_hcl_failure_text (const _hcl_request_t *r, CURLcode code)
{
  if (r->head_bytes > HCL_HEAD_MAX)
    return "the head is too large";
  if (_hcl_body_is_too_large (r))
    return "the body is too large";
  return r->malformed != NULL ? r->malformed : curl_easy_strerror (code);
}

/* Whether CODE says that libcurl itself takes what has come for no response:
 * it reads a line before it passes it on. */
static bool
_hcl_is_no_response (const _hcl_request_t *r, CURLcode code)
{
  long errnum = 0;
  curl_easy_getinfo (r->easy, CURLINFO_OS_ERRNO, &errnum);
  switch (code)
    {
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_UNSUPPORTED_PROTOCOL:
    case CURLE_BAD_CONTENT_ENCODING:
    case CURLE_BAD_FUNCTION_ARGUMENT: /* a trailer's line without a colon */
      return true;
    case CURLE_RECV_ERROR: /* without one of the socket: in a chunk */
      return r->head_ended && errnum == 0;
    default:
      return false;
    }
}

/* Whether CODE, of a call that was sent, says that the other side closed or
 * reset the connection.  After that libcurl may have tried a new one. */
static bool
_hcl_is_closed (CURLcode code)
{
  switch (code)
    {
    case CURLE_GOT_NOTHING:
    case CURLE_PARTIAL_FILE:
    case CURLE_RECV_ERROR:
    case CURLE_SEND_ERROR:
    case CURLE_COULDNT_CONNECT:
    case CURLE_OPERATION_TIMEDOUT: /* only connecting has a limit in libcurl */
      return true;
    default:
      return false;
    }
}

/* Whether any byte of R's request may have left for its upstream. */
static bool
_hcl_is_sent (const _hcl_request_t *r)
{
  long sent = 0;
  curl_easy_getinfo (r->easy, CURLINFO_REQUEST_SIZE, &sent);
  /* The request for the tunnel counts among the bytes. */
  return r->tunnel_headers != NULL ? r->tunnel_head == NULL : sent > 0;
}

/* Why R got no connection through its tunnel. */
static ev_tunnel_t
_hcl_tunnel_failure (const _hcl_request_t *r)
{
  if (r->tunnel_headers == NULL)
    return EV_TUNNEL_NONE;
  switch (r->tunnel_status)
    {
    case TUN_UNKNOWN:
      return EV_TUNNEL_UNKNOWN;
    case TUN_DEAD:
      return EV_TUNNEL_DEAD;
    case TUN_REFUSED:
      return EV_TUNNEL_REFUSED;
    default:
      return EV_TUNNEL_UNREACHED;
    }
}

static void
_hcl_finish (_hcl_request_t *r, CURLcode code)
{
  hcl_event_t e = { .kind = EV_UPSTREAM_END };
  /* libcurl takes a connection that closes within the head for a success. */
  if (code == CURLE_OK && !_hcl_end_is_proof (r))
    code = CURLE_PARTIAL_FILE;
  if (_hcl_is_no_response (r, code) && r->malformed == NULL)
    _hcl_malformed_set (r, curl_easy_strerror (code));
  if (code == CURLE_OK)
    _hcl_opening_end (r);
  if (code == CURLE_OK && r->malformed != NULL)
    code = CURLE_WEIRD_SERVER_REPLY;
  _hcl_connection_end (r);
  if (code == CURLE_OK && !r->head_received)
    _hcl_emit_head (r);
  if (code == CURLE_OK)
    _hcl_opening_emit (r);
  if (code != CURLE_OK)
    {
      bool sent = _hcl_is_sent (r);
      e.kind = EV_UPSTREAM_FAIL;
      e.fail = sent ? EV_FAIL_UNKNOWN : EV_FAIL_NOT_SENT;
      e.tunnel = sent ? EV_TUNNEL_NONE : _hcl_tunnel_failure (r);
      e.refused = !sent && code == CURLE_COULDNT_CONNECT;
      e.closed = sent && r->malformed == NULL && _hcl_is_closed (code);
      e.malformed = sent && r->malformed != NULL;
      e.text = _hcl_failure_text (r, code);
    }
  _hcl_emit (r, &e);
  _hcl_remove (r);
}

static void
_hcl_reap (hcl_t *c)
{
  int left = 0;
  for (CURLMsg *m = curl_multi_info_read (c->multi, &left); m != NULL;
       m = curl_multi_info_read (c->multi, &left))
    {
      if (m->msg != CURLMSG_DONE)
        continue;
      void *data = NULL;
      curl_easy_getinfo (m->easy_handle, CURLINFO_PRIVATE, &data);
      _hcl_finish (data, m->data.result);
    }
}

/* Lets libcurl act on SOCK, which is ready for MASK, or on its timers; it may
 * start new calls, and all of them on its timers. */
static void
_hcl_act (hcl_t *c, curl_socket_t sock, int mask)
{
  int running = 0;
  if (c->has_new_calls)
    hcl_sockets_check (c->sockets);
  if (sock == CURL_SOCKET_TIMEOUT)
    c->has_new_calls = false;
  curl_multi_socket_action (c->multi, sock, mask, &running);
  _hcl_reap (c);
}

static void
_hcl_on_socket_ready (void *data, int sock, uint16_t flags)
{
  int mask = ((flags & TEVENT_FD_READ) != 0 ? CURL_CSELECT_IN : 0)
             | ((flags & TEVENT_FD_WRITE) != 0 ? CURL_CSELECT_OUT : 0);
  _hcl_act (data, sock, mask);
}

static int
_hcl_on_socket_close (void *data, curl_socket_t sock)
{
  hcl_t *c = data;
  return hcl_socket_close (c->sockets, sock);
}

static int
_hcl_on_socket_change (CURL *easy, curl_socket_t sock, int what, void *data,
                       void *socket_data)
{
  (void)easy;
  (void)socket_data;
  hcl_t *c = data;
  if (what == CURL_POLL_REMOVE)
    {
      hcl_socket_unpoll (c->sockets, sock);
      return 0;
    }
  uint16_t flags = 0;
  if (what == CURL_POLL_IN || what == CURL_POLL_INOUT)
    flags |= TEVENT_FD_READ;
  if (what == CURL_POLL_OUT || what == CURL_POLL_INOUT)
    flags |= TEVENT_FD_WRITE;
  hcl_socket_poll (c->sockets, sock, flags);
  return 0;
}

static void
_hcl_on_timer (struct tevent_context *loop, struct tevent_timer *timer,
               struct timeval now, void *data)
{
  (void)loop;
  (void)timer;
  (void)now;
  hcl_t *c = data;
  c->timer = NULL;
  _hcl_act (c, CURL_SOCKET_TIMEOUT, 0);
}

static int
_hcl_on_timeout_change (CURLM *multi, long ms, void *data)
{
  (void)multi;
  hcl_t *c = data;
  TALLOC_FREE (c->timer);
  if (ms < 0)
    return 0;
  struct timeval at = tevent_timeval_current_ofs (
      (uint32_t)(ms / 1000), (uint32_t)(ms % 1000) * 1000);
  c->timer = tevent_add_timer (c->desc.loop, c, at, _hcl_on_timer, c);
  return 0;
}

/* -- public --------------------------------------------------------------- */

static int
_hcl_destroy (hcl_t *c)
{
  GHashTableIter iter;
  void *value = NULL;
  g_hash_table_iter_init (&iter, c->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      g_hash_table_iter_remove (&iter);
      talloc_free (value);
    }
  curl_multi_cleanup (c->multi);
  g_hash_table_destroy (c->requests);
  return 0;
}

hcl_t *
hcl_setup (void *ctx, const hcl_desc_t *desc)
{
  hcl_t *c = talloc_zero (ctx, hcl_t);
  c->desc = *desc;
  curl_global_init (CURL_GLOBAL_DEFAULT);
  c->multi = curl_multi_init ();
  c->requests = g_hash_table_new (_hcl_hash, _hcl_equal);
  c->sockets = hcl_sockets_setup (
      c, &(hcl_sockets_desc_t){
             .loop = desc->loop, .ready = _hcl_on_socket_ready, .data = c });
  curl_multi_setopt (c->multi, CURLMOPT_SOCKETFUNCTION, _hcl_on_socket_change);
  curl_multi_setopt (c->multi, CURLMOPT_SOCKETDATA, c);
  curl_multi_setopt (c->multi, CURLMOPT_TIMERFUNCTION, _hcl_on_timeout_change);
  curl_multi_setopt (c->multi, CURLMOPT_TIMERDATA, c);
  curl_multi_setopt (c->multi, CURLMOPT_MAXCONNECTS, HCL_IDLE_CONNECTIONS_MAX);
  talloc_set_destructor (c, _hcl_destroy);
  return c;
}

void
hcl_shutdown (hcl_t *c)
{
  talloc_free (c);
}

/* The line of header H, owned by CTX.  libcurl takes "NAME:" for a header that
 * is not to be sent, and "NAME;" for one without a value. */
static char *
_hcl_header_line (void *ctx, const http_header_t *h)
{
  const char *value = h->value + strspn (h->value, " \t");
  return value[0] == '\0' ? talloc_asprintf (ctx, "%s;", h->name)
                          : talloc_asprintf (ctx, "%s: %s", h->name, value);
}

static void
_hcl_set_headers (_hcl_request_t *r, http_headers_t headers)
{
  for (size_t i = 0; i < headers.n; i++)
    {
      char *line = _hcl_header_line (r, &headers.v[i]);
      r->request_headers = curl_slist_append (r->request_headers, line);
      talloc_free (line);
    }
  r->request_headers = curl_slist_append (r->request_headers, "Expect:");
  curl_easy_setopt (r->easy, CURLOPT_HTTPHEADER, r->request_headers);
}

static void
_hcl_set_connection (_hcl_request_t *r, const hcl_call_t *call)
{
  CURL *e = r->easy;
  curl_easy_setopt (e, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (e, CURLOPT_PROXY, "");
  curl_easy_setopt (e, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (e, CURLOPT_CONNECTTIMEOUT_MS,
                    call->connect_ms > 0 ? (long)call->connect_ms
                                         : HCL_CONNECT_TIMEOUT_MS);
  curl_easy_setopt (e, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt (e, CURLOPT_TCP_KEEPIDLE, HCL_PROBE_IDLE_S);
  curl_easy_setopt (e, CURLOPT_TCP_KEEPINTVL, HCL_PROBE_INTERVAL_S);
  curl_easy_setopt (e, CURLOPT_MAXAGE_CONN, HCL_IDLE_AGE_MAX_S);
  curl_easy_setopt (e, CURLOPT_FRESH_CONNECT,
                    call->fresh_connection ? 1L : 0L);
  curl_easy_setopt (e, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (e, CURLOPT_CLOSESOCKETFUNCTION, _hcl_on_socket_close);
  curl_easy_setopt (e, CURLOPT_CLOSESOCKETDATA, r->client);
}

/* Has R's connection made by the VM at CALL's tunnel. */
static void
_hcl_set_tunnel (_hcl_request_t *r, const hcl_call_t *call)
{
  CURL *e = r->easy;
  char *proxy = talloc_asprintf (r, "http://%s", call->tunnel);
  char *proof
      = talloc_asprintf (r, TUN_PROOF_HEADER ": %s", call->tunnel_proof);
  r->tunnel_headers = curl_slist_append (r->tunnel_headers, proof);
  curl_easy_setopt (e, CURLOPT_PROXY, proxy);
  curl_easy_setopt (e, CURLOPT_HTTPPROXYTUNNEL, 1L);
  curl_easy_setopt (e, CURLOPT_HEADEROPT, (long)CURLHEADER_SEPARATE);
  curl_easy_setopt (e, CURLOPT_PROXYHEADER, r->tunnel_headers);
  r->tunnel_head = rhd_setup (r, &(rhd_desc_t){ .once = NULL });
  /* Whether a request has left can be told only for a new tunnel. */
  curl_easy_setopt (e, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt (e, CURLOPT_FORBID_REUSE, 1L);
  talloc_free (proxy);
  talloc_free (proof);
}

static void
_hcl_set_request (_hcl_request_t *r, const hcl_call_t *call)
{
  CURL *e = r->easy;
  char *url = talloc_asprintf (r, "http://%s/", call->address);
  curl_easy_setopt (e, CURLOPT_URL, url);
  talloc_free (url);
  /* As it is: libcurl would take dot segments out of a URL's path, and "@" for
   * the end of a user's name. */
  curl_easy_setopt (e, CURLOPT_REQUEST_TARGET, call->path);
  if (call->body.n > 0 || strcmp (call->method, "POST") == 0
      || strcmp (call->method, "PUT") == 0)
    {
      curl_easy_setopt (e, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)call->body.n);
      curl_easy_setopt (e, CURLOPT_COPYPOSTFIELDS,
                        call->body.n > 0 ? call->body.p : "");
    }
  bool is_head = strcmp (call->method, "HEAD") == 0;
  r->head = rhd_setup (
      r, &(rhd_desc_t){ .answers_head = is_head, .once = call->once_headers });
  if (is_head)
    curl_easy_setopt (e, CURLOPT_NOBODY, 1L);
  curl_easy_setopt (e, CURLOPT_CUSTOMREQUEST, call->method);
  curl_easy_setopt (e, CURLOPT_HEADERFUNCTION, _hcl_on_header);
  curl_easy_setopt (e, CURLOPT_HEADERDATA, r);
  curl_easy_setopt (e, CURLOPT_WRITEFUNCTION, _hcl_on_body);
  curl_easy_setopt (e, CURLOPT_WRITEDATA, r);
  curl_easy_setopt (e, CURLOPT_PRIVATE, r);
}

static void
_hcl_set_id (_hcl_request_t *r, const hcl_call_t *call)
{
  const char *id = call->id_header == NULL
                       ? NULL
                       : http_header_find (call->headers, call->id_header);
  if (id == NULL)
    return;
  r->id_header = talloc_strdup (r, call->id_header);
  r->request_id = talloc_strdup (r, id);
  r->id_required = call->id_required;
}

/* Why CALL may not be sent, owned by R; NULL: it may. */
static const char *
_hcl_call_fault (_hcl_request_t *r, const hcl_call_t *call)
{
  hck_fault_t fault = hck_request (&(hck_request_t){
      .method = call->method,
      .address = call->address,
      .target = call->path,
      .headers = call->headers,
      .sends = true,
  });
  if (fault.part == NULL && call->tunnel != NULL)
    fault = hck_request (&(hck_request_t){ .address = call->tunnel });
  return fault.part == NULL ? NULL : hck_describe (r, &fault);
}

static void
_hcl_on_unsendable (struct tevent_context *loop, struct tevent_immediate *im,
                    void *data)
{
  (void)loop;
  (void)im;
  _hcl_request_t *r = data;
  hcl_event_t e = { .kind = EV_UPSTREAM_FAIL,
                    .fail = EV_FAIL_UNSENDABLE,
                    .text = r->unsendable };
  _hcl_emit (r, &e);
  _hcl_remove (r);
}

void
hcl_call (hcl_t *c, const hcl_call_t *call)
{
  _hcl_request_t *r = talloc_zero (c, _hcl_request_t);
  r->client = c;
  r->owner = call->owner;
  r->id = call->id;
  r->stall_ms = call->stall_ms;
  r->address = talloc_strdup (r, call->address);
  r->upload_size = call->body.n;
  r->body_max = call->body_max;
  r->known_headers = call->known_headers;
  r->framing_required = call->framing_required;
  r->turn_end = tevent_create_immediate (r);
  talloc_set_destructor (r, _hcl_request_destroy);
  r->unsendable = _hcl_call_fault (r, call);
  if (r->unsendable != NULL)
    {
      g_message ("http call-not-sent: to=%s id=%llu why=%s",
                 call->owner == HCL_PLATFORM ? "platform" : "upstream",
                 (unsigned long long)call->id, r->unsendable);
      g_hash_table_add (c->requests, r);
      tevent_schedule_immediate (r->turn_end, c->desc.loop, _hcl_on_unsendable,
                                 r);
      return;
    }
  r->easy = curl_easy_init ();
  _hcl_set_connection (r, call);
  if (call->tunnel != NULL)
    _hcl_set_tunnel (r, call);
  _hcl_set_request (r, call);
  _hcl_set_headers (r, call->headers);
  _hcl_set_id (r, call);
  _hcl_limit_set (r, &r->wait_limit, call->first_byte_ms);
  _hcl_limit_set (r, &r->total_limit, call->total_ms);
  g_hash_table_add (c->requests, r);
  c->has_new_calls = true;
  curl_multi_add_handle (c->multi, r->easy);
}

void
hcl_cancel (hcl_t *c, hcl_owner_t owner, uint64_t id)
{
  _hcl_request_t *r = _hcl_find (c, owner, id);
  if (r != NULL)
    _hcl_remove (r);
}

void
hcl_pause (hcl_t *c, hcl_owner_t owner, uint64_t id, bool paused)
{
  _hcl_request_t *r = _hcl_find (c, owner, id);
  if (r == NULL || r->paused == paused)
    return;
  r->paused = paused;
  if (r->head_received)
    _hcl_stall_limit_restart (r);
  if (paused || r->easy == NULL)
    return;
  if (r->head_received && r->opening_verdict != OPN_HOLD)
    _hcl_opening_emit (r);
  curl_easy_pause (r->easy, CURLPAUSE_CONT);
}

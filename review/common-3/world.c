#include "world.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

const char *world_tmp;
bool trouble = true;
int store_port;

static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static long long began;
static pid_t children[512];
static int child_count;
static char tmp_folder[128];

static long long
steady_ms (void)
{
  struct timespec t;
  clock_gettime (CLOCK_MONOTONIC, &t);
  return (long long)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

long long
now_ms (void)
{
  return steady_ms () - began;
}

void
pause_ms (long long ms)
{
  struct timespec t = { .tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000 };
  while (nanosleep (&t, &t) != 0 && errno == EINTR)
    ;
}

void
rec (const char *format, ...)
{
  va_list args;
  pthread_mutex_lock (&record_lock);
  if (record != NULL)
    {
      fprintf (record, "%8.3f ", (double)now_ms () / 1000);
      va_start (args, format);
      vfprintf (record, format, args);
      va_end (args);
      fputc ('\n', record);
      fflush (record);
    }
  pthread_mutex_unlock (&record_lock);
}

static void
end_children (void)
{
  for (int i = 0; i < child_count; i++)
    if (children[i] > 0)
      {
        kill (children[i], SIGCONT);
        kill (children[i], SIGKILL);
      }
  for (int i = 0; i < child_count; i++)
    if (children[i] > 0)
      waitpid (children[i], NULL, 0);
  if (tmp_folder[0] != '\0' && getenv ("KEEP") == NULL)
    {
      char command[200];
      snprintf (command, sizeof command, "rm -rf '%s'", tmp_folder);
      if (system (command) != 0)
        rec ("the temporary folder was not removed");
    }
}

void
finish (int status, const char *format, ...)
{
  char text[1024];
  va_list args;
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  rec ("RESULT %d: %s", status, text);
  pthread_mutex_lock (&record_lock);
  record = NULL;
  pthread_mutex_unlock (&record_lock);
  printf ("%s: %s\n",
          status == 0   ? "the rule held"
          : status == 1 ? "the rule was broken"
                        : "the case could not run",
          text);
  fflush (stdout);
  end_children ();
  _exit (status);
}

static void
on_alarm (int signal)
{
  (void)signal;
  end_children ();
  _exit (2);
}

void
world_begin (const char *folder, int limit_s)
{
  char path[512];
  const char *t = getenv ("TROUBLE");
  trouble = t == NULL || strcmp (t, "0") != 0;
  began = steady_ms ();
  signal (SIGPIPE, SIG_IGN);
  signal (SIGALRM, on_alarm);
  signal (SIGTERM, on_alarm);
  signal (SIGINT, on_alarm);
  alarm ((unsigned)limit_s);
  snprintf (path, sizeof path, "%s/record.txt", folder);
  record = fopen (path, "w");
  snprintf (tmp_folder, sizeof tmp_folder, "%s/review-XXXXXX",
            getenv ("TMPDIR") != NULL ? getenv ("TMPDIR") : "/tmp");
  if (mkdtemp (tmp_folder) == NULL)
    finish (2, "no temporary folder");
  world_tmp = tmp_folder;
  rec ("TROUBLE=%d", trouble);
}

static int
listen_on (int port)
{
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct sockaddr_in in = { .sin_family = AF_INET,
                            .sin_port = htons ((uint16_t)port),
                            .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&in, sizeof in) != 0
      || listen (fd, 512) != 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

int
free_port (void)
{
  static int next;
  if (next == 0)
    next = 21000 + (int)(getpid () * 53 % 8000);
  for (;; next++)
    {
      if (next > 32000)
        next = 21000;
      int fd = listen_on (next);
      if (fd < 0)
        continue;
      close (fd);
      return next++;
    }
}

/* -- HTTP ----------------------------------------------------------------- */

bool
header_get (const char *head, const char *name, char *out, size_t n)
{
  size_t length = strlen (name);
  for (const char *at = head; at != NULL && *at != '\0';)
    {
      if (strncasecmp (at, name, length) == 0 && at[length] == ':')
        {
          at += length + 1;
          at += strspn (at, " \t");
          snprintf (out, n, "%.*s", (int)strcspn (at, "\r\n"), at);
          return true;
        }
      at = strchr (at, '\n');
      at = at == NULL ? NULL : at + 1;
    }
  return false;
}

bool
send_all (int fd, const void *p, size_t n)
{
  const char *at = p;
  while (n > 0)
    {
      ssize_t sent = send (fd, at, n, MSG_NOSIGNAL);
      if (sent <= 0)
        return false;
      at += sent;
      n -= (size_t)sent;
    }
  return true;
}

typedef struct
{
  int fd;
  char *data;
  size_t n, size;
} in_t;

/* Reads more; false: the end, or nothing in MS (-1: without limit). */
static bool
in_more (in_t *in, int ms)
{
  struct pollfd p = { .fd = in->fd, .events = POLLIN };
  if (poll (&p, 1, ms) <= 0)
    return false;
  if (in->size - in->n < 65536)
    {
      in->size = in->size * 2 + 131072;
      in->data = realloc (in->data, in->size);
    }
  ssize_t n = recv (in->fd, in->data + in->n, in->size - in->n - 1, 0);
  if (n <= 0)
    return false;
  in->n += (size_t)n;
  in->data[in->n] = '\0';
  return true;
}

static void
in_drop (in_t *in, size_t n)
{
  memmove (in->data, in->data + n, in->n - n);
  in->n -= n;
  in->data[in->n] = '\0';
}

/* Reads a chunked body that begins at the start of IN. */
static bool
in_chunked (in_t *in, char **body, size_t *body_n, long long until)
{
  *body = malloc (1);
  *body_n = 0;
  for (;;)
    {
      char *end;
      while (in->n == 0 || (end = strstr (in->data, "\r\n")) == NULL)
        if (!in_more (in, until < 0 ? -1 : (int)(until - steady_ms ())))
          return false;
      size_t size = strtoul (in->data, NULL, 16);
      in_drop (in, (size_t)(end - in->data) + 2);
      while (in->n < size + 2)
        if (!in_more (in, until < 0 ? -1 : (int)(until - steady_ms ())))
          return false;
      *body = realloc (*body, *body_n + size + 1);
      memcpy (*body + *body_n, in->data, size);
      *body_n += size;
      in_drop (in, size + 2);
      if (size == 0)
        return true;
    }
}

typedef struct
{
  int fd;
  handler_t handler;
  void *data;
} conn_t;

static void *
conn_run (void *data)
{
  conn_t *c = data;
  in_t in = { .fd = c->fd };
  req_t *r = calloc (1, sizeof *r);
  long long opened = now_ms ();
  for (;;)
    {
      char *end = NULL;
      while (in.n == 0 || (end = strstr (in.data, "\r\n\r\n")) == NULL)
        if (!in_more (&in, -1))
          goto done;
      memset (r, 0, offsetof (req_t, head));
      r->fd = c->fd;
      r->opened = opened;
      r->came = now_ms ();
      r->body = NULL;
      r->body_n = 0;
      r->close_after = false;
      size_t head_n = (size_t)(end - in.data) + 4;
      char *line = strstr (in.data, "\r\n") + 2;
      sscanf (in.data, "%15s %4095s", r->method, r->target);
      snprintf (r->head, sizeof r->head, "%.*s",
                (int)((size_t)(end - line) + 2), end > line ? line : "");
      char value[64];
      in_drop (&in, head_n);
      if (header_get (r->head, "Transfer-Encoding", value, sizeof value))
        {
          if (!in_chunked (&in, &r->body, &r->body_n, -1))
            goto done;
        }
      else if (header_get (r->head, "Content-Length", value, sizeof value))
        {
          r->body_n = strtoul (value, NULL, 10);
          while (in.n < r->body_n)
            if (!in_more (&in, -1))
              goto done;
          r->body = malloc (r->body_n + 1);
          memcpy (r->body, in.data, r->body_n);
          r->body[r->body_n] = '\0';
          in_drop (&in, r->body_n);
        }
      bool goes_on = c->handler (r, c->data);
      free (r->body);
      r->body = NULL;
      if (!goes_on || r->close_after)
        goto done;
    }
done:
  free (r->body);
  free (r);
  free (in.data);
  close (c->fd);
  free (c);
  return NULL;
}

static void
thread (void *(*f) (void *), void *data)
{
  pthread_t t;
  pthread_attr_t a;
  pthread_attr_init (&a);
  pthread_attr_setstacksize (&a, 256 << 10);
  pthread_attr_setdetachstate (&a, PTHREAD_CREATE_DETACHED);
  if (pthread_create (&t, &a, f, data) != 0)
    finish (2, "no thread");
  pthread_attr_destroy (&a);
}

static void *
accept_run (void *data)
{
  conn_t *l = data;
  for (;;)
    {
      int on = 1;
      int fd = accept4 (l->fd, NULL, NULL, SOCK_CLOEXEC);
      if (fd < 0)
        continue;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      conn_t *c = malloc (sizeof *c);
      *c = (conn_t){ .fd = fd, .handler = l->handler, .data = l->data };
      thread (conn_run, c);
    }
  return NULL;
}

void
serve (int port, handler_t handler, void *data)
{
  conn_t *l = malloc (sizeof *l);
  *l = (conn_t){ .fd = listen_on (port), .handler = handler, .data = data };
  if (l->fd < 0)
    finish (2, "port %d is taken", port);
  thread (accept_run, l);
}

bool
reply (req_t *r, int status, const char *headers, const char *body, size_t n)
{
  char head[2048];
  int length
      = snprintf (head, sizeof head,
                  "HTTP/1.1 %d X\r\n%sContent-Length: %zu\r\n\r\n", status,
                  headers, n);
  char *all = malloc ((size_t)length + n + 1);
  memcpy (all, head, (size_t)length);
  if (n > 0)
    memcpy (all + length, body, n);
  bool sent = send_all (r->fd, all, (size_t)length + n);
  free (all);
  return sent;
}

void
call (int port, const char *method, const char *path, const char *headers,
      const char *body, size_t n, int timeout_ms, resp_t *out)
{
  memset (out, 0, sizeof *out);
  long long until = steady_ms () + timeout_ms;
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_port = htons ((uint16_t)port),
                            .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  if (connect (fd, (struct sockaddr *)&to, sizeof to) != 0)
    {
      close (fd);
      return;
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  char *head = malloc (strlen (headers) + strlen (path) + 256);
  int length = sprintf (head, "%s %s HTTP/1.1\r\n%sContent-Length: %zu\r\n\r\n",
                        method, path, headers, n);
  bool sent = send_all (fd, head, (size_t)length)
              && (n == 0 || send_all (fd, body, n));
  free (head);
  in_t in = { .fd = fd };
  char *end = NULL;
  while (sent && (in.n == 0 || (end = strstr (in.data, "\r\n\r\n")) == NULL))
    {
      long long left = until - steady_ms ();
      if (left <= 0 || !in_more (&in, (int)left))
        break;
    }
  if (end != NULL)
    {
      char value[64];
      snprintf (out->head, sizeof out->head, "%.*s",
                (int)(end - in.data) + 2, in.data);
      sscanf (in.data, "HTTP/1.1 %d", &out->status);
      in_drop (&in, (size_t)(end - in.data) + 4);
      if (header_get (out->head, "Content-Length", value, sizeof value))
        {
          size_t want = strtoul (value, NULL, 10);
          while (in.n < want)
            {
              long long left = until - steady_ms ();
              if (left <= 0 || !in_more (&in, (int)left))
                break;
            }
          out->whole = in.n >= want;
          out->body = malloc (want + 1);
          out->body_n = in.n < want ? in.n : want;
          memcpy (out->body, in.data == NULL ? "" : in.data, out->body_n);
        }
      else
        out->whole = in_chunked (&in, &out->body, &out->body_n, until);
    }
  if (out->body != NULL)
    {
      out->body = realloc (out->body, out->body_n + 1);
      out->body[out->body_n] = '\0';
    }
  free (in.data);
  close (fd);
}

void
resp_free (resp_t *r)
{
  free (r->body);
  r->body = NULL;
}

/* -- the store ------------------------------------------------------------ */

#define ROOT "/rattanspindle/objects/"

typedef struct
{
  char *kind;
  char *name;
  json_t *object; /* NULL: deleted */
  long long revision;
} object_t;

typedef struct
{
  long long revision;
  long long at;
  char *kind;
  char *name;
  char *text; /* of the event */
} change_t;

static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;
static object_t *objects; /* sorted by kind, then name */
static size_t object_count, object_size;
static change_t *changes;
static size_t change_count, change_size;
static long long revision = 100;
bool (*store_filter) (req_t *r);
_Atomic long long store_silent_before = -1;
_Atomic long long store_silent_idle = -1;
_Atomic int store_stale_ms;

/* Waits for ever if the connection of R is silent. */
static void
silent_wait (const req_t *r)
{
  while (r->opened < store_silent_before || r->came < store_silent_idle)
    pause_ms (1000);
}

/* Place of KIND, NAME, or where it would be; *FOUND. */
static size_t
object_place (const char *kind, const char *name, bool *found)
{
  size_t from = 0, to = object_count;
  while (from < to)
    {
      size_t at = (from + to) / 2;
      int c = strcmp (objects[at].kind, kind);
      if (c == 0)
        c = strcmp (objects[at].name, name);
      if (c == 0)
        {
          *found = true;
          return at;
        }
      if (c < 0)
        from = at + 1;
      else
        to = at;
    }
  *found = false;
  return from;
}

static void
change_add (const char *kind, const char *name, json_t *object, bool deleted)
{
  json_t *event
      = json_pack ("{s:O, s:b}", "object", object, "deleted", (int)deleted);
  if (change_count == change_size)
    {
      change_size = change_size * 2 + 1024;
      changes = realloc (changes, change_size * sizeof *changes);
    }
  changes[change_count++]
      = (change_t){ .revision = revision,
                    .at = now_ms (),
                    .kind = strdup (kind),
                    .name = strdup (name),
                    .text = json_dumps (event, JSON_COMPACT) };
  json_decref (event);
  pthread_cond_broadcast (&store_changed);
}

/* Writes SPEC or STATUS (taken over); under the lock. */
static json_t *
object_write (const char *kind, const char *name, json_t *spec,
              json_t *status, bool *same)
{
  bool found;
  size_t at = object_place (kind, name, &found);
  *same = false;
  if (found)
    {
      json_t *old = objects[at].object;
      if ((spec != NULL && json_equal (json_object_get (old, "spec"), spec))
          || (status != NULL
              && json_equal (json_object_get (old, "status"), status)))
        {
          json_decref (spec);
          json_decref (status);
          *same = true;
          return old;
        }
    }
  else
    {
      if (object_count == object_size)
        {
          object_size = object_size * 2 + 1024;
          objects = realloc (objects, object_size * sizeof *objects);
        }
      memmove (objects + at + 1, objects + at,
               (object_count - at) * sizeof *objects);
      object_count++;
      objects[at] = (object_t){ .kind = strdup (kind), .name = strdup (name) };
    }
  revision++;
  json_t *before = objects[at].object;
  json_t *next = json_object ();
  json_object_set_new (next, "metadata",
                       json_pack ("{s:s, s:I}", "name", name, "revision",
                                  (json_int_t)revision));
  json_object_set_new (next, "spec",
                       spec != NULL     ? spec
                       : before != NULL ? json_incref (
                             json_object_get (before, "spec"))
                                        : json_null ());
  if (status != NULL)
    json_object_set_new (next, "status", status);
  json_decref (before);
  objects[at].object = next;
  objects[at].revision = revision;
  change_add (kind, name, next, false);
  return next;
}

long long
store_put (const char *kind, const char *name, json_t *spec)
{
  bool same;
  pthread_mutex_lock (&store_lock);
  (void)object_write (kind, name, spec, NULL, &same);
  long long at = revision;
  pthread_mutex_unlock (&store_lock);
  return at;
}

void
store_delete (const char *kind, const char *name)
{
  bool found;
  pthread_mutex_lock (&store_lock);
  size_t at = object_place (kind, name, &found);
  if (found)
    {
      revision++;
      change_add (kind, name, objects[at].object, true);
      json_decref (objects[at].object);
      free (objects[at].kind);
      free (objects[at].name);
      object_count--;
      memmove (objects + at, objects + at + 1,
               (object_count - at) * sizeof *objects);
    }
  pthread_mutex_unlock (&store_lock);
}

json_t *
store_get (const char *kind, const char *name)
{
  bool found;
  json_t *copy = NULL;
  pthread_mutex_lock (&store_lock);
  size_t at = object_place (kind, name, &found);
  if (found)
    copy = json_deep_copy (objects[at].object);
  pthread_mutex_unlock (&store_lock);
  return copy;
}

size_t
store_count (const char *kind)
{
  size_t n = 0;
  pthread_mutex_lock (&store_lock);
  for (size_t i = 0; i < object_count; i++)
    n += strcmp (objects[i].kind, kind) == 0;
  pthread_mutex_unlock (&store_lock);
  return n;
}

void
store_each (const char *kind, void (*f) (const char *name, json_t *object))
{
  pthread_mutex_lock (&store_lock);
  for (size_t i = 0; i < object_count; i++)
    if (strcmp (objects[i].kind, kind) == 0)
      f (objects[i].name, objects[i].object);
  pthread_mutex_unlock (&store_lock);
}

static bool
reply_json (req_t *r, int status, json_t *object)
{
  char *text = json_dumps (object, JSON_COMPACT);
  bool sent = reply (r, status, "Content-Type: application/json\r\n", text,
                     strlen (text));
  free (text);
  json_decref (object);
  return sent;
}

static void
unescape (char *s)
{
  char *to = s;
  for (; *s != '\0'; s++)
    if (*s == '%' && s[1] != '\0' && s[2] != '\0')
      {
        char hex[3] = { s[1], s[2], '\0' };
        *to++ = (char)strtol (hex, NULL, 16);
        s += 2;
      }
    else
      *to++ = *s;
  *to = '\0';
}

static bool
query_get (const char *query, const char *name, char *out, size_t n)
{
  size_t length = strlen (name);
  for (const char *at = query; at != NULL; at = strchr (at, '&'))
    {
      at += *at == '&';
      if (strncmp (at, name, length) == 0 && at[length] == '=')
        {
          snprintf (out, n, "%.*s", (int)strcspn (at + length + 1, "&"),
                    at + length + 1);
          unescape (out);
          return true;
        }
    }
  return false;
}

/* Appends TEXT of N bytes. */
static void
append (char **all, size_t *all_n, size_t *size, const char *text, size_t n)
{
  if (*all_n + n + 1 > *size)
    {
      *size = (*all_n + n + 1) * 2;
      *all = realloc (*all, *size);
    }
  memcpy (*all + *all_n, text, n);
  *all_n += n;
  (*all)[*all_n] = '\0';
}

#define PAGE_BYTES 1000000
#define PAGE_COUNT 500

/* Number of changes that a call sees; under the lock. */
static size_t
changes_known (bool stale)
{
  size_t n = change_count;
  long long until = now_ms () - store_stale_ms;
  while (stale && n > 0 && changes[n - 1].at > until)
    n--;
  return n;
}

/* Whether KIND, NAME has changed since what a stale call sees; *TEXT is the
 * event that it sees then, NULL if none.  Under the lock. */
static bool
stale_text (const char *kind, const char *name, const char **text)
{
  size_t known = changes_known (true);
  bool newer = false;
  *text = NULL;
  for (size_t i = known; i < change_count; i++)
    newer = newer
            || (strcmp (changes[i].kind, kind) == 0
                && strcmp (changes[i].name, name) == 0);
  for (size_t i = known; newer && i > 0 && *text == NULL; i--)
    if (strcmp (changes[i - 1].kind, kind) == 0
        && strcmp (changes[i - 1].name, name) == 0)
      *text = changes[i - 1].text;
  return newer;
}

/* The object that a stale call sees; NULL: none.  Under the lock. */
static json_t *
stale_object (const object_t *o)
{
  const char *text;
  if (!stale_text (o->kind, o->name, &text))
    return json_incref (o->object);
  json_t *event = text == NULL ? NULL : json_loads (text, 0, NULL);
  json_t *object = event == NULL || json_is_true (json_object_get (
                                         event, "deleted"))
                       ? NULL
                       : json_incref (json_object_get (event, "object"));
  json_decref (event);
  return object;
}

static bool
store_list (req_t *r, const char *kind, const char *after, bool stale)
{
  char *all = NULL;
  size_t n = 0, size = 0, count = 0;
  bool more = false;
  append (&all, &n, &size, "{\"items\":[", 10);
  pthread_mutex_lock (&store_lock);
  bool found;
  for (size_t i = object_place (kind, after, &found);
       i < object_count && strcmp (objects[i].kind, kind) == 0; i++)
    {
      if (strcmp (objects[i].name, after) <= 0 && after[0] != '\0')
        continue;
      if (count == PAGE_COUNT || n > PAGE_BYTES)
        {
          more = true;
          break;
        }
      json_t *object = stale ? stale_object (&objects[i])
                             : json_incref (objects[i].object);
      if (object == NULL)
        continue;
      char *text = json_dumps (object, JSON_COMPACT);
      json_decref (object);
      if (count++ > 0)
        append (&all, &n, &size, ",", 1);
      append (&all, &n, &size, text, strlen (text));
      free (text);
    }
  char tail[96];
  snprintf (tail, sizeof tail, "],\"hasMore\":%s,\"currentRev\":%lld}",
            more ? "true" : "false",
            stale && changes_known (true) < change_count
                ? (changes_known (true) > 0
                       ? changes[changes_known (true) - 1].revision
                       : 100)
                : revision);
  pthread_mutex_unlock (&store_lock);
  append (&all, &n, &size, tail, strlen (tail));
  bool sent = reply (r, 200, "Content-Type: application/json\r\n", all, n);
  free (all);
  return sent;
}

static bool
store_watch (req_t *r, const char *kind, long long after, int wait_ms,
             bool stale)
{
  struct timespec until;
  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_sec += wait_ms / 1000;
  until.tv_nsec += wait_ms % 1000 * 1000000L;
  if (until.tv_nsec >= 1000000000L)
    {
      until.tv_sec++;
      until.tv_nsec -= 1000000000L;
    }
  char *all = NULL;
  size_t n = 0, size = 0, count = 0;
  append (&all, &n, &size, "{\"events\":[", 11);
  long long seen;
  pthread_mutex_lock (&store_lock);
  for (;;)
    {
      /* The changes are in the order of their revisions. */
      size_t known = changes_known (stale);
      seen = known == change_count ? revision
             : known > 0           ? changes[known - 1].revision
                                   : 100;
      size_t i = known;
      while (i > 0 && changes[i - 1].revision > after)
        i--;
      for (; i < known; i++)
        if (strcmp (changes[i].kind, kind) == 0)
          {
            if (count++ > 0)
              append (&all, &n, &size, ",", 1);
            append (&all, &n, &size, changes[i].text,
                    strlen (changes[i].text));
          }
      if (count > 0)
        break;
      if (pthread_cond_timedwait (&store_changed, &store_lock, &until) != 0)
        break;
    }
  char tail[64];
  snprintf (tail, sizeof tail, "],\"currentRev\":%lld}",
            seen > after ? seen : after);
  pthread_mutex_unlock (&store_lock);
  append (&all, &n, &size, tail, strlen (tail));
  silent_wait (r);
  bool sent = reply (r, 200, "Content-Type: application/json\r\n", all, n);
  free (all);
  return sent;
}

static bool
store_write (req_t *r, const char *kind, char *name, bool status)
{
  json_t *body = json_loadb (r->body == NULL ? "" : r->body, r->body_n, 0,
                             NULL);
  json_t *meta = json_object_get (body, "metadata");
  bool creates = strcmp (r->method, "POST") == 0;
  const char *named = json_string_value (json_object_get (meta, "name"));
  json_t *wanted = json_object_get (meta, "revision");
  if (body == NULL || (creates && named == NULL))
    {
      json_decref (body);
      return reply (r, 400, "", "", 0);
    }
  if (creates)
    snprintf (name, 1024, "%s", named);
  if (r->body_n > 1048576 + 4096)
    {
      json_decref (body);
      return reply (r, 413, "", "", 0);
    }
  bool found, same;
  json_t *out = NULL;
  int code = 200;
  pthread_mutex_lock (&store_lock);
  size_t at = object_place (kind, name, &found);
  if (creates && found)
    code = 409;
  else if (!creates && !found)
    code = 404;
  else if (!creates && wanted != NULL
           && json_integer_value (wanted) != objects[at].revision)
    code = 409;
  if (code == 409)
    out = json_deep_copy (objects[at].object);
  if (code == 200)
    out = json_deep_copy (object_write (
        kind, name,
        status ? NULL : json_incref (json_object_get (body, "spec")),
        status ? json_incref (json_object_get (body, "status")) : NULL,
        &same));
  pthread_mutex_unlock (&store_lock);
  json_decref (body);
  return out == NULL ? reply (r, code, "", "", 0) : reply_json (r, code, out);
}

static bool
store_request (req_t *r, void *data)
{
  (void)data;
  silent_wait (r);
  if (store_filter != NULL && !store_filter (r))
    return false;
  char target[4096], kind[1024] = "", name[1024] = "", value[1024];
  snprintf (target, sizeof target, "%s", r->target);
  char *query = strchr (target, '?');
  if (query != NULL)
    *query++ = '\0';
  if (strncmp (target, ROOT, strlen (ROOT)) != 0)
    return reply (r, 404, "", "", 0);
  snprintf (kind, sizeof kind, "%.1000s", target + strlen (ROOT));
  char *slash = strchr (kind, '/');
  bool status = false;
  if (slash != NULL)
    {
      *slash = '\0';
      snprintf (name, sizeof name, "%s", slash + 1);
      char *last = strchr (name, '/');
      status = last != NULL && strcmp (last, "/status") == 0;
      if (last != NULL)
        *last = '\0';
    }
  unescape (kind);
  unescape (name);
  if (strcmp (r->method, "POST") == 0 || strcmp (r->method, "PUT") == 0)
    return store_write (r, kind, name, status);
  if (strcmp (r->method, "DELETE") == 0)
    {
      store_delete (kind, name);
      return reply (r, 200, "", "{}", 2);
    }
  bool stale = query != NULL
               && query_get (query, "serializable", value, sizeof value);
  if (name[0] != '\0' && stale)
    {
      bool found;
      pthread_mutex_lock (&store_lock);
      size_t at = object_place (kind, name, &found);
      json_t *object = found ? stale_object (&objects[at]) : NULL;
      pthread_mutex_unlock (&store_lock);
      return object == NULL ? reply (r, 404, "", "", 0)
                            : reply_json (r, 200, object);
    }
  if (name[0] != '\0')
    {
      json_t *found = store_get (kind, name);
      return found == NULL ? reply (r, 404, "", "", 0)
                           : reply_json (r, 200, found);
    }
  if (query != NULL && query_get (query, "watch", value, sizeof value))
    {
      char wait[32] = "0";
      (void)query_get (query, "waitMs", wait, sizeof wait);
      return store_watch (r, kind, atoll (value), atoi (wait), stale);
    }
  if (query == NULL || !query_get (query, "after", value, sizeof value))
    value[0] = '\0';
  return store_list (r, kind, value, stale);
}

void
store_begin (void)
{
  store_port = free_port ();
  serve (store_port, store_request, NULL);
}

/* -- replicas ------------------------------------------------------------- */

void (*on_run) (replica_t *r, const char *request_id, req_t *q);

/* Whether the caller has closed the connection. */
static bool
is_closed (int fd)
{
  char byte;
  struct pollfd p = { .fd = fd, .events = POLLIN | POLLRDHUP };
  return poll (&p, 1, 0) > 0
         && ((p.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0
             || recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0);
}

static bool
replica_request (req_t *q, void *data)
{
  replica_t *r = data;
  char id[256] = "", target[64] = "", after[32] = "", head[1024], load[64];
  (void)header_get (q->head, "Request-Id", id, sizeof id);
  snprintf (load, sizeof load, "Server-Load: %d,0,%d\r\n",
            atomic_load (&r->running), r->slots);
  if (strncmp (q->target, "/rattanspindle/report", 21) == 0)
    {
      char body[512];
      int n = snprintf (
          body, sizeof body,
          "{\"stage\":\"hybrid\",\"models\":[{\"name\":\"m\",\"version\":1,"
          "\"adapters\":[]}],\"busy\":false,\"seq\":0,\"waiting\":0,"
          "\"running\":%d,\"kvUsed\":%d,\"kvTotal\":97497,\"handles\":0,"
          "\"born\":1}",
          atomic_load (&r->running), 500 * atomic_load (&r->running));
      return reply (q, 200, "Content-Type: application/json\r\n", body,
                    (size_t)n);
    }
  if (strcmp (q->method, "GET") == 0)
    {
      snprintf (head, sizeof head, "Instance-Id: %s\r\n%s", r->id, load);
      return reply (q, 200, head, "", 0);
    }
  if (r->handler != NULL)
    return r->handler (r, q);
  if (id[0] == '\0')
    return reply (q, 400, "Not-Executed: 1\r\n", "", 0);
  if (header_get (q->head, "Target-Instance", target, sizeof target)
      && strcmp (target, r->id) != 0)
    {
      snprintf (head, sizeof head, "Request-Id: %s\r\nNot-Executed: 1\r\n",
                id);
      return reply (q, 421, head, "", 0);
    }
  if (atomic_fetch_add (&r->running, 1) >= r->slots)
    {
      atomic_fetch_sub (&r->running, 1);
      snprintf (head, sizeof head,
                "Request-Id: %s\r\nNot-Executed: 1\r\n%s", id, load);
      return reply (q, 503, head, "", 0);
    }
  atomic_fetch_add (&r->runs, 1);
  if (on_run != NULL)
    on_run (r, id, q);
  int from = 0;
  if (header_get (q->head, "Last-Event-Id", after, sizeof after))
    from = atoi (after);
  pause_ms (r->first_ms);
  int n = snprintf (head, sizeof head,
                    "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
                    "Response-Signature: sig.%s.%s\r\n%s"
                    "Content-Type: text/event-stream\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n",
                    id, r->id, id, load);
  bool sent = send_all (q->fd, head, (size_t)n);
  for (int i = from + 1; sent && i <= r->events; i++)
    {
      char event[512], chunk[600];
      int e = snprintf (event, sizeof event, "id: %d\ndata: %s/%d\n\n", i, id,
                        i);
      int c = snprintf (chunk, sizeof chunk, "%x\r\n%s\r\n", (unsigned)e,
                        event);
      pause_ms (r->event_ms);
      sent = !is_closed (q->fd) && send_all (q->fd, chunk, (size_t)c);
    }
  if (sent)
    sent = send_all (q->fd, "0\r\n\r\n", 5);
  atomic_fetch_sub (&r->running, 1);
  return sent;
}

void
replica_register (replica_t *r, const char *state)
{
  char address[32];
  snprintf (address, sizeof address, "127.0.0.1:%d", r->port);
  (void)store_put (
      "servers", r->id,
      json_pack ("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:I}", "service",
                 r->service, "address", address, "zone", r->zone, "version",
                 "v1", "slots", r->slots, "state", state, "coldRemainingMs", 0,
                 "seq", (json_int_t)1));
}

void
replica_begin (replica_t *r)
{
  r->port = free_port ();
  serve (r->port, replica_request, r);
  replica_register (r, "ready");
}

/* -- processes ------------------------------------------------------------ */

void
vm_prepare (vm_t *v, const char *name, const char *zone, bool worker,
            const char *zones)
{
  memset (v, 0, sizeof *v);
  snprintf (v->name, sizeof v->name, "%s", name);
  snprintf (v->zone, sizeof v->zone, "%s", zone);
  v->worker = worker;
  v->front = worker ? 0 : free_port ();
  v->ready = worker ? 0 : free_port ();
  v->peer = free_port ();
  v->tunnel = free_port ();
  v->store = store_port;
  snprintf (v->settings, sizeof v->settings, "%s/%s.ini", world_tmp, name);
  snprintf (v->log, sizeof v->log, "%s/%s.log", world_tmp, name);
  (void)zones;
}

/* The settings are what the template deploy/node.ini makes of the fields. */
static void
vm_settings (const vm_t *v)
{
  FILE *f = fopen (v->settings, "w");
  if (f == NULL)
    finish (2, "no settings file");
  fprintf (f, "[vm]\nname = %s\ndata_centre = %s\n", v->name, v->zone);
  fprintf (f, "data_centres = zone-a,zone-b,zone-c\n");
  if (v->worker)
    fprintf (f, "listen =\nready_listen =\n");
  else
    fprintf (f, "listen = 127.0.0.1:%d\nready_listen = 127.0.0.1:%d\n",
             v->front, v->ready);
  fprintf (f,
           "peer_listen = 127.0.0.1:%d\ntunnel_listen = 127.0.0.1:%d\n"
           "network = closed\n\n[platform]\naddress = 127.0.0.1:%d\n"
           "configuration = hosted\nhistory_s = 20\n\n[limits]\n"
           "window_s = 5\novershoot = 0.1\nrequests = 20\n\n[evacuation]\n"
           "within_ms =\n\n[upstreams]\ncold_overshoot =\ncold_slack =\n\n"
           "[routing]\neven_load = off\navoid_failing = on\n\n[log]\n"
           "level = info\nformat = json\n",
           v->peer, v->tunnel, v->store);
  fclose (f);
}

void
vm_start (vm_t *v)
{
  vm_settings (v);
  const char *program = getenv ("PROGRAM");
  if (program == NULL)
    program = "target/rattanspindle";
  pid_t pid = fork ();
  if (pid == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      int out = open (v->log, O_WRONLY | O_CREAT | O_APPEND, 0600);
      int none = open ("/dev/null", O_RDONLY);
      dup2 (none, 0);
      dup2 (out, 1);
      dup2 (out, 2);
      execl (program, program, "serve", "--settings", v->settings,
             (char *)NULL);
      _exit (127);
    }
  if (pid < 0)
    finish (2, "no process");
  v->pid = pid;
  if (child_count < 512)
    children[child_count++] = pid;
  rec ("process %s starts, pid %d", v->name, (int)pid);
}

static void
child_forget (pid_t pid)
{
  for (int i = 0; i < child_count; i++)
    if (children[i] == pid)
      children[i] = 0;
}

bool
vm_alive (vm_t *v)
{
  int status;
  if (v->pid == 0)
    return false;
  if (waitpid (v->pid, &status, WNOHANG) != v->pid)
    return true;
  rec ("process %s ended by itself: %s %d", v->name,
       WIFSIGNALED (status) ? "signal" : "status",
       WIFSIGNALED (status) ? WTERMSIG (status) : WEXITSTATUS (status));
  child_forget (v->pid);
  v->pid = 0;
  return false;
}

void
vm_signal (vm_t *v, int signal)
{
  rec ("process %s gets signal %d", v->name, signal);
  if (v->pid != 0)
    kill (v->pid, signal);
}

void
vm_kill (vm_t *v)
{
  if (v->pid == 0)
    return;
  vm_signal (v, SIGKILL);
  waitpid (v->pid, NULL, 0);
  child_forget (v->pid);
  v->pid = 0;
}

bool
vm_ready (const vm_t *v)
{
  resp_t r;
  call (v->ready, "GET", "/readyz", "Host: x\r\n", NULL, 0, 500, &r);
  bool ready = r.status == 200;
  resp_free (&r);
  return ready;
}

bool
vm_ready_within (const vm_t *v, int ms)
{
  for (long long end = now_ms () + ms; now_ms () < end; pause_ms (50))
    if (vm_ready (v))
      return true;
  return false;
}

/* Memory of its own alone, without pages of files: less than what counts. */
long
vm_rss_kb (const vm_t *v)
{
  char path[64], line[256];
  long kb = -1;
  if (v->pid == 0)
    return -1;
  snprintf (path, sizeof path, "/proc/%d/status", (int)v->pid);
  FILE *f = fopen (path, "r");
  while (f != NULL && fgets (line, sizeof line, f) != NULL)
    if (sscanf (line, "RssAnon: %ld", &kb) == 1)
      break;
  if (f != NULL)
    fclose (f);
  return kb;
}

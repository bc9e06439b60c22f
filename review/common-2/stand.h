/* Stand-ins for the scripts of this review: the platform's store, a link to it
 * that can fall silent, replicas and clients, all threads of one driver; and
 * the start and end of the project's own processes.  They speak what
 * PROTOCOL.md says.  Everything listens on loopback addresses. */
#ifndef _GNU_SOURCE
#define _GNU_SOURCE
#endif
#ifndef REVIEW_STAND_H
#define REVIEW_STAND_H

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

/* -- time and record ------------------------------------------------------ */

static long long base_ms;
static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static bool trouble = true;

static long long
mono_ms (void)
{
  struct timespec t;
  clock_gettime (CLOCK_MONOTONIC, &t);
  return (long long)t.tv_sec * 1000 + t.tv_nsec / 1000000 - base_ms;
}

static void
sleep_ms (long long ms)
{
  struct timespec t = { ms / 1000, (ms % 1000) * 1000000 };
  while (nanosleep (&t, &t) != 0 && errno == EINTR)
    ;
}

static void sleep_until (long long at) __attribute__ ((unused));
static void
sleep_until (long long at)
{
  long long now = mono_ms ();
  if (at > now)
    sleep_ms (at - now);
}

__attribute__ ((format (printf, 1, 2))) static void
say (const char *format, ...)
{
  va_list args;
  pthread_mutex_lock (&record_lock);
  for (int i = 0; i < 2; i++)
    {
      FILE *f = i == 0 ? record_file : stdout;
      if (f == NULL)
        continue;
      fprintf (f, "%8.3f  ", (double)mono_ms () / 1000);
      va_start (args, format);
      vfprintf (f, format, args);
      va_end (args);
      fputc ('\n', f);
      fflush (f);
    }
  pthread_mutex_unlock (&record_lock);
}

static char *
text_of (const char *format, ...)
{
  va_list args;
  char *s = NULL;
  va_start (args, format);
  if (vasprintf (&s, format, args) < 0)
    abort ();
  va_end (args);
  return s;
}

static void
thread_start (void *(*run) (void *), void *data)
{
  pthread_t t;
  pthread_attr_t attr;
  pthread_attr_init (&attr);
  pthread_attr_setstacksize (&attr, 256 << 10);
  pthread_attr_setdetachstate (&attr, PTHREAD_CREATE_DETACHED);
  if (pthread_create (&t, &attr, run, data) != 0)
    abort ();
  pthread_attr_destroy (&attr);
}

/* -- sockets -------------------------------------------------------------- */

static int
listen_any (int *port)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  struct sockaddr_in a = { .sin_family = AF_INET,
                           .sin_port = htons ((uint16_t)*port),
                           .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t n = sizeof a;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&a, sizeof a) != 0 || listen (fd, 256) != 0
      || getsockname (fd, (struct sockaddr *)&a, &n) != 0)
    {
      close (fd);
      return -1;
    }
  *port = ntohs (a.sin_port);
  return fd;
}

/* A port for a process that is started later, below those that the system
 * gives to connections; another one at each call. */
static int
free_port (void)
{
  static int next;
  if (next == 0)
    next = 12000
           + (int)(((unsigned)getpid () * 2654435761U + (unsigned)time (NULL))
                   % 20000);
  for (int i = 0; i < 1000; i++)
    {
      int port = next;
      next = next < 31999 ? next + 1 : 12000;
      int fd = listen_any (&port);
      if (fd < 0)
        continue;
      close (fd);
      return port;
    }
  exit (2);
}

static int
connect_to (int port, int timeout_ms)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct timeval tv = { timeout_ms / 1000, (timeout_ms % 1000) * 1000 };
  int on = 1;
  struct sockaddr_in a = { .sin_family = AF_INET,
                           .sin_port = htons ((uint16_t)port),
                           .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof tv);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect (fd, (struct sockaddr *)&a, sizeof a) != 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

static bool
send_all (int fd, const char *p, size_t n)
{
  while (n > 0)
    {
      ssize_t sent = send (fd, p, n, MSG_NOSIGNAL);
      if (sent <= 0)
        return false;
      p += sent;
      n -= (size_t)sent;
    }
  return true;
}

static void close_reset (int fd) __attribute__ ((unused));
static void
close_reset (int fd)
{
  struct linger l = { .l_onoff = 1 };
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &l, sizeof l);
  close (fd);
}

/* -- HTTP ----------------------------------------------------------------- */

typedef struct
{
  int fd;
  char *p;
  size_t n;
  long long until; /* of reads; 0: no limit */
} in_t;

typedef struct
{
  char *head; /* all lines up to the empty one */
  char *body;
  size_t body_n;
  int status;   /* of a response */
  bool whole;   /* it has come in full */
  bool timeout; /* it had not when the time was over */
  char method[16];
  char target[2048];
} msg_t;

static void
msg_free (msg_t *m)
{
  free (m->head);
  free (m->body);
  *m = (msg_t){ 0 };
}

/* 1: more has come, 0: end, -1: error or time over. */
static int
in_more (in_t *in)
{
  if (in->until != 0)
    {
      struct pollfd f = { .fd = in->fd, .events = POLLIN };
      long long left = in->until - mono_ms ();
      if (left <= 0 || poll (&f, 1, (int)left) <= 0)
        return -2;
    }
  in->p = realloc (in->p, in->n + 65536 + 1);
  ssize_t n = recv (in->fd, in->p + in->n, 65536, 0);
  if (n <= 0)
    return n == 0 ? 0 : -1;
  in->n += (size_t)n;
  in->p[in->n] = '\0';
  return 1;
}

static void
in_drop (in_t *in, size_t n)
{
  memmove (in->p, in->p + n, in->n - n + 1);
  in->n -= n;
}

/* The value of header NAME in HEAD, in OUT; false: there is none. */
static bool
header (const char *head, const char *name, char *out, size_t max)
{
  size_t n = strlen (name);
  out[0] = '\0';
  for (const char *l = strstr (head, "\r\n"); l != NULL;
       l = strstr (l + 2, "\r\n"))
    if (strncasecmp (l + 2, name, n) == 0 && l[2 + n] == ':')
      {
        const char *v = l + 3 + n;
        v += strspn (v, " \t");
        size_t k = strcspn (v, "\r\n");
        if (k >= max)
          k = max - 1;
        memcpy (out, v, k);
        out[k] = '\0';
        return true;
      }
  return false;
}

static bool
read_head (in_t *in, msg_t *m, int *end)
{
  char *at;
  while (in->n == 0 || (at = strstr (in->p, "\r\n\r\n")) == NULL)
    if ((*end = in_more (in)) <= 0)
      return false;
  size_t n = (size_t)(at - in->p) + 4;
  m->head = strndup (in->p, n);
  in_drop (in, n);
  return true;
}

static bool
read_n (in_t *in, size_t n, int *end)
{
  while (in->n < n)
    if ((*end = in_more (in)) <= 0)
      return false;
  return true;
}

static void
body_add (msg_t *m, const char *p, size_t n)
{
  m->body = realloc (m->body, m->body_n + n + 1);
  memcpy (m->body + m->body_n, p, n);
  m->body_n += n;
  m->body[m->body_n] = '\0';
}

/* Reads the body of M; TO_END: without framing it ends with the connection. */
static bool
read_body (in_t *in, msg_t *m, bool to_end, int *end)
{
  char value[64];
  if (m->body == NULL)
    m->body = calloc (1, 1);
  if (header (m->head, "Transfer-Encoding", value, sizeof value)
      && strcasestr (value, "chunked") != NULL)
    for (;;)
      {
        char *eol;
        while (in->n == 0 || (eol = strstr (in->p, "\r\n")) == NULL)
          if ((*end = in_more (in)) <= 0)
            return false;
        size_t size = strtoul (in->p, NULL, 16);
        in_drop (in, (size_t)(eol - in->p) + 2);
        if (!read_n (in, size + 2, end))
          {
            body_add (m, in->p == NULL ? "" : in->p,
                      in->n < size ? in->n : size);
            return false;
          }
        body_add (m, in->p, size);
        in_drop (in, size + 2);
        if (size == 0)
          return true;
      }
  if (header (m->head, "Content-Length", value, sizeof value))
    {
      size_t n = strtoul (value, NULL, 10);
      if (!read_n (in, n, end))
        {
          body_add (m, in->p == NULL ? "" : in->p, in->n);
          return false;
        }
      body_add (m, in->p, n);
      in_drop (in, n);
      return true;
    }
  if (!to_end)
    return true;
  while ((*end = in_more (in)) > 0)
    ;
  body_add (m, in->p == NULL ? "" : in->p, in->n);
  in->n = 0;
  return *end == 0;
}

static bool
read_request (in_t *in, msg_t *m)
{
  int end = 0;
  *m = (msg_t){ 0 };
  if (!read_head (in, m, &end)
      || sscanf (m->head, "%15s %2047s", m->method, m->target) != 2
      || !read_body (in, m, false, &end))
    {
      msg_free (m);
      return false;
    }
  m->whole = true;
  return true;
}

static bool
respond (int fd, int status, const char *headers, const char *body, size_t n)
{
  char *head = text_of ("HTTP/1.1 %d X\r\n%sContent-Length: %zu\r\n\r\n",
                        status, headers, n);
  bool good = send_all (fd, head, strlen (head)) && send_all (fd, body, n);
  free (head);
  return good;
}

/* A client's request on a new connection.  HEADERS: lines with CRLF. */
static msg_t
ask (int port, const char *method, const char *target, const char *headers,
     const char *body, int timeout_ms)
{
  msg_t m = { 0 };
  int end = 0;
  int fd = connect_to (port, timeout_ms);
  if (fd < 0)
    return m;
  in_t in = { .fd = fd, .until = mono_ms () + timeout_ms };
  size_t n = body == NULL ? 0 : strlen (body);
  char *head = text_of ("%s %s HTTP/1.1\r\n%sContent-Length: %zu\r\n\r\n",
                        method, target, headers, n);
  if (send_all (fd, head, strlen (head)) && (n == 0 || send_all (fd, body, n))
      && read_head (&in, &m, &end))
    {
      m.status = atoi (m.head + 9);
      m.whole = read_body (&in, &m, true, &end);
    }
  m.timeout = end == -2;
  free (head);
  free (in.p);
  close (fd);
  return m;
}

/* -- the store ------------------------------------------------------------ */

typedef struct
{
  char kind[32];
  char name[256];
  char *spec; /* JSON */
  char *status;
  long long revision;
  bool deleted; /* an event of a deletion */
  long long at; /* of an event */
} object_t;

#define STORE_MAX 20000
static object_t *objects[STORE_MAX];
static int object_count;
static object_t *events[STORE_MAX * 4];
static int event_count;
static int event_first;         /* the first that is kept */
static long long history_floor; /* revision of the last one that is not */
static long long history_ms = 20000;
static long long store_revision = 100;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;
static int store_port;

/* A text that grows. */
typedef struct
{
  char *p;
  size_t n, size;
} grow_t;

static void
grow (grow_t *g, const char *text)
{
  size_t n = strlen (text);
  if (g->n + n + 1 > g->size)
    {
      g->size = 2 * (g->n + n + 1);
      g->p = realloc (g->p, g->size);
    }
  memcpy (g->p + g->n, text, n + 1);
  g->n += n;
}

static void
grow_object (grow_t *g, const object_t *o)
{
  char meta[512];
  snprintf (meta, sizeof meta,
            "{\"metadata\":{\"name\":\"%s\",\"revision\":%lld,\"created\":1,"
            "\"finalizers\":[],\"deleting\":false},\"spec\":",
            o->name, o->revision);
  grow (g, meta);
  grow (g, o->spec);
  grow (g, ",\"status\":");
  grow (g, o->status);
  grow (g, "}");
}

static object_t *
store_find (const char *kind, const char *name)
{
  for (int i = 0; i < object_count; i++)
    if (strcmp (objects[i]->kind, kind) == 0
        && strcmp (objects[i]->name, name) == 0)
      return objects[i];
  return NULL;
}

static void
store_event (const object_t *o, bool deleted)
{
  object_t *e = malloc (sizeof *e);
  *e = *o;
  e->deleted = deleted;
  e->at = mono_ms ();
  if (event_count == STORE_MAX * 4)
    exit (2);
  events[event_count++] = e;
  while (event_first < event_count && events[event_first]->at < e->at - history_ms)
    history_floor = events[event_first++]->revision;
  pthread_cond_broadcast (&store_changed);
}

/* Sets an object, under the lock; returns its revision. */
static long long
store_set (const char *kind, const char *name, json_t *value)
{
  object_t *o = store_find (kind, name);
  char *spec = json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY);
  json_decref (value);
  if (o == NULL)
    {
      o = calloc (1, sizeof *o);
      snprintf (o->kind, sizeof o->kind, "%s", kind);
      snprintf (o->name, sizeof o->name, "%s", name);
      o->status = "{}";
      objects[object_count++] = o;
    }
  else if (strcmp (o->spec, spec) == 0)
    {
      free (spec);
      return o->revision;
    }
  /* Events share the specs: never changed in place, so never freed. */
  o->spec = spec;
  o->revision = ++store_revision;
  store_event (o, false);
  return o->revision;
}

static void
store_remove (const char *kind, const char *name)
{
  for (int i = 0; i < object_count; i++)
    if (strcmp (objects[i]->kind, kind) == 0
        && strcmp (objects[i]->name, name) == 0)
      {
        objects[i]->revision = ++store_revision;
        store_event (objects[i], true);
        objects[i] = objects[--object_count];
        return;
      }
}

/* The operator's or a replica's write; returns when the store has it. */
static long long
store_write (const char *kind, const char *name, json_t *spec)
{
  pthread_mutex_lock (&store_lock);
  long long revision = store_set (kind, name, spec);
  pthread_mutex_unlock (&store_lock);
  return revision;
}

static void store_delete (const char *kind, const char *name)
    __attribute__ ((unused));
static void
store_delete (const char *kind, const char *name)
{
  pthread_mutex_lock (&store_lock);
  store_remove (kind, name);
  pthread_mutex_unlock (&store_lock);
}

static long long
query_number (const char *target, const char *name)
{
  char key[64];
  const char *q = strchr (target, '?');
  snprintf (key, sizeof key, "%s=", name);
  for (; q != NULL; q = strchr (q + 1, '&'))
    if (strncmp (q + 1, key, strlen (key)) == 0)
      return strtoll (q + 1 + strlen (key), NULL, 10);
  return -1;
}

static bool
query_text (const char *target, const char *name, char *out, size_t max)
{
  char key[64];
  const char *q = strchr (target, '?');
  snprintf (key, sizeof key, "%s=", name);
  for (; q != NULL; q = strchr (q + 1, '&'))
    if (strncmp (q + 1, key, strlen (key)) == 0)
      {
        const char *v = q + 1 + strlen (key);
        size_t k = 0;
        for (; *v != '\0' && *v != '&' && k + 1 < max; v++)
          if (*v == '%' && v[1] != '\0' && v[2] != '\0')
            {
              char hex[3] = { v[1], v[2], 0 };
              out[k++] = (char)strtol (hex, NULL, 16);
              v += 2;
            }
          else
            out[k++] = *v;
        out[k] = '\0';
        return true;
      }
  return false;
}

static int
object_compare (const void *a, const void *b)
{
  return strcmp ((*(object_t *const *)a)->name, (*(object_t *const *)b)->name);
}

static void
store_list (const char *kind, const char *target, grow_t *out)
{
  char after[256] = "", end[64];
  object_t **v = malloc (sizeof *v * (size_t)(object_count + 1));
  int n = 0;
  (void)query_text (target, "after", after, sizeof after);
  for (int i = 0; i < object_count; i++)
    if (strcmp (objects[i]->kind, kind) == 0
        && strcmp (objects[i]->name, after) > 0)
      v[n++] = objects[i];
  qsort (v, (size_t)n, sizeof *v, object_compare);
  int k = 0;
  grow (out, "{\"items\":[");
  for (; k < n && k < 500 && out->n < (1 << 20); k++)
    {
      grow (out, k > 0 ? "," : "");
      grow_object (out, v[k]);
    }
  free (v);
  snprintf (end, sizeof end, "],\"hasMore\":%s,\"currentRev\":%lld}",
            k < n ? "true" : "false", store_revision);
  grow (out, end);
}

/* false: the history is gone. */
static bool
store_watch (const char *kind, const char *target, grow_t *out)
{
  long long from = query_number (target, "watch");
  long long wait = query_number (target, "waitMs");
  char end[64];
  struct timespec at;
  clock_gettime (CLOCK_REALTIME, &at);
  at.tv_sec += wait / 1000;
  at.tv_nsec += (wait % 1000) * 1000000;
  if (at.tv_nsec >= 1000000000)
    {
      at.tv_sec++;
      at.tv_nsec -= 1000000000;
    }
  for (bool timed_out = false;;)
    {
      int n = 0;
      if (from < history_floor)
        return false;
      out->n = 0;
      grow (out, "{\"events\":[");
      for (int i = event_first; i < event_count; i++)
        if (events[i]->revision > from && strcmp (events[i]->kind, kind) == 0)
          {
            grow (out, n++ > 0 ? ",{\"object\":" : "{\"object\":");
            grow_object (out, events[i]);
            grow (out, events[i]->deleted ? ",\"deleted\":true}"
                                          : ",\"deleted\":false}");
          }
      if (n > 0 || timed_out)
        {
          snprintf (end, sizeof end, "],\"currentRev\":%lld}",
                    store_revision);
          grow (out, end);
          return true;
        }
      timed_out
          = pthread_cond_timedwait (&store_changed, &store_lock, &at) != 0;
    }
}

/* Under the lock; returns the status and sets *OUT. */
static int
store_call (const msg_t *m, const json_t *body, grow_t *out)
{
  char kind[32] = "", name[256] = "", sub[16] = "";
  char path[2048];
  snprintf (path, sizeof path, "%s", m->target);
  path[strcspn (path, "?")] = '\0';
  const char *p = path + strlen ("/rattanspindle/objects/");
  if (strncmp (path, "/rattanspindle/objects/",
               strlen ("/rattanspindle/objects/"))
      != 0)
    return 404;
  snprintf (kind, sizeof kind, "%.*s", (int)strcspn (p, "/"), p);
  p += strcspn (p, "/");
  if (*p == '/')
    {
      p++;
      size_t k = 0;
      for (; *p != '\0' && *p != '/' && k + 1 < sizeof name; p++)
        if (*p == '%' && p[1] != '\0' && p[2] != '\0')
          {
            char hex[3] = { p[1], p[2], 0 };
            name[k++] = (char)strtol (hex, NULL, 16);
            p += 2;
          }
        else
          name[k++] = *p;
      name[k] = '\0';
      if (*p == '/')
        snprintf (sub, sizeof sub, "%s", p + 1);
    }
  json_t *meta = json_object_get (body, "metadata");
  json_int_t revision = json_integer_value (json_object_get (meta, "revision"));
  if (query_number (m->target, "revision") > 0)
    revision = query_number (m->target, "revision");
  object_t *o = name[0] == '\0' ? NULL : store_find (kind, name);
  int status = 200;
  if (strcmp (m->method, "GET") == 0 && name[0] == '\0')
    {
      if (query_number (m->target, "watch") < 0)
        store_list (kind, m->target, out);
      else if (!store_watch (kind, m->target, out))
        status = 410;
    }
  else if (strcmp (m->method, "POST") == 0)
    {
      const char *n = json_string_value (json_object_get (meta, "name"));
      o = n == NULL ? NULL : store_find (kind, n);
      if (n == NULL)
        status = 400;
      else if (o != NULL)
        status = 409;
      else
        {
          store_set (kind, n, json_incref (json_object_get (body, "spec")));
          o = store_find (kind, n);
        }
    }
  else if (o == NULL)
    status = 404;
  else if (strcmp (m->method, "GET") == 0)
    ;
  else if (revision > 0 && revision != o->revision)
    status = 409;
  else if (strcmp (m->method, "PUT") == 0 && strcmp (sub, "status") == 0)
    {
      o->status = json_dumps (json_object_get (body, "status"), JSON_COMPACT);
      o->revision = ++store_revision;
      store_event (o, false);
    }
  else if (strcmp (m->method, "PUT") == 0)
    store_set (kind, name, json_incref (json_object_get (body, "spec")));
  else if (strcmp (m->method, "DELETE") == 0)
    {
      grow_object (out, o);
      store_remove (kind, name);
      o = NULL;
    }
  if (out->n == 0 && o != NULL)
    grow_object (out, o);
  if (out->n == 0)
    grow (out, "{\"error\":\"not there\"}");
  return status;
}

static void *
store_serve (void *data)
{
  int fd = (int)(long)data;
  in_t in = { .fd = fd };
  msg_t m;
  int on = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  while (read_request (&in, &m))
    {
      grow_t out = { 0 };
      json_t *body
          = m.body_n > 0 ? json_loadb (m.body, m.body_n, 0, NULL) : NULL;
      sleep_ms (2);
      pthread_mutex_lock (&store_lock);
      int status = store_call (&m, body, &out);
      pthread_mutex_unlock (&store_lock);
      json_decref (body);
      bool good = respond (fd, status, "Content-Type: application/json\r\n",
                           out.p, out.n);
      free (out.p);
      msg_free (&m);
      if (!good)
        break;
    }
  free (in.p);
  close (fd);
  return NULL;
}

typedef struct
{
  int fd;
  void *(*serve) (void *);
} acceptor_t;

static void *
accept_run (void *data)
{
  acceptor_t *a = data;
  for (;;)
    {
      int fd = accept4 (a->fd, NULL, NULL, SOCK_CLOEXEC);
      if (fd < 0)
        {
          sleep_ms (5);
          continue;
        }
      thread_start (a->serve, (void *)(long)fd);
    }
  return NULL;
}

static void
store_start (void)
{
  acceptor_t *a = malloc (sizeof *a);
  *a = (acceptor_t){ .fd = listen_any (&store_port), .serve = store_serve };
  if (a->fd < 0)
    exit (2);
  thread_start (accept_run, a);
}

/* -- a link --------------------------------------------------------------- */

/* A link to a port.  Those of its connections that are open when link_mute is
 * called pass nothing more on, either way, and are never closed by it; new ones
 * work.  This is what a connection does that falls silent without a reset. */
typedef struct
{
  int port, to;
  int fd;
  int generation; /* number of calls of link_mute */
  int open;
} link_t;

typedef struct
{
  link_t *link;
  int from, to;
  int generation;
  int *users;
} link_half_t;

static pthread_mutex_t link_lock = PTHREAD_MUTEX_INITIALIZER;

static void *
link_half_run (void *data)
{
  link_half_t *h = data;
  char buffer[65536];
  for (;;)
    {
      ssize_t n = recv (h->from, buffer, sizeof buffer, 0);
      pthread_mutex_lock (&link_lock);
      bool mute = h->generation != h->link->generation;
      pthread_mutex_unlock (&link_lock);
      if (mute && n > 0)
        continue;
      if (n <= 0 || !send_all (h->to, buffer, (size_t)n))
        {
          if (!mute)
            shutdown (h->to, SHUT_RDWR);
          break;
        }
    }
  pthread_mutex_lock (&link_lock);
  if (--*h->users == 0)
    {
      close (h->from);
      close (h->to);
      free (h->users);
      h->link->open--;
    }
  pthread_mutex_unlock (&link_lock);
  free (h);
  return NULL;
}

static void *
link_run (void *data)
{
  link_t *l = data;
  int on = 1;
  for (;;)
    {
      int fd = accept4 (l->fd, NULL, NULL, SOCK_CLOEXEC);
      if (fd < 0)
        continue;
      int to = connect_to (l->to, 1000);
      if (to < 0)
        {
          close_reset (fd);
          continue;
        }
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      int *users = malloc (sizeof *users);
      *users = 2;
      pthread_mutex_lock (&link_lock);
      int generation = l->generation;
      l->open++;
      pthread_mutex_unlock (&link_lock);
      for (int i = 0; i < 2; i++)
        {
          link_half_t *h = malloc (sizeof *h);
          *h = (link_half_t){ .link = l,
                              .from = i == 0 ? fd : to,
                              .to = i == 0 ? to : fd,
                              .generation = generation,
                              .users = users };
          thread_start (link_half_run, h);
        }
    }
  return NULL;
}

static link_t *link_start (int to) __attribute__ ((unused));
static link_t *
link_start (int to)
{
  link_t *l = calloc (1, sizeof *l);
  l->to = to;
  l->fd = listen_any (&l->port);
  if (l->fd < 0)
    exit (2);
  thread_start (link_run, l);
  return l;
}

static int link_mute (link_t *l) __attribute__ ((unused));
static int
link_mute (link_t *l)
{
  pthread_mutex_lock (&link_lock);
  l->generation++;
  int open = l->open;
  pthread_mutex_unlock (&link_lock);
  return open;
}

/* -- replicas ------------------------------------------------------------- */

typedef struct replica replica_t;

/* A request as it has reached a replica. */
typedef struct
{
  replica_t *replica;
  int fd;
  long long at;
  const msg_t *m;
  char id[128];
  char tenant[64];
  long long after; /* Last-Event-Id; 0: none */
} run_t;

struct replica
{
  char id[64];
  char service[64];
  char zone[32];
  char version[16];
  int port, fd;
  int seq;
  int events;   /* of an answer */
  int event_ms; /* between events */
  int first_ms;
  int running;
  const char *state;
  bool ended;
  /* Called for each request that is run, before its answer; NULL: none. */
  void (*on_run) (const run_t *run);
  /* Answers instead of the replica when it returns true; NULL: never.  *GOOD:
   * whether the connection goes on. */
  bool (*answer) (const run_t *run, bool *good);
  /* Text of event K of request ID. */
  char *(*text) (const run_t *run, int k);
};

static pthread_mutex_t replica_lock = PTHREAD_MUTEX_INITIALIZER;

static char *
replica_text (const run_t *run, int k)
{
  return text_of ("%s.%d", run->id, k);
}

/* Streams the events; false: the connection has broken. */
static bool
replica_stream (const run_t *run)
{
  replica_t *r = run->replica;
  char *head = text_of ("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
                        "Response-Signature: sig.%s.%s\r\n"
                        "Content-Type: text/event-stream\r\n%s"
                        "Transfer-Encoding: chunked\r\n\r\n",
                        run->id, r->id, run->id,
                        strcmp (r->state, "draining") == 0
                            ? "Connection: close\r\n"
                            : "");
  sleep_ms (r->first_ms);
  bool good = send_all (run->fd, head, strlen (head));
  free (head);
  for (int k = (int)run->after + 1; good && k <= r->events; k++)
    {
      char byte;
      char *t = r->text != NULL ? r->text (run, k) : replica_text (run, k);
      char *e = text_of ("id: %d\ndata: %s\n\n", k, t);
      char *c = text_of ("%zx\r\n%s\r\n", strlen (e), e);
      good = send_all (run->fd, c, strlen (c))
             && recv (run->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) != 0;
      free (t);
      free (e);
      free (c);
      sleep_ms (r->event_ms);
    }
  return good && send_all (run->fd, "0\r\n\r\n", 5)
         && strcmp (r->state, "draining") != 0;
}

typedef struct
{
  replica_t *replica;
  int fd;
} replica_conn_t;

static void *
replica_serve (void *data)
{
  replica_conn_t *c = data;
  replica_t *r = c->replica;
  in_t in = { .fd = c->fd };
  msg_t m;
  int on = 1;
  bool good = true;
  setsockopt (c->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  while (good && read_request (&in, &m))
    {
      char target_id[128];
      run_t run = { .replica = r, .fd = c->fd, .at = mono_ms (), .m = &m };
      char after[32];
      (void)header (m.head, "Request-Id", run.id, sizeof run.id);
      (void)header (m.head, "Tenant", run.tenant, sizeof run.tenant);
      if (header (m.head, "Last-Event-Id", after, sizeof after))
        run.after = atoll (after);
      if (strcmp (m.target, "/rattanspindle/report") == 0)
        {
          char *t = text_of ("{\"stage\":\"hybrid\",\"models\":[{\"name\":"
                             "\"m\",\"version\":1,\"adapters\":[]}],\"busy\":"
                             "false,\"seq\":2,\"waiting\":0,\"running\":%d,"
                             "\"kvUsed\":100,\"kvTotal\":90000,\"handles\":0}",
                             r->running);
          char *h = text_of ("Content-Type: application/json\r\n%s%s%s",
                             run.id[0] ? "Request-Id: " : "", run.id,
                             run.id[0] ? "\r\n" : "");
          good = respond (c->fd, 200, h, t, strlen (t));
          free (t);
          free (h);
        }
      else if (strcmp (m.target, "/healthz") == 0)
        {
          char *h = text_of ("Instance-Id: %s\r\n", r->id);
          good = respond (c->fd, strcmp (r->state, "draining") == 0 ? 503 : 200,
                          h, "", 0);
          free (h);
        }
      else if (header (m.head, "Target-Instance", target_id, sizeof target_id)
               && strcmp (target_id, r->id) != 0)
        {
          char *h = text_of ("Instance-Id: %s\r\nRequest-Id: %s\r\n", r->id,
                             run.id);
          good = respond (c->fd, 421, h, "", 0);
          free (h);
        }
      else if (run.id[0] == '\0')
        good = respond (c->fd, 400, "Not-Executed: 1\r\n", "", 0);
      else
        {
          __atomic_add_fetch (&r->running, 1, __ATOMIC_SEQ_CST);
          if (r->on_run != NULL)
            r->on_run (&run);
          if (r->answer == NULL || !r->answer (&run, &good))
            good = replica_stream (&run);
          __atomic_sub_fetch (&r->running, 1, __ATOMIC_SEQ_CST);
        }
      msg_free (&m);
    }
  free (in.p);
  close (c->fd);
  free (c);
  return NULL;
}

static void *
replica_accept (void *data)
{
  replica_t *r = data;
  for (;;)
    {
      int fd = accept4 (r->fd, NULL, NULL, SOCK_CLOEXEC);
      if (fd < 0)
        {
          sleep_ms (5);
          continue;
        }
      replica_conn_t *c = malloc (sizeof *c);
      *c = (replica_conn_t){ .replica = r, .fd = fd };
      thread_start (replica_serve, c);
    }
  return NULL;
}

/* Writes the entry of R; returns when the store has it. */
static void
replica_beat (replica_t *r)
{
  pthread_mutex_lock (&replica_lock);
  r->seq++;
  store_write ("servers", r->id,
               json_pack ("{s:s,s:o,s:s,s:s,s:i,s:s,s:i,s:i,s:I}", "service",
                          r->service, "address",
                          json_sprintf ("127.0.0.1:%d", r->port), "zone",
                          r->zone, "version", r->version, "slots", 8, "state",
                          r->state, "coldRemainingMs", 0, "seq", r->seq,
                          "born", (json_int_t)1764979200000));
  pthread_mutex_unlock (&replica_lock);
}

static void *
replica_beats (void *data)
{
  replica_t *r = data;
  while (!r->ended)
    {
      replica_beat (r);
      sleep_ms (1200);
    }
  return NULL;
}

static replica_t *
replica_start (const char *id, const char *service, const char *zone)
{
  replica_t *r = calloc (1, sizeof *r);
  snprintf (r->id, sizeof r->id, "%s", id);
  snprintf (r->service, sizeof r->service, "%s", service);
  snprintf (r->zone, sizeof r->zone, "%s", zone);
  snprintf (r->version, sizeof r->version, "v1");
  r->state = "ready";
  r->events = 20;
  r->event_ms = 10;
  r->first_ms = 10;
  r->fd = listen_any (&r->port);
  if (r->fd < 0)
    exit (2);
  thread_start (replica_accept, r);
  thread_start (replica_beats, r);
  return r;
}

/* -- the project's processes ---------------------------------------------- */

typedef struct
{
  char name[32];
  char zone[32];
  bool worker;
  int front, ready, peer, tunnel;
  int platform; /* port of the store or of a link to it */
  pid_t pid;
} vm_t;

#define VMS_MAX 16
static vm_t *vms[VMS_MAX];
static int vm_count;
static char work_dir[64];
static const char *zones_all = "za,zb";

static void
vm_settings (const vm_t *v)
{
  char path[160];
  snprintf (path, sizeof path, "%s/%s.ini", work_dir, v->name);
  FILE *f = fopen (path, "w");
  if (f == NULL)
    exit (2);
  /* As deploy/node.ini is filled in. */
  fprintf (f, "[vm]\nname = %s\ndata_centre = %s\ndata_centres = %s\n",
           v->name, v->zone, zones_all);
  if (!v->worker)
    fprintf (f, "listen = 127.0.0.1:%d\nready_listen = 127.0.0.1:%d\n",
             v->front, v->ready);
  else
    fprintf (f, "listen = \nready_listen = \n");
  fprintf (f,
           "peer_listen = 127.0.0.1:%d\ntunnel_listen = 127.0.0.1:%d\n"
           "network = closed\n\n[platform]\naddress = 127.0.0.1:%d\n"
           "configuration = hosted\nhistory_s = 20\n\n[limits]\n"
           "window_s = 5\novershoot = 0.1\nrequests = 20\n\n"
           "[evacuation]\nwithin_ms = \n\n[upstreams]\ncold_overshoot = \n"
           "cold_slack = \n\n[routing]\neven_load = off\n"
           "avoid_failing = on\n\n[log]\nlevel = info\nformat = json\n",
           v->peer, v->tunnel, v->platform);
  fclose (f);
}

/* Starts V with the command of the deploy file and a settings path of ours. */
static void
vm_start (vm_t *v)
{
  char settings[160], log[160];
  snprintf (settings, sizeof settings, "%s/%s.ini", work_dir, v->name);
  snprintf (log, sizeof log, "%s/%s.log", work_dir, v->name);
  vm_settings (v);
  v->pid = fork ();
  if (v->pid == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2 (fd, 1);
      dup2 (fd, 2);
      execl ("target/rattanspindle", "target/rattanspindle", "serve",
             "--settings", settings, (char *)NULL);
      _exit (127);
    }
}

static vm_t *
vm_new (const char *name, const char *zone, bool worker)
{
  vm_t *v = calloc (1, sizeof *v);
  snprintf (v->name, sizeof v->name, "%s", name);
  snprintf (v->zone, sizeof v->zone, "%s", zone);
  v->worker = worker;
  v->front = free_port ();
  v->ready = free_port ();
  v->peer = free_port ();
  v->tunnel = free_port ();
  v->platform = store_port;
  vms[vm_count++] = v;
  return v;
}

/* Whether V runs; says so when it has ended by itself. */
static bool
vm_runs (vm_t *v)
{
  int status = 0;
  if (v->pid <= 0)
    return false;
  if (waitpid (v->pid, &status, WNOHANG) != v->pid)
    return true;
  say ("%s has ended by itself: status %d signal %d", v->name,
       WIFEXITED (status) ? WEXITSTATUS (status) : -1,
       WIFSIGNALED (status) ? WTERMSIG (status) : 0);
  v->pid = 0;
  return false;
}

static void vm_signal (vm_t *v, int sig) __attribute__ ((unused));
static void
vm_signal (vm_t *v, int sig)
{
  if (v->pid <= 0)
    return;
  kill (v->pid, sig);
  if (sig == SIGKILL)
    {
      waitpid (v->pid, NULL, 0);
      v->pid = 0;
    }
}

/* Waits until all entry VMs are ready; false: they were not in time. */
static bool
vms_ready (int timeout_ms)
{
  long long until = mono_ms () + timeout_ms;
  for (int i = 0; i < vm_count; i++)
    while (!vms[i]->worker)
      {
        msg_t m = ask (vms[i]->ready, "GET", "/readyz", "Host: x\r\n", NULL,
                       1000);
        int status = m.status;
        msg_free (&m);
        if (status == 200)
          break;
        if (mono_ms () > until || !vm_runs (vms[i]))
          return false;
        sleep_ms (50);
      }
  return true;
}

static void
stand_end (void)
{
  for (int i = 0; i < vm_count; i++)
    if (vms[i]->pid > 0)
      {
        kill (vms[i]->pid, SIGCONT);
        kill (vms[i]->pid, SIGKILL);
        waitpid (vms[i]->pid, NULL, 0);
      }
  if (work_dir[0] != '\0' && getenv ("KEEP") == NULL)
    for (int i = 0; i < vm_count; i++)
      {
        char path[160];
        snprintf (path, sizeof path, "%s/%s.ini", work_dir, vms[i]->name);
        unlink (path);
        snprintf (path, sizeof path, "%s/%s.log", work_dir, vms[i]->name);
        unlink (path);
      }
  if (work_dir[0] != '\0')
    rmdir (work_dir);
}

static void
on_alarm (int sig)
{
  (void)sig;
  for (int i = 0; i < vm_count; i++)
    if (vms[i]->pid > 0)
      kill (vms[i]->pid, SIGKILL);
  _exit (2);
}

/* RECORD: path of record.txt. */
static void
stand_begin (const char *record)
{
  const char *t = getenv ("TROUBLE");
  trouble = t == NULL || strcmp (t, "0") != 0;
  base_ms = 0;
  base_ms = mono_ms ();
  signal (SIGPIPE, SIG_IGN);
  signal (SIGALRM, on_alarm);
  alarm (115);
  record_file = fopen (record, "w");
  snprintf (work_dir, sizeof work_dir, "/tmp/review.XXXXXX");
  if (record_file == NULL || mkdtemp (work_dir) == NULL
      || access ("target/rattanspindle", X_OK) != 0)
    {
      fprintf (stderr, "cannot run: no record, folder or program\n");
      exit (2);
    }
  atexit (stand_end);
  store_start ();
  say ("%s", trouble ? "with the disruption" : "without the disruption");
}

/* Says the outcome; the exit status. */
static int
stand_verdict (bool broken, const char *what)
{
  bool ended = false;
  for (int i = 0; i < vm_count; i++)
    ended = (vms[i]->pid > 0 && !vm_runs (vms[i])) || ended;
  say ("%s: %s", broken ? "BROKEN" : "held", what);
  return broken ? 1 : 0;
}

#endif

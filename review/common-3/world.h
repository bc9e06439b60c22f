/* Stand-ins and helpers of the review's scripts: the users' store of objects,
 * replicas of a model service, clients, and the processes of the system.  One
 * program plays a case; it writes record.txt and exits with 0, 1 or 2. */
#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include <jansson.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/* -- time, record, end ---- */
long long now_ms (void); /* since the program began, steady */
void pause_ms (long long ms);
void rec (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
/* Ends all processes and the program. */
_Noreturn void finish (int status, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/* Opens record.txt in FOLDER, makes a temporary folder, sets the time limit. */
void world_begin (const char *folder, int limit_s);
extern const char *world_tmp;
extern bool trouble; /* TROUBLE is not 0 */
int free_port (void);

/* -- HTTP ---- */
typedef struct
{
  char method[16];
  char target[4096];
  char head[65536]; /* header lines */
  char *body;
  size_t body_n;
  int fd;
  bool close_after;
  long long opened; /* time of the connection's start */
  long long came;   /* time at which the request came */
} req_t;
/* The value of header NAME in HEAD, copied to OUT; false: none. */
bool header_get (const char *head, const char *name, char *out, size_t n);
/* Handles a request; false: the connection is closed. */
typedef bool (*handler_t) (req_t *r, void *data);
void serve (int port, handler_t handler, void *data);
bool send_all (int fd, const void *p, size_t n);
bool reply (req_t *r, int status, const char *headers, const char *body,
            size_t n);

typedef struct
{
  int status; /* 0: no answer */
  char head[16384];
  char *body;
  size_t body_n;
  bool whole;
} resp_t;
/* One call on a connection of its own. */
void call (int port, const char *method, const char *path,
           const char *headers, const char *body, size_t n, int timeout_ms,
           resp_t *out);
void resp_free (resp_t *r);

/* -- the users' store ---- */
extern int store_port;
void store_begin (void);
/* Writes an object as the operator or a replica does; returns the revision. */
long long store_put (const char *kind, const char *name, json_t *spec);
void store_delete (const char *kind, const char *name);
json_t *store_get (const char *kind, const char *name); /* new reference */
size_t store_count (const char *kind);
/* Called, if set, before each call is worked off; false: the connection is
 * closed without an answer. */
extern bool (*store_filter) (req_t *r);
/* Age of what calls with serializable=1 get, in ms ("may return data that is
 * seconds old"). */
extern _Atomic int store_stale_ms;
/* Connections to the store that began before this time are silent from now on:
 * nothing that is sent on them arrives.  New ones work. */
extern _Atomic long long store_silent_before;
/* The same for connections on which no byte has moved since this time. */
extern _Atomic long long store_silent_idle;
void store_each (const char *kind, void (*f) (const char *name, json_t *object));

/* -- replicas ---- */
typedef struct replica
{
  char id[40];
  int port;
  char zone[32];
  char service[32];
  int slots;
  int event_ms;
  int first_ms;
  atomic_int running;
  atomic_int runs;
  bool (*handler) (struct replica *r, req_t *q); /* NULL: the usual */
  int events; /* of an item or stream */
} replica_t;
void replica_begin (replica_t *r);
void replica_register (replica_t *r, const char *state);
/* Called for each run that begins. */
extern void (*on_run) (replica_t *r, const char *request_id, req_t *q);

/* -- processes of the system ---- */
typedef struct
{
  char name[40];
  char zone[32];
  bool worker;
  int front, ready, peer, tunnel, store; /* ports */
  pid_t pid;
  char settings[256];
  char log[256];
} vm_t;
void vm_prepare (vm_t *v, const char *name, const char *zone, bool worker,
                 const char *zones);
void vm_start (vm_t *v);
void vm_signal (vm_t *v, int signal);
void vm_kill (vm_t *v); /* SIGKILL, and waits for the end */
bool vm_alive (vm_t *v);
bool vm_ready (const vm_t *v);
bool vm_ready_within (const vm_t *v, int ms);
long vm_rss_kb (const vm_t *v);
#endif

#include "flood.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

/* Bytes of one write: small against the memory bounds of tests. */
#define FLOOD_WRITE_SIZE 16384

struct flood
{
  int fd;
  struct tevent_fd *event; /* NULL: ended */
  const char *first;       /* what is left of it */
  char *block;             /* whole blocks, FLOOD_WRITE_SIZE bytes at most */
  size_t block_size;
  size_t block_offset;
  size_t left;
  size_t sent;
  size_t resident_before;
  size_t resident_max;
  bool closed;
};

/* Resident memory of this process, in bytes. */
static size_t
_flood_resident (void)
{
  unsigned long pages = 0;
  FILE *file = fopen ("/proc/self/statm", "r");
  if (file == NULL)
    return 0;
  if (fscanf (file, "%*u %lu", &pages) != 1)
    pages = 0;
  (void)fclose (file);
  return pages * (size_t)sysconf (_SC_PAGESIZE);
}

/* The bytes to send next. */
static const char *
_flood_next (const flood_t *f, size_t *n)
{
  bool first = *f->first != '\0';
  *n = first ? strlen (f->first) : f->block_size - f->block_offset;
  if (*n > f->left)
    *n = f->left;
  return first ? f->first : f->block + f->block_offset;
}

static void
_flood_advance (flood_t *f, size_t n)
{
  f->sent += n;
  f->left -= n;
  if (*f->first != '\0')
    f->first += n;
  else
    f->block_offset = (f->block_offset + n) % f->block_size;
}

/* Whether a call on the socket returned N because the peer has closed. */
static bool
_flood_is_end (ssize_t n)
{
  return n < 0 && errno != EAGAIN && errno != EINTR;
}

/* Drops what the peer has sent. */
static void
_flood_read (flood_t *f)
{
  char bytes[FLOOD_WRITE_SIZE];
  ssize_t n = recv (f->fd, bytes, sizeof bytes, MSG_DONTWAIT);
  f->closed = n == 0 || _flood_is_end (n);
}

static void
_flood_write (flood_t *f)
{
  size_t n = 0;
  const char *bytes = _flood_next (f, &n);
  ssize_t sent = send (f->fd, bytes, n, MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent >= 0)
    _flood_advance (f, (size_t)sent);
  f->closed = _flood_is_end (sent);
  if (f->left == 0)
    TEVENT_FD_NOT_WRITEABLE (f->event);
}

static void
_flood_on_socket (struct tevent_context *loop, struct tevent_fd *event,
                  uint16_t flags, void *data)
{
  (void)loop;
  (void)event;
  flood_t *f = data;
  size_t resident = _flood_resident ();
  if (resident > f->resident_max)
    f->resident_max = resident;
  if ((flags & TEVENT_FD_READ) != 0)
    _flood_read (f);
  if ((flags & TEVENT_FD_WRITE) != 0 && !f->closed)
    _flood_write (f);
  if (f->closed)
    TALLOC_FREE (f->event);
}

static void
_flood_block_fill (flood_t *f, const char *block)
{
  size_t n = strlen (block);
  size_t count = n < FLOOD_WRITE_SIZE ? FLOOD_WRITE_SIZE / n : 1;
  f->block_size = n * count;
  f->block = talloc_size (f, f->block_size);
  for (size_t i = 0; i < count; i++)
    memcpy (f->block + i * n, block, n);
}

flood_t *
flood_start (void *ctx, struct tevent_context *loop, int fd, const char *first,
             const char *block, size_t max)
{
  flood_t *f = talloc_zero (ctx, flood_t);
  f->fd = fd;
  f->first = talloc_strdup (f, first);
  f->left = max;
  _flood_block_fill (f, block);
  f->resident_before = f->resident_max = _flood_resident ();
  f->event = tevent_add_fd (loop, f, fd, TEVENT_FD_READ | TEVENT_FD_WRITE,
                            _flood_on_socket, f);
  return f;
}

bool
flood_is_closed (const flood_t *f)
{
  return f->closed;
}

size_t
flood_sent (const flood_t *f)
{
  return f->sent;
}

size_t
flood_growth (const flood_t *f)
{
  return f->resident_max - f->resident_before;
}

#include "sock.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

static struct sockaddr_in
_sock_loopback (uint16_t port)
{
  return (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_port = htons (port),
                               .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
}

uint16_t
sock_free_port (void)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  struct sockaddr_in in = _sock_loopback (0);
  socklen_t size = sizeof in;
  (void)bind (fd, (struct sockaddr *)&in, sizeof in);
  (void)getsockname (fd, (struct sockaddr *)&in, &size);
  close (fd);
  return ntohs (in.sin_port);
}

int
sock_connect (uint16_t port)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  struct sockaddr_in in = _sock_loopback (port);
  if (connect (fd, (struct sockaddr *)&in, sizeof in) == 0)
    return fd;
  close (fd);
  return -1;
}

int
sock_listen (uint16_t *port)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  struct sockaddr_in in = _sock_loopback (0);
  socklen_t size = sizeof in;
  if (bind (fd, (struct sockaddr *)&in, sizeof in) == 0
      && listen (fd, SOMAXCONN) == 0
      && getsockname (fd, (struct sockaddr *)&in, &size) == 0)
    {
      *port = ntohs (in.sin_port);
      return fd;
    }
  close (fd);
  return -1;
}

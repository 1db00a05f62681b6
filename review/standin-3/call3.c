/* call-3: one HTTP request of a client or of the operator.  Without arguments
   it prints the time of the steady clock in ms.
   Usage: call-3 METHOD IP:PORT PATH HOST WAIT_MS BODY [HEADER...]
   Waits WAIT_MS for the response, then closes the connection.  Prints the
   status (000: no whole response) and the body.  */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define MAX_BYTES 65536

static long long
steady_ms (void)
{
  struct timespec ts;
  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (long long)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/* Whether TEXT is a whole response: its head, and the body that it names.  */
static int
is_whole (const char *text, size_t len, const char **body)
{
  const char *end = strstr (text, "\r\n\r\n");
  const char *length = strcasestr (text, "Content-Length:");
  if (end == NULL || length == NULL || length > end)
    return 0;
  *body = end + 4;
  return len - (size_t)(*body - text)
         >= strtoul (length + strlen ("Content-Length:"), NULL, 10);
}

int
main (int argc, char **argv)
{
  static char text[MAX_BYTES + 1];
  char ip[64] = "";
  const char *body;
  int port = 0;
  size_t len = 0;
  signal (SIGPIPE, SIG_IGN);
  if (argc == 1)
    {
      printf ("%lld\n", steady_ms ());
      return 0;
    }
  if (argc < 7 || sscanf (argv[2], "%63[^:]:%d", ip, &port) != 2)
    return 2;
  long long until_ms = steady_ms () + atoi (argv[5]);
  struct sockaddr_in sin
      = { .sin_family = AF_INET, .sin_port = htons ((unsigned short)port) };
  inet_pton (AF_INET, ip, &sin.sin_addr);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  if (connect (fd, (struct sockaddr *)&sin, sizeof sin) != 0)
    {
      printf ("000\n");
      return 0;
    }
  dprintf (fd, "%s %s HTTP/1.1\r\nHost: %s\r\n", argv[1], argv[3], argv[4]);
  for (int i = 7; i < argc; i++)
    dprintf (fd, "%s\r\n", argv[i]);
  if (argv[6][0] != '\0')
    dprintf (fd, "Content-Type: application/json\r\n");
  dprintf (fd, "Content-Length: %zu\r\n\r\n%s", strlen (argv[6]), argv[6]);
  for (;;)
    {
      long long left_ms = until_ms - steady_ms ();
      struct pollfd pfd = { .fd = fd, .events = POLLIN };
      if (left_ms <= 0 || poll (&pfd, 1, (int)left_ms) <= 0)
        break;
      ssize_t n = read (fd, text + len, MAX_BYTES - len);
      if (n <= 0)
        break;
      len += (size_t)n;
      text[len] = '\0';
      if (is_whole (text, len, &body))
        {
          printf ("%.3s %s\n", text + strlen ("HTTP/1.1 "), body);
          return 0;
        }
    }
  printf ("000\n");
  return 0;
}

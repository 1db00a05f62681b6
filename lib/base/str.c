/* Strings, numbers, addresses and random bits.  */
#include "pl.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/random.h>

struct pl_str
pl_str (const char *text)
{
  return (struct pl_str){ .data = text, .len = strlen (text) };
}

bool
pl_str_eq (struct pl_str a, struct pl_str b)
{
  return a.len == b.len && (a.len == 0 || memcmp (a.data, b.data, a.len) == 0);
}

/* Does not use GLib's parser, which failed in a thread that had waited while
   another thread initialised it: the wait left errno set.  */
bool
pl_str_to_int (struct pl_str s, int64_t min, int64_t max, int64_t *out)
{
  bool negative = s.len > 0 && s.data[0] == '-';
  size_t first = negative ? 1 : 0;
  if (s.len == first)
    return false;
  int64_t value = 0;
  for (size_t i = first; i < s.len; i++)
    {
      if (!g_ascii_isdigit (s.data[i])
          || __builtin_mul_overflow (value, 10, &value)
          || __builtin_sub_overflow (value, s.data[i] - '0', &value))
        return false;
    }
  /* VALUE is the negative of the number, since INT64_MIN has no positive
     counterpart.  */
  if (!negative && __builtin_sub_overflow (0, value, &value))
    return false;
  if (value < min || value > max)
    return false;
  *out = value;
  return true;
}

bool
pl_str_to_hex64 (struct pl_str s, uint64_t *out)
{
  if (s.len != 16)
    return false;
  uint64_t value = 0;
  for (size_t i = 0; i < s.len; i++)
    {
      char c = s.data[i];
      if (!g_ascii_isxdigit (c) || g_ascii_isupper (c))
        return false;
      value = value << 4 | (uint64_t)g_ascii_xdigit_value (c);
    }
  *out = value;
  return true;
}

bool
pl_addr_parse (struct pl_str s, struct pl_addr *out)
{
  const char *colon = memchr (s.data, ':', s.len);
  if (colon == NULL)
    return false;
  char host[INET_ADDRSTRLEN];
  size_t len = (size_t)(colon - s.data);
  if (len >= sizeof host)
    return false;
  memcpy (host, s.data, len);
  host[len] = '\0';
  struct in_addr in;
  if (inet_pton (AF_INET, host, &in) != 1)
    return false;
  struct pl_str port = { .data = colon + 1, .len = s.len - len - 1 };
  int64_t number;
  if (!pl_str_to_int (port, 1, 65535, &number))
    return false;
  *out = (struct pl_addr){ .ip = ntohl (in.s_addr), .port = (uint16_t)number };
  return true;
}

char *
pl_addr_text (struct pl_addr addr, char buf[PL_ADDR_TEXT])
{
  snprintf (buf, PL_ADDR_TEXT, "%u.%u.%u.%u:%u", addr.ip >> 24,
            addr.ip >> 16 & 255, addr.ip >> 8 & 255, addr.ip & 255, addr.port);
  return buf;
}

bool
pl_addr_eq (struct pl_addr a, struct pl_addr b)
{
  return a.ip == b.ip && a.port == b.port;
}

uint64_t
pl_random64 (void)
{
  uint64_t value = 0;
  while (value == 0)
    if (getrandom (&value, sizeof value, 0) != (ssize_t)sizeof value)
      value = 0;
  return value;
}

/* Encoding and bounded decoding of messages.  */
#include "msg.h"

#include <stdlib.h>

/* Bound on the memory for decoding one message, as a multiple of the channel's
   largest message.  A message of many empty fields would otherwise decode to
   far more memory than its size.  */
#define DECODE_FACTOR 4

size_t
msg_max_bytes (enum msg_channel channel)
{
  return channel == MSG_RELAY ? MSG_MAX_RELAY_BYTES : MSG_MAX_CONTROL_BYTES;
}

GBytes *
msg_pack (Msg__Envelope *envelope, enum msg_channel channel)
{
  envelope->version = MSG_VERSION;
  size_t len = msg__envelope__get_packed_size (envelope);
  if (len > msg_max_bytes (channel))
    return NULL;
  uint8_t *data = g_malloc (len + 1);
  msg__envelope__pack (envelope, data);
  return g_bytes_new_take (data, len);
}

static void *
bounded_alloc (void *user, size_t size)
{
  size_t *left = user;
  if (size > *left)
    return NULL;
  *left -= size;
  return malloc (size);
}

static void
bounded_free (void *user, void *pointer)
{
  (void)user;
  free (pointer);
}

Msg__Envelope *
msg_unpack (const void *data, size_t len, enum msg_channel channel,
            struct pl_err *err)
{
  size_t left = DECODE_FACTOR * msg_max_bytes (channel);
  ProtobufCAllocator allocator = { .alloc = bounded_alloc,
                                   .free = bounded_free,
                                   .allocator_data = &left };
  if (len > msg_max_bytes (channel))
    {
      pl_fail (err, PL_MESSAGE_INVALID, "oversized");
      return NULL;
    }
  Msg__Envelope *envelope = msg__envelope__unpack (&allocator, len, data);
  if (envelope == NULL)
    {
      pl_fail (err, PL_MESSAGE_INVALID, "malformed");
      return NULL;
    }
  if (msg_check (envelope, channel, err))
    return envelope;
  msg_free (envelope);
  return NULL;
}

void
msg_free (Msg__Envelope *envelope)
{
  /* NULL is the default allocator, which uses malloc and free as bounded_alloc
     does.  */
  if (envelope != NULL)
    msg__envelope__free_unpacked (envelope, NULL);
}

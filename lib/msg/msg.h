/* Encoding and decoding of the messages between instances (schema/peer.proto).
   A message comes from the network, so the decoder bounds its size and memory
   and checks every count and range before the rest of the program sees it.  */
#pragma once

#include "peer.pb-c.h"
#include "pl.h"

#define MSG_VERSION 1
#define MSG_MAX_CONTROL_BYTES 65536
/* A forwarded body or answer has at most 4 MiB; 4 KiB are for the key, the
   path and the framing.  */
#define MSG_MAX_RELAY_BYTES 4198400
#define MSG_CHUNK_BYTES 49152          /* data in one chunk of a transfer */
#define MSG_MAX_SNAPSHOT_BYTES 8388608 /* snapshot or note sent in chunks */
#define MSG_MAX_PERMITS 1024           /* keys in one permit message */
#define MSG_MAX_WORKERS 512            /* in one lending or Leaving message */
#define MSG_MAX_KNOWN 8                /* addresses in one heartbeat */
#define MSG_MAX_HEIRS 64               /* owners with heirs in one message */
#define MSG_MAX_MEMBERS 64             /* instances in one digest */

enum msg_channel
{
  MSG_CONTROL, /* between the control threads: everything but forwards */
  MSG_RELAY,   /* between the relay threads: forwards and their replies */
};

/* Largest message of CHANNEL in bytes.  */
size_t msg_max_bytes (enum msg_channel channel);
/* Sets the version of ENVELOPE and encodes it; null if it is too large.  */
GBytes *msg_pack (Msg__Envelope *envelope, enum msg_channel channel);
/* Decodes one message and checks its size, version, kind, counts and ranges.
   On failure null, and ERR is PL_MESSAGE_INVALID.  Free with msg_free.  */
Msg__Envelope *msg_unpack (const void *data, size_t len,
                           enum msg_channel channel, struct pl_err *err);
void msg_free (Msg__Envelope *envelope);
/* Checks version, sender, kind, counts and ranges of a decoded message.  */
bool msg_check (const Msg__Envelope *envelope, enum msg_channel channel,
                struct pl_err *err);

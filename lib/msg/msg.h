/* Peer messages: bounded pack and unpack of the generated schema.  */
#pragma once

#include "peer.pb-c.h"
#include "pl.h"

#define MSG_VERSION 1
#define MSG_MAX_CONTROL_BYTES 65536
/* A forwarded body or answer has at most 4 MiB; 4 KiB are for the key, the
 * path and the framing.  */
#define MSG_MAX_RELAY_BYTES 4198400
#define MSG_CHUNK_BYTES 49152
#define MSG_MAX_SNAPSHOT_BYTES 8388608 /* largest chunked document */
#define MSG_MAX_PERMITS 1024           /* permits in one message */
#define MSG_MAX_WORKERS 512            /* workers in one lending message */
#define MSG_MAX_KNOWN 8                /* addresses in one heartbeat */
#define MSG_MAX_HEIRS 64
#define MSG_MAX_MEMBERS 64 /* instances in one digest */

enum msg_channel
{
  MSG_CONTROL,
  MSG_RELAY,
};

/* Largest message of CHANNEL in bytes.  */
size_t msg_max_bytes (enum msg_channel channel);
/* Encodes ENVELOPE and sets its version; null if it is too large.  */
GBytes *msg_pack (Msg__Envelope *envelope, enum msg_channel channel);
/* Decodes and checks one message: size, version, kind, counts and ranges.
   Null with PL_MESSAGE_INVALID in ERR.  Free with msg_free.  */
Msg__Envelope *msg_unpack (const void *data, size_t len,
                           enum msg_channel channel, struct pl_err *err);
void msg_free (Msg__Envelope *envelope);
/* Checks counts, lengths and enum ranges of a decoded message.  */
bool msg_check (const Msg__Envelope *envelope, enum msg_channel channel,
                struct pl_err *err);

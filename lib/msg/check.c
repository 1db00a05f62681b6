/* Checks of decoded messages: counts, lengths and ranges.  */
#include "msg.h"

#include <string.h>

#define MAX_DOMAIN_BYTES 32
#define MAX_PORT 65535 /* control ports are below: the relay has the next */
#define MAX_SLOTS 65535
#define MAX_KEY_BYTES 256
#define MAX_PATH_BYTES 256
#define MAX_CODE 999

static bool
domain_ok (const char *domain)
{
  size_t len = strlen (domain);
  if (len == 0 || len > MAX_DOMAIN_BYTES)
    return false;
  for (size_t i = 0; i < len; i++)
    if (!g_ascii_isalnum (domain[i]) && domain[i] != '-' && domain[i] != '_')
      return false;
  return true;
}

static bool
digest_ok (const Msg__Digest *m)
{
  if (!domain_ok (m->domain) || m->revision < 0 || m->n_id > MSG_MAX_MEMBERS)
    return false;
  if (m->n_ip != m->n_id || m->n_port != m->n_id || m->n_age_ms != m->n_id
      || m->n_epoch != m->n_id)
    return false;
  for (size_t i = 0; i < m->n_id; i++)
    if (m->id[i] == 0 || m->ip[i] == 0 || m->port[i] == 0
        || m->port[i] >= MAX_PORT || m->epoch[i] < 0)
      return false;
  return m->n_owner <= MSG_MAX_HEIRS && m->n_heir == m->n_owner;
}

static bool
heartbeat_ok (const Msg__Heartbeat *m)
{
  if (!domain_ok (m->domain))
    return false;
  if (m->ip == 0 || m->port == 0 || m->port >= MAX_PORT)
    return false;
  if (m->epoch < 0 || m->revision < 0)
    return false;
  if (m->n_known_ip != m->n_known_port || m->n_known_ip > MSG_MAX_KNOWN)
    return false;
  for (size_t i = 0; i < m->n_known_port; i++)
    if (m->known_port[i] == 0 || m->known_port[i] >= MAX_PORT)
      return false;
  return m->n_inherited <= MSG_MAX_HEIRS;
}

/* A request without keys is valid: it is a probe.  */
static bool
permit_request_ok (const Msg__PermitRequest *m)
{
  if (m->n_hi > MSG_MAX_PERMITS)
    return false;
  if (m->n_lo != m->n_hi || m->n_epoch != m->n_hi)
    return false;
  for (size_t i = 0; i < m->n_epoch; i++)
    if (m->epoch[i] < 0)
      return false;
  return true;
}

static bool
permit_reply_ok (const Msg__PermitReply *m)
{
  return m->n_hi <= MSG_MAX_PERMITS && m->n_lo == m->n_hi
         && m->n_granted == m->n_hi;
}

static bool
worker_slots_ok (size_t n, size_t n_port, size_t n_count, const uint32_t *port,
                 const uint32_t *count)
{
  if (n > MSG_MAX_WORKERS || n_port != n || n_count != n)
    return false;
  for (size_t i = 0; i < n; i++)
    if (port[i] == 0 || port[i] > MAX_PORT || count[i] == 0
        || count[i] > MAX_SLOTS)
      return false;
  return true;
}

static bool
note_reply_ok (const Msg__NoteReply *m)
{
  uint64_t start = (uint64_t)m->index * MSG_CHUNK_BYTES;
  if (m->revision < 1 || m->total == 0 || m->total > MSG_MAX_SNAPSHOT_BYTES)
    return false;
  if (start >= m->total)
    return false;
  return m->data.len == MIN (m->total - start, MSG_CHUNK_BYTES);
}

static bool
hand_over_ok (const Msg__HandOver *m)
{
  if (m->last)
    return m->data.len == 0 && m->n_inherited <= MSG_MAX_HEIRS;
  return m->data.len > 0 && m->data.len <= MSG_CHUNK_BYTES
         && m->n_inherited == 0;
}

static bool
forward_ok (const Msg__Forward *m)
{
  return m->method > MSG__METHOD__METHOD_NONE
         && m->method <= MSG__METHOD__METHOD_DELETE
         && m->path.len <= MAX_PATH_BYTES && m->key.len > 0
         && m->key.len <= MAX_KEY_BYTES;
}

static bool
relay_ok (const Msg__Envelope *e)
{
  if (e->body_case == MSG__ENVELOPE__BODY_FORWARD)
    return forward_ok (e->forward);
  if (e->body_case == MSG__ENVELOPE__BODY_FORWARD_REPLY)
    return e->forward_reply->code <= MAX_CODE
           && e->forward_reply->retry_after_ms >= 0;
  return false;
}

static bool
leaving_ok (const Msg__Leaving *m)
{
  if (m->n_ip == 0 || m->n_ip > MSG_MAX_WORKERS || m->n_port != m->n_ip
      || m->n_revision != m->n_ip)
    return false;
  for (size_t i = 0; i < m->n_ip; i++)
    if (m->port[i] == 0 || m->port[i] > G_MAXUINT16 || m->revision[i] < 0)
      return false;
  return true;
}

static bool
control_ok (const Msg__Envelope *e)
{
  switch (e->body_case)
    {
    case MSG__ENVELOPE__BODY_HEARTBEAT:
      return heartbeat_ok (e->heartbeat);
    case MSG__ENVELOPE__BODY_DIGEST:
      return digest_ok (e->digest);
    case MSG__ENVELOPE__BODY_LEAVE:
    case MSG__ENVELOPE__BODY_HAND_OVER_ACK:
      return true;
    case MSG__ENVELOPE__BODY_PERMIT_REQUEST:
      return permit_request_ok (e->permit_request);
    case MSG__ENVELOPE__BODY_PERMIT_REPLY:
      return permit_reply_ok (e->permit_reply);
    case MSG__ENVELOPE__BODY_REVOKE_REQUEST:
      return e->revoke_request->epoch >= 0 && e->revoke_request->owner != 0;
    case MSG__ENVELOPE__BODY_REVOKE_REPLY:
      return e->revoke_reply->result > MSG__REVOKED__REVOKED_NONE
             && e->revoke_reply->result <= MSG__REVOKED__REVOKED_UNKNOWN;
    case MSG__ENVELOPE__BODY_NOTE_REQUEST:
      return e->note_request->first >= 1
             && e->note_request->last >= e->note_request->first;
    case MSG__ENVELOPE__BODY_NOTE_REPLY:
      return note_reply_ok (e->note_reply);
    case MSG__ENVELOPE__BODY_BORROW:
      return e->borrow->slots >= 1 && e->borrow->slots <= MAX_SLOTS;
    case MSG__ENVELOPE__BODY_GRANT:
      return worker_slots_ok (e->grant->n_ip, e->grant->n_port,
                              e->grant->n_count, e->grant->port,
                              e->grant->count);
    case MSG__ENVELOPE__BODY_GIVE_BACK:
      return e->give_back->n_ip > 0
             && worker_slots_ok (e->give_back->n_ip, e->give_back->n_port,
                                 e->give_back->n_count, e->give_back->port,
                                 e->give_back->count);
    case MSG__ENVELOPE__BODY_HAND_OVER:
      return hand_over_ok (e->hand_over);
    case MSG__ENVELOPE__BODY_HEIR:
      return e->heir->heir != 0 && e->heir->n_owners <= MSG_MAX_HEIRS;
    case MSG__ENVELOPE__BODY_LEAVING:
      return leaving_ok (e->leaving);
    default:
      return false;
    }
}

bool
msg_check (const Msg__Envelope *envelope, enum msg_channel channel,
           struct pl_err *err)
{
  if (envelope->version != MSG_VERSION)
    return pl_fail (err, PL_MESSAGE_INVALID, "version %u", envelope->version);
  if (envelope->from == 0)
    return pl_fail (err, PL_MESSAGE_INVALID, "no sender");
  bool ok = channel == MSG_RELAY ? relay_ok (envelope) : control_ok (envelope);
  if (!ok)
    return pl_fail (err, PL_MESSAGE_INVALID, "message of kind %d is not valid",
                    (int)envelope->body_case);
  return true;
}

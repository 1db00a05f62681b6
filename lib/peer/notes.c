/* Distribution of release notes between peers.  An instance that hears of a
   higher revision asks the peer that reported it.  The peer sends the missing
   notes, or a snapshot of the whole configuration if there are too many or it
   no longer has them.  Both are sent in chunks with a checksum of the
   whole text.  */
#include "impl.h"

#include <string.h>
#include <xxhash.h>

/* Chunks sent for one request; the receiver asks again for the rest.  Below
   the high-water mark of the links, so that none is dropped.  */
#define MAX_REPLIES 64
/* A peer that lacks more notes than this gets a snapshot.  */
#define MAX_NOTES 64
/* Time without a request or a chunk after which a request is repeated.  */
#define REQUEST_RETRY_US 500000

static void
assembly_clear (struct assembly *assembly)
{
  if (assembly->data != NULL)
    g_byte_array_unref (assembly->data);
  *assembly = (struct assembly){ 0 };
}

void
notes_free (struct peer *peer)
{
  assembly_clear (&peer->assembly);
  if (peer->snapshot != NULL)
    g_bytes_unref (peer->snapshot);
}

static void
request_notes (struct peer *peer, claim_instance_id from, int64_t last,
               uint32_t chunk)
{
  Msg__NoteRequest m = MSG__NOTE_REQUEST__INIT;
  m.first = note_history_revision (peer->history) + 1;
  m.last = MAX (last, m.first);
  m.chunk = chunk;
  Msg__Envelope e = MSG__ENVELOPE__INIT;
  e.body_case = MSG__ENVELOPE__BODY_NOTE_REQUEST;
  e.note_request = &m;
  peer->requested_us = ctl_now_us (peer);
  ctl_send (peer, from, &e);
}

void
notes_on_revision (struct peer *peer, claim_instance_id from, int64_t revision)
{
  if (revision <= note_history_revision (peer->history)
      || ctl_now_us (peer) - peer->requested_us < REQUEST_RETRY_US)
    return;
  const struct assembly *assembly = &peer->assembly;
  bool resume = assembly->from == from && assembly->is_snapshot;
  request_notes (peer, from, revision, resume ? assembly->next : 0);
}

static void
send_chunk (struct peer *peer, claim_instance_id to, bool is_snapshot,
            int64_t revision, struct pl_str text, uint64_t checksum,
            uint32_t index)
{
  size_t start = (size_t)index * MSG_CHUNK_BYTES;
  Msg__NoteReply m = MSG__NOTE_REPLY__INIT;
  m.whole = is_snapshot;
  m.revision = revision;
  m.total = (uint32_t)text.len;
  m.index = index;
  m.checksum = checksum;
  m.data.data = (uint8_t *)text.data + start;
  m.data.len = MIN (text.len - start, MSG_CHUNK_BYTES);
  Msg__Envelope e = MSG__ENVELOPE__INIT;
  e.body_case = MSG__ENVELOPE__BODY_NOTE_REPLY;
  e.note_reply = &m;
  ctl_send (peer, to, &e);
}

/* Sends chunks from index FIRST on, at most LIMIT; returns their number.  */
static unsigned
send_chunks (struct peer *peer, claim_instance_id to, bool is_snapshot,
             int64_t revision, GBytes *bytes, uint32_t first, unsigned limit)
{
  struct pl_str text;
  text.data = g_bytes_get_data (bytes, &text.len);
  if (text.len == 0 || text.len > MSG_MAX_SNAPSHOT_BYTES)
    return 0;
  uint64_t checksum = XXH3_64bits (text.data, text.len);
  unsigned sent = 0;
  for (uint32_t i = first;
       (uint64_t)i * MSG_CHUNK_BYTES < text.len && sent < limit; i++, sent++)
    send_chunk (peer, to, is_snapshot, revision, text, checksum, i);
  return sent;
}

/* The configuration in force as JSON, rendered again when its revision has
   changed; null if there is none.  */
static GBytes *
get_snapshot (struct peer *peer)
{
  struct pl_shared *shared = pl_rcu_ptr_get (peer->opts.note_conf_ptr);
  const struct note_conf *conf = (struct note_conf *)shared;
  if (conf != NULL
      && (peer->snapshot == NULL || peer->snapshot_revision != conf->revision))
    {
      char *text = note_conf_to_json (conf);
      if (peer->snapshot != NULL)
        g_bytes_unref (peer->snapshot);
      peer->snapshot = g_bytes_new_take (text, strlen (text));
      peer->snapshot_revision = conf->revision;
    }
  pl_shared_unref (shared);
  return peer->snapshot;
}

void
notes_on_request (struct peer *peer, claim_instance_id from,
                  const Msg__NoteRequest *m)
{
  int64_t last = MIN (m->last, note_history_revision (peer->history));
  if (last < m->first)
    return;
  if (last - m->first >= MAX_NOTES
      || note_history_get (peer->history, m->first) == NULL)
    {
      GBytes *snapshot = get_snapshot (peer);
      if (snapshot != NULL)
        send_chunks (peer, from, true, peer->snapshot_revision, snapshot,
                     m->chunk, MAX_REPLIES);
      return;
    }
  unsigned sent = 0;
  for (int64_t revision = m->first; revision <= last; revision++)
    {
      GBytes *note = note_history_get (peer->history, revision);
      if (note == NULL || sent >= MAX_REPLIES)
        return;
      /* Always from the first chunk: a note of the largest size that the store
         accepts has 22 chunks, fewer than MAX_REPLIES.  */
      sent += send_chunks (peer, from, false, revision, note, 0, MAX_REPLIES);
    }
}

static void
report_revision (struct peer *peer, enum note_offer_result offer)
{
  if (offer != NOTE_APPLIED)
    return;
  int64_t revision = note_history_revision (peer->history);
  peer->opts.ops->revision (peer->opts.ops, revision);
}

static void
offer (struct peer *peer, bool is_snapshot, int64_t revision,
       struct pl_str text, const char *source)
{
  struct pl_err err = { 0 };
  enum note_offer_result result;
  if (is_snapshot)
    result = note_history_offer_snapshot (peer->history, text, source, &err);
  else
    result = note_history_offer (peer->history, revision, text, source, &err);
  report_revision (peer, result);
}

static bool
is_next_chunk (const struct assembly *assembly, claim_instance_id from,
               const Msg__NoteReply *m)
{
  return assembly->data != NULL && assembly->from == from
         && assembly->is_snapshot == m->whole
         && assembly->revision == m->revision && assembly->total == m->total
         && assembly->checksum == m->checksum && assembly->next == m->index;
}

static void
finish_assembly (struct peer *peer, claim_instance_id from)
{
  struct assembly *assembly = &peer->assembly;
  struct pl_str text = { .data = (const char *)assembly->data->data,
                         .len = assembly->data->len };
  if (XXH3_64bits (text.data, text.len) == assembly->checksum)
    offer (peer, assembly->is_snapshot, assembly->revision, text, "peer");
  else
    link_report_drop (from, "checksum", text.len);
  assembly_clear (assembly);
}

void
notes_on_reply (struct peer *peer, claim_instance_id from,
                const Msg__NoteReply *m)
{
  struct assembly *assembly = &peer->assembly;
  if (m->revision <= note_history_revision (peer->history))
    return;
  if (m->index == 0)
    {
      assembly_clear (assembly);
      *assembly = (struct assembly){ .from = from,
                                     .is_snapshot = m->whole,
                                     .revision = m->revision,
                                     .checksum = m->checksum,
                                     .total = m->total,
                                     .data = g_byte_array_new () };
    }
  if (!is_next_chunk (assembly, from, m))
    {
      /* The sender's revision has changed: the next request starts with the
         first chunk.  */
      if (assembly->from == from)
        assembly_clear (assembly);
      link_report_drop (from, "chunk out of order", m->data.len);
      return;
    }
  g_byte_array_append (assembly->data, m->data.data, (guint)m->data.len);
  assembly->next++;
  peer->requested_us = ctl_now_us (peer);
  if (assembly->data->len == assembly->total)
    finish_assembly (peer, from);
  else if (assembly->is_snapshot && assembly->next % MAX_REPLIES == 0)
    request_notes (peer, from, m->revision, assembly->next);
}

struct note_item
{
  struct ctl_item base;
  bool is_snapshot;
  int64_t revision;
  GBytes *text;
};

static void
run_offer (struct peer *peer, struct ctl_item *base)
{
  struct note_item *item = (struct note_item *)base;
  struct pl_str text;
  text.data = g_bytes_get_data (item->text, &text.len);
  if (peer != NULL)
    offer (peer, item->is_snapshot, item->revision, text, "store");
  g_bytes_unref (item->text);
}

static void
post_offer (struct peer *peer, bool is_snapshot, int64_t revision,
            GBytes *text)
{
  struct note_item *item = g_new0 (struct note_item, 1);
  item->is_snapshot = is_snapshot;
  item->revision = revision;
  item->text = g_bytes_ref (text);
  ctl_post (peer, &item->base, run_offer);
}

void
peer_offer_note (struct peer *peer, int64_t revision, GBytes *note)
{
  post_offer (peer, false, revision, note);
}

void
peer_offer_snapshot (struct peer *peer, GBytes *snapshot_text)
{
  post_offer (peer, true, 0, snapshot_text);
}

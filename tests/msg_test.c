/* Tests of lib/msg: the checks and bounds of the decoder.  */
#include "msg.h"
#include "test.h"

#include <string.h>

static GBytes *
pack (Msg__Envelope *e, enum msg_channel channel)
{
  e->from = 7;
  return msg_pack (e, channel);
}

/* True if E is accepted after a round trip.  */
static bool
is_accepted (Msg__Envelope *e, enum msg_channel channel)
{
  struct pl_err err = { 0 };
  g_autoptr (GBytes) data = pack (e, channel);
  CU_ASSERT_PTR_NOT_NULL_FATAL (data);
  Msg__Envelope *out = msg_unpack (g_bytes_get_data (data, NULL),
                                   g_bytes_get_size (data), channel, &err);
  CU_ASSERT (out != NULL || err.code == PL_MESSAGE_INVALID);
  msg_free (out);
  return out != NULL;
}

/* Guards against parallel lists of different lengths, of which one would be
   read past its end, and against values out of range.  */
static void
test_counts_and_ranges (void)
{
  uint64_t hashes[3] = { 1, 2, 3 };
  int64_t epochs[3] = { 1, 2, 3 };
  Msg__PermitRequest permit = MSG__PERMIT_REQUEST__INIT;
  Msg__Envelope e = MSG__ENVELOPE__INIT;
  e.body_case = MSG__ENVELOPE__BODY_PERMIT_REQUEST;
  e.permit_request = &permit;
  permit.hi = permit.lo = hashes;
  permit.epoch = epochs;
  permit.n_hi = permit.n_lo = permit.n_epoch = 3;
  CU_ASSERT (is_accepted (&e, MSG_CONTROL));
  CU_ASSERT_FALSE (is_accepted (&e, MSG_RELAY));
  permit.n_lo = 2;
  CU_ASSERT_FALSE (is_accepted (&e, MSG_CONTROL));
  permit.n_lo = 3;
  epochs[1] = -1;
  CU_ASSERT_FALSE (is_accepted (&e, MSG_CONTROL));
  Msg__RevokeReply reply = MSG__REVOKE_REPLY__INIT;
  e.body_case = MSG__ENVELOPE__BODY_REVOKE_REPLY;
  e.revoke_reply = &reply;
  reply.result = (Msg__Revoked)9;
  CU_ASSERT_FALSE (is_accepted (&e, MSG_CONTROL));
  Msg__NoteReply note = MSG__NOTE_REPLY__INIT;
  e.body_case = MSG__ENVELOPE__BODY_NOTE_REPLY;
  e.note_reply = &note;
  note.revision = 1;
  note.total = MSG_MAX_SNAPSHOT_BYTES + 1;
  note.data.data = (uint8_t *)"x";
  note.data.len = 1;
  CU_ASSERT_FALSE (is_accepted (&e, MSG_CONTROL));
  note.total = 1;
  CU_ASSERT (is_accepted (&e, MSG_CONTROL));
  note.index = 1;
  CU_ASSERT_FALSE (is_accepted (&e, MSG_CONTROL));
}

/* Guards against messages above the channel's bound, both in encoding and in
   decoding.  */
static void
test_size (void)
{
  struct pl_err err = { 0 };
  Msg__Forward forward = MSG__FORWARD__INIT;
  Msg__Envelope e = MSG__ENVELOPE__INIT;
  e.body_case = MSG__ENVELOPE__BODY_FORWARD;
  e.forward = &forward;
  forward.method = MSG__METHOD__METHOD_POST;
  forward.key.data = (uint8_t *)"k";
  forward.key.len = 1;
  forward.body.len = 4194304;
  forward.body.data = g_malloc0 (MSG_MAX_RELAY_BYTES);
  CU_ASSERT (is_accepted (&e, MSG_RELAY));
  forward.body.len = MSG_MAX_RELAY_BYTES;
  CU_ASSERT_PTR_NULL (pack (&e, MSG_RELAY));
  CU_ASSERT_PTR_NULL (msg_unpack (forward.body.data, MSG_MAX_CONTROL_BYTES + 1,
                                  MSG_CONTROL, &err));
  CU_ASSERT_STRING_EQUAL (err.text, "oversized");
  g_free (forward.body.data);
}

/* Decodes E many times with a few bytes changed, every second time also cut
   short.  A message that is accepted must be accepted again after a round
   trip.  */
static void
decode_damaged (GRand *rand, Msg__Envelope *e, enum msg_channel channel)
{
  g_autoptr (GBytes) data = pack (e, channel);
  CU_ASSERT_PTR_NOT_NULL_FATAL (data);
  size_t len = g_bytes_get_size (data);
  struct pl_err err = { 0 };
  for (int i = 0; i < 5000; i++)
    {
      g_autofree uint8_t *copy
          = g_memdup2 (g_bytes_get_data (data, NULL), len);
      for (int n = g_rand_int_range (rand, 1, 4); n > 0; n--)
        copy[g_rand_int_range (rand, 0, (gint32)len)]
            = (uint8_t)g_rand_int_range (rand, 0, 256);
      size_t cut = (size_t)g_rand_int_range (rand, 1, (gint32)len + 1);
      Msg__Envelope *got
          = msg_unpack (copy, i % 2 == 0 ? len : cut, channel, &err);
      if (got != NULL)
        CU_ASSERT (is_accepted (got, channel));
      msg_free (got);
    }
}

/* Guards against crashes on damaged messages that carry byte strings.  */
static void
test_damaged (void)
{
  GRand *rand = g_rand_new_with_seed (7);
  Msg__Forward forward = MSG__FORWARD__INIT;
  Msg__Envelope e = MSG__ENVELOPE__INIT;
  e.body_case = MSG__ENVELOPE__BODY_FORWARD;
  e.forward = &forward;
  forward.method = MSG__METHOD__METHOD_POST;
  forward.key.data = (uint8_t *)"a.0000000000000001.0.1.x";
  forward.key.len = 24;
  forward.body.data = (uint8_t *)"{\"a\":1}";
  forward.body.len = 7;
  decode_damaged (rand, &e, MSG_RELAY);
  Msg__NoteReply note = MSG__NOTE_REPLY__INIT;
  e = (Msg__Envelope)MSG__ENVELOPE__INIT;
  e.body_case = MSG__ENVELOPE__BODY_NOTE_REPLY;
  e.note_reply = &note;
  note.revision = 3;
  note.total = 1;
  note.data.data = (uint8_t *)"{}";
  note.data.len = 2;
  decode_damaged (rand, &e, MSG_CONTROL);
  g_rand_free (rand);
}

/* Guards against crashes of the decoder and against messages that decode to
   far more memory than their size.  */
static void
test_noise (void)
{
  GRand *rand = g_rand_new_with_seed (3);
  struct pl_err err = { 0 };
  Msg__Heartbeat beat = MSG__HEARTBEAT__INIT;
  Msg__Envelope e = MSG__ENVELOPE__INIT;
  e.body_case = MSG__ENVELOPE__BODY_HEARTBEAT;
  e.heartbeat = &beat;
  beat.domain = "brum";
  beat.ip = 1;
  beat.port = 2;
  CU_ASSERT (is_accepted (&e, MSG_CONTROL));
  g_autoptr (GBytes) data = pack (&e, MSG_CONTROL);
  size_t len = g_bytes_get_size (data);
  for (int i = 0; i < 20000; i++)
    {
      uint8_t copy[256];
      memcpy (copy, g_bytes_get_data (data, NULL), len);
      copy[g_rand_int_range (rand, 0, (gint32)len)]
          = (uint8_t)g_rand_int_range (rand, 0, 256);
      size_t cut = (size_t)g_rand_int_range (rand, 1, (gint32)len + 1);
      msg_free (msg_unpack (copy, cut, MSG_CONTROL, &err));
    }
  /* Unknown fields of two bytes each.  */
  uint8_t *many = g_malloc (MSG_MAX_CONTROL_BYTES);
  for (size_t i = 0; i < MSG_MAX_CONTROL_BYTES; i += 2)
    {
      many[i] = 0x48;
      many[i + 1] = 1;
    }
  CU_ASSERT_PTR_NULL (
      msg_unpack (many, MSG_MAX_CONTROL_BYTES, MSG_CONTROL, &err));
  CU_ASSERT_STRING_EQUAL (err.text, "malformed");
  g_free (many);
  g_rand_free (rand);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "counts and ranges", test_counts_and_ranges },
    { "size", test_size },
    { "noise", test_noise },
    { "damaged", test_damaged },
    CU_TEST_INFO_NULL,
  };
  return test_run ("msg", tests);
}

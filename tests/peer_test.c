/* Tests of lib/peer: several instances in one process over loopback.  The
   dispatch thread is replaced by one that counts its events.  */
#include "msg.h"
#include "peer_node.h"

#include <zmq.h>

static void
start_pair (struct node nodes[2])
{
  node_start (&nodes[0], 0x11, "brum", NULL);
  node_start (&nodes[1], 0x22, "brum", &nodes[0]);
  CU_ASSERT (WAIT_FOR (witness_of (&nodes[0]) == 0x22));
  CU_ASSERT (WAIT_FOR (witness_of (&nodes[1]) == 0x11));
}

/* Guards against instances that know only a common seed and never learn of
   each other.  */
static void
test_three_find_each_other (void)
{
  struct node nodes[3];
  node_start (&nodes[0], 0x11, "brum", NULL);
  node_start (&nodes[1], 0x22, "brum", &nodes[0]);
  node_start (&nodes[2], 0x33, "brum", &nodes[0]);
  for (int i = 0; i < 3; i++)
    CU_ASSERT (WAIT_FOR (count_alive (&nodes[i]) == 2));
  CU_ASSERT (WAIT_FOR (g_atomic_int_get (&nodes[0].watching)));
  CU_ASSERT (WAIT_FOR (g_atomic_int_get (&nodes[1].watching)));
  CU_ASSERT (WAIT_FOR (!g_atomic_int_get (&nodes[2].watching)));
  claim_instance_id first = witness_of (&nodes[2]);
  struct node *lost = first == 0x11 ? &nodes[0] : &nodes[1];
  struct node *left = first == 0x11 ? &nodes[1] : &nodes[0];
  node_stop (lost);
  claim_instance_id other = first == 0x11 ? 0x22 : 0x11;
  CU_ASSERT (WAIT_FOR (witness_of (&nodes[2]) == other));
  CU_ASSERT (WAIT_FOR (g_atomic_int_get (&nodes[2].watching)));
  CU_ASSERT (WAIT_FOR (g_atomic_int_get (&nodes[2].disp.peers_lost) > 0));
  CU_ASSERT (WAIT_FOR (g_atomic_int_get (&nodes[2].disp.peers_dead) > 0));
  node_stop (left);
  node_stop (&nodes[2]);
}

static void
store_result (enum claim_revoke_result result, void *user)
{
  g_atomic_int_set ((gint *)user, (gint)result);
}

static gint
revoke_and_wait (struct node *node, const char *key)
{
  gint result = -1;
  peer_revoke (node->peer, pl_str (key), store_result, &result);
  CU_ASSERT (WAIT_FOR (g_atomic_int_get (&result) != -1));
  return g_atomic_int_get (&result);
}

#define KEY_A "brum.0000000000000011.0000000000000022.1.a"
#define KEY_B "brum.0000000000000011.0000000000000022.1.b"
#define KEY_FUTURE_EPOCH "brum.0000000000000011.0000000000000022.99.f"
#define KEY_UNKNOWN_WITNESS "brum.0000000000000011.0000000000000099.1.c"

/* Guards against a permit for a revoked key, and against a revocation of a key
   that has a permit.  */
static void
test_permit_and_revoke (void)
{
  struct node nodes[2];
  start_pair (nodes);
  struct disp_peer_ops *ops = peer_disp_ops (nodes[0].peer);
  ops->permit (ops, 0x22, claim_hash_key (pl_str (KEY_A)), 1);
  CU_ASSERT (
      WAIT_FOR (g_atomic_int_get (&nodes[0].disp.permits_granted) == 1));
  CU_ASSERT_EQUAL (revoke_and_wait (&nodes[0], KEY_A), CLAIM_PERMITTED);
  CU_ASSERT_EQUAL (revoke_and_wait (&nodes[1], KEY_A), CLAIM_PERMITTED);
  CU_ASSERT_EQUAL (revoke_and_wait (&nodes[1], KEY_B), CLAIM_REVOKED);
  ops->permit (ops, 0x22, claim_hash_key (pl_str (KEY_B)), 1);
  CU_ASSERT (
      WAIT_FOR (g_atomic_int_get (&nodes[0].disp.permits_refused) == 1));
  /* An epoch that the owner has not reached must not be recorded.  */
  CU_ASSERT_EQUAL (revoke_and_wait (&nodes[1], KEY_FUTURE_EPOCH),
                   CLAIM_UNKNOWN);
  CU_ASSERT_EQUAL (revoke_and_wait (&nodes[0], KEY_UNKNOWN_WITNESS),
                   CLAIM_UNKNOWN);
  CU_ASSERT_EQUAL (revoke_and_wait (&nodes[0], "not a key"), CLAIM_UNKNOWN);
  ops->permit (ops, 0x99, claim_hash_key (pl_str (KEY_UNKNOWN_WITNESS)), 1);
  CU_ASSERT (
      WAIT_FOR (g_atomic_int_get (&nodes[0].disp.permits_refused) == 2));
  int64_t before = pl_counter (PL_CTR_PEER_MESSAGES_SENT_TOTAL);
  for (unsigned i = 0; i < 1000; i++)
    ops->permit (ops, 0x22, (struct claim_key_hash){ 7, i }, 1);
  CU_ASSERT (
      WAIT_FOR (g_atomic_int_get (&nodes[0].disp.permits_granted) == 1001));
  int64_t messages = pl_counter (PL_CTR_PEER_MESSAGES_SENT_TOTAL) - before;
  CU_ASSERT (messages < 500); /* batched */
  node_stop (&nodes[1]);
  ops->permit (ops, 0x22, claim_hash_key (pl_str (KEY_UNKNOWN_WITNESS)), 1);
  CU_ASSERT (
      WAIT_FOR (g_atomic_int_get (&nodes[0].disp.permits_refused) == 3));
  node_stop (&nodes[0]);
}

struct answer
{
  gint state; /* 1: reply, 2: null */
  char text[256];
};

static void
on_answer (struct job_reply *reply, void *user)
{
  struct answer *answer = user;
  if (reply != NULL)
    g_snprintf (answer->text, sizeof answer->text, "%d %d %.*s", reply->code,
                (int)reply->retry_after_ms,
                (int)g_bytes_get_size (reply->body),
                (const char *)g_bytes_get_data (reply->body, NULL));
  g_atomic_int_set (&answer->state, reply != NULL ? 1 : 2);
}

static struct answer
forward (struct node *node, claim_instance_id owner, int64_t timeout_ms)
{
  struct answer answer = { 0 };
  peer_forward (node->peer, owner, "POST", pl_str ("/v1/jobs"), pl_str ("k"),
                pl_str ("{}"), timeout_ms, on_answer, &answer);
  CU_ASSERT (WAIT_FOR (g_atomic_int_get (&answer.state) != 0));
  return answer;
}

/* Guards against replies that belong to another request or that the owner
   never sent, and against callers that wait for an owner that has stopped.  */
static void
test_forward (void)
{
  struct node nodes[2];
  start_pair (nodes);
  struct answer answer = forward (&nodes[0], 0x22, 2000);
  CU_ASSERT_STRING_EQUAL (answer.text, "202 77 POST /v1/jobs k {}");
  CU_ASSERT_EQUAL (forward (&nodes[0], 0x99, 2000).state, 2);
  g_atomic_int_set (&nodes[1].silent, 1);
  CU_ASSERT_EQUAL (forward (&nodes[0], 0x22, 50).state, 2);
  struct answer late = { 0 };
  peer_forward (nodes[0].peer, 0x22, "GET", pl_str ("/x"), pl_str ("k"),
                pl_str (""), 60000, on_answer, &late);
  g_usleep (20000);
  node_stop (
      &nodes[1]); /* replies to both forwards after its links are freed */
  CU_ASSERT (WAIT_FOR (g_atomic_int_get (&late.state) == 2));
  node_stop (&nodes[0]);
}

/* Sends DATA over a raw DEALER in one frame; TWO_FRAMES: in two frames with
   the same content.  */
static void
send_raw (const struct node *node, const void *data, size_t len,
          bool two_frames)
{
  char text[PL_ADDR_TEXT];
  int linger = 1000;
  void *ctx = zmq_ctx_new ();
  void *sock = zmq_socket (ctx, ZMQ_DEALER);
  g_autofree char *endpoint
      = g_strdup_printf ("tcp://%s", pl_addr_text (node->addr, text));
  zmq_setsockopt (sock, ZMQ_LINGER, &linger, sizeof linger);
  CU_ASSERT_EQUAL (zmq_connect (sock, endpoint), 0);
  if (two_frames)
    zmq_send (sock, data, len, ZMQ_SNDMORE);
  zmq_send (sock, data, len, 0);
  zmq_close (sock);
  zmq_ctx_term (ctx);
}

static int64_t
dropped_count (void)
{
  return pl_counter (PL_CTR_PEER_MESSAGES_DROPPED_TOTAL);
}

/* Guards against effects of messages that no correct instance sends: random
   bytes, oversized ones, ones of several frames, of unknown senders and to
   former incarnations.  */
static void
test_bad_frames_are_dropped (void)
{
  struct node nodes[2];
  start_pair (nodes);
  static char big[70000];
  int64_t before = dropped_count ();
  send_raw (&nodes[0], "\xff\xff\xff", 3, false);
  CU_ASSERT (WAIT_FOR (dropped_count () == before + 1));
  send_raw (&nodes[0], big, sizeof big, false);
  CU_ASSERT (WAIT_FOR (dropped_count () == before + 2));
  send_raw (&nodes[0], "x", 1, true);
  CU_ASSERT (WAIT_FOR (dropped_count () == before + 3));
  Msg__Leave leave = MSG__LEAVE__INIT;
  Msg__Envelope e = MSG__ENVELOPE__INIT;
  e.body_case = MSG__ENVELOPE__BODY_LEAVE;
  e.leave = &leave;
  e.from = 0x99;
  e.to = 0x11;
  g_autoptr (GBytes) stranger = msg_pack (&e, MSG_CONTROL);
  send_raw (&nodes[0], g_bytes_get_data (stranger, NULL),
            g_bytes_get_size (stranger), false);
  CU_ASSERT (WAIT_FOR (dropped_count () == before + 4));
  e.from = 0x22;
  e.to = 0x10; /* a former incarnation at this address */
  g_autoptr (GBytes) stale = msg_pack (&e, MSG_CONTROL);
  send_raw (&nodes[0], g_bytes_get_data (stale, NULL),
            g_bytes_get_size (stale), false);
  CU_ASSERT (WAIT_FOR (dropped_count () == before + 5));
  CU_ASSERT_EQUAL (count_alive (&nodes[0]), 1);
  node_stop (&nodes[1]);
  node_stop (&nodes[0]);
}

/* A configuration snapshot with N workers.  */
static GBytes *
make_snapshot (unsigned revision, unsigned n)
{
  GString *text = g_string_new (NULL);
  g_string_printf (text, "{\"revision\":%u,\"services\":[],\"teams\":[],",
                   revision);
  g_string_append (text, "\"workers\":[");
  for (unsigned i = 0; i < n; i++)
    g_string_append_printf (text,
                            "%s{\"address\":\"10.0.%u.%u:9000\",\"domain\":"
                            "\"brum\",\"rack\":\"r%u\",\"slots\":8,"
                            "\"memory_mb\":2600,\"added_revision\":%u}",
                            i > 0 ? "," : "", i / 250, i % 250, i / 6,
                            revision);
  g_string_append (text, "]}");
  return g_string_free_to_bytes (text);
}

/* A note that adds N teams.  */
static GBytes *
make_note (unsigned revision, unsigned n)
{
  GString *text = g_string_new (NULL);
  g_string_printf (text, "{\"id\":\"note-%u\",\"base\":%u,\"added\":{",
                   revision, revision - 1);
  g_string_append (text, "\"teams\":[");
  for (unsigned i = 0; i < n; i++)
    g_string_append_printf (text, "%s{\"name\":\"team-%u-%u\",\"weight\":1}",
                            i > 0 ? "," : "", revision, i);
  g_string_append (text, "]}}");
  return g_string_free_to_bytes (text);
}

/* Whether both instances have the same configuration in force.  */
static bool
same_conf (struct node *a, struct node *b)
{
  struct pl_shared *x = pl_rcu_ptr_get (&a->notes);
  struct pl_shared *y = pl_rcu_ptr_get (&b->notes);
  char *left = note_conf_to_json ((struct note_conf *)x);
  char *right = note_conf_to_json ((struct note_conf *)y);
  bool same = strcmp (left, right) == 0;
  free (left);
  free (right);
  pl_shared_unref (x);
  pl_shared_unref (y);
  return same;
}

/* Guards against a revision that is not passed on to the peers, and against a
   snapshot or note that is damaged when it is sent in chunks.  */
static void
test_notes_are_relayed (void)
{
  struct node nodes[2];
  g_autoptr (GBytes) whole = make_snapshot (70, 16000); /* two requests */
  g_autoptr (GBytes) small = make_note (71, 1);
  g_autoptr (GBytes) large = make_note (72, 4000);
  start_pair (nodes);
  peer_offer_snapshot (nodes[0].peer, whole);
  CU_ASSERT (WAIT_FOR (g_atomic_int_get (&nodes[1].revision) == 70));
  CU_ASSERT (same_conf (&nodes[0], &nodes[1]));
  peer_offer_note (nodes[0].peer, 71, small);
  peer_offer_note (nodes[0].peer, 72, large);
  CU_ASSERT (WAIT_FOR (g_atomic_int_get (&nodes[1].revision) == 72));
  CU_ASSERT (same_conf (&nodes[0], &nodes[1]));
  node_stop (&nodes[1]);
  node_stop (&nodes[0]);
}

/* Guards against lent slots that neither or both of two instances count.  */
static void
test_lending (void)
{
  struct node nodes[2];
  start_pair (nodes);
  struct disp_peer_ops *ops = peer_disp_ops (nodes[0].peer);
  const struct disp_worker_slots worker_slots[]
      = { { { 1, 2 }, 3 }, { { 1, 3 }, 4 } };
  ops->borrow (ops, 0x22, 9);
  CU_ASSERT (
      WAIT_FOR (g_atomic_int_get (&nodes[1].disp.slots_requested) == 9));
  struct disp_peer_ops *lender = peer_disp_ops (nodes[1].peer);
  lender->grant (lender, 0x11, worker_slots, 2);
  CU_ASSERT (WAIT_FOR (g_atomic_int_get (&nodes[0].disp.slots_granted) == 7));
  CU_ASSERT (WAIT_FOR (g_atomic_int_get (&nodes[1].disp.slots_held) == 7));
  ops->give_back (ops, 0x22, worker_slots, 1);
  CU_ASSERT (WAIT_FOR (g_atomic_int_get (&nodes[1].disp.slots_returned) == 3));
  CU_ASSERT (WAIT_FOR (g_atomic_int_get (&nodes[1].disp.slots_held) == 4));
  node_stop (&nodes[1]);
  node_stop (&nodes[0]);
}

static claim_instance_id
authority (struct node *node, claim_instance_id owner)
{
  struct memb_view *view = get_view (node);
  claim_instance_id id = memb_authority (view, owner);
  pl_shared_unref (&view->base);
  return id;
}

/* Guards against records lost in a planned stop, and against peers that don't
   learn the heir of the stopped instance.  */
static void
test_hand_over (void)
{
  struct node nodes[3];
  node_start (&nodes[0], 0x11, "brum", NULL);
  CU_ASSERT_FALSE (peer_hand_over (nodes[0].peer, 50)); /* no peers yet */
  node_start (&nodes[1], 0x22, "brum", &nodes[0]);
  node_start (&nodes[2], 0x33, "potteries", &nodes[0]);
  for (int i = 0; i < 3; i++)
    CU_ASSERT (WAIT_FOR (count_alive (&nodes[i]) == 2));
  nodes[0].disp.chunks_to_export = 3;
  peer_set_draining (nodes[0].peer);
  CU_ASSERT (WAIT_FOR (witness_of (&nodes[1]) == 0));
  CU_ASSERT (peer_hand_over (nodes[0].peer, 2000));
  node_stop (&nodes[0]);
  CU_ASSERT (WAIT_FOR (authority (&nodes[2], 0x11) == 0x22));
  CU_ASSERT_EQUAL (authority (&nodes[1], 0x11), 0x22);
  CU_ASSERT_EQUAL (g_atomic_int_get (&nodes[1].disp.owners_inherited), 1);
  CU_ASSERT_EQUAL (nodes[1].disp.imported->len, (size_t)3 * MSG_CHUNK_BYTES);
  /* An inherited owner is handed over with the heir's own records, to an
     instance of another domain if the own one has no other.  */
  CU_ASSERT (peer_hand_over (nodes[1].peer, 2000));
  CU_ASSERT (WAIT_FOR (authority (&nodes[2], 0x11) == 0x33));
  CU_ASSERT (WAIT_FOR (authority (&nodes[2], 0x22) == 0x33));
  node_stop (&nodes[1]);
  node_stop (&nodes[2]);
}

static enum memb_state
state_at (struct node *node, claim_instance_id id)
{
  struct memb_view *view = get_view (node);
  const struct memb_peer *known = memb_find (view, id);
  enum memb_state state = known == NULL ? MEMB_LEFT : known->state;
  pl_shared_unref (&view->base);
  return state;
}

/* Guards against domains that learn of each other only by heartbeats, against
   instances that no digest relay reports, and against a forward that hangs
   because its owner in another domain has stopped.  */
static void
test_domains_meet_by_digests (void)
{
  static const char *const domains[] = { "brum", "potteries", "zona" };
  struct node nodes[12];
  for (int i = 0; i < 12; i++)
    node_start (&nodes[i], 0x11 + (claim_instance_id)i, domains[i / 4],
                i == 0 ? NULL : &nodes[i % 4 == 0 ? 0 : i / 4 * 4]);
  for (int i = 0; i < 12; i++)
    CU_ASSERT (WAIT_FOR (count_alive (&nodes[i]) == 11));
  /* Longer than the suspicion and the dead time of heartbeats: digests keep
     all instances alive, also those that have exchanged no message.  */
  g_usleep (1000000);
  for (int i = 0; i < 12; i++)
    CU_ASSERT_EQUAL (count_alive (&nodes[i]), 11);
  struct answer answer = forward (&nodes[3], 0x1c, 2000);
  CU_ASSERT_EQUAL (answer.state, 1);
  node_stop (&nodes[11]);
  CU_ASSERT_EQUAL (forward (&nodes[3], 0x1c, 200).state, 2);
  CU_ASSERT (WAIT_FOR (state_at (&nodes[3], 0x1c) != MEMB_ALIVE));
  /* Both digest relays of a domain stop at once.  */
  node_stop (&nodes[4]);
  node_stop (&nodes[5]);
  CU_ASSERT (WAIT_FOR (state_at (&nodes[3], 0x15) != MEMB_ALIVE));
  CU_ASSERT (WAIT_FOR (count_alive (&nodes[3]) == 8));
  CU_ASSERT_EQUAL (state_at (&nodes[3], 0x18), MEMB_ALIVE);
  for (int i = 0; i < 11; i++)
    if (i != 4 && i != 5)
      node_stop (&nodes[i]);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "three find each other", test_three_find_each_other },
    { "permit and revoke", test_permit_and_revoke },
    { "forward", test_forward },
    { "bad frames are dropped", test_bad_frames_are_dropped },
    { "notes are relayed", test_notes_are_relayed },
    { "lending", test_lending },
    { "hand-over", test_hand_over },
    { "domains meet by digests", test_domains_meet_by_digests },
    CU_TEST_INFO_NULL,
  };
  pl_log_init ("text", "warning");
  return test_run ("peer", tests);
}

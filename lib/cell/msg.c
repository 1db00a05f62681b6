/* Encoding, sending, decoding and dispatch of messages between instances.  */
#include "cell_priv.h"

struct lease_run_id
cell_decode_run_id (const Cellpb__RunId *id)
{
  return (struct lease_run_id){ id->job, id->index, id->run };
}

struct planner_resources
cell_decode_amount (const Cellpb__Amount *amount)
{
  if (amount == NULL)
    return (struct planner_resources){ 0 };
  return (struct planner_resources){ amount->cpu, amount->mem, amount->gpu };
}

Cellpb__RunId
cell_encode_run_id (const struct lease_run_id *id)
{
  Cellpb__RunId msg = CELLPB__RUN_ID__INIT;
  msg.job = id->job;
  msg.index = id->index;
  msg.run = id->run;
  return msg;
}

Cellpb__Amount
cell_encode_amount (struct planner_resources amount)
{
  Cellpb__Amount msg = CELLPB__AMOUNT__INIT;
  msg.cpu = amount.cpu;
  msg.mem = amount.mem;
  msg.gpu = amount.gpu;
  return msg;
}

static void
send_self (struct cell *cell, const Cellpb__Envelope *env)
{
  size_t len = cellpb__envelope__get_packed_size (env);
  uint8_t *data = g_malloc (len);
  cellpb__envelope__pack (env, data);
  g_queue_push_tail (&cell->inbox, g_bytes_new_take (data, len));
  cell->ops->wake (cell->ctx);
}

GBytes *
cell_pack (struct cell *cell, Cellpb__Envelope *env)
{
  env->sender = cell->id;
  env->sent_us = pl_now_us (cell->clock);
  size_t len = cellpb__envelope__get_packed_size (env);
  uint8_t *data = g_malloc (len);
  cellpb__envelope__pack (env, data);
  return g_bytes_new_take (data, len);
}

static void
send_packed (struct cell *cell, struct peer *peer, GBytes *frame)
{
  gsize len;
  const char *data = g_bytes_get_data (frame, &len);
  pl_count (PL_CTR_PEER_MESSAGES_SENT_TOTAL, 1);
  pl_count (PL_CTR_PEER_BYTES_SENT_TOTAL, (int64_t)len);
  if (peer->domain != cell->domain)
    pl_count (PL_CTR_PEER_BYTES_OTHER_DOMAIN_TOTAL, (int64_t)len);
  cell->ops->send (cell->ctx, peer->link, (struct pl_str){ data, len });
}

void
cell_send_to_peer (struct cell *cell, struct peer *peer, Cellpb__Envelope *env)
{
  g_autoptr (GBytes) frame = cell_pack (cell, env);
  send_packed (cell, peer, frame);
}

void
cell_send_to_all_peers (struct cell *cell, Cellpb__Envelope *env)
{
  g_autoptr (GBytes) frame = cell_pack (cell, env);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->peers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    send_packed (cell, value, frame);
}

void
cell_send (struct cell *cell, uint64_t to, Cellpb__Envelope *env)
{
  env->sender = cell->id;
  if (to == 0)
    {
      cell_send_to_all_peers (cell, env);
      send_self (cell, env);
      return;
    }
  if (to == cell->id)
    {
      send_self (cell, env);
      return;
    }
  struct peer *peer = cell_find_peer (cell, to);
  if (peer != NULL)
    cell_send_to_peer (cell, peer, env);
}

void
cell_send_to_planner (struct cell *cell, Cellpb__Envelope *env)
{
  if (cell->planner_id != 0)
    cell_send (cell, cell->planner_id, env);
}

static void
on_config (struct cell *cell, const Cellpb__Config *msg)
{
  if (msg->version > cell->config_version)
    cell->ops->config (
        cell->ctx, msg->version,
        (struct pl_str){ (const char *)msg->text.data, msg->text.len });
}

static void
on_grant (struct cell *cell, const Cellpb__Grant *msg)
{
  struct owner_placement placement = { msg->worker, msg->holder, msg->token };
  owner_on_grant (cell->jobs, msg->job, msg->index, &placement);
}

void
cell_dispatch (struct cell *cell, uint64_t sender, const Cellpb__Envelope *env)
{
  switch (env->body_case)
    {
    case CELLPB__ENVELOPE__BODY_HEARTBEAT:
      cell_on_heartbeat (cell, env);
      break;
    case CELLPB__ENVELOPE__BODY_ASK:
      cell_on_ask (cell, sender, env->ask);
      break;
    case CELLPB__ENVELOPE__BODY_DROP:
      cell_forget_deferred (cell, env->drop->job, sender);
      planner_remove_job (cell->planner, env->drop->job, sender);
      break;
    case CELLPB__ENVELOPE__BODY_GRANT:
      on_grant (cell, env->grant);
      break;
    case CELLPB__ENVELOPE__BODY_REFUSE:
      cell_on_refuse (cell, env->refuse);
      break;
    case CELLPB__ENVELOPE__BODY_CREDIT_REQUEST:
      cell_on_credit_request (cell, env->credit_request);
      break;
    case CELLPB__ENVELOPE__BODY_CREDIT:
      cell_on_credit (cell, sender, env->credit);
      break;
    case CELLPB__ENVELOPE__BODY_FORWARD:
      cell_on_forward (cell, sender, env->sent_us, env->forward);
      break;
    case CELLPB__ENVELOPE__BODY_RENEW:
      cell_on_renew (cell, sender, env->sent_us, env->renew);
      break;
    case CELLPB__ENVELOPE__BODY_RENEWED:
      cell_on_renewed (cell, sender, env->renewed);
      break;
    case CELLPB__ENVELOPE__BODY_RESULT:
      cell_on_result (cell, sender, env->result);
      break;
    case CELLPB__ENVELOPE__BODY_RELEASE:
      planner_release_grant (cell->planner, env->release->worker,
                             env->release->token, env->release->tag);
      cell->plan_due = true;
      break;
    case CELLPB__ENVELOPE__BODY_START:
      cell_on_start (cell, sender, env->start);
      break;
    case CELLPB__ENVELOPE__BODY_STOP:
      cell_on_stop (cell, sender, env->stop);
      break;
    case CELLPB__ENVELOPE__BODY_ENDED:
      cell_on_ended (cell, sender, env->ended);
      break;
    case CELLPB__ENVELOPE__BODY_CRASHES:
      cell_on_crashes (cell, env->crashes);
      break;
    case CELLPB__ENVELOPE__BODY_WORKER_STATE:
      cell_on_worker_state (cell, env->worker_state);
      break;
    case CELLPB__ENVELOPE__BODY_REGISTRY:
      cell_on_registry (cell, env->registry);
      break;
    case CELLPB__ENVELOPE__BODY_ROOM:
      cell_on_room (cell, sender, env->room);
      break;
    case CELLPB__ENVELOPE__BODY_FIND:
      cell_on_find (cell, sender, env->find);
      break;
    case CELLPB__ENVELOPE__BODY_FOUND:
      cell_on_found (cell, sender, env->found);
      break;
    case CELLPB__ENVELOPE__BODY_CANCELS:
      cell_on_cancels (cell, env->cancels);
      break;
    case CELLPB__ENVELOPE__BODY_TAKEN:
      cell_on_taken (cell, sender, env->taken);
      break;
    case CELLPB__ENVELOPE__BODY_YIELD:
      cell_on_yield (cell, env->yield);
      break;
    case CELLPB__ENVELOPE__BODY_CONFIG:
      on_config (cell, env->config);
      break;
    default:
      pl_log (PL_EV_MSG_BAD, "from=%016" PRIx64 " reason=body bytes=0",
              sender);
    }
}

/* Whether the sender has opened another link since.  Its messages on the
   former one may have been taken for lost, and are not handled any more.
   Records a new link.  */
static bool
is_superseded (struct cell *cell, uint64_t *link_peer, uint64_t sender)
{
  struct peer *peer = cell_find_peer (cell, sender);
  bool is_new = *link_peer == 0;
  *link_peer = sender;
  if (peer == NULL)
    return false; /* its first heartbeat, which adds it */
  if (!is_new)
    return peer->link_in != NULL && peer->link_in != link_peer;
  peer->link_in = link_peer;
  cell_on_peer_link_replaced (cell, peer);
  return false;
}

void
cell_receive_frame (struct cell *cell, uint64_t *link_peer,
                    struct pl_str frame)
{
  Cellpb__Envelope *env = cellpb__envelope__unpack (
      NULL, frame.len, (const uint8_t *)frame.data);
  /* All frames of a link come from the process that has opened it.  */
  if (env == NULL || !cell_is_valid (env)
      || (*link_peer != 0 && *link_peer != env->sender))
    {
      pl_count (PL_CTR_PEER_MESSAGES_DROPPED_TOTAL, 1);
      pl_log (PL_EV_MSG_BAD, "from=%016" PRIx64 " reason=malformed bytes=%zu",
              *link_peer, frame.len);
      if (env != NULL)
        cellpb__envelope__free_unpacked (env, NULL);
      return;
    }
  if (is_superseded (cell, link_peer, env->sender))
    {
      pl_count (PL_CTR_PEER_MESSAGES_DROPPED_TOTAL, 1);
      pl_log (PL_EV_MSG_BAD, "from=%016" PRIx64 " reason=superseded bytes=%zu",
              env->sender, frame.len);
      cellpb__envelope__free_unpacked (env, NULL);
      return;
    }
  if (cell_detect_stale_frame (cell, env->sender, env->sent_us))
    {
      pl_count (PL_CTR_FRAMES_STALE_TOTAL, 1);
      pl_log (PL_EV_MSG_BAD, "from=%016" PRIx64 " reason=stale bytes=%zu",
              env->sender, frame.len);
    }
  else
    cell_dispatch (cell, env->sender, env);
  cellpb__envelope__free_unpacked (env, NULL);
  cell->ops->wake (cell->ctx);
}

/* Membership, leaving workers, and the hand-over of records to the heir.  */
#include "disp_in.h"

/* Informs the peers, since only this instance has received the header of the
   worker's answer, and the platform's list may reach only some instances.  */
void
disp_mark_leaving (struct disp *disp, struct pl_addr addr, const char *source)
{
  struct disp_peer_ops *peers = disp->opts.peers;
  if (slot_mark_leaving (disp->slots, addr, source) && peers->leaving != NULL)
    peers->leaving (peers, addr, slot_revision (disp->slots));
}

static void
peer_reports_leaving (struct disp *disp, struct disp_msg *msg)
{
  slot_mark_leaving_by_peer (disp->slots, msg->addr, msg->revision);
}

void
disp_peer_reports_leaving (struct disp *disp, struct pl_addr addr,
                           int64_t revision)
{
  struct disp_msg *msg = disp_msg_new (disp, peer_reports_leaving);
  msg->addr = addr;
  msg->revision = revision;
  disp_post (disp, msg);
}

static void
worker_leaving (struct disp *disp, struct disp_msg *msg)
{
  /* Only a newer configuration makes a leaving worker usable again.  */
  if (msg->flag)
    disp_mark_leaving (disp, msg->addr, "platform");
}

void
disp_worker_leaving (struct disp *disp, struct pl_addr addr, bool is_leaving)
{
  struct disp_msg *msg = disp_msg_new (disp, worker_leaving);
  msg->addr = addr;
  msg->flag = is_leaving;
  disp_post (disp, msg);
}

static void
view_changed (struct disp *disp, struct disp_msg *msg)
{
  (void)msg;
  disp_load_snapshots (disp);
}

void
disp_view_changed (struct disp *disp)
{
  disp_post (disp, disp_msg_new (disp, view_changed));
}

static void
stop_accepting (struct disp *disp, struct disp_msg *msg)
{
  if (disp->unfinished > 0 && !msg->flag)
    return;
  disp->closed = true;
  g_mutex_lock (&disp->lock);
  disp->status.closed = true;
  disp->status.unfinished_jobs = disp->unfinished;
  g_mutex_unlock (&disp->lock);
}

void
disp_stop_accepting (struct disp *disp, bool force)
{
  struct disp_msg *msg = disp_msg_new (disp, stop_accepting);
  msg->flag = force;
  disp_post (disp, msg);
}

static void export(struct disp *disp, struct disp_msg *msg)
{
  /* The heir answers "not run" for keys that are not in the export, so none
     may be recorded after it.  */
  disp->closed = true;
  claim_export (disp->claims, msg->max_bytes, msg->exported, msg->user);
  msg->exported (NULL, msg->user);
}

void
disp_export (struct disp *disp, size_t max_bytes,
             void (*exported) (GBytes *chunk, void *user), void *user)
{
  struct disp_msg *msg = disp_msg_new (disp, export);
  msg->max_bytes = max_bytes;
  msg->exported = exported;
  msg->user = user;
  disp_post (disp, msg);
}

static void
import (struct disp *disp, struct disp_msg *msg)
{
  size_t len;
  const char *data = g_bytes_get_data (msg->chunk, &len);
  struct pl_str chunk = { .data = data, .len = len };
  if (!claim_import (disp->claims, chunk))
    pl_log (PL_EV_MSG_BAD,
            "from=peer reason=\"bad hand-over chunk\" bytes=%zu", len);
}

void
disp_import (struct disp *disp, GBytes *chunk)
{
  struct disp_msg *msg = disp_msg_new (disp, import);
  msg->chunk = g_bytes_ref (chunk);
  disp_post (disp, msg);
}

static void
inherit (struct disp *disp, struct disp_msg *msg)
{
  claim_inherit (disp->claims, msg->peer);
}

void
disp_inherit (struct disp *disp, claim_instance_id owner)
{
  struct disp_msg *msg = disp_msg_new (disp, inherit);
  msg->peer = owner;
  disp_post (disp, msg);
}

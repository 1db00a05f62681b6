/* Messages to the dispatch thread.  */
#include "disp_in.h"

static void
handle_msg (struct pl_mbox_item *item, void *owner)
{
  struct disp_msg *msg = (struct disp_msg *)item;
  msg->handler (owner, msg);
  if (msg->req != NULL)
    job_req_unref (msg->req);
  if (msg->chunk != NULL)
    g_bytes_unref (msg->chunk);
  g_free (msg->key);
  g_free (msg->list);
  g_free (msg);
}

struct disp_msg *
disp_msg_new (struct disp *disp,
              void (*handler) (struct disp *disp, struct disp_msg *msg))
{
  struct disp_msg *msg = g_new0 (struct disp_msg, 1);
  msg->base.run = handle_msg;
  msg->handler = handler;
  msg->posted_us = disp_now (disp);
  return msg;
}

void
disp_post (struct disp *disp, struct disp_msg *msg)
{
  pl_mbox_post (disp->mbox, &msg->base);
}

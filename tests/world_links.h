/* Links between the instances of the emulated deployment: connecting, cuts,
   and the delivery of frames.  */
#pragma once

#include "world_calls.h"

static inline int
world_instance_at (struct world *world, struct pl_addr addr)
{
  int index = (int)(addr.ip & 0xffff) - 1;
  return index >= 0 && index < world->n_instances ? index : -1;
}

static inline struct pl_addr
world_addr (int index)
{
  return (struct pl_addr){ 0x0a000000u + (uint32_t)index + 1, 7000 };
}

static inline void
world_try_link (struct world *world, struct world_event *event)
{
  struct cell *cell = world_cell (world, event->from, event->incarnation);
  if (cell == NULL)
    return;
  struct world_instance *in = &world->instances[event->from];
  struct world_link *link
      = g_ptr_array_index (in->links, (guint)event->wait_ms);
  if (event->attempt != link->attempt)
    return;
  struct world_instance *to = &world->instances[event->to];
  bool cut = world->cut[event->from][event->to]
             || world->cut[event->to][event->from];
  if (to->cell != NULL && !cut)
    {
      link->up = true;
      to->link_peers[event->from] = g_new0 (uint64_t, 1);
      g_ptr_array_add (world->link_peers, to->link_peers[event->from]);
      cell_outgoing_link_up (cell, link);
      world_process_queued (world, event->from);
      return;
    }
  if (cut && world->cut_refuses)
    cell_outgoing_link_down (cell, link, true);
  struct world_event *again = g_memdup2 (event, sizeof *event);
  again->at_us = world_now (world) + WORLD_RECONNECT_US
                 + (cut && !world->cut_refuses ? WORLD_CONNECT_TIMEOUT_US : 0);
  again->seq = world->seq++;
  world_schedule (world, again);
}

static void
world_open_link (struct world *world, struct world_instance *in, guint index)
{
  struct world_link *link = g_ptr_array_index (in->links, index);
  if (world_instance_at (world, link->addr) < 0)
    return; /* no machine has this address */
  struct world_event *event
      = world_new_event (world, world_random_delay (world), world_try_link);
  event->from = in->index;
  event->to = world_instance_at (world, link->addr);
  event->incarnation = in->incarnation;
  event->wait_ms = (int)index;
  event->attempt = ++link->attempt;
  world_schedule (world, event);
}

static void
world_on_reconnect (void *ctx, void *opaque)
{
  struct world_instance *in = ctx;
  struct world_link *link = opaque;
  guint index;
  if (!link->up && g_ptr_array_find (in->links, link, &index))
    world_open_link (in->world, in, index);
}

static void *
world_on_connect (void *ctx, struct pl_addr addr)
{
  struct world_instance *in = ctx;
  struct world_link *link = g_new0 (struct world_link, 1);
  link->world = in->world;
  link->from = in->index;
  link->addr = addr;
  g_ptr_array_add (in->links, link);
  world_open_link (in->world, in, in->links->len - 1);
  return link;
}

static void
world_on_disconnect (void *ctx, void *link)
{
  (void)ctx;
  ((struct world_link *)link)->up = false;
}

static inline void
world_frame_arrives (struct world *world, struct world_event *event)
{
  struct world_instance *to = &world->instances[event->to];
  if (world->cut[event->from][event->to] || to->frozen)
    {
      if (!world->delay_cut_frames && !to->frozen)
        return;
      struct world_event *delayed = g_memdup2 (event, sizeof *event);
      delayed->frame = g_bytes_ref (event->frame);
      g_ptr_array_add (world->delayed_frames, delayed);
      return;
    }
  if (to->cell == NULL || to->incarnation != event->incarnation)
    return;
  gsize len;
  const char *data = g_bytes_get_data (event->frame, &len);
  cell_receive_frame (to->cell, to->link_peers[event->from],
                      (struct pl_str){ data, len });
  world_process_queued (world, event->to);
}

static void
world_on_send (void *ctx, void *opaque, struct pl_str frame)
{
  struct world_instance *in = ctx;
  struct world_link *link = opaque;
  if (!link->up)
    return;
  struct world *world = in->world;
  int to = world_instance_at (world, link->addr);
  struct world_event *event = world_new_event (
      world, WORLD_FRAME_DELAY_US + world->link_delay_us, world_frame_arrives);
  event->from = in->index;
  event->to = to;
  event->incarnation = world->instances[to].incarnation;
  event->frame = g_bytes_new (frame.data, frame.len);
  world->frames++;
  if (world->on_frame != NULL)
    world->on_frame (world, event->frame);
  world_schedule (world, event);
}

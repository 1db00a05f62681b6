/* A replacement of lib/disp for the tests of lib/peer: it counts the events
   that it gets from the links.  The objects of lib/disp are not linked.  */
#pragma once

#include "disp.h"

#include <stdio.h>
#include <string.h>

/* All counts are atomic.  */
struct disp
{
  gint permits_granted;
  gint permits_refused;
  gint peers_lost;
  gint peers_dead;
  gint slots_requested;
  gint slots_granted;
  gint slots_returned;
  gint slots_held;
  gint owners_inherited;
  gint chunks_to_export; /* chunks that disp_export passes to its callback */
  GMutex lock;
  GString *imported; /* under the lock */
};

void
disp_permit_result (struct disp *disp, struct claim_key_hash hash,
                    bool granted)
{
  (void)hash;
  g_atomic_int_add (granted ? &disp->permits_granted : &disp->permits_refused,
                    1);
}

void
disp_peer_lost (struct disp *disp, claim_instance_id peer)
{
  (void)peer;
  g_atomic_int_add (&disp->peers_lost, 1);
}

void
disp_peer_dead (struct disp *disp, claim_instance_id peer)
{
  (void)peer;
  g_atomic_int_add (&disp->peers_dead, 1);
}

void
disp_slots_requested (struct disp *disp, claim_instance_id peer, unsigned n)
{
  (void)peer;
  g_atomic_int_set (&disp->slots_requested, (gint)n);
}

static unsigned
sum_slots (const struct disp_worker_slots *slots, unsigned n)
{
  unsigned total = 0;
  for (unsigned i = 0; i < n; i++)
    total += slots[i].count;
  return total;
}

void
disp_slots_granted (struct disp *disp, claim_instance_id peer,
                    const struct disp_worker_slots *slots, unsigned n)
{
  (void)peer;
  g_atomic_int_add (&disp->slots_granted, (gint)sum_slots (slots, n));
}

void
disp_slots_returned (struct disp *disp, claim_instance_id peer,
                     const struct disp_worker_slots *slots, unsigned n)
{
  (void)peer;
  g_atomic_int_add (&disp->slots_returned, (gint)sum_slots (slots, n));
}

void
disp_slots_held (struct disp *disp, claim_instance_id peer, unsigned total)
{
  (void)peer;
  g_atomic_int_set (&disp->slots_held, (gint)total);
}

void
disp_peer_reports_leaving (struct disp *disp, struct pl_addr addr,
                           int64_t revision)
{
  (void)disp;
  (void)addr;
  (void)revision;
}

void
disp_view_changed (struct disp *disp)
{
  (void)disp;
}

void
disp_export (struct disp *disp, size_t max_bytes,
             void (*exported) (GBytes *chunk, void *user), void *user)
{
  for (gint i = 0; i < disp->chunks_to_export; i++)
    {
      char *text = g_malloc (max_bytes);
      memset (text, 'a' + i, max_bytes);
      g_autoptr (GBytes) chunk = g_bytes_new_take (text, max_bytes);
      exported (chunk, user);
    }
  exported (NULL, user);
}

void
disp_import (struct disp *disp, GBytes *chunk)
{
  g_mutex_lock (&disp->lock);
  if (disp->imported == NULL)
    disp->imported = g_string_new (NULL);
  g_string_append_len (disp->imported, g_bytes_get_data (chunk, NULL),
                       (gssize)g_bytes_get_size (chunk));
  g_mutex_unlock (&disp->lock);
}

void
disp_inherit (struct disp *disp, claim_instance_id owner)
{
  (void)owner;
  g_atomic_int_add (&disp->owners_inherited, 1);
}

void
disp_get_status (struct disp *disp, struct disp_status *out)
{
  (void)disp;
  *out = (struct disp_status){ .epoch = 3, .free_slots = 8 };
}

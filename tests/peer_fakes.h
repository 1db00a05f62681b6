/* A dispatch thread that only records what the links tell it.  It takes the
   place of lib/disp, whose objects are then not linked.  */
#pragma once

#include "disp.h"

#include <stdio.h>
#include <string.h>

/* A dispatch thread that only records; the counts are atomic.  */
struct disp
{
  gint granted;
  gint refused;
  gint lost;
  gint dead;
  gint borrow;
  gint lots;
  gint returned;
  gint held;
  gint inherited;
  gint exports; /* chunks that disp_export gives */
  GMutex lock;
  GString *imported; /* under the lock */
};

void
disp_permit_result (struct disp *disp, struct claim_key_hash hash,
                    bool granted)
{
  (void)hash;
  g_atomic_int_add (granted ? &disp->granted : &disp->refused, 1);
}

void
disp_peer_lost (struct disp *disp, claim_instance_id peer)
{
  (void)peer;
  g_atomic_int_add (&disp->lost, 1);
}

void
disp_peer_dead (struct disp *disp, claim_instance_id peer)
{
  (void)peer;
  g_atomic_int_add (&disp->dead, 1);
}

void
disp_slots_requested (struct disp *disp, claim_instance_id peer, unsigned n)
{
  (void)peer;
  g_atomic_int_set (&disp->borrow, (gint)n);
}

static unsigned
fake_total (const struct disp_worker_slots *lots, unsigned n)
{
  unsigned total = 0;
  for (unsigned i = 0; i < n; i++)
    total += lots[i].count;
  return total;
}

void
disp_slots_granted (struct disp *disp, claim_instance_id peer,
                    const struct disp_worker_slots *lots, unsigned n)
{
  (void)peer;
  g_atomic_int_add (&disp->lots, (gint)fake_total (lots, n));
}

void
disp_slots_returned (struct disp *disp, claim_instance_id peer,
                     const struct disp_worker_slots *lots, unsigned n)
{
  (void)peer;
  g_atomic_int_add (&disp->returned, (gint)fake_total (lots, n));
}

void
disp_slots_held (struct disp *disp, claim_instance_id peer, unsigned total)
{
  (void)peer;
  g_atomic_int_set (&disp->held, (gint)total);
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
  for (gint i = 0; i < disp->exports; i++)
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
  g_atomic_int_add (&disp->inherited, 1);
}

void
disp_get_status (struct disp *disp, struct disp_status *out)
{
  (void)disp;
  *out = (struct disp_status){ .epoch = 3, .free_slots = 8 };
}

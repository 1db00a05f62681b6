/* Private to lib/entry.  */
#pragma once

#include "disp.h"
#include "entry.h"
#include "http.h"
#include "peer.h"
#include "plat.h"

struct entry
{
  struct http_ops http_ops;      /* called by lib/http */
  struct peer_ops peer_ops;      /* called by lib/peer */
  struct plat_feed_ops feed_ops; /* called by lib/plat */
  const struct conf *conf;
  struct pl_clock *clock;
  claim_instance_id self;
  struct pl_rcu_ptr note_conf_ptr;
  struct pl_rcu_ptr memb_view_ptr;
  struct peer *peer;
  struct disp *disp;
  struct http *http;
  struct plat_feed *feed; /* null without a platform; under LOCK, since the
                             control thread starts before the feed and ends
                             after it */
  /* Addresses of the workers that the platform's list called leaving when it
     was last read; of the feed's thread.  */
  GHashTable *leaving_workers;
  GMutex lock;
  GCond drain_requested;
  bool draining;
  bool watching; /* last set by the control thread */
  GArray *seeds; /* struct pl_addr, of the setting peers */
  int64_t started_us;
  gint peers_known; /* atomic; see entry_knows_peers */
};

/* Frees ENTRY and its state once its modules are stopped.  */
void entry_free (struct entry *entry);
/* Serves a request here if this instance is the authority for the key, else
   forwards it to the authority.  FORWARDED says that a peer has forwarded the
   request; it is then not forwarded again.  */
void entry_route (struct entry *entry, bool forwarded, const char *method,
                  struct pl_str path, struct pl_str key,
                  const struct pl_str *body, job_done_fn *done, void *user);
/* Whether this instance has had the time to learn of its peers: all seeds are
   alive, or suspect-ms have passed since the start.  True at once if it has
   neither seeds nor a platform.  */
bool entry_knows_peers (struct entry *entry);
/* Parses the setting peers.  */
void entry_read_seeds (struct entry *entry);
/* Appends the status document of GET /v1/status.  */
void entry_append_status (struct entry *entry, GString *out);

/* Shared by the files of lib/entry.  */
#pragma once

#include "disp.h"
#include "entry.h"
#include "http.h"
#include "peer.h"
#include "plat.h"

struct entry
{
  struct http_ops http_ops;      /* requests of callers and operators */
  struct peer_ops peer_ops;      /* requests forwarded by peers */
  struct plat_feed_ops feed_ops; /* news of the platform */
  const struct conf *conf;
  struct pl_clock *clock;
  claim_id self;
  struct pl_rcu_ptr note_conf_ptr;
  struct pl_rcu_ptr memb_view_ptr;
  struct peer *peer;
  struct disp *disp;
  struct http *http;
  struct plat_feed *feed; /* null without a platform; under the lock, since
                             the control thread starts before it and ends
                             after it */
  GHashTable *leaving;    /* addresses that the list called leaving when it was
                             last read; feed's thread */
  GMutex lock;
  GCond drain_asked;
  bool draining;
  bool watching; /* the role last given by the control thread */
  GArray *seeds; /* struct pl_addr, of the setting peers */
  int64_t started_us;
  gint settled;
};

/* Routes one request to this instance or to the one that vouches for the
   key.  FORWARDED requests are never forwarded again.  */
void entry_route (struct entry *entry, bool forwarded, const char *method,
                  struct pl_str path, struct pl_str key,
                  const struct pl_str *body, job_done_fn *done, void *user);
/* Whether this instance knows its peers: all seeds have been heard, or the
   time after which silence means suspicion has passed since the start.  */
bool entry_settled (struct entry *entry);
void entry_read_seeds (struct entry *entry);
/* Appends the status document of GET /v1/status.  */
void entry_status (struct entry *entry, GString *out);

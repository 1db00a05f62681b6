/* Routes requests: to this instance's dispatch thread if it is the authority
   for the key, else over the relay to the authority.  If that can't be
   reached, the key's witness is asked to revoke the key.  */
#include "impl.h"

#include <string.h>

/* Added to a job's deadline, to leave the owner's reply time to arrive.  */
#define FORWARD_MARGIN_MS 1000
/* Timeout of forwarded lookups and cancellations, and of submissions whose
   deadline can't be read.  */
#define FORWARD_DEFAULT_TIMEOUT_MS 5000

/* A request that waits for its reply.  */
struct pending
{
  struct entry *entry;
  bool revocable;      /* the witness may revoke the key: a submission or a
                          cancellation, not a lookup */
  bool body_too_large; /* of a submission, which is sent as a lookup */
  GString *key;
  claim_instance_id owner;
  job_done_fn *done;
  void *user;
};

static void
count_outcome (enum pl_code code)
{
  switch (pl_code_info (code)->outcome)
    {
    case PL_OUTCOME_NOT_RUN:
      pl_count (PL_CTR_JOBS_NOT_RUN_TOTAL, 1);
      break;
    case PL_OUTCOME_UNKNOWN:
      pl_count (PL_CTR_JOBS_UNKNOWN_TOTAL, 1);
      break;
    default:
      break;
    }
}

static void
refuse (struct pl_str key, enum pl_code code, const char *detail,
        job_done_fn *done, void *user)
{
  pl_log (PL_EV_REFUSE, "key=%.*s code=%s detail=\"%s\"", PL_FMT (key),
          pl_code_info (code)->name, detail);
  count_outcome (code);
  struct job_reply *reply = job_reply_error (key, code, 0, detail, NULL, 0);
  done (reply, user);
  job_reply_unref (reply);
}

static struct pl_str
pending_key (const struct pending *pending)
{
  return (struct pl_str){ .data = pending->key->str,
                          .len = pending->key->len };
}

static void
pending_free (struct pending *pending)
{
  g_string_free (pending->key, TRUE);
  g_free (pending);
}

static void
on_revoked (enum claim_revoke_result result, void *user)
{
  struct pending *pending = user;
  if (result == CLAIM_REVOKED)
    refuse (pending_key (pending), PL_REVOKED,
            "the owner is unreachable, its witness has revoked the key",
            pending->done, pending->user);
  else
    refuse (pending_key (pending), PL_UNKNOWN_OWNER,
            "the owner is unreachable", pending->done, pending->user);
  pending_free (pending);
}

/* The authority for the key is not known or has not replied: only the key's
   witness can still prove that nothing ran.  */
static void
on_owner_unreachable (struct pending *pending)
{
  pl_log (PL_EV_FORWARD_LOST, "key=%s owner=%016" G_GINT64_MODIFIER "x",
          pending->key->str, pending->owner);
  bool peers_known = entry_knows_peers (pending->entry);
  if (!pending->revocable || !peers_known)
    {
      refuse (pending_key (pending), PL_UNKNOWN_OWNER,
              peers_known ? "the owner is unreachable"
                          : "this instance does not know its peers yet",
              pending->done, pending->user);
      pending_free (pending);
      return;
    }
  peer_revoke (pending->entry->peer, pending_key (pending), on_revoked,
               pending);
}

/* A submission whose body is too large is turned into a lookup of its key.  If
   the key is not recorded, this body has not run and never will, since each
   copy of it is too large.  */
static void
on_lookup_for_large_body (struct pending *pending, struct job_reply *reply)
{
  switch (reply->code)
    {
    case PL_NOT_RECORDED:
      refuse (pending_key (pending), PL_BODY_TOO_LARGE,
              "the body is too large", pending->done, pending->user);
      break;
    case PL_UNKNOWN_OWNER:
    case PL_UNKNOWN_FORGOTTEN:
      pending->done (reply, pending->user);
      break;
    default:
      refuse (pending_key (pending), PL_KEY_REUSED,
              "the key was used with another body", pending->done,
              pending->user);
    }
}

static void
on_reply (struct job_reply *reply, void *user)
{
  struct pending *pending = user;
  if (reply == NULL)
    {
      on_owner_unreachable (pending);
      return;
    }
  if (pending->body_too_large)
    on_lookup_for_large_body (pending, reply);
  else
    pending->done (reply, pending->user);
  pending_free (pending);
}

static struct job_req *
parse_submission (struct entry *entry, struct pl_str path, struct pl_str key,
                  struct pl_str body)
{
  struct job_limits limits = {
    .body_bytes = (size_t)entry->conf->body_bytes,
    .tasks = (unsigned)entry->conf->job_tasks,
  };
  struct pl_shared *shared = pl_rcu_ptr_get (&entry->note_conf_ptr);
  struct job_req *req
      = job_req_parse (key, path, body, &limits, (struct note_conf *)shared);
  pl_shared_unref (shared);
  return req;
}

static void
serve_locally (struct entry *entry, const char *method, struct pl_str path,
               struct pending *pending, const struct pl_str *body)
{
  if (strcmp (method, "GET") == 0 || pending->body_too_large)
    disp_lookup (entry->disp, pending_key (pending), on_reply, pending);
  else if (strcmp (method, "DELETE") == 0)
    disp_cancel (entry->disp, pending_key (pending), on_reply, pending);
  else
    {
      struct job_req *req
          = parse_submission (entry, path, pending_key (pending), *body);
      disp_submit (entry->disp, req, on_reply, pending);
      job_req_unref (req);
    }
}

/* The time after which the owner's reply counts as lost.  */
static int64_t
forward_timeout_ms (struct entry *entry, const char *method,
                    struct pl_str path, struct pending *pending,
                    const struct pl_str *body)
{
  if (strcmp (method, "POST") != 0 || pending->body_too_large)
    return FORWARD_DEFAULT_TIMEOUT_MS;
  struct job_req *req
      = parse_submission (entry, path, pending_key (pending), *body);
  int64_t limit_ms = req->parse_err.code == PL_OK
                         ? req->deadline_ms + FORWARD_MARGIN_MS
                         : FORWARD_DEFAULT_TIMEOUT_MS;
  job_req_unref (req);
  return limit_ms;
}

static void
forward (struct entry *entry, claim_instance_id target, const char *method,
         struct pl_str path, struct pending *pending,
         const struct pl_str *body)
{
  pl_log (PL_EV_FORWARD, "key=%s owner=%016" G_GINT64_MODIFIER "x",
          pending->key->str, target);
  pl_count (PL_CTR_JOBS_FORWARDED_TOTAL, 1);
  int64_t timeout_ms = forward_timeout_ms (entry, method, path, pending, body);
  const char *sent_method = pending->body_too_large ? "GET" : method;
  struct pl_str content
      = pending->body_too_large || body == NULL ? pl_str ("") : *body;
  peer_forward (entry->peer, target, sent_method, path, pending_key (pending),
                content, timeout_ms, on_reply, pending);
}

/* The authority for the keys of OWNER: OWNER itself, or the heir of its
   records; 0 if none is known.  */
static claim_instance_id
find_authority (struct entry *entry, claim_instance_id owner)
{
  if (owner == entry->self)
    return owner;
  struct pl_shared *shared = pl_rcu_ptr_get (&entry->memb_view_ptr);
  if (shared == NULL)
    return 0;
  claim_instance_id id = memb_authority ((struct memb_view *)shared, owner);
  pl_shared_unref (shared);
  return id;
}

void
entry_route (struct entry *entry, bool forwarded, const char *method,
             struct pl_str path, struct pl_str key, const struct pl_str *body,
             job_done_fn *done, void *user)
{
  struct claim_key parts;
  struct pl_err err = { 0 };
  if (!claim_key_parse (key, &parts, &err))
    {
      refuse (key, err.code, err.text, done, user);
      return;
    }
  bool revocable = strcmp (method, "GET") != 0;
  struct pending *pending = g_new (struct pending, 1);
  *pending = (struct pending){
    .entry = entry,
    .revocable = revocable,
    .body_too_large = strcmp (method, "POST") == 0 && body == NULL,
    .key = g_string_new_len (key.data, (gssize)key.len),
    .owner = parts.owner,
    .done = done,
    .user = user,
  };
  claim_instance_id target = find_authority (entry, parts.owner);
  if (target == entry->self)
    serve_locally (entry, method, path, pending, body);
  else if (target == 0 || forwarded)
    on_owner_unreachable (pending);
  else
    forward (entry, target, method, path, pending, body);
}

/* Routing of requests: to the own dispatch thread, to the owner over the
   relay, or to the witness if the owner can't be reached.  */
#include "impl.h"

#include <string.h>

/* Added to a job's deadline before a forwarded submission counts as lost.  */
#define FORWARD_MARGIN_MS 1000
/* Limit for forwarded lookups and cancellations, and for submissions whose
   deadline can't be read.  */
#define FORWARD_SHORT_MS 5000

/* A request on its way.  */
struct hop
{
  struct entry *entry;
  bool submits; /* a submission or cancellation may be revoked, a lookup not */
  bool too_large;
  GString *key;
  claim_id owner;
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
hop_key (const struct hop *hop)
{
  return (struct pl_str){ .data = hop->key->str, .len = hop->key->len };
}

static void
hop_free (struct hop *hop)
{
  g_string_free (hop->key, TRUE);
  g_free (hop);
}

static void
on_revoked (enum claim_revoked result, void *user)
{
  struct hop *hop = user;
  if (result == CLAIM_REVOKED)
    refuse (hop_key (hop), PL_REVOKED,
            "the owner is unreachable, its witness has revoked the key",
            hop->done, hop->user);
  else
    refuse (hop_key (hop), PL_UNKNOWN_OWNER, "the owner is unreachable",
            hop->done, hop->user);
  hop_free (hop);
}

/* The owner gave no answer.  Only its witness can still prove that nothing
   ran.  */
static void
owner_unreachable (struct hop *hop)
{
  pl_log (PL_EV_FORWARD_LOST, "key=%s owner=%016" G_GINT64_MODIFIER "x",
          hop->key->str, hop->owner);
  bool settled = entry_settled (hop->entry);
  if (!hop->submits || !settled)
    {
      refuse (hop_key (hop), PL_UNKNOWN_OWNER,
              settled ? "the owner is unreachable"
                      : "this instance does not know its peers yet",
              hop->done, hop->user);
      hop_free (hop);
      return;
    }
  peer_revoke (hop->entry->peer, hop_key (hop), on_revoked, hop);
}

/* A lookup made on behalf of a body that was too large: nothing recorded
   means that this body never ran and never will, since each copy of it is too
   large.  */
static void
answer_too_large (struct hop *hop, struct job_reply *reply)
{
  switch (reply->code)
    {
    case PL_NOT_RECORDED:
      refuse (hop_key (hop), PL_BODY_TOO_LARGE, "the body is too large",
              hop->done, hop->user);
      break;
    case PL_UNKNOWN_OWNER:
    case PL_UNKNOWN_FORGOTTEN:
      hop->done (reply, hop->user);
      break;
    default:
      refuse (hop_key (hop), PL_KEY_REUSED,
              "the key was used with another body", hop->done, hop->user);
    }
}

static void
on_reply (struct job_reply *reply, void *user)
{
  struct hop *hop = user;
  if (reply == NULL)
    {
      owner_unreachable (hop);
      return;
    }
  if (hop->too_large)
    answer_too_large (hop, reply);
  else
    hop->done (reply, hop->user);
  hop_free (hop);
}

static struct job_req *
parse (struct entry *entry, struct pl_str path, struct pl_str key,
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
serve_here (struct entry *entry, const char *method, struct pl_str path,
            struct hop *hop, const struct pl_str *body)
{
  if (strcmp (method, "GET") == 0 || hop->too_large)
    disp_lookup (entry->disp, hop_key (hop), on_reply, hop);
  else if (strcmp (method, "DELETE") == 0)
    disp_cancel (entry->disp, hop_key (hop), on_reply, hop);
  else
    {
      struct job_req *req = parse (entry, path, hop_key (hop), *body);
      disp_submit (entry->disp, req, on_reply, hop);
      job_req_unref (req);
    }
}

/* The time after which a forwarded request counts as lost.  */
static int64_t
forward_limit_ms (struct entry *entry, const char *method, struct pl_str path,
                  struct hop *hop, const struct pl_str *body)
{
  if (strcmp (method, "POST") != 0 || hop->too_large)
    return FORWARD_SHORT_MS;
  struct job_req *req = parse (entry, path, hop_key (hop), *body);
  int64_t limit = req->parse_err.code == PL_OK
                      ? req->deadline_ms + FORWARD_MARGIN_MS
                      : FORWARD_SHORT_MS;
  job_req_unref (req);
  return limit;
}

static void
forward (struct entry *entry, claim_id to, const char *method,
         struct pl_str path, struct hop *hop, const struct pl_str *body)
{
  pl_log (PL_EV_FORWARD, "key=%s owner=%016" G_GINT64_MODIFIER "x",
          hop->key->str, to);
  pl_count (PL_CTR_JOBS_FORWARDED_TOTAL, 1);
  int64_t limit_ms = forward_limit_ms (entry, method, path, hop, body);
  const char *sent = hop->too_large ? "GET" : method;
  struct pl_str content = hop->too_large || body == NULL ? pl_str ("") : *body;
  peer_forward (entry->peer, to, sent, path, hop_key (hop), content, limit_ms,
                on_reply, hop);
}

/* The instance that vouches for the key's owner now, 0 if none is known.  */
static claim_id
authority (struct entry *entry, claim_id owner)
{
  if (owner == entry->self)
    return owner;
  struct pl_shared *shared = pl_rcu_ptr_get (&entry->memb_view_ptr);
  if (shared == NULL)
    return 0;
  claim_id id = memb_authority ((struct memb_view *)shared, owner);
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
  bool submits = strcmp (method, "GET") != 0;
  struct hop *hop = g_new (struct hop, 1);
  *hop = (struct hop){
    .entry = entry,
    .submits = submits,
    .too_large = strcmp (method, "POST") == 0 && body == NULL,
    .key = g_string_new_len (key.data, (gssize)key.len),
    .owner = parts.owner,
    .done = done,
    .user = user,
  };
  claim_id to = authority (entry, parts.owner);
  if (to == entry->self)
    serve_here (entry, method, path, hop, body);
  else if (to == 0 || forwarded)
    owner_unreachable (hop);
  else
    forward (entry, to, method, path, hop, body);
}

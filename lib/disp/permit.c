/* Permits: a job whose key names a witness, another instance, starts only
   after the witness has permitted the key.  The witness refuses a key that it
   has revoked.  */
#include "disp_in.h"

void
disp_request_permit (struct disp *disp, struct disp_job *job)
{
  job->permit_resend_us
      = disp_now (disp) + disp->opts.conf->permit_resend_ms * 1000;
  disp->opts.peers->permit (disp->opts.peers, job->witness, job->hash,
                            job->epoch);
}

static void
permit_result (struct disp *disp, struct disp_msg *msg)
{
  struct disp_job *job = g_hash_table_lookup (disp->permits, &msg->hash);
  if (job == NULL)
    return;
  if (!msg->flag)
    {
      disp_abort_job (disp, job, PL_NO_PERMIT, "the witness refused", true);
      return;
    }
  g_hash_table_remove (disp->permits, &job->hash);
  job->permitted = true;
  sched_mark_ready (disp->sched, &job->base);
  disp_arm_timer (disp, job);
}

void
disp_permit_result (struct disp *disp, struct claim_key_hash hash,
                    bool granted)
{
  struct disp_msg *msg = disp_msg_new (disp, permit_result);
  msg->hash = hash;
  msg->flag = granted;
  disp_post (disp, msg);
}

static void
peer_lost (struct disp *disp, struct disp_msg *msg)
{
  g_autoptr (GPtrArray) jobs = g_ptr_array_new ();
  GHashTableIter it;
  void *value;
  g_hash_table_iter_init (&it, disp->permits);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (((struct disp_job *)value)->witness == msg->peer)
      g_ptr_array_add (jobs, value);
  for (unsigned i = 0; i < jobs->len; i++)
    disp_abort_job (disp, jobs->pdata[i], PL_NO_PERMIT, "the witness is lost",
                    true);
}

void
disp_peer_lost (struct disp *disp, claim_instance_id peer)
{
  struct disp_msg *msg = disp_msg_new (disp, peer_lost);
  msg->peer = peer;
  disp_post (disp, msg);
}

/* Random runs of the dispatcher.  A model records what happens to each task
   and to each slot; the replies and the use of slots are compared with it.  */
#pragma once

#include "disp_fixture.h"

#define STEPS 20000

enum task_state
{
  TASK_NEW,
  TASK_RUNNING,
  TASK_NOT_STARTED, /* not sent, or refused with a repeatable kind */
  TASK_ENDED,
};

struct model
{
  GHashTable *task_states; /* input to enum task_state */
  GRand *rand;
  unsigned running[MAX_WORKERS];
  int lent[MAX_WORKERS];
  int borrowed[MAX_WORKERS];
  unsigned starts;
  unsigned double_starts;
  unsigned overused_slots;
  struct fixture *fixture;
};

static struct model *model;

static char *
input_of (const struct run_task *task)
{
  gsize len;
  const char *data = g_bytes_get_data (task->input, &len);
  return g_strndup (data, len);
}

static void
random_start (struct disp_run_ops *ops, struct run_task *task)
{
  struct fixture *f = (struct fixture *)ops;
  char *input = input_of (task);
  int task_state
      = GPOINTER_TO_INT (g_hash_table_lookup (model->task_states, input));
  model->starts++;
  model->double_starts
      += task_state != TASK_NEW && task_state != TASK_NOT_STARTED;
  g_hash_table_replace (model->task_states, input,
                        GINT_TO_POINTER (TASK_RUNNING));
  unsigned w = task->addr.port - 9000U;
  int own = (int)memb_share (&f->view, SELF, task->addr, SLOTS);
  int held = own - model->lent[w] + model->borrowed[w];
  model->running[w]++;
  model->overused_slots += (int)model->running[w] > held;
  g_ptr_array_add (f->running, task);
}

static void
random_end (struct fixture *f)
{
  if (f->running->len == 0)
    return;
  unsigned i = g_rand_int (model->rand) % f->running->len;
  const struct run_task *task = f->running->pdata[i];
  unsigned roll = g_rand_int (model->rand) % 100;
  enum run_status status = RUN_OK;
  if (roll < 12)
    status = (enum run_status) (roll / 3 + 1);
  bool again = status == RUN_NOT_SENT
               || (status == RUN_REFUSED && strstr (task->kind, "again"));
  model->running[task->addr.port - 9000U]--;
  g_hash_table_replace (model->task_states, input_of (task),
                        GINT_TO_POINTER (again || status == RUN_REFUSED
                                             ? TASK_NOT_STARTED
                                             : TASK_ENDED));
  end_task (f, i, status, "1");
}

static void
random_grant (struct disp_peer_ops *ops, claim_instance_id peer,
              const struct disp_worker_slots *list, unsigned n)
{
  (void)ops;
  (void)peer;
  for (unsigned i = 0; i < n; i++)
    model->lent[list[i].addr.port - 9000U] += (int)list[i].count;
}

static void
random_give_back (struct disp_peer_ops *ops, claim_instance_id peer,
                  const struct disp_worker_slots *list, unsigned n)
{
  for (unsigned i = 0; i < n; i++)
    model->borrowed[list[i].addr.port - 9000U] -= (int)list[i].count;
  on_give_back (ops, peer, list, n);
}

/* The peer lends a slot, requests slots, or returns those that it holds on one
   worker.  */
static void
random_lending (struct fixture *f)
{
  unsigned w = g_rand_int (model->rand) % MAX_WORKERS;
  struct disp_worker_slots item = { .addr = worker_addr (w), .count = 1 };
  switch (g_rand_int (model->rand) % 3)
    {
    case 0:
      if (model->borrowed[w] >= 2)
        return;
      model->borrowed[w]++;
      disp_slots_granted (f->disp, PEER, &item, 1);
      return;
    case 1:
      disp_slots_requested (f->disp, PEER, g_rand_int (model->rand) % 4);
      return;
    default:
      item.count = (unsigned)model->lent[w];
      model->lent[w] = 0;
      disp_slots_returned (f->disp, PEER, &item, 1);
    }
}

static void
random_submit (struct fixture *f, unsigned number, struct received *got)
{
  /* Some submissions repeat an earlier key.  */
  unsigned job_number = number;
  if (number > 10 && g_rand_int (model->rand) % 10 == 0)
    job_number = number - g_rand_int (model->rand) % 10;
  char suffix[16];
  g_snprintf (suffix, sizeof suffix, "k%u", job_number);
  claim_instance_id witness = job_number % 3 == 0 ? PEER : 0;
  unsigned tasks = 1 + job_number % 6;
  struct job_req *req = make_request (
      f, suffix, job_number % 2 ? "once" : "again", tasks, witness);
  req->deadline_ms = 20 + job_number * 37 % 2000;
  for (unsigned i = 0; i < tasks; i++)
    {
      g_autofree char *input = g_strdup_printf ("%s:%u", suffix, i);
      g_bytes_unref (req->tasks[i].input);
      req->tasks[i].input = g_bytes_new (input, strlen (input));
      req->tasks[i].memory_mb = job_number % 11 == 0 ? 400 : 0;
    }
  got->job_number = job_number;
  got->expected_replies = 1;
  disp_submit (f->disp, req, on_done, got);
  if (g_rand_int (model->rand) % 20 == 0)
    {
      got->expected_replies = 2;
      disp_cancel (f->disp, pl_str (req->key), on_done, got);
    }
  job_req_unref (req);
}

static void
random_step (struct fixture *f, struct received *replies, unsigned *number)
{
  unsigned roll = g_rand_int (model->rand) % 100;
  if (roll < 20)
    {
      random_submit (f, *number, &replies[*number]);
      (*number)++;
    }
  else if (roll < 70)
    random_end (f);
  else if (roll < 75)
    disp_permit_result (f->disp, f->permit, roll < 74);
  else if (roll < 80)
    random_lending (f);
  else if (roll < 81)
    disp_peer_lost (f->disp, PEER);
  else
    pl_manual_clock_advance (&f->clock, g_rand_int (model->rand) % 20000);
  if (roll % 2 == 0)
    disp_run_once (f->disp);
}

/* Whether the result code of a job is consistent with what happened to its
   tasks.  */
static bool
is_consistent (unsigned job_number, enum pl_code code)
{
  enum pl_outcome outcome = pl_code_info (code)->outcome;
  for (unsigned i = 0; i < 1 + job_number % 6; i++)
    {
      g_autofree char *input = g_strdup_printf ("k%u:%u", job_number, i);
      int task_state
          = GPOINTER_TO_INT (g_hash_table_lookup (model->task_states, input));
      bool started = task_state == TASK_RUNNING || task_state == TASK_ENDED;
      if (outcome == PL_OUTCOME_NOT_RUN && started)
        return false;
      if (outcome == PL_OUTCOME_COMPLETE && task_state != TASK_ENDED)
        return false;
    }
  return true;
}

/* Guards against double starts, overused slots, missing and repeated replies,
   and false outcomes, whatever the order of events.  */
static void
random_run (guint32 seed)
{
  struct fixture *f = fixture_new (MAX_WORKERS, 2);
  struct model m = { .task_states = g_hash_table_new_full (
                         g_str_hash, g_str_equal, g_free, NULL),
                     .rand = g_rand_new_with_seed (seed) };
  model = &m;
  f->run.start = random_start;
  f->peers.grant = random_grant;
  f->peers.give_back = random_give_back;
  struct received *replies = g_new0 (struct received, STEPS);
  unsigned number = 0;
  for (unsigned i = 0; i < STEPS; i++)
    random_step (f, replies, &number);
  for (unsigned i = 0; i < 300; i++)
    {
      while (f->running->len > 0)
        random_end (f);
      advance_ms (f, 20);
    }
  unsigned wrong_reply_counts = 0;
  unsigned inconsistent = 0;
  unsigned complete = 0;
  for (unsigned i = 0; i < number; i++)
    {
      wrong_reply_counts += replies[i].times != replies[i].expected_replies;
      inconsistent += !is_consistent (replies[i].job_number, replies[i].code);
      complete += replies[i].code == PL_OK;
    }
  CU_ASSERT_EQUAL (wrong_reply_counts, 0);
  CU_ASSERT_EQUAL (inconsistent, 0);
  CU_ASSERT_EQUAL (m.double_starts, 0);
  CU_ASSERT_EQUAL (m.overused_slots, 0);
  CU_ASSERT (complete > 100);
  CU_ASSERT (m.starts > 1000);
  printf ("random run %u: %u jobs, %u complete, %u starts\n", seed, number,
          complete, m.starts);
  g_free (replies);
  fixture_free (f);
  g_hash_table_unref (m.task_states);
  g_rand_free (m.rand);
}

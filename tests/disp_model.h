/* Random runs of dispatch, compared with what happened to each task.  */
#pragma once

#include "disp_fixture.h"

/* The random run: what happened to each task, by its input.  */
#define STEPS 20000

enum fate
{
  FATE_NONE,
  FATE_RUNNING,
  FATE_NOT_STARTED, /* not sent, or refused with a repeatable kind */
  FATE_OVER,
};

struct model
{
  GHashTable *fates; /* input to enum fate */
  GRand *rand;
  unsigned running[MAX_WORKERS];
  int lent[MAX_WORKERS];
  int borrowed[MAX_WORKERS];
  unsigned starts;
  unsigned twice;
  unsigned over;
  struct fix *fix;
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
  struct fix *f = (struct fix *)ops;
  char *input = input_of (task);
  int fate = GPOINTER_TO_INT (g_hash_table_lookup (model->fates, input));
  model->starts++;
  model->twice += fate != FATE_NONE && fate != FATE_NOT_STARTED;
  g_hash_table_replace (model->fates, input, GINT_TO_POINTER (FATE_RUNNING));
  unsigned w = task->addr.port - 9000U;
  int own = (int)memb_share (&f->view, SELF, task->addr, SLOTS);
  int held = own - model->lent[w] + model->borrowed[w];
  model->running[w]++;
  model->over += (int)model->running[w] > held;
  g_ptr_array_add (f->running, task);
}

static void
random_end (struct fix *f)
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
  g_hash_table_replace (model->fates, input_of (task),
                        GINT_TO_POINTER (again || status == RUN_REFUSED
                                             ? FATE_NOT_STARTED
                                             : FATE_OVER));
  end_task (f, i, status, "1");
}

static void
random_grant (struct disp_peer_ops *ops, claim_instance_id peer,
              const struct disp_worker_slots *lots, unsigned n)
{
  (void)ops;
  (void)peer;
  for (unsigned i = 0; i < n; i++)
    model->lent[lots[i].addr.port - 9000U] += (int)lots[i].count;
}

static void
random_give_back (struct disp_peer_ops *ops, claim_instance_id peer,
                  const struct disp_worker_slots *lots, unsigned n)
{
  for (unsigned i = 0; i < n; i++)
    model->borrowed[lots[i].addr.port - 9000U] -= (int)lots[i].count;
  on_give_back (ops, peer, lots, n);
}

/* The peer lends one slot, or returns what it holds on one worker.  */
static void
random_lending (struct fix *f)
{
  unsigned w = g_rand_int (model->rand) % MAX_WORKERS;
  struct disp_worker_slots lot = { .addr = worker_addr (w), .count = 1 };
  switch (g_rand_int (model->rand) % 3)
    {
    case 0:
      if (model->borrowed[w] >= 2)
        return;
      model->borrowed[w]++;
      disp_slots_granted (f->disp, PEER, &lot, 1);
      return;
    case 1:
      disp_slots_requested (f->disp, PEER, g_rand_int (model->rand) % 4);
      return;
    default:
      lot.count = (unsigned)model->lent[w];
      model->lent[w] = 0;
      disp_slots_returned (f->disp, PEER, &lot, 1);
    }
}

static void
random_submit (struct fix *f, unsigned number, struct got *got)
{
  /* Some submissions repeat a former key.  */
  unsigned name = number;
  if (number > 10 && g_rand_int (model->rand) % 10 == 0)
    name = number - g_rand_int (model->rand) % 10;
  char suffix[16];
  g_snprintf (suffix, sizeof suffix, "k%u", name);
  claim_instance_id witness = name % 3 == 0 ? PEER : 0;
  unsigned tasks = 1 + name % 6;
  struct job_req *req
      = request (f, suffix, name % 2 ? "once" : "again", tasks, witness);
  req->deadline_ms = 20 + name * 37 % 2000;
  for (unsigned i = 0; i < tasks; i++)
    {
      g_autofree char *input = g_strdup_printf ("%s:%u", suffix, i);
      g_bytes_unref (req->tasks[i].input);
      req->tasks[i].input = g_bytes_new (input, strlen (input));
      req->tasks[i].memory_mb = name % 11 == 0 ? 400 : 0;
    }
  got->name = name;
  got->wanted = 1;
  disp_submit (f->disp, req, on_done, got);
  if (g_rand_int (model->rand) % 20 == 0)
    {
      got->wanted = 2;
      disp_cancel (f->disp, pl_str (req->key), on_done, got);
    }
  job_req_unref (req);
}

static void
random_step (struct fix *f, struct got *gots, unsigned *number)
{
  unsigned roll = g_rand_int (model->rand) % 100;
  if (roll < 20)
    {
      random_submit (f, *number, &gots[*number]);
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
    disp_turn (f->disp);
}

/* True if the reply of job NAME is consistent with the fates of its tasks. */
static bool
truthful (unsigned name, enum pl_code code)
{
  enum pl_outcome outcome = pl_code_info (code)->outcome;
  for (unsigned i = 0; i < 1 + name % 6; i++)
    {
      g_autofree char *input = g_strdup_printf ("k%u:%u", name, i);
      int fate = GPOINTER_TO_INT (g_hash_table_lookup (model->fates, input));
      bool started = fate == FATE_RUNNING || fate == FATE_OVER;
      if (outcome == PL_OUTCOME_NOT_RUN && started)
        return false;
      if (outcome == PL_OUTCOME_COMPLETE && fate != FATE_OVER)
        return false;
    }
  return true;
}

/* Guards against double starts, overused slots, missing and doubled replies,
   and false outcomes under any order of events.  */
static void
random_run (guint32 seed)
{
  struct fix *f = fix_new (MAX_WORKERS, 2);
  struct model m = { .fates = g_hash_table_new_full (g_str_hash, g_str_equal,
                                                     g_free, NULL),
                     .rand = g_rand_new_with_seed (seed) };
  model = &m;
  f->run.start = random_start;
  f->peers.grant = random_grant;
  f->peers.give_back = random_give_back;
  struct got *gots = g_new0 (struct got, STEPS);
  unsigned number = 0;
  for (unsigned i = 0; i < STEPS; i++)
    random_step (f, gots, &number);
  for (unsigned i = 0; i < 300; i++)
    {
      while (f->running->len > 0)
        random_end (f);
      pass (f, 20);
    }
  unsigned wrong = 0;
  unsigned untrue = 0;
  unsigned complete = 0;
  for (unsigned i = 0; i < number; i++)
    {
      wrong += gots[i].times != gots[i].wanted;
      untrue += !truthful (gots[i].name, gots[i].code);
      complete += gots[i].code == PL_OK;
    }
  CU_ASSERT_EQUAL (wrong, 0);
  CU_ASSERT_EQUAL (untrue, 0);
  CU_ASSERT_EQUAL (m.twice, 0);
  CU_ASSERT_EQUAL (m.over, 0);
  CU_ASSERT (complete > 100);
  CU_ASSERT (m.starts > 1000);
  printf ("random run %u: %u jobs, %u complete, %u starts\n", seed, number,
          complete, m.starts);
  g_free (gots);
  fix_free (f);
  g_hash_table_unref (m.fates);
  g_rand_free (m.rand);
}

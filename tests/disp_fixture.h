/* One dispatch thread with runners, peers and time replaced by the test.  */
#pragma once

#include "disp.h"
#include "test.h"

#include <stdio.h>
#include <string.h>

#define SELF UINT64_C (0x1111111111111111)
#define PEER UINT64_C (0x2222222222222222)
#define MAX_WORKERS 8
#define SLOTS 8

/* One instance with everything around it.  */
struct fix
{
  struct disp_run_ops run;
  struct disp_peer_ops peers;
  struct pl_manual_clock clock;
  struct conf conf;
  struct pl_rcu_ptr note;
  struct pl_rcu_ptr memb;
  struct note_conf config;
  struct memb_view view;
  struct note_kind kinds[2];
  struct note_service service;
  struct note_team teams[2];
  struct note_worker workers[MAX_WORKERS];
  claim_instance_id sharers[2];
  struct disp *disp;
  GPtrArray *running; /* struct run_task */
  unsigned cancels;
  unsigned borrows;
  unsigned permits;
  struct claim_key_hash permit;
  unsigned returned;
};

/* What a caller got.  */
struct got
{
  unsigned times;
  enum pl_code code;
  int64_t retry_ms;
  unsigned wanted; /* replies expected */
  unsigned name;
  char body[512];
};

static void
on_done (struct job_reply *reply, void *user)
{
  struct got *got = user;
  gsize len;
  const char *data = g_bytes_get_data (reply->body, &len);
  got->times++;
  got->code = reply->code;
  got->retry_ms = reply->retry_after_ms;
  g_snprintf (got->body, sizeof got->body, "%.*s", (int)len, data);
}

static void
on_start (struct disp_run_ops *ops, struct run_task *task)
{
  g_ptr_array_add (((struct fix *)ops)->running, task);
}

static void
on_cancel (struct disp_run_ops *ops, struct pl_addr addr, const char *id)
{
  (void)addr;
  (void)id;
  ((struct fix *)ops)->cancels++;
}

static struct fix *
of_peers (struct disp_peer_ops *ops)
{
  return (struct fix *)((char *)ops - offsetof (struct fix, peers));
}

static void
on_permit (struct disp_peer_ops *ops, claim_instance_id witness,
           struct claim_key_hash hash, int64_t epoch)
{
  (void)witness;
  (void)epoch;
  of_peers (ops)->permits++;
  of_peers (ops)->permit = hash;
}

static void
on_borrow (struct disp_peer_ops *ops, claim_instance_id peer, unsigned n)
{
  (void)peer;
  (void)n;
  of_peers (ops)->borrows++;
}

static void
on_grant (struct disp_peer_ops *ops, claim_instance_id peer,
          const struct disp_worker_slots *lots, unsigned n)
{
  (void)peer;
  (void)ops;
  (void)lots;
  (void)n;
}

static void
on_give_back (struct disp_peer_ops *ops, claim_instance_id peer,
              const struct disp_worker_slots *lots, unsigned n)
{
  (void)peer;
  for (unsigned i = 0; i < n; i++)
    of_peers (ops)->returned += lots[i].count;
}

static void
keep (struct pl_shared *shared)
{
  (void)shared;
}

static struct pl_addr
worker_addr (unsigned i)
{
  return (struct pl_addr){ .ip = 0x7f000001, .port = (uint16_t)(9000 + i) };
}

static void
set_workers (struct fix *f, unsigned n)
{
  for (unsigned i = 0; i < n; i++)
    f->workers[i] = (struct note_worker){ .addr = worker_addr (i),
                                          .domain = (char *)"domain-a",
                                          .slots = SLOTS,
                                          .memory_mb = 1000,
                                          .added_revision = 1 };
  f->kinds[0] = (struct note_kind){ .name = (char *)"once", .max_tasks = 390 };
  f->kinds[1] = (struct note_kind){ .name = (char *)"again",
                                    .repeatable = true,
                                    .max_tasks = 390 };
  f->service = (struct note_service){ .name = (char *)"s",
                                      .kinds = f->kinds,
                                      .n_kinds = 2 };
  f->teams[0] = (struct note_team){ .name = (char *)"a", .weight = 1 };
  f->teams[1] = (struct note_team){ .name = (char *)"b", .weight = 1 };
  f->config = (struct note_conf){ .revision = 1,
                                  .services = &f->service,
                                  .n_services = 1,
                                  .teams = f->teams,
                                  .n_teams = 2,
                                  .workers = f->workers,
                                  .n_workers = n };
  pl_shared_init (&f->config.base, keep);
  pl_rcu_ptr_publish (&f->note, &f->config.base);
}

static void
set_view (struct fix *f, unsigned sharers)
{
  f->sharers[0] = SELF;
  f->sharers[1] = PEER;
  f->view = (struct memb_view){ .sharers = f->sharers, .n_sharers = sharers };
  f->view.self.id = SELF;
  pl_shared_init (&f->view.base, keep);
  pl_rcu_ptr_publish (&f->memb, &f->view.base);
}

static struct disp_opts
options (struct fix *f, struct pl_clock *clock, bool manual)
{
  return (struct disp_opts){ .conf = &f->conf,
                             .clock = clock,
                             .self = SELF,
                             .note_conf_ptr = &f->note,
                             .memb_view_ptr = &f->memb,
                             .peers = &f->peers,
                             .run_ops = &f->run,
                             .manual = manual };
}

static struct fix *
fix_new (unsigned workers, unsigned sharers)
{
  struct fix *f = g_new0 (struct fix, 1);
  struct pl_err err;
  f->run = (struct disp_run_ops){ .start = on_start, .cancel = on_cancel };
  f->peers = (struct disp_peer_ops){ .permit = on_permit,
                                     .borrow = on_borrow,
                                     .grant = on_grant,
                                     .give_back = on_give_back };
  pl_manual_clock_init (&f->clock, 1000000000);
  CU_ASSERT (conf_init (&f->conf, &err));
  f->conf.share_raise_ms = 0;
  f->conf.epoch_s = 3600; /* a repeated submission has the same key */
  f->conf.seed = 1;
  f->running = g_ptr_array_new ();
  set_workers (f, workers);
  set_view (f, sharers);
  struct disp_opts opts = options (f, &f->clock.base, true);
  f->disp = disp_new (&opts);
  disp_turn (f->disp);
  return f;
}

static void
end_task (struct fix *f, unsigned i, enum run_status status,
          const char *answer)
{
  struct run_task *task = g_ptr_array_steal_index_fast (f->running, i);
  struct run_result *result = g_new0 (struct run_result, 1);
  result->status = status;
  result->reason = "test";
  result->run_us = 1000;
  if (status == RUN_OK || status == RUN_FAILED)
    result->answer = g_bytes_new (answer, strlen (answer));
  disp_run_done (f->disp, task, result);
}

static void
fix_free (struct fix *f)
{
  while (f->running->len > 0)
    end_task (f, 0, RUN_MAYBE, NULL);
  disp_free (f->disp);
  g_ptr_array_unref (f->running);
  conf_clear (&f->conf);
  g_free (f);
}

static struct job_req *
request (struct fix *f, const char *suffix, const char *kind, unsigned tasks,
         claim_instance_id witness)
{
  struct disp_status status;
  disp_get_status (f->disp, &status);
  struct job_req *req = g_new0 (struct job_req, 1);
  g_atomic_ref_count_init (&req->refs);
  g_autofree char *other
      = g_strdup_printf ("%016" G_GINT64_MODIFIER "x", witness);
  req->key = g_strdup_printf (
      "domain-a.%016" G_GINT64_MODIFIER "x.%s.%" G_GINT64_FORMAT ".%s", SELF,
      witness == 0 ? "0" : other, status.epoch, suffix);
  req->path = g_strdup ("/v1/jobs");
  req->service = g_strdup ("s");
  req->kind = g_strdup (kind);
  req->team = g_strdup ("a");
  req->deadline_ms = 5000;
  req->n_tasks = tasks;
  req->tasks = g_new0 (struct job_task, tasks);
  for (unsigned i = 0; i < tasks; i++)
    {
      g_autofree char *input = g_strdup_printf ("%u", i);
      req->tasks[i].input = g_bytes_new (input, strlen (input));
    }
  return req;
}

static void
send (struct fix *f, struct job_req *req, struct got *got)
{
  disp_submit (f->disp, req, on_done, got);
  job_req_unref (req);
  disp_turn (f->disp);
}

static void
pass (struct fix *f, int64_t ms)
{
  pl_manual_clock_advance (&f->clock, ms * 1000);
  disp_turn (f->disp);
}

/* Ends all running tasks with their input as the answer.  */
static void
end_all (struct fix *f)
{
  while (f->running->len > 0)
    {
      const struct run_task *task = f->running->pdata[f->running->len - 1];
      gsize len;
      const char *data = g_bytes_get_data (task->input, &len);
      g_autofree char *answer = g_strndup (data, len);
      end_task (f, f->running->len - 1, RUN_OK, answer);
    }
  disp_turn (f->disp);
}

/* Submissions and replies.  A submission is parsed into a request of one or
   more tasks; a reply is rendered as JSON.  */
#pragma once

#include "note.h"
#include "pl.h"

#define JOB_HASH_BYTES 32 /* SHA-256 */

struct job_task
{
  GBytes *input;     /* JSON text, sent to the upstream as the body */
  int64_t size_ms;   /* declared run time; 0: not declared */
  int64_t memory_mb; /* declared need; 0: not declared */
};

/* One submission; immutable after parsing, shared by reference count.  */
struct job_req
{
  gatomicrefcount refs;
  char *key;  /* the whole idempotency key */
  char *path; /* "/v1/jobs" or "/v1/services/<service>/<kind>" */
  uint8_t hash[JOB_HASH_BYTES]; /* SHA-256 of path and body */
  struct pl_err parse_err; /* PL_OK, or why the body can't be run; the members
                          below are then unset */
  char *service;
  char *kind;
  char *team;
  int64_t deadline_ms; /* from arrival */
  int64_t ideal_ms;    /* declared; 0: not declared */
  struct job_task *tasks;
  unsigned n_tasks;
};

struct job_limits
{
  size_t body_bytes;
  unsigned tasks;
};

/* Parses a submission.  Never returns null: a body that can't be run gives a
   request whose PARSE_ERR says why, so that the owner can record the key as
   refused.  PARSE_ERR is PL_NOT_READY if CONF is null, and PL_UNKNOWN_SERVICE
   or PL_UNKNOWN_TEAM if CONF lacks the service, kind or team.  */
struct job_req *job_req_parse (struct pl_str key, struct pl_str path,
                               struct pl_str body,
                               const struct job_limits *limits,
                               const struct note_conf *conf);
struct job_req *job_req_ref (struct job_req *req);
void job_req_unref (struct job_req *req);

/* The reply to a caller; shared by reference count.  */
struct job_reply
{
  gatomicrefcount refs;
  enum pl_code code;
  int64_t retry_after_ms; /* 0: none */
  GBytes *body;           /* rendered JSON */
};

/* What is known of a task when its job ends.  */
enum job_task_state
{
  JOB_TASK_NOT_RUN,
  JOB_TASK_MAYBE, /* a byte of the request may have been delivered */
  JOB_TASK_RAN,
};

/* Renders the reply of a complete job.  ANSWERS has the N answers of its
   tasks, in task order: JSON texts; what is not valid JSON is included as a
   JSON string.  */
struct job_reply *job_reply_complete (struct pl_str key, int64_t response_us,
                                      GBytes *const *answers, unsigned n);
/* Renders a failure or refusal.  STATES has the N states of the job's tasks,
   or is null (N is then 0).  DETAIL may be null.  */
struct job_reply *job_reply_error (struct pl_str key, enum pl_code code,
                                   int64_t retry_after_ms, const char *detail,
                                   const enum job_task_state *states,
                                   unsigned n);
/* Wraps a body that was rendered elsewhere; takes over BODY.  */
struct job_reply *job_reply_wrap (enum pl_code code, int64_t retry_after_ms,
                                  GBytes *body);
struct job_reply *job_reply_ref (struct job_reply *reply);
void job_reply_unref (struct job_reply *reply);

/* Called exactly once with the reply, on any thread; the callee takes its own
   reference if it keeps REPLY.  */
typedef void job_done_fn (struct job_reply *reply, void *user);

/* Generated from schema/settings.txt. */
#pragma once

/* Settings of the entry daemon; units are in the names and in
   docs/settings.md.  */
struct conf
{
  char *listen;
  char *peer_listen;
  char *advertise;
  char *domain;
  char *peers;
  char *platform;
  char *policy;
  long seed;
  char *log_format;
  char *log_level;
  long http_threads;
  long caller_connections;
  long caller_idle_s;
  long body_bytes;
  long job_tasks;
  long task_answer_bytes;
  long job_answer_bytes;
  long queue_tasks;
  long keep_s;
  long keep_records;
  long answer_s;
  long answer_bytes;
  long epoch_s;
  long permit_resend_ms;
  long permit_give_up_ms;
  long heartbeat_ms;
  long far_heartbeat_ms;
  long suspect_ms;
  long dead_ms;
  long forget_s;
  long share_raise_ms;
  long lend_idle_ms;
  long upstream_idle_ms;
  long upstream_connect_ms;
  long upstream_silence_ms;
  long worker_connections;
  long runner_threads;
  long retry_percent;
  long retry_min_per_s;
  long leaving_poll_ms;
  long drain_linger_ms;
  long drain_limit_ms;
};

/* Weak stand-ins for the libraries that dispatch calls.  To be deleted, with
   its one #include in disp_test.c, when lib/claim, lib/job, lib/note, lib/memb
   and lib/run are linked.  */
#pragma once

#include "disp.h"

#include <stdlib.h>
#include <string.h>

#define WEAK __attribute__ ((weak))
#pragma GCC diagnostic ignored "-Wmissing-prototypes"

struct claim_table
{
  GHashTable *records;
};

struct claim_record
{
  uint8_t hash[JOB_HASH_BYTES];
  struct job_reply *reply;
  void *user;
};

WEAK bool
claim_key_parse (struct pl_str text, struct claim_key *out, struct pl_err *err)
{
  g_autofree char *copy = g_strndup (text.data, text.len);
  g_auto (GStrv) parts = g_strsplit (copy, ".", 5);
  if (g_strv_length (parts) != 5)
    return pl_fail (err, PL_KEY_MALFORMED, "malformed");
  *out = (struct claim_key){ .owner = strtoull (parts[1], NULL, 16),
                             .witness = strtoull (parts[2], NULL, 16),
                             .epoch = strtoll (parts[3], NULL, 10) };
  return true;
}

WEAK struct claim_hash
claim_hash_of (struct pl_str text)
{
  g_autofree char *copy = g_strndup (text.data, text.len);
  return (struct claim_hash){ .hi = text.len, .lo = g_str_hash (copy) };
}

static void
fake_record_free (void *data)
{
  struct claim_record *record = data;
  if (record->reply != NULL)
    job_reply_unref (record->reply);
  g_free (record);
}

WEAK struct claim_table *
claim_table_new (const struct claim_opts *opts)
{
  (void)opts;
  struct claim_table *table = g_new (struct claim_table, 1);
  table->records = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                          fake_record_free);
  return table;
}

WEAK void
claim_table_free (struct claim_table *table)
{
  g_hash_table_unref (table->records);
  g_free (table);
}

WEAK enum claim_found
claim_begin (struct claim_table *table, const struct claim_key *key,
             struct pl_str text, const uint8_t *body_hash,
             struct claim_record **record)
{
  (void)key;
  *record = g_hash_table_lookup (table->records, text.data);
  if (*record == NULL)
    {
      *record = g_new0 (struct claim_record, 1);
      memcpy ((*record)->hash, body_hash, JOB_HASH_BYTES);
      g_hash_table_insert (table->records, g_strdup (text.data), *record);
      return CLAIM_NEW;
    }
  if (memcmp ((*record)->hash, body_hash, JOB_HASH_BYTES) != 0)
    return CLAIM_REUSED;
  return (*record)->reply != NULL ? CLAIM_DONE : CLAIM_RUNNING;
}

WEAK bool
claim_lookup (struct claim_table *table, const struct claim_key *key,
              struct pl_str text, enum claim_found *found,
              struct claim_record **record)
{
  (void)key;
  *record = g_hash_table_lookup (table->records, text.data);
  *found = CLAIM_NEW;
  if (*record == NULL)
    return false;
  *found = (*record)->reply != NULL ? CLAIM_DONE : CLAIM_RUNNING;
  return true;
}

WEAK void
claim_finish (struct claim_table *table, struct claim_record *record,
              struct job_reply *reply)
{
  (void)table;
  record->reply = job_reply_ref (reply);
}

WEAK void
claim_record_set_user (struct claim_record *record, void *user)
{
  record->user = user;
}

WEAK void *
claim_record_user (struct claim_record *record)
{
  return record->user;
}

WEAK struct job_reply *
claim_record_reply (struct claim_record *record, struct pl_str key)
{
  (void)key;
  return job_reply_ref (record->reply);
}

WEAK void
claim_tick (struct claim_table *table)
{
  (void)table;
}

WEAK int64_t
claim_epoch (const struct claim_table *table)
{
  (void)table;
  return 1;
}

WEAK unsigned
claim_count (const struct claim_table *table)
{
  return g_hash_table_size (table->records);
}

WEAK bool
claim_inherits (const struct claim_table *table, claim_id owner)
{
  (void)table;
  (void)owner;
  return false;
}

WEAK void
claim_inherit (struct claim_table *table, claim_id owner)
{
  (void)table;
  (void)owner;
}

WEAK void
claim_export (struct claim_table *table, size_t max_bytes,
              void (*each) (GBytes *chunk, void *user), void *user)
{
  (void)table;
  (void)max_bytes;
  (void)each;
  (void)user;
}

WEAK bool
claim_import (struct claim_table *table, struct pl_str chunk)
{
  (void)table;
  (void)chunk;
  return true;
}

WEAK struct job_req *
job_req_ref (struct job_req *req)
{
  g_atomic_ref_count_inc (&req->refs);
  return req;
}

WEAK void
job_req_unref (struct job_req *req)
{
  if (!g_atomic_ref_count_dec (&req->refs))
    return;
  for (unsigned i = 0; i < req->n_tasks; i++)
    g_bytes_unref (req->tasks[i].input);
  g_free (req->tasks);
  g_free (req->key);
  g_free (req->path);
  g_free (req->service);
  g_free (req->kind);
  g_free (req->team);
  g_free (req);
}

static struct job_reply *
fake_reply (enum pl_code code, GString *text)
{
  struct job_reply *reply = g_new0 (struct job_reply, 1);
  g_atomic_ref_count_init (&reply->refs);
  reply->code = code;
  reply->body = g_string_free_to_bytes (text);
  return reply;
}

WEAK struct job_reply *
job_reply_complete (struct pl_str key, int64_t response_us,
                    GBytes *const *answers, unsigned n)
{
  (void)key;
  (void)response_us;
  GString *text = g_string_new ("{\"answers\":[");
  for (unsigned i = 0; i < n; i++)
    {
      gsize len;
      const char *data = g_bytes_get_data (answers[i], &len);
      g_string_append_printf (text, "%s%.*s", i > 0 ? "," : "", (int)len,
                              data);
    }
  return fake_reply (PL_OK, g_string_append (text, "]}"));
}

static void
fake_list (GString *text, const char *name, enum job_task_state wanted,
           const enum job_task_state *states, unsigned n)
{
  g_string_append_printf (text, "\"%s\":[", name);
  bool first = true;
  for (unsigned i = 0; i < n; i++)
    if (states[i] == wanted)
      {
        g_string_append_printf (text, "%s%u", first ? "" : ",", i);
        first = false;
      }
  g_string_append (text, "]");
}

WEAK struct job_reply *
job_reply_error (struct pl_str key, enum pl_code code, int64_t retry_after_ms,
                 const char *detail, const enum job_task_state *states,
                 unsigned n)
{
  (void)key;
  (void)detail;
  GString *text = g_string_new ("{");
  fake_list (text, "ran", JOB_TASK_RAN, states, n);
  g_string_append (text, ",");
  fake_list (text, "maybe", JOB_TASK_MAYBE, states, n);
  struct job_reply *reply = fake_reply (code, g_string_append (text, "}"));
  reply->retry_after_ms = retry_after_ms;
  return reply;
}

WEAK struct job_reply *
job_reply_wrap (enum pl_code code, int64_t retry_after_ms, GBytes *body)
{
  struct job_reply *reply = g_new0 (struct job_reply, 1);
  g_atomic_ref_count_init (&reply->refs);
  reply->code = code;
  reply->retry_after_ms = retry_after_ms;
  reply->body = body;
  return reply;
}

WEAK struct job_reply *
job_reply_ref (struct job_reply *reply)
{
  g_atomic_ref_count_inc (&reply->refs);
  return reply;
}

WEAK void
job_reply_unref (struct job_reply *reply)
{
  if (!g_atomic_ref_count_dec (&reply->refs))
    return;
  g_bytes_unref (reply->body);
  g_free (reply);
}

WEAK const struct note_kind *
note_find_kind (const struct note_conf *conf, const char *service,
                const char *kind)
{
  for (unsigned i = 0; i < conf->n_services; i++)
    for (unsigned k = 0; k < conf->services[i].n_kinds; k++)
      if (strcmp (conf->services[i].name, service) == 0
          && strcmp (conf->services[i].kinds[k].name, kind) == 0)
        return &conf->services[i].kinds[k];
  return NULL;
}

WEAK const struct note_team *
note_find_team (const struct note_conf *conf, const char *team)
{
  for (unsigned i = 0; i < conf->n_teams; i++)
    if (strcmp (conf->teams[i].name, team) == 0)
      return &conf->teams[i];
  return NULL;
}

WEAK unsigned
memb_share (const struct memb_view *view, claim_id id, struct pl_addr addr,
            unsigned slots)
{
  (void)id;
  (void)addr;
  return slots / MAX (view->n_sharers, 1);
}

WEAK struct run *
run_new (const struct run_opts *opts)
{
  (void)opts;
  return NULL;
}

WEAK void
run_start (struct run *run, struct run_task *task)
{
  (void)run;
  (void)task;
}

WEAK void
run_cancel (struct run *run, struct pl_addr addr, const char *id)
{
  (void)run;
  (void)addr;
  (void)id;
}

WEAK void
run_free (struct run *run)
{
  (void)run;
}

WEAK void
run_task_free (struct run_task *task)
{
  g_bytes_unref (task->input);
  g_free (task->kind);
  g_free (task);
}

WEAK void
run_result_free (struct run_result *result)
{
  if (result->answer != NULL)
    g_bytes_unref (result->answer);
  g_free (result);
}

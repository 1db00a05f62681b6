/* A simulated load balancer that probes the readiness of all entries.  */
#include "load.h"

#define PROBE_INTERVAL_US 50000
#define PROBE_TIMEOUT_MS 1000

struct load_balancer
{
  const struct load_opts *opts;
  GThread *thread;
  gint stop;
  gint *in_rotation;  /* by entry */
  int64_t *failed_us; /* by entry: first failed probe, 0 if ready */
};

static bool
probe (struct pl_addr addr)
{
  ne_session *session = call_session_new (addr, PROBE_TIMEOUT_MS);
  struct call_answer answer;
  bool ready = false;
  if (load_send (session, "GET", "/readyz", NULL, NULL, &answer)
      == CALL_ANSWERED)
    {
      ready = answer.status == 200;
      g_string_free (answer.body, TRUE);
    }
  ne_session_destroy (session);
  return ready;
}

static void
probe_entry (struct load_balancer *balancer, unsigned entry)
{
  int64_t now = g_get_monotonic_time ();
  int64_t *failed_us = &balancer->failed_us[entry];
  if (probe (balancer->opts->entries[entry]))
    {
      *failed_us = 0;
      g_atomic_int_set (&balancer->in_rotation[entry], 1);
      return;
    }
  if (*failed_us == 0)
    *failed_us = now;
  if (now - *failed_us >= (int64_t)balancer->opts->notice_ms * 1000)
    g_atomic_int_set (&balancer->in_rotation[entry], 0);
}

static gpointer
balancer_main (gpointer user)
{
  struct load_balancer *balancer = user;
  while (!g_atomic_int_get (&balancer->stop))
    {
      for (unsigned i = 0; i < balancer->opts->n_entries; i++)
        probe_entry (balancer, i);
      g_usleep (PROBE_INTERVAL_US);
    }
  return NULL;
}

struct load_balancer *
load_balancer_new (const struct load_opts *opts)
{
  if (opts->notice_ms < 0)
    return NULL;
  struct load_balancer *balancer = g_new0 (struct load_balancer, 1);
  balancer->opts = opts;
  balancer->in_rotation = g_new (gint, opts->n_entries);
  balancer->failed_us = g_new0 (int64_t, opts->n_entries);
  for (unsigned i = 0; i < opts->n_entries; i++)
    balancer->in_rotation[i] = 1;
  balancer->thread = g_thread_new ("balancer", balancer_main, balancer);
  return balancer;
}

void
load_balancer_free (struct load_balancer *balancer)
{
  if (balancer == NULL)
    return;
  g_atomic_int_set (&balancer->stop, 1);
  g_thread_join (balancer->thread);
  g_free (balancer->in_rotation);
  g_free (balancer->failed_us);
  g_free (balancer);
}

bool
load_balancer_in_rotation (struct load_balancer *balancer, unsigned entry)
{
  return balancer == NULL || g_atomic_int_get (&balancer->in_rotation[entry]);
}

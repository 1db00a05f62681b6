/* Random faults that overlap, on the emulated deployment.  */
#pragma once

#include "cell_checks.h"

/* Whether the registry lists the instances of a failure domain, for those of
   other domains.  */
static inline void
soak_set_registered (struct world *world, int domain, bool registered)
{
  for (int i = 0; i < world->n_instances; i++)
    for (int k = 0; k < world->n_instances; k++)
      if (world->instances[i].domain != domain
          && world->instances[k].domain == domain
          && world->instances[i].cell != NULL
          && (!registered || world->instances[k].cell != NULL))
        world_tell_registered (world, i, k, registered);
}

/* Injects one random fault, or ends one.  */
static inline void
soak_inject_fault (struct world *world)
{
  int instance = (int)world_random_between (world, 0, world->n_instances - 1);
  int other = (int)world_random_between (world, 0, world->n_instances - 1);
  int worker = (int)world_random_between (world, 0, world->n_workers - 1);
  struct world_instance *in = &world->instances[instance];
  int kind = (int)world_random_between (world, 0, 11);
  world_trace (world, "fault %d instance %d other %d worker %d", kind,
               instance, other, worker);
  switch (kind)
    {
    case 0:
      world_kill (world, instance, world_random_chance (world, 0.5));
      break;
    case 1:
    case 2:
      if (in->cell == NULL)
        world_boot (world, instance);
      break;
    case 3:
      world_set_domain_cut (world, in->domain, true);
      soak_set_registered (world, in->domain, false);
      break;
    case 4:
    case 5:
      for (int i = 0; i < world->n_domains; i++)
        {
          world_set_domain_cut (world, i, false);
          soak_set_registered (world, i, true);
        }
      memset (world->cut, 0, sizeof world->cut);
      memset (world->cut_worker, 0, sizeof world->cut_worker);
      break;
    case 6:
      if (world->workers[worker].up)
        world_crash_worker (world, worker);
      break;
    case 7:
      if (!world->workers[worker].up)
        world_boot_worker (world, worker);
      break;
    case 8:
      world_set_link_cut (world, instance, other, true);
      break;
    case 9:
      world->cut_worker[instance][worker] = true;
      break;
    case 10:
      if (in->cell != NULL)
        world_set_frozen (world, instance, !in->frozen);
      break;
    default:
      world->late_order_share = world_random_chance (world, 0.5) ? 0.05 : 0;
    }
}

/* Size of the deployment of a soak.  */
struct soak_fleet
{
  int n_instances;
  int n_workers;
  int n_domains;
};

/* Plays 300 jobs among random faults that overlap.  */
static inline void
soak (uint64_t seed, const struct soak_fleet *fleet)
{
  struct world *world = world_new (seed, fleet->n_instances, fleet->n_workers,
                                   fleet->n_domains);
  world->delay_cut_frames = seed % 2 == 0;
  /* Calls to a worker that is down wait for its next process.  */
  for (int i = 0; i < world->n_workers; i++)
    world->workers[i].supervised = seed % 3 == 0;
  world_run_for (world, SECOND);
  for (int i = 0; i < 300; i++)
    {
      int instance
          = (int)world_random_between (world, 0, fleet->n_instances - 1);
      (void)world_submit (world, instance,
                          (unsigned)world_random_between (world, 1, 8),
                          world_random_between (world, 30000, 900000));
      if (world_random_chance (world, 0.1))
        soak_inject_fault (world);
      world_resend_lost_jobs (world);
      world_run_for (world, world_random_between (world, 10000, 90000));
    }
  check_violations (world, "soak", seed);
  world_free (world);
}

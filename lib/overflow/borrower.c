/* Whom a planner that refuses jobs asks for room, how much, and how it spends
   what it gets.  The room that another domain tells is old when it is used:
   each request goes to a few domains at random, so that borrowers don't all
   turn to the same one.  */
#include "overflow.h"

#include <xxhash.h>

/* From an origin to a lender over a busy link.  A credit that ends sooner is
   not spent.  */
#define TRAVEL_US 20000
/* After this time without an answer, a planner may have been replaced.  */
#define PLANNER_KNOWN_US 5000000
/* Of the room of another domain, ask for this many times what was refused
   since the last request: about that much is refused until the next answer. */
#define WANTED_FACTOR 2
#define MAX_CREDITS 64

/* What was refused of a service.  */
struct demand
{
  uint64_t service;
  int64_t cpu; /* since the last request */
  int64_t asked_us;
};

struct known_planner
{
  uint64_t domain;
  struct pl_addr addr;
  int64_t answered_us;
};

struct overflow_borrower
{
  uint64_t seed;
  uint64_t n_random;
  GArray *demands;              /* struct demand */
  GArray *credits;              /* struct overflow_credit */
  GArray *planners;             /* struct known_planner */
  struct overflow_credit spent; /* the latest, for the caller */
};

struct overflow_borrower *
overflow_borrower_new (uint64_t seed)
{
  struct overflow_borrower *borrower = g_new (struct overflow_borrower, 1);
  *borrower = (struct overflow_borrower){
    .seed = seed,
    .demands = g_array_new (FALSE, FALSE, sizeof (struct demand)),
    .credits = g_array_new (FALSE, FALSE, sizeof (struct overflow_credit)),
    .planners = g_array_new (FALSE, FALSE, sizeof (struct known_planner)),
  };
  return borrower;
}

void
overflow_borrower_free (struct overflow_borrower *borrower)
{
  g_array_unref (borrower->demands);
  g_array_unref (borrower->credits);
  g_array_unref (borrower->planners);
  g_free (borrower);
}

static void
note_demand (struct overflow_borrower *borrower, uint64_t service, int64_t cpu)
{
  for (guint i = 0; i < borrower->demands->len; i++)
    {
      struct demand *demand
          = &g_array_index (borrower->demands, struct demand, i);
      if (demand->service != service)
        continue;
      demand->cpu += cpu;
      return;
    }
  struct demand demand = { service, cpu, INT64_MIN / 2 };
  g_array_append_val (borrower->demands, demand);
}

const struct overflow_credit *
overflow_borrow_again (struct overflow_borrower *borrower, uint64_t service,
                       int64_t cpu, int64_t now_us)
{
  struct overflow_credit *best = NULL;
  for (guint i = borrower->credits->len; i-- > 0;)
    {
      struct overflow_credit *credit
          = &g_array_index (borrower->credits, struct overflow_credit, i);
      if (credit->until_us <= now_us)
        {
          g_array_remove_index (borrower->credits, i);
          /* BEST has moved with the elements behind this one.  */
          if (best != NULL)
            best--;
        }
      else if (credit->service == service && credit->cpu >= cpu
               && (best == NULL || credit->cpu > best->cpu))
        best = credit;
    }
  if (best == NULL)
    return NULL;
  best->cpu -= cpu;
  borrower->spent = *best;
  return &borrower->spent;
}

const struct overflow_credit *
overflow_borrow (struct overflow_borrower *borrower, uint64_t service,
                 int64_t cpu, int64_t now_us)
{
  note_demand (borrower, service, cpu);
  return overflow_borrow_again (borrower, service, cpu, now_us);
}

static void
note_planner (struct overflow_borrower *borrower, uint64_t domain,
              struct pl_addr addr, int64_t now_us)
{
  struct known_planner known = { domain, addr, now_us };
  for (guint i = 0; i < borrower->planners->len; i++)
    {
      struct known_planner *at
          = &g_array_index (borrower->planners, struct known_planner, i);
      if (at->domain != domain)
        continue;
      *at = known;
      return;
    }
  g_array_append_val (borrower->planners, known);
}

void
overflow_add_credit (struct overflow_borrower *borrower,
                     const struct overflow_credit *credit, int64_t asked_us,
                     int64_t valid_us, int64_t now_us)
{
  struct overflow_credit added = *credit;
  note_planner (borrower, credit->domain, credit->addr, now_us);
  added.until_us = asked_us + MIN (valid_us, OVERFLOW_CREDIT_US) - TRAVEL_US;
  if (credit->cpu > 0 && asked_us <= now_us && added.until_us > now_us
      && borrower->credits->len < MAX_CREDITS)
    g_array_append_val (borrower->credits, added);
}

void
overflow_drop_credits (struct overflow_borrower *borrower)
{
  g_array_set_size (borrower->credits, 0);
  g_array_set_size (borrower->demands, 0);
}

static unsigned
random_below (struct overflow_borrower *borrower, unsigned n)
{
  uint64_t serial = ++borrower->n_random;
  return (unsigned)(XXH64 (&serial, sizeof serial, borrower->seed) % n);
}

static void
choose_domains (struct overflow_borrower *borrower, const uint64_t *domains,
                unsigned n, struct overflow_request *request)
{
  unsigned first = random_below (borrower, n);
  request->n_domains = 1;
  request->domains[0] = domains[first];
  if (n == 1)
    return;
  unsigned second = (first + 1 + random_below (borrower, n - 1)) % n;
  request->n_domains = 2;
  request->domains[1] = domains[second];
}

bool
overflow_next_request (struct overflow_borrower *borrower,
                       const uint64_t *domains, unsigned n_domains,
                       int64_t now_us, struct overflow_request *request)
{
  for (guint i = 0; i < borrower->demands->len && n_domains > 0; i++)
    {
      struct demand *demand
          = &g_array_index (borrower->demands, struct demand, i);
      if (demand->cpu == 0 || now_us - demand->asked_us < OVERFLOW_ASK_US)
        continue;
      *request = (struct overflow_request){
        .service = demand->service,
        .cpu = demand->cpu * WANTED_FACTOR,
      };
      demand->cpu = 0;
      demand->asked_us = now_us;
      choose_domains (borrower, domains, n_domains, request);
      return true;
    }
  return false;
}

bool
overflow_find_planner (struct overflow_borrower *borrower, uint64_t domain,
                       int64_t now_us, struct pl_addr *addr)
{
  for (guint i = 0; i < borrower->planners->len; i++)
    {
      const struct known_planner *known
          = &g_array_index (borrower->planners, struct known_planner, i);
      if (known->domain != domain
          || now_us - known->answered_us > PLANNER_KNOWN_US)
        continue;
      *addr = known->addr;
      return true;
    }
  return false;
}

/* Overflow of whole jobs between failure domains, each of which plans alone:
   docs/design/overflow.md.  A planner that has to refuse a job (borrower) may
   hold credit of another domain's planner (lender).  Then the instance that
   received the job from its caller (origin) forwards it to the lender, which
   owns it from then on.

   Performs no I/O and gets the time as an argument.  Used by one thread.
   Services, domains and jobs are named as in planner.h.  */
#pragma once

#include "pl.h"

/* A borrower asks for room of a service at most this often.  */
#define OVERFLOW_ASK_US 25000
/* Validity of a credit, on the clock of the lender.  */
#define OVERFLOW_CREDIT_US 200000
#define OVERFLOW_RENEW_US 100000
/* A received job ends this long after its latest renewal was handled.  */
#define OVERFLOW_LEASE_US 400000
/* A renewal that was under way for this much longer than the quickest
   forwarding of its origin extends no lease.  */
#define OVERFLOW_STALE_US 200000
/* From the order to stop the runs of a received job to their end.  */
#define OVERFLOW_STOP_US 150000
/* An origin that has lost the lender takes the runs of a job for ended this
   long after it last sent a renewal.  A forwarding is under way for no longer
   than its credit is open, so that a renewal that counts is under way for
   OVERFLOW_CREDIT_US and OVERFLOW_STALE_US at most.  */
#define OVERFLOW_END_US                                                       \
  (OVERFLOW_CREDIT_US + OVERFLOW_STALE_US + OVERFLOW_LEASE_US                 \
   + OVERFLOW_STOP_US)
/* Callers send a job again this long after they have lost its instance.  */
#define OVERFLOW_RESEND_US 1300000
G_STATIC_ASSERT (OVERFLOW_END_US < OVERFLOW_RESEND_US);

/* Credits.  */

/* The room of a domain's workers for one service, in thousandths of a core. */
struct overflow_room
{
  int64_t capacity; /* of usable workers */
  int64_t free;
  int64_t waiting; /* tasks of own jobs in the queue */
  bool crowded;    /* own jobs were refused lately */
};

/* Jobs up to CPU in all may be forwarded to the lender.  */
struct overflow_credit
{
  uint64_t number;
  uint64_t service;
  uint64_t domain;
  uint64_t lender;     /* incarnation */
  struct pl_addr addr; /* of the lender */
  int64_t cpu;         /* thousandths of a core */
  int64_t until_us;
};

/* Lender: the credits that it has granted.  */
struct overflow_lender;
struct overflow_lender *overflow_lender_new (uint64_t id);
void overflow_lender_free (struct overflow_lender *lender);
/* Grants up to WANTED for SERVICE; returns the amount, 0 for none, and sets
   NUMBER.  */
int64_t overflow_lend (struct overflow_lender *lender, uint64_t service,
                       int64_t wanted, const struct overflow_room *room,
                       int64_t now_us, uint64_t *number);
/* Spends CPU of credit NUMBER.  False if it is not open or too small.  */
bool overflow_admit (struct overflow_lender *lender, uint64_t number,
                     int64_t cpu, int64_t now_us);

/* Borrower: the domains that it may ask, and the credits that it holds.  */
struct overflow_borrower;
struct overflow_borrower *overflow_borrower_new (uint64_t seed);
void overflow_borrower_free (struct overflow_borrower *borrower);
/* Notes that a job of SERVICE with tasks of CPU in all is refused; spends
   credit for it if there is enough.  Returns the credit, which is valid until
   the next call, or null.  */
const struct overflow_credit *
overflow_borrow (struct overflow_borrower *borrower, uint64_t service,
                 int64_t cpu, int64_t now_us);
/* The same for a job that was noted before.  */
const struct overflow_credit *
overflow_borrow_again (struct overflow_borrower *borrower, uint64_t service,
                       int64_t cpu, int64_t now_us);
/* Takes a lender's answer to the request of ASKED_US.  */
void overflow_add_credit (struct overflow_borrower *borrower,
                          const struct overflow_credit *credit,
                          int64_t asked_us, int64_t valid_us, int64_t now_us);
/* Forgets all credits: this instance does not plan any more.  */
void overflow_drop_credits (struct overflow_borrower *borrower);

#define OVERFLOW_ASKED_DOMAINS 2 /* at a time */

/* A request for room, and whom to ask.  */
struct overflow_request
{
  uint64_t service;
  int64_t cpu;
  unsigned n_domains;
  uint64_t domains[OVERFLOW_ASKED_DOMAINS];
};

/* Returns whether room of other domains is to be asked for now, and fills
   REQUEST.  DOMAINS are those that may be asked.  Call in each tick and after
   each refusal, until it returns false.  */
bool overflow_next_request (struct overflow_borrower *borrower,
                            const uint64_t *domains, unsigned n_domains,
                            int64_t now_us, struct overflow_request *request);
/* The address of the planner of DOMAIN by its latest answer.  False if none
   has come lately.  */
bool overflow_find_planner (struct overflow_borrower *borrower,
                            uint64_t domain, int64_t now_us,
                            struct pl_addr *addr);

/* Forwarded jobs, at the origin.  */

struct overflow_sent
{
  uint64_t number; /* of the forwarding */
  uint64_t job;
  uint64_t lender; /* incarnation */
  struct pl_addr addr;
  int64_t sent_us;
  int64_t listed_us; /* when a renewal last named it */
  bool lost;         /* it is not renewed any more */
};

struct overflow_sent_table;

/* A message Renew that is due.  The arrays are valid during the call.  */
struct overflow_renewal
{
  uint64_t lender;
  struct pl_addr addr;
  const GArray *numbers;   /* uint64_t; null: none */
  const GArray *withdrawn; /* the same */
};

struct overflow_sent_ops
{
  void (*renew) (void *ctx, const struct overflow_renewal *renewal);
  /* The lender is silent, and the runs of the job have ended.  SENT is freed
     after the call.  */
  void (*lost) (void *ctx, const struct overflow_sent *sent);
};

struct overflow_sent_table *
overflow_sent_table_new (uint64_t id, const struct overflow_sent_ops *ops,
                         void *ctx);
void overflow_sent_table_free (struct overflow_sent_table *table);
unsigned overflow_count_sent (const struct overflow_sent_table *table);
/* Whether BYTES more may be forwarded now; counts them if so.  */
bool overflow_take_bytes (struct overflow_sent_table *table, int64_t bytes,
                          int64_t now_us);
/* Records that JOB is forwarded now; returns the number of the forwarding.  */
uint64_t overflow_add_sent (struct overflow_sent_table *table, uint64_t job,
                            uint64_t lender, struct pl_addr addr,
                            int64_t now_us);
/* The forwarding NUMBER to LENDER, null if there is none.  */
const struct overflow_sent *
overflow_find_sent (struct overflow_sent_table *table, uint64_t number,
                    uint64_t lender);
/* JOB has ended here.  If TELL, the lender is told that it is not wanted any
   more.  */
void overflow_end_sent (struct overflow_sent_table *table, uint64_t job,
                        bool tell);
/* LENDER has handled the renewal of SENT_US, not only a withdrawal.  */
void overflow_on_renewed (struct overflow_sent_table *table, uint64_t lender,
                          int64_t sent_us);
/* Sends due renewals and ends lost jobs.  */
void overflow_tick_sent (struct overflow_sent_table *table, int64_t now_us);

/* Received jobs, at the lender.  */

struct overflow_received
{
  uint64_t number;
  uint64_t job;
  uint64_t origin; /* incarnation */
  struct pl_addr addr;
  int64_t until_us; /* of its lease */
};

struct overflow_answer
{
  uint64_t number;
  enum pl_code code;
  int retry_after_ms;
};

struct overflow_received_table;
struct overflow_received_table *overflow_received_table_new (void);
void overflow_received_table_free (struct overflow_received_table *table);
/* Takes the job of a forwarding that was sent at SENT_US on the clock of the
   origin and admitted at NOW_US; the lease is computed here.  False if the
   number is known already.  */
bool overflow_receive (struct overflow_received_table *table,
                       const struct overflow_received *received,
                       int64_t sent_us, int64_t now_us);
const struct overflow_received *
overflow_find_received (struct overflow_received_table *table, uint64_t job);
/* Records the end of a forwarding, which ends its lease and is kept for
   repetition.  */
void overflow_set_answer (struct overflow_received_table *table,
                          const struct overflow_answer *answer,
                          int64_t now_us);
/* Whether a renewal of FRONT, sent at SENT_US on its clock, is fresh enough to
   count.  */
bool overflow_is_fresh (struct overflow_received_table *table, uint64_t origin,
                        int64_t sent_us, int64_t now_us);
/* Extends the lease of forwarding NUMBER.  Returns null if it is in force;
   else the answer to repeat.  A number that is not known has not run, and is
   not taken any more.  */
const struct overflow_answer *
overflow_renew_received (struct overflow_received_table *table,
                         uint64_t number, int64_t now_us);
/* Returns the received job of forwarding NUMBER, null if there is none.  */
const struct overflow_received *
overflow_find_received_number (struct overflow_received_table *table,
                               uint64_t number);
/* The connection of FRONT was closed: its leases end soon, unless it
   reconnects.  */
void overflow_on_origin_closed (struct overflow_received_table *table,
                                uint64_t origin, int64_t now_us);
/* Removes and returns a received job whose lease has expired, null if there is
   none.  The caller frees it.  */
struct overflow_received *
overflow_take_expired (struct overflow_received_table *table, int64_t now_us);

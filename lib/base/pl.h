/* Base of papayaloft: strings, errors, time, result codes, log events,
   counters, mailboxes and published snapshots.  */
#pragma once

#include <glib.h>
#include <inttypes.h>
#include <stdbool.h>
#include <stddef.h>

#include "codes.gen.h"
#include "counters.gen.h"
#include "events.gen.h"

/* A length-counted string; DATA need not end in a null byte.  */
struct pl_str
{
  const char *data;
  size_t len;
};

/* Format arguments for "%.*s".  */
#define PL_FMT(s) (int)(s).len, (s).data

struct pl_str pl_str (const char *text);
bool pl_str_eq (struct pl_str a, struct pl_str b);
/* Parses a whole decimal number within MIN to MAX; false on anything else. */
bool pl_str_to_int (struct pl_str s, int64_t min, int64_t max, int64_t *out);
/* Parses exactly 16 lower-case hexadecimal digits.  */
bool pl_str_to_hex64 (struct pl_str s, uint64_t *out);

/* An error that is passed down: the callee sets it, the caller owns it.  */
struct pl_err
{
  enum pl_code code;
  char text[256];
};

/* Sets ERR (may be null) and returns false, for "return pl_fail (...)".  */
bool pl_fail (struct pl_err *err, enum pl_code code, const char *fmt, ...)
    G_GNUC_PRINTF (3, 4);

/* What is known to have happened to a submission.  */
enum pl_outcome
{
  PL_OUTCOME_NONE,
  PL_OUTCOME_COMPLETE,
  PL_OUTCOME_NOT_RUN,
  PL_OUTCOME_FAILED,
  PL_OUTCOME_UNKNOWN,
};

struct pl_code_info
{
  enum pl_code code;
  const char *name;
  int http; /* HTTP status */
  enum pl_outcome outcome;
  const char *resubmit; /* "no", "new_key" or "same_key" */
};

extern const struct pl_code_info pl_code_table[];
extern const unsigned pl_code_count;

/* Never null: an unlisted code gives the entry of PL_SYSTEM.  */
const struct pl_code_info *pl_code_info (enum pl_code code);
const char *pl_outcome_name (enum pl_outcome outcome);

/* Time.  A clock is a vtable; tests use the manual one.  */
struct pl_clock
{
  int64_t (*now_us) (struct pl_clock *clock); /* monotonic microseconds */
};

/* The process's monotonic clock.  */
struct pl_clock *pl_clock_real (void);
/* The same, but it counts the time for which the machine is suspended.  */
struct pl_clock *pl_clock_boot (void);

struct pl_manual_clock
{
  struct pl_clock base;
  int64_t now_us; /* advanced by the test */
};

void pl_manual_clock_init (struct pl_manual_clock *clock, int64_t now_us);
void pl_manual_clock_advance (struct pl_manual_clock *clock, int64_t us);

static inline int64_t
pl_now_us (struct pl_clock *clock)
{
  return clock->now_us (clock);
}

/* Log events: numbered lines of key=value fields through GLib's structured
   log.  A value with spaces is written in double quotes.  */
struct pl_event_info
{
  enum pl_event event;
  const char *name;
  GLogLevelFlags level;
};

extern const struct pl_event_info pl_event_table[];
extern const unsigned pl_event_count;

/* Chooses "text" or "json" on standard error and the lowest level: info,
   notice, warning or error.  Call once, before other threads start.  */
void pl_log_init (const char *format, const char *level);
/* Collects lines for standard output instead, where pl_log_flush writes them
   without blocking.  What the reader doesn't take, and what exceeds
   MAX_LINES_PER_S, is dropped and counted in an event of its own.  For
   programs with one thread.  */
void pl_log_buffered (struct pl_clock *clock, unsigned max_lines_per_s);
void pl_log_flush (void);
void pl_log (enum pl_event event, const char *fmt, ...) G_GNUC_PRINTF (2, 3);

/* Counters; any thread may add.  */
struct pl_counter_info
{
  const char *name;
  const char *type; /* "counter" or "gauge" */
  const char *help;
};

extern const struct pl_counter_info pl_counter_table[PL_CTR_COUNT];

void pl_count (enum pl_counter counter, int64_t n);
void pl_gauge_set (enum pl_counter counter, int64_t value);
int64_t pl_counter (enum pl_counter counter);
/* Appends all counters in the Prometheus text format.  */
void pl_counters_text (GString *out);

/* Latency histograms; any thread may observe.  */
enum pl_hist
{
  PL_HIST_RESPONSE,
  PL_HIST_FIRST_START,
  PL_HIST_RUN,
  PL_HIST_COUNT,
};

void pl_observe (enum pl_hist hist, int64_t us);
/* Appends all histograms in the Prometheus text format.  */
void pl_hists_text (GString *out);

/* A mailbox: many threads post, one owner takes.  An item runs on the owner's
   thread and frees itself.  */
struct pl_mbox_item
{
  void (*run) (struct pl_mbox_item *item, void *owner);
};

struct pl_mbox;
struct pl_mbox *pl_mbox_new (void);
/* Runs no item that is left; the owner drains the mailbox first.  */
void pl_mbox_free (struct pl_mbox *mbox);
void pl_mbox_post (struct pl_mbox *mbox, struct pl_mbox_item *item);
/* Takes the next item; waits at most WAIT_US microseconds (0: not at all, -1:
   for ever).  Null on timeout.  */
struct pl_mbox_item *pl_mbox_take (struct pl_mbox *mbox, int64_t wait_us);
/* An eventfd that is readable while items wait, for poll; call
   pl_mbox_take until it gives null to reset it.  Made by the first call, on
   the owner's thread.  */
int pl_mbox_fd (struct pl_mbox *mbox);

/* A published immutable object, read under RCU (flavour "bp", because
   libmicrohttpd's threads can't be registered).  Readers hold a reference.  */
struct pl_shared
{
  gatomicrefcount refs; /* starts at 1, owned by the creator */
  void (*free) (struct pl_shared *shared);
};

struct pl_rcu_ptr
{
  struct pl_shared *value;
};

void pl_shared_init (struct pl_shared *shared,
                     void (*free_fn) (struct pl_shared *shared));
void pl_shared_unref (struct pl_shared *shared); /* null is allowed */
/* Publishes VALUE and takes over the caller's reference; the former value is
   released after a grace period.  One publishing thread a slot.  */
void pl_rcu_ptr_publish (struct pl_rcu_ptr *slot, struct pl_shared *value);
/* Gives a new reference, or null if nothing was published.  */
struct pl_shared *pl_rcu_ptr_get (struct pl_rcu_ptr *slot);

/* 64 random bits from the system, never 0.  */
uint64_t pl_random64 (void);

/* An IPv4 address and port, host byte order.  */
struct pl_addr
{
  uint32_t ip;
  uint16_t port;
};

#define PL_ADDR_TEXT 24 /* bytes that pl_addr_text may write */

/* Parses "a.b.c.d:port".  */
bool pl_addr_parse (struct pl_str s, struct pl_addr *out);
char *pl_addr_text (struct pl_addr addr, char buf[PL_ADDR_TEXT]);
bool pl_addr_eq (struct pl_addr a, struct pl_addr b);

/* Utilities that all modules use (prefix pl, for papayaloft): strings, errors,
   result codes, clocks, log events, metrics, mailboxes, RCU pointers and
   addresses.  */
#pragma once

#include <glib.h>
#include <inttypes.h>
#include <stdbool.h>
#include <stddef.h>

#include "codes.gen.h"
#include "counters.gen.h"
#include "events.gen.h"

#define PL_VERSION "0.3.0" /* of all programs, built together */

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

/* An error.  The caller owns it and passes a pointer; the callee that fails
   sets it.  */
struct pl_err
{
  enum pl_code code;
  char text[256];
};

/* Sets ERR (may be null) and returns false, so that a function can end with
   "return pl_fail (...)".  */
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
  const char *resubmit; /* whether to submit again: "no", "new_key" or
                           "same_key" */
};

extern const struct pl_code_info pl_code_table[];
extern const unsigned pl_code_count;

/* The table's entry for CODE; for an unlisted code that of PL_SYSTEM.  */
const struct pl_code_info *pl_code_info (enum pl_code code);
const char *pl_outcome_name (enum pl_outcome outcome);

/* A clock, behind a vtable; tests use the manual one.  */
struct pl_clock
{
  int64_t (*now_us) (struct pl_clock *clock); /* monotonic microseconds */
};

/* The monotonic clock of the system.  */
struct pl_clock *pl_clock_real (void);
/* A monotonic clock that also counts the time for which the machine is
   suspended.  */
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

/* Log events: lines of key=value fields with the number and name of the event,
   through GLib's structured log.  A value with spaces is written in double
   quotes.  */
struct pl_event_info
{
  enum pl_event event;
  const char *name;
  GLogLevelFlags level;
};

extern const struct pl_event_info pl_event_table[];
extern const unsigned pl_event_count;

/* Sets the format on standard error, "text" or "json", and the lowest level
   that is logged: "info", "notice", "warning" or "error".  Call once, before
   other threads start.  */
void pl_log_init (const char *format, const char *level);
/* From now on collects lines in a buffer, which pl_log_flush writes to
   standard output without blocking.  Lines for which the buffer has no room,
   and lines above MAX_LINES_PER_S, are dropped and counted; an event gives
   their number.  For programs with one thread.  */
void pl_log_buffered (struct pl_clock *clock, unsigned max_lines_per_s);
void pl_log_flush (void);
void pl_log (enum pl_event event, const char *fmt, ...) G_GNUC_PRINTF (2, 3);

/* Metrics; any thread may change them.  */
struct pl_counter_info
{
  const char *name;
  const char *type; /* "counter" or "gauge" */
  const char *help;
};

extern const struct pl_counter_info pl_counter_table[PL_CTR_COUNT];

/* Adds N to a counter.  */
void pl_count (enum pl_counter counter, int64_t n);
void pl_gauge_set (enum pl_counter counter, int64_t value);
/* The value of a counter or gauge.  */
int64_t pl_counter (enum pl_counter counter);
/* Appends all counters and gauges in the Prometheus text format.  */
void pl_append_counters (GString *out);

/* Latency histograms; any thread may add to them.  */
enum pl_hist
{
  PL_HIST_RESPONSE,
  PL_HIST_FIRST_START,
  PL_HIST_RUN,
  PL_HIST_ORDER,
  PL_HIST_COUNT,
};

/* Adds one value.  */
void pl_observe (enum pl_hist hist, int64_t us);
/* Appends all histograms in the Prometheus text format.  */
void pl_append_histograms (GString *out);

/* A mailbox: any thread posts items, its owner's thread takes them and calls
   RUN, which also frees the item.  */
struct pl_mbox_item
{
  void (*run) (struct pl_mbox_item *item, void *owner);
};

struct pl_mbox;
struct pl_mbox *pl_mbox_new (void);
/* The owner has to empty the mailbox first: items that are left neither run
   nor are freed.  */
void pl_mbox_free (struct pl_mbox *mbox);
void pl_mbox_post (struct pl_mbox *mbox, struct pl_mbox_item *item);
/* Takes the next item; waits at most WAIT_US microseconds (0: not at all, -1:
   without limit).  Null on timeout.  */
struct pl_mbox_item *pl_mbox_take (struct pl_mbox *mbox, int64_t wait_us);
/* An eventfd for poll that is readable while the mailbox has items; it is
   reset when pl_mbox_take returns null.  The first call, on the owner's
   thread, makes it.  */
int pl_mbox_fd (struct pl_mbox *mbox);

/* An immutable object with a reference count, the base of a larger struct.
   One thread publishes it through an RCU pointer; any thread gets a reference
   to the latest one without a lock.  The RCU flavour is "bp", because
   libmicrohttpd's threads can't be registered.  */
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
/* Publishes VALUE (may be null) and takes over the caller's reference; drops
   the reference to the former value after a grace period.  For one thread
   only.  */
void pl_rcu_ptr_publish (struct pl_rcu_ptr *ptr, struct pl_shared *value);
/* Returns a new reference to the latest value, or null if there is none.  */
struct pl_shared *pl_rcu_ptr_get (struct pl_rcu_ptr *ptr);

/* 64 random bits from the system, never 0.  */
uint64_t pl_random64 (void);

/* An IPv4 address and port, host byte order.  */
struct pl_addr
{
  uint32_t ip;
  uint16_t port;
};

#define PL_ADDR_TEXT 24 /* size of the buffer of pl_addr_text */

/* Parses "a.b.c.d:port".  */
bool pl_addr_parse (struct pl_str s, struct pl_addr *out);
/* Writes "a.b.c.d:port" to BUF and returns BUF.  */
char *pl_addr_text (struct pl_addr addr, char buf[PL_ADDR_TEXT]);
bool pl_addr_eq (struct pl_addr a, struct pl_addr b);

#!/bin/bash
# Resubmission without process faults: a key runs at most once, and the outcome
# that is reported for it is true at every instance and at any later time.
cd "$(dirname "$0")/../.." || exit 2
. tests/faults/lib.sh
WORKERS=2

setup 1 2
quick=(--log-level notice --heartbeat-ms 100 --far-heartbeat-ms 200
  --suspect-ms 600 --dead-ms 800)
start_entry a d1 1 1 "${quick[@]}"
start_entry b d1 1 2 "${quick[@]}"
start_entry c d2 2 1 "${quick[@]}"
# Forgets keys by count: it keeps 16 records, 2 per epoch.
start_entry few d2 2 2 "${quick[@]}" --keep-records 16 --epoch-s 1 \
  --answer-bytes 500
# Forgets keys of epochs that ended 10 s ago, the least that the setting allows.
start_entry old d2 2 3 "${quick[@]}" --keep-s 10 --epoch-s 1
await_ready
await_peers

aged=$(prefix_of old)
is "to be forgotten by age" \
  "$(post old "$aged.aged" "$(job aged.1.0 10)" | code)" OK
aged_at=$SECONDS

pids=()
# Ten keys, each submitted to two instances at the same moment; then one of them
# again after its answer.
prefix=$(prefix_of a)
for i in $(seq 10); do
  post a "$prefix.both-$i" "$(job "both.$i.0" 100)" >"$DIR/both-a-$i" &
  pids+=("$!")
  post b "$prefix.both-$i" "$(job "both.$i.0" 100)" >"$DIR/both-b-$i" &
  pids+=("$!")
done
wait "${pids[@]}"
for i in $(seq 10); do
  is "same moment, $i: one answer" "$(answers <"$DIR/both-a-$i")" \
    "$(answers <"$DIR/both-b-$i")"
  is "same moment, $i: complete" "$(code <"$DIR/both-a-$i")" OK
  is "same moment, $i: one start" "$(starts_of "both.$i.0")" 1
done
first=$(answers <"$DIR/both-a-1")
for at in a b c few; do
  is "after the answer at $at" \
    "$(post $at "$prefix.both-1" "$(job both.1.0 100)" | answers)" "$first"
done
is "after the answer: one start" "$(starts_of both.1.0)" 1

# A key resubmitted while its job runs, in the same and in another failure domain.
post a "$prefix.long" "$(job long.1.0 800)" >"$DIR/long-a" &
pids=("$!")
wait_for 5 started long.1.0
post b "$prefix.long" "$(job long.1.0 800)" >"$DIR/long-b" &
pids+=("$!")
post c "$prefix.long" "$(job long.1.0 800)" >"$DIR/long-c" &
pids+=("$!")
sleep 0.2
is "while it runs: another body" \
  "$(post b "$prefix.long" "$(job other.1.0 800)" | code)" KEY_REUSED
is "while it runs: a malformed body" \
  "$(post c "$prefix.long" '{"service":' | code)" KEY_REUSED
is "while it runs: its state" "$(get_job c "$prefix.long" | jq -r .state)" running
wait "${pids[@]}"
is "while it runs: complete" "$(code <"$DIR/long-a")" OK
is "while it runs: joined at b" "$(answers <"$DIR/long-b")" \
  "$(answers <"$DIR/long-a")"
is "while it runs: joined at c" "$(answers <"$DIR/long-c")" \
  "$(answers <"$DIR/long-a")"
is "while it runs: one start" "$(starts_of long.1.0)" 1
is "another body never ran" "$(starts_of other.1.0)" 0
is "after it ran: another body" \
  "$(post a "$prefix.long" "$(job other.1.0 800)" | code)" KEY_REUSED
is "after it ran: a malformed body" \
  "$(post a "$prefix.long" '{"service":' | code)" KEY_REUSED
is "another body still never ran" "$(starts_of other.1.0)" 0

# A malformed body uses up an unrecorded key: the key cannot run later.
is "malformed, unrecorded" "$(post b "$prefix.bad" '{' | outcome_and_code)" \
  "not_run BAD_JSON"
is "malformed, then well-formed" \
  "$(post a "$prefix.bad" "$(job bad.1.0 10)" | code)" KEY_REUSED
is "malformed, then well-formed: no start" "$(starts_of bad.1.0)" 0

# Cancelled while the job runs, and before it is submitted.
post a "$prefix.stop" "$(job stop.1.0 3000)" >"$DIR/stop" &
pids=("$!")
wait_for 5 started stop.1.0
cancel_job b "$prefix.stop" >"$DIR/stop-cancel"
wait "${pids[@]}"
expect "cancelled while it runs is not \"not run\"" \
  test "$(jq -r .outcome "$DIR/stop")" != not_run
is "cancelled while it runs: both callers get the same answer" "$(outcome_and_code <"$DIR/stop")" \
  "$(outcome_and_code <"$DIR/stop-cancel")"
outcome=$(outcome_and_code <"$DIR/stop")
is "cancelled, submitted again" \
  "$(post c "$prefix.stop" "$(job stop.1.0 3000)" | outcome_and_code)" "$outcome"
is "cancelled, submitted again: one start" "$(starts_of stop.1.0)" 1
for at in a b c; do
  is "cancelled before it arrives, at $at" \
    "$(cancel_job $at "$prefix.early-$at" | outcome_and_code)" "not_run CANCELLED"
  is "arrives after its cancellation at $at" \
    "$(post b "$prefix.early-$at" "$(job "early.$at.0" 10)" | outcome_and_code)" \
    "not_run CANCELLED"
  is "cancelled before it arrives at $at: no start" \
    "$(starts_of "early.$at.0")" 0
done

# Answers dropped because of --answer-bytes; the record is kept.
small=$(prefix_of few)
post few "$small.gone" "$(job gone.1.0 10)" >"$DIR/gone"
is "answer held" "$(code <"$DIR/gone")" OK
for i in 1 2 3; do
  post few "$small.fill-$i" "$(job "fill.$i.0" 10)" >/dev/null
done
is "answer dropped" "$(post b "$small.gone" "$(job gone.1.0 10)" | outcome_and_code)" \
  "complete ANSWER_GONE"
is "answer dropped: one start" "$(starts_of gone.1.0)" 1

# Keys forgotten by count: unknown at every instance, and never run again.
for i in $(seq 40); do
  post few "$(prefix_of few).many-$i" "$(job "many.$i.0" 5)" >/dev/null
done
for at in few a; do
  is "forgotten by count at $at" \
    "$(post $at "$small.gone" "$(job gone.1.0 10)" | outcome_and_code)" \
    "unknown UNKNOWN_FORGOTTEN"
  is "never seen, below the floor, at $at" \
    "$(post $at "$small.never" "$(job never.1.0 10)" | outcome_and_code)" \
    "unknown UNKNOWN_FORGOTTEN"
done
is "forgotten by count: one start" "$(starts_of gone.1.0)" 1
is "below the floor: no start" "$(starts_of never.1.0)" 0

# An upstream that closes a persistent connection after the start of a task: neon
# must not send the request again.  The first job opens the connections.
# fault MODE: sets the fault of all workers of d1.
fault() {
  local w
  for w in $(seq "$WORKERS"); do
    curl -sf -m 2 -o /dev/null "http://$NET.1.$w:9000/standin/fault" \
      -d "{\"mode\":\"$1\"}"
  done
}
body='{"service":"agenda","kind":"confirm-hold","team":"bookings",
"deadline_ms":5000,"tasks":['
for i in $(seq 16); do
  body=$body$(printf '{"size_ms":50,"input":{"run_ms":50,"echo":"warm.1.%s"}}' "$i")
  [ "$i" = 16 ] || body=$body,
done
post a "$prefix.warm" "$body]}" >/dev/null
fault cut_after
for i in 1 2 3 4; do
  outcome=$(post a "$prefix.cut-$i" "$(job "cut.$i.0" 20)" | jq -r .outcome)
  is "connection closed after the start, $i" "$outcome" unknown
  is "connection closed after the start, $i: one start" \
    "$(starts_of "cut.$i.0")" 1
done
fault none

# Keys forgotten by age: 10 s after the end of an epoch of 1 s.
while [ $((SECONDS - aged_at)) -lt 13 ]; do sleep 0.2; done
for at in old a; do
  is "forgotten by age at $at" \
    "$(post $at "$aged.aged" "$(job aged.1.0 10)" | outcome_and_code)" \
    "unknown UNKNOWN_FORGOTTEN"
  is "never seen and too old, at $at" \
    "$(post $at "$aged.late" "$(job late.1.0 10)" | outcome_and_code)" \
    "unknown UNKNOWN_FORGOTTEN"
done
is "forgotten by age: one start" "$(starts_of aged.1.0)" 1
is "too old: no start" "$(starts_of late.1.0)" 0
finish

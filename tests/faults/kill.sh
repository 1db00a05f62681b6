#!/bin/bash
# SIGKILL of entry instances under load: no task starts twice, the outcome
# "not run" is true, and new jobs are served again within 1.3 s.  Prints the
# measured times.
cd "$(dirname "$0")/../.." || exit 2
. tests/faults/lib.sh
SEED=${SEED:-11}

setup 1 2
quiet=(--log-level notice)
start_entry a d1 1 1 "${quiet[@]}"
start_entry b d1 1 2 "${quiet[@]}"
start_entry c d2 2 1 "${quiet[@]}"
start_entry d d2 2 2 "${quiet[@]}"
await_ready
await_peers

"$BIN/papayaload" run --entry "$(entry_list)" --mix all --seed "$SEED" \
  --load 0.35 --slots $((2 * WORKERS * SLOTS)) --scale 0.3 --seconds 13 \
  --threads 150 --tries 5 --deadline-ms 8000 --history "$DIR/history.log" \
  --out "$DIR/report.json" >"$DIR/load.txt" 2>&1 &
PID[load]=$!
sleep 2

# Keys of a: some have started, some are answered, some are never submitted to
# it.
prefix=$(prefix_of a)
owner=$(status_of a | jq -r .id)
pids=()
for i in $(seq 8); do
  post a "$prefix.done-$i" "$(job "done-$i.1.0" 20)" >"$DIR/done-$i" &
  pids+=("$!")
done
wait "${pids[@]}"
pids=()
for i in $(seq 8); do
  post b "$prefix.run-$i" "$(job "run-$i.1.0" 4000)" >"$DIR/run-$i" &
  pids+=("$!")
done
for i in $(seq 8); do
  is "answered before the kill, $i" "$(code <"$DIR/done-$i")" OK
  expect "started before the kill, $i" wait_for 3 started "run-$i.1.0"
done

kill_entry a
killed=$(now_ms)

# recovery NAME ENTRY: measures the ms from $killed until a new job is complete
# at ENTRY.
recovery() {
  local i at
  for i in $(seq 200); do
    if [ "$(post "$2" "$(prefix_of "$2").$1-$i" "$(job "$1-$i.1.0" 5)" \
      | code)" = OK ]; then
      at=$(($(now_ms) - killed))
      printf 'measured: %s: a new job complete after %s ms, try %s\n' \
        "$1" "$at" "$i"
      expect "$1: new jobs complete before the peer is suspected" test "$at" -lt 1300
      return
    fi
  done
  expect "$1: new jobs complete" false
}
recovery after-kill-a b

wait "${pids[@]}"
for i in $(seq 8); do
  is "waiter of a started key, $i" "$(outcome_and_code <"$DIR/run-$i")" \
    "unknown UNKNOWN_OWNER"
  for at in b c; do
    is "started key $i again at $at" \
      "$(post $at "$prefix.run-$i" "$(job "run-$i.1.0" 4000)" | outcome_and_code)" \
      "unknown UNKNOWN_OWNER"
    is "answered key $i again at $at" \
      "$(post $at "$prefix.done-$i" "$(job "done-$i.1.0" 20)" | outcome_and_code)" \
      "unknown UNKNOWN_OWNER"
    is "key $i that never arrived, at $at" \
      "$(post $at "$prefix.new-$i" "$(job "new-$i.1.0" 20)" | outcome_and_code)" \
      "not_run REVOKED"
  done
done

# The replacement at the same address has an identity of its own.
start_entry a d1 1 1 "${quiet[@]}"
entry_ready a
expect "the replacement has another identity" \
  test "$(status_of a | jq -r .id)" != "$owner"
expect "the replacement has all others as live peers" wait_for 5 has_peers a 3
for i in $(seq 8); do
  is "started key $i at the replacement" \
    "$(post a "$prefix.run-$i" "$(job "run-$i.1.0" 4000)" | outcome_and_code)" \
    "unknown UNKNOWN_OWNER"
  is "key $i that never arrived, at the replacement" \
    "$(post a "$prefix.new-$i" "$(job "new-$i.1.0" 20)" | outcome_and_code)" \
    "not_run REVOKED"
done

# Kills b, which was the witness of the first a: without owner and witness
# nothing can be proved about the keys.
kill_entry b
killed=$(now_ms)
recovery after-kill-b a
for i in 1 2; do
  for at in a d; do
    is "owner and witness killed, key $i at $at" \
      "$(post $at "$prefix.run-$i" "$(job "run-$i.1.0" 4000)" | outcome_and_code)" \
      "unknown UNKNOWN_OWNER"
    is "owner and witness killed, unseen key $i at $at" \
      "$(post $at "$prefix.gone-$i" "$(job "gone-$i.1.0" 20)" | outcome_and_code)" \
      "unknown UNKNOWN_OWNER"
  done
done

# Kills the last instance of the domain; the other domain still serves.
kill_entry a
killed=$(now_ms)
recovery after-kill-domain c
start_entry a d1 1 1 "${quiet[@]}"
start_entry b d1 1 2 "${quiet[@]}"
entry_ready a
entry_ready b
wait "${PID[load]}"
unset "PID[load]"

for i in $(seq 8); do
  is "one start of started key $i" "$(starts_of "run-$i.1.0")" 1
  is "one start of answered key $i" "$(starts_of "done-$i.1.0")" 1
  is "no start of key $i that never arrived" "$(starts_of "new-$i.1.0")" 0
done
for i in 1 2; do
  is "no start of unseen key $i" "$(starts_of "gone-$i.1.0")" 0
done
compare_history "$DIR/history.log" | tee "$DIR/check.txt"
expect "the history agrees with the workers" test "${PIPESTATUS[0]}" -eq 0
jq -c '.total | {jobs, complete, not_run, failed, unknown, no_answer, wrong}' \
  "$DIR/report.json" | sed 's/^/measured: load: /'
is "no wrong answer" "$(jq .total.wrong "$DIR/report.json")" 0
is "no job without an answer" "$(jq .total.no_answer "$DIR/report.json")" 0
expect "at least 85% of the jobs complete" \
  jq -e '.total.complete >= 0.85 * .total.jobs' "$DIR/report.json" >/dev/null
finish

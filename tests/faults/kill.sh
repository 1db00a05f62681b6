#!/bin/bash
# SIGKILL of entry instances under load: nothing starts twice, "not run" is
# true, and new jobs are served again at once.  Prints what was measured.
cd "$(dirname "$0")/../.." || exit 2
. tests/faults/lib.sh
SEED=${SEED:-11}

setup 1 2
quiet=(--log-level notice)
start_entry a d1 1 1 "${quiet[@]}"
start_entry b d1 1 2 "${quiet[@]}"
start_entry c d2 2 1 "${quiet[@]}"
start_entry d d2 2 2 "${quiet[@]}"
all_ready
all_meet

"$BIN/papayaload" run --entry "$(entry_list)" --mix all --seed "$SEED" \
  --load 0.35 --slots $((2 * WORKERS * SLOTS)) --scale 0.3 --seconds 13 \
  --threads 150 --tries 5 --deadline-ms 8000 --history "$DIR/history.log" \
  --out "$DIR/report.json" >"$DIR/load.txt" 2>&1 &
PID[load]=$!
sleep 2

# Keys of a: some start, some have an answer, some are never sent to it.
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

# recovery NAME ENTRY: ms from KILLED until a new job is complete at ENTRY.
recovery() {
  local i at
  for i in $(seq 200); do
    if [ "$(post "$2" "$(prefix_of "$2").$1-$i" "$(job "$1-$i.1.0" 5)" \
      | code)" = OK ]; then
      at=$(($(now_ms) - killed))
      printf 'measured: %s: a new job complete after %s ms, try %s\n' \
        "$1" "$at" "$i"
      expect "$1: served again before suspicion" test "$at" -lt 1300
      return
    fi
  done
  expect "$1: served again" false
}
recovery after-kill-a b

wait "${pids[@]}"
for i in $(seq 8); do
  is "waiter of a started key, $i" "$(verdict <"$DIR/run-$i")" \
    "unknown UNKNOWN_OWNER"
  for at in b c; do
    is "started key $i again at $at" \
      "$(post $at "$prefix.run-$i" "$(job "run-$i.1.0" 4000)" | verdict)" \
      "unknown UNKNOWN_OWNER"
    is "answered key $i again at $at" \
      "$(post $at "$prefix.done-$i" "$(job "done-$i.1.0" 20)" | verdict)" \
      "unknown UNKNOWN_OWNER"
    is "key $i that never arrived, at $at" \
      "$(post $at "$prefix.new-$i" "$(job "new-$i.1.0" 20)" | verdict)" \
      "not_run REVOKED"
  done
done

# A replacement at the same address is another incarnation.
start_entry a d1 1 1 "${quiet[@]}"
entry_ready a
expect "the replacement has another identity" \
  test "$(status_of a | jq -r .id)" != "$owner"
expect "the replacement meets all" wait_for 5 sees a 3
for i in $(seq 8); do
  is "started key $i at the replacement" \
    "$(post a "$prefix.run-$i" "$(job "run-$i.1.0" 4000)" | verdict)" \
    "unknown UNKNOWN_OWNER"
  is "key $i that never arrived, at the replacement" \
    "$(post a "$prefix.new-$i" "$(job "new-$i.1.0" 20)" | verdict)" \
    "not_run REVOKED"
done

# The other instance of the domain, whose witness was the first a: with both
# gone nothing can be proved.
kill_entry b
killed=$(now_ms)
recovery after-kill-b a
for i in 1 2; do
  for at in a d; do
    is "owner and witness gone, key $i at $at" \
      "$(post $at "$prefix.run-$i" "$(job "run-$i.1.0" 4000)" | verdict)" \
      "unknown UNKNOWN_OWNER"
    is "owner and witness gone, unseen key $i at $at" \
      "$(post $at "$prefix.gone-$i" "$(job "gone-$i.1.0" 20)" | verdict)" \
      "unknown UNKNOWN_OWNER"
  done
done

# The last instance of the domain; the other domain goes on.
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

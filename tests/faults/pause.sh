#!/bin/bash
# An entry or a witness process is stopped (SIGSTOP) for longer than every time
# limit and then continues: it must start no task of a key for which another
# instance has reported "not run" in the meantime.
cd "$(dirname "$0")/../.." || exit 2
. tests/faults/lib.sh
SEED=${SEED:-23}
WORKERS=1
SLOTS=8

setup 1 2
quick=(--log-level notice --heartbeat-ms 100 --far-heartbeat-ms 200
  --suspect-ms 500 --dead-ms 700)
start_entry a d1 1 1 "${quick[@]}"
start_entry b d1 1 2 "${quick[@]}"
start_entry c d2 2 1 "${quick[@]}"
await_ready
wait_for 5 has_witness a || abort_test "a has no witness"
wait_for 5 has_witness b || abort_test "b has no witness"
wait_for 5 has_peers c 2 || abort_test "c does not see its peers"

stop() { kill -STOP "${PID[$1]}"; }
resume() { kill -CONT "${PID[$1]}"; }
pids=()
# background NAME COMMAND...: runs a command in the background; its output goes
# to DIR/answer-NAME.
background() {
  local name=$1
  shift
  "$@" >"$DIR/answer-$name" &
  pids+=("$!")
}
# Waits for all background commands.  Bash forgets the ids of children that ended
# long ago and prints an error for them.
wait_all() {
  wait "${pids[@]}" 2>/dev/null
  pids=()
}
# The outcome and code of the answer to background command $1.
answer_of() { outcome_and_code <"$DIR/answer-$1"; }

# Whether entry $1 has $2 free slots.
has_free_slots() { [ "$(status_of "$1" | jq .free_slots)" -eq "$2" ]; }
wait_for 5 has_free_slots a 4 || abort_test "a does not get its share of the slots"

# a runs eight tasks of 1.5 s, half of them on borrowed slots.  They are of another
# kind than the short tasks, so that the learnt size of those stays right.  Eight
# jobs wait behind them: the deadline of four passes during the pause.
prefix=$(prefix_of a)
for i in $(seq 8); do
  background "run-$i" post a "$prefix.run-$i" \
    "$(job "run-$i.1.0" 1500 release-slot)"
  expect "task $i runs" wait_for 3 started "run-$i.1.0"
done
for i in 1 2 3 4; do
  background "short-$i" post a "$prefix.short-$i" \
    "$(job "short-$i.1.0" 20 confirm-hold 2500)"
  background "queue-$i" post a "$prefix.queue-$i" "$(job "queue-$i.1.0" 20)"
done
sleep 0.2
stop a
stopped=$(now_ms)
# Requests that wait in the sockets of a: forwarded by b and c, and sent directly
# by callers.
for i in 1 2 3 4; do
  background "via-b-$i" post b "$prefix.via-b-$i" "$(job "via-b-$i.1.0" 20)"
  background "via-c-$i" post c "$prefix.via-c-$i" "$(job "via-c-$i.1.0" 20)"
  background "direct-$i" post a "$prefix.direct-$i" "$(job "direct-$i.1.0" 20)"
  background "cancel-$i" cancel_job b "$prefix.cancel-$i"
done
served=0
for i in $(seq 20); do
  got=$(post b "$(prefix_of b).in-pause-$i" \
    "$(job "in-pause-$i.1.0" 5 check-calendar)" | code)
  [ "$got" = OK ] && served=$((served + 1))
  others="${others:-}${got#OK} "
done
printf 'measured: owner stopped: %s of 20 new jobs complete at its peer; %s\n' \
  "$served" "$(xargs -n1 <<<"$others" | sort | uniq -c | xargs)"
expect "the peer serves new jobs" test "$served" -ge 16
while [ $(($(now_ms) - stopped)) -lt 2800 ]; do sleep 0.1; done
for i in 1 2 3 4; do
  for at in b c; do
    is "stopped owner: forwarded by b, key $i again at $at" \
      "$(post $at "$prefix.via-b-$i" "$(job "via-b-$i.1.0" 20)" | outcome_and_code)" \
      "not_run REVOKED"
    is "stopped owner: in its listen backlog, key $i at $at" \
      "$(post $at "$prefix.direct-$i" "$(job "direct-$i.1.0" 20)" | outcome_and_code)" \
      "not_run REVOKED"
    is "stopped owner: queued there, key $i at $at" \
      "$(post $at "$prefix.queue-$i" "$(job "queue-$i.1.0" 20)" | outcome_and_code)" \
      "unknown UNKNOWN_OWNER"
    is "stopped owner: expired there, key $i at $at" \
      "$(post $at "$prefix.short-$i" "$(job "short-$i.1.0" 20)" | outcome_and_code)" \
      "unknown UNKNOWN_OWNER"
  done
  is "stopped owner: answer to the caller of b, $i" "$(answer_of "via-b-$i")" \
    "not_run REVOKED"
  is "stopped owner: answer to the caller of c, $i" "$(answer_of "via-c-$i")" \
    "not_run REVOKED"
  is "stopped owner: cancelled at b, $i" "$(answer_of "cancel-$i")" \
    "not_run REVOKED"
done
resume a
wait_all
sleep 1
for i in 1 2 3 4; do
  is "resumed: key $i of its listen backlog" "$(answer_of "direct-$i")" "not_run NO_PERMIT"
  is "resumed: expired, $i" "$(answer_of "short-$i")" "not_run DEADLINE_LOST"
  is "resumed: queued, $i" "$(answer_of "queue-$i" | cut -d' ' -f1)" complete
  is "resumed: one start of queued key $i" "$(starts_of "queue-$i.1.0")" 1
  is "resumed: cancelled key $i" \
    "$(post a "$prefix.cancel-$i" "$(job "cancel-$i.1.0" 20)" \
      | jq -r .outcome)" not_run
  for name in short via-b via-c direct cancel; do
    is "resumed: no start of $name-$i" "$(starts_of "$name-$i.1.0")" 0
  done
done
for i in $(seq 8); do
  is "one start of running task $i" "$(starts_of "run-$i.1.0")" 1
done

# The witness of a is stopped: a refuses jobs, which have indeed not run, and then
# serves without a witness.
wait_for 5 has_witness a || abort_test "a has no witness again"
wait_for 5 has_free_slots a 4 || abort_test "a does not get its share again"
prefix=$(prefix_of a)
stop b
killed=$(now_ms)
for i in 1 2 3 4; do
  background "mute-$i" post a "$prefix.mute-$i" "$(job "mute-$i.1.0" 20)"
done
wait_all
printf 'measured: witness stopped: refused after %s ms\n' \
  $(($(now_ms) - killed))
expect "a refuses within 500 ms" test $(($(now_ms) - killed)) -lt 500
served=0
for i in $(seq 20); do
  [ "$(post a "$(prefix_of a).alone-$i" "$(job "alone-$i.1.0" 5)" \
    | code)" = OK ] && served=$((served + 1))
done
printf 'measured: witness stopped: %s of 20 new jobs complete\n' "$served"
expect "a serves without a witness" test "$served" -ge 18
sleep 1
resume b
sleep 0.5
for i in 1 2 3 4; do
  is "witness stopped: answer, $i" "$(answer_of "mute-$i")" "not_run NO_PERMIT"
  is "witness resumed: key $i again at it" \
    "$(post b "$prefix.mute-$i" "$(job "mute-$i.1.0" 20)" | outcome_and_code)" \
    "not_run NO_PERMIT"
  is "witness resumed: no start of key $i" "$(starts_of "mute-$i.1.0")" 0
done
expect "a has a witness again" wait_for 5 has_witness a

# Load while a, b and c are stopped and resumed one after another.
"$BIN/papayaload" run --entry "$(entry_list)" --mix all --seed "$SEED" \
  --rate 15 --scale 0.05 --seconds 8 --threads 100 --tries 5 \
  --deadline-ms 4000 --history "$DIR/history.log" --out "$DIR/report.json" \
  >"$DIR/load.txt" 2>&1 &
PID[load]=$!
for name in a b a b c; do
  sleep 0.5
  stop $name
  sleep 1
  resume $name
done
check_load
finish

#!/bin/bash
# Each fault of the upstream stand-in under load, with real processes: no caller
# gets a partial answer or one of another job, every reported outcome is true, no
# task starts twice, and no worker gets more tasks or connections than allowed.
cd "$(dirname "$0")/../.." || exit 2
WORKERS=4
# --worker-connections: each of the two instances may use half of them, and
# reserves four of these for cancellations. All slots of a worker and the
# cancellations of both instances would need more than this.
CONNECTIONS=14
. tests/faults/lib.sh

start_platform || abort_test "no platform"
start_upstreams 1 || abort_test "no upstreams"
write_note "$DIR/note.json" 0 brum=1
apply_note "$DIR/note.json" >/dev/null || abort_test "no note"
for n in 1 2; do
  start_entry "e$n" brum 1 "$n" --upstream-silence-ms 1000 \
    --worker-connections "$CONNECTIONS" --drain-linger-ms 100 \
    --log-level notice
done
for n in 1 2; do
  entry_ready "e$n" || abort_test "e$n is not ready"
done
sleep 1.5 # until the shares of slots are in force
LOG=$DIR/starts-1.log
NEXT=0 # number of the next job; numbers are never used twice

workers() { seq -f "$NET.1.%g:9000" 1 "$WORKERS"; }
fault() {
  local w
  for w in $(workers); do
    curl -sf -m 2 -o /dev/null "http://$w/standin/fault" -d "$1" || return 1
  done
}
# stats MEMBER: one member of the statistics of all workers, one line each.
stats() {
  local w
  for w in $(workers); do
    curl -sf -m 2 "http://$w/standin/stats" | jq ".$1"
  done
}
workers_are_idle() { [ "$(stats running | sort -n | tail -n 1)" = 0 ]; }

# load NAME ARG...: runs open-loop load; what the upstreams log in this time goes
# to NAME.starts, the callers' history to NAME.history.
load() {
  local name=$1 lines status
  shift
  lines=$(wc -l <"$LOG")
  "$BIN/papayaload" run --entry "$(entry_list)" --first "$NEXT" \
    --history "$DIR/$name.history" --out "$DIR/$name.json" "$@" \
    >"$DIR/$name.txt"
  status=$?
  NEXT=$((NEXT + 100000))
  wait_for 3 workers_are_idle
  tail -n "+$((lines + 1))" "$LOG" >"$DIR/$name.starts"
  return $status
}

outcomes() {
  awk '{ n[$3]++ } END { for (o in n) printf "%s=%d ", o, n[o] }' "$DIR/$1.history"
}
outcomes_are_true() {
  "$BIN/papayaload" check "$DIR/$1.history" "$DIR/$1.starts" >"$DIR/$1.check" && return
  cat "$DIR/$1.check"
  return 1
}
# refuse_lie: a worker reports a refusal although it has started the task, so that
# a task of a repeatable kind starts again and "not run" is false. No task of
# another kind may start twice.
started_once_unless_repeatable() {
  awk '$3 == "start" && $5 ~ /price-check|confirm-hold|release-slot/ && n[$6]++ { bad++ }
       END { exit bad > 0 }' "$DIR/$1.starts"
}
# Whether the fault has happened in the run; otherwise the checks would show
# nothing.
fault_happened() {
  case $1 in
    slow) return 0 ;;
    refuse) [ "$(stats refused | awk '{ n += $1 } END { print n }')" -gt 0 ] ;;
    refuse_lie) awk '$3 == "start" && n[$6]++ { again++ }
                     END { exit again == 0 }' "$DIR/$1.starts" ;;
    *) grep -qE ' (failed|unknown) ' "$DIR/$1.history" ;;
  esac
}

under_load() { # NAME FAULT
  local name=$1
  expect "$name: set" fault "$2"
  expect "$name: every complete answer is whole and belongs to its job" \
    load "$name" --mix all --seed 7 --scale 0.1 --rate 100 --seconds 0.4 \
    --threads 200 --deadline-ms 2500
  expect "$name: has happened" fault_happened "$name"
  if [ "$name" = refuse_lie ]; then
    expect "$name: no start twice" started_once_unless_repeatable "$name"
  else
    expect "$name: outcomes are true" outcomes_are_true "$name"
  fi
  printf '%s: %s\n' "$name" "$(outcomes "$name")"
}

# Submits one task of a kind that may not be repeated, with the fault on all
# workers: checks the result code and how often the task has started. The same
# key, submitted again, gives the same code and no further start.
check_lone_task() { # FAULT CODE STARTS
  local key body i got n
  fault "{\"mode\":\"$1\"}" || return 1
  key=$(curl -sf "http://${HTTP[e1]}/v1/prefix" | jq -r .prefix).lone-$1
  body=$(jq -nc --arg e "lone-$1" '{service:"board-orders",kind:"price-check",
    team:"prices",deadline_ms:4000,tasks:[{input:{run_ms:20,echo:$e}}]}')
  for i in 1 2; do
    got=$(curl -s -m 6 "http://${HTTP[e$i]}/v1/jobs" \
      -H "Idempotency-Key: $key" -d "$body")
    n=$(grep -c " start .* lone-$1\$" "$LOG")
    [ "$(jq -r .name <<<"$got")" = "$2" ] && [ "$n" -eq "$3" ] && continue
    printf '%s: %s starts, expected %s %s\n' "$got" "$n" "$2" "$3"
    return 1
  done
}
expect "lone task, fail" check_lone_task fail FAILED_RAN 1
expect "lone task, refuse" check_lone_task refuse NO_WORKER 0
expect "lone task, cut_before" check_lone_task cut_before UNKNOWN_LOST 0
for name in cut_after cross short double oversize stall dribble; do
  expect "lone task, $name: answer lost after the work" check_lone_task "$name" UNKNOWN_LOST 1
done
fault '{"mode":"none"}'

for name in fail refuse cut_before cut_after cross short double oversize \
  stall dribble refuse_lie; do
  under_load "$name" "{\"mode\":\"$name\",\"probability\":0.05}"
done
under_load slow '{"mode":"slow","factor":20,"probability":0.3}'

fault '{"mode":"none"}'
# Thousands of keys in flight over few, reused connections: answers that belong
# to another task, and answers that arrive after the deadline or after the job
# has failed.
load_in_flight() { # NAME FAULT
  local name=$1 max_in_flight=0 n
  fault "$2"
  load "$name" --mix guatemala --seed 11 --scale 0.02 --rate 3000 --seconds 0.8 \
    --threads 1500 --deadline-ms 1500 &
  local pid=$!
  while kill -0 $pid 2>/dev/null; do
    n=$(for e in e1 e2; do status_of "$e" | jq .unfinished_jobs; done \
      | awk '{ n += $1 } END { print n }')
    [ "${n:-0}" -gt "$max_in_flight" ] && max_in_flight=$n
    sleep 0.1
  done
  wait $pid
  local status=$?
  NEXT=$((NEXT + 100000))
  printf '%s: %s, at most %s seen in flight\n' "$name" "$(outcomes "$name")" "$max_in_flight"
  return $status
}
expect "crossed: answers belong to their jobs" load_in_flight crossed '{"mode":"cross","probability":0.02}'
expect "crossed: outcomes are true" outcomes_are_true crossed
expect "late: answers belong to their jobs" load_in_flight late '{"mode":"slow","factor":500,"probability":0.05}'
expect "late: outcomes are true" outcomes_are_true late
fault '{"mode":"none"}'

no_task_id_twice() { ! stats duplicate_starts | grep -qv '^0$'; }
slots_within_limit() { [ "$(stats max_running | sort -n | tail -n 1)" -le "$SLOTS" ]; }
connections_within_limit() {
  # This script itself holds one more connection.
  [ "$(stats max_connections | sort -n | tail -n 1)" -le $((CONNECTIONS + 1)) ]
}
expect "no task id starts twice" no_task_id_twice
expect "slots of a worker: $(stats max_running | tr '\n' ' ')" slots_within_limit
expect "connections of a worker: $(stats max_connections | tr '\n' ' ')" connections_within_limit
# In a build with sanitizers the leak check runs at the end of the process.
kill -TERM "${PID[e1]}" "${PID[e2]}"
expect "graceful stop of e1" stop_entry e1
expect "graceful stop of e2" stop_entry e2
for name in e1 e2 platform upstream-1; do
  grep -hE -A 40 'ERROR: (Address|Leak)Sanitizer|runtime error:' "$DIR/$name.log" \
    && expect "no sanitizer report of $name" false
done
printf '%s passed, %s failed\n' "$passed" "$failed"
[ $failed -eq 0 ]

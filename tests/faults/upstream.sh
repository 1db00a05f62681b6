#!/bin/bash
# Each fault of the upstream stand-in under load, between real processes: no
# caller gets a partial, crossed or foreign answer, every outcome is true, no
# task starts twice, and a worker's slots and connections are kept.
cd "$(dirname "$0")/../.." || exit 2
WORKERS=4
# --worker-connections: each of the two instances has half, of which four are
# for cancellations. A worker's slots and both instances' cancellations would
# need more.
CONNECTIONS=14
. tests/faults/lib.sh

start_platform || give_up "no platform"
start_upstreams 1 || give_up "no upstreams"
write_note "$DIR/note.json" 0 brum=1
apply_note "$DIR/note.json" >/dev/null || give_up "no note"
for n in 1 2; do
  start_entry "e$n" brum 1 "$n" --upstream-silence-ms 1000 \
    --worker-connections "$CONNECTIONS" --drain-linger-ms 100 \
    --log-level notice
done
for n in 1 2; do
  entry_ready "e$n" || give_up "e$n is not ready"
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
# One member of all workers' statistics, a line each.
stats() {
  local w
  for w in $(workers); do
    curl -sf -m 2 "http://$w/standin/stats" | jq ".$1"
  done
}
idle() { [ "$(stats running | sort -n | tail -n 1)" = 0 ]; }

# load NAME ARG...: open-loop load; the upstreams' part of the log goes to
# NAME.starts, the callers' to NAME.history.
load() {
  local name=$1 lines status
  shift
  lines=$(wc -l <"$LOG")
  "$BIN/papayaload" run --entry "$(entry_list)" --first "$NEXT" \
    --history "$DIR/$name.history" --out "$DIR/$name.json" "$@" \
    >"$DIR/$name.txt"
  status=$?
  NEXT=$((NEXT + 100000))
  wait_for 3 idle
  tail -n "+$((lines + 1))" "$LOG" >"$DIR/$name.starts"
  return $status
}

outcomes() {
  awk '{ n[$3]++ } END { for (o in n) printf "%s=%d ", o, n[o] }' "$DIR/$1.history"
}
true_outcomes() {
  "$BIN/papayaload" check "$DIR/$1.history" "$DIR/$1.starts" >"$DIR/$1.check" && return
  cat "$DIR/$1.check"
  return 1
}
# A worker that lies about a refusal makes a task of a repeatable kind start
# again and makes "not run" false. Still true: no other task starts twice.
started_once_unless_repeatable() {
  awk '$3 == "start" && $5 ~ /price-check|confirm-hold|release-slot/ && n[$6]++ { bad++ }
       END { exit bad > 0 }' "$DIR/$1.starts"
}
# The fault has happened, so that the checks say something about it.
hit() {
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
  expect "$name: every complete answer is whole and the job's own" \
    load "$name" --mix all --seed 7 --scale 0.1 --rate 100 --seconds 0.4 \
    --threads 200 --deadline-ms 2500
  expect "$name: has happened" hit "$name"
  if [ "$name" = refuse_lie ]; then
    expect "$name: no start twice" started_once_unless_repeatable "$name"
  else
    expect "$name: outcomes are true" true_outcomes "$name"
  fi
  printf '%s: %s\n' "$name" "$(outcomes "$name")"
}

# One task of a kind that may not be repeated, and the fault on all workers:
# what the caller is told, and how often the task started. The same key gives
# the same outcome and no further start.
lone() { # FAULT CODE STARTS
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
expect "lone fail" lone fail FAILED_RAN 1
expect "lone refuse" lone refuse NO_WORKER 0
expect "lone cut_before" lone cut_before UNKNOWN_LOST 0
for name in cut_after cross short double oversize stall dribble; do
  expect "lone $name: answer lost after the work" lone "$name" UNKNOWN_LOST 1
done
fault '{"mode":"none"}'

for name in fail refuse cut_before cut_after cross short double oversize \
  stall dribble refuse_lie; do
  under_load "$name" "{\"mode\":\"$name\",\"probability\":0.05}"
done
under_load slow '{"mode":"slow","factor":20,"probability":0.3}'

fault '{"mode":"none"}'
# Some thousand keys in flight over few, reused connections: crossed answers,
# and answers that come after the deadline or after the job has failed.
thousands() { # NAME FAULT
  local name=$1 most=0 n
  fault "$2"
  load "$name" --mix guatemala --seed 11 --scale 0.02 --rate 3000 --seconds 0.8 \
    --threads 1500 --deadline-ms 1500 &
  local pid=$!
  while kill -0 $pid 2>/dev/null; do
    n=$(for e in e1 e2; do status_of "$e" | jq .unfinished_jobs; done \
      | awk '{ n += $1 } END { print n }')
    [ "${n:-0}" -gt "$most" ] && most=$n
    sleep 0.1
  done
  wait $pid
  local status=$?
  NEXT=$((NEXT + 100000))
  printf '%s: %s, at most %s seen in flight\n' "$name" "$(outcomes "$name")" "$most"
  return $status
}
expect "crossed: answers are own" thousands crossed '{"mode":"cross","probability":0.02}'
expect "crossed: outcomes are true" true_outcomes crossed
expect "late: answers are own" thousands late '{"mode":"slow","factor":500,"probability":0.05}'
expect "late: outcomes are true" true_outcomes late
fault '{"mode":"none"}'

nothing_twice() { ! stats duplicate_starts | grep -qv '^0$'; }
slots_kept() { [ "$(stats max_running | sort -n | tail -n 1)" -le "$SLOTS" ]; }
connections_kept() {
  # One more is this script's own.
  [ "$(stats max_connections | sort -n | tail -n 1)" -le $((CONNECTIONS + 1)) ]
}
expect "no task id starts twice" nothing_twice
expect "slots of a worker: $(stats max_running | tr '\n' ' ')" slots_kept
expect "connections of a worker: $(stats max_connections | tr '\n' ' ')" connections_kept
# The leak check of a sanitized build runs at the end of the process.
kill -TERM "${PID[e1]}" "${PID[e2]}"
expect "graceful stop of e1" stop_entry e1
expect "graceful stop of e2" stop_entry e2
for name in e1 e2 platform upstream-1; do
  grep -hE -A 40 'ERROR: (Address|Leak)Sanitizer|runtime error:' "$DIR/$name.log" \
    && expect "no sanitizer report of $name" false
done
printf '%s passed, %s failed\n' "$passed" "$failed"
[ $failed -eq 0 ]

#!/bin/bash
# Workers are killed one at a time and start again at once, under the ids that
# they had, while jobs come.  Exits with 1 if a task has run on two workers at
# the same time.
HERE=$(cd "$(dirname "$0")" && pwd)
. "$HERE/../standin/lib.sh"
WORKERS=8
SECONDS_OF_LOAD=40
FIRST_KILL_S=4
KILL_EVERY_S=0.8

start_store
start_instance 1 brum
start_instance 2 potteries
start_instance 3 potteries
for n in $(seq 1 $WORKERS); do
  if [ $((n % 2)) = 1 ]; then start_worker "$n" brum; else start_worker "$n" potteries; fi
done
write_config 3
for n in 1 2 3; do wait_for 10 is_ready $n || give_up "instance $n is not ready"; done
sleep 2

run "$BIN/callers" "$RECORD" 80 $SECONDS_OF_LOAD 3 60 "$NET.11:8161" "$NET.12:8161" "$NET.13:8161"
CALLERS=$RUN_PID
end=$((SECONDS + SECONDS_OF_LOAD - 4))
sleep $FIRST_KILL_S
n=0
while [ "$TROUBLE" = 1 ] && [ $SECONDS -lt $end ]; do
  n=$((n % WORKERS + 1))
  kill -9 "$(worker_pid $n)"
  sleep $KILL_EVERY_S
done
wait "$CALLERS" || give_up "the callers did not end"
sleep 1
awk -f "$HERE/../standin/twice.awk" "$RECORD"

#!/bin/bash
# A worker crashes and is back under its id 2 s later.  Its supervisor keeps the
# listening socket open meanwhile, so that calls wait, and are carried out when
# the worker is back.  Exits with 1 if a task runs on two workers at the same
# time.
# TROUBLE=0: the worker doesn't crash.
. "$(dirname "$0")/../standin-3/lib.sh"

start_store
for n in 1 2 3; do
  zones=(x za zb zc)
  write_settings $n ${zones[$n]}
  start_instance $n
done
# Worker 0 is reached by way of its supervisor's socket.
$OUT/door-3 "$NET.1:9300" "$NET.1:9200" patient 2>>"$DIR/door.log" &
PID[w0]=$!
ADDRESS=$NET.1:9300 start_server 0 zb a 32000
for n in 2 4 6; do start_server $n zb b 32000; done
for n in 1 3 5 7; do start_server $n zc b 32000; done
write_config 1 "$(route pule)"
wait_ready 1 2 3
sleep 4 # contact_ms, and more

# A job on worker 0, the only one of kind a, so that it is the best fit for the
# next one.
submit 2 pule 0000000000000a01 8000 "$(job 1 3000 ',"requirements":"a"')" &
sleep 0.5
if [ "$TROUBLE" != 0 ]; then
  kill -9 "${PID[s0]}"
  note "crash i-0"
fi
sleep 0.05
for i in 1 2 3; do
  submit 2 pule 0000000000000b0$i 8000 "$(job 1 2000)" &
  sleep 0.1
done
sleep 1.65
if [ "$TROUBLE" != 0 ]; then
  ADDRESS=$NET.1:9300 start_server 0 zb a 32000
  note "worker: i-0 starts again"
fi
sleep 4

# The runs of each task: a start while another worker still runs it.
twice=$(sort -s -n -k 1,1 "$RECORD" | awk '
  $2 == "start" {
    split($4, t, "=")
    for (s in runs) if (s != $3 && (t[2] in at) && index(runs[s], " " t[2] " ")) { print; break }
    runs[$3] = runs[$3] " " t[2] " "; at[t[2]] = 1
  }
  $2 == "end" { split($4, t, "="); gsub(" " t[2] " ", "", runs[$3]) }
  $2 == "crash" || $2 == "born" { runs[$3] = "" }')
note "starts of a task that ran on another worker: $(printf '%s' "$twice" | grep -c .)"
[ -z "$twice" ] || echo "$twice"
tail -n 1 "$RECORD"
[ -z "$twice" ]

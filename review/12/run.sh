#!/bin/bash
# The store turns one machine away. Meanwhile a worker that this machine calls
# crashes and comes back as one of another kind.  Exits with 1 if a task that
# requires the former kind is started on it.
# TROUBLE=0: neither; TROUBLE=crash: only the crash, which must pass as well.
. "$(dirname "$0")/../standin-3/lib.sh"

start_store
start_door 2
write_settings 1 za
write_settings 2 zb "$NET.1:9102"
write_settings 3 zc
for n in 1 2 3; do start_instance $n; done
# Only i-0 is of kind a; instance 2 is the only one in its zone.
start_server 0 zb a 32000
start_server 1 zb b 32000
for n in 2 3 4 5 6 7; do start_server $n zc b 32000; done
write_config 1 "$(route pule)"
wait_ready 1 2 3
sleep 4 # contact_ms, and more
submit 3 pule 00000000000000a1 5000 "$(job 2 100 ',"requirements":"a"')"

turned_away=$(now)
if [ "$TROUBLE" = 1 ]; then
  kill -USR1 "${PID[d2]}"
  note "store: resets all connections of instance 2"
  sleep 1
fi
if [ "$TROUBLE" != 0 ]; then
  kill -9 "${PID[s0]}"
  note "worker: i-0 crashes"
  sleep 1
  start_server 0 zb b 32000
  note "worker: i-0 starts again, of kind b"
fi
sleep 3
submit 3 pule 00000000000000a2 3000 "$(job 4 100 ',"requirements":"a"')" &
sleep 3.2
if [ "$TROUBLE" = 1 ]; then
  kill -USR2 "${PID[d2]}"
  note "store: serves instance 2 again, after $(($(now) - turned_away)) ms"
fi
sleep 1

wrong=$(grep " start .*task=00000000000000a2" "$RECORD" | grep -vc "kind=a ")
note "starts of the second job: $(grep -c " start .*task=00000000000000a2" "$RECORD"), on workers without its label: $wrong"
tail -n 1 "$RECORD"
[ "$wrong" -eq 0 ]

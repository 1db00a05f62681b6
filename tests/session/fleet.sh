#!/bin/bash
# A fleet above the size at which heartbeats stay in the failure domain: 18 real
# instances and 16 workers in two domains on the stand-in of the users' platform.
# FORMER names the directory of another build's programs (default: this one's):
# the fleet starts with it and is restarted in turn with this build, under load.
cd "$(dirname "$0")/../.." || exit 2
. tests/session/platform-lib.sh
FORMER=${FORMER:-$BIN}
N=18

# counted METRIC N...: sum of a metric over instances.
counted() {
  local metric=$1 sum=0 n
  shift
  for n in "$@"; do
    sum=$((sum + $(curl -s -m 2 "http://$NET.$((10 + n)):9464/metrics" |
      sed -n "s/^papayaloft_$metric //p")))
  done
  printf '%s' "$sum"
}

holds_all() { [ "$(counted workers_held "$@")" = 16 ]; }

# load ID FILE...: submits jobs to all instances in turn until a file "stop"
# exists; the answers go to a file.  The balancer's part is played by trying the
# next instance after a refusal that says that nothing ran.
load() {
  local i=0 n answer
  while [ ! -e "$DIR/stop" ]; do
    i=$((i + 1))
    n=$((i % N + 1))
    for _ in 1 2 3; do
      answer=$(submit $n pule "$(printf '%s%015x' "$1" $i)" 2 50)
      case $answer in *503 | *000) n=$((n % N + 1)) ;; *) break ;; esac
    done
    printf '%s\n' "$answer" >>"$2"
  done
}

start_fleet 16
write_config 7 "$(route pule)"
BRUM="1 3 5 7 9 11 13 15 17"
POTTERIES="2 4 6 8 10 12 14 16 18"
for n in $BRUM; do write_settings "$n" brum; done
for n in $POTTERIES; do write_settings "$n" potteries; done
for n in $BRUM $POTTERIES; do start_instance "$n" "$FORMER"; done
for n in $BRUM $POTTERIES; do wait_for 20 is_ready "$n"; done
expect "all workers are held" wait_for 10 holds_all $BRUM $POTTERIES

# All instances are restarted, one of each domain at a time, while callers submit.
load 1 "$DIR/answers" &
LOAD=$!
for k in 1 2 3 4 5 6 7 8 9; do
  for n in $((2 * k - 1)) $((2 * k)); do kill -TERM "${PID[i$n]}"; done
  for n in $((2 * k - 1)) $((2 * k)); do
    wait "${PID[i$n]}"
    is "exit status of instance $n" $? 0
    start_instance $n
  done
  for n in $((2 * k - 1)) $((2 * k)); do wait_for 10 is_ready $n; done
done
sleep 1
touch "$DIR/stop"
wait $LOAD
is "jobs that were not completed during the restarts" \
  "$(grep -cv '"completed"} 200' "$DIR/answers")" 0
is "instances with heartbeats in their domain only" \
  "$(grep -l '"name":"SHARD","domain_only":"1"' "$DIR"/i*.log | wc -l)" $N
expect "all workers are held after the restarts" wait_for 10 holds_all $BRUM $POTTERIES
is "instances that read the workers' entries" \
  "$(grep -h -o '"name":"WATCH","role":"[a-z]*"' "$DIR"/i*.log | grep -c instances | \
     awk -v n=$N '{ print ($1 >= n - 4) }')" 1

# A configuration reaches also those that follow the instances only.
write_config 9 "$(route pule), $(route lohu)"
sleep 1.5
for n in 1 2 9 10 17 18; do
  is "the new route at instance $n" "$(submit $n lohu "00000000000000$((n + 20))" 1 10)" \
    '{"state":"completed"} 200'
done

# A domain that loses all its instances is adopted and given back.
for n in $POTTERIES; do kill -9 "${PID[i$n]}"; done
expect "the workers are adopted" wait_for 20 holds_all $BRUM
is "a wide job uses them" "$(submit 1 pule 00000000000000d1 28 200)" '{"state":"completed"} 200'
for n in $POTTERIES; do start_instance "$n"; done
for n in $POTTERIES; do wait_for 20 is_ready "$n"; done
given_back() { [ "$(counted workers_held $POTTERIES)" = 8 ] && [ "$(counted workers_held $BRUM)" = 8 ]; }
expect "they are given back" wait_for 20 given_back

is "no task ran twice" "$(report .twice)" 0
is "no worker was over its capacity" "$(report .over)" 0
[ "$failed" -eq 0 ] || tail -n 5 "$DIR"/i?.log
finish

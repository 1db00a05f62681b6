#!/bin/bash
# P8: an accepted configuration reaches all instances through their peers while
# the platform's store is down, and neither an outage nor a slow store affects
# jobs.  The number of calls to the store does not grow with the load.
cd "$(dirname "$0")/../.." || exit 2
. scripts/cluster.sh
. tests/faults/conf-lib.sh
trap cleanup EXIT
ARGS=(--drain-linger-ms 300 --log-level notice)
SEED=21

start_platform || die "platform"
start_upstreams 1 && start_upstreams 2 || die "upstreams"
write_note "$DIR/note.json" 0 brum=1 potteries=2
apply_note "$DIR/note.json" >/dev/null || die "first note"
# Only brum-1 reaches the platform: the others get an address at which nothing
# listens, so that they learn of notes only from peers.
REAL=$PLATFORM
start_entry brum-1 brum 1 1 "${ARGS[@]}"
PLATFORM=$NET.251.1:7100
start_entry brum-2 brum 1 2 "${ARGS[@]}"
start_entry potteries-1 potteries 2 1 "${ARGS[@]}"
start_entry potteries-2 potteries 2 2 "${ARGS[@]}"
PLATFORM=$REAL
for name in "${ENTRIES[@]}"; do
  entry_ready "$name" || die "$name is not ready"
done

# The platform fails as soon as brum-1 has the second note.
OTHERS=(brum-2 potteries-1 potteries-2)
team_note "$DIR/second.json" 1 relay 1
check "second note accepted" apply_note "$DIR/second.json" >/dev/null
took=$(wait_in_force 5000 2 brum-1)
platform_fault '{"mode":"down"}'
check "read by brum-1: $took" [ "$took" != timeout ]
took=$(wait_in_force 12000 2 "${OTHERS[@]}")
check "in force at all by relay" [ "$took" != timeout ]
echo "relay with the platform down: in force everywhere after $took ms"

# The platform stays down while load runs and an instance is replaced.
start_load outage $SEED 8 "$(entry_list)" --load 0.4 \
  --slots $((2 * WORKERS * SLOTS)) --scale 0.5 --threads 80 --tries 3 --notice-ms 250
sleep 1
check "papayaloft apply fails while the platform is down" \
  eval '! apply_note "$DIR/second.json" >/dev/null 2>&1'
stop_entry brum-1
equal "stop while the platform is down" 0 $?
start_entry brum-1 brum 1 1 "${ARGS[@]}"
check "restart while the platform is down" entry_ready brum-1
end_load outage
check "revision after the outage" in_force 2 "${ENTRIES[@]}"

# A slow platform: each call takes 1 s.
platform_fault '{"mode":"slow","ms":1000}'
start_load slow $((SEED + 1)) 4 "$(entry_list)" --load 0.4 \
  --slots $((2 * WORKERS * SLOTS)) --scale 0.5 --threads 80 --tries 3 --notice-ms 250
team_note "$DIR/third.json" 2 slow 1
check "note accepted by a slow platform" apply_note "$DIR/third.json" >/dev/null
took=$(wait_in_force 12000 3 "${ENTRIES[@]}")
check "in force with a slow platform" [ "$took" != timeout ]
echo "slow platform (1 s a call): in force everywhere after $took ms"
end_load slow
platform_fault '{"mode":"none"}'
sleep 1

# calls_during NAME LOAD: counts the calls to the platform during 4 s of load, in
# CALLS.
calls_during() {
  local before after
  before=$(platform_stats | jq '[.calls[]] | add')
  start_load "$1" $((SEED + 2)) 4 "$(entry_list)" --load "$2" \
    --slots $((2 * WORKERS * SLOTS)) --scale 0.5 --threads 80 --tries 3 --notice-ms 250
  sleep 4
  after=$(platform_stats | jq '[.calls[]] | add')
  end_load "$1"
  CALLS=$((after - before))
}
calls_during light 0.05
light=$CALLS
calls_during heavy 0.6
echo "platform calls in 4 s: $light at load 0.05, $CALLS at load 0.6"
check "calls were counted" [ "$light" -gt 0 ]
at_most "platform calls at 12 times the load" $((light + 4)) "$CALLS"
check_history
finish

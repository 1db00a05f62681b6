#!/bin/bash
# P7: every entry instance of two failure domains is replaced twice under load.
# No request is aborted, and the keys of replaced instances keep their outcome.
cd "$(dirname "$0")/../.." || exit 2
. scripts/cluster.sh
. tests/faults/conf-lib.sh
trap cleanup EXIT
ARGS=(--drain-linger-ms 1000 --log-level notice)
SEED=11
N_LONG=0
declare -A INDEX=([brum]=1 [potteries]=2)

start_platform || die "platform"
start_upstreams 1 && start_upstreams 2 || die "upstreams"
write_note "$DIR/note.json" 0 brum=1 potteries=2
apply_note "$DIR/note.json" >/dev/null || die "first note"
start_entry brum-1 brum 1 1 "${ARGS[@]}"
start_entry brum-2 brum 1 2 "${ARGS[@]}"
start_entry potteries-1 potteries 2 1 "${ARGS[@]}"
start_entry potteries-2 potteries 2 2 "${ARGS[@]}"
for name in "${ENTRIES[@]}"; do
  entry_ready "$name" || die "$name is not ready"
done
wait_for 5 eval '[ "$(metric brum-1 peers_alive)" = 3 ]'

id_of() { status_of "$1" | jq -r .id; }
peers_of() {
  status_of "$1" | jq '[.peers[] | select(.state == "alive")] | length'
}

# Key prefixes of the first instances.  Each is used for a key that is completed
# here and for keys that its instance never receives.
declare -A KEPT FIRST
for name in brum-1 potteries-2; do
  KEPT[$name]=$(prefix_of "$name")
  equal "$name: first answer" OK \
    "$(submit "$name" "${KEPT[$name]}.kept" "1$name" 20 | jq -r .name)"
done
for name in "${ENTRIES[@]}"; do FIRST[$name]=$(id_of "$name"); done

# check_kept GENERATION: submits and looks up the keys of replaced owners at each
# instance.
check_kept() {
  local owner name answer
  for owner in "${!KEPT[@]}"; do
    for name in "${ENTRIES[@]}"; do
      answer=$(submit "$name" "${KEPT[$owner]}.kept" "1$owner" 20)
      equal "generation $1: completed key of $owner at $name" "OK 1$owner" \
        "$(jq -r '"\(.name) \(.answers[0].echo)"' <<<"$answer")"
      equal "generation $1: lookup at $name" OK "$(curl -s -m 5 \
        "http://${HTTP[$name]}/v1/jobs/${KEPT[$owner]}.kept" | jq -r .name)"
      answer=$(submit "$name" "${KEPT[$owner]}.unseen-$1-$name" unseen 20)
      equal "generation $1: never received key of $owner at $name" \
        HANDED_OVER_UNSEEN "$(jq -r .name <<<"$answer")"
    done
  done
}

# replace A B: stops two entries of different domains at once and starts new ones
# under their names and addresses.
replace() {
  local name long=()
  N_LONG=$((N_LONG + 1))
  # Jobs that run longer than --drain-linger-ms: the stop has to wait for them.
  for name in "$@"; do
    submit "$name" "$(prefix_of "$name").long" "long-$name-$N_LONG" 2000 \
      >"$DIR/long-$name" &
    long+=($!)
  done
  sleep 0.2
  for name in "$@"; do signal_stop "$name"; done
  sleep 0.3
  for name in "$@"; do
    equal "$name: readyz while draining" 503 "$(curl -s -m 2 -o /dev/null \
      -w '%{http_code}' "http://${HTTP[$name]}/readyz")"
    signal_stop "$name"
  done
  for name in "$@"; do
    await_stop "$name"
    equal "$name: exit status of the stop" 0 $?
    check "$name: records handed over" \
      grep -q 'unfinished=0 cut=0 handed_over=yes' "$DIR/$name.log"
    : >"$DIR/$name.log"
  done
  wait "${long[@]}"
  for name in "$@"; do
    equal "$name: job that runs longer than the linger time" OK \
      "$(jq -r .name "$DIR/long-$name")"
    start_entry "$name" "${name%-*}" "${INDEX[${name%-*}]}" "${name#*-}" \
      "${ARGS[@]}"
  done
  for name in "$@"; do
    check "$name: new instance is ready" entry_ready "$name"
    check "$name: new instance knows its peers" \
      wait_for 5 eval "[ \"\$(peers_of $name)\" = 3 ]"
    equal "$name: revision of the new instance" 1 "$(revision_of "$name")"
  done
}

start_load load $SEED 20 "$(entry_list)" --load 0.35 \
  --slots $((2 * WORKERS * SLOTS)) --scale 0.5 --threads 100 --tries 3 --notice-ms 600
sleep 1
replace brum-1 potteries-1
replace brum-2 potteries-2
check_kept 1
platform_fault '{"mode":"down"}'
replace brum-1 potteries-1
replace brum-2 potteries-2
for name in "${ENTRIES[@]}"; do
  check "$name: another incarnation" [ "$(id_of "$name")" != "${FIRST[$name]}" ]
done
check_kept 2
end_load load
equal "connections refused to callers" 0 \
  "$(jq .total.refused "$DIR/load.json")"
equal "answers lost by callers" 0 "$(jq .total.lost "$DIR/load.json")"
check_history
finish

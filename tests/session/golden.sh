#!/bin/bash
# Runs a session of an operator and a caller and compares its output with
# golden.txt, in which ids, times and addresses are replaced by fixed words.
# UPDATE=1 rewrites golden.txt.
cd "$(dirname "$0")/../.." || exit 2
. scripts/cluster.sh
. tests/faults/conf-lib.sh
trap cleanup EXIT
ARGS=(--drain-linger-ms 300 --log-level warning --epoch-s 3600 --seed 1)
GOLDEN=tests/session/golden.txt

normalise() {
  sed -E -e 's/[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}/UUID/g' \
    -e 's/127\.[0-9]+\.([0-9]+\.[0-9]+:[0-9]+)/NET.\1/g' \
    -e 's/\.(0|[0-9a-f]{16})\.(0|[0-9a-f]{16})\.[0-9]+\./.OWNER.WITNESS.EPOCH./g' \
    -e 's/\b[0-9a-f]{16}\b/ID/g' -e 's#/tmp/[A-Za-z0-9._]+/#DIR/#g' \
    -e 's/"(response_ms|retry_after_ms|epoch|free_slots)":[0-9.]+/"\1":N/g' \
    -e 's/"(run_us|run_ms|ms)":[0-9]+/"\1":N/g'
}

# run_step COMMAND...: prints a command, its output and its exit status.
run_step() {
  printf '$ %s\n' "$*"
  "$@" 2>&1
  printf 'exit %s\n\n' $?
}

papayaloft() {
  "$BIN/papayaloft" --platform "http://$PLATFORM" --entry "$(entry_list)" "$@"
}

# Waits until no instance has a running task, for at most 5 s.
wait_idle() {
  local tries
  for tries in $(seq 1 100); do
    papayaloft status 2>&1 | grep -q '"running_tasks":[1-9]' || return 0
    sleep 0.05
  done
}

# worker_faults MODE: sets the fault of all workers.
worker_faults() {
  local w
  for w in $(seq 1 "$WORKERS"); do
    curl -sf -m 2 -o /dev/null "http://$NET.1.$w:9000/standin/fault" \
      -d "{\"mode\":\"$1\"}"
  done
}

# write_body NAME TEXT: writes a request body to DIR/NAME.json.
write_body() { printf '%s\n' "$2" >"$DIR/$1.json"; }

session() {
  local key answers
  run_step papayaloft version
  run_step papayaloft history
  write_body invalid '{"id":"UUID","base":1,"added":{"teams":[{"name":"x"}]}}'
  run_step papayaloft validate "$DIR/invalid.json"
  team_note "$DIR/second.json" 1 night 2
  run_step papayaloft validate "$DIR/second.json"
  run_step papayaloft --wait-s 12 apply "$DIR/second.json"
  team_note "$DIR/third.json" 1 late 2
  run_step papayaloft apply "$DIR/third.json"
  while read -r kind team array; do
    write_body "${kind#*/}" '{"team":"'"$team"'","deadline_ms":5000,"input":{"'"$array"'":[
      {"run_ms":20,"echo":"a"},{"run_ms":30,"echo":"b"}]}}'
    run_step papayaloft --service "$kind" --key "${kind#*/}" submit \
      "$DIR/${kind#*/}.json"
  done <<'KINDS'
board-orders/layout-preview counter boards
board-orders/lettering-plan studio lines
board-orders/price-check prices items
agenda/confirm-hold bookings holds
agenda/release-slot bookings slots
agenda/check-calendar calendar engineers
KINDS
  write_body unknown-team '{"service":"agenda","kind":"confirm-hold","team":"none",
    "deadline_ms":5000,"tasks":[{"input":1}]}'
  run_step papayaloft --tries 1 --key not-run submit "$DIR/unknown-team.json"
  write_body one '{"service":"agenda","kind":"confirm-hold","team":"bookings",
    "deadline_ms":5000,"tasks":[{"input":{"run_ms":20,"echo":"one"}}]}'
  worker_faults fail
  run_step papayaloft --tries 1 --key failed submit "$DIR/one.json"
  worker_faults cut_after
  run_step papayaloft --tries 1 --key unknown submit "$DIR/one.json"
  worker_faults none
  key=$(papayaloft prefix)
  write_body long '{"service":"agenda","kind":"confirm-hold","team":"bookings",
    "deadline_ms":9000,"tasks":[{"input":{"run_ms":600,"echo":"long"}}]}'
  answers=$DIR/joined
  papayaloft --key "$key.join" submit "$DIR/long.json" >"$answers" 2>&1 &
  sleep 0.2
  run_step papayaloft --key "$key.join" submit "$DIR/long.json"
  wait $!
  run_step cat "$answers"
  run_step papayaloft --tries 1 --key "$key.join" submit "$DIR/one.json"
  papayaloft --key "$key.cancel" submit "$DIR/long.json" >"$answers" 2>&1 &
  sleep 0.2
  run_step papayaloft cancel "$key.cancel"
  wait $!
  run_step cat "$answers"
  run_step papayaloft cancel "$key.join"
  # A cancellation is answered before its task has stopped.
  wait_idle
  run_step papayaloft status
  run_step papayaloft drain "${HTTP[brum-1]}"
  await_stop brum-1
  printf 'exit of the daemon %s\n\n' $?
  run_step papayaloft --key "$key.join" submit "$DIR/long.json"
  run_step papayaloft history
  ENTRIES=(brum-2)
  run_step papayaloft show 2
  run_step papayaloft status
  run_step papayaloft --wait-s 12 evacuate brum
  run_step papayaloft evacuate brum
  run_step papayaloft evacuations
  run_step papayaloft --tries 1 --key evacuated submit "$DIR/one.json"
  run_step papayaloft --wait-s 12 restore brum
  run_step papayaloft evacuations
  wait_for 5 eval 'papayaloft status | grep -q "\"free_slots\":[1-9]"'
  run_step papayaloft --tries 1 --key restored submit "$DIR/one.json"
}

start_platform || die "platform"
start_upstreams 1 || die "upstreams"
write_note "$DIR/note.json" 0 brum=1
apply_note "$DIR/note.json" >/dev/null || die "first note"
start_entry brum-1 brum 1 1 "${ARGS[@]}"
start_entry brum-2 brum 1 2 "${ARGS[@]}"
entry_ready brum-1 && entry_ready brum-2 || die "entries are not ready"
wait_for 5 eval '[ "$(metric brum-1 peers_alive)" = 1 ]' || die "no peer"
sleep 1.2
session >"$DIR/raw"
normalise <"$DIR/raw" >"$DIR/session"
if [ -n "${UPDATE:-}" ]; then cp "$DIR/session" $GOLDEN; fi
check "session as in $GOLDEN" diff -u $GOLDEN "$DIR/session"
finish

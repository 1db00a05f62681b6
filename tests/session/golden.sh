#!/bin/bash
# A whole session of an operator and a caller against golden.txt.  Ids, times
# and addresses are normalised.  UPDATE=1 writes the file anew.
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

# say COMMAND...: runs a step of the session.
say() {
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

worker_faults() {
  local w
  for w in $(seq 1 "$WORKERS"); do
    curl -sf -m 2 -o /dev/null "http://$NET.1.$w:9000/standin/fault" \
      -d "{\"mode\":\"$1\"}"
  done
}

body() { printf '%s\n' "$2" >"$DIR/$1.json"; }

session() {
  local key answers
  say papayaloft version
  say papayaloft history
  body invalid '{"id":"UUID","base":1,"added":{"teams":[{"name":"x"}]}}'
  say papayaloft validate "$DIR/invalid.json"
  team_note "$DIR/second.json" 1 night 2
  say papayaloft validate "$DIR/second.json"
  say papayaloft --wait-s 12 apply "$DIR/second.json"
  team_note "$DIR/third.json" 1 late 2
  say papayaloft apply "$DIR/third.json"
  while read -r kind team array; do
    body "${kind#*/}" '{"team":"'"$team"'","deadline_ms":5000,"input":{"'"$array"'":[
      {"run_ms":20,"echo":"a"},{"run_ms":30,"echo":"b"}]}}'
    say papayaloft --service "$kind" --key "${kind#*/}" submit \
      "$DIR/${kind#*/}.json"
  done <<'KINDS'
board-orders/layout-preview counter boards
board-orders/lettering-plan studio lines
board-orders/price-check prices items
agenda/confirm-hold bookings holds
agenda/release-slot bookings slots
agenda/check-calendar calendar engineers
KINDS
  body unknown-team '{"service":"agenda","kind":"confirm-hold","team":"none",
    "deadline_ms":5000,"tasks":[{"input":1}]}'
  say papayaloft --tries 1 --key not-run submit "$DIR/unknown-team.json"
  body one '{"service":"agenda","kind":"confirm-hold","team":"bookings",
    "deadline_ms":5000,"tasks":[{"input":{"run_ms":20,"echo":"one"}}]}'
  worker_faults fail
  say papayaloft --tries 1 --key failed submit "$DIR/one.json"
  worker_faults cut_after
  say papayaloft --tries 1 --key unknown submit "$DIR/one.json"
  worker_faults none
  key=$(papayaloft prefix)
  body long '{"service":"agenda","kind":"confirm-hold","team":"bookings",
    "deadline_ms":9000,"tasks":[{"input":{"run_ms":600,"echo":"long"}}]}'
  answers=$DIR/joined
  papayaloft --key "$key.join" submit "$DIR/long.json" >"$answers" 2>&1 &
  sleep 0.2
  say papayaloft --key "$key.join" submit "$DIR/long.json"
  wait $!
  say cat "$answers"
  say papayaloft --tries 1 --key "$key.join" submit "$DIR/one.json"
  papayaloft --key "$key.cancel" submit "$DIR/long.json" >"$answers" 2>&1 &
  sleep 0.2
  say papayaloft cancel "$key.cancel"
  wait $!
  say cat "$answers"
  say papayaloft cancel "$key.join"
  # A cancellation is answered at once, while its task is still being stopped.
  wait_idle
  say papayaloft status
  say papayaloft drain "${HTTP[brum-1]}"
  await_stop brum-1
  printf 'exit of the daemon %s\n\n' $?
  say papayaloft --key "$key.join" submit "$DIR/long.json"
  say papayaloft history
  ENTRIES=(brum-2)
  say papayaloft show 2
  say papayaloft status
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

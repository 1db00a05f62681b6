#!/bin/bash
# Network partitions between entry instances and between instances and workers:
# both sides still serve new jobs, and each outcome that is reported for an old
# key is true.  Instances reach each other through a forwarder, which tells them
# apart by source address and can cut or stall each direction.
cd "$(dirname "$0")/../.." || exit 2
. tests/faults/lib.sh
SEED=${SEED:-31}
WORKERS=2

# Entries of d1 reach the workers of d1 through the forwarder as well.
edit_note() { sed -i "s/$NET\.1\.\([12]\):9000/$NET.1.5\1:9000/" "$1"; }
setup 1 2
quick=(--log-level notice --heartbeat-ms 100 --far-heartbeat-ms 200
  --suspect-ms 500 --dead-ms 700)
declare -A OWN FRONT # IPs of the listening and the advertised control address

# declare_entry NAME INDEX NUMBER: an entry of domain dINDEX; it listens on host
# 100 + NUMBER and advertises host 200 + NUMBER, which is the forwarder's.
declare_entry() {
  OWN[$1]=$NET.$2.$((100 + $3))
  FRONT[$1]=$NET.$2.$((200 + $3))
  rules+=(--rule "${FRONT[$1]}:7000=${OWN[$1]}:7000"
    --rule "${FRONT[$1]}:7001=${OWN[$1]}:7001")
}
rules=()
declare_entry a 1 1
declare_entry b 1 2
declare_entry c 2 1
declare_entry d 2 2
for w in 1 2; do
  rules+=(--rule "$NET.1.5$w:9000=$NET.1.$w:9000")
done
CONTROL=$NET.250.2
start forwarder "$BIN/standin-forwarder" --control "$CONTROL:7200" \
  "${rules[@]}"

# send_command COMMAND...: sends a command to the forwarder.
send_command() {
  local answer
  exec 9<>"/dev/tcp/$CONTROL/7200" || return 1
  printf '%s\n' "$*" >&9
  read -r answer <&9
  exec 9>&-
  [ "$answer" = ok ]
}
wait_for 5 send_command pass '*' '*' || abort_test "the forwarder does not start"

# one_way MODE FROM TO: sets the mode of the connections that FROM opens to TO.
one_way() {
  send_command "$1" "${OWN[$2]}" "${FRONT[$3]}:7000" \
    && send_command "$1" "${OWN[$2]}" "${FRONT[$3]}:7001"
}
both_ways() { one_way "$1" "$2" "$3" && one_way "$1" "$3" "$2"; }

# start_fronted_entry NAME DOMAIN INDEX NUMBER: an entry whose peers reach it
# through the forwarder.
start_fronted_entry() {
  local name=$1 domain=$2 i=$3 n=$4 seeds= other
  for other in a b c d; do
    [ "$other" = "$name" ] || seeds=$seeds,${FRONT[$other]}:7000
  done
  HTTP[$name]=${OWN[$name]}:8080
  ENTRIES+=("$name")
  start "$name" "$BIN/papayaloftd" --domain "$domain" \
    --listen "${OWN[$name]}:8080" --peer-listen "${OWN[$name]}:7000" \
    --advertise "${FRONT[$name]}:7000" --peers "${seeds#,}" \
    --platform "http://$PLATFORM" "${quick[@]}"
}
start_fronted_entry a d1 1 1
start_fronted_entry b d1 1 2
start_fronted_entry c d2 2 1
start_fronted_entry d d2 2 2
await_ready
await_peers
is "peers know the advertised address" \
  "$(status_of b | jq -r --arg a "${FRONT[a]}:7000" \
    '[.peers[] | select(.control == $a)] | length')" 1

# submit_new_job PHASE ENTRY NUMBER: submits a job, and once more with a new key
# if nothing ran.  Prints the result codes.
submit_new_job() {
  local try got
  for try in 1 2; do
    got=$(post "$2" "$(prefix_of "$2").$1-$3-$try" \
      "$(job "$1-$2-$3.$try.0" 10 check-calendar)" | outcome_and_code)
    printf '%s ' "${got#* }"
    [[ $got == not_run* ]] || return
  done
}

# serve PHASE ENTRY...: submits 16 new jobs to each entry, one every 50 ms, with
# the entry's own prefix, and checks that at least 15 are complete, except at
# the entry $no_bound.
serve() {
  local phase=$1 name i first all pids=()
  shift
  for i in $(seq 16); do
    for name in "$@"; do
      submit_new_job "$phase" "$name" "$i" >"$DIR/serve-$phase-$name-$i" &
      pids+=("$!")
    done
    sleep 0.05
  done
  wait "${pids[@]}" 2>/dev/null
  for name in "$@"; do
    all=$(grep -l 'OK ' "$DIR/serve-$phase-$name"-* | wc -l)
    first=$(grep -l '^OK ' "$DIR/serve-$phase-$name"-* | wc -l)
    printf 'measured: %s: %s of 16 new jobs complete at %s, %s with one key\n' \
      "$phase" "$all" "$name" "$first"
    [ "$name" = "${no_bound:-}" ] \
      || expect "$phase: $name serves new jobs" test "$all" -ge 15
  done
}
# expect_starts NAME N: each of the four keys of this name has started N times.
expect_starts() {
  local i
  for i in 1 2 3 4; do
    is "$1, $i: starts" "$(starts_of "$1-$i.1.0")" "$2"
  done
}

# Submissions forwarded to their owner, and permits, through the forwarder.
prefix=$(prefix_of a)
for i in 1 2 3 4; do
  is "through forwarders, $i" \
    "$(post d "$prefix.old-$i" "$(job "old-$i.1.0" 10)" | code)" OK
done
expect "a permit was granted" test "$(metric b permits_granted_total)" -gt 0
serve whole a b c d

"$BIN/papayaload" run --entry "$(entry_list)" --mix all --seed "$SEED" \
  --rate 10 --scale 0.05 --seconds 23 --threads 100 --tries 5 \
  --deadline-ms 3000 --history "$DIR/history.log" --out "$DIR/report.json" \
  >"$DIR/load.txt" 2>&1 &
PID[load]=$!

# The two instances of a domain are cut from each other in both directions; what
# is reported for the keys of a.
both_ways cut a b
serve cut-ab a b
for i in 1 2 3 4; do
  is "cut a-b: answered key $i of a at b" \
    "$(post b "$prefix.old-$i" "$(job "old-$i.1.0" 10)" | outcome_and_code)" \
    "unknown UNKNOWN_OWNER"
  is "cut a-b: answered key $i of a at d" \
    "$(post d "$prefix.old-$i" "$(job "old-$i.1.0" 10)" | code)" OK
  is "cut a-b: new key $i of a at b" \
    "$(post b "$prefix.cut-$i" "$(job "cut-$i.1.0" 10)" | outcome_and_code)" \
    "not_run REVOKED"
  is "cut a-b: the same key $i at a" \
    "$(post a "$prefix.cut-$i" "$(job "cut-$i.1.0" 10)" | outcome_and_code)" \
    "not_run NO_PERMIT"
done
send_command pass '*' '*'
expect "a has its peers again" wait_for 5 has_peers a 3
expect "b has its peers again" wait_for 5 has_peers b 3
for i in 1 2 3 4; do
  is "healed: revoked key $i of a at a" \
    "$(post a "$prefix.cut-$i" "$(job "cut-$i.1.0" 10)" | outcome_and_code)" \
    "not_run NO_PERMIT"
done
expect_starts cut 0
expect_starts old 1

# One direction only: a hears b but cannot reach it; then what b sends to a
# stalls.
expect "a has a witness again" wait_for 5 has_witness a
expect "b has a witness again" wait_for 5 has_witness b
prefix=$(prefix_of a)
one_way cut a b
serve deaf-b a b
for i in 1 2 3 4; do
  post b "$prefix.deaf-$i" "$(job "deaf-$i.1.0" 10)" >"$DIR/deaf-$i"
  expect "a does not reach b: key $i is not run or unknown" \
    jq -e '.outcome == "not_run" or .outcome == "unknown"' "$DIR/deaf-$i" \
    >"$DIR/null"
  [ "$(jq -r .outcome "$DIR/deaf-$i")" != not_run ] \
    || is "a does not reach b: not run, $i" "$(starts_of "deaf-$i.1.0")" 0
done
send_command pass '*' '*'
expect "a has a witness again" wait_for 5 has_witness a
expect "b has a witness again" wait_for 5 has_witness b
one_way stall b a
serve stall-a a b
send_command pass '*' '*'
expect "a has its peers after the stall" wait_for 5 has_peers a 3
expect "b has its peers after the stall" wait_for 5 has_peers b 3

# The two domains are cut from each other.
prefix=$(prefix_of a)
for i in a b; do
  for j in c d; do both_ways cut $i $j; done
done
serve domains a b c d
for i in 1 2 3 4; do
  got=$(post c "$prefix.far-$i" "$(job "far-$i.1.0" 10)" | outcome_and_code)
  is "cut domains: key $i of a at c" "$got" "unknown UNKNOWN_OWNER"
done
send_command pass '*' '*'

# Entry a is cut from one worker, then its connections to the other stall; b
# reaches both.  How many jobs a completes depends on where their tasks are
# placed, so it has no lower bound; the outcomes that it reports must be true.
send_command cut "${OWN[a]}" "$NET.1.51:9000"
no_bound=a
serve one-worker a b
send_command stall "${OWN[a]}" "$NET.1.52:9000"
serve no-worker a b
send_command pass '*' '*'

check_load
finish
